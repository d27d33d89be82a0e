//! Whether a request may be attempted again after a failed attempt.

use crate::{answer::Ran, decode::RequestPlan, name::PoolName};
use std::collections::BTreeMap;

/// Most attempts for one request.
pub const MAX_ATTEMPTS: u32 = 4;

/// Retries that each first attempt adds to the budget.
const RETRY_SHARE: f64 = 0.08;

/// Most retries that the budget of a pool holds, so that the loss of one upstream can be mended.
const RETRY_BURST: f64 = 32.0;

/// Whether the request itself permits another attempt: a call that may not be repeated is sent
/// again only while it is certain that it was not run.
pub fn permits_attempt(plan: &RequestPlan, ran: Ran, attempts: u32) -> bool {
    attempts < MAX_ATTEMPTS && (plan.repeatable || ran == Ran::No)
}

/// Retries that one entry may still send to each pool.
#[derive(Debug, Clone, Default)]
pub struct RetryBudget {
    levels: BTreeMap<PoolName, f64>,
}

impl RetryBudget {
    /// Counts a first attempt.
    pub fn note_first(&mut self, pool: &PoolName) {
        let level = self.levels.entry(pool.clone()).or_insert(RETRY_BURST);
        *level = (*level + RETRY_SHARE).min(RETRY_BURST);
    }

    /// Whether a retry may be sent.
    pub fn permits_retry(&self, pool: &PoolName) -> bool {
        self.levels.get(pool).is_none_or(|level| *level >= 1.0)
    }

    /// Takes one retry out of the budget; false if it is used up.
    pub fn take_retry(&mut self, pool: &PoolName) -> bool {
        let level = self.levels.entry(pool.clone()).or_insert(RETRY_BURST);
        let taken = *level >= 1.0;
        if taken {
            *level -= 1.0;
        }
        taken
    }
}
