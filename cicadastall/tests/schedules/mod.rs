//! Deterministic schedules of faults for the replication core.

mod actions;
mod cluster;
mod invariants;

pub use actions::{
    Action, make_disk_schedule, make_leaving_schedule, make_replacement_schedule, make_schedule,
};
pub use cluster::{Coverage, SimulatedCluster};

/// Size of a group, with the number of its founders if it is open.
pub type GroupSize = (usize, Option<usize>);

/// Runs `schedule` with a group of `size`; returns the first violated invariant.
pub fn run_schedule(size: GroupSize, schedule: &[Action]) -> Result<Coverage, String> {
    let mut cluster = SimulatedCluster::new(size.0, size.1);
    for (step, action) in schedule.iter().enumerate() {
        cluster.perform(*action).map_err(|fault| format!("step {step}, {action:?}: {fault}"))?;
    }
    cluster.repair_and_check().map_err(|fault| format!("after the schedule: {fault}"))?;
    Ok(cluster.coverage)
}

/// Shortens a failing schedule by removing actions without which it still fails.
pub fn minimise(size: GroupSize, mut schedule: Vec<Action>) -> Vec<Action> {
    let mut chunk = schedule.len() / 2;
    while chunk > 0 {
        let mut start = 0;
        while start < schedule.len() {
            let end = schedule.len().min(start + chunk);
            let shorter = [&schedule[..start], &schedule[end..]].concat();
            match run_schedule(size, &shorter) {
                Err(_) => schedule = shorter,
                Ok(_) => start = end,
            }
        }
        chunk /= 2;
    }
    schedule
}
