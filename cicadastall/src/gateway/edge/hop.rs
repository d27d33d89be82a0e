//! Headers between two entries when a request is forwarded, to another region or within one.

use crate::{
    answer::Ran,
    gateway::{
        decision::call::{CallHead, CallKey, RequiredOrigin, RoutedCall},
        document::routes::{KeyDigest, PoolShare, RepeatRule, RouteRule, WorkspaceRule},
        knowledge::stream_origins::StreamOrigin,
    },
    name::{AttemptId, PoolName, RegionName, SoftwareVersion, WorkspaceName},
    wire::is_default,
};
use hyper::{HeaderMap, header::HeaderValue};
use serde::{Deserialize, Serialize};
use smallvec::{SmallVec, smallvec};
use std::{sync::Arc, time::Duration};
use tokio::time::Instant;

/// Header that carries a [`HopMetadata`].
pub const HOP_HEADER: &str = "x-cicadastall-hop";

/// Header of an answer without a result: whether the request may have run (`no` or `unknown`).
pub const RAN_HEADER: &str = "x-cicadastall-ran";

/// Header of an answer to another entry: number of upstreams that may have run the request in total.
pub const RAN_ON_HEADER: &str = "x-cicadastall-ran-on";

/// Header of an answer to another entry: whether the request may have reached any upstream.
pub const ARRIVED_HEADER: &str = "x-cicadastall-arrived";

/// Header of a refusal to another entry: the request is quarantined.
pub const QUARANTINED_HEADER: &str = "x-cicadastall-quarantined";

/// Header of an answer to another entry: software version of the upstream that answers.
pub const SOFTWARE_HEADER: &str = "x-cicadastall-software";

/// Workspace of a forwarded request, as found by the entry that its caller sent it to.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HopWorkspace {
    /// Name.
    pub name: WorkspaceName,
    /// Digest of the key that the request carried.
    pub key: KeyDigest,
    /// Number of the document by which the workspace holds the key.
    pub document: u64,
    /// Homes of the workspace.
    #[serde(default, skip_serializing_if = "SmallVec::is_empty")]
    pub homes: SmallVec<[RegionName; 3]>,
}

impl HopWorkspace {
    /// The workspace of `call`, and the key by which it was found.
    fn of(call: &RoutedCall) -> Option<Self> {
        let (workspace, key) = (call.workspace.as_ref()?, call.key?);
        let CallKey { digest, document } = key;
        let homes = workspace.homes.clone();
        Some(Self { name: workspace.name.clone(), key: digest, document, homes })
    }

    /// Rebuilds the workspace, whose rank and quota the sender has applied.
    pub fn to_rule(&self) -> WorkspaceRule {
        WorkspaceRule {
            name: self.name.clone(),
            keys: SmallVec::new(),
            rank: None,
            homes: self.homes.clone(),
            quota: None,
        }
    }
}

/// Route and limits of a forwarded request, as decided by the entry that its caller sent it to.
///
/// The receiving entry does not look up a route, as its document may be older.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HopMetadata {
    /// Identifier of the caller's attempt.
    pub attempt: AttemptId,
    /// Name of the route.
    pub route: Arc<str>,
    /// Pool that serves the request.
    pub pool: PoolName,
    /// Retry rule of the route.
    pub repeat: RepeatRule,
    /// Time until the deadline, in milliseconds.
    pub remaining_ms: u64,
    /// Target latency, counted from the request's arrival at the receiver, in milliseconds.
    pub target_ms: u64,
    /// Rank; 0 is served first.
    pub rank: u8,
    /// Maximum number of upstreams that may run the request.
    pub attempts: u32,
    /// Number of upstreams that may have run it already.
    pub earlier: u32,
    /// Whether requests with a common prompt prefix benefit from the same upstream.
    pub affinity: bool,
    /// Identifier of the last event that the caller received.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub resume_after: Option<Arc<str>>,
    /// Software version that sent the events that the caller has received; none if it received none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub software: Option<SoftwareVersion>,
    /// Workspace whose key the request carried, if the sender's document has workspaces.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub workspace: Option<HopWorkspace>,
    /// Whether the route needs no key, although the sender's document has workspaces.
    #[serde(default, skip_serializing_if = "is_default")]
    pub public: bool,
    /// Homes of the route, if the sender's document has workspaces.
    #[serde(default, skip_serializing_if = "SmallVec::is_empty")]
    pub homes: SmallVec<[RegionName; 3]>,
}

impl HopMetadata {
    /// Metadata for `call`, which `earlier` upstreams may have run already.
    pub fn new(
        call: &RoutedCall,
        earlier: u32,
        resume_after: Option<&Arc<str>>,
        software: Option<&SoftwareVersion>,
        now: Instant,
    ) -> Self {
        let route = &call.route;
        let keyed = call.key.is_some();
        let elapsed = (now - call.received_at).as_millis() as u64;
        Self {
            attempt: call.attempt.clone(),
            route: Arc::clone(&route.name),
            pool: call.pool.clone(),
            repeat: route.repeat,
            remaining_ms: call.remaining(now).as_millis() as u64,
            target_ms: route.target_ms.saturating_sub(elapsed).max(1),
            rank: call.rank(),
            attempts: route.attempts,
            earlier,
            affinity: route.affinity,
            resume_after: resume_after.cloned(),
            software: software.cloned(),
            homes: if keyed || route.public { route.homes.clone() } else { SmallVec::new() },
            workspace: HopWorkspace::of(call),
            public: route.public,
        }
    }

    /// The metadata as a header value; none if it holds characters that headers can't carry.
    pub fn encode(&self) -> Option<HeaderValue> {
        let text = serde_json::to_string(self).ok()?;
        HeaderValue::from_str(&text).ok()
    }

    /// Removes the metadata from a request's headers; none if it is missing or invalid.
    pub fn take(headers: &mut HeaderMap) -> Option<Self> {
        let value = headers.remove(HOP_HEADER)?;
        serde_json::from_slice(value.as_bytes()).ok()
    }

    /// Rebuilds a route, with the request's pool as the only one.
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
            homes: self.homes.clone(),
            public: self.public,
        }
    }

    /// The key that the request carried.
    pub fn key(&self) -> Option<CallKey> {
        let HopWorkspace { key: digest, document, .. } = *self.workspace.as_ref()?;
        Some(CallKey { digest, document })
    }

    /// Time until the deadline.
    pub fn remaining(&self) -> Duration {
        Duration::from_millis(self.remaining_ms)
    }

    /// Origin of the events that the caller has received, where another upstream may go on with the
    /// stream. The sender has found it; entries that do not send it may have joined versions.
    pub fn origin(&self, head: &CallHead) -> RequiredOrigin {
        if self.repeat != RepeatRule::ResumableStream {
            return RequiredOrigin::Any;
        }
        match &self.software {
            Some(software) => RequiredOrigin::At(StreamOrigin {
                pool: self.pool.clone(),
                software: software.clone(),
            }),
            None if head.resume_after.is_some() => RequiredOrigin::Unknown,
            None => RequiredOrigin::Any,
        }
    }

    /// Replaces the last event of `head`, since the caller may have received more events since. A caller
    /// that had received none itself resumes no attempt.
    pub fn merge_head(&self, head: CallHead) -> CallHead {
        let resumes = head.resumes.filter(|_| head.resume_after.is_some());
        let resume_after = self.resume_after.clone().or(head.resume_after);
        CallHead { resume_after, resumes, ..head }
    }
}

/// Number of upstreams that may have run a request, as reported by another entry.
pub fn read_ran_on(headers: &HeaderMap) -> Option<u32> {
    headers.get(RAN_ON_HEADER)?.to_str().ok()?.parse().ok()
}

/// Whether a request may have reached any upstream, as reported by another entry.
pub fn read_arrived(headers: &HeaderMap) -> Option<bool> {
    headers.get(ARRIVED_HEADER)?.to_str().ok()?.parse().ok()
}

/// Software version of the upstream that answers, as reported by another entry.
pub fn read_software(headers: &HeaderMap) -> Option<SoftwareVersion> {
    headers.get(SOFTWARE_HEADER)?.to_str().ok().map(SoftwareVersion::from)
}

/// Whether a request may have run, as reported by another entry; none if that entry forwarded an
/// upstream's answer.
pub fn read_ran(headers: &HeaderMap) -> Option<Ran> {
    match headers.get(RAN_HEADER)?.as_bytes() {
        b"no" => Some(Ran::No),
        _ => Some(Ran::Unknown),
    }
}
