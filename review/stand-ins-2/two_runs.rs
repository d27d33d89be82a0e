//! TWICE: an entry that is cut off goes on with a stream at another worker, while the entry to which it
//! had forwarded the request, and the worker there, go on with it too.

use crate::{
    fleet::{Fleet, give_up},
    http::{Channel, Ended},
    link::Links,
    record::Record,
    worker::{self, Identity, Worker},
};
use std::{
    collections::HashMap,
    net::{IpAddr, Ipv4Addr},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Length of the cut.
const CUT: Duration = Duration::from_millis(5_500);

/// Time without an acknowledgement after which an entry's kernel ends a connection that the entry has
/// opened (TCP_USER_TIMEOUT, which the entry sets).
const OWN_SILENCE: Duration = Duration::from_millis(2_500);

const STREAMS: u32 = 4;
const EVENTS: u32 = 50;
const PAUSE: Duration = Duration::from_millis(200);

/// Time after which the worker before must not work on a request any more.
const STILL: Duration = Duration::from_millis(400);

const DOCUMENT: &str = r#"{"version":3,"routes":[{"name":"r-review","host":"ficu95.example","path_prefix":"/pufi791/","kind":"streaming","timeout_ms":15000,"target_latency_ms":800,"priority":0,"service":"huvo11a","max_attempts":2,"affinity":true,"resumable":true,"target_gap_ms":400,"home_regions":["aqaba","amman"]}],"services":[{"name":"huvo11a","health_path":"/healthz","max_connections":630,"protocol":"h1","tls":false,"warmup_s":3.0,"warmup_per_s":2.8,"engine":{"slots":128,"kv_tokens":209554,"kv_bytes":131072,"link_mbps":1100000.0,"moves":true,"backups":true,"stride":5,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}]}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#;

/// Work of one worker on one request: worker, begin, and last event made.
type Works = Mutex<HashMap<String, Vec<(String, Duration, Duration)>>>;

pub fn run(record: &Arc<Record>, trouble: bool) -> bool {
    let fleet = Fleet::proxied(1, Arc::clone(record));
    let links = Arc::new(Links::default());
    for machine in &fleet.machines {
        if let Some(advertised) = machine.advertised {
            links.relay(advertised, (machine.ip, fleet.ports.peer).into());
        }
    }
    fleet.start_all();
    fleet.configure(DOCUMENT);
    let works: Arc<Works> = Arc::default();
    let full = Arc::new(AtomicBool::new(false));
    let _workers: Vec<Arc<Worker>> = ["aqaba", "amman"]
        .into_iter()
        .enumerate()
        .map(|(number, region)| {
            let identity = Identity {
                id: format!("i-{region}"),
                service: "huvo11a".to_owned(),
                region,
                address: (fleet.free_ip(200 + number as u8), fleet.ports.worker).into(),
                slots: 128,
            };
            let (works, full) = (Arc::clone(&works), Arc::clone(&full));
            let reaches = Arc::new(AtomicBool::new(true));
            Worker::boot(&fleet, identity, Duration::ZERO, reaches, Arc::new(move |worker, arrived, stream| {
                let id = &worker.identity.id;
                if id == "i-aqaba" && full.swap(false, Ordering::SeqCst) {
                    worker.record.line(&format!("worker {id} is full for 2 s, refuses {}", arrived.attempt));
                    let answer = format!(
                        "HTTP/1.1 503 Service Unavailable\r\nCicadastall-Attempt-Id: {}\r\n\
                         Cicadastall-Not-Executed: 1\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n",
                        arrived.attempt
                    );
                    return std::io::Write::write_all(stream, answer.as_bytes());
                }
                let after = arrived.head.field("last-event-id");
                let after: u32 = after.and_then(|id| id.parse().ok()).unwrap_or(0);
                let now = worker.record.elapsed();
                worker.record.line(&format!("worker {id} begins {} after event {after}", arrived.attempt));
                let index = {
                    let mut works = works.lock().unwrap();
                    let rows = works.entry(arrived.attempt.clone()).or_default();
                    rows.push((id.clone(), now, now));
                    rows.len() - 1
                };
                let mut written = worker.write_stream_head(arrived, stream);
                for number in after + 1..=EVENTS {
                    written = written.and_then(|()| worker::write_event(number, stream));
                    if written.is_err() {
                        break;
                    }
                    let now = worker.record.elapsed();
                    works.lock().unwrap().get_mut(&arrived.attempt).unwrap()[index].2 = now;
                    thread::sleep(PAUSE);
                }
                worker.record.line(&format!(
                    "worker {id} {} {}",
                    if written.is_ok() { "has run" } else { "drops" },
                    arrived.attempt
                ));
                written.and_then(|()| worker::write_end(stream))
            }))
        })
        .collect();
    fleet.wait_ready();
    thread::sleep(Duration::from_secs(12));

    let entry = fleet.entries("aqaba")[0];
    full.store(true, Ordering::SeqCst);
    let callers: Vec<_> = (0..=STREAMS)
        .map(|number| {
            let (record, address) = (Arc::clone(record), fleet.front(entry));
            let caller = thread::spawn(move || {
                let attempt = format!("{number:016x}");
                let mut channel = Channel::new(address);
                let head = format!(
                    "POST /pufi791/2f HTTP/1.1\r\nHost: ficu95.example\r\nCicadastall-Attempt-Id: {attempt}\r\n\
                     Cicadastall-Model: m\r\nCicadastall-Token-Counts: 826,250\r\n\
                     Cicadastall-Prompt-Prefix: 5c1e07a2:119,91bd3f06:79,{:x}:628\r\n\
                     Cicadastall-Deadline-Ms: 15000\r\nContent-Length: 0\r\n\r\n",
                    0x9000 + number
                );
                let mut text = Vec::new();
                let ended =
                    channel.request(&head, b"", Duration::from_secs(15), |part| text.extend_from_slice(part));
                let events = String::from_utf8_lossy(&text).matches("id: ").count();
                record.line(&format!("caller sent {attempt}, {ended:?} with {events} events"));
                ended == Ended::Answer(200)
            });
            // The first request finds the worker of its region full, and the others follow it.
            thread::sleep(Duration::from_millis(100));
            caller
        })
        .collect();
    thread::sleep(Duration::from_millis(1_500));
    if trouble {
        // Connections of the entry to control come from its own address, its forwarded requests from the
        // default one; no other entry forwards any.
        let own: IpAddr = fleet.machines[entry].ip.into();
        record.line(&format!("{} is cut off from all other machines", fleet.machines[entry].name));
        let cut_at = Instant::now();
        links.cut(&[own, Ipv4Addr::LOCALHOST.into()]);
        thread::sleep(OWN_SILENCE);
        let ended = links.end_own_side();
        record
            .line(&format!("its {ended} connections to other machines have timed out on its side"));
        thread::sleep(CUT.saturating_sub(cut_at.elapsed()));
        links.heal();
        record.line("the cut has healed");
    }
    let answered = callers
        .into_iter()
        .map(|caller| caller.join())
        .filter(|done| matches!(done, Ok(true)))
        .count();
    fleet.stop_all();
    record.line(&format!("{answered} of {} streams were whole", STREAMS + 1));
    let works = works.lock().unwrap();
    let mut broken = 0;
    for (attempt, rows) in works.iter() {
        for (index, (worker, _, last)) in rows.iter().enumerate() {
            for (other, began, _) in &rows[index + 1..] {
                let overlap = last.saturating_sub(*began);
                record.line(&format!(
                    "{attempt}: {other} began at {:.3} s, {worker} worked on it until {:.3} s, {} ms longer",
                    began.as_secs_f64(),
                    last.as_secs_f64(),
                    overlap.as_millis()
                ));
                broken += u32::from(overlap > STILL);
            }
        }
    }
    record.line(&format!(
        "{broken} requests ran at two workers for more than {} ms",
        STILL.as_millis()
    ));
    if answered == 0 {
        give_up("no request was answered");
    }
    broken > 0
}
