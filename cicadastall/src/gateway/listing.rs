//! Which entries a caller should use.

use crate::{
    gateway::control_call::CallerLocation,
    name::{RegionName, ZoneName},
    table::{EntryRecord, EntryState},
};
use rand::seq::SliceRandom;
use std::{collections::BTreeMap, net::SocketAddr};

/// Entries of a caller's own zone below which it is told of others too.
const MIN_LISTED_ENTRIES: usize = 2;

/// Most entries of a listing.
const MAX_LISTED_ENTRIES: usize = 64;

/// Serving entries near `location`, in random order: those of its zone, then those of its region, then
/// all others, until there are enough.
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

/// Whether an entry is in the caller's zone (0), in its region (1) or elsewhere (2).
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
