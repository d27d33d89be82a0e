//! How datagrams name the instance that sent them.

use crate::{name::InstanceName, table::Incarnation};
use serde::{Deserialize, Serialize};
use std::{
    hash::{DefaultHasher, Hash, Hasher},
    net::SocketAddr,
};

/// Who sent a datagram.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct PacketSender {
    /// The instance.
    pub instance: InstanceName,
    /// Where it receives datagrams; the address seen by the receiver may be a translator's.
    pub address: SocketAddr,
    /// When its process started; a later start begins a new log.
    pub started: Incarnation,
    /// How often the process refuted a suspicion.
    pub refutations: u32,
    /// Short name of the process, drawn from its name and start.
    pub tag: u32,
}

impl PacketSender {
    /// A process that has refuted no suspicion yet.
    pub fn new(instance: InstanceName, address: SocketAddr, started: Incarnation) -> Self {
        let mut hasher = DefaultHasher::new();
        (&instance, started).hash(&mut hasher);
        let tag = hasher.finish() as u32;
        Self { instance, address, started, refutations: 0, tag }
    }

    /// Restart and refutation counter of the sender.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation(self.started.0 + u64::from(self.refutations))
    }

    /// The fields that a receiver needs that has seen the others.
    pub fn to_brief(&self) -> SenderField {
        SenderField::Brief { tag: self.tag, refutations: self.refutations }
    }
}

/// How a datagram names its sender.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum SenderField {
    /// With all fields.
    Full(PacketSender),
    /// For receivers that have seen all fields; another one asks for them.
    Brief {
        /// Short name of the process.
        tag: u32,
        /// How often the process refuted a suspicion.
        refutations: u32,
    },
}
