//! Entry instance: shared state, listeners, start and stop.

use crate::{
    claim::LedgerClient,
    group::GroupHost,
    group_operator::{GROUPS_PATH, answer_groups},
    http::{self, AnswerBody, HttpClient, ListenerLimits, json_answer, text_answer},
    instance::{CONTROL_TIMEOUT, InstanceAddresses, InstanceCore},
    ledger_host::LedgerHosting,
    limits::CallerLimiter,
    membership::MembershipMessage,
    name::{RequestId, UpstreamName},
    node::NodeSettings,
    peer::PeerClients,
    placement_host::start_lease,
    quarantine::SuspectRegistry,
    request_metrics::RequestMetrics,
    route::{RequestRouter, RouterLocation},
    serve::answer_request,
    settings_store::SettingsStore,
    stop::{DrainingInstance, StopState, StopSummary},
    table::{EntryState, RoutingTable},
};
use arc_swap::ArcSwap;
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use ractor::{ActorRef, RpcReplyPort, rpc::CallResult};
use serde_json::json;
use std::{
    fmt,
    future::pending,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};
use tokio::{
    runtime::Handle,
    sync::watch,
    task::{JoinHandle, JoinSet},
    time::Instant,
};

/// Path at which operators list suspected requests and release them from quarantine.
const QUARANTINE_PATH: &str = "/v1/quarantine";

/// Maximum number of idle connections in the pool per upstream.
const MAX_IDLE_CONNECTIONS: usize = 64;

/// Path prefix at which operators query and drain upstreams; the upstream's name follows.
pub const UPSTREAMS_PATH: &str = "/v1/upstreams/";

/// Path prefix at which operators query routing decisions; the request ID follows.
pub const EXPLAIN_PATH: &str = "/v1/explain/";

/// Shared state of one entry.
#[derive(Debug)]
pub struct EntryContext {
    node: Arc<NodeSettings>,
    settings: Arc<SettingsStore>,
    table: Arc<ArcSwap<RoutingTable>>,
    router: Mutex<RequestRouter>,
    metrics: RequestMetrics,
    membership: ActorRef<MembershipMessage>,
    ledger: LedgerClient,
    suspects: Arc<SuspectRegistry>,
    peers: Arc<PeerClients>,
    groups: GroupHost,
    in_flight: Arc<AtomicU32>,
    caller_limiter: Arc<CallerLimiter>,
    pooled: HttpClient,
    unpooled: HttpClient,
    unbound: HttpClient,
    stop: Arc<StopState>,
}

/// Counts one request as in flight until dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard(Arc<AtomicU32>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl EntryContext {
    pub(crate) fn node(&self) -> &NodeSettings {
        &self.node
    }

    pub(crate) fn settings(&self) -> &SettingsStore {
        &self.settings
    }

    pub(crate) fn stop(&self) -> &StopState {
        &self.stop
    }

    pub(crate) fn shared_table(&self) -> &ArcSwap<RoutingTable> {
        &self.table
    }

    /// Address of the serving entry of the zone with the fewest requests in flight.
    pub(crate) fn least_loaded_entry(&self) -> Option<SocketAddr> {
        let table = self.table();
        let serving = table.entries.values().filter(|entry| entry.state == EntryState::Serving);
        let listening = serving.filter_map(|entry| Some((entry.in_flight, entry.caller_address?)));
        listening.min_by_key(|(in_flight, _)| *in_flight).map(|(_, address)| address)
    }

    pub(crate) fn table(&self) -> Arc<RoutingTable> {
        self.table.load_full()
    }

    pub(crate) fn router(&self) -> MutexGuard<'_, RequestRouter> {
        self.router.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The ledger of this region.
    pub(crate) fn ledger(&self) -> &LedgerClient {
        &self.ledger
    }

    /// Requests suspected of crashing upstreams.
    pub(crate) fn suspects(&self) -> &Arc<SuspectRegistry> {
        &self.suspects
    }

    /// RPC clients of the traffic threads for other instances.
    pub(crate) fn peer_clients(&self) -> &Arc<PeerClients> {
        &self.peers
    }

    pub(crate) fn metrics(&self) -> &RequestMetrics {
        &self.metrics
    }

    /// The HTTP client for a request. A request that may not be repeated gets a new connection: on
    /// a pooled one that the upstream closes while idle, its outcome could become unknown.
    pub(crate) fn client(&self, repeatable: bool) -> &HttpClient {
        if repeatable { &self.pooled } else { &self.unpooled }
    }

    /// The client for calls to upstreams of this zone that may not be repeated.
    ///
    /// It does not bind a source address: with thousands of connections in TIME_WAIT, the system
    /// takes long to find a free port of a given address.
    pub(crate) fn unbound_client(&self) -> &HttpClient {
        &self.unbound
    }

    pub(crate) fn new_request_id(&self) -> RequestId {
        RequestId::new(format!("{}-{:016x}", self.node.instance, rand::random::<u64>()))
    }

    /// Limiter of concurrent requests per caller address.
    pub(crate) fn caller_limiter(&self) -> &Arc<CallerLimiter> {
        &self.caller_limiter
    }

    pub(crate) fn track_request(&self) -> InFlightGuard {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        InFlightGuard(Arc::clone(&self.in_flight))
    }

    /// Sends a message to the membership actor and waits for its reply; `None` if the actor has
    /// stopped or does not reply within [`CONTROL_TIMEOUT`].
    pub(crate) async fn ask_membership<T: Send + 'static>(
        &self,
        message: impl FnOnce(RpcReplyPort<T>) -> MembershipMessage,
    ) -> Option<T> {
        let asked = self.membership.call(message, Some(CONTROL_TIMEOUT)).await;
        match asked {
            Ok(CallResult::Success(reply)) => Some(reply),
            _ => None,
        }
    }
}

/// A running entry.
pub struct EntryServer {
    addresses: InstanceAddresses,
    context: Arc<EntryContext>,
    stop: watch::Sender<bool>,
    callers: JoinHandle<()>,
    control_tasks: JoinSet<()>,
}

impl fmt::Debug for EntryServer {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("EntryServer").field("addresses", &self.addresses).finish()
    }
}

impl EntryServer {
    /// Starts an entry that serves callers on the current runtime and runs control tasks on
    /// `control`.
    ///
    /// Fails if an address cannot be bound or a group replica cannot be started.
    pub async fn start(node: NodeSettings, control: &Handle) -> io::Result<Self> {
        let node = Arc::new(node);
        let caller_listener = http::bind(node.caller_listen).await?;
        let address = caller_listener.local_addr()?;
        let hosting = LedgerHosting::for_entry(&node);
        let core = InstanceCore::start(&node, Some(address), hosting, control).await?;
        let location = RouterLocation { region: node.region.clone(), zone: node.zone.clone() };
        let peers = Arc::new(PeerClients::new(node.source_ip()));
        let context = Arc::new(EntryContext {
            settings: Arc::clone(&core.settings),
            table: Arc::clone(&core.table),
            router: Mutex::new(RequestRouter::new(location)),
            metrics: RequestMetrics::new(),
            membership: core.membership.clone(),
            ledger: LedgerClient::new(node.ledger_hosts(), Arc::clone(&peers)),
            suspects: Arc::clone(&core.suspects),
            peers,
            groups: core.groups,
            in_flight: Arc::clone(&core.in_flight),
            caller_limiter: Arc::new(CallerLimiter::new(node.limits.streams_per_caller)),
            pooled: http::client_from(node.source_ip(), MAX_IDLE_CONNECTIONS),
            unpooled: http::client_from(node.source_ip(), 0),
            unbound: http::client(0),
            stop: Arc::new(StopState::default()),
            node: Arc::clone(&node),
        });
        let mut tasks = core.tasks;
        if node.placement && node.is_ledger_voter() {
            host_lease_replica(&mut tasks, control, &context.groups).await?;
        }
        let (stop, stopped) = watch::channel(false);
        let operators = Arc::clone(&context);
        let handler = move |_, request| answer_operator(Arc::clone(&operators), request);
        tasks.spawn_on(
            http::serve(core.operator, ListenerLimits::default(), stopped.clone(), handler),
            control,
        );
        let callers = Arc::clone(&context);
        let handler = move |peer, request| answer_request(Arc::clone(&callers), peer, request);
        let limits = ListenerLimits {
            connections: node.limits.connections,
            header_bytes: node.limits.header_bytes,
            header_timeout: Duration::from_millis(node.limits.send_ms),
            detect_dead_peers: false,
            idle_grace: Duration::ZERO,
        };
        let callers = tokio::spawn(http::serve(caller_listener, limits, stopped, handler));
        Ok(Self { addresses: core.addresses, context, stop, callers, control_tasks: tasks })
    }

    /// Addresses on which the entry listens.
    pub fn addresses(&self) -> InstanceAddresses {
        self.addresses
    }

    /// Waits until an operator requests a stop.
    pub async fn stop_requested(&self) {
        self.context.stop.requested().await;
    }

    /// Refuses new requests, waits for those in flight, and shuts down.
    pub async fn stop(self) -> StopSummary {
        self.drain().finish().await
    }

    /// Starts to refuse new requests; [`DrainingInstance::finish`] completes the stop.
    pub fn drain(self) -> DrainingInstance {
        let draining = DrainingInstance {
            state: Arc::clone(&self.context.stop),
            membership: self.context.membership.clone(),
            in_flight: Arc::clone(&self.context.in_flight),
            close: self.stop,
            callers: Some(self.callers),
            grace: self.context.node.stop_grace(),
            bound: self.context.node.stop_bound(),
            initial_in_flight: 0,
            tasks: self.control_tasks,
            groups: self.context.groups.clone(),
        };
        draining.begin()
    }
}

/// Hosts a replica of the region's placement lease; its group has the members of the ledger group.
async fn host_lease_replica(
    tasks: &mut JoinSet<()>,
    control: &Handle,
    groups: &GroupHost,
) -> io::Result<()> {
    let replica = start_lease(groups, control).await?;
    tasks.spawn_on(
        async move {
            let _replica = replica;
            pending::<()>().await;
        },
        control,
    );
    Ok(())
}

async fn answer_operator(
    context: Arc<EntryContext>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/healthz") => text_answer(StatusCode::OK, "ok\n"),
        (_, path) if path.starts_with(GROUPS_PATH) => {
            answer_groups(context.groups.registry(), &request).await
        }
        (&Method::GET, "/readyz") if context.settings.is_ready() => {
            text_answer(StatusCode::OK, "ready\n")
        }
        (&Method::GET, "/readyz") => {
            text_answer(StatusCode::SERVICE_UNAVAILABLE, "no settings yet\n")
        }
        (&Method::GET, "/metrics") => text_answer(StatusCode::OK, context.metrics.render()),
        (&Method::GET, QUARANTINE_PATH) => json_answer(StatusCode::OK, &context.suspects.list()),
        (&Method::DELETE, path) if path.starts_with(QUARANTINE_PATH) => {
            release_fingerprint(&context, path).await
        }
        (&Method::POST, "/v1/drain") => {
            context.stop.request();
            let in_flight = context.in_flight.load(Ordering::Relaxed);
            json_answer(StatusCode::ACCEPTED, &json!({ "in_flight": in_flight }))
        }
        (&Method::POST, path) if path.starts_with(UPSTREAMS_PATH) => {
            drain_upstream(&context, path).await
        }
        (&Method::GET, path) if path.starts_with(UPSTREAMS_PATH) => {
            explain_upstream(&context, &path[UPSTREAMS_PATH.len()..])
        }
        (&Method::GET, "/v1/status") => json_answer(StatusCode::OK, &describe_entry(&context)),
        (&Method::GET, path) if path.starts_with(EXPLAIN_PATH) => {
            explain_request(&context, &path[EXPLAIN_PATH.len()..])
        }
        _ => text_answer(StatusCode::NOT_FOUND, "no such path\n"),
    }
}

/// Drains the upstream that `path` names as `/v1/upstreams/NAME/drain`.
async fn drain_upstream(context: &EntryContext, path: &str) -> Response<AnswerBody> {
    let name = path.strip_prefix(UPSTREAMS_PATH).and_then(|rest| rest.strip_suffix("/drain"));
    let Some(name) = name else { return text_answer(StatusCode::NOT_FOUND, "no such path\n") };
    let name = UpstreamName::from(name);
    let asked = context.ask_membership(|reply| MembershipMessage::DrainUpstream(name, reply)).await;
    match asked {
        Some(true) => text_answer(StatusCode::ACCEPTED, "draining\n"),
        Some(false) => text_answer(StatusCode::NOT_FOUND, "no such upstream\n"),
        None => text_answer(StatusCode::SERVICE_UNAVAILABLE, "the instance is stopping\n"),
    }
}

/// Ends the quarantine of the fingerprint that `path` names.
async fn release_fingerprint(context: &EntryContext, path: &str) -> Response<AnswerBody> {
    let name = path.trim_start_matches(QUARANTINE_PATH).trim_start_matches('/');
    let Ok(fingerprint) = name.parse() else {
        return text_answer(StatusCode::BAD_REQUEST, "not a fingerprint\n");
    };
    match context.suspects.release(&context.peers, fingerprint).await {
        true => text_answer(StatusCode::OK, "released\n"),
        false => text_answer(StatusCode::NOT_FOUND, "not in quarantine\n"),
    }
}

fn explain_request(context: &EntryContext, request: &str) -> Response<AnswerBody> {
    let decisions = context.router().explain(request);
    if decisions.is_empty() {
        return text_answer(StatusCode::NOT_FOUND, "no decision on that request is kept\n");
    }
    json_answer(StatusCode::OK, &decisions)
}

fn explain_upstream(context: &EntryContext, name: &str) -> Response<AnswerBody> {
    let table = context.table();
    let Some(view) = table.upstreams.get(&UpstreamName::from(name)) else {
        return text_answer(StatusCode::NOT_FOUND, "no upstream of that name is known\n");
    };
    let explanation = context.router().explain_upstream(view, Instant::now());
    json_answer(StatusCode::OK, &explanation)
}

fn describe_entry(context: &EntryContext) -> serde_json::Value {
    let table = context.table();
    json!({
        "instance": context.node.instance,
        "region": context.node.region,
        "zone": context.node.zone,
        "revision": context.settings.revision(),
        "settings": context.settings.status(),
        "in_flight": context.in_flight.load(Ordering::Relaxed),
        "upstreams": table.upstreams.values().map(|view| view.record.as_ref()).collect::<Vec<_>>(),
        "entries": table.entries.keys().collect::<Vec<_>>(),
        "zones": table.zones.keys().collect::<Vec<_>>(),
    })
}
