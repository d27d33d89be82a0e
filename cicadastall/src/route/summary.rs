//! Capacity of one availability zone as its digest tells it to other zones.

use crate::{
    name::{ModelName, PoolName},
    route::UPSTREAM_EXPIRY,
    settings::Rank,
    table::{CapacityRow, RoutingTable, UpstreamState, UpstreamView},
};
use std::collections::BTreeMap;
use tokio::time::Instant;

/// One row for each pool, model and rank of the upstreams that take new work.
pub fn summarize_capacity(table: &RoutingTable, now: Instant) -> Vec<CapacityRow> {
    let mut groups: BTreeMap<(PoolName, Option<ModelName>), Vec<&UpstreamView>> = BTreeMap::new();
    for view in table.upstreams.values() {
        let fresh = now.saturating_duration_since(view.renewed_at) < UPSTREAM_EXPIRY;
        if !fresh || view.record.state != UpstreamState::Serving {
            continue;
        }
        let pool = &view.record.pool;
        if view.record.models.is_empty() {
            groups.entry((pool.clone(), None)).or_default().push(view);
        }
        for model in &view.record.models {
            groups.entry((pool.clone(), Some(model.clone()))).or_default().push(view);
        }
    }
    let ranks = [Rank::Urgent, Rank::Patient];
    let rows = groups.iter().flat_map(|(key, views)| {
        ranks.map(|rank| summarize_group(&key.0, key.1.as_ref(), views, rank))
    });
    rows.collect()
}

fn summarize_group(
    pool: &PoolName,
    model: Option<&ModelName>,
    views: &[&UpstreamView],
    rank: Rank,
) -> CapacityRow {
    let rates = views.iter().map(|view| view.record.rates.prefill_tokens_per_s);
    CapacityRow {
        pool: pool.clone(),
        model: model.cloned(),
        rank,
        upstreams: views.len() as u32,
        prefill_tokens_per_s: rates.sum(),
        wait_ms: 0.0,
    }
}
