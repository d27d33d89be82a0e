//! Summary of an availability zone's capacity for the digest that other zones receive.

use crate::{
    name::{ModelName, PoolName},
    prefix::PromptShape,
    route::{
        INITIAL_MEAN_ANSWER_TOKENS, UPSTREAM_EXPIRY,
        prediction::{PredictionInput, predict},
    },
    settings::Rank,
    table::{CapacityRow, RoutingTable, UpstreamState, UpstreamView},
};
use std::collections::BTreeMap;
use tokio::time::Instant;

/// One row per pool, model and rank of the upstreams that accept new work.
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
        ranks.map(|rank| summarize_group(&key.0, key.1.as_ref(), views, rank, now))
    });
    rows.collect()
}

fn summarize_group(
    pool: &PoolName,
    model: Option<&ModelName>,
    views: &[&UpstreamView],
    rank: Rank,
    now: Instant,
) -> CapacityRow {
    let rates = views.iter().map(|view| view.record.rates.prefill_tokens_per_s);
    let shape = PromptShape::default();
    let input = PredictionInput {
        shape: &shape,
        rank,
        uncached_tokens: 0,
        sent: &[],
        latency_ratio: 1.0,
        refill_fraction: 0.0,
        mean_answer_tokens: INITIAL_MEAN_ANSWER_TOKENS,
    };
    let waits = views.iter().map(|view| predict(view, &input, now).wait.as_secs_f64());
    CapacityRow {
        pool: pool.clone(),
        model: model.cloned(),
        rank,
        upstreams: views.len() as u32,
        prefill_tokens_per_s: rates.sum(),
        wait_ms: waits.sum::<f64>() / views.len() as f64 * 1_000.0,
    }
}
