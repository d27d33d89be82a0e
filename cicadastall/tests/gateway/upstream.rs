//! A stub of an upstream that answers with scripted bytes, valid HTTP or not.

use super::{reserved::ReservedAddress, wait_until};
use std::{
    collections::{HashMap, VecDeque},
    net::{IpAddr, SocketAddr},
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream},
    sync::{OwnedSemaphorePermit, Semaphore},
    task::{JoinHandle, JoinSet},
    time::{Instant, sleep},
};

/// Requests that wait for a slot before others are refused.
const MAX_QUEUED: usize = 4;

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
    /// A stream in place of `parts`.
    pub versioned: Option<VersionedStream>,
}

/// A stream whose events carry the software version of the upstream and are numbered from 1. It goes on
/// after the last event that the request names.
#[derive(Debug, Clone, Copy)]
pub struct VersionedStream {
    /// Number of the last event.
    pub events: u32,
    /// Pause before each event.
    pub pause: Duration,
    /// Number of events of one answer after which the connection is reset.
    pub breaks_after: Option<u32>,
}

impl VersionedStream {
    /// The answer of an upstream with the version `software` to a request that names `last_event`.
    fn script(self, software: &str, last_event: u32) -> ScriptedAnswer {
        let numbers = last_event + 1..=self.events;
        let sent = self.breaks_after.unwrap_or(u32::MAX) as usize;
        let script = numbers.take(sent).fold(ScriptedAnswer::stream(), |script, id| {
            let event = format!("id: {id}\ndata: {software} token-{id}\n\n");
            script.then(self.pause, &format!("{:x}\r\n{event}\r\n", event.len()))
        });
        match self.breaks_after {
            Some(_) => script.ending(ConnectionEnd::Reset),
            None => script.end(),
        }
    }
}

impl ScriptedAnswer {
    pub fn raw(text: &str, ending: ConnectionEnd) -> Self {
        let parts = vec![(Duration::ZERO, text.to_owned())];
        Self { parts, endless: None, ending, versioned: None }
    }

    pub fn versioned(stream: VersionedStream) -> Self {
        Self { versioned: Some(stream), ..Self::stream() }
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
        Self::raw(&refusal_text(Some("{attempt}")), ConnectionEnd::Keep)
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

    /// Adds a header to the first part.
    pub fn header(mut self, name: &str, value: &str) -> Self {
        let head = &mut self.parts[0].1;
        *head = head.replacen("\r\n", &format!("\r\n{name}: {value}\r\n"), 1);
        self
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

/// Text of a refusal of `attempt`, or of one that names no attempt.
pub fn refusal_text(attempt: Option<&str>) -> String {
    let echo = attempt.map(|attempt| format!("x-cicadastall-attempt: {attempt}\r\n"));
    format!(
        "HTTP/1.1 503 Service Unavailable\r\nx-cicadastall-refused: 1\r\n{}\
         content-length: 0\r\n\r\n",
        echo.unwrap_or_default()
    )
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
    /// When the head was complete.
    pub at: Instant,
    /// Address of the sender.
    pub from: IpAddr,
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
    refusal: Option<ScriptedAnswer>,
    received: Vec<ReceivedRequest>,
    disconnects: u32,
    connections: u32,
    endless_for: Duration,
    open: u32,
    max_open: u32,
    /// Requests that are being answered or wait for a slot.
    running: usize,
    /// When requests were refused for lack of room.
    refused: Vec<Instant>,
    /// Senders that are cut off, with what happens to their open connections.
    cuts: HashMap<IpAddr, ConnectionEnd>,
    /// Slots and their number.
    slots: Option<(Arc<Semaphore>, usize)>,
}

/// A running stub; it stops when dropped.
#[derive(Debug)]
pub struct UpstreamStub {
    pub name: String,
    pub address: SocketAddr,
    /// Version of its software.
    pub software: String,
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
        Self::start_version(default_answer, "v1").await
    }

    /// Like [`Self::start`], with the software version `software`.
    pub async fn start_version(default_answer: ScriptedAnswer, software: &str) -> Self {
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
        let software = software.to_owned();
        let identity = (name.clone(), software.clone());
        let task = tokio::spawn(accept_connections(listener, identity, Arc::clone(&state)));
        Self { name, address: reserved.address, software, state, task, _reserved: reserved }
    }

    fn state(&self) -> MutexGuard<'_, UpstreamState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Queues answers for the next requests, one each.
    pub fn next(&self, scripts: impl IntoIterator<Item = ScriptedAnswer>) {
        self.state().scripts.extend(scripts);
    }

    /// Sets the answer for requests without a queued one.
    pub fn set_default(&self, answer: ScriptedAnswer) {
        self.state().default_answer = Some(answer);
    }

    /// Drops the queued answers.
    pub fn clear(&self) {
        self.state().scripts.clear();
    }

    /// Sets the answer to requests that resume a stream.
    pub fn set_resumed(&self, answer: ScriptedAnswer) {
        self.state().resumed_answer = Some(answer);
    }

    /// Sets the number of requests that are answered at the same time; a few more wait, and others are
    /// refused.
    pub fn set_slots(&self, slots: u32) {
        let slots = slots as usize;
        self.state().slots = Some((Arc::new(Semaphore::new(slots)), slots));
    }

    /// Cuts the sender at `ip` off: its new connections are reset, and its open ones are closed or hang.
    pub fn cut_off(&self, ip: IpAddr, ending: ConnectionEnd) {
        self.state().cuts.insert(ip, ending);
    }

    /// Ends the cut of the sender at `ip`; connections that hang stay so.
    pub fn reconnect(&self, ip: IpAddr) {
        self.state().cuts.remove(&ip);
    }

    /// Sets the refusal for lack of room.
    pub fn set_refusal(&self, refusal: ScriptedAnswer) {
        self.state().refusal = Some(refusal);
    }

    /// When requests were refused for lack of room.
    pub fn refused(&self) -> Vec<Instant> {
        self.state().refused.clone()
    }

    /// Ends the process: all its connections break.
    pub fn end(&self) {
        self.task.abort();
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

/// Accepts connections until its task is aborted, which breaks them. `identity` is the name and the
/// software version.
async fn accept_connections(
    listener: TcpListener,
    identity: (String, String),
    state: Arc<Mutex<UpstreamState>>,
) {
    let mut connections = JoinSet::new();
    loop {
        let Ok((stream, from)) = listener.accept().await else { return };
        let is_cut = move |state: &Mutex<UpstreamState>| {
            let state = state.lock().unwrap_or_else(PoisonError::into_inner);
            state.cuts.get(&from.ip()).copied()
        };
        if is_cut(&state).is_some() {
            let _ = stream.set_zero_linger();
            continue;
        }
        state.lock().unwrap_or_else(PoisonError::into_inner).connections += 1;
        let served = serve_connection(stream, identity.clone(), Arc::clone(&state));
        let shared = Arc::clone(&state);
        connections.spawn(async move {
            let mut served = Box::pin(served);
            let ending = loop {
                tokio::select! {
                    () = &mut served => return,
                    () = sleep(Duration::from_millis(10)) => {}
                }
                if let Some(ending) = is_cut(&shared) {
                    break ending;
                }
            };
            if ending == ConnectionEnd::Hang {
                sleep(Duration::from_secs(60)).await;
            }
        });
        while connections.try_join_next().is_some() {}
    }
}

/// Counts a request as running until it is dropped.
struct RunningRequest(Arc<Mutex<UpstreamState>>);

impl Drop for RunningRequest {
    fn drop(&mut self) {
        self.0.lock().unwrap_or_else(PoisonError::into_inner).running -= 1;
    }
}

async fn serve_connection(
    mut stream: TcpStream,
    (name, software): (String, String),
    state: Arc<Mutex<UpstreamState>>,
) {
    let _ = stream.set_nodelay(true);
    let mut buffer = Vec::new();
    while let Some(request) = read_request(&mut stream, &mut buffer).await {
        let (script, slots) = {
            let mut state = state.lock().unwrap_or_else(PoisonError::into_inner);
            state.received.push(request.clone());
            state.open += 1;
            state.max_open = state.max_open.max(state.open);
            state.running += 1;
            let resumes = request.header("last-event-id").is_some();
            let resumed = state.resumed_answer.clone().filter(|_| resumes);
            let full = |slots: usize| state.running > slots + MAX_QUEUED;
            if state.slots.as_ref().is_some_and(|(_, slots)| full(*slots)) {
                state.refused.push(request.at);
                (Some(state.refusal.clone().unwrap_or_else(ScriptedAnswer::refused)), None)
            } else {
                let script = resumed.or_else(|| state.scripts.pop_front());
                let slots = state.slots.as_ref().map(|(slots, _)| Arc::clone(slots));
                (script.or_else(|| state.default_answer.clone()), slots)
            }
        };
        let running = RunningRequest(Arc::clone(&state));
        let Some(mut script) = script else { return };
        if let Some(versioned) = script.versioned {
            let last_event = request.header("last-event-id").and_then(|id| id.parse().ok());
            script = versioned.script(&software, last_event.unwrap_or(0));
        }
        let _slot = match slots {
            Some(slots) => match wait_slot(&mut stream, &slots).await {
                Some(slot) => Some(slot),
                None => return,
            },
            None => None,
        };
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
        drop(running);
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

/// Waits for a free slot; none if the other side closes the connection meanwhile.
async fn wait_slot(stream: &mut TcpStream, slots: &Arc<Semaphore>) -> Option<OwnedSemaphorePermit> {
    loop {
        if let Ok(slot) = Arc::clone(slots).try_acquire_owned() {
            return Some(slot);
        }
        if !wait_connected(stream, Duration::from_millis(5)).await {
            return None;
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
            let request = ReceivedRequest {
                head,
                body: String::new(),
                at: Instant::now(),
                from: stream.peer_addr().ok()?.ip(),
            };
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
