//! First stage of a choice: which upstreams may run a request at all.

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
    /// The data may not be answered in this region, or the upstream is in another.
    Residency,
    /// It belongs to another pool.
    Pool,
    /// It does not have the model.
    Model,
    /// It takes no new work.
    State,
    /// It has not announced itself lately.
    Silent,
    /// It failed lately.
    Quarantined,
    /// The request failed on it.
    Tried,
}

/// The first reason for which the upstream may not run the request.
///
/// The record's own region is checked as well, because a record may have been passed on by an
/// instance that is mistaken.
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

/// The first reason for which the upstream may run no request at all.
pub fn find_unavailability(view: &UpstreamView, now: Instant) -> Option<FilterReason> {
    if view.record.state != UpstreamState::Serving {
        return Some(FilterReason::State);
    }
    let age = now.saturating_duration_since(view.renewed_at);
    (age >= UPSTREAM_EXPIRY).then_some(FilterReason::Silent)
}
