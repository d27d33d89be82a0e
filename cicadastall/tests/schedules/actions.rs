//! Actions of a schedule, and schedules generated from a seed.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// One action of a schedule.
///
/// Numbers pick an item modulo the number of items, so that a schedule stays valid when actions are
/// removed from it. `Advance` takes milliseconds, `RunRounds` a number of rounds.
#[derive(Debug, Clone, Copy)]
pub enum Action {
    Deliver(usize),
    Drop(usize),
    /// Copies a message into the delayed ones, which `RunRounds` does not deliver.
    Duplicate(usize),
    /// Moves a message into the delayed ones.
    Delay(usize),
    DeliverDelayed(usize),
    Advance(u64),
    Sync(usize),
    Propose(usize),
    Read(usize),
    Crash(usize),
    Restart(usize),
    /// Loses a disk, unless that would take away the majority.
    LoseDisk(usize),
    /// Loses a disk, even if that takes away the majority.
    LoseAnyDisk(usize),
    Freeze(usize),
    FreezeLeader,
    ThawAll,
    Isolate(usize),
    IsolateLeader,
    CrashLeader,
    Heal,
    /// Fills a disk, while all others get room again.
    FillDisk(usize),
    FillLeaderDisk,
    Compact(usize),
    TransferLeadership(usize),
    /// Announces that a replica is about to stop.
    Leave(usize),
    /// Ends a host for good as planned, once all hosts vote: its replica leaves the group first.
    Retire(usize),
    /// Ends a host for good without notice, once all hosts vote.
    Remove(usize),
    /// Waits for an acknowledgement, then loses as many disks as the group is meant to bear.
    LoseDisksAfterAcknowledgement(usize),
    /// Syncs all writes, delivers all messages and advances the clock by 25 ms, once per round.
    RunRounds(u64),
}

/// Generates the schedule of `seed`.
pub fn make_schedule(seed: u64) -> Vec<Action> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut schedule = vec![Action::RunRounds(60)];
    for _ in 0..random.random_range(3..10) {
        match random.random_range(0..10) {
            0 => add_stale_leader(&mut schedule, &mut random),
            1 => add_lagging_replica(&mut schedule, &mut random),
            2 => add_leader_crashes(&mut schedule, &mut random),
            3 => add_returning_replica(&mut schedule, &mut random),
            4 => add_leadership_transfer(&mut schedule, &mut random),
            _ => add_random_actions(&mut schedule, &mut random),
        }
    }
    schedule
}

fn add_random_actions(schedule: &mut Vec<Action>, random: &mut ChaCha8Rng) {
    let length = random.random_range(5..50);
    schedule.extend((0..length).map(|_| choose_action(random)));
}

/// A new leader is elected while the old one is frozen or isolated; reads then reach the old one.
fn add_stale_leader(schedule: &mut Vec<Action>, random: &mut ChaCha8Rng) {
    let (disturbance, repair) = match random.random_range(0..2) {
        0 => (Action::FreezeLeader, Action::ThawAll),
        _ => (Action::IsolateLeader, Action::Heal),
    };
    schedule.extend([disturbance, Action::RunRounds(random.random_range(30..120))]);
    add_proposals(schedule, random);
    schedule.push(Action::RunRounds(random.random_range(1..8)));
    schedule.extend((0..4).map(Action::Read));
    schedule.push(repair);
    schedule.extend((0..4).map(Action::Read));
    schedule.extend((0..2).map(Action::Propose));
}

/// Generates a schedule in which the disks of the hosts are full one after another.
pub fn make_disk_schedule(seed: u64) -> Vec<Action> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut schedule = vec![Action::RunRounds(60)];
    for _ in 0..random.random_range(3..8) {
        schedule.push(match random.random_range(0..2) {
            0 => Action::FillLeaderDisk,
            _ => Action::FillDisk(random.random_range(0..1_000)),
        });
        for _ in 0..random.random_range(1..6) {
            add_proposals(&mut schedule, &mut random);
            schedule.push(Action::RunRounds(random.random_range(1..60)));
            schedule.push(Action::Read(random.random_range(0..4)));
        }
    }
    schedule
}

/// Generates a schedule for an open group: `ended` hosts end for good, and disks are lost right after
/// the next acknowledgement.
pub fn make_replacement_schedule(seed: u64, ended: usize) -> Vec<Action> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut schedule = vec![Action::RunRounds(200)];
    for _ in 0..random.random_range(0..4) {
        add_proposals(&mut schedule, &mut random);
        schedule.push(match random.random_range(0..2) {
            0 => Action::TransferLeadership(0),
            _ => Action::Compact(random.random_range(0..1_000)),
        });
        schedule.push(Action::RunRounds(random.random_range(1..100)));
    }
    schedule.push(Action::RunRounds(200));
    let first = random.random_range(0..1_000);
    for ended in first..first + ended {
        schedule.push(match random.random_range(0..2) {
            0 => Action::Retire(ended),
            _ => Action::Remove(ended),
        });
        schedule.push(Action::RunRounds(random.random_range(0..160)));
    }
    schedule.push(Action::LoseDisksAfterAcknowledgement(random.random_range(0..1_000)));
    schedule
}

/// Generates a schedule in which replicas leave and return, between and beside other faults.
pub fn make_leaving_schedule(seed: u64) -> Vec<Action> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut schedule = vec![Action::RunRounds(200)];
    for _ in 0..random.random_range(3..8) {
        let host = random.random_range(0..1_000);
        schedule.push(Action::Leave(host));
        match random.random_range(0..4) {
            0 => add_random_actions(&mut schedule, &mut random),
            1 => add_stale_leader(&mut schedule, &mut random),
            2 => add_leader_crashes(&mut schedule, &mut random),
            _ => add_proposals(&mut schedule, &mut random),
        }
        schedule.extend([Action::RunRounds(random.random_range(0..60)), Action::Crash(host)]);
        schedule.extend([Action::RunRounds(random.random_range(0..160)), Action::Restart(host)]);
        schedule.push(Action::RunRounds(random.random_range(0..60)));
    }
    schedule
}

/// One replica misses entries, then the leader crashes.
fn add_lagging_replica(schedule: &mut Vec<Action>, random: &mut ChaCha8Rng) {
    schedule.push(Action::Isolate(random.random_range(0..1_000)));
    add_proposals(schedule, random);
    schedule.extend([Action::RunRounds(random.random_range(1..10)), Action::CrashLeader]);
    schedule.extend([Action::Heal, Action::RunRounds(random.random_range(40..120))]);
    schedule.extend((0..2).map(Action::Read));
}

/// A leader transfers leadership and is isolated before it hears of its successor; reads reach it.
fn add_leadership_transfer(schedule: &mut Vec<Action>, random: &mut ChaCha8Rng) {
    schedule.extend([Action::RunRounds(random.random_range(1..80)), Action::TransferLeadership(0)]);
    match random.random_range(0..3) {
        0 => add_random_actions(schedule, random),
        _ => schedule.extend([Action::RunRounds(1), Action::IsolateLeader]),
    }
    schedule.push(Action::RunRounds(random.random_range(2..8)));
    add_proposals(schedule, random);
    schedule.push(Action::RunRounds(random.random_range(1..8)));
    schedule.extend((0..4).map(Action::Read));
    schedule.push(Action::Heal);
}

/// The leader is isolated when a replica that missed many heartbeats asks for votes.
fn add_returning_replica(schedule: &mut Vec<Action>, random: &mut ChaCha8Rng) {
    schedule.push(Action::Isolate(random.random_range(0..1_000)));
    schedule.extend([Action::RunRounds(random.random_range(60..120)), Action::Heal]);
    schedule.push(Action::RunRounds(random.random_range(1..6)));
    schedule.extend([Action::IsolateLeader, Action::RunRounds(random.random_range(1..10))]);
    add_proposals(schedule, random);
    schedule.push(Action::RunRounds(random.random_range(1..6)));
    schedule.extend((0..4).map(Action::Read));
    schedule.push(Action::Heal);
}

/// Leaders crash in turn, each with entries that only few replicas hold.
fn add_leader_crashes(schedule: &mut Vec<Action>, random: &mut ChaCha8Rng) {
    for _ in 0..random.random_range(2..4) {
        add_proposals(schedule, random);
        schedule.extend((0..random.random_range(0..6)).map(|pick| Action::Deliver(pick * 7)));
        schedule.extend((0..random.random_range(0..5)).map(Action::Sync));
        schedule.push(Action::CrashLeader);
        schedule.push(Action::RunRounds(random.random_range(40..100)));
        schedule.push(Action::Restart(random.random_range(0..1_000)));
    }
}

fn add_proposals(schedule: &mut Vec<Action>, random: &mut ChaCha8Rng) {
    schedule.extend((0..random.random_range(1..4)).map(Action::Propose));
}

fn choose_action(random: &mut ChaCha8Rng) -> Action {
    let pick = random.random_range(0..1_000);
    match random.random_range(0..100) {
        0..=29 => Action::Deliver(pick),
        30..=31 => Action::Drop(pick),
        32 => Action::Duplicate(pick),
        33 => Action::Delay(pick),
        34..=35 => Action::DeliverDelayed(pick),
        36..=44 => Action::Advance(random.random_range(1..400)),
        45..=54 => Action::Sync(pick),
        55..=63 => Action::Propose(pick),
        64..=71 => Action::Read(pick),
        72..=73 => Action::Crash(pick),
        74 => Action::CrashLeader,
        75..=77 => Action::Restart(pick),
        78 => Action::LoseDisk(pick),
        79 if pick < 100 => Action::LoseAnyDisk(pick),
        80 => Action::Freeze(pick),
        81 => Action::FreezeLeader,
        82..=83 => Action::ThawAll,
        84..=85 => Action::Isolate(pick),
        86 => Action::IsolateLeader,
        87..=89 => Action::Heal,
        90..=92 => Action::Compact(pick),
        93 => Action::TransferLeadership(pick),
        _ => Action::RunRounds(random.random_range(1..80)),
    }
}
