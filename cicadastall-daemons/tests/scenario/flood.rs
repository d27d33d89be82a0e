//! Directives for floods: callers of one workspace that ignore `Retry-After`.

use super::{
    caller::{CallerOutcome, CallerRequest, send},
    fleet::{Fleet, RETRY_INTERVAL, WAIT_TIMEOUT},
    take_request, take_required,
};
use cicadastall::{answer::Ran, http::client};
use datadriven::TestCase;
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Duration,
};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

/// Longest time until a refusal: a tenth of the deadline of the requests in a flood.
const MAX_REFUSAL_TIME: Duration = Duration::from_secs(1);

/// Part of the client error for a failed connection, after which no request was sent.
const CONNECT_ERROR: &str = "(Connect)";

/// Running callers of a flood.
#[derive(Debug, Default)]
pub struct FloodCallers {
    stop: Arc<AtomicBool>,
    refusals: Arc<AtomicU32>,
    callers: JoinSet<FloodReport>,
}

/// Counts of the outcomes that one caller of a flood got.
#[derive(Debug, Default)]
struct FloodReport {
    answered: u32,
    refused: u32,
    slowest_refusal: Duration,
    /// Failed connections to the link proxy, which belongs to the test and not to the system.
    unconnected: u32,
    /// Outcomes other than a complete answer or a refusal with `ran=no` and `Retry-After`.
    failures: Vec<String>,
}

impl FloodReport {
    fn note(&mut self, outcome: &CallerOutcome, elapsed: Duration) {
        match outcome {
            CallerOutcome::Whole { .. } => self.answered += 1,
            CallerOutcome::Refused(refusal, true) if refusal.ran == Ran::No => {
                self.refused += 1;
                self.slowest_refusal = self.slowest_refusal.max(elapsed);
            }
            CallerOutcome::NoAnswer(text) if text.contains(CONNECT_ERROR) => self.unconnected += 1,
            other => self.failures.push(other.to_string()),
        }
    }
}

async fn run_flood_caller(
    entry: SocketAddr,
    request: CallerRequest,
    stop: Arc<AtomicBool>,
    refusals: Arc<AtomicU32>,
) -> FloodReport {
    let client = client(1);
    let mut report = FloodReport::default();
    for number in 0.. {
        if stop.load(Ordering::Relaxed) {
            break;
        }
        let id = format!("{}-{number}", request.id);
        let request = CallerRequest { prompt: id.clone(), id, ..request.clone() };
        let sent = Instant::now();
        let outcome = send(&client, entry, &request).await;
        report.note(&outcome, sent.elapsed());
        if let CallerOutcome::Refused(..) = outcome {
            refusals.fetch_add(1, Ordering::Relaxed);
            sleep(RETRY_INTERVAL).await;
        }
    }
    report
}

/// `flood`: starts callers of one workspace and kind; waits until `refusals` requests were refused.
pub async fn start_flood(fleet: &mut Fleet, case: &mut TestCase) -> String {
    let entry = fleet.address(&take_required(case, "via"));
    let callers: u32 = case.take_arg("callers").expect("callers=N");
    let minimum: u32 = case.take_arg("refusals").expect("refusals=N");
    let request = take_request(fleet, case);
    for number in 0..callers {
        let id = format!("{}-{number}", request.id);
        let request = CallerRequest { id, ..request.clone() };
        let (stop, refusals) = (Arc::clone(&fleet.flood.stop), Arc::clone(&fleet.flood.refusals));
        fleet.flood.callers.spawn(run_flood_caller(entry, request, stop, refusals));
    }
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while fleet.flood.refusals.load(Ordering::Relaxed) < minimum {
        if Instant::now() > deadline {
            return "NO FLOOD: too little is refused".to_owned();
        }
        sleep(RETRY_INTERVAL).await;
    }
    format!("at least {minimum} refused")
}

/// `flood-end`: ends the flood and summarizes the outcomes.
pub async fn end_flood(fleet: &mut Fleet) -> String {
    let flood = std::mem::take(&mut fleet.flood);
    flood.stop.store(true, Ordering::Relaxed);
    let reports = flood.callers.join_all().await;
    let answered: u32 = reports.iter().map(|report| report.answered).sum();
    let refused: u32 = reports.iter().map(|report| report.refused).sum();
    let unconnected: u32 = reports.iter().map(|report| report.unconnected).sum();
    let slowest = reports.iter().map(|report| report.slowest_refusal).max().unwrap_or_default();
    eprintln!(
        "flood: {answered} answered, {refused} refused, the slowest after {slowest:?}, \
         {unconnected} times no connection"
    );
    let failures: Vec<_> = reports.iter().flat_map(|report| &report.failures).collect();
    match failures.first() {
        Some(first) => format!("{} REQUESTS FAILED, the first: {first}", failures.len()),
        None if answered == 0 => "NOTHING OF THE FLOOD WAS ANSWERED".to_owned(),
        None if slowest > MAX_REFUSAL_TIME => format!("REFUSED AFTER {slowest:?}"),
        None => format!(
            "answered or refused within {MAX_REFUSAL_TIME:?}, not run and told when to come back"
        ),
    }
}

/// `calls`: sends `count` requests one at a time and counts the complete answers; without
/// `come-back-ms` only first attempts count, with it refused requests are retried for that time as
/// `Retry-After` says.
pub async fn call_many(fleet: &Fleet, case: &mut TestCase) -> String {
    let via = take_required(case, "via");
    let count: u32 = case.take_arg("count").expect("count=N");
    let bound: u64 = case.try_take_arg("come-back-ms").expect("come-back-ms=N").unwrap_or(0);
    let request = take_request(fleet, case);
    let mut others = Vec::new();
    for number in 0..count {
        let id = format!("{}-{number}", request.id);
        let request = CallerRequest { prompt: id.clone(), id, ..request.clone() };
        match call_with_retries(fleet, &via, &request, Duration::from_millis(bound)).await {
            CallerOutcome::Whole { .. } => {}
            other => others.push(format!("\n{other}")),
        }
    }
    format!("{} of {count} whole{}", count as usize - others.len(), others.concat())
}

/// Sends one request and retries it after each pause from a refusal that ends within `bound`.
async fn call_with_retries(
    fleet: &Fleet,
    via: &str,
    request: &CallerRequest,
    bound: Duration,
) -> CallerOutcome {
    let deadline = Instant::now() + bound;
    loop {
        let outcome = fleet.call(via, request, None).await;
        let CallerOutcome::Refused(refusal, true) = &outcome else { return outcome };
        let pause = Duration::from_millis(refusal.retry_after_ms.unwrap_or_default());
        if refusal.ran != Ran::No || Instant::now() + pause > deadline {
            return outcome;
        }
        eprintln!("{}: told to come back after {pause:?}", request.id);
        sleep(pause).await;
    }
}
