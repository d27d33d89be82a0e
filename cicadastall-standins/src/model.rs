//! Discrete-event simulation of one model engine: continuous batching with prefill and decode
//! rates, limited KV memory, a prefix cache, priorities, preemption and cancellation.
//!
//! One prompt is prefilled at a time and shares the accelerator with the decoding batch. Simulated
//! time advances only in [`EngineModel::advance`], so that a day is simulated in seconds.

use crate::cache::PrefixCache;
use cicadastall::table::{LoadReport, UpstreamRates};
use std::{sync::Arc, time::Duration};
use tokio::time::Instant;

/// Share of the accelerator that prefill uses while other requests decode.
const PREFILL_SHARE: f64 = 0.5;

/// Jobs with a priority number below this limit are reported as urgent.
const URGENT_PRIORITY_LIMIT: i32 = 5;

/// Remaining tokens at or below which a stage counts as finished; absorbs rounding errors.
const TOKEN_EPSILON: f64 = 1e-6;

/// Request submitted to the engine.
#[derive(Debug, Clone)]
pub struct ModelJob {
    /// Number of the attempt.
    pub id: u64,
    /// Scheduling priority; lower numbers run first.
    pub priority: i32,
    /// Chained hashes of the prompt's blocks.
    pub blocks: Arc<[u64]>,
    /// Tokens to prefill: the prompt, and the received part of an answer that is resumed.
    pub prompt_tokens: u32,
    /// Tokens still to be generated.
    pub answer_tokens: u32,
}

/// Progress of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum JobEvent {
    /// The prompt was processed.
    FirstToken {
        /// Number of the attempt.
        id: u64,
        /// Prompt tokens that were in the prefix cache.
        cached_tokens: u32,
    },
    /// The answer is complete.
    Finished {
        /// Number of the attempt.
        id: u64,
    },
}

/// Job that waits, is prefilled or decodes.
#[derive(Debug, Clone)]
struct ActiveJob {
    job: ModelJob,
    arrival: u64,
    prefill_left: f64,
    answer_left: f64,
    cached_tokens: u32,
    /// Whether the cached prefix was looked up since the job was submitted or preempted.
    started: bool,
    first_token_sent: bool,
}

impl ActiveJob {
    fn kv_tokens(&self) -> u64 {
        u64::from(self.job.prompt_tokens) + u64::from(self.job.answer_tokens)
    }

    fn is_urgent(&self) -> bool {
        self.job.priority < URGENT_PRIORITY_LIMIT
    }

    fn scheduling_key(&self) -> (i32, u64) {
        (self.job.priority, self.arrival)
    }
}

/// Simulated model engine.
#[derive(Debug, Clone)]
pub struct EngineModel {
    rates: UpstreamRates,
    speed: f64,
    clock: Instant,
    arrivals: u64,
    waiting: Vec<ActiveJob>,
    prefilling: Option<ActiveJob>,
    decoding: Vec<ActiveJob>,
    cache: PrefixCache,
    busy: Duration,
}

impl EngineModel {
    /// Creates an idle engine with an empty cache whose clock starts at `now`.
    pub fn new(rates: UpstreamRates, now: Instant) -> Self {
        Self {
            rates,
            speed: 1.0,
            clock: now,
            arrivals: 0,
            waiting: Vec::new(),
            prefilling: None,
            decoding: Vec::new(),
            cache: PrefixCache::default(),
            busy: Duration::ZERO,
        }
    }

    /// Rates that the engine announces.
    pub fn rates(&self) -> &UpstreamRates {
        &self.rates
    }

    /// Sets the actual speed as a factor of the announced rates. The engine must have been advanced
    /// to the current time.
    pub fn set_speed(&mut self, speed: f64) {
        self.speed = speed;
    }

    /// Total time during which the accelerator was in use.
    pub fn busy(&self) -> Duration {
        self.busy
    }

    /// Whether no job runs or waits.
    pub fn is_idle(&self) -> bool {
        self.waiting.is_empty() && self.prefilling.is_none() && self.decoding.is_empty()
    }

    /// Submits a job. The engine must have been advanced to the current time.
    pub fn submit(&mut self, job: ModelJob) {
        self.arrivals += 1;
        let active = ActiveJob {
            arrival: self.arrivals,
            prefill_left: 0.0,
            answer_left: f64::from(job.answer_tokens),
            cached_tokens: 0,
            started: false,
            first_token_sent: false,
            job,
        };
        self.enqueue(active);
        self.schedule();
    }

    /// Cancels a job, if it is present. The engine must have been advanced to the current time.
    pub fn cancel(&mut self, id: u64) {
        self.waiting.retain(|active| active.job.id != id);
        self.decoding.retain(|active| active.job.id != id);
        self.prefilling.take_if(|active| active.job.id == id);
        self.schedule();
    }

    /// Simulates a crash: drops all jobs and the cache, resets the speed, and returns the sorted
    /// numbers of the lost attempts.
    pub fn crash(&mut self) -> Vec<u64> {
        let jobs = self.waiting.iter().chain(&self.prefilling).chain(&self.decoding);
        let mut lost_ids: Vec<_> = jobs.map(|active| active.job.id).collect();
        lost_ids.sort_unstable();
        *self = Self { busy: self.busy, ..Self::new(self.rates.clone(), self.clock) };
        lost_ids
    }

    /// Evicts all blocks from the prefix cache.
    pub fn clear_cache(&mut self) {
        self.cache.evict_to(0);
    }

    /// Time of the next event, unless a job is submitted or cancelled before; `None` if the engine
    /// is idle.
    pub fn next_event(&self) -> Option<Instant> {
        let left = self.seconds_to_event()?;
        // Rounded up; otherwise the event could stay just ahead of the clock forever.
        Some(self.clock + Duration::from_secs_f64(left) + Duration::from_nanos(1))
    }

    /// Advances simulated time to `now` and returns the events in order of time.
    pub fn advance(&mut self, now: Instant) -> Vec<JobEvent> {
        let mut events = Vec::new();
        while self.clock < now {
            let Some(left) = self.seconds_to_event() else {
                self.clock = now;
                break;
            };
            let step = Duration::from_secs_f64(left).min(now.duration_since(self.clock));
            self.progress(step.as_secs_f64().max(left.min(1e-9)));
            self.busy += step;
            self.clock += step.max(Duration::from_nanos(1)).min(now.duration_since(self.clock));
            self.finish_stages(&mut events);
        }
        events
    }

    /// Current load with the next batch of cache events.
    pub fn report(&mut self) -> LoadReport {
        let running = || self.decoding.iter().chain(&self.prefilling);
        let queued = || self.waiting.iter().chain(&self.prefilling);
        let tokens = |active: &ActiveJob| {
            if active.started {
                active.prefill_left as u64
            } else {
                u64::from(active.job.prompt_tokens)
            }
        };
        let urgent = |active: &&ActiveJob| active.is_urgent();
        LoadReport {
            running: running().count() as u32,
            queued: self.waiting.len() as u32,
            queued_prompt_tokens: queued().map(tokens).sum(),
            kv_used_tokens: running().map(ActiveJob::kv_tokens).sum(),
            urgent_running: running().filter(urgent).count() as u32,
            urgent_queued: self.waiting.iter().filter(urgent).count() as u32,
            urgent_prompt_tokens: queued().filter(urgent).map(tokens).sum(),
            cache: self.cache.next_batch(),
        }
    }

    fn prefill_rate(&self) -> f64 {
        let share = if self.decoding.is_empty() { 1.0 } else { PREFILL_SHARE };
        self.rates.prefill_tokens_per_s * self.speed * share
    }

    /// Tokens per second of each decoding request.
    fn decode_rate(&self) -> f64 {
        let share = if self.prefilling.is_some() { 1.0 - PREFILL_SHARE } else { 1.0 };
        // A batch below a quarter of the maximum does not saturate the accelerator.
        let batch = self.decoding.len().max(self.rates.max_running as usize / 4).max(1);
        self.rates.decode_tokens_per_s * self.speed * share / batch as f64
    }

    fn seconds_to_event(&self) -> Option<f64> {
        let prefill =
            self.prefilling.as_ref().map(|active| active.prefill_left / self.prefill_rate());
        let shortest = self.decoding.iter().map(|active| active.answer_left).reduce(f64::min);
        let decode = shortest.map(|left| left / self.decode_rate());
        let left = [prefill, decode].into_iter().flatten().reduce(f64::min)?;
        Some(left.max(0.0))
    }

    fn progress(&mut self, seconds: f64) {
        let prefilled = seconds * self.prefill_rate();
        let decoded = seconds * self.decode_rate();
        if let Some(active) = &mut self.prefilling {
            active.prefill_left -= prefilled;
        }
        for active in &mut self.decoding {
            active.answer_left -= decoded;
        }
    }

    fn finish_stages(&mut self, events: &mut Vec<JobEvent>) {
        let mut changed = false;
        let finished = |active: &mut ActiveJob| active.answer_left <= TOKEN_EPSILON;
        for active in self.decoding.extract_if(.., finished) {
            events.push(JobEvent::Finished { id: active.job.id });
            changed = true;
        }
        if let Some(mut active) = self.prefilling.take_if(|a| a.prefill_left <= TOKEN_EPSILON) {
            let (id, cached_tokens) = (active.job.id, active.cached_tokens);
            if !active.first_token_sent {
                events.push(JobEvent::FirstToken { id, cached_tokens });
                active.first_token_sent = true;
            }
            let blocks = Arc::clone(&active.job.blocks);
            self.decoding.push(active);
            self.cache.store(&blocks, self.free_kv_tokens());
            changed = true;
        }
        if changed {
            self.schedule();
        }
    }

    fn free_kv_tokens(&self) -> u64 {
        let held: u64 =
            self.decoding.iter().chain(&self.prefilling).map(ActiveJob::kv_tokens).sum();
        self.rates.kv_tokens.saturating_sub(held)
    }

    fn enqueue(&mut self, active: ActiveJob) {
        let key = active.scheduling_key();
        let index = self.waiting.partition_point(|waiting| waiting.scheduling_key() < key);
        self.waiting.insert(index, active);
    }

    /// Starts to prefill the first waiting job if there is room for it, and preempts jobs of lower
    /// priority to make room.
    fn schedule(&mut self) {
        let Some(head) = self.waiting.first() else { return };
        let priority = head.job.priority;
        let kv_needed = head.kv_tokens();
        if self.prefilling.as_ref().is_some_and(|active| active.job.priority <= priority) {
            return;
        }
        if let Some(active) = self.prefilling.take() {
            self.enqueue(active);
        }
        while !self.has_room(kv_needed) {
            let is_lower = |active: &ActiveJob| active.job.priority > priority;
            let Some(index) = self.decoding.iter().rposition(is_lower) else { return };
            self.preempt(index);
        }
        let mut active = self.waiting.remove(0);
        if !active.started {
            active.started = true;
            active.cached_tokens =
                self.cache.match_prefix(&active.job.blocks).min(active.job.prompt_tokens - 1);
            active.prefill_left = f64::from(active.job.prompt_tokens - active.cached_tokens);
        }
        self.prefilling = Some(active);
        self.cache.evict_to(self.free_kv_tokens());
    }

    fn has_room(&self, kv_needed: u64) -> bool {
        let has_slot = self.decoding.len() < self.rates.max_running as usize;
        has_slot && (self.free_kv_tokens() >= kv_needed || self.decoding.is_empty())
    }

    /// Returns a decoding job to the queue; its prompt and the tokens generated so far are
    /// prefilled again.
    fn preempt(&mut self, index: usize) {
        let mut active = self.decoding.remove(index);
        let generated = f64::from(active.job.answer_tokens) - active.answer_left;
        active.job.prompt_tokens += generated as u32;
        active.job.answer_tokens -= generated as u32;
        active.started = false;
        self.enqueue(active);
    }
}
