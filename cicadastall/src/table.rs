//! State of upstreams, entries and other zones as one entry knows it at one moment.

use crate::{
    name::{InstanceName, ModelName, PoolName, RegionName, UpstreamName, ZoneName},
    settings::Rank,
    wire::is_default,
};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};
use tokio::time::Instant;

/// Counts the restarts and refutations of one member; the higher number is the newer.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// Readiness of an upstream for new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum UpstreamState {
    /// Loads a model and accepts no work yet.
    Loading,
    /// Accepts new work.
    Serving,
    /// Finishes its requests and accepts no new ones.
    Leaving,
    /// Has no model loaded; can be ordered to load one.
    Parked,
}

/// Rates and sizes of a model engine, or of a plain service with one token per call.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UpstreamRates {
    /// Prompt tokens processed per second.
    pub prefill_tokens_per_s: f64,
    /// Tokens generated per second, for all requests of a batch together.
    pub decode_tokens_per_s: f64,
    /// Maximum number of requests that run concurrently.
    pub max_running: u32,
    /// Capacity of the KV cache, in tokens.
    pub kv_tokens: u64,
}

/// Load that an upstream reports.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Running requests.
    pub running: u32,
    /// Queued requests.
    pub queued: u32,
    /// Prompt tokens waiting for prefill.
    pub queued_prompt_tokens: u64,
    /// Tokens in the KV cache that running requests hold.
    pub kv_used_tokens: u64,
    /// Running urgent requests.
    #[serde(default, skip_serializing_if = "is_default")]
    pub urgent_running: u32,
    /// Queued urgent requests.
    #[serde(default, skip_serializing_if = "is_default")]
    pub urgent_queued: u32,
    /// Prompt tokens of urgent requests waiting for prefill.
    #[serde(default, skip_serializing_if = "is_default")]
    pub urgent_prompt_tokens: u64,
    /// Latest changes of the prefix cache; consecutive reports overlap.
    #[serde(default, skip_serializing_if = "CacheBatch::is_empty")]
    pub cache: CacheBatch,
}

/// Consecutive changes of one upstream's prefix cache.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct CacheBatch {
    /// Sequence number of the first event; events are numbered without gaps within an incarnation.
    pub first: u64,
    /// Whether the events list the complete contents of the cache before event `first`.
    pub full: bool,
    /// The changes, in order.
    pub events: Vec<CacheEvent>,
}

impl CacheBatch {
    /// Whether the batch carries no information.
    pub fn is_empty(&self) -> bool {
        !self.full && self.events.is_empty()
    }
}

/// One change of a prefix cache; blocks are identified by their chained hash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CacheEvent {
    /// The block was stored and can be reused.
    Stored(u64),
    /// The block was evicted.
    Removed(u64),
}

/// Announcement of an upstream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UpstreamRecord {
    /// Name, unique in the fleet.
    pub name: UpstreamName,
    /// Restart counter of the upstream.
    pub incarnation: Incarnation,
    /// Increases with each announcement and renewal of one incarnation.
    pub sequence: u64,
    /// Region of the upstream.
    pub region: RegionName,
    /// Availability zone of the upstream.
    pub zone: ZoneName,
    /// Address of its HTTP interface.
    pub address: SocketAddr,
    /// Pool that it serves.
    pub pool: PoolName,
    /// Loaded models; empty for a plain service.
    #[serde(default)]
    pub models: SmallVec<[ModelName; 4]>,
    /// Readiness.
    pub state: UpstreamState,
    /// Rates and capacities.
    pub rates: UpstreamRates,
    /// Load at the time of the announcement.
    pub load: LoadReport,
    /// Whether it rejects orders with an outdated fencing token.
    #[serde(default)]
    pub checks_fencing: bool,
}

impl UpstreamRecord {
    /// Renewal for a receiver that has the announcement with sequence number `announced`.
    pub fn to_renewal(&self, announced: u64) -> UpstreamRenewal {
        UpstreamRenewal {
            name: self.name.clone(),
            incarnation: self.incarnation,
            announced,
            sequence: self.sequence,
            load: self.load.clone(),
        }
    }
}

/// Renewal of an announcement when only the load has changed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UpstreamRenewal {
    /// Name of the upstream.
    pub name: UpstreamName,
    /// Restart counter of the upstream.
    pub incarnation: Incarnation,
    /// Sequence number of the announcement that has the other fields.
    pub announced: u64,
    /// Increases with each announcement and renewal of one incarnation.
    pub sequence: u64,
    /// Load at the time of the renewal.
    pub load: LoadReport,
}

/// An upstream that announced itself to this instance.
#[derive(Debug, Clone)]
pub(crate) struct AnnouncedUpstream {
    /// Record of the upstream, with the time of its latest announcement or renewal.
    pub(crate) view: UpstreamView,
    /// Sequence number of the announcement that has the other fields of the record.
    pub(crate) announced: u64,
}

/// An upstream in the table, with the time of its latest announcement or renewal.
#[derive(Debug, Clone)]
pub struct UpstreamView {
    /// The latest announcement, with the load of the latest renewal.
    pub record: Arc<UpstreamRecord>,
    /// When the announcement or renewal was made, by this instance's clock.
    pub renewed_at: Instant,
}

/// Readiness of an entry for new connections, in the order in which a process passes through it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EntryState {
    /// Has not yet received the settings and the state of its zone.
    Starting,
    /// Accepts new connections.
    Serving,
    /// Finishes its requests and accepts no new ones.
    Draining,
}

/// An entry or control instance as other instances know it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EntryRecord {
    /// Name, unique in the fleet.
    pub instance: InstanceName,
    /// Counter of restarts and refutations.
    pub incarnation: Incarnation,
    /// Region of the instance.
    pub region: RegionName,
    /// Availability zone of the instance.
    pub zone: ZoneName,
    /// Address for callers; absent for a control instance.
    pub caller_address: Option<SocketAddr>,
    /// Address for other instances.
    pub peer_address: SocketAddr,
    /// Address at which the instance grants engine slots. Always encoded, because datagrams
    /// identify fields by position.
    pub grant_address: Option<SocketAddr>,
    /// Readiness.
    pub state: EntryState,
    /// Requests in flight.
    pub in_flight: u32,
}

/// Free capacity of one pool and model in one availability zone.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CapacityRow {
    /// Pool of the upstreams.
    pub pool: PoolName,
    /// Model, or none for a plain service.
    pub model: Option<ModelName>,
    /// Rank to which the predicted wait applies.
    pub rank: Rank,
    /// Upstreams that accept new work.
    pub upstreams: u32,
    /// Prompt tokens that all of them process per second.
    pub prefill_tokens_per_s: f64,
    /// Predicted wait before prefill starts, in milliseconds.
    pub wait_ms: f64,
}

/// Summary of one availability zone, sent to other zones.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ZoneDigest {
    /// Region of the zone.
    pub region: RegionName,
    /// The zone.
    pub zone: ZoneName,
    /// Increases with each digest of the zone.
    pub sequence: u64,
    /// Caller addresses of some serving entries, to which requests may be forwarded.
    pub entries: SmallVec<[SocketAddr; 4]>,
    /// Capacity by pool, model and rank.
    pub rows: Vec<CapacityRow>,
}

/// A digest with the time at which it was received.
#[derive(Debug, Clone)]
pub struct ZoneView {
    /// The latest digest of the zone.
    pub digest: Arc<ZoneDigest>,
    /// When it was received, by this instance's clock.
    pub received_at: Instant,
}

/// Snapshot of all targets that the router can select from.
#[derive(Debug, Clone, Default)]
pub struct RoutingTable {
    /// Upstreams of this availability zone.
    pub upstreams: BTreeMap<UpstreamName, UpstreamView>,
    /// Other instances of this availability zone.
    pub entries: BTreeMap<InstanceName, EntryRecord>,
    /// Other availability zones, in this region and in others.
    pub zones: BTreeMap<ZoneName, ZoneView>,
}
