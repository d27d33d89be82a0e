//! A booking runs at most once despite failures of entries, control and the service, and a caller is
//! told that it did not run only if it did not.

mod bookings;
mod common;

use bookings::{
    BookOutcome, BookingFleet, DEADLINE, FIRST, MAX_RETRY_PAUSE, PausePoint, REMOTE, SECOND,
    measure,
};
use cicadastall::{
    claim::{ClaimError, ClaimOutcome},
    ledger::{LedgerLimits, command::LedgerRefusal},
};
use serde_json::json;
use std::time::Duration;
use tokio::{task::JoinHandle, time::sleep};

const IN_PROGRESS: &str = "in_progress ran=unknown";
const OUTCOME_UNKNOWN: &str = "outcome_unknown ran=unknown";
const HOME_UNREACHABLE: &str = "home_unreachable ran=no";

async fn fleet(name: &str) -> BookingFleet {
    BookingFleet::start(name, LedgerLimits::default()).await
}

/// Starts a booking through the first entry and waits until the ledger pauses it at `pause_point`.
async fn start_paused(
    fleet: &BookingFleet,
    session: &str,
    key: &str,
    pause_point: PausePoint,
) -> JoinHandle<BookOutcome> {
    fleet.ledger.pause_at(pause_point);
    let booking = fleet.start_booking(FIRST, session, key);
    fleet.ledger.wait_paused().await;
    booking
}

fn booked() -> BookOutcome {
    BookOutcome::Result(json!({ "done": {} }))
}

#[tokio::test(flavor = "multi_thread")]
async fn entry_killed_before_its_claim() {
    let mut fleet = fleet("killed-before-claim").await;
    let session = fleet.session(FIRST).await;
    let first = start_paused(&fleet, &session, "k", PausePoint::BeforeClaim).await;
    fleet.kill(FIRST);
    assert_eq!(first.await.expect("a caller"), BookOutcome::NoAnswer);
    fleet.ledger.discard();
    assert_eq!(fleet.resend(SECOND, &session, "k").await, booked());
    assert_eq!(fleet.executions("k"), 1);
    fleet.assert_at_most_once();
}

#[tokio::test(flavor = "multi_thread")]
async fn entry_killed_between_the_claim_and_the_first_byte() {
    let mut fleet = fleet("killed-after-claim").await;
    let session = fleet.session(FIRST).await;
    let first = start_paused(&fleet, &session, "k", PausePoint::AfterClaim).await;
    fleet.kill(FIRST);
    assert_eq!(first.await.expect("a caller"), BookOutcome::NoAnswer);
    fleet.ledger.resume();
    assert_eq!(fleet.resend(SECOND, &session, "k").await.code(), IN_PROGRESS);
    let outcome =
        fleet.resend_while_in_progress(SECOND, &session, "k", json!({}), MAX_RETRY_PAUSE).await;
    assert_eq!(outcome.code(), OUTCOME_UNKNOWN);
    for entry in [SECOND, REMOTE] {
        let outcome = fleet.resend_until_settled(entry, &session, "k").await;
        assert_eq!(outcome.code(), OUTCOME_UNKNOWN);
    }
    assert_eq!(fleet.executions("k"), 0);
    fleet.assert_at_most_once();
}

#[tokio::test(flavor = "multi_thread")]
async fn claim_that_is_not_confirmed_is_withdrawn() {
    let fleet = fleet("unconfirmed-claim").await;
    let session = fleet.session(FIRST).await;
    fleet.ledger.pause_at(PausePoint::AfterClaim);
    let (outcome, elapsed) = measure(fleet.book(FIRST, &session, "k", json!({}))).await;
    assert_eq!(outcome.code(), HOME_UNREACHABLE);
    assert!(elapsed < Duration::from_millis(1_400), "refused after {elapsed:?}");
    fleet.ledger.resume();
    assert_eq!(fleet.resend_until_settled(SECOND, &session, "k").await, booked());
    assert_eq!(fleet.executions("k"), 1);
    fleet.assert_at_most_once();
}

#[tokio::test(flavor = "multi_thread")]
async fn entry_killed_between_dispatch_and_answer() {
    let mut fleet = fleet("killed-after-dispatch").await;
    let session = fleet.session(FIRST).await;
    let arguments = json!({ "order": "fault:silent" });
    let (first, ()) = tokio::join!(fleet.book(FIRST, &session, "k", arguments), async {
        while fleet.executions("k") == 0 {
            sleep(Duration::from_millis(5)).await;
        }
        fleet.signal(FIRST, "KILL");
    });
    assert_eq!(first, BookOutcome::NoAnswer);
    fleet.kill(FIRST);
    let arguments = json!({ "order": "fault:silent" });
    let second = fleet.book(SECOND, &session, "k", arguments.clone()).await;
    assert_eq!(second.code(), IN_PROGRESS);
    let (again, bound) = (arguments.clone(), MAX_RETRY_PAUSE);
    let outcome = fleet.resend_while_in_progress(SECOND, &session, "k", again, bound).await;
    assert_eq!(outcome.code(), OUTCOME_UNKNOWN);
    assert_eq!(fleet.book(SECOND, &session, "k", arguments).await.code(), OUTCOME_UNKNOWN);
    assert_eq!(fleet.executions("k"), 1);
    fleet.assert_at_most_once();
}

#[tokio::test(flavor = "multi_thread")]
async fn entry_killed_after_the_result_was_recorded_or_answered() {
    let mut fleet = fleet("killed-after-result").await;
    let session = fleet.session(FIRST).await;
    assert_eq!(fleet.book(FIRST, &session, "answered", json!({})).await, booked());
    let first = start_paused(&fleet, &session, "recorded", PausePoint::AfterComplete).await;
    fleet.kill(FIRST);
    assert_eq!(first.await.expect("a caller"), BookOutcome::NoAnswer);
    fleet.ledger.resume();
    for key in ["answered", "recorded"] {
        for entry in [SECOND, REMOTE] {
            let outcome = fleet.resend_until_settled(entry, &session, key).await;
            assert_eq!(outcome, booked(), "{key}");
        }
        assert_eq!(fleet.executions(key), 1);
    }
    fleet.assert_at_most_once();
}

#[tokio::test(flavor = "multi_thread")]
async fn caller_hangs_up_while_its_booking_runs() {
    let fleet = fleet("hung-up").await;
    let session = fleet.session(FIRST).await;
    let first = start_paused(&fleet, &session, "k", PausePoint::AfterClaim).await;
    first.abort();
    sleep(Duration::from_millis(100)).await;
    fleet.ledger.resume();
    assert_eq!(fleet.resend_until_settled(SECOND, &session, "k").await, booked());
    assert_eq!(fleet.executions("k"), 1);
    fleet.assert_at_most_once();
}

#[tokio::test(flavor = "multi_thread")]
async fn stop_waits_for_the_booking_of_a_caller_that_hung_up() {
    let mut fleet = fleet("hung-up-stop").await;
    let session = fleet.session(FIRST).await;
    let first = start_paused(&fleet, &session, "k", PausePoint::AfterClaim).await;
    first.abort();
    sleep(Duration::from_millis(100)).await;
    fleet.signal(FIRST, "TERM");
    sleep(Duration::from_millis(300)).await;
    fleet.ledger.resume();
    let status = fleet.wait_ended(FIRST).await.expect("the entry ends");
    assert!(status.success(), "a request was cut off: {status}");
    assert_eq!(fleet.executions("k"), 1);
    assert_eq!(fleet.resend(SECOND, &session, "k").await, booked());
    assert_eq!(fleet.executions("k"), 1);
    fleet.assert_at_most_once();
}

#[tokio::test(flavor = "multi_thread")]
async fn one_booking_sent_through_three_entries_at_the_same_moment() {
    let fleet = fleet("three-entries").await;
    let session = fleet.session(REMOTE).await;
    for round in 0..20 {
        let key = format!("k{round}");
        let (first, again, second, remote) = tokio::join!(
            fleet.book(FIRST, &session, &key, json!({})),
            fleet.book(FIRST, &session, &key, json!({})),
            fleet.book(SECOND, &session, &key, json!({})),
            fleet.book(REMOTE, &session, &key, json!({})),
        );
        for outcome in [&first, &again, &second, &remote] {
            assert!(*outcome == booked() || outcome.code() == IN_PROGRESS, "{outcome:?}");
        }
        assert!([first, again, second, remote].contains(&booked()), "no caller got the result");
        assert_eq!(fleet.resend(REMOTE, &session, &key).await, booked());
        assert_eq!(fleet.executions(&key), 1);
    }
    fleet.assert_at_most_once();
}

#[tokio::test(flavor = "multi_thread")]
async fn frozen_holder_of_a_claim_wakes_after_another_was_told_unknown() {
    let fleet = fleet("frozen-claim").await;
    let session = fleet.session(FIRST).await;
    let first = start_paused(&fleet, &session, "k", PausePoint::AfterClaim).await;
    fleet.signal(FIRST, "STOP");
    fleet.ledger.resume();
    let outcome =
        fleet.resend_while_in_progress(SECOND, &session, "k", json!({}), MAX_RETRY_PAUSE).await;
    assert_eq!(outcome.code(), OUTCOME_UNKNOWN);
    fleet.signal(FIRST, "CONT");
    let woken = first.await.expect("a caller");
    assert!(matches!(&woken, BookOutcome::Refusal { .. }), "{woken:?}");
    sleep(Duration::from_millis(200)).await;
    assert_eq!(fleet.executions("k"), 0, "dispatched after another caller got outcome_unknown");
    fleet.assert_at_most_once();
}

#[tokio::test(flavor = "multi_thread")]
async fn paused_task_keeps_its_claim_until_it_releases_it() {
    let fleet = fleet("paused-claim").await;
    let session = fleet.session(FIRST).await;
    let claimed = fleet.claim(&session, "k", "paused", DEADLINE).await;
    let Ok(ClaimOutcome::Held(paused)) = claimed else {
        panic!("the first claim is granted");
    };
    let outcome =
        fleet.resend_while_in_progress(SECOND, &session, "k", json!({}), MAX_RETRY_PAUSE).await;
    assert_eq!(outcome.code(), OUTCOME_UNKNOWN);
    assert_eq!(fleet.executions("k"), 0);
    paused.release(&fleet.ledger_client()).await.expect("the task holds the claim");
    assert_eq!(fleet.resend(SECOND, &session, "k").await, booked());
    assert_eq!(fleet.executions("k"), 1);
    fleet.assert_at_most_once();
}

#[tokio::test(flavor = "multi_thread")]
async fn claim_that_is_confirmed_after_the_deadline_is_released() {
    let fleet = fleet("late-claim").await;
    let session = fleet.session(FIRST).await;
    fleet.ledger.pause_at(PausePoint::AfterClaim);
    let remaining = Duration::from_millis(300);
    let (claimed, ()) = tokio::join!(fleet.claim(&session, "k", "late", remaining), async {
        sleep(Duration::from_millis(500)).await;
        fleet.ledger.resume();
    });
    let error = claimed.expect_err("claimed after its deadline");
    assert_eq!(error, ClaimError::Refused(LedgerRefusal::ClaimClosed));
    assert_eq!(fleet.resend(SECOND, &session, "k").await, booked());
    assert_eq!(fleet.executions("k"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn ledger_isolated_in_silence_then_lost_then_founded_again() {
    let mut fleet = fleet("ledger-lost").await;
    let session = fleet.session(FIRST).await;
    assert_eq!(fleet.book(FIRST, &session, "before", json!({})).await, booked());
    fleet.ledger.pause_at(PausePoint::BeforeClaim);
    for entry in [FIRST, SECOND, REMOTE] {
        let (outcome, elapsed) = measure(fleet.book(entry, &session, "silent", json!({}))).await;
        assert_eq!(outcome.code(), HOME_UNREACHABLE);
        assert!(matches!(outcome, BookOutcome::Refusal { retry_after: true, .. }));
        assert!(elapsed < Duration::from_millis(1_400), "refused after {elapsed:?}");
    }
    assert_eq!(fleet.executions("silent"), 0);

    fleet.stop_control().await;
    let (outcome, elapsed) = measure(fleet.book(FIRST, &session, "lost", json!({}))).await;
    assert_eq!(outcome.code(), HOME_UNREACHABLE);
    assert!(elapsed < Duration::from_millis(1_400), "refused after {elapsed:?}");

    fleet.restart_control().await;
    for key in ["before", "silent", "lost", "new"] {
        let outcome = fleet.resend(SECOND, &session, key).await;
        assert_eq!(outcome.code(), OUTCOME_UNKNOWN, "{key}");
    }
    assert_eq!(fleet.executions("before"), 1);
    let session = fleet.session(REMOTE).await;
    assert_eq!(fleet.book(REMOTE, &session, "after", json!({})).await, booked());
    fleet.assert_at_most_once();
}

#[tokio::test(flavor = "multi_thread")]
async fn region_cut_off_from_the_home_refuses_at_once_and_the_home_still_books() {
    let mut fleet = fleet("cut-off").await;
    let session = fleet.session(FIRST).await;
    fleet.signal(REMOTE, "STOP");
    assert_eq!(fleet.book(FIRST, &session, "at-home", json!({})).await, booked());
    fleet.signal(REMOTE, "CONT");
    fleet.kill(FIRST);
    fleet.kill(SECOND);
    let (outcome, elapsed) = measure(fleet.book(REMOTE, &session, "cut-off", json!({}))).await;
    assert_eq!(outcome.code(), HOME_UNREACHABLE);
    assert!(matches!(outcome, BookOutcome::Refusal { retry_after: true, .. }));
    assert!(elapsed < Duration::from_millis(1_400), "refused after {elapsed:?}");
    let outcome = fleet.resend(REMOTE, &session, "at-home").await;
    assert_eq!(outcome.code(), "home_unreachable ran=unknown");
    fleet.assert_at_most_once();
}

#[tokio::test(flavor = "multi_thread")]
async fn service_that_books_and_answers_wrongly_or_not_at_all() {
    let fleet = fleet("wrong-answers").await;
    let session = fleet.session(FIRST).await;
    for fault in ["silent", "late", "crossed", "truncated", "repeated"] {
        let arguments = json!({ "order": format!("fault:{fault}") });
        let outcome = fleet.book_after_backoff(FIRST, &session, fault, arguments).await;
        assert_eq!(outcome.code(), "upstream_failed ran=unknown", "{fault}");
        assert_eq!(fleet.executions(fault), 1);
    }
    for fault in ["silent", "late", "crossed", "truncated", "repeated"] {
        let arguments = json!({ "order": format!("fault:{fault}") });
        let outcome = fleet.settle_with(REMOTE, &session, fault, arguments).await;
        assert_eq!(outcome.code(), OUTCOME_UNKNOWN, "{fault}");
        assert_eq!(fleet.executions(fault), 1);
    }
    fleet.assert_at_most_once();
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_that_the_ledger_refuses() {
    let limits = LedgerLimits { replies: 5, ..LedgerLimits::default() };
    let fleet = BookingFleet::start("refused", limits).await;
    let session = fleet.session(FIRST).await;
    assert_eq!(fleet.book(FIRST, &session, "a", json!({})).await, booked());
    let other = fleet.book(SECOND, &session, "a", json!({ "trucks": 3 })).await;
    assert_eq!(other.code(), "key_reused ran=unknown");
    assert_eq!(fleet.book(FIRST, &session, "b", json!({})).await, booked());
    let full = fleet.book(REMOTE, &session, "c", json!({})).await;
    assert_eq!(full.code(), "ledger_full ran=no");
    assert!(matches!(full, BookOutcome::Refusal { retry_after: true, .. }));
    assert_eq!(fleet.resend(REMOTE, &session, "a").await, booked());
    let absent = fleet.book(FIRST, "none", "d", json!({})).await;
    assert_eq!(absent.code(), "session_required ran=no");
    assert_eq!(fleet.executions("c"), 0);
    assert_eq!(fleet.executions("a"), 1);
    fleet.assert_at_most_once();
}

#[tokio::test(flavor = "multi_thread")]
async fn expired_session() {
    let limits = LedgerLimits { session_ms: 4_000, ..LedgerLimits::default() };
    let fleet = BookingFleet::start("expired", limits).await;
    let session = fleet.session(FIRST).await;
    assert_eq!(fleet.book(FIRST, &session, "a", json!({})).await, booked());
    sleep(Duration::from_millis(4_100)).await;
    for key in ["a", "new"] {
        let outcome = fleet.resend(REMOTE, &session, key).await;
        assert_eq!(outcome.code(), "session_expired ran=unknown");
    }
    assert_eq!(fleet.executions("a"), 1);
    assert_eq!(fleet.executions("new"), 0);
    fleet.assert_at_most_once();
}
