//! Sending of the digest of the own zone to other zones.

use crate::{
    bulletin::{DigestPacket, DigestRefresh, PacketBody},
    digest::{choose_delegates, find_capacity_changes, round_capacity_row},
    members::MemberTable,
    name::ZoneName,
    outbox::{OutgoingPacket, is_due},
    route::summary::summarize_capacity,
    table::{EntryRecord, EntryState, ZoneDigest},
};
use rand::seq::IteratorRandom;
use smallvec::SmallVec;
use std::{
    collections::{BTreeMap, BTreeSet},
    hash::{DefaultHasher, Hash, Hasher},
    net::SocketAddr,
    time::Duration,
};
use tokio::time::Instant;

/// Time between two digests from one delegate to one zone.
const DIGEST_PERIOD: Duration = Duration::from_millis(1_000);

/// Maximum number of entries that a digest lists for forwarded requests, and of contacts.
const MAX_DIGEST_ENTRIES: usize = 4;

/// At least one in this many digests to one receiver is a full one.
const FULL_DIGEST_INTERVAL: u32 = 16;

/// The last full digest sent to a zone.
#[derive(Debug)]
struct SentDigest {
    to: SocketAddr,
    packet: DigestPacket,
    digests_sent: u32,
}

/// When digests are due, and the full digests that their receivers have.
#[derive(Debug, Default)]
pub(crate) struct DigestOutbox {
    due: Option<Instant>,
    sequence: u64,
    sent: BTreeMap<ZoneName, SentDigest>,
}

impl DigestOutbox {
    /// The changes since the last full digest sent to `to`, or a full digest if there is none.
    fn make_digest_body(
        &mut self,
        target: ZoneName,
        to: SocketAddr,
        packet: DigestPacket,
    ) -> PacketBody {
        if let Some(sent) = self.sent.get_mut(&target)
            && sent.to == to
            && sent.digests_sent < FULL_DIGEST_INTERVAL
            && let Some(rows) = find_capacity_changes(&sent.packet, &packet)
        {
            sent.digests_sent += 1;
            let base = sent.packet.digest.sequence;
            return PacketBody::Refresh(DigestRefresh {
                base,
                sequence: packet.digest.sequence,
                rows,
            });
        }
        self.sent.insert(target, SentDigest { to, packet: packet.clone(), digests_sent: 1 });
        PacketBody::Digest(Box::new(packet))
    }

    /// Makes the next digest to the address a full one.
    pub(crate) fn forget_receiver(&mut self, to: SocketAddr) {
        self.sent.retain(|_, sent| sent.to != to);
    }
}

impl MemberTable {
    /// Adds the digests that are due to `packets`.
    pub(crate) fn make_digests(&mut self, packets: &mut Vec<OutgoingPacket>, now: Instant) {
        if !is_due(&mut self.outbox.digests.due, DIGEST_PERIOD, now) {
            return;
        }
        let targets = self.choose_targets();
        if targets.is_empty() {
            return;
        }
        self.outbox.digests.sequence += 1;
        let rows = summarize_capacity(&self.make_table(now), now);
        let rows: Vec<_> = rows.iter().map(round_capacity_row).collect();
        let serving: Vec<_> = self.entries().chain([self.own.clone()]).collect();
        for (target, to) in targets {
            let digest = ZoneDigest {
                region: self.own.region.clone(),
                zone: self.own.zone.clone(),
                sequence: self.outbox.digests.sequence,
                entries: choose_entries(&serving, &target, |record| record.caller_address),
                rows: rows.clone(),
            };
            let contacts = self.choose_receivers(&serving, &target);
            let others = self.sample_contacts().into_iter().filter(|(zone, _)| *zone != target);
            let elsewhere = others.choose(&mut self.rng);
            let packet = DigestPacket { digest, contacts, elsewhere };
            let body = self.outbox.digests.make_digest_body(target, to, packet);
            let packet = self.make_packet(body);
            packets.push(OutgoingPacket { to: vec![to], packet });
        }
    }

    /// Peer addresses to which `target` sends its digests: first the delegates for `target`, so
    /// that the digests of all zones are spread over the members, then some others.
    fn choose_receivers(
        &self,
        serving: &[EntryRecord],
        target: &ZoneName,
    ) -> SmallVec<[SocketAddr; 4]> {
        let zones: BTreeSet<&ZoneName> = self.zones.keys().collect();
        let mut names: BTreeSet<_> = serving.iter().map(|record| &record.instance).collect();
        let mut receivers: SmallVec<[SocketAddr; 4]> = SmallVec::new();
        for name in choose_delegates(&names, &zones, target) {
            let address = serving.iter().find(|record| record.instance == *name);
            receivers.extend(address.map(|record| record.peer_address));
            names.remove(name);
        }
        let others = serving.iter().filter(|record| names.contains(&record.instance)).cloned();
        let others: Vec<_> = others.collect();
        receivers.extend(choose_entries(&others, target, |record| Some(record.peer_address)));
        receivers.truncate(MAX_DIGEST_ENTRIES);
        receivers
    }

    /// Zones for which this instance is a delegate, with the receiver in each.
    fn choose_targets(&self) -> Vec<(ZoneName, SocketAddr)> {
        let zones: BTreeSet<&ZoneName> = self.zones.keys().collect();
        let members = self.zone_members();
        let own_delegate_index = |zone: &ZoneName| {
            let delegates = choose_delegates(&members, &zones, zone);
            delegates.iter().position(|delegate| **delegate == self.own.instance)
        };
        let targets = self.zones.iter().filter_map(|(zone, state)| {
            let delegate_index = own_delegate_index(zone)?;
            let address =
                state.contacts.get(delegate_index.min(state.contacts.len().saturating_sub(1)))?;
            Some((zone.clone(), *address))
        });
        targets.collect()
    }
}

/// Addresses of some serving entries, ranked by a hash of the entry and the target, so that
/// requests forwarded from many zones are spread over all entries.
fn choose_entries(
    entries: &[EntryRecord],
    target: &ZoneName,
    address: impl Fn(&EntryRecord) -> Option<SocketAddr>,
) -> SmallVec<[SocketAddr; 4]> {
    let serving = entries.iter().filter(|record| record.state == EntryState::Serving);
    let mut ranked: Vec<_> = serving
        .filter_map(|record| {
            let mut hasher = DefaultHasher::new();
            (&record.instance, target).hash(&mut hasher);
            Some((hasher.finish(), address(record)?))
        })
        .collect();
    ranked.sort_by_key(|(rank, _)| *rank);
    ranked.into_iter().map(|(_, address)| address).take(MAX_DIGEST_ENTRIES).collect()
}
