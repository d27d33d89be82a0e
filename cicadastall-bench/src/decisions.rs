//! Processor time of one routing decision by the number of upstreams in a zone.

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

/// Upstreams of the zone in each round.
const SIZES: [u32; 6] = [10, 40, 100, 200, 400, 600];

/// Entries of the zone at the target size.
const ENTRIES: u32 = 27;

/// Load reports that each upstream makes in a round.
const REPORTS: usize = 40;

/// Decisions between two load reports.
const DECISIONS: u32 = 50;

/// Time between two decisions, by the router's clock.
const DECISION_PERIOD: Duration = Duration::from_millis(10);

/// Attempts that are open at the same time.
const OPEN_ATTEMPTS: usize = 32;

/// Options of `decisions`.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct DecisionOptions {
    /// File of the workload whose first urgent kind on engines is routed
    #[bpaf(long, argument("FILE"))]
    workload: PathBuf,
    /// Seed of all random choices
    #[bpaf(long, argument("N"), fallback(1))]
    seed: u64,
}

/// Figures of one size.
#[derive(Debug, Serialize)]
struct SizeReport {
    upstreams: u32,
    /// Median over load reports of the mean time of a decision and of noting its sending.
    decision_ns: u64,
}

/// Figures of all sizes.
#[derive(Debug, Serialize)]
struct DecisionReport {
    sizes: Vec<SizeReport>,
    /// Time that one more upstream adds to a decision, between the smallest and the largest size.
    ns_per_upstream: f64,
}

/// Measures every size and prints JSON.
pub(crate) fn run(options: &DecisionOptions) -> eyre::Result<()> {
    let text = fs::read_to_string(&options.workload)
        .wrap_err_with(|| format!("{} not read", options.workload.display()))?;
    let workload = load_workload(&text)?;
    let measure = |upstreams| {
        let mut round = DecisionRound::new(&workload, upstreams, options.seed)?;
        Ok(SizeReport { upstreams, decision_ns: round.measure_ns() })
    };
    let sizes = SIZES.into_iter().map(measure).collect::<eyre::Result<Vec<_>>>()?;
    let (first, last) = (&sizes[0], &sizes[SIZES.len() - 1]);
    let added = last.decision_ns as f64 - first.decision_ns as f64;
    let ns_per_upstream = added / f64::from(last.upstreams - first.upstreams);
    println!("{}", serde_json::to_string_pretty(&DecisionReport { sizes, ns_per_upstream })?);
    Ok(())
}

/// One entry's router before a zone of one size.
#[derive(Debug)]
struct DecisionRound {
    router: RequestRouter,
    zone: ZoneModel,
    upstreams: Vec<UpstreamModel>,
    plan: RequestPlan,
    shapes: Vec<PromptShape>,
    open: VecDeque<SendTicket>,
    now: Instant,
}

impl DecisionRound {
    fn new(workload: &Workload, upstreams: u32, seed: u64) -> eyre::Result<Self> {
        let mut workload = workload.clone();
        workload.entries_per_zone = ENTRIES;
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
            shapes: (0..DECISIONS).map(|_| draw_shape(kind, 0, 1, &mut rng)).collect(),
            open: VecDeque::new(),
            now,
        })
    }

    fn measure_ns(&mut self) -> u64 {
        let mut means: Vec<_> = (0..REPORTS).map(|_| self.measure_report()).collect();
        means.sort_unstable();
        means[REPORTS / 2]
    }

    /// Takes a load report of every upstream; returns the mean time of the decisions until the next.
    fn measure_report(&mut self) -> u64 {
        let records = self.upstreams.iter_mut().filter_map(UpstreamModel::announce).collect();
        self.zone.accept_records(records, self.now);
        let started = std::time::Instant::now();
        for number in 0..DECISIONS as usize {
            self.decide(number);
        }
        started.elapsed().as_nanos() as u64 / u64::from(DECISIONS)
    }

    fn decide(&mut self, number: usize) {
        self.now += DECISION_PERIOD;
        let (table, shape) = (&self.zone.table, &self.shapes[number]);
        let tried = TriedTargets::default();
        let decision = self.router.choose(table, &self.plan, shape, &tried, self.now);
        if let RouteDecision::Upstream(choice) = decision {
            let ticket = self.router.record_sent(&choice, &self.plan, shape, self.now);
            self.open.push_back(ticket);
        }
        if self.open.len() > OPEN_ATTEMPTS
            && let Some(ticket) = self.open.pop_front()
        {
            self.router.record_ended(&ticket);
        }
    }
}
