//! Identifiers, messages, log entries and outputs of the replication core.

use crate::name::InstanceName;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::{fmt, sync::Arc};

macro_rules! number_types {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// The number after this one.
            pub fn next(self) -> Self {
                Self(self.0 + 1)
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(formatter, "{}", self.0)
            }
        }
    )*};
}

number_types! {
    /// Place of an entry in a group's log; the first entry has 1.
    LogIndex;
    /// Number of an election; at most one replica leads in it.
    Term;
    /// Founding of a group, in milliseconds of the wall clock; 0 before the group is founded.
    Epoch;
    /// Random number created with a replica's storage; 0 in an address stands for any.
    ReplicaIdentity;
    /// Number of a batch of writes that a core asked for.
    WriteSequence;
    /// Number of a linearizable read that waits for its confirmation.
    ReadTicket;
}

impl LogIndex {
    /// The index before this one, or 0.
    pub fn previous(self) -> Self {
        Self(self.0.saturating_sub(1))
    }
}

/// A replica: the storage of an instance, which has another identity once that storage is lost.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ReplicaId {
    /// Instance that runs the replica.
    pub instance: InstanceName,
    /// Its storage.
    pub identity: ReplicaIdentity,
}

impl fmt::Display for ReplicaId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}#{:x}", self.instance, self.identity.0)
    }
}

/// Members of a group.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupConfiguration {
    /// Replicas whose acknowledgement counts.
    pub voters: SmallVec<[ReplicaId; 3]>,
    /// Replicas that receive the log but do not count yet.
    #[serde(default, skip_serializing_if = "SmallVec::is_empty")]
    pub learners: SmallVec<[ReplicaId; 1]>,
}

impl GroupConfiguration {
    /// Voters that make a majority.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether `replica` votes.
    pub fn is_voter(&self, replica: &ReplicaId) -> bool {
        self.voters.contains(replica)
    }

    /// Whether `replica` receives the log.
    pub fn is_member(&self, replica: &ReplicaId) -> bool {
        self.members().any(|member| member == replica)
    }

    /// Voters and learners.
    pub fn members(&self) -> impl Iterator<Item = &ReplicaId> {
        self.voters.iter().chain(&self.learners)
    }

    /// The same group without `replica`.
    pub fn without(&self, replica: &ReplicaId) -> Self {
        let mut changed = self.clone();
        changed.voters.retain(|member| member != replica);
        changed.learners.retain(|member| member != replica);
        changed
    }

    /// The same group with `replica` as a learner.
    pub fn with_learner(&self, replica: ReplicaId) -> Self {
        let mut changed = self.clone();
        changed.learners.push(replica);
        changed
    }

    /// The same group with the learner `replica` as a voter.
    pub fn with_voter(&self, replica: ReplicaId) -> Self {
        let mut changed = self.without(&replica);
        changed.voters.push(replica);
        changed
    }
}

/// Term and index of an entry; a log is newer than another if its last position is greater.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LogPosition {
    /// Term of the leader that wrote the entry.
    pub term: Term,
    /// Its place.
    pub index: LogIndex,
}

/// Content of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryPayload {
    /// First entry of a leader's term.
    Empty,
    /// An encoded command of the replicated state.
    Command(Arc<str>),
    /// The group's members from this entry on.
    Configuration(GroupConfiguration),
    /// The group is founded anew; entries that only lost replicas held are lost.
    Refounded {
        /// Epoch from this entry on.
        epoch: Epoch,
        /// Members from this entry on.
        configuration: GroupConfiguration,
    },
}

impl EntryPayload {
    /// Members that the entry sets.
    pub fn configuration(&self) -> Option<&GroupConfiguration> {
        match self {
            Self::Configuration(configuration) | Self::Refounded { configuration, .. } => {
                Some(configuration)
            }
            Self::Empty | Self::Command(_) => None,
        }
    }
}

/// One entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Term and index.
    pub position: LogPosition,
    /// Content.
    pub payload: EntryPayload,
}

/// What a replica must remember besides its log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Founding of the group that the replica belongs to.
    pub epoch: Epoch,
    /// Newest term it has seen.
    pub term: Term,
    /// Replica it voted for in that term.
    pub vote: Option<ReplicaId>,
}

/// State of the group after all entries up to a position.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SnapshotImage {
    /// Last entry that the state includes.
    pub position: LogPosition,
    /// Members at that entry.
    pub configuration: GroupConfiguration,
    /// Encoded state; empty stands for the state that the group starts from.
    pub data: Bytes,
}

/// One change of a replica's storage; changes are made in the order they are given.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JournalWrite {
    /// Replaces the hard state.
    Hard(HardState),
    /// Removes all entries from this index on.
    Truncate(LogIndex),
    /// Adds entries after the last one.
    Append(Vec<LogEntry>),
    /// Notes that all entries up to this one are committed.
    Commit(LogIndex),
    /// Replaces everything.
    Replace(Box<StoredReplica>),
}

/// Content of a replica's storage.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StoredReplica {
    /// Epoch, term and vote.
    pub hard_state: HardState,
    /// Newest snapshot.
    pub snapshot: Arc<SnapshotImage>,
    /// Entries after the snapshot.
    pub entries: Vec<LogEntry>,
    /// Last entry noted as committed.
    pub commit_index: LogIndex,
}

impl StoredReplica {
    /// Makes one change.
    pub fn apply(&mut self, write: &JournalWrite) {
        match write {
            JournalWrite::Hard(hard_state) => self.hard_state = hard_state.clone(),
            JournalWrite::Truncate(from) => {
                self.entries.retain(|entry| entry.position.index < *from);
            }
            JournalWrite::Append(entries) => self.entries.extend_from_slice(entries),
            JournalWrite::Commit(index) => self.commit_index = *index,
            JournalWrite::Replace(stored) => *self = (**stored).clone(),
        }
    }
}

/// What a follower says about entries that it was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AppendOutcome {
    /// The log equals the leader's up to this index and is synced up to it.
    Matched(LogIndex),
    /// The log does not hold the entry before; the leader may try after this index.
    Missing(LogIndex),
    /// The snapshot is wanted from this byte on.
    SnapshotFrom(u64),
}

/// A message from one replica to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplicaMessage {
    /// A replica that belongs to no group asks to be taken in.
    Join {
        /// Identity of the receiver, once the sender has heard from it.
        heard: Option<ReplicaIdentity>,
    },
    /// The group is founded with these members.
    Found {
        /// Members.
        configuration: GroupConfiguration,
    },
    /// Asks whether a vote would be given; changes nothing at the receiver.
    PreVote {
        /// Term in which the sender would stand.
        term: Term,
        /// End of its log.
        last: LogPosition,
    },
    /// Answer to [`ReplicaMessage::PreVote`].
    PreVoteReply {
        /// Term asked for if granted, else the receiver's own.
        term: Term,
        /// Whether a vote would be given.
        granted: bool,
    },
    /// Asks for a vote.
    Vote {
        /// Term in which the sender stands.
        term: Term,
        /// End of its log.
        last: LogPosition,
        /// Term whose leader has given up, with its lease, in favour of the sender.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        given_up: Option<Term>,
    },
    /// The leader gives up and lets the receiver stand for election at once.
    #[serde(rename = "Stand")]
    TimeoutNow {
        /// Term in which nobody leads any more.
        term: Term,
    },
    /// Answer to [`ReplicaMessage::Vote`].
    VoteReply {
        /// Term of the receiver.
        term: Term,
        /// Whether the vote is given.
        granted: bool,
    },
    /// Sends entries; without any it is a heartbeat.
    Append {
        /// Term of the leader.
        term: Term,
        /// Number of the message, which the reply returns.
        round: u64,
        /// Position before the first entry.
        previous: LogPosition,
        /// Last committed entry.
        commit: LogIndex,
        /// Entries in order.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        entries: Vec<LogEntry>,
    },
    /// Sends a part of a snapshot.
    Snapshot {
        /// Term of the leader.
        term: Term,
        /// Number of the message, which the reply returns.
        round: u64,
        /// Last entry that the snapshot includes.
        position: LogPosition,
        /// Members at that entry.
        configuration: GroupConfiguration,
        /// Bytes before this part.
        offset: u64,
        /// Bytes of the whole snapshot.
        total: u64,
        /// The part, one character per byte.
        data: String,
    },
    /// Answer to [`ReplicaMessage::Append`] and [`ReplicaMessage::Snapshot`].
    AppendReply {
        /// Term of the receiver.
        term: Term,
        /// Number of the message that it answers.
        round: u64,
        /// Outcome.
        outcome: AppendOutcome,
    },
}

/// A message with its sender and receiver.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaEnvelope {
    /// Epoch of the sender.
    pub epoch: Epoch,
    /// Sender.
    pub from: ReplicaId,
    /// Receiver.
    pub to: ReplicaId,
    /// Content.
    pub message: ReplicaMessage,
}

/// What the caller of a core has to do, in the order of the fields.
#[derive(Debug, Default)]
pub struct ReplicaOutput {
    /// Changes of storage, to be synced together.
    pub writes: Vec<JournalWrite>,
    /// Number to report once these writes and all earlier ones are synced.
    pub sequence: WriteSequence,
    /// Messages to send; none depends on a write that is not yet synced.
    pub messages: Vec<ReplicaEnvelope>,
    /// Snapshot that replaces the state, before the entries below.
    pub restored: Option<Arc<SnapshotImage>>,
    /// Committed entries to apply.
    pub committed: Vec<LogEntry>,
    /// Reads that may be answered once the entry is applied; none if leadership was lost.
    pub reads: Vec<(ReadTicket, Option<LogIndex>)>,
}
