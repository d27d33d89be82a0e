//! Durable record of the upstreams whose withdrawal control has acknowledged.
//!
//! An upstream withdraws when it reports that it is leaving, or deregisters. The record is part of the
//! replicated state, so that a late renewal does not undo a withdrawal after control has restarted.

use crate::{
    gateway::knowledge::fleet_update::{RegisteredUpstream, UpstreamPhase},
    name::UpstreamName,
};
use serde::{Deserialize, Serialize};
use std::{collections::VecDeque, sync::Arc};

/// Maximum number of recorded withdrawals; the oldest are removed first. A late renewal arrives within
/// seconds, in which far fewer upstreams withdraw.
pub const MAX_WITHDRAWALS: usize = 512;

/// The latest withdrawals, at most one for each name.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct WithdrawalRecord {
    /// Increases with each change.
    version: u64,
    /// The upstreams as they withdrew, oldest first.
    upstreams: VecDeque<Arc<RegisteredUpstream>>,
}

impl WithdrawalRecord {
    /// Increases with each change, so that states can be ordered.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Whether nothing was ever recorded.
    pub fn is_empty(&self) -> bool {
        self.version == 0
    }

    /// The upstreams as they withdrew, oldest first.
    pub fn upstreams(&self) -> impl Iterator<Item = &Arc<RegisteredUpstream>> {
        self.upstreams.iter()
    }

    /// Records the withdrawal of `upstream`, unless it is covered. An upstream that is serving is
    /// ignored.
    pub fn insert(&mut self, upstream: &RegisteredUpstream) {
        if upstream.phase == UpstreamPhase::Serving || self.covers(upstream) {
            return;
        }
        self.upstreams.retain(|known| known.name != upstream.name);
        if self.upstreams.len() >= MAX_WITHDRAWALS {
            self.upstreams.pop_front();
        }
        self.upstreams.push_back(Arc::new(upstream.clone()));
        self.version += 1;
    }

    /// Whether the withdrawal of `upstream`, or a later one of the same name, is recorded.
    pub fn covers(&self, upstream: &RegisteredUpstream) -> bool {
        let rank = |upstream: &RegisteredUpstream| {
            (upstream.started_ms, upstream.phase == UpstreamPhase::Gone)
        };
        self.find(&upstream.name).is_some_and(|known| rank(known) >= rank(upstream))
    }

    /// The withdrawal of `name`, if one is recorded.
    pub fn find(&self, name: &UpstreamName) -> Option<&Arc<RegisteredUpstream>> {
        self.upstreams.iter().find(|known| known.name == *name)
    }
}
