//! Withdrawals of upstreams at a control instance: recorded by a majority, and applied to the registry.

use crate::{
    gateway::{
        agreement::document_state::DocumentCommand,
        control::{CONFIRM_TIMEOUT, FleetControl},
        edge::control_call::ControlReply,
        knowledge::fleet_update::RegisteredUpstream,
    },
    replicated::GroupError,
};
use std::{sync::Arc, time::Duration};
use tokio::time::{Instant, timeout};

/// Time limit for recording the withdrawal of an upstream, which waits one second for the reply.
const WITHDRAWAL_TIMEOUT: Duration = Duration::from_millis(900);

impl FleetControl {
    /// Returns `reply` once a majority has recorded the withdrawal of `upstream`, so that it outlives
    /// this process. Entries learn of it in any case.
    pub(in crate::gateway) async fn confirm_withdrawal(
        &self,
        upstream: Arc<RegisteredUpstream>,
        reply: ControlReply,
    ) -> ControlReply {
        let recorded = timeout(WITHDRAWAL_TIMEOUT, self.record_withdrawal(&upstream)).await;
        match recorded.unwrap_or(Err(GroupError::OutcomeUnknown)) {
            Ok(()) => reply,
            Err(error) => {
                log::warn!(upstream = upstream.name.as_str(); "withdrawal not recorded: {error}");
                ControlReply::Unknown
            }
        }
    }

    async fn record_withdrawal(
        &self,
        upstream: &Arc<RegisteredUpstream>,
    ) -> Result<(), GroupError> {
        if self.supervisor.state().withdrawn().covers(upstream) {
            return Ok(());
        }
        let command = DocumentCommand::Withdraw(Arc::clone(upstream));
        match self.supervisor.change(command).await {
            Ok(_) => Ok(()),
            // A leader of an earlier version commits the command without a reply.
            Err(GroupError::OutcomeUnknown) => {
                let state = self.supervisor.read(CONFIRM_TIMEOUT).await?;
                let recorded = state.withdrawn().covers(upstream);
                recorded.then_some(()).ok_or(GroupError::OutcomeUnknown)
            }
            Err(error) => Err(error),
        }
    }

    /// Applies recorded withdrawals to the registry, until its task is dropped.
    pub(in crate::gateway) async fn apply_withdrawals(&self) {
        let mut changed = self.changed.subscribe();
        loop {
            let state = self.supervisor.state();
            let now = Instant::now();
            self.change_registry(|registry| registry.set_withdrawn(state.withdrawn(), now));
            if changed.changed().await.is_err() {
                return;
            }
        }
    }
}
