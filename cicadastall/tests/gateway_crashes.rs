//! Requests that end the process of each upstream that begins to answer them.

mod gateway;

use bytes::Bytes;
use gateway::{
    CallerAnswer, CallerRequest, TestFleet,
    crashing::{CrashingUpstream, DEADLY_TEXT, FAILING_TEXT},
    document,
};
use hyper::Method;
use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};
use tokio::time::{Instant, sleep};

/// First part of all prompts; not deadly.
const COMMON_PART: &str = "c0";

/// Pause between two requests.
const REQUEST_PAUSE: Duration = Duration::from_millis(40);

/// Time after the fifth crash from which nothing that crashes upstreams may reach them.
const CONTACT_TIME: Duration = Duration::from_secs(5);

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

/// Sends what `make` returns to all entries in turn, beside sound requests, until [`CONTACT_TIME`] after
/// the fifth crash, or until no upstream has crashed for two seconds.
async fn crash_upstreams(
    fleet: &TestFleet,
    upstreams: &[CrashingUpstream],
    make: impl Fn() -> CallerRequest,
) {
    let (mut seen, mut changed_at, mut fifth_at) = (0, Instant::now(), None);
    while changed_at.elapsed() < Duration::from_secs(2)
        && fifth_at.is_none_or(|at: Instant| at.elapsed() < CONTACT_TIME)
    {
        for entry in &fleet.entries {
            let address = entry.address();
            tokio::join!(make().send_owned(address), sound().send_owned(address));
            sleep(REQUEST_PAUSE).await;
        }
        let now = crashes(upstreams);
        if now != seen {
            (seen, changed_at) = (now, Instant::now());
        }
        if seen >= 5 {
            fifth_at.get_or_insert(Instant::now());
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
    crash_upstreams(&fleet, &upstreams, deadly).await;
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

/// Guards against a request that is acquitted by the first event of the answer that it crashes.
#[tokio::test]
async fn requests_that_crash_upstreams_after_their_first_event_keep_reaching_them() {
    for path in ["/stream/late", "/resume/late"] {
        let (fleet, upstreams) = start_fleet("late", &["west-a", "east-a"], 3).await;
        let late = || prompt(path, &[COMMON_PART, DEADLY_TEXT]);
        crash_upstreams(&fleet, &upstreams, late).await;
        let since = Instant::now();
        for _ in 0..10 {
            for entry in &fleet.entries {
                assert_refused_at_once(&late().send(entry.address()).await);
                let answer = sound().send(entry.address()).await;
                assert_eq!(
                    (answer.status.as_u16(), answer.whole),
                    (200, true),
                    "{}",
                    answer.text()
                );
            }
        }
        assert_eq!(received(&upstreams, DEADLY_TEXT, since), 0);
    }
}

/// Guards against a request that is acquitted by an answer without length that ends with a crash.
#[tokio::test]
async fn an_answer_without_length_acquits_the_request_that_crashes_it() {
    let (fleet, upstreams) = start_fleet("unframed", &["west-a"], 3).await;
    let turn = AtomicU64::new(0);
    let late = |path| prompt(path, &[COMMON_PART, DEADLY_TEXT]);
    let mixed = || match turn.fetch_add(1, Ordering::Relaxed) % 2 {
        0 => late("/stream/late"),
        _ => late("/stream/late-unframed"),
    };
    crash_upstreams(&fleet, &upstreams, mixed).await;
    let since = Instant::now();
    for _ in 0..5 {
        assert_refused_at_once(&late("/stream/late").send(fleet.entries[0].address()).await);
    }
    assert_eq!(received(&upstreams, DEADLY_TEXT, since), 0);
}

/// Guards against sound requests that are blamed for the ends of upstreams that leave.
#[tokio::test]
async fn requests_cut_by_upstreams_that_leave_are_quarantined() {
    let (fleet, _) = start_fleet("release", &["west-a"], 0).await;
    let (registry, address) = (fleet.registry(0), fleet.entries[0].address());
    let request = |path| CallerRequest { body: "a".into(), ..prompt(path, &[COMMON_PART]) };
    for _ in 0..4 {
        let upstream = CrashingUpstream::start(registry, "west-a", Duration::from_secs(60));
        fleet.wait_known(0, &upstream.name, true).await;
        let cut = tokio::spawn(request("/stream/endless").send_owned(address));
        sleep(Duration::from_millis(300)).await;
        upstream.leave(registry, "west-a").await;
        fleet.wait_known(0, &upstream.name, false).await;
        drop(upstream);
        assert!(!cut.await.expect("an answer").whole, "the stream is cut");
        sleep(Duration::from_millis(700)).await;
    }
    let upstream = CrashingUpstream::start(registry, "west-a", Duration::from_secs(60));
    fleet.wait_known(0, &upstream.name, true).await;
    let answer = request("/stream/1").send(address).await;
    assert_eq!((answer.status.as_u16(), answer.whole), (200, true), "{}", answer.text());
}

#[tokio::test]
async fn a_failure_answer_ends_the_suspicion_of_a_part_that_crashes_upstreams() {
    let (fleet, upstreams) = start_fleet("failing", &["west-a"], 3).await;
    let turn = AtomicU64::new(0);
    // Upstreams answer every second request before they come to the part.
    let mixed = || match turn.fetch_add(1, Ordering::Relaxed) % 2 {
        0 => deadly(),
        _ => CallerRequest { body: FAILING_TEXT.into(), ..deadly() },
    };
    crash_upstreams(&fleet, &upstreams, mixed).await;
    let since = Instant::now();
    for _ in 0..5 {
        assert_refused_at_once(&deadly().send(fleet.entries[0].address()).await);
    }
    assert_eq!(received(&upstreams, DEADLY_TEXT, since), 0);
}

#[tokio::test]
async fn a_request_that_crashes_upstreams_is_sent_again_with_each_copy() {
    let (fleet, upstreams) = start_fleet("copy", &["west-a"], 3).await;
    let copy = |path: &str| CallerRequest { body: DEADLY_TEXT.into(), ..CallerRequest::post(path) };
    crash_upstreams(&fleet, &upstreams, || copy("/book/1")).await;
    let since = Instant::now();
    for _ in 0..5 {
        assert_refused_at_once(&copy("/book/1").send(fleet.entries[0].address()).await);
        // Upstreams that have crashed are in backoff for a while.
        let end = Instant::now() + Duration::from_secs(3);
        loop {
            let other = CallerRequest::post("/book/1").send(fleet.entries[0].address()).await;
            if other.status.as_u16() == 200 {
                break;
            }
            assert!(!other.text().contains("quarantined"), "another body on the same path");
            assert!(Instant::now() < end, "{}", other.text());
            sleep(REQUEST_PAUSE).await;
        }
    }
    assert_eq!(received(&upstreams, DEADLY_TEXT, since), 0);
}

#[tokio::test]
async fn a_restart_of_entries_and_control_forgets_what_is_quarantined() {
    let (mut fleet, upstreams) = start_fleet("restart", &["west-a"], 3).await;
    crash_upstreams(&fleet, &upstreams, deadly).await;
    let since = Instant::now();
    // The restarted control instance learns from the entry, and the next entry from control.
    fleet.kill_control(0).await;
    fleet.start_control(0).await;
    sleep(Duration::from_secs(3)).await;
    fleet.add_entry("entry-later", "west-a").await;
    fleet.wait_ready().await;
    fleet.kill_entry(0).await;
    let address = fleet.entries[1].address();
    assert_refused_at_once(&deadly().send(address).await);
    let end = Instant::now() + Duration::from_secs(5);
    while sound().send(address).await.status.as_u16() != 200 {
        assert!(Instant::now() < end, "sound requests are not served");
        sleep(REQUEST_PAUSE).await;
    }
    assert_refused_at_once(&deadly().send(address).await);
    assert_eq!(received(&upstreams, DEADLY_TEXT, since), 0);
}

#[tokio::test]
async fn operators_cannot_see_or_release_what_is_quarantined() {
    let (fleet, upstreams) = start_fleet("release", &["west-a", "east-a"], 3).await;
    crash_upstreams(&fleet, &upstreams, deadly).await;
    let ask = |entry: usize, method: Method, path: &str| {
        let request = CallerRequest {
            method,
            path: path.to_owned(),
            headers: Vec::new(),
            body: Bytes::new(),
        };
        request.send_owned(fleet.entries[entry].node.status_listen)
    };
    let listed = ask(0, Method::GET, "/v1/quarantine").await;
    let listed: serde_json::Value = serde_json::from_slice(&listed.body).expect("json");
    let fingerprint = listed[0]["fingerprints"][0].as_str().expect("a quarantine").to_owned();
    assert_eq!(ask(0, Method::DELETE, "/v1/quarantine/x").await.status.as_u16(), 400);
    let unknown = ask(0, Method::DELETE, "/v1/quarantine/0000000000000000").await;
    assert_eq!(unknown.status.as_u16(), 404);
    let path = format!("/v1/quarantine/{fingerprint}");
    assert_eq!(ask(0, Method::DELETE, &path).await.status.as_u16(), 200);
    let end = Instant::now() + Duration::from_secs(5);
    for entry in 0..2 {
        while !ask(entry, Method::GET, "/v1/quarantine").await.text().starts_with("[]") {
            assert!(Instant::now() < end, "not released at entry {entry}");
            sleep(REQUEST_PAUSE).await;
        }
    }
}

#[tokio::test]
async fn a_forwarded_request_that_crashes_upstreams_is_tried_again_after_its_refusal() {
    let (fleet, upstreams) = start_fleet("forwarded", &["west-a", "east-a"], 3).await;
    drop(upstreams);
    let east: Vec<_> = (0..3)
        .map(|_| CrashingUpstream::start(fleet.registry(0), "east-a", Duration::from_millis(600)))
        .collect();
    for upstream in &east {
        fleet.wait_known(1, &upstream.name, true).await;
    }
    crash_upstreams(&fleet, &east, deadly).await;
    let since = Instant::now();
    for entry in &fleet.entries {
        assert_refused_at_once(&deadly().send(entry.address()).await);
        let answer = sound().send(entry.address()).await;
        assert_eq!((answer.status.as_u16(), answer.whole), (200, true), "{}", answer.text());
    }
    assert_eq!(received(&east, DEADLY_TEXT, since), 0);
}
