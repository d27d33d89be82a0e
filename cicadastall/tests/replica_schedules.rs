//! Random and fixed schedules of faults for the replication core.

mod schedules;

use schedules::{
    Action, Coverage, GroupSize, make_disk_schedule, make_leaving_schedule,
    make_replacement_schedule, make_schedule, minimise, run_schedule,
};

/// Random schedules for each group size; the seeds count from 0.
const SCHEDULES: u64 = 1_500;

/// Schedules of full disks for each group size.
const DISK_SCHEDULES: u64 = 300;

/// Schedules of replaced hosts for each group size.
const REPLACEMENT_SCHEDULES: u64 = 300;

/// Schedules of replicas that leave, for each group size.
const LEAVING_SCHEDULES: u64 = 300;

/// Runs the schedules that `make` generates; fails with the first violated invariant.
fn run_each(size: GroupSize, count: u64, make: impl Fn(u64) -> Vec<Action>) -> Coverage {
    let mut total = Coverage::default();
    for seed in 0..count {
        let schedule = make(seed);
        match run_schedule(size, &schedule) {
            Ok(coverage) => total += coverage,
            Err(fault) => {
                let shortest = minimise(size, schedule);
                panic!("{size:?} replicas, seed {seed}: {fault}\nminimised: {shortest:?}");
            }
        }
    }
    println!("{size:?} replicas, {count} schedules: {total:?}");
    total
}

fn run_all(size: GroupSize) {
    let total = run_each(size, SCHEDULES, make_schedule);
    let minimum = SCHEDULES as usize;
    assert!(total.elections > minimum && total.acknowledged > minimum && total.reads > minimum);
    assert!(total.membership_changes > minimum && total.snapshots_installed > minimum / 10);
}

#[test]
fn three_replicas_keep_all_invariants() {
    run_all((3, None));
}

#[test]
fn five_replicas_keep_all_invariants() {
    run_all((5, None));
}

/// Guards against dead voters that stay in a group, and against removed replicas that stay outside.
#[test]
fn an_open_group_keeps_dead_voters() {
    run_all((5, Some(3)));
}

/// Guards against a group that accepts no more changes once disks were full in turn.
#[test]
fn disks_that_were_full_in_turn_end_a_group() {
    for size in [(3, None), (3, Some(3)), (5, Some(3))] {
        let total = run_each(size, DISK_SCHEDULES, make_disk_schedule);
        assert!(total.elections.min(total.acknowledged) > DISK_SCHEDULES as usize);
    }
}

/// Guards against a group that a planned replacement and then a lost disk end.
#[test]
fn disks_lost_right_after_a_replacement_end_a_group() {
    for (founders, ended) in [(3, 1), (3, 2), (5, 1), (5, 2)] {
        let make = |seed| make_replacement_schedule(seed, ended);
        run_each((founders + ended, Some(founders)), REPLACEMENT_SCHEDULES, make);
    }
}

/// Guards against a replica that leaves and takes acknowledged entries, or the group, with it.
#[test]
fn replicas_that_leave_and_return_end_a_group() {
    for size in [(4, Some(3)), (5, Some(3)), (3, Some(3))] {
        let total = run_each(size, LEAVING_SCHEDULES, make_leaving_schedule);
        assert!(total.elections.min(total.acknowledged) > LEAVING_SCHEDULES as usize);
    }
}

/// Guards against a group without a leader after one that removed a replica has lost its disk.
#[test]
fn a_removal_that_only_the_removed_replica_holds_ends_a_group() {
    for seed in [280, 1_572] {
        let schedule = make_leaving_schedule(seed);
        run_schedule((4, Some(3)), &schedule).unwrap_or_else(|fault| panic!("{seed}: {fault}"));
    }
}

fn run_fixed(schedule: &[Action]) -> Coverage {
    run_schedule((3, None), schedule).unwrap_or_else(|fault| panic!("{fault}"))
}

#[test]
fn an_isolated_leader_answers_no_read_and_acknowledges_nothing() {
    use Action::{Heal, IsolateLeader, Propose, Read, RunRounds};
    let schedule =
        [RunRounds(120), IsolateLeader, Propose(0), RunRounds(44), Read(0), Read(1), RunRounds(50)];
    assert_eq!(run_fixed(&schedule).reads, 0);
    run_fixed(&[
        RunRounds(120),
        IsolateLeader,
        RunRounds(100),
        Propose(0),
        RunRounds(4),
        Read(1),
        Heal,
    ]);
}

#[test]
fn a_leader_that_was_frozen_holds_no_lease() {
    use Action::{FreezeLeader, Propose, Read, RunRounds, ThawAll};
    let frozen = [FreezeLeader, RunRounds(100), Propose(0), RunRounds(4), ThawAll];
    let asked = [Read(0), Read(1), Propose(1), RunRounds(4)];
    let coverage = run_fixed(&[&[RunRounds(120)][..], &frozen, &asked].concat());
    assert_eq!(coverage.reads, 1, "only the new leader answers");
}

#[test]
fn a_second_disk_lost_before_the_first_replacement_has_caught_up_loses_nothing_acknowledged() {
    use Action::{Advance, Deliver, LoseAnyDisk, LoseDisk, Propose, RunRounds};
    for deliveries in 0..60 {
        let mut schedule =
            vec![RunRounds(120), Propose(0), RunRounds(4), LoseDisk(1), Advance(260)];
        schedule.extend((0..deliveries).map(|_| Deliver(0)));
        schedule.extend([LoseAnyDisk(2), RunRounds(100), Propose(0), RunRounds(20)]);
        run_fixed(&schedule);
    }
}

#[test]
fn acknowledgements_before_a_loss_of_power_were_synced() {
    use Action::{CrashLeader, Deliver, Propose, Restart, RunRounds};
    for deliveries in 0..20 {
        let mut schedule = vec![RunRounds(120), Propose(0), Propose(0)];
        schedule.extend((0..deliveries).map(Deliver));
        schedule.extend([CrashLeader, Restart(0), Restart(1), Restart(2), RunRounds(120)]);
        run_fixed(&schedule);
    }
}
