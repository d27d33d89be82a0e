//! Cost and propagation time of the membership protocol for several fleet sizes.
//!
//! Members run in this process on a simulated network, whose clock the benchmark advances.
//! Datagrams are encoded and decoded as they are between processes.

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

/// Most nodes of one availability zone at the target fleet size.
const NODES_PER_ZONE: usize = 27;

/// Upstreams for every two nodes.
const UPSTREAMS_PER_TWO_NODES: usize = 3;

/// Models that the upstreams serve.
const MODELS: usize = 10;

/// Simulated time for all nodes to join before the measurement.
const JOIN_DURATION: Duration = Duration::from_secs(20);

/// Simulated time over which traffic is counted.
const MEASUREMENT_DURATION: Duration = Duration::from_secs(30);

/// Longest simulated time to wait for a change to reach all nodes.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(20);

/// Simulated time between two checks of the member tables.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Nodes that are crashed one after the other in each run.
const CRASHED_NODES: usize = 10;

/// Options of `slopes`.
#[derive(Debug, Clone, Bpaf)]
pub struct SlopesOptions {
    /// Fleet sizes in nodes, separated by commas
    #[bpaf(long, argument("LIST"), fallback("9,50,100,200,400".to_owned()))]
    nodes: String,
    /// Share of datagrams that are lost
    #[bpaf(long, argument("SHARE"), fallback(0.005))]
    loss: f64,
    /// Seed of all random choices
    #[bpaf(long, argument("NUMBER"), fallback(1))]
    seed: u64,
}

/// Result for one fleet size.
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

/// Runs the benchmark and prints one line of JSON for each fleet size.
pub fn run(options: &SlopesOptions) -> eyre::Result<()> {
    for size in options.nodes.split(',') {
        let report = measure_size(size.trim().parse()?, options)?;
        println!("{}", serde_json::to_string(&report)?);
    }
    Ok(())
}

/// A fleet on the simulated network, with the range of node indices of each zone.
struct SimulatedFleet {
    network: MemberNetwork,
    zones: Vec<Range<usize>>,
    upstreams: usize,
    memory_bytes: u64,
}

fn measure_size(nodes: usize, options: &SlopesOptions) -> eyre::Result<SizeReport> {
    let before = resident_bytes()?;
    let mut fleet = start_fleet(nodes, options);
    fleet.memory_bytes = resident_bytes()?.saturating_sub(before);
    fleet.network.reset_traffic();
    let started = Instant::now();
    let suspicions = count_suspicions(&mut fleet);
    let wall_s = started.elapsed().as_secs_f64();
    let seconds = MEASUREMENT_DURATION.as_secs_f64();
    let traffic: Vec<_> = (0..nodes).map(|node| fleet.network.traffic(node)).collect();
    let rates = |value: fn(&NodeTraffic) -> u64| {
        let rates: Vec<_> = traffic.iter().map(|node| value(node) as f64 / seconds).collect();
        let mean = rates.iter().sum::<f64>() / nodes as f64;
        (mean, rates.iter().copied().fold(0.0, f64::max))
    };
    let (sent_mean, sent_max) = rates(|node| node.sent_bytes);
    let (received_mean, received_max) = rates(|node| node.received_bytes);
    let total = fleet.network.run_counting_traffic(MEASUREMENT_DURATION);
    let parts = total.map(|bytes| bytes / MEASUREMENT_DURATION.as_secs() / nodes as u64);
    let (change_in_zone, change_everywhere, leaving) = measure_propagation(&mut fleet);
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
        sent_messages_per_s_mean: rates(|node| node.sent).0,
        sent_parts_bytes_per_s_mean: parts,
        announced_bytes_per_s_mean: rates(|node| node.announced_bytes).0,
        core_share_per_node: wall_s / seconds / nodes as f64,
        memory_kib_per_node: fleet.memory_bytes / 1_024 / nodes as u64,
        detection_ms_p50: quantile(0.5),
        detection_ms_p99: quantile(0.99),
        undetected,
        false_suspicions_per_node_hour: suspicions as f64 * 3_600.0 / seconds / nodes as f64,
        change_in_zone_ms: change_in_zone.map(|time| time.as_millis()),
        change_everywhere_ms: change_everywhere.map(|time| time.as_millis()),
        leaving_everywhere_ms: leaving.map(|time| time.as_millis()),
    })
}

fn start_fleet(nodes: usize, options: &SlopesOptions) -> SimulatedFleet {
    let zone_count = nodes.div_ceil(NODES_PER_ZONE).max(3);
    let mut network = MemberNetwork::new(options.seed);
    let mut zones = Vec::new();
    let mut start = 0;
    for zone in 0..zone_count {
        let end = nodes * (zone + 1) / zone_count;
        for _ in start..end {
            network.add_node(&format!("region{}-{}", zone / 3, zone % 3), &[0, start]);
        }
        zones.push(start..end);
        start = end;
    }
    let upstreams = nodes * UPSTREAMS_PER_TWO_NODES / 2;
    for upstream in 0..upstreams {
        let zone = &zones[upstream % zone_count];
        let first = zone.start + upstream / zone_count * 2 % zone.len();
        let second = zone.start + (first - zone.start + 1) % zone.len();
        let model = format!("model-{}", upstream / zone_count % MODELS);
        network.add_upstream("engines", &model, [first, second]);
    }
    network.faults.loss = options.loss;
    network.run(JOIN_DURATION);
    SimulatedFleet { network, zones, upstreams, memory_bytes: 0 }
}

/// Runs a fleet without faults other than packet loss; returns the number of false suspicions.
fn count_suspicions(fleet: &mut SimulatedFleet) -> usize {
    let nodes: usize = fleet.zones.iter().map(Range::len).sum();
    let mut absent_before = vec![0; nodes];
    let mut suspicions = 0;
    let end = fleet.network.now() + MEASUREMENT_DURATION;
    while fleet.network.now() < end {
        fleet.network.run(POLL_INTERVAL);
        for zone in fleet.zones.clone() {
            for node in zone.clone() {
                let absent = zone.len() - 1 - fleet.network.members(node).entries().count();
                suspicions += absent.saturating_sub(absent_before[node]);
                absent_before[node] = absent;
            }
        }
    }
    suspicions
}

/// Adds an upstream that serves a new model, then marks it as leaving.
///
/// Returns the time until its zone knows it, until all zones know it, and from the leaving state
/// until no node lists the model. A time is none if the timeout passed first.
fn measure_propagation(
    fleet: &mut SimulatedFleet,
) -> (Option<Duration>, Option<Duration>, Option<Duration>) {
    let zones = fleet.zones.clone();
    let first_zone = zones[0].clone();
    let second = first_zone.start + 1;
    let model = ModelName::from("new-model");
    let upstream =
        fleet.network.add_upstream("engines", model.as_str(), [first_zone.start, second]);
    let start = fleet.network.now();
    let all_know_model = |network: &MemberNetwork, nodes: Range<usize>| {
        nodes.into_iter().all(|node| has_model(network, network.members(node), &model))
    };
    let in_zone = fleet
        .network
        .run_until(CHANGE_TIMEOUT, |network| all_know_model(network, first_zone.clone()));
    let nodes = zones.last().map_or(0, |zone| zone.end);
    let all_zones =
        fleet.network.run_until(CHANGE_TIMEOUT, |network| all_know_model(network, 0..nodes));
    let everywhere = all_zones.map(|_| fleet.network.now().duration_since(start));
    fleet.network.set_upstream_state(upstream, UpstreamState::Leaving);
    let leaving = fleet.network.run_until(CHANGE_TIMEOUT, |network| {
        (0..nodes).all(|node| !has_model(network, network.members(node), &model))
    });
    (in_zone, everywhere, leaving)
}

/// Whether `members` lists a serving upstream with `model` in its own zone or in a digest.
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

/// Crashes nodes of the last zone; returns the times until each other node of the zone has removed
/// them and the number of removals that did not happen within the timeout.
fn measure_failures(fleet: &mut SimulatedFleet) -> (Vec<Duration>, usize) {
    let mut detections = Vec::new();
    let mut undetected = 0;
    let zone = fleet.zones[fleet.zones.len() - 1].clone();
    for crashed in zone.clone().rev().take(CRASHED_NODES.min(zone.len().saturating_sub(2))) {
        let others: Vec<_> = zone.clone().filter(|node| *node < crashed).collect();
        let mut unaware = others.clone();
        fleet.network.crash(crashed);
        let start = fleet.network.now();
        while !unaware.is_empty() && fleet.network.now().duration_since(start) < CHANGE_TIMEOUT {
            fleet.network.run(POLL_INTERVAL / 10);
            let elapsed = fleet.network.now().duration_since(start);
            unaware.retain(|node| {
                let known = fleet.network.members(*node).entries().count();
                let detected = known < others.len();
                if detected {
                    detections.push(elapsed);
                }
                !detected
            });
        }
        undetected += unaware.len();
    }
    (detections, undetected)
}
