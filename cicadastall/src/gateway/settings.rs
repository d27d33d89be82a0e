//! Settings of a process of the pass-through gateway.

use crate::{
    gateway::{retry_window::RetryBounds, routes::CallerBounds},
    name::{InstanceName, RegionName, ZoneName},
};
use serde::{Deserialize, Serialize};
use std::{collections::BTreeMap, net::SocketAddr, path::PathBuf, time::Duration};

/// Settings that a process reads at start, and again when they change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Name, unique in the fleet.
    pub instance: InstanceName,
    /// Region of the instance.
    pub region: RegionName,
    /// Availability zone of the instance.
    pub zone: ZoneName,
    /// All availability zones with their regions.
    pub zones: BTreeMap<ZoneName, RegionName>,
    /// Address for other instances: entries' hops, or calls to control.
    pub peer_listen: SocketAddr,
    /// Address at which other instances reach `peer_listen`, where it differs.
    #[serde(default)]
    pub peer_advertise: Option<SocketAddr>,
    /// Address at which an entry grants places in engines that it owns; where it has none, it owns none.
    #[serde(default)]
    pub grant_listen: Option<SocketAddr>,
    /// Fewest entries of a region among which its engines are shared out. Fewer know enough of each
    /// other's work.
    #[serde(default = "default_least_owners")]
    pub least_owners: usize,
    /// Address for metrics and status.
    pub status_listen: SocketAddr,
    /// Peer addresses of some control instances.
    pub seeds: Vec<SocketAddr>,
    /// Address for callers; only an entry has one.
    #[serde(default)]
    pub caller_listen: Option<SocketAddr>,
    /// Address at which the platform asks whether an entry takes callers.
    #[serde(default)]
    pub ready_listen: Option<SocketAddr>,
    /// Address for upstreams and operators; only a control instance has one.
    #[serde(default)]
    pub registry_listen: Option<SocketAddr>,
    /// Address at which callers ask for entries.
    #[serde(default)]
    pub directory_listen: Option<SocketAddr>,
    /// Folder for durable state; only a control instance has one.
    #[serde(default)]
    pub data_folder: Option<PathBuf>,
    /// Whether the whole fleet starts for the first time, so that the seeds may found its group.
    #[serde(default)]
    pub founding: bool,
    /// Time between two renewals of an upstream, in milliseconds.
    #[serde(default = "default_renewal_ms")]
    pub renewal_ms: u64,
    /// Longest time that a graceful stop takes, in seconds.
    #[serde(default = "default_stop_s")]
    pub stop_s: f64,
    /// Most connections of callers.
    #[serde(default = "default_connections")]
    pub connections: usize,
    /// Longest time for which callers may use a listing of entries, in milliseconds.
    #[serde(default = "default_listing_ms")]
    pub listing_ms: u64,
    /// Repeats that the whole fleet may send.
    #[serde(default)]
    pub retries: RetryBounds,
    /// Limits on callers before there is a document.
    #[serde(default)]
    pub limits: CallerBounds,
}

fn default_least_owners() -> usize {
    8
}

fn default_renewal_ms() -> u64 {
    1_000
}

fn default_stop_s() -> f64 {
    30.0
}

fn default_connections() -> usize {
    2_000
}

fn default_listing_ms() -> u64 {
    2_000
}

impl NodeSettings {
    /// Time between two renewals of an upstream.
    pub fn renewal(&self) -> Duration {
        Duration::from_millis(self.renewal_ms)
    }

    /// Address that other instances are told.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_advertise.unwrap_or(self.peer_listen)
    }

    /// Longest time that a graceful stop takes.
    pub fn stop_bound(&self) -> Duration {
        Duration::try_from_secs_f64(self.stop_s).unwrap_or_default()
    }
}
