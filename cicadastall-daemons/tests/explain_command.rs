//! The operator command `explain`: the routing decisions on a request and the record of an upstream.

mod common;
mod zone;

use cicadastall::http::client;
use common::Process;
use serde_json::Value;
use std::{
    process::{Command, Output},
    time::Duration,
};
use tokio::time::{Instant, sleep};
use zone::{Zone, ask, start_engine};

/// Timeout of the wait until the entry answers requests.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

fn explain(entry: &Process, arguments: &[&str]) -> Output {
    let address = entry.address("operator").to_string();
    let command = ["explain", "--entry", &address];
    let mut run = Command::new(env!("CARGO_BIN_EXE_cicadastall"));
    run.args(command).args(arguments).output().expect("run the command line")
}

fn text(output: &Output) -> String {
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    String::from_utf8_lossy(&output.stdout).into_owned()
}

/// Columns of the line that starts with `name`.
fn row(text: &str, name: &str) -> Vec<String> {
    let line = text.lines().find(|line| line.starts_with(name));
    line.unwrap_or_else(|| panic!("no row {name}: {text}"))
        .split_whitespace()
        .map(str::to_owned)
        .collect()
}

/// Sends requests until one is answered; returns its id.
async fn ask_until_served(entry: &Process) -> String {
    let end = Instant::now() + READY_TIMEOUT;
    loop {
        let answer = ask(&client(0), entry.address("caller")).await.expect("an answer");
        if let Some(event) =
            answer.text.strip_prefix("data: {").filter(|_| answer.status.is_success())
        {
            let event = format!("{{{}", event.lines().next().expect("a line"));
            let chunk: Value = serde_json::from_str(&event).expect("a chunk");
            return chunk["id"].as_str().expect("a name").to_owned();
        }
        assert!(Instant::now() < end, "{answer:?}");
        sleep(Duration::from_millis(50)).await;
    }
}

#[tokio::test]
async fn a_request_and_an_upstream_are_explained() {
    let zone = Zone::start("explain");
    let entry = zone.start_entry("aqaba-1", &[]);
    let address = entry.address("caller");
    let _engine = start_engine("aqaba-m1", address, &[], &["--tokens", "5"]);
    let other = ["engine", "--model", "tuck-3b"].map(str::to_owned);
    let arguments = common::standin_arguments("aqaba-m2", "aqaba", "verdicts", address);
    let _other = Process::start(common::STANDIN, &[arguments, other.to_vec()].concat());
    let request = ask_until_served(&entry).await;
    let end = Instant::now() + READY_TIMEOUT;
    while explain(&entry, &["--upstream", "aqaba-m2"]).status.code() != Some(0) {
        assert!(Instant::now() < end, "the entry does not know the second engine");
        sleep(Duration::from_millis(50)).await;
    }
    let later = ask_until_served(&entry).await;
    assert_ne!(request, later);

    let table = text(&explain(&entry, &[&later]));
    let decision = row(&table, &later);
    assert_eq!(decision[1..5], ["aqaba-port", "splice-review", "urgent", "1"], "{table}");
    assert_eq!(decision[decision.len() - 2..], ["upstream", "aqaba-m1"], "{table}");
    let candidate = row(&table, "aqaba-m1");
    assert!(candidate[1].parse::<f64>().is_ok() && candidate[4] == "-", "{table}");
    assert_eq!(row(&table, "aqaba-m2"), ["aqaba-m2", "-", "-", "-", "model"], "{table}");
    let json: Value =
        serde_json::from_str(&text(&explain(&entry, &["--json", &later]))).expect("JSON");
    assert_eq!(json[0]["outcome"]["upstream"]["upstream"], "aqaba-m1", "{json}");

    let table = text(&explain(&entry, &["--upstream", "aqaba-m1"]));
    let upstream = row(&table, "aqaba-m1");
    assert_eq!(upstream[1..5], ["aqaba-a", "verdicts", "splice-7b", "serving"], "{table}");
    assert_eq!(upstream.last().map(String::as_str), Some("yes"), "{table}");
    for unknown in [vec!["no-such-request"], vec!["--upstream", "no-such-upstream"]] {
        assert_eq!(explain(&entry, &unknown).status.code(), Some(5), "{unknown:?}");
    }
}

#[tokio::test]
async fn an_upstream_that_is_not_used_has_a_reason() {
    let zone = Zone::start("unused");
    let entry = zone.start_entry("aqaba-1", &[]);
    let role = ["--tokens", "3000", "--token-ms", "10"];
    let engine = start_engine("aqaba-m1", entry.address("caller"), &[], &role);
    let used = |expected: &str| {
        let output = explain(&entry, &["--upstream", "aqaba-m1"]);
        output.status.success() && row(&text(&output), "aqaba-m1").last().unwrap() == expected
    };
    let wait = async |expected: &str| {
        let end = Instant::now() + READY_TIMEOUT;
        while !used(expected) {
            assert!(Instant::now() < end, "USED is not {expected}");
            sleep(Duration::from_millis(20)).await;
        }
    };
    wait("yes").await;
    drop(engine);
    wait("silent").await;
}
