//! Settings of one process: its name, place, addresses and limits.

use crate::name::{InstanceName, RegionName, ZoneName};
use serde::{Deserialize, Serialize};
use std::{
    io,
    net::{IpAddr, SocketAddr},
    path::{Path, PathBuf},
    time::Duration,
};

/// Settings that one process reads from its file at start.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Name, unique in the fleet.
    pub instance: InstanceName,
    /// Region of the instance.
    pub region: RegionName,
    /// Availability zone of the instance.
    pub zone: ZoneName,
    /// Address for callers and upstreams; port 0 lets the system choose.
    pub caller_listen: SocketAddr,
    /// Address for operators.
    pub operator_listen: SocketAddr,
    /// Address for other instances.
    pub peer_listen: SocketAddr,
    /// Address that callers and other entries are told, where it differs from `caller_listen`.
    #[serde(default)]
    pub caller_advertise: Option<SocketAddr>,
    /// Address that other instances are told, where it differs from `peer_listen`.
    #[serde(default)]
    pub peer_advertise: Option<SocketAddr>,
    /// Peer addresses of some instances, of this zone and of others.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Peer addresses of the region's control instances.
    #[serde(default)]
    pub control: Vec<SocketAddr>,
    /// Members of the settings group; only a control instance has them.
    #[serde(default)]
    pub settings_voters: Vec<VoterSettings>,
    /// Members of the region's ledger group; entries among them keep a replica without a disk.
    #[serde(default)]
    pub ledger_voters: Vec<VoterSettings>,
    /// Folder for durable state; only a control instance has one.
    #[serde(default)]
    pub data_folder: Option<PathBuf>,
    /// File with the fleet's settings at founding; only a control instance has one.
    #[serde(default)]
    pub founding_settings: Option<PathBuf>,
    /// Limits on what callers send.
    #[serde(default)]
    pub limits: CallerLimits,
    /// Address of the platform's directory for clients, to which the zone's entries are published.
    #[serde(default)]
    pub directory: Option<SocketAddr>,
    /// Whether a control instance may order upstreams to load models or to be parked; an entry that
    /// is a member of the ledger group keeps a replica of the placement lease too.
    #[serde(default)]
    pub placement: bool,
    /// Time for which a stopping entry still answers new requests with a refusal, in milliseconds.
    #[serde(default = "default_stop_grace_ms")]
    pub stop_grace_ms: u64,
    /// Longest time that a graceful stop takes, in milliseconds.
    #[serde(default = "default_stop_bound_ms")]
    pub stop_bound_ms: u64,
}

/// A member of a replicated group.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VoterSettings {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Its peer address.
    pub address: SocketAddr,
}

/// Limits on what one caller sends.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CallerLimits {
    /// Most bytes of a request body.
    pub body_bytes: usize,
    /// Most bytes of the request's headers.
    pub header_bytes: usize,
    /// Longest time to send the headers, and longest time to send the body, in milliseconds.
    pub send_ms: u64,
    /// Most connections of the instance, of which one address may have seven eighths.
    pub connections: usize,
    /// Most requests in flight from one address.
    ///
    /// Requests that name the region of a forwarding entry are not counted: an entry forwards for
    /// many callers. A caller that forges this name is bound by `connections` alone.
    pub streams_per_caller: usize,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            body_bytes: 4 * 1024 * 1024,
            header_bytes: 32 * 1024,
            send_ms: 10_000,
            connections: 4_096,
            streams_per_caller: 512,
        }
    }
}

fn default_stop_grace_ms() -> u64 {
    3_000
}

fn default_stop_bound_ms() -> u64 {
    120_000
}

impl NodeSettings {
    /// Reads the settings from the JSON file at `path`.
    pub fn read(path: &Path) -> Result<Self, NodeSettingsError> {
        let text = std::fs::read(path)
            .map_err(|source| NodeSettingsError::Unreadable { path: path.into(), source })?;
        serde_json::from_slice(&text)
            .map_err(|source| NodeSettingsError::Invalid { path: path.into(), source })
    }

    /// Address from which the instance connects to others; none leaves the choice to the system.
    pub fn source_ip(&self) -> Option<IpAddr> {
        Some(self.peer_listen.ip()).filter(|ip| !ip.is_unspecified())
    }

    /// Whether the instance is a member of its region's ledger group.
    pub fn is_ledger_voter(&self) -> bool {
        self.ledger_voters.iter().any(|voter| voter.instance == self.instance)
    }

    /// Peer addresses of the instances that may lead the region's ledger, each once.
    pub fn ledger_hosts(&self) -> Vec<SocketAddr> {
        let voters = self.ledger_voters.iter().map(|voter| voter.address);
        let mut hosts = self.control.clone();
        hosts.extend(voters.filter(|address| !self.control.contains(address)));
        hosts
    }

    /// Time for which a stopping entry still answers new requests with a refusal.
    ///
    /// Longer than the lifetime of a listing, so that no caller still uses it afterwards.
    pub fn stop_grace(&self) -> Duration {
        Duration::from_millis(self.stop_grace_ms)
    }

    /// Longest time that a graceful stop takes.
    pub fn stop_bound(&self) -> Duration {
        Duration::from_millis(self.stop_bound_ms)
    }
}

/// Settings of a process that can't be used.
#[derive(Debug)]
pub enum NodeSettingsError {
    /// The file could not be read.
    Unreadable {
        /// The file.
        path: PathBuf,
        /// Cause.
        source: io::Error,
    },
    /// The file does not hold valid settings.
    Invalid {
        /// The file.
        path: PathBuf,
        /// Cause, with line and column.
        source: serde_json::Error,
    },
}

impl std::fmt::Display for NodeSettingsError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Unreadable { path, source } => {
                write!(formatter, "cannot read {}: {source}", path.display())
            }
            Self::Invalid { path, source } => {
                write!(formatter, "invalid settings in {}: {source}", path.display())
            }
        }
    }
}

impl std::error::Error for NodeSettingsError {}
