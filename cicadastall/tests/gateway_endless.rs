//! Upstreams that send bytes without end: in a head, in a body, as answers that are none.

mod gateway;

use gateway::{
    CallerRequest, Fleet, document,
    upstream::{Ending, Script, Upstream, whole_text},
};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// Time that a caller allows.
const ALLOWED: Duration = Duration::from_millis(800);

/// Time beyond that for an answer to be told.
const MARGIN: Duration = Duration::from_millis(400);

/// Groups of ways that are played at the same time.
const GROUPS: usize = 4;

/// 64 KiB a second.
const DRIP: Duration = Duration::from_millis(16);

fn kilobyte(line: &str) -> String {
    line.repeat(1_024_usize.div_ceil(line.len()))
}

/// Each way of never ending: its name, the start of the answer, and what is sent again and again.
fn ways() -> Vec<(&'static str, String, String)> {
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

async fn start(name: &str) -> (Fleet, Upstream, Upstream) {
    let fleet = Fleet::ready(name, document(1), &["west-a"]).await;
    let bad = Upstream::start(Script::whole("200 OK", "usual")).await;
    let good = Upstream::start(Script::whole("200 OK", "usual")).await;
    fleet.register(&bad, "west-a").await;
    (fleet, bad, good)
}

/// Answers that never end, slowly and as fast as they are read, to requests of each sort: the caller is
/// told in its time, never that its answer is whole, and the upstream is left alone.
async fn meet_endless(name: &str, pause: Duration) {
    let before = memory_kib();
    let groups = (0..GROUPS).map(|group| meet_group(format!("{name}-{group}"), group, pause));
    futures::future::join_all(groups).await;
    let grown = memory_kib().saturating_sub(before);
    assert!(grown < 64 * 1_024, "memory grew by {grown} KiB");
}

/// The same for one of the groups into which the ways are cut, to play them side by side.
async fn meet_group(name: String, group: usize, pause: Duration) {
    let (fleet, bad, _good) = start(&name).await;
    let address = fleet.entries[0].address();
    for (way, head, text) in ways().into_iter().skip(group).step_by(GROUPS) {
        for path in ["/read/1", "/book/1", "/stream/1", "/resume/1"] {
            bad.next([Script::raw(&head, Ending::Keep).endless(pause, &text)]);
            let left = bad.left();
            let request = CallerRequest::post(path).remaining(ALLOWED);
            let started = Instant::now();
            let answer = request.send(address).await;
            let took = started.elapsed();
            assert!(took < ALLOWED + MARGIN, "{way} {path}: {took:?}");
            let complete = answer.status.is_success() && answer.whole;
            assert!(!complete, "{way} {path}: passed on as whole");
            assert_ne!(answer.header("x-cicadastall-ran"), Some("no"), "{way} {path}");
            bad.wait_left(left + 1).await;
            // The upstream was left alone for a while; its next request is answered as usual.
            let end = Instant::now() + gateway::WAIT;
            while CallerRequest::post("/book/1").send(address).await.status.as_u16() != 200 {
                assert!(Instant::now() < end, "{way} {path}: not used again");
                sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

#[tokio::test]
async fn endless_bytes_at_full_speed_end_with_the_request() {
    meet_endless("endless-fast", Duration::ZERO).await;
}

#[tokio::test]
async fn endless_bytes_that_drip_end_with_the_request() {
    meet_endless("endless-drip", DRIP).await;
}

/// A failure whose body never ends says that the request may have run; one that may be repeated is
/// answered by another upstream long before its time is over.
#[tokio::test]
async fn a_failure_without_end_does_not_use_up_the_time_of_a_request() {
    let (fleet, bad, good) = start("endless-failure").await;
    let address = fleet.entries[0].address();
    // First requests fill the budget of repeats, of which a new process has none.
    for _ in 0..60 {
        assert_eq!(CallerRequest::post("/read/1").send(address).await.status.as_u16(), 200);
    }
    fleet.register(&good, "west-a").await;
    let failed = whole_text("500 Internal Server Error", "").replace("content-length: 0\r\n", "");
    bad.next([Script::raw(&failed, Ending::Keep).endless(DRIP, "more ")]);
    let end = Instant::now() + gateway::WAIT;
    while bad.endless_for().is_zero() {
        assert!(Instant::now() < end, "the failing upstream was not asked");
        let answer = CallerRequest::post("/read/1").send(address).await;
        assert_eq!((answer.status.as_u16(), answer.text().as_str()), (200, "usual"));
        assert!(answer.took < Duration::from_millis(1_500), "{:?}", answer.took);
    }
}

/// Other requests are answered as fast as usual beside many endless answers.
#[tokio::test]
async fn requests_beside_endless_answers_are_answered_in_time() {
    let (fleet, bad, good) = start("endless-beside").await;
    let address = fleet.entries[0].address();
    let (_, head, text) = ways().swap_remove(8);
    bad.next(vec![Script::raw(&head, Ending::Keep).endless(Duration::ZERO, &text); 16]);
    let endless: Vec<_> = (0..16)
        .map(|_| CallerRequest::post("/stream/1").remaining(Duration::from_secs(3)))
        .map(|request| tokio::spawn(async move { request.send_owned(address).await }))
        .collect();
    bad.wait_seen(16).await;
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
