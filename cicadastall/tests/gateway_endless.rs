//! Upstreams that send bytes without end: in a head, in a body, or as something that is not HTTP.

mod gateway;

use gateway::{
    CallerRequest, TestFleet, document,
    upstream::{ConnectionEnd, ScriptedAnswer, UpstreamStub, whole_text},
};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Time that the caller allows.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(800);

/// Time beyond that until the caller must have its answer.
const MARGIN: Duration = Duration::from_millis(400);

/// Number of groups of cases that run concurrently.
const GROUPS: usize = 4;

/// Pause between two writes of 1 KiB: 64 KiB per second.
const SLOW_PAUSE: Duration = Duration::from_millis(16);

fn kilobyte(line: &str) -> String {
    line.repeat(1_024_usize.div_ceil(line.len()))
}

/// Endless answers: a name, the start of the answer and the text that is repeated.
fn endless_answers() -> Vec<(&'static str, String, String)> {
    let ok =
        "HTTP/1.1 200 OK\r\nx-cicadastall-attempt: {attempt}\r\nx-cicadastall-stamp: {name}\r\n";
    let failed = ok.replace("200 OK", "500 Internal Server Error");
    let chunked = "transfer-encoding: chunked\r\n\r\n";
    let chunk = format!("400\r\n{}\r\n", "x".repeat(1_024));
    vec![
        ("noise", String::new(), kilobyte("\u{1}\u{2}noise")),
        ("status line", String::new(), kilobyte("HTTP/1.1 200 OK OK OK ")),
        ("headers", ok.to_owned(), kilobyte("x-more: and more\r\n")),
        ("one header", format!("{ok}x-long: "), kilobyte("longer and ")),
        ("continue", String::new(), kilobyte("HTTP/1.1 100 Continue\r\n\r\n")),
        ("chunk size", format!("{ok}{chunked}"), kilobyte("0")),
        ("chunk extension", format!("{ok}{chunked}1;"), kilobyte("more=and more;")),
        ("chunks", format!("{ok}{chunked}"), chunk.clone()),
        ("body to the end", format!("{ok}\r\n"), kilobyte("more ")),
        ("trailers", format!("{ok}{chunked}0\r\n"), kilobyte("x-more: and more\r\n")),
        ("failed body", format!("{failed}{chunked}"), chunk),
        ("failed body to the end", format!("{failed}\r\n"), kilobyte("more ")),
    ]
}

fn memory_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("status");
    let line = status.lines().find(|line| line.starts_with("VmRSS:")).expect("a line");
    line.split_whitespace().nth(1).and_then(|text| text.parse().ok()).expect("a number")
}

async fn start_fleet(name: &str) -> (TestFleet, UpstreamStub, UpstreamStub) {
    let fleet = TestFleet::ready(name, document(1), &["west-a"]).await;
    let bad = UpstreamStub::start(ScriptedAnswer::whole("200 OK", "usual")).await;
    let good = UpstreamStub::start(ScriptedAnswer::whole("200 OK", "usual")).await;
    fleet.register(&bad, "west-a").await;
    (fleet, bad, good)
}

/// Endless answers to requests of each retry rule: the caller gets an answer by its deadline that
/// does not look complete, the connection to the upstream is closed, and memory stays bounded.
async fn check_endless_answers(name: &str, pause: Duration) {
    let before = memory_kib();
    let groups = (0..GROUPS).map(|group| check_group(format!("{name}-{group}"), group, pause));
    futures::future::join_all(groups).await;
    let grown = memory_kib().saturating_sub(before);
    assert!(grown < 64 * 1_024, "memory grew by {grown} KiB");
}

/// Checks every [`GROUPS`]th endless answer, starting with number `group`.
async fn check_group(name: String, group: usize, pause: Duration) {
    let (fleet, bad, _good) = start_fleet(&name).await;
    let address = fleet.entries[0].address();
    for (case, head, text) in endless_answers().into_iter().skip(group).step_by(GROUPS) {
        for path in ["/read/1", "/book/1", "/stream/1", "/resume/1"] {
            bad.next([ScriptedAnswer::raw(&head, ConnectionEnd::Keep).endless(pause, &text)]);
            let left = bad.disconnects();
            let request = CallerRequest::post(path).remaining(REQUEST_TIMEOUT);
            let started = Instant::now();
            let answer = request.send(address).await;
            let took = started.elapsed();
            assert!(took < REQUEST_TIMEOUT + MARGIN, "{case} {path}: {took:?}");
            let complete = answer.status.is_success() && answer.whole;
            assert!(!complete, "{case} {path}: forwarded as complete");
            assert_ne!(answer.header("x-cicadastall-ran"), Some("no"), "{case} {path}");
            bad.wait_disconnects(left + 1).await;
            // The upstream is avoided for a while after a failure, and then used again.
            let end = Instant::now() + gateway::WAIT_TIMEOUT;
            while CallerRequest::post("/book/1").send(address).await.status.as_u16() != 200 {
                assert!(Instant::now() < end, "{case} {path}: not used again");
                sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

#[tokio::test]
async fn endless_bytes_at_full_speed_end_with_the_request() {
    check_endless_answers("endless-fast", Duration::ZERO).await;
}

#[tokio::test]
async fn endless_bytes_at_a_low_rate_end_with_the_request() {
    check_endless_answers("endless-drip", SLOW_PAUSE).await;
}

/// A failure whose body never ends leaves open whether the request ran. A repeatable request must be
/// answered by another upstream long before its deadline.
#[tokio::test]
async fn an_endless_failure_does_not_use_up_the_time_of_a_request() {
    let (fleet, bad, good) = start_fleet("endless-failure").await;
    let address = fleet.entries[0].address();
    // The retry budget is a share of first requests, and a new process has none.
    for _ in 0..60 {
        assert_eq!(CallerRequest::post("/read/1").send(address).await.status.as_u16(), 200);
    }
    fleet.register(&good, "west-a").await;
    let failed = whole_text("500 Internal Server Error", "").replace("content-length: 0\r\n", "");
    bad.next([ScriptedAnswer::raw(&failed, ConnectionEnd::Keep).endless(SLOW_PAUSE, "more ")]);
    let end = Instant::now() + gateway::WAIT_TIMEOUT;
    while bad.endless_for().is_zero() {
        assert!(Instant::now() < end, "the failing upstream was not asked");
        let answer = CallerRequest::post("/read/1").send(address).await;
        assert_eq!((answer.status.as_u16(), answer.text().as_str()), (200, "usual"));
        assert!(answer.took < Duration::from_millis(1_500), "{:?}", answer.took);
    }
}

/// Many endless answers must not slow down other requests.
#[tokio::test]
async fn requests_beside_endless_answers_are_answered_in_time() {
    let (fleet, bad, good) = start_fleet("endless-beside").await;
    let address = fleet.entries[0].address();
    let (_, head, text) = endless_answers().swap_remove(8);
    bad.next(vec![
        ScriptedAnswer::raw(&head, ConnectionEnd::Keep).endless(Duration::ZERO, &text);
        16
    ]);
    let endless: Vec<_> = (0..16)
        .map(|_| CallerRequest::post("/stream/1").remaining(Duration::from_secs(3)))
        .map(|request| tokio::spawn(async move { request.send_owned(address).await }))
        .collect();
    bad.wait_received(16).await;
    fleet.register(&good, "west-a").await;
    let mut slowest = Duration::ZERO;
    for _ in 0..20 {
        let answer = CallerRequest::post("/book/1").send(address).await;
        assert_eq!(answer.status.as_u16(), 200);
        slowest = slowest.max(answer.took);
    }
    assert!(slowest < Duration::from_millis(500), "{slowest:?}");
    for task in endless {
        let answer = task.await.expect("an answer");
        assert!(!(answer.status.is_success() && answer.whole));
    }
}
