//! One attempt to send a request to an upstream, or to another entry.

use crate::{
    answer::Ran,
    gateway::{
        decision::{
            call::RoutedCall,
            choice::{ChoiceBasis, UpstreamChoice},
            grant_allocator::GrantTicket,
            tracker::{SendEnd, SendNumber},
        },
        edge::{
            answer_buffers::BufferShare,
            connections::{ConnectError, ConnectionTarget, ExchangeError, PooledConnection},
            dialect::AttemptMetadata,
            headers::{read_keep_alive, strip_connection_headers},
            hop::{
                ARRIVED_HEADER, HOP_HEADER, HopMetadata, QUARANTINED_HEADER, RAN_HEADER,
                RAN_ON_HEADER, SOFTWARE_HEADER, read_arrived, read_ran, read_ran_on, read_software,
            },
            outcome::{LostAttempt, Verdict, classify_head, classify_loss},
        },
        knowledge::{
            answer_head::AnswerHead,
            send_rate::{SendRate, StatedLimit},
            view::KnownUpstream,
        },
        request::{
            context::EntryContext,
            record::{AttemptEntry, verdict_name},
            relay::CallRelay,
        },
    },
    http::describe_error,
    name::{PoolName, RegionName, SoftwareVersion, UpstreamName},
};
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::{
    HeaderMap, Request, Response, StatusCode, Uri,
    body::{Body, Incoming},
    header::{CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING},
};
use std::{sync::Arc, time::Duration};
use tokio::time::{Instant, timeout};

/// Media type of a stream of events.
const EVENT_STREAM: &str = "text/event-stream";

/// Longest time between the choice of a target and the first byte sent to it. A process that was
/// suspended in between must choose again.
const MAX_DISPATCH_DELAY: Duration = Duration::from_millis(1_500);

/// Answers up to this many bytes are buffered until they are complete; longer ones are forwarded as
/// they arrive. Several hundred buffered answers must fit into a small instance's memory.
const MAX_BUFFERED_BYTES: usize = 256 * 1024;

/// Longest time to read the body of a failure answer. The body usually arrives with the head;
/// otherwise the request is better sent to another upstream.
const FAILURE_BODY_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest time to read the rest of a discarded answer so that its connection can be reused.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(50);

/// Maximum number of connections to one other entry.
const MAX_HOP_CONNECTIONS: usize = 256;

/// Maximum number of closed pooled connections that one attempt skips before it fails.
const MAX_STALE_CONNECTIONS: u32 = 3;

/// A failure answer of an upstream, forwarded to the caller if no later attempt succeeds.
#[derive(Debug)]
pub(crate) struct UpstreamFailure {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// An attempt that produced no answer to forward.
#[derive(Debug)]
pub(crate) struct AttemptFailure {
    pub(crate) verdict: Verdict,
    /// Whether the request may have reached an upstream.
    pub(crate) may_have_arrived: bool,
    /// Number of upstreams that may have run the request, including earlier attempts.
    pub(crate) possible_runs: u32,
    pub(crate) cause: String,
    pub(crate) upstream_failure: Option<Box<UpstreamFailure>>,
    pub(crate) retry_after: Option<Duration>,
    /// Whether another entry refused the request because it is quarantined.
    pub(crate) quarantined: bool,
    limit: StatedLimit,
    end: SendEnd,
}

impl AttemptFailure {
    fn lost(lost: LostAttempt, possible_runs: u32) -> Self {
        let verdict = classify_loss(&lost);
        let may_have_arrived = verdict != Verdict::NotRun;
        let (LostAttempt::Unsent(cause) | LostAttempt::Sent(cause)) = lost;
        let end = SendEnd::Broken;
        Self {
            verdict,
            may_have_arrived,
            possible_runs,
            cause,
            upstream_failure: None,
            retry_after: None,
            quarantined: false,
            limit: StatedLimit::default(),
            end,
        }
    }
}

/// Reports the end of an attempt to the chooser and the held grants when dropped.
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

/// An answer whose head and first bytes have arrived.
#[derive(Debug)]
pub(crate) struct StartedAnswer {
    pub(crate) status: StatusCode,
    /// Headers to forward to the caller.
    pub(crate) headers: HeaderMap,
    /// Part of the body received so far.
    pub(crate) received: Bytes,
    /// Whether `received` is the complete body.
    pub(crate) complete: bool,
    pub(crate) body: Incoming,
    pub(crate) guard: SendGuard,
    /// Whether the body is a stream of events.
    pub(crate) has_events: bool,
    /// The upstream that answers; none if another entry forwards its answer.
    pub(crate) upstream: Option<Arc<KnownUpstream>>,
    /// Version of the upstream's software; none if the entry that forwards its answer does not tell it.
    pub(crate) software: Option<SoftwareVersion>,
    /// Whether the body ends with the connection.
    ends_with_connection: bool,
    connection: PooledConnection,
    keep_alive: Option<Duration>,
}

impl StartedAnswer {
    /// Waits for the end of the connection if the body ends with it. Fails if that was not in order, so
    /// that the body may be a part.
    pub(crate) async fn wait_end(&mut self) -> Result<(), String> {
        match self.ends_with_connection {
            true => self.connection.wait_closed().await,
            false => Ok(()),
        }
    }

    /// Whether the end of the body shows that the answer is whole. The end of a connection does not, as
    /// the connections of a process that crashes end too.
    pub(crate) fn shows_end(&self) -> bool {
        !self.ends_with_connection
    }

    /// Marks a fully read answer as successful and returns its connection to the pool.
    pub(crate) fn finish(mut self) {
        self.guard.end(SendEnd::Whole);
        self.connection.keep(self.keep_alive);
    }
}

/// Destination of an attempt.
struct AttemptTarget {
    connection: ConnectionTarget,
    connections: usize,
    /// Region of the entry, if the target is one.
    region: Option<RegionName>,
    /// The upstream and the number of the send; none if the target is another entry.
    upstream: Option<(Arc<KnownUpstream>, SendNumber)>,
    ticket: Option<GrantTicket>,
    basis: ChoiceBasis,
    paced: bool,
}

impl AttemptTarget {
    fn from_choice(choice: UpstreamChoice) -> Option<Self> {
        match choice {
            UpstreamChoice::Upstream { known, number, connections, basis, ticket, paced } => {
                let name = known.upstream.name.clone();
                let address = known.upstream.address;
                let connection = ConnectionTarget { address, upstream: Some(name) };
                let upstream = Some((known, number));
                Some(Self { connection, connections, region: None, upstream, ticket, basis, paced })
            }
            UpstreamChoice::Region { region, entry, basis } => {
                let connection = ConnectionTarget { address: entry, upstream: None };
                let connections = MAX_HOP_CONNECTIONS;
                let (upstream, ticket, paced) = (None, None, false);
                let region = Some(region);
                Some(Self { connection, connections, region, upstream, ticket, basis, paced })
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

    /// Log entry of an attempt to this target, without a cause.
    fn entry(
        &self,
        verdict: Verdict,
        software: Option<SoftwareVersion>,
        limit: StatedLimit,
        since: Instant,
    ) -> AttemptEntry {
        AttemptEntry {
            to: self.describe(),
            software,
            verdict: verdict_name(verdict),
            cause: String::new(),
            limit_per_s: limit.rate().filter(|_| self.upstream.is_some()).map(SendRate::per_s),
            basis: self.basis,
            took_ms: since.elapsed().as_millis() as u64,
        }
    }
}

impl CallRelay {
    /// Releases a choice that will not be used.
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

    /// Sends the request to the target of `choice` and reads the start of the answer.
    pub(crate) async fn attempt(
        &mut self,
        choice: UpstreamChoice,
    ) -> Result<StartedAnswer, AttemptFailure> {
        if let UpstreamChoice::Region { region, entry, .. } = &choice {
            self.context.metrics.count_hop(region.as_str());
            match *region == self.context.node.region {
                true => self.tried.entries.push(*entry),
                false => self.tried.regions.push(region.clone()),
            }
        }
        let region = match &choice {
            UpstreamChoice::Region { region, .. } => Some(region.clone()),
            _ => None,
        };
        let attempted = self.attempt_target(choice).await;
        if let Some(region) = region {
            let not_run = |failure: &AttemptFailure| failure.verdict == Verdict::NotRun;
            let accepted = !attempted.as_ref().is_err_and(not_run);
            self.context.note_forwarded(&self.call.pool, &region, accepted);
        }
        attempted
    }

    async fn attempt_target(
        &mut self,
        choice: UpstreamChoice,
    ) -> Result<StartedAnswer, AttemptFailure> {
        let Some(target) = AttemptTarget::from_choice(choice) else {
            let unsent = LostAttempt::Unsent("no target was chosen".to_owned());
            return Err(AttemptFailure::lost(unsent, self.possible_runs));
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
                if let Some((known, _)) = &target.upstream {
                    if failure.verdict == Verdict::Unknown {
                        self.note_broken(known, false);
                    }
                    if failure.end == SendEnd::Broken {
                        self.context.note_unanswered(&known.upstream);
                    }
                }
                guard.end(failure.end);
                self.note_lost_hop(&target);
                Err(self.record_failure(&target, failure, chosen_at))
            }
        }
    }

    /// Backs off from the entry, or from its region, to which a request could not be forwarded.
    fn note_lost_hop(&self, target: &AttemptTarget) {
        let Some(region) = &target.region else { return };
        let now = Instant::now();
        match *region == self.context.node.region {
            true => self.context.chooser().note_lost_entry(target.connection.address, now),
            false => self.context.chooser().note_unreachable(region, now),
        }
    }

    /// Connects, sends the request and waits for the head of the answer. Nothing was sent on a
    /// pooled connection that turns out to be closed, so the next one is tried.
    async fn open_target(
        &mut self,
        target: &AttemptTarget,
        chosen_at: Instant,
    ) -> Result<(Response<Incoming>, PooledConnection), AttemptFailure> {
        let mut stale = 0;
        loop {
            let taken = self.context.connections.take(&target.connection, target.connections).await;
            let mut connection = taken.map_err(|error| match error {
                ConnectError::Exhausted => AttemptFailure {
                    end: SendEnd::Refused,
                    ..self.failure_of(target, LostAttempt::Unsent("all connections in use".into()))
                },
                ConnectError::Failed(cause) => self.failure_of(target, LostAttempt::Unsent(cause)),
            })?;
            if let Some(cause) = self.stale_reason(target, chosen_at) {
                return Err(AttemptFailure {
                    end: SendEnd::Cancelled,
                    ..self.failure_of(target, LostAttempt::Unsent(cause.to_owned()))
                });
            }
            let request = self.build_request(target);
            self.sending = true;
            match connection.exchange(request).await {
                Ok(response) => return Ok((response, connection)),
                Err(ExchangeError::Unsent(cause)) => {
                    self.sending = false;
                    stale += 1;
                    if stale > MAX_STALE_CONNECTIONS {
                        return Err(self.failure_of(target, LostAttempt::Unsent(cause)));
                    }
                }
                Err(ExchangeError::Broken(cause)) => {
                    return Err(self.failure_of(target, LostAttempt::Sent(cause)));
                }
            }
        }
    }

    /// Reason why the choice must not be used any more, if there is one.
    fn stale_reason(&self, target: &AttemptTarget, chosen_at: Instant) -> Option<&'static str> {
        if chosen_at.elapsed() > MAX_DISPATCH_DELAY {
            return Some("the choice is too old");
        }
        let (known, _) = target.upstream.as_ref()?;
        let now = Instant::now();
        let may_send = self.context.chooser().may_send(&known.upstream, target.paced, now);
        (!may_send).then_some("the upstream wants no more work")
    }

    /// Failure for an attempt that ended without the head of an answer. If an entry of another
    /// region was lost, it may have used all attempts that the route allows.
    fn failure_of(&self, target: &AttemptTarget, lost: LostAttempt) -> AttemptFailure {
        let unsent = matches!(lost, LostAttempt::Unsent(_));
        let possible_runs = match (unsent, &target.upstream) {
            (true, _) => self.possible_runs,
            (false, Some(_)) => self.possible_runs + 1,
            (false, None) => self.call.route.attempts.max(self.possible_runs + 1),
        };
        AttemptFailure::lost(lost, possible_runs)
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
                let note = AttemptMetadata {
                    attempt: &call.attempt,
                    remaining: call.remaining(now),
                    upstream: Some(&known.upstream.name),
                    rank: call.rank(),
                    resume_after: self.resume_after.as_deref(),
                    workspace: call.workspace.as_ref().map(|workspace| &workspace.name),
                };
                self.context.dialect.write_attempt(headers, &note);
            }
            None => {
                let last = self.resume_after.as_ref();
                let software = self.origin.software();
                let metadata = HopMetadata::new(call, self.possible_runs, last, software, now);
                match metadata.encode() {
                    Some(metadata) => drop(headers.insert(HOP_HEADER, metadata)),
                    None => log::warn!("hop metadata of {} not encoded", call.attempt),
                }
            }
        }
        request
    }

    /// Passes the upstream's announcements in an answer, that it is leaving or wants a pause, to
    /// the chooser and the held grants.
    fn apply_upstream_state(
        &self,
        target: &AttemptTarget,
        known: &KnownUpstream,
        head: &AnswerHead,
        sent_at: Instant,
    ) {
        if head.misdirected {
            // Another upstream uses this address now, so the answer does not describe `known`.
            return;
        }
        let now = Instant::now();
        let upstream = &known.upstream;
        // The end of a condition shows only from an answer to this attempt.
        let own = head.attempt.as_ref() == Some(&self.call.attempt);
        if own || head.limit.rate().is_some() || head.brittle.is_some() {
            self.context.note_condition(upstream, head, sent_at);
        }
        if head.leaving {
            self.context.chooser().note_leaving(&upstream.name, upstream.started_ms, now);
        }
        if head.limit.rate().is_some() {
            self.context.metrics.count_limited_answer(&self.call.pool);
        }
        if let Some(pause) = head.pause() {
            self.context.chooser().note_pause(&upstream.name, pause, now);
            if let Some(ticket) = target.ticket {
                self.context.grants.held().note_paused(ticket, pause);
            }
        }
    }

    /// Classifies the head of an answer and reads as much of its body as the verdict needs.
    async fn read_answer(
        &mut self,
        target: &AttemptTarget,
        chosen_at: Instant,
        mut guard: SendGuard,
        response: Response<Incoming>,
        mut connection: PooledConnection,
    ) -> Result<StartedAnswer, AttemptFailure> {
        let (parts, mut body) = response.into_parts();
        let head = self.context.dialect.read_answer_head(parts.status, &parts.headers);
        if let Some((known, _)) = &target.upstream {
            if !head.misdirected {
                self.context.note_reached(&known.upstream);
            }
            self.apply_upstream_state(target, known, &head, chosen_at);
        }
        let is_hop = target.upstream.is_none();
        let attempt = &self.call.attempt;
        let ran = is_hop.then(|| read_ran(&parts.headers)).flatten();
        let verdict = match ran {
            Some(Ran::No) => Verdict::NotRun,
            Some(Ran::Unknown) => Verdict::Unknown,
            None => classify_head(&head, attempt, connection.find_use(attempt)),
        };
        let keep_alive = read_keep_alive(&parts.headers);
        let has_events = has_events(&parts.headers);
        let ends_with_connection = !is_framed(&parts.headers) && !body.is_end_stream();
        let mut headers = parts.headers;
        strip_connection_headers(&mut headers);
        headers.remove(RAN_HEADER);
        let reported_runs = read_ran_on(&headers).filter(|_| is_hop);
        let may_have_arrived = !is_hop || read_arrived(&headers).unwrap_or(true);
        headers.remove(RAN_ON_HEADER);
        headers.remove(ARRIVED_HEADER);
        let quarantined = headers.remove(QUARANTINED_HEADER).is_some() && is_hop;
        let software = match &target.upstream {
            Some((known, _)) => Some(known.upstream.software.clone()),
            None => read_software(&headers),
        };
        headers.remove(SOFTWARE_HEADER);
        let earlier_runs = self.possible_runs;
        let possible_runs = reported_runs.unwrap_or(earlier_runs + 1).max(earlier_runs);
        let mut cause = format!("status {}", parts.status);
        let mut outcome = verdict;
        let required = self.origin.software();
        if verdict == Verdict::Answer && required.is_some() && required != software.as_ref() {
            cause = "the entry does not keep to the software version of the stream".to_owned();
            outcome = Verdict::Unknown;
        } else if verdict == Verdict::Answer
            && self.continues.is_some_and(|stream| stream != (parts.status, has_events))
        {
            cause = "the answer does not continue the stream".to_owned();
            outcome = Verdict::Unknown;
        } else if verdict == Verdict::Answer {
            self.sending = true;
            let mut first = read_first_part(&self.call, &mut body, &mut self.held).await;
            if ends_with_connection && matches!(first, Ok((_, true))) {
                first = connection.wait_closed().await.and(first);
            }
            let ended_early = |received: &Bytes, complete: bool| {
                let streams = has_events && self.call.repeat().is_stream();
                streams && ends_with_connection && complete && received.is_empty()
            };
            match first {
                Ok((received, complete)) if ended_early(&received, complete) => {
                    self.sending = false;
                    if let Some((known, _)) = &target.upstream {
                        self.note_broken(known, false);
                    }
                    cause = "the stream ended before its first event".to_owned();
                    outcome = Verdict::Unknown;
                }
                Ok((received, complete)) => {
                    self.sending = false;
                    if !self.call.repeat().is_stream() {
                        self.note_began();
                    }
                    // The answering upstream is counted only if its answer breaks off.
                    self.possible_runs = possible_runs.max(1) - 1;
                    guard.note_answering();
                    let entry = target.entry(verdict, software.clone(), head.limit, chosen_at);
                    self.record.record_attempt(entry);
                    return Ok(StartedAnswer {
                        status: parts.status,
                        headers,
                        received,
                        complete,
                        body,
                        guard,
                        has_events,
                        upstream: target.upstream.as_ref().map(|(known, _)| Arc::clone(known)),
                        software,
                        ends_with_connection,
                        connection,
                        keep_alive,
                    });
                }
                Err(error) => {
                    self.sending = false;
                    if let Some((known, _)) = &target.upstream {
                        self.note_broken(known, false);
                    }
                    cause = error;
                    outcome = Verdict::Unknown;
                }
            }
        }
        let mut failure = AttemptFailure {
            verdict: outcome,
            may_have_arrived,
            possible_runs: if outcome == Verdict::NotRun {
                reported_runs.unwrap_or(earlier_runs)
            } else {
                possible_runs
            },
            cause,
            upstream_failure: None,
            retry_after: head.retry_after,
            quarantined,
            limit: head.limit,
            end: SendEnd::Broken,
        };
        match outcome {
            Verdict::Failure => {
                self.sending = true;
                let read = async {
                    let (body, complete) = read_bounded(&mut body, &mut self.held).await?;
                    if ends_with_connection && complete {
                        connection.wait_closed().await?;
                    }
                    Ok((body, complete))
                };
                let read = timeout(FAILURE_BODY_TIMEOUT, read).await;
                self.sending = false;
                match read
                    .unwrap_or_else(|_| Err(format!("{}, its body did not end", failure.cause)))
                {
                    Ok((body, true)) => {
                        connection.keep(keep_alive);
                        failure.end = SendEnd::Failed;
                        let status = parts.status;
                        failure.upstream_failure =
                            Some(Box::new(UpstreamFailure { status, headers, body }));
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
                let mut share = self.context.memory.answers.share();
                if let Ok(Ok((_, true))) =
                    timeout(DISCARD_TIMEOUT, read_bounded(&mut body, &mut share)).await
                {
                    if !is_hop {
                        connection.note_refused(&self.call.attempt);
                    }
                    connection.keep(keep_alive);
                }
            }
            _ => {}
        }
        guard.end(failure.end);
        Err(self.record_failure(target, failure, chosen_at))
    }

    /// Records that the connection to an upstream broke before its answer was whole, and whether it had
    /// `begun`. An upstream that is leaving may end with answers under way, which says nothing of them.
    pub(crate) fn note_broken(&self, known: &KnownUpstream, begun: bool) {
        let is_listed = || self.context.view.load().find_start(&known.upstream).is_some();
        if begun && (!is_listed() || self.context.chooser().has_departed(known)) {
            return;
        }
        let (context, upstream) = (Arc::clone(&self.context), Arc::clone(&known.upstream));
        let find_start = move || context.view.load().find_start(&upstream);
        self.context.crashes.note_broken(known, self.traits(), begun, find_start);
    }

    fn record_failure(
        &mut self,
        target: &AttemptTarget,
        failure: AttemptFailure,
        chosen_at: Instant,
    ) -> AttemptFailure {
        let software = target.upstream.as_ref().map(|(known, _)| known.upstream.software.clone());
        let cause = failure.cause.clone();
        let entry = target.entry(failure.verdict, software, failure.limit, chosen_at);
        self.record.record_attempt(AttemptEntry { cause, ..entry });
        failure
    }
}

/// Whether the body is a stream of events, by its type.
fn has_events(headers: &HeaderMap) -> bool {
    let kind = headers.get(CONTENT_TYPE).and_then(|kind| kind.to_str().ok());
    kind.is_some_and(|kind| kind.trim_start().to_ascii_lowercase().starts_with(EVENT_STREAM))
}

/// Whether the end of the body shows from its length or its chunks; otherwise it ends with the
/// connection.
fn is_framed(headers: &HeaderMap) -> bool {
    let coding = headers.get_all(TRANSFER_ENCODING).iter().next_back();
    match coding.map(|coding| coding.to_str().unwrap_or_default().trim_end()) {
        Some(coding) => coding.to_ascii_lowercase().ends_with("chunked"),
        None => headers.contains_key(CONTENT_LENGTH),
    }
}

/// Reads the first data of a stream, or up to [`MAX_BUFFERED_BYTES`] of any other answer. The flag
/// tells whether the body is complete.
async fn read_first_part(
    call: &RoutedCall,
    body: &mut Incoming,
    share: &mut BufferShare,
) -> Result<(Bytes, bool), String> {
    if !call.repeat().is_stream() {
        return read_bounded(body, share).await;
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

/// Reads a body until it ends, or exceeds [`MAX_BUFFERED_BYTES`] or the room for `share` by part of a
/// frame. The flag tells whether the body is complete.
async fn read_bounded(
    body: &mut Incoming,
    share: &mut BufferShare,
) -> Result<(Bytes, bool), String> {
    let mut collected = BytesMut::new();
    loop {
        if body.is_end_stream() {
            return Ok((collected.freeze(), true));
        }
        match body.frame().await {
            None => return Ok((collected.freeze(), true)),
            Some(Err(error)) => return Err(describe_error(&error)),
            Some(Ok(frame)) => {
                let data = frame.into_data().unwrap_or_default();
                collected.extend_from_slice(&data);
                if !share.grow(data.len()) || collected.len() > MAX_BUFFERED_BYTES {
                    return Ok((collected.freeze(), false));
                }
            }
        }
    }
}

/// Path and query of `target`: the origin form of RFC 9112, which requests to a server use.
fn origin_form(target: &Uri) -> Uri {
    let path = target.path_and_query().cloned();
    path.map(Uri::from).unwrap_or_else(|| target.clone())
}
