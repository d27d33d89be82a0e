//! First routing stage: excludes the upstreams that may not run a request.

use crate::{
    decode::RequestPlan,
    route::{RouterLocation, TriedTargets, UPSTREAM_EXPIRY},
    table::{UpstreamState, UpstreamView},
};
use serde::Serialize;
use tokio::time::Instant;

/// Why an upstream may not run a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FilterReason {
    /// The request may not be answered in this region, or the upstream is in another region.
    Residency,
    /// The upstream belongs to another pool.
    Pool,
    /// The upstream has not loaded the model.
    Model,
    /// The upstream accepts no new work.
    State,
    /// The last announcement of the upstream has expired.
    Silent,
    /// The upstream is quarantined after a failure.
    Quarantined,
    /// The request already failed on the upstream.
    Tried,
}

/// The first reason why the upstream may not run the request; `None` if it may.
///
/// The region in the record is checked as well, because another instance may have passed on a wrong
/// record.
pub fn find_filter_reason(
    view: &UpstreamView,
    plan: &RequestPlan,
    location: &RouterLocation,
    tried: &TriedTargets,
    now: Instant,
) -> Option<FilterReason> {
    let record = &view.record;
    if record.region != location.region || !plan.regions.contains(&location.region) {
        return Some(FilterReason::Residency);
    }
    if record.pool != plan.pool {
        return Some(FilterReason::Pool);
    }
    if plan.model.as_ref().is_some_and(|model| !record.models.contains(model)) {
        return Some(FilterReason::Model);
    }
    find_unavailability(view, now)
        .or_else(|| tried.upstreams.contains(&record.name).then_some(FilterReason::Tried))
}

/// The first reason why the upstream may not run any request.
pub fn find_unavailability(view: &UpstreamView, now: Instant) -> Option<FilterReason> {
    if view.record.state != UpstreamState::Serving {
        return Some(FilterReason::State);
    }
    let age = now.saturating_duration_since(view.renewed_at);
    (age >= UPSTREAM_EXPIRY).then_some(FilterReason::Silent)
}
