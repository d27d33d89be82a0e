//! A stand-in model engine: streams numbered tokens at a fixed pace over HTTP.

use crate::announce::{
    LeaveSummary, LeaveSwitch, StandinPlace, announce, finish_requests, make_record,
};
use bytes::Bytes;
use cicadastall::{
    dispatch::CHAT_PATH,
    http::{AnswerBody, ListenerLimits, bind, event_answer, read_body, serve, text_answer},
    name::ModelName,
    stream::encode_event,
    table::{LoadReport, UpstreamRates},
    wire::{ATTEMPT_HEADER, ChatChoice, ChatChunk, ChatDelta, ChatRequest, END_MARKER},
};
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};
use tokio::{
    sync::{mpsc, watch},
    task::JoinSet,
    time::sleep,
};

/// Most bytes of a request.
const BODY_LIMIT: usize = 16 * 1024 * 1024;

/// Longest time to receive a request.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Pace and size of a stand-in engine.
#[derive(Debug, Clone)]
pub struct EnginePace {
    /// Time before the first token.
    pub first_token: Duration,
    /// Time between tokens.
    pub token: Duration,
    /// Tokens of a whole answer, unless the request asks for fewer.
    pub answer_tokens: u32,
}

impl Default for EnginePace {
    fn default() -> Self {
        Self {
            first_token: Duration::from_millis(20),
            token: Duration::from_millis(5),
            answer_tokens: 24,
        }
    }
}

/// A running stand-in engine; it stops when dropped.
#[derive(Debug)]
pub struct EngineStandin {
    address: SocketAddr,
    leave: LeaveSwitch,
    running: Arc<AtomicU32>,
    _stop: watch::Sender<bool>,
    _tasks: JoinSet<()>,
}

impl EngineStandin {
    /// Starts an engine that has `model` loaded.
    pub async fn start(
        place: StandinPlace,
        listen: SocketAddr,
        model: ModelName,
        pace: EnginePace,
    ) -> io::Result<Self> {
        let listener = bind(listen).await?;
        let address = listener.local_addr()?;
        let running = Arc::new(AtomicU32::new(0));
        let rates = UpstreamRates {
            prefill_tokens_per_s: 8_000.0,
            decode_tokens_per_s: 1.0 / pace.token.as_secs_f64().max(0.001),
            max_running: 32,
            kv_tokens: 200_000,
        };
        let record = make_record(&place, address, Some(model), rates);
        let leave = LeaveSwitch::default();
        let (stop, stopped) = watch::channel(false);
        let mut tasks = JoinSet::new();
        let counter = Arc::clone(&running);
        let switch = leave.clone();
        let handler = move |_, request| {
            switch.note_request();
            answer(pace.clone(), Arc::clone(&counter), request)
        };
        tasks.spawn(serve(listener, ListenerLimits::default(), stopped, handler));
        let reported = Arc::clone(&running);
        tasks.spawn(announce(record, place.entries, leave.clone(), move |record| {
            record.load =
                LoadReport { running: reported.load(Ordering::Relaxed), ..LoadReport::default() };
        }));
        Ok(Self { address, leave, running, _stop: stop, _tasks: tasks })
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

    /// Address of the engine's HTTP interface.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

async fn answer(
    pace: EnginePace,
    running: Arc<AtomicU32>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    if request.method() != Method::POST || request.uri().path() != CHAT_PATH {
        return text_answer(StatusCode::NOT_FOUND, "no such path\n");
    }
    let attempt = request
        .headers()
        .get(ATTEMPT_HEADER)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_owned();
    let body = read_body(request.into_body(), BODY_LIMIT, BODY_TIMEOUT).await.unwrap_or_default();
    let Ok(chat) = serde_json::from_slice::<ChatRequest>(&body) else {
        return text_answer(StatusCode::BAD_REQUEST, "not a chat request\n");
    };
    let (sender, events) = mpsc::channel(1);
    tokio::spawn(async move {
        running.fetch_add(1, Ordering::Relaxed);
        generate(pace, attempt, chat, sender).await;
        running.fetch_sub(1, Ordering::Relaxed);
    });
    event_answer(events)
}

async fn generate(
    pace: EnginePace,
    attempt: String,
    chat: ChatRequest,
    sender: mpsc::Sender<Bytes>,
) {
    let total = pace.answer_tokens.min(chat.max_tokens).max(1);
    sleep(pace.first_token).await;
    for offset in chat.resume_from..total {
        let choice = ChatChoice {
            delta: ChatDelta { content: format!("t{offset} ") },
            finish_reason: (offset + 1 == total).then(|| "stop".to_owned()),
        };
        let chunk = ChatChunk { id: attempt.clone(), offset, choices: vec![choice] };
        let event = encode_event(&serde_json::to_vec(&chunk).unwrap_or_default());
        if sender.send(event).await.is_err() {
            return;
        }
        sleep(pace.token).await;
    }
    let _ = sender.send(encode_event(END_MARKER.as_bytes())).await;
}
