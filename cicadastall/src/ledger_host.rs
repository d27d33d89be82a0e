//! Hosts a replica of the region's ledger on a control instance.

use crate::{
    clock::WallClock,
    ledger::{
        LedgerState,
        command::{LedgerChange, LedgerCommand, LedgerRefusal, LedgerReply},
        session::LedgerEpoch,
    },
    replicated::{GroupError, ReplicatedGroup},
};
use futures::{FutureExt, future::BoxFuture};
use std::fmt::Debug;

/// A ledger that takes changes, whatever group keeps it.
pub trait LedgerService: Debug + Send + Sync {
    /// Makes a change, with the time of the host.
    fn change(&self, change: LedgerChange) -> BoxFuture<'_, Result<LedgerReply, GroupError>>;
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
