//! Client of the ledger at an entry: claims a key before dispatch and records the result.

use crate::{
    answer::{Ran, Refusal, RefusalCode},
    decode::RequestPlan,
    ledger::{
        command::{HeldKey, KeyClaim, LedgerChange, LedgerRefusal, LedgerReply},
        session::SessionId,
    },
    name::{IdempotencyKey, WorkspaceName},
    peer::{PeerClients, PeerError},
    replicated::GroupError,
    wire::CallRequest,
};
use std::{
    fmt,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::time::{Instant, sleep};

/// Timeout of a call to one host of the ledger.
const LEDGER_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum time to search for a leader while hosts answer that they do not lead; enough for a
/// planned leadership transfer, which takes one vote, but not for an election after a failure.
const LEADER_SEARCH_TIMEOUT: Duration = Duration::from_millis(500);

/// Delay between two attempts to find a leader.
const LEADER_SEARCH_INTERVAL: Duration = Duration::from_millis(20);

/// Time after the request's deadline within which a result may still be recorded before the outcome
/// counts as unknown.
const RESULT_MARGIN: Duration = Duration::from_secs(2);

/// Time after which a caller may retry when the ledger is unreachable.
const UNREACHABLE_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Maximum number of attempts to record a result.
const MAX_RECORD_ATTEMPTS: u32 = 3;

/// Maximum number of attempts to withdraw an unconfirmed claim; together they outlast an election.
const MAX_WITHDRAW_ATTEMPTS: u32 = 12;

/// Delay between attempts at a change that is retried.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// Why a change of the ledger failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimError {
    /// No host of the ledger received the change.
    Unreachable(String),
    /// No host of the ledger confirmed the change; it may still be applied.
    Unconfirmed(String),
    /// The ledger refused.
    Refused(LedgerRefusal),
    /// The reply does not match the change.
    Unexpected,
}

impl fmt::Display for ClaimError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(cause) => write!(formatter, "ledger not reached: {cause}"),
            Self::Unconfirmed(cause) => write!(formatter, "no word from the ledger: {cause}"),
            Self::Refused(refusal) => refusal.fmt(formatter),
            Self::Unexpected => formatter.write_str("the ledger's reply does not fit the change"),
        }
    }
}

impl std::error::Error for ClaimError {}

impl ClaimError {
    /// Whether another attempt at the change would have the same result.
    fn is_final(&self) -> bool {
        matches!(self, Self::Refused(_) | Self::Unexpected)
    }

    /// Combines this error with the error `next` of another host; a change that may have been
    /// received by one host stays unconfirmed.
    fn combine(self, next: Self) -> Self {
        match (self, next) {
            (Self::Unconfirmed(_), Self::Unreachable(cause)) => Self::Unconfirmed(cause),
            (_, next) => next,
        }
    }
}

impl From<GroupError> for ClaimError {
    fn from(error: GroupError) -> Self {
        match error {
            GroupError::OutcomeUnknown => Self::Unconfirmed(error.to_string()),
            error => Self::Unreachable(error.to_string()),
        }
    }
}

impl From<PeerError> for ClaimError {
    fn from(error: PeerError) -> Self {
        match error {
            PeerError::Unreachable(_) => Self::Unreachable(error.to_string()),
            PeerError::NoReply(_) => Self::Unconfirmed(error.to_string()),
        }
    }
}

impl From<ClaimError> for Refusal {
    /// No byte is sent to an upstream without a confirmed claim, so the request was not run if the
    /// change was not confirmed.
    fn from(error: ClaimError) -> Self {
        match error {
            ClaimError::Refused(refusal) => refusal.into(),
            error => Self::not_run(RefusalCode::HomeUnreachable, error.to_string())
                .retry_after(UNREACHABLE_RETRY_AFTER),
        }
    }
}

/// Client of the hosts of the region's ledger.
#[derive(Debug)]
pub struct LedgerClient {
    hosts: Vec<SocketAddr>,
    preferred: AtomicUsize,
    clients: Arc<PeerClients>,
}

impl LedgerClient {
    /// Creates a client that calls `hosts` through `clients`.
    pub fn new(hosts: Vec<SocketAddr>, clients: Arc<PeerClients>) -> Self {
        Self { hosts, preferred: AtomicUsize::new(0), clients }
    }

    /// Opens a session for `workspace`.
    pub async fn open_session(&self, workspace: &WorkspaceName) -> Result<SessionId, ClaimError> {
        let change = LedgerChange::OpenSession { workspace: workspace.clone() };
        match self.change(change).await? {
            LedgerReply::Session(session) => Ok(session),
            _ => Err(ClaimError::Unexpected),
        }
    }

    /// Applies a change, and retries for up to [`LEADER_SEARCH_TIMEOUT`] while hosts answer that
    /// they do not lead, so that no request fails because of a planned leadership transfer.
    ///
    /// Every change except opening a session is idempotent, so it may reach several hosts and may
    /// be sent again.
    async fn change(&self, change: LedgerChange) -> Result<LedgerReply, ClaimError> {
        let deadline = Instant::now() + LEADER_SEARCH_TIMEOUT;
        let mut error = ClaimError::Unreachable("no host is known".to_owned());
        loop {
            let failure = match self.try_hosts(&change).await {
                Ok(LedgerReply::Refused(refusal)) => return Err(ClaimError::Refused(refusal)),
                Ok(reply) => return Ok(reply),
                Err(failure) => failure,
            };
            error = error.combine(failure.error);
            if !failure.found_non_leader || Instant::now() >= deadline {
                return Err(error);
            }
            sleep(LEADER_SEARCH_INTERVAL).await;
        }
    }

    /// Sends a change to the hosts in turn until one confirms it, starting with the host that
    /// confirmed the previous change.
    async fn try_hosts(&self, change: &LedgerChange) -> Result<LedgerReply, HostsFailure> {
        let preferred = self.preferred.load(Ordering::Relaxed);
        let mut failure = HostsFailure {
            error: ClaimError::Unreachable("no host is known".to_owned()),
            found_non_leader: false,
        };
        for offset in 0..self.hosts.len() {
            let index = (preferred + offset) % self.hosts.len();
            let change = change.clone();
            let call =
                self.clients.call(self.hosts[index], LEDGER_TIMEOUT, async |client, context| {
                    client.change_ledger(context, change).await
                });
            match call.await {
                Ok(Ok(reply)) => {
                    self.preferred.store(index, Ordering::Relaxed);
                    return Ok(reply);
                }
                Ok(Err(error)) => failure = failure.combine_reply(error),
                Err(error) => failure.error = failure.error.combine(error.into()),
            }
        }
        Err(failure)
    }

    /// Applies a change in up to `attempts` attempts, until a host confirms it or the error is
    /// final.
    async fn change_with_retries(
        &self,
        change: LedgerChange,
        attempts: u32,
    ) -> Result<LedgerReply, ClaimError> {
        for _ in 1..attempts {
            match self.change(change.clone()).await {
                Err(error) if !error.is_final() => log::info!("{error}"),
                confirmed => return confirmed,
            }
            sleep(RETRY_DELAY).await;
        }
        self.change(change).await
    }
}

/// Why no host of the ledger confirmed a change.
#[derive(Debug)]
struct HostsFailure {
    error: ClaimError,
    /// Whether at least one host answered that it does not lead.
    found_non_leader: bool,
}

impl HostsFailure {
    /// Combines this failure with the error reply of another host.
    fn combine_reply(self, error: GroupError) -> Self {
        let found_non_leader =
            self.found_non_leader || matches!(error, GroupError::NotLeader { .. });
        Self { error: self.error.combine(error.into()), found_non_leader }
    }
}

/// A claimed key, whose request this entry may send to one upstream.
#[derive(Debug)]
pub struct HeldClaim {
    held: HeldKey,
}

/// Outcome of a claim.
#[derive(Debug)]
pub enum ClaimOutcome {
    /// The claim was granted to this entry.
    Held(HeldClaim),
    /// The request of the key was run; contains its result.
    Stored(serde_json::Value),
}

/// Session, key and content digest of a planned request.
#[derive(Debug, Clone)]
pub struct PlannedKey {
    session: SessionId,
    key: IdempotencyKey,
    digest: u64,
}

impl PlannedKey {
    /// Reads the session and the key of a non-repeatable request; refuses it if one is missing or
    /// invalid.
    pub fn read(plan: &RequestPlan, call: &CallRequest) -> Result<Self, Refusal> {
        let required = || {
            let message = format!("kind {} needs a session and an idempotency key", plan.kind);
            Refusal::not_run(RefusalCode::SessionRequired, message)
        };
        let session = plan.session.as_deref().and_then(|text| text.parse().ok());
        let session: SessionId = session.ok_or_else(required)?;
        let key = plan.key.clone().ok_or_else(required)?;
        Ok(Self { session, key, digest: digest_call(plan, call) })
    }

    /// Builds the claim of this key for `holder`, with a result expected within `run`.
    fn claim_for(&self, plan: &RequestPlan, holder: Arc<str>, run: Duration) -> KeyClaim {
        KeyClaim {
            session: self.session.clone(),
            workspace: plan.workspace.clone(),
            key: self.key.clone(),
            digest: self.digest,
            holder,
            run_ms: run.as_millis() as u64,
            acknowledged: plan.acknowledged.clone(),
        }
    }

    /// Returns the stored result of the key, or `None` if the ledger does not know the key.
    ///
    /// Fails with [`ClaimError::Refused`] if the key is known and has no stored result.
    pub async fn find_stored(
        &self,
        client: &LedgerClient,
        plan: &RequestPlan,
    ) -> Result<Option<serde_json::Value>, ClaimError> {
        let claim = self.claim_for(plan, "".into(), Duration::ZERO);
        match client.change(LedgerChange::Look(claim)).await? {
            LedgerReply::Free => Ok(None),
            LedgerReply::Stored(reply) => decode_result(&reply).map(Some),
            _ => Err(ClaimError::Unexpected),
        }
    }

    /// Releases the claim that `holder` may have been granted without a confirmation.
    pub async fn withdraw(self, client: &LedgerClient, holder: Arc<str>) {
        let change = LedgerChange::Withdraw { session: self.session, key: self.key, holder };
        match client.change_with_retries(change, MAX_WITHDRAW_ATTEMPTS).await {
            Ok(_) | Err(ClaimError::Refused(LedgerRefusal::ClaimClosed)) => {}
            Err(error) => log::info!("claim not withdrawn: {error}"),
        }
    }
}

fn decode_result(reply: &str) -> Result<serde_json::Value, ClaimError> {
    serde_json::from_str(reply).map_err(|_| ClaimError::Unexpected)
}

/// Digest of the kind and the arguments of a call; every entry computes the same value.
fn digest_call(plan: &RequestPlan, call: &CallRequest) -> u64 {
    let arguments = call.arguments.to_string();
    let bytes = plan.kind.as_str().bytes().chain([0]).chain(arguments.bytes());
    bytes.fold(FNV_OFFSET, |digest, byte| (digest ^ u64::from(byte)).wrapping_mul(FNV_PRIME))
}

/// Offset basis of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;

/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

impl HeldClaim {
    /// Claims the key of `planned` for `holder`, with a result expected within `remaining`.
    ///
    /// A claim that is confirmed after `remaining` is released, since other entries may already
    /// have answered that the outcome is unknown.
    pub async fn claim(
        client: &LedgerClient,
        planned: &PlannedKey,
        plan: &RequestPlan,
        holder: Arc<str>,
        remaining: Duration,
    ) -> Result<ClaimOutcome, ClaimError> {
        let proposed = Instant::now();
        let claim = planned.claim_for(plan, holder, remaining + RESULT_MARGIN);
        match client.change(LedgerChange::Claim(claim)).await? {
            LedgerReply::Granted(claim) => {
                let PlannedKey { session, key, .. } = planned.clone();
                let held_claim = Self { held: HeldKey { session, key, claim } };
                if proposed.elapsed() < remaining {
                    return Ok(ClaimOutcome::Held(held_claim));
                }
                held_claim.release(client).await?;
                Err(ClaimError::Refused(LedgerRefusal::ClaimClosed))
            }
            LedgerReply::Stored(reply) => decode_result(&reply).map(ClaimOutcome::Stored),
            _ => Err(ClaimError::Unexpected),
        }
    }

    /// Releases the claim; no upstream may have run the request, and it must not be sent
    /// afterwards.
    pub async fn release(self, client: &LedgerClient) -> Result<(), ClaimError> {
        client.change(LedgerChange::Release { held: self.held }).await.map(drop)
    }

    /// Records the result, which answers resent requests.
    pub async fn record_result(self, client: &LedgerClient, result: &serde_json::Value) {
        let change = LedgerChange::Complete { held: self.held, reply: result.to_string().into() };
        if let Err(error) = client.change_with_retries(change, MAX_RECORD_ATTEMPTS).await {
            log::warn!("result not recorded: {error}");
        }
    }
}

/// Corrects the `ran` field of a refusal, `elapsed` after its request arrived.
///
/// The outcome of a non-repeatable request is unknown if it was resent, since this entry may not
/// have reached the ledger and an earlier copy may have run. It is also unknown after the deadline,
/// since the caller may have given up and sent another copy. Being resent does not matter
/// for `ledger_full`, which the ledger returns only for unknown keys.
pub fn correct_ran(plan: &RequestPlan, mut refusal: Refusal, elapsed: Duration) -> Refusal {
    let resent = plan.resent && refusal.code != RefusalCode::LedgerFull;
    if !plan.repeatable && (resent || elapsed >= plan.deadline) {
        refusal.ran = Ran::Unknown;
    }
    refusal
}
