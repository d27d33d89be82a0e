//! Stand-in for a model engine that streams numbered tokens at a fixed rate over HTTP.

use crate::{
    announce::{LeaveSignal, LeaveSummary, StandinConfig, announce, make_record, wait_until_idle},
    fault::StandinFault,
    orders::{OrderLog, StaleOrder},
    service::CRASH_EXIT_CODE,
};
use bytes::Bytes;
use cicadastall::{
    dispatch::CHAT_PATH,
    http::{
        AnswerBody, ListenerLimits, bind, event_answer, json_answer, read_body, serve, text_answer,
    },
    name::{ModelName, UpstreamName},
    orders::ORDERS_PATH,
    stream::encode_event,
    table::{LoadReport, UpstreamRates, UpstreamRecord, UpstreamState},
    wire::{
        ATTEMPT_HEADER, ChatChoice, ChatChunk, ChatDelta, ChatRequest, END_MARKER, UpstreamOrder,
    },
};
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc, Mutex, PoisonError,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};
use tokio::{
    sync::{mpsc, watch},
    task::JoinSet,
    time::{Instant, sleep},
};

/// Maximum number of connections of an engine; benchmarks open thousands of streams.
const MAX_CONNECTIONS: usize = 16_384;

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;

/// Timeout of receiving a request body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Timing, capacity and order checks of a stand-in engine.
#[derive(Debug, Clone)]
pub struct EngineBehavior {
    /// Delay before the first token.
    pub first_token_delay: Duration,
    /// Interval between tokens.
    pub token_interval: Duration,
    /// Number of tokens in an answer, unless the request asks for fewer.
    pub answer_tokens: u32,
    /// Announced number of requests that run concurrently; not enforced.
    pub max_running: u32,
    /// Time that loading another model takes.
    pub load_time: Duration,
    /// Whether orders with an outdated fencing token are rejected.
    pub checks_fencing: bool,
}

impl Default for EngineBehavior {
    fn default() -> Self {
        Self {
            first_token_delay: Duration::from_millis(20),
            token_interval: Duration::from_millis(5),
            answer_tokens: 24,
            max_running: 32,
            load_time: Duration::from_millis(500),
            checks_fencing: false,
        }
    }
}

/// Request counters of one engine.
#[derive(Debug, Default)]
struct EngineCounters {
    running: AtomicU32,
    finished: AtomicU32,
    cancelled: AtomicU32,
}

/// State shared by the requests of one engine.
#[derive(Debug)]
struct EngineState {
    name: UpstreamName,
    behavior: EngineBehavior,
    counters: EngineCounters,
    loaded: Mutex<LoadedModel>,
}

/// Orders that an engine applied, and the model that they made it load.
#[derive(Debug)]
struct LoadedModel {
    order_log: OrderLog,
    model: Option<ModelName>,
    ready_at: Instant,
}

impl LoadedModel {
    fn apply_order(&mut self, order: UpstreamOrder, load_time: Duration) -> Result<(), StaleOrder> {
        let model = order.model.clone();
        self.order_log.apply(order)?;
        if model != self.model {
            self.ready_at =
                Instant::now() + if model.is_some() { load_time } else { Duration::ZERO };
            self.model = model;
        }
        Ok(())
    }

    fn update_record(&self, record: &mut UpstreamRecord) {
        record.models = self.model.iter().cloned().collect();
        record.state = match &self.model {
            None => UpstreamState::Parked,
            Some(_) if Instant::now() < self.ready_at => UpstreamState::Loading,
            Some(_) => UpstreamState::Serving,
        };
    }
}

/// A running stand-in engine; dropping it stops the server.
#[derive(Debug)]
pub struct EngineStandin {
    address: SocketAddr,
    leave: LeaveSignal,
    state: Arc<EngineState>,
    _stop: watch::Sender<bool>,
    _tasks: JoinSet<()>,
}

impl EngineStandin {
    /// Starts an engine that has `model` loaded.
    ///
    /// Fails if `listen` can't be bound.
    pub async fn start(
        config: StandinConfig,
        listen: SocketAddr,
        model: ModelName,
        behavior: EngineBehavior,
    ) -> io::Result<Self> {
        let listener = bind(listen).await?;
        let address = listener.local_addr()?;
        let rates = UpstreamRates {
            prefill_tokens_per_s: 8_000.0,
            decode_tokens_per_s: f64::from(behavior.max_running)
                / behavior.token_interval.as_secs_f64().max(0.001),
            max_running: behavior.max_running,
            kv_tokens: 200_000,
        };
        let mut record = make_record(&config, address, Some(model.clone()), rates);
        record.checks_fencing = behavior.checks_fencing;
        let loaded = Mutex::new(LoadedModel {
            order_log: OrderLog::new(behavior.checks_fencing),
            model: Some(model),
            ready_at: Instant::now(),
        });
        let leave = LeaveSignal::default();
        let (stop, stopped) = watch::channel(false);
        let mut tasks = JoinSet::new();
        let name = config.name.clone();
        let state =
            Arc::new(EngineState { name, behavior, counters: EngineCounters::default(), loaded });
        let shared = Arc::clone(&state);
        let signal = leave.clone();
        let handler = move |_, request| {
            signal.record_request();
            handle_request(Arc::clone(&shared), request)
        };
        let limits = ListenerLimits { connections: MAX_CONNECTIONS, ..ListenerLimits::default() };
        tasks.spawn(serve(listener, limits, stopped, handler));
        let shared = Arc::clone(&state);
        tasks.spawn(announce(record, config.entries, leave.clone(), move |record| {
            let running = shared.counters.running.load(Ordering::Relaxed);
            record.load = LoadReport { running, ..LoadReport::default() };
            shared.loaded.lock().unwrap_or_else(PoisonError::into_inner).update_record(record);
        }));
        Ok(Self { address, leave, state, _stop: stop, _tasks: tasks })
    }

    /// Waits until an entry reports that an operator drains the stand-in, or
    /// [`EngineStandin::leave`] is called.
    pub async fn wait_for_drain(&self) {
        self.leave.wait_for_leave().await;
    }

    /// Announces that the stand-in leaves, then waits for `linger` and until no request runs.
    pub async fn leave(&self, linger: Duration) -> LeaveSummary {
        self.leave.leave();
        wait_until_idle(&self.state.counters.running, linger).await;
        self.leave.summarize()
    }

    /// Address of the engine's HTTP interface.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of answers that ended normally, including those that a fault cut short.
    pub fn finished(&self) -> u32 {
        self.state.counters.finished.load(Ordering::Relaxed)
    }

    /// Number of answers whose receiver disconnected before the end.
    pub fn cancelled(&self) -> u32 {
        self.state.counters.cancelled.load(Ordering::Relaxed)
    }
}

async fn handle_order(state: &EngineState, request: Request<Incoming>) -> Response<AnswerBody> {
    let body =
        read_body(request.into_body(), MAX_BODY_BYTES, BODY_TIMEOUT).await.unwrap_or_default();
    let Ok(order) = serde_json::from_slice::<UpstreamOrder>(&body) else {
        return text_answer(StatusCode::BAD_REQUEST, "not an order\n");
    };
    let mut loaded = state.loaded.lock().unwrap_or_else(PoisonError::into_inner);
    match loaded.apply_order(order, state.behavior.load_time) {
        Ok(()) => json_answer(StatusCode::OK, &serde_json::json!({})),
        Err(StaleOrder { highest_fence }) => text_answer(
            StatusCode::CONFLICT,
            format!("a holder with number {highest_fence} has given orders since\n"),
        ),
    }
}

async fn handle_request(
    state: Arc<EngineState>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    if request.method() == Method::POST && request.uri().path() == ORDERS_PATH {
        return handle_order(&state, request).await;
    }
    if request.method() != Method::POST || request.uri().path() != CHAT_PATH {
        return text_answer(StatusCode::NOT_FOUND, "no such path\n");
    }
    let attempt = request
        .headers()
        .get(ATTEMPT_HEADER)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_owned();
    let body =
        read_body(request.into_body(), MAX_BODY_BYTES, BODY_TIMEOUT).await.unwrap_or_default();
    let Ok(chat) = serde_json::from_slice::<ChatRequest>(&body) else {
        return text_answer(StatusCode::BAD_REQUEST, "not a chat request\n");
    };
    let mut contents = chat.messages.iter().rev().map(|message| &message.content);
    let fault = contents.find_map(|text| StandinFault::parse(text, &state.name));
    let (sender, events) = mpsc::channel(1);
    let generator = TokenGenerator { attempt, fault, sender };
    tokio::spawn(async move {
        let EngineCounters { running, finished, cancelled } = &state.counters;
        running.fetch_add(1, Ordering::Relaxed);
        let outcome_counter = match generator.generate(&state.behavior, &chat).await {
            Ok(()) => finished,
            Err(ReceiverGone) => cancelled,
        };
        outcome_counter.fetch_add(1, Ordering::Relaxed);
        running.fetch_sub(1, Ordering::Relaxed);
    });
    event_answer(events)
}

/// The receiver of an answer disconnected.
#[derive(Debug)]
struct ReceiverGone;

/// Generates the tokens of one answer and injects the requested fault.
#[derive(Debug)]
struct TokenGenerator {
    attempt: String,
    fault: Option<StandinFault>,
    sender: mpsc::Sender<Bytes>,
}

impl TokenGenerator {
    async fn generate(
        &self,
        behavior: &EngineBehavior,
        chat: &ChatRequest,
    ) -> Result<(), ReceiverGone> {
        let total = behavior.answer_tokens.min(chat.max_tokens).max(1);
        sleep(behavior.first_token_delay).await;
        if self.fault == Some(StandinFault::Crash) {
            std::process::exit(CRASH_EXIT_CODE);
        }
        for offset in chat.resume_from..total {
            if offset == total / 2 && !self.apply_midpoint_fault().await? {
                return Ok(());
            }
            self.send_token(offset, total).await?;
            sleep(behavior.token_interval).await;
        }
        self.send(encode_event(END_MARKER.as_bytes())).await
    }

    /// Applies a fault that occurs in the middle of an answer; returns whether the answer
    /// continues.
    async fn apply_midpoint_fault(&self) -> Result<bool, ReceiverGone> {
        match self.fault {
            Some(StandinFault::Silent) => {
                self.sender.closed().await;
                Err(ReceiverGone)
            }
            Some(StandinFault::CrashMidway) => std::process::exit(CRASH_EXIT_CODE),
            Some(StandinFault::Truncated) => Ok(false),
            Some(StandinFault::EarlyEnd) => {
                self.send(encode_event(END_MARKER.as_bytes())).await?;
                Ok(false)
            }
            _ => Ok(true),
        }
    }

    async fn send_token(&self, offset: u32, total: u32) -> Result<(), ReceiverGone> {
        let finish = (offset + 1 == total).then(|| "stop".to_owned());
        let token = encode_token(&self.attempt, offset, format!("t{offset} "), finish.clone());
        match self.fault {
            Some(StandinFault::Late) => {
                let earlier = format!("{}0", self.attempt);
                self.send(encode_token(&earlier, offset, "wrong ".into(), finish)).await?;
            }
            Some(StandinFault::Crossed) => {
                self.send(encode_token("another.1", offset, "wrong ".into(), finish)).await?;
            }
            Some(StandinFault::Repeated) => self.send(token.clone()).await?,
            Some(StandinFault::Gap) if offset == total / 2 => return Ok(()),
            _ => {}
        }
        self.send(token).await
    }

    async fn send(&self, event: Bytes) -> Result<(), ReceiverGone> {
        self.sender.send(event).await.map_err(|_| ReceiverGone)
    }
}

fn encode_token(id: &str, offset: u32, content: String, finish: Option<String>) -> Bytes {
    let choice = ChatChoice { delta: ChatDelta { content }, finish_reason: finish };
    let chunk = ChatChunk { id: id.to_owned(), offset, choices: vec![choice] };
    encode_event(&serde_json::to_vec(&chunk).unwrap_or_default())
}
