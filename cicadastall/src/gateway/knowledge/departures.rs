//! Upstreams that announced in a response that they are leaving.
//!
//! The announcement holds until the upstream's process restarts, even if control still reports the
//! upstream as serving: that report may stem from a delayed renewal.

use crate::{
    gateway::knowledge::fleet_update::{DepartedUpstream, RegisteredUpstream},
    name::UpstreamName,
};
use std::{collections::HashMap, time::Duration};
use tokio::time::Instant;

/// Time for which the departure of an unlisted upstream is kept; many times as long as control keeps
/// rows of upstreams that are gone.
const RETENTION: Duration = Duration::from_secs(600);

/// Maximum number of stored departures; several times the number of upstreams in the largest fleet.
const MAX_DEPARTURES: usize = 4_096;

#[derive(Debug, Clone, Copy)]
struct Departure {
    /// Start time of the process that is leaving, in milliseconds since the Unix epoch by its own clock.
    started_ms: u64,
    /// When the upstream was last listed.
    listed_at: Instant,
}

/// Departures of upstreams, by name.
#[derive(Debug, Clone, Default)]
pub struct DepartureLog {
    rows: HashMap<UpstreamName, Departure>,
}

impl DepartureLog {
    /// Records that the process of `upstream` that started at `started_ms` is leaving; returns whether
    /// this is new.
    pub fn record(&mut self, upstream: &UpstreamName, started_ms: u64, now: Instant) -> bool {
        let known = self.rows.get(upstream).map(|departure| departure.started_ms);
        if known.is_some_and(|known| known >= started_ms) {
            return false;
        }
        if self.rows.len() >= MAX_DEPARTURES && known.is_none() {
            self.forget_oldest();
        }
        self.rows.insert(upstream.clone(), Departure { started_ms, listed_at: now });
        true
    }

    fn forget_oldest(&mut self) {
        let oldest = self.rows.iter().min_by_key(|(_, departure)| departure.listed_at);
        if let Some(name) = oldest.map(|(name, _)| name.clone()) {
            log::warn!(upstream = name.as_str(); "too many departures; oldest one evicted");
            self.rows.remove(&name);
        }
    }

    /// Whether the process of `upstream`, or a later process of the same name, announced that it is
    /// leaving.
    pub fn contains(&self, upstream: &RegisteredUpstream) -> bool {
        let departure = self.rows.get(&upstream.name);
        departure.is_some_and(|departure| departure.started_ms >= upstream.started_ms)
    }

    /// Departures among the listed `upstreams`, for reports to control.
    pub fn list<'a>(
        &self,
        upstreams: impl Iterator<Item = &'a RegisteredUpstream>,
    ) -> Vec<DepartedUpstream> {
        if self.rows.is_empty() {
            return Vec::new();
        }
        let listed = upstreams.filter(|upstream| self.contains(upstream));
        listed.map(|listed| DepartedUpstream(listed.name.clone(), listed.started_ms)).collect()
    }

    /// Removes departures whose upstream has been missing from `upstreams` for longer than the retention.
    pub fn forget<'a>(
        &mut self,
        upstreams: impl Iterator<Item = &'a RegisteredUpstream>,
        now: Instant,
    ) {
        if self.rows.is_empty() {
            return;
        }
        for upstream in upstreams {
            if let Some(departure) = self.rows.get_mut(&upstream.name) {
                departure.listed_at = now;
            }
        }
        self.rows.retain(|_, departure| now < departure.listed_at + RETENTION);
    }
}
