//! Arbitrary schedules of faults against the replication core.

mod schedules;

use schedules::{Action, Coverage, make_schedule, minimise, run_schedule};

/// Schedules run for each size of group.
const SCHEDULES: u64 = 1_500;

fn run_all(size: usize) {
    let mut total = Coverage::default();
    for seed in 0..SCHEDULES {
        let schedule = make_schedule(seed);
        match run_schedule(size, &schedule) {
            Ok(coverage) => total += coverage,
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

fn run_named(schedule: &[Action]) -> Coverage {
    run_schedule(3, schedule).unwrap_or_else(|fault| panic!("{fault}"))
}

#[test]
fn a_leader_isolated_in_silence_answers_no_read_and_acknowledges_nothing() {
    use Action::{Heal, IsolateLeader, Propose, Read, Settle};
    let alone = [Settle(120), IsolateLeader, Propose(0), Settle(44), Read(0), Read(1), Settle(50)];
    assert_eq!(run_named(&alone).reads, 0);
    run_named(&[Settle(120), IsolateLeader, Settle(100), Propose(0), Settle(4), Read(1), Heal]);
}

#[test]
fn a_frozen_leader_wakes_without_its_lease() {
    use Action::{FreezeLeader, Propose, Read, Settle, WakeAll};
    let frozen = [FreezeLeader, Settle(100), Propose(0), Settle(4), WakeAll];
    let asked = [Read(0), Read(1), Propose(1), Settle(4)];
    let coverage = run_named(&[&[Settle(120)][..], &frozen, &asked].concat());
    assert_eq!(coverage.reads, 1, "only the new leader answers");
}

#[test]
fn a_second_disk_lost_before_the_first_replacement_has_caught_up_loses_nothing_acknowledged() {
    use Action::{Advance, Deliver, LoseDisk, LoseSecondDisk, Propose, Settle};
    for deliveries in 0..60 {
        let mut schedule = vec![Settle(120), Propose(0), Settle(4), LoseDisk(1), Advance(260)];
        schedule.extend((0..deliveries).map(|_| Deliver(0)));
        schedule.extend([LoseSecondDisk(2), Settle(100), Propose(0), Settle(20)]);
        run_named(&schedule);
    }
}

#[test]
fn acknowledgements_before_a_loss_of_power_were_synced() {
    use Action::{CrashLeader, Deliver, Propose, Restart, Settle};
    for deliveries in 0..20 {
        let mut schedule = vec![Settle(120), Propose(0), Propose(0)];
        schedule.extend((0..deliveries).map(Deliver));
        schedule.extend([CrashLeader, Restart(0), Restart(1), Restart(2), Settle(120)]);
        run_named(&schedule);
    }
}
