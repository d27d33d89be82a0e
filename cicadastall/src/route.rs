//! Selection of the upstream or availability zone for one attempt of a request.
//!
//! [`filter`] excludes the upstreams that may not run the request, [`prediction`] predicts its
//! latency on the others, [`policy`] configures how one of them is selected, [`forwarding`] selects
//! another zone, and [`tracker`] holds what this entry sent to each upstream.

use crate::{
    admission::{Admission, AdmissionController},
    answer::{Refusal, RefusalCode},
    clock::millis,
    decode::RequestPlan,
    explain::{ExplainRing, MAX_LISTED_CANDIDATES, RouteExplanation, UpstreamExplanation},
    name::{RegionName, UpstreamName, ZoneName},
    prefix::PromptShape,
    retry::RetryBudget,
    settings::Rank,
    table::{RoutingTable, UpstreamView},
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smallvec::SmallVec;
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};
use tokio::time::Instant;

mod candidates;
mod choice;
pub mod copies;
mod feedback;
pub mod filter;
pub mod forwarding;
pub mod policy;
pub mod prediction;
pub mod summary;
pub mod topology;
pub mod tracker;

use candidates::CandidateSet;
use choice::ChoiceInput;
use copies::{CopyCandidate, CopyPlacement};
use filter::{FilterReason, find_unavailability};
use forwarding::{ForwardTracker, ZoneCandidate};
use policy::{ChoiceRule, RouterPolicy};
use prediction::Prediction;
use topology::FleetTopology;
use tracker::UpstreamTracker;

/// Time after its last announcement or renewal from which an upstream gets no new work.
pub const UPSTREAM_EXPIRY: Duration = Duration::from_millis(2_500);

/// Age from which the digest of another zone is ignored.
pub const DIGEST_EXPIRY: Duration = Duration::from_secs(3);

/// Time after which a caller may retry when no upstream can run its request.
const NO_UPSTREAM_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Assumed mean answer length before the first request, in tokens.
const INITIAL_MEAN_ANSWER_TOKENS: f64 = 128.0;

/// Region and availability zone of a router.
#[derive(Debug, Clone)]
pub struct RouterLocation {
    /// Region of the router's instance.
    pub region: RegionName,
    /// Availability zone of the router's instance.
    pub zone: ZoneName,
}

/// Targets of the earlier attempts of a request.
#[derive(Debug, Clone, Default)]
pub struct TriedTargets {
    /// Upstreams on which an attempt failed.
    pub upstreams: SmallVec<[UpstreamName; 4]>,
    /// Zones to which the request was forwarded without a result.
    pub zones: SmallVec<[ZoneName; 4]>,
    /// Whether a copy of the request crashed an upstream. If so, upstreams are tried in the
    /// rendezvous order of the fingerprint, regardless of their load.
    pub suspect: bool,
}

/// A selected upstream of this availability zone, and the priority of the request there.
#[derive(Debug, Clone)]
pub struct UpstreamChoice {
    /// The upstream.
    pub view: UpstreamView,
    /// Lower numbers run first.
    pub priority: i32,
    /// Predicted latency of the request.
    pub prediction: Prediction,
}

/// Decision about the next attempt.
#[derive(Debug, Clone)]
pub enum RouteDecision {
    /// Send to an upstream of this availability zone.
    Upstream(UpstreamChoice),
    /// Forward to an entry of another availability zone, which must not forward it again.
    Entry {
        /// Region of the entry.
        region: RegionName,
        /// Availability zone of the entry.
        zone: ZoneName,
        /// Caller address of the entry.
        address: SocketAddr,
    },
    /// Decide again at this time.
    Wait(Instant),
    /// Refuse the request.
    Refuse(Refusal),
}

/// Selects targets from the load reports, which are out of date on arrival, and from what this
/// instance has sent since.
#[derive(Debug)]
pub struct RequestRouter {
    location: RouterLocation,
    policy: RouterPolicy,
    trackers: BTreeMap<UpstreamName, UpstreamTracker>,
    pruned_at: Option<Instant>,
    rng: ChaCha8Rng,
    sent_attempts: u64,
    mean_answer_tokens: f64,
    controller: AdmissionController,
    forwards: ForwardTracker,
    retries: RetryBudget,
    topology: FleetTopology,
    ring: ExplainRing,
}

impl RequestRouter {
    /// Creates a router at `location` with the default policy and a random seed.
    pub fn new(location: RouterLocation) -> Self {
        Self::with_policy(location, RouterPolicy::default(), rand::random())
    }

    /// Creates a router with the given policy and seed.
    pub fn with_policy(location: RouterLocation, policy: RouterPolicy, seed: u64) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let controller = AdmissionController::new(policy.reserve);
        Self {
            location,
            policy,
            trackers: BTreeMap::new(),
            pruned_at: None,
            rng,
            sent_attempts: 0,
            mean_answer_tokens: INITIAL_MEAN_ANSWER_TOKENS,
            controller,
            forwards: ForwardTracker::default(),
            retries: RetryBudget::default(),
            topology: FleetTopology::default(),
            ring: ExplainRing::default(),
        }
    }

    /// Selects the target of the next attempt and records the explanation.
    pub fn choose(
        &mut self,
        table: &RoutingTable,
        plan: &RequestPlan,
        shape: &PromptShape,
        tried: &TriedTargets,
        now: Instant,
    ) -> RouteDecision {
        self.update_trackers(table, now);
        let set = self.collect_candidates(table, plan, shape, tried, now);
        let CandidateSet { candidates, predictions, mut filtered, quarantined, capacity } = set;
        let limit = self.controller.limit(plan, capacity, now);
        let choice = ChoiceInput { table, plan, shape, tried, capacity, limit, now };
        let decision = match self.decide(&choice, &candidates, &predictions) {
            RouteDecision::Refuse(refusal) if candidates.is_empty() => {
                let fallback = quarantined.map(|view| self.send_to_quarantined(view, &choice));
                fallback.unwrap_or(RouteDecision::Refuse(refusal))
            }
            decision => decision,
        };
        filtered.truncate(MAX_LISTED_CANDIDATES);
        let explanation =
            choice.explain(self.topology.revision, &candidates, &predictions, filtered);
        self.ring.push(explanation.with_outcome(&decision));
        decision
    }

    fn decide(
        &mut self,
        choice: &ChoiceInput<'_>,
        candidates: &[&UpstreamView],
        predictions: &[Prediction],
    ) -> RouteDecision {
        let ChoiceInput { plan, capacity, limit, now, .. } = *choice;
        let chosen = self.choose_upstream(choice, candidates, predictions);
        if let Some(index) = chosen
            && (!self.policy.admission
                || !choice.tried.upstreams.is_empty()
                || predictions[index].is_within(limit))
        {
            return send_to(candidates[index], plan.rank, predictions[index]);
        }
        let local_first_token = chosen.map(|index| predictions[index].first_token);
        let may_forward =
            self.policy.forwarding && limit.within_share && self.retries.permits_retry(&plan.pool);
        if (local_first_token.is_none() || may_forward)
            && let Some(decision) = self.choose_zone(choice, local_first_token)
        {
            return decision;
        }
        let Some(index) = chosen else {
            return RouteDecision::Refuse(refuse_unroutable(plan, &self.location.region));
        };
        match self.controller.decide_over_limit(
            plan,
            &predictions[index],
            capacity,
            &mut self.rng,
            now,
        ) {
            Admission::Promote => send_to(candidates[index], Rank::Urgent, predictions[index]),
            Admission::Refuse(refusal) => RouteDecision::Refuse(refusal),
        }
    }

    /// Retained decisions about one request, oldest first.
    pub fn explain(&self, request: &str) -> Vec<RouteExplanation> {
        self.ring.find(request)
    }

    /// Number of upstreams that have a tracker.
    pub fn count_trackers(&self) -> usize {
        self.trackers.len()
    }

    /// Reports the record of an upstream, and whether requests are sent to it.
    pub fn explain_upstream(&self, view: &UpstreamView, now: Instant) -> UpstreamExplanation {
        let residency =
            (view.record.region != self.location.region).then_some(FilterReason::Residency);
        let quarantined = || self.is_quarantined(view, now).then_some(FilterReason::Quarantined);
        let unused = residency.or_else(|| find_unavailability(view, now)).or_else(quarantined);
        let age = now.saturating_duration_since(view.renewed_at);
        UpstreamExplanation {
            record: Arc::clone(&view.record),
            age_ms: millis(age),
            used: unused.is_none(),
            unused,
        }
    }

    /// Index of the candidate that the policy selects; `None` if there are no candidates.
    fn choose_upstream(
        &mut self,
        choice: &ChoiceInput<'_>,
        candidates: &[&UpstreamView],
        predictions: &[Prediction],
    ) -> Option<usize> {
        if candidates.is_empty() {
            return None;
        }
        let mut indices = 0..candidates.len();
        let own_in_flight = |index: &usize| {
            let name = &candidates[*index].record.name;
            self.trackers.get(name).map_or(0, |tracker| tracker.attempts.len() as u32)
        };
        match self.policy.choice {
            ChoiceRule::Random => Some(self.rng.random_range(indices)),
            ChoiceRule::RoundRobin => indices.nth(self.sent_attempts as usize % candidates.len()),
            ChoiceRule::LeastInFlight => indices.min_by_key(own_in_flight),
            ChoiceRule::LeastLoaded => indices.min_by_key(|index| {
                let load = &candidates[*index].record.load;
                load.running.max(own_in_flight(index)).saturating_add(load.queued)
            }),
            ChoiceRule::Predicted => {
                let candidates: SmallVec<[_; 16]> = indices
                    .map(|index| CopyCandidate {
                        upstream: &candidates[index].record.name,
                        score: predictions[index].score(),
                        late: !predictions[index].is_within(choice.limit),
                    })
                    .collect();
                self.copy_placement(choice).choose(&candidates)
            }
        }
    }

    /// Upstreams on which this entry runs copies of the request, and the rule for the next copy.
    fn copy_placement(&self, choice: &ChoiceInput<'_>) -> CopyPlacement<'_> {
        let fingerprint = choice.shape.fingerprint;
        if !self.policy.copy_affinity {
            return CopyPlacement::independent(fingerprint);
        }
        let runs_copy =
            |(_, tracker): &(&UpstreamName, &UpstreamTracker)| tracker.runs_copy(fingerprint);
        CopyPlacement {
            fingerprint,
            running: self.trackers.iter().filter(runs_copy).map(|(name, _)| name).collect(),
            score_tolerance_s: copies::score_tolerance(choice.plan.first_token),
            suspect: choice.tried.suspect,
        }
    }

    /// Sends to a quarantined upstream; used when there is no other target.
    fn send_to_quarantined(&self, view: &UpstreamView, choice: &ChoiceInput<'_>) -> RouteDecision {
        let tracker = self.trackers.get(&view.record.name);
        let ChoiceInput { plan, shape, now, .. } = *choice;
        let prediction = self.predict_on(view, tracker, plan, shape, 0.0, now);
        send_to(view, choice.plan.rank, prediction)
    }

    /// Selects another zone if no upstream of this zone can run the request, or if the request
    /// would exceed its limit here but not there. `local_first_token` is the best predicted time to
    /// first token in this zone.
    fn choose_zone(
        &mut self,
        choice: &ChoiceInput<'_>,
        local_first_token: Option<Duration>,
    ) -> Option<RouteDecision> {
        let ChoiceInput { table, plan, shape, tried, now, .. } = *choice;
        let max_first_token = local_first_token
            .map_or(Duration::MAX, |first_token| first_token.min(choice.limit.first_token));
        let mut zones =
            self.forwards.list_candidates(&self.topology, table, plan, shape, tried, now);
        zones.retain(|zone| zone.first_token <= max_first_token);
        let best = zones.into_iter().min_by(|a, b| {
            let is_remote = |zone: &ZoneCandidate| zone.region != plan.home;
            is_remote(a).cmp(&is_remote(b)).then(a.first_token.cmp(&b.first_token))
        })?;
        let rate = self.topology.link_bytes_per_s(&best.region);
        let entries = choice.capacity.entries;
        if !self.forwards.try_take_bytes(&best.region, rate, entries, shape, now) {
            return None;
        }
        self.forwards.record_forwarded(table, &best.zone, shape);
        let address = best.entries[self.rng.random_range(0..best.entries.len())];
        Some(RouteDecision::Entry { region: best.region, zone: best.zone, address })
    }
}

fn send_to(view: &UpstreamView, rank: Rank, prediction: Prediction) -> RouteDecision {
    let priority = upstream_priority(rank);
    RouteDecision::Upstream(UpstreamChoice { view: view.clone(), priority, prediction })
}

/// Priority of the request at the upstream; lower numbers run first.
fn upstream_priority(rank: Rank) -> i32 {
    match rank {
        Rank::Urgent => 0,
        Rank::Patient => 10,
    }
}

fn refuse_unroutable(plan: &RequestPlan, region: &RegionName) -> Refusal {
    if plan.forwarded_from.is_some() && !plan.regions.contains(region) {
        return Refusal::not_run(
            RefusalCode::WrongRegion,
            format!("kind {} of {} may not be answered in {region}", plan.kind, plan.workspace),
        );
    }
    Refusal::not_run(RefusalCode::NoUpstream, format!("no upstream of pool {} is ready", plan.pool))
        .retry_after(NO_UPSTREAM_RETRY_AFTER)
}
