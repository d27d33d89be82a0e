//! Second stage of a choice: the predicted times of a request on one upstream.

use crate::{prefix::PromptShape, route::tracker::RecentSend, settings::Rank, table::UpstreamView};
use std::time::Duration;
use tokio::time::Instant;

/// Weight of the time from first token to whole answer, relative to the time to first token.
const ANSWER_WEIGHT: f64 = 0.1;

/// Weight of the work that a request costs, relative to its own time to first token.
const PREFILL_WEIGHT: f64 = 2.0;

/// Part of the limit up to which a wait counts as none: refusing a request that would start at once
/// helps nobody, however slow the upstream is.
const IDLE_WAIT_FRACTION: f64 = 0.1;

/// What is known of a request and an upstream beside the upstream's record.
#[derive(Debug, Clone, Copy)]
pub struct PredictionInput<'a> {
    /// Size of the request.
    pub shape: &'a PromptShape,
    /// Priority class of the request.
    pub rank: Rank,
    /// Prompt tokens that the upstream must process.
    pub uncached_tokens: u32,
    /// What this entry sent to the upstream since its report, the oldest first.
    pub sent: &'a [RecentSend],
    /// Observed over predicted time to first token on the upstream.
    pub latency_ratio: f64,
    /// Part of the requests finished since the report whose places other entries are taken to have
    /// filled again.
    pub refill_fraction: f64,
    /// Tokens of an answer, on average over recent requests.
    pub mean_answer_tokens: f64,
}

/// Longest predicted time to first token with which a request is taken.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FirstTokenLimit {
    /// The time.
    pub first_token: Duration,
    /// Whether the request's flow is near enough its share.
    pub within_share: bool,
    /// Part of an upstream's places that the request and those before it may take.
    pub slot_fraction: f64,
}

/// Predicted times of a request on one upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Prediction {
    /// Until prefill starts.
    pub wait: Duration,
    /// Until the first token.
    pub first_token: Duration,
    /// From the first token to the whole answer.
    pub answer: Duration,
    /// Time of the upstream that the prompt takes from other requests.
    pub prefill: Duration,
    /// Time of the upstream that the answer takes from other requests.
    pub decode: Duration,
    /// Places of the upstream that are taken, with the request's own.
    pub occupied_slots: f64,
    /// Places of the upstream.
    pub slots: f64,
    /// Prompt tokens that the upstream must process.
    pub uncached_tokens: u32,
}

impl Prediction {
    /// Time of the upstream that the whole request takes, alone on it.
    pub fn work(&self) -> Duration {
        self.prefill + self.decode
    }

    /// Whether a request with that limit may be sent.
    pub fn is_within(&self, limit: FirstTokenLimit) -> bool {
        let idle = limit.within_share && self.wait <= limit.first_token.mul_f64(IDLE_WAIT_FRACTION);
        self.has_slot(limit.slot_fraction) && (idle || self.first_token <= limit.first_token)
    }

    /// Whether the request finds one of that part of the places; one place is always in a part that
    /// is not empty.
    fn has_slot(&self, fraction: f64) -> bool {
        fraction > 0.0 && self.occupied_slots <= (fraction * self.slots).max(1.0)
    }

    /// The figure by which upstreams are compared, in seconds; lower is better.
    pub fn score(&self) -> f64 {
        self.first_token.as_secs_f64()
            + ANSWER_WEIGHT * self.answer.as_secs_f64()
            + PREFILL_WEIGHT * self.prefill.as_secs_f64()
    }
}

/// Predicts the times of a request on `view`.
///
/// The load at the time of the report is followed until now: the upstream works it off by its
/// rates, while what was sent since is added when it was sent.
pub fn predict(view: &UpstreamView, input: &PredictionInput<'_>, now: Instant) -> Prediction {
    let rates = &view.record.rates;
    let age = now.saturating_duration_since(view.renewed_at).as_secs_f64();
    let prefill_rate = rates.prefill_tokens_per_s / input.latency_ratio;
    let completions =
        rates.decode_tokens_per_s / input.latency_ratio / input.mean_answer_tokens.max(1.0);
    let (requests, tokens) = load_ahead(view, input.rank);
    let sent = || input.sent.iter().map(|send| send.after_report.as_secs_f64());
    let sent_prompts = sent().zip(input.sent.iter().map(|send| send.tokens));
    let queued_tokens = advance_backlog(tokens, sent_prompts, prefill_rate, age);
    let each = sent().map(|after_report| (after_report, 1.0));
    let slot_release_rate = completions * (1.0 - input.refill_fraction);
    let running = advance_backlog(requests, each, slot_release_rate, age);
    let slots = slots(view);
    let excess = running + 1.0 - slots;
    let wait = (queued_tokens / prefill_rate).max(excess / completions);
    let prefill = f64::from(input.uncached_tokens) / prefill_rate;
    let first_token = wait + prefill;
    let batch = (running + 1.0).min(f64::from(rates.max_running));
    let decode_rate = rates.decode_tokens_per_s / input.latency_ratio;
    let answer = f64::from(input.shape.answer_tokens) * batch / decode_rate;
    Prediction {
        occupied_slots: running + 1.0,
        slots,
        uncached_tokens: input.uncached_tokens,
        wait: saturating_seconds(wait),
        first_token: saturating_seconds(first_token),
        answer: saturating_seconds(answer),
        prefill: saturating_seconds(prefill),
        decode: saturating_seconds(f64::from(input.shape.answer_tokens) / decode_rate),
    }
}

/// Backlog `age` seconds after it was `start`, worked off at `rate` per second, with `additions` at
/// their times.
fn advance_backlog(
    start: f64,
    additions: impl Iterator<Item = (f64, f64)>,
    rate: f64,
    age: f64,
) -> f64 {
    let (mut backlog, mut time) = (start, 0.0);
    for (at, amount) in additions {
        backlog = (backlog - (at - time) * rate).max(0.0) + amount;
        time = at;
    }
    (backlog - (age - time) * rate).max(0.0)
}

/// Requests and prompt tokens that are served before or with a request of `rank`.
fn load_ahead(view: &UpstreamView, rank: Rank) -> (f64, f64) {
    let load = &view.record.load;
    let (requests, tokens) = match rank {
        Rank::Urgent => (load.urgent_running + load.urgent_queued, load.urgent_prompt_tokens),
        Rank::Patient => (load.running + load.queued, load.queued_prompt_tokens),
    };
    (f64::from(requests), tokens as f64)
}

/// Requests that can run at the same time, by the batch limit and by KV cache memory.
fn slots(view: &UpstreamView) -> f64 {
    let (rates, load) = (&view.record.rates, &view.record.load);
    let batch = f64::from(rates.max_running);
    if load.running == 0 || load.kv_used_tokens == 0 {
        return batch;
    }
    let each = load.kv_used_tokens as f64 / f64::from(load.running);
    batch.min((rates.kv_tokens as f64 / each).floor().max(1.0))
}

fn saturating_seconds(value: f64) -> Duration {
    Duration::try_from_secs_f64(value.max(0.0)).unwrap_or(Duration::MAX)
}
