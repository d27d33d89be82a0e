//! Admission: which requests are taken when not all can be answered within their targets.
//!
//! A request is taken if its predicted time to first token is within its limit. The limit is the
//! target, less for a workspace and kind that has had more than its share lately, so that the
//! others still find room. Patient work keeps a small share that runs as if it were urgent.
//! Whatever is not taken is refused at once, with a time to come back.

use crate::{
    answer::{Refusal, RefusalCode},
    decode::RequestPlan,
    name::{KindName, PoolName, WorkspaceName},
    route::prediction::{FirstTokenLimit, Prediction},
    settings::Rank,
};
use rand::{Rng, RngExt};
use std::{collections::BTreeMap, time::Duration};
use tokio::time::Instant;

/// Part of the target that a prediction may use, as predictions are late and uncertain.
const TARGET_FRACTION: f64 = 0.9;

/// Part of its deadline for which patient work may wait; it is of use even when late.
const PATIENT_DEADLINE_FRACTION: f64 = 0.5;

/// Part of an upstream's places that patient work may take, so that urgent work finds one without
/// preempting, which costs the patient prompt again.
const PATIENT_SLOT_FRACTION: f64 = 0.5;

/// Load of urgent work, as a part of the capacity, above which patient work gets no more than its
/// guaranteed share.
const URGENT_SATURATION_LOAD: f64 = 0.9;

/// Part of an upstream's places that urgent flows above their share may take, so that one request
/// more than the report showed is not late and the other flows find a place.
const OVER_SHARE_SLOT_FRACTION: f64 = 0.75;

/// Loads between which shares begin to count and count in full, as parts of the capacity.
const FAIRNESS_LOAD_RANGE: (f64, f64) = (0.6, 0.9);

/// Smallest part of its limit that is left to a flow far above its share.
const MIN_FAIRNESS: f64 = 0.35;

/// Part of its limit below which a flow is above its share: it keeps to its own region, and an idle
/// upstream is no reason to take more of it.
const WITHIN_SHARE_FAIRNESS: f64 = 0.6;

/// Time after which work that was taken counts half.
const USAGE_HALF_LIFE: Duration = Duration::from_secs(10);

/// Time without a request after which a flow no longer counts among those that share.
const FLOW_IDLE: Duration = Duration::from_secs(60);

/// Share of the capacity that patient work gets even where urgent work could use all of it.
const PATIENT_SHARE: f64 = 0.03;

/// Most work that the share of patient work saves up, in seconds of the whole zone.
const PATIENT_BURST_S: f64 = 1.0;

/// Earliest and latest time to come back after a refusal.
const RETRY_AFTER_RANGE: (Duration, Duration) =
    (Duration::from_millis(500), Duration::from_secs(30));

/// What becomes of a request that would be late.
#[derive(Debug, Clone, PartialEq)]
pub enum Admission {
    /// Sent as if it were urgent, out of the share of patient work.
    Promote,
    /// Answered at once.
    Refuse(Refusal),
}

/// Capacity that the decision is about.
#[derive(Debug, Clone, Copy, Default)]
pub struct ZoneCapacity {
    /// Upstreams that may run the request.
    pub upstreams: usize,
    /// Entries that share them.
    pub entries: usize,
}

impl ZoneCapacity {
    /// Seconds of work per second that this entry may count on.
    fn own_rate(&self) -> f64 {
        self.upstreams as f64 / self.entries.max(1) as f64
    }
}

#[derive(Debug, Clone)]
struct FlowUsage {
    share: f64,
    work_s: f64,
    counted_at: Instant,
    next_retry_at: Instant,
}

#[derive(Debug, Clone)]
struct PatientBucket {
    level_s: f64,
    filled_at: Instant,
}

/// All flows of one pool and rank, with their sums.
#[derive(Debug, Clone)]
struct FlowGroup {
    flows: BTreeMap<(WorkspaceName, KindName), FlowUsage>,
    shares: f64,
    work_s: f64,
    counted_at: Instant,
    pruned_at: Instant,
}

impl FlowGroup {
    fn new(now: Instant) -> Self {
        Self { flows: BTreeMap::new(), shares: 0.0, work_s: 0.0, counted_at: now, pruned_at: now }
    }

    fn work_s(&self, now: Instant) -> f64 {
        decay_work(self.work_s, self.counted_at, now)
    }

    fn add_work(&mut self, work_s: f64, now: Instant) {
        self.work_s = self.work_s(now) + work_s;
        self.counted_at = now;
        if now.saturating_duration_since(self.pruned_at) > FLOW_IDLE {
            self.pruned_at = now;
            self.flows.retain(|_, flow| now.saturating_duration_since(flow.counted_at) < FLOW_IDLE);
            self.shares = self.flows.values().map(|flow| flow.share).sum();
        }
    }
}

/// Admission state of one entry.
#[derive(Debug, Clone, Default)]
pub struct AdmissionController {
    reserve: bool,
    groups: BTreeMap<(PoolName, Rank), FlowGroup>,
    patient: BTreeMap<PoolName, PatientBucket>,
}

impl AdmissionController {
    /// A gate that leaves room for urgent work and for flows within their share if `reserve`.
    pub fn new(reserve: bool) -> Self {
        Self { reserve, ..Self::default() }
    }

    /// Longest predicted time to first token with which the request is taken.
    pub fn limit(
        &self,
        plan: &RequestPlan,
        capacity: ZoneCapacity,
        now: Instant,
    ) -> FirstTokenLimit {
        let fairness = self.fairness(plan, capacity, now);
        let full = match plan.rank {
            Rank::Urgent => plan.first_token.mul_f64(TARGET_FRACTION),
            Rank::Patient => plan.first_token.max(plan.deadline.mul_f64(PATIENT_DEADLINE_FRACTION)),
        };
        let within_share = fairness >= WITHIN_SHARE_FAIRNESS;
        let slot_fraction = match plan.rank {
            Rank::Urgent if within_share || !self.reserve => f64::INFINITY,
            Rank::Urgent => OVER_SHARE_SLOT_FRACTION,
            Rank::Patient => self.patient_slot_fraction(&plan.pool, capacity, now),
        };
        FirstTokenLimit { first_token: full.mul_f64(fairness), within_share, slot_fraction }
    }

    fn patient_slot_fraction(&self, pool: &PoolName, capacity: ZoneCapacity, now: Instant) -> f64 {
        let saturated = self.load(pool, Rank::Urgent, capacity, now) > URGENT_SATURATION_LOAD;
        if self.reserve && saturated { 0.0 } else { PATIENT_SLOT_FRACTION }
    }

    /// Counts the work of a request that is sent.
    pub fn record_sent(&mut self, plan: &RequestPlan, work: Duration, now: Instant) {
        let work_s = work.as_secs_f64();
        let flow = self.flow(plan, now);
        flow.work_s = decay_work(flow.work_s, flow.counted_at, now) + work_s;
        flow.counted_at = now;
        if let Some(group) = self.groups.get_mut(&(plan.pool.clone(), plan.rank)) {
            group.add_work(work_s, now);
        }
    }

    /// Decides on a request whose best prediction exceeds its limit.
    pub fn decide_over_limit(
        &mut self,
        plan: &RequestPlan,
        prediction: &Prediction,
        capacity: ZoneCapacity,
        rng: &mut impl Rng,
        now: Instant,
    ) -> Admission {
        let work = prediction.work();
        if plan.rank == Rank::Patient && self.take_patient_share(&plan.pool, work, capacity, now) {
            return Admission::Promote;
        }
        let fairness = self.fairness(plan, capacity, now);
        let code = if fairness < 1.0 && prediction.first_token < plan.first_token {
            RefusalCode::WorkspaceLimit
        } else {
            RefusalCode::Overloaded
        };
        let wait = prediction.first_token.as_millis();
        let message = format!("the first token would take {wait} ms");
        let delay = self.schedule_retry(plan, work, capacity, rng, now);
        Admission::Refuse(Refusal::not_run(code, message).retry_after(delay))
    }

    /// Part of its limit that the request's workspace and kind may use, from
    /// [`MIN_FAIRNESS`] to 1.
    fn fairness(&self, plan: &RequestPlan, capacity: ZoneCapacity, now: Instant) -> f64 {
        let Some(group) = self.groups.get(&(plan.pool.clone(), plan.rank)) else { return 1.0 };
        let key = (plan.workspace.clone(), plan.kind.clone());
        let Some(own) = group.flows.get(&key) else { return 1.0 };
        let own_usage = decay_work(own.work_s, own.counted_at, now) / own.share;
        if own_usage <= 0.0 {
            return 1.0;
        }
        let usage = group.work_s(now) / group.shares;
        let pressure = self.pressure(plan, capacity, now);
        let fair = (usage / own_usage).clamp(MIN_FAIRNESS, 1.0);
        1.0 - pressure * (1.0 - fair)
    }

    /// How far shares count, from 0 to 1, by the work of the request's rank and of ranks before it.
    fn pressure(&self, plan: &RequestPlan, capacity: ZoneCapacity, now: Instant) -> f64 {
        let load = self.load(&plan.pool, plan.rank, capacity, now);
        ((load - FAIRNESS_LOAD_RANGE.0) / (FAIRNESS_LOAD_RANGE.1 - FAIRNESS_LOAD_RANGE.0))
            .clamp(0.0, 1.0)
    }

    /// Work of `rank` and of ranks before it that this entry sent lately, as a part of the capacity
    /// that it may count on.
    fn load(&self, pool: &PoolName, rank: Rank, capacity: ZoneCapacity, now: Instant) -> f64 {
        let urgent = (pool.clone(), Rank::Urgent);
        let own = (pool.clone(), rank);
        let groups = self.groups.range(urgent..=own);
        let work_s: f64 = groups.map(|(_, group)| group.work_s(now)).sum();
        let mean_life = USAGE_HALF_LIFE.as_secs_f64() / std::f64::consts::LN_2;
        work_s / mean_life / capacity.own_rate()
    }

    /// Part of the requests finished since a report whose places the zone's other entries are taken
    /// to have filled again, supposing that they send as much as this one.
    pub fn refill_fraction(&self, plan: &RequestPlan, capacity: ZoneCapacity, now: Instant) -> f64 {
        let others = 1.0 - 1.0 / capacity.entries.max(1) as f64;
        others * self.load(&plan.pool, plan.rank, capacity, now).min(1.0)
    }

    fn flow(&mut self, plan: &RequestPlan, now: Instant) -> &mut FlowUsage {
        let group = self.groups.entry((plan.pool.clone(), plan.rank));
        let group = group.or_insert_with(|| FlowGroup::new(now));
        let key = (plan.workspace.clone(), plan.kind.clone());
        let share = plan.share.max(f64::MIN_POSITIVE);
        let new = FlowUsage { share: 0.0, work_s: 0.0, counted_at: now, next_retry_at: now };
        let flow = group.flows.entry(key).or_insert(new);
        group.shares += share - flow.share;
        flow.share = share;
        flow
    }

    /// Takes the work out of the patient share if that is not used up.
    fn take_patient_share(
        &mut self,
        pool: &PoolName,
        work: Duration,
        capacity: ZoneCapacity,
        now: Instant,
    ) -> bool {
        let rate = PATIENT_SHARE * capacity.own_rate();
        let full = PATIENT_BURST_S * capacity.own_rate();
        let new = PatientBucket { level_s: full, filled_at: now };
        let bucket = self.patient.entry(pool.clone()).or_insert(new);
        let elapsed = now.saturating_duration_since(bucket.filled_at).as_secs_f64();
        bucket.level_s = (bucket.level_s + elapsed * rate).min(full);
        bucket.filled_at = now;
        let taken = bucket.level_s > 0.0;
        if taken {
            // The level may fall below zero, so that a long request isn't shut out for ever.
            bucket.level_s -= work.as_secs_f64();
        }
        taken
    }

    /// Time to come back: returns of one flow are spread at the rate at which its share of the
    /// capacity could serve them.
    fn schedule_retry(
        &mut self,
        plan: &RequestPlan,
        work: Duration,
        capacity: ZoneCapacity,
        rng: &mut impl Rng,
        now: Instant,
    ) -> Duration {
        let group = self.groups.get(&(plan.pool.clone(), plan.rank));
        let flows = group.map_or(1, |group| group.flows.len().max(1)) as f64;
        let interval = work.as_secs_f64() * flows / capacity.own_rate().max(f64::MIN_POSITIVE);
        let flow = self.flow(plan, now);
        let (earliest, latest) = RETRY_AFTER_RANGE;
        let next = flow.next_retry_at.max(now + earliest);
        let interval = Duration::try_from_secs_f64(interval).unwrap_or(latest).min(latest);
        flow.next_retry_at = (next + interval).min(now + latest);
        let delay = next.saturating_duration_since(now);
        delay.mul_f64(rng.random_range(0.75..1.25))
    }
}

fn decay_work(work_s: f64, counted_at: Instant, now: Instant) -> f64 {
    let age = now.saturating_duration_since(counted_at).as_secs_f64();
    work_s * (-age / USAGE_HALF_LIFE.as_secs_f64()).exp2()
}
