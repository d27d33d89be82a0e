//! Directives for constant load from callers that use the list of entries.

use super::fleet::{Fleet, RETRY_INTERVAL, WAIT_TIMEOUT};
use crate::zone::Caller;
use datadriven::TestCase;
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

/// Running callers of a scenario.
#[derive(Debug, Default)]
pub struct LoadCallers {
    stop: Arc<AtomicBool>,
    callers: JoinSet<CallerReport>,
    answered: Vec<Arc<AtomicU32>>,
}

/// Counts of the outcomes that one caller got.
#[derive(Debug, Default)]
struct CallerReport {
    answered: u32,
    failures: Vec<String>,
}

async fn run_caller(
    entry: SocketAddr,
    stop: Arc<AtomicBool>,
    answered: Arc<AtomicU32>,
) -> CallerReport {
    let mut caller = Caller::new(entry).await;
    let mut report = CallerReport::default();
    while !stop.load(Ordering::Relaxed) {
        match caller.ask().await {
            Ok(()) => {
                report.answered += 1;
                answered.store(report.answered, Ordering::Relaxed);
            }
            Err(failure) => report.failures.push(failure),
        }
    }
    report
}

/// `load`: starts callers that get the list of entries from the entry `via`.
pub fn start_load(fleet: &mut Fleet, case: &mut TestCase) -> String {
    let via = super::take_required(case, "via");
    let count: u32 = case.take_arg("callers").expect("callers=N");
    let entry = fleet.address(&via);
    for _ in 0..count {
        let stop = Arc::clone(&fleet.load.stop);
        let answered = Arc::new(AtomicU32::new(0));
        fleet.load.answered.push(Arc::clone(&answered));
        fleet.load.callers.spawn(run_caller(entry, stop, answered));
    }
    "started".to_owned()
}

/// `answered`: waits until each caller got `each` more answers.
pub async fn wait_answered(fleet: &Fleet, case: &mut TestCase) -> String {
    let each: u32 = case.take_arg("each").expect("each=N");
    let read = || fleet.load.answered.iter().map(|answered| answered.load(Ordering::Relaxed));
    let before: Vec<_> = read().collect();
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        let minimum =
            read().zip(&before).map(|(now, before)| now - before).min().unwrap_or_default();
        if minimum >= each || Instant::now() > deadline {
            return format!("each caller got {} more answers", minimum.min(each));
        }
        sleep(RETRY_INTERVAL).await;
    }
}

/// `load-end`: ends the callers and summarizes the outcomes.
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
