//! Time by which an answer would come too late to be worth computing.

use crate::gateway::decision::{
    call::RoutedCall,
    choice::ChoiceInput,
    chooser::{FIRST_TOKEN_DEADLINE_FRACTION, SPARE_SLOT_FRACTION},
    fair_order::{BeginTimes, FlowKey, FlowStanding},
    finish_forecast::FinishForecast,
    part_cache::PartCache,
    score::{Candidate, shared_tokens},
    tracker::UpstreamTracker,
};
use std::time::Duration;

/// Fraction of the target for which a request may wait in an engine if many entries choose. A longer
/// queue serves no more requests, and serves all of them late.
const QUEUE_TARGET_FRACTION: f64 = 0.2;

/// Addition to [`QUEUE_TARGET_FRACTION`] for a single entry. It is divided by the square of the number
/// of entries: with more entries, each knows less of the queue and more of them send at the same time.
const SINGLE_ENTRY_QUEUE_FRACTION: f64 = 6.0;

/// Multiple of the remaining time within which the answer must be expected to end.
const ANSWER_DEADLINE_FRACTION: f64 = 2.0;

/// Time by which an answer of `candidate` would come too late to be worth computing, or until the engine
/// has room for it, in milliseconds, if the load of the engine is measured.
pub(super) fn measured_lateness_ms(
    input: &ChoiceInput<'_>,
    candidate: &Candidate<'_>,
    tracker: &UpstreamTracker,
    memory: &PartCache,
    standing: FlowStanding,
) -> f64 {
    let call = input.call;
    let millis = |time: Duration| time.as_secs_f64() * 1_000.0;
    let remaining_ms = millis(call.remaining(input.now));
    let tokens = call.head.expected_tokens();
    let forecast = FinishForecast::new(
        candidate.predicted_ms,
        tokens,
        tracker.token_pace(),
        candidate.requests,
    );
    let begin_ms = candidate.predicted_ms - remaining_ms * FIRST_TOKEN_DEADLINE_FRACTION;
    let end_ms = forecast.overrun_ms(remaining_ms);
    let reserved = if standing == FlowStanding::Above { 1.0 - SPARE_SLOT_FRACTION } else { 0.0 };
    let reserved_tokens = memory.kv_tokens() as f64 * reserved;
    let slots = f64::from(candidate.known.upstream.slots);
    let full = memory.excess_tokens(&call.head.parts, u64::from(tokens) + reserved_tokens as u64)
        > 0
        || (reserved > 0.0 && candidate.requests + 1.0 > slots * (1.0 - reserved));
    // One of the running requests has to end first.
    let full_ms = if full { tracker.answer_ms(true) / candidate.requests.max(1.0) } else { 0.0 };
    let times = BeginTimes {
        elapsed_ms: millis(input.now - call.received_at),
        target_ms: call.route.target_ms as f64,
        wait_ms: candidate.wait_ms,
        first_token_ms: candidate.predicted_ms,
        next_first_token_ms: candidate.next_predicted_ms,
    };
    // A caller that has part of its answer is better served late than not at all.
    let room_ms = match input.software {
        Some(_) => 0.0,
        None => times.excess_ms(standing).max(full_ms).max(candidate.excess_ms),
    };
    begin_ms.max(end_ms).max(room_ms).max(0.0)
}

/// What competes for engines together with the request.
pub(super) fn describe_flow(call: &RoutedCall) -> FlowKey {
    FlowKey {
        rank: call.rank(),
        workspace: call.workspace.as_ref().map(|workspace| workspace.name.clone()),
        target_ms: call.route.target_ms,
    }
}

/// Work of a request by which flows are compared: tokens to read, and those to generate.
pub(super) fn work_tokens(call: &RoutedCall) -> f64 {
    f64::from(call.head.prompt_tokens.saturating_sub(shared_tokens(&call.head)))
        + f64::from(call.head.expected_tokens())
}

/// Time by which an answer of `candidate` would come too late to be worth computing, in milliseconds.
pub(super) fn lateness_ms(input: &ChoiceInput<'_>, candidate: &Candidate<'_>) -> f64 {
    let remaining_ms = input.call.remaining(input.now).as_secs_f64() * 1_000.0;
    let begin_ms = candidate.predicted_ms - remaining_ms * FIRST_TOKEN_DEADLINE_FRACTION;
    let end_ms = candidate.answer_ms - remaining_ms * ANSWER_DEADLINE_FRACTION;
    let queue_ms = match input.pool.and_then(|pool| pool.engine) {
        // A caller that has part of its answer is better served late than not at all.
        Some(_) if input.software.is_some() => 0.0,
        // The engine would refuse requests beyond those that it runs and queues.
        Some(_) if input.exclusive => candidate.excess_ms,
        Some(_) => {
            let entries = input.view.entries.len().max(1) as f64;
            let part = QUEUE_TARGET_FRACTION + SINGLE_ENTRY_QUEUE_FRACTION / (entries * entries);
            candidate.wait_ms - input.call.route.target_ms as f64 * part
        }
        None => 0.0,
    };
    begin_ms.max(end_ms).max(queue_ms).max(0.0)
}
