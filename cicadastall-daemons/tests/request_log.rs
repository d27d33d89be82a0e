//! The log of an entry has one line per ended request, with identifiers, outcome and times.

mod common;
mod zone;

use cicadastall::http::client;
use serde_json::Value;
use std::{path::Path, time::Duration};
use tokio::time::{Instant, sleep};
use zone::{Zone, ask, ask_kind, start_engine};

/// Timeout of the wait until the entry answers requests.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// "request ended" lines for requests of `kind` with `outcome`.
fn ends(log: &Path, kind: &str, outcome: &str) -> Vec<Value> {
    let text = std::fs::read_to_string(log).expect("the log");
    let lines = text.lines().map(|line| serde_json::from_str::<Value>(line).expect("JSON"));
    lines
        .filter(|line| line["message"] == "request ended")
        .filter(|line| line["kind"] == kind && line["outcome"] == outcome)
        .collect()
}

#[tokio::test]
async fn the_end_of_each_request_is_one_line() {
    let zone = Zone::start("log");
    let (entry, log) = zone.start_logged_entry("aqaba-1");
    let address = entry.address("caller");
    let _engine = start_engine("aqaba-m1", address, &[], &["--tokens", "20", "--token-ms", "10"]);
    let client = client(1);
    let end = Instant::now() + READY_TIMEOUT;
    while !ask(&client, address).await.expect("an answer").status.is_success() {
        assert!(Instant::now() < end, "the entry does not serve within {READY_TIMEOUT:?}");
        sleep(Duration::from_millis(50)).await;
    }
    let answer = ask_kind(&client, address, "tuck-query").await.expect("an answer");
    assert!(answer.text.contains("\"no_upstream\""), "{answer:?}");

    let answered = ends(&log, "splice-review", "answered");
    assert_eq!(answered.len(), 1, "{answered:?}");
    let line = &answered[0];
    let request = line["request"].as_str().expect("a request");
    assert!(line["attempt"].as_str().is_some_and(|name| name.starts_with(request)), "{line}");
    for (field, expected) in [
        ("instance", "aqaba-1"),
        ("zone", "aqaba-a"),
        ("workspace", "aqaba-port"),
        ("region", "aqaba"),
        ("upstream", "aqaba-m1"),
    ] {
        assert_eq!(line[field], expected, "{line}");
    }
    let time = |field: &str| line[field].as_f64().expect("a time");
    assert!(time("queue_wait_ms") <= time("first_token_ms"), "{line}");
    assert!(time("first_token_ms") + 180.0 <= time("whole_ms"), "{line}");
    let refused = ends(&log, "tuck-query", "no_upstream");
    assert_eq!(refused.len(), 1, "{refused:?}");
    assert!(refused[0].get("attempt").is_none_or(Value::is_null), "{refused:?}");
}
