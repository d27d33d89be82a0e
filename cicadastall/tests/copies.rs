//! Placement of request copies: every entry derives the same order of upstreams without
//! coordination, and one entry runs copies on at most two upstreams.

use cicadastall::{
    name::UpstreamName,
    route::copies::{COPY_UPSTREAMS, CopyCandidate, CopyPlacement, score_tolerance},
    suspect::RequestFingerprint,
};
use quickcheck::{Arbitrary, Gen, QuickCheck, Testable};
use std::{collections::BTreeSet, time::Duration};

const SEED: u64 = 43;
const TESTS: u64 = 4_000;
const FIRST_TOKEN: Duration = Duration::from_millis(800);

fn fingerprint(number: u8) -> RequestFingerprint {
    RequestFingerprint::compute(&"aqaba".into(), &[&[number]])
}

fn upstreams(count: u8) -> Vec<UpstreamName> {
    (0..count).map(|number| UpstreamName::new(format!("m{number}"))).collect()
}

/// Load of one upstream as predicted by one entry.
#[derive(Debug, Clone)]
struct ObservedLoad {
    score_ms: u16,
    late: bool,
}

impl Arbitrary for ObservedLoad {
    fn arbitrary(gen_: &mut Gen) -> Self {
        let score_ms = u16::arbitrary(gen_) % 2_000;
        Self { score_ms, late: u8::arbitrary(gen_).is_multiple_of(4) }
    }
}

/// One step of a schedule at one entry.
#[derive(Debug, Clone)]
enum CopyStep {
    /// A copy starts under these loads.
    Start(Vec<ObservedLoad>),
    /// One of the running copies ends.
    End(u8),
}

impl Arbitrary for CopyStep {
    fn arbitrary(gen_: &mut Gen) -> Self {
        match bool::arbitrary(gen_) || bool::arbitrary(gen_) {
            true => Self::Start((0..8).map(|_| ObservedLoad::arbitrary(gen_)).collect()),
            false => Self::End(u8::arbitrary(gen_)),
        }
    }
}

fn candidates<'a>(names: &'a [UpstreamName], loads: &[ObservedLoad]) -> Vec<CopyCandidate<'a>> {
    let pairs = names.iter().zip(loads);
    pairs
        .map(|(upstream, load)| CopyCandidate {
            upstream,
            score: f64::from(load.score_ms) / 1_000.0,
            late: load.late,
        })
        .collect()
}

fn placement(running: &BTreeSet<UpstreamName>, number: u8) -> CopyPlacement<'_> {
    CopyPlacement {
        fingerprint: fingerprint(number),
        running: running.iter().collect(),
        score_tolerance_s: score_tolerance(FIRST_TOKEN),
        suspect: false,
    }
}

/// For any loads and any order of starts and ends, the concurrent copies of one entry run on at most
/// two upstreams.
fn copies_share_upstreams(number: u8, steps: Vec<CopyStep>) -> bool {
    let names = upstreams(8);
    let mut running: Vec<UpstreamName> = Vec::new();
    steps.iter().all(|step| {
        match step {
            CopyStep::Start(loads) => {
                let distinct = running.iter().cloned().collect();
                let candidates = candidates(&names, loads);
                let index = placement(&distinct, number).choose(&candidates).expect("a candidate");
                running.push(names[index].clone());
            }
            CopyStep::End(index) if !running.is_empty() => {
                running.swap_remove(usize::from(*index) % running.len());
            }
            CopyStep::End(_) => {}
        }
        running.iter().collect::<BTreeSet<_>>().len() <= COPY_UPSTREAMS
    })
}

/// If several entries observe nearly equal loads, their first and further copies all run on one
/// upstream, regardless of the order in which the entries list the upstreams.
fn entries_select_one_upstream(number: u8, noise: Vec<Vec<u8>>, best_ms: u16) -> bool {
    let names = upstreams(8);
    let tolerance_ms = (score_tolerance(FIRST_TOKEN) * 1_000.0) as u16;
    let mut used = BTreeSet::new();
    for (entry, noise) in noise.iter().enumerate() {
        let mut listed = names.clone();
        listed.rotate_left(entry % names.len());
        let load = |index: usize| ObservedLoad {
            score_ms: best_ms % 500 + u16::from(*noise.get(index).unwrap_or(&0)) % tolerance_ms,
            late: false,
        };
        let loads: Vec<_> = (0..listed.len()).map(load).collect();
        let mut running = BTreeSet::new();
        for _copy in 0..3 {
            let candidates = candidates(&listed, &loads);
            let index = placement(&running, number).choose(&candidates).expect("a candidate");
            running.insert(listed[index].clone());
        }
        used.extend(running);
    }
    used.len() <= 1
}

/// After a crash all entries use the same order, regardless of the loads that they observe.
fn suspect_order_ignores_load(
    number: u8,
    first: Vec<ObservedLoad>,
    second: Vec<ObservedLoad>,
) -> bool {
    let names = upstreams(first.len().min(second.len()) as u8);
    let none_running = BTreeSet::new();
    let placement = CopyPlacement { suspect: true, ..placement(&none_running, number) };
    placement.choose(&candidates(&names, &first)) == placement.choose(&candidates(&names, &second))
}

fn check(property: impl Testable) {
    let gen_ = Gen::from_size_and_seed(20, SEED);
    QuickCheck::new().rng(gen_).tests(TESTS).quickcheck(property);
}

#[test]
fn copies_of_one_entry_run_on_at_most_two_upstreams() {
    check(copies_share_upstreams as fn(u8, Vec<CopyStep>) -> bool);
}

#[test]
fn entries_with_similar_loads_select_one_upstream() {
    check(entries_select_one_upstream as fn(u8, Vec<Vec<u8>>, u16) -> bool);
}

#[test]
fn suspect_requests_follow_one_order_regardless_of_load() {
    check(suspect_order_ignores_load as fn(u8, Vec<ObservedLoad>, Vec<ObservedLoad>) -> bool);
}

#[test]
fn clearly_less_loaded_upstream_is_selected_despite_the_order() {
    let names = upstreams(8);
    let none_running = BTreeSet::new();
    for number in 0..=u8::MAX {
        let mut loads = vec![ObservedLoad { score_ms: 300, late: false }; names.len()];
        loads[3].score_ms = 100;
        let index = placement(&none_running, number).choose(&candidates(&names, &loads));
        assert_eq!(index, Some(3), "request {number}");
    }
}

#[test]
fn different_requests_spread_evenly_over_upstreams() {
    let names = upstreams(8);
    let none_running = BTreeSet::new();
    let mut counts = [0_u32; 8];
    let loads = vec![ObservedLoad { score_ms: 300, late: false }; names.len()];
    for number in 0..=u8::MAX {
        let index = placement(&none_running, number).choose(&candidates(&names, &loads));
        counts[index.expect("a candidate")] += 1;
    }
    assert!(counts.iter().all(|count| (16..64).contains(count)), "half to twice 32: {counts:?}");
}
