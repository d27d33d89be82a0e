//! Wall-clock time that advances with the runtime's clock.

use std::time::{SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Reads the system's time once and then follows the clock of the runtime.
#[derive(Debug, Clone, Copy)]
pub struct WallClock {
    started: Instant,
    started_ms: u64,
}

impl WallClock {
    /// A clock that reads the system's time now.
    pub fn start() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { started: Instant::now(), started_ms: since_epoch.as_millis() as u64 }
    }

    /// Milliseconds since 1970.
    pub fn now_ms(&self) -> u64 {
        self.started_ms + self.started.elapsed().as_millis() as u64
    }
}
