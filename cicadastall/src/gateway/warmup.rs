//! Who sends to an upstream that has just started, and how often.
//!
//! A cold upstream tolerates few requests a second from all entries together, which may be unable to
//! talk to each other. So one entry of the region sends to it, which all of them find by the same
//! hash; where two entries know different members, both may send at the same time.

use crate::name::{InstanceName, UpstreamName};
use std::{
    hash::{DefaultHasher, Hash, Hasher},
    time::Duration,
};

/// Part of the tolerated pace that the sending entry uses, so that two that do not know of each other
/// stay within half as much again, and some on top.
const RATE_FRACTION: f64 = 0.7;

/// The entry that sends to `upstream` while it is cold.
pub fn choose_sender<'a>(
    entries: &'a [InstanceName],
    upstream: &UpstreamName,
    started_ms: u64,
) -> Option<&'a InstanceName> {
    entries.iter().max_by_key(|entry| hash_pair(entry.as_str(), (upstream.as_str(), started_ms)))
}

/// Time between two requests to a cold upstream that tolerates `per_s` a second; none where it
/// tolerates none at all.
pub fn send_interval(per_s: f64) -> Option<Duration> {
    (per_s > 0.0).then(|| Duration::try_from_secs_f64(1.0 / (per_s * RATE_FRACTION)).ok()).flatten()
}

/// A number that depends on both values, the same in every process.
pub fn hash_pair(first: impl Hash, second: impl Hash) -> u64 {
    // The keys of this hasher are fixed.
    let mut hasher = DefaultHasher::new();
    first.hash(&mut hasher);
    second.hash(&mut hasher);
    hasher.finish()
}
