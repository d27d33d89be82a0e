//! Summaries of a zone for others: their rows, their rounding, and who sends them.

use crate::{
    bulletin::{
        DigestPacket, DigestRefresh, NEGLIGIBLE_WAIT_MS, PoolCapacity, PoolKey, RowContent,
    },
    name::{InstanceName, ZoneName},
    table::{CapacityRow, ZoneDigest},
};
use smallvec::SmallVec;
use std::collections::{BTreeMap, BTreeSet};

/// Instances of one zone that send its summary to another zone.
pub const DELEGATES_PER_ZONE: usize = 2;

/// Rounds a wait in milliseconds up to a power of two; short ones count as none.
fn round_up_wait(wait_ms: f64) -> u32 {
    if wait_ms <= f64::from(NEGLIGIBLE_WAIT_MS) { 0 } else { wait_ms.log2().ceil().exp2() as u32 }
}

/// The instances of `members` that send the summary of their zone to `target`.
///
/// The duties for all targets are dealt to the members in turn, so that each has about as many.
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

/// Puts a digest together from the log rows of the instance that received it.
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

/// The names and the rounded figures of one row of a digest.
pub(crate) fn split_capacity_row(row: &CapacityRow) -> (PoolKey, PoolCapacity) {
    let key = PoolKey { pool: row.pool.clone(), model: row.model.clone(), rank: row.rank };
    let capacity = PoolCapacity {
        upstreams: row.upstreams,
        prefill_tokens_per_s: row.prefill_tokens_per_s.round() as u32,
        wait_ms: round_up_wait(row.wait_ms),
    };
    (key, capacity)
}

/// The row with its figures rounded as in the log.
pub(crate) fn round_capacity_row(row: &CapacityRow) -> CapacityRow {
    let (key, capacity) = split_capacity_row(row);
    capacity_row(&key, &capacity)
}

/// Capacities of `new` that differ from those of `old`; none if anything else changed.
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

/// The digest that `refresh` makes of the one in `base`.
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
