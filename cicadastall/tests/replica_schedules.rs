//! Arbitrary schedules of faults against the replication core.

mod schedules;

use schedules::{Coverage, make_schedule, minimise, run_schedule};

/// Schedules run for each size of group.
const SCHEDULES: u64 = 1_500;

fn run_all(size: usize) {
    let mut total = Coverage::default();
    for seed in 0..SCHEDULES {
        let schedule = make_schedule(seed);
        match run_schedule(size, &schedule) {
            Ok(coverage) => {
                total.elections += coverage.elections;
                total.committed += coverage.committed;
                total.acknowledged += coverage.acknowledged;
                total.reads += coverage.reads;
                total.replaced += coverage.replaced;
                total.installed += coverage.installed;
            }
            Err(fault) => {
                let shortest = minimise(size, schedule);
                panic!("{size} replicas, seed {seed}: {fault}\nminimised: {shortest:?}");
            }
        }
    }
    println!("{size} replicas, {SCHEDULES} schedules: {total:?}");
    let least = SCHEDULES as usize;
    assert!(total.elections > least && total.acknowledged > least && total.reads > least);
    assert!(total.replaced > least && total.installed > least / 10);
}

#[test]
fn three_replicas_keep_their_promises() {
    run_all(3);
}

#[test]
fn five_replicas_keep_their_promises() {
    run_all(5);
}
