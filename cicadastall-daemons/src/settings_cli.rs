//! Operator commands that check, read and change the settings of a fleet.

use crate::{
    exit::CommandOutcome,
    operator::{OperatorClient, OperatorError, OperatorRequest},
    print::{print_json, print_table},
};
use bpaf::Bpaf;
use bytes::Bytes;
use cicadastall::{
    check::check_settings,
    fault::SettingsFault,
    settings_command::{ChangeAnswer, OPERATION_HEADER, OPERATOR_HEADER},
    settings_query::{HistoryView, SettingsView, SubtreeView},
    settings_state::ChangeReply,
};
use eyre::{WrapErr, eyre};
use hyper::{Method, StatusCode};
use serde::de::DeserializeOwned;
use std::{net::SocketAddr, path::PathBuf};

/// Validates a settings file without contacting an instance.
#[derive(Debug, Clone, Bpaf)]
pub struct CheckOptions {
    /// Print JSON
    #[bpaf(long, switch)]
    json: bool,
    /// JSON file with the complete settings of a fleet
    #[bpaf(positional("FILE"))]
    file: PathBuf,
}

/// Reads and changes the settings of a running fleet.
#[derive(Debug, Clone, Bpaf)]
pub enum SettingsOptions {
    /// Show all settings or one subtree, with the version that a change has to expect
    ///
    ///
    /// Example: cicadastall settings get --control 127.0.0.1:7101 teams/trust
    #[bpaf(command)]
    Get {
        /// Control instances:
        #[bpaf(external)]
        connection_options: ConnectionOptions,
        /// Subtree: regions or teams/NAME; all settings if absent
        #[bpaf(positional("SUBTREE"), optional)]
        subtree: Option<String>,
    },
    /// Replace one subtree
    ///
    ///
    /// Example: cicadastall settings put --control 127.0.0.1:7101 --operator layla --expect 1 teams/trust trust.json
    #[bpaf(command)]
    Put {
        /// Control instances:
        #[bpaf(external)]
        connection_options: ConnectionOptions,
        /// Change:
        #[bpaf(external)]
        change_options: ChangeOptions,
        /// Subtree: regions or teams/NAME
        #[bpaf(positional("SUBTREE"))]
        subtree: String,
        /// JSON file with the subtree
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Remove a team's subtree
    ///
    ///
    /// Example: cicadastall settings remove --control 127.0.0.1:7101 --operator layla --expect 4 teams/works
    #[bpaf(command)]
    Remove {
        /// Control instances:
        #[bpaf(external)]
        connection_options: ConnectionOptions,
        /// Change:
        #[bpaf(external)]
        change_options: ChangeOptions,
        /// Subtree: teams/NAME
        #[bpaf(positional("SUBTREE"))]
        subtree: String,
    },
    /// List revisions, newest first
    ///
    ///
    /// Example: cicadastall settings history --control 127.0.0.1:7101 --limit 5 teams/trust
    #[bpaf(command)]
    History {
        /// Control instances:
        #[bpaf(external)]
        connection_options: ConnectionOptions,
        /// List only revisions after this one
        #[bpaf(long, argument("REVISION"), fallback(0))]
        after: u64,
        /// Maximum number of revisions
        #[bpaf(long, argument("COUNT"), fallback(20))]
        limit: usize,
        /// Subtree: regions or teams/NAME; all if absent
        #[bpaf(positional("SUBTREE"), optional)]
        subtree: Option<String>,
    },
}

/// Control instances to query, and the output format.
#[derive(Debug, Clone, Bpaf)]
pub struct ConnectionOptions {
    /// Operator address of a control instance; if repeated, addresses are tried in order
    #[bpaf(long, argument("ADDRESS"), some("at least one --control ADDRESS is needed"))]
    control: Vec<SocketAddr>,
    /// Print JSON
    #[bpaf(long, switch)]
    json: bool,
}

/// Operator, expected version and operation id of a change.
#[derive(Debug, Clone, Bpaf)]
pub struct ChangeOptions {
    /// Name of the operator, recorded in the history
    #[bpaf(long, argument("NAME"))]
    operator: String,
    /// Version of the subtree that the change is based on; 0 if it does not exist yet
    #[bpaf(long, argument("VERSION"))]
    expect: u64,
    /// Operation id, to be reused when the change is resent; generated and printed if absent
    #[bpaf(long, argument("ID"), optional)]
    operation: Option<String>,
}

/// Runs `check`; fails if the file cannot be read.
pub fn check(options: &CheckOptions) -> eyre::Result<CommandOutcome> {
    let text = std::fs::read(&options.file)
        .wrap_err_with(|| format!("cannot read {}", options.file.display()))?;
    let faults = check_settings(&text).err().unwrap_or_default();
    if options.json {
        print_json(&faults)?;
    } else if faults.is_empty() {
        println!("{}: no faults", options.file.display());
    } else {
        print_faults(&faults)?;
    }
    Ok(if faults.is_empty() { CommandOutcome::Done } else { CommandOutcome::Faults })
}

fn print_faults(faults: &[SettingsFault]) -> eyre::Result<()> {
    let rows: Vec<_> = faults
        .iter()
        .map(|fault| {
            let near = fault.near.clone().unwrap_or_default();
            [fault.path.clone(), fault.found.clone(), fault.allowed.clone(), near]
        })
        .collect();
    print_table(["PATH", "FOUND", "ALLOWED", "DID YOU MEAN"], &rows)?;
    println!("{} faults", faults.len());
    Ok(())
}

/// Runs a `settings` command.
///
/// Fails if a file cannot be read or an instance rejects the request as malformed.
pub async fn run(options: &SettingsOptions) -> eyre::Result<CommandOutcome> {
    match options {
        SettingsOptions::Get { connection_options, subtree } => {
            show_settings(connection_options, subtree.as_deref()).await
        }
        SettingsOptions::Put { connection_options, change_options, subtree, file } => {
            let body =
                std::fs::read(file).wrap_err_with(|| format!("cannot read {}", file.display()))?;
            let request = build_change_request(Method::PUT, change_options, subtree, body);
            send_change(connection_options, request).await
        }
        SettingsOptions::Remove { connection_options, change_options, subtree } => {
            let request = build_change_request(Method::DELETE, change_options, subtree, Vec::new());
            send_change(connection_options, request).await
        }
        SettingsOptions::History { connection_options, after, limit, subtree } => {
            show_history(connection_options, *after, *limit, subtree.as_deref()).await
        }
    }
}

async fn show_settings(
    connection: &ConnectionOptions,
    subtree: Option<&str>,
) -> eyre::Result<CommandOutcome> {
    let Some(subtree) = subtree else {
        let Some(view) = query_control::<SettingsView>(connection, "/v1/settings").await else {
            return Ok(CommandOutcome::Refused);
        };
        if connection.json {
            print_json(&view)?;
            return Ok(CommandOutcome::Done);
        }
        println!("revision {}{}", view.revision.0, confirmation_suffix(view.confirmed));
        let mut rows =
            vec![["regions".to_owned(), view.versions.regions.0.to_string(), "platform".into()]];
        rows.extend(view.tree.teams.iter().map(|(name, team)| {
            let version = view.versions.teams.get(name).copied().unwrap_or_default();
            [format!("teams/{name}"), version.0.to_string(), team.owner.clone()]
        }));
        print_table(["SUBTREE", "VERSION", "OWNER"], &rows)?;
        return Ok(CommandOutcome::Done);
    };
    let path = format!("/v1/settings/{subtree}");
    let Some(view) = query_control::<SubtreeView>(connection, &path).await else {
        return Ok(CommandOutcome::Refused);
    };
    if connection.json {
        print_json(&view)?;
    } else {
        let confirmed = confirmation_suffix(view.confirmed);
        eprintln!(
            "version {} of {subtree}, revision {}{confirmed}",
            view.version.0, view.revision.0
        );
        print_json(&view.content)?;
    }
    Ok(CommandOutcome::Done)
}

fn confirmation_suffix(confirmed: bool) -> &'static str {
    if confirmed { "" } else { " (not confirmed by a majority, may be old)" }
}

async fn show_history(
    connection: &ConnectionOptions,
    after: u64,
    limit: usize,
    subtree: Option<&str>,
) -> eyre::Result<CommandOutcome> {
    let filter = subtree.map(|name| format!("&subtree={name}")).unwrap_or_default();
    let path = format!("/v1/settings/history?after={after}&limit={limit}{filter}");
    let Some(view) = query_control::<HistoryView>(connection, &path).await else {
        return Ok(CommandOutcome::Refused);
    };
    if connection.json {
        print_json(&view)?;
        return Ok(CommandOutcome::Done);
    }
    let rows: Vec<_> = view
        .revisions
        .iter()
        .map(|record| {
            let author = &record.author;
            [
                author.revision.0.to_string(),
                record.content.name().to_string(),
                record.previous.0.to_string(),
                author.operator.clone(),
                author.operation.to_string(),
                author.at_ms.to_string(),
            ]
        })
        .collect();
    print_table(
        ["REVISION", "SUBTREE", "BEFORE", "OPERATOR", "OPERATION", "TIME (UNIX MS)"],
        &rows,
    )?;
    Ok(CommandOutcome::Done)
}

/// Queries the control instances in order until one answers; prints the failures of the others.
async fn query_control<T: DeserializeOwned>(
    connection: &ConnectionOptions,
    path: &str,
) -> Option<T> {
    let client = OperatorClient::default();
    for address in &connection.control {
        match client.get(*address, path).await {
            Ok(view) => return Some(view),
            Err(error) => eprintln!("{address}: {error}"),
        }
    }
    None
}

fn build_change_request(
    method: Method,
    change: &ChangeOptions,
    subtree: &str,
    body: Vec<u8>,
) -> OperatorRequest {
    let operation = change.operation.clone().unwrap_or_else(|| {
        let operation = format!("{}-{:016x}", change.operator, rand::random::<u64>());
        eprintln!("operation {operation}");
        operation
    });
    OperatorRequest {
        method,
        path: format!("/v1/settings/{subtree}"),
        headers: vec![
            ("if-match", change.expect.to_string()),
            (OPERATION_HEADER, operation),
            (OPERATOR_HEADER, change.operator.clone()),
        ],
        body: Bytes::from(body),
    }
}

/// Sends a change to the control instances in order until one gives a result.
///
/// Several instances may receive it; the operation id keeps it from being applied twice.
async fn send_change(
    connection: &ConnectionOptions,
    request: OperatorRequest,
) -> eyre::Result<CommandOutcome> {
    let client = OperatorClient::default();
    let mut outcome = CommandOutcome::Refused;
    for address in &connection.control {
        match client.send(*address, &request).await {
            Ok((_, body)) if serde_json::from_str::<ChangeAnswer>(&body).is_ok() => {
                let answer: ChangeAnswer = serde_json::from_str(&body)?;
                if connection.json {
                    print_json(&answer)?;
                }
                return report_change(&answer, connection.json);
            }
            Ok((StatusCode::BAD_REQUEST | StatusCode::NOT_FOUND, body)) => {
                return Err(eyre!("{address}: {}", body.trim()));
            }
            Ok((status, body)) => {
                eprintln!("{address}: {}", body.trim());
                if status == StatusCode::GATEWAY_TIMEOUT {
                    outcome = CommandOutcome::Unknown;
                }
            }
            Err(error) => {
                eprintln!("{address}: {error}");
                if !matches!(error, OperatorError::Unreachable(_)) {
                    outcome = CommandOutcome::Unknown;
                }
            }
        }
    }
    Ok(outcome)
}

fn report_change(answer: &ChangeAnswer, json: bool) -> eyre::Result<CommandOutcome> {
    let outcome = match &answer.reply {
        ChangeReply::Accepted { .. } => match &answer.reach {
            Some(reach) if !reach.unconfirmed.is_empty() => CommandOutcome::Unconfirmed,
            _ => CommandOutcome::Done,
        },
        ChangeReply::Conflict { .. } => CommandOutcome::Conflict,
        ChangeReply::OperationReused { .. } => CommandOutcome::OperationReused,
        ChangeReply::Invalid { .. } => CommandOutcome::Faults,
    };
    if !json {
        print_change(answer)?;
    }
    Ok(outcome)
}

fn print_change(answer: &ChangeAnswer) -> eyre::Result<()> {
    match &answer.reply {
        ChangeReply::Accepted { revision } => {
            println!("accepted as revision {}", revision.0);
            print_reach(answer)?;
        }
        ChangeReply::Conflict { version, winner, difference } => {
            println!("refused: the subtree has version {} now", version.0);
            if let Some(winner) = winner {
                println!("changed by {} (operation {})", winner.operator, winner.operation);
            }
            let rows: Vec<_> = difference
                .iter()
                .map(|place| {
                    [place.path.clone(), place.in_force.to_string(), place.wanted.to_string()]
                })
                .collect();
            print_table(["PATH", "IN FORCE", "YOURS"], &rows)?;
        }
        ChangeReply::OperationReused { operator, at_ms } => {
            println!(
                "refused: {operator} used the operation id for another change at {at_ms} (Unix ms)"
            );
        }
        ChangeReply::Invalid { faults } => print_faults(faults)?,
    }
    Ok(())
}

fn print_reach(answer: &ChangeAnswer) -> eyre::Result<()> {
    let Some(reach) = &answer.reach else { return Ok(()) };
    let confirmed =
        reach.in_force.iter().map(|region| [region.to_string(), "in force".into(), String::new()]);
    let unconfirmed = reach.unconfirmed.iter().map(|unconfirmed| {
        let instances: Vec<_> = unconfirmed.instances.iter().map(ToString::to_string).collect();
        [
            unconfirmed.region.to_string(),
            format!("not confirmed, silent for {} ms", unconfirmed.silent_ms),
            instances.join(" "),
        ]
    });
    let rows: Vec<_> = confirmed.chain(unconfirmed).collect();
    Ok(print_table(["REGION", "STATE", "INSTANCES"], &rows)?)
}
