//! Serves one request: makes attempts until one gives an answer or no further attempt is allowed.

use crate::{
    answer::{Ran, Refusal, RefusalCode},
    gateway::{
        decision::{
            call::{RequestTraits, RequiredOrigin, RoutedCall},
            choice::{
                ChoiceBasis, ChoiceInput, LeftOutCounts, RefusalCause, TriedUpstreams,
                UpstreamChoice,
            },
            repeat_value::{FailureClass, FailureKind},
        },
        document::routes::RepeatRule,
        edge::{
            answer_buffers::BufferShare,
            headers::{promises_not_run, refuse},
            hop::{ARRIVED_HEADER, QUARANTINED_HEADER, RAN_ON_HEADER, SOFTWARE_HEADER},
            outcome::Verdict,
        },
        knowledge::stream_origins::StreamOrigin,
        request::{
            attempt::{AttemptFailure, StartedAnswer, UpstreamFailure},
            context::EntryContext,
            quota_gate::QuotaTicket,
            record::{CallRecord, TakeUpResult},
            stream_forwarder::stream_body,
        },
    },
    http::{AnswerBody, full_body},
    name::{RegionName, SoftwareVersion, UpstreamName},
};
use hyper::{Response, StatusCode, header::HeaderValue};
use std::{
    sync::{Arc, OnceLock},
    time::Duration,
};
use tokio::time::{Instant, sleep_until};

/// Maximum number of sends of one request, including those that no upstream ran.
const MAX_SENDS: u32 = 4;

/// Retry-after delay of a refused request that no upstream has run, if no upstream names one.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Minimum time until the deadline for another attempt.
const MIN_REMAINING: Duration = Duration::from_millis(30);

/// Final result of a request without a successful answer.
#[derive(Debug)]
pub(crate) enum FinalFailure {
    /// A failure answer of an upstream, which is forwarded.
    Upstream(Box<UpstreamFailure>),
    /// A refusal by this entry.
    Refused(Refusal),
}

impl FinalFailure {
    /// Replaces an upstream's failure whose status would promise that a request that may run once has
    /// not run: an upstream that has not run a request refuses it, and does not answer it.
    fn without_false_promise(self, repeat: RepeatRule) -> Self {
        match self {
            Self::Upstream(failure) if promises_not_run(failure.status) && !repeat.may_repeat() => {
                let message = format!("an upstream answered with status {}", failure.status);
                Self::Refused(Refusal::unknown(RefusalCode::UpstreamFailed, message))
            }
            kept => kept,
        }
    }

    /// Text that names the cause.
    pub(crate) fn describe(&self) -> String {
        match self {
            Self::Upstream(failure) => format!("status {} of an upstream", failure.status),
            Self::Refused(refusal) => refusal.message.to_string(),
        }
    }
}

/// Makes the attempts of one request and keeps what they have in common.
#[derive(Debug)]
pub(crate) struct CallRelay {
    pub(crate) context: Arc<EntryContext>,
    pub(crate) call: Arc<RoutedCall>,
    pub(crate) record: CallRecord,
    pub(crate) tried: TriedUpstreams,
    /// Identifier of the last event that the caller received.
    pub(crate) resume_after: Option<Arc<str>>,
    /// Origin of the events that the caller received.
    pub(crate) origin: RequiredOrigin,
    /// Status of the broken stream that the next answer continues, and whether its body has events.
    pub(crate) continues: Option<(StatusCode, bool)>,
    /// Whether the request is counted as a first send for the retry budget.
    counted_in_budget: bool,
    /// Whether a grant was requested from engine owners before.
    pub(crate) owners_asked: bool,
    /// Whether part of the current attempt may have been written.
    pub(crate) sending: bool,
    sends: u32,
    /// Number of upstreams that may have run the request.
    pub(crate) possible_runs: u32,
    /// Whether an earlier send may have reached an upstream, so that the next one is a retry.
    may_have_arrived: bool,
    upstream_failure: Option<Box<UpstreamFailure>>,
    /// Class of the last failed attempt, if upstreams are measured.
    failure_class: Option<FailureClass>,
    /// Class of the failure that the current attempt repeats.
    repeats: Option<FailureClass>,
    /// Bytes of answers that the request holds.
    pub(crate) held: BufferShare,
    /// Units of the workspace's quota for the next attempt; none if they are not limited, or used.
    pub(crate) ticket: Option<QuotaTicket>,
    /// Traits of the request, computed when they are first needed.
    traits: OnceLock<RequestTraits>,
}

/// Answers a request whose pool has been chosen; `document` is the number of its document, and `ticket`
/// holds the units of its workspace's quota.
pub(crate) async fn answer_call(
    context: Arc<EntryContext>,
    call: RoutedCall,
    document: u64,
    ticket: Option<QuotaTicket>,
) -> Response<AnswerBody> {
    let deadline = context.limit_deadline(call.deadline);
    let call = Arc::new(RoutedCall { deadline, ..call });
    let record = CallRecord::new(Arc::clone(&context), Arc::clone(&call), document);
    let mut relay = CallRelay {
        tried: TriedUpstreams::default(),
        resume_after: call.head.resume_after.clone(),
        origin: call.origin.clone(),
        continues: None,
        counted_in_budget: call.earlier_attempts > 0,
        owners_asked: false,
        sending: false,
        sends: 0,
        possible_runs: call.earlier_attempts,
        may_have_arrived: call.earlier_attempts > 0,
        upstream_failure: None,
        failure_class: None,
        repeats: None,
        ticket,
        held: context.memory.answers.share(),
        traits: OnceLock::new(),
        record,
        context,
        call,
    };
    relay.note_arrival();
    match relay.open_before_deadline().await {
        Ok(answer) => relay.into_response(answer),
        Err(failure) => relay.into_failure_response(failure),
    }
}

impl CallRelay {
    /// Makes attempts until an answer starts, and gives up at the request's deadline or at the end of a
    /// stop of the entry.
    pub(crate) async fn open_before_deadline(&mut self) -> Result<StartedAnswer, FinalFailure> {
        let (context, deadline) = (Arc::clone(&self.context), self.call.deadline);
        let (code, cause) = tokio::select! {
            biased;
            opened = self.open_answer() => return opened,
            () = context.wait_stop_end() => (RefusalCode::Draining, "the entry stops"),
            () = sleep_until(deadline) => (RefusalCode::DeadlinePassed, "its time is over"),
        };
        if self.sending {
            self.possible_runs += 1;
        }
        Err(self.give_up(code, cause))
    }

    async fn open_answer(&mut self) -> Result<StartedAnswer, FinalFailure> {
        loop {
            self.check_quarantine()?;
            self.check_origin()?;
            let choice = self.choose().await;
            self.count_in_budget(&choice);
            match choice {
                UpstreamChoice::Region { region, .. } if !self.may_forward(&region) => {
                    self.tried.regions.push(region);
                }
                UpstreamChoice::Wait(until) => sleep_until(until).await,
                UpstreamChoice::Refuse { cause, retry_after, left_out, basis } => {
                    let text = describe_refusal(cause, left_out, basis);
                    return Err(self.refuse_choice(cause, text, retry_after));
                }
                UpstreamChoice::Upstream { .. } | UpstreamChoice::Region { .. } => {
                    if self.may_have_arrived && !self.context.take_repeat(&self.call.pool) {
                        self.cancel_choice(&choice);
                        let text = "the fleet's budget of repeats is used up";
                        return Err(self.give_up(RefusalCode::UpstreamFailed, text));
                    }
                    self.take_repeat_units(&choice)?;
                    self.sends += 1;
                    self.set_ticket_used(true);
                    let chosen = match &choice {
                        UpstreamChoice::Upstream { known, .. } => Some(known.upstream.name.clone()),
                        _ => None,
                    };
                    let ended = self.attempt_paired(choice).await;
                    self.learn_from_attempt(chosen, &ended);
                    match ended {
                        Ok(answer) => {
                            self.ticket = None;
                            self.keep_hop_version(&answer);
                            return Ok(answer);
                        }
                        Err(failure) => {
                            self.set_ticket_used(failure.may_have_arrived);
                            if failure.may_have_arrived {
                                self.ticket = None;
                            }
                            self.check_retry(failure)?;
                        }
                    }
                }
            }
        }
    }

    /// Whether the request may be forwarded to `region`. One that must not run here always may.
    fn may_forward(&self, region: &RegionName) -> bool {
        let (context, call) = (&self.context, &self.call);
        !call.allows_region(&context.node.region) || context.may_forward(&call.pool, region)
    }

    pub(crate) fn set_ticket_used(&mut self, used: bool) {
        if let Some(ticket) = &mut self.ticket {
            ticket.set_used(used);
        }
    }

    /// Takes the units of a repeat, as each arrival at an upstream counts. The first send of a forwarded
    /// request was counted by the entry that forwarded it.
    fn take_repeat_units(&mut self, choice: &UpstreamChoice) -> Result<(), FinalFailure> {
        let counted = self.ticket.is_some() || self.call.hopped && self.sends == 0;
        if !self.may_have_arrived || counted {
            return Ok(());
        }
        match self.context.quotas.take_repeat(&self.call, &self.context.metrics) {
            Ok(ticket) => {
                self.ticket = ticket;
                Ok(())
            }
            Err(workspace) => {
                self.cancel_choice(choice);
                let text = format!("workspace {workspace} has used its quota");
                Err(self.give_up(RefusalCode::UpstreamFailed, &text))
            }
        }
    }

    /// Whether no upstream may have run the request so far.
    pub(crate) fn is_first_run(&self) -> bool {
        self.possible_runs == 0 && !self.may_have_arrived
    }

    /// A relay for a second send of the request beside an attempt of this one.
    pub(crate) fn fork(&self) -> Self {
        Self {
            context: Arc::clone(&self.context),
            call: Arc::clone(&self.call),
            record: self.record.fork(),
            tried: self.tried.clone(),
            resume_after: self.resume_after.clone(),
            origin: self.origin.clone(),
            continues: None,
            counted_in_budget: true,
            owners_asked: true,
            sending: false,
            sends: self.sends,
            possible_runs: self.possible_runs,
            may_have_arrived: false,
            upstream_failure: None,
            failure_class: None,
            repeats: None,
            held: self.context.memory.answers.share(),
            ticket: None,
            traits: self.traits.clone(),
        }
    }

    /// Takes over what a second send has used. If the pair has an `answer`, the other attempt may have run
    /// too; otherwise the failure counts both.
    pub(crate) fn join(&mut self, fork: Self, answer: bool) {
        self.record.merge(fork.record);
        self.tried = fork.tried;
        self.held.join(fork.held);
        self.sends += 1;
        self.may_have_arrived = true;
        self.possible_runs += u32::from(answer);
    }

    /// Learns from the end of an attempt at `chosen`, if it was an upstream, how often repeats succeed.
    fn learn_from_attempt(
        &mut self,
        chosen: Option<UpstreamName>,
        ended: &Result<StartedAnswer, AttemptFailure>,
    ) {
        let Some(mut value) = self.context.repeat_value() else { return };
        let pool = &self.call.pool;
        if let Some(class) = self.repeats.take() {
            value.note_repeat(pool, class, ended.is_ok());
        }
        self.failure_class = None;
        let Some(chosen) = chosen else { return };
        match ended {
            Ok(answer) => {
                let winner = answer.upstream.as_ref().map_or(&chosen, |known| &known.upstream.name);
                value.note_answer(pool, winner, false);
            }
            Err(failure) => {
                let status = failure.upstream_failure.as_ref().map(|failure| failure.status);
                let kind = match failure.verdict {
                    Verdict::Failure if status == Some(StatusCode::GATEWAY_TIMEOUT) => {
                        FailureKind::TimedOut
                    }
                    Verdict::Failure => FailureKind::Answered,
                    Verdict::Unknown => FailureKind::Broken,
                    Verdict::Answer | Verdict::NotRun => return,
                };
                self.failure_class = Some(value.classify(pool, &chosen, kind));
                if failure.verdict == Verdict::Failure {
                    value.note_answer(pool, &chosen, true);
                }
            }
        }
    }

    /// Whether a repeat after the last failure serves the caller; true if upstreams are not measured.
    fn is_repeat_worth(&mut self) -> bool {
        let Some(class) = self.failure_class.take() else { return true };
        let worth = self
            .context
            .repeat_value()
            .is_none_or(|mut value| value.is_worth(&self.call.pool, class));
        match worth {
            true => self.repeats = Some(class),
            false => self.context.metrics.count_repeat_left_out(&self.call.pool),
        }
        worth
    }

    /// Traits by which the request may be to blame for crashes of upstreams.
    pub(crate) fn traits(&self) -> &RequestTraits {
        self.traits.get_or_init(|| self.call.traits())
    }

    /// Records that an upstream has begun to answer the request, which some culprits survive.
    pub(crate) fn note_began(&self) {
        if self.context.crashes.is_active() {
            self.context.crashes.note_began(&self.call.pool, self.traits());
        }
    }

    /// Records that the answer to the request is whole, which no culprit survives.
    pub(crate) fn note_whole(&self) {
        if self.context.crashes.is_active() {
            self.context.crashes.note_whole(self.traits());
        }
    }

    /// Fails if the request is quarantined.
    fn check_quarantine(&mut self) -> Result<(), FinalFailure> {
        let crashes = &self.context.crashes;
        if !crashes.is_active() {
            return Ok(());
        }
        let entries = &self.context.view.load().live;
        let found = crashes.find_quarantine(self.traits(), &self.context.node.instance, entries);
        let Some((group, remaining)) = found else { return Ok(()) };
        let traits: Vec<_> = group.iter().map(ToString::to_string).collect();
        let message = format!("the request crashes upstreams; traits {}", traits.join(","));
        Err(self.refuse_quarantined(message, remaining))
    }

    /// Fails if it is not known, or can't be met, where the stream must go on.
    fn check_origin(&mut self) -> Result<(), FinalFailure> {
        match &self.origin {
            RequiredOrigin::Unknown => {
                self.record.set_take_up(TakeUpResult::VersionUnknown);
                let text = "it is not known which software version began the stream";
                Err(self.give_up(RefusalCode::VersionUnknown, text))
            }
            RequiredOrigin::At(origin) if origin.pool != self.call.pool => {
                let text = format!("the route has no pool {}, which began the stream", origin.pool);
                self.record.set_take_up(TakeUpResult::PoolGone);
                Err(self.give_up(RefusalCode::VersionGone, &text))
            }
            RequiredOrigin::At(_) | RequiredOrigin::Any => Ok(()),
        }
    }

    /// Records that the caller receives the first events of `answer`, so that only upstreams of its
    /// origin may go on.
    pub(crate) fn note_origin(&mut self, answer: &StartedAnswer) {
        self.record.set_take_up(TakeUpResult::Continued);
        let Some(software) = answer.software.clone() else {
            self.origin = RequiredOrigin::Unknown;
            return;
        };
        let call = &self.call;
        let origin = StreamOrigin { pool: call.pool.clone(), software };
        // The entry that received the events from the upstream records their origin.
        if answer.upstream.is_some() {
            self.context.record_origin(&call.attempt, &origin);
            if let Some(began) = call.head.resumes.as_ref().filter(|_| call.is_take_up()) {
                self.context.record_origin(began, &origin);
            }
        }
        self.origin = RequiredOrigin::At(origin);
    }

    /// Keeps to the software version that another entry told, as it may have recorded that origin for
    /// events that were lost on their way here.
    fn keep_hop_version(&mut self, answer: &StartedAnswer) {
        let resumable = self.call.repeat() == RepeatRule::ResumableStream;
        if let Some(software) = &answer.software
            && answer.upstream.is_none()
            && resumable
        {
            self.origin = self.origin_at(software);
        }
    }

    fn origin_at(&self, software: &SoftwareVersion) -> RequiredOrigin {
        let (pool, software) = (self.call.pool.clone(), software.clone());
        RequiredOrigin::At(StreamOrigin { pool, software })
    }

    fn refuse_quarantined(&mut self, message: String, remaining: Duration) -> FinalFailure {
        if let Some(upstream_failure) = self.upstream_failure.take() {
            return FinalFailure::Upstream(upstream_failure);
        }
        let refusal =
            Refusal { ran: self.ran(), ..Refusal::not_run(RefusalCode::Quarantined, message) };
        FinalFailure::Refused(refusal.retry_after(remaining))
    }

    fn note_arrival(&self) {
        let routes = self.context.routes.load();
        let pool = routes.pool(&self.call.pool).map(|pool| &**pool);
        self.context.chooser().note_arrival(&self.call, pool, Instant::now());
    }

    /// Counts the request for the retry budget, unless it is forwarded: the other entry counts it
    /// then.
    fn count_in_budget(&mut self, choice: &UpstreamChoice) {
        let sent_from_here =
            matches!(choice, UpstreamChoice::Upstream { .. } | UpstreamChoice::Refuse { .. });
        if sent_from_here && !self.counted_in_budget {
            self.counted_in_budget = true;
            self.context.count_first_send(&self.call.pool);
        }
    }

    /// Target of the next attempt: an engine granted by its owner, or this entry's own choice if the
    /// engines have no owners or no owner answers.
    pub(crate) async fn choose(&mut self) -> UpstreamChoice {
        if let Some(detour) = self.choose_detour() {
            return detour;
        }
        // A grant of engines that this entry does not reach would be of no use.
        if !self.context.is_unreached(&self.call.pool)
            && let Some(choice) = self.ask_owners().await
        {
            return choice;
        }
        self.choose_locally()
    }

    fn choose_locally(&mut self) -> UpstreamChoice {
        let context = &self.context;
        let routes = context.routes.load();
        let input = ChoiceInput {
            call: &self.call,
            pool: routes.pool(&self.call.pool).map(|pool| &**pool),
            software: self.origin.software(),
            tried: &self.tried,
            view: &context.view.load(),
            load: &context.load.load(),
            starting_up: context.is_discovering(),
            zone: None,
            exclusive: false,
            now: Instant::now(),
        };
        let choice = context.chooser().choose(&input);
        self.hold_grant(choice, None)
    }

    /// Returns `Ok` if another attempt is allowed after a failed one, and the final result otherwise.
    fn check_retry(&mut self, failure: AttemptFailure) -> Result<(), FinalFailure> {
        let AttemptFailure {
            verdict,
            may_have_arrived,
            possible_runs,
            cause,
            upstream_failure,
            retry_after,
            quarantined,
            ..
        } = failure;
        self.possible_runs = possible_runs;
        self.may_have_arrived |= may_have_arrived;
        if quarantined {
            let message = format!("the request crashes upstreams; {cause} of another entry");
            return Err(
                self.refuse_quarantined(message, retry_after.unwrap_or(DEFAULT_RETRY_AFTER))
            );
        }
        let repeat = self.call.repeat();
        let in_time = self.call.remaining(Instant::now()) > MIN_REMAINING;
        let permitted = match verdict {
            Verdict::NotRun => true,
            Verdict::Unknown | Verdict::Failure => {
                repeat.may_repeat()
                    && self.possible_runs < self.call.route.attempts
                    && self.is_repeat_worth()
            }
            Verdict::Answer => false,
        };
        if let Some(upstream_failure) = upstream_failure {
            self.upstream_failure = Some(upstream_failure);
        }
        if permitted && in_time && self.sends < MAX_SENDS {
            return Ok(());
        }
        if let Some(upstream_failure) = self.upstream_failure.take() {
            return Err(FinalFailure::Upstream(upstream_failure));
        }
        let mut refusal = match self.possible_runs {
            0 => Refusal::not_run(RefusalCode::NoUpstream, cause),
            _ => Refusal::unknown(RefusalCode::UpstreamFailed, cause),
        };
        if refusal.ran == Ran::No {
            let delay = retry_after.unwrap_or(DEFAULT_RETRY_AFTER);
            refusal = refusal.retry_after(delay);
        }
        Err(FinalFailure::Refused(refusal))
    }

    /// Records that a stream broke off after its start. Returns whether another upstream may
    /// continue it.
    pub(crate) fn record_broken_stream(&mut self) -> bool {
        self.may_have_arrived = true;
        self.possible_runs += 1;
        let in_time = self.call.remaining(Instant::now()) > MIN_REMAINING;
        in_time && self.possible_runs < self.call.route.attempts && self.sends < MAX_SENDS
    }

    fn ran(&self) -> Ran {
        if self.possible_runs > 0 { Ran::Unknown } else { Ran::No }
    }

    fn give_up(&mut self, code: RefusalCode, message: &str) -> FinalFailure {
        if let Some(upstream_failure) = self.upstream_failure.take() {
            return FinalFailure::Upstream(upstream_failure);
        }
        let refusal = Refusal { ran: self.ran(), ..Refusal::not_run(code, message) };
        match refusal.ran {
            Ran::No => FinalFailure::Refused(refusal.retry_after(DEFAULT_RETRY_AFTER)),
            Ran::Unknown => FinalFailure::Refused(refusal),
        }
    }

    fn refuse_choice(
        &mut self,
        cause: RefusalCause,
        text: String,
        retry_after: Duration,
    ) -> FinalFailure {
        if let Some(upstream_failure) = self.upstream_failure.take() {
            return FinalFailure::Upstream(upstream_failure);
        }
        let code = match cause {
            RefusalCause::NoUpstream | RefusalCause::Unusable => RefusalCode::NoUpstream,
            RefusalCause::Overloaded => RefusalCode::Overloaded,
            RefusalCause::VersionGone => RefusalCode::VersionGone,
        };
        if cause == RefusalCause::VersionGone {
            self.record.set_take_up(TakeUpResult::VersionGone);
        }
        let refusal = Refusal { ran: self.ran(), ..Refusal::not_run(code, text) };
        FinalFailure::Refused(refusal.retry_after(retry_after))
    }

    /// Builds the response that forwards an upstream's answer.
    fn into_response(mut self, answer: StartedAnswer) -> Response<AnswerBody> {
        let status = answer.status;
        self.record.record_first_byte(status.as_u16(), Instant::now());
        let mut response = Response::new(());
        *response.status_mut() = status;
        *response.headers_mut() = answer.headers.clone();
        self.set_hop_headers(&mut response, self.possible_runs + 1);
        self.promise_software(&mut response, &answer);
        let body = match answer.complete {
            true => {
                if answer.shows_end() && !self.call.repeat().is_stream() {
                    self.note_whole();
                }
                self.record.end("answered", status.as_u16(), "");
                let received = answer.received.clone();
                answer.finish();
                full_body(received)
            }
            false => stream_body(self, answer),
        };
        response.map(|()| body)
    }

    /// If another entry forwarded the request, tells it how many upstreams may have run it.
    fn set_hop_headers<T>(&self, answer: &mut Response<T>, possible_runs: u32) {
        if self.call.hopped {
            let may_have_arrived = if self.may_have_arrived { "true" } else { "false" };
            let headers = answer.headers_mut();
            headers.insert(RAN_ON_HEADER, HeaderValue::from(possible_runs));
            headers.insert(ARRIVED_HEADER, HeaderValue::from_static(may_have_arrived));
        }
    }

    /// If another entry forwarded the request, tells it the software version of the answer, which the
    /// rest of the stream must then keep to.
    fn promise_software<T>(&mut self, response: &mut Response<T>, answer: &StartedAnswer) {
        if !self.call.hopped || self.call.repeat() != RepeatRule::ResumableStream {
            return;
        }
        let Some(software) = &answer.software else { return };
        match HeaderValue::from_str(software.as_str()) {
            Ok(value) => drop(response.headers_mut().insert(SOFTWARE_HEADER, value)),
            Err(error) => {
                log::warn!(software = software.as_str(); "software version not sent: {error}");
            }
        }
        self.origin = self.origin_at(software);
    }

    /// Builds the response for a request without a successful answer.
    fn into_failure_response(mut self, failure: FinalFailure) -> Response<AnswerBody> {
        match failure.without_false_promise(self.call.repeat()) {
            FinalFailure::Upstream(failure) => {
                let status = failure.status;
                self.record.end("upstream_failed", status.as_u16(), "");
                let mut response = Response::new(full_body(failure.body));
                *response.status_mut() = status;
                *response.headers_mut() = failure.headers;
                self.set_hop_headers(&mut response, self.possible_runs);
                response
            }
            FinalFailure::Refused(refusal) => {
                let mut answer = refuse(&refusal);
                self.set_hop_headers(&mut answer, self.possible_runs);
                if self.call.hopped && refusal.code == RefusalCode::Quarantined {
                    let value = HeaderValue::from_static("true");
                    answer.headers_mut().insert(QUARANTINED_HEADER, value);
                }
                self.record.set_ran(refusal.ran);
                let reason = refusal_reason(refusal.code);
                self.context.metrics.count_refusal(reason);
                if let Some(workspace) = &self.call.workspace {
                    self.context.metrics.count_workspace_refusal(&workspace.name, reason);
                }
                self.record.end("refused", answer.status().as_u16(), refusal.message);
                answer
            }
        }
    }
}

/// Value of the label `reason` in metrics.
fn refusal_reason(code: RefusalCode) -> &'static str {
    match code {
        RefusalCode::Overloaded => "overloaded",
        RefusalCode::NoUpstream => "no_upstream",
        RefusalCode::DeadlinePassed => "deadline_passed",
        RefusalCode::UpstreamFailed => "upstream_failed",
        RefusalCode::Quarantined => "quarantined",
        RefusalCode::VersionUnknown => "version_unknown",
        RefusalCode::VersionGone => "version_gone",
        _ => "other",
    }
}

fn describe_refusal(
    cause: RefusalCause,
    left_out: LeftOutCounts,
    basis: Option<ChoiceBasis>,
) -> String {
    let text = match cause {
        RefusalCause::NoUpstream => "no upstream is known",
        RefusalCause::Unusable => "no upstream is usable",
        RefusalCause::Overloaded => "the answer would be late",
        RefusalCause::VersionGone => "no upstream of the version that began the stream is known",
    };
    let best = basis.map(|basis| {
        let ChoiceBasis { predicted_ms, answer_ms, requests, .. } = basis;
        format!(
            ", at best begun in {predicted_ms} ms and whole in {answer_ms} ms beside {requests}"
        )
    });
    format!("{text}{}; left out: {left_out}", best.unwrap_or_default())
}
