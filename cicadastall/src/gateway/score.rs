//! What sending a request to one upstream would lose: how late its answer would be, what would be read
//! again, and what the requests that the upstream has would bear.

use crate::{
    gateway::{
        call::{CallHead, RoutedCall},
        choice::{ChoiceBasis, ChoiceInput},
        pool_partition::PromptClass,
        routes::EngineRule,
        track::UpstreamTrack,
        view::KnownUpstream,
    },
    name::{UpstreamName, ZoneName},
};
use smallvec::SmallVec;
use std::{mem, sync::Arc};

/// Part of the target up to which an answer costs nothing for its time.
const EASY_PART: f64 = 0.5;

/// Loss of an answer just at its target.
const TARGET_LOSS: f64 = 0.3;

/// Loss of an answer just past its target.
const LATE_LOSS: f64 = 1.0;

/// Loss of reading a thousand shared tokens again.
pub(super) const REREAD_LOSS: f64 = 0.12;

/// Loss of an upstream in another zone, for the bytes.
const ZONE_LOSS: f64 = 0.02;

/// Parts of the shared prompt that the first and second upstream of each zone by the hash are taken to
/// have read.
const KEPT_PARTS: [f64; 2] = [1.0, 0.5];

/// Loss of an upstream that takes prompts of the other sort.
const GROUP_LOSS: f64 = 0.1;

/// Loss of one stream of the other sort that a long prompt slows down in a full engine.
const SLOWED_LOSS: f64 = 0.3;

/// Loss of an upstream that only fails, over one that never does.
const FAILING_LOSS: f64 = 2.0;

/// Part of failures that is taken to lie with the requests.
const FAILING_FLOOR: f64 = 0.35;

/// Reading without a break, in milliseconds, that makes no running stream pause for too long.
pub(super) const EASY_STRETCH_MS: f64 = 230.0;

/// Further reading without a break after which every running stream has paused for too long.
const HARD_STRETCH_MS: f64 = 170.0;

/// Loss of an engine whose places are all taken, for what others send to it meanwhile.
const FILL_LOSS: f64 = 0.2;

/// Loss of one running stream that pauses for too long.
const PAUSE_LOSS: f64 = 0.05;

/// Time of a call to an idle plain service that counts for all alike, in milliseconds.
const FIRST_CALL_MS: f64 = 20.0;

/// Part of an engine's memory that running requests are to take; shared parts are kept in the rest.
const RUNNING_PART: f64 = 0.6;

/// Requests that an engine is given beyond its places by its owner. It queues a few more itself.
const QUEUE_ROOM: f64 = 2.0;

/// Least time after which one of an engine's places is taken to be free, in milliseconds.
const LEAST_PLACE_MS: f64 = 1.0;

/// Difference of two losses that counts as none.
const TIE_LOSS: f64 = 0.005;

#[derive(Debug)]
pub(super) struct Candidate<'a> {
    pub(super) known: &'a Arc<KnownUpstream>,
    pub(super) unread_tokens: u32,
    /// Part of the predicted time for which it waits for other requests, in milliseconds.
    pub(super) wait_ms: f64,
    pub(super) predicted_ms: f64,
    pub(super) basis: ChoiceBasis,
    /// Predicted time of the whole answer, in milliseconds.
    pub(super) whole_ms: f64,
    /// Requests that the upstream has.
    pub(super) requests: f64,
    /// Time until the engine has room for it in its queue, in milliseconds.
    pub(super) excess_ms: f64,
    /// Time by which its answer would come too late to be worth its work, in milliseconds.
    pub(super) late_ms: f64,
    pub(super) loss: f64,
    /// Loss that was added at random, so that entries do not all choose the same upstream.
    pub(super) spread_loss: f64,
    /// Part of the loss that is borne by streams that run already.
    pub(super) pause_loss: f64,
    pub(super) stretch_ms: f64,
    pub(super) order: u64,
    pub(super) cold: bool,
}

impl Candidate<'_> {
    /// Whether it is in time and `other` is not, or it loses less; of equal ones, the one that all entries
    /// prefer.
    pub(super) fn is_better(&self, other: &Self) -> bool {
        if (self.late_ms > 0.0) != (other.late_ms > 0.0) {
            return other.late_ms > 0.0;
        }
        let gain = other.loss + other.spread_loss - self.loss - self.spread_loss;
        gain > TIE_LOSS || (gain > -TIE_LOSS && self.order > other.order)
    }
}

/// An upstream that may get the request now.
#[derive(Debug, Clone, Copy)]
pub(super) struct AdmittedUpstream<'a> {
    pub(super) known: &'a Arc<KnownUpstream>,
    pub(super) order: u64,
    /// Whether it takes prompts of the request's sort.
    pub(super) grouped: bool,
    pub(super) cold: bool,
}

/// What sending a request to an upstream would lose, by the record `track` of this entry in `zone`.
pub(super) fn score_upstream<'a>(
    input: &ChoiceInput<'_>,
    zone: &ZoneName,
    track: &UpstreamTrack,
    admitted: &AdmittedUpstream<'a>,
    kept: f64,
) -> Candidate<'a> {
    let AdmittedUpstream { known, order, grouped, cold } = *admitted;
    let call = input.call;
    let upstream = &known.upstream;
    let engine = input.pool.and_then(|pool| pool.engine);
    let stream = call.repeat().is_stream();
    let shared = shared_tokens(&call.head);
    let read_here = track.cached_tokens(call.head.shared_parts(), input.now);
    let cached = read_here.max((f64::from(shared) * kept) as u32);
    let unread_tokens = call.head.prompt_tokens.saturating_sub(cached);
    let reread = shared.saturating_sub(cached);
    let (others, others_ms) = others_work(input, &upstream.name, track);
    let requests = track.open() as f64 + others;
    let slots = f64::from(upstream.slots.max(1));
    let places = match engine {
        Some(engine) => slots.min(count_places(engine, track.mean_tokens(&call.head))),
        None => slots,
    };
    let over = (requests + 1.0 - places).max(0.0);
    let queue_ms = over * track.whole_ms(stream) / places;
    let own_ms = match stream {
        true => track.first_token_ms(unread_tokens),
        // Of idle upstreams, requests that may go anywhere are spread over all alike.
        false => {
            let load = requests / slots;
            (FIRST_CALL_MS + load * track.whole_ms(false)) * track.slowness()
        }
    };
    let backlog_ms = track.backlog_ms(call.route.rank, input.now) + others_ms;
    let wait_ms = backlog_ms + queue_ms;
    let predicted_ms = wait_ms + own_ms;
    let tail_ms = match stream {
        true => track.token_ms() * f64::from(call.head.expected_tokens()),
        false => 0.0,
    };
    let whole_ms = predicted_ms + tail_ms;
    let time = predicted_ms / (call.route.target_ms.max(1) as f64);
    let failing = (track.failing() - FAILING_FLOOR).max(0.0) / (1.0 - FAILING_FLOOR);
    let fill = (requests + 1.0) / places;
    let excess = (requests + 1.0 - slots - QUEUE_ROOM).max(0.0);
    let (stretch_ms, fill_loss) = match engine {
        Some(_) => {
            let read_ms = UpstreamTrack::read_ms(unread_tokens) * track.slowness();
            let stretch_ms = track.backlog_ms(u8::MAX, input.now) + others_ms + read_ms;
            (stretch_ms, FILL_LOSS * fill * fill)
        }
        None => (0.0, 0.0),
    };
    let pause_loss = pause_loss(stretch_ms, requests);
    let loss = lateness_loss(time)
        + pause_loss
        + fill_loss
        + f64::from(reread) / 1_000.0 * REREAD_LOSS
        + failing * FAILING_LOSS
        + if upstream.zone == *zone { 0.0 } else { ZONE_LOSS }
        + if grouped { 0.0 } else { group_loss(call, requests, fill) };
    let basis = ChoiceBasis {
        predicted_ms: predicted_ms as u32,
        answer_ms: whole_ms as u32,
        loss: (loss * 1_000.0) as u32,
        unread: unread_tokens,
        requests: requests as u32,
        kept: (kept * 100.0) as u32,
        grouped,
        told_ms: tell_age(input),
    };
    Candidate {
        known,
        unread_tokens,
        wait_ms,
        predicted_ms,
        basis,
        whole_ms,
        requests,
        excess_ms: excess * (track.whole_ms(stream) / slots).max(LEAST_PLACE_MS),
        late_ms: 0.0,
        spread_loss: 0.0,
        loss,
        pause_loss,
        stretch_ms,
        order,
        cold,
    }
}

/// Requests and backlog in milliseconds that other entries gave to an upstream; as much as this one
/// did where they do not tell.
fn others_work(input: &ChoiceInput<'_>, name: &UpstreamName, track: &UpstreamTrack) -> (f64, f64) {
    if input.sole {
        return (0.0, 0.0);
    }
    // What others gave it since they told is taken to be as much as it has read since.
    if input.load.work_at.is_some() {
        let (requests, backlog_ms) = input.load.work.get(name).copied().unwrap_or_default();
        return (f64::from(requests), f64::from(backlog_ms));
    }
    let others = input.view.entries.len().saturating_sub(1) as f64;
    let backlog_ms = track.backlog_ms(input.call.route.rank, input.now);
    (track.open() as f64 * others, backlog_ms * others)
}

/// Loss of an answer that takes `time` times its target.
pub(super) fn lateness_loss(time: f64) -> f64 {
    if time <= EASY_PART {
        // A little, so that of two good ones the quicker is taken.
        time * 0.05
    } else if time <= 1.0 {
        0.05 + (time - EASY_PART) / (1.0 - EASY_PART) * TARGET_LOSS
    } else {
        LATE_LOSS + (time - 1.0) * TARGET_LOSS
    }
}

/// Requests of `tokens` that run in an engine at the same time and leave room for shared parts.
fn count_places(engine: EngineRule, tokens: f64) -> f64 {
    (engine.kv_tokens as f64 * RUNNING_PART / tokens.max(1.0)).max(1.0)
}

/// Age of what other entries told of their work, in milliseconds.
fn tell_age(input: &ChoiceInput<'_>) -> u32 {
    input.load.work_at.map_or(u32::MAX, |at| (input.now - at).as_millis() as u32)
}

/// Ranks of the upstreams of a zone that are taken to hold a shared prompt, best first: whether it
/// takes prompts of the sort, and its hash.
type KeptRanks = [Option<(bool, u64)>; KEPT_PARTS.len()];

/// Parts of the shared prompt that each upstream is taken to have read: the first ones of each zone by
/// the hash, since the entries of that zone send such prompts there.
pub(super) fn keep_places(admitted: &[AdmittedUpstream<'_>]) -> SmallVec<[f64; 16]> {
    let rank = |upstream: &AdmittedUpstream<'_>| Some((upstream.grouped, upstream.order));
    let mut held = KeptRanks::default();
    for upstream in admitted {
        let mut next = rank(upstream);
        for held in &mut held {
            if next > *held {
                mem::swap(held, &mut next);
            }
        }
    }
    let kept = admitted.iter().map(|upstream| {
        let place = held.iter().position(|held| *held == rank(upstream));
        place.map_or(0.0, |place| KEPT_PARTS[place])
    });
    kept.collect()
}

/// Loss at an upstream with `streams` that takes prompts of the other sort: a long prompt holds each
/// of its streams up, which costs the more the more of its places are taken.
fn group_loss(call: &RoutedCall, streams: f64, fill: f64) -> f64 {
    match PromptClass::of(call.head.prompt_tokens) {
        PromptClass::Long => GROUP_LOSS + streams * fill * fill * SLOWED_LOSS,
        PromptClass::Short => GROUP_LOSS,
    }
}

/// Loss of `streams` that run while an engine reads for `stretch_ms` without a break.
pub(super) fn pause_loss(stretch_ms: f64, streams: f64) -> f64 {
    let part = ((stretch_ms - EASY_STRETCH_MS) / HARD_STRETCH_MS).clamp(0.0, 1.0);
    part * streams * PAUSE_LOSS
}

/// Prompt tokens of `head` that other requests share.
pub fn shared_tokens(head: &CallHead) -> u32 {
    head.shared_parts().iter().map(|part| part.tokens).sum()
}
