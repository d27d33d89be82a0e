//! Finds out whether an entry has lost its path to the upstreams of a pool.
//!
//! An upstream that has ended fails alone, and the others of its pool still answer. If all of them fail
//! while their renewals still arrive at control, the entry has lost its path. They then get no requests
//! until a probe reaches them, and requests for the pool go through another entry.

use crate::{
    gateway::knowledge::{
        fleet_update::RegisteredUpstream,
        view::{FleetView, KnownUpstream},
    },
    name::{PoolName, UpstreamName},
    sockets::open_stream,
};
use smallvec::SmallVec;
use std::{
    collections::{HashMap, HashSet},
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};
use tokio::{
    io::AsyncReadExt,
    time::{Instant, timeout},
};

/// Time between two probes of one upstream.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// Longest time to establish the connection of a probe.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for which the connection of a probe must stay open.
const OPEN_TIME: Duration = Duration::from_millis(50);

/// Maximum number of upstreams whose probes begin at the same moment.
const MAX_PROBES: usize = 16;

/// Pools none of whose upstreams an entry reaches.
pub type UnreachedPools = SmallVec<[PoolName; 2]>;

#[derive(Debug, Clone, Copy)]
struct FailedUpstream {
    /// Start time of its process, in milliseconds since the Unix epoch by its own clock.
    started_ms: u64,
    since: Instant,
    /// Whether it gets no requests until a probe reaches it.
    blocked: bool,
}

/// Upstreams of the region whose last exchange failed without an answer.
#[derive(Debug, Default)]
pub struct ReachWatch {
    failed: HashMap<UpstreamName, FailedUpstream>,
    answered_at: HashMap<PoolName, Instant>,
    probed_at: HashMap<UpstreamName, Instant>,
}

impl ReachWatch {
    /// Records that an exchange with the upstream ended without an answer.
    pub fn note_failed(&mut self, upstream: &RegisteredUpstream, now: Instant) {
        let started_ms = upstream.started_ms;
        let fresh = FailedUpstream { started_ms, since: now, blocked: false };
        let failed = self.failed.entry(upstream.name.clone()).or_insert(fresh);
        if failed.started_ms < started_ms {
            *failed = fresh;
        }
    }

    /// Records that the upstream answered or accepted a connection. Returns whether it was blocked.
    pub fn note_reached(&mut self, upstream: &RegisteredUpstream, now: Instant) -> bool {
        match self.answered_at.get_mut(&upstream.pool) {
            Some(at) => *at = now,
            None => drop(self.answered_at.insert(upstream.pool.clone(), now)),
        }
        if self.failed.is_empty() {
            return false;
        }
        self.failed.remove(&upstream.name).is_some_and(|failed| failed.blocked)
    }

    /// Blocks the upstreams of pools of which none is reached any more, and forgets those that are not
    /// listed. Returns the upstreams that were blocked.
    pub fn update(&mut self, view: &FleetView) -> Vec<Arc<RegisteredUpstream>> {
        self.answered_at.retain(|pool, _| view.pools.contains_key(pool));
        if self.failed.is_empty() {
            return Vec::new();
        }
        let listed: HashMap<_, _> =
            view.upstreams().map(|upstream| (upstream.name.clone(), upstream.started_ms)).collect();
        self.failed.retain(|name, failed| listed.get(name) == Some(&failed.started_ms));
        self.probed_at.retain(|name, _| listed.contains_key(name));
        let mut blocked = Vec::new();
        for (pool, upstreams) in &view.pools {
            let live = upstreams.iter().filter(|known| !known.silent);
            let all_fail = live.clone().all(|known| self.failed.contains_key(&known.upstream.name));
            if !all_fail || live.clone().next().is_none() {
                continue;
            }
            let before = blocked.len();
            for known in live {
                if let Some(failed) = self.failed.get_mut(&known.upstream.name)
                    && !failed.blocked
                {
                    failed.blocked = true;
                    blocked.push(Arc::clone(&known.upstream));
                }
            }
            if blocked.len() > before {
                log::warn!(pool = pool.as_str(), upstreams = upstreams.len(); "no upstream is reached");
            }
        }
        blocked
    }

    /// Names of the upstreams that get no requests until a probe reaches them.
    pub fn blocked(&self) -> HashSet<UpstreamName> {
        let blocked = self.failed.iter().filter(|(_, failed)| failed.blocked);
        blocked.map(|(name, _)| name.clone()).collect()
    }

    /// Whether all upstreams of `pool` that control does not consider lost are blocked.
    pub fn is_unreached(&self, pool: &PoolName, view: &FleetView) -> bool {
        !self.failed.is_empty()
            && view.pools.get(pool).is_some_and(|upstreams| self.are_blocked(upstreams))
    }

    fn are_blocked(&self, upstreams: &[Arc<KnownUpstream>]) -> bool {
        let mut live = upstreams.iter().filter(|known| !known.silent).peekable();
        let blocked = |known: &Arc<KnownUpstream>| {
            self.failed.get(&known.upstream.name).is_some_and(|failed| failed.blocked)
        };
        live.peek().is_some() && live.all(blocked)
    }

    /// Pools of which all upstreams are blocked, in ascending order.
    pub fn unreached(&self, view: &FleetView) -> UnreachedPools {
        if self.failed.is_empty() {
            return UnreachedPools::new();
        }
        let pools = view.pools.iter().filter(|(_, upstreams)| self.are_blocked(upstreams));
        let mut pools: UnreachedPools = pools.map(|(pool, _)| pool.clone()).collect();
        pools.sort_unstable();
        pools
    }

    /// Upstreams to probe now: blocked ones, and those of a pool in which others failed and none has
    /// answered since.
    pub fn begin_probes(&mut self, view: &FleetView, now: Instant) -> Vec<Arc<RegisteredUpstream>> {
        if self.failed.is_empty() {
            return Vec::new();
        }
        let mut due = Vec::new();
        for (pool, upstreams) in &view.pools {
            let failures = upstreams.iter().filter_map(|known| {
                self.failed.get(&known.upstream.name).map(|failed| failed.since)
            });
            let Some(first) = failures.min() else { continue };
            let suspect = self.answered_at.get(pool).is_none_or(|at| *at < first);
            for known in upstreams.iter().filter(|known| !known.silent) {
                if due.len() >= MAX_PROBES {
                    return due;
                }
                let name = &known.upstream.name;
                let blocked = self.failed.get(name).is_some_and(|failed| failed.blocked);
                let paused = self.probed_at.get(name).is_some_and(|at| now < *at + PROBE_INTERVAL);
                if (blocked || suspect) && !paused {
                    self.probed_at.insert(name.clone(), now);
                    due.push(Arc::clone(&known.upstream));
                }
            }
        }
        due
    }
}

/// Whether the upstream at `address` accepts a connection from `source` and keeps it open.
pub(crate) async fn probe_path(source: Option<IpAddr>, address: SocketAddr) -> bool {
    let Ok(Ok(mut stream)) = timeout(CONNECT_TIMEOUT, open_stream(source, address)).await else {
        return false;
    };
    let mut byte = [0];
    timeout(OPEN_TIME, stream.read(&mut byte)).await.is_err()
}
