//! Where the next attempt of a request goes. Without input or output.
//!
//! Of the upstreams that may run the request, the one with the least loss is taken. The loss adds how
//! late the answer would be against the target, and what of the prompt's shared parts would have to
//! be read again. Requests that share a part prefer the same upstream, which all entries find by the
//! same hash. Another region is asked when no upstream here would answer in time and one there would.

use crate::{
    gateway::{
        call::{CallHead, RoutedCall},
        groups::{PromptDemand, PromptGroups, PromptSort, PromptWork},
        routes::{EngineRule, PoolRule},
        track::{OpenSend, SendEnd, SendNumber, UpstreamTrack},
        view::{FleetView, KnownUpstream, LoadView},
        warmup::{choose_sender, hash_pair, pause_between},
    },
    name::{InstanceName, PoolName, RegionName, UpstreamName, ZoneName},
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use smallvec::SmallVec;
use std::{
    collections::HashMap,
    fmt::{self, Display, Formatter},
    net::SocketAddr,
    ops::Range,
    sync::Arc,
    time::Duration,
};
use tokio::time::Instant;

/// Part of the target up to which an answer costs nothing for its time.
const EASY_PART: f64 = 0.5;

/// Loss of an answer just at its target.
const TARGET_LOSS: f64 = 0.3;

/// Loss of an answer just past its target.
const LATE_LOSS: f64 = 1.0;

/// Loss of reading a thousand shared tokens again.
const REREAD_LOSS: f64 = 0.12;

/// Loss of an upstream in another zone, for the bytes.
const ZONE_LOSS: f64 = 0.02;

/// Parts of the shared prompt that the first and second upstream of each zone by the hash are taken to
/// have read.
const KEPT_PARTS: [f64; 2] = [1.0, 0.5];

/// Part of the shared prompt that an upstream of another region is taken to have read for its own
/// callers.
const KEPT_ELSEWHERE: f64 = 0.8;

/// Loss of a hop to another region, for its bytes and its entry's work.
const HOP_LOSS: f64 = 0.12;

/// Loss here below which no other region is asked.
const HOP_FLOOR: f64 = 0.25;

/// Time that a hop to another region adds to the first token, in milliseconds.
const HOP_MS: f64 = 125.0;

/// Difference of two losses that counts as none.
const TIE_LOSS: f64 = 0.005;

/// Loss of an upstream that takes prompts of the other sort.
const GROUP_LOSS: f64 = 0.1;

/// Loss of one stream of the other sort that a long prompt slows down in a full engine.
const SLOWED_LOSS: f64 = 0.3;

/// Loss of an upstream that only fails, over one that never does.
const FAILING_LOSS: f64 = 2.0;

/// Part of failures that is taken to lie with the requests.
const FAILING_FLOOR: f64 = 0.35;

/// Reading without a break, in milliseconds, that makes no running stream pause for too long.
const EASY_STRETCH_MS: f64 = 230.0;

/// Further reading without a break after which every running stream has paused for too long.
const HARD_STRETCH_MS: f64 = 170.0;

/// Loss of an engine whose places are all taken, for what others send to it meanwhile.
const FILL_LOSS: f64 = 0.2;

/// Loss of one running stream that pauses for too long.
const PAUSE_LOSS: f64 = 0.05;

/// Loss for running streams above which a request rather waits until less is to be read.
const WAIT_LOSS: f64 = 0.1;

/// Part of the target up to which a request waits so.
const WAIT_TARGET_PART: f64 = 0.45;

/// Shortest and longest wait before the choice is made again, in milliseconds.
const WAIT_RANGE_MS: (f64, f64) = (15.0, 80.0);

/// Part of the time that is left within which an answer must be expected to begin.
const WAIT_PART: f64 = 0.85;

/// Part of the time that is left within which an answer must be expected to end.
const WHOLE_PART: f64 = 2.0;

/// Time after its last answer for which an upstream whose renewals have ceased is still used.
const SILENT_USE: Duration = Duration::from_secs(3);

/// Weight of one answer in the mean time of whole answers.
const WHOLE_WEIGHT: f64 = 0.05;

/// Time of a whole stream before any was measured, in milliseconds.
const FIRST_STREAM_MS: f64 = 1_000.0;

/// Time of a call to an idle plain service that counts for all alike, in milliseconds.
const FIRST_CALL_MS: f64 = 20.0;

/// Part of an engine's memory that running requests are to take; shared parts are kept in the rest.
const RUNNING_PART: f64 = 0.6;

/// Longest wait for the next turn of a cold upstream.
const COLD_WAIT: Duration = Duration::from_millis(400);

/// Longest wait for the first upstream of a pool after the entry's start.
const YOUNG_WAIT: Duration = Duration::from_millis(1_200);

/// Pause between two looks for it.
const YOUNG_PAUSE: Duration = Duration::from_millis(50);

/// Part of an upstream's connections that this region's entries share.
const CONNECTION_PART: f64 = 0.85;

/// Fewest connections to one upstream.
const LEAST_CONNECTIONS: usize = 2;

/// Time for which an upstream that has no room is left alone, where it names none.
const FULL_BAR: Duration = Duration::from_millis(150);

/// Time for which a region is left alone after none of its entries could be reached.
const CUT_OFF_BAR: Duration = Duration::from_secs(2);

/// Earliest time to come back after a refusal.
const LEAST_RETURN: Duration = Duration::from_millis(150);

/// Time to come back where no upstream is known.
const UNKNOWN_RETURN: Duration = Duration::from_millis(800);

/// What was tried already.
#[derive(Debug, Clone, Default)]
pub struct TriedUpstreams {
    /// Upstreams that were asked.
    pub upstreams: SmallVec<[UpstreamName; 4]>,
    /// Regions to whose entries the request was passed on.
    pub regions: SmallVec<[RegionName; 2]>,
}

/// Why a request is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalCause {
    /// No upstream that may run it is known.
    NoUpstream,
    /// All that may run it are barred after failures, cold, or without connections.
    Unusable,
    /// It would be answered too late.
    Overloaded,
}

/// What decided for a target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct ChoiceBasis {
    /// Predicted time to the first token or the whole answer, in milliseconds.
    pub predicted_ms: u32,
    /// Predicted time of the whole answer, in milliseconds.
    pub answer_ms: u32,
    /// Loss, in thousandths.
    pub loss: u32,
    /// Prompt tokens that are to be read.
    pub unread: u32,
    /// Requests that it is taken to have.
    pub requests: u32,
    /// Part of the shared prompt that it is taken to hold, in hundredths.
    pub kept: u32,
    /// Whether it takes prompts of the request's sort.
    pub grouped: bool,
    /// Age of what others told, in milliseconds.
    pub told_ms: u32,
}

/// Where the next attempt goes.
#[derive(Debug, Clone)]
pub enum UpstreamChoice {
    /// To an upstream of this region.
    Upstream {
        /// The upstream.
        known: Arc<KnownUpstream>,
        /// Names the send in the upstream's record.
        number: SendNumber,
        /// Connections that this entry may have to it.
        connections: usize,
        /// What decided.
        basis: ChoiceBasis,
    },
    /// To an entry of another region.
    Region {
        /// The region.
        region: RegionName,
        /// The entry.
        entry: SocketAddr,
        /// What decided.
        basis: ChoiceBasis,
    },
    /// Nowhere before this time.
    Wait(Instant),
    /// Nowhere.
    Refuse {
        /// Why.
        cause: RefusalCause,
        /// When to come back.
        retry_after: Duration,
        /// Reasons why upstreams were left out.
        left_out: LeftOut,
        /// What decided against the best of the others.
        basis: Option<ChoiceBasis>,
    },
}

/// What a choice depends on beside the chooser's own record.
#[derive(Debug, Clone, Copy)]
pub struct ChoiceInput<'a> {
    /// The request.
    pub call: &'a RoutedCall,
    /// Rule of its pool.
    pub pool: Option<&'a PoolRule>,
    /// What was tried.
    pub tried: &'a TriedUpstreams,
    /// The fleet.
    pub view: &'a FleetView,
    /// Work of others.
    pub load: &'a LoadView,
    /// Whether upstreams may not be known yet, as the entry has just started.
    pub young: bool,
    /// Now.
    pub now: Instant,
}

#[derive(Debug)]
struct Candidate<'a> {
    known: &'a Arc<KnownUpstream>,
    unread_tokens: u32,
    predicted_ms: f64,
    basis: ChoiceBasis,
    /// Predicted time of the whole answer, in milliseconds.
    whole_ms: f64,
    loss: f64,
    /// Part of the loss that is borne by streams that run already.
    pause_loss: f64,
    stretch_ms: f64,
    order: u64,
    cold: bool,
}

/// An upstream that may get the request now.
#[derive(Debug, Clone, Copy)]
struct AdmittedUpstream<'a> {
    known: &'a Arc<KnownUpstream>,
    order: u64,
    /// Whether it takes prompts of the request's sort.
    grouped: bool,
    cold: bool,
}

/// Reasons why upstreams were left out, counted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct LeftOut {
    /// Failed lately.
    pub barred: u32,
    /// Cold, and another entry's turn or too soon.
    pub cold: u32,
    /// Tried already.
    pub tried: u32,
    /// Renewals have ceased, and no answer came lately.
    pub silent: u32,
}

impl Display for LeftOut {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let Self { barred, cold, tried, silent } = self;
        write!(formatter, "{barred} barred, {cold} cold, {tried} tried, {silent} silent")
    }
}

/// Chooses upstreams by what this entry gave them and what others told.
#[derive(Debug)]
pub struct UpstreamChooser {
    own: InstanceName,
    region: RegionName,
    zone: ZoneName,
    tracks: HashMap<UpstreamName, UpstreamTrack>,
    sent: u64,
    returns: HashMap<PoolName, Instant>,
    cut_off: HashMap<RegionName, Instant>,
    groups: HashMap<PoolName, PromptGroups>,
    whole_ms: HashMap<(PoolName, PromptSort), f64>,
    random: ChaCha8Rng,
    left_out: LeftOut,
    cold_turn: Option<Instant>,
}

impl UpstreamChooser {
    /// A chooser for the entry `own` in `zone` of `region`; equal seeds choose equally.
    pub fn new(own: InstanceName, region: RegionName, zone: ZoneName, seed: u64) -> Self {
        Self {
            own,
            region,
            zone,
            tracks: HashMap::new(),
            sent: 0,
            returns: HashMap::new(),
            cut_off: HashMap::new(),
            groups: HashMap::new(),
            whole_ms: HashMap::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
            left_out: LeftOut::default(),
            cold_turn: None,
        }
    }

    /// Records of upstreams with open work: requests, and time to read their prompts in milliseconds.
    pub fn work(&self, now: Instant) -> impl Iterator<Item = (&UpstreamName, u32, u32)> {
        let busy = self.tracks.iter().filter(|(_, track)| track.open() > 0);
        busy.map(move |(name, track)| {
            (name, track.open() as u32, track.backlog_ms(u8::MAX, now) as u32)
        })
    }

    /// Work that this entry gets, by pool.
    pub fn demand(&mut self, now: Instant) -> Vec<(PoolName, PromptDemand)> {
        let groups = self.groups.iter_mut();
        groups.map(|(pool, groups)| (pool.clone(), groups.demand(now))).collect()
    }

    /// Forgets upstreams that are gone and have no work.
    pub fn forget(&mut self, view: &FleetView, now: Instant) {
        let known = |name: &UpstreamName| {
            view.pools.values().flatten().any(|known| known.upstream.name == *name)
        };
        self.tracks.retain(|name, track| !track.is_idle(now) || known(name));
    }

    fn track(&mut self, known: &KnownUpstream) -> &mut UpstreamTrack {
        let started_ms = known.upstream.started_ms;
        let track = self.tracks.entry(known.upstream.name.clone());
        let track = track.or_insert_with(|| UpstreamTrack::new(started_ms));
        if track.started_ms() < started_ms {
            *track = UpstreamTrack::new(started_ms);
        }
        track
    }

    /// Chooses where the next attempt goes, and counts it there.
    pub fn choose(&mut self, input: &ChoiceInput<'_>) -> UpstreamChoice {
        self.left_out = LeftOut::default();
        self.cold_turn = None;
        let empty = Vec::new();
        let upstreams = input.view.pools.get(&input.call.pool).unwrap_or(&empty);
        let may_run_here = input.call.route.allows_region(&self.region);
        let upstreams = if may_run_here { upstreams } else { &empty };
        for known in upstreams {
            self.track(known);
        }
        let best = self.find_best(input, upstreams);
        let loss_here = best.as_ref().map_or(f64::INFINITY, |best| best.loss);
        if !input.call.hopped
            && loss_here > HOP_FLOOR
            && let Some(choice) = self.choose_region(input, loss_here)
        {
            return choice;
        }
        let Some(best) = best else { return self.refuse_unusable(input, upstreams.is_empty()) };
        let remaining_ms = input.call.remaining(input.now).as_secs_f64() * 1_000.0;
        let late_ms = (best.predicted_ms - remaining_ms * WAIT_PART)
            .max(best.whole_ms - remaining_ms * WHOLE_PART);
        if late_ms > 0.0 {
            let retry_after = self.schedule_return(input, late_ms);
            return UpstreamChoice::Refuse {
                cause: RefusalCause::Overloaded,
                retry_after,
                left_out: self.left_out,
                basis: Some(best.basis),
            };
        }
        if let Some(until) = self.wait_for_reading(input, &best) {
            return UpstreamChoice::Wait(until);
        }
        let known = Arc::clone(best.known);
        let Candidate { unread_tokens, predicted_ms, basis, cold, .. } = best;
        let number = self.send(input, &known, unread_tokens, predicted_ms, cold);
        let connections = share_connections(input);
        UpstreamChoice::Upstream { known, number, connections, basis }
    }

    /// Until when a request waits, so that the streams that run on its upstream do not pause.
    fn wait_for_reading(&self, input: &ChoiceInput<'_>, best: &Candidate<'_>) -> Option<Instant> {
        let (least, most) = WAIT_RANGE_MS;
        let wait_ms = (best.stretch_ms - EASY_STRETCH_MS).clamp(least, most);
        let waited_ms = (input.now - input.call.arrived).as_secs_f64() * 1_000.0;
        let allowed_ms = input.call.route.target_ms as f64 * WAIT_TARGET_PART;
        let alone = UpstreamTrack::read_ms(best.unread_tokens) >= best.stretch_ms;
        let waits = best.pause_loss > WAIT_LOSS
            && !alone
            && waited_ms + wait_ms + best.predicted_ms < allowed_ms;
        waits.then(|| input.now + Duration::from_secs_f64(wait_ms / 1_000.0))
    }

    fn find_best<'a>(
        &mut self,
        input: &ChoiceInput<'a>,
        upstreams: &'a [Arc<KnownUpstream>],
    ) -> Option<Candidate<'a>> {
        let head = &input.call.head;
        let affinity = input.call.route.affinity;
        let key = head.shared_parts().last().filter(|_| affinity);
        let key = key.map_or_else(|| self.random.random(), |part| part.id);
        let order = |known: &KnownUpstream| hash_pair(key, known.upstream.name.as_str());
        let group = self.find_group(input, upstreams.len());
        let mut admitted: SmallVec<[AdmittedUpstream<'a>; 16]> = SmallVec::new();
        for (place, known) in upstreams.iter().enumerate() {
            if let Some(cold) = self.admit(input, known) {
                let grouped = group.contains(&place);
                admitted.push(AdmittedUpstream { known, order: order(known), grouped, cold });
            }
        }
        let kept = if affinity { keep_places(&admitted) } else { SmallVec::new() };
        let mut best: Option<Candidate<'a>> = None;
        for (place, admitted) in admitted.iter().enumerate() {
            let kept = kept.get(place).copied().unwrap_or_default();
            let candidate = self.score(input, admitted, kept);
            let better = best.as_ref().is_none_or(|best| {
                let gain = best.loss - candidate.loss;
                gain > TIE_LOSS || (gain > -TIE_LOSS && candidate.order > best.order)
            });
            if better {
                best = Some(candidate);
            }
        }
        best
    }

    /// Counts the work of a request that has arrived.
    pub fn note_arrival(&mut self, call: &RoutedCall, pool: Option<&PoolRule>, now: Instant) {
        let Some(engine) = pool.and_then(|pool| pool.engine) else { return };
        let tokens = call.head.prompt_tokens;
        let sort = PromptSort::of(tokens);
        let whole_ms = self.whole_ms.get(&(call.pool.clone(), sort));
        let work = PromptWork {
            read_ms: UpstreamTrack::read_ms(tokens.saturating_sub(shared_tokens(&call.head))),
            whole_ms: whole_ms.copied().unwrap_or(FIRST_STREAM_MS),
            slots: f64::from(engine.slots.max(1)),
            rank: call.route.rank,
        };
        let groups = self.groups.entry(call.pool.clone());
        groups.or_insert_with(|| PromptGroups::new(now)).note(sort, work, now);
    }

    /// Places of the upstreams that take prompts of the request's sort.
    fn find_group(&mut self, input: &ChoiceInput<'_>, upstreams: usize) -> Range<usize> {
        if input.pool.is_none_or(|pool| pool.engine.is_none()) {
            return 0..upstreams;
        }
        let sort = PromptSort::of(input.call.head.prompt_tokens);
        let groups = self.groups.entry(input.call.pool.clone());
        let groups = groups.or_insert_with(|| PromptGroups::new(input.now));
        let own = groups.demand(input.now);
        let told = input.load.demand.get(&input.call.pool).filter(|_| input.load.work_at.is_some());
        let demand = told.copied().unwrap_or_else(|| own.times(input.view.entries.len() as f64));
        let long = groups.count_long(upstreams, &demand);
        match sort {
            _ if long == 0 || long == upstreams => 0..upstreams,
            PromptSort::Long => 0..long,
            PromptSort::Short => long..upstreams,
        }
    }

    /// Whether the upstream may get the request now, and whether it is cold.
    fn admit(&mut self, input: &ChoiceInput<'_>, known: &KnownUpstream) -> Option<bool> {
        let now = input.now;
        let name = &known.upstream.name;
        if input.tried.upstreams.contains(name) {
            self.left_out.tried += 1;
            return None;
        }
        let track = self.tracks.get(name)?;
        if track.is_barred(now) {
            self.left_out.barred += 1;
            return None;
        }
        if known.silent && !track.has_answered(SILENT_USE, now) {
            self.left_out.silent += 1;
            return None;
        }
        let cold = known.unconfirmed || known.cold_until.is_some_and(|until| now < until);
        let Some(warmup) = input.pool.and_then(|pool| pool.warmup).filter(|_| cold) else {
            return Some(false);
        };
        let sender = choose_sender(&input.view.entries, name, known.upstream.started_ms);
        let next = track.next_cold().unwrap_or(now);
        let own_turn = sender == Some(&self.own) && pause_between(warmup.per_s).is_some();
        if !own_turn || now < next {
            self.left_out.cold += 1;
            if own_turn {
                self.cold_turn = Some(self.cold_turn.map_or(next, |turn| turn.min(next)));
            }
            return None;
        }
        Some(true)
    }

    fn score<'a>(
        &self,
        input: &ChoiceInput<'_>,
        admitted: &AdmittedUpstream<'a>,
        kept: f64,
    ) -> Candidate<'a> {
        let AdmittedUpstream { known, order, grouped, cold } = *admitted;
        let known_zone = &known.upstream.zone;
        let call = input.call;
        let name = &known.upstream.name;
        let fresh = UpstreamTrack::new(0);
        let track = self.tracks.get(name).unwrap_or(&fresh);
        let shared = call.head.shared_parts();
        let all_shared: u32 = shared.iter().map(|part| part.tokens).sum();
        let read_here = track.cached_tokens(shared, input.now);
        let cached = read_here.max((f64::from(all_shared) * kept) as u32);
        let unread_tokens = call.head.prompt_tokens.saturating_sub(cached);
        let (others, others_ms) = self.others_work(input, name, track);
        let stream = call.repeat().is_stream();
        let requests = track.open() as f64 + others;
        let slots = f64::from(known.upstream.slots.max(1));
        let places = match input.pool.and_then(|pool| pool.engine) {
            Some(engine) => slots.min(count_places(engine, track.mean_tokens(&call.head))),
            None => slots,
        };
        let over = (requests + 1.0 - places).max(0.0);
        let queue_ms = over * track.whole_ms(stream) / places;
        let own_ms = match stream {
            true => track.first_token_ms(unread_tokens),
            // Of idle upstreams, requests that may go anywhere are spread over all alike.
            false => {
                let load = (track.open() as f64 + others) / slots;
                (FIRST_CALL_MS + load * track.whole_ms(false)) * track.slowness()
            }
        };
        let backlog_ms = track.backlog_ms(call.route.rank, input.now) + others_ms;
        let predicted_ms = backlog_ms + queue_ms + own_ms;
        let reread = all_shared.saturating_sub(cached);
        let time = predicted_ms / (call.route.target_ms.max(1) as f64);
        let failing = (track.failing() - FAILING_FLOOR).max(0.0) / (1.0 - FAILING_FLOOR);
        let read_ms = UpstreamTrack::read_ms(unread_tokens) * track.slowness();
        let engine = input.pool.is_some_and(|pool| pool.engine.is_some());
        let stretch_ms = match engine {
            true => track.backlog_ms(u8::MAX, input.now) + others_ms + read_ms,
            false => 0.0,
        };
        let pause_loss = pause_loss(stretch_ms, track.open() as f64 + others);
        let fill = (requests + 1.0) / places;
        let fill_loss = if engine { FILL_LOSS * fill * fill } else { 0.0 };
        let loss = lateness_loss(time)
            + pause_loss
            + fill_loss
            + f64::from(reread) / 1_000.0 * REREAD_LOSS
            + failing * FAILING_LOSS
            + if known_zone == &self.zone { 0.0 } else { ZONE_LOSS }
            + if grouped { 0.0 } else { group_loss(call, requests, fill) };
        let tail_ms = match stream {
            true => track.token_ms() * f64::from(call.head.expected_tokens()),
            false => 0.0,
        };
        Candidate {
            known,
            unread_tokens,
            predicted_ms,
            basis: ChoiceBasis {
                predicted_ms: predicted_ms as u32,
                answer_ms: (predicted_ms + tail_ms) as u32,
                loss: (loss * 1_000.0) as u32,
                unread: unread_tokens,
                requests: track.open() as u32 + others as u32,
                kept: (kept * 100.0) as u32,
                grouped,
                told_ms: tell_age(input),
            },
            whole_ms: predicted_ms + tail_ms,
            loss,
            pause_loss,
            stretch_ms,
            order,
            cold,
        }
    }

    /// Requests and backlog in milliseconds that other entries gave to an upstream; as much as this
    /// one did where they do not tell.
    fn others_work(
        &self,
        input: &ChoiceInput<'_>,
        name: &UpstreamName,
        track: &UpstreamTrack,
    ) -> (f64, f64) {
        // What others gave it since they told is taken to be as much as it has read since.
        if input.load.work_at.is_some() {
            let (requests, backlog_ms) = input.load.work.get(name).copied().unwrap_or_default();
            return (f64::from(requests), f64::from(backlog_ms));
        }
        let others = input.view.entries.len().saturating_sub(1) as f64;
        let backlog_ms = track.backlog_ms(input.call.route.rank, input.now);
        (track.open() as f64 * others, backlog_ms * others)
    }

    fn send(
        &mut self,
        input: &ChoiceInput<'_>,
        known: &Arc<KnownUpstream>,
        unread_tokens: u32,
        predicted_ms: f64,
        cold: bool,
    ) -> SendNumber {
        self.sent += 1;
        let number = SendNumber(self.sent);
        let now = input.now;
        let send = OpenSend {
            number,
            sent_at: now,
            rank: input.call.route.rank,
            sort: PromptSort::of(input.call.head.prompt_tokens),
            prompt_tokens: input.call.head.prompt_tokens,
            expected_tokens: input.call.head.expected_tokens(),
            read_ms: UpstreamTrack::read_ms(unread_tokens),
            predicted_ms: 0.0,
            answering: None,
        };
        let parts = input.call.head.shared_parts();
        let track = self.track(known);
        let predicted = predicted_ms / track.slowness();
        track.note_sent(OpenSend { predicted_ms: predicted, ..send }, parts);
        let warmup = input.pool.and_then(|pool| pool.warmup).filter(|_| cold);
        if let Some(pause) = warmup.and_then(|warmup| pause_between(warmup.per_s)) {
            track.note_cold(pause, now);
        }
        number
    }

    /// The region whose entries would lose the least, if that is less than `loss_here`.
    fn choose_region(&mut self, input: &ChoiceInput<'_>, loss_here: f64) -> Option<UpstreamChoice> {
        let call = input.call;
        let mut best: Option<(f64, f64, ChoiceBasis, &RegionName, &[SocketAddr])> = None;
        for (region, (summary, at)) in &input.load.regions {
            let pool = summary.pools.iter().find(|pool| pool.pool == call.pool);
            let Some(pool) = pool.filter(|pool| pool.serving > 0) else { continue };
            let tried = input.tried.regions.contains(region);
            let cut_off = self.cut_off.get(region).is_some_and(|until| input.now < *until);
            if tried || cut_off || summary.entries.is_empty() || !call.route.allows_region(region) {
                continue;
            }
            let backlog_ms = f64::from(pool.backlog_ms);
            let shared = f64::from(shared_tokens(&call.head));
            let reread = if call.route.affinity { shared * (1.0 - KEPT_ELSEWHERE) } else { shared };
            let unread = call.head.prompt_tokens.saturating_sub((shared - reread) as u32);
            let stream = call.repeat().is_stream();
            let fresh = UpstreamTrack::new(0);
            let own_ms = match stream {
                true => fresh.first_token_ms(unread),
                false => fresh.whole_ms(false),
            };
            let over = (f64::from(pool.requests) + 1.0 - f64::from(pool.slots)).max(0.0);
            let queue_ms = over * fresh.whole_ms(stream) / f64::from(pool.slots.max(1));
            let predicted_ms = HOP_MS + backlog_ms + queue_ms + own_ms;
            let time = predicted_ms / (call.route.target_ms.max(1) as f64);
            let stretch_ms = backlog_ms + UpstreamTrack::read_ms(unread);
            let streams = f64::from(pool.requests) / f64::from(pool.serving);
            let loss = HOP_LOSS
                + lateness_loss(time)
                + pause_loss(stretch_ms, streams)
                + reread / 1_000.0 * REREAD_LOSS;
            if loss < loss_here && best.as_ref().is_none_or(|best| loss < best.0) {
                let basis = ChoiceBasis {
                    predicted_ms: predicted_ms as u32,
                    loss: (loss * 1_000.0) as u32,
                    unread,
                    requests: pool.requests,
                    told_ms: (input.now - *at).as_millis() as u32,
                    ..ChoiceBasis::default()
                };
                best = Some((loss, predicted_ms, basis, region, &summary.entries));
            }
        }
        let (_, predicted_ms, basis, region, entries) = best?;
        let remaining_ms = call.remaining(input.now).as_secs_f64() * 1_000.0;
        if predicted_ms > remaining_ms * WAIT_PART {
            return None;
        }
        let entry = entries[self.random.random_range(0..entries.len())];
        Some(UpstreamChoice::Region { region: region.clone(), entry, basis })
    }

    fn refuse_unusable(&mut self, input: &ChoiceInput<'_>, unknown: bool) -> UpstreamChoice {
        if let Some(turn) = self.cold_turn
            && turn <= input.now + COLD_WAIT
            && turn < input.call.deadline
        {
            return UpstreamChoice::Wait(turn);
        }
        if input.young && unknown {
            let waited = input.now - input.call.arrived;
            if waited < YOUNG_WAIT && waited * 4 < input.call.deadline - input.call.arrived {
                return UpstreamChoice::Wait(input.now + YOUNG_PAUSE);
            }
        }
        let cause = if unknown { RefusalCause::NoUpstream } else { RefusalCause::Unusable };
        let spread = UNKNOWN_RETURN.mul_f64(self.random.random_range(0.7..1.5));
        let left_out = self.left_out;
        UpstreamChoice::Refuse { cause, retry_after: spread, left_out, basis: None }
    }

    /// When to come back after a wait of `wait_ms`: returns to one pool follow each other at the pace
    /// at which its upstreams can take them.
    fn schedule_return(&mut self, input: &ChoiceInput<'_>, wait_ms: f64) -> Duration {
        let call = input.call;
        let upstreams = input.view.pools.get(&call.pool).map_or(1, |pool| pool.len().max(1));
        let entries = input.view.entries.len().max(1);
        let work_ms = UpstreamTrack::read_ms(call.head.prompt_tokens).max(1.0);
        let step_ms = work_ms * entries as f64 / upstreams as f64;
        let earliest =
            input.now + LEAST_RETURN.max(Duration::from_secs_f64(wait_ms.max(0.0) / 1e3));
        let next = self.returns.entry(call.pool.clone()).or_insert(earliest);
        let at = (*next).max(earliest);
        *next = at + Duration::from_secs_f64(step_ms / 1_000.0);
        at - input.now
    }

    /// Notes that the answer to a send has begun.
    pub fn note_answering(&mut self, upstream: &UpstreamName, number: SendNumber, now: Instant) {
        if let Some(track) = self.tracks.get_mut(upstream) {
            track.note_answering(number, now);
        }
    }

    /// Notes that a send has ended.
    pub fn note_ended(
        &mut self,
        pool: &PoolName,
        upstream: &UpstreamName,
        number: SendNumber,
        end: SendEnd,
        now: Instant,
    ) {
        let Some(track) = self.tracks.get_mut(upstream) else { return };
        if let Some((sort, took_ms)) = track.note_ended(number, end, now) {
            let mean = self.whole_ms.entry((pool.clone(), sort)).or_insert(took_ms);
            *mean += WHOLE_WEIGHT * (took_ms - *mean);
        }
    }

    /// Notes that no entry of a region could be reached.
    pub fn note_cut_off(&mut self, region: &RegionName, now: Instant) {
        self.cut_off.insert(region.clone(), now + CUT_OFF_BAR);
    }

    /// Notes that an upstream said that it has no room.
    pub fn note_full(&mut self, upstream: &UpstreamName, bound: Option<Duration>, now: Instant) {
        if let Some(track) = self.tracks.get_mut(upstream) {
            track.note_full(bound.unwrap_or(FULL_BAR).min(FULL_BAR * 4), now);
        }
    }
}

/// Loss of an answer that takes `time` times its target.
fn lateness_loss(time: f64) -> f64 {
    if time <= EASY_PART {
        // A little, so that of two good ones the quicker is taken.
        time * 0.05
    } else if time <= 1.0 {
        0.05 + (time - EASY_PART) / (1.0 - EASY_PART) * TARGET_LOSS
    } else {
        LATE_LOSS + (time - 1.0) * TARGET_LOSS
    }
}

/// Requests of `tokens` that run in an engine at the same time and leave room for shared parts.
fn count_places(engine: EngineRule, tokens: f64) -> f64 {
    (engine.kv_tokens as f64 * RUNNING_PART / tokens.max(1.0)).max(1.0)
}

/// Connections that this entry may have to one upstream of the pool.
fn share_connections(input: &ChoiceInput<'_>) -> usize {
    let bound = input.pool.map_or(f64::INFINITY, |pool| f64::from(pool.connections));
    let share = bound * CONNECTION_PART / input.view.entries.len().max(1) as f64;
    (share as usize).max(LEAST_CONNECTIONS)
}

/// Age of what other entries told of their work, in milliseconds.
fn tell_age(input: &ChoiceInput<'_>) -> u32 {
    input.load.work_at.map_or(u32::MAX, |at| (input.now - at).as_millis() as u32)
}

/// Ranks of the upstreams of a zone that are taken to hold a shared prompt, best first: whether it
/// takes prompts of the sort, and its hash.
type KeptRanks = [Option<(bool, u64)>; KEPT_PARTS.len()];

/// Parts of the shared prompt that each upstream is taken to have read: the first ones of each zone by
/// the hash, since the entries of that zone send such prompts there.
fn keep_places(admitted: &[AdmittedUpstream<'_>]) -> SmallVec<[f64; 16]> {
    let rank = |upstream: &AdmittedUpstream<'_>| Some((upstream.grouped, upstream.order));
    let mut held = KeptRanks::default();
    for upstream in admitted {
        let mut next = rank(upstream);
        for held in &mut held {
            if next > *held {
                std::mem::swap(held, &mut next);
            }
        }
    }
    let kept = admitted.iter().map(|upstream| {
        let place = held.iter().position(|held| *held == rank(upstream));
        place.map_or(0.0, |place| KEPT_PARTS[place])
    });
    kept.collect()
}

/// Loss at an upstream with `streams` that takes prompts of the other sort: a long prompt holds each
/// of its streams up, which costs the more the more of its places are taken.
fn group_loss(call: &RoutedCall, streams: f64, fill: f64) -> f64 {
    match PromptSort::of(call.head.prompt_tokens) {
        PromptSort::Long => GROUP_LOSS + streams * fill * fill * SLOWED_LOSS,
        PromptSort::Short => GROUP_LOSS,
    }
}

/// Loss of `streams` that run while an engine reads for `stretch_ms` without a break.
fn pause_loss(stretch_ms: f64, streams: f64) -> f64 {
    let part = ((stretch_ms - EASY_STRETCH_MS) / HARD_STRETCH_MS).clamp(0.0, 1.0);
    part * streams * PAUSE_LOSS
}

/// Prompt tokens of `head` that other requests share.
pub fn shared_tokens(head: &CallHead) -> u32 {
    head.shared_parts().iter().map(|part| part.tokens).sum()
}
