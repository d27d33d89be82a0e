//! Registration of upstreams and entries, and the view that entries merge from it.

use cicadastall::{
    gateway::{
        control_call::CallerPlace,
        document_state::EvacuatedZones,
        listing::list_near,
        news::{
            ControlRecord, EntryNews, FleetNews, NewsCursor, RegisteredUpstream, UpstreamNews,
            UpstreamPhase, WorkRow,
        },
        region_load::EntryLoad,
        registry::{CONTROL_SILENCE, ENTRY_SILENCE, FleetRegistry, RenewalOutcome},
        view::ViewState,
    },
    name::{InstanceName, PoolName, RegionName, UpstreamName, ZoneName},
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

fn all_news(registry: &FleetRegistry, now: Instant) -> Vec<UpstreamNews> {
    registry.changed_upstreams(NewsCursor::default(), None, now)
}

fn phase(registry: &FleetRegistry, name: &str, now: Instant) -> Option<(UpstreamPhase, bool)> {
    let news = all_news(registry, now);
    let found = news.iter().find(|news| news.upstream.name.as_str() == name);
    found.map(|news| (news.upstream.phase, news.silent))
}

#[test]
fn whatever_the_order_of_renewals_the_newest_holds() {
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
        // Of equal numbers the first one counts.
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
fn one_that_has_deregistered_comes_back_only_with_another_start() {
    let now = Instant::now();
    let mut registry = registry(1);
    assert!(!registry.leave(&UpstreamName::from("u"), now), "not known here");
    registry.renew(upstream("u", 5, 1), now);
    assert!(registry.leave(&UpstreamName::from("u"), now));
    assert_eq!(registry.renew(upstream("u", 5, 9), now), RenewalOutcome::Outdated);
    assert_eq!(phase(&registry, "u", now), Some((UpstreamPhase::Gone, false)));
    assert_eq!(registry.renew(upstream("u", 6, 1), now), RenewalOutcome::Taken);
    assert_eq!(phase(&registry, "u", now), Some((UpstreamPhase::Serving, false)));
}

#[test]
fn an_address_belongs_to_the_process_that_started_last() {
    let now = Instant::now();
    let mut registry = registry(1);
    registry.renew(upstream("old", 5, 1), now);
    registry.renew(upstream("new", 6, 1), now);
    assert_eq!(phase(&registry, "old", now), Some((UpstreamPhase::Gone, false)));
    // A renewal that was held up until after its sender's end.
    assert_eq!(registry.renew(upstream("older", 4, 70), now), RenewalOutcome::Outdated);
    assert_eq!(phase(&registry, "older", now), None);
}

#[test]
fn an_unknown_zone_names_no_upstream() {
    let now = Instant::now();
    let mut registry = registry(1);
    let stray = RegisteredUpstream { zone: ZoneName::from("north-a"), ..upstream("u", 1, 1) };
    assert_eq!(registry.renew(stray, now), RenewalOutcome::UnknownZone);
    assert_eq!(phase(&registry, "u", now), None);
}

#[test]
fn renewals_that_change_nothing_are_not_passed_on() {
    let now = Instant::now();
    let mut registry = registry(1);
    registry.renew(upstream("u", 1, 1), now);
    let cursor = registry.cursor();
    for sequence in 2..20 {
        registry.renew(upstream("u", 1, sequence), now + RENEWAL * sequence as u32);
    }
    assert!(!registry.has_news(cursor));
    registry.note_evacuated(3);
    registry.renew(upstream("u", 1, 30), now);
    let news = registry.changed_upstreams(cursor, None, now);
    assert_eq!(news.iter().map(|news| news.evacuated).collect::<Vec<_>>(), [3]);
    let cold = RegisteredUpstream { cold_ms: 3_000, ..upstream("u", 1, 31) };
    let cursor = registry.cursor();
    registry.renew(cold, now);
    assert!(registry.has_news(cursor));
}

#[test]
fn silence_is_told_by_the_instance_that_heard_the_renewals_last() {
    let now = Instant::now();
    let [mut first, mut second] = [registry(1), registry(11)];
    first.renew(upstream("u", 1, 1), now);
    second.merge(address(1), all_news(&first, now), Vec::new(), now);
    // The upstream renews at the second instance from now on.
    let later = now + RENEWAL;
    second.renew(upstream("u", 1, 2), later);
    first.merge(address(11), all_news(&second, later), Vec::new(), later);
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
    first.merge(address(11), all_news(&second, silent), Vec::new(), silent);
    assert_eq!(phase(&first, "u", silent), Some((UpstreamPhase::Serving, true)));
}

#[test]
fn an_entry_is_lost_once_no_control_instance_hears_of_it() {
    let now = Instant::now();
    let [mut first, mut second] = [registry(1), registry(11)];
    first.report_entry(entry("e", "west-a"), EntryLoad::default(), now);
    second.report_control(control(1, "west"), now);
    let told =
        |registry: &FleetRegistry, at| registry.changed_entries(NewsCursor::default(), true, at);
    second.merge(address(1), Vec::new(), told(&first, now), now);
    let later = now + ENTRY_SILENCE + Duration::from_millis(1);
    assert_eq!(second.live_entries().count(), 1);
    first.expire(later);
    assert_eq!(first.live_entries().count(), 0);
    second.merge(address(1), Vec::new(), told(&first, later), later);
    assert_eq!(second.live_entries().count(), 0);
    // What a lost control instance said does not keep an entry alive.
    second.merge(address(1), Vec::new(), told(&first, now), now);
    assert_eq!(second.live_entries().count(), 1);
    second.expire(now + CONTROL_SILENCE * 2);
    assert_eq!(second.live_entries().count(), 0);
}

#[test]
fn work_is_summed_over_the_region_without_the_reader() {
    let now = Instant::now();
    let mut registry = registry(1);
    let name = UpstreamName::from("u");
    registry.renew(upstream("u", 1, 1), now);
    for (entry_name, zone) in [("a", "west-a"), ("b", "west-b"), ("c", "east-a")] {
        let work = vec![WorkRow(name.clone(), 2, 100)];
        let load = EntryLoad { work, demand: Vec::new() };
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
fn a_region_without_control_is_summarised_by_others() {
    let now = Instant::now();
    let mut registry = registry(1);
    let [west, east] = ["west", "east"].map(RegionName::from);
    assert_eq!(registry.reported_regions(&west), BTreeSet::from([east.clone()]));
    assert_eq!(registry.reported_regions(&east), BTreeSet::from([west.clone()]));
    registry.report_control(control(21, "east"), now);
    assert!(registry.reported_regions(&west).is_empty());
    registry.expire(now + CONTROL_SILENCE * 2);
    assert_eq!(registry.reported_regions(&west), BTreeSet::from([east]));
}

#[test]
fn work_of_others_is_forgotten_once_they_have_none() {
    let now = Instant::now();
    let own = entry("e", "west-a");
    let mut state = ViewState::new(own, &[address(1)], now);
    let told = |work| FleetNews { work, ..FleetNews::default() };
    let row = WorkRow(UpstreamName::from("u"), 3, 200);
    state.accept(address(1), told(Some(vec![row])), now);
    assert_eq!(state.make_load(now).work.len(), 1);
    // An instance that is not told says nothing of it.
    state.accept(address(1), told(None), now);
    assert_eq!(state.make_load(now).work.len(), 1);
    state.accept(address(1), told(Some(Vec::new())), now);
    let load = state.make_load(now);
    assert!(load.work.is_empty() && load.work_at == Some(now));
}

#[test]
fn a_document_is_fetched_from_one_control_instance_at_a_time() {
    let now = Instant::now();
    let later = now + Duration::from_millis(200);
    let mut view = view(now);
    let offer = |number| FleetNews { document_number: number, ..FleetNews::default() };
    assert!(view.begin_fetch(address(1), 0, now));
    assert!(view.begin_fetch(address(11), 0, now), "an entry without any asks all");
    view.accept(address(1), offer(7), now);
    assert!(!view.begin_fetch(address(1), 7, later), "it has nothing newer");
    view.accept(address(11), offer(8), now);
    assert!(!view.begin_fetch(address(1), 7, later), "it has not told of a newer one");
    assert!(view.begin_fetch(address(11), 7, later));
    view.accept(address(1), offer(8), later);
    assert!(!view.begin_fetch(address(1), 7, later), "the other one was asked");
    // One that does not answer is not waited for.
    assert!(view.begin_fetch(address(1), 7, later + Duration::from_secs(2)));
    view.end_fetch(address(1));
    assert!(view.begin_fetch(address(11), 7, later + Duration::from_secs(2)));
}

fn news(process: u64, upstreams: Vec<RegisteredUpstream>, silent: bool) -> FleetNews {
    let upstreams = upstreams.into_iter().map(|upstream| UpstreamNews {
        upstream: Arc::new(upstream),
        age_ms: 0,
        silent,
        evacuated: 0,
        departed: false,
    });
    FleetNews {
        cursor: NewsCursor { process, change: 1 },
        upstreams: upstreams.collect(),
        ..FleetNews::default()
    }
}

#[test]
fn a_departure_is_passed_on_and_outlives_renewals_but_not_the_process() {
    let now = Instant::now();
    let (mut near, mut far) = (registry(1), registry(11));
    near.renew(upstream("u", 5, 1), now);
    let first = near.cursor();
    near.note_departed(&UpstreamName::from("u"), 5);
    near.renew(upstream("u", 5, 2), now);
    let told = near.changed_upstreams(first, None, now);
    assert!(told.len() == 1 && told[0].departed);
    // The other instance has the same renewal already, from the upstream itself.
    far.renew(upstream("u", 5, 2), now);
    far.merge(address(1), told, Vec::new(), now);
    far.renew(upstream("u", 5, 3), now);
    assert!(all_news(&far, now)[0].departed);
    // Nothing is said of another start.
    far.note_departed(&UpstreamName::from("u"), 4);
    far.renew(upstream("u", 6, 1), now);
    far.note_departed(&UpstreamName::from("u"), 5);
    assert!(!all_news(&far, now)[0].departed);
}

#[test]
fn an_upstream_that_any_control_instance_knows_to_leave_is_not_used() {
    let now = Instant::now();
    let mut view = view(now);
    let departed = |mut news: FleetNews| {
        news.upstreams.iter_mut().for_each(|row| row.departed = true);
        news
    };
    view.accept(address(1), departed(news(1, vec![upstream("u", 5, 1)], false)), now);
    view.accept(address(11), news(2, vec![upstream("u", 5, 9)], false), now);
    assert_eq!(known(&mut view), []);
    view.accept(address(11), news(2, vec![upstream("u", 6, 1)], false), now);
    assert_eq!(known(&mut view).len(), 1);
}

fn view(now: Instant) -> ViewState {
    ViewState::new(entry("own", "west-a"), &[address(1), address(11)], now)
}

fn known(view: &mut ViewState) -> Vec<(String, bool)> {
    let made = view.make_view(&[], 1);
    let upstreams = made.pools.values().flatten();
    upstreams.map(|known| (known.upstream.name.to_string(), known.silent)).collect()
}

#[test]
fn the_newest_word_of_any_control_instance_counts() {
    let now = Instant::now();
    let mut view = view(now);
    view.accept(address(1), news(1, vec![upstream("u", 1, 5)], false), now);
    let leaving = RegisteredUpstream { phase: UpstreamPhase::Leaving, ..upstream("u", 1, 6) };
    view.accept(address(11), news(11, vec![leaving], false), now);
    assert!(known(&mut view).is_empty());
    view.accept(address(1), news(1, vec![upstream("u", 1, 4)], false), now);
    assert!(known(&mut view).is_empty());
    view.accept(address(1), news(1, vec![upstream("u", 2, 1)], false), now);
    assert_eq!(known(&mut view), [("u".to_owned(), false)]);
    view.accept(address(11), news(11, vec![upstream("u", 2, 1)], true), now);
    assert_eq!(known(&mut view), [("u".to_owned(), true)]);
}

#[test]
fn upstreams_outlive_the_restart_of_all_control_instances() {
    let now = Instant::now();
    let mut view = view(now);
    view.accept(address(1), news(1, vec![upstream("u", 1, 5)], false), now);
    view.accept(address(1), news(2, Vec::new(), false), now);
    assert_eq!(known(&mut view).len(), 1);
    view.expire(now + Duration::from_secs(30));
    assert!(known(&mut view).is_empty(), "it has not renewed since");
}

/// News of the control instance at `address`, which hears of `heard` and names two of each region.
fn answer(process: u64, heard: u32, upstreams: Vec<RegisteredUpstream>) -> FleetNews {
    let named = [(1, "west"), (11, "west"), (21, "east"), (31, "east")];
    FleetNews {
        controls: named.map(|(port, region)| control(port, region)).to_vec(),
        controls_heard: heard,
        ..news(process, upstreams, false)
    }
}

#[test]
fn control_of_the_region_is_asked_alone_while_it_answers_and_hears_of_most_others() {
    let start = Instant::now();
    let at = |millis: u64| start + Duration::from_millis(millis);
    let mut view = view(start);
    let all = [1, 11, 21, 31].map(address);
    let near = [1, 11].map(address);
    let follow =
        |view: &mut ViewState, now| -> Vec<_> { view.follow(false, now).into_iter().collect() };
    assert_eq!(follow(&mut view, start), near, "the seeds, of which nothing is known yet");
    view.accept(address(1), answer(1, 4, Vec::new()), at(10));
    assert_eq!(follow(&mut view, at(20)), near);
    assert_eq!(view.follow(true, at(20)).len(), 4, "all while the entry takes no callers");
    assert_eq!(follow(&mut view, at(1_000)), near);
    assert_eq!(follow(&mut view, at(1_400)), all, "none of the region answers");
    view.accept(address(11), answer(11, 4, Vec::new()), at(1_500));
    assert_eq!(follow(&mut view, at(1_500)), near);
    // One that is cut off from the others may not know what they know.
    view.accept(address(11), answer(11, 2, Vec::new()), at(1_600));
    assert_eq!(follow(&mut view, at(1_600)), all);
    view.accept(address(1), answer(1, 3, Vec::new()), at(1_700));
    assert_eq!(follow(&mut view, at(1_700)), near);
}

#[test]
fn an_upstream_that_left_does_not_come_back_by_what_was_known_of_it_elsewhere() {
    let now = Instant::now();
    let later = |seconds: u64| now + Duration::from_secs(seconds);
    let mut view = view(now);
    view.accept(address(21), answer(21, 4, vec![upstream("u", 5, 1)]), now);
    view.accept(address(1), answer(1, 4, vec![upstream("u", 5, 1)]), now);
    view.follow(true, now);
    view.follow(false, now);
    let gone = RegisteredUpstream { phase: UpstreamPhase::Gone, ..upstream("u", 5, 2) };
    view.accept(address(1), answer(1, 4, vec![gone]), later(5));
    assert_eq!(known(&mut view), []);
    // The instance of the region starts anew and knows nothing of it.
    view.accept(address(1), answer(2, 4, Vec::new()), later(70));
    view.expire(later(81));
    assert_eq!(known(&mut view), []);
    assert_eq!(view.cursor(address(21)), NewsCursor::default());
}

#[test]
fn summaries_of_other_regions_are_passed_on_while_they_are_fresh() {
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
fn an_evacuation_is_obeyed_in_the_order_of_its_versions() {
    let now = Instant::now();
    let mut view = view(now);
    view.accept(address(1), news(1, vec![upstream("u", 1, 5)], false), now);
    let order = |version, zones: &[&str]| FleetNews {
        cursor: NewsCursor { process: 1, change: 1 },
        evacuated: Some(EvacuatedZones {
            version,
            zones: zones.iter().map(|zone| ZoneName::from(*zone)).collect(),
        }),
        ..FleetNews::default()
    };
    view.accept(address(1), order(1, &["west-a"]), now);
    assert!(known(&mut view).is_empty());
    view.accept(address(1), order(2, &[]), now);
    view.accept(address(11), order(1, &["west-a"]), now);
    let made = view.make_view(&[], 1);
    let upstreams: Vec<_> = made.pools.values().flatten().collect();
    assert!(upstreams[0].unconfirmed, "it may have become cold meanwhile");
    let mut renewed = news(1, vec![upstream("u", 1, 6)], false);
    renewed.upstreams[0].evacuated = 2;
    view.accept(address(1), renewed, now);
    assert!(!view.make_view(&[], 1).pools.values().flatten().next().expect("known").unconfirmed);
}

#[test]
fn the_fleet_counts_as_large_as_it_ever_was() {
    let now = Instant::now();
    let mut view = view(now);
    let told = |names: &[&str], silent| FleetNews {
        cursor: NewsCursor { process: 1, change: 1 },
        entries: names
            .iter()
            .map(|name| EntryNews { entry: entry(name, "east-a"), silent })
            .collect(),
        ..FleetNews::default()
    };
    view.accept(address(1), told(&["a", "b", "c"], false), now);
    assert_eq!(view.make_view(&[], 1).fleet_entries, 4);
    view.accept(address(1), told(&["a", "b", "c"], true), now);
    let made = view.make_view(&[], 1);
    assert_eq!((made.fleet_entries, made.live.len(), made.entries.len()), (4, 1, 1));
}

#[test]
fn callers_are_told_of_entries_near_them() {
    let zones: BTreeMap<_, _> = [("west-a", "west"), ("west-b", "west"), ("east-a", "east")]
        .into_iter()
        .map(|(zone, region)| (ZoneName::from(zone), RegionName::from(region)))
        .collect();
    let at =
        |name, zone, port| EntryRecord { caller_address: Some(address(port)), ..entry(name, zone) };
    let mut entries = vec![at("a", "west-a", 1), at("b", "west-a", 2), at("c", "west-b", 3)];
    entries.push(at("d", "east-a", 4));
    let place = CallerPlace { region: None, zone: Some(ZoneName::from("west-a")) };
    let list = |entries: &[EntryRecord]| {
        let mut ports: Vec<_> =
            list_near(entries, &place, &zones).iter().map(SocketAddr::port).collect();
        ports.sort_unstable();
        ports
    };
    assert_eq!(list(&entries), [1, 2]);
    entries[0].state = EntryState::Draining;
    assert_eq!(list(&entries), [2, 3]);
    entries[2].state = EntryState::Starting;
    assert_eq!(list(&entries), [2, 4]);
}
