//! Software versions whose upstreams served within the lifetime of a stream's record.

use crate::{
    clock::from_millis,
    gateway::knowledge::stream_origins::ORIGIN_LIFETIME,
    name::{PoolName, SoftwareVersion},
};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::{collections::HashMap, time::Duration};
use tokio::time::Instant;

/// Time for which a version counts after its last upstream was seen: the lifetime of a record, and the
/// time for which entries may still use an upstream that control does not see any more.
pub const HISTORY_LIFETIME: Duration = Duration::from_secs(ORIGIN_LIFETIME.as_secs() + 30);

/// Maximum number of versions of one pool; with more of them, none is the only one in any case.
const MAX_VERSIONS: usize = 16;

/// Versions that served in a pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ServedSoftware {
    /// Only this version served.
    Sole(SoftwareVersion),
    /// Several versions served.
    Several,
    /// No version is known, or the history is incomplete.
    Unknown,
}

/// History of one control instance, for another one whose history is incomplete.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryReport {
    /// Pools and versions, each with the time since an upstream was seen, in milliseconds.
    pub versions: Vec<(PoolName, SoftwareVersion, u32)>,
}

/// Versions by pool, with the time at which an upstream was last seen.
#[derive(Debug)]
pub struct SoftwareHistory {
    versions: HashMap<PoolName, SmallVec<[(SoftwareVersion, Instant); 2]>>,
    complete_at: Instant,
}

impl SoftwareHistory {
    /// Creates the history of a process that starts at `now`; it is complete after
    /// [`HISTORY_LIFETIME`].
    pub fn new(now: Instant) -> Self {
        Self { versions: HashMap::new(), complete_at: now + HISTORY_LIFETIME }
    }

    /// Notes that an upstream of `pool` at version `software` served at `at`.
    pub fn note(&mut self, pool: &PoolName, software: &SoftwareVersion, at: Instant) {
        if !self.versions.contains_key(pool) {
            self.versions.insert(pool.clone(), SmallVec::new());
        }
        let Some(versions) = self.versions.get_mut(pool) else { return };
        match versions.iter_mut().find(|(known, _)| known == software) {
            Some((_, seen_at)) => *seen_at = at.max(*seen_at),
            None => versions.push((software.clone(), at)),
        }
        if versions.len() > MAX_VERSIONS {
            versions.sort_by_key(|(_, seen_at)| *seen_at);
            versions.remove(0);
        }
    }

    /// Restarts the time until the history is complete, as upstreams may have served unseen.
    pub fn interrupt(&mut self, now: Instant) {
        self.complete_at = now + HISTORY_LIFETIME;
    }

    /// Marks the history as complete: no stream can have begun before `now`.
    pub fn set_complete(&mut self, now: Instant) {
        self.complete_at = self.complete_at.min(now);
    }

    /// Removes versions that were not seen within [`HISTORY_LIFETIME`].
    pub fn expire(&mut self, now: Instant) {
        self.versions.retain(|_, versions| {
            versions.retain(|(_, seen_at)| now < *seen_at + HISTORY_LIFETIME);
            !versions.is_empty()
        });
    }

    /// Whether no version is missing that served within [`HISTORY_LIFETIME`].
    pub fn is_complete(&self, now: Instant) -> bool {
        now >= self.complete_at
    }

    /// Versions that served in `pool` within [`HISTORY_LIFETIME`].
    pub fn served(&self, pool: &PoolName, now: Instant) -> ServedSoftware {
        let versions = self.versions.get(pool).map_or(&[][..], |versions| &versions[..]);
        let mut alive = versions.iter().filter(|(_, at)| now < *at + HISTORY_LIFETIME);
        match (alive.next(), alive.next()) {
            (Some(_), Some(_)) => ServedSoftware::Several,
            (Some((software, _)), None) if self.is_complete(now) => {
                ServedSoftware::Sole(software.clone())
            }
            _ => ServedSoftware::Unknown,
        }
    }

    /// Report for another control instance; `None` while the history is incomplete.
    pub fn report(&self, now: Instant) -> Option<HistoryReport> {
        let rows = self.versions.iter().flat_map(|(pool, versions)| {
            versions.iter().map(move |(software, seen_at)| {
                let age = now.saturating_duration_since(*seen_at);
                (pool.clone(), software.clone(), age.as_millis() as u32)
            })
        });
        self.is_complete(now).then(|| HistoryReport { versions: rows.collect() })
    }

    /// Completes this history by that of another control instance.
    pub fn merge(&mut self, report: &HistoryReport, now: Instant) {
        for (pool, software, age_ms) in &report.versions {
            self.note(pool, software, now.checked_sub(from_millis(*age_ms)).unwrap_or(now));
        }
        self.expire(now);
        self.set_complete(now);
    }
}
