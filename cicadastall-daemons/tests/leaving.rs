//! An upstream that leaves or is drained gets no new request after 3 s, even if an entry was frozen
//! in the meantime.

mod common;
mod zone;

use cicadastall::http::client;
use common::Process;
use hyper::Request;
use std::{
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
use zone::{Zone, ask, start_engine, wait_listed};

/// Time after which a leaving upstream must get no new request, in milliseconds.
const LEAVE_LIMIT_MS: u64 = 3_000;

/// Three entries of a zone under constant load, and two engines of which one leaves.
struct LoadedZone {
    entries: Vec<Process>,
    leaving_engine: Process,
    _remaining_engine: Process,
    stop: Arc<AtomicBool>,
    callers: JoinSet<u32>,
    _zone: Zone,
}

impl LoadedZone {
    async fn start(name: &str) -> Self {
        let zone = Zone::start(name);
        let names = ["aqaba-1", "aqaba-2", "aqaba-3"];
        let entries: Vec<_> = names.iter().map(|name| zone.start_entry(name, &[])).collect();
        let first = entries[0].address("caller");
        wait_listed(first, 3).await;
        let role = ["--tokens", "10"];
        let leaving_engine = start_engine("aqaba-m1", first, &["--linger-ms", "8000"], &role);
        let remaining_engine = start_engine("aqaba-m2", first, &[], &role);
        sleep(Duration::from_secs(3)).await;
        let stop = Arc::new(AtomicBool::new(false));
        let mut callers = JoinSet::new();
        for address in entries.iter().map(|entry| entry.address("caller")) {
            for _ in 0..3 {
                let stop = Arc::clone(&stop);
                callers.spawn(async move {
                    let client = client(1);
                    let mut answered = 0;
                    while !stop.load(Ordering::Relaxed) {
                        let answer = ask(&client, address).await;
                        answered += u32::from(answer.is_ok_and(|one| one.status.is_success()));
                    }
                    answered
                });
            }
        }
        sleep(Duration::from_secs(1)).await;
        Self {
            entries,
            leaving_engine,
            _remaining_engine: remaining_engine,
            stop,
            callers,
            _zone: zone,
        }
    }

    /// Waits until the leaving engine exits; returns how long after leaving its last new request arrived,
    /// in milliseconds.
    async fn finish(self) -> Option<u64> {
        let Self { mut leaving_engine, stop, callers, .. } = self;
        let waited =
            tokio::task::spawn_blocking(move || leaving_engine.wait(Duration::from_secs(15)));
        let (status, summary) = waited.await.expect("the upstream ends");
        stop.store(true, Ordering::Relaxed);
        let answered: u32 = callers.join_all().await.iter().sum();
        assert!(status.success() && answered > 100, "{status}, {answered} answered");
        summary["last_request_ms"].as_u64()
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leaving_upstream_gets_nothing_after_3_s() {
    let zone = LoadedZone::start("leaving").await;
    zone.leaving_engine.signal("-TERM");
    let last = zone.finish().await;
    println!("last new request after {last:?} ms");
    assert!(last.is_none_or(|last| last < LEAVE_LIMIT_MS), "a request after {last:?} ms");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn drained_upstream_gets_nothing_after_3_s() {
    let zone = LoadedZone::start("drained").await;
    let operator = zone.entries[2].address("operator");
    let order = Request::post(format!("http://{operator}/v1/upstreams/aqaba-m1/drain"))
        .body(Default::default())
        .expect("a request");
    let accepted = client(1).request(order).await.expect("an answer");
    assert!(accepted.status().is_success());
    let last = zone.finish().await;
    println!("last new request after {last:?} ms");
    assert!(last.is_none_or(|last| last < LEAVE_LIMIT_MS), "a request after {last:?} ms");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn frozen_entry_gives_a_leaving_upstream_nothing() {
    let zone = LoadedZone::start("frozen").await;
    let frozen = &zone.entries[1];
    frozen.signal("-STOP");
    sleep(Duration::from_millis(300)).await;
    let left = Instant::now();
    zone.leaving_engine.signal("-TERM");
    sleep(Duration::from_secs(5)).await;
    frozen.signal("-CONT");
    let woken_ms = left.elapsed().as_millis() as u64;
    let last = zone.finish().await;
    println!("woken after {woken_ms} ms, last new request after {last:?} ms");
    assert!(last.is_none_or(|last| last < LEAVE_LIMIT_MS), "a request after {last:?} ms");
}
