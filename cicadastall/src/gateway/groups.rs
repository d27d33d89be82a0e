//! Which upstreams of a pool read long prompts, and which answer short ones.
//!
//! An engine that reads a long prompt makes every stream that it answers wait for each chunk of it. So
//! long prompts and short ones go to different upstreams where there are several, as many for each as
//! the work of the last seconds needs. All entries number the upstreams alike, so that they choose
//! the same ones without a word.

use std::time::Duration;
use tokio::time::Instant;

/// Prompt tokens from which a prompt is long: more than an engine reads between two steps.
const LONG_TOKENS: u32 = 2_048;

/// Time after which reading counts half.
const HALF_LIFE: Duration = Duration::from_secs(3);

/// Time of a step in which an engine reads a short prompt beside the tokens that it generates, in
/// milliseconds.
const STEP_MS: f64 = 7.0;

/// Weight of the work for short prompts, whose requests wait for less.
const SHORT_WEIGHT: f64 = 1.3;

/// Sort of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum PromptSort {
    /// Read in several steps.
    Long,
    /// Read in one step.
    Short,
}

impl PromptSort {
    /// Sort of a prompt of which `unread` tokens are to be read.
    pub fn of(unread: u32) -> Self {
        if unread >= LONG_TOKENS { Self::Long } else { Self::Short }
    }
}

/// Work of one pool in the last seconds.
#[derive(Debug, Clone, Copy)]
pub struct PromptGroups {
    long_ms: f64,
    short_ms: f64,
    counted_at: Instant,
}

impl PromptGroups {
    /// There was no work before `now`.
    pub fn new(now: Instant) -> Self {
        Self { long_ms: 0.0, short_ms: 0.0, counted_at: now }
    }

    /// Counts a request whose prompt takes `read_ms` to read, and which holds one of `slots` places
    /// of its upstream for `whole_ms`.
    pub fn note(
        &mut self,
        sort: PromptSort,
        read_ms: f64,
        whole_ms: f64,
        slots: f64,
        now: Instant,
    ) {
        let halves = (now - self.counted_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let kept = (-halves).exp2();
        self.long_ms *= kept;
        self.short_ms *= kept;
        self.counted_at = now;
        let work_ms = read_ms + STEP_MS + whole_ms / slots;
        match sort {
            PromptSort::Long => self.long_ms += work_ms,
            PromptSort::Short => self.short_ms += work_ms * SHORT_WEIGHT,
        }
    }

    /// How many of `upstreams` read long prompts: those with the lowest numbers. At least one for each
    /// sort that is read, and none where one upstream must do both.
    pub fn count_long(&self, upstreams: usize) -> usize {
        let total = self.long_ms + self.short_ms;
        if upstreams < 2 || total <= 0.0 {
            return 0;
        }
        let exact = upstreams as f64 * self.long_ms / total;
        (exact.round() as usize).clamp(1, upstreams - 1)
    }
}
