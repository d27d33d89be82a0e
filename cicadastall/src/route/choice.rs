//! Everything that one choice is made from, and its explanation.

use super::{
    TriedTargets,
    filter::FilterReason,
    score::{Prediction, TokenLimit},
};
use crate::{
    admit::ZoneCapacity,
    clock::millis,
    decode::RequestPlan,
    explain::{ExplainedCandidate, LISTED_CANDIDATES, RouteExplanation, RouteOutcome},
    name::UpstreamName,
    prefix::PromptShape,
    settings::Revision,
    table::{RoutingTable, UpstreamView},
};
use smallvec::SmallVec;
use tokio::time::Instant;

/// Everything that one choice is made from, beside the router's own knowledge.
#[derive(Debug, Clone, Copy)]
pub(super) struct ChoiceInput<'a> {
    pub(super) table: &'a RoutingTable,
    pub(super) plan: &'a RequestPlan,
    pub(super) shape: &'a PromptShape,
    pub(super) tried: &'a TriedTargets,
    pub(super) capacity: ZoneCapacity,
    pub(super) limit: TokenLimit,
    pub(super) now: Instant,
}

impl ChoiceInput<'_> {
    pub(super) fn explain(
        &self,
        revision: Revision,
        candidates: &[&UpstreamView],
        predictions: &[Prediction],
        filtered: Vec<(UpstreamName, FilterReason)>,
    ) -> RouteExplanation {
        let explain = |place: usize| ExplainedCandidate {
            upstream: candidates[place].record.name.clone(),
            score: predictions[place].score(),
            first_token_ms: millis(predictions[place].first_token),
            wait_ms: millis(predictions[place].wait),
        };
        RouteExplanation {
            request: self.plan.request.clone(),
            workspace: self.plan.workspace.clone(),
            kind: self.plan.kind.clone(),
            rank: self.plan.rank,
            revision,
            regions: self.plan.regions.to_vec(),
            forwarded_from: self.plan.forwarded_from.clone(),
            limit_ms: millis(self.limit.first_token),
            candidates: list_best(predictions).into_iter().map(explain).collect(),
            filtered,
            outcome: RouteOutcome::Waiting,
        }
    }
}

/// Places of the candidates that an explanation lists, the best first.
fn list_best(predictions: &[Prediction]) -> SmallVec<[usize; 16]> {
    let score = |place: &usize| predictions[*place].score();
    let order = |a: &usize, b: &usize| score(a).total_cmp(&score(b)).then(a.cmp(b));
    let mut places: SmallVec<[usize; 16]> = (0..predictions.len()).collect();
    if places.len() > LISTED_CANDIDATES {
        places.select_nth_unstable_by(LISTED_CANDIDATES, order);
        places.truncate(LISTED_CANDIDATES);
    }
    places.sort_unstable_by(order);
    places
}
