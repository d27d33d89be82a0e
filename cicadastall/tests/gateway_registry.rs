//! Tests of the registry of control instances, and of the view that entries merge from its updates.

use cicadastall::{
    gateway::{
        decision::listing::{CallerLocation, ListingInput, list_near},
        document::routes::HostHomes,
        knowledge::{
            entry_registry::ENTRY_TIMEOUT,
            fleet_update::{
                ControlRecord, EntryUpdate, EvacuatedZones, FleetCursor, FleetUpdate,
                RegisteredUpstream, UpstreamPhase, UpstreamUpdate, WorkRow,
            },
            region_load::EntryLoad,
            registry::{CONTROL_TIMEOUT, FleetRegistry, RenewalOutcome},
            view::ViewMerger,
            withdrawals::WithdrawalRecord,
        },
    },
    name::{InstanceName, PoolName, RegionName, SoftwareVersion, UpstreamName, ZoneName},
    table::{EntryRecord, EntryState, Incarnation},
};
use quickcheck::{Gen, QuickCheck};
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};
use tokio::time::Instant;

const RENEWAL: Duration = Duration::from_secs(1);

fn checker() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(30, 77_001)).tests(300)
}

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], port))
}

fn control(port: u16, region: &str) -> ControlRecord {
    ControlRecord {
        peer_address: address(port),
        registry_address: address(port + 1),
        region: RegionName::from(region),
        zone: ZoneName::from(format!("{region}-a").as_str()),
    }
}

fn registry(port: u16) -> FleetRegistry {
    let zones: BTreeMap<_, _> = [("west-a", "west"), ("west-b", "west"), ("east-a", "east")]
        .into_iter()
        .map(|(zone, region)| (ZoneName::from(zone), RegionName::from(region)))
        .collect();
    FleetRegistry::new(control(port, "west"), u64::from(port), zones, RENEWAL)
}

fn upstream(name: &str, started_ms: u64, sequence: u64) -> RegisteredUpstream {
    RegisteredUpstream {
        name: UpstreamName::from(name),
        started_ms,
        sequence,
        pool: PoolName::from("pool"),
        address: address(9_000),
        zone: ZoneName::from("west-a"),
        slots: 4,
        phase: UpstreamPhase::Serving,
        cold_ms: 0,
        software: SoftwareVersion::from("v1"),
    }
}

fn entry(name: &str, zone: &str) -> EntryRecord {
    EntryRecord {
        grant_address: None,
        instance: InstanceName::from(name),
        incarnation: Incarnation(1),
        region: RegionName::from(zone.split('-').next().unwrap_or_default()),
        zone: ZoneName::from(zone),
        caller_address: Some(address(80)),
        peer_address: address(81),
        state: EntryState::Serving,
        in_flight: 0,
    }
}

fn all_updates(registry: &FleetRegistry, now: Instant) -> Vec<UpstreamUpdate> {
    registry.changed_upstreams(FleetCursor::default(), None, now)
}

fn phase(registry: &FleetRegistry, name: &str, now: Instant) -> Option<(UpstreamPhase, bool)> {
    let updates = all_updates(registry, now);
    let found = updates.iter().find(|update| update.upstream.name.as_str() == name);
    found.map(|update| (update.upstream.phase, update.silent))
}

#[test]
fn newest_renewal_wins_in_any_order() {
    fn property(mut order: Vec<(u8, u8, bool)>) -> bool {
        order.truncate(20);
        let now = Instant::now();
        let mut registry = registry(1);
        for (started, sequence, leaving) in &order {
            let phase = if *leaving { UpstreamPhase::Leaving } else { UpstreamPhase::Serving };
            let renewal = upstream("u", u64::from(started % 3), u64::from(*sequence));
            registry.renew(RegisteredUpstream { phase, ..renewal }, now);
        }
        let version = |(started, sequence, _): &&(u8, u8, bool)| (started % 3, *sequence);
        let newest = order.iter().max_by_key(version);
        // Of renewals with equal numbers, the first one is kept.
        let newest = newest
            .and_then(|newest| order.iter().find(|renewal| version(renewal) == version(&newest)));
        let held = phase(&registry, "u", now).map(|(phase, _)| phase);
        held == newest.map(|(_, _, leaving)| match leaving {
            true => UpstreamPhase::Leaving,
            false => UpstreamPhase::Serving,
        })
    }
    checker().quickcheck(property as fn(Vec<(u8, u8, bool)>) -> bool);
}

#[test]
fn deregistered_upstream_returns_only_after_a_restart() {
    let now = Instant::now();
    let mut registry = registry(1);
    assert!(registry.deregister(&UpstreamName::from("u"), now).is_none(), "unknown upstream");
    registry.renew(upstream("u", 5, 1), now);
    assert!(registry.deregister(&UpstreamName::from("u"), now).is_some());
    assert_eq!(registry.renew(upstream("u", 5, 9), now), RenewalOutcome::Outdated);
    assert_eq!(phase(&registry, "u", now), Some((UpstreamPhase::Gone, false)));
    assert_eq!(registry.renew(upstream("u", 6, 1), now), RenewalOutcome::Accepted);
    assert_eq!(phase(&registry, "u", now), Some((UpstreamPhase::Serving, false)));
}

#[test]
fn address_belongs_to_the_latest_process() {
    let now = Instant::now();
    let mut registry = registry(1);
    registry.renew(upstream("old", 5, 1), now);
    registry.renew(upstream("new", 6, 1), now);
    assert_eq!(phase(&registry, "old", now), Some((UpstreamPhase::Gone, false)));
    // A delayed renewal of a process that has already ended.
    assert_eq!(registry.renew(upstream("older", 4, 70), now), RenewalOutcome::Outdated);
    assert_eq!(phase(&registry, "older", now), None);
}

#[test]
fn renewal_with_unknown_zone_is_rejected() {
    let now = Instant::now();
    let mut registry = registry(1);
    let stray = RegisteredUpstream { zone: ZoneName::from("north-a"), ..upstream("u", 1, 1) };
    assert_eq!(registry.renew(stray, now), RenewalOutcome::UnknownZone);
    assert_eq!(phase(&registry, "u", now), None);
}

#[test]
fn unchanged_renewals_are_not_forwarded() {
    let now = Instant::now();
    let mut registry = registry(1);
    registry.renew(upstream("u", 1, 1), now);
    let cursor = registry.cursor();
    for sequence in 2..20 {
        registry.renew(upstream("u", 1, sequence), now + RENEWAL * sequence as u32);
    }
    assert!(!registry.has_changes(cursor));
    registry.set_evacuated_version(3);
    registry.renew(upstream("u", 1, 30), now);
    let updates = registry.changed_upstreams(cursor, None, now);
    assert_eq!(updates.iter().map(|update| update.evacuated).collect::<Vec<_>>(), [3]);
    let cold = RegisteredUpstream { cold_ms: 3_000, ..upstream("u", 1, 31) };
    let cursor = registry.cursor();
    registry.renew(cold, now);
    assert!(registry.has_changes(cursor));
}

#[test]
fn silence_is_reported_by_the_last_receiver_of_renewals() {
    let now = Instant::now();
    let [mut first, mut second] = [registry(1), registry(11)];
    first.renew(upstream("u", 1, 1), now);
    second.merge(address(1), all_updates(&first, now), Vec::new(), now);
    // From now on, the upstream renews at the second instance.
    let later = now + RENEWAL;
    second.renew(upstream("u", 1, 2), later);
    first.merge(address(11), all_updates(&second, later), Vec::new(), later);
    let much_later = now + RENEWAL * 30;
    for sequence in 3..30 {
        second.renew(upstream("u", 1, sequence), now + RENEWAL * sequence as u32);
    }
    first.expire(much_later);
    second.expire(much_later);
    assert_eq!(phase(&first, "u", much_later), Some((UpstreamPhase::Serving, false)));
    assert_eq!(phase(&second, "u", much_later), Some((UpstreamPhase::Serving, false)));
    let silent = much_later + RENEWAL * 6;
    second.expire(silent);
    first.merge(address(11), all_updates(&second, silent), Vec::new(), silent);
    assert_eq!(phase(&first, "u", silent), Some((UpstreamPhase::Serving, true)));
}

#[test]
fn entry_is_lost_once_no_control_instance_is_in_contact() {
    let now = Instant::now();
    let [mut first, mut second] = [registry(1), registry(11)];
    first.report_entry(entry("e", "west-a"), EntryLoad::default(), now);
    second.report_control(control(1, "west"), now);
    let report =
        |registry: &FleetRegistry, at| registry.changed_entries(FleetCursor::default(), true, at);
    second.merge(address(1), Vec::new(), report(&first, now), now);
    let later = now + ENTRY_TIMEOUT + Duration::from_millis(1);
    assert_eq!(second.live_entries().count(), 1);
    first.expire(later);
    assert_eq!(first.live_entries().count(), 0);
    second.merge(address(1), Vec::new(), report(&first, later), later);
    assert_eq!(second.live_entries().count(), 0);
    // The report of a lost control instance does not keep an entry alive.
    second.merge(address(1), Vec::new(), report(&first, now), now);
    assert_eq!(second.live_entries().count(), 1);
    second.expire(now + CONTROL_TIMEOUT * 2);
    assert_eq!(second.live_entries().count(), 0);
}

#[test]
fn work_is_summed_over_the_region_except_the_reader() {
    let now = Instant::now();
    let mut registry = registry(1);
    let name = UpstreamName::from("u");
    registry.renew(upstream("u", 1, 1), now);
    for (entry_name, zone) in [("a", "west-a"), ("b", "west-b"), ("c", "east-a")] {
        let work = vec![WorkRow(name.clone(), 2, 100)];
        let load = EntryLoad { work, ..EntryLoad::default() };
        registry.report_entry(entry(entry_name, zone), load, now);
    }
    let west = RegionName::from("west");
    let reader = InstanceName::from("a");
    let sum = registry.sum_work(&west, Some(&reader), now);
    assert_eq!(sum, [WorkRow(name, 2, 100)]);
    let summary = registry.summarize(&west, &BTreeSet::new(), now);
    assert_eq!(summary.entries.len(), 2);
    assert_eq!((summary.pools[0].requests, summary.pools[0].backlog_ms), (4, 200));
    let evacuated = BTreeSet::from([ZoneName::from("west-a")]);
    assert!(registry.summarize(&west, &evacuated, now).pools.is_empty());
}

#[test]
fn region_without_control_is_summarized_by_others() {
    let now = Instant::now();
    let mut registry = registry(1);
    let [west, east] = ["west", "east"].map(RegionName::from);
    assert_eq!(registry.reported_regions(&west), BTreeSet::from([east.clone()]));
    assert_eq!(registry.reported_regions(&east), BTreeSet::from([west.clone()]));
    registry.report_control(control(21, "east"), now);
    assert!(registry.reported_regions(&west).is_empty());
    registry.expire(now + CONTROL_TIMEOUT * 2);
    assert_eq!(registry.reported_regions(&west), BTreeSet::from([east]));
}

#[test]
fn work_of_others_is_cleared_by_an_empty_report() {
    let now = Instant::now();
    let own = entry("e", "west-a");
    let mut state = ViewMerger::new(own, &[address(1)], now);
    let report = |work| FleetUpdate { work, ..FleetUpdate::default() };
    let row = WorkRow(UpstreamName::from("u"), 3, 200);
    state.apply_update(address(1), report(Some(vec![row])), now);
    assert_eq!(state.build_load(now).work.len(), 1);
    // An update without work, from an instance to which none is reported, changes nothing.
    state.apply_update(address(1), report(None), now);
    assert_eq!(state.build_load(now).work.len(), 1);
    state.apply_update(address(1), report(Some(Vec::new())), now);
    let load = state.build_load(now);
    assert!(load.work.is_empty() && load.work_at == Some(now));
}

#[test]
fn document_is_fetched_from_one_control_instance_at_a_time() {
    let now = Instant::now();
    let later = now + Duration::from_millis(200);
    let mut view = view(now);
    let document_offer = |number| FleetUpdate { document_number: number, ..FleetUpdate::default() };
    assert!(view.begin_fetch(address(1), 0, now));
    assert!(
        view.begin_fetch(address(11), 0, now),
        "an entry without a document asks every instance"
    );
    view.apply_update(address(1), document_offer(7), now);
    assert!(!view.begin_fetch(address(1), 7, later), "no newer document");
    view.apply_update(address(11), document_offer(8), now);
    assert!(!view.begin_fetch(address(1), 7, later), "only the other instance has a newer one");
    assert!(view.begin_fetch(address(11), 7, later));
    view.apply_update(address(1), document_offer(8), later);
    assert!(
        !view.begin_fetch(address(1), 7, later),
        "a fetch from the other instance is in progress"
    );
    // A fetch that gets no response times out.
    assert!(view.begin_fetch(address(1), 7, later + Duration::from_secs(2)));
    view.end_fetch(address(1));
    assert!(view.begin_fetch(address(11), 7, later + Duration::from_secs(2)));
}

fn update(process: u64, upstreams: Vec<RegisteredUpstream>, silent: bool) -> FleetUpdate {
    let upstreams = upstreams.into_iter().map(|upstream| UpstreamUpdate {
        upstream: Arc::new(upstream),
        age_ms: 0,
        silent,
        evacuated: 0,
        departed: false,
        condition: None,
        speed: None,
    });
    FleetUpdate {
        cursor: FleetCursor { process, change: 1 },
        upstreams: upstreams.collect(),
        ..FleetUpdate::default()
    }
}

#[test]
fn departure_is_forwarded_and_holds_until_the_process_restarts() {
    let now = Instant::now();
    let (mut near, mut far) = (registry(1), registry(11));
    near.renew(upstream("u", 5, 1), now);
    let first = near.cursor();
    near.mark_departed(&UpstreamName::from("u"), 5);
    near.renew(upstream("u", 5, 2), now);
    let report = near.changed_upstreams(first, None, now);
    assert!(report.len() == 1 && report[0].departed);
    // The other instance already has the same renewal, received from the upstream.
    far.renew(upstream("u", 5, 2), now);
    far.merge(address(1), report, Vec::new(), now);
    far.renew(upstream("u", 5, 3), now);
    assert!(all_updates(&far, now)[0].departed);
    // The departure does not apply to other processes of the same name.
    far.mark_departed(&UpstreamName::from("u"), 4);
    far.renew(upstream("u", 6, 1), now);
    far.mark_departed(&UpstreamName::from("u"), 5);
    assert!(!all_updates(&far, now)[0].departed);
}

#[test]
fn upstream_reported_leaving_by_any_control_instance_is_not_used() {
    let now = Instant::now();
    let mut view = view(now);
    let departed = |mut update: FleetUpdate| {
        update.upstreams.iter_mut().for_each(|row| row.departed = true);
        update
    };
    view.apply_update(address(1), departed(update(1, vec![upstream("u", 5, 1)], false)), now);
    view.apply_update(address(11), update(2, vec![upstream("u", 5, 9)], false), now);
    assert_eq!(known(&mut view), []);
    view.apply_update(address(11), update(2, vec![upstream("u", 6, 1)], false), now);
    assert_eq!(known(&mut view).len(), 1);
}

fn view(now: Instant) -> ViewMerger {
    ViewMerger::new(entry("own", "west-a"), &[address(1), address(11)], now)
}

fn known(view: &mut ViewMerger) -> Vec<(String, bool)> {
    let made = view.build_view(&[], 1);
    let upstreams = made.pools.values().flatten();
    upstreams.map(|known| (known.upstream.name.to_string(), known.silent)).collect()
}

#[test]
fn newest_report_of_any_control_instance_wins() {
    let now = Instant::now();
    let mut view = view(now);
    view.apply_update(address(1), update(1, vec![upstream("u", 1, 5)], false), now);
    let leaving = RegisteredUpstream { phase: UpstreamPhase::Leaving, ..upstream("u", 1, 6) };
    view.apply_update(address(11), update(11, vec![leaving], false), now);
    assert!(known(&mut view).is_empty());
    view.apply_update(address(1), update(1, vec![upstream("u", 1, 4)], false), now);
    assert!(known(&mut view).is_empty());
    view.apply_update(address(1), update(1, vec![upstream("u", 2, 1)], false), now);
    assert_eq!(known(&mut view), [("u".to_owned(), false)]);
    view.apply_update(address(11), update(11, vec![upstream("u", 2, 1)], true), now);
    assert_eq!(known(&mut view), [("u".to_owned(), true)]);
}

#[test]
fn upstreams_survive_a_restart_of_all_control_instances() {
    let now = Instant::now();
    let mut view = view(now);
    view.apply_update(address(1), update(1, vec![upstream("u", 1, 5)], false), now);
    view.apply_update(address(1), update(2, Vec::new(), false), now);
    assert_eq!(known(&mut view).len(), 1);
    view.expire(now + Duration::from_secs(30));
    assert!(known(&mut view).is_empty(), "no renewal since the restart");
}

/// Update that lists two control instances of each region and reports `reachable` as their number.
fn control_update(process: u64, reachable: u32, upstreams: Vec<RegisteredUpstream>) -> FleetUpdate {
    let named = [(1, "west"), (11, "west"), (21, "east"), (31, "east")];
    FleetUpdate {
        controls: named.map(|(port, region)| control(port, region)).to_vec(),
        controls_heard: reachable,
        ..update(process, upstreams, false)
    }
}

#[test]
fn only_local_control_is_polled_while_it_answers_and_reaches_a_majority() {
    let start = Instant::now();
    let at = |millis: u64| start + Duration::from_millis(millis);
    let mut view = view(start);
    let all = [1, 11, 21, 31].map(address);
    let near = [1, 11].map(address);
    let select = |view: &mut ViewMerger, now| -> Vec<_> {
        view.select_controls(false, now).into_iter().collect()
    };
    assert_eq!(select(&mut view, start), near, "the seeds, whose regions are unknown");
    view.apply_update(address(1), control_update(1, 4, Vec::new()), at(10));
    assert_eq!(select(&mut view, at(20)), near);
    assert_eq!(
        view.select_controls(true, at(20)).len(),
        4,
        "every instance while the entry accepts no callers"
    );
    assert_eq!(select(&mut view, at(1_000)), near);
    assert_eq!(select(&mut view, at(1_400)), all, "no local instance answers");
    view.apply_update(address(11), control_update(11, 4, Vec::new()), at(1_500));
    assert_eq!(select(&mut view, at(1_500)), near);
    // An instance that is partitioned from the others may lack their changes.
    view.apply_update(address(11), control_update(11, 2, Vec::new()), at(1_600));
    assert_eq!(select(&mut view, at(1_600)), all);
    view.apply_update(address(1), control_update(1, 3, Vec::new()), at(1_700));
    assert_eq!(select(&mut view, at(1_700)), near);
}

#[test]
fn an_entry_asks_other_regions_while_control_of_its_own_lacks_the_newest_document() {
    let start = Instant::now();
    let at = |millis: u64| start + Duration::from_millis(millis);
    let report = |document_number, reported_number| FleetUpdate {
        document_number,
        reported_number,
        ..control_update(1, 4, Vec::new())
    };
    let mut view = view(start);
    let select = |view: &mut ViewMerger, now| view.select_controls(false, now).len();
    view.apply_update(address(1), report(7, 7), at(0));
    assert_eq!(select(&mut view, at(100)), 2, "the newest document is here");
    view.apply_update(address(1), report(7, 8), at(200));
    assert_eq!(select(&mut view, at(300)), 2, "it may be on its way");
    view.apply_update(address(1), report(7, 9), at(600));
    assert_eq!(select(&mut view, at(600)), 4);
    view.apply_update(address(1), report(9, 9), at(700));
    assert_eq!(select(&mut view, at(700)), 2);
}

#[test]
fn deregistered_upstream_is_not_restored_by_stale_rows() {
    let now = Instant::now();
    let later = |seconds: u64| now + Duration::from_secs(seconds);
    let mut view = view(now);
    view.apply_update(address(21), control_update(21, 4, vec![upstream("u", 5, 1)]), now);
    view.apply_update(address(1), control_update(1, 4, vec![upstream("u", 5, 1)]), now);
    view.select_controls(true, now);
    view.select_controls(false, now);
    let gone = RegisteredUpstream { phase: UpstreamPhase::Gone, ..upstream("u", 5, 2) };
    view.apply_update(address(1), control_update(1, 4, vec![gone]), later(5));
    assert_eq!(known(&mut view), []);
    // The local control instance restarts and does not know the upstream.
    view.apply_update(address(1), control_update(2, 4, Vec::new()), later(70));
    view.expire(later(81));
    assert_eq!(known(&mut view), []);
    assert_eq!(view.cursor(address(21)), FleetCursor::default());
}

/// Guards against a late renewal at a restarted control instance that has not learnt of a withdrawal yet.
#[test]
fn a_withdrawn_upstream_is_restored_by_a_restarted_control_instance() {
    let now = Instant::now();
    for phase in [UpstreamPhase::Leaving, UpstreamPhase::Gone] {
        let mut view = view(now);
        let withdrawn = RegisteredUpstream { phase, ..upstream("u", 5, 3) };
        view.apply_update(address(1), control_update(1, 4, vec![withdrawn]), now);
        // A late renewal, and the next start of the same upstream.
        view.apply_update(address(1), control_update(2, 4, vec![upstream("u", 5, 2)]), now);
        assert_eq!(known(&mut view), [], "{phase:?}");
        view.apply_update(address(1), control_update(2, 4, vec![upstream("u", 6, 1)]), now);
        assert_eq!(known(&mut view).len(), 1, "{phase:?}");
    }
}

/// Guards against a withdrawal without an end: a process whose start can't be told from the earlier one's.
#[test]
fn an_upstream_without_a_later_start_is_refused_for_good() {
    let now = Instant::now();
    let mut record = WithdrawalRecord::default();
    record.insert(&RegisteredUpstream { phase: UpstreamPhase::Gone, ..upstream("u", 5, 3) });
    let mut registry = registry(1);
    registry.set_withdrawn(&Arc::new(record), now);
    let renew = |registry: &mut FleetRegistry, seconds| {
        let at = now + Duration::from_secs(seconds);
        registry.expire(at);
        registry.renew(upstream("u", 5, 1), at)
    };
    assert_eq!(renew(&mut registry, 59), RenewalOutcome::Outdated);
    assert_eq!(renew(&mut registry, 61), RenewalOutcome::Accepted);
    // An entry takes the row from the control process that reported the withdrawal.
    let mut view = view(now);
    let gone = RegisteredUpstream { phase: UpstreamPhase::Gone, ..upstream("u", 5, 3) };
    view.apply_update(address(1), control_update(1, 4, vec![gone]), now);
    view.apply_update(address(1), control_update(1, 4, vec![upstream("u", 5, 1)]), now);
    assert_eq!(known(&mut view).len(), 1);
}

#[test]
fn fresh_summaries_of_other_regions_are_forwarded() {
    let now = Instant::now();
    let (mut near, far) = (registry(1), registry(11));
    let west = RegionName::from("west");
    let summary = far.summarize(&RegionName::from("east"), &BTreeSet::new(), now);
    let own = far.summarize(&west, &BTreeSet::new(), now);
    near.store_summaries(vec![summary, own], now);
    let relayed = |at| near.relayed_summaries(at).map(|summary| summary.region).collect::<Vec<_>>();
    assert_eq!(relayed(now + Duration::from_secs(2)), [RegionName::from("east")]);
    assert!(relayed(now + Duration::from_secs(4)).is_empty());
}

#[test]
fn evacuations_apply_in_order_of_their_versions() {
    let now = Instant::now();
    let mut view = view(now);
    view.apply_update(address(1), update(1, vec![upstream("u", 1, 5)], false), now);
    let order = |version, zones: &[&str]| FleetUpdate {
        cursor: FleetCursor { process: 1, change: 1 },
        evacuated: Some(EvacuatedZones {
            version,
            zones: zones.iter().map(|zone| ZoneName::from(*zone)).collect(),
        }),
        ..FleetUpdate::default()
    };
    view.apply_update(address(1), order(1, &["west-a"]), now);
    assert!(known(&mut view).is_empty());
    view.apply_update(address(1), order(2, &[]), now);
    view.apply_update(address(11), order(1, &["west-a"]), now);
    let made = view.build_view(&[], 1);
    let upstreams: Vec<_> = made.pools.values().flatten().collect();
    assert!(upstreams[0].unconfirmed, "it may have become cold during the evacuation");
    let mut renewed = update(1, vec![upstream("u", 1, 6)], false);
    renewed.upstreams[0].evacuated = 2;
    view.apply_update(address(1), renewed, now);
    assert!(!view.build_view(&[], 1).pools.values().flatten().next().expect("known").unconfirmed);
}

#[test]
fn control_follows_the_state_of_entries_that_only_others_hear() {
    let now = Instant::now();
    let (mut near, mut far) = (registry(1), registry(11));
    let spread = |near: &FleetRegistry, far: &mut FleetRegistry| {
        let entries = near.changed_entries(FleetCursor::default(), true, now);
        far.merge(address(1), Vec::new(), entries, now);
    };
    let states =
        |far: &FleetRegistry| -> Vec<_> { far.live_entries().map(|entry| entry.state).collect() };
    for state in [EntryState::Starting, EntryState::Serving, EntryState::Draining] {
        near.report_entry(EntryRecord { state, ..entry("e", "west-a") }, EntryLoad::default(), now);
        let before = far.cursor();
        spread(&near, &mut far);
        assert_eq!(states(&far), [state]);
        assert!(far.has_changes(before), "readers learn of {state:?}");
    }
    let late = EntryUpdate {
        entry: entry("e", "west-a"),
        silent: false,
        unreached: Default::default(),
        capacity: None,
    };
    far.merge(address(12), Vec::new(), vec![late], now);
    assert_eq!(states(&far), [EntryState::Draining], "a process does not go back");
}

#[test]
fn fleet_size_is_the_peak_number_of_entries() {
    let now = Instant::now();
    let mut view = view(now);
    let report = |names: &[&str], silent| FleetUpdate {
        cursor: FleetCursor { process: 1, change: 1 },
        entries: names
            .iter()
            .map(|name| EntryUpdate {
                entry: entry(name, "east-a"),
                silent,
                unreached: Default::default(),
                capacity: None,
            })
            .collect(),
        ..FleetUpdate::default()
    };
    view.apply_update(address(1), report(&["a", "b", "c"], false), now);
    assert_eq!(view.build_view(&[], 1).fleet_entries, 4);
    view.apply_update(address(1), report(&["a", "b", "c"], true), now);
    let made = view.build_view(&[], 1);
    assert_eq!((made.fleet_entries, made.live.len(), made.entries.len()), (4, 1, 1));
}

#[test]
fn callers_get_entries_near_them() {
    let zones: BTreeMap<_, _> = [("west-a", "west"), ("west-b", "west"), ("east-a", "east")]
        .into_iter()
        .map(|(zone, region)| (ZoneName::from(zone), RegionName::from(region)))
        .collect();
    let at =
        |name, zone, port| EntryRecord { caller_address: Some(address(port)), ..entry(name, zone) };
    let mut entries = vec![at("a", "west-a", 1), at("b", "west-a", 2), at("c", "west-b", 3)];
    entries.push(at("d", "east-a", 4));
    let zone = Some(ZoneName::from("west-a"));
    let location = CallerLocation { zone, ..CallerLocation::default() };
    let list = |entries: &[EntryRecord]| {
        let input = ListingInput {
            location: &location,
            homes: &HostHomes::default(),
            zones: &zones,
            complete: true,
        };
        let listed = list_near(entries, &input).addresses;
        let mut ports: Vec<_> = listed.iter().map(SocketAddr::port).collect();
        ports.sort_unstable();
        ports
    };
    assert_eq!(list(&entries), [1, 2]);
    entries[0].state = EntryState::Draining;
    assert_eq!(list(&entries), [2, 3]);
    entries[2].state = EntryState::Starting;
    assert_eq!(list(&entries), [2, 4]);
}

/// Exchanges the changes of two control instances at `now`, as polls do.
fn exchange(controls: &mut [(FleetRegistry, FleetCursor); 2], now: Instant) {
    for (reader, source) in [(0, 1), (1, 0)] {
        controls[reader].0.expire(now);
        let cursor = controls[reader].1;
        let rows = controls[source].0.changed_entries(cursor, true, now);
        controls[reader].1 = controls[source].0.cursor();
        let from = address([1, 11][source]);
        controls[reader].0.mark_control_seen(from, now);
        controls[reader].0.merge(from, Vec::new(), rows, now);
    }
}

fn live_names(registry: &FleetRegistry) -> Vec<String> {
    registry.live_entries().map(|entry| entry.instance.to_string()).collect()
}

#[test]
fn a_killed_entry_is_lost_although_control_instances_heard_of_it_from_each_other() {
    let start = Instant::now();
    let at = |millis: u64| start + Duration::from_millis(millis);
    let mut controls = [1, 11].map(|port| (registry(port), FleetCursor::default()));
    controls[0].0.report_control(control(11, "west"), start);
    controls[1].0.report_control(control(1, "west"), start);
    let report = |controls: &mut [(FleetRegistry, FleetCursor); 2], index: usize, state, now| {
        let record = EntryRecord { state, ..entry("e", "west-a") };
        controls[index].0.report_entry(record, EntryLoad::default(), now);
    };
    // The entry polls both while it starts, then only the first.
    report(&mut controls, 0, EntryState::Starting, at(0));
    report(&mut controls, 1, EntryState::Starting, at(50));
    exchange(&mut controls, at(100));
    for millis in (200..4_000).step_by(400) {
        report(&mut controls, 0, EntryState::Serving, at(millis));
        exchange(&mut controls, at(millis + 100));
    }
    assert_eq!(live_names(&controls[1].0), ["e"]);
    for millis in (4_000..14_000).step_by(250) {
        exchange(&mut controls, at(millis));
    }
    assert_eq!(live_names(&controls[0].0), Vec::<String>::new());
    assert_eq!(live_names(&controls[1].0), Vec::<String>::new());
}

#[test]
fn an_entry_that_polled_a_distant_control_instance_for_a_while_stays_known_there() {
    let start = Instant::now();
    let (mut near, mut far) = (registry(1), registry(11));
    far.report_control(control(1, "west"), start);
    near.report_entry(entry("e", "west-a"), EntryLoad::default(), start);
    let report = near.changed_entries(FleetCursor::default(), true, start);
    far.merge(address(1), Vec::new(), report, start);
    // The entry cannot reach the near one for less time than makes it lost there.
    far.report_entry(entry("e", "west-a"), EntryLoad::default(), start);
    for seconds in 1..10 {
        let now = start + Duration::from_secs(seconds);
        far.mark_control_seen(address(1), now);
        far.expire(now);
        assert_eq!(live_names(&far), ["e"], "after {seconds} s");
    }
}

#[test]
fn an_entry_lost_while_a_control_instance_restarts_is_lost_at_the_others() {
    let start = Instant::now();
    let at = |seconds: u64| start + Duration::from_secs(seconds);
    let (mut near, mut far) = (registry(1), registry(11));
    far.report_control(control(1, "west"), start);
    near.report_entry(entry("e", "west-a"), EntryLoad::default(), start);
    let report = near.changed_entries(FleetCursor::default(), true, start);
    far.merge(address(1), Vec::new(), report, start);
    far.note_restart(address(1), at(1));
    assert_eq!(live_names(&far), ["e"], "live entries report again");
    for seconds in 1..8 {
        far.mark_control_seen(address(1), at(seconds));
        far.expire(at(seconds));
    }
    assert_eq!(live_names(&far), Vec::<String>::new());
    near.report_entry(entry("e", "west-a"), EntryLoad::default(), at(8));
    let report = near.changed_entries(FleetCursor::default(), true, at(8));
    far.merge(address(1), Vec::new(), report, at(8));
    far.mark_control_seen(address(1), at(20));
    far.expire(at(20));
    assert_eq!(live_names(&far), ["e"]);
}

fn entry_update(process: u64, state: EntryState, silent: bool) -> FleetUpdate {
    let entry = EntryRecord { state, ..entry("e", "east-a") };
    FleetUpdate {
        entries: vec![EntryUpdate { entry, silent, unreached: Default::default(), capacity: None }],
        ..update(process, Vec::new(), false)
    }
}

fn other_entries(view: &mut ViewMerger) -> usize {
    view.build_view(&[], 1).live.len() - 1
}

#[test]
fn a_control_instance_that_no_longer_answers_does_not_keep_a_lost_entry_listed() {
    let start = Instant::now();
    let at = |millis: u64| start + Duration::from_millis(millis);
    let mut view = view(start);
    view.apply_update(address(1), entry_update(1, EntryState::Serving, false), start);
    view.apply_update(address(11), entry_update(11, EntryState::Serving, false), start);
    view.apply_update(address(11), entry_update(11, EntryState::Serving, true), at(2_600));
    let mut changed = false;
    for millis in (2_800..4_000).step_by(400) {
        view.select_controls(true, at(millis));
        view.apply_update(address(11), update(11, Vec::new(), false), at(millis));
        changed |= view.expire(at(millis));
    }
    assert!(changed && other_entries(&mut view) == 0);
    // What it knew is used again once it answers, unless it has restarted.
    let mut resumed = view;
    resumed.apply_update(address(1), update(1, Vec::new(), false), at(5_000));
    assert_eq!(other_entries(&mut resumed), 1);
    resumed.apply_update(address(11), update(11, Vec::new(), false), at(9_000));
    resumed.expire(at(9_000));
    resumed.apply_update(address(1), update(2, Vec::new(), false), at(9_100));
    assert_eq!(other_entries(&mut resumed), 0);
}

#[test]
fn an_entry_that_reaches_no_control_instance_keeps_the_entries_that_it_knows() {
    let start = Instant::now();
    let mut view = view(start);
    view.apply_update(address(1), entry_update(1, EntryState::Serving, false), start);
    view.select_controls(true, start + Duration::from_secs(60));
    view.expire(start + Duration::from_secs(60));
    assert_eq!(other_entries(&mut view), 1);
}

#[test]
fn an_entry_that_gets_its_first_document_while_it_stops_does_not_serve_again() {
    let mut view = view(Instant::now());
    view.set_state(EntryState::Draining);
    view.set_state(EntryState::Serving);
    assert_eq!(view.own().state, EntryState::Draining);
}

#[test]
fn an_entry_that_restarts_after_its_clock_went_back_becomes_known() {
    let start = Instant::now();
    let at = |millis: u64| start + Duration::from_millis(millis);
    let mut controls = [1, 11].map(|port| (registry(port), FleetCursor::default()));
    controls[0].0.report_control(control(11, "west"), start);
    controls[1].0.report_control(control(1, "west"), start);
    let report = |controls: &mut [(FleetRegistry, FleetCursor); 2], incarnation, now| {
        let incarnation = Incarnation(incarnation);
        let record = EntryRecord { incarnation, ..entry("e", "west-a") };
        controls[0].0.report_entry(record, EntryLoad::default(), now);
    };
    report(&mut controls, 50_000, at(0));
    exchange(&mut controls, at(100));
    assert_eq!(live_names(&controls[1].0), ["e"]);
    for millis in (1_000..8_000).step_by(400) {
        report(&mut controls, 20_000, at(millis));
        exchange(&mut controls, at(millis + 100));
    }
    for (control, _) in &controls {
        let incarnations: Vec<_> = control.live_entries().map(|entry| entry.incarnation).collect();
        assert_eq!(incarnations, [Incarnation(20_000)]);
    }
}
