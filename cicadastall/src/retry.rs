//! Retry rules: when a failed request may be attempted again, and the retry budget of each pool.

use crate::{answer::Ran, decode::RequestPlan, name::PoolName};
use std::collections::BTreeMap;

/// Maximum number of attempts per request.
pub const MAX_ATTEMPTS: u32 = 4;

/// Retries that each first attempt adds to the budget of its pool.
const RETRIES_PER_FIRST_ATTEMPT: f64 = 0.08;

/// Maximum number of retries in the budget of a pool; large enough to retry the requests that fail
/// when one upstream is lost.
const MAX_RETRY_BURST: f64 = 32.0;

/// Whether the request may be attempted again after `attempts` attempts: a request that is not
/// repeatable is sent again only if it certainly did not run.
pub fn is_retryable(plan: &RequestPlan, ran: Ran, attempts: u32) -> bool {
    attempts < MAX_ATTEMPTS && (plan.repeatable || ran == Ran::No)
}

/// Token bucket per pool for the retries that one entry may send; a pool starts with a full bucket.
#[derive(Debug, Clone, Default)]
pub struct RetryBudget {
    levels: BTreeMap<PoolName, f64>,
}

impl RetryBudget {
    /// Adds the share of one first attempt to the budget of `pool`.
    pub fn record_first_attempt(&mut self, pool: &PoolName) {
        let level = self.levels.entry(pool.clone()).or_insert(MAX_RETRY_BURST);
        *level = (*level + RETRIES_PER_FIRST_ATTEMPT).min(MAX_RETRY_BURST);
    }

    /// Whether the budget of `pool` allows a retry.
    pub fn permits_retry(&self, pool: &PoolName) -> bool {
        self.levels.get(pool).is_none_or(|level| *level >= 1.0)
    }

    /// Takes one retry from the budget of `pool`; false if the budget is exhausted.
    pub fn take_retry(&mut self, pool: &PoolName) -> bool {
        let level = self.levels.entry(pool.clone()).or_insert(MAX_RETRY_BURST);
        let taken = *level >= 1.0;
        if taken {
            *level -= 1.0;
        }
        taken
    }
}
