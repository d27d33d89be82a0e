//! The settings that one instance holds, and since when they are known to be the newest.

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
    /// It still asks control instances and peers.
    Asking,
    /// It holds the newest of all that it was to ask.
    Complete,
    /// Some did not answer within the bound; it holds the newest of those that did.
    Partial,
}

/// What `status` says of the settings of an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SettingsStatus {
    /// Revision in force.
    pub revision: Revision,
    /// How the instance got its first settings.
    pub start: StartState,
    /// Time since the settings group confirmed the revision as the newest, in milliseconds.
    pub confirmed_age_ms: Option<u64>,
    /// Since when the instance is cut off from the settings group, in milliseconds since the Unix
    /// epoch; none while it is not.
    pub cut_off_since_ms: Option<u64>,
}

#[derive(Debug)]
struct ConfirmationClock {
    started: Instant,
    confirmed: Option<Instant>,
}

/// Newest settings of one instance, which never go back to an older revision.
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

    /// Whether the instance has settings that it may serve by.
    pub fn is_ready(&self) -> bool {
        self.revision() > Revision(0) && *self.start_state.borrow() != StartState::Asking
    }

    /// Takes `snapshot` if it is newer; returns whether it was.
    pub fn accept(&self, snapshot: Arc<SettingsSnapshot>) -> bool {
        let previous = self.newest.rcu(|current| {
            let newer = snapshot.revision > current.revision;
            Arc::clone(if newer { &snapshot } else { current })
        });
        self.publish(previous.revision)
    }

    /// Applies `update` if it is newer and leads on from what is held; returns whether it did.
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

    /// Revisions as they come into force.
    pub fn watch(&self) -> watch::Receiver<Revision> {
        self.revisions.subscribe()
    }

    /// Waits at most `bound` until `revision` or a newer one is in force; returns whether it is.
    pub async fn wait_for(&self, revision: Revision, bound: Duration) -> bool {
        let mut revisions = self.watch();
        let reached = revisions.wait_for(|known| *known >= revision);
        timeout(bound, reached).await.is_ok()
    }

    /// Ends the start with `state`.
    pub fn finish_start(&self, state: StartState) {
        self.start_state.send_replace(state);
    }

    /// Waits until the start has ended.
    pub async fn wait_started(&self) {
        let _ = self.start_state.subscribe().wait_for(|state| *state != StartState::Asking).await;
    }

    /// Notes that the group confirmed the held revision as the newest `age` ago.
    pub fn record_confirmation(&self, age: Duration) {
        let confirmed_at = Instant::now().checked_sub(age);
        let mut clock = self.lock();
        clock.confirmed = clock.confirmed.max(confirmed_at);
    }

    /// Time since the group confirmed the held revision as the newest.
    pub fn confirmed_age(&self) -> Option<Duration> {
        self.lock().confirmed.map(|confirmed_at| confirmed_at.elapsed())
    }

    /// What `status` says of the settings.
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
