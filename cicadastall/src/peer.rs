//! Messages between the system's own processes, and the service that carries them.

use crate::settings::{Revision, SettingsSnapshot};
use std::{
    collections::HashMap,
    fmt,
    future::Future,
    io,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant as DeadlineInstant},
};
use tarpc::{client, context, tokio_serde::formats::Json};
use tokio::time::timeout;

/// Most bytes of one message.
pub(crate) const MAX_MESSAGE_BYTES: usize = 16 * 1024 * 1024;

/// Bound that the transport puts on every call; calls carry bounds of their own below it.
const TRANSPORT_DEADLINE: Duration = Duration::from_secs(3_600);

/// Service that every instance offers to the others.
#[tarpc::service]
pub trait PeerApi {
    /// The newest settings, or none if they are not newer than `revision`.
    async fn settings_after(revision: Revision) -> Option<Arc<SettingsSnapshot>>;
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

/// Connections to other instances, opened at the first call and kept.
#[derive(Debug, Default)]
pub struct PeerClients {
    clients: Mutex<HashMap<SocketAddr, PeerApiClient>>,
}

impl PeerClients {
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

    async fn connect(&self, address: SocketAddr) -> io::Result<PeerApiClient> {
        if let Some(client) = self.lock().get(&address) {
            return Ok(client.clone());
        }
        let mut connect = tarpc::serde_transport::tcp::connect(address, Json::default);
        connect.config_mut().max_frame_length(MAX_MESSAGE_BYTES);
        let client = PeerApiClient::new(client::Config::default(), connect.await?).spawn();
        self.lock().insert(address, client.clone());
        Ok(client)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, PeerApiClient>> {
        self.clients.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}
