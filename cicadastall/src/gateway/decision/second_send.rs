//! Decides whether and when a request that is late is sent to a second upstream. Performs no I/O.
//!
//! Answers the load of a pool that has room, but some of whose upstreams are slow for a moment: a second
//! send helps the few requests that wait longer than nearly all others of their route and size. Its limits
//! are fractions of what the pool is asked for, so that second sends do not grow with the delays that
//! cause them.

use crate::{gateway::settings::SecondSendBounds, name::PoolName};
use std::{
    collections::{HashMap, VecDeque},
    sync::Arc,
    time::Duration,
};
use tokio::time::Instant;

/// Fraction of the times that are shorter than the delay of a second send.
const DELAY_QUANTILE: f64 = 0.95;

/// Number of the newest times that are kept for one route and size.
const MAX_TIMES: usize = 128;

/// Number of times that must be known before a second send is made.
const MIN_TIMES: usize = 20;

/// Age from which a time no longer counts.
const MAX_TIME_AGE: Duration = Duration::from_secs(60);

/// Maximum number of routes and sizes; the operator's documents name far fewer.
const MAX_CLASSES: usize = 4_096;

/// Number of second sends that may be saved up while none are needed.
const MAX_SAVED_SENDS: f64 = 3.0;

/// Fraction of an upstream's slots up to which it gets second sends.
const MAX_BUSY_FRACTION: f64 = 0.5;

/// Size of a prompt: the binary logarithm of its number of tokens.
type SizeClass = u32;

/// Recent times to the first byte of one route and size.
#[derive(Debug, Default)]
struct RecentTimes {
    times: VecDeque<(Instant, Duration)>,
}

impl RecentTimes {
    fn note(&mut self, took: Duration, now: Instant) {
        self.times.push_back((now, took));
        if self.times.len() > MAX_TIMES {
            self.times.pop_front();
        }
    }

    fn quantile(&self, now: Instant) -> Option<Duration> {
        let fresh = self.times.iter().filter(|(at, _)| now < *at + MAX_TIME_AGE);
        let mut fresh: Vec<_> = fresh.map(|(_, took)| *took).collect();
        if fresh.len() < MIN_TIMES {
            return None;
        }
        fresh.sort_unstable();
        let rank = (fresh.len() as f64 * DELAY_QUANTILE).ceil() as usize;
        fresh.get(rank.clamp(1, fresh.len()) - 1).copied()
    }
}

/// What the limits still allow for one pool.
#[derive(Debug, Default)]
struct SendCredit {
    sends: f64,
    work_ms: f64,
}

/// Load of the upstream that a second send would go to.
#[derive(Debug, Clone, Copy)]
pub struct SecondTarget {
    /// Requests in flight at the upstream, as far as they are known.
    pub requests: u32,
    /// Number of requests that it runs at the same time.
    pub slots: u32,
    /// Predicted time of its answer.
    pub answer: Duration,
    /// Whether it is warm, not brittle, and not limited to a rate.
    pub sound: bool,
}

/// Why there is no second send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SecondSendRefusal {
    /// The upstream is busy, or is not to be burdened.
    Loaded,
    /// The operator's limits, or the budget of retries, are used up.
    Spent,
    /// Its answer would come too late.
    Late,
}

impl SecondSendRefusal {
    /// Value in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Loaded => "loaded",
            Self::Spent => "spent",
            Self::Late => "late",
        }
    }
}

/// Decides on second sends of one entry.
#[derive(Debug)]
pub struct SecondSendPlanner {
    bounds: SecondSendBounds,
    times: HashMap<(Arc<str>, SizeClass), RecentTimes>,
    credits: HashMap<PoolName, SendCredit>,
}

impl SecondSendPlanner {
    /// Creates a planner with the operator's limits.
    pub fn new(bounds: SecondSendBounds) -> Self {
        Self { bounds, times: HashMap::new(), credits: HashMap::new() }
    }

    /// Counts the first send of a request, with the time for which it is predicted to occupy an upstream.
    pub fn note_first(&mut self, pool: &PoolName, work: Duration) {
        let SecondSendBounds { request_ratio, work_ratio } = self.bounds;
        let work_ms = work.as_secs_f64() * 1_000.0;
        let credit = self.credits.entry(pool.clone()).or_default();
        credit.sends = (credit.sends + request_ratio).min(MAX_SAVED_SENDS);
        credit.work_ms = (credit.work_ms + work_ratio * work_ms).min(MAX_SAVED_SENDS * work_ms);
    }

    /// Records the time from a send to the first byte of its answer.
    pub fn note_time(&mut self, route: &Arc<str>, tokens: u32, took: Duration, now: Instant) {
        if self.times.len() >= MAX_CLASSES {
            self.times.clear();
        }
        let class = (Arc::clone(route), size_class(tokens));
        self.times.entry(class).or_default().note(took, now);
    }

    /// Time after its first send from which a request is late; none if too few times are known.
    pub fn delay(&self, route: &Arc<str>, tokens: u32, now: Instant) -> Option<Duration> {
        self.times.get(&(Arc::clone(route), size_class(tokens)))?.quantile(now)
    }

    /// Decides on a second send to `target` of a request that has `remaining` left, and counts it if it is
    /// allowed. `take_repeat` takes it from the budget of retries.
    pub fn take(
        &mut self,
        pool: &PoolName,
        target: SecondTarget,
        remaining: Duration,
        take_repeat: impl FnOnce() -> bool,
    ) -> Result<(), SecondSendRefusal> {
        let busy = f64::from(target.requests) >= f64::from(target.slots) * MAX_BUSY_FRACTION;
        if !target.sound || busy {
            return Err(SecondSendRefusal::Loaded);
        }
        if target.answer >= remaining {
            return Err(SecondSendRefusal::Late);
        }
        let credit = self.credits.entry(pool.clone()).or_default();
        let work_ms = target.answer.as_secs_f64() * 1_000.0;
        if credit.sends < 1.0 || credit.work_ms < work_ms || !take_repeat() {
            return Err(SecondSendRefusal::Spent);
        }
        credit.sends -= 1.0;
        credit.work_ms -= work_ms;
        Ok(())
    }
}

fn size_class(tokens: u32) -> SizeClass {
    tokens.max(1).ilog2()
}
