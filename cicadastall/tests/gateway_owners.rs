//! Engines that are owned by entries: assignment of owners, grants, and release of grants when processes
//! are lost.

mod gateway;

use cicadastall::{
    gateway::{
        decision::{
            chooser::UpstreamChooser,
            grant_allocator::{
                GrantAllocator, GrantChange, GrantInput, GrantQuery, GrantReply, GrantTicket,
                GrantUpdate, SendReport,
            },
            held_grants::HeldGrants,
            tracker::SendEnd,
        },
        document::routes::{PoolRule, RepeatRule, RouteDocument, WarmupRule},
        knowledge::{
            fleet_update::{RegisteredUpstream, UpstreamPhase},
            owners::{EntryProcess, OwnerMap},
            view::{FleetView, KnownUpstream, LoadView},
        },
    },
    name::{InstanceName, PoolName, RegionName, SoftwareVersion, UpstreamName, ZoneName},
    table::{EntryRecord, EntryState, Incarnation},
};
use gateway::{
    CallerRequest, TestFleet, WAIT_TIMEOUT, engine_pool, route,
    upstream::{ScriptedAnswer, UpstreamStub},
};
use quickcheck::{Gen, QuickCheck};
use smallvec::{SmallVec, smallvec};
use std::{
    collections::{BTreeSet, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};
use tokio::time::{Instant, sleep};

const SLOTS: u32 = 2;

/// Maximum number of requests that an owner grants beyond the slots of an engine.
const QUEUE_ALLOWANCE: usize = 2;

const POLL_INTERVAL: Duration = Duration::from_millis(30);

fn checker() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(60, 20_261_205)).tests(100)
}

fn pool() -> PoolName {
    PoolName::from("service")
}

fn entry(number: usize, incarnation: u64) -> EntryRecord {
    EntryRecord {
        instance: InstanceName::from(format!("entry-{number}").as_str()),
        incarnation: Incarnation(incarnation),
        region: RegionName::from("west"),
        zone: ZoneName::from("west-a"),
        caller_address: None,
        peer_address: address(1_000 + number),
        grant_address: Some(address(2_000 + number)),
        state: EntryState::Serving,
        in_flight: 0,
    }
}

fn address(port: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port as u16))
}

fn engine(number: usize) -> Arc<KnownUpstream> {
    let upstream = RegisteredUpstream {
        name: UpstreamName::from(format!("engine-{number}").as_str()),
        started_ms: 1,
        sequence: 1,
        pool: pool(),
        address: address(3_000 + number),
        zone: ZoneName::from("west-a"),
        slots: SLOTS,
        phase: UpstreamPhase::Serving,
        cold_ms: 0,
        software: SoftwareVersion::from("v1"),
    };
    Arc::new(KnownUpstream {
        upstream: Arc::new(upstream),
        seen_at: Instant::now(),
        silent: false,
        cold_until: None,
        unconfirmed: false,
        condition: None,
    })
}

fn engines(count: usize) -> Vec<Arc<KnownUpstream>> {
    (0..count).map(engine).collect()
}

fn owner_map(engines: &[Arc<KnownUpstream>], entries: &[EntryRecord]) -> OwnerMap {
    let entries: Vec<_> = entries.iter().collect();
    OwnerMap::new([(&pool(), engines)], &entries, 2)
}

#[test]
fn all_entries_agree_on_one_owner_of_each_engine() {
    fn property(present: Vec<u8>, count: u8, keys: Vec<u64>) -> bool {
        let engines = engines(usize::from(count) + 1);
        let numbers: BTreeSet<_> = present.iter().map(|number| usize::from(number % 100)).collect();
        let mut entries: Vec<_> = numbers.into_iter().map(|number| entry(number, 1)).collect();
        let owner_map = self::owner_map(&engines, &entries);
        entries.reverse();
        let other = self::owner_map(&engines, &entries);
        let owner = |owner_map: &OwnerMap, engine: &Arc<KnownUpstream>| {
            owner_map.owner(&pool(), &engine.upstream.name).cloned()
        };
        if entries.len() < 2 {
            return !owner_map.has_owners(&pool()) && owner_map.candidates(&pool(), 1).is_empty();
        }
        let owners: Vec<_> = engines.iter().map(|engine| owner(&owner_map, engine)).collect();
        let same =
            engines.iter().zip(&owners).all(|(engine, first)| owner(&other, engine) == *first);
        let alike = keys.iter().all(|key| {
            let [a, b] = [&owner_map, &other].map(|owner_map| owner_map.candidates(&pool(), *key));
            let distinct = a.len() < 2 || a[0].process != a[1].process;
            !a.is_empty() && distinct && a.iter().eq(b.iter())
        });
        same && alike && owners.iter().all(Option::is_some)
    }
    checker().quickcheck(property as fn(Vec<u8>, u8, Vec<u64>) -> bool);
}

#[test]
fn the_loss_of_an_owner_moves_few_engines_of_others() {
    let engines = engines(100);
    let entries: Vec<_> = (0..40).map(|number| entry(number, 1)).collect();
    let before = owner_map(&engines, &entries);
    let owner = |owner_map: &OwnerMap, engine: &Arc<KnownUpstream>| {
        owner_map.owner(&pool(), &engine.upstream.name).map(|owner| owner.process.clone())
    };
    let lost = owner(&before, &engines[0]).expect("an owner");
    let rest: Vec<_> =
        entries.into_iter().filter(|entry| EntryProcess::of(entry) != lost).collect();
    let after = owner_map(&engines, &rest);
    let moved = engines.iter().filter(|engine| {
        let owner_before = owner(&before, engine);
        owner_before.as_ref() != Some(&lost) && owner(&after, engine) != owner_before
    });
    // The entry that becomes an owner instead takes over its engines and some of those of other owners.
    assert!(moved.count() <= engines.len() / 4);
    assert!(engines.iter().all(|engine| owner(&after, engine).is_some_and(|owner| owner != lost)));
}

struct OwnerHarness {
    allocator: GrantAllocator,
    shard: FleetView,
    load: LoadView,
    rule: PoolRule,
    now: Instant,
    tickets: u64,
}

impl OwnerHarness {
    fn new(count: usize) -> Self {
        let own = InstanceName::from("entry-0");
        let chooser = UpstreamChooser::new(
            own.clone(),
            RegionName::from("west"),
            ZoneName::from("west-a"),
            7,
        );
        let pools = HashMap::from([(pool(), engines(count))]);
        Self {
            allocator: GrantAllocator::new(chooser),
            shard: FleetView { pools, entries: vec![own], ..FleetView::default() },
            load: LoadView::default(),
            rule: engine_pool("service", SLOTS),
            now: Instant::now(),
            tickets: 0,
        }
    }

    /// An owner that measures the load of its engines.
    fn with_measured_load(count: usize) -> Self {
        let chooser = UpstreamChooser::new(
            InstanceName::from("entry-0"),
            RegionName::from("west"),
            ZoneName::from("west-a"),
            7,
        );
        let allocator = GrantAllocator::new(chooser.with_fair_order(true));
        Self { allocator, ..Self::new(count) }
    }

    fn query(&self, holder: &EntryRecord, ticket: GrantTicket) -> GrantQuery {
        GrantQuery {
            holder: EntryProcess::of(holder),
            ticket,
            zone: ZoneName::from("west-a"),
            pool: pool(),
            repeat: RepeatRule::ResumableStream,
            rank: 0,
            target_ms: 800,
            elapsed_ms: 0,
            remaining_ms: 10_000,
            affinity: true,
            hopped: false,
            again: false,
            prompt_tokens: 20,
            expected_tokens: 5,
            parts: smallvec![(1, 10), (ticket.0, 10)],
            software: None,
            tried: SmallVec::new(),
            tried_regions: SmallVec::new(),
            homes: SmallVec::new(),
            workspace: None,
            conditions: Vec::new(),
            updates: Vec::new(),
        }
    }

    fn answer(&mut self, query: &GrantQuery) -> GrantReply {
        let input = GrantInput {
            rule: Some(&self.rule),
            shard: &self.shard,
            load: &self.load,
            starting_up: false,
            now: self.now,
        };
        self.allocator.grant(query, &input)
    }

    fn ask(&mut self, holder: &EntryRecord) -> (GrantTicket, GrantReply) {
        self.tickets += 1;
        let ticket = GrantTicket(self.tickets);
        let query = self.query(holder, ticket);
        (ticket, self.answer(&query))
    }

    /// Asks until the first refusal; returns the grants.
    fn fill(&mut self, holder: &EntryRecord) -> Vec<(GrantTicket, UpstreamName)> {
        let mut granted = Vec::new();
        loop {
            match self.ask(holder) {
                (ticket, GrantReply::Granted { upstream, .. }) => granted.push((ticket, upstream)),
                (_, GrantReply::Refused { retry_after_ms, .. }) => {
                    assert!(retry_after_ms > 0);
                    return granted;
                }
                (_, reply) => panic!("{reply:?}"),
            }
        }
    }

    fn note(&mut self, holder: &EntryRecord, ticket: GrantTicket, change: GrantChange) {
        let updates = [GrantUpdate { ticket, change, at_ms: None }];
        self.allocator.apply_updates(&EntryProcess::of(holder), &updates, self.now);
    }
}

fn max_open(count: usize) -> usize {
    count * (SLOTS as usize + QUEUE_ALLOWANCE)
}

#[test]
fn an_owner_grants_no_more_than_its_engines_run_and_queue() {
    let mut owner = OwnerHarness::new(3);
    let [one, two] = [entry(1, 1), entry(2, 1)];
    let granted = owner.fill(&one);
    assert_eq!(granted.len(), max_open(3));
    for number in 0..3 {
        let name = engine(number).upstream.name.clone();
        assert_eq!(granted.iter().filter(|(_, upstream)| *upstream == name).count(), max_open(1));
    }
    assert!(owner.fill(&two).is_empty());
    // A released grant becomes available to any holder; a repeated release has no effect.
    let (ticket, freed) = granted[4].clone();
    owner.note(&two, ticket, GrantChange::Ended(SendEnd::Whole));
    assert!(owner.fill(&two).is_empty(), "a holder must not release the grant of another");
    owner.note(&one, ticket, GrantChange::Ended(SendEnd::Whole));
    owner.note(&one, ticket, GrantChange::Ended(SendEnd::Whole));
    let again = owner.fill(&two);
    assert!(again.len() == 1 && again[0].1 == freed, "{again:?}");
}

#[test]
fn grants_of_lost_entries_and_expired_requests_are_released() {
    let mut owner = OwnerHarness::new(2);
    let [one, two, restarted] = [entry(1, 1), entry(2, 1), entry(1, 2)];
    assert_eq!(owner.fill(&one).len(), max_open(2));
    owner.allocator.expire(&[one.clone(), two.clone()], owner.now);
    assert_eq!(owner.allocator.open(), max_open(2));
    owner.allocator.expire(&[restarted.clone(), two.clone()], owner.now);
    assert_eq!((owner.allocator.open(), owner.fill(&two).len()), (0, max_open(2)));
    owner.now += Duration::from_secs(12);
    owner.allocator.expire(&[restarted, two], owner.now);
    assert_eq!(owner.allocator.open(), 0);
}

#[test]
fn a_grant_of_another_owner_counts_once_reported() {
    let mut owner = OwnerHarness::new(1);
    let holder = entry(1, 1);
    let mut held = HeldGrants::default();
    let owners = [entry(0, 1), entry(9, 1)];
    let engines = engines(1);
    let owner_map = owner_map(&engines, &owners);
    let report = SendReport {
        pool: pool(),
        upstream: engines[0].upstream.name.clone(),
        started_ms: 1,
        rank: 0,
        prompt_tokens: 200,
        expected_tokens: 50,
        unread_tokens: 200,
        predicted_ms: 100,
        elapsed_ms: 0,
        remaining_ms: 5_000,
        began: false,
    };
    let tickets: Vec<_> = (0..3).map(|_| held.next_ticket()).collect();
    tickets.iter().for_each(|ticket| held.hold(*ticket, report.clone(), None, owner.now));
    let [owner_address] = held
        .owners_to_update()
        .is_empty()
        .then(|| {
            held.report_to_new_owners(&owner_map, owner.now);
            held.report_to_new_owners(&owner_map, owner.now);
            held.owners_to_update()
        })
        .expect("nothing is reported before there is an owner")
        .try_into()
        .expect("one owner");
    let updates = held.take_updates(owner_address);
    assert_eq!(updates.len(), 3, "each send is reported once");
    owner.allocator.apply_updates(&EntryProcess::of(&holder), &updates, owner.now);
    assert_eq!(owner.allocator.open(), 3);
    owner.tickets = 100;
    assert_eq!(owner.fill(&holder).len(), max_open(1) - 3);
    held.end(tickets[0], SendEnd::Whole);
    owner.allocator.apply_updates(
        &EntryProcess::of(&holder),
        &held.take_updates(owner_address),
        owner.now,
    );
    assert_eq!(owner.fill(&holder).len(), 1);
}

#[test]
fn a_paused_engine_is_not_granted() {
    let mut owner = OwnerHarness::new(1);
    let [one, two] = [entry(1, 1), entry(2, 1)];
    let (ticket, reply) = owner.ask(&one);
    assert!(matches!(reply, GrantReply::Granted { .. }), "{reply:?}");
    owner.note(&one, ticket, GrantChange::Paused(3_000));
    owner.note(&one, ticket, GrantChange::Ended(SendEnd::Refused));
    owner.now += Duration::from_millis(2_900);
    let (_, reply) = owner.ask(&two);
    assert!(matches!(reply, GrantReply::Refused { .. }), "{reply:?}");
    owner.now += Duration::from_millis(200);
    let (_, reply) = owner.ask(&two);
    assert!(matches!(reply, GrantReply::Granted { .. }), "{reply:?}");
}

/// For any order of queries, updates and losses of holders, no engine exceeds its capacity, the owner
/// counts no more grants than are open, and all grants are released in the end.
#[test]
fn grants_neither_leak_nor_exceed_the_capacity() {
    fn property(steps: Vec<(u8, u8, u8)>) -> bool {
        let mut owner = OwnerHarness::new(2);
        let holders: Vec<_> = (1..4).map(|number| entry(number, 1)).collect();
        let mut open: Vec<(usize, GrantTicket, UpstreamName)> = Vec::new();
        for (action, holder_index, argument) in steps {
            let holder_index = usize::from(holder_index) % holders.len();
            owner.now += Duration::from_millis(u64::from(argument));
            match action % 4 {
                0 | 1 => {
                    if let (ticket, GrantReply::Granted { upstream, .. }) =
                        owner.ask(&holders[holder_index])
                    {
                        open.push((holder_index, ticket, upstream));
                    }
                }
                2 if !open.is_empty() => {
                    let (holder_index, ticket, _) =
                        open.swap_remove(usize::from(argument) % open.len());
                    owner.note(&holders[holder_index], ticket, GrantChange::Began);
                    owner.note(&holders[holder_index], ticket, GrantChange::Ended(SendEnd::Whole));
                }
                _ => {
                    let live: Vec<_> = holders
                        .iter()
                        .enumerate()
                        .filter(|(index, _)| *index != holder_index)
                        .map(|(_, holder)| holder.clone())
                        .collect();
                    owner.allocator.expire(&live, owner.now);
                    open.retain(|(holder, ..)| *holder != holder_index);
                }
            }
            let fits = (0..2).all(|number| {
                let name = &engine(number).upstream.name;
                open.iter().filter(|(.., upstream)| upstream == name).count() <= max_open(1)
            });
            if !fits || owner.allocator.open() > open.len() {
                return false;
            }
        }
        owner.allocator.expire(&[], owner.now);
        owner.allocator.open() == 0
    }
    checker().quickcheck(property as fn(Vec<(u8, u8, u8)>) -> bool);
}

#[test]
fn an_unresponsive_owner_is_retried_with_exponential_backoff() {
    let mut held = HeldGrants::default();
    let now = Instant::now();
    let at = |millis: u64| now + Duration::from_millis(millis);
    assert!(!held.is_backing_off(address(1), now));
    assert!(held.note_failure(address(1), now));
    assert!(held.is_backing_off(address(1), at(499)) && !held.is_backing_off(address(1), at(501)));
    assert!(!held.note_failure(address(1), at(501)));
    assert!(
        held.is_backing_off(address(1), at(1_500)) && !held.is_backing_off(address(1), at(1_502))
    );
    held.note_success(address(1));
    assert!(!held.is_backing_off(address(1), at(502)));
}

/// Routes to engines, one for repeatable requests and one for requests that may run only once.
fn engine_document() -> RouteDocument {
    let routes = [route("read", RepeatRule::Repeatable), route("book", RepeatRule::Once)];
    RouteDocument {
        number: 1,
        routes: routes.into_iter().map(Arc::new).collect(),
        pools: vec![Arc::new(engine_pool("service", SLOTS))],
        ..RouteDocument::default()
    }
}

async fn start_fleet(name: &str, entries: usize) -> (TestFleet, Vec<UpstreamStub>) {
    let mut fleet = TestFleet::start(name, 1, &[]).await;
    fleet.shares_engines = true;
    for number in 0..entries {
        fleet.add_entry(&format!("entry-{number}"), "west-a").await;
    }
    fleet.put_document(&engine_document()).await;
    fleet.wait_ready().await;
    let mut upstreams = Vec::new();
    for _ in 0..3 {
        let slow = ScriptedAnswer::whole("200 OK", "usual").delayed(Duration::from_millis(300));
        let upstream = UpstreamStub::start(slow).await;
        let registered =
            RegisteredUpstream { slots: SLOTS, ..gateway::describe(&upstream, "west-a", 1) };
        assert!(fleet.renew(0, &registered).await.status.is_success());
        upstreams.push(upstream);
    }
    for number in 0..entries {
        for upstream in &upstreams {
            fleet.wait_known(number, &upstream.name, true).await;
        }
    }
    // Gives the entries time to learn of each other.
    sleep(Duration::from_millis(1_500)).await;
    (fleet, upstreams)
}

async fn flood(fleet: &TestFleet, entries: &[usize], count: usize) -> (usize, usize) {
    let requests = (0..count).map(|number| {
        let address = fleet.entries[entries[number % entries.len()]].address();
        let request = CallerRequest::post("/book/1");
        tokio::spawn(async move { request.send_owned(address).await })
    });
    let requests: Vec<_> = requests.collect();
    let (mut answered, mut refused) = (0, 0);
    for request in requests {
        let answer = request.await.expect("an answer");
        match answer.status.as_u16() {
            200 => answered += 1,
            429 | 503 => {
                assert_eq!(answer.header("x-cicadastall-ran"), Some("no"));
                assert!(answer.header("retry-after").is_some());
                assert!(answer.took < Duration::from_millis(700), "{:?}", answer.took);
                refused += 1;
            }
            status => panic!("{status}: {}", answer.text()),
        }
    }
    (answered, refused)
}

#[tokio::test]
async fn entries_together_stay_within_the_capacity_of_an_engine() {
    let (fleet, upstreams) = start_fleet("owners", 4).await;
    let (answered, refused) = flood(&fleet, &[0, 1, 2, 3], 40).await;
    assert_eq!((answered, refused), (max_open(3), 40 - max_open(3)));
    for upstream in &upstreams {
        assert_eq!(upstream.max_open(), max_open(1) as u32, "{}", upstream.name);
    }
    // All grants are released.
    sleep(Duration::from_millis(400)).await;
    assert_eq!(flood(&fleet, &[0, 1, 2, 3], 12).await, (12, 0));
}

#[tokio::test]
async fn requests_are_answered_after_the_loss_of_an_owner() {
    let (mut fleet, _upstreams) = start_fleet("owner-lost", 3).await;
    let status = fleet.status(0).await;
    let names: Vec<String> = status["owners"]
        .as_array()
        .expect("owners")
        .iter()
        .map(|name| name.as_str().expect("a name").to_owned())
        .collect();
    let lost =
        (0..3).find(|entry| names.contains(&fleet.entries[*entry].node.instance.to_string()));
    let lost = lost.expect("an owner");
    let left: Vec<_> = (0..3).filter(|entry| *entry != lost).collect();
    fleet.kill_entry(lost).await;
    let end = Instant::now() + WAIT_TIMEOUT;
    loop {
        let (answered, _) = flood(&fleet, &left, 2).await;
        assert_eq!(answered, 2, "nothing is refused while there is room");
        let status = fleet.status(left[0]).await;
        let owners = status["owners"].as_array().expect("owners").clone();
        if owners.iter().all(|name| *name != names[0].as_str()) {
            break;
        }
        assert!(Instant::now() < end, "no other owner: {status}");
        sleep(POLL_INTERVAL).await;
    }
    let (answered, refused) = flood(&fleet, &left, 30).await;
    assert_eq!((answered, refused), (max_open(3), 30 - max_open(3)));
}

/// Token counts from a caller that no prompt can have must not crash the entry that receives the request
/// or the owner of its engine.
#[tokio::test]
async fn out_of_range_token_counts_crash_no_process() {
    let (fleet, _upstreams) = start_fleet("owners-absurd", 2).await;
    let max = u32::MAX;
    for entry in [0, 1, 0, 1] {
        let request = CallerRequest::post("/book/1")
            .header("x-cicadastall-tokens", &format!("{max},{max}"))
            .header("x-cicadastall-prompt-parts", &format!("1:{max},2:{max},3:{max}"));
        let answer = request.send(fleet.entries[entry].address()).await;
        assert!([200, 429, 503].contains(&answer.status.as_u16()), "{}", answer.text());
    }
    sleep(Duration::from_millis(600)).await;
    assert_eq!(flood(&fleet, &[0, 1], 6).await, (6, 0));
}

/// A query from another entry may hold any values that can be decoded.
#[test]
fn no_grant_query_makes_an_owner_panic() {
    fn property(figures: (u32, u32, u32, u32), parts: Vec<(u64, u32)>, target_ms: u64) -> bool {
        let holder = entry(1, 1);
        let (elapsed_ms, remaining_ms, prompt_tokens, expected_tokens) = figures;
        [OwnerHarness::new(2), OwnerHarness::with_measured_load(2)].into_iter().all(|mut owner| {
            for ticket in 1..4 {
                let query = GrantQuery {
                    elapsed_ms,
                    remaining_ms,
                    prompt_tokens,
                    expected_tokens,
                    target_ms,
                    parts: parts.iter().copied().collect(),
                    ..owner.query(&holder, GrantTicket(ticket))
                };
                owner.answer(&query);
            }
            let open = owner.allocator.open();
            for ticket in 1..4 {
                owner.note(&holder, GrantTicket(ticket), GrantChange::Ended(SendEnd::Whole));
            }
            open <= 3 && owner.allocator.open() == 0
        })
    }
    checker().quickcheck(property as fn((u32, u32, u32, u32), Vec<(u64, u32)>, u64) -> bool);
}

/// An owner of one engine that stays cold and tolerates four requests per second.
fn cold_owner() -> OwnerHarness {
    let mut owner = OwnerHarness::new(1);
    owner.rule.warmup = Some(WarmupRule { seconds: 60.0, per_s: 4.0 });
    let cold_until = Some(owner.now + Duration::from_secs(60));
    let cold = KnownUpstream { cold_until, ..(*engine(0)).clone() };
    owner.shard.pools.insert(pool(), vec![Arc::new(cold)]);
    owner
}

/// A request that has waited for a cold engine for too long is refused with a retry time. Requests that
/// compete for the few sends to cold engines would otherwise wait until their deadlines.
#[test]
fn the_wait_for_a_cold_engine_is_bounded() {
    let mut owner = cold_owner();
    let holder = entry(1, 1);
    owner.ask(&holder);
    owner.now += Duration::from_secs(2);
    assert!(matches!(owner.ask(&holder).1, GrantReply::Granted { .. }));
    let (_, reply) = owner.ask(&holder);
    assert!(matches!(reply, GrantReply::Wait(_)), "{reply:?}");
    let waited = GrantQuery { elapsed_ms: 1_000, ..owner.query(&holder, GrantTicket(9)) };
    let reply = owner.answer(&waited);
    let GrantReply::Refused { retry_after_ms, .. } = reply else { panic!("{reply:?}") };
    assert!(retry_after_ms > 0);
}

/// The same without another request that waits for the same send.
#[test]
fn a_request_that_has_waited_for_a_cold_engine_waits_again() {
    let mut owner = cold_owner();
    let holder = entry(1, 1);
    owner.ask(&holder);
    owner.now += Duration::from_secs(2);
    assert!(matches!(owner.ask(&holder).1, GrantReply::Granted { .. }));
    let waited = GrantQuery { elapsed_ms: 1_000, ..owner.query(&holder, GrantTicket(9)) };
    let reply = owner.answer(&waited);
    assert!(matches!(reply, GrantReply::Refused { .. }), "{reply:?}");
}

/// A rolling restart of entries changes the owner of a cold engine repeatedly. However often that happens,
/// the engine gets at most 1.5 times its rate plus three requests in any second.
#[test]
fn a_cold_engine_stays_within_its_rate_while_owners_change() {
    let mut sent: Vec<Duration> = Vec::new();
    let holder = entry(1, 1);
    let per_s = 4.0;
    for change_ms in [100, 300, 700, 1_500, 4_000] {
        let mut owner = cold_owner();
        let start = owner.now;
        let mut changed = start;
        for step in 0..1_200_u64 {
            let now = start + Duration::from_millis(10 * step);
            if now - changed >= Duration::from_millis(change_ms) {
                owner = cold_owner();
                changed = now;
            }
            owner.now = now;
            if let (_, GrantReply::Granted { .. }) = owner.ask(&holder) {
                sent.push(now - start);
            }
        }
        for from in &sent {
            let end = *from + Duration::from_secs(1);
            let count = sent.iter().filter(|at| *at >= from && **at < end).count();
            assert!(count as f64 <= per_s * 1.5 + 3.0, "{change_ms} ms: {count} from {from:?}");
        }
        if change_ms >= 4_000 {
            assert!(sent.len() >= 8, "the owner uses too little of the rate: {}", sent.len());
        }
        sent.clear();
    }
}
