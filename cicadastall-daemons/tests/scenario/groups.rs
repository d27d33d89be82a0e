//! Directives about leaders and voters of replicated groups.

use super::{
    fleet::{Fleet, RETRY_INTERVAL, WAIT_TIMEOUT},
    take_required,
};
use datadriven::TestCase;
use serde_json::Value;
use tokio::time::{Instant, sleep};

/// State of `group` as reported by the running instance `at`.
async fn ask_group(fleet: &Fleet, at: &str, group: &str) -> Value {
    fleet.get(fleet.operator_address(at), "/v1/groups").await[group].take()
}

/// The running instance that leads `group`.
async fn find_leader(fleet: &Fleet, group: &str) -> Option<String> {
    for instance in fleet.running() {
        if ask_group(fleet, &instance, group).await["leads"] == true {
            return Some(instance);
        }
    }
    None
}

/// `stop-leader`: stops the leader of a group gracefully and reports whether another replica leads
/// when it exits. An election timeout cannot elapse by then, so a new leader shows that leadership
/// was handed over.
pub async fn stop_leader(fleet: &mut Fleet, case: &mut TestCase) -> String {
    let group = take_required(case, "group");
    let deadline = Instant::now() + WAIT_TIMEOUT;
    let leader = loop {
        if let Some(leader) = find_leader(fleet, &group).await {
            break leader;
        }
        assert!(Instant::now() < deadline, "{group} has no leader within {WAIT_TIMEOUT:?}");
        sleep(RETRY_INTERVAL).await;
    };
    let ended = fleet.stop(&leader).await.replace(&leader, "the leader");
    let successor = match find_leader(fleet, &group).await {
        Some(_) => "another leads",
        None => "NOBODY LEADS",
    };
    format!("{ended}, {successor}")
}

/// `voters`: number of voters of a group in the configuration at `at`; waits until it is `until`
/// and, with `changed`, until the voters differ from those of the previous `voters`.
pub async fn count_voters(fleet: &mut Fleet, case: &mut TestCase) -> String {
    let (at, group) = (take_required(case, "at"), take_required(case, "group"));
    let until: usize = case.take_arg("until").expect("until=N");
    let changed = case.take_flag("changed").expect("a flag");
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        let groups = fleet.get(fleet.operator_address(&at), "/v1/groups").await;
        let voters = &groups[&group]["configuration"]["voters"];
        let count = voters.as_array().map_or(0, Vec::len);
        if count == until && (!changed || *voters != fleet.voters) {
            fleet.voters = voters.clone();
            return format!("{count} voters of {group}");
        }
        if Instant::now() > deadline {
            return format!("{count} VOTERS OF {group}");
        }
        sleep(RETRY_INTERVAL).await;
    }
}
