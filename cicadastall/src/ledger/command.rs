//! Commands of the ledger and their replies.

use crate::{
    answer::{Ran, Refusal, RefusalCode},
    ledger::session::{LedgerEpoch, SessionId},
    name::{IdempotencyKey, WorkspaceName},
};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::{fmt, sync::Arc, time::Duration};

/// Time after which a caller may retry when the ledger is full.
const FULL_RETRY_AFTER: Duration = Duration::from_secs(5);

/// A change with the time and the epoch of its proposal.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LedgerCommand {
    /// Time of the proposal, in milliseconds since 1970.
    pub at_ms: u64,
    /// Epoch of the group as the proposing leader read it.
    pub epoch: LedgerEpoch,
    /// The change.
    pub change: LedgerChange,
}

/// A change of the ledger.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LedgerChange {
    /// Starts the epoch of the command, after which no key of an earlier epoch is granted.
    Found,
    /// Issues a session.
    OpenSession {
        /// Workspace that may use the session.
        workspace: WorkspaceName,
    },
    /// Claims a key and marks it as dispatched; must be committed before the first byte is sent to
    /// an upstream.
    Claim(KeyClaim),
    /// Returns what a claim of the key would return if the key is known; grants nothing.
    Look(KeyClaim),
    /// Releases a claim whose holder knows that no upstream ran the request.
    Release {
        /// Key and claim.
        held: HeldKey,
    },
    /// Releases a claim that its holder may have been granted without receiving the reply.
    Withdraw {
        /// Session of the key.
        session: SessionId,
        /// The key.
        key: IdempotencyKey,
        /// Holder of the claim.
        holder: Arc<str>,
    },
    /// Records the result of a dispatched key.
    Complete {
        /// Key and claim.
        held: HeldKey,
        /// The result, as JSON text.
        reply: Arc<str>,
    },
}

/// Request for the right to dispatch the request of a key once.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KeyClaim {
    /// Session of the key.
    pub session: SessionId,
    /// Workspace of the caller.
    pub workspace: WorkspaceName,
    /// The key.
    pub key: IdempotencyKey,
    /// Digest of the request's kind and body.
    pub digest: u64,
    /// Identifier of the claiming holder, unique to one run of a request, so that a repeated claim
    /// is recognised.
    pub holder: Arc<str>,
    /// Time within which a result is expected, in milliseconds; the outcome is unknown after it.
    pub run_ms: u64,
    /// Keys of the session whose replies the caller has received.
    #[serde(default)]
    pub acknowledged: SmallVec<[IdempotencyKey; 4]>,
}

/// Number of a claim, unique within one ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ClaimNumber(pub u64);

/// A key with the claim that identifies its holder.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeldKey {
    /// Session of the key.
    pub session: SessionId,
    /// The key.
    pub key: IdempotencyKey,
    /// The claim.
    pub claim: ClaimNumber,
}

/// Reply to a command.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LedgerReply {
    /// The session that was issued.
    Session(SessionId),
    /// The claim is granted.
    Granted(ClaimNumber),
    /// The request of the key was run; contains its stored reply.
    Stored(Arc<str>),
    /// The key is not known.
    Free,
    /// The change was applied, now or by an earlier copy of the command.
    Accepted,
    /// The change was refused.
    Refused(LedgerRefusal),
}

/// Why the ledger refused a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LedgerRefusal {
    /// The epoch of the command is not the ledger's current epoch.
    NotFounded,
    /// The session belongs to another region or workspace.
    ForeignSession,
    /// The session has expired; requests of its keys may have been run.
    SessionExpired,
    /// The session belongs to an earlier epoch, and the surviving state does not have the key.
    EpochLost,
    /// The key was used with another request kind or body.
    KeyReused,
    /// Another attempt holds the key.
    InProgress {
        /// Time until the outcome of that attempt counts as unknown, in milliseconds.
        retry_ms: u64,
    },
    /// The request of the key was dispatched, and no result was recorded in time.
    OutcomeUnknown,
    /// The request of the key was run; its reply was acknowledged or too large to store.
    ReplyDropped,
    /// The ledger or the session has reached a size limit.
    Full,
    /// The claim was released or completed; its holder must not dispatch the request.
    ClaimClosed,
}

impl fmt::Display for LedgerRefusal {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::NotFounded => "the ledger is being founded",
            Self::ForeignSession => "the session belongs to another region or workspace",
            Self::SessionExpired => "the session has expired",
            Self::EpochLost => "the session belongs to an epoch that was lost in part",
            Self::KeyReused => "the key was used with another body",
            Self::InProgress { .. } => "another attempt holds the key",
            Self::OutcomeUnknown => "the key was dispatched and its outcome is not known",
            Self::ReplyDropped => "the key was run and its reply is no longer stored",
            Self::Full => "the ledger holds as many keys as it may",
            Self::ClaimClosed => "the claim was closed",
        })
    }
}

impl std::error::Error for LedgerRefusal {}

impl From<LedgerRefusal> for Refusal {
    fn from(refusal: LedgerRefusal) -> Self {
        let (code, ran, retry) = match refusal {
            LedgerRefusal::NotFounded => {
                (RefusalCode::HomeUnreachable, Ran::No, Some(Duration::from_secs(1)))
            }
            LedgerRefusal::ForeignSession => (RefusalCode::SessionRequired, Ran::Unknown, None),
            LedgerRefusal::SessionExpired => (RefusalCode::SessionExpired, Ran::Unknown, None),
            LedgerRefusal::EpochLost => (RefusalCode::OutcomeUnknown, Ran::Unknown, None),
            LedgerRefusal::KeyReused => (RefusalCode::KeyReused, Ran::Unknown, None),
            LedgerRefusal::InProgress { retry_ms } => {
                let retry = Duration::from_millis(retry_ms);
                (RefusalCode::InProgress, Ran::Unknown, Some(retry))
            }
            LedgerRefusal::OutcomeUnknown => (RefusalCode::OutcomeUnknown, Ran::Unknown, None),
            LedgerRefusal::ReplyDropped => (RefusalCode::ReplyDropped, Ran::Unknown, None),
            LedgerRefusal::Full => (RefusalCode::LedgerFull, Ran::No, Some(FULL_RETRY_AFTER)),
            LedgerRefusal::ClaimClosed => {
                (RefusalCode::InProgress, Ran::Unknown, Some(Duration::from_secs(1)))
            }
        };
        let answer = Self { code, ran, retry_after_ms: None, message: refusal.to_string() };
        match retry {
            Some(delay) => answer.retry_after(delay),
            None => answer,
        }
    }
}
