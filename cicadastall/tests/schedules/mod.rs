//! Replicas of the replication core, a bag of messages, and schedules that drive them.

use cicadastall::{
    name::InstanceName,
    replica::{ReplicaCore, ReplicaSettings, ReplicaTiming},
    replica_message::{
        EntryPayload, Epoch, JournalWrite, LogEntry, LogIndex, LogPosition, ReadTicket,
        ReplicaEnvelope, ReplicaId, ReplicaIdentity, ReplicaOutput, SnapshotImage, StoredReplica,
        Term, WriteSequence,
    },
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{
    collections::{BTreeMap, VecDeque},
    ops::AddAssign,
    time::Duration,
};
use tokio::time::Instant;

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

/// One replica with its storage.
struct Host {
    core: Option<ReplicaCore>,
    id: ReplicaId,
    pending: VecDeque<(WriteSequence, Vec<JournalWrite>)>,
    applied: LogIndex,
    state: Vec<String>,
    frozen: bool,
    isolated: bool,
    /// Rate of the replica's clock, in thousandths.
    rate: u32,
}

/// A read that waits for its confirmation.
struct OpenRead {
    host: usize,
    ticket: ReadTicket,
    least: LogIndex,
}

/// Figures of a schedule that was run.
#[derive(Debug, Default, Clone, Copy)]
pub struct Coverage {
    pub elections: usize,
    pub committed: usize,
    pub acknowledged: usize,
    pub reads: usize,
    pub replaced: usize,
    pub installed: usize,
}

impl AddAssign for Coverage {
    fn add_assign(&mut self, other: Self) {
        self.elections += other.elections;
        self.committed += other.committed;
        self.acknowledged += other.acknowledged;
        self.reads += other.reads;
        self.replaced += other.replaced;
        self.installed += other.installed;
    }
}

/// Replicas, messages and what has been seen of them.
pub struct World {
    hosts: Vec<Host>,
    disks: BTreeMap<ReplicaId, StoredReplica>,
    bag: Vec<ReplicaEnvelope>,
    late: Vec<ReplicaEnvelope>,
    start: Instant,
    elapsed: Duration,
    created: u64,
    leaders: BTreeMap<(Epoch, Term), ReplicaId>,
    entries: BTreeMap<(Epoch, LogPosition), (EntryPayload, Term)>,
    committed: BTreeMap<LogIndex, LogEntry>,
    epoch: Option<Epoch>,
    proposed: Vec<(usize, LogPosition)>,
    acknowledged: LogIndex,
    reads: Vec<OpenRead>,
    random: ChaCha8Rng,
    reckless: bool,
    pub coverage: Coverage,
}

type Checked = Result<(), String>;

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

impl World {
    pub fn new(size: usize) -> Self {
        let mut world = Self {
            hosts: Vec::new(),
            disks: BTreeMap::new(),
            bag: Vec::new(),
            late: Vec::new(),
            start: Instant::now(),
            elapsed: Duration::ZERO,
            created: 0,
            leaders: BTreeMap::new(),
            entries: BTreeMap::new(),
            committed: BTreeMap::new(),
            epoch: None,
            proposed: Vec::new(),
            acknowledged: LogIndex(0),
            reads: Vec::new(),
            random: ChaCha8Rng::seed_from_u64(size as u64),
            reckless: false,
            coverage: Coverage::default(),
        };
        for host in 0..size {
            let id = world.create_id(host);
            // Clocks drift by up to 5%.
            let rate = 950 + 100 * host as u32 / size as u32;
            world.hosts.push(Host {
                core: None,
                id,
                pending: VecDeque::new(),
                applied: LogIndex(0),
                state: Vec::new(),
                frozen: false,
                isolated: false,
                rate,
            });
        }
        (0..size).for_each(|host| world.start_core(host));
        world
    }

    fn create_id(&mut self, host: usize) -> ReplicaId {
        self.created += 1;
        let identity = ReplicaIdentity(self.created);
        ReplicaId { instance: InstanceName::from(format!("i{host}").as_str()), identity }
    }

    fn now(&self, host: usize) -> Instant {
        self.start + self.elapsed * self.hosts[host].rate / 1_000
    }

    fn start_core(&mut self, host: usize) {
        let id = self.hosts[host].id.clone();
        let stored = self.disks.entry(id.clone()).or_default().clone();
        let names = (0..self.hosts.len()).map(|host| self.hosts[host].id.instance.clone());
        let settings = ReplicaSettings {
            own: id.clone(),
            instances: names.collect(),
            founding: Epoch(id.identity.0),
            timing: ReplicaTiming::default(),
            append_entries: 2,
            snapshot_part: 16,
            seed: id.identity.0,
        };
        let now = self.now(host);
        let target = &mut self.hosts[host];
        target.applied = stored.snapshot.position.index;
        target.state = decode(&stored.snapshot);
        target.core = Some(ReplicaCore::new(settings, stored, now));
    }

    fn stop_core(&mut self, host: usize) {
        self.hosts[host].core = None;
        self.hosts[host].pending.clear();
        self.hosts[host].frozen = false;
        self.proposed.retain(|(proposer, _)| *proposer != host);
        self.reads.retain(|read| read.host != host);
    }

    fn awake(&self, host: usize) -> bool {
        self.hosts[host].core.is_some() && !self.hosts[host].frozen
    }

    pub fn perform(&mut self, action: Action) -> Checked {
        let size = self.hosts.len();
        match action {
            Action::Deliver(pick) => {
                if let Some(message) = take(&mut self.bag, pick) {
                    self.deliver(message)?;
                }
            }
            Action::DeliverLate(pick) => {
                if let Some(message) = take(&mut self.late, pick) {
                    self.deliver(message)?;
                }
            }
            Action::Drop(pick) => drop(take(&mut self.bag, pick)),
            Action::Delay(pick) => self.late.extend(take(&mut self.bag, pick)),
            Action::Duplicate(pick) => {
                let message = self.bag.get(pick % self.bag.len().max(1));
                self.late.extend(message.cloned());
            }
            Action::Advance(ms) => self.advance(ms)?,
            Action::Sync(pick) => self.sync(pick % size)?,
            Action::Propose(pick) => self.propose(self.choose_leader(pick))?,
            Action::Read(pick) => self.read(self.choose_leader(pick))?,
            Action::Crash(pick) => self.stop_core(pick % size),
            Action::Restart(pick) => self.restart(pick % size)?,
            Action::LoseDisk(pick) => self.lose_disk(pick % size)?,
            Action::LoseSecondDisk(pick) => self.lose_any_disk(pick % size)?,
            Action::Freeze(pick) => self.hosts[pick % size].frozen = true,
            Action::FreezeLeader => {
                let leader = self.choose_leader(0);
                self.hosts[leader].frozen = true;
            }
            Action::WakeAll => self.hosts.iter_mut().for_each(|host| host.frozen = false),
            Action::Isolate(pick) => self.hosts[pick % size].isolated = true,
            Action::IsolateLeader => {
                let leader = self.choose_leader(0);
                self.hosts[leader].isolated = true;
            }
            Action::CrashLeader => self.stop_core(self.choose_leader(0)),
            Action::Heal => self.hosts.iter_mut().for_each(|host| host.isolated = false),
            Action::Compact(pick) => self.compact(pick % size)?,
            Action::HandOver(pick) => self.hand_over(self.choose_leader(pick))?,
            Action::Settle(rounds) => self.settle(rounds)?,
        }
        Ok(())
    }

    fn deliver(&mut self, message: ReplicaEnvelope) -> Checked {
        let find =
            |id: &ReplicaId| self.hosts.iter().position(|host| host.id.instance == id.instance);
        let (Some(from), Some(to)) = (find(&message.from), find(&message.to)) else {
            return Ok(());
        };
        if self.hosts[from].isolated || self.hosts[to].isolated || self.hosts[to].core.is_none() {
            return Ok(());
        }
        if self.hosts[to].frozen {
            self.bag.push(message);
            return Ok(());
        }
        self.drive(to, |core, now| core.receive(message, now))
    }

    fn drive(&mut self, host: usize, step: impl FnOnce(&mut ReplicaCore, Instant)) -> Checked {
        let now = self.now(host);
        let Some(core) = self.hosts[host].core.as_mut() else { return Ok(()) };
        step(core, now);
        let output = core.take_output(now);
        self.take(host, output)
    }

    fn take(&mut self, host: usize, output: ReplicaOutput) -> Checked {
        if !output.writes.is_empty() {
            self.check_writes(host, &output.writes)?;
            self.hosts[host].pending.push_back((output.sequence, output.writes));
        }
        self.bag.extend(output.messages);
        self.check_leader(host)?;
        if let Some(snapshot) = output.restored {
            self.restore(host, &snapshot)?;
        }
        for entry in output.committed {
            self.apply(host, entry)?;
        }
        for (ticket, index) in output.reads {
            self.finish_read(host, ticket, index)?;
        }
        Ok(())
    }

    fn advance(&mut self, ms: u64) -> Checked {
        self.elapsed += Duration::from_millis(ms);
        for host in 0..self.hosts.len() {
            if self.awake(host) {
                self.drive(host, |core, now| core.tick(now))?;
            }
        }
        Ok(())
    }

    fn sync(&mut self, host: usize) -> Checked {
        if !self.awake(host) {
            return Ok(());
        }
        let Some((sequence, writes)) = self.hosts[host].pending.pop_front() else { return Ok(()) };
        let disk = self.disks.entry(self.hosts[host].id.clone()).or_default();
        writes.iter().for_each(|write| disk.apply(write));
        self.drive(host, |core, now| core.mark_synced(sequence, now))
    }

    /// A replica that believes it leads, that of the newest term first, or any.
    fn choose_leader(&self, pick: usize) -> usize {
        let term = |host: &usize| self.hosts[*host].core.as_ref().map(ReplicaCore::term);
        let leads =
            |host: &usize| self.hosts[*host].core.as_ref().is_some_and(ReplicaCore::is_leader);
        let mut leaders: Vec<usize> = (0..self.hosts.len()).filter(leads).collect();
        leaders.sort_by_key(|host| std::cmp::Reverse(term(host)));
        let chosen = leaders.get(pick % leaders.len().max(1));
        chosen.copied().unwrap_or(pick % self.hosts.len())
    }

    fn propose(&mut self, host: usize) -> Checked {
        if !self.awake(host) {
            return Ok(());
        }
        self.created += 1;
        let command = format!("c{}", self.created);
        let mut position = None;
        self.drive(host, |core, _| position = core.propose(command.into()).ok())?;
        self.proposed.extend(position.map(|position| (host, position)));
        Ok(())
    }

    fn read(&mut self, host: usize) -> Checked {
        if !self.awake(host) {
            return Ok(());
        }
        self.created += 1;
        let ticket = ReadTicket(self.created);
        self.reads.push(OpenRead { host, ticket, least: self.acknowledged });
        let mut refused = false;
        self.drive(host, |core, now| refused = core.read(ticket, now).is_err())?;
        self.reads.retain(|read| !refused || read.ticket != ticket);
        Ok(())
    }

    fn restart(&mut self, host: usize) -> Checked {
        self.stop_core(host);
        self.start_core(host);
        self.drive(host, |core, now| core.tick(now))
    }

    /// Loses a disk even if the group can't go on; one replica keeps what was founded.
    fn lose_any_disk(&mut self, host: usize) -> Checked {
        let founded = |other: usize| self.disks[&self.hosts[other].id].hard.epoch != Epoch(0);
        if !(0..self.hosts.len()).any(|other| other != host && founded(other)) {
            return Ok(());
        }
        self.reckless = true;
        self.replace_disk(host)
    }

    /// Loses a disk if the group still has a majority with theirs.
    fn lose_disk(&mut self, host: usize) -> Checked {
        let members = self.newest_configuration();
        let lost = &self.hosts[host].id;
        let left = members
            .voters
            .iter()
            .filter(|voter| *voter != lost && self.hosts.iter().any(|host| host.id == **voter));
        if members.voters.is_empty() || left.count() < members.quorum() {
            return Ok(());
        }
        self.replace_disk(host)
    }

    fn replace_disk(&mut self, host: usize) -> Checked {
        self.hosts[host].id = self.create_id(host);
        self.restart(host)
    }

    fn newest_configuration(&self) -> cicadastall::replica_message::GroupConfiguration {
        let configurations =
            self.committed.values().rev().filter_map(|entry| match &entry.payload {
                EntryPayload::Configuration(configuration) => Some(configuration.clone()),
                _ => None,
            });
        let founded = self.disks.values().find(|disk| {
            Some(disk.hard.epoch) == self.epoch && disk.snapshot.position.index == LogIndex(0)
        });
        let founded = founded.map(|disk| disk.snapshot.configuration.clone());
        configurations.into_iter().next().or(founded).unwrap_or_default()
    }

    fn compact(&mut self, host: usize) -> Checked {
        if !self.awake(host) {
            return Ok(());
        }
        let (applied, data) = (self.hosts[host].applied, self.hosts[host].state.join(" "));
        self.drive(host, |core, _| core.compact(applied, data.into_bytes()))
    }

    fn hand_over(&mut self, host: usize) -> Checked {
        if !self.awake(host) {
            return Ok(());
        }
        self.drive(host, ReplicaCore::hand_over)
    }

    fn settle(&mut self, rounds: u64) -> Checked {
        for _ in 0..rounds {
            for host in 0..self.hosts.len() {
                while self.awake(host) && !self.hosts[host].pending.is_empty() {
                    self.sync(host)?;
                }
            }
            let mut messages = std::mem::take(&mut self.bag);
            while !messages.is_empty() {
                let message = messages.swap_remove(self.random.random_range(0..messages.len()));
                self.deliver(message)?;
            }
            self.advance(25)?;
        }
        Ok(())
    }

    /// Repairs everything that was not lost for good; the group must then accept a command.
    fn finish(&mut self) -> Checked {
        for host in 0..self.hosts.len() {
            self.hosts[host].frozen = false;
            self.hosts[host].isolated = false;
            if self.hosts[host].core.is_none() {
                self.restart(host)?;
            }
        }
        self.settle(600)?;
        let before = self.acknowledged;
        for host in 0..self.hosts.len() {
            self.propose(host)?;
        }
        self.settle(40)?;
        if self.acknowledged == before && !self.reckless {
            return Err("no command is accepted after repair".into());
        }
        self.coverage.elections = self.leaders.len();
        self.coverage.committed = self.committed.len();
        Ok(())
    }
}

/// Promises.
impl World {
    fn check_leader(&mut self, host: usize) -> Checked {
        let Some(core) = self.hosts[host].core.as_ref().filter(|core| core.is_leader()) else {
            return Ok(());
        };
        let key = (core.epoch(), core.term());
        let Some(known) = self.leaders.get(&key) else {
            let own = core.own().clone();
            let log = core.log();
            let lacking = self.committed.values().find(|entry| {
                let LogPosition { term, index } = entry.position;
                term < key.1 && index > log.base() && log.term_at(index) != Some(term)
            });
            if let Some(entry) = lacking.filter(|_| Some(key.0) == self.epoch) {
                return Err(format!("{own} leads {key:?} without {:?}", entry.position));
            }
            self.leaders.insert(key, own);
            return Ok(());
        };
        match known == core.own() {
            true => Ok(()),
            false => Err(format!("{known} and {} both lead {key:?}", core.own())),
        }
    }

    fn check_writes(&mut self, host: usize, writes: &[JournalWrite]) -> Checked {
        let Some(core) = &self.hosts[host].core else { return Ok(()) };
        for write in writes {
            let JournalWrite::Append(entries) = write else { continue };
            for entry in entries {
                let before = core.log().term_at(entry.position.index.previous());
                let Some(before) = before else { continue };
                let fresh = (entry.payload.clone(), before);
                let key = (core.epoch(), entry.position);
                let known = self.entries.entry(key).or_insert_with(|| fresh.clone());
                if *known != fresh {
                    return Err(format!(
                        "logs differ at {:?}: {known:?}, {fresh:?}",
                        entry.position
                    ));
                }
            }
        }
        Ok(())
    }

    fn apply(&mut self, host: usize, entry: LogEntry) -> Checked {
        let LogPosition { index, .. } = entry.position;
        let Some(core) = &self.hosts[host].core else { return Ok(()) };
        if *self.epoch.get_or_insert(core.epoch()) != core.epoch() {
            return Err(format!("{} commits under a second epoch", core.own()));
        }
        if index != self.hosts[host].applied.next() {
            return Err(format!("{} applies {index} out of order", core.own()));
        }
        match self.committed.get(&index) {
            Some(known) if *known != entry => {
                return Err(format!("committed entry {known:?} became {entry:?}"));
            }
            Some(_) => {}
            None => {
                self.check_durable(host, &entry)?;
                self.committed.insert(index, entry.clone());
            }
        }
        let target = &mut self.hosts[host];
        target.applied = index;
        match &entry.payload {
            EntryPayload::Command(command) => target.state.push(command.to_string()),
            EntryPayload::Configuration(_) => self.coverage.replaced += 1,
            EntryPayload::Empty | EntryPayload::Refounded { .. } => {}
        }
        let proposals = self.proposed.len();
        self.proposed.retain(|proposal| *proposal != (host, entry.position));
        if self.proposed.len() < proposals {
            self.acknowledged = self.acknowledged.max(index);
            self.coverage.acknowledged += 1;
        }
        Ok(())
    }

    /// A committed entry is on the disks of a majority, even if they are lost since.
    fn check_durable(&self, host: usize, entry: &LogEntry) -> Checked {
        let Some(core) = &self.hosts[host].core else { return Ok(()) };
        let configuration = core.configuration();
        let holds = |replica: &&ReplicaId| {
            self.disks.get(replica).is_some_and(|disk| {
                disk.snapshot.position.index >= entry.position.index
                    || disk.entries.iter().any(|held| held.position == entry.position)
            })
        };
        let holders = configuration.voters.iter().filter(holds).count();
        // A change of members that follows the entry may have made the group one larger.
        match holders + 1 >= configuration.quorum() && holders > 0 {
            true if holders >= configuration.quorum() => Ok(()),
            true if core.log().configuration_index() > entry.position.index => Ok(()),
            _ => Err(format!("{:?} is committed but synced on {holders}", entry.position)),
        }
    }

    fn restore(&mut self, host: usize, snapshot: &SnapshotImage) -> Checked {
        let index = snapshot.position.index;
        let expected =
            self.committed.range(..=index).filter_map(|(_, entry)| match &entry.payload {
                EntryPayload::Command(command) => Some(command.to_string()),
                _ => None,
            });
        let state = decode(snapshot);
        if !expected.eq(state.iter().cloned()) {
            return Err(format!("snapshot at {index} differs from the log"));
        }
        if index < self.hosts[host].applied {
            return Err(format!("snapshot at {index} takes a replica back"));
        }
        self.hosts[host].applied = index;
        self.hosts[host].state = state;
        self.coverage.installed += 1;
        Ok(())
    }

    fn finish_read(&mut self, host: usize, ticket: ReadTicket, index: Option<LogIndex>) -> Checked {
        let found = self.reads.iter().position(|read| read.ticket == ticket);
        let Some(read) = found.map(|found| self.reads.swap_remove(found)) else { return Ok(()) };
        let Some(index) = index else { return Ok(()) };
        self.coverage.reads += 1;
        match index >= read.least {
            true => Ok(()),
            false => Err(format!(
                "{} reads at {index}, but {} was acknowledged before",
                self.hosts[host].id, read.least
            )),
        }
    }
}

fn decode(snapshot: &SnapshotImage) -> Vec<String> {
    let text = String::from_utf8_lossy(&snapshot.data);
    text.split_whitespace().map(str::to_owned).collect()
}

fn take<T>(items: &mut Vec<T>, pick: usize) -> Option<T> {
    (!items.is_empty()).then(|| items.swap_remove(pick % items.len()))
}
