//! Identification of the sender in datagrams.

use crate::{name::InstanceName, table::Incarnation};
use serde::{Deserialize, Serialize};
use std::{
    hash::{DefaultHasher, Hash, Hasher},
    net::SocketAddr,
};

/// The process that sent a datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PacketSender {
    /// The instance.
    pub instance: InstanceName,
    /// Address at which it receives datagrams. The source address seen by the receiver may differ
    /// behind network address translation.
    pub address: SocketAddr,
    /// Start of its process; each start begins a new log.
    pub started: Incarnation,
    /// Number of suspicions that the process has refuted.
    pub refutations: u32,
    /// Compact identifier of the process, a hash of its name and start.
    pub tag: u32,
}

impl PacketSender {
    /// Creates the sender of a process that has not refuted any suspicion.
    pub fn new(instance: InstanceName, address: SocketAddr, started: Incarnation) -> Self {
        let mut hasher = DefaultHasher::new();
        (&instance, started).hash(&mut hasher);
        let tag = hasher.finish() as u32;
        Self { instance, address, started, refutations: 0, tag }
    }

    /// Incarnation of the sender, which grows with each restart and refutation.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation(self.started.0 + u64::from(self.refutations))
    }

    /// The brief form, for receivers that have the remaining fields.
    pub fn to_brief(&self) -> SenderField {
        SenderField::Brief { tag: self.tag, refutations: self.refutations }
    }
}

/// Sender field of a datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum SenderField {
    /// All fields.
    Full(PacketSender),
    /// Identifier for receivers that already have all fields; others request them.
    Brief {
        /// Compact identifier of the process.
        tag: u32,
        /// Number of suspicions that the process has refuted.
        refutations: u32,
    },
}
