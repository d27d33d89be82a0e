//! Answers without a full result: refusals and failures, with whether an upstream ran the request.

use crate::clock::millis;
use hyper::StatusCode;
use serde::{Deserialize, Serialize};
use std::{fmt, time::Duration};

/// Whether an upstream ran a request that has no result.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// No byte was sent to any upstream, or each upstream reported that it refused the request.
    No,
    /// An upstream may have run the request.
    Unknown,
}

/// Stable reason code of an answer without a full result.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCode {
    /// The request could not be decoded, or lacks a required field.
    BadRequest,
    /// The body or the headers exceed their limit.
    TooLarge,
    /// The caller took too long to send its request.
    TooSlow,
    /// The caller has too many connections or streams.
    TooManyStreams,
    /// No workspace of that name is configured.
    UnknownWorkspace,
    /// The request carries no key of a workspace.
    UnknownKey,
    /// The workspace's team has no kind of that name.
    UnknownKind,
    /// No path of that name exists.
    NotFound,
    /// The offered load exceeds the capacity that meets the latency target.
    Overloaded,
    /// The workspace exceeded its share while requests of others wait.
    WorkspaceLimit,
    /// No upstream that may run the request is reachable.
    NoUpstream,
    /// The request's deadline passed before it was sent to an upstream.
    DeadlinePassed,
    /// The home region's ledger cannot be reached.
    HomeUnreachable,
    /// The request may not be answered in the region that received it.
    WrongRegion,
    /// The request was already forwarded once and may not be forwarded again.
    AlreadyForwarded,
    /// The request crashed upstreams and is quarantined.
    Quarantined,
    /// The instance is stopping.
    Draining,
    /// The idempotency key was used with another body.
    KeyReused,
    /// The request needs a session and an idempotency key.
    SessionRequired,
    /// The session has expired or belongs to an epoch whose state was lost.
    SessionExpired,
    /// The ledger holds the maximum number of unacknowledged replies.
    LedgerFull,
    /// Another attempt with the same key is in progress.
    InProgress,
    /// The request was dispatched and its outcome is unknown.
    OutcomeUnknown,
    /// The request was run, but its reply is not stored: it was acknowledged or too large.
    ReplyDropped,
    /// An upstream failed and no further attempt is allowed.
    UpstreamFailed,
    /// The instance has no settings yet.
    NotReady,
    /// It is not confirmed that the instance's document is the newest, which requests with keys need.
    DocumentUnconfirmed,
    /// It is not known which software version began the resumed stream.
    VersionUnknown,
    /// No upstream of the software version that began the resumed stream serves.
    VersionGone,
}

impl RefusalCode {
    /// Whether only one instance or zone is affected, so that another may still answer.
    pub fn is_local(self) -> bool {
        matches!(
            self,
            Self::NoUpstream
                | Self::Draining
                | Self::NotReady
                | Self::Overloaded
                | Self::DocumentUnconfirmed
        )
    }

    /// The HTTP status that carries this code.
    pub fn status(self) -> StatusCode {
        match self {
            Self::BadRequest | Self::SessionRequired => StatusCode::BAD_REQUEST,
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::TooSlow => StatusCode::REQUEST_TIMEOUT,
            Self::UnknownWorkspace | Self::UnknownKind | Self::NotFound => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::Overloaded | Self::WorkspaceLimit | Self::TooManyStreams => {
                StatusCode::TOO_MANY_REQUESTS
            }
            Self::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
            Self::WrongRegion | Self::AlreadyForwarded => StatusCode::MISDIRECTED_REQUEST,
            Self::Quarantined | Self::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
            Self::SessionExpired | Self::ReplyDropped => StatusCode::GONE,
            Self::InProgress => StatusCode::CONFLICT,
            Self::OutcomeUnknown | Self::UpstreamFailed => StatusCode::BAD_GATEWAY,
            Self::NoUpstream
            | Self::HomeUnreachable
            | Self::Draining
            | Self::LedgerFull
            | Self::NotReady
            | Self::DocumentUnconfirmed
            | Self::VersionUnknown
            | Self::VersionGone => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// An answer without a full result.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Refusal {
    /// Stable reason.
    pub code: RefusalCode,
    /// Whether an upstream ran the request.
    pub ran: Ran,
    /// Delay before the request may be retried, in milliseconds; absent if a retry cannot succeed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
    /// Human-readable explanation.
    pub message: String,
}

impl Refusal {
    /// A refusal of a request that no upstream ran.
    pub fn not_run(code: RefusalCode, message: impl Into<String>) -> Self {
        Self { code, ran: Ran::No, retry_after_ms: None, message: message.into() }
    }

    /// A failure after which an upstream may have run the request.
    pub fn unknown(code: RefusalCode, message: impl Into<String>) -> Self {
        Self { code, ran: Ran::Unknown, retry_after_ms: None, message: message.into() }
    }

    /// Sets the delay before the request may be retried.
    pub fn retry_after(mut self, delay: Duration) -> Self {
        self.retry_after_ms = Some(millis(delay));
        self
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:?} (ran: {:?}): {}", self.code, self.ran, self.message)
    }
}

impl std::error::Error for Refusal {}
