//! Sends one attempt of a request to an upstream of this zone or to an entry of another zone.

use crate::{
    answer::{Ran, Refusal, RefusalCode},
    decode::RequestPlan,
    http::{HttpClient, describe_error, read_body},
    name::{AttemptId, RegionName},
    stream::EventScanner,
    wire::{
        ACKNOWLEDGED_HEADER, ATTEMPT_HEADER, CallAnswer, CallRequest, ChatRequest, ErrorBody,
        FORWARDED_HEADER, KEY_HEADER, KIND_HEADER, REFUSED_HEADER, REMAINING_HEADER,
        REQUEST_HEADER, RESENT_HEADER, SESSION_HEADER, WORKSPACE_HEADER,
    },
};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER},
    http::request::Builder,
};
use hyper_util::client::legacy::Error as ClientError;
use std::{error::Error, net::SocketAddr, time::Duration};
use tokio::time::timeout;

/// Maximum size of a plain service's answer and of an error body, in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Path of chat completions at entries and model engines.
pub const CHAT_PATH: &str = "/v1/chat/completions";

/// Path of calls at entries and plain services.
pub const CALL_PATH: &str = "/v1/calls";

/// Where an attempt is sent.
#[derive(Debug, Clone)]
pub enum AttemptTarget {
    /// An upstream of this zone.
    Upstream {
        /// Address of its HTTP interface.
        address: SocketAddr,
        /// Priority of the request; lower numbers run first.
        priority: i32,
    },
    /// An entry of another zone.
    Entry {
        /// Address on which the entry serves callers.
        address: SocketAddr,
        /// Region of the forwarding entry, sent in a header.
        from: RegionName,
    },
}

impl AttemptTarget {
    fn address(&self) -> SocketAddr {
        match self {
            Self::Upstream { address, .. } | Self::Entry { address, .. } => *address,
        }
    }

    /// Priority for the upstream; 0 for another entry, which computes the priority itself.
    fn priority(&self) -> i32 {
        match self {
            Self::Upstream { priority, .. } => *priority,
            Self::Entry { .. } => 0,
        }
    }
}

/// Failure of an attempt.
#[derive(Debug, Clone, PartialEq)]
pub enum AttemptError {
    /// The request was not sent.
    Unreachable(String),
    /// The target answered with an error or reported that it refused the request.
    Refused(Refusal),
    /// The answer is missing or incomplete; the target may have run the request.
    Broken(String),
}

impl AttemptError {
    /// Whether the attempt may have run the request.
    pub fn ran(&self) -> Ran {
        match self {
            Self::Unreachable(_) => Ran::No,
            Self::Refused(refusal) => refusal.ran,
            Self::Broken(_) => Ran::Unknown,
        }
    }

    /// The answer to the caller if no further attempt is made.
    pub fn into_refusal(self) -> Refusal {
        match self {
            Self::Unreachable(cause) => Refusal::not_run(RefusalCode::UpstreamFailed, cause),
            Self::Refused(refusal) => refusal,
            Self::Broken(cause) => Refusal::unknown(RefusalCode::UpstreamFailed, cause),
        }
    }
}

/// The attempt that a refusal must name so that it certainly answers the request.
#[derive(Debug, Clone, Copy)]
enum ExpectedEcho<'a> {
    /// None: the target is an entry, which writes one answer to each request.
    None,
    /// This one, if the refusal names any: requests that may not be repeated get a new connection.
    Optional(&'a AttemptId),
    /// This one: on a pooled connection, a faulty upstream may write an earlier refusal once more.
    Required(&'a AttemptId),
}

impl<'a> ExpectedEcho<'a> {
    fn new(target: &AttemptTarget, plan: &RequestPlan, attempt: &'a AttemptId) -> Self {
        match target {
            AttemptTarget::Entry { .. } => Self::None,
            AttemptTarget::Upstream { .. } if plan.repeatable => Self::Required(attempt),
            AttemptTarget::Upstream { .. } => Self::Optional(attempt),
        }
    }

    /// Whether a refusal that names `echoed` certainly answers the request.
    fn matches(self, echoed: Option<&str>) -> bool {
        match self {
            Self::None => true,
            Self::Optional(attempt) => echoed.is_none_or(|echoed| echoed == attempt.as_str()),
            Self::Required(attempt) => echoed == Some(attempt.as_str()),
        }
    }
}

/// Opens the stream of a chat completion, starting at token number `resume_from`.
pub async fn open_stream(
    client: &HttpClient,
    target: &AttemptTarget,
    plan: &RequestPlan,
    chat: &ChatRequest,
    attempt: &AttemptId,
    resume_from: u32,
    remaining: Duration,
) -> Result<AttemptStream, AttemptError> {
    let body = ChatRequest {
        model: plan.model.clone(),
        stream: true,
        priority: target.priority(),
        resume_from,
        ..chat.clone()
    };
    let request = build_request(target, plan, CHAT_PATH, attempt, &body, remaining)?;
    let echo = ExpectedEcho::new(target, plan, attempt);
    let answer = send_request(client, request, echo, remaining).await?;
    Ok(AttemptStream { body: answer.into_body(), scanner: EventScanner::default() })
}

/// Calls a plain service and returns its result.
pub async fn call_service(
    client: &HttpClient,
    target: &AttemptTarget,
    plan: &RequestPlan,
    call: &CallRequest,
    attempt: &AttemptId,
    remaining: Duration,
) -> Result<serde_json::Value, AttemptError> {
    let request = build_request(target, plan, CALL_PATH, attempt, call, remaining)?;
    let echo = ExpectedEcho::new(target, plan, attempt);
    let answer = send_request(client, request, echo, remaining).await?;
    let bytes = read_body(answer.into_body(), MAX_ANSWER_BYTES, remaining)
        .await
        .map_err(|error| AttemptError::Broken(format!("answer not read: {error:?}")))?;
    let answer: CallAnswer = serde_json::from_slice(&bytes)
        .map_err(|error| AttemptError::Broken(format!("answer not valid: {error}")))?;
    if answer.attempt != *attempt {
        return Err(AttemptError::Broken(format!("answer belongs to attempt {}", answer.attempt)));
    }
    Ok(answer.result)
}

/// Event stream of one attempt.
#[derive(Debug)]
pub struct AttemptStream {
    body: Incoming,
    scanner: EventScanner,
}

impl AttemptStream {
    /// Data of the next event, or `None` at the end of the stream.
    ///
    /// Fails with [`AttemptError::Broken`] if the connection fails or an event is too large.
    pub async fn next_event(&mut self) -> Result<Option<Bytes>, AttemptError> {
        loop {
            let scanned = self.scanner.scan_event();
            if let Some(event) =
                scanned.map_err(|_| AttemptError::Broken("event too large".to_owned()))?
            {
                return Ok(Some(event));
            }
            let Some(frame) = self.body.frame().await else {
                return Ok(None);
            };
            let frame = frame.map_err(|error| AttemptError::Broken(describe_error(&error)))?;
            if let Some(bytes) = frame.data_ref() {
                self.scanner.push(bytes);
            }
        }
    }
}

fn build_request<T: serde::Serialize>(
    target: &AttemptTarget,
    plan: &RequestPlan,
    path: &str,
    attempt: &AttemptId,
    body: &T,
    remaining: Duration,
) -> Result<Request<Full<Bytes>>, AttemptError> {
    let address = target.address();
    let body = serde_json::to_vec(body)
        .map_err(|error| AttemptError::Unreachable(format!("body not encoded: {error}")))?;
    let mut request = Request::post(format!("http://{address}{path}"))
        .header(CONTENT_TYPE, "application/json")
        .header(WORKSPACE_HEADER, plan.workspace.as_str())
        .header(KIND_HEADER, plan.kind.as_str())
        .header(ATTEMPT_HEADER, attempt.as_str());
    if let Some(key) = &plan.key {
        request = request.header(KEY_HEADER, key.as_str());
    }
    if let AttemptTarget::Entry { from, .. } = target {
        request = request
            .header(REQUEST_HEADER, attempt.as_str())
            .header(FORWARDED_HEADER, from.as_str())
            .header(REMAINING_HEADER, remaining.as_millis().to_string());
        request = add_session_headers(request, plan);
    }
    request
        .body(Full::new(Bytes::from(body)))
        .map_err(|error| AttemptError::Unreachable(format!("request not built: {error}")))
}

/// Adds the headers that the ledger of the home region needs.
fn add_session_headers(mut request: Builder, plan: &RequestPlan) -> Builder {
    if let Some(session) = &plan.session {
        request = request.header(SESSION_HEADER, session);
    }
    if plan.resent {
        request = request.header(RESENT_HEADER, "true");
    }
    for key in &plan.acknowledged {
        request = request.header(ACKNOWLEDGED_HEADER, key.as_str());
    }
    request
}

async fn send_request(
    client: &HttpClient,
    request: Request<Full<Bytes>>,
    echo: ExpectedEcho<'_>,
    remaining: Duration,
) -> Result<Response<Incoming>, AttemptError> {
    let answer = match timeout(remaining, client.request(request)).await {
        Err(_) => return Err(AttemptError::Broken(format!("no answer within {remaining:?}"))),
        Ok(Err(error)) if error.is_connect() || is_unsent(&error) => {
            return Err(AttemptError::Unreachable(describe_error(&error)));
        }
        Ok(Err(error)) => return Err(AttemptError::Broken(describe_error(&error))),
        Ok(Ok(answer)) => answer,
    };
    if answer.status().is_success() {
        return Ok(answer);
    }
    Err(read_refusal(answer, echo, remaining).await)
}

/// Whether a pooled connection turned out to be closed before any byte of the request was written.
fn is_unsent(error: &ClientError) -> bool {
    let cause = error.source().and_then(|cause| cause.downcast_ref::<hyper::Error>());
    cause.is_some_and(hyper::Error::is_canceled)
}

async fn read_refusal(
    answer: Response<Incoming>,
    echo: ExpectedEcho<'_>,
    remaining: Duration,
) -> AttemptError {
    let (head, body) = answer.into_parts();
    let status = head.status;
    let text = |name| head.headers.get(name).and_then(|value: &HeaderValue| value.to_str().ok());
    let body = read_body(body, MAX_ANSWER_BYTES, remaining).await.unwrap_or_default();
    if let Ok(ErrorBody { request, mut error }) = serde_json::from_slice(&body) {
        if !echo.matches(Some(request.as_str())) {
            error.ran = Ran::Unknown;
        }
        return AttemptError::Refused(error);
    }
    if !head.headers.contains_key(REFUSED_HEADER) {
        return AttemptError::Broken(format!("status {status}"));
    }
    let code = match status {
        StatusCode::TOO_MANY_REQUESTS => RefusalCode::Overloaded,
        _ => RefusalCode::NoUpstream,
    };
    let mut refusal = Refusal::not_run(code, format!("upstream refused with status {status}"));
    let retry_after = text(RETRY_AFTER.as_str()).and_then(|text| text.parse().ok());
    refusal.retry_after_ms = retry_after.map(|delay| Duration::from_secs(delay).as_millis() as u64);
    if !echo.matches(text(ATTEMPT_HEADER)) {
        refusal.ran = Ran::Unknown;
    }
    AttemptError::Refused(refusal)
}
