//! Limits the requests that are forwarded to another region to those that it accepts.
//!
//! Load: a region at its peak, whose neighbours have less room than their last summaries say. Summaries
//! are up to two seconds old and every entry acts on them, so that a region that is full gets many more
//! requests than it can take. Each of them crosses the link between the regions and is refused there, and
//! its caller waits for that. Here the outcomes of the last seconds decide: the more of an entry's
//! requests a region refused for lack of room, the fewer it gets, down to a few that find out when there
//! is room again.

use crate::name::{PoolName, RegionName};
use rand::{Rng, RngExt};
use std::{collections::HashMap, time::Duration};
use tokio::time::Instant;

/// Half-life of the weight of past outcomes; a region's room changes within seconds.
const OUTCOME_HALF_LIFE: Duration = Duration::from_millis(600);

/// Requests that are forwarded for each one that was accepted, so that growing room is found.
const PROBE_FACTOR: f64 = 1.5;

/// Weight of refusals from which a region counts as full.
const MIN_REFUSED: f64 = 0.5;

/// Time without a request after which the outcomes of a region are dropped.
const IDLE_TIME: Duration = Duration::from_secs(10);

#[derive(Debug)]
struct RecentOutcomes {
    /// Requests that could be forwarded, whether they were or not.
    asked: f64,
    refused: f64,
    accepted: f64,
    counted_at: Instant,
}

impl RecentOutcomes {
    fn decay(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.counted_at);
        let weight = (-elapsed.as_secs_f64() / OUTCOME_HALF_LIFE.as_secs_f64()).exp2();
        self.asked *= weight;
        self.refused *= weight;
        self.accepted *= weight;
        self.counted_at = now;
    }

    /// Fraction of the requests that should not be forwarded. Without refusals it is 0, as outcomes
    /// arrive a round trip after the requests.
    fn excess(&self) -> f64 {
        if self.refused < MIN_REFUSED {
            return 0.0;
        }
        ((self.asked - PROBE_FACTOR * self.accepted) / (self.asked + 1.0)).max(0.0)
    }
}

/// Recent outcomes of the requests that one entry forwarded, by pool and region.
#[derive(Debug, Default)]
pub struct RegionThrottle {
    outcomes: HashMap<(PoolName, RegionName), RecentOutcomes>,
}

impl RegionThrottle {
    fn outcomes(
        &mut self,
        pool: &PoolName,
        region: &RegionName,
        now: Instant,
    ) -> &mut RecentOutcomes {
        let recent = self.outcomes.entry((pool.clone(), region.clone()));
        let recent = recent.or_insert(RecentOutcomes {
            asked: 0.0,
            refused: 0.0,
            accepted: 0.0,
            counted_at: now,
        });
        recent.decay(now);
        recent
    }

    /// Records whether `region` had room for a forwarded request.
    pub fn note_outcome(
        &mut self,
        pool: &PoolName,
        region: &RegionName,
        accepted: bool,
        now: Instant,
    ) {
        let recent = self.outcomes(pool, region, now);
        *(if accepted { &mut recent.accepted } else { &mut recent.refused }) += 1.0;
    }

    /// Whether a request for `pool` may be forwarded to `region` now. Counts it as asked.
    pub fn admit(
        &mut self,
        pool: &PoolName,
        region: &RegionName,
        now: Instant,
        random: &mut impl Rng,
    ) -> bool {
        self.outcomes.retain(|_, recent| now < recent.counted_at + IDLE_TIME);
        let recent = self.outcomes(pool, region, now);
        recent.asked += 1.0;
        !random.random_bool(recent.excess())
    }
}
