//! Open groups: joining, replacement of lost members, and replicas that may not found a group.

mod groups;

use cicadastall::replica_message::Epoch;
use groups::{Member, TestGroup, propose, wait_until};
use std::{
    path::{Path, PathBuf},
    time::Duration,
};
use tokio::time::{sleep, timeout};

/// Time that a stopping instance waits until its replica has left.
const STOP_BOUND: Duration = Duration::from_secs(4);

fn folder(name: &str) -> PathBuf {
    Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("open-{name}-{}", std::process::id()))
}

async fn start(group: &TestGroup, indices: impl IntoIterator<Item = usize>) -> Vec<Member> {
    let mut members = Vec::new();
    for index in indices {
        members.push(group.start(index).await.expect("start"));
    }
    members
}

fn voters(member: &Member) -> usize {
    member.handle.status().configuration.voters.len()
}

async fn wait_voters(members: &[Member], count: usize) {
    let agreed = || members.iter().all(|member| voters(member) == count);
    wait_until("all members report the number of voters", agreed).await;
}

#[tokio::test]
async fn replicas_that_are_not_founders_join_and_vote() {
    let group = TestGroup::open(5, 3, folder("join")).await;
    let members = start(&group, 0..5).await;
    propose(&members[4], "from a joined replica").await;
    wait_voters(&members, 5).await;
}

#[tokio::test]
async fn a_replica_at_a_new_address_replaces_a_lost_voter() {
    let group = TestGroup::open(4, 3, folder("replace")).await;
    let mut members = start(&group, 0..3).await;
    propose(&members[0], "before").await;
    members.remove(1).stop().await;
    members.extend(start(&group, [3]).await);
    let gone = group.open_name(1);
    let replaced = |member: &Member| {
        let voters = member.handle.status().configuration.voters;
        voters.len() == 3 && voters.iter().all(|voter| voter.instance != gone)
    };
    wait_until("the lost voter is replaced", || members.iter().all(replaced)).await;
    // With the lost voter replaced, the group tolerates another loss.
    members.remove(0).stop().await;
    assert_eq!(propose(&members[1], "after").await, 2);
}

/// Guards against a group that keeps the voters of a planned replacement for good.
#[tokio::test]
async fn replaced_voters_stay_in_a_group_of_odd_size() {
    let group = TestGroup::open(5, 3, folder("odd")).await;
    let mut members = start(&group, 0..5).await;
    propose(&members[0], "before").await;
    wait_voters(&members, 5).await;
    members.remove(0).stop().await;
    members.remove(0).stop().await;
    wait_voters(&members, 3).await;
    members.remove(0).stop().await;
    assert_eq!(propose(&members[0], "after").await, 2);
}

/// Guards against a removed replica that returns with its disk and stays outside the group.
#[tokio::test]
async fn a_removed_replica_that_returns_stays_outside() {
    let group = TestGroup::open(4, 3, folder("return")).await;
    let mut members = start(&group, 0..4).await;
    propose(&members[0], "before").await;
    wait_voters(&members, 4).await;
    members.remove(3).stop().await;
    wait_voters(&members, 3).await;
    propose(&members[0], "meanwhile").await;
    members.extend(start(&group, [3]).await);
    wait_voters(&members, 4).await;
}

/// Guards against a replacement, planned or not, after which the next lost machine ends the group.
#[tokio::test]
async fn a_machine_lost_right_after_a_replacement_ends_a_group() {
    for planned in [true, false] {
        let group = TestGroup::open(4, 3, folder("twice")).await;
        let mut members = start(&group, 0..4).await;
        propose(&members[0], "before").await;
        wait_voters(&members, 4).await;
        let replaced = members.remove(0);
        if planned {
            let left = timeout(STOP_BOUND, replaced.handle.leave()).await;
            left.expect("the replica leaves within the time that a stop may take");
        }
        replaced.stop().await;
        assert_eq!(propose(&members[0], "acknowledged").await, 2);
        members.remove(0).stop().await;
        assert_eq!(propose(&members[0], "after").await, 3);
    }
}

/// Guards against a replica that left as planned and stays outside when it returns with its disk.
#[tokio::test]
async fn a_replica_that_left_and_returns_stays_outside() {
    let group = TestGroup::open(4, 3, folder("rolling")).await;
    let mut members = start(&group, 0..4).await;
    propose(&members[0], "before").await;
    wait_voters(&members, 4).await;
    for index in 0..4 {
        let leaving = members.remove(0);
        timeout(STOP_BOUND, leaving.handle.leave()).await.expect("left in time");
        leaving.stop().await;
        members.extend(start(&group, [index]).await);
        wait_voters(&members, 4).await;
    }
    assert_eq!(propose(&members[0], "after").await, 2);
}

/// Guards against replicas that all stop at once and wait for each other, or lose their group.
#[tokio::test]
async fn replicas_that_all_leave_at_once_lose_their_group() {
    let group = TestGroup::open(4, 3, folder("all")).await;
    let members = start(&group, 0..4).await;
    propose(&members[0], "before").await;
    wait_voters(&members, 4).await;
    let stops = members.into_iter().map(async |member| {
        // The time limit of a stop applies where the group has lost its majority meanwhile.
        let _ = timeout(STOP_BOUND, member.handle.leave()).await;
        member.stop().await;
    });
    futures::future::join_all(stops).await;
    let members = start(&group, 0..4).await;
    assert_eq!(propose(&members[0], "after").await, 2);
    wait_voters(&members, 4).await;
}

#[tokio::test]
async fn a_silent_voter_of_three_is_not_removed() {
    let group = TestGroup::open(3, 3, folder("silent")).await;
    let mut members = start(&group, 0..3).await;
    propose(&members[0], "before").await;
    members.remove(2).stop().await;
    sleep(Duration::from_secs(4)).await;
    wait_voters(&members, 3).await;
    members.extend(start(&group, [2]).await);
    members.remove(0).stop().await;
    assert_eq!(propose(&members[1], "after").await, 2);
}

#[tokio::test]
async fn replicas_that_may_not_found_a_group_wait_without_one() {
    let mut group = TestGroup::open(3, 3, folder("wiped")).await;
    group.founding = false;
    let members = start(&group, 0..3).await;
    sleep(Duration::from_secs(3)).await;
    assert!(members.iter().all(|member| member.handle.status().epoch == Epoch(0)));
}
