//! Transitions of the replication core that random schedules rarely reach.

use cicadastall::{
    name::InstanceName,
    replica::{MemberAdmission, ReplicaCore, ReplicaError, ReplicaSettings, ReplicaTiming},
    replica_message::{
        AppendOutcome, EntryPayload, Epoch, GroupConfiguration, HardState, LogEntry, LogIndex,
        LogPosition, ReadTicket, ReplicaEnvelope, ReplicaId, ReplicaIdentity, ReplicaMessage,
        SnapshotImage, StoredReplica, Term,
    },
};
use std::{sync::Arc, time::Duration};
use tokio::time::Instant;

fn replica(name: &str) -> ReplicaId {
    ReplicaId { instance: InstanceName::from(name), identity: ReplicaIdentity(7) }
}

fn position(term: u64, index: u64) -> LogPosition {
    LogPosition { term: Term(term), index: LogIndex(index) }
}

/// Replica `b` of three, with entries 1 to `entries` of term 2 in its log.
fn start_core(entries: u64, now: Instant) -> ReplicaCore {
    start_timed(entries, ReplicaTiming::default(), now)
}

fn start_timed(entries: u64, timing: ReplicaTiming, now: Instant) -> ReplicaCore {
    let voters = ["a", "b", "c"].map(replica);
    let configuration = GroupConfiguration {
        voters: voters.iter().cloned().collect(),
        ..GroupConfiguration::default()
    };
    let entry = |index| LogEntry {
        position: position(2, index),
        payload: EntryPayload::Command(format!("c{index}").into()),
    };
    let stored = StoredReplica {
        hard_state: HardState { epoch: Epoch(1), term: Term(2), vote: None },
        snapshot: Arc::new(SnapshotImage { configuration, ..SnapshotImage::default() }),
        entries: (1..=entries).map(entry).collect(),
        ..StoredReplica::default()
    };
    let settings = ReplicaSettings {
        own: replica("b"),
        founders: voters.into_iter().map(|voter| voter.instance).collect(),
        admission: MemberAdmission::Listed,
        founding_epoch: Epoch(9),
        timing,
        max_append_entries: 2,
        snapshot_chunk_bytes: 1_024,
        seed: 1,
    };
    ReplicaCore::new(settings, stored, now)
}

fn from_leader(message: ReplicaMessage) -> ReplicaEnvelope {
    ReplicaEnvelope { epoch: Epoch(1), from: replica("a"), to: replica("b"), message }
}

fn snapshot(index: u64) -> ReplicaMessage {
    ReplicaMessage::Snapshot {
        term: Term(2),
        round: 1,
        position: position(2, index),
        configuration: GroupConfiguration::default(),
        offset: 0,
        total: 1,
        data: "x".into(),
    }
}

#[test]
fn a_late_snapshot_does_not_remove_acknowledged_entries() {
    let now = Instant::now();
    let mut core = start_core(10, now);
    core.receive(from_leader(snapshot(7)), now);
    let output = core.take_output(now);
    assert_eq!(core.log().last(), position(2, 10));
    assert!(output.restored.is_none() && output.writes.is_empty());
    assert_eq!(core.commit_index(), LogIndex(7));
}

#[test]
fn a_newer_snapshot_replaces_a_shorter_log_and_is_acknowledged_once_synced() {
    let now = Instant::now();
    let mut core = start_core(3, now);
    core.receive(from_leader(snapshot(7)), now);
    let output = core.take_output(now);
    assert!(output.restored.is_some() && output.messages.is_empty());
    core.mark_synced(output.sequence, now);
    let replies = core.take_output(now).messages;
    let outcome = AppendOutcome::Matched(LogIndex(7));
    let reply = ReplicaMessage::AppendReply { term: Term(2), round: 1, outcome, leaving: false };
    assert_eq!(replies.into_iter().map(|sent| sent.message).collect::<Vec<_>>(), [reply]);
}

#[test]
fn a_vote_is_refused_within_the_lease_that_the_replica_may_have_renewed_before_a_restart() {
    let now = Instant::now();
    let timing = ReplicaTiming::default();
    let mut core = start_core(3, now);
    let vote = || ReplicaMessage::Vote { term: Term(3), last: position(2, 9), given_up: None };
    core.receive(from_leader(vote()), now + timing.lease_duration);
    assert_eq!(core.term(), Term(2));
    core.receive(from_leader(vote()), now + timing.election_timeout);
    assert_eq!(core.term(), Term(3));
    let output = core.take_output(now + timing.election_timeout);
    assert!(output.messages.is_empty(), "the vote is sent before it is synced");
}

#[test]
fn a_follower_accepts_no_proposal_and_no_read() {
    let now = Instant::now();
    let mut core = start_core(3, now);
    let refused = ReplicaError::NotLeader(None);
    assert_eq!(core.propose("c".into()), Err(refused.clone()));
    assert_eq!(core.read(ReadTicket(1), now), Err(refused));
}

/// Reports all writes of the core as synced.
fn sync(core: &mut ReplicaCore, now: Instant) {
    let sequence = core.take_output(now).sequence;
    core.mark_synced(sequence, now);
}

#[test]
fn an_entry_of_an_earlier_term_is_committed_only_with_one_of_the_leader_s_term() {
    let started = Instant::now();
    let mut core = start_core(3, started);
    let now = started + 2 * ReplicaTiming::default().election_timeout;
    core.tick(now);
    let (term, granted) = (Term(3), true);
    core.receive(from_leader(ReplicaMessage::PreVoteReply { term, granted }), now);
    sync(&mut core, now);
    core.receive(from_leader(ReplicaMessage::VoteReply { term, granted }), now);
    sync(&mut core, now);
    assert!(core.is_leader());
    let matched = |index| {
        let outcome = AppendOutcome::Matched(LogIndex(index));
        from_leader(ReplicaMessage::AppendReply { term, round: 1, outcome, leaving: false })
    };
    core.receive(matched(3), now);
    assert_eq!(core.commit_index(), LogIndex(0));
    core.receive(matched(4), now);
    assert_eq!(core.commit_index(), LogIndex(4));
}

#[test]
fn a_leader_in_transfer_refuses_proposals_until_a_follower_has_its_whole_log() {
    let started = Instant::now();
    let mut core = start_core(3, started);
    let now = started + 2 * ReplicaTiming::default().election_timeout;
    core.tick(now);
    let (term, granted) = (Term(3), true);
    core.receive(from_leader(ReplicaMessage::PreVoteReply { term, granted }), now);
    sync(&mut core, now);
    core.receive(from_leader(ReplicaMessage::VoteReply { term, granted }), now);
    sync(&mut core, now);
    core.transfer_leadership(now);
    assert_eq!(core.propose("late".into()), Err(ReplicaError::NotLeader(None)));
    assert!(core.take_output(now).messages.iter().all(|sent| !is_timeout_now(&sent.message)));
    assert!(core.is_leader());
    let outcome = AppendOutcome::Matched(LogIndex(4));
    core.receive(
        from_leader(ReplicaMessage::AppendReply { term, round: 1, outcome, leaving: false }),
        now,
    );
    let sent = core.take_output(now).messages;
    let timeout_now: Vec<_> = sent.iter().filter(|sent| is_timeout_now(&sent.message)).collect();
    assert_eq!(timeout_now.len(), 1);
    assert_eq!(timeout_now[0].to, replica("a"));
    assert!(!core.is_leader() && !core.holds_lease(now));
}

fn is_timeout_now(message: &ReplicaMessage) -> bool {
    matches!(message, ReplicaMessage::TimeoutNow { term: Term(3) })
}

#[test]
fn a_leadership_transfer_without_a_ready_follower_times_out() {
    let started = Instant::now();
    let election = ReplicaTiming::default().election_timeout;
    let mut core = start_core(3, started);
    let now = started + 2 * election;
    core.tick(now);
    let (term, granted) = (Term(3), true);
    core.receive(from_leader(ReplicaMessage::PreVoteReply { term, granted }), now);
    sync(&mut core, now);
    core.receive(from_leader(ReplicaMessage::VoteReply { term, granted }), now);
    sync(&mut core, now);
    core.transfer_leadership(now);
    sync(&mut core, now + election);
    assert!(core.is_leader() && core.propose("next".into()).is_ok());
}

#[test]
fn a_vote_within_the_lease_is_granted_only_after_the_leader_of_that_term_released_it() {
    let now = Instant::now();
    for (given_up, term) in [(None, 2), (Some(Term(1)), 2), (Some(Term(2)), 3)] {
        let mut core = start_core(3, now);
        let vote = ReplicaMessage::Vote { term: Term(3), last: position(2, 9), given_up };
        core.receive(from_leader(vote), now);
        assert_eq!(core.term(), Term(term), "{given_up:?}");
    }
}

#[test]
fn a_follower_that_receives_timeout_now_starts_an_election_at_once() {
    let now = Instant::now();
    let mut core = start_core(3, now);
    core.receive(from_leader(ReplicaMessage::TimeoutNow { term: Term(1) }), now);
    assert_eq!(core.term(), Term(2));
    core.receive(from_leader(ReplicaMessage::TimeoutNow { term: Term(2) }), now);
    let sequence = core.take_output(now).sequence;
    core.mark_synced(sequence, now);
    let sent = core.take_output(now).messages;
    let last = position(2, 3);
    let vote = ReplicaMessage::Vote { term: Term(3), last, given_up: Some(Term(2)) };
    assert_eq!(sent.iter().filter(|sent| sent.message == vote).count(), 2);
}

/// Number of pre-votes that the replica sends at `now`.
fn count_pre_votes(core: &mut ReplicaCore, now: Instant) -> usize {
    let sent = core.take_output(now).messages;
    sent.iter().filter(|sent| matches!(sent.message, ReplicaMessage::PreVote { .. })).count()
}

#[test]
fn a_restarted_replica_without_leases_sends_pre_votes_soon_and_grants_them_at_once() {
    let now = Instant::now();
    let timing = ReplicaTiming { lease_duration: Duration::ZERO, ..ReplicaTiming::default() };
    let mut core = start_timed(3, timing, now);
    let ask = ReplicaMessage::PreVote { term: Term(3), last: position(2, 3) };
    core.receive(from_leader(ask), now);
    let output = core.take_output(now);
    core.mark_synced(output.sequence, now);
    let replies = output.messages.into_iter().chain(core.take_output(now).messages);
    let granted = ReplicaMessage::PreVoteReply { term: Term(3), granted: true };
    assert!(replies.map(|sent| sent.message).any(|message| message == granted));
    // It repeats the pre-votes, as other replicas may not have started yet.
    let mut at = now;
    for _ in 0..3 {
        at += timing.heartbeat_interval * 3 / 2;
        core.tick(at);
        assert_eq!(count_pre_votes(&mut core, at), 2);
    }
    assert_eq!(core.term(), Term(2));
}

#[test]
fn a_restarted_replica_with_leases_sends_pre_votes_only_after_an_election_timeout() {
    let now = Instant::now();
    let timing = ReplicaTiming::default();
    let mut core = start_timed(3, timing, now);
    core.tick(now + timing.election_timeout - Duration::from_millis(1));
    assert_eq!(count_pre_votes(&mut core, now), 0);
}
