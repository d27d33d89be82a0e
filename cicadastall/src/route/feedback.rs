//! Feedback to the router: the course of attempts, and new settings.

use super::{
    RequestRouter, UpstreamChoice,
    topology::FleetTopology,
    tracker::{SendTicket, SentAttempt},
};
use crate::{
    answer::Ran,
    decode::RequestPlan,
    name::{UpstreamName, ZoneName},
    prefix::PromptShape,
    retry::is_retryable,
    settings::{Rank, SettingsSnapshot},
};
use tokio::time::Instant;

/// Weight of one request in the moving average of the answer length.
const MEAN_ANSWER_TOKENS_WEIGHT: f64 = 0.02;

impl RequestRouter {
    /// Updates the topology against which claims of other instances are checked.
    pub fn apply_settings(&mut self, snapshot: &SettingsSnapshot) {
        if self.topology.revision != snapshot.revision {
            self.topology = FleetTopology::from_snapshot(snapshot);
        }
    }

    /// Records the first attempt of a request at an upstream, on which the retry budget is based.
    pub fn record_first_attempt(&mut self, plan: &RequestPlan) {
        self.retries.record_first_attempt(&plan.pool);
    }

    /// Records that an attempt was sent to the selected upstream; the ticket identifies the attempt
    /// in later calls.
    pub fn record_sent(
        &mut self,
        choice: &UpstreamChoice,
        plan: &RequestPlan,
        shape: &PromptShape,
        now: Instant,
    ) -> SendTicket {
        self.sent_attempts += 1;
        self.mean_answer_tokens +=
            MEAN_ANSWER_TOKENS_WEIGHT * (f64::from(shape.answer_tokens) - self.mean_answer_tokens);
        let prediction = choice.prediction;
        self.controller.record_sent(plan, prediction.work(), now);
        let upstream = &choice.view.record.name;
        let tracker = self.trackers.entry(upstream.clone()).or_default();
        tracker.prefix.add_sent_blocks(shape);
        tracker.attempts.push(SentAttempt {
            number: self.sent_attempts,
            sent_at: now,
            uncached_tokens: prediction.uncached_tokens,
            urgent: plan.rank == Rank::Urgent,
            fingerprint: shape.fingerprint,
            predicted: Some(prediction.first_token),
        });
        SendTicket { upstream: upstream.clone(), number: self.sent_attempts }
    }

    /// Records that the first token of an attempt arrived.
    pub fn record_first_token(&mut self, ticket: &SendTicket, now: Instant) {
        if let Some(tracker) = self.trackers.get_mut(&ticket.upstream) {
            tracker.record_first_token(ticket.number, now);
        }
    }

    /// Records that an attempt ended.
    pub fn record_ended(&mut self, ticket: &SendTicket) {
        if let Some(tracker) = self.trackers.get_mut(&ticket.upstream) {
            tracker.record_ended(ticket.number);
        }
    }

    /// Whether the request may be attempted again; if so, takes one retry from the budget of its
    /// pool.
    pub fn take_retry(&mut self, plan: &RequestPlan, ran: Ran, attempts: u32) -> bool {
        is_retryable(plan, ran, attempts) && self.retries.take_retry(&plan.pool)
    }

    /// Records that an attempt failed, and quarantines the upstream.
    pub fn record_failure(&mut self, upstream: &UpstreamName, now: Instant) {
        self.trackers.entry(upstream.clone()).or_default().record_failure(now);
    }

    /// Records that a request forwarded to `zone` was returned without a result.
    pub fn record_returned(&mut self, zone: &ZoneName, plan: &RequestPlan, now: Instant) {
        self.forwards.record_returned(zone, plan, now);
    }
}
