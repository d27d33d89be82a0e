//! Newest settings that one instance holds, and the time at which they were last confirmed.

use crate::{
    clock::{millis, unix_ms},
    settings::{Revision, SettingsSnapshot},
    subtree::SettingsUpdate,
};
use arc_swap::ArcSwap;
use serde::{Deserialize, Serialize};
use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::{
    sync::watch,
    time::{Instant, timeout},
};

/// Time without confirmation after which an instance counts as cut off from the settings group.
const CUT_OFF_AFTER: Duration = Duration::from_secs(10);

/// How an instance got its first settings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StartState {
    /// The instance is still polling control instances and peers.
    Asking,
    /// All sources replied; the instance holds the newest settings among them.
    Complete,
    /// Some sources did not reply in time; the instance holds the newest settings of those that did.
    Partial,
}

/// State of the settings of an instance, as reported by its status endpoint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingsStatus {
    /// Revision in force.
    pub revision: Revision,
    /// How the instance got its first settings.
    pub start: StartState,
    /// Time since the settings group confirmed the revision as the newest, in milliseconds.
    pub confirmed_age_ms: Option<u64>,
    /// Time since which the instance is cut off from the settings group, in milliseconds since the
    /// Unix epoch; none while it is connected.
    pub cut_off_since_ms: Option<u64>,
}

#[derive(Debug)]
struct ConfirmationClock {
    started: Instant,
    confirmed: Option<Instant>,
}

/// Newest settings of one instance; the revision never decreases.
#[derive(Debug)]
pub struct SettingsStore {
    newest: ArcSwap<SettingsSnapshot>,
    revisions: watch::Sender<Revision>,
    start_state: watch::Sender<StartState>,
    clock: Mutex<ConfirmationClock>,
}

impl Default for SettingsStore {
    fn default() -> Self {
        let clock = ConfirmationClock { started: Instant::now(), confirmed: None };
        Self {
            newest: ArcSwap::default(),
            revisions: watch::Sender::new(Revision(0)),
            start_state: watch::Sender::new(StartState::Asking),
            clock: Mutex::new(clock),
        }
    }
}

impl SettingsStore {
    /// The newest settings.
    pub fn newest(&self) -> Arc<SettingsSnapshot> {
        self.newest.load_full()
    }

    /// Revision of the newest settings.
    pub fn revision(&self) -> Revision {
        self.newest.load().revision
    }

    /// Whether the instance holds settings and has finished its start.
    pub fn is_ready(&self) -> bool {
        self.revision() > Revision(0) && *self.start_state.borrow() != StartState::Asking
    }

    /// Stores `snapshot` if it is newer; returns whether it was.
    pub fn accept(&self, snapshot: Arc<SettingsSnapshot>) -> bool {
        let previous = self.newest.rcu(|current| {
            let newer = snapshot.revision > current.revision;
            Arc::clone(if newer { &snapshot } else { current })
        });
        self.publish(previous.revision)
    }

    /// Applies `update` if it is newer and its base is not newer than the held revision; returns
    /// whether it was applied.
    pub fn apply_update(&self, update: &SettingsUpdate) -> bool {
        let previous = self.newest.rcu(|current| {
            let mut next = SettingsSnapshot::clone(current);
            if next.apply_update(update) { Arc::new(next) } else { Arc::clone(current) }
        });
        self.publish(previous.revision)
    }

    fn publish(&self, previous: Revision) -> bool {
        let revision = self.revision();
        self.revisions.send_if_modified(|known| {
            let newer = revision > *known;
            *known = revision.max(*known);
            newer
        });
        if revision > previous {
            log::info!(revision = revision.0; "settings in force");
        }
        revision > previous
    }

    /// Subscribes to the revisions that come into force.
    pub fn watch(&self) -> watch::Receiver<Revision> {
        self.revisions.subscribe()
    }

    /// Waits at most `bound` for `revision` or a newer one to be in force; returns whether it is.
    pub async fn wait_for(&self, revision: Revision, bound: Duration) -> bool {
        let mut revisions = self.watch();
        let reached = revisions.wait_for(|known| *known >= revision);
        timeout(bound, reached).await.is_ok()
    }

    /// Marks the start as finished with `state`.
    pub fn finish_start(&self, state: StartState) {
        self.start_state.send_replace(state);
    }

    /// Waits until the start is finished.
    pub async fn wait_started(&self) {
        let _ = self.start_state.subscribe().wait_for(|state| *state != StartState::Asking).await;
    }

    /// Records that the settings group confirmed the held revision as the newest `age` ago.
    pub fn record_confirmation(&self, age: Duration) {
        let confirmed_at = Instant::now().checked_sub(age);
        let mut clock = self.lock();
        clock.confirmed = clock.confirmed.max(confirmed_at);
    }

    /// Time since the settings group confirmed the held revision as the newest; none if it never did.
    pub fn confirmed_age(&self) -> Option<Duration> {
        self.lock().confirmed.map(|confirmed_at| confirmed_at.elapsed())
    }

    /// State of the settings, for the status endpoint.
    pub fn status(&self) -> SettingsStatus {
        let revision = self.revision();
        let clock = self.lock();
        let unconfirmed = clock.confirmed.unwrap_or(clock.started).elapsed();
        SettingsStatus {
            revision,
            start: *self.start_state.borrow(),
            confirmed_age_ms: clock.confirmed.map(|confirmed_at| millis(confirmed_at.elapsed())),
            cut_off_since_ms: (unconfirmed >= CUT_OFF_AFTER)
                .then(|| unix_ms() - millis(unconfirmed)),
        }
    }

    fn lock(&self) -> MutexGuard<'_, ConfirmationClock> {
        self.clock.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
