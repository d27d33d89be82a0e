//! Effects of wall clock jumps at ledger hosts on the sessions and claims of the ledger.

use cicadastall::{
    ledger::{
        LedgerLimits, LedgerState,
        command::{KeyClaim, LedgerChange, LedgerCommand, LedgerRefusal, LedgerReply},
        session::{LedgerEpoch, SessionId},
    },
    replicated::ReplicatedState,
};
use quickcheck::{Gen, QuickCheck};

const EPOCH: LedgerEpoch = LedgerEpoch(1);
const RUN_MS: u64 = 5_000;

/// A ledger with one session of 60 s, opened at 100 s by the hosts' clocks.
fn open_ledger() -> (LedgerState, SessionId) {
    let limits = LedgerLimits { session_ms: 60_000, ..LedgerLimits::default() };
    let mut state = LedgerState::new("viti-west".into(), limits);
    propose(&mut state, 100_000, LedgerChange::Found);
    let opened =
        propose(&mut state, 100_000, LedgerChange::OpenSession { workspace: "herd".into() });
    let LedgerReply::Session(session) = opened else { panic!("no session: {opened:?}") };
    (state, session)
}

fn propose(state: &mut LedgerState, at_ms: u64, change: LedgerChange) -> LedgerReply {
    state.apply(&LedgerCommand { at_ms, epoch: EPOCH, change })
}

/// Claims the test's key for `holder` through a host whose clock shows `at_ms`.
fn claim(state: &mut LedgerState, at_ms: u64, session: &SessionId, holder: &str) -> LedgerReply {
    let claim = KeyClaim {
        session: session.clone(),
        workspace: "herd".into(),
        key: "muster-1".into(),
        digest: 7,
        holder: holder.into(),
        run_ms: RUN_MS,
        acknowledged: Default::default(),
    };
    propose(state, at_ms, LedgerChange::Claim(claim))
}

#[test]
fn clock_jumps_ahead_and_back_do_not_grant_a_key_again() {
    let (mut state, session) = open_ledger();
    let granted = claim(&mut state, 100_000, &session, "first");
    assert!(matches!(granted, LedgerReply::Granted(_)), "{granted:?}");
    let expired = LedgerReply::Refused(LedgerRefusal::SessionExpired);
    assert_eq!(claim(&mut state, 9_000_000, &session, "ahead"), expired);
    assert_eq!(claim(&mut state, 101_000, &session, "back"), expired);
}

#[test]
fn clock_jump_beyond_the_run_time_makes_the_outcome_unknown() {
    let (mut state, session) = open_ledger();
    claim(&mut state, 100_000, &session, "first");
    let unknown = LedgerReply::Refused(LedgerRefusal::OutcomeUnknown);
    assert_eq!(claim(&mut state, 110_000, &session, "ahead"), unknown);
    assert_eq!(claim(&mut state, 100_500, &session, "back"), unknown);
}

#[test]
fn clock_jump_back_expires_no_claim() {
    let (mut state, session) = open_ledger();
    claim(&mut state, 100_000, &session, "first");
    for at_ms in [0, 50_000, 99_999] {
        let reply = claim(&mut state, at_ms, &session, "back");
        let retry_ms = RUN_MS;
        assert_eq!(reply, LedgerReply::Refused(LedgerRefusal::InProgress { retry_ms }));
    }
}

/// Claims the key for a different holder at each of `times`; at most one may be granted.
fn one_grant(times: Vec<u32>) -> bool {
    let (mut state, session) = open_ledger();
    let granted = times.iter().enumerate().filter(|(index, time)| {
        let at_ms = u64::from(**time % 200_000);
        let reply = claim(&mut state, at_ms, &session, &format!("host-{index}"));
        matches!(reply, LedgerReply::Granted(_))
    });
    granted.count() <= 1
}

#[test]
fn arbitrary_clock_jumps_grant_a_key_at_most_once() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 1))
        .tests(2_000)
        .quickcheck(one_grant as fn(Vec<u32>) -> bool);
}
