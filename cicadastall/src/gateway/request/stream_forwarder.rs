//! Forwards a streamed answer to the caller, and resumes it on another upstream if it breaks off.

use crate::{
    gateway::{
        decision::tracker::SendEnd,
        document::routes::RepeatRule,
        edge::events::{EventBuffer, EventCounter},
        request::{attempt::StartedAnswer, relay::CallRelay},
    },
    http::{AnswerBody, TruncatedAnswer, describe_error},
};
use bytes::Bytes;
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use std::mem;
use tokio::time::{Instant, timeout_at};

/// Result of one read from the upstream.
enum StreamStep {
    Data(Bytes),
    End,
    Broken(String),
    TimeOver,
}

/// Forwards one streamed answer; dropping it cancels the attempt.
struct StreamForwarder {
    relay: CallRelay,
    answer: Option<StartedAnswer>,
    /// Holds back incomplete events, if another upstream can continue the stream.
    buffer: Option<EventBuffer>,
    /// Events of the current upstream's answer.
    events: EventCounter,
    /// Whether the current upstream has sent a whole event.
    began: bool,
    /// Whether the caller received events of the current upstream's answer.
    passed_on: bool,
    received: Bytes,
    status: u16,
}

/// Body that forwards the streamed `answer`.
pub(crate) fn stream_body(relay: CallRelay, mut answer: StartedAnswer) -> AnswerBody {
    let resumable = relay.call.repeat() == RepeatRule::ResumableStream;
    let buffer = resumable.then(|| EventBuffer::after(relay.resume_after.clone()));
    let received = mem::take(&mut answer.received);
    let status = answer.status.as_u16();
    let forwarder = StreamForwarder {
        relay,
        answer: Some(answer),
        buffer,
        events: EventCounter::default(),
        began: false,
        passed_on: false,
        received,
        status,
    };
    let frames = stream::unfold(Some(forwarder), |forwarder| async {
        let mut forwarder = forwarder?;
        match forwarder.next().await {
            Ok(Some(data)) => Some((Ok(Frame::data(data)), Some(forwarder))),
            Ok(None) => None,
            Err(cut) => Some((Err(cut), None)),
        }
    });
    AnswerBody::new(StreamBody::new(frames))
}

impl StreamForwarder {
    /// The next bytes for the caller; none at the end of a complete answer.
    async fn next(&mut self) -> Result<Option<Bytes>, TruncatedAnswer> {
        loop {
            match self.step().await {
                StreamStep::Data(data) if data.is_empty() => {}
                StreamStep::Data(data) => {
                    self.relay.record.record_data(Instant::now());
                    return Ok(Some(data));
                }
                StreamStep::End => {
                    if let Some(answer) = self.answer.take() {
                        if answer.shows_end()
                            && (self.began || !self.relay.call.repeat().is_stream())
                        {
                            self.relay.note_whole();
                        }
                        answer.finish();
                    }
                    self.relay.record.end("answered", self.status, "");
                    return Ok(None);
                }
                StreamStep::TimeOver => {
                    return Err(self.cut("its time is over".to_owned(), SendEnd::Cancelled));
                }
                StreamStep::Broken(cause) => self.resume(cause).await?,
            }
        }
    }

    /// Reads the next part of the answer, within the request's deadline.
    async fn step(&mut self) -> StreamStep {
        let Some(answer) = &mut self.answer else { return StreamStep::End };
        if self.buffer.as_ref().is_some_and(EventBuffer::has_gap) {
            return StreamStep::Broken("events are missing".to_owned());
        }
        let data = if self.received.is_empty() {
            match timeout_at(self.relay.call.deadline, answer.body.frame()).await {
                Err(_) => return StreamStep::TimeOver,
                Ok(None) if answer.has_events && self.events.is_inside_event() => {
                    return StreamStep::Broken("the stream ended within an event".to_owned());
                }
                Ok(None) if self.buffer.as_ref().is_some_and(EventBuffer::has_partial) => {
                    return StreamStep::Broken("the stream ended within an event".to_owned());
                }
                Ok(None) => {
                    return match timeout_at(self.relay.call.deadline, answer.wait_end()).await {
                        Err(_) => StreamStep::TimeOver,
                        Ok(Err(cause)) => StreamStep::Broken(cause),
                        Ok(Ok(())) => StreamStep::End,
                    };
                }
                Ok(Some(Err(error))) => return StreamStep::Broken(describe_error(&error)),
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            }
        } else {
            mem::take(&mut self.received)
        };
        self.events.add(&data);
        if !self.began && self.events.whole() > 0 {
            self.began = true;
            self.relay.note_began();
        }
        match &mut self.buffer {
            None => StreamStep::Data(data),
            Some(buffer) => match buffer.push(&data) {
                Ok(_) if !self.relay.held.cover(buffer.partial_bytes()) => {
                    StreamStep::Broken("no room is left for an event".to_owned())
                }
                Ok(events) => {
                    if !self.passed_on && !events.is_empty() {
                        self.passed_on = true;
                        self.relay.note_origin(answer);
                    }
                    StreamStep::Data(events)
                }
                Err(_) => StreamStep::Broken("an event is too large".to_owned()),
            },
        }
    }

    /// Continues on another upstream after the last complete event.
    async fn resume(&mut self, cause: String) -> Result<(), TruncatedAnswer> {
        if let Some(mut answer) = self.answer.take() {
            if let Some(known) = &answer.upstream {
                self.relay.note_broken(known, self.began);
            }
            self.relay.continues = Some((answer.status, answer.has_events));
            answer.guard.end(SendEnd::Broken);
        }
        self.events = EventCounter::default();
        self.began = false;
        self.passed_on = false;
        let Some(buffer) = &mut self.buffer else {
            return Err(self.cut(cause, SendEnd::Broken));
        };
        buffer.start_answer();
        let last = buffer.last().cloned();
        log::info!(
            request = self.relay.call.attempt.as_str(), cause = cause.as_str(),
            last_event = last.as_deref().unwrap_or("");
            "stream broke off"
        );
        self.relay.resume_after = last;
        if !self.relay.record_broken_stream() {
            return Err(self.cut(cause, SendEnd::Broken));
        }
        match self.relay.open_before_deadline().await {
            Ok(mut answer) => {
                self.received = mem::take(&mut answer.received);
                self.answer = Some(answer);
                Ok(())
            }
            Err(failure) => {
                let cause = format!("{cause}; not continued: {}", failure.describe());
                Err(self.cut(cause, SendEnd::Broken))
            }
        }
    }

    /// Ends the attempt and the request's record, and returns the error that aborts the answer.
    fn cut(&mut self, cause: String, end: SendEnd) -> TruncatedAnswer {
        if let Some(mut answer) = self.answer.take() {
            answer.guard.end(end);
        }
        self.relay.record.end("cut", self.status, cause);
        TruncatedAnswer
    }
}
