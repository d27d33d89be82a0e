//! Opens sessions in the ledger of the workspace's home region, through an entry of that region.

use crate::{
    answer::{Refusal, RefusalCode},
    decode::{optional_header, require_header},
    entry::EntryContext,
    http::{AnswerBody, HttpClient, describe_error, json_answer, read_body},
    name::{RegionName, RequestId, WorkspaceName},
    route::DIGEST_EXPIRY,
    serve::refuse,
    settings::FleetSettings,
    wire::{ErrorBody, FORWARDED_HEADER, SessionReply, WORKSPACE_HEADER},
};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{HeaderMap, Request, Response, StatusCode};
use std::{net::SocketAddr, time::Duration};
use tokio::time::{Instant, timeout};

/// Path of requests for a session.
pub const SESSIONS_PATH: &str = "/v1/sessions";

/// Maximum time to wait for one entry of the home region.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(4);

/// Time after which a caller may retry when the home region is unreachable.
const UNREACHABLE_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Maximum size of an answer with a session, in bytes.
const MAX_REPLY_BYTES: usize = 64 * 1024;

/// Answers a request for a session.
pub(crate) async fn issue_session(
    context: &EntryContext,
    headers: &HeaderMap,
    request: &RequestId,
) -> Response<AnswerBody> {
    match open_session(context, headers).await {
        Ok(reply) => json_answer(StatusCode::OK, &reply),
        Err(refusal) => refuse(request, refusal),
    }
}

async fn open_session(
    context: &EntryContext,
    headers: &HeaderMap,
) -> Result<SessionReply, Refusal> {
    let workspace: WorkspaceName = require_header(headers, WORKSPACE_HEADER)?.into();
    let settings = context.settings().newest();
    let home = find_home_region(&settings.tree, &workspace).ok_or_else(|| {
        let message = format!("no workspace is named {workspace:?}");
        Refusal::not_run(RefusalCode::UnknownWorkspace, message)
    })?;
    if *home == context.node().region {
        let session = context.ledger().open_session(&workspace).await?;
        let expires_ms = session.key.expires_ms;
        return Ok(SessionReply { session: session.to_string(), expires_ms });
    }
    if optional_header(headers, FORWARDED_HEADER)?.is_some() {
        let message = format!("{home} is the home of {workspace}");
        return Err(Refusal::not_run(RefusalCode::AlreadyForwarded, message));
    }
    forward_to_home(context, home, &workspace).await
}

fn find_home_region<'a>(
    tree: &'a FleetSettings,
    workspace: &WorkspaceName,
) -> Option<&'a RegionName> {
    let found = tree.teams.values().find_map(|team| team.workspaces.get(workspace));
    found.map(|workspace| &workspace.home)
}

/// Requests a session from the entries of `home` in turn; returns the last refusal if none issues
/// it.
async fn forward_to_home(
    context: &EntryContext,
    home: &RegionName,
    workspace: &WorkspaceName,
) -> Result<SessionReply, Refusal> {
    let mut refusal = refuse_unreachable(home);
    for address in home_entries(context, home) {
        let reply =
            request_session(context.client(false), address, &context.node().region, workspace);
        match timeout(FORWARD_TIMEOUT, reply).await {
            Ok(Ok(reply)) => return Ok(reply),
            Ok(Err(error)) => refusal = error.unwrap_or(refusal),
            Err(_) => {}
        }
    }
    Err(refusal)
}

fn home_entries(context: &EntryContext, home: &RegionName) -> Vec<SocketAddr> {
    let table = context.table();
    let now = Instant::now();
    let zones = table.zones.values().filter(|view| {
        view.digest.region == *home && now.duration_since(view.received_at) < DIGEST_EXPIRY
    });
    zones.flat_map(|view| view.digest.entries.iter().copied()).collect()
}

fn refuse_unreachable(home: &RegionName) -> Refusal {
    Refusal::not_run(RefusalCode::HomeUnreachable, format!("no entry of {home} answers"))
        .retry_after(UNREACHABLE_RETRY_AFTER)
}

/// Requests a session from one entry; the error contains the refusal, if the entry sent one.
async fn request_session(
    client: &HttpClient,
    address: SocketAddr,
    from: &RegionName,
    workspace: &WorkspaceName,
) -> Result<SessionReply, Option<Refusal>> {
    let request = Request::post(format!("http://{address}{SESSIONS_PATH}"))
        .header(WORKSPACE_HEADER, workspace.as_str())
        .header(FORWARDED_HEADER, from.as_str())
        .body(Full::new(Bytes::new()))
        .map_err(|_| None)?;
    let answer = client.request(request).await.map_err(|error| {
        log::info!("session not issued by {address}: {}", describe_error(&error));
        None
    })?;
    let success = answer.status().is_success();
    let body = read_body(answer.into_body(), MAX_REPLY_BYTES, FORWARD_TIMEOUT).await;
    let body = body.map_err(|_| None)?;
    if success {
        return serde_json::from_slice(&body).map_err(|_| None);
    }
    Err(serde_json::from_slice::<ErrorBody>(&body).ok().map(|answer| answer.error))
}
