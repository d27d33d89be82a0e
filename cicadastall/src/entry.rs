//! An entry instance: its shared state, its threads, and its start and stop.

use crate::{
    claim::LedgerClient,
    follow::SettingsHolder,
    http::{self, AnswerBody, HttpClient, ListenerLimits, json_answer, text_answer},
    instance::{CONTROL_TIMEOUT, InstanceAddresses, InstanceCore},
    ledger_host::LedgerHosting,
    membership::MembershipMessage,
    name::RequestId,
    node::NodeSettings,
    observe::RequestMetrics,
    peer::PeerClients,
    route::{RequestRouter, RouterPlace},
    serve::answer_request,
    table::{EntryState, RoutingTable},
};
use arc_swap::ArcSwap;
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use ractor::{ActorRef, RpcReplyPort, rpc::CallResult};
use serde_json::json;
use std::{
    fmt, io,
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
};

/// Idle connections kept to each upstream.
const IDLE_CONNECTIONS: usize = 64;

/// State that the traffic threads of one entry share.
#[derive(Debug)]
pub struct EntryContext {
    node: Arc<NodeSettings>,
    settings: Arc<SettingsHolder>,
    table: Arc<ArcSwap<RoutingTable>>,
    router: Mutex<RequestRouter>,
    metrics: RequestMetrics,
    membership: ActorRef<MembershipMessage>,
    ledger: LedgerClient,
    in_flight: Arc<AtomicU32>,
    pooled: HttpClient,
    unpooled: HttpClient,
}

/// Counts one request as in flight until it is dropped.
#[derive(Debug)]
pub(crate) struct RequestGuard(Arc<AtomicU32>);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl EntryContext {
    pub(crate) fn node(&self) -> &NodeSettings {
        &self.node
    }

    pub(crate) fn settings(&self) -> &SettingsHolder {
        &self.settings
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

    pub(crate) fn metrics(&self) -> &RequestMetrics {
        &self.metrics
    }

    /// The client for a request; one that may not be repeated gets a connection of its own, so
    /// that a connection closed while idle can't make its outcome unknown.
    pub(crate) fn client(&self, repeatable: bool) -> &HttpClient {
        if repeatable { &self.pooled } else { &self.unpooled }
    }

    pub(crate) fn name_request(&self) -> RequestId {
        RequestId::new(format!("{}-{:016x}", self.node.instance, rand::random::<u64>()))
    }

    pub(crate) fn count_request(&self) -> RequestGuard {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        RequestGuard(Arc::clone(&self.in_flight))
    }

    /// Asks the control thread; none if it has stopped or does not reply in time.
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
    _control_tasks: JoinSet<()>,
}

impl fmt::Debug for EntryServer {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("EntryServer").field("addresses", &self.addresses).finish()
    }
}

/// Summary of a stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize)]
pub struct StopSummary {
    /// Requests that were in flight when the stop began.
    pub in_flight: u32,
    /// Requests that were cut off because the bound was reached.
    pub cut_off: u32,
}

impl EntryServer {
    /// Starts an entry: traffic on the current runtime, control state on `control`.
    pub async fn start(node: NodeSettings, control: &Handle) -> io::Result<Self> {
        let node = Arc::new(node);
        let caller_listener = http::bind(node.caller_listen).await?;
        let address = caller_listener.local_addr()?;
        let core =
            InstanceCore::start(&node, Some(address), LedgerHosting::Absent, control).await?;
        let place = RouterPlace { region: node.region.clone(), zone: node.zone.clone() };
        let context = Arc::new(EntryContext {
            settings: Arc::clone(&core.settings),
            table: Arc::clone(&core.table),
            router: Mutex::new(RequestRouter::new(place)),
            metrics: RequestMetrics::new(),
            membership: core.membership.clone(),
            ledger: LedgerClient::new(node.control.clone(), PeerClients::new(node.source_ip())),
            in_flight: Arc::clone(&core.in_flight),
            pooled: http::client_from(node.source_ip(), IDLE_CONNECTIONS),
            unpooled: http::client_from(node.source_ip(), 0),
            node: Arc::clone(&node),
        });
        let mut tasks = core.tasks;
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
        };
        let callers = tokio::spawn(http::serve(caller_listener, limits, stopped, handler));
        Ok(Self { addresses: core.addresses, context, stop, callers, _control_tasks: tasks })
    }

    /// Addresses on which the entry listens.
    pub fn addresses(&self) -> InstanceAddresses {
        self.addresses
    }

    /// Stops gracefully: takes no new connections and lets the requests in flight finish.
    pub async fn stop(self) -> StopSummary {
        let _ = self.context.membership.cast(MembershipMessage::SetState(EntryState::Draining));
        let in_flight = self.context.in_flight.load(Ordering::Relaxed);
        let _ = self.stop.send(true);
        let bound = self.context.node.stop_bound();
        let finished = tokio::time::timeout(bound, self.callers).await.is_ok();
        let cut_off = if finished { 0 } else { self.context.in_flight.load(Ordering::Relaxed) };
        self.context.membership.stop(None);
        StopSummary { in_flight, cut_off }
    }
}

async fn answer_operator(
    context: Arc<EntryContext>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/healthz") => text_answer(StatusCode::OK, "ok\n"),
        (&Method::GET, "/readyz") if context.settings.is_ready() => {
            text_answer(StatusCode::OK, "ready\n")
        }
        (&Method::GET, "/readyz") => {
            text_answer(StatusCode::SERVICE_UNAVAILABLE, "no settings yet\n")
        }
        (&Method::GET, "/metrics") => text_answer(StatusCode::OK, context.metrics.render()),
        (&Method::POST, "/v1/drain") => {
            let drained = MembershipMessage::SetState(EntryState::Draining);
            let _ = context.membership.cast(drained);
            text_answer(StatusCode::OK, "no new callers are sent here\n")
        }
        (&Method::GET, "/v1/status") => json_answer(StatusCode::OK, &describe_entry(&context)),
        _ => text_answer(StatusCode::NOT_FOUND, "no such path\n"),
    }
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
