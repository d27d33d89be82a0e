//! What the router is told of the requests that were sent, and of new settings.

use super::{
    RequestRouter, UpstreamChoice,
    map::FleetMap,
    track::{SendTicket, SentAttempt},
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

/// Weight of one request in the mean length of answers.
const ANSWER_MEAN_WEIGHT: f64 = 0.02;

impl RequestRouter {
    /// Takes the settings against which claims of other instances are checked.
    pub fn note_settings(&mut self, snapshot: &SettingsSnapshot) {
        if self.map.revision != snapshot.revision {
            self.map = FleetMap::of(snapshot);
        }
    }

    /// Notes that a request was sent as chosen.
    pub fn note_sent(
        &mut self,
        choice: &UpstreamChoice,
        plan: &RequestPlan,
        shape: &PromptShape,
        now: Instant,
    ) -> SendTicket {
        self.sent += 1;
        self.retries.record_first_attempt(&plan.pool);
        self.mean_answer_tokens +=
            ANSWER_MEAN_WEIGHT * (f64::from(shape.answer_tokens) - self.mean_answer_tokens);
        let prediction = choice.prediction;
        self.gate.note_sent(plan, prediction.work(), now);
        let upstream = &choice.view.record.name;
        let track = self.tracks.entry(upstream.clone()).or_default();
        track.prefix.add_sent_blocks(shape);
        track.sends.push(SentAttempt {
            number: self.sent,
            sent_at: now,
            uncached_tokens: prediction.uncached_tokens,
            urgent: plan.rank == Rank::Urgent,
            fingerprint: shape.fingerprint,
            predicted: Some(prediction.first_token),
        });
        SendTicket { upstream: upstream.clone(), number: self.sent }
    }

    /// Notes that the first token of an attempt came.
    pub fn note_first_token(&mut self, ticket: &SendTicket, now: Instant) {
        if let Some(track) = self.tracks.get_mut(&ticket.upstream) {
            track.note_first_token(ticket.number, now);
        }
    }

    /// Notes that an attempt ended.
    pub fn note_ended(&mut self, ticket: &SendTicket) {
        if let Some(track) = self.tracks.get_mut(&ticket.upstream) {
            track.note_ended(ticket.number);
        }
    }

    /// Whether the request may be attempted again; takes the attempt out of the retry budget.
    pub fn permit_retry(&mut self, plan: &RequestPlan, ran: Ran, attempts: u32) -> bool {
        is_retryable(plan, ran, attempts) && self.retries.take_retry(&plan.pool)
    }

    /// Notes that an attempt failed; the upstream gets no new work for a while.
    pub fn note_failed(&mut self, upstream: &UpstreamName, now: Instant) {
        self.tracks.entry(upstream.clone()).or_default().note_failed(now);
    }

    /// Notes that a request forwarded to `zone` came back without a result.
    pub fn note_returned(&mut self, zone: &ZoneName, plan: &RequestPlan, now: Instant) {
        self.forwards.note_returned(zone, plan, now);
    }
}
