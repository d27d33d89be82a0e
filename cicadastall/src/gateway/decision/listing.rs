//! Selection of the entries that a caller should use.
//!
//! Callers are led to serving entries near them. If requests to their host have homes, callers are
//! led to their own region or to a home as long as an entry there is starting, serving or stopping.

use crate::{
    gateway::{
        decision::entry_weight::{WeighedEntry, select_weighed},
        document::routes::HostHomes,
        knowledge::entry_capacity::EntryWeights,
    },
    name::{RegionName, ZoneName},
    table::{EntryRecord, EntryState},
};
use rand::seq::SliceRandom;
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc};

/// Location of a caller that asks for entries.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallerLocation {
    /// Region.
    pub region: Option<RegionName>,
    /// Availability zone.
    pub zone: Option<ZoneName>,
    /// Host to which its requests go.
    pub host: Option<Arc<str>>,
}

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
    /// In a home of the requests.
    Home,
    /// In another region.
    Elsewhere,
}

impl ListingReach {
    /// Value of the reach in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Zone => "zone",
            Self::Region => "region",
            Self::Home => "home",
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

/// What decides which entries a caller may be led to.
#[derive(Debug, Clone, Copy)]
pub struct ListingInput<'a> {
    /// Where the caller is.
    pub location: &'a CallerLocation,
    /// Homes of the requests to the caller's host.
    pub homes: &'a HostHomes,
    /// Regions of the zones.
    pub zones: &'a BTreeMap<ZoneName, RegionName>,
    /// Whether all live entries are known. An instance that has just started knows only some.
    pub complete: bool,
}

type EntriesByDistance = BTreeMap<ListingReach, Vec<WeighedEntry>>;

/// How often entries of unequal capacity are listed.
#[derive(Debug, Clone, Copy)]
pub struct ListingShare<'a> {
    /// Weights of the entries; all of them are listed where the weights are equal.
    pub weights: &'a EntryWeights,
    /// Number from 0 to 1 that decides which smaller entries are listed; the same for all listings of one
    /// caller.
    pub offset: f64,
}

/// Serving entries near the caller, the nearest first, until there are enough.
///
/// If none serves where the requests may be served, entries there that are starting are listed, or
/// else those that are stopping, which still accept callers for a short time.
pub fn list_near<'a>(
    entries: impl IntoIterator<Item = &'a EntryRecord>,
    input: &ListingInput<'_>,
) -> NearbyEntries {
    let share = ListingShare { weights: &EntryWeights::default(), offset: 0.0 };
    list_near_by_weight(entries, input, &share)
}

/// Like [`list_near`], with each entry in a share of the listings that follows its weight. At least
/// [`MIN_LISTED_ENTRIES`] are listed if there are as many.
pub fn list_near_by_weight<'a>(
    entries: impl IntoIterator<Item = &'a EntryRecord>,
    input: &ListingInput<'_>,
    share: &ListingShare<'_>,
) -> NearbyEntries {
    let mut found: BTreeMap<EntryState, EntriesByDistance> = BTreeMap::new();
    for entry in entries {
        if let Some(address) = entry.caller_address {
            let distances = found.entry(entry.state).or_default();
            let weight = share.weights.weight(&entry.instance);
            let entry_distance = distance(entry, input);
            distances.entry(entry_distance).or_default().push(WeighedEntry { address, weight });
        }
    }
    let farthest = if input.homes.bound { ListingReach::Home } else { ListingReach::Elsewhere };
    let mut listed = NearbyEntries::default();
    for state in [EntryState::Serving, EntryState::Starting, EntryState::Draining] {
        if listed.addresses.is_empty()
            && let Some(distances) = found.get(&state)
        {
            listed = select_nearest(distances, ListingReach::Zone, farthest, share);
        }
    }
    if listed.addresses.is_empty()
        && input.homes.unbound
        && input.complete
        && let Some(distances) = found.get(&EntryState::Serving)
    {
        let elsewhere = ListingReach::Elsewhere;
        listed = select_nearest(distances, elsewhere, elsewhere, share);
    }
    listed.addresses.truncate(MAX_LISTED_ENTRIES);
    listed
}

/// Entries at the distances from `nearest` to `farthest`, until there are enough.
fn select_nearest(
    distances: &EntriesByDistance,
    nearest: ListingReach,
    farthest: ListingReach,
    share: &ListingShare<'_>,
) -> NearbyEntries {
    let mut listed = NearbyEntries::default();
    for (reach, entries) in distances.range(nearest..=farthest) {
        if listed.addresses.len() >= MIN_LISTED_ENTRIES {
            break;
        }
        let start = listed.addresses.len();
        match share.weights.are_equal() {
            true => listed.addresses.extend(entries.iter().map(|entry| entry.address)),
            false => {
                let least = MIN_LISTED_ENTRIES.saturating_sub(start);
                listed.addresses.extend(select_weighed(entries, share.offset, least));
            }
        }
        listed.addresses[start..].shuffle(&mut rand::rng());
        listed.reach = Some(*reach);
    }
    listed
}

fn distance(entry: &EntryRecord, input: &ListingInput<'_>) -> ListingReach {
    let location = input.location;
    let by_zone = location.zone.as_ref().and_then(|zone| input.zones.get(zone));
    let region = by_zone.or(location.region.as_ref());
    if location.zone.as_ref() == Some(&entry.zone) {
        ListingReach::Zone
    } else if region == Some(&entry.region) {
        ListingReach::Region
    } else if input.homes.common.contains(&entry.region) {
        ListingReach::Home
    } else {
        ListingReach::Elsewhere
    }
}
