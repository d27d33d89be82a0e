//! A request that crashes every upstream on which it runs crashes at most two in a region.

mod common;

use bytes::Bytes;
use cicadastall::{
    answer::{Ran, Refusal, RefusalCode},
    control::ControlServer,
    entry::EntryServer,
    http::{call_json, client},
    instance::ControlThread,
    node::NodeSettings,
    suspect::SuspectRecord,
    wire::{ChatMessage, ChatRequest, ErrorBody, KIND_HEADER, WORKSPACE_HEADER},
};
use common::{Process, STANDIN, TestFolder, instance_settings, review_settings, standin_arguments};
use futures::future::join_all;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request};
use serde_json::{Value, json};
use std::time::{Duration, Instant};
use tokio::time::sleep;

const ENGINES: [&str; 5] = ["m1", "m2", "m3", "m4", "m5"];
const ENTRIES: usize = 3;

/// Three entries and five engines in one region.
struct CrashFleet {
    entries: Vec<EntryServer>,
    engines: Vec<Process>,
    _control: ControlServer,
    _thread: ControlThread,
    _folder: TestFolder,
}

impl CrashFleet {
    async fn start(name: &str) -> Self {
        let folder = TestFolder::new(name);
        let thread = ControlThread::start("test-control").expect("a thread");
        let fleet = review_settings(800, 10000);
        let mut settings = instance_settings("aqaba-control", "aqaba");
        settings["founding_settings"] = json!(folder.write("fleet.json", &fleet));
        let control: NodeSettings = serde_json::from_value(settings).expect("settings");
        let control = ControlServer::start(control, thread.handle()).await.expect("control");
        let peer = control.addresses().peer;
        let mut entries = Vec::new();
        for number in 0..ENTRIES {
            let mut settings = instance_settings(&format!("aqaba-{number}"), "aqaba");
            settings["control"] = json!([peer]);
            settings["seeds"] = json!([peer]);
            let settings: NodeSettings = serde_json::from_value(settings).expect("settings");
            let entry = EntryServer::start(settings, thread.handle()).await;
            entries.push(entry.expect("an entry"));
        }
        let caller = entries[0].addresses().caller.expect("an address");
        let engines = ENGINES.map(|name| {
            let mut arguments = standin_arguments(name, "aqaba", "verdicts", caller);
            let role = ["engine", "--model", "splice-7b", "--tokens", "60"];
            arguments.extend(role.map(str::to_owned));
            Process::start(STANDIN, &arguments)
        });
        let engines = Vec::from(engines);
        let fleet = Self { entries, engines, _control: control, _thread: thread, _folder: folder };
        fleet.wait_until_known().await;
        fleet
    }

    async fn wait_until_known(&self) {
        for _ in 0..200 {
            let mut known = 0;
            for entry in 0..ENTRIES {
                let status: Value = self.ask_operator(entry, "/v1/status").await;
                known += status["upstreams"].as_array().map_or(0, Vec::len);
            }
            if known == ENTRIES * ENGINES.len() && self.ask(ENTRIES - 1, "warm").await == "whole" {
                return;
            }
            sleep(Duration::from_millis(50)).await;
        }
        panic!("the engines are not known within 10 s");
    }

    async fn ask_operator<T: serde::de::DeserializeOwned>(&self, entry: usize, path: &str) -> T {
        let address = self.entries[entry].addresses().operator;
        let bound = Duration::from_secs(2);
        call_json(&client(0), Method::GET, address, path, None::<&Value>, bound)
            .await
            .expect("an answer")
    }

    /// Sends a prompt; returns `whole` for a complete answer, otherwise the code of the refusal.
    async fn ask(&self, entry: usize, prompt: &str) -> String {
        let Err(refusal) = self.send(entry, prompt).await else { return "whole".to_owned() };
        serde_json::to_value(refusal.code).expect("a code").as_str().expect("text").to_owned()
    }

    /// Sends a prompt; fails unless the answer is complete.
    async fn send(&self, entry: usize, prompt: &str) -> Result<(), Refusal> {
        self.send_messages(entry, &[prompt]).await
    }

    /// Sends a prompt of several messages, of which the last is the caller's own; fails unless the
    /// answer is complete.
    async fn send_messages(&self, entry: usize, contents: &[&str]) -> Result<(), Refusal> {
        let message =
            |content: &&str| ChatMessage { role: "user".into(), content: (*content).into() };
        let chat = ChatRequest {
            model: None,
            messages: contents.iter().map(message).collect(),
            max_tokens: 256,
            stream: false,
            priority: 0,
            resume_from: 0,
        };
        let caller = self.entries[entry].addresses().caller.expect("an address");
        let request = Request::post(format!("http://{caller}/v1/chat/completions"))
            .header(WORKSPACE_HEADER, "aqaba-port")
            .header(KIND_HEADER, "splice-review")
            .body(Full::new(Bytes::from(serde_json::to_vec(&chat).expect("encode"))))
            .expect("a request");
        let answer = client(0).request(request).await.expect("an answer");
        let success = answer.status().is_success();
        let body = answer.into_body().collect().await.expect("a body").to_bytes();
        match success {
            true => Ok(()),
            false => Err(serde_json::from_slice::<ErrorBody>(&body).expect("a refusal").error),
        }
    }

    /// Sends a quarantined prompt five times; each is refused without an attempt, and the fastest
    /// refusal takes less than 100 ms.
    ///
    /// The minimum excludes delays by the machine's load; an entry that waits for a probe, a peer or
    /// control is slow every time.
    async fn check_refused_at_once(&self, entry: usize, prompt: &str) {
        let mut quickest = Duration::MAX;
        for _ in 0..5 {
            let started = Instant::now();
            let refusal = self.send(entry, prompt).await.expect_err("in quarantine");
            quickest = quickest.min(started.elapsed());
            assert_eq!((refusal.code, refusal.ran), (RefusalCode::Quarantined, Ran::No));
            assert!(refusal.retry_after_ms.is_some(), "the refusal has no retry_after_ms");
        }
        assert!(quickest < Duration::from_millis(100), "not refused at once: {quickest:?}");
    }

    fn crashed(&mut self) -> usize {
        let ended = |engine: &mut Process| engine.child.try_wait().expect("a status").is_some();
        self.engines.iter_mut().map(ended).filter(|ended| *ended).count()
    }

    async fn quarantined(&self, entry: usize) -> Vec<SuspectRecord> {
        let listed: Vec<SuspectRecord> = self.ask_operator(entry, "/v1/quarantine").await;
        listed.into_iter().filter(|record| record.crashes.len() > 1).collect()
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn one_request_sent_again_and_again_crashes_two_upstreams() {
    let mut fleet = CrashFleet::start("again-and-again").await;
    let callers = (0..6u64).map(|number| {
        let fleet = &fleet;
        async move {
            sleep(Duration::from_millis(100 * number)).await;
            let mut codes = Vec::new();
            for turn in 0..10 {
                codes.push(fleet.ask((number as usize + turn) % ENTRIES, "fault:crash").await);
            }
            codes
        }
    });
    for codes in join_all(callers).await {
        assert!(codes.iter().all(|code| code == "quarantined"), "{codes:?}");
    }
    assert_eq!(fleet.crashed(), 2);
    fleet.check_refused_at_once(1, "fault:crash").await;
    assert_eq!(fleet.ask(2, "a short question").await, "whole");

    let quarantined = fleet.quarantined(1).await;
    assert_eq!(quarantined.len(), 1);
    let path = format!("/v1/quarantine/{}", quarantined[0].fingerprint);
    let request =
        Request::delete(format!("http://{}{path}", fleet.entries[2].addresses().operator))
            .body(Full::new(Bytes::new()))
            .expect("a request");
    assert!(client(0).request(request).await.expect("an answer").status().is_success());
    sleep(Duration::from_millis(1_200)).await;
    for entry in 0..ENTRIES {
        assert_eq!(fleet.quarantined(entry).await, [], "released at entry 2 only");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn copies_that_start_at_the_same_moment_crash_two_upstreams() {
    let mut fleet = CrashFleet::start("same-moment").await;
    let copies = (0..4 * ENTRIES).map(|number| fleet.ask(number % ENTRIES, "fault:crash"));
    let codes = join_all(copies).await;
    assert!(codes.iter().all(|code| code == "quarantined"), "{codes:?}");
    assert_eq!(fleet.crashed(), 2);
    assert_eq!(fleet.ask(2, "a short question").await, "whole");
}

#[tokio::test(flavor = "multi_thread")]
async fn other_requests_are_answered_and_not_quarantined() {
    let mut fleet = CrashFleet::start("innocents").await;
    let others = (0..15).map(|number| {
        let fleet = &fleet;
        async move { fleet.ask(number % ENTRIES, &format!("question {number}")).await }
    });
    let crashing = async {
        sleep(Duration::from_millis(100)).await;
        fleet.ask(1, "fault:crash").await
    };
    let (answers, crashing) = tokio::join!(join_all(others), crashing);
    assert_eq!(crashing, "quarantined");
    assert!(answers.iter().all(|code| code == "whole"), "{answers:?}");
    assert_eq!(fleet.quarantined(0).await.len(), 1);
    assert_eq!(fleet.crashed(), 2);
    for number in 0..15 {
        assert_eq!(fleet.ask(0, &format!("question {number}")).await, "whole");
    }
}

/// Sends requests that share the message `fault`, beside sound ones that share another message with them,
/// until the message is quarantined.
async fn share_message(name: &str, fault: &str) {
    let mut fleet = CrashFleet::start(name).await;
    let mut crashes = 0;
    for turn in 0..10 {
        let own = format!("question {turn}");
        let deadly = ["common", fault, &own];
        let refusal = fleet.send_messages(turn % ENTRIES, &deadly).await.expect_err("crashes");
        if crashes >= 3 && turn >= 3 {
            assert_eq!((refusal.code, refusal.ran), (RefusalCode::Quarantined, Ran::No), "{turn}");
        }
        crashes = fleet.crashed();
        // Crashes at one moment count once, and instances exchange what they saw.
        sleep(Duration::from_millis(700)).await;
        let sound = ["common", &own];
        fleet.send_messages((turn + 1) % ENTRIES, &sound).await.expect("a sound request");
    }
    assert!(fleet.crashed() < ENGINES.len(), "an upstream is left");
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_that_share_a_message_that_crashes_upstreams_crash_them_all() {
    share_message("shared-message", "fault:crash").await;
}

/// Guards against a shared message that is acquitted by the first token of the answer that it crashes.
#[tokio::test(flavor = "multi_thread")]
async fn requests_that_share_a_message_that_crashes_upstreams_midway_crash_them_all() {
    share_message("shared-midway", "fault:crash-midway").await;
}
