//! A simulated group: replicas, their storage, messages in transit, and the actions on them.

use super::{actions::Action, invariants::decode};
use cicadastall::{
    name::InstanceName,
    replica::{MemberAdmission, ReplicaCore, ReplicaSettings, ReplicaTiming},
    replica_message::{
        EntryPayload, Epoch, GroupConfiguration, JournalWrite, LogEntry, LogIndex, LogPosition,
        ReadTicket, ReplicaEnvelope, ReplicaId, ReplicaIdentity, ReplicaOutput, StoredReplica,
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

/// Time without a reply after which a member of an open group may be removed.
const REMOVE_AFTER: Duration = Duration::from_secs(3);

/// Rounds within which a replica must have left its group, as a stopping instance waits 3.75 s.
const STOP_ROUNDS: u64 = 150;

/// Proposals within which one must be acknowledged, and the rounds after each.
const ACKNOWLEDGEMENT_ROUNDS: u64 = 40;
const ROUNDS_BETWEEN_PROPOSALS: u64 = 8;

/// One instance, with its replica while it runs.
pub(super) struct SimulatedHost {
    pub(super) core: Option<ReplicaCore>,
    pub(super) id: ReplicaId,
    pending: VecDeque<(WriteSequence, Vec<JournalWrite>)>,
    pub(super) applied: LogIndex,
    pub(super) state: Vec<String>,
    frozen: bool,
    isolated: bool,
    /// Whether the host has ended for good.
    removed: bool,
    /// Whether the disk refuses every write.
    full: bool,
    /// Speed of the clock in thousandths of real time.
    rate: u32,
}

/// A linearizable read that has no outcome yet.
pub(super) struct PendingRead {
    pub(super) host: usize,
    pub(super) ticket: ReadTicket,
    /// Newest acknowledged entry at the start of the read, which it must see.
    pub(super) min_index: LogIndex,
}

/// Numbers of events that a schedule caused.
#[derive(Debug, Default, Clone, Copy)]
pub struct Coverage {
    pub elections: usize,
    pub committed: usize,
    pub acknowledged: usize,
    pub reads: usize,
    pub membership_changes: usize,
    pub snapshots_installed: usize,
}

impl AddAssign for Coverage {
    fn add_assign(&mut self, other: Self) {
        self.elections += other.elections;
        self.committed += other.committed;
        self.acknowledged += other.acknowledged;
        self.reads += other.reads;
        self.membership_changes += other.membership_changes;
        self.snapshots_installed += other.snapshots_installed;
    }
}

/// Replicas, messages and the history that the invariants are checked against.
pub struct SimulatedCluster {
    pub(super) hosts: Vec<SimulatedHost>,
    pub(super) disks: BTreeMap<ReplicaId, StoredReplica>,
    /// Messages that `RunRounds` delivers.
    in_transit: Vec<ReplicaEnvelope>,
    /// Messages that only `DeliverDelayed` delivers.
    delayed: Vec<ReplicaEnvelope>,
    start: Instant,
    elapsed: Duration,
    /// Last number used for an identity, a command or a read.
    last_id: u64,
    pub(super) leaders: BTreeMap<(Epoch, Term), ReplicaId>,
    pub(super) entries: BTreeMap<(Epoch, LogPosition), (EntryPayload, Term)>,
    pub(super) committed: BTreeMap<LogIndex, LogEntry>,
    pub(super) epoch: Option<Epoch>,
    pub(super) proposed: Vec<(usize, LogPosition)>,
    pub(super) acknowledged: LogIndex,
    pub(super) reads: Vec<PendingRead>,
    random: ChaCha8Rng,
    /// Whether a disk was lost without regard to the majority.
    quorum_may_be_lost: bool,
    /// Number of founders of an open group; none if only the listed hosts may be members.
    founders: Option<usize>,
    pub coverage: Coverage,
}

pub(super) type CheckResult = Result<(), String>;

impl SimulatedCluster {
    /// Starts a group of `size` hosts, which is open if the first `founders` of them found it.
    pub fn new(size: usize, founders: Option<usize>) -> Self {
        let mut cluster = Self {
            hosts: Vec::new(),
            disks: BTreeMap::new(),
            in_transit: Vec::new(),
            delayed: Vec::new(),
            start: Instant::now(),
            elapsed: Duration::ZERO,
            last_id: 0,
            leaders: BTreeMap::new(),
            entries: BTreeMap::new(),
            committed: BTreeMap::new(),
            epoch: None,
            proposed: Vec::new(),
            acknowledged: LogIndex(0),
            reads: Vec::new(),
            random: ChaCha8Rng::seed_from_u64(size as u64),
            quorum_may_be_lost: false,
            founders,
            coverage: Coverage::default(),
        };
        for host in 0..size {
            let id = cluster.create_id(host);
            // Clocks run at 95% to 105% of real time.
            let rate = 950 + 100 * host as u32 / size as u32;
            cluster.hosts.push(SimulatedHost {
                core: None,
                id,
                pending: VecDeque::new(),
                applied: LogIndex(0),
                state: Vec::new(),
                frozen: false,
                isolated: false,
                removed: false,
                full: false,
                rate,
            });
        }
        (0..size).for_each(|host| cluster.start_core(host));
        cluster
    }

    fn create_id(&mut self, host: usize) -> ReplicaId {
        self.last_id += 1;
        let identity = ReplicaIdentity(self.last_id);
        ReplicaId { instance: InstanceName::from(format!("i{host}").as_str()), identity }
    }

    fn now(&self, host: usize) -> Instant {
        self.start + self.elapsed * self.hosts[host].rate / 1_000
    }

    fn start_core(&mut self, host: usize) {
        let id = self.hosts[host].id.clone();
        let stored = self.disks.entry(id.clone()).or_default().clone();
        let founders = self.founders.unwrap_or(self.hosts.len());
        // A restarted host is told which others run now.
        let running = self.hosts.iter().filter(|host| !host.removed);
        let names = running.take(founders).map(|host| host.id.instance.clone());
        let settings = ReplicaSettings {
            own: id.clone(),
            founders: names.collect(),
            admission: match self.founders {
                None => MemberAdmission::Listed,
                Some(founders) => MemberAdmission::Open {
                    may_found: host < founders,
                    remove_after: REMOVE_AFTER,
                    min_voters: founders,
                },
            },
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

    fn is_awake(&self, host: usize) -> bool {
        self.hosts[host].core.is_some() && !self.hosts[host].frozen
    }

    pub fn perform(&mut self, action: Action) -> CheckResult {
        let size = self.hosts.len();
        match action {
            Action::Deliver(pick) => {
                if let Some(message) = take_picked(&mut self.in_transit, pick) {
                    self.deliver(message)?;
                }
            }
            Action::DeliverDelayed(pick) => {
                if let Some(message) = take_picked(&mut self.delayed, pick) {
                    self.deliver(message)?;
                }
            }
            Action::Drop(pick) => drop(take_picked(&mut self.in_transit, pick)),
            Action::Delay(pick) => self.delayed.extend(take_picked(&mut self.in_transit, pick)),
            Action::Duplicate(pick) => {
                let message = self.in_transit.get(pick % self.in_transit.len().max(1));
                self.delayed.extend(message.cloned());
            }
            Action::Advance(ms) => self.advance(ms)?,
            Action::Sync(pick) => self.sync(pick % size)?,
            Action::Propose(pick) => self.propose(self.choose_leader(pick))?,
            Action::Read(pick) => self.read(self.choose_leader(pick))?,
            Action::Crash(pick) => self.stop_core(pick % size),
            Action::Restart(pick) => self.restart(pick % size)?,
            Action::LoseDisk(pick) => self.lose_disk(pick % size)?,
            Action::LoseAnyDisk(pick) => self.lose_any_disk(pick % size)?,
            Action::Freeze(pick) => self.hosts[pick % size].frozen = true,
            Action::FreezeLeader => {
                let leader = self.choose_leader(0);
                self.hosts[leader].frozen = true;
            }
            Action::ThawAll => self.hosts.iter_mut().for_each(|host| host.frozen = false),
            Action::Isolate(pick) => self.hosts[pick % size].isolated = true,
            Action::IsolateLeader => {
                let leader = self.choose_leader(0);
                self.hosts[leader].isolated = true;
            }
            Action::FillDisk(pick) => self.fill_disk(pick % size),
            Action::FillLeaderDisk => self.fill_disk(self.choose_leader(0)),
            Action::CrashLeader => self.stop_core(self.choose_leader(0)),
            Action::Heal => self.hosts.iter_mut().for_each(|host| host.isolated = false),
            Action::Compact(pick) => self.compact(pick % size)?,
            Action::TransferLeadership(pick) => self.transfer(self.choose_leader(pick))?,
            Action::Leave(pick) => self.step_core(pick % size, ReplicaCore::leave)?,
            Action::Retire(pick) => self.retire(pick % size)?,
            Action::Remove(pick) if self.do_all_vote() => self.remove(pick % size),
            Action::Remove(_) => {}
            Action::LoseDisksAfterAcknowledgement(pick) => {
                self.lose_disks_after_acknowledgement(pick % size)?;
            }
            Action::RunRounds(rounds) => self.run_rounds(rounds)?,
        }
        Ok(())
    }

    fn deliver(&mut self, message: ReplicaEnvelope) -> CheckResult {
        let find =
            |id: &ReplicaId| self.hosts.iter().position(|host| host.id.instance == id.instance);
        let (Some(from), Some(to)) = (find(&message.from), find(&message.to)) else {
            return Ok(());
        };
        if self.hosts[from].isolated || self.hosts[to].isolated || self.hosts[to].core.is_none() {
            return Ok(());
        }
        if self.hosts[to].frozen {
            self.in_transit.push(message);
            return Ok(());
        }
        self.step_core(to, |core, now| core.receive(message, now))
    }

    fn step_core(
        &mut self,
        host: usize,
        step: impl FnOnce(&mut ReplicaCore, Instant),
    ) -> CheckResult {
        let now = self.now(host);
        let Some(core) = self.hosts[host].core.as_mut() else { return Ok(()) };
        step(core, now);
        let output = core.take_output(now);
        self.process_output(host, output)
    }

    fn process_output(&mut self, host: usize, output: ReplicaOutput) -> CheckResult {
        if !output.writes.is_empty() {
            self.check_writes(host, &output.writes)?;
            self.hosts[host].pending.push_back((output.sequence, output.writes));
        }
        self.in_transit.extend(output.messages);
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

    fn advance(&mut self, ms: u64) -> CheckResult {
        self.elapsed += Duration::from_millis(ms);
        for host in 0..self.hosts.len() {
            if self.is_awake(host) {
                self.step_core(host, |core, now| core.tick(now))?;
            }
        }
        Ok(())
    }

    fn sync(&mut self, host: usize) -> CheckResult {
        if !self.is_awake(host) {
            return Ok(());
        }
        let Some((sequence, writes)) = self.hosts[host].pending.pop_front() else { return Ok(()) };
        if self.hosts[host].full {
            return self.restart(host);
        }
        let disk = self.disks.entry(self.hosts[host].id.clone()).or_default();
        writes.iter().for_each(|write| disk.apply(write));
        self.step_core(host, |core, now| core.mark_synced(sequence, now))
    }

    /// A host whose replica considers itself leader, newest term first; any host if there is none.
    fn choose_leader(&self, pick: usize) -> usize {
        let term = |host: &usize| self.hosts[*host].core.as_ref().map(ReplicaCore::term);
        let leads =
            |host: &usize| self.hosts[*host].core.as_ref().is_some_and(ReplicaCore::is_leader);
        let mut leaders: Vec<usize> = (0..self.hosts.len()).filter(leads).collect();
        leaders.sort_by_key(|host| std::cmp::Reverse(term(host)));
        let chosen = leaders.get(pick % leaders.len().max(1));
        chosen.copied().unwrap_or(pick % self.hosts.len())
    }

    fn propose(&mut self, host: usize) -> CheckResult {
        if !self.is_awake(host) {
            return Ok(());
        }
        self.last_id += 1;
        let command = format!("c{}", self.last_id);
        let mut position = None;
        self.step_core(host, |core, _| position = core.propose(command.into()).ok())?;
        self.proposed.extend(position.map(|position| (host, position)));
        Ok(())
    }

    fn read(&mut self, host: usize) -> CheckResult {
        if !self.is_awake(host) {
            return Ok(());
        }
        self.last_id += 1;
        let ticket = ReadTicket(self.last_id);
        self.reads.push(PendingRead { host, ticket, min_index: self.acknowledged });
        let mut refused = false;
        self.step_core(host, |core, now| refused = core.read(ticket, now).is_err())?;
        self.reads.retain(|read| !refused || read.ticket != ticket);
        Ok(())
    }

    /// Fills the disk of `host`, whose replica restarts at each write until another disk is full.
    fn fill_disk(&mut self, host: usize) {
        self.hosts.iter_mut().for_each(|host| host.full = false);
        self.hosts[host].full = true;
    }

    fn restart(&mut self, host: usize) -> CheckResult {
        self.stop_core(host);
        self.start_core(host);
        self.step_core(host, |core, now| core.tick(now))
    }

    /// Loses a disk even without a remaining majority, unless no other replica has a group.
    fn lose_any_disk(&mut self, host: usize) -> CheckResult {
        let founded = |other: usize| self.disks[&self.hosts[other].id].hard_state.epoch != Epoch(0);
        if !(0..self.hosts.len()).any(|other| other != host && founded(other)) {
            return Ok(());
        }
        self.quorum_may_be_lost = true;
        self.replace_disk(host)
    }

    /// Loses a disk if a majority of the voters keep theirs, in an open group also a majority of each
    /// configuration that is not known to be committed yet.
    fn lose_disk(&mut self, host: usize) -> CheckResult {
        let cores = self.hosts.iter().filter_map(|host| host.core.as_ref());
        let logged = cores.filter(|_| self.founders.is_some()).map(ReplicaCore::configuration);
        let mut configurations: Vec<_> = logged.cloned().collect();
        configurations.push(self.newest_configuration());
        if configurations.iter().all(|members| self.keeps_majority(members, host)) {
            return self.replace_disk(host);
        }
        Ok(())
    }

    /// Whether a majority of the voters have their disks once `host` has lost its disk.
    fn keeps_majority(&self, members: &GroupConfiguration, host: usize) -> bool {
        let lost = &self.hosts[host].id;
        let left = members
            .voters
            .iter()
            .filter(|voter| *voter != lost && self.hosts.iter().any(|host| host.id == **voter));
        !members.voters.is_empty() && left.count() >= members.quorum()
    }

    fn replace_disk(&mut self, host: usize) -> CheckResult {
        self.hosts[host].id = self.create_id(host);
        self.restart(host)
    }

    /// Ends a host for good; its replica leaves the group within the time that a stop may take.
    fn retire(&mut self, host: usize) -> CheckResult {
        if !self.do_all_vote() {
            return Ok(());
        }
        self.step_core(host, ReplicaCore::leave)?;
        for _ in 0..STOP_ROUNDS {
            if self.hosts[host].core.as_ref().is_none_or(ReplicaCore::may_stop) {
                break;
            }
            self.run_rounds(1)?;
        }
        if self.hosts[host].core.as_ref().is_some_and(|core| !core.may_stop()) {
            return Err(format!("{} has not left its group", self.hosts[host].id));
        }
        self.remove(host);
        Ok(())
    }

    /// Whether all hosts that have not ended are voters of the newest committed configuration.
    fn do_all_vote(&self) -> bool {
        let voters = self.newest_configuration().voters;
        self.hosts.iter().all(|host| host.removed || voters.contains(&host.id))
    }

    fn remove(&mut self, host: usize) {
        self.stop_core(host);
        self.hosts[host].removed = true;
    }

    /// Loses the disks of hosts from `first` on at once, right after an acknowledgement; the others
    /// must then accept a command.
    fn lose_disks_after_acknowledgement(&mut self, first: usize) -> CheckResult {
        if !self.do_all_vote() {
            return Ok(());
        }
        self.await_durable_command()?;
        let size = self.hosts.len();
        let kept = (0..size).map(|offset| (first + offset) % size);
        let kept: Vec<_> = kept.filter(|host| !self.hosts[*host].removed).collect();
        let losses = self.founders.unwrap_or(size).saturating_sub(1) / 2;
        for host in kept.into_iter().take(losses) {
            self.stop_core(host);
            self.hosts[host].id = self.create_id(host);
        }
        self.await_durable_command().map_err(|fault| format!("with lost disks: {fault}"))
    }

    /// Proposes commands until the leader may acknowledge one.
    fn await_durable_command(&mut self) -> CheckResult {
        for _ in 0..ACKNOWLEDGEMENT_ROUNDS {
            let leader = self.choose_leader(0);
            self.propose(leader)?;
            let is_proposed = |(host, _): &&(usize, LogPosition)| *host == leader;
            let proposed = self.proposed.iter().rfind(is_proposed).copied();
            for _ in 0..ROUNDS_BETWEEN_PROPOSALS {
                self.run_rounds(1)?;
                let Some((_, position)) = proposed else { continue };
                let durable = self.hosts[leader].core.as_ref().is_some_and(|core| {
                    core.is_leader()
                        && core.term() == position.term
                        && core.durable_index() >= position.index
                });
                if durable {
                    return Ok(());
                }
            }
        }
        Err("no command is acknowledged".into())
    }

    fn newest_configuration(&self) -> GroupConfiguration {
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

    fn compact(&mut self, host: usize) -> CheckResult {
        if !self.is_awake(host) {
            return Ok(());
        }
        let (applied, data) = (self.hosts[host].applied, self.hosts[host].state.join(" "));
        self.step_core(host, |core, _| core.compact(applied, data.into_bytes()))
    }

    fn transfer(&mut self, host: usize) -> CheckResult {
        if !self.is_awake(host) {
            return Ok(());
        }
        self.step_core(host, ReplicaCore::transfer_leadership)
    }

    fn run_rounds(&mut self, rounds: u64) -> CheckResult {
        for _ in 0..rounds {
            for host in 0..self.hosts.len() {
                while self.is_awake(host) && !self.hosts[host].pending.is_empty() {
                    self.sync(host)?;
                }
            }
            let mut messages = std::mem::take(&mut self.in_transit);
            while !messages.is_empty() {
                let message = messages.swap_remove(self.random.random_range(0..messages.len()));
                self.deliver(message)?;
            }
            self.advance(25)?;
        }
        Ok(())
    }

    /// Once all hosts run again, exactly the replicas of an open group vote.
    fn check_voters(&self) -> CheckResult {
        if self.founders.is_none() || self.quorum_may_be_lost {
            return Ok(());
        }
        let expected: Vec<_> = self.hosts.iter().filter(|host| !host.removed).collect();
        for core in expected.iter().filter_map(|host| host.core.as_ref()) {
            let voters = &core.configuration().voters;
            if voters.len() != expected.len()
                || !expected.iter().all(|host| voters.contains(&host.id))
            {
                return Err(format!("{} has the voters {voters:?} after repair", core.own()));
            }
        }
        Ok(())
    }

    /// Ends all faults except lost disks; the group must then accept a command.
    pub(super) fn repair_and_check(&mut self) -> CheckResult {
        for host in 0..self.hosts.len() {
            self.hosts[host].frozen = false;
            self.hosts[host].isolated = false;
            self.hosts[host].full = false;
            if self.hosts[host].core.is_none() && !self.hosts[host].removed {
                self.restart(host)?;
            }
        }
        self.run_rounds(600)?;
        let before = self.acknowledged;
        for host in 0..self.hosts.len() {
            self.propose(host)?;
        }
        self.run_rounds(40)?;
        if self.acknowledged == before && !self.quorum_may_be_lost {
            return Err("no command is accepted after repair".into());
        }
        self.check_voters()?;
        self.coverage.elections = self.leaders.len();
        self.coverage.committed = self.committed.len();
        Ok(())
    }
}

fn take_picked<T>(items: &mut Vec<T>, pick: usize) -> Option<T> {
    (!items.is_empty()).then(|| items.swap_remove(pick % items.len()))
}
