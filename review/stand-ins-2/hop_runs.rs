//! BUDGET: a stream that was forwarded to another region and breaks off there, twice, runs at a third
//! worker, although its route allows two.

use crate::{
    fleet::{Fleet, give_up},
    http::{Channel, Ended},
    record::Record,
    worker::{self, Identity, Service, Worker},
};
use std::{
    collections::{HashMap, HashSet},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

const MAX_ATTEMPTS: usize = 2;

/// Requests that may run at more workers than that.
const ALLOWED: usize = 3;

/// Streams per second from callers in `irbid`, which is no home of the route.
const PER_S: f64 = 6.0;
const CALLERS: u32 = 6;
const EVENTS: u32 = 10;

/// Dose of the disruption: for 4 s at a time, four workers of seven lose the answers to four requests in ten.
const LOSING_FOR: Duration = Duration::from_secs(4);
const LOST_IN_TEN: u32 = 4;
const TIMES: u32 = 3;

/// Workers in `aqaba` and in `amman`, and how many of them lose answers.
const WORKERS: [(&str, u8, u8); 2] = [("aqaba", 5, 2), ("amman", 2, 2)];

const DOCUMENT: &str = r#"{"version":3,"routes":[{"name":"r-query","host":"ficu95.example","path_prefix":"/pufi791/","kind":"streaming","timeout_ms":15000,"target_latency_ms":800,"priority":0,"service":"huvo11a","max_attempts":2,"affinity":true,"resumable":true,"target_gap_ms":400,"home_regions":["aqaba","amman"]}],"services":[{"name":"huvo11a","health_path":"/healthz","max_connections":630,"protocol":"h1","tls":false,"warmup_s":3.0,"warmup_per_s":2.8,"engine":{"slots":128,"kv_tokens":209554,"kv_bytes":131072,"link_mbps":1100000.0,"moves":true,"backups":true,"stride":5,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

pub fn run(record: &Arc<Record>, trouble: bool) -> bool {
    let fleet = Fleet::new(3, Arc::clone(record));
    fleet.start_all();
    fleet.configure(DOCUMENT);
    let losing = Arc::new(AtomicBool::new(false));
    let runs: Arc<Mutex<HashMap<String, Vec<String>>>> = Arc::default();
    let mut workers = Vec::new();
    for (region, count, lossy) in WORKERS {
        for number in 0..count {
            let identity = Identity {
                id: format!("i-{region}{number}"),
                service: "huvo11a".to_owned(),
                region,
                address: (fleet.free_ip(200 + workers.len() as u8), fleet.ports.worker).into(),
                slots: 128,
            };
            let (losing, runs) = (Arc::clone(&losing), Arc::clone(&runs));
            let service: Arc<Service> = Arc::new(move |worker, arrived, stream| {
                let id = &worker.identity.id;
                runs.lock().unwrap().entry(arrived.attempt.clone()).or_default().push(id.clone());
                let after = arrived.head.field("last-event-id");
                let after: u32 = after.and_then(|id| id.parse().ok()).unwrap_or(0);
                let turn = u32::from_str_radix(&arrived.attempt, 16).unwrap_or(0) % 10;
                let loses = number < lossy && losing.load(Ordering::SeqCst) && turn < LOST_IN_TEN;
                worker.write_stream_head(arrived, stream)?;
                for number in after + 1..=EVENTS {
                    worker::write_event(number, stream)?;
                    thread::sleep(Duration::from_millis(15));
                    if loses && number >= after + 2 {
                        worker.record.line(&format!(
                            "worker {id} resets the answer to {} after event {number}",
                            arrived.attempt
                        ));
                        return Err(std::io::ErrorKind::ConnectionReset.into());
                    }
                }
                worker::write_end(stream)
            });
            let reaches = Arc::new(AtomicBool::new(true));
            workers.push(Worker::boot(&fleet, identity, Duration::ZERO, reaches, service));
        }
    }
    fleet.wait_ready();
    thread::sleep(Duration::from_secs(3));

    let over = Arc::new(AtomicBool::new(false));
    let ends: Arc<Mutex<Vec<Ended>>> = Arc::default();
    let entries = fleet.entries("irbid");
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let address = fleet.front(entries[caller as usize % entries.len()]);
            let (over, ends) = (Arc::clone(&over), Arc::clone(&ends));
            let record = Arc::clone(record);
            thread::spawn(move || {
                let pause = Duration::from_secs_f64(f64::from(CALLERS) / PER_S);
                thread::sleep(pause.mul_f64(f64::from(caller) / f64::from(CALLERS)));
                let (mut channel, mut next, mut number) =
                    (Channel::new(address), Instant::now(), 0);
                while !over.load(Ordering::SeqCst) {
                    number += 1;
                    let id = caller * 100_000 + number;
                    let head = format!(
                        "POST /pufi791/2f HTTP/1.1\r\nHost: ficu95.example\r\n\
                         Cicadastall-Attempt-Id: {id:016x}\r\nCicadastall-Model: m\r\n\
                         Cicadastall-Token-Counts: 826,50\r\n\
                         Cicadastall-Prompt-Prefix: {:x}:119,{:x}:79,{id:x}:628\r\n\
                         Cicadastall-Deadline-Ms: 15000\r\nContent-Length: 0\r\n\r\n",
                        0x100 + id % 40,
                        0x1000 + id % 156
                    );
                    let ended = channel.request(&head, b"", Duration::from_secs(15), |_| {});
                    record.line(&format!("caller sent {id:016x}: {ended:?}"));
                    ends.lock().unwrap().push(ended);
                    next += pause;
                    thread::sleep(next.saturating_duration_since(Instant::now()));
                }
            })
        })
        .collect();
    // The budget of repeats grows for as long as its window after the start of an entry.
    thread::sleep(Duration::from_secs(13));
    for _ in 0..TIMES {
        if trouble {
            record.line("workers lose answers");
            losing.store(true, Ordering::SeqCst);
        }
        thread::sleep(LOSING_FOR);
        losing.store(false, Ordering::SeqCst);
        record.line("workers are sound");
        thread::sleep(Duration::from_secs(10));
    }
    over.store(true, Ordering::SeqCst);
    callers.into_iter().for_each(|caller| drop(caller.join()));
    fleet.stop_all();

    let ends = ends.lock().unwrap();
    let answered = ends.iter().filter(|ended| **ended == Ended::Answer(200)).count();
    record.line(&format!("{} streams, {answered} whole", ends.len()));
    let runs = runs.lock().unwrap();
    let mut over = 0;
    for (attempt, workers) in runs.iter() {
        let different: HashSet<&String> = workers.iter().collect();
        if different.len() > MAX_ATTEMPTS {
            over += 1;
            record.line(&format!("{attempt} ran at {}", workers.join(", ")));
        }
    }
    record.line(&format!(
        "{over} requests ran at more than {MAX_ATTEMPTS} workers ({ALLOWED} allowed); no worker ended or \
         was cut off"
    ));
    if answered == 0 {
        give_up("no request was answered");
    }
    over > ALLOWED
}
