//! The interface between a replicated group and the state that it keeps.

use crate::name::InstanceName;
use serde::{Serialize, de::DeserializeOwned};
use std::{
    fmt::{self, Debug},
    future::Future,
    sync::{Mutex, MutexGuard, PoisonError},
};

/// Deterministic state, changed only by commands in the order of the group's log.
///
/// Commands carry every time and random number they need, so that all replicas reach the same
/// state.
pub trait ReplicatedState: Debug + Send + Sync + Sized + 'static {
    /// A change.
    type Command: Debug + Clone + Serialize + DeserializeOwned + Send + Sync + 'static;
    /// What the change gives back to its proposer.
    type Reply: Debug + Clone + Serialize + DeserializeOwned + Send + Sync + 'static;

    /// Applies one committed command.
    fn apply(&mut self, command: &Self::Command) -> Self::Reply;

    /// Notes that the group was founded anew under `epoch`, in milliseconds of the wall clock:
    /// commands accepted under earlier epochs may be missing from the state.
    fn refounded(&mut self, epoch: u64) {
        let _ = epoch;
    }

    /// Encodes the whole state.
    fn snapshot(&self) -> Vec<u8>;

    /// Decodes what [`ReplicatedState::snapshot`] wrote.
    fn restore(snapshot: &[u8]) -> Result<Self, serde_json::Error>;
}

/// A group that keeps one replicated state.
pub trait ReplicatedGroup<S: ReplicatedState>: Send + Sync + 'static {
    /// Proposes a command and waits until it is committed and applied.
    fn propose(
        &self,
        command: S::Command,
    ) -> impl Future<Output = Result<S::Reply, GroupError>> + Send;

    /// Reads the state as of a moment after the call, confirmed by a majority.
    fn read<T: Send>(
        &self,
        query: impl FnOnce(&S) -> T + Send,
    ) -> impl Future<Output = Result<T, GroupError>> + Send;

    /// Reads this replica's own state, which may be old.
    fn read_local<T>(&self, query: impl FnOnce(&S) -> T) -> T;
}

/// Why a group gave no reply.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, serde::Deserialize)]
pub enum GroupError {
    /// Another replica leads; nothing was proposed.
    NotLeader {
        /// The leader, where it is known.
        leader: Option<InstanceName>,
    },
    /// No majority could be reached before the command was proposed.
    NoQuorum,
    /// The command was proposed and may yet be committed.
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

/// A group of one replica whose state lasts as long as the process.
#[derive(Debug, Default)]
pub struct LocalGroup<S> {
    state: Mutex<S>,
}

impl<S: ReplicatedState> LocalGroup<S> {
    /// A group that starts from `state`.
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
