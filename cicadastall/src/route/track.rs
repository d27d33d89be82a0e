//! What one entry itself knows of an upstream: its own sends.

use crate::name::UpstreamName;

/// Names one attempt from its sending to its end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SendTicket {
    /// The upstream that got the attempt.
    pub upstream: UpstreamName,
    pub(crate) number: u64,
}

/// Own knowledge of one upstream.
#[derive(Debug, Clone, Default)]
pub(crate) struct UpstreamTrack {
    pub(crate) sends: Vec<u64>,
}

impl UpstreamTrack {
    /// Notes an attempt that is sent now.
    pub(crate) fn note_sent(&mut self, number: u64) {
        self.sends.push(number);
    }

    /// Notes that an attempt ended.
    pub(crate) fn note_ended(&mut self, number: u64) {
        self.sends.retain(|sent| *sent != number);
    }
}
