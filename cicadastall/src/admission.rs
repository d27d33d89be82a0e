//! Admission control: which requests are admitted when the capacity does not suffice for all.
//!
//! A request is admitted if its predicted time to first token is within its limit. The limit is
//! derived from the target, and is lower for a flow that recently used more than its share, so that
//! capacity remains for the other flows. A flow is the requests of one workspace and kind. Patient
//! work has a small guaranteed share of the capacity, within which it runs at urgent priority.
//! Requests that are not admitted are refused immediately, with a time after which to retry.

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

/// Fraction of the target that a prediction may reach; the margin covers out-of-date load reports
/// and prediction errors.
const TARGET_FRACTION: f64 = 0.9;

/// Fraction of its deadline that patient work may wait; it is useful even after its target.
const PATIENT_DEADLINE_FRACTION: f64 = 0.5;

/// Fraction of an upstream's slots that patient work may occupy, so that urgent work finds a free
/// slot. Preempting patient work instead would mean processing its prompt again.
const PATIENT_SLOT_FRACTION: f64 = 0.5;

/// Urgent load, as a fraction of the capacity, above which patient work is limited to its
/// guaranteed share.
const URGENT_SATURATION_LOAD: f64 = 0.9;

/// Fraction of an upstream's slots that urgent flows above their share may occupy, so that one
/// request more than was reported is not late and the other flows find a free slot.
const OVER_SHARE_SLOT_FRACTION: f64 = 0.75;

/// Loads, as fractions of the capacity, at which shares start to affect limits and affect them
/// fully.
const FAIRNESS_LOAD_RANGE: (f64, f64) = (0.6, 0.9);

/// Minimum fairness: the fraction of its limit that remains for a flow far above its share.
const MIN_FAIRNESS: f64 = 0.35;

/// Fairness below which a flow counts as above its share. Such a flow is not forwarded while this
/// zone has upstreams for it, and the exception for idle upstreams does not apply to it.
const WITHIN_SHARE_FAIRNESS: f64 = 0.6;

/// Half-life of the work that was sent, for usage accounting.
const USAGE_HALF_LIFE: Duration = Duration::from_secs(10);

/// Time without a request after which a flow is removed and no longer counts for the shares.
const FLOW_IDLE: Duration = Duration::from_secs(60);

/// Fraction of the capacity guaranteed to patient work, even if urgent work could use all of it.
const PATIENT_SHARE: f64 = 0.03;

/// Maximum unused patient share that accumulates, in seconds of the whole capacity.
const PATIENT_BURST_S: f64 = 1.0;

/// Minimum and maximum time after which a refused request may be retried, before jitter.
const RETRY_AFTER_RANGE: (Duration, Duration) =
    (Duration::from_millis(500), Duration::from_secs(30));

/// Decision about a request that exceeds its limit.
#[derive(Debug, Clone, PartialEq)]
pub enum Admission {
    /// Send at urgent priority, charged to the share of patient work.
    Promote,
    /// Refuse immediately.
    Refuse(Refusal),
}

/// Capacity of the zone for a request.
#[derive(Debug, Clone, Copy, Default)]
pub struct ZoneCapacity {
    /// Upstreams that can run the request.
    pub upstreams: usize,
    /// Entries that share these upstreams, including this one.
    pub entries: usize,
}

impl ZoneCapacity {
    /// Share of this entry in the capacity, in seconds of work per second.
    fn own_rate(&self) -> f64 {
        self.upstreams as f64 / self.entries.max(1) as f64
    }
}

/// Decayed usage of one flow, relative to its share.
#[derive(Debug, Clone)]
struct FlowUsage {
    share: f64,
    work_s: f64,
    counted_at: Instant,
    next_retry_at: Instant,
}

/// Token bucket for the guaranteed share of patient work, in seconds of work.
#[derive(Debug, Clone)]
struct PatientBucket {
    level_s: f64,
    filled_at: Instant,
}

/// Flows of one pool and rank, with the sums of their shares and work.
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

/// Admission control of one entry.
#[derive(Debug, Clone, Default)]
pub struct AdmissionController {
    reserve: bool,
    groups: BTreeMap<(PoolName, Rank), FlowGroup>,
    patient: BTreeMap<PoolName, PatientBucket>,
}

impl AdmissionController {
    /// Creates a controller that, if `reserve` is set, reserves slots for urgent work and for flows
    /// within their share.
    pub fn new(reserve: bool) -> Self {
        Self { reserve, ..Self::default() }
    }

    /// Limits within which the request is admitted.
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

    /// Adds the work of a request that was sent to the usage of its flow.
    pub fn record_sent(&mut self, plan: &RequestPlan, work: Duration, now: Instant) {
        let work_s = work.as_secs_f64();
        let flow = self.flow(plan, now);
        flow.work_s = decay_work(flow.work_s, flow.counted_at, now) + work_s;
        flow.counted_at = now;
        if let Some(group) = self.groups.get_mut(&(plan.pool.clone(), plan.rank)) {
            group.add_work(work_s, now);
        }
    }

    /// Decides about a request whose prediction exceeds its limit.
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

    /// Fraction of its limit that the request's flow may use, from [`MIN_FAIRNESS`] to 1.
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

    /// Degree to which shares affect limits, from 0 to 1, according to [`Self::load`].
    fn pressure(&self, plan: &RequestPlan, capacity: ZoneCapacity, now: Instant) -> f64 {
        let load = self.load(&plan.pool, plan.rank, capacity, now);
        ((load - FAIRNESS_LOAD_RANGE.0) / (FAIRNESS_LOAD_RANGE.1 - FAIRNESS_LOAD_RANGE.0))
            .clamp(0.0, 1.0)
    }

    /// Recently sent work of `rank` and of more urgent ranks, as a fraction of the share of this
    /// entry in the capacity.
    fn load(&self, pool: &PoolName, rank: Rank, capacity: ZoneCapacity, now: Instant) -> f64 {
        let urgent = (pool.clone(), Rank::Urgent);
        let own = (pool.clone(), rank);
        let groups = self.groups.range(urgent..=own);
        let work_s: f64 = groups.map(|(_, group)| group.work_s(now)).sum();
        let mean_life = USAGE_HALF_LIFE.as_secs_f64() / std::f64::consts::LN_2;
        work_s / mean_life / capacity.own_rate()
    }

    /// Fraction of the slots freed since a report that the other entries of the zone are assumed to
    /// have filled again, supposing that each sends as much as this one.
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

    /// Takes the work from the patient share; false if the share is exhausted.
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
            // The level may fall below zero; otherwise a request longer than the bucket could never
            // run.
            bucket.level_s -= work.as_secs_f64();
        }
        taken
    }

    /// Time after which to retry. The retries of one flow are spread at the rate at which an equal
    /// part of the capacity among the flows could serve them, with jitter.
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

/// Work that remains at `now` of `work_s` counted at `counted_at`, after exponential decay.
fn decay_work(work_s: f64, counted_at: Instant, now: Instant) -> f64 {
    let age = now.saturating_duration_since(counted_at).as_secs_f64();
    work_s * (-age / USAGE_HALF_LIFE.as_secs_f64()).exp2()
}
