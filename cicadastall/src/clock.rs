//! Wall-clock time that advances with the runtime's monotonic clock, a clock that counts suspension,
//! and conversions to milliseconds.

use rustix::time::{ClockId, clock_gettime};
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

/// A point in time by a clock that also counts the time for which the instance was suspended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct BootInstant(Duration);

impl BootInstant {
    /// The current time.
    pub fn now() -> Self {
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
        let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
        Self(Duration::new(seconds, nanos))
    }

    /// The point in time `elapsed` after the instance booted.
    pub fn since_boot(elapsed: Duration) -> Self {
        Self(elapsed)
    }

    /// Time from `earlier` until this point; zero if `earlier` is later.
    pub fn saturating_duration_since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// The point in time `duration` before this one, but not before the instance booted.
    pub fn saturating_sub(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(duration))
    }

    /// The point in time `duration` after this one.
    pub fn saturating_add(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(duration))
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
