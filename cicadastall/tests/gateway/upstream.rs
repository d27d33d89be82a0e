//! A stand-in for an upstream that answers with scripted bytes, so that it can break every rule.

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

/// What becomes of the connection after an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// It is kept.
    Keep,
    /// It is closed in order.
    Close,
    /// It is reset.
    Reset,
    /// It is kept, and nothing more is written until the caller leaves.
    Hang,
}

/// One scripted answer. `{attempt}` stands for the attempt of the request, `{name}` for the upstream.
#[derive(Debug, Clone)]
pub struct Script {
    /// Texts to write, each after a pause.
    pub parts: Vec<(Duration, String)>,
    /// A text to write after that again and again, each time after a pause, until the caller leaves.
    pub endless: Option<(Duration, String)>,
    /// What becomes of the connection.
    pub ending: Ending,
}

impl Script {
    pub fn raw(text: &str, ending: Ending) -> Self {
        Self { parts: vec![(Duration::ZERO, text.to_owned())], endless: None, ending }
    }

    /// Writes `text` again and again once all parts are written.
    pub fn endless(mut self, pause: Duration, text: &str) -> Self {
        self.endless = Some((pause, text.to_owned()));
        self
    }

    pub fn then(mut self, pause: Duration, text: &str) -> Self {
        self.parts.push((pause, text.to_owned()));
        self
    }

    /// A whole answer with the upstream's stamp.
    pub fn whole(status: &str, body: &str) -> Self {
        Self::raw(&whole_text(status, body), Ending::Keep)
    }

    /// An answer that says that the request was not run.
    pub fn refused() -> Self {
        let text = "HTTP/1.1 503 Service Unavailable\r\nx-cicadastall-refused: 1\r\n\
                    content-length: 0\r\n\r\n";
        Self::raw(text, Ending::Keep)
    }

    /// The head of a stream in chunks.
    pub fn stream() -> Self {
        let head = "HTTP/1.1 200 OK\r\nx-cicadastall-attempt: {attempt}\r\n\
                    x-cicadastall-stamp: {name}\r\ncontent-type: text/event-stream\r\n\
                    transfer-encoding: chunked\r\n\r\n";
        Self::raw(head, Ending::Keep)
    }

    /// Adds a chunk with an event.
    pub fn event(self, pause: Duration, id: u32) -> Self {
        let event = event(id);
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        self.then(pause, &chunk)
    }

    /// Adds the end of a stream.
    pub fn end(self) -> Self {
        self.then(Duration::ZERO, "0\r\n\r\n")
    }

    /// Writes nothing before `pause` is over.
    pub fn delayed(mut self, pause: Duration) -> Self {
        self.parts[0].0 = pause;
        self
    }

    pub fn ending(mut self, ending: Ending) -> Self {
        self.ending = ending;
        self
    }
}

/// One event of a stream.
pub fn event(id: u32) -> String {
    format!("id: {id}\ndata: token-{id}\n\n")
}

/// A whole answer as text.
pub fn whole_text(status: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status}\r\nx-cicadastall-attempt: {{attempt}}\r\n\
         x-cicadastall-stamp: {{name}}\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// A request as it arrived.
#[derive(Debug, Clone)]
pub struct SeenRequest {
    pub head: String,
    pub body: String,
}

impl SeenRequest {
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
    scripts: VecDeque<Script>,
    usual: Option<Script>,
    seen: Vec<SeenRequest>,
    left: u32,
    connections: u32,
    endless_for: Duration,
    open: u32,
    most_open: u32,
}

/// A stand-in; it stops when it is dropped.
#[derive(Debug)]
pub struct Upstream {
    pub name: String,
    pub address: SocketAddr,
    state: Arc<Mutex<UpstreamState>>,
    task: JoinHandle<()>,
    _reserved: ReservedAddress,
}

impl Drop for Upstream {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Upstream {
    /// Starts a stand-in whose usual answer is `usual`.
    pub async fn start(usual: Script) -> Self {
        let name = format!("upstream-{}", NAMES.fetch_add(1, Ordering::Relaxed));
        let reserved = ReservedAddress::group(1).remove(0);
        let socket = TcpSocket::new_v4().expect("socket");
        socket.set_reuseaddr(true).expect("reuse");
        socket.bind(reserved.address).expect("bind");
        let listener = socket.listen(64).expect("listen");
        let state =
            Arc::new(Mutex::new(UpstreamState { usual: Some(usual), ..UpstreamState::default() }));
        let task = tokio::spawn(accept(listener, name.clone(), Arc::clone(&state)));
        Self { name, address: reserved.address, state, task, _reserved: reserved }
    }

    fn state(&self) -> MutexGuard<'_, UpstreamState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Answers the next requests with `scripts`, one each.
    pub fn next(&self, scripts: impl IntoIterator<Item = Script>) {
        self.state().scripts.extend(scripts);
    }

    /// Requests that arrived whole.
    pub fn seen(&self) -> Vec<SeenRequest> {
        self.state().seen.clone()
    }

    /// Times that an attempt arrived.
    pub fn runs(&self, attempt: &str) -> usize {
        self.seen().iter().filter(|request| request.attempt() == attempt).count()
    }

    /// Callers that left before their answer was whole.
    pub fn left(&self) -> u32 {
        self.state().left
    }

    /// Connections that were opened.
    pub fn connections(&self) -> u32 {
        self.state().connections
    }

    /// Most requests that were under way at the same time.
    pub fn most_open(&self) -> u32 {
        self.state().most_open
    }

    /// Longest time for which a caller took an endless answer.
    pub fn endless_for(&self) -> Duration {
        self.state().endless_for
    }

    pub async fn wait_left(&self, count: u32) {
        wait_until("the caller has left", || self.left() >= count).await;
    }

    pub async fn wait_seen(&self, count: usize) {
        wait_until("the request has arrived", || self.seen().len() >= count).await;
    }
}

async fn accept(listener: TcpListener, name: String, state: Arc<Mutex<UpstreamState>>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else { return };
        state.lock().unwrap_or_else(PoisonError::into_inner).connections += 1;
        tokio::spawn(serve(stream, name.clone(), Arc::clone(&state)));
    }
}

async fn serve(mut stream: TcpStream, name: String, state: Arc<Mutex<UpstreamState>>) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    while let Some(request) = read_request(&mut stream, &mut buffer).await {
        let script = {
            let mut state = state.lock().unwrap_or_else(PoisonError::into_inner);
            state.seen.push(request.clone());
            state.open += 1;
            state.most_open = state.most_open.max(state.open);
            state.scripts.pop_front().or_else(|| state.usual.clone())
        };
        let Some(script) = script else { return };
        for (pause, text) in &script.parts {
            if !wait_present(&mut stream, *pause).await {
                state.lock().unwrap_or_else(PoisonError::into_inner).left += 1;
                return;
            }
            let text = text.replace("{attempt}", &request.attempt()).replace("{name}", &name);
            if stream.write_all(text.as_bytes()).await.is_err() {
                state.lock().unwrap_or_else(PoisonError::into_inner).left += 1;
                return;
            }
        }
        if let Some((pause, text)) = &script.endless {
            let started = Instant::now();
            while wait_present(&mut stream, *pause).await
                && stream.write_all(text.as_bytes()).await.is_ok()
            {}
            let mut state = state.lock().unwrap_or_else(PoisonError::into_inner);
            state.left += 1;
            state.endless_for = state.endless_for.max(started.elapsed());
            return;
        }
        state.lock().unwrap_or_else(PoisonError::into_inner).open -= 1;
        match script.ending {
            Ending::Keep => {}
            Ending::Close => {
                let _ = stream.shutdown().await;
                return;
            }
            Ending::Reset => {
                let _ = stream.set_zero_linger();
                return;
            }
            Ending::Hang => {
                wait_present(&mut stream, Duration::from_secs(60)).await;
                state.lock().unwrap_or_else(PoisonError::into_inner).left += 1;
                return;
            }
        }
    }
}

/// Waits for `pause`; false if the other side closes the connection meanwhile.
async fn wait_present(stream: &mut TcpStream, pause: Duration) -> bool {
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

async fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<SeenRequest> {
    loop {
        if let Some(end) = buffer.windows(4).position(|window| window == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            let request = SeenRequest { head, body: String::new() };
            let length: usize =
                request.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
            let total = end + 4 + length;
            while buffer.len() < total {
                read_more(stream, buffer).await?;
            }
            let body = String::from_utf8_lossy(&buffer[end + 4..total]).into_owned();
            buffer.drain(..total);
            return Some(SeenRequest { body, ..request });
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
