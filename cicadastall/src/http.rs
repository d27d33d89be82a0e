//! HTTP/1 listeners and clients shared by all programs, and their graceful stop.

use crate::{
    answer::{Refusal, RefusalCode},
    limits::CallerLimiter,
    sockets::guard_accepted,
};
use bytes::Bytes;
use futures::stream::{self, Stream, StreamExt};
use http_body_util::{BodyExt, Full, Limited, StreamBody, combinators::UnsyncBoxBody};
use hyper::{
    Method, Request, Response, StatusCode,
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
    sync::Arc,
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::{Semaphore, mpsc, watch},
    time::timeout,
};
use tokio_util::task::TaskTracker;

/// An answer that ends before it is whole; its connection is closed, so that it can't look whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerCut;

impl fmt::Display for AnswerCut {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("the answer broke off")
    }
}

impl std::error::Error for AnswerCut {}

impl From<Infallible> for AnswerCut {
    fn from(error: Infallible) -> Self {
        match error {}
    }
}

/// Body of an answer.
pub type AnswerBody = UnsyncBoxBody<Bytes, AnswerCut>;

/// Client for requests towards upstreams and other entries.
pub type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Longest time to establish a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest time to wait until the other side of an answered connection stops sending.
const LINGER_BOUND: Duration = Duration::from_secs(1);

/// Connections over the limit that are answered at a time; further ones are closed.
const REFUSED_CONNECTIONS: usize = 64;

/// Limits of one listener.
#[derive(Debug, Clone)]
pub struct ListenerLimits {
    /// Most connections at a time, of which one address may have seven eighths.
    pub connections: usize,
    /// Most bytes of a request's headers.
    pub header_bytes: usize,
    /// Longest time to send the headers, and longest rest between two requests.
    pub header_timeout: Duration,
    /// Whether a connection breaks when the other side falls silent.
    pub guarded: bool,
    /// Time for which open connections take a further request after the stop, for those that are on
    /// their way.
    pub idle_grace: Duration,
}

impl Default for ListenerLimits {
    fn default() -> Self {
        Self {
            connections: 4_096,
            header_bytes: 32 * 1024,
            header_timeout: Duration::from_secs(10),
            guarded: false,
            idle_grace: Duration::ZERO,
        }
    }
}

/// Serves `handler` on `listener` until `stop` turns true or its sender is dropped, then lets the
/// requests in flight finish.
///
/// While it drains, connections that were open already are closed after their current request.
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
    let refusals = Arc::new(Semaphore::new(REFUSED_CONNECTIONS));
    loop {
        let (stream, peer) = tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok(accepted) => accepted,
                Err(error) => {
                    log::warn!("accept failed: {error}");
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
    let prepared = match limits.guarded {
        true => guard_accepted(&stream),
        false => stream.set_nodelay(true),
    };
    if let Err(error) = prepared {
        log::debug!("socket options of {peer} not set: {error}");
    }
    let service = service_fn(move |request| {
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
    if let Err(error) = result {
        log::debug!("connection from {peer} ended: {error}");
    }
    let parts = connection.into_parts();
    let stream = parts.io.into_inner();
    match timed_out && !parts.read_buf.is_empty() {
        true => refuse_connection(stream, StatusCode::REQUEST_TIMEOUT).await,
        false => linger(stream).await,
    }
}

/// Answers a connection whose request is not read any further, and closes it.
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
    let sent = timeout(LINGER_BOUND, stream.write_all(answer.as_bytes()));
    if let Ok(Ok(())) = sent.await {
        linger(stream).await;
    }
}

/// Ends the sending side, so that the other side sends no further request, and discards what it
/// still sends, for a bounded time.
///
/// Closing a connection with unread bytes resets it, and the other side may lose the answer.
async fn linger(mut stream: TcpStream) {
    let mut discarded = [0; 4 * 1024];
    let closed = async {
        stream.shutdown().await?;
        while stream.read(&mut discarded).await? > 0 {}
        io::Result::Ok(())
    };
    let _ = timeout(LINGER_BOUND, closed).await;
}

/// Time after which an unused connection is not used again; shorter than the time after which a
/// listener closes it, so that a request does not meet the close.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// A client that keeps up to `idle` connections open to each address.
pub fn client(idle: usize) -> HttpClient {
    client_from(None, idle)
}

/// A client that connects from `source` and keeps up to `idle` connections open to each address.
pub fn client_from(source: Option<IpAddr>, idle: usize) -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_local_address(source);
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    Client::builder(TokioExecutor::new())
        .pool_max_idle_per_host(idle)
        .pool_idle_timeout(POOL_IDLE_TIMEOUT)
        .pool_timer(TokioTimer::new())
        .retry_canceled_requests(false)
        .build(connector)
}

/// Why a body could not be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// More bytes than allowed.
    TooLarge,
    /// Not sent in time.
    TooSlow,
    /// The connection failed.
    Broken,
}

/// Reads a whole body of at most `limit` bytes within `bound`.
pub async fn read_body<B>(body: B, limit: usize, bound: Duration) -> Result<Bytes, BodyError>
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    if body.size_hint().lower() > limit as u64 {
        return Err(BodyError::TooLarge);
    }
    let read = timeout(bound, Limited::new(body, limit).collect());
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

/// An answer with a value that is encoded as JSON already.
pub fn encoded_answer(status: StatusCode, json: impl Into<Bytes>) -> Response<AnswerBody> {
    typed_answer(status, "application/json", json.into())
}

/// An answer with plain text.
pub fn text_answer(status: StatusCode, text: impl Into<Bytes>) -> Response<AnswerBody> {
    typed_answer(status, "text/plain", text.into())
}

fn typed_answer(status: StatusCode, content: &'static str, body: Bytes) -> Response<AnswerBody> {
    let mut answer = Response::new(full_body(body));
    *answer.status_mut() = status;
    answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content));
    answer
}

/// An answer whose body is the events sent into `events`, ended by closing the channel.
pub fn event_answer(events: mpsc::Receiver<Bytes>) -> Response<AnswerBody> {
    let events = stream::unfold(events, |mut events| async move {
        let event = events.recv().await?;
        Some((event, events))
    });
    stream_answer(events)
}

/// An answer whose body is `events`; they are dropped when the caller hangs up.
pub fn stream_answer(events: impl Stream<Item = Bytes> + Send + 'static) -> Response<AnswerBody> {
    let frames = events.map(|event| Ok::<_, AnswerCut>(Frame::data(event)));
    let mut answer = Response::new(UnsyncBoxBody::new(StreamBody::new(frames)));
    answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    answer
}

/// A body that is whole at once.
pub(crate) fn full_body(bytes: impl Into<Bytes>) -> AnswerBody {
    UnsyncBoxBody::new(Full::new(bytes.into()).map_err(AnswerCut::from))
}

/// Why a JSON call over HTTP failed.
#[derive(Debug)]
pub enum CallError {
    /// No answer in time, or none at all.
    Unreachable(String),
    /// The answer has another status than success; the body is given as text.
    Status(StatusCode, String),
    /// The answer is not the JSON that was expected.
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

/// Most bytes of an answer that [`call_json`] reads.
const CALL_ANSWER_LIMIT: usize = 64 * 1024 * 1024;

/// Sends `body` as JSON to `path` at `address` and reads the JSON answer within `bound`.
pub async fn call_json<I: Serialize, O: DeserializeOwned>(
    client: &HttpClient,
    method: Method,
    address: SocketAddr,
    path: &str,
    body: Option<&I>,
    bound: Duration,
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
    let answer = timeout(bound, client.request(request))
        .await
        .map_err(|_| CallError::Unreachable(format!("timeout after {bound:?}")))?
        .map_err(|error| CallError::Unreachable(describe_error(&error)))?;
    let status = answer.status();
    let bytes = read_body(answer.into_body(), CALL_ANSWER_LIMIT, bound)
        .await
        .map_err(|error| CallError::Unreachable(format!("{error:?}")))?;
    if !status.is_success() {
        return Err(CallError::Status(status, String::from_utf8_lossy(&bytes).into_owned()));
    }
    serde_json::from_slice(&bytes).map_err(CallError::Invalid)
}

/// Text of an error and of its causes.
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

/// Binds a TCP listener to `address`.
pub async fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    TcpListener::bind(address).await.map_err(|error| {
        io::Error::new(error.kind(), format!("cannot listen on {address}: {error}"))
    })
}
