//! Steps of a schedule, and schedules drawn from a seed.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// One step; numbers choose among what is there, so that any part of a schedule is a schedule.
#[derive(Debug, Clone, Copy)]
pub enum Action {
    Deliver(usize),
    Drop(usize),
    /// Keeps a copy for later, which `Settle` does not deliver.
    Duplicate(usize),
    /// Keeps the message itself for later.
    Delay(usize),
    DeliverLate(usize),
    Advance(u64),
    Sync(usize),
    Propose(usize),
    Read(usize),
    Crash(usize),
    Restart(usize),
    LoseDisk(usize),
    LoseSecondDisk(usize),
    Freeze(usize),
    FreezeLeader,
    WakeAll,
    Isolate(usize),
    IsolateLeader,
    CrashLeader,
    Heal,
    Compact(usize),
    HandOver(usize),
    Settle(u64),
}

/// The schedule of `seed`.
pub fn make_schedule(seed: u64) -> Vec<Action> {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut schedule = vec![Action::Settle(60)];
    for _ in 0..random.random_range(3..10) {
        match random.random_range(0..10) {
            0 => add_stale_leader(&mut schedule, &mut random),
            1 => add_lagging_replica(&mut schedule, &mut random),
            2 => add_lost_leaders(&mut schedule, &mut random),
            3 => add_returning_replica(&mut schedule, &mut random),
            4 => add_handover(&mut schedule, &mut random),
            _ => add_noise(&mut schedule, &mut random),
        }
    }
    schedule
}

fn add_noise(schedule: &mut Vec<Action>, random: &mut ChaCha8Rng) {
    let length = random.random_range(5..50);
    schedule.extend((0..length).map(|_| choose_action(random)));
}

/// Others elect a leader while the old one is frozen or isolated; it is then asked at once.
fn add_stale_leader(schedule: &mut Vec<Action>, random: &mut ChaCha8Rng) {
    let (cut, mend) = match random.random_range(0..2) {
        0 => (Action::FreezeLeader, Action::WakeAll),
        _ => (Action::IsolateLeader, Action::Heal),
    };
    schedule.extend([cut, Action::Settle(random.random_range(30..120))]);
    add_proposals(schedule, random);
    schedule.push(Action::Settle(random.random_range(1..8)));
    schedule.extend((0..4).map(Action::Read));
    schedule.push(mend);
    schedule.extend((0..4).map(Action::Read));
    schedule.extend((0..2).map(Action::Propose));
}

/// One replica misses entries, then the leader is lost.
fn add_lagging_replica(schedule: &mut Vec<Action>, random: &mut ChaCha8Rng) {
    schedule.push(Action::Isolate(random.random_range(0..1_000)));
    add_proposals(schedule, random);
    schedule.extend([Action::Settle(random.random_range(1..10)), Action::CrashLeader]);
    schedule.extend([Action::Heal, Action::Settle(random.random_range(40..120))]);
    schedule.extend((0..2).map(Action::Read));
}

/// A leader hands over and is cut off before it hears of the next one; it is then asked.
fn add_handover(schedule: &mut Vec<Action>, random: &mut ChaCha8Rng) {
    schedule.extend([Action::Settle(random.random_range(1..80)), Action::HandOver(0)]);
    match random.random_range(0..3) {
        0 => add_noise(schedule, random),
        _ => schedule.extend([Action::Settle(1), Action::IsolateLeader]),
    }
    schedule.push(Action::Settle(random.random_range(2..8)));
    add_proposals(schedule, random);
    schedule.push(Action::Settle(random.random_range(1..8)));
    schedule.extend((0..4).map(Action::Read));
    schedule.push(Action::Heal);
}

/// A replica that has long heard nothing asks for votes, and the leader is isolated just then.
fn add_returning_replica(schedule: &mut Vec<Action>, random: &mut ChaCha8Rng) {
    schedule.push(Action::Isolate(random.random_range(0..1_000)));
    schedule.extend([Action::Settle(random.random_range(60..120)), Action::Heal]);
    schedule.push(Action::Settle(random.random_range(1..6)));
    schedule.extend([Action::IsolateLeader, Action::Settle(random.random_range(1..10))]);
    add_proposals(schedule, random);
    schedule.push(Action::Settle(random.random_range(1..6)));
    schedule.extend((0..4).map(Action::Read));
    schedule.push(Action::Heal);
}

/// Leaders are lost one after the other, each with entries that few have.
fn add_lost_leaders(schedule: &mut Vec<Action>, random: &mut ChaCha8Rng) {
    for _ in 0..random.random_range(2..4) {
        add_proposals(schedule, random);
        schedule.extend((0..random.random_range(0..6)).map(|pick| Action::Deliver(pick * 7)));
        schedule.extend((0..random.random_range(0..5)).map(Action::Sync));
        schedule.push(Action::CrashLeader);
        schedule.push(Action::Settle(random.random_range(40..100)));
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
        34..=35 => Action::DeliverLate(pick),
        36..=44 => Action::Advance(random.random_range(1..400)),
        45..=54 => Action::Sync(pick),
        55..=63 => Action::Propose(pick),
        64..=71 => Action::Read(pick),
        72..=73 => Action::Crash(pick),
        74 => Action::CrashLeader,
        75..=77 => Action::Restart(pick),
        78 => Action::LoseDisk(pick),
        79 if pick < 100 => Action::LoseSecondDisk(pick),
        80 => Action::Freeze(pick),
        81 => Action::FreezeLeader,
        82..=83 => Action::WakeAll,
        84..=85 => Action::Isolate(pick),
        86 => Action::IsolateLeader,
        87..=89 => Action::Heal,
        90..=92 => Action::Compact(pick),
        93 => Action::HandOver(pick),
        _ => Action::Settle(random.random_range(1..80)),
    }
}
