//! Leader side of replication: progress of followers, commits, reads and membership changes.

use crate::{
    replica::{MemberAdmission, ReplicaCore, ReplicaError, ReplicaRole, ReplicaTiming},
    replica_message::{
        AppendOutcome, EntryPayload, GroupConfiguration, LogEntry, LogIndex, LogPosition,
        MIN_BULK_BYTES, ReadTicket, ReplicaEnvelope, ReplicaId, ReplicaMessage, SnapshotImage,
        Term,
    },
};
use std::{cmp::Reverse, sync::Arc, time::Duration};
use tokio::time::Instant;

/// Maximum number of voters in a group; further replicas stay learners.
const MAX_VOTERS: usize = 7;

/// Size of the commands in a message from which on no further entry is added.
const MAX_APPEND_BYTES: usize = 1024 * 1024;

/// Lowest rate in bytes per second at which data is assumed to reach a member. Data that needs more
/// time at this rate is not taken for lost earlier.
const MIN_TRANSFER_RATE: u32 = 512 * 1024;

/// Heartbeat intervals without a reply after which small messages are taken for lost.
const RESEND_HEARTBEATS: u32 = 2;

/// Replication progress of another member.
#[derive(Debug)]
struct PeerProgress {
    id: ReplicaId,
    /// Next entry to send.
    next_index: LogIndex,
    /// Last entry known to be synced by the member.
    match_index: LogIndex,
    /// Entries or part of a snapshot that the member has not acknowledged yet.
    transfer: Option<PendingTransfer>,
    /// Highest round that the member has acknowledged.
    acknowledged_round: u64,
    /// Time of the member's last reply, or of the start of its progress.
    last_reply_at: Instant,
    /// Time from which the member is known to be silent, also under earlier leaders.
    silent_since: Instant,
    /// Bytes of the snapshot that the member holds, while it receives one.
    snapshot_offset: Option<u64>,
    /// The snapshot that it receives, which stays the same until it is complete.
    snapshot: Option<Arc<SnapshotImage>>,
    /// Whether the member is about to stop. It is tracked for a while after its removal, so that it
    /// learns that the removal is committed.
    is_leaving: bool,
}

/// Data on its way to a member.
#[derive(Debug, Clone, Copy)]
struct PendingTransfer {
    /// Where it starts.
    start: TransferStart,
    /// Round of the first message.
    round: u64,
    /// Time of sending, or of the last acknowledgement of a part.
    since: Instant,
    /// Size of the commands or of the part of the snapshot, in bytes.
    bytes: usize,
}

/// First entry or byte of a transfer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TransferStart {
    Entry(LogIndex),
    SnapshotOffset(u64),
}

impl PendingTransfer {
    /// Whether the data must have arrived by `now`, unless it was lost.
    fn is_overdue(&self, heartbeat_interval: Duration, now: Instant) -> bool {
        let transit = Duration::from_secs_f64(self.bytes as f64 / f64::from(MIN_TRANSFER_RATE));
        now >= self.since + heartbeat_interval * RESEND_HEARTBEATS + transit
    }
}

impl PeerProgress {
    /// Whether `entries` arrive after the data that is on its way. Large messages travel on a
    /// connection of their own.
    fn may_send(&self, entries: &[LogEntry]) -> bool {
        self.transfer.is_none_or(|transfer| transfer.bytes + sum_bytes(entries) < MIN_BULK_BYTES)
    }

    /// Records that `entries` are sent.
    fn note_entries(&mut self, entries: &[LogEntry], round: u64, now: Instant) {
        let Some(first) = entries.first() else { return };
        let bytes = sum_bytes(entries);
        match &mut self.transfer {
            Some(transfer) if matches!(transfer.start, TransferStart::Entry(_)) => {
                transfer.bytes += bytes;
            }
            transfer => {
                let start = TransferStart::Entry(first.position.index);
                *transfer = Some(PendingTransfer { start, round, since: now, bytes });
            }
        }
    }

    /// Records that the member holds all entries up to `index`; `unacknowledged` is the size of those
    /// after it that were sent, in bytes.
    fn note_match(&mut self, index: LogIndex, unacknowledged: usize, now: Instant) {
        self.next_index = self.next_index.max(index.next());
        let Some(transfer) = &mut self.transfer else { return };
        let TransferStart::Entry(start) = transfer.start else { return };
        if index >= self.next_index.previous() {
            self.transfer = None;
        } else if index >= start {
            transfer.start = TransferStart::Entry(index.next());
            (transfer.since, transfer.bytes) = (now, unacknowledged);
        }
    }

    /// Whether the member holds the entries up to `commit`, or lacks only some that are on their way.
    /// With large entries that follow each other closely, some always are.
    fn has_caught_up(&self, commit: LogIndex) -> bool {
        let begins_after_match = |transfer: PendingTransfer| match transfer.start {
            TransferStart::Entry(start) => start <= self.match_index.next(),
            TransferStart::SnapshotOffset(_) => false,
        };
        let is_receiving = self.transfer.is_some_and(begins_after_match);
        self.match_index >= commit || (is_receiving && self.next_index > commit)
    }

    /// Forgets a snapshot that the member no longer needs.
    fn end_snapshot(&mut self) {
        self.snapshot_offset = None;
        self.snapshot = None;
        self.transfer = self
            .transfer
            .filter(|transfer| !matches!(transfer.start, TransferStart::SnapshotOffset(_)));
    }
}

/// A read that waits until a majority has acknowledged `round`.
#[derive(Debug)]
pub(crate) struct PendingRead {
    pub(crate) ticket: ReadTicket,
    index: LogIndex,
    round: u64,
}

/// State of a replica while it leads.
#[derive(Debug)]
pub(crate) struct LeaderState {
    pub(crate) pending_reads: Vec<PendingRead>,
    peers: Vec<PeerProgress>,
    /// Index of the first entry of the leader's term.
    term_start: LogIndex,
    /// Start of the term. A round is the time of sending in microseconds since then, made strictly
    /// increasing.
    origin: Instant,
    last_round: u64,
    next_heartbeat: Instant,
    /// Replicas that asked to join, with the time of the last request.
    join_requests: Vec<(ReplicaId, Instant)>,
    /// Time at which a leadership transfer is abandoned, while one is under way.
    pub(crate) transfer_deadline: Option<Instant>,
}

impl LeaderState {
    /// The greatest value that a majority of voters has reached, with `own` as this replica's
    /// value, if it is a voter.
    fn quorum_value<T: Ord>(
        &self,
        configuration: &GroupConfiguration,
        own: Option<T>,
        value: impl Fn(&PeerProgress) -> T,
    ) -> Option<T> {
        let voters = self.peers.iter().filter(|peer| configuration.is_voter(&peer.id));
        let mut values: Vec<T> = voters.map(value).collect();
        values.extend(own);
        values.sort_by(|a, b| b.cmp(a));
        values.into_iter().nth(configuration.quorum() - 1)
    }

    fn next_round(&mut self, now: Instant) -> u64 {
        let elapsed = now.saturating_duration_since(self.origin).as_micros() as u64;
        self.last_round = elapsed.max(self.last_round + 1);
        self.last_round
    }

    /// Whether the lease excludes another leader at `now`; always true for a group of one voter.
    fn holds_lease(
        &self,
        configuration: &GroupConfiguration,
        is_voter: bool,
        timing: &ReplicaTiming,
        now: Instant,
    ) -> bool {
        let own = is_voter.then_some(u64::MAX);
        let confirmed = self.quorum_value(configuration, own, |peer| peer.acknowledged_round);
        match confirmed {
            None | Some(0) => false,
            Some(u64::MAX) => true,
            Some(round) => now < self.origin + Duration::from_micros(round) + timing.lease_duration,
        }
    }

    /// The voter with the latest reply among those that hold all entries up to `last`.
    pub(crate) fn transfer_target(
        &self,
        configuration: &GroupConfiguration,
        last: LogIndex,
    ) -> Option<ReplicaId> {
        let is_eligible = |peer: &&PeerProgress| {
            peer.match_index >= last && configuration.is_voter(&peer.id) && !peer.is_leaving
        };
        let target = self.peers.iter().filter(is_eligible).max_by_key(|peer| peer.last_reply_at);
        target.map(|peer| peer.id.clone())
    }

    fn peer(&mut self, replica: &ReplicaId) -> Option<&mut PeerProgress> {
        self.peers.iter_mut().find(|peer| peer.id == *replica)
    }
}

impl ReplicaCore {
    pub(crate) fn become_leader(&mut self, now: Instant) {
        let last = self.log.last().index;
        let state = LeaderState {
            pending_reads: Vec::new(),
            peers: Vec::new(),
            term_start: last.next(),
            origin: now,
            last_round: 0,
            next_heartbeat: now + self.settings.timing.heartbeat_interval,
            join_requests: Vec::new(),
            transfer_deadline: None,
        };
        self.role = ReplicaRole::Leader(state);
        self.refresh_peers(None, now);
        self.append_local(EntryPayload::Empty);
        self.send_heartbeats(now);
        self.advance_commit(now);
    }

    /// Appends a command to the log; it is committed if the output delivers it at this position.
    ///
    /// Fails with [`ReplicaError::NotLeader`], also during a leadership transfer.
    pub fn propose(&mut self, command: Arc<str>) -> Result<LogPosition, ReplicaError> {
        let ReplicaRole::Leader(state) = &self.role else {
            return Err(ReplicaError::NotLeader(self.leader().cloned()));
        };
        if state.transfer_deadline.is_some() {
            return Err(ReplicaError::NotLeader(None));
        }
        Ok(self.append_local(EntryPayload::Command(command)))
    }

    /// Starts a linearizable read, whose outcome the output delivers under `ticket`.
    ///
    /// Fails with [`ReplicaError::NotLeader`]. A read under a valid lease needs no round of
    /// messages.
    pub fn read(&mut self, ticket: ReadTicket, now: Instant) -> Result<(), ReplicaError> {
        let leader = self.leader().cloned();
        let is_voter = self.is_voter();
        let ReplicaRole::Leader(state) = &mut self.role else {
            return Err(ReplicaError::NotLeader(leader));
        };
        let index = self.commit_index.max(state.term_start);
        if state.holds_lease(self.log.configuration(), is_voter, &self.settings.timing, now) {
            self.output.reads.push((ticket, Some(index)));
            return Ok(());
        }
        let round = state.last_round + 1;
        state.pending_reads.push(PendingRead { ticket, index, round });
        self.send_heartbeats(now);
        Ok(())
    }

    /// Whether the replica leads and its lease excludes another leader at `now`.
    pub fn holds_lease(&self, now: Instant) -> bool {
        let is_voter = self.is_voter();
        let ReplicaRole::Leader(state) = &self.role else { return false };
        state.holds_lease(self.log.configuration(), is_voter, &self.settings.timing, now)
    }

    pub(crate) fn tick_leader(&mut self, now: Instant) {
        // A leader that is removed leads until its removal is committed.
        if !self.is_voter() && self.is_configuration_committed() {
            return self.become_follower(self.hard_state.term, None, now);
        }
        let own = self.is_voter().then_some(now);
        let ReplicaRole::Leader(state) = &mut self.role else { return };
        let quorum_reply_at =
            state.quorum_value(self.log.configuration(), own, |peer| peer.last_reply_at);
        if quorum_reply_at.is_none_or(|at| now >= at + self.settings.timing.election_timeout) {
            return self.become_follower(self.hard_state.term, None, now);
        }
        let configuration = self.log.configuration();
        let election = self.settings.timing.election_timeout;
        state.peers.retain(|peer| {
            let is_told = peer.is_leaving && now < peer.last_reply_at + election;
            configuration.is_member(&peer.id) || is_told
        });
        if now >= state.next_heartbeat {
            let interval = self.settings.timing.heartbeat_interval;
            state.next_heartbeat = now + interval;
            for peer in &mut state.peers {
                let lost = peer.transfer.filter(|transfer| transfer.is_overdue(interval, now));
                if let Some(PendingTransfer { start: TransferStart::Entry(start), .. }) = lost {
                    peer.next_index = start;
                }
                peer.transfer = peer.transfer.filter(|_| lost.is_none());
            }
            self.send_heartbeats(now);
        }
        self.advance_membership(now);
    }

    /// Sends the entries that followers have not been sent yet.
    pub(crate) fn send_entries(&mut self, now: Instant) {
        let ReplicaRole::Leader(state) = &self.role else { return };
        let last = self.log.last().index;
        let behind = state
            .peers
            .iter()
            .filter(|peer| peer.next_index <= last && peer.snapshot_offset.is_none());
        let behind: Vec<_> = behind.map(|peer| peer.id.clone()).collect();
        for replica in behind {
            self.send_append(&replica, now);
        }
    }

    fn send_heartbeats(&mut self, now: Instant) {
        let ReplicaRole::Leader(state) = &self.role else { return };
        let replicas: Vec<_> = state.peers.iter().map(|peer| peer.id.clone()).collect();
        for replica in replicas {
            self.send_heartbeat(&replica, now);
        }
    }

    /// Sends a message that the member answers. While data is on its way to it, the message carries
    /// none, and claims no entry that the member may not have received.
    fn send_heartbeat(&mut self, to: &ReplicaId, now: Instant) {
        let ReplicaRole::Leader(state) = &mut self.role else { return };
        let Some(transfer) = state.peer(to).and_then(|peer| peer.transfer) else {
            return self.send_append(to, now);
        };
        let round = state.next_round(now);
        let index = match transfer.start {
            TransferStart::Entry(start) => start.previous(),
            TransferStart::SnapshotOffset(_) => LogIndex(0),
        };
        let previous = match self.log.term_at(index) {
            Some(term) => LogPosition { term, index },
            // Every log begins with this position.
            None => LogPosition::default(),
        };
        let (term, commit) = (self.hard_state.term, self.commit_index);
        let entries = Vec::new();
        self.send(to.clone(), ReplicaMessage::Append { term, round, previous, commit, entries });
    }

    fn send_append(&mut self, to: &ReplicaId, now: Instant) {
        let ReplicaRole::Leader(state) = &mut self.role else { return };
        let round = state.next_round(now);
        let Some(peer) = state.peer(to) else { return };
        let index = peer.next_index.previous();
        let previous = self.log.term_at(index).filter(|_| peer.snapshot_offset.is_none());
        let term = self.hard_state.term;
        let Some(previous) = previous.map(|term| LogPosition { term, index }) else {
            let offset = *peer.snapshot_offset.get_or_insert(0);
            let snapshot = peer.snapshot.get_or_insert_with(|| Arc::clone(self.log.snapshot()));
            let snapshot = Arc::clone(snapshot);
            let bytes = self.settings.snapshot_chunk_bytes;
            let start = TransferStart::SnapshotOffset(offset);
            peer.transfer = Some(PendingTransfer { start, round, since: now, bytes });
            return self.send_snapshot(to, &snapshot, round, offset);
        };
        let entries = select_batch(
            self.log.range(peer.next_index, self.log.last().index),
            self.settings.max_append_entries,
        );
        if !peer.may_send(&entries) {
            return;
        }
        if let Some(entry) = entries.last() {
            peer.next_index = entry.position.index.next();
        }
        peer.note_entries(&entries, round, now);
        let commit = self.commit_index;
        let message = ReplicaMessage::Append { term, round, previous, commit, entries };
        self.send(to.clone(), message);
    }

    fn send_snapshot(&mut self, to: &ReplicaId, snapshot: &SnapshotImage, round: u64, offset: u64) {
        let total = snapshot.data.len();
        let start = (offset as usize).min(total);
        let end = total.min(start + self.settings.snapshot_chunk_bytes);
        let message = ReplicaMessage::Snapshot {
            term: self.hard_state.term,
            round,
            position: snapshot.position,
            configuration: snapshot.configuration.clone(),
            offset: start as u64,
            total: total as u64,
            data: snapshot.data[start..end].iter().map(|byte| *byte as char).collect(),
        };
        self.send(to.clone(), message);
    }

    pub(crate) fn on_append_reply(
        &mut self,
        from: ReplicaId,
        term: Term,
        round: u64,
        outcome: AppendOutcome,
        now: Instant,
    ) {
        if term > self.hard_state.term {
            return self.become_follower(term, None, now);
        }
        let last = self.log.last().index;
        let ReplicaRole::Leader(state) = &mut self.role else { return };
        let Some(peer) = state.peer(&from).filter(|_| term == self.hard_state.term) else { return };
        peer.last_reply_at = now;
        peer.silent_since = now;
        peer.acknowledged_round = peer.acknowledged_round.max(round);
        match outcome {
            AppendOutcome::Matched(index) => {
                let sent = self.log.range(index.next(), peer.next_index.previous());
                let unacknowledged = sum_bytes(sent);
                peer.match_index = peer.match_index.max(index);
                peer.note_match(index, unacknowledged, now);
                match &peer.snapshot {
                    Some(sent) if index < sent.position.index => {}
                    Some(_) => {
                        peer.end_snapshot();
                        peer.next_index = peer.match_index.next();
                    }
                    None => peer.end_snapshot(),
                }
            }
            AppendOutcome::Missing(index) => {
                let next = index.next().min(peer.next_index).max(peer.match_index.next());
                // The entries that the member lacks may be on their way, unless it has received a
                // later message, which follows them.
                let is_sent = peer.transfer.is_some_and(|transfer| {
                    let begins =
                        matches!(transfer.start, TransferStart::Entry(start) if start <= next);
                    begins && round <= transfer.round
                });
                if !is_sent && peer.snapshot.is_none() {
                    peer.next_index = next;
                    peer.transfer = None;
                    peer.end_snapshot();
                }
            }
            AppendOutcome::SnapshotFrom(offset) => {
                let start = TransferStart::SnapshotOffset(offset);
                let is_sent = peer.transfer.is_some_and(|transfer| transfer.start == start);
                if !is_sent {
                    peer.snapshot_offset = Some(offset);
                    peer.transfer = None;
                }
            }
        }
        let needs_chunk = peer.snapshot_offset.is_some() && peer.transfer.is_none();
        let needs_entries = peer.snapshot_offset.is_none() && peer.next_index <= last;
        if needs_chunk || needs_entries {
            self.send_append(&from, now);
        }
        self.confirm_reads();
        self.advance_commit(now);
    }

    pub(crate) fn note_leaving(&mut self, replica: &ReplicaId, leaving: bool) {
        let ReplicaRole::Leader(state) = &mut self.role else { return };
        if let Some(peer) = state.peer(replica) {
            peer.is_leaving = leaving;
        }
    }

    /// Last committed entry that the group still has, and can add to, after it has lost as many
    /// disks at once as it is meant to bear.
    ///
    /// With voters to spare, more of them must hold an entry than commit it, since one of the voters
    /// may be gone for good. 0 while a membership change is under way; the commit index on replicas
    /// that do not lead.
    pub fn durable_index(&self) -> LogIndex {
        let configuration = self.log.configuration();
        let voters = configuration.voters.len();
        let (ReplicaRole::Leader(state), MemberAdmission::Open { min_voters, .. }) =
            (&self.role, self.settings.admission)
        else {
            return self.commit_index;
        };
        if !self.is_configuration_committed() {
            return LogIndex(0);
        }
        if !self.settings.admission.has_spare(voters) {
            return self.commit_index;
        }
        let staying = |peer: &&PeerProgress| !peer.is_leaving && configuration.is_voter(&peer.id);
        let mut held: Vec<_> =
            state.peers.iter().filter(staying).map(|peer| peer.match_index).collect();
        if !self.leaving && self.is_voter() {
            held.push(self.synced_index);
        }
        held.sort_by_key(|index| Reverse(*index));
        let losses = min_voters.saturating_sub(1) / 2;
        let holders = (configuration.quorum() + losses).min(voters);
        let index = held.get(holders - 1).copied().unwrap_or_default();
        index.min(self.commit_index)
    }

    /// Longest time that the removal of a silent voter takes while there are voters to spare.
    pub fn removal_time(&self) -> Duration {
        match self.settings.admission {
            MemberAdmission::Listed => Duration::ZERO,
            MemberAdmission::Open { remove_after, .. } => {
                remove_after + self.settings.timing.election_timeout
            }
        }
    }

    fn confirm_reads(&mut self) {
        let own = self.is_voter().then_some(u64::MAX);
        let ReplicaRole::Leader(state) = &mut self.role else { return };
        let confirmed =
            state.quorum_value(self.log.configuration(), own, |peer| peer.acknowledged_round);
        let Some(confirmed) = confirmed else { return };
        let ready = state.pending_reads.extract_if(.., |read| read.round <= confirmed);
        self.output.reads.extend(ready.map(|read| (read.ticket, Some(read.index))));
    }

    /// Commits the entries that a majority has synced, if the last of them is of the current term.
    pub(crate) fn advance_commit(&mut self, now: Instant) {
        let own = self.is_voter().then_some(self.synced_index);
        let ReplicaRole::Leader(state) = &self.role else { return };
        let matched = state.quorum_value(self.log.configuration(), own, |peer| peer.match_index);
        let Some(matched) = matched.filter(|index| *index > self.commit_index) else { return };
        if self.log.term_at(matched) != Some(self.hard_state.term) {
            return;
        }
        self.commit_index = matched;
        self.advance_membership(now);
    }
}

/// Membership changes, each of which adds or removes at most one voter.
impl ReplicaCore {
    /// Queues a replica that asks to join, or sends a snapshot to a member without state.
    ///
    /// A follower of an open group forwards the request to its leader.
    pub(crate) fn handle_join_request(&mut self, replica: ReplicaId, now: Instant) {
        let open = self.settings.admission.is_open();
        let allowed = open || self.settings.founders.contains(&replica.instance);
        let ReplicaRole::Leader(state) = &mut self.role else {
            if let Some(leader) = self.leader().filter(|_| open).cloned() {
                self.forward_join_request(replica, leader);
            }
            return;
        };
        if let Some(peer) = state.peer(&replica) {
            if peer.snapshot_offset.is_none() {
                peer.snapshot_offset = Some(0);
                peer.transfer = None;
            }
        } else if allowed && replica != self.settings.own {
            state.join_requests.retain(|(joining, _)| joining.instance != replica.instance);
            state.join_requests.push((replica, now));
        }
    }

    /// Forwards a request to join to the leader, with `replica` as the sender.
    fn forward_join_request(&mut self, replica: ReplicaId, leader: ReplicaId) {
        let message = ReplicaMessage::Join { heard: None };
        let epoch = self.hard_state.epoch;
        self.output.messages.push(ReplicaEnvelope { epoch, from: replica, to: leader, message });
    }

    /// Starts the next membership change, unless one is under way.
    fn advance_membership(&mut self, now: Instant) {
        let ReplicaRole::Leader(state) = &mut self.role else { return };
        let election = self.settings.timing.election_timeout;
        state.join_requests.retain(|(_, asked)| now < *asked + election);
        let must_wait = self.commit_index < state.term_start || state.transfer_deadline.is_some();
        if must_wait || self.log.configuration_index() > self.commit_index {
            return;
        }
        let configuration = self.log.configuration().clone();
        let admission = self.settings.admission;
        let leaving = || find_leaving_voter(state, &configuration, admission, now, election);
        if let Some(removed) =
            find_silent_member(state, &configuration, admission, now).or_else(leaving)
        {
            return self.change_members(configuration.without(&removed), now);
        }
        let commit = self.commit_index;
        let is_active = |peer: &PeerProgress| now < peer.last_reply_at + election;
        let caught_up = configuration.learners.iter().find(|learner| {
            let peer = state.peers.iter().find(|peer| peer.id == **learner);
            peer.is_some_and(|peer| is_active(peer) && peer.has_caught_up(commit))
        });
        if let Some(learner) = caught_up.filter(|_| configuration.voters.len() < MAX_VOTERS) {
            return self.change_members(configuration.with_voter(learner.clone()), now);
        }
        let Some((joining, _)) = state.join_requests.first().cloned() else { return };
        let previous = configuration.members().find(|member| member.instance == joining.instance);
        let Some(previous) = previous.cloned() else {
            state.join_requests.remove(0);
            return self.change_members(configuration.with_learner(joining), now);
        };
        let is_answering = state
            .peers
            .iter()
            .any(|peer| peer.id == previous && peer.acknowledged_round > 0 && is_active(peer));
        if previous == self.settings.own || previous == joining || is_answering {
            state.join_requests.remove(0);
            return;
        }
        self.change_members(configuration.without(&previous), now);
    }

    fn change_members(&mut self, configuration: GroupConfiguration, now: Instant) {
        let previous = self.log.configuration().clone();
        self.append_local(EntryPayload::Configuration(configuration));
        self.refresh_peers(Some(&previous), now);
    }

    /// Start of the silence of members that a new leader has not heard from: the last message of the
    /// previous leader, but at most half of `remove_after` ago, so that each member can reply.
    fn estimate_silence_start(&self, now: Instant) -> Instant {
        let MemberAdmission::Open { remove_after, .. } = self.settings.admission else {
            return now;
        };
        let earliest = now.checked_sub(remove_after / 2).unwrap_or(now);
        self.leaderless_since.max(earliest)
    }

    /// Voters that have not replied for an election timeout; empty unless the replica leads.
    pub fn silent_voters(&self, now: Instant) -> Vec<ReplicaId> {
        let ReplicaRole::Leader(state) = &self.role else { return Vec::new() };
        let timeout = self.settings.timing.election_timeout;
        let configuration = self.log.configuration();
        let silent = state
            .peers
            .iter()
            .filter(|peer| configuration.is_voter(&peer.id) && now >= peer.last_reply_at + timeout);
        silent.map(|peer| peer.id.clone()).collect()
    }

    /// Whether a member waits for a snapshot that is not chosen yet.
    pub fn awaits_snapshot(&self) -> bool {
        let ReplicaRole::Leader(state) = &self.role else { return false };
        state.peers.iter().any(|peer| peer.snapshot_offset.is_some() && peer.snapshot.is_none())
    }

    /// Whether a member receives a snapshot, or the entries after one.
    pub fn is_restoring_member(&self) -> bool {
        let ReplicaRole::Leader(state) = &self.role else { return false };
        let configuration = self.log.configuration();
        let learners = &configuration.learners;
        state.peers.iter().any(|peer| peer.snapshot.is_some() || learners.contains(&peer.id))
    }

    /// Tracks the progress of all other members; with `previous`, the new ones receive a snapshot
    /// first.
    fn refresh_peers(&mut self, previous: Option<&GroupConfiguration>, now: Instant) {
        let next_index = self.log.last().index.next();
        let silent_since = match previous {
            Some(_) => now,
            None => self.estimate_silence_start(now),
        };
        let configuration = self.log.configuration();
        let ReplicaRole::Leader(state) = &mut self.role else { return };
        state.peers.retain(|peer| configuration.is_member(&peer.id) || peer.is_leaving);
        for replica in configuration.members() {
            let known = state.peers.iter().any(|peer| peer.id == *replica);
            if known || *replica == self.settings.own {
                continue;
            }
            state.peers.push(PeerProgress {
                id: replica.clone(),
                next_index,
                match_index: LogIndex(0),
                transfer: None,
                acknowledged_round: 0,
                last_reply_at: now,
                silent_since,
                snapshot_offset: previous.is_some().then_some(0),
                snapshot: None,
                is_leaving: false,
            });
        }
        state.peers.sort_by_key(|peer| Reverse(peer.id.clone()));
    }
}

/// Finds a member of an open group that has been silent for too long: a learner, or a voter while
/// there are more than `min_voters`. The leader is in contact with a majority, which includes a
/// majority of the remaining voters.
fn find_silent_member(
    state: &LeaderState,
    configuration: &GroupConfiguration,
    admission: MemberAdmission,
    now: Instant,
) -> Option<ReplicaId> {
    let MemberAdmission::Open { remove_after, .. } = admission else { return None };
    let has_spare = admission.has_spare(configuration.voters.len());
    let is_removable = |peer: &&PeerProgress| {
        configuration.is_member(&peer.id) && (has_spare || !configuration.is_voter(&peer.id))
    };
    let mut silent = state.peers.iter().filter(|peer| now >= peer.silent_since + remove_after);
    silent.find(is_removable).map(|peer| peer.id.clone())
}

/// Finds a voter of an open group that is about to stop, while there are more than `min_voters` and a
/// majority of the others has replied within `reply_timeout`.
fn find_leaving_voter(
    state: &LeaderState,
    configuration: &GroupConfiguration,
    admission: MemberAdmission,
    now: Instant,
    reply_timeout: Duration,
) -> Option<ReplicaId> {
    if !admission.has_spare(configuration.voters.len()) {
        return None;
    }
    let voters = state.peers.iter().filter(|peer| configuration.is_voter(&peer.id));
    let leaving = voters.clone().find(|peer| peer.is_leaving)?;
    let others =
        voters.filter(|peer| peer.id != leaving.id && now < peer.last_reply_at + reply_timeout);
    let remaining = configuration.without(&leaving.id);
    // The leader itself is one of the voters that remain.
    (others.count() + 1 >= remaining.quorum()).then(|| leaving.id.clone())
}

/// Size of the commands of `entries`, in bytes.
fn sum_bytes(entries: &[LogEntry]) -> usize {
    entries.iter().map(|entry| entry.payload.command_bytes()).sum()
}

/// The first entries that fit into one message: at most `max_entries`, and none after
/// [`MAX_APPEND_BYTES`] are reached.
fn select_batch(entries: &[LogEntry], max_entries: usize) -> Vec<LogEntry> {
    let mut bytes = 0;
    let fits = |entry: &&LogEntry| {
        let fits = bytes < MAX_APPEND_BYTES;
        bytes += entry.payload.command_bytes();
        fits
    };
    entries.iter().take(max_entries).take_while(fits).cloned().collect()
}
