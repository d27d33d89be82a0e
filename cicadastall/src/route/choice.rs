//! Inputs of one routing decision, and its explanation.

use super::{
    TriedTargets,
    filter::FilterReason,
    prediction::{FirstTokenLimit, Prediction},
};
use crate::{
    admission::ZoneCapacity,
    clock::millis,
    decode::RequestPlan,
    explain::{ExplainedCandidate, MAX_LISTED_CANDIDATES, RouteExplanation, RouteOutcome},
    name::UpstreamName,
    prefix::PromptShape,
    settings::Revision,
    table::{RoutingTable, UpstreamView},
};
use smallvec::SmallVec;
use tokio::time::Instant;

/// Inputs of one routing decision, apart from the state of the router.
#[derive(Debug, Clone, Copy)]
pub(super) struct ChoiceInput<'a> {
    pub(super) table: &'a RoutingTable,
    pub(super) plan: &'a RequestPlan,
    pub(super) shape: &'a PromptShape,
    pub(super) tried: &'a TriedTargets,
    pub(super) capacity: ZoneCapacity,
    pub(super) limit: FirstTokenLimit,
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
        let explain = |index: usize| ExplainedCandidate {
            upstream: candidates[index].record.name.clone(),
            score: predictions[index].score(),
            first_token_ms: millis(predictions[index].first_token),
            wait_ms: millis(predictions[index].wait),
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

/// Indices of the candidates that an explanation lists, best first.
fn list_best(predictions: &[Prediction]) -> SmallVec<[usize; 16]> {
    let score = |index: &usize| predictions[*index].score();
    let order = |a: &usize, b: &usize| score(a).total_cmp(&score(b)).then(a.cmp(b));
    let mut indices: SmallVec<[usize; 16]> = (0..predictions.len()).collect();
    if indices.len() > MAX_LISTED_CANDIDATES {
        indices.select_nth_unstable_by(MAX_LISTED_CANDIDATES, order);
        indices.truncate(MAX_LISTED_CANDIDATES);
    }
    indices.sort_unstable_by(order);
    indices
}
