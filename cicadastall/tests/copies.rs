//! Copies of one request stay together: every entry derives the same order of upstreams without
//! asking, and one entry spreads them over two at most.

use cicadastall::{
    name::UpstreamName,
    route::copies::{COPY_UPSTREAMS, CopyCandidate, CopyPlaces, margin},
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
struct EntryView {
    score_ms: u16,
    late: bool,
}

impl Arbitrary for EntryView {
    fn arbitrary(gen_: &mut Gen) -> Self {
        let score_ms = u16::arbitrary(gen_) % 2_000;
        Self { score_ms, late: u8::arbitrary(gen_).is_multiple_of(4) }
    }
}

/// One step of a schedule, at any entry.
#[derive(Debug, Clone)]
enum CopyStep {
    /// A copy starts, and its entry sees these loads.
    Start(Vec<EntryView>),
    /// One of the copies that run ends.
    End(u8),
}

impl Arbitrary for CopyStep {
    fn arbitrary(gen_: &mut Gen) -> Self {
        match bool::arbitrary(gen_) || bool::arbitrary(gen_) {
            true => Self::Start((0..8).map(|_| EntryView::arbitrary(gen_)).collect()),
            false => Self::End(u8::arbitrary(gen_)),
        }
    }
}

fn candidates<'a>(names: &'a [UpstreamName], views: &[EntryView]) -> Vec<CopyCandidate<'a>> {
    let pairs = names.iter().zip(views);
    pairs
        .map(|(upstream, view)| CopyCandidate {
            upstream,
            score: f64::from(view.score_ms) / 1_000.0,
            late: view.late,
        })
        .collect()
}

fn places(running: &BTreeSet<UpstreamName>, number: u8) -> CopyPlaces<'_> {
    CopyPlaces {
        fingerprint: fingerprint(number),
        running: running.iter().collect(),
        margin: margin(FIRST_TOKEN),
        suspect: false,
    }
}

/// Whatever the loads and the order of starts and ends, the copies of one entry that run at the
/// same time share two upstreams.
fn stay_together(number: u8, steps: Vec<CopyStep>) -> bool {
    let names = upstreams(8);
    let mut running: Vec<UpstreamName> = Vec::new();
    steps.iter().all(|step| {
        match step {
            CopyStep::Start(views) => {
                let distinct = running.iter().cloned().collect();
                let candidates = candidates(&names, views);
                let place = places(&distinct, number).choose(&candidates).expect("a candidate");
                running.push(names[place].clone());
            }
            CopyStep::End(place) if !running.is_empty() => {
                running.swap_remove(usize::from(*place) % running.len());
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
    let margin_ms = (margin(FIRST_TOKEN) * 1_000.0) as u16;
    let mut used = BTreeSet::new();
    for (entry, noise) in noise.iter().enumerate() {
        let mut listed = names.clone();
        listed.rotate_left(entry % names.len());
        let view = |place: usize| EntryView {
            score_ms: best_ms % 500 + u16::from(*noise.get(place).unwrap_or(&0)) % margin_ms,
            late: false,
        };
        let views: Vec<_> = (0..listed.len()).map(view).collect();
        let mut running = BTreeSet::new();
        for _copy in 0..3 {
            let candidates = candidates(&listed, &views);
            let place = places(&running, number).choose(&candidates).expect("a candidate");
            running.insert(listed[place].clone());
        }
        used.extend(running);
    }
    used.len() <= 1
}

/// After a crash every entry goes on in the same order, whatever the loads it sees.
fn suspects_agree(number: u8, first: Vec<EntryView>, second: Vec<EntryView>) -> bool {
    let names = upstreams(first.len().min(second.len()) as u8);
    let nowhere = BTreeSet::new();
    let places = CopyPlaces { suspect: true, ..places(&nowhere, number) };
    places.choose(&candidates(&names, &first)) == places.choose(&candidates(&names, &second))
}

fn check(property: impl Testable) {
    let gen_ = Gen::from_size_and_seed(20, SEED);
    QuickCheck::new().rng(gen_).tests(TESTS).quickcheck(property);
}

#[test]
fn copies_of_one_entry_share_two_upstreams() {
    check(stay_together as fn(u8, Vec<CopyStep>) -> bool);
}

#[test]
fn copies_of_many_entries_meet_on_one_upstream() {
    check(entries_agree as fn(u8, Vec<Vec<u8>>, u16) -> bool);
}

#[test]
fn suspects_follow_one_order_whatever_the_load() {
    check(suspects_agree as fn(u8, Vec<EntryView>, Vec<EntryView>) -> bool);
}

#[test]
fn a_lightly_loaded_upstream_wins_over_the_order() {
    let names = upstreams(8);
    let nowhere = BTreeSet::new();
    for number in 0..=u8::MAX {
        let mut views = vec![EntryView { score_ms: 300, late: false }; names.len()];
        views[3].score_ms = 100;
        let place = places(&nowhere, number).choose(&candidates(&names, &views));
        assert_eq!(place, Some(3), "request {number}");
    }
}

#[test]
fn orders_of_different_requests_spread_evenly() {
    let names = upstreams(8);
    let nowhere = BTreeSet::new();
    let mut counts = [0_u32; 8];
    let views = vec![EntryView { score_ms: 300, late: false }; names.len()];
    for number in 0..=u8::MAX {
        let place = places(&nowhere, number).choose(&candidates(&names, &views));
        counts[place.expect("a candidate")] += 1;
    }
    assert!(counts.iter().all(|count| (16..64).contains(count)), "half to twice 32: {counts:?}");
}
