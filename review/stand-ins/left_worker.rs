//! A worker deregisters and goes on serving for a while. The core and a front are killed at the same moment
//! and are back within a second, and a heartbeat that the worker sent before it left arrives late. Does
//! the worker get requests again?

use crate::{
    Finding,
    fleet::{Fleet, Role},
    http,
    operator::{Operator, desired_state},
    record::Record,
    seconds, sleep_until,
    worker::Worker,
};
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread::{sleep, spawn},
    time::Duration,
};

/// Bounds of the sheets, in seconds.
const DRAIN_S: f64 = 3.0;
const CONTACT_S: f64 = 5.0;

/// Moments after the ack of the deregistration, in seconds: the kill, the restart, the late heartbeat, and
/// the end of the watch, up to which the worker serves.
const KILL_S: f64 = 0.3;
const BACK_S: f64 = 1.2;
const LATE_S: f64 = 2.5;
const END_S: f64 = 15.0;

pub fn run(record: &Record, trouble: bool) -> Finding {
    let mut fleet = Fleet::new(record.clone());
    let operator = Operator { record: record.clone() };
    let core: Vec<usize> = (0..3).map(|region| fleet.add(Role::Control, region, 1, true)).collect();
    // Six tenths of seven machines are killed: the core, and the first of the four fronts.
    let fronts: Vec<usize> =
        [(0, 11), (0, 12), (1, 11), (2, 11)].map(|(region, last)| fleet.add(Role::Entry, region, last, false)).to_vec();
    let entry = fronts[0];
    core.iter().chain(&fronts).for_each(|&index| fleet.start(index, true));
    let nodes: Vec<_> = core.iter().map(|&index| fleet.control(index)).collect();
    let Some(_) = operator.order(&nodes, "/-/config/replace", &desired_state(1), seconds(15.0)) else {
        return Finding::NotRun("the first desired state was not acknowledged".into());
    };
    let start = |id: &str, last: u8| {
        Worker::start(id, "desk", "north-a", fleet.address(0, last, 7), nodes.clone(), record)
    };
    let leaving = start("i-north-1", 21);
    let stays = start("i-north-2", 22);
    if !fleet.wait_ready(entry, seconds(12.0)) {
        return Finding::NotRun("the entry did not get ready".into());
    }
    let stop = Arc::new(AtomicBool::new(false));
    let consumer = {
        let (stop, front, record) = (Arc::clone(&stop), fleet.front(entry), record.clone());
        spawn(move || consume(front, &record, &stop))
    };
    sleep(seconds(6.0));
    // The last heartbeat before the worker leaves; it is on its way for some seconds.
    let late = leaving.stop_beats();
    let Some(acked) = leaving.deregister(&nodes) else {
        return Finding::NotRun("the deregistration was not acknowledged".into());
    };
    let mut machines = core.clone();
    machines.push(entry);
    sleep_until(acked + seconds(KILL_S));
    if trouble {
        machines.iter().for_each(|&index| fleet.signal(index, "-KILL"));
    }
    sleep_until(acked + seconds(BACK_S));
    if trouble {
        machines.iter().for_each(|&index| fleet.start(index, false));
    }
    sleep_until(acked + seconds(LATE_S));
    leaving.send_late(nodes[0], &late);
    let from = acked + seconds((BACK_S + CONTACT_S + 0.5).max(DRAIN_S));
    sleep_until(from);
    record.line("from here on, all machines are in touch, and drain_ms is over");
    let before = leaving.runs.lock().unwrap().len();
    sleep_until(acked + seconds(END_S));
    stop.store(true, Ordering::SeqCst);
    let _ = consumer.join();
    if stays.runs.lock().unwrap().is_empty() || leaving.runs.lock().unwrap().is_empty() {
        return Finding::NotRun("no request reached a worker".into());
    }
    match leaving.runs.lock().unwrap().len() - before {
        0 => Finding::Held("no request reached the worker that has left".into()),
        late => Finding::Broken(format!(
            "DRAIN: {late} requests reached i-north-1 between {:.1} s and {END_S} s after the ack of its \
             deregistration",
            from.duration_since(acked).as_secs_f64()
        )),
    }
}

/// A consumer that sends an unsafe request twenty times a second.
fn consume(front: SocketAddr, record: &Record, stop: &AtomicBool) {
    let mut number = 0;
    while !stop.load(Ordering::SeqCst) {
        number += 1;
        let id = format!("c-{number:05}");
        let headers = [
            ("Host", "desk.example"),
            ("Cicadastall-Attempt-Id", &*id),
            ("Cicadastall-Deadline-Ms", "4000"),
        ];
        let reply = http::call(front, "POST", "/book/1", &headers, b"one", Duration::from_secs(4));
        let status = reply.map_or("no answer".to_owned(), |reply| reply.status.to_string());
        record.line(&format!("consumer: {id} POST /book/1: {status}"));
        sleep(Duration::from_millis(50));
    }
}
