//! Each way in which an upstream's answer can end, on real sockets: what the caller receives, and
//! how often the request runs.

mod gateway;

use gateway::{
    CallerRequest, TestFleet, document,
    upstream::{ConnectionEnd, ScriptedAnswer, UpstreamStub, event, whole_text},
};
use std::time::Duration;
use tokio::time::sleep;

const SHORT_PAUSE: Duration = Duration::from_millis(30);

async fn start_fleet(name: &str, upstreams: usize) -> (TestFleet, Vec<UpstreamStub>) {
    let fleet = TestFleet::ready(name, document(1), &["west-a"]).await;
    let mut started = Vec::new();
    for _ in 0..upstreams {
        let upstream = UpstreamStub::start(ScriptedAnswer::whole("200 OK", "usual")).await;
        fleet.register(&upstream, "west-a").await;
        started.push(upstream);
    }
    (fleet, started)
}

fn total_runs(upstreams: &[UpstreamStub], request: &CallerRequest) -> usize {
    upstreams.iter().map(|upstream| upstream.runs(request.attempt())).sum()
}

#[tokio::test]
async fn a_request_and_its_answer_are_forwarded_unchanged() {
    let (fleet, upstreams) = start_fleet("unchanged", 1).await;
    let request = CallerRequest::post("/read/a%20b?c=d&e=%2f")
        .header("x-own", "kept")
        .header("connection", "x-named")
        .header("x-named", "dropped")
        .header("x-cicadastall-upstream", "forged")
        .header("x-cicadastall-rank", "0");
    let answer = request.send(fleet.entries[0].address()).await;
    assert_eq!((answer.status.as_u16(), answer.text().as_str()), (200, "usual"));
    assert_eq!(answer.header("x-cicadastall-stamp"), Some(upstreams[0].name.as_str()));
    let seen = upstreams[0].received().remove(0);
    assert!(seen.head.starts_with("POST /read/a%20b?c=d&e=%2f HTTP/1.1\r\n"), "{}", seen.head);
    assert_eq!(seen.body, "body");
    assert_eq!(seen.header("host").as_deref(), Some(gateway::ROUTED_HOST));
    assert_eq!(seen.header("x-own").as_deref(), Some("kept"));
    assert_eq!(seen.header("x-named"), None);
    assert_eq!(seen.header("x-cicadastall-upstream").as_deref(), Some(&*upstreams[0].name));
    let left: u64 = seen.header("x-cicadastall-remaining-ms").expect("time").parse().expect("ms");
    assert!((3_000..=4_000).contains(&left), "the route allows 4 s, the caller 5 s: {left}");
}

#[tokio::test]
async fn an_answer_without_a_length_ends_at_an_orderly_close() {
    let (fleet, upstreams) = start_fleet("no-length", 1).await;
    let text = "HTTP/1.1 200 OK\r\nx-cicadastall-attempt: {attempt}\r\n\
                x-cicadastall-stamp: {name}\r\n\r\nall of it";
    upstreams[0].next([ScriptedAnswer::raw(text, ConnectionEnd::Close)]);
    let answer = CallerRequest::post("/book/1").send(fleet.entries[0].address()).await;
    assert_eq!((answer.status.as_u16(), answer.text().as_str()), (200, "all of it"));
}

#[tokio::test]
async fn a_reset_never_completes_an_answer() {
    let (fleet, upstreams) = start_fleet("reset", 1).await;
    let text = "HTTP/1.1 200 OK\r\nx-cicadastall-attempt: {attempt}\r\n\
                x-cicadastall-stamp: {name}\r\n\r\na part";
    upstreams[0].next([ScriptedAnswer::raw(text, ConnectionEnd::Keep)
        .then(SHORT_PAUSE, "")
        .ending(ConnectionEnd::Reset)]);
    let answer = CallerRequest::post("/book/1").send(fleet.entries[0].address()).await;
    assert_eq!(answer.status.as_u16(), 502);
    assert_eq!(answer.header("x-cicadastall-ran"), Some("unknown"));
}

#[tokio::test]
async fn a_truncated_answer_is_not_forwarded() {
    let (fleet, upstreams) = start_fleet("truncated", 1).await;
    let text = whole_text("200 OK", "0123456789").replace("0123456789", "0123");
    upstreams[0].next([ScriptedAnswer::raw(&text, ConnectionEnd::Close)]);
    let request = CallerRequest::post("/book/1");
    let answer = request.send(fleet.entries[0].address()).await;
    assert_eq!(answer.status.as_u16(), 502);
    assert_eq!(total_runs(&upstreams, &request), 1);
}

#[tokio::test]
async fn a_request_that_may_run_once_is_not_sent_again_when_its_connection_breaks() {
    let (fleet, upstreams) = start_fleet("once", 2).await;
    for upstream in &upstreams {
        upstream.next([
            ScriptedAnswer::raw("", ConnectionEnd::Reset),
            ScriptedAnswer::raw("", ConnectionEnd::Close),
        ]);
    }
    for _ in 0..2 {
        let request = CallerRequest::post("/book/1");
        let answer = request.send(fleet.entries[0].address()).await;
        assert_eq!(answer.status.as_u16(), 502);
        assert_eq!(answer.header("retry-after"), None);
        assert_eq!(total_runs(&upstreams, &request), 1);
    }
}

#[tokio::test]
async fn a_repeatable_request_is_retried_on_another_upstream() {
    let (fleet, upstreams) = start_fleet("repeatable", 2).await;
    let address = fleet.entries[0].address();
    // The retry budget is a share of first requests, and a new process has none.
    for _ in 0..40 {
        assert_eq!(CallerRequest::post("/read/1").send(address).await.status.as_u16(), 200);
    }
    upstreams[0].next([ScriptedAnswer::raw("", ConnectionEnd::Reset)]);
    let mut twice = 0;
    for _ in 0..10 {
        let request = CallerRequest::post("/read/1");
        assert_eq!(request.send(address).await.status.as_u16(), 200);
        twice += total_runs(&upstreams, &request) - 1;
    }
    assert_eq!(twice, 1);
}

#[tokio::test]
async fn a_refused_request_is_sent_to_another_upstream() {
    let (fleet, upstreams) = start_fleet("refused", 2).await;
    let address = fleet.entries[0].address();
    for _ in 0..40 {
        CallerRequest::post("/book/1").send(address).await;
    }
    for upstream in &upstreams {
        upstream.next([ScriptedAnswer::refused()]);
    }
    let request = CallerRequest::post("/book/1");
    let answer = request.send(address).await;
    assert_eq!(answer.status.as_u16(), 503, "both refuse");
    assert_eq!(answer.header("x-cicadastall-ran"), Some("no"));
    assert!(answer.header("retry-after").is_some());
    sleep(Duration::from_millis(700)).await;
    upstreams[0].next([ScriptedAnswer::refused()]);
    let request = CallerRequest::post("/book/1");
    assert_eq!(request.send(address).await.status.as_u16(), 200);
}

#[tokio::test]
async fn a_failure_with_a_stamp_is_forwarded() {
    let (fleet, upstreams) = start_fleet("failure", 1).await;
    upstreams[0].next([ScriptedAnswer::whole("500 Internal Server Error", "its own words")]);
    let answer = CallerRequest::post("/book/1").send(fleet.entries[0].address()).await;
    assert_eq!((answer.status.as_u16(), answer.text().as_str()), (500, "its own words"));
    assert!(answer.header("x-cicadastall-stamp").is_some());
}

#[tokio::test]
async fn a_failure_without_a_stamp_leaves_the_execution_unknown() {
    let (fleet, upstreams) = start_fleet("unstamped", 1).await;
    let text = "HTTP/1.1 503 Service Unavailable\r\nx-cicadastall-attempt: {attempt}\r\n\
                content-length: 0\r\n\r\n";
    upstreams[0].next([ScriptedAnswer::raw(text, ConnectionEnd::Keep)]);
    let answer = CallerRequest::post("/book/1").send(fleet.entries[0].address()).await;
    assert_eq!(answer.status.as_u16(), 502);
    assert_eq!(answer.header("x-cicadastall-ran"), Some("unknown"));
}

#[tokio::test]
async fn a_success_without_a_stamp_or_for_another_attempt_is_not_forwarded() {
    let (fleet, upstreams) = start_fleet("foreign", 1).await;
    let stampless = "HTTP/1.1 200 OK\r\nx-cicadastall-attempt: {attempt}\r\n\
                     content-length: 3\r\n\r\nbad";
    let foreign = whole_text("200 OK", "bad").replace("{attempt}", "another");
    let encoded = whole_text("200 OK", "bad")
        .replace("content-length", "content-encoding: gzip\r\ncontent-length");
    upstreams[0].next(
        [stampless, &foreign, &encoded].map(|text| ScriptedAnswer::raw(text, ConnectionEnd::Keep)),
    );
    for _ in 0..3 {
        let answer = CallerRequest::post("/book/1").send(fleet.entries[0].address()).await;
        assert_eq!(answer.status.as_u16(), 502, "{}", answer.text());
        sleep(Duration::from_millis(1_700)).await;
    }
}

#[tokio::test]
async fn bytes_after_an_answer_are_discarded() {
    let (fleet, upstreams) = start_fleet("extra", 1).await;
    let twice = whole_text("200 OK", "usual") + &whole_text("200 OK", "extra");
    upstreams[0].next([ScriptedAnswer::raw(&twice, ConnectionEnd::Keep)]);
    for _ in 0..3 {
        let answer = CallerRequest::post("/read/1").send(fleet.entries[0].address()).await;
        assert_eq!((answer.status.as_u16(), answer.text().as_str()), (200, "usual"));
        sleep(SHORT_PAUSE).await;
    }
}

#[tokio::test]
async fn a_keep_alive_time_beyond_the_clock_fails_the_requests_that_follow() {
    let (fleet, upstreams) = start_fleet("keep-alive", 1).await;
    let kept = whole_text("200 OK", "usual")
        .replace("content-length", "keep-alive: timeout=18446744073709551615\r\ncontent-length");
    upstreams[0].next([ScriptedAnswer::raw(&kept, ConnectionEnd::Keep)]);
    for _ in 0..3 {
        let sent =
            tokio::spawn(CallerRequest::post("/read/1").send_owned(fleet.entries[0].address()));
        let answer = sent.await.expect("an answer");
        assert_eq!((answer.status.as_u16(), answer.text().as_str()), (200, "usual"));
    }
    assert_eq!(upstreams[0].connections(), 1);
}

#[tokio::test]
async fn a_late_refusal_of_an_earlier_request_does_not_apply_to_the_next() {
    let (fleet, upstreams) = start_fleet("late-refusal", 1).await;
    let late = "HTTP/1.1 503 Service Unavailable\r\nx-cicadastall-refused: 1\r\n\
                x-cicadastall-attempt: an-earlier-one\r\ncontent-length: 0\r\n\r\n";
    upstreams[0].next([ScriptedAnswer::raw(late, ConnectionEnd::Keep)]);
    let request = CallerRequest::post("/book/1");
    let answer = request.send(fleet.entries[0].address()).await;
    assert_eq!(answer.status.as_u16(), 502);
    assert_eq!(total_runs(&upstreams, &request), 1);
}

#[tokio::test]
async fn an_upstream_at_a_reused_address_does_not_run_the_request() {
    let (fleet, upstreams) = start_fleet("misdirected", 1).await;
    let text = "HTTP/1.1 421 Misdirected Request\r\ncontent-length: 0\r\n\r\n";
    upstreams[0].next([ScriptedAnswer::raw(text, ConnectionEnd::Keep)]);
    let answer = CallerRequest::post("/book/1").send(fleet.entries[0].address()).await;
    assert_eq!(answer.status.as_u16(), 503);
    assert_eq!(answer.header("x-cicadastall-ran"), Some("no"));
}

#[tokio::test]
async fn an_unreachable_upstream_has_not_run_the_request() {
    let (fleet, mut upstreams) = start_fleet("unreachable", 1).await;
    drop(upstreams.remove(0));
    sleep(SHORT_PAUSE).await;
    let answer = CallerRequest::post("/book/1").send(fleet.entries[0].address()).await;
    assert_eq!(answer.status.as_u16(), 503);
    assert_eq!(answer.header("x-cicadastall-ran"), Some("no"));
}

#[tokio::test]
async fn a_silent_upstream_is_disconnected_at_the_deadline() {
    let (fleet, upstreams) = start_fleet("silent", 1).await;
    upstreams[0].next([ScriptedAnswer::raw("", ConnectionEnd::Hang)]);
    let request = CallerRequest::post("/book/1").remaining(Duration::from_millis(800));
    let answer = request.send(fleet.entries[0].address()).await;
    assert_eq!(answer.status.as_u16(), 504);
    assert_eq!(answer.header("x-cicadastall-ran"), Some("unknown"));
    assert!(answer.took < Duration::from_millis(1_100), "{:?}", answer.took);
    upstreams[0].wait_disconnects(1).await;
}

#[tokio::test]
async fn events_are_forwarded_as_they_arrive() {
    let (fleet, upstreams) = start_fleet("events", 1).await;
    let stream = ScriptedAnswer::stream()
        .event(SHORT_PAUSE, 1)
        .event(SHORT_PAUSE, 2)
        .event(SHORT_PAUSE, 3)
        .end();
    upstreams[0].next([stream]);
    let answer = CallerRequest::post("/stream/1").send(fleet.entries[0].address()).await;
    assert!(answer.whole);
    assert_eq!(answer.text(), (1..=3).map(event).collect::<String>());
}

#[tokio::test]
async fn a_broken_stream_never_looks_complete() {
    let (fleet, upstreams) = start_fleet("cut-stream", 2).await;
    for upstream in &upstreams {
        let broken =
            ScriptedAnswer::stream().event(SHORT_PAUSE, 1).then(SHORT_PAUSE, "10\r\nid: 2\n");
        upstream.next([broken.then(SHORT_PAUSE, "").ending(ConnectionEnd::Close)]);
    }
    let request = CallerRequest::post("/stream/1");
    let answer = request.send(fleet.entries[0].address()).await;
    assert!(!answer.whole);
    assert!(answer.text().starts_with(&event(1)));
    assert_eq!(total_runs(&upstreams, &request), 1);
}

#[tokio::test]
async fn a_resumable_stream_continues_on_another_upstream() {
    let (fleet, upstreams) = start_fleet("resumed", 2).await;
    let address = fleet.entries[0].address();
    for _ in 0..40 {
        CallerRequest::post("/read/1").send(address).await;
    }
    let rest = ScriptedAnswer::stream()
        .event(SHORT_PAUSE, 2)
        .event(SHORT_PAUSE, 3)
        .event(SHORT_PAUSE, 4)
        .end();
    for upstream in &upstreams {
        let half = "8\r\nid: 3\nda\r\n";
        let broken = ScriptedAnswer::stream()
            .event(SHORT_PAUSE, 1)
            .event(SHORT_PAUSE, 2)
            .then(SHORT_PAUSE, half);
        upstream.next([broken.then(SHORT_PAUSE, "").ending(ConnectionEnd::Reset), rest.clone()]);
    }
    // Each upstream breaks off its first answer; its later answers are the rest of the stream.
    let request = CallerRequest::post("/resume/1");
    for upstream in &upstreams {
        upstream.next([rest.clone()]);
    }
    let answer = request.send(address).await;
    let runs: Vec<_> = upstreams.iter().map(|upstream| upstream.runs(request.attempt())).collect();
    assert_eq!(runs.iter().sum::<usize>(), 2, "{runs:?}");
    assert!(answer.text().starts_with(&(1..=2).map(event).collect::<String>()));
    let seen = upstreams.iter().flat_map(UpstreamStub::received);
    let resumed = seen.filter_map(|request| request.header("last-event-id")).collect::<Vec<_>>();
    assert_eq!(resumed.last().map(|number| &**number), Some("2"));
    assert!(!answer.text().contains("da\r\n") && !answer.text().ends_with("da"));
}

/// Pauses far beyond the target must not cut off a stream that still makes progress.
#[tokio::test]
async fn a_slow_stream_is_forwarded_completely() {
    let (fleet, upstreams) = start_fleet("slow-stream", 1).await;
    let pause = Duration::from_millis(850);
    for path in ["/stream/1", "/resume/1"] {
        let slow = (1..=4).fold(ScriptedAnswer::stream(), |stream, id| stream.event(pause, id));
        upstreams[0].next([slow.end()]);
        let request = CallerRequest::post(path);
        let answer = request.send(fleet.entries[0].address()).await;
        assert!(answer.whole, "{path}");
        assert_eq!(answer.text(), (1..=4).map(event).collect::<String>());
        assert_eq!(total_runs(&upstreams, &request), 1);
    }
}

/// Occasional bytes without an event must not keep a stream open beyond its caller's deadline, and
/// the cut stream must not look complete.
#[tokio::test]
async fn a_stalled_stream_ends_at_the_deadline() {
    let (fleet, upstreams) = start_fleet("stalled-stream", 1).await;
    let allowed = Duration::from_millis(1_500);
    for path in ["/stream/1", "/resume/1"] {
        let stalled = ScriptedAnswer::stream().event(SHORT_PAUSE, 1);
        upstreams[0].next([stalled.endless(Duration::from_millis(200), "1\r\n:\r\n")]);
        let request = CallerRequest::post(path).remaining(allowed);
        let answer = request.send(fleet.entries[0].address()).await;
        assert!(!answer.whole, "{path}");
        assert!(answer.text().starts_with(&event(1)), "{path}: {}", answer.text());
        assert!(answer.took < allowed + Duration::from_millis(400), "{path}: {:?}", answer.took);
    }
    upstreams[0].wait_disconnects(2).await;
}

/// Head of an event stream without length and chunks.
const UNFRAMED_HEAD: &str = "HTTP/1.1 200 OK\r\nx-cicadastall-attempt: {attempt}\r\n\
                             x-cicadastall-stamp: {name}\r\n\
                             content-type: text/event-stream\r\n\r\n";

#[tokio::test]
async fn a_stream_that_ends_inside_an_event_looks_complete() {
    let (fleet, upstreams) = start_fleet("inside", 1).await;
    let cut = format!("{}id: 2\ndata: tok", event(1));
    let unframed = ScriptedAnswer::raw(UNFRAMED_HEAD, ConnectionEnd::Close).then(SHORT_PAUSE, &cut);
    upstreams[0].next([unframed]);
    let answer = CallerRequest::post("/stream/1").send(fleet.entries[0].address()).await;
    assert_eq!((answer.status.as_u16(), answer.whole), (200, false));
    assert_eq!(answer.text(), cut);
}

#[tokio::test]
async fn a_framed_stream_that_ends_inside_an_event_looks_complete() {
    let (fleet, upstreams) = start_fleet("framed", 1).await;
    let cut = "id: 2\ndata: tok";
    let chunked = ScriptedAnswer::stream()
        .event(SHORT_PAUSE, 1)
        .then(SHORT_PAUSE, &format!("{:x}\r\n{cut}\r\n", cut.len()))
        .end();
    upstreams[0].next([chunked]);
    let answer = CallerRequest::post("/stream/1").send(fleet.entries[0].address()).await;
    assert_eq!((answer.status.as_u16(), answer.whole), (200, false));
    assert_eq!(answer.text(), format!("{}{cut}", event(1)));
}

#[tokio::test]
async fn a_stream_that_ends_before_its_first_event_looks_complete() {
    let (fleet, upstreams) = start_fleet("before", 1).await;
    upstreams[0].next([ScriptedAnswer::raw(UNFRAMED_HEAD, ConnectionEnd::Close)]);
    let request = CallerRequest::post("/stream/1");
    let answer = request.send(fleet.entries[0].address()).await;
    assert_eq!(answer.status.as_u16(), 502);
    assert_eq!(answer.header("x-cicadastall-ran"), Some("unknown"));
    assert_eq!(total_runs(&upstreams, &request), 1);
}

#[tokio::test]
async fn a_stream_without_length_and_chunks_is_complete_if_it_ends_between_events() {
    let (fleet, upstreams) = start_fleet("between", 1).await;
    let whole = format!("{}{}", event(1), event(2));
    for path in ["/stream/1", "/resume/1"] {
        let unframed =
            ScriptedAnswer::raw(UNFRAMED_HEAD, ConnectionEnd::Close).then(SHORT_PAUSE, &whole);
        upstreams[0].next([unframed]);
        let answer = CallerRequest::post(path).send(fleet.entries[0].address()).await;
        assert_eq!((answer.status.as_u16(), answer.whole), (200, true), "{path}");
        assert_eq!(answer.text(), whole, "{path}");
    }
}

#[tokio::test]
async fn a_stream_without_length_that_is_reset_between_events_looks_complete() {
    let (fleet, upstreams) = start_fleet("unframed-reset", 1).await;
    let reset = ScriptedAnswer::raw(UNFRAMED_HEAD, ConnectionEnd::Reset)
        .then(SHORT_PAUSE, &event(1))
        .then(SHORT_PAUSE, "");
    upstreams[0].next([reset]);
    let answer = CallerRequest::post("/stream/1").send(fleet.entries[0].address()).await;
    assert_eq!((answer.status.as_u16(), answer.whole), (200, false));
    assert_eq!(answer.text(), event(1));
}

#[tokio::test]
async fn a_resumable_stream_without_length_continues_elsewhere_when_it_ends_inside_an_event() {
    let (fleet, upstreams) = start_fleet("resumed", 2).await;
    let address = fleet.entries[0].address();
    // The retry budget is a share of first requests, and a new process has none.
    for _ in 0..40 {
        assert_eq!(CallerRequest::post("/read/1").send(address).await.status.as_u16(), 200);
    }
    let request = CallerRequest::post("/resume/1");
    let cut = format!("{}id: 2\ndata: tok", event(1));
    for (upstream, other) in [(0, 1), (1, 0)] {
        // Whichever upstream is chosen first breaks off, and the other one continues.
        let unframed =
            ScriptedAnswer::raw(UNFRAMED_HEAD, ConnectionEnd::Close).then(SHORT_PAUSE, &cut);
        upstreams[upstream].next([unframed]);
        let rest = ScriptedAnswer::raw(UNFRAMED_HEAD, ConnectionEnd::Close)
            .then(SHORT_PAUSE, &format!("{}{}", event(2), event(3)));
        upstreams[other].set_resumed(rest);
    }
    let answer = request.send(address).await;
    assert_eq!((answer.status.as_u16(), answer.whole), (200, true));
    assert_eq!(answer.text(), format!("{}{}{}", event(1), event(2), event(3)));
    assert_eq!(total_runs(&upstreams, &request), 2);
}
