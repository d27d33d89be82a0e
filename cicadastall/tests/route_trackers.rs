//! Upstream trackers of a router when upstreams restart or disappear.

use cicadastall::{
    answer::Ran,
    decode::{RequestBody, RequestPlan},
    prefix::PromptShape,
    route::{RequestRouter, RouteDecision, RouterLocation, TriedTargets, policy::RouterPolicy},
    settings::Rank,
    table::{
        Incarnation, LoadReport, RoutingTable, UpstreamRates, UpstreamRecord, UpstreamState,
        UpstreamView,
    },
    wire::CallRequest,
};
use std::{sync::Arc, time::Duration};
use tokio::time::Instant;

/// Number of upstreams in a zone at the target size.
const UPSTREAMS: u64 = 40;

fn plan() -> RequestPlan {
    RequestPlan {
        request: "r".into(),
        team: "trust".into(),
        workspace: "aqaba-port".into(),
        home: "aqaba".into(),
        share: 1.0,
        kind: "tuck-query".into(),
        rank: Rank::Urgent,
        worth: 1.0,
        pool: "verdicts".into(),
        model: None,
        regions: ["aqaba".into()].into_iter().collect(),
        first_token: Duration::from_secs(1),
        deadline: Duration::from_secs(10),
        repeatable: true,
        forwarded_from: None,
        session: None,
        key: None,
        resent: false,
        acknowledged: Default::default(),
        body: RequestBody::Call(CallRequest { arguments: serde_json::Value::Null }),
    }
}

fn view(number: u64, incarnation: u64, now: Instant) -> UpstreamView {
    let record = UpstreamRecord {
        name: format!("m{number}").as_str().into(),
        incarnation: Incarnation(incarnation),
        sequence: 1,
        region: "aqaba".into(),
        zone: "aqaba-a".into(),
        address: ([127, 0, 0, 1], 1).into(),
        pool: "verdicts".into(),
        models: Default::default(),
        state: UpstreamState::Serving,
        rates: UpstreamRates {
            prefill_tokens_per_s: 2_000.0,
            decode_tokens_per_s: 300.0,
            max_running: 16,
            kv_tokens: 100_000,
        },
        load: LoadReport::default(),
        checks_fencing: false,
    };
    UpstreamView { record: Arc::new(record), renewed_at: now }
}

fn table(views: impl Iterator<Item = UpstreamView>) -> RoutingTable {
    let upstreams = views.map(|view| (view.record.name.clone(), view)).collect();
    RoutingTable { upstreams, ..RoutingTable::default() }
}

fn router() -> RequestRouter {
    let location = RouterLocation { region: "aqaba".into(), zone: "aqaba-a".into() };
    RequestRouter::with_policy(location, RouterPolicy::default(), 1)
}

fn choose(router: &mut RequestRouter, table: &RoutingTable, now: Instant) -> RouteDecision {
    let shape = PromptShape { tokens: 100, answer_tokens: 10, ..PromptShape::default() };
    router.choose(table, &plan(), &shape, &TriedTargets::default(), now)
}

#[test]
fn trackers_of_absent_upstreams_are_removed() {
    let (mut router, mut now) = (router(), Instant::now());
    for generation in 0..20 {
        let numbers = generation * UPSTREAMS..(generation + 1) * UPSTREAMS;
        let table = table(numbers.map(|number| view(number, 1, now)));
        choose(&mut router, &table, now);
        now += Duration::from_secs(2);
        choose(&mut router, &table, now);
    }
    assert_eq!(router.count_trackers(), UPSTREAMS as usize);
}

#[test]
fn tracker_of_an_absent_upstream_is_kept_while_an_attempt_is_unfinished() {
    let (mut router, now) = (router(), Instant::now());
    let shape = PromptShape { tokens: 100, answer_tokens: 10, ..PromptShape::default() };
    let RouteDecision::Upstream(choice) =
        choose(&mut router, &table([view(0, 1, now)].into_iter()), now)
    else {
        panic!("the only upstream is chosen");
    };
    let ticket = router.record_sent(&choice, &plan(), &shape, now);
    let later = now + Duration::from_secs(2);
    choose(&mut router, &RoutingTable::default(), later);
    assert_eq!(router.count_trackers(), 1);
    router.record_ended(&ticket);
    choose(&mut router, &RoutingTable::default(), later + Duration::from_secs(2));
    assert_eq!(router.count_trackers(), 0);
}

#[test]
fn restart_of_an_upstream_ends_its_quarantine() {
    let (mut router, now) = (router(), Instant::now());
    let before = view(0, 1, now);
    choose(&mut router, &table([before.clone()].into_iter()), now);
    router.record_failure(&before.record.name, now);
    assert!(!router.explain_upstream(&before, now).used);
    let restarted = view(0, 2, now);
    choose(&mut router, &table([restarted.clone()].into_iter()), now);
    assert!(router.explain_upstream(&restarted, now).used);
}

#[test]
fn repeated_sends_add_nothing_to_the_retry_budget() {
    let (mut router, now) = (router(), Instant::now());
    let shape = PromptShape { tokens: 100, answer_tokens: 10, ..PromptShape::default() };
    let RouteDecision::Upstream(choice) =
        choose(&mut router, &table([view(0, 1, now)].into_iter()), now)
    else {
        panic!("the only upstream is chosen");
    };
    while router.take_retry(&plan(), Ran::No, 1) {}
    for _ in 0..100 {
        router.record_sent(&choice, &plan(), &shape, now);
    }
    assert!(!router.take_retry(&plan(), Ran::No, 1));
    for _ in 0..100 {
        router.record_first_attempt(&plan());
    }
    assert!(router.take_retry(&plan(), Ran::No, 1));
}
