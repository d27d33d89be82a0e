//! Why requests were routed as they were: a bounded ring of the latest decisions.

use crate::{
    answer::RefusalCode,
    name::{KindName, RegionName, RequestId, UpstreamName, WorkspaceName, ZoneName},
    route::{RouteDecision, filter::FilterReason},
    settings::{Rank, Revision},
    table::UpstreamRecord,
};
use serde::Serialize;
use std::{collections::VecDeque, sync::Arc};

/// Decisions that are kept.
const MAX_KEPT_DECISIONS: usize = 256;

/// Upstreams and zones that one explanation lists, the best first.
pub(crate) const MAX_LISTED_CANDIDATES: usize = 16;

/// One choice of a target, with everything that it was made from.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RouteExplanation {
    /// The request.
    pub request: RequestId,
    /// Tenant of the caller.
    pub workspace: WorkspaceName,
    /// Class of the request.
    pub kind: KindName,
    /// Priority class.
    pub rank: Rank,
    /// Revision of the settings that routing used.
    pub revision: Revision,
    /// Regions where the request may be answered.
    pub regions: Vec<RegionName>,
    /// Region from which it was forwarded here.
    pub forwarded_from: Option<RegionName>,
    /// Longest predicted time to first token with which it was taken, in milliseconds.
    pub limit_ms: u64,
    /// Upstreams of this zone that could run it, by score.
    pub candidates: Vec<ExplainedCandidate>,
    /// Upstreams of this zone that could not, and why.
    pub filtered: Vec<(UpstreamName, FilterReason)>,
    /// What was decided.
    pub outcome: RouteOutcome,
}

/// What an entry knows of one upstream.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct UpstreamExplanation {
    /// Its newest announcement.
    pub record: Arc<UpstreamRecord>,
    /// Age of the announcement, in milliseconds.
    pub age_ms: u64,
    /// Whether requests of its pool and models are sent to it.
    pub used: bool,
    /// Why no request is sent to it.
    pub unused: Option<FilterReason>,
}

/// An upstream that could run the request.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ExplainedCandidate {
    /// The upstream.
    pub upstream: UpstreamName,
    /// Figure by which upstreams are compared; lower is better.
    pub score: f64,
    /// Predicted time to first token, in milliseconds.
    pub first_token_ms: u64,
    /// Predicted time until prefill starts, in milliseconds.
    pub wait_ms: u64,
}

/// What was decided.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteOutcome {
    /// Not decided yet.
    Waiting,
    /// Sent to an upstream.
    Upstream {
        /// The upstream.
        upstream: UpstreamName,
        /// Priority for the upstream.
        priority: i32,
    },
    /// Forwarded to another zone.
    Forwarded {
        /// Region of the zone.
        region: RegionName,
        /// The zone.
        zone: ZoneName,
    },
    /// Refused.
    Refused {
        /// The reason.
        code: RefusalCode,
        /// Time after which the caller may come back, in milliseconds.
        retry_after_ms: Option<u64>,
    },
}

impl RouteExplanation {
    /// Adds what was decided.
    pub fn with_outcome(mut self, decision: &RouteDecision) -> Self {
        self.outcome = match decision {
            RouteDecision::Upstream(choice) => RouteOutcome::Upstream {
                upstream: choice.view.record.name.clone(),
                priority: choice.priority,
            },
            RouteDecision::Entry { region, zone, .. } => {
                RouteOutcome::Forwarded { region: region.clone(), zone: zone.clone() }
            }
            RouteDecision::Wait(_) => RouteOutcome::Waiting,
            RouteDecision::Refuse(refusal) => {
                RouteOutcome::Refused { code: refusal.code, retry_after_ms: refusal.retry_after_ms }
            }
        };
        self
    }
}

/// The latest decisions of one entry.
#[derive(Debug, Clone, Default)]
pub struct ExplainRing {
    decisions: VecDeque<RouteExplanation>,
}

impl ExplainRing {
    /// Adds a decision in place of the oldest.
    pub fn push(&mut self, explanation: RouteExplanation) {
        if self.decisions.len() == MAX_KEPT_DECISIONS {
            self.decisions.pop_front();
        }
        self.decisions.push_back(explanation);
    }

    /// All kept decisions on one request, the oldest first.
    pub fn find(&self, request: &str) -> Vec<RouteExplanation> {
        let matching = |explanation: &&RouteExplanation| explanation.request.as_str() == request;
        self.decisions.iter().filter(matching).cloned().collect()
    }
}
