//! Actor that connects a replica's core with its journal, its state and the transport.

use crate::{
    group_transport::GroupSenders,
    journal::{JournalError, JournalWriter},
    replica::{ReplicaCore, ReplicaError},
    replica_message::{
        EntryPayload, Epoch, GroupConfiguration, JournalWrite, LogEntry, LogIndex, ReadTicket,
        ReplicaEnvelope, ReplicaId, ReplicaOutput, SnapshotImage, Term, WriteSequence,
    },
    replicated::{GroupError, ReplicatedState},
};
use ractor::{Actor, ActorProcessingErr, ActorRef};
use serde::{Deserialize, Serialize};
use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    io,
    marker::PhantomData,
    sync::{Arc, PoisonError, RwLock, mpsc as journal_queue},
    time::Duration,
};
use tokio::{
    sync::{oneshot, watch},
    time::Instant,
};

/// Interval between ticks of the core.
const TICK_PERIOD: Duration = Duration::from_millis(25);

/// Number of applied entries from which on a snapshot is written.
const MAX_LOG_ENTRIES: u64 = 4_096;

/// Size of the applied commands in bytes from which on a snapshot is written, however few they are. A
/// command takes up to three times its size on the disk, of which an instance has little.
const MAX_LOG_BYTES: usize = 4 * 1024 * 1024;

/// The same while a member receives a snapshot or the entries after it.
const MAX_RESTORING_BYTES: usize = 2 * MAX_LOG_BYTES;

/// Channel for the reply to a proposal.
pub(crate) type ProposalReply<S> =
    oneshot::Sender<Result<<S as ReplicatedState>::Reply, GroupError>>;

/// Channel for the last entry that a linearizable read must see.
pub(crate) type ReadReply = oneshot::Sender<Result<LogIndex, GroupError>>;

/// Messages to the actor.
pub(crate) enum GroupMessage<S: ReplicatedState> {
    Receive(Vec<ReplicaEnvelope>),
    Propose(Arc<str>, ProposalReply<S>),
    Read(ReadReply),
    Synced(WriteSequence),
    JournalFailed(JournalError),
    Tick,
    /// Processes the core's output once for all messages queued before this one.
    Flush,
    TransferLeadership,
    Leave,
    Refound(Epoch, oneshot::Sender<Result<Epoch, ReplicaError>>),
}

/// Status of a replica and its group, as known to the replica.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupStatus {
    /// Epoch of the group; 0 while the replica belongs to none.
    pub epoch: Epoch,
    /// Newest term seen.
    pub term: Term,
    /// The leader, if known.
    pub leader: Option<ReplicaId>,
    /// Whether this replica leads.
    pub leads: bool,
    /// Newest configuration in the log.
    pub configuration: GroupConfiguration,
    /// Commit index.
    pub commit: LogIndex,
    /// Last entry applied to the state.
    pub applied: LogIndex,
    /// Newer epoch under which the group was refounded without this replica.
    pub superseded: Option<Epoch>,
    /// Voters that have not replied to this replica for an election timeout while it leads.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub silent: Vec<ReplicaId>,
    /// Whether this replica may stop without asking to be removed first; see
    /// [`ReplicaCore::may_stop`].
    #[serde(default)]
    pub may_stop: bool,
    /// Error that stopped the replica.
    pub failure: Option<String>,
}

impl GroupStatus {
    /// Number of further voters that may be lost before the group accepts no more changes, as known
    /// to the leader; `None` on other replicas.
    pub fn losses_borne(&self) -> Option<usize> {
        let living = self.configuration.voters.len() - self.silent.len();
        self.leads.then(|| living.saturating_sub(self.configuration.quorum()))
    }
}

/// Start parameters of the actor.
pub(crate) struct GroupArguments<S> {
    pub(crate) core: ReplicaCore,
    pub(crate) writer: Option<JournalWriter>,
    pub(crate) state: Arc<RwLock<S>>,
    pub(crate) status: watch::Sender<GroupStatus>,
    pub(crate) senders: GroupSenders,
    /// Name of the journal's thread.
    pub(crate) name: String,
}

/// Actor that owns one replica.
pub(crate) struct GroupActor<S>(pub(crate) PhantomData<fn(S)>);

/// Batch of writes for the journal's thread, with its number.
type JournalBatch = (WriteSequence, Vec<JournalWrite>);

/// Reply to a proposal that is applied, until it may be sent.
struct HeldReply<S: ReplicatedState> {
    index: LogIndex,
    /// Time at which it is sent in any case.
    send_at: Instant,
    reply: S::Reply,
    proposer: ProposalReply<S>,
}

/// State of the actor.
pub(crate) struct GroupActorState<S: ReplicatedState> {
    core: ReplicaCore,
    journal: Option<journal_queue::Sender<JournalBatch>>,
    state: Arc<RwLock<S>>,
    status: watch::Sender<GroupStatus>,
    senders: GroupSenders,
    proposals: BTreeMap<LogIndex, (Term, ProposalReply<S>)>,
    /// Replies to applied proposals that the group would not keep through further lost disks yet.
    held_replies: VecDeque<HeldReply<S>>,
    reads: HashMap<ReadTicket, ReadReply>,
    last_ticket: ReadTicket,
    applied: LogIndex,
    /// Size of the commands applied since the last snapshot, in bytes.
    bytes_since_snapshot: usize,
    /// Whether a `Flush` message is in the queue.
    flush_queued: bool,
}

impl<S: ReplicatedState> Actor for GroupActor<S> {
    type Msg = GroupMessage<S>;
    type State = GroupActorState<S>;
    type Arguments = GroupArguments<S>;

    async fn pre_start(
        &self,
        myself: ActorRef<Self::Msg>,
        arguments: Self::Arguments,
    ) -> Result<Self::State, ActorProcessingErr> {
        let GroupArguments { core, writer, state, status, senders, name } = arguments;
        let journal = writer.map(|writer| start_journal(name, writer, myself.clone()));
        myself.send_interval(TICK_PERIOD, || GroupMessage::Tick);
        let applied = core.log().base();
        Ok(GroupActorState {
            core,
            journal: journal.transpose()?,
            state,
            status,
            senders,
            proposals: BTreeMap::new(),
            held_replies: VecDeque::new(),
            reads: HashMap::new(),
            last_ticket: ReadTicket(0),
            applied,
            bytes_since_snapshot: 0,
            flush_queued: false,
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<Self::Msg>,
        message: Self::Msg,
        state: &mut Self::State,
    ) -> Result<(), ActorProcessingErr> {
        let now = Instant::now();
        match message {
            GroupMessage::Receive(envelopes) => {
                envelopes.into_iter().for_each(|envelope| state.core.receive(envelope, now));
            }
            GroupMessage::Propose(command, reply) => state.propose(command, reply),
            GroupMessage::Read(reply) => state.read(reply, now),
            GroupMessage::Synced(sequence) => state.core.mark_synced(sequence, now),
            GroupMessage::JournalFailed(error) => return Err(state.fail(&error)),
            GroupMessage::Tick => state.core.tick(now),
            GroupMessage::TransferLeadership => state.core.transfer_leadership(now),
            GroupMessage::Leave => state.core.leave(now),
            GroupMessage::Refound(epoch, reply) => {
                let refounded = state.core.refound(epoch, now);
                let _ = reply.send(refounded.map(|()| state.core.epoch()));
            }
            GroupMessage::Flush => {
                state.flush_queued = false;
                return state.flush(now).map_err(|error| state.fail(&error));
            }
        }
        if !std::mem::replace(&mut state.flush_queued, true) {
            let _ = myself.cast(GroupMessage::Flush);
        }
        Ok(())
    }
}

/// Runs the journal on its own thread, since a sync blocks. Batches that arrive during a sync are
/// synced together.
fn start_journal<S: ReplicatedState>(
    name: String,
    mut writer: JournalWriter,
    actor: ActorRef<GroupMessage<S>>,
) -> io::Result<journal_queue::Sender<JournalBatch>> {
    let (sender, receiver) = journal_queue::channel::<JournalBatch>();
    std::thread::Builder::new().name(name).spawn(move || {
        while let Ok((mut sequence, mut writes)) = receiver.recv() {
            for (later, more) in receiver.try_iter() {
                sequence = later;
                writes.extend(more);
            }
            let message = match writer.write(&writes) {
                Ok(()) => GroupMessage::Synced(sequence),
                Err(error) => GroupMessage::JournalFailed(error),
            };
            if actor.cast(message).is_err() {
                return;
            }
        }
    })?;
    Ok(sender)
}

impl<S: ReplicatedState> GroupActorState<S> {
    fn propose(&mut self, command: Arc<str>, reply: ProposalReply<S>) {
        match self.core.propose(command) {
            Ok(position) => {
                self.proposals.insert(position.index, (position.term, reply));
            }
            Err(error) => {
                let _ = reply.send(Err(error.into()));
            }
        }
    }

    fn read(&mut self, reply: ReadReply, now: Instant) {
        self.last_ticket = self.last_ticket.next();
        match self.core.read(self.last_ticket, now) {
            Ok(()) => {
                self.reads.insert(self.last_ticket, reply);
            }
            Err(error) => {
                let _ = reply.send(Err(error.into()));
            }
        }
    }

    fn flush(&mut self, now: Instant) -> Result<(), JournalError> {
        loop {
            let output = self.core.take_output(now);
            let sequence = output.sequence;
            let writes = !output.writes.is_empty();
            self.process_output(output, now)?;
            if !writes || self.journal.is_some() {
                break;
            }
            self.core.mark_synced(sequence, now);
        }
        self.send_held_replies(now);
        if !self.core.is_leader() {
            self.fail_proposals();
        }
        self.publish_status(now);
        Ok(())
    }

    fn process_output(&mut self, output: ReplicaOutput, now: Instant) -> Result<(), JournalError> {
        if let Some(journal) = self.journal.as_ref().filter(|_| !output.writes.is_empty()) {
            let sent = journal.send((output.sequence, output.writes));
            sent.map_err(|_| JournalError::Poisoned)?;
        }
        output.messages.into_iter().for_each(|envelope| self.senders.send(envelope));
        if let Some(snapshot) = output.restored {
            self.restore(&snapshot);
        }
        output.committed.into_iter().for_each(|entry| self.apply(entry, now));
        for (ticket, index) in output.reads {
            let Some(reply) = self.reads.remove(&ticket) else { continue };
            let _ = reply.send(index.ok_or(GroupError::NoQuorum));
        }
        self.compact();
        Ok(())
    }

    /// Writes a snapshot once the commands since the last one are at least as large as it is, so
    /// that the cost of snapshots stays proportional to that of the commands. A member without state
    /// then receives the newest state in place of the commands that led to it.
    fn compact(&mut self) {
        let log = self.core.log();
        let entries = self.applied.0.saturating_sub(log.base().0);
        let snapshot_bytes = log.snapshot().data.len();
        // A member that is being restored must find the entries after its snapshot.
        let max_bytes =
            if self.core.is_restoring_member() { MAX_RESTORING_BYTES } else { MAX_LOG_BYTES };
        let is_long = entries >= MAX_LOG_ENTRIES || self.bytes_since_snapshot >= max_bytes;
        if !(is_long || self.core.awaits_snapshot()) || self.bytes_since_snapshot < snapshot_bytes {
            return;
        }
        let data = self.state.read().unwrap_or_else(PoisonError::into_inner).snapshot();
        self.core.compact(self.applied, data);
        self.bytes_since_snapshot = 0;
    }

    fn restore(&mut self, snapshot: &SnapshotImage) {
        if !snapshot.data.is_empty() {
            match S::restore(&snapshot.data) {
                Ok(state) => *self.state.write().unwrap_or_else(PoisonError::into_inner) = state,
                Err(error) => log::error!("received group snapshot cannot be decoded: {error}"),
            }
        }
        self.applied = snapshot.position.index;
    }

    fn apply(&mut self, entry: LogEntry, now: Instant) {
        let LogEntry { position, payload } = entry;
        let reply = self.apply_payload(position.index, &payload);
        self.applied = position.index;
        let Some((term, proposer)) = self.proposals.remove(&position.index) else { return };
        match reply.filter(|_| term == position.term) {
            Some(reply) => {
                let send_at = now + self.core.removal_time();
                let held = HeldReply { index: position.index, send_at, reply, proposer };
                self.held_replies.push_back(held);
            }
            None => {
                let _ = proposer.send(Err(GroupError::OutcomeUnknown));
            }
        }
    }

    /// Sends the replies to proposals that outlive the losses that the group is meant to bear, and
    /// those that have waited for their time limit.
    fn send_held_replies(&mut self, now: Instant) {
        let durable = self.core.durable_index();
        let is_due = |held: &mut HeldReply<S>| held.index <= durable || held.send_at <= now;
        while let Some(held) = self.held_replies.pop_front_if(is_due) {
            let _ = held.proposer.send(Ok(held.reply));
        }
    }

    fn apply_payload(&mut self, index: LogIndex, payload: &EntryPayload) -> Option<S::Reply> {
        let mut state = self.state.write().unwrap_or_else(PoisonError::into_inner);
        match payload {
            EntryPayload::Command(command) => {
                self.bytes_since_snapshot += command.len();
                let decoded = serde_json::from_str(command);
                let failed =
                    |error| log::error!("command at log index {index} cannot be decoded: {error}");
                decoded.map_err(failed).ok().map(|command| state.apply(&command))
            }
            EntryPayload::Refounded { epoch, .. } => {
                state.refounded(epoch.0);
                None
            }
            EntryPayload::Empty | EntryPayload::Configuration(_) => None,
        }
    }

    /// Ends all proposals with an unknown outcome: a replica that no longer leads does not learn
    /// which of them are committed, or lasting.
    fn fail_proposals(&mut self) {
        for (_, (_, reply)) in std::mem::take(&mut self.proposals) {
            let _ = reply.send(Err(GroupError::OutcomeUnknown));
        }
        for held in self.held_replies.drain(..) {
            let _ = held.proposer.send(Err(GroupError::OutcomeUnknown));
        }
    }

    fn publish_status(&self, now: Instant) {
        let status = GroupStatus {
            epoch: self.core.epoch(),
            term: self.core.term(),
            leader: self.core.leader().cloned(),
            leads: self.core.is_leader(),
            configuration: self.core.configuration().clone(),
            commit: self.core.commit_index(),
            applied: self.applied,
            superseded: self.core.superseding_epoch(),
            silent: self.core.silent_voters(now),
            may_stop: self.core.may_stop(),
            failure: None,
        };
        self.status.send_if_modified(|published| {
            if status.superseded > published.superseded {
                log::error!(
                    "the group was refounded under epoch {} without this replica, which has epoch \
                     {}; move the replica's folder away to let it join as an empty replica",
                    status.superseded.unwrap_or_default(),
                    status.epoch
                );
            }
            let changed = *published != status;
            *published = status;
            changed
        });
    }

    fn fail(&mut self, error: &JournalError) -> ActorProcessingErr {
        log::error!("journal failed, stopping the replica: {error}");
        self.status.send_modify(|status| status.failure = Some(error.to_string()));
        self.fail_proposals();
        self.reads.clear();
        ActorProcessingErr::from(error.to_string())
    }
}

impl From<ReplicaError> for GroupError {
    fn from(error: ReplicaError) -> Self {
        match error {
            ReplicaError::NotLeader(leader) => {
                Self::NotLeader { leader: leader.map(|leader| leader.instance) }
            }
            ReplicaError::LeaderPresent | ReplicaError::NoGroup => Self::NotLeader { leader: None },
        }
    }
}
