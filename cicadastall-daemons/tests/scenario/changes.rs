//! Directives that change settings and check where a revision is in force.

use super::{
    SCENARIO_SETTINGS,
    fleet::{Fleet, RETRY_INTERVAL, WAIT_TIMEOUT},
    operator::{FIRST_TEAM, OwnerChange, describe_answer, put},
    take_required, take_required_list,
};
use cicadastall::{
    http::{call_json, client},
    settings_state::ChangeReply,
};
use datadriven::TestCase;
use futures::future::join_all;
use hyper::Method;
use serde_json::Value;
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::{
    task::JoinSet,
    time::{Instant, sleep, sleep_until},
};

/// Argument that selects any running control instance.
const ANY_CONTROL: &str = "any-control";

/// Argument that selects the regions with a running control instance.
const CONTROLLED_REGIONS: &str = "controlled";

/// Time at which each entry first reported each revision.
type RevisionTimes = Arc<Mutex<BTreeMap<(String, u64), Instant>>>;

/// Records the revisions of all running entries since a change was sent.
#[derive(Debug, Default)]
pub struct RevisionWatch {
    sent: Option<Instant>,
    first_seen: RevisionTimes,
    _tasks: JoinSet<()>,
}

impl RevisionWatch {
    /// Starts to poll `entries`, given by name and operator address.
    fn start(entries: Vec<(String, SocketAddr)>) -> Self {
        let first_seen = RevisionTimes::default();
        let mut tasks = JoinSet::new();
        for (name, address) in entries {
            tasks.spawn(watch_entry(name, address, Arc::clone(&first_seen)));
        }
        Self { sent: Some(Instant::now()), first_seen, _tasks: tasks }
    }
}

async fn watch_entry(name: String, address: SocketAddr, first_seen: RevisionTimes) {
    let client = client(1);
    let bound = Duration::from_secs(1);
    loop {
        let asked: Result<Value, _> =
            call_json(&client, Method::GET, address, "/v1/status", None::<&Value>, bound).await;
        if let Some(revision) = asked.ok().and_then(|status| status["revision"].as_u64()) {
            let mut first_seen = first_seen.lock().expect("no panic holds the lock");
            first_seen.entry((name.clone(), revision)).or_insert_with(Instant::now);
        }
        sleep(RETRY_INTERVAL).await;
    }
}

/// `put`: sends one change; with `until-result`, resends it until it has a result.
pub async fn put_change(fleet: &mut Fleet, case: &mut TestCase) -> String {
    let via = take_required(case, "via");
    let until = case.take_flag("until-result").expect("a flag");
    let change = OwnerChange {
        team: FIRST_TEAM.to_owned(),
        owner: take_required(case, "owner"),
        expected: case.take_arg("expect").expect("expect=N"),
        operation: take_required(case, "operation"),
    };
    let control = match via.as_str() {
        ANY_CONTROL => fleet.controls().remove(0),
        _ => via,
    };
    let control = fleet.operator_address(&control);
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        fleet.revision_watch = RevisionWatch::start(fleet.entry_operators());
        let answer = put(fleet.folder(), control, SCENARIO_SETTINGS, &change).await;
        if answer.is_some() || !until || Instant::now() > deadline {
            return describe_answer(answer.as_ref());
        }
        sleep(RETRY_INTERVAL).await;
    }
}

/// `put-many`: operators of `teams` new teams concurrently send `count` changes in total; each
/// operator sends its changes one at a time and stops at the first that is not accepted.
pub async fn put_many(fleet: &mut Fleet, case: &mut TestCase) -> String {
    let via = take_required(case, "via");
    let count: u64 = case.take_arg("count").expect("count=N");
    let teams: u64 = case.take_arg("teams").expect("teams=N");
    let control = fleet.operator_address(&via);
    let fleet = &*fleet;
    let puts = (0..teams).map(|team| put_sequentially(fleet, control, team, count / teams));
    match join_all(puts).await.into_iter().collect::<Result<Vec<_>, _>>() {
        Ok(last) => {
            let last = last.into_iter().max().unwrap_or_default();
            format!("{count} accepted, the last as revision {last}")
        }
        Err(refused) => refused,
    }
}

/// Sends `count` changes of one new team; returns the revision of the last one.
async fn put_sequentially(
    fleet: &Fleet,
    control: SocketAddr,
    team: u64,
    count: u64,
) -> Result<u64, String> {
    let mut expected = 0;
    for number in 0..count {
        let change = OwnerChange {
            team: format!("many-{team}"),
            owner: format!("many-{team}-{number}"),
            operation: format!("many-{team}-{number}"),
            expected,
        };
        let answer = put(fleet.folder(), control, SCENARIO_SETTINGS, &change).await;
        match answer.as_ref().map(|answer| &answer.reply) {
            Some(ChangeReply::Accepted { revision }) => expected = revision.0,
            _ => {
                let outcome = describe_answer(answer.as_ref());
                return Err(format!("change {number} of team {team}: {outcome}"));
            }
        }
    }
    Ok(expected)
}

/// `race`: several operators change the same version concurrently; prints the sorted results.
pub async fn race(fleet: &mut Fleet, case: &mut TestCase) -> String {
    let via: Vec<String> = take_required_list(case, "via");
    let expected: u64 = case.take_arg("expect").expect("expect=N");
    let fleet = &*fleet;
    let puts = via.iter().enumerate().map(|(number, via)| async move {
        let owner = format!("racer-{expected}-{number}");
        let team = FIRST_TEAM.to_owned();
        let change = OwnerChange { team, operation: owner.clone(), owner, expected };
        describe_answer(
            put(fleet.folder(), fleet.operator_address(via), SCENARIO_SETTINGS, &change)
                .await
                .as_ref(),
        )
    });
    let mut outcomes = join_all(puts).await;
    outcomes.sort();
    outcomes.join("\n")
}

/// `revision`: whether the entries of `regions` had a revision in force within `within-ms` of the
/// last `put`.
pub async fn check_revision(fleet: &mut Fleet, case: &mut TestCase) -> String {
    let revision: u64 = case.take_arg("is").expect("is=N");
    let bound = Duration::from_millis(case.take_arg("within-ms").expect("within-ms=N"));
    let mut regions: Vec<String> = take_required_list(case, "regions");
    if regions == [CONTROLLED_REGIONS] {
        regions = fleet.controlled_regions();
    }
    let deadline = fleet.revision_watch.sent.expect("a change was sent") + bound;
    sleep_until(deadline).await;
    let first_seen =
        fleet.revision_watch.first_seen.lock().expect("no panic holds the lock").clone();
    let mut late = Vec::new();
    for name in fleet.entries_in(&regions) {
        let first = first_seen.get(&(name.clone(), revision));
        if first.is_none_or(|at| *at > deadline) {
            late.push(name);
        }
    }
    match late.is_empty() {
        true => format!("revision {revision} in force within {bound:?}"),
        false => format!("revision {revision} NOT in force within {bound:?}: {late:?}"),
    }
}

/// `settings`: the revision in force at one instance; waits until it is `until`.
pub async fn show_revision(fleet: &mut Fleet, case: &mut TestCase) -> String {
    let at = take_required(case, "at");
    let until: Option<u64> = case.try_take_arg("until").expect("until=N");
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        let status = fleet.get(fleet.operator_address(&at), "/v1/status").await;
        let revision = status["revision"].as_u64().unwrap_or_default();
        if until.is_none_or(|until| until == revision) || Instant::now() > deadline {
            return format!("{at}: revision {revision}");
        }
        sleep(RETRY_INTERVAL).await;
    }
}
