//! Scripts of the second review: each starts the project's programs, plays a load with or without one
//! disruption, and judges one rule by what callers, servers and the platform have seen.
//!
//! `driver CASE RECORD`; with `TROUBLE=0` in the environment without the disruption. Exits with 1 if the
//! rule was broken, 0 if it held, and 2 if the case could not run.

mod fleet;
mod http;
mod record;
mod worker;

mod cold_restart;
mod crash_after_begin;
mod hop_runs;
mod replaced_core;
mod upload_burst;

use record::Record;
use std::{process::exit, sync::Arc, thread, time::Duration};

/// Longest time of a script.
const LONGEST: Duration = Duration::from_secs(110);

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = &arguments[..] else {
        eprintln!("usage: driver CASE RECORD");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Arc::new(Record::new(path));
    record
        .line(&format!("case {case}, {} the disruption", if trouble { "with" } else { "without" }));
    thread::spawn(|| {
        thread::sleep(LONGEST);
        fleet::give_up("the script takes too long");
    });
    let result = std::panic::catch_unwind(|| match case.as_str() {
        "upload-burst" => upload_burst::run(&record, trouble),
        "cold-restart" => cold_restart::run(&record, trouble),
        "crash-after-begin" => crash_after_begin::run(&record, trouble),
        "hop-runs" => hop_runs::run(&record, trouble),
        "replaced-core" => replaced_core::run(&record, trouble),
        _ => {
            eprintln!("no such case: {case}");
            exit(2);
        }
    });
    let Ok(broken) = result else { fleet::give_up("the script failed") };
    record.line(if broken { "the rule was broken" } else { "the rule held" });
    exit(i32::from(broken));
}
