//! HTTP interface of an entry for callers, upstreams and other entries.

use crate::{
    answer::{Refusal, RefusalCode},
    claim::correct_ran,
    decode::{RequestBody, RequestPath, RequestPlan, decode_request},
    dispatch::{CALL_PATH, CHAT_PATH},
    entry::{EntryContext, InFlightGuard},
    http::{AnswerBody, BodyError, json_answer, read_body, stream_answer},
    limits::guard_answer,
    membership::MembershipMessage,
    name::{AttemptId, RequestId},
    relay::{AnswerSource, RelayedStep, RelayedStream, RequestRelay, StreamRemainder},
    sessions::{SESSIONS_PATH, issue_session},
    stream::{EventScanner, encode_event},
    trace::RequestTrace,
    wire::{
        AnnounceReply, CallAnswer, CallRequest, ChatChoice, ChatChunk, ChatDelta, ChatRequest,
        ChunkView, END_MARKER, ErrorBody, FORWARDED_HEADER, REGION_HEADER, REQUEST_HEADER,
        UPSTREAM_HEADER,
    },
};
use bytes::Bytes;
use futures::stream::{self, StreamExt};
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode,
    body::Incoming,
    header::{HeaderValue, RETRY_AFTER},
};
use ractor::RpcReplyPort;
use serde::de::DeserializeOwned;
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::time::Instant;

/// Path at which upstreams announce themselves.
pub const ANNOUNCE_PATH: &str = "/v1/announce";

/// Path at which upstreams renew their announcements.
pub const RENEW_PATH: &str = "/v1/renew";

/// Path at which callers list the entries.
pub const ENTRIES_PATH: &str = "/v1/entries";

/// Answers one request of a caller, an upstream or another entry.
pub(crate) async fn answer_request(
    context: Arc<EntryContext>,
    peer: SocketAddr,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    if !matches!(request.uri().path(), SESSIONS_PATH | CHAT_PATH | CALL_PATH)
        || request.headers().contains_key(FORWARDED_HEADER)
    {
        return dispatch_path(context, request).await;
    }
    let Some(guard) = context.caller_limiter().try_acquire(peer.ip()) else {
        let limit = context.caller_limiter().limit();
        let message = format!("{} has {limit} requests in flight, its limit", peer.ip());
        let refusal = Refusal::not_run(RefusalCode::TooManyStreams, message);
        let refusal = refusal.retry_after(Duration::from_secs(1));
        return refuse_early(&context, &context.new_request_id(), refusal);
    };
    guard_answer(dispatch_path(context, request).await, guard)
}

async fn dispatch_path(
    context: Arc<EntryContext>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let (head, body) = request.into_parts();
    let new_id = context.new_request_id();
    let limits = &context.node().limits;
    let bound = Duration::from_millis(limits.send_ms);
    let body = match read_body(body, limits.body_bytes, bound).await {
        Ok(body) => body,
        Err(error) => {
            return refuse_early(&context, &new_id, body_refusal(error, limits.body_bytes));
        }
    };
    match (head.method, head.uri.path()) {
        (Method::GET, ENTRIES_PATH) => list_entries(&context).await,
        (
            Method::POST,
            path @ (ANNOUNCE_PATH | RENEW_PATH | SESSIONS_PATH | CHAT_PATH | CALL_PATH),
        ) if context.stop().is_draining() => {
            if path != ANNOUNCE_PATH && path != RENEW_PATH {
                context.stop().count_refusal();
            }
            context.metrics().count_early_refusal(RefusalCode::Draining);
            context.stop().refuse(&new_id, context.least_loaded_entry())
        }
        (Method::POST, SESSIONS_PATH) => issue_session(&context, &head.headers, &new_id).await,
        (Method::POST, ANNOUNCE_PATH) => {
            let message = |record, reply| MembershipMessage::Announce(Box::new(record), reply);
            announce(&context, &new_id, &body, message).await
        }
        (Method::POST, RENEW_PATH) => {
            let message = |renewal, reply| MembershipMessage::Renew(Box::new(renewal), reply);
            announce(&context, &new_id, &body, message).await
        }
        (Method::POST, CHAT_PATH) => {
            answer_planned(context, RequestPath::Chat, &head.headers, &body, new_id).await
        }
        (Method::POST, CALL_PATH) => {
            answer_planned(context, RequestPath::Call, &head.headers, &body, new_id).await
        }
        (method, path) => {
            let message = format!("no such path: {method} {path}");
            refuse_early(&context, &new_id, Refusal::not_run(RefusalCode::NotFound, message))
        }
    }
}

async fn answer_planned(
    context: Arc<EntryContext>,
    path: RequestPath,
    headers: &HeaderMap,
    body: &[u8],
    new_id: RequestId,
) -> Response<AnswerBody> {
    let arrived = Instant::now();
    let settings = context.settings().newest();
    if !context.settings().is_ready() {
        let refusal = Refusal::not_run(RefusalCode::NotReady, "no settings have arrived yet");
        return refuse_early(&context, &new_id, refusal.retry_after(Duration::from_secs(1)));
    }
    let plan = match decode_request(path, headers, body, &settings.tree, new_id.clone()) {
        Ok(plan) => Arc::new(plan),
        Err(refusal) => return refuse_early(&context, &new_id, refusal),
    };
    let _guard = context.track_request();
    let trace = RequestTrace::new(Arc::clone(&context), Arc::clone(&plan), arrived);
    let answer = run_plan(&context, &plan, &trace, arrived).await;
    answer.unwrap_or_else(|refusal| {
        let refusal = correct_ran(&plan, refusal, arrived.elapsed());
        trace.end_refused(refusal.code);
        refuse(&plan.request, refusal)
    })
}

async fn run_plan(
    context: &Arc<EntryContext>,
    plan: &Arc<RequestPlan>,
    trace: &Arc<RequestTrace>,
    arrived: Instant,
) -> Result<Response<AnswerBody>, Refusal> {
    let relay =
        RequestRelay::new(Arc::clone(context), Arc::clone(plan), Arc::clone(trace), arrived);
    match &plan.body {
        RequestBody::Call(call) => answer_call(relay, plan, trace, call).await,
        RequestBody::Chat(_) if !plan.repeatable => Err(Refusal::not_run(
            RefusalCode::BadRequest,
            format!("kind {} may not be repeated and takes only calls", plan.kind),
        )),
        RequestBody::Chat(chat) => {
            let stream = relay.start_stream(chat.clone()).await?;
            trace.record_first_token();
            answer_chat(context, plan, trace, chat, stream).await
        }
    }
}

async fn answer_call(
    relay: RequestRelay,
    plan: &RequestPlan,
    trace: &RequestTrace,
    call: &CallRequest,
) -> Result<Response<AnswerBody>, Refusal> {
    let (source, result) = match plan.repeatable {
        true => relay.run_call(call).await?,
        false => relay.run_keyed_call(call.clone()).await?,
    };
    trace.record_source(&source);
    trace.end_answered();
    let answer = CallAnswer { attempt: AttemptId::new(plan.request.as_str()), result };
    Ok(add_source_headers(json_answer(StatusCode::OK, &answer), &plan.request, &source))
}

async fn answer_chat(
    context: &Arc<EntryContext>,
    plan: &Arc<RequestPlan>,
    trace: &Arc<RequestTrace>,
    chat: &ChatRequest,
    stream: RelayedStream,
) -> Result<Response<AnswerBody>, Refusal> {
    let source = stream.source;
    trace.record_source(&source);
    let answer = ChatAnswer {
        _guard: context.track_request(),
        plan: Arc::clone(plan),
        trace: Arc::clone(trace),
        remainder: stream.remainder,
    };
    if chat.stream {
        let rest = stream::unfold(Some(answer), |answer| async { answer?.next_event().await });
        let events = stream::iter([stream.first]).chain(rest);
        return Ok(add_source_headers(stream_answer(events), &plan.request, &source));
    }
    let chunk = answer.collect(stream.first).await?;
    Ok(add_source_headers(json_answer(StatusCode::OK, &chunk), &plan.request, &source))
}

/// A chat completion that is being sent to the caller.
#[derive(Debug)]
struct ChatAnswer {
    plan: Arc<RequestPlan>,
    trace: Arc<RequestTrace>,
    remainder: StreamRemainder,
    _guard: InFlightGuard,
}

impl ChatAnswer {
    /// The next event for the caller, with the answer itself unless the event is the last one.
    async fn next_event(mut self) -> Option<(Bytes, Option<Self>)> {
        match self.remainder.next_step().await {
            Ok(RelayedStep::Token(event)) => Some((event, Some(self))),
            Ok(RelayedStep::End) => {
                self.trace.end_answered();
                Some((encode_event(END_MARKER.as_bytes()), None))
            }
            Err(refusal) => {
                self.trace.end_refused(refusal.code);
                let body = ErrorBody { request: self.plan.request.clone(), error: refusal };
                Some((encode_event(&serde_json::to_vec(&body).unwrap_or_default()), None))
            }
        }
    }

    /// Reads the rest of the answer and joins all tokens into one chunk.
    async fn collect(mut self, first: Bytes) -> Result<ChatChunk, Refusal> {
        let mut content = event_text(&first);
        while let RelayedStep::Token(event) = self.remainder.next_step().await? {
            content.push_str(&event_text(&event));
        }
        self.trace.end_answered();
        let choice =
            ChatChoice { delta: ChatDelta { content }, finish_reason: Some("stop".to_owned()) };
        let id = self.plan.request.as_str().to_owned();
        Ok(ChatChunk { id, offset: 0, choices: vec![choice] })
    }
}

/// Text of the token in one event.
fn event_text(event: &Bytes) -> String {
    let mut scanner = EventScanner::default();
    scanner.push(event);
    let Ok(Some(data)) = scanner.scan_event() else { return String::new() };
    let Ok(chunk) = serde_json::from_slice::<ChunkView<'_>>(&data) else { return String::new() };
    chunk.choices.into_iter().map(|choice| choice.delta.content).collect()
}

async fn list_entries(context: &EntryContext) -> Response<AnswerBody> {
    match context.ask_membership(MembershipMessage::ListEntries).await {
        Some(listing) => json_answer(StatusCode::OK, &listing),
        None => refuse(&context.new_request_id(), stopping_refusal()),
    }
}

/// Passes an announcement or a renewal to the membership actor as `message`.
async fn announce<T: DeserializeOwned>(
    context: &EntryContext,
    request: &RequestId,
    body: &[u8],
    message: impl FnOnce(T, RpcReplyPort<AnnounceReply>) -> MembershipMessage,
) -> Response<AnswerBody> {
    let announced: T = match serde_json::from_slice(body) {
        Ok(announced) => announced,
        Err(error) => {
            let message = format!("announcement is not valid: {error}");
            return refuse(request, Refusal::not_run(RefusalCode::BadRequest, message));
        }
    };
    match context.ask_membership(|reply| message(announced, reply)).await {
        Some(reply) => json_answer(StatusCode::OK, &reply),
        None => refuse(request, stopping_refusal()),
    }
}

fn stopping_refusal() -> Refusal {
    Refusal::not_run(RefusalCode::Draining, "the instance is stopping")
        .retry_after(Duration::from_secs(1))
}

fn body_refusal(error: BodyError, limit: usize) -> Refusal {
    match error {
        BodyError::TooLarge => {
            Refusal::not_run(RefusalCode::TooLarge, format!("body exceeds {limit} bytes"))
        }
        BodyError::TooSlow => Refusal::not_run(RefusalCode::TooSlow, "body was not sent in time"),
        BodyError::Broken => Refusal::not_run(RefusalCode::BadRequest, "body was cut off"),
    }
}

/// Counts and returns a refusal of a request that was not decoded into a plan.
fn refuse_early(
    context: &EntryContext,
    request: &RequestId,
    refusal: Refusal,
) -> Response<AnswerBody> {
    context.metrics().count_early_refusal(refusal.code);
    refuse(request, refusal)
}

/// The HTTP response for `refusal`.
pub(crate) fn refuse(request: &RequestId, refusal: Refusal) -> Response<AnswerBody> {
    let status = refusal.code.status();
    let retry_after = refusal.retry_after_ms.map(|delay| delay.div_ceil(1_000).max(1));
    let body = ErrorBody { request: request.clone(), error: refusal };
    let mut answer = json_answer(status, &body);
    if let Some(seconds) = retry_after {
        answer.headers_mut().insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    insert_header(&mut answer, REQUEST_HEADER, request.as_str());
    answer
}

fn add_source_headers(
    mut answer: Response<AnswerBody>,
    request: &RequestId,
    source: &AnswerSource,
) -> Response<AnswerBody> {
    insert_header(&mut answer, REQUEST_HEADER, request.as_str());
    insert_header(&mut answer, REGION_HEADER, source.region.as_str());
    if let Some(upstream) = &source.upstream {
        insert_header(&mut answer, UPSTREAM_HEADER, upstream.as_str());
    }
    answer
}

fn insert_header(answer: &mut Response<AnswerBody>, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        answer.headers_mut().insert(name, value);
    }
}
