//! Accepted settings survive killed and frozen control processes.

mod common;

use common::{CONTROL, ENTRY, Process, TestFolder, instance_settings, reserved::ReservedAddress};
use serde_json::{Value, json};
use std::{
    path::PathBuf,
    process::Command,
    thread::sleep,
    time::{Duration, Instant},
};

const OPERATOR: &str = env!("CARGO_BIN_EXE_cicadastall");
const REGIONS: [&str; 3] = ["aqaba", "amman", "irbid"];
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

fn trust() -> Value {
    serde_json::from_str(include_str!("../../examples/trust.json")).expect("valid JSON")
}

/// Three control processes with data folders, one per region.
struct ControlFleet {
    folder: TestFolder,
    files: Vec<PathBuf>,
    members: Vec<Option<Process>>,
    _reserved: Vec<ReservedAddress>,
}

impl ControlFleet {
    fn start(name: &str) -> Self {
        let folder = TestFolder::new(name);
        let founding = folder.write("trust.json", &trust());
        let reserved = ReservedAddress::group(REGIONS.len());
        let addresses: Vec<_> = reserved.iter().map(|reserved| reserved.address).collect();
        let voters: Vec<_> = REGIONS
            .iter()
            .zip(&addresses)
            .map(|(region, address)| json!({ "instance": format!("{region}-control"), "address": address }))
            .collect();
        let files: Vec<_> = REGIONS
            .iter()
            .zip(&addresses)
            .map(|(region, address)| {
                let mut settings = instance_settings(&format!("{region}-control"), region);
                settings["peer_listen"] = json!(address);
                settings["settings_voters"] = json!(voters);
                settings["data_folder"] = json!(folder.path().join(region));
                settings["founding_settings"] = json!(founding);
                folder.write(&format!("{region}.json"), &settings)
            })
            .collect();
        let members = files.iter().map(|file| Some(start(CONTROL, file))).collect();
        Self { folder, files, members, _reserved: reserved }
    }

    fn process(&self, member: usize) -> &Process {
        self.members[member].as_ref().expect("a running member")
    }

    fn operator(&self, member: usize) -> String {
        self.process(member).address("operator").to_string()
    }

    fn kill(&mut self, member: usize) {
        self.members[member] = None;
    }

    fn restart(&mut self, member: usize) {
        self.members[member] = Some(start(CONTROL, &self.files[member]));
    }

    /// Changes the owner of the team `trust` through the first of `members` that answers; resends the
    /// change until it has a result.
    fn put(&self, members: &[usize], expected: u64, owner: &str) -> Value {
        let mut team = trust()["teams"]["trust"].clone();
        team["owner"] = json!(owner);
        let file = self.folder.write("team.json", &team);
        let mut arguments = vec!["settings".to_owned(), "put".into(), "--json".into()];
        for member in members {
            arguments.extend(["--control".into(), self.operator(*member)]);
        }
        arguments.extend(["--operator", owner, "--operation", owner, "--expect"].map(Into::into));
        arguments.extend([expected.to_string(), "teams/trust".into(), file.display().to_string()]);
        let start = Instant::now();
        loop {
            let output = Command::new(OPERATOR).args(&arguments).output().expect("run");
            if let Ok(answer) = serde_json::from_slice(&output.stdout) {
                return answer;
            }
            let error = String::from_utf8_lossy(&output.stderr);
            assert!(start.elapsed() < WAIT_TIMEOUT, "no result: {error}");
            sleep(Duration::from_millis(100));
        }
    }
}

fn start(program: &str, file: &std::path::Path) -> Process {
    Process::start(program, &["--settings".into(), file.display().to_string()])
}

fn assert_accepted(answer: &Value, revision: u64) {
    assert_eq!((&answer["result"], &answer["revision"]), (&json!("accepted"), &json!(revision)));
}

/// Waits until the instance at `operator` has `revision` in force.
fn wait_revision(operator: &str, revision: u64) {
    let start = Instant::now();
    loop {
        let output =
            Command::new(OPERATOR).args(["status", "--json", operator]).output().expect("run");
        let answers: Value = serde_json::from_slice(&output.stdout).expect("JSON");
        if answers[0]["status"]["revision"] == json!(revision) {
            return;
        }
        assert!(start.elapsed() < WAIT_TIMEOUT, "revision {revision} not reached: {answers}");
        sleep(Duration::from_millis(50));
    }
}

#[test]
fn killed_and_frozen_controls_lose_and_revert_nothing() {
    let mut fleet = ControlFleet::start("settings-processes");
    let mut settings = instance_settings("aqaba-1", "aqaba");
    let controls: Vec<_> =
        [0, 1].iter().map(|member| fleet.process(*member).address("peer")).collect();
    settings["control"] = json!(controls);
    let file = fleet.folder.write("entry.json", &settings);
    let entry = start(ENTRY, &file);
    let entry_operator = entry.address("operator").to_string();
    wait_revision(&entry_operator, 1);

    assert_accepted(&fleet.put(&[0], 1, "first"), 2);
    fleet.kill(0);
    assert_accepted(&fleet.put(&[1, 2], 2, "second"), 3);
    wait_revision(&entry_operator, 3);
    fleet.restart(0);
    assert_accepted(&fleet.put(&[0], 1, "first"), 2);
    wait_revision(&fleet.operator(0), 3);

    fleet.process(1).signal("-STOP");
    let answer = fleet.put(&[2, 0], 3, "third");
    assert_accepted(&answer, 4);
    let silent: Vec<_> = answer["unconfirmed"]
        .as_array()
        .map(|regions| regions.iter().filter_map(|region| region["region"].as_str()).collect())
        .unwrap_or_default();
    assert!(silent.contains(&"amman"), "the frozen control's region is not named: {answer}");
    wait_revision(&entry_operator, 4);
    fleet.process(1).signal("-CONT");
    wait_revision(&fleet.operator(1), 4);
    wait_revision(&entry_operator, 4);
    let late = fleet.put(&[1], 3, "late");
    assert_eq!(
        (&late["result"], &late["winner"]["operator"]),
        (&json!("conflict"), &json!("third"))
    );

    for member in 0..3 {
        fleet.kill(member);
    }
    for member in 0..3 {
        fleet.restart(member);
    }
    assert_accepted(&fleet.put(&[2], 3, "third"), 4);
    assert_accepted(&fleet.put(&[1], 4, "fourth"), 5);
    wait_revision(&entry_operator, 5);
}
