//! Serves one request by successive attempts until the answer is complete or no retry is allowed.

mod crash;
mod keyed;

use crate::{
    answer::{Ran, Refusal, RefusalCode},
    decode::RequestPlan,
    dispatch::{AttemptError, AttemptStream, AttemptTarget, call_service, open_stream},
    entry::EntryContext,
    entry_fault::{EntryFaultReport, classify_entry_fault, wait_zone_removed},
    members::EntryFault,
    membership::MembershipMessage,
    name::{AttemptId, RegionName, RequestId, UpstreamName},
    prefix::PromptShape,
    quarantine::IsolationLease,
    relay::crash::{AttemptPermit, fingerprint_messages, fingerprint_plan},
    route::{RouteDecision, TriedTargets, UpstreamChoice, tracker::SendTicket},
    stream::{AnswerAssembler, StreamStep, encode_event},
    suspect::RequestFingerprint,
    table::Incarnation,
    trace::RequestTrace,
    wire::{CallRequest, ChatRequest, ChunkView},
};
use bytes::Bytes;
use smallvec::SmallVec;
use std::{future::Future, sync::Arc, time::Duration};
use tokio::time::{Instant, sleep_until, timeout_at};

/// Maximum time between the choice of a target and the dispatch; if the process was suspended for
/// longer, the target must be chosen again.
const MAX_CHOICE_AGE: Duration = Duration::from_millis(500);

/// Maximum time for which a suspected request is routed in the fixed order of its copies before it
/// is routed by load; longer than a crash report takes to arrive.
const COPY_ORDER_TIMEOUT: Duration = Duration::from_millis(500);

/// Origin of an answer.
#[derive(Debug, Clone, PartialEq)]
pub struct AnswerSource {
    /// Region that ran the request.
    pub region: RegionName,
    /// Upstream that ran it, if it is in this zone.
    pub upstream: Option<UpstreamName>,
}

/// A streamed answer whose first token has arrived.
#[derive(Debug)]
pub(crate) struct RelayedStream {
    /// Origin of the first token.
    pub(crate) source: AnswerSource,
    /// Event with the first token.
    pub(crate) first: Bytes,
    /// The rest of the answer.
    pub(crate) remainder: StreamRemainder,
}

/// Next step of a streamed answer.
#[derive(Debug)]
pub(crate) enum RelayedStep {
    /// Event with one token.
    Token(Bytes),
    /// The answer is complete.
    End,
}

/// The rest of a streamed answer, after its first token; dropping it cancels the attempt.
#[derive(Debug)]
pub(crate) struct StreamRemainder {
    relay: RequestRelay,
    chat: ChatRequest,
    attempt: OpenAttempt,
    assembler: AnswerAssembler,
    stream: AttemptStream,
}

impl StreamRemainder {
    /// Waits for the next step; resumes the answer on another target if the stream fails.
    ///
    /// Fails with the final refusal once no further attempt is allowed; its `ran` is always
    /// unknown.
    pub(crate) async fn next_step(&mut self) -> Result<RelayedStep, Refusal> {
        let read = self.relay.read_step(&mut self.stream, &mut self.assembler);
        let mut step = match timeout_at(self.relay.deadline, read).await {
            Ok(step) => step,
            Err(_) => Err(AttemptError::Broken("deadline passed".to_owned())),
        };
        loop {
            match step {
                Ok(RelayedStep::End) => {
                    self.relay.context.suspects().acquit_messages(&self.relay.messages);
                    self.relay.clear_suspect(&self.attempt).await;
                    return Ok(RelayedStep::End);
                }
                Ok(step) => return Ok(step),
                Err(error) => {
                    step = self
                        .resume(error)
                        .await
                        .map_err(|refusal| Refusal { ran: Ran::Unknown, ..refusal })?;
                }
            }
        }
    }

    async fn resume(
        &mut self,
        error: AttemptError,
    ) -> Result<Result<RelayedStep, AttemptError>, Refusal> {
        self.relay.handle_failure(&self.attempt, error).await?;
        self.attempt.isolation = None;
        self.attempt = self.relay.open_attempt().await?;
        self.assembler.resume(self.attempt.id.clone());
        let first =
            self.relay.read_first_token(&self.attempt, &self.chat, &mut self.assembler).await;
        Ok(first.map(|(stream, event)| {
            self.stream = stream;
            RelayedStep::Token(event)
        }))
    }
}

fn encode_chunk<'a>(request: &'a RequestId, mut chunk: ChunkView<'a>) -> Bytes {
    chunk.id = request.as_str().into();
    encode_event(&serde_json::to_vec(&chunk).unwrap_or_default())
}

/// Runs the attempts of one request.
#[derive(Debug)]
pub(crate) struct RequestRelay {
    context: Arc<EntryContext>,
    plan: Arc<RequestPlan>,
    trace: Arc<RequestTrace>,
    shape: PromptShape,
    /// Fingerprints of the messages that other requests may share.
    messages: SmallVec<[RequestFingerprint; 4]>,
    tried: TriedTargets,
    attempts: u32,
    deadline: Instant,
    ran: Ran,
    evidence: Option<EntryFaultReport>,
}

/// An attempt with a chosen target.
#[derive(Debug)]
struct OpenAttempt {
    id: AttemptId,
    target: AttemptTarget,
    source: AnswerSource,
    chosen_at: Instant,
    incarnation: Incarnation,
    isolation: Option<IsolationLease>,
    guard: AttemptGuard,
}

impl OpenAttempt {
    fn is_local(&self) -> bool {
        matches!(self.target, AttemptTarget::Upstream { .. })
    }
}

/// Counts an attempt in the router as in flight until dropped.
#[derive(Debug)]
struct AttemptGuard {
    context: Arc<EntryContext>,
    ticket: Option<SendTicket>,
}

impl AttemptGuard {
    fn record_first_token(&self) {
        if let Some(ticket) = &self.ticket {
            self.context.router().record_first_token(ticket, Instant::now());
        }
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        if let Some(ticket) = &self.ticket {
            self.context.router().record_ended(ticket);
        }
    }
}

impl RequestRelay {
    pub(crate) fn new(
        context: Arc<EntryContext>,
        plan: Arc<RequestPlan>,
        trace: Arc<RequestTrace>,
        now: Instant,
    ) -> Self {
        let deadline = now + plan.deadline;
        let fingerprint = fingerprint_plan(context.suspects(), &plan);
        Self {
            messages: fingerprint_messages(context.suspects(), &plan),
            context,
            shape: PromptShape { fingerprint, ..PromptShape::from_body(&plan.body) },
            plan,
            trace,
            tried: TriedTargets::default(),
            attempts: 0,
            deadline,
            ran: Ran::No,
            evidence: None,
        }
    }

    /// Calls a plain service.
    pub(crate) async fn run_call(
        mut self,
        call: &CallRequest,
    ) -> Result<(AnswerSource, serde_json::Value), Refusal> {
        loop {
            let attempt = self.open_attempt().await?;
            let answer = self.call_target(&attempt, call);
            match self.run_unless_zone_lost(&attempt, answer).await {
                Ok(result) => {
                    attempt.guard.record_first_token();
                    self.clear_suspect(&attempt).await;
                    return Ok((attempt.source, result));
                }
                Err(error) => self.handle_failure(&attempt, error).await?,
            }
        }
    }

    async fn call_target(
        &self,
        attempt: &OpenAttempt,
        call: &CallRequest,
    ) -> Result<serde_json::Value, AttemptError> {
        self.trace.record_dispatch(self.attempts);
        let client = match attempt.is_local() && !self.plan.repeatable {
            true => self.context.unbound_client(),
            false => self.context.client(self.plan.repeatable),
        };
        call_service(client, &attempt.target, &self.plan, call, &attempt.id, self.remaining()).await
    }

    /// Starts a streamed answer and waits for its first token.
    pub(crate) async fn start_stream(
        mut self,
        chat: ChatRequest,
    ) -> Result<RelayedStream, Refusal> {
        loop {
            let attempt = self.open_attempt().await?;
            let mut assembler = AnswerAssembler::new(attempt.id.clone());
            let first = self.read_first_token(&attempt, &chat, &mut assembler);
            match self.run_unless_zone_lost(&attempt, first).await {
                Ok((stream, first)) => {
                    attempt.guard.record_first_token();
                    let source = attempt.source.clone();
                    let remainder =
                        StreamRemainder { relay: self, chat, attempt, assembler, stream };
                    return Ok(RelayedStream { source, first, remainder });
                }
                Err(error) => self.handle_failure(&attempt, error).await?,
            }
        }
    }

    async fn read_first_token(
        &self,
        attempt: &OpenAttempt,
        chat: &ChatRequest,
        assembler: &mut AnswerAssembler,
    ) -> Result<(AttemptStream, Bytes), AttemptError> {
        self.trace.record_dispatch(self.attempts);
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
        match timeout_at(self.deadline, self.read_step(&mut stream, assembler)).await {
            Ok(Ok(RelayedStep::Token(event))) => Ok((stream, event)),
            Ok(Ok(RelayedStep::End)) => {
                Err(AttemptError::Broken("answer without tokens".to_owned()))
            }
            Ok(Err(error)) => Err(error),
            Err(_) => Err(AttemptError::Broken("deadline passed".to_owned())),
        }
    }

    /// Reads the next token as an event for the caller, or the end of the answer.
    async fn read_step(
        &self,
        stream: &mut AttemptStream,
        assembler: &mut AnswerAssembler,
    ) -> Result<RelayedStep, AttemptError> {
        loop {
            let event = stream
                .next_event()
                .await?
                .ok_or_else(|| AttemptError::Broken("stream without end marker".to_owned()))?;
            match assembler.accept(&event) {
                StreamStep::Token(chunk) => {
                    let event = encode_chunk(&self.plan.request, chunk);
                    return Ok(RelayedStep::Token(event));
                }
                StreamStep::Skip => {}
                StreamStep::End => return Ok(RelayedStep::End),
                StreamStep::Failed(body) => return Err(AttemptError::Refused(body.error)),
                StreamStep::Broken(fault) => {
                    return Err(AttemptError::Broken(format!("stream broken: {fault:?}")));
                }
            }
        }
    }

    fn remaining(&self) -> Duration {
        self.deadline.saturating_duration_since(Instant::now())
    }

    /// Keeps a fault of the entry that failed a forwarded attempt, to be reported before the next
    /// one.
    ///
    /// A draining entry does not exclude its zone from further attempts.
    fn record_entry_fault(&mut self, attempt: &OpenAttempt, error: &AttemptError) {
        let AttemptTarget::Entry { address, .. } = attempt.target else { return };
        let (Some(fault), Some(zone)) =
            (classify_entry_fault(error), self.tried.zones.last().cloned())
        else {
            return;
        };
        if fault == EntryFault::Draining {
            self.tried.zones.pop();
        }
        self.evidence = Some(EntryFaultReport { zone, address, fault });
    }

    async fn report_evidence(&mut self) {
        if let Some(EntryFaultReport { zone, address, fault }) = self.evidence.take() {
            let report = |reply| MembershipMessage::ReportEntryFault(zone, address, fault, reply);
            self.context.ask_membership(report).await;
        }
    }

    /// Runs `work` of an attempt; fails if the target's zone is lost meanwhile, or without running
    /// it if the choice is older than [`MAX_CHOICE_AGE`].
    async fn run_unless_zone_lost<T>(
        &self,
        attempt: &OpenAttempt,
        work: impl Future<Output = Result<T, AttemptError>>,
    ) -> Result<T, AttemptError> {
        if attempt.chosen_at.elapsed() > MAX_CHOICE_AGE {
            return Err(AttemptError::Unreachable("the choice is too old".to_owned()));
        }
        let zone = match (&attempt.target, self.tried.zones.last()) {
            (AttemptTarget::Entry { .. }, Some(zone)) => zone,
            _ => return work.await,
        };
        tokio::select! {
            result = work => result,
            () = wait_zone_removed(self.context.shared_table(), zone) => {
                Err(AttemptError::Broken(format!("zone {zone} was lost")))
            }
        }
    }

    /// Chooses a target, waiting in the queue if none is free, and opens an attempt on it.
    async fn open_attempt(&mut self) -> Result<OpenAttempt, Refusal> {
        self.report_evidence().await;
        let ordered_until = Instant::now() + COPY_ORDER_TIMEOUT;
        loop {
            self.check_messages()?;
            let now = Instant::now();
            self.tried.suspect = now < ordered_until && self.is_suspect();
            if now >= self.deadline {
                return Err(self.refuse(RefusalCode::DeadlinePassed, "deadline passed"));
            }
            let table = self.context.table();
            let settings = self.context.settings().newest();
            let decision = {
                let mut router = self.context.router();
                router.apply_settings(&settings);
                router.choose(&table, &self.plan, &self.shape, &self.tried, now)
            };
            match decision {
                RouteDecision::Wait(until) => sleep_until(until.min(self.deadline)).await,
                RouteDecision::Refuse(mut refusal) => {
                    refusal.ran = self.ran;
                    return Err(refusal);
                }
                RouteDecision::Upstream(choice) => {
                    let isolation = match self.permit_attempt(&choice.view).await? {
                        AttemptPermit::Busy => continue,
                        AttemptPermit::Free => None,
                        AttemptPermit::Isolated(lease) => Some(lease),
                    };
                    return Ok(self.open_upstream_attempt(choice, isolation, now));
                }
                RouteDecision::Entry { region, zone, address } => {
                    self.tried.zones.push(zone);
                    let from = self.context.node().region.clone();
                    let target = AttemptTarget::Entry { address, from };
                    return Ok(self.new_attempt(target, region, None, now));
                }
            }
        }
    }

    fn open_upstream_attempt(
        &mut self,
        choice: UpstreamChoice,
        isolation: Option<IsolationLease>,
        now: Instant,
    ) -> OpenAttempt {
        let ticket = {
            let mut router = self.context.router();
            if self.attempts == 0 {
                router.record_first_attempt(&self.plan);
            }
            router.record_sent(&choice, &self.plan, &self.shape, now)
        };
        let record = choice.view.record;
        let target = AttemptTarget::Upstream { address: record.address, priority: choice.priority };
        let attempt = self.new_attempt(target, record.region.clone(), Some(ticket), now);
        OpenAttempt { incarnation: record.incarnation, isolation, ..attempt }
    }

    /// ID of the next attempt: the request ID and the number of the attempt, from 1.
    fn next_attempt_id(&self) -> AttemptId {
        AttemptId::new(format!("{}.{}", self.plan.request, self.attempts + 1))
    }

    fn new_attempt(
        &mut self,
        target: AttemptTarget,
        region: RegionName,
        ticket: Option<SendTicket>,
        chosen_at: Instant,
    ) -> OpenAttempt {
        let id = self.next_attempt_id();
        self.attempts += 1;
        let upstream = ticket.as_ref().map(|ticket| ticket.upstream.clone());
        let guard = AttemptGuard { context: Arc::clone(&self.context), ticket };
        let source = AnswerSource { region, upstream };
        OpenAttempt {
            id,
            target,
            source,
            chosen_at,
            incarnation: Incarnation::default(),
            isolation: None,
            guard,
        }
    }

    /// Records the failure of an attempt; fails with the final refusal if no further attempt is
    /// allowed.
    async fn handle_failure(
        &mut self,
        attempt: &OpenAttempt,
        error: AttemptError,
    ) -> Result<(), Refusal> {
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
            if !matches!(error, AttemptError::Refused(_)) {
                self.context.router().record_failure(upstream, Instant::now());
            }
        } else if let Some(zone) = self.tried.zones.last() {
            self.context.router().record_returned(zone, &self.plan, Instant::now());
        }
        self.record_entry_fault(attempt, &error);
        self.probe_failed_upstream(attempt, &error).await?;
        let quarantined = matches!(
            &error,
            AttemptError::Refused(refusal) if refusal.code == RefusalCode::Quarantined
        );
        let permitted =
            !quarantined && self.context.router().take_retry(&self.plan, self.ran, self.attempts);
        if !permitted {
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
