//! RPC service between the instances, and the clients that call it.

use crate::{
    counted_stream::CountedStream,
    gateway::{
        decision::{
            grant_allocator::{GrantQuery, GrantReply, GrantUpdates},
            quota_ledger::{LoanQuery, LoanReply},
        },
        knowledge::{
            fleet_update::{FleetQuery, FleetUpdate},
            stream_origins::{OriginBatch, OriginQuery, OriginReply},
        },
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

/// Maximum size of one message, in bytes.
const MAX_MESSAGE_BYTES: usize = 16 * 1024 * 1024;

/// Deadline that the transport applies to every call. Callers use shorter time limits of their own.
const TRANSPORT_DEADLINE: Duration = Duration::from_secs(3_600);

/// RPC service that every instance provides to the others.
#[tarpc::service]
pub trait PeerApi {
    /// Changes the region's ledger; implemented by the instances that host it.
    async fn change_ledger(change: LedgerChange) -> Result<LedgerReply, GroupError>;

    /// Exchanges suspected requests within a region.
    async fn share_suspects(share: SuspectShare) -> Vec<SuspectRecord>;

    /// Grants an upstream to one suspected request at a time; implemented by control instances.
    async fn isolate_suspect(request: IsolationRequest) -> IsolationReply;

    /// Delivers messages to the receiver's replica of `group`.
    async fn group_deliver(group: GroupName, envelopes: Vec<ReplicaEnvelope>);

    /// Proposes an encoded command if the receiver leads `group`; returns the encoded reply.
    async fn group_propose(group: GroupName, command: Arc<str>) -> Result<Arc<str>, GroupError>;

    /// Returns the last log entry that a linearizable read must see, if the receiver leads `group`.
    async fn group_read_index(group: GroupName) -> Result<LogIndex, GroupError>;

    /// Returns everything in the settings that changed after the caller's revision.
    async fn settings_after(request: FollowRequest) -> FollowReply;

    /// Applies an update of the settings; `None` if the receiver does not follow the settings.
    async fn settings_push(push: PushRequest) -> Option<ZoneReport>;

    /// Returns fleet updates for the pass-through gateway; empty if the receiver has no registry.
    async fn fleet_news(query: FleetQuery) -> FleetUpdate;

    /// Merges origins of streams; returns the receiver's process, `None` if it is not a control
    /// instance.
    async fn record_origins(batch: OriginBatch) -> Option<u64>;

    /// Looks up the origin of a stream; implemented by control instances.
    async fn find_origin(query: OriginQuery) -> OriginReply;

    /// Lends quotas of workspaces; implemented by control instances.
    async fn lend_shares(query: LoanQuery) -> LoanReply;

    /// Requests a slot in an engine that the receiver owns.
    async fn grant_place(query: GrantQuery) -> GrantReply;

    /// Reports the state of granted slots in the receiver's engines.
    async fn note_places(notes: GrantUpdates);

    /// Returns in which zones a revision is in force, for the receiver, a control instance, and its
    /// followers.
    async fn settings_confirm(revision: Revision) -> Vec<ZoneReport>;
}

/// Error of a call to another instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeerError {
    /// No connection could be established; nothing was sent.
    Unreachable(String),
    /// The call was sent, but no reply arrived.
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

/// Timeout of the first connection attempt, longer than any round trip; doubled for each retry.
const INITIAL_CONNECT_TIMEOUT: Duration = Duration::from_millis(350);

/// Connections to other instances, opened at the first call and reused.
#[derive(Debug, Default)]
pub struct PeerClients {
    source: Option<IpAddr>,
    connections: Mutex<HashMap<SocketAddr, PeerConnection>>,
}

/// An open connection, and the task that ends when the peer closes it.
#[derive(Debug)]
struct PeerConnection {
    client: PeerApiClient,
    dispatch: JoinHandle<()>,
}

impl PeerClients {
    /// Creates clients that connect from the address `source`, or from any if it is `None`.
    pub fn new(source: Option<IpAddr>) -> Self {
        Self { source, connections: Mutex::default() }
    }

    /// Clients with the same source address and connections of their own.
    pub fn separate(&self) -> Self {
        Self::new(self.source)
    }

    /// Calls the instance at `address`. `time_limit` applies separately to the connection and to
    /// the call; see [`PeerClients::call_within`].
    ///
    /// # Errors
    ///
    /// Those of [`PeerClients::call_within`].
    pub async fn call<T, F>(
        &self,
        address: SocketAddr,
        time_limit: Duration,
        call: impl FnOnce(PeerApiClient, context::Context) -> F,
    ) -> Result<T, PeerError>
    where
        F: Future<Output = Result<T, client::RpcError>>,
    {
        self.call_within(address, time_limit, time_limit, call).await
    }

    /// Calls the instance at `address`, with a limit on the time to connect and one on the time from
    /// then to the reply.
    ///
    /// # Errors
    ///
    /// Returns [`PeerError::Unreachable`] if no connection could be established, and
    /// [`PeerError::NoReply`] if the call failed or timed out; the connection is then closed.
    pub async fn call_within<T, F>(
        &self,
        address: SocketAddr,
        connect_limit: Duration,
        time_limit: Duration,
        call: impl FnOnce(PeerApiClient, context::Context) -> F,
    ) -> Result<T, PeerError>
    where
        F: Future<Output = Result<T, client::RpcError>>,
    {
        let connected = timeout(connect_limit, self.connect(address)).await;
        let client = connected
            .map_err(|_| PeerError::Unreachable(format!("timeout after {connect_limit:?}")))?
            .map_err(|error| PeerError::Unreachable(error.to_string()))?;
        let mut context = context::current();
        context.deadline = DeadlineInstant::now() + TRANSPORT_DEADLINE;
        let result = match timeout(time_limit, call(client, context)).await {
            Ok(Ok(reply)) => return Ok(reply),
            Ok(Err(error)) => PeerError::NoReply(error.to_string()),
            Err(_) => PeerError::NoReply(format!("timeout after {time_limit:?}")),
        };
        self.remove_connection(address);
        Err(result)
    }

    /// Closes the connection to `address`, so that the next call opens a new one.
    pub fn remove_connection(&self, address: SocketAddr) {
        self.lock_connections().remove(&address);
    }

    /// Returns the cached connection, or opens a new one if it was closed.
    ///
    /// A connection attempt is restarted before the operating system retransmits its SYN, so that
    /// an instance that was powered off is reached soon after it returns.
    async fn connect(&self, address: SocketAddr) -> io::Result<PeerApiClient> {
        let kept = |connection: &&PeerConnection| !connection.dispatch.is_finished();
        if let Some(connection) = self.lock_connections().get(&address).filter(kept) {
            return Ok(connection.client.clone());
        }
        let mut connect_timeout = INITIAL_CONNECT_TIMEOUT;
        let stream = loop {
            match timeout(connect_timeout, open_stream(self.source, address)).await {
                Ok(stream) => break stream?,
                Err(_) => connect_timeout *= 2,
            }
        };
        let transport = message_transport(stream);
        let NewClient { client, dispatch } =
            PeerApiClient::new(client::Config::default(), transport);
        let dispatch = tokio::spawn(async move {
            if let Err(error) = dispatch.await {
                log::debug!("connection to {address} failed: {error}");
            }
        });
        self.lock_connections()
            .insert(address, PeerConnection { client: client.clone(), dispatch });
        Ok(client)
    }

    fn lock_connections(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, PeerConnection>> {
        self.connections.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

/// Transport of [`PeerApi`] calls, on the server or the client side.
pub(crate) type MessageTransport<I, O> =
    tarpc::serde_transport::Transport<CountedStream, I, O, MessageCodec<I, O>>;

/// Wraps a connection in a transport with length-delimited messages.
pub(crate) fn message_transport<I, O>(stream: TcpStream) -> MessageTransport<I, O>
where
    I: for<'de> Deserialize<'de>,
    O: Serialize,
{
    let mut codec = LengthDelimitedCodec::builder();
    codec.max_frame_length(MAX_MESSAGE_BYTES);
    tarpc::serde_transport::new(codec.new_framed(CountedStream(stream)), MessageCodec::default())
}
