//! Limits on requests: a caller that exceeds one gets a specific error, and other callers are served.

mod common;
mod zone;

use cicadastall::{
    http::{client, client_from},
    wire::{KIND_HEADER, WORKSPACE_HEADER},
};
use common::Process;
use hyper::StatusCode;
use serde_json::{Value, json};
use std::{
    net::{IpAddr, SocketAddr},
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpSocket, TcpStream},
    time::{Instant, sleep, timeout},
};
use zone::{Zone, ask, start_engine, wait_listed};

/// Timeout of the wait for a refusal.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(5);

/// Source address of a second caller, which stays within all limits.
const OTHER_CALLER: &str = "127.0.0.2";

/// An entry with configured limits and an engine that sends a token every 10 ms.
struct LimitedEntry {
    address: SocketAddr,
    zone: Zone,
    entry: Process,
    _home_entry: Option<Process>,
    _engine: Process,
}

impl LimitedEntry {
    async fn start(name: &str, limits: Value, tokens: &str) -> Self {
        let zone = Zone::start(name);
        let entry = zone.start_entry("aqaba-1", &[("limits", limits)]);
        let address = entry.address("caller");
        let engine =
            start_engine("aqaba-m1", address, &[], &["--tokens", tokens, "--token-ms", "10"]);
        wait_listed(address, 1).await;
        let served = Self { address, zone, entry, _home_entry: None, _engine: engine };
        let end = Instant::now() + Duration::from_secs(10);
        while served.ask_other().await.is_err() {
            assert!(Instant::now() < end, "the entry does not serve after 10 s");
            sleep(Duration::from_millis(50)).await;
        }
        served
    }

    /// Sends a request from `OTHER_CALLER`; fails unless the answer is complete.
    async fn ask_other(&self) -> Result<(), String> {
        let other: IpAddr = OTHER_CALLER.parse().expect("an address");
        let answer = ask(&client_from(Some(other), 0), self.address).await?;
        let whole = answer.status == StatusCode::OK && answer.text.ends_with("data: [DONE]\n\n");
        whole.then_some(()).ok_or_else(|| format!("{answer:?}"))
    }

    async fn connect(&self, from: &str) -> TcpStream {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.bind(format!("{from}:0").parse().expect("an address")).expect("a source address");
        socket.connect(self.address).await.expect("a connection")
    }

    /// Sends a request from the source address `from` and reads the first bytes of the answer.
    async fn start_request(&self, from: &str, header: &str) -> (TcpStream, String) {
        self.start_request_on(self.connect(from).await, header).await
    }

    async fn start_request_on(&self, mut stream: TcpStream, header: &str) -> (TcpStream, String) {
        stream.write_all(chat(header).as_bytes()).await.expect("a sent request");
        let mut bytes = vec![0; 4096];
        let read = timeout(REFUSAL_TIMEOUT, stream.read(&mut bytes)).await.expect("an answer");
        let count = read.expect("a readable answer");
        (stream, String::from_utf8_lossy(&bytes[..count]).into_owned())
    }
}

/// HTTP/1.1 text of a chat request with an additional header.
fn chat(header: &str) -> String {
    let body = json!({
        "messages": [{ "role": "user", "content": "How many tucks?" }],
        "max_tokens": 4096, "stream": true,
    })
    .to_string();
    format!("{}content-length: {}\r\n{header}\r\n{body}", chat_headers(), body.len())
}

fn chat_headers() -> String {
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: entry\r\n\
         {WORKSPACE_HEADER}: aqaba-port\r\n{KIND_HEADER}: splice-review\r\n"
    )
}

/// Reads until the connection is closed; panics if it is reset.
async fn read_answer(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let read = timeout(REFUSAL_TIMEOUT, stream.read_to_end(&mut bytes)).await;
    read.expect("an end of the answer").expect("no reset");
    String::from_utf8_lossy(&bytes).into_owned()
}

fn assert_refused(answer: &str, status: &str, code: &str) {
    assert!(answer.starts_with(&format!("HTTP/1.1 {status}")), "{answer:?}");
    assert!(answer.contains(&format!("\"code\":\"{code}\"")), "{answer:?}");
    assert!(answer.contains("\"ran\":\"no\""), "{answer:?}");
}

#[tokio::test]
async fn streams_of_one_caller_are_limited_until_they_end() {
    let limits = json!({ "streams_per_caller": 2 });
    let entry = LimitedEntry::start("streams", limits, "100").await;
    let caller = "127.0.0.9";
    let (first, answer) = entry.start_request(caller, "").await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
    let (_second, answer) = entry.start_request(caller, "").await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
    let (_, answer) = entry.start_request(caller, "").await;
    assert_refused(&answer, "429", "too_many_streams");
    assert!(answer.contains("retry-after: 1\r\n"), "{answer:?}");
    entry.ask_other().await.expect("another caller is served");
    drop(first);
    let end = Instant::now() + REFUSAL_TIMEOUT;
    loop {
        let (_, answer) = entry.start_request(caller, "").await;
        if answer.starts_with("HTTP/1.1 200") {
            break;
        }
        assert!(
            Instant::now() < end,
            "a stream still counts after its caller disconnected: {answer:?}"
        );
        sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test]
async fn requests_that_an_entry_forwards_are_not_counted() {
    let limits = json!({ "streams_per_caller": 1 });
    let entry = LimitedEntry::start("forwarded", limits.clone(), "500").await;
    let remote = entry.zone.start_entry_in("amman", "amman-1", &[("limits", limits)]);
    let remote = LimitedEntry {
        address: remote.address("caller"),
        _home_entry: Some(entry.entry),
        entry: remote,
        ..entry
    };
    let end = Instant::now() + Duration::from_secs(10);
    let mut open = Vec::new();
    for caller in ["127.0.0.9", "127.0.0.10", "127.0.0.11"] {
        let (stream, answer) = loop {
            let (stream, answer) = remote.start_request(caller, "").await;
            let served = !answer.starts_with("HTTP/1.1 503");
            if served || !open.is_empty() || Instant::now() > end {
                break (stream, answer);
            }
            sleep(Duration::from_millis(50)).await;
        };
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
        assert!(answer.contains("x-cicadastall-region: aqaba"), "{answer:?}");
        open.push(stream);
    }
}

#[tokio::test]
async fn connections_over_the_limit_are_answered_and_leave_room_for_others() {
    let limits = json!({ "connections": 32 });
    let entry = LimitedEntry::start("connections", limits, "5").await;
    let mut kept = Vec::new();
    for _ in 0..40 {
        kept.push(entry.connect("127.0.0.9").await);
    }
    entry.ask_other().await.expect("another caller is served");
    let mut over = entry.connect("127.0.0.9").await;
    over.write_all(chat("").as_bytes()).await.expect("a sent request");
    assert_refused(&read_answer(&mut over).await, "503", "too_many_streams");
    let (_, answer) = entry.start_request_on(kept.swap_remove(0), "").await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
    drop(kept);
    let end = Instant::now() + REFUSAL_TIMEOUT;
    while !entry.start_request("127.0.0.9", "").await.1.starts_with("HTTP/1.1 200") {
        assert!(Instant::now() < end, "closed connections still count");
        sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test]
async fn headers_over_the_limit_are_answered() {
    let limits = json!({ "header_bytes": 8192 });
    let entry = LimitedEntry::start("headers", limits, "5").await;
    let mut stream = entry.connect("127.0.0.9").await;
    let long = format!("{}x-long: {}\r\n\r\n", chat_headers(), "a".repeat(100_000));
    stream.write_all(long.as_bytes()).await.expect("sent headers");
    entry.ask_other().await.expect("another caller is served");
    let answer = read_answer(&mut stream).await;
    assert!(answer.starts_with("HTTP/1.1 431"), "{answer:?}");
}

#[tokio::test]
async fn slow_headers_and_slow_bodies_are_answered_in_time() {
    let limits = json!({ "send_ms": 600 });
    let entry = LimitedEntry::start("slow", limits, "5").await;
    let mut headers = entry.connect("127.0.0.9").await;
    headers.write_all(chat_headers().as_bytes()).await.expect("some headers");
    let mut body = entry.connect("127.0.0.9").await;
    let started = format!("{}content-length: 100\r\n\r\n{{", chat_headers());
    body.write_all(started.as_bytes()).await.expect("a part of a body");
    entry.ask_other().await.expect("another caller is served");
    assert_refused(&read_answer(&mut headers).await, "408", "too_slow");
    assert_refused(&read_answer(&mut body).await, "408", "too_slow");
}

#[tokio::test]
async fn body_over_the_limit_is_refused_while_it_is_sent() {
    let limits = json!({ "body_bytes": 10_000 });
    let entry = LimitedEntry::start("body", limits, "5").await;
    let size = 8_000_000;
    let announced = format!("content-length: {size}\r\n\r\n{}", "a".repeat(size));
    let chunked = format!("transfer-encoding: chunked\r\n\r\n{size:x}\r\n{}", "a".repeat(size));
    for rest in [announced, chunked] {
        let mut stream = entry.connect("127.0.0.9").await;
        let sent = stream.write_all((chat_headers() + &rest).as_bytes()).await;
        sent.expect("the entry reads the whole body");
        assert_refused(&read_answer(&mut stream).await, "413", "too_large");
    }
    entry.ask_other().await.expect("another caller is served");
    let answer = ask(&client(0), entry.address).await.expect("an answer");
    assert_eq!(answer.status, StatusCode::OK);
}

#[tokio::test]
async fn idle_connection_is_ended_at_once_when_its_time_is_over() {
    let limits = json!({ "send_ms": 600 });
    let entry = LimitedEntry::start("idle", limits, "5").await;
    let mut stream = entry.connect("127.0.0.1").await;
    let request = b"GET /v1/entries HTTP/1.1\r\nhost: entry\r\n\r\n";
    stream.write_all(request).await.expect("a sent request");
    let mut answer = vec![0; 4096];
    let count = stream.read(&mut answer).await.expect("an answer");
    assert!(count > 0);
    let ended = timeout(Duration::from_millis(1_200), async {
        while stream.read(&mut answer).await.expect("the end of the connection") > 0 {}
    });
    assert!(ended.await.is_ok(), "the connection is still open after twice the idle timeout");
}
