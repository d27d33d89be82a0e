//! Cases of the review that need separate processes: `case NAME RECORD`. Exits with 1 if the rule was
//! broken, 0 if it held, and 2 if the case couldn't run. With `TROUBLE=0` there is no disruption.

mod fleet;
mod heartbeat;
mod http;
mod left_worker;
mod lost_disk;
mod operator;
mod own_failure;
mod record;
mod worker;

use record::Record;
use std::time::{Duration, Instant};

/// What a case found.
pub enum Finding {
    Broken(String),
    Held(String),
    NotRun(String),
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = &arguments[..] else {
        eprintln!("case NAME RECORD");
        std::process::exit(2);
    };
    let record = Record::create(path);
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    record.line(&format!("case {case}, with the disruption: {trouble}"));
    let finding = match case.as_str() {
        "lost-disk" => lost_disk::run(&record, trouble),
        "heartbeat" => heartbeat::run(&record, trouble),
        "own-failure" => own_failure::run(&record, trouble),
        "left-worker" => left_worker::run(&record, trouble),
        _ => Finding::NotRun("no such case".to_owned()),
    };
    let (text, code) = match finding {
        Finding::Broken(text) => (format!("BROKEN: {text}"), 1),
        Finding::Held(text) => (format!("held: {text}"), 0),
        Finding::NotRun(text) => (format!("could not run: {text}"), 2),
    };
    record.line(&text);
    println!("{text}");
    std::process::exit(code);
}

/// Sleeps until `at`.
pub fn sleep_until(at: Instant) {
    std::thread::sleep(at.saturating_duration_since(Instant::now()));
}

pub const fn seconds(value: f64) -> Duration {
    Duration::from_millis((value * 1_000.0) as u64)
}
