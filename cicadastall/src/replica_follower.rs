//! Follower side of replication: accepts entries and snapshots from the leader and acknowledges
//! them.

use crate::{
    replica::{ReplicaCore, ReplicaRole},
    replica_log::ReplicaLog,
    replica_message::{
        AppendOutcome, Epoch, GroupConfiguration, JournalWrite, LogEntry, LogIndex, LogPosition,
        ReplicaId, ReplicaMessage, SnapshotImage, StoredReplica, Term,
    },
};
use std::{mem, sync::Arc};
use tokio::time::Instant;

/// Snapshot that a chunk belongs to, with the chunk's offset and the total size in bytes.
#[derive(Debug)]
pub(crate) struct SnapshotChunk {
    pub(crate) epoch: Epoch,
    pub(crate) position: LogPosition,
    pub(crate) configuration: GroupConfiguration,
    pub(crate) offset: u64,
    pub(crate) total: u64,
}

/// Received part of a snapshot.
#[derive(Debug)]
pub(crate) struct IncomingSnapshot {
    pub(crate) epoch: Epoch,
    pub(crate) position: LogPosition,
    pub(crate) data: Vec<u8>,
}

impl ReplicaCore {
    /// Accepts `from` as the leader of `term`, unless a newer term is known.
    pub(crate) fn accept_leader(&mut self, from: &ReplicaId, term: Term, now: Instant) -> bool {
        if term < self.hard_state.term {
            return false;
        }
        if !self.is_uninitialized() {
            self.become_follower(term, Some(from.clone()), now);
        }
        self.leader_heard_at = Some(now);
        self.leaderless_since = now;
        true
    }

    pub(crate) fn append_entries(
        &mut self,
        previous: LogPosition,
        entries: Vec<LogEntry>,
    ) -> AppendOutcome {
        if previous.index > self.log.last().index {
            return AppendOutcome::Missing(self.log.last().index);
        }
        if previous.index > self.commit_index
            && self.log.term_at(previous.index) != Some(previous.term)
        {
            return AppendOutcome::Missing(self.commit_index.max(previous.index.previous()));
        }
        let end = previous.index.0 + entries.len() as u64;
        let is_known = |entry: &LogEntry| {
            let LogPosition { term, index } = entry.position;
            // Committed entries are the same in every log.
            index <= self.commit_index || self.log.term_at(index) == Some(term)
        };
        let new_entries: Vec<_> = entries.into_iter().skip_while(is_known).collect();
        if let Some(first) = new_entries.first() {
            let from = first.position.index;
            if from <= self.log.last().index {
                self.truncate_log(from);
            }
            self.write(JournalWrite::Append(new_entries.clone()));
            self.log.append(new_entries);
        }
        AppendOutcome::Matched(LogIndex(end))
    }

    pub(crate) fn truncate_log(&mut self, from: LogIndex) {
        self.log.truncate(from);
        self.write(JournalWrite::Truncate(from));
        let last = from.previous();
        self.synced_index = self.synced_index.min(last);
        for (_, index) in &mut self.unsynced_batches {
            *index = last.min(*index);
        }
    }

    pub(crate) fn accept_snapshot(
        &mut self,
        chunk: SnapshotChunk,
        data: &str,
        now: Instant,
    ) -> AppendOutcome {
        let SnapshotChunk { epoch, position, configuration, offset, total } = chunk;
        let is_logged =
            !self.is_uninitialized() && self.log.term_at(position.index) == Some(position.term);
        if is_logged || (!self.is_uninitialized() && position.index <= self.commit_index) {
            self.commit_index = self.commit_index.max(position.index);
            return AppendOutcome::Matched(position.index);
        }
        let is_same =
            |incoming: &IncomingSnapshot| incoming.epoch == epoch && incoming.position == position;
        if !self.incoming.as_ref().is_some_and(is_same) {
            self.incoming = Some(IncomingSnapshot { epoch, position, data: Vec::new() });
        }
        let Some(incoming) = &mut self.incoming else { return AppendOutcome::SnapshotFrom(0) };
        if offset == incoming.data.len() as u64 {
            incoming.data.extend(data.chars().map(|byte| byte as u8));
        }
        let received = incoming.data.len() as u64;
        if received < total {
            return AppendOutcome::SnapshotFrom(received);
        }
        let data = mem::take(&mut incoming.data).into();
        self.incoming = None;
        self.install_snapshot(epoch, SnapshotImage { position, configuration, data }, now);
        AppendOutcome::Matched(position.index)
    }

    pub(crate) fn install_snapshot(&mut self, epoch: Epoch, snapshot: SnapshotImage, now: Instant) {
        let snapshot = Arc::new(snapshot);
        let index = snapshot.position.index;
        self.output.committed.clear();
        self.output.restored = Some(Arc::clone(&snapshot));
        self.log = ReplicaLog::new(snapshot, Vec::new());
        self.commit_index = index;
        self.delivered_index = index;
        self.synced_index = index;
        for (_, unsynced) in &mut self.unsynced_batches {
            *unsynced = index;
        }
        self.hard_state.epoch = epoch;
        self.write_replacement();
        if self.is_uninitialized() {
            self.role = ReplicaRole::Follower { leader: None };
            self.reset_election_timeout(now);
        }
    }

    /// Replaces the entries up to `index` by a snapshot with `data`, the encoded state after them.
    ///
    /// Does nothing if `index` was not delivered yet or is not newer than the snapshot.
    pub fn compact(&mut self, index: LogIndex, data: Vec<u8>) {
        if index <= self.log.base() || index > self.delivered_index {
            return;
        }
        self.log.compact(index, data);
        self.write_replacement();
    }

    pub(crate) fn write_replacement(&mut self) {
        let stored = StoredReplica {
            hard_state: self.hard_state.clone(),
            snapshot: Arc::clone(self.log.snapshot()),
            entries: self.log.range(LogIndex(0), self.log.last().index).to_vec(),
            commit_index: self.commit_index,
        };
        self.write(JournalWrite::Replace(Box::new(stored)));
    }

    pub(crate) fn reply_append(&mut self, to: ReplicaId, round: u64, outcome: AppendOutcome) {
        let term = self.hard_state.term;
        let leaving = self.leaving;
        self.send_synced(to, ReplicaMessage::AppendReply { term, round, outcome, leaving });
    }

    pub(crate) fn reply_stale_term(&mut self, to: ReplicaId, round: u64) {
        self.reply_append(to, round, AppendOutcome::Missing(self.commit_index));
    }
}
