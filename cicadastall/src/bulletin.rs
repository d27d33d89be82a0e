//! Membership datagrams between instances, and the versioned log that provides their rows.

use crate::{
    name::{InstanceName, ModelName, PoolName, RegionName, UpstreamName, ZoneName},
    renewal::RowRenewal,
    sender::{PacketSender, SenderField},
    settings::Rank,
    table::{
        EntryRecord, Incarnation, LoadReport, UpstreamRates, UpstreamRecord, UpstreamState,
        ZoneDigest,
    },
};
use bytes::{Bytes, BytesMut};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::{collections::BTreeMap, io, net::SocketAddr, pin::Pin};
use tarpc::tokio_serde::{Deserializer, Serializer, formats::Bincode};

/// Maximum estimated size of the rows in one datagram, so that it fits into one network frame.
const MAX_PACKET_ROW_BYTES: usize = 1_100;

/// Waits up to this one, in milliseconds, are sent as zero.
pub(crate) const NEGLIGIBLE_WAIT_MS: u32 = 32;

/// One datagram between two instances.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MemberPacket {
    /// Who sent it.
    pub sender: SenderField,
    /// Its content.
    pub body: PacketBody,
}

/// Body of a datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PacketBody {
    /// Changes at the sender, sent to every member of its zone.
    Bulletin(Box<MemberBulletin>),
    /// Requests the rows of the receiver's log after this number.
    Pull(u64),
    /// Requests an acknowledgement, as a proof that the receiver is running.
    Probe(u32),
    /// Requests that the receiver probe the instance at the address on behalf of the sender.
    ProbeFor(u32, SocketAddr),
    /// Reply to the probe with that nonce; contains the instance that was probed.
    Ack(u32, PacketSender),
    /// Instances that the receiver may not know, and addresses of some instances in other zones.
    Introduce(Vec<EntryRecord>, Vec<(ZoneName, SocketAddr)>),
    /// Introduces the sender and requests an introduction.
    Join(Box<EntryRecord>),
    /// Full digest of the sender's zone for another zone.
    Digest(Box<DigestPacket>),
    /// The sender's process is terminating.
    Gone,
    /// Changes since an earlier digest of the sender's zone.
    Refresh(DigestRefresh),
    /// Requests a full digest, because the receiver of a refresh does not have its base.
    AskDigest,
}

/// Changes at one instance.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct MemberBulletin {
    /// Log number after which `rows` is complete. A receiver that has fewer rows must pull.
    pub since: u64,
    /// Log number up to which the receiver has the log afterwards.
    pub newest: u64,
    /// Requests in flight.
    pub in_flight: u32,
    /// Number of members of the zone that the sender knows, including itself.
    pub members: u16,
    /// Rows changed after `since`, in the order of their numbers.
    pub rows: Vec<LogRow>,
    /// Renewals since the previous bulletin.
    pub renewals: Vec<RowRenewal>,
    /// Members that the sender suspects of having failed, with the suspected incarnation.
    pub suspects: SmallVec<[(InstanceName, Incarnation); 2]>,
}

/// One row of an instance's log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LogRow {
    /// Number of the row's last change.
    pub number: u64,
    /// Compact identifier of the row within the log.
    pub handle: u16,
    /// Its content.
    pub content: RowContent,
}

/// Splits rows into groups, each of which fits into one datagram.
pub(crate) fn group_rows(rows: Vec<LogRow>) -> Vec<Vec<LogRow>> {
    let mut groups: Vec<Vec<LogRow>> = Vec::new();
    let mut bytes = 0;
    for row in rows {
        let size = row.content.estimate_bytes();
        bytes += size;
        match groups.last_mut().filter(|_| bytes <= MAX_PACKET_ROW_BYTES) {
            Some(group) => group.push(row),
            None => {
                groups.push(vec![row]);
                bytes = size;
            }
        }
    }
    groups
}

/// Content of a row.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum RowContent {
    /// The instance itself.
    Own(EntryRecord),
    /// An upstream of the zone.
    Upstream(Box<UpstreamRow>),
    /// An upstream that an operator drains.
    Drained(UpstreamName, Incarnation),
    /// Another zone.
    Zone(Box<ZoneRow>),
    /// Pool, model and rank of a capacity in the zone whose row has that handle.
    Pool(u16, Box<PoolKey>),
    /// Capacity of the pool whose row has that handle.
    Capacity(u16, PoolCapacity),
    /// The row was removed.
    Removed,
}

impl RowContent {
    /// Upper estimate of the encoded size, in bytes.
    fn estimate_bytes(&self) -> usize {
        match self {
            Self::Own(_) | Self::Upstream(_) | Self::Zone(_) => 180,
            Self::Pool(..) | Self::Drained(..) => 60,
            Self::Capacity(..) | Self::Removed => 24,
        }
    }
}

/// Announcement of an upstream without the load, which changes with each announcement.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UpstreamRow {
    /// Name of the upstream.
    pub name: UpstreamName,
    /// Restart counter.
    pub incarnation: Incarnation,
    /// Number of the newest announcement.
    pub sequence: u64,
    /// Time since that announcement, in milliseconds.
    pub age_ms: u32,
    /// Address of its HTTP interface.
    pub address: SocketAddr,
    /// Pool it serves.
    pub pool: PoolName,
    /// Models that it has loaded.
    pub models: SmallVec<[ModelName; 4]>,
    /// Readiness.
    pub state: UpstreamState,
    /// Rates and sizes.
    pub rates: UpstreamRates,
    /// Whether it refuses orders with an old fencing token.
    pub checks_fencing: bool,
}

impl UpstreamRow {
    /// Creates the row of an announcement; its number and age are filled in when it is sent.
    pub fn new(record: &UpstreamRecord) -> Self {
        Self {
            name: record.name.clone(),
            incarnation: record.incarnation,
            sequence: 0,
            age_ms: 0,
            address: record.address,
            pool: record.pool.clone(),
            models: record.models.clone(),
            state: record.state,
            rates: record.rates.clone(),
            checks_fencing: record.checks_fencing,
        }
    }

    /// Converts the row to a record of an upstream in the region and zone of `own`.
    pub fn to_record(&self, own: &EntryRecord) -> UpstreamRecord {
        UpstreamRecord {
            name: self.name.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            region: own.region.clone(),
            zone: own.zone.clone(),
            address: self.address,
            pool: self.pool.clone(),
            models: self.models.clone(),
            state: self.state,
            rates: self.rates.clone(),
            load: LoadReport::default(),
            checks_fencing: self.checks_fencing,
        }
    }
}

/// Key of a capacity.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PoolKey {
    /// Pool of the upstreams.
    pub pool: PoolName,
    /// Model; `None` for a plain service.
    pub model: Option<ModelName>,
    /// Rank the prediction holds for.
    pub rank: Rank,
}

/// Capacity of a pool, rounded so that small changes are not sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolCapacity {
    /// Number of upstreams that accept new work.
    pub upstreams: u32,
    /// Prompt tokens per second of all these upstreams together.
    pub prefill_tokens_per_s: u32,
    /// Predicted wait before prefill starts, in milliseconds.
    pub wait_ms: u32,
}

impl PoolCapacity {
    /// Whether the difference from `old` is too small to send: the same upstreams and prefill rate,
    /// and waits that differ by at most one rounding step.
    pub fn is_close(&self, old: &Self) -> bool {
        let near = |a: u32, b: u32| a <= b.max(NEGLIGIBLE_WAIT_MS).saturating_mul(2);
        self.upstreams == old.upstreams
            && self.prefill_tokens_per_s == old.prefill_tokens_per_s
            && near(self.wait_ms, old.wait_ms)
            && near(old.wait_ms, self.wait_ms)
    }
}

/// Another zone with the addresses at which it is reached.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ZoneRow {
    /// Region of the zone.
    pub region: RegionName,
    /// The zone.
    pub zone: ZoneName,
    /// Caller addresses of entries to which requests may be forwarded.
    pub entries: SmallVec<[SocketAddr; 4]>,
    /// Peer addresses of some instances.
    pub contacts: SmallVec<[SocketAddr; 4]>,
    /// Whether this log contains the zone's capacities; otherwise another member relays them.
    pub has_rows: bool,
}

/// Full digest of a zone, as sent to another zone.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DigestPacket {
    /// The digest.
    pub digest: ZoneDigest,
    /// Peer addresses of some instances of the zone.
    pub contacts: SmallVec<[SocketAddr; 4]>,
    /// Peer address of an instance in a third zone.
    pub elsewhere: Option<(ZoneName, SocketAddr)>,
}

/// Changes in a zone since a full digest that the receiver has from the same sender.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DigestRefresh {
    /// Number of that full digest.
    pub base: u64,
    /// Number of this digest.
    pub sequence: u64,
    /// Changed capacities, with the positions of their rows in the full digest.
    pub rows: Vec<(u16, PoolCapacity)>,
}

/// Encodes a datagram.
///
/// # Errors
///
/// Fails if the packet cannot be encoded.
pub fn encode_packet(packet: &MemberPacket) -> io::Result<Bytes> {
    let mut codec = Bincode::<MemberPacket, MemberPacket>::default();
    Pin::new(&mut codec).serialize(packet)
}

/// Decodes a datagram.
///
/// # Errors
///
/// Fails if the bytes are not an encoded packet.
pub fn decode_packet(bytes: &[u8]) -> io::Result<MemberPacket> {
    let mut codec = Bincode::<MemberPacket, MemberPacket>::default();
    Pin::new(&mut codec).deserialize(&BytesMut::from(bytes))
}

/// Key of a row, which stays the same while its content changes.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum RowKey {
    /// The instance itself.
    Own,
    /// An upstream.
    Upstream(UpstreamName),
    /// A drained upstream.
    Drained(UpstreamName),
    /// Another zone.
    Zone(ZoneName),
    /// Pool, model and rank of a capacity in another zone.
    Pool(ZoneName, PoolKey),
    /// Capacity in another zone.
    Capacity(ZoneName, PoolKey),
}

/// Versioned rows of one instance: each has the number of its last change.
#[derive(Debug, Default)]
pub struct RowLog {
    newest: u64,
    next_handle: u16,
    handles: BTreeMap<RowKey, u16>,
    rows: BTreeMap<u16, (u64, RowContent)>,
}

impl RowLog {
    /// Number of the newest change.
    pub fn newest(&self) -> u64 {
        self.newest
    }

    /// Handle of the row with `key`, if it exists.
    pub fn handle(&self, key: &RowKey) -> Option<u16> {
        self.handles.get(key).copied()
    }

    /// Sets the content of a row; returns its handle and whether the content changed.
    pub fn set(&mut self, key: RowKey, content: RowContent) -> (u16, bool) {
        let known = self.handles.get(&key).copied();
        if let Some(handle) = known
            && self.rows.get(&handle).is_some_and(|(_, row)| *row == content)
        {
            return (handle, false);
        }
        let handle = known.unwrap_or_else(|| self.assign_handle(key));
        self.newest += 1;
        self.rows.insert(handle, (self.newest, content));
        (handle, true)
    }

    /// Content of the row with `key`.
    pub fn content(&self, key: &RowKey) -> Option<&RowContent> {
        self.rows.get(&self.handle(key)?).map(|(_, content)| content)
    }

    /// Marks the row with `key` as removed.
    pub fn remove(&mut self, key: &RowKey) {
        if let Some(handle) = self.handles.remove(key) {
            self.newest += 1;
            self.rows.insert(handle, (self.newest, RowContent::Removed));
        }
    }

    /// Keys of all rows.
    pub fn keys(&self) -> impl Iterator<Item = &RowKey> {
        self.handles.keys()
    }

    /// Rows changed after `number`, in the order of their changes.
    pub fn changes_since(&self, number: u64) -> Vec<LogRow> {
        let mut rows: Vec<_> = self
            .rows
            .iter()
            .filter(|(_, (changed, _))| *changed > number)
            .map(|(handle, (changed, content))| LogRow {
                number: *changed,
                handle: *handle,
                content: content.clone(),
            })
            .collect();
        rows.sort_by_key(|row| row.number);
        rows
    }

    fn assign_handle(&mut self, key: RowKey) -> u16 {
        while self.rows.contains_key(&self.next_handle) && !self.is_removed(self.next_handle) {
            self.next_handle = self.next_handle.wrapping_add(1);
        }
        let handle = self.next_handle;
        self.next_handle = self.next_handle.wrapping_add(1);
        self.handles.insert(key, handle);
        handle
    }

    fn is_removed(&self, handle: u16) -> bool {
        matches!(self.rows.get(&handle), Some((_, RowContent::Removed)))
    }
}
