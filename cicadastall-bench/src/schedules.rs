//! Random fault schedules for the replication core.

#[path = "../../cicadastall/tests/schedules/mod.rs"]
mod harness;

use bpaf::Bpaf;
use harness::{Coverage, make_schedule, minimise, run_schedule};

/// Numbers of replicas for which the schedules run.
const REPLICA_COUNTS: [usize; 2] = [3, 5];

/// Options of the schedules.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct ScheduleOptions {
    /// Schedules to run for each number of replicas
    #[bpaf(long, argument("COUNT"), fallback(10_000))]
    count: u64,
    /// Seed of the first schedule; each later schedule uses the next number
    #[bpaf(long, argument("SEED"), fallback(0))]
    seed: u64,
}

/// Runs the schedules; fails with the first violated invariant and its minimised schedule.
pub(crate) fn run(options: &ScheduleOptions) -> eyre::Result<()> {
    for size in REPLICA_COUNTS {
        let mut total = Coverage::default();
        for seed in options.seed..options.seed.saturating_add(options.count) {
            let schedule = make_schedule(seed);
            match run_schedule((size, None), &schedule) {
                Ok(coverage) => total += coverage,
                Err(violation) => {
                    let minimised = minimise((size, None), schedule);
                    let minimised_violation =
                        run_schedule((size, None), &minimised).err().unwrap_or_default();
                    eyre::bail!(
                        "{size} replicas, seed {seed}: {violation}\nminimised: {minimised:?}\n\
                         {minimised_violation}"
                    );
                }
            }
        }
        println!("{size} replicas, {} schedules hold: {total:?}", options.count);
    }
    Ok(())
}
