//! Choice of the upstream or region for one attempt of a request.

use crate::{
    answer::{Refusal, RefusalCode},
    decode::RequestPlan,
    name::{RegionName, UpstreamName, ZoneName},
    table::{RoutingTable, UpstreamState, UpstreamView},
};
use smallvec::SmallVec;
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};
use tokio::time::Instant;

/// Time after its last announcement at which an upstream gets no new work.
pub const UPSTREAM_EXPIRY: Duration = Duration::from_millis(2_500);

/// Time after which the digest of another zone is not used.
pub const DIGEST_EXPIRY: Duration = Duration::from_secs(3);

/// Time after which a caller may try again where no upstream is known.
const NO_UPSTREAM_RETRY: Duration = Duration::from_secs(2);

/// Place of the router in the fleet.
#[derive(Debug, Clone)]
pub struct RouterPlace {
    /// Region of the router's instance.
    pub region: RegionName,
    /// Availability zone of the router's instance.
    pub zone: ZoneName,
}

/// What was tried already for the request.
#[derive(Debug, Clone, Default)]
pub struct TriedTargets {
    /// Upstreams that failed.
    pub upstreams: SmallVec<[UpstreamName; 4]>,
    /// Zones to which the request was forwarded without a result.
    pub zones: SmallVec<[ZoneName; 4]>,
}

/// Where the next attempt goes.
#[derive(Debug, Clone)]
pub enum RouteDecision {
    /// To an upstream of this availability zone.
    Upstream(UpstreamView),
    /// To an entry of another availability zone, which must not forward it again.
    Entry {
        /// Region of the entry.
        region: RegionName,
        /// Availability zone of the entry.
        zone: ZoneName,
        /// Its address for callers.
        address: SocketAddr,
    },
    /// Nowhere yet; ask again at this time.
    Wait(Instant),
    /// Nowhere.
    Refuse(Refusal),
}

/// Chooses upstreams by the late load reports and by what this instance sent since.
#[derive(Debug)]
pub struct RequestRouter {
    place: RouterPlace,
    sent: BTreeMap<UpstreamName, u32>,
}

impl RequestRouter {
    /// A router for the instance at `place`.
    pub fn new(place: RouterPlace) -> Self {
        Self { place, sent: BTreeMap::new() }
    }

    /// Chooses the target of the next attempt.
    pub fn choose(
        &mut self,
        table: &RoutingTable,
        plan: &RequestPlan,
        tried: &TriedTargets,
        now: Instant,
    ) -> RouteDecision {
        if plan.regions.contains(&self.place.region)
            && let Some(view) = self.choose_upstream(table, plan, tried, now)
        {
            return RouteDecision::Upstream(view);
        }
        if plan.forwarded_from.is_none()
            && let Some(decision) = self.choose_zone(table, plan, tried, now)
        {
            return decision;
        }
        RouteDecision::Refuse(refuse_unroutable(plan, &self.place.region))
    }

    /// Notes that a request was sent to `upstream`.
    pub fn note_sent(&mut self, upstream: &UpstreamName) {
        *self.sent.entry(upstream.clone()).or_default() += 1;
    }

    /// Notes that an attempt on `upstream` ended.
    pub fn note_ended(&mut self, upstream: &UpstreamName) {
        if let Some(sent) = self.sent.get_mut(upstream) {
            *sent = sent.saturating_sub(1);
            if *sent == 0 {
                self.sent.remove(upstream);
            }
        }
    }

    fn choose_upstream(
        &self,
        table: &RoutingTable,
        plan: &RequestPlan,
        tried: &TriedTargets,
        now: Instant,
    ) -> Option<UpstreamView> {
        table
            .upstreams
            .values()
            .filter(|view| serves_plan(view, plan, now))
            .filter(|view| !tried.upstreams.contains(&view.record.name))
            .min_by_key(|view| {
                let sent = self.sent.get(&view.record.name).copied().unwrap_or(0);
                view.record.load.running.max(sent) + view.record.load.queued
            })
            .cloned()
    }

    fn choose_zone(
        &self,
        table: &RoutingTable,
        plan: &RequestPlan,
        tried: &TriedTargets,
        now: Instant,
    ) -> Option<RouteDecision> {
        plan.regions.iter().find_map(|region| {
            let (zone, view) = table.zones.iter().find(|(zone, view)| {
                view.digest.region == *region
                    && !tried.zones.contains(zone)
                    && now.duration_since(view.received_at) < DIGEST_EXPIRY
                    && view.digest.rows.iter().any(|row| {
                        row.pool == plan.pool && row.model == plan.model && row.upstreams > 0
                    })
            })?;
            let address = *view.digest.entries.first()?;
            Some(RouteDecision::Entry { region: region.clone(), zone: zone.clone(), address })
        })
    }
}

fn serves_plan(view: &UpstreamView, plan: &RequestPlan, now: Instant) -> bool {
    let record = &view.record;
    record.state == UpstreamState::Serving
        && record.pool == plan.pool
        && plan.regions.contains(&record.region)
        && plan.model.as_ref().is_none_or(|model| record.models.contains(model))
        && now.duration_since(view.renewed_at) < UPSTREAM_EXPIRY
}

fn refuse_unroutable(plan: &RequestPlan, region: &RegionName) -> Refusal {
    if plan.forwarded_from.is_some() && !plan.regions.contains(region) {
        return Refusal::not_run(
            RefusalCode::WrongRegion,
            format!("kind {} of {} may not be answered in {region}", plan.kind, plan.workspace),
        );
    }
    Refusal::not_run(RefusalCode::NoUpstream, format!("no upstream of pool {} is ready", plan.pool))
        .retry_after(NO_UPSTREAM_RETRY)
}

/// The router shared by the traffic threads of one entry.
pub type SharedRouter = Arc<std::sync::Mutex<RequestRouter>>;
