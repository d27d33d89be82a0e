//! Order among requests that compete for the engines of one owner.
//!
//! Within a rank, the room of the engines is shared between flows: workspaces, or routes where there are
//! none. Work is counted in tokens to read and to generate. A flow within its share may wait in an engine
//! as long as its first token can be on time. A flow above its share, and a request whose first token
//! will be late in any case, are begun only where one that arrives next can still be on time. A flow that got
//! nothing for as long as its requests may take goes before both.

use crate::name::WorkspaceName;
use std::{collections::HashMap, time::Duration};
use tokio::time::Instant;

/// Half-life of the weight of past work.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// Fraction of the target within which the first token is predicted if it is to be on time; the rest
/// covers errors of the prediction and the way to the caller.
const ON_TIME_FRACTION: f64 = 0.9;

/// Number of flows from which those without recent work are dropped.
const MAX_FLOWS: usize = 1_024;

/// Work below which a flow is dropped, in tokens.
const MIN_WORK: f64 = 1.0;

/// What competes for engines as one: the requests of a workspace, or of a route if it has none, that
/// have the same rank.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct FlowKey {
    /// Rank; 0 goes first.
    pub rank: u8,
    /// Workspace, if the request has one.
    pub workspace: Option<WorkspaceName>,
    /// Target time of the route, which tells routes without workspaces apart, in milliseconds.
    pub target_ms: u64,
}

/// Recent work of a flow.
#[derive(Debug, Clone)]
struct FlowWork {
    /// Tokens of requests that were asked for, each counted once.
    asked: f64,
    /// Tokens of requests that were granted.
    granted: f64,
    updated_at: Instant,
    /// Time of the first refusal since the last grant.
    refused_since: Option<Instant>,
}

impl FlowWork {
    fn decay(&mut self, now: Instant) {
        let halves = (now - self.updated_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let kept = (-halves).exp2();
        self.asked *= kept;
        self.granted *= kept;
        self.updated_at = now;
    }
}

/// Standing of a request among those that compete with it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FlowStanding {
    /// Its flow is within its share.
    Within,
    /// Its flow is above its share.
    Above,
    /// Its flow got nothing for as long as its requests may take.
    Starved,
}

/// Predicted times of a request in one engine, in milliseconds.
#[derive(Debug, Clone, Copy)]
pub struct BeginTimes {
    /// Time since the request arrived.
    pub elapsed_ms: f64,
    /// Target time from the arrival to the first token.
    pub target_ms: f64,
    /// Time until the engine would begin to read the prompt.
    pub wait_ms: f64,
    /// Time to the first token.
    pub first_token_ms: f64,
    /// Time to the first token of a request like this one that arrives right after it.
    pub next_first_token_ms: f64,
}

impl BeginTimes {
    /// Time until the engine has room for the request, in milliseconds; 0 if it may begin now.
    pub fn excess_ms(&self, standing: FlowStanding) -> f64 {
        let on_time_ms = self.target_ms * ON_TIME_FRACTION;
        let late_ms = self.first_token_ms - (on_time_ms - self.elapsed_ms);
        // An idle engine has room for any request, however long it takes to read.
        let spare_ms = (self.next_first_token_ms - on_time_ms).min(self.wait_ms).max(0.0);
        match standing {
            FlowStanding::Starved => 0.0,
            FlowStanding::Within if late_ms <= 0.0 => 0.0,
            FlowStanding::Within | FlowStanding::Above => spare_ms,
        }
    }
}

/// Recent work of all flows at one owner.
#[derive(Debug, Clone, Default)]
pub struct FairOrder {
    flows: HashMap<FlowKey, FlowWork>,
}

impl FairOrder {
    /// Records that `tokens` of work are asked for.
    pub fn note_asked(&mut self, key: &FlowKey, tokens: f64, now: Instant) {
        self.flow(key, now).asked += tokens;
    }

    /// Records a grant of `tokens` of work.
    pub fn note_granted(&mut self, key: &FlowKey, tokens: f64, now: Instant) {
        let flow = self.flow(key, now);
        flow.granted += tokens;
        flow.refused_since = None;
    }

    /// Records a refusal.
    pub fn note_refused(&mut self, key: &FlowKey, now: Instant) {
        self.flow(key, now).refused_since.get_or_insert(now);
    }

    fn flow(&mut self, key: &FlowKey, now: Instant) -> &mut FlowWork {
        if self.flows.len() >= MAX_FLOWS {
            self.flows.retain(|_, flow| {
                flow.decay(now);
                flow.asked + flow.granted >= MIN_WORK
            });
        }
        let empty = || FlowWork { asked: 0.0, granted: 0.0, updated_at: now, refused_since: None };
        let flow = self.flows.entry(key.clone()).or_insert_with(empty);
        flow.decay(now);
        flow
    }

    /// Standing of the flow `key`, whose requests may take `limit`.
    pub fn standing(&mut self, key: &FlowKey, limit: Duration, now: Instant) -> FlowStanding {
        let flow = self.flow(key, now);
        if flow.refused_since.is_some_and(|since| now >= since + limit) {
            return FlowStanding::Starved;
        }
        let granted = flow.granted;
        let same_rank = self.flows.iter_mut().filter(|(other, _)| other.rank == key.rank);
        let mut asked = Vec::new();
        let mut capacity = 0.0;
        for (_, flow) in same_rank {
            flow.decay(now);
            asked.push(flow.asked.max(flow.granted));
            capacity += flow.granted;
        }
        match granted > fair_share(&mut asked, capacity) {
            true => FlowStanding::Above,
            false => FlowStanding::Within,
        }
    }
}

/// Largest amount that any flow gets if `capacity` is shared so that none gets more than it asked for and
/// what some leave goes to the others in equal parts; infinite if all get what they asked for.
fn fair_share(asked: &mut [f64], mut capacity: f64) -> f64 {
    asked.sort_unstable_by(f64::total_cmp);
    for (index, asked_here) in asked.iter().enumerate() {
        let share = capacity / (asked.len() - index) as f64;
        if *asked_here > share {
            return share;
        }
        capacity -= asked_here;
    }
    f64::INFINITY
}
