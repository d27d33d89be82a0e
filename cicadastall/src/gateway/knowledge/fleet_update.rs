//! Messages by which control instances send changes of the fleet to entries and to each other.

use crate::{
    gateway::{
        document::routes::RouteDocument,
        knowledge::{
            conditions::{ConditionRecord, UpstreamCondition},
            document_lease::ConfirmedRead,
            entry_capacity::EntryCapacity,
            pool_partition::PromptDemand,
            reach::UnreachedPools,
            software_history::HistoryReport,
            upstream_speed::SpeedRow,
        },
    },
    name::{PoolName, RegionName, SoftwareVersion, UpstreamName, ZoneName},
    suspect::SuspectRecord,
    table::EntryRecord,
    wire::is_default,
};
use serde::{Deserialize, Deserializer, Serialize, de::IgnoredAny};
use smallvec::SmallVec;
use std::{collections::BTreeSet, net::SocketAddr, sync::Arc};

/// Readiness of a registered upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum UpstreamPhase {
    /// Accepts new requests.
    Serving,
    /// Finishes open requests and accepts no new ones.
    Leaving,
    /// Deregistered, or its address is used by another upstream.
    Gone,
}

/// An upstream as described by its newest renewal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegisteredUpstream {
    /// Name; may be reused by another process after a restart.
    #[serde(default = "unnamed")]
    pub name: UpstreamName,
    /// Start time of the process, in milliseconds since the Unix epoch by its own clock.
    pub started_ms: u64,
    /// Sequence number of the renewal; increases for as long as the process runs.
    pub sequence: u64,
    /// Pool that the upstream serves.
    pub pool: PoolName,
    /// Address of its HTTP interface.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ZoneName,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Readiness.
    pub phase: UpstreamPhase,
    /// Remaining warm-up time at the renewal, in milliseconds; 0 if it is warm.
    #[serde(default, skip_serializing_if = "is_default")]
    pub cold_ms: u32,
    /// Version of its software. A stream is continued only at the version that began it.
    #[serde(default = "unversioned")]
    pub software: SoftwareVersion,
}

fn unversioned() -> SoftwareVersion {
    SoftwareVersion::from("")
}

fn unnamed() -> UpstreamName {
    UpstreamName::from("")
}

impl RegisteredUpstream {
    /// Sort key of renewals of one name: the newest has the highest.
    pub fn version(&self) -> (u64, u64) {
        (self.started_ms, self.sequence)
    }
}

/// Availability zones whose upstreams receive no requests.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuatedZones {
    /// Increases with each change, so that states can be ordered.
    pub version: u64,
    /// The zones.
    pub zones: BTreeSet<ZoneName>,
}

/// A changed upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamUpdate {
    /// The upstream.
    pub upstream: Arc<RegisteredUpstream>,
    /// Time since its renewal arrived, in milliseconds.
    pub age_ms: u32,
    /// Whether its renewals have timed out, so that it is considered lost.
    #[serde(default, skip_serializing_if = "is_default")]
    pub silent: bool,
    /// Version of the evacuated zones that was current at the receiver when the renewal arrived.
    #[serde(default, skip_serializing_if = "is_default")]
    pub evacuated: u64,
    /// Whether this process told an entry that it is leaving; takes precedence over its renewals.
    #[serde(default, skip_serializing_if = "is_default")]
    pub departed: bool,
    /// The newest condition of this process that entries observed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub condition: Option<UpstreamCondition>,
    /// Speed that the entries of its region measured relative to the rated one, in thousandths.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub speed: Option<u32>,
}

/// A changed entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EntryUpdate {
    /// The entry.
    pub entry: EntryRecord,
    /// Whether its polls have timed out, so that it is considered lost.
    #[serde(default, skip_serializing_if = "is_default")]
    pub silent: bool,
    /// Pools none of whose upstreams the entry reaches.
    #[serde(default, skip_serializing_if = "UnreachedPools::is_empty")]
    pub unreached: UnreachedPools,
    /// Capacity that the entry announces.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub capacity: Option<EntryCapacity>,
}

/// A control instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlRecord {
    /// Address for entries and other control instances.
    pub peer_address: SocketAddr,
    /// Address for upstreams and operators.
    pub registry_address: SocketAddr,
    /// Region.
    pub region: RegionName,
    /// Availability zone.
    pub zone: ZoneName,
}

/// Sender of a [`FleetQuery`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FleetReader {
    /// An entry, which receives the upstreams of its region.
    Entry(EntryRecord),
    /// A control instance, which receives the upstreams of all regions.
    Control(ControlRecord),
}

/// Position up to which a reader has received the changes of one control process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetCursor {
    /// Identifier of the process, chosen at random when it starts.
    pub process: u64,
    /// Number of the newest change that the reader has received.
    pub change: u64,
}

/// Work that an entry has sent to an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkRow(
    /// The upstream.
    pub UpstreamName,
    /// Requests whose answer is not complete.
    pub u32,
    /// Time until it has read the prompts sent to it, in milliseconds.
    pub u32,
);

/// An upstream that announced in an answer that it is leaving.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DepartedUpstream(
    /// The upstream.
    pub UpstreamName,
    /// Start time of the process that is leaving, in milliseconds since the Unix epoch by its own clock.
    pub u64,
);

/// Long poll for changes of the fleet.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FleetQuery {
    /// Sender of the query.
    pub reader: FleetReader,
    /// Position up to which the reader has received changes.
    pub cursor: FleetCursor,
    /// Number of the newest document that the reader has, or that it knows to exist.
    pub document: u64,
    /// Whether to send only the number of a newer document, without its content.
    #[serde(default, skip_serializing_if = "is_default")]
    pub number_only: bool,
    /// Version of the evacuated zones that the reader has.
    pub evacuated: u64,
    /// Maximum time to wait for changes, in milliseconds.
    pub wait_ms: u32,
    /// Whether to confirm the state by a majority of control instances and answer without waiting for
    /// changes.
    #[serde(default, skip_serializing_if = "is_default")]
    pub confirm: bool,
    /// Work that the reader has sent to upstreams.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub work: Vec<WorkRow>,
    /// Demand that the reader receives, by pool.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub demand: Vec<(PoolName, PromptDemand)>,
    /// Upstreams that told the reader that they are leaving, and that control still reports as serving.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub departed: Vec<DepartedUpstream>,
    /// Conditions of upstreams that are newer than those that control lists.
    #[serde(default, skip_serializing_if = "Vec::is_empty", deserialize_with = "read_rows")]
    pub conditions: Vec<ConditionRecord>,
    /// Pools none of whose upstreams the reader, an entry, reaches.
    #[serde(default, skip_serializing_if = "UnreachedPools::is_empty")]
    pub unreached: UnreachedPools,
    /// Capacity that the reader, an entry, announces.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub capacity: Option<EntryCapacity>,
    /// Suspects that the reader itself changed since it last reported them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub suspects: Vec<SuspectRecord>,
    /// The same for crashes before the end of an answer. Builds up to b2ae5eb ignore them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub suspects_until_whole: Vec<SuspectRecord>,
    /// Speeds of upstreams that the reader, an entry, measured.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub speeds: Vec<SpeedRow>,
    /// Whether the reader, a control instance, asks for the history of software versions.
    #[serde(default, skip_serializing_if = "is_default")]
    pub asks_history: bool,
}

/// Capacity of one pool in one region.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolSummary {
    /// The pool.
    pub pool: PoolName,
    /// Number of upstreams that accept new requests.
    pub serving: u32,
    /// Number of requests that they run concurrently.
    pub slots: u32,
    /// Requests sent to them whose answer is not complete.
    pub requests: u32,
    /// Mean time until one of them has read the prompts sent to it, in milliseconds.
    pub backlog_ms: u32,
    /// Versions of their software in ascending order; empty if the sender does not report them.
    #[serde(default, skip_serializing_if = "SmallVec::is_empty")]
    pub versions: SmallVec<[SoftwareVersion; 2]>,
    /// Number of slots of the rated speed that do as much work as `slots`; absent if no speed was measured.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rated_slots: Option<u32>,
}

impl PoolSummary {
    /// Mean speed of the slots, relative to the rated one.
    pub fn mean_speed(&self) -> f64 {
        let rated = self.rated_slots.filter(|rated| *rated > 0);
        rated.map_or(1.0, |rated| f64::from(rated) / f64::from(self.slots.max(1)))
    }
}

/// Entries and capacity of a region.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionSummary {
    /// The region.
    pub region: RegionName,
    /// Peer addresses of serving entries, for requests forwarded by other entries.
    pub entries: SmallVec<[SocketAddr; 8]>,
    /// Capacity by pool.
    pub pools: Vec<PoolSummary>,
}

/// A row of an update, or one that can't be read, as an instance with newer software may send it.
#[derive(Deserialize)]
#[serde(untagged)]
enum ReceivedRow<T> {
    Known(T),
    Unknown(IgnoredAny),
}

/// Reads the rows that can be read; another one must not hide them.
fn read_rows<'de, T, D>(deserializer: D) -> Result<Vec<T>, D::Error>
where
    T: Deserialize<'de>,
    D: Deserializer<'de>,
{
    let rows = Vec::<ReceivedRow<T>>::deserialize(deserializer)?;
    let count = rows.len();
    let known = rows.into_iter().filter_map(|row| match row {
        ReceivedRow::Known(row) => Some(row),
        ReceivedRow::Unknown(_) => None,
    });
    let known: Vec<_> = known.collect();
    if known.len() < count {
        log::warn!(rows = count, known = known.len(); "rows of an update not read");
    }
    Ok(known)
}

/// Reply to a [`FleetQuery`].
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetUpdate {
    /// Position up to which the reader has received changes after this update.
    pub cursor: FleetCursor,
    /// Whether a majority of control instances confirmed the state during the call.
    #[serde(default, skip_serializing_if = "is_default")]
    pub confirmed: bool,
    /// Changed upstreams.
    #[serde(default, skip_serializing_if = "Vec::is_empty", deserialize_with = "read_rows")]
    pub upstreams: Vec<UpstreamUpdate>,
    /// Changed entries.
    #[serde(default, skip_serializing_if = "Vec::is_empty", deserialize_with = "read_rows")]
    pub entries: Vec<EntryUpdate>,
    /// Control instances, the sender first; empty if they have not changed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub controls: Vec<ControlRecord>,
    /// Number of control instances that the sender does not consider lost, including itself.
    #[serde(default)]
    pub controls_heard: u32,
    /// Number of the newest document that the sender has.
    #[serde(default)]
    pub document_number: u64,
    /// Number of the newest document that any control instance in reach of the sender has, as it
    /// reported; 0 if none did.
    #[serde(default)]
    pub reported_number: u64,
    /// The document, if the reader is an entry that asked for it and has an older one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub document: Option<Arc<RouteDocument>>,
    /// The evacuated zones, if newer than those of the reader.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub evacuated: Option<EvacuatedZones>,
    /// Summaries of other regions: for an entry of the sender's region, of all others; for other readers,
    /// of the sender's region and of those without a control instance.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub summaries: Vec<RegionSummary>,
    /// Demand that all entries of the reader's region receive, by pool.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub demand: Vec<(PoolName, PromptDemand)>,
    /// Work that the other entries of the reader's region have sent to upstreams; `None` if they do not
    /// report it to the sender.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub work: Option<Vec<WorkRow>>,
    /// History of software versions, if the reader asked for it and it is complete.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub history: Option<HistoryReport>,
    /// Traits of requests that are suspected of crashing upstreams, as far as they changed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub suspects: Vec<SuspectRecord>,
    /// The same for crashes before the end of an answer. Builds up to b2ae5eb ignore them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub suspects_until_whole: Vec<SuspectRecord>,
    /// The newest read of the document that a majority confirmed, if the reader is an entry and the
    /// revocation of keys is bounded.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub confirmed_read: Option<ConfirmedRead>,
}
