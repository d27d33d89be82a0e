//! Routes: which pool serves a request, and with which limits.

use crate::{
    gateway::document::key_index::KeyIndex,
    name::{PoolName, RegionName, WorkspaceName},
    wire::is_default,
};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::{collections::HashMap, sync::Arc, time::Duration};

/// Whether a request whose answer is incomplete may be sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RepeatRule {
    /// The request may run more than once.
    Repeatable,
    /// The request runs at most once for each attempt of the caller.
    Once,
    /// The answer is a stream of events, and the request runs at most once.
    Stream,
    /// The answer is a stream of numbered events, which another upstream may continue.
    ResumableStream,
}

impl RepeatRule {
    /// Whether an upstream may run the request after another one may have run it.
    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Repeatable | Self::ResumableStream)
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// Share of a route's requests for one pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolShare {
    /// The pool.
    pub pool: PoolName,
    /// Weight relative to the other pools of the route.
    pub weight: u32,
}

/// Rule for requests to one host whose path starts with a prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteRule {
    /// Name in logs and metrics.
    pub name: Arc<str>,
    /// Requested host, without a port.
    pub host: Arc<str>,
    /// Prefix of the path, which starts and ends with a slash.
    pub prefix: Arc<str>,
    /// Retry rule.
    pub repeat: RepeatRule,
    /// Maximum time until the answer is complete, in milliseconds.
    pub time_limit_ms: u64,
    /// Target latency of the answer, or of the first event of a stream, in milliseconds.
    pub target_ms: u64,
    /// Target for the longest pause between two events of a stream, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub longest_pause_ms: Option<u64>,
    /// Rank; 0 is served first.
    pub rank: u8,
    /// Pools that serve the route.
    pub pools: SmallVec<[PoolShare; 2]>,
    /// Maximum number of upstreams that may run one request.
    pub attempts: u32,
    /// Whether requests with a common prompt prefix benefit from the same upstream.
    #[serde(default)]
    pub affinity: bool,
    /// Regions that may store and serve the request; empty allows all.
    #[serde(default)]
    pub homes: SmallVec<[RegionName; 3]>,
    /// Whether requests need no key, in a document with workspaces.
    #[serde(default, skip_serializing_if = "is_default")]
    pub public: bool,
}

impl RouteRule {
    /// Maximum time until the answer is complete.
    pub fn time_limit(&self) -> Duration {
        Duration::from_millis(self.time_limit_ms)
    }

    /// Target latency of the answer, or of the first event of a stream.
    pub fn target(&self) -> Duration {
        Duration::from_millis(self.target_ms)
    }

    /// Whether the request may be served in `region`.
    pub fn allows_region(&self, region: &RegionName) -> bool {
        self.homes.is_empty() || self.homes.contains(region)
    }

    /// Chooses a pool by weight for the hash `number`; equal numbers give equal pools. None if the
    /// weights add up to 0.
    pub fn choose_pool(&self, number: u64) -> Option<&PoolName> {
        let total: u64 = self.pools.iter().map(|share| u64::from(share.weight)).sum();
        let mut rest = number.checked_rem(total)?;
        self.pools.iter().find_map(|share| {
            let weight = u64::from(share.weight);
            if rest < weight {
                return Some(&share.pool);
            }
            rest -= weight;
            None
        })
    }
}

/// Digest by which a key is found; keys themselves are kept nowhere else than in the operator's text.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct KeyDigest(pub [u8; 32]);

/// What a workspace's quota counts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum QuotaUnit {
    /// Requests.
    #[default]
    Requests,
    /// Prompt tokens and the maximum of answer tokens of a request.
    Tokens,
}

/// Limit of the requests of a workspace over the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct WorkspaceQuota {
    /// What is counted.
    pub unit: QuotaUnit,
    /// Units per second; above 0.
    pub per_s: f64,
    /// Units beyond the rate that may be used at once.
    pub burst: f64,
    /// Units of a request that states no token counts; without meaning if requests are counted.
    pub uncounted: u32,
}

/// A workspace: callers with common keys, rank, homes and quota.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceRule {
    /// Name, which upstreams are told.
    pub name: WorkspaceName,
    /// Digests of its keys.
    pub keys: SmallVec<[KeyDigest; 2]>,
    /// Rank of its requests; takes precedence over the rank of a route.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub rank: Option<u8>,
    /// Regions that may store and serve its requests; empty allows all. Those of a route bind as well.
    #[serde(default, skip_serializing_if = "SmallVec::is_empty")]
    pub homes: SmallVec<[RegionName; 3]>,
    /// Limit of its requests; none if they are not limited.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub quota: Option<WorkspaceQuota>,
}

/// Limits for upstreams that have just started.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct WarmupRule {
    /// Time for which an upstream counts as cold, in seconds.
    pub seconds: f64,
    /// Requests per second that a cold upstream can take.
    pub per_s: f64,
}

/// Capacity of a model engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineRule {
    /// Number of requests that run concurrently.
    pub slots: u32,
    /// Capacity of the KV cache in tokens.
    pub kv_tokens: u64,
    /// Number of tokens in one event of a stream.
    pub event_tokens: u32,
}

/// Rule for a pool: upstreams that serve the same routes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolRule {
    /// Name.
    pub name: PoolName,
    /// Path of an upstream's health check.
    pub health_path: Arc<str>,
    /// Number of connections that an upstream accepts from all entries together.
    pub connections: u32,
    /// Limits for cold upstreams; none if they can take full load at once.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub warmup: Option<WarmupRule>,
    /// Capacity of each upstream, if the upstreams are model engines.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub engine: Option<EngineRule>,
}

/// Limits for callers' requests and connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CallerBounds {
    /// Maximum size of a request's headers in bytes.
    pub header_bytes: usize,
    /// Maximum size of a request's body in bytes.
    pub body_bytes: usize,
    /// Maximum time to send the headers, in milliseconds.
    pub header_ms: u64,
    /// Maximum idle time of a connection between two requests, in milliseconds.
    pub idle_ms: u64,
}

impl Default for CallerBounds {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_ms: 3_000,
            idle_ms: 15_000,
        }
    }
}

/// The operator's document: all routes and pools, with a version number.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteDocument {
    /// Version number set by the operator; a higher one replaces a lower one.
    pub number: u64,
    /// Routes.
    pub routes: Vec<Arc<RouteRule>>,
    /// Pools.
    pub pools: Vec<Arc<PoolRule>>,
    /// Limits for callers' requests and connections.
    #[serde(default)]
    pub limits: CallerBounds,
    /// Workspaces. If there are any, each request needs a key of one of them, unless its route is public.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub workspaces: Vec<Arc<WorkspaceRule>>,
}

/// Regions to whose entries the callers of one host may be led.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HostHomes {
    /// Whether a route of the host has homes.
    pub bound: bool,
    /// Whether a route of the host has none.
    pub unbound: bool,
    /// Homes of all routes that have homes.
    pub common: SmallVec<[RegionName; 3]>,
}

impl RouteDocument {
    /// Homes of the routes of `host`, which may have a port.
    pub fn host_homes(&self, host: &str) -> HostHomes {
        let host = normalize_host(host);
        let mut homes = HostHomes::default();
        for route in self.routes.iter().filter(|route| route.host.eq_ignore_ascii_case(&host)) {
            if route.homes.is_empty() {
                homes.unbound = true;
            } else if !homes.bound {
                homes.bound = true;
                homes.common = route.homes.clone();
            } else {
                homes.common.retain(|region| route.homes.contains(region));
            }
        }
        homes
    }
}

/// Index of a document's routes by host and prefix, of its pools by name, and of its keys.
#[derive(Debug, Default)]
pub struct RouteTable {
    document: Arc<RouteDocument>,
    hosts: HashMap<Arc<str>, HashMap<Arc<str>, Arc<RouteRule>>>,
    pools: HashMap<PoolName, Arc<PoolRule>>,
    engine_pools: Vec<PoolName>,
    keys: KeyIndex,
}

impl RouteTable {
    /// Builds the index of `document`.
    pub fn new(document: Arc<RouteDocument>) -> Self {
        Self::default().replace(document)
    }

    /// Builds the index of `document`, which replaces the one of this index.
    pub fn replace(&self, document: Arc<RouteDocument>) -> Self {
        let mut hosts: HashMap<_, HashMap<_, _>> = HashMap::new();
        for route in &document.routes {
            let host: Arc<str> = route.host.to_ascii_lowercase().into();
            hosts.entry(host).or_default().insert(Arc::clone(&route.prefix), Arc::clone(route));
        }
        let pools = document.pools.iter().map(|pool| (pool.name.clone(), Arc::clone(pool)));
        let engine_pools = document.pools.iter().filter(|pool| pool.engine.is_some());
        let engine_pools = engine_pools.map(|pool| pool.name.clone()).collect();
        let keys = KeyIndex::new(&document.workspaces, &self.keys);
        Self { hosts, pools: pools.collect(), engine_pools, keys, document }
    }

    /// Whether the document has workspaces, so that requests need keys.
    pub fn has_workspaces(&self) -> bool {
        !self.document.workspaces.is_empty()
    }

    /// Index of the keys of the document's workspaces.
    pub fn keys(&self) -> &KeyIndex {
        &self.keys
    }

    /// Names of the pools whose upstreams are model engines.
    pub fn engine_pools(&self) -> &[PoolName] {
        &self.engine_pools
    }

    /// The indexed document.
    pub fn document(&self) -> &Arc<RouteDocument> {
        &self.document
    }

    /// Finds the route of `host` with the longest prefix of `path`. The host may have a port.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<RouteRule>> {
        let host = normalize_host(host);
        let routes = self.hosts.get(host.as_str())?;
        let mut end = path.len();
        loop {
            end = path[..end].rfind('/')?;
            if let Some(route) = routes.get(&path[..=end]) {
                return Some(route);
            }
        }
    }

    /// The pool with this name.
    pub fn pool(&self, name: &PoolName) -> Option<&Arc<PoolRule>> {
        self.pools.get(name)
    }
}

fn normalize_host(host: &str) -> String {
    strip_port(host).trim_end_matches('.').to_ascii_lowercase()
}

fn strip_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
