//! Data residency and forwarding loops: for any claims of other instances, a router sends a request
//! only to a region where it may be answered, and never forwards a request that was forwarded to it.

use cicadastall::{
    answer::RefusalCode,
    decode::{RequestBody, RequestPlan},
    name::{RegionName, ZoneName},
    placement::PlacementPlanner,
    prefix::PromptShape,
    route::{
        RequestRouter, RouteDecision, RouterLocation, TriedTargets, policy::RouterPolicy,
        summary::summarize_capacity,
    },
    settings::{
        FleetSettings, KindSettings, Rank, RegionSettings, Residency, Revision, SettingsSnapshot,
        TeamSettings, WorkspaceSettings,
    },
    table::{
        CapacityRow, Incarnation, LoadReport, RoutingTable, UpstreamRates, UpstreamRecord,
        UpstreamState, UpstreamView, ZoneDigest, ZoneView,
    },
    wire::CallRequest,
};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::time::Instant;

const SEED: u64 = 41;
const TESTS: u64 = 4_000;
const REGIONS: [&str; 4] = ["aqaba", "amman", "irbid", "viti-west"];

fn region(number: u8) -> RegionName {
    RegionName::from(REGIONS[usize::from(number) % REGIONS.len()])
}

fn regions(bits: u8) -> Vec<RegionName> {
    (0..4).filter(|bit| bits >> bit & 1 == 1).map(region).collect()
}

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 1_000 + u16::from(number)))
}

/// Possibly false announcement of an upstream.
#[derive(Debug, Clone)]
struct UpstreamClaim {
    region: u8,
    state: u8,
    queued: u16,
    age_ms: u16,
    odd: Option<OddNumbers>,
}

/// Numbers that no upstream announces.
#[derive(Debug, Clone, Copy)]
struct OddNumbers {
    prefill_rate: f64,
    decode_rate: f64,
    count: u32,
    tokens: u64,
}

impl Arbitrary for OddNumbers {
    fn arbitrary(gen_: &mut Gen) -> Self {
        let rates = [0.0, -1.0, 1e-300, 1e-17, 300.0, 1e300];
        Self {
            prefill_rate: *gen_.choose(&rates).expect("some"),
            decode_rate: *gen_.choose(&rates).expect("some"),
            count: *gen_.choose(&[0, 1, u32::MAX - 1, u32::MAX]).expect("some"),
            tokens: *gen_.choose(&[0, 1, u64::MAX]).expect("some"),
        }
    }
}

/// Possibly false digest of another zone, and the zone name under which the table holds it.
#[derive(Debug, Clone)]
struct ZoneClaim {
    listed_as: u8,
    zone: u8,
    region: u8,
    upstreams: u8,
    wait_ms: f64,
    age_ms: u16,
}

/// One request at one entry, with the settings and claims that the entry received.
#[derive(Debug, Clone)]
struct RouterCase {
    here: u8,
    home: u8,
    resides_in: u8,
    answered_in: u8,
    forwarded_from: Option<u8>,
    urgent: bool,
    upstreams: Vec<UpstreamClaim>,
    zones: Vec<ZoneClaim>,
    tried: Vec<u8>,
    seed: u64,
}

impl Arbitrary for UpstreamClaim {
    fn arbitrary(gen_: &mut Gen) -> Self {
        Self {
            region: u8::arbitrary(gen_),
            state: u8::arbitrary(gen_) % 8,
            queued: u16::arbitrary(gen_) % 500,
            age_ms: u16::arbitrary(gen_) % 4_000,
            odd: u8::arbitrary(gen_).is_multiple_of(4).then(|| OddNumbers::arbitrary(gen_)),
        }
    }
}

impl Arbitrary for ZoneClaim {
    fn arbitrary(gen_: &mut Gen) -> Self {
        let waits = [0.0, 10.0, 5_000.0, -1.0, f64::NAN, f64::INFINITY, 1e300];
        let zone = u8::arbitrary(gen_) % 6;
        let wrong_region = u8::arbitrary(gen_).is_multiple_of(4);
        let wrong_key = u8::arbitrary(gen_).is_multiple_of(4);
        Self {
            listed_as: if wrong_key { u8::arbitrary(gen_) % 6 } else { zone },
            zone,
            region: if wrong_region { u8::arbitrary(gen_) } else { zone },
            upstreams: u8::arbitrary(gen_) % 4,
            wait_ms: *gen_.choose(&waits).expect("some"),
            age_ms: u16::arbitrary(gen_) % 4_000,
        }
    }
}

impl Arbitrary for RouterCase {
    fn arbitrary(gen_: &mut Gen) -> Self {
        Self {
            here: u8::arbitrary(gen_),
            home: u8::arbitrary(gen_),
            resides_in: u8::arbitrary(gen_),
            answered_in: u8::arbitrary(gen_),
            forwarded_from: Option::arbitrary(gen_),
            urgent: bool::arbitrary(gen_),
            upstreams: Vec::arbitrary(gen_),
            zones: Vec::arbitrary(gen_),
            tried: Vec::arbitrary(gen_).into_iter().take(2).collect(),
            seed: u64::arbitrary(gen_),
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let fewer_upstreams = {
            let case = self.clone();
            self.upstreams.shrink().map(move |upstreams| Self { upstreams, ..case.clone() })
        };
        let case = self.clone();
        let fewer_zones = self.zones.shrink().map(move |zones| Self { zones, ..case.clone() });
        Box::new(fewer_upstreams.chain(fewer_zones))
    }
}

impl RouterCase {
    /// Regions that may answer the request, computed independently of the library.
    fn allowed(&self) -> Vec<RegionName> {
        let mut allowed = regions(self.resides_in);
        match self.answered_in % 3 {
            0 => allowed.retain(|name| *name == region(self.home)),
            1 => {}
            _ => allowed.retain(|name| regions(self.answered_in >> 2).contains(name)),
        }
        allowed
    }

    fn settings(&self) -> FleetSettings {
        let answered_in = match self.answered_in % 3 {
            0 => Residency::Home,
            1 => Residency::Anywhere,
            _ => Residency::Regions(regions(self.answered_in >> 2)),
        };
        let kind = KindSettings {
            pool: "verdicts".into(),
            model: Some("splice-7b".into()),
            rank: if self.urgent { Rank::Urgent } else { Rank::Patient },
            first_token_ms: 1_000,
            deadline_ms: 10_000,
            worth: 1.0,
            answered_in,
            repeatable: true,
        };
        let workspace = WorkspaceSettings {
            home: region(self.home),
            resides_in: regions(self.resides_in),
            share: 1.0,
        };
        let team = TeamSettings {
            owner: "harbour office".into(),
            pools: Default::default(),
            kinds: [("tuck-query".into(), kind)].into(),
            workspaces: [("aqaba-port".into(), workspace)].into(),
        };
        let regions = (0..4).map(|number| {
            let zones =
                (0..6).filter(|zone| assigned_region(*zone) == region(number)).map(zone).collect();
            (region(number), RegionSettings { zones, link_bytes_per_s: 250_000_000 })
        });
        FleetSettings { regions: regions.collect(), teams: [("trust".into(), team)].into() }
    }

    fn plan(&self) -> RequestPlan {
        let settings = self.settings();
        let plan = settings.plan_kind(&"aqaba-port".into(), &"tuck-query".into());
        let plan = plan.expect("the case's own settings");
        RequestPlan {
            request: "r".into(),
            team: plan.team.clone(),
            workspace: "aqaba-port".into(),
            home: plan.workspace.home.clone(),
            share: 1.0,
            kind: "tuck-query".into(),
            rank: plan.kind.rank,
            worth: 1.0,
            pool: plan.kind.pool.clone(),
            model: plan.kind.model.clone(),
            regions: plan.regions,
            first_token: Duration::from_secs(1),
            deadline: Duration::from_secs(10),
            repeatable: true,
            forwarded_from: self.forwarded_from.map(region),
            session: None,
            key: None,
            resent: false,
            acknowledged: Default::default(),
            body: RequestBody::Call(CallRequest { arguments: serde_json::Value::Null }),
        }
    }

    fn table(&self, now: Instant) -> RoutingTable {
        let mut table = RoutingTable::default();
        for (number, claim) in self.upstreams.iter().enumerate() {
            let record = Arc::new(claim.record(number as u8));
            let renewed_at = now - Duration::from_millis(claim.age_ms.into());
            table.upstreams.insert(record.name.clone(), UpstreamView { record, renewed_at });
        }
        for claim in &self.zones {
            let received_at = now - Duration::from_millis(claim.age_ms.into());
            let view = ZoneView { digest: Arc::new(claim.digest()), received_at };
            table.zones.insert(zone(claim.listed_as), view);
        }
        table
    }

    fn decide(&self) -> RouteDecision {
        self.route().1
    }

    fn route(&self) -> (RequestRouter, RouteDecision) {
        let now = Instant::now() + Duration::from_secs(60);
        let location = RouterLocation { region: region(self.here), zone: "here-a".into() };
        let mut router = RequestRouter::with_policy(location, RouterPolicy::default(), self.seed);
        router.apply_settings(&SettingsSnapshot {
            revision: Revision(1),
            tree: self.settings(),
            ..SettingsSnapshot::default()
        });
        let zones = self.tried.iter().map(|number| zone(*number)).collect();
        let tried = TriedTargets { zones, ..TriedTargets::default() };
        let shape = PromptShape {
            tokens: 500,
            answer_tokens: 50,
            blocks: vec![1],
            ..PromptShape::default()
        };
        let decision = router.choose(&self.table(now), &self.plan(), &shape, &tried, now);
        (router, decision)
    }
}

fn zone(number: u8) -> ZoneName {
    ZoneName::new(format!("zone-{}", number % 6))
}

/// Region to which the settings assign a zone.
fn assigned_region(zone: u8) -> RegionName {
    region(zone % 6)
}

impl UpstreamClaim {
    fn record(&self, number: u8) -> UpstreamRecord {
        let usual = self.usual_record(number);
        let Some(OddNumbers { prefill_rate, decode_rate, count, tokens }) = self.odd else {
            return usual;
        };
        UpstreamRecord {
            rates: UpstreamRates {
                prefill_tokens_per_s: prefill_rate,
                decode_tokens_per_s: decode_rate,
                max_running: count,
                kv_tokens: tokens,
            },
            load: LoadReport {
                running: count,
                queued: count,
                queued_prompt_tokens: tokens,
                kv_used_tokens: tokens,
                urgent_running: count,
                urgent_queued: count,
                urgent_prompt_tokens: tokens,
                ..LoadReport::default()
            },
            ..usual
        }
    }

    fn usual_record(&self, number: u8) -> UpstreamRecord {
        UpstreamRecord {
            name: format!("m{number}").as_str().into(),
            incarnation: Incarnation(1),
            sequence: 1,
            region: region(self.region),
            zone: "here-a".into(),
            address: address(number),
            pool: "verdicts".into(),
            models: ["splice-7b".into()].into_iter().collect(),
            state: match self.state {
                0 => UpstreamState::Leaving,
                1 => UpstreamState::Loading,
                2 => UpstreamState::Parked,
                _ => UpstreamState::Serving,
            },
            rates: UpstreamRates {
                prefill_tokens_per_s: 2_000.0,
                decode_tokens_per_s: 300.0,
                max_running: 16,
                kv_tokens: 100_000,
            },
            load: LoadReport {
                queued: self.queued.into(),
                urgent_queued: self.queued.into(),
                ..LoadReport::default()
            },
            checks_fencing: false,
        }
    }
}

impl ZoneClaim {
    fn digest(&self) -> ZoneDigest {
        let row = |rank| CapacityRow {
            pool: "verdicts".into(),
            model: Some("splice-7b".into()),
            rank,
            upstreams: self.upstreams.into(),
            prefill_tokens_per_s: 8_000.0,
            wait_ms: self.wait_ms,
        };
        ZoneDigest {
            region: region(self.region),
            zone: zone(self.zone),
            sequence: 1,
            entries: [address(self.zone)].into_iter().collect(),
            rows: vec![row(Rank::Urgent), row(Rank::Patient)],
        }
    }
}

fn check(property: fn(RouterCase) -> bool) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(12, SEED))
        .tests(TESTS)
        .quickcheck(property as fn(RouterCase) -> bool);
}

#[test]
fn targets_are_within_the_permitted_regions() {
    check(|case| match case.decide() {
        RouteDecision::Upstream(choice) => {
            choice.view.record.region == region(case.here)
                && case.allowed().contains(&choice.view.record.region)
        }
        RouteDecision::Entry { region, .. } => case.allowed().contains(&region),
        RouteDecision::Wait(_) | RouteDecision::Refuse(_) => true,
    });
}

#[test]
fn odd_numbers_of_an_upstream_end_the_entry() {
    check(|case| {
        let now = Instant::now() + Duration::from_secs(60);
        case.decide();
        let table = case.table(now);
        let rows = summarize_capacity(&table, now);
        let records: Vec<_> = table.upstreams.values().map(|view| (*view.record).clone()).collect();
        PlacementPlanner::default().decide(&records, &["splice-7b".into()], 1, now);
        rows.iter().all(|row| !row.wait_ms.is_nan())
    });
}

#[test]
fn forwarded_request_is_never_forwarded_again() {
    check(|case| match case.decide() {
        RouteDecision::Entry { .. } => case.forwarded_from.is_none(),
        _ => true,
    });
}

#[test]
fn zone_is_tried_once_and_only_in_the_region_of_the_settings() {
    check(|case| match case.decide() {
        RouteDecision::Entry { zone: chosen, region: claimed, .. } => {
            let newest = case.zones.iter().rfind(|claim| zone(claim.listed_as) == chosen);
            let placed = |claim: &ZoneClaim| {
                zone(claim.zone) == chosen
                    && region(claim.region) == claimed
                    && assigned_region(claim.zone) == claimed
            };
            newest.is_some_and(placed) && !case.tried.iter().any(|number| zone(*number) == chosen)
        }
        _ => true,
    });
}

#[test]
fn leaving_or_silent_upstream_gets_no_request() {
    check(|case| match case.decide() {
        RouteDecision::Upstream(choice) => {
            let number: usize = choice.view.record.name.as_str()[1..].parse().expect("a number");
            let claim = &case.upstreams[number];
            claim.state > 2 && claim.age_ms < 2_500
        }
        _ => true,
    });
}

#[test]
fn refusals_by_the_router_are_not_run_and_have_a_retry_time() {
    check(|case| match case.decide() {
        RouteDecision::Refuse(refusal) => {
            refusal.ran == cicadastall::answer::Ran::No
                && (refusal.retry_after_ms.is_some() || refusal.code == RefusalCode::WrongRegion)
        }
        _ => true,
    });
}

#[test]
fn generated_cases_cover_every_decision() {
    let mut gen_ = Gen::from_size_and_seed(12, SEED);
    let mut seen = [0_u32; 4];
    for _ in 0..TESTS {
        let index = match RouterCase::arbitrary(&mut gen_).decide() {
            RouteDecision::Upstream(_) => 0,
            RouteDecision::Entry { .. } => 1,
            RouteDecision::Refuse(refusal) if refusal.code == RefusalCode::WrongRegion => 2,
            _ => 3,
        };
        seen[index] += 1;
    }
    assert!(seen.iter().all(|count| *count >= 100), "{seen:?}");
}

#[test]
fn decision_is_explained_by_candidates_filters_and_revision() {
    let upstream = |state, queued| UpstreamClaim { region: 0, state, queued, age_ms: 0, odd: None };
    let case = RouterCase {
        here: 0,
        home: 0,
        resides_in: 1,
        answered_in: 0,
        forwarded_from: None,
        urgent: true,
        upstreams: vec![upstream(5, 0), upstream(0, 0), upstream(5, 40)],
        zones: Vec::new(),
        tried: Vec::new(),
        seed: 1,
    };
    let explained = case.route().0.explain("r");
    assert_eq!(explained.len(), 1);
    let explanation = serde_json::to_value(&explained[0]).expect("encode");
    assert_eq!(explanation["revision"], 1);
    assert_eq!(explanation["filtered"], serde_json::json!([["m1", "state"]]));
    assert_eq!(explanation["candidates"][0]["upstream"], "m0");
    assert_eq!(explanation["candidates"][1]["upstream"], "m2");
    assert_eq!(explanation["outcome"]["upstream"]["upstream"], "m0");
    assert!(case.route().0.explain("another").is_empty());
}
