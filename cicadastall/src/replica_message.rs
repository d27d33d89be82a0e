//! Identifiers, messages, log entries and output of the replication core.

use crate::name::InstanceName;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::{fmt, sync::Arc};

/// Size of the commands or of the part of a snapshot in a message, in bytes, from which on it is sent
/// apart from small messages, which it may overtake or follow.
pub const MIN_BULK_BYTES: usize = 64 * 1024;

macro_rules! number_types {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// The next higher number.
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
    /// Index of an entry in a group's log, from 1.
    LogIndex;
    /// Election term of Raft; at most one replica leads in a term.
    Term;
    /// Time at which a group was founded or refounded, in milliseconds of the wall clock; 0 stands
    /// for no group.
    Epoch;
    /// Random number created with a replica's storage; 0 in a receiver's address matches any.
    ReplicaIdentity;
    /// Number of a batch of writes issued by a core.
    WriteSequence;
    /// Number of a linearizable read.
    ReadTicket;
}

impl LogIndex {
    /// The next lower index, or 0.
    pub fn previous(self) -> Self {
        Self(self.0.saturating_sub(1))
    }
}

/// Identifier of a replica: an instance and its storage. Lost storage is replaced by a new
/// identity.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ReplicaId {
    /// Instance that runs the replica.
    pub instance: InstanceName,
    /// Identity of its storage.
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
    /// Replicas that count towards a majority.
    pub voters: SmallVec<[ReplicaId; 3]>,
    /// Replicas that receive the log without voting.
    #[serde(default, skip_serializing_if = "SmallVec::is_empty")]
    pub learners: SmallVec<[ReplicaId; 1]>,
}

impl GroupConfiguration {
    /// Number of voters in a majority.
    pub fn quorum(&self) -> usize {
        self.voters.len() / 2 + 1
    }

    /// Whether `replica` votes.
    pub fn is_voter(&self, replica: &ReplicaId) -> bool {
        self.voters.contains(replica)
    }

    /// Whether `replica` is a voter or a learner.
    pub fn is_member(&self, replica: &ReplicaId) -> bool {
        self.members().any(|member| member == replica)
    }

    /// Voters and learners.
    pub fn members(&self) -> impl Iterator<Item = &ReplicaId> {
        self.voters.iter().chain(&self.learners)
    }

    /// This configuration without `replica`.
    pub fn without(&self, replica: &ReplicaId) -> Self {
        let mut changed = self.clone();
        changed.voters.retain(|member| member != replica);
        changed.learners.retain(|member| member != replica);
        changed
    }

    /// This configuration with `replica` as a new learner.
    pub fn with_learner(&self, replica: ReplicaId) -> Self {
        let mut changed = self.clone();
        changed.learners.push(replica);
        changed
    }

    /// This configuration with `replica` as a voter instead of a learner.
    pub fn with_voter(&self, replica: ReplicaId) -> Self {
        let mut changed = self.without(&replica);
        changed.voters.push(replica);
        changed
    }
}

/// Term and index of an entry. Of two logs, the one with the greater last position is newer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct LogPosition {
    /// Term of the leader that wrote the entry.
    pub term: Term,
    /// Index in the log.
    pub index: LogIndex,
}

/// Payload of a log entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryPayload {
    /// First entry of each term; carries no command.
    Empty,
    /// An encoded command of the replicated state.
    Command(Arc<str>),
    /// The group's members from this entry on.
    Configuration(GroupConfiguration),
    /// The group was refounded; entries that only lost replicas held are lost.
    Refounded {
        /// Epoch from this entry on.
        epoch: Epoch,
        /// Members from this entry on.
        configuration: GroupConfiguration,
    },
}

impl EntryPayload {
    /// Configuration that the entry sets, if any.
    pub fn configuration(&self) -> Option<&GroupConfiguration> {
        match self {
            Self::Configuration(configuration) | Self::Refounded { configuration, .. } => {
                Some(configuration)
            }
            Self::Empty | Self::Command(_) => None,
        }
    }

    /// Size of the command in bytes; 0 for other entries.
    pub fn command_bytes(&self) -> usize {
        match self {
            Self::Command(command) => command.len(),
            _ => 0,
        }
    }
}

/// Entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Term and index.
    pub position: LogPosition,
    /// Payload.
    pub payload: EntryPayload,
}

/// Raft state that must be durable, besides the log.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Epoch of the replica's group, or 0.
    pub epoch: Epoch,
    /// Newest term seen.
    pub term: Term,
    /// Replica that received this replica's vote in that term.
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

/// Write to a replica's storage; writes are performed in the order in which they are issued.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JournalWrite {
    /// Replaces the hard state.
    Hard(HardState),
    /// Removes all entries from this index on.
    Truncate(LogIndex),
    /// Appends entries.
    Append(Vec<LogEntry>),
    /// Stores the commit index.
    Commit(LogIndex),
    /// Replaces the whole content.
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
    /// Stored commit index, which may be older than the group's.
    pub commit_index: LogIndex,
}

impl StoredReplica {
    /// Applies one write.
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

/// A follower's result for received entries or a snapshot chunk.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum AppendOutcome {
    /// The log equals the leader's up to this index and is synced up to it.
    Matched(LogIndex),
    /// The log lacks the entry before the received ones; the leader retries after this index.
    Missing(LogIndex),
    /// The snapshot must be sent from this byte offset on.
    SnapshotFrom(u64),
}

/// A message from one replica to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplicaMessage {
    /// Asks to found or join a group; sent by replicas without a group.
    Join {
        /// Identity of the receiver, once the sender has heard from it.
        heard: Option<ReplicaIdentity>,
    },
    /// The group is founded with these members.
    Found {
        /// Members.
        configuration: GroupConfiguration,
    },
    /// Asks whether the receiver would grant a vote, without changing its state.
    PreVote {
        /// Term of the election that the sender would start.
        term: Term,
        /// End of its log.
        last: LogPosition,
    },
    /// Answer to [`ReplicaMessage::PreVote`].
    PreVoteReply {
        /// Requested term if granted, otherwise the term of the replying replica.
        term: Term,
        /// Whether the vote would be granted.
        granted: bool,
    },
    /// Asks for a vote.
    Vote {
        /// Term of the election.
        term: Term,
        /// End of its log.
        last: LogPosition,
        /// Term whose leader has released its lease and transferred leadership to the sender.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        given_up: Option<Term>,
    },
    /// Transfers leadership: the sender has stepped down, and the receiver starts an election at
    /// once.
    #[serde(rename = "Stand")]
    TimeoutNow {
        /// Term that has no leader any more.
        term: Term,
    },
    /// Answer to [`ReplicaMessage::Vote`].
    VoteReply {
        /// Term of the replying replica.
        term: Term,
        /// Whether the vote is granted.
        granted: bool,
    },
    /// Sends log entries; without entries it is a heartbeat.
    Append {
        /// Term of the leader.
        term: Term,
        /// Number of the message, which the reply returns.
        round: u64,
        /// Position before the first entry.
        previous: LogPosition,
        /// Commit index of the leader.
        commit: LogIndex,
        /// Consecutive entries.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        entries: Vec<LogEntry>,
    },
    /// Sends a chunk of a snapshot.
    Snapshot {
        /// Term of the leader.
        term: Term,
        /// Number of the message, which the reply returns.
        round: u64,
        /// Last entry that the snapshot includes.
        position: LogPosition,
        /// Members at that entry.
        configuration: GroupConfiguration,
        /// Offset of the chunk in bytes.
        offset: u64,
        /// Size of the snapshot in bytes.
        total: u64,
        /// Content of the chunk, one character (U+0000 to U+00FF) per byte.
        data: String,
    },
    /// Answer to [`ReplicaMessage::Append`] and [`ReplicaMessage::Snapshot`].
    AppendReply {
        /// Term of the replying replica.
        term: Term,
        /// Number of the message that this answers.
        round: u64,
        /// Result at the follower.
        outcome: AppendOutcome,
        /// Whether the sender is about to stop and asks to be removed while there are voters to spare.
        #[serde(default, skip_serializing_if = "std::ops::Not::not")]
        leaving: bool,
    },
}

impl ReplicaMessage {
    /// Whether the message carries at least [`MIN_BULK_BYTES`].
    pub fn is_bulk(&self) -> bool {
        let bytes = match self {
            Self::Append { entries, .. } => {
                entries.iter().map(|entry| entry.payload.command_bytes()).sum()
            }
            Self::Snapshot { data, .. } => data.len(),
            _ => 0,
        };
        bytes >= MIN_BULK_BYTES
    }
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

/// Output of a core, which its caller performs in the order of the fields.
#[derive(Debug, Default)]
pub struct ReplicaOutput {
    /// Writes to storage, to be synced together.
    pub writes: Vec<JournalWrite>,
    /// Number to report once these writes and all earlier ones are synced.
    pub sequence: WriteSequence,
    /// Messages to send; none depends on a write that is not yet synced.
    pub messages: Vec<ReplicaEnvelope>,
    /// Snapshot that replaces the state before `committed` is applied.
    pub restored: Option<Arc<SnapshotImage>>,
    /// Committed entries to apply.
    pub committed: Vec<LogEntry>,
    /// Finished reads, each with the entry that must be applied before it is answered, or none if
    /// leadership was lost.
    pub reads: Vec<(ReadTicket, Option<LogIndex>)>,
}
