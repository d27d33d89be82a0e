//! Datagrams that instances send each other about members, and the log that their rows come from.

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

/// Estimated bytes of the rows in one datagram, so that it fits into one frame of the network.
const MAX_PACKET_ROW_BYTES: usize = 1_100;

/// Waits up to this one, in milliseconds, are sent as none.
pub(crate) const NEGLIGIBLE_WAIT_MS: u32 = 32;

/// One datagram between two instances.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct MemberPacket {
    /// Who sent it.
    pub sender: SenderField,
    /// What it says.
    pub body: PacketBody,
}

/// What a datagram says.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PacketBody {
    /// News of the sender, sent to every member of its zone.
    Bulletin(Box<MemberBulletin>),
    /// Asks for the sender's rows after this number of the receiver's log.
    Pull(u64),
    /// Asks the receiver to show that it runs.
    Probe(u32),
    /// Asks the receiver to probe the instance at the address for the sender.
    ProbeFor(u32, SocketAddr),
    /// Replies to the probe of that number; names the instance that was probed.
    Ack(u32, PacketSender),
    /// Names instances that the receiver may not know, and addresses of some in other zones.
    Introduce(Vec<EntryRecord>, Vec<(ZoneName, SocketAddr)>),
    /// Asks for introductions, and introduces the sender.
    Join(Box<EntryRecord>),
    /// Summary of the sender's zone for another one.
    Digest(Box<DigestPacket>),
    /// The sender's process ends.
    Gone,
    /// What changed since an earlier summary of the sender's zone.
    Refresh(DigestRefresh),
    /// Asks for a whole summary in place of what changed.
    AskDigest,
}

/// News of one instance.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct MemberBulletin {
    /// The rows are complete for a receiver that has the log up to this number.
    pub since: u64,
    /// Number of the log's newest row that the receiver has afterwards.
    pub newest: u64,
    /// Requests in flight.
    pub in_flight: u32,
    /// Members of the zone that the sender knows, itself included.
    pub members: u16,
    /// Rows changed after `since`, in the order of their numbers.
    pub rows: Vec<LogRow>,
    /// Renewals since the previous bulletin.
    pub renewals: Vec<RowRenewal>,
    /// Members that the sender suspects to have failed.
    pub suspects: SmallVec<[(InstanceName, Incarnation); 2]>,
}

/// One row of an instance's log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LogRow {
    /// Number of the row's last change.
    pub number: u64,
    /// Short name of the row within the log.
    pub handle: u16,
    /// Its content.
    pub content: RowContent,
}

/// Cuts rows into groups of which each fits into one datagram.
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
    /// Names the pool, model and rank of a capacity in the zone of the row with that handle.
    Pool(u16, Box<PoolKey>),
    /// Capacity of the pool of the row with that handle.
    Capacity(u16, PoolCapacity),
    /// The row is gone.
    Removed,
}

impl RowContent {
    /// Upper estimate of the encoded row.
    fn estimate_bytes(&self) -> usize {
        match self {
            Self::Own(_) | Self::Upstream(_) | Self::Zone(_) => 180,
            Self::Pool(..) | Self::Drained(..) => 60,
            Self::Capacity(..) | Self::Removed => 24,
        }
    }
}

/// What an upstream says of itself, without what changes with each announcement.
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
    /// Whether it refuses orders with an old fencing number.
    pub checks_fencing: bool,
}

impl UpstreamRow {
    /// The row of an announcement, without its number and age.
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

    /// The announcement, for an upstream in the place of `own`.
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

/// What one capacity belongs to.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct PoolKey {
    /// Pool of the upstreams.
    pub pool: PoolName,
    /// Model, or none for a plain service.
    pub model: Option<ModelName>,
    /// Rank the prediction holds for.
    pub rank: Rank,
}

/// Figures of one capacity, rounded so that small changes are not sent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolCapacity {
    /// Upstreams that take new work.
    pub upstreams: u32,
    /// Prompt tokens per second of all of them.
    pub prefill_tokens_per_s: u32,
    /// Predicted wait before prefill starts, in milliseconds.
    pub wait_ms: u32,
}

impl PoolCapacity {
    /// Whether the difference to `old` is not worth sending: the same upstreams, and a wait that
    /// differs by one step of its rounding.
    pub fn is_close(&self, old: &Self) -> bool {
        let near = |a: u32, b: u32| a <= b.max(NEGLIGIBLE_WAIT_MS).saturating_mul(2);
        self.upstreams == old.upstreams
            && self.prefill_tokens_per_s == old.prefill_tokens_per_s
            && near(self.wait_ms, old.wait_ms)
            && near(old.wait_ms, self.wait_ms)
    }
}

/// Another zone and how to reach it.
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
    /// Whether the log has the zone's capacities; otherwise another member's log has them.
    pub has_rows: bool,
}

/// Summary of a zone on its way to another one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DigestPacket {
    /// The summary.
    pub digest: ZoneDigest,
    /// Peer addresses of some instances of the zone.
    pub contacts: SmallVec<[SocketAddr; 4]>,
    /// Peer address of an instance in a third zone.
    pub elsewhere: Option<(ZoneName, SocketAddr)>,
}

/// What changed in a zone since a summary that the receiver has from the same sender.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DigestRefresh {
    /// Number of that summary.
    pub base: u64,
    /// Number of this one.
    pub sequence: u64,
    /// Changed capacities, with the positions of their rows.
    pub rows: Vec<(u16, PoolCapacity)>,
}

/// Encodes a datagram.
pub fn encode_packet(packet: &MemberPacket) -> io::Result<Bytes> {
    let mut codec = Bincode::<MemberPacket, MemberPacket>::default();
    Pin::new(&mut codec).serialize(packet)
}

/// Decodes a datagram.
pub fn decode_packet(bytes: &[u8]) -> io::Result<MemberPacket> {
    let mut codec = Bincode::<MemberPacket, MemberPacket>::default();
    Pin::new(&mut codec).deserialize(&BytesMut::from(bytes))
}

/// Names a row while its content changes.
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
    /// Name of a capacity in another zone.
    Pool(ZoneName, PoolKey),
    /// Capacity in another zone.
    Capacity(ZoneName, PoolKey),
}

/// Rows of one instance, each with the number of its last change.
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

    /// Handle of the row named `key`, if it has one.
    pub fn handle(&self, key: &RowKey) -> Option<u16> {
        self.handles.get(key).copied()
    }

    /// Sets the content of a row; returns its handle, and whether the content is new.
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

    /// Content of the row named `key`.
    pub fn content(&self, key: &RowKey) -> Option<&RowContent> {
        self.rows.get(&self.handle(key)?).map(|(_, content)| content)
    }

    /// Marks the row named `key` as gone.
    pub fn remove(&mut self, key: &RowKey) {
        if let Some(handle) = self.handles.remove(key) {
            self.newest += 1;
            self.rows.insert(handle, (self.newest, RowContent::Removed));
        }
    }

    /// Names of all rows.
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
