//! Pure membership state: which instances, upstreams and zones are known, and how old that is.

use crate::{
    name::{InstanceName, RegionName, UpstreamName, ZoneName},
    peer::MemberExchange,
    settings::Rank,
    table::{
        CapacityRow, EntryRecord, EntryState, RoutingTable, UpstreamRecord, UpstreamState,
        UpstreamView, ZoneDigest, ZoneView,
    },
};
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};
use tokio::time::Instant;

/// Time after which a silent upstream or instance is forgotten.
const MEMBER_EXPIRY: Duration = Duration::from_secs(10);

/// Entries that a digest names for forwarded requests.
const DIGEST_ENTRIES: usize = 4;

#[derive(Debug, Clone)]
struct MemberView {
    record: EntryRecord,
    heard_at: Instant,
}

/// Everything one instance knows of its peers and of the upstreams.
#[derive(Debug)]
pub struct MemberTable {
    own: EntryRecord,
    entries: BTreeMap<InstanceName, MemberView>,
    upstreams: BTreeMap<UpstreamName, UpstreamView>,
    zones: BTreeMap<ZoneName, ZoneView>,
    digest_sequence: u64,
}

impl MemberTable {
    /// A table that knows only the instance itself.
    pub fn new(own: EntryRecord) -> Self {
        Self {
            own,
            entries: BTreeMap::new(),
            upstreams: BTreeMap::new(),
            zones: BTreeMap::new(),
            digest_sequence: 0,
        }
    }

    /// The instance itself.
    pub fn own(&self) -> &EntryRecord {
        &self.own
    }

    /// Changes the readiness of the instance itself.
    pub fn set_state(&mut self, state: EntryState) {
        self.own.state = state;
        self.own.incarnation.0 += 1;
    }

    /// Changes the load that the instance reports of itself.
    pub fn set_in_flight(&mut self, in_flight: u32) {
        self.own.in_flight = in_flight;
    }

    /// All other known instances.
    pub fn entries(&self) -> impl Iterator<Item = &EntryRecord> {
        self.entries.values().map(|view| &view.record)
    }

    /// Takes an upstream's announcement that was made `age` ago; upstreams of other zones are not
    /// kept.
    pub fn accept_upstream(&mut self, record: Arc<UpstreamRecord>, age: Duration, now: Instant) {
        if record.zone != self.own.zone || record.region != self.own.region {
            return;
        }
        let Some(renewed_at) = now.checked_sub(age) else { return };
        let newer = self.upstreams.get(&record.name).is_none_or(|known| {
            (known.record.incarnation, known.record.sequence)
                < (record.incarnation, record.sequence)
        });
        if newer && age < MEMBER_EXPIRY {
            self.upstreams.insert(record.name.clone(), UpstreamView { record, renewed_at });
        }
    }

    /// Takes what a peer knows.
    pub fn accept_exchange(&mut self, exchange: MemberExchange, now: Instant) {
        for (record, age_ms) in exchange.upstreams {
            self.accept_upstream(record, Duration::from_millis(age_ms), now);
        }
        for (record, age_ms) in exchange.entries {
            self.accept_entry(record, Duration::from_millis(age_ms), now);
        }
        for (digest, age_ms) in exchange.zones {
            self.accept_digest(digest, Duration::from_millis(age_ms), now);
        }
    }

    fn accept_entry(&mut self, record: EntryRecord, age: Duration, now: Instant) {
        let Some(heard_at) = now.checked_sub(age) else { return };
        if record.instance == self.own.instance || age > MEMBER_EXPIRY {
            return;
        }
        let newer = self.entries.get(&record.instance).is_none_or(|known| {
            (known.record.incarnation, known.heard_at) < (record.incarnation, heard_at)
        });
        if newer {
            self.entries.insert(record.instance.clone(), MemberView { record, heard_at });
        }
    }

    fn accept_digest(&mut self, digest: Arc<ZoneDigest>, age: Duration, now: Instant) {
        let Some(received_at) = now.checked_sub(age) else { return };
        let newer =
            self.zones.get(&digest.zone).is_none_or(|known| known.received_at < received_at);
        if newer && digest.zone != self.own.zone {
            self.zones.insert(digest.zone.clone(), ZoneView { digest, received_at });
        }
    }

    /// Forgets whatever has been silent for too long.
    pub fn expire(&mut self, now: Instant) {
        let fresh = |at: Instant| now.duration_since(at) < MEMBER_EXPIRY;
        self.upstreams.retain(|_, view| fresh(view.renewed_at));
        self.entries.retain(|_, view| fresh(view.heard_at));
        self.zones.retain(|_, view| fresh(view.received_at));
    }

    /// Everything to send to a peer.
    pub fn make_exchange(&mut self, now: Instant) -> MemberExchange {
        let age_ms = |at: Instant| now.duration_since(at).as_millis() as u64;
        let digest = self.make_digest();
        let known = self.entries.values().map(|view| (view.record.clone(), age_ms(view.heard_at)));
        let zones =
            self.zones.values().map(|view| (Arc::clone(&view.digest), age_ms(view.received_at)));
        MemberExchange {
            entries: known.chain([(self.own.clone(), 0)]).collect(),
            upstreams: self
                .upstreams
                .values()
                .map(|view| (Arc::clone(&view.record), age_ms(view.renewed_at)))
                .collect(),
            zones: zones.chain([(Arc::new(digest), 0)]).collect(),
        }
    }

    fn make_digest(&mut self) -> ZoneDigest {
        self.digest_sequence += 1;
        let own = self.own.caller_address.filter(|_| self.own.state == EntryState::Serving);
        let entries = own.into_iter().chain(self.zone_entries()).take(DIGEST_ENTRIES).collect();
        let mut rows: BTreeMap<_, CapacityRow> = BTreeMap::new();
        for view in self.upstreams.values() {
            add_capacity(&mut rows, &view.record);
        }
        ZoneDigest {
            region: self.own.region.clone(),
            zone: self.own.zone.clone(),
            sequence: self.digest_sequence,
            entries,
            rows: rows.into_values().collect(),
        }
    }

    fn zone_entries(&self) -> impl Iterator<Item = SocketAddr> {
        self.entries
            .values()
            .filter(|view| view.record.zone == self.own.zone)
            .filter(|view| view.record.state == EntryState::Serving)
            .filter_map(|view| view.record.caller_address)
    }

    /// Peer addresses of all known instances.
    pub fn peer_addresses(&self) -> Vec<SocketAddr> {
        self.entries.values().map(|view| view.record.peer_address).collect()
    }

    /// What the router may choose from.
    pub fn make_table(&self) -> RoutingTable {
        let own_zone = self.entries.values().filter(|view| view.record.zone == self.own.zone);
        RoutingTable {
            upstreams: self.upstreams.clone(),
            entries: own_zone
                .map(|view| (view.record.instance.clone(), view.record.clone()))
                .collect(),
            zones: self.zones.clone(),
        }
    }

    /// Region of the instance itself.
    pub fn region(&self) -> &RegionName {
        &self.own.region
    }
}

type CapacityKey = (crate::name::PoolName, Option<crate::name::ModelName>);

fn add_capacity(rows: &mut BTreeMap<CapacityKey, CapacityRow>, record: &UpstreamRecord) {
    if record.state != UpstreamState::Serving {
        return;
    }
    let mut models: Vec<_> = record.models.iter().cloned().map(Some).collect();
    if models.is_empty() {
        models.push(None);
    }
    for model in models {
        let row = rows.entry((record.pool.clone(), model.clone())).or_insert(CapacityRow {
            pool: record.pool.clone(),
            model,
            rank: Rank::Urgent,
            upstreams: 0,
            prefill_tokens_per_s: 0.0,
            wait_ms: 0.0,
        });
        row.upstreams += 1;
        row.prefill_tokens_per_s += record.rates.prefill_tokens_per_s;
    }
}
