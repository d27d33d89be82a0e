//! Estimates the speed of an upstream from the requests that it answered.
//!
//! A sample compares the time that a part of an answer took with the time at the rated speed for the same
//! work beside the same number of requests. Waiting is no part of a sample, so the estimate does not follow
//! the load. The estimate is a quantile of the samples of the last seconds: a spell in which an upstream is
//! several times slower does not move it, and a lasting change does within the length of the window.

use crate::name::UpstreamName;
use serde::{Deserialize, Serialize};
use std::{collections::VecDeque, time::Duration};
use tokio::time::Instant;

/// Rate at which an engine of the rated speed reads prompts, in tokens per millisecond.
const RATED_READ_TOKENS_PER_MS: f64 = 56.0;

/// The same beside the decode steps of running requests.
pub const LOADED_READ_TOKENS_PER_MS: f64 = 45.0;

/// Duration of a decode step of an engine of the rated speed without requests, in milliseconds.
const RATED_STEP_MS: f64 = 3.8;

/// Addition to [`RATED_STEP_MS`] for each running request, in milliseconds.
const RATED_STEP_MS_PER_REQUEST: f64 = 0.1;

/// Prompt tokens that an engine reads in one step.
const TOKENS_PER_STEP: f64 = 2_048.0;

/// Duration of a call to a plain service of the rated speed, in milliseconds.
pub const RATED_CALL_MS: f64 = 20.0;

/// Time for which a sample counts while there are at least [`MIN_SAMPLES`] newer ones.
const SAMPLE_WINDOW: Duration = Duration::from_millis(2_200);

/// Time after which a sample never counts.
const SAMPLE_LIFETIME: Duration = Duration::from_secs(30);

/// Number of samples without which the estimate of an earlier owner, or the rated speed, also counts.
const MIN_SAMPLES: usize = 6;

/// Maximum number of samples that are kept.
const MAX_SAMPLES: usize = 96;

/// Quantile of the samples that is the estimate. Spells of slowness only add low samples, so it is above
/// the median.
const SPEED_QUANTILE: f64 = 0.65;

/// The same for calls, which also wait in the upstream.
const CALL_QUANTILE: f64 = 0.75;

/// Shortest time of which a sample is taken; shorter ones consist of delays of messages, in milliseconds.
const MIN_SAMPLE_MS: f64 = 8.0;

/// Longest time by which a sample is weighted, in milliseconds.
const MAX_SAMPLE_WEIGHT_MS: f64 = 200.0;

/// Weight of what an earlier owner told, or of the rated speed, in milliseconds.
const PRIOR_WEIGHT_MS: f64 = 30.0;

/// Power of the ratio between the least and the most time that a piece of work can take at the rated
/// speed, which is the weight of its sample.
const DOUBT_POWER: i32 = 4;

/// Weight below which a sample is not taken.
const MIN_CERTAINTY: f64 = 0.15;

/// Range of samples and estimates, relative to the rated speed.
const SPEED_RANGE: (f64, f64) = (0.1, 4.0);

/// Speed of an upstream as reported to control instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpeedRow(
    /// The upstream.
    pub UpstreamName,
    /// Speed relative to the rated one, in thousandths.
    pub u32,
    /// Number of samples of the last seconds.
    pub u32,
);

#[derive(Debug, Clone, Copy)]
struct SpeedSample {
    at: Instant,
    ratio: f64,
    weight_ms: f64,
}

/// Work of an upstream between two moments at which it was never idle.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct SpanWork {
    /// Tokens made for one request that ran all the time.
    pub made_tokens: f64,
    /// Prompt tokens that were read for any request.
    pub read_tokens: f64,
    /// Further prompt tokens that were read, unless they were cached.
    pub doubtful_tokens: f64,
    /// Mean number of requests that ran.
    pub running: f64,
}

impl SpanWork {
    /// Duration of the work at the rated speed, in milliseconds, with half of the doubtful tokens.
    pub fn rated_ms(&self) -> f64 {
        self.rated_ms_with(self.read_tokens + self.doubtful_tokens / 2.0)
    }

    fn rated_ms_with(&self, read_tokens: f64) -> f64 {
        let steps = self.made_tokens.max((read_tokens / TOKENS_PER_STEP).ceil());
        steps * rated_step_ms(self.running) + read_tokens / RATED_READ_TOKENS_PER_MS
    }

    /// Weight of a sample of this work: 1 without doubtful tokens, and less the more they change its
    /// duration.
    fn certainty(&self) -> f64 {
        let most_ms = self.rated_ms_with(self.read_tokens + self.doubtful_tokens);
        (self.rated_ms_with(self.read_tokens) / most_ms.max(1.0)).powi(DOUBT_POWER)
    }
}

/// Duration of a decode step beside `running` requests at the rated speed, in milliseconds.
pub fn rated_step_ms(running: f64) -> f64 {
    RATED_STEP_MS + RATED_STEP_MS_PER_REQUEST * running
}

/// Estimated speed of one upstream, relative to the rated speed.
#[derive(Debug, Clone)]
pub struct SpeedEstimate {
    samples: VecDeque<SpeedSample>,
    /// Estimate of an earlier owner or process; 1 if there was none.
    prior: f64,
    /// The estimate.
    ratio: f64,
}

impl Default for SpeedEstimate {
    fn default() -> Self {
        Self::with_prior(1.0)
    }
}

impl SpeedEstimate {
    /// Creates an estimate that starts with `prior`.
    pub fn with_prior(prior: f64) -> Self {
        let prior = clamp_speed(prior);
        Self { samples: VecDeque::new(), prior, ratio: prior }
    }

    /// Speed relative to the rated one: 0.5 takes twice the time for the same work.
    pub fn ratio(&self) -> f64 {
        self.ratio
    }

    /// Records what another process estimated; used until there are samples.
    pub fn set_prior(&mut self, prior: f64, now: Instant) {
        self.prior = clamp_speed(prior);
        if self.recent(now) == 0 {
            self.ratio = self.prior;
        }
    }

    /// Number of samples of the last seconds.
    pub fn recent(&self, now: Instant) -> usize {
        self.samples.iter().rev().take_while(|sample| now < sample.at + SAMPLE_WINDOW).count()
    }

    /// Records that `work` took `took`, without interruption, until `now`.
    pub fn note_work(&mut self, work: &SpanWork, took: Duration, now: Instant) {
        self.push(work.rated_ms(), took, work.certainty(), SPEED_QUANTILE, now);
    }

    /// Records a call to a plain service that took `took` until `now`.
    pub fn note_call(&mut self, took: Duration, now: Instant) {
        self.push(RATED_CALL_MS, took, 1.0, CALL_QUANTILE, now);
    }

    fn push(&mut self, rated_ms: f64, took: Duration, certainty: f64, quantile: f64, now: Instant) {
        let took_ms = took.as_secs_f64() * 1_000.0;
        if took_ms < MIN_SAMPLE_MS || certainty < MIN_CERTAINTY {
            return;
        }
        let ratio = clamp_speed(rated_ms / took_ms.max(1.0));
        let weight_ms = took_ms.clamp(MIN_SAMPLE_MS, MAX_SAMPLE_WEIGHT_MS) * certainty;
        if self.samples.len() >= MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(SpeedSample { at: now, ratio, weight_ms });
        self.update(quantile, now);
    }

    fn update(&mut self, quantile: f64, now: Instant) {
        while self.samples.front().is_some_and(|first| now >= first.at + SAMPLE_LIFETIME) {
            self.samples.pop_front();
        }
        let count = self.recent(now).max(MIN_SAMPLES);
        let newest = self.samples.iter().rev().take(count);
        let mut weighted: Vec<_> = newest.map(|sample| (sample.ratio, sample.weight_ms)).collect();
        if weighted.len() < MIN_SAMPLES {
            weighted.push((self.prior, PRIOR_WEIGHT_MS));
        }
        self.ratio = weighted_quantile(&mut weighted, quantile).unwrap_or(self.prior);
    }
}

fn clamp_speed(ratio: f64) -> f64 {
    let (lowest, highest) = SPEED_RANGE;
    if ratio.is_finite() { ratio.clamp(lowest, highest) } else { 1.0 }
}

/// The value below which `quantile` of the weight lies; `None` without values.
fn weighted_quantile(weighted: &mut [(f64, f64)], quantile: f64) -> Option<f64> {
    weighted.sort_unstable_by(|(first, _), (second, _)| first.total_cmp(second));
    let total: f64 = weighted.iter().map(|(_, weight)| weight).sum();
    let mut below = 0.0;
    let found = weighted.iter().find(|(_, weight)| {
        below += weight;
        below >= total * quantile
    });
    found.or(weighted.last()).map(|(value, _)| *value)
}
