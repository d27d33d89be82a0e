//! A request forwarded to a zone that stops responding on open connections is given up long before
//! its deadline.

mod common;
mod zone;

use cicadastall::http::client;
use std::time::Duration;
use tokio::time::{Instant, sleep};
use zone::{Zone, ask, start_engine_in};

/// Digests expire after 3 s; the remaining 2 s allow for two checks and a busy machine.
const GIVE_UP_TIMEOUT: Duration = Duration::from_secs(5);

#[tokio::test]
async fn forward_to_a_silent_zone_is_given_up() {
    let zone = Zone::start("silent-cut");
    let local = zone.start_entry("aqaba-1", &[]);
    let remote = zone.start_entry_in("amman", "amman-1", &[]);
    let _engine = start_engine_in("amman", "amman-m1", remote.address("caller"), &[], &[]);
    let client = client(1);
    let entry = local.address("caller");
    let deadline = Instant::now() + Duration::from_secs(15);
    while !ask(&client, entry).await.is_ok_and(|answer| answer.status.is_success()) {
        assert!(Instant::now() < deadline, "nothing is forwarded after 15 s");
        sleep(Duration::from_millis(100)).await;
    }
    remote.signal("-STOP");
    let asked = Instant::now();
    let answer = ask(&client, entry).await.expect("a refusal");
    let passed = asked.elapsed();
    remote.signal("-CONT");
    println!("given up after {passed:?}: {}", answer.text);
    assert!(!answer.status.is_success());
    assert!(passed < GIVE_UP_TIMEOUT, "given up after {passed:?}");
}
