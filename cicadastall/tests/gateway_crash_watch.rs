//! What one entry refuses, tries and acquits of requests that crash upstreams, without network.

use cicadastall::{
    gateway::{
        decision::call::RequestTraits,
        knowledge::{
            fleet_update::{ControlRecord, FleetCursor, RegisteredUpstream, UpstreamPhase},
            registry::FleetRegistry,
            view::KnownUpstream,
        },
        request::{crash_watch::CrashWatch, metrics::GatewayMetrics},
    },
    name::{InstanceName, PoolName, RegionName, SoftwareVersion, ZoneName},
    suspect::{
        EPISODE_SPAN, RequestFingerprint, SUSPICION_LIFETIME, SuspectRecord, SuspectTable,
        UpstreamCrash,
    },
    table::{EntryRecord, EntryState, Incarnation},
};
use std::{collections::BTreeMap, sync::Arc, time::Duration};
use tokio::time::{Instant, advance, sleep};

fn fingerprint(text: &str) -> RequestFingerprint {
    RequestFingerprint::compute_shared(&[text.as_bytes()])
}

fn crash(number: u32) -> UpstreamCrash {
    UpstreamCrash { upstream: format!("engine-{number}").as_str().into(), incarnation: 1 }
}

/// Records of `names` as they are just after three crashes that all of them waited for.
async fn crashed(names: &[&str], contrasted: bool) -> Vec<SuspectRecord> {
    let mut table = SuspectTable::default();
    for number in 0..3 {
        advance(EPISODE_SPAN).await;
        for name in names {
            table.record_crash(fingerprint(name), crash(number), Instant::now());
        }
    }
    if contrasted {
        names.iter().for_each(|name| table.contrast(fingerprint(name)));
    }
    table.list(Instant::now())
}

fn watch() -> CrashWatch {
    CrashWatch::new(GatewayMetrics::new().crash_checks())
}

fn traits(names: &[&str]) -> RequestTraits {
    names.iter().map(|name| fingerprint(name)).collect()
}

fn entry(name: &str) -> EntryRecord {
    EntryRecord {
        instance: InstanceName::from(name),
        incarnation: Incarnation(1),
        region: RegionName::from("west"),
        zone: ZoneName::from("west-a"),
        caller_address: None,
        peer_address: ([127, 0, 0, 1], 1).into(),
        grant_address: None,
        state: EntryState::Serving,
        in_flight: 0,
    }
}

/// Whether `watch`, of the entry `entry-0` among `entries`, refuses a request with `names`.
fn refuses(watch: &CrashWatch, names: &[&str], entries: &[EntryRecord]) -> bool {
    watch.find_quarantine(&traits(names), &InstanceName::from("entry-0"), entries).is_some()
}

#[tokio::test(start_paused = true)]
async fn requests_with_part_of_a_quarantined_group_are_locked_out() {
    let watch = watch();
    let alone = [entry("entry-0")];
    watch.merge(crashed(&["common", "deadly"], true).await);
    assert!(watch.is_active());
    assert!(refuses(&watch, &["common", "deadly", "own"], &alone));
    assert!(!refuses(&watch, &["common", "own"], &alone));
    watch.note_began(&PoolName::from("pool"), &traits(&["common", "own"]));
    assert!(refuses(&watch, &["other", "deadly"], &alone), "only one trait is left to blame");
    assert!(!refuses(&watch, &["common", "own"], &alone));
    let (_, remaining) = watch
        .find_quarantine(&traits(&["deadly"]), &InstanceName::from("entry-0"), &alone)
        .expect("a quarantine");
    assert_eq!(remaining, SUSPICION_LIFETIME);
    advance(SUSPICION_LIFETIME).await;
    watch.expire();
    assert!(!refuses(&watch, &["deadly"], &alone));
    assert!(!watch.is_active());
}

/// Guards against an answer that acquits its request although it may still crash.
#[tokio::test(start_paused = true)]
async fn an_answer_that_has_only_begun_acquits_its_request() {
    let (watch, alone) = (watch(), [entry("entry-0")]);
    let mut table = SuspectTable::default();
    for number in 0..3 {
        advance(EPISODE_SPAN).await;
        for name in ["common", "deadly"] {
            let charged = fingerprint(name).until_whole();
            table.record_crash_until_whole(charged, crash(number), Instant::now());
        }
    }
    watch.merge(table.list(Instant::now()));
    watch.note_began(&PoolName::from("pool"), &traits(&["common", "deadly"]));
    assert!(refuses(&watch, &["common", "deadly"], &alone));
    assert!(!refuses(&watch, &["common"], &alone));
    watch.note_whole(&traits(&["common"]));
    assert!(refuses(&watch, &["deadly"], &alone), "only one trait is left to blame");
    assert!(!refuses(&watch, &["common"], &alone));
}

/// An upstream whose process has ended.
fn ended_upstream(number: u32) -> KnownUpstream {
    let closed = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = closed.local_addr().expect("an address");
    drop(closed);
    KnownUpstream {
        upstream: Arc::new(RegisteredUpstream {
            name: crash(number).upstream,
            started_ms: 1,
            sequence: 1,
            pool: PoolName::from("pool"),
            address,
            zone: ZoneName::from("west-a"),
            slots: 8,
            phase: UpstreamPhase::Serving,
            cold_ms: 0,
            software: SoftwareVersion::from("v1"),
        }),
        seen_at: Instant::now(),
        silent: false,
        cold_until: None,
        unconfirmed: false,
        condition: None,
    }
}

/// Guards against a crash after which all instances are told of every stream that was under way.
#[tokio::test]
async fn streams_under_way_at_a_single_crash_are_reported() {
    let watch = Arc::new(watch());
    let told = || watch.list_observed(0).1;
    for number in 0..2 {
        let streams: &[&str] = if number == 0 { &["once", "twice", "whole"] } else { &["twice"] };
        for name in streams {
            watch.note_broken(&ended_upstream(number), &traits(&[name]), true, || None);
        }
        sleep(Duration::from_secs(1)).await;
        assert_eq!(told().len(), number as usize, "{:?}", told());
    }
    assert_eq!(told()[0].fingerprint, fingerprint("twice").until_whole());
    assert_eq!(told()[0].crashes.len(), 2);
    // A whole answer ends the charge of a single crash.
    watch.note_whole(&traits(&["whole"]));
    watch.note_broken(&ended_upstream(2), &traits(&["whole"]), true, || None);
    sleep(Duration::from_secs(1)).await;
    assert_eq!(told().len(), 1);
}

#[tokio::test]
async fn sound_parts_are_blamed_by_an_entry_that_never_saw_the_deadly_one() {
    let watch = Arc::new(watch());
    let known = ended_upstream(0);
    watch.note_broken(&known, &traits(&["common", "other"]), false, || None);
    sleep(Duration::from_secs(1)).await;
    let now = Instant::now();
    let mut table = SuspectTable::default();
    assert!(table.merge(watch.list_observed(0).1, now), "the upstream is seen as crashed");
    for name in ["deadly", "common", "other"] {
        table.record_crash(fingerprint(name), crash(0), now);
        table.record_crash(fingerprint(name), crash(1), now - EPISODE_SPAN * 4);
        table.record_crash(fingerprint(name), crash(2), now - EPISODE_SPAN * 6);
    }
    watch.merge(table.list(now));
    let alone = [entry("entry-0")];
    assert!(refuses(&watch, &["deadly", "common", "other"], &alone));
    assert!(!refuses(&watch, &["common", "other"], &alone));
}

#[tokio::test(start_paused = true)]
async fn a_trait_quarantined_by_chance_stays_locked_out_without_a_trial() {
    for (contrasted, first) in [(true, Duration::from_secs(60)), (false, Duration::from_secs(5))] {
        let watch = watch();
        let alone = [entry("entry-0")];
        watch.merge(crashed(&["unlucky"], contrasted).await);
        let mut trials = Vec::new();
        for second in 1..1_000 {
            advance(Duration::from_secs(1)).await;
            if !refuses(&watch, &["unlucky"], &alone) {
                trials.push(Duration::from_secs(second));
            }
        }
        assert_eq!(trials, [first, first * 4], "two trials at most, as each may cost an upstream");
        watch.note_began(&PoolName::from("pool"), &traits(&["unlucky"]));
        assert!(!refuses(&watch, &["unlucky"], &alone));
    }
}

#[tokio::test(start_paused = true)]
async fn whoever_crashes_upstreams_locks_out_the_callers_of_a_part_in_use() {
    let watch = watch();
    let alone = [entry("entry-0")];
    watch.merge(crashed(&["victim"], true).await);
    watch.note_began(&PoolName::from("pool"), &traits(&["victim"]));
    let (_, acquittal) = watch.list_observed(0);
    // The same again, charged after the acquittal.
    let mut table = SuspectTable::default();
    table.merge(acquittal, Instant::now());
    for number in 10..13 {
        advance(EPISODE_SPAN).await;
        table.record_crash(fingerprint("victim"), crash(number), Instant::now());
    }
    table.contrast(fingerprint("victim"));
    watch.merge(table.list(Instant::now()));
    assert!(refuses(&watch, &["victim"], &alone));
    advance(Duration::from_secs(5)).await;
    assert!(!refuses(&watch, &["victim"], &alone), "a trial");
    watch.note_began(&PoolName::from("pool"), &traits(&["victim"]));
    assert!(!refuses(&watch, &["victim"], &alone));
}

#[tokio::test(start_paused = true)]
async fn every_entry_makes_the_trials_of_a_quarantine() {
    let fleet: Vec<_> = (0..50).map(|number| entry(&format!("entry-{number}"))).collect();
    let records = crashed(&["unlucky"], true).await;
    let watches: Vec<_> = fleet.iter().map(|_| watch()).collect();
    watches.iter().for_each(|watch| watch.merge(records.clone()));
    advance(Duration::from_secs(100)).await;
    let tried = fleet.iter().zip(&watches).filter(|(entry, watch)| {
        watch.find_quarantine(&traits(&["unlucky"]), &entry.instance, &fleet).is_none()
    });
    assert_eq!(tried.count(), 1);
}

#[tokio::test(start_paused = true)]
async fn an_entry_reports_again_what_it_received() {
    let (watch, other) = (watch(), watch());
    watch.merge(crashed(&["deadly", "common"], true).await);
    assert!(watch.list_observed(0).1.is_empty());
    watch.note_began(&PoolName::from("pool"), &traits(&["common"]));
    let (change, observed) = watch.list_observed(0);
    assert_eq!(observed.len(), 1, "only the acquittal is its own");
    assert!(watch.list_observed(change).1.is_empty());
    other.merge(observed);
    assert!(!refuses(&other, &["common"], &[]));
}

fn registry(process: u64) -> FleetRegistry {
    let own = ControlRecord {
        peer_address: ([127, 0, 0, 1], process as u16).into(),
        registry_address: ([127, 0, 0, 1], 2).into(),
        region: RegionName::from("west"),
        zone: ZoneName::from("west-a"),
    };
    let zones = BTreeMap::from([(ZoneName::from("west-a"), RegionName::from("west"))]);
    FleetRegistry::new(own, process, zones, Duration::from_secs(1))
}

#[tokio::test(start_paused = true)]
async fn control_sends_each_reader_what_it_lacks_of_the_suspects() {
    let (mut first, mut second) = (registry(1), registry(2));
    let start = first.cursor();
    first.merge_suspects(crashed(&["a"], false).await, Instant::now());
    let after_a = first.cursor();
    assert!(first.has_changes(start));
    first.merge_suspects(crashed(&["b"], false).await, Instant::now());
    assert_eq!(first.changed_suspects(start, Instant::now()).len(), 2);
    let rest = first.changed_suspects(after_a, Instant::now());
    assert_eq!(
        rest.iter().map(|record| record.fingerprint).collect::<Vec<_>>(),
        [fingerprint("b")]
    );
    assert!(first.changed_suspects(first.cursor(), Instant::now()).is_empty());
    let unknown = FleetCursor::default();
    assert_eq!(
        first.changed_suspects(unknown, Instant::now()).len(),
        2,
        "a reader of another process"
    );
    second.merge_suspects(first.changed_suspects(unknown, Instant::now()), Instant::now());
    let cursor = second.cursor();
    second.merge_suspects(first.changed_suspects(unknown, Instant::now()), Instant::now());
    assert!(!second.has_changes(cursor), "the same again wakes nobody");
    for number in 0..300 {
        let name = format!("c{number}");
        first.merge_suspects(crashed(&[&name], false).await, Instant::now());
    }
    assert_eq!(first.changed_suspects(after_a, Instant::now()).len(), 302, "a reader far behind");
}
