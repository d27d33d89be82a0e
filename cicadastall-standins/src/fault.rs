//! Faults that a request asks a stand-in to inject.

use cicadastall::name::UpstreamName;

/// Text that precedes the name of a fault in a request.
const FAULT_PREFIX: &str = "fault:";

/// Fault in the answer of a stand-in.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StandinFault {
    /// Runs the request and never answers.
    Silent,
    /// An engine mixes in tokens of an earlier attempt of the same request; a service answers with
    /// that attempt's identifier.
    Late,
    /// An engine mixes in tokens of another request; a service answers with that request's attempt
    /// identifier.
    Crossed,
    /// Ends the answer in the middle.
    Truncated,
    /// Ends the answer in the middle with the marker of a complete answer.
    EarlyEnd,
    /// Omits a token.
    Gap,
    /// Sends each token, or the whole answer of a service, twice.
    Repeated,
    /// Exits the process of the stand-in before an answer.
    Crash,
    /// Exits the process of an engine in the middle of the answer.
    CrashMidway,
}

impl StandinFault {
    /// Parses the first fault marker in `text`: `fault:NAME` for any upstream, or
    /// `fault:NAME@UPSTREAM` for one. Returns `None` for an unknown name or another upstream.
    pub fn parse(text: &str, upstream: &UpstreamName) -> Option<Self> {
        let (_, spec) = text.split_once(FAULT_PREFIX)?;
        let spec = spec.split_whitespace().next()?;
        let (name, target) = spec.split_once('@').unwrap_or((spec, upstream.as_str()));
        if target != upstream.as_str() {
            return None;
        }
        match name {
            "silent" => Some(Self::Silent),
            "late" => Some(Self::Late),
            "crossed" => Some(Self::Crossed),
            "truncated" => Some(Self::Truncated),
            "early-end" => Some(Self::EarlyEnd),
            "gap" => Some(Self::Gap),
            "repeated" => Some(Self::Repeated),
            "crash" => Some(Self::Crash),
            "crash-midway" => Some(Self::CrashMidway),
            _ => None,
        }
    }
}
