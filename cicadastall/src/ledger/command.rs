//! Commands of the ledger and their replies.

use crate::{
    answer::{Ran, Refusal, RefusalCode},
    ledger::session::{LedgerEpoch, SessionId},
    name::{IdempotencyKey, WorkspaceName},
};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::{fmt, sync::Arc, time::Duration};

/// Time after which a caller may try again where the ledger is full.
const FULL_RETRY_AFTER: Duration = Duration::from_secs(5);

/// A change with the time at which its proposer made it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LedgerCommand {
    /// Time of the proposal, in milliseconds since 1970.
    pub at_ms: u64,
    /// Epoch of the group that the proposer leads.
    pub epoch: LedgerEpoch,
    /// The change.
    pub change: LedgerChange,
}

/// A change of the ledger.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LedgerChange {
    /// Takes over the epoch of the command, after which no key of an earlier one is run.
    Found,
    /// Issues a session.
    OpenSession {
        /// Workspace that may use it.
        workspace: WorkspaceName,
    },
    /// Claims a key and marks it as dispatched; must be committed before the first byte is sent.
    Claim(KeyClaim),
    /// Asks what a claim would be told of a known key; grants nothing.
    Look(KeyClaim),
    /// Gives a claim back; its holder knows that no upstream ran the request.
    Release {
        /// Key and claim.
        held: HeldKey,
    },
    /// Gives back what a holder may have been granted without learning of it.
    Withdraw {
        /// Session of the key.
        session: SessionId,
        /// The key.
        key: IdempotencyKey,
        /// Who claimed.
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

/// Request for the right to dispatch a key, once.
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
    /// Who claims; unique to one run of a request, so that a repeated claim is recognised.
    pub holder: Arc<str>,
    /// Time within which a result is expected, in milliseconds.
    pub run_ms: u64,
    /// Keys of the session whose replies the caller has received.
    #[serde(default)]
    pub acknowledged: SmallVec<[IdempotencyKey; 4]>,
}

/// Number of a claim; never used twice by one ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ClaimNumber(pub u64);

/// A key and the claim by which its holder names itself.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct HeldKey {
    /// Session of the key.
    pub session: SessionId,
    /// The key.
    pub key: IdempotencyKey,
    /// The claim.
    pub claim: ClaimNumber,
}

/// What a command gives back.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LedgerReply {
    /// The session that was issued.
    Session(SessionId),
    /// The claim is granted.
    Granted(ClaimNumber),
    /// The key was run; this is its stored reply.
    Stored(Arc<str>),
    /// The key is not known.
    Free,
    /// The change was made, now or by an earlier copy of the command.
    Accepted,
    /// The change was refused.
    Refused(LedgerRefusal),
}

/// Why the ledger refused a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LedgerRefusal {
    /// The ledger has not taken over the epoch of the command.
    NotFounded,
    /// The session belongs to another region or workspace.
    ForeignSession,
    /// The session has expired; its keys may have been run.
    SessionExpired,
    /// The session belongs to another epoch, and the key is not in what survived.
    EpochLost,
    /// The key was used with another body.
    KeyReused,
    /// Another attempt holds the key.
    InProgress {
        /// Time until its outcome is unknown, in milliseconds.
        retry_ms: u64,
    },
    /// The key was dispatched and its result did not arrive in time.
    OutcomeUnknown,
    /// The key was run, and its reply was acknowledged or was too large to keep.
    ReplyDropped,
    /// The ledger or the session holds as many keys or replies as it may.
    Full,
    /// The claim was closed; its holder must not dispatch.
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
