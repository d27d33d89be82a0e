//! No stale holder's order does harm, and placement keeps every model served.

use cicadastall::{
    lease::{HeldLease, LeaseCommand, LeaseKeeper, LeaseState, LeaseTerm},
    name::ModelName,
    orders::{DELIVERY_TIMEOUT, OrderError, OrderTransport, send_order},
    placement::{MAX_CONCURRENT_LOADS, PlacementOrder, PlacementPlanner},
    replicated::{GroupError, LocalGroup, ReplicatedGroup},
    table::{Incarnation, LoadReport, UpstreamRates, UpstreamRecord, UpstreamState},
    wire::UpstreamOrder,
};
use cicadastall_standins::orders::OrderBook;
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

/// Two upstreams, of which the first checks the fencing number; orders take some time to arrive.
#[derive(Debug, Clone)]
struct FakeUpstreams {
    books: Arc<[Mutex<OrderBook>; 2]>,
    delay_ms: Arc<AtomicU64>,
}

impl FakeUpstreams {
    fn new() -> Self {
        let books = [true, false].map(|checks| Mutex::new(OrderBook::new(checks)));
        Self { books: Arc::new(books), delay_ms: Arc::new(AtomicU64::new(0)) }
    }

    fn books(&self) -> [OrderBook; 2] {
        [0, 1].map(|index| self.books[index].lock().expect("no panic holds the lock").clone())
    }
}

impl OrderTransport for FakeUpstreams {
    async fn deliver(&self, address: SocketAddr, order: UpstreamOrder) -> Result<(), OrderError> {
        let delay = self.delay_ms.fetch_add(211, Ordering::Relaxed) % 1_400;
        let arrived = timeout(DELIVERY_TIMEOUT, sleep(Duration::from_millis(delay))).await;
        arrived.map_err(|_| OrderError::Undelivered("timeout".to_owned()))?;
        let mut book = self.books[usize::from(address.port())].lock().expect("no panic");
        book.take(order).map_err(|stale| OrderError::Refused(format!("{stale:?}")))
    }
}

/// The region's group as one instance reaches it.
#[derive(Debug, Clone)]
struct ReachedGroup {
    group: Arc<LocalGroup<LeaseState>>,
    cut: Arc<AtomicBool>,
}

impl ReplicatedGroup<LeaseState> for ReachedGroup {
    async fn propose(&self, command: LeaseCommand) -> Result<LeaseTerm, GroupError> {
        if self.cut.load(Ordering::Relaxed) {
            return Err(GroupError::NoQuorum);
        }
        self.group.propose(command).await
    }

    async fn read<T: Send>(
        &self,
        query: impl FnOnce(&LeaseState) -> T + Send,
    ) -> Result<T, GroupError> {
        if self.cut.load(Ordering::Relaxed) {
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

/// A holder that renews its lease and sends orders each second, unless it is frozen.
struct FakeHolder {
    keeper: LeaseKeeper,
    group: ReachedGroup,
    upstreams: FakeUpstreams,
    model: &'static str,
}

impl FakeHolder {
    fn new(model: &'static str, group: &ReachedGroup, upstreams: &FakeUpstreams) -> Self {
        let group = ReachedGroup { group: Arc::clone(&group.group), cut: Arc::default() };
        Self { keeper: LeaseKeeper::new(model.into()), group, upstreams: upstreams.clone(), model }
    }

    async fn step(&mut self) {
        let _ = self.keeper.step(&self.group).await;
        if let Some(lease) = self.keeper.held().cloned() {
            let _ = self.send(&lease).await;
        }
    }

    async fn send(&self, lease: &HeldLease) -> [Result<(), OrderError>; 2] {
        let [checking, ignoring] = orders(self.model);
        let sent = tokio::join!(
            send_order(&self.upstreams, lease, &checking),
            send_order(&self.upstreams, lease, &ignoring),
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
    let group = ReachedGroup { group, cut: Arc::default() };
    let upstreams = FakeUpstreams::new();
    let first = FakeHolder::new("first", &group, &upstreams);
    let second = FakeHolder::new("second", &group, &upstreams);
    (first, second, upstreams)
}

fn assert_second_rules(upstreams: &FakeUpstreams) {
    for (sort, book) in ["checking", "ignoring"].iter().zip(upstreams.books()) {
        assert_eq!(book.model(), Some(&ModelName::from("second")), "{sort}");
        assert!(!book.acted_on_stale(), "the {sort} upstream acted on a stale order");
    }
}

#[tokio::test(start_paused = true)]
async fn holder_frozen_before_it_sends_does_no_harm_when_woken() {
    let (mut first, mut second, upstreams) = start();
    first.run(30 * SECOND).await;
    let stale = first.keeper.held().expect("the lease").clone();
    second.run(HOUR).await;
    assert_second_rules(&upstreams);
    let sent = first.send(&stale).await;
    assert_eq!(sent, [Err(OrderError::LeaseTooShort), Err(OrderError::LeaseTooShort)]);
    first.step().await;
    assert!(first.keeper.held().is_none(), "the woken holder kept the lease");
    assert_second_rules(&upstreams);
}

#[tokio::test(start_paused = true)]
async fn isolated_holder_that_goes_on_sending_does_no_harm() {
    let (mut first, mut second, upstreams) = start();
    first.run(30 * SECOND).await;
    let cut = Arc::clone(&first.group.cut);
    cut.store(true, Ordering::Relaxed);
    tokio::join!(first.run(HOUR), second.run(HOUR));
    assert_second_rules(&upstreams);
    cut.store(false, Ordering::Relaxed);
    tokio::join!(first.run(60 * SECOND), second.run(60 * SECOND));
    assert_second_rules(&upstreams);
    assert!(first.keeper.held().is_none(), "two holders");
}

#[tokio::test(start_paused = true)]
async fn checking_upstream_refuses_an_order_that_was_on_its_way_for_an_hour() {
    let (mut first, mut second, upstreams) = start();
    first.run(3 * SECOND).await;
    let fence = first.keeper.held().expect("the lease").fence;
    second.run(HOUR).await;
    let late =
        UpstreamOrder { fence, model: Some("first".into()), version: None, adapters: Vec::new() };
    let refused = upstreams.books[0].lock().expect("no panic").take(late);
    assert!(refused.is_err());
    assert_second_rules(&upstreams);
}

#[tokio::test(start_paused = true)]
async fn restarted_holder_waits_out_its_own_lease_under_a_new_number() {
    let (mut first, _, upstreams) = start();
    first.run(3 * SECOND).await;
    let fence = first.keeper.held().expect("the lease").fence;
    let mut restarted = FakeHolder::new("first", &first.group, &upstreams);
    restarted.run(10 * SECOND).await;
    assert!(restarted.keeper.held().is_none(), "took the lease before it had run out");
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
fn placement_loads_few_at_a_time_and_takes_the_last_upstream_from_no_model() {
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
fn placement_shrinks_only_after_a_long_surplus() {
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
