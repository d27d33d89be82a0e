//! Keeps the requests of an entry within the quotas of their workspaces.
//!
//! Units are taken from what the entry has borrowed, without a round trip. An entry that is short asks
//! the lender at once, and the request waits for one exchange.

use crate::{
    answer::{Refusal, RefusalCode},
    clock::BootInstant,
    gateway::{
        decision::{
            call::RoutedCall,
            lent_share::{BorrowerName, ShareShortage},
            quota_ledger::{LoanQuery, LoanReply, QuotaLedger, count_units},
        },
        request::metrics::GatewayMetrics,
        settings::GatewaySettings,
    },
    name::WorkspaceName,
    peer::{PeerClients, PeerError},
};
use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::{
    sync::{Notify, watch},
    time::{Instant, sleep, timeout, timeout_at},
};

/// Longest wait of a request for units: two exchanges with a lender in another region.
const MAX_WAIT: Duration = Duration::from_millis(400);

/// A request waits for at most its remaining time divided by this.
const WAIT_DIVISOR: u32 = 4;

/// Time limit for an exchange with the lender.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(500);

/// Minimum time between two exchanges.
const EXCHANGE_PAUSE: Duration = Duration::from_millis(10);

/// Maximum number of control instances that are asked for the lender in a row.
const MAX_ASKED: usize = 3;

/// Retry-after delay while nothing is lent to this entry.
const NO_LOAN_RETRY: Duration = Duration::from_millis(1_000);

/// Units that a request took. Dropped, they are given back unless an upstream may have run the request.
#[derive(Debug)]
pub(crate) struct QuotaTicket {
    gate: Arc<QuotaGate>,
    workspace: WorkspaceName,
    units: f64,
    /// Whether an upstream may have run the request.
    used: bool,
}

impl QuotaTicket {
    /// States whether an upstream may have run the request.
    pub(crate) fn set_used(&mut self, used: bool) {
        self.used = used;
    }
}

impl Drop for QuotaTicket {
    fn drop(&mut self) {
        let now = BootInstant::now();
        self.gate.ledger().change(&self.workspace, now, |borrower| match self.used {
            true => borrower.settle(self.units),
            false => borrower.give_back(self.units, now),
        });
    }
}

/// Counts units as awaited until it is dropped.
struct WaitGuard<'a>(&'a QuotaGate, &'a WorkspaceName, f64);

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        let now = BootInstant::now();
        self.0.ledger().change(self.1, now, |borrower| borrower.end_wait(self.2));
    }
}

/// Quotas at one entry.
#[derive(Debug)]
pub(crate) struct QuotaGate {
    enforced: bool,
    ledger: Mutex<QuotaLedger>,
    /// Wakes the task that asks the lender.
    wake: Notify,
    exchanges: watch::Sender<u64>,
    controls: Mutex<BTreeSet<SocketAddr>>,
    clients: PeerClients,
}

impl QuotaGate {
    pub(crate) fn new(node: &GatewaySettings) -> Self {
        let borrower = BorrowerName(node.instance.clone(), rand::random::<u32>().into());
        Self {
            enforced: node.quota.is_some(),
            ledger: Mutex::new(QuotaLedger::new(borrower)),
            wake: Notify::new(),
            exchanges: watch::Sender::new(0),
            controls: Mutex::new(node.seeds.iter().copied().collect()),
            clients: PeerClients::new(Some(node.peer_listen.ip())),
        }
    }

    pub(crate) fn ledger(&self) -> MutexGuard<'_, QuotaLedger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Sets the known control instances.
    pub(crate) fn set_controls(&self, controls: &BTreeSet<SocketAddr>) {
        let mut known = self.controls.lock().unwrap_or_else(PoisonError::into_inner);
        known.clone_from(controls);
    }

    /// Workspace and units of `call`, if its workspace has a quota that is enforced.
    fn find_limit(&self, call: &RoutedCall) -> Option<(WorkspaceName, f64)> {
        let workspace = call.workspace.as_ref().filter(|_| self.enforced)?;
        let quota = workspace.quota.as_ref()?;
        Some((workspace.name.clone(), count_units(quota, &call.head)))
    }

    /// Takes the units of a caller's request; none if they are not limited. Waits for the lender if the
    /// entry is short. Fails beyond the quota.
    pub(crate) async fn admit(
        self: &Arc<Self>,
        call: &RoutedCall,
        metrics: &GatewayMetrics,
    ) -> Result<Option<QuotaTicket>, Refusal> {
        let Some((workspace, units)) = self.find_limit(call) else { return Ok(None) };
        let began_at = Instant::now();
        let first = self.ledger().ask(&workspace, units, BootInstant::now());
        let taken = match first {
            Err(ShareShortage { may_wait: true, .. }) => {
                let limit = MAX_WAIT.min(call.remaining(began_at) / WAIT_DIVISOR);
                self.wait_units(&workspace, units, began_at + limit).await
            }
            taken => taken.map(|()| "within").map_err(|_| "beyond"),
        };
        match taken {
            Ok(result) => {
                metrics.count_quota(&workspace, result, units);
                let gate = Arc::clone(self);
                Ok(Some(QuotaTicket { gate, workspace, units, used: false }))
            }
            Err(result) => {
                let refusal = self.refuse(&workspace, units);
                let result = if refusal.code == RefusalCode::NotReady { "no_loan" } else { result };
                metrics.count_quota(&workspace, result, units);
                Err(refusal)
            }
        }
    }

    /// Waits for the lender until `end`. Returns how the units were taken, or why not.
    async fn wait_units(
        &self,
        workspace: &WorkspaceName,
        units: f64,
        end: Instant,
    ) -> Result<&'static str, &'static str> {
        let mut exchanges = self.exchanges.subscribe();
        self.ledger().change(workspace, BootInstant::now(), |borrower| borrower.begin_wait(units));
        let _waiting = WaitGuard(self, workspace, units);
        loop {
            self.wake.notify_one();
            let exchanged = timeout_at(end, exchanges.changed()).await;
            match self.ledger().take(workspace, units, BootInstant::now()) {
                Ok(()) => return Ok("waited"),
                Err(ShareShortage { may_wait: false, .. }) => return Err("beyond"),
                Err(_) if !matches!(exchanged, Ok(Ok(()))) => return Err("waited_in_vain"),
                Err(_) => {}
            }
        }
    }

    fn refuse(&self, workspace: &WorkspaceName, units: f64) -> Refusal {
        let now = BootInstant::now();
        let delay = self.ledger().change(workspace, now, |borrower| {
            borrower.has_loan(now).then(|| borrower.promise(units, now))
        });
        match delay {
            Some(delay) => {
                let message = format!("workspace {workspace} has used its quota");
                Refusal::not_run(RefusalCode::WorkspaceLimit, message).retry_after(delay)
            }
            None => {
                let message = format!("nothing is lent here of the quota of workspace {workspace}");
                Refusal::not_run(RefusalCode::NotReady, message).retry_after(NO_LOAN_RETRY)
            }
        }
    }

    /// Takes the units of `call` once more, for a repeat or a resumption. None if it is not limited; fails
    /// beyond the quota.
    pub(crate) fn take_repeat(
        self: &Arc<Self>,
        call: &RoutedCall,
        metrics: &GatewayMetrics,
    ) -> Result<Option<QuotaTicket>, WorkspaceName> {
        let Some((workspace, units)) = self.find_limit(call) else { return Ok(None) };
        let taken = self.ledger().ask(&workspace, units, BootInstant::now());
        match taken {
            Ok(()) => {
                metrics.count_quota(&workspace, "repeated", units);
                let gate = Arc::clone(self);
                Ok(Some(QuotaTicket { gate, workspace, units, used: false }))
            }
            Err(_) => {
                metrics.count_quota(&workspace, "not_repeated", units);
                Err(workspace)
            }
        }
    }

    /// Borrows what the requests of this entry need, until the task is aborted. Ends at once if no quotas
    /// are enforced.
    pub(crate) async fn borrow_shares(&self) {
        if !self.enforced {
            return;
        }
        let mut lender = None;
        loop {
            let woken = timeout(QuotaLedger::LOOK_PERIOD, self.wake.notified()).await;
            if woken.is_ok() {
                sleep(EXCHANGE_PAUSE).await;
            }
            let asked_at = BootInstant::now();
            let query = self.ledger().next_query(asked_at);
            if let Some(query) = query {
                self.exchange(query, asked_at, &mut lender).await;
                self.exchanges.send_modify(|count| *count += 1);
            }
        }
    }

    /// Asks the lender, or else other control instances, which name it.
    async fn exchange(
        &self,
        mut query: LoanQuery,
        mut asked_at: BootInstant,
        lender: &mut Option<SocketAddr>,
    ) {
        let mut named = *lender;
        for _ in 0..MAX_ASKED {
            let Some(address) = named.take().or_else(|| self.choose_control()) else { break };
            match self.ask_lender(address, query.clone()).await {
                Ok(reply) if reply.lends => {
                    if *lender != Some(address) {
                        log::info!(lender = address.to_string(); "quotas are borrowed");
                    }
                    *lender = Some(address);
                    self.ledger().accept(&reply, asked_at, BootInstant::now());
                    return;
                }
                Ok(reply) => named = reply.lender.filter(|named| *named != address),
                Err(error) => {
                    if lender.take().is_some() {
                        log::warn!(lender = address.to_string(); "lender does not answer: {error}");
                    }
                }
            }
            asked_at = BootInstant::now();
            query = self.ledger().ask_again(&query, asked_at);
        }
        *lender = None;
        self.ledger().note_unanswered(&query, BootInstant::now());
    }

    /// A control instance, by chance.
    fn choose_control(&self) -> Option<SocketAddr> {
        let controls = self.controls.lock().unwrap_or_else(PoisonError::into_inner);
        let index = rand::random_range(0..controls.len().max(1));
        controls.iter().nth(index).copied()
    }

    async fn ask_lender(
        &self,
        address: SocketAddr,
        query: LoanQuery,
    ) -> Result<LoanReply, PeerError> {
        self.clients
            .call(address, EXCHANGE_TIMEOUT, async move |client, context| {
                client.lend_shares(context, query).await
            })
            .await
    }

    /// Loans in use, for operators: workspace, units a second, depth and units left.
    pub(crate) fn list(&self) -> Vec<(WorkspaceName, f64, f64, f64)> {
        let shares = self.ledger().list(BootInstant::now());
        let rows = shares
            .into_iter()
            .map(|(workspace, share, level)| (workspace, share.rate, share.depth, level));
        rows.collect()
    }
}
