//! Processing of received datagrams by the membership state.

use crate::{
    bulletin::{
        DigestPacket, DigestRefresh, LogRow, MemberBulletin, MemberPacket, PacketBody, RowContent,
        RowKey, ZoneRow,
    },
    clock::from_millis,
    digest::{apply_refresh, assemble_digest, split_capacity_row},
    members::{MemberTable, PeerState},
    name::{InstanceName, ZoneName},
    renewal::RowRenewal,
    sender::{PacketSender, SenderField},
    table::{EntryRecord, Incarnation, ZoneDigest},
};
use rand::RngExt;
use smallvec::SmallVec;
use std::{net::SocketAddr, sync::Arc};
use tokio::time::Instant;

/// Maximum number of contact addresses stored for each other zone.
const MAX_ZONE_CONTACTS: usize = 4;

/// Maximum number of senders of one zone whose full digests are stored.
const MAX_FULL_DIGESTS: usize = 4;

/// Nonce of an acknowledgement that relays a refutation and answers no probe.
const REFUTATION_NONCE: u32 = 0;

/// One in this many bulletins of a member that knows fewer members than this instance is answered
/// with an introduction.
const INTRODUCTION_ODDS: u32 = 8;

impl MemberTable {
    /// Processes a datagram that arrived from the address `origin`.
    pub fn accept(&mut self, packet: MemberPacket, origin: SocketAddr, now: Instant) {
        self.detect_pause(now);
        if !self.trusts_packets(now) {
            return;
        }
        let MemberPacket { sender, body } = packet;
        let Some(sender) = self.resolve_sender(sender) else {
            self.outbox.queue(origin, PacketBody::Pull(0));
            return;
        };
        if sender.instance == self.own.instance {
            return;
        }
        let from = sender.address;
        self.record_activity(&sender, now);
        match body {
            PacketBody::Bulletin(bulletin) => self.accept_bulletin(&sender, *bulletin, now),
            PacketBody::Pull(number) => self.outbox.queue_pull_reply(from, number),
            PacketBody::Probe(nonce) => {
                let ack = PacketBody::Ack(nonce, self.sender.clone());
                self.outbox.queue(from, ack);
            }
            PacketBody::ProbeFor(nonce, target) => self.outbox.relay_probe(from, nonce, target),
            PacketBody::Ack(nonce, subject) => self.accept_ack(nonce, subject, now),
            PacketBody::Introduce(records, contacts) => {
                self.outbox.mark_introduced(from);
                self.accept_introduction(records, now);
                self.accept_contacts(contacts, now);
            }
            PacketBody::Join(record) => self.accept_join(&sender, *record, now),
            PacketBody::Digest(digest) => {
                self.store_full_digest(&sender, &digest);
                self.accept_digest(*digest, now);
            }
            PacketBody::Refresh(refresh) => self.accept_refresh(&sender, refresh, now),
            PacketBody::AskDigest => self.outbox.digests.forget_receiver(from),
            PacketBody::Gone => self.remove_peer(&sender.instance),
        }
    }

    /// All fields of a sender, or `None` if it sent the brief form and is not known.
    fn resolve_sender(&self, sender: SenderField) -> Option<PacketSender> {
        let (tag, refutations) = match sender {
            SenderField::Full(sender) => return Some(sender),
            SenderField::Brief { tag, refutations } => (tag, refutations),
        };
        let peer = self.peers.values().find(|peer| peer.sender.tag == tag)?;
        Some(PacketSender { refutations, ..peer.sender.clone() })
    }

    fn record_activity(&mut self, sender: &PacketSender, now: Instant) {
        // A message from a different process with the same name must not keep the record of the
        // terminated process alive.
        if let Some(peer) = self.peers.get_mut(&sender.instance)
            && sender.started == peer.sender.started
        {
            if sender.incarnation() > peer.sender.incarnation() {
                peer.sender = sender.clone();
            }
            self.probes.record_alive(&sender.instance, sender.incarnation(), now);
        }
    }

    pub(crate) fn remove_peer(&mut self, instance: &InstanceName) {
        self.probes.remove(instance);
        self.peers.remove(instance);
    }

    fn accept_bulletin(&mut self, sender: &PacketSender, bulletin: MemberBulletin, now: Instant) {
        let Some(peer) = self.peer_for_sender(sender, now) else { return };
        peer.in_flight = bulletin.in_flight;
        if bulletin.since > peer.received_number {
            let received_number = peer.received_number;
            self.outbox.queue(sender.address, PacketBody::Pull(received_number));
        } else {
            let received_number = peer.received_number;
            peer.received_number = received_number.max(bulletin.newest);
            for row in bulletin.rows.into_iter().filter(|row| row.number > received_number) {
                self.accept_row(&sender.instance, row, now);
            }
            for renewal in bulletin.renewals {
                self.accept_renewal(&sender.instance, renewal, now);
            }
        }
        if usize::from(bulletin.members) < self.count_members()
            && self.rng.random_ratio(1, INTRODUCTION_ODDS)
        {
            let introduction = self.make_introduction();
            self.outbox.queue(sender.address, introduction);
        }
        for (instance, incarnation) in bulletin.suspects {
            self.accept_suspicion(sender, &instance, incarnation, now);
        }
    }

    /// The state of the sender, which is reset if its process restarted; `None` if a later start of
    /// the process is known.
    fn peer_for_sender(&mut self, sender: &PacketSender, now: Instant) -> Option<&mut PeerState> {
        let known = self.peers.get(&sender.instance).map(|peer| peer.sender.started);
        if known.is_some_and(|started| started > sender.started) {
            return None;
        }
        if known != Some(sender.started) {
            self.peers.insert(sender.instance.clone(), PeerState::new(sender.clone()));
            self.probes.record_alive(&sender.instance, sender.incarnation(), now);
        }
        self.peers.get_mut(&sender.instance)
    }

    fn accept_row(&mut self, instance: &InstanceName, row: LogRow, now: Instant) {
        let LogRow { handle, content, .. } = row;
        match &content {
            RowContent::Own(record) => self.store_entry_record(instance, record.clone()),
            RowContent::Upstream(row) => {
                if let Some(renewed_at) = now.checked_sub(from_millis(row.age_ms)) {
                    self.update_upstream(Arc::new(row.to_record(&self.own)), renewed_at);
                }
            }
            RowContent::Drained(name, incarnation) => {
                self.drained.insert(name.clone(), *incarnation);
            }
            RowContent::Zone(zone_row) => {
                let state = self.zones.entry(zone_row.zone.clone()).or_default();
                state.contacts = zone_row.contacts.clone();
            }
            RowContent::Pool(..) | RowContent::Capacity(..) | RowContent::Removed => {}
        }
        if let Some(peer) = self.peers.get_mut(instance) {
            match content {
                RowContent::Removed => drop(peer.rows.remove(&handle)),
                content => drop(peer.rows.insert(handle, content)),
            }
        }
    }

    fn store_entry_record(&mut self, instance: &InstanceName, record: EntryRecord) {
        if let Some(peer) = self.peers.get_mut(instance)
            && record.zone == self.own.zone
        {
            peer.address = record.peer_address;
            peer.record = Some(record);
        }
    }

    fn accept_renewal(&mut self, instance: &InstanceName, renewal: RowRenewal, now: Instant) {
        let Some(peer) = self.peers.get(instance) else { return };
        match renewal {
            RowRenewal::Upstream { handle, sequence, age, load } => {
                let Some(RowContent::Upstream(row)) = peer.rows.get(&handle) else { return };
                let mut record = row.to_record(&self.own);
                record.sequence = sequence;
                load.fill(&mut record.load);
                if let Some(renewed_at) = age.before(now) {
                    self.update_upstream(Arc::new(record), renewed_at);
                }
            }
            RowRenewal::Zone { handle, sequence, age } => {
                let Some(RowContent::Zone(zone_row)) = peer.rows.get(&handle) else { return };
                let Some(received_at) = age.before(now) else { return };
                if !zone_row.has_rows {
                    let zone = zone_row.zone.clone();
                    self.renew_zone_view(&zone, received_at, now);
                } else if let Some(digest) = assemble_digest(&peer.rows, handle, sequence) {
                    self.record_relay(&digest.zone, instance, received_at);
                    self.update_zone(Arc::new(digest), received_at, now);
                }
            }
        }
    }

    /// Handles a suspicion: refutes it, relays a refutation, or probes the member as well.
    fn accept_suspicion(
        &mut self,
        sender: &PacketSender,
        instance: &InstanceName,
        incarnation: Incarnation,
        now: Instant,
    ) {
        if *instance == self.own.instance {
            if incarnation >= self.sender.incarnation() {
                self.sender.refutations += 1;
                self.outbox.request_bulletin();
            }
        } else if self.probes.has_refuted(instance, incarnation) {
            if let Some(peer) = self.peers.get(instance) {
                let refutation = PacketBody::Ack(REFUTATION_NONCE, peer.sender.clone());
                self.outbox.queue(sender.address, refutation);
            }
        } else if self.probes.probe_if_silent(instance, now) {
            self.probe_peer(instance);
        }
    }

    fn accept_ack(&mut self, nonce: u32, subject: PacketSender, now: Instant) {
        if subject.instance == self.own.instance {
            return;
        }
        self.record_activity(&subject, now);
        self.outbox.relay_ack(nonce, subject, now);
    }

    fn accept_introduction(&mut self, records: Vec<EntryRecord>, now: Instant) {
        for record in records {
            if record.instance == self.own.instance {
                continue;
            }
            if record.zone != self.own.zone {
                self.store_contact(&record.zone, record.peer_address);
            } else if !self.peers.contains_key(&record.instance) {
                self.queue_join(record.peer_address, now);
            }
        }
    }

    fn accept_contacts(&mut self, contacts: Vec<(ZoneName, SocketAddr)>, now: Instant) {
        for (zone, address) in contacts {
            if zone == self.own.zone {
                self.queue_join(address, now);
            } else if self.zones.get(&zone).is_none_or(|state| state.contacts.is_empty()) {
                self.store_contact(&zone, address);
            }
        }
    }

    fn accept_join(&mut self, sender: &PacketSender, record: EntryRecord, now: Instant) {
        let introduction = self.make_introduction();
        self.outbox.queue(sender.address, introduction);
        if record.zone != self.own.zone {
            self.store_contact(&record.zone, record.peer_address);
            return;
        }
        if let Some(peer) = self.peer_for_sender(sender, now) {
            peer.record = Some(record);
            self.outbox.queue_pull_reply(sender.address, 0);
        }
    }

    fn store_contact(&mut self, zone: &ZoneName, address: SocketAddr) {
        let contacts = &mut self.zones.entry(zone.clone()).or_default().contacts;
        if !contacts.contains(&address) {
            contacts.insert(0, address);
            contacts.truncate(MAX_ZONE_CONTACTS);
        }
    }

    /// Stores a full digest as the base of the refreshes that its sender sends afterwards.
    fn store_full_digest(&mut self, sender: &PacketSender, packet: &DigestPacket) {
        if packet.digest.zone == self.own.zone {
            return;
        }
        let full_digests =
            &mut self.zones.entry(packet.digest.zone.clone()).or_default().full_digests;
        full_digests.retain(|(tag, _)| *tag != sender.tag);
        full_digests.insert(0, (sender.tag, packet.clone()));
        full_digests.truncate(MAX_FULL_DIGESTS);
    }

    fn accept_refresh(&mut self, sender: &PacketSender, refresh: DigestRefresh, now: Instant) {
        let mut bases = self.zones.values().flat_map(|state| &state.full_digests);
        let base =
            bases.find(|(tag, base)| *tag == sender.tag && base.digest.sequence == refresh.base);
        match base.map(|(_, base)| apply_refresh(base, refresh)) {
            Some(digest) => self.accept_digest(digest, now),
            None => self.outbox.queue(sender.address, PacketBody::AskDigest),
        }
    }

    fn accept_digest(&mut self, packet: DigestPacket, now: Instant) {
        let DigestPacket { digest, contacts, elsewhere } = packet;
        if digest.zone == self.own.zone {
            return;
        }
        let zone = digest.zone.clone();
        self.write_digest_rows(&digest, &contacts, !self.is_relayed(&zone, now));
        self.update_zone(Arc::new(digest), now, now);
        if let Some(state) = self.zones.get_mut(&zone) {
            state.direct_digest_at = Some(now);
            state.contacts = contacts;
        }
        self.accept_contacts(elsewhere.into_iter().collect(), now);
    }

    /// Writes a digest into the log; its capacities only if `has_rows`, that is, if no other member
    /// relays them.
    fn write_digest_rows(
        &mut self,
        digest: &ZoneDigest,
        contacts: &SmallVec<[SocketAddr; 4]>,
        has_rows: bool,
    ) {
        let zone = digest.zone.clone();
        let zone_row = ZoneRow {
            region: digest.region.clone(),
            zone: zone.clone(),
            entries: digest.entries.clone(),
            contacts: contacts.clone(),
            has_rows,
        };
        let content = RowContent::Zone(Box::new(zone_row));
        let (handle, _) = self.log.set(RowKey::Zone(zone.clone()), content);
        let rows: Vec<_> =
            digest.rows.iter().filter(|_| has_rows).map(split_capacity_row).collect();
        let is_current = |key: &RowKey| match key {
            RowKey::Pool(key_zone, pool) | RowKey::Capacity(key_zone, pool)
                if *key_zone == zone =>
            {
                rows.iter().any(|(key, _)| key == pool)
            }
            _ => true,
        };
        let removed_keys: Vec<_> =
            self.log.keys().filter(|key| !is_current(key)).cloned().collect();
        for key in removed_keys {
            self.log.remove(&key);
        }
        for (pool, capacity) in rows {
            let name = RowContent::Pool(handle, Box::new(pool.clone()));
            let (pool_handle, _) = self.log.set(RowKey::Pool(zone.clone(), pool.clone()), name);
            let key = RowKey::Capacity(zone.clone(), pool);
            let known = self.log.content(&key);
            if !matches!(known, Some(RowContent::Capacity(_, old)) if capacity.is_close(old)) {
                self.log.set(key, RowContent::Capacity(pool_handle, capacity));
            }
        }
        self.outbox.queue_zone_renewal(zone);
    }
}
