//! A server of the users: heartbeats, and an HTTP listener whose requests a closure serves.

use crate::{
    fleet::Fleet,
    http::{self, Head},
    record::Record,
};
use std::{
    io::{BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant, SystemTime},
};

/// What the heartbeats of a worker say.
#[derive(Clone)]
pub struct Identity {
    pub id: String,
    pub service: String,
    pub region: &'static str,
    pub address: SocketAddr,
    pub slots: u32,
}

/// One boot of a worker.
pub struct Worker {
    pub identity: Identity,
    pub started: Instant,
    pub cold: Duration,
    alive: AtomicBool,
    /// Whether its heartbeats reach control.
    pub reaches_control: Arc<AtomicBool>,
    streams: Mutex<Vec<TcpStream>>,
    pub record: Arc<Record>,
    arrivals: Mutex<Vec<(Duration, String)>>,
}

/// A request that has arrived.
pub struct Arrived {
    pub head: Head,
    pub attempt: String,
    pub body_bytes: usize,
}

pub type Service = dyn Fn(&Worker, &Arrived, &mut TcpStream) -> std::io::Result<()> + Send + Sync;

impl Worker {
    /// Starts a boot whose first heartbeat goes out at once.
    pub fn boot(
        fleet: &Fleet,
        identity: Identity,
        cold: Duration,
        reaches_control: Arc<AtomicBool>,
        service: Arc<Service>,
    ) -> Arc<Worker> {
        let record = Arc::clone(&fleet.record);
        let worker = Arc::new(Worker {
            identity,
            started: Instant::now(),
            cold,
            alive: AtomicBool::new(true),
            reaches_control,
            streams: Mutex::default(),
            record,
            arrivals: Mutex::default(),
        });
        let listener = loop {
            match TcpListener::bind(worker.identity.address) {
                Ok(listener) => break listener,
                Err(_) => thread::sleep(Duration::from_millis(10)),
            }
        };
        let born = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap().as_millis();
        worker.record.line(&format!(
            "worker {} boots at {}, cold for {} ms",
            worker.identity.id,
            worker.identity.address,
            cold.as_millis()
        ));
        let controls = fleet.controls(worker.identity.region);
        let beating = Arc::clone(&worker);
        thread::spawn(move || beating.beat(born, &controls));
        let serving = Arc::clone(&worker);
        thread::spawn(move || serving.accept(&listener, &service));
        worker
    }

    pub fn is_alive(&self) -> bool {
        self.alive.load(Ordering::SeqCst)
    }

    /// Time for which the worker remains cold.
    pub fn cold_left(&self) -> Duration {
        self.cold.saturating_sub(self.started.elapsed())
    }

    /// Ends the boot as a crash does: all its sockets are closed.
    pub fn crash(&self, why: &str) {
        if !self.alive.swap(false, Ordering::SeqCst) {
            return;
        }
        self.record.line(&format!("worker {} crashes: {why}", self.identity.id));
        // Wakes the listener, which is closed then.
        let _ = TcpStream::connect_timeout(&self.identity.address, Duration::from_millis(200));
        for stream in self.streams.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    /// Times and attempts of the requests that arrived.
    pub fn arrivals(&self) -> Vec<(Duration, String)> {
        self.arrivals.lock().unwrap().clone()
    }

    fn beat(&self, born: u128, controls: &[SocketAddr]) {
        let Identity { id, service, region, address, slots } = &self.identity;
        let mut sequence = 0;
        while self.is_alive() {
            sequence += 1;
            if self.reaches_control.load(Ordering::SeqCst) {
                let left = self.cold_left().as_millis();
                let body = format!(
                    "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{region}-a\",\
                     \"version\":\"v1\",\"slots\":{slots},\"state\":\"ready\",\
                     \"warmup_left_ms\":{left},\"sequence\":{sequence},\"born\":{born}}}"
                );
                let path = format!("/-/instances/{id}/heartbeat");
                let limit = Duration::from_secs(1);
                let sent = |control: &&SocketAddr| {
                    let answer = http::call(**control, "POST", &path, &body, limit);
                    answer.is_some_and(|(status, _)| status == 200)
                };
                let _ = controls.iter().find(sent);
            }
            let next = Instant::now() + Duration::from_millis(1_200);
            while self.is_alive() && Instant::now() < next {
                thread::sleep(Duration::from_millis(20));
            }
        }
    }

    fn accept(self: &Arc<Self>, listener: &TcpListener, service: &Arc<Service>) {
        for stream in listener.incoming() {
            if !self.is_alive() {
                return;
            }
            let Ok(stream) = stream else { continue };
            if let Ok(kept) = stream.try_clone() {
                self.streams.lock().unwrap().push(kept);
            }
            let (worker, service) = (Arc::clone(self), Arc::clone(service));
            thread::spawn(move || {
                let ended = stream.try_clone();
                if worker.serve(stream, &service).is_err()
                    && let Ok(ended) = ended
                {
                    let _ = ended.shutdown(Shutdown::Both);
                }
            });
        }
    }

    fn serve(&self, stream: TcpStream, service: &Arc<Service>) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while self.is_alive() {
            let Some(head) = http::read_head(&mut reader)? else { return Ok(()) };
            let mut body_bytes = 0;
            http::read_body(&mut reader, &head, |part| body_bytes += part.len())?;
            if !self.is_alive() {
                return Ok(());
            }
            let expected = head.field("cicadastall-expect-instance");
            if expected.is_some_and(|expected| expected != self.identity.id) {
                let answer = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nCicadastall-Instance-Id: {}\r\n\
                     Cicadastall-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
                    self.identity.id
                );
                writer.write_all(answer.as_bytes())?;
                continue;
            }
            let attempt = head.field("cicadastall-attempt-id").unwrap_or("").to_owned();
            self.arrivals.lock().unwrap().push((self.record.elapsed(), attempt.clone()));
            if !attempt.is_empty() {
                self.record.line(&format!("worker {} gets {attempt}", self.identity.id));
            }
            let arrived = Arrived { head, attempt, body_bytes };
            service(self, &arrived, &mut writer)?;
        }
        Ok(())
    }

    /// Start of an answer to `arrived`: a stream of events in chunks.
    pub fn write_stream_head(
        &self,
        arrived: &Arrived,
        stream: &mut TcpStream,
    ) -> std::io::Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nCicadastall-Attempt-Id: {}\r\nCicadastall-Server-Stamp: {}.{}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            arrived.attempt, self.identity.id, arrived.attempt
        );
        stream.write_all(head.as_bytes())
    }
}

/// Writes one event as a chunk.
pub fn write_event(number: u32, stream: &mut TcpStream) -> std::io::Result<()> {
    let event = format!("id: {number}\ndata: piece {number}\n\n");
    stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())
}

/// Writes the end of a body in chunks.
pub fn write_end(stream: &mut TcpStream) -> std::io::Result<()> {
    stream.write_all(b"0\r\n\r\n")
}
