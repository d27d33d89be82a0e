//! Tests suspicion, isolation and quarantine of requests that crash upstreams.

use cicadastall::suspect::{
    IsolationReply, IsolationRequest, RequestFingerprint, SUSPICION_LIFETIME, SuspectTable,
    Suspicion, UpstreamCrash,
};
use std::time::Duration;
use tokio::time::Instant;

fn fingerprint(text: &str) -> RequestFingerprint {
    RequestFingerprint::compute(&"aqaba".into(), &[text.as_bytes()])
}

fn crash(upstream: &str) -> UpstreamCrash {
    UpstreamCrash { upstream: upstream.into(), incarnation: 1 }
}

fn isolation(request: &str, upstream: &str, attempt: &str, hold_ms: u64) -> IsolationRequest {
    IsolationRequest {
        fingerprint: fingerprint(request),
        upstream: upstream.into(),
        attempt: attempt.into(),
        hold_ms,
    }
}

#[tokio::test(start_paused = true)]
async fn two_crashes_seen_by_two_entries_quarantine_the_request() {
    let (mut first, mut second) = (SuspectTable::default(), SuspectTable::default());
    let now = Instant::now();
    let poison = fingerprint("poison");
    first.record_crash(poison, crash("m1"), now);
    second.record_crash(poison, crash("m1"), now);
    second.merge(first.list(now), now);
    assert_eq!(second.classify(poison, now), Suspicion::Suspect, "one crash counts once");
    second.record_crash(poison, crash("m2"), now);
    first.merge(second.list(now), now);
    let quarantined = Suspicion::Quarantined { remaining: SUSPICION_LIFETIME };
    assert_eq!(first.classify(poison, now), quarantined);
    let later = now + SUSPICION_LIFETIME;
    assert_eq!(first.classify(poison, later), Suspicion::None);
}

#[tokio::test(start_paused = true)]
async fn whole_answer_clears_a_suspect_but_not_a_quarantine() {
    let mut table = SuspectTable::default();
    let now = Instant::now();
    let (innocent, poison) = (fingerprint("innocent"), fingerprint("poison"));
    for request in [innocent, poison] {
        table.record_crash(request, crash("m1"), now);
    }
    table.record_crash(poison, crash("m2"), now);
    table.clear(innocent, now);
    table.clear(poison, now);
    assert_eq!(table.classify(innocent, now), Suspicion::None);
    assert!(matches!(table.classify(poison, now), Suspicion::Quarantined { .. }));
}

#[tokio::test(start_paused = true)]
async fn release_by_an_operator_is_not_undone_by_an_older_record() {
    let mut table = SuspectTable::default();
    let now = Instant::now();
    let poison = fingerprint("poison");
    table.record_crash(poison, crash("m1"), now);
    table.record_crash(poison, crash("m2"), now);
    let older = table.list(now);
    assert!(table.release(poison));
    table.merge(older, now);
    assert_eq!(table.classify(poison, now), Suspicion::None);
    assert!(!table.release(fingerprint("other")));
}

#[tokio::test(start_paused = true)]
async fn request_sent_after_a_known_crash_was_not_running_at_it() {
    let (mut first, mut second) = (SuspectTable::default(), SuspectTable::default());
    let start = Instant::now();
    first.record_crash(fingerprint("poison"), crash("m1"), start);
    let received = start + Duration::from_millis(300);
    second.merge(first.list(received), received);
    for (table, learned) in [(&first, start), (&second, received)] {
        assert!(!table.is_known_before(&crash("m1"), learned), "it was running at the crash");
        assert!(table.is_known_before(&crash("m1"), learned + Duration::from_millis(1)));
        assert!(!table.is_known_before(&crash("m2"), learned + Duration::from_secs(1)));
    }
    let restarted = UpstreamCrash { incarnation: 2, ..crash("m1") };
    assert!(!first.is_known_before(&restarted, start + Duration::from_secs(1)));
    let later = start + Duration::from_secs(4);
    first.record_crash(fingerprint("innocent"), crash("m1"), later);
    assert!(first.is_known_before(&crash("m1"), later), "the first report counts");
    let much_later = start + Duration::from_secs(5);
    assert!(
        !first.is_known_before(&crash("m1"), much_later),
        "it may have restarted with the same incarnation"
    );
}

#[tokio::test(start_paused = true)]
async fn suspects_run_one_at_a_time_on_an_upstream() {
    let mut table = SuspectTable::default();
    let now = Instant::now();
    let hold = 1_000;
    let granted = IsolationReply::Granted;
    assert_eq!(table.isolate(&isolation("a", "m1", "a.1", hold), now), granted);
    let busy = IsolationReply::Busy;
    assert_eq!(table.isolate(&isolation("b", "m1", "b.1", hold), now), busy, "same upstream");
    assert_eq!(table.isolate(&isolation("a", "m2", "c.1", hold), now), busy, "same request");
    assert_eq!(table.isolate(&isolation("b", "m2", "b.1", hold), now), granted);
    table.isolate(&isolation("a", "m1", "a.1", 0), now);
    assert_eq!(table.isolate(&isolation("c", "m1", "c.1", hold), now), granted);
    let later = now + Duration::from_millis(hold);
    assert_eq!(table.isolate(&isolation("d", "m1", "d.1", hold), later), granted);
    for upstream in ["m1", "m2"] {
        table.record_crash(fingerprint("e"), crash(upstream), later);
    }
    assert_eq!(table.isolate(&isolation("e", "m3", "e.1", hold), later), busy, "quarantined");
}

#[test]
fn same_content_has_a_different_fingerprint_in_each_region() {
    let elsewhere = RequestFingerprint::compute(&"amman".into(), &[b"poison"]);
    assert_ne!(fingerprint("poison"), elsewhere);
    assert_eq!(fingerprint("poison").to_string().parse(), Ok(fingerprint("poison")));
}
