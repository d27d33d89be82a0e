//! Tests of answers that stop within their head, and of streams that another answer continues.

mod gateway;

use gateway::{
    CallerRequest, TestFleet, document,
    upstream::{ConnectionEnd, ScriptedAnswer, UpstreamStub, event},
};
use std::time::Duration;

const SHORT: Duration = Duration::from_millis(20);

/// Heads of answers with each framing; only the last one may end with an empty body.
const FRAMINGS: [&str; 3] = ["content-length: 4\r\n", "transfer-encoding: chunked\r\n", ""];

/// Bytes by which the head of one upstream's answer is longer than that of the one before.
const STEP: usize = 3;

/// Lets each of many upstreams stop at another byte of its head, and checks that no caller gets an answer
/// that looks complete.
async fn check_cut_heads(name: &str, zones: &[&str], path: &str, interim: &str) {
    for framing in FRAMINGS {
        let fleet = TestFleet::ready(name, document(1), zones).await;
        let head = format!(
            "{interim}HTTP/1.1 200 OK\r\nx-cicadastall-attempt: {{attempt}}\r\n\
             x-cicadastall-stamp: {{name}}\r\ncontent-type: text/event-stream\r\n{framing}\r\n"
        );
        let last = if framing.is_empty() { head.len() - 1 } else { head.len() };
        let mut upstreams = Vec::new();
        for length in (1..=last).rev().step_by(STEP) {
            let answer = ScriptedAnswer::raw(&head[..length], ConnectionEnd::Close);
            let upstream = UpstreamStub::start(answer).await;
            fleet.register(&upstream, "west-a").await;
            upstreams.push(upstream);
        }
        let address = fleet.entries[zones.len() - 1].address();
        for _ in 0..upstreams.len() {
            let answer = CallerRequest::post(path).send(address).await;
            let complete = answer.status.is_success() && answer.whole;
            assert!(!complete, "{framing:?}: {:?} {:?}", answer.status, answer.text());
        }
        let asked = upstreams.iter().filter(|upstream| !upstream.received().is_empty()).count();
        assert!(asked * 4 > upstreams.len() * 3, "{asked} of {} asked", upstreams.len());
    }
}

#[tokio::test]
async fn an_answer_that_stops_in_its_head_looks_complete() {
    check_cut_heads("cut-head", &["west-a"], "/book/1", "").await;
}

#[tokio::test]
async fn a_stream_that_stops_in_its_head_looks_complete() {
    check_cut_heads("cut-stream-head", &["west-a"], "/stream/1", "").await;
}

#[tokio::test]
async fn an_answer_that_stops_after_an_interim_response_looks_complete() {
    let interim = "HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n";
    check_cut_heads("cut-interim", &["west-a"], "/stream/1", interim).await;
}

/// Breaks a stream off after its first event and lets `next` continue it. Returns what the caller got.
async fn continue_with(name: &str, next: ScriptedAnswer) -> (String, bool) {
    let fleet = TestFleet::ready(name, document(1), &["west-a"]).await;
    let broken =
        ScriptedAnswer::stream().event(SHORT, 1).then(SHORT, "").ending(ConnectionEnd::Reset);
    let mut upstreams = Vec::new();
    for _ in 0..2 {
        let upstream = UpstreamStub::start(ScriptedAnswer::whole("200 OK", "usual")).await;
        upstream.set_resumed(next.clone());
        fleet.register(&upstream, "west-a").await;
        upstreams.push(upstream);
    }
    // The budget of retries grows with the requests.
    for _ in 0..40 {
        CallerRequest::post("/read/1").send(fleet.entries[0].address()).await;
    }
    upstreams.iter().for_each(|upstream| upstream.next([broken.clone()]));
    let answer = CallerRequest::post("/resume/1").send(fleet.entries[0].address()).await;
    let resumed = upstreams
        .iter()
        .flat_map(UpstreamStub::received)
        .filter(|request| request.header("last-event-id").is_some());
    assert_eq!(resumed.count(), 1, "{}", answer.text());
    (answer.text(), answer.whole)
}

#[tokio::test]
async fn a_failure_is_joined_to_a_stream_that_broke_off() {
    let failure =
        ScriptedAnswer::whole("500 Internal Server Error", "failed\n\nHTTP/1.1 500\r\n\r\n");
    assert_eq!(continue_with("resumed-failure", failure).await, (event(1), false));
}

#[tokio::test]
async fn a_success_of_another_type_is_joined_to_a_stream_that_broke_off() {
    let text = ScriptedAnswer::whole("200 OK", "other\n\nHTTP/1.1 200 OK\r\n\r\n");
    assert_eq!(continue_with("resumed-type", text).await, (event(1), false));
}

#[tokio::test]
async fn an_empty_success_ends_a_stream_that_broke_off() {
    let empty = ScriptedAnswer::whole("200 OK", "");
    assert_eq!(continue_with("resumed-empty", empty).await, (event(1), false));
}

#[tokio::test]
async fn an_unframed_answer_is_joined_to_a_stream_that_broke_off() {
    let head = "HTTP/1.1 200 OK\r\nx-cicadastall-attempt: {attempt}\r\nx-cicadastall-stamp: {name}\r\n\
                content-type: text/event-stream\r\n\r\n";
    let answer = ScriptedAnswer::raw(head, ConnectionEnd::Close);
    assert_eq!(continue_with("resumed-unframed", answer).await, (event(1), false));
}
