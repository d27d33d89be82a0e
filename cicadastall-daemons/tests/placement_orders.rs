//! Placement orders an upstream to load a model that no upstream serves.

mod common;
mod zone;

use cicadastall::http::client;
use serde_json::json;
use std::time::Duration;
use tokio::time::{Instant, sleep};
use zone::{Zone, ask, ask_kind, start_engine, wait_listed};

#[tokio::test]
async fn model_without_an_upstream_is_loaded_and_served() {
    let zone = Zone::start_with("placement", &[("placement", json!(true))]);
    let entry = zone.start_entry("aqaba-1", &[]);
    let address = entry.address("caller");
    wait_listed(address, 1).await;
    let engines = [("aqaba-m1", &["--checks-fencing"][..]), ("aqaba-m2", &[]), ("aqaba-m3", &[])];
    let _engines = engines.map(|(name, role)| start_engine(name, address, &[], role));
    let client = client(1);
    let deadline = Instant::now() + Duration::from_secs(20);
    for kind in ["tuck-query", "splice-review"] {
        while !ask_kind(&client, address, kind).await.is_ok_and(|one| one.status.is_success()) {
            assert!(Instant::now() < deadline, "{kind} is not served after 20 s");
            sleep(Duration::from_millis(100)).await;
        }
    }
    for _ in 0..20 {
        let answer = ask(&client, address).await.expect("an answer");
        assert!(answer.status.is_success(), "the other model lost its last upstream: {answer:?}");
        sleep(Duration::from_millis(100)).await;
    }
}
