//! Operator commands that query or direct single instances.

use crate::{
    exit::CommandOutcome,
    explain_table::{print_decision, print_upstream},
    operator::{OperatorClient, OperatorRequest},
    print::{cell_text, print_json, print_table},
};
use bpaf::Bpaf;
use cicadastall::{
    entry::{EXPLAIN_PATH, UPSTREAMS_PATH},
    group_operator::GROUPS_PATH,
};
use futures::future::join_all;
use hyper::Method;
use serde_json::{Value, json};
use std::net::SocketAddr;

/// Queries the status of instances.
#[derive(Debug, Clone, Bpaf)]
pub struct StatusOptions {
    /// Print JSON
    #[bpaf(long, switch)]
    json: bool,
    /// Operator addresses of instances
    #[bpaf(positional("ADDRESS"), some("at least one ADDRESS is needed"))]
    instances: Vec<SocketAddr>,
}

/// Queries instances for the replicated groups of which they host replicas.
#[derive(Debug, Clone, Bpaf)]
pub struct GroupsOptions {
    /// Print JSON
    #[bpaf(long, switch)]
    json: bool,
    /// Operator addresses of control instances, and of entries that host replicas
    #[bpaf(positional("ADDRESS"), some("at least one ADDRESS is needed"))]
    instances: Vec<SocketAddr>,
}

/// Queries an entry for its routing decisions on a request or its record of an upstream.
#[derive(Debug, Clone, Bpaf)]
pub struct ExplainOptions {
    /// Print JSON
    #[bpaf(long, switch)]
    json: bool,
    /// Operator address of the entry
    #[bpaf(long, argument("ADDRESS"))]
    entry: SocketAddr,
    #[bpaf(external)]
    explain_subject: ExplainSubject,
}

/// Subject of an explanation.
#[derive(Debug, Clone, Bpaf)]
pub enum ExplainSubject {
    /// An upstream.
    Upstream {
        /// Name of the upstream whose record and use are shown
        #[bpaf(long, argument("UPSTREAM"))]
        upstream: String,
    },
    /// A request.
    Request {
        /// Request id, as returned in the answer
        #[bpaf(positional("REQUEST"))]
        request: String,
    },
}

/// Tells an entry to accept no new callers.
#[derive(Debug, Clone, Bpaf)]
pub struct DrainOptions {
    /// Operator address of the entry
    #[bpaf(positional("ADDRESS"))]
    entry: SocketAddr,
}

/// Recreates a group that has permanently lost its majority.
#[derive(Debug, Clone, Bpaf)]
pub struct RefoundOptions {
    /// Accept the loss of changes that only lost replicas held
    #[bpaf(long, switch)]
    accept_loss: bool,
    /// Operator address of the control instance whose replica is kept
    #[bpaf(long, argument("ADDRESS"))]
    control: SocketAddr,
    /// Name of the group, as listed by `GET /v1/groups`
    #[bpaf(positional("GROUP"))]
    group: String,
}

/// JSON answers of instances, each with the address of its instance.
struct InstanceAnswers {
    answers: Vec<Value>,
    /// Whether an instance did not answer or returned an error.
    any_unanswered: bool,
}

impl InstanceAnswers {
    /// Queries `path` on each of `instances`; stores each answer in the field `name`.
    async fn query(instances: &[SocketAddr], path: &str, name: &str) -> Self {
        let client = OperatorClient::default();
        let asked = instances.iter().map(|address| client.get::<Value>(*address, path));
        let answers = join_all(asked).await;
        let any_unanswered = answers.iter().any(Result::is_err);
        let answers = instances.iter().zip(answers).map(|(address, answer)| match answer {
            Ok(answer) => json!({ "address": address, name: answer }),
            Err(error) => json!({ "address": address, "error": error.to_string() }),
        });
        Self { answers: answers.collect(), any_unanswered }
    }

    fn outcome(&self) -> CommandOutcome {
        if self.any_unanswered { CommandOutcome::Refused } else { CommandOutcome::Done }
    }
}

/// Runs `status`; fails if standard output cannot be written.
pub async fn status(options: &StatusOptions) -> eyre::Result<CommandOutcome> {
    let asked = InstanceAnswers::query(&options.instances, "/v1/status", "status").await;
    let answers = &asked.answers;
    if options.json {
        print_json(&answers)?;
    } else {
        let rows: Vec<_> = answers.iter().map(status_row).collect();
        let titles = [
            "INSTANCE",
            "REGION",
            "ZONE",
            "REVISION",
            "START",
            "CONFIRMED",
            "CUT OFF SINCE",
            "IN FLIGHT",
        ];
        print_table(titles, &rows)?;
    }
    Ok(asked.outcome())
}

/// Runs `groups`; fails if standard output cannot be written.
pub async fn groups(options: &GroupsOptions) -> eyre::Result<CommandOutcome> {
    let asked = InstanceAnswers::query(&options.instances, GROUPS_PATH, "groups").await;
    if options.json {
        print_json(&asked.answers)?;
        return Ok(asked.outcome());
    }
    let rows: Vec<_> = asked.answers.iter().flat_map(group_rows).collect();
    let titles = ["ADDRESS", "GROUP", "LEADER", "VOTERS", "LEARNERS", "TERM", "COMMIT", "FAULT"];
    print_table(titles, &rows)?;
    Ok(asked.outcome())
}

/// One row per group of the instance.
fn group_rows(answer: &Value) -> Vec<[String; 8]> {
    if answer.get("error").is_some() {
        return vec![error_row(answer)];
    }
    let groups = answer["groups"].as_object().into_iter().flatten();
    let row = |(name, group): (&String, &Value)| {
        [
            cell_text(answer, "/address"),
            name.clone(),
            cell_text(group, "/leader/instance"),
            member_names(group, "/configuration/voters"),
            member_names(group, "/configuration/learners"),
            cell_text(group, "/term"),
            cell_text(group, "/commit"),
            cell_text(group, "/failure"),
        ]
    };
    groups.map(row).collect()
}

/// Comma-separated instances of the members at `pointer`; a dash if there are none.
fn member_names(group: &Value, pointer: &str) -> String {
    let members = group.pointer(pointer).and_then(Value::as_array).into_iter().flatten();
    let names: Vec<_> = members.map(|member| cell_text(member, "/instance")).collect();
    if names.is_empty() { "-".to_owned() } else { names.join(",") }
}

/// Row of an instance that did not answer.
fn error_row(answer: &Value) -> [String; 8] {
    let mut row = std::array::from_fn(|_| "-".to_owned());
    row[0] = format!("{}: {}", cell_text(answer, "/address"), cell_text(answer, "/error"));
    row
}

fn status_row(answer: &Value) -> [String; 8] {
    let cell_text = |pointer: &str| cell_text(answer, pointer);
    if answer.get("error").is_some() {
        return error_row(answer);
    }
    let confirmed = match answer.pointer("/status/settings/confirmed_age_ms") {
        Some(Value::Number(age)) => format!("{age} ms ago"),
        _ => "never".to_owned(),
    };
    [
        cell_text("/status/instance"),
        cell_text("/status/region"),
        cell_text("/status/zone"),
        cell_text("/status/revision"),
        cell_text("/status/settings/start"),
        confirmed,
        cell_text("/status/settings/cut_off_since_ms"),
        cell_text("/status/in_flight"),
    ]
}

/// Runs `explain`; fails if standard output cannot be written.
pub async fn explain(options: &ExplainOptions) -> eyre::Result<CommandOutcome> {
    let path = match &options.explain_subject {
        ExplainSubject::Request { request } => format!("{EXPLAIN_PATH}{request}"),
        ExplainSubject::Upstream { upstream } => format!("{UPSTREAMS_PATH}{upstream}"),
    };
    let answer = match OperatorClient::default().get::<Value>(options.entry, &path).await {
        Ok(answer) => answer,
        Err(error) => {
            eprintln!("{}: {error}", options.entry);
            return Ok(CommandOutcome::Refused);
        }
    };
    match &answer {
        answer if options.json => print_json(answer)?,
        Value::Array(decisions) => decisions.iter().try_for_each(print_decision)?,
        upstream => print_upstream(upstream)?,
    }
    Ok(CommandOutcome::Done)
}

/// Runs `drain`; fails if standard output cannot be written.
pub async fn drain(options: &DrainOptions) -> eyre::Result<CommandOutcome> {
    let request = OperatorRequest { method: Method::POST, ..OperatorRequest::get("/v1/drain") };
    print_answer(options.entry, request).await
}

/// Runs `refound`; fails if standard output cannot be written.
pub async fn refound(options: &RefoundOptions) -> eyre::Result<CommandOutcome> {
    let RefoundOptions { accept_loss, control, group } = options;
    let path = format!("{GROUPS_PATH}/{group}/refound?accept_loss={accept_loss}");
    let request = OperatorRequest { method: Method::POST, ..OperatorRequest::get(path) };
    print_answer(*control, request).await
}

async fn print_answer(
    address: SocketAddr,
    request: OperatorRequest,
) -> eyre::Result<CommandOutcome> {
    let client = OperatorClient::default();
    let (status, body) = match client.send(address, &request).await {
        Ok(answer) => answer,
        Err(error) => {
            eprintln!("{address}: {error}");
            return Ok(CommandOutcome::Refused);
        }
    };
    if !status.is_success() {
        eprintln!("{address}: {status}: {}", body.trim());
        return Ok(CommandOutcome::Refused);
    }
    match serde_json::from_str::<Value>(&body) {
        Ok(answer) => print_json(&answer)?,
        Err(_) => println!("{}", body.trim()),
    }
    Ok(CommandOutcome::Done)
}
