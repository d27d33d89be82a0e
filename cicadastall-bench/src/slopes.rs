//! Cost and speed of membership for several sizes of a fleet, as slopes.
//!
//! Members run inside this process over the stand-in network, whose clock is moved by the bench;
//! datagrams are encoded and decoded as between processes.

use crate::memory::resident_bytes;
use bpaf::Bpaf;
use cicadastall::{members::MemberTable, name::ModelName, table::UpstreamState};
use cicadastall_standins::{
    network::MemberNetwork,
    traffic::{NodeTraffic, TrafficParts},
};
use serde::Serialize;
use std::{
    ops::Range,
    time::{Duration, Instant},
};

/// Nodes of one availability zone at the target size.
const ZONE_NODES: usize = 27;

/// Upstreams for each two nodes.
const UPSTREAMS_PER_TWO_NODES: usize = 3;

/// Models in steady use.
const MODELS: usize = 10;

/// Time to join before measuring.
const JOIN_TIME: Duration = Duration::from_secs(20);

/// Time over which traffic is counted.
const STEADY_TIME: Duration = Duration::from_secs(30);

/// Longest time that a change may take to be known.
const CHANGE_BOUND: Duration = Duration::from_secs(20);

/// Time between two looks at the views.
const LOOK_PERIOD: Duration = Duration::from_millis(100);

/// Nodes that fail, one after the other, in each run.
const FAILURES: usize = 10;

/// Options of `slopes`.
#[derive(Debug, Clone, Bpaf)]
pub struct SlopesOptions {
    /// Numbers of nodes, separated by commas
    #[bpaf(long, argument("LIST"), fallback("9,50,100,200,400".to_owned()))]
    nodes: String,
    /// Share of datagrams that are lost
    #[bpaf(long, argument("SHARE"), fallback(0.005))]
    loss: f64,
    /// Seed of all random choices
    #[bpaf(long, argument("NUMBER"), fallback(1))]
    seed: u64,
}

/// Result for one size.
#[derive(Debug, Serialize)]
struct SizeReport {
    nodes: usize,
    zones: usize,
    upstreams: usize,
    sent_bytes_per_s_mean: f64,
    sent_bytes_per_s_max: f64,
    received_bytes_per_s_mean: f64,
    received_bytes_per_s_max: f64,
    sent_messages_per_s_mean: f64,
    sent_parts_bytes_per_s_mean: TrafficParts,
    announced_bytes_per_s_mean: f64,
    core_share_per_node: f64,
    memory_kib_per_node: u64,
    detection_ms_p50: u128,
    detection_ms_p99: u128,
    undetected: usize,
    false_suspicions_per_node_hour: f64,
    change_in_zone_ms: Option<u128>,
    change_everywhere_ms: Option<u128>,
    leaving_everywhere_ms: Option<u128>,
}

/// Runs the bench and prints one line of JSON for each size.
pub fn run(options: &SlopesOptions) -> eyre::Result<()> {
    for size in options.nodes.split(',') {
        let report = measure_size(size.trim().parse()?, options)?;
        println!("{}", serde_json::to_string(&report)?);
    }
    Ok(())
}

/// A fleet of one size.
struct SlopeFleet {
    network: MemberNetwork,
    zones: Vec<Range<usize>>,
    upstreams: usize,
    memory: u64,
}

fn measure_size(nodes: usize, options: &SlopesOptions) -> eyre::Result<SizeReport> {
    let before = resident_bytes()?;
    let mut fleet = start_fleet(nodes, options);
    fleet.memory = resident_bytes()?.saturating_sub(before);
    fleet.network.reset_traffic();
    let started = Instant::now();
    let suspicions = count_suspicions(&mut fleet);
    let core = started.elapsed().as_secs_f64();
    let seconds = STEADY_TIME.as_secs_f64();
    let traffic: Vec<_> = (0..nodes).map(|node| fleet.network.traffic(node)).collect();
    let rates = |value: fn(&NodeTraffic) -> u64| {
        let rates: Vec<_> = traffic.iter().map(|one| value(one) as f64 / seconds).collect();
        let mean = rates.iter().sum::<f64>() / nodes as f64;
        (mean, rates.iter().copied().fold(0.0, f64::max))
    };
    let (sent_mean, sent_max) = rates(|one| one.sent_bytes);
    let (received_mean, received_max) = rates(|one| one.received_bytes);
    let total = fleet.network.run_counting_traffic(STEADY_TIME);
    let parts = total.map(|bytes| bytes / STEADY_TIME.as_secs() / nodes as u64);
    let (change_in_zone, change_everywhere, leaving) = measure_change(&mut fleet);
    let (mut detections, undetected) = measure_failures(&mut fleet);
    detections.sort();
    let quantile = |share: f64| {
        let rank = ((detections.len() as f64 * share).ceil() as usize).max(1) - 1;
        detections.get(rank).map_or(0, Duration::as_millis)
    };
    Ok(SizeReport {
        nodes,
        zones: fleet.zones.len(),
        upstreams: fleet.upstreams,
        sent_bytes_per_s_mean: sent_mean,
        sent_bytes_per_s_max: sent_max,
        received_bytes_per_s_mean: received_mean,
        received_bytes_per_s_max: received_max,
        sent_messages_per_s_mean: rates(|one| one.sent).0,
        sent_parts_bytes_per_s_mean: parts,
        announced_bytes_per_s_mean: rates(|one| one.announced_bytes).0,
        core_share_per_node: core / seconds / nodes as f64,
        memory_kib_per_node: fleet.memory / 1_024 / nodes as u64,
        detection_ms_p50: quantile(0.5),
        detection_ms_p99: quantile(0.99),
        undetected,
        false_suspicions_per_node_hour: suspicions as f64 * 3_600.0 / seconds / nodes as f64,
        change_in_zone_ms: change_in_zone.map(|time| time.as_millis()),
        change_everywhere_ms: change_everywhere.map(|time| time.as_millis()),
        leaving_everywhere_ms: leaving.map(|time| time.as_millis()),
    })
}

fn start_fleet(nodes: usize, options: &SlopesOptions) -> SlopeFleet {
    let count = nodes.div_ceil(ZONE_NODES).max(3);
    let mut network = MemberNetwork::new(options.seed);
    let mut zones = Vec::new();
    let mut start = 0;
    for zone in 0..count {
        let end = nodes * (zone + 1) / count;
        for _ in start..end {
            network.add_node(&format!("region{}-{}", zone / 3, zone % 3), &[0, start]);
        }
        zones.push(start..end);
        start = end;
    }
    let upstreams = nodes * UPSTREAMS_PER_TWO_NODES / 2;
    for upstream in 0..upstreams {
        let zone = &zones[upstream % count];
        let first = zone.start + upstream / count * 2 % zone.len();
        let second = zone.start + (first - zone.start + 1) % zone.len();
        let model = format!("model-{}", upstream / count % MODELS);
        network.add_upstream("engines", &model, [first, second]);
    }
    network.faults.loss = options.loss;
    network.run(JOIN_TIME);
    SlopeFleet { network, zones, upstreams, memory: 0 }
}

/// Runs the steady time; counts members that are taken for failed.
fn count_suspicions(fleet: &mut SlopeFleet) -> usize {
    let nodes: usize = fleet.zones.iter().map(Range::len).sum();
    let mut missing = vec![0; nodes];
    let mut suspicions = 0;
    let end = fleet.network.now() + STEADY_TIME;
    while fleet.network.now() < end {
        fleet.network.run(LOOK_PERIOD);
        for zone in fleet.zones.clone() {
            for node in zone.clone() {
                let absent = zone.len() - 1 - fleet.network.members(node).entries().count();
                suspicions += absent.saturating_sub(missing[node]);
                missing[node] = absent;
            }
        }
    }
    suspicions
}

/// Adds an upstream with a model of its own, then lets it leave; returns the time until its zone
/// knows it, until all others do, and until none uses it.
fn measure_change(
    fleet: &mut SlopeFleet,
) -> (Option<Duration>, Option<Duration>, Option<Duration>) {
    let zones = fleet.zones.clone();
    let home = zones[0].clone();
    let second = home.start + 1;
    let model = ModelName::from("new-model");
    let upstream = fleet.network.add_upstream("engines", model.as_str(), [home.start, second]);
    let start = fleet.network.now();
    let know_new = |network: &MemberNetwork, nodes: Range<usize>| {
        nodes.into_iter().all(|node| has_model(network, network.members(node), &model))
    };
    let in_zone = fleet.network.run_until(CHANGE_BOUND, |net| know_new(net, home.clone()));
    let last = zones.last().map_or(0, |zone| zone.end);
    let rest = fleet.network.run_until(CHANGE_BOUND, |net| know_new(net, 0..last));
    let everywhere = rest.map(|_| fleet.network.now().duration_since(start));
    fleet.network.set_upstream_state(upstream, UpstreamState::Leaving);
    let leaving = fleet.network.run_until(CHANGE_BOUND, |network| {
        (0..last).all(|node| !has_model(network, network.members(node), &model))
    });
    (in_zone, everywhere, leaving)
}

/// Whether the node knows a serving upstream with `model` in its own zone or another.
fn has_model(network: &MemberNetwork, members: &MemberTable, model: &ModelName) -> bool {
    let table = members.make_table(network.now());
    let own = table.upstreams.values().any(|view| {
        view.record.state == UpstreamState::Serving && view.record.models.contains(model)
    });
    let remote = table
        .zones
        .values()
        .flat_map(|view| &view.digest.rows)
        .any(|row| row.model.as_ref() == Some(model));
    own || remote
}

/// Lets nodes fail; returns the times until each other member of the zone has removed them.
fn measure_failures(fleet: &mut SlopeFleet) -> (Vec<Duration>, usize) {
    let mut detections = Vec::new();
    let mut undetected = 0;
    let zone = fleet.zones[fleet.zones.len() - 1].clone();
    for failed in zone.clone().rev().take(FAILURES.min(zone.len().saturating_sub(2))) {
        let others: Vec<_> = zone.clone().filter(|node| *node < failed).collect();
        let mut waiting = others.clone();
        fleet.network.crash(failed);
        let start = fleet.network.now();
        while !waiting.is_empty() && fleet.network.now().duration_since(start) < CHANGE_BOUND {
            fleet.network.run(LOOK_PERIOD / 10);
            let passed = fleet.network.now().duration_since(start);
            waiting.retain(|node| {
                let known = fleet.network.members(*node).entries().count();
                let detected = known < others.len();
                if detected {
                    detections.push(passed);
                }
                !detected
            });
        }
        undetected += waiting.len();
    }
    (detections, undetected)
}
