//! An attempt that is joined by a second one if it is late: the first good answer wins, and the other
//! attempt is cancelled at once.

use crate::{
    gateway::{
        decision::{choice::UpstreamChoice, second_send::SecondTarget},
        document::routes::RepeatRule,
        edge::outcome::Verdict,
        request::{
            attempt::{AttemptFailure, StartedAnswer},
            relay::CallRelay,
        },
    },
    name::UpstreamName,
};
use std::{pin::Pin, time::Duration};
use tokio::time::{Instant, sleep};

/// The attempt of a pair that ended first.
enum PairEnd {
    First(Result<StartedAnswer, AttemptFailure>),
    /// None if no second send was made.
    Second(Option<Result<StartedAnswer, AttemptFailure>>),
}

impl CallRelay {
    /// Makes an attempt, and a second one beside it if the first is late and the limits of second sends
    /// allow it.
    pub(crate) async fn attempt_paired(
        &mut self,
        choice: UpstreamChoice,
    ) -> Result<StartedAnswer, AttemptFailure> {
        let UpstreamChoice::Upstream { known, basis, .. } = &choice else {
            return self.attempt(choice).await;
        };
        if !self.may_send_second() {
            return self.attempt(choice).await;
        }
        let first = known.upstream.name.clone();
        let work = Duration::from_millis(u64::from(basis.answer_ms));
        let (route, tokens) = (self.call.route.name.clone(), self.call.head.prompt_tokens);
        let sent_at = Instant::now();
        let delay = self.context.second_sends().and_then(|mut planner| {
            planner.note_first(&self.call.pool, work);
            planner.delay(&route, tokens, sent_at)
        });
        let ended = match delay {
            Some(delay) => self.attempt_twice(choice, first, delay).await,
            None => self.attempt(choice).await,
        };
        if ended.is_ok()
            && let Some(mut planner) = self.context.second_sends()
        {
            planner.note_time(&route, tokens, sent_at.elapsed(), Instant::now());
        }
        ended
    }

    /// Whether the request may have a second send at all: the caller has nothing of its answer, no
    /// upstream may have run it, and it may run twice.
    fn may_send_second(&self) -> bool {
        let call = &self.call;
        self.context.node.second_sends.is_some()
            && matches!(call.repeat(), RepeatRule::Repeatable | RepeatRule::ResumableStream)
            && !call.hopped
            && !call.is_take_up()
            && self.is_first_run()
            && call.route.attempts >= 2
    }

    async fn attempt_twice(
        &mut self,
        choice: UpstreamChoice,
        first: UpstreamName,
        delay: Duration,
    ) -> Result<StartedAnswer, AttemptFailure> {
        let mut fork = self.fork();
        fork.tried.upstreams.push(first.clone());
        let tried = fork.tried.upstreams.len();
        let mut earlier = Box::pin(self.attempt(choice));
        tokio::select! {
            biased;
            ended = &mut earlier => return ended,
            () = sleep(delay) => {}
        }
        let mut later = Box::pin(fork.send_second());
        let ended = tokio::select! {
            biased;
            ended = &mut earlier => PairEnd::First(ended),
            ended = &mut later => PairEnd::Second(ended),
        };
        let (result, ended) = match ended {
            PairEnd::First(Ok(answer)) => {
                drop((earlier, later));
                ("first_won", Ok(answer))
            }
            PairEnd::First(Err(failure)) => {
                drop(earlier);
                // The end of the request's time must not count as the end of an unsent request.
                self.sending = true;
                let ended = later.await;
                self.sending = false;
                join_ends(Err(failure), ended)
            }
            PairEnd::Second(Some(Ok(answer))) => {
                drop((earlier, later));
                self.sending = false;
                ("second_won", Ok(answer))
            }
            PairEnd::Second(ended) => {
                drop(later);
                join_ends(earlier.await, ended)
            }
        };
        if fork.tried.upstreams.len() > tried {
            let second = fork.tried.upstreams.last().map_or("", |name| name.as_str()).to_owned();
            log::info!(
                request = self.call.attempt.as_str(), first = first.as_str(), second = second.as_str(),
                delay_ms = delay.as_millis() as u64, result;
                "sent to a second upstream"
            );
            self.context.metrics.count_second_send(&self.call.pool, result);
            self.join(fork, ended.is_ok());
        }
        ended
    }

    /// Chooses a second upstream and makes an attempt there; none if it is not allowed.
    async fn send_second(&mut self) -> Option<Result<StartedAnswer, AttemptFailure>> {
        let choice = self.choose().await;
        let UpstreamChoice::Upstream { known, basis, paced, .. } = &choice else {
            self.context.metrics.count_second_send(&self.call.pool, "no_upstream");
            return None;
        };
        let now = Instant::now();
        let cold = known.cold_until.is_some_and(|until| now < until);
        let (name, started_ms) = (&known.upstream.name, known.upstream.started_ms);
        let brittle = self.context.chooser().conditions().is_brittle(name, started_ms);
        let target = SecondTarget {
            requests: basis.requests,
            slots: known.upstream.slots,
            answer: Duration::from_millis(u64::from(basis.answer_ms)),
            sound: !cold && !brittle && !paced,
        };
        let taken = {
            let mut planner = self.context.second_sends()?;
            let pool = &self.call.pool;
            let take_repeat = || self.context.take_repeat(pool);
            planner.take(pool, target, self.call.remaining(now), take_repeat)
        };
        if let Err(refusal) = taken {
            self.cancel_choice(&choice);
            self.context.metrics.count_second_send(&self.call.pool, refusal.name());
            return None;
        }
        match self.context.quotas.take_repeat(&self.call, &self.context.metrics) {
            Ok(ticket) => self.ticket = ticket,
            Err(_) => {
                self.cancel_choice(&choice);
                self.context.metrics.count_second_send(&self.call.pool, "quota_used");
                return None;
            }
        }
        self.set_ticket_used(true);
        let attempt: Pin<Box<_>> = Box::pin(self.attempt(choice));
        let ended = attempt.await;
        if let Err(failure) = &ended {
            self.set_ticket_used(failure.may_have_arrived);
        }
        self.ticket = None;
        Some(ended)
    }
}

/// Result of a pair one of whose attempts has failed, with its name in logs and metrics.
fn join_ends(
    first: Result<StartedAnswer, AttemptFailure>,
    second: Option<Result<StartedAnswer, AttemptFailure>>,
) -> (&'static str, Result<StartedAnswer, AttemptFailure>) {
    match (first, second) {
        (Ok(answer), _) => ("first_won", Ok(answer)),
        (Err(_), Some(Ok(answer))) => ("second_won", Ok(answer)),
        (Err(failure), None) => ("both_failed", Err(failure)),
        (Err(first), Some(Err(second))) => ("both_failed", Err(join_failures(first, second))),
    }
}

/// Failure of a pair both of whose attempts failed: what either of them may have run counts.
fn join_failures(first: AttemptFailure, second: AttemptFailure) -> AttemptFailure {
    let possible_runs = first.possible_runs + second.possible_runs;
    let may_have_arrived = first.may_have_arrived || second.may_have_arrived;
    let quarantined = first.quarantined || second.quarantined;
    let (mut kept, other) = match first.verdict {
        Verdict::NotRun => (second, first),
        _ => (first, second),
    };
    kept.possible_runs = possible_runs;
    kept.may_have_arrived = may_have_arrived;
    kept.quarantined = quarantined;
    kept.retry_after = kept.retry_after.or(other.retry_after);
    if kept.upstream_failure.is_none() {
        kept.upstream_failure = other.upstream_failure;
    }
    kept
}
