//! Partition of a pool's upstreams between long and short prompts.
//!
//! While an engine reads a long prompt, every stream that it generates waits for each chunk of it.
//! Long and short prompts are therefore sent to different upstreams if a pool has several. The more
//! urgent class gets as many upstreams as its demand of the last seconds needs, the other class the
//! rest. All entries order the upstreams identically and receive the demand of their region, so they
//! compute the same partition.

use serde::{Deserialize, Serialize};
use std::time::Duration;
use tokio::time::Instant;

/// Number of tokens from which a prompt is long: more than an engine reads in one step.
const LONG_PROMPT_TOKENS: u32 = 2_048;

/// Half-life of the weight of past work.
const HALF_LIFE: Duration = Duration::from_secs(3);

/// Duration of a step in which an engine reads a short prompt and also generates tokens, in
/// milliseconds.
const MIXED_STEP_MS: f64 = 7.0;

/// Upper bound on the slot occupancy that is counted for one request, in milliseconds. Requests take
/// longer on an overloaded engine, but do not need more upstreams because of that.
const MAX_OCCUPANCY_MS: f64 = 2_500.0;

/// Target utilization of upstreams for the more urgent class.
const URGENT_UTILIZATION: f64 = 0.5;

/// Target utilization for the more urgent class if one chooser knows all work, so that no slots need
/// to be reserved for requests of others.
const SOLE_URGENT_UTILIZATION: f64 = 0.85;

/// Target utilization of upstreams for the less urgent class.
const PATIENT_UTILIZATION: f64 = 0.75;

/// Smoothing factor of the mean rank of a class, applied per request.
const RANK_SMOOTHING: f64 = 0.05;

/// Difference of mean ranks above which one class is more urgent than the other.
const MIN_RANK_DIFFERENCE: f64 = 0.5;

/// Deviation from the exact number of upstreams for long prompts below which the number is kept.
const COUNT_HYSTERESIS: f64 = 0.7;

/// The same deviation as a fraction of the upstreams of the pool; the larger of the two applies.
const COUNT_HYSTERESIS_FRACTION: f64 = 0.06;

/// Class of a prompt by its length.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum PromptClass {
    /// Read by an engine in several steps.
    Long,
    /// Read by an engine in one step.
    Short,
}

impl PromptClass {
    /// Class of a prompt of `tokens` tokens.
    pub fn of(tokens: u32) -> Self {
        if tokens >= LONG_PROMPT_TOKENS { Self::Long } else { Self::Short }
    }
}

/// Work of one request at an upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PromptWork {
    /// Time to read its prompt, in milliseconds.
    pub prefill_ms: f64,
    /// Time for which it occupies a slot, in milliseconds.
    pub occupancy_ms: f64,
    /// Number of slots of the upstream.
    pub slots: f64,
    /// Rank; 0 goes first.
    pub rank: u8,
}

/// Demand of one prompt class.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct ClassDemand {
    /// Upstream time needed per second, in milliseconds.
    pub busy_ms: f64,
    /// Mean rank of its requests; 0 goes first.
    pub rank: f64,
}

impl ClassDemand {
    fn add(&mut self, other: &Self) {
        let sum = self.busy_ms + other.busy_ms;
        if sum > 0.0 {
            self.rank = (self.rank * self.busy_ms + other.rank * other.busy_ms) / sum;
        }
        self.busy_ms = sum;
    }
}

/// Demand of one pool, at one entry or in a region.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct PromptDemand {
    /// Long prompts.
    pub long: ClassDemand,
    /// Short prompts.
    pub short: ClassDemand,
}

impl PromptDemand {
    /// Adds the demand of another entry.
    pub fn add(&mut self, other: &Self) {
        self.long.add(&other.long);
        self.short.add(&other.short);
    }

    /// Demand of `factor` entries that each have this demand.
    pub fn scaled(self, factor: f64) -> Self {
        let scale = |class: ClassDemand| ClassDemand { busy_ms: class.busy_ms * factor, ..class };
        Self { long: scale(self.long), short: scale(self.short) }
    }

    /// Exact, fractional number of `upstreams` for long prompts.
    fn long_share(&self, upstreams: f64, sole: bool) -> f64 {
        let urgent_utilization = if sole { SOLE_URGENT_UTILIZATION } else { URGENT_UTILIZATION };
        let needed = |class: &ClassDemand, other: &ClassDemand| {
            let urgent = class.rank + MIN_RANK_DIFFERENCE < other.rank;
            class.busy_ms / 1_000.0 / if urgent { urgent_utilization } else { PATIENT_UTILIZATION }
        };
        let long = needed(&self.long, &self.short);
        let short = needed(&self.short, &self.long);
        let shared = upstreams * long / (long + short);
        if self.short.rank + MIN_RANK_DIFFERENCE < self.long.rank {
            shared.min(upstreams - short)
        } else if self.long.rank + MIN_RANK_DIFFERENCE < self.short.rank {
            shared.max(long.min(upstreams))
        } else {
            shared
        }
    }
}

/// Decaying sum of the work of one class, and the smoothed mean rank of its requests.
#[derive(Debug, Clone, Copy, Default)]
struct ClassWork {
    sum_ms: f64,
    rank: Option<f64>,
}

/// Recent work that one entry has sent to a pool, and the current partition of its upstreams.
#[derive(Debug, Clone, Copy)]
pub struct PoolPartition {
    long: ClassWork,
    short: ClassWork,
    updated_at: Instant,
    count: Option<(usize, usize)>,
}

impl PoolPartition {
    /// Creates a partition without any work before `now`.
    pub fn new(now: Instant) -> Self {
        let (long, short) = (ClassWork::default(), ClassWork::default());
        Self { long, short, updated_at: now, count: None }
    }

    fn decay(&mut self, now: Instant) {
        let halves = (now - self.updated_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let kept = (-halves).exp2();
        self.long.sum_ms *= kept;
        self.short.sum_ms *= kept;
        self.updated_at = now;
    }

    /// Records a request.
    pub fn record(&mut self, class: PromptClass, work: PromptWork, now: Instant) {
        self.decay(now);
        let own = match class {
            PromptClass::Long => &mut self.long,
            PromptClass::Short => &mut self.short,
        };
        own.sum_ms +=
            work.prefill_ms + MIXED_STEP_MS + work.occupancy_ms.min(MAX_OCCUPANCY_MS) / work.slots;
        let rank = f64::from(work.rank);
        let mean = own.rank.get_or_insert(rank);
        *mean += RANK_SMOOTHING * (rank - *mean);
    }

    /// Current demand of this entry.
    pub fn demand(&mut self, now: Instant) -> PromptDemand {
        self.decay(now);
        let mean_life_s = HALF_LIFE.as_secs_f64() / std::f64::consts::LN_2;
        let demand = |work: &ClassWork| ClassDemand {
            busy_ms: work.sum_ms / mean_life_s,
            rank: work.rank.unwrap_or_default(),
        };
        PromptDemand { long: demand(&self.long), short: demand(&self.short) }
    }

    /// Number of `upstreams` for long prompts under the region's `demand`; these are the first ones in the
    /// common order. Each class with demand gets at least one upstream; the result is 0 if there are
    /// fewer than two upstreams, which then serve both classes.
    ///
    /// The number changes only if the demand has clearly changed, so that prompts keep going to the
    /// upstreams that have cached their shared parts. `sole` states that one chooser knows all work of
    /// the upstreams.
    pub fn count_long(&mut self, upstreams: usize, demand: &PromptDemand, sole: bool) -> usize {
        let (long, short) = (demand.long.busy_ms, demand.short.busy_ms);
        if upstreams < 2 || long <= 0.0 {
            return 0;
        }
        if short <= 0.0 {
            return upstreams;
        }
        let exact = demand.long_share(upstreams as f64, sole).max(0.0);
        if let Some((of, count)) = self.count
            && of == upstreams
            && (exact - count as f64).abs()
                < COUNT_HYSTERESIS.max(upstreams as f64 * COUNT_HYSTERESIS_FRACTION)
        {
            return count;
        }
        let count = (exact.round() as usize).clamp(1, upstreams - 1);
        self.count = Some((upstreams, count));
        count
    }
}
