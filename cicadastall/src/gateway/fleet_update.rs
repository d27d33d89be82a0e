//! What control instances tell each other and entries about the fleet.

use crate::{
    gateway::{
        document_state::EvacuatedZones, pool_partition::PromptDemand, routes::RouteDocument,
    },
    name::{PoolName, RegionName, UpstreamName, ZoneName},
    table::EntryRecord,
    wire::is_default,
};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::{net::SocketAddr, sync::Arc};

/// Readiness of a registered upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum UpstreamPhase {
    /// Takes new work.
    Serving,
    /// Finishes its work and takes no more.
    Leaving,
    /// Has deregistered, or another upstream has its address.
    Gone,
}

/// An upstream as its newest renewal describes it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegisteredUpstream {
    /// Name; another process may have had it before.
    #[serde(default = "unnamed")]
    pub name: UpstreamName,
    /// Start of the process, in milliseconds since the Unix epoch by its own clock.
    pub started_ms: u64,
    /// Grows with each renewal of one start.
    pub sequence: u64,
    /// Pool that it serves.
    pub pool: PoolName,
    /// Address of its HTTP interface.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ZoneName,
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Readiness.
    pub phase: UpstreamPhase,
    /// Time for which it stays cold after the renewal, in milliseconds.
    #[serde(default, skip_serializing_if = "is_default")]
    pub cold_ms: u32,
}

fn unnamed() -> UpstreamName {
    UpstreamName::from("")
}

impl RegisteredUpstream {
    /// Order of two renewals of one name: the higher is the newer.
    pub fn version(&self) -> (u64, u64) {
        (self.started_ms, self.sequence)
    }
}

/// A row of the registry on its way.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamUpdate {
    /// The upstream.
    pub upstream: Arc<RegisteredUpstream>,
    /// Time since its renewal arrived, in milliseconds.
    pub age_ms: u32,
    /// Whether no renewal came for so long that the upstream is taken to be lost.
    #[serde(default, skip_serializing_if = "is_default")]
    pub silent: bool,
    /// Version of the evacuated zones that was in force where the renewal arrived.
    #[serde(default, skip_serializing_if = "is_default")]
    pub evacuated: u64,
    /// Whether this start of it told an entry that it leaves, whatever its renewals say.
    #[serde(default, skip_serializing_if = "is_default")]
    pub departed: bool,
}

/// An entry on its way.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EntryUpdate {
    /// The entry.
    pub entry: EntryRecord,
    /// Whether it has not been heard of for so long that it is taken to be lost.
    #[serde(default, skip_serializing_if = "is_default")]
    pub silent: bool,
}

/// A control instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlRecord {
    /// Address for other instances.
    pub peer_address: SocketAddr,
    /// Address for upstreams and operators.
    pub registry_address: SocketAddr,
    /// Region.
    pub region: RegionName,
    /// Availability zone.
    pub zone: ZoneName,
}

/// Who asks for news.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FleetReader {
    /// An entry; it gets the upstreams of its region.
    Entry(EntryRecord),
    /// A control instance; it gets everything.
    Control(ControlRecord),
}

/// Place up to which a reader has the news of one control process.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FleetCursor {
    /// The process.
    pub process: u64,
    /// Its newest change that the reader has.
    pub change: u64,
}

/// Work that one entry has given to an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkRow(
    /// The upstream.
    pub UpstreamName,
    /// Requests that it has not answered whole.
    pub u32,
    /// Time until it will have read the prompts that it was sent, in milliseconds.
    pub u32,
);

/// An upstream that said in an answer that it leaves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DepartedUpstream(
    /// The upstream.
    pub UpstreamName,
    /// Start of the process that leaves, in milliseconds since the Unix epoch by its own clock.
    pub u64,
);

/// Question for news.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct FleetQuery {
    /// Who asks.
    pub reader: FleetReader,
    /// What it has.
    pub cursor: FleetCursor,
    /// Number of the document that it has, or knows of.
    pub document: u64,
    /// Whether a newer document is only to be named, not sent.
    #[serde(default, skip_serializing_if = "is_default")]
    pub number_only: bool,
    /// Version of the evacuated zones that it has.
    pub evacuated: u64,
    /// Longest time to wait for something new, in milliseconds.
    pub wait_ms: u32,
    /// Whether the answer must hold what a majority of control agrees on now.
    #[serde(default, skip_serializing_if = "is_default")]
    pub confirm: bool,
    /// Work that the reader has given to upstreams.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub work: Vec<WorkRow>,
    /// Work that the reader gets, by pool.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub demand: Vec<(PoolName, PromptDemand)>,
    /// Upstreams that told the reader that they leave, and that it was not told so of.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub departed: Vec<DepartedUpstream>,
}

/// Capacity of one pool in one region.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolSummary {
    /// The pool.
    pub pool: PoolName,
    /// Upstreams that take new work.
    pub serving: u32,
    /// Requests that they run at the same time.
    pub slots: u32,
    /// Requests that they were given and have not answered whole.
    pub requests: u32,
    /// Mean time until one of them will have read the prompts that it was sent, in milliseconds.
    pub backlog_ms: u32,
}

/// What a control instance knows of a region.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RegionSummary {
    /// The region.
    pub region: RegionName,
    /// Addresses of serving entries for other entries.
    pub entries: SmallVec<[SocketAddr; 8]>,
    /// Capacity by pool.
    pub pools: Vec<PoolSummary>,
}

/// Answer to [`FleetQuery`].
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct FleetUpdate {
    /// Place up to which the reader has the news afterwards.
    pub cursor: FleetCursor,
    /// Whether the answer holds what a majority of control agreed on during the call.
    #[serde(default, skip_serializing_if = "is_default")]
    pub confirmed: bool,
    /// Changed upstreams.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub upstreams: Vec<UpstreamUpdate>,
    /// Changed entries.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub entries: Vec<EntryUpdate>,
    /// Control instances, the answering one first; empty where they have not changed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub controls: Vec<ControlRecord>,
    /// Control instances that the answering one hears of, itself included.
    #[serde(default)]
    pub controls_heard: u32,
    /// Number of the newest document that the answering instance has.
    #[serde(default)]
    pub document_number: u64,
    /// A newer document.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub document: Option<Arc<RouteDocument>>,
    /// Newer evacuated zones.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub evacuated: Option<EvacuatedZones>,
    /// For an entry of the answering instance's region, all other regions; for others that region, and
    /// those without a control instance of their own.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub summaries: Vec<RegionSummary>,
    /// Work that all entries of the reader's region get, by pool.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub demand: Vec<(PoolName, PromptDemand)>,
    /// Work that the other entries of the reader's region have given to upstreams; absent where the
    /// answering instance is not told.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub work: Option<Vec<WorkRow>>,
}
