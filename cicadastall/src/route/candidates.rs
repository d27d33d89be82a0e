//! Collects the candidate upstreams of a request in the router's zone, and maintains the upstream
//! trackers.

use super::{
    RequestRouter, TriedTargets,
    filter::{FilterReason, find_filter_reason},
    prediction::{Prediction, PredictionInput, predict},
    tracker::UpstreamTracker,
};
use crate::{
    admission::ZoneCapacity,
    decode::RequestPlan,
    name::UpstreamName,
    prefix::PromptShape,
    table::{RoutingTable, UpstreamView},
};
use smallvec::SmallVec;
use std::{cmp::Ordering, iter::Peekable, time::Duration};
use tokio::time::Instant;

/// Minimum time between two removals of trackers of absent upstreams.
const PRUNE_INTERVAL: Duration = Duration::from_secs(1);

/// Upstreams of the router's zone, sorted into candidates and excluded ones for one request.
#[derive(Debug, Default)]
pub(super) struct CandidateSet<'a> {
    pub(super) candidates: SmallVec<[&'a UpstreamView; 16]>,
    /// Predictions in the order of `candidates`.
    pub(super) predictions: SmallVec<[Prediction; 16]>,
    pub(super) filtered: Vec<(UpstreamName, FilterReason)>,
    /// The first upstream that is excluded only because it is quarantined.
    pub(super) quarantined: Option<&'a UpstreamView>,
    pub(super) capacity: ZoneCapacity,
}

impl RequestRouter {
    /// Applies the cache events of new announcements, and removes trackers of absent upstreams.
    pub(super) fn update_trackers(&mut self, table: &RoutingTable, now: Instant) {
        self.prune_trackers(table, now);
        if !self.policy.prefix {
            return;
        }
        let mut unknown: SmallVec<[&UpstreamView; 4]> = SmallVec::new();
        let mut trackers = self.trackers.iter_mut().peekable();
        for (name, view) in &table.upstreams {
            match find_tracker(&mut trackers, name) {
                Some(tracker) => tracker.apply_record(&view.record),
                None => unknown.push(view),
            }
        }
        for view in unknown {
            let mut tracker = UpstreamTracker::default();
            tracker.apply_record(&view.record);
            self.trackers.insert(view.record.name.clone(), tracker);
        }
    }

    fn prune_trackers(&mut self, table: &RoutingTable, now: Instant) {
        if self.pruned_at.is_some_and(|at| now.saturating_duration_since(at) < PRUNE_INTERVAL) {
            return;
        }
        self.pruned_at = Some(now);
        self.trackers
            .retain(|name, tracker| table.upstreams.contains_key(name) || tracker.is_active(now));
    }

    /// Filters the upstreams of the zone and predicts the request's latency on the remaining ones.
    pub(super) fn collect_candidates<'a>(
        &self,
        table: &'a RoutingTable,
        plan: &RequestPlan,
        shape: &PromptShape,
        tried: &TriedTargets,
        now: Instant,
    ) -> CandidateSet<'a> {
        let mut set = CandidateSet::default();
        let mut found: SmallVec<[Option<&UpstreamTracker>; 16]> = SmallVec::new();
        let mut trackers = self.trackers.iter().peekable();
        for (name, view) in &table.upstreams {
            let tracker = find_tracker(&mut trackers, name);
            let reason = find_filter_reason(view, plan, &self.location, tried, now);
            let quarantined =
                tracker.is_some_and(|tracker| tracker.is_quarantined(&view.record, now));
            match reason {
                None if quarantined => {
                    set.quarantined = set.quarantined.or(Some(view));
                    set.filtered.push((name.clone(), FilterReason::Quarantined));
                }
                None => {
                    set.candidates.push(view);
                    found.push(tracker);
                }
                Some(reason) => set.filtered.push((name.clone(), reason)),
            }
        }
        let upstreams = set.candidates.len();
        set.capacity = ZoneCapacity { upstreams, entries: table.entries.len() + 1 };
        let reserve = self.policy.reserve && upstreams > 0;
        let refill_fraction =
            if reserve { self.controller.refill_fraction(plan, set.capacity, now) } else { 0.0 };
        let pairs = set.candidates.iter().zip(found);
        let predict = |(view, tracker): (&&UpstreamView, Option<&UpstreamTracker>)| {
            self.predict_on(view, tracker, plan, shape, refill_fraction, now)
        };
        set.predictions = pairs.map(predict).collect();
        set
    }

    pub(super) fn predict_on(
        &self,
        view: &UpstreamView,
        tracker: Option<&UpstreamTracker>,
        plan: &RequestPlan,
        shape: &PromptShape,
        refill_fraction: f64,
        now: Instant,
    ) -> Prediction {
        let sent = tracker.map(|tracker| tracker.sent_since(view.renewed_at, plan.rank));
        let prefix = tracker.filter(|_| self.policy.prefix).map(|tracker| &tracker.prefix);
        let cached_tokens = prefix.map_or(0, |prefix| prefix.cached_tokens(shape));
        let input = PredictionInput {
            shape,
            rank: plan.rank,
            uncached_tokens: shape.tokens - cached_tokens,
            sent: &sent.unwrap_or_default(),
            latency_ratio: tracker.map_or(1.0, |tracker| tracker.latency_ratio(plan.rank)),
            refill_fraction,
            mean_answer_tokens: self.mean_answer_tokens,
        };
        predict(view, &input, now)
    }

    pub(super) fn is_quarantined(&self, view: &UpstreamView, now: Instant) -> bool {
        let tracker = self.trackers.get(&view.record.name);
        tracker.is_some_and(|tracker| tracker.is_quarantined(&view.record, now))
    }
}

/// Tracker of the upstream `name`. Calls on one iterator must pass names in ascending order.
fn find_tracker<'a, T>(
    trackers: &mut Peekable<impl Iterator<Item = (&'a UpstreamName, T)>>,
    name: &UpstreamName,
) -> Option<T> {
    while let Some((tracked, _)) = trackers.peek() {
        match (*tracked).cmp(name) {
            Ordering::Less => drop(trackers.next()),
            Ordering::Equal => return trackers.next().map(|(_, tracker)| tracker),
            Ordering::Greater => return None,
        }
    }
    None
}
