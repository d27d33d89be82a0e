//! HTTP/1 listeners and clients shared by all programs, and their graceful stop.

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
    net::{TcpListener, TcpStream},
    sync::{Semaphore, mpsc, watch},
    time::timeout,
};
use tokio_util::task::TaskTracker;

/// Body of an answer.
pub type AnswerBody = UnsyncBoxBody<Bytes, Infallible>;

/// Client for requests towards upstreams and other entries.
pub type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Longest time to establish a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Limits of one listener.
#[derive(Debug, Clone)]
pub struct ListenerLimits {
    /// Most connections at a time.
    pub connections: usize,
    /// Most bytes of a request's headers.
    pub header_bytes: usize,
    /// Longest time to send the headers.
    pub header_timeout: Duration,
}

impl Default for ListenerLimits {
    fn default() -> Self {
        Self {
            connections: 4_096,
            header_bytes: 32 * 1024,
            header_timeout: Duration::from_secs(10),
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
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            log::warn!("connection from {peer} closed: too many connections");
            continue;
        };
        let handler = handler.clone();
        let stop = stop.clone();
        let limits = limits.clone();
        connections.spawn(async move {
            serve_connection(stream, peer, limits, stop, handler).await;
            drop(permit);
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
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let answer = handler(peer, request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(limits.header_bytes.max(8 * 1024))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = wait_stopped(&mut stop) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = result {
        log::debug!("connection from {peer} ended: {error}");
    }
}

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
        .pool_idle_timeout(Duration::from_secs(20))
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
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut answer = Response::new(full_body(body));
    *answer.status_mut() = status;
    answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    answer
}

/// An answer with plain text.
pub fn text_answer(status: StatusCode, text: impl Into<Bytes>) -> Response<AnswerBody> {
    let mut answer = Response::new(full_body(text));
    *answer.status_mut() = status;
    answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/plain"));
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
    let frames = events.map(|event| Ok::<_, Infallible>(Frame::data(event)));
    let mut answer = Response::new(UnsyncBoxBody::new(StreamBody::new(frames)));
    answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    answer
}

fn full_body(bytes: impl Into<Bytes>) -> AnswerBody {
    UnsyncBoxBody::new(Full::new(bytes.into()))
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
