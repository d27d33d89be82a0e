//! What the end of an attempt means for the request.
//!
//! | end | may have run | verdict |
//! |---|---|---|
//! | no connection, or no byte of the request written | no | [`Verdict::NotRun`] |
//! | connection closed, reset or silent after a byte was written | yes | [`Verdict::Unknown`] |
//! | an answer that is not valid HTTP | yes | [`Verdict::Unknown`] |
//! | an answer to another attempt, or to none | yes | [`Verdict::Unknown`] |
//! | refused, or answered by another upstream, with our attempt's name or none | no | [`Verdict::NotRun`] |
//! | success without the upstream's stamp, or with an encoded body | yes | [`Verdict::Unknown`] |
//! | success with the stamp | yes | [`Verdict::Answer`] |
//! | another status with the stamp | yes | [`Verdict::Failure`] |
//! | another status without the stamp | yes | [`Verdict::Unknown`] |

use crate::{gateway::dialect::AnswerHead, name::AttemptId};

/// How far an attempt came before it ended without the head of an answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LostAttempt {
    /// No byte of the request was written.
    Unsent(String),
    /// Something was written, and no answer came.
    Sent(String),
}

/// What the end of an attempt means.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The upstream's result, to be passed on.
    Answer,
    /// The upstream's own failure, to be passed on if nothing better comes.
    Failure,
    /// No upstream has run or will run this attempt.
    NotRun,
    /// The upstream may have run it.
    Unknown,
}

/// Judges an attempt that ended without the head of an answer.
pub fn classify_loss(lost: &LostAttempt) -> Verdict {
    match lost {
        LostAttempt::Unsent(_) => Verdict::NotRun,
        LostAttempt::Sent(_) => Verdict::Unknown,
    }
}

/// Judges the head of an answer to `attempt`.
pub fn classify_head(head: &AnswerHead, attempt: &AttemptId) -> Verdict {
    // A late answer to an earlier attempt on the same connection says nothing of this one.
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
