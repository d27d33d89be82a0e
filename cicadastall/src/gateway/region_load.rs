//! Load of regions, summed from what entries tell when they ask for news.

use crate::{
    gateway::{
        groups::PromptDemand,
        news::{PoolSummary, RegionSummary, UpstreamPhase, WorkRow},
        registry::{EntryRow, FleetRegistry},
    },
    name::{InstanceName, PoolName, RegionName, UpstreamName, ZoneName},
    table::EntryState,
};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    time::Duration,
};
use tokio::time::Instant;

/// Time after which an entry's report of its work no longer counts.
const WORK_REPORT_TTL: Duration = Duration::from_secs(3);

/// Time after which a summary of another region is not passed on; other control instances answer at least
/// once a second.
const SUMMARY_TTL: Duration = Duration::from_secs(3);

/// Entries that a summary of a region names; their links carry what other regions pass on.
const MAX_SUMMARY_ENTRIES: usize = 24;

/// What an entry tells of its work.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct EntryLoad {
    /// Work that it has given to upstreams.
    pub work: Vec<WorkRow>,
    /// Work that it gets, by pool.
    pub demand: Vec<(PoolName, PromptDemand)>,
}

impl FleetRegistry {
    /// Work that the entries of `region` but `without` have given to upstreams.
    pub fn sum_work(
        &self,
        region: &RegionName,
        except: Option<&InstanceName>,
        now: Instant,
    ) -> Vec<WorkRow> {
        let sums = self.work_by_upstream(region, except, now).into_iter();
        sums.map(|(name, (requests, ms))| WorkRow(name.clone(), requests, ms)).collect()
    }

    /// Requests and backlog in milliseconds, by upstream.
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

    /// Entries of `region` that have told of their work lately.
    fn reporting_entries(
        &self,
        region: &RegionName,
        now: Instant,
    ) -> impl Iterator<Item = &EntryRow> {
        self.entries.values().filter(move |row| {
            let fresh = row.heard_at.is_some_and(|at| now < at + WORK_REPORT_TTL);
            fresh && !row.silent && row.entry.region == *region
        })
    }

    /// Work that the entries of `region` get, by pool.
    pub fn sum_demand(&self, region: &RegionName, now: Instant) -> Vec<(PoolName, PromptDemand)> {
        let mut sums: BTreeMap<PoolName, PromptDemand> = BTreeMap::new();
        for (pool, demand) in self.reporting_entries(region, now).flat_map(|row| &row.load.demand) {
            sums.entry(pool.clone()).or_default().add(demand);
        }
        sums.into_iter().collect()
    }

    /// Regions that this instance tells entries of `reader` about: its own, and those without a
    /// control instance.
    pub fn reported_regions(&self, reader: &RegionName) -> BTreeSet<RegionName> {
        let mut reported: BTreeSet<_> = self.zones.values().cloned().collect();
        for other in self.other_controls().filter(|other| other.region != self.own.region) {
            reported.remove(&other.region);
        }
        reported.remove(reader);
        reported
    }

    /// Keeps what another control instance told of its region.
    pub fn store_summaries(&mut self, summaries: Vec<RegionSummary>, now: Instant) {
        for summary in summaries.into_iter().filter(|summary| summary.region != self.own.region) {
            self.summaries.insert(summary.region.clone(), (summary, now));
        }
    }

    /// What control instances of other regions told lately, for entries of this one.
    pub fn relayed_summaries(&self, now: Instant) -> impl Iterator<Item = RegionSummary> {
        let fresh = self.summaries.values().filter(move |(_, at)| now < *at + SUMMARY_TTL);
        fresh.map(|(summary, _)| summary.clone())
    }

    /// Summary of a region, without upstreams in `evacuated` zones.
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
            });
            let (requests, backlog_ms) = work.get(&upstream.name).copied().unwrap_or_default();
            pool.serving += 1;
            pool.slots += upstream.slots;
            pool.requests += requests;
            pool.backlog_ms += backlog_ms;
        }
        for pool in pools.values_mut() {
            pool.backlog_ms /= pool.serving.max(1);
        }
        let serving = self
            .live_entries()
            .filter(|entry| entry.region == *region && entry.state == EntryState::Serving);
        let mut entries: Vec<_> =
            serving.map(|entry| (entry.in_flight, entry.peer_address)).collect();
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
