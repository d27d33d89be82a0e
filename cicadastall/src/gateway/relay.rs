//! Serves one request: attempts in turn until there is an answer or no further attempt is allowed.

use crate::{
    answer::{Ran, Refusal, RefusalCode},
    gateway::{
        attempt::{AttemptFailure, KeptFailure, OpenAnswer},
        call::RoutedCall,
        choice::{
            ChoiceBasis, ChoiceInput, LeftOutCounts, RefusalCause, TriedUpstreams, UpstreamChoice,
        },
        context::EntryContext,
        headers::refuse,
        hop::{ARRIVED_HEADER, RAN_ON_HEADER},
        outcome::Verdict,
        passage::pass_stream,
        record::{AttemptNote, CallRecord, name_verdict},
    },
    http::{AnswerBody, full_body},
};
use hyper::{Response, header::HeaderValue};
use std::{sync::Arc, time::Duration};
use tokio::time::{Instant, sleep_until, timeout_at};

/// Most sends of one request, those that did not run included.
const MOST_SENDS: u32 = 4;

/// Time to come back after a request was given up that no upstream has run.
const GIVE_UP_RETURN: Duration = Duration::from_millis(300);

/// Time that must be left for another attempt.
const LEAST_REMAINING: Duration = Duration::from_millis(30);

/// Why a request has no answer from an upstream.
#[derive(Debug)]
pub(crate) enum FinalFailure {
    /// The best that an upstream answered is a failure of its own.
    Upstream(Box<KeptFailure>),
    /// Our own answer.
    Refused(Refusal),
}

impl FinalFailure {
    /// Why there is no answer.
    pub(crate) fn describe(&self) -> String {
        match self {
            Self::Upstream(kept) => format!("status {} of an upstream", kept.status),
            Self::Refused(refusal) => refusal.message.to_string(),
        }
    }
}

/// Serves the attempts of one request.
#[derive(Debug)]
pub(crate) struct CallRelay {
    pub(crate) context: Arc<EntryContext>,
    pub(crate) call: Arc<RoutedCall>,
    pub(crate) record: CallRecord,
    pub(crate) tried: TriedUpstreams,
    /// Number of the last event that the caller has.
    pub(crate) resume_after: Option<Arc<str>>,
    /// Whether the request is counted for the budget of repeats.
    counted: bool,
    /// Whether owners of engines were asked for a place before.
    pub(crate) asked: bool,
    /// Whether an attempt is under way of which something may have been written.
    pub(crate) sending: bool,
    sends: u32,
    /// Upstreams that may have run the request.
    pub(crate) ran_on: u32,
    /// Whether a send has arrived anywhere, so that the next one is a repeat.
    arrived: bool,
    kept: Option<Box<KeptFailure>>,
}

/// Answers a request whose pool is decided.
pub(crate) async fn answer_call(
    context: Arc<EntryContext>,
    call: RoutedCall,
    document: u64,
) -> Response<AnswerBody> {
    let call = Arc::new(call);
    let record = CallRecord::new(Arc::clone(&context), Arc::clone(&call), document);
    let mut relay = CallRelay {
        tried: TriedUpstreams::default(),
        resume_after: call.head.resume_after.clone(),
        counted: call.earlier_attempts > 0,
        asked: false,
        sending: false,
        sends: 0,
        ran_on: call.earlier_attempts,
        arrived: call.earlier_attempts > 0,
        kept: None,
        record,
        context,
        call,
    };
    relay.note_arrival();
    match relay.open_in_time().await {
        Ok(answer) => relay.deliver(answer),
        Err(failure) => relay.fail(failure),
    }
}

impl CallRelay {
    /// Opens an answer before the request's time is over.
    pub(crate) async fn open_in_time(&mut self) -> Result<OpenAnswer, FinalFailure> {
        match timeout_at(self.call.deadline, self.open()).await {
            Ok(opened) => opened,
            Err(_) => {
                if self.sending {
                    self.ran_on += 1;
                }
                Err(self.give_up(RefusalCode::DeadlinePassed, "its time is over"))
            }
        }
    }

    async fn open(&mut self) -> Result<OpenAnswer, FinalFailure> {
        loop {
            let choice = self.choose().await;
            self.count_first(&choice);
            match choice {
                UpstreamChoice::Wait(until) => sleep_until(until).await,
                UpstreamChoice::Refuse { cause, retry_after, left_out, basis } => {
                    let text = describe_refusal(cause, left_out, basis);
                    return Err(self.refuse_choice(cause, text, retry_after));
                }
                UpstreamChoice::Upstream { .. } | UpstreamChoice::Region { .. } => {
                    if self.arrived && !self.context.take_repeat(&self.call.pool) {
                        self.cancel_choice(&choice);
                        let text = "the fleet's budget of repeats is used up";
                        return Err(self.give_up(RefusalCode::UpstreamFailed, text));
                    }
                    self.sends += 1;
                    match self.attempt(choice).await {
                        Ok(answer) => return Ok(answer),
                        Err(failure) => self.judge(failure)?,
                    }
                }
            }
        }
    }

    fn note_arrival(&self) {
        let routes = self.context.routes.load();
        let pool = routes.pool(&self.call.pool).map(|pool| &**pool);
        self.context.chooser().note_arrival(&self.call, pool, Instant::now());
    }

    /// Counts the request for the budget of repeats, unless the entry that it is passed on to does.
    fn count_first(&mut self, choice: &UpstreamChoice) {
        let stays =
            matches!(choice, UpstreamChoice::Upstream { .. } | UpstreamChoice::Refuse { .. });
        if stays && !self.counted {
            self.counted = true;
            self.context.note_first(&self.call.pool);
        }
    }

    /// Where the next attempt goes: the engine that its owner grants, or one of this entry's choice where
    /// engines have no owners or none of them answers.
    async fn choose(&mut self) -> UpstreamChoice {
        match self.ask_owners().await {
            Some(choice) => choice,
            None => self.choose_here(),
        }
    }

    fn choose_here(&mut self) -> UpstreamChoice {
        let context = &self.context;
        let routes = context.routes.load();
        let input = ChoiceInput {
            call: &self.call,
            pool: routes.pool(&self.call.pool).map(|pool| &**pool),
            tried: &self.tried,
            view: &context.view.load(),
            load: &context.load.load(),
            starting_up: context.is_young(),
            zone: None,
            exclusive: false,
            now: Instant::now(),
        };
        let choice = context.chooser().choose(&input);
        self.hold_grant(choice, None)
    }

    /// Decides whether another attempt is allowed after a failed one.
    fn judge(&mut self, failure: AttemptFailure) -> Result<(), FinalFailure> {
        let AttemptFailure { verdict, arrived, ran_on, cause, kept, retry_after, .. } = failure;
        self.ran_on = ran_on;
        self.arrived |= arrived;
        let repeat = self.call.repeat();
        let in_time = self.call.remaining(Instant::now()) > LEAST_REMAINING;
        let permitted = match verdict {
            Verdict::NotRun => true,
            Verdict::Unknown | Verdict::Failure => {
                repeat.may_repeat() && self.ran_on < self.call.route.attempts
            }
            Verdict::Answer => false,
        };
        if let Some(kept) = kept {
            self.kept = Some(kept);
        }
        if permitted && in_time && self.sends < MOST_SENDS {
            return Ok(());
        }
        if let Some(kept) = self.kept.take() {
            return Err(FinalFailure::Upstream(kept));
        }
        let mut refusal = match self.ran_on {
            0 => Refusal::not_run(RefusalCode::NoUpstream, cause),
            _ => Refusal::unknown(RefusalCode::UpstreamFailed, cause),
        };
        if refusal.ran == Ran::No {
            let spread = retry_after.unwrap_or(GIVE_UP_RETURN);
            refusal = refusal.retry_after(spread);
        }
        Err(FinalFailure::Refused(refusal))
    }

    /// Notes that a stream broke off after it had begun; whether another upstream may continue it.
    pub(crate) fn note_broken(&mut self) -> bool {
        self.arrived = true;
        self.ran_on += 1;
        let in_time = self.call.remaining(Instant::now()) > LEAST_REMAINING;
        in_time && self.ran_on < self.call.route.attempts && self.sends < MOST_SENDS
    }

    fn ran(&self) -> Ran {
        if self.ran_on > 0 { Ran::Unknown } else { Ran::No }
    }

    fn give_up(&mut self, code: RefusalCode, message: &str) -> FinalFailure {
        if let Some(kept) = self.kept.take() {
            return FinalFailure::Upstream(kept);
        }
        let refusal = Refusal { ran: self.ran(), ..Refusal::not_run(code, message) };
        match refusal.ran {
            Ran::No => FinalFailure::Refused(refusal.retry_after(GIVE_UP_RETURN)),
            Ran::Unknown => FinalFailure::Refused(refusal),
        }
    }

    fn refuse_choice(
        &mut self,
        cause: RefusalCause,
        text: String,
        retry_after: Duration,
    ) -> FinalFailure {
        if let Some(kept) = self.kept.take() {
            return FinalFailure::Upstream(kept);
        }
        let code = match cause {
            RefusalCause::NoUpstream | RefusalCause::Unusable => RefusalCode::NoUpstream,
            RefusalCause::Overloaded => RefusalCode::Overloaded,
        };
        let refusal = Refusal { ran: self.ran(), ..Refusal::not_run(code, text) };
        FinalFailure::Refused(refusal.retry_after(retry_after))
    }

    pub(crate) fn note_attempt(
        &mut self,
        to: String,
        verdict: Verdict,
        cause: &str,
        basis: ChoiceBasis,
        since: Instant,
    ) {
        self.record.note_attempt(AttemptNote {
            to,
            verdict: name_verdict(verdict),
            cause: cause.to_owned(),
            basis,
            took_ms: since.elapsed().as_millis() as u64,
        });
    }

    /// The answer of an upstream on its way to the caller.
    fn deliver(mut self, answer: OpenAnswer) -> Response<AnswerBody> {
        let status = answer.status;
        self.record.note_first(status.as_u16(), Instant::now());
        let mut response = Response::new(());
        *response.status_mut() = status;
        *response.headers_mut() = answer.headers.clone();
        self.tell_hop(&mut response, self.ran_on + 1);
        let body = match answer.whole {
            true => {
                self.record.end("answered", status.as_u16(), "");
                let first = answer.first.clone();
                answer.finish();
                full_body(first)
            }
            false => pass_stream(self, answer),
        };
        response.map(|()| body)
    }

    /// Tells the entry that passed the request on how many upstreams may have run it.
    fn tell_hop<T>(&self, answer: &mut Response<T>, ran_on: u32) {
        if self.call.hopped {
            let arrived = if self.arrived { "true" } else { "false" };
            let headers = answer.headers_mut();
            headers.insert(RAN_ON_HEADER, HeaderValue::from(ran_on));
            headers.insert(ARRIVED_HEADER, HeaderValue::from_static(arrived));
        }
    }

    fn fail(mut self, failure: FinalFailure) -> Response<AnswerBody> {
        match failure {
            FinalFailure::Upstream(kept) => {
                let status = kept.status;
                self.record.end("upstream_failed", status.as_u16(), "");
                let mut response = Response::new(full_body(kept.body));
                *response.status_mut() = status;
                *response.headers_mut() = kept.headers;
                self.tell_hop(&mut response, self.ran_on);
                response
            }
            FinalFailure::Refused(refusal) => {
                let mut answer = refuse(&refusal);
                self.tell_hop(&mut answer, self.ran_on);
                self.record.note_ran(refusal.ran);
                self.context.metrics.count_refusal(name_refusal(refusal.code));
                self.record.end("refused", answer.status().as_u16(), refusal.message);
                answer
            }
        }
    }
}

/// Name of a reason in metrics.
fn name_refusal(code: RefusalCode) -> &'static str {
    match code {
        RefusalCode::Overloaded => "overloaded",
        RefusalCode::NoUpstream => "no_upstream",
        RefusalCode::DeadlinePassed => "deadline_passed",
        RefusalCode::UpstreamFailed => "upstream_failed",
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
    };
    let best = basis.map(|basis| {
        let ChoiceBasis { predicted_ms, answer_ms, requests, .. } = basis;
        format!(
            ", at best begun in {predicted_ms} ms and whole in {answer_ms} ms beside {requests}"
        )
    });
    format!("{text}{}; left out: {left_out}", best.unwrap_or_default())
}
