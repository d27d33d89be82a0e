//! Quarantine of requests that crash upstreams.
//!
//! When connections to an upstream break before its answers are whole, the entry checks whether the
//! process has ended. If so, the traits of these requests become suspects. Suspects are exchanged with
//! all entries through control; each instance finds the culprits itself, also while it is cut off.

use crate::{
    crash_blame::{BLAME_EPISODES, CulpritGroup, count_episodes, find_all_culprits},
    crash_probe::{ProbeVerdict, probe_listener},
    gateway::{
        decision::call::RequestTraits,
        knowledge::{view::KnownUpstream, warmup::hash_pair},
    },
    name::{InstanceName, PoolName},
    suspect::{
        MAX_SUSPECTS, RequestFingerprint, SUSPICION_LIFETIME, SuspectRecord, SuspectTable,
        UpstreamCrash,
    },
    table::EntryRecord,
};
use opentelemetry::{KeyValue, metrics::Counter};
use serde::Serialize;
use std::{
    collections::{BTreeSet, HashMap, VecDeque},
    mem,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};
use tokio::time::{Instant, sleep};

/// Maximum number of upstreams that are checked at a time; several times those of a zone.
const MAX_CHECKS: usize = 128;

/// Maximum number of requests that are charged with one crash. An upstream that had more requests
/// waiting tells little about each of them.
const MAX_CRASH_REQUESTS: usize = 128;

/// Maximum number of charged requests that are kept to tell suspects with the same crashes apart.
const MAX_CHARGED_REQUESTS: usize = 256;

/// Number of crashes at different moments after which a group is narrowed. Fewer may be left over from the
/// time before the group was quarantined everywhere.
const NARROWING_EPISODES: usize = 2 * BLAME_EPISODES;

/// Time in which entries learn of the start of a process that has ended at its first requests.
const REGISTRATION_DELAY: Duration = Duration::from_millis(200);

/// Time after the last crash until the first trial of a quarantined request.
const TRIAL_DELAY: Duration = Duration::from_secs(60);

/// The same if the quarantine is doubtful.
const DOUBTFUL_TRIAL_DELAY: Duration = Duration::from_secs(5);

/// Factor from the delay of one trial to the next one's.
const TRIAL_DELAY_GROWTH: u32 = 4;

/// Maximum number of trials; each of a culprit costs an upstream.
const MAX_TRIALS: u32 = 2;

/// Maximum number of charged suspects that wait for another answer.
const MAX_UNCONTRASTED: usize = MAX_SUSPECTS;

/// Maximum number of traits with a single crash before the end of an answer; several times those of the
/// streams under way at an upstream.
const MAX_FIRST_CRASHES: usize = 2_048;

/// Time for which the first such crash of a trait is kept.
const FIRST_CRASH_LIFETIME: Duration = Duration::from_secs(120);

/// Traits that are to blame for crashes; requests that have all of them are refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct QuarantinedTraits {
    /// Fingerprints of the traits.
    pub fingerprints: CulpritGroup,
    /// Time until the quarantine ends, in milliseconds.
    pub remaining_ms: u64,
}

/// Traits that were charged with one crash before the end of an answer. Each stream under way at a crash
/// is, and most never meet another: they become suspects, of whom other instances learn, at the second.
#[derive(Debug, Default)]
struct FirstCrashes {
    rows: HashMap<RequestFingerprint, (UpstreamCrash, Instant)>,
    /// Traits in the order of their crashes; some have been removed since.
    order: VecDeque<(Instant, RequestFingerprint)>,
}

impl FirstCrashes {
    /// Records a crash of `fingerprint`; returns the one before if there was another.
    fn record(
        &mut self,
        fingerprint: RequestFingerprint,
        crash: &UpstreamCrash,
        now: Instant,
    ) -> Option<(UpstreamCrash, Instant)> {
        self.expire(now);
        if let Some((first, _)) = self.rows.get(&fingerprint) {
            let is_other = first != crash;
            return if is_other { self.rows.remove(&fingerprint) } else { None };
        }
        self.rows.insert(fingerprint, (crash.clone(), now));
        self.order.push_back((now, fingerprint));
        None
    }

    fn expire(&mut self, now: Instant) {
        while let Some((at, fingerprint)) = self.order.front().copied() {
            let is_old = now >= at + FIRST_CRASH_LIFETIME;
            if !is_old && self.order.len() < MAX_FIRST_CRASHES {
                return;
            }
            self.order.pop_front();
            if self.rows.get(&fingerprint).is_some_and(|(_, recorded_at)| *recorded_at == at) {
                self.rows.remove(&fingerprint);
            }
        }
    }
}

#[derive(Debug, Default)]
struct WatchState {
    first_crashes: FirstCrashes,
    suspects: SuspectTable,
    /// Requests that broke off, by the process whose end is being checked.
    checks: HashMap<UpstreamCrash, Vec<BrokenRequest>>,
    /// The newest requests of this entry that were charged with a crash.
    charged: VecDeque<RequestTraits>,
    quarantines: Vec<Quarantine>,
    /// Suspects charged by this entry, with the pool, until another answer of the pool begins.
    uncontrasted: Vec<(PoolName, RequestFingerprint)>,
}

/// Traits of a request that broke off, less those acquitted since.
#[derive(Debug, Clone)]
struct BrokenRequest {
    /// Those that may be charged with a crash before the first event; none if the answer had begun.
    unbegun: RequestTraits,
    /// All, as charged with a crash before the end of the answer.
    unfinished: RequestTraits,
}

impl BrokenRequest {
    fn acquit(&mut self, traits: &RequestTraits) {
        for suspects in [&mut self.unbegun, &mut self.unfinished] {
            suspects.retain(|suspect| !traits.contains(suspect));
        }
    }
}

/// Fingerprints under which `traits` are charged with crashes before the end of an answer.
fn until_whole(traits: &RequestTraits) -> RequestTraits {
    traits.iter().map(|fingerprint| fingerprint.until_whole()).collect()
}

impl WatchState {
    fn is_empty(&self) -> bool {
        self.checks.is_empty() && self.suspects.is_empty() && self.first_crashes.rows.is_empty()
    }

    fn acquit(&mut self, traits: &RequestTraits) {
        self.checks.values_mut().flatten().for_each(|broken| broken.acquit(traits));
        for fingerprint in traits {
            self.first_crashes.rows.remove(fingerprint);
            self.suspects.acquit(*fingerprint);
        }
    }

    /// Charges a trait, by its fingerprint until the answer is whole, with a crash.
    fn charge_until_whole(
        &mut self,
        fingerprint: RequestFingerprint,
        crash: &UpstreamCrash,
        now: Instant,
    ) {
        if self.suspects.suspicion_end(fingerprint).is_none() {
            let Some((first, at)) = self.first_crashes.record(fingerprint, crash, now) else {
                return;
            };
            self.suspects.record_crash_until_whole(fingerprint, first, at);
        }
        self.suspects.record_crash_until_whole(fingerprint, crash.clone(), now);
    }

    /// Updates the culprits after a change of the suspects.
    fn update_culprits(&mut self, now: Instant) {
        self.suspects.remove_expired(now);
        if self.suspects.is_empty() {
            self.charged.clear();
            self.uncontrasted.clear();
        }
        let groups = find_all_culprits(&self.suspects, BLAME_EPISODES);
        let groups: Vec<_> = groups.into_iter().map(|group| self.narrow_group(group)).collect();
        let mut before = mem::take(&mut self.quarantines);
        for group in groups {
            let known = before.iter().position(|known| known.group == group);
            let known = known.map(|index| before.swap_remove(index));
            if known.is_none() {
                log::warn!(traits = describe_group(&group).as_str(); "requests quarantined");
            }
            let ends = group.iter().filter_map(|member| self.suspects.suspicion_end(*member));
            let quarantine = Quarantine {
                ends_at: ends.min().unwrap_or(now),
                doubtful: !group.iter().any(|member| self.suspects.is_contrasted(*member))
                    || group.iter().all(|member| self.suspects.was_acquitted(*member)),
                trials: known.map_or(0, |known| known.trials),
                group,
            };
            self.quarantines.push(quarantine);
        }
        for Quarantine { group, .. } in before {
            log::info!(traits = describe_group(&group).as_str(); "quarantine ended");
        }
    }

    /// Reduces a group that no charged request of this entry had as a whole to the traits that one of
    /// them had, if crashes go on. Each further crash moves the blame to the next request, until the
    /// crashes differ.
    fn narrow_group(&self, group: CulpritGroup) -> CulpritGroup {
        let crashes = group.first().map_or(&[][..], |member| self.suspects.crashes_of(*member));
        if count_episodes(crashes.iter().map(|seen| seen.at)) < NARROWING_EPISODES {
            return group;
        }
        let shared = |traits: &RequestTraits| -> CulpritGroup {
            group.iter().copied().filter(|member| traits.contains(member)).collect()
        };
        let candidates: BTreeSet<CulpritGroup> = self.charged.iter().map(shared).collect();
        let Some(most) = candidates.iter().map(|candidate| candidate.len()).max() else {
            return group;
        };
        if most == 0 || most == group.len() {
            return group;
        }
        let widest: Vec<_> =
            candidates.into_iter().filter(|candidate| candidate.len() == most).collect();
        widest[crashes.len() % widest.len()].clone()
    }

    fn list(&self, now: Instant) -> Vec<QuarantinedTraits> {
        let rows = self.quarantines.iter();
        rows.map(|quarantine| QuarantinedTraits {
            fingerprints: quarantine.group.clone(),
            remaining_ms: quarantine.remaining(now).as_millis() as u64,
        })
        .collect()
    }
}

/// Requests that have all traits of `group` are refused.
#[derive(Debug)]
struct Quarantine {
    group: CulpritGroup,
    ends_at: Instant,
    /// Whether no request of the pool has been answered since, so that the cause may be another one, such
    /// as load; or whether all traits were acquitted before, so that sound requests use them.
    doubtful: bool,
    /// Trials that this entry has made.
    trials: u32,
}

impl Quarantine {
    fn remaining(&self, now: Instant) -> Duration {
        self.ends_at.saturating_duration_since(now)
    }

    /// Whether a request may be sent to find out whether it still crashes an upstream.
    fn is_trial_due(&self, now: Instant) -> bool {
        let first = if self.doubtful { DOUBTFUL_TRIAL_DELAY } else { TRIAL_DELAY };
        let quiet = SUSPICION_LIFETIME.saturating_sub(self.remaining(now));
        self.trials < MAX_TRIALS && quiet >= first * TRIAL_DELAY_GROWTH.pow(self.trials)
    }
}

/// Value of the label `verdict` in metrics.
fn verdict_name(verdict: ProbeVerdict) -> &'static str {
    match verdict {
        ProbeVerdict::Alive => "alive",
        ProbeVerdict::Crashed => "crashed",
        ProbeVerdict::Unknown => "unknown",
    }
}

/// Whether the entry `own` is the one of `entries` that makes the trials of `group`.
fn makes_trials(group: &CulpritGroup, own: &InstanceName, entries: &[EntryRecord]) -> bool {
    let key = group.first().map(RequestFingerprint::to_string).unwrap_or_default();
    let names = entries.iter().map(|entry| entry.instance.as_str());
    let chosen = names.max_by_key(|name| hash_pair(&*key, *name));
    chosen.is_none_or(|chosen| chosen == own.as_str())
}

fn describe_group(group: &CulpritGroup) -> String {
    group.iter().map(RequestFingerprint::to_string).collect::<Vec<_>>().join(",")
}

/// Suspects and culprits that one entry knows.
#[derive(Debug)]
pub struct CrashWatch {
    state: Mutex<WatchState>,
    /// Counts checks by verdict.
    checks: Counter<u64>,
    /// Whether there is anything to look up, so that requests skip the rest on calm days.
    active: AtomicBool,
}

impl CrashWatch {
    /// Creates a watch without suspects, which counts its checks in `checks`.
    pub fn new(checks: Counter<u64>) -> Self {
        Self { state: Mutex::default(), checks, active: AtomicBool::new(false) }
    }

    fn lock(&self) -> MutexGuard<'_, WatchState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies `change`, and updates the culprits if it changed the suspects.
    fn change<T>(&self, change: impl FnOnce(&mut WatchState) -> T) -> T {
        let mut state = self.lock();
        let before = state.suspects.changes();
        let result = change(&mut state);
        if state.suspects.changes() != before {
            state.update_culprits(Instant::now());
        }
        self.active.store(!state.is_empty(), Ordering::Release);
        result
    }

    /// Whether there are suspects or checks, for which the traits of requests matter.
    pub fn is_active(&self) -> bool {
        self.active.load(Ordering::Acquire)
    }

    /// The quarantine that covers a request with `traits`.
    ///
    /// Now and then one request of the fleet is sent as a trial, so that traits that are blamed by chance
    /// do not stay quarantined: by the entry of `entries` that the traits' fingerprint selects, which is
    /// this one if its name is `own`.
    pub fn find_quarantine(
        &self,
        traits: &RequestTraits,
        own: &InstanceName,
        entries: &[EntryRecord],
    ) -> Option<(CulpritGroup, Duration)> {
        let now = Instant::now();
        let mut state = self.lock();
        if state.quarantines.is_empty() {
            return None;
        }
        let later = until_whole(traits);
        let has = |member: &RequestFingerprint| traits.contains(member) || later.contains(member);
        let covers = |group: &CulpritGroup| group.iter().all(has);
        let quarantines = state.quarantines.iter_mut();
        let mut covering =
            quarantines.filter(|quarantine| quarantine.ends_at > now && covers(&quarantine.group));
        let quarantine = covering.next()?;
        let last = covering.next().is_none();
        if last && quarantine.is_trial_due(now) && makes_trials(&quarantine.group, own, entries) {
            quarantine.trials += 1;
            log::info!(
                traits = describe_group(&quarantine.group).as_str(), trial = quarantine.trials;
                "quarantined request sent as a trial"
            );
            return None;
        }
        Some((quarantine.group.clone(), quarantine.remaining(now)))
    }

    /// Records that the connection to `known` broke before the answer to a request with `traits` was
    /// whole, and whether it had `begun`, and checks whether the upstream has ended. `find_start` returns
    /// the start of the newest known process of that name.
    pub fn note_broken(
        self: &Arc<Self>,
        known: &KnownUpstream,
        traits: &RequestTraits,
        begun: bool,
        find_start: impl FnOnce() -> Option<u64> + Send + 'static,
    ) {
        let upstream = &known.upstream;
        let pool = upstream.pool.clone();
        let (name, incarnation) = (upstream.name.clone(), upstream.started_ms);
        let crash = UpstreamCrash { upstream: name, incarnation };
        let starts = self.change(|state| {
            let starts = !state.checks.contains_key(&crash);
            if starts && state.checks.len() >= MAX_CHECKS {
                return false;
            }
            let broken = state.checks.entry(crash.clone()).or_default();
            if broken.len() < MAX_CRASH_REQUESTS {
                let unbegun = if begun { RequestTraits::new() } else { traits.clone() };
                broken.push(BrokenRequest { unbegun, unfinished: until_whole(traits) });
            }
            starts
        });
        if starts {
            let (watch, address) = (Arc::clone(self), upstream.address);
            tokio::spawn(async move {
                let verdict = probe_listener(address).await;
                if verdict == ProbeVerdict::Crashed {
                    sleep(REGISTRATION_DELAY).await;
                }
                watch.finish_check(crash, &pool, verdict, find_start());
            });
        }
    }

    fn finish_check(
        &self,
        checked: UpstreamCrash,
        pool: &PoolName,
        verdict: ProbeVerdict,
        started_ms: Option<u64>,
    ) {
        let now = Instant::now();
        // The request may have reached a newer process than the one it was sent to.
        let incarnation = started_ms.unwrap_or(0).max(checked.incarnation);
        let crash = UpstreamCrash { incarnation, ..checked.clone() };
        self.checks.add(1, &[KeyValue::new("verdict", verdict_name(verdict))]);
        self.change(|state| {
            let broken = state.checks.remove(&checked).unwrap_or_default();
            let unbegun: BTreeSet<_> =
                broken.iter().flat_map(|request| &request.unbegun).copied().collect();
            let unfinished: BTreeSet<_> =
                broken.iter().flat_map(|request| &request.unfinished).copied().collect();
            log::info!(
                upstream = crash.upstream.as_str(), started_ms = crash.incarnation,
                verdict:? = verdict, unbegun = unbegun.len(), suspects = unfinished.len();
                "upstream checked after it broke off requests"
            );
            if verdict == ProbeVerdict::Crashed {
                for BrokenRequest { mut unbegun, unfinished } in broken {
                    unbegun.extend(unfinished);
                    if unbegun.is_empty() {
                        continue;
                    }
                    if state.charged.len() >= MAX_CHARGED_REQUESTS {
                        state.charged.pop_front();
                    }
                    state.charged.push_back(unbegun);
                }
                for fingerprint in &unbegun {
                    state.suspects.record_crash(*fingerprint, crash.clone(), now);
                }
                for fingerprint in &unfinished {
                    state.charge_until_whole(*fingerprint, &crash, now);
                }
                for fingerprint in unbegun {
                    if state.uncontrasted.len() < MAX_UNCONTRASTED {
                        state.uncontrasted.push((pool.clone(), fingerprint));
                    }
                }
            }
        });
    }

    /// Acquits a request with `traits` of the crashes before a first event, as an upstream of `pool` has
    /// begun to answer it.
    pub fn note_began(&self, pool: &PoolName, traits: &RequestTraits) {
        let later = until_whole(traits);
        self.change(|state| {
            let WatchState { suspects, uncontrasted, .. } = state;
            uncontrasted.retain(|(charged, fingerprint)| {
                let own = traits.contains(fingerprint) || later.contains(fingerprint);
                let contrasts = charged == pool && !own;
                if contrasts {
                    suspects.contrast(*fingerprint);
                }
                !contrasts
            });
            state.acquit(traits);
        });
    }

    /// Acquits a request with `traits` of all crashes, as an upstream has answered it whole.
    pub fn note_whole(&self, traits: &RequestTraits) {
        let later = until_whole(traits);
        self.change(|state| {
            state.acquit(traits);
            state.acquit(&later);
        });
    }

    /// Ends the suspicion of a trait on an operator's request; returns whether it was known.
    pub fn release(&self, fingerprint: RequestFingerprint) -> bool {
        self.change(|state| {
            let later = state.suspects.release(fingerprint.until_whole());
            state.suspects.release(fingerprint) || later
        })
    }

    /// Merges the suspects that control reported.
    pub fn merge(&self, records: Vec<SuspectRecord>) {
        if !records.is_empty() {
            self.change(|state| state.suspects.merge(records, Instant::now()));
        }
    }

    /// Number of the newest change, and the suspects that this entry itself changed after `reported`.
    pub fn list_observed(&self, reported: u64) -> (u64, Vec<SuspectRecord>) {
        let state = self.lock();
        (state.suspects.changes(), state.suspects.list_observed(reported, Instant::now()))
    }

    /// Drops what has expired.
    pub fn expire(&self) {
        if self.is_active() {
            self.change(|state| {
                state.first_crashes.expire(Instant::now());
                state.update_culprits(Instant::now());
            });
        }
    }

    /// All quarantined traits.
    pub fn list(&self) -> Vec<QuarantinedTraits> {
        self.lock().list(Instant::now())
    }
}
