//! Graceful stops cut off no request, except after `stop_bound_ms` or a second signal.

mod common;
mod zone;

use cicadastall::http::client;
use cicadastall_standins::directory::DirectoryStandin;
use common::Process;
use hyper::{Method, StatusCode};
use serde_json::{Value, json};
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};
use zone::{Caller, Zone, ask, list, start_engine, wait_listed};

/// Number of callers that send requests without pause.
const CALLERS: usize = 12;

/// Timeout of the wait for a stopped entry to exit.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);

#[derive(Debug, Default)]
struct LoadReport {
    answered: u32,
    refusals: u32,
    failures: Vec<String>,
}

async fn load(entry: SocketAddr, stop: Arc<AtomicBool>) -> LoadReport {
    let mut caller = Caller::new(entry).await;
    let mut report = LoadReport::default();
    while !stop.load(Ordering::Relaxed) {
        match caller.ask().await {
            Ok(()) => report.answered += 1,
            Err(failure) => report.failures.push(failure),
        }
    }
    report.refusals = caller.refusals;
    report
}

/// Orders the entry to drain, through its operator port.
async fn order_drain(entry: &Process) {
    let answer: Value = cicadastall::http::call_json(
        &client(1),
        Method::POST,
        entry.address("operator"),
        "/v1/drain",
        None::<&Value>,
        Duration::from_secs(2),
    )
    .await
    .expect("a drain order is accepted");
    assert!(answer["in_flight"].is_u64());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn rolling_restart_under_load_fails_no_request() {
    let zone = Zone::start("rolling");
    let names = ["aqaba-1", "aqaba-2", "aqaba-3"];
    let mut entries: Vec<_> = names.iter().map(|name| zone.start_entry(name, &[])).collect();
    wait_listed(entries[0].address("caller"), 3).await;
    let first = entries[0].address("caller");
    let role = ["--tokens", "40", "--token-ms", "10"];
    let _engines = ["aqaba-m1", "aqaba-m2"].map(|name| start_engine(name, first, &[], &role));
    wait_served(&entries).await;

    let stop = Arc::new(AtomicBool::new(false));
    let mut callers = JoinSet::new();
    for _ in 0..CALLERS {
        callers.spawn(load(first, Arc::clone(&stop)));
    }
    sleep(Duration::from_secs(1)).await;
    for (index, name) in names.iter().enumerate() {
        match index {
            1 => order_drain(&entries[index]).await,
            _ => entries[index].signal("-TERM"),
        }
        let mut stopped = std::mem::replace(&mut entries[index], zone.start_entry(name, &[]));
        let (status, summary) = tokio::task::spawn_blocking(move || stopped.wait(STOP_TIMEOUT))
            .await
            .expect("a stopped entry");
        assert!(status.success(), "{name} ended with {status}");
        assert_eq!(summary["cut_off"], 0, "{name}: {summary}");
        println!("{name}: {summary}");
        wait_listed(entries[index].address("caller"), 3).await;
    }
    sleep(Duration::from_secs(1)).await;
    stop.store(true, Ordering::Relaxed);
    let reports = callers.join_all().await;
    let failures: Vec<_> = reports.iter().flat_map(|report| &report.failures).collect();
    let answered: u32 = reports.iter().map(|report| report.answered).sum();
    let refusals: u32 = reports.iter().map(|report| report.refusals).sum();
    println!("answered {answered}, refused and asked elsewhere {refusals}");
    assert!(failures.is_empty(), "{} failed requests: {failures:?}", failures.len());
    assert!(answered > 100);
}

async fn wait_served(entries: &[Process]) {
    let client = client(1);
    let deadline = Instant::now() + Duration::from_secs(10);
    for entry in entries {
        let address = entry.address("caller");
        while !ask(&client, address).await.is_ok_and(|answer| answer.status.is_success()) {
            assert!(Instant::now() < deadline, "an entry does not serve after 10 s");
            sleep(Duration::from_millis(50)).await;
        }
    }
}

#[tokio::test]
async fn long_stream_outlasts_the_stop_of_its_entry() {
    let zone = Zone::start("long-stream");
    let mut entry = zone.start_entry("aqaba-1", &[("stop_grace_ms", json!(500))]);
    let other = zone.start_entry("aqaba-2", &[]);
    let address = entry.address("caller");
    let role = ["--tokens", "300", "--token-ms", "10"];
    let _engine = start_engine("aqaba-m1", address, &[], &role);
    wait_listed(address, 2).await;
    wait_served(std::slice::from_ref(&entry)).await;

    let stream = tokio::spawn(async move { ask(&client(1), address).await });
    sleep(Duration::from_millis(300)).await;
    entry.signal("-TERM");
    sleep(Duration::from_millis(200)).await;
    let refused = ask(&client(1), address).await.expect("a refusal");
    assert_eq!(refused.status, StatusCode::SERVICE_UNAVAILABLE);
    assert!(refused.retry_after && refused.text.contains("\"ran\":\"no\""), "{refused:?}");
    assert_eq!(refused.alternative_entry, Some(other.address("caller")));
    let listing = list(&client(1), other.address("caller")).await.expect("a listing");
    assert!(listing.entries.iter().all(|row| row.address != address), "still listed");
    let answer = stream.await.expect("a task").expect("a whole stream");
    assert!(answer.text.ends_with("data: [DONE]\n\n"));
    assert_eq!(answer.text.matches("\"offset\"").count(), 300);
    let (status, summary) = entry.wait(STOP_TIMEOUT);
    assert!(status.success());
    assert_eq!((&summary["in_flight"], &summary["cut_off"]), (&json!(1), &json!(0)));
}

/// Stops an entry with a 30 s stream in flight; returns its exit code, summary and stop duration.
async fn cut_stream(name: &str, bound_ms: u64, twice: bool) -> (Option<i32>, Value, Duration) {
    let zone = Zone::start(name);
    let overrides = [("stop_grace_ms", json!(300)), ("stop_bound_ms", json!(bound_ms))];
    let mut entry = zone.start_entry("aqaba-1", &overrides);
    let address = entry.address("caller");
    let role = ["--tokens", "3000", "--token-ms", "10"];
    let _engine = start_engine("aqaba-m1", address, &[], &role);
    let client = client(1);
    let stream = tokio::spawn(async move {
        while !ask(&client, address).await.is_ok_and(|answer| answer.status.is_success()) {
            sleep(Duration::from_millis(50)).await;
        }
    });
    sleep(Duration::from_secs(3)).await;
    let start = Instant::now();
    entry.signal("-TERM");
    if twice {
        sleep(Duration::from_millis(500)).await;
        entry.signal("-TERM");
    }
    let (status, summary) = entry.wait(STOP_TIMEOUT);
    stream.abort();
    (status.code(), summary, start.elapsed())
}

#[tokio::test]
async fn second_signal_ends_the_stop_and_names_what_is_cut() {
    let (code, summary, time) = cut_stream("second-signal", 60_000, true).await;
    assert_eq!((code, &summary["cut_off"]), (Some(1), &json!(1)), "{summary}");
    assert!(time < Duration::from_secs(2), "took {time:?}");
}

#[tokio::test]
async fn bound_ends_the_stop_and_names_what_is_cut() {
    let (code, summary, time) = cut_stream("stop-bound", 1_000, false).await;
    assert_eq!((code, &summary["cut_off"]), (Some(1), &json!(1)), "{summary}");
    assert!(time < Duration::from_secs(3), "took {time:?}");
}

#[tokio::test]
async fn directory_follows_stops_within_its_rate() {
    let directory = DirectoryStandin::start("127.0.0.1:0".parse().expect("an address"))
        .await
        .expect("a directory");
    let zone = Zone::start("directory");
    let overrides = [("directory", json!(directory.address())), ("stop_grace_ms", json!(500))];
    let names = ["aqaba-1", "aqaba-2", "aqaba-3"];
    let mut entries: Vec<_> = names.iter().map(|name| zone.start_entry(name, &overrides)).collect();
    let mut stopped = Vec::new();
    while !entries.is_empty() {
        let mut expected: Vec<_> = entries.iter().map(|entry| entry.address("caller")).collect();
        expected.sort();
        let deadline = Instant::now() + Duration::from_secs(8);
        while directory.listed_addresses("aqaba-a") != expected {
            assert!(Instant::now() < deadline, "the directory does not list {expected:?}");
            sleep(Duration::from_millis(50)).await;
        }
        let stopping = entries.remove(0);
        stopping.signal("-TERM");
        stopped.push(stopping);
    }
    assert_eq!(directory.refused_changes(), 0, "the entries exceeded the directory's rate limit");
}
