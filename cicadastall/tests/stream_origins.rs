//! Knowledge of the software version that began a stream: bounds, spread and lookups.

mod gateway;

use bytes::Bytes;
use cicadastall::{
    gateway::{
        control::MAX_ORIGINS,
        knowledge::{
            fleet_update::{
                ControlRecord, FleetCursor, FleetQuery, FleetReader, RegisteredUpstream,
                UpstreamPhase, UpstreamUpdate,
            },
            origin_table::OriginTable,
            registry::{CONTROL_TIMEOUT, FleetRegistry},
            software_history::{HISTORY_LIFETIME, ServedSoftware, SoftwareHistory},
            stream_origins::{
                MAX_BATCH_RECORDS, ORIGIN_LIFETIME, OriginBatch, OriginGroup, OriginKey,
                OriginReply, StreamOrigin,
            },
        },
        request::origin_finder::ReplyCollector,
    },
    name::{AttemptId, InstanceName, PoolName, RegionName, SoftwareVersion, ZoneName},
    peer::{PeerApiClient, PeerClients},
    table::{EntryRecord, EntryState, Incarnation},
};
use futures::{SinkExt, StreamExt};
use gateway::{TestFleet, WAIT_TIMEOUT, ZONES, describe_at};
use hyper::Method;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::json;
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::{
    net::TcpListener,
    time::{Instant, advance, sleep, sleep_until},
};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Requests in the whole fleet.
const FLEET_RATE: u64 = 2_200;

const TICK: Duration = Duration::from_millis(100);

/// Longest time for a record to reach all control instances of a small fleet.
const SPREAD_TIME: Duration = Duration::from_secs(2);

const BOTH_ZONES: [&str; 2] = ["west-a", "east-a"];

fn origin(software: &str) -> StreamOrigin {
    StreamOrigin { pool: PoolName::from("service"), software: SoftwareVersion::from(software) }
}

fn attempt(number: u64) -> AttemptId {
    AttemptId::from(format!("{number:016x}").as_str())
}

fn key(number: u64) -> OriginKey {
    OriginKey::from(&attempt(number))
}

fn batch(numbers: impl Iterator<Item = u64>, software: &str, forwarded: bool) -> OriginBatch {
    let streams = numbers.map(|number| (key(number), 20)).collect();
    OriginBatch { forwarded, groups: vec![OriginGroup { origin: Some(origin(software)), streams }] }
}

fn receiver(port: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 2], port))
}

/// Receives all batches that are pending for a receiver; returns their sizes.
fn drain(table: &mut OriginTable, to: SocketAddr, process: u64, complete: bool) -> Vec<usize> {
    let mut sizes = Vec::new();
    while let Some((batch, change)) = table.next_batch(to, complete, Instant::now()) {
        sizes.push(batch.len());
        table.confirm(to, process, change);
    }
    sizes
}

#[tokio::test(start_paused = true)]
async fn records_of_2200_streams_a_second_stay_bounded_and_expire() {
    let mut table = OriginTable::new(MAX_ORIGINS);
    let per_tick = FLEET_RATE / 10;
    for tick in 0..3_000 {
        table.merge(
            batch(tick * per_tick..(tick + 1) * per_tick, "v1", tick % 2 == 0),
            Instant::now(),
        );
        advance(TICK).await;
        assert!(table.len() as u64 <= FLEET_RATE * (ORIGIN_LIFETIME.as_secs() + 1));
    }
    assert!(table.len() as u64 >= FLEET_RATE * (ORIGIN_LIFETIME.as_secs() - 1));
    let newest = key(3_000 * per_tick - 1);
    assert_eq!(table.find(newest, Instant::now()), Some(Some(&origin("v1"))));
    advance(ORIGIN_LIFETIME).await;
    assert_eq!(table.find(newest, Instant::now()), None);
    table.expire(Instant::now());
    assert!(table.is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_flood_of_records_does_not_exceed_the_capacity() {
    let mut table = OriginTable::new(MAX_ORIGINS);
    let flood = MAX_ORIGINS as u64 + 10_000;
    for first in (0..flood).step_by(10_000) {
        table.merge(batch(first..first + 10_000, "v1", false), Instant::now());
        assert!(table.len() <= MAX_ORIGINS);
    }
    assert_eq!(table.find(key(0), Instant::now()), None);
    assert!(table.find(key(flood - 1), Instant::now()).is_some());
}

#[tokio::test(start_paused = true)]
async fn messages_are_bounded_and_bring_every_record() {
    let mut table = OriginTable::new(MAX_ORIGINS);
    let count = FLEET_RATE * ORIGIN_LIFETIME.as_secs();
    table.merge(batch(0..count, "v1", false), Instant::now());
    let (first, _) = table.next_batch(receiver(1), false, Instant::now()).expect("a batch");
    let bytes = serde_json::to_vec(&first).expect("json").len();
    assert!(bytes <= 40 * 1_024, "{bytes} bytes");
    let sizes = drain(&mut table, receiver(1), 7, false);
    assert!(sizes.iter().all(|size| *size <= MAX_BATCH_RECORDS));
    assert_eq!(sizes.iter().sum::<usize>() as u64, count);
    assert!(!table.has_next(receiver(1)));
}

#[tokio::test(start_paused = true)]
async fn unconfirmed_records_are_sent_again_and_confirmed_ones_only_to_a_new_process() {
    let mut table = OriginTable::new(MAX_ORIGINS);
    table.merge(batch(0..10, "v1", false), Instant::now());
    table.merge(batch(10..30, "v2", true), Instant::now());
    let sent = table.next_batch(receiver(1), false, Instant::now());
    assert_eq!(sent, table.next_batch(receiver(1), false, Instant::now()));
    assert_eq!(drain(&mut table, receiver(1), 7, false), [10]);
    assert!(drain(&mut table, receiver(1), 7, false).is_empty());
    table.note_process(receiver(1), 8);
    assert!(table.has_next(receiver(1)));
    assert_eq!(drain(&mut table, receiver(1), 8, false), [10]);
    table.note_process(receiver(1), 9);
    assert_eq!(drain(&mut table, receiver(1), 9, true), [30]);
    table.merge(batch(30..35, "v2", true), Instant::now());
    assert!(drain(&mut table, receiver(1), 9, true).is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_stream_recorded_with_two_versions_has_no_known_origin() {
    let mut table = OriginTable::new(MAX_ORIGINS);
    table.record(key(1), &origin("v1"), Instant::now());
    table.record(key(1), &origin("v2"), Instant::now());
    assert_eq!(table.find(key(1), Instant::now()), Some(None));
    table.record(key(1), &origin("v2"), Instant::now());
    assert_eq!(table.find(key(1), Instant::now()), Some(None));
    let (batch, _) = table.next_batch(receiver(1), false, Instant::now()).expect("a batch");
    let mut other = OriginTable::new(MAX_ORIGINS);
    other.record(key(1), &origin("v1"), Instant::now());
    other.merge(batch, Instant::now());
    assert_eq!(other.find(key(1), Instant::now()), Some(None));
}

#[tokio::test(start_paused = true)]
async fn a_stream_that_is_resumed_stays_recorded() {
    let mut table = OriginTable::new(MAX_ORIGINS);
    for _ in 0..5 {
        table.record(key(1), &origin("v1"), Instant::now());
        table.record(key(2), &origin("v1"), Instant::now());
        advance(ORIGIN_LIFETIME * 2 / 3).await;
        assert_eq!(table.find(key(1), Instant::now()), Some(Some(&origin("v1"))));
    }
    assert_eq!(table.len(), 2);
}

fn v1() -> SoftwareVersion {
    SoftwareVersion::from("v1")
}

#[tokio::test(start_paused = true)]
async fn a_version_is_the_only_one_only_after_a_complete_history() {
    let pool = PoolName::from("service");
    let mut history = SoftwareHistory::new(Instant::now());
    history.note(&pool, &v1(), Instant::now());
    assert_eq!(history.served(&pool, Instant::now()), ServedSoftware::Unknown);
    assert_eq!(history.report(Instant::now()), None);
    advance(HISTORY_LIFETIME).await;
    history.note(&pool, &v1(), Instant::now());
    assert_eq!(history.served(&pool, Instant::now()), ServedSoftware::Sole(v1()));
    let report = history.report(Instant::now()).expect("a complete history");
    let mut restarted = SoftwareHistory::new(Instant::now());
    restarted.merge(&report, Instant::now());
    assert_eq!(restarted.served(&pool, Instant::now()), ServedSoftware::Sole(v1()));
    restarted.interrupt(Instant::now());
    assert_eq!(restarted.served(&pool, Instant::now()), ServedSoftware::Unknown);
}

#[tokio::test(start_paused = true)]
async fn a_version_that_has_left_counts_for_the_lifetime_of_a_record() {
    let pool = PoolName::from("service");
    let v2 = SoftwareVersion::from("v2");
    let mut history = SoftwareHistory::new(Instant::now());
    advance(HISTORY_LIFETIME).await;
    history.note(&pool, &v1(), Instant::now());
    let left_at = Instant::now();
    while left_at.elapsed() < ORIGIN_LIFETIME {
        history.note(&pool, &v2, Instant::now());
        history.expire(Instant::now());
        assert_eq!(history.served(&pool, Instant::now()), ServedSoftware::Several);
        advance(TICK * 10).await;
    }
    advance(HISTORY_LIFETIME - ORIGIN_LIFETIME).await;
    history.note(&pool, &v2, Instant::now());
    assert_eq!(history.served(&pool, Instant::now()), ServedSoftware::Sole(v2));
}

fn control(port: u16) -> ControlRecord {
    ControlRecord {
        peer_address: receiver(port),
        registry_address: receiver(port + 1_000),
        region: RegionName::from("west"),
        zone: ZoneName::from("west-a"),
    }
}

fn registry() -> FleetRegistry {
    let zones = ZONES.map(|(zone, region)| (ZoneName::from(zone), RegionName::from(region)));
    FleetRegistry::new(control(1), 1, zones.into_iter().collect(), Duration::from_secs(5))
}

fn upstream(name: &str, port: u16, sequence: u64, software: &str) -> RegisteredUpstream {
    RegisteredUpstream {
        software: SoftwareVersion::from(software),
        ..describe_at(name, receiver(port), "west-a", 1, sequence)
    }
}

#[tokio::test(start_paused = true)]
async fn an_upstream_that_left_right_after_it_registered_elsewhere_counts_as_a_second_version() {
    let pool = PoolName::from("service");
    let mut registry = registry();
    let end = Instant::now() + HISTORY_LIFETIME;
    let mut sequence = 0;
    while Instant::now() < end {
        sequence += 1;
        registry.renew(upstream("new", 90, sequence, "v2"), Instant::now());
        registry.expire(Instant::now());
        advance(Duration::from_secs(1)).await;
    }
    let served = registry.history().served(&pool, Instant::now());
    assert_eq!(served, ServedSoftware::Sole(SoftwareVersion::from("v2")));
    let gone = RegisteredUpstream { phase: UpstreamPhase::Gone, ..upstream("old", 91, 3, "v1") };
    let update = UpstreamUpdate {
        upstream: Arc::new(gone),
        age_ms: 200,
        silent: false,
        evacuated: 0,
        departed: false,
        condition: None,
        speed: None,
    };
    registry.merge(receiver(2), vec![update], Vec::new(), Instant::now());
    assert_eq!(registry.history().served(&pool, Instant::now()), ServedSoftware::Several);
}

#[tokio::test(start_paused = true)]
async fn a_control_instance_that_hears_few_others_has_no_majority() {
    let limit = Duration::from_millis(1_500);
    let mut registry = registry();
    assert!(registry.hears_majority(1, limit, Instant::now()));
    assert!(!registry.hears_majority(3, limit, Instant::now()));
    registry.report_control(control(2), Instant::now());
    registry.report_control(control(3), Instant::now());
    assert!(registry.hears_majority(1, limit, Instant::now()));
    advance(limit).await;
    assert!(!registry.hears_majority(1, limit, Instant::now()));
    advance(CONTROL_TIMEOUT).await;
    registry.expire(Instant::now());
    assert!(!registry.hears_majority(1, CONTROL_TIMEOUT, Instant::now()));
}

#[test]
fn the_only_version_counts_only_if_no_reply_contradicts_it() {
    let collect = |replies: &[OriginReply]| {
        let mut collector = ReplyCollector::default();
        let recorded = replies.iter().find_map(|reply| collector.add(reply.clone()));
        (recorded, collector.into_sole())
    };
    let sole = |software| OriginReply::Sole(origin(software));
    let unknown = OriginReply::Unknown;
    assert_eq!(collect(&[]), (None, None));
    assert_eq!(collect(std::slice::from_ref(&unknown)), (None, None));
    assert_eq!(collect(&[sole("v1"), unknown.clone()]), (None, Some(origin("v1"))));
    assert_eq!(collect(&[sole("v1"), OriginReply::Several]), (None, None));
    assert_eq!(collect(&[OriginReply::Several, sole("v1")]), (None, None));
    assert_eq!(collect(&[sole("v1"), sole("v2"), sole("v2")]), (None, None));
    let recorded = OriginReply::Recorded(origin("v2"));
    assert_eq!(collect(&[sole("v1"), recorded]).0, Some(origin("v2")));
}

fn pools() -> [PoolName; 1] {
    [PoolName::from("service")]
}

/// A fleet whose entries record and find origins.
struct OriginFleet {
    fleet: TestFleet,
    started: usize,
}

impl OriginFleet {
    /// Starts `controls` control instances and an entry in each zone, without a document, so that no
    /// entry accepts callers.
    async fn start(name: &str, controls: usize) -> Self {
        Self { fleet: TestFleet::start(name, controls, &BOTH_ZONES).await, started: 0 }
    }

    fn record(&self, entry: usize, number: u64, software: &str) {
        let server = self.fleet.entries[entry].server.as_ref().expect("a running entry");
        server.context().record_origin(&attempt(number), &origin(software));
    }

    async fn find(&self, entry: usize, number: u64) -> Option<StreamOrigin> {
        let server = self.fleet.entries[entry].server.as_ref().expect("a running entry");
        server.context().find_origin(&attempt(number), &pools()).await
    }

    /// Replaces all entries at the same time by new processes.
    async fn restart_entries(&mut self) {
        self.fleet.entries.clear();
        self.started += 1;
        for zone in BOTH_ZONES {
            self.fleet.add_entry(&format!("{zone}-{}", self.started), zone).await;
        }
    }

    async fn count_origins(&self, control: usize) -> u64 {
        let request = gateway::CallerRequest {
            method: Method::GET,
            path: "/v1/status".to_owned(),
            headers: Vec::new(),
            body: Default::default(),
        };
        let answer = request.send(self.fleet.controls[control].node.status_listen).await;
        let status: serde_json::Value = serde_json::from_slice(&answer.body).expect("json");
        status["origins"].as_u64().expect("a count")
    }

    async fn wait_origins(&self, control: usize, count: u64) {
        let end = Instant::now() + WAIT_TIMEOUT;
        while self.count_origins(control).await < count {
            assert!(Instant::now() < end, "control {control} has not {count} records");
            sleep(Duration::from_millis(20)).await;
        }
    }
}

#[tokio::test]
async fn a_stream_is_found_by_all_entries_after_every_entry_was_killed() {
    let mut fleet = OriginFleet::start("origins-killed", 3).await;
    fleet.record(0, 1, "v1");
    fleet.record(1, 2, "v2");
    sleep(SPREAD_TIME).await;
    fleet.restart_entries().await;
    for entry in 0..2 {
        assert_eq!(fleet.find(entry, 1).await, Some(origin("v1")));
        assert_eq!(fleet.find(entry, 2).await, Some(origin("v2")));
        assert_eq!(fleet.find(entry, 3).await, None);
    }
}

#[tokio::test]
async fn a_restarted_control_instance_gets_the_records_of_entries_that_are_gone() {
    let mut fleet = OriginFleet::start("origins-restart", 3).await;
    for number in 0..50 {
        fleet.record(0, number, "v1");
    }
    for control in 0..3 {
        fleet.wait_origins(control, 50).await;
    }
    fleet.restart_entries().await;
    for control in 0..3 {
        fleet.fleet.kill_control(control).await;
        fleet.fleet.start_control(control).await;
        fleet.wait_origins(control, 50).await;
    }
    assert_eq!(fleet.find(0, 49).await, Some(origin("v1")));
    assert_eq!(fleet.find(1, 0).await, Some(origin("v1")));
}

#[tokio::test]
async fn entries_send_their_records_again_after_all_control_instances_were_restarted() {
    let mut fleet = OriginFleet::start("origins-controls", 3).await;
    fleet.record(0, 1, "v1");
    sleep(SPREAD_TIME).await;
    for control in 0..3 {
        fleet.fleet.kill_control(control).await;
    }
    for control in 0..3 {
        fleet.fleet.start_control(control).await;
    }
    for control in 0..3 {
        fleet.wait_origins(control, 1).await;
    }
    fleet.restart_entries().await;
    assert_eq!(fleet.find(1, 1).await, Some(origin("v1")));
}

#[tokio::test]
async fn a_stream_is_found_while_the_control_instance_of_its_region_is_gone() {
    let mut fleet = OriginFleet::start("origins-cut", 3).await;
    fleet.record(1, 1, "v1");
    sleep(SPREAD_TIME).await;
    fleet.fleet.kill_control(1).await;
    fleet.record(1, 2, "v2");
    sleep(SPREAD_TIME * 2).await;
    fleet.restart_entries().await;
    for entry in 0..2 {
        assert_eq!(fleet.find(entry, 1).await, Some(origin("v1")));
        assert_eq!(fleet.find(entry, 2).await, Some(origin("v2")));
    }
}

#[tokio::test]
async fn a_control_instance_that_accepts_connections_but_never_answers_delays_no_found_stream() {
    let mut fleet = OriginFleet::start("origins-mute", 3).await;
    fleet.record(0, 1, "v1");
    sleep(SPREAD_TIME).await;
    let mute = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    fleet.restart_entries().await;
    let server = fleet.fleet.entries[0].server.as_ref().expect("a running entry");
    let mut seeds = fleet.fleet.entries[0].node.seeds.clone();
    seeds.push(mute.local_addr().expect("address"));
    server.set_seeds(&seeds);
    sleep(SPREAD_TIME / 2).await;
    let started = Instant::now();
    assert_eq!(fleet.find(0, 1).await, Some(origin("v1")));
    assert!(started.elapsed() < Duration::from_millis(200), "{:?}", started.elapsed());
    let started = Instant::now();
    assert_eq!(fleet.find(0, 2).await, None);
    assert!(started.elapsed() < Duration::from_millis(1_000), "{:?}", started.elapsed());
}

#[tokio::test]
async fn nothing_is_claimed_after_every_process_was_restarted() {
    let mut fleet = OriginFleet::start("origins-all", 3).await;
    fleet.record(0, 1, "v1");
    sleep(SPREAD_TIME).await;
    fleet.fleet.entries.clear();
    for control in 0..3 {
        fleet.fleet.kill_control(control).await;
    }
    for control in 0..3 {
        fleet.fleet.start_control(control).await;
    }
    fleet.restart_entries().await;
    let registered = [("old", 9_001, "v1"), ("new", 9_002, "v2")];
    for (name, port, software) in registered {
        let upstream = upstream(name, port, 1, software);
        let answer = fleet.fleet.renew(0, &upstream).await;
        assert!(answer.status.is_success(), "{}", answer.text());
    }
    sleep(SPREAD_TIME).await;
    for entry in 0..2 {
        assert_eq!(fleet.find(entry, 1).await, None);
    }
}

fn entry_query(cursor: FleetCursor, wait_ms: u32) -> FleetQuery {
    let entry = EntryRecord {
        instance: InstanceName::from("reader"),
        incarnation: Incarnation(1),
        region: RegionName::from("west"),
        zone: ZoneName::from("west-a"),
        caller_address: None,
        peer_address: receiver(1),
        grant_address: None,
        state: EntryState::Serving,
        in_flight: 0,
    };
    FleetQuery {
        reader: FleetReader::Entry(entry),
        cursor,
        document: 0,
        number_only: false,
        evacuated: 0,
        wait_ms,
        confirm: false,
        work: Vec::new(),
        demand: Vec::new(),
        departed: Vec::new(),
        conditions: Vec::new(),
        unreached: Default::default(),
        capacity: None,
        speeds: Vec::new(),
        suspects: Vec::new(),
        suspects_until_whole: Vec::new(),
        asks_history: false,
    }
}

#[tokio::test]
async fn records_spread_between_control_instances_without_waking_the_polls_of_entries() {
    const WAIT_MS: u32 = 600;
    let fleet = OriginFleet::start("origins-polls", 3).await;
    let clients = PeerClients::new(None);
    let address = fleet.fleet.controls[0].node.peer_listen;
    let poll = async |cursor: FleetCursor| {
        let query = entry_query(cursor, WAIT_MS);
        let call =
            async move |client: PeerApiClient, context| client.fleet_news(context, query).await;
        let started = Instant::now();
        let update = clients.call(address, WAIT_TIMEOUT, call).await.expect("an update");
        (update.cursor, started.elapsed())
    };
    let whole_wait = Duration::from_millis(u64::from(WAIT_MS));
    let mut cursor = FleetCursor::default();
    let end = Instant::now() + WAIT_TIMEOUT;
    loop {
        let (next, took) = poll(cursor).await;
        cursor = next;
        if took >= whole_wait {
            break;
        }
        assert!(Instant::now() < end, "the fleet does not settle");
    }
    let before = fleet.count_origins(0).await;
    for number in 0..20 {
        fleet.record((number % 2) as usize, number, "v1");
    }
    let (next, took) = poll(cursor).await;
    assert!(took >= whole_wait, "woken after {took:?}");
    assert_eq!(next, cursor);
    for control in 0..3 {
        fleet.wait_origins(control, before + 20).await;
    }
}

/// Bytes of the calls that send records to a stub of a control instance, and of its replies.
#[derive(Debug, Default)]
struct CallBytes {
    calls: AtomicU64,
    sent: AtomicU64,
    received: AtomicU64,
}

/// Confirms records like a control instance, and answers no other call.
async fn serve_stub(listener: TcpListener, bytes: Arc<CallBytes>) {
    loop {
        let (stream, _) = listener.accept().await.expect("a connection");
        let bytes = Arc::clone(&bytes);
        tokio::spawn(async move {
            let mut frames = Framed::new(stream, LengthDelimitedCodec::new());
            while let Some(Ok(frame)) = frames.next().await {
                let call: serde_json::Value = serde_json::from_slice(&frame).expect("json");
                let request = &call["Request"];
                if request["message"]["RecordOrigins"].is_null() {
                    continue;
                }
                let id = &request["id"];
                let reply = json!({"request_id": id, "message": {"Ok": {"RecordOrigins": 7}}});
                let reply = Bytes::from(serde_json::to_vec(&reply).expect("json"));
                bytes.calls.fetch_add(1, Ordering::Relaxed);
                bytes.sent.fetch_add(frame.len() as u64 + 4, Ordering::Relaxed);
                bytes.received.fetch_add(reply.len() as u64 + 4, Ordering::Relaxed);
                frames.send(reply).await.expect("sent");
            }
        });
    }
}

#[tokio::test]
async fn records_of_one_of_400_entries_fit_into_its_budget_for_control() {
    const BUDGET: u64 = 4_096;
    const ENTRIES: f64 = 400.0;
    const SECONDS: f64 = 8.0;
    let mut fleet = TestFleet::start("origins-bytes", 0, &BOTH_ZONES[..1]).await;
    let bytes = Arc::new(CallBytes::default());
    let mut seeds = Vec::new();
    for _ in 0..2 {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        seeds.push(listener.local_addr().expect("address"));
        tokio::spawn(serve_stub(listener, Arc::clone(&bytes)));
    }
    let server = fleet.entries[0].server.take().expect("a running entry");
    server.set_seeds(&seeds);
    sleep(SPREAD_TIME / 2).await;
    let mut rng = ChaCha8Rng::seed_from_u64(29);
    let end = Instant::now() + Duration::from_secs_f64(SECONDS);
    let mut at = Instant::now();
    let mut number = 0;
    while at < end {
        sleep_until(at).await;
        number += 1;
        server.context().record_origin(&attempt(number), &origin("v1.2"));
        let gap = -(1.0 - rng.random::<f64>()).ln() * ENTRIES / FLEET_RATE as f64;
        at += Duration::from_secs_f64(gap);
    }
    let per_second = |count: &AtomicU64| count.load(Ordering::Relaxed) as f64 / SECONDS;
    let sent = per_second(&bytes.sent);
    println!(
        "{number} records: {:.1} calls/s, {sent:.0} bytes/s sent, {:.0} bytes/s received",
        per_second(&bytes.calls),
        per_second(&bytes.received)
    );
    assert!(sent < BUDGET as f64, "{sent} bytes/s");
}
