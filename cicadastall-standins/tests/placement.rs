//! Tests that orders of a previous lease holder have no effect and that placement keeps upstreams
//! for every model.

use cicadastall::{
    lease::{HeldLease, LeaseCommand, LeaseKeeper, LeaseState, LeaseTerm},
    name::ModelName,
    orders::{DELIVERY_TIMEOUT, OrderError, OrderTransport, send_order},
    placement::{MAX_CONCURRENT_LOADS, PlacementOrder, PlacementPlanner},
    replicated::{GroupError, LocalGroup, ReplicatedGroup},
    table::{Incarnation, LoadReport, UpstreamRates, UpstreamRecord, UpstreamState},
    wire::UpstreamOrder,
};
use cicadastall_standins::orders::OrderLog;
use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::time::{Instant, sleep, timeout};

const SECOND: Duration = Duration::from_secs(1);

const HOUR: Duration = Duration::from_secs(3_600);

/// Two upstreams, of which only the first checks the fencing token; orders arrive with a delay.
#[derive(Debug, Clone)]
struct FakeUpstreams {
    order_logs: Arc<[Mutex<OrderLog>; 2]>,
    delay_ms: Arc<AtomicU64>,
}

impl FakeUpstreams {
    fn new() -> Self {
        let order_logs = [true, false].map(|checks| Mutex::new(OrderLog::new(checks)));
        Self { order_logs: Arc::new(order_logs), delay_ms: Arc::new(AtomicU64::new(0)) }
    }

    fn order_logs(&self) -> [OrderLog; 2] {
        [0, 1].map(|index| self.order_logs[index].lock().expect("no panic holds the lock").clone())
    }
}

impl OrderTransport for FakeUpstreams {
    async fn deliver(&self, address: SocketAddr, order: UpstreamOrder) -> Result<(), OrderError> {
        let delay = self.delay_ms.fetch_add(211, Ordering::Relaxed) % 1_400;
        let arrived = timeout(DELIVERY_TIMEOUT, sleep(Duration::from_millis(delay))).await;
        arrived.map_err(|_| OrderError::Undelivered("timeout".to_owned()))?;
        let mut order_log = self.order_logs[usize::from(address.port())].lock().expect("no panic");
        order_log.apply(order).map_err(|stale| OrderError::Refused(format!("{stale:?}")))
    }
}

/// The region's group as seen by one instance, which can be disconnected from it.
#[derive(Debug, Clone)]
struct PartitionableGroup {
    group: Arc<LocalGroup<LeaseState>>,
    disconnected: Arc<AtomicBool>,
}

impl ReplicatedGroup<LeaseState> for PartitionableGroup {
    async fn propose(&self, command: LeaseCommand) -> Result<LeaseTerm, GroupError> {
        if self.disconnected.load(Ordering::Relaxed) {
            return Err(GroupError::NoQuorum);
        }
        self.group.propose(command).await
    }

    async fn read<T: Send>(
        &self,
        query: impl FnOnce(&LeaseState) -> T + Send,
    ) -> Result<T, GroupError> {
        if self.disconnected.load(Ordering::Relaxed) {
            return Err(GroupError::NoQuorum);
        }
        self.group.read(query).await
    }

    fn read_local<T>(&self, query: impl FnOnce(&LeaseState) -> T) -> T {
        self.group.read_local(query)
    }
}

fn orders(model: &str) -> [PlacementOrder; 2] {
    [0, 1].map(|port| PlacementOrder {
        upstream: format!("u{port}").as_str().into(),
        address: SocketAddr::from(([10, 0, 0, 1], port)),
        model: Some(ModelName::from(model)),
    })
}

/// A holder that renews its lease and sends orders every second while it runs.
struct FakeHolder {
    keeper: LeaseKeeper,
    group: PartitionableGroup,
    upstreams: FakeUpstreams,
    model: &'static str,
}

impl FakeHolder {
    fn new(model: &'static str, group: &PartitionableGroup, upstreams: &FakeUpstreams) -> Self {
        let group =
            PartitionableGroup { group: Arc::clone(&group.group), disconnected: Arc::default() };
        Self { keeper: LeaseKeeper::new(model.into()), group, upstreams: upstreams.clone(), model }
    }

    async fn step(&mut self) {
        let _ = self.keeper.renew_or_acquire(&self.group).await;
        if let Some(lease) = self.keeper.held().cloned() {
            let _ = self.send(&lease).await;
        }
    }

    async fn send(&self, lease: &HeldLease) -> [Result<(), OrderError>; 2] {
        let [checking, non_checking] = orders(self.model);
        let sent = tokio::join!(
            send_order(&self.upstreams, lease, &checking),
            send_order(&self.upstreams, lease, &non_checking),
        );
        [sent.0, sent.1]
    }

    async fn run(&mut self, duration: Duration) {
        let end = Instant::now() + duration;
        while Instant::now() < end {
            self.step().await;
            sleep(SECOND).await;
        }
    }
}

fn start() -> (FakeHolder, FakeHolder, FakeUpstreams) {
    let group = Arc::new(LocalGroup::new(LeaseState::default()));
    let group = PartitionableGroup { group, disconnected: Arc::default() };
    let upstreams = FakeUpstreams::new();
    let first = FakeHolder::new("first", &group, &upstreams);
    let second = FakeHolder::new("second", &group, &upstreams);
    (first, second, upstreams)
}

fn assert_only_second_applied(upstreams: &FakeUpstreams) {
    for (kind, order_log) in ["checking", "ignoring"].iter().zip(upstreams.order_logs()) {
        assert_eq!(order_log.model(), Some(&ModelName::from("second")), "{kind}");
        assert!(!order_log.applied_stale_order(), "the {kind} upstream acted on a stale order");
    }
}

#[tokio::test(start_paused = true)]
async fn holder_suspended_before_sending_sends_no_order_after_it_resumes() {
    let (mut first, mut second, upstreams) = start();
    first.run(30 * SECOND).await;
    let stale = first.keeper.held().expect("the lease").clone();
    second.run(HOUR).await;
    assert_only_second_applied(&upstreams);
    let sent = first.send(&stale).await;
    assert_eq!(sent, [Err(OrderError::LeaseTooShort), Err(OrderError::LeaseTooShort)]);
    first.step().await;
    assert!(first.keeper.held().is_none(), "the resumed holder kept the lease");
    assert_only_second_applied(&upstreams);
}

#[tokio::test(start_paused = true)]
async fn orders_of_an_isolated_holder_are_never_applied_after_a_takeover() {
    let (mut first, mut second, upstreams) = start();
    first.run(30 * SECOND).await;
    let disconnected = Arc::clone(&first.group.disconnected);
    disconnected.store(true, Ordering::Relaxed);
    tokio::join!(first.run(HOUR), second.run(HOUR));
    assert_only_second_applied(&upstreams);
    disconnected.store(false, Ordering::Relaxed);
    tokio::join!(first.run(60 * SECOND), second.run(60 * SECOND));
    assert_only_second_applied(&upstreams);
    assert!(first.keeper.held().is_none(), "two holders");
}

#[tokio::test(start_paused = true)]
async fn fencing_upstream_refuses_an_order_delayed_by_an_hour() {
    let (mut first, mut second, upstreams) = start();
    first.run(3 * SECOND).await;
    let fence = first.keeper.held().expect("the lease").fence;
    second.run(HOUR).await;
    let delayed =
        UpstreamOrder { fence, model: Some("first".into()), version: None, adapters: Vec::new() };
    let refused = upstreams.order_logs[0].lock().expect("no panic").apply(delayed);
    assert!(refused.is_err());
    assert_only_second_applied(&upstreams);
}

#[tokio::test(start_paused = true)]
async fn restarted_holder_waits_for_its_previous_lease_and_gets_a_higher_fence() {
    let (mut first, _, upstreams) = start();
    first.run(3 * SECOND).await;
    let fence = first.keeper.held().expect("the lease").fence;
    let mut restarted = FakeHolder::new("first", &first.group, &upstreams);
    restarted.run(10 * SECOND).await;
    assert!(restarted.keeper.held().is_none(), "took the lease before it expired");
    restarted.run(10 * SECOND).await;
    assert!(restarted.keeper.held().is_some_and(|held| held.fence > fence));
}

fn upstream(number: u32, model: Option<&str>, running: u32) -> UpstreamRecord {
    UpstreamRecord {
        name: format!("u{number:02}").as_str().into(),
        incarnation: Incarnation(1),
        sequence: 1,
        region: "aqaba".into(),
        zone: "aqaba-a".into(),
        address: SocketAddr::from(([10, 0, 0, 1], 1)),
        pool: "verdicts".into(),
        models: model.map(ModelName::from).into_iter().collect(),
        state: if model.is_some() { UpstreamState::Serving } else { UpstreamState::Parked },
        rates: UpstreamRates {
            prefill_tokens_per_s: 8_000.0,
            decode_tokens_per_s: 1_000.0,
            max_running: 10,
            kv_tokens: 1,
        },
        load: LoadReport { running, ..LoadReport::default() },
        checks_fencing: true,
    }
}

#[test]
fn placement_limits_concurrent_loads_and_keeps_the_last_upstream_of_each_model() {
    let models = ["a".into(), "b".into(), "c".into()];
    let now = Instant::now();
    let mut upstreams: Vec<_> = (0..8).map(|number| upstream(number, None, 0)).collect();
    let orders = PlacementPlanner::default().decide(&upstreams, &models, 1, now);
    assert_eq!(orders.len(), MAX_CONCURRENT_LOADS);
    assert_ne!(orders[0].model, orders[1].model, "one model got both loads");
    upstreams = vec![upstream(0, Some("a"), 10), upstream(1, Some("b"), 0)];
    let orders = PlacementPlanner::default().decide(&upstreams, &models[..2], 1, now);
    assert_eq!(orders, [], "the last upstream of a model was taken");
}

#[test]
fn placement_parks_an_upstream_only_after_a_long_surplus() {
    let models = ["a".into()];
    let now = Instant::now();
    let mut planner = PlacementPlanner::default();
    let upstreams: Vec<_> = (0..6).map(|number| upstream(number, Some("a"), number)).collect();
    assert_eq!(planner.decide(&upstreams, &models, 1, now), []);
    assert_eq!(planner.decide(&upstreams, &models, 1, now + 300 * SECOND), []);
    let orders = planner.decide(&upstreams, &models, 1, now + 601 * SECOND);
    assert_eq!(orders.len(), 1);
    assert_eq!((orders[0].upstream.as_str(), &orders[0].model), ("u00", &None));
}
