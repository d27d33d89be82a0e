//! State shared by all requests of one entry.

use crate::{
    answer::{Refusal, RefusalCode},
    clock::BootInstant,
    gateway::{
        decision::{
            chooser::UpstreamChooser, region_throttle::RegionThrottle, repeat_value::RepeatValue,
            retry_window::RetryWindow, second_send::SecondSendPlanner,
        },
        document::routes::RouteTable,
        edge::{connections::ConnectionPool, dialect::CallDialect},
        knowledge::{
            answer_head::AnswerHead,
            conditions::ConditionRecord,
            document_lease::{ConfirmedRead, DocumentLease},
            entry_capacity::EntryCapacity,
            fleet_update::{DepartedUpstream, RegisteredUpstream, WorkRow},
            pool_partition::PromptDemand,
            reach::{ReachWatch, UnreachedPools},
            registry::DISCOVERY_TIME,
            upstream_speed::SpeedRow,
            view::{FleetView, LoadView},
        },
        request::{
            crash_watch::CrashWatch, engine_grants::EngineGrants, lag_meter::LagMeter,
            memory_share::MemoryShares, metrics::GatewayMetrics, origin_finder::OriginFinder,
            quota_gate::QuotaGate,
        },
        settings::GatewaySettings,
    },
    name::{PoolName, RegionName},
};
use arc_swap::ArcSwap;
use std::{
    future,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::{
    sync::watch,
    time::{Instant, sleep_until, timeout},
};

/// Usual time from an entry's start until it accepts callers if control instances start as well.
const USUAL_START_TIME: Duration = Duration::from_millis(2_200);

/// Minimum retry-after delay while an entry is starting.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(400);

/// Longest time that a request waits for a starting entry.
const MAX_START_WAIT: Duration = Duration::from_millis(1_200);

/// A request waits for at most its remaining time divided by this.
const START_WAIT_DIVISOR: u32 = 4;

/// A fleet query waits for at most the bound on the revocation of keys divided by this.
const POLL_WAIT_DIVISOR: u64 = 10;
/// Maximum number of speeds in one report to control.
const MAX_SPEED_ROWS: usize = 64;

/// Shared state of one entry.
#[derive(Debug)]
pub struct EntryContext {
    pub(crate) node: Arc<GatewaySettings>,
    pub(crate) dialect: Arc<dyn CallDialect>,
    pub(crate) routes: ArcSwap<RouteTable>,
    pub(crate) view: ArcSwap<FleetView>,
    pub(crate) load: ArcSwap<LoadView>,
    pub(crate) connections: Arc<ConnectionPool>,
    pub(crate) metrics: GatewayMetrics,
    pub(crate) in_flight: AtomicU32,
    pub(crate) grants: EngineGrants,
    pub(crate) crashes: Arc<CrashWatch>,
    pub(crate) origins: OriginFinder,
    pub(crate) quotas: Arc<QuotaGate>,
    pub(crate) memory: MemoryShares,
    pub(crate) lag: LagMeter,
    chooser: Mutex<UpstreamChooser>,
    reach: Mutex<ReachWatch>,
    retries: Mutex<RetryWindow>,
    /// Lease of the document, if the revocation of keys is bounded.
    lease: Option<Mutex<DocumentLease>>,
    /// Number of the newest document that control instances told of.
    newest_document: AtomicU64,
    forwards: Mutex<RegionThrottle>,
    repeat_value: Mutex<RepeatValue>,
    /// None if the operator allows no second sends.
    second_sends: Option<Mutex<SecondSendPlanner>>,
    usable: watch::Sender<bool>,
    measured_load: watch::Sender<bool>,
    started_at: Instant,
    /// Time by which the requests of a stopping entry are answered.
    stop_end: watch::Sender<Option<Instant>>,
}

/// Counts one request as in flight until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard(Arc<EntryContext>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

impl EntryContext {
    pub(crate) fn new(node: Arc<GatewaySettings>, dialect: Arc<dyn CallDialect>) -> Self {
        let chooser = UpstreamChooser::new(
            node.instance.clone(),
            node.region.clone(),
            node.zone.clone(),
            rand::random(),
        )
        .with_measured_load(node.measured_load);
        let grants = EngineGrants::new(&node);
        let metrics = GatewayMetrics::new();
        let measured = node.measured_load;
        Self {
            grants,
            crashes: Arc::new(CrashWatch::new(metrics.crash_checks())),
            origins: OriginFinder::new(&node),
            quotas: Arc::new(QuotaGate::new(&node)),
            memory: MemoryShares::new(&node),
            lag: LagMeter::default(),
            chooser: Mutex::new(chooser),
            reach: Mutex::default(),
            retries: Mutex::new(RetryWindow::new(node.retries, Instant::now())),
            lease: node.revocation().map(|bound| Mutex::new(DocumentLease::new(bound))),
            newest_document: AtomicU64::new(0),
            forwards: Mutex::default(),
            repeat_value: Mutex::default(),
            second_sends: node
                .second_sends
                .map(|bounds| Mutex::new(SecondSendPlanner::new(bounds))),
            connections: Arc::new(ConnectionPool::new(node.upstream_source)),
            node,
            dialect,
            routes: ArcSwap::default(),
            view: ArcSwap::default(),
            load: ArcSwap::default(),
            metrics,
            in_flight: AtomicU32::new(0),
            usable: watch::Sender::new(false),
            measured_load: watch::Sender::new(measured),
            started_at: Instant::now(),
            stop_end: watch::Sender::new(None),
        }
    }

    pub(crate) fn chooser(&self) -> MutexGuard<'_, UpstreamChooser> {
        self.chooser.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn reach(&self) -> MutexGuard<'_, ReachWatch> {
        self.reach.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the load of upstreams is measured, as the settings or the capacities of entries ask for.
    pub(crate) fn measures_load(&self) -> bool {
        *self.measured_load.borrow()
    }

    /// Measures the load of upstreams from now on.
    pub(crate) fn measure_load(&self) {
        if !self.measured_load.send_replace(true) {
            log::info!("capacities of entries differ: the load of upstreams is measured");
            self.chooser().set_measured_load(true);
            self.grants.measure_load();
        }
    }

    /// Waits until the load of upstreams is measured.
    pub(crate) async fn wait_measured_load(&self) {
        let mut measured = self.measured_load.subscribe();
        if measured.wait_for(|measured| *measured).await.is_err() {
            future::pending().await
        }
    }

    /// Whether this entry reaches no upstream of `pool` that control does not consider lost.
    pub(crate) fn is_unreached(&self, pool: &PoolName) -> bool {
        self.reach().is_unreached(pool, &self.view.load())
    }

    /// Pools none of whose upstreams this entry reaches.
    pub(crate) fn unreached(&self) -> UnreachedPools {
        self.reach().unreached(&self.view.load())
    }

    fn retries(&self) -> MutexGuard<'_, RetryWindow> {
        self.retries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn forwards(&self) -> MutexGuard<'_, RegionThrottle> {
        self.forwards.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records whether another region had room for a request that this entry forwarded.
    pub(crate) fn note_forwarded(&self, pool: &PoolName, region: &RegionName, accepted: bool) {
        if self.measures_load() && *region != self.node.region {
            self.forwards().note_outcome(pool, region, accepted, Instant::now());
        }
    }

    /// Whether a request for `pool` may be forwarded to `region`, which may refuse most of what it gets.
    pub(crate) fn may_forward(&self, pool: &PoolName, region: &RegionName) -> bool {
        if !self.measures_load() || *region == self.node.region {
            return true;
        }
        let admitted = self.forwards().admit(pool, region, Instant::now(), &mut rand::rng());
        if !admitted {
            self.metrics.count_throttled(region);
        }
        admitted
    }

    /// Success of repeats; none if upstreams are not measured.
    pub(crate) fn repeat_value(&self) -> Option<MutexGuard<'_, RepeatValue>> {
        let measured = self.measures_load();
        measured.then(|| self.repeat_value.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Decides on second sends; none if the operator allows none.
    pub(crate) fn second_sends(&self) -> Option<MutexGuard<'_, SecondSendPlanner>> {
        let planner = self.second_sends.as_ref()?;
        Some(planner.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Counts the first send of a request, on which the retry budget is based.
    pub(crate) fn count_first_send(&self, pool: &PoolName) {
        self.retries().note_first(pool, Instant::now());
    }

    /// Takes one retry from this entry's share of the fleet's budget; false if none is left.
    pub(crate) fn take_repeat(&self, pool: &PoolName) -> bool {
        let entries = self.view.load().fleet_entries;
        let taken = self.retries().take_repeat(pool, entries, Instant::now());
        if !taken {
            self.metrics.count_budget_spent(pool);
        }
        taken
    }

    pub(crate) fn count_in_flight(self: &Arc<Self>) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlightGuard(Arc::clone(self))
    }

    /// Work that this entry has sent to upstreams and that is not finished.
    pub(crate) fn work(&self) -> Vec<WorkRow> {
        let chooser = self.chooser();
        let rows = chooser.open_work(Instant::now());
        rows.map(|(name, requests, ms)| WorkRow(name.clone(), requests, ms)).collect()
    }

    /// Work that callers send to this entry, by pool.
    pub(crate) fn demand(&self) -> Vec<(PoolName, PromptDemand)> {
        self.chooser().demand(Instant::now())
    }

    /// Capacity that this entry announces; `None` if its settings state none.
    pub(crate) fn capacity(&self) -> Option<EntryCapacity> {
        let capacity = self.node.capacity.as_ref()?;
        Some(match self.measures_load() {
            true => self.lag.announce(capacity),
            false => EntryCapacity::new(capacity, 0.0),
        })
    }

    /// Speeds of upstreams that this entry measured, of engines that it owns and of plain services.
    pub(crate) fn speeds(&self) -> Vec<SpeedRow> {
        if !self.measures_load() {
            return Vec::new();
        }
        let view = self.view.load();
        let owned = self.grants.speeds(Instant::now());
        let chooser = self.chooser();
        let unowned =
            chooser.speeds(Instant::now()).filter(|SpeedRow(name, ..)| !view.owners.is_owned(name));
        owned.into_iter().chain(unowned).take(MAX_SPEED_ROWS).collect()
    }

    /// Upstreams that announced to this entry that they are leaving, but that control still lists as
    /// serving.
    pub(crate) fn departed(&self) -> Vec<DepartedUpstream> {
        self.chooser().departed(&self.view.load())
    }

    /// Conditions of upstreams that are newer than those that control lists.
    pub(crate) fn unreported_conditions(&self) -> Vec<ConditionRecord> {
        self.chooser().conditions().list_unreported(self.view.load().known())
    }

    /// Applies the condition that the answer `head` of `upstream` to a request sent at `sent_at` states.
    pub(crate) fn note_condition(
        &self,
        upstream: &RegisteredUpstream,
        head: &AnswerHead,
        sent_at: Instant,
    ) {
        let now = Instant::now();
        let observed = self.chooser().conditions().observe(upstream, head, sent_at, now);
        if let Some(condition) = observed {
            self.grants.merge_conditions(&[ConditionRecord(upstream.name.clone(), condition)]);
        }
    }

    /// Whether the entry has a document and may serve callers with it.
    pub(crate) fn is_usable(&self) -> bool {
        *self.usable.borrow()
    }

    /// Waits until the entry accepts callers, for a part of the time that a request has left.
    /// Returns whether it does.
    pub(crate) async fn wait_usable(&self, allowed: Option<Duration>) -> bool {
        let wait = allowed
            .map_or(MAX_START_WAIT, |allowed| MAX_START_WAIT.min(allowed / START_WAIT_DIVISOR));
        let mut usable = self.usable.subscribe();
        timeout(wait, usable.wait_for(|usable| *usable)).await.is_ok_and(|usable| usable.is_ok())
    }

    /// Records that the document `number` took effect.
    pub(crate) fn note_document(&self, number: u64) {
        if let Some(mut lease) = self.lease() {
            lease.note_document(number);
        }
    }

    /// Renews the lease by a read that control told in the answer to a query sent at `asked_at`.
    pub(crate) fn renew_lease(&self, read: &ConfirmedRead, asked_at: BootInstant) {
        if let Some(mut lease) = self.lease() {
            lease.renew(read.began(asked_at), read.number);
        }
    }

    /// Whether requests with keys may be served by the document that the entry holds now. The document
    /// must be loaded afterwards.
    pub(crate) fn has_lease(&self) -> bool {
        self.lease().is_none_or(|lease| lease.is_valid(BootInstant::now()))
    }

    /// Time since the newest confirmed read of the document; none if there was none, or if the
    /// revocation of keys is not bounded.
    pub(crate) fn lease_age(&self) -> Option<Duration> {
        self.lease().and_then(|lease| lease.age(BootInstant::now()))
    }

    fn lease(&self) -> Option<MutexGuard<'_, DocumentLease>> {
        let lease = self.lease.as_ref()?;
        Some(lease.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Wait of a fleet query, at most `wait_ms`: short enough that its answer renews the lease in time.
    pub(crate) fn limit_poll_wait(&self, wait_ms: u32) -> u32 {
        let bound_ms = self.node.revocation_ms.unwrap_or(u64::MAX);
        let longest_ms = u32::try_from(bound_ms / POLL_WAIT_DIVISOR).unwrap_or(u32::MAX);
        wait_ms.min(longest_ms)
    }

    /// Records the number of the newest document that a control instance knows.
    pub(crate) fn note_newest_document(&self, number: u64) {
        self.newest_document.fetch_max(number, Ordering::Relaxed);
    }

    /// Whether there is a newer document than that of `number`, as far as the entry knows.
    pub(crate) fn awaits_document(&self, number: u64) -> bool {
        self.newest_document.load(Ordering::Relaxed) > number
    }

    /// Whether the entry has just started and may not know all members of the fleet yet.
    pub(crate) fn is_discovering(&self) -> bool {
        self.started_at.elapsed() < DISCOVERY_TIME
    }

    pub(crate) fn set_usable(&self) {
        self.usable.send_replace(true);
    }

    /// Whether the entry is stopping.
    pub(crate) fn is_draining(&self) -> bool {
        self.stop_end.borrow().is_some()
    }

    /// Starts to stop; requests are answered until `end`.
    pub(crate) fn set_draining(&self, end: Instant) {
        self.stop_end.send_replace(Some(end));
    }

    /// The earlier of `deadline` and the end of a stop that is under way.
    pub(crate) fn limit_deadline(&self, deadline: Instant) -> Instant {
        self.stop_end.borrow().map_or(deadline, |end| deadline.min(end))
    }

    /// Waits until the entry stops and its requests must be answered.
    pub(crate) async fn wait_stop_end(&self) {
        let mut stop_end = self.stop_end.subscribe();
        let end = stop_end.wait_for(Option::is_some).await.ok().and_then(|end| *end);
        match end {
            Some(end) => sleep_until(end).await,
            None => future::pending().await,
        }
    }

    /// Whether the entry accepts callers.
    pub fn is_ready(&self) -> bool {
        self.is_usable() && !self.is_draining()
    }

    pub(crate) fn refuse_unready(&self) -> Refusal {
        Refusal::not_run(RefusalCode::NotReady, "no document of routes has arrived yet")
            .retry_after(
                USUAL_START_TIME.saturating_sub(self.started_at.elapsed()).max(MIN_RETRY_AFTER),
            )
    }
}
