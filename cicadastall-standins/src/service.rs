//! A stand-in plain service: answers calls and counts the executions of each key.

use crate::announce::{
    LeaveSummary, LeaveSwitch, StandinPlace, announce, finish_requests, make_record,
};
use cicadastall::{
    dispatch::CALL_PATH,
    http::{AnswerBody, ListenerLimits, bind, json_answer, read_body, serve, text_answer},
    name::{AttemptId, IdempotencyKey},
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

/// Path that lists the executions of each key.
pub const EXECUTIONS_PATH: &str = "/v1/executions";

/// Most bytes of a request.
const BODY_LIMIT: usize = 16 * 1024 * 1024;

/// Longest time to receive a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Executions of each key.
type ExecutionCounts = Arc<Mutex<BTreeMap<IdempotencyKey, u32>>>;

/// A running stand-in service; it stops when dropped.
#[derive(Debug)]
pub struct ServiceStandin {
    address: SocketAddr,
    executions: ExecutionCounts,
    leave: LeaveSwitch,
    running: Arc<AtomicU32>,
    _stop: watch::Sender<bool>,
    _tasks: JoinSet<()>,
}

impl ServiceStandin {
    /// Starts a service that takes `duration` for each call.
    pub async fn start(
        place: StandinPlace,
        listen: SocketAddr,
        duration: Duration,
    ) -> io::Result<Self> {
        let listener = bind(listen).await?;
        let address = listener.local_addr()?;
        let rates = UpstreamRates {
            prefill_tokens_per_s: 1_000.0,
            decode_tokens_per_s: 1_000.0,
            max_running: 64,
            kv_tokens: 0,
        };
        let record = make_record(&place, address, None, rates);
        let executions = ExecutionCounts::default();
        let counts = Arc::clone(&executions);
        let leave = LeaveSwitch::default();
        let (stop, stopped) = watch::channel(false);
        let mut tasks = JoinSet::new();
        let running = Arc::new(AtomicU32::new(0));
        let counter = Arc::clone(&running);
        let switch = leave.clone();
        let handler = move |_, request| {
            switch.note_request();
            let counter = Arc::clone(&counter);
            let counts = Arc::clone(&counts);
            async move {
                counter.fetch_add(1, Ordering::Relaxed);
                let answer = answer(duration, counts, request).await;
                counter.fetch_sub(1, Ordering::Relaxed);
                answer
            }
        };
        tasks.spawn(serve(listener, ListenerLimits::default(), stopped, handler));
        tasks.spawn(announce(record, place.entries, leave.clone(), |_| {}));
        Ok(Self { address, executions, leave, running, _stop: stop, _tasks: tasks })
    }

    /// Waits until an operator drains the stand-in.
    pub async fn drained(&self) {
        self.leave.left().await;
    }

    /// Leaves: announces it, goes on for `linger` and until no request runs.
    pub async fn leave(&self, linger: Duration) -> LeaveSummary {
        self.leave.leave();
        finish_requests(&self.running, linger).await;
        self.leave.summarize()
    }

    /// Address of the service's HTTP interface.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Executions of each key so far.
    pub fn executions(&self) -> BTreeMap<IdempotencyKey, u32> {
        self.executions.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

async fn answer(
    duration: Duration,
    executions: ExecutionCounts,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, EXECUTIONS_PATH) => {
            let counts = executions.lock().unwrap_or_else(PoisonError::into_inner);
            json_answer(StatusCode::OK, &*counts)
        }
        (&Method::POST, CALL_PATH) => run_call(duration, executions, request).await,
        _ => text_answer(StatusCode::NOT_FOUND, "no such path\n"),
    }
}

async fn run_call(
    duration: Duration,
    executions: ExecutionCounts,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let (head, body) = request.into_parts();
    let body = read_body(body, BODY_LIMIT, BODY_TIMEOUT).await.unwrap_or_default();
    let Ok(call) = serde_json::from_slice::<CallRequest>(&body) else {
        return text_answer(StatusCode::BAD_REQUEST, "not a call\n");
    };
    sleep(duration).await;
    if let Some(key) = scan_text(&head.headers, KEY_HEADER) {
        let mut counts = executions.lock().unwrap_or_else(PoisonError::into_inner);
        *counts.entry(IdempotencyKey::from(key)).or_default() += 1;
    }
    let attempt = AttemptId::from(scan_text(&head.headers, ATTEMPT_HEADER).unwrap_or_default());
    let result = json!({ "done": call.arguments });
    json_answer(StatusCode::OK, &CallAnswer { attempt, result })
}

fn scan_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
