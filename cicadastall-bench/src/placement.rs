//! Accelerator-hours of model placement over simulated days, compared with upstreams that stay on.

use bpaf::Bpaf;
use cicadastall::{
    name::ModelName,
    placement::{PlacementOrder, PlacementPlanner},
    table::{Incarnation, LoadReport, UpstreamRates, UpstreamRecord, UpstreamState},
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use std::{f64::consts::TAU, net::SocketAddr, time::Duration};
use tokio::time::Instant;

/// Simulated time between two planning rounds.
const PLANNING_INTERVAL: Duration = Duration::from_secs(10);

/// Planning rounds from an order until the loaded model serves requests.
const LOAD_ROUNDS: u32 = 12;

/// Requests that one upstream runs concurrently.
const SLOTS_PER_UPSTREAM: u32 = 32;

/// Upstreams of each model; they can serve a burst at the peak while one upstream is lost.
const UPSTREAMS_PER_MODEL: u32 = 6;

/// Daily peak demand for one model without noise and bursts, in upstreams with all slots in use.
const PEAK_DEMAND: f64 = 2.4;

/// Demand at night relative to the peak.
const NIGHT_SHARE: f64 = 0.1;

/// Share of the demand that is urgent.
const URGENT_SHARE: f64 = 0.4;

/// Planning rounds from the start of a day to the loss of an upstream of the first model, and
/// between the losses of consecutive models.
const LOSS_SPACING_ROUNDS: u32 = 360;

/// Options of `placement`.
#[derive(Debug, Clone, Bpaf)]
pub struct PlacementOptions {
    /// Days to simulate
    #[bpaf(long, argument("COUNT"), fallback(3))]
    days: u32,
    /// Models; their peaks are spread over the day
    #[bpaf(long, argument("COUNT"), fallback(3))]
    models: u32,
    /// Seed of all random choices
    #[bpaf(long, argument("NUMBER"), fallback(1))]
    seed: u64,
}

/// Result of one policy.
#[derive(Debug, Default, Serialize)]
struct PolicyReport {
    policy: &'static str,
    accelerator_hours: f64,
    urgent_on_time: f64,
    patient_on_time: f64,
    loads: u32,
}

/// Simulates both policies with the same demand and prints one line of JSON for each.
pub fn run(options: &PlacementOptions) -> eyre::Result<()> {
    for (policy, uses_placement) in [("always_on", false), ("placement", true)] {
        let report = PolicyReport { policy, ..simulate(options, uses_placement) };
        println!("{}", serde_json::to_string(&report)?);
    }
    Ok(())
}

fn simulate(options: &PlacementOptions, uses_placement: bool) -> PolicyReport {
    let mut random = ChaCha8Rng::seed_from_u64(options.seed);
    let models: Vec<ModelName> =
        (0..options.models).map(|number| format!("model-{number}").as_str().into()).collect();
    let upstreams_per_model = UPSTREAMS_PER_MODEL;
    let mut upstreams: Vec<_> = (0..options.models * upstreams_per_model)
        .map(|number| make_upstream(number, &models[(number / upstreams_per_model) as usize]))
        .collect();
    let mut ready_rounds = vec![0; upstreams.len()];
    let mut planner = PlacementPlanner::default();
    let start = Instant::now();
    let rounds = options.days * 24 * 3_600 / PLANNING_INTERVAL.as_secs() as u32;
    let mut totals = SimulationTotals::default();
    for round in 0..rounds {
        finish_loads(&mut upstreams, &ready_rounds, round);
        lose_upstreams(&mut upstreams, &mut ready_rounds, round, upstreams_per_model);
        for (number, model) in models.iter().enumerate() {
            let phase = number as f64 / models.len() as f64;
            let demand = draw_demand(round, phase, &mut random);
            totals.add(serve_demand(&mut upstreams, model, demand));
        }
        let on = upstreams.iter().filter(|record| record.state != UpstreamState::Parked).count();
        totals.accelerator_s += on as f64 * PLANNING_INTERVAL.as_secs_f64();
        if uses_placement {
            let orders = planner.decide(&upstreams, &models, 1, start + PLANNING_INTERVAL * round);
            totals.loads += orders.iter().filter(|order| order.model.is_some()).count() as u32;
            apply_orders(&mut upstreams, &mut ready_rounds, &orders, round);
        }
    }
    totals.report()
}

/// Demand and on-time answers by rank, urgent first, and the time in seconds that upstreams were
/// on.
#[derive(Debug, Default)]
struct SimulationTotals {
    requested: [f64; 2],
    answered: [f64; 2],
    accelerator_s: f64,
    loads: u32,
}

impl SimulationTotals {
    fn add(&mut self, (requested, answered): ([f64; 2], [f64; 2])) {
        for rank in 0..2 {
            self.requested[rank] += requested[rank];
            self.answered[rank] += answered[rank];
        }
    }

    fn report(&self) -> PolicyReport {
        PolicyReport {
            policy: "",
            accelerator_hours: self.accelerator_s / 3_600.0,
            urgent_on_time: self.answered[0] / self.requested[0],
            patient_on_time: self.answered[1] / self.requested[1],
            loads: self.loads,
        }
    }
}

/// Slots that one model needs in this round, from a daily curve with noise and bursts.
fn draw_demand(round: u32, phase: f64, random: &mut ChaCha8Rng) -> f64 {
    let day = f64::from(round) * PLANNING_INTERVAL.as_secs_f64() / 86_400.0;
    let curve = 0.5 - 0.5 * (TAU * (day - phase)).cos();
    let share = NIGHT_SHARE + (1.0 - NIGHT_SHARE) * curve.powi(2);
    let noise = random.random_range(0.85..1.15);
    let burst = if random.random_ratio(1, 500) { 1.5 } else { 1.0 };
    share * noise * burst * PEAK_DEMAND * f64::from(SLOTS_PER_UPSTREAM)
}

/// Assigns the demand to the serving upstreams, urgent first; returns the slots demanded and served
/// by rank.
fn serve_demand(
    upstreams: &mut [UpstreamRecord],
    model: &ModelName,
    demand: f64,
) -> ([f64; 2], [f64; 2]) {
    let mut serving: Vec<_> = upstreams
        .iter_mut()
        .filter(|record| record.state == UpstreamState::Serving && record.models.contains(model))
        .collect();
    let slots = f64::from(SLOTS_PER_UPSTREAM) * serving.len() as f64;
    let count = serving.len().max(1) as f64;
    for record in &mut serving {
        record.load.running = (demand.min(slots) / count).round() as u32;
        record.load.queued = ((demand - slots).max(0.0) / count).round() as u32;
    }
    let requested = [demand * URGENT_SHARE, demand * (1.0 - URGENT_SHARE)];
    let urgent = requested[0].min(slots);
    (requested, [urgent, requested[1].min(slots - urgent)])
}

fn finish_loads(upstreams: &mut [UpstreamRecord], ready_rounds: &[u32], round: u32) {
    for (record, ready_round) in upstreams.iter_mut().zip(ready_rounds) {
        if record.state == UpstreamState::Loading && round >= *ready_round {
            record.state = UpstreamState::Serving;
        }
    }
}

/// Restarts one upstream of each model once a day, at a different hour for each model.
fn lose_upstreams(
    upstreams: &mut [UpstreamRecord],
    ready_rounds: &mut [u32],
    round: u32,
    upstreams_per_model: u32,
) {
    let day = 24 * 3_600 / PLANNING_INTERVAL.as_secs() as u32;
    for (index, record) in upstreams.iter_mut().enumerate() {
        let model = index as u32 / upstreams_per_model;
        let lost = round % day == LOSS_SPACING_ROUNDS * (model + 1)
            && (index as u32).is_multiple_of(upstreams_per_model);
        if lost && record.state == UpstreamState::Serving {
            record.state = UpstreamState::Loading;
            record.load = LoadReport::default();
            ready_rounds[index] = round + LOAD_ROUNDS;
        }
    }
}

fn apply_orders(
    upstreams: &mut [UpstreamRecord],
    ready_rounds: &mut [u32],
    orders: &[PlacementOrder],
    round: u32,
) {
    for order in orders {
        let Some(index) = upstreams.iter().position(|record| record.name == order.upstream) else {
            continue;
        };
        let record = &mut upstreams[index];
        record.models = order.model.iter().cloned().collect();
        record.load = LoadReport::default();
        record.state = match order.model {
            Some(_) => UpstreamState::Loading,
            None => UpstreamState::Parked,
        };
        ready_rounds[index] = round + LOAD_ROUNDS;
    }
}

fn make_upstream(number: u32, model: &ModelName) -> UpstreamRecord {
    UpstreamRecord {
        name: format!("u{number:03}").as_str().into(),
        incarnation: Incarnation(1),
        sequence: 1,
        region: "aqaba".into(),
        zone: "aqaba-a".into(),
        address: SocketAddr::from(([10, 0, 0, 1], 1)),
        pool: "engines".into(),
        models: [model.clone()].into_iter().collect(),
        state: UpstreamState::Serving,
        rates: UpstreamRates {
            prefill_tokens_per_s: 8_000.0,
            decode_tokens_per_s: 1_000.0,
            max_running: SLOTS_PER_UPSTREAM,
            kv_tokens: 200_000,
        },
        load: LoadReport::default(),
        checks_fencing: true,
    }
}
