//! Operator endpoints for the replicas that run in one instance.

use crate::{
    group::RefoundError,
    group_transport::GroupRegistry,
    http::{AnswerBody, json_answer, text_answer},
    name::GroupName,
};
use hyper::{Method, Request, Response, StatusCode, body::Incoming};
use serde_json::json;

/// Path of the groups' statuses, and prefix of the path that refounds a group.
pub const GROUPS_PATH: &str = "/v1/groups";

/// Suffix of the path that refounds a group.
const REFOUND_SUFFIX: &str = "/refound";

/// Query string with which an operator accepts the loss of changes.
const ACCEPT_LOSS: &str = "accept_loss=true";

/// Answers a request whose path starts with [`GROUPS_PATH`].
pub(crate) async fn answer_groups(
    groups: &GroupRegistry,
    request: &Request<Incoming>,
) -> Response<AnswerBody> {
    let path = request.uri().path().strip_prefix(GROUPS_PATH).unwrap_or_default();
    let refound_group = path.strip_suffix(REFOUND_SUFFIX).and_then(|path| path.strip_prefix('/'));
    match (request.method(), refound_group) {
        (&Method::GET, None) if path.is_empty() => json_answer(StatusCode::OK, &groups.statuses()),
        (&Method::POST, Some(group)) => {
            let accept_loss = request.uri().query() == Some(ACCEPT_LOSS);
            answer_refound(groups.refound(&GroupName::from(group), accept_loss).await)
        }
        _ => text_answer(StatusCode::NOT_FOUND, "no such path\n"),
    }
}

fn answer_refound(
    outcome: Result<crate::replica_message::Epoch, RefoundError>,
) -> Response<AnswerBody> {
    match outcome {
        Ok(epoch) => json_answer(StatusCode::OK, &json!({ "epoch": epoch })),
        Err(error) => {
            let status = match error {
                RefoundError::NoReplica => StatusCode::NOT_FOUND,
                RefoundError::Stopped => StatusCode::SERVICE_UNAVAILABLE,
                RefoundError::LossNotAccepted | RefoundError::Replica(_) => StatusCode::CONFLICT,
            };
            text_answer(status, format!("{error}\n"))
        }
    }
}
