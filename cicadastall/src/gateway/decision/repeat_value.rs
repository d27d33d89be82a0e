//! Learns how often a repeat of a request succeeds, by what the attempt before it looked like. Performs
//! no I/O.
//!
//! Answers the load of a pool some of whose requests fail wherever they run: each repeat of such a request
//! takes an upstream's time and a share of the fleet's budget, and its caller gets the same failure later.
//! A failure of an upstream that fails more often than its pool says more about the upstream than about
//! the request, so that both cases are counted apart.

use crate::name::{PoolName, UpstreamName};
use std::collections::HashMap;

/// Fraction of successful repeats from which a repeat is worth its work: below it, nine callers wait
/// longer for each one that is served.
const MIN_SUCCESS: f64 = 0.1;

/// Number of repeats, assumed to have happened before the first one, with [`ASSUMED_SUCCESS`].
const ASSUMED_REPEATS: f64 = 3.0;

/// Fraction of the assumed repeats that succeeded.
const ASSUMED_SUCCESS: f64 = 0.5;

/// Number of requests after which an observation has lost half of its weight.
const HALF_LIFE: f64 = 32.0;

/// One of this many failures is repeated whatever was learned, so that a change shows.
const TRIAL_INTERVAL: u32 = 8;

/// Multiple of its pool's failure ratio from which an upstream fails more often than its pool.
const OUTLIER_FACTOR: f64 = 2.0;

/// Addition to that multiple, so that single failures make no outlier.
const OUTLIER_MARGIN: f64 = 0.1;

/// Maximum number of upstreams of a pool that are remembered.
const MAX_UPSTREAMS: usize = 1_024;

/// What a failed attempt looked like.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum FailureKind {
    /// The upstream answered with a failure of its own.
    Answered,
    /// The upstream answered that its time was over.
    TimedOut,
    /// The connection broke, or the answer was not valid.
    Broken,
}

/// A failed attempt that may be followed by a repeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct FailureClass {
    /// What it looked like.
    pub kind: FailureKind,
    /// Whether its upstream fails more often than the pool.
    pub outlier: bool,
}

/// Moving ratio of events among observations.
#[derive(Debug, Clone, Copy, Default)]
struct MovingRatio {
    events: f64,
    observations: f64,
}

impl MovingRatio {
    fn note(&mut self, event: bool) {
        let kept = 0.5_f64.powf(1.0 / HALF_LIFE);
        self.events = self.events * kept + f64::from(u8::from(event));
        self.observations = self.observations * kept + 1.0;
    }

    /// The ratio, as if `assumed` observations with the ratio `ratio` had come before.
    fn value(&self, assumed: f64, ratio: f64) -> f64 {
        (self.events + assumed * ratio) / (self.observations + assumed)
    }
}

#[derive(Debug, Default)]
struct PoolRecord {
    failures: MovingRatio,
    upstreams: HashMap<UpstreamName, MovingRatio>,
    repeats: HashMap<FailureClass, MovingRatio>,
    /// Failures that were passed on since the last trial.
    passed_on: u32,
}

/// Success of repeats, by pool and by the failure before them.
#[derive(Debug, Default)]
pub struct RepeatValue {
    pools: HashMap<PoolName, PoolRecord>,
}

impl RepeatValue {
    /// Records that `upstream` answered a request, with a failure of its own if `failed`.
    pub fn note_answer(&mut self, pool: &PoolName, upstream: &UpstreamName, failed: bool) {
        let record = self.pools.entry(pool.clone()).or_default();
        record.failures.note(failed);
        if record.upstreams.len() >= MAX_UPSTREAMS && !record.upstreams.contains_key(upstream) {
            record.upstreams.clear();
        }
        record.upstreams.entry(upstream.clone()).or_default().note(failed);
    }

    /// Class of a failed attempt at `upstream`.
    pub fn classify(
        &self,
        pool: &PoolName,
        upstream: &UpstreamName,
        kind: FailureKind,
    ) -> FailureClass {
        let outlier = self.pools.get(pool).is_some_and(|record| {
            let usual = record.failures.value(ASSUMED_REPEATS, 0.0);
            let own = record.upstreams.get(upstream).copied().unwrap_or_default();
            own.value(ASSUMED_REPEATS, usual) > usual * OUTLIER_FACTOR + OUTLIER_MARGIN
        });
        FailureClass { kind, outlier }
    }

    /// Whether a repeat after a failure of this class serves callers. Connections that break say little
    /// about the request, so that repeats after them are always worth it.
    pub fn is_worth(&mut self, pool: &PoolName, class: FailureClass) -> bool {
        if class.kind == FailureKind::Broken {
            return true;
        }
        let record = self.pools.entry(pool.clone()).or_default();
        let repeats = record.repeats.get(&class).copied().unwrap_or_default();
        if repeats.value(ASSUMED_REPEATS, ASSUMED_SUCCESS) >= MIN_SUCCESS {
            return true;
        }
        record.passed_on += 1;
        if record.passed_on >= TRIAL_INTERVAL {
            record.passed_on = 0;
            return true;
        }
        false
    }

    /// Records how a repeat after a failure of this class ended.
    pub fn note_repeat(&mut self, pool: &PoolName, class: FailureClass, good: bool) {
        let record = self.pools.entry(pool.clone()).or_default();
        record.repeats.entry(class).or_default().note(good);
    }
}
