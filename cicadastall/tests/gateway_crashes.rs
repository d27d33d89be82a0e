//! Requests that end the process of each upstream that begins to answer them.

mod gateway;

use gateway::{
    CallerAnswer, CallerRequest, TestFleet,
    crashing::{CrashingUpstream, DEADLY_TEXT},
    document,
};
use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};
use tokio::time::{Instant, sleep};

/// First part of all prompts; not deadly.
const COMMON_PART: &str = "c0";

/// Pause between two requests.
const REQUEST_PAUSE: Duration = Duration::from_millis(40);

/// Time in which what one entry knows is known to all.
const SPREAD_TIME: Duration = Duration::from_millis(2_500);

static OWN_PARTS: AtomicU64 = AtomicU64::new(0x1000);

/// A request whose prompt has `shared` parts and one of its own.
fn prompt(path: &str, shared: &[&str]) -> CallerRequest {
    let own = OWN_PARTS.fetch_add(1, Ordering::Relaxed);
    let parts: Vec<_> = shared.iter().map(|part| format!("{part}:100")).collect();
    let parts = format!("{},{own:x}:50", parts.join(","));
    let request = CallerRequest::post(path).header("x-cicadastall-prompt-parts", &parts);
    CallerRequest { body: own.to_string().into(), ..request }
}

fn sound() -> CallerRequest {
    prompt("/stream/1", &[COMMON_PART])
}

fn deadly() -> CallerRequest {
    prompt("/stream/1", &[COMMON_PART, DEADLY_TEXT])
}

/// A fleet with an entry in each of `zones` and `per_zone` crashing upstreams in each zone.
async fn start_fleet(
    name: &str,
    zones: &[&'static str],
    per_zone: usize,
) -> (TestFleet, Vec<CrashingUpstream>) {
    let fleet = TestFleet::ready(name, document(1), zones).await;
    let mut upstreams = Vec::new();
    for (index, zone) in zones.iter().copied().enumerate() {
        for _ in 0..per_zone {
            let down = Duration::from_millis(600);
            let upstream = CrashingUpstream::start(fleet.registry(0), zone, down);
            fleet.wait_known(index, &upstream.name, true).await;
            upstreams.push(upstream);
        }
    }
    (fleet, upstreams)
}

fn crashes(upstreams: &[CrashingUpstream]) -> usize {
    upstreams.iter().map(CrashingUpstream::crashes).sum()
}

fn received(upstreams: &[CrashingUpstream], text: &str, since: Instant) -> usize {
    upstreams.iter().map(|upstream| upstream.received(text, since)).sum()
}

/// Sends what `make` returns to all entries in turn, beside sound requests, until upstreams have
/// crashed `count` times or have not crashed for two seconds.
async fn crash_upstreams(
    fleet: &TestFleet,
    upstreams: &[CrashingUpstream],
    count: usize,
    make: impl Fn() -> CallerRequest,
) {
    let (mut seen, mut changed_at) = (0, Instant::now());
    while seen < count && changed_at.elapsed() < Duration::from_secs(2) {
        for entry in &fleet.entries {
            let address = entry.address();
            tokio::join!(make().send_owned(address), sound().send_owned(address));
            sleep(REQUEST_PAUSE).await;
        }
        let now = crashes(upstreams);
        if now != seen {
            (seen, changed_at) = (now, Instant::now());
        }
    }
    assert!(seen > 0, "no upstream has crashed");
}

fn assert_refused_at_once(answer: &CallerAnswer) {
    assert_eq!(answer.status.as_u16(), 503, "{}", answer.text());
    assert_eq!(answer.header("x-cicadastall-ran"), Some("no"), "{}", answer.text());
    assert!(answer.header("retry-after").is_some(), "{}", answer.text());
    assert!(answer.text().contains("quarantined"), "{}", answer.text());
    assert!(answer.took < Duration::from_millis(200), "refused after {:?}", answer.took);
}

#[tokio::test]
async fn requests_with_a_part_that_crashes_upstreams_keep_reaching_upstreams() {
    let (fleet, upstreams) = start_fleet("part", &["west-a", "east-a"], 3).await;
    crash_upstreams(&fleet, &upstreams, 5, deadly).await;
    sleep(SPREAD_TIME).await;
    let since = Instant::now();
    for _ in 0..10 {
        for entry in &fleet.entries {
            assert_refused_at_once(&deadly().send(entry.address()).await);
            let answer = sound().send(entry.address()).await;
            assert_eq!((answer.status.as_u16(), answer.whole), (200, true), "{}", answer.text());
        }
    }
    assert_eq!(received(&upstreams, DEADLY_TEXT, since), 0);
    assert!(received(&upstreams, COMMON_PART, since) >= 20);
}

#[tokio::test]
async fn a_request_that_crashes_upstreams_is_sent_again_with_each_copy() {
    let (fleet, upstreams) = start_fleet("copy", &["west-a"], 3).await;
    let copy = |path: &str| CallerRequest { body: DEADLY_TEXT.into(), ..CallerRequest::post(path) };
    crash_upstreams(&fleet, &upstreams, 5, || copy("/book/1")).await;
    sleep(SPREAD_TIME).await;
    let since = Instant::now();
    for _ in 0..5 {
        assert_refused_at_once(&copy("/book/1").send(fleet.entries[0].address()).await);
        let other = CallerRequest::post("/book/1").send(fleet.entries[0].address()).await;
        assert_eq!(other.status.as_u16(), 200, "another body on the same path");
    }
    assert_eq!(received(&upstreams, DEADLY_TEXT, since), 0);
}
