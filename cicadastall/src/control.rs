//! A control instance: the settings group's replica and the region's ledger, beside the entries.

use crate::{
    follow::SettingsHolder,
    group::GroupHost,
    http::{self, AnswerBody, ListenerLimits, json_answer, text_answer},
    instance::{InstanceAddresses, InstanceCore},
    ledger_host::{LedgerHosting, LedgerService},
    membership::MembershipMessage,
    node::NodeSettings,
    replicated::{LocalGroup, ReplicatedGroup},
    settings::FleetSettings,
    settings_command::{answer_change, parse_subtree},
    settings_host::{SettingsHost, read_founding},
    settings_query::answer_query,
    settings_state::SettingsState,
};
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use ractor::ActorRef;
use serde_json::json;
use std::{fmt, io, sync::Arc};
use tokio::{runtime::Handle, sync::watch, task::JoinSet};

/// Path of the settings.
pub const SETTINGS_PATH: &str = "/v1/settings";

/// A running control instance.
pub struct ControlServer {
    addresses: InstanceAddresses,
    membership: ActorRef<MembershipMessage>,
    groups: GroupHost,
    stop: watch::Sender<bool>,
    _tasks: JoinSet<()>,
}

impl fmt::Debug for ControlServer {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("ControlServer").field("addresses", &self.addresses).finish()
    }
}

impl ControlServer {
    /// Starts a control instance on `control`.
    ///
    /// It hosts a replica of the settings group where the node names the group's members, and else
    /// a group of one that lasts as long as the process.
    pub async fn start(node: NodeSettings, control: &Handle) -> io::Result<Self> {
        Self::start_hosting(node, LedgerHosting::Replica, control).await
    }

    /// Starts a control instance that hosts `ledger`.
    pub async fn start_with(
        node: NodeSettings,
        ledger: Arc<dyn LedgerService>,
        control: &Handle,
    ) -> io::Result<Self> {
        Self::start_hosting(node, LedgerHosting::Given(ledger), control).await
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
        let (stop, stopped) = watch::channel(false);
        let tasks = if node.settings_voters.is_empty() {
            let group = LocalGroup::new(SettingsState::default());
            run_settings(core, &node, group, stopped, control)?
        } else {
            let groups = groups.clone();
            let started = async move { groups.start_settings(SettingsState::default()).await };
            let group = control.spawn(started).await.map_err(io::Error::other)??;
            run_settings(core, &node, group, stopped, control)?
        };
        Ok(Self { addresses, membership, groups, stop, _tasks: tasks })
    }

    /// Addresses on which the instance listens.
    pub fn addresses(&self) -> InstanceAddresses {
        self.addresses
    }

    /// Starts replicas of the instance.
    pub fn groups(&self) -> &GroupHost {
        &self.groups
    }

    /// Stops the instance.
    pub async fn stop(self) {
        let _ = self.stop.send(true);
        self.membership.stop(None);
    }
}

/// Hosts the settings in `group` and answers operators; gives the instance's tasks.
fn run_settings<G: ReplicatedGroup<SettingsState>>(
    core: InstanceCore,
    node: &Arc<NodeSettings>,
    group: G,
    stopped: watch::Receiver<bool>,
    control: &Handle,
) -> io::Result<JoinSet<()>> {
    let founding = node.founding_settings.as_deref().map(read_founding).transpose()?;
    let follower = Arc::clone(&core.follower);
    let host = Arc::new(SettingsHost::new(Arc::new(group), follower, Arc::clone(node)));
    let mut tasks = core.tasks;
    spawn_host(&mut tasks, control, &host, founding);
    let settings = core.settings;
    let node = Arc::clone(node);
    let handler = move |_, request| {
        answer_operator(Arc::clone(&node), Arc::clone(&settings), Arc::clone(&host), request)
    };
    let served = http::serve(core.operator, ListenerLimits::default(), stopped, handler);
    tasks.spawn_on(served, control);
    Ok(tasks)
}

/// Runs the host's tasks on `control`.
fn spawn_host<G: ReplicatedGroup<SettingsState>>(
    tasks: &mut JoinSet<()>,
    control: &Handle,
    host: &Arc<SettingsHost<G>>,
    founding: Option<FleetSettings>,
) {
    let runner = Arc::clone(host);
    tasks.spawn_on(async move { runner.feed().await }, control);
    let runner = Arc::clone(host);
    tasks.spawn_on(async move { runner.confirm().await }, control);
    let runner = Arc::clone(host);
    tasks.spawn_on(async move { runner.push().await }, control);
    let runner = Arc::clone(host);
    tasks.spawn_on(async move { runner.hear_members().await }, control);
    let Some(tree) = founding else { return };
    let runner = Arc::clone(host);
    let found = async move {
        if let Err(error) = runner.found(tree).await {
            log::error!("settings not founded: {error}");
        }
    };
    tasks.spawn_on(found, control);
}

async fn answer_operator<G: ReplicatedGroup<SettingsState>>(
    node: Arc<NodeSettings>,
    settings: Arc<SettingsHolder>,
    host: Arc<SettingsHost<G>>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let path = request.uri().path().to_owned();
    if let Some(path) = path.strip_prefix(SETTINGS_PATH) {
        return answer_settings(&host, path, request).await;
    }
    match (request.method(), path.as_str()) {
        (&Method::GET, "/healthz") => text_answer(StatusCode::OK, "ok\n"),
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
