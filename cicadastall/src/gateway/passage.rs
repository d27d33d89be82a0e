//! A streamed answer on its way to the caller, continued by another upstream where it breaks off.

use crate::{
    gateway::{
        attempt::OpenAnswer, events::EventBuffer, relay::CallRelay, routes::RepeatRule,
        tracker::SendEnd,
    },
    http::{AnswerBody, AnswerCut, describe_error},
};
use bytes::Bytes;
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use std::mem;
use tokio::time::{Instant, timeout_at};

/// What is passed on next.
enum PassageStep {
    Data(Bytes),
    End,
    Broken(String),
    TimeOver,
}

/// State of a streamed answer; dropping it cancels the attempt.
struct StreamPassage {
    relay: CallRelay,
    answer: Option<OpenAnswer>,
    /// Holds parts of events back, where another upstream can continue.
    buffer: Option<EventBuffer>,
    first: Bytes,
    status: u16,
}

/// The body of a streamed answer.
pub(crate) fn pass_stream(relay: CallRelay, mut answer: OpenAnswer) -> AnswerBody {
    let resumable = relay.call.repeat() == RepeatRule::ResumableStream;
    let buffer = resumable.then(|| EventBuffer::after(relay.resume_after.clone()));
    let first = mem::take(&mut answer.first);
    let status = answer.status.as_u16();
    let passage = StreamPassage { relay, answer: Some(answer), buffer, first, status };
    let frames = stream::unfold(Some(passage), |passage| async {
        let mut passage = passage?;
        match passage.next().await {
            Ok(Some(data)) => Some((Ok(Frame::data(data)), Some(passage))),
            Ok(None) => None,
            Err(cut) => Some((Err(cut), None)),
        }
    });
    AnswerBody::new(StreamBody::new(frames))
}

impl StreamPassage {
    /// The next bytes for the caller; none once the answer is whole.
    async fn next(&mut self) -> Result<Option<Bytes>, AnswerCut> {
        loop {
            match self.step().await {
                PassageStep::Data(data) if data.is_empty() => {}
                PassageStep::Data(data) => {
                    self.relay.record.note_data(Instant::now());
                    return Ok(Some(data));
                }
                PassageStep::End => {
                    if let Some(answer) = self.answer.take() {
                        answer.finish();
                    }
                    self.relay.record.end("answered", self.status, "");
                    return Ok(None);
                }
                PassageStep::TimeOver => {
                    return Err(self.cut("its time is over".to_owned(), SendEnd::Cancelled));
                }
                PassageStep::Broken(cause) => self.resume(cause).await?,
            }
        }
    }

    async fn step(&mut self) -> PassageStep {
        let Some(answer) = &mut self.answer else { return PassageStep::End };
        if self.buffer.as_ref().is_some_and(EventBuffer::has_gap) {
            return PassageStep::Broken("events are missing".to_owned());
        }
        let data = if self.first.is_empty() {
            match timeout_at(self.relay.call.deadline, answer.body.frame()).await {
                Err(_) => return PassageStep::TimeOver,
                Ok(None) if self.buffer.as_ref().is_some_and(EventBuffer::has_partial) => {
                    return PassageStep::Broken("the stream ended within an event".to_owned());
                }
                Ok(None) => return PassageStep::End,
                Ok(Some(Err(error))) => return PassageStep::Broken(describe_error(&error)),
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            }
        } else {
            mem::take(&mut self.first)
        };
        match &mut self.buffer {
            None => PassageStep::Data(data),
            Some(buffer) => match buffer.push(&data) {
                Ok(events) => PassageStep::Data(events),
                Err(_) => PassageStep::Broken("an event is too large".to_owned()),
            },
        }
    }

    /// Continues on another upstream after the last whole event.
    async fn resume(&mut self, cause: String) -> Result<(), AnswerCut> {
        if let Some(mut answer) = self.answer.take() {
            answer.guard.end(SendEnd::Broken);
        }
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
        if !self.relay.note_broken() {
            return Err(self.cut(cause, SendEnd::Broken));
        }
        match self.relay.open_in_time().await {
            Ok(mut answer) => {
                self.first = mem::take(&mut answer.first);
                self.answer = Some(answer);
                Ok(())
            }
            Err(failure) => {
                let cause = format!("{cause}; not continued: {}", failure.describe());
                Err(self.cut(cause, SendEnd::Broken))
            }
        }
    }

    fn cut(&mut self, cause: String, end: SendEnd) -> AnswerCut {
        if let Some(mut answer) = self.answer.take() {
            answer.guard.end(end);
        }
        self.relay.record.end("cut", self.status, cause);
        AnswerCut
    }
}
