//! Request metrics on the operator port count each request once and record its times.

mod common;
mod zone;

use bytes::Bytes;
use cicadastall::http::{HttpClient, call_json, client};
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request};
use serde_json::Value;
use std::{net::SocketAddr, time::Duration};
use tokio::time::{Instant, sleep, timeout};
use zone::{Zone, ask, ask_kind, start_engine};

/// Timeout of waits until the entry knows its upstream or has counted an ended request.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

async fn read(client: &HttpClient, operator: SocketAddr) -> String {
    let request = Request::get(format!("http://{operator}/metrics")).body(Full::<Bytes>::default());
    let answer = client.request(request.expect("a request")).await.expect("an answer");
    let body = answer.into_body().collect().await.expect("a body").to_bytes();
    String::from_utf8_lossy(&body).into_owned()
}

/// Value of the series named `name` that has all `labels`, or 0 if there is none; panics if several
/// match.
fn value(text: &str, name: &str, labels: &[&str]) -> f64 {
    let start = format!("{name}{{");
    let matching = text
        .lines()
        .filter(|line| line.starts_with(&start) && labels.iter().all(|label| line.contains(label)));
    let values: Vec<f64> = matching
        .map(|line| line.rsplit(' ').next().and_then(|text| text.parse().ok()).expect("a number"))
        .collect();
    assert!(values.len() <= 1, "{name} {labels:?}: {values:?}");
    values.first().copied().unwrap_or(0.0)
}

async fn is_ready(client: &HttpClient, operator: SocketAddr) -> bool {
    let request = Request::get(format!("http://{operator}/readyz")).body(Full::<Bytes>::default());
    let answer = client.request(request.expect("a request")).await;
    answer.is_ok_and(|answer| answer.status().is_success())
}

async fn wait_upstream(client: &HttpClient, operator: SocketAddr) {
    let end = Instant::now() + READY_TIMEOUT;
    loop {
        let status: Value =
            call_json(client, Method::GET, operator, "/v1/status", None::<&Value>, READY_TIMEOUT)
                .await
                .expect("a status");
        let known = status["upstreams"].as_array().is_some_and(|upstreams| !upstreams.is_empty());
        if known && is_ready(client, operator).await {
            return;
        }
        assert!(Instant::now() < end, "no upstream within {READY_TIMEOUT:?}: {status}");
        sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test]
async fn each_request_is_counted_once_with_its_times() {
    let zone = Zone::start("metrics");
    let entry = zone.start_entry("aqaba-1", &[]);
    let (address, operator) = (entry.address("caller"), entry.address("operator"));
    let role = ["--tokens", "40", "--token-ms", "10"];
    let _engine = start_engine("aqaba-m1", address, &[], &role);
    let client = client(2);
    wait_upstream(&client, operator).await;

    for _ in 0..3 {
        let answer = ask(&client, address).await.expect("an answer");
        assert!(answer.text.ends_with("data: [DONE]\n\n"), "{answer:?}");
    }
    let hung_up = timeout(Duration::from_millis(200), ask(&client, address)).await;
    assert!(hung_up.is_err(), "the answer came before the caller hung up");
    for _ in 0..2 {
        let answer = ask_kind(&client, address, "tuck-query").await.expect("an answer");
        assert!(answer.text.contains("\"no_upstream\""), "{answer:?}");
    }
    let answer = ask_kind(&client, address, "no-such-kind").await.expect("an answer");
    assert!(answer.text.contains("\"unknown_kind\""), "{answer:?}");

    let review = ["workspace=\"aqaba-port\"", "kind=\"splice-review\"", "rank=\"urgent\""];
    let outcome = |text: &str, kind: &str, outcome: &str| {
        let labels = [format!("kind=\"{kind}\""), format!("outcome=\"{outcome}\"")];
        value(text, "cicadastall_outcomes_total", &labels.each_ref().map(String::as_str))
    };
    let end = Instant::now() + READY_TIMEOUT;
    let text = loop {
        let text = read(&client, operator).await;
        if outcome(&text, "splice-review", "hung_up") > 0.0 || Instant::now() > end {
            break text;
        }
        sleep(Duration::from_millis(20)).await;
    };
    let histogram = |name: &str, part: &str| {
        value(&text, &format!("cicadastall_{name}_milliseconds_{part}"), &review)
    };
    assert_eq!(histogram("queue_wait", "count"), 4.0);
    assert_eq!(histogram("first_token", "count"), 4.0);
    assert_eq!(histogram("whole_answer", "count"), 3.0);
    assert!(histogram("queue_wait", "sum") < histogram("first_token", "sum"));
    assert!(histogram("whole_answer", "sum") > 3.0 * 390.0, "40 tokens take 390 ms");
    assert_eq!(outcome(&text, "splice-review", "answered"), 3.0);
    assert_eq!(outcome(&text, "splice-review", "hung_up"), 1.0);
    assert_eq!(outcome(&text, "tuck-query", "no_upstream"), 2.0);
    assert_eq!(outcome(&text, "tuck-query", "answered"), 0.0);
    let early = |code: &str| value(&text, "cicadastall_early_refusals_total", &[code]);
    assert_eq!(early("code=\"unknown_kind\""), 1.0);
    assert_eq!(early("code=\"bad_request\""), 0.0);
}
