//! Replicated state of the pass-through gateway: the newest route document, the evacuated zones and the
//! withdrawn upstreams.

use crate::{
    gateway::{
        document::{document_decoder::DocumentDecoder, routes::RouteDocument},
        knowledge::{
            fleet_update::{EvacuatedZones, RegisteredUpstream},
            withdrawals::WithdrawalRecord,
        },
    },
    name::ZoneName,
    replicated::ReplicatedState,
};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A document as submitted by an operator, with its decoded form.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StoredDocument {
    /// The submitted text, which reads return unchanged.
    pub source: Arc<str>,
    /// Decoded routes and pools.
    pub document: Arc<RouteDocument>,
}

impl StoredDocument {
    /// Number assigned by the operator.
    pub fn number(&self) -> u64 {
        self.document.number
    }

    /// Whether the decoded form has no workspaces, so that an earlier version may have dropped them.
    fn lacks_workspaces(&self) -> bool {
        self.document.workspaces.is_empty()
    }
}

/// Command of the document group.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DocumentCommand {
    /// Replaces the document if the new number is higher than the current one.
    Replace(StoredDocument),
    /// Stops sending requests to the upstreams of a zone.
    Evacuate(ZoneName),
    /// Ends the evacuation of a zone.
    Restore(ZoneName),
    /// Records that an upstream is leaving or gone. Earlier versions skip this command.
    Withdraw(Arc<RegisteredUpstream>),
}

/// State of the document group.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct DocumentState {
    newest: Option<Arc<StoredDocument>>,
    evacuated: EvacuatedZones,
    #[serde(default, skip_serializing_if = "is_unused")]
    withdrawn: Arc<WithdrawalRecord>,
}

fn is_unused(withdrawn: &Arc<WithdrawalRecord>) -> bool {
    withdrawn.is_empty()
}

impl DocumentState {
    /// The document with the highest number.
    pub fn newest(&self) -> Option<&Arc<StoredDocument>> {
        self.newest.as_ref()
    }

    /// Number of that document; 0 if there is none.
    pub fn number(&self) -> u64 {
        self.newest.as_ref().map_or(0, |newest| newest.number())
    }

    /// The state with the workspaces of its document. An earlier version that decoded the operator's text
    /// has dropped them, and requests must not be served without keys then.
    pub fn complete_document(mut self, decoder: &dyn DocumentDecoder) -> Self {
        if let Some(stored) = self.newest.as_ref().filter(|stored| stored.lacks_workspaces())
            && let Some(document) = decoder.decode_keyed(&stored.source)
        {
            log::warn!(document = document.number; "document decoded again for its workspaces");
            let (source, document) = (Arc::clone(&stored.source), Arc::new(document));
            self.newest = Some(Arc::new(StoredDocument { source, document }));
        }
        self
    }

    /// Evacuated zones.
    pub fn evacuated(&self) -> &EvacuatedZones {
        &self.evacuated
    }

    /// Upstreams whose withdrawal was acknowledged.
    pub fn withdrawn(&self) -> &Arc<WithdrawalRecord> {
        &self.withdrawn
    }
}

impl ReplicatedState for DocumentState {
    type Command = DocumentCommand;
    /// Number of the current document after the command.
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
            DocumentCommand::Withdraw(upstream) => {
                Arc::make_mut(&mut self.withdrawn).insert(upstream);
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
