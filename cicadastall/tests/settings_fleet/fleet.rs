//! Control instances and entries that run in the process of the test.

use crate::settings_common::{owned_by, trust};
use cicadastall::{
    control::ControlServer,
    entry::EntryServer,
    http::{CallError, HttpClient, call_json, client},
    node::NodeSettings,
    settings::{FleetSettings, Revision, TeamSettings},
    settings_command::{ChangeAnswer, OPERATION_HEADER, OPERATOR_HEADER},
    settings_state::ChangeReply,
    settings_store::{SettingsStatus, StartState},
};
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, StatusCode};
use serde_json::{Value, json};
use std::{
    net::SocketAddr,
    path::PathBuf,
    sync::atomic::{AtomicU32, Ordering},
    time::Duration,
};
use tokio::{
    runtime::Handle,
    time::{Instant, sleep},
};

pub const REGIONS: [&str; 3] = ["aqaba", "amman", "irbid"];
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

static FILE_COUNT: AtomicU32 = AtomicU32::new(0);

/// Writes the founding settings to a temporary file.
pub fn write_founding_settings(tree: &FleetSettings) -> PathBuf {
    let number = FILE_COUNT.fetch_add(1, Ordering::Relaxed);
    let name = format!("cicadastall-spread-{}-{number}.json", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, serde_json::to_vec(tree).expect("encode")).expect("write a file");
    path
}

/// Node settings of an instance on loopback.
pub fn node(
    instance: &str,
    region: &str,
    control: &[SocketAddr],
    seeds: &[SocketAddr],
) -> NodeSettings {
    let node = json!({
        "instance": instance,
        "region": region,
        "zone": format!("{region}-a"),
        "caller_listen": "127.0.0.1:0",
        "operator_listen": "127.0.0.1:0",
        "peer_listen": "127.0.0.1:0",
        "control": control,
        "seeds": seeds,
    });
    serde_json::from_value(node).expect("node settings")
}

pub async fn start_control(name: &str) -> ControlServer {
    let founding = write_founding_settings(&trust());
    let mut node = node(name, "aqaba", &[], &[]);
    node.founding_settings = Some(founding.clone());
    let control = ControlServer::start(node, &Handle::current()).await.expect("a control instance");
    let _ = std::fs::remove_file(founding);
    control
}

pub async fn start_entry(node: NodeSettings) -> EntryServer {
    EntryServer::start(node, &Handle::current()).await.expect("an entry")
}

/// Starts one entry in each region, and waits until each holds the founding settings.
pub async fn start_entries(control: SocketAddr) -> Vec<EntryServer> {
    let mut entries = Vec::new();
    for region in REGIONS {
        entries
            .push(start_entry(node(&format!("{region}-1"), region, &[control], &[control])).await);
    }
    for entry in &entries {
        wait_for(entry.addresses().operator, |status| status.start != StartState::Asking).await;
        wait_revision(entry.addresses().operator, 1).await;
    }
    entries
}

pub async fn get(client: &HttpClient, address: SocketAddr, path: &str) -> Result<Value, CallError> {
    let bound = Duration::from_secs(3);
    call_json(client, Method::GET, address, path, None::<&Value>, bound).await
}

pub async fn status(operator: SocketAddr) -> SettingsStatus {
    let status = get(&client(1), operator, "/v1/status").await.expect("a status");
    serde_json::from_value(status["settings"].clone()).expect("a status of the settings")
}

/// Waits until the status of the settings satisfies `reached`.
pub async fn wait_for(
    operator: SocketAddr,
    reached: impl Fn(&SettingsStatus) -> bool,
) -> SettingsStatus {
    let start = Instant::now();
    loop {
        let status = status(operator).await;
        if reached(&status) {
            return status;
        }
        assert!(start.elapsed() < WAIT_TIMEOUT, "not reached: {status:?}");
        sleep(Duration::from_millis(20)).await;
    }
}

pub async fn wait_revision(operator: SocketAddr, revision: u64) -> SettingsStatus {
    wait_for(operator, |status| status.revision >= Revision(revision)).await
}

pub async fn put(
    control: SocketAddr,
    operation: &str,
    operator: &str,
    expected: u64,
    team: &TeamSettings,
) -> (StatusCode, Option<ChangeAnswer>) {
    put_team(control, "trust", operation, operator, expected, team).await
}

pub async fn put_team(
    control: SocketAddr,
    name: &str,
    operation: &str,
    operator: &str,
    expected: u64,
    team: &TeamSettings,
) -> (StatusCode, Option<ChangeAnswer>) {
    let body = serde_json::to_vec(team).expect("encode");
    let request = Request::put(format!("http://{control}/v1/settings/teams/{name}"))
        .header("if-match", expected)
        .header(OPERATION_HEADER, operation)
        .header(OPERATOR_HEADER, operator)
        .body(Full::from(body))
        .expect("a request");
    let answer = client(1).request(request).await.expect("an answer");
    let status = answer.status();
    let bytes = answer.into_body().collect().await.expect("a body").to_bytes();
    (status, serde_json::from_slice(&bytes).ok())
}

/// Resends a change with the same operation id until its result is known.
pub async fn put_until_known(
    control: SocketAddr,
    name: &str,
    operation: &str,
    expected: u64,
    team: &TeamSettings,
) -> ChangeReply {
    let start = Instant::now();
    loop {
        let (status, answer) = put_team(control, name, operation, operation, expected, team).await;
        if let Some(answer) = answer {
            return answer.reply;
        }
        assert!(start.elapsed() < WAIT_TIMEOUT, "no result: {status}");
    }
}

/// Changes the owner of the team `trust` `count` times, starting at version `expected`.
pub async fn put_many(control: SocketAddr, expected: u64, count: u64) {
    for version in expected..expected + count {
        let team = owned_by(&format!("{version}"));
        let reply =
            put_until_known(control, "trust", &format!("op-{version}"), version, &team).await;
        assert_eq!(reply, ChangeReply::Accepted { revision: Revision(version + 1) });
    }
}

/// Waits for the founding settings, then changes the team's owner `count` times.
pub async fn put_many_when_founded(control: &ControlServer, count: u64) {
    wait_revision(control.addresses().operator, 1).await;
    put_many(control.addresses().operator, 1, count).await;
}
