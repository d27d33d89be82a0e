//! Discrete-event simulation of one workload under one policy.
//!
//! Routing, admission and retries run the library's code; upstreams, links and callers are
//! simulated.

use crate::compare::{
    fleet::{UpstreamModel, ZoneModel, make_address, make_table, make_upstreams},
    metrics::{PolicyReport, RunMetrics},
    policies::NamedPolicy,
    requests::{OpenAttempt, RequestHop, SimulatedRequest, forward_plan, make_plan},
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

/// Interval between two load reports of an upstream.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Delay from a load report until all entries of the zone know it.
const REPORT_DELAY: Duration = Duration::from_millis(250);

/// Share of load reports that are lost before they reach the entries.
const REPORT_LOSS: f64 = 0.01;

/// Interval between two digests of a zone.
const DIGEST_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which a connection attempt over a cut link fails.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Round-trip time between callers and entries.
const CALLER_ROUND_TRIP: Duration = Duration::from_millis(6);

/// Delay before a caller submits again after a refusal without a retry time.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Most submissions of one request.
const MAX_SUBMISSIONS: u32 = 6;

/// Time that a leaving upstream has to finish its work.
const DRAIN_DURATION: Duration = Duration::from_secs(60);

/// Time that an upstream loads its model after a restart.
const MODEL_LOAD_DURATION: Duration = Duration::from_secs(60);

/// Bytes of one prompt token and of one streamed answer token on a link between regions.
const LINK_BYTES_PER_TOKEN: (u64, u64) = (4, 120);

/// An event in the queue. Requests, upstreams, zones and faults are given by number or index.
#[derive(Debug)]
enum Event {
    Arrive { kind: usize, zone: usize },
    FloodArrive { fault: usize },
    Submit { id: u64 },
    RetryRouting { id: u64 },
    Expire { id: u64, submission: u32 },
    EngineTimer { upstream: usize, timer: u64 },
    SendReports,
    ReceiveReports { zone: usize, records: Vec<Arc<UpstreamRecord>>, made_at: Instant },
    SendDigests,
    ReceiveDigest { zone: usize, digest: Arc<ZoneDigest> },
    Forwarded { id: u64, submission: u32, zone: usize },
    FailRemote { id: u64, submission: u32, error: AttemptError },
    StartFault { fault: usize },
    EndFault { fault: usize },
    LeaveUpstream { upstream: usize },
    RestartUpstream { upstream: usize },
    FinishLoading { upstream: usize },
}

/// State of a running simulation.
pub struct Simulation<'a> {
    workload: &'a Workload,
    policy: &'a NamedPolicy,
    rng: ChaCha8Rng,
    started_at: Instant,
    now: Instant,
    queue: BinaryHeap<Reverse<(Instant, u64)>>,
    events: HashMap<u64, Event>,
    last_event: u64,
    zones: Vec<ZoneModel>,
    upstreams: Vec<UpstreamModel>,
    upstream_indices: HashMap<cicadastall::name::UpstreamName, usize>,
    plans: HashMap<(usize, usize, u32), Rc<RequestPlan>>,
    settings: FleetSettings,
    requests: HashMap<u64, SimulatedRequest>,
    attempts: HashMap<u64, u64>,
    last_number: u64,
    cut_links: Vec<[RegionName; 2]>,
    metrics: RunMetrics,
}

impl std::fmt::Debug for Simulation<'_> {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.debug_struct("Simulation").field("policy", &self.policy.name).finish()
    }
}

impl<'a> Simulation<'a> {
    /// Makes a simulation at its start.
    pub fn new(workload: &'a Workload, policy: &'a NamedPolicy, seed: u64) -> Self {
        let started_at = Instant::now();
        let upstreams = make_upstreams(workload, started_at);
        let names = upstreams.iter().enumerate();
        let mut simulation = Self {
            upstream_indices: names.map(|(number, model)| (model.name().clone(), number)).collect(),
            zones: make_zones(workload, policy, seed),
            upstreams,
            settings: workload.make_settings(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            started_at,
            now: started_at,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            last_event: 0,
            plans: HashMap::new(),
            requests: HashMap::new(),
            attempts: HashMap::new(),
            last_number: 0,
            cut_links: Vec::new(),
            metrics: RunMetrics::new(workload),
            workload,
            policy,
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

    /// Runs to the end of the workload and returns the report.
    pub fn run(mut self) -> PolicyReport {
        let end = self.started_at + Duration::from_secs(self.workload.duration_s);
        while let Some(Reverse((at, number))) = self.queue.pop() {
            if at >= end {
                break;
            }
            self.now = at;
            let event = self.events.remove(&number).expect("each queued number has an event");
            self.handle(event);
        }
        for model in &mut self.upstreams {
            model.engine.advance(end);
            self.metrics.count_busy(model.is_engine, model.engine.busy());
        }
        self.metrics.report(self.workload, self.policy.name)
    }

    fn schedule_start(&mut self) {
        self.schedule(Duration::ZERO, Event::SendReports);
        self.schedule(REPORT_DELAY, Event::SendDigests);
        for kind in 0..self.workload.kinds.len() {
            for zone in 0..self.zones.len() {
                self.schedule_arrival(kind, zone, DIGEST_INTERVAL);
            }
        }
        for (fault, plan) in self.workload.faults.iter().enumerate() {
            let at = Duration::from_secs(plan.at_s);
            self.schedule(at, Event::StartFault { fault });
            self.schedule(at + Duration::from_secs(plan.for_s), Event::EndFault { fault });
        }
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.schedule_at(self.now + after, event);
    }

    fn schedule_at(&mut self, at: Instant, event: Event) {
        self.last_event += 1;
        self.queue.push(Reverse((at, self.last_event)));
        self.events.insert(self.last_event, event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive { kind, zone } => self.handle_arrival(kind, zone),
            Event::FloodArrive { fault } => self.handle_flood_arrival(fault),
            Event::Submit { id } => self.submit(id),
            Event::RetryRouting { id } => self.route_request(id),
            Event::Expire { id, submission } => self.expire(id, submission),
            Event::EngineTimer { upstream, timer } => self.handle_timer(upstream, timer),
            Event::SendReports => self.send_reports(),
            Event::ReceiveReports { zone, records, made_at } => {
                self.zones[zone].accept_records(records, made_at);
            }
            Event::SendDigests => self.send_digests(),
            Event::ReceiveDigest { zone, digest } => {
                let view = ZoneView { digest, received_at: self.now };
                self.zones[zone].table.zones.insert(view.digest.zone.clone(), view);
            }
            Event::Forwarded { id, submission, zone } => self.receive_forward(id, submission, zone),
            Event::FailRemote { id, submission, error } => self.fail_remote(id, submission, error),
            Event::StartFault { fault } => self.start_fault(fault),
            Event::EndFault { fault } => self.end_fault(fault),
            Event::LeaveUpstream { upstream } => {
                self.upstreams[upstream].state = Some(UpstreamState::Leaving);
                self.schedule(DRAIN_DURATION, Event::RestartUpstream { upstream });
            }
            Event::RestartUpstream { upstream } => {
                self.restart(upstream, Some(UpstreamState::Loading));
                self.schedule(MODEL_LOAD_DURATION, Event::FinishLoading { upstream });
            }
            Event::FinishLoading { upstream } => {
                self.upstreams[upstream].state = Some(UpstreamState::Serving);
            }
        }
    }

    fn submit(&mut self, number: u64) {
        let Some(request) = self.requests.get_mut(&number) else { return };
        let (kind, home, workspace) = (request.kind, request.home, request.workspace);
        request.submitted_at = self.now;
        request.submissions += 1;
        let submission = request.submissions;
        let plan = self.cached_plan(kind, home, workspace);
        let entry = self.rng.random_range(0..self.zones[home].routers.len());
        let deadline = plan.deadline;
        let request = self.requests.get_mut(&number).expect("looked up above");
        request.hops = vec![RequestHop::new(home, entry, plan)];
        self.schedule(deadline, Event::Expire { id: number, submission });
        self.route_request(number);
    }

    fn cached_plan(&mut self, kind: usize, zone: usize, workspace: u32) -> Rc<RequestPlan> {
        let (workload, settings) = (self.workload, &self.settings);
        let make =
            || Rc::new(make_plan(workload, settings, zone, workspace, &workload.kinds[kind]));
        Rc::clone(self.plans.entry((kind, zone, workspace)).or_insert_with(make))
    }

    fn route_request(&mut self, number: u64) {
        let Some(request) = self.requests.get_mut(&number) else { return };
        let Some(hop) = request.hops.last_mut() else { return };
        let zone = &mut self.zones[hop.zone];
        let router = &mut zone.routers[hop.entry];
        let (plan, shape) = (Rc::clone(&hop.plan), Arc::clone(&request.shape));
        let decision = router.choose(&zone.table, &plan, &shape, &hop.tried, self.now);
        match decision {
            RouteDecision::Upstream(choice) => self.send_to_upstream(number, &choice),
            RouteDecision::Entry { zone, address, .. } => {
                hop.tried.zones.push(zone);
                hop.attempts += 1;
                request.sends += 1;
                self.forward_to_zone(number, address);
            }
            RouteDecision::Wait(until) => {
                self.schedule_at(until, Event::RetryRouting { id: number })
            }
            RouteDecision::Refuse(mut refusal) => {
                if hop.ran == Ran::Unknown {
                    refusal.ran = Ran::Unknown;
                }
                self.fail_hop(number, refusal);
            }
        }
    }

    fn send_to_upstream(&mut self, number: u64, choice: &UpstreamChoice) {
        let upstream = self.upstream_indices[&choice.view.record.name];
        self.last_number += 1;
        let id = self.last_number;
        let request = self.requests.get_mut(&number).expect("a request is open while it is routed");
        request.sends += 1;
        let hop = request.hops.last_mut().expect("routed at this hop");
        hop.attempts += 1;
        let zone = &mut self.zones[hop.zone];
        let router = &mut zone.routers[hop.entry];
        let ticket = router.record_sent(choice, &hop.plan, &request.shape, self.now);
        hop.attempt = Some(OpenAttempt { id, upstream, ticket });
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

    fn forward_to_zone(&mut self, number: u64, address: SocketAddr) {
        let request = &self.requests[&number];
        let hop = request.hops.last().expect("forwarded from this hop");
        let (from, to, submission) = (hop.zone, usize::from(address.port()), request.submissions);
        let bytes = u64::from(request.shape.tokens) * LINK_BYTES_PER_TOKEN.0;
        if self.is_cut(from, to) {
            let error = AttemptError::Unreachable("no connection in time".into());
            return self
                .schedule(CONNECT_TIMEOUT, Event::FailRemote { id: number, submission, error });
        }
        self.metrics.count_link(from, to, bytes);
        let delay = self.link_delay(bytes);
        self.schedule(delay, Event::Forwarded { id: number, submission, zone: to });
    }

    fn link_delay(&self, bytes: u64) -> Duration {
        let link = &self.workload.link;
        Duration::from_millis(link.delay_ms)
            + Duration::from_secs_f64(bytes as f64 / link.bytes_per_s)
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        let regions = &self.workload.regions;
        let (from, to) = (&regions[from].name, &regions[to].name);
        self.cut_links.iter().any(|cut| cut.contains(from) && cut.contains(to))
    }

    fn receive_forward(&mut self, number: u64, submission: u32, zone: usize) {
        let Some(request) = self.requests.get_mut(&number) else { return };
        if request.submissions != submission {
            return;
        }
        let origin = &self.workload.regions[request.hops[0].zone].name;
        let plan = Rc::new(forward_plan(&request.hops[0].plan, origin));
        let entry = self.rng.random_range(0..self.zones[zone].routers.len());
        request.hops.push(RequestHop::new(zone, entry, plan));
        self.route_request(number);
    }

    fn fail_remote(&mut self, number: u64, submission: u32, error: AttemptError) {
        if self.requests.get(&number).is_some_and(|request| request.submissions == submission) {
            self.fail_attempt(number, error);
        }
    }

    /// Ends the current hop without a result: returns the refusal to the entry that forwarded the
    /// request, or to the caller at the first hop.
    fn fail_hop(&mut self, number: u64, refusal: Refusal) {
        let request = self.requests.get_mut(&number).expect("a request is open while it is routed");
        if request.hops.len() > 1 {
            request.hops.pop();
            let (submission, error) = (request.submissions, AttemptError::Refused(refusal));
            let delay = self.link_delay(0);
            return self.schedule(delay, Event::FailRemote { id: number, submission, error });
        }
        self.refuse_caller(number, &refusal);
    }

    /// Refuses the request to its caller, who submits it again if it may be repeated in time.
    fn refuse_caller(&mut self, number: u64, refusal: &Refusal) {
        let request = &self.requests[&number];
        let wait = refusal.retry_after_ms.map_or(DEFAULT_RETRY_DELAY, Duration::from_millis);
        let plan = &request.hops[0].plan;
        let again = self.now + CALLER_ROUND_TRIP + wait;
        let permitted = plan.repeatable || refusal.ran == Ran::No;
        let keeps_trying = request.submissions < MAX_SUBMISSIONS
            && again < request.first_submitted_at + plan.deadline;
        self.metrics.count_refusal(refusal.code);
        if permitted && keeps_trying && request.first_token.is_none() {
            self.schedule_at(again, Event::Submit { id: number });
            let request = self.requests.get_mut(&number).expect("looked up above");
            request.hops.clear();
        } else {
            self.end_request(number, Some(refusal.code));
        }
    }

    fn fail_attempt(&mut self, number: u64, error: AttemptError) {
        let request =
            self.requests.get_mut(&number).expect("a request with a failed attempt is open");
        let hop = request.hops.last_mut().expect("an attempt belongs to a hop");
        if error.ran() == Ran::Unknown {
            hop.ran = Ran::Unknown;
        }
        if let Some(attempt) = hop.attempt.take() {
            hop.tried.upstreams.push(attempt.ticket.upstream.clone());
            let router = &mut self.zones[hop.zone].routers[hop.entry];
            router.record_ended(&attempt.ticket);
            if !matches!(error, AttemptError::Refused(_)) {
                router.record_failure(&attempt.ticket.upstream, self.now);
            }
        } else if let Some(zone) = hop.tried.zones.last() {
            self.zones[hop.zone].routers[hop.entry].record_returned(zone, &hop.plan, self.now);
        }
        let router = &mut self.zones[hop.zone].routers[hop.entry];
        if router.take_retry(&hop.plan, hop.ran, hop.attempts) {
            return self.route_request(number);
        }
        let mut refusal = error.into_refusal();
        refusal.ran = hop.ran;
        self.fail_hop(number, refusal);
    }

    fn expire(&mut self, number: u64, submission: u32) {
        if self.requests.get(&number).is_some_and(|request| request.submissions == submission) {
            self.end_request(number, Some(RefusalCode::DeadlinePassed));
        }
    }

    /// Ends a request and cancels its open attempt, if any; `code` is none after a complete answer.
    fn end_request(&mut self, number: u64, code: Option<RefusalCode>) {
        let Some(mut request) = self.requests.remove(&number) else { return };
        for hop in &mut request.hops {
            let Some(attempt) = hop.attempt.take() else { continue };
            self.zones[hop.zone].routers[hop.entry].record_ended(&attempt.ticket);
            self.attempts.remove(&attempt.id);
            if code.is_some() {
                self.advance(attempt.upstream);
                self.upstreams[attempt.upstream].engine.cancel(attempt.id);
                self.set_timer(attempt.upstream);
            }
        }
        let at = self.now - self.started_at;
        self.metrics.count_outcome(self.workload, &request, self.now, at, code);
    }
}

fn make_zones(workload: &Workload, policy: &NamedPolicy, seed: u64) -> Vec<ZoneModel> {
    let regions = workload.regions.iter().enumerate();
    regions
        .map(|(zone, region)| {
            let name = Workload::zone_name(region);
            let location = RouterLocation { region: region.name.clone(), zone: name.clone() };
            let routers = (0..workload.entries_per_zone).map(|number| {
                let address = make_address(zone, number).to_string();
                let seed = cicadastall::prefix::chain_block(seed, address.as_bytes());
                RequestRouter::with_policy(location.clone(), policy.policy.clone(), seed)
            });
            let table = make_table(workload, zone);
            ZoneModel { name, routers: routers.collect(), table, digests: 0 }
        })
        .collect()
}
