//! Separate control, entry and upstream processes serve a stream and a call end to end.

mod common;

use bytes::Bytes;
use cicadastall::{
    http::{call_json, client},
    wire::{
        CallAnswer, CallRequest, ChatMessage, ChatRequest, EntriesReply, KIND_HEADER,
        REGION_HEADER, WORKSPACE_HEADER,
    },
};
use common::{CONTROL, ENTRY, Process, STANDIN, TestFolder, instance_settings, standin_arguments};
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, Response, body::Incoming};
use serde_json::{Value, json};
use std::{net::SocketAddr, time::Duration};
use tokio::time::sleep;

fn fleet() -> Value {
    json!({
        "regions": { "aqaba": { "zones": ["aqaba-a"] } },
        "teams": { "trust": {
            "owner": "harbour office",
            "pools": {
                "verdicts": { "serves": { "model_engine": { "models": ["splice-7b"] } } },
                "registers": { "serves": "plain_service" },
            },
            "kinds": {
                "tuck-query": {
                    "pool": "verdicts", "model": "splice-7b", "rank": "urgent",
                    "first_token_ms": 800, "deadline_ms": 20000, "answered_in": "anywhere",
                },
                "register-lookup": {
                    "pool": "registers", "rank": "urgent",
                    "first_token_ms": 300, "deadline_ms": 2000, "answered_in": "home",
                },
            },
            "workspaces": { "aqaba-port": { "home": "aqaba", "resides_in": ["aqaba"] } },
        } },
    })
}

async fn post(entry: SocketAddr, path: &str, kind: &str, body: Vec<u8>) -> Response<Incoming> {
    let request = Request::post(format!("http://{entry}{path}"))
        .header(WORKSPACE_HEADER, "aqaba-port")
        .header(KIND_HEADER, kind)
        .body(Full::new(Bytes::from(body)))
        .expect("a request");
    client(1).request(request).await.expect("an answer")
}

/// Sends a request until it is served; the fleet refuses it while it starts.
async fn post_until_served(
    entry: SocketAddr,
    path: &str,
    kind: &str,
    body: &[u8],
) -> Response<Incoming> {
    for _ in 0..100 {
        let answer = post(entry, path, kind, body.to_vec()).await;
        if answer.status().is_success() {
            return answer;
        }
        sleep(Duration::from_millis(50)).await;
    }
    panic!("{kind} was not served within 5 s");
}

#[tokio::test]
async fn separate_processes_serve_a_stream_and_a_call() {
    let folder = TestFolder::new("whole-path");
    let founding = folder.write("fleet.json", &fleet());
    let mut settings = instance_settings("aqaba-control", "aqaba");
    settings["founding_settings"] = json!(founding);
    let path = folder.write("control.json", &settings);
    let control = Process::start(CONTROL, &["--settings".into(), path.display().to_string()]);

    let mut settings = instance_settings("aqaba-1", "aqaba");
    settings["control"] = json!([control.address("peer")]);
    settings["seeds"] = json!([control.address("peer")]);
    let path = folder.write("entry.json", &settings);
    let entry = Process::start(ENTRY, &["--settings".into(), path.display().to_string()]);
    let caller = entry.address("caller");

    let mut arguments = standin_arguments("aqaba-m1", "aqaba", "verdicts", caller);
    arguments.extend(["engine", "--model", "splice-7b", "--tokens", "12"].map(str::to_owned));
    let _engine = Process::start(STANDIN, &arguments);
    let mut arguments = standin_arguments("aqaba-r1", "aqaba", "registers", caller);
    arguments.push("service".into());
    let _service = Process::start(STANDIN, &arguments);

    let listing: EntriesReply = call_json(
        &client(1),
        Method::GET,
        caller,
        "/v1/entries",
        None::<&Value>,
        Duration::from_secs(2),
    )
    .await
    .expect("a listing");
    let address = listing.entries[0].address;
    assert_eq!(address, caller);

    let chat = ChatRequest {
        model: None,
        messages: vec![ChatMessage { role: "user".into(), content: "How many tucks?".into() }],
        max_tokens: 64,
        stream: true,
        priority: 0,
        resume_from: 0,
    };
    let body = serde_json::to_vec(&chat).expect("encode");
    let answer = post_until_served(address, "/v1/chat/completions", "tuck-query", &body).await;
    assert_eq!(answer.headers()[REGION_HEADER], "aqaba");
    let text = answer.into_body().collect().await.expect("a whole stream").to_bytes();
    let text = String::from_utf8(text.to_vec()).expect("text");
    assert_eq!(text.matches("\"offset\"").count(), 12);
    assert!(text.ends_with("data: [DONE]\n\n"), "{text}");

    let call = CallRequest { arguments: json!({ "splicer": "S-17" }) };
    let body = serde_json::to_vec(&call).expect("encode");
    let answer = post_until_served(address, "/v1/calls", "register-lookup", &body).await;
    let bytes = answer.into_body().collect().await.expect("an answer").to_bytes();
    let answer: CallAnswer = serde_json::from_slice(&bytes).expect("a result");
    assert_eq!(answer.result, json!({ "done": { "splicer": "S-17" } }));
}
