//! Chooses the upstream for the next attempt of a request. Performs no I/O.
//!
//! Of the upstreams that may run the request, the one with the lowest cost is chosen. The cost grows
//! with the expected lateness against the target and with the shared prompt tokens that would have to
//! be prefilled again. Requests that share a prompt part prefer the same upstream, which all entries
//! find with the same hash. Another region is chosen if its cost is lower and no local upstream is
//! cheap enough.

mod lateness;
mod observations;
mod region_choice;

use crate::{
    gateway::{
        decision::{
            call::RoutedCall,
            choice::{ChoiceBasis, ChoiceInput, LeftOutCounts, RefusalCause, UpstreamChoice},
            chooser::lateness::{describe_flow, lateness_ms, measured_lateness_ms, work_tokens},
            fair_order::{FairOrder, FlowStanding},
            grant_allocator::SendReport,
            score::{
                AdmittedUpstream, Candidate, HARMLESS_PREFILL_MS, estimate_cached, score_upstream,
                shared_tokens,
            },
            send_pace::{PaceInput, SendShare, brittle_share},
            tracker::{OpenSend, SendNumber, UpstreamTracker},
        },
        document::routes::{EngineRule, PoolRule, WarmupRule},
        knowledge::{
            conditions::{ActiveLimit, ConditionTable},
            departures::DepartureLog,
            entry_capacity::weigh_highest,
            fleet_update::DepartedUpstream,
            owners::weigh_by_speed,
            pool_partition::{PoolPartition, PromptClass, PromptDemand, PromptWork},
            upstream_speed::SpeedRow,
            view::{FleetView, KnownUpstream},
            warmup::hash_pair,
        },
    },
    name::{InstanceName, PoolName, RegionName, UpstreamName, ZoneName},
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smallvec::SmallVec;
use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    ops::Range,
    sync::Arc,
    time::Duration,
};
use tokio::time::Instant;

/// Local cost up to which no other region is considered.
const CROSS_REGION_MIN_COST: f64 = 0.25;

/// Stall cost for running streams above which a request waits until less prefill is queued.
const MAX_STALL_COST: f64 = 0.1;

/// Fraction of the target within which the first token must be predicted for a request to wait for
/// prefill.
const PREFILL_WAIT_TARGET_FRACTION: f64 = 0.45;

/// Shortest and longest wait for prefill before the choice is repeated, in milliseconds.
const PREFILL_WAIT_RANGE_MS: (f64, f64) = (15.0, 80.0);

/// Fraction of the remaining time within which the answer must be expected to begin.
const FIRST_TOKEN_DEADLINE_FRACTION: f64 = 0.85;

/// Time after its last answer for which an upstream that no longer renews its registration is used.
const SILENT_GRACE: Duration = Duration::from_secs(3);

/// Assumed duration of a stream before any was measured, in milliseconds.
const DEFAULT_STREAM_MS: f64 = 1_000.0;

/// Time for which an owner, or an entry that has just started, sends nothing to an upstream after
/// learning that it is cold. What this process or another sender sent before counts against the rate
/// for the second in which it arrived, and entries that start together do not know each other at first.
const NEW_SENDER_DELAY: Duration = Duration::from_millis(1_100);

/// Fraction of its slots up to which an upstream assigned to the other prompt class accepts a prompt
/// for which the upstreams of its own class have no room. Requests of a flow above its share also leave
/// the rest of the slots, and as much of the memory, to others.
const SPARE_SLOT_FRACTION: f64 = 0.8;

/// Longest time after the arrival of a request at which it may still be sent to an upstream that is at
/// its rate limit. The wait is bounded because other requests compete for the same sends.
const MAX_PACED_WAIT: Duration = Duration::from_millis(400);

/// Longest wait for the first upstream of a pool after the start of the entry.
const MAX_STARTUP_WAIT: Duration = Duration::from_millis(1_200);

/// Mean of the random cost that is added to each engine if many entries choose, so that entries acting
/// on the same outdated report do not all choose the same engine.
const MEAN_RANDOM_COST: f64 = 0.4;

/// Number of other entries in the region at which half of [`MEAN_RANDOM_COST`] is applied.
const RANDOM_COST_HALF_ENTRIES: f64 = 10.0;

/// Time between two checks for the first upstream of a pool.
const STARTUP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Fraction of an upstream's connections that the entries of this region share.
const CONNECTION_FRACTION: f64 = 0.85;

/// Minimum of the connection limit to one upstream.
const MIN_CONNECTIONS: usize = 2;

/// Time after which a request asks again for room at brittle upstreams.
const BRITTLE_POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Shortest time after which a refused caller is told to retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(150);

/// Period over which retries are spread that were deferred until the end of an upstream's pause.
const PAUSE_RETRY_SPREAD: Duration = Duration::from_millis(600);

/// Time after which callers are told to retry if no upstream is usable; it is randomized.
const UNKNOWN_RETRY_AFTER: Duration = Duration::from_millis(800);

/// Number of samples of the last seconds with which the speed of an upstream is reported.
const MIN_REPORTED_SAMPLES: usize = 2;

/// An upstream may get a request now.
#[derive(Debug, Clone, Copy)]
struct Admission {
    /// Time until the next request of this entry, if the upstream tolerates a limited rate.
    pace: Option<Duration>,
}

/// Chooses upstreams by the requests that this entry sent to them and the load that others reported.
#[derive(Debug, Clone)]
pub struct UpstreamChooser {
    own: InstanceName,
    region: RegionName,
    zone: ZoneName,
    trackers: HashMap<UpstreamName, UpstreamTracker>,
    sent: u64,
    next_retries: HashMap<PoolName, Instant>,
    unreachable: HashMap<RegionName, Instant>,
    groups: HashMap<PoolName, PoolPartition>,
    answer_ms: HashMap<(PoolName, PromptClass), f64>,
    random: ChaCha8Rng,
    left_out: LeftOutCounts,
    /// Earliest send to an upstream with a limited rate that was left out of the current choice.
    next_paced_send: Option<(Instant, UpstreamName)>,
    /// Earliest end of a pause among the upstreams that were left out of the current choice.
    pause_end: Option<Instant>,
    departures: DepartureLog,
    conditions: ConditionTable,
    /// Whether the upstreams of the current choice are brittle.
    brittle: bool,
    /// Upstreams that get no requests until they are reached again.
    blocked: HashSet<UpstreamName>,
    /// Other entries of the region that could not be reached, with the end of their backoff.
    lost_entries: HashMap<SocketAddr, Instant>,
    /// Whether the speed of upstreams is measured.
    measured: bool,
    /// Speeds that control told, of upstreams whose speed is measured.
    told_speeds: HashMap<UpstreamName, f64>,
    /// Order among requests for the engines that only this chooser sends to; none unless their load is
    /// measured.
    order: Option<FairOrder>,
}

impl UpstreamChooser {
    /// Creates a chooser for the entry `own` in `zone` of `region`; choosers with equal seeds make equal
    /// choices.
    pub fn new(own: InstanceName, region: RegionName, zone: ZoneName, seed: u64) -> Self {
        Self {
            own,
            region,
            zone,
            trackers: HashMap::new(),
            sent: 0,
            next_retries: HashMap::new(),
            unreachable: HashMap::new(),
            groups: HashMap::new(),
            answer_ms: HashMap::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            left_out: LeftOutCounts::default(),
            next_paced_send: None,
            pause_end: None,
            departures: DepartureLog::default(),
            conditions: ConditionTable::default(),
            brittle: false,
            blocked: HashSet::new(),
            lost_entries: HashMap::new(),
            measured: false,
            told_speeds: HashMap::new(),
            order: None,
        }
    }

    /// Like [`Self::set_measured_load`].
    pub fn with_measured_load(mut self, measured: bool) -> Self {
        self.set_measured_load(measured);
        self
    }

    /// Measures the speed of upstreams if `measured`, in place of learning it from first tokens alone.
    pub fn set_measured_load(&mut self, measured: bool) {
        if self.measured != measured {
            self.measured = measured;
            // Upstreams without open requests are measured from their next one on.
            self.trackers.retain(|_, tracker| tracker.open() > 0);
        }
    }

    /// Like [`Self::set_fair_order`].
    pub fn with_fair_order(mut self, ordered: bool) -> Self {
        self.set_fair_order(ordered);
        self
    }

    /// Admits requests to engines by what the engines keep in memory, by the predicted end of the answers
    /// and by the shares of workspaces if `ordered`. Has an effect only where this chooser alone sends to
    /// them.
    pub fn set_fair_order(&mut self, ordered: bool) {
        self.order = ordered.then(FairOrder::default);
    }

    /// Speeds of the upstreams that are measured well enough for others to use.
    pub fn speeds(&self, now: Instant) -> impl Iterator<Item = SpeedRow> {
        self.trackers.iter().filter_map(move |(name, tracker)| {
            let samples = tracker.speed_samples(now);
            let row = || SpeedRow(name.clone(), (tracker.speed() * 1_000.0) as u32, samples as u32);
            (samples >= MIN_REPORTED_SAMPLES).then(row)
        })
    }

    /// Upstreams with open requests: name, number of requests, and time to prefill their prompts in
    /// milliseconds.
    pub fn open_work(&self, now: Instant) -> impl Iterator<Item = (&UpstreamName, u32, u32)> {
        let busy = self.trackers.iter().filter(|(_, tracker)| tracker.open() > 0);
        busy.map(move |(name, tracker)| {
            (name, tracker.open() as u32, tracker.backlog_ms(u8::MAX, now) as u32)
        })
    }

    /// Demand of the requests that arrive at this entry, by pool.
    pub fn demand(&mut self, now: Instant) -> Vec<(PoolName, PromptDemand)> {
        let groups = self.groups.iter_mut();
        groups.map(|(pool, groups)| (pool.clone(), groups.demand(now))).collect()
    }

    /// Conditions of upstreams.
    pub fn conditions(&mut self) -> &mut ConditionTable {
        &mut self.conditions
    }

    /// Applies the conditions that came with `view`, and drops the state of upstreams that are not in it
    /// and have no open requests.
    pub fn apply_view(&mut self, view: &FleetView, now: Instant) {
        self.conditions.apply_listing(view.known(), now);
        self.departures.forget(view.upstreams(), now);
        let known: HashSet<_> = view.upstreams().map(|upstream| &upstream.name).collect();
        self.trackers.retain(|name, tracker| !tracker.is_idle(now) || known.contains(name));
        if self.measured {
            for (name, speed) in &view.speeds {
                if let Some(tracker) = self.trackers.get_mut(name) {
                    tracker.note_told_speed(*speed, now);
                }
            }
            self.told_speeds.clone_from(&view.speeds);
        }
    }

    /// Upstreams in `view` that have announced that they are leaving.
    pub fn departed(&self, view: &FleetView) -> Vec<DepartedUpstream> {
        self.departures.list(view.upstreams())
    }

    /// Whether the process of `known` has announced in an answer that it is leaving.
    pub fn has_departed(&self, known: &KnownUpstream) -> bool {
        self.departures.contains(&known.upstream)
    }

    fn tracker(&mut self, known: &KnownUpstream) -> &mut UpstreamTracker {
        self.tracker_for_process(&known.upstream.name, known.upstream.started_ms)
    }

    /// Returns the tracker of an upstream process, and resets it if the process is newer than the tracked
    /// one.
    fn tracker_for_process(
        &mut self,
        upstream: &UpstreamName,
        started_ms: u64,
    ) -> &mut UpstreamTracker {
        let told = self.told_speeds.get(upstream).copied().unwrap_or(1.0);
        let measured = self.measured;
        let create = |speed| match measured {
            true => UpstreamTracker::measured(started_ms, speed),
            false => UpstreamTracker::new(started_ms),
        };
        let tracker = self.trackers.entry(upstream.clone()).or_insert_with(|| create(told));
        if tracker.started_ms() < started_ms {
            *tracker = create(tracker.speed());
        }
        tracker
    }

    /// Chooses the target of the next attempt, and records the send if it is an upstream.
    pub fn choose(&mut self, input: &ChoiceInput<'_>) -> UpstreamChoice {
        self.left_out = LeftOutCounts::default();
        self.next_paced_send = None;
        self.pause_end = None;
        let empty = Vec::new();
        let upstreams = input.view.pools.get(&input.call.pool).unwrap_or(&empty);
        // Upstreams of a pool become brittle together, and one that has just started has not said so.
        self.brittle = upstreams.iter().any(|known| {
            self.conditions.is_brittle(&known.upstream.name, known.upstream.started_ms)
        });
        let may_run_here = input.call.allows_region(&self.region);
        let upstreams = if may_run_here { upstreams } else { &empty };
        let measured_engine = self.measured_engine(input);
        for known in upstreams {
            let tracker = self.tracker(known);
            if let Some(engine) = measured_engine {
                tracker.measure_memory(engine.kv_tokens);
            }
        }
        let flow = measured_engine.map(|_| describe_flow(input.call));
        let standing = flow.as_ref().and_then(|flow| {
            let limit = input.call.deadline - input.call.received_at;
            Some(self.order.as_mut()?.standing(flow, limit, input.now))
        });
        let best = self.find_best(input, upstreams, standing);
        let local_cost = match &best {
            // What would be refused here is better served elsewhere at any cost.
            Some(best) if standing.is_none() || best.late_ms <= 0.0 => best.cost,
            _ => f64::INFINITY,
        };
        if !input.call.hopped
            && local_cost > CROSS_REGION_MIN_COST
            && let Some(choice) = self.choose_region(input, local_cost)
        {
            return choice;
        }
        let Some(best) = best else { return self.refuse_unusable(input, upstreams) };
        if best.late_ms > 0.0 {
            let retry_after = self.schedule_retry(input, best.late_ms);
            if let (Some(order), Some(flow)) = (&mut self.order, &flow) {
                order.note_refused(flow, input.now);
            }
            return UpstreamChoice::Refuse {
                cause: RefusalCause::Overloaded,
                retry_after,
                left_out: self.left_out,
                basis: Some(best.basis),
            };
        }
        if let Some(until) = self.wait_for_prefill(input, &best) {
            return UpstreamChoice::Wait(until);
        }
        let known = Arc::clone(best.known);
        let Candidate { unread_tokens, predicted_ms, basis, pace, .. } = best;
        let number = self.record_send(input, &known, unread_tokens, predicted_ms, pace);
        if let (Some(order), Some(flow)) = (&mut self.order, &flow) {
            order.note_granted(flow, work_tokens(input.call), input.now);
        }
        let connections = connection_limit(input);
        let paced = pace.is_some();
        UpstreamChoice::Upstream { known, number, connections, basis, ticket: None, paced }
    }

    /// Records a send to the upstream that its owner granted; `None` if this entry knows that the upstream
    /// is blocked, paused, leaving or of another software version than required, or that it is limited to
    /// a rate of which the grant is not part.
    pub fn accept_grant(
        &mut self,
        input: &ChoiceInput<'_>,
        known: &Arc<KnownUpstream>,
        basis: ChoiceBasis,
        paced: bool,
    ) -> Option<UpstreamChoice> {
        self.tracker(known);
        let tracker = self.trackers.get(&known.upstream.name);
        let paused = tracker.is_none_or(|tracker| tracker.pause_end(input.now).is_some());
        if paused
            || self.blocked.contains(&known.upstream.name)
            || self.departures.contains(&known.upstream)
            || (!paced && self.conditions.limit(&known.upstream).is_some())
            || !has_required_version(input, known)
        {
            return None;
        }
        let predicted_ms = f64::from(basis.predicted_ms);
        let number = self.record_send(input, known, basis.unread, predicted_ms, None);
        let connections = connection_limit(input);
        let known = Arc::clone(known);
        Some(UpstreamChoice::Upstream { known, number, connections, basis, ticket: None, paced })
    }

    /// Records a request that was sent to an upstream without a choice by this chooser.
    pub fn note_reported(&mut self, report: &SendReport, now: Instant) -> SendNumber {
        self.sent += 1;
        let number = SendNumber(self.sent);
        let sent_at = now.checked_sub(Duration::from_millis(u64::from(report.elapsed_ms)));
        let tracker = self.tracker_for_process(&report.upstream, report.started_ms);
        let send = OpenSend {
            number,
            sent_at: sent_at.unwrap_or(now),
            rank: report.rank,
            class: PromptClass::of(report.prompt_tokens),
            prompt_tokens: report.prompt_tokens,
            expected_tokens: report.expected_tokens,
            prefill_ms: UpstreamTracker::prefill_ms(report.unread_tokens),
            predicted_ms: f64::from(report.predicted_ms) / tracker.slowness(),
            began_at: report.began.then_some(now),
        };
        tracker.note_sent(send, &[]);
        number
    }

    /// Time until which the request should wait, so that its prefill does not stall the streams that run
    /// on the upstream.
    fn wait_for_prefill(&self, input: &ChoiceInput<'_>, best: &Candidate<'_>) -> Option<Instant> {
        let (least, most) = PREFILL_WAIT_RANGE_MS;
        let wait_ms = (best.prefill_run_ms - HARMLESS_PREFILL_MS).clamp(least, most);
        let waited_ms = (input.now - input.call.received_at).as_secs_f64() * 1_000.0;
        let allowed_ms = input.call.route.target_ms as f64 * PREFILL_WAIT_TARGET_FRACTION;
        let tracker = self.trackers.get(&best.known.upstream.name);
        let read_ms = match tracker.filter(|tracker| tracker.is_measured()) {
            Some(tracker) => tracker.read_ms(best.unread_tokens),
            None => UpstreamTracker::prefill_ms(best.unread_tokens),
        };
        let alone = read_ms >= best.prefill_run_ms;
        let waits = best.stall_cost > MAX_STALL_COST
            && !alone
            && waited_ms + wait_ms + best.predicted_ms < allowed_ms;
        waits.then(|| input.now + Duration::from_secs_f64(wait_ms / 1_000.0))
    }

    fn find_best<'a>(
        &mut self,
        input: &ChoiceInput<'a>,
        upstreams: &'a [Arc<KnownUpstream>],
        standing: Option<FlowStanding>,
    ) -> Option<Candidate<'a>> {
        let head = &input.call.head;
        let affinity = input.call.route.affinity;
        let key = head.shared_parts().last().filter(|_| affinity);
        let key = key.map_or_else(|| self.random.random(), |part| part.id);
        let weights = match self.measured {
            true => weigh_by_speed(upstreams, &input.view.speeds),
            false => HashMap::new(),
        };
        let hash = |known: &KnownUpstream| {
            let name = &known.upstream.name;
            let weight = weights.get(name).copied().unwrap_or(1.0);
            weigh_highest(hash_pair(key, name.as_str()), weight)
        };
        let group = self.find_class_group(input, upstreams.len());
        let mut admitted: SmallVec<[AdmittedUpstream<'a>; 16]> = SmallVec::new();
        for (index, known) in upstreams.iter().enumerate() {
            if let Some(Admission { pace }) = self.admit(input, known) {
                let grouped = group.contains(&index);
                admitted.push(AdmittedUpstream { known, hash: hash(known), grouped, pace });
            }
        }
        // Where the load is measured, the cached parts are known.
        let estimates = affinity && standing.is_none();
        let cached_fractions = if estimates { estimate_cached(&admitted) } else { SmallVec::new() };
        let others = input.view.entries.len().saturating_sub(1) as f64;
        let random_fraction = others * others
            / (others * others + RANDOM_COST_HALF_ENTRIES * RANDOM_COST_HALF_ENTRIES);
        let engine = input.pool.is_some_and(|pool| pool.engine.is_some());
        let random_cost =
            if engine && !input.exclusive { MEAN_RANDOM_COST * random_fraction } else { 0.0 };
        // The best upstream assigned to the other prompt class, then the best assigned to this class.
        let mut best: [Option<Candidate<'a>>; 2] = [None, None];
        for (index, admitted) in admitted.iter().enumerate() {
            let cached_fraction = cached_fractions.get(index).copied().unwrap_or_default();
            let Some(tracker) = self.trackers.get(&admitted.known.upstream.name) else { continue };
            let mut candidate = score_upstream(
                input,
                input.zone.unwrap_or(&self.zone),
                tracker,
                admitted,
                cached_fraction,
            );
            candidate.late_ms = match (standing, tracker.memory()) {
                (Some(standing), Some(memory)) => {
                    measured_lateness_ms(input, &candidate, tracker, memory, standing)
                }
                _ => lateness_ms(input, &candidate),
            };
            let sample: f64 = self.random.random_range(f64::EPSILON..1.0);
            candidate.random_cost = -sample.ln() * random_cost;
            let best = &mut best[usize::from(admitted.grouped)];
            if best.as_ref().is_none_or(|best| candidate.is_preferred(best)) {
                *best = Some(candidate);
            }
        }
        let [other, grouped] = best;
        let spare = |other: &Candidate<'_>| {
            let slots = f64::from(other.known.upstream.slots);
            input.exclusive && other.late_ms <= 0.0 && other.requests < slots * SPARE_SLOT_FRACTION
        };
        match (other, grouped) {
            (Some(other), Some(grouped)) if grouped.late_ms > 0.0 && spare(&other) => Some(other),
            (Some(other), Some(grouped)) if other.cost < grouped.cost => Some(other),
            (other, grouped) => grouped.or(other),
        }
    }

    /// Adds a request that has arrived to the demand of its pool.
    pub fn note_arrival(&mut self, call: &RoutedCall, pool: Option<&PoolRule>, now: Instant) {
        let Some(engine) = pool.and_then(|pool| pool.engine) else { return };
        if let Some(order) = &mut self.order {
            order.note_asked(&describe_flow(call), work_tokens(call), now);
        }
        let tokens = call.head.prompt_tokens;
        let class = PromptClass::of(tokens);
        let answer_ms = self.answer_ms.get(&(call.pool.clone(), class));
        let work = PromptWork {
            prefill_ms: UpstreamTracker::prefill_ms(
                tokens.saturating_sub(shared_tokens(&call.head)),
            ),
            occupancy_ms: answer_ms.copied().unwrap_or(DEFAULT_STREAM_MS),
            slots: f64::from(engine.slots.max(1)),
            rank: call.rank(),
        };
        let groups = self.groups.entry(call.pool.clone());
        groups.or_insert_with(|| PoolPartition::new(now)).record(class, work, now);
    }

    /// Index range of the upstreams that are assigned to prompts of the request's class.
    fn find_class_group(&mut self, input: &ChoiceInput<'_>, upstreams: usize) -> Range<usize> {
        if input.pool.is_none_or(|pool| pool.engine.is_none()) {
            return 0..upstreams;
        }
        let class = PromptClass::of(input.call.head.prompt_tokens);
        let groups = self.groups.entry(input.call.pool.clone());
        let groups = groups.or_insert_with(|| PoolPartition::new(input.now));
        let reported = input.load.work_at.filter(|_| !input.exclusive);
        let reported = reported.and_then(|_| input.load.demand.get(&input.call.pool));
        let entries = input.view.entries.len() as f64;
        let own = groups.demand(input.now);
        let demand = reported.copied().unwrap_or_else(|| own.scaled(entries));
        let long = groups.count_long(upstreams, &demand, input.exclusive);
        match class {
            _ if long == 0 || long == upstreams => 0..upstreams,
            PromptClass::Long => 0..long,
            PromptClass::Short => long..upstreams,
        }
    }

    /// How the upstream may get the request now; `None`, with the reason counted, if it may not.
    fn admit(&mut self, input: &ChoiceInput<'_>, known: &KnownUpstream) -> Option<Admission> {
        let now = input.now;
        let name = &known.upstream.name;
        if !has_required_version(input, known) {
            self.left_out.version += 1;
            return None;
        }
        if input.tried.upstreams.contains(name) {
            self.left_out.tried += 1;
            return None;
        }
        if self.departures.contains(&known.upstream) {
            self.left_out.leaving += 1;
            return None;
        }
        let cold = known.unconfirmed || known.cold_until.is_some_and(|until| now < until);
        let tracker = self.trackers.get_mut(name)?;
        let cold_since = tracker.note_cold_state(cold, now);
        if let Some(end) = tracker.pause_end(now) {
            self.left_out.paused += 1;
            self.pause_end = Some(self.pause_end.map_or(end, |first| first.min(end)));
            return None;
        }
        if tracker.is_backing_off(now) || self.blocked.contains(name) {
            self.left_out.barred += 1;
            return None;
        }
        if known.silent && !tracker.has_answered(SILENT_GRACE, now) {
            self.left_out.silent += 1;
            return None;
        }
        if self.brittle {
            let share = self.find_brittle_share(input, known);
            let open = self.trackers.get(name).map_or(0, UpstreamTracker::open);
            if open >= share {
                self.left_out.limited += 1;
                if share > 0 {
                    self.note_next_send(now + BRITTLE_POLL_INTERVAL, name);
                }
                return None;
            }
        }
        let warmup = input.pool.and_then(|pool| pool.warmup).filter(|_| cold);
        let limit = self.conditions.limit(&known.upstream);
        let Some(share) = self.find_share(input, known, warmup, limit.as_ref()) else {
            return Some(Admission { pace: None });
        };
        let SendShare::Paced { interval, from } = share else {
            self.count_paced(warmup.is_some());
            return None;
        };
        let tracker = self.trackers.get_mut(name)?;
        let mut next = tracker.pace().next_send(input.call.rank(), interval, now).max(from);
        if let Some(since) = cold_since.filter(|_| input.exclusive || input.starting_up) {
            next = next.max(since + NEW_SENDER_DELAY);
        }
        if now < next {
            self.count_paced(warmup.is_some());
            self.note_next_send(next, name);
            return None;
        }
        Some(Admission { pace: Some(interval) })
    }

    /// Records that the upstream, which is left out now, may get a request at `next`.
    fn note_next_send(&mut self, next: Instant, name: &UpstreamName) {
        if self.next_paced_send.as_ref().is_none_or(|(first, _)| next < *first) {
            self.next_paced_send = Some((next, name.clone()));
        }
    }

    /// Number of requests that this entry may have in flight at a brittle upstream. If the engines of the
    /// pool have owners, only the owner sends.
    fn find_brittle_share(&self, input: &ChoiceInput<'_>, known: &KnownUpstream) -> usize {
        match input.view.owners.has_owners(&input.call.pool) {
            true => 0,
            false => brittle_share(&self.pace_input(input, known), known.upstream.slots),
        }
    }

    fn pace_input<'a>(
        &'a self,
        input: &ChoiceInput<'a>,
        known: &'a KnownUpstream,
    ) -> PaceInput<'a> {
        PaceInput {
            own: &self.own,
            entries: &input.view.entries,
            upstream: &known.upstream.name,
            started_ms: known.upstream.started_ms,
            now: input.now,
        }
    }

    fn count_paced(&mut self, cold: bool) {
        let count = if cold { &mut self.left_out.cold } else { &mut self.left_out.limited };
        *count += 1;
    }

    /// This entry's share of the rates that the upstream tolerates; `None` if they are not limited. If the
    /// engines of the pool have owners, only the owner sends, as it knows of all requests.
    fn find_share(
        &self,
        input: &ChoiceInput<'_>,
        known: &KnownUpstream,
        warmup: Option<WarmupRule>,
        limit: Option<&ActiveLimit>,
    ) -> Option<SendShare> {
        let pace = self.pace_input(input, known);
        let warmup = warmup.map(|warmup| SendShare::of_warmup(&pace, warmup.per_s));
        let limit = limit.map(|limit| SendShare::of_limit(&pace, limit));
        let share = match (warmup, limit) {
            (Some(warmup), Some(limit)) => warmup.min(limit),
            (warmup, limit) => warmup.or(limit)?,
        };
        Some(match input.view.owners.has_owners(&input.call.pool) {
            true => SendShare::None,
            false => share,
        })
    }

    fn record_send(
        &mut self,
        input: &ChoiceInput<'_>,
        known: &Arc<KnownUpstream>,
        unread_tokens: u32,
        predicted_ms: f64,
        pace: Option<Duration>,
    ) -> SendNumber {
        self.sent += 1;
        let number = SendNumber(self.sent);
        let now = input.now;
        let send = OpenSend {
            number,
            sent_at: now,
            rank: input.call.rank(),
            class: PromptClass::of(input.call.head.prompt_tokens),
            prompt_tokens: input.call.head.prompt_tokens,
            expected_tokens: input.call.head.expected_tokens(),
            prefill_ms: UpstreamTracker::prefill_ms(unread_tokens),
            predicted_ms: 0.0,
            began_at: None,
        };
        let parts = &input.call.head.parts;
        let tracker = self.tracker(known);
        let predicted = predicted_ms / tracker.slowness();
        tracker.note_sent(OpenSend { predicted_ms: predicted, ..send }, parts);
        if let Some(interval) = pace {
            tracker.pace().note_sent(interval, now);
        }
        number
    }

    /// Rule of the engines of the request's pool, if only this chooser sends to them and their load is
    /// measured.
    fn measured_engine(&self, input: &ChoiceInput<'_>) -> Option<EngineRule> {
        let engine = input.pool.and_then(|pool| pool.engine);
        engine.filter(|_| input.exclusive && self.order.is_some())
    }

    fn refuse_unusable(
        &mut self,
        input: &ChoiceInput<'_>,
        upstreams: &[Arc<KnownUpstream>],
    ) -> UpstreamChoice {
        if let Some((next_send, name)) = self.next_paced_send.take()
            && next_send <= input.call.received_at + MAX_PACED_WAIT
            && next_send < input.call.deadline
        {
            if let Some(tracker) = self.trackers.get_mut(&name) {
                tracker.pace().reserve(input.call.rank(), next_send);
            }
            return UpstreamChoice::Wait(next_send);
        }
        if input.starting_up && upstreams.is_empty() {
            let waited = input.now - input.call.received_at;
            if waited < MAX_STARTUP_WAIT
                && waited * 4 < input.call.deadline - input.call.received_at
            {
                return UpstreamChoice::Wait(input.now + STARTUP_POLL_INTERVAL);
            }
        }
        let known = upstreams.iter().any(|known| has_required_version(input, known));
        let cause = match input.software {
            _ if known => RefusalCause::Unusable,
            Some(_) => RefusalCause::VersionGone,
            None => RefusalCause::NoUpstream,
        };
        let spread = UNKNOWN_RETRY_AFTER.mul_f64(self.random.random_range(0.7..1.5));
        // If pauses are the only obstacle, callers retry shortly after the first of them ends.
        let LeftOutCounts { barred, cold, .. } = self.left_out;
        let retry_after = match self.pause_end.filter(|_| barred == 0 && cold == 0) {
            Some(end) => {
                (end - input.now) + PAUSE_RETRY_SPREAD.mul_f64(self.random.random_range(0.0..1.0))
            }
            None => spread,
        };
        UpstreamChoice::Refuse { cause, retry_after, left_out: self.left_out, basis: None }
    }

    /// Time after which a caller may retry, at least `wait_ms`. Retries to one pool are spaced at the rate
    /// at which its upstreams can prefill them.
    fn schedule_retry(&mut self, input: &ChoiceInput<'_>, wait_ms: f64) -> Duration {
        let call = input.call;
        let upstreams = input.view.pools.get(&call.pool).map_or(1, |pool| pool.len().max(1));
        let entries = input.view.entries.len().max(1);
        let work_ms = UpstreamTracker::prefill_ms(call.head.prompt_tokens).max(1.0);
        let interval_ms = work_ms * entries as f64 / upstreams as f64;
        let earliest =
            input.now + MIN_RETRY_AFTER.max(Duration::from_secs_f64(wait_ms.max(0.0) / 1e3));
        let next = self.next_retries.entry(call.pool.clone()).or_insert(earliest);
        let at = (*next).max(earliest);
        *next = at + Duration::from_secs_f64(interval_ms / 1_000.0);
        at - input.now
    }
}

/// Whether an upstream has the software version that the request must stay with, if any.
fn has_required_version(input: &ChoiceInput<'_>, known: &KnownUpstream) -> bool {
    input.software.is_none_or(|software| *software == known.upstream.software)
}

/// Maximum number of connections from this entry to one upstream of the pool.
fn connection_limit(input: &ChoiceInput<'_>) -> usize {
    let bound = input.pool.map_or(f64::INFINITY, |pool| f64::from(pool.connections));
    let share = bound * CONNECTION_FRACTION / input.view.entries.len().max(1) as f64;
    (share as usize).max(MIN_CONNECTIONS)
}
