//! Headers that carry the gateway's metadata of requests, attempts and answers.

use crate::{
    gateway::{
        decision::call::{CallHead, InvalidHeader, PromptPart, PromptParts},
        knowledge::{
            answer_head::AnswerHead,
            send_rate::{StatedLimit, read_brittle},
        },
    },
    name::{AttemptId, UpstreamName, WorkspaceName},
    wire::{
        ATTEMPT_HEADER, LEAVING_HEADER, REFUSED_HEADER, REMAINING_HEADER, UPSTREAM_HEADER,
        WORKSPACE_HEADER,
    },
};
use hyper::{
    HeaderMap, StatusCode,
    header::{HeaderName, HeaderValue, RETRY_AFTER},
};
use std::{fmt::Debug, sync::Arc, time::Duration};

/// Header by which an upstream names the requests per second that it accepts from all entries together.
static LIMIT_HEADER: HeaderName = HeaderName::from_static("x-cicadastall-limit");

/// Header with the number of prompt tokens and the maximum of answer tokens, separated by a comma.
const TOKENS_HEADER: &str = "x-cicadastall-tokens";

/// Header with the parts of the prompt, each as hexadecimal identifier, colon and token count.
const PARTS_HEADER: &str = "x-cicadastall-prompt-parts";

/// Header with the rank of an attempt; 0 is served first.
const RANK_HEADER: &str = "x-cicadastall-rank";

/// Header with the identifier of the last event received of an interrupted answer.
const RESUME_HEADER: &str = "last-event-id";

/// Header with the attempt that brought the first event of the resumed answer.
const RESUMES_HEADER: &str = "x-cicadastall-resumes";

/// Header by which an upstream marks an answer as its own.
const STAMP_HEADER: &str = "x-cicadastall-stamp";

/// Header by which an upstream names the number of refusals in one second at which it ends.
static BRITTLE_HEADER: HeaderName = HeaderName::from_static("x-cicadastall-brittle");

/// Metadata sent to an upstream with an attempt.
#[derive(Debug)]
pub struct AttemptMetadata<'a> {
    /// Identifier of the caller's attempt, which the upstream echoes.
    pub attempt: &'a AttemptId,
    /// Time until the deadline.
    pub remaining: Duration,
    /// The only upstream that may run the attempt; none if the target is another entry.
    pub upstream: Option<&'a UpstreamName>,
    /// Rank; 0 is served first.
    pub rank: u8,
    /// Identifier of the last event that the caller received.
    pub resume_after: Option<&'a str>,
    /// Workspace whose key the request carried.
    pub workspace: Option<&'a WorkspaceName>,
}

/// Translates the gateway's metadata to and from headers.
pub trait CallDialect: Debug + Send + Sync + 'static {
    /// Reads the headers of a caller's request. Fails on a header that is required to be valid.
    fn read_call(&self, headers: &HeaderMap) -> Result<CallHead, InvalidHeader>;

    /// Writes the metadata of an attempt, and removes headers that callers must not set.
    fn write_attempt(&self, headers: &mut HeaderMap, metadata: &AttemptMetadata<'_>);

    /// Path of the readiness check of an entry.
    fn ready_path(&self) -> &'static str;

    /// Reads the head of an upstream's answer.
    fn read_answer_head(&self, status: StatusCode, headers: &HeaderMap) -> AnswerHead;
}

/// The header names of the gateway's own interface.
#[derive(Debug, Clone, Copy, Default)]
pub struct NativeHeaders;

impl CallDialect for NativeHeaders {
    fn ready_path(&self) -> &'static str {
        "/readyz"
    }

    fn read_call(&self, headers: &HeaderMap) -> Result<CallHead, InvalidHeader> {
        let (prompt_tokens, answer_tokens) =
            read_header(headers, TOKENS_HEADER, "two numbers, separated by a comma", parse_pair)?
                .unwrap_or_default();
        Ok(CallHead {
            attempt: headers.get(ATTEMPT_HEADER).and_then(read_text).map(AttemptId::from),
            remaining: read_header(headers, REMAINING_HEADER, "milliseconds", parse_millis)?,
            model: None,
            prompt_tokens,
            answer_tokens,
            estimated_tokens: None,
            parts: read_header(headers, PARTS_HEADER, "parts as NAME:TOKENS", parse_parts)?
                .unwrap_or_default(),
            resume_after: headers.get(RESUME_HEADER).and_then(read_text).map(Arc::from),
            resumes: headers.get(RESUMES_HEADER).and_then(read_text).map(AttemptId::from),
        })
    }

    fn write_attempt(&self, headers: &mut HeaderMap, metadata: &AttemptMetadata<'_>) {
        set_header(headers, ATTEMPT_HEADER, metadata.attempt.as_str());
        set_header(headers, REMAINING_HEADER, &metadata.remaining.as_millis().to_string());
        set_header(headers, RANK_HEADER, &metadata.rank.to_string());
        headers.remove(UPSTREAM_HEADER);
        headers.remove(WORKSPACE_HEADER);
        if let Some(workspace) = metadata.workspace {
            set_header(headers, WORKSPACE_HEADER, workspace.as_str());
        }
        if let Some(upstream) = metadata.upstream {
            set_header(headers, UPSTREAM_HEADER, upstream.as_str());
        }
        if let Some(last) = metadata.resume_after {
            set_header(headers, RESUME_HEADER, last);
        }
    }

    fn read_answer_head(&self, status: StatusCode, headers: &HeaderMap) -> AnswerHead {
        AnswerHead {
            status,
            attempt: headers.get(ATTEMPT_HEADER).and_then(read_text).map(AttemptId::from),
            stamped: headers.contains_key(STAMP_HEADER),
            refused: headers.contains_key(REFUSED_HEADER),
            misdirected: status == StatusCode::MISDIRECTED_REQUEST,
            retry_after: read_retry_after(headers),
            encoded: headers.contains_key(hyper::header::CONTENT_ENCODING),
            leaving: headers.contains_key(LEAVING_HEADER),
            limit: StatedLimit::read(headers, &LIMIT_HEADER),
            brittle: read_brittle(headers, &BRITTLE_HEADER),
        }
    }
}

/// Text of a header, if it is visible ASCII.
pub fn read_text(value: &HeaderValue) -> Option<&str> {
    value.to_str().ok()
}

/// Parses an optional header. A value that `parse` rejects is an error, which names `allowed`.
pub fn read_header<T>(
    headers: &HeaderMap,
    header: &'static str,
    allowed: &'static str,
    parse: impl FnOnce(&str) -> Option<T>,
) -> Result<Option<T>, InvalidHeader> {
    let Some(value) = headers.get(header) else { return Ok(None) };
    let parsed = read_text(value).and_then(parse);
    parsed.map(Some).ok_or(InvalidHeader { header, allowed })
}

/// Parses a whole number of milliseconds.
pub fn parse_millis(text: &str) -> Option<Duration> {
    text.trim().parse().ok().map(Duration::from_millis)
}

/// Parses two whole numbers separated by a comma.
pub fn parse_pair(text: &str) -> Option<(u32, u32)> {
    let (first, second) = text.split_once(',')?;
    Some((first.trim().parse().ok()?, second.trim().parse().ok()?))
}

/// Parses parts of the form `NAME:TOKENS`, separated by commas, with hexadecimal names.
pub fn parse_parts(text: &str) -> Option<PromptParts> {
    let parts = text.split(',').map(|part| {
        let (id, tokens) = part.trim().split_once(':')?;
        Some(PromptPart { id: u64::from_str_radix(id, 16).ok()?, tokens: tokens.parse().ok()? })
    });
    parts.collect()
}

/// Delay of the retry-after header in seconds, possibly with a fraction; none for any other value.
pub fn read_retry_after(headers: &HeaderMap) -> Option<Duration> {
    let text = read_text(headers.get(RETRY_AFTER)?)?.trim();
    let seconds = text.parse().ok().filter(|seconds: &f64| *seconds >= 0.0);
    let Some(seconds) = seconds else {
        log::warn!(retry_after = text; "retry-after header of an upstream is not a number of seconds");
        return None;
    };
    Some(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
}

/// Sets a header. Text that is not a valid header value is logged and left out.
pub fn set_header(headers: &mut HeaderMap, name: &'static str, value: &str) {
    match HeaderValue::from_str(value) {
        Ok(value) => drop(headers.insert(HeaderName::from_static(name), value)),
        Err(error) => log::warn!(header = name; "header omitted, its value is not valid: {error}"),
    }
}
