//! A sound worker: it sends heartbeats and answers requests as the pages tell.

use crate::{
    fleet::HEARTBEAT_MS,
    http::{self, find},
    record::Record,
};
use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread::{sleep, spawn},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

pub struct Worker {
    pub id: String,
    service: String,
    zone: String,
    address: SocketAddr,
    controls: Vec<SocketAddr>,
    born: u64,
    sequence: AtomicU64,
    /// Paths of the requests that it ran.
    pub runs: Mutex<Vec<String>>,
    /// Ids of the requests that it ran.
    pub ids: Mutex<Vec<String>>,
    /// Whether it sends no heartbeats any more.
    left: AtomicBool,
    /// Whether it fails two of five requests after it has run them.
    pub failing: AtomicBool,
    record: Record,
}

impl Worker {
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        address: SocketAddr,
        controls: Vec<SocketAddr>,
        record: &Record,
    ) -> Arc<Self> {
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
        let worker = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            address,
            controls,
            born,
            sequence: AtomicU64::new(0),
            runs: Mutex::default(),
            ids: Mutex::default(),
            left: AtomicBool::new(false),
            failing: AtomicBool::new(false),
            record: record.clone(),
        });
        let listener = TcpListener::bind(address).expect("the worker's address is free");
        let server = Arc::clone(&worker);
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = Arc::clone(&server);
                spawn(move || server.serve(stream));
            }
        });
        let beats = Arc::clone(&worker);
        spawn(move || {
            while !beats.left.load(Ordering::SeqCst) {
                beats.beat();
                sleep(Duration::from_millis(HEARTBEAT_MS));
            }
        });
        worker
    }

    /// Body of a heartbeat of this worker.
    pub fn beat_body(&self, sequence: u64) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":6,\
             \"state\":\"ready\",\"warmup_left_ms\":0,\"sequence\":{sequence},\"born\":{}}}",
            self.service, self.address, self.zone, self.born
        )
    }

    pub fn last_sequence(&self) -> u64 {
        self.sequence.load(Ordering::SeqCst)
    }

    /// Sends one heartbeat: to the first node, and to the next ones if there is no ack in a second.
    fn beat(&self) {
        let path = format!("/-/instances/{}/heartbeat", self.id);
        for control in &self.controls {
            let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
            let body = self.beat_body(sequence);
            let headers = [("Content-Type", "application/json")];
            let limit = Duration::from_secs(1);
            let reply = http::call(*control, "POST", &path, &headers, body.as_bytes(), limit);
            let status = reply.as_ref().map_or(0, |reply| reply.status);
            self.record.line(&format!("{} heartbeat {sequence} to {control}: {status}", self.id));
            if (200..300).contains(&status) {
                return;
            }
        }
    }

    /// Sends no heartbeats from now on; returns the body of the last one, which is still on its way.
    pub fn stop_beats(&self) -> String {
        self.left.store(true, Ordering::SeqCst);
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        self.record.line(&format!("{} heartbeat {sequence}: sent, delayed on its way", self.id));
        self.beat_body(sequence)
    }

    /// Deregisters at the nodes in turn; returns the time of the ack.
    pub fn deregister(&self, nodes: &[SocketAddr]) -> Option<Instant> {
        let path = format!("/-/instances/{}/deregister", self.id);
        nodes.iter().find_map(|node| {
            let reply = http::call(*node, "POST", &path, &[], b"", Duration::from_secs(1));
            let status = reply.map_or(0, |reply| reply.status);
            self.record.line(&format!("{} deregisters at {node}: {status}", self.id));
            (200..300).contains(&status).then(Instant::now)
        })
    }

    /// Delivers a heartbeat that was delayed.
    pub fn send_late(&self, node: SocketAddr, body: &str) {
        let path = format!("/-/instances/{}/heartbeat", self.id);
        let headers = [("Content-Type", "application/json")];
        let second = Duration::from_secs(1);
        let reply = http::call(node, "POST", &path, &headers, body.as_bytes(), second);
        let status = reply.map_or(0, |reply| reply.status);
        self.record.line(&format!("{} the delayed heartbeat arrives at {node}: {status}", self.id));
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let _ = writer.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Some((first, headers)) = http::read_head(&mut reader) {
            let mut body = Vec::new();
            if !http::read_body(&mut reader, &headers, &mut body, false) {
                return;
            }
            let path = first.split(' ').nth(1).unwrap_or("").to_owned();
            let id = find(&headers, "cicadastall-attempt-id").unwrap_or("").to_owned();
            let expected = find(&headers, "cicadastall-expect-instance");
            let answer = if path == "/healthz" {
                format!("HTTP/1.1 200 OK\r\nCicadastall-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n", self.id)
            } else if expected.is_some_and(|expected| expected != self.id) {
                format!("HTTP/1.1 421 Misdirected Request\r\nCicadastall-Attempt-Id: {id}\r\nCicadastall-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
            } else {
                self.runs.lock().unwrap().push(path.clone());
                self.record.line(&format!("{} runs {id} ({first})", self.id));
                sleep(Duration::from_millis(15));
                let mut ids = self.ids.lock().unwrap();
                ids.push(id.clone());
                let fails = self.failing.load(Ordering::SeqCst) && ids.len() % 5 < 2;
                drop(ids);
                // Without `Cicadastall-Not-Executed`, as the request has run.
                let status = if fails { "503 Service Unavailable" } else { "200 OK" };
                self.record.line(&format!("{} answers {id}: {status}", self.id));
                let body = format!("{} answers {id}", self.id);
                format!(
                    "HTTP/1.1 {status}\r\nCicadastall-Attempt-Id: {id}\r\nCicadastall-Server-Stamp: {}.{id}\r\n\
                     Content-Type: text/plain\r\nContent-Length: {}\r\n\r\n{body}",
                    self.id,
                    body.len()
                )
            };
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }
}
