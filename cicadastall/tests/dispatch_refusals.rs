//! Refusals of an upstream to an attempt of the chat interface, on real sockets.

mod gateway;

use cicadastall::{
    answer::Ran,
    decode::{RequestBody, RequestPlan},
    dispatch::{AttemptError, AttemptTarget, call_service},
    http::{HttpClient, client},
    name::AttemptId,
    settings::Rank,
    wire::CallRequest,
};
use gateway::upstream::{ConnectionEnd, ScriptedAnswer, UpstreamStub, refusal_text};
use smallvec::SmallVec;
use std::time::Duration;

const REMAINING: Duration = Duration::from_secs(5);

fn plan(repeatable: bool) -> RequestPlan {
    RequestPlan {
        request: "request".into(),
        team: "team".into(),
        workspace: "workspace".into(),
        home: "west".into(),
        share: 1.0,
        kind: "kind".into(),
        rank: Rank::Patient,
        worth: 1.0,
        pool: "service".into(),
        model: None,
        regions: SmallVec::new(),
        first_token: REMAINING,
        deadline: REMAINING,
        repeatable,
        forwarded_from: None,
        session: None,
        key: None,
        resent: false,
        acknowledged: SmallVec::new(),
        body: RequestBody::Call(CallRequest { arguments: serde_json::Value::Null }),
    }
}

/// Sends an attempt and returns whether it may have run according to its failure.
async fn find_ran(
    client: &HttpClient,
    upstream: &UpstreamStub,
    plan: &RequestPlan,
    attempt: &str,
) -> Ran {
    let target = AttemptTarget::Upstream { address: upstream.address, priority: 0 };
    let RequestBody::Call(call) = &plan.body else { panic!("a call") };
    let attempt = AttemptId::from(attempt);
    let called = call_service(client, &target, plan, call, &attempt, REMAINING).await;
    let error = called.expect_err("a refusal");
    assert!(matches!(error, AttemptError::Refused(_)), "{error:?}");
    error.ran()
}

fn error_body(request: &str) -> ScriptedAnswer {
    let body = format!(
        r#"{{"request":"{request}","error":{{"code":"overloaded","message":"full","ran":"no"}}}}"#
    );
    let text =
        format!("HTTP/1.1 503 Service Unavailable\r\ncontent-length: {}\r\n\r\n{body}", body.len());
    ScriptedAnswer::raw(&text, ConnectionEnd::Keep)
}

#[tokio::test]
async fn a_refusal_of_another_attempt_on_a_pooled_connection_is_told_as_not_run() {
    let upstream = UpstreamStub::start(ScriptedAnswer::refused()).await;
    let (pooled, plan) = (client(8), plan(true));
    let raw = |attempt| ScriptedAnswer::raw(&refusal_text(attempt), ConnectionEnd::Keep);
    let cases = [
        (raw(Some("{attempt}")), Ran::No),
        (raw(Some("another")), Ran::Unknown),
        (raw(None), Ran::Unknown),
        (error_body("{attempt}"), Ran::No),
        (error_body("another"), Ran::Unknown),
    ];
    for (number, (script, expected)) in cases.into_iter().enumerate() {
        upstream.next([script.clone()]);
        let ran = find_ran(&pooled, &upstream, &plan, &format!("request.{number}")).await;
        assert_eq!(ran, expected, "{script:?}");
    }
    assert_eq!(upstream.connections(), 1);
}

#[tokio::test]
async fn a_refusal_of_an_attempt_that_may_run_once_comes_on_a_new_connection() {
    let upstream = UpstreamStub::start(ScriptedAnswer::refused()).await;
    let (unpooled, plan) = (client(0), plan(false));
    let raw = |attempt| ScriptedAnswer::raw(&refusal_text(attempt), ConnectionEnd::Keep);
    let cases = [
        (raw(Some("{attempt}")), Ran::No),
        (raw(Some("another")), Ran::Unknown),
        (raw(None), Ran::No),
        (error_body("{attempt}"), Ran::No),
        (error_body("another"), Ran::Unknown),
    ];
    let count = cases.len();
    for (script, expected) in cases {
        upstream.next([script.clone()]);
        assert_eq!(
            find_ran(&unpooled, &upstream, &plan, "request.1").await,
            expected,
            "{script:?}"
        );
    }
    assert_eq!(upstream.connections() as usize, count);
}
