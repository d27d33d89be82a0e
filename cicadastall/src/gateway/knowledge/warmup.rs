//! Limits the rate of requests to upstreams that have just started.
//!
//! A cold upstream tolerates few requests per second from all entries together, and the entries may be
//! unable to communicate. Therefore only one entry of the region sends to it, which all entries find
//! with the same hash. Entries that know different members may choose different senders.

use crate::name::{InstanceName, UpstreamName};
use std::{
    hash::{DefaultHasher, Hash, Hasher},
    time::Duration,
};

/// Fraction of the tolerated rate that the sending entries use, so that two senders that do not know of
/// each other stay within 1.5 times the rate plus a few requests.
pub(in crate::gateway) const RATE_FRACTION: f64 = 0.7;

/// Returns the entry that sends to `upstream` while it is cold; `None` without entries.
pub fn choose_sender<'a>(
    entries: &'a [InstanceName],
    upstream: &UpstreamName,
    started_ms: u64,
) -> Option<&'a InstanceName> {
    entries.iter().max_by_key(|entry| hash_pair(entry.as_str(), (upstream.as_str(), started_ms)))
}

/// Time between two requests to a cold upstream that tolerates `per_s` requests per second; `None` if it
/// tolerates none.
pub fn send_interval(per_s: f64) -> Option<Duration> {
    (per_s > 0.0).then(|| Duration::try_from_secs_f64(1.0 / (per_s * RATE_FRACTION)).ok()).flatten()
}

/// Hashes both values to the same number in every process.
pub fn hash_pair(first: impl Hash, second: impl Hash) -> u64 {
    // Unlike `RandomState`, `DefaultHasher::new` uses fixed keys.
    let mut hasher = DefaultHasher::new();
    first.hash(&mut hasher);
    second.hash(&mut hasher);
    hasher.finish()
}
