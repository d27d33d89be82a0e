//! Scenario callers, which send a request and check every byte of the answer.

use bytes::Bytes;
use cicadastall::{
    answer::{Ran, Refusal},
    http::{HttpClient, read_body},
    sessions::SESSIONS_PATH,
    wire::{
        CallAnswer, CallRequest, ChatChunk, ChatMessage, ChatRequest, END_MARKER, ErrorBody,
        KEY_HEADER, KIND_HEADER, REGION_HEADER, REQUEST_HEADER, RESENT_HEADER, SESSION_HEADER,
        SessionReply, UPSTREAM_HEADER, WORKSPACE_HEADER,
    },
};
use http_body_util::{BodyExt, Full};
use hyper::{HeaderMap, Request, Response, body::Incoming, header::RETRY_AFTER};
use serde_json::json;
use std::{fmt, net::SocketAddr, time::Duration};
use tokio::sync::watch;

/// Maximum size of an answer, in bytes.
const ANSWER_LIMIT: usize = 16 * 1024 * 1024;

/// Timeout of a complete answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(60);

/// Request of one caller.
#[derive(Debug, Clone)]
pub struct CallerRequest {
    pub id: String,
    pub workspace: String,
    pub kind: String,
    pub prompt: String,
    pub tokens: u32,
    pub plain: bool,
    pub session: Option<String>,
    pub key: Option<String>,
    pub resent: bool,
}

/// Outcome of one request as seen by its caller.
#[derive(Debug, Clone, PartialEq)]
pub enum CallerOutcome {
    /// A complete answer to the request.
    Whole { region: String, upstream: String, tokens: u32 },
    /// A refusal without any token, and whether it has a `Retry-After` header.
    Refused(Refusal, bool),
    /// An explicit error after some tokens.
    Interrupted(Refusal),
    /// Bytes that do not belong to the request, or a missing end marker.
    Invalid(String),
    /// No answer, with the cause.
    NoAnswer(String),
}

impl fmt::Display for CallerOutcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Whole { region, tokens: 0, .. } => {
                write!(formatter, "whole answer from {region}")
            }
            Self::Whole { region, tokens, .. } => {
                write!(formatter, "whole answer from {region}, {tokens} tokens")
            }
            Self::Refused(refusal, retry) => write!(
                formatter,
                "refused {}, ran {}{}",
                code(refusal),
                ran(refusal),
                if *retry { ", says when to come back" } else { "" }
            ),
            Self::Interrupted(refusal) => {
                write!(formatter, "ended with {}, ran {}", code(refusal), ran(refusal))
            }
            Self::Invalid(what) => write!(formatter, "WRONG BYTES: {what}"),
            Self::NoAnswer(cause) => write!(formatter, "no answer: {cause}"),
        }
    }
}

fn code(refusal: &Refusal) -> String {
    let code = serde_json::to_value(refusal.code).expect("codes encode");
    code.as_str().expect("codes are text").to_owned()
}

fn ran(refusal: &Refusal) -> &'static str {
    match refusal.ran {
        Ran::No => "no",
        Ran::Unknown => "unknown",
    }
}

impl CallerOutcome {
    /// Whether the outcome matches the argument `until` of a directive: a short name, the region of
    /// a complete answer, or the code and `ran` of a refusal, such as `no_upstream.no`.
    pub fn matches(&self, until: &str) -> bool {
        match self {
            Self::Whole { region, .. } if region == until => true,
            Self::Refused(refusal, _) if until.contains('.') => {
                format!("{}.{}", code(refusal), ran(refusal)) == until
            }
            _ => self.name() == until,
        }
    }

    /// Whether the answer is wrong in every scenario.
    pub fn is_invalid(&self) -> bool {
        matches!(self, Self::Invalid(_))
    }

    /// Short name of an outcome.
    fn name(&self) -> String {
        match self {
            Self::Whole { .. } => "whole".to_owned(),
            Self::Refused(refusal, _) | Self::Interrupted(refusal) => code(refusal),
            Self::Invalid(_) => "wrong".to_owned(),
            Self::NoAnswer(_) => "nothing".to_owned(),
        }
    }
}

/// Sends `request` to the entry at `address` and reads the complete answer.
pub async fn send(
    client: &HttpClient,
    address: SocketAddr,
    request: &CallerRequest,
) -> CallerOutcome {
    send_counted(client, address, request, &watch::Sender::new(0)).await
}

/// Like [`send`]; counts the body frames of the answer in `frames` as they arrive.
pub async fn send_counted(
    client: &HttpClient,
    address: SocketAddr,
    request: &CallerRequest,
    frames: &watch::Sender<u64>,
) -> CallerOutcome {
    let answer = match client.request(build(address, request)).await {
        Ok(answer) => answer,
        Err(error) => return CallerOutcome::NoAnswer(error.to_string()),
    };
    check_answer(answer, request, frames).await
}

/// Opens a session at the entry at `address`; returns its id.
pub async fn ask_session(
    client: &HttpClient,
    address: SocketAddr,
    workspace: &str,
) -> Result<String, String> {
    let request = Request::post(format!("http://{address}{SESSIONS_PATH}"))
        .header(WORKSPACE_HEADER, workspace)
        .body(Full::new(Bytes::new()))
        .expect("a valid request");
    let answer = client.request(request).await.map_err(|error| error.to_string())?;
    let status = answer.status();
    let body = read_body(answer.into_body(), ANSWER_LIMIT, ANSWER_TIMEOUT).await;
    let body = body.map_err(|error| format!("{error:?}"))?;
    let reply = serde_json::from_slice::<SessionReply>(&body).map_err(|_| status.to_string())?;
    Ok(reply.session)
}

fn build(address: SocketAddr, request: &CallerRequest) -> Request<Full<Bytes>> {
    let (path, body) = match request.plain {
        true => {
            let call = CallRequest { arguments: json!({ "ask": request.prompt }) };
            ("/v1/calls", serde_json::to_vec(&call))
        }
        false => {
            let message = ChatMessage { role: "user".to_owned(), content: request.prompt.clone() };
            let chat = ChatRequest {
                model: None,
                messages: vec![message],
                max_tokens: request.tokens,
                stream: true,
                priority: 0,
                resume_from: 0,
            };
            ("/v1/chat/completions", serde_json::to_vec(&chat))
        }
    };
    let mut builder = Request::post(format!("http://{address}{path}"))
        .header(WORKSPACE_HEADER, &request.workspace)
        .header(KIND_HEADER, &request.kind)
        .header(REQUEST_HEADER, &request.id);
    if let Some(session) = &request.session {
        builder = builder.header(SESSION_HEADER, session);
    }
    if let Some(key) = &request.key {
        builder = builder.header(KEY_HEADER, key);
    }
    if request.resent {
        builder = builder.header(RESENT_HEADER, "true");
    }
    builder.body(Full::new(Bytes::from(body.expect("bodies encode")))).expect("a valid request")
}

async fn check_answer(
    answer: Response<Incoming>,
    request: &CallerRequest,
    frames: &watch::Sender<u64>,
) -> CallerOutcome {
    let status = answer.status();
    let headers = answer.headers().clone();
    let counted = answer.into_body().map_frame(|frame| {
        frames.send_modify(|frames| *frames += 1);
        frame
    });
    let body = match read_body(counted, ANSWER_LIMIT, ANSWER_TIMEOUT).await {
        Ok(body) => body,
        Err(error) => return CallerOutcome::Invalid(format!("answer cut off: {error:?}")),
    };
    if !status.is_success() {
        return match serde_json::from_slice::<ErrorBody>(&body) {
            Ok(error) => CallerOutcome::Refused(error.error, headers.contains_key(RETRY_AFTER)),
            Err(_) => CallerOutcome::Invalid(format!("status {status} without an error body")),
        };
    }
    match request.plain {
        true => check_result(&headers, &body, request),
        false => check_stream(&headers, &body, request),
    }
}

fn check_result(headers: &HeaderMap, body: &[u8], request: &CallerRequest) -> CallerOutcome {
    let Ok(answer) = serde_json::from_slice::<CallAnswer>(body) else {
        return CallerOutcome::Invalid("the answer is not a result".to_owned());
    };
    if answer.result["done"]["ask"] != request.prompt.as_str() {
        return CallerOutcome::Invalid(format!("result of another request: {}", answer.result));
    }
    whole_outcome(headers, 0)
}

fn check_stream(headers: &HeaderMap, body: &[u8], request: &CallerRequest) -> CallerOutcome {
    let text = String::from_utf8_lossy(body);
    let mut tokens = 0;
    for data in text.split("\n\n").filter_map(|event| event.strip_prefix("data: ")) {
        if data == END_MARKER {
            return match tokens == request.tokens {
                true => whole_outcome(headers, tokens),
                false => CallerOutcome::Invalid(format!("end marker after {tokens} tokens")),
            };
        }
        if let Ok(error) = serde_json::from_str::<ErrorBody>(data) {
            return CallerOutcome::Interrupted(error.error);
        }
        let Ok(chunk) = serde_json::from_str::<ChatChunk>(data) else {
            return CallerOutcome::Invalid(format!("unreadable event {data:?}"));
        };
        let expected = format!("t{tokens} ");
        if chunk.id != request.id
            || chunk.offset != tokens
            || chunk.choices[0].delta.content != expected
        {
            return CallerOutcome::Invalid(format!("event {data} where token {tokens} was due"));
        }
        tokens += 1;
    }
    CallerOutcome::Invalid(format!("no end marker after {tokens} tokens"))
}

fn whole_outcome(headers: &HeaderMap, tokens: u32) -> CallerOutcome {
    let text = |name| {
        let value = headers.get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or("?").to_owned()
    };
    CallerOutcome::Whole { region: text(REGION_HEADER), upstream: text(UPSTREAM_HEADER), tokens }
}
