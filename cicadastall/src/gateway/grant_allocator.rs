//! Grants places in the engines that this entry owns, to itself and to other entries. Without input or
//! output.
//!
//! The owner is told of every request that its engines get, so that it chooses by what they run and not by
//! a late report. A place is held until the entry that got it says how the request ended, until that
//! entry is lost, or until the request's time is over.

use crate::{
    gateway::{
        call::{CallHead, PromptPart, PromptParts, RoutedCall},
        choice::{
            ChoiceBasis, ChoiceInput, LeftOutCounts, RefusalCause, TriedUpstreams, UpstreamChoice,
        },
        chooser::UpstreamChooser,
        owners::EntryProcess,
        routes::{PoolRule, PoolShare, RepeatRule, RouteRule},
        tracker::{SendEnd, SendNumber},
        view::{FleetView, LoadView},
    },
    name::{AttemptId, PoolName, RegionName, UpstreamName, ZoneName},
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

/// Time beyond that of its request after which a place is taken to be free.
const EXPIRY_MARGIN: Duration = Duration::from_secs(1);

/// Names a place among those of one holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct GrantTicket(pub u64);

/// Question for a place.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GrantQuery {
    /// Who asks.
    pub holder: EntryProcess,
    /// Its name for the place.
    pub ticket: GrantTicket,
    /// Zone of the holder.
    pub zone: ZoneName,
    /// Pool of the request.
    pub pool: PoolName,
    /// What may be repeated.
    pub repeat: RepeatRule,
    /// Rank; 0 goes first.
    pub rank: u8,
    /// Time from its arrival within which the request is on time, in milliseconds.
    pub target_ms: u64,
    /// Time since it arrived, in milliseconds.
    pub elapsed_ms: u32,
    /// Time that is left, in milliseconds.
    pub remaining_ms: u32,
    /// Whether requests that share the start of their prompt gain from the same upstream.
    pub affinity: bool,
    /// Whether the request was passed on by an entry of another region.
    #[serde(default, skip_serializing_if = "is_default")]
    pub hopped: bool,
    /// Whether it was asked for before.
    #[serde(default, skip_serializing_if = "is_default")]
    pub again: bool,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens that the answer is expected to have.
    pub expected_tokens: u32,
    /// Names and tokens of the prompt's parts.
    pub parts: SmallVec<[(u64, u32); 4]>,
    /// Upstreams that were tried.
    #[serde(default, skip_serializing_if = "SmallVec::is_empty")]
    pub tried: SmallVec<[UpstreamName; 4]>,
    /// Regions that were tried.
    #[serde(default, skip_serializing_if = "SmallVec::is_empty")]
    pub tried_regions: SmallVec<[RegionName; 2]>,
    /// Regions that may answer; any where empty.
    #[serde(default, skip_serializing_if = "SmallVec::is_empty")]
    pub homes: SmallVec<[RegionName; 3]>,
    /// What became of other places.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    #[serde(rename = "notes")]
    pub updates: Vec<GrantUpdate>,
}

/// Answer to [`GrantQuery`].
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GrantReply {
    /// The place is held.
    Granted {
        /// The upstream.
        upstream: UpstreamName,
        /// What decided.
        basis: ChoiceBasis,
    },
    /// An entry of another region is to be asked.
    Region {
        /// The region.
        region: RegionName,
        /// The entry.
        entry: SocketAddr,
        /// What decided.
        basis: ChoiceBasis,
    },
    /// To be asked again after some milliseconds.
    Wait(u32),
    /// There is no place.
    Refused {
        /// Why.
        cause: RefusalCause,
        /// When to come back, in milliseconds.
        retry_after_ms: u32,
        /// Reasons why upstreams were left out.
        left_out: LeftOutCounts,
        /// What decided against the best of the others.
        basis: Option<ChoiceBasis>,
    },
    /// The receiver owns no engines of the pool.
    NotOwner,
}

/// What became of a place.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GrantUpdate {
    /// The place.
    pub ticket: GrantTicket,
    /// What became of it.
    pub change: GrantChange,
}

/// Change of a place.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GrantChange {
    /// The answer has begun.
    Began,
    /// The request has ended.
    Ended(SendEnd),
    /// The engine wants no work for some milliseconds.
    Paused(u32),
    /// A place that the receiver did not grant: its owner was another, or could not be asked.
    Taken(Box<SendReport>),
}

/// A request that has a place that its owner did not grant.
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
    /// Tokens that the answer is expected to have.
    pub expected_tokens: u32,
    /// Prompt tokens that had to be read.
    pub unread_tokens: u32,
    /// Predicted time to the first token, in milliseconds.
    pub predicted_ms: u32,
    /// Time since it was sent, in milliseconds.
    pub elapsed_ms: u32,
    /// Time that was left then, in milliseconds.
    pub remaining_ms: u32,
    /// Whether its answer has begun.
    pub began: bool,
}

/// What became of the places of one holder.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct GrantUpdates {
    /// The holder.
    pub holder: EntryProcess,
    /// The changes, in order.
    #[serde(rename = "notes")]
    pub updates: Vec<GrantUpdate>,
}

#[derive(Debug)]
struct OpenGrant {
    pool: PoolName,
    upstream: UpstreamName,
    number: SendNumber,
    until: Instant,
}

/// What a grant depends on beside the desk's own record.
#[derive(Debug, Clone, Copy)]
pub struct GrantInput<'a> {
    /// Rule of the request's pool.
    pub rule: Option<&'a PoolRule>,
    /// The fleet, with those upstreams only that this entry owns.
    pub shard: &'a FleetView,
    /// Load of other regions.
    pub load: &'a LoadView,
    /// Whether upstreams may not be known yet, as the entry has just started.
    pub starting_up: bool,
    /// Now.
    pub now: Instant,
}

/// Places of the engines of one owner.
#[derive(Debug)]
pub struct GrantAllocator {
    chooser: UpstreamChooser,
    grants: HashMap<(EntryProcess, GrantTicket), OpenGrant>,
}

impl GrantAllocator {
    /// A desk that chooses by `chooser`, which nobody else uses.
    pub fn new(chooser: UpstreamChooser) -> Self {
        Self { chooser, grants: HashMap::new() }
    }

    /// Places that are held.
    pub fn open(&self) -> usize {
        self.grants.len()
    }

    /// Answers a question for a place.
    pub fn grant(&mut self, query: &GrantQuery, input: &GrantInput<'_>) -> GrantReply {
        let now = input.now;
        self.apply_updates(&query.holder, &query.updates, now);
        if !input.shard.pools.contains_key(&query.pool) {
            return GrantReply::NotOwner;
        }
        let call = describe_call(query, now);
        if !query.again {
            self.chooser.note_arrival(&call, input.rule, now);
        }
        let tried =
            TriedUpstreams { upstreams: query.tried.clone(), regions: query.tried_regions.clone() };
        let choice = self.chooser.choose(&ChoiceInput {
            call: &call,
            pool: input.rule,
            tried: &tried,
            view: input.shard,
            load: input.load,
            starting_up: input.starting_up,
            zone: Some(&query.zone),
            exclusive: true,
            now,
        });
        match choice {
            UpstreamChoice::Upstream { known, number, basis, .. } => {
                let upstream = known.upstream.name.clone();
                let until = call.deadline + EXPIRY_MARGIN;
                let grant = OpenGrant {
                    pool: query.pool.clone(),
                    upstream: upstream.clone(),
                    number,
                    until,
                };
                self.hold((query.holder.clone(), query.ticket), grant, now);
                GrantReply::Granted { upstream, basis }
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

    /// Holds a place; one that the holder had under the same name is free again.
    fn hold(&mut self, key: (EntryProcess, GrantTicket), grant: OpenGrant, now: Instant) {
        if let Some(before) = self.grants.insert(key, grant) {
            self.end(&before, SendEnd::Cancelled, now);
        }
    }

    fn end(&mut self, grant: &OpenGrant, end: SendEnd, now: Instant) {
        self.chooser.note_ended(&grant.pool, &grant.upstream, grant.number, end, now);
    }

    /// Takes what became of the places of `holder`.
    pub fn apply_updates(&mut self, holder: &EntryProcess, updates: &[GrantUpdate], now: Instant) {
        for GrantUpdate { ticket, change } in updates {
            let key = (holder.clone(), *ticket);
            match change {
                GrantChange::Began => {
                    if let Some(grant) = self.grants.get(&key) {
                        self.chooser.note_answering(&grant.upstream, grant.number, now);
                    }
                }
                GrantChange::Ended(end) => {
                    if let Some(grant) = self.grants.remove(&key) {
                        self.end(&grant, *end, now);
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
                    let left = report.remaining_ms.saturating_sub(report.elapsed_ms);
                    let until = now + Duration::from_millis(u64::from(left)) + EXPIRY_MARGIN;
                    let (pool, upstream) = (report.pool.clone(), report.upstream.clone());
                    self.hold(key, OpenGrant { pool, upstream, number, until }, now);
                }
            }
        }
    }

    /// Frees the places of holders that are not among `live` any more, and of requests whose time is over.
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

    /// Forgets engines that are no longer among those of `shard`.
    pub fn forget(&mut self, shard: &FleetView, now: Instant) {
        self.chooser.forget(shard, now);
    }
}

/// The request that a question is about, as far as a choice reads it.
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
    };
    RoutedCall {
        method: Method::POST,
        target: Uri::from_static("/"),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        head: CallHead {
            prompt_tokens: query.prompt_tokens,
            answer_tokens: query.expected_tokens,
            guessed_tokens: Some(query.expected_tokens),
            parts,
            ..CallHead::default()
        }
        .bounded(),
        attempt: AttemptId::from(""),
        route: Arc::new(route),
        pool: query.pool.clone(),
        arrived: now.checked_sub(millis(query.elapsed_ms)).unwrap_or(now),
        deadline: now + remaining,
        hopped: query.hopped,
        earlier_attempts: 0,
    }
}
