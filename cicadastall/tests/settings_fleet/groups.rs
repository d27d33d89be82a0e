//! Tests of the settings group of three control instances: concurrent changes, resends, restarts and
//! lost disks.

use crate::{
    fleet::{
        get, node, put, put_many, put_until_known, start_entry, status, wait_revision,
        write_founding_settings,
    },
    reserved::ReservedAddress,
    settings_common::{owned_by, trust},
};
use cicadastall::{
    control::ControlServer,
    http::client,
    instance::ControlThread,
    node::{NodeSettings, VoterSettings},
    settings::{Revision, TeamSettings},
    settings_state::ChangeReply,
};
use futures::future::join_all;
use hyper::StatusCode;
use serde_json::Value;
use std::{
    net::SocketAddr,
    path::PathBuf,
    sync::atomic::{AtomicU8, Ordering},
    time::Duration,
};
use tokio::time::{Instant, sleep};

const REGIONS: [&str; 3] = ["aqaba", "amman", "irbid"];

static FLEET_COUNT: AtomicU8 = AtomicU8::new(0);

/// Three control instances, one per region, that can be stopped and restarted.
struct GroupFleet {
    nodes: Vec<NodeSettings>,
    running: Vec<Option<(ControlServer, ControlThread)>>,
    folder: PathBuf,
    _reserved: Vec<ReservedAddress>,
}

impl GroupFleet {
    async fn start() -> Self {
        let number = FLEET_COUNT.fetch_add(1, Ordering::Relaxed);
        let folder =
            std::env::temp_dir().join(format!("cicadastall-group-{}-{number}", std::process::id()));
        let founding = write_founding_settings(&trust());
        let reserved = ReservedAddress::group(REGIONS.len());
        let voters: Vec<_> = reserved
            .iter()
            .zip(REGIONS)
            .map(|(reserved, region)| VoterSettings {
                instance: format!("{region}-control").as_str().into(),
                address: reserved.address,
            })
            .collect();
        let nodes: Vec<_> = REGIONS
            .iter()
            .zip(&voters)
            .map(|(region, voter)| {
                let mut node = node(voter.instance.as_str(), region, &[], &[]);
                node.peer_listen = voter.address;
                node.settings_voters = voters.clone();
                node.data_folder = Some(folder.join(region));
                node.founding_settings = Some(founding.clone());
                node
            })
            .collect();
        let running = nodes.iter().map(|_| None).collect();
        let mut fleet = Self { running, nodes, folder, _reserved: reserved };
        for member in 0..REGIONS.len() {
            fleet.start_member(member).await;
        }
        let _ = std::fs::remove_file(founding);
        for member in 0..REGIONS.len() {
            wait_revision(fleet.operator(member), 1).await;
        }
        fleet
    }

    async fn start_member(&mut self, member: usize) {
        let thread = ControlThread::start("control").expect("a thread");
        let node = self.nodes[member].clone();
        let control =
            ControlServer::start(node, thread.handle()).await.expect("a control instance");
        self.nodes[member].founding_settings = None;
        self.running[member] = Some((control, thread));
    }

    async fn stop_member(&mut self, member: usize) {
        let Some((control, thread)) = self.running[member].take() else { return };
        control.stop().await;
        drop(thread);
        sleep(Duration::from_millis(50)).await;
    }

    fn operator(&self, member: usize) -> SocketAddr {
        let (control, _) = self.running[member].as_ref().expect("a running member");
        control.addresses().operator
    }

    fn peer(&self, member: usize) -> SocketAddr {
        self.nodes[member].peer_listen
    }

    fn delete_data(&self, member: usize) {
        let folder = self.nodes[member].data_folder.as_ref().expect("a folder");
        std::fs::remove_dir_all(folder).expect("delete the folder");
    }

    /// Changes the owner of the team `trust`, whose version is `version`.
    async fn put_owner(&self, member: usize, version: u64, owner: &str) -> ChangeReply {
        let operation = format!("op-{version}");
        put_until_known(self.operator(member), "trust", &operation, version, &owned_by(owner)).await
    }
}

impl Drop for GroupFleet {
    fn drop(&mut self) {
        self.running.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Changes the team with number `team`, which no other caller changes, `count` times.
async fn change_team(operator: SocketAddr, team: usize, count: usize) {
    let name = format!("team-{team}");
    let mut version = 0;
    for number in 0..count {
        let operation = format!("{name}-{number}");
        let settings = empty_team(&operation);
        let reply = put_until_known(operator, &name, &operation, version, &settings).await;
        let ChangeReply::Accepted { revision } = reply else { panic!("refused: {reply:?}") };
        version = revision.0;
    }
}

fn empty_team(owner: &str) -> TeamSettings {
    let mut team = owned_by(owner);
    team.workspaces.clear();
    team.kinds.clear();
    team.pools.clear();
    team
}

fn accepted(revision: u64) -> ChangeReply {
    ChangeReply::Accepted { revision: Revision(revision) }
}

async fn history(operator: SocketAddr, after: u64) -> Vec<Value> {
    let path = format!("/v1/settings/history?limit=1000&after={after}");
    let view = get(&client(1), operator, &path).await.expect("a history");
    view["revisions"].as_array().expect("revisions").clone()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn concurrent_changes_through_three_controls_have_one_winner() {
    let fleet = GroupFleet::start().await;
    for round in 1..=3 {
        let changes = (0..6).map(|number| {
            let operator = fleet.operator(number % 3);
            let name = format!("round-{round}-{number}");
            let owner = owned_by(&name);
            tokio::spawn(
                async move { put_until_known(operator, "trust", &name, round, &owner).await },
            )
        });
        let mut winners = 0;
        for change in changes.collect::<Vec<_>>() {
            match change.await.expect("a change") {
                ChangeReply::Accepted { revision } => {
                    assert_eq!(revision, Revision(round + 1));
                    winners += 1;
                }
                ChangeReply::Conflict { version, winner, .. } => {
                    assert_eq!(version, Revision(round + 1));
                    assert!(winner.expect("a winner").operator.starts_with("round-"));
                }
                other => panic!("unexpected reply {other:?}"),
            }
        }
        assert_eq!(winners, 1);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn changes_and_first_results_survive_a_restart_after_hundreds_of_changes() {
    let mut fleet = GroupFleet::start().await;
    let first = fleet.put_owner(0, 1, "layla").await;
    assert_eq!(first, accepted(2));
    let changes = (0..10).map(|team| change_team(fleet.operator(team % 3), team, 25));
    join_all(changes).await;
    for member in 0..3 {
        fleet.stop_member(member).await;
    }
    for member in 0..3 {
        fleet.start_member(member).await;
    }
    assert_eq!(fleet.put_owner(2, 1, "layla").await, first);
    for member in 0..3 {
        wait_revision(fleet.operator(member), 252).await;
    }
    let revisions = history(fleet.operator(0), 0).await;
    assert_eq!(revisions.len(), 251);
    assert_eq!(fleet.put_owner(1, 2, "omar").await, accepted(253));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn changes_survive_a_lost_disk_and_a_stopped_member_after_the_repair() {
    let mut fleet = GroupFleet::start().await;
    put_many(fleet.operator(0), 1, 40).await;
    fleet.stop_member(2).await;
    fleet.delete_data(2);
    put_many(fleet.operator(0), 41, 5).await;
    fleet.start_member(2).await;
    wait_revision(fleet.operator(2), 46).await;
    sleep(Duration::from_secs(2)).await;
    fleet.stop_member(1).await;
    assert_eq!(fleet.put_owner(2, 46, "after the losses").await, accepted(47));
    for member in [0, 2] {
        wait_revision(fleet.operator(member), 47).await;
        assert_eq!(history(fleet.operator(member), 0).await.len(), 46);
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn without_a_majority_no_change_is_accepted_and_entries_keep_their_settings() {
    let mut fleet = GroupFleet::start().await;
    let entry = start_entry(node("aqaba-1", "aqaba", &[fleet.peer(0)], &[])).await;
    let operator = entry.addresses().operator;
    put_many(fleet.operator(0), 1, 1).await;
    wait_revision(operator, 2).await;
    fleet.stop_member(1).await;
    fleet.stop_member(2).await;
    let (status_code, answer) =
        put(fleet.operator(0), "op-lost", "layla", 2, &owned_by("nobody")).await;
    assert_eq!(answer, None);
    let refused = [StatusCode::SERVICE_UNAVAILABLE, StatusCode::GATEWAY_TIMEOUT];
    assert!(refused.contains(&status_code), "{status_code}");
    let view = get(&client(1), fleet.operator(0), "/v1/settings").await.expect("settings");
    assert_eq!((&view["confirmed"], &view["revision"]), (&false.into(), &2.into()));
    assert_eq!(status(operator).await.revision, Revision(2));
    fleet.start_member(1).await;
    fleet.start_member(2).await;
    let reply = fleet.put_owner(0, 2, "back").await;
    let lost_was_accepted = matches!(&reply, ChangeReply::Conflict { winner: Some(winner), .. } if winner.operation.as_str() == "op-lost");
    assert!(lost_was_accepted || reply == accepted(3), "{reply:?}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn region_whose_control_is_stopped_is_unconfirmed() {
    let mut fleet = GroupFleet::start().await;
    let mut entries = Vec::new();
    for (member, region) in REGIONS.iter().enumerate() {
        let control = fleet.peer(member);
        entries.push(start_entry(node(&format!("{region}-1"), region, &[control], &[])).await);
    }
    for entry in &entries {
        wait_revision(entry.addresses().operator, 1).await;
    }
    sleep(Duration::from_millis(1_500)).await;
    let started = Instant::now();
    let (_, answer) = put(fleet.operator(1), "op-1", "layla", 1, &owned_by("all")).await;
    assert!(started.elapsed() < Duration::from_secs(2), "{:?}", started.elapsed());
    let reach = answer.expect("an answer").reach.expect("where it is in force");
    assert_eq!(reach.in_force.len(), 3, "{reach:?}");
    for entry in &entries {
        assert_eq!(status(entry.addresses().operator).await.revision, Revision(2));
    }
    fleet.stop_member(2).await;
    sleep(Duration::from_millis(500)).await;
    let start = Instant::now();
    let (_, answer) = loop {
        let answer = put(fleet.operator(1), "op-2", "layla", 2, &owned_by("two")).await;
        if answer.1.is_some() || start.elapsed() > Duration::from_secs(20) {
            break answer;
        }
    };
    let reach = answer.expect("an answer").reach.expect("where it is in force");
    let unconfirmed: Vec<_> =
        reach.unconfirmed.iter().map(|unconfirmed| unconfirmed.region.as_str()).collect();
    assert_eq!(unconfirmed, ["irbid"], "{reach:?}");
    assert!(reach.unconfirmed[0].silent_ms >= 400, "{reach:?}");
}
