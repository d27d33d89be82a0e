//! Selection of entries in shares that follow their weights.

use std::net::SocketAddr;

/// An entry that may be listed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WeighedEntry {
    /// Its address.
    pub address: SocketAddr,
    /// Its weight, at most 1.
    pub weight: f64,
}

/// Selects each of `entries` in a share of the possible values of `offset` that is its weight relative to
/// the largest, and at least `least` of them.
///
/// `offset` is from 0 to 1. The number of selected entries hardly depends on it, so the entries that are
/// selected beside a small one do not get more than their share. The same offset selects the same entries
/// as long as they do not change.
pub fn select_weighed(entries: &[WeighedEntry], offset: f64, least: usize) -> Vec<SocketAddr> {
    let largest = entries.iter().map(|entry| entry.weight).fold(f64::EPSILON, f64::max);
    let mut sorted = entries.to_vec();
    sorted.sort_unstable_by_key(|entry| entry.address);
    let mut passed = offset;
    let (mut selected, mut others) = (Vec::new(), Vec::new());
    for entry in sorted {
        let weight = entry.weight / largest;
        let before = passed.floor();
        passed += weight;
        match weight >= 1.0 || passed.floor() > before {
            true => selected.push(entry.address),
            false => others.push(entry),
        }
    }
    others.sort_by(|first, second| second.weight.total_cmp(&first.weight));
    let missing = least.saturating_sub(selected.len());
    selected.extend(others.into_iter().take(missing).map(|entry| entry.address));
    selected
}
