//! Renewals of log rows in bulletins, rounded so that most fields are encoded in one byte.

use crate::table::LoadReport;
use serde::{Deserialize, Serialize};
use std::time::Duration;
use tokio::time::Instant;

/// Unit of ages in renewals, in milliseconds.
const AGE_UNIT_MS: u128 = 10;

/// Unit of queued prompt tokens in renewals.
const PROMPT_UNIT_TOKENS: u64 = 128;

/// Unit of tokens held in the KV cache in renewals.
const KV_UNIT_TOKENS: u64 = 1_024;

/// Renewal of a row without a change of its content.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum RowRenewal {
    /// An upstream renewed its announcement.
    Upstream {
        /// Row of the upstream.
        handle: u16,
        /// Number of the announcement.
        sequence: u64,
        /// Time since the announcement.
        age: RenewalAge,
        /// Reported load.
        load: RenewalLoad,
    },
    /// A digest of another zone arrived.
    Zone {
        /// Row of the zone.
        handle: u16,
        /// Number of the digest.
        sequence: u64,
        /// Time since its arrival.
        age: RenewalAge,
    },
}

/// Time since an event, rounded up, so that the event never appears more recent than it is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RenewalAge(u32);

impl RenewalAge {
    /// Time from `at` to `now`.
    pub fn new(at: Instant, now: Instant) -> Self {
        let elapsed = now.saturating_duration_since(at).as_millis();
        Self(u32::try_from(elapsed.div_ceil(AGE_UNIT_MS)).unwrap_or(u32::MAX))
    }

    /// Latest time at which the event can have happened; `None` if it is before the clock's origin.
    pub fn before(self, now: Instant) -> Option<Instant> {
        now.checked_sub(Duration::from_millis(u64::from(self.0) * AGE_UNIT_MS as u64))
    }
}

/// The part of a load report that is distributed to the whole zone.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RenewalLoad {
    running: u32,
    queued: u32,
    prompt_units: u64,
    kv_units: u64,
    urgent: Option<UrgentLoad>,
}

/// Load by urgent requests.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct UrgentLoad {
    running: u32,
    queued: u32,
    prompt_units: u64,
}

impl RenewalLoad {
    /// Extracts the part of `load`. Queued tokens are rounded up, tokens in the KV cache down.
    pub fn new(load: &LoadReport) -> Self {
        let urgent = UrgentLoad {
            running: load.urgent_running,
            queued: load.urgent_queued,
            prompt_units: load.urgent_prompt_tokens.div_ceil(PROMPT_UNIT_TOKENS),
        };
        let has_urgent = urgent.running > 0 || urgent.queued > 0 || urgent.prompt_units > 0;
        Self {
            running: load.running,
            queued: load.queued,
            prompt_units: load.queued_prompt_tokens.div_ceil(PROMPT_UNIT_TOKENS),
            kv_units: load.kv_used_tokens / KV_UNIT_TOKENS,
            urgent: has_urgent.then_some(urgent),
        }
    }

    /// Writes the part into `load`.
    pub fn fill(&self, load: &mut LoadReport) {
        load.running = self.running;
        load.queued = self.queued;
        load.queued_prompt_tokens = self.prompt_units.saturating_mul(PROMPT_UNIT_TOKENS);
        load.kv_used_tokens = self.kv_units.saturating_mul(KV_UNIT_TOKENS);
        let urgent = self.urgent.as_ref();
        load.urgent_running = urgent.map_or(0, |urgent| urgent.running);
        load.urgent_queued = urgent.map_or(0, |urgent| urgent.queued);
        let units = urgent.map_or(0, |urgent| urgent.prompt_units);
        load.urgent_prompt_tokens = units.saturating_mul(PROMPT_UNIT_TOKENS);
    }
}
