//! Replication core: election, log, snapshots, membership and reads, without input or output.
//!
//! The caller passes messages, ticks, proposals and finished syncs in, and performs what
//! [`ReplicaCore::take_output`] returns. A message that acknowledges something stays inside until
//! the writes before it are synced.

use crate::{
    name::InstanceName,
    replica_follower::{IncomingSnapshot, SnapshotPart},
    replica_leader::LeaderState,
    replica_log::ReplicaLog,
    replica_message::{
        AppendOutcome, EntryPayload, Epoch, GroupConfiguration, HardState, JournalWrite, LogEntry,
        LogIndex, LogPosition, ReplicaEnvelope, ReplicaId, ReplicaIdentity, ReplicaMessage,
        ReplicaOutput, StoredReplica, Term, WriteSequence,
    },
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smallvec::SmallVec;
use std::{collections::VecDeque, mem, time::Duration};
use tokio::time::Instant;

/// Identity that stands for any in an address.
pub const ANY_IDENTITY: ReplicaIdentity = ReplicaIdentity(0);

/// Periods of a group; the same at all its replicas.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplicaTiming {
    /// Time between two heartbeats of the leader.
    pub heartbeat: Duration,
    /// Shortest silence of the leader after which another may be elected; the longest is twice it.
    pub election: Duration,
    /// Time after a heartbeat for which its sender leads for certain, once a majority has
    /// answered; shorter than `election` by the greatest drift between clocks.
    pub lease: Duration,
}

impl Default for ReplicaTiming {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(350),
            election: Duration::from_millis(1_200),
            lease: Duration::from_millis(1_000),
        }
    }
}

/// Which instances may become members of a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberAdmission {
    /// Only those that are listed.
    Listed,
    /// Any that asks; each is named by the address at which the others reach it.
    Open {
        /// Whether this replica may found the group.
        founding: bool,
        /// Silence after which a voter is removed, while the number of voters is even.
        retire_after: Duration,
    },
}

impl MemberAdmission {
    pub(crate) fn is_open(self) -> bool {
        matches!(self, Self::Open { .. })
    }

    pub(crate) fn may_found(self) -> bool {
        !matches!(self, Self::Open { founding: false, .. })
    }
}

/// What a core is started with.
#[derive(Debug, Clone)]
pub struct ReplicaSettings {
    /// Instance and identity of the storage.
    pub own: ReplicaId,
    /// Instances that found the group, the first one in the name of all.
    pub instances: SmallVec<[InstanceName; 3]>,
    /// Which instances may be members.
    pub admission: MemberAdmission,
    /// Epoch of a group founded by this replica.
    pub founding: Epoch,
    /// Periods.
    pub timing: ReplicaTiming,
    /// Most entries of one message.
    pub append_entries: usize,
    /// Most bytes of a part of a snapshot.
    pub snapshot_part: usize,
    /// Seed for election timeouts.
    pub seed: u64,
}

/// Why a proposal or a read is refused at once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReplicaError {
    /// Another replica leads, or none is known to.
    NotLeader(Option<ReplicaId>),
    /// A majority may still be reachable or elect a leader, so the group is not refounded.
    LeaderPresent,
    /// The replica holds no state of a group.
    NoGroup,
}

impl std::fmt::Display for ReplicaError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::NotLeader(Some(leader)) => write!(formatter, "not the leader; {leader} leads"),
            Self::NotLeader(None) => formatter.write_str("not the leader, and none is known"),
            Self::LeaderPresent => {
                formatter.write_str("the group has a leader, or had one a moment ago")
            }
            Self::NoGroup => formatter.write_str("the replica belongs to no group"),
        }
    }
}

impl std::error::Error for ReplicaError {}

/// Part that a replica plays.
#[derive(Debug)]
pub(crate) enum ReplicaRole {
    /// Belongs to no group yet.
    Absent {
        /// Others without a group, of which this one has heard.
        joins: Vec<ReplicaId>,
        /// Those of them that have heard of this one.
        answered: Vec<ReplicaId>,
    },
    /// Follows a leader, if it knows one.
    Follower { leader: Option<ReplicaId> },
    /// Asks whether it would be elected.
    PreCandidate { grants: SmallVec<[ReplicaId; 3]> },
    /// Stands for election.
    Candidate { grants: SmallVec<[ReplicaId; 3]> },
    /// Leads.
    Leader(LeaderState),
}

/// One replica of a group.
#[derive(Debug)]
pub struct ReplicaCore {
    pub(crate) settings: ReplicaSettings,
    pub(crate) hard: HardState,
    pub(crate) log: ReplicaLog,
    pub(crate) role: ReplicaRole,
    pub(crate) commit: LogIndex,
    /// Commit index in storage, from which a replica that is cut off restarts.
    pub(crate) noted_commit: LogIndex,
    pub(crate) noted_at: Instant,
    pub(crate) output: ReplicaOutput,
    pub(crate) synced: LogIndex,
    pub(crate) random: ChaCha8Rng,
    pub(crate) delivered: LogIndex,
    /// Time of the last message of a leader, or of the start where leases are granted.
    pub(crate) heard: Option<Instant>,
    /// Time since which no leader is known; at the earliest the start.
    pub(crate) leaderless: Instant,
    pub(crate) deadline: Instant,
    pub(crate) sequence: WriteSequence,
    pub(crate) finished: WriteSequence,
    pub(crate) unsynced: VecDeque<(WriteSequence, LogIndex)>,
    pub(crate) held: VecDeque<(WriteSequence, ReplicaEnvelope)>,
    pub(crate) incoming: Option<IncomingSnapshot>,
    pub(crate) superseded: Option<Epoch>,
}

impl ReplicaCore {
    /// A replica that starts at `now` from what its storage holds.
    pub fn new(settings: ReplicaSettings, stored: StoredReplica, now: Instant) -> Self {
        let log = ReplicaLog::new(stored.snapshot, stored.entries);
        let commit = stored.commit.min(log.last().index).max(log.base());
        let role = match stored.hard.epoch {
            Epoch(0) => ReplicaRole::Absent { joins: Vec::new(), answered: Vec::new() },
            _ => ReplicaRole::Follower { leader: None },
        };
        let mut core = Self {
            hard: stored.hard,
            commit,
            noted_commit: commit,
            noted_at: now,
            delivered: log.base(),
            synced: log.last().index,
            log,
            output: ReplicaOutput::default(),
            random: ChaCha8Rng::seed_from_u64(settings.seed),
            heard: None,
            role,
            leaderless: now,
            deadline: now,
            sequence: WriteSequence(0),
            finished: WriteSequence(0),
            unsynced: VecDeque::new(),
            held: VecDeque::new(),
            incoming: None,
            superseded: None,
            settings,
        };
        if core.is_absent() {
            return core;
        }
        if core.settings.timing.lease.is_zero() {
            core.reset_pre_vote(now);
        } else {
            // An answer given before the restart may have renewed a lease.
            core.heard = Some(now);
            core.reset_deadline(now);
        }
        core
    }

    /// This replica.
    pub fn own(&self) -> &ReplicaId {
        &self.settings.own
    }

    /// Epoch of the group, or 0 if the replica belongs to none.
    pub fn epoch(&self) -> Epoch {
        self.hard.epoch
    }

    /// Newest term that the replica has seen.
    pub fn term(&self) -> Term {
        self.hard.term
    }

    /// Whether the replica leads, as far as it knows.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, ReplicaRole::Leader(_))
    }

    /// Whether the replica belongs to no group.
    pub fn is_absent(&self) -> bool {
        matches!(self.role, ReplicaRole::Absent { .. })
    }

    /// The leader, as far as the replica knows.
    pub fn leader(&self) -> Option<&ReplicaId> {
        match &self.role {
            ReplicaRole::Leader(_) => Some(&self.settings.own),
            ReplicaRole::Follower { leader } => leader.as_ref(),
            _ => None,
        }
    }

    /// Last entry known to be committed.
    pub fn commit(&self) -> LogIndex {
        self.commit
    }

    /// Members by the newest entry.
    pub fn configuration(&self) -> &GroupConfiguration {
        self.log.configuration()
    }

    /// The log.
    pub fn log(&self) -> &ReplicaLog {
        &self.log
    }

    /// Newer epoch under which the group was refounded without this replica.
    pub fn superseded(&self) -> Option<Epoch> {
        self.superseded
    }

    /// Takes everything that the caller has to do.
    pub fn take_output(&mut self, now: Instant) -> ReplicaOutput {
        self.advance_handover(now);
        self.send_entries(now);
        self.deliver();
        self.note_commit(now);
        if !self.output.writes.is_empty() {
            self.unsynced.push_back((self.sequence, self.log.last().index));
        }
        self.output.sequence = self.sequence;
        mem::take(&mut self.output)
    }

    /// Reports that the writes up to `sequence` are synced.
    pub fn mark_synced(&mut self, sequence: WriteSequence, now: Instant) {
        self.finished = self.finished.max(sequence);
        while let Some((_, index)) = self.unsynced.pop_front_if(|(first, _)| *first <= sequence) {
            self.synced = index;
        }
        while let Some((_, envelope)) = self.held.pop_front_if(|(first, _)| *first <= sequence) {
            self.output.messages.push(envelope);
        }
        self.advance_commit(now);
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Instant) {
        match &self.role {
            ReplicaRole::Absent { .. } => self.seek_group(now),
            ReplicaRole::Leader(_) => self.tick_leader(now),
            _ if now >= self.deadline => self.start_pre_vote(now),
            _ => {}
        }
    }

    /// Takes a message in.
    pub fn receive(&mut self, envelope: ReplicaEnvelope, now: Instant) {
        let own = &self.settings.own;
        let addressed = [own.identity, ANY_IDENTITY].contains(&envelope.to.identity);
        if !addressed || envelope.to.instance != own.instance || envelope.from == *own {
            return;
        }
        let ReplicaEnvelope { epoch, from, message, .. } = envelope;
        match message {
            ReplicaMessage::Join { heard } => return self.on_join(from, heard, now),
            ReplicaMessage::Found { configuration } => {
                return self.on_found(epoch, from, configuration, now);
            }
            ReplicaMessage::Snapshot { term, .. } if self.is_absent() => {
                self.hard.term = self.hard.term.max(term);
            }
            _ if self.is_absent() => return,
            _ if epoch != self.hard.epoch => return self.on_other_epoch(epoch, from, message),
            _ => {}
        }
        self.receive_member(epoch, from, message, now);
    }

    /// A replica that was not there when the group was founded anew learns of it.
    pub(crate) fn on_other_epoch(
        &mut self,
        epoch: Epoch,
        from: ReplicaId,
        message: ReplicaMessage,
    ) {
        if epoch > self.hard.epoch {
            self.superseded = self.superseded.max(Some(epoch));
        } else if let ReplicaMessage::PreVote { .. } = message {
            let term = self.hard.term;
            self.send_synced(from, ReplicaMessage::PreVoteReply { term, granted: false });
        }
    }

    pub(crate) fn receive_member(
        &mut self,
        epoch: Epoch,
        from: ReplicaId,
        message: ReplicaMessage,
        now: Instant,
    ) {
        match message {
            ReplicaMessage::PreVote { term, last } => self.on_pre_vote(from, term, last, now),
            ReplicaMessage::PreVoteReply { term, granted } => {
                self.on_pre_vote_reply(from, term, granted, now);
            }
            ReplicaMessage::Vote { term, last, given_up } => {
                if self.is_lease_given_up(given_up) || !self.is_lease_possible(now) {
                    self.on_vote(from, term, last, now);
                }
            }
            ReplicaMessage::Stand { term } => self.on_stand(&from, term, now),
            ReplicaMessage::VoteReply { term, granted } => {
                self.on_vote_reply(from, term, granted, now);
            }
            ReplicaMessage::Append { term, round, previous, commit, entries } => {
                let Some(outcome) = self.accept_leader(&from, term, now).then(|| {
                    let outcome = self.append_entries(previous, entries);
                    if let AppendOutcome::Matched(matched) = outcome {
                        self.commit = self.commit.max(commit.min(matched));
                    }
                    outcome
                }) else {
                    return self.reply_stale(from, round);
                };
                self.reply_append(from, round, outcome);
            }
            ReplicaMessage::Snapshot {
                term,
                round,
                position,
                configuration,
                offset,
                total,
                data,
            } => {
                if !self.accept_leader(&from, term, now) {
                    return self.reply_stale(from, round);
                }
                let part = SnapshotPart { epoch, position, configuration, offset, total };
                let outcome = self.accept_snapshot(part, &data, now);
                self.reply_append(from, round, outcome);
            }
            ReplicaMessage::AppendReply { term, round, outcome } => {
                self.on_append_reply(from, term, round, outcome, now);
            }
            ReplicaMessage::Join { .. } | ReplicaMessage::Found { .. } => {}
        }
    }

    /// Sends a message at once.
    pub(crate) fn send(&mut self, to: ReplicaId, message: ReplicaMessage) {
        let envelope = self.address(to, message);
        self.output.messages.push(envelope);
    }

    /// Sends a message once all writes asked for so far are synced.
    pub(crate) fn send_synced(&mut self, to: ReplicaId, message: ReplicaMessage) {
        if self.finished == self.sequence {
            return self.send(to, message);
        }
        let envelope = self.address(to, message);
        self.held.push_back((self.sequence, envelope));
    }

    pub(crate) fn address(&self, to: ReplicaId, message: ReplicaMessage) -> ReplicaEnvelope {
        let joined = self.incoming.as_ref().filter(|_| self.is_absent());
        let epoch = joined.map_or(self.hard.epoch, |incoming| incoming.epoch);
        ReplicaEnvelope { epoch, from: self.settings.own.clone(), to, message }
    }

    /// Asks the caller for a change of storage.
    pub(crate) fn write(&mut self, write: JournalWrite) {
        if self.output.writes.is_empty() {
            self.sequence = self.sequence.next();
        }
        self.output.writes.push(write);
    }

    pub(crate) fn write_hard(&mut self) {
        self.write(JournalWrite::Hard(self.hard.clone()));
    }

    pub(crate) fn append_own(&mut self, payload: EntryPayload) -> LogPosition {
        let index = self.log.last().index.next();
        let position = LogPosition { term: self.hard.term, index };
        let entry = LogEntry { position, payload };
        self.write(JournalWrite::Append(vec![entry.clone()]));
        self.log.append([entry]);
        position
    }

    pub(crate) fn reset_deadline(&mut self, now: Instant) {
        let shortest = self.settings.timing.election;
        let extra = self.random.random_range(0..=shortest.as_micros() as u64);
        self.deadline = now + shortest + Duration::from_micros(extra);
    }

    /// Sets the time of the next round of pre-votes, which change nothing where a leader is heard.
    pub(crate) fn reset_pre_vote(&mut self, now: Instant) {
        let heartbeat = self.settings.timing.heartbeat.as_micros() as u64;
        let pause = self.random.random_range(heartbeat / 2..=heartbeat * 3 / 2);
        self.deadline = now + Duration::from_micros(pause);
    }

    /// Gives up any other role in favour of a follower's, in `term` or the present one.
    pub(crate) fn become_follower(&mut self, term: Term, leader: Option<ReplicaId>, now: Instant) {
        if term > self.hard.term {
            self.hard.term = term;
            self.hard.vote = None;
            self.write_hard();
        }
        let previous = mem::replace(&mut self.role, ReplicaRole::Follower { leader });
        if let ReplicaRole::Leader(state) = previous {
            self.leaderless = now;
            let lost = state.reads.into_iter().map(|read| (read.ticket, None));
            self.output.reads.extend(lost);
        }
        self.reset_deadline(now);
    }

    /// Stores the commit index along with other writes, or after a while without any.
    pub(crate) fn note_commit(&mut self, now: Instant) {
        let due = now >= self.noted_at + self.settings.timing.election;
        if self.commit > self.noted_commit && (due || !self.output.writes.is_empty()) {
            self.write(JournalWrite::Commit(self.commit));
            self.noted_commit = self.commit;
            self.noted_at = now;
        }
    }

    pub(crate) fn deliver(&mut self) {
        // An entry that others have committed may be lost here until it is synced.
        let limit = self.commit.min(self.synced);
        if limit > self.delivered {
            let entries = self.log.range(self.delivered.next(), limit);
            self.output.committed.extend_from_slice(entries);
            self.delivered = limit;
        }
    }
}
