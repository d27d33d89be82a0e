//! Suspicion, isolation and quarantine of requests that crash upstreams, without I/O.
//!
//! Every request that was running on an upstream when it crashed becomes a suspect. An upstream
//! runs at most one suspect at a time. A suspect that is answered completely is cleared, and a
//! suspect that was running at a second crash is quarantined.
//!
//! The table is bounded in size and time. Merging is idempotent and independent of order, so instances
//! may exchange records in any way.

use crate::name::{RegionName, UpstreamName};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::{
    collections::BTreeMap,
    fmt,
    hash::{Hash, Hasher},
    str::FromStr,
    time::Duration,
};
use tokio::time::Instant;

/// Number of crashes after which a request is quarantined.
pub const QUARANTINE_CRASHES: usize = 2;

/// Lifetime of a suspicion or a quarantine after its last crash.
pub const SUSPICION_LIFETIME: Duration = Duration::from_secs(1_800);

/// Maximum number of suspects; beyond it, the one with the fewest crashes is evicted.
pub const MAX_SUSPECTS: usize = 4_096;

/// Maximum number of crashes that are stored for one suspect.
const MAX_CRASHES: usize = 64;

/// Maximum number of crashes that are stored for one suspect in one [`EPISODE_SPAN`], so that those of
/// later episodes find room.
const MAX_EPISODE_CRASHES: usize = 16;

/// Crashes within this time of each other may have one cause other than a request, such as the loss of
/// a rack.
pub const EPISODE_SPAN: Duration = Duration::from_millis(500);

/// Time after learning of a crash during which requests may still be sent to the upstream, because
/// its listener or its announcement outlives the process.
const KNOWN_CRASH_LIFETIME: Duration = Duration::from_secs(5);

/// Keyed hash of a request's workspace, kind and body.
///
/// The key is the region's name, so the same content has a different fingerprint in each region;
/// fingerprints are not sent to other regions.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(try_from = "String", into = "String")]
pub struct RequestFingerprint(u64);

impl RequestFingerprint {
    /// Computes the fingerprint of `parts` in `region`.
    pub fn compute(region: &RegionName, parts: &[&[u8]]) -> Self {
        Self::hash_all((region.as_str(), parts))
    }

    /// Computes a fingerprint of `parts` that is the same in all regions.
    pub fn compute_shared(parts: &[&[u8]]) -> Self {
        Self::hash_all(parts)
    }

    fn hash_all(value: impl Hash) -> Self {
        #[allow(deprecated)]
        // the only keyed hash of the standard library that is the same in all processes
        let mut hasher = std::hash::SipHasher::new();
        value.hash(&mut hasher);
        Self(hasher.finish())
    }

    /// Fingerprint under which the same trait is charged with crashes after the first event of its
    /// answers too, which only a whole answer acquits.
    pub fn until_whole(self) -> Self {
        Self::hash_all(("until whole", self.0))
    }

    /// Rank of `upstream` in the order in which copies of the request try upstreams; lower ranks
    /// come first.
    ///
    /// Uses rendezvous hashing: every entry derives the same order without communication, and
    /// adding or removing an upstream does not change the order of the others.
    pub fn rank_upstream(&self, upstream: &UpstreamName) -> u64 {
        #[allow(deprecated)]
        // the same in all processes, as for the fingerprint itself
        let mut hasher = std::hash::SipHasher::new();
        self.0.hash(&mut hasher);
        upstream.as_str().hash(&mut hasher);
        hasher.finish()
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

impl FromStr for RequestFingerprint {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

impl TryFrom<String> for RequestFingerprint {
    type Error = std::num::ParseIntError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<RequestFingerprint> for String {
    fn from(fingerprint: RequestFingerprint) -> Self {
        fingerprint.to_string()
    }
}

/// A crash of one upstream, identified by the incarnation of its process.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct UpstreamCrash {
    /// The upstream.
    pub upstream: UpstreamName,
    /// Restart counter of the upstream at the crash.
    pub incarnation: u64,
}

/// A crash as reported to other instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedCrash {
    /// The crash.
    #[serde(flatten)]
    pub crash: UpstreamCrash,
    /// Time since the crash, in milliseconds.
    #[serde(default)]
    pub age_ms: u64,
}

/// A crash with the time at which it was seen, by this instance's clock.
#[derive(Debug, Clone)]
pub struct SeenCrash {
    /// The crash.
    pub crash: UpstreamCrash,
    /// When the first instance saw it.
    pub at: Instant,
}

/// State of one fingerprint as exchanged between the instances of a region.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectRecord {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// Incremented when the request is cleared or released; a record with a higher generation
    /// replaces those with a lower one.
    pub generation: u64,
    /// Crashes during which the request was running.
    pub crashes: SmallVec<[ReportedCrash; 2]>,
    /// Whether an upstream of the same pool has begun to answer another request since.
    #[serde(default)]
    pub contrasted: bool,
    /// Whether the fingerprint is that of a message that requests share, not of a whole request.
    #[serde(default)]
    pub message: bool,
    /// Whether the fingerprint is one of [`RequestFingerprint::until_whole`].
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub until_whole: bool,
    /// Time until the record expires, in milliseconds.
    pub expires_in_ms: u64,
}

/// How a request is to be treated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Suspicion {
    /// The request is treated like any other.
    None,
    /// The request runs on an upstream that runs no other suspect.
    Suspect,
    /// The request is refused.
    Quarantined {
        /// Time until the quarantine ends.
        remaining: Duration,
    },
}

/// Request for the exclusive use of an upstream among suspects.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct IsolationRequest {
    /// The suspect.
    pub fingerprint: RequestFingerprint,
    /// Upstream that is to run the suspect.
    pub upstream: UpstreamName,
    /// Attempt of the suspect.
    pub attempt: crate::name::AttemptId,
    /// Maximum time for which the upstream is needed, in milliseconds; 0 returns the upstream.
    pub hold_ms: u64,
}

/// Reply to an [`IsolationRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum IsolationReply {
    /// The suspect may run.
    Granted,
    /// Another suspect runs on the upstream, the suspect runs on another upstream, or it is
    /// quarantined.
    Busy,
}

#[derive(Debug, Clone)]
struct SuspectEntry {
    generation: u64,
    crashes: SmallVec<[SeenCrash; 2]>,
    contrasted: bool,
    until_whole: bool,
    expires_at: Instant,
    /// Number of the newest change of this entry.
    changed: u64,
    /// Number of the newest change that this instance made itself; 0 if there is none.
    observed: u64,
}

impl SeenCrash {
    fn report(&self, now: Instant) -> ReportedCrash {
        let age_ms = now.saturating_duration_since(self.at).as_millis() as u64;
        ReportedCrash { crash: self.crash.clone(), age_ms }
    }
}

impl ReportedCrash {
    fn seen(self, now: Instant) -> SeenCrash {
        let age = Duration::from_millis(self.age_ms).min(SUSPICION_LIFETIME);
        SeenCrash { crash: self.crash, at: now.checked_sub(age).unwrap_or(now) }
    }
}

impl SuspectEntry {
    fn add_crash(&mut self, seen: SeenCrash) -> bool {
        let near = |known: &&SeenCrash| {
            let (earlier, later) = (known.at.min(seen.at), known.at.max(seen.at));
            later - earlier < EPISODE_SPAN
        };
        let has_room = self.crashes.len() < MAX_CRASHES
            && self.crashes.iter().filter(near).count() < MAX_EPISODE_CRASHES;
        let added = has_room && !self.crashes.iter().any(|known| known.crash == seen.crash);
        if added {
            self.crashes.push(seen);
        }
        added
    }

    fn to_record(&self, fingerprint: RequestFingerprint, now: Instant) -> SuspectRecord {
        SuspectRecord {
            fingerprint,
            generation: self.generation,
            crashes: self.crashes.iter().map(|seen| seen.report(now)).collect(),
            contrasted: self.contrasted,
            message: false,
            until_whole: self.until_whole,
            expires_in_ms: self.expires_at.saturating_duration_since(now).as_millis() as u64,
        }
    }
}

#[derive(Debug, Clone)]
struct IsolationGrant {
    request: IsolationRequest,
    until: Instant,
}

/// A crash with the time at which this instance learned of it.
#[derive(Debug, Clone)]
struct KnownCrash {
    crash: UpstreamCrash,
    learned_at: Instant,
}

/// Suspects of one region that one instance knows.
#[derive(Debug, Default)]
pub struct SuspectTable {
    entries: BTreeMap<RequestFingerprint, SuspectEntry>,
    crashes: Vec<KnownCrash>,
    grants: Vec<IsolationGrant>,
    changes: u64,
}

/// Queries.
impl SuspectTable {
    /// Returns how requests with `fingerprint` are to be treated.
    pub fn classify(&self, fingerprint: RequestFingerprint, now: Instant) -> Suspicion {
        let Some(entry) = self.entries.get(&fingerprint) else {
            return Suspicion::None;
        };
        let remaining = entry.expires_at.saturating_duration_since(now);
        if remaining.is_zero() || entry.crashes.is_empty() {
            return Suspicion::None;
        }
        match entry.crashes.len() < QUARANTINE_CRASHES {
            true => Suspicion::Suspect,
            false => Suspicion::Quarantined { remaining },
        }
    }

    /// Whether this instance learned of `crash` shortly before `time`; an attempt that started at
    /// `time` was then not running at the crash.
    ///
    /// Older crashes are ignored, because an upstream may restart without a new incarnation.
    pub fn is_known_before(&self, crash: &UpstreamCrash, time: Instant) -> bool {
        self.crashes.iter().any(|known| {
            let age = time.saturating_duration_since(known.learned_at);
            known.crash == *crash && !age.is_zero() && age < KNOWN_CRASH_LIFETIME
        })
    }

    /// Lists the records to send to other instances of the region.
    pub fn list(&self, now: Instant) -> Vec<SuspectRecord> {
        self.list_where(now, |_| true)
    }

    /// Lists the records that changed after change number `after`.
    pub fn list_changed(&self, after: u64, now: Instant) -> Vec<SuspectRecord> {
        self.list_where(now, |entry| entry.changed > after)
    }

    /// Lists the records that this instance itself changed after change number `after`.
    pub fn list_observed(&self, after: u64, now: Instant) -> Vec<SuspectRecord> {
        self.list_where(now, |entry| entry.observed > after)
    }

    fn list_where(
        &self,
        now: Instant,
        listed: impl Fn(&SuspectEntry) -> bool,
    ) -> Vec<SuspectRecord> {
        let live = self.entries.iter().filter(|(_, entry)| entry.expires_at > now && listed(entry));
        live.map(|(fingerprint, entry)| entry.to_record(*fingerprint, now)).collect()
    }

    /// Whether there are no suspects.
    pub fn is_empty(&self) -> bool {
        self.entries.values().all(|entry| entry.crashes.is_empty())
    }

    /// Suspects with their crashes before the first event of an answer.
    pub fn suspects(&self) -> impl Iterator<Item = (RequestFingerprint, &[SeenCrash])> {
        self.suspects_where(|entry| !entry.until_whole)
    }

    /// Suspects with their crashes before the end of an answer.
    pub fn suspects_until_whole(&self) -> impl Iterator<Item = (RequestFingerprint, &[SeenCrash])> {
        self.suspects_where(|entry| entry.until_whole)
    }

    fn suspects_where(
        &self,
        listed: impl Fn(&SuspectEntry) -> bool,
    ) -> impl Iterator<Item = (RequestFingerprint, &[SeenCrash])> {
        let suspects = self
            .entries
            .iter()
            .filter(move |(_, entry)| !entry.crashes.is_empty() && listed(entry));
        suspects.map(|(fingerprint, entry)| (*fingerprint, &*entry.crashes))
    }

    /// Whether a suspicion of `fingerprint` has ended before its time, by an answer or an operator.
    pub fn was_acquitted(&self, fingerprint: RequestFingerprint) -> bool {
        self.entries.get(&fingerprint).is_some_and(|entry| entry.generation > 0)
    }

    /// Crashes with which `fingerprint` is charged.
    pub fn crashes_of(&self, fingerprint: RequestFingerprint) -> &[SeenCrash] {
        self.entries.get(&fingerprint).map_or(&[], |entry| &entry.crashes)
    }

    /// End of the suspicion of `fingerprint`; `None` if it is no suspect.
    pub fn suspicion_end(&self, fingerprint: RequestFingerprint) -> Option<Instant> {
        let entry = self.entries.get(&fingerprint)?;
        (!entry.crashes.is_empty()).then_some(entry.expires_at)
    }

    /// Whether an upstream of the same pool has begun to answer another request since `fingerprint` was
    /// charged with a crash. Not asked of charges that only a whole answer ends: streams under way have begun.
    pub fn is_contrasted(&self, fingerprint: RequestFingerprint) -> bool {
        let contrasted = |entry: &SuspectEntry| entry.contrasted || entry.until_whole;
        self.entries.get(&fingerprint).is_some_and(contrasted)
    }

    /// Number of the newest change; changes of entries are numbered in order.
    pub fn changes(&self) -> u64 {
        self.changes
    }
}

/// Changes.
impl SuspectTable {
    /// Records that `fingerprint` was running when an upstream crashed.
    pub fn record_crash(
        &mut self,
        fingerprint: RequestFingerprint,
        crash: UpstreamCrash,
        now: Instant,
    ) {
        self.record_suspect(fingerprint, false, crash, now);
    }

    /// Records that a trait was running when an upstream crashed, before the end of its answer, under
    /// its fingerprint [`RequestFingerprint::until_whole`].
    pub fn record_crash_until_whole(
        &mut self,
        fingerprint: RequestFingerprint,
        crash: UpstreamCrash,
        now: Instant,
    ) {
        self.record_suspect(fingerprint, true, crash, now);
    }

    fn record_suspect(
        &mut self,
        fingerprint: RequestFingerprint,
        until_whole: bool,
        crash: UpstreamCrash,
        now: Instant,
    ) {
        self.remove_expired(now);
        record_known_crash(&mut self.crashes, &crash, now);
        self.make_room(fingerprint);
        self.changes += 1;
        let entry = self.entries.entry(fingerprint).or_insert(SuspectEntry {
            generation: 0,
            crashes: SmallVec::new(),
            contrasted: false,
            until_whole,
            expires_at: now,
            changed: 0,
            observed: 0,
        });
        entry.expires_at = now + SUSPICION_LIFETIME;
        entry.add_crash(SeenCrash { crash, at: now });
        entry.changed = self.changes;
        entry.observed = self.changes;
    }

    /// Evicts an entry if the table is full and lacks `fingerprint`: one with the fewest crashes, and of
    /// these the one that expires first.
    fn make_room(&mut self, fingerprint: RequestFingerprint) {
        if self.entries.len() < MAX_SUSPECTS || self.entries.contains_key(&fingerprint) {
            return;
        }
        let least =
            self.entries.iter().min_by_key(|(_, entry)| (entry.crashes.len(), entry.expires_at));
        if let Some(evicted) = least.map(|(fingerprint, _)| *fingerprint) {
            self.entries.remove(&evicted);
        }
    }

    /// Ends the suspicion of a request that was answered completely; a quarantine remains.
    pub fn clear(&mut self, fingerprint: RequestFingerprint, now: Instant) {
        if self.classify(fingerprint, now) == Suspicion::Suspect {
            self.release(fingerprint);
        }
    }

    /// Ends a suspicion or a quarantine on an operator's request; returns whether the fingerprint
    /// was known.
    pub fn release(&mut self, fingerprint: RequestFingerprint) -> bool {
        let Some(entry) = self.entries.get_mut(&fingerprint) else {
            return false;
        };
        self.changes += 1;
        entry.generation += 1;
        entry.crashes.clear();
        entry.contrasted = false;
        entry.changed = self.changes;
        entry.observed = self.changes;
        true
    }

    /// Ends the suspicion of `fingerprint`, whatever the number of crashes before, as an answer has shown
    /// it to be harmless; returns whether there was one.
    pub fn acquit(&mut self, fingerprint: RequestFingerprint) -> bool {
        let suspected =
            self.entries.get(&fingerprint).is_some_and(|entry| !entry.crashes.is_empty());
        suspected && self.release(fingerprint)
    }

    /// Records that an upstream of the pool in which `fingerprint` was charged has begun to answer another
    /// request since.
    pub fn contrast(&mut self, fingerprint: RequestFingerprint) {
        let suspected = self.entries.get_mut(&fingerprint);
        let suspected = suspected.filter(|entry| !entry.crashes.is_empty() && !entry.contrasted);
        if let Some(entry) = suspected {
            self.changes += 1;
            entry.contrasted = true;
            entry.changed = self.changes;
            entry.observed = self.changes;
        }
    }

    /// Merges the records of another instance; returns whether this changed anything.
    pub fn merge(&mut self, records: Vec<SuspectRecord>, now: Instant) -> bool {
        self.remove_expired(now);
        let before = self.changes;
        for record in records {
            let lifetime = Duration::from_millis(record.expires_in_ms).min(SUSPICION_LIFETIME);
            let expires_at = now + lifetime;
            let SuspectRecord { fingerprint, generation, crashes, contrasted, until_whole, .. } =
                record;
            let crashes: SmallVec<[SeenCrash; 2]> =
                crashes.into_iter().take(MAX_CRASHES).map(|report| report.seen(now)).collect();
            let known = self.entries.get(&fingerprint).map(|known| known.generation);
            if known.is_some_and(|known| known > generation) {
                continue;
            }
            for seen in &crashes {
                record_known_crash(&mut self.crashes, &seen.crash, now);
            }
            self.make_room(fingerprint);
            let next = self.changes + 1;
            let Some(known) = self.entries.get_mut(&fingerprint) else {
                let entry = SuspectEntry {
                    generation,
                    crashes,
                    contrasted,
                    until_whole,
                    expires_at,
                    changed: next,
                    observed: 0,
                };
                self.entries.insert(fingerprint, entry);
                self.changes = next;
                continue;
            };
            let changed = if known.generation < generation {
                *known = SuspectEntry { generation, crashes, contrasted, expires_at, ..*known };
                true
            } else {
                let added = crashes.into_iter().filter(|seen| known.add_crash(seen.clone()));
                let added = added.count() > 0;
                let newly_contrasted = contrasted && !known.contrasted;
                known.contrasted |= contrasted;
                added || newly_contrasted
            };
            if changed {
                known.expires_at = known.expires_at.max(expires_at);
                known.changed = next;
                self.changes = next;
            }
        }
        self.changes != before
    }

    /// Grants an upstream to one suspect at a time, or revokes the grant of the attempt.
    pub fn isolate(&mut self, request: &IsolationRequest, now: Instant) -> IsolationReply {
        self.grants.retain(|grant| grant.until > now && grant.request.attempt != request.attempt);
        if request.hold_ms == 0 {
            return IsolationReply::Granted;
        }
        let quarantined =
            matches!(self.classify(request.fingerprint, now), Suspicion::Quarantined { .. });
        let busy = quarantined
            || self.grants.iter().any(|grant| {
                grant.request.upstream == request.upstream
                    || grant.request.fingerprint == request.fingerprint
            });
        if busy {
            return IsolationReply::Busy;
        }
        let until = now + Duration::from_millis(request.hold_ms);
        self.grants.push(IsolationGrant { request: request.clone(), until });
        IsolationReply::Granted
    }

    /// Removes entries whose lifetime is over.
    pub fn remove_expired(&mut self, now: Instant) {
        self.entries.retain(|_, entry| entry.expires_at > now);
        self.crashes.retain(|known| now < known.learned_at + KNOWN_CRASH_LIFETIME);
    }
}

fn record_known_crash(crashes: &mut Vec<KnownCrash>, crash: &UpstreamCrash, now: Instant) {
    if !crashes.iter().any(|known| known.crash == *crash) {
        crashes.push(KnownCrash { crash: crash.clone(), learned_at: now });
    }
}
