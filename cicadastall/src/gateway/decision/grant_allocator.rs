//! Grants capacity of the engines that this entry owns, to itself and to other entries. Performs no I/O.
//!
//! Each grant admits one request to one engine. The owner learns of every request that its engines get,
//! so it chooses by their actual load instead of outdated reports. A grant is open until its holder
//! reports the end of the request, until the holder is lost, or until the request has expired.

use crate::{
    gateway::{
        decision::{
            call::{CallHead, PromptPart, PromptParts, RequiredOrigin, RoutedCall},
            choice::{
                ChoiceBasis, ChoiceInput, LeftOutCounts, RefusalCause, TriedUpstreams,
                UpstreamChoice,
            },
            chooser::UpstreamChooser,
            tracker::{SendEnd, SendNumber},
        },
        document::routes::{PoolRule, PoolShare, RepeatRule, RouteRule, WorkspaceRule},
        knowledge::{
            conditions::ConditionRecord,
            owners::EntryProcess,
            upstream_speed::SpeedRow,
            view::{FleetView, LoadView},
        },
    },
    name::{
        AttemptId, PoolName, RegionName, SoftwareVersion, UpstreamName, WorkspaceName, ZoneName,
    },
    table::EntryRecord,
    wire::is_default,
};
use bytes::Bytes;
use hyper::{HeaderMap, Method, Uri};
use serde::{Deserialize, Serialize};
use smallvec::{SmallVec, smallvec};
use std::{
    collections::{HashMap, HashSet},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};
use tokio::time::Instant;

/// Time after the deadline of its request at which a grant expires.
const EXPIRY_MARGIN: Duration = Duration::from_secs(1);

/// Identifies a grant among those of one holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GrantTicket(pub u64);

/// Request for a grant.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GrantQuery {
    /// Process that asks for the grant.
    pub holder: EntryProcess,
    /// Identifier that the holder chose for the grant.
    pub ticket: GrantTicket,
    /// Zone of the holder.
    pub zone: ZoneName,
    /// Pool of the request.
    pub pool: PoolName,
    /// How the request may be repeated.
    pub repeat: RepeatRule,
    /// Rank; 0 goes first.
    pub rank: u8,
    /// Target time from the arrival of the request to its answer, in milliseconds.
    pub target_ms: u64,
    /// Time since the request arrived, in milliseconds.
    pub elapsed_ms: u32,
    /// Time until the deadline of the request, in milliseconds.
    pub remaining_ms: u32,
    /// Whether requests that share the start of their prompt benefit from the same upstream.
    pub affinity: bool,
    /// Whether the request was forwarded by an entry of another region.
    #[serde(default, skip_serializing_if = "is_default")]
    pub hopped: bool,
    /// Whether a grant was requested for the same request before.
    #[serde(default, skip_serializing_if = "is_default")]
    pub again: bool,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Expected number of tokens of the answer.
    pub expected_tokens: u32,
    /// Identifier and number of tokens of each part of the prompt.
    pub parts: SmallVec<[(u64, u32); 4]>,
    /// Software version that the upstream must have, as it began the stream that is resumed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub software: Option<SoftwareVersion>,
    /// Upstreams that earlier attempts used.
    #[serde(default, skip_serializing_if = "SmallVec::is_empty")]
    pub tried: SmallVec<[UpstreamName; 4]>,
    /// Regions that earlier attempts used, or that could not be reached.
    #[serde(default, skip_serializing_if = "SmallVec::is_empty")]
    pub tried_regions: SmallVec<[RegionName; 2]>,
    /// Regions that may answer; all regions if empty.
    #[serde(default, skip_serializing_if = "SmallVec::is_empty")]
    pub homes: SmallVec<[RegionName; 3]>,
    /// Workspace of the request, if requests of workspaces take turns.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub workspace: Option<WorkspaceName>,
    /// Conditions in force at upstreams of the pool, as far as the holder knows them.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub conditions: Vec<ConditionRecord>,
    /// Updates of other grants, to be applied first.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "notes")]
    pub updates: Vec<GrantUpdate>,
}

/// Answer to [`GrantQuery`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GrantReply {
    /// The request may be sent to an upstream.
    Granted {
        /// The upstream.
        upstream: UpstreamName,
        /// Estimates for the upstream.
        basis: ChoiceBasis,
        /// Whether the send is part of a rate that the upstream tolerates.
        #[serde(default, skip_serializing_if = "is_default")]
        paced: bool,
    },
    /// The request should be forwarded to another region.
    Region {
        /// The region.
        region: RegionName,
        /// The entry.
        entry: SocketAddr,
        /// Estimates for the region.
        basis: ChoiceBasis,
    },
    /// The holder should ask again after this many milliseconds.
    Wait(u32),
    /// The request is refused.
    Refused {
        /// Why it is refused.
        cause: RefusalCause,
        /// Time after which the caller may retry, in milliseconds.
        retry_after_ms: u32,
        /// Upstreams that were left out, by reason.
        left_out: LeftOutCounts,
        /// Estimates for the best of the remaining upstreams, if there is one.
        basis: Option<ChoiceBasis>,
    },
    /// The receiver owns no engines of the pool.
    NotOwner,
}

/// Change of one grant, as reported by its holder.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GrantUpdate {
    /// Identifies the grant.
    pub ticket: GrantTicket,
    /// The change.
    pub change: GrantChange,
    /// Time from the send to the change, in milliseconds; absent if the holder does not tell it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub at_ms: Option<u32>,
}

/// Kinds of changes that a holder reports.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GrantChange {
    /// The answer has begun.
    Began,
    /// The request has ended.
    Ended(SendEnd),
    /// The engine asked for no work for this many milliseconds.
    Paused(u32),
    /// The request was sent without a grant by the receiver, because the engine had another owner then or
    /// its owner could not be reached.
    Taken(Box<SendReport>),
}

/// A request in flight at an engine, for an owner that did not grant it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SendReport {
    /// Pool of the request.
    pub pool: PoolName,
    /// The upstream.
    pub upstream: UpstreamName,
    /// Start of the upstream's process, in milliseconds since the Unix epoch by its own clock.
    pub started_ms: u64,
    /// Rank; 0 goes first.
    pub rank: u8,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Expected number of tokens of the answer.
    pub expected_tokens: u32,
    /// Prompt tokens that were not cached and had to be prefilled.
    pub unread_tokens: u32,
    /// Predicted time to the first token, in milliseconds.
    pub predicted_ms: u32,
    /// Time since the request was sent, in milliseconds.
    pub elapsed_ms: u32,
    /// Time until the deadline of the request when it was sent, in milliseconds.
    pub remaining_ms: u32,
    /// Whether the answer has begun.
    pub began: bool,
}

/// Updates of the grants of one holder.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GrantUpdates {
    /// Process that holds the grants.
    pub holder: EntryProcess,
    /// The updates, in order.
    #[serde(rename = "notes")]
    pub updates: Vec<GrantUpdate>,
}

#[derive(Debug)]
struct OpenGrant {
    pool: PoolName,
    upstream: UpstreamName,
    number: SendNumber,
    sent_at: Instant,
    until: Instant,
}

impl OpenGrant {
    /// Time of a change that took place `at_ms` after the send; `now` if that is unknown.
    fn time_of(&self, at_ms: Option<u32>, now: Instant) -> Instant {
        let at = at_ms.map(|at_ms| self.sent_at + Duration::from_millis(u64::from(at_ms)));
        at.map_or(now, |at| at.min(now))
    }
}

/// Input of a grant, apart from the state that the allocator keeps.
#[derive(Debug, Clone, Copy)]
pub struct GrantInput<'a> {
    /// Rule of the request's pool.
    pub rule: Option<&'a PoolRule>,
    /// View of the fleet, restricted to the upstreams that this entry owns.
    pub shard: &'a FleetView,
    /// Load of other regions.
    pub load: &'a LoadView,
    /// Whether the entry started recently and may not know all upstreams yet.
    pub starting_up: bool,
    /// Current time.
    pub now: Instant,
}

/// Open grants in the engines of one owner.
#[derive(Debug)]
pub struct GrantAllocator {
    chooser: UpstreamChooser,
    grants: HashMap<(EntryProcess, GrantTicket), OpenGrant>,
}

impl GrantAllocator {
    /// Creates an allocator that chooses with `chooser`, which must not be used for anything else.
    pub fn new(chooser: UpstreamChooser) -> Self {
        Self { chooser, grants: HashMap::new() }
    }

    /// Speeds of the engines, as far as they are measured.
    pub fn speeds(&self, now: Instant) -> impl Iterator<Item = SpeedRow> {
        self.chooser.speeds(now)
    }

    /// Like [`UpstreamChooser::set_fair_order`].
    pub fn set_fair_order(&mut self, ordered: bool) {
        self.chooser.set_fair_order(ordered);
    }

    /// Number of open grants.
    pub fn open(&self) -> usize {
        self.grants.len()
    }

    /// Applies the updates in `query` and answers it.
    pub fn grant(&mut self, query: &GrantQuery, input: &GrantInput<'_>) -> GrantReply {
        let now = input.now;
        self.apply_updates(&query.holder, &query.updates, now);
        self.merge_conditions(&query.conditions, now);
        if !input.shard.pools.contains_key(&query.pool) {
            return GrantReply::NotOwner;
        }
        let call = describe_call(query, now);
        if !query.again {
            self.chooser.note_arrival(&call, input.rule, now);
        }
        let tried = TriedUpstreams {
            upstreams: query.tried.clone(),
            regions: query.tried_regions.clone(),
            entries: SmallVec::new(),
        };
        let choice = self.chooser.choose(&ChoiceInput {
            call: &call,
            pool: input.rule,
            software: query.software.as_ref(),
            tried: &tried,
            view: input.shard,
            load: input.load,
            starting_up: input.starting_up,
            zone: Some(&query.zone),
            exclusive: true,
            now,
        });
        match choice {
            UpstreamChoice::Upstream { known, number, basis, paced, .. } => {
                let upstream = known.upstream.name.clone();
                let until = call.deadline + EXPIRY_MARGIN;
                let grant = OpenGrant {
                    pool: query.pool.clone(),
                    upstream: upstream.clone(),
                    number,
                    sent_at: now,
                    until,
                };
                self.hold((query.holder.clone(), query.ticket), grant, now);
                GrantReply::Granted { upstream, basis, paced }
            }
            UpstreamChoice::Region { region, entry, basis } => {
                GrantReply::Region { region, entry, basis }
            }
            UpstreamChoice::Wait(until) => GrantReply::Wait((until - now).as_millis() as u32),
            UpstreamChoice::Refuse { cause, retry_after, left_out, basis } => {
                let retry_after_ms = retry_after.as_millis() as u32;
                GrantReply::Refused { cause, retry_after_ms, left_out, basis }
            }
        }
    }

    /// Opens a grant; an open grant with the same holder and ticket is released.
    fn hold(&mut self, key: (EntryProcess, GrantTicket), grant: OpenGrant, now: Instant) {
        if let Some(before) = self.grants.insert(key, grant) {
            self.end(&before, SendEnd::Cancelled, now);
        }
    }

    fn end(&mut self, grant: &OpenGrant, end: SendEnd, now: Instant) {
        self.chooser.note_ended(&grant.pool, &grant.upstream, grant.number, end, now);
    }

    /// Applies updates of the grants of `holder`; updates of grants that are not open are ignored.
    pub fn apply_updates(&mut self, holder: &EntryProcess, updates: &[GrantUpdate], now: Instant) {
        for GrantUpdate { ticket, change, at_ms } in updates {
            let key = (holder.clone(), *ticket);
            match change {
                GrantChange::Began => {
                    if let Some(grant) = self.grants.get(&key) {
                        let at = grant.time_of(*at_ms, now);
                        self.chooser.note_answering(&grant.upstream, grant.number, at);
                    }
                }
                GrantChange::Ended(end) => {
                    if let Some(grant) = self.grants.remove(&key) {
                        self.end(&grant, *end, grant.time_of(*at_ms, now));
                        if *end == SendEnd::Refused {
                            self.chooser.note_full(&grant.upstream, now);
                        }
                    }
                }
                GrantChange::Paused(bound_ms) => {
                    if let Some(grant) = self.grants.get(&key) {
                        let bound = Duration::from_millis(u64::from(*bound_ms));
                        self.chooser.note_pause(&grant.upstream, bound, now);
                    }
                }
                GrantChange::Taken(report) => {
                    let number = self.chooser.note_reported(report, now);
                    let left_ms = report.remaining_ms.saturating_sub(report.elapsed_ms);
                    let until = now + Duration::from_millis(u64::from(left_ms)) + EXPIRY_MARGIN;
                    let (pool, upstream) = (report.pool.clone(), report.upstream.clone());
                    let elapsed = Duration::from_millis(u64::from(report.elapsed_ms));
                    let sent_at = now.checked_sub(elapsed).unwrap_or(now);
                    self.hold(key, OpenGrant { pool, upstream, number, sent_at, until }, now);
                }
            }
        }
    }

    /// Releases the grants of holders that are not in `live`, and of requests that have expired.
    pub fn expire(&mut self, live: &[EntryRecord], now: Instant) {
        if self.grants.is_empty() {
            return;
        }
        let live: HashSet<EntryProcess> = live.iter().map(EntryProcess::of).collect();
        let lost =
            |holder: &EntryProcess, grant: &OpenGrant| now >= grant.until || !live.contains(holder);
        let ended: Vec<_> =
            self.grants.extract_if(|(holder, _), grant| lost(holder, grant)).collect();
        if !ended.is_empty() {
            log::info!(places = ended.len(); "places of lost entries or ended requests freed");
        }
        for (_, grant) in ended {
            self.end(&grant, SendEnd::Cancelled, now);
        }
    }

    /// Merges conditions of upstreams that an entry observed.
    pub fn merge_conditions(&mut self, conditions: &[ConditionRecord], now: Instant) {
        for ConditionRecord(upstream, condition) in conditions {
            self.chooser.conditions().merge(upstream, *condition, now);
        }
    }

    /// Applies the conditions that came with `shard`, and drops the state of engines that are not in it
    /// and have no open requests.
    pub fn apply_view(&mut self, shard: &FleetView, now: Instant) {
        self.chooser.apply_view(shard, now);
    }
}

/// Rebuilds the request of `query`, with the fields that a choice reads.
fn describe_call(query: &GrantQuery, now: Instant) -> RoutedCall {
    let millis = |count: u32| Duration::from_millis(u64::from(count));
    let parts: PromptParts =
        query.parts.iter().map(|(id, tokens)| PromptPart { id: *id, tokens: *tokens }).collect();
    let remaining = millis(query.remaining_ms);
    let route = RouteRule {
        name: "".into(),
        host: "".into(),
        prefix: "/".into(),
        repeat: query.repeat,
        time_limit_ms: u64::from(query.elapsed_ms) + u64::from(query.remaining_ms),
        target_ms: query.target_ms,
        longest_pause_ms: None,
        rank: query.rank,
        pools: smallvec![PoolShare { pool: query.pool.clone(), weight: 1 }],
        attempts: 1,
        affinity: query.affinity,
        homes: query.homes.clone(),
        public: false,
    };
    let workspace = query.workspace.clone().map(|name| {
        // The rank and the homes of the query already take those of the workspace into account.
        Arc::new(WorkspaceRule {
            name,
            keys: SmallVec::new(),
            rank: None,
            homes: SmallVec::new(),
            quota: None,
        })
    });
    RoutedCall {
        workspace,
        key: None,
        method: Method::POST,
        target: Uri::from_static("/"),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        head: CallHead {
            prompt_tokens: query.prompt_tokens,
            answer_tokens: query.expected_tokens,
            estimated_tokens: Some(query.expected_tokens),
            parts,
            ..CallHead::default()
        }
        .clamped(),
        attempt: AttemptId::from(""),
        route: Arc::new(route),
        pool: query.pool.clone(),
        origin: RequiredOrigin::Any,
        received_at: now.checked_sub(millis(query.elapsed_ms)).unwrap_or(now),
        deadline: now + remaining,
        hopped: query.hopped,
        earlier_attempts: 0,
    }
}
