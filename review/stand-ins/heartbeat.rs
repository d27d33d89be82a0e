//! A heartbeat of another writer, with a field missing, names an existing worker and another service. Is
//! the worker still used for its own service only?

use crate::{
    Finding,
    fleet::{Fleet, Role},
    http,
    operator::{Operator, desired_state},
    record::Record,
    seconds,
    worker::Worker,
};
use std::{
    thread::sleep,
    time::{Duration, Instant},
};

/// Time for which consumers send requests, before and after the heartbeat of the other writer.
const WATCH_S: f64 = 10.0;

pub fn run(record: &Record, trouble: bool) -> Finding {
    let mut fleet = Fleet::new(record.clone());
    let operator = Operator { record: record.clone() };
    let core: Vec<usize> = (0..3).map(|region| fleet.add(Role::Control, region, 1, true)).collect();
    let entry = fleet.add(Role::Entry, 0, 11, false);
    core.iter().for_each(|&index| fleet.start(index, true));
    fleet.start(entry, true);
    let nodes: Vec<_> = core.iter().map(|&index| fleet.control(index)).collect();
    let Some(_) = operator.order(&nodes, "/-/config/replace", &desired_state(1), seconds(15.0)) else {
        return Finding::NotRun("the first desired state was not acknowledged".into());
    };
    let start = |id: &str, service: &str, last: u8| {
        Worker::start(id, service, "north-a", fleet.address(0, last, 7), nodes.clone(), record)
    };
    let desk = start("i-north-1", "desk", 21);
    let annex = start("i-north-2", "annex", 22);
    if !fleet.wait_ready(entry, seconds(12.0)) {
        return Finding::NotRun("the entry did not get ready".into());
    }
    sleep(seconds(4.0));
    let mut consumer = Consumer { front: fleet.front(entry), number: 0, record };
    consumer.send(WATCH_S);
    let before = misplaced(&desk, "/note/") + misplaced(&annex, "/book/");
    if desk.runs.lock().unwrap().is_empty() || annex.runs.lock().unwrap().is_empty() || before > 0 {
        return Finding::NotRun(format!("before the disruption {before} requests were misplaced, or none ran"));
    }
    if trouble {
        // As the worker's own heartbeat, but for another service, with a count of the writer's own, and
        // without `version`.
        let body = desk.beat_body(desk.last_sequence() + 1_000);
        let body = body.replace("\"service\":\"desk\"", "\"service\":\"annex\"");
        let body = body.replace("\"version\":\"v1\",", "");
        record.line(&format!("other writer: heartbeat for {}: {body}", desk.id));
        let path = format!("/-/instances/{}/heartbeat", desk.id);
        let headers = [("Content-Type", "application/json")];
        let second = Duration::from_secs(1);
        let reply = http::call(nodes[0], "POST", &path, &headers, body.as_bytes(), second);
        record.line(&format!("other writer: answer {:?}", reply.map(|reply| reply.status)));
    }
    consumer.send(WATCH_S);
    let (at_desk, at_annex) = (misplaced(&desk, "/note/"), misplaced(&annex, "/book/"));
    match at_desk + at_annex {
        0 => Finding::Held("each request was run by the service of its route".into()),
        _ => Finding::Broken(format!(
            "ROUTE: {at_desk} requests under /note/, which every desired state sends to annex, were run by \
             i-north-1 of desk; {at_annex} under /book/ by i-north-2 of annex"
        )),
    }
}

/// Number of requests under `prefix` that a worker ran.
fn misplaced(worker: &Worker, prefix: &str) -> usize {
    worker.runs.lock().unwrap().iter().filter(|path| path.starts_with(prefix)).count()
}

/// A consumer that sends unsafe requests to both services by turns.
struct Consumer<'a> {
    front: std::net::SocketAddr,
    number: u32,
    record: &'a Record,
}

impl Consumer<'_> {
    fn send(&mut self, for_s: f64) {
        let end = Instant::now() + seconds(for_s);
        while Instant::now() < end {
            self.number += 1;
            let id = format!("c-{:05}", self.number);
            let path = if self.number % 2 == 0 { "/book/1" } else { "/note/1" };
            let headers = [
                ("Host", "desk.example"),
                ("Cicadastall-Attempt-Id", &*id),
                ("Cicadastall-Deadline-Ms", "4000"),
            ];
            let limit = Duration::from_secs(4);
            let reply = http::call(self.front, "POST", path, &headers, b"one", limit);
            let text = reply.map_or("no answer".to_owned(), |reply| {
                format!("{} {}", reply.status, reply.text().chars().take(40).collect::<String>())
            });
            self.record.line(&format!("consumer: {id} POST {path}: {text}"));
            sleep(Duration::from_millis(50));
        }
    }
}
