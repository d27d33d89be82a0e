//! Hosts a replica of the region's ledger on a control instance or an entry.

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

/// A ledger that takes changes, whatever group keeps it.
pub trait LedgerService: Debug + Send + Sync {
    /// Makes a change, with the time of the host.
    fn change(&self, change: LedgerChange) -> BoxFuture<'_, Result<LedgerReply, GroupError>>;
}

/// A group that may keep a ledger.
pub trait LedgerGroup: Debug + Send + Sync {
    /// Epoch of the group, if this replica leads it.
    fn lead_epoch(&self) -> Result<LedgerEpoch, GroupError>;

    /// Proposes a command if this replica leads.
    ///
    /// It must not be passed on: another leader may have founded the group again, and a command
    /// that carries the earlier epoch could reach it before the ledger has taken over its own.
    fn propose_here(
        &self,
        command: LedgerCommand,
    ) -> impl Future<Output = Result<LedgerReply, GroupError>> + Send;
}

/// A ledger of one replica, with the epoch of its start.
#[derive(Debug)]
pub struct LocalLedger {
    group: LocalGroup<LedgerState>,
    epoch: LedgerEpoch,
}

impl LocalLedger {
    /// A ledger that starts from `state`.
    pub fn new(state: LedgerState) -> Self {
        let epoch = LedgerEpoch(WallClock::start().now_ms());
        Self { group: LocalGroup::new(state), epoch }
    }
}

impl LedgerGroup for LocalLedger {
    fn lead_epoch(&self) -> Result<LedgerEpoch, GroupError> {
        Ok(self.epoch)
    }

    async fn propose_here(&self, command: LedgerCommand) -> Result<LedgerReply, GroupError> {
        self.group.propose(command).await
    }
}

impl LedgerGroup for GroupHandle<LedgerState> {
    fn lead_epoch(&self) -> Result<LedgerEpoch, GroupError> {
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

/// Whether and how an instance hosts its region's ledger.
#[derive(Debug)]
pub(crate) enum LedgerHosting {
    /// Not at all.
    Absent,
    /// By a replica of the region's group, or by a state of its own where no voters are configured.
    Replica,
    /// By a given service.
    Given(Arc<dyn LedgerService>),
}

impl LedgerHosting {
    /// How an entry hosts the ledger: only as a configured member of the region's group.
    pub(crate) fn of_entry(node: &NodeSettings) -> Self {
        if node.is_ledger_voter() { Self::Replica } else { Self::Absent }
    }

    /// Starts the service on the runtime of the caller, which is the control thread's.
    pub(crate) async fn start(
        self,
        node: &NodeSettings,
        groups: &GroupHost,
    ) -> io::Result<Option<Arc<dyn LedgerService>>> {
        let state = || LedgerState::new(node.region.clone(), LedgerLimits::default());
        match self {
            Self::Absent => Ok(None),
            Self::Given(service) => Ok(Some(service)),
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

/// A replica of the ledger.
#[derive(Debug)]
pub struct LedgerHost<G> {
    group: G,
    clock: WallClock,
}

impl<G: LedgerGroup> LedgerHost<G> {
    /// Hosts the replica of `group`.
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
            let epoch = self.group.lead_epoch()?;
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
