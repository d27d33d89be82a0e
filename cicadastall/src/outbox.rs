//! Queued and periodic datagrams of the membership state.

use crate::{
    bulletin::{LogRow, MemberBulletin, MemberPacket, PacketBody, RowContent, RowKey, group_rows},
    digest_outbox::DigestOutbox,
    members::MemberTable,
    name::{InstanceName, ZoneName},
    probes::ProbeStep,
    renewal::{RenewalAge, RenewalLoad, RowRenewal},
    sender::{PacketSender, SenderField},
    table::AnnouncedUpstream,
};
use rand::{RngExt, seq::IteratorRandom};
use std::{
    collections::{BTreeMap, BTreeSet},
    mem,
    net::SocketAddr,
    time::Duration,
};
use tokio::time::Instant;

/// Time between two calls of [`MemberTable::poll`].
pub const POLL_PERIOD: Duration = Duration::from_millis(100);

/// Time between two bulletins without urgent changes.
const BULLETIN_PERIOD: Duration = Duration::from_millis(1_200);

/// One in this many bulletins contains all fields of its sender.
const FULL_SENDER_ROUNDS: u32 = 8;

/// Time between two attempts to join through a seed that is not known as a member.
const JOIN_PERIOD: Duration = Duration::from_secs(1);

/// Per zone, one in this many attempts goes to a seed that is already known, so that a split
/// membership merges again.
const KNOWN_SEED_ODDS: u32 = 8;

/// The same per process while it is starting.
const STARTUP_SEED_ODDS: u32 = 2;

/// Number of rounds of join attempts during which a process counts as starting.
const STARTUP_JOIN_ROUNDS: u32 = 16;

/// Minimum time between two join messages to the same address.
const MIN_JOIN_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two introductions sent to a random member.
const INTRODUCE_PERIOD: Duration = Duration::from_secs(2);

/// Number of members in one periodic introduction.
const INTRODUCTION_RECORDS: usize = 2;

/// Number of other members in the reply to a join.
const JOIN_REPLY_RECORDS: usize = 6;

/// Time for which the acknowledgement of a probe on behalf of another member is relayed.
const RELAYED_PROBE_LIFETIME: Duration = Duration::from_secs(1);

/// A datagram with its receivers.
#[derive(Debug, Clone)]
pub struct OutgoingPacket {
    /// Receivers.
    pub to: Vec<SocketAddr>,
    /// The datagram.
    pub packet: MemberPacket,
}

/// Queued datagrams, and the times at which periodic ones are due.
#[derive(Debug, Default)]
pub(crate) struct OutboxState {
    queued: Vec<(SocketAddr, PacketBody)>,
    pull_requests: Vec<(SocketAddr, u64)>,
    urgent: bool,
    bulletin_rounds: u32,
    sent_row_number: u64,
    renewed_upstreams: BTreeSet<u16>,
    renewed_zones: BTreeSet<ZoneName>,
    bulletin_due: Option<Instant>,
    join_due: Option<Instant>,
    introduce_due: Option<Instant>,
    pub(crate) digests: DigestOutbox,
    next_nonce: u32,
    join_rounds: u32,
    introduced: BTreeSet<SocketAddr>,
    recent_joins: BTreeMap<SocketAddr, Instant>,
    relayed_probes: BTreeMap<u32, (SocketAddr, u32, Option<Instant>)>,
}

impl OutboxState {
    /// Makes the next bulletin due immediately.
    pub(crate) fn request_bulletin(&mut self) {
        self.urgent = true;
    }

    pub(crate) fn queue(&mut self, to: SocketAddr, body: PacketBody) {
        self.queued.push((to, body));
    }

    /// Records that the instance at `address` has sent an introduction.
    pub(crate) fn mark_introduced(&mut self, address: SocketAddr) {
        self.introduced.insert(address);
    }

    pub(crate) fn queue_pull_reply(&mut self, to: SocketAddr, number: u64) {
        self.pull_requests.push((to, number));
    }

    pub(crate) fn queue_upstream_renewal(&mut self, handle: u16) {
        self.renewed_upstreams.insert(handle);
    }

    pub(crate) fn queue_zone_renewal(&mut self, zone: ZoneName) {
        self.renewed_zones.insert(zone);
    }

    /// Sender field of the next bulletin: mostly the brief form, since nearly all receivers have
    /// the full one.
    fn next_sender_field(&mut self, sender: &PacketSender) -> SenderField {
        let round = self.bulletin_rounds;
        self.bulletin_rounds = round.wrapping_add(1);
        match round % FULL_SENDER_ROUNDS {
            0 => SenderField::Full(sender.clone()),
            _ => sender.to_brief(),
        }
    }

    fn allocate_nonce(&mut self) -> u32 {
        self.next_nonce = self.next_nonce.wrapping_add(1);
        self.next_nonce
    }

    /// Probes `target` on behalf of the instance at `from`.
    pub(crate) fn relay_probe(&mut self, from: SocketAddr, nonce: u32, target: SocketAddr) {
        let own_nonce = self.allocate_nonce();
        self.relayed_probes.insert(own_nonce, (from, nonce, None));
        self.queue(target, PacketBody::Probe(own_nonce));
    }

    /// Relays the acknowledgement of such a probe to the instance that requested it; an
    /// acknowledgement of any other probe is ignored.
    pub(crate) fn relay_ack(&mut self, nonce: u32, subject: PacketSender, now: Instant) {
        if let Some((from, requester_nonce, _)) = self.relayed_probes.remove(&nonce) {
            self.queue(from, PacketBody::Ack(requester_nonce, subject));
        }
        self.expire_relayed_probes(now);
    }

    fn expire_relayed_probes(&mut self, now: Instant) {
        for (_, _, until) in self.relayed_probes.values_mut() {
            until.get_or_insert(now + RELAYED_PROBE_LIFETIME);
        }
        self.relayed_probes.retain(|_, (_, _, until)| until.is_none_or(|until| until > now));
    }
}

impl MemberTable {
    /// Performs the steps that are due and returns the datagrams to send.
    pub fn poll(&mut self, now: Instant) -> Vec<OutgoingPacket> {
        self.detect_pause(now);
        self.remove_expired(now);
        self.outbox.expire_relayed_probes(now);
        self.advance_probes(now);
        let mut packets = Vec::new();
        self.make_bulletins(&mut packets, now);
        self.make_digests(&mut packets, now);
        if is_due(&mut self.outbox.join_due, JOIN_PERIOD, now) {
            self.join_seeds(now);
        }
        if is_due(&mut self.outbox.introduce_due, INTRODUCE_PERIOD, now) {
            self.queue_introduction();
        }
        self.drain_queue(&mut packets, now);
        packets
    }

    /// Returns the queued datagrams without the periodic ones.
    pub fn poll_replies(&mut self, now: Instant) -> Vec<OutgoingPacket> {
        let mut packets = Vec::new();
        self.drain_queue(&mut packets, now);
        packets
    }

    /// Creates the datagram that notifies the zone that the process is terminating.
    pub fn make_departure_packet(&self) -> OutgoingPacket {
        OutgoingPacket { to: self.peer_addresses(), packet: self.make_packet(PacketBody::Gone) }
    }

    /// Peer addresses of the zone's other members.
    pub fn peer_addresses(&self) -> Vec<SocketAddr> {
        self.peers.values().map(|peer| peer.address).collect()
    }

    pub(crate) fn make_packet(&self, body: PacketBody) -> MemberPacket {
        MemberPacket { sender: SenderField::Full(self.sender.clone()), body }
    }

    fn drain_queue(&mut self, packets: &mut Vec<OutgoingPacket>, now: Instant) {
        for (to, body) in mem::take(&mut self.outbox.queued) {
            packets.push(OutgoingPacket { to: vec![to], packet: self.make_packet(body) });
        }
        for (to, number) in mem::take(&mut self.outbox.pull_requests) {
            let bulletins = self.make_row_bulletins(number, Vec::new(), now);
            let bodies = bulletins.into_iter().map(Box::new).map(PacketBody::Bulletin);
            packets.extend(
                bodies.map(|body| OutgoingPacket { to: vec![to], packet: self.make_packet(body) }),
            );
        }
    }

    fn advance_probes(&mut self, now: Instant) {
        for step in self.probes.tick(now, &mut self.rng) {
            match step {
                ProbeStep::Probe(instance) => self.probe_peer(&instance),
                ProbeStep::IndirectProbe(instance, helpers) => self.probe_via(&instance, &helpers),
                ProbeStep::Suspect(instance, helpers) => {
                    log::info!(member = instance.as_str(); "member suspected of failure");
                    self.outbox.request_bulletin();
                    self.probe_peer(&instance);
                    self.probe_via(&instance, &helpers);
                }
                ProbeStep::Remove(instance) => {
                    log::warn!(member = instance.as_str(); "member failed");
                    self.remove_peer(&instance);
                }
            }
        }
    }

    pub(crate) fn probe_peer(&mut self, instance: &InstanceName) {
        if let Some(peer) = self.peers.get(instance) {
            let nonce = self.outbox.allocate_nonce();
            self.outbox.queue(peer.address, PacketBody::Probe(nonce));
        }
    }

    fn probe_via(&mut self, instance: &InstanceName, helpers: &[InstanceName]) {
        let Some(target) = self.peers.get(instance).map(|peer| peer.address) else { return };
        for helper in helpers.iter().filter_map(|helper| self.peers.get(helper)) {
            let nonce = self.outbox.allocate_nonce();
            self.outbox.queue(helper.address, PacketBody::ProbeFor(nonce, target));
        }
    }

    fn make_bulletins(&mut self, packets: &mut Vec<OutgoingPacket>, now: Instant) {
        let due = is_due(&mut self.outbox.bulletin_due, BULLETIN_PERIOD, now);
        if !due && !self.outbox.urgent {
            return;
        }
        self.outbox.urgent = false;
        let renewals = self.make_renewals(now);
        let sent = mem::replace(&mut self.outbox.sent_row_number, self.log.newest());
        let to = self.peer_addresses();
        let sender = self.outbox.next_sender_field(&self.sender);
        for bulletin in self.make_row_bulletins(sent, renewals, now) {
            let body = PacketBody::Bulletin(Box::new(bulletin));
            let packet = MemberPacket { sender: sender.clone(), body };
            packets.push(OutgoingPacket { to: to.clone(), packet });
        }
    }

    /// Bulletins with the rows changed after `number`; the last one contains the renewals.
    fn make_row_bulletins(
        &self,
        number: u64,
        renewals: Vec<RowRenewal>,
        now: Instant,
    ) -> Vec<MemberBulletin> {
        let members = u16::try_from(self.count_members()).unwrap_or(u16::MAX);
        let mut since = number;
        let groups = group_rows(self.log.changes_since(number));
        let mut bulletins: Vec<_> = groups
            .into_iter()
            .map(|group| {
                let newest = group.last().map_or(since, |row| row.number);
                let rows =
                    group.into_iter().map(|row| self.add_announcement_age(row, now)).collect();
                let in_flight = self.own.in_flight;
                let first = mem::replace(&mut since, newest);
                MemberBulletin {
                    since: first,
                    newest,
                    in_flight,
                    members,
                    rows,
                    ..MemberBulletin::default()
                }
            })
            .collect();
        if bulletins.is_empty() {
            let in_flight = self.own.in_flight;
            bulletins.push(MemberBulletin {
                since,
                newest: since,
                in_flight,
                members,
                ..MemberBulletin::default()
            });
        }
        if let Some(last) = bulletins.last_mut() {
            last.renewals = renewals;
            let suspects = self.probes.suspects();
            last.suspects =
                suspects.map(|(name, incarnation)| (name.clone(), incarnation)).collect();
        }
        bulletins
    }

    /// Fills the number and age of the newest announcement into an upstream's row.
    fn add_announcement_age(&self, mut row: LogRow, now: Instant) -> LogRow {
        if let RowContent::Upstream(upstream) = &mut row.content
            && let Some(AnnouncedUpstream { view, .. }) = self.announced.get(&upstream.name)
        {
            upstream.sequence = view.record.sequence;
            upstream.age_ms = age_millis(view.renewed_at, now);
        }
        row
    }

    fn make_renewals(&mut self, now: Instant) -> Vec<RowRenewal> {
        let mut renewals = Vec::new();
        let rows = mem::take(&mut self.outbox.renewed_upstreams);
        for (name, AnnouncedUpstream { view, .. }) in &self.announced {
            let handle = self.log.handle(&RowKey::Upstream(name.clone()));
            if let Some(handle) = handle.filter(|handle| rows.contains(handle)) {
                renewals.push(RowRenewal::Upstream {
                    handle,
                    sequence: view.record.sequence,
                    age: RenewalAge::new(view.renewed_at, now),
                    load: RenewalLoad::new(&view.record.load),
                });
            }
        }
        for zone in mem::take(&mut self.outbox.renewed_zones) {
            let view = self.zones.get(&zone).and_then(|state| state.view.as_ref());
            let handle = self.log.handle(&RowKey::Zone(zone.clone()));
            if let (Some(view), Some(handle)) = (view, handle) {
                let sequence = view.digest.sequence;
                let age = RenewalAge::new(view.received_at, now);
                renewals.push(RowRenewal::Zone { handle, sequence, age });
            }
        }
        renewals
    }

    fn join_seeds(&mut self, now: Instant) {
        let members = self.peer_addresses();
        let contacts: BTreeSet<_> =
            self.zones.values().flat_map(|state| state.contacts.iter().copied()).collect();
        let no_members = members.is_empty();
        self.outbox.join_rounds = self.outbox.join_rounds.saturating_add(1);
        let starting = self.outbox.join_rounds < STARTUP_JOIN_ROUNDS;
        let zone_size = u32::try_from(self.count_members()).unwrap_or(u32::MAX);
        let odds =
            if starting { STARTUP_SEED_ODDS } else { zone_size.saturating_mul(KNOWN_SEED_ODDS) };
        for seed in self.seeds.clone() {
            let introduced = self.outbox.introduced.contains(&seed);
            let known = introduced || members.contains(&seed) || contacts.contains(&seed);
            if no_members || !known || self.rng.random_ratio(1, odds) {
                self.queue_join(seed, now);
            }
        }
    }

    /// Queues a join message to `address`, unless one was sent within [`MIN_JOIN_INTERVAL`].
    pub(crate) fn queue_join(&mut self, address: SocketAddr, now: Instant) {
        let recent_joins = &mut self.outbox.recent_joins;
        recent_joins.retain(|_, at| now.duration_since(*at) < MIN_JOIN_INTERVAL);
        let is_own = address == self.own.peer_address;
        if !is_own && recent_joins.insert(address, now).is_none() {
            self.outbox.queue(address, PacketBody::Join(Box::new(self.own.clone())));
        }
    }

    fn queue_introduction(&mut self) {
        let entries: Vec<_> = self.entries().collect();
        let records = entries.into_iter().sample(&mut self.rng, INTRODUCTION_RECORDS);
        let contacts = self.sample_contacts().into_iter().sample(&mut self.rng, 1);
        let receiver = self.peers.values().choose(&mut self.rng).map(|peer| peer.address);
        if let Some(receiver) = receiver {
            self.outbox.queue(receiver, PacketBody::Introduce(records, contacts));
        }
    }

    /// Introduction of some members and other zones to an instance that joins.
    pub(crate) fn make_introduction(&mut self) -> PacketBody {
        let entries: Vec<_> = self.entries().collect();
        let mut records = entries.into_iter().sample(&mut self.rng, JOIN_REPLY_RECORDS);
        records.push(self.own.clone());
        PacketBody::Introduce(records, self.sample_contacts())
    }

    /// One address in each other zone.
    pub(crate) fn sample_contacts(&mut self) -> Vec<(ZoneName, SocketAddr)> {
        let rng = &mut self.rng;
        let zones = self.zones.iter();
        zones
            .filter_map(|(zone_name, state)| {
                Some((zone_name.clone(), *state.contacts.iter().choose(rng)?))
            })
            .collect()
    }
}

/// Whether a periodic step is due; if so, sets `due` to its next time.
pub(crate) fn is_due(due: &mut Option<Instant>, period: Duration, now: Instant) -> bool {
    if due.is_some_and(|due| now < due) {
        return false;
    }
    *due = Some(now + period);
    true
}

fn age_millis(at: Instant, now: Instant) -> u32 {
    u32::try_from(now.saturating_duration_since(at).as_millis()).unwrap_or(u32::MAX)
}
