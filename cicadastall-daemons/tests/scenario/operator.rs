//! Scenario operators, which change settings through the command line.

use crate::common::TestFolder;
use cicadastall::{settings_command::ChangeAnswer, settings_state::ChangeReply};
use serde_json::{Value, json};
use std::{net::SocketAddr, process::Command};

const OPERATOR: &str = env!("CARGO_BIN_EXE_cicadastall");

/// Team in the initial settings of the scenarios.
pub const FIRST_TEAM: &str = "trust";

/// A change of the owner of a team.
#[derive(Debug, Clone)]
pub struct OwnerChange {
    pub team: String,
    pub owner: String,
    pub expected: u64,
    pub operation: String,
}

/// Sends `change` to the operator port at `control`; `None` if the command prints no answer.
pub async fn put(
    folder: &TestFolder,
    control: SocketAddr,
    tree: &str,
    change: &OwnerChange,
) -> Option<ChangeAnswer> {
    let tree: Value = serde_json::from_str(tree).expect("the scenario's settings are JSON");
    let mut team = match &tree["teams"][&change.team] {
        Value::Null => json!({ "pools": {}, "kinds": {}, "workspaces": {} }),
        team => team.clone(),
    };
    team["owner"] = json!(change.owner);
    let file = folder.write(&format!("{}.json", change.operation), &team);
    let mut command = Command::new(OPERATOR);
    command.args(["settings", "put", "--json", "--control", &control.to_string()]);
    command.args(["--operator", &change.owner, "--operation", &change.operation]);
    command
        .args(["--expect", &change.expected.to_string(), &format!("teams/{}", change.team)])
        .arg(file);
    let run = tokio::task::spawn_blocking(move || command.output());
    let output = run.await.expect("no panic").expect("run the command line");
    serde_json::from_slice(&output.stdout).ok()
}

/// Result of a change, without the regions in which it is in force.
pub fn describe_answer(answer: Option<&ChangeAnswer>) -> String {
    match answer.map(|answer| &answer.reply) {
        None => "no result".to_owned(),
        Some(ChangeReply::Accepted { revision }) => format!("accepted as revision {}", revision.0),
        Some(ChangeReply::Conflict { version, .. }) => {
            format!("refused, the version is {}", version.0)
        }
        Some(ChangeReply::OperationReused { .. }) => "refused, operation id reused".to_owned(),
        Some(ChangeReply::Invalid { faults }) => format!("refused, {} faults", faults.len()),
    }
}
