//! Replicated state of the pass-through gateway: the newest document and the evacuated zones.

use crate::{gateway::routes::RouteDocument, name::ZoneName, replicated::ReplicatedState};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeSet, sync::Arc};

/// A document as its operator sent it, and what it means.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StoredDocument {
    /// The operator's text, which reads give back unchanged.
    pub source: Arc<str>,
    /// Its routes and pools.
    pub document: Arc<RouteDocument>,
}

impl StoredDocument {
    /// Number that the operator gave.
    pub fn number(&self) -> u64 {
        self.document.number
    }
}

/// Availability zones whose upstreams get no work.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuatedZones {
    /// Grows with each order, so that a later state is known from an earlier one.
    pub version: u64,
    /// The zones.
    pub zones: BTreeSet<ZoneName>,
}

/// Command of the document group.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DocumentCommand {
    /// Puts a document in force, unless its number is not above the one in force.
    Replace(StoredDocument),
    /// Gives the upstreams of a zone no further work.
    Evacuate(ZoneName),
    /// Withdraws an evacuation.
    Restore(ZoneName),
}

/// State of the document group.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct DocumentState {
    newest: Option<Arc<StoredDocument>>,
    evacuated: EvacuatedZones,
}

impl DocumentState {
    /// The document with the highest number.
    pub fn newest(&self) -> Option<&Arc<StoredDocument>> {
        self.newest.as_ref()
    }

    /// Number of that document; 0 before the first.
    pub fn number(&self) -> u64 {
        self.newest.as_ref().map_or(0, |newest| newest.number())
    }

    /// Evacuated zones.
    pub fn evacuated(&self) -> &EvacuatedZones {
        &self.evacuated
    }
}

impl ReplicatedState for DocumentState {
    type Command = DocumentCommand;
    /// Number of the document in force afterwards.
    type Reply = u64;

    fn apply(&mut self, command: &DocumentCommand) -> u64 {
        match command {
            DocumentCommand::Replace(stored) => {
                if self.newest.is_none() || stored.number() > self.number() {
                    self.newest = Some(Arc::new(stored.clone()));
                }
            }
            DocumentCommand::Evacuate(zone) => {
                if self.evacuated.zones.insert(zone.clone()) {
                    self.evacuated.version += 1;
                }
            }
            DocumentCommand::Restore(zone) => {
                if self.evacuated.zones.remove(zone) {
                    self.evacuated.version += 1;
                }
            }
        }
        self.number()
    }

    fn snapshot(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_else(|error| {
            log::error!("document state cannot be encoded: {error}");
            Vec::new()
        })
    }

    fn restore(snapshot: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(snapshot)
    }
}
