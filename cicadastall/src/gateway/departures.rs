//! Upstreams that said in an answer that they leave.
//!
//! What an upstream said itself holds until its process starts anew, whatever control tells meanwhile: a
//! renewal may have been on its way for long.

use crate::{
    gateway::fleet_update::{DepartedUpstream, RegisteredUpstream},
    name::UpstreamName,
};
use std::{collections::HashMap, time::Duration};
use tokio::time::Instant;

/// Time for which an upstream that nobody names any more is remembered; many times as long as control
/// keeps rows of those that are gone.
const RETENTION: Duration = Duration::from_secs(600);

/// Departures that are remembered at most; several times the upstreams of the largest fleet.
const MAX_DEPARTURES: usize = 4_096;

#[derive(Debug, Clone, Copy)]
struct Departure {
    /// Start of the process that leaves.
    started_ms: u64,
    /// When it was last heard of.
    listed_at: Instant,
}

/// Upstreams that leave, by name.
#[derive(Debug, Default)]
pub struct DepartureLog {
    rows: HashMap<UpstreamName, Departure>,
}

impl DepartureLog {
    /// Notes that the process of `upstream` that started at `started_ms` leaves; returns whether that
    /// is new.
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
            log::warn!(upstream = name.as_str(); "departure forgotten, as there are too many");
            self.rows.remove(&name);
        }
    }

    /// Whether `upstream`, or a process that had its name after it, said that it leaves.
    pub fn contains(&self, upstream: &RegisteredUpstream) -> bool {
        let departure = self.rows.get(&upstream.name);
        departure.is_some_and(|departure| departure.started_ms >= upstream.started_ms)
    }

    /// Those that are still listed among `upstreams`, to be told to others.
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

    /// Forgets those that are not among `upstreams` and have not been for long.
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
