//! Which instances ask a control instance for settings, by availability zone.

use crate::{
    clock::millis,
    name::{InstanceName, RegionName, ZoneName},
    settings_peer::{FollowerLocation, UnconfirmedInstance, ZoneReport},
};
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};
use tokio::time::Instant;

/// Time after its last question at which a follower gets no pushed updates.
const FOLLOWER_EXPIRY: Duration = Duration::from_secs(5);

/// Time for which a silent follower is remembered.
const FOLLOWER_MEMORY: Duration = Duration::from_secs(24 * 3_600);

/// Most followers that are remembered for one zone.
const ZONE_FOLLOWERS: usize = 8;

/// Most followers of one zone to which an update is pushed one after the other.
const PUSH_ATTEMPTS: usize = 2;

#[derive(Debug, Clone)]
struct FollowerView {
    place: FollowerLocation,
    heard_at: Instant,
}

/// Followers of one control instance.
#[derive(Debug, Default)]
pub(crate) struct FollowerTable {
    zones: BTreeMap<(RegionName, ZoneName), BTreeMap<InstanceName, FollowerView>>,
}

/// A zone with the followers that may take an update for it.
#[derive(Debug, Clone)]
pub(crate) struct ZoneTargets {
    /// What to report if no follower confirms.
    pub(crate) silent: ZoneReport,
    /// Addresses of followers, the one heard of last first; none if the zone is cut off.
    pub(crate) addresses: Vec<SocketAddr>,
}

impl FollowerTable {
    /// Notes that an instance asked.
    pub(crate) fn note(&mut self, place: FollowerLocation, now: Instant) {
        let key = (place.region.clone(), place.zone.clone());
        let zone = self.zones.entry(key).or_default();
        zone.insert(place.instance.clone(), FollowerView { place, heard_at: now });
        zone.retain(|_, view| now.duration_since(view.heard_at) < FOLLOWER_MEMORY);
        while zone.len() > ZONE_FOLLOWERS {
            let oldest = zone.iter().min_by_key(|(_, view)| view.heard_at);
            let Some(oldest) = oldest.map(|(name, _)| name.clone()) else { break };
            zone.remove(&oldest);
        }
    }

    /// Zones to which updates go.
    pub(crate) fn targets(&self, now: Instant) -> Vec<ZoneTargets> {
        let zones = self.zones.iter().filter(|(_, followers)| !followers.is_empty());
        zones
            .map(|((region, zone), followers)| make_targets(region, zone, followers, now))
            .collect()
    }
}

fn make_targets(
    region: &RegionName,
    zone: &ZoneName,
    followers: &BTreeMap<InstanceName, FollowerView>,
    now: Instant,
) -> ZoneTargets {
    let mut views: Vec<_> = followers.values().collect();
    views.sort_by_key(|view| std::cmp::Reverse(view.heard_at));
    let fresh = views.iter().filter(|view| now.duration_since(view.heard_at) < FOLLOWER_EXPIRY);
    let addresses = fresh.take(PUSH_ATTEMPTS).map(|view| view.place.address).collect();
    let silent = views.iter().map(|view| UnconfirmedInstance {
        instance: view.place.instance.clone(),
        silent_ms: Some(millis(now.duration_since(view.heard_at))),
    });
    let silent = ZoneReport {
        region: region.clone(),
        zone: zone.clone(),
        in_force: 0,
        silent: silent.collect(),
    };
    ZoneTargets { silent, addresses }
}
