//! One attempt of a request on an upstream, or on an entry of another region.

use crate::{
    answer::Ran,
    gateway::{
        call::RoutedCall,
        choice::{ChoiceBasis, UpstreamChoice},
        connections::{ConnectError, ConnectionTarget, ExchangeError, TakenConnection},
        context::EntryContext,
        dialect::{AnswerHead, AttemptNote},
        grant_allocator::GrantTicket,
        headers::{read_keep_alive, strip_connection_headers},
        hop::{
            ARRIVED_HEADER, HOP_HEADER, HopOrder, RAN_HEADER, RAN_ON_HEADER, read_arrived,
            read_ran, read_ran_on,
        },
        outcome::{LostAttempt, Verdict, judge_head, judge_lost},
        relay::CallRelay,
        tracker::{SendEnd, SendNumber},
        view::KnownUpstream,
    },
    http::describe_error,
    name::{PoolName, UpstreamName},
};
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::{
    HeaderMap, Request, Response, StatusCode, Uri,
    body::{Body, Incoming},
};
use std::{sync::Arc, time::Duration};
use tokio::time::{Instant, timeout};

/// Longest time between the choice of an upstream and the first byte to it; a process that was
/// stopped in between must choose again.
const DISPATCH_BOUND: Duration = Duration::from_millis(1_500);

/// Bytes of an answer that are held until it is whole; a longer one is passed on as it arrives. Some
/// hundred answers must fit into a small instance's memory.
const WHOLE_BYTES: usize = 256 * 1024;

/// Longest time to read the body of an upstream's failure. It comes with the head; where it does not, the
/// request is better asked elsewhere.
const FAILURE_BOUND: Duration = Duration::from_millis(500);

/// Longest time to read the rest of an answer that is not passed on, so that its connection can be
/// kept.
const DISCARD_BOUND: Duration = Duration::from_millis(50);

/// Connections to one entry of another region.
const HOP_CONNECTIONS: usize = 256;

/// Attempts on kept connections that turn out to be closed.
const STALE_CONNECTIONS: u32 = 3;

/// An upstream's failure that is passed on if nothing better comes.
#[derive(Debug)]
pub(crate) struct KeptFailure {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// An attempt without an answer that can be passed on.
#[derive(Debug)]
pub(crate) struct AttemptFailure {
    pub(crate) verdict: Verdict,
    /// Whether the request may have reached an upstream.
    pub(crate) arrived: bool,
    /// Upstreams that may have run it, those before this attempt included.
    pub(crate) ran_on: u32,
    pub(crate) cause: String,
    pub(crate) kept: Option<Box<KeptFailure>>,
    pub(crate) retry_after: Option<Duration>,
    end: SendEnd,
}

impl AttemptFailure {
    fn lost(lost: LostAttempt, ran_on: u32) -> Self {
        let verdict = judge_lost(&lost);
        let arrived = verdict != Verdict::NotRun;
        let (LostAttempt::Unsent(cause) | LostAttempt::Sent(cause)) = lost;
        let end = SendEnd::Broken;
        Self { verdict, arrived, ran_on, cause, kept: None, retry_after: None, end }
    }
}

/// Keeps an upstream's record until its attempt has ended.
#[derive(Debug)]
pub(crate) struct SendGuard {
    context: Arc<EntryContext>,
    pool: PoolName,
    upstream: Option<(UpstreamName, SendNumber)>,
    ticket: Option<GrantTicket>,
    end: SendEnd,
}

impl SendGuard {
    pub(crate) fn note_answering(&self) {
        if let Some((upstream, number)) = &self.upstream {
            self.context.chooser().note_answering(upstream, *number, Instant::now());
        }
        if let Some(ticket) = self.ticket {
            self.context.grants.held().note_began(ticket);
        }
    }

    pub(crate) fn end(&mut self, end: SendEnd) {
        self.end = end;
    }
}

impl Drop for SendGuard {
    fn drop(&mut self) {
        if let Some((upstream, number)) = &self.upstream {
            let now = Instant::now();
            self.context.chooser().note_ended(&self.pool, upstream, *number, self.end, now);
        }
        if let Some(ticket) = self.ticket {
            self.context.grants.held().end(ticket, self.end);
        }
    }
}

/// An answer of which the start has arrived.
#[derive(Debug)]
pub(crate) struct OpenAnswer {
    pub(crate) status: StatusCode,
    /// Headers for the caller.
    pub(crate) headers: HeaderMap,
    /// What has arrived of the body.
    pub(crate) first: Bytes,
    /// Whether that is all.
    pub(crate) whole: bool,
    pub(crate) body: Incoming,
    pub(crate) guard: SendGuard,
    connection: TakenConnection,
    keep_alive: Option<Duration>,
}

impl OpenAnswer {
    /// Ends an answer that has been read whole.
    pub(crate) fn finish(mut self) {
        self.guard.end(SendEnd::Whole);
        self.connection.keep(self.keep_alive);
    }
}

/// Where an attempt goes.
struct AttemptTarget {
    connection: ConnectionTarget,
    connections: usize,
    /// The upstream; none where another entry is asked.
    upstream: Option<(Arc<KnownUpstream>, SendNumber)>,
    ticket: Option<GrantTicket>,
    basis: ChoiceBasis,
}

impl AttemptTarget {
    fn of(choice: UpstreamChoice) -> Option<Self> {
        match choice {
            UpstreamChoice::Upstream { known, number, connections, basis, ticket } => {
                let name = known.upstream.name.clone();
                let address = known.upstream.address;
                let connection = ConnectionTarget { address, upstream: Some(name) };
                let upstream = Some((known, number));
                Some(Self { connection, connections, upstream, ticket, basis })
            }
            UpstreamChoice::Region { entry, basis, .. } => {
                let connection = ConnectionTarget { address: entry, upstream: None };
                let connections = HOP_CONNECTIONS;
                Some(Self { connection, connections, upstream: None, ticket: None, basis })
            }
            UpstreamChoice::Wait(_) | UpstreamChoice::Refuse { .. } => None,
        }
    }

    fn describe(&self) -> String {
        match &self.connection {
            ConnectionTarget { upstream: Some(name), .. } => name.to_string(),
            ConnectionTarget { address, .. } => format!("entry {address}"),
        }
    }
}

impl CallRelay {
    /// Takes back a choice that is not used.
    pub(crate) fn cancel_choice(&self, choice: &UpstreamChoice) {
        if let UpstreamChoice::Upstream { known, number, ticket, .. } = choice {
            if let Some(ticket) = ticket {
                self.context.grants.held().end(*ticket, SendEnd::Cancelled);
            }
            let name = &known.upstream.name;
            let now = Instant::now();
            let mut chooser = self.context.chooser();
            chooser.note_ended(&self.call.pool, name, *number, SendEnd::Cancelled, now);
        }
    }

    /// Sends the request where `choice` says and opens the answer.
    pub(crate) async fn attempt(
        &mut self,
        choice: UpstreamChoice,
    ) -> Result<OpenAnswer, AttemptFailure> {
        if let UpstreamChoice::Region { region, .. } = &choice {
            self.context.metrics.count_hop(region.as_str());
            self.tried.regions.push(region.clone());
        }
        let Some(target) = AttemptTarget::of(choice) else {
            let unsent = LostAttempt::Unsent("no target was chosen".to_owned());
            return Err(AttemptFailure::lost(unsent, self.ran_on));
        };
        if let Some((known, _)) = &target.upstream {
            self.tried.upstreams.push(known.upstream.name.clone());
        }
        let chosen_at = Instant::now();
        let context = Arc::clone(&self.context);
        let upstream = target.upstream.as_ref();
        let upstream = upstream.map(|(known, number)| (known.upstream.name.clone(), *number));
        let pool = self.call.pool.clone();
        let ticket = target.ticket;
        let mut guard = SendGuard { context, pool, upstream, ticket, end: SendEnd::Cancelled };
        let opened = self.open_target(&target, chosen_at).await;
        self.sending = false;
        match opened {
            Ok((response, connection)) => {
                self.read_answer(&target, chosen_at, guard, response, connection).await
            }
            Err(failure) => {
                guard.end(failure.end);
                if let Some(region) =
                    self.tried.regions.last().filter(|_| target.upstream.is_none())
                {
                    self.context.chooser().note_unreachable(region, Instant::now());
                }
                Err(self.note_failure(&target, failure, chosen_at))
            }
        }
    }

    /// Connects, sends and waits for the head of the answer.
    async fn open_target(
        &mut self,
        target: &AttemptTarget,
        chosen_at: Instant,
    ) -> Result<(Response<Incoming>, TakenConnection), AttemptFailure> {
        let mut stale = 0;
        loop {
            let taken = self.context.connections.take(&target.connection, target.connections).await;
            let mut connection = taken.map_err(|error| match error {
                ConnectError::Exhausted => AttemptFailure {
                    end: SendEnd::Refused,
                    ..self.lose(target, LostAttempt::Unsent("all connections in use".into()))
                },
                ConnectError::Failed(cause) => self.lose(target, LostAttempt::Unsent(cause)),
            })?;
            if let Some(cause) = self.outdated(target, chosen_at) {
                return Err(AttemptFailure {
                    end: SendEnd::Cancelled,
                    ..self.lose(target, LostAttempt::Unsent(cause.to_owned()))
                });
            }
            let request = self.build_request(target);
            self.sending = true;
            match connection.exchange(request).await {
                Ok(response) => return Ok((response, connection)),
                Err(ExchangeError::Unsent(cause)) => {
                    self.sending = false;
                    stale += 1;
                    if stale > STALE_CONNECTIONS {
                        return Err(self.lose(target, LostAttempt::Unsent(cause)));
                    }
                }
                Err(ExchangeError::Broken(cause)) => {
                    return Err(self.lose(target, LostAttempt::Sent(cause)));
                }
            }
        }
    }

    /// Why a choice may not be used any more, if so.
    fn outdated(&self, target: &AttemptTarget, chosen_at: Instant) -> Option<&'static str> {
        if chosen_at.elapsed() > DISPATCH_BOUND {
            return Some("the choice is too old");
        }
        let (known, _) = target.upstream.as_ref()?;
        let may_send = self.context.chooser().may_send(&known.upstream, Instant::now());
        (!may_send).then_some("the upstream wants no more work")
    }

    /// An attempt that ended without the head of an answer. Another entry that was lost may have
    /// used all attempts that it was allowed.
    fn lose(&self, target: &AttemptTarget, lost: LostAttempt) -> AttemptFailure {
        let unsent = matches!(lost, LostAttempt::Unsent(_));
        let ran_on = match (unsent, &target.upstream) {
            (true, _) => self.ran_on,
            (false, Some(_)) => self.ran_on + 1,
            (false, None) => self.call.route.attempts.max(self.ran_on + 1),
        };
        AttemptFailure::lost(lost, ran_on)
    }

    fn build_request(&self, target: &AttemptTarget) -> Request<Full<Bytes>> {
        let now = Instant::now();
        let call = &self.call;
        let mut request = Request::new(Full::new(call.body.clone()));
        *request.method_mut() = call.method.clone();
        *request.uri_mut() = origin_form(&call.target);
        *request.headers_mut() = call.headers.clone();
        let headers = request.headers_mut();
        match &target.upstream {
            Some((known, _)) => {
                let note = AttemptNote {
                    attempt: &call.attempt,
                    remaining: call.remaining(now),
                    upstream: Some(&known.upstream.name),
                    rank: call.route.rank,
                    resume_after: self.resume_after.as_deref(),
                };
                self.context.dialect.write_attempt(headers, &note);
            }
            None => {
                let order = HopOrder::new(call, self.ran_on, self.resume_after.as_ref(), now);
                match order.encode() {
                    Some(order) => drop(headers.insert(HOP_HEADER, order)),
                    None => log::warn!("hop order of {} not encoded", call.attempt),
                }
            }
        }
        request
    }

    /// Takes what an upstream's answer says of the upstream itself.
    fn note_upstream(&self, target: &AttemptTarget, known: &KnownUpstream, head: &AnswerHead) {
        if head.misdirected {
            // Another upstream has the address.
            return;
        }
        let now = Instant::now();
        let upstream = &known.upstream;
        if head.leaving {
            self.context.chooser().note_leaving(&upstream.name, upstream.started_ms, now);
        }
        if let Some(pause) = head.pause() {
            self.context.chooser().note_pause(&upstream.name, pause, now);
            if let Some(ticket) = target.ticket {
                self.context.grants.held().note_paused(ticket, pause);
            }
        }
    }

    /// Judges the head of an answer, and reads what must be known of its body.
    async fn read_answer(
        &mut self,
        target: &AttemptTarget,
        chosen_at: Instant,
        mut guard: SendGuard,
        response: Response<Incoming>,
        connection: TakenConnection,
    ) -> Result<OpenAnswer, AttemptFailure> {
        let (parts, mut body) = response.into_parts();
        let head = self.context.dialect.read_answer_head(parts.status, &parts.headers);
        if let Some((known, _)) = &target.upstream {
            self.note_upstream(target, known, &head);
        }
        let hop = target.upstream.is_none();
        let ran = hop.then(|| read_ran(&parts.headers)).flatten();
        let verdict = match ran {
            Some(Ran::No) => Verdict::NotRun,
            Some(Ran::Unknown) => Verdict::Unknown,
            None => judge_head(&head, &self.call.attempt),
        };
        let keep_alive = read_keep_alive(&parts.headers);
        let mut headers = parts.headers;
        strip_connection_headers(&mut headers);
        headers.remove(RAN_HEADER);
        let told = read_ran_on(&headers).filter(|_| hop);
        let arrived = !hop || read_arrived(&headers).unwrap_or(true);
        headers.remove(RAN_ON_HEADER);
        headers.remove(ARRIVED_HEADER);
        let before = self.ran_on;
        let ran_on = told.unwrap_or(before + 1).max(before);
        let mut cause = format!("status {}", parts.status);
        let mut outcome = verdict;
        if verdict == Verdict::Answer {
            self.sending = true;
            match read_start(&self.call, &mut body).await {
                Ok((first, whole)) => {
                    self.sending = false;
                    // The answer's own upstream counts only once the answer has broken off.
                    self.ran_on = ran_on.max(1) - 1;
                    guard.note_answering();
                    self.note_attempt(target.describe(), verdict, "", target.basis, chosen_at);
                    return Ok(OpenAnswer {
                        status: parts.status,
                        headers,
                        first,
                        whole,
                        body,
                        guard,
                        connection,
                        keep_alive,
                    });
                }
                Err(broken) => {
                    self.sending = false;
                    cause = broken;
                    outcome = Verdict::Unknown;
                }
            }
        }
        let mut failure = AttemptFailure {
            verdict: outcome,
            arrived,
            ran_on: if outcome == Verdict::NotRun { told.unwrap_or(before) } else { ran_on },
            cause,
            kept: None,
            retry_after: head.retry_after,
            end: SendEnd::Broken,
        };
        match outcome {
            Verdict::Failure => {
                self.sending = true;
                let read = timeout(FAILURE_BOUND, collect(&mut body, WHOLE_BYTES)).await;
                self.sending = false;
                match read
                    .unwrap_or_else(|_| Err(format!("{}, its body did not end", failure.cause)))
                {
                    Ok((body, true)) => {
                        connection.keep(keep_alive);
                        failure.end = SendEnd::Failed;
                        let status = parts.status;
                        failure.kept = Some(Box::new(KeptFailure { status, headers, body }));
                    }
                    Ok((_, false)) => {
                        failure.verdict = Verdict::Unknown;
                        failure.cause = format!("{}, its body is too large", failure.cause);
                    }
                    Err(cause) => {
                        failure.verdict = Verdict::Unknown;
                        failure.cause = cause;
                    }
                }
            }
            Verdict::NotRun if !head.misdirected => {
                failure.end = SendEnd::Refused;
                if let Some((known, _)) = &target.upstream
                    && head.pause().is_none()
                {
                    let name = &known.upstream.name;
                    self.context.chooser().note_full(name, Instant::now());
                }
                if let Ok(Ok((_, true))) =
                    timeout(DISCARD_BOUND, collect(&mut body, WHOLE_BYTES)).await
                {
                    connection.keep(keep_alive);
                }
            }
            _ => {}
        }
        guard.end(failure.end);
        Err(self.note_failure(target, failure, chosen_at))
    }

    fn note_failure(
        &mut self,
        target: &AttemptTarget,
        failure: AttemptFailure,
        chosen_at: Instant,
    ) -> AttemptFailure {
        let AttemptFailure { verdict, cause, .. } = &failure;
        self.note_attempt(target.describe(), *verdict, cause, target.basis, chosen_at);
        failure
    }
}

/// Reads the first part of a stream, or all of another answer; also says whether that is all.
async fn read_start(call: &RoutedCall, body: &mut Incoming) -> Result<(Bytes, bool), String> {
    if !call.repeat().is_stream() {
        return collect(body, WHOLE_BYTES).await;
    }
    loop {
        match body.frame().await {
            None => return Ok((Bytes::new(), true)),
            Some(Err(error)) => return Err(describe_error(&error)),
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data()
                    && !data.is_empty()
                {
                    return Ok((data, false));
                }
            }
        }
    }
}

/// Reads up to `most` bytes or a little more; also says whether that is all.
async fn collect(body: &mut Incoming, most: usize) -> Result<(Bytes, bool), String> {
    let mut collected = BytesMut::new();
    loop {
        if body.is_end_stream() {
            return Ok((collected.freeze(), true));
        }
        match body.frame().await {
            None => return Ok((collected.freeze(), true)),
            Some(Err(error)) => return Err(describe_error(&error)),
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    collected.extend_from_slice(&data);
                }
                if collected.len() > most {
                    return Ok((collected.freeze(), false));
                }
            }
        }
    }
}

/// Path and query alone, as requests to a server name them.
fn origin_form(target: &Uri) -> Uri {
    let path = target.path_and_query().cloned();
    path.map(Uri::from).unwrap_or_else(|| target.clone())
}
