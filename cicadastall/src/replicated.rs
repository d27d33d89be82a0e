//! Interface between a replicated group and its replicated state.

use crate::name::InstanceName;
use serde::{Serialize, de::DeserializeOwned};
use std::{
    fmt::{self, Debug},
    future::Future,
    sync::{Mutex, MutexGuard, PoisonError},
};

/// Deterministic state machine, changed only by commands in the order of the group's log.
///
/// Commands contain every timestamp and random number that they need, so that all replicas reach
/// the same state.
pub trait ReplicatedState: Debug + Send + Sync + Sized + 'static {
    /// Command that changes the state.
    type Command: Debug + Clone + Serialize + DeserializeOwned + Send + Sync + 'static;
    /// Result of a command, returned to its proposer.
    type Reply: Debug + Clone + Serialize + DeserializeOwned + Send + Sync + 'static;

    /// Applies one committed command.
    fn apply(&mut self, command: &Self::Command) -> Self::Reply;

    /// Called when the group was refounded under `epoch`, in milliseconds of the wall clock.
    /// Commands accepted under earlier epochs may be missing from the state.
    fn refounded(&mut self, epoch: u64) {
        let _ = epoch;
    }

    /// Encodes the whole state.
    fn snapshot(&self) -> Vec<u8>;

    /// Decodes a state that [`ReplicatedState::snapshot`] encoded; fails if it is not valid.
    fn restore(snapshot: &[u8]) -> Result<Self, serde_json::Error>;
}

/// Group that replicates one state.
pub trait ReplicatedGroup<S: ReplicatedState>: Send + Sync + 'static {
    /// Proposes a command and waits until it is committed and applied.
    fn propose(
        &self,
        command: S::Command,
    ) -> impl Future<Output = Result<S::Reply, GroupError>> + Send;

    /// Reads the state linearizably: it includes every command accepted before the call.
    fn read<T: Send>(
        &self,
        query: impl FnOnce(&S) -> T + Send,
    ) -> impl Future<Output = Result<T, GroupError>> + Send;

    /// Reads this replica's copy of the state, which may be stale.
    fn read_local<T>(&self, query: impl FnOnce(&S) -> T) -> T;
}

/// Why a proposal or a read has no result.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, serde::Deserialize)]
pub enum GroupError {
    /// This replica is not the leader; nothing was proposed.
    NotLeader {
        /// The leader, if known.
        leader: Option<InstanceName>,
    },
    /// No majority could be reached before the command was proposed.
    NoQuorum,
    /// The command was proposed and may still be committed.
    OutcomeUnknown,
    /// The replica has stopped.
    Stopped,
}

impl fmt::Display for GroupError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotLeader { leader: Some(leader) } => {
                write!(formatter, "not the leader; {leader} leads")
            }
            Self::NotLeader { leader: None } => formatter.write_str("not the leader"),
            Self::NoQuorum => formatter.write_str("no majority of the group can be reached"),
            Self::OutcomeUnknown => formatter.write_str("the command may yet be committed"),
            Self::Stopped => formatter.write_str("the replica has stopped"),
        }
    }
}

impl std::error::Error for GroupError {}

/// Group of one replica, with its state in memory only.
#[derive(Debug, Default)]
pub struct LocalGroup<S> {
    state: Mutex<S>,
}

impl<S: ReplicatedState> LocalGroup<S> {
    /// Creates a group with the initial `state`.
    pub fn new(state: S) -> Self {
        Self { state: Mutex::new(state) }
    }

    fn lock(&self) -> MutexGuard<'_, S> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<S: ReplicatedState> ReplicatedGroup<S> for LocalGroup<S> {
    async fn propose(&self, command: S::Command) -> Result<S::Reply, GroupError> {
        Ok(self.lock().apply(&command))
    }

    async fn read<T: Send>(&self, query: impl FnOnce(&S) -> T + Send) -> Result<T, GroupError> {
        Ok(query(&self.lock()))
    }

    fn read_local<T>(&self, query: impl FnOnce(&S) -> T) -> T {
        query(&self.lock())
    }
}
