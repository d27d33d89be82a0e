//! Table of the origins of streams, and the positions up to which other instances have received it.

use crate::{
    clock::from_millis,
    gateway::knowledge::stream_origins::{
        MAX_BATCH_RECORDS, ORIGIN_LIFETIME, OriginBatch, OriginGroup, OriginKey, StreamOrigin,
    },
};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque},
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::{sync::watch, time::Instant};

/// Minimum age of a record that a new one of the same stream renews.
const MIN_RENEWAL_AGE: Duration = Duration::from_secs(5);

/// Time after a failed call for which a receiver is avoided.
const FAILURE_MEMORY: Duration = Duration::from_secs(5);

#[derive(Debug)]
struct OriginRow {
    /// `None` if different origins were recorded.
    origin: Option<Arc<StreamOrigin>>,
    recorded_at: Instant,
    change: u64,
    /// Whether the record did not come from a control instance.
    direct: bool,
}

impl OriginRow {
    fn is_alive(&self, now: Instant) -> bool {
        now < self.recorded_at + ORIGIN_LIFETIME
    }
}

/// What a receiver of the table has confirmed.
#[derive(Debug, Default)]
struct ReceiverPosition {
    /// Identifier of the receiving process; `None` until it is known.
    process: Option<u64>,
    /// Newest change that it has received.
    change: u64,
    /// Newest change up to which it receives records that came from control instances, too.
    complete_until: u64,
    /// When a call to it failed; `None` after a successful one.
    failed_at: Option<Instant>,
}

/// Origins of streams, by the hash of the attempt that brought the first event.
#[derive(Debug)]
pub struct OriginTable {
    capacity: usize,
    rows: HashMap<OriginKey, OriginRow>,
    /// Changes, oldest first; an entry is obsolete if its row has a newer change.
    order: VecDeque<(u64, OriginKey)>,
    interned: HashSet<Arc<StreamOrigin>>,
    changes: u64,
    receivers: BTreeMap<SocketAddr, ReceiverPosition>,
}

impl OriginTable {
    /// Creates an empty table that keeps the newest `capacity` changes.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            rows: HashMap::new(),
            order: VecDeque::new(),
            interned: HashSet::new(),
            changes: 0,
            receivers: BTreeMap::new(),
        }
    }

    /// Number of streams in the table.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether the table has no streams.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Number of changes since the table was created.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Records that the stream `key` began at `origin`.
    pub fn record(&mut self, key: OriginKey, origin: &StreamOrigin, now: Instant) {
        let origin = self.intern(origin);
        self.apply(key, Some(origin), now, true, now);
        self.expire(now);
    }

    /// Merges the records of another instance.
    pub fn merge(&mut self, batch: OriginBatch, now: Instant) {
        for OriginGroup { origin, streams } in batch.groups {
            let origin = origin.map(|origin| self.intern(&origin));
            for (key, age_ms) in streams {
                let recorded_at = now.checked_sub(from_millis(age_ms)).unwrap_or(now);
                self.apply(key, origin.clone(), recorded_at, !batch.forwarded, now);
            }
        }
        self.expire(now);
    }

    fn intern(&mut self, origin: &StreamOrigin) -> Arc<StreamOrigin> {
        if let Some(known) = self.interned.get(origin) {
            return Arc::clone(known);
        }
        let origin = Arc::new(origin.clone());
        self.interned.insert(Arc::clone(&origin));
        origin
    }

    fn apply(
        &mut self,
        key: OriginKey,
        origin: Option<Arc<StreamOrigin>>,
        recorded_at: Instant,
        direct: bool,
        now: Instant,
    ) {
        let mut row = OriginRow { origin, recorded_at, change: self.changes + 1, direct };
        if !row.is_alive(now) {
            return;
        }
        if let Some(known) = self.rows.get(&key).filter(|known| known.is_alive(now)) {
            let agrees = known.origin == row.origin;
            if known.origin.is_none() || agrees {
                if recorded_at < known.recorded_at + MIN_RENEWAL_AGE {
                    return;
                }
            } else {
                log::warn!(known:? = known.origin, new:? = row.origin; "stream with two origins");
            }
            row.origin = row.origin.filter(|_| agrees);
            row.recorded_at = recorded_at.max(known.recorded_at);
        }
        self.changes = row.change;
        self.order.push_back((row.change, key));
        self.rows.insert(key, row);
    }

    /// Removes records past their lifetime, and the oldest changes beyond the capacity.
    pub fn expire(&mut self, now: Instant) {
        let before = self.rows.len();
        while let Some((change, key)) = self.order.front().copied() {
            let row = self.rows.get(&key).filter(|row| row.change == change);
            let kept = row.is_some_and(|row| row.is_alive(now));
            if kept && self.order.len() <= self.capacity {
                break;
            }
            if row.is_some() {
                self.rows.remove(&key);
            }
            self.order.pop_front();
        }
        if self.rows.len() < before {
            self.interned.retain(|origin| Arc::strong_count(origin) > 1);
        }
    }

    /// Finds the origin of the stream `key`: `None` if it was not recorded, and `Some(None)` if
    /// different ones were.
    pub fn find(&self, key: OriginKey, now: Instant) -> Option<Option<&StreamOrigin>> {
        let row = self.rows.get(&key).filter(|row| row.is_alive(now))?;
        Some(row.origin.as_deref())
    }

    /// Whether there may be records that `receiver` has not received.
    pub fn has_next(&self, receiver: SocketAddr) -> bool {
        self.receivers.get(&receiver).map_or(0, |position| position.change) < self.changes
    }

    /// The next records for `receiver`, at most [`MAX_BATCH_RECORDS`], and the change that it has
    /// received with them; `None` if there are none. With `complete`, a new process of the receiver
    /// gets records that came from control instances, too.
    pub fn next_batch(
        &mut self,
        receiver: SocketAddr,
        complete: bool,
        now: Instant,
    ) -> Option<(OriginBatch, u64)> {
        let position = self.receivers.entry(receiver).or_default();
        if complete && position.change == 0 && position.complete_until == 0 {
            position.complete_until = self.changes;
        }
        let mut groups: Vec<OriginGroup> = Vec::new();
        let mut indexes: HashMap<Option<&StreamOrigin>, usize> = HashMap::new();
        let (mut count, mut last) = (0, position.change);
        let first = self.order.partition_point(|(change, _)| *change <= position.change);
        for (change, key) in self.order.range(first..) {
            if count == MAX_BATCH_RECORDS {
                break;
            }
            last = *change;
            let row = self.rows.get(key).filter(|row| row.change == *change && row.is_alive(now));
            let sent = |row: &&OriginRow| row.direct || *change <= position.complete_until;
            let Some(row) = row.filter(sent) else { continue };
            let index = *indexes.entry(row.origin.as_deref()).or_insert_with(|| {
                let origin = row.origin.as_deref().cloned();
                groups.push(OriginGroup { origin, streams: Vec::new() });
                groups.len() - 1
            });
            let age = now.saturating_duration_since(row.recorded_at);
            groups[index].streams.push((*key, age.as_millis() as u32));
            count += 1;
        }
        if count == 0 {
            position.change = self.changes;
            return None;
        }
        Some((OriginBatch { forwarded: false, groups }, last))
    }

    /// Notes that `process` at `receiver` has received the changes up to `change`.
    pub fn confirm(&mut self, receiver: SocketAddr, process: u64, change: u64) {
        self.note_process(receiver, process);
        if let Some(position) = self.receivers.get_mut(&receiver)
            && position.process == Some(process)
        {
            position.change = position.change.max(change);
            position.failed_at = None;
        }
    }

    /// Notes the process that runs at `receiver`. A new one has received nothing.
    pub fn note_process(&mut self, receiver: SocketAddr, process: u64) {
        let position = self.receivers.entry(receiver).or_default();
        match position.process {
            None => position.process = Some(process),
            Some(known) if known == process => {}
            Some(_) => {
                let process = Some(process);
                *position = ReceiverPosition { process, ..ReceiverPosition::default() };
            }
        }
    }

    /// Notes that a call to `receiver` failed; returns whether the one before it succeeded.
    pub fn note_failure(&mut self, receiver: SocketAddr, now: Instant) -> bool {
        let position = self.receivers.entry(receiver).or_default();
        position.failed_at.replace(now).is_none()
    }

    /// Whether a call to `receiver` has failed lately.
    pub fn is_failing(&self, receiver: SocketAddr, now: Instant) -> bool {
        let failed_at = self.receivers.get(&receiver).and_then(|position| position.failed_at);
        failed_at.is_some_and(|at| now < at + FAILURE_MEMORY)
    }

    /// Forgets the positions of all receivers that are not in `known`.
    pub fn retain_receivers(&mut self, known: &BTreeSet<SocketAddr>) {
        self.receivers.retain(|receiver, _| known.contains(receiver));
    }
}

/// A table that is shared between tasks, and that wakes those that send it.
#[derive(Debug)]
pub(crate) struct OriginStore {
    table: Mutex<OriginTable>,
    changed: watch::Sender<()>,
}

impl OriginStore {
    pub(crate) fn new(capacity: usize) -> Self {
        Self { table: Mutex::new(OriginTable::new(capacity)), changed: watch::Sender::new(()) }
    }

    pub(crate) fn table(&self) -> MutexGuard<'_, OriginTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(crate) fn record(&self, key: OriginKey, origin: &StreamOrigin) {
        self.table().record(key, origin, Instant::now());
        self.changed.send_replace(());
    }

    pub(crate) fn merge(&self, batch: OriginBatch) {
        self.table().merge(batch, Instant::now());
        self.changed.send_replace(());
    }

    pub(crate) fn note_process(&self, receiver: SocketAddr, process: u64) {
        self.table().note_process(receiver, process);
        self.changed.send_replace(());
    }

    /// Waits until there may be records that `receiver` has not received.
    pub(crate) async fn wait_next(&self, receiver: SocketAddr) {
        let mut changed = self.changed.subscribe();
        while !self.table().has_next(receiver) {
            if changed.changed().await.is_err() {
                return;
            }
        }
    }
}
