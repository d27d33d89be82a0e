//! Membership state of one instance: the members and upstreams of its zone, and the other zones.
//!
//! Every member of a zone sends bulletins to every other member; a bulletin contains the changes
//! since the previous one. [`MemberTable::accept`] processes a received datagram and
//! [`MemberTable::poll`] returns the datagrams that are due. Neither does I/O or reads a clock.

use crate::{
    bulletin::{DigestPacket, RowContent, RowKey, RowLog, UpstreamRow},
    name::{InstanceName, RegionName, UpstreamName, ZoneName},
    probes::ProbeTable,
    route::DIGEST_EXPIRY,
    sender::PacketSender,
    table::{
        AnnouncedUpstream, EntryRecord, EntryState, Incarnation, RoutingTable, UpstreamRecord,
        UpstreamRenewal, UpstreamState, UpstreamView, ZoneDigest, ZoneView,
    },
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smallvec::SmallVec;
use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};
use tokio::time::Instant;

/// Time without a renewal after which an upstream or a zone is removed.
const MEMBER_EXPIRY: Duration = Duration::from_secs(10);

/// Gap between two uses of the state from which a suspension of the process is inferred.
const PROCESS_PAUSE_THRESHOLD: Duration = Duration::from_millis(600);

/// Time after such a suspension in which received data is dropped, because it may have been queued
/// for as long as the process was suspended.
const STALE_PACKET_WINDOW: Duration = Duration::from_millis(300);

/// Upper bound of the random delay before a zone that was unreachable is used again. Each instance
/// draws its own delay, so that the load on the zone returns gradually.
const MAX_READMISSION_DELAY: Duration = Duration::from_secs(3);

/// Time since another member last relayed a zone's digest after which this member relays its own.
const RELAY_TAKEOVER_DELAY: Duration = Duration::from_millis(2_500);

/// Time for which an entry of another zone is not used after a request failed to reach it.
const UNREACHABLE_ENTRY_COOLDOWN: Duration = Duration::from_secs(5);

/// Number of unreachable entries of one zone from which the whole zone is excluded.
const UNREACHABLE_ENTRY_LIMIT: usize = 2;

/// Another member of the zone, with the state received in its bulletins.
#[derive(Debug)]
pub(crate) struct PeerState {
    pub(crate) record: Option<EntryRecord>,
    pub(crate) address: SocketAddr,
    pub(crate) sender: PacketSender,
    pub(crate) received_number: u64,
    pub(crate) in_flight: u32,
    pub(crate) rows: BTreeMap<u16, RowContent>,
}

impl PeerState {
    pub(crate) fn new(sender: PacketSender) -> Self {
        let address = sender.address;
        Self {
            record: None,
            address,
            sender,
            received_number: 0,
            in_flight: 0,
            rows: BTreeMap::new(),
        }
    }
}

/// Why an entry of another zone took no request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EntryFault {
    /// It replied that it is draining.
    Draining,
    /// It could not be reached, or the connection failed.
    Unreachable,
}

/// State of another zone.
#[derive(Debug, Default)]
pub(crate) struct ZoneState {
    pub(crate) view: Option<ZoneView>,
    content_received_at: Option<Instant>,
    pub(crate) direct_digest_at: Option<Instant>,
    relayed_at: Option<Instant>,
    pub(crate) contacts: SmallVec<[SocketAddr; 4]>,
    pub(crate) full_digests: SmallVec<[(u32, DigestPacket); 2]>,
    readmitted_at: Option<Instant>,
    excluded_entries: BTreeMap<SocketAddr, (EntryFault, Instant)>,
}

/// Everything that one instance knows about its peers, the upstreams and the other zones.
#[derive(Debug)]
pub struct MemberTable {
    pub(crate) own: EntryRecord,
    pub(crate) sender: PacketSender,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) peers: BTreeMap<InstanceName, PeerState>,
    pub(crate) probes: ProbeTable,
    pub(crate) upstreams: BTreeMap<UpstreamName, UpstreamView>,
    pub(crate) announced: BTreeMap<UpstreamName, AnnouncedUpstream>,
    pub(crate) drained: BTreeMap<UpstreamName, Incarnation>,
    pub(crate) zones: BTreeMap<ZoneName, ZoneState>,
    pub(crate) log: RowLog,
    pub(crate) outbox: crate::outbox::OutboxState,
    last_used_at: Option<Instant>,
    packets_trusted_from: Option<Instant>,
}

impl MemberTable {
    /// Creates a table that contains only the instance itself and the peer addresses in `seeds`.
    ///
    /// Equal values of `seed` lead to equal random choices.
    pub fn new(own: EntryRecord, seeds: Vec<SocketAddr>, seed: u64) -> Self {
        let sender = PacketSender::new(own.instance.clone(), own.peer_address, own.incarnation);
        let mut log = RowLog::default();
        log.set(RowKey::Own, RowContent::Own(own.clone()));
        Self {
            seeds: seeds.into_iter().filter(|address| *address != own.peer_address).collect(),
            own,
            sender,
            rng: ChaCha8Rng::seed_from_u64(seed),
            peers: BTreeMap::new(),
            probes: ProbeTable::default(),
            upstreams: BTreeMap::new(),
            announced: BTreeMap::new(),
            drained: BTreeMap::new(),
            zones: BTreeMap::new(),
            log,
            outbox: crate::outbox::OutboxState::default(),
            last_used_at: None,
            packets_trusted_from: None,
        }
    }

    /// The instance itself.
    pub fn own(&self) -> &EntryRecord {
        &self.own
    }

    /// Region of the instance itself.
    pub fn region(&self) -> &RegionName {
        &self.own.region
    }

    /// Changes the readiness of the instance itself.
    pub fn set_state(&mut self, state: EntryState) {
        self.own.state = state;
        self.log.set(RowKey::Own, RowContent::Own(self.own.clone()));
        self.outbox.request_bulletin();
    }

    /// Sets the number of requests in flight that the instance reports.
    pub fn set_in_flight(&mut self, in_flight: u32) {
        self.own.in_flight = in_flight;
    }

    /// Known instances of the zone that are not suspected of failure, without the instance itself.
    pub fn entries(&self) -> impl Iterator<Item = EntryRecord> {
        self.peers.iter().filter(|(instance, _)| !self.probes.is_suspect(instance)).filter_map(
            |(_, peer)| {
                let record = peer.record.clone()?;
                Some(EntryRecord { in_flight: peer.in_flight, ..record })
            },
        )
    }

    /// Records the announcement of an upstream of the zone.
    ///
    /// Returns whether the upstream is drained by an operator.
    pub fn announce(&mut self, record: UpstreamRecord, now: Instant) -> bool {
        let announced = record.sequence;
        self.store_announcement(record, announced, now)
    }

    /// Records the renewal of an announcement that the upstream sent to this instance before.
    ///
    /// Returns whether the upstream is drained by an operator, or `None` if this instance does not
    /// have that announcement, for example after a restart or a suspension of its process.
    pub fn renew(&mut self, renewal: UpstreamRenewal, now: Instant) -> Option<bool> {
        let UpstreamRenewal { name, incarnation, announced, sequence, load } = renewal;
        let known = self.announced.get(&name)?;
        if (known.view.record.incarnation, known.announced) != (incarnation, announced) {
            return None;
        }
        let record = UpstreamRecord { sequence, load, ..(*known.view.record).clone() };
        Some(self.store_announcement(record, announced, now))
    }

    /// Stores a record whose fields, except for the load, come from the announcement `announced`.
    fn store_announcement(&mut self, record: UpstreamRecord, announced: u64, now: Instant) -> bool {
        self.detect_pause(now);
        let drained = self.is_drained(&record);
        let other_zone = record.zone != self.own.zone || record.region != self.own.region;
        if other_zone || !self.trusts_packets(now) {
            return drained;
        }
        let record = Arc::new(record);
        let known = self.announced.get(&record.name);
        if known.is_some_and(|known| !is_newer(&record, &known.view.record)) {
            return drained;
        }
        let name = record.name.clone();
        self.update_upstream(Arc::clone(&record), now);
        let content = RowContent::Upstream(Box::new(UpstreamRow::new(&record)));
        let view = UpstreamView { record, renewed_at: now };
        self.announced.insert(name.clone(), AnnouncedUpstream { view, announced });
        let (handle, changed) = self.log.set(RowKey::Upstream(name), content);
        self.outbox.queue_upstream_renewal(handle);
        if changed {
            self.outbox.request_bulletin();
        }
        drained
    }

    /// Stores a record that was announced at `renewed_at`, unless a newer one is known.
    pub(crate) fn update_upstream(&mut self, record: Arc<UpstreamRecord>, renewed_at: Instant) {
        let known = self.upstreams.get(&record.name);
        if known.is_none_or(|known| is_newer(&record, &known.record)) {
            self.upstreams.insert(record.name.clone(), UpstreamView { record, renewed_at });
        }
    }

    /// Stops dispatching new work to an upstream in the whole zone until the upstream restarts.
    ///
    /// Returns whether the upstream is known.
    pub fn drain_upstream(&mut self, name: &UpstreamName) -> bool {
        let Some(view) = self.upstreams.get(name) else { return false };
        let incarnation = view.record.incarnation;
        self.drained.insert(name.clone(), incarnation);
        let content = RowContent::Drained(name.clone(), incarnation);
        self.log.set(RowKey::Drained(name.clone()), content);
        self.outbox.request_bulletin();
        true
    }

    fn is_drained(&self, record: &UpstreamRecord) -> bool {
        self.drained.get(&record.name).is_some_and(|drained| *drained >= record.incarnation)
    }

    /// Records that the entry at `address` in another zone did not accept a request.
    pub fn record_entry_fault(
        &mut self,
        zone: &ZoneName,
        address: SocketAddr,
        fault: EntryFault,
        now: Instant,
    ) {
        if let Some(state) = self.zones.get_mut(zone) {
            state.excluded_entries.insert(address, (fault, now + UNREACHABLE_ENTRY_COOLDOWN));
        }
    }

    /// Records a use of the state at `now` and detects a preceding suspension of the process.
    pub(crate) fn detect_pause(&mut self, now: Instant) {
        let paused = self
            .last_used_at
            .is_some_and(|seen| now.duration_since(seen) > PROCESS_PAUSE_THRESHOLD);
        self.last_used_at = Some(now);
        if paused {
            self.packets_trusted_from = Some(now + STALE_PACKET_WINDOW);
        }
    }

    /// Whether data received at `now` cannot have been queued while the process was suspended.
    pub(crate) fn trusts_packets(&self, now: Instant) -> bool {
        self.packets_trusted_from.is_none_or(|from| now >= from)
    }

    /// Stores a digest of another zone that arrived at `received_at`, unless a newer one is known.
    ///
    /// Only digests with content are compared: a renewal without content that arrived later does
    /// not prevent newer content from being stored.
    pub(crate) fn update_zone(
        &mut self,
        digest: Arc<ZoneDigest>,
        received_at: Instant,
        now: Instant,
    ) {
        let state = self.zones.entry(digest.zone.clone()).or_default();
        if state.content_received_at.is_some_and(|known| known >= received_at) {
            return;
        }
        state.content_received_at = Some(received_at);
        self.update_zone_view(digest, received_at, now);
    }

    fn update_zone_view(&mut self, digest: Arc<ZoneDigest>, received_at: Instant, now: Instant) {
        let state = self.zones.entry(digest.zone.clone()).or_default();
        let known = state.view.as_ref().map(|view| view.received_at);
        if known.is_some_and(|known| received_at.duration_since(known) > DIGEST_EXPIRY) {
            let delay = MAX_READMISSION_DELAY.mul_f64(self.rng.random_range(0.0..1.0));
            state.readmitted_at = Some(now + delay);
        }
        let received_at = known.map_or(received_at, |known| known.max(received_at));
        state.view = Some(ZoneView { digest, received_at });
    }

    /// Records that `instance` relayed a digest that it received at `received_at`.
    ///
    /// If two members relay digests of the same zone, the one with the lower name continues.
    pub(crate) fn record_relay(
        &mut self,
        zone: &ZoneName,
        instance: &InstanceName,
        received_at: Instant,
    ) {
        if *instance > self.own.instance {
            return;
        }
        let state = self.zones.entry(zone.clone()).or_default();
        state.relayed_at = state.relayed_at.max(Some(received_at));
    }

    /// Whether another member relays the zone's digests, so that this one need not.
    pub(crate) fn is_relayed(&self, zone: &ZoneName, now: Instant) -> bool {
        let relayed = self.zones.get(zone).and_then(|state| state.relayed_at);
        relayed.is_some_and(|at| now.duration_since(at) < RELAY_TAKEOVER_DELAY)
    }

    /// Renews the view of a zone whose digest arrived with unchanged content at `received_at`.
    pub(crate) fn renew_zone_view(&mut self, zone: &ZoneName, received_at: Instant, now: Instant) {
        let view = self.zones.get(zone).and_then(|state| state.view.as_ref());
        if let Some(digest) = view.map(|view| Arc::clone(&view.digest)) {
            self.update_zone_view(digest, received_at, now);
        }
    }

    /// Removes everything that was not renewed in time.
    pub(crate) fn remove_expired(&mut self, now: Instant) {
        let fresh = |at: Instant| now.duration_since(at) < MEMBER_EXPIRY;
        self.upstreams.retain(|_, view| fresh(view.renewed_at));
        let upstreams = &self.upstreams;
        self.drained.retain(|name, _| upstreams.contains_key(name));
        self.announced.retain(|_, upstream| fresh(upstream.view.renewed_at));
        for zone in self.zones.values_mut() {
            zone.direct_digest_at = zone.direct_digest_at.filter(|at| fresh(*at));
            zone.excluded_entries.retain(|_, (_, until)| *until > now);
        }
        self.remove_expired_rows();
    }

    fn remove_expired_rows(&mut self) {
        let expired_keys: Vec<_> =
            self.log.keys().filter(|key| !self.is_row_needed(key)).cloned().collect();
        for key in expired_keys {
            self.log.remove(&key);
        }
    }

    fn is_row_needed(&self, key: &RowKey) -> bool {
        match key {
            RowKey::Own => true,
            RowKey::Upstream(name) => self.announced.contains_key(name),
            RowKey::Drained(name) => self.drained.contains_key(name),
            RowKey::Zone(zone) | RowKey::Pool(zone, _) | RowKey::Capacity(zone, _) => {
                self.zones.get(zone).is_some_and(|state| state.direct_digest_at.is_some())
            }
        }
    }

    /// Builds the routing table that is valid at `now`.
    pub fn make_table(&self, now: Instant) -> RoutingTable {
        let zones = self.zones.iter();
        RoutingTable {
            upstreams: self
                .upstreams
                .iter()
                .map(|(name, view)| (name.clone(), self.routable_upstream(view)))
                .collect(),
            entries: self.entries().map(|record| (record.instance.clone(), record)).collect(),
            zones: zones
                .filter_map(|(zone, state)| Some((zone.clone(), routable_zone(state, now)?)))
                .collect(),
        }
    }

    fn routable_upstream(&self, view: &UpstreamView) -> UpstreamView {
        if !self.is_drained(&view.record) {
            return view.clone();
        }
        let record = UpstreamRecord { state: UpstreamState::Leaving, ..(*view.record).clone() };
        UpstreamView { record: Arc::new(record), renewed_at: view.renewed_at }
    }

    /// Number of members of the zone, including the instance itself.
    pub(crate) fn count_members(&self) -> usize {
        self.peers.len() + 1
    }

    /// Names of the zone's members, including the instance itself.
    pub(crate) fn zone_members(&self) -> BTreeSet<&InstanceName> {
        let peers = self.peers.iter().filter(|(_, peer)| peer.record.is_some());
        peers.map(|(instance, _)| instance).chain([&self.own.instance]).collect()
    }
}

fn is_newer(record: &UpstreamRecord, known: &UpstreamRecord) -> bool {
    (record.incarnation, record.sequence) > (known.incarnation, known.sequence)
}

/// View of the zone without excluded entries, or `None` if the zone must not be used at `now`.
fn routable_zone(state: &ZoneState, now: Instant) -> Option<ZoneView> {
    let view = state.view.as_ref()?;
    let admitted = state.readmitted_at.is_none_or(|from| now >= from);
    let fresh = now.saturating_duration_since(view.received_at) < DIGEST_EXPIRY;
    let unreachable = |(fault, _): &&(EntryFault, Instant)| *fault == EntryFault::Unreachable;
    let isolated =
        state.excluded_entries.values().filter(unreachable).count() >= UNREACHABLE_ENTRY_LIMIT;
    if !admitted || !fresh || isolated {
        return None;
    }
    if state.excluded_entries.is_empty() {
        return Some(view.clone());
    }
    let reachable = |address: &SocketAddr| !state.excluded_entries.contains_key(address);
    let mut digest = (*view.digest).clone();
    digest.entries.retain(|address| reachable(address));
    Some(ZoneView { digest: Arc::new(digest), received_at: view.received_at })
}
