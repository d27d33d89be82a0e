//! Wall-clock time that advances with the runtime's monotonic clock, and conversions to
//! milliseconds.

use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Wall clock that reads the system time once and then advances with the runtime's monotonic clock.
#[derive(Debug, Clone, Copy)]
pub struct WallClock {
    started: Instant,
    started_ms: u64,
}

impl WallClock {
    /// Starts a clock at the current system time.
    pub fn start() -> Self {
        Self { started: Instant::now(), started_ms: unix_ms() }
    }

    /// Milliseconds since the Unix epoch.
    pub fn now_ms(&self) -> u64 {
        self.started_ms + millis(self.started.elapsed())
    }
}

/// Whole milliseconds of `duration`, at most `u64::MAX`.
pub(crate) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Duration of `count` milliseconds.
pub(crate) fn from_millis(count: u32) -> Duration {
    Duration::from_millis(u64::from(count))
}

/// Milliseconds of `duration`, with a fractional part.
pub(crate) fn fractional_millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}

/// Milliseconds since the Unix epoch by the system clock; 0 if the clock is set before the epoch.
pub(crate) fn unix_ms() -> u64 {
    millis(SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default())
}
