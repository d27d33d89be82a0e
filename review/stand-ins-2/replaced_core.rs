//! CONFIG: a core machine loses its disk right after it has acknowledged a change, just when another one was
//! replaced as planned, and the desired state can neither be read nor changed any more.

use crate::{
    fleet::{Fleet, give_up},
    http,
    record::Record,
};
use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// Time for which the successor has run when the machine that it replaces gets SIGTERM; `catch_up_s` is 4.
const SUCCESSOR_RUNS: Duration = Duration::from_secs(9);

/// Time for which the machine that loses its disk is down.
const DOWN: Duration = Duration::from_secs(3);

/// Time for which the operator tries to read and to change the desired state afterwards.
const WATCH: Duration = Duration::from_secs(45);

fn document(version: u32) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"r-lookup","host":"ficu95.example","path_prefix":"/puxa403/","kind":"safe","timeout_ms":5000,"target_latency_ms":300,"priority":2,"service":"wuno96b","max_attempts":2,"affinity":false,"resumable":false,"home_regions":[]}}],"services":[{{"name":"wuno96b","health_path":"/healthz","max_connections":110,"protocol":"h1","tls":false,"warmup_s":0.0,"warmup_per_s":0.0}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#
    )
}

pub fn run(record: &Arc<Record>, trouble: bool) -> bool {
    let mut fleet = Fleet::new(1, Arc::clone(record));
    fleet.start_all();
    fleet.configure(&document(3));
    fleet.wait_ready();
    thread::sleep(Duration::from_secs(5));
    let cores: Vec<usize> =
        (0..fleet.machines.len()).filter(|index| fleet.machines[*index].control).collect();
    let (replaced, wiped) = (cores[0], cores[1]);

    let successor = fleet.add_core(replaced);
    fleet.start(successor, false);
    thread::sleep(SUCCESSOR_RUNS);
    fleet.configure(&document(7));
    if read(&fleet) != Some(7) {
        give_up("version 7 is not read back before the disruption");
    }
    record.line("operator: version 7 is read back");
    fleet.terminate(replaced);
    let control = (fleet.machines[wiped].ip, fleet.ports.registry).into();
    let until = Instant::now() + Duration::from_secs(4);
    loop {
        let limit = Duration::from_secs(1);
        let answer = http::call(control, "POST", "/-/config/replace", &document(8), limit);
        if answer.is_some_and(|(status, _)| status == 200) {
            break record.line(&format!("operator: version 8 acknowledged by {control}"));
        }
        if Instant::now() > until {
            give_up("version 8 is not acknowledged before the disruption");
        }
    }
    if trouble {
        fleet.kill(wiped);
        fleet.wipe(wiped);
        thread::sleep(DOWN);
        fleet.start(wiped, false);
    }

    let until = Instant::now() + WATCH;
    let (mut version, mut changed) = (None, false);
    while Instant::now() < until && (version.is_none() || !changed) {
        if version.is_none() {
            version = read(&fleet);
        }
        if !changed {
            changed = fleet.order("/-/config/replace", &document(9), Duration::from_millis(500));
        }
        thread::sleep(Duration::from_millis(500));
    }
    for index in &cores[1..] {
        record.line(&status(&fleet, *index));
    }
    record.line(&status(&fleet, successor));
    fleet.stop_all();
    match version {
        Some(version) => record.line(&format!("operator: version {version} is read back")),
        None => record.line(&format!("operator: no desired state for {} s", WATCH.as_secs())),
    }
    record.line(if changed {
        "version 9 is acknowledged"
    } else {
        "version 9 is never acknowledged"
    });
    version.is_none_or(|version| version < 8)
}

/// Version of the desired state that a core machine answers; none if none does.
fn read(fleet: &Fleet) -> Option<u64> {
    fleet.controls("aqaba").into_iter().find_map(|control| {
        let limit = Duration::from_secs(1);
        let (status, text) = http::call(control, "GET", "/-/config/get", "", limit)?;
        fleet.record.line(&format!("operator: {control} answers a read with {status}"));
        let rest = text.split("\"version\":").nth(1).filter(|_| status == 200)?;
        rest.split([',', '}']).next()?.trim().parse().ok()
    })
}

/// What a core machine says of its group, for whoever looks for the cause.
fn status(fleet: &Fleet, index: usize) -> String {
    let machine = &fleet.machines[index];
    let address = (machine.ip, fleet.ports.status).into();
    let answer = http::call(address, "GET", "/v1/status", "", Duration::from_secs(1));
    let text = answer.map(|(_, text)| text).unwrap_or_default();
    let group: String =
        text.split("\"configuration\":").nth(1).unwrap_or("").chars().take(400).collect();
    format!("status of {}: {group}", machine.name)
}
