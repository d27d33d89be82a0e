//! Headers that concern one connection only, and those that answers of our own carry.

use crate::{
    answer::{Ran, Refusal},
    gateway::hop::RAN_HEADER,
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

/// Header in which a server tells how long it keeps an idle connection.
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Headers that are never passed on.
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

/// Removes the headers that concern one connection, those that it names itself included.
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

/// Time for which the other side keeps an idle connection, if it says so.
pub fn read_keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let seconds = value.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}

/// An answer that carries `refusal`. Its status says that the request has not run exactly if that is
/// so, as far as it concerns requests that were accepted.
pub fn refuse(refusal: &Refusal) -> Response<AnswerBody> {
    let status = refusal.code.status();
    let not_run_statuses = [
        StatusCode::REQUEST_TIMEOUT,
        StatusCode::MISDIRECTED_REQUEST,
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
    ];
    let status = match refusal.ran {
        Ran::Unknown if not_run_statuses.contains(&status) => StatusCode::BAD_GATEWAY,
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
