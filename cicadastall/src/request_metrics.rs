//! Request metrics, labelled by workspace, kind and rank.

use crate::{
    answer::RefusalCode,
    clock::fractional_millis,
    decode::RequestPlan,
    scrape::{ScrapeRegistry, time_histogram},
    settings::Rank,
};
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Histogram},
};
use opentelemetry_sdk::metrics::{Instrument, Stream};
use std::time::Duration;

/// Upper bounds of the histogram buckets, in milliseconds.
const BUCKETS_MS: [f64; 14] = [
    1.0, 2.0, 5.0, 10.0, 20.0, 50.0, 100.0, 200.0, 500.0, 1_000.0, 1_600.0, 5_000.0, 20_000.0,
    60_000.0,
];

/// Maximum number of series of one histogram: 400 workspaces, 10 kinds and 2 ranks.
const MAX_HISTOGRAM_SERIES: usize = 400 * 10 * 2;

/// Maximum number of series of the outcome counter, which has one per outcome for each series of a
/// histogram.
const MAX_COUNTER_SERIES: usize = 4 * MAX_HISTOGRAM_SERIES;

/// Name of the outcome counter.
const OUTCOMES_COUNTER: &str = "cicadastall_outcomes";

/// Request metrics of one entry.
#[derive(Debug)]
pub struct RequestMetrics {
    scrape: ScrapeRegistry,
    queue_wait: Histogram<f64>,
    first_token: Histogram<f64>,
    whole_answer: Histogram<f64>,
    outcomes: Counter<u64>,
    early_refusals: Counter<u64>,
}

impl Default for RequestMetrics {
    fn default() -> Self {
        Self::new()
    }
}

impl RequestMetrics {
    /// Creates the metrics in a new registry.
    pub fn new() -> Self {
        let scrape = ScrapeRegistry::new(|builder| builder.with_view(raise_series_limit));
        let meter = scrape.meter();
        let histogram = |name| time_histogram(&meter, name, &BUCKETS_MS);
        Self {
            queue_wait: histogram("cicadastall_queue_wait"),
            first_token: histogram("cicadastall_first_token"),
            whole_answer: histogram("cicadastall_whole_answer"),
            outcomes: meter.u64_counter(OUTCOMES_COUNTER).build(),
            early_refusals: meter.u64_counter("cicadastall_early_refusals").build(),
            scrape,
        }
    }

    /// Records the time from a request's arrival to its first attempt.
    pub fn record_queue_wait(&self, plan: &RequestPlan, wait: Duration) {
        self.queue_wait.record(fractional_millis(wait), &labels(plan));
    }

    /// Records the time from a request's arrival to its first token.
    pub fn record_first_token(&self, plan: &RequestPlan, elapsed: Duration) {
        self.first_token.record(fractional_millis(elapsed), &labels(plan));
    }

    /// Records the time from a request's arrival to the end of its answer.
    pub fn record_whole_answer(&self, plan: &RequestPlan, elapsed: Duration) {
        self.whole_answer.record(fractional_millis(elapsed), &labels(plan));
    }

    /// Counts a request that was refused before its workspace and kind were known.
    pub fn count_early_refusal(&self, code: RefusalCode) {
        self.early_refusals.add(1, &[KeyValue::new("code", code_label(code))]);
    }

    /// All metrics in the Prometheus text format.
    pub fn render(&self) -> Vec<u8> {
        self.scrape.render()
    }

    /// Counts the outcome of a request: `answered`, `hung_up`, or its refusal code.
    pub fn count_outcome(&self, plan: &RequestPlan, outcome: &str) {
        let [workspace, kind, rank] = labels(plan);
        let outcome = KeyValue::new("outcome", outcome.to_owned());
        self.outcomes.add(1, &[workspace, kind, rank, outcome]);
    }
}

/// Raises the limit of series per metric above the SDK's default; the SDK merges the series over
/// the limit into a single overflow series.
fn raise_series_limit(instrument: &Instrument) -> Option<Stream> {
    let limit = if instrument.name() == OUTCOMES_COUNTER {
        MAX_COUNTER_SERIES
    } else {
        MAX_HISTOGRAM_SERIES
    };
    Stream::builder().with_cardinality_limit(limit).build().ok()
}

/// Label value of a code, the same text as in answers.
pub(crate) fn code_label(code: RefusalCode) -> String {
    let text = serde_json::to_value(code).ok();
    text.as_ref().and_then(|text| text.as_str()).unwrap_or("other").to_owned()
}

fn labels(plan: &RequestPlan) -> [KeyValue; 3] {
    let rank = match plan.rank {
        Rank::Urgent => "urgent",
        Rank::Patient => "patient",
    };
    [
        KeyValue::new("workspace", plan.workspace.to_string()),
        KeyValue::new("kind", plan.kind.to_string()),
        KeyValue::new("rank", rank),
    ]
}
