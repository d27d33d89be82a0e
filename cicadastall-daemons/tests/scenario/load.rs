//! Callers that follow the listing of entries and ask without pause.

use super::fleet::Fleet;
use crate::zone::Caller;
use datadriven::TestCase;
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};
use tokio::task::JoinSet;

/// Callers that run until the scenario ends them.
#[derive(Debug, Default)]
pub struct LoadCallers {
    stop: Arc<AtomicBool>,
    callers: JoinSet<CallerReport>,
}

/// What one caller saw.
#[derive(Debug, Default)]
struct CallerReport {
    answered: u32,
    failures: Vec<String>,
}

async fn ask_on(entry: SocketAddr, stop: Arc<AtomicBool>) -> CallerReport {
    let mut caller = Caller::new(entry).await;
    let mut report = CallerReport::default();
    while !stop.load(Ordering::Relaxed) {
        match caller.ask().await {
            Ok(()) => report.answered += 1,
            Err(failure) => report.failures.push(failure),
        }
    }
    report
}

/// `load`: starts callers that learn of the entries from the one at `via`.
pub fn start_load(fleet: &mut Fleet, case: &mut TestCase) -> String {
    let via = super::take(case, "via");
    let count: u32 = case.take_arg("callers").expect("callers=N");
    let entry = fleet.address(&via);
    for _ in 0..count {
        let stop = Arc::clone(&fleet.load.stop);
        fleet.load.callers.spawn(ask_on(entry, stop));
    }
    "started".to_owned()
}

/// `load-end`: ends the callers and sums up what they saw.
pub async fn end_load(fleet: &mut Fleet) -> String {
    let load = std::mem::take(&mut fleet.load);
    load.stop.store(true, Ordering::Relaxed);
    let reports = load.callers.join_all().await;
    let idle = reports.iter().filter(|report| report.answered == 0).count();
    let failures: Vec<_> = reports.iter().flat_map(|report| &report.failures).collect();
    match failures.first() {
        None if idle == 0 => "every caller was answered, no request failed".to_owned(),
        None => format!("{idle} CALLERS WITHOUT ANY ANSWER"),
        Some(first) => format!("{} REQUESTS FAILED, the first: {first}", failures.len()),
    }
}
