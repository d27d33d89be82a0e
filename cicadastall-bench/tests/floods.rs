//! Service levels during and after floods, in short simulations with a fixed seed.

use cicadastall_bench::compare::{
    compare_policies,
    metrics::{FloodReport, PolicyReport},
    policies::list_policies,
    workload::load_workload,
};

/// Start of each flood, in seconds.
const FLOOD_START_S: u64 = 60;

/// Duration of each flood, in seconds; longer than the allowed gap without patient answers.
const FLOOD_DURATION_S: u64 = 720;

/// Simulated time after the flood, in seconds.
const AFTER_FLOOD_S: u64 = 180;

/// Least on-time share of urgent requests from other workspaces during a flood of patient requests.
const MIN_URGENT_ON_TIME: f64 = 0.99;

/// Least share of the fleet capacity that gives answers on time in a flood of urgent requests.
const MIN_URGENT_USE: f64 = 0.95;

/// Longest allowed time between two patient answers during a flood, in seconds.
const MAX_PATIENT_GAP_S: f64 = 600.0;

/// Most attempts and forwards per request that was sent at least once.
const MAX_SENDS_PER_REQUEST: f64 = 1.1;

/// Longest allowed time until urgent service is normal after a flood, in seconds.
const MAX_RECOVERY_S: f64 = 30.0;

fn run_flood(text: &str) -> (PolicyReport, FloodReport) {
    let mut workload = load_workload(text).expect("decode the workload");
    workload.duration_s = FLOOD_START_S + FLOOD_DURATION_S + AFTER_FLOOD_S;
    for plan in &mut workload.faults {
        plan.at_s = FLOOD_START_S;
        plan.for_s = FLOOD_DURATION_S;
    }
    let policies = list_policies();
    let shipped: Vec<_> = policies.into_iter().filter(|policy| policy.name == "shipped").collect();
    let report = compare_policies(&workload, &shipped, 7).pop().expect("one report for one policy");
    let flood = report.flood.clone().expect("the workload has a flood");
    (report, flood)
}

fn assert_flood_limits(report: &PolicyReport, flood: &FloodReport) {
    assert!(report.sends_per_request <= MAX_SENDS_PER_REQUEST, "{report:?}");
    assert!(flood.patient_gap_s < MAX_PATIENT_GAP_S, "{flood:?}");
    assert!(flood.recovery_s <= MAX_RECOVERY_S, "{flood:?}");
}

#[test]
fn patient_flood_leaves_urgent_requests_of_other_workspaces_on_time() {
    for text in [
        include_str!("../workloads/kalevu-patient-flood.json"),
        include_str!("../workloads/trust-patient-flood.json"),
    ] {
        let (report, flood) = run_flood(text);
        assert_flood_limits(&report, &flood);
        assert!(flood.urgent_on_time >= MIN_URGENT_ON_TIME, "{flood:?}");
    }
}

#[test]
fn urgent_flood_leaves_patient_requests_answered_and_service_recovers() {
    let (report, flood) = run_flood(include_str!("../workloads/trust-urgent-flood.json"));
    assert_flood_limits(&report, &flood);
}

#[test]
fn urgent_flood_uses_capacity_for_answers_on_time() {
    let (report, flood) = run_flood(include_str!("../workloads/kalevu-urgent-flood.json"));
    assert_flood_limits(&report, &flood);
    assert!(flood.urgent_use >= MIN_URGENT_USE, "{flood:?}");
}
