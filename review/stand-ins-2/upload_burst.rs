//! LOST: a burst of callers who upload bodies within `max_body_bytes` takes an entry's memory over the
//! limit of its machine, and the platform ends it with all requests that it had passed on.

use crate::{
    fleet::{ENTRY_MEMORY_MB, Fleet, give_up},
    http::{Channel, Ended},
    record::Record,
    worker::{self, Identity, Worker},
};
use std::{
    collections::HashSet,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Bytes of a request's body; the desired state allows 4,194,304.
const BODY_BYTES: usize = 4_000_000;

/// Requests per second before and after the burst.
const USUAL_PER_S: f64 = 9.0;

/// Strength of the burst, and how long it lasts.
const BURST: f64 = 2.5;
const BURST_TIME: Duration = Duration::from_secs(10);

/// Time until a worker's first event, and between two events.
const FIRST_EVENT: Duration = Duration::from_millis(1_500);
const NEXT_EVENT: Duration = Duration::from_millis(180);
const EVENTS: u32 = 10;

const DOCUMENT: &str = r#"{"version":3,"routes":[{"name":"r-review","host":"ficu95.example","path_prefix":"/lohu930/","kind":"streaming","timeout_ms":5000,"target_latency_ms":2000,"priority":2,"service":"huvo11a","max_attempts":1,"affinity":true,"resumable":false,"target_gap_ms":400,"home_regions":["aqaba"]}],"services":[{"name":"huvo11a","health_path":"/healthz","max_connections":630,"protocol":"h1","tls":false,"warmup_s":3.0,"warmup_per_s":2.8,"engine":{"slots":128,"kv_tokens":209554,"kv_bytes":131072,"link_mbps":1100000.0,"moves":true,"backups":true,"stride":5,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

struct Sent {
    attempt: String,
    kept: bool,
    ended: Ended,
}

pub fn run(record: &Arc<Record>, trouble: bool) -> bool {
    let fleet = Arc::new(Fleet::new(1, Arc::clone(record)));
    fleet.start_all();
    fleet.configure(DOCUMENT);
    let workers: Vec<Arc<Worker>> = (0..4)
        .map(|number| {
            let identity = Identity {
                id: format!("i-review{number}"),
                service: "huvo11a".to_owned(),
                region: "aqaba",
                address: (fleet.free_ip(200 + number), fleet.ports.worker).into(),
                slots: 128,
            };
            let reaches = Arc::new(AtomicBool::new(true));
            Worker::boot(
                &fleet,
                identity,
                Duration::ZERO,
                reaches,
                Arc::new(|worker, arrived, stream| {
                    worker.record.line(&format!(
                        "worker {} begins {} with {} B of body",
                        worker.identity.id, arrived.attempt, arrived.body_bytes
                    ));
                    thread::sleep(FIRST_EVENT);
                    worker.write_stream_head(arrived, stream)?;
                    for number in 1..=EVENTS {
                        worker::write_event(number, stream)?;
                        thread::sleep(NEXT_EVENT);
                    }
                    worker::write_end(stream)?;
                    worker.record.line(&format!(
                        "worker {} has run {}",
                        worker.identity.id, arrived.attempt
                    ));
                    Ok(())
                }),
            )
        })
        .collect();
    fleet.wait_ready();
    thread::sleep(Duration::from_secs(3));

    let entry = fleet.entries("aqaba")[0];
    let over = Arc::new(AtomicBool::new(false));
    let (kills, most) = (Arc::new(AtomicU64::new(0)), Arc::new(AtomicU64::new(0)));
    let platform = {
        let (fleet, over) = (Arc::clone(&fleet), Arc::clone(&over));
        let (kills, most) = (Arc::clone(&kills), Arc::clone(&most));
        thread::spawn(move || {
            while !over.load(Ordering::SeqCst) {
                let memory = fleet.memory_mb(entry).unwrap_or(0);
                most.fetch_max(memory, Ordering::SeqCst);
                if memory > ENTRY_MEMORY_MB {
                    fleet.record.line(&format!(
                        "platform: {} uses {memory} MB of {ENTRY_MEMORY_MB} MB and is killed",
                        fleet.machines[entry].name
                    ));
                    fleet.kill(entry);
                    kills.fetch_add(1, Ordering::SeqCst);
                    thread::sleep(Duration::from_millis(500));
                    fleet.start(entry, false);
                }
                thread::sleep(Duration::from_millis(20));
            }
        })
    };

    let body = Arc::new(vec![b'x'; BODY_BYTES]);
    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let idle: Arc<Mutex<Vec<Channel>>> = Arc::default();
    let (start, mut number, mut due) = (Instant::now(), 0_u32, 0.0);
    let (burst_from, length) = (Duration::from_secs(8), Duration::from_secs(24));
    let mut callers = Vec::new();
    while start.elapsed() < length {
        let at = start.elapsed();
        let burst = trouble && at >= burst_from && at < burst_from + BURST_TIME;
        due += 1.0 / (USUAL_PER_S * if burst { BURST } else { 1.0 });
        number += 1;
        let attempt = format!("{number:016x}");
        let address = fleet.front(entry);
        let (record, body) = (Arc::clone(record), Arc::clone(&body));
        let (sent, idle) = (Arc::clone(&sent), Arc::clone(&idle));
        callers.push(thread::spawn(move || {
            let kept = idle.lock().unwrap().pop();
            let is_kept = kept.is_some();
            let mut channel = kept.unwrap_or_else(|| Channel::new(address));
            let head = format!(
                "POST /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\nCicadastall-Attempt-Id: {attempt}\r\n\
                 Cicadastall-Model: m\r\nCicadastall-Token-Counts: 9190,50\r\n\
                 Cicadastall-Prompt-Prefix: 5c1e07a2:2520,91bd3f06:3780,{number:x}:2890\r\n\
                 Cicadastall-Deadline-Ms: 5000\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            let ended = channel.request(&head, &body, Duration::from_secs(5), |_| {});
            record.line(&format!("caller sent {attempt}, {ended:?}"));
            if matches!(ended, Ended::Answer(_)) {
                idle.lock().unwrap().push(channel);
            }
            sent.lock().unwrap().push(Sent { attempt, kept: is_kept, ended });
        }));
        let wait = Duration::from_secs_f64(due).saturating_sub(start.elapsed());
        thread::sleep(wait);
    }
    for caller in callers {
        let _ = caller.join();
    }
    over.store(true, Ordering::SeqCst);
    let _ = platform.join();
    fleet.stop_all();

    let passed_on: HashSet<String> =
        workers.iter().flat_map(|worker| worker.arrivals()).map(|(_, attempt)| attempt).collect();
    let sent = sent.lock().unwrap();
    let count = |matches: &dyn Fn(&Sent) -> bool| sent.iter().filter(|sent| matches(sent)).count();
    let answered = count(&|sent| sent.ended == Ended::Answer(200));
    let refused = count(&|sent| matches!(sent.ended, Ended::Answer(status) if status != 200));
    let cut = count(&|sent| matches!(sent.ended, Ended::CutAnswer(_)));
    let lost: Vec<&Sent> = sent
        .iter()
        .filter(|sent| matches!(sent.ended, Ended::Closed(_)) && passed_on.contains(&sent.attempt))
        .collect();
    let lost_kept = lost.iter().filter(|sent| sent.kept).count();
    record.line(&format!(
        "{} requests: {answered} answered, {refused} refused, {cut} cut in the answer; {} passed on to a \
         sound worker and closed without an answer, {lost_kept} of them from a kept channel (3 allowed)",
        sent.len(),
        lost.len()
    ));
    record.line(&format!(
        "the entry was killed {} times, most memory {} MB of {ENTRY_MEMORY_MB} MB",
        kills.load(Ordering::SeqCst),
        most.load(Ordering::SeqCst)
    ));
    if answered == 0 {
        give_up("no request was answered");
    }
    lost_kept > 3
}
