//! Messages between the system's own processes, and the service that carries them.

use crate::{
    counted::CountedStream,
    gateway::{
        fleet_update::{FleetQuery, FleetUpdate},
        grant_allocator::{GrantQuery, GrantReply, GrantUpdates},
    },
    ledger::command::{LedgerChange, LedgerReply},
    message_codec::MessageCodec,
    name::GroupName,
    quarantine::SuspectShare,
    replica_message::{LogIndex, ReplicaEnvelope},
    replicated::GroupError,
    settings::Revision,
    settings_peer::{FollowReply, FollowRequest, PushRequest, ZoneReport},
    sockets::open_stream,
    suspect::{IsolationReply, IsolationRequest, SuspectRecord},
};
use serde::{Deserialize, Serialize};
use std::{
    collections::HashMap,
    fmt,
    future::Future,
    io,
    net::{IpAddr, SocketAddr},
    sync::{Arc, Mutex},
    time::{Duration, Instant as DeadlineInstant},
};
use tarpc::{
    client::{self, NewClient},
    context,
};
use tokio::{net::TcpStream, task::JoinHandle, time::timeout};
use tokio_util::codec::LengthDelimitedCodec;

/// Most bytes of one message.
const MAX_MESSAGE_BYTES: usize = 16 * 1024 * 1024;

/// Bound that the transport puts on every call; calls carry bounds of their own below it.
const TRANSPORT_DEADLINE: Duration = Duration::from_secs(3_600);

/// Service that every instance offers to the others.
#[tarpc::service]
pub trait PeerApi {
    /// Changes the region's ledger; answered by the instances that host it.
    async fn change_ledger(change: LedgerChange) -> Result<LedgerReply, GroupError>;

    /// Exchanges suspected requests within a region.
    async fn share_suspects(share: SuspectShare) -> Vec<SuspectRecord>;

    /// Grants an upstream to one suspected request at a time; asked of control instances.
    async fn isolate_suspect(request: IsolationRequest) -> IsolationReply;

    /// Passes messages to the receiver's replica of `group`.
    async fn group_deliver(group: GroupName, envelopes: Vec<ReplicaEnvelope>);

    /// Proposes an encoded command if the receiver leads `group`; gives the encoded reply.
    async fn group_propose(group: GroupName, command: Arc<str>) -> Result<Arc<str>, GroupError>;

    /// Last entry that a linearizable read must see, if the receiver leads `group`.
    async fn group_read_index(group: GroupName) -> Result<LogIndex, GroupError>;

    /// Everything in the settings that changed after the asker's revision.
    async fn settings_after(request: FollowRequest) -> FollowReply;

    /// Applies an update of the settings; none if the receiver follows no settings.
    async fn settings_push(push: PushRequest) -> Option<ZoneReport>;

    /// News of the fleet for the pass-through gateway; none where the receiver has no registry.
    async fn fleet_news(query: FleetQuery) -> FleetUpdate;

    /// A place in an engine that the receiver owns.
    async fn grant_place(query: GrantQuery) -> GrantReply;

    /// Tells the receiver what became of places in its engines.
    async fn note_places(notes: GrantUpdates);

    /// Where a revision is in force in the receiver, a control instance, and its followers' zones.
    async fn settings_confirm(revision: Revision) -> Vec<ZoneReport>;
}

/// Why a call to another instance has no reply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeerError {
    /// No connection could be made; nothing was sent.
    Unreachable(String),
    /// The call was sent, but no reply came.
    NoReply(String),
}

impl fmt::Display for PeerError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(cause) => write!(formatter, "peer not reachable: {cause}"),
            Self::NoReply(cause) => write!(formatter, "no reply from peer: {cause}"),
        }
    }
}

impl std::error::Error for PeerError {}

/// Time after which an attempt to connect is begun anew, above any round trip; it doubles each time.
const FIRST_CONNECT_BOUND: Duration = Duration::from_millis(350);

/// Connections to other instances, opened at the first call and kept.
#[derive(Debug, Default)]
pub struct PeerClients {
    source: Option<IpAddr>,
    connections: Mutex<HashMap<SocketAddr, PeerConnection>>,
}

/// An open connection, and the task that ends when the other side closes it.
#[derive(Debug)]
struct PeerConnection {
    client: PeerApiClient,
    dispatch: JoinHandle<()>,
}

impl PeerClients {
    /// Clients that connect from `source`.
    pub fn new(source: Option<IpAddr>) -> Self {
        Self { source, connections: Mutex::default() }
    }

    /// Calls the instance at `address`; gives up after `bound`.
    pub async fn call<T, F>(
        &self,
        address: SocketAddr,
        bound: Duration,
        call: impl FnOnce(PeerApiClient, context::Context) -> F,
    ) -> Result<T, PeerError>
    where
        F: Future<Output = Result<T, client::RpcError>>,
    {
        let connected = timeout(bound, self.connect(address)).await;
        let client = connected
            .map_err(|_| PeerError::Unreachable(format!("timeout after {bound:?}")))?
            .map_err(|error| PeerError::Unreachable(error.to_string()))?;
        let mut context = context::current();
        context.deadline = DeadlineInstant::now() + TRANSPORT_DEADLINE;
        let result = match timeout(bound, call(client, context)).await {
            Ok(Ok(reply)) => return Ok(reply),
            Ok(Err(error)) => PeerError::NoReply(error.to_string()),
            Err(_) => PeerError::NoReply(format!("timeout after {bound:?}")),
        };
        self.forget(address);
        Err(result)
    }

    /// Closes the connection to `address`, so that the next call opens a new one.
    pub fn forget(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    /// The kept connection, or a new one where that was closed meanwhile.
    ///
    /// An attempt to connect is given up and begun anew before the operating system would repeat it,
    /// so that an instance that was switched off is found soon after its return.
    async fn connect(&self, address: SocketAddr) -> io::Result<PeerApiClient> {
        let kept = |connection: &&PeerConnection| !connection.dispatch.is_finished();
        if let Some(connection) = self.lock().get(&address).filter(kept) {
            return Ok(connection.client.clone());
        }
        let mut bound = FIRST_CONNECT_BOUND;
        let stream = loop {
            match timeout(bound, open_stream(self.source, address)).await {
                Ok(stream) => break stream?,
                Err(_) => bound *= 2,
            }
        };
        let transport = frame_messages(stream);
        let NewClient { client, dispatch } =
            PeerApiClient::new(client::Config::default(), transport);
        let dispatch = tokio::spawn(async move {
            if let Err(error) = dispatch.await {
                log::debug!("connection to {address} broke: {error}");
            }
        });
        self.lock().insert(address, PeerConnection { client: client.clone(), dispatch });
        Ok(client)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, PeerConnection>> {
        self.connections.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

/// Connection that carries calls of [`PeerApi`], from the side that answers or the one that asks.
pub(crate) type MessageTransport<I, O> =
    tarpc::serde_transport::Transport<CountedStream, I, O, MessageCodec<I, O>>;

/// Turns a connection into one that carries messages.
pub(crate) fn frame_messages<I, O>(stream: TcpStream) -> MessageTransport<I, O>
where
    I: for<'de> Deserialize<'de>,
    O: Serialize,
{
    let mut codec = LengthDelimitedCodec::builder();
    codec.max_frame_length(MAX_MESSAGE_BYTES);
    tarpc::serde_transport::new(codec.new_framed(CountedStream(stream)), MessageCodec::default())
}
