//! Server-sent events: parses an event stream and assembles one answer from the streams of
//! successive attempts.

use crate::{
    name::AttemptId,
    wire::{ChunkView, END_MARKER, ErrorBody},
};
use bytes::{Bytes, BytesMut};

/// Maximum size of one event, in bytes.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Splits a byte stream into events and extracts their data.
#[derive(Debug, Default)]
pub struct EventScanner {
    buffer: BytesMut,
}

/// Error for an event that exceeds the size limit of 1 MiB.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OversizedEvent;

impl EventScanner {
    /// Appends received bytes to the buffer.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the data of the next complete event and removes it from the buffer; `None` if more
    /// bytes are needed. Fails if an incomplete event exceeds the size limit.
    pub fn scan_event(&mut self) -> Result<Option<Bytes>, OversizedEvent> {
        loop {
            let Some(end) = find_blank_line(&self.buffer) else {
                let oversized = self.buffer.len() > MAX_EVENT_BYTES;
                return if oversized { Err(OversizedEvent) } else { Ok(None) };
            };
            let event = self.buffer.split_to(end + 2).freeze();
            if let Some(data) = scan_data(&event) {
                return Ok(Some(data));
            }
        }
    }
}

fn find_blank_line(buffer: &[u8]) -> Option<usize> {
    buffer.windows(2).position(|pair| pair == b"\n\n")
}

fn scan_data(event: &Bytes) -> Option<Bytes> {
    let start = event.split(|byte| *byte == b'\n').find_map(|line| {
        let data = line.strip_prefix(b"data:")?;
        Some(data.strip_prefix(b" ").unwrap_or(data))
    })?;
    Some(event.slice_ref(start))
}

/// Encodes `data`, which must not contain line breaks, as one event.
pub fn encode_event(data: &[u8]) -> Bytes {
    let mut event = BytesMut::with_capacity(data.len() + 8);
    event.extend_from_slice(b"data: ");
    event.extend_from_slice(data);
    event.extend_from_slice(b"\n\n");
    event.freeze()
}

/// Effect of one event on the answer.
#[derive(Debug, Clone, PartialEq)]
pub enum StreamStep<'a> {
    /// The next token of the answer.
    Token(ChunkView<'a>),
    /// Ignored: a repeated token, or an event of another attempt.
    Skip,
    /// The answer is complete.
    End,
    /// The sender reports an error and ends the stream.
    Failed(ErrorBody),
    /// The stream violates the protocol; the rest of it must be discarded.
    Broken(StreamFault),
}

/// Protocol violations in a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamFault {
    /// One or more tokens before this one are missing.
    Gap,
    /// The data is neither a chunk nor an error body.
    Unreadable,
    /// The end marker arrived before a chunk with a finish reason.
    EarlyEnd,
}

/// Assembles one answer from the streams of successive attempts, with each token once and in order.
#[derive(Debug)]
pub struct AnswerAssembler {
    attempt: AttemptId,
    next_offset: u32,
    finished: bool,
}

impl AnswerAssembler {
    /// An assembler that expects its first token from `attempt`.
    pub fn new(attempt: AttemptId) -> Self {
        Self { attempt, next_offset: 0, finished: false }
    }

    /// Continues with the stream of another attempt.
    pub fn resume(&mut self, attempt: AttemptId) {
        self.attempt = attempt;
    }

    /// Offset of the next expected token, which is the number of tokens received so far.
    pub fn next_offset(&self) -> u32 {
        self.next_offset
    }

    /// Processes the data of the next event.
    pub fn accept<'a>(&mut self, data: &'a [u8]) -> StreamStep<'a> {
        if data == END_MARKER.as_bytes() {
            return match self.finished {
                true => StreamStep::End,
                false => StreamStep::Broken(StreamFault::EarlyEnd),
            };
        }
        if let Ok(chunk) = serde_json::from_slice(data) {
            return self.accept_chunk(chunk);
        }
        match serde_json::from_slice::<ErrorBody>(data) {
            Ok(error) if error.request.as_str() == self.attempt.as_str() => {
                StreamStep::Failed(error)
            }
            Ok(_) => StreamStep::Skip,
            Err(_) => StreamStep::Broken(StreamFault::Unreadable),
        }
    }

    fn accept_chunk<'a>(&mut self, chunk: ChunkView<'a>) -> StreamStep<'a> {
        if chunk.id != self.attempt.as_str() || chunk.offset < self.next_offset || self.finished {
            return StreamStep::Skip;
        }
        if chunk.offset > self.next_offset {
            return StreamStep::Broken(StreamFault::Gap);
        }
        self.next_offset += 1;
        self.finished = chunk.choices.iter().any(|choice| choice.finish_reason.is_some());
        StreamStep::Token(chunk)
    }
}
