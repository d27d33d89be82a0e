//! BUDGET: a request that crashes each worker that begins to run it, right after the first event of its
//! answer, is never held back, although it comes again and again.

use crate::{
    fleet::{Fleet, give_up},
    http::{Channel, Ended},
    record::Record,
    worker::{self, Identity, Service, Worker},
};
use std::{
    sync::{
        Arc, Mutex, Weak,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Time from a crash until the worker is back, under a new id.
const BACK: Duration = Duration::from_secs(3);

/// Time between two copies of the deadly request.
const AGAIN: Duration = Duration::from_millis(2_500);

const CONTACT: Duration = Duration::from_millis(5_000);
const ALLOWED_RETRIES: usize = 3;
const LENGTH: Duration = Duration::from_secs(55);
const WORKERS_PER_REGION: u8 = 2;
const REGIONS: [&str; 3] = crate::fleet::REGIONS;

const DOCUMENT: &str = r#"{"version":3,"routes":[{"name":"r-review","host":"ficu95.example","path_prefix":"/pufi791/","kind":"streaming","timeout_ms":15000,"target_latency_ms":800,"priority":0,"service":"huvo11a","max_attempts":2,"affinity":true,"resumable":true,"target_gap_ms":400,"home_regions":[]}],"services":[{"name":"huvo11a","health_path":"/healthz","max_connections":630,"protocol":"h1","tls":false,"warmup_s":3.0,"warmup_per_s":2.8,"engine":{"slots":128,"kv_tokens":209554,"kv_bytes":131072,"link_mbps":1100000.0,"moves":true,"backups":true,"stride":5,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

/// Body of the deadly request.
const DEADLY: &[u8] = b"a prompt that no engine survives";

/// Part of the prompt that only the deadly request has.
const DEADLY_PART: &str = "dead:628";

struct Pool {
    fleet: Fleet,
    service: Mutex<Option<Arc<Service>>>,
    boots: AtomicU32,
    /// Arrivals of the deadly request, and the crashes that it has caused.
    arrivals: Mutex<Vec<Duration>>,
    crashes: Mutex<Vec<Duration>>,
    ended: AtomicBool,
}

impl Pool {
    fn boot(self: &Arc<Self>, place: u8, cold: Duration) {
        let number = self.boots.fetch_add(1, Ordering::SeqCst);
        let identity = Identity {
            id: format!("i-review{number:02}"),
            service: "huvo11a".to_owned(),
            region: REGIONS[usize::from(place % 3)],
            address: (self.fleet.free_ip(200 + place), self.fleet.ports.worker).into(),
            slots: 128,
        };
        let service = self.service.lock().unwrap().clone().expect("the service is set");
        let reaches = Arc::new(AtomicBool::new(true));
        Worker::boot(&self.fleet, identity, cold, reaches, service);
    }
}

fn place_of(worker: &Worker) -> u8 {
    match worker.identity.address.ip() {
        std::net::IpAddr::V4(ip) => ip.octets()[3] - 200,
        std::net::IpAddr::V6(_) => 0,
    }
}

pub fn run(record: &Arc<Record>, trouble: bool) -> bool {
    // Only to check the stand-ins: the worker ends before it has answered anything.
    let before = std::env::var("BEFORE_ANSWER").is_ok();
    let pool = Arc::new(Pool {
        fleet: Fleet::new(1, Arc::clone(record)),
        service: Mutex::new(None),
        boots: AtomicU32::new(0),
        arrivals: Mutex::default(),
        crashes: Mutex::default(),
        ended: AtomicBool::new(false),
    });
    let shared: Weak<Pool> = Arc::downgrade(&pool);
    let service: Arc<Service> = Arc::new(move |worker, arrived, stream| {
        let parts = arrived.head.field("cicadastall-prompt-prefix").unwrap_or("");
        let deadly = parts.contains(DEADLY_PART);
        if deadly && let Some(pool) = shared.upgrade() {
            let now = worker.record.elapsed();
            pool.arrivals.lock().unwrap().push(now);
            worker
                .record
                .line(&format!("worker {} begins {}", worker.identity.id, arrived.attempt));
            if !before {
                worker.write_stream_head(arrived, stream)?;
                worker::write_event(1, stream)?;
                thread::sleep(Duration::from_millis(25));
            }
            pool.crashes.lock().unwrap().push(worker.record.elapsed());
            worker.crash(&format!("by {}", arrived.attempt));
            let place = place_of(worker);
            thread::spawn(move || {
                thread::sleep(BACK);
                if !pool.ended.load(Ordering::SeqCst) {
                    pool.boot(place, Duration::from_secs(3));
                }
            });
            return Ok(());
        }
        worker.write_stream_head(arrived, stream)?;
        for number in 1..=10 {
            worker::write_event(number, stream)?;
            thread::sleep(Duration::from_millis(25));
        }
        worker::write_end(stream)
    });
    *pool.service.lock().unwrap() = Some(service);
    pool.fleet.start_all();
    pool.fleet.configure(DOCUMENT);
    (0..3 * WORKERS_PER_REGION).for_each(|place| pool.boot(place, Duration::ZERO));
    pool.fleet.wait_ready();
    thread::sleep(Duration::from_secs(3));

    let fronts: Vec<_> =
        REGIONS.iter().map(|region| pool.fleet.front(pool.fleet.entries(region)[0])).collect();
    let over = Arc::new(AtomicBool::new(false));
    let sound = Arc::new(Mutex::new(Vec::new()));
    let callers: Vec<_> = (0..12_u32)
        .map(|caller| {
            let (over, sound) = (Arc::clone(&over), Arc::clone(&sound));
            let record = Arc::clone(record);
            let address = fronts[caller as usize % 3];
            thread::spawn(move || {
                let mut channel = Channel::new(address);
                let mut number = 0;
                while !over.load(Ordering::SeqCst) {
                    number += 1;
                    let id = caller * 100_000 + number;
                    let ended = send(
                        &mut channel,
                        id,
                        "5c1e07a2:119,91bd3f06:79",
                        &format!("{id:x}:628"),
                        b"sound",
                    );
                    record.line(&format!("caller sent {id:016x}: {ended:?}"));
                    sound.lock().unwrap().push(ended);
                    thread::sleep(Duration::from_millis(200));
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(11));
    let start = Instant::now();
    let mut number = 9_000_000;
    while trouble && start.elapsed() < LENGTH {
        number += 1;
        let front = (number % 3) as usize;
        let mut channel = Channel::new(fronts[front]);
        let ended = send(&mut channel, number, "5c1e07a2:119,91bd3f06:79", DEADLY_PART, DEADLY);
        record.line(&format!(
            "caller sent the deadly request as {number:016x} to entry {front}: {ended:?}"
        ));
        thread::sleep(AGAIN);
    }
    if !trouble {
        thread::sleep(LENGTH / 3);
    }
    over.store(true, Ordering::SeqCst);
    pool.ended.store(true, Ordering::SeqCst);
    callers.into_iter().for_each(|caller| drop(caller.join()));
    pool.fleet.stop_all();

    let sound = sound.lock().unwrap();
    let answered = sound.iter().filter(|ended| **ended == Ended::Answer(200)).count();
    let crashes = pool.crashes.lock().unwrap();
    let arrivals = pool.arrivals.lock().unwrap();
    let late = crashes.get(2).map(|third| third.saturating_add(CONTACT));
    let retries = late.map_or(0, |late| arrivals.iter().filter(|at| **at > late).count());
    record.line(&format!(
        "{} sound requests, {answered} answered; the deadly one reached workers {} times and crashed {}",
        sound.len(),
        arrivals.len(),
        crashes.len()
    ));
    record.line(&format!(
        "{retries} retries of the deadly request reached workers later than {} s after the third crash \
         ({ALLOWED_RETRIES} allowed)",
        CONTACT.as_secs()
    ));
    if answered == 0 {
        give_up("no request was answered");
    }
    retries > ALLOWED_RETRIES
}

fn send(channel: &mut Channel, id: u32, shared: &str, own: &str, body: &[u8]) -> Ended {
    let head = format!(
        "POST /pufi791/2f HTTP/1.1\r\nHost: ficu95.example\r\nCicadastall-Attempt-Id: {id:016x}\r\n\
         Cicadastall-Model: m\r\nCicadastall-Token-Counts: 826,50\r\n\
         Cicadastall-Prompt-Prefix: {shared},{own}\r\nCicadastall-Deadline-Ms: 15000\r\n\
         Content-Length: {}\r\n\r\n",
        body.len()
    );
    channel.request(&head, body, Duration::from_secs(15), |_| {})
}
