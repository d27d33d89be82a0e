//! One run of a workload over one policy, as a queue of events.
//!
//! Routers, admission and retries are the library's own; upstreams are models at their interface.

use crate::compare::{
    fleet::{UpstreamModel, ZoneModel, make_address, make_table, make_upstreams},
    metrics::{PolicyReport, RunMetrics},
    policies::PolicyEntry,
    requests::{OpenAttempt, RequestLeg, SimRequest, forward_plan, make_plan},
    workload::Workload,
};
use cicadastall::{
    answer::{Ran, Refusal, RefusalCode},
    decode::RequestPlan,
    dispatch::AttemptError,
    name::RegionName,
    route::{RequestRouter, RouteDecision, RouterLocation, UpstreamChoice},
    settings::{FleetSettings, Revision, SettingsSnapshot},
    table::{UpstreamRecord, UpstreamState, ZoneDigest, ZoneView},
};
use cicadastall_standins::model::ModelJob;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration,
};
use tokio::time::Instant;

mod arrivals;
mod faults;
mod upstreams;

/// Time between two load reports of an upstream.
const REPORT_PERIOD: Duration = Duration::from_millis(500);

/// Time until all entries of a zone know a load report.
const REPORT_LAG: Duration = Duration::from_millis(250);

/// Share of load reports that are lost on the way to an entry.
const REPORT_LOSS: f64 = 0.01;

/// Time between two digests of a zone.
const DIGEST_PERIOD: Duration = Duration::from_secs(1);

/// Time after which a connection over a cut link is given up.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Round trip between callers and entries.
const CALLER_ROUND_TRIP: Duration = Duration::from_millis(6);

/// Time for which callers wait after a refusal that does not say when to come back.
const UNTOLD_RETRY: Duration = Duration::from_secs(1);

/// Most times that a caller asks.
const MAX_ASKS: u32 = 6;

/// Time for which a leaving upstream may finish its work.
const LEAVE_TIME: Duration = Duration::from_secs(60);

/// Time to load a model after a restart.
const LOAD_TIME: Duration = Duration::from_secs(60);

/// Bytes of one prompt token and of one streamed answer token on a link.
const LINK_BYTES: (u64, u64) = (4, 120);

#[derive(Debug)]
enum Event {
    Arrive { kind: usize, zone: usize },
    FloodArrive { fault: usize },
    Ask { request: u64 },
    Decide { request: u64 },
    Expire { request: u64, ask: u32 },
    Wake { upstream: usize, timer: u64 },
    Report,
    Records { zone: usize, records: Vec<Arc<UpstreamRecord>>, made_at: Instant },
    Digests,
    Digest { zone: usize, digest: Arc<ZoneDigest> },
    Forwarded { request: u64, ask: u32, zone: usize },
    Returned { request: u64, ask: u32, error: AttemptError },
    Start { fault: usize },
    End { fault: usize },
    Leave { upstream: usize },
    Stop { upstream: usize },
    Ready { upstream: usize },
}

/// A run in progress.
pub struct Simulation<'a> {
    workload: &'a Workload,
    entry: &'a PolicyEntry,
    rng: ChaCha8Rng,
    base: Instant,
    now: Instant,
    queue: BinaryHeap<Reverse<(Instant, u64)>>,
    events: HashMap<u64, Event>,
    sequence: u64,
    zones: Vec<ZoneModel>,
    upstreams: Vec<UpstreamModel>,
    by_name: HashMap<cicadastall::name::UpstreamName, usize>,
    plans: HashMap<(usize, usize, u32), Rc<RequestPlan>>,
    settings: FleetSettings,
    requests: HashMap<u64, SimRequest>,
    attempts: HashMap<u64, u64>,
    numbers: u64,
    cuts: Vec<[RegionName; 2]>,
    metrics: RunMetrics,
}

impl std::fmt::Debug for Simulation<'_> {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("Simulation").field("policy", &self.entry.name).finish()
    }
}

impl<'a> Simulation<'a> {
    /// A run that has not begun.
    pub fn new(workload: &'a Workload, entry: &'a PolicyEntry, seed: u64) -> Self {
        let base = Instant::now();
        let upstreams = make_upstreams(workload, base);
        let names = upstreams.iter().enumerate();
        let mut simulation = Self {
            by_name: names.map(|(number, model)| (model.name().clone(), number)).collect(),
            zones: make_zones(workload, entry, seed),
            upstreams,
            settings: workload.make_settings(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            base,
            now: base,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            sequence: 0,
            plans: HashMap::new(),
            requests: HashMap::new(),
            attempts: HashMap::new(),
            numbers: 0,
            cuts: Vec::new(),
            metrics: RunMetrics::new(workload),
            workload,
            entry,
        };
        let tree = simulation.settings.clone();
        let snapshot =
            SettingsSnapshot { revision: Revision(1), tree, ..SettingsSnapshot::default() };
        for router in simulation.zones.iter_mut().flat_map(|zone| &mut zone.routers) {
            router.apply_settings(&snapshot);
        }
        simulation.schedule_start();
        simulation
    }

    /// Runs to the end of the workload.
    pub fn run(mut self) -> PolicyReport {
        let end = self.base + Duration::from_secs(self.workload.duration_s);
        while let Some(Reverse((at, number))) = self.queue.pop() {
            if at >= end {
                break;
            }
            self.now = at;
            let event = self.events.remove(&number).expect("each queued event is kept");
            self.handle(event);
        }
        for model in &mut self.upstreams {
            model.engine.advance(end);
            self.metrics.count_busy(model.is_engine, model.engine.busy());
        }
        self.metrics.report(self.workload, self.entry.name)
    }

    fn schedule_start(&mut self) {
        self.schedule(Duration::ZERO, Event::Report);
        self.schedule(REPORT_LAG, Event::Digests);
        for kind in 0..self.workload.kinds.len() {
            for zone in 0..self.zones.len() {
                self.schedule_arrival(kind, zone, DIGEST_PERIOD);
            }
        }
        for (fault, plan) in self.workload.faults.iter().enumerate() {
            let at = Duration::from_secs(plan.at_s);
            self.schedule(at, Event::Start { fault });
            self.schedule(at + Duration::from_secs(plan.for_s), Event::End { fault });
        }
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.schedule_at(self.now + after, event);
    }

    fn schedule_at(&mut self, at: Instant, event: Event) {
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence)));
        self.events.insert(self.sequence, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive { kind, zone } => self.arrive(kind, zone),
            Event::FloodArrive { fault } => self.arrive_flood(fault),
            Event::Ask { request } => self.ask(request),
            Event::Decide { request } => self.decide(request),
            Event::Expire { request, ask } => self.expire(request, ask),
            Event::Wake { upstream, timer } => self.wake(upstream, timer),
            Event::Report => self.report(),
            Event::Records { zone, records, made_at } => {
                self.zones[zone].accept_records(records, made_at);
            }
            Event::Digests => self.send_digests(),
            Event::Digest { zone, digest } => {
                let view = ZoneView { digest, received_at: self.now };
                self.zones[zone].table.zones.insert(view.digest.zone.clone(), view);
            }
            Event::Forwarded { request, ask, zone } => self.accept_forwarded(request, ask, zone),
            Event::Returned { request, ask, error } => self.accept_returned(request, ask, error),
            Event::Start { fault } => self.start_fault(fault),
            Event::End { fault } => self.end_fault(fault),
            Event::Leave { upstream } => {
                self.upstreams[upstream].state = Some(UpstreamState::Leaving);
                self.schedule(LEAVE_TIME, Event::Stop { upstream });
            }
            Event::Stop { upstream } => {
                self.restart(upstream, Some(UpstreamState::Loading));
                self.schedule(LOAD_TIME, Event::Ready { upstream });
            }
            Event::Ready { upstream } => {
                self.upstreams[upstream].state = Some(UpstreamState::Serving);
            }
        }
    }

    fn ask(&mut self, number: u64) {
        let Some(request) = self.requests.get_mut(&number) else { return };
        let (kind, home, workspace) = (request.kind, request.home, request.workspace);
        request.asked = self.now;
        request.asks += 1;
        let ask = request.asks;
        let plan = self.plan(kind, home, workspace);
        let entry = self.rng.random_range(0..self.zones[home].routers.len());
        let deadline = plan.deadline;
        let request = self.requests.get_mut(&number).expect("looked up above");
        request.legs = vec![RequestLeg::new(home, entry, plan)];
        self.schedule(deadline, Event::Expire { request: number, ask });
        self.decide(number);
    }

    fn plan(&mut self, kind: usize, zone: usize, workspace: u32) -> Rc<RequestPlan> {
        let (workload, settings) = (self.workload, &self.settings);
        let make =
            || Rc::new(make_plan(workload, settings, zone, workspace, &workload.kinds[kind]));
        Rc::clone(self.plans.entry((kind, zone, workspace)).or_insert_with(make))
    }

    fn decide(&mut self, number: u64) {
        let Some(request) = self.requests.get_mut(&number) else { return };
        let Some(leg) = request.legs.last_mut() else { return };
        let zone = &mut self.zones[leg.zone];
        let router = &mut zone.routers[leg.entry];
        let (plan, shape) = (Rc::clone(&leg.plan), Arc::clone(&request.shape));
        let decision = router.choose(&zone.table, &plan, &shape, &leg.tried, self.now);
        match decision {
            RouteDecision::Upstream(choice) => self.send(number, &choice),
            RouteDecision::Entry { zone, address, .. } => {
                leg.tried.zones.push(zone);
                leg.attempts += 1;
                request.sends += 1;
                self.forward(number, address);
            }
            RouteDecision::Wait(until) => {
                self.schedule_at(until, Event::Decide { request: number })
            }
            RouteDecision::Refuse(mut refusal) => {
                if leg.ran == Ran::Unknown {
                    refusal.ran = Ran::Unknown;
                }
                self.finish_leg(number, refusal);
            }
        }
    }

    fn send(&mut self, number: u64, choice: &UpstreamChoice) {
        let upstream = self.by_name[&choice.view.record.name];
        self.numbers += 1;
        let id = self.numbers;
        let request = self.requests.get_mut(&number).expect("decided just now");
        request.sends += 1;
        let leg = request.legs.last_mut().expect("decided for this leg");
        leg.attempts += 1;
        let zone = &mut self.zones[leg.zone];
        let router = &mut zone.routers[leg.entry];
        let ticket = router.record_sent(choice, &leg.plan, &request.shape, self.now);
        leg.attempt = Some(OpenAttempt { id, upstream, ticket });
        let model = &mut self.upstreams[upstream];
        if model.state.is_none_or(|state| state == UpstreamState::Loading) {
            let error = AttemptError::Unreachable("connection refused".into());
            return self.fail_attempt(number, error);
        }
        let job = ModelJob {
            id,
            priority: choice.priority,
            blocks: Arc::clone(&request.blocks),
            prompt_tokens: request.shape.tokens,
            answer_tokens: request.shape.answer_tokens,
        };
        self.attempts.insert(id, number);
        self.advance(upstream);
        self.upstreams[upstream].engine.submit(job);
        self.set_timer(upstream);
    }

    fn forward(&mut self, number: u64, address: SocketAddr) {
        let request = &self.requests[&number];
        let leg = request.legs.last().expect("forwarded from this leg");
        let (from, to, ask) = (leg.zone, usize::from(address.port()), request.asks);
        let bytes = u64::from(request.shape.tokens) * LINK_BYTES.0;
        if self.is_cut(from, to) {
            let error = AttemptError::Unreachable("no connection in time".into());
            return self.schedule(CONNECT_TIMEOUT, Event::Returned { request: number, ask, error });
        }
        self.metrics.count_link(from, to, bytes);
        let delay = self.link_delay(bytes);
        self.schedule(delay, Event::Forwarded { request: number, ask, zone: to });
    }

    fn link_delay(&self, bytes: u64) -> Duration {
        let link = &self.workload.link;
        Duration::from_millis(link.delay_ms)
            + Duration::from_secs_f64(bytes as f64 / link.bytes_per_s)
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        let regions = &self.workload.regions;
        let (from, to) = (&regions[from].name, &regions[to].name);
        self.cuts.iter().any(|cut| cut.contains(from) && cut.contains(to))
    }

    fn accept_forwarded(&mut self, number: u64, ask: u32, zone: usize) {
        let Some(request) = self.requests.get_mut(&number) else { return };
        if request.asks != ask {
            return;
        }
        let origin = &self.workload.regions[request.legs[0].zone].name;
        let plan = Rc::new(forward_plan(&request.legs[0].plan, origin));
        let entry = self.rng.random_range(0..self.zones[zone].routers.len());
        request.legs.push(RequestLeg::new(zone, entry, plan));
        self.decide(number);
    }

    fn accept_returned(&mut self, number: u64, ask: u32, error: AttemptError) {
        if self.requests.get(&number).is_some_and(|request| request.asks == ask) {
            self.fail_attempt(number, error);
        }
    }

    /// Ends the current leg without a result: the entry before it learns so, or else the caller.
    fn finish_leg(&mut self, number: u64, refusal: Refusal) {
        let request = self.requests.get_mut(&number).expect("decided just now");
        if request.legs.len() > 1 {
            request.legs.pop();
            let (ask, error) = (request.asks, AttemptError::Refused(refusal));
            let delay = self.link_delay(0);
            return self.schedule(delay, Event::Returned { request: number, ask, error });
        }
        self.refuse(number, &refusal);
    }

    /// Tells the caller, who asks again if that may help.
    fn refuse(&mut self, number: u64, refusal: &Refusal) {
        let request = &self.requests[&number];
        let wait = refusal.retry_after_ms.map_or(UNTOLD_RETRY, Duration::from_millis);
        let plan = &request.legs[0].plan;
        let again = self.now + CALLER_ROUND_TRIP + wait;
        let permitted = plan.repeatable || refusal.ran == Ran::No;
        let patient = request.asks < MAX_ASKS && again < request.first_asked + plan.deadline;
        self.metrics.count_refusal(refusal.code);
        if permitted && patient && request.first_token.is_none() {
            self.schedule_at(again, Event::Ask { request: number });
            let request = self.requests.get_mut(&number).expect("looked up above");
            request.legs.clear();
        } else {
            self.close(number, Some(refusal.code));
        }
    }

    fn fail_attempt(&mut self, number: u64, error: AttemptError) {
        let request = self.requests.get_mut(&number).expect("its attempt failed just now");
        let leg = request.legs.last_mut().expect("an attempt belongs to a leg");
        if error.ran() == Ran::Unknown {
            leg.ran = Ran::Unknown;
        }
        if let Some(attempt) = leg.attempt.take() {
            leg.tried.upstreams.push(attempt.ticket.upstream.clone());
            let router = &mut self.zones[leg.zone].routers[leg.entry];
            router.record_ended(&attempt.ticket);
            if !matches!(error, AttemptError::Refused(_)) {
                router.record_failure(&attempt.ticket.upstream, self.now);
            }
        } else if let Some(zone) = leg.tried.zones.last() {
            self.zones[leg.zone].routers[leg.entry].record_returned(zone, &leg.plan, self.now);
        }
        let router = &mut self.zones[leg.zone].routers[leg.entry];
        if router.take_retry(&leg.plan, leg.ran, leg.attempts) {
            return self.decide(number);
        }
        let mut refusal = error.into_refusal();
        refusal.ran = leg.ran;
        self.finish_leg(number, refusal);
    }

    fn expire(&mut self, number: u64, ask: u32) {
        if self.requests.get(&number).is_some_and(|request| request.asks == ask) {
            self.close(number, Some(RefusalCode::DeadlinePassed));
        }
    }

    /// Ends a request; drops its attempt where one is left.
    fn close(&mut self, number: u64, code: Option<RefusalCode>) {
        let Some(mut request) = self.requests.remove(&number) else { return };
        for leg in &mut request.legs {
            let Some(attempt) = leg.attempt.take() else { continue };
            self.zones[leg.zone].routers[leg.entry].record_ended(&attempt.ticket);
            self.attempts.remove(&attempt.id);
            if code.is_some() {
                self.advance(attempt.upstream);
                self.upstreams[attempt.upstream].engine.cancel(attempt.id);
                self.set_timer(attempt.upstream);
            }
        }
        let at = self.now - self.base;
        self.metrics.count_end(self.workload, &request, self.now, at, code);
    }
}

fn make_zones(workload: &Workload, entry: &PolicyEntry, seed: u64) -> Vec<ZoneModel> {
    let regions = workload.regions.iter().enumerate();
    regions
        .map(|(zone, region)| {
            let name = Workload::zone_name(region);
            let location = RouterLocation { region: region.name.clone(), zone: name.clone() };
            let routers = (0..workload.entries_per_zone).map(|number| {
                let address = make_address(zone, number).to_string();
                let seed = cicadastall::prefix::chain_block(seed, address.as_bytes());
                RequestRouter::with_policy(location.clone(), entry.policy.clone(), seed)
            });
            let table = make_table(workload, zone);
            ZoneModel { name, routers: routers.collect(), table, digests: 0 }
        })
        .collect()
}
