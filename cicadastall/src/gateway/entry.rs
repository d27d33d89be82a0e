//! An entry of the pass-through gateway: listeners, view of the fleet, start and stop.

mod directory;

use crate::{
    answer::{Refusal, RefusalCode},
    clock::{BootInstant, unix_ms},
    gateway::{
        decision::call::{CallHead, CallKey, RequiredOrigin, RoutedCall},
        document::routes::{CallerBounds, RepeatRule, RouteRule, RouteTable},
        edge::{
            control_call::ControlDialect,
            dialect::CallDialect,
            headers::{refuse, strip_connection_headers},
            hop::HopMetadata,
        },
        entry::directory::answer_directory,
        knowledge::{
            fleet_update::{FleetQuery, FleetReader, FleetUpdate},
            poll_tasks::{FleetSubscriber, PollTasks},
            view::ViewMerger,
            warmup::hash_pair,
        },
        request::{
            caller_key::{HeldKey, admit_hop, admit_key, refuse_unconfirmed},
            context::EntryContext,
            engine_grants::GrantService,
            forecast::{FORECAST_PATH, ForecastQuery, MAX_QUERY_BYTES, QueryFault},
            memory_share::HeldBodyError,
            relay::answer_call,
        },
        settings::GatewaySettings,
    },
    http::{self, AnswerBody, ListenerLimits, json_answer, read_body, text_answer},
    instance::serve_grants,
    logs::LineLimiter,
    name::AttemptId,
    peer::{PeerClients, PeerError},
    table::{EntryRecord, EntryState, Incarnation},
};
use bytes::Bytes;
use hyper::{
    Method, Request, Response, StatusCode,
    body::Incoming,
    header::{AUTHORIZATION, CONNECTION, HOST, HeaderValue},
    http::request::Parts,
};
use serde_json::json;
use std::{
    future::ready,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};
use tokio::{
    runtime::Handle,
    sync::watch,
    task::{JoinHandle, JoinSet},
    time::{Instant, sleep, sleep_until, timeout},
};

/// Longest wait of a fleet query to control in the entry's region, in milliseconds. Its answers also
/// carry the work of other entries.
const SAME_REGION_WAIT_MS: u32 = 400;

/// Longest wait of a fleet query to control in another region, in milliseconds.
const OTHER_REGION_WAIT_MS: u32 = 1_000;

/// Time after which an entry that has a document, but hears no majority of control, accepts callers
/// without a confirmation, so that a region that is cut off from the others still serves them.
const CUT_OFF_DELAY: Duration = Duration::from_secs(6);

/// Time without an answer after which a control instance counts as not heard. A confirmation takes
/// up to 0.9 s.
const CONTROL_SILENCE: Duration = Duration::from_secs(3);

/// Time after its first document at which an entry accepts callers in any case. A majority that is heard
/// and confirms nothing for so long has lost more disks than it bears, and needs an operator.
const UNCONFIRMED_LIMIT: Duration = Duration::from_secs(20);

/// Interval of the periodic upkeep: expired view entries, connections and grants.
const UPKEEP_PERIOD: Duration = Duration::from_millis(250);

/// Time for which a stopping entry accepts new connections, as callers use a listing beyond its
/// lifetime.
const STOP_ACCEPT_TIME: Duration = Duration::from_millis(2_000);

/// Time after that for which open connections accept one more request: the longest delay of a
/// request on a saturated link.
const STOP_IDLE_GRACE: Duration = Duration::from_millis(800);

/// Part of the stop time that is reserved for the process to exit.
const STOP_MARGIN: Duration = Duration::from_millis(500);

/// Time before the end of the stop by which requests without a result are answered, so that the answers
/// reach their callers.
const STOP_ANSWER_MARGIN: Duration = Duration::from_millis(300);

/// Time before a caller's own deadline by which its request is answered.
const DEADLINE_MARGIN: Duration = Duration::from_millis(15);

/// A request waits for the origin of the stream that it resumes for at most its time divided by this.
const ORIGIN_WAIT_DIVISOR: u32 = 4;

/// Longest time to read a request's body, even if the request allows more.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Time after which a caller may retry if the bodies of other requests leave no room for its own.
const NO_ROOM_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Path of the status listener at which operators list quarantined traits and release them.
const QUARANTINE_PATH: &str = "/v1/quarantine";

/// Lines about requests without a key of a workspace.
static KEY_LINES: LineLimiter = LineLimiter::new(4);

/// Maximum number of connections from other entries.
const MAX_HOP_CONNECTIONS: usize = 1_024;

/// Follows control instances and updates the entry's routes and view of the fleet.
#[derive(Debug)]
struct ViewUpdater {
    context: Arc<EntryContext>,
    state: Mutex<ViewMerger>,
    first_document: Mutex<Option<Instant>>,
    /// Time since which no majority of control instances has been heard.
    cut_off_since: Mutex<Option<Instant>>,
    /// Whether the lease of the document was valid at the last upkeep.
    leased: AtomicBool,
}

impl ViewUpdater {
    fn state(&self) -> MutexGuard<'_, ViewMerger> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Puts the document of `update` in force if it is newer than the current one. Returns whether it
    /// did.
    fn apply_document(&self, control: SocketAddr, update: &mut FleetUpdate) -> bool {
        // Held throughout, so that a document is never replaced by an older one.
        let mut first = self.first_document.lock().unwrap_or_else(PoisonError::into_inner);
        let current = self.context.routes.load().document().number;
        let Some(document) = update.document.take().filter(|document| document.number > current)
        else {
            return false;
        };
        log::info!(
            document = document.number, previous = current, routes = document.routes.len(),
            workspaces = document.workspaces.len(), confirmed = update.confirmed,
            control = control.to_string();
            "document in force"
        );
        self.context.metrics.set_document(document.number);
        let number = document.number;
        let replaced = self.context.routes.load().replace(document);
        self.context.routes.store(Arc::new(replaced));
        self.context.note_document(number);
        first.get_or_insert(Instant::now());
        true
    }

    /// Starts to accept callers once the document is confirmed, or no confirmation can be expected.
    fn update_readiness(&self, confirmed: bool) {
        if self.context.is_usable() {
            return;
        }
        let cut_off = self.is_cut_off();
        if confirmed || cut_off || self.has_waited(UNCONFIRMED_LIMIT) {
            self.context.set_usable();
            self.state().set_state(EntryState::Serving);
            self.publish(true);
            log::info!(confirmed, cut_off; "entry takes callers");
        }
    }

    /// Whether the entry has had a document, and heard no majority of control, for [`CUT_OFF_DELAY`].
    fn is_cut_off(&self) -> bool {
        let now = Instant::now();
        let hears = self.state().hears_majority(CONTROL_SILENCE, now);
        let mut since = self.cut_off_since.lock().unwrap_or_else(PoisonError::into_inner);
        *since = (!hears).then(|| since.unwrap_or(now));
        since.is_some_and(|at| now > at + CUT_OFF_DELAY) && self.has_waited(CUT_OFF_DELAY)
    }

    /// Whether the first document came longer than `delay` ago.
    fn has_waited(&self, delay: Duration) -> bool {
        let first = *self.first_document.lock().unwrap_or_else(PoisonError::into_inner);
        first.is_some_and(|at| at.elapsed() > delay)
    }

    /// Publishes the load of the fleet, and its view if that changed, to the requests of this entry.
    fn publish(&self, view_changed: bool) {
        let mut state = self.state();
        if view_changed {
            let routes = self.context.routes.load();
            let view = state.build_view(routes.engine_pools(), self.context.node.least_owners);
            for (pool, upstreams) in &view.pools {
                self.context.metrics.set_upstreams(pool, upstreams.len());
            }
            if !view.weights.are_equal() {
                self.context.measure_load();
            }
            self.context.chooser().apply_view(&view, Instant::now());
            self.context.grants.set_view(&view, state.own());
            self.context.view.store(Arc::new(view));
        }
        self.context.load.store(Arc::new(state.build_load(Instant::now())));
    }

    /// Logs that the lease of the document ended or is valid again, and publishes its age.
    fn watch_lease(&self) {
        if self.context.node.revocation_ms.is_none() {
            return;
        }
        let age = self.context.lease_age();
        let age_ms = age.map(|age| age.as_millis() as u64);
        if let Some(age) = age {
            self.context.metrics.set_lease_age(age);
        }
        let valid = self.context.has_lease();
        let document = self.context.routes.load().document().number;
        if self.leased.swap(valid, Ordering::Relaxed) != valid {
            match valid {
                true => log::info!(document, age_ms; "lease of the document is valid"),
                false => log::warn!(document, age_ms; "lease of the document ended"),
            }
        }
    }

    /// Follows control and does the periodic upkeep until the task is aborted.
    async fn run(self: &Arc<Self>, clients: Arc<PeerClients>) {
        let mut tasks = PollTasks::default();
        loop {
            let (addresses, known, changed) = {
                let mut state = self.state();
                let now = Instant::now();
                let changed = state.expire(now);
                let addresses = state.select_controls(!self.context.is_usable(), now);
                (addresses, state.controls().collect(), changed)
            };
            self.context.quotas.set_controls(&known);
            self.context.origins.set_controls(addresses.clone(), known);
            tasks.set(addresses, self, &clients);
            self.publish(changed);
            self.update_readiness(false);
            self.watch_lease();
            self.context.connections.close_expired();
            self.context.expire_grants();
            self.context.update_reach();
            self.context.crashes.expire();
            self.context.metrics.set_behind(self.context.lag.behind());
            self.context.metrics.set_held_bodies(self.context.memory.held_body_kib());
            for (upstream, speed) in &self.context.view.load().speeds {
                self.context.metrics.set_speed(upstream, *speed);
            }
            self.context.metrics.set_quarantined(self.context.crashes.list().len());
            sleep(UPKEEP_PERIOD).await;
        }
    }
}

impl FleetSubscriber for ViewUpdater {
    fn next_query(&self, address: SocketAddr) -> FleetQuery {
        let current = self.context.routes.load().document().number;
        let mut state = self.state();
        let (change, suspects) = self.context.crashes.list_observed(state.reported(address));
        let (suspects_until_whole, suspects) =
            suspects.into_iter().partition(|record| record.until_whole);
        state.begin_report(address, change);
        let fetches = state.begin_fetch(address, current, Instant::now());
        let near = state.is_local(address);
        let mut own = state.own().clone();
        let wait_ms = if near { SAME_REGION_WAIT_MS } else { OTHER_REGION_WAIT_MS };
        own.in_flight = self.context.in_flight.load(Ordering::Relaxed);
        FleetQuery {
            cursor: state.cursor(address),
            document: if fetches {
                current
            } else {
                current.max(state.advertised_document(address))
            },
            number_only: !fetches,
            evacuated: state.evacuated().version,
            wait_ms: self.context.limit_poll_wait(wait_ms),
            confirm: !self.context.is_usable(),
            work: if near { self.context.work() } else { Vec::new() },
            demand: if near { self.context.demand() } else { Vec::new() },
            departed: if near { self.context.departed() } else { Vec::new() },
            conditions: if near { self.context.unreported_conditions() } else { Vec::new() },
            unreached: self.context.unreached(),
            capacity: self.context.capacity(),
            speeds: if near { self.context.speeds() } else { Vec::new() },
            suspects,
            suspects_until_whole,
            asks_history: false,
            reader: FleetReader::Entry(own),
        }
    }

    fn accept_update(&self, address: SocketAddr, mut update: FleetUpdate, asked_at: BootInstant) {
        let (confirmed, newest) = (update.confirmed, update.document_number);
        let replaced = self.apply_document(address, &mut update);
        self.context.note_newest_document(newest);
        if let Some(read) = &update.confirmed_read {
            self.context.renew_lease(read, asked_at);
        }
        let mut suspects = std::mem::take(&mut update.suspects);
        suspects.append(&mut update.suspects_until_whole);
        self.context.crashes.merge(suspects);
        self.context.origins.store().note_process(address, update.cursor.process);
        let current = self.context.routes.load().document().number;
        let changed = replaced | self.state().apply_update(address, update, Instant::now());
        self.publish(changed);
        self.update_readiness(confirmed && current > 0 && current >= newest);
    }

    fn report_error(&self, address: SocketAddr, error: &PeerError) {
        self.state().end_fetch(address);
        log::warn!(control = address.to_string(); "control instance does not answer: {error}");
    }
}

/// A running entry.
#[derive(Debug)]
pub struct EntryServer {
    context: Arc<EntryContext>,
    updater: Arc<ViewUpdater>,
    close: watch::Sender<bool>,
    close_ready: watch::Sender<bool>,
    callers: JoinHandle<()>,
    hops: JoinHandle<()>,
    tasks: JoinSet<()>,
}

impl EntryServer {
    /// Starts an entry with `dialect` for callers and upstreams and `directory` for listings of
    /// entries. Requests run on the current runtime, updates of the view on `control`.
    ///
    /// Fails if a required setting is missing or a listener can't be bound.
    pub async fn start(
        node: GatewaySettings,
        dialect: Arc<dyn CallDialect>,
        directory: Arc<dyn ControlDialect>,
        control: &Handle,
    ) -> io::Result<Self> {
        let node = Arc::new(node);
        let caller_address = node.caller_listen.ok_or_else(|| missing_setting("caller_listen"))?;
        let ready_path = dialect.ready_path();
        let context = Arc::new(EntryContext::new(Arc::clone(&node), dialect));
        let own = EntryRecord {
            instance: node.instance.clone(),
            incarnation: Incarnation(unix_ms()),
            region: node.region.clone(),
            zone: node.zone.clone(),
            caller_address: Some(caller_address),
            peer_address: node.peer_address(),
            grant_address: node.grant_listen,
            state: EntryState::Starting,
            in_flight: 0,
        };
        let updater = Arc::new(ViewUpdater {
            context: Arc::clone(&context),
            state: Mutex::new(ViewMerger::new(own, &node.seeds, Instant::now())),
            first_document: Mutex::new(None),
            cut_off_since: Mutex::new(None),
            leased: AtomicBool::new(false),
        });
        let (close, closed) = watch::channel(false);
        let (close_ready, ready_closed) = watch::channel(false);
        let mut tasks = JoinSet::new();
        let listener = http::bind(caller_address).await?;
        let shared = Arc::clone(&context);
        let handler = move |_, request| answer_caller(Arc::clone(&shared), request);
        let limits = caller_limits(&node);
        let callers = tokio::spawn(http::serve(listener, limits, closed.clone(), handler));
        let listener = http::bind(node.peer_listen).await?;
        let shared = Arc::clone(&context);
        let handler = move |_, request| answer_hop(Arc::clone(&shared), request);
        let limits = ListenerLimits {
            connections: MAX_HOP_CONNECTIONS,
            detect_dead_peers: true,
            ..caller_limits(&node)
        };
        let hops = tokio::spawn(http::serve(listener, limits, closed, handler));
        if let Some(address) = node.ready_listen {
            let listener = http::bind(address).await?;
            let shared = Arc::clone(&context);
            let handler = move |_, request| answer_ready(Arc::clone(&shared), ready_path, request);
            let limits = ListenerLimits::default();
            tasks.spawn(http::serve(listener, limits, ready_closed.clone(), handler));
        }
        if let Some(address) = node.directory_listen {
            let listener = http::bind(address).await?;
            let shared = Arc::clone(&context);
            let handler = move |peer: SocketAddr, request: Request<Incoming>| {
                let answer =
                    answer_directory(&shared, &*directory, peer, request.method(), request.uri());
                ready(answer)
            };
            let limits = ListenerLimits::default();
            tasks.spawn(http::serve(listener, limits, ready_closed.clone(), handler));
        }
        if let Some(address) = node.grant_listen {
            let listener = http::bind(address).await?;
            let service: Arc<dyn GrantService> = Arc::<EntryContext>::clone(&context);
            tasks.spawn(serve_grants(listener, service));
            let shared = Arc::clone(&context);
            tasks.spawn(async move { shared.report_to_owners().await });
        }
        let listener = http::bind(node.status_listen).await?;
        let shared = Arc::clone(&context);
        let handler = move |_, request| answer_status(Arc::clone(&shared), request);
        tasks.spawn(http::serve(listener, ListenerLimits::default(), ready_closed, handler));
        let shared = Arc::clone(&context);
        tasks.spawn(async move {
            shared.wait_measured_load().await;
            shared.lag.run().await;
        });
        let runner = Arc::clone(&updater);
        let clients = Arc::new(PeerClients::new(Some(node.peer_listen.ip())));
        tasks.spawn_on(async move { runner.run(clients).await }, control);
        let shared = Arc::clone(&context);
        tasks.spawn_on(async move { shared.origins.send().await }, control);
        let quotas = Arc::clone(&context.quotas);
        tasks.spawn_on(async move { quotas.borrow_shares().await }, control);
        log::info!(seeds = node.seeds.len(); "entry started");
        Ok(Self { context, updater, close, close_ready, callers, hops, tasks })
    }

    /// The state that its requests share.
    pub fn context(&self) -> &Arc<EntryContext> {
        &self.context
    }

    /// Replaces the control addresses of the settings, after a reload.
    pub fn set_seeds(&self, seeds: &[SocketAddr]) {
        log::info!(seeds = seeds.len(); "settings reloaded");
        self.updater.state().set_seeds(seeds, Instant::now());
    }

    /// Stops gracefully: accepts connections a little longer, then finishes the requests in flight
    /// until the stop's time limit. Requests that can't end by then are refused or given up.
    pub async fn stop(mut self) {
        let deadline = Instant::now() + self.context.node.stop_bound() - STOP_MARGIN;
        let in_flight = self.context.in_flight.load(Ordering::Relaxed);
        log::info!(in_flight; "entry stopping");
        self.context.set_draining(deadline - STOP_ANSWER_MARGIN);
        self.updater.state().set_state(EntryState::Draining);
        self.updater.publish(true);
        sleep(STOP_ACCEPT_TIME).await;
        self.close.send_replace(true);
        let ended = async {
            for served in [&mut self.callers, &mut self.hops] {
                if let Err(error) = served.await {
                    log::warn!("listener ended: {error}");
                }
            }
        };
        tokio::select! {
            () = ended => {}
            () = sleep_until(deadline) => {}
        }
        let cut_off = self.context.in_flight.load(Ordering::Relaxed);
        self.close_ready.send_replace(true);
        self.tasks.abort_all();
        log::info!(cut_off; "entry stopped");
    }
}

fn missing_setting(setting: &str) -> io::Error {
    io::Error::other(format!("setting {setting} is required for an entry"))
}

fn caller_limits(node: &GatewaySettings) -> ListenerLimits {
    let CallerBounds { header_bytes, idle_ms, .. } = node.limits;
    ListenerLimits {
        connections: node.connections,
        header_bytes,
        header_timeout: Duration::from_millis(idle_ms),
        detect_dead_peers: false,
        idle_grace: STOP_IDLE_GRACE,
    }
}

async fn answer_caller(
    context: Arc<EntryContext>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let mut answer = match route_caller(&context, request).await {
        Ok((call, document)) => match context.quotas.admit(&call, &context.metrics).await {
            Ok(ticket) => answer_call(Arc::clone(&context), call, document, ticket).await,
            Err(refusal) => {
                log::info!(code:serde = refusal.code; "request refused: {}", refusal.message);
                refuse(&refusal)
            }
        },
        Err(refusal) => {
            if refusal.code != RefusalCode::UnknownKey || KEY_LINES.take() {
                log::info!(code:serde = refusal.code; "request refused: {}", refusal.message);
            }
            refuse(&refusal)
        }
    };
    if context.is_draining() {
        answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    answer
}

/// Reads a caller's request and finds its route. Also returns the number of the document.
async fn route_caller(
    context: &EntryContext,
    request: Request<Incoming>,
) -> Result<(RoutedCall, u64), Refusal> {
    let received_at = Instant::now();
    let (head, body) = request.into_parts();
    let call_head = read_call(context, &head)?;
    if !context.is_usable() && !context.wait_usable(call_head.remaining).await {
        return Err(context.refuse_unready());
    }
    let mut routes = context.routes.load_full();
    let (mut route, mut key) = find_route(context, &routes, &head)?;
    let remaining = call_head.remaining.map(|left| left.saturating_sub(DEADLINE_MARGIN));
    let limit = route.time_limit();
    let allowed = remaining.map_or(limit, |remaining| remaining.min(limit));
    let body = read_call_body(context, body, routes.document().limits.body_bytes, allowed).await?;
    // What the request needs now was decided while it was read, perhaps before a suspension.
    let leased = context.has_lease();
    let newest = context.routes.load_full();
    if !Arc::ptr_eq(&newest, &routes) && newest.has_workspaces() {
        routes = newest;
        (route, key) = find_route(context, &routes, &head)?;
    }
    if let Some(key) = key.as_ref().filter(|_| !leased && !route.public) {
        return Err(refuse_unconfirmed(context, Some(&key.workspace.name)));
    }
    let document = routes.document();
    let attempt = call_head.attempt.clone().unwrap_or_else(|| generate_attempt(context));
    let number = hash_pair(attempt.as_str(), document.number);
    let origin = find_origin(context, &route, &call_head, allowed).await;
    let pool = origin.choose_pool(&route, number).cloned().ok_or_else(|| {
        let message = format!("route {} has no pool", route.name);
        Refusal::not_run(RefusalCode::NoUpstream, message)
    })?;
    let Parts { method, uri, mut headers, .. } = head;
    strip_connection_headers(&mut headers);
    if routes.has_workspaces() {
        headers.remove(AUTHORIZATION);
    }
    let call = RoutedCall {
        method,
        target: uri,
        headers,
        body,
        head: call_head,
        attempt,
        pool,
        origin,
        received_at,
        deadline: received_at + allowed,
        hopped: false,
        earlier_attempts: 0,
        route,
        key: key.as_ref().map(|key| CallKey { digest: key.digest, document: document.number }),
        workspace: key.map(|key| key.workspace),
    };
    Ok((call, document.number))
}

/// The route of a request, and the key by which a workspace may use it.
fn find_route(
    context: &EntryContext,
    routes: &RouteTable,
    head: &Parts,
) -> Result<(Arc<RouteRule>, Option<HeldKey>), Refusal> {
    let host = head.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = host.or(head.uri.host()).unwrap_or_default();
    let path = head.uri.path();
    let route = routes.find(host, path).ok_or_else(|| {
        let number = routes.document().number;
        let message = format!("document {number} has no route for {host}{path}");
        Refusal::not_run(RefusalCode::NotFound, message)
    })?;
    let key = admit_key(context, routes, route, &head.headers)?;
    Ok((Arc::clone(route), key))
}

/// Finds where the stream began that a caller resumes, within a part of the time `allowed`.
async fn find_origin(
    context: &EntryContext,
    route: &RouteRule,
    head: &CallHead,
    allowed: Duration,
) -> RequiredOrigin {
    if route.repeat != RepeatRule::ResumableStream || head.resume_after.is_none() {
        return RequiredOrigin::Any;
    }
    let Some(began) = &head.resumes else { return RequiredOrigin::Unknown };
    let pools: Vec<_> = route.pools.iter().map(|share| share.pool.clone()).collect();
    let found = timeout(allowed / ORIGIN_WAIT_DIVISOR, context.find_origin(began, &pools)).await;
    found.ok().flatten().map_or(RequiredOrigin::Unknown, RequiredOrigin::At)
}

fn read_call(context: &EntryContext, head: &Parts) -> Result<CallHead, Refusal> {
    let read = context.dialect.read_call(&head.headers).map(CallHead::clamped);
    read.map_err(|fault| {
        let message = format!("header {} must hold {}", fault.header, fault.allowed);
        Refusal::not_run(RefusalCode::BadRequest, message)
    })
}

/// Reads a body of at most `limit` bytes within `allowed`, but no longer than [`BODY_TIMEOUT`].
async fn read_call_body(
    context: &EntryContext,
    body: Incoming,
    limit: usize,
    allowed: Duration,
) -> Result<Bytes, Refusal> {
    let read = context.memory.read_body(body, limit, allowed.min(BODY_TIMEOUT)).await;
    read.map_err(|error| match error {
        HeldBodyError::NoRoom => {
            context.metrics.count_refused_body();
            let text = "the bodies of other requests take the memory of this entry";
            Refusal::not_run(RefusalCode::Overloaded, text).retry_after(NO_ROOM_RETRY_AFTER)
        }
        HeldBodyError::TooLarge => {
            Refusal::not_run(RefusalCode::TooLarge, format!("body exceeds {limit} bytes"))
        }
        HeldBodyError::TooSlow => {
            Refusal::not_run(RefusalCode::TooSlow, "body was not sent in time")
        }
        HeldBodyError::Broken => Refusal::not_run(RefusalCode::BadRequest, "body was cut off"),
    })
}

fn generate_attempt(context: &EntryContext) -> AttemptId {
    AttemptId::new(format!("{}-{:016x}", context.node.instance, rand::random::<u64>()))
}

/// Answers a request that another entry forwarded.
async fn answer_hop(
    context: Arc<EntryContext>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    match route_hop(&context, request).await {
        Ok((call, document)) => answer_call(context, call, document, None).await,
        Err(refusal) => {
            log::info!(code:serde = refusal.code; "hop refused: {}", refusal.message);
            refuse(&refusal)
        }
    }
}

async fn route_hop(
    context: &EntryContext,
    request: Request<Incoming>,
) -> Result<(RoutedCall, u64), Refusal> {
    let received_at = Instant::now();
    let (mut head, body) = request.into_parts();
    if !context.is_usable() {
        return Err(context.refuse_unready());
    }
    let metadata = HopMetadata::take(&mut head.headers).ok_or_else(|| {
        Refusal::not_run(RefusalCode::BadRequest, "the request carries no valid hop order")
    })?;
    let call_head = metadata.merge_head(read_call(context, &head)?);
    let origin = metadata.origin(&call_head);
    let limit = context.routes.load().document().limits.body_bytes;
    let body = read_call_body(context, body, limit, metadata.remaining()).await?;
    let leased = context.has_lease();
    let routes = context.routes.load_full();
    let workspace = admit_hop(context, &routes, &metadata, leased)?;
    let document = routes.document();
    let Parts { method, uri, mut headers, .. } = head;
    strip_connection_headers(&mut headers);
    if routes.has_workspaces() || metadata.workspace.is_some() {
        headers.remove(AUTHORIZATION);
    }
    let call = RoutedCall {
        method,
        target: uri,
        headers,
        body,
        head: call_head,
        attempt: metadata.attempt.clone(),
        pool: metadata.pool.clone(),
        origin,
        received_at,
        deadline: received_at + metadata.remaining(),
        hopped: true,
        earlier_attempts: metadata.earlier,
        route: Arc::new(metadata.to_route()),
        key: metadata.key(),
        workspace,
    };
    Ok((call, document.number))
}

async fn answer_ready(
    context: Arc<EntryContext>,
    ready_path: &'static str,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    match (request.uri().path() == ready_path, context.is_ready()) {
        (false, _) => text_answer(StatusCode::NOT_FOUND, "no such path\n"),
        (true, true) => text_answer(StatusCode::OK, "ready\n"),
        (true, false) => text_answer(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
    }
}

async fn answer_status(
    context: Arc<EntryContext>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let path = request.uri().path();
    match (request.method(), path) {
        (_, "/healthz") => text_answer(StatusCode::OK, "ok\n"),
        (_, "/metrics") => text_answer(StatusCode::OK, context.metrics.render()),
        (_, "/v1/status") => json_answer(StatusCode::OK, &describe_entry(&context)),
        (&Method::POST, FORECAST_PATH) => answer_forecast(&context, request.into_body()).await,
        (&Method::GET, QUARANTINE_PATH) => json_answer(StatusCode::OK, &context.crashes.list()),
        (&Method::DELETE, _) if path.starts_with(QUARANTINE_PATH) => {
            release_trait(&context, &path[QUARANTINE_PATH.len()..])
        }
        _ => text_answer(StatusCode::NOT_FOUND, "no such path\n"),
    }
}

/// Tells where the request that `body` describes would go.
async fn answer_forecast(context: &EntryContext, body: Incoming) -> Response<AnswerBody> {
    let refuse = |field: &str, message: String| {
        json_answer(StatusCode::BAD_REQUEST, &json!({ "field": field, "message": message }))
    };
    let Ok(body) = read_body(body, MAX_QUERY_BYTES, BODY_TIMEOUT).await else {
        return refuse("", format!("a query of at most {MAX_QUERY_BYTES} bytes is needed"));
    };
    let query: ForecastQuery = match serde_json::from_slice(&body) {
        Ok(query) => query,
        Err(error) => return refuse("", error.to_string()),
    };
    match context.forecast(&query) {
        Ok(forecast) => json_answer(StatusCode::OK, &forecast),
        Err(QueryFault { field, message }) => refuse(field, message),
    }
}

/// Ends the quarantine of the trait whose fingerprint follows the slash in `path`.
fn release_trait(context: &EntryContext, path: &str) -> Response<AnswerBody> {
    let Some(fingerprint) = path.strip_prefix('/').and_then(|text| text.parse().ok()) else {
        return text_answer(StatusCode::BAD_REQUEST, "not a fingerprint\n");
    };
    match context.crashes.release(fingerprint) {
        true => text_answer(StatusCode::OK, "released\n"),
        false => text_answer(StatusCode::NOT_FOUND, "no such suspect\n"),
    }
}

fn describe_entry(context: &EntryContext) -> serde_json::Value {
    let view = context.view.load();
    let routes = context.routes.load();
    let upstreams = view.pools.values().flatten().map(|known| &*known.upstream);
    json!({
        "instance": context.node.instance,
        "region": context.node.region,
        "zone": context.node.zone,
        "ready": context.is_ready(),
        "document": routes.document().number,
        "workspaces": routes.document().workspaces.len(),
        "lease_age_ms": context.lease_age().map(|age| age.as_millis() as u64),
        "quarantined": context.crashes.list(),
        "in_flight": context.in_flight.load(Ordering::Relaxed),
        "upstreams": upstreams.collect::<Vec<_>>(),
        "entries": view.entries,
        "fleet_entries": view.fleet_entries,
        "owners": view.owners.names(),
        "quotas": context.quotas.list(),
        "capacity": context.capacity(),
        "weight": view.weights.weight(&context.node.instance),
        "speeds": view.speeds,
        "work": context.work(),
        "held_body_kib": context.memory.held_body_kib(),
    })
}

/// Waits for at most `bound` until the entry accepts callers. Returns whether it does.
pub async fn wait_ready(server: &EntryServer, bound: Duration) -> bool {
    let ready = async {
        while !server.context.is_ready() {
            sleep(UPKEEP_PERIOD / 10).await;
        }
    };
    timeout(bound, ready).await.is_ok()
}
