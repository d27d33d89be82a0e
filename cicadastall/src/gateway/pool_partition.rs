//! Which upstreams of a pool read long prompts, and which answer short ones.
//!
//! An engine that reads a long prompt makes every stream that it answers wait for each chunk of it. So
//! long prompts and short ones go to different upstreams where there are several. The more urgent sort
//! gets as many as its work of the last seconds needs, the other one the rest. All entries number the
//! upstreams alike and are told the work of their region, so that they choose the same ones.

use serde::{Deserialize, Serialize};
use std::time::Duration;
use tokio::time::Instant;

/// Prompt tokens from which a prompt is long: more than an engine reads between two steps.
const LONG_PROMPT_TOKENS: u32 = 2_048;

/// Time after which work counts half.
const HALF_LIFE: Duration = Duration::from_secs(3);

/// Time of a step in which an engine reads a short prompt beside the tokens that it generates, in
/// milliseconds.
const MIXED_STEP_MS: f64 = 7.0;

/// Longest time for which a request is counted to hold its place, in milliseconds; an engine that is
/// overloaded takes longer, but needs no more upstreams for that.
const MAX_OCCUPANCY_MS: f64 = 2_500.0;

/// Part of its time that an upstream of the more urgent sort works.
const URGENT_UTILIZATION: f64 = 0.5;

/// The same where one chooser knows all work, so that no place has to be kept for what others send.
const SOLE_URGENT_UTILIZATION: f64 = 0.85;

/// The same for the other class.
const PATIENT_UTILIZATION: f64 = 0.75;

/// Weight of the rank of one request in the mean of its class.
const RANK_SMOOTHING: f64 = 0.05;

/// Difference of mean ranks from which one sort is more urgent.
const MIN_RANK_DIFFERENCE: f64 = 0.5;

/// Difference to the exact number of upstreams for long prompts below which it is not changed.
const COUNT_HYSTERESIS: f64 = 0.7;

/// The same as a part of all upstreams.
const COUNT_HYSTERESIS_FRACTION: f64 = 0.06;

/// Sort of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum PromptClass {
    /// Read in several steps.
    Long,
    /// Read in one step.
    Short,
}

impl PromptClass {
    /// Sort of a prompt of `tokens`.
    pub fn of(tokens: u32) -> Self {
        if tokens >= LONG_PROMPT_TOKENS { Self::Long } else { Self::Short }
    }
}

/// Work of one request at an upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PromptWork {
    /// Time to read its prompt, in milliseconds.
    pub prefill_ms: f64,
    /// Time for which it holds its place, in milliseconds.
    pub occupancy_ms: f64,
    /// Places of the upstream.
    pub slots: f64,
    /// Rank; 0 goes first.
    pub rank: u8,
}

/// Work of one sort of prompts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct ClassDemand {
    /// Milliseconds of an upstream's time in each second.
    pub busy_ms: f64,
    /// Mean rank of its requests.
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

/// Work of one pool, of one entry or of a region.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct PromptDemand {
    /// Long prompts.
    pub long: ClassDemand,
    /// Short prompts.
    pub short: ClassDemand,
}

impl PromptDemand {
    /// Adds the work of others.
    pub fn add(&mut self, other: &Self) {
        self.long.add(&other.long);
        self.short.add(&other.short);
    }

    /// The work of `factor` entries like this one.
    pub fn scaled(self, factor: f64) -> Self {
        let scale = |class: ClassDemand| ClassDemand { busy_ms: class.busy_ms * factor, ..class };
        Self { long: scale(self.long), short: scale(self.short) }
    }

    /// How many of `upstreams` read long prompts, as a number that need not be whole.
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

/// Work of one sort in the last seconds.
#[derive(Debug, Clone, Copy, Default)]
struct ClassWork {
    sum_ms: f64,
    rank: Option<f64>,
}

/// Work that one entry has given to a pool in the last seconds, and the split of its upstreams.
#[derive(Debug, Clone, Copy)]
pub struct PoolPartition {
    long: ClassWork,
    short: ClassWork,
    updated_at: Instant,
    count: Option<(usize, usize)>,
}

impl PoolPartition {
    /// There was no work before `now`.
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

    /// Counts a request.
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

    /// Work of this entry.
    pub fn demand(&mut self, now: Instant) -> PromptDemand {
        self.decay(now);
        let mean_life_s = HALF_LIFE.as_secs_f64() / std::f64::consts::LN_2;
        let demand = |work: &ClassWork| ClassDemand {
            busy_ms: work.sum_ms / mean_life_s,
            rank: work.rank.unwrap_or_default(),
        };
        PromptDemand { long: demand(&self.long), short: demand(&self.short) }
    }

    /// How many of `upstreams` read long prompts under the work `demand` of the region: those with the
    /// lowest numbers. At least one for each sort that there is, and none where one must do both.
    ///
    /// The number changes only where the work has clearly changed, so that prompts stay where their
    /// shared parts are. `sole` says that one chooser knows all work of the upstreams.
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
