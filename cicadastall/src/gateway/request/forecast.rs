//! Where a request would go now, and why. Nothing is sent, counted, reserved or learned: the choice is made
//! by a copy of the entry's chooser, which is then dropped.

use crate::{
    gateway::{
        decision::{
            call::{CallHead, PromptPart, RequiredOrigin, RoutedCall},
            choice::{
                ChoiceBasis, ChoiceInput, LeftOutCounts, RefusalCause, TriedUpstreams,
                UpstreamChoice,
            },
            chooser::UpstreamChooser,
        },
        document::routes::{KeyDigest, RouteRule, RouteTable, WorkspaceRule},
        knowledge::view::KnownUpstream,
        request::context::EntryContext,
    },
    name::{AttemptId, InstanceName, ModelName, PoolName, RegionName, UpstreamName},
};
use bytes::Bytes;
use hyper::{HeaderMap, Method, Uri};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;
use std::{fmt, net::SocketAddr, sync::Arc, time::Duration};
use tokio::time::Instant;

/// Path of forecasts at the status listener of an entry.
pub const FORECAST_PATH: &str = "/v1/where";

/// Maximum size of a query, in bytes.
pub(crate) const MAX_QUERY_BYTES: usize = 64 * 1024;

/// Key of a workspace, which no log may show.
#[derive(Clone, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SecretKey(String);

impl SecretKey {
    /// Wraps the text of a key.
    pub fn new(text: String) -> Self {
        Self(text)
    }
}

impl fmt::Debug for SecretKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("SecretKey")
    }
}

/// A request whose target is asked for.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ForecastQuery {
    /// Host.
    pub host: String,
    /// Path and query.
    pub path: String,
    /// Key of a workspace.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<SecretKey>,
    /// Requested model.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub model: Option<ModelName>,
    /// Length of the prompt in tokens.
    #[serde(default)]
    pub prompt_tokens: u32,
    /// Maximum length of the answer in tokens.
    #[serde(default)]
    pub answer_tokens: u32,
    /// Parts of the prompt: identifier and length in tokens.
    #[serde(default)]
    pub parts: Vec<(u64, u32)>,
    /// How long the caller would wait, in milliseconds; as long as the route allows if absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub remaining_ms: Option<u64>,
}

/// A query that can't be answered, with the field that is to blame.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct QueryFault {
    /// Name of the field.
    pub field: &'static str,
    /// What is wrong with it.
    pub message: String,
}

/// What would become of an attempt.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(tag = "target", rename_all = "snake_case")]
pub enum ForecastTarget {
    /// It would be sent to an upstream of this region.
    Upstream {
        /// The upstream.
        upstream: UpstreamName,
        /// Estimates for it.
        basis: ChoiceBasis,
    },
    /// An owner of the pool's engines would be asked; it is named, and not asked now.
    Owner {
        /// Owners in the order in which they would be asked.
        owners: Vec<InstanceName>,
    },
    /// It would be forwarded to an entry of another region, or of this one if only this entry has lost its
    /// path to the upstreams.
    Hop {
        /// The region.
        region: RegionName,
        /// The entry; none if it is drawn at the time of sending.
        entry: Option<SocketAddr>,
    },
    /// It would wait.
    Wait {
        /// Time until the next choice, in milliseconds.
        wait_ms: u64,
    },
    /// It would be refused.
    Refusal {
        /// Why.
        cause: RefusalCause,
        /// Time after which the caller would be told to return, in milliseconds.
        retry_after_ms: u64,
        /// Upstreams that were left out, by reason.
        left_out: LeftOutCounts,
    },
}

/// What counts for and against one upstream.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct CandidateForecast {
    /// The upstream.
    pub upstream: UpstreamName,
    /// Estimates; none if it was left out.
    pub basis: Option<ChoiceBasis>,
    /// Why it was left out or would answer too late; empty otherwise.
    pub against: SmallVec<[&'static str; 2]>,
}

/// Where a request would go now.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct RequestForecast {
    /// The entry that was asked.
    pub entry: InstanceName,
    /// Number of the document in force.
    pub document: u64,
    /// Name of the route.
    pub route: Arc<str>,
    /// Workspace of the key, if one was found.
    pub workspace: Option<Arc<str>>,
    /// Units left of the workspace's quota; none if it has no quota, or it is not known here.
    pub quota_left: Option<f64>,
    /// Rank; 0 is served first.
    pub rank: u8,
    /// Pool; one of several by weight, drawn for each attempt.
    pub pool: PoolName,
    /// Regions in which the request may run; all if empty.
    pub homes: Vec<RegionName>,
    /// What would become of it.
    pub decision: ForecastTarget,
    /// Upstreams of the pool in this region.
    pub candidates: Vec<CandidateForecast>,
}

/// The workspace that holds `key`. Fails if requests on `route` need a key and no workspace holds this one.
fn find_workspace(
    routes: &RouteTable,
    route: &RouteRule,
    key: Option<&SecretKey>,
) -> Result<Option<Arc<WorkspaceRule>>, QueryFault> {
    let digest = key.map(|key| KeyDigest::compute(key.0.as_bytes()));
    let found = digest.and_then(|digest| routes.keys().find(&digest).cloned());
    if found.is_none() && routes.has_workspaces() && !route.public {
        let number = routes.document().number;
        let message = format!("document {number} has no workspace with this key");
        return Err(QueryFault { field: "key", message });
    }
    Ok(found)
}

impl EntryContext {
    /// Tells where a request would go. Fails if the query's host and path have no route.
    pub(crate) fn forecast(&self, query: &ForecastQuery) -> Result<RequestForecast, QueryFault> {
        let now = Instant::now();
        let routes = self.routes.load_full();
        let target: Uri = query.path.parse().map_err(|error| QueryFault {
            field: "path",
            message: format!("not a path: {error}"),
        })?;
        let route = routes.find(&query.host, target.path()).ok_or_else(|| QueryFault {
            field: "path",
            message: format!(
                "document {} has no route for {}{}",
                routes.document().number,
                query.host,
                target.path()
            ),
        })?;
        let workspace = find_workspace(&routes, route, query.key.as_ref())?;
        let pool = route.choose_pool(rand::random()).cloned().ok_or_else(|| QueryFault {
            field: "path",
            message: format!("route {} has no pool", route.name),
        })?;
        let limit = route.time_limit();
        let remaining = query.remaining_ms.map_or(limit, Duration::from_millis).min(limit);
        let parts = query.parts.iter().map(|(id, tokens)| PromptPart { id: *id, tokens: *tokens });
        let head = CallHead {
            model: query.model.clone(),
            prompt_tokens: query.prompt_tokens,
            answer_tokens: query.answer_tokens,
            parts: parts.collect(),
            ..CallHead::default()
        };
        let call = RoutedCall {
            method: Method::POST,
            target,
            headers: HeaderMap::new(),
            body: Bytes::new(),
            head: head.clamped(),
            attempt: AttemptId::from("forecast"),
            route: Arc::clone(route),
            workspace,
            key: None,
            pool,
            origin: RequiredOrigin::Any,
            received_at: now,
            deadline: now + remaining,
            hopped: false,
            earlier_attempts: 0,
        };
        let chooser = self.chooser().clone();
        let mut homes = call.route.homes.to_vec();
        if let Some(workspace) = &call.workspace {
            match homes.is_empty() {
                true => homes = workspace.homes.to_vec(),
                false => homes.retain(|region| call.allows_region(region)),
            }
        }
        Ok(RequestForecast {
            entry: self.node.instance.clone(),
            document: routes.document().number,
            route: Arc::clone(&call.route.name),
            workspace: call.workspace.as_ref().map(|workspace| Arc::from(workspace.name.as_str())),
            quota_left: None,
            rank: call.rank(),
            pool: call.pool.clone(),
            homes,
            decision: self.forecast_target(&call, &routes, &chooser, now),
            candidates: self.forecast_candidates(&call, &routes, &chooser, now),
        })
    }

    fn forecast_target(
        &self,
        call: &RoutedCall,
        routes: &RouteTable,
        chooser: &UpstreamChooser,
        now: Instant,
    ) -> ForecastTarget {
        let view = self.view.load();
        let here = call.allows_region(&self.node.region);
        if here && self.is_unreached(&call.pool) {
            return ForecastTarget::Hop { region: self.node.region.clone(), entry: None };
        }
        if here && view.owners.has_owners(&call.pool) {
            let shared = call.head.shared_parts().last().filter(|_| call.route.affinity);
            let key = shared.map_or_else(rand::random, |part| part.id);
            let owners = view.owners.candidates(&call.pool, key);
            let names = owners.iter().map(|owner| owner.process.instance.clone());
            return ForecastTarget::Owner { owners: names.collect() };
        }
        let tried = TriedUpstreams::default();
        match choose_alike(self, call, routes, &tried, chooser, now) {
            UpstreamChoice::Upstream { known, basis, .. } => {
                ForecastTarget::Upstream { upstream: known.upstream.name.clone(), basis }
            }
            UpstreamChoice::Region { region, entry, .. } => {
                ForecastTarget::Hop { region, entry: Some(entry) }
            }
            UpstreamChoice::Wait(until) => {
                let wait = until.saturating_duration_since(now);
                ForecastTarget::Wait { wait_ms: wait.as_millis() as u64 }
            }
            UpstreamChoice::Refuse { cause, retry_after, left_out, .. } => {
                let retry_after_ms = retry_after.as_millis() as u64;
                ForecastTarget::Refusal { cause, retry_after_ms, left_out }
            }
        }
    }

    /// The choice for each upstream alone, as if all others had been tried.
    fn forecast_candidates(
        &self,
        call: &RoutedCall,
        routes: &RouteTable,
        chooser: &UpstreamChooser,
        now: Instant,
    ) -> Vec<CandidateForecast> {
        let view = self.view.load();
        let upstreams = view.pools.get(&call.pool).map_or(&[][..], Vec::as_slice);
        let regions = self.load.load().regions.keys().cloned().collect();
        let mut tried = TriedUpstreams { regions, ..TriedUpstreams::default() };
        let mut candidate = |own: &Arc<KnownUpstream>| {
            let others = upstreams.iter().filter(|known| !Arc::ptr_eq(known, own));
            tried.upstreams = others.map(|known| known.upstream.name.clone()).collect();
            let (basis, against) = match choose_alike(self, call, routes, &tried, chooser, now) {
                UpstreamChoice::Upstream { basis, .. } => (Some(basis), SmallVec::new()),
                UpstreamChoice::Refuse { basis: Some(basis), .. } => {
                    (Some(basis), SmallVec::from_slice(&["late"]))
                }
                UpstreamChoice::Refuse { left_out, .. } => (None, reasons(left_out)),
                UpstreamChoice::Wait(_) => (None, SmallVec::from_slice(&["must_wait"])),
                UpstreamChoice::Region { .. } => (None, SmallVec::from_slice(&["other_region"])),
            };
            CandidateForecast { upstream: own.upstream.name.clone(), basis, against }
        };
        upstreams.iter().map(&mut candidate).collect()
    }
}

/// The choice that the entry would make for `call`, by a copy of its chooser.
fn choose_alike(
    context: &EntryContext,
    call: &RoutedCall,
    routes: &RouteTable,
    tried: &TriedUpstreams,
    chooser: &UpstreamChooser,
    now: Instant,
) -> UpstreamChoice {
    let input = ChoiceInput {
        call,
        pool: routes.pool(&call.pool).map(|pool| &**pool),
        software: None,
        tried,
        view: &context.view.load(),
        load: &context.load.load(),
        starting_up: context.is_discovering(),
        zone: None,
        exclusive: false,
        now,
    };
    chooser.clone().choose(&input)
}

/// Reasons for which a single upstream was left out.
fn reasons(counts: LeftOutCounts) -> SmallVec<[&'static str; 2]> {
    let LeftOutCounts { barred, cold, silent, paused, leaving, limited, version, tried: _ } =
        counts;
    let named = [
        ("backing_off", barred),
        ("cold", cold),
        ("silent", silent),
        ("paused", paused),
        ("leaving", leaving),
        ("limited", limited),
        ("other_version", version),
    ];
    named.into_iter().filter(|(_, count)| *count > 0).map(|(name, _)| name).collect()
}
