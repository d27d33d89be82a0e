//! Timing and outcome of one request, for the metrics and the log line at its end.

use crate::{
    answer::RefusalCode, clock::fractional_millis, decode::RequestPlan, entry::EntryContext,
    relay::AnswerSource, request_metrics::code_label,
};
use std::{
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::Duration,
};
use tokio::time::Instant;

/// Outcome of a request whose caller disconnected before the answer was complete.
const CALLER_DISCONNECTED: &str = "hung_up";

/// Timing and outcome of one planned request at this entry; the outcome is counted once.
#[derive(Debug)]
pub(crate) struct RequestTrace {
    context: Arc<EntryContext>,
    plan: Arc<RequestPlan>,
    arrived: Instant,
    attempts: AtomicU32,
    queue_wait: OnceLock<Duration>,
    first_token: OnceLock<Duration>,
    source: OnceLock<AnswerSource>,
    ended: AtomicBool,
}

impl RequestTrace {
    /// Trace of a request that arrived at `arrived` and has not been dispatched.
    pub(crate) fn new(
        context: Arc<EntryContext>,
        plan: Arc<RequestPlan>,
        arrived: Instant,
    ) -> Arc<Self> {
        Arc::new(Self {
            context,
            plan,
            arrived,
            attempts: AtomicU32::new(0),
            queue_wait: OnceLock::new(),
            first_token: OnceLock::new(),
            source: OnceLock::new(),
            ended: AtomicBool::new(false),
        })
    }

    /// Records that attempt `number` is sent; the first one ends the queue wait.
    pub(crate) fn record_dispatch(&self, number: u32) {
        self.attempts.store(number, Ordering::Relaxed);
        if self.queue_wait.set(self.arrived.elapsed()).is_ok() {
            self.context.metrics().record_queue_wait(&self.plan, self.arrived.elapsed());
        }
    }

    /// Records the arrival of the first token.
    pub(crate) fn record_first_token(&self) {
        if self.first_token.set(self.arrived.elapsed()).is_ok() {
            self.context.metrics().record_first_token(&self.plan, self.arrived.elapsed());
        }
    }

    /// Records the origin of the answer.
    pub(crate) fn record_source(&self, source: &AnswerSource) {
        let _ = self.source.set(source.clone());
    }

    /// Records that the request was answered completely.
    pub(crate) fn end_answered(&self) {
        if self.end("answered") {
            self.context.metrics().record_whole_answer(&self.plan, self.arrived.elapsed());
        }
    }

    /// Records that the request ended without a full result.
    pub(crate) fn end_refused(&self, code: RefusalCode) {
        self.end(&code_label(code));
    }

    fn end(&self, outcome: &str) -> bool {
        if self.ended.swap(true, Ordering::Relaxed) {
            return false;
        }
        self.context.metrics().count_outcome(&self.plan, outcome);
        self.log_end(outcome);
        true
    }

    fn log_end(&self, outcome: &str) {
        let plan = &self.plan;
        if !log::log_enabled!(log::Level::Debug) {
            return;
        }
        let attempts = self.attempts.load(Ordering::Relaxed);
        let attempt = (attempts > 0).then(|| format!("{}.{attempts}", plan.request));
        let source = self.source.get();
        log::debug!(
            request = plan.request.as_str(),
            attempt = attempt.as_deref(),
            workspace = plan.workspace.as_str(),
            kind = plan.kind.as_str(),
            outcome = outcome,
            region = source.map(|source| source.region.as_str()),
            upstream = source.and_then(|source| Some(source.upstream.as_ref()?.as_str())),
            queue_wait_ms = self.queue_wait.get().copied().map(fractional_millis),
            first_token_ms = self.first_token.get().copied().map(fractional_millis),
            whole_ms = fractional_millis(self.arrived.elapsed());
            "request ended"
        );
    }
}

impl Drop for RequestTrace {
    fn drop(&mut self) {
        self.end(CALLER_DISCONNECTED);
    }
}
