//! Every caller receives the complete answer to its own request or an explicit error, whatever the
//! engines send.

mod common;

use bytes::Bytes;
use cicadastall::{
    control::ControlServer,
    entry::EntryServer,
    http::client,
    instance::ControlThread,
    node::NodeSettings,
    stream::EventScanner,
    wire::{
        ChatChunk, ChatMessage, ChatRequest, END_MARKER, ErrorBody, KIND_HEADER, REQUEST_HEADER,
        WORKSPACE_HEADER,
    },
};
use cicadastall_standins::{
    announce::StandinConfig,
    engine::{EngineBehavior, EngineStandin},
};
use common::{TestFolder, instance_settings, review_settings};
use futures::future::join_all;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, body::Incoming};
use serde_json::json;
use std::{net::SocketAddr, time::Duration};
use tokio::time::sleep;

const ANSWER_TOKENS: u32 = 12;

/// One entry with two engines.
struct AnswerFleet {
    entry: EntryServer,
    engines: Vec<EngineStandin>,
    _control: ControlServer,
    _thread: ControlThread,
    _folder: TestFolder,
}

/// Answer as received by a caller.
#[derive(Debug, PartialEq)]
struct Received {
    text: String,
    whole: bool,
    error: Option<String>,
}

impl AnswerFleet {
    async fn start(name: &str) -> Self {
        let folder = TestFolder::new(name);
        let thread = ControlThread::start("test-control").expect("a thread");
        let fleet = review_settings(3000, 3000);
        let mut settings = instance_settings("aqaba-control", "aqaba");
        settings["founding_settings"] = json!(folder.write("fleet.json", &fleet));
        let control: NodeSettings = serde_json::from_value(settings).expect("settings");
        let control = ControlServer::start(control, thread.handle()).await.expect("control");
        let mut settings = instance_settings("aqaba-1", "aqaba");
        settings["control"] = json!([control.addresses().peer]);
        let settings: NodeSettings = serde_json::from_value(settings).expect("settings");
        let entry = EntryServer::start(settings, thread.handle()).await.expect("an entry");
        let caller = entry.addresses().caller.expect("an address");
        let mut engines = Vec::new();
        for name in ["m1", "m2"] {
            engines.push(start_engine(name, caller).await);
        }
        let fleet = Self { entry, engines, _control: control, _thread: thread, _folder: folder };
        fleet.wait_until_served().await;
        fleet
    }

    async fn wait_until_served(&self) {
        for round in 0..100 {
            let prompts = [0, 1].map(|number| format!("warm {round} {number}"));
            let asks = prompts.iter().map(|prompt| self.receive("warm", prompt, ANSWER_TOKENS));
            let whole = join_all(asks).await.iter().all(|received| received.whole);
            if whole && self.engines.iter().all(|engine| engine.finished() > 0) {
                return;
            }
            sleep(Duration::from_millis(50)).await;
        }
        panic!("the engines answered nothing within 5 s");
    }

    /// Requests `tokens` tokens with a prompt that makes the engine inject `fault`.
    async fn ask(&self, name: &str, fault: &str, tokens: u32) -> Response<Incoming> {
        let chat = ChatRequest {
            model: None,
            messages: vec![ChatMessage { role: "user".into(), content: fault.into() }],
            max_tokens: tokens,
            stream: true,
            priority: 0,
            resume_from: 0,
        };
        let caller = self.entry.addresses().caller.expect("an address");
        let request = Request::post(format!("http://{caller}/v1/chat/completions"))
            .header(WORKSPACE_HEADER, "aqaba-port")
            .header(KIND_HEADER, "splice-review")
            .header(REQUEST_HEADER, name)
            .body(Full::new(Bytes::from(serde_json::to_vec(&chat).expect("encode"))))
            .expect("a request");
        client(0).request(request).await.expect("an answer")
    }

    async fn receive(&self, name: &str, fault: &str, tokens: u32) -> Received {
        read_answer(self.ask(name, fault, tokens).await).await
    }
}

async fn start_engine(name: &str, entry: SocketAddr) -> EngineStandin {
    let config = StandinConfig {
        name: name.into(),
        region: "aqaba".into(),
        zone: "aqaba-a".into(),
        pool: "verdicts".into(),
        entries: vec![entry],
    };
    let behavior = EngineBehavior {
        first_token_delay: Duration::from_millis(5),
        token_interval: Duration::from_millis(2),
        answer_tokens: ANSWER_TOKENS,
        ..EngineBehavior::default()
    };
    let listen = "127.0.0.1:0".parse().expect("an address");
    EngineStandin::start(config, listen, "splice-7b".into(), behavior).await.expect("an engine")
}

async fn read_answer(answer: Response<Incoming>) -> Received {
    let named = answer.headers().get(REQUEST_HEADER).cloned();
    let body = answer.into_body().collect().await.expect("a body").to_bytes();
    let mut received = Received { text: String::new(), whole: false, error: None };
    if let Ok(error) = serde_json::from_slice::<ErrorBody>(&body) {
        received.error = Some(format!("{:?}", error.error.code));
        return received;
    }
    let mut scanner = EventScanner::default();
    scanner.push(&body);
    while let Some(event) = scanner.scan_event().expect("a small event") {
        assert!(!received.whole && received.error.is_none(), "an event after the end");
        if event == END_MARKER.as_bytes() {
            received.whole = true;
        } else if let Ok(error) = serde_json::from_slice::<ErrorBody>(&event) {
            received.error = Some(format!("{:?}", error.error.code));
        } else {
            let chunk: ChatChunk = serde_json::from_slice(&event).expect("a chunk");
            assert_eq!(Some(chunk.id.as_bytes()), named.as_ref().map(|name| name.as_bytes()));
            received.text.extend(chunk.choices.into_iter().map(|choice| choice.delta.content));
        }
    }
    received
}

fn answer_text(tokens: u32) -> String {
    (0..tokens).map(|offset| format!("t{offset} ")).collect()
}

fn whole_answer(tokens: u32) -> Received {
    Received { text: answer_text(tokens), whole: true, error: None }
}

#[tokio::test(flavor = "multi_thread")]
async fn wrong_tokens_never_reach_the_caller() {
    let fleet = AnswerFleet::start("wrong-tokens").await;
    for fault in ["late", "crossed", "repeated"] {
        let received = fleet.receive(fault, &format!("fault:{fault}"), ANSWER_TOKENS).await;
        assert_eq!(received, whole_answer(ANSWER_TOKENS), "{fault}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn broken_answers_are_resumed_on_another_engine() {
    let fleet = AnswerFleet::start("resumed").await;
    for fault in ["truncated", "early-end", "gap"] {
        for engine in ["m1", "m2"] {
            let order = format!("fault:{fault}@{engine}");
            let received = fleet.receive(&order.replace(':', "-"), &order, ANSWER_TOKENS).await;
            assert_eq!(received, whole_answer(ANSWER_TOKENS), "{order}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn answers_that_cannot_be_resumed_end_in_an_explicit_error() {
    let fleet = AnswerFleet::start("explicit-error").await;
    for fault in ["truncated", "early-end", "gap", "silent"] {
        let received = fleet.receive(fault, &format!("fault:{fault}"), ANSWER_TOKENS).await;
        let expected = answer_text(ANSWER_TOKENS);
        assert!(!received.whole, "{fault}: marked as complete: {received:?}");
        assert!(received.error.is_some(), "{fault}: no error: {received:?}");
        let again = fleet.receive(fault, &format!("fault:{fault}"), ANSWER_TOKENS).await;
        assert_ne!(again.error.as_deref(), Some("Quarantined"), "{fault}: no engine crashed");
        assert!(expected.starts_with(&received.text), "{fault}: wrong text: {received:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn many_callers_at_once_get_their_own_answers() {
    let fleet = AnswerFleet::start("many-callers").await;
    let faults = ["", "fault:crossed", "fault:late", "fault:repeated", "fault:truncated@m1"];
    let callers = (0..100u32).map(|number| {
        let tokens = 1 + number % ANSWER_TOKENS;
        let fault = faults[number as usize % faults.len()];
        let fleet = &fleet;
        async move {
            let received = fleet.receive(&format!("r{number}"), fault, tokens).await;
            assert_eq!(received, whole_answer(tokens), "r{number} {fault}");
        }
    });
    join_all(callers).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn caller_that_hangs_up_cancels_its_work() {
    let fleet = AnswerFleet::start("hangs-up").await;
    let count = || fleet.engines.iter().map(EngineStandin::cancelled).sum::<u32>();
    let finished = || fleet.engines.iter().map(EngineStandin::finished).sum::<u32>();
    let before = finished();
    let mut answer = fleet.ask("leaver", "fault:silent", ANSWER_TOKENS).await;
    answer.body_mut().frame().await.expect("a first token").expect("a frame");
    assert_eq!(count(), 0);
    drop(answer);
    for _ in 0..100 {
        if count() == 1 {
            assert_eq!(finished(), before);
            return;
        }
        sleep(Duration::from_millis(10)).await;
    }
    panic!("the engine still works for a caller that left 1 s ago");
}
