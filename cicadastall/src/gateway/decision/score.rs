//! Cost of sending a request to one upstream: the expected lateness of its answer, the shared prompt
//! tokens that would be prefilled again, and the delay of requests that the upstream already has.

use crate::{
    gateway::{
        decision::{
            call::{CallHead, RoutedCall},
            choice::{ChoiceBasis, ChoiceInput},
            tracker::UpstreamTracker,
        },
        document::routes::EngineRule,
        knowledge::{
            pool_partition::PromptClass, upstream_speed::RATED_CALL_MS, view::KnownUpstream,
        },
    },
    name::{UpstreamName, ZoneName},
};
use smallvec::SmallVec;
use std::{mem, sync::Arc, time::Duration};

/// Fraction of the target up to which the time of an answer costs almost nothing.
const FREE_TARGET_FRACTION: f64 = 0.5;

/// Cost that is added between [`FREE_TARGET_FRACTION`] and the target, and for each further multiple of
/// the target.
const TARGET_COST: f64 = 0.3;

/// Cost of an answer just past its target.
const LATE_COST: f64 = 1.0;

/// Cost of prefilling a thousand shared tokens again.
pub(in crate::gateway) const RECOMPUTE_COST: f64 = 0.12;

/// Cost of an upstream in another zone, for the bytes.
const CROSS_ZONE_COST: f64 = 0.02;

/// Fractions of the shared prompt that the upstreams with the highest and second highest hash are
/// assumed to have cached.
const CACHED_FRACTIONS: [f64; 2] = [1.0, 0.5];

/// Cost of an upstream that is assigned to the other prompt class.
const OTHER_CLASS_COST: f64 = 0.1;

/// Cost of each stream of the other class that a long prompt slows down in a full engine.
const SLOWED_STREAM_COST: f64 = 0.3;

/// Cost of an upstream whose answers are all failures, compared with one that never fails.
const FAILURE_COST: f64 = 2.0;

/// Failure rate that is attributed to the requests instead of the upstream.
const FAILURE_FLOOR: f64 = 0.35;

/// Duration of uninterrupted prefill up to which no running stream stalls for too long, in milliseconds.
pub(in crate::gateway) const HARMLESS_PREFILL_MS: f64 = 230.0;

/// Further duration of uninterrupted prefill after which every running stream has stalled for too long,
/// in milliseconds.
const STALL_RANGE_MS: f64 = 170.0;

/// Cost of an engine that is full, for the requests that other entries send to it meanwhile.
const FILL_COST: f64 = 0.2;

/// Cost of each running stream that stalls for too long.
const STALL_COST: f64 = 0.05;

/// Assumed duration of a call to an idle plain service, the same for all upstreams, in milliseconds.
const IDLE_CALL_MS: f64 = 20.0;

/// Fraction of an engine's memory that is planned for running requests; the rest caches shared parts.
const RUNNING_MEMORY_FRACTION: f64 = 0.6;

/// Requests that an owner grants beyond the slots of an engine, which queues a few more itself.
const QUEUE_ALLOWANCE: f64 = 2.0;

/// Minimum of the time after which a slot of an engine is assumed to become free, in milliseconds.
const MIN_SLOT_MS: f64 = 1.0;

/// Difference up to which two costs count as equal.
const TIE_COST: f64 = 0.005;

#[derive(Debug)]
pub(in crate::gateway) struct Candidate<'a> {
    pub(in crate::gateway) known: &'a Arc<KnownUpstream>,
    pub(in crate::gateway) unread_tokens: u32,
    /// Part of the predicted time for which the request waits for others, in milliseconds.
    pub(in crate::gateway) wait_ms: f64,
    pub(in crate::gateway) predicted_ms: f64,
    /// Predicted time of a request like this one that is sent right after it, in milliseconds.
    pub(in crate::gateway) next_predicted_ms: f64,
    pub(in crate::gateway) basis: ChoiceBasis,
    /// Predicted time until the end of the answer, in milliseconds.
    pub(in crate::gateway) answer_ms: f64,
    /// Requests in flight at the upstream.
    pub(in crate::gateway) requests: f64,
    /// Estimated time until the engine has room for the request in its queue, in milliseconds.
    pub(in crate::gateway) excess_ms: f64,
    /// Time by which the answer would come too late to be worth computing, in milliseconds.
    pub(in crate::gateway) late_ms: f64,
    pub(in crate::gateway) cost: f64,
    /// Random cost that keeps entries from all choosing the same upstream.
    pub(in crate::gateway) random_cost: f64,
    /// Part of the cost that accounts for stalls of running streams.
    pub(in crate::gateway) stall_cost: f64,
    pub(in crate::gateway) prefill_run_ms: f64,
    pub(in crate::gateway) hash: u64,
    /// Time until the next request of this entry, if the upstream tolerates a limited rate.
    pub(in crate::gateway) pace: Option<Duration>,
}

impl Candidate<'_> {
    /// Whether this candidate is in time and `other` is not, or its cost is lower. Ties are resolved by the
    /// hash, on which all entries agree.
    pub(in crate::gateway) fn is_preferred(&self, other: &Self) -> bool {
        if (self.late_ms > 0.0) != (other.late_ms > 0.0) {
            return other.late_ms > 0.0;
        }
        let gain = other.cost + other.random_cost - self.cost - self.random_cost;
        gain > TIE_COST || (gain > -TIE_COST && self.hash > other.hash)
    }
}

/// An upstream to which the request may be sent now.
#[derive(Debug, Clone, Copy)]
pub(in crate::gateway) struct AdmittedUpstream<'a> {
    pub(in crate::gateway) known: &'a Arc<KnownUpstream>,
    pub(in crate::gateway) hash: u64,
    /// Whether the upstream is assigned to prompts of the request's class.
    pub(in crate::gateway) grouped: bool,
    /// Time until the next request of this entry, if the upstream tolerates a limited rate.
    pub(in crate::gateway) pace: Option<Duration>,
}

/// Estimates times and cost of sending the request to an upstream from an entry in `zone`, if the upstream
/// has cached `cached_fraction` of the shared prompt.
pub(in crate::gateway) fn score_upstream<'a>(
    input: &ChoiceInput<'_>,
    zone: &ZoneName,
    tracker: &UpstreamTracker,
    admitted: &AdmittedUpstream<'a>,
    cached_fraction: f64,
) -> Candidate<'a> {
    let AdmittedUpstream { known, hash, grouped, pace } = *admitted;
    let call = input.call;
    let upstream = &known.upstream;
    let engine = input.pool.and_then(|pool| pool.engine);
    let stream = call.repeat().is_stream();
    let shared = shared_tokens(&call.head);
    let sent_here = tracker.cached_tokens(call.head.shared_parts(), input.now);
    let cached = sent_here.max((f64::from(shared) * cached_fraction) as u32);
    let unread_tokens = call.head.prompt_tokens.saturating_sub(cached);
    let reread = shared.saturating_sub(cached);
    let (others, others_ms) = others_work(input, &upstream.name, tracker);
    let requests = tracker.open() as f64 + others;
    let slots = f64::from(upstream.slots.max(1));
    let capacity = match engine {
        Some(engine) => slots.min(memory_slots(engine, tracker.mean_tokens(&call.head))),
        None => slots,
    };
    let excess_requests = (requests + 1.0 - capacity).max(0.0);
    let queue_ms = excess_requests * tracker.answer_ms(stream) / capacity;
    let service_ms = match stream {
        true => tracker.first_token_ms(unread_tokens),
        // Without a measured duration, idle upstreams compare as equal and get equal shares of the requests.
        false if tracker.is_measured() => {
            RATED_CALL_MS * (1.0 + requests / slots) / tracker.speed()
        }
        false => {
            let fill = requests / slots;
            (IDLE_CALL_MS + fill * tracker.answer_ms(false)) * tracker.slowness()
        }
    };
    let backlog_ms = tracker.backlog_ms(call.rank(), input.now) + others_ms;
    let wait_ms = backlog_ms + queue_ms;
    let predicted_ms = wait_ms + service_ms;
    let next_queue_ms =
        (requests + 2.0 - capacity).clamp(0.0, 1.0) * tracker.answer_ms(stream) / capacity;
    let read_ms = UpstreamTracker::prefill_ms(unread_tokens) * tracker.slowness();
    let next_predicted_ms = predicted_ms + read_ms + next_queue_ms;
    let tail_ms = match stream {
        true => tracker.token_ms() * f64::from(call.head.expected_tokens()),
        false => 0.0,
    };
    let answer_ms = predicted_ms + tail_ms;
    let target_ratio = predicted_ms / (call.route.target_ms.max(1) as f64);
    let excess_failures = (tracker.failure_rate() - FAILURE_FLOOR).max(0.0) / (1.0 - FAILURE_FLOOR);
    let fill = (requests + 1.0) / capacity;
    let queue_excess = (requests + 1.0 - slots - QUEUE_ALLOWANCE).max(0.0);
    let (prefill_run_ms, fill_cost) = match engine {
        Some(_) => {
            let prefill_ms = UpstreamTracker::prefill_ms(unread_tokens) * tracker.slowness();
            let prefill_run_ms = tracker.backlog_ms(u8::MAX, input.now) + others_ms + prefill_ms;
            // A slower engine needs longer for the requests that fill it.
            let fill = fill / tracker.speed();
            (prefill_run_ms, FILL_COST * fill * fill)
        }
        None => (0.0, 0.0),
    };
    let stall_cost = stall_cost(prefill_run_ms, requests);
    let cost = lateness_cost(target_ratio)
        + stall_cost
        + fill_cost
        + f64::from(reread) / 1_000.0 * RECOMPUTE_COST
        + excess_failures * FAILURE_COST
        + if upstream.zone == *zone { 0.0 } else { CROSS_ZONE_COST }
        + if grouped { 0.0 } else { other_class_cost(call, requests, fill) };
    let basis = ChoiceBasis {
        predicted_ms: predicted_ms as u32,
        answer_ms: answer_ms as u32,
        loss: (cost * 1_000.0) as u32,
        unread: unread_tokens,
        requests: requests as u32,
        kept: (cached_fraction * 100.0) as u32,
        grouped,
        told_ms: report_age_ms(input),
    };
    Candidate {
        known,
        unread_tokens,
        wait_ms,
        predicted_ms,
        next_predicted_ms,
        basis,
        answer_ms,
        requests,
        excess_ms: queue_excess * (tracker.answer_ms(stream) / slots).max(MIN_SLOT_MS),
        late_ms: 0.0,
        random_cost: 0.0,
        cost,
        stall_cost,
        prefill_run_ms,
        hash,
        pace,
    }
}

/// Requests and backlog in milliseconds that other entries sent to an upstream. Without reports, each
/// other entry is assumed to have sent as much as this one.
fn others_work(
    input: &ChoiceInput<'_>,
    name: &UpstreamName,
    tracker: &UpstreamTracker,
) -> (f64, f64) {
    if input.exclusive {
        return (0.0, 0.0);
    }
    // Work that others sent since their report is assumed to equal the work completed since.
    if input.load.work_at.is_some() {
        let (requests, backlog_ms) = input.load.work.get(name).copied().unwrap_or_default();
        return (f64::from(requests), f64::from(backlog_ms));
    }
    let others = input.view.entries.len().saturating_sub(1) as f64;
    let backlog_ms = tracker.backlog_ms(input.call.rank(), input.now);
    (tracker.open() as f64 * others, backlog_ms * others)
}

/// Cost of an answer that takes `target_ratio` times its target.
pub(in crate::gateway) fn lateness_cost(target_ratio: f64) -> f64 {
    if target_ratio <= FREE_TARGET_FRACTION {
        // A small cost, so that the faster of two early answers is preferred.
        target_ratio * 0.05
    } else if target_ratio <= 1.0 {
        0.05 + (target_ratio - FREE_TARGET_FRACTION) / (1.0 - FREE_TARGET_FRACTION) * TARGET_COST
    } else {
        LATE_COST + (target_ratio - 1.0) * TARGET_COST
    }
}

/// Number of requests of `tokens` that an engine can run at the same time and still cache shared parts.
fn memory_slots(engine: EngineRule, tokens: f64) -> f64 {
    (engine.kv_tokens as f64 * RUNNING_MEMORY_FRACTION / tokens.max(1.0)).max(1.0)
}

/// Age of the load reports of other entries, in milliseconds; `u32::MAX` without any.
fn report_age_ms(input: &ChoiceInput<'_>) -> u32 {
    input.load.work_at.map_or(u32::MAX, |at| (input.now - at).as_millis() as u32)
}

/// Ranks of the upstreams that are assumed to have cached a shared prompt, best first. A rank is whether
/// the upstream is assigned to the class of the prompt, then its hash.
type CacheRanks = [Option<(bool, u64)>; CACHED_FRACTIONS.len()];

/// Fraction of the shared prompt that each upstream is assumed to have cached. It is nonzero for the
/// upstreams of the highest ranks, because all entries send such prompts there.
pub(in crate::gateway) fn estimate_cached(
    admitted: &[AdmittedUpstream<'_>],
) -> SmallVec<[f64; 16]> {
    let rank = |upstream: &AdmittedUpstream<'_>| Some((upstream.grouped, upstream.hash));
    let mut best_ranks = CacheRanks::default();
    for upstream in admitted {
        let mut next = rank(upstream);
        for best in &mut best_ranks {
            if next > *best {
                mem::swap(best, &mut next);
            }
        }
    }
    let fractions = admitted.iter().map(|upstream| {
        let position = best_ranks.iter().position(|best| *best == rank(upstream));
        position.map_or(0.0, |position| CACHED_FRACTIONS[position])
    });
    fractions.collect()
}

/// Cost of an upstream with `streams` that is assigned to the other prompt class. A long prompt delays
/// each of its streams, which costs more the fuller the upstream is.
fn other_class_cost(call: &RoutedCall, streams: f64, fill: f64) -> f64 {
    match PromptClass::of(call.head.prompt_tokens) {
        PromptClass::Long => OTHER_CLASS_COST + streams * fill * fill * SLOWED_STREAM_COST,
        PromptClass::Short => OTHER_CLASS_COST,
    }
}

/// Cost of stalling `streams` while an engine prefills for `prefill_run_ms` without interruption.
pub(in crate::gateway) fn stall_cost(prefill_run_ms: f64, streams: f64) -> f64 {
    let part = ((prefill_run_ms - HARMLESS_PREFILL_MS) / STALL_RANGE_MS).clamp(0.0, 1.0);
    part * streams * STALL_COST
}

/// Number of prompt tokens in the shared parts of `head`.
pub fn shared_tokens(head: &CallHead) -> u32 {
    head.shared_parts().iter().map(|part| part.tokens).sum()
}
