//! Classifies how an attempt ended, and whether an upstream may have run the request.
//!
//! | end | may have run | verdict |
//! |---|---|---|
//! | no connection, or no byte of the request written | no | [`Verdict::NotRun`] |
//! | connection closed, reset or silent after a byte was written | yes | [`Verdict::Unknown`] |
//! | an answer that is not valid HTTP | yes | [`Verdict::Unknown`] |
//! | an answer to another attempt, or to none | yes | [`Verdict::Unknown`] |
//! | refused, or answered by another upstream, with this attempt's identifier | no | [`Verdict::NotRun`] |
//! | the same without an identifier, on a new connection | no | [`Verdict::NotRun`] |
//! | the same without an identifier, on a kept connection | yes | [`Verdict::Unknown`] |
//! | the same on a connection on which this attempt was refused before | yes | [`Verdict::Unknown`] |
//! | success without the upstream's stamp, or with an encoded body | yes | [`Verdict::Unknown`] |
//! | success with the stamp | yes | [`Verdict::Answer`] |
//! | an interim status | yes | [`Verdict::Unknown`] |
//! | another status with the stamp | yes | [`Verdict::Failure`] |
//! | another status without the stamp | yes | [`Verdict::Unknown`] |

use crate::{
    gateway::{edge::connections::ConnectionUse, knowledge::answer_head::AnswerHead},
    name::AttemptId,
};

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
    /// A failure reported by the upstream, which is forwarded if no later attempt succeeds, unless its
    /// status would promise that the request has not run.
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

/// Classifies the head of an answer to `attempt`, received on a connection with the given use
/// before it.
pub fn classify_head(head: &AnswerHead, attempt: &AttemptId, before: ConnectionUse) -> Verdict {
    let own = head.attempt.as_ref().map(|echoed| echoed == attempt);
    if head.refused || head.misdirected {
        // A copy of an earlier refusal on the same connection tells nothing about this attempt.
        let certain = match before {
            ConnectionUse::New => own != Some(false),
            ConnectionUse::Kept => own == Some(true),
            ConnectionUse::Refused => false,
        };
        return if certain { Verdict::NotRun } else { Verdict::Unknown };
    }
    let interim = head.status.is_informational();
    if own != Some(true) || !head.stamped || head.encoded || interim {
        return Verdict::Unknown;
    }
    match head.status.is_success() {
        true => Verdict::Answer,
        false => Verdict::Failure,
    }
}
