//! Upstreams that say in an answer that they leave, or that they want nothing for some time.

mod gateway;

use cicadastall::gateway::news::{RegisteredUpstream, UpstreamPhase};
use gateway::{
    CallerRequest, TestFleet, describe, document,
    upstream::{ScriptedAnswer, UpstreamStub, whole_text},
};
use std::time::Duration;
use tokio::time::{Instant, sleep};

const SHORT: Duration = Duration::from_millis(30);

/// Five minutes, and a second over which callers return.
const MOST_NAMED_S: f64 = 301.0;

/// An answer in whose head the upstream says that it leaves.
fn leaving() -> ScriptedAnswer {
    let text = whole_text("200 OK", "usual")
        .replace("content-length", "x-cicadastall-leaving: 1\r\ncontent-length");
    ScriptedAnswer::raw(&text, gateway::upstream::ConnectionEnd::Keep)
}

/// A refusal by an upstream that wants nothing more for `seconds`.
fn pause(seconds: &str) -> ScriptedAnswer {
    let text = format!(
        "HTTP/1.1 503 Service Unavailable\r\nx-cicadastall-refused: 1\r\n\
         retry-after: {seconds}\r\ncontent-length: 0\r\n\r\n"
    );
    ScriptedAnswer::raw(&text, gateway::upstream::ConnectionEnd::Keep)
}

async fn start_upstreams(fleet: &TestFleet, count: usize, zone: &str) -> Vec<UpstreamStub> {
    let mut started = Vec::new();
    for _ in 0..count {
        let upstream = UpstreamStub::start(ScriptedAnswer::whole("200 OK", "usual")).await;
        fleet.register(&upstream, zone).await;
        started.push(upstream);
    }
    started
}

/// Sends requests until each upstream has answered one.
async fn reach_all(fleet: &TestFleet, upstreams: &[UpstreamStub]) {
    for _ in 0..200 {
        CallerRequest::post("/read/1").send(fleet.entries[0].address()).await;
        if upstreams.iter().all(|upstream| !upstream.received().is_empty()) {
            return;
        }
    }
    panic!("an upstream got no request");
}

/// Sends requests through the first entry until `upstream` has answered one by saying that it leaves.
async fn hear_leaving(fleet: &TestFleet, upstream: &UpstreamStub) {
    upstream.next([leaving()]);
    let seen = upstream.received().len();
    let end = Instant::now() + gateway::WAIT_TIMEOUT;
    while upstream.received().len() == seen {
        assert!(Instant::now() < end, "the upstream gets no request");
        CallerRequest::post("/read/1").send(fleet.entries[0].address()).await;
    }
}

#[tokio::test]
async fn an_upstream_that_says_it_leaves_gets_no_more_work_until_it_starts_anew() {
    let mut fleet = TestFleet::ready("says-leaving", document(1), &["west-a"]).await;
    let upstreams = start_upstreams(&fleet, 2, "west-a").await;
    reach_all(&fleet, &upstreams).await;
    let address = fleet.entries[0].address();
    hear_leaving(&fleet, &upstreams[0]).await;
    // What is known holds without control, and against renewals that say otherwise.
    let renewed = describe(&upstreams[0], "west-a", 50);
    assert!(fleet.renew(0, &renewed).await.status.is_success());
    sleep(Duration::from_millis(600)).await;
    let before = upstreams[0].received().len();
    for _ in 0..40 {
        assert_eq!(CallerRequest::post("/read/1").send(address).await.status.as_u16(), 200);
    }
    fleet.kill_control(0).await;
    for _ in 0..40 {
        assert_eq!(CallerRequest::post("/read/1").send(address).await.status.as_u16(), 200);
    }
    assert_eq!(upstreams[0].received().len(), before);
    fleet.start_control(0).await;
    let reborn = RegisteredUpstream { started_ms: 2, ..describe(&upstreams[0], "west-a", 1) };
    let end = Instant::now() + gateway::WAIT_TIMEOUT;
    while upstreams[0].received().len() == before {
        assert!(Instant::now() < end, "the new start gets no work");
        fleet.renew(0, &reborn).await;
        fleet.renew(0, &describe(&upstreams[1], "west-a", 60)).await;
        CallerRequest::post("/read/1").send(address).await;
    }
}

#[tokio::test]
async fn other_entries_of_the_region_hear_that_an_upstream_leaves() {
    let fleet = TestFleet::ready("tells-leaving", document(1), &["west-a", "west-a"]).await;
    let upstreams = start_upstreams(&fleet, 2, "west-a").await;
    reach_all(&fleet, &upstreams).await;
    hear_leaving(&fleet, &upstreams[0]).await;
    fleet.wait_known(1, &upstreams[0].name, false).await;
    // A later renewal, which says that it serves, does not bring it back.
    assert!(fleet.renew(0, &describe(&upstreams[0], "west-a", 50)).await.status.is_success());
    sleep(Duration::from_millis(600)).await;
    fleet.wait_known(1, &upstreams[0].name, false).await;
    fleet.wait_known(1, &upstreams[1].name, true).await;
    let reborn = RegisteredUpstream { started_ms: 2, ..describe(&upstreams[0], "west-a", 1) };
    assert!(fleet.renew(0, &reborn).await.status.is_success());
    fleet.wait_known(1, &upstreams[0].name, true).await;
}

#[tokio::test]
async fn an_upstream_that_leaves_is_left_through_a_hop_too() {
    let fleet = TestFleet::ready("hop-leaving", document(1), &["west-a", "east-a"]).await;
    let upstreams = start_upstreams(&fleet, 1, "east-a").await;
    let address = fleet.entries[0].address();
    let end = Instant::now() + gateway::WAIT_TIMEOUT;
    while CallerRequest::post("/book/1").send(address).await.status.as_u16() != 200 {
        assert!(Instant::now() < end, "no hop");
        sleep(SHORT).await;
    }
    upstreams[0].next([leaving()]);
    assert_eq!(CallerRequest::post("/book/1").send(address).await.status.as_u16(), 200);
    let before = upstreams[0].received().len();
    for _ in 0..5 {
        let answer = CallerRequest::post("/book/1").send(address).await;
        assert_eq!(answer.status.as_u16(), 503, "{}", answer.text());
        assert_eq!(answer.header("x-cicadastall-ran"), Some("no"));
    }
    assert_eq!(upstreams[0].received().len(), before);
}

#[tokio::test]
async fn an_upstream_that_names_a_time_gets_nothing_before() {
    let fleet = TestFleet::ready("pause", document(1), &["west-a"]).await;
    let upstreams = start_upstreams(&fleet, 1, "west-a").await;
    let address = fleet.entries[0].address();
    // An answer that began before is still under way, and ends while the upstream wants nothing.
    let slow = ScriptedAnswer::stream().event(SHORT, 1).event(Duration::from_millis(900), 2).end();
    upstreams[0].next([slow]);
    let stream = tokio::spawn(async move { CallerRequest::post("/stream/1").send(address).await });
    upstreams[0].wait_received(1).await;
    upstreams[0].next([pause("2.5")]);
    let refused = CallerRequest::post("/book/1").send(address).await;
    let since = Instant::now();
    assert_eq!(refused.status.as_u16(), 503);
    while since.elapsed() < Duration::from_millis(2_300) {
        let answer = CallerRequest::post("/book/1").send(address).await;
        let left = 2.5 - since.elapsed().as_secs_f64();
        assert_eq!(answer.status.as_u16(), 503);
        assert!(answer.took < Duration::from_millis(300), "held for {:?}", answer.took);
        assert_eq!(answer.header("x-cicadastall-ran"), Some("no"));
        let named: f64 = answer.header("retry-after").expect("a time").parse().expect("seconds");
        assert!(named >= left - 0.05 && named <= left + 1.0, "{named} with {left} left");
        sleep(Duration::from_millis(60)).await;
    }
    assert!(stream.await.expect("an answer").whole);
    assert_eq!(upstreams[0].received().len(), 2);
    sleep(Duration::from_millis(400)).await;
    assert_eq!(CallerRequest::post("/book/1").send(address).await.status.as_u16(), 200);
}

#[tokio::test]
async fn a_failure_meanwhile_does_not_shorten_the_time_that_an_upstream_named() {
    let fleet = TestFleet::ready("pause-broken", document(1), &["west-a"]).await;
    let upstreams = start_upstreams(&fleet, 1, "west-a").await;
    let address = fleet.entries[0].address();
    let broken = ScriptedAnswer::raw("", gateway::upstream::ConnectionEnd::Reset)
        .then(Duration::from_millis(300), "")
        .ending(gateway::upstream::ConnectionEnd::Reset);
    upstreams[0].next([broken]);
    let lost = tokio::spawn(async move { CallerRequest::post("/book/1").send(address).await });
    upstreams[0].wait_received(1).await;
    upstreams[0].next([pause("3")]);
    assert_eq!(CallerRequest::post("/book/1").send(address).await.status.as_u16(), 503);
    let since = Instant::now();
    assert_eq!(lost.await.expect("an answer").status.as_u16(), 502);
    while since.elapsed() < Duration::from_millis(2_700) {
        CallerRequest::post("/book/1").send(address).await;
        sleep(Duration::from_millis(60)).await;
    }
    assert_eq!(upstreams[0].received().len(), 2);
}

#[tokio::test]
async fn an_absurd_time_is_not_believed_for_ever() {
    let fleet = TestFleet::ready("pause-absurd", document(1), &["west-a"]).await;
    let upstreams = start_upstreams(&fleet, 1, "west-a").await;
    let address = fleet.entries[0].address();
    for absurd in ["1e300", "-1", "NaN", "inf", "soon", "18446744073709551616"] {
        upstreams[0].next([pause(absurd)]);
        let answer = CallerRequest::post("/book/1").send(address).await;
        assert_eq!(answer.status.as_u16(), 503, "{absurd}");
        let answer = CallerRequest::post("/book/1").send(address).await;
        if let Some(named) = answer.header("retry-after") {
            let named: f64 = named.parse().expect("seconds");
            assert!((0.0..=MOST_NAMED_S).contains(&named), "{absurd}: {named}");
        }
        // Its next start wants work again.
        let started_ms = upstreams[0].received().len() as u64 + 1;
        let reborn = RegisteredUpstream { started_ms, ..describe(&upstreams[0], "west-a", 1) };
        assert_eq!(reborn.phase, UpstreamPhase::Serving);
        let end = Instant::now() + gateway::WAIT_TIMEOUT;
        while CallerRequest::post("/book/1").send(address).await.status.as_u16() != 200 {
            assert!(Instant::now() < end, "{absurd}: the new start gets no work");
            fleet.renew(0, &reborn).await;
            sleep(SHORT).await;
        }
    }
}
