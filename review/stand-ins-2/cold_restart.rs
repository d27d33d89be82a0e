//! FAILBACK: a worker that is cut off from control crashes and starts again under its id. Entries reach
//! it, take it for the process that they knew, and send it its full share while it is cold.

use crate::{
    fleet::{Fleet, give_up},
    http::{Channel, Ended},
    record::Record,
    worker::{self, Identity, Service, Worker},
};
use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Requests per second that a cold worker tolerates, and the bound of the rule.
const WARMUP_PER_S: f64 = 2.8;
const BOUND_PER_S: f64 = WARMUP_PER_S * 1.5 + 3.0;
const COLD: Duration = Duration::from_secs(3);

/// Requests per second of all callers: those of the sheet's two kinds of streams at a usual peak.
const PER_S: f64 = 80.0;

/// Duration of the cut, and of the crash within it.
const CUT: Duration = Duration::from_secs(5);
const DOWN: Duration = Duration::from_millis(600);

const WORKERS: u8 = 5;

const DOCUMENT: &str = r#"{"version":3,"routes":[{"name":"r-review","host":"ficu95.example","path_prefix":"/pufi791/","kind":"streaming","timeout_ms":15000,"target_latency_ms":800,"priority":0,"service":"huvo11a","max_attempts":2,"affinity":true,"resumable":true,"target_gap_ms":400,"home_regions":["aqaba"]}],"services":[{"name":"huvo11a","health_path":"/healthz","max_connections":630,"protocol":"h1","tls":false,"warmup_s":3.0,"warmup_per_s":2.8,"engine":{"slots":128,"kv_tokens":209554,"kv_bytes":131072,"link_mbps":1100000.0,"moves":true,"backups":true,"stride":5,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

pub fn run(record: &Arc<Record>, trouble: bool) -> bool {
    let fleet = Fleet::new(3, Arc::clone(record));
    fleet.start_all();
    fleet.configure(DOCUMENT);
    let service: Arc<Service> = Arc::new(|worker, arrived, stream| {
        worker.write_stream_head(arrived, stream)?;
        for number in 1..=4 {
            worker::write_event(number, stream)?;
            thread::sleep(Duration::from_millis(8));
        }
        worker::write_end(stream)
    });
    let identity = |number: u8| Identity {
        id: format!("i-review{number}"),
        service: "huvo11a".to_owned(),
        region: "aqaba",
        address: (fleet.free_ip(200 + number), fleet.ports.worker).into(),
        slots: 128,
    };
    let mut reaches = Vec::new();
    let workers: Vec<Arc<Worker>> = (0..WORKERS)
        .map(|number| {
            let reach = Arc::new(AtomicBool::new(true));
            reaches.push(Arc::clone(&reach));
            Worker::boot(&fleet, identity(number), Duration::ZERO, reach, Arc::clone(&service))
        })
        .collect();
    fleet.wait_ready();
    thread::sleep(Duration::from_secs(3));

    let over = Arc::new(AtomicBool::new(false));
    let (number, results) = (Arc::new(AtomicU32::new(0)), Arc::new(Mutex::new(Vec::new())));
    let entries = fleet.entries("aqaba");
    let callers: Vec<_> = (0..24)
        .map(|caller| {
            let address = fleet.front(entries[caller % entries.len()]);
            let (over, number) = (Arc::clone(&over), Arc::clone(&number));
            let (results, record) = (Arc::clone(&results), Arc::clone(record));
            thread::spawn(move || {
                let mut channel = Channel::new(address);
                let pause = Duration::from_secs_f64(24.0 / PER_S);
                thread::sleep(pause.mul_f64(caller as f64 / 24.0));
                let mut next = Instant::now();
                while !over.load(Ordering::SeqCst) {
                    let number = number.fetch_add(1, Ordering::SeqCst);
                    let head = format!(
                        "POST /pufi791/2f HTTP/1.1\r\nHost: ficu95.example\r\n\
                         Cicadastall-Attempt-Id: {number:016x}\r\nCicadastall-Model: m\r\n\
                         Cicadastall-Token-Counts: 826,20\r\n\
                         Cicadastall-Prompt-Prefix: {:x}:119,{:x}:79,{number:x}:628\r\n\
                         Cicadastall-Deadline-Ms: 15000\r\nContent-Length: 0\r\n\r\n",
                        0x100 + number % 40,
                        0x1000 + number % 156
                    );
                    let ended = channel.request(&head, b"", Duration::from_secs(15), |_| {});
                    record.line(&format!("caller sent {number:016x}: {ended:?}"));
                    results.lock().unwrap().push(ended);
                    next += pause;
                    thread::sleep(next.saturating_duration_since(Instant::now()));
                }
            })
        })
        .collect();

    thread::sleep(Duration::from_secs(12));
    let mut again = None;
    if trouble {
        record.line("worker i-review0 is cut off from control");
        reaches[0].store(false, Ordering::SeqCst);
        let healed = Instant::now() + CUT;
        thread::sleep(Duration::from_millis(500));
        workers[0].crash("behind the cut");
        thread::sleep(DOWN);
        let reach = Arc::clone(&reaches[0]);
        let boot = Worker::boot(&fleet, identity(0), COLD, reach, Arc::clone(&service));
        thread::sleep(healed.saturating_duration_since(Instant::now()));
        record.line("the cut has healed");
        reaches[0].store(true, Ordering::SeqCst);
        again = Some(boot);
    }
    thread::sleep(Duration::from_secs(5));
    over.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ = caller.join();
    }
    fleet.stop_all();

    let results = results.lock().unwrap();
    let answered = results.iter().filter(|ended| **ended == Ended::Answer(200)).count();
    record.line(&format!("{} requests, {answered} answered with 200", results.len()));
    for worker in &workers {
        record.line(&format!(
            "worker {}: {} requests in the first boot",
            worker.identity.id,
            worker.arrivals().len()
        ));
    }
    let mut most = 0;
    if let Some(boot) = &again {
        let times: Vec<Duration> = boot.arrivals().iter().map(|(at, _)| *at).collect();
        let from = record.elapsed() - boot.started.elapsed();
        let cold: Vec<Duration> = times.into_iter().filter(|at| *at < from + COLD).collect();
        for at in &cold {
            record.line(&format!("cold worker got a request at {:.3} s", at.as_secs_f64()));
        }
        let second = Duration::from_secs(1);
        let within = |first: &Duration| {
            cold.iter().filter(|at| **at >= *first && **at < *first + second).count()
        };
        most = cold.iter().map(within).max().unwrap_or(0);
        record.line(&format!(
            "the cold worker got {} requests in {} s, at most {most} in one second ({BOUND_PER_S:.1} allowed)",
            cold.len(),
            COLD.as_secs()
        ));
    }
    if answered == 0 {
        give_up("no request was answered");
    }
    most as f64 > BOUND_PER_S
}
