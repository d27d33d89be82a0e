//! Time of one routing decision by the number of upstreams in a zone.

use bpaf::Bpaf;
use cicadastall::{
    decode::RequestPlan,
    prefix::PromptShape,
    route::{
        RequestRouter, RouteDecision, RouterLocation, TriedTargets, policy::RouterPolicy,
        tracker::SendTicket,
    },
    settings::Rank,
};
use cicadastall_bench::compare::{
    fleet::{UpstreamModel, ZoneModel, make_table, make_upstreams},
    requests::{draw_shape, make_plan},
    workload::{Workload, load_workload},
};
use eyre::{OptionExt, WrapErr};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use std::{collections::VecDeque, fs, path::PathBuf, time::Duration};
use tokio::time::Instant;

/// Measured numbers of upstreams in the zone.
const UPSTREAM_COUNTS: [u32; 6] = [10, 40, 100, 200, 400, 600];

/// Entries of the zone at the target fleet size.
const ENTRIES_PER_ZONE: u32 = 27;

/// Load reports of each upstream, for each number of upstreams.
const LOAD_REPORTS: usize = 40;

/// Decisions between two load reports.
const DECISIONS_PER_REPORT: u32 = 50;

/// Simulated time between two decisions.
const DECISION_INTERVAL: Duration = Duration::from_millis(10);

/// Most attempts that are open at the same time.
const OPEN_ATTEMPTS: usize = 32;

/// Options of `decisions`.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct DecisionOptions {
    /// Workload file; its first urgent kind on engines is routed
    #[bpaf(long, argument("FILE"))]
    workload: PathBuf,
    /// Seed of all random choices
    #[bpaf(long, argument("N"), fallback(1))]
    seed: u64,
}

/// Result for one number of upstreams.
#[derive(Debug, Serialize)]
struct SizeReport {
    upstreams: u32,
    /// Mean time to choose an upstream and record the send, as the median over load reports.
    decision_ns: u64,
}

/// Results for all numbers of upstreams.
#[derive(Debug, Serialize)]
struct DecisionReport {
    sizes: Vec<SizeReport>,
    /// Mean time added by each upstream between the smallest and the largest number.
    ns_per_upstream: f64,
}

/// Measures every number of upstreams and prints JSON.
pub(crate) fn run(options: &DecisionOptions) -> eyre::Result<()> {
    let text = fs::read_to_string(&options.workload)
        .wrap_err_with(|| format!("cannot read {}", options.workload.display()))?;
    let workload = load_workload(&text)?;
    let measure = |upstreams| {
        let mut timer = DecisionTimer::new(&workload, upstreams, options.seed)?;
        Ok(SizeReport { upstreams, decision_ns: timer.measure_ns() })
    };
    let sizes = UPSTREAM_COUNTS.into_iter().map(measure).collect::<eyre::Result<Vec<_>>>()?;
    let (first, last) = (&sizes[0], &sizes[UPSTREAM_COUNTS.len() - 1]);
    let added = last.decision_ns as f64 - first.decision_ns as f64;
    let ns_per_upstream = added / f64::from(last.upstreams - first.upstreams);
    println!("{}", serde_json::to_string_pretty(&DecisionReport { sizes, ns_per_upstream })?);
    Ok(())
}

/// Times the decisions of one router in a zone with a fixed number of upstreams.
#[derive(Debug)]
struct DecisionTimer {
    router: RequestRouter,
    zone: ZoneModel,
    upstreams: Vec<UpstreamModel>,
    plan: RequestPlan,
    shapes: Vec<PromptShape>,
    open_attempts: VecDeque<SendTicket>,
    now: Instant,
}

impl DecisionTimer {
    fn new(workload: &Workload, upstreams: u32, seed: u64) -> eyre::Result<Self> {
        let mut workload = workload.clone();
        workload.entries_per_zone = ENTRIES_PER_ZONE;
        workload.regions.truncate(1);
        let region = workload.regions.first_mut().ok_or_eyre("the workload has no region")?;
        region.engines = upstreams;
        region.services = 0;
        let mut kinds = workload.kinds.iter();
        let kind = kinds
            .find(|kind| kind.on_engines && kind.rank == Rank::Urgent)
            .ok_or_eyre("the workload has no urgent kind on engines")?;
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let now = Instant::now();
        let name = Workload::zone_name(&workload.regions[0]);
        let location =
            RouterLocation { region: workload.regions[0].name.clone(), zone: name.clone() };
        let table = make_table(&workload, 0);
        Ok(Self {
            router: RequestRouter::with_policy(location, RouterPolicy::default(), seed),
            zone: ZoneModel { name, routers: Vec::new(), table, digests: 0 },
            upstreams: make_upstreams(&workload, now),
            plan: make_plan(&workload, &workload.make_settings(), 0, 1, kind),
            shapes: (0..DECISIONS_PER_REPORT).map(|_| draw_shape(kind, 0, 1, &mut rng)).collect(),
            open_attempts: VecDeque::new(),
            now,
        })
    }

    fn measure_ns(&mut self) -> u64 {
        let mut means: Vec<_> = (0..LOAD_REPORTS).map(|_| self.measure_after_report()).collect();
        means.sort_unstable();
        means[LOAD_REPORTS / 2]
    }

    /// Applies a load report of every upstream; returns the mean time in nanoseconds of the
    /// decisions before the next report.
    fn measure_after_report(&mut self) -> u64 {
        let records = self.upstreams.iter_mut().filter_map(UpstreamModel::announce).collect();
        self.zone.accept_records(records, self.now);
        let started = std::time::Instant::now();
        for number in 0..DECISIONS_PER_REPORT as usize {
            self.decide(number);
        }
        started.elapsed().as_nanos() as u64 / u64::from(DECISIONS_PER_REPORT)
    }

    fn decide(&mut self, number: usize) {
        self.now += DECISION_INTERVAL;
        let (table, shape) = (&self.zone.table, &self.shapes[number]);
        let tried = TriedTargets::default();
        let decision = self.router.choose(table, &self.plan, shape, &tried, self.now);
        if let RouteDecision::Upstream(choice) = decision {
            let ticket = self.router.record_sent(&choice, &self.plan, shape, self.now);
            self.open_attempts.push_back(ticket);
        }
        if self.open_attempts.len() > OPEN_ATTEMPTS
            && let Some(ticket) = self.open_attempts.pop_front()
        {
            self.router.record_ended(&ticket);
        }
    }
}
