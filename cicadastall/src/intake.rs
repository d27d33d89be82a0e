//! How membership state takes the datagrams of other instances.

use crate::{
    bulletin::{
        DigestPacket, DigestRefresh, LogRow, MemberBulletin, MemberPacket, PacketBody, RowContent,
        RowKey, ZonePlace,
    },
    clock::from_millis,
    digest::{apply_refresh, scan_digest, split_row},
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

/// Addresses kept for each other zone.
const ZONE_CONTACTS: usize = 4;

/// Senders of one zone whose whole digests are kept.
const ZONE_WHOLES: usize = 4;

/// Number in place of a probe's in a reply that passes a refutation on.
const REFUTATION: u32 = 0;

/// One in so many bulletins of a member that knows fewer than this one is replied to with names.
const HELP_ODDS: u32 = 8;

impl MemberTable {
    /// Takes a datagram that came from the address `origin`.
    pub fn accept(&mut self, packet: MemberPacket, origin: SocketAddr, now: Instant) {
        self.note_time(now);
        if !self.trusts(now) {
            return;
        }
        let MemberPacket { sender, body } = packet;
        let Some(sender) = self.identify(sender) else {
            self.outbox.send(origin, PacketBody::Pull(0));
            return;
        };
        if sender.instance == self.own.instance {
            return;
        }
        let from = sender.address;
        self.hear(&sender, now);
        match body {
            PacketBody::Bulletin(bulletin) => self.accept_bulletin(&sender, *bulletin, now),
            PacketBody::Pull(number) => self.outbox.answer_pull(from, number),
            PacketBody::Probe(nonce) => {
                let ack = PacketBody::Ack(nonce, self.sender.clone());
                self.outbox.send(from, ack);
            }
            PacketBody::ProbeFor(nonce, target) => self.outbox.probe_for(from, nonce, target),
            PacketBody::Ack(nonce, subject) => self.accept_ack(nonce, subject, now),
            PacketBody::Introduce(records, contacts) => {
                self.outbox.note_met(from);
                self.accept_introduction(records, now);
                self.accept_contacts(contacts, now);
            }
            PacketBody::Join(record) => self.accept_join(&sender, *record, now),
            PacketBody::Digest(digest) => {
                self.keep_whole(&sender, &digest);
                self.accept_digest(*digest, now);
            }
            PacketBody::Refresh(refresh) => self.accept_refresh(&sender, refresh, now),
            PacketBody::AskDigest => self.outbox.digests.forget(from),
            PacketBody::Gone => self.remove_peer(&sender.instance),
        }
    }

    /// All fields of a sender, if they are known.
    fn identify(&self, sender: SenderField) -> Option<PacketSender> {
        let (tag, refutations) = match sender {
            SenderField::Full(sender) => return Some(sender),
            SenderField::Brief { tag, refutations } => (tag, refutations),
        };
        let peer = self.peers.values().find(|peer| peer.sender.tag == tag)?;
        Some(PacketSender { refutations, ..peer.sender.clone() })
    }

    fn hear(&mut self, sender: &PacketSender, now: Instant) {
        // A sign of life of another process of that name would keep the ended one listed.
        if let Some(peer) = self.peers.get_mut(&sender.instance)
            && sender.started == peer.sender.started
        {
            if sender.incarnation() > peer.sender.incarnation() {
                peer.sender = sender.clone();
            }
            self.probes.hear(&sender.instance, sender.incarnation(), now);
        }
    }

    pub(crate) fn remove_peer(&mut self, instance: &InstanceName) {
        self.probes.remove(instance);
        self.peers.remove(instance);
    }

    fn accept_bulletin(&mut self, sender: &PacketSender, bulletin: MemberBulletin, now: Instant) {
        let Some(peer) = self.open_peer(sender, now) else { return };
        peer.in_flight = bulletin.in_flight;
        if bulletin.since > peer.have {
            let have = peer.have;
            self.outbox.send(sender.address, PacketBody::Pull(have));
        } else {
            let have = peer.have;
            peer.have = have.max(bulletin.newest);
            for row in bulletin.rows.into_iter().filter(|row| row.number > have) {
                self.accept_row(&sender.instance, row, now);
            }
            for renewal in bulletin.renewals {
                self.accept_renewal(&sender.instance, renewal, now);
            }
        }
        if usize::from(bulletin.members) < self.count_members()
            && self.random.random_ratio(1, HELP_ODDS)
        {
            let introduction = self.make_introduction();
            self.outbox.send(sender.address, introduction);
        }
        for (instance, incarnation) in bulletin.suspects {
            self.accept_suspicion(sender, &instance, incarnation, now);
        }
    }

    /// The state of a member of this zone; a restarted one begins anew.
    fn open_peer(&mut self, sender: &PacketSender, now: Instant) -> Option<&mut PeerState> {
        let known = self.peers.get(&sender.instance).map(|peer| peer.sender.started);
        if known.is_some_and(|started| started > sender.started) {
            return None;
        }
        if known != Some(sender.started) {
            self.peers.insert(sender.instance.clone(), PeerState::new(sender.clone()));
            self.probes.hear(&sender.instance, sender.incarnation(), now);
        }
        self.peers.get_mut(&sender.instance)
    }

    fn accept_row(&mut self, instance: &InstanceName, row: LogRow, now: Instant) {
        let LogRow { handle, content, .. } = row;
        match &content {
            RowContent::Own(record) => self.keep_record(instance, record.clone()),
            RowContent::Upstream(row) => {
                if let Some(renewed_at) = now.checked_sub(from_millis(row.age_ms)) {
                    self.renew_upstream(Arc::new(row.to_record(&self.own)), renewed_at);
                }
            }
            RowContent::Drained(name, incarnation) => {
                self.drained.insert(name.clone(), *incarnation);
            }
            RowContent::Zone(place) => {
                let state = self.zones.entry(place.zone.clone()).or_default();
                state.contacts = place.contacts.clone();
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

    fn keep_record(&mut self, instance: &InstanceName, record: EntryRecord) {
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
                    self.renew_upstream(Arc::new(record), renewed_at);
                }
            }
            RowRenewal::Zone { handle, sequence, age } => {
                let Some(RowContent::Zone(place)) = peer.rows.get(&handle) else { return };
                let Some(received_at) = age.before(now) else { return };
                if !place.has_rows {
                    let zone = place.zone.clone();
                    self.touch_zone(&zone, received_at, now);
                } else if let Some(digest) = scan_digest(&peer.rows, handle, sequence) {
                    self.note_relayed(&digest.zone, instance, received_at);
                    self.renew_zone(Arc::new(digest), received_at, now);
                }
            }
        }
    }

    /// Takes a suspicion: refutes it, passes a refutation on, or probes the member as well.
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
                self.outbox.hurry();
            }
        } else if self.probes.has_refuted(instance, incarnation) {
            if let Some(peer) = self.peers.get(instance) {
                let refutation = PacketBody::Ack(REFUTATION, peer.sender.clone());
                self.outbox.send(sender.address, refutation);
            }
        } else if self.probes.doubt(instance, now) {
            self.probe_peer(instance);
        }
    }

    fn accept_ack(&mut self, nonce: u32, subject: PacketSender, now: Instant) {
        if subject.instance == self.own.instance {
            return;
        }
        self.hear(&subject, now);
        self.outbox.pass_ack(nonce, subject, now);
    }

    fn accept_introduction(&mut self, records: Vec<EntryRecord>, now: Instant) {
        for record in records {
            if record.instance == self.own.instance {
                continue;
            }
            if record.zone != self.own.zone {
                self.keep_contact(&record.zone, record.peer_address);
            } else if !self.peers.contains_key(&record.instance) {
                self.join(record.peer_address, now);
            }
        }
    }

    fn accept_contacts(&mut self, contacts: Vec<(ZoneName, SocketAddr)>, now: Instant) {
        for (zone, address) in contacts {
            if zone == self.own.zone {
                self.join(address, now);
            } else if self.zones.get(&zone).is_none_or(|state| state.contacts.is_empty()) {
                self.keep_contact(&zone, address);
            }
        }
    }

    fn accept_join(&mut self, sender: &PacketSender, record: EntryRecord, now: Instant) {
        let introduction = self.make_introduction();
        self.outbox.send(sender.address, introduction);
        if record.zone != self.own.zone {
            self.keep_contact(&record.zone, record.peer_address);
            return;
        }
        if let Some(peer) = self.open_peer(sender, now) {
            peer.record = Some(record);
            self.outbox.answer_pull(sender.address, 0);
        }
    }

    fn keep_contact(&mut self, zone: &ZoneName, address: SocketAddr) {
        let contacts = &mut self.zones.entry(zone.clone()).or_default().contacts;
        if !contacts.contains(&address) {
            contacts.insert(0, address);
            contacts.truncate(ZONE_CONTACTS);
        }
    }

    /// Keeps a whole digest for the changes that its sender sends afterwards.
    fn keep_whole(&mut self, sender: &PacketSender, packet: &DigestPacket) {
        if packet.digest.zone == self.own.zone {
            return;
        }
        let wholes = &mut self.zones.entry(packet.digest.zone.clone()).or_default().wholes;
        wholes.retain(|(tag, _)| *tag != sender.tag);
        wholes.insert(0, (sender.tag, packet.clone()));
        wholes.truncate(ZONE_WHOLES);
    }

    fn accept_refresh(&mut self, sender: &PacketSender, refresh: DigestRefresh, now: Instant) {
        let mut wholes = self.zones.values().flat_map(|state| &state.wholes);
        let whole =
            wholes.find(|(tag, whole)| *tag == sender.tag && whole.digest.sequence == refresh.base);
        match whole.map(|(_, whole)| apply_refresh(whole, refresh)) {
            Some(digest) => self.accept_digest(digest, now),
            None => self.outbox.send(sender.address, PacketBody::AskDigest),
        }
    }

    fn accept_digest(&mut self, packet: DigestPacket, now: Instant) {
        let DigestPacket { digest, contacts, elsewhere } = packet;
        if digest.zone == self.own.zone {
            return;
        }
        let zone = digest.zone.clone();
        self.log_digest(&digest, &contacts, !self.is_relayed(&zone, now));
        self.renew_zone(Arc::new(digest), now, now);
        if let Some(state) = self.zones.get_mut(&zone) {
            state.direct_at = Some(now);
            state.contacts = contacts;
        }
        self.accept_contacts(elsewhere.into_iter().collect(), now);
    }

    /// Writes a digest into the log; its capacities only if no other member passes them on.
    fn log_digest(
        &mut self,
        digest: &ZoneDigest,
        contacts: &SmallVec<[SocketAddr; 4]>,
        has_rows: bool,
    ) {
        let zone = digest.zone.clone();
        let place = ZonePlace {
            region: digest.region.clone(),
            zone: zone.clone(),
            entries: digest.entries.clone(),
            contacts: contacts.clone(),
            has_rows,
        };
        let content = RowContent::Zone(Box::new(place));
        let (handle, _) = self.log.set(RowKey::Zone(zone.clone()), content);
        let rows: Vec<_> = digest.rows.iter().filter(|_| has_rows).map(split_row).collect();
        let keeps = |key: &RowKey| match key {
            RowKey::Pool(of, pool) | RowKey::Capacity(of, pool) if *of == zone => {
                rows.iter().any(|(key, _)| key == pool)
            }
            _ => true,
        };
        let ended: Vec<_> = self.log.keys().filter(|key| !keeps(key)).cloned().collect();
        for key in ended {
            self.log.remove(&key);
        }
        for (pool, capacity) in rows {
            let name = RowContent::Pool(handle, Box::new(pool.clone()));
            let (named, _) = self.log.set(RowKey::Pool(zone.clone(), pool.clone()), name);
            let key = RowKey::Capacity(zone.clone(), pool);
            let known = self.log.content(&key);
            if !matches!(known, Some(RowContent::Capacity(_, old)) if capacity.is_close(old)) {
                self.log.set(key, RowContent::Capacity(named, capacity));
            }
        }
        self.outbox.note_zone(zone);
    }
}
