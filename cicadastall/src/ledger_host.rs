//! Hosts a replica of the region's ledger on a control instance.

use crate::{
    clock::WallClock,
    group::GroupHost,
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
                Ok(Some(Arc::new(LedgerHost::new(LocalGroup::new(state())))))
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

impl<G: ReplicatedGroup<LedgerState> + Debug> LedgerHost<G> {
    /// Hosts the replica of `group`.
    pub fn new(group: G) -> Self {
        Self { group, clock: WallClock::start() }
    }

    async fn propose(&self, change: LedgerChange) -> Result<LedgerReply, GroupError> {
        let command = LedgerCommand { at_ms: self.clock.now_ms(), change };
        self.group.propose(command).await
    }
}

impl<G: ReplicatedGroup<LedgerState> + Debug> LedgerService for LedgerHost<G> {
    fn change(&self, change: LedgerChange) -> BoxFuture<'_, Result<LedgerReply, GroupError>> {
        async move {
            let reply = self.propose(change.clone()).await?;
            if reply != LedgerReply::Refused(LedgerRefusal::NotFounded) {
                return Ok(reply);
            }
            let epoch = LedgerEpoch(self.clock.now_ms());
            self.propose(LedgerChange::Found { epoch }).await?;
            self.propose(change).await
        }
        .boxed()
    }
}
