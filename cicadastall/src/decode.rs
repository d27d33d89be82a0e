//! First stage of request processing: decodes the headers and body into a plan of how to serve the
//! request.

use crate::{
    answer::{Refusal, RefusalCode},
    name::{
        IdempotencyKey, KindName, ModelName, PoolName, RegionName, RequestId, TeamName,
        WorkspaceName,
    },
    settings::{FleetSettings, PlanError, Rank},
    wire::{
        ACKNOWLEDGED_HEADER, CallRequest, ChatRequest, FORWARDED_HEADER, KEY_HEADER, KIND_HEADER,
        REMAINING_HEADER, REQUEST_HEADER, RESENT_HEADER, SESSION_HEADER, WORKSPACE_HEADER,
    },
};
use hyper::HeaderMap;
use smallvec::SmallVec;
use std::time::Duration;

/// Maximum length of an identifier in a header, in bytes.
const MAX_NAME_BYTES: usize = 200;

/// Decoded body of a request.
#[derive(Debug, Clone, PartialEq)]
pub enum RequestBody {
    /// A chat completion.
    Chat(ChatRequest),
    /// A call to a plain service.
    Call(CallRequest),
}

/// API endpoint that received a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestPath {
    /// Chat completions.
    Chat,
    /// Calls to plain services.
    Call,
}

/// How one request is served.
#[derive(Debug, Clone, PartialEq)]
pub struct RequestPlan {
    /// Identifier of the request.
    pub request: RequestId,
    /// Team that owns the workspace and the kind.
    pub team: TeamName,
    /// Tenant of the caller.
    pub workspace: WorkspaceName,
    /// Home region of the workspace.
    pub home: RegionName,
    /// Share of the workspace when capacity is short.
    pub share: f64,
    /// Kind of the request.
    pub kind: KindName,
    /// Priority class.
    pub rank: Rank,
    /// Worth of the answer.
    pub worth: f64,
    /// Pool that runs the kind.
    pub pool: PoolName,
    /// Model to run.
    pub model: Option<ModelName>,
    /// Regions that may answer, the home region first.
    pub regions: SmallVec<[RegionName; 4]>,
    /// Target for the first token.
    pub first_token: Duration,
    /// Time limit of the request, counted from its arrival at this instance.
    pub deadline: Duration,
    /// Whether the request may be run more than once.
    pub repeatable: bool,
    /// Region whose entry forwarded the request.
    pub forwarded_from: Option<RegionName>,
    /// Session of the caller, for requests that may not be repeated.
    pub session: Option<String>,
    /// Idempotency key, for requests that may not be repeated.
    pub key: Option<IdempotencyKey>,
    /// Whether the caller marks the request as a resend.
    pub resent: bool,
    /// Idempotency keys of replies that the caller has received.
    pub acknowledged: SmallVec<[IdempotencyKey; 4]>,
    /// Decoded body.
    pub body: RequestBody,
}

/// Decodes one request according to `settings`; `new_id` identifies it if the caller sent no
/// identifier. Fails with the refusal to send to the caller.
pub fn decode_request(
    path: RequestPath,
    headers: &HeaderMap,
    body: &[u8],
    settings: &FleetSettings,
    new_id: RequestId,
) -> Result<RequestPlan, Refusal> {
    let workspace: WorkspaceName = require_header(headers, WORKSPACE_HEADER)?.into();
    let kind: KindName = require_header(headers, KIND_HEADER)?.into();
    let request = optional_header(headers, REQUEST_HEADER)?.map_or(new_id, RequestId::from);
    let forwarded_from = optional_header(headers, FORWARDED_HEADER)?.map(RegionName::from);
    let session = optional_header(headers, SESSION_HEADER)?.map(str::to_owned);
    let key = optional_header(headers, KEY_HEADER)?.map(IdempotencyKey::from);
    let acknowledged = parse_acknowledged(headers)?;
    let remaining = parse_remaining(headers)?;
    let plan = settings.plan_kind(&workspace, &kind).map_err(|error| match error {
        PlanError::UnknownWorkspace => Refusal::not_run(
            RefusalCode::UnknownWorkspace,
            format!("no workspace is named {workspace:?}"),
        ),
        PlanError::UnknownKind => Refusal::not_run(
            RefusalCode::UnknownKind,
            format!("workspace {workspace} has no kind named {kind:?}"),
        ),
    })?;
    let body = decode_body(path, body)?;
    let model = match &body {
        RequestBody::Chat(chat) => chat.model.clone().or_else(|| plan.kind.model.clone()),
        RequestBody::Call(_) => None,
    };
    let configured = Duration::from_millis(plan.kind.deadline_ms);
    let mut regions = plan.regions;
    if !plan.kind.repeatable {
        regions.retain(|region| *region == plan.workspace.home);
    }
    Ok(RequestPlan {
        request,
        team: plan.team.clone(),
        home: plan.workspace.home.clone(),
        share: plan.workspace.share,
        workspace,
        kind,
        rank: plan.kind.rank,
        worth: plan.kind.worth,
        pool: plan.kind.pool.clone(),
        model,
        first_token: Duration::from_millis(plan.kind.first_token_ms),
        deadline: remaining.map_or(configured, |remaining| remaining.min(configured)),
        repeatable: plan.kind.repeatable,
        regions,
        forwarded_from,
        session,
        key,
        resent: headers.contains_key(RESENT_HEADER),
        acknowledged,
        body,
    })
}

fn decode_body(path: RequestPath, body: &[u8]) -> Result<RequestBody, Refusal> {
    let decoded = match path {
        RequestPath::Chat => serde_json::from_slice(body).map(RequestBody::Chat),
        RequestPath::Call => serde_json::from_slice(body).map(RequestBody::Call),
    };
    decoded.map_err(|error| {
        Refusal::not_run(RefusalCode::BadRequest, format!("body is not valid: {error}"))
    })
}

pub(crate) fn optional_header<'a>(
    headers: &'a HeaderMap,
    name: &str,
) -> Result<Option<&'a str>, Refusal> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    match value.to_str() {
        Ok(text) if !text.is_empty() && text.len() <= MAX_NAME_BYTES => Ok(Some(text)),
        _ => Err(Refusal::not_run(
            RefusalCode::BadRequest,
            format!("header {name} must be 1 to {MAX_NAME_BYTES} visible ASCII characters"),
        )),
    }
}

pub(crate) fn require_header<'a>(headers: &'a HeaderMap, name: &str) -> Result<&'a str, Refusal> {
    optional_header(headers, name)?.ok_or_else(|| {
        Refusal::not_run(RefusalCode::BadRequest, format!("header {name} is missing"))
    })
}

fn parse_remaining(headers: &HeaderMap) -> Result<Option<Duration>, Refusal> {
    let Some(text) = optional_header(headers, REMAINING_HEADER)? else {
        return Ok(None);
    };
    let remaining_ms = text.parse().map_err(|_| {
        Refusal::not_run(
            RefusalCode::BadRequest,
            format!("header {REMAINING_HEADER} must be a number of milliseconds, not {text:?}"),
        )
    })?;
    Ok(Some(Duration::from_millis(remaining_ms)))
}

fn parse_acknowledged(headers: &HeaderMap) -> Result<SmallVec<[IdempotencyKey; 4]>, Refusal> {
    let mut keys = SmallVec::new();
    for value in headers.get_all(ACKNOWLEDGED_HEADER) {
        let text = value.to_str().map_err(|_| {
            Refusal::not_run(
                RefusalCode::BadRequest,
                format!("header {ACKNOWLEDGED_HEADER} must be visible ASCII characters"),
            )
        })?;
        keys.extend(text.split(',').map(str::trim).filter(|key| !key.is_empty()).map(Into::into));
    }
    Ok(keys)
}
