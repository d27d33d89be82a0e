//! Load of regions, aggregated from the reports that entries attach to their fleet queries.

use crate::{
    gateway::knowledge::{
        entry_capacity::EntryCapacity,
        entry_registry::EntryRow,
        fleet_update::{PoolSummary, RegionSummary, UpstreamPhase, WorkRow},
        pool_partition::PromptDemand,
        reach::UnreachedPools,
        registry::FleetRegistry,
        upstream_speed::SpeedRow,
    },
    name::{InstanceName, PoolName, RegionName, UpstreamName, ZoneName},
    table::EntryState,
};
use smallvec::SmallVec;
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};
use tokio::time::Instant;

/// Time after which an entry's load report is ignored.
const WORK_REPORT_TTL: Duration = Duration::from_secs(3);

/// Time after which a summary of another region is no longer relayed. Other control instances answer at
/// least once a second.
const SUMMARY_TTL: Duration = Duration::from_secs(3);

/// Maximum number of entries in the summary of a region. The links of these entries carry the requests
/// that other regions forward.
const MAX_SUMMARY_ENTRIES: usize = 24;

/// Rated speed of an upstream, in thousandths.
const RATED_SPEED_PERMILLE: u32 = 1_000;

/// A speed is told if it differs from the one told before by that divided by this.
const MIN_SPEED_CHANGE_DIVISOR: u32 = 12;

/// Number of samples by which the report of one entry counts at most.
const MAX_SPEED_SAMPLES: u32 = 64;

/// Maximum number of software versions in the summary of a pool. Requests that must stay with another
/// version are not forwarded to the region.
const MAX_SUMMARY_VERSIONS: usize = 16;

/// Load report of an entry.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EntryLoad {
    /// Open work that the entry sent to upstreams.
    pub work: Vec<WorkRow>,
    /// Demand of the requests that arrive at the entry, by pool.
    pub demand: Vec<(PoolName, PromptDemand)>,
    /// Pools none of whose upstreams the entry reaches.
    pub unreached: UnreachedPools,
    /// Capacity that the entry announces.
    pub capacity: Option<EntryCapacity>,
    /// Speeds of upstreams that the entry measured.
    pub speeds: Vec<SpeedRow>,
}

impl FleetRegistry {
    /// Open work that the entries of `region`, other than `except`, sent to upstreams.
    pub fn sum_work(
        &self,
        region: &RegionName,
        except: Option<&InstanceName>,
        now: Instant,
    ) -> Vec<WorkRow> {
        let sums = self.work_by_upstream(region, except, now).into_iter();
        sums.map(|(name, (requests, ms))| WorkRow(name.clone(), requests, ms)).collect()
    }

    /// Number of requests and backlog in milliseconds, by upstream.
    fn work_by_upstream(
        &self,
        region: &RegionName,
        except: Option<&InstanceName>,
        now: Instant,
    ) -> HashMap<&UpstreamName, (u32, u32)> {
        let rows = self.reporting_entries(region, now);
        let others = rows.filter(|row| Some(&row.entry.instance) != except);
        let mut sums: HashMap<&UpstreamName, (u32, u32)> = HashMap::new();
        for WorkRow(upstream, requests, backlog_ms) in others.flat_map(|row| row.load.work.iter()) {
            let sum = sums.entry(upstream).or_default();
            sum.0 += requests;
            sum.1 += backlog_ms;
        }
        sums
    }

    /// Entries of `region` with a recent load report.
    fn reporting_entries(
        &self,
        region: &RegionName,
        now: Instant,
    ) -> impl Iterator<Item = &EntryRow> {
        self.entries.values().filter(move |row| {
            let fresh = row.seen_at.is_some_and(|at| now < at + WORK_REPORT_TTL);
            fresh && !row.silent && row.entry.region == *region
        })
    }

    /// Stores the speeds of the upstreams that the entry `name` has reported: the mean of what the entries
    /// reported lately, by their samples.
    pub(in crate::gateway) fn update_speeds(&mut self, name: &InstanceName, now: Instant) {
        let Some(row) = self.entries.get(name) else { return };
        if row.load.speeds.is_empty() {
            return;
        }
        let mut sums: HashMap<UpstreamName, (f64, f64)> =
            row.load.speeds.iter().map(|row| (row.0.clone(), (0.0, 0.0))).collect();
        let reporting = self.reporting_entries(&row.entry.region, now);
        for SpeedRow(upstream, permille, samples) in reporting.flat_map(|row| &row.load.speeds) {
            if let Some((weighted, weights)) = sums.get_mut(upstream) {
                let weight = f64::from((*samples).min(MAX_SPEED_SAMPLES));
                *weighted += f64::from(*permille) * weight;
                *weights += weight;
            }
        }
        for (upstream, (weighted, weights)) in sums {
            if weights > 0.0 {
                self.set_speed(&upstream, (weighted / weights) as u32);
            }
        }
    }

    /// Stores the speed of an upstream if it differs enough from the known one to be told.
    pub(in crate::gateway) fn set_speed(&mut self, name: &UpstreamName, permille: u32) {
        let changed = self.changes + 1;
        let Some(row) = self.upstreams.get_mut(name) else { return };
        let known = row.speed.unwrap_or(RATED_SPEED_PERMILLE);
        if known.abs_diff(permille) * MIN_SPEED_CHANGE_DIVISOR < known {
            return;
        }
        row.speed = Some(permille);
        row.changed = changed;
        self.changes = changed;
    }

    /// Demand of the requests that arrive at the entries of `region`, by pool.
    pub fn sum_demand(&self, region: &RegionName, now: Instant) -> Vec<(PoolName, PromptDemand)> {
        let mut sums: BTreeMap<PoolName, PromptDemand> = BTreeMap::new();
        for (pool, demand) in self.reporting_entries(region, now).flat_map(|row| &row.load.demand) {
            sums.entry(pool.clone()).or_default().add(demand);
        }
        sums.into_iter().collect()
    }

    /// Regions whose summaries this instance sends to `reader`: its own region and those without a control
    /// instance, except `reader` itself.
    pub fn reported_regions(&self, reader: &RegionName) -> BTreeSet<RegionName> {
        let mut reported: BTreeSet<_> = self.zones.values().cloned().collect();
        for other in self.other_controls().filter(|other| other.region != self.own.region) {
            reported.remove(&other.region);
        }
        reported.remove(reader);
        reported
    }

    /// Stores summaries that another control instance sent, except any of the own region.
    pub fn store_summaries(&mut self, summaries: Vec<RegionSummary>, now: Instant) {
        for summary in summaries.into_iter().filter(|summary| summary.region != self.own.region) {
            self.summaries.insert(summary.region.clone(), (summary, now));
        }
    }

    /// Recent summaries from control instances of other regions, for the entries of this region.
    pub fn relayed_summaries(&self, now: Instant) -> impl Iterator<Item = RegionSummary> {
        let fresh = self.summaries.values().filter(move |(_, at)| now < *at + SUMMARY_TTL);
        fresh.map(|(summary, _)| summary.clone())
    }

    /// Summarizes the serving upstreams of a region, without those in `evacuated` zones, and the entries
    /// that reach most of their pools.
    /// The backlog of a pool is the mean of its upstreams.
    pub fn summarize(
        &self,
        region: &RegionName,
        evacuated: &BTreeSet<ZoneName>,
        now: Instant,
    ) -> RegionSummary {
        let work = self.work_by_upstream(region, None, now);
        let mut pools: BTreeMap<PoolName, PoolSummary> = BTreeMap::new();
        for row in self.upstreams.values() {
            let upstream = &row.upstream;
            let serves = upstream.phase == UpstreamPhase::Serving
                && !row.silent
                && !row.departed
                && !evacuated.contains(&upstream.zone);
            if !serves || self.region(&upstream.zone) != Some(region) {
                continue;
            }
            let pool = pools.entry(upstream.pool.clone()).or_insert_with(|| PoolSummary {
                pool: upstream.pool.clone(),
                serving: 0,
                slots: 0,
                requests: 0,
                backlog_ms: 0,
                versions: SmallVec::new(),
                rated_slots: None,
            });
            let (requests, backlog_ms) = work.get(&upstream.name).copied().unwrap_or_default();
            pool.serving += 1;
            let slots_before = pool.slots;
            pool.slots = pool.slots.saturating_add(row.usable_slots());
            if row.speed.is_some() || pool.rated_slots.is_some() {
                let speed = f64::from(row.speed.unwrap_or(RATED_SPEED_PERMILLE)) / 1_000.0;
                let rated = f64::from(row.usable_slots()) * speed;
                let before = pool.rated_slots.unwrap_or(slots_before);
                pool.rated_slots = Some(before.saturating_add(rated as u32));
            }
            pool.requests = pool.requests.saturating_add(requests);
            pool.backlog_ms = pool.backlog_ms.saturating_add(backlog_ms);
            if let Err(index) = pool.versions.binary_search(&upstream.software)
                && pool.versions.len() < MAX_SUMMARY_VERSIONS
            {
                pool.versions.insert(index, upstream.software.clone());
            }
        }
        for pool in pools.values_mut() {
            pool.backlog_ms /= pool.serving.max(1);
        }
        let serving = self
            .live_rows()
            .filter(|row| row.entry.region == *region && row.entry.state == EntryState::Serving);
        // Entries without a path to upstreams would refuse what is forwarded to them.
        let mut best: SmallVec<[&EntryRow; 32]> = serving.collect();
        let fewest = best.iter().map(|row| row.load.unreached.len()).min().unwrap_or(0);
        best.retain(|row| row.load.unreached.len() == fewest);
        pools.retain(|pool, _| {
            best.is_empty() || best.iter().any(|row| !row.load.unreached.contains(pool))
        });
        let weights = self.entry_weights();
        // A smaller entry counts as fuller with the same number of requests.
        let mut entries: Vec<_> = best
            .iter()
            .map(|row| {
                let weight = weights.weight(&row.entry.instance);
                let filled = match weights.are_equal() {
                    true => row.entry.in_flight,
                    false => (f64::from(row.entry.in_flight + 1) / weight * 16.0) as u32,
                };
                (filled, row.entry.peer_address)
            })
            .collect();
        entries.sort_unstable();
        RegionSummary {
            region: region.clone(),
            entries: entries
                .into_iter()
                .take(MAX_SUMMARY_ENTRIES)
                .map(|(_, address)| address)
                .collect(),
            pools: pools.into_values().collect(),
        }
    }
}
