//! Replicated state that executes each idempotency key of a region at most once.
//!
//! The ledger records which non-repeatable requests were dispatched, and their replies. A claim
//! marks its key as dispatched, and the first byte is sent to an upstream only after the claim has
//! been committed. Only the holder may release its claim, and only if no upstream ran the request.
//! The claim of a failed holder remains with an unknown outcome, and its key is never granted to
//! another holder.

pub mod command;
pub mod session;

use crate::{
    ledger::{
        command::{
            ClaimNumber, HeldKey, KeyClaim, LedgerChange, LedgerCommand, LedgerRefusal, LedgerReply,
        },
        session::{LedgerEpoch, SessionId, SessionKey},
    },
    name::{IdempotencyKey, RegionName, WorkspaceName},
    replicated::ReplicatedState,
};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, sync::Arc};

/// Size limits and session lifetime of one region's ledger.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LedgerLimits {
    /// Maximum number of sessions.
    pub sessions: usize,
    /// Maximum number of keys in any state.
    pub keys: usize,
    /// Maximum number of keys of one session.
    pub session_keys: usize,
    /// Maximum number of stored replies and of claims that may still get one.
    pub replies: usize,
    /// Maximum size of one stored reply, in bytes; a larger reply is sent to its caller but not to
    /// a resent request.
    pub reply_bytes: usize,
    /// Lifetime of a session, in milliseconds.
    pub session_ms: u64,
}

impl Default for LedgerLimits {
    fn default() -> Self {
        Self {
            sessions: 20_000,
            keys: 300_000,
            session_keys: 10_000,
            replies: 30_000,
            reply_bytes: 2 * 1024,
            session_ms: 600_000,
        }
    }
}

/// Progress of one key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum KeyStage {
    Dispatched { claim: ClaimNumber, holder: Arc<str>, until_ms: u64 },
    Done { claim: ClaimNumber, reply: Arc<str> },
    Dropped,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct KeyRecord {
    digest: u64,
    stage: KeyStage,
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct SessionRecord {
    workspace: WorkspaceName,
    keys: BTreeMap<IdempotencyKey, KeyRecord>,
}

impl SessionRecord {
    /// Number of keys that have a stored reply or may still get one.
    fn replies(&self) -> usize {
        self.keys.values().filter(|record| record.stage != KeyStage::Dropped).count()
    }
}

/// State of one region's ledger.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(from = "LedgerSnapshot", into = "LedgerSnapshot")]
pub struct LedgerState {
    region: RegionName,
    limits: LedgerLimits,
    epoch: Option<LedgerEpoch>,
    clock_ms: u64,
    next_serial: u64,
    sessions: BTreeMap<SessionKey, SessionRecord>,
    keys: usize,
    replies: usize,
}

/// Serialized form of the state; sessions are a list because JSON map keys must be strings.
#[derive(Serialize, Deserialize)]
struct LedgerSnapshot {
    region: RegionName,
    limits: LedgerLimits,
    epoch: Option<LedgerEpoch>,
    clock_ms: u64,
    next_serial: u64,
    sessions: Vec<(SessionKey, SessionRecord)>,
}

impl From<LedgerSnapshot> for LedgerState {
    fn from(snapshot: LedgerSnapshot) -> Self {
        let sessions: BTreeMap<_, _> = snapshot.sessions.into_iter().collect();
        Self {
            region: snapshot.region,
            limits: snapshot.limits,
            epoch: snapshot.epoch,
            clock_ms: snapshot.clock_ms,
            next_serial: snapshot.next_serial,
            keys: sessions.values().map(|session| session.keys.len()).sum(),
            replies: sessions.values().map(SessionRecord::replies).sum(),
            sessions,
        }
    }
}

impl From<LedgerState> for LedgerSnapshot {
    fn from(state: LedgerState) -> Self {
        Self {
            region: state.region,
            limits: state.limits,
            epoch: state.epoch,
            clock_ms: state.clock_ms,
            next_serial: state.next_serial,
            sessions: state.sessions.into_iter().collect(),
        }
    }
}

/// Current sizes of a ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct LedgerSizes {
    /// Sessions that have not expired.
    pub sessions: usize,
    /// Keys in any state.
    pub keys: usize,
    /// Stored replies and claims that may still get one.
    pub replies: usize,
    /// Total size of the stored replies, in bytes.
    pub reply_bytes: usize,
}

/// Queries.
impl LedgerState {
    /// The current epoch, or `None` before the group was first founded.
    pub fn epoch(&self) -> Option<LedgerEpoch> {
        self.epoch
    }

    /// Current sizes, which are computed in time linear in the number of keys.
    pub fn sizes(&self) -> LedgerSizes {
        let stored = self.sessions.values().flat_map(|session| session.keys.values());
        let reply_bytes = stored.map(|record| match &record.stage {
            KeyStage::Done { reply, .. } => reply.len(),
            _ => 0,
        });
        LedgerSizes {
            sessions: self.sessions.len(),
            keys: self.keys,
            replies: self.replies,
            reply_bytes: reply_bytes.sum(),
        }
    }
}

/// Changes.
impl LedgerState {
    /// Creates an empty ledger without an epoch.
    pub fn new(region: RegionName, limits: LedgerLimits) -> Self {
        Self {
            region,
            limits,
            epoch: None,
            clock_ms: 0,
            next_serial: 1,
            sessions: BTreeMap::new(),
            keys: 0,
            replies: 0,
        }
    }

    /// Starts `epoch` with the current state, and refuses an epoch that is not newer.
    ///
    /// Some claims of an epoch that lost its majority may be missing from the surviving state, so
    /// no key of its sessions, which carry the earlier epoch, is granted again.
    fn start_epoch(&mut self, epoch: LedgerEpoch) -> LedgerReply {
        if self.epoch.is_some_and(|known| known >= epoch) {
            return LedgerReply::Refused(LedgerRefusal::NotFounded);
        }
        self.epoch = Some(epoch);
        LedgerReply::Accepted
    }

    fn expire_sessions(&mut self, at_ms: u64) {
        self.clock_ms = self.clock_ms.max(at_ms);
        while let Some(first) = self.sessions.first_entry() {
            if first.key().expires_ms > self.clock_ms {
                return;
            }
            let session = first.remove();
            self.keys -= session.keys.len();
            self.replies -= session.replies();
        }
    }

    fn open_session(&mut self, workspace: &WorkspaceName) -> Result<LedgerReply, LedgerRefusal> {
        let epoch = self.epoch.ok_or(LedgerRefusal::NotFounded)?;
        if self.sessions.len() >= self.limits.sessions {
            return Err(LedgerRefusal::Full);
        }
        let expires_ms = self.clock_ms + self.limits.session_ms;
        let key = SessionKey { expires_ms, epoch, serial: self.allocate_serial() };
        let session = SessionRecord { workspace: workspace.clone(), keys: BTreeMap::new() };
        self.sessions.insert(key, session);
        Ok(LedgerReply::Session(SessionId { region: self.region.clone(), key }))
    }

    fn allocate_serial(&mut self) -> u64 {
        let serial = self.next_serial;
        self.next_serial += 1;
        serial
    }

    fn claim(&mut self, claim: &KeyClaim) -> Result<LedgerReply, LedgerRefusal> {
        if let Some(reply) = self.check_claim(claim)? {
            return Ok(reply);
        }
        self.reserve_key(&claim.session.key)?;
        Ok(self.grant(claim))
    }

    /// Returns the reply to a claim, or `None` if its key is unknown and may be granted.
    ///
    /// Drops the stored replies that the claim acknowledges.
    fn check_claim(&mut self, claim: &KeyClaim) -> Result<Option<LedgerReply>, LedgerRefusal> {
        let epoch = self.epoch.ok_or(LedgerRefusal::NotFounded)?;
        let SessionId { region, key: session_key } = &claim.session;
        if *region != self.region {
            return Err(LedgerRefusal::ForeignSession);
        }
        if session_key.expires_ms <= self.clock_ms {
            return Err(LedgerRefusal::SessionExpired);
        }
        let is_current = session_key.epoch == epoch;
        let Some(session) = self.sessions.get_mut(session_key) else {
            return Err(LedgerRefusal::EpochLost);
        };
        if session.workspace != claim.workspace {
            return Err(LedgerRefusal::ForeignSession);
        }
        self.replies -= drop_replies(session, &claim.acknowledged);
        let known = session.keys.get(&claim.key);
        let reply =
            known.map(|record| check_known_key(record, claim, self.clock_ms)).transpose()?;
        match reply {
            None | Some(LedgerReply::Granted(_)) if !is_current => Err(LedgerRefusal::EpochLost),
            reply => Ok(reply),
        }
    }

    /// Counts a new key, unless a limit is reached.
    fn reserve_key(&mut self, session: &SessionKey) -> Result<(), LedgerRefusal> {
        let session_keys = self.sessions.get(session).map_or(0, |session| session.keys.len());
        let full = self.keys >= self.limits.keys
            || self.replies >= self.limits.replies
            || session_keys >= self.limits.session_keys;
        if full {
            return Err(LedgerRefusal::Full);
        }
        self.keys += 1;
        self.replies += 1;
        Ok(())
    }

    fn grant(&mut self, claim: &KeyClaim) -> LedgerReply {
        let number = ClaimNumber(self.allocate_serial());
        let until_ms = self.clock_ms + claim.run_ms;
        let holder = Arc::clone(&claim.holder);
        let stage = KeyStage::Dispatched { claim: number, holder, until_ms };
        if let Some(session) = self.sessions.get_mut(&claim.session.key) {
            let record = KeyRecord { digest: claim.digest, stage };
            session.keys.insert(claim.key.clone(), record);
        }
        LedgerReply::Granted(number)
    }

    fn find_key(
        &mut self,
        session: &SessionId,
        key: &IdempotencyKey,
    ) -> Result<&mut KeyRecord, LedgerRefusal> {
        if session.region != self.region {
            return Err(LedgerRefusal::ForeignSession);
        }
        let session = self.sessions.get_mut(&session.key);
        session.and_then(|session| session.keys.get_mut(key)).ok_or(LedgerRefusal::ClaimClosed)
    }

    fn release(&mut self, held: &HeldKey) -> Result<LedgerReply, LedgerRefusal> {
        match &self.find_key(&held.session, &held.key)?.stage {
            KeyStage::Dispatched { claim, .. } if *claim == held.claim => {}
            _ => return Err(LedgerRefusal::ClaimClosed),
        }
        Ok(self.remove_key(&held.session, &held.key))
    }

    fn withdraw(
        &mut self,
        session: &SessionId,
        key: &IdempotencyKey,
        claimant: &Arc<str>,
    ) -> Result<LedgerReply, LedgerRefusal> {
        match &self.find_key(session, key)?.stage {
            KeyStage::Dispatched { holder, .. } if holder == claimant => {}
            _ => return Err(LedgerRefusal::ClaimClosed),
        }
        Ok(self.remove_key(session, key))
    }

    fn remove_key(&mut self, session: &SessionId, key: &IdempotencyKey) -> LedgerReply {
        if let Some(session) = self.sessions.get_mut(&session.key) {
            session.keys.remove(key);
            self.keys -= 1;
            self.replies -= 1;
        }
        LedgerReply::Accepted
    }

    fn complete(&mut self, held: &HeldKey, reply: &Arc<str>) -> Result<LedgerReply, LedgerRefusal> {
        let fits = reply.len() <= self.limits.reply_bytes;
        let record = self.find_key(&held.session, &held.key)?;
        match &record.stage {
            KeyStage::Dispatched { claim, .. } if *claim == held.claim => {}
            KeyStage::Done { claim, .. } if *claim == held.claim => {
                return Ok(LedgerReply::Accepted);
            }
            _ => return Err(LedgerRefusal::ClaimClosed),
        }
        if fits {
            record.stage = KeyStage::Done { claim: held.claim, reply: Arc::clone(reply) };
        } else {
            record.stage = KeyStage::Dropped;
            self.replies -= 1;
        }
        Ok(LedgerReply::Accepted)
    }
}

/// Drops the stored replies of the `acknowledged` keys and returns their number.
///
/// The keys themselves are kept until the session expires, so that a delayed copy of a request is
/// not run.
fn drop_replies(session: &mut SessionRecord, acknowledged: &[IdempotencyKey]) -> usize {
    let mut dropped = 0;
    for key in acknowledged {
        let Some(record) = session.keys.get_mut(key) else { continue };
        if matches!(record.stage, KeyStage::Done { .. }) {
            record.stage = KeyStage::Dropped;
            dropped += 1;
        }
    }
    dropped
}

/// Returns the reply to a claim of a known key.
///
/// A holder that repeats its claim is granted the same claim, since the first reply may have been
/// lost.
fn check_known_key(
    record: &KeyRecord,
    requested: &KeyClaim,
    clock_ms: u64,
) -> Result<LedgerReply, LedgerRefusal> {
    if record.digest != requested.digest {
        return Err(LedgerRefusal::KeyReused);
    }
    match &record.stage {
        KeyStage::Dispatched { claim, holder, until_ms } if *until_ms > clock_ms => {
            if *holder == requested.holder {
                return Ok(LedgerReply::Granted(*claim));
            }
            Err(LedgerRefusal::InProgress { retry_ms: until_ms - clock_ms })
        }
        KeyStage::Dispatched { .. } => Err(LedgerRefusal::OutcomeUnknown),
        KeyStage::Done { reply, .. } => Ok(LedgerReply::Stored(Arc::clone(reply))),
        KeyStage::Dropped => Err(LedgerRefusal::ReplyDropped),
    }
}

impl ReplicatedState for LedgerState {
    type Command = LedgerCommand;
    type Reply = LedgerReply;

    fn apply(&mut self, command: &LedgerCommand) -> LedgerReply {
        self.expire_sessions(command.at_ms);
        let founds = matches!(command.change, LedgerChange::Found);
        if !founds && self.epoch != Some(command.epoch) {
            return LedgerReply::Refused(LedgerRefusal::NotFounded);
        }
        let applied = match &command.change {
            LedgerChange::Found => Ok(self.start_epoch(command.epoch)),
            LedgerChange::OpenSession { workspace } => self.open_session(workspace),
            LedgerChange::Claim(claim) => self.claim(claim),
            LedgerChange::Look(claim) => {
                self.check_claim(claim).map(|reply| reply.unwrap_or(LedgerReply::Free))
            }
            LedgerChange::Release { held } => self.release(held),
            LedgerChange::Withdraw { session, key, holder } => self.withdraw(session, key, holder),
            LedgerChange::Complete { held, reply } => self.complete(held, reply),
        };
        applied.unwrap_or_else(LedgerReply::Refused)
    }

    /// Starts the new epoch before any later command is applied, so that a command whose proposer
    /// read an earlier epoch is refused.
    fn refounded(&mut self, epoch: u64) {
        self.start_epoch(LedgerEpoch(epoch));
    }

    fn snapshot(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    fn restore(snapshot: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(snapshot)
    }
}
