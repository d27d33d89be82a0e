//! Parts shared by entries and control instances: the control thread, membership, settings and the
//! RPC server for other instances.

use crate::{
    gateway::{
        control::FleetService,
        decision::{
            grant_allocator::{GrantQuery, GrantReply, GrantUpdates},
            quota_ledger::{LoanQuery, LoanReply},
        },
        knowledge::{
            fleet_update::{FleetQuery, FleetUpdate},
            stream_origins::{OriginBatch, OriginQuery, OriginReply},
        },
        request::engine_grants::GrantService,
    },
    group::GroupHost,
    group_transport::GroupRegistry,
    http,
    ledger::command::{LedgerChange, LedgerReply},
    ledger_host::{LedgerHosting, LedgerService},
    membership::{MembershipActor, MembershipArguments, MembershipMessage, receive_packets},
    name::GroupName,
    node::NodeSettings,
    peer::{PeerApi, PeerClients, message_transport},
    quarantine::{SuspectRegistry, SuspectShare},
    replica_message::{LogIndex, ReplicaEnvelope},
    replicated::GroupError,
    settings::Revision,
    settings_follower::SettingsFollower,
    settings_peer::{FollowReply, FollowRequest, PushRequest, ZoneReport},
    settings_store::SettingsStore,
    sockets::configure_connected,
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

/// Maximum time to wait for a reply of the membership actor.
pub(crate) const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);

/// Delay before the next accept after a failed one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Maximum number of attempts to find a port that is free for both TCP and UDP.
const BIND_ATTEMPTS: u32 = 16;

/// Dedicated thread with a single-threaded runtime for control tasks.
#[derive(Debug)]
pub struct ControlThread {
    handle: Handle,
    _stop: oneshot::Sender<()>,
}

impl ControlThread {
    /// Starts a thread called `name`; it ends when the value is dropped.
    pub fn start(name: &str) -> io::Result<Self> {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        let handle = runtime.handle().clone();
        let (stop, stopped) = oneshot::channel::<()>();
        std::thread::Builder::new().name(name.to_owned()).spawn(move || {
            let _ = runtime.block_on(stopped);
        })?;
        Ok(Self { handle, _stop: stop })
    }

    /// Handle that spawns tasks on the thread.
    pub fn handle(&self) -> &Handle {
        &self.handle
    }
}

/// RPC server for other instances.
#[derive(Debug, Clone)]
pub(crate) struct PeerServer {
    /// Absent if only group replicas, fleet updates or grants are served.
    pub(crate) settings: Option<Arc<SettingsFollower>>,
    pub(crate) groups: Arc<GroupRegistry>,
    /// Absent if the instance hosts no ledger.
    pub(crate) ledger: Option<Arc<dyn LedgerService>>,
    /// Absent if only group replicas, fleet updates, grants or settings are served.
    pub(crate) suspects: Option<Arc<SuspectRegistry>>,
    /// Present only at control instances of the pass-through gateway.
    pub(crate) fleet: Option<Arc<dyn FleetService>>,
    /// Present only at entries of the pass-through gateway.
    pub(crate) grants: Option<Arc<dyn GrantService>>,
}

impl PeerApi for PeerServer {
    async fn fleet_news(self, _: Context, query: FleetQuery) -> FleetUpdate {
        match self.fleet {
            Some(fleet) => fleet.answer_query(query).await,
            None => FleetUpdate::default(),
        }
    }

    async fn record_origins(self, _: Context, batch: OriginBatch) -> Option<u64> {
        self.fleet.map(|fleet| fleet.record_origins(batch))
    }

    async fn find_origin(self, _: Context, query: OriginQuery) -> OriginReply {
        self.fleet.map(|fleet| fleet.find_origin(&query)).unwrap_or_default()
    }

    async fn lend_shares(self, _: Context, query: LoanQuery) -> LoanReply {
        self.fleet.map(|fleet| fleet.lend_shares(&query)).unwrap_or_default()
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
        self.settings.map(|settings| settings.handle_request(request)).unwrap_or_default()
    }

    async fn settings_push(self, _: Context, push: PushRequest) -> Option<ZoneReport> {
        Some(self.settings?.accept_push(push).await)
    }

    async fn settings_confirm(self, _: Context, revision: Revision) -> Vec<ZoneReport> {
        match self.settings {
            Some(settings) => settings.query_local_zones(revision).await,
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
    /// For callers and upstreams; `None` for a control instance.
    pub caller: Option<SocketAddr>,
    /// For operators.
    pub operator: SocketAddr,
    /// For other instances.
    pub peer: SocketAddr,
}

/// Parts shared by entries and control instances.
pub(crate) struct InstanceCore {
    pub(crate) addresses: InstanceAddresses,
    pub(crate) operator: TcpListener,
    pub(crate) settings: Arc<SettingsStore>,
    pub(crate) follower: Arc<SettingsFollower>,
    pub(crate) table: Arc<ArcSwap<RoutingTable>>,
    pub(crate) membership: ActorRef<MembershipMessage>,
    pub(crate) suspects: Arc<SuspectRegistry>,
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
        let settings = Arc::new(SettingsStore::default());
        let table = Arc::new(ArcSwap::from_pointee(RoutingTable::default()));
        let clients = Arc::new(PeerClients::new(node.source_ip()));
        let in_flight = Arc::new(AtomicU32::new(0));
        let node = Arc::clone(node);
        let suspects = Arc::new(SuspectRegistry::new(Arc::clone(&node), Arc::clone(&table)));
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
                    fleet: None,
                    grants: None,
                };
                let mut tasks = JoinSet::new();
                tasks.spawn(serve_peers(peers, server));
                tasks.spawn(receive_packets(socket, membership.clone()));
                tasks.spawn(Arc::clone(&suspects).exchange_periodically(clients));
                let runner = Arc::clone(&follower);
                tasks.spawn(async move { runner.run().await });
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

/// Binds a TCP listener and a UDP socket for other instances to the same address and port.
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

/// Serves RPCs to the replicas in `groups` only, until its task is dropped.
pub async fn serve_groups(listener: TcpListener, groups: Arc<GroupRegistry>) {
    let server = PeerServer {
        settings: None,
        groups,
        ledger: None,
        suspects: None,
        fleet: None,
        grants: None,
    };
    serve_peers(listener, server).await;
}

/// Serves RPCs to the replicas in `groups` and fleet queries of gateway entries, until its task is
/// dropped.
pub(crate) async fn serve_fleet(
    listener: TcpListener,
    groups: Arc<GroupRegistry>,
    fleet: Arc<dyn FleetService>,
) {
    let fleet = Some(fleet);
    let server =
        PeerServer { settings: None, groups, ledger: None, suspects: None, fleet, grants: None };
    serve_peers(listener, server).await;
}

/// Serves requests for slots of the engines that a gateway entry owns, until its task is dropped.
pub(crate) async fn serve_grants(listener: TcpListener, grants: Arc<dyn GrantService>) {
    let groups = Arc::new(GroupRegistry::default());
    let grants = Some(grants);
    let server =
        PeerServer { settings: None, groups, ledger: None, suspects: None, fleet: None, grants };
    serve_peers(listener, server).await;
}

/// Serves the settings that `follower` holds, without membership and groups, until its task is
/// dropped.
pub async fn serve_settings(listener: TcpListener, follower: Arc<SettingsFollower>) {
    let groups = Arc::new(GroupRegistry::default());
    let settings = Some(follower);
    let server =
        PeerServer { settings, groups, ledger: None, suspects: None, fleet: None, grants: None };
    serve_peers(listener, server).await;
}

/// Serves RPCs of other instances on `listener` until its task is dropped.
async fn serve_peers(listener: TcpListener, service: PeerServer) {
    let mut connections = JoinSet::new();
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!("cannot accept a peer connection: {error}");
                sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            }
        };
        if let Err(error) = configure_connected(&stream) {
            log::debug!("cannot set socket options of a peer connection: {error}");
        }
        let transport = message_transport(stream);
        let calls = BaseChannel::with_defaults(transport).execute(service.clone().serve());
        while connections.try_join_next().is_some() {}
        connections.spawn(calls.for_each(|call| {
            start_call(call);
            future::ready(())
        }));
    }
}

/// Polls a call once and spawns the rest as a task.
///
/// This starts the calls of one connection in the order of arrival; a multi-threaded runtime may
/// run spawned tasks in another order.
fn start_call(call: impl Future<Output = ()> + Send + 'static) {
    let mut call = Box::pin(call);
    if call.as_mut().now_or_never().is_none() {
        tokio::spawn(call);
    }
}
