//! Groups of replicas over loopback connections, with and without storage on disk.

mod groups;

use cicadastall::{
    group::RefoundError,
    replica::{ReplicaError, ReplicaTiming},
    replica_message::Epoch,
    replicated::{GroupError, ReplicatedGroup},
};
use groups::{Member, TestGroup, propose, wait_until};
use std::{
    path::{Path, PathBuf},
    time::Duration,
};
use tokio::time::{Instant, sleep};

fn folder(name: &str) -> PathBuf {
    // Concurrent test runs may share a target folder.
    Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", std::process::id()))
}

async fn start_all(group: &TestGroup) -> Vec<Member> {
    let mut members = Vec::new();
    for index in 0..group.voters.len() {
        members.push(group.start(index).await.expect("start"));
    }
    members
}

fn leader(members: &[Member]) -> Option<usize> {
    members.iter().position(|member| member.handle.status().leads)
}

async fn read(member: &Member) -> Result<Vec<String>, GroupError> {
    member.handle.read(|list| list.0.clone()).await
}

#[tokio::test]
async fn three_replicas_commit_what_any_of_them_proposes() {
    let group = TestGroup::new(3, Some(folder("commit"))).await;
    let members = start_all(&group).await;
    for (index, member) in members.iter().enumerate() {
        assert_eq!(propose(member, &format!("from {index}")).await, index + 1);
    }
    for member in &members {
        assert_eq!(read(member).await, Ok(vec!["from 0".into(), "from 1".into(), "from 2".into()]));
    }
}

#[tokio::test]
async fn a_group_of_one_founds_itself() {
    let group = TestGroup::new(1, None).await;
    let members = start_all(&group).await;
    assert_eq!(propose(&members[0], "alone").await, 1);
}

#[tokio::test]
async fn a_group_survives_the_restart_of_all_replicas_after_hundreds_of_changes() {
    let group = TestGroup::new(3, Some(folder("restart"))).await;
    let members = start_all(&group).await;
    for index in 0..500 {
        propose(&members[0], &index.to_string()).await;
    }
    for member in members {
        member.stop().await;
    }
    let members = start_all(&group).await;
    assert_eq!(propose(&members[1], "after").await, 501);
    assert_eq!(read(&members[2]).await.map(|list| list.len()), Ok(501));
}

#[tokio::test]
async fn a_replica_that_restarts_alone_has_what_it_knew_to_be_committed() {
    let group = TestGroup::new(3, Some(folder("alone"))).await;
    let members = start_all(&group).await;
    propose(&members[0], "kept").await;
    let length = |member: &Member| member.handle.read_local(|list| list.0.len());
    wait_until("all replicas apply the entry", || members.iter().all(|member| length(member) == 1))
        .await;
    sleep(2 * ReplicaTiming::default().election_timeout).await;
    for member in members {
        member.stop().await;
    }
    let alone = group.start(2).await.expect("start");
    wait_until("the entry is applied", || length(&alone) == 1).await;
}

#[tokio::test]
async fn a_replica_that_lost_its_disk_rejoins_under_a_new_identity() {
    let group = TestGroup::new(3, Some(folder("empty-disk"))).await;
    let mut members = start_all(&group).await;
    propose(&members[0], "before").await;
    let lost = (leader(&members).expect("leader") + 1) % 3;
    let old = members[lost].handle.status().configuration;
    members.remove(lost).stop().await;
    std::fs::remove_dir_all(group.folder(lost).expect("folder")).expect("remove");
    members.insert(lost, group.start(lost).await.expect("start"));
    let replaced = || {
        let now = members[lost].handle.status().configuration;
        now.voters.len() == 3 && now.learners.is_empty() && now != old
    };
    wait_until("the replica with the empty disk votes", replaced).await;
    assert_eq!(read(&members[lost]).await, Ok(vec!["before".into()]));
    // The new replica votes, so the group tolerates the loss of another one.
    members.remove((lost + 1) % 3).stop().await;
    assert_eq!(propose(&members[0], "after").await, 2);
}

/// Stops all members but the leader, and waits until it steps down.
async fn stop_all_but_leader(mut members: Vec<Member>) -> Member {
    let kept = members.remove(leader(&members).expect("leader"));
    for member in members {
        member.stop().await;
    }
    wait_until("the leader steps down", || !kept.handle.status().leads).await;
    kept
}

/// Refounds the group; retries until the replica has been without a leader for long enough.
async fn refound(kept: &Member) -> Epoch {
    let end = Instant::now() + 10 * ReplicaTiming::default().election_timeout;
    loop {
        match kept.handle.refound(true).await {
            Ok(epoch) => return epoch,
            Err(error) => assert!(Instant::now() < end, "{error}"),
        }
        sleep(ReplicaTiming::default().heartbeat_interval).await;
    }
}

#[tokio::test]
async fn one_of_three_accepts_nothing_until_it_is_refounded() {
    let group = TestGroup::new(3, None).await;
    let members = start_all(&group).await;
    propose(&members[0], "before").await;
    let leads = &members[leader(&members).expect("leader")].handle;
    let refused = Err(RefoundError::Replica(ReplicaError::LeaderPresent));
    assert_eq!(leads.refound(true).await, refused);
    let kept = stop_all_but_leader(members).await;
    assert_eq!(kept.handle.refound(true).await, refused, "an election may be under way");
    assert_eq!(kept.handle.propose("lost".into()).await, Err(GroupError::NoQuorum));
    assert_eq!(read(&kept).await, Err(GroupError::NoQuorum));
    assert_eq!(kept.handle.refound(false).await, Err(RefoundError::LossNotAccepted));
    let before = kept.handle.status().epoch;
    assert!(refound(&kept).await > before);
    assert_eq!(propose(&kept, "after").await, 3);
    let left = vec!["before".into(), "refounded".into(), "after".into()];
    assert_eq!(read(&kept).await, Ok(left));
}

#[tokio::test]
async fn a_refounded_group_admits_empty_replicas_but_not_old_members() {
    let group = TestGroup::new(3, Some(folder("refounded"))).await;
    let members = start_all(&group).await;
    propose(&members[0], "before").await;
    let kept = stop_all_but_leader(members).await;
    let own = kept.handle.status().configuration;
    let own = group.voters.iter().position(|voter| {
        let leader = kept.handle.own();
        own.voters.contains(leader) && leader.instance == voter.instance
    });
    let (old, empty) = ((own.expect("own") + 1) % 3, (own.expect("own") + 2) % 3);
    refound(&kept).await;
    propose(&kept, "after").await;
    std::fs::remove_dir_all(group.folder(empty).expect("folder")).expect("remove");
    let (old, empty) = (group.start(old).await, group.start(empty).await);
    let (old, empty) = (old.expect("start"), empty.expect("start"));
    let epoch = kept.handle.status().epoch;
    wait_until("the old one learns it", || old.handle.status().superseded == Some(epoch)).await;
    let joined = || kept.handle.status().configuration.voters.len() == 2;
    wait_until("the empty replica votes", joined).await;
    assert_eq!(read(&empty).await, read(&kept).await);
    assert_eq!(old.handle.read_local(|list| list.0.clone()), Vec::<String>::new());
}

#[tokio::test]
async fn a_planned_stop_of_the_leader_needs_no_election_timeout() {
    let mut group = TestGroup::new(3, Some(folder("handover"))).await;
    // No election timeout elapses during the test, so only the transfer can elect a leader.
    let (election_timeout, lease_duration) = (Duration::from_secs(60), Duration::from_secs(50));
    group.timing = ReplicaTiming { election_timeout, lease_duration, ..ReplicaTiming::default() };
    let mut members = start_all(&group).await;
    propose(&members[0], "before").await;
    wait_until("a leader is known", || leader(&members).is_some()).await;
    let stopped = members.remove(leader(&members).expect("a leader"));
    let term = stopped.handle.status().term;
    let started = Instant::now();
    stopped.handle.transfer_leadership().await;
    let status = || stopped.handle.status();
    wait_until("another replica leads", || !status().leads && status().leader.is_some()).await;
    stopped.stop().await;
    assert_eq!(propose(&members[0], "after").await, 2);
    println!("stopped and accepted the next command within {:?}", started.elapsed());
    assert_eq!(members[0].handle.status().term, term.next());
}
