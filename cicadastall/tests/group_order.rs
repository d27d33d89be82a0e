//! Messages of a group arrive in the order in which they were sent, also on a multi-threaded
//! runtime.
//!
//! Reordered messages would make followers report missing entries, which the leader then resends.

mod groups;

use cicadastall::{
    counted_stream::message_bytes,
    replicated::{GroupError, ReplicatedGroup},
};
use groups::{Member, TestGroup, propose};
use std::sync::Arc;
use tokio::task::JoinSet;

/// Number of concurrent proposers.
const PROPOSERS: usize = 64;

/// Number of commands of each proposer.
const COMMANDS: usize = 20;

/// Size of a command, large compared with the rest of its message.
const COMMAND_BYTES: usize = 2_048;

/// Proposes commands one after the other.
async fn propose_many(member: &Member) -> Result<(), GroupError> {
    for _ in 0..COMMANDS {
        member.handle.propose("c".repeat(COMMAND_BYTES)).await?;
    }
    Ok(())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn many_proposers_do_not_make_the_leader_send_its_entries_again() {
    let group = TestGroup::new(3, None).await;
    let mut members = Vec::new();
    for index in 0..group.voters.len() {
        members.push(group.start(index).await.expect("start"));
    }
    propose(&members[0], "first").await;
    let leader = members.iter().position(|member| member.handle.status().leads);
    let leader = Arc::new(members.swap_remove(leader.expect("a leader")));
    let before = message_bytes().sent;
    let mut proposers = JoinSet::new();
    for _ in 0..PROPOSERS {
        let leader = Arc::clone(&leader);
        proposers.spawn(async move { propose_many(&leader).await });
    }
    while let Some(proposed) = proposers.join_next().await {
        proposed.expect("a proposer").expect("the command is accepted");
    }
    let sent = (message_bytes().sent - before) as usize;
    let once = 2 * PROPOSERS * COMMANDS * COMMAND_BYTES;
    assert!(sent < 2 * once, "{sent} bytes sent for {once} bytes of commands to two followers");
}
