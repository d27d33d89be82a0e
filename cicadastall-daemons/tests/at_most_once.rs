//! A booking runs at most once, whatever fails, and callers are told the truth about it.

mod bookings;
mod common;

use bookings::{
    BookingFleet, DEADLINE, ELSEWHERE, FIRST, Hold, OUTCOME_BOUND, SECOND, Told, measure,
};
use cicadastall::{
    claim::{ClaimError, ClaimOutcome},
    ledger::{LedgerLimits, command::LedgerRefusal},
};
use serde_json::json;
use std::time::Duration;
use tokio::{task::JoinHandle, time::sleep};

const IN_PROGRESS: &str = "in_progress ran=unknown";
const UNKNOWN: &str = "outcome_unknown ran=unknown";
const CUT_OFF: &str = "home_unreachable ran=no";

async fn fleet(name: &str) -> BookingFleet {
    BookingFleet::start(name, LedgerLimits::default()).await
}

/// Starts a booking through the first entry, and waits until the ledger holds it up at `hold`.
async fn start_held(
    fleet: &BookingFleet,
    session: &str,
    key: &str,
    hold: Hold,
) -> JoinHandle<Told> {
    fleet.ledger.hold(hold);
    let booking = fleet.start_booking(FIRST, session, key);
    fleet.ledger.wait_reached().await;
    booking
}

fn booked() -> Told {
    Told::Result(json!({ "done": {} }))
}

#[tokio::test(flavor = "multi_thread")]
async fn entry_killed_before_its_claim() {
    let mut fleet = fleet("killed-before-claim").await;
    let session = fleet.session(FIRST).await;
    let first = start_held(&fleet, &session, "k", Hold::BeforeClaim).await;
    fleet.kill(FIRST);
    assert_eq!(first.await.expect("a caller"), Told::Nothing);
    fleet.ledger.discard();
    assert_eq!(fleet.resend(SECOND, &session, "k").await, booked());
    assert_eq!(fleet.executions("k"), 1);
    fleet.audit();
}

#[tokio::test(flavor = "multi_thread")]
async fn entry_killed_between_the_claim_and_the_first_byte() {
    let mut fleet = fleet("killed-after-claim").await;
    let session = fleet.session(FIRST).await;
    let first = start_held(&fleet, &session, "k", Hold::AfterClaim).await;
    fleet.kill(FIRST);
    assert_eq!(first.await.expect("a caller"), Told::Nothing);
    fleet.ledger.open();
    assert_eq!(fleet.resend(SECOND, &session, "k").await.code(), IN_PROGRESS);
    let told = fleet.resend_until_free(SECOND, &session, "k", json!({}), OUTCOME_BOUND).await;
    assert_eq!(told.code(), UNKNOWN);
    for entry in [SECOND, ELSEWHERE] {
        let told = fleet.resend_until_settled(entry, &session, "k").await;
        assert_eq!(told.code(), UNKNOWN);
    }
    assert_eq!(fleet.executions("k"), 0);
    fleet.audit();
}

#[tokio::test(flavor = "multi_thread")]
async fn claim_that_is_not_confirmed_is_withdrawn() {
    let fleet = fleet("unconfirmed-claim").await;
    let session = fleet.session(FIRST).await;
    fleet.ledger.hold(Hold::AfterClaim);
    let (told, elapsed) = measure(fleet.book(FIRST, &session, "k", json!({}))).await;
    assert_eq!(told.code(), CUT_OFF);
    assert!(elapsed < Duration::from_millis(1_400), "refused after {elapsed:?}");
    fleet.ledger.open();
    assert_eq!(fleet.resend_until_settled(SECOND, &session, "k").await, booked());
    assert_eq!(fleet.executions("k"), 1);
    fleet.audit();
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
    assert_eq!(first, Told::Nothing);
    fleet.kill(FIRST);
    let arguments = json!({ "order": "fault:silent" });
    let second = fleet.book(SECOND, &session, "k", arguments.clone()).await;
    assert_eq!(second.code(), IN_PROGRESS);
    let (again, bound) = (arguments.clone(), OUTCOME_BOUND);
    let told = fleet.resend_until_free(SECOND, &session, "k", again, bound).await;
    assert_eq!(told.code(), UNKNOWN);
    assert_eq!(fleet.book(SECOND, &session, "k", arguments).await.code(), UNKNOWN);
    assert_eq!(fleet.executions("k"), 1);
    fleet.audit();
}

#[tokio::test(flavor = "multi_thread")]
async fn entry_killed_after_the_result_was_recorded_or_answered() {
    let mut fleet = fleet("killed-after-result").await;
    let session = fleet.session(FIRST).await;
    assert_eq!(fleet.book(FIRST, &session, "answered", json!({})).await, booked());
    let first = start_held(&fleet, &session, "recorded", Hold::AfterComplete).await;
    fleet.kill(FIRST);
    assert_eq!(first.await.expect("a caller"), Told::Nothing);
    fleet.ledger.open();
    for key in ["answered", "recorded"] {
        for entry in [SECOND, ELSEWHERE] {
            let told = fleet.resend_until_settled(entry, &session, key).await;
            assert_eq!(told, booked(), "{key}");
        }
        assert_eq!(fleet.executions(key), 1);
    }
    fleet.audit();
}

#[tokio::test(flavor = "multi_thread")]
async fn caller_hangs_up_while_its_booking_runs() {
    let fleet = fleet("hung-up").await;
    let session = fleet.session(FIRST).await;
    let first = start_held(&fleet, &session, "k", Hold::AfterClaim).await;
    first.abort();
    sleep(Duration::from_millis(100)).await;
    fleet.ledger.open();
    assert_eq!(fleet.resend_until_settled(SECOND, &session, "k").await, booked());
    assert_eq!(fleet.executions("k"), 1);
    fleet.audit();
}

#[tokio::test(flavor = "multi_thread")]
async fn stop_waits_for_the_booking_of_a_caller_that_hung_up() {
    let mut fleet = fleet("hung-up-stop").await;
    let session = fleet.session(FIRST).await;
    let first = start_held(&fleet, &session, "k", Hold::AfterClaim).await;
    first.abort();
    sleep(Duration::from_millis(100)).await;
    fleet.signal(FIRST, "TERM");
    sleep(Duration::from_millis(300)).await;
    fleet.ledger.open();
    let status = fleet.wait_ended(FIRST).await.expect("the entry ends");
    assert!(status.success(), "something was cut off: {status}");
    assert_eq!(fleet.executions("k"), 1);
    assert_eq!(fleet.resend(SECOND, &session, "k").await, booked());
    assert_eq!(fleet.executions("k"), 1);
    fleet.audit();
}

#[tokio::test(flavor = "multi_thread")]
async fn one_booking_sent_through_three_entries_at_the_same_moment() {
    let fleet = fleet("three-entries").await;
    let session = fleet.session(ELSEWHERE).await;
    for round in 0..20 {
        let key = format!("k{round}");
        let (first, again, second, elsewhere) = tokio::join!(
            fleet.book(FIRST, &session, &key, json!({})),
            fleet.book(FIRST, &session, &key, json!({})),
            fleet.book(SECOND, &session, &key, json!({})),
            fleet.book(ELSEWHERE, &session, &key, json!({})),
        );
        for told in [&first, &again, &second, &elsewhere] {
            assert!(*told == booked() || told.code() == IN_PROGRESS, "{told:?}");
        }
        assert!([first, again, second, elsewhere].contains(&booked()), "nobody got the result");
        assert_eq!(fleet.resend(ELSEWHERE, &session, &key).await, booked());
        assert_eq!(fleet.executions(&key), 1);
    }
    fleet.audit();
}

#[tokio::test(flavor = "multi_thread")]
async fn frozen_holder_of_a_claim_wakes_after_another_was_told_unknown() {
    let fleet = fleet("frozen-claim").await;
    let session = fleet.session(FIRST).await;
    let first = start_held(&fleet, &session, "k", Hold::AfterClaim).await;
    fleet.signal(FIRST, "STOP");
    fleet.ledger.open();
    let told = fleet.resend_until_free(SECOND, &session, "k", json!({}), OUTCOME_BOUND).await;
    assert_eq!(told.code(), UNKNOWN);
    fleet.signal(FIRST, "CONT");
    let woken = first.await.expect("a caller");
    assert!(matches!(&woken, Told::Refusal { .. }), "{woken:?}");
    sleep(Duration::from_millis(200)).await;
    assert_eq!(fleet.executions("k"), 0, "dispatched after another was told unknown");
    fleet.audit();
}

#[tokio::test(flavor = "multi_thread")]
async fn task_that_pauses_with_a_claim_keeps_it_until_it_gives_it_back() {
    let fleet = fleet("paused-claim").await;
    let session = fleet.session(FIRST).await;
    let claimed = fleet.claim(&session, "k", "paused", DEADLINE).await;
    let Ok(ClaimOutcome::Held(paused)) = claimed else {
        panic!("the first claim is granted");
    };
    let told = fleet.resend_until_free(SECOND, &session, "k", json!({}), OUTCOME_BOUND).await;
    assert_eq!(told.code(), UNKNOWN);
    assert_eq!(fleet.executions("k"), 0);
    paused.release(&fleet.ledger_client()).await.expect("the claim is the task's");
    assert_eq!(fleet.resend(SECOND, &session, "k").await, booked());
    assert_eq!(fleet.executions("k"), 1);
    fleet.audit();
}

#[tokio::test(flavor = "multi_thread")]
async fn claim_that_is_confirmed_after_the_deadline_is_given_back() {
    let fleet = fleet("late-claim").await;
    let session = fleet.session(FIRST).await;
    fleet.ledger.hold(Hold::AfterClaim);
    let remaining = Duration::from_millis(300);
    let (claimed, ()) = tokio::join!(fleet.claim(&session, "k", "late", remaining), async {
        sleep(Duration::from_millis(500)).await;
        fleet.ledger.open();
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
    fleet.ledger.hold(Hold::BeforeClaim);
    for entry in [FIRST, SECOND, ELSEWHERE] {
        let (told, elapsed) = measure(fleet.book(entry, &session, "silent", json!({}))).await;
        assert_eq!(told.code(), CUT_OFF);
        assert!(matches!(told, Told::Refusal { retry_after: true, .. }));
        assert!(elapsed < Duration::from_millis(1_400), "refused after {elapsed:?}");
    }
    assert_eq!(fleet.executions("silent"), 0);

    fleet.stop_control().await;
    let (told, elapsed) = measure(fleet.book(FIRST, &session, "lost", json!({}))).await;
    assert_eq!(told.code(), CUT_OFF);
    assert!(elapsed < Duration::from_millis(1_400), "refused after {elapsed:?}");

    fleet.restart_control().await;
    for key in ["before", "silent", "lost", "new"] {
        let told = fleet.resend(SECOND, &session, key).await;
        assert_eq!(told.code(), UNKNOWN, "{key}");
    }
    assert_eq!(fleet.executions("before"), 1);
    let session = fleet.session(ELSEWHERE).await;
    assert_eq!(fleet.book(ELSEWHERE, &session, "after", json!({})).await, booked());
    fleet.audit();
}

#[tokio::test(flavor = "multi_thread")]
async fn region_cut_off_from_the_home_refuses_at_once_and_the_home_still_books() {
    let mut fleet = fleet("cut-off").await;
    let session = fleet.session(FIRST).await;
    fleet.signal(ELSEWHERE, "STOP");
    assert_eq!(fleet.book(FIRST, &session, "at-home", json!({})).await, booked());
    fleet.signal(ELSEWHERE, "CONT");
    fleet.kill(FIRST);
    fleet.kill(SECOND);
    let (told, elapsed) = measure(fleet.book(ELSEWHERE, &session, "cut-off", json!({}))).await;
    assert_eq!(told.code(), CUT_OFF);
    assert!(matches!(told, Told::Refusal { retry_after: true, .. }));
    assert!(elapsed < Duration::from_millis(1_400), "refused after {elapsed:?}");
    let told = fleet.resend(ELSEWHERE, &session, "at-home").await;
    assert_eq!(told.code(), "home_unreachable ran=unknown");
    fleet.audit();
}

#[tokio::test(flavor = "multi_thread")]
async fn service_that_books_and_answers_wrongly_or_not_at_all() {
    let fleet = fleet("wrong-answers").await;
    let session = fleet.session(FIRST).await;
    for fault in ["silent", "late", "crossed", "truncated", "repeated"] {
        let arguments = json!({ "order": format!("fault:{fault}") });
        let told = fleet.book_once_rested(FIRST, &session, fault, arguments).await;
        assert_eq!(told.code(), "upstream_failed ran=unknown", "{fault}");
        assert_eq!(fleet.executions(fault), 1);
    }
    for fault in ["silent", "late", "crossed", "truncated", "repeated"] {
        let arguments = json!({ "order": format!("fault:{fault}") });
        let told = fleet.settle_with(ELSEWHERE, &session, fault, arguments).await;
        assert_eq!(told.code(), UNKNOWN, "{fault}");
        assert_eq!(fleet.executions(fault), 1);
    }
    fleet.audit();
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
    let full = fleet.book(ELSEWHERE, &session, "c", json!({})).await;
    assert_eq!(full.code(), "ledger_full ran=no");
    assert!(matches!(full, Told::Refusal { retry_after: true, .. }));
    assert_eq!(fleet.resend(ELSEWHERE, &session, "a").await, booked());
    let absent = fleet.book(FIRST, "none", "d", json!({})).await;
    assert_eq!(absent.code(), "session_required ran=no");
    assert_eq!(fleet.executions("c"), 0);
    assert_eq!(fleet.executions("a"), 1);
    fleet.audit();
}

#[tokio::test(flavor = "multi_thread")]
async fn expired_session() {
    let limits = LedgerLimits { session_ms: 4_000, ..LedgerLimits::default() };
    let fleet = BookingFleet::start("expired", limits).await;
    let session = fleet.session(FIRST).await;
    assert_eq!(fleet.book(FIRST, &session, "a", json!({})).await, booked());
    sleep(Duration::from_millis(4_100)).await;
    for key in ["a", "new"] {
        let told = fleet.resend(ELSEWHERE, &session, key).await;
        assert_eq!(told.code(), "session_expired ran=unknown");
    }
    assert_eq!(fleet.executions("a"), 1);
    assert_eq!(fleet.executions("new"), 0);
    fleet.audit();
}
