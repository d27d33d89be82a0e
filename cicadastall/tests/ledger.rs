//! Tests the ledger with random sequences of claims, paused holders, lost replies, lost majorities
//! and restarts, and with individual cases.

use cicadastall::{
    answer::{Ran, Refusal},
    ledger::{
        LedgerLimits, LedgerState,
        command::{
            ClaimNumber, HeldKey, KeyClaim, LedgerChange, LedgerCommand, LedgerRefusal, LedgerReply,
        },
        session::{LedgerEpoch, SessionId},
    },
    replicated::ReplicatedState,
};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::{collections::BTreeMap, sync::Arc};

const RUN_MS: u64 = 5_000;

/// A ledger whose clock and epoch the test controls.
#[derive(Debug)]
struct TestLedger {
    state: LedgerState,
    epoch: LedgerEpoch,
    now_ms: u64,
}

impl TestLedger {
    fn new(limits: LedgerLimits) -> Self {
        let state = LedgerState::new("viti-west".into(), limits);
        let mut ledger = Self { state, epoch: LedgerEpoch(1), now_ms: 0 };
        ledger.apply(LedgerChange::Found);
        ledger
    }

    fn apply(&mut self, change: LedgerChange) -> LedgerReply {
        self.apply_under(self.epoch, change)
    }

    fn apply_under(&mut self, epoch: LedgerEpoch, change: LedgerChange) -> LedgerReply {
        self.state.apply(&LedgerCommand { at_ms: self.now_ms, epoch, change })
    }

    /// Simulates a lost majority: continues from `survived` under a new epoch.
    ///
    /// Asserts that a proposer that read the previous epoch is refused.
    fn found_again(&mut self, survived: LedgerState) {
        let previous_epoch = self.epoch;
        self.state = survived;
        self.epoch.0 += 1;
        self.state.refounded(self.epoch.0);
        let changes = [LedgerChange::OpenSession { workspace: "herd".into() }, LedgerChange::Found];
        for change in changes {
            assert_eq!(
                self.apply_under(previous_epoch, change),
                refused(LedgerRefusal::NotFounded)
            );
        }
    }

    fn open(&mut self) -> SessionId {
        match self.apply(LedgerChange::OpenSession { workspace: "herd".into() }) {
            LedgerReply::Session(session) => session,
            reply => panic!("no session: {reply:?}"),
        }
    }

    fn claim(&mut self, session: &SessionId, key: &str, holder: &str) -> LedgerReply {
        self.apply(LedgerChange::Claim(make_claim(session, key, holder)))
    }

    fn execute(&mut self, session: &SessionId, key: &str, reply: &str) {
        let LedgerReply::Granted(claim) = self.claim(session, key, key) else {
            panic!("{key} is not new");
        };
        let held = HeldKey { session: session.clone(), key: key.into(), claim };
        self.apply(LedgerChange::Complete { held, reply: reply.into() });
    }
}

fn make_claim(session: &SessionId, key: &str, holder: &str) -> KeyClaim {
    KeyClaim {
        session: session.clone(),
        workspace: "herd".into(),
        key: key.into(),
        digest: 7,
        holder: holder.into(),
        run_ms: RUN_MS,
        acknowledged: Default::default(),
    }
}

fn refused(refusal: LedgerRefusal) -> LedgerReply {
    LedgerReply::Refused(refusal)
}

/// One step of a simulation.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// A caller sends a request with a key, which a new entry task handles.
    Send { session: u8, key: u8 },
    /// A task advances by one stage; a task that does not advance is paused.
    Advance { task: u8 },
    /// The ledger's reply to a task is lost, and the task aborts.
    LoseReply { task: u8 },
    /// The ledger receives an earlier command again.
    ReplayCommand { command: u8 },
    /// Time passes.
    Wait { seconds: u8 },
    /// The ledger restarts from a snapshot of its current state.
    Restart,
    /// A snapshot of the state is saved.
    SaveSnapshot,
    /// The majority is lost, and the ledger is founded again from the saved snapshot.
    FoundAgain,
    /// A caller acknowledges the reply of a key.
    Acknowledge { session: u8, key: u8 },
}

impl Arbitrary for Step {
    fn arbitrary(random: &mut Gen) -> Self {
        let number = u8::arbitrary(random);
        let (session, key) = (number % 2, number / 2 % 3);
        match u8::arbitrary(random) % 24 {
            0..=5 => Self::Send { session, key },
            6..=14 => Self::Advance { task: number },
            15 => Self::LoseReply { task: number },
            16..=17 => Self::ReplayCommand { command: number },
            18..=19 => Self::Wait { seconds: number % 6 },
            20 => Self::Restart,
            21 => Self::SaveSnapshot,
            22 => Self::FoundAgain,
            _ => Self::Acknowledge { session, key },
        }
    }
}

#[derive(Debug, Clone)]
enum TaskStage {
    Start,
    Granted(HeldKey),
    Executed(HeldKey),
    Finished,
}

#[derive(Debug)]
struct Simulation {
    ledger: TestLedger,
    sessions: Vec<SessionId>,
    tasks: Vec<(usize, String, TaskStage)>,
    commands: Vec<(LedgerEpoch, LedgerChange)>,
    saved_snapshot: Vec<u8>,
    executions: BTreeMap<(usize, String), u32>,
}

impl Simulation {
    fn new() -> Self {
        let limits = LedgerLimits { session_ms: 40_000, ..LedgerLimits::default() };
        let mut ledger = TestLedger::new(limits);
        let sessions = vec![ledger.open(), ledger.open()];
        let saved_snapshot = ledger.state.snapshot();
        let (tasks, commands) = Default::default();
        Self { ledger, sessions, tasks, commands, saved_snapshot, executions: BTreeMap::new() }
    }

    fn apply(&mut self, change: LedgerChange) -> LedgerReply {
        self.commands.push((self.ledger.epoch, change.clone()));
        self.ledger.apply(change)
    }

    fn apply_step(&mut self, step: Step) {
        match step {
            Step::Send { session, key } => {
                self.tasks.push((session.into(), format!("k{key}"), TaskStage::Start));
            }
            Step::Advance { task } => self.advance(task, false),
            Step::LoseReply { task } => self.advance(task, true),
            Step::ReplayCommand { command } if !self.commands.is_empty() => {
                let index = usize::from(command) % self.commands.len();
                let (epoch, change) = self.commands[index].clone();
                self.ledger.apply_under(epoch, change);
            }
            Step::ReplayCommand { .. } => {}
            Step::Wait { seconds } => self.ledger.now_ms += u64::from(seconds) * 1_000,
            Step::Restart => {
                let snapshot = self.ledger.state.snapshot();
                let state = LedgerState::restore(&snapshot).expect("a snapshot");
                assert_eq!(state, self.ledger.state);
                self.ledger.state = state;
            }
            Step::SaveSnapshot => self.saved_snapshot = self.ledger.state.snapshot(),
            Step::FoundAgain => {
                let survived = LedgerState::restore(&self.saved_snapshot).expect("a snapshot");
                self.ledger.found_again(survived);
            }
            Step::Acknowledge { session, key } => {
                let session = self.sessions[usize::from(session)].clone();
                let mut claim = make_claim(&session, "other", "acknowledger");
                claim.acknowledged.push(format!("k{key}").as_str().into());
                self.apply(LedgerChange::Claim(claim));
            }
        }
    }

    fn advance(&mut self, task: u8, lose_reply: bool) {
        if self.tasks.is_empty() {
            return;
        }
        let index = usize::from(task) % self.tasks.len();
        let (session, key, stage) = self.tasks[index].clone();
        let next = match stage {
            TaskStage::Start if lose_reply => {
                self.claim_key(index, session, &key);
                let (session, holder) = (self.sessions[session].clone(), holder_id(index));
                let key = key.as_str().into();
                self.apply(LedgerChange::Withdraw { session, key, holder });
                TaskStage::Finished
            }
            TaskStage::Start => self.claim_key(index, session, &key),
            TaskStage::Granted(held) if lose_reply => {
                self.apply(LedgerChange::Release { held });
                TaskStage::Finished
            }
            TaskStage::Granted(held) => {
                *self.executions.entry((session, key.clone())).or_default() += 1;
                TaskStage::Executed(held)
            }
            TaskStage::Executed(held) => {
                let reply = format!("{session}/{key}").into();
                self.apply(LedgerChange::Complete { held, reply });
                TaskStage::Finished
            }
            TaskStage::Finished => TaskStage::Finished,
        };
        self.tasks[index].2 = next;
    }

    fn claim_key(&mut self, index: usize, session: usize, key: &str) -> TaskStage {
        let id = self.sessions[session].clone();
        let claim = make_claim(&id, key, &holder_id(index));
        let count = self.executions.get(&(session, key.to_owned())).copied().unwrap_or(0);
        match self.apply(LedgerChange::Claim(claim)) {
            LedgerReply::Granted(claim) => {
                return TaskStage::Granted(HeldKey { session: id, key: key.into(), claim });
            }
            LedgerReply::Stored(reply) => {
                assert_eq!(*reply, *format!("{session}/{key}"));
                assert_eq!(count, 1, "a reply without an execution");
            }
            LedgerReply::Refused(refusal) => {
                let refusal = Refusal::from(refusal);
                let truthful = refusal.ran == Ran::Unknown || count == 0;
                assert!(truthful, "refused as not run after an execution: {refusal}");
            }
            reply => panic!("unexpected reply: {reply:?}"),
        }
        TaskStage::Finished
    }
}

fn holder_id(task: usize) -> Arc<str> {
    format!("task {task}").into()
}

#[test]
fn no_order_of_events_runs_a_key_twice() {
    fn property(steps: Vec<Step>) -> bool {
        let mut simulation = Simulation::new();
        for step in steps {
            simulation.apply_step(step);
        }
        simulation.executions.values().all(|count| *count <= 1)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(120, 5))
        .tests(20_000)
        .quickcheck(property as fn(Vec<Step>) -> bool);
}

#[test]
fn paused_holder_keeps_its_claim_until_it_releases_it() {
    let mut ledger = TestLedger::new(LedgerLimits::default());
    let session = ledger.open();
    let LedgerReply::Granted(paused) = ledger.claim(&session, "muster-1", "paused") else {
        panic!("the first claim is granted");
    };
    let in_progress = refused(LedgerRefusal::InProgress { retry_ms: RUN_MS });
    assert_eq!(ledger.claim(&session, "muster-1", "second"), in_progress);
    assert_eq!(ledger.claim(&session, "muster-1", "paused"), LedgerReply::Granted(paused));
    ledger.now_ms += RUN_MS;
    let unknown = refused(LedgerRefusal::OutcomeUnknown);
    assert_eq!(ledger.claim(&session, "muster-1", "second"), unknown);
    assert_eq!(ledger.claim(&session, "muster-1", "paused"), unknown);

    let held = HeldKey { session: session.clone(), key: "muster-1".into(), claim: paused };
    let release = LedgerChange::Release { held: held.clone() };
    assert_eq!(ledger.apply(release.clone()), LedgerReply::Accepted);
    let granted = ledger.claim(&session, "muster-1", "second");
    assert_eq!(granted, LedgerReply::Granted(ClaimNumber(paused.0 + 1)));
    let closed = refused(LedgerRefusal::ClaimClosed);
    assert_eq!(ledger.apply(release), closed, "the second holder has the key");
    assert_eq!(ledger.apply(LedgerChange::Complete { held, reply: "1".into() }), closed);
}

#[test]
fn unconfirmed_claim_is_withdrawn_only_by_its_holder() {
    let mut ledger = TestLedger::new(LedgerLimits::default());
    let session = ledger.open();
    ledger.claim(&session, "muster-1", "first");
    let withdraw = |holder: &str| LedgerChange::Withdraw {
        session: session.clone(),
        key: "muster-1".into(),
        holder: holder.into(),
    };
    let closed = refused(LedgerRefusal::ClaimClosed);
    assert_eq!(ledger.apply(withdraw("second")), closed);
    assert_eq!(ledger.apply(withdraw("first")), LedgerReply::Accepted);
    assert_eq!(ledger.state.sizes().keys, 0);
    ledger.execute(&session, "muster-1", "trucks");
    assert_eq!(ledger.apply(withdraw("muster-1")), closed, "the request of the key was run");
}

#[test]
fn key_of_a_failed_holder_is_unknown_until_a_result_is_recorded() {
    let mut ledger = TestLedger::new(LedgerLimits::default());
    let session = ledger.open();
    let LedgerReply::Granted(claim) = ledger.claim(&session, "muster-1", "first") else {
        panic!("the first claim is granted");
    };
    let held = HeldKey { session: session.clone(), key: "muster-1".into(), claim };
    ledger.now_ms += RUN_MS;
    let unknown = refused(LedgerRefusal::OutcomeUnknown);
    assert_eq!(ledger.claim(&session, "muster-1", "second"), unknown);
    ledger.apply(LedgerChange::Complete { held, reply: "trucks".into() });
    let stored = LedgerReply::Stored("trucks".into());
    assert_eq!(ledger.claim(&session, "muster-1", "second"), stored);
}

#[test]
fn full_ledger_refuses_new_keys_and_keeps_existing_ones() {
    let limits = LedgerLimits { keys: 3, replies: 2, ..LedgerLimits::default() };
    let mut ledger = TestLedger::new(limits);
    let session = ledger.open();
    ledger.execute(&session, "a", "1");
    ledger.execute(&session, "b", "2");
    let full = refused(LedgerRefusal::Full);
    assert_eq!(ledger.claim(&session, "c", "c"), full);
    assert_eq!(ledger.claim(&session, "a", "again"), LedgerReply::Stored("1".into()));

    let mut claim = make_claim(&session, "c", "c");
    claim.acknowledged.push("a".into());
    let granted = ledger.apply(LedgerChange::Claim(claim));
    assert!(matches!(granted, LedgerReply::Granted(_)), "{granted:?}");
    let dropped = refused(LedgerRefusal::ReplyDropped);
    assert_eq!(ledger.claim(&session, "a", "delayed copy"), dropped);
    assert_eq!(ledger.claim(&session, "d", "d"), full);
}

#[test]
fn expired_or_lost_session_is_granted_no_key() {
    let limits = LedgerLimits { session_ms: 10_000, ..LedgerLimits::default() };
    let mut ledger = TestLedger::new(limits);
    let session = ledger.open();
    ledger.execute(&session, "a", "1");
    ledger.now_ms = 10_000;
    let expired = refused(LedgerRefusal::SessionExpired);
    assert_eq!(ledger.claim(&session, "a", "again"), expired);
    assert_eq!(ledger.state.sizes().keys, 0);

    let session = ledger.open();
    ledger.execute(&session, "a", "1");
    ledger.found_again(ledger.state.clone());
    assert_eq!(ledger.claim(&session, "a", "again"), LedgerReply::Stored("1".into()));
    let lost = refused(LedgerRefusal::EpochLost);
    assert_eq!(ledger.claim(&session, "b", "new"), lost);

    let session = ledger.open();
    let stale = LedgerChange::Claim(make_claim(&session, "c", "under the lost epoch"));
    let reply = ledger.apply_under(LedgerEpoch(1), stale);
    assert_eq!(reply, refused(LedgerRefusal::NotFounded));
    let founded = ledger.apply_under(LedgerEpoch(1), LedgerChange::Found);
    assert_eq!(founded, refused(LedgerRefusal::NotFounded), "an epoch never decreases");
}

#[test]
fn lookup_of_a_key_grants_nothing_and_replies_like_a_claim() {
    let mut ledger = TestLedger::new(LedgerLimits::default());
    let session = ledger.open();
    let look = |key: &str| LedgerChange::Look(make_claim(&session, key, "reader"));
    assert_eq!(ledger.apply(look("a")), LedgerReply::Free);
    assert_eq!(ledger.state.sizes().keys, 0);
    ledger.execute(&session, "a", "1");
    assert_eq!(ledger.apply(look("a")), LedgerReply::Stored("1".into()));
    ledger.claim(&session, "b", "first");
    let in_progress = refused(LedgerRefusal::InProgress { retry_ms: RUN_MS });
    assert_eq!(ledger.apply(look("b")), in_progress);
    ledger.now_ms += RUN_MS;
    assert_eq!(ledger.apply(look("b")), refused(LedgerRefusal::OutcomeUnknown));
    ledger.found_again(ledger.state.clone());
    assert_eq!(ledger.apply(look("c")), refused(LedgerRefusal::EpochLost));
}

#[test]
fn delayed_proposer_is_refused_after_the_group_is_founded_again() {
    let mut ledger = TestLedger::new(LedgerLimits::default());
    let session = ledger.open();
    let delayed = (ledger.epoch, LedgerChange::Claim(make_claim(&session, "a", "delayed")));
    let survived = ledger.state.clone();
    ledger.execute(&session, "a", "1");

    ledger.state = survived;
    ledger.state.refounded(2);
    let (previous_epoch, claim) = delayed;
    let reply = ledger.apply_under(previous_epoch, claim.clone());
    assert_eq!(reply, refused(LedgerRefusal::NotFounded));
    let reply = ledger.apply_under(LedgerEpoch(2), claim);
    assert_eq!(reply, refused(LedgerRefusal::EpochLost), "the request of the key may have run");
}

#[test]
fn key_with_another_body_is_refused() {
    let mut ledger = TestLedger::new(LedgerLimits::default());
    let session = ledger.open();
    ledger.execute(&session, "a", "1");
    let claim = KeyClaim { digest: 8, ..make_claim(&session, "a", "other body") };
    let reply = ledger.apply(LedgerChange::Claim(claim));
    assert_eq!(reply, refused(LedgerRefusal::KeyReused));
}
