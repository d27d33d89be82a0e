//! Explanations of routing decisions, kept in a ring buffer of the latest ones.

use crate::{
    answer::RefusalCode,
    name::{KindName, RegionName, RequestId, UpstreamName, WorkspaceName, ZoneName},
    route::{RouteDecision, filter::FilterReason},
    settings::{Rank, Revision},
    table::UpstreamRecord,
};
use serde::Serialize;
use std::{collections::VecDeque, sync::Arc};

/// Capacity of the ring buffer.
const MAX_KEPT_DECISIONS: usize = 256;

/// Maximum number of upstreams or zones in one explanation, the best first.
pub(crate) const MAX_LISTED_CANDIDATES: usize = 16;

/// One routing decision with its inputs.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RouteExplanation {
    /// The request.
    pub request: RequestId,
    /// Tenant of the caller.
    pub workspace: WorkspaceName,
    /// Class of the request.
    pub kind: KindName,
    /// Rank of the request.
    pub rank: Rank,
    /// Revision of the settings in use.
    pub revision: Revision,
    /// Regions where the request may be answered.
    pub regions: Vec<RegionName>,
    /// Region of the entry that forwarded the request, if any.
    pub forwarded_from: Option<RegionName>,
    /// Highest predicted time to first token with which the request is admitted, in milliseconds.
    pub limit_ms: u64,
    /// Eligible upstreams of this zone, by score.
    pub candidates: Vec<ExplainedCandidate>,
    /// Excluded upstreams of this zone, with the reason.
    pub filtered: Vec<(UpstreamName, FilterReason)>,
    /// The decision.
    pub outcome: RouteOutcome,
}

/// State of one upstream as seen by an entry.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct UpstreamExplanation {
    /// Latest announcement.
    pub record: Arc<UpstreamRecord>,
    /// Age of the announcement, in milliseconds.
    pub age_ms: u64,
    /// Whether the router sends requests to it.
    pub used: bool,
    /// Reason why the router sends it no requests.
    pub unused: Option<FilterReason>,
}

/// An upstream that is eligible for the request.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ExplainedCandidate {
    /// The upstream.
    pub upstream: UpstreamName,
    /// Score by which upstreams are compared; lower is better.
    pub score: f64,
    /// Predicted time to first token, in milliseconds.
    pub first_token_ms: u64,
    /// Predicted time until prefill starts, in milliseconds.
    pub wait_ms: u64,
}

/// Outcome of a routing decision.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RouteOutcome {
    /// The request waits; no target is selected yet.
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
        /// Delay before the caller may retry, in milliseconds.
        retry_after_ms: Option<u64>,
    },
}

impl RouteExplanation {
    /// Sets the outcome from `decision`.
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

/// Ring buffer of the latest decisions of one entry.
#[derive(Debug, Clone, Default)]
pub struct ExplainRing {
    decisions: VecDeque<RouteExplanation>,
}

impl ExplainRing {
    /// Adds a decision; drops the oldest one if the buffer is full.
    pub fn push(&mut self, explanation: RouteExplanation) {
        if self.decisions.len() == MAX_KEPT_DECISIONS {
            self.decisions.pop_front();
        }
        self.decisions.push_back(explanation);
    }

    /// All buffered decisions on one request, the oldest first.
    pub fn find(&self, request: &str) -> Vec<RouteExplanation> {
        let matching = |explanation: &&RouteExplanation| explanation.request.as_str() == request;
        self.decisions.iter().filter(matching).cloned().collect()
    }
}
