//! Settings of one process: name, location, addresses and limits.

use crate::name::{InstanceName, RegionName, ZoneName};
use serde::{Deserialize, Serialize};
use std::{
    io,
    net::{IpAddr, SocketAddr},
    path::{Path, PathBuf},
    time::Duration,
};

/// Settings that a process reads from a file at startup.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Name of the instance, unique in the fleet.
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
    /// Address advertised to callers and other entries, if it differs from `caller_listen`.
    #[serde(default)]
    pub caller_advertise: Option<SocketAddr>,
    /// Address advertised to other instances, if it differs from `peer_listen`.
    #[serde(default)]
    pub peer_advertise: Option<SocketAddr>,
    /// Peer addresses of instances in this and other zones, contacted to join the fleet.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Peer addresses of the region's control instances.
    #[serde(default)]
    pub control: Vec<SocketAddr>,
    /// Members of the settings group; only for control instances.
    #[serde(default)]
    pub settings_voters: Vec<VoterSettings>,
    /// Members of the region's ledger group; entries among them hold a replica in memory only.
    #[serde(default)]
    pub ledger_voters: Vec<VoterSettings>,
    /// Folder for durable state; only for control instances.
    #[serde(default)]
    pub data_folder: Option<PathBuf>,
    /// File with the initial settings of the fleet; only for control instances.
    #[serde(default)]
    pub founding_settings: Option<PathBuf>,
    /// Limits on requests of callers.
    #[serde(default)]
    pub limits: CallerLimits,
    /// Address of the platform's client directory, to which the entries of the zone are published.
    #[serde(default)]
    pub directory: Option<SocketAddr>,
    /// Whether a control instance may order upstreams to load models or to park; an entry that is a
    /// member of the ledger group then also holds a replica of the placement lease.
    #[serde(default)]
    pub placement: bool,
    /// Time during which a stopping entry still refuses new requests with an answer, in
    /// milliseconds.
    #[serde(default = "default_stop_grace_ms")]
    pub stop_grace_ms: u64,
    /// Maximum duration of a graceful stop, in milliseconds.
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

/// Limits on the requests of callers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CallerLimits {
    /// Maximum size of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum size of a request's headers, in bytes.
    pub header_bytes: usize,
    /// Maximum time to receive the headers, and again to receive the body, in milliseconds.
    pub send_ms: u64,
    /// Maximum number of concurrent connections; a single address may have seven eighths of them.
    pub connections: usize,
    /// Maximum number of requests in flight from one address.
    ///
    /// Requests with the header of a forwarding entry are not counted, since an entry forwards for
    /// many callers. A caller that forges the header is limited by `connections` only.
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
    ///
    /// Fails if the file cannot be read or does not hold valid settings.
    pub fn read(path: &Path) -> Result<Self, NodeSettingsError> {
        let text = std::fs::read(path)
            .map_err(|source| NodeSettingsError::Unreadable { path: path.into(), source })?;
        serde_json::from_slice(&text)
            .map_err(|source| NodeSettingsError::Invalid { path: path.into(), source })
    }

    /// Address from which the instance connects to others; `None` lets the system choose.
    pub fn source_ip(&self) -> Option<IpAddr> {
        Some(self.peer_listen.ip()).filter(|ip| !ip.is_unspecified())
    }

    /// Whether the instance is a member of its region's ledger group.
    pub fn is_ledger_voter(&self) -> bool {
        self.ledger_voters.iter().any(|voter| voter.instance == self.instance)
    }

    /// Peer addresses of the instances that may lead the region's ledger: control instances and
    /// voters, without duplicates.
    pub fn ledger_hosts(&self) -> Vec<SocketAddr> {
        let voters = self.ledger_voters.iter().map(|voter| voter.address);
        let mut hosts = self.control.clone();
        hosts.extend(voters.filter(|address| !self.control.contains(address)));
        hosts
    }

    /// Time during which a stopping entry still refuses new requests with an answer.
    ///
    /// It must exceed the lifetime of a listing, so that no caller still uses a listing with this
    /// entry afterwards.
    pub fn stop_grace(&self) -> Duration {
        Duration::from_millis(self.stop_grace_ms)
    }

    /// Maximum duration of a graceful stop.
    pub fn stop_bound(&self) -> Duration {
        Duration::from_millis(self.stop_bound_ms)
    }
}

/// Failure to read the settings of a process.
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
