//! The SDK merges the series over its default limit into one overflow series; this must not happen
//! with as many workspaces, kinds and ranks as the largest fleet has.

use cicadastall::{
    decode::{RequestPath, RequestPlan, decode_request},
    name::RequestId,
    request_metrics::RequestMetrics,
    settings::{FleetSettings, Rank},
    wire::{KIND_HEADER, WORKSPACE_HEADER},
};
use hyper::{HeaderMap, header::HeaderValue};
use serde_json::json;
use std::time::Duration;

fn plan() -> RequestPlan {
    let settings: FleetSettings = serde_json::from_value(json!({
        "regions": { "aqaba": { "zones": ["aqaba-a"] } },
        "teams": { "trust": {
            "owner": "harbour office",
            "pools": { "verdicts": { "serves": { "model_engine": { "models": ["splice-7b"] } } } },
            "kinds": { "splice-review": {
                "pool": "verdicts", "model": "splice-7b", "rank": "urgent",
                "first_token_ms": 800, "deadline_ms": 20000, "answered_in": "anywhere",
            } },
            "workspaces": { "aqaba-port": { "home": "aqaba", "resides_in": ["aqaba"] } },
        } },
    }))
    .expect("settings");
    let mut headers = HeaderMap::new();
    headers.insert(WORKSPACE_HEADER, HeaderValue::from_static("aqaba-port"));
    headers.insert(KIND_HEADER, HeaderValue::from_static("splice-review"));
    let body = json!({ "messages": [], "stream": true }).to_string();
    let request = RequestId::new("r-1".to_owned());
    decode_request(RequestPath::Chat, &headers, body.as_bytes(), &settings, request)
        .expect("a plan")
}

#[test]
fn series_of_400_workspaces_10_kinds_and_2_ranks_do_not_overflow() {
    let metrics = RequestMetrics::new();
    let mut plan = plan();
    for workspace in 0..400 {
        plan.workspace = format!("workspace-{workspace}").as_str().into();
        for kind in 0..10 {
            plan.kind = format!("kind-{kind}").as_str().into();
            for rank in [Rank::Urgent, Rank::Patient] {
                plan.rank = rank;
                metrics.record_queue_wait(&plan, Duration::from_millis(1));
                metrics.record_first_token(&plan, Duration::from_millis(900));
                metrics.record_whole_answer(&plan, Duration::from_millis(1_500));
                metrics.count_outcome(&plan, "answered");
                metrics.count_outcome(&plan, "overloaded");
            }
        }
    }
    let text = String::from_utf8(metrics.render()).expect("text");
    assert!(!text.contains("overflow"), "some series were merged into the overflow series");
    let count = |name: &str| text.lines().filter(|line| line.starts_with(name)).count();
    for name in ["queue_wait", "first_token", "whole_answer"] {
        assert_eq!(count(&format!("cicadastall_{name}_milliseconds_count{{")), 8_000, "{name}");
    }
    assert_eq!(count("cicadastall_outcomes_total{"), 16_000);
    assert!(
        text.contains("le=\"1600\""),
        "the histogram does not use the configured bucket bounds"
    );
}
