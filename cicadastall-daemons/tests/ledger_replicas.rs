//! Bookings over a ledger of three replicas, of which any one is killed, frozen or restarted.

mod bookings;
mod common;

use bookings::{
    Told, ask_session, executions, fleet_settings, send_booking, send_signal, start_service,
};
use cicadastall_standins::service::ServiceStandin;
use common::{CONTROL, ENTRY, Process, TestFolder, node, reserved::ReservedAddress};
use serde_json::{Value, json};
use std::{path::PathBuf, sync::Arc, time::Duration};
use tokio::time::sleep;

const REPLICAS: usize = 3;

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
    /// Starts the fleet; `disks` of its replicas have one.
    async fn start(name: &str, disks: usize) -> Self {
        let folder = TestFolder::new(name);
        let founding = folder.write("fleet.json", &fleet_settings());
        let reserved = ReservedAddress::group(REPLICAS);
        let addresses: Vec<_> = reserved.iter().map(|reserved| reserved.address).collect();
        let voter = |number: usize| json!({ "instance": format!("control-{number}"), "address": addresses[number] });
        let voters: Vec<Value> = (0..REPLICAS).map(voter).collect();
        let mut files = Vec::new();
        for (number, address) in addresses.iter().enumerate() {
            let mut settings = node(&format!("control-{number}"), "viti-west");
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
            let mut settings = node(name, "viti-west");
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

    async fn send(&self, entry: usize, session: &str, key: &str, resent: bool) -> Told {
        let address = self.entries[entry].address("caller");
        send_booking(address, &self.service, session, key, json!({}), resent).await
    }

    /// Sends a booking until its outcome is settled; checks that its result is the only one.
    async fn book(&self, entry: usize, session: &str, key: &str) {
        let told = self.send(entry, session, key, false).await;
        self.settle(entry, session, key, told).await;
    }

    async fn settle(&self, entry: usize, session: &str, key: &str, mut told: Told) {
        for _ in 0..300 {
            if let Told::Result(_) = told {
                assert_eq!(executions(&self.service, key), 1);
                return;
            }
            sleep(Duration::from_millis(50)).await;
            told = self.send(entry, session, key, true).await;
        }
        panic!("{key} was not booked within 15 s: {told:?}");
    }

    async fn check_stored(&self, session: &str, keys: &[String]) {
        for key in keys {
            for entry in [0, 1] {
                let told = self.send(entry, session, key, true).await;
                self.settle(entry, session, key, told).await;
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
    let told = fleet.send(0, &session, "down", false).await;
    assert_eq!(told.code(), "home_unreachable ran=no");
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
        let told = fleet.send(0, &session, key, true).await;
        assert_eq!(told.code(), "outcome_unknown ran=unknown", "{key}");
    }
    assert_eq!(executions(&fleet.service, "before"), 1);
    assert_eq!(executions(&fleet.service, "new"), 0);
}
