//! Schedules of faults that drive replicas of the replication core.

mod actions;
mod promises;
mod world;

pub use actions::{Action, make_schedule};
pub use world::{Coverage, World};

/// Runs `schedule` with `size` replicas; returns the first broken promise.
pub fn run_schedule(size: usize, schedule: &[Action]) -> Result<Coverage, String> {
    let mut world = World::new(size);
    for (step, action) in schedule.iter().enumerate() {
        world.perform(*action).map_err(|fault| format!("step {step}, {action:?}: {fault}"))?;
    }
    world.finish().map_err(|fault| format!("after the schedule: {fault}"))?;
    Ok(world.coverage)
}

/// Removes actions from a failing schedule while it still fails.
pub fn minimise(size: usize, mut schedule: Vec<Action>) -> Vec<Action> {
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
