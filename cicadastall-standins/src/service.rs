//! Stand-in for a plain service that counts the executions of each idempotency key.

use crate::{
    announce::{LeaveSignal, LeaveSummary, StandinConfig, announce, make_record, wait_until_idle},
    fault::StandinFault,
};
use cicadastall::{
    dispatch::CALL_PATH,
    http::{AnswerBody, ListenerLimits, bind, json_answer, read_body, serve, text_answer},
    name::{AttemptId, IdempotencyKey, UpstreamName},
    table::UpstreamRates,
    wire::{ATTEMPT_HEADER, CallAnswer, CallRequest, KEY_HEADER},
};
use hyper::{HeaderMap, Method, Request, Response, StatusCode, body::Incoming};
use serde_json::json;
use std::{
    collections::BTreeMap,
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};
use tokio::{sync::watch, task::JoinSet, time::sleep};

/// Path that lists the number of executions of each idempotency key.
pub const EXECUTIONS_PATH: &str = "/v1/executions";

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Exit code of a stand-in process that a request crashes.
pub(crate) const CRASH_EXIT_CODE: i32 = 70;

/// Timeout of receiving a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// State shared by the calls of one service.
#[derive(Debug)]
struct ServiceState {
    name: UpstreamName,
    call_duration: Duration,
    executions: ExecutionCounts,
}

/// Number of executions of each idempotency key.
type ExecutionCounts = Arc<Mutex<BTreeMap<IdempotencyKey, u32>>>;

/// A running stand-in service; dropping it stops the server.
#[derive(Debug)]
pub struct ServiceStandin {
    address: SocketAddr,
    executions: ExecutionCounts,
    leave: LeaveSignal,
    running: Arc<AtomicU32>,
    _stop: watch::Sender<bool>,
    _tasks: JoinSet<()>,
}

impl ServiceStandin {
    /// Starts a service whose calls take `call_duration` each.
    ///
    /// Fails if `listen` can't be bound.
    pub async fn start(
        config: StandinConfig,
        listen: SocketAddr,
        call_duration: Duration,
    ) -> io::Result<Self> {
        let listener = bind(listen).await?;
        let address = listener.local_addr()?;
        let rates = UpstreamRates {
            prefill_tokens_per_s: 1_000.0,
            decode_tokens_per_s: 1_000.0,
            max_running: 64,
            kv_tokens: 0,
        };
        let record = make_record(&config, address, None, rates);
        let executions = ExecutionCounts::default();
        let state = Arc::new(ServiceState {
            name: config.name.clone(),
            call_duration,
            executions: Arc::clone(&executions),
        });
        let (stop, stopped) = watch::channel(false);
        let mut tasks = JoinSet::new();
        let leave = LeaveSignal::default();
        let running = Arc::new(AtomicU32::new(0));
        let running_counter = Arc::clone(&running);
        let signal = leave.clone();
        let handler = move |_, request| {
            signal.record_request();
            let running_counter = Arc::clone(&running_counter);
            let state = Arc::clone(&state);
            async move {
                running_counter.fetch_add(1, Ordering::Relaxed);
                let answer = handle_request(state, request).await;
                running_counter.fetch_sub(1, Ordering::Relaxed);
                answer
            }
        };
        tasks.spawn(serve(listener, ListenerLimits::default(), stopped, handler));
        tasks.spawn(announce(record, config.entries, leave.clone(), |_| {}));
        Ok(Self { address, executions, leave, running, _stop: stop, _tasks: tasks })
    }

    /// Waits until an entry reports that an operator drains the stand-in, or
    /// [`ServiceStandin::leave`] is called.
    pub async fn wait_for_drain(&self) {
        self.leave.wait_for_leave().await;
    }

    /// Announces that the stand-in leaves, then waits for `linger` and until no request runs.
    pub async fn leave(&self, linger: Duration) -> LeaveSummary {
        self.leave.leave();
        wait_until_idle(&self.running, linger).await;
        self.leave.summarize()
    }

    /// Address of the service's HTTP interface.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of executions of each idempotency key so far.
    pub fn executions(&self) -> BTreeMap<IdempotencyKey, u32> {
        self.executions.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

async fn handle_request(
    state: Arc<ServiceState>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, EXECUTIONS_PATH) => {
            let counts = state.executions.lock().unwrap_or_else(PoisonError::into_inner);
            json_answer(StatusCode::OK, &*counts)
        }
        (&Method::POST, CALL_PATH) => run_call(&state, request).await,
        _ => text_answer(StatusCode::NOT_FOUND, "no such path\n"),
    }
}

async fn run_call(state: &ServiceState, request: Request<Incoming>) -> Response<AnswerBody> {
    let (head, body) = request.into_parts();
    let body = read_body(body, MAX_BODY_BYTES, BODY_TIMEOUT).await.unwrap_or_default();
    let Ok(call) = serde_json::from_slice::<CallRequest>(&body) else {
        return text_answer(StatusCode::BAD_REQUEST, "not a call\n");
    };
    sleep(state.call_duration).await;
    if let Some(key) = header_text(&head.headers, KEY_HEADER) {
        let mut counts = state.executions.lock().unwrap_or_else(PoisonError::into_inner);
        *counts.entry(IdempotencyKey::from(key)).or_default() += 1;
    }
    let attempt = header_text(&head.headers, ATTEMPT_HEADER).unwrap_or_default();
    let fault = StandinFault::parse(&call.arguments.to_string().replace('"', " "), &state.name);
    answer_call(attempt, call, fault).await
}

async fn answer_call(
    attempt: &str,
    call: CallRequest,
    fault: Option<StandinFault>,
) -> Response<AnswerBody> {
    let mut answer =
        CallAnswer { attempt: AttemptId::new(attempt), result: json!({ "done": call.arguments }) };
    match fault {
        None => {}
        Some(StandinFault::Silent) => std::future::pending().await,
        Some(StandinFault::Late) => answer.attempt = AttemptId::new(format!("{attempt}0")),
        Some(StandinFault::Crossed) => answer.attempt = AttemptId::new("another.1"),
        Some(StandinFault::Crash) => std::process::exit(CRASH_EXIT_CODE),
        Some(StandinFault::Repeated) => {
            let text = serde_json::to_string(&answer).unwrap_or_default();
            return text_answer(StatusCode::OK, format!("{text}{text}"));
        }
        Some(_) => {
            let mut text = serde_json::to_string(&answer).unwrap_or_default();
            text.truncate(text.len() / 2);
            return text_answer(StatusCode::OK, text);
        }
    }
    json_answer(StatusCode::OK, &answer)
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
