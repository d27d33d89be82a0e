//! HTTP handler for operators' changes to the settings.

use crate::{
    check::{check_regions, check_team},
    clock::unix_ms,
    fault::SettingsFault,
    http::{AnswerBody, json_answer, read_body},
    name::{OperationId, TeamName},
    replicated::{GroupError, ReplicatedGroup},
    settings::Revision,
    settings_host::{RevisionReach, SettingsHost},
    settings_state::{ChangeReply, SettingsChange, SettingsCommand, SettingsState},
    subtree::{SubtreeContent, SubtreeName},
};
use hyper::{HeaderMap, Method, Request, Response, StatusCode, body::Incoming, header::IF_MATCH};
use serde::{Deserialize, Serialize};
use std::{fmt, time::Duration};

/// Header with the operation identifier, which makes retries of a change idempotent.
pub const OPERATION_HEADER: &str = "x-cicadastall-operation";

/// Header with the name of the operator.
pub const OPERATOR_HEADER: &str = "x-cicadastall-operator";

/// Maximum size of a subtree, in bytes.
const MAX_SUBTREE_BYTES: usize = 512 * 1024;

/// Time limit for receiving a subtree.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum length of an operation identifier or an operator's name, in bytes.
const MAX_HEADER_BYTES: usize = 200;

/// Response to an operator's change.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ChangeAnswer {
    /// Result of the change.
    #[serde(flatten)]
    pub reply: ChangeReply,
    /// Regions where the change is in force; only if it was accepted.
    #[serde(flatten)]
    pub reach: Option<RevisionReach>,
}

/// Reason why a change has no result from the settings group.
#[derive(Debug, Clone, PartialEq)]
pub enum CommandError {
    /// A header is missing or invalid.
    BadHeader {
        /// Name of the header.
        header: &'static str,
        /// Description of the allowed values.
        allowed: &'static str,
    },
    /// The body could not be read.
    BadBody,
    /// The subtree is invalid.
    Faults(Vec<SettingsFault>),
    /// The regions' subtree can't be removed.
    NotRemovable,
    /// The settings group gave no reply.
    Group(GroupError),
}

impl From<GroupError> for CommandError {
    fn from(error: GroupError) -> Self {
        Self::Group(error)
    }
}

impl From<Vec<SettingsFault>> for CommandError {
    fn from(faults: Vec<SettingsFault>) -> Self {
        Self::Faults(faults)
    }
}

impl fmt::Display for CommandError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::BadHeader { header, allowed } => {
                write!(formatter, "header {header} must hold {allowed}")
            }
            Self::BadBody => write!(
                formatter,
                "body must be at most {MAX_SUBTREE_BYTES} bytes, sent within {BODY_TIMEOUT:?}"
            ),
            Self::Faults(faults) => write!(formatter, "{} faults", faults.len()),
            Self::NotRemovable => formatter.write_str("the regions can't be removed"),
            Self::Group(GroupError::OutcomeUnknown) => formatter.write_str(
                "the change may or may not be accepted; send it again with the same operation id",
            ),
            Self::Group(error) => write!(formatter, "the change was not accepted: {error}"),
        }
    }
}

impl std::error::Error for CommandError {}

impl CommandError {
    fn status(&self) -> StatusCode {
        match self {
            Self::BadHeader { .. } | Self::BadBody | Self::NotRemovable => StatusCode::BAD_REQUEST,
            Self::Faults(_) => StatusCode::UNPROCESSABLE_ENTITY,
            Self::Group(GroupError::OutcomeUnknown) => StatusCode::GATEWAY_TIMEOUT,
            Self::Group(_) => StatusCode::SERVICE_UNAVAILABLE,
        }
    }
}

/// Response body of a failed command or query.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailureAnswer {
    /// Human-readable explanation.
    pub error: String,
}

/// Handles a request to change or remove `subtree`.
pub(crate) async fn answer_change<G: ReplicatedGroup<SettingsState>>(
    host: &SettingsHost<G>,
    subtree: SubtreeName,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    match process_change(host, subtree, request).await {
        Ok(answer) => json_answer(reply_status(&answer.reply), &answer),
        Err(CommandError::Faults(faults)) => {
            let answer = ChangeAnswer { reply: ChangeReply::Invalid { faults }, reach: None };
            json_answer(reply_status(&answer.reply), &answer)
        }
        Err(error) => json_answer(error.status(), &FailureAnswer { error: error.to_string() }),
    }
}

fn reply_status(reply: &ChangeReply) -> StatusCode {
    match reply {
        ChangeReply::Accepted { .. } => StatusCode::OK,
        ChangeReply::Conflict { .. } => StatusCode::CONFLICT,
        ChangeReply::OperationReused { .. } | ChangeReply::Invalid { .. } => {
            StatusCode::UNPROCESSABLE_ENTITY
        }
    }
}

async fn process_change<G: ReplicatedGroup<SettingsState>>(
    host: &SettingsHost<G>,
    subtree: SubtreeName,
    request: Request<Incoming>,
) -> Result<ChangeAnswer, CommandError> {
    let (head, body) = request.into_parts();
    let expected = require_header(&head.headers, IF_MATCH.as_str(), "the version you saw")?;
    let expected = expected.trim_matches('"').parse().map_err(|_| CommandError::BadHeader {
        header: "if-match",
        allowed: "the version you saw, a whole number",
    })?;
    let operation = require_header(&head.headers, OPERATION_HEADER, "an operation id")?;
    let operator = require_header(&head.headers, OPERATOR_HEADER, "your name")?;
    let content = if head.method == Method::DELETE {
        removal_content(subtree)?
    } else {
        let read = read_body(body, MAX_SUBTREE_BYTES, BODY_TIMEOUT);
        decode_content(subtree, &read.await.map_err(|_| CommandError::BadBody)?)?
    };
    let change = SettingsChange {
        operation: OperationId::from(operation),
        operator: operator.to_owned(),
        at_ms: unix_ms(),
        expected: Revision(expected),
        content,
    };
    let reply = host.group().propose(SettingsCommand::Change(change)).await?;
    let reach = match &reply {
        ChangeReply::Accepted { revision } => Some(host.query_reach(*revision).await),
        _ => None,
    };
    Ok(ChangeAnswer { reply, reach })
}

fn removal_content(subtree: SubtreeName) -> Result<SubtreeContent, CommandError> {
    match subtree {
        SubtreeName::Team(team) => Ok(SubtreeContent::Removed(team)),
        SubtreeName::Regions => Err(CommandError::NotRemovable),
    }
}

fn decode_content(subtree: SubtreeName, body: &[u8]) -> Result<SubtreeContent, CommandError> {
    Ok(match subtree {
        SubtreeName::Regions => SubtreeContent::Regions(check_regions(body)?),
        SubtreeName::Team(team) => {
            let settings = check_team(team.as_str(), body)?;
            SubtreeContent::Team(team, settings)
        }
    })
}

fn require_header<'a>(
    headers: &'a HeaderMap,
    header: &'static str,
    allowed: &'static str,
) -> Result<&'a str, CommandError> {
    let text = headers.get(header).and_then(|value| value.to_str().ok());
    text.filter(|text| !text.is_empty() && text.len() <= MAX_HEADER_BYTES)
        .ok_or(CommandError::BadHeader { header, allowed })
}

/// Parses the path below `/v1/settings/` as the name of a subtree.
pub(crate) fn parse_subtree(path: &str) -> Option<SubtreeName> {
    match path.split_once('/') {
        None if path == "regions" => Some(SubtreeName::Regions),
        Some(("teams", team)) if !team.is_empty() && !team.contains('/') => {
            Some(SubtreeName::Team(TeamName::from(team)))
        }
        _ => None,
    }
}
