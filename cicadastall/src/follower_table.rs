//! Instances that poll a control instance for settings, by availability zone.

use crate::{
    clock::millis,
    name::{InstanceName, RegionName, ZoneName},
    settings_peer::{FollowerLocation, UnconfirmedInstance, ZoneReport},
};
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};
use tokio::time::Instant;

/// Time after its last request at which a follower no longer gets pushed updates.
const PUSH_EXPIRY: Duration = Duration::from_secs(5);

/// Time after its last request at which a follower is removed, so that a zone that is cut off is
/// still reported.
const FOLLOWER_RETENTION: Duration = Duration::from_secs(24 * 3_600);

/// Maximum number of followers kept for one zone.
const MAX_ZONE_FOLLOWERS: usize = 8;

/// Maximum number of followers in one zone to which an update is pushed in turn until one confirms.
const MAX_PUSH_ATTEMPTS: usize = 2;

#[derive(Debug, Clone)]
struct FollowerRecord {
    location: FollowerLocation,
    last_request_at: Instant,
}

/// Followers of one control instance.
#[derive(Debug, Default)]
pub(crate) struct FollowerTable {
    zones: BTreeMap<(RegionName, ZoneName), BTreeMap<InstanceName, FollowerRecord>>,
}

/// A zone with the followers to which an update for it is pushed.
#[derive(Debug, Clone)]
pub(crate) struct ZoneTargets {
    /// Report to return if no follower confirms.
    pub(crate) unconfirmed: ZoneReport,
    /// Addresses of followers, the most recent request first; empty if the zone is cut off.
    pub(crate) addresses: Vec<SocketAddr>,
}

impl FollowerTable {
    /// Records a request of an instance.
    pub(crate) fn record(&mut self, location: FollowerLocation, now: Instant) {
        let key = (location.region.clone(), location.zone.clone());
        let zone = self.zones.entry(key).or_default();
        zone.insert(location.instance.clone(), FollowerRecord { location, last_request_at: now });
        zone.retain(|_, record| now.duration_since(record.last_request_at) < FOLLOWER_RETENTION);
        while zone.len() > MAX_ZONE_FOLLOWERS {
            let oldest = zone.iter().min_by_key(|(_, record)| record.last_request_at);
            let Some(oldest) = oldest.map(|(name, _)| name.clone()) else { break };
            zone.remove(&oldest);
        }
    }

    /// Zones to which updates are pushed.
    pub(crate) fn targets(&self, now: Instant) -> Vec<ZoneTargets> {
        let zones = self.zones.iter().filter(|(_, followers)| !followers.is_empty());
        zones
            .map(|((region, zone), followers)| zone_targets(region, zone, followers, now))
            .collect()
    }
}

fn zone_targets(
    region: &RegionName,
    zone: &ZoneName,
    followers: &BTreeMap<InstanceName, FollowerRecord>,
    now: Instant,
) -> ZoneTargets {
    let mut records: Vec<_> = followers.values().collect();
    records.sort_by_key(|record| std::cmp::Reverse(record.last_request_at));
    let recent =
        records.iter().filter(|record| now.duration_since(record.last_request_at) < PUSH_EXPIRY);
    let addresses = recent.take(MAX_PUSH_ATTEMPTS).map(|record| record.location.address).collect();
    let unconfirmed = records.iter().map(|record| UnconfirmedInstance {
        instance: record.location.instance.clone(),
        silent_ms: Some(millis(now.duration_since(record.last_request_at))),
    });
    let unconfirmed = ZoneReport {
        region: region.clone(),
        zone: zone.clone(),
        in_force: 0,
        silent: unconfirmed.collect(),
    };
    ZoneTargets { unconfirmed, addresses }
}
