//! Pool of HTTP/1.1 connections to upstreams and other entries, bounded for each target.

use crate::{
    http::describe_error,
    name::{AttemptId, UpstreamName},
    sockets::open_stream,
};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    Request, Response,
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use hyper_util::rt::TokioIo;
use smallvec::SmallVec;
use std::{
    collections::HashMap,
    hash::{DefaultHasher, Hash, Hasher},
    net::{IpAddr, SocketAddr},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::{
    sync::watch,
    time::{Instant, timeout},
};

/// Longest time to establish a connection; longer than 1 s, after which a lost packet is sent again.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_300);

/// Idle time after which a pooled connection is not reused, if the other side names no limit.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(8);

/// Longest idle timeout of the other side that is believed; far above what any server sets.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_secs(3_600);

/// Share of the other side's idle timeout after which a pooled connection is not reused.
const IDLE_TIMEOUT_SHARE: f64 = 0.6;

/// Maximum bytes of an answer's head, and of body read ahead, on one connection. Several hundred
/// connections must fit into a small instance's memory.
const MAX_READ_BUFFER_BYTES: usize = 64 * 1024;

/// Maximum number of refused attempts on one connection; it is closed after the last of them.
pub const MAX_REFUSED_ATTEMPTS: usize = 8;

/// Hashes of the attempts that were refused on one connection.
type RefusedAttempts = SmallVec<[u64; MAX_REFUSED_ATTEMPTS]>;

/// The other side of a connection.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct ConnectionTarget {
    /// Address.
    pub address: SocketAddr,
    /// Name of the upstream; none for another entry.
    pub upstream: Option<UpstreamName>,
}

/// Why no connection is available.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConnectError {
    /// The maximum number of connections is open.
    Exhausted,
    /// The connection could not be established.
    Failed(String),
}

/// Why a request got no answer.
#[derive(Debug)]
pub enum ExchangeError {
    /// No byte of the request was written.
    Unsent(String),
    /// Part of the request may have been written.
    Broken(String),
}

/// What was sent on a connection before an attempt. A faulty upstream may write an earlier answer
/// once more, and the copy then stands where the attempt's answer is expected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionUse {
    /// Nothing.
    New,
    /// Other attempts.
    Kept,
    /// The same attempt, which was refused.
    Refused,
}

/// How a connection ended, once it has: in order, or with the cause of its failure.
type ConnectionResult = Option<Result<(), String>>;

#[derive(Debug)]
struct IdleConnection {
    sender: SendRequest<Full<Bytes>>,
    ended: watch::Receiver<ConnectionResult>,
    refused: RefusedAttempts,
    since: Instant,
    limit: Duration,
    /// Counts the connection until it is closed.
    open: OpenGuard,
}

#[derive(Debug, Default)]
struct TargetState {
    idle: Vec<IdleConnection>,
    open: usize,
}

/// Idle connections and counts of open ones, by target.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    /// Local address of connections to upstreams.
    upstream_source: Option<IpAddr>,
    targets: Mutex<HashMap<ConnectionTarget, TargetState>>,
}

/// Counts one open connection to a target until dropped.
#[derive(Debug)]
struct OpenGuard {
    pool: Arc<ConnectionPool>,
    target: ConnectionTarget,
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        let mut targets = self.pool.lock();
        if let Some(state) = targets.get_mut(&self.target) {
            state.open = state.open.saturating_sub(1);
            if state.open == 0 && state.idle.is_empty() {
                targets.remove(&self.target);
            }
        }
    }
}

/// A connection taken from the pool for one request. Dropping it closes the connection.
#[derive(Debug)]
pub struct PooledConnection {
    sender: SendRequest<Full<Bytes>>,
    ended: watch::Receiver<ConnectionResult>,
    kept: bool,
    refused: RefusedAttempts,
    open: OpenGuard,
}

impl ConnectionPool {
    /// Creates an empty pool whose connections to upstreams have the local address `upstream_source`.
    pub fn new(upstream_source: Option<IpAddr>) -> Self {
        Self { upstream_source, targets: Mutex::default() }
    }

    /// Takes an idle connection to `target`, or opens one if fewer than `max_open` are open.
    pub async fn take(
        self: &Arc<Self>,
        target: &ConnectionTarget,
        max_open: usize,
    ) -> Result<PooledConnection, ConnectError> {
        if let Some(kept) = self.take_idle(target) {
            return Ok(kept);
        }
        let open = self.reserve_open(target, max_open).ok_or(ConnectError::Exhausted)?;
        let source = self.upstream_source.filter(|_| target.upstream.is_some());
        let connected = connect(source, target.address).await;
        let (sender, ended) = connected.map_err(ConnectError::Failed)?;
        let refused = RefusedAttempts::new();
        Ok(PooledConnection { sender, ended, kept: false, refused, open })
    }

    fn take_idle(&self, target: &ConnectionTarget) -> Option<PooledConnection> {
        let now = Instant::now();
        let mut closed = Vec::new();
        let mut targets = self.lock();
        let idle = &mut targets.get_mut(target)?.idle;
        let mut taken = None;
        let mut index = idle.len();
        while taken.is_none() && index > 0 {
            index -= 1;
            let kept = &idle[index];
            if kept.sender.is_closed() || now >= kept.since + kept.limit {
                closed.push(idle.remove(index));
            } else if kept.sender.is_ready() {
                taken = Some(idle.remove(index));
            }
        }
        drop(targets);
        drop(closed);
        taken.map(|IdleConnection { sender, ended, refused, open, .. }| PooledConnection {
            sender,
            ended,
            kept: true,
            refused,
            open,
        })
    }

    fn reserve_open(
        self: &Arc<Self>,
        target: &ConnectionTarget,
        max_open: usize,
    ) -> Option<OpenGuard> {
        let mut targets = self.lock();
        let state = targets.entry(target.clone()).or_default();
        if state.open >= max_open {
            return None;
        }
        state.open += 1;
        Some(OpenGuard { pool: Arc::clone(self), target: target.clone() })
    }

    /// Number of open connections to `target`, idle or in use.
    pub fn count(&self, target: &ConnectionTarget) -> usize {
        self.lock().get(target).map_or(0, |state| state.open)
    }

    /// Whether a request to `target` would find an idle connection or may open another one.
    pub fn has_capacity(&self, target: &ConnectionTarget, max_open: usize) -> bool {
        let targets = self.lock();
        targets.get(target).is_none_or(|state| state.open < max_open || !state.idle.is_empty())
    }

    /// Closes the idle connections to an upstream.
    pub fn close_idle(&self, address: SocketAddr, upstream: &UpstreamName) {
        let target = ConnectionTarget { address, upstream: Some(upstream.clone()) };
        let idle = self.lock().get_mut(&target).map(|state| std::mem::take(&mut state.idle));
        drop(idle);
    }

    /// Closes idle connections that timed out or were closed by the other side.
    pub fn close_expired(&self) {
        let now = Instant::now();
        let mut closed = Vec::new();
        for state in self.lock().values_mut() {
            let ended = |kept: &mut IdleConnection| {
                kept.sender.is_closed() || now >= kept.since + kept.limit
            };
            closed.extend(state.idle.extract_if(.., ended));
        }
        drop(closed);
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<ConnectionTarget, TargetState>> {
        self.targets.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl PooledConnection {
    /// Sends a request and waits for the head of its answer.
    pub async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, ExchangeError> {
        match self.sender.try_send_request(request).await {
            Ok(answer) => Ok(answer),
            Err(mut error) => {
                let unsent = error.take_message().is_some();
                let cause = describe_error(error.error());
                Err(if unsent {
                    ExchangeError::Unsent(cause)
                } else {
                    ExchangeError::Broken(cause)
                })
            }
        }
    }

    /// Waits for the end of the connection, after an answer that ends with it.
    ///
    /// Fails if the connection did not end in order. Its other side may have reset it while the request
    /// was still being written, which does not show in the body of the answer.
    pub async fn wait_closed(&mut self) -> Result<(), String> {
        let ended = self.ended.wait_for(Option::is_some).await;
        let result = ended.ok().and_then(|ended| ended.clone());
        result.unwrap_or_else(|| Err("the connection was dropped".to_owned()))
    }

    /// What was sent on the connection before `attempt`.
    pub fn find_use(&self, attempt: &AttemptId) -> ConnectionUse {
        match self.kept {
            false => ConnectionUse::New,
            true if self.refused.contains(&hash_attempt(attempt)) => ConnectionUse::Refused,
            true => ConnectionUse::Kept,
        }
    }

    /// Records that the upstream refused `attempt`.
    pub fn note_refused(&mut self, attempt: &AttemptId) {
        self.refused.push(hash_attempt(attempt));
    }

    /// Returns the connection to the pool; `limit` is the idle timeout of the other side.
    pub fn keep(self, limit: Option<Duration>) {
        if self.sender.is_closed() || self.refused.len() >= MAX_REFUSED_ATTEMPTS {
            return;
        }
        let limit = limit.map_or(DEFAULT_IDLE_TIMEOUT, |limit| {
            limit.min(MAX_IDLE_TIMEOUT).mul_f64(IDLE_TIMEOUT_SHARE)
        });
        let pool = Arc::clone(&self.open.pool);
        let target = self.open.target.clone();
        let Self { sender, ended, refused, open, .. } = self;
        let since = Instant::now();
        let kept = IdleConnection { sender, ended, refused, since, limit, open };
        pool.lock().entry(target).or_default().idle.push(kept);
    }
}

/// Hash of an attempt's identifier. If two have the same one, a refusal counts as unknown.
fn hash_attempt(attempt: &AttemptId) -> u64 {
    let mut hasher = DefaultHasher::new();
    attempt.hash(&mut hasher);
    hasher.finish()
}

async fn connect(
    source: Option<IpAddr>,
    address: SocketAddr,
) -> Result<(SendRequest<Full<Bytes>>, watch::Receiver<ConnectionResult>), String> {
    let connected = timeout(CONNECT_TIMEOUT, open_stream(source, address)).await;
    let stream = connected
        .map_err(|_| format!("not connected within {CONNECT_TIMEOUT:?}"))?
        .map_err(|error| error.to_string())?;
    let mut builder = http1::Builder::new();
    builder.max_buf_size(MAX_READ_BUFFER_BYTES);
    let handshake = builder.handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(|error| describe_error(&error))?;
    let (end, ended) = watch::channel(None);
    tokio::spawn(async move {
        let result = connection.await.map_err(|error| describe_error(&error));
        if let Err(cause) = &result {
            log::debug!("connection to {address} ended: {cause}");
        }
        end.send_replace(Some(result));
    });
    Ok((sender, ended))
}
