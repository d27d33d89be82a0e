//! State that the traffic of one entry shares.

use crate::{
    answer::{Refusal, RefusalCode},
    gateway::{
        chooser::UpstreamChooser,
        connections::ConnectionPool,
        dialect::CallDialect,
        engine_grants::EngineGrants,
        groups::PromptDemand,
        metrics::GatewayMetrics,
        news::{DepartedUpstream, WorkRow},
        retry_window::RetryWindow,
        routes::RouteTable,
        settings::GatewayNode,
        view::{FleetView, LoadView},
    },
    name::PoolName,
};
use arc_swap::ArcSwap;
use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Duration,
};
use tokio::{
    sync::watch,
    time::{Instant, timeout},
};

/// Time that an entry usually takes from its start until it takes callers, when control starts too.
const START_TIME: Duration = Duration::from_millis(2_200);

/// Earliest time to come back while an entry is starting.
const LEAST_RETURN: Duration = Duration::from_millis(400);

/// Longest time for which a request waits for a starting entry.
const START_HOLD: Duration = Duration::from_millis(1_200);

/// Part of a request's time for which it waits so at most.
const START_HOLD_PART: u32 = 4;

/// Time after its start for which an entry may not have heard of all upstreams.
const YOUNG_TIME: Duration = Duration::from_secs(4);

/// Shared state of one entry.
#[derive(Debug)]
pub struct EntryContext {
    pub(crate) node: Arc<GatewayNode>,
    pub(crate) dialect: Arc<dyn CallDialect>,
    pub(crate) routes: ArcSwap<RouteTable>,
    pub(crate) view: ArcSwap<FleetView>,
    pub(crate) load: ArcSwap<LoadView>,
    pub(crate) connections: Arc<ConnectionPool>,
    pub(crate) metrics: GatewayMetrics,
    pub(crate) in_flight: AtomicU32,
    pub(crate) grants: EngineGrants,
    chooser: Mutex<UpstreamChooser>,
    retries: Mutex<RetryWindow>,
    usable: watch::Sender<bool>,
    started_at: Instant,
    draining: AtomicBool,
}

/// Counts one request as in flight until it is dropped.
#[derive(Debug)]
pub(crate) struct FlightGuard(Arc<EntryContext>);

impl Drop for FlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

impl EntryContext {
    pub(crate) fn new(node: Arc<GatewayNode>, dialect: Arc<dyn CallDialect>) -> Self {
        let chooser = UpstreamChooser::new(
            node.instance.clone(),
            node.region.clone(),
            node.zone.clone(),
            rand::random(),
        );
        let grants = EngineGrants::new(&node);
        Self {
            grants,
            chooser: Mutex::new(chooser),
            retries: Mutex::new(RetryWindow::new(node.retries, Instant::now())),
            node,
            dialect,
            routes: ArcSwap::default(),
            view: ArcSwap::default(),
            load: ArcSwap::default(),
            connections: Arc::default(),
            metrics: GatewayMetrics::new(),
            in_flight: AtomicU32::new(0),
            usable: watch::Sender::new(false),
            started_at: Instant::now(),
            draining: AtomicBool::new(false),
        }
    }

    pub(crate) fn chooser(&self) -> MutexGuard<'_, UpstreamChooser> {
        self.chooser.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn retries(&self) -> MutexGuard<'_, RetryWindow> {
        self.retries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts the first send of a request.
    pub(crate) fn note_first(&self, pool: &PoolName) {
        self.retries().note_first(pool, Instant::now());
    }

    /// Takes a repeat out of this entry's part of the fleet's budget.
    pub(crate) fn take_repeat(&self, pool: &PoolName) -> bool {
        let entries = self.view.load().fleet_entries;
        let taken = self.retries().take_repeat(pool, entries, Instant::now());
        if !taken {
            self.metrics.count_budget_spent(pool);
        }
        taken
    }

    pub(crate) fn count_flight(self: &Arc<Self>) -> FlightGuard {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        FlightGuard(Arc::clone(self))
    }

    /// Work that this entry has given to upstreams.
    pub(crate) fn work(&self) -> Vec<WorkRow> {
        let chooser = self.chooser();
        let rows = chooser.open_work(Instant::now());
        rows.map(|(name, requests, ms)| WorkRow(name.clone(), requests, ms)).collect()
    }

    /// Work that this entry gets, by pool.
    pub(crate) fn demand(&self) -> Vec<(PoolName, PromptDemand)> {
        self.chooser().demand(Instant::now())
    }

    /// Upstreams that told this entry that they leave, and that it still takes to be serving otherwise.
    pub(crate) fn departed(&self) -> Vec<DepartedUpstream> {
        self.chooser().departed(&self.view.load())
    }

    /// Whether there are a confirmed document and a view of the fleet.
    pub(crate) fn is_usable(&self) -> bool {
        *self.usable.borrow()
    }

    /// Waits until the entry takes callers, for a part of the time that a request has; returns
    /// whether it does.
    pub(crate) async fn wait_usable(&self, allowed: Option<Duration>) -> bool {
        let hold = allowed.map_or(START_HOLD, |allowed| START_HOLD.min(allowed / START_HOLD_PART));
        let mut usable = self.usable.subscribe();
        timeout(hold, usable.wait_for(|usable| *usable)).await.is_ok_and(|usable| usable.is_ok())
    }

    /// Whether the entry may not have heard of all upstreams yet.
    pub(crate) fn is_young(&self) -> bool {
        self.started_at.elapsed() < YOUNG_TIME
    }

    pub(crate) fn set_usable(&self) {
        self.usable.send_replace(true);
    }

    /// Whether the entry is stopping.
    pub(crate) fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    pub(crate) fn set_draining(&self) {
        self.draining.store(true, Ordering::Relaxed);
    }

    /// Whether the entry takes callers.
    pub fn is_ready(&self) -> bool {
        self.is_usable() && !self.is_draining()
    }

    pub(crate) fn refuse_unready(&self) -> Refusal {
        Refusal::not_run(RefusalCode::NotReady, "no document of routes has arrived yet")
            .retry_after(START_TIME.saturating_sub(self.started_at.elapsed()).max(LEAST_RETURN))
    }
}
