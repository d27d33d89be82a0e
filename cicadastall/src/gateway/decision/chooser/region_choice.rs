//! Choice of another region, if that costs less than any upstream of this one.

use crate::{
    gateway::decision::{
        choice::{ChoiceBasis, ChoiceInput, UpstreamChoice},
        chooser::{FIRST_TOKEN_DEADLINE_FRACTION, UpstreamChooser},
        fair_order::{BeginTimes, FlowStanding},
        score::{RECOMPUTE_COST, lateness_cost, shared_tokens, stall_cost},
        tracker::UpstreamTracker,
    },
    name::RegionName,
};
use rand::RngExt;
use std::net::SocketAddr;

/// Estimated fraction of the shared prompt that an upstream of another region has cached for its own
/// callers.
const REMOTE_CACHED_FRACTION: f64 = 0.8;

/// Cost of forwarding to another region, for the bytes and the work of its entry.
const CROSS_REGION_COST: f64 = 0.12;

/// Time that forwarding to another region adds to the first token, in milliseconds.
const CROSS_REGION_MS: f64 = 125.0;

impl UpstreamChooser {
    /// The region with the lowest cost, if that is lower than `local_cost` and the answer can be expected
    /// in time.
    pub(super) fn choose_region(
        &mut self,
        input: &ChoiceInput<'_>,
        local_cost: f64,
    ) -> Option<UpstreamChoice> {
        let call = input.call;
        let mut best: Option<(f64, f64, ChoiceBasis, &RegionName, &[SocketAddr])> = None;
        for (region, (summary, at)) in &input.load.regions {
            let pool = summary.pools.iter().find(|pool| pool.pool == call.pool);
            let Some(pool) = pool.filter(|pool| pool.serving > 0) else { continue };
            let tried = input.tried.regions.contains(region);
            let unreachable = self.unreachable.get(region).is_some_and(|until| input.now < *until);
            let has_version =
                input.software.is_none_or(|software| pool.versions.contains(software));
            if tried
                || unreachable
                || !has_version
                || summary.entries.is_empty()
                || !call.allows_region(region)
            {
                continue;
            }
            let backlog_ms = f64::from(pool.backlog_ms);
            let shared = f64::from(shared_tokens(&call.head));
            let reread =
                if call.route.affinity { shared * (1.0 - REMOTE_CACHED_FRACTION) } else { shared };
            let unread = call.head.prompt_tokens.saturating_sub((shared - reread) as u32);
            let stream = call.repeat().is_stream();
            let fresh = match self.measured {
                true => UpstreamTracker::measured(0, pool.mean_speed()),
                false => UpstreamTracker::new(0),
            };
            let service_ms = match stream {
                true => fresh.first_token_ms(unread),
                false => fresh.answer_ms(false),
            };
            let excess_requests = (f64::from(pool.requests) + 1.0 - f64::from(pool.slots)).max(0.0);
            let queue_ms = excess_requests * fresh.answer_ms(stream) / f64::from(pool.slots.max(1));
            let predicted_ms = CROSS_REGION_MS + backlog_ms + queue_ms + service_ms;
            if self.order.is_some() && input.exclusive {
                let times = BeginTimes {
                    elapsed_ms: (input.now - call.received_at).as_secs_f64() * 1_000.0,
                    target_ms: call.route.target_ms as f64,
                    wait_ms: backlog_ms + queue_ms,
                    first_token_ms: predicted_ms,
                    next_first_token_ms: predicted_ms,
                };
                if times.excess_ms(FlowStanding::Within) > 0.0 {
                    continue;
                }
            }
            let target_ratio = predicted_ms / (call.route.target_ms.max(1) as f64);
            let prefill_run_ms = backlog_ms
                + match self.measured {
                    true => fresh.read_ms(unread),
                    false => UpstreamTracker::prefill_ms(unread),
                };
            let streams = f64::from(pool.requests) / f64::from(pool.serving);
            let cost = CROSS_REGION_COST
                + lateness_cost(target_ratio)
                + stall_cost(prefill_run_ms, streams)
                + reread / 1_000.0 * RECOMPUTE_COST;
            if cost < local_cost && best.as_ref().is_none_or(|best| cost < best.0) {
                let basis = ChoiceBasis {
                    predicted_ms: predicted_ms as u32,
                    loss: (cost * 1_000.0) as u32,
                    unread,
                    requests: pool.requests,
                    told_ms: (input.now - *at).as_millis() as u32,
                    ..ChoiceBasis::default()
                };
                best = Some((cost, predicted_ms, basis, region, &summary.entries));
            }
        }
        let (_, predicted_ms, basis, region, entries) = best?;
        let remaining_ms = call.remaining(input.now).as_secs_f64() * 1_000.0;
        if predicted_ms > remaining_ms * FIRST_TOKEN_DEADLINE_FRACTION {
            return None;
        }
        let entry = entries[self.random.random_range(0..entries.len())];
        Some(UpstreamChoice::Region { region: region.clone(), entry, basis })
    }
}
