//! In-memory log of the replication core, which starts after a snapshot.

use crate::replica_message::{
    GroupConfiguration, LogEntry, LogIndex, LogPosition, SnapshotImage, Term,
};
use std::sync::Arc;

/// A snapshot and the entries after it.
#[derive(Debug)]
pub struct ReplicaLog {
    snapshot: Arc<SnapshotImage>,
    entries: Vec<LogEntry>,
    configurations: Vec<(LogIndex, GroupConfiguration)>,
}

impl ReplicaLog {
    /// A log that starts after `snapshot`.
    pub fn new(snapshot: Arc<SnapshotImage>, entries: Vec<LogEntry>) -> Self {
        let base = (snapshot.position.index, snapshot.configuration.clone());
        let mut log = Self { snapshot, entries: Vec::new(), configurations: vec![base] };
        log.append(entries);
        log
    }

    /// Snapshot that the entries follow.
    pub fn snapshot(&self) -> &Arc<SnapshotImage> {
        &self.snapshot
    }

    /// Newest configuration, committed or not.
    pub fn configuration(&self) -> &GroupConfiguration {
        &self.configurations[self.configurations.len() - 1].1
    }

    /// Index of the entry that holds the newest configuration.
    pub fn configuration_index(&self) -> LogIndex {
        self.configurations[self.configurations.len() - 1].0
    }

    /// Position of the last entry.
    pub fn last(&self) -> LogPosition {
        self.entries.last().map_or(self.snapshot.position, |entry| entry.position)
    }

    /// Index of the last entry that the snapshot includes.
    pub fn base(&self) -> LogIndex {
        self.snapshot.position.index
    }

    /// Term of the entry at `index`; none before the end of the snapshot and after the last entry.
    pub fn term_at(&self, index: LogIndex) -> Option<Term> {
        if index == self.base() {
            return Some(self.snapshot.position.term);
        }
        let offset = index.0.checked_sub(self.base().0 + 1)?;
        self.entries.get(offset as usize).map(|entry| entry.position.term)
    }

    /// Entries from `from` to `to` inclusive, as far as the log holds them.
    pub fn range(&self, from: LogIndex, to: LogIndex) -> &[LogEntry] {
        let base = self.base().0;
        let start = from.0.saturating_sub(base + 1).min(self.entries.len() as u64);
        let end = to.0.saturating_sub(base).clamp(start, self.entries.len() as u64);
        &self.entries[start as usize..end as usize]
    }

    /// Appends entries.
    pub fn append(&mut self, entries: impl IntoIterator<Item = LogEntry>) {
        for entry in entries {
            if let Some(configuration) = entry.payload.configuration() {
                self.configurations.push((entry.position.index, configuration.clone()));
            }
            self.entries.push(entry);
        }
    }

    /// Removes all entries from `from` on.
    pub fn truncate(&mut self, from: LogIndex) {
        let kept = from.0.saturating_sub(self.base().0 + 1);
        self.entries.truncate(kept as usize);
        let base = self.base();
        self.configurations.retain(|(index, _)| *index < from || *index == base);
    }

    /// Replaces the entries up to `index` by a snapshot with `data`, the encoded state after them.
    pub fn compact(&mut self, index: LogIndex, data: Vec<u8>) {
        let Some(term) = self.term_at(index) else { return };
        let configuration = self.configuration_at(index).clone();
        let position = LogPosition { term, index };
        let rest = self.range(index.next(), self.last().index).to_vec();
        let snapshot = SnapshotImage { position, configuration, data: data.into() };
        *self = Self::new(Arc::new(snapshot), rest);
    }

    fn configuration_at(&self, index: LogIndex) -> &GroupConfiguration {
        let found = self.configurations.iter().rev().find(|(set, _)| *set <= index);
        &found.unwrap_or(&self.configurations[0]).1
    }
}
