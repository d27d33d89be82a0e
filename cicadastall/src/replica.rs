//! Replication core: Raft elections, log, snapshots, membership changes and linearizable reads.
//!
//! The core does no I/O. The caller feeds it messages, ticks, proposals and completed syncs, and
//! performs what [`ReplicaCore::take_output`] returns. Messages that acknowledge state are held
//! back until the writes before them are synced.

use crate::{
    name::InstanceName,
    replica_follower::{IncomingSnapshot, SnapshotChunk},
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

/// Identity in a receiver's address that matches every identity.
pub const ANY_IDENTITY: ReplicaIdentity = ReplicaIdentity(0);

/// Timing of a group; the same at all its replicas.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplicaTiming {
    /// Interval between heartbeats of the leader.
    pub heartbeat_interval: Duration,
    /// Minimum time without a message from the leader before an election; each timeout is drawn
    /// from the range between this value and twice this value.
    pub election_timeout: Duration,
    /// Validity of the leader's lease after a heartbeat that a majority has answered; zero disables
    /// leases. It is shorter than `election_timeout` by the largest drift between clocks.
    pub lease_duration: Duration,
}

impl Default for ReplicaTiming {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(350),
            election_timeout: Duration::from_millis(1_200),
            lease_duration: Duration::from_millis(1_000),
        }
    }
}

/// Which instances may become members of a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemberAdmission {
    /// Only the founders.
    Listed,
    /// Any instance that asks; the name of a member is the address at which the others reach it.
    Open {
        /// Whether this replica may found the group.
        may_found: bool,
        /// Time without a reply after which the leader removes a learner, or a voter while there
        /// are more than `min_voters`.
        remove_after: Duration,
        /// Number of voters below which none is removed that is silent or leaving: twice the number of
        /// disks that may be lost at once, plus one.
        min_voters: usize,
    },
}

impl MemberAdmission {
    /// Whether a group of `voters` can lose one for good and still bear what it is meant to.
    pub(crate) fn has_spare(self, voters: usize) -> bool {
        matches!(self, Self::Open { min_voters, .. } if voters > min_voters)
    }

    pub(crate) fn is_open(self) -> bool {
        matches!(self, Self::Open { .. })
    }

    pub(crate) fn may_found(self) -> bool {
        !matches!(self, Self::Open { may_found: false, .. })
    }
}

/// Start parameters of a [`ReplicaCore`].
#[derive(Debug, Clone)]
pub struct ReplicaSettings {
    /// Instance, and identity of its storage.
    pub own: ReplicaId,
    /// Instances that found the group; the first one starts the founding.
    pub founders: SmallVec<[InstanceName; 3]>,
    /// Which instances may be members.
    pub admission: MemberAdmission,
    /// Epoch of the group if this replica founds it.
    pub founding_epoch: Epoch,
    /// Timing of the group.
    pub timing: ReplicaTiming,
    /// Maximum number of entries in one message.
    pub max_append_entries: usize,
    /// Maximum size of a snapshot chunk.
    pub snapshot_chunk_bytes: usize,
    /// Seed of the random election timeouts.
    pub seed: u64,
}

/// Why a request to a replica is refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReplicaError {
    /// This replica is not the leader; holds the leader, if known.
    NotLeader(Option<ReplicaId>),
    /// Refounding is refused, since there is a leader or an election may still succeed.
    LeaderPresent,
    /// The replica belongs to no group.
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

/// Role of a replica.
#[derive(Debug)]
pub(crate) enum ReplicaRole {
    /// Belongs to no group yet.
    Uninitialized {
        /// Founders without a group from which this replica has received a `Join`.
        known: Vec<ReplicaId>,
        /// Those whose `Join` named this replica's identity.
        confirmed: Vec<ReplicaId>,
    },
    /// Follows a leader, if one is known.
    Follower { leader: Option<ReplicaId> },
    /// Has sent pre-votes.
    PreCandidate { grants: SmallVec<[ReplicaId; 3]> },
    /// Has sent vote requests.
    Candidate { grants: SmallVec<[ReplicaId; 3]> },
    /// Leads the group.
    Leader(LeaderState),
}

/// One replica of a group.
#[derive(Debug)]
pub struct ReplicaCore {
    pub(crate) settings: ReplicaSettings,
    pub(crate) hard_state: HardState,
    pub(crate) log: ReplicaLog,
    pub(crate) role: ReplicaRole,
    pub(crate) commit_index: LogIndex,
    /// Commit index in storage; a restarted replica that is cut off applies the entries up to it.
    pub(crate) stored_commit_index: LogIndex,
    pub(crate) commit_stored_at: Instant,
    pub(crate) output: ReplicaOutput,
    /// Last log entry that is synced.
    pub(crate) synced_index: LogIndex,
    pub(crate) rng: ChaCha8Rng,
    /// Last entry passed to the caller as committed.
    pub(crate) delivered_index: LogIndex,
    /// Time of the last message from a leader; with leases, initially the time of the start.
    pub(crate) leader_heard_at: Option<Instant>,
    /// Time of the start, of the last message from a leader, or of the loss of leadership.
    pub(crate) leaderless_since: Instant,
    /// Time of the next election, pre-vote or join request.
    pub(crate) next_timeout: Instant,
    /// Last batch of writes given to the caller.
    pub(crate) issued_sequence: WriteSequence,
    /// Last batch of writes that is synced.
    pub(crate) synced_sequence: WriteSequence,
    /// Batches that are not synced yet, with the last log entry after each.
    pub(crate) unsynced_batches: VecDeque<(WriteSequence, LogIndex)>,
    /// Messages to send once a batch is synced.
    pub(crate) held_messages: VecDeque<(WriteSequence, ReplicaEnvelope)>,
    pub(crate) incoming: Option<IncomingSnapshot>,
    /// Newer epoch under which the group was refounded without this replica.
    pub(crate) superseding_epoch: Option<Epoch>,
    /// Whether this replica is about to stop; it then votes, but does not stand for election.
    pub(crate) leaving: bool,
}

impl ReplicaCore {
    /// Creates a replica that starts at `now` from the content of its storage.
    pub fn new(settings: ReplicaSettings, stored: StoredReplica, now: Instant) -> Self {
        let log = ReplicaLog::new(stored.snapshot, stored.entries);
        let commit_index = stored.commit_index.min(log.last().index).max(log.base());
        let role = match stored.hard_state.epoch {
            Epoch(0) => ReplicaRole::Uninitialized { known: Vec::new(), confirmed: Vec::new() },
            _ => ReplicaRole::Follower { leader: None },
        };
        let mut core = Self {
            hard_state: stored.hard_state,
            commit_index,
            stored_commit_index: commit_index,
            commit_stored_at: now,
            delivered_index: log.base(),
            synced_index: log.last().index,
            log,
            output: ReplicaOutput::default(),
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            leader_heard_at: None,
            role,
            leaderless_since: now,
            next_timeout: now,
            issued_sequence: WriteSequence(0),
            synced_sequence: WriteSequence(0),
            unsynced_batches: VecDeque::new(),
            held_messages: VecDeque::new(),
            incoming: None,
            superseding_epoch: None,
            leaving: false,
            settings,
        };
        if core.is_uninitialized() {
            return core;
        }
        if core.settings.timing.lease_duration.is_zero() {
            core.schedule_pre_vote(now);
        } else {
            // A reply sent before the restart may have renewed the leader's lease.
            core.leader_heard_at = Some(now);
            core.reset_election_timeout(now);
        }
        core
    }

    /// Instance and identity of this replica.
    pub fn own(&self) -> &ReplicaId {
        &self.settings.own
    }

    /// Epoch of the group, or 0 if the replica belongs to none.
    pub fn epoch(&self) -> Epoch {
        self.hard_state.epoch
    }

    /// Newest term seen.
    pub fn term(&self) -> Term {
        self.hard_state.term
    }

    /// Whether the replica considers itself the leader.
    pub fn is_leader(&self) -> bool {
        matches!(self.role, ReplicaRole::Leader(_))
    }

    /// Whether the replica belongs to no group.
    pub fn is_uninitialized(&self) -> bool {
        matches!(self.role, ReplicaRole::Uninitialized { .. })
    }

    /// The leader, if one is known.
    pub fn leader(&self) -> Option<&ReplicaId> {
        match &self.role {
            ReplicaRole::Leader(_) => Some(&self.settings.own),
            ReplicaRole::Follower { leader } => leader.as_ref(),
            _ => None,
        }
    }

    /// Last entry known to be committed.
    pub fn commit_index(&self) -> LogIndex {
        self.commit_index
    }

    /// Newest configuration in the log, committed or not.
    pub fn configuration(&self) -> &GroupConfiguration {
        self.log.configuration()
    }

    /// In-memory log.
    pub fn log(&self) -> &ReplicaLog {
        &self.log
    }

    /// Newer epoch under which the group was refounded without this replica.
    pub fn superseding_epoch(&self) -> Option<Epoch> {
        self.superseding_epoch
    }

    /// Whether this replica is a voter of the newest configuration in the log.
    pub(crate) fn is_voter(&self) -> bool {
        self.log.configuration().is_voter(&self.settings.own)
    }

    /// Whether the newest configuration in the log is committed.
    pub fn is_configuration_committed(&self) -> bool {
        self.log.configuration_index() <= self.commit_index
    }

    /// Whether this replica may stop without a request to be removed: it has been removed, or the
    /// group has no voter to spare.
    pub fn may_stop(&self) -> bool {
        let configuration = self.log.configuration();
        let is_voter = configuration.is_voter(&self.settings.own);
        self.is_configuration_committed()
            && !(is_voter && self.settings.admission.has_spare(configuration.voters.len()))
    }

    /// Takes the pending output, which the caller must perform.
    pub fn take_output(&mut self, now: Instant) -> ReplicaOutput {
        self.advance_transfer(now);
        self.send_entries(now);
        self.deliver_committed();
        self.store_commit_index(now);
        if !self.output.writes.is_empty() {
            self.unsynced_batches.push_back((self.issued_sequence, self.log.last().index));
        }
        self.output.sequence = self.issued_sequence;
        mem::take(&mut self.output)
    }

    /// Reports that the writes up to `sequence` are synced.
    pub fn mark_synced(&mut self, sequence: WriteSequence, now: Instant) {
        self.synced_sequence = self.synced_sequence.max(sequence);
        while let Some((_, index)) =
            self.unsynced_batches.pop_front_if(|(first, _)| *first <= sequence)
        {
            self.synced_index = index;
        }
        while let Some((_, envelope)) =
            self.held_messages.pop_front_if(|(first, _)| *first <= sequence)
        {
            self.output.messages.push(envelope);
        }
        self.advance_commit(now);
    }

    /// Starts whatever is due at `now`; to be called at short intervals.
    pub fn tick(&mut self, now: Instant) {
        match &self.role {
            ReplicaRole::Uninitialized { .. } => self.send_join_requests(now),
            ReplicaRole::Leader(_) => self.tick_leader(now),
            _ if now >= self.next_timeout => self.start_pre_vote(now),
            _ => {}
        }
    }

    /// Processes a message; one with another receiver is ignored.
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
            ReplicaMessage::Snapshot { term, .. } if self.is_uninitialized() => {
                self.hard_state.term = self.hard_state.term.max(term);
            }
            _ if self.is_uninitialized() => return,
            _ if epoch != self.hard_state.epoch => return self.reject_epoch(epoch, from, message),
            _ => {}
        }
        self.receive_member(epoch, from, message, now);
    }

    /// Handles a message of another epoch: remembers a newer epoch, and refuses pre-votes of an
    /// older one, so that their sender learns that the group was refounded.
    pub(crate) fn reject_epoch(&mut self, epoch: Epoch, from: ReplicaId, message: ReplicaMessage) {
        if epoch > self.hard_state.epoch {
            self.superseding_epoch = self.superseding_epoch.max(Some(epoch));
        } else if let ReplicaMessage::PreVote { .. } = message {
            let term = self.hard_state.term;
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
                if self.is_lease_released(given_up) || !self.is_lease_possible(now) {
                    self.on_vote(from, term, last, now);
                }
            }
            ReplicaMessage::TimeoutNow { term } => self.on_timeout_now(&from, term, now),
            ReplicaMessage::VoteReply { term, granted } => {
                self.on_vote_reply(from, term, granted, now);
            }
            ReplicaMessage::Append { term, round, previous, commit, entries } => {
                let Some(outcome) = self.accept_leader(&from, term, now).then(|| {
                    let outcome = self.append_entries(previous, entries);
                    if let AppendOutcome::Matched(matched) = outcome {
                        self.commit_index = self.commit_index.max(commit.min(matched));
                    }
                    outcome
                }) else {
                    return self.reply_stale_term(from, round);
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
                    return self.reply_stale_term(from, round);
                }
                let chunk = SnapshotChunk { epoch, position, configuration, offset, total };
                let outcome = self.accept_snapshot(chunk, &data, now);
                self.reply_append(from, round, outcome);
            }
            ReplicaMessage::AppendReply { term, round, outcome, leaving } => {
                self.note_leaving(&from, leaving);
                self.on_append_reply(from, term, round, outcome, now);
            }
            ReplicaMessage::Join { .. } | ReplicaMessage::Found { .. } => {}
        }
    }

    /// Sends a message without waiting for writes.
    pub(crate) fn send(&mut self, to: ReplicaId, message: ReplicaMessage) {
        let envelope = self.make_envelope(to, message);
        self.output.messages.push(envelope);
    }

    /// Sends a message once all writes issued so far are synced.
    pub(crate) fn send_synced(&mut self, to: ReplicaId, message: ReplicaMessage) {
        if self.synced_sequence == self.issued_sequence {
            return self.send(to, message);
        }
        let envelope = self.make_envelope(to, message);
        self.held_messages.push_back((self.issued_sequence, envelope));
    }

    pub(crate) fn make_envelope(&self, to: ReplicaId, message: ReplicaMessage) -> ReplicaEnvelope {
        let joined = self.incoming.as_ref().filter(|_| self.is_uninitialized());
        let epoch = joined.map_or(self.hard_state.epoch, |incoming| incoming.epoch);
        ReplicaEnvelope { epoch, from: self.settings.own.clone(), to, message }
    }

    /// Adds a write to the output; the first one starts a new batch.
    pub(crate) fn write(&mut self, write: JournalWrite) {
        if self.output.writes.is_empty() {
            self.issued_sequence = self.issued_sequence.next();
        }
        self.output.writes.push(write);
    }

    pub(crate) fn write_hard_state(&mut self) {
        self.write(JournalWrite::Hard(self.hard_state.clone()));
    }

    pub(crate) fn append_local(&mut self, payload: EntryPayload) -> LogPosition {
        let index = self.log.last().index.next();
        let position = LogPosition { term: self.hard_state.term, index };
        let entry = LogEntry { position, payload };
        self.write(JournalWrite::Append(vec![entry.clone()]));
        self.log.append([entry]);
        position
    }

    pub(crate) fn reset_election_timeout(&mut self, now: Instant) {
        let shortest = self.settings.timing.election_timeout;
        let extra = self.rng.random_range(0..=shortest.as_micros() as u64);
        self.next_timeout = now + shortest + Duration::from_micros(extra);
    }

    /// Schedules the next pre-votes after an election without a result, such as one of two candidates that
    /// lost their leader at the same moment, after half an election timeout to a whole one.
    pub(crate) fn schedule_next_candidacy(&mut self, now: Instant) {
        let shortest = self.settings.timing.election_timeout / 2;
        let extra = self.rng.random_range(0..=shortest.as_micros() as u64);
        self.next_timeout = now + shortest + Duration::from_micros(extra);
    }

    /// Schedules the next pre-votes after half to one and a half heartbeat intervals.
    ///
    /// Repeating them early is harmless, since replicas with a recent leader refuse them.
    pub(crate) fn schedule_pre_vote(&mut self, now: Instant) {
        let heartbeat = self.settings.timing.heartbeat_interval.as_micros() as u64;
        let pause = self.rng.random_range(heartbeat / 2..=heartbeat * 3 / 2);
        self.next_timeout = now + Duration::from_micros(pause);
    }

    /// Becomes a follower in `term`, or in the current term if that is newer.
    pub(crate) fn become_follower(&mut self, term: Term, leader: Option<ReplicaId>, now: Instant) {
        if term > self.hard_state.term {
            self.hard_state.term = term;
            self.hard_state.vote = None;
            self.write_hard_state();
        }
        let previous = mem::replace(&mut self.role, ReplicaRole::Follower { leader });
        if let ReplicaRole::Leader(state) = previous {
            self.leaderless_since = now;
            let lost = state.pending_reads.into_iter().map(|read| (read.ticket, None));
            self.output.reads.extend(lost);
        }
        self.reset_election_timeout(now);
    }

    /// Stores a new commit index along with other writes, or after an election timeout without any.
    pub(crate) fn store_commit_index(&mut self, now: Instant) {
        let due = now >= self.commit_stored_at + self.settings.timing.election_timeout;
        if self.commit_index > self.stored_commit_index && (due || !self.output.writes.is_empty()) {
            self.write(JournalWrite::Commit(self.commit_index));
            self.stored_commit_index = self.commit_index;
            self.commit_stored_at = now;
        }
    }

    pub(crate) fn deliver_committed(&mut self) {
        // An entry committed by other replicas can still be lost here until it is synced.
        let limit = self.commit_index.min(self.synced_index);
        if limit > self.delivered_index {
            let entries = self.log.range(self.delivered_index.next(), limit);
            self.output.committed.extend_from_slice(entries);
            self.delivered_index = limit;
        }
    }
}
