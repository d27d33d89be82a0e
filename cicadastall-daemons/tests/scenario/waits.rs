//! Directives that wait for a condition reported by an operator port or a stand-in.

use super::{
    fleet::{Fleet, RETRY_INTERVAL, WAIT_TIMEOUT},
    take_required, take_required_list,
};
use datadriven::TestCase;
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// `executed`: waits until the services counted `count` executions of a key.
pub async fn wait_executed(fleet: &Fleet, case: &mut TestCase) -> String {
    let key = take_required(case, "key");
    let count: u64 = case.take_arg("count").expect("count=N");
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        let counted = fleet.executions().await.get(&key).copied().unwrap_or_default();
        if counted == count || Instant::now() > deadline {
            return format!("{key}: {counted}");
        }
        sleep(RETRY_INTERVAL).await;
    }
}

/// `confirmed`: waits until the group has confirmed the settings of the instances.
pub async fn wait_confirmed(fleet: &Fleet, case: &mut TestCase) -> String {
    let mut waited: Vec<String> = take_required_list(case, "at");
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while Instant::now() < deadline {
        let Some(at) = waited.last() else { return "confirmed".to_owned() };
        let status = fleet.get(fleet.operator_address(at), "/v1/status").await;
        match status["settings"]["confirmed_age_ms"].is_u64() {
            true => drop(waited.pop()),
            false => sleep(RETRY_INTERVAL).await,
        }
    }
    format!("NOT CONFIRMED: {waited:?}")
}

/// `unconfirmed`: waits until the last confirmation of an instance's settings is `for-ms` old.
pub async fn wait_unconfirmed(fleet: &Fleet, case: &mut TestCase) -> String {
    let at = take_required(case, "at");
    let least: u64 = case.take_arg("for-ms").expect("for-ms=N");
    let deadline = Instant::now() + Duration::from_millis(least) + WAIT_TIMEOUT;
    loop {
        let status = fleet.get(fleet.operator_address(&at), "/v1/status").await;
        let age = status["settings"]["confirmed_age_ms"].as_u64();
        if age.is_some_and(|age| age >= least) {
            return format!("{at}: unconfirmed for {least} ms");
        }
        if Instant::now() > deadline {
            return format!("{at}: CONFIRMED {age:?} ms AGO");
        }
        sleep(RETRY_INTERVAL).await;
    }
}

/// `zones`: waits until an entry knows exactly these other zones.
pub async fn wait_zones(fleet: &Fleet, case: &mut TestCase) -> String {
    let at = take_required(case, "at");
    let mut wanted: Vec<String> = take_required_list(case, "are");
    wanted.retain(|zone| zone != "none");
    let deadline = Instant::now() + WAIT_TIMEOUT;
    loop {
        let status = fleet.get(fleet.operator_address(&at), "/v1/status").await;
        let zones = status["zones"].as_array().into_iter().flatten();
        let known: Vec<_> = zones.filter_map(|zone| zone.as_str()).collect();
        if known == wanted || Instant::now() > deadline {
            return format!("{at}: knows {known:?}");
        }
        sleep(RETRY_INTERVAL).await;
    }
}

/// `quarantined`: waits up to `within-ms` until an entry knows `count` quarantined requests.
pub async fn wait_quarantined(fleet: &Fleet, case: &mut TestCase) -> String {
    let at = take_required(case, "at");
    let count: usize = case.take_arg("count").expect("count=N");
    let bound = Duration::from_millis(case.take_arg("within-ms").expect("within-ms=N"));
    let deadline = Instant::now() + bound;
    loop {
        let records = fleet.get(fleet.operator_address(&at), "/v1/quarantine").await;
        let known = records.as_array().into_iter().flatten();
        let known = known
            .filter(|record| record["crashes"].as_array().is_some_and(|all| all.len() >= 2))
            .count();
        if known == count || Instant::now() > deadline {
            return format!("{at}: {known} quarantined");
        }
        sleep(RETRY_INTERVAL).await;
    }
}
