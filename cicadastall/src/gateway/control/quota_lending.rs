//! The lender of quotas at the control instance that leads the document group.

use crate::{
    clock::BootInstant,
    gateway::{
        control::FleetControl,
        decision::{
            lent_share::ShareBound,
            quota_ledger::{LoanQuery, LoanReply, QuotaLender},
        },
        settings::QuotaTolerance,
    },
    group_actor::GroupStatus,
    name::{InstanceName, WorkspaceName},
};
use serde::Serialize;
use std::{
    cmp::Reverse,
    sync::{Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::time::sleep;

/// Interval at which a majority confirms that the lender's instance leads.
const CONFIRM_PERIOD: Duration = Duration::from_millis(200);

/// Time limit for such a confirmation.
const CONFIRM_LIMIT: Duration = Duration::from_millis(400);

/// Number of workspaces in the status, those with the largest demand relative to their quota first.
const LISTED_WORKSPACES: usize = 16;

/// The lender, while this instance leads.
#[derive(Debug, Default)]
pub(in crate::gateway) struct LendingDesk {
    lender: Mutex<Option<(QuotaLender, u64)>>,
}

impl LendingDesk {
    fn lender(&self) -> MutexGuard<'_, Option<(QuotaLender, u64)>> {
        self.lender.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A workspace in the status: what is lent to whom.
#[derive(Debug, Serialize)]
pub(in crate::gateway) struct LentWorkspace {
    workspace: WorkspaceName,
    per_s: f64,
    depth: f64,
    demand_per_s: f64,
    lent_per_s: f64,
    lent_depth: f64,
    borrowers: Vec<(InstanceName, f64, f64)>,
}

impl FleetControl {
    /// Lends quotas while this instance leads, until its task is dropped. Ends at once without a
    /// tolerance for quotas in the settings.
    pub(in crate::gateway) async fn keep_lending(&self) {
        let Some(tolerance) = self.node.quota else { return };
        loop {
            self.confirm_lender(&tolerance).await;
            sleep(CONFIRM_PERIOD).await;
        }
    }

    async fn confirm_lender(&self, tolerance: &QuotaTolerance) {
        let began_at = BootInstant::now();
        let Some(term) = self.led_term() else {
            if self.lending.lender().take().is_some() {
                log::info!("quotas are not lent here any more");
            }
            return;
        };
        {
            let mut held = self.lending.lender();
            if held.as_ref().is_none_or(|(lender, _)| lender.term() != term) {
                log::info!(term; "quotas are lent here");
                *held = Some((QuotaLender::new(term, began_at), 0));
            }
        }
        // Led before and after the read in one term, this instance led it throughout.
        let read = self.supervisor.read(CONFIRM_LIMIT).await;
        let state = match read {
            Ok(state) if self.led_term() == Some(term) => state,
            Ok(_) => return,
            Err(error) => {
                log::info!(term; "lender of quotas not confirmed: {error}");
                return;
            }
        };
        let mut held = self.lending.lender();
        let Some((lender, document)) = held.as_mut() else { return };
        if let Some(stored) = state.newest().filter(|stored| stored.number() != *document) {
            lender.set_document(&stored.document, tolerance, BootInstant::now());
            *document = stored.number();
        }
        lender.confirm(began_at);
    }

    /// Term that this instance leads.
    fn led_term(&self) -> Option<u64> {
        let status = self.supervisor.status()?;
        status.leads.then_some(status.term.0)
    }

    /// Lends to an entry, or names the lender.
    pub(in crate::gateway) fn lend(&self, query: &LoanQuery) -> LoanReply {
        let reply = self.lending.lender().as_mut().and_then(|(lender, _)| {
            let reply = lender.answer(query, BootInstant::now());
            reply.or(Some(LoanReply::default()))
        });
        reply.unwrap_or_else(|| {
            let leader = self.supervisor.status().and_then(|GroupStatus { leader, .. }| leader);
            let lender = leader.and_then(|leader| leader.instance.as_str().parse().ok());
            LoanReply { lender, ..LoanReply::default() }
        })
    }

    /// Workspaces whose demand is largest relative to their quota, with what is lent of each.
    pub(in crate::gateway) fn list_lent(&self) -> Vec<LentWorkspace> {
        let held = self.lending.lender();
        let Some((lender, _)) = held.as_ref() else { return Vec::new() };
        let mut ranked: Vec<_> = lender.lenders().collect();
        ranked.sort_by_cached_key(|(_, lender)| {
            Reverse((1_000.0 * lender.demand() / lender.bound().rate.max(1.0)) as u64)
        });
        let listed = ranked.into_iter().take(LISTED_WORKSPACES).map(|(name, lender)| {
            let lent = lender.sum_lent();
            let ShareBound { rate, depth } = lender.bound();
            let borrowers = lender
                .lent()
                .map(|(borrower, share)| (borrower.0.clone(), share.rate, share.depth));
            LentWorkspace {
                workspace: name.clone(),
                per_s: rate,
                depth,
                demand_per_s: lender.demand(),
                lent_per_s: lent.rate,
                lent_depth: lent.depth,
                borrowers: borrowers.collect(),
            }
        });
        listed.collect()
    }
}
