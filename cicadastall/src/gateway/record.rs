//! What is logged and counted about one request.
//!
//! Each request leaves one line at its end, with its attempts. Lines about requests that went well
//! are thinned out under load; all others are written.

use crate::{
    answer::Ran,
    clock::millis,
    gateway::{
        call::RoutedCall,
        choice::ChoiceBasis,
        context::{EntryContext, FlightGuard},
        outcome::Verdict,
    },
};
use serde::Serialize;
use smallvec::SmallVec;
use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::time::Instant;

/// Lines a second about requests that went well, for each process.
const GOOD_LINES_PER_S: u64 = 4;

static GOOD_SECOND: AtomicU64 = AtomicU64::new(0);
static GOOD_LINES: AtomicU64 = AtomicU64::new(0);

/// One attempt, for the request's line.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct AttemptNote {
    /// Upstream, or entry of another region.
    pub(crate) to: String,
    /// What its end meant.
    pub(crate) verdict: &'static str,
    /// Cause, where it has no answer.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub(crate) cause: String,
    /// What decided for it.
    #[serde(flatten)]
    pub(crate) basis: ChoiceBasis,
    /// Time of the whole attempt, or until its answer began.
    pub(crate) took_ms: u64,
}

/// Story of one request; it is told when the value is dropped.
#[derive(Debug)]
pub(crate) struct CallRecord {
    context: Arc<EntryContext>,
    call: Arc<RoutedCall>,
    document: u64,
    attempts: SmallVec<[AttemptNote; 2]>,
    first_at: Option<Instant>,
    data_at: Option<Instant>,
    longest_pause: Duration,
    status: u16,
    ran: Ran,
    outcome: &'static str,
    reason: String,
    _flight: FlightGuard,
}

impl CallRecord {
    pub(crate) fn new(context: Arc<EntryContext>, call: Arc<RoutedCall>, document: u64) -> Self {
        Self {
            _flight: context.count_flight(),
            context,
            call,
            document,
            attempts: SmallVec::new(),
            first_at: None,
            data_at: None,
            longest_pause: Duration::ZERO,
            status: 0,
            ran: Ran::No,
            outcome: "caller_left",
            reason: String::new(),
        }
    }

    pub(crate) fn note_attempt(&mut self, note: AttemptNote) {
        self.context.metrics.count_attempt(&self.call.pool, note.verdict);
        self.attempts.push(note);
    }

    pub(crate) fn note_first(&mut self, status: u16, now: Instant) {
        self.status = status;
        self.first_at = Some(now);
    }

    /// Notes that a part of a stream was passed on.
    pub(crate) fn note_data(&mut self, now: Instant) {
        if let Some(before) = self.data_at.replace(now) {
            self.longest_pause = self.longest_pause.max(now - before);
        }
    }

    pub(crate) fn note_ran(&mut self, ran: Ran) {
        self.ran = ran;
    }

    pub(crate) fn end(&mut self, outcome: &'static str, status: u16, reason: impl Into<String>) {
        self.outcome = outcome;
        self.status = status;
        self.reason = reason.into();
    }

    /// Whether an upstream ran the request, as far as this entry knows.
    fn describe_ran(&self) -> &'static str {
        match (self.outcome, self.ran) {
            ("answered" | "cut" | "upstream_failed", _) => "yes",
            ("refused", Ran::No) => "no",
            _ => "unknown",
        }
    }

    fn is_good(&self, whole_ms: u64) -> bool {
        let first_ms = self.first_at.map_or(whole_ms, |at| millis(at - self.call.arrived));
        let pause_ms = millis(self.longest_pause);
        let steady = self.call.route.longest_pause_ms.is_none_or(|longest| pause_ms <= longest);
        let on_time = first_ms <= self.call.route.target_ms && steady;
        self.outcome == "answered" && on_time && self.attempts.len() == 1
    }
}

impl Drop for CallRecord {
    fn drop(&mut self) {
        let now = Instant::now();
        let whole = now - self.call.arrived;
        let first = self.first_at.map(|at| at - self.call.arrived);
        let route = &self.call.route;
        let pause = self.data_at.map(|_| self.longest_pause);
        self.context.metrics.record_end(&route.name, self.outcome, first, pause, whole);
        if self.is_good(millis(whole)) && !take_good_line() {
            return;
        }
        let attempts = serde_json::to_string(&self.attempts).unwrap_or_default();
        log::info!(
            request = self.call.attempt.as_str(), route = &*route.name,
            pool = self.call.pool.as_str(), document = self.document, rank = route.rank,
            hopped = self.call.hopped, outcome = self.outcome, status = self.status,
            ran = self.describe_ran(), reason = self.reason.as_str(), attempts = attempts.as_str(),
            first_ms = first.map_or(0, millis), pause_ms = millis(self.longest_pause), whole_ms = millis(whole),
            allowed_ms = millis(self.call.deadline - self.call.arrived);
            "request ended"
        );
    }
}

/// Whether another line about a request that went well may be written in this second.
fn take_good_line() -> bool {
    let second = crate::clock::unix_ms() / 1_000;
    if GOOD_SECOND.swap(second, Ordering::Relaxed) != second {
        GOOD_LINES.store(0, Ordering::Relaxed);
    }
    GOOD_LINES.fetch_add(1, Ordering::Relaxed) < GOOD_LINES_PER_S
}

/// Name of a verdict in logs and metrics.
pub(crate) fn name_verdict(verdict: Verdict) -> &'static str {
    match verdict {
        Verdict::Answer => "answer",
        Verdict::Failure => "failure",
        Verdict::NotRun => "not_run",
        Verdict::Unknown => "unknown",
    }
}
