//! Copies of one request stay together: every entry derives the same order of upstreams without
//! asking, and one entry spreads them over two at most.

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

/// What one entry makes of one upstream.
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

/// One step of a schedule, at any entry.
#[derive(Debug, Clone)]
enum CopyStep {
    /// A copy starts, and its entry sees these loads.
    Start(Vec<ObservedLoad>),
    /// One of the copies that run ends.
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

/// Whatever the loads and the order of starts and ends, the copies of one entry that run at the
/// same time share two upstreams.
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

/// First copies at several entries that see nearly equal loads, in whatever order they list the
/// upstreams, and further copies at those entries, all meet on one upstream.
fn entries_agree(number: u8, noise: Vec<Vec<u8>>, best_ms: u16) -> bool {
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

/// After a crash every entry goes on in the same order, whatever the loads it sees.
fn suspects_agree(number: u8, first: Vec<ObservedLoad>, second: Vec<ObservedLoad>) -> bool {
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
fn copies_of_one_entry_share_two_upstreams() {
    check(copies_share_upstreams as fn(u8, Vec<CopyStep>) -> bool);
}

#[test]
fn copies_of_many_entries_meet_on_one_upstream() {
    check(entries_agree as fn(u8, Vec<Vec<u8>>, u16) -> bool);
}

#[test]
fn suspects_follow_one_order_whatever_the_load() {
    check(suspects_agree as fn(u8, Vec<ObservedLoad>, Vec<ObservedLoad>) -> bool);
}

#[test]
fn a_lightly_loaded_upstream_wins_over_the_order() {
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
fn orders_of_different_requests_spread_evenly() {
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
