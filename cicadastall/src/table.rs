//! What one entry knows of upstreams, entries and other regions at one moment.

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
    /// Loads a model and takes no work yet.
    Loading,
    /// Takes new work.
    Serving,
    /// Finishes its work and takes no more.
    Leaving,
    /// Holds no model; may be ordered to load one.
    Parked,
}

/// Rates and sizes of a model engine, or of a plain service with one token per call.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UpstreamRates {
    /// Prompt tokens processed per second.
    pub prefill_tokens_per_s: f64,
    /// Tokens generated per second, all requests of a batch together.
    pub decode_tokens_per_s: f64,
    /// Requests that run at the same time.
    pub max_running: u32,
    /// Tokens that the KV cache holds.
    pub kv_tokens: u64,
}

/// Load that an upstream reported of itself.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Prompt tokens that wait for prefill.
    pub queued_prompt_tokens: u64,
    /// Tokens in the KV cache that running requests hold.
    pub kv_used_tokens: u64,
    /// Urgent requests that run.
    #[serde(default, skip_serializing_if = "is_default")]
    pub urgent_running: u32,
    /// Urgent requests that wait.
    #[serde(default, skip_serializing_if = "is_default")]
    pub urgent_queued: u32,
    /// Prompt tokens of urgent requests that wait for prefill.
    #[serde(default, skip_serializing_if = "is_default")]
    pub urgent_prompt_tokens: u64,
    /// The newest changes of the prefix cache; consecutive reports overlap.
    #[serde(default, skip_serializing_if = "CacheBatch::is_empty")]
    pub cache: CacheBatch,
}

/// Consecutive changes of one upstream's prefix cache.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct CacheBatch {
    /// Number of the first event; events are numbered without gaps within an incarnation.
    pub first: u64,
    /// Whether the events list the whole cache as it was before event `first`.
    pub full: bool,
    /// The changes, in order.
    pub events: Vec<CacheEvent>,
}

impl CacheBatch {
    /// Whether the batch says nothing.
    pub fn is_empty(&self) -> bool {
        !self.full && self.events.is_empty()
    }
}

/// One change of a prefix cache; blocks are named by their chained hash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CacheEvent {
    /// The block can be reused.
    Stored(u64),
    /// The block was evicted.
    Removed(u64),
}

/// What an upstream says of itself when it announces itself or renews.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UpstreamRecord {
    /// Name, unique in the fleet.
    pub name: UpstreamName,
    /// Restart counter of the upstream.
    pub incarnation: Incarnation,
    /// Grows with each announcement of one incarnation.
    pub sequence: u64,
    /// Region of the upstream.
    pub region: RegionName,
    /// Availability zone of the upstream.
    pub zone: ZoneName,
    /// Address of its HTTP interface.
    pub address: SocketAddr,
    /// Pool it serves.
    pub pool: PoolName,
    /// Models that it has loaded; empty for a plain service.
    #[serde(default)]
    pub models: SmallVec<[ModelName; 4]>,
    /// Readiness.
    pub state: UpstreamState,
    /// Rates and sizes.
    pub rates: UpstreamRates,
    /// Load at the time of the announcement.
    pub load: LoadReport,
    /// Whether it refuses orders with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
}

impl UpstreamRecord {
    /// What renews the announcement `announced`, where the receiver has its other fields.
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

/// Renewal of an announcement of which only the load has changed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UpstreamRenewal {
    /// Name of the upstream.
    pub name: UpstreamName,
    /// Restart counter of the upstream.
    pub incarnation: Incarnation,
    /// Number of the announcement that has the other fields.
    pub announced: u64,
    /// Grows with each announcement and renewal of one incarnation.
    pub sequence: u64,
    /// Load at the time of the renewal.
    pub load: LoadReport,
}

/// An upstream that announced itself to this instance.
#[derive(Debug, Clone)]
pub(crate) struct AnnouncedUpstream {
    /// The upstream, with the time of its newest announcement or renewal.
    pub(crate) view: UpstreamView,
    /// Number of the announcement whose fields it has.
    pub(crate) announced: u64,
}

/// An upstream in the table, with the time of its newest announcement.
#[derive(Debug, Clone)]
pub struct UpstreamView {
    /// The newest announcement.
    pub record: Arc<UpstreamRecord>,
    /// When the announcement was made, by this instance's clock.
    pub renewed_at: Instant,
}

/// Readiness of an entry for new connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EntryState {
    /// Has not yet learned the settings and its zone.
    Starting,
    /// Takes new connections.
    Serving,
    /// Finishes its requests and takes no new ones.
    Draining,
}

/// An instance of the system as others know it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EntryRecord {
    /// Name, unique in the fleet.
    pub instance: InstanceName,
    /// Restart and refutation counter.
    pub incarnation: Incarnation,
    /// Region of the instance.
    pub region: RegionName,
    /// Availability zone of the instance.
    pub zone: ZoneName,
    /// Address for callers; absent for a control instance.
    pub caller_address: Option<SocketAddr>,
    /// Address for other instances.
    pub peer_address: SocketAddr,
    /// Address at which the instance grants places in engines. Datagrams carry fields by their place, so
    /// that none is left out.
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
    /// Rank the prediction holds for.
    pub rank: Rank,
    /// Upstreams that take new work.
    pub upstreams: u32,
    /// Prompt tokens per second of all of them.
    pub prefill_tokens_per_s: f64,
    /// Predicted wait before prefill starts, in milliseconds.
    pub wait_ms: f64,
}

/// Summary of one availability zone as sent to other zones.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ZoneDigest {
    /// Region of the zone.
    pub region: RegionName,
    /// The zone.
    pub zone: ZoneName,
    /// Grows with each digest of the zone.
    pub sequence: u64,
    /// Caller addresses of some serving entries, to which requests may be forwarded.
    pub entries: SmallVec<[SocketAddr; 4]>,
    /// Capacity by pool, model and rank.
    pub rows: Vec<CapacityRow>,
}

/// A digest with the time of its arrival.
#[derive(Debug, Clone)]
pub struct ZoneView {
    /// The newest digest of the zone.
    pub digest: Arc<ZoneDigest>,
    /// When it arrived, by this instance's clock.
    pub received_at: Instant,
}

/// Everything the router may choose from, as of one moment.
#[derive(Debug, Clone, Default)]
pub struct RoutingTable {
    /// Upstreams of this availability zone.
    pub upstreams: BTreeMap<UpstreamName, UpstreamView>,
    /// Other instances of this availability zone.
    pub entries: BTreeMap<InstanceName, EntryRecord>,
    /// Other availability zones, of this region and of others.
    pub zones: BTreeMap<ZoneName, ZoneView>,
}
