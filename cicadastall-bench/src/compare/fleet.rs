//! Simulated upstreams and availability zones, with the routing tables of their entries.

use crate::compare::workload::{RegionLoad, Workload, model_name};
use cicadastall::{
    name::{PoolName, UpstreamName, ZoneName},
    route::{RequestRouter, summary::summarize_capacity},
    table::{
        EntryRecord, EntryState, Incarnation, RoutingTable, UpstreamRates, UpstreamRecord,
        UpstreamState, UpstreamView, ZoneDigest,
    },
};
use cicadastall_standins::model::EngineModel;
use std::{
    net::{IpAddr, Ipv4Addr, SocketAddr},
    sync::Arc,
};
use tokio::time::Instant;

/// A simulated upstream with its announced record.
#[derive(Debug)]
pub struct UpstreamModel {
    /// Model of its queue, batches and prefix cache.
    pub engine: EngineModel,
    /// Index of its availability zone.
    pub zone: usize,
    /// Whether it is a model engine.
    pub is_engine: bool,
    /// Announced state; none while it is down.
    pub state: Option<UpstreamState>,
    /// Number of the newest timer; older timers have no effect.
    pub timer: u64,
    record: UpstreamRecord,
}

impl UpstreamModel {
    fn new(workload: &Workload, zone: usize, number: u32, is_engine: bool, now: Instant) -> Self {
        let region = &workload.regions[zone];
        let common = if is_engine { &workload.engine } else { &workload.service };
        let rates = UpstreamRates {
            prefill_tokens_per_s: common.prefill_tokens_per_s * region.speed,
            decode_tokens_per_s: common.decode_tokens_per_s * region.speed,
            ..common.clone()
        };
        let letter = if is_engine { 'm' } else { 'r' };
        let record = UpstreamRecord {
            name: UpstreamName::new(format!("{}-{letter}{number}", region.name)),
            incarnation: Incarnation(1),
            sequence: 0,
            region: region.name.clone(),
            zone: Workload::zone_name(region),
            address: make_address(zone, number),
            pool: PoolName::from(if is_engine { "models" } else { "records" }),
            models: is_engine.then(model_name).into_iter().collect(),
            state: UpstreamState::Serving,
            rates: rates.clone(),
            load: Default::default(),
            checks_fencing: false,
        };
        let engine = EngineModel::new(rates, now);
        let state = Some(UpstreamState::Serving);
        Self { engine, zone, is_engine, state, timer: 0, record }
    }

    /// Name of the upstream.
    pub fn name(&self) -> &UpstreamName {
        &self.record.name
    }

    /// Starts a new incarnation with empty caches; returns the ids of the aborted attempts.
    pub fn restart(&mut self, state: Option<UpstreamState>) -> Vec<u64> {
        self.record.incarnation.0 += 1;
        self.state = state;
        self.engine.crash()
    }

    /// Makes the next announcement; none while the upstream is down.
    pub fn announce(&mut self) -> Option<Arc<UpstreamRecord>> {
        self.record.state = self.state?;
        self.record.sequence += 1;
        self.record.load = self.engine.report();
        Some(Arc::new(self.record.clone()))
    }
}

/// An availability zone with its entries and their common routing table.
#[derive(Debug)]
pub struct ZoneModel {
    /// Name of the zone.
    pub name: ZoneName,
    /// One router for each entry.
    pub routers: Vec<RequestRouter>,
    /// Routing table of all entries of the zone.
    pub table: RoutingTable,
    /// Sequence number of the newest digest.
    pub digests: u64,
}

impl ZoneModel {
    /// Adds announcements made at `made_at` to the routing table.
    pub fn accept_records(&mut self, records: Vec<Arc<UpstreamRecord>>, made_at: Instant) {
        for record in records {
            let view = UpstreamView { record: Arc::clone(&record), renewed_at: made_at };
            self.table.upstreams.insert(record.name.clone(), view);
        }
    }

    /// Makes the next digest of the zone for other zones.
    pub fn make_digest(
        &mut self,
        region: &RegionLoad,
        zone: usize,
        now: Instant,
    ) -> Arc<ZoneDigest> {
        self.digests += 1;
        Arc::new(ZoneDigest {
            region: region.name.clone(),
            zone: self.name.clone(),
            sequence: self.digests,
            entries: [make_address(zone, 0)].into_iter().collect(),
            rows: summarize_capacity(&self.table, now),
        })
    }
}

/// Makes all upstreams of a workload, ordered by zone.
pub fn make_upstreams(workload: &Workload, now: Instant) -> Vec<UpstreamModel> {
    let zones = workload.regions.iter().enumerate();
    zones
        .flat_map(|(zone, region)| {
            let engines = (0..region.engines).map(move |number| (zone, number, true));
            engines.chain((0..region.services).map(move |number| (zone, number, false)))
        })
        .map(|(zone, number, is_engine)| UpstreamModel::new(workload, zone, number, is_engine, now))
        .collect()
}

/// Makes the routing table of a zone, with its entries but no upstreams.
pub fn make_table(workload: &Workload, zone: usize) -> RoutingTable {
    let region = &workload.regions[zone];
    let entries = (1..workload.entries_per_zone).map(|number| {
        let address = make_address(zone, number);
        let record = EntryRecord {
            grant_address: None,
            instance: format!("{}-e{number}", region.name).as_str().into(),
            incarnation: Incarnation(1),
            region: region.name.clone(),
            zone: Workload::zone_name(region),
            caller_address: Some(address),
            peer_address: address,
            state: EntryState::Serving,
            in_flight: 0,
        };
        (record.instance.clone(), record)
    });
    RoutingTable { entries: entries.collect(), ..RoutingTable::default() }
}

/// Address whose port is the index of the zone; the simulation opens no connections.
pub fn make_address(zone: usize, number: u32) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::from(number)), zone as u16)
}
