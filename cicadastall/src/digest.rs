//! Digests that summarize a zone for other zones: their rows, rounding and senders.

use crate::{
    bulletin::{
        DigestPacket, DigestRefresh, NEGLIGIBLE_WAIT_MS, PoolCapacity, PoolKey, RowContent,
    },
    name::{InstanceName, ZoneName},
    table::{CapacityRow, ZoneDigest},
};
use smallvec::SmallVec;
use std::collections::{BTreeMap, BTreeSet};

/// Number of instances of one zone that send its digest to a given other zone.
pub const DELEGATES_PER_ZONE: usize = 2;

/// Rounds a wait in milliseconds up to a power of two; negligible waits become zero.
fn round_up_wait(wait_ms: f64) -> u32 {
    if wait_ms <= f64::from(NEGLIGIBLE_WAIT_MS) { 0 } else { wait_ms.log2().ceil().exp2() as u32 }
}

/// Selects the instances of `members` that send the digest of their zone to `target`.
///
/// Targets are assigned to the members round-robin, so that each member has about as many.
pub fn choose_delegates<'a>(
    members: &BTreeSet<&'a InstanceName>,
    zones: &BTreeSet<&ZoneName>,
    target: &ZoneName,
) -> SmallVec<[&'a InstanceName; DELEGATES_PER_ZONE]> {
    let Some(position) = zones.iter().position(|zone| *zone == target) else {
        return SmallVec::new();
    };
    let members: Vec<_> = members.iter().copied().collect();
    let mut delegates: SmallVec<[&InstanceName; DELEGATES_PER_ZONE]> = (0..DELEGATES_PER_ZONE)
        .filter_map(|delegate_index| {
            let index =
                (position * DELEGATES_PER_ZONE + delegate_index).checked_rem(members.len())?;
            members.get(index).copied()
        })
        .collect();
    delegates.dedup();
    delegates
}

/// Assembles a digest from the log rows of the instance that received it.
///
/// `handle` is the row of the zone. Returns `None` if that row is missing or of another kind.
pub(crate) fn assemble_digest(
    rows: &BTreeMap<u16, RowContent>,
    handle: u16,
    sequence: u64,
) -> Option<ZoneDigest> {
    let RowContent::Zone(zone_row) = rows.get(&handle)? else { return None };
    let capacity = rows.values().filter_map(|row| match row {
        RowContent::Capacity(pool_handle, capacity) => match rows.get(pool_handle)? {
            RowContent::Pool(zone, key) if *zone == handle => Some(capacity_row(key, capacity)),
            _ => None,
        },
        _ => None,
    });
    Some(ZoneDigest {
        region: zone_row.region.clone(),
        zone: zone_row.zone.clone(),
        sequence,
        entries: zone_row.entries.clone(),
        rows: capacity.collect(),
    })
}

/// Splits a digest row into its key and its rounded capacity.
pub(crate) fn split_capacity_row(row: &CapacityRow) -> (PoolKey, PoolCapacity) {
    let key = PoolKey { pool: row.pool.clone(), model: row.model.clone(), rank: row.rank };
    let capacity = PoolCapacity {
        upstreams: row.upstreams,
        prefill_tokens_per_s: row.prefill_tokens_per_s.round() as u32,
        wait_ms: round_up_wait(row.wait_ms),
    };
    (key, capacity)
}

/// Rounds the values of a row as they are rounded in the log.
pub(crate) fn round_capacity_row(row: &CapacityRow) -> CapacityRow {
    let (key, capacity) = split_capacity_row(row);
    capacity_row(&key, &capacity)
}

/// Capacities of `new` that differ from those of `old`, with their row positions; `None` if
/// anything else changed.
pub(crate) fn find_capacity_changes(
    old: &DigestPacket,
    new: &DigestPacket,
) -> Option<Vec<(u16, PoolCapacity)>> {
    let layout = |packet: &DigestPacket| {
        let digest = &packet.digest;
        let rows = digest.rows.iter().map(|row| split_capacity_row(row).0);
        let keys: Vec<_> = rows.collect();
        (digest.zone.clone(), digest.entries.clone(), packet.contacts.clone(), keys)
    };
    if layout(old) != layout(new) {
        return None;
    }
    let rows = old.digest.rows.iter().zip(&new.digest.rows).enumerate();
    let changes = rows.filter_map(|(index, (old, new))| {
        let (old, new) = (split_capacity_row(old).1, split_capacity_row(new).1);
        (new != old).then(|| Some((u16::try_from(index).ok()?, new)))
    });
    changes.collect()
}

/// Applies `refresh` to the full digest in `base`.
pub(crate) fn apply_refresh(base: &DigestPacket, refresh: DigestRefresh) -> DigestPacket {
    let mut packet = base.clone();
    packet.digest.sequence = refresh.sequence;
    packet.elsewhere = None;
    for (index, capacity) in refresh.rows {
        if let Some(row) = packet.digest.rows.get_mut(usize::from(index)) {
            *row = capacity_row(&split_capacity_row(row).0, &capacity);
        }
    }
    packet
}

fn capacity_row(key: &PoolKey, capacity: &PoolCapacity) -> CapacityRow {
    CapacityRow {
        pool: key.pool.clone(),
        model: key.model.clone(),
        rank: key.rank,
        upstreams: capacity.upstreams,
        prefill_tokens_per_s: f64::from(capacity.prefill_tokens_per_s),
        wait_ms: f64::from(capacity.wait_ms),
    }
}
