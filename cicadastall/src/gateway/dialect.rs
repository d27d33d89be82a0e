//! Names under which requests, attempts and answers say what the gateway needs to know.

use crate::{
    gateway::call::{CallHead, InvalidHeader, PromptPart, PromptParts},
    name::{AttemptId, UpstreamName},
    wire::{ATTEMPT_HEADER, LEAVING_HEADER, REFUSED_HEADER, REMAINING_HEADER, UPSTREAM_HEADER},
};
use hyper::{
    HeaderMap, StatusCode,
    header::{HeaderName, HeaderValue, RETRY_AFTER},
};
use std::{fmt::Debug, sync::Arc, time::Duration};

/// Header with the number of prompt tokens and the most answer tokens, separated by a comma.
const TOKENS_HEADER: &str = "x-cicadastall-tokens";

/// Header with the parts of the prompt, each as its name in hexadecimal, a colon and its tokens.
const PARTS_HEADER: &str = "x-cicadastall-prompt-parts";

/// Header with the rank of an attempt; 0 goes first.
const RANK_HEADER: &str = "x-cicadastall-rank";

/// Header with the number of the last event of an answer that broke off.
const RESUME_HEADER: &str = "last-event-id";

/// Header by which an upstream vouches that an answer is its own.
const STAMP_HEADER: &str = "x-cicadastall-stamp";

/// What an attempt tells its upstream.
#[derive(Debug)]
pub struct AttemptMetadata<'a> {
    /// The caller's attempt, which the upstream echoes.
    pub attempt: &'a AttemptId,
    /// Time that is left.
    pub remaining: Duration,
    /// The only upstream that may run it; none where another entry is asked.
    pub upstream: Option<&'a UpstreamName>,
    /// Rank; 0 goes first.
    pub rank: u8,
    /// Number of the last event that the caller has.
    pub resume_after: Option<&'a str>,
}

/// What the head of an upstream's answer says.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AnswerHead {
    /// Status.
    pub status: StatusCode,
    /// Attempt that it answers.
    pub attempt: Option<AttemptId>,
    /// Whether an upstream vouches for it.
    pub stamped: bool,
    /// Whether the upstream says that it did not run the request.
    pub refused: bool,
    /// Whether the answer belongs to another upstream than the expected one.
    pub misdirected: bool,
    /// Time after which the upstream may have room.
    pub retry_after: Option<Duration>,
    /// Whether the body is encoded, which no upstream does.
    pub encoded: bool,
    /// Whether the upstream says that it leaves.
    pub leaving: bool,
}

impl AnswerHead {
    /// Time for which an upstream that has no room wants no more work, if it names one.
    pub fn pause(&self) -> Option<Duration> {
        self.retry_after.filter(|_| self.status == StatusCode::SERVICE_UNAVAILABLE)
    }
}

/// Translation of the gateway's terms to and from headers.
pub trait CallDialect: Debug + Send + Sync + 'static {
    /// Reads the headers of a caller's request.
    fn read_call(&self, headers: &HeaderMap) -> Result<CallHead, InvalidHeader>;

    /// Writes what an attempt tells its upstream, and removes what a caller may not set.
    fn write_attempt(&self, headers: &mut HeaderMap, metadata: &AttemptMetadata<'_>);

    /// Path at which an entry is asked whether it takes callers.
    fn ready_path(&self) -> &'static str;

    /// Reads the head of an upstream's answer.
    fn read_answer_head(&self, status: StatusCode, headers: &HeaderMap) -> AnswerHead;
}

/// The names of our own interface.
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
        })
    }

    fn write_attempt(&self, headers: &mut HeaderMap, metadata: &AttemptMetadata<'_>) {
        set_header(headers, ATTEMPT_HEADER, metadata.attempt.as_str());
        set_header(headers, REMAINING_HEADER, &metadata.remaining.as_millis().to_string());
        set_header(headers, RANK_HEADER, &metadata.rank.to_string());
        headers.remove(UPSTREAM_HEADER);
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
        }
    }
}

/// Text of a header, if it is plain.
pub fn read_text(value: &HeaderValue) -> Option<&str> {
    value.to_str().ok()
}

/// Value of an optional header that must have a form of its own.
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

/// Whole milliseconds.
pub fn parse_millis(text: &str) -> Option<Duration> {
    text.trim().parse().ok().map(Duration::from_millis)
}

/// Two whole numbers, separated by a comma.
pub fn parse_pair(text: &str) -> Option<(u32, u32)> {
    let (first, second) = text.split_once(',')?;
    Some((first.trim().parse().ok()?, second.trim().parse().ok()?))
}

/// Parts as `NAME:TOKENS`, separated by commas; names are hexadecimal.
pub fn parse_parts(text: &str) -> Option<PromptParts> {
    let parts = text.split(',').map(|part| {
        let (id, tokens) = part.trim().split_once(':')?;
        Some(PromptPart { id: u64::from_str_radix(id, 16).ok()?, tokens: tokens.parse().ok()? })
    });
    parts.collect()
}

/// Seconds, possibly with a fraction, after which to come back; none where the header holds no such
/// number.
pub fn read_retry_after(headers: &HeaderMap) -> Option<Duration> {
    let text = read_text(headers.get(RETRY_AFTER)?)?.trim();
    let seconds = text.parse().ok().filter(|seconds: &f64| *seconds >= 0.0);
    let Some(seconds) = seconds else {
        log::warn!(retry_after = text; "retry-after of an upstream not understood");
        return None;
    };
    Some(Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX))
}

/// Sets a header to a text that may be written there; a text that may not is left out.
pub fn set_header(headers: &mut HeaderMap, name: &'static str, value: &str) {
    match HeaderValue::from_str(value) {
        Ok(value) => drop(headers.insert(HeaderName::from_static(name), value)),
        Err(error) => log::warn!(header = name; "header not written: {error}"),
    }
}
