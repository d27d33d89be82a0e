//! Rounding of loads and ages in renewals: the router never sees less queued work or a younger age.

use cicadastall::{
    renewal::{RenewalAge, RenewalLoad},
    table::LoadReport,
};
use std::time::Duration;
use tokio::time::Instant;

/// The load that a receiver decodes from the renewal of a reported load.
fn decode_load(load: &LoadReport) -> LoadReport {
    let mut received = LoadReport::default();
    RenewalLoad::new(load).fill(&mut received);
    received
}

#[test]
fn queued_work_is_never_understated_and_counts_stay_exact() {
    for tokens in [0, 1, 127, 128, 129, 20_000, 3_000_000] {
        let load = LoadReport {
            running: 31,
            queued: 7,
            queued_prompt_tokens: tokens,
            kv_used_tokens: tokens,
            urgent_queued: 2,
            urgent_prompt_tokens: tokens / 2,
            ..LoadReport::default()
        };
        let received = decode_load(&load);
        assert_eq!((received.running, received.queued, received.urgent_queued), (31, 7, 2));
        assert!(received.queued_prompt_tokens >= tokens);
        assert!(received.queued_prompt_tokens - tokens < 128);
        assert!(received.urgent_prompt_tokens >= tokens / 2);
        assert!(received.urgent_prompt_tokens <= received.queued_prompt_tokens);
        assert!(received.kv_used_tokens <= tokens && tokens - received.kv_used_tokens < 1_024);
    }
}

#[test]
fn decoded_age_is_never_younger() {
    let now = Instant::now() + Duration::from_secs(60);
    for passed in [0, 1, 9, 10, 11, 999, 2_499, 2_500, 30_000] {
        let at = now - Duration::from_millis(passed);
        let received =
            RenewalAge::new(at, now).before(now).expect("a time after the clock's origin");
        assert!(received <= at && at - received < Duration::from_millis(10), "{passed} ms");
    }
}
