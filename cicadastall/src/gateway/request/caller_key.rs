//! The key of a caller's request, and the workspace that holds it.

use crate::{
    answer::{Refusal, RefusalCode},
    gateway::{
        document::routes::{KeyDigest, RouteRule, RouteTable, WorkspaceRule},
        edge::hop::HopMetadata,
        request::context::EntryContext,
    },
    name::WorkspaceName,
};
use hyper::{
    HeaderMap,
    header::{AUTHORIZATION, HeaderValue},
};
use std::{sync::Arc, time::Duration};

/// Scheme of the authorization header that carries a key.
const KEY_SCHEME: &str = "bearer";

/// Retry-after delay of a request that needs a confirmation of the document: an entry that has a way to
/// control gets one within this time.
const CONFIRMATION_DELAY: Duration = Duration::from_millis(500);

/// Why a request has no workspace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyFault {
    /// The request carries no key.
    Missing,
    /// The request carries several authorization headers, or one of another form.
    Malformed,
    /// No workspace of any document that the entry has seen holds the key.
    Unknown,
    /// A workspace of an earlier document held the key, and none of the newest does.
    Removed,
}

impl KeyFault {
    /// Value of the fault in metrics.
    fn name(self) -> &'static str {
        match self {
            Self::Missing => "no_key",
            Self::Malformed => "malformed_key",
            Self::Unknown => "unknown_key",
            Self::Removed => "removed_key",
        }
    }

    /// Answer to a request with this fault, by the document of `number`.
    fn refuse(self, number: u64) -> Refusal {
        let message = match self {
            Self::Missing => "the route needs a key".to_owned(),
            Self::Malformed => "the authorization header must be one bearer key".to_owned(),
            Self::Unknown => format!("document {number} has no workspace with this key"),
            Self::Removed => format!("the key is held by no workspace of document {number} now"),
        };
        Refusal::not_run(RefusalCode::UnknownKey, message)
    }
}

/// A caller's key: its digest and the workspace that holds it.
#[derive(Debug, Clone, PartialEq)]
pub struct HeldKey {
    /// Digest of the key.
    pub digest: KeyDigest,
    /// Workspace that holds it.
    pub workspace: Arc<WorkspaceRule>,
}

/// Digest of the key in the only authorization header of `headers`. Fails if there is none, if there
/// are several or if it is no bearer key.
pub fn read_key(headers: &HeaderMap) -> Result<KeyDigest, KeyFault> {
    let mut values = headers.get_all(AUTHORIZATION).iter();
    let value = values.next().ok_or(KeyFault::Missing)?;
    if values.next().is_some() {
        return Err(KeyFault::Malformed);
    }
    let key = parse_bearer(value).ok_or(KeyFault::Malformed)?;
    Ok(KeyDigest::compute(key.as_bytes()))
}

/// The key in the value of an authorization header: one word after the scheme.
fn parse_bearer(value: &HeaderValue) -> Option<&str> {
    let (scheme, key) = value.to_str().ok()?.trim().split_once(' ')?;
    let key = key.trim();
    let is_word =
        !key.is_empty() && key.bytes().all(|byte| byte.is_ascii_graphic() && byte != b',');
    (scheme.eq_ignore_ascii_case(KEY_SCHEME) && is_word).then_some(key)
}

/// The key that `headers` carry for a request on `route`, if the document of `routes` has workspaces.
///
/// None if it has none, and for a request without a valid key on a public route. Fails on other
/// requests without a key of a workspace.
pub fn find_key(
    routes: &RouteTable,
    route: &RouteRule,
    headers: &HeaderMap,
) -> Result<Option<HeldKey>, KeyFault> {
    if !routes.has_workspaces() {
        return Ok(None);
    }
    let held = read_key(headers).and_then(|digest| {
        let keys = routes.keys();
        let fault = || if keys.is_removed(&digest) { KeyFault::Removed } else { KeyFault::Unknown };
        let workspace = keys.find(&digest).ok_or_else(fault)?;
        Ok(HeldKey { digest, workspace: Arc::clone(workspace) })
    });
    match held {
        Err(_) if route.public => Ok(None),
        held => held.map(Some),
    }
}

/// The key of a caller's request on `route`; none if it needs none and carries no valid one.
///
/// Fails if the request needs a key and carries none of a workspace, or if it is not confirmed that the
/// document of `routes` is the newest, in which case a key that it does not have may be valid.
pub(in crate::gateway) fn admit_key(
    context: &EntryContext,
    routes: &RouteTable,
    route: &RouteRule,
    headers: &HeaderMap,
) -> Result<Option<HeldKey>, Refusal> {
    let number = routes.document().number;
    let key = match find_key(routes, route, headers) {
        Ok(key) => key,
        Err(KeyFault::Unknown) if !context.has_lease() || context.awaits_document(number) => {
            return Err(refuse_unconfirmed(context, None));
        }
        Err(fault) => {
            context.metrics.count_refusal(fault.name());
            return Err(fault.refuse(number));
        }
    };
    match &key {
        Some(key) if !route.public && !context.has_lease() => {
            Err(refuse_unconfirmed(context, Some(&key.workspace.name)))
        }
        _ => Ok(key),
    }
}

/// The workspace of a request that another entry forwarded; none if it needs no key.
///
/// `leased` tells whether the lease was valid before `routes` was loaded. A document at least as new as
/// that of the sender decides whether the workspace still holds the key. With an older one, the sender's
/// word counts under this entry's own lease. Fails if the request is not allowed, or if that can't be
/// told.
pub(in crate::gateway) fn admit_hop(
    context: &EntryContext,
    routes: &RouteTable,
    metadata: &HopMetadata,
    leased: bool,
) -> Result<Option<Arc<WorkspaceRule>>, Refusal> {
    let number = routes.document().number;
    let newer = metadata.workspace.as_ref().is_some_and(|sent| sent.document > number);
    let is_public = |route: &RouteRule| route.name == metadata.route && route.public;
    let listed = || routes.document().routes.iter().any(|route| is_public(route));
    let public = metadata.public && (newer || listed());
    let Some(sent) = &metadata.workspace else {
        let allowed = public || !routes.has_workspaces();
        return if allowed { Ok(None) } else { Err(refuse_unconfirmed(context, None)) };
    };
    if !leased && !public {
        return Err(refuse_unconfirmed(context, Some(&sent.name)));
    }
    if newer {
        return Ok(Some(Arc::new(sent.to_rule())));
    }
    let held = routes.keys().find(&sent.key).filter(|workspace| workspace.name == sent.name);
    if held.is_none() && !public {
        context.metrics.count_refusal(KeyFault::Removed.name());
        return Err(KeyFault::Removed.refuse(number));
    }
    Ok(held.cloned())
}

/// Answer to a request that needs a confirmation that the entry's document is the newest.
pub(in crate::gateway) fn refuse_unconfirmed(
    context: &EntryContext,
    workspace: Option<&WorkspaceName>,
) -> Refusal {
    let reason = "document_unconfirmed";
    context.metrics.count_refusal(reason);
    if let Some(workspace) = workspace {
        context.metrics.count_workspace_refusal(workspace, reason);
    }
    let message = "it is not confirmed that the entry has the newest document";
    Refusal::not_run(RefusalCode::DocumentUnconfirmed, message).retry_after(CONFIRMATION_DELAY)
}
