//! Choice of the upstream or region for one attempt of a request.
//!
//! [`filter`] names the upstreams that may run the request, [`policy`] says how to choose among
//! them, and [`track`] keeps what the entry itself sent.

use crate::{
    admit::{Admission, AdmissionGate, ZoneCapacity},
    answer::{Refusal, RefusalCode},
    decode::RequestPlan,
    name::{RegionName, UpstreamName, ZoneName},
    prefix::PromptShape,
    settings::Rank,
    table::{RoutingTable, UpstreamView},
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smallvec::SmallVec;
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};
use tokio::time::Instant;

pub mod filter;
pub mod policy;
pub mod score;
pub mod summary;
pub mod track;

use filter::{is_untried, may_reside, serves_plan};
use policy::{ChoiceRule, RouterPolicy};
use score::{OtherSends, Prediction, ScoreInput, predict};
use track::{RecentSend, RecentSends, SendTicket, SentAttempt, UpstreamTrack};

/// Time after its last announcement at which an upstream gets no new work.
pub const UPSTREAM_EXPIRY: Duration = Duration::from_millis(2_500);

/// Time after which the digest of another zone is not used.
pub const DIGEST_EXPIRY: Duration = Duration::from_secs(3);

/// Time after which a caller may try again where no upstream is known.
const NO_UPSTREAM_RETRY: Duration = Duration::from_secs(2);

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
}

/// An upstream of this availability zone, and the priority to send with.
#[derive(Debug, Clone)]
pub struct UpstreamChoice {
    /// The upstream.
    pub view: UpstreamView,
    /// Lower numbers run first.
    pub priority: i32,
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
    rng: ChaCha8Rng,
    sent: u64,
    mean_answer_tokens: f64,
    gate: AdmissionGate,
}

impl RequestRouter {
    /// A router for the instance at `place` with the shipped policy.
    pub fn new(place: RouterPlace) -> Self {
        Self::with_policy(place, RouterPolicy::default(), rand::random())
    }

    /// A router with a policy and a seed of its own.
    pub fn with_policy(place: RouterPlace, policy: RouterPolicy, seed: u64) -> Self {
        let rng = ChaCha8Rng::seed_from_u64(seed);
        let tracks = BTreeMap::new();
        let mean_answer_tokens = FIRST_ANSWER_MEAN;
        let gate = AdmissionGate::default();
        Self { place, policy, tracks, rng, sent: 0, mean_answer_tokens, gate }
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
        let candidates: SmallVec<[&UpstreamView; 16]> = table
            .upstreams
            .values()
            .filter(|view| may_reside(view, plan, &self.place))
            .filter(|view| serves_plan(view, plan, now) && is_untried(view, tried))
            .collect();
        self.observe_caches(&candidates);
        let predictions = self.predict_all(table, &candidates, plan, shape, now);
        let capacity =
            ZoneCapacity { upstreams: candidates.len(), entries: table.entries.len() + 1 };
        let limit = self.gate.limit(plan, capacity, now);
        let chosen = self.choose_upstream(&candidates, &predictions, limit);
        if let Some(place) = chosen
            && (!self.policy.admission || predictions[place].first_token <= limit)
        {
            return send_to(candidates[place], priority_of(plan.rank));
        }
        if plan.forwarded_from.is_none()
            && (chosen.is_none() || self.policy.spill)
            && let Some(decision) = self.choose_zone(table, plan, tried, now)
        {
            return decision;
        }
        let Some(place) = chosen else {
            return RouteDecision::Refuse(refuse_unroutable(plan, &self.place.region));
        };
        match self.gate.judge_late(plan, &predictions[place], capacity, &mut self.rng, now) {
            Admission::Promote => send_to(candidates[place], priority_of(Rank::Urgent)),
            Admission::Refuse(refusal) => RouteDecision::Refuse(refusal),
        }
    }

    /// Notes that a request was sent to `upstream`.
    pub fn note_sent(
        &mut self,
        table: &RoutingTable,
        upstream: &UpstreamName,
        plan: &RequestPlan,
        shape: &PromptShape,
        now: Instant,
    ) -> SendTicket {
        self.sent += 1;
        self.mean_answer_tokens +=
            ANSWER_MEAN_WEIGHT * (f64::from(shape.answer_tokens) - self.mean_answer_tokens);
        let prediction = table.upstreams.get(upstream).map(|view| {
            let sent = self.sent_since(view, plan.rank);
            self.predict_on(view, plan, shape, &sent, OtherSends::default(), now)
        });
        let work = prediction.map(|prediction| prediction.work()).unwrap_or_default();
        self.gate.note_sent(plan, work, now);
        let uncached_tokens = self.uncached_tokens(upstream, shape);
        let track = self.tracks.entry(upstream.clone()).or_default();
        track.prefix.expect_blocks(shape);
        track.sends.push(SentAttempt {
            number: self.sent,
            sent_at: now,
            uncached_tokens,
            urgent: plan.rank == Rank::Urgent,
            predicted: prediction.map(|prediction| prediction.first_token),
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

    /// Index of the chosen candidate.
    fn choose_upstream(
        &mut self,
        candidates: &[&UpstreamView],
        predictions: &[Prediction],
        limit: Duration,
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
            ChoiceRule::Predicted => places.min_by(|a, b| {
                let late = |place: &usize| predictions[*place].first_token > limit;
                let score = |place: &usize| predictions[*place].score();
                late(a).cmp(&late(b)).then(score(a).total_cmp(&score(b)))
            }),
        }
    }

    fn predict_all(
        &self,
        table: &RoutingTable,
        candidates: &[&UpstreamView],
        plan: &RequestPlan,
        shape: &PromptShape,
        now: Instant,
    ) -> SmallVec<[Prediction; 16]> {
        let sent = candidates.iter().map(|view| self.sent_since(view, plan.rank));
        let sent: SmallVec<[RecentSends; 16]> = sent.collect();
        let others = self.guess_others(table, &sent);
        let pairs = candidates.iter().zip(&sent);
        pairs.map(|(view, sent)| self.predict_on(view, plan, shape, sent, others, now)).collect()
    }

    /// What the other entries of the zone sent to each candidate since its report, if each sent
    /// as much as this one and spread it evenly.
    fn guess_others(&self, table: &RoutingTable, sent: &[RecentSends]) -> OtherSends {
        if !self.policy.crowd || sent.is_empty() {
            return OtherSends::default();
        }
        let factor = table.entries.len() as f64 / sent.len() as f64;
        let all = || sent.iter().flatten();
        let tokens: f64 = all().map(|send| send.tokens).sum();
        OtherSends { requests: all().count() as f64 * factor, tokens: tokens * factor }
    }

    fn sent_since(&self, view: &UpstreamView, rank: Rank) -> RecentSends {
        let track = self.tracks.get(&view.record.name);
        track.map(|track| track.sent_since(view.renewed_at, rank)).unwrap_or_default()
    }

    fn observe_caches(&mut self, candidates: &[&UpstreamView]) {
        if !self.policy.prefix {
            return;
        }
        for view in candidates {
            match self.tracks.get_mut(&view.record.name) {
                Some(track) => track.observe_record(&view.record),
                None => {
                    let track = self.tracks.entry(view.record.name.clone()).or_default();
                    track.observe_record(&view.record);
                }
            }
        }
    }

    fn uncached_tokens(&self, upstream: &UpstreamName, shape: &PromptShape) -> u32 {
        let track = self.tracks.get(upstream).filter(|_| self.policy.prefix);
        shape.tokens - track.map_or(0, |track| track.prefix.cached_tokens(shape))
    }

    fn predict_on(
        &self,
        view: &UpstreamView,
        plan: &RequestPlan,
        shape: &PromptShape,
        sent: &[RecentSend],
        others: OtherSends,
        now: Instant,
    ) -> Prediction {
        let track = self.tracks.get(&view.record.name);
        let input = ScoreInput {
            shape,
            rank: plan.rank,
            uncached_tokens: self.uncached_tokens(&view.record.name, shape),
            sent,
            others,
            pace: track.map_or(1.0, |track| track.pace(plan.rank)),
            mean_answer_tokens: self.mean_answer_tokens,
        };
        predict(view, &input, now)
    }

    fn choose_zone(
        &self,
        table: &RoutingTable,
        plan: &RequestPlan,
        tried: &TriedTargets,
        now: Instant,
    ) -> Option<RouteDecision> {
        plan.regions.iter().find_map(|region| {
            let (zone, view) = table.zones.iter().find(|(zone, view)| {
                view.digest.region == *region
                    && !tried.zones.contains(zone)
                    && now.duration_since(view.received_at) < DIGEST_EXPIRY
                    && view.digest.rows.iter().any(|row| {
                        row.pool == plan.pool && row.model == plan.model && row.upstreams > 0
                    })
            })?;
            let address = *view.digest.entries.first()?;
            Some(RouteDecision::Entry { region: region.clone(), zone: zone.clone(), address })
        })
    }
}

fn send_to(view: &UpstreamView, priority: i32) -> RouteDecision {
    RouteDecision::Upstream(UpstreamChoice { view: view.clone(), priority })
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
