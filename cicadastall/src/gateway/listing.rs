//! Selection of the entries that a caller should use.

use crate::{
    gateway::control_call::CallerLocation,
    name::{RegionName, ZoneName},
    table::{EntryRecord, EntryState},
};
use rand::seq::SliceRandom;
use std::{collections::BTreeMap, net::SocketAddr};

/// Number of listed entries below which the next more distant ones are added.
const MIN_LISTED_ENTRIES: usize = 2;

/// Maximum number of entries in a listing.
const MAX_LISTED_ENTRIES: usize = 64;

/// Distance of the farthest listed entry from the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ListingReach {
    /// In the caller's zone.
    Zone,
    /// In the caller's region.
    Region,
    /// In another region.
    Elsewhere,
}

impl ListingReach {
    const ALL: [Self; 3] = [Self::Zone, Self::Region, Self::Elsewhere];

    /// Value of the reach in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Zone => "zone",
            Self::Region => "region",
            Self::Elsewhere => "elsewhere",
        }
    }
}

/// Entries listed for a caller.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct NearbyEntries {
    /// Addresses; those at the same distance are in random order.
    pub addresses: Vec<SocketAddr>,
    /// Distance of the farthest of them; none if there are none.
    pub reach: Option<ListingReach>,
}

/// Serving entries near `location`: those of its zone, then those of its region, then all others,
/// until there are enough.
pub fn list_near<'a>(
    entries: impl IntoIterator<Item = &'a EntryRecord>,
    location: &CallerLocation,
    zones: &BTreeMap<ZoneName, RegionName>,
) -> NearbyEntries {
    let mut found: BTreeMap<ListingReach, Vec<SocketAddr>> = BTreeMap::new();
    for entry in entries.into_iter().filter(|entry| entry.state == EntryState::Serving) {
        if let Some(address) = entry.caller_address {
            found.entry(distance(entry, location, zones)).or_default().push(address);
        }
    }
    let mut listed = NearbyEntries::default();
    for reach in ListingReach::ALL {
        if listed.addresses.len() >= MIN_LISTED_ENTRIES {
            break;
        }
        let Some(mut addresses) = found.remove(&reach) else { continue };
        addresses.shuffle(&mut rand::rng());
        listed.addresses.extend(addresses);
        listed.reach = Some(reach);
    }
    listed.addresses.truncate(MAX_LISTED_ENTRIES);
    listed
}

fn distance(
    entry: &EntryRecord,
    location: &CallerLocation,
    zones: &BTreeMap<ZoneName, RegionName>,
) -> ListingReach {
    let by_zone = location.zone.as_ref().and_then(|zone| zones.get(zone));
    let region = by_zone.or(location.region.as_ref());
    if location.zone.as_ref() == Some(&entry.zone) {
        ListingReach::Zone
    } else if region == Some(&entry.region) {
        ListingReach::Region
    } else {
        ListingReach::Elsewhere
    }
}
