//! Streams of server-sent events: scanning them, and keeping only what belongs to one attempt.

use crate::{
    name::AttemptId,
    wire::{ChunkView, END_MARKER, ErrorBody},
};
use bytes::{Bytes, BytesMut};

/// Most bytes of one event.
const MAX_EVENT_BYTES: usize = 1024 * 1024;

/// Cuts a stream of bytes into the data of its events.
#[derive(Debug, Default)]
pub struct EventScanner {
    buffer: BytesMut,
}

/// An event that can't be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OversizedEvent;

impl EventScanner {
    /// Adds bytes as they arrive.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Takes the data of the next complete event, or none if more bytes are needed.
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

/// Encodes the data of one event.
pub fn encode_event(data: &[u8]) -> Bytes {
    let mut event = BytesMut::with_capacity(data.len() + 8);
    event.extend_from_slice(b"data: ");
    event.extend_from_slice(data);
    event.extend_from_slice(b"\n\n");
    event.freeze()
}

/// What one event means for the answer.
#[derive(Debug, Clone, PartialEq)]
pub enum StreamStep<'a> {
    /// The next token of the answer.
    Token(ChunkView<'a>),
    /// Nothing: a repeated token, or an event of another attempt.
    Skip,
    /// The answer is whole.
    End,
    /// The sender reports that it cannot go on.
    Failed(ErrorBody),
    /// The stream contradicts itself; nothing more of it may be used.
    Broken(StreamFault),
}

/// Contradictions in a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StreamFault {
    /// Tokens are missing before this one.
    Gap,
    /// The event is not one of the known shapes.
    Unreadable,
    /// The end marker came without a last token.
    EarlyEnd,
}

/// Collects one answer from the streams of successive attempts, each token once and in order.
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

    /// Tokens received so far.
    pub fn next_offset(&self) -> u32 {
        self.next_offset
    }

    /// Judges the data of the next event.
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
