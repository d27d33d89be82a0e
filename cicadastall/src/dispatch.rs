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
    header::{CONTENT_TYPE, RETRY_AFTER},
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
    let answer = send_request(client, request, remaining).await?;
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
    let answer = send_request(client, request, remaining).await?;
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
    Err(read_refusal(answer, remaining).await)
}

/// Whether a pooled connection turned out to be closed before any byte of the request was written.
fn is_unsent(error: &ClientError) -> bool {
    let cause = error.source().and_then(|cause| cause.downcast_ref::<hyper::Error>());
    cause.is_some_and(hyper::Error::is_canceled)
}

async fn read_refusal(answer: Response<Incoming>, remaining: Duration) -> AttemptError {
    let status = answer.status();
    let refused = answer.headers().contains_key(REFUSED_HEADER);
    let retry_after = answer
        .headers()
        .get(RETRY_AFTER)
        .and_then(|value| value.to_str().ok()?.parse().ok())
        .map(Duration::from_secs);
    let body = read_body(answer.into_body(), MAX_ANSWER_BYTES, remaining).await.unwrap_or_default();
    if let Ok(error) = serde_json::from_slice::<ErrorBody>(&body) {
        return AttemptError::Refused(error.error);
    }
    if !refused {
        return AttemptError::Broken(format!("status {status}"));
    }
    let code = match status {
        StatusCode::TOO_MANY_REQUESTS => RefusalCode::Overloaded,
        _ => RefusalCode::NoUpstream,
    };
    let mut refusal = Refusal::not_run(code, format!("upstream refused with status {status}"));
    refusal.retry_after_ms = retry_after.map(|delay| delay.as_millis() as u64);
    AttemptError::Refused(refusal)
}
