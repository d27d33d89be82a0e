//! Replicated state of the settings: the newest revision, the history, and the results of recent
//! operations, which make retries idempotent.

use crate::{
    check::{check_settings, missing_team_faults},
    difference::{ValueDifference, list_differences},
    fault::SettingsFault,
    name::OperationId,
    replicated::ReplicatedState,
    settings::{FleetSettings, Revision, SettingsSnapshot},
    subtree::{SubtreeContent, SubtreeName},
};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Maximum number of revisions in the history.
const MAX_HISTORY_REVISIONS: usize = 4_096;

/// Maximum encoded size of the history, in bytes.
const MAX_HISTORY_BYTES: usize = 16 * 1024 * 1024;

/// Maximum number of recorded operations.
const MAX_OPERATIONS: usize = 1_024;

/// Maximum encoded size of the recorded operations, in bytes.
const MAX_OPERATION_BYTES: usize = 4 * 1024 * 1024;

/// A change of one subtree.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct SettingsChange {
    /// Identifier that marks retries of the change.
    pub operation: OperationId,
    /// Operator who requests the change.
    pub operator: String,
    /// Time of the request, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Version of the subtree on which the change is based; 0 if the subtree did not exist.
    pub expected: Revision,
    /// New content of the subtree.
    pub content: SubtreeContent,
}

impl SettingsChange {
    /// Whether `other` requests the same change, at any time.
    fn is_resend_of(&self, other: &Self) -> bool {
        self.operator == other.operator
            && self.expected == other.expected
            && self.content == other.content
    }
}

/// Command of the settings group.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SettingsCommand {
    /// Sets the first revision; has no effect if there is one already.
    Found(FleetSettings),
    /// Changes one subtree.
    Change(SettingsChange),
}

/// Author of a revision.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RevisionAuthor {
    /// The revision.
    pub revision: Revision,
    /// Operation that created it.
    pub operation: OperationId,
    /// Operator who requested it.
    pub operator: String,
    /// Time of the request, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// One revision of the history, with the subtree that it changed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RevisionRecord {
    /// Author of the revision.
    #[serde(flatten)]
    pub author: RevisionAuthor,
    /// Version of the subtree before the change.
    pub previous: Revision,
    /// Content of the subtree after the change.
    pub content: SubtreeContent,
}

/// Result of a command.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "result")]
pub enum ChangeReply {
    /// The change was accepted.
    Accepted {
        /// Revision that the change created, which becomes the version of the subtree.
        revision: Revision,
    },
    /// The subtree's version is not the expected one; nothing was changed.
    Conflict {
        /// Version of the subtree.
        version: Revision,
        /// Author of that version; none if it is no longer in the history.
        winner: Option<RevisionAuthor>,
        /// Differences of the rejected content from the content in force.
        difference: Vec<ValueDifference>,
    },
    /// The operation id belongs to another change; nothing was changed.
    OperationReused {
        /// Operator of the first change.
        operator: String,
        /// Time of the first request, in milliseconds since the Unix epoch.
        at_ms: u64,
    },
    /// The whole tree would not be valid; nothing was changed.
    Invalid {
        /// All faults of the tree.
        faults: Vec<SettingsFault>,
    },
}

#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct OperationRecord {
    change: SettingsChange,
    reply: ChangeReply,
}

/// The newest items, limited in number and encoded bytes; pairs each item with its size.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct BoundedLog<T> {
    items: VecDeque<(T, usize)>,
    bytes: usize,
}

impl<T> Default for BoundedLog<T> {
    fn default() -> Self {
        Self { items: VecDeque::new(), bytes: 0 }
    }
}

impl<T: Serialize> BoundedLog<T> {
    fn push(&mut self, item: T, max_items: usize, max_bytes: usize) {
        let bytes = serde_json::to_vec(&item).map_or(0, |encoded| encoded.len());
        self.items.push_back((item, bytes));
        self.bytes += bytes;
        while self.items.len() > max_items || self.bytes > max_bytes {
            let Some((_, bytes)) = self.items.pop_front() else { break };
            self.bytes -= bytes;
        }
    }

    fn iter(&self) -> impl DoubleEndedIterator<Item = &T> {
        self.items.iter().map(|(item, _)| item)
    }
}

/// State of the settings group.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct SettingsState {
    newest: SettingsSnapshot,
    history: BoundedLog<RevisionRecord>,
    operations: BoundedLog<OperationRecord>,
}

impl SettingsState {
    /// The newest settings; revision 0 before the first revision is set.
    pub fn newest(&self) -> &SettingsSnapshot {
        &self.newest
    }

    /// Revisions after `after` of one subtree or of all, newest first.
    pub fn history(
        &self,
        subtree: Option<&SubtreeName>,
        after: Revision,
    ) -> impl Iterator<Item = &RevisionRecord> {
        self.history
            .iter()
            .rev()
            .take_while(move |record| record.author.revision > after)
            .filter(move |record| subtree.is_none_or(|name| record.content.name() == *name))
    }

    fn apply_founding(&mut self, tree: &FleetSettings) -> ChangeReply {
        if self.newest.revision == Revision(0) {
            self.newest = SettingsSnapshot::first_revision(tree.clone());
        }
        ChangeReply::Accepted { revision: self.newest.revision }
    }

    fn apply_change(&mut self, change: &SettingsChange) -> ChangeReply {
        let first = self.operations.iter().find(|first| first.change.operation == change.operation);
        if let Some(OperationRecord { change: first, reply }) = first {
            if change.is_resend_of(first) {
                return reply.clone();
            }
            let operator = first.operator.clone();
            return ChangeReply::OperationReused { operator, at_ms: first.at_ms };
        }
        let reply = self.apply_new_change(change);
        let operation = OperationRecord { change: change.clone(), reply: reply.clone() };
        self.operations.push(operation, MAX_OPERATIONS, MAX_OPERATION_BYTES);
        reply
    }

    /// Applies a change whose operation is not recorded.
    ///
    /// An accepted change whose record was evicted can't be accepted again: it raised the subtree's
    /// version above the expected one, and versions are never reused.
    fn apply_new_change(&mut self, change: &SettingsChange) -> ChangeReply {
        let previous = self.newest.version(&change.content.name());
        if previous != change.expected {
            return self.conflict_reply(change, previous);
        }
        if let SubtreeContent::Removed(team) = &change.content
            && !self.newest.tree.teams.contains_key(team)
        {
            return ChangeReply::Invalid { faults: missing_team_faults(team.as_str()) };
        }
        let revision = Revision(self.newest.revision.0 + 1);
        let mut candidate = self.newest.clone();
        candidate.replace_subtree(revision, change.content.clone());
        candidate.revision = revision;
        let text = serde_json::to_vec(&candidate.tree).unwrap_or_default();
        if let Err(faults) = check_settings(&text) {
            return ChangeReply::Invalid { faults };
        }
        self.newest = candidate;
        let author = RevisionAuthor {
            revision,
            operation: change.operation.clone(),
            operator: change.operator.clone(),
            at_ms: change.at_ms,
        };
        let record = RevisionRecord { author, previous, content: change.content.clone() };
        self.history.push(record, MAX_HISTORY_REVISIONS, MAX_HISTORY_BYTES);
        ChangeReply::Accepted { revision }
    }

    fn conflict_reply(&self, change: &SettingsChange, version: Revision) -> ChangeReply {
        let winner = self.history.iter().rev().find(|record| record.author.revision == version);
        let in_force = self.newest.subtree(&change.content.name());
        ChangeReply::Conflict {
            version,
            winner: winner.map(|record| record.author.clone()),
            difference: list_differences(&in_force.to_value(), &change.content.to_value()),
        }
    }
}

impl ReplicatedState for SettingsState {
    type Command = SettingsCommand;
    type Reply = ChangeReply;

    fn apply(&mut self, command: &SettingsCommand) -> ChangeReply {
        match command {
            SettingsCommand::Found(tree) => self.apply_founding(tree),
            SettingsCommand::Change(change) => self.apply_change(change),
        }
    }

    fn snapshot(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    fn restore(snapshot: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(snapshot)
    }
}
