//! Metrics of a simulation and their reports.

use crate::compare::{
    requests::SimulatedRequest,
    workload::{FaultKind, FaultPlan, Workload},
};
use cicadastall::{answer::RefusalCode, settings::Rank};
use hdrhistogram::Histogram;
use serde::Serialize;
use std::{collections::BTreeMap, fmt::Write as _, time::Duration};
use tokio::time::Instant;

/// Length of the time buckets in which recovery is measured.
const BUCKET_DURATION: Duration = Duration::from_secs(10);

/// Least on-time share of urgent requests at which service counts as normal.
const NORMAL_ON_TIME_SHARE: f64 = 0.95;

/// Results of one request kind.
#[derive(Debug, Clone, Serialize)]
pub struct KindReport {
    /// Requests of callers.
    pub asked: u64,
    /// Share of requests with a complete answer.
    pub answered: f64,
    /// Share of requests answered with the first token on time, measured from the first submission.
    pub on_time: f64,
    /// First token in milliseconds, 50th percentile.
    pub first_token_p50_ms: u64,
    /// First token in milliseconds, 99th percentile.
    pub first_token_p99_ms: u64,
    /// Complete answer in milliseconds, 50th percentile.
    pub answer_p50_ms: u64,
    /// Complete answer in milliseconds, 99th percentile.
    pub answer_p99_ms: u64,
}

/// Results for the time of floods; shares are of requests to engines and of engine capacity.
#[derive(Debug, Clone, Serialize)]
pub struct FloodReport {
    /// On-time share of urgent requests from workspaces that do not send floods.
    pub urgent_on_time: f64,
    /// Work of urgent answers on time, measured from the last submission, over the fleet capacity.
    pub urgent_use: f64,
    /// Work of patient answers over the capacity that urgent answers left.
    pub patient_use: f64,
    /// Capacity that gave no urgent answer on time, by cause.
    pub lost: LostCapacity,
    /// Longest time without a patient answer, in seconds.
    pub patient_gap_s: f64,
    /// Time from the end of the last flood until urgent service stayed normal, in seconds.
    pub recovery_s: f64,
}

/// Shares of the fleet capacity during floods that gave no urgent answer on time.
#[derive(Debug, Clone, Serialize)]
pub struct LostCapacity {
    /// Work of urgent answers whose first token was late.
    pub late: f64,
    /// Work of patient answers.
    pub patient: f64,
    /// Time in which engines had no work.
    pub idle: f64,
    /// Work without a complete answer, repeated prefill, and the inefficiency of small batches.
    pub wasted: f64,
}

/// Results of one policy.
#[derive(Debug, Clone, Serialize)]
pub struct PolicyReport {
    /// Name of the policy.
    pub policy: &'static str,
    /// Busy time of all engines in hours.
    pub busy_hours: f64,
    /// Share of urgent requests on time, measured from the first submission.
    pub urgent_on_time: f64,
    /// Worth of answered requests over worth of all requests.
    pub weighted_service: f64,
    /// Share of answers given by another region than the home.
    pub cross_region: f64,
    /// Bytes sent over each link, by the names of both regions.
    pub link_bytes: BTreeMap<String, u64>,
    /// Share of prompt tokens found in prefix caches.
    pub prefix_hits: f64,
    /// Attempts and forwards per request that was sent at least once.
    pub sends_per_request: f64,
    /// Submissions per request.
    pub asks_per_request: f64,
    /// Refusals by reason, including those after which the caller submitted again.
    pub refused: BTreeMap<RefusalCode, u64>,
    /// Results for floods, if the workload has any.
    pub flood: Option<FloodReport>,
    /// Results by request kind.
    pub kinds: BTreeMap<String, KindReport>,
}

#[derive(Debug)]
struct KindCounts {
    asked: u64,
    answered: u64,
    on_time: u64,
    first_token: Histogram<u64>,
    answer: Histogram<u64>,
}

#[derive(Debug, Default)]
struct FloodCounts {
    /// Urgent requests that ended in a flood, and those on time, without flood workspaces.
    urgent: (u64, u64),
    urgent_on_time_work_s: f64,
    urgent_work_s: f64,
    patient_work_s: f64,
    busy_s: f64,
    last_patient_answer: Duration,
    patient_gap: Duration,
}

/// Counts of a running simulation.
#[derive(Debug)]
pub struct RunMetrics {
    kinds: Vec<KindCounts>,
    /// Worth of ended requests and of answered requests.
    worth: (f64, f64),
    cross_region_answers: u64,
    links: BTreeMap<(usize, usize), u64>,
    /// All prompt tokens and cached prompt tokens.
    prompt_tokens: (u64, u64),
    /// Requests that were sent at least once, and their attempts and forwards.
    sends: (u64, u64),
    submissions: u64,
    refused: BTreeMap<RefusalCode, u64>,
    busy: Duration,
    flood: FloodCounts,
    /// Start and end of each flood.
    flood_windows: Vec<(Duration, Duration)>,
    /// Urgent requests that ended in each bucket, and those on time, without flood workspaces.
    urgent_buckets: Vec<(u64, u64)>,
}

fn new_histogram() -> Histogram<u64> {
    Histogram::new(3).expect("three digits are supported")
}

impl RunMetrics {
    /// Makes the counts at the start of a simulation.
    pub fn new(workload: &Workload) -> Self {
        let flood = |plan: &&FaultPlan| matches!(plan.fault, FaultKind::Flood { .. });
        let flood_windows: Vec<_> = workload
            .faults
            .iter()
            .filter(flood)
            .map(|plan| (plan.at_s, plan.at_s + plan.for_s))
            .map(|(from, to)| (Duration::from_secs(from), Duration::from_secs(to)))
            .collect();
        let kinds = workload.kinds.iter().map(|_| KindCounts {
            asked: 0,
            answered: 0,
            on_time: 0,
            first_token: new_histogram(),
            answer: new_histogram(),
        });
        let start = flood_windows.first().map(|window| window.0).unwrap_or_default();
        let bucket_count = workload.duration_s / BUCKET_DURATION.as_secs() + 1;
        Self {
            kinds: kinds.collect(),
            worth: (0.0, 0.0),
            cross_region_answers: 0,
            links: BTreeMap::new(),
            prompt_tokens: (0, 0),
            sends: (0, 0),
            submissions: 0,
            refused: BTreeMap::new(),
            busy: Duration::ZERO,
            flood: FloodCounts { last_patient_answer: start, ..FloodCounts::default() },
            flood_windows,
            urgent_buckets: vec![(0, 0); bucket_count as usize],
        }
    }

    /// Counts a new request.
    pub fn count_request(&mut self, request: &SimulatedRequest) {
        self.kinds[request.kind].asked += 1;
    }

    /// Counts a refusal sent to a caller.
    pub fn count_refusal(&mut self, code: RefusalCode) {
        *self.refused.entry(code).or_default() += 1;
    }

    /// Counts bytes sent over the link between two zones.
    pub fn count_link(&mut self, from: usize, to: usize, bytes: u64) {
        *self.links.entry((from, to)).or_default() += bytes;
    }

    /// Counts the prompt tokens of a request at its first token, if engines answer it.
    pub fn count_prefix(&mut self, on_engines: bool, tokens: u32, cached: u32) {
        if on_engines {
            self.prompt_tokens.0 += u64::from(tokens);
            self.prompt_tokens.1 += u64::from(cached);
        }
    }

    /// Counts the busy time of an upstream, if it is an engine.
    pub fn count_busy(&mut self, is_engine: bool, busy: Duration) {
        if is_engine {
            self.busy += busy;
        }
    }

    /// Counts the busy time of all engines during floods: called with the negated total at the
    /// start of a flood and with the total at its end.
    pub fn count_flood_busy(&mut self, busy_s: f64) {
        self.flood.busy_s += busy_s;
    }

    /// Counts the end of a request at the time `at`; `code` is none after a complete answer.
    pub fn count_outcome(
        &mut self,
        workload: &Workload,
        request: &SimulatedRequest,
        now: Instant,
        at: Duration,
        code: Option<RefusalCode>,
    ) {
        let load = &workload.kinds[request.kind];
        let target = Duration::from_millis(load.first_token_ms);
        let on_time = code.is_none() && request.first_token.is_some_and(|time| time <= target);
        self.worth.0 += load.worth;
        self.submissions += u64::from(request.submissions);
        if request.sends > 0 {
            self.sends.0 += 1;
            self.sends.1 += u64::from(request.sends);
        }
        let count = &mut self.kinds[request.kind];
        if code == Some(RefusalCode::DeadlinePassed) {
            *self.refused.entry(RefusalCode::DeadlinePassed).or_default() += 1;
        }
        if let (None, Some(first_token)) = (code, request.first_token) {
            count.answered += 1;
            count.on_time += u64::from(on_time);
            let _ = count.first_token.record(first_token.as_millis() as u64);
            let answer_time = now.duration_since(request.first_submitted_at);
            let _ = count.answer.record(answer_time.as_millis() as u64);
            self.worth.1 += load.worth;
            self.cross_region_answers += u64::from(request.hops.len() > 1);
        }
        if load.on_engines {
            self.count_flood_request(load.rank, request, at, code.is_none(), on_time);
        }
    }

    fn count_flood_request(
        &mut self,
        rank: Rank,
        request: &SimulatedRequest,
        at: Duration,
        answered: bool,
        on_time: bool,
    ) {
        let bucket = (at.as_secs() / BUCKET_DURATION.as_secs()) as usize;
        if rank == Rank::Urgent && !request.is_from_flood_workspace() {
            self.urgent_buckets[bucket].0 += 1;
            self.urgent_buckets[bucket].1 += u64::from(on_time);
        }
        if !self.flood_windows.iter().any(|(from, to)| (*from..*to).contains(&at)) {
            self.close_patient_gap(at);
            return;
        }
        let work_s = if answered { request.work_s } else { 0.0 };
        let flood = &mut self.flood;
        match rank {
            Rank::Urgent => {
                flood.urgent_work_s += work_s;
                if request.on_time {
                    flood.urgent_on_time_work_s += work_s;
                }
                if !request.is_from_flood_workspace() {
                    flood.urgent.0 += 1;
                    flood.urgent.1 += u64::from(on_time);
                }
            }
            Rank::Patient => {
                flood.patient_work_s += work_s;
                if answered {
                    flood.patient_gap =
                        flood.patient_gap.max(at.abs_diff(flood.last_patient_answer));
                    flood.last_patient_answer = at;
                }
            }
        }
    }

    /// Extends the longest patient gap to the end of a flood that ended by `at`.
    fn close_patient_gap(&mut self, at: Duration) {
        let ended = self.flood_windows.iter().map(|window| window.1);
        let open = ended.filter(|end| *end <= at && *end > self.flood.last_patient_answer);
        let gap = open.map(|end| end - self.flood.last_patient_answer).max().unwrap_or_default();
        self.flood.patient_gap = self.flood.patient_gap.max(gap);
        self.flood.last_patient_answer = at;
    }

    /// Makes the report of the simulation.
    pub fn report(&self, workload: &Workload, policy: &'static str) -> PolicyReport {
        let urgent = || {
            let counts = workload.kinds.iter().zip(&self.kinds);
            counts.filter(|(load, _)| load.rank == Rank::Urgent).map(|(_, count)| count)
        };
        let answered: u64 = self.kinds.iter().map(|count| count.answered).sum();
        let asked: u64 = self.kinds.iter().map(|count| count.asked).sum();
        let region = |zone: &usize| workload.regions[*zone].name.as_str();
        let links = self.links.iter();
        let kinds = workload.kinds.iter().zip(&self.kinds);
        PolicyReport {
            policy,
            busy_hours: round(self.busy.as_secs_f64() / 3_600.0),
            urgent_on_time: ratio(
                urgent().map(|count| count.on_time).sum(),
                urgent().map(|count| count.asked).sum(),
            ),
            weighted_service: round(self.worth.1 / self.worth.0),
            cross_region: ratio(self.cross_region_answers, answered),
            link_bytes: links
                .map(|((from, to), bytes)| (format!("{}-{}", region(from), region(to)), *bytes))
                .collect(),
            prefix_hits: ratio(self.prompt_tokens.1, self.prompt_tokens.0),
            sends_per_request: ratio(self.sends.1, self.sends.0),
            asks_per_request: ratio(self.submissions, asked),
            refused: self.refused.clone(),
            flood: (!self.flood_windows.is_empty()).then(|| self.report_flood(workload)),
            kinds: kinds.map(|(load, count)| (load.name.to_string(), count.report())).collect(),
        }
    }

    fn report_flood(&self, workload: &Workload) -> FloodReport {
        let length: f64 =
            self.flood_windows.iter().map(|(from, to)| (*to - *from).as_secs_f64()).sum();
        let engines: f64 =
            workload.regions.iter().map(|load| f64::from(load.engines) * load.speed).sum();
        let capacity = engines * length;
        let engine_count = workload.regions.iter().map(|load| f64::from(load.engines)).sum::<f64>();
        let busy = self.flood.busy_s / (engine_count * length);
        let done = (self.flood.urgent_work_s + self.flood.patient_work_s) / capacity;
        FloodReport {
            urgent_on_time: ratio(self.flood.urgent.1, self.flood.urgent.0),
            urgent_use: round(self.flood.urgent_on_time_work_s / capacity),
            patient_use: round(self.flood.patient_work_s / (capacity - self.flood.urgent_work_s)),
            lost: LostCapacity {
                late: round(
                    (self.flood.urgent_work_s - self.flood.urgent_on_time_work_s) / capacity,
                ),
                patient: round(self.flood.patient_work_s / capacity),
                idle: round(1.0 - busy),
                wasted: round(busy - done),
            },
            patient_gap_s: round(self.flood.patient_gap.as_secs_f64()),
            recovery_s: self.recovery_s(),
        }
    }

    /// Time from the end of the last flood to the end of the last bucket that was not normal.
    fn recovery_s(&self) -> f64 {
        let end = self.flood_windows.last().expect("the workload has a flood").1;
        let first = (end.as_secs() / BUCKET_DURATION.as_secs()) as usize;
        let normal =
            |(all, on_time): &(u64, u64)| *on_time as f64 >= *all as f64 * NORMAL_ON_TIME_SHARE;
        let last = self.urgent_buckets[first..].iter().rposition(|bucket| !normal(bucket));
        last.map_or(0.0, |last| (last + 1) as f64 * BUCKET_DURATION.as_secs_f64())
    }
}

impl KindCounts {
    fn report(&self) -> KindReport {
        KindReport {
            asked: self.asked,
            answered: ratio(self.answered, self.asked),
            on_time: ratio(self.on_time, self.asked),
            first_token_p50_ms: self.first_token.value_at_quantile(0.5),
            first_token_p99_ms: self.first_token.value_at_quantile(0.99),
            answer_p50_ms: self.answer.value_at_quantile(0.5),
            answer_p99_ms: self.answer.value_at_quantile(0.99),
        }
    }
}

fn ratio(part: u64, whole: u64) -> f64 {
    if whole == 0 { 0.0 } else { round(part as f64 / whole as f64) }
}

fn round(value: f64) -> f64 {
    (value * 10_000.0).round() / 10_000.0
}

/// Renders the reports as a text table.
pub fn render_table(reports: &[PolicyReport]) -> String {
    let mut text = String::from(
        "policy            busy h  urgent  worth   cross   prefix  sends   asks    \
         | flood: urgent  used    patient gap s   recover s  late    patient idle    wasted\n",
    );
    for report in reports {
        let _ = write!(
            text,
            "{:<16} {:>7.2}  {:.4}  {:.4}  {:.4}  {:.4}  {:.4}  {:.4}",
            report.policy,
            report.busy_hours,
            report.urgent_on_time,
            report.weighted_service,
            report.cross_region,
            report.prefix_hits,
            report.sends_per_request,
            report.asks_per_request,
        );
        if let Some(flood) = &report.flood {
            let _ = write!(
                text,
                "  |        {:.4}  {:.4}  {:.4}  {:<6.1}  {:<9.0}  {:.4}  {:.4}  {:.4}  {:.4}",
                flood.urgent_on_time,
                flood.urgent_use,
                flood.patient_use,
                flood.patient_gap_s,
                flood.recovery_s,
                flood.lost.late,
                flood.lost.patient,
                flood.lost.idle,
                flood.lost.wasted,
            );
        }
        text.push('\n');
        for (name, kind) in &report.kinds {
            let _ = writeln!(
                text,
                "    {name:<20} asked {:>8} answered {:.4} on time {:.4} first token {:>5}/{:>6} \
                 answer {:>6}/{:>6} ms",
                kind.asked,
                kind.answered,
                kind.on_time,
                kind.first_token_p50_ms,
                kind.first_token_p99_ms,
                kind.answer_p50_ms,
                kind.answer_p99_ms,
            );
        }
        let _ = writeln!(text, "    refused {:?} links {:?}", report.refused, report.link_bytes);
    }
    text
}
