//! The upstreams of a zone as one request finds them.

use super::{
    RequestRouter, TriedTargets,
    filter::{FilterReason, find_reason},
    score::{Prediction, ScoreInput, predict},
    track::UpstreamTrack,
};
use crate::{
    admit::ZoneCapacity,
    decode::RequestPlan,
    name::UpstreamName,
    prefix::PromptShape,
    table::{RoutingTable, UpstreamView},
};
use smallvec::SmallVec;
use std::{cmp::Ordering, iter::Peekable, time::Duration};
use tokio::time::Instant;

/// Time between two removals of what is known of upstreams that are gone.
const FORGET_PERIOD: Duration = Duration::from_secs(1);

/// The upstreams of a zone as one request finds them.
#[derive(Debug, Default)]
pub(super) struct ZoneSurvey<'a> {
    pub(super) candidates: SmallVec<[&'a UpstreamView; 16]>,
    /// Times on each candidate, in the order of the candidates.
    pub(super) predictions: SmallVec<[Prediction; 16]>,
    pub(super) filtered: Vec<(UpstreamName, FilterReason)>,
    /// The first upstream that only its quarantine shuts out.
    pub(super) failing: Option<&'a UpstreamView>,
    pub(super) capacity: ZoneCapacity,
}

impl RequestRouter {
    /// Takes the cache events of new announcements, and forgets upstreams that are gone.
    pub(super) fn observe_table(&mut self, table: &RoutingTable, now: Instant) {
        self.forget_gone(table, now);
        if !self.policy.prefix {
            return;
        }
        let mut unknown: SmallVec<[&UpstreamView; 4]> = SmallVec::new();
        let mut tracks = self.tracks.iter_mut().peekable();
        for (name, view) in &table.upstreams {
            match find_track(&mut tracks, name) {
                Some(track) => track.observe_record(&view.record),
                None => unknown.push(view),
            }
        }
        for view in unknown {
            let mut track = UpstreamTrack::default();
            track.observe_record(&view.record);
            self.tracks.insert(view.record.name.clone(), track);
        }
    }

    fn forget_gone(&mut self, table: &RoutingTable, now: Instant) {
        if self.forgot_at.is_some_and(|at| now.saturating_duration_since(at) < FORGET_PERIOD) {
            return;
        }
        self.forgot_at = Some(now);
        self.tracks
            .retain(|name, track| table.upstreams.contains_key(name) || track.is_needed(now));
    }

    /// Filters the upstreams of the zone and predicts the request's times on those that are left.
    pub(super) fn survey<'a>(
        &self,
        table: &'a RoutingTable,
        plan: &RequestPlan,
        shape: &PromptShape,
        tried: &TriedTargets,
        now: Instant,
    ) -> ZoneSurvey<'a> {
        let mut survey = ZoneSurvey::default();
        let mut found: SmallVec<[Option<&UpstreamTrack>; 16]> = SmallVec::new();
        let mut tracks = self.tracks.iter().peekable();
        for (name, view) in &table.upstreams {
            let track = find_track(&mut tracks, name);
            let reason = find_reason(view, plan, &self.place, tried, now);
            let quarantined = track.is_some_and(|track| track.is_quarantined(&view.record, now));
            match reason {
                None if quarantined => {
                    survey.failing = survey.failing.or(Some(view));
                    survey.filtered.push((name.clone(), FilterReason::Quarantined));
                }
                None => {
                    survey.candidates.push(view);
                    found.push(track);
                }
                Some(reason) => survey.filtered.push((name.clone(), reason)),
            }
        }
        let upstreams = survey.candidates.len();
        survey.capacity = ZoneCapacity { upstreams, entries: table.entries.len() + 1 };
        let reserve = self.policy.reserve && upstreams > 0;
        let refill = if reserve { self.gate.refill(plan, survey.capacity, now) } else { 0.0 };
        let pairs = survey.candidates.iter().zip(found);
        let predict = |(view, track): (&&UpstreamView, Option<&UpstreamTrack>)| {
            self.predict_on(view, track, plan, shape, refill, now)
        };
        survey.predictions = pairs.map(predict).collect();
        survey
    }

    pub(super) fn predict_on(
        &self,
        view: &UpstreamView,
        track: Option<&UpstreamTrack>,
        plan: &RequestPlan,
        shape: &PromptShape,
        refill: f64,
        now: Instant,
    ) -> Prediction {
        let sent = track.map(|track| track.sent_since(view.renewed_at, plan.rank));
        let prefix = track.filter(|_| self.policy.prefix).map(|track| &track.prefix);
        let cached_tokens = prefix.map_or(0, |prefix| prefix.cached_tokens(shape));
        let input = ScoreInput {
            shape,
            rank: plan.rank,
            uncached_tokens: shape.tokens - cached_tokens,
            sent: &sent.unwrap_or_default(),
            pace: track.map_or(1.0, |track| track.pace(plan.rank)),
            refill,
            mean_answer_tokens: self.mean_answer_tokens,
        };
        predict(view, &input, now)
    }

    pub(super) fn is_quarantined(&self, view: &UpstreamView, now: Instant) -> bool {
        let track = self.tracks.get(&view.record.name);
        track.is_some_and(|track| track.is_quarantined(&view.record, now))
    }
}

/// Track of the upstream `name`, which is not before those that were found already.
fn find_track<'a, T>(
    tracks: &mut Peekable<impl Iterator<Item = (&'a UpstreamName, T)>>,
    name: &UpstreamName,
) -> Option<T> {
    while let Some((tracked, _)) = tracks.peek() {
        match (*tracked).cmp(name) {
            Ordering::Less => drop(tracks.next()),
            Ordering::Equal => return tracks.next().map(|(_, track)| track),
            Ordering::Greater => return None,
        }
    }
    None
}
