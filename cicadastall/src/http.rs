//! HTTP/1 listeners with graceful shutdown, and clients, shared by all programs.

use crate::{
    answer::{Refusal, RefusalCode},
    limits::CallerLimiter,
    sockets::configure_accepted,
};
use bytes::Bytes;
use futures::stream::{self, Stream, StreamExt};
use http_body_util::{BodyExt, Full, Limited, StreamBody, combinators::UnsyncBoxBody};
use hyper::{
    Method, Request, Response, StatusCode, Version,
    body::{Body, Frame, Incoming},
    header::{CONTENT_TYPE, HeaderValue},
    server::conn::http1,
    service::service_fn,
};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioIo, TokioTimer},
};
use serde::{Serialize, de::DeserializeOwned};
use std::{
    convert::Infallible,
    fmt,
    future::Future,
    io,
    net::{IpAddr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream},
    sync::{Semaphore, mpsc, watch},
    time::timeout,
};
use tokio_util::task::TaskTracker;

/// Error of a body that ends early. It closes the connection, so that the receiver does not take
/// the truncated answer for a complete one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TruncatedAnswer;

impl fmt::Display for TruncatedAnswer {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("the answer was truncated")
    }
}

impl std::error::Error for TruncatedAnswer {}

impl From<Infallible> for TruncatedAnswer {
    fn from(error: Infallible) -> Self {
        match error {}
    }
}

/// Body of an answer.
pub type AnswerBody = UnsyncBoxBody<Bytes, TruncatedAnswer>;

/// Client for requests to upstreams and other entries.
pub type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Maximum time to establish a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum time to discard incoming data before a connection is closed.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of connections over the limit that are refused with an answer at the same time;
/// further ones are closed without one.
const MAX_REFUSED_CONNECTIONS: usize = 64;

/// Connections that may wait to be accepted while the process is busy; the system may allow fewer. A
/// connection beyond them is dropped, and callers try again only after a second.
const LISTEN_BACKLOG: u32 = 4_096;

/// Limits of one listener.
#[derive(Debug, Clone)]
pub struct ListenerLimits {
    /// Maximum number of concurrent connections; a single address may have seven eighths of them.
    pub connections: usize,
    /// Maximum size of a request's headers, in bytes; at least 8 KiB are allowed.
    pub header_bytes: usize,
    /// Maximum time to receive the headers, and maximum idle time between two requests.
    pub header_timeout: Duration,
    /// Whether a connection is closed when the peer stops acknowledging data or keepalive probes.
    pub detect_dead_peers: bool,
    /// Time after the stop during which open connections still accept requests, for those already
    /// in transit.
    pub idle_grace: Duration,
}

impl Default for ListenerLimits {
    fn default() -> Self {
        Self {
            connections: 4_096,
            header_bytes: 32 * 1024,
            header_timeout: Duration::from_secs(10),
            detect_dead_peers: false,
            idle_grace: Duration::ZERO,
        }
    }
}

/// Serves `handler` on `listener` until `stop` turns true or its sender is dropped, then waits for
/// the requests in flight.
///
/// While draining, each open connection is closed after its current request.
pub async fn serve<H, F>(
    listener: TcpListener,
    limits: ListenerLimits,
    mut stop: watch::Receiver<bool>,
    handler: H,
) where
    H: Fn(SocketAddr, Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<AnswerBody>> + Send + 'static,
{
    let connections = TaskTracker::new();
    let permits = Arc::new(Semaphore::new(limits.connections));
    let callers = Arc::new(CallerLimiter::new(limits.connections - limits.connections / 8));
    let refusals = Arc::new(Semaphore::new(MAX_REFUSED_CONNECTIONS));
    loop {
        let (stream, peer) = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok(accepted) => accepted,
                Err(error) => {
                    log::warn!("cannot accept a connection: {error}");
                    tokio::time::sleep(Duration::from_millis(10)).await;
                    continue;
                }
            },
            () = wait_stopped(&mut stop) => break,
        };
        let guard = callers.try_acquire(peer.ip());
        let (Some(guard), Ok(permit)) = (guard, Arc::clone(&permits).try_acquire_owned()) else {
            log::warn!("connection from {peer} refused: too many connections");
            if let Ok(permit) = Arc::clone(&refusals).try_acquire_owned() {
                connections.spawn(async move {
                    refuse_connection(stream, StatusCode::SERVICE_UNAVAILABLE).await;
                    drop(permit);
                });
            }
            continue;
        };
        let handler = handler.clone();
        let stop = stop.clone();
        let limits = limits.clone();
        connections.spawn(async move {
            serve_connection(stream, peer, limits, stop, handler).await;
            drop((guard, permit));
        });
    }
    connections.close();
    connections.wait().await;
}

/// Waits until `stop` turns true or its sender is dropped.
async fn wait_stopped(stop: &mut watch::Receiver<bool>) {
    let _ = stop.wait_for(|stopped| *stopped).await;
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    peer: SocketAddr,
    limits: ListenerLimits,
    mut stop: watch::Receiver<bool>,
    handler: H,
) where
    H: Fn(SocketAddr, Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<AnswerBody>> + Send + 'static,
{
    let prepared = match limits.detect_dead_peers {
        true => configure_accepted(&stream),
        false => stream.set_nodelay(true),
    };
    if let Err(error) = prepared {
        log::debug!("cannot set socket options of {peer}: {error}");
    }
    let speaks_old_version = Arc::new(AtomicBool::new(false));
    let shared = Arc::clone(&speaks_old_version);
    let service = service_fn(move |request: Request<Incoming>| {
        shared.store(request.version() < Version::HTTP_11, Ordering::Relaxed);
        let answer = handler(peer, request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(limits.header_bytes.max(8 * 1024))
        .serve_connection(TokioIo::new(stream), service);
    let result = tokio::select! {
        result = &mut connection => result,
        () = wait_stopped(&mut stop) => match timeout(limits.idle_grace, &mut connection).await {
            Ok(result) => result,
            Err(_) => {
                Pin::new(&mut connection).graceful_shutdown();
                (&mut connection).await
            }
        }
    };
    let timed_out = result.as_ref().is_err_and(hyper::Error::is_timeout);
    // An orderly end would make a truncated answer without chunks look complete.
    let must_reset =
        result.as_ref().is_err_and(is_truncated) && speaks_old_version.load(Ordering::Relaxed);
    if let Err(error) = result {
        log::debug!("connection from {peer} ended: {error}");
    }
    let parts = connection.into_parts();
    let stream = parts.io.into_inner();
    if must_reset {
        if let Err(error) = stream.set_zero_linger() {
            log::warn!("connection from {peer} not reset: {error}");
        }
        return;
    }
    match timed_out && !parts.read_buf.is_empty() {
        true => refuse_connection(stream, StatusCode::REQUEST_TIMEOUT).await,
        false => linger(stream).await,
    }
}

/// Whether a connection ended because the body of an answer was truncated.
fn is_truncated(error: &hyper::Error) -> bool {
    let cause = std::error::Error::source(error);
    cause.is_some_and(|cause| cause.is::<TruncatedAnswer>())
}

/// Answers a connection without reading its request any further, and closes it.
async fn refuse_connection(mut stream: TcpStream, status: StatusCode) {
    let (code, message) = match status {
        StatusCode::REQUEST_TIMEOUT => (RefusalCode::TooSlow, "headers were not sent in time"),
        _ => (RefusalCode::TooManyStreams, "too many connections"),
    };
    let error = Refusal::not_run(code, message).retry_after(Duration::from_secs(1));
    let body = serde_json::json!({ "error": error }).to_string();
    let head = format!(
        "HTTP/1.1 {status}\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\
         retry-after: 1\r\nconnection: close\r\n\r\n",
        body.len()
    );
    let answer = head + &body;
    let sent = timeout(LINGER_TIMEOUT, stream.write_all(answer.as_bytes()));
    if let Ok(Ok(())) = sent.await {
        linger(stream).await;
    }
}

/// Shuts down the write half, so that the peer sends no further request, and discards incoming data
/// for up to [`LINGER_TIMEOUT`].
///
/// Closing a socket with unread data resets the connection, and the peer may lose the answer.
async fn linger(mut stream: TcpStream) {
    let mut discarded = [0; 4 * 1024];
    let closed = async {
        stream.shutdown().await?;
        while stream.read(&mut discarded).await? > 0 {}
        io::Result::Ok(())
    };
    let _ = timeout(LINGER_TIMEOUT, closed).await;
}

/// Time after which an idle connection leaves the pool; shorter than the idle timeout of the
/// listeners, so that no request is sent while the listener closes the connection.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// A client that pools up to `max_idle` idle connections per address.
pub fn client(max_idle: usize) -> HttpClient {
    client_from(None, max_idle)
}

/// A client that connects from `source` and pools up to `max_idle` idle connections per address.
pub fn client_from(source: Option<IpAddr>, max_idle: usize) -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_local_address(source);
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    Client::builder(TokioExecutor::new())
        .pool_max_idle_per_host(max_idle)
        .pool_idle_timeout(POOL_IDLE_TIMEOUT)
        .pool_timer(TokioTimer::new())
        .retry_canceled_requests(false)
        .build(connector)
}

/// Failure to read a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// More bytes than allowed.
    TooLarge,
    /// Not sent in time.
    TooSlow,
    /// The connection failed.
    Broken,
}

/// Reads a complete body of at most `limit` bytes within `time_limit`.
pub async fn read_body<B>(body: B, limit: usize, time_limit: Duration) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    if body.size_hint().lower() > limit as u64 {
        return Err(BodyError::TooLarge);
    }
    let read = timeout(time_limit, Limited::new(body, limit).collect());
    match read.await {
        Err(_) => Err(BodyError::TooSlow),
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            Err(BodyError::TooLarge)
        }
        Ok(Err(_)) => Err(BodyError::Broken),
    }
}

/// An answer with `value` as JSON.
pub fn json_answer<T: Serialize>(status: StatusCode, value: &T) -> Response<AnswerBody> {
    encoded_answer(status, serde_json::to_vec(value).unwrap_or_default())
}

/// An answer whose body is the encoded `json`.
pub fn encoded_answer(status: StatusCode, json: impl Into<Bytes>) -> Response<AnswerBody> {
    typed_answer(status, "application/json", json.into())
}

/// An answer with plain text.
pub fn text_answer(status: StatusCode, text: impl Into<Bytes>) -> Response<AnswerBody> {
    typed_answer(status, "text/plain", text.into())
}

fn typed_answer(
    status: StatusCode,
    content_type: &'static str,
    body: Bytes,
) -> Response<AnswerBody> {
    let mut answer = Response::new(full_body(body));
    *answer.status_mut() = status;
    answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    answer
}

/// An answer that streams the events received from `events` until the channel is closed.
pub fn event_answer(events: mpsc::Receiver<Bytes>) -> Response<AnswerBody> {
    let events = stream::unfold(events, |mut events| async move {
        let event = events.recv().await?;
        Some((event, events))
    });
    stream_answer(events)
}

/// An answer that streams `events`; the stream is dropped if the caller disconnects.
pub fn stream_answer(events: impl Stream<Item = Bytes> + Send + 'static) -> Response<AnswerBody> {
    let frames = events.map(|event| Ok::<_, TruncatedAnswer>(Frame::data(event)));
    let mut answer = Response::new(UnsyncBoxBody::new(StreamBody::new(frames)));
    answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    answer
}

/// A body with the given content.
pub(crate) fn full_body(bytes: impl Into<Bytes>) -> AnswerBody {
    UnsyncBoxBody::new(Full::new(bytes.into()).map_err(TruncatedAnswer::from))
}

/// Failure of a JSON call over HTTP.
#[derive(Debug)]
pub enum CallError {
    /// No complete answer was received in time.
    Unreachable(String),
    /// The answer has a status other than success; holds the body as text.
    Status(StatusCode, String),
    /// The request could not be encoded, or the answer is not the expected JSON.
    Invalid(serde_json::Error),
}

impl fmt::Display for CallError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable(cause) => write!(formatter, "no answer: {cause}"),
            Self::Status(status, body) => write!(formatter, "status {status}: {body}"),
            Self::Invalid(error) => write!(formatter, "unexpected answer: {error}"),
        }
    }
}

impl std::error::Error for CallError {}

/// Maximum size of an answer that [`call_json`] reads, in bytes.
const MAX_CALL_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Sends `body` as JSON to `path` at `address` and reads the JSON answer within `time_limit`.
pub async fn call_json<I: Serialize, O: DeserializeOwned>(
    client: &HttpClient,
    method: Method,
    address: SocketAddr,
    path: &str,
    body: Option<&I>,
    time_limit: Duration,
) -> Result<O, CallError> {
    let body = match body {
        Some(body) => serde_json::to_vec(body).map_err(CallError::Invalid)?,
        None => Vec::new(),
    };
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)))
        .map_err(|error| CallError::Unreachable(error.to_string()))?;
    let answer = timeout(time_limit, client.request(request))
        .await
        .map_err(|_| CallError::Unreachable(format!("timeout after {time_limit:?}")))?
        .map_err(|error| CallError::Unreachable(describe_error(&error)))?;
    let status = answer.status();
    let bytes = read_body(answer.into_body(), MAX_CALL_ANSWER_BYTES, time_limit)
        .await
        .map_err(|error| CallError::Unreachable(format!("{error:?}")))?;
    if !status.is_success() {
        return Err(CallError::Status(status, String::from_utf8_lossy(&bytes).into_owned()));
    }
    serde_json::from_slice(&bytes).map_err(CallError::Invalid)
}

/// Text of an error and of its sources, separated by colons.
pub fn describe_error(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}

/// Binds a TCP listener to `address`, with room for a burst of connections.
pub async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let listen = || {
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(LISTEN_BACKLOG)
    };
    listen().map_err(|error: io::Error| {
        io::Error::new(error.kind(), format!("cannot listen on {address}: {error}"))
    })
}
