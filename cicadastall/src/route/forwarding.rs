//! Forwarding to another availability zone for requests that would exceed their limit in this one.

use crate::{
    decode::RequestPlan,
    name::{PoolName, RegionName, ZoneName},
    prefix::PromptShape,
    route::{DIGEST_EXPIRY, TriedTargets, topology::FleetTopology},
    settings::Rank,
    table::{CapacityRow, RoutingTable, ZoneView},
};
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};
use tokio::time::Instant;

/// Time that forwarding adds to the time to first token: a round trip over the link, and
/// connecting.
const FORWARDING_LATENCY: Duration = Duration::from_millis(120);

/// Bytes that one prompt token takes on a link.
const PROMPT_TOKEN_BYTES: f64 = 4.0;

/// Bytes that one streamed answer token takes on a link.
const ANSWER_TOKEN_BYTES: f64 = 120.0;

/// Fraction of a link's bandwidth that forwarded requests of one zone may use.
const LINK_SHARE: f64 = 0.05;

/// Size of the token bucket of a link, as the time in which it fills.
const LINK_BURST: Duration = Duration::from_secs(2);

/// Time for which no more requests of the same pool and rank are forwarded to a zone that returned
/// one without a result.
const FORWARD_BACKOFF: Duration = Duration::from_secs(3);

/// A zone to which a request may be forwarded.
#[derive(Debug, Clone, PartialEq)]
pub struct ZoneCandidate {
    /// Region of the zone.
    pub region: RegionName,
    /// The zone.
    pub zone: ZoneName,
    /// Caller addresses of entries in the zone.
    pub entries: smallvec::SmallVec<[SocketAddr; 4]>,
    /// Predicted time to first token, including forwarding.
    pub first_token: Duration,
}

/// Requests that one entry forwarded to other zones, the bandwidth they may use, and backoffs.
#[derive(Debug, Clone, Default)]
pub struct ForwardTracker {
    forwarded: BTreeMap<ZoneName, ForwardedTokens>,
    budgets: BTreeMap<RegionName, (f64, Instant)>,
    backoffs: BTreeMap<(ZoneName, PoolName, Rank), Instant>,
}

#[derive(Debug, Clone, Default)]
struct ForwardedTokens {
    sequence: u64,
    tokens: f64,
}

impl ForwardTracker {
    /// Zones that may answer the request, with predictions from their digests and from what was
    /// forwarded since.
    ///
    /// The region in a digest is not trusted: the settings must assign the zone to that region, and
    /// the plan must permit the region. A request that was already forwarded has no candidates.
    pub fn list_candidates(
        &self,
        topology: &FleetTopology,
        table: &RoutingTable,
        plan: &RequestPlan,
        shape: &PromptShape,
        tried: &TriedTargets,
        now: Instant,
    ) -> Vec<ZoneCandidate> {
        if plan.forwarded_from.is_some() {
            return Vec::new();
        }
        let entries = table.entries.len() as f64 + 1.0;
        let zones = table.zones.iter().filter(|(zone, view)| {
            plan.regions.contains(&view.digest.region)
                && view.digest.zone == **zone
                && topology.zone_is_in(zone, &view.digest.region)
                && !tried.zones.contains(zone)
                && now.saturating_duration_since(view.received_at) < DIGEST_EXPIRY
                && !self.is_backing_off(zone, plan, now)
        });
        zones
            .filter_map(|(zone, view)| {
                let row = find_row(view, plan)?;
                let since = self
                    .forwarded
                    .get(zone)
                    .filter(|forwarded| forwarded.sequence == view.digest.sequence);
                let queued = since.map_or(0.0, |forwarded| forwarded.tokens) * entries;
                let first_token = predict_zone(row, shape, queued)?;
                Some(ZoneCandidate {
                    region: view.digest.region.clone(),
                    zone: zone.clone(),
                    entries: view.digest.entries.clone(),
                    first_token,
                })
            })
            .filter(|candidate| !candidate.entries.is_empty())
            .collect()
    }

    /// Takes the bytes of a request from the bandwidth budget of this entry for `region`; false if
    /// the budget is exhausted. The budget is an equal part, among `entries`, of the zone's share
    /// of the link's `link_bytes_per_s`.
    pub fn try_take_bytes(
        &mut self,
        region: &RegionName,
        link_bytes_per_s: f64,
        entries: usize,
        shape: &PromptShape,
        now: Instant,
    ) -> bool {
        let bytes = f64::from(shape.tokens) * PROMPT_TOKEN_BYTES
            + f64::from(shape.answer_tokens) * ANSWER_TOKEN_BYTES;
        let rate = link_bytes_per_s * LINK_SHARE / entries.max(1) as f64;
        let full = rate * LINK_BURST.as_secs_f64();
        let (level, filled_at) = self.budgets.get(region).copied().unwrap_or((full, now));
        let elapsed = now.saturating_duration_since(filled_at).as_secs_f64();
        let level = (level + elapsed * rate).min(full);
        let taken = level >= bytes;
        self.budgets.insert(region.clone(), (if taken { level - bytes } else { level }, now));
        taken
    }

    fn is_backing_off(&self, zone: &ZoneName, plan: &RequestPlan, now: Instant) -> bool {
        let key = (zone.clone(), plan.pool.clone(), plan.rank);
        self.backoffs.get(&key).is_some_and(|until| now < *until)
    }

    /// Records that a request forwarded to `zone` was returned without a result.
    pub fn record_returned(&mut self, zone: &ZoneName, plan: &RequestPlan, now: Instant) {
        let key = (zone.clone(), plan.pool.clone(), plan.rank);
        self.backoffs.insert(key, now + FORWARD_BACKOFF);
    }

    /// Records that a request was forwarded to `zone`.
    pub fn record_forwarded(&mut self, table: &RoutingTable, zone: &ZoneName, shape: &PromptShape) {
        let sequence = table.zones.get(zone).map_or(0, |view| view.digest.sequence);
        let forwarded = self.forwarded.entry(zone.clone()).or_default();
        if forwarded.sequence != sequence {
            *forwarded = ForwardedTokens { sequence, tokens: 0.0 };
        }
        forwarded.tokens += f64::from(shape.tokens);
    }
}

fn find_row<'a>(view: &'a ZoneView, plan: &RequestPlan) -> Option<&'a CapacityRow> {
    view.digest.rows.iter().find(|row| {
        row.pool == plan.pool
            && row.model == plan.model
            && row.rank == plan.rank
            && row.upstreams > 0
    })
}

/// Predicted time to first token in another zone, without any prefix cache hits; `None` if a value
/// of the row is out of range.
fn predict_zone(row: &CapacityRow, shape: &PromptShape, queued_tokens: f64) -> Option<Duration> {
    let mean_rate = row.prefill_tokens_per_s / f64::from(row.upstreams);
    let prefill = f64::from(shape.tokens) / mean_rate + queued_tokens / row.prefill_tokens_per_s;
    let wait = Duration::try_from_secs_f64(row.wait_ms.max(0.0) / 1_000.0).ok()?;
    FORWARDING_LATENCY.checked_add(wait)?.checked_add(Duration::try_from_secs_f64(prefill).ok()?)
}
