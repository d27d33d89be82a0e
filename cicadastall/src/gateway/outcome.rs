//! Classifies how an attempt ended, and whether an upstream may have run the request.
//!
//! | end | may have run | verdict |
//! |---|---|---|
//! | no connection, or no byte of the request written | no | [`Verdict::NotRun`] |
//! | connection closed, reset or silent after a byte was written | yes | [`Verdict::Unknown`] |
//! | an answer that is not valid HTTP | yes | [`Verdict::Unknown`] |
//! | an answer to another attempt, or to none | yes | [`Verdict::Unknown`] |
//! | refused, or answered by another upstream, with this attempt's identifier or none | no | [`Verdict::NotRun`] |
//! | success without the upstream's stamp, or with an encoded body | yes | [`Verdict::Unknown`] |
//! | success with the stamp | yes | [`Verdict::Answer`] |
//! | another status with the stamp | yes | [`Verdict::Failure`] |
//! | another status without the stamp | yes | [`Verdict::Unknown`] |

use crate::{gateway::dialect::AnswerHead, name::AttemptId};

/// Progress of an attempt that ended without the head of an answer, with the cause.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LostAttempt {
    /// No byte of the request was written.
    Unsent(String),
    /// Part of the request was written, and no answer arrived.
    Sent(String),
}

/// Meaning of the end of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The upstream's result, which is forwarded.
    Answer,
    /// A failure reported by the upstream, which is forwarded if no later attempt succeeds.
    Failure,
    /// No upstream has run or will run this attempt.
    NotRun,
    /// An upstream may have run this attempt.
    Unknown,
}

/// Classifies an attempt that ended without the head of an answer.
pub fn classify_loss(lost: &LostAttempt) -> Verdict {
    match lost {
        LostAttempt::Unsent(_) => Verdict::NotRun,
        LostAttempt::Sent(_) => Verdict::Unknown,
    }
}

/// Classifies the head of an answer to `attempt`.
pub fn classify_head(head: &AnswerHead, attempt: &AttemptId) -> Verdict {
    // A late answer to an earlier attempt on the same connection tells nothing about this one.
    let foreign = head.attempt.as_ref().is_some_and(|echoed| echoed != attempt);
    if !foreign && (head.refused || head.misdirected) {
        return Verdict::NotRun;
    }
    if foreign || head.attempt.is_none() || !head.stamped || head.encoded {
        return Verdict::Unknown;
    }
    match head.status.is_success() {
        true => Verdict::Answer,
        false => Verdict::Failure,
    }
}
