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

/// Addresses of serving entries near `location`: those of its zone, then those of its region, then
/// all others, until there are enough. Entries at the same distance are in random order.
pub fn list_near<'a>(
    entries: impl IntoIterator<Item = &'a EntryRecord>,
    location: &CallerLocation,
    zones: &BTreeMap<ZoneName, RegionName>,
) -> Vec<SocketAddr> {
    let mut nearby: [Vec<SocketAddr>; 3] = Default::default();
    for entry in entries.into_iter().filter(|entry| entry.state == EntryState::Serving) {
        if let Some(address) = entry.caller_address {
            nearby[distance(entry, location, zones)].push(address);
        }
    }
    let mut listed: Vec<SocketAddr> = Vec::new();
    for mut addresses in nearby {
        if listed.len() >= MIN_LISTED_ENTRIES {
            break;
        }
        addresses.shuffle(&mut rand::rng());
        listed.extend(addresses);
    }
    listed.truncate(MAX_LISTED_ENTRIES);
    listed
}

/// Distance of an entry: 0 in the caller's zone, 1 in its region, 2 elsewhere.
fn distance(
    entry: &EntryRecord,
    location: &CallerLocation,
    zones: &BTreeMap<ZoneName, RegionName>,
) -> usize {
    let by_zone = location.zone.as_ref().and_then(|zone| zones.get(zone));
    let region = by_zone.or(location.region.as_ref());
    if location.zone.as_ref() == Some(&entry.zone) {
        0
    } else if region == Some(&entry.region) {
        1
    } else {
        2
    }
}
