//! Measures how far the runtime of an entry is behind its timers, which shows that its processor is busy.

use crate::gateway::{knowledge::entry_capacity::EntryCapacity, settings::InstanceCapacity};
use std::{
    sync::atomic::{AtomicU32, Ordering},
    time::Duration,
};
use tokio::time::{Instant, sleep};

/// Time between two measurements.
const LAG_INTERVAL: Duration = Duration::from_millis(100);

/// Lag that an entry with spare processor time also has, in milliseconds.
const USUAL_LAG_MS: f64 = 15.0;

/// Further lag at which an entry announces none of its capacity, in milliseconds.
const FULL_LAG_MS: f64 = 150.0;

/// Weight of one measurement in the moving average: half of a change shows within a second.
const LAG_WEIGHT: f64 = 0.07;

/// Moving average of the lag of one runtime.
#[derive(Debug, Default)]
pub struct LagMeter {
    /// In microseconds.
    mean_us: AtomicU32,
}

impl LagMeter {
    /// Measures periodically until the task is dropped.
    pub async fn run(&self) {
        loop {
            let due = Instant::now() + LAG_INTERVAL;
            sleep(LAG_INTERVAL).await;
            self.note(due.elapsed());
        }
    }

    /// Adds a measurement.
    pub fn note(&self, lag: Duration) {
        let mean_us = f64::from(self.mean_us.load(Ordering::Relaxed));
        let lag_us = (lag.as_secs_f64() * 1e6).min(1e6);
        let mean_us = mean_us + LAG_WEIGHT * (lag_us - mean_us);
        self.mean_us.store(mean_us as u32, Ordering::Relaxed);
    }

    /// Fraction of its capacity that the entry is behind, from 0 to 1.
    pub fn behind(&self) -> f64 {
        let mean_ms = f64::from(self.mean_us.load(Ordering::Relaxed)) / 1_000.0;
        ((mean_ms - USUAL_LAG_MS) / FULL_LAG_MS).clamp(0.0, 1.0)
    }

    /// What an entry with `capacity` announces.
    pub fn announce(&self, capacity: &InstanceCapacity) -> EntryCapacity {
        EntryCapacity::new(capacity, self.behind())
    }
}
