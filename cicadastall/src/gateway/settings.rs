//! Settings of a gateway process.

use crate::{
    gateway::{decision::retry_window::RetryBounds, document::routes::CallerBounds},
    name::{InstanceName, RegionName, ZoneName},
    wire::is_default,
};
use serde::{Deserialize, Serialize};
use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
    path::PathBuf,
    time::Duration,
};

/// Settings of an entry or a control instance, read at start and again when they change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// Name of the instance, unique in the fleet.
    pub instance: InstanceName,
    /// Region of the instance.
    pub region: RegionName,
    /// Availability zone of the instance.
    pub zone: ZoneName,
    /// Regions of all availability zones.
    pub zones: BTreeMap<ZoneName, RegionName>,
    /// Listen address for other instances: forwarded requests to an entry, calls to control.
    pub peer_listen: SocketAddr,
    /// Address at which other instances reach `peer_listen`, if different.
    #[serde(default)]
    pub peer_advertise: Option<SocketAddr>,
    /// Listen address for grant requests for the engines that this entry owns. Without one, the entry
    /// owns no engines.
    #[serde(default)]
    pub grant_listen: Option<SocketAddr>,
    /// Minimum number of entries in a region to divide its engines among them. Fewer entries know
    /// enough about each other's work without owners.
    #[serde(default = "default_least_owners")]
    pub least_owners: usize,
    /// Listen address for metrics and status.
    pub status_listen: SocketAddr,
    /// Peer addresses of some control instances.
    pub seeds: Vec<SocketAddr>,
    /// Listen address for callers; entries only.
    #[serde(default)]
    pub caller_listen: Option<SocketAddr>,
    /// Listen address for the platform's readiness checks of an entry.
    #[serde(default)]
    pub ready_listen: Option<SocketAddr>,
    /// Listen address for upstreams and operators; control instances only.
    #[serde(default)]
    pub registry_listen: Option<SocketAddr>,
    /// Listen address at which callers ask for a listing of entries.
    #[serde(default)]
    pub directory_listen: Option<SocketAddr>,
    /// Folder for durable state; control instances only.
    #[serde(default)]
    pub data_folder: Option<PathBuf>,
    /// Whether the whole fleet starts for the first time, so that the seeds may found its group.
    #[serde(default)]
    pub founding: bool,
    /// Number of control instances that may be lost at once with their disks.
    #[serde(default = "default_tolerated_losses")]
    pub tolerated_losses: usize,
    /// Interval between two renewals of an upstream, in milliseconds.
    #[serde(default = "default_renewal_ms")]
    pub renewal_ms: u64,
    /// Local address of connections to upstreams; chosen by the operating system if absent.
    #[serde(default)]
    pub upstream_source: Option<IpAddr>,
    /// Maximum duration of a graceful stop, in seconds.
    #[serde(default = "default_stop_s")]
    pub stop_s: f64,
    /// Maximum number of callers' connections.
    #[serde(default = "default_connections")]
    pub connections: usize,
    /// Lifetime of a listing of entries, in milliseconds.
    #[serde(default = "default_listing_ms")]
    pub listing_ms: u64,
    /// Retry budget of the whole fleet.
    #[serde(default)]
    pub retries: RetryBounds,
    /// Limits for callers before the first document arrives.
    #[serde(default)]
    pub limits: CallerBounds,
    /// Time after the acknowledgement of a document from which no request with a key that it removed may
    /// run anywhere, in milliseconds; not enforced on instances that are cut off if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub revocation_ms: Option<u64>,
    /// Tolerance with which quotas of workspaces are enforced; they are not enforced if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub quota: Option<QuotaTolerance>,
    /// Capacity of this instance; entries count as equal if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub capacity: Option<InstanceCapacity>,
    /// Whether upstreams are admitted by their measured speed and the predicted end of their work. Entries
    /// whose capacities differ do so in any case.
    #[serde(default, skip_serializing_if = "is_default")]
    pub measured_load: bool,
    /// Limits of second sends of requests that are late; there are none if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub second_sends: Option<SecondSendBounds>,
}

/// Units beyond its quota that a workspace may use in a window.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QuotaTolerance {
    /// Length of the window, in seconds.
    pub window_s: f64,
    /// Fraction of what the quota allows in a window.
    pub ratio: f64,
    /// Units of the quota in addition to the fraction.
    pub extra: f64,
}

/// Capacity of an instance, as its operator states it.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceCapacity {
    /// Share of a core.
    pub cores: f64,
    /// Memory of the process, in MiB.
    pub memory_mib: u64,
    /// Rate of its network link, in Mbit/s.
    pub link_mbps: f64,
}

/// Limits of second sends.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SecondSendBounds {
    /// Fraction of a pool's requests that may be sent a second time.
    pub request_ratio: f64,
    /// Fraction of a pool's work, in upstream time, that second sends may add.
    pub work_ratio: f64,
}

fn default_least_owners() -> usize {
    8
}

fn default_tolerated_losses() -> usize {
    1
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

impl GatewaySettings {
    /// Interval between two renewals of an upstream.
    pub fn renewal(&self) -> Duration {
        Duration::from_millis(self.renewal_ms)
    }

    /// Time after which no request with a removed key may run anywhere, if it is bounded.
    pub fn revocation(&self) -> Option<Duration> {
        self.revocation_ms.map(Duration::from_millis)
    }

    /// Address that is announced to other instances.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_advertise.unwrap_or(self.peer_listen)
    }

    /// Maximum duration of a graceful stop.
    pub fn stop_bound(&self) -> Duration {
        Duration::try_from_secs_f64(self.stop_s).unwrap_or_default()
    }
}
