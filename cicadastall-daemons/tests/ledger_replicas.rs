//! Bookings with a ledger of three replicas while replicas are killed, frozen, stopped or restarted.

mod bookings;
mod common;

use bookings::{
    BookOutcome, ask_session, executions, fleet_settings, send_booking, send_signal, start_service,
};
use cicadastall::http::{call_json, client};
use cicadastall_standins::service::ServiceStandin;
use common::{CONTROL, ENTRY, Process, TestFolder, instance_settings, reserved::ReservedAddress};
use hyper::Method;
use serde_json::{Value, json};
use std::{
    path::PathBuf,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep},
};

const REPLICAS: usize = 3;

/// Name of the ledger's group.
const GROUP: &str = "ledger-viti-west";

/// Timeout of a graceful stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(20);

/// Timeout of waits for a condition that has no specified time limit.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

/// Number of callers that book without pause.
const CALLERS: usize = 4;

/// Three control instances and two entries of one region.
struct ReplicaFleet {
    control: Vec<Process>,
    files: Vec<PathBuf>,
    entries: Vec<Process>,
    service: Arc<ServiceStandin>,
    _reserved: Vec<ReservedAddress>,
    _folder: TestFolder,
}

fn start(program: &str, file: &std::path::Path) -> Process {
    Process::start(program, &["--settings".into(), file.display().to_string()])
}

impl ReplicaFleet {
    /// Starts the fleet; the first `disks` replicas have a data folder.
    async fn start(name: &str, disks: usize) -> Self {
        let folder = TestFolder::new(name);
        let founding = folder.write("fleet.json", &fleet_settings());
        let reserved = ReservedAddress::group(REPLICAS);
        let addresses: Vec<_> = reserved.iter().map(|reserved| reserved.address).collect();
        let voter = |number: usize| json!({ "instance": format!("control-{number}"), "address": addresses[number] });
        let voters: Vec<Value> = (0..REPLICAS).map(voter).collect();
        let mut files = Vec::new();
        for (number, address) in addresses.iter().enumerate() {
            let mut settings = instance_settings(&format!("control-{number}"), "viti-west");
            settings["peer_listen"] = json!(address);
            settings["ledger_voters"] = json!(voters);
            settings["founding_settings"] = json!(founding);
            if number < disks {
                let data = founding.with_file_name(format!("data-{number}"));
                settings["data_folder"] = json!(data);
            }
            files.push(folder.write(&format!("control-{number}.json"), &settings));
        }
        let control = files.iter().map(|file| start(CONTROL, file)).collect();
        let mut entries = Vec::new();
        for name in ["viti-west-1", "viti-west-2"] {
            let mut settings = instance_settings(name, "viti-west");
            settings["control"] = json!(addresses);
            settings["seeds"] = json!(addresses);
            entries.push(start(ENTRY, &folder.write(&format!("{name}.json"), &settings)));
        }
        let service = start_service(&entries).await;
        Self { control, files, entries, service, _reserved: reserved, _folder: folder }
    }

    async fn session(&self) -> String {
        for _ in 0..200 {
            if let Some(session) = ask_session(self.entries[0].address("caller")).await {
                return session;
            }
            sleep(Duration::from_millis(50)).await;
        }
        panic!("no session within 10 s");
    }

    async fn send(&self, entry: usize, session: &str, key: &str, resent: bool) -> BookOutcome {
        let address = self.entries[entry].address("caller");
        send_booking(address, &self.service, session, key, json!({}), resent).await
    }

    /// Sends a booking until it has a result; checks that it ran exactly once.
    async fn book(&self, entry: usize, session: &str, key: &str) {
        let outcome = self.send(entry, session, key, false).await;
        self.settle(entry, session, key, outcome).await;
    }

    async fn settle(&self, entry: usize, session: &str, key: &str, mut outcome: BookOutcome) {
        for _ in 0..300 {
            if let BookOutcome::Result(_) = outcome {
                assert_eq!(executions(&self.service, key), 1);
                return;
            }
            sleep(Duration::from_millis(50)).await;
            outcome = self.send(entry, session, key, true).await;
        }
        panic!("{key} was not booked within 15 s: {outcome:?}");
    }

    async fn check_stored(&self, session: &str, keys: &[String]) {
        for key in keys {
            for entry in [0, 1] {
                let outcome = self.send(entry, session, key, true).await;
                self.settle(entry, session, key, outcome).await;
            }
        }
        for (key, count) in self.service.executions() {
            assert!(count <= 1, "{key} ran {count} times");
        }
    }

    fn kill(&mut self, replica: usize) {
        self.control[replica].child.kill().expect("kill a replica");
        self.control[replica].child.wait().expect("the replica ends");
    }

    fn restart(&mut self, replica: usize) {
        self.control[replica] = start(CONTROL, &self.files[replica]);
    }

    /// Stops a replica with SIGTERM and waits until its process has exited.
    fn stop(&mut self, replica: usize) {
        self.control[replica].signal("-TERM");
        let (status, _) = self.control[replica].wait(STOP_TIMEOUT);
        assert!(status.success(), "replica {replica} ended with {status}");
    }

    /// Removes the data folder of a replica that is not running.
    fn lose_disk(&self, replica: usize) {
        let folder = self.files[replica].with_file_name(format!("data-{replica}"));
        std::fs::remove_dir_all(folder).expect("the replica has a data folder");
    }

    /// State of the ledger's group as reported by a replica.
    async fn group(&self, replica: usize) -> Value {
        let (operator, bound) = (self.control[replica].address("operator"), Duration::from_secs(5));
        let (path, client) = ("/v1/groups", client(1));
        let asked = call_json(&client, Method::GET, operator, path, None::<&Value>, bound);
        asked.await.map_or(Value::Null, |mut groups: Value| groups[GROUP].take())
    }

    /// Waits until the state of the group that a replica reports satisfies `wanted`.
    async fn wait_group(&self, replica: usize, wanted: impl Fn(&Value) -> bool) -> Value {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            let group = self.group(replica).await;
            if wanted(&group) {
                return group;
            }
            assert!(
                Instant::now() < deadline,
                "replica {replica} within {WAIT_TIMEOUT:?}: {group}"
            );
            sleep(Duration::from_millis(20)).await;
        }
    }

    /// Starts callers that book new keys through both entries until `BookingLoad::end`.
    fn start_load(&self, session: &str) -> BookingLoad {
        let load = BookingLoad::default();
        let mut callers = JoinSet::new();
        for caller in 0..CALLERS {
            let address = self.entries[caller % self.entries.len()].address("caller");
            let (service, session) = (Arc::clone(&self.service), session.to_owned());
            let (stop, booked) = (Arc::clone(&load.stop), Arc::clone(&load.booked));
            callers.spawn(async move {
                let mut outcome = Vec::new();
                while !stop.load(Ordering::Relaxed) {
                    let key = format!("load-{caller}-{}", outcome.len());
                    let answer =
                        send_booking(address, &service, &session, &key, json!({}), false).await;
                    outcome.push((key, answer));
                    booked.fetch_add(1, Ordering::Relaxed);
                }
                outcome
            });
        }
        BookingLoad { callers, ..load }
    }
}

/// Callers that book without pause.
#[derive(Debug, Default)]
struct BookingLoad {
    stop: Arc<AtomicBool>,
    booked: Arc<AtomicUsize>,
    callers: JoinSet<Vec<(String, BookOutcome)>>,
}

impl BookingLoad {
    /// Waits until the callers got `more` further answers.
    async fn wait_answers(&self, more: usize) {
        let wanted = self.booked.load(Ordering::Relaxed) + more;
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while self.booked.load(Ordering::Relaxed) < wanted {
            assert!(Instant::now() < deadline, "not {more} more answers within {WAIT_TIMEOUT:?}");
            sleep(Duration::from_millis(10)).await;
        }
    }

    /// Ends the callers; returns the keys and outcomes of their bookings.
    async fn end(self) -> Vec<(String, BookOutcome)> {
        self.stop.store(true, Ordering::Relaxed);
        self.callers.join_all().await.into_iter().flatten().collect()
    }
}

fn has_leader(group: &Value) -> bool {
    group["leader"].is_object()
}

/// Sorted identities of the voters; `None` unless their number is `REPLICAS`.
fn list_voters(group: &Value) -> Option<Vec<String>> {
    let voters = group["configuration"]["voters"].as_array()?;
    let mut names: Vec<_> = voters.iter().map(Value::to_string).collect();
    names.sort();
    (names.len() == REPLICAS).then_some(names)
}

#[tokio::test(flavor = "multi_thread")]
async fn any_replica_of_the_ledger_is_killed_or_frozen_while_entries_book() {
    let mut fleet = ReplicaFleet::start("replica-killed", REPLICAS).await;
    let session = fleet.session().await;
    let mut keys = vec!["first".to_owned()];
    fleet.book(0, &session, &keys[0]).await;
    for replica in 0..REPLICAS {
        send_signal(&fleet.control[replica], "STOP");
        keys.push(format!("frozen-{replica}"));
        fleet.book(replica % 2, &session, &keys[keys.len() - 1]).await;
        send_signal(&fleet.control[replica], "CONT");
        fleet.check_stored(&session, &keys).await;
        fleet.kill(replica);
        keys.push(format!("killed-{replica}"));
        fleet.book(replica % 2, &session, &keys[keys.len() - 1]).await;
        fleet.restart(replica);
        fleet.check_stored(&session, &keys).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn whole_region_restarts_with_its_disks() {
    let mut fleet = ReplicaFleet::start("replicas-restarted", REPLICAS).await;
    let session = fleet.session().await;
    fleet.book(0, &session, "before").await;
    for replica in 0..REPLICAS {
        fleet.kill(replica);
    }
    let outcome = fleet.send(0, &session, "down", false).await;
    assert_eq!(outcome.code(), "home_unreachable ran=no");
    for replica in 0..REPLICAS {
        fleet.restart(replica);
    }
    fleet.book(1, &session, "after").await;
    fleet.check_stored(&session, &["before".into(), "after".into()]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn all_replicas_without_disks_restart_together() {
    let mut fleet = ReplicaFleet::start("diskless", 0).await;
    let session = fleet.session().await;
    fleet.book(0, &session, "before").await;
    for replica in 0..REPLICAS {
        fleet.kill(replica);
    }
    for replica in 0..REPLICAS {
        fleet.restart(replica);
    }
    let renewed = fleet.session().await;
    fleet.book(1, &renewed, "after").await;
    for key in ["before", "new"] {
        let outcome = fleet.send(0, &session, key, true).await;
        assert_eq!(outcome.code(), "outcome_unknown ran=unknown", "{key}");
    }
    assert_eq!(executions(&fleet.service, "before"), 1);
    assert_eq!(executions(&fleet.service, "new"), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_of_each_replica_fails_no_booking() {
    let mut fleet = ReplicaFleet::start("replicas-stopped", REPLICAS).await;
    let session = fleet.session().await;
    fleet.book(0, &session, "first-0").await;
    fleet.book(1, &session, "first-1").await;
    let load = fleet.start_load(&session);
    for replica in 0..REPLICAS {
        load.wait_answers(20).await;
        tokio::task::block_in_place(|| fleet.stop(replica));
        load.wait_answers(20).await;
        fleet.restart(replica);
        fleet.wait_group(replica, has_leader).await;
    }
    load.wait_answers(20).await;
    let outcome = load.end().await;
    let failed: Vec<_> =
        outcome.iter().filter(|(_, outcome)| !matches!(outcome, BookOutcome::Result(_))).collect();
    println!("{} bookings, {} failed", outcome.len(), failed.len());
    assert!(failed.is_empty(), "{} of {} failed: {:?}", failed.len(), outcome.len(), failed);
    for (key, _) in &outcome {
        assert_eq!(executions(&fleet.service, key), 1, "{key}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn second_replica_lost_right_after_the_repair_of_the_first() {
    let mut fleet = ReplicaFleet::start("replica-repaired", REPLICAS).await;
    let session = fleet.session().await;
    let mut keys: Vec<_> = (0..20).map(|number| format!("before-{number}")).collect();
    for key in &keys {
        fleet.book(0, &session, key).await;
    }
    let before = fleet.wait_group(1, |group| list_voters(group).is_some()).await;
    fleet.kill(0);
    fleet.lose_disk(0);
    keys.push("lost".to_owned());
    fleet.book(1, &session, "lost").await;
    fleet.restart(0);
    let replaced = |group: &Value| {
        let voters = list_voters(group);
        voters.is_some() && voters != list_voters(&before)
    };
    fleet.wait_group(1, replaced).await;
    fleet.kill(1);
    keys.push("after-the-second".to_owned());
    fleet.book(1, &session, "after-the-second").await;
    fleet.check_stored(&session, &keys).await;
}
