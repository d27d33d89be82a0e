//! What one entry tells another when it passes a request on to the other's region.

use crate::{
    answer::Ran,
    gateway::{
        call::{CallHead, RoutedCall},
        routes::{PoolShare, RepeatRule, RouteRule},
    },
    name::{AttemptId, PoolName},
};
use hyper::{HeaderMap, header::HeaderValue};
use serde::{Deserialize, Serialize};
use smallvec::{SmallVec, smallvec};
use std::{sync::Arc, time::Duration};
use tokio::time::Instant;

/// Header that carries a [`HopMetadata`].
pub const HOP_HEADER: &str = "x-cicadastall-hop";

/// Header of an answer without a result: whether the request may have run.
pub const RAN_HEADER: &str = "x-cicadastall-ran";

/// Header of an answer to another entry: how many upstreams may have run the request in all.
pub const RAN_ON_HEADER: &str = "x-cicadastall-ran-on";

/// Header of an answer to another entry: whether the request has reached any upstream.
pub const ARRIVED_HEADER: &str = "x-cicadastall-arrived";

/// How a request is to be answered, as the entry that took it from its caller decided.
///
/// The receiver does not look for a route of its own: its document may be older.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HopMetadata {
    /// Caller's attempt.
    pub attempt: AttemptId,
    /// Name of the route.
    pub route: Arc<str>,
    /// Pool that answers.
    pub pool: PoolName,
    /// What may be repeated.
    pub repeat: RepeatRule,
    /// Time that is left, in milliseconds.
    pub remaining_ms: u64,
    /// Time within which the answer is on time, from its arrival at the receiver, in milliseconds.
    pub target_ms: u64,
    /// Rank; 0 goes first.
    pub rank: u8,
    /// Most upstreams that may run it.
    pub attempts: u32,
    /// Upstreams that may have run it already.
    pub earlier: u32,
    /// Whether requests that share the start of their prompt gain from the same upstream.
    pub affinity: bool,
    /// Number of the last event that the caller has.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub resume_after: Option<Arc<str>>,
}

impl HopMetadata {
    /// The order for a request of which `earlier` upstreams may have run.
    pub fn new(
        call: &RoutedCall,
        earlier: u32,
        resume_after: Option<&Arc<str>>,
        now: Instant,
    ) -> Self {
        let route = &call.route;
        let elapsed = (now - call.received_at).as_millis() as u64;
        Self {
            attempt: call.attempt.clone(),
            route: Arc::clone(&route.name),
            pool: call.pool.clone(),
            repeat: route.repeat,
            remaining_ms: call.remaining(now).as_millis() as u64,
            target_ms: route.target_ms.saturating_sub(elapsed).max(1),
            rank: route.rank,
            attempts: route.attempts,
            earlier,
            affinity: route.affinity,
            resume_after: resume_after.cloned(),
        }
    }

    /// The order as a header.
    pub fn encode(&self) -> Option<HeaderValue> {
        let text = serde_json::to_string(self).ok()?;
        HeaderValue::from_str(&text).ok()
    }

    /// Takes the order out of a request's headers.
    pub fn take(headers: &mut HeaderMap) -> Option<Self> {
        let value = headers.remove(HOP_HEADER)?;
        serde_json::from_slice(value.as_bytes()).ok()
    }

    /// The route that the order stands for.
    pub fn to_route(&self) -> RouteRule {
        let pools: SmallVec<[PoolShare; 2]> =
            smallvec![PoolShare { pool: self.pool.clone(), weight: 1 }];
        RouteRule {
            name: Arc::clone(&self.route),
            host: "".into(),
            prefix: "/".into(),
            repeat: self.repeat,
            time_limit_ms: self.remaining_ms,
            target_ms: self.target_ms,
            longest_pause_ms: None,
            rank: self.rank,
            pools,
            attempts: self.attempts,
            affinity: self.affinity,
            homes: SmallVec::new(),
        }
    }

    /// Time that is left.
    pub fn remaining(&self) -> Duration {
        Duration::from_millis(self.remaining_ms)
    }

    /// What the request's headers say, with the last event that the caller has by now.
    pub fn merge_head(&self, head: CallHead) -> CallHead {
        CallHead { resume_after: self.resume_after.clone().or(head.resume_after.clone()), ..head }
    }
}

/// How many upstreams may have run a request, as another entry says.
pub fn read_ran_on(headers: &HeaderMap) -> Option<u32> {
    headers.get(RAN_ON_HEADER)?.to_str().ok()?.parse().ok()
}

/// Whether a request has reached any upstream, as another entry says.
pub fn read_arrived(headers: &HeaderMap) -> Option<bool> {
    headers.get(ARRIVED_HEADER)?.to_str().ok()?.parse().ok()
}

/// What an answer of another entry says of the request's execution; none where it passes an
/// upstream's answer on.
pub fn read_ran(headers: &HeaderMap) -> Option<Ran> {
    match headers.get(RAN_HEADER)?.as_bytes() {
        b"no" => Some(Ran::No),
        _ => Some(Ran::Unknown),
    }
}
