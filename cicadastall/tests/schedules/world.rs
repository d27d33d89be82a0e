//! Replicas, their storage, a bag of messages, and the steps that act on them.

use super::{actions::Action, promises::decode};
use cicadastall::{
    name::InstanceName,
    replica::{MemberAdmission, ReplicaCore, ReplicaSettings, ReplicaTiming},
    replica_message::{
        EntryPayload, Epoch, JournalWrite, LogEntry, LogIndex, LogPosition, ReadTicket,
        ReplicaEnvelope, ReplicaId, ReplicaIdentity, ReplicaOutput, StoredReplica, Term,
        WriteSequence,
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

/// One replica with its storage.
pub(super) struct Host {
    pub(super) core: Option<ReplicaCore>,
    pub(super) id: ReplicaId,
    pending: VecDeque<(WriteSequence, Vec<JournalWrite>)>,
    pub(super) applied: LogIndex,
    pub(super) state: Vec<String>,
    frozen: bool,
    isolated: bool,
    /// Rate of the replica's clock, in thousandths.
    rate: u32,
}

/// A read that waits for its confirmation.
pub(super) struct OpenRead {
    pub(super) host: usize,
    pub(super) ticket: ReadTicket,
    pub(super) least: LogIndex,
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
    pub(super) hosts: Vec<Host>,
    pub(super) disks: BTreeMap<ReplicaId, StoredReplica>,
    bag: Vec<ReplicaEnvelope>,
    late: Vec<ReplicaEnvelope>,
    start: Instant,
    elapsed: Duration,
    created: u64,
    pub(super) leaders: BTreeMap<(Epoch, Term), ReplicaId>,
    pub(super) entries: BTreeMap<(Epoch, LogPosition), (EntryPayload, Term)>,
    pub(super) committed: BTreeMap<LogIndex, LogEntry>,
    pub(super) epoch: Option<Epoch>,
    pub(super) proposed: Vec<(usize, LogPosition)>,
    pub(super) acknowledged: LogIndex,
    pub(super) reads: Vec<OpenRead>,
    random: ChaCha8Rng,
    reckless: bool,
    pub coverage: Coverage,
}

pub(super) type Checked = Result<(), String>;

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
            founders: names.collect(),
            admission: MemberAdmission::Listed,
            founding_epoch: Epoch(id.identity.0),
            timing: ReplicaTiming::default(),
            max_append_entries: 2,
            snapshot_chunk_bytes: 16,
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
        let founded = |other: usize| self.disks[&self.hosts[other].id].hard_state.epoch != Epoch(0);
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
            Some(disk.hard_state.epoch) == self.epoch && disk.snapshot.position.index == LogIndex(0)
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
        self.drive(host, ReplicaCore::transfer_leadership)
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
    pub(super) fn finish(&mut self) -> Checked {
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

fn take<T>(items: &mut Vec<T>, pick: usize) -> Option<T> {
    (!items.is_empty()).then(|| items.swap_remove(pick % items.len()))
}
