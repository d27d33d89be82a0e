//! Quarantine of requests that crash upstreams.
//!
//! When connections to an upstream break before its answers have begun, the entry checks whether the
//! process has ended. If so, the traits of these requests become suspects. Suspects are exchanged with
//! all entries through control; each instance finds the culprits itself, also while it is cut off.

use crate::{
    crash_blame::{CulpritGroup, find_culprits},
    crash_probe::{ProbeVerdict, probe_listener},
    gateway::{call::RequestTraits, view::KnownUpstream},
    suspect::{RequestFingerprint, SuspectRecord, SuspectTable, UpstreamCrash},
};
use opentelemetry::{KeyValue, metrics::Counter};
use serde::Serialize;
use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};
use tokio::time::Instant;

/// Maximum number of upstreams that are checked at a time; several times those of a zone.
const MAX_CHECKS: usize = 128;

/// Maximum number of suspects of one crash. An upstream that had more requests waiting tells little
/// about each of them.
const MAX_CRASH_SUSPECTS: usize = 256;

/// Traits that are to blame for crashes; requests that have all of them are refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct QuarantinedTraits {
    /// Fingerprints of the traits.
    pub fingerprints: CulpritGroup,
    /// Time until the quarantine ends, in milliseconds.
    pub remaining_ms: u64,
}

#[derive(Debug, Default)]
struct WatchState {
    suspects: SuspectTable,
    /// Requests that broke off, by the process whose end is being checked.
    checks: HashMap<UpstreamCrash, RequestTraits>,
    culprits: Vec<(CulpritGroup, Instant)>,
}

impl WatchState {
    fn is_empty(&self) -> bool {
        self.checks.is_empty() && self.suspects.suspects().next().is_none()
    }

    /// Updates the culprits after a change of the suspects.
    fn update_culprits(&mut self, now: Instant) {
        self.suspects.remove_expired(now);
        let rows = self.suspects.suspects();
        let groups = find_culprits(rows.map(|(fingerprint, crashes, _)| (fingerprint, crashes)));
        let ends: HashMap<_, _> =
            self.suspects.suspects().map(|(fingerprint, _, end)| (fingerprint, end)).collect();
        let end = |group: &CulpritGroup| group.iter().filter_map(|member| ends.get(member)).min();
        let culprits: Vec<_> = groups
            .into_iter()
            .map(|group| {
                let end = end(&group).copied().unwrap_or(now);
                (group, end)
            })
            .collect();
        for (group, _) in culprits.iter().filter(|(group, _)| !self.is_quarantined(group)) {
            log::warn!(traits = describe_group(group).as_str(); "requests quarantined");
        }
        for (group, _) in &self.culprits {
            if !culprits.iter().any(|(other, _)| other == group) {
                log::info!(traits = describe_group(group).as_str(); "quarantine ended");
            }
        }
        self.culprits = culprits;
    }

    fn is_quarantined(&self, group: &CulpritGroup) -> bool {
        self.culprits.iter().any(|(known, _)| known == group)
    }

    fn list(&self, now: Instant) -> Vec<QuarantinedTraits> {
        let rows = self.culprits.iter();
        rows.map(|(group, end)| QuarantinedTraits {
            fingerprints: group.clone(),
            remaining_ms: end.saturating_duration_since(now).as_millis() as u64,
        })
        .collect()
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
    pub fn find_quarantine(&self, traits: &RequestTraits) -> Option<(CulpritGroup, Duration)> {
        let now = Instant::now();
        let state = self.lock();
        let covers = |group: &CulpritGroup| group.iter().all(|member| traits.contains(member));
        let found = state.culprits.iter().find(|(group, end)| *end > now && covers(group));
        found.map(|(group, end)| (group.clone(), *end - now))
    }

    /// Records that the connection to `known` broke before the answer to a request with `traits` had
    /// begun, and checks whether the upstream has ended.
    pub fn note_broken(self: &Arc<Self>, known: &KnownUpstream, traits: &RequestTraits) {
        let upstream = &known.upstream;
        let (name, incarnation) = (upstream.name.clone(), upstream.started_ms);
        let crash = UpstreamCrash { upstream: name, incarnation };
        let starts = self.change(|state| {
            let starts = !state.checks.contains_key(&crash);
            if starts && state.checks.len() >= MAX_CHECKS {
                return false;
            }
            let suspects = state.checks.entry(crash.clone()).or_default();
            for fingerprint in traits {
                if suspects.len() < MAX_CRASH_SUSPECTS && !suspects.contains(fingerprint) {
                    suspects.push(*fingerprint);
                }
            }
            starts
        });
        if starts {
            let (watch, address) = (Arc::clone(self), upstream.address);
            tokio::spawn(async move {
                let verdict = probe_listener(address).await;
                watch.finish_check(crash, verdict);
            });
        }
    }

    fn finish_check(&self, crash: UpstreamCrash, verdict: ProbeVerdict) {
        let now = Instant::now();
        self.checks.add(1, &[KeyValue::new("verdict", verdict_name(verdict))]);
        self.change(|state| {
            let suspects = state.checks.remove(&crash).unwrap_or_default();
            log::info!(
                upstream = crash.upstream.as_str(), started_ms = crash.incarnation,
                verdict:? = verdict, suspects = suspects.len();
                "upstream checked after it broke off requests"
            );
            if verdict == ProbeVerdict::Crashed {
                for fingerprint in suspects {
                    state.suspects.record_crash(fingerprint, crash.clone(), now);
                }
            }
        });
    }

    /// Acquits a request with `traits` whose answer has begun.
    pub fn note_began(&self, traits: &RequestTraits) {
        self.change(|state| {
            for suspects in state.checks.values_mut() {
                suspects.retain(|suspect| !traits.contains(suspect));
            }
            for fingerprint in traits {
                state.suspects.acquit(*fingerprint);
            }
        });
    }

    /// Ends the suspicion of a trait on an operator's request; returns whether it was known.
    pub fn release(&self, fingerprint: RequestFingerprint) -> bool {
        self.change(|state| state.suspects.release(fingerprint))
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
            self.change(|state| state.update_culprits(Instant::now()));
        }
    }

    /// All quarantined traits.
    pub fn list(&self) -> Vec<QuarantinedTraits> {
        self.lock().list(Instant::now())
    }
}
