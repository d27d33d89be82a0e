//! Which upstreams of a pool read long prompts, and which answer short ones.
//!
//! An engine that reads a long prompt makes every stream that it answers wait for each chunk of it. So
//! long prompts and short ones go to different upstreams where there are several. The more urgent sort
//! gets as many as its work of the last seconds needs, the other one the rest. All entries number the
//! upstreams alike, so that they choose the same ones without a word.

use std::time::Duration;
use tokio::time::Instant;

/// Prompt tokens from which a prompt is long: more than an engine reads between two steps.
const LONG_TOKENS: u32 = 2_048;

/// Time after which work counts half.
const HALF_LIFE: Duration = Duration::from_secs(3);

/// Time of a step in which an engine reads a short prompt beside the tokens that it generates, in
/// milliseconds.
const STEP_MS: f64 = 7.0;

/// Longest time for which a request is counted to hold its place, in milliseconds; an engine that is
/// overloaded takes longer, but needs no more upstreams for that.
const MOST_WHOLE_MS: f64 = 2_500.0;

/// Part of its time that an upstream of the more urgent sort works.
const URGENT_USE: f64 = 0.65;

/// Weight of the rank of one request in the mean of its sort.
const RANK_WEIGHT: f64 = 0.05;

/// Difference of mean ranks from which one sort is more urgent.
const RANK_DIFFERENCE: f64 = 0.5;

/// Sort of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum PromptSort {
    /// Read in several steps.
    Long,
    /// Read in one step.
    Short,
}

impl PromptSort {
    /// Sort of a prompt of `tokens`.
    pub fn of(tokens: u32) -> Self {
        if tokens >= LONG_TOKENS { Self::Long } else { Self::Short }
    }
}

/// Work of one request at an upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PromptWork {
    /// Time to read its prompt, in milliseconds.
    pub read_ms: f64,
    /// Time for which it holds its place, in milliseconds.
    pub whole_ms: f64,
    /// Places of the upstream.
    pub slots: f64,
    /// Rank; 0 goes first.
    pub rank: u8,
}

/// Work of one sort in the last seconds.
#[derive(Debug, Clone, Copy, Default)]
struct SortWork {
    sum_ms: f64,
    rank: Option<f64>,
}

/// Work of one pool in the last seconds.
#[derive(Debug, Clone, Copy)]
pub struct PromptGroups {
    long: SortWork,
    short: SortWork,
    counted_at: Instant,
}

impl PromptGroups {
    /// There was no work before `now`.
    pub fn new(now: Instant) -> Self {
        Self { long: SortWork::default(), short: SortWork::default(), counted_at: now }
    }

    /// Counts a request.
    pub fn note(&mut self, sort: PromptSort, work: PromptWork, now: Instant) {
        let halves = (now - self.counted_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let kept = (-halves).exp2();
        self.long.sum_ms *= kept;
        self.short.sum_ms *= kept;
        self.counted_at = now;
        let own = match sort {
            PromptSort::Long => &mut self.long,
            PromptSort::Short => &mut self.short,
        };
        own.sum_ms += work.read_ms + STEP_MS + work.whole_ms.min(MOST_WHOLE_MS) / work.slots;
        let rank = f64::from(work.rank);
        let mean = own.rank.get_or_insert(rank);
        *mean += RANK_WEIGHT * (rank - *mean);
    }

    /// How many of `upstreams`, which `entries` share, read long prompts: those with the lowest
    /// numbers. At least one for each sort that there is, and none where one must do both.
    pub fn count_long(&self, upstreams: usize, entries: usize) -> usize {
        let (Some(long_rank), Some(short_rank)) = (self.long.rank, self.short.rank) else {
            return if self.long.rank.is_some() { upstreams } else { 0 };
        };
        if upstreams < 2 {
            return 0;
        }
        // Work of the last seconds as the number of upstreams that it keeps busy.
        let mean_life_ms = HALF_LIFE.as_secs_f64() * 1_000.0 / std::f64::consts::LN_2;
        let busy = |work: &SortWork| work.sum_ms * entries as f64 / mean_life_ms / URGENT_USE;
        let (long, short) = (busy(&self.long), busy(&self.short));
        let all = upstreams as f64;
        let shared = if long + short > 0.0 { all * long / (long + short) } else { 0.0 };
        let exact = if short_rank + RANK_DIFFERENCE < long_rank {
            shared.min(all - short)
        } else if long_rank + RANK_DIFFERENCE < short_rank {
            shared.max(long.min(all))
        } else {
            shared
        };
        (exact.max(0.0).round() as usize).clamp(1, upstreams - 1)
    }
}
