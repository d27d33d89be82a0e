//! Counters and histograms of an entry.

use crate::{
    clock::fractional_millis,
    name::{PoolName, RegionName, UpstreamName, WorkspaceName},
    scrape::{ScrapeRegistry, time_histogram},
};
use opentelemetry::{
    KeyValue,
    metrics::{Counter, Gauge, Histogram},
};
use std::{
    collections::HashSet,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

/// Upper bounds of the histogram buckets, in milliseconds.
const BUCKETS_MS: [f64; 12] =
    [2.0, 5.0, 10.0, 20.0, 50.0, 100.0, 200.0, 500.0, 1_000.0, 2_000.0, 5_000.0, 20_000.0];

/// Maximum number of workspaces with metrics of their own; further ones are counted together.
const MAX_WORKSPACES: usize = 512;

/// Value of the label `workspace` of those without metrics of their own.
const OTHER_WORKSPACES: &str = "other";

/// Metrics of one process.
#[derive(Debug)]
pub struct GatewayMetrics {
    scrape: ScrapeRegistry,
    first_byte: Histogram<f64>,
    longest_pause: Histogram<f64>,
    whole_answer: Histogram<f64>,
    outcomes: Counter<u64>,
    attempts: Counter<u64>,
    refusals: Counter<u64>,
    budget_spent: Counter<u64>,
    repeats_left_out: Counter<u64>,
    second_sends: Counter<u64>,
    take_ups: Counter<u64>,
    hops: Counter<u64>,
    throttled: Counter<u64>,
    limited_answers: Counter<u64>,
    document: Gauge<u64>,
    upstreams: Gauge<u64>,
    crash_checks: Counter<u64>,
    quarantined: Gauge<u64>,
    listings: Counter<u64>,
    origin_lookups: Counter<u64>,
    workspace_outcomes: Counter<u64>,
    workspace_refusals: Counter<u64>,
    lease_age: Gauge<f64>,
    workspaces: Mutex<HashSet<WorkspaceName>>,
    quota_requests: Counter<u64>,
    quota_units: Counter<u64>,
    refused_bodies: Counter<u64>,
    held_bodies: Gauge<u64>,
    behind: Gauge<f64>,
    speed: Gauge<f64>,
}

impl GatewayMetrics {
    /// Metrics with a separate registry.
    pub fn new() -> Self {
        let scrape = ScrapeRegistry::new(|builder| builder);
        let meter = scrape.meter();
        let histogram = |name| time_histogram(&meter, name, &BUCKETS_MS);
        Self {
            first_byte: histogram("cicadastall_gateway_first_byte"),
            longest_pause: histogram("cicadastall_gateway_longest_pause"),
            whole_answer: histogram("cicadastall_gateway_whole_answer"),
            outcomes: meter.u64_counter("cicadastall_gateway_outcomes").build(),
            attempts: meter.u64_counter("cicadastall_gateway_attempts").build(),
            refusals: meter.u64_counter("cicadastall_gateway_refusals").build(),
            budget_spent: meter.u64_counter("cicadastall_gateway_retry_budget_spent").build(),
            repeats_left_out: meter.u64_counter("cicadastall_gateway_repeats_left_out").build(),
            second_sends: meter.u64_counter("cicadastall_gateway_second_sends").build(),
            take_ups: meter.u64_counter("cicadastall_gateway_take_ups").build(),
            hops: meter.u64_counter("cicadastall_gateway_hops").build(),
            throttled: meter.u64_counter("cicadastall_gateway_throttled_hops").build(),
            limited_answers: meter.u64_counter("cicadastall_gateway_limited_answers").build(),
            document: meter.u64_gauge("cicadastall_gateway_document").build(),
            upstreams: meter.u64_gauge("cicadastall_gateway_upstreams").build(),
            crash_checks: meter.u64_counter("cicadastall_gateway_crash_checks").build(),
            quarantined: meter.u64_gauge("cicadastall_gateway_quarantined").build(),
            listings: meter.u64_counter("cicadastall_gateway_listings").build(),
            quota_requests: meter.u64_counter("cicadastall_gateway_quota_requests").build(),
            quota_units: meter.u64_counter("cicadastall_gateway_quota_units").build(),
            origin_lookups: meter.u64_counter("cicadastall_gateway_origin_lookups").build(),
            workspace_outcomes: meter.u64_counter("cicadastall_gateway_workspace_outcomes").build(),
            workspace_refusals: meter.u64_counter("cicadastall_gateway_workspace_refusals").build(),
            lease_age: meter.f64_gauge("cicadastall_gateway_lease_age").build(),
            workspaces: Mutex::default(),
            refused_bodies: meter.u64_counter("cicadastall_gateway_refused_bodies").build(),
            held_bodies: meter.u64_gauge("cicadastall_gateway_held_body_kib").build(),
            behind: meter.f64_gauge("cicadastall_gateway_behind").build(),
            speed: meter.f64_gauge("cicadastall_gateway_upstream_speed").build(),
            scrape,
        }
    }

    /// Counter of upstreams that were checked after they broke off requests, by verdict.
    pub fn crash_checks(&self) -> Counter<u64> {
        self.crash_checks.clone()
    }

    /// Counts a request that was refused because the bodies of others leave no room for its own.
    pub fn count_refused_body(&self) {
        self.refused_bodies.add(1, &[]);
    }

    /// Sets the bytes that the bodies of requests hold, in KiB.
    pub fn set_held_bodies(&self, held_kib: usize) {
        self.held_bodies.record(held_kib as u64, &[]);
    }

    /// Sets the fraction of its capacity that the entry is behind.
    pub fn set_behind(&self, behind: f64) {
        self.behind.record(behind, &[]);
    }

    /// Sets the speed of an upstream of this region relative to the rated one.
    pub fn set_speed(&self, upstream: &UpstreamName, speed: f64) {
        self.speed.record(speed, &[KeyValue::new("upstream", upstream.to_string())]);
    }

    /// Sets the number of quarantined traits or groups of them.
    pub fn set_quarantined(&self, count: usize) {
        self.quarantined.record(count as u64, &[]);
    }

    /// Records the end of a request on `route`.
    pub fn record_request(
        &self,
        route: &Arc<str>,
        outcome: &'static str,
        first_byte: Option<Duration>,
        longest_pause: Option<Duration>,
        whole_answer: Duration,
    ) {
        let route = KeyValue::new("route", Arc::clone(route));
        self.outcomes.add(1, &[route.clone(), KeyValue::new("outcome", outcome)]);
        if let Some(first_byte) = first_byte {
            self.first_byte.record(fractional_millis(first_byte), std::slice::from_ref(&route));
        }
        if let Some(longest_pause) = longest_pause {
            self.longest_pause
                .record(fractional_millis(longest_pause), std::slice::from_ref(&route));
        }
        self.whole_answer.record(fractional_millis(whole_answer), &[route]);
    }

    /// Counts an attempt by its verdict.
    pub fn count_attempt(&self, pool: &PoolName, verdict: &'static str) {
        let pool = KeyValue::new("pool", pool.to_string());
        self.attempts.add(1, &[pool, KeyValue::new("verdict", verdict)]);
    }

    /// Counts a refusal by this entry, by reason.
    pub fn count_refusal(&self, reason: &'static str) {
        self.refusals.add(1, &[KeyValue::new("reason", reason)]);
    }

    /// Counts the end of a request of a workspace, by outcome.
    pub fn count_workspace_outcome(&self, workspace: &WorkspaceName, outcome: &'static str) {
        let labels = [self.workspace_label(workspace), KeyValue::new("outcome", outcome)];
        self.workspace_outcomes.add(1, &labels);
    }

    /// Counts a refusal of a workspace's request by this entry, by reason.
    pub fn count_workspace_refusal(&self, workspace: &WorkspaceName, reason: &'static str) {
        let labels = [self.workspace_label(workspace), KeyValue::new("reason", reason)];
        self.workspace_refusals.add(1, &labels);
    }

    /// Label of a workspace. The number of its values is bounded.
    fn workspace_label(&self, workspace: &WorkspaceName) -> KeyValue {
        let mut known = self.workspaces.lock().unwrap_or_else(PoisonError::into_inner);
        let listed = known.contains(workspace)
            || (known.len() < MAX_WORKSPACES && known.insert(workspace.clone()));
        let name = if listed { workspace.as_str() } else { OTHER_WORKSPACES };
        KeyValue::new("workspace", name.to_owned())
    }

    /// Sets the time since the newest confirmed read of the entry's document, in milliseconds.
    pub fn set_lease_age(&self, age: Duration) {
        self.lease_age.record(fractional_millis(age), &[]);
    }

    /// Counts a lookup of the origin of a resumed stream, by result.
    pub fn count_origin_lookup(&self, result: &'static str) {
        self.origin_lookups.add(1, &[KeyValue::new("result", result)]);
    }

    /// Counts a request of a workspace with a quota, and its `units`, by result. Workspaces are those of
    /// the document.
    pub fn count_quota(&self, workspace: &WorkspaceName, result: &'static str, units: f64) {
        let labels =
            [KeyValue::new("workspace", workspace.to_string()), KeyValue::new("result", result)];
        self.quota_requests.add(1, &labels);
        self.quota_units.add(units as u64, &labels);
    }

    /// Counts a retry that the budget did not allow.
    pub fn count_budget_spent(&self, pool: &PoolName) {
        self.budget_spent.add(1, &[KeyValue::new("pool", pool.to_string())]);
    }

    /// Counts a failure that was passed on at once, as repeats after such failures rarely succeed.
    pub fn count_repeat_left_out(&self, pool: &PoolName) {
        self.repeats_left_out.add(1, &[KeyValue::new("pool", pool.to_string())]);
    }

    /// Counts a request that was late, by what became of its second send.
    pub fn count_second_send(&self, pool: &PoolName, result: &'static str) {
        let pool = KeyValue::new("pool", pool.to_string());
        self.second_sends.add(1, &[pool, KeyValue::new("result", result)]);
    }

    /// Counts a caller's request to resume a stream, by result.
    pub fn count_take_up(&self, pool: &PoolName, result: &'static str) {
        let pool = KeyValue::new("pool", pool.to_string());
        self.take_ups.add(1, &[pool, KeyValue::new("result", result)]);
    }

    /// Counts a request that was forwarded to another region.
    pub fn count_hop(&self, region: &str) {
        self.hops.add(1, &[KeyValue::new("region", region.to_owned())]);
    }

    /// Counts a request that was not forwarded to a region, as that refused most of the last ones.
    pub fn count_throttled(&self, region: &RegionName) {
        self.throttled.add(1, &[KeyValue::new("region", region.to_string())]);
    }

    /// Counts an answer in which an upstream named a limit.
    pub fn count_limited_answer(&self, pool: &PoolName) {
        self.limited_answers.add(1, &[KeyValue::new("pool", pool.to_string())]);
    }

    /// Counts a listing of entries for a caller, by the distance of the farthest listed entry.
    pub fn count_listing(&self, reach: &'static str) {
        self.listings.add(1, &[KeyValue::new("reach", reach)]);
    }

    /// Sets the number of the document in force.
    pub fn set_document(&self, number: u64) {
        self.document.record(number, &[]);
    }

    /// Sets the number of upstreams of a pool in this region that accept work.
    pub fn set_upstreams(&self, pool: &PoolName, count: usize) {
        self.upstreams.record(count as u64, &[KeyValue::new("pool", pool.to_string())]);
    }

    /// All metrics in the Prometheus text format.
    pub fn render(&self) -> Vec<u8> {
        self.scrape.render()
    }
}

impl Default for GatewayMetrics {
    fn default() -> Self {
        Self::new()
    }
}
