//! Sends beyond the first of each request, bounded over the whole fleet in a sliding window.
//!
//! The fleet may send so many repeats to a pool in any window: a part of the requests for the pool,
//! and a number on top. Entries can't always talk to each other, so each one keeps to its own part:
//! the same part of its own requests, and an equal share of the number on top.

use crate::name::PoolName;
use serde::{Deserialize, Serialize};
use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};
use tokio::time::Instant;

/// Part of the number on top that is used, as an entry that restarts forgets what it has sent, and
/// entries that do not know each other count the fleet differently.
const EXTRA_FRACTION: f64 = 0.6;

/// Part of the ratio that is used. An entry counts both sides of it itself; the rest is for requests at the
/// edge of a window.
const RATIO_FRACTION: f64 = 0.85;

/// Slices into which a window is cut.
const WINDOW_SLICES: u32 = 20;

/// Bound of the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetryBounds {
    /// Repeats for each request.
    pub ratio: f64,
    /// Repeats on top, of the whole fleet.
    pub extra: f64,
    /// Length of the window, in seconds.
    pub window_s: f64,
}

impl Default for RetryBounds {
    fn default() -> Self {
        Self { ratio: 0.1, extra: 20.0, window_s: 10.0 }
    }
}

#[derive(Debug, Default)]
struct PoolWindow {
    slices: VecDeque<(Instant, u32, u32)>,
}

impl PoolWindow {
    fn slice(&mut self, now: Instant, window: Duration) -> &mut (Instant, u32, u32) {
        while self.slices.front().is_some_and(|(start, ..)| now >= *start + window) {
            self.slices.pop_front();
        }
        let length = window / WINDOW_SLICES;
        if self.slices.back().is_none_or(|(start, ..)| now >= *start + length) {
            self.slices.push_back((now, 0, 0));
        }
        let last = self.slices.len() - 1;
        &mut self.slices[last]
    }

    fn sums(&self) -> (u32, u32) {
        let add = |(a, b): (u32, u32), (_, c, d): &(Instant, u32, u32)| (a + c, b + d);
        self.slices.iter().fold((0, 0), add)
    }
}

/// Repeats that one entry may still send.
#[derive(Debug)]
pub struct RetryWindow {
    bounds: RetryBounds,
    pools: HashMap<PoolName, PoolWindow>,
    started_at: Instant,
}

impl RetryWindow {
    /// A window of a process that has just started, at `now`.
    pub fn new(bounds: RetryBounds, now: Instant) -> Self {
        Self { bounds, pools: HashMap::new(), started_at: now }
    }

    fn window(&self) -> Duration {
        // A slice is kept until its last request has left the window.
        let window = Duration::try_from_secs_f64(self.bounds.window_s).unwrap_or_default();
        window * (WINDOW_SLICES + 1) / WINDOW_SLICES
    }

    /// Counts the first send of a request.
    pub fn note_first(&mut self, pool: &PoolName, now: Instant) {
        let window = self.window();
        self.pools.entry(pool.clone()).or_default().slice(now, window).1 += 1;
    }

    /// Takes one repeat, if one is left to this entry of a fleet of `entries`.
    pub fn take_repeat(&mut self, pool: &PoolName, entries: usize, now: Instant) -> bool {
        let window = self.window();
        let RetryBounds { ratio, extra, .. } = self.bounds;
        // A process before this one may have used its share, and the fleet may not be known yet.
        let extra = if now >= self.started_at + window { extra } else { 0.0 };
        let pool = self.pools.entry(pool.clone()).or_default();
        pool.slice(now, window);
        let (requests, repeats) = pool.sums();
        let own = ratio * RATIO_FRACTION * f64::from(requests);
        let bound = own + extra * EXTRA_FRACTION / entries.max(1) as f64;
        let taken = f64::from(repeats + 1) <= bound;
        if taken {
            pool.slice(now, window).2 += 1;
        }
        taken
    }
}
