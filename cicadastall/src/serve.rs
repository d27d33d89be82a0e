//! The entry's HTTP interface for callers and upstreams.

use crate::{
    answer::{Refusal, RefusalCode},
    claim::weaken_refusal,
    decode::{RequestBody, RequestPath, RequestPlan, decode_request},
    dispatch::{CALL_PATH, CHAT_PATH},
    entry::{EntryContext, RequestGuard},
    http::{AnswerBody, BodyError, json_answer, read_body, stream_answer},
    limits::guard_answer,
    membership::MembershipMessage,
    name::{AttemptId, RequestId},
    relay::{AnswerSource, RelayedStep, RelayedStream, RequestRelay, StreamPassage},
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

/// Path of upstreams' announcements.
pub const ANNOUNCE_PATH: &str = "/v1/announce";

/// Path of renewals of upstreams' announcements.
pub const RENEW_PATH: &str = "/v1/renew";

/// Path of the listing of entries.
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
        return read_request(context, request).await;
    }
    let Some(guard) = context.callers().try_acquire(peer.ip()) else {
        let limit = context.callers().limit();
        let message = format!("{} has {limit} requests in flight, its limit", peer.ip());
        let refusal = Refusal::not_run(RefusalCode::TooManyStreams, message);
        let refusal = refusal.retry_after(Duration::from_secs(1));
        return refuse_early(&context, &context.name_request(), refusal);
    };
    guard_answer(read_request(context, request).await, guard)
}

async fn read_request(
    context: Arc<EntryContext>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let (head, body) = request.into_parts();
    let fresh = context.name_request();
    let limits = &context.node().limits;
    let bound = Duration::from_millis(limits.send_ms);
    let body = match read_body(body, limits.body_bytes, bound).await {
        Ok(body) => body,
        Err(error) => {
            return refuse_early(&context, &fresh, refuse_body(error, limits.body_bytes));
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
            context.stop().refuse(&fresh, context.other_entry())
        }
        (Method::POST, SESSIONS_PATH) => issue_session(&context, &head.headers, &fresh).await,
        (Method::POST, ANNOUNCE_PATH) => {
            let message = |record, reply| MembershipMessage::Announce(Box::new(record), reply);
            announce(&context, &fresh, &body, message).await
        }
        (Method::POST, RENEW_PATH) => {
            let message = |renewal, reply| MembershipMessage::Renew(Box::new(renewal), reply);
            announce(&context, &fresh, &body, message).await
        }
        (Method::POST, CHAT_PATH) => {
            answer_planned(context, RequestPath::Chat, &head.headers, &body, fresh).await
        }
        (Method::POST, CALL_PATH) => {
            answer_planned(context, RequestPath::Call, &head.headers, &body, fresh).await
        }
        (method, path) => {
            let message = format!("no such path: {method} {path}");
            refuse_early(&context, &fresh, Refusal::not_run(RefusalCode::NotFound, message))
        }
    }
}

async fn answer_planned(
    context: Arc<EntryContext>,
    path: RequestPath,
    headers: &HeaderMap,
    body: &[u8],
    fresh: RequestId,
) -> Response<AnswerBody> {
    let arrived = Instant::now();
    let settings = context.settings().newest();
    if !context.settings().is_ready() {
        let refusal = Refusal::not_run(RefusalCode::NotReady, "no settings have arrived yet");
        return refuse_early(&context, &fresh, refusal.retry_after(Duration::from_secs(1)));
    }
    let plan = match decode_request(path, headers, body, &settings.tree, fresh.clone()) {
        Ok(plan) => Arc::new(plan),
        Err(refusal) => return refuse_early(&context, &fresh, refusal),
    };
    let _guard = context.count_request();
    let trace = RequestTrace::new(Arc::clone(&context), Arc::clone(&plan), arrived);
    let answer = run_plan(&context, &plan, &trace, arrived).await;
    answer.unwrap_or_else(|refusal| {
        let refusal = weaken_refusal(&plan, refusal, arrived.elapsed());
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
            trace.note_first_token();
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
    trace.note_source(&source);
    trace.end_answered();
    let answer = CallAnswer { attempt: AttemptId::new(plan.request.as_str()), result };
    Ok(label_answer(json_answer(StatusCode::OK, &answer), &plan.request, &source))
}

async fn answer_chat(
    context: &Arc<EntryContext>,
    plan: &Arc<RequestPlan>,
    trace: &Arc<RequestTrace>,
    chat: &ChatRequest,
    stream: RelayedStream,
) -> Result<Response<AnswerBody>, Refusal> {
    let source = stream.source;
    trace.note_source(&source);
    let answer = ChatAnswer {
        _guard: context.count_request(),
        plan: Arc::clone(plan),
        trace: Arc::clone(trace),
        passage: stream.passage,
    };
    if chat.stream {
        let rest = stream::unfold(Some(answer), |answer| async { answer?.next_event().await });
        let events = stream::iter([stream.first]).chain(rest);
        return Ok(label_answer(stream_answer(events), &plan.request, &source));
    }
    let chunk = answer.collect(stream.first).await?;
    Ok(label_answer(json_answer(StatusCode::OK, &chunk), &plan.request, &source))
}

/// A chat completion on its way to the caller.
#[derive(Debug)]
struct ChatAnswer {
    plan: Arc<RequestPlan>,
    trace: Arc<RequestTrace>,
    passage: StreamPassage,
    _guard: RequestGuard,
}

impl ChatAnswer {
    /// The next event for the caller, and the answer itself unless that event is the last.
    async fn next_event(mut self) -> Option<(Bytes, Option<Self>)> {
        match self.passage.next_step().await {
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

    /// Joins the tokens of a whole answer into one chunk.
    async fn collect(mut self, first: Bytes) -> Result<ChatChunk, Refusal> {
        let mut content = scan_content(&first);
        while let RelayedStep::Token(event) = self.passage.next_step().await? {
            content.push_str(&scan_content(&event));
        }
        self.trace.end_answered();
        let choice =
            ChatChoice { delta: ChatDelta { content }, finish_reason: Some("stop".to_owned()) };
        let id = self.plan.request.as_str().to_owned();
        Ok(ChatChunk { id, offset: 0, choices: vec![choice] })
    }
}

/// Text of the token in one event.
fn scan_content(event: &Bytes) -> String {
    let mut scanner = EventScanner::default();
    scanner.push(event);
    let Ok(Some(data)) = scanner.scan_event() else { return String::new() };
    let Ok(chunk) = serde_json::from_slice::<ChunkView<'_>>(&data) else { return String::new() };
    chunk.choices.into_iter().map(|choice| choice.delta.content).collect()
}

async fn list_entries(context: &EntryContext) -> Response<AnswerBody> {
    match context.ask_membership(MembershipMessage::ListEntries).await {
        Some(listing) => json_answer(StatusCode::OK, &listing),
        None => refuse(&context.name_request(), refuse_stopping()),
    }
}

/// Passes an announcement or a renewal to membership as `message`.
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
        None => refuse(request, refuse_stopping()),
    }
}

fn refuse_stopping() -> Refusal {
    Refusal::not_run(RefusalCode::Draining, "the instance is stopping")
        .retry_after(Duration::from_secs(1))
}

fn refuse_body(error: BodyError, limit: usize) -> Refusal {
    match error {
        BodyError::TooLarge => {
            Refusal::not_run(RefusalCode::TooLarge, format!("body exceeds {limit} bytes"))
        }
        BodyError::TooSlow => Refusal::not_run(RefusalCode::TooSlow, "body was not sent in time"),
        BodyError::Broken => Refusal::not_run(RefusalCode::BadRequest, "body was cut off"),
    }
}

/// Counts and answers a refusal of a request that has no plan.
fn refuse_early(
    context: &EntryContext,
    request: &RequestId,
    refusal: Refusal,
) -> Response<AnswerBody> {
    context.metrics().count_early_refusal(refusal.code);
    refuse(request, refusal)
}

/// The answer that carries `refusal`.
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

fn label_answer(
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
