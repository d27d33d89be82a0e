//! Tracks the requests that an entry sent to one upstream, and the latency and failures it observed.

use crate::gateway::{
    decision::{
        call::{CallHead, PromptPart},
        finish_forecast::TokenPace,
        part_cache::PartCache,
        send_pace::SendPace,
    },
    knowledge::{
        pool_partition::PromptClass,
        upstream_speed::{LOADED_READ_TOKENS_PER_MS, SpanWork, SpeedEstimate, rated_step_ms},
    },
};
use serde::{Deserialize, Serialize};
use std::{collections::HashMap, time::Duration};
use tokio::time::Instant;

/// Assumed prefill rate of an engine, in tokens per millisecond. Measured latency corrects it through the
/// slowness of the upstream.
const DEFAULT_PREFILL_TOKENS_PER_MS: f64 = 30.0;

/// Time from the arrival of a fully cached prompt to the first token, in milliseconds.
const FIRST_TOKEN_OVERHEAD_MS: f64 = 45.0;

/// Assumed duration of a call to a plain service before any was measured, in milliseconds.
const DEFAULT_CALL_MS: f64 = 20.0;

/// Assumed duration of a stream before any was measured, in milliseconds.
const DEFAULT_STREAM_MS: f64 = 1_500.0;

/// Assumed time between two tokens before any was measured, in milliseconds.
const DEFAULT_TOKEN_INTERVAL_MS: f64 = 8.0;

/// Weight of one observation in a moving average.
const OBSERVATION_WEIGHT: f64 = 0.15;

/// Range to which one observation of slowness is clamped, relative to the prediction.
const SLOWNESS_RANGE: (f64, f64) = (0.3, 8.0);

/// Fraction of an overdue prompt that is assumed to be still waiting for prefill.
const OVERDUE_PREFILL_FRACTION: f64 = 0.3;

/// First backoff of an upstream that failed; it doubles with each failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(800);

/// Maximum number of doublings of [`INITIAL_BACKOFF`].
const MAX_BACKOFF_DOUBLINGS: u32 = 3;

/// Time for which a prompt part is assumed to stay cached after it was last sent.
const CACHED_PART_TTL: Duration = Duration::from_secs(60);

/// Prompt tokens after which a sample of the reading speed is taken while further prompts wait. Prompts that
/// are read in one step begin together, so a few of them say little.
const MAX_READ_TOKENS: f64 = 4_000.0;

/// Fewest prompt tokens of which a sample is taken. With fewer, delays of messages count more.
const MIN_READ_TOKENS: f64 = 500.0;

/// Time after it was last sent within which a prompt part is surely cached.
const SURE_PART_TTL: Duration = Duration::from_secs(4);

/// Time from the decision to send a request until an idle upstream begins to read it.
const SEND_DELAY: Duration = Duration::from_millis(5);

/// Shortest time from the begin of an answer to its end of which a sample is taken.
const MIN_MADE_TIME: Duration = Duration::from_millis(60);

/// Number of remembered prompt parts of one upstream from which older ones are dropped.
const MAX_CACHED_PARTS: usize = 4_096;

/// Identifies one request among those that an entry sent to upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct SendNumber(pub u64);

/// A request that was sent to an upstream and has not ended.
#[derive(Debug, Clone)]
pub struct OpenSend {
    /// Identifies the request.
    pub number: SendNumber,
    /// Time at which the request was sent.
    pub sent_at: Instant,
    /// Rank; 0 goes first.
    pub rank: u8,
    /// Class of the prompt.
    pub class: PromptClass,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Expected number of tokens of the answer.
    pub expected_tokens: u32,
    /// Time to prefill the uncached part of the prompt, in milliseconds, without slowness.
    pub prefill_ms: f64,
    /// Predicted time to the first token or the whole answer, in milliseconds, without slowness.
    pub predicted_ms: f64,
    /// Time at which the answer began.
    pub began_at: Option<Instant>,
}

/// How an attempt ended, as far as it says something about the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SendEnd {
    /// The answer is complete.
    Whole,
    /// The upstream answered with a failure of its own.
    Failed,
    /// The upstream refused the request.
    Refused,
    /// The upstream could not be reached, or the connection broke.
    Broken,
    /// The caller disconnected, or the gateway ended the attempt for a reason of its own.
    Cancelled,
}

/// Totals of an upstream when the answer to a request began.
#[derive(Debug, Clone, Copy)]
struct BegunMark {
    number: SendNumber,
    read: ReadTokens,
    running_ms: f64,
}

/// Prompt tokens that an upstream reads.
#[derive(Debug, Clone, Copy, Default)]
struct ReadTokens {
    /// Tokens that are not cached.
    sure: f64,
    /// Tokens that may have been evicted since they were cached.
    doubtful: f64,
}

impl ReadTokens {
    fn add(&mut self, other: Self) {
        self.sure += other.sure;
        self.doubtful += other.doubtful;
    }
}

/// Work of an upstream as far as its tracker knows of it, from which its speed is estimated.
#[derive(Debug, Clone, Default)]
struct WorkMeter {
    speed: SpeedEstimate,
    /// Prompt tokens that were read.
    read: ReadTokens,
    /// Prompt tokens of the requests whose answer has not begun.
    unread: Vec<(SendNumber, ReadTokens)>,
    /// Sum over the running requests of the time for which they have run, in milliseconds.
    running_ms: f64,
    updated_at: Option<Instant>,
    /// Start of the reading that is under way.
    read_since: Option<Instant>,
    /// Prompt tokens that were read since then.
    read_run: ReadTokens,
    begun: Vec<BegunMark>,
}

impl WorkMeter {
    /// Adds the time since the last update, in which `running` requests ran.
    fn advance(&mut self, running: usize, now: Instant) {
        let since = self.updated_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.running_ms += since.as_secs_f64() * 1_000.0 * running as f64;
        self.updated_at = self.updated_at.max(Some(now));
    }
}

/// Open requests and observations of one upstream process.
#[derive(Debug, Clone)]
pub struct UpstreamTracker {
    started_ms: u64,
    sends: Vec<OpenSend>,
    slowness: f64,
    answer_ms: Option<f64>,
    token_ms: f64,
    failures: u32,
    backoff_until: Option<Instant>,
    paused_until: Option<Instant>,
    answered_at: Option<Instant>,
    failure_rate: f64,
    parts: HashMap<u64, Instant>,
    pace: SendPace,
    cold_since: Option<Instant>,
    /// Measured work; `None` if the slowness is learned from first tokens alone.
    meter: Option<Box<WorkMeter>>,
    /// Memory of the engine, if its load is measured.
    memory: Option<PartCache>,
    token_pace: TokenPace,
}

impl UpstreamTracker {
    /// Creates an empty tracker of the process that started at `started_ms`, in milliseconds since the Unix
    /// epoch.
    pub fn new(started_ms: u64) -> Self {
        Self {
            started_ms,
            sends: Vec::new(),
            slowness: 1.0,
            answer_ms: None,
            token_ms: DEFAULT_TOKEN_INTERVAL_MS,
            failures: 0,
            backoff_until: None,
            paused_until: None,
            answered_at: None,
            failure_rate: 0.0,
            parts: HashMap::new(),
            pace: SendPace::default(),
            cold_since: None,
            meter: None,
            memory: None,
            token_pace: TokenPace::default(),
        }
    }

    /// Creates a tracker that measures the speed of the upstream, which starts at `speed`.
    pub fn measured(started_ms: u64, speed: f64) -> Self {
        let meter = WorkMeter { speed: SpeedEstimate::with_prior(speed), ..WorkMeter::default() };
        Self { meter: Some(Box::new(meter)), ..Self::new(started_ms) }
    }

    /// Whether the tracker measures the speed of the upstream.
    pub fn is_measured(&self) -> bool {
        self.meter.is_some()
    }

    /// Speed relative to the rated one; 1 if it is not measured.
    pub fn speed(&self) -> f64 {
        self.meter.as_ref().map_or(1.0, |meter| meter.speed.ratio())
    }

    /// Number of samples of the last seconds from which the speed is estimated.
    pub fn speed_samples(&self, now: Instant) -> usize {
        self.meter.as_ref().map_or(0, |meter| meter.speed.recent(now))
    }

    /// Records the speed that another process measured.
    pub fn note_told_speed(&mut self, speed: f64, now: Instant) {
        if let Some(meter) = &mut self.meter {
            meter.speed.set_prior(speed, now);
        }
    }

    /// Time to read `tokens` of a prompt without interruption, in milliseconds.
    pub fn read_ms(&self, tokens: u32) -> f64 {
        Self::prefill_ms(tokens) * self.slowness()
    }

    /// Time of a decode step beside `running` requests, in milliseconds.
    pub fn step_ms(&self, running: f64) -> f64 {
        rated_step_ms(running) / self.speed()
    }

    /// Keeps account of the engine's memory of `kv_tokens` from now on.
    pub fn measure_memory(&mut self, kv_tokens: u64) {
        self.memory.get_or_insert_with(|| PartCache::new(kv_tokens));
    }

    /// Memory of the engine, if its load is measured.
    pub fn memory(&self) -> Option<&PartCache> {
        self.memory.as_ref()
    }

    /// Time between two tokens by the load of the engine.
    pub fn token_pace(&self) -> &TokenPace {
        &self.token_pace
    }

    /// Start of the tracked process, in milliseconds since the Unix epoch.
    pub fn started_ms(&self) -> u64 {
        self.started_ms
    }

    /// Number of open requests.
    pub fn open(&self) -> usize {
        self.sends.len()
    }

    /// Mean number of prompt and answer tokens of the open requests and of `more`.
    pub fn mean_tokens(&self, more: &CallHead) -> f64 {
        let open = self.sends.iter().map(|send| send.prompt_tokens + send.expected_tokens);
        let sum = open.sum::<u32>() + more.prompt_tokens + more.expected_tokens();
        f64::from(sum) / (self.sends.len() + 1) as f64
    }

    /// Whether the tracker may be dropped: no request is open, and neither a backoff nor a pause is in
    /// force.
    pub fn is_idle(&self, now: Instant) -> bool {
        self.sends.is_empty() && !self.is_backing_off(now) && self.pause_end(now).is_none()
    }

    /// Remaining time to prefill the prompts of `rank` and of more urgent ranks, in milliseconds.
    ///
    /// Prompts also wait for those of other entries. Each is therefore assumed to be prefilled at the end
    /// of its predicted time, and an overdue one to be partly prefilled.
    pub fn backlog_ms(&self, rank: u8, now: Instant) -> f64 {
        if let Some(meter) = &self.meter {
            return self.measured_backlog_ms(meter, rank, now);
        }
        let waiting = self.sends.iter().filter(|send| send.began_at.is_none() && send.rank <= rank);
        let remaining_ms = waiting.map(|send| {
            let since_ms = (now - send.sent_at).as_secs_f64() * 1_000.0;
            let due_ms = send.predicted_ms * self.slowness - since_ms;
            let prefill_ms = send.prefill_ms * self.slowness;
            due_ms.clamp(prefill_ms * OVERDUE_PREFILL_FRACTION, prefill_ms)
        });
        remaining_ms.sum()
    }

    /// Like [`UpstreamTracker::backlog_ms`], for an upstream that reads one prompt after the other.
    fn measured_backlog_ms(&self, meter: &WorkMeter, rank: u8, now: Instant) -> f64 {
        let slowness = self.slowness();
        let waiting = self.sends.iter().filter(|send| send.began_at.is_none() && send.rank <= rank);
        let (sum_ms, first_ms) = waiting.fold((0.0, None), |(sum_ms, first_ms), send| {
            let prefill_ms = send.prefill_ms * slowness;
            (sum_ms + prefill_ms, first_ms.or(Some(prefill_ms)))
        });
        let read_ms = meter
            .read_since
            .map_or(0.0, |since| now.saturating_duration_since(since).as_secs_f64() * 1_000.0);
        let most_ms = first_ms.unwrap_or_default() * (1.0 - OVERDUE_PREFILL_FRACTION);
        sum_ms - read_ms.min(most_ms)
    }

    /// Time from the arrival of a prompt to its first token if the upstream is idle, in milliseconds.
    pub fn first_token_ms(&self, unread_tokens: u32) -> f64 {
        (FIRST_TOKEN_OVERHEAD_MS + f64::from(unread_tokens) / DEFAULT_PREFILL_TOKENS_PER_MS)
            * self.slowness()
    }

    /// Time to prefill `unread_tokens` at the assumed rate, in milliseconds.
    pub fn prefill_ms(unread_tokens: u32) -> f64 {
        f64::from(unread_tokens) / DEFAULT_PREFILL_TOKENS_PER_MS
    }

    /// Mean duration of a whole answer, in milliseconds.
    pub fn answer_ms(&self, stream: bool) -> f64 {
        let default = if stream { DEFAULT_STREAM_MS } else { DEFAULT_CALL_MS };
        self.answer_ms.unwrap_or(default)
    }

    /// Mean time between two tokens of an answer, in milliseconds.
    pub fn token_ms(&self) -> f64 {
        self.token_ms
    }

    /// Mean ratio of observed to predicted time.
    pub fn slowness(&self) -> f64 {
        match &self.meter {
            Some(meter) => {
                DEFAULT_PREFILL_TOKENS_PER_MS / (LOADED_READ_TOKENS_PER_MS * meter.speed.ratio())
            }
            None => self.slowness,
        }
    }

    /// Moving average of the fraction of answers that were failures of the upstream.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Whether the upstream gets no new work because of a recent failure or lack of room.
    pub fn is_backing_off(&self, now: Instant) -> bool {
        self.backoff_until.is_some_and(|until| now < until)
    }

    /// End of the pause that the upstream asked for, if it is still in force.
    pub fn pause_end(&self, now: Instant) -> Option<Instant> {
        self.paused_until.filter(|until| now < *until)
    }

    /// Whether the upstream answered within the last `bound`.
    pub fn has_answered(&self, bound: Duration, now: Instant) -> bool {
        self.answered_at.is_some_and(|at| now < at + bound)
    }

    /// Number of tokens of the leading `parts` that the upstream is assumed to have cached.
    pub fn cached_tokens(&self, parts: &[PromptPart], now: Instant) -> u32 {
        if let Some(memory) = &self.memory {
            return memory.cached_tokens(parts);
        }
        let is_cached = |part: &&PromptPart| {
            self.parts.get(&part.id).is_some_and(|at| now < *at + CACHED_PART_TTL)
        };
        parts.iter().take_while(is_cached).map(|part| part.tokens).sum()
    }

    /// Records whether the upstream is cold; returns since when it is known to be.
    pub fn note_cold_state(&mut self, cold: bool, now: Instant) -> Option<Instant> {
        match cold {
            true => Some(*self.cold_since.get_or_insert(now)),
            false => {
                self.cold_since = None;
                None
            }
        }
    }

    /// Times of the requests to the upstream while it tolerates a limited rate.
    pub(in crate::gateway) fn pace(&mut self) -> &mut SendPace {
        &mut self.pace
    }

    /// Records a request that is sent, with all `parts` of its prompt.
    pub fn note_sent(&mut self, send: OpenSend, parts: &[PromptPart]) {
        if let Some(memory) = &mut self.memory {
            memory.note_sent(send.number, parts, send.expected_tokens);
            self.sends.push(send);
            return;
        }
        let parts = parts.split_last().map_or(&[][..], |(_, shared)| shared);
        if self.parts.len() >= MAX_CACHED_PARTS {
            let now = send.sent_at;
            self.parts.retain(|_, at| now < *at + CACHED_PART_TTL / 2);
        }
        let unread = self.unread_tokens(&send, parts);
        for part in parts {
            self.parts.insert(part.id, send.sent_at);
        }
        let running = self.running();
        if let Some(meter) = &mut self.meter {
            meter.advance(running, send.sent_at);
            if send.began_at.is_none() {
                meter.unread.push((send.number, unread));
                meter.read_since.get_or_insert(send.sent_at);
            }
        }
        self.sends.push(send);
    }

    /// Prompt tokens that the upstream reads for `send`, which begins with the shared `parts`.
    fn unread_tokens(&self, send: &OpenSend, parts: &[PromptPart]) -> ReadTokens {
        let total = f64::from(send.prompt_tokens);
        if parts.is_empty() {
            let sure = send.prefill_ms * DEFAULT_PREFILL_TOKENS_PER_MS;
            return ReadTokens { sure, doubtful: (total - sure).max(0.0) };
        }
        let now = send.sent_at;
        let cached_until = |bound: Duration| {
            let is_cached =
                |part: &&PromptPart| self.parts.get(&part.id).is_some_and(|at| now < *at + bound);
            let cached = parts.iter().take_while(is_cached).map(|part| part.tokens);
            f64::from(cached.sum::<u32>())
        };
        let (cached, sure) = (cached_until(CACHED_PART_TTL), cached_until(SURE_PART_TTL));
        ReadTokens { sure: total - cached, doubtful: cached - sure }
    }

    /// Number of requests whose answer has begun.
    fn running(&self) -> usize {
        self.sends.iter().filter(|send| send.began_at.is_some()).count()
    }

    /// Records that the answer to a request has begun, which ends a backoff.
    pub fn note_answering(&mut self, number: SendNumber, now: Instant) {
        let running = self.running();
        self.failures = 0;
        self.backoff_until = None;
        self.answered_at = Some(now);
        let Some(send) = self.sends.iter_mut().find(|send| send.number == number) else { return };
        if send.began_at.is_some() {
            return;
        }
        send.began_at = Some(now);
        if let Some(meter) = &mut self.meter {
            meter.advance(running, now);
            let index = meter.unread.iter().position(|(unread, _)| *unread == number);
            let (_, tokens) = index
                .map(|index| meter.unread.swap_remove(index))
                .unwrap_or((number, ReadTokens::default()));
            meter.read.add(tokens);
            meter.read_run.add(tokens);
            let (read, running_ms) = (meter.read, meter.running_ms);
            meter.begun.push(BegunMark { number, read, running_ms });
            self.note_read(now);
            return;
        }
        let observed_ms = (now - send.sent_at).as_secs_f64() * 1_000.0;
        let (lowest, highest) = SLOWNESS_RANGE;
        let ratio = (observed_ms / send.predicted_ms.max(1.0)).clamp(lowest, highest);
        self.slowness += OBSERVATION_WEIGHT * (ratio - self.slowness);
    }

    /// Takes a sample of the reading under way once it is long enough or has come to its end.
    fn note_read(&mut self, now: Instant) {
        let waits = self.sends.iter().any(|send| send.began_at.is_none());
        let running = self.running().saturating_sub(1) as f64;
        let Some(meter) = &mut self.meter else { return };
        let Some(since) = meter.read_since else { return };
        if waits && meter.read_run.sure < MAX_READ_TOKENS {
            return;
        }
        if meter.read_run.sure >= MIN_READ_TOKENS {
            let took = now.saturating_duration_since(since).saturating_sub(SEND_DELAY);
            let work = SpanWork {
                made_tokens: 0.0,
                read_tokens: meter.read_run.sure,
                doubtful_tokens: meter.read_run.doubtful,
                running,
            };
            meter.speed.note_work(&work, took, now);
        }
        meter.read_run = ReadTokens::default();
        meter.read_since = waits.then_some(now);
    }

    /// Takes the samples that the end of `send` gives, which is no longer open.
    fn note_span_end(&mut self, send: &OpenSend, end: SendEnd, now: Instant) {
        let is_whole = end == SendEnd::Whole;
        if is_whole
            && send.prompt_tokens == 0
            && let Some(meter) = &mut self.meter
        {
            meter.speed.note_call(now.saturating_duration_since(send.sent_at), now);
        }
        let running = self.running() + usize::from(send.began_at.is_some());
        let Some(meter) = &mut self.meter else { return };
        match is_whole {
            true => self.note_made(send, now),
            false => {
                meter.advance(running, now);
                meter.begun.retain(|mark| mark.number != send.number);
                meter.unread.retain(|(number, _)| *number != send.number);
            }
        }
        let waits = self.sends.iter().any(|send| send.began_at.is_none());
        if let Some(meter) = &mut self.meter
            && !waits
        {
            meter.read_since = None;
            meter.read_run = ReadTokens::default();
        }
    }

    /// Takes a sample of the time from the begin of the answer to `send` to its end.
    fn note_made(&mut self, send: &OpenSend, now: Instant) {
        let running = self.running() + usize::from(send.began_at.is_some());
        let Some(meter) = &mut self.meter else { return };
        meter.advance(running, now);
        let mark = meter.begun.iter().position(|mark| mark.number == send.number);
        let mark = mark.map(|index| meter.begun.swap_remove(index));
        let (Some(mark), Some(began)) = (mark, send.began_at) else { return };
        let took = now.saturating_duration_since(began);
        let work = SpanWork {
            made_tokens: f64::from(send.expected_tokens),
            read_tokens: meter.read.sure - mark.read.sure,
            doubtful_tokens: meter.read.doubtful - mark.read.doubtful,
            running: (meter.running_ms - mark.running_ms) / (took.as_secs_f64() * 1_000.0).max(1.0),
        };
        if send.prompt_tokens > 0 && took >= MIN_MADE_TIME {
            meter.speed.note_work(&work, took, now);
        }
    }

    /// Records that a request has ended; returns the class of its prompt and its duration in milliseconds
    /// if it was answered.
    pub fn note_ended(
        &mut self,
        number: SendNumber,
        end: SendEnd,
        now: Instant,
    ) -> Option<(PromptClass, f64)> {
        let index = self.sends.iter().position(|send| send.number == number);
        let send = index.map(|index| self.sends.remove(index));
        if let Some(send) = &send {
            self.note_span_end(send, end, now);
        }
        if let Some(memory) = &mut self.memory {
            memory.note_ended(number);
            if let Some(send) = &send {
                self.note_pace(send, end, now);
            }
        }
        match end {
            SendEnd::Whole | SendEnd::Failed => {
                let failed = f64::from(u8::from(end == SendEnd::Failed));
                self.failure_rate += OBSERVATION_WEIGHT * (failed - self.failure_rate);
                self.answered_at = Some(now);
                let send = send?;
                if let Some(began) = send.began_at {
                    let tail_ms = (now - began).as_secs_f64() * 1_000.0;
                    let token_ms = tail_ms / f64::from(send.expected_tokens.max(1));
                    self.token_ms += OBSERVATION_WEIGHT * (token_ms - self.token_ms);
                }
                let took_ms = (now - send.sent_at).as_secs_f64() * 1_000.0;
                let mean = self.answer_ms.get_or_insert(took_ms);
                *mean += OBSERVATION_WEIGHT * (took_ms - *mean);
                return Some((send.class, took_ms));
            }
            SendEnd::Broken => self.note_broken(now),
            SendEnd::Refused | SendEnd::Cancelled => {}
        }
        None
    }

    /// Records the time between the tokens of an answer that ended.
    fn note_pace(&mut self, send: &OpenSend, end: SendEnd, now: Instant) {
        let Some(began) = send.began_at else { return };
        let tail_ms = (now - began).as_secs_f64() * 1_000.0;
        let token_ms = tail_ms / f64::from(send.expected_tokens.max(1));
        let requests = self.sends.len() as f64;
        match end {
            SendEnd::Whole => self.token_pace.note_answer(token_ms, requests),
            SendEnd::Cancelled => self.token_pace.note_unfinished(token_ms, requests),
            SendEnd::Failed | SendEnd::Refused | SendEnd::Broken => {}
        }
    }

    /// Backs off for a time that doubles with each failure since the last answer, and assumes that the
    /// prompt cache is lost.
    pub fn note_broken(&mut self, now: Instant) {
        let doublings = self.failures.min(MAX_BACKOFF_DOUBLINGS);
        self.failures += 1;
        self.backoff_until = Some(now + INITIAL_BACKOFF * 2_u32.pow(doublings));
        self.parts.clear();
        if let Some(memory) = &mut self.memory {
            memory.clear();
        }
    }

    /// Ends a backoff, because the path to the upstream is restored.
    pub fn end_backoff(&mut self) {
        self.failures = 0;
        self.backoff_until = None;
    }

    /// Backs off for at least `bound`, because the upstream has no room.
    pub fn note_full(&mut self, bound: Duration, now: Instant) {
        self.backoff_until = self.backoff_until.max(Some(now + bound));
    }

    /// Starts a pause of `bound` that the upstream asked for. No later answer or report shortens it.
    pub fn note_pause(&mut self, bound: Duration, now: Instant) {
        self.paused_until = self.paused_until.max(Some(now + bound));
    }
}
