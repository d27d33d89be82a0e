//! A request to be forwarded unchanged, with the parts that the gateway interprets.

use crate::{
    gateway::{
        document::routes::{KeyDigest, RepeatRule, RouteRule, WorkspaceRule},
        knowledge::stream_origins::StreamOrigin,
    },
    name::{AttemptId, ModelName, PoolName, RegionName, SoftwareVersion},
    suspect::RequestFingerprint,
};
use bytes::Bytes;
use hyper::{HeaderMap, Method, Uri};
use smallvec::SmallVec;
use std::{sync::Arc, time::Duration};
use tokio::time::Instant;

/// A segment of a prompt, which other requests may share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Identifies the content.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u32,
}

/// Traits by which a request may be to blame for crashes of upstreams.
pub type RequestTraits = SmallVec<[RequestFingerprint; 4]>;

/// Parts of a prompt in order; the last part is used only by this request or its session.
pub type PromptParts = SmallVec<[PromptPart; 4]>;

/// Values read from the headers of a request.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallHead {
    /// Identifier of the caller's attempt.
    pub attempt: Option<AttemptId>,
    /// How long the caller will wait.
    pub remaining: Option<Duration>,
    /// Requested model.
    pub model: Option<ModelName>,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Maximum length of the answer in tokens.
    pub answer_tokens: u32,
    /// The caller's estimate of the answer's length in tokens.
    pub estimated_tokens: Option<u32>,
    /// Parts of the prompt.
    pub parts: PromptParts,
    /// Identifier of the last event that the caller received of an interrupted answer.
    pub resume_after: Option<Arc<str>>,
    /// Attempt that brought the first event of the answer that this request resumes.
    pub resumes: Option<AttemptId>,
}

/// Upper bound for token counts of a prompt, a part of it or an answer; several times what any
/// engine can hold.
const MAX_TOKENS: u32 = 1_000_000;

/// Maximum number of prompt parts; further ones are ignored.
const MAX_PARTS: usize = 64;

/// Maximum number of prompt parts in a log line.
const MAX_LOGGED_PARTS: usize = 8;

impl CallHead {
    /// Limits token counts and the number of parts to plausible values, so that sums of them cannot
    /// overflow.
    pub fn clamped(mut self) -> Self {
        self.prompt_tokens = self.prompt_tokens.min(MAX_TOKENS);
        self.answer_tokens = self.answer_tokens.min(MAX_TOKENS);
        self.estimated_tokens = self.estimated_tokens.map(|tokens| tokens.min(MAX_TOKENS));
        self.parts.truncate(MAX_PARTS);
        for part in &mut self.parts {
            part.tokens = part.tokens.min(MAX_TOKENS);
        }
        self
    }

    /// Expected length of the answer in tokens: the caller's estimate or else half the maximum.
    pub fn expected_tokens(&self) -> u32 {
        self.estimated_tokens.unwrap_or(self.answer_tokens / 2).min(self.answer_tokens.max(1))
    }

    /// Prompt parts that other requests may share: all but the last.
    pub fn shared_parts(&self) -> &[PromptPart] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Identifiers of the first shared parts for log lines: hexadecimal, separated by commas.
    pub fn describe_shared(&self) -> String {
        let parts = self.shared_parts().iter().take(MAX_LOGGED_PARTS);
        parts.map(|part| format!("{:x}", part.id)).collect::<Vec<_>>().join(",")
    }
}

/// A header of a request that could not be parsed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidHeader {
    /// Name of the header.
    pub header: &'static str,
    /// Description of the values that are allowed.
    pub allowed: &'static str,
}

/// Origin of the events that the caller has received. Only upstreams of the same origin may go on.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum RequiredOrigin {
    /// The caller has received no event, so that any upstream may answer.
    #[default]
    Any,
    /// Upstreams of this origin sent all of them.
    At(StreamOrigin),
    /// The caller has received events of unknown origin.
    Unknown,
}

impl RequiredOrigin {
    /// Pool for a request on `route`: the one that sent the events, if the route still has it, and one
    /// by weight for the hash `number` otherwise.
    pub fn choose_pool<'a>(&self, route: &'a RouteRule, number: u64) -> Option<&'a PoolName> {
        let began_at = match self {
            Self::At(origin) => {
                route.pools.iter().map(|share| &share.pool).find(|pool| **pool == origin.pool)
            }
            Self::Any | Self::Unknown => None,
        };
        began_at.or_else(|| route.choose_pool(number))
    }

    /// Software version that the next upstream must have; none if any version may answer.
    pub fn software(&self) -> Option<&SoftwareVersion> {
        match self {
            Self::At(origin) => Some(&origin.software),
            Self::Any | Self::Unknown => None,
        }
    }
}

/// The key of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallKey {
    /// Its digest.
    pub digest: KeyDigest,
    /// Number of the document by which a workspace holds the key.
    pub document: u64,
}

/// A complete request with its route, pool and deadline.
#[derive(Debug)]
pub struct RoutedCall {
    /// Method, unchanged.
    pub method: Method,
    /// Path and query, unchanged.
    pub target: Uri,
    /// Headers without the connection-specific ones.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Values read from the headers.
    pub head: CallHead,
    /// Identifier of the caller's attempt; generated if the caller sent none.
    pub attempt: AttemptId,
    /// Route.
    pub route: Arc<RouteRule>,
    /// Workspace whose key the request carried; none on routes that need no key.
    pub workspace: Option<Arc<WorkspaceRule>>,
    /// Key by which the workspace was found; none on routes that need no key.
    pub key: Option<CallKey>,
    /// Pool that serves the request.
    pub pool: PoolName,
    /// Origin of the stream that the request resumes.
    pub origin: RequiredOrigin,
    /// When this entry received the head.
    pub received_at: Instant,
    /// When the answer must be complete.
    pub deadline: Instant,
    /// Whether another entry forwarded the request; it must not be forwarded again.
    pub hopped: bool,
    /// Number of upstreams that may have run the request before this entry received it.
    pub earlier_attempts: u32,
}

impl RoutedCall {
    /// Retry rule of the route.
    pub fn repeat(&self) -> RepeatRule {
        self.route.repeat
    }

    /// Rank; 0 is served first. That of the workspace takes precedence over the route's.
    pub fn rank(&self) -> u8 {
        self.workspace.as_ref().and_then(|workspace| workspace.rank).unwrap_or(self.route.rank)
    }

    /// Whether the request may be served in `region`. Homes of the route and of the workspace both bind.
    pub fn allows_region(&self, region: &RegionName) -> bool {
        let homes = self.workspace.as_ref().map_or(&[][..], |workspace| &workspace.homes);
        self.route.allows_region(region) && (homes.is_empty() || homes.contains(region))
    }

    /// Regions that may store and serve the request; none if all may. No region may if the homes of the
    /// route and of the workspace have none in common.
    pub fn homes(&self) -> Option<SmallVec<[RegionName; 3]>> {
        let bound = self.workspace.as_ref().map_or(&[][..], |workspace| &workspace.homes);
        let homes = if self.route.homes.is_empty() { bound } else { &self.route.homes };
        let common = homes.iter().filter(|region| self.allows_region(region)).cloned();
        (!homes.is_empty()).then(|| common.collect())
    }

    /// Whether the caller resumes a stream of which it has received events.
    pub fn is_take_up(&self) -> bool {
        self.repeat() == RepeatRule::ResumableStream && self.head.resume_after.is_some()
    }

    /// Traits that other requests may share: the shared parts of the prompt for the model, whatever
    /// precedes them, and the whole content, which only copies of the request share.
    ///
    /// The pool is no part of them, as the document may move the route to another one.
    pub fn traits(&self) -> RequestTraits {
        let model = self.head.model.as_ref().map_or("", |model| model.as_str());
        let part = |part: &PromptPart| {
            let id = part.id.to_be_bytes();
            RequestFingerprint::compute_shared(&[b"part", model.as_bytes(), &id])
        };
        let mut traits: RequestTraits = self.head.shared_parts().iter().map(part).collect();
        let ids: Vec<u8> = self.head.parts.iter().flat_map(|part| part.id.to_be_bytes()).collect();
        let target = self.target.path_and_query().map_or("", |target| target.as_str());
        traits.push(RequestFingerprint::compute_shared(&[
            b"request",
            model.as_bytes(),
            self.method.as_str().as_bytes(),
            target.as_bytes(),
            &ids,
            &self.body,
        ]));
        traits
    }

    /// Time until the deadline.
    pub fn remaining(&self, now: Instant) -> Duration {
        self.deadline.saturating_duration_since(now)
    }
}
