//! Limits the retries of the whole fleet in a sliding window.
//!
//! In any window, the fleet may send a number of retries to a pool that is a ratio of the requests for
//! the pool plus a fixed extra. Entries cannot always communicate, so each one limits itself to the same
//! ratio of its own requests plus an equal share of the extra.

use crate::name::PoolName;
use serde::{Deserialize, Serialize};
use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};
use tokio::time::Instant;

/// Fraction of the extra that is used. The rest is a reserve, because an entry that restarts forgets its
/// retries and entries that do not know each other count the fleet differently.
const EXTRA_FRACTION: f64 = 0.6;

/// Fraction of the ratio that is used. An entry counts both requests and retries itself, so the reserve
/// only covers requests at the edge of a window.
const RATIO_FRACTION: f64 = 0.85;

/// Number of slices in a window.
const WINDOW_SLICES: u32 = 20;

/// Retry limits of the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RetryBounds {
    /// Retries for each request.
    pub ratio: f64,
    /// Further retries in each window, shared by the whole fleet.
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

/// Sliding window that limits the retries of one entry.
#[derive(Debug)]
pub struct RetryWindow {
    bounds: RetryBounds,
    pools: HashMap<PoolName, PoolWindow>,
    started_at: Instant,
}

impl RetryWindow {
    /// Creates the window of a process that starts at `now`.
    pub fn new(bounds: RetryBounds, now: Instant) -> Self {
        Self { bounds, pools: HashMap::new(), started_at: now }
    }

    fn window(&self) -> Duration {
        // One slice longer, because a slice counts until its last request has left the window.
        let window = Duration::try_from_secs_f64(self.bounds.window_s).unwrap_or_default();
        window * (WINDOW_SLICES + 1) / WINDOW_SLICES
    }

    /// Counts the first attempt of a request.
    pub fn note_first(&mut self, pool: &PoolName, now: Instant) {
        let window = self.window();
        self.pools.entry(pool.clone()).or_default().slice(now, window).1 += 1;
    }

    /// Counts a retry and returns whether it is allowed to this entry of a fleet of `entries`; a retry that
    /// is not allowed is not counted.
    pub fn take_repeat(&mut self, pool: &PoolName, entries: usize, now: Instant) -> bool {
        let window = self.window();
        let RetryBounds { ratio, extra, .. } = self.bounds;
        // The previous process may have used its share, and the fleet may not be fully known yet.
        let extra = if now >= self.started_at + window { extra } else { 0.0 };
        let pool = self.pools.entry(pool.clone()).or_default();
        pool.slice(now, window);
        let (requests, retries) = pool.sums();
        let ratio_share = ratio * RATIO_FRACTION * f64::from(requests);
        let bound = ratio_share + extra * EXTRA_FRACTION / entries.max(1) as f64;
        let allowed = f64::from(retries + 1) <= bound;
        if allowed {
            pool.slice(now, window).2 += 1;
        }
        allowed
    }
}
