//! The report of a comparison is determined by its workload and seed.

use cicadastall_bench::compare::{
    compare_policies,
    policies::list_policies,
    workload::{Workload, load_workload},
};

fn shorten_workload(text: &str) -> Workload {
    let mut workload = load_workload(text).expect("decode the workload");
    workload.duration_s = 400;
    for plan in &mut workload.faults {
        plan.at_s = 100;
        plan.for_s = 100;
    }
    workload
}

fn compare_to_json(text: &str, seed: u64) -> String {
    let reports = compare_policies(&shorten_workload(text), &list_policies(), seed);
    serde_json::to_string(&reports).expect("encode the reports")
}

#[test]
fn equal_seeds_give_identical_reports() {
    for text in [
        include_str!("../workloads/trust-faults.json"),
        include_str!("../workloads/kalevu-urgent-flood.json"),
    ] {
        let report = compare_to_json(text, 11);
        assert_eq!(report, compare_to_json(text, 11));
        assert_ne!(report, compare_to_json(text, 12));
    }
}

#[test]
fn every_workload_of_the_repository_runs() {
    let folder = concat!(env!("CARGO_MANIFEST_DIR"), "/workloads");
    for file in std::fs::read_dir(folder).expect("read the folder of workloads") {
        let path = file.expect("read the folder entry").path();
        let text = std::fs::read_to_string(&path).expect("read a workload");
        assert!(compare_to_json(&text, 1).contains("busy_hours"), "{}", path.display());
    }
}
