//! Faults that a request itself orders from a stand-in.

use cicadastall::name::UpstreamName;

/// Text before the name of a fault.
const FAULT_PREFIX: &str = "fault:";

/// What a stand-in does wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StandinFault {
    /// Runs the request and never answers.
    Silent,
    /// Mixes in tokens of an earlier attempt of the same request, or answers under its name.
    Late,
    /// Mixes in tokens of another request, or answers under its name.
    Crossed,
    /// Ends the answer in the middle.
    Truncated,
    /// Ends the answer in the middle with the marker of a whole one.
    EarlyEnd,
    /// Leaves a token out.
    Gap,
    /// Sends everything twice.
    Repeated,
    /// Ends its process.
    Crash,
}

impl StandinFault {
    /// The fault that `text` orders from `upstream`: `fault:NAME`, or `fault:NAME@UPSTREAM` for
    /// one upstream only.
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
            _ => None,
        }
    }
}
