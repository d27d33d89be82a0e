//! Choice of the upstream or region for one attempt of a request.
//!
//! [`filter`] names the upstreams that may run the request, [`policy`] says how to choose among
//! them, and [`track`] keeps what the entry itself sent.

use crate::{
    admit::{Admission, AdmissionGate, ZoneCapacity},
    answer::{Ran, Refusal, RefusalCode},
    decode::RequestPlan,
    explain::{
        ExplainRing, ExplainedCandidate, LISTED_CANDIDATES, RouteExplanation, RouteOutcome,
        UpstreamExplanation,
    },
    name::{RegionName, UpstreamName, ZoneName},
    prefix::PromptShape,
    retry::{RetryBudget, permits_attempt},
    settings::{Rank, Revision, SettingsSnapshot},
    table::{RoutingTable, UpstreamView},
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smallvec::SmallVec;
use std::{
    cmp::Ordering, collections::BTreeMap, iter::Peekable, net::SocketAddr, sync::Arc,
    time::Duration,
};
use tokio::time::Instant;

pub mod copies;
pub mod filter;
pub mod map;
pub mod policy;
pub mod score;
pub mod spill;
pub mod summary;
pub mod track;

use copies::{CopyCandidate, CopyPlaces};
use filter::{FilterReason, find_own_reason, find_reason};
use map::FleetMap;
use policy::{ChoiceRule, RouterPolicy};
use score::{Prediction, ScoreInput, TokenLimit, predict};
use spill::{ForwardTrack, ZoneCandidate};
use track::{SendTicket, SentAttempt, UpstreamTrack};

/// Time after its last announcement at which an upstream gets no new work.
pub const UPSTREAM_EXPIRY: Duration = Duration::from_millis(2_500);

/// Time after which the digest of another zone is not used.
pub const DIGEST_EXPIRY: Duration = Duration::from_secs(3);

/// Time after which a caller may try again where no upstream is known.
const NO_UPSTREAM_RETRY: Duration = Duration::from_secs(2);

/// Time between two removals of what is known of upstreams that are gone.
const FORGET_PERIOD: Duration = Duration::from_secs(1);

/// Weight of one request in the mean length of answers.
const ANSWER_MEAN_WEIGHT: f64 = 0.02;

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

/// The upstreams of a zone as one request finds them.
#[derive(Debug, Default)]
struct ZoneSurvey<'a> {
    candidates: SmallVec<[&'a UpstreamView; 16]>,
    /// Times on each candidate, in the order of the candidates.
    predictions: SmallVec<[Prediction; 16]>,
    filtered: Vec<(UpstreamName, FilterReason)>,
    /// The first upstream that only its quarantine shuts out.
    failing: Option<&'a UpstreamView>,
    capacity: ZoneCapacity,
}

/// Everything that one choice is made from, beside the router's own knowledge.
#[derive(Debug, Clone, Copy)]
struct ChoiceInput<'a> {
    table: &'a RoutingTable,
    plan: &'a RequestPlan,
    shape: &'a PromptShape,
    tried: &'a TriedTargets,
    capacity: ZoneCapacity,
    limit: TokenLimit,
    now: Instant,
}

impl ChoiceInput<'_> {
    fn explain(
        &self,
        revision: Revision,
        candidates: &[&UpstreamView],
        predictions: &[Prediction],
        filtered: Vec<(UpstreamName, FilterReason)>,
    ) -> RouteExplanation {
        let millis = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
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

    /// Takes the settings against which claims of other instances are checked.
    pub fn note_settings(&mut self, snapshot: &SettingsSnapshot) {
        if self.map.revision != snapshot.revision {
            self.map = FleetMap::of(snapshot);
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
            age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            used: unused.is_none(),
            unused,
        }
    }

    /// Notes that a request was sent as chosen.
    pub fn note_sent(
        &mut self,
        choice: &UpstreamChoice,
        plan: &RequestPlan,
        shape: &PromptShape,
        now: Instant,
    ) -> SendTicket {
        self.sent += 1;
        self.retries.note_first(&plan.pool);
        self.mean_answer_tokens +=
            ANSWER_MEAN_WEIGHT * (f64::from(shape.answer_tokens) - self.mean_answer_tokens);
        let prediction = choice.prediction;
        self.gate.note_sent(plan, prediction.work(), now);
        let upstream = &choice.view.record.name;
        let track = self.tracks.entry(upstream.clone()).or_default();
        track.prefix.expect_blocks(shape);
        track.sends.push(SentAttempt {
            number: self.sent,
            sent_at: now,
            uncached_tokens: prediction.uncached_tokens,
            urgent: plan.rank == Rank::Urgent,
            fingerprint: shape.fingerprint,
            predicted: Some(prediction.first_token),
        });
        SendTicket { upstream: upstream.clone(), number: self.sent }
    }

    /// Notes that the first token of an attempt came.
    pub fn note_first_token(&mut self, ticket: &SendTicket, now: Instant) {
        if let Some(track) = self.tracks.get_mut(&ticket.upstream) {
            track.note_first_token(ticket.number, now);
        }
    }

    /// Notes that an attempt ended.
    pub fn note_ended(&mut self, ticket: &SendTicket) {
        if let Some(track) = self.tracks.get_mut(&ticket.upstream) {
            track.note_ended(ticket.number);
        }
    }

    /// Whether the request may be attempted again; takes the attempt out of the retry budget.
    pub fn permit_retry(&mut self, plan: &RequestPlan, ran: Ran, attempts: u32) -> bool {
        permits_attempt(plan, ran, attempts) && self.retries.take_retry(&plan.pool)
    }

    /// Notes that an attempt failed; the upstream gets no new work for a while.
    pub fn note_failed(&mut self, upstream: &UpstreamName, now: Instant) {
        self.tracks.entry(upstream.clone()).or_default().note_failed(now);
    }

    fn is_quarantined(&self, view: &UpstreamView, now: Instant) -> bool {
        let track = self.tracks.get(&view.record.name);
        track.is_some_and(|track| track.is_quarantined(&view.record, now))
    }

    /// Notes that a request forwarded to `zone` came back without a result.
    pub fn note_returned(&mut self, zone: &ZoneName, plan: &RequestPlan, now: Instant) {
        self.forwards.note_returned(zone, plan, now);
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

    /// Takes the cache events of new announcements, and forgets upstreams that are gone.
    fn observe_table(&mut self, table: &RoutingTable, now: Instant) {
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
    fn survey<'a>(
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

    fn predict_on(
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
