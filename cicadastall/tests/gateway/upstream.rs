//! A stub of an upstream that answers with scripted bytes, valid HTTP or not.

use super::{reserved::ReservedAddress, wait_until};
use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream},
    task::JoinHandle,
    time::{Instant, sleep},
};

static NAMES: AtomicU64 = AtomicU64::new(1);

/// What happens to the connection after an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// It stays open for the next request.
    Keep,
    /// It is shut down in order.
    Close,
    /// It is reset.
    Reset,
    /// It stays open, and nothing is written until the caller disconnects.
    Hang,
}

/// One scripted answer. `{attempt}` is replaced by the request's attempt, `{name}` by the stub's name.
#[derive(Debug, Clone)]
pub struct ScriptedAnswer {
    /// Texts to write, each after a pause.
    pub parts: Vec<(Duration, String)>,
    /// A text to repeat after `parts`, each time after a pause, until the caller disconnects.
    pub endless: Option<(Duration, String)>,
    /// What happens to the connection.
    pub ending: ConnectionEnd,
}

impl ScriptedAnswer {
    pub fn raw(text: &str, ending: ConnectionEnd) -> Self {
        Self { parts: vec![(Duration::ZERO, text.to_owned())], endless: None, ending }
    }

    /// Repeats `text` without end after all parts.
    pub fn endless(mut self, pause: Duration, text: &str) -> Self {
        self.endless = Some((pause, text.to_owned()));
        self
    }

    pub fn then(mut self, pause: Duration, text: &str) -> Self {
        self.parts.push((pause, text.to_owned()));
        self
    }

    /// A complete answer with the upstream's stamp.
    pub fn whole(status: &str, body: &str) -> Self {
        Self::raw(&whole_text(status, body), ConnectionEnd::Keep)
    }

    /// A refusal that states that the request was not run.
    pub fn refused() -> Self {
        let text = "HTTP/1.1 503 Service Unavailable\r\nx-cicadastall-refused: 1\r\n\
                    content-length: 0\r\n\r\n";
        Self::raw(text, ConnectionEnd::Keep)
    }

    /// The head of a chunked event stream.
    pub fn stream() -> Self {
        let head = "HTTP/1.1 200 OK\r\nx-cicadastall-attempt: {attempt}\r\n\
                    x-cicadastall-stamp: {name}\r\ncontent-type: text/event-stream\r\n\
                    transfer-encoding: chunked\r\n\r\n";
        Self::raw(head, ConnectionEnd::Keep)
    }

    /// Adds a chunk with an event.
    pub fn event(self, pause: Duration, id: u32) -> Self {
        let event = event(id);
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        self.then(pause, &chunk)
    }

    /// Adds the last chunk of a stream.
    pub fn end(self) -> Self {
        self.then(Duration::ZERO, "0\r\n\r\n")
    }

    /// Delays the first part by `pause`.
    pub fn delayed(mut self, pause: Duration) -> Self {
        self.parts[0].0 = pause;
        self
    }

    pub fn ending(mut self, ending: ConnectionEnd) -> Self {
        self.ending = ending;
        self
    }
}

/// One event of a stream.
pub fn event(id: u32) -> String {
    format!("id: {id}\ndata: token-{id}\n\n")
}

/// Text of a complete answer.
pub fn whole_text(status: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nx-cicadastall-attempt: {{attempt}}\r\n\
         x-cicadastall-stamp: {{name}}\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// A complete request received by the stub.
#[derive(Debug, Clone)]
pub struct ReceivedRequest {
    pub head: String,
    pub body: String,
}

impl ReceivedRequest {
    /// Value of a header.
    pub fn header(&self, name: &str) -> Option<String> {
        self.head.lines().find_map(|line| {
            let (found, value) = line.split_once(':')?;
            found.eq_ignore_ascii_case(name).then(|| value.trim().to_owned())
        })
    }

    pub fn attempt(&self) -> String {
        self.header("x-cicadastall-attempt").unwrap_or_default()
    }
}

#[derive(Debug, Default)]
struct UpstreamState {
    scripts: VecDeque<ScriptedAnswer>,
    default_answer: Option<ScriptedAnswer>,
    resumed_answer: Option<ScriptedAnswer>,
    received: Vec<ReceivedRequest>,
    disconnects: u32,
    connections: u32,
    endless_for: Duration,
    open: u32,
    max_open: u32,
}

/// A running stub; it stops when dropped.
#[derive(Debug)]
pub struct UpstreamStub {
    pub name: String,
    pub address: SocketAddr,
    state: Arc<Mutex<UpstreamState>>,
    task: JoinHandle<()>,
    _reserved: ReservedAddress,
}

impl Drop for UpstreamStub {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl UpstreamStub {
    /// Starts a stub that gives `default_answer` unless another answer is queued.
    pub async fn start(default_answer: ScriptedAnswer) -> Self {
        let name = format!("upstream-{}", NAMES.fetch_add(1, Ordering::Relaxed));
        let reserved = ReservedAddress::group(1).remove(0);
        let socket = TcpSocket::new_v4().expect("socket");
        socket.set_reuseaddr(true).expect("reuse");
        socket.bind(reserved.address).expect("bind");
        let listener = socket.listen(64).expect("listen");
        let state = Arc::new(Mutex::new(UpstreamState {
            default_answer: Some(default_answer),
            ..UpstreamState::default()
        }));
        let task = tokio::spawn(accept_connections(listener, name.clone(), Arc::clone(&state)));
        Self { name, address: reserved.address, state, task, _reserved: reserved }
    }

    fn state(&self) -> MutexGuard<'_, UpstreamState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Queues answers for the next requests, one each.
    pub fn next(&self, scripts: impl IntoIterator<Item = ScriptedAnswer>) {
        self.state().scripts.extend(scripts);
    }

    /// Sets the answer to requests that resume a stream.
    pub fn set_resumed(&self, answer: ScriptedAnswer) {
        self.state().resumed_answer = Some(answer);
    }

    /// Requests that were received completely.
    pub fn received(&self) -> Vec<ReceivedRequest> {
        self.state().received.clone()
    }

    /// Number of received requests of one attempt.
    pub fn runs(&self, attempt: &str) -> usize {
        self.received().iter().filter(|request| request.attempt() == attempt).count()
    }

    /// Number of callers that disconnected before their answer was complete.
    pub fn disconnects(&self) -> u32 {
        self.state().disconnects
    }

    /// Number of accepted connections.
    pub fn connections(&self) -> u32 {
        self.state().connections
    }

    /// Maximum number of concurrent requests.
    pub fn max_open(&self) -> u32 {
        self.state().max_open
    }

    /// Longest time that a caller read an endless answer.
    pub fn endless_for(&self) -> Duration {
        self.state().endless_for
    }

    pub async fn wait_disconnects(&self, count: u32) {
        wait_until("the caller has disconnected", || self.disconnects() >= count).await;
    }

    pub async fn wait_received(&self, count: usize) {
        wait_until("the request has arrived", || self.received().len() >= count).await;
    }
}

async fn accept_connections(listener: TcpListener, name: String, state: Arc<Mutex<UpstreamState>>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { return };
        state.lock().unwrap_or_else(PoisonError::into_inner).connections += 1;
        tokio::spawn(serve_connection(stream, name.clone(), Arc::clone(&state)));
    }
}

async fn serve_connection(mut stream: TcpStream, name: String, state: Arc<Mutex<UpstreamState>>) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    while let Some(request) = read_request(&mut stream, &mut buffer).await {
        let script = {
            let mut state = state.lock().unwrap_or_else(PoisonError::into_inner);
            state.received.push(request.clone());
            state.open += 1;
            state.max_open = state.max_open.max(state.open);
            let resumes = request.header("last-event-id").is_some();
            let resumed = state.resumed_answer.clone().filter(|_| resumes);
            let script = resumed.or_else(|| state.scripts.pop_front());
            script.or_else(|| state.default_answer.clone())
        };
        let Some(script) = script else { return };
        for (pause, text) in &script.parts {
            if !wait_connected(&mut stream, *pause).await {
                state.lock().unwrap_or_else(PoisonError::into_inner).disconnects += 1;
                return;
            }
            let text = text.replace("{attempt}", &request.attempt()).replace("{name}", &name);
            if stream.write_all(text.as_bytes()).await.is_err() {
                state.lock().unwrap_or_else(PoisonError::into_inner).disconnects += 1;
                return;
            }
        }
        if let Some((pause, text)) = &script.endless {
            let started = Instant::now();
            while wait_connected(&mut stream, *pause).await
                && stream.write_all(text.as_bytes()).await.is_ok()
            {}
            let mut state = state.lock().unwrap_or_else(PoisonError::into_inner);
            state.disconnects += 1;
            state.endless_for = state.endless_for.max(started.elapsed());
            return;
        }
        state.lock().unwrap_or_else(PoisonError::into_inner).open -= 1;
        match script.ending {
            ConnectionEnd::Keep => {}
            ConnectionEnd::Close => {
                let _ = stream.shutdown().await;
                return;
            }
            ConnectionEnd::Reset => {
                let _ = stream.set_zero_linger();
                return;
            }
            ConnectionEnd::Hang => {
                wait_connected(&mut stream, Duration::from_secs(60)).await;
                state.lock().unwrap_or_else(PoisonError::into_inner).disconnects += 1;
                return;
            }
        }
    }
}

/// Waits for `pause`. Returns false if the other side closes the connection meanwhile.
async fn wait_connected(stream: &mut TcpStream, pause: Duration) -> bool {
    let mut byte = [0];
    tokio::select! {
        () = sleep(pause) => true,
        read = stream.peek(&mut byte) => {
            if matches!(read, Ok(count) if count > 0) {
                sleep(pause).await;
                return true;
            }
            false
        }
    }
}

/// Reads the next request of a connection; `None` at its end.
pub async fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<ReceivedRequest> {
    loop {
        if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let request = ReceivedRequest { head, body: String::new() };
            let length: usize =
                request.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
            let total = end + 4 + length;
            while buffer.len() < total {
                read_more(stream, buffer).await?;
            }
            let body = String::from_utf8_lossy(&buffer[end + 4..total]).into_owned();
            buffer.drain(..total);
            return Some(ReceivedRequest { body, ..request });
        }
        read_more(stream, buffer).await?;
    }
}

async fn read_more(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<()> {
    let mut chunk = [0; 4096];
    let count = stream.read(&mut chunk).await.ok().filter(|count| *count > 0)?;
    buffer.extend_from_slice(&chunk[..count]);
    Some(())
}
