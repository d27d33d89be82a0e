//! Conditions of upstreams: what their answers say about the requests that they accept.
//!
//! A condition belongs to one process of an upstream, and all entries of its region follow it. An entry
//! that observes a condition reports it to control, which spreads it with the upstream's registration.
//! Each observation has a higher revision than the condition that it replaces, so that instances agree on
//! the newest one without comparing clocks. Of two with the same revision, the more restrictive one counts.

use crate::{
    gateway::knowledge::{
        answer_head::AnswerHead,
        fleet_update::RegisteredUpstream,
        send_rate::{SendRate, StatedLimit},
        view::KnownUpstream,
    },
    name::UpstreamName,
};
use serde::{Deserialize, Serialize};
use std::{cmp::Reverse, collections::HashMap, time::Duration};
use tokio::time::Instant;

/// Time after which an entry that still observes the same limit reports it again.
const REPORT_INTERVAL: Duration = Duration::from_secs(2);

/// Time for which the condition of an unlisted upstream is kept; as long as control keeps rows of
/// upstreams that are gone.
const RETENTION: Duration = Duration::from_secs(60);

/// Maximum number of stored conditions; several times the number of upstreams in the largest fleet.
const MAX_CONDITIONS: usize = 4_096;

/// Condition of one process of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamCondition {
    /// Start time of the process, in milliseconds since the Unix epoch by its own clock.
    pub started_ms: u64,
    /// Number of the observation; higher than that of all conditions that its observer knew.
    pub revision: u64,
    /// Requests that the upstream accepts from all entries together, if it names a limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit: Option<SendRate>,
    /// Number of refusals in one second at which the process ends, if it is brittle.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub brittle: Option<u32>,
}

impl UpstreamCondition {
    /// Whether this condition replaces `other`, one of the same upstream.
    pub fn supersedes(&self, other: &Self) -> bool {
        self.rank() > other.rank()
    }

    fn rank(&self) -> impl Ord {
        let limit = (self.limit.is_some(), Reverse(self.limit));
        (self.started_ms, self.revision, limit, self.brittle.is_some(), Reverse(self.brittle))
    }

    fn is_usual(&self) -> bool {
        self.limit.is_none() && self.brittle.is_none()
    }
}

/// The condition of an upstream, in messages between instances.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConditionRecord(
    /// The upstream.
    pub UpstreamName,
    /// Its condition.
    pub UpstreamCondition,
);

/// A limit in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ActiveLimit {
    /// Requests that the upstream accepts from all entries together.
    pub rate: SendRate,
    /// When this instance last heard of it.
    pub heard_at: Instant,
}

#[derive(Debug, Clone, Copy)]
struct ConditionRow {
    condition: UpstreamCondition,
    /// When an answer or a report last named the limit.
    limit_at: Instant,
    /// When an answer or a report last said that the process is brittle.
    brittle_at: Instant,
    /// When this revision was observed or arrived.
    revised_at: Instant,
    listed_at: Instant,
}

/// Conditions of upstreams, by name.
#[derive(Debug, Clone, Default)]
pub struct ConditionTable {
    rows: HashMap<UpstreamName, ConditionRow>,
}

impl ConditionTable {
    /// Applies what the answer `head` of `upstream` to a request sent at `sent_at` states. Returns the new
    /// condition if it has to be reported.
    ///
    /// An answer without a limit ends it only if its request was sent after the limit was last heard of, since
    /// the answer may have been delayed; the same holds for brittleness.
    pub fn observe(
        &mut self,
        upstream: &RegisteredUpstream,
        head: &AnswerHead,
        sent_at: Instant,
        now: Instant,
    ) -> Option<UpstreamCondition> {
        let started_ms = upstream.started_ms;
        let known = self.rows.get_mut(&upstream.name);
        if known.as_ref().is_some_and(|row| row.condition.started_ms > started_ms) {
            return None;
        }
        let known = known.filter(|row| row.condition.started_ms == started_ms);
        let fresh = UpstreamCondition { started_ms, revision: 0, limit: None, brittle: None };
        let before = known.as_ref().map_or(fresh, |row| row.condition);
        let limit_ends = known.as_ref().is_some_and(|row| sent_at > row.limit_at);
        let brittle_ends = known.as_ref().is_some_and(|row| sent_at > row.brittle_at);
        let after = UpstreamCondition {
            limit: match head.limit {
                StatedLimit::Limited(rate) => Some(rate),
                StatedLimit::Unlimited if limit_ends => None,
                StatedLimit::Unlimited | StatedLimit::Invalid => before.limit,
            },
            brittle: head.brittle.or(before.brittle.filter(|_| !brittle_ends)),
            revision: before.revision.saturating_add(1),
            started_ms,
        };
        let unchanged = (after.limit, after.brittle) == (before.limit, before.brittle);
        if unchanged && after.is_usual() {
            return None;
        }
        if let Some(row) = known {
            if head.limit.rate().is_some() {
                row.limit_at = now;
            }
            if head.brittle.is_some() {
                row.brittle_at = now;
            }
            if unchanged && now < row.revised_at + REPORT_INTERVAL {
                return None;
            }
        }
        let stated = (head.limit.rate().is_some(), head.brittle.is_some());
        self.store(&upstream.name, after, stated, now);
        Some(after)
    }

    /// Merges a condition that another instance reported. Returns whether it is new.
    pub fn merge(
        &mut self,
        upstream: &UpstreamName,
        condition: UpstreamCondition,
        now: Instant,
    ) -> bool {
        let known = self.rows.get(upstream);
        let new = known.is_none_or(|row| condition.supersedes(&row.condition));
        if new {
            let stated = (condition.limit.is_some(), condition.brittle.is_some());
            self.store(upstream, condition, stated, now);
        }
        new
    }

    /// Stores a condition; `stated` tells whether its limit and its brittleness were heard of now.
    fn store(
        &mut self,
        upstream: &UpstreamName,
        condition: UpstreamCondition,
        stated: (bool, bool),
        now: Instant,
    ) {
        let known = self.rows.get(upstream);
        let kept = known.filter(|row| row.condition.started_ms == condition.started_ms);
        let limit_at = kept.filter(|_| !stated.0).map_or(now, |row| row.limit_at);
        let brittle_at = kept.filter(|_| !stated.1).map_or(now, |row| row.brittle_at);
        let before = known.map(|row| (row.condition.limit, row.condition.brittle));
        if before.unwrap_or_default() != (condition.limit, condition.brittle) {
            log::info!(
                upstream = upstream.as_str(), limit_per_s = condition.limit.map(SendRate::per_s),
                brittle = condition.brittle, revision = condition.revision;
                "condition of an upstream changed"
            );
        }
        if self.rows.len() >= MAX_CONDITIONS && known.is_none() {
            self.evict_oldest();
        }
        let row = ConditionRow { condition, limit_at, brittle_at, revised_at: now, listed_at: now };
        self.rows.insert(upstream.clone(), row);
    }

    fn evict_oldest(&mut self) {
        let oldest = self.rows.iter().min_by_key(|(_, row)| row.listed_at);
        if let Some(name) = oldest.map(|(name, _)| name.clone()) {
            log::warn!(upstream = name.as_str(); "too many conditions of upstreams; oldest one evicted");
            self.rows.remove(&name);
        }
    }

    /// The limit of the listed process of `upstream`, if one is in force.
    pub fn limit(&self, upstream: &RegisteredUpstream) -> Option<ActiveLimit> {
        let row = self.rows.get(&upstream.name)?;
        let rate =
            row.condition.limit.filter(|_| row.condition.started_ms == upstream.started_ms)?;
        Some(ActiveLimit { rate, heard_at: row.limit_at })
    }

    /// Whether the process of `upstream` that started at `started_ms` is brittle.
    pub fn is_brittle(&self, upstream: &UpstreamName, started_ms: u64) -> bool {
        let condition = self.rows.get(upstream).map(|row| row.condition);
        condition.is_some_and(|condition| {
            condition.started_ms == started_ms && condition.brittle.is_some()
        })
    }

    /// Conditions of the listed `upstreams` that are newer than those that came with the listing.
    pub fn list_unreported<'a>(
        &self,
        upstreams: impl Iterator<Item = &'a KnownUpstream>,
    ) -> Vec<ConditionRecord> {
        if self.rows.is_empty() {
            return Vec::new();
        }
        let newer = upstreams.filter_map(|known| {
            let condition = self.rows.get(&known.upstream.name)?.condition;
            let listed = known.condition.as_ref();
            let newer = listed.is_none_or(|listed| condition.supersedes(listed));
            (newer && condition.started_ms == known.upstream.started_ms)
                .then(|| ConditionRecord(known.upstream.name.clone(), condition))
        });
        newer.collect()
    }

    /// Conditions in force among the listed `upstreams`.
    pub fn list_active<'a>(
        &self,
        upstreams: impl Iterator<Item = &'a KnownUpstream>,
    ) -> Vec<ConditionRecord> {
        if self.rows.is_empty() {
            return Vec::new();
        }
        let active = upstreams.filter_map(|known| {
            let condition = self.rows.get(&known.upstream.name)?.condition;
            let current = condition.started_ms == known.upstream.started_ms;
            (current && !condition.is_usual())
                .then(|| ConditionRecord(known.upstream.name.clone(), condition))
        });
        active.collect()
    }

    /// Merges the conditions that came with the listed `upstreams`, and removes those of upstreams that
    /// have been missing for longer than the retention.
    pub fn apply_listing<'a>(
        &mut self,
        upstreams: impl Iterator<Item = &'a KnownUpstream>,
        now: Instant,
    ) {
        for known in upstreams {
            let name = &known.upstream.name;
            if let Some(condition) = known.condition {
                self.merge(name, condition, now);
            }
            if let Some(row) = self.rows.get_mut(name) {
                row.listed_at = now;
            }
        }
        self.rows.retain(|_, row| now < row.listed_at + RETENTION);
    }
}
