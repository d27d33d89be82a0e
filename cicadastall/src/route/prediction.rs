//! Second routing stage: predicts the latency of a request on one upstream.

use crate::{prefix::PromptShape, route::tracker::RecentSend, settings::Rank, table::UpstreamView};
use std::time::Duration;
use tokio::time::Instant;

/// Weight in the score of the time from the first token to the complete answer; the time to first
/// token has weight 1.
const ANSWER_WEIGHT: f64 = 0.1;

/// Weight in the score of the prefill time, which delays other requests; the time to first token
/// has weight 1.
const PREFILL_WEIGHT: f64 = 2.0;

/// Fraction of the limit up to which a wait counts as none. A request that would start immediately
/// is not refused, however slow the upstream is, because refusing it would not help other requests.
const IDLE_WAIT_FRACTION: f64 = 0.1;

/// Inputs of a prediction, apart from the upstream's record.
#[derive(Debug, Clone, Copy)]
pub struct PredictionInput<'a> {
    /// Size of the request.
    pub shape: &'a PromptShape,
    /// Priority class of the request.
    pub rank: Rank,
    /// Prompt tokens that are not in the upstream's prefix cache.
    pub uncached_tokens: u32,
    /// Requests that this entry sent to the upstream since its report, oldest first.
    pub sent: &'a [RecentSend],
    /// Ratio of observed to predicted time to first token on the upstream.
    pub latency_ratio: f64,
    /// Fraction of the slots freed since the report that other entries are assumed to have filled
    /// again.
    pub refill_fraction: f64,
    /// Moving average of the answer length, in tokens.
    pub mean_answer_tokens: f64,
}

/// Limits within which a request is admitted to an upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FirstTokenLimit {
    /// Maximum predicted time to first token.
    pub first_token: Duration,
    /// Whether the request's flow counts as within its share.
    pub within_share: bool,
    /// Fraction of an upstream's slots that the request and those ahead of it may occupy.
    pub slot_fraction: f64,
}

/// Predicted latency and resource use of a request on one upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Prediction {
    /// Time until prefill starts.
    pub wait: Duration,
    /// Time until the first token.
    pub first_token: Duration,
    /// Time from the first token to the complete answer.
    pub answer: Duration,
    /// Processing time of the prompt.
    pub prefill: Duration,
    /// Processing time of the answer at the full decode rate of the upstream.
    pub decode: Duration,
    /// Slots of the upstream that are occupied, including the one for this request.
    pub occupied_slots: f64,
    /// Requests that the upstream can run concurrently.
    pub slots: f64,
    /// Prompt tokens that are not in the upstream's prefix cache.
    pub uncached_tokens: u32,
}

impl Prediction {
    /// Processing time of the whole request if the upstream ran nothing else.
    pub fn work(&self) -> Duration {
        self.prefill.saturating_add(self.decode)
    }

    /// Whether the prediction is within `limit`.
    pub fn is_within(&self, limit: FirstTokenLimit) -> bool {
        let idle = limit.within_share && self.wait <= limit.first_token.mul_f64(IDLE_WAIT_FRACTION);
        self.has_slot(limit.slot_fraction) && (idle || self.first_token <= limit.first_token)
    }

    /// Whether the request fits into `fraction` of the slots; any fraction above 0 includes at
    /// least one slot.
    fn has_slot(&self, fraction: f64) -> bool {
        fraction > 0.0 && self.occupied_slots <= (fraction * self.slots).max(1.0)
    }

    /// Score by which upstreams are compared, in seconds; lower is better.
    pub fn score(&self) -> f64 {
        self.first_token.as_secs_f64()
            + ANSWER_WEIGHT * self.answer.as_secs_f64()
            + PREFILL_WEIGHT * self.prefill.as_secs_f64()
    }
}

/// Predicts the latency of a request on the upstream of `view`.
///
/// Extrapolates the reported load to `now`: the backlog shrinks at the rates of the upstream, and
/// each request sent since the report is added at the time it was sent.
pub fn predict(view: &UpstreamView, input: &PredictionInput<'_>, now: Instant) -> Prediction {
    let rates = &view.record.rates;
    let age = now.saturating_duration_since(view.renewed_at).as_secs_f64();
    let prefill_rate = rates.prefill_tokens_per_s / input.latency_ratio;
    let completions_per_s =
        rates.decode_tokens_per_s / input.latency_ratio / input.mean_answer_tokens.max(1.0);
    let (requests, tokens) = load_ahead(view, input.rank);
    let sent_times = || input.sent.iter().map(|send| send.after_report.as_secs_f64());
    let sent_prompts = sent_times().zip(input.sent.iter().map(|send| send.tokens));
    let queued_tokens = advance_backlog(tokens, sent_prompts, prefill_rate, age);
    let sent_requests = sent_times().map(|after_report| (after_report, 1.0));
    let slot_release_rate = completions_per_s * (1.0 - input.refill_fraction);
    let requests_ahead = advance_backlog(requests, sent_requests, slot_release_rate, age);
    let slots = count_slots(view);
    let excess = requests_ahead + 1.0 - slots;
    let wait = (queued_tokens / prefill_rate).max(excess / completions_per_s);
    let prefill = f64::from(input.uncached_tokens) / prefill_rate;
    let first_token = wait + prefill;
    let batch = (requests_ahead + 1.0).min(f64::from(rates.max_running));
    let decode_rate = rates.decode_tokens_per_s / input.latency_ratio;
    let answer = f64::from(input.shape.answer_tokens) * batch / decode_rate;
    Prediction {
        occupied_slots: requests_ahead + 1.0,
        slots,
        uncached_tokens: input.uncached_tokens,
        wait: saturating_seconds(wait),
        first_token: saturating_seconds(first_token),
        answer: saturating_seconds(answer),
        prefill: saturating_seconds(prefill),
        decode: saturating_seconds(f64::from(input.shape.answer_tokens) / decode_rate),
    }
}

/// Backlog `age` seconds after it was `initial`. It shrinks by `rate` per second, and `additions`
/// are pairs of a time in seconds and an amount, in order of time.
fn advance_backlog(
    initial: f64,
    additions: impl Iterator<Item = (f64, f64)>,
    rate: f64,
    age: f64,
) -> f64 {
    let (mut backlog, mut time) = (initial, 0.0);
    for (at, amount) in additions {
        backlog = (backlog - (at - time) * rate).max(0.0) + amount;
        time = at;
    }
    (backlog - (age - time) * rate).max(0.0)
}

/// Reported requests, and prompt tokens waiting for prefill, that are served before or together
/// with a request of `rank`.
fn load_ahead(view: &UpstreamView, rank: Rank) -> (f64, f64) {
    let load = &view.record.load;
    let (requests, tokens) = match rank {
        Rank::Urgent => {
            (load.urgent_running.saturating_add(load.urgent_queued), load.urgent_prompt_tokens)
        }
        Rank::Patient => (load.running.saturating_add(load.queued), load.queued_prompt_tokens),
    };
    (f64::from(requests), tokens as f64)
}

/// Requests that can run concurrently, by the batch limit and by KV cache memory.
fn count_slots(view: &UpstreamView) -> f64 {
    let (rates, load) = (&view.record.rates, &view.record.load);
    let batch = f64::from(rates.max_running);
    if load.running == 0 || load.kv_used_tokens == 0 {
        return batch;
    }
    let tokens_per_request = load.kv_used_tokens as f64 / f64::from(load.running);
    batch.min((rates.kv_tokens as f64 / tokens_per_request).floor().max(1.0))
}

/// Converts seconds to a duration; negative values become zero, values too large the maximum.
fn saturating_seconds(value: f64) -> Duration {
    Duration::try_from_secs_f64(value.max(0.0)).unwrap_or(Duration::MAX)
}
