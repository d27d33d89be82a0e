//! Random fault schedules for the replication core.

#[path = "../../cicadastall/tests/schedules/mod.rs"]
mod harness;

use bpaf::Bpaf;
use harness::{
    Action, Coverage, GroupSize, make_disk_schedule, make_leaving_schedule,
    make_replacement_schedule, make_schedule, minimise, run_schedule,
};

/// Groups for which the schedules run.
const GROUP_SIZES: [GroupSize; 3] = [(3, None), (5, None), (5, Some(3))];

/// Numbers of founders, and of hosts that end for good.
const REPLACEMENTS: [(usize, usize); 4] = [(3, 1), (3, 2), (5, 1), (5, 2)];

/// Options of the schedules.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct ScheduleOptions {
    /// Schedules of each kind to run for each group
    #[bpaf(long, argument("COUNT"), fallback(10_000))]
    count: u64,
    /// Seed of the first schedule; each later schedule uses the next number
    #[bpaf(long, argument("SEED"), fallback(0))]
    seed: u64,
}

/// Runs the schedules; fails with the first violated invariant and its minimised schedule.
pub(crate) fn run(options: &ScheduleOptions) -> eyre::Result<()> {
    for size in GROUP_SIZES {
        run_kind("random faults", make_schedule, size, options)?;
        run_kind("full disks", make_disk_schedule, size, options)?;
    }
    for size in [(4, Some(3)), (5, Some(3))] {
        run_kind("replicas that leave", make_leaving_schedule, size, options)?;
    }
    for (founders, ended) in REPLACEMENTS {
        let make = |seed| make_replacement_schedule(seed, ended);
        run_kind("replaced hosts", make, (founders + ended, Some(founders)), options)?;
    }
    Ok(())
}

fn run_kind(
    kind: &str,
    make: impl Fn(u64) -> Vec<Action>,
    size: GroupSize,
    options: &ScheduleOptions,
) -> eyre::Result<()> {
    let mut total = Coverage::default();
    for seed in options.seed..options.seed.saturating_add(options.count) {
        let schedule = make(seed);
        match run_schedule(size, &schedule) {
            Ok(coverage) => total += coverage,
            Err(violation) => {
                let minimised = minimise(size, schedule);
                let minimised_violation = run_schedule(size, &minimised).err().unwrap_or_default();
                eyre::bail!(
                    "{size:?}, {kind}, seed {seed}: {violation}\nminimised: {minimised:?}\n\
                     {minimised_violation}"
                );
            }
        }
    }
    println!("{size:?}, {kind}, {} schedules hold: {total:?}", options.count);
    Ok(())
}
