//! Serves one request: attempts in turn until the answer is whole or no further attempt is allowed.

use crate::{
    answer::{Ran, Refusal, RefusalCode},
    decode::RequestPlan,
    dispatch::{AttemptError, AttemptTarget, call_service, open_stream},
    entry::EntryContext,
    name::{AttemptId, RegionName, UpstreamName},
    prefix::PromptShape,
    retry::permits_attempt,
    route::{RouteDecision, TriedTargets, UpstreamChoice, track::SendTicket},
    stream::{AnswerAssembler, StreamStep, encode_event},
    wire::{CallRequest, ChatChunk, ChatRequest, END_MARKER, ErrorBody},
};
use bytes::Bytes;
use std::{sync::Arc, time::Duration};
use tokio::{
    sync::mpsc,
    time::{Instant, sleep_until, timeout_at},
};

/// Who gave an answer.
#[derive(Debug, Clone, PartialEq)]
pub struct AnswerSource {
    /// Region that ran the request.
    pub region: RegionName,
    /// Upstream that ran it, where it is in this zone.
    pub upstream: Option<UpstreamName>,
}

/// Start of a streamed answer: its source, and the events to pass on.
#[derive(Debug)]
pub struct RelayedStream {
    /// Who gave the first token.
    pub source: AnswerSource,
    /// Events of the answer.
    pub events: mpsc::Receiver<Bytes>,
}

/// Serves the attempts of one request.
#[derive(Debug)]
pub(crate) struct RequestRelay {
    context: Arc<EntryContext>,
    plan: Arc<RequestPlan>,
    shape: PromptShape,
    tried: TriedTargets,
    attempts: u32,
    deadline: Instant,
    ran: Ran,
}

/// An attempt that has a target.
#[derive(Debug)]
struct OpenAttempt {
    id: AttemptId,
    target: AttemptTarget,
    source: AnswerSource,
    _slot: AttemptSlot,
}

/// Counts an attempt as sent until it is dropped.
#[derive(Debug)]
struct AttemptSlot {
    context: Arc<EntryContext>,
    ticket: Option<SendTicket>,
}

impl Drop for AttemptSlot {
    fn drop(&mut self) {
        if let Some(ticket) = &self.ticket {
            self.context.router().note_ended(ticket);
        }
    }
}

impl RequestRelay {
    pub(crate) fn new(context: Arc<EntryContext>, plan: RequestPlan, now: Instant) -> Self {
        let deadline = now + plan.deadline;
        Self {
            context,
            shape: PromptShape::of(&plan.body),
            plan: Arc::new(plan),
            tried: TriedTargets::default(),
            attempts: 0,
            deadline,
            ran: Ran::No,
        }
    }

    /// Calls a plain service.
    pub(crate) async fn run_call(
        mut self,
        call: &CallRequest,
    ) -> Result<(AnswerSource, serde_json::Value), Refusal> {
        loop {
            let attempt = self.open_attempt().await?;
            let client = self.context.client(self.plan.repeatable);
            let answer = call_service(
                client,
                &attempt.target,
                &self.plan,
                call,
                &attempt.id,
                self.remaining(),
            );
            match answer.await {
                Ok(result) => return Ok((attempt.source, result)),
                Err(error) => self.judge_failure(&attempt, error)?,
            }
        }
    }

    /// Starts a streamed answer; returns once its first token has arrived.
    pub(crate) async fn start_stream(
        mut self,
        chat: ChatRequest,
    ) -> Result<RelayedStream, Refusal> {
        loop {
            let attempt = self.open_attempt().await?;
            let mut assembler = AnswerAssembler::new(attempt.id.clone());
            match self.read_first_token(&attempt, &chat, &mut assembler).await {
                Ok((stream, chunk)) => {
                    let (sender, events) = mpsc::channel(crate::http::STREAM_QUEUE);
                    let source = attempt.source.clone();
                    tokio::spawn(async move {
                        self.pass_on(chat, attempt, assembler, stream, chunk, sender).await;
                    });
                    return Ok(RelayedStream { source, events });
                }
                Err(error) => self.judge_failure(&attempt, error)?,
            }
        }
    }

    async fn read_first_token(
        &self,
        attempt: &OpenAttempt,
        chat: &ChatRequest,
        assembler: &mut AnswerAssembler,
    ) -> Result<(crate::dispatch::AttemptStream, ChatChunk), AttemptError> {
        let mut stream = open_stream(
            self.context.client(true),
            &attempt.target,
            &self.plan,
            chat,
            &attempt.id,
            assembler.next_offset(),
            self.remaining(),
        )
        .await?;
        let chunk = self.read_token(&mut stream, assembler).await?;
        let chunk = chunk.ok_or_else(|| AttemptError::Broken("answer without tokens".into()))?;
        Ok((stream, chunk))
    }

    /// Reads the next token, or none at the end of a whole answer.
    async fn read_token(
        &self,
        stream: &mut crate::dispatch::AttemptStream,
        assembler: &mut AnswerAssembler,
    ) -> Result<Option<ChatChunk>, AttemptError> {
        loop {
            let event = timeout_at(self.deadline, stream.next_event())
                .await
                .map_err(|_| AttemptError::Broken("deadline passed".into()))??
                .ok_or_else(|| AttemptError::Broken("stream without end marker".into()))?;
            match assembler.accept(&event) {
                StreamStep::Token(chunk) => return Ok(Some(chunk)),
                StreamStep::Skip => {}
                StreamStep::End => return Ok(None),
                StreamStep::Failed(body) => return Err(AttemptError::Refused(body.error)),
                StreamStep::Broken(fault) => {
                    return Err(AttemptError::Broken(format!("stream broken: {fault:?}")));
                }
            }
        }
    }

    /// Passes tokens on until the answer is whole, resuming it on other upstreams.
    async fn pass_on(
        mut self,
        chat: ChatRequest,
        mut attempt: OpenAttempt,
        mut assembler: AnswerAssembler,
        mut stream: crate::dispatch::AttemptStream,
        first: ChatChunk,
        sender: mpsc::Sender<Bytes>,
    ) {
        let mut chunk = first;
        loop {
            chunk.id = self.plan.request.as_str().to_owned();
            let event = encode_event(&serde_json::to_vec(&chunk).unwrap_or_default());
            if sender.send(event).await.is_err() {
                return;
            }
            let mut next = self.read_token(&mut stream, &mut assembler).await;
            while let Err(error) = next {
                if let Err(refusal) = self.judge_failure(&attempt, error) {
                    self.send_failure(refusal, &sender).await;
                    return;
                }
                attempt = match self.open_attempt().await {
                    Ok(attempt) => attempt,
                    Err(refusal) => return self.send_failure(refusal, &sender).await,
                };
                assembler.resume(attempt.id.clone());
                next = match self.read_first_token(&attempt, &chat, &mut assembler).await {
                    Ok((resumed, chunk)) => {
                        stream = resumed;
                        Ok(Some(chunk))
                    }
                    Err(error) => Err(error),
                };
            }
            match next {
                Ok(Some(token)) => chunk = token,
                _ => {
                    let _ = sender.send(encode_event(END_MARKER.as_bytes())).await;
                    return;
                }
            }
        }
    }

    async fn send_failure(&self, mut refusal: Refusal, sender: &mpsc::Sender<Bytes>) {
        refusal.ran = Ran::Unknown;
        let body = ErrorBody { request: self.plan.request.clone(), error: refusal };
        let _ = sender.send(encode_event(&serde_json::to_vec(&body).unwrap_or_default())).await;
    }

    fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Chooses a target and counts the attempt.
    async fn open_attempt(&mut self) -> Result<OpenAttempt, Refusal> {
        loop {
            let now = Instant::now();
            if now >= self.deadline {
                return Err(self.refuse(RefusalCode::DeadlinePassed, "deadline passed"));
            }
            let table = self.context.table();
            let decision =
                self.context.router().choose(&table, &self.plan, &self.shape, &self.tried, now);
            match decision {
                RouteDecision::Wait(until) => sleep_until(until.min(self.deadline)).await,
                RouteDecision::Refuse(mut refusal) => {
                    refusal.ran = self.ran;
                    return Err(refusal);
                }
                RouteDecision::Upstream(choice) => return Ok(self.open_upstream(choice, now)),
                RouteDecision::Entry { region, zone, address } => {
                    self.tried.zones.push(zone);
                    let from = self.context.node().region.clone();
                    let target = AttemptTarget::Entry { address, from };
                    return Ok(self.number_attempt(target, region, None));
                }
            }
        }
    }

    fn open_upstream(&mut self, choice: UpstreamChoice, now: Instant) -> OpenAttempt {
        let record = choice.view.record;
        let ticket = self.context.router().note_sent(&record.name, &self.plan, &self.shape, now);
        let target = AttemptTarget::Upstream { address: record.address, priority: choice.priority };
        self.number_attempt(target, record.region.clone(), Some(ticket))
    }

    fn number_attempt(
        &mut self,
        target: AttemptTarget,
        region: RegionName,
        ticket: Option<SendTicket>,
    ) -> OpenAttempt {
        self.attempts += 1;
        let id = AttemptId::new(format!("{}.{}", self.plan.request, self.attempts));
        let upstream = ticket.as_ref().map(|ticket| ticket.upstream.clone());
        let slot = AttemptSlot { context: Arc::clone(&self.context), ticket };
        OpenAttempt { id, target, source: AnswerSource { region, upstream }, _slot: slot }
    }

    /// Decides whether another attempt is allowed after `error`.
    fn judge_failure(&mut self, attempt: &OpenAttempt, error: AttemptError) -> Result<(), Refusal> {
        log::info!(
            request = self.plan.request.as_str(),
            attempt = attempt.id.as_str();
            "attempt failed: {error:?}"
        );
        if error.ran() == Ran::Unknown {
            self.ran = Ran::Unknown;
        }
        if let Some(upstream) = &attempt.source.upstream {
            self.tried.upstreams.push(upstream.clone());
        }
        if !permits_attempt(&self.plan, self.ran, self.attempts) {
            let mut refusal = error.into_refusal();
            refusal.ran = self.ran;
            return Err(refusal);
        }
        Ok(())
    }

    fn refuse(&self, code: RefusalCode, message: &str) -> Refusal {
        Refusal { ran: self.ran, ..Refusal::not_run(code, message) }
    }
}
