//! Which traits of requests are blamed for crashes, and what the table of suspects keeps.

use cicadastall::{
    crash_blame::{BLAME_EPISODES, CulpritGroup, find_all_culprits, find_culprits},
    suspect::{
        EPISODE_SPAN, MAX_SUSPECTS, RequestFingerprint, SUSPICION_LIFETIME, SuspectTable,
        UpstreamCrash,
    },
};
use quickcheck::{Gen, QuickCheck};
use std::{collections::BTreeSet, time::Duration};
use tokio::time::Instant;

fn fingerprint(text: &str) -> RequestFingerprint {
    RequestFingerprint::compute_shared(&[text.as_bytes()])
}

fn crash(number: u64) -> UpstreamCrash {
    UpstreamCrash { upstream: format!("engine-{number}").as_str().into(), incarnation: 1 }
}

/// Culprits after crashes, each with the traits whose answers had not begun.
fn blame(crashes: &[&[&str]]) -> Vec<CulpritGroup> {
    let mut table = SuspectTable::default();
    let now = Instant::now();
    for (number, traits) in crashes.iter().enumerate() {
        for name in *traits {
            table.record_crash(fingerprint(name), crash(number as u64), episode(now, number));
        }
    }
    find_table_culprits(&table)
}

/// Time of the crash `number`.
fn episode(now: Instant, number: usize) -> Instant {
    now + number as u32 * EPISODE_SPAN
}

fn find_table_culprits(table: &SuspectTable) -> Vec<CulpritGroup> {
    find_culprits(table.suspects(), BLAME_EPISODES)
}

fn group(names: &[&str]) -> CulpritGroup {
    let mut group: CulpritGroup = names.iter().map(|name| fingerprint(name)).collect();
    group.sort();
    group
}

#[tokio::test(start_paused = true)]
async fn a_trait_is_blamed_at_the_third_crash() {
    assert_eq!(BLAME_EPISODES, 3);
    assert!(blame(&[&["deadly", "a"], &["deadly", "b"]]).is_empty());
    assert_eq!(
        blame(&[&["deadly", "a"], &["deadly", "b"], &["deadly", "c"]]),
        [group(&["deadly"])]
    );
}

#[tokio::test(start_paused = true)]
async fn traits_beside_a_culprit_are_not_blamed_for_its_crashes() {
    let crashes: [&[&str]; 4] =
        [&["deadly", "a", "b"], &["deadly", "a", "b"], &["deadly", "a"], &["deadly", "b"]];
    assert_eq!(blame(&crashes), [group(&["deadly"])]);
}

#[tokio::test(start_paused = true)]
async fn the_loss_of_a_rack_is_blamed_on_a_part_that_waited_on_all_its_upstreams() {
    let mut table = SuspectTable::default();
    let now = Instant::now();
    for number in 0..20 {
        let at = now + Duration::from_millis(20) * number as u32;
        table.record_crash(fingerprint("common"), crash(number), at);
    }
    assert!(find_table_culprits(&table).is_empty());
    table.record_crash(fingerprint("common"), crash(20), now + EPISODE_SPAN);
    assert!(find_table_culprits(&table).is_empty());
    table.record_crash(fingerprint("common"), crash(21), now + 2 * EPISODE_SPAN);
    assert_eq!(find_table_culprits(&table), [group(&["common"])]);
}

#[tokio::test(start_paused = true)]
async fn a_suspect_is_contrasted_on_all_instances_until_it_is_acquitted() {
    let now = Instant::now();
    let (mut first, mut second) = (SuspectTable::default(), SuspectTable::default());
    let common = fingerprint("common");
    first.record_crash(common, crash(1), now);
    second.merge(first.list(now), now);
    first.contrast(common);
    assert!(second.merge(first.list(now), now));
    assert!(second.is_contrasted(common));
    assert!(!second.merge(first.list(now), now), "nothing is new");
    second.acquit(common);
    second.record_crash(common, crash(2), now);
    assert!(!second.is_contrasted(common), "an acquittal begins anew");
}

#[tokio::test(start_paused = true)]
async fn two_culprits_are_found_beside_each_other() {
    let crashes: [&[&str]; 7] = [
        &["first", "a"],
        &["first", "second"],
        &["second", "a"],
        &["first"],
        &["second", "b"],
        &["first", "b"],
        &["second"],
    ];
    let mut found = blame(&crashes);
    found.sort();
    let mut expected = vec![group(&["first"]), group(&["second"])];
    expected.sort();
    assert_eq!(found, expected);
}

/// Guards against streams that are blamed for the culprits that waited beside them.
#[tokio::test(start_paused = true)]
async fn streams_under_way_are_blamed_for_a_culprit_that_never_begins() {
    let (now, mut table) = (Instant::now(), SuspectTable::default());
    for number in 0..4 {
        let at = episode(now, number as usize);
        let waiting = if number < 3 { vec!["deadly", "other"] } else { vec!["deadly"] };
        for name in &waiting {
            table.record_crash(fingerprint(name), crash(number), at);
        }
        for name in waiting.into_iter().chain(["stream"]) {
            table.record_crash_until_whole(fingerprint(name).until_whole(), crash(number), at);
        }
    }
    assert_eq!(find_all_culprits(&table, BLAME_EPISODES), [group(&["deadly"])]);
}

#[tokio::test(start_paused = true)]
async fn traits_that_always_come_together_are_blamed_as_a_group() {
    let together: [&[&str]; 3] =
        [&["deadly", "common"], &["deadly", "common"], &["deadly", "common"]];
    assert_eq!(blame(&together), [group(&["common", "deadly"])]);
    // One crash without the common part tells them apart.
    let apart = [&together[..], &[&["deadly", "other"]]].concat();
    assert_eq!(blame(&apart), [group(&["deadly"])]);
}

#[tokio::test(start_paused = true)]
async fn an_answer_that_begins_acquits_a_trait_on_all_instances() {
    let now = Instant::now();
    let (mut first, mut second) = (SuspectTable::default(), SuspectTable::default());
    for number in 0..3 {
        let at = episode(now, number as usize);
        first.record_crash(fingerprint("sound"), crash(number), at);
        first.record_crash(fingerprint("deadly"), crash(number), at);
    }
    let now = episode(now, 2);
    assert!(second.merge(first.list(now), now));
    assert!(second.acquit(fingerprint("sound")));
    assert!(!second.acquit(fingerprint("unknown")));
    assert!(first.merge(second.list(now), now));
    assert!(!second.merge(first.list(now), now), "nothing is new");
    for table in [first, second] {
        assert_eq!(find_table_culprits(&table), [group(&["deadly"])]);
    }
}

#[tokio::test(start_paused = true)]
async fn only_what_an_instance_saw_itself_is_reported_by_it() {
    let now = Instant::now();
    let (mut first, mut second) = (SuspectTable::default(), SuspectTable::default());
    first.record_crash(fingerprint("a"), crash(1), now);
    second.merge(first.list(now), now);
    assert!(second.list_observed(0, now).is_empty());
    assert_eq!(second.list_changed(0, now).len(), 1);
    let before = second.changes();
    second.record_crash(fingerprint("b"), crash(2), now);
    assert_eq!(second.list_observed(0, now).len(), 1);
    assert_eq!(second.list_changed(before, now).len(), 1);
    assert!(second.list_changed(second.changes(), now).is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_flood_of_suspects_evicts_no_culprit_and_ends_with_its_lifetime() {
    let now = Instant::now();
    let mut table = SuspectTable::default();
    for number in 0..3 {
        table.record_crash(fingerprint("deadly"), crash(number), episode(now, number as usize));
    }
    let now = episode(now, 2);
    for number in 0..2 * MAX_SUSPECTS {
        table.record_crash(fingerprint(&format!("sound-{number}")), crash(9), now);
    }
    assert_eq!(table.list(now).len(), MAX_SUSPECTS);
    assert_eq!(find_table_culprits(&table), [group(&["deadly"])]);
    for number in 0..1_000 {
        table.record_crash(fingerprint("deadly"), crash(number), now);
    }
    let stored = table.list(now).into_iter().map(|record| record.crashes.len()).max();
    assert_eq!(stored, Some(18), "two earlier ones and 16 of this episode");
    table.remove_expired(now + SUSPICION_LIFETIME - Duration::from_millis(1));
    assert_eq!(find_table_culprits(&table), [group(&["deadly"])]);
    table.remove_expired(now + SUSPICION_LIFETIME);
    assert!(table.suspects().next().is_none());
}

/// Instances that merge the same records in different orders blame the same traits.
#[test]
fn blame_does_not_depend_on_the_order_of_merges() {
    fn agrees(observed: Vec<(u8, u8, u8)>, acquitted: Vec<(u8, u8)>) -> bool {
        let now = Instant::now();
        let mut tables: Vec<SuspectTable> = (0..3).map(|_| SuspectTable::default()).collect();
        for (at, name, number) in observed {
            let name = fingerprint(&(name % 8).to_string());
            let number = number % 10;
            let at_time = episode(now, number.into());
            tables[usize::from(at) % 3].record_crash(name, crash(number.into()), at_time);
        }
        for (at, name) in acquitted {
            tables[usize::from(at) % 3].acquit(fingerprint(&(name % 8).to_string()));
        }
        let now = episode(now, 10);
        for _ in 0..2 {
            for (from, to) in [(0, 1), (1, 2), (2, 0), (2, 1), (1, 0), (0, 2)] {
                let records = tables[from].list(now);
                tables[to].merge(records, now);
            }
        }
        let found = tables.iter().map(find_table_culprits).collect::<BTreeSet<_>>();
        found.len() == 1
    }
    let mut checker = QuickCheck::new().rng(Gen::from_size_and_seed(60, 20_261_204)).tests(300);
    checker.quickcheck(agrees as fn(Vec<(u8, u8, u8)>, Vec<(u8, u8)>) -> bool);
}
