//! All core machines are replaced in turn, as planned: the empty successor starts at another address and has
//! `catch_up_s` and a second, then the old machine gets SIGTERM and is gone. Long after that, one core machine
//! loses its disk. Is the acknowledged desired state still there?

use crate::{
    Finding,
    fleet::{Fleet, Role},
    operator::{Operator, desired_state},
    record::Record,
    seconds,
};
use std::{thread::sleep, time::Instant};

/// Bounds of the sheets, in seconds.
const CATCH_UP_S: f64 = 4.0;
const CONTACT_S: f64 = 5.0;
const GRACE_S: f64 = 8.0;
const RECOVER_S: f64 = 12.0;

/// Time that a successor has before the old machine is stopped.
const SUCCESSOR_S: f64 = CATCH_UP_S + 1.0;

/// Time from the end of the last old machine to the loss of the disk.
const LOSS_AFTER_S: f64 = 20.0;

/// Time for which the machine that loses its disk is down (`for_s` of `after_ack_wipe`).
const DOWN_S: f64 = 3.0;

pub fn run(record: &Record, trouble: bool) -> Finding {
    let mut fleet = Fleet::new(record.clone());
    let operator = Operator { record: record.clone() };
    let old: Vec<usize> = (0..3).map(|region| fleet.add(Role::Control, region, 1, true)).collect();
    old.iter().for_each(|&index| fleet.start(index, true));
    let all: Vec<_> = old.iter().map(|&index| fleet.control(index)).collect();
    let order = |nodes: &[_], version: u64, limit: f64| {
        operator.order(nodes, "/-/config/replace", &desired_state(version), seconds(limit))
    };
    if order(&all, 1, 15.0).is_none() || order(&all, 2, 6.0).is_none() {
        return Finding::NotRun("the first desired states were not acknowledged".into());
    }
    sleep(seconds(CONTACT_S));
    let mut core = Vec::new();
    for (region, &leaves) in old.iter().enumerate() {
        let successor = fleet.add(Role::Control, region, 2, false);
        fleet.update_seeds();
        fleet.start(successor, false);
        core.push(successor);
        sleep(seconds(SUCCESSOR_S));
        fleet.stop(leaves, seconds(GRACE_S));
        fleet.wipe(leaves);
        record.line("that machine is gone for good; its successor has had its time");
    }
    let nodes: Vec<_> = core.iter().map(|&index| fleet.control(index)).collect();
    sleep(seconds(LOSS_AFTER_S));
    if order(&nodes, 3, 6.0).is_none() {
        return Finding::NotRun("no ack after the planned replacement".into());
    }
    if !nodes.iter().all(|node| operator.read(*node).is_some_and(|text| text.contains("\"version\":3"))) {
        return Finding::NotRun("version 3 isn't read back before the disruption".into());
    }
    record.line(&fleet.describe_group(core[1]));
    fleet.update_seeds();
    if trouble {
        fleet.signal(core[0], "-KILL");
        fleet.wipe(core[0]);
        sleep(seconds(DOWN_S));
        fleet.start(core[0], false);
    }
    sleep(seconds(RECOVER_S));
    record.line("all machines are back for recover_s");
    // The operator reads again and again for three times contact_ms.
    let end = Instant::now() + seconds(3.0 * CONTACT_S);
    let mut read = None;
    while read.is_none() && Instant::now() < end {
        read = nodes.iter().find_map(|node| operator.read(*node));
        sleep(seconds(0.5));
    }
    record.line(&fleet.describe_group(core[1]));
    let acked = order(&nodes, 4, 12.0).is_some();
    record.line(&format!("a further change is acknowledged: {acked}"));
    match read {
        None => Finding::Broken(format!(
            "CONFIG: version 3 was acknowledged and doesn't come when it is read back; a further change is \
             acknowledged: {acked}"
        )),
        Some(text) if !text.contains("\"version\":3") => {
            Finding::Broken(format!("CONFIG: read back {}", text.chars().take(40).collect::<String>()))
        }
        Some(_) => {
            Finding::Held(format!("version 3 is read back; a further change is acknowledged: {acked}"))
        }
    }
}
