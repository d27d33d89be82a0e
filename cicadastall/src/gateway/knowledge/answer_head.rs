//! Metadata that an upstream states in the head of an answer.

use crate::{gateway::knowledge::send_rate::StatedLimit, name::AttemptId};
use hyper::StatusCode;
use std::time::Duration;

/// Metadata read from the head of an upstream's answer.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AnswerHead {
    /// Status.
    pub status: StatusCode,
    /// Attempt that the upstream echoed.
    pub attempt: Option<AttemptId>,
    /// Whether an upstream marked the answer as its own.
    pub stamped: bool,
    /// Whether the upstream states that it did not run the request.
    pub refused: bool,
    /// Whether another upstream than the expected one answered.
    pub misdirected: bool,
    /// Time after which the upstream may have capacity.
    pub retry_after: Option<Duration>,
    /// Whether the body has a content encoding, which no upstream uses.
    pub encoded: bool,
    /// Whether the upstream announces that it is leaving.
    pub leaving: bool,
    /// Limit of the rate of requests to the upstream.
    pub limit: StatedLimit,
    /// Number of refusals in one second at which the upstream ends, if it is brittle.
    pub brittle: Option<u32>,
}

impl AnswerHead {
    /// Time for which an upstream without capacity (status 503) wants no more work, if it names one.
    pub fn pause(&self) -> Option<Duration> {
        self.retry_after.filter(|_| self.status == StatusCode::SERVICE_UNAVAILABLE)
    }
}
