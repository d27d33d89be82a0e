//! Summaries of a zone for others: their rows, their rounding, and who sends them.

use crate::{
    bulletin::{PoolCapacity, PoolKey, RowContent},
    name::{InstanceName, ModelName, PoolName, ZoneName},
    settings::Rank,
    table::{CapacityRow, UpstreamRecord, UpstreamState, ZoneDigest},
};
use smallvec::SmallVec;
use std::collections::{BTreeMap, BTreeSet};

/// Instances of one zone that send its summary to another zone.
pub const DELEGATES: usize = 2;

type CapacityKey = (PoolName, Option<ModelName>);

/// Capacity of `upstreams` by pool and model.
///
/// Load reports don't tell ranks apart, so that the wait holds for the urgent rank as an upper
/// bound.
pub fn sum_capacity<'a>(upstreams: impl Iterator<Item = &'a UpstreamRecord>) -> Vec<CapacityRow> {
    let mut rows: BTreeMap<CapacityKey, (CapacityRow, u64)> = BTreeMap::new();
    for record in upstreams.filter(|record| record.state == UpstreamState::Serving) {
        add_upstream(&mut rows, record);
    }
    rows.into_values().map(|(row, tokens)| finish_row(row, tokens)).collect()
}

fn add_upstream(rows: &mut BTreeMap<CapacityKey, (CapacityRow, u64)>, record: &UpstreamRecord) {
    let mut models: SmallVec<[Option<ModelName>; 4]> =
        record.models.iter().cloned().map(Some).collect();
    if models.is_empty() {
        models.push(None);
    }
    for model in models {
        let (row, tokens) = rows.entry((record.pool.clone(), model.clone())).or_insert((
            CapacityRow {
                pool: record.pool.clone(),
                model,
                rank: Rank::Urgent,
                upstreams: 0,
                prefill_tokens_per_s: 0.0,
                wait_ms: 0.0,
            },
            0,
        ));
        row.upstreams += 1;
        row.prefill_tokens_per_s += record.rates.prefill_tokens_per_s;
        *tokens += record.load.queued_prompt_tokens;
    }
}

fn finish_row(mut row: CapacityRow, queued_tokens: u64) -> CapacityRow {
    if row.prefill_tokens_per_s > 0.0 {
        row.wait_ms = queued_tokens as f64 * 1_000.0 / row.prefill_tokens_per_s;
    }
    row
}

/// Rounds a wait in milliseconds up to a power of two; waits under 16 ms count as none.
fn round_wait(wait_ms: f64) -> u32 {
    if wait_ms < 16.0 { 0 } else { wait_ms.log2().ceil().exp2() as u32 }
}

/// The instances of `members` that send the summary of their zone to `target`.
///
/// The duties for all targets are dealt to the members in turn, so that each has about as many.
pub fn choose_delegates<'a>(
    members: &BTreeSet<&'a InstanceName>,
    zones: &BTreeSet<&ZoneName>,
    target: &ZoneName,
) -> SmallVec<[&'a InstanceName; DELEGATES]> {
    let Some(position) = zones.iter().position(|zone| *zone == target) else {
        return SmallVec::new();
    };
    let members: Vec<_> = members.iter().copied().collect();
    let mut delegates: SmallVec<[&InstanceName; DELEGATES]> = (0..DELEGATES)
        .filter_map(|turn| {
            let index = (position * DELEGATES + turn).checked_rem(members.len())?;
            members.get(index).copied()
        })
        .collect();
    delegates.dedup();
    delegates
}

/// Puts a digest together from the log rows of the instance that received it.
pub(crate) fn scan_digest(
    rows: &BTreeMap<u16, RowContent>,
    handle: u16,
    sequence: u64,
) -> Option<ZoneDigest> {
    let RowContent::Zone(place) = rows.get(&handle)? else { return None };
    let capacity = rows.values().filter_map(|row| match row {
        RowContent::Capacity(of, capacity) => match rows.get(of)? {
            RowContent::Pool(zone, key) if *zone == handle => Some(join_row(key, capacity)),
            _ => None,
        },
        _ => None,
    });
    Some(ZoneDigest {
        region: place.region.clone(),
        zone: place.zone.clone(),
        sequence,
        entries: place.entries.clone(),
        rows: capacity.collect(),
    })
}

/// The names and the rounded figures of one row of a digest.
pub(crate) fn split_row(row: &CapacityRow) -> (PoolKey, PoolCapacity) {
    let key = PoolKey { pool: row.pool.clone(), model: row.model.clone(), rank: row.rank };
    let capacity = PoolCapacity {
        upstreams: row.upstreams,
        prefill_tokens_per_s: row.prefill_tokens_per_s.round() as u32,
        wait_ms: round_wait(row.wait_ms),
    };
    (key, capacity)
}

fn join_row(key: &PoolKey, capacity: &PoolCapacity) -> CapacityRow {
    CapacityRow {
        pool: key.pool.clone(),
        model: key.model.clone(),
        rank: key.rank,
        upstreams: capacity.upstreams,
        prefill_tokens_per_s: f64::from(capacity.prefill_tokens_per_s),
        wait_ms: f64::from(capacity.wait_ms),
    }
}
