//! First stage of a choice: which upstreams may run a request at all.

use crate::{
    decode::RequestPlan,
    route::{RouterPlace, TriedTargets, UPSTREAM_EXPIRY},
    table::{UpstreamState, UpstreamView},
};
use tokio::time::Instant;

/// Whether the upstream is in the router's own region and the data may be answered there.
///
/// The record's own region is checked as well, because a record may have been passed on by an
/// instance that is mistaken.
pub fn may_reside(view: &UpstreamView, plan: &RequestPlan, place: &RouterPlace) -> bool {
    view.record.region == place.region && plan.regions.contains(&place.region)
}

/// Whether the upstream has what the request needs and takes new work.
pub fn serves_plan(view: &UpstreamView, plan: &RequestPlan, now: Instant) -> bool {
    let record = &view.record;
    record.state == UpstreamState::Serving
        && record.pool == plan.pool
        && plan.model.as_ref().is_none_or(|model| record.models.contains(model))
        && now.saturating_duration_since(view.renewed_at) < UPSTREAM_EXPIRY
}

/// Whether the request was not tried on the upstream before.
pub fn is_untried(view: &UpstreamView, tried: &TriedTargets) -> bool {
    !tried.upstreams.contains(&view.record.name)
}
