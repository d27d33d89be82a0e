//! Hosts a replica of the region's ledger at a control instance or an entry.

use crate::{
    clock::WallClock,
    group::{GroupHandle, GroupHost},
    ledger::{
        LedgerLimits, LedgerState,
        command::{LedgerChange, LedgerCommand, LedgerRefusal, LedgerReply},
        session::LedgerEpoch,
    },
    node::NodeSettings,
    replicated::{GroupError, LocalGroup, ReplicatedGroup},
};
use futures::{FutureExt, future::BoxFuture};
use std::{fmt::Debug, io, sync::Arc};

/// A ledger that accepts changes, independent of the group that replicates it.
pub trait LedgerService: Debug + Send + Sync {
    /// Applies a change with the host's current time.
    fn change(&self, change: LedgerChange) -> BoxFuture<'_, Result<LedgerReply, GroupError>>;
}

/// A group that replicates a ledger.
pub trait LedgerGroup: Debug + Send + Sync {
    /// Returns the epoch of the group, or an error if this replica does not lead it.
    fn leader_epoch(&self) -> Result<LedgerEpoch, GroupError>;

    /// Proposes a command if this replica leads the group.
    ///
    /// The command must not be forwarded to another leader: that leader may have founded the group
    /// again, and a command with the earlier epoch could reach it before its ledger has started the
    /// new epoch.
    fn propose_here(
        &self,
        command: LedgerCommand,
    ) -> impl Future<Output = Result<LedgerReply, GroupError>> + Send;
}

/// A ledger with a single replica, whose epoch is its start time in milliseconds since 1970.
#[derive(Debug)]
pub struct LocalLedger {
    group: LocalGroup<LedgerState>,
    epoch: LedgerEpoch,
}

impl LocalLedger {
    /// Creates a ledger with the initial `state`.
    pub fn new(state: LedgerState) -> Self {
        let epoch = LedgerEpoch(WallClock::start().now_ms());
        Self { group: LocalGroup::new(state), epoch }
    }
}

impl LedgerGroup for LocalLedger {
    fn leader_epoch(&self) -> Result<LedgerEpoch, GroupError> {
        Ok(self.epoch)
    }

    async fn propose_here(&self, command: LedgerCommand) -> Result<LedgerReply, GroupError> {
        self.group.propose(command).await
    }
}

impl LedgerGroup for GroupHandle<LedgerState> {
    fn leader_epoch(&self) -> Result<LedgerEpoch, GroupError> {
        let status = self.status();
        if status.leads {
            return Ok(LedgerEpoch(status.epoch.0));
        }
        Err(GroupError::NotLeader { leader: status.leader.map(|leader| leader.instance) })
    }

    async fn propose_here(&self, command: LedgerCommand) -> Result<LedgerReply, GroupError> {
        GroupHandle::propose_local(self, command).await
    }
}

/// How an instance hosts its region's ledger.
#[derive(Debug)]
pub(crate) enum LedgerHosting {
    /// The instance does not host the ledger.
    Absent,
    /// By a replica of the region's group, or by a local state if no voters are configured.
    Replica,
    /// By a service that the caller provides.
    Provided(Arc<dyn LedgerService>),
}

impl LedgerHosting {
    /// Hosting of an entry, which hosts the ledger only as a configured voter of the region's
    /// group.
    pub(crate) fn for_entry(node: &NodeSettings) -> Self {
        if node.is_ledger_voter() { Self::Replica } else { Self::Absent }
    }

    /// Starts the service on the caller's runtime, which must be that of the control thread.
    pub(crate) async fn start(
        self,
        node: &NodeSettings,
        groups: &GroupHost,
    ) -> io::Result<Option<Arc<dyn LedgerService>>> {
        let state = || LedgerState::new(node.region.clone(), LedgerLimits::default());
        match self {
            Self::Absent => Ok(None),
            Self::Provided(service) => Ok(Some(service)),
            Self::Replica if node.ledger_voters.is_empty() => {
                Ok(Some(Arc::new(LedgerHost::new(LocalLedger::new(state())))))
            }
            Self::Replica => {
                let group = groups.start_ledger(state()).await?;
                Ok(Some(Arc::new(LedgerHost::new(group))))
            }
        }
    }
}

/// Serves changes of the ledger at the replica that leads its group.
#[derive(Debug)]
pub struct LedgerHost<G> {
    group: G,
    clock: WallClock,
}

impl<G: LedgerGroup> LedgerHost<G> {
    /// Creates a host of this instance's replica in `group`.
    pub fn new(group: G) -> Self {
        Self { group, clock: WallClock::start() }
    }

    async fn propose(
        &self,
        epoch: LedgerEpoch,
        change: LedgerChange,
    ) -> Result<LedgerReply, GroupError> {
        let command = LedgerCommand { at_ms: self.clock.now_ms(), epoch, change };
        self.group.propose_here(command).await
    }
}

impl<G: LedgerGroup> LedgerService for LedgerHost<G> {
    fn change(&self, change: LedgerChange) -> BoxFuture<'_, Result<LedgerReply, GroupError>> {
        async move {
            let epoch = self.group.leader_epoch()?;
            let reply = self.propose(epoch, change.clone()).await?;
            if reply != LedgerReply::Refused(LedgerRefusal::NotFounded) {
                return Ok(reply);
            }
            self.propose(epoch, LedgerChange::Found).await?;
            self.propose(epoch, change).await
        }
        .boxed()
    }
}
