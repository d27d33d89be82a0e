//! A worker runs an unsafe request and then fails it with a status of its own. What is the consumer told?

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
    sync::atomic::Ordering,
    thread::sleep,
    time::Duration,
};

/// Requests that the consumer sends.
const REQUESTS: u32 = 80;

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
    let address = fleet.address(0, 21, 7);
    let desk = Worker::start("i-north-1", "desk", "north-a", address, nodes.clone(), record);
    if !fleet.wait_ready(entry, seconds(12.0)) {
        return Finding::NotRun("the entry did not get ready".into());
    }
    sleep(seconds(6.0));
    // As `srv_grey` with x = 0.4: two requests of five fail, and the liveness check is good.
    desk.failing.store(trouble, Ordering::SeqCst);
    let mut false_promises = Vec::new();
    let mut answered = 0;
    for number in 1..=REQUESTS {
        let id = format!("c-{number:05}");
        let headers = [
            ("Host", "desk.example"),
            ("Cicadastall-Attempt-Id", &*id),
            ("Cicadastall-Deadline-Ms", "4000"),
        ];
        let front = fleet.front(entry);
        let reply = http::call(front, "POST", "/book/1", &headers, b"one", Duration::from_secs(4));
        let status = reply.map_or(0, |reply| reply.status);
        record.line(&format!("consumer: {id} POST /book/1: {status}"));
        answered += u32::from(status == 200);
        let ran = desk.ids.lock().unwrap().contains(&id);
        if ran && [408, 421, 429, 503].contains(&status) {
            false_promises.push(id);
        }
        sleep(Duration::from_millis(50));
    }
    if answered == 0 {
        return Finding::NotRun("no request was answered with success".into());
    }
    match false_promises.last() {
        None => Finding::Held(format!("no request that ran was answered as not run; {answered} succeeded")),
        Some(last) => Finding::Broken(format!(
            "REFUSED: {} unsafe requests that a worker ran were answered 503, the last of them {last}",
            false_promises.len()
        )),
    }
}
