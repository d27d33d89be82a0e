//! Connection-specific headers, and answers that the gateway gives itself.

use crate::{
    answer::{Ran, Refusal, RefusalCode},
    gateway::edge::hop::RAN_HEADER,
    http::{AnswerBody, json_answer},
};
use hyper::{
    HeaderMap, Response, StatusCode,
    header::{
        CONNECTION, CONTENT_LENGTH, EXPECT, HeaderName, HeaderValue, PROXY_AUTHENTICATE,
        PROXY_AUTHORIZATION, RETRY_AFTER, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
    },
};
use std::time::Duration;

/// Header with the time for which a server keeps an idle connection.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Headers that are never forwarded.
const CONNECTION_HEADERS: [HeaderName; 10] = [
    CONNECTION,
    KEEP_ALIVE,
    PROXY_AUTHENTICATE,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    EXPECT,
    CONTENT_LENGTH,
];

/// Statuses that callers read as a promise that the request has not run and will not.
const NOT_RUN_STATUSES: [StatusCode; 4] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// Whether callers read `status` as a promise that the request has not run and will not.
pub fn promises_not_run(status: StatusCode) -> bool {
    NOT_RUN_STATUSES.contains(&status)
}

/// Removes connection-specific headers, including those named by the `connection` header.
pub fn strip_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&CONNECTION_HEADERS) {
        headers.remove(name);
    }
}

/// Time for which the other side keeps an idle connection, if the `keep-alive` header states one.
pub fn read_keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let seconds = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}

/// Builds the answer for `refusal`. For accepted requests the status alone tells whether the request
/// may have run: statuses that callers read as not run are used only if no upstream has run it.
pub fn refuse(refusal: &Refusal) -> Response<AnswerBody> {
    let status = match refusal.code {
        // For callers, its own status would say nothing about whether the request has run.
        RefusalCode::Quarantined => StatusCode::SERVICE_UNAVAILABLE,
        code => code.status(),
    };
    let status = match refusal.ran {
        Ran::Unknown if promises_not_run(status) => StatusCode::BAD_GATEWAY,
        Ran::No if status.is_server_error() => StatusCode::SERVICE_UNAVAILABLE,
        _ => status,
    };
    let mut answer = json_answer(status, &serde_json::json!({ "error": refusal }));
    let ran = match refusal.ran {
        Ran::No => "no",
        Ran::Unknown => "unknown",
    };
    answer.headers_mut().insert(RAN_HEADER, HeaderValue::from_static(ran));
    if let Some(delay) = refusal.retry_after_ms
        && let Ok(value) = HeaderValue::from_str(&format!("{:.3}", delay as f64 / 1_000.0))
    {
        answer.headers_mut().insert(RETRY_AFTER, value);
    }
    answer
}
