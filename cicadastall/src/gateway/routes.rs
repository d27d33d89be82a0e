//! Routes: which pool answers a request, and under which limits.

use crate::name::{PoolName, RegionName};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::{collections::HashMap, sync::Arc, time::Duration};

/// What may be done with a request whose answer did not arrive whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RepeatRule {
    /// It may run more than once.
    Repeatable,
    /// It runs at most once for each attempt of the caller.
    Once,
    /// Its answer is a stream of events; it runs at most once.
    Stream,
    /// Its answer is a stream of numbered events, which another upstream may continue.
    ResumableStream,
}

impl RepeatRule {
    /// Whether an upstream may run the request although another may have run it.
    pub fn may_repeat(self) -> bool {
        matches!(self, Self::Repeatable | Self::ResumableStream)
    }

    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// Part of a route's requests that goes to one pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolShare {
    /// The pool.
    pub pool: PoolName,
    /// Its part, relative to the other weights of the route.
    pub weight: u32,
}

/// Requests of one host whose path begins with one prefix.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteRule {
    /// Name, for logs and metrics.
    pub name: Arc<str>,
    /// Host that callers name, without a port.
    pub host: Arc<str>,
    /// Start of the path; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// What may be repeated.
    pub repeat: RepeatRule,
    /// Longest time until the answer ends, in milliseconds.
    pub time_limit_ms: u64,
    /// Time within which the answer, or the first event of a stream, is on time, in milliseconds.
    pub target_ms: u64,
    /// Longest pause between two events of a stream that is on time, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub longest_pause_ms: Option<u64>,
    /// Rank; 0 goes first.
    pub rank: u8,
    /// Pools that answer.
    pub pools: SmallVec<[PoolShare; 2]>,
    /// Most upstreams that may run one request.
    pub attempts: u32,
    /// Whether requests that share the start of their prompt gain from the same upstream.
    #[serde(default)]
    pub affinity: bool,
    /// Regions that may answer and hold the request; any where empty.
    #[serde(default)]
    pub homes: SmallVec<[RegionName; 3]>,
}

impl RouteRule {
    /// Longest time until the answer ends.
    pub fn time_limit(&self) -> Duration {
        Duration::from_millis(self.time_limit_ms)
    }

    /// Time within which the answer is on time.
    pub fn target(&self) -> Duration {
        Duration::from_millis(self.target_ms)
    }

    /// Whether the request may be answered in `region`.
    pub fn allows_region(&self, region: &RegionName) -> bool {
        self.homes.is_empty() || self.homes.contains(region)
    }

    /// The pool for a request that drew `number`; equal numbers get equal pools.
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

/// How a pool's upstreams take work just after they have started.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct WarmupRule {
    /// Time for which an upstream is cold, in seconds.
    pub seconds: f64,
    /// Requests a second that a cold upstream tolerates.
    pub per_s: f64,
}

/// Sizes of a model engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineRule {
    /// Requests that run at the same time.
    pub slots: u32,
    /// Tokens that its memory holds.
    pub kv_tokens: u64,
    /// Tokens in one event of a stream.
    pub event_tokens: u32,
}

/// Upstreams that serve the same routes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolRule {
    /// Name.
    pub name: PoolName,
    /// Path at which an upstream tells its health.
    pub health_path: Arc<str>,
    /// Connections that an upstream accepts from all entries together.
    pub connections: u32,
    /// Pace of cold upstreams; none where they take work at once.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub warmup: Option<WarmupRule>,
    /// Sizes, where the upstreams are model engines.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub engine: Option<EngineRule>,
}

/// Limits on what callers send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CallerBounds {
    /// Most bytes of a request's headers.
    pub header_bytes: usize,
    /// Most bytes of a request's body.
    pub body_bytes: usize,
    /// Longest time to send the headers, in milliseconds.
    pub header_ms: u64,
    /// Longest time that a connection may rest between two requests, in milliseconds.
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

/// All routes and pools, under the operator's own number.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteDocument {
    /// Number that the operator gave; a higher one replaces a lower one.
    pub number: u64,
    /// Routes.
    pub routes: Vec<Arc<RouteRule>>,
    /// Pools.
    pub pools: Vec<Arc<PoolRule>>,
    /// Limits on what callers send.
    #[serde(default)]
    pub limits: CallerBounds,
}

/// A document in force, with its routes by host and prefix.
#[derive(Debug, Default)]
pub struct RouteTable {
    document: Arc<RouteDocument>,
    hosts: HashMap<Arc<str>, HashMap<Arc<str>, Arc<RouteRule>>>,
    pools: HashMap<PoolName, Arc<PoolRule>>,
    engine_pools: Vec<PoolName>,
}

impl RouteTable {
    /// Sorts the routes of `document`.
    pub fn new(document: Arc<RouteDocument>) -> Self {
        let mut hosts: HashMap<_, HashMap<_, _>> = HashMap::new();
        for route in &document.routes {
            let host: Arc<str> = route.host.to_ascii_lowercase().into();
            hosts.entry(host).or_default().insert(Arc::clone(&route.prefix), Arc::clone(route));
        }
        let pools = document.pools.iter().map(|pool| (pool.name.clone(), Arc::clone(pool)));
        let engine_pools = document.pools.iter().filter(|pool| pool.engine.is_some());
        let engine_pools = engine_pools.map(|pool| pool.name.clone()).collect();
        Self { hosts, pools: pools.collect(), engine_pools, document }
    }

    /// Pools whose upstreams are model engines.
    pub fn engine_pools(&self) -> &[PoolName] {
        &self.engine_pools
    }

    /// The document.
    pub fn document(&self) -> &Arc<RouteDocument> {
        &self.document
    }

    /// The route of `host`, which may carry a port, with the longest prefix that begins `path`.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<RouteRule>> {
        let host = strip_port(host).trim_end_matches('.').to_ascii_lowercase();
        let routes = self.hosts.get(host.as_str())?;
        let mut end = path.len();
        loop {
            end = path[..end].rfind('/')?;
            if let Some(route) = routes.get(&path[..=end]) {
                return Some(route);
            }
        }
    }

    /// The pool of that name.
    pub fn pool(&self, name: &PoolName) -> Option<&Arc<PoolRule>> {
        self.pools.get(name)
    }
}

fn strip_port(host: &str) -> &str {
    match host.rsplit_once(':') {
        Some((name, port)) if port.bytes().all(|byte| byte.is_ascii_digit()) => name,
        _ => host,
    }
}
