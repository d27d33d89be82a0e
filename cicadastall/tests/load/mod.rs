//! Simulation of engines and entries under load, with the product's choice of upstreams, in simulated time
//! and without a network.

#![allow(dead_code)] // each test file uses a part of this module

use cicadastall::{
    gateway::{
        decision::{
            call::{CallHead, PromptPart, RequiredOrigin, RoutedCall},
            choice::{ChoiceInput, TriedUpstreams, UpstreamChoice},
            chooser::UpstreamChooser,
            tracker::{SendEnd, SendNumber},
        },
        document::routes::{EngineRule, PoolRule, PoolShare, RepeatRule, RouteRule, WorkspaceRule},
        knowledge::{
            fleet_update::{RegisteredUpstream, UpstreamPhase},
            pool_partition::PromptDemand,
            view::{FleetView, KnownUpstream, LoadView},
            warmup::hash_pair,
        },
    },
    name::{
        AttemptId, InstanceName, PoolName, RegionName, SoftwareVersion, UpstreamName, ZoneName,
    },
};
use hyper::{HeaderMap, Method, Uri};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use smallvec::{SmallVec, smallvec};
use std::{
    collections::{BTreeMap, HashMap, VecDeque},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};
use tokio::time::Instant;

/// Size of the simulated region.
#[derive(Debug, Clone, Copy)]
pub struct RegionSize {
    pub entries: usize,
    pub engines: usize,
    /// Maximum number of requests that wait in an engine; it refuses others.
    pub queue: usize,
    /// Time between two load reports.
    pub report_interval: Duration,
}

/// Maximum number of sends of one request.
const MAX_SENDS: u32 = 2;

/// Time step of the simulation.
const TICK: Duration = Duration::from_millis(2);

/// Maximum number of prompt tokens that an engine prefills in one step.
const PREFILL_CHUNK_TOKENS: u32 = 2_048;

/// Time from the first request within which the product must know the speeds of engines.
pub const LEARNING_TIME: Duration = Duration::from_secs(3);

/// Capacity of an engine.
pub const ENGINE: EngineRule = EngineRule { slots: 16, kv_tokens: 171_000, event_tokens: 5 };

/// Capacity and rates of an engine.
#[derive(Debug, Clone, Copy)]
pub struct EngineKind {
    pub rule: EngineRule,
    /// Prefill rate, in tokens per millisecond.
    pub prefill_tokens_per_ms: f64,
    /// Duration of a step without prefill, in milliseconds.
    pub step_ms: f64,
    /// Addition to it for each running request of an engine with an [`EnginePace`], in milliseconds.
    pub step_ms_per_request: f64,
}

impl Default for EngineKind {
    fn default() -> Self {
        Self { rule: ENGINE, prefill_tokens_per_ms: 38.4, step_ms: 5.0, step_ms_per_request: 0.13 }
    }
}

/// Requests of one kind.
#[derive(Debug, Clone, Copy)]
pub struct CallKind {
    /// Rank; 0 goes first.
    pub rank: u8,
    /// Target time to the first token, in milliseconds.
    pub target_ms: u64,
    /// Time within which the answer must have ended, in milliseconds.
    pub limit_ms: u64,
    /// Requests per second.
    pub per_s: f64,
    /// Tokens of the two shared parts and of the part that is unique to the request.
    pub tokens: [u32; 3],
    /// Number of different contents of each of the two shared parts.
    pub contents: [u64; 2],
    /// Tokens of the answer.
    pub answer_tokens: u32,
    /// What the caller says of them.
    pub estimate: AnswerEstimate,
    /// Workspace of the requests.
    pub workspace: Option<&'static str>,
}

/// What callers say of the length of their answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerEstimate {
    /// The length, and twice the length as the maximum.
    Exact,
    /// The same maximum for all, and from every second caller an estimate that is 0.5 to 2 times the
    /// length.
    Rough { max_tokens: u32 },
}

impl AnswerEstimate {
    /// Maximum and estimate for an answer of `tokens`, in tokens; `number` is that of the request.
    fn tell(self, tokens: u32, number: u64) -> (u32, Option<u32>) {
        let Self::Rough { max_tokens } = self else { return (tokens * 2, Some(tokens)) };
        let mut random = ChaCha8Rng::seed_from_u64(number);
        let factor = 2.0_f64.powf(random.random_range(-1.0..1.0));
        let estimate = (f64::from(tokens) * factor) as u32;
        (max_tokens, random.random_bool(0.5).then_some(estimate))
    }
}

/// Results of the requests of one kind.
#[derive(Debug, Clone, Copy, Default)]
pub struct KindResult {
    /// Requests that arrived.
    pub asked: u32,
    /// Requests with the first token on time that ended within the limit.
    pub on_time: u32,
    /// Requests with a late first token that ended within the limit.
    pub late: u32,
    /// Requests that ran out of time after an engine had read them.
    pub cut: u32,
    /// Refused requests.
    pub refused: u32,
    /// Longest time until a refusal.
    pub slowest_refusal: Duration,
    /// Sends that a full engine refused.
    pub rejected_sends: u32,
}

/// Speed of a simulated engine over time.
#[derive(Debug, Clone, Copy)]
pub struct EnginePace {
    /// Speed relative to the others.
    pub speed: f64,
    /// Time from which the engine has another speed.
    pub change: Option<(Duration, f64)>,
    /// Whether the engine is 2.5 times slower for 0.6 s of every 4 s.
    pub spells: bool,
}

impl EnginePace {
    /// An engine that keeps `speed`.
    pub fn steady(speed: f64) -> Self {
        Self { speed, change: None, spells: false }
    }

    /// Speed apart from spells.
    pub fn speed(&self, now: Duration) -> f64 {
        self.change.filter(|(from, _)| now >= *from).map_or(self.speed, |(_, speed)| speed)
    }

    fn slowed(&self, index: usize, now: Duration) -> f64 {
        let phase = (now + Duration::from_millis(700) * index as u32).as_millis() % 4_000;
        self.speed(now) / if self.spells && phase < 600 { 2.5 } else { 1.0 }
    }
}

/// Results of a simulation.
#[derive(Debug, Default)]
pub struct LoadResult {
    /// Times to the first token of requests that arrived after [`LEARNING_TIME`], in milliseconds.
    pub first_token_ms: Vec<f64>,
    /// Time for which each engine worked from [`LEARNING_TIME`] to the last request.
    pub busy: Vec<Duration>,
    /// Estimated speed of each engine, every half second; empty if speeds are not measured.
    pub speeds: Vec<(Duration, HashMap<UpstreamName, f64>)>,
    /// Results by kind.
    pub kinds: Vec<KindResult>,
    /// Tokens of shared parts that were prefilled.
    pub shared_prefill_tokens: u64,
}

impl KindResult {
    /// Fraction of the requests that were answered on time.
    pub fn on_time_fraction(&self) -> f64 {
        f64::from(self.on_time) / f64::from(self.asked.max(1))
    }
}

/// How engines are chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChooserPolicy {
    /// By the product.
    Product,
    /// By the product, with the measured load of engines.
    MeasuredLoad,
    /// The engine with the fewest requests according to the latest report, as a baseline.
    FewestRequests,
}

#[derive(Debug)]
struct Running {
    request: usize,
    unread_tokens: u32,
    remaining_tokens: u32,
    tokens: u32,
}

#[derive(Debug, Default)]
struct Engine {
    kind: EngineKind,
    waiting: VecDeque<Running>,
    running: Vec<Running>,
    /// Cached shared parts, least recently used first.
    cached: VecDeque<PromptPart>,
    busy_until: Duration,
    busy: Duration,
    shared_prefill_tokens: u64,
}

#[derive(Debug)]
struct Request {
    kind: usize,
    call: Arc<RoutedCall>,
    entry: usize,
    arrived: Duration,
    sends: u32,
    /// Engine that has the request, and the send number if the product chose it.
    sent: Option<(usize, Option<SendNumber>)>,
}

/// Progress of a request in an engine.
enum EngineEvent {
    Began(usize),
    Ended(usize),
}

impl Engine {
    fn used_tokens(&self) -> u64 {
        let running = self.running.iter().map(|running| u64::from(running.tokens));
        let cached = self.cached.iter().map(|part| u64::from(part.tokens));
        running.sum::<u64>() + cached.sum::<u64>()
    }

    /// Starts waiting requests while there is room, most urgent first.
    fn admit(&mut self, requests: &[Request]) {
        while self.running.len() < self.kind.rule.slots as usize {
            let rank = |running: &Running| requests[running.request].call.rank();
            let first = (0..self.waiting.len()).min_by_key(|index| rank(&self.waiting[*index]));
            let Some(mut next) = first.and_then(|index| self.waiting.remove(index)) else { return };
            let running = self.running.iter().map(|running| u64::from(running.tokens));
            let used = running.sum::<u64>() + u64::from(next.tokens);
            if used > self.kind.rule.kv_tokens {
                self.waiting.push_front(next);
                return;
            }
            let head = &requests[next.request].call.head;
            for part in head.shared_parts() {
                let index = self.cached.iter().position(|cached| cached.id == part.id);
                match index.and_then(|index| self.cached.remove(index)) {
                    Some(cached) => {
                        next.unread_tokens -= cached.tokens;
                        self.cached.push_back(cached);
                    }
                    None => {
                        self.shared_prefill_tokens += u64::from(part.tokens);
                        self.cached.push_back(*part);
                    }
                }
            }
            self.running.push(next);
            while self.used_tokens() > self.kind.rule.kv_tokens && self.cached.pop_front().is_some()
            {
            }
        }
    }

    /// Runs one step: prefills up to a chunk, and generates a token for each request that is prefilled.
    fn step(
        &mut self,
        now: Duration,
        speed: Option<f64>,
        requests: &[Request],
    ) -> Vec<EngineEvent> {
        if now < self.busy_until {
            return Vec::new();
        }
        self.admit(requests);
        if self.running.is_empty() {
            return Vec::new();
        }
        let mut events = Vec::new();
        let mut room = PREFILL_CHUNK_TOKENS;
        for running in &mut self.running {
            if running.unread_tokens == 0 {
                running.remaining_tokens = running.remaining_tokens.saturating_sub(1);
                continue;
            }
            let read = running.unread_tokens.min(room);
            room -= read;
            running.unread_tokens -= read;
            if running.unread_tokens == 0 {
                events.push(EngineEvent::Began(running.request));
            }
        }
        let ended = self
            .running
            .extract_if(.., |running| running.unread_tokens == 0 && running.remaining_tokens == 0);
        events.extend(ended.map(|running| EngineEvent::Ended(running.request)));
        let read_tokens = f64::from(PREFILL_CHUNK_TOKENS - room);
        let took_ms = self.kind.step_ms + read_tokens / self.kind.prefill_tokens_per_ms;
        let running_ms = self.running.len() as f64 * self.kind.step_ms_per_request;
        let took_ms = speed.map_or(took_ms, |speed| (took_ms + running_ms) / speed);
        let took = Duration::from_secs_f64(took_ms / 1_000.0);
        self.busy_until = now + took;
        events
    }

    fn remove(&mut self, request: usize) {
        self.waiting.retain(|running| running.request != request);
        self.running.retain(|running| running.request != request);
    }
}

fn known(index: usize, slots: u32, now: Instant) -> Arc<KnownUpstream> {
    let upstream = RegisteredUpstream {
        name: UpstreamName::from(format!("engine-{index}").as_str()),
        started_ms: 1,
        sequence: 1,
        pool: PoolName::from("pool"),
        address: SocketAddr::from(([10, 0, 0, 1], 9_000 + index as u16)),
        zone: ZoneName::from(["west-a", "west-b"][index % 2]),
        slots,
        phase: UpstreamPhase::Serving,
        cold_ms: 0,
        software: SoftwareVersion::from("v1"),
    };
    let upstream = Arc::new(upstream);
    Arc::new(KnownUpstream {
        upstream,
        seen_at: now,
        silent: false,
        cold_until: None,
        unconfirmed: false,
        condition: None,
    })
}

/// View of the simulated fleet.
fn view(size: RegionSize, slots: u32, now: Instant) -> FleetView {
    let mut upstreams: Vec<_> = (0..size.engines).map(|index| known(index, slots, now)).collect();
    upstreams.sort_by_key(|known| hash_pair(known.upstream.name.as_str(), 0));
    FleetView {
        pools: HashMap::from([(PoolName::from("pool"), upstreams)]),
        entries: (0..size.entries).map(entry_name).collect(),
        live: Vec::new(),
        fleet_entries: size.entries,
        ..FleetView::default()
    }
}

/// Name of the entry at `index`.
pub fn entry_name(index: usize) -> InstanceName {
    InstanceName::from(format!("entry-{index}").as_str())
}

/// Rule of the simulated pool.
pub fn pool_rule() -> PoolRule {
    PoolRule {
        name: PoolName::from("pool"),
        health_path: "/".into(),
        connections: 500,
        warmup: None,
        engine: Some(ENGINE),
    }
}

/// Creates the chooser of the entry at `index`.
pub fn chooser(index: usize) -> UpstreamChooser {
    let zone = ZoneName::from(["west-a", "west-b"][index % 2]);
    UpstreamChooser::new(entry_name(index), RegionName::from("west"), zone, index as u64)
}

/// Creates a request of `kind` with the shared parts `contents` and the unique part `own`.
pub fn make_call(
    kind: &CallKind,
    contents: [u64; 2],
    own: u64,
    received_at: Instant,
) -> RoutedCall {
    let ids = [contents[0], contents[1], own];
    let parts = ids.into_iter().zip(kind.tokens).map(|(id, tokens)| PromptPart { id, tokens });
    let route = RouteRule {
        name: format!("rank-{}", kind.rank).into(),
        host: "host".into(),
        prefix: "/".into(),
        repeat: RepeatRule::ResumableStream,
        time_limit_ms: kind.limit_ms,
        target_ms: kind.target_ms,
        longest_pause_ms: None,
        rank: kind.rank,
        pools: smallvec![PoolShare { pool: PoolName::from("pool"), weight: 1 }],
        attempts: 2,
        affinity: true,
        homes: SmallVec::new(),
        public: false,
    };
    let (answer_tokens, estimated_tokens) = kind.estimate.tell(kind.answer_tokens, own);
    let head = CallHead {
        prompt_tokens: kind.tokens.iter().sum(),
        answer_tokens,
        estimated_tokens,
        parts: parts.collect(),
        ..CallHead::default()
    };
    let workspace = kind.workspace.map(|name| {
        Arc::new(WorkspaceRule {
            name: name.into(),
            keys: SmallVec::new(),
            rank: None,
            homes: SmallVec::new(),
            quota: None,
        })
    });
    RoutedCall {
        workspace,
        key: None,
        method: Method::POST,
        target: Uri::from_static("/"),
        headers: HeaderMap::new(),
        body: bytes::Bytes::new(),
        head,
        attempt: AttemptId::from(format!("{own:x}").as_str()),
        route: Arc::new(route),
        pool: PoolName::from("pool"),
        origin: RequiredOrigin::Any,
        received_at,
        deadline: received_at + Duration::from_millis(kind.limit_ms),
        hopped: false,
        earlier_attempts: 0,
    }
}

/// State of a simulation.
struct LoadSimulation<'a> {
    kinds: &'a [CallKind],
    policy: ChooserPolicy,
    paces: &'a [EnginePace],
    base: Instant,
    queue: usize,
    view: FleetView,
    pool: PoolRule,
    choosers: Vec<UpstreamChooser>,
    engines: Vec<Engine>,
    loads: Vec<LoadView>,
    requests: Vec<Request>,
    /// Requests for which a choice is due, by time.
    due: BTreeMap<(Duration, usize), ()>,
    result: LoadResult,
    first_token_at: HashMap<usize, Duration>,
    /// Open requests of each entry at each engine, and those of all others by the latest report.
    open: Vec<Vec<u32>>,
    reported: Vec<Vec<u32>>,
}

/// Simulates requests of `kinds` in a region of `size` for `duration`; equal seeds give equal results.
pub fn play(
    size: RegionSize,
    kinds: &[CallKind],
    policy: ChooserPolicy,
    duration: Duration,
    seed: u64,
) -> LoadResult {
    play_uneven(size, kinds, policy, &[], duration, seed)
}

/// Like [`play`], with engines of the speeds `paces`, which the product measures; of equal speed if empty.
pub fn play_uneven(
    size: RegionSize,
    kinds: &[CallKind],
    policy: ChooserPolicy,
    paces: &[EnginePace],
    duration: Duration,
    seed: u64,
) -> LoadResult {
    play_engines(size, EngineKind::default(), kinds, policy, paces, duration, seed)
}

/// Like [`play_uneven`], with engines of `engine`.
pub fn play_engines(
    size: RegionSize,
    engine: EngineKind,
    kinds: &[CallKind],
    policy: ChooserPolicy,
    paces: &[EnginePace],
    duration: Duration,
    seed: u64,
) -> LoadResult {
    let RegionSize { entries, engines, .. } = size;
    let base = Instant::now();
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut simulation = LoadSimulation {
        kinds,
        policy,
        paces,
        base,
        queue: size.queue,
        view: view(size, engine.rule.slots, base),
        pool: PoolRule { engine: Some(engine.rule), ..pool_rule() },
        choosers: (0..entries)
            .map(|index| {
                let ordered = policy == ChooserPolicy::MeasuredLoad;
                chooser(index).with_measured_load(!paces.is_empty()).with_fair_order(ordered)
            })
            .collect(),
        engines: (0..engines).map(|_| Engine { kind: engine, ..Engine::default() }).collect(),
        loads: (0..entries).map(|_| LoadView::default()).collect(),
        requests: Vec::new(),
        due: BTreeMap::new(),
        result: LoadResult {
            kinds: vec![KindResult::default(); kinds.len()],
            ..LoadResult::default()
        },
        first_token_at: HashMap::new(),
        open: vec![vec![0; engines]; entries],
        reported: vec![vec![0; engines]; entries],
    };
    let mut now = Duration::ZERO;
    let mut report_at = Duration::ZERO;
    while now < duration + Duration::from_secs(5) {
        if now >= report_at {
            simulation.exchange_reports(now);
            report_at += size.report_interval;
        }
        if now < duration {
            for (index, kind) in kinds.iter().enumerate() {
                let mean = kind.per_s * TICK.as_secs_f64();
                let count = mean as u32 + u32::from(random.random_bool(mean.fract()));
                for _ in 0..count {
                    simulation.arrive(index, &mut random, now);
                }
            }
        }
        simulation.choose_due(now);
        simulation.step_engines(now);
        if (LEARNING_TIME..duration).contains(&now) {
            for engine in simulation.engines.iter_mut().filter(|engine| now < engine.busy_until) {
                engine.busy += TICK;
            }
        }
        if !paces.is_empty() && now.as_millis().is_multiple_of(500) {
            simulation.tell_speeds(now);
        }
        now += TICK;
    }
    simulation.result.shared_prefill_tokens =
        simulation.engines.iter().map(|engine| engine.shared_prefill_tokens).sum();
    simulation.result.busy = simulation.engines.iter().map(|engine| engine.busy).collect();
    simulation.result
}

impl LoadSimulation<'_> {
    /// Tells all entries the speeds that the first one measured.
    fn tell_speeds(&mut self, now: Duration) {
        let at = self.base + now;
        let rows = self.choosers[0].speeds(at);
        let speeds: HashMap<_, _> = rows.map(|row| (row.0, f64::from(row.1) / 1_000.0)).collect();
        self.view.speeds.extend(speeds);
        for chooser in &mut self.choosers {
            chooser.apply_view(&self.view, at);
        }
        self.result.speeds.push((now, self.view.speeds.clone()));
    }

    /// Gives each entry a report of the work of the others.
    fn exchange_reports(&mut self, now: Duration) {
        let entries = self.open.len();
        for (reader, reported) in self.reported.iter_mut().enumerate() {
            for (index, reported) in reported.iter_mut().enumerate() {
                let others = (0..entries).filter(|entry| *entry != reader);
                *reported = others.map(|entry| self.open[entry][index]).sum();
            }
        }
        let now = self.base + now;
        let mut demand: HashMap<PoolName, PromptDemand> = HashMap::new();
        for chooser in &mut self.choosers {
            for (pool, own) in chooser.demand(now) {
                demand.entry(pool).or_default().add(&own);
            }
        }
        for reader in 0..entries {
            let mut work: HashMap<UpstreamName, (u32, u32)> = HashMap::new();
            let others = self.choosers.iter().enumerate().filter(|(index, _)| *index != reader);
            for (_, chooser) in others {
                for (name, requests, backlog_ms) in chooser.open_work(now) {
                    let sum = work.entry(name.clone()).or_default();
                    *sum = (sum.0 + requests, sum.1 + backlog_ms);
                }
            }
            let demand = demand.clone();
            self.loads[reader] =
                LoadView { work, work_at: Some(now), demand, ..LoadView::default() };
        }
    }

    fn arrive(&mut self, kind: usize, random: &mut ChaCha8Rng, now: Duration) {
        let known = &self.kinds[kind];
        let number = self.requests.len();
        let first = random.random_range(0..known.contents[0]);
        let second = random.random_range(0..known.contents[1]);
        let space = (kind as u64 + 1) << 32;
        let contents = [space + first, space + (1 << 16) + second];
        let call = make_call(known, contents, (99 << 32) + number as u64, self.base + now);
        let entry = random.random_range(0..self.choosers.len());
        self.choosers[entry].note_arrival(&call, Some(&self.pool), self.base + now);
        self.result.kinds[kind].asked += 1;
        self.requests.push(Request {
            kind,
            call: Arc::new(call),
            entry,
            arrived: now,
            sends: 0,
            sent: None,
        });
        self.due.insert((now, number), ());
    }

    fn choose_due(&mut self, now: Duration) {
        while let Some(entry) = self.due.first_entry().filter(|entry| entry.key().0 <= now) {
            let ((_, number), ()) = entry.remove_entry();
            self.choose(number, now);
        }
    }

    fn choose(&mut self, number: usize, now: Duration) {
        let request = &self.requests[number];
        let input = ChoiceInput {
            call: &request.call,
            pool: Some(&self.pool),
            software: None,
            tried: &TriedUpstreams::default(),
            view: &self.view,
            load: &self.loads[request.entry],
            starting_up: false,
            zone: None,
            exclusive: self.choosers.len() == 1,
            now: self.base + now,
        };
        if self.policy == ChooserPolicy::FewestRequests {
            let (open, reported) = (&self.open[request.entry], &self.reported[request.entry]);
            let fewest =
                (0..self.engines.len()).min_by_key(|index| open[*index] + reported[*index]);
            return self.send(number, fewest.unwrap_or_default(), None, now);
        }
        match self.choosers[request.entry].choose(&input) {
            UpstreamChoice::Upstream { known, number: send, .. } => {
                let name = known.upstream.name.as_str().trim_start_matches("engine-");
                let index = name.parse().expect("an engine's name ends with its index");
                self.send(number, index, Some(send), now);
            }
            UpstreamChoice::Wait(until) => {
                self.due.insert(((until - self.base).max(now + TICK), number), ());
            }
            UpstreamChoice::Refuse { .. } => self.refuse(number, now),
            UpstreamChoice::Region { .. } => panic!("there is one region"),
        }
    }

    fn refuse(&mut self, number: usize, now: Duration) {
        let request = &self.requests[number];
        let result = &mut self.result.kinds[request.kind];
        result.refused += 1;
        result.slowest_refusal = result.slowest_refusal.max(now - request.arrived);
    }

    /// Handles the refusal of a full engine: the request is chosen again, or refused after its last send.
    fn note_rejection(
        &mut self,
        number: usize,
        index: usize,
        send: Option<SendNumber>,
        now: Duration,
    ) {
        let request = &mut self.requests[number];
        self.result.kinds[request.kind].rejected_sends += 1;
        if let Some(send) = send {
            let name = UpstreamName::from(format!("engine-{index}").as_str());
            let chooser = &mut self.choosers[request.entry];
            let pool = &request.call.pool;
            chooser.note_ended(pool, &name, send, SendEnd::Refused, self.base + now);
            chooser.note_full(&name, self.base + now);
        }
        match request.sends >= MAX_SENDS {
            true => self.refuse(number, now),
            false => drop(self.due.insert((now + TICK, number), ())),
        }
    }

    fn send(&mut self, number: usize, index: usize, send: Option<SendNumber>, now: Duration) {
        let request = &mut self.requests[number];
        request.sends += 1;
        if self.engines[index].waiting.len() >= self.queue {
            return self.note_rejection(number, index, send, now);
        }
        request.sent = Some((index, send));
        self.open[request.entry][index] += 1;
        let prompt_tokens = request.call.head.prompt_tokens;
        let answer_tokens = self.kinds[request.kind].answer_tokens;
        self.engines[index].waiting.push_back(Running {
            request: number,
            unread_tokens: prompt_tokens,
            remaining_tokens: answer_tokens,
            tokens: prompt_tokens + answer_tokens,
        });
    }

    fn step_engines(&mut self, now: Duration) {
        for index in 0..self.engines.len() {
            let speed = self.paces.get(index).map(|pace| pace.slowed(index, now));
            for event in self.engines[index].step(now, speed, &self.requests) {
                match event {
                    EngineEvent::Began(number) => self.note_first_token(number, now),
                    EngineEvent::Ended(number) => self.end(number, SendEnd::Whole, now),
                }
            }
        }
        let limit = |request: &Request| Duration::from_millis(self.kinds[request.kind].limit_ms);
        let expired: Vec<_> = (0..self.requests.len())
            .filter(|number| {
                let request = &self.requests[*number];
                request.sent.is_some() && now >= request.arrived + limit(request)
            })
            .collect();
        for number in expired {
            self.end(number, SendEnd::Cancelled, now);
        }
    }

    fn note_first_token(&mut self, number: usize, now: Duration) {
        let request = &self.requests[number];
        self.first_token_at.insert(number, now);
        if request.arrived >= LEARNING_TIME {
            let took = now - request.arrived;
            self.result.first_token_ms.push(took.as_secs_f64() * 1_000.0);
        }
        if let Some((index, Some(send))) = request.sent {
            let name = UpstreamName::from(format!("engine-{index}").as_str());
            self.choosers[request.entry].note_answering(&name, send, self.base + now);
        }
    }

    fn end(&mut self, number: usize, end: SendEnd, now: Duration) {
        let request = &mut self.requests[number];
        let Some((index, send)) = request.sent.take() else { return };
        self.open[request.entry][index] -= 1;
        if let Some(send) = send {
            let name = UpstreamName::from(format!("engine-{index}").as_str());
            let pool = &request.call.pool;
            self.choosers[request.entry].note_ended(pool, &name, send, end, self.base + now);
        }
        self.engines[index].remove(number);
        if end != SendEnd::Whole {
            let read = self.first_token_at.contains_key(&number);
            self.result.kinds[request.kind].cut += u32::from(read);
            return;
        }
        let target = Duration::from_millis(self.kinds[request.kind].target_ms);
        let on_time =
            self.first_token_at.get(&number).is_some_and(|at| *at <= request.arrived + target);
        let result = &mut self.result.kinds[request.kind];
        result.on_time += u32::from(on_time);
        result.late += u32::from(!on_time);
    }
}
