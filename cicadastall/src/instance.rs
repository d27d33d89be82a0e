//! What entries and control instances have in common: the control thread, membership, settings and
//! the service for other instances.

use crate::{
    follow::SettingsHolder,
    follower::SettingsFollower,
    gateway::{
        control::FleetService,
        engine_grants::GrantService,
        fleet_update::{FleetQuery, FleetUpdate},
        grant_allocator::{GrantQuery, GrantReply, GrantUpdates},
    },
    group::GroupHost,
    group_transport::GroupRegistry,
    http,
    ledger::command::{LedgerChange, LedgerReply},
    ledger_host::{LedgerHosting, LedgerService},
    membership::{MembershipActor, MembershipArguments, MembershipMessage, receive_packets},
    name::GroupName,
    node::NodeSettings,
    peer::{PeerApi, PeerClients, frame_messages},
    quarantine::{SuspectBoard, SuspectShare},
    replica_message::{LogIndex, ReplicaEnvelope},
    replicated::GroupError,
    settings::Revision,
    settings_peer::{FollowReply, FollowRequest, PushRequest, ZoneReport},
    sockets::guard_stream,
    suspect::{IsolationReply, IsolationRequest, SuspectRecord},
    table::RoutingTable,
};
use arc_swap::ArcSwap;
use futures::{FutureExt, StreamExt, future};
use ractor::{Actor, ActorRef};
use std::{
    io,
    net::SocketAddr,
    sync::{Arc, atomic::AtomicU32},
    time::Duration,
};
use tarpc::{
    context::Context,
    server::{BaseChannel, Channel},
};
use tokio::{
    net::{TcpListener, UdpSocket},
    runtime::Handle,
    sync::oneshot,
    task::JoinSet,
    time::sleep,
};

/// Longest time to wait for the control thread.
pub(crate) const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Attempts to find a port that is free for both TCP and UDP.
const BIND_ATTEMPTS: u32 = 16;

/// A thread of its own for control state.
#[derive(Debug)]
pub struct ControlThread {
    handle: Handle,
    _stop: oneshot::Sender<()>,
}

impl ControlThread {
    /// Starts the thread; it ends when the value is dropped.
    pub fn start(name: &str) -> io::Result<Self> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let handle = runtime.handle().clone();
        let (stop, stopped) = oneshot::channel::<()>();
        std::thread::Builder::new().name(name.to_owned()).spawn(move || {
            let _ = runtime.block_on(stopped);
        })?;
        Ok(Self { handle, _stop: stop })
    }

    /// Handle for tasks of the thread.
    pub fn handle(&self) -> &Handle {
        &self.handle
    }
}

/// Service for other instances.
#[derive(Debug, Clone)]
pub(crate) struct PeerServer {
    /// None where only groups are served.
    pub(crate) settings: Option<Arc<SettingsFollower>>,
    pub(crate) groups: Arc<GroupRegistry>,
    /// None where no ledger is hosted.
    pub(crate) ledger: Option<Arc<dyn LedgerService>>,
    /// None where only groups are served.
    pub(crate) suspects: Option<Arc<SuspectBoard>>,
    /// None but at control instances of the pass-through gateway.
    pub(crate) news: Option<Arc<dyn FleetService>>,
    /// None but at entries of the pass-through gateway.
    pub(crate) grants: Option<Arc<dyn GrantService>>,
}

impl PeerApi for PeerServer {
    async fn fleet_news(self, _: Context, query: FleetQuery) -> FleetUpdate {
        match self.news {
            Some(news) => news.answer_query(query).await,
            None => FleetUpdate::default(),
        }
    }

    async fn grant_place(self, _: Context, query: GrantQuery) -> GrantReply {
        match self.grants {
            Some(grants) => grants.grant(query).await,
            None => GrantReply::NotOwner,
        }
    }

    async fn note_places(self, _: Context, notes: GrantUpdates) {
        if let Some(grants) = self.grants {
            grants.apply(notes);
        }
    }

    async fn settings_after(self, _: Context, request: FollowRequest) -> FollowReply {
        self.settings.map(|settings| settings.answer(request)).unwrap_or_default()
    }

    async fn settings_push(self, _: Context, push: PushRequest) -> Option<ZoneReport> {
        Some(self.settings?.accept_push(push).await)
    }

    async fn settings_confirm(self, _: Context, revision: Revision) -> Vec<ZoneReport> {
        match self.settings {
            Some(settings) => settings.report_zones(revision).await,
            None => Vec::new(),
        }
    }

    async fn group_deliver(self, _: Context, group: GroupName, envelopes: Vec<ReplicaEnvelope>) {
        self.groups.deliver(&group, envelopes);
    }

    async fn group_propose(
        self,
        _: Context,
        group: GroupName,
        command: Arc<str>,
    ) -> Result<Arc<str>, GroupError> {
        self.groups.propose(&group, command).await
    }

    async fn group_read_index(self, _: Context, group: GroupName) -> Result<LogIndex, GroupError> {
        self.groups.read_index(&group).await
    }

    async fn change_ledger(
        self,
        _: Context,
        change: LedgerChange,
    ) -> Result<LedgerReply, GroupError> {
        match self.ledger {
            Some(ledger) => ledger.change(change).await,
            None => Err(GroupError::NotLeader { leader: None }),
        }
    }

    async fn share_suspects(self, _: Context, share: SuspectShare) -> Vec<SuspectRecord> {
        self.suspects.map(|suspects| suspects.exchange(share)).unwrap_or_default()
    }

    async fn isolate_suspect(self, _: Context, request: IsolationRequest) -> IsolationReply {
        self.suspects.map_or(IsolationReply::Busy, |suspects| suspects.isolate(&request))
    }
}

/// Addresses on which an instance listens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InstanceAddresses {
    /// For callers and upstreams; none for a control instance.
    pub caller: Option<SocketAddr>,
    /// For operators.
    pub operator: SocketAddr,
    /// For other instances.
    pub peer: SocketAddr,
}

/// Parts that entries and control instances have in common.
pub(crate) struct InstanceCore {
    pub(crate) addresses: InstanceAddresses,
    pub(crate) operator: TcpListener,
    pub(crate) settings: Arc<SettingsHolder>,
    pub(crate) follower: Arc<SettingsFollower>,
    pub(crate) table: Arc<ArcSwap<RoutingTable>>,
    pub(crate) membership: ActorRef<MembershipMessage>,
    pub(crate) suspects: Arc<SuspectBoard>,
    pub(crate) in_flight: Arc<AtomicU32>,
    pub(crate) groups: GroupHost,
    pub(crate) tasks: JoinSet<()>,
}

impl InstanceCore {
    pub(crate) async fn start(
        node: &Arc<NodeSettings>,
        caller: Option<SocketAddr>,
        hosting: LedgerHosting,
        control: &Handle,
    ) -> io::Result<Self> {
        let settings = Arc::new(SettingsHolder::default());
        let table = Arc::new(ArcSwap::from_pointee(RoutingTable::default()));
        let clients = Arc::new(PeerClients::new(node.source_ip()));
        let in_flight = Arc::new(AtomicU32::new(0));
        let node = Arc::clone(node);
        let suspects = Arc::new(SuspectBoard::new(Arc::clone(&node), Arc::clone(&table)));
        let started = control.spawn({
            let settings = Arc::clone(&settings);
            let table = Arc::clone(&table);
            let in_flight = Arc::clone(&in_flight);
            async move {
                let operator = http::bind(node.operator_listen).await?;
                let (peers, socket) = bind_peers(node.peer_listen).await?;
                let socket = Arc::new(socket);
                let groups = GroupHost::new(Arc::clone(&node), Arc::clone(&clients));
                let addresses = InstanceAddresses {
                    caller,
                    operator: operator.local_addr()?,
                    peer: peers.local_addr()?,
                };
                let arguments = MembershipArguments {
                    node: Arc::clone(&node),
                    caller_address: caller.map(|listen| node.caller_advertise.unwrap_or(listen)),
                    peer_address: node.peer_advertise.unwrap_or(addresses.peer),
                    socket: Arc::clone(&socket),
                    table: Arc::clone(&table),
                    in_flight: Arc::clone(&in_flight),
                    settings: Arc::clone(&settings),
                };
                let (membership, _) = Actor::spawn(None, MembershipActor, arguments)
                    .await
                    .map_err(io::Error::other)?;
                let follower = Arc::new(SettingsFollower::new(
                    Arc::clone(&node),
                    node.peer_advertise.unwrap_or(addresses.peer),
                    Arc::clone(&settings),
                    Arc::clone(&clients),
                    Arc::clone(&table),
                ));
                let server = PeerServer {
                    settings: Some(Arc::clone(&follower)),
                    groups: Arc::clone(groups.registry()),
                    ledger: hosting.start(&node, &groups).await?,
                    suspects: Some(Arc::clone(&suspects)),
                    news: None,
                    grants: None,
                };
                let mut tasks = JoinSet::new();
                tasks.spawn(serve_peers(peers, server));
                tasks.spawn(receive_packets(socket, membership.clone()));
                tasks.spawn(Arc::clone(&suspects).follow(clients));
                let follows = Arc::clone(&follower);
                tasks.spawn(async move { follows.run().await });
                Ok(Self {
                    addresses,
                    operator,
                    settings,
                    follower,
                    table,
                    membership,
                    suspects,
                    in_flight,
                    groups,
                    tasks,
                })
            }
        });
        started.await.map_err(io::Error::other)?
    }
}

/// Binds the TCP and the UDP socket for other instances to the same address and port.
async fn bind_peers(address: SocketAddr) -> io::Result<(TcpListener, UdpSocket)> {
    let mut attempts = 0;
    loop {
        let listener = http::bind(address).await?;
        match UdpSocket::bind(listener.local_addr()?).await {
            Ok(socket) => return Ok((listener, socket)),
            Err(error) if address.port() != 0 || attempts == BIND_ATTEMPTS => return Err(error),
            Err(_) => attempts += 1,
        }
    }
}

/// Answers calls to the replicas in `groups`, without membership and settings, until its task is
/// dropped.
pub async fn serve_groups(listener: TcpListener, groups: Arc<GroupRegistry>) {
    let server = PeerServer {
        settings: None,
        groups,
        ledger: None,
        suspects: None,
        news: None,
        grants: None,
    };
    serve_peers(listener, server).await;
}

/// Answers calls to the replicas in `groups` and questions for the news of the fleet, until its task
/// is dropped.
pub(crate) async fn serve_fleet(
    listener: TcpListener,
    groups: Arc<GroupRegistry>,
    news: Arc<dyn FleetService>,
) {
    let news = Some(news);
    let server =
        PeerServer { settings: None, groups, ledger: None, suspects: None, news, grants: None };
    serve_peers(listener, server).await;
}

/// Answers questions for places in the engines of an entry, until its task is dropped.
pub(crate) async fn serve_grants(listener: TcpListener, grants: Arc<dyn GrantService>) {
    let groups = Arc::new(GroupRegistry::default());
    let grants = Some(grants);
    let server =
        PeerServer { settings: None, groups, ledger: None, suspects: None, news: None, grants };
    serve_peers(listener, server).await;
}

/// Answers questions for the settings that `follower` holds, without membership and groups, until
/// its task is dropped.
pub async fn serve_settings(listener: TcpListener, follower: Arc<SettingsFollower>) {
    let groups = Arc::new(GroupRegistry::default());
    let settings = Some(follower);
    let server =
        PeerServer { settings, groups, ledger: None, suspects: None, news: None, grants: None };
    serve_peers(listener, server).await;
}

/// Answers calls of other instances on `listener` until its task is dropped.
async fn serve_peers(listener: TcpListener, service: PeerServer) {
    let mut connections = JoinSet::new();
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("accept of a peer failed: {error}");
                sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if let Err(error) = guard_stream(&stream) {
            log::debug!("socket options of a peer not set: {error}");
        }
        let transport = frame_messages(stream);
        let calls = BaseChannel::with_defaults(transport).execute(service.clone().serve());
        while connections.try_join_next().is_some() {}
        connections.spawn(calls.for_each(|call| {
            start_call(call);
            future::ready(())
        }));
    }
}

/// Runs a call up to its first wait, and the rest as a task.
///
/// So the calls of one connection start in the order of their arrival; a runtime of several threads
/// may run the tasks in another.
fn start_call(call: impl Future<Output = ()> + Send + 'static) {
    let mut call = Box::pin(call);
    if call.as_mut().now_or_never().is_none() {
        tokio::spawn(call);
    }
}
