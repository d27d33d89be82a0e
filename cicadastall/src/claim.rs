//! An entry's side of the ledger: claims a key, marks it as dispatched and records its result.

use crate::{
    answer::{Ran, Refusal, RefusalCode},
    decode::RequestPlan,
    ledger::{
        command::{HeldKey, KeyClaim, LedgerChange, LedgerRefusal, LedgerReply},
        session::SessionId,
    },
    name::{IdempotencyKey, WorkspaceName},
    peer::PeerClients,
    replicated::GroupError,
    wire::CallRequest,
};
use std::{
    fmt,
    marker::PhantomData,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::time::{Instant, sleep};

/// Longest time to wait for one host of the ledger.
const LEDGER_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest time to look for a leader among hosts that answer but do not lead: a hand-over takes one
/// vote, while an election after a silence takes longer and is not waited for.
const LEADER_WAIT: Duration = Duration::from_millis(500);

/// Pause between two looks for a leader.
const LEADER_PAUSE: Duration = Duration::from_millis(20);

/// Time within which the holder of a claim marks its key as dispatched.
const CLAIM_LEASE: Duration = Duration::from_secs(3);

/// Time that a result may take beyond the request's deadline before its outcome is unknown.
const RESULT_MARGIN: Duration = Duration::from_secs(2);

/// Time after which a caller may try again where the ledger can't be reached.
const UNREACHABLE_RETRY: Duration = Duration::from_secs(2);

/// Attempts to record a result.
const RECORD_ATTEMPTS: u32 = 3;

/// Pause between attempts to record a result.
const RECORD_PAUSE: Duration = Duration::from_millis(250);

/// Why the ledger did not make a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimError {
    /// No host of the ledger confirmed the change; it may yet be made.
    Unconfirmed(String),
    /// The ledger refused.
    Refused(LedgerRefusal),
    /// The reply does not fit the change.
    Unexpected,
}

impl fmt::Display for ClaimError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unconfirmed(cause) => write!(formatter, "ledger not reached: {cause}"),
            Self::Refused(refusal) => refusal.fmt(formatter),
            Self::Unexpected => formatter.write_str("the ledger's reply does not fit the change"),
        }
    }
}

impl std::error::Error for ClaimError {}

impl From<ClaimError> for Refusal {
    /// Without a confirmed mark no byte is sent, so an unconfirmed change is not run.
    fn from(error: ClaimError) -> Self {
        match error {
            ClaimError::Refused(refusal) => refusal.into(),
            error => Self::not_run(RefusalCode::HomeUnreachable, error.to_string())
                .retry_after(UNREACHABLE_RETRY),
        }
    }
}

/// Calls the hosts of the region's ledger.
#[derive(Debug)]
pub struct LedgerClient {
    hosts: Vec<SocketAddr>,
    preferred: AtomicUsize,
    clients: Arc<PeerClients>,
}

impl LedgerClient {
    /// A client of the ledger that `hosts` keep, reached by `clients`.
    pub fn new(hosts: Vec<SocketAddr>, clients: Arc<PeerClients>) -> Self {
        Self { hosts, preferred: AtomicUsize::new(0), clients }
    }

    /// Issues a session to `workspace`.
    pub async fn open_session(&self, workspace: &WorkspaceName) -> Result<SessionId, ClaimError> {
        let change = LedgerChange::OpenSession { workspace: workspace.clone() };
        match self.change(change).await? {
            LedgerReply::Session(session) => Ok(session),
            _ => Err(ClaimError::Unexpected),
        }
    }

    /// Makes a change; asks again for a moment while hosts answer that they do not lead, so that a
    /// planned hand-over fails no booking.
    ///
    /// Every change but the issue of a session is idempotent, so it may reach several hosts and be
    /// sent again.
    async fn change(&self, change: LedgerChange) -> Result<LedgerReply, ClaimError> {
        let deadline = Instant::now() + LEADER_WAIT;
        loop {
            let failed = match self.ask_hosts(&change).await {
                Ok(LedgerReply::Refused(refusal)) => return Err(ClaimError::Refused(refusal)),
                Ok(reply) => return Ok(reply),
                Err(failed) => failed,
            };
            if !failed.leaderless || Instant::now() >= deadline {
                return Err(ClaimError::Unconfirmed(failed.cause));
            }
            sleep(LEADER_PAUSE).await;
        }
    }

    /// Sends a change to the hosts in turn until one confirms it, beginning with the last that did.
    async fn ask_hosts(&self, change: &LedgerChange) -> Result<LedgerReply, HostsFailure> {
        let preferred = self.preferred.load(Ordering::Relaxed);
        let mut failed = HostsFailure { cause: "no host is known".to_owned(), leaderless: false };
        for turn in 0..self.hosts.len() {
            let index = (preferred + turn) % self.hosts.len();
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
                Ok(Err(error)) => failed.note(&error),
                Err(error) => failed.cause = error.to_string(),
            }
        }
        Err(failed)
    }
}

/// Why no host of the ledger confirmed a change.
#[derive(Debug)]
struct HostsFailure {
    /// What the last host said.
    cause: String,
    /// Whether a host answered that it does not lead.
    leaderless: bool,
}

impl HostsFailure {
    fn note(&mut self, error: &GroupError) {
        self.leaderless |= matches!(error, GroupError::NotLeader { .. });
        self.cause = error.to_string();
    }
}

/// Stage of a key whose holder may not dispatch yet.
#[derive(Debug)]
pub enum Claimed {}

/// Stage of a key whose holder may send it to one upstream.
#[derive(Debug)]
pub enum Dispatched {}

/// A key that this entry holds.
#[derive(Debug)]
pub struct ClaimHolder<S> {
    held: HeldKey,
    _stage: PhantomData<S>,
}

/// What a claim led to.
#[derive(Debug)]
pub enum ClaimOutcome {
    /// This entry holds the key.
    Held(ClaimHolder<Claimed>),
    /// The key was run; this is its result.
    Stored(serde_json::Value),
}

/// Session and key of a plan.
#[derive(Debug, Clone)]
pub struct PlannedKey {
    session: SessionId,
    key: IdempotencyKey,
    digest: u64,
}

impl PlannedKey {
    /// Reads the session and the key of a request that may not be repeated.
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
}

/// Digest of what a key stands for; the same on every entry.
fn digest_call(plan: &RequestPlan, call: &CallRequest) -> u64 {
    let arguments = call.arguments.to_string();
    let bytes = plan.kind.as_str().bytes().chain([0]).chain(arguments.bytes());
    bytes.fold(FNV_OFFSET, |digest, byte| (digest ^ u64::from(byte)).wrapping_mul(FNV_PRIME))
}

/// Start value of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;

/// Multiplier of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;

impl ClaimHolder<Claimed> {
    /// Claims the key of `planned` for the attempt that `holder` names.
    pub async fn claim(
        client: &LedgerClient,
        planned: &PlannedKey,
        plan: &RequestPlan,
        holder: Arc<str>,
    ) -> Result<ClaimOutcome, ClaimError> {
        let PlannedKey { session, key, digest } = planned.clone();
        let change = LedgerChange::Claim(KeyClaim {
            session: session.clone(),
            workspace: plan.workspace.clone(),
            key: key.clone(),
            digest,
            holder,
            lease_ms: CLAIM_LEASE.as_millis() as u64,
            acknowledged: plan.acknowledged.clone(),
        });
        match client.change(change).await? {
            LedgerReply::Granted(claim) => {
                let held = HeldKey { session, key, claim };
                Ok(ClaimOutcome::Held(Self { held, _stage: PhantomData }))
            }
            LedgerReply::Stored(reply) => serde_json::from_str(&reply)
                .map(ClaimOutcome::Stored)
                .map_err(|_| ClaimError::Unexpected),
            _ => Err(ClaimError::Unexpected),
        }
    }

    /// Marks the key as dispatched; a result is expected within `remaining`.
    ///
    /// A mark that was confirmed late is given back, since others may have been told that the
    /// outcome is unknown.
    pub async fn mark_dispatched(
        self,
        client: &LedgerClient,
        remaining: Duration,
    ) -> Result<ClaimHolder<Dispatched>, ClaimError> {
        let run = remaining + RESULT_MARGIN;
        let proposed = Instant::now();
        let change =
            LedgerChange::Dispatch { held: self.held.clone(), run_ms: run.as_millis() as u64 };
        let holder = ClaimHolder { held: self.held, _stage: PhantomData };
        match client.change(change).await {
            Ok(_) if proposed.elapsed() < remaining => Ok(holder),
            Ok(_) => {
                holder.release(client).await?;
                Err(ClaimError::Refused(LedgerRefusal::ClaimClosed))
            }
            Err(error) => {
                if let Err(error) = holder.release(client).await {
                    log::info!("claim not given back: {error}");
                }
                Err(error)
            }
        }
    }
}

impl<S> ClaimHolder<S> {
    /// Gives the claim back: no upstream ran the request, and this holder will not send it.
    pub async fn release(self, client: &LedgerClient) -> Result<(), ClaimError> {
        client.change(LedgerChange::Release { held: self.held }).await.map(drop)
    }
}

impl ClaimHolder<Dispatched> {
    /// Records the result for resends.
    pub async fn record_result(self, client: &LedgerClient, result: &serde_json::Value) {
        let reply: Arc<str> = result.to_string().into();
        for _ in 0..RECORD_ATTEMPTS {
            let reply = Arc::clone(&reply);
            match client.change(LedgerChange::Complete { held: self.held.clone(), reply }).await {
                Err(error @ ClaimError::Unconfirmed(_)) => {
                    log::warn!("result not recorded yet: {error}");
                    sleep(RECORD_PAUSE).await;
                }
                Err(error) => return log::warn!("result not recorded: {error}"),
                Ok(_) => return,
            }
        }
    }
}

/// Corrects what a refusal says of the execution of a key, `elapsed` after its request arrived.
///
/// An entry that did not reach the ledger does not know what became of an earlier copy of the
/// request, nor of a later one if the caller may have given this one up.
pub fn weaken_refusal(plan: &RequestPlan, mut refusal: Refusal, elapsed: Duration) -> Refusal {
    let resent = plan.resent && refusal.code != RefusalCode::LedgerFull;
    if !plan.repeatable && (resent || elapsed >= plan.deadline) {
        refusal.ran = Ran::Unknown;
    }
    refusal
}
