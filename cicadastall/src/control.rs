//! Control instance: hosts a replica of the settings group and of the region's ledger.

use crate::{
    group::GroupHost,
    group_operator::{GROUPS_PATH, answer_groups},
    group_transport::GroupRegistry,
    http::{self, AnswerBody, ListenerLimits, json_answer, text_answer},
    instance::{InstanceAddresses, InstanceCore},
    lease::LeaseState,
    ledger_host::{LedgerHosting, LedgerService},
    membership::MembershipMessage,
    node::NodeSettings,
    placement_host::{PlacementHost, start_lease},
    replicated::{LocalGroup, ReplicatedGroup},
    settings::FleetSettings,
    settings_command::{answer_change, parse_subtree},
    settings_host::{SettingsHost, read_founding_settings},
    settings_query::answer_query,
    settings_state::SettingsState,
    settings_store::SettingsStore,
    stop::{DrainingInstance, StopState, StopSummary},
};
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use ractor::ActorRef;
use serde_json::json;
use std::{
    fmt, io,
    sync::{Arc, atomic::AtomicU32},
    time::Duration,
};
use tokio::{runtime::Handle, sync::watch, task::JoinSet};

/// Path prefix of the settings interface.
pub const SETTINGS_PATH: &str = "/v1/settings";

/// A running control instance.
pub struct ControlServer {
    addresses: InstanceAddresses,
    node: Arc<NodeSettings>,
    membership: ActorRef<MembershipMessage>,
    in_flight: Arc<AtomicU32>,
    stop: Arc<StopState>,
    close: watch::Sender<bool>,
    groups: GroupHost,
    tasks: JoinSet<()>,
}

impl fmt::Debug for ControlServer {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("ControlServer").field("addresses", &self.addresses).finish()
    }
}

impl ControlServer {
    /// Starts a control instance with a replica of the ledger; its tasks run on `control`.
    ///
    /// Fails if an address cannot be bound, or a replica or the founding settings cannot be read.
    pub async fn start(node: NodeSettings, control: &Handle) -> io::Result<Self> {
        Self::start_hosting(node, LedgerHosting::Replica, control).await
    }

    /// Starts a control instance that serves the given `ledger` in place of a replica.
    pub async fn start_with_ledger(
        node: NodeSettings,
        ledger: Arc<dyn LedgerService>,
        control: &Handle,
    ) -> io::Result<Self> {
        Self::start_hosting(node, LedgerHosting::Provided(ledger), control).await
    }

    async fn start_hosting(
        node: NodeSettings,
        hosting: LedgerHosting,
        control: &Handle,
    ) -> io::Result<Self> {
        let node = Arc::new(node);
        let core = InstanceCore::start(&node, None, hosting, control).await?;
        let addresses = core.addresses;
        let membership = core.membership.clone();
        let groups = core.groups.clone();
        let in_flight = Arc::clone(&core.in_flight);
        let stop = Arc::new(StopState::default());
        let (close, closed) = watch::channel(false);
        let placement = node.placement.then(|| PlacementHost {
            node: Arc::clone(&node),
            table: Arc::clone(&core.table),
            settings: Arc::clone(&core.settings),
            client: http::client_from(node.source_ip(), 0),
        });
        let mut tasks = if node.settings_voters.is_empty() {
            let group = LocalGroup::new(SettingsState::default());
            spawn_settings(core, &node, group, closed, &stop, control)?
        } else {
            let groups = groups.clone();
            let started = async move { groups.start_settings(SettingsState::default()).await };
            let group = control.spawn(started).await.map_err(io::Error::other)??;
            spawn_settings(core, &node, group, closed, &stop, control)?
        };
        if let Some(host) = placement {
            spawn_placement(&mut tasks, control, &groups, host).await?;
        }
        Ok(Self { addresses, node, membership, in_flight, stop, close, groups, tasks })
    }

    /// Addresses on which the instance listens.
    pub fn addresses(&self) -> InstanceAddresses {
        self.addresses
    }

    /// Host of the instance's group replicas.
    pub fn groups(&self) -> &GroupHost {
        &self.groups
    }

    /// Waits until an operator requests a stop.
    pub async fn stop_requested(&self) {
        self.stop.requested().await;
    }

    /// Refuses new requests, waits for those in flight, and shuts down.
    pub async fn stop(self) -> StopSummary {
        self.drain().finish().await
    }

    /// Starts to refuse new requests; [`DrainingInstance::finish`] completes the stop.
    pub fn drain(self) -> DrainingInstance {
        let draining = DrainingInstance {
            state: self.stop,
            membership: self.membership,
            in_flight: self.in_flight,
            close: self.close,
            callers: None,
            grace: Duration::ZERO,
            bound: self.node.stop_bound(),
            initial_in_flight: 0,
            tasks: self.tasks,
            groups: self.groups,
        };
        draining.begin()
    }
}

/// Runs placement on `control` under a lease that the region's group replicates, or a local one if
/// the region has no ledger group.
async fn spawn_placement(
    tasks: &mut JoinSet<()>,
    control: &Handle,
    groups: &GroupHost,
    host: PlacementHost,
) -> io::Result<()> {
    if host.node.ledger_voters.is_empty() {
        tasks.spawn_on(host.run(LocalGroup::new(LeaseState::default())), control);
        return Ok(());
    }
    let group = start_lease(groups, control).await?;
    tasks.spawn_on(host.run(group), control);
    Ok(())
}

/// Spawns the settings host on `group` and the operator listener; returns all tasks of the
/// instance.
fn spawn_settings<G: ReplicatedGroup<SettingsState>>(
    core: InstanceCore,
    node: &Arc<NodeSettings>,
    group: G,
    closed: watch::Receiver<bool>,
    stop: &Arc<StopState>,
    control: &Handle,
) -> io::Result<JoinSet<()>> {
    let founding = node.founding_settings.as_deref().map(read_founding_settings).transpose()?;
    let follower = Arc::clone(&core.follower);
    let host = Arc::new(SettingsHost::new(Arc::new(group), follower, Arc::clone(node)));
    let mut tasks = core.tasks;
    spawn_host(&mut tasks, control, &host, founding);
    let context = OperatorContext {
        node: Arc::clone(node),
        settings: core.settings,
        stop: Arc::clone(stop),
        groups: Arc::clone(core.groups.registry()),
    };
    let handler = move |_, request| answer_operator(context.clone(), Arc::clone(&host), request);
    let served = http::serve(core.operator, ListenerLimits::default(), closed, handler);
    tasks.spawn_on(served, control);
    Ok(tasks)
}

/// Spawns the tasks of the settings host on `control`; writes the `founding` settings if given.
fn spawn_host<G: ReplicatedGroup<SettingsState>>(
    tasks: &mut JoinSet<()>,
    control: &Handle,
    host: &Arc<SettingsHost<G>>,
    founding: Option<FleetSettings>,
) {
    let runner = Arc::clone(host);
    tasks.spawn_on(async move { runner.apply_committed_changes().await }, control);
    let runner = Arc::clone(host);
    tasks.spawn_on(async move { runner.confirm().await }, control);
    let runner = Arc::clone(host);
    tasks.spawn_on(async move { runner.push().await }, control);
    let runner = Arc::clone(host);
    tasks.spawn_on(async move { runner.poll_members().await }, control);
    let Some(tree) = founding else { return };
    let runner = Arc::clone(host);
    let found = async move {
        if let Err(error) = runner.found_group(tree).await {
            log::error!("cannot found the settings group: {error}");
        }
    };
    tasks.spawn_on(found, control);
}

/// State that the operator interface reads.
#[derive(Debug, Clone)]
struct OperatorContext {
    node: Arc<NodeSettings>,
    settings: Arc<SettingsStore>,
    stop: Arc<StopState>,
    groups: Arc<GroupRegistry>,
}

async fn answer_operator<G: ReplicatedGroup<SettingsState>>(
    context: OperatorContext,
    host: Arc<SettingsHost<G>>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let OperatorContext { node, settings, stop, groups } = context;
    let path = request.uri().path().to_owned();
    if let Some(path) = path.strip_prefix(SETTINGS_PATH) {
        return answer_settings(&host, path, request).await;
    }
    if path.starts_with(GROUPS_PATH) {
        return answer_groups(&groups, &request).await;
    }
    match (request.method(), path.as_str()) {
        (&Method::GET, "/healthz") => text_answer(StatusCode::OK, "ok\n"),
        (&Method::POST, "/v1/drain") => {
            stop.request();
            json_answer(StatusCode::ACCEPTED, &json!({ "in_flight": 0 }))
        }
        (&Method::GET, "/v1/status") => {
            let status = json!({
                "instance": node.instance,
                "region": node.region,
                "zone": node.zone,
                "revision": settings.revision(),
                "settings": settings.status(),
            });
            json_answer(StatusCode::OK, &status)
        }
        _ => text_answer(StatusCode::NOT_FOUND, "no such path\n"),
    }
}

async fn answer_settings<G: ReplicatedGroup<SettingsState>>(
    host: &SettingsHost<G>,
    path: &str,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    match *request.method() {
        Method::GET => answer_query(host, path, request.uri().query().unwrap_or_default()).await,
        Method::PUT | Method::DELETE => match parse_subtree(path.trim_start_matches('/')) {
            Some(subtree) => answer_change(host, subtree, request).await,
            None => text_answer(StatusCode::NOT_FOUND, "no such subtree\n"),
        },
        _ => text_answer(StatusCode::METHOD_NOT_ALLOWED, "use GET, PUT or DELETE\n"),
    }
}
