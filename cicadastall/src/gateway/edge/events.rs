//! Buffering of numbered stream events. Only whole events are passed on, so that another upstream can
//! resume the stream after any of them.

use bytes::{Bytes, BytesMut};
use std::sync::Arc;

/// Maximum size of one event in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// An event exceeds the size limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OversizedEvent;

/// Number of consecutively numbered events after which a jump in the numbers counts as a loss.
const MIN_CONSECUTIVE_EVENTS: u32 = 3;

/// Counts the events of a stream that is forwarded as it arrives.
#[derive(Debug, Clone, Copy)]
pub struct EventCounter {
    whole: u32,
    at_line_start: bool,
    inside_event: bool,
}

impl Default for EventCounter {
    fn default() -> Self {
        Self { whole: 0, at_line_start: true, inside_event: false }
    }
}

impl EventCounter {
    /// Adds received bytes.
    pub fn add(&mut self, bytes: &[u8]) {
        for byte in bytes {
            match byte {
                b'\n' if self.at_line_start => {
                    self.whole = self.whole.saturating_add(u32::from(self.inside_event));
                    self.inside_event = false;
                }
                b'\n' => self.at_line_start = true,
                b'\r' => {}
                _ => (self.at_line_start, self.inside_event) = (false, true),
            }
        }
    }

    /// Number of whole events.
    pub fn whole(&self) -> u32 {
        self.whole
    }

    /// Whether the last event is incomplete.
    pub fn is_inside_event(&self) -> bool {
        self.inside_event
    }
}

/// Passes on whole events and holds back the start of the next one.
#[derive(Debug, Default)]
pub struct EventBuffer {
    partial: BytesMut,
    last: Option<Arc<str>>,
    /// Events of this answer whose number is one above that of their predecessor.
    consecutive: u32,
    has_gap: bool,
}

impl EventBuffer {
    /// Creates a buffer for a stream that resumes after the event with id `last`.
    pub fn after(last: Option<Arc<str>>) -> Self {
        Self { last, ..Self::default() }
    }

    /// Id of the last whole event.
    pub fn last(&self) -> Option<&Arc<str>> {
        self.last.as_ref()
    }

    /// Resets the buffer for the answer of another upstream, which resumes after the last whole event.
    pub fn start_answer(&mut self) {
        self.partial.clear();
        self.consecutive = 0;
        self.has_gap = false;
    }

    /// Whether events are missing after the last one passed on.
    pub fn has_gap(&self) -> bool {
        self.has_gap
    }

    /// Whether an incomplete event is buffered.
    pub fn has_partial(&self) -> bool {
        !self.partial.is_empty()
    }

    /// Size of the incomplete event that is buffered, in bytes.
    pub fn partial_bytes(&self) -> usize {
        self.partial.len()
    }

    /// Adds received bytes; returns the events that are now whole, without those already passed on.
    ///
    /// Fails if an incomplete event exceeds the size limit.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Bytes, OversizedEvent> {
        self.partial.extend_from_slice(bytes);
        let mut whole = BytesMut::new();
        while let Some(end) = find_end(&self.partial) {
            let event = self.partial.split_to(end);
            self.has_gap |= self.is_after_gap(&event);
            if self.has_gap {
                self.partial.clear();
                break;
            }
            if self.advance(&event) {
                whole.unsplit(event);
            }
        }
        if self.partial.len() > MAX_EVENT_BYTES {
            return Err(OversizedEvent);
        }
        Ok(whole.freeze())
    }

    /// Whether events are missing before this one. Detected only if the numbers so far rose by one.
    fn is_after_gap(&mut self, event: &[u8]) -> bool {
        let number = |id: &str| id.parse::<u64>().ok();
        let last = self.last.as_deref().and_then(number);
        let (Some(id), Some(last)) = (find_id(event).and_then(number), last) else { return false };
        if id == last + 1 {
            self.consecutive = self.consecutive.saturating_add(1);
            return false;
        }
        id > last && self.consecutive >= MIN_CONSECUTIVE_EVENTS
    }

    /// Whether an event follows all that were passed on; if so, records its id.
    fn advance(&mut self, event: &[u8]) -> bool {
        let Some(id) = find_id(event) else { return true };
        let number = |id: &str| id.parse::<u64>().ok();
        if let Some(last) = &self.last
            && let (Some(id), Some(last)) = (number(id), number(last))
            && id <= last
        {
            return false;
        }
        self.last = Some(id.into());
        true
    }
}

/// Offset of the end of the first whole event.
fn find_end(bytes: &[u8]) -> Option<usize> {
    let mut start = 0;
    while let Some(length) = bytes[start..].iter().position(|byte| *byte == b'\n') {
        let end = start + length;
        let line = &bytes[start..end];
        if line.is_empty() || line == b"\r" {
            return Some(end + 1);
        }
        start = end + 1;
    }
    None
}

fn find_id(event: &[u8]) -> Option<&str> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let id = line.strip_prefix(b"id:")?;
        std::str::from_utf8(id).ok().map(str::trim)
    })
}
