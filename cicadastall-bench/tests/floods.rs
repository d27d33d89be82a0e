//! What users were promised of floods, on short runs with fixed seeds.

use cicadastall_bench::compare::{
    compare_policies,
    metrics::{FloodReport, PolicyReport},
    policies::list_policies,
    workload::load_workload,
};

/// Start of each flood, in seconds.
const FLOOD_START_S: u64 = 60;

/// Length of each flood, in seconds; more than the longest time without patient answers.
const FLOOD_S: u64 = 720;

/// Time after each flood, in seconds.
const CALM_S: u64 = 180;

/// Least share of others' urgent requests that are on time in a flood of patient work.
const URGENT_ON_TIME: f64 = 0.99;

/// Least part of the capacity that is used for urgent work on time in a flood of urgent work.
const URGENT_USE: f64 = 0.95;

/// Time in which patient work must be answered again, in seconds.
const PATIENT_GAP_S: f64 = 600.0;

/// Most attempts and forwards for each request that is sent.
const AMPLIFICATION: f64 = 1.1;

/// Longest time until service is normal after a flood, in seconds.
const RECOVERY_S: f64 = 30.0;

fn flood(text: &str) -> (PolicyReport, FloodReport) {
    let mut workload = load_workload(text).expect("a workload");
    workload.duration_s = FLOOD_START_S + FLOOD_S + CALM_S;
    for plan in &mut workload.faults {
        plan.at_s = FLOOD_START_S;
        plan.for_s = FLOOD_S;
    }
    let policies = list_policies();
    let shipped: Vec<_> = policies.into_iter().filter(|entry| entry.name == "shipped").collect();
    let report = compare_policies(&workload, &shipped, 7).pop().expect("one policy");
    let flood = report.flood.clone().expect("the workload has a flood");
    (report, flood)
}

fn assert_kept(report: &PolicyReport, flood: &FloodReport) {
    assert!(report.sends_per_request <= AMPLIFICATION, "{report:?}");
    assert!(flood.patient_gap_s < PATIENT_GAP_S, "{flood:?}");
    assert!(flood.recovery_s <= RECOVERY_S, "{flood:?}");
}

#[test]
fn urgent_work_of_others_is_on_time_in_a_flood_of_patient_work() {
    for text in [
        include_str!("../workloads/kalevu-patient-flood.json"),
        include_str!("../workloads/trust-patient-flood.json"),
    ] {
        let (report, flood) = flood(text);
        assert_kept(&report, &flood);
        assert!(flood.urgent_on_time >= URGENT_ON_TIME, "{flood:?}");
    }
}

#[test]
fn patient_work_goes_on_and_service_returns_in_a_flood_of_urgent_work() {
    let (report, flood) = flood(include_str!("../workloads/trust-urgent-flood.json"));
    assert_kept(&report, &flood);
}

#[test]
fn kalevu_s_capacity_does_urgent_work_on_time_in_a_flood_of_it() {
    let (report, flood) = flood(include_str!("../workloads/kalevu-urgent-flood.json"));
    assert_kept(&report, &flood);
    assert!(flood.urgent_use >= URGENT_USE, "{flood:?}");
}
