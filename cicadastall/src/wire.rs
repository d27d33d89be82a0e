//! Shapes and header names of the HTTP interfaces towards callers, upstreams and other entries.

use crate::{
    answer::Refusal,
    name::{AttemptId, InstanceName, ModelName, RequestId, ZoneName},
};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::{borrow::Cow, net::SocketAddr};

/// Header that names the workspace of a request.
pub const WORKSPACE_HEADER: &str = "x-cicadastall-workspace";
/// Header that names the kind of a request.
pub const KIND_HEADER: &str = "x-cicadastall-kind";
/// Header that names a request; chosen by the entry where the caller sends none.
pub const REQUEST_HEADER: &str = "x-cicadastall-request";
/// Header that names an attempt; upstreams echo it.
pub const ATTEMPT_HEADER: &str = "x-cicadastall-attempt";
/// Header with the session of a request that may not be repeated.
pub const SESSION_HEADER: &str = "x-cicadastall-session";
/// Header with the idempotency key of a request that may not be repeated.
pub const KEY_HEADER: &str = "idempotency-key";
/// Header with the keys of replies that the caller has received, separated by commas.
pub const ACKNOWLEDGED_HEADER: &str = "x-cicadastall-acknowledged";
/// Header that says that the caller sent the request before, perhaps through another entry.
pub const RESENT_HEADER: &str = "x-cicadastall-resent";
/// Header that names the region from which another entry forwarded the request.
pub const FORWARDED_HEADER: &str = "x-cicadastall-forwarded-from";
/// Header with the time that is left for a forwarded request, in milliseconds.
pub const REMAINING_HEADER: &str = "x-cicadastall-remaining-ms";
/// Header of an answer that names the region that gave it.
pub const REGION_HEADER: &str = "x-cicadastall-region";
/// Header of an answer that names the upstream that gave it.
pub const UPSTREAM_HEADER: &str = "x-cicadastall-upstream";
/// Header of a stopping entry's refusal that names another entry for callers.
pub const ENTRY_HEADER: &str = "x-cicadastall-entry";
/// Header by which an upstream says that it refused a call without running it.
pub const REFUSED_HEADER: &str = "x-cicadastall-refused";
/// Header of an answer by which an upstream says that it leaves.
pub const LEAVING_HEADER: &str = "x-cicadastall-leaving";
/// Data of the event that ends a complete stream.
pub const END_MARKER: &str = "[DONE]";

/// One message of a conversation.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChatMessage {
    /// Who wrote the message: `system`, `user` or `assistant`.
    pub role: String,
    /// Text of the message.
    pub content: String,
}

/// Body of a chat completion request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChatRequest {
    /// Model to use; the kind's model where absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<ModelName>,
    /// The conversation so far.
    pub messages: Vec<ChatMessage>,
    /// Most tokens to generate.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
    /// Whether the answer is streamed; always true towards upstreams.
    #[serde(default)]
    pub stream: bool,
    /// Lower numbers run first; set by the entry.
    #[serde(default)]
    pub priority: i32,
    /// Tokens that the caller has already; the answer starts after them. Set by the entry.
    #[serde(default)]
    pub resume_from: u32,
}

fn default_max_tokens() -> u32 {
    256
}

/// One event of a streamed chat completion.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChatChunk {
    /// Attempt that produced the chunk; the request where a caller receives it.
    pub id: String,
    /// Number of tokens before this chunk.
    pub offset: u32,
    /// One choice, with the text of this chunk.
    pub choices: Vec<ChatChoice>,
}

/// The part of a chunk that holds text.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChatChoice {
    /// Text added by this chunk; one token.
    pub delta: ChatDelta,
    /// Why generation ended, in the last chunk only.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub finish_reason: Option<String>,
}

/// Text added by one chunk.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChatDelta {
    /// The text.
    pub content: String,
}

/// A [`ChatChunk`] that borrows the text of the event it was read from.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChunkView<'a> {
    /// Attempt that produced the chunk; the request where a caller receives it.
    #[serde(borrow)]
    pub id: Cow<'a, str>,
    /// Number of tokens before this chunk.
    pub offset: u32,
    /// One choice, with the text of this chunk.
    #[serde(borrow)]
    pub choices: SmallVec<[ChoiceView<'a>; 1]>,
}

/// A [`ChatChoice`] that borrows its text.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChoiceView<'a> {
    /// Text added by the chunk.
    #[serde(borrow)]
    pub delta: DeltaView<'a>,
    /// Why generation ended, in the last chunk only.
    #[serde(borrow, default, skip_serializing_if = "Option::is_none")]
    pub finish_reason: Option<Cow<'a, str>>,
}

/// A [`ChatDelta`] that borrows its text.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DeltaView<'a> {
    /// The text.
    #[serde(borrow)]
    pub content: Cow<'a, str>,
}

/// Body of a call to a plain service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CallRequest {
    /// Arguments, passed on unchanged.
    pub arguments: serde_json::Value,
}

/// Body of a plain service's answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CallAnswer {
    /// Attempt that produced the answer.
    pub attempt: AttemptId,
    /// Result, passed on unchanged.
    pub result: serde_json::Value,
}

/// Answer to `POST /v1/sessions`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SessionReply {
    /// The session, to be sent with each request that may not be repeated.
    pub session: String,
    /// Time at which it expires, in milliseconds since 1970.
    pub expires_ms: u64,
}

/// Body of every answer that is not a full result, and data of the event that ends a broken stream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The request.
    pub request: RequestId,
    /// What happened.
    pub error: Refusal,
}

/// Answer to an upstream's announcement or renewal.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct AnnounceReply {
    /// Time within which to renew the announcement, in milliseconds.
    pub renew_within_ms: u64,
    /// Other entries of the zone that take announcements; left out of the answer to a renewal while
    /// they don't change.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub entries: Vec<SocketAddr>,
    /// Whether an operator wants the upstream to leave.
    #[serde(default, skip_serializing_if = "is_default")]
    pub drain: bool,
    /// Whether the entry needs the whole announcement, as it has none to renew.
    #[serde(default, skip_serializing_if = "is_default")]
    pub announce: bool,
}

/// Whether a field is left out of a message.
pub(crate) fn is_default<T: Default + PartialEq>(value: &T) -> bool {
    *value == T::default()
}

/// One row of `GET /v1/entries`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EntryListing {
    /// Name of the entry.
    pub instance: InstanceName,
    /// Availability zone of the entry.
    pub zone: ZoneName,
    /// Address for callers.
    pub address: SocketAddr,
    /// Share of new connections relative to the other rows.
    pub weight: f64,
}

/// Answer to `GET /v1/entries`.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EntriesReply {
    /// Entries, the preferred one first.
    pub entries: Vec<EntryListing>,
    /// Time for which the answer may be used, in milliseconds.
    pub lifetime_ms: u64,
}

/// Order to an upstream, sent by `POST /v1/orders`. Says the wanted state, not a step.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct UpstreamOrder {
    /// Fencing number of the holder that gives the order.
    pub fence: u64,
    /// Model to serve, or none to be parked.
    pub model: Option<ModelName>,
    /// Version of the model.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<String>,
    /// Adapters to have loaded.
    #[serde(default)]
    pub adapters: Vec<String>,
}
