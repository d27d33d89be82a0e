//! Log line and metrics of one request.
//!
//! Each request is logged in one line at its end, with its attempts. Lines about requests that met
//! their targets are limited to a rate; all others, and those about resumed streams, are written.

use crate::{
    answer::Ran,
    clock::millis,
    gateway::{
        decision::{call::RoutedCall, choice::ChoiceBasis},
        edge::outcome::Verdict,
        request::context::{EntryContext, InFlightGuard},
    },
    logs::LineLimiter,
    name::SoftwareVersion,
};
use serde::Serialize;
use smallvec::SmallVec;
use std::{sync::Arc, time::Duration};
use tokio::time::Instant;

/// Lines about requests that met their targets.
static SUCCESS_LINES: LineLimiter = LineLimiter::new(4);

/// One attempt in the log line of its request.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct AttemptEntry {
    /// Name of the upstream, or address of the other entry.
    pub(crate) to: String,
    /// Version of the upstream's software, if it is known.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) software: Option<SoftwareVersion>,
    /// Verdict on how the attempt ended.
    pub(crate) verdict: &'static str,
    /// Why the attempt has no answer; empty otherwise.
    #[serde(skip_serializing_if = "String::is_empty")]
    pub(crate) cause: String,
    /// Limit that the upstream named in its answer, in requests per second.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) limit_per_s: Option<f64>,
    /// Estimates on which the choice of the target was based.
    #[serde(flatten)]
    pub(crate) basis: ChoiceBasis,
    /// Duration of the attempt until its end or the start of its answer, in milliseconds.
    pub(crate) took_ms: u64,
}

/// How a request to resume a stream ended, apart from its outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum TakeUpResult {
    /// The caller received further events.
    Continued,
    /// It is not known which software version began the stream.
    VersionUnknown,
    /// No upstream of the version that began the stream serves.
    VersionGone,
    /// The route no longer has the pool that began the stream.
    PoolGone,
}

impl TakeUpResult {
    /// Value of the result in logs and metrics.
    fn name(self) -> &'static str {
        match self {
            Self::Continued => "continued",
            Self::VersionUnknown => "version_unknown",
            Self::VersionGone => "version_gone",
            Self::PoolGone => "pool_gone",
        }
    }
}

/// Progress of one request, logged and counted when the record is dropped.
#[derive(Debug)]
pub(crate) struct CallRecord {
    context: Arc<EntryContext>,
    call: Arc<RoutedCall>,
    document: u64,
    attempts: SmallVec<[AttemptEntry; 2]>,
    first_byte_at: Option<Instant>,
    last_data_at: Option<Instant>,
    longest_pause: Duration,
    status: u16,
    ran: Ran,
    take_up: Option<TakeUpResult>,
    outcome: &'static str,
    reason: String,
    /// None for a record whose attempts another one takes over.
    in_flight: Option<InFlightGuard>,
}

impl CallRecord {
    pub(crate) fn new(context: Arc<EntryContext>, call: Arc<RoutedCall>, document: u64) -> Self {
        Self {
            in_flight: Some(context.count_in_flight()),
            context,
            call,
            document,
            attempts: SmallVec::new(),
            first_byte_at: None,
            last_data_at: None,
            longest_pause: Duration::ZERO,
            status: 0,
            ran: Ran::No,
            take_up: None,
            outcome: "caller_left",
            reason: String::new(),
        }
    }

    /// Empty record of the same request, which is neither logged nor counted.
    pub(crate) fn fork(&self) -> Self {
        let mut record =
            Self::new(Arc::clone(&self.context), Arc::clone(&self.call), self.document);
        record.in_flight = None;
        record
    }

    /// Takes over the attempts of a fork.
    pub(crate) fn merge(&mut self, mut fork: Self) {
        self.attempts.append(&mut fork.attempts);
    }

    pub(crate) fn record_attempt(&mut self, entry: AttemptEntry) {
        self.context.metrics.count_attempt(&self.call.pool, entry.verdict);
        self.attempts.push(entry);
    }

    pub(crate) fn record_first_byte(&mut self, status: u16, now: Instant) {
        self.status = status;
        self.first_byte_at = Some(now);
    }

    /// Records that data of a stream was forwarded.
    pub(crate) fn record_data(&mut self, now: Instant) {
        if let Some(before) = self.last_data_at.replace(now) {
            self.longest_pause = self.longest_pause.max(now - before);
        }
    }

    pub(crate) fn set_ran(&mut self, ran: Ran) {
        self.ran = ran;
    }

    /// Records the result of a request to resume a stream. The first one counts, as a caller that has
    /// received further events can resume after those.
    pub(crate) fn set_take_up(&mut self, result: TakeUpResult) {
        self.take_up.get_or_insert(result);
    }

    pub(crate) fn end(&mut self, outcome: &'static str, status: u16, reason: impl Into<String>) {
        self.outcome = outcome;
        self.status = status;
        self.reason = reason.into();
    }

    /// Value of the log key `ran`: whether an upstream ran the request, as far as this entry knows.
    fn ran_value(&self) -> &'static str {
        match (self.outcome, self.ran) {
            ("answered" | "cut" | "upstream_failed", _) => "yes",
            ("refused", Ran::No) => "no",
            _ => "unknown",
        }
    }

    /// Whether the request was answered on time by its first attempt.
    fn met_targets(&self, whole_ms: u64) -> bool {
        let first_ms = self.first_byte_at.map_or(whole_ms, |at| millis(at - self.call.received_at));
        let pause_ms = millis(self.longest_pause);
        let steady = self.call.route.longest_pause_ms.is_none_or(|longest| pause_ms <= longest);
        let on_time = first_ms <= self.call.route.target_ms && steady;
        self.outcome == "answered" && on_time && self.attempts.len() == 1
    }
}

impl Drop for CallRecord {
    fn drop(&mut self) {
        if self.in_flight.is_none() {
            return;
        }
        let now = Instant::now();
        let whole = now - self.call.received_at;
        let first = self.first_byte_at.map(|at| at - self.call.received_at);
        let route = &self.call.route;
        let pause = self.last_data_at.map(|_| self.longest_pause);
        self.context.metrics.record_request(&route.name, self.outcome, first, pause, whole);
        let workspace = self.call.workspace.as_ref().map(|workspace| &workspace.name);
        if let Some(workspace) = workspace {
            self.context.metrics.count_workspace_outcome(workspace, self.outcome);
        }
        let take_up = self.call.is_take_up();
        let result = self.take_up.map_or(self.outcome, TakeUpResult::name);
        if take_up && !self.call.hopped {
            self.context.metrics.count_take_up(&self.call.pool, result);
        }
        if !take_up && self.met_targets(millis(whole)) && !SUCCESS_LINES.take() {
            return;
        }
        let head = &self.call.head;
        let last_event = head.resume_after.as_deref().unwrap_or_default();
        let resumes = head.resumes.as_ref().map_or("", |began| began.as_str());
        let take_up = if take_up { result } else { "" };
        let attempts = serde_json::to_string(&self.attempts).unwrap_or_default();
        let parts = self.call.head.describe_shared();
        log::info!(
            request = self.call.attempt.as_str(), route = &*route.name,
            workspace = workspace.map_or("", |workspace| workspace.as_str()),
            pool = self.call.pool.as_str(), document = self.document, rank = self.call.rank(),
            hopped = self.call.hopped, outcome = self.outcome, status = self.status,
            ran = self.ran_value(), reason = self.reason.as_str(), attempts = attempts.as_str(),
            parts = parts.as_str(), take_up, resumes, last_event,
            first_ms = first.map_or(0, millis), pause_ms = millis(self.longest_pause), whole_ms = millis(whole),
            allowed_ms = millis(self.call.deadline - self.call.received_at);
            "request ended"
        );
    }
}

/// Value of a verdict in logs and metrics.
pub(crate) fn verdict_name(verdict: Verdict) -> &'static str {
    match verdict {
        Verdict::Answer => "answer",
        Verdict::Failure => "failure",
        Verdict::NotRun => "not_run",
        Verdict::Unknown => "unknown",
    }
}
