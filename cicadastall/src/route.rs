//! Choice of the upstream or region for one attempt of a request.
//!
//! [`filter`] names the upstreams that may run the request, [`score`] predicts its times on them,
//! [`policy`] says how to choose among them, and [`track`] keeps what the entry itself sent.

use crate::{
    admit::{Admission, AdmissionGate},
    answer::{Refusal, RefusalCode},
    clock::millis,
    decode::RequestPlan,
    explain::{ExplainRing, LISTED_CANDIDATES, RouteExplanation, UpstreamExplanation},
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

mod choice;
pub mod copies;
pub mod filter;
pub mod map;
mod notes;
pub mod policy;
pub mod score;
pub mod spill;
pub mod summary;
mod survey;
pub mod track;

use choice::ChoiceInput;
use copies::{CopyCandidate, CopyPlaces};
use filter::{FilterReason, find_own_reason};
use map::FleetMap;
use policy::{ChoiceRule, RouterPolicy};
use score::Prediction;
use spill::{ForwardTrack, ZoneCandidate};
use survey::ZoneSurvey;
use track::UpstreamTrack;

/// Time after its last announcement at which an upstream gets no new work.
pub const UPSTREAM_EXPIRY: Duration = Duration::from_millis(2_500);

/// Time after which the digest of another zone is not used.
pub const DIGEST_EXPIRY: Duration = Duration::from_secs(3);

/// Time after which a caller may try again where no upstream is known.
const NO_UPSTREAM_RETRY: Duration = Duration::from_secs(2);

/// Mean length of answers before any request, in tokens.
const FIRST_ANSWER_MEAN: f64 = 128.0;

/// Place of the router in the fleet.
#[derive(Debug, Clone)]
pub struct RouterPlace {
    /// Region of the router's instance.
    pub region: RegionName,
    /// Availability zone of the router's instance.
    pub zone: ZoneName,
}

/// What was tried already for the request.
#[derive(Debug, Clone, Default)]
pub struct TriedTargets {
    /// Upstreams that failed.
    pub upstreams: SmallVec<[UpstreamName; 4]>,
    /// Zones to which the request was forwarded without a result.
    pub zones: SmallVec<[ZoneName; 4]>,
    /// Whether a copy of the request crashed an upstream; then the order in which copies try
    /// upstreams counts alone, not their load.
    pub suspect: bool,
}

/// An upstream of this availability zone, and the priority to send with.
#[derive(Debug, Clone)]
pub struct UpstreamChoice {
    /// The upstream.
    pub view: UpstreamView,
    /// Lower numbers run first.
    pub priority: i32,
    /// Predicted times of the request.
    pub prediction: Prediction,
}

/// Where the next attempt goes.
#[derive(Debug, Clone)]
pub enum RouteDecision {
    /// To an upstream of this availability zone.
    Upstream(UpstreamChoice),
    /// To an entry of another availability zone, which must not forward it again.
    Entry {
        /// Region of the entry.
        region: RegionName,
        /// Availability zone of the entry.
        zone: ZoneName,
        /// Its address for callers.
        address: SocketAddr,
    },
    /// Nowhere yet; ask again at this time.
    Wait(Instant),
    /// Nowhere.
    Refuse(Refusal),
}

/// Chooses upstreams by the late load reports and by what this instance sent since.
#[derive(Debug)]
pub struct RequestRouter {
    place: RouterPlace,
    policy: RouterPolicy,
    tracks: BTreeMap<UpstreamName, UpstreamTrack>,
    forgot_at: Option<Instant>,
    rng: ChaCha8Rng,
    sent: u64,
    mean_answer_tokens: f64,
    gate: AdmissionGate,
    forwards: ForwardTrack,
    retries: RetryBudget,
    map: FleetMap,
    ring: ExplainRing,
}

impl RequestRouter {
    /// A router for the instance at `place` with the shipped policy.
    pub fn new(place: RouterPlace) -> Self {
        Self::with_policy(place, RouterPolicy::default(), rand::random())
    }

    /// A router with a policy and a seed of its own.
    pub fn with_policy(place: RouterPlace, policy: RouterPolicy, seed: u64) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let gate = AdmissionGate::new(policy.reserve);
        Self {
            place,
            policy,
            tracks: BTreeMap::new(),
            forgot_at: None,
            rng,
            sent: 0,
            mean_answer_tokens: FIRST_ANSWER_MEAN,
            gate,
            forwards: ForwardTrack::default(),
            retries: RetryBudget::default(),
            map: FleetMap::default(),
            ring: ExplainRing::default(),
        }
    }

    /// Chooses the target of the next attempt.
    pub fn choose(
        &mut self,
        table: &RoutingTable,
        plan: &RequestPlan,
        shape: &PromptShape,
        tried: &TriedTargets,
        now: Instant,
    ) -> RouteDecision {
        self.observe_table(table, now);
        let survey = self.survey(table, plan, shape, tried, now);
        let ZoneSurvey { candidates, predictions, mut filtered, failing, capacity } = survey;
        let limit = self.gate.limit(plan, capacity, now);
        let choice = ChoiceInput { table, plan, shape, tried, capacity, limit, now };
        let decision = match self.decide(&choice, &candidates, &predictions) {
            RouteDecision::Refuse(refusal) if candidates.is_empty() => {
                let forced = failing.map(|view| self.send_to_failing(view, &choice));
                forced.unwrap_or(RouteDecision::Refuse(refusal))
            }
            decision => decision,
        };
        filtered.truncate(LISTED_CANDIDATES);
        let explanation = choice.explain(self.map.revision, &candidates, &predictions, filtered);
        self.ring.push(explanation.decided(&decision));
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
        if let Some(place) = chosen
            && (!self.policy.admission
                || !choice.tried.upstreams.is_empty()
                || predictions[place].is_within(limit))
        {
            return send_to(candidates[place], plan.rank, predictions[place]);
        }
        let here = chosen.map(|place| predictions[place].first_token);
        let may_spill =
            self.policy.spill && limit.within_share && self.retries.permits_retry(&plan.pool);
        if (here.is_none() || may_spill)
            && let Some(decision) = self.choose_zone(choice, here)
        {
            return decision;
        }
        let Some(place) = chosen else {
            return RouteDecision::Refuse(refuse_unroutable(plan, &self.place.region));
        };
        match self.gate.judge_late(plan, &predictions[place], capacity, &mut self.rng, now) {
            Admission::Promote => send_to(candidates[place], Rank::Urgent, predictions[place]),
            Admission::Refuse(refusal) => RouteDecision::Refuse(refusal),
        }
    }

    /// The kept decisions on one request, the oldest first.
    pub fn explain(&self, request: &str) -> Vec<RouteExplanation> {
        self.ring.find(request)
    }

    /// Upstreams of which something is kept.
    pub fn count_tracks(&self) -> usize {
        self.tracks.len()
    }

    /// What is known of the upstream `view`, and whether requests are sent to it.
    pub fn explain_upstream(&self, view: &UpstreamView, now: Instant) -> UpstreamExplanation {
        let residency =
            (view.record.region != self.place.region).then_some(FilterReason::Residency);
        let failing = || self.is_quarantined(view, now).then_some(FilterReason::Quarantined);
        let unused = residency.or_else(|| find_own_reason(view, now)).or_else(failing);
        let age = now.saturating_duration_since(view.renewed_at);
        UpstreamExplanation {
            record: Arc::clone(&view.record),
            age_ms: millis(age),
            used: unused.is_none(),
            unused,
        }
    }

    /// Index of the chosen candidate.
    fn choose_upstream(
        &mut self,
        choice: &ChoiceInput<'_>,
        candidates: &[&UpstreamView],
        predictions: &[Prediction],
    ) -> Option<usize> {
        if candidates.is_empty() {
            return None;
        }
        let mut places = 0..candidates.len();
        let own_sends = |place: &usize| {
            let name = &candidates[*place].record.name;
            self.tracks.get(name).map_or(0, |track| track.sends.len() as u32)
        };
        match self.policy.choice {
            ChoiceRule::Random => Some(self.rng.random_range(places)),
            ChoiceRule::RoundRobin => places.nth(self.sent as usize % candidates.len()),
            ChoiceRule::LeastInFlight => places.min_by_key(own_sends),
            ChoiceRule::LeastLoaded => places.min_by_key(|place| {
                let load = &candidates[*place].record.load;
                load.running.max(own_sends(place)) + load.queued
            }),
            ChoiceRule::Predicted => {
                let candidates: SmallVec<[_; 16]> = places
                    .map(|place| CopyCandidate {
                        upstream: &candidates[place].record.name,
                        score: predictions[place].score(),
                        late: !predictions[place].is_within(choice.limit),
                    })
                    .collect();
                self.place_copies(choice).choose(&candidates)
            }
        }
    }

    /// Where copies of the request of `choice` run, as far as this entry sent them.
    fn place_copies(&self, choice: &ChoiceInput<'_>) -> CopyPlaces<'_> {
        let fingerprint = choice.shape.fingerprint;
        if !self.policy.copies {
            return CopyPlaces::apart(fingerprint);
        }
        let runs = |(_, track): &(&UpstreamName, &UpstreamTrack)| track.runs_copy(fingerprint);
        CopyPlaces {
            fingerprint,
            running: self.tracks.iter().filter(runs).map(|(name, _)| name).collect(),
            margin: copies::margin(choice.plan.first_token),
            suspect: choice.tried.suspect,
        }
    }

    /// Sends to an upstream that failed lately, where nothing else is left to try.
    fn send_to_failing(&self, view: &UpstreamView, choice: &ChoiceInput<'_>) -> RouteDecision {
        let track = self.tracks.get(&view.record.name);
        let ChoiceInput { plan, shape, now, .. } = *choice;
        let prediction = self.predict_on(view, track, plan, shape, 0.0, now);
        send_to(view, choice.plan.rank, prediction)
    }

    /// Chooses another zone if the request can't be answered here, or if it would be late here and
    /// in time there. `here` is the best predicted time to first token in this zone.
    fn choose_zone(
        &mut self,
        choice: &ChoiceInput<'_>,
        here: Option<Duration>,
    ) -> Option<RouteDecision> {
        let ChoiceInput { table, plan, shape, tried, now, .. } = *choice;
        let bound =
            here.map_or(Duration::MAX, |first_token| first_token.min(choice.limit.first_token));
        let mut zones = self.forwards.list_zones(&self.map, table, plan, shape, tried, now);
        zones.retain(|zone| zone.first_token <= bound);
        let best = zones.into_iter().min_by(|a, b| {
            let home = |zone: &ZoneCandidate| zone.region != plan.home;
            home(a).cmp(&home(b)).then(a.first_token.cmp(&b.first_token))
        })?;
        let rate = self.map.link_bytes_per_s(&best.region);
        let entries = choice.capacity.entries;
        if !self.forwards.take_bytes(&best.region, rate, entries, shape, now) {
            return None;
        }
        self.forwards.note_forwarded(table, &best.zone, shape);
        let address = best.entries[self.rng.random_range(0..best.entries.len())];
        Some(RouteDecision::Entry { region: best.region, zone: best.zone, address })
    }
}

fn send_to(view: &UpstreamView, rank: Rank, prediction: Prediction) -> RouteDecision {
    let priority = priority_of(rank);
    RouteDecision::Upstream(UpstreamChoice { view: view.clone(), priority, prediction })
}

/// Priority that upstreams honour; lower numbers run first.
fn priority_of(rank: Rank) -> i32 {
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
        .retry_after(NO_UPSTREAM_RETRY)
}
