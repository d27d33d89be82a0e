//! An entry of the pass-through gateway: its listeners, its view of the fleet, its start and stop.

use crate::{
    answer::{Refusal, RefusalCode},
    clock::unix_ms,
    gateway::{
        call::{CallHead, RoutedCall},
        context::EntryContext,
        control_call::{CallFault, ControlCall, ControlDialect, ControlReply},
        dialect::CallDialect,
        engine_grants::GrantService,
        follow::{FollowTasks, NewsFollower},
        headers::{refuse, strip_connection_headers},
        hop::HopOrder,
        listing::list_near,
        news::{FleetNews, NewsQuery, NewsReader},
        relay::answer_call,
        routes::{CallerBounds, RouteTable},
        settings::GatewayNode,
        view::ViewState,
        warmup::hash_pair,
    },
    http::{self, AnswerBody, BodyError, ListenerLimits, json_answer, read_body, text_answer},
    instance::serve_grants,
    name::AttemptId,
    peer::{PeerClients, PeerError},
    table::{EntryRecord, EntryState, Incarnation},
};
use bytes::Bytes;
use hyper::{
    Method, Request, Response, StatusCode, Uri,
    body::Incoming,
    header::{CONNECTION, HOST, HeaderValue},
    http::request::Parts,
};
use serde_json::json;
use std::{
    future::ready,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError, atomic::Ordering},
    time::Duration,
};
use tokio::{
    runtime::Handle,
    sync::watch,
    task::{JoinHandle, JoinSet},
    time::{Instant, sleep, sleep_until, timeout},
};

/// Longest wait for news of control in the entry's region, whose answers also tell others' work.
const NEAR_WAIT_MS: u32 = 400;

/// Longest wait for news of control elsewhere.
const FAR_WAIT_MS: u32 = 1_000;

/// Time after the first document that control could not confirm at which it is taken all the same,
/// so that a region that is cut off goes on answering.
const UNCONFIRMED_AFTER: Duration = Duration::from_secs(6);

/// Time between two looks at what has expired.
const LOOK_PERIOD: Duration = Duration::from_millis(250);

/// Time for which a stopping entry takes new connections; callers use a listing longer than its
/// lifetime.
const STOP_ACCEPT: Duration = Duration::from_millis(2_000);

/// Time for which kept connections take one more request after that; the longest delay of a request
/// on a full link.
const STOP_IDLE: Duration = Duration::from_millis(800);

/// Time kept for the end of the process within a stop.
const STOP_MARGIN: Duration = Duration::from_millis(500);

/// Time before a caller's own deadline at which its request is answered.
const DEADLINE_MARGIN: Duration = Duration::from_millis(15);

/// Longest time to read a body where the request names none.
const BODY_BOUND: Duration = Duration::from_secs(10);

/// Connections over those of callers that the listener takes.
const HOP_CONNECTIONS: usize = 1_024;

/// Follows control and keeps the entry's view.
#[derive(Debug)]
struct ViewKeeper {
    context: Arc<EntryContext>,
    state: Mutex<ViewState>,
    first_document: Mutex<Option<Instant>>,
}

impl ViewKeeper {
    fn state(&self) -> MutexGuard<'_, ViewState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Puts the document of `news` in force unless a newer one is; returns whether it did.
    fn take_document(&self, news: &mut FleetNews) -> bool {
        let held = self.context.routes.load().document().number;
        let Some(document) = news.document.take().filter(|document| document.number > held) else {
            return false;
        };
        log::info!(
            document = document.number, previous = held, routes = document.routes.len(),
            confirmed = news.confirmed;
            "document in force"
        );
        self.context.metrics.note_document(document.number);
        self.context.routes.store(Arc::new(RouteTable::new(document)));
        let mut first = self.first_document.lock().unwrap_or_else(PoisonError::into_inner);
        first.get_or_insert(Instant::now());
        true
    }

    fn judge_usable(&self, confirmed: bool) {
        if self.context.is_usable() {
            return;
        }
        let first = *self.first_document.lock().unwrap_or_else(PoisonError::into_inner);
        let waited = first.is_some_and(|at| at.elapsed() > UNCONFIRMED_AFTER);
        if confirmed || waited {
            self.context.set_usable();
            self.state().set_state(EntryState::Serving);
            self.publish(true);
            log::info!(confirmed; "entry takes callers");
        }
    }

    fn publish(&self, view_changed: bool) {
        let mut state = self.state();
        if view_changed {
            let routes = self.context.routes.load();
            let view = state.make_view(routes.engine_pools(), self.context.node.least_owners);
            for (pool, upstreams) in &view.pools {
                self.context.metrics.note_upstreams(pool, upstreams.len());
            }
            self.context.chooser().forget(&view, Instant::now());
            self.context.grants.set_view(&view, state.own());
            self.context.view.store(Arc::new(view));
        }
        self.context.load.store(Arc::new(state.make_load(Instant::now())));
    }

    /// Looks after the view until its task is dropped.
    async fn run(self: &Arc<Self>, clients: Arc<PeerClients>) {
        let mut tasks = FollowTasks::default();
        loop {
            let (addresses, changed) = {
                let mut state = self.state();
                let now = Instant::now();
                let changed = state.expire(now);
                (state.follow(!self.context.is_usable(), now), changed)
            };
            tasks.set(addresses, self, &clients);
            self.publish(changed);
            self.judge_usable(false);
            self.context.connections.sweep();
            self.context.expire_grants();
            sleep(LOOK_PERIOD).await;
        }
    }
}

impl NewsFollower for ViewKeeper {
    fn ask(&self, address: SocketAddr) -> NewsQuery {
        let held = self.context.routes.load().document().number;
        let mut state = self.state();
        let fetches = state.begin_fetch(address, held, Instant::now());
        let near = state.is_near(address);
        let mut own = state.own().clone();
        own.in_flight = self.context.in_flight.load(Ordering::Relaxed);
        NewsQuery {
            cursor: state.cursor(address),
            document: if fetches { held } else { held.max(state.offered(address)) },
            number_only: !fetches,
            evacuated: state.evacuated().version,
            wait_ms: if near { NEAR_WAIT_MS } else { FAR_WAIT_MS },
            confirm: !self.context.is_usable(),
            work: if near { self.context.work() } else { Vec::new() },
            demand: if near { self.context.demand() } else { Vec::new() },
            departed: if near { self.context.departed() } else { Vec::new() },
            reader: NewsReader::Entry(own),
        }
    }

    fn take(&self, address: SocketAddr, mut news: FleetNews) {
        let (confirmed, newest) = (news.confirmed, news.document_number);
        let replaced = self.take_document(&mut news);
        let held = self.context.routes.load().document().number;
        let changed = replaced | self.state().accept(address, news, Instant::now());
        self.publish(changed);
        self.judge_usable(confirmed && held > 0 && held >= newest);
    }

    fn lose(&self, address: SocketAddr, error: &PeerError) {
        self.state().end_fetch(address);
        log::warn!(control = address.to_string(); "control instance does not answer: {error}");
    }
}

/// A running entry.
#[derive(Debug)]
pub struct EntryServer {
    context: Arc<EntryContext>,
    keeper: Arc<ViewKeeper>,
    close: watch::Sender<bool>,
    close_ready: watch::Sender<bool>,
    callers: JoinHandle<()>,
    hops: JoinHandle<()>,
    tasks: JoinSet<()>,
}

impl EntryServer {
    /// Starts an entry whose callers and upstreams speak `dialect`, and where they ask for entries
    /// `directory`: traffic on the current runtime, the view of the fleet on `control`.
    pub async fn start(
        node: GatewayNode,
        dialect: Arc<dyn CallDialect>,
        directory: Arc<dyn ControlDialect>,
        control: &Handle,
    ) -> io::Result<Self> {
        let node = Arc::new(node);
        let caller_address = node.caller_listen.ok_or_else(|| missing("caller_listen"))?;
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
        let keeper = Arc::new(ViewKeeper {
            context: Arc::clone(&context),
            state: Mutex::new(ViewState::new(own, &node.seeds, Instant::now())),
            first_document: Mutex::new(None),
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
        let limits =
            ListenerLimits { connections: HOP_CONNECTIONS, guarded: true, ..caller_limits(&node) };
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
            let handler = move |_, request: Request<Incoming>| {
                let answer =
                    answer_directory(&shared, &*directory, request.method(), request.uri());
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
        let runner = Arc::clone(&keeper);
        let clients = Arc::new(PeerClients::new(Some(node.peer_listen.ip())));
        tasks.spawn_on(async move { runner.run(clients).await }, control);
        log::info!(seeds = node.seeds.len(); "entry started");
        Ok(Self { context, keeper, close, close_ready, callers, hops, tasks })
    }

    /// Replaces the addresses of control instances from the settings.
    pub fn set_seeds(&self, seeds: &[SocketAddr]) {
        log::info!(seeds = seeds.len(); "settings reloaded");
        self.keeper.state().set_seeds(seeds, Instant::now());
    }

    /// Takes no new callers, finishes what is in flight, and ends.
    pub async fn stop(mut self) {
        let deadline = Instant::now() + self.context.node.stop_bound() - STOP_MARGIN;
        let in_flight = self.context.in_flight.load(Ordering::Relaxed);
        log::info!(in_flight; "entry stopping");
        self.context.set_draining();
        self.keeper.state().set_state(EntryState::Draining);
        self.keeper.publish(true);
        sleep(STOP_ACCEPT).await;
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

fn missing(setting: &str) -> io::Error {
    io::Error::other(format!("setting {setting} is required for an entry"))
}

fn caller_limits(node: &GatewayNode) -> ListenerLimits {
    let CallerBounds { header_bytes, idle_ms, .. } = node.limits;
    ListenerLimits {
        connections: node.connections,
        header_bytes,
        header_timeout: Duration::from_millis(idle_ms),
        guarded: false,
        idle_grace: STOP_IDLE,
    }
}

async fn answer_caller(
    context: Arc<EntryContext>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let mut answer = match route_caller(&context, request).await {
        Ok((call, document)) => answer_call(Arc::clone(&context), call, document).await,
        Err(refusal) => {
            log::info!(code:serde = refusal.code; "request refused: {}", refusal.message);
            refuse(&refusal)
        }
    };
    if context.is_draining() {
        answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    answer
}

/// Reads a caller's request and finds its route.
async fn route_caller(
    context: &EntryContext,
    request: Request<Incoming>,
) -> Result<(RoutedCall, u64), Refusal> {
    let arrived = Instant::now();
    let (head, body) = request.into_parts();
    let read = read_call(context, &head)?;
    if !context.is_usable() && !context.wait_usable(read.remaining).await {
        return Err(context.refuse_unready());
    }
    let routes = context.routes.load_full();
    let document = routes.document();
    let host = head.headers.get(HOST).and_then(|host| host.to_str().ok());
    let host = host.or(head.uri.host()).unwrap_or_default();
    let path = head.uri.path();
    let route = routes.find(host, path).ok_or_else(|| {
        let message = format!("document {} has no route for {host}{path}", document.number);
        Refusal::not_run(RefusalCode::NotFound, message)
    })?;
    let remaining = read.remaining.map(|left| left.saturating_sub(DEADLINE_MARGIN));
    let limit = route.time_limit();
    let allowed = remaining.map_or(limit, |remaining| remaining.min(limit));
    let body = take_body(body, document.limits.body_bytes, allowed).await?;
    let attempt = read.attempt.clone().unwrap_or_else(|| name_attempt(context));
    let number = hash_pair(attempt.as_str(), document.number);
    let pool = route.choose_pool(number).cloned().ok_or_else(|| {
        let message = format!("route {} has no pool", route.name);
        Refusal::not_run(RefusalCode::NoUpstream, message)
    })?;
    let Parts { method, uri, mut headers, .. } = head;
    strip_connection_headers(&mut headers);
    let call = RoutedCall {
        method,
        target: uri,
        headers,
        body,
        head: read,
        attempt,
        pool,
        arrived,
        deadline: arrived + allowed,
        hopped: false,
        earlier_attempts: 0,
        route: Arc::clone(route),
    };
    Ok((call, document.number))
}

fn read_call(context: &EntryContext, head: &Parts) -> Result<CallHead, Refusal> {
    let read = context.dialect.read_call(&head.headers).map(CallHead::bounded);
    read.map_err(|fault| {
        let message = format!("header {} must hold {}", fault.header, fault.allowed);
        Refusal::not_run(RefusalCode::BadRequest, message)
    })
}

/// Reads a body of at most `limit` bytes within `allowed`.
async fn take_body(body: Incoming, limit: usize, allowed: Duration) -> Result<Bytes, Refusal> {
    let read = read_body(body, limit, allowed.min(BODY_BOUND)).await;
    read.map_err(|error| match error {
        BodyError::TooLarge => {
            Refusal::not_run(RefusalCode::TooLarge, format!("body exceeds {limit} bytes"))
        }
        BodyError::TooSlow => Refusal::not_run(RefusalCode::TooSlow, "body was not sent in time"),
        BodyError::Broken => Refusal::not_run(RefusalCode::BadRequest, "body was cut off"),
    })
}

fn name_attempt(context: &EntryContext) -> AttemptId {
    AttemptId::new(format!("{}-{:016x}", context.node.instance, rand::random::<u64>()))
}

/// Answers a request that another entry passed on.
async fn answer_hop(
    context: Arc<EntryContext>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    match route_hop(&context, request).await {
        Ok((call, document)) => answer_call(context, call, document).await,
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
    let arrived = Instant::now();
    let (mut head, body) = request.into_parts();
    if !context.is_usable() {
        return Err(context.refuse_unready());
    }
    let order = HopOrder::take(&mut head.headers).ok_or_else(|| {
        Refusal::not_run(RefusalCode::BadRequest, "the request carries no valid hop order")
    })?;
    let read = order.complete_head(read_call(context, &head)?);
    let document = Arc::clone(context.routes.load().document());
    let body = take_body(body, document.limits.body_bytes, order.remaining()).await?;
    let Parts { method, uri, mut headers, .. } = head;
    strip_connection_headers(&mut headers);
    let call = RoutedCall {
        method,
        target: uri,
        headers,
        body,
        head: read,
        attempt: order.attempt.clone(),
        pool: order.pool.clone(),
        arrived,
        deadline: arrived + order.remaining(),
        hopped: true,
        earlier_attempts: order.earlier,
        route: Arc::new(order.make_route()),
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

fn answer_directory(
    context: &EntryContext,
    dialect: &dyn ControlDialect,
    method: &Method,
    target: &Uri,
) -> Response<AnswerBody> {
    let reply = match dialect.read_control(method, target, &Bytes::new()) {
        Ok(ControlCall::List(place)) => {
            let listed = list_near(&context.view.load().live, &place, &context.node.zones);
            ControlReply::Entries(listed, Duration::from_millis(context.node.listing_ms))
        }
        Ok(_) => ControlReply::Fault(CallFault::NotFound),
        Err(fault) => ControlReply::Fault(fault),
    };
    dialect.write_control(reply)
}

async fn answer_status(
    context: Arc<EntryContext>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    match request.uri().path() {
        "/healthz" => text_answer(StatusCode::OK, "ok\n"),
        "/metrics" => text_answer(StatusCode::OK, context.metrics.render()),
        "/v1/status" => json_answer(StatusCode::OK, &describe_entry(&context)),
        _ => text_answer(StatusCode::NOT_FOUND, "no such path\n"),
    }
}

fn describe_entry(context: &EntryContext) -> serde_json::Value {
    let view = context.view.load();
    let upstreams = view.pools.values().flatten().map(|known| &*known.upstream);
    json!({
        "instance": context.node.instance,
        "region": context.node.region,
        "zone": context.node.zone,
        "ready": context.is_ready(),
        "document": context.routes.load().document().number,
        "in_flight": context.in_flight.load(Ordering::Relaxed),
        "upstreams": upstreams.collect::<Vec<_>>(),
        "entries": view.entries,
        "fleet_entries": view.fleet_entries,
        "owners": view.owners.names(),
    })
}

/// Waits until the entry takes callers, or `bound` is over; returns whether it does.
pub async fn wait_ready(server: &EntryServer, bound: Duration) -> bool {
    let ready = async {
        while !server.context.is_ready() {
            sleep(LOOK_PERIOD / 10).await;
        }
    };
    timeout(bound, ready).await.is_ok()
}
