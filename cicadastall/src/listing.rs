//! Listing of entries for callers, ordered by weight.

use crate::{
    members::MemberTable,
    table::{EntryRecord, EntryState},
    wire::{EntriesReply, EntryListing},
};
use std::time::Duration;
use tokio::time::Instant;

/// Time for which a caller may use a listing of entries.
pub const LISTING_LIFETIME: Duration = Duration::from_secs(2);

/// An entry is overloaded if its requests in flight exceed this multiple of the zone's mean.
const OVERLOAD_FACTOR: f64 = 3.0;

/// Number of requests in flight up to which no entry counts as overloaded.
const MIN_OVERLOAD_REQUESTS: u32 = 32;

/// Weight of an entry in another zone, relative to an idle entry of this zone.
const REMOTE_WEIGHT: f64 = 0.01;

/// Lists the serving entries: those of the own zone by weight, then some of other zones.
///
/// Entries that are draining, suspected of failure, or overloaded relative to the others are left
/// out.
pub fn list_entries(members: &MemberTable, now: Instant) -> EntriesReply {
    let own = members.own();
    let serving = |record: &EntryRecord| record.state == EntryState::Serving;
    let records: Vec<_> = members.entries().chain([own.clone()]).filter(serving).collect();
    let threshold = overload_threshold(&records);
    let accepted = records.iter().filter(|record| f64::from(record.in_flight) <= threshold);
    let mut entries: Vec<_> = accepted.filter_map(entry_listing).collect();
    entries.sort_by(|a, b| b.weight.total_cmp(&a.weight).then(a.instance.cmp(&b.instance)));
    entries.extend(list_remote_entries(members, now));
    if entries.is_empty() && own.state == EntryState::Starting {
        entries.extend(entry_listing(own));
    }
    EntriesReply { entries, lifetime_ms: LISTING_LIFETIME.as_millis() as u64 }
}

/// Number of requests in flight above which an entry is overloaded.
fn overload_threshold(records: &[EntryRecord]) -> f64 {
    let callers = records.iter().filter(|record| record.caller_address.is_some());
    let loads: Vec<_> = callers.map(|record| f64::from(record.in_flight)).collect();
    let mean = loads.iter().sum::<f64>() / loads.len().max(1) as f64;
    (mean * OVERLOAD_FACTOR).max(f64::from(MIN_OVERLOAD_REQUESTS))
}

fn entry_listing(record: &EntryRecord) -> Option<EntryListing> {
    Some(EntryListing {
        instance: record.instance.clone(),
        zone: record.zone.clone(),
        address: record.caller_address?,
        weight: 1.0 / f64::from(record.in_flight + 1),
    })
}

fn list_remote_entries(members: &MemberTable, now: Instant) -> Vec<EntryListing> {
    let zones = members.make_table(now).zones;
    let digests = zones.values().map(|view| &view.digest);
    let rows = digests.flat_map(|digest| {
        digest.entries.iter().map(|address| EntryListing {
            instance: format!("{}/{address}", digest.zone).as_str().into(),
            zone: digest.zone.clone(),
            address: *address,
            weight: REMOTE_WEIGHT,
        })
    });
    rows.collect()
}
