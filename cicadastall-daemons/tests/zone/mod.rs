//! Processes of one zone, and a caller that uses the list of entries.

#![allow(dead_code)]

use crate::common::{
    CONTROL, ENTRY, Process, STANDIN, TestFolder, instance_settings, standin_arguments,
};
use bytes::Bytes;
use cicadastall::{
    http::{HttpClient, call_json, client},
    wire::{ENTRY_HEADER, EntriesReply, KIND_HEADER, WORKSPACE_HEADER},
};
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, StatusCode, header::RETRY_AFTER};
use serde_json::{Value, json};
use std::{net::SocketAddr, path::PathBuf, time::Duration};
use tokio::time::{Instant, sleep};

/// Timeout of a request for the list of entries.
const LISTING_TIMEOUT: Duration = Duration::from_secs(2);

/// A control instance and the folder of the settings files.
pub struct Zone {
    folder: TestFolder,
    control: Process,
}

impl Zone {
    pub fn start(name: &str) -> Self {
        Self::start_with(name, &[])
    }

    /// Starts the control instance; `overrides` replace or add settings.
    pub fn start_with(name: &str, overrides: &[(&str, Value)]) -> Self {
        let folder = TestFolder::new(name);
        let founding = folder.write("fleet.json", &fleet());
        let mut settings = instance_settings("aqaba-control", "aqaba");
        settings["founding_settings"] = json!(founding);
        for (field, value) in overrides {
            settings[*field] = value.clone();
        }
        let path = folder.write("control.json", &settings);
        let control = Process::start(CONTROL, &["--settings".into(), path.display().to_string()]);
        Self { folder, control }
    }

    /// Starts the entry `name` in the region `aqaba`; `overrides` replace or add settings.
    pub fn start_entry(&self, name: &str, overrides: &[(&str, Value)]) -> Process {
        self.start_entry_in("aqaba", name, overrides)
    }

    /// Starts the entry `name` in `region`.
    pub fn start_entry_in(&self, region: &str, name: &str, overrides: &[(&str, Value)]) -> Process {
        let arguments = self.write_entry(region, name, overrides);
        Process::start(ENTRY, &arguments)
    }

    /// Starts the entry `name` and returns it with the path of its log file.
    pub fn start_logged_entry(&self, name: &str) -> (Process, PathBuf) {
        let arguments = self.write_entry("aqaba", name, &[]);
        let log = self.folder.path().join(format!("{name}.log"));
        (Process::start_logged(ENTRY, &arguments, &log), log)
    }

    /// Writes the settings of an entry; returns the arguments of its program.
    fn write_entry(&self, region: &str, name: &str, overrides: &[(&str, Value)]) -> [String; 2] {
        let mut settings = instance_settings(name, region);
        settings["control"] = json!([self.control.address("peer")]);
        settings["seeds"] = json!([self.control.address("peer")]);
        for (field, value) in overrides {
            settings[*field] = value.clone();
        }
        let path = self.folder.write(&format!("{name}.json"), &settings);
        ["--settings".into(), path.display().to_string()]
    }
}

fn fleet() -> Value {
    json!({
        "regions": {
            "aqaba": { "zones": ["aqaba-a"] },
            "amman": { "zones": ["amman-a"] },
        },
        "teams": { "trust": {
            "owner": "harbour office",
            "pools": {
                "verdicts": { "serves": { "model_engine": { "models": ["splice-7b", "tuck-3b"] } } },
            },
            "kinds": {
                "splice-review": {
                    "pool": "verdicts", "model": "splice-7b", "rank": "urgent",
                    "first_token_ms": 800, "deadline_ms": 20000, "answered_in": "anywhere",
                },
                "tuck-query": {
                    "pool": "verdicts", "model": "tuck-3b", "rank": "urgent",
                    "first_token_ms": 800, "deadline_ms": 20000, "answered_in": "anywhere",
                },
            },
            "workspaces": { "aqaba-port": { "home": "aqaba", "resides_in": ["aqaba", "amman"] } },
        } },
    })
}

/// Starts a model engine that announces itself to `entry`.
pub fn start_engine(name: &str, entry: SocketAddr, options: &[&str], role: &[&str]) -> Process {
    start_engine_in("aqaba", name, entry, options, role)
}

/// Starts a model engine in `region`.
pub fn start_engine_in(
    region: &str,
    name: &str,
    entry: SocketAddr,
    options: &[&str],
    role: &[&str],
) -> Process {
    let mut arguments = standin_arguments(name, region, "verdicts", entry);
    arguments.extend(options.iter().map(|option| (*option).to_owned()));
    arguments.extend(["engine", "--model", "splice-7b"].map(str::to_owned));
    arguments.extend(role.iter().map(|option| (*option).to_owned()));
    Process::start(STANDIN, &arguments)
}

/// The list of entries as returned by `entry`; `None` if it does not answer.
pub async fn list(client: &HttpClient, entry: SocketAddr) -> Option<EntriesReply> {
    let path = "/v1/entries";
    call_json(client, Method::GET, entry, path, None::<&Value>, LISTING_TIMEOUT).await.ok()
}

/// Waits until `entry` lists `count` entries.
pub async fn wait_listed(entry: SocketAddr, count: usize) {
    let client = client(1);
    let deadline = Instant::now() + Duration::from_secs(15);
    while list(&client, entry).await.is_none_or(|reply| reply.entries.len() != count) {
        assert!(Instant::now() < deadline, "{count} entries were not listed within 15 s");
        sleep(Duration::from_millis(50)).await;
    }
}

/// Answer of an entry to one request; `alternative_entry` is the entry that a refusal names.
#[derive(Debug)]
pub struct Answer {
    pub status: StatusCode,
    pub retry_after: bool,
    pub alternative_entry: Option<SocketAddr>,
    pub text: String,
}

/// Sends one `splice-review` request to `entry`; fails if the connection does.
pub async fn ask(client: &HttpClient, entry: SocketAddr) -> Result<Answer, String> {
    ask_kind(client, entry, "splice-review").await
}

/// Sends one request of `kind` to `entry`; fails if the connection does.
pub async fn ask_kind(
    client: &HttpClient,
    entry: SocketAddr,
    kind: &str,
) -> Result<Answer, String> {
    let body = json!({
        "messages": [{ "role": "user", "content": "How many tucks?" }],
        "max_tokens": 4096, "stream": true,
    });
    let request = Request::post(format!("http://{entry}/v1/chat/completions"))
        .header(WORKSPACE_HEADER, "aqaba-port")
        .header(KIND_HEADER, kind)
        .body(Full::new(Bytes::from(body.to_string())))
        .expect("a request");
    let answer = client.request(request).await.map_err(|error| format!("{error:?}"))?;
    let (head, body) = answer.into_parts();
    let bytes = body.collect().await.map_err(|error| format!("{error:?}"))?.to_bytes();
    let alternative_entry =
        head.headers.get(ENTRY_HEADER).and_then(|value| value.to_str().ok()?.parse().ok());
    Ok(Answer {
        status: head.status,
        retry_after: head.headers.contains_key(RETRY_AFTER),
        alternative_entry,
        text: String::from_utf8_lossy(&bytes).into_owned(),
    })
}

/// A caller that uses the listed entries in turn and refreshes the list when its lifetime is over.
pub struct Caller {
    client: HttpClient,
    listing: EntriesReply,
    fetched: Instant,
    next: usize,
    pub refusals: u32,
}

impl Caller {
    pub async fn new(entry: SocketAddr) -> Self {
        let client = client(4);
        let listing = list(&client, entry).await.expect("a listing");
        Self { client, listing, fetched: Instant::now(), next: 0, refusals: 0 }
    }

    async fn choose_entry(&mut self) -> SocketAddr {
        if self.fetched.elapsed() >= Duration::from_millis(self.listing.lifetime_ms) {
            for row in self.listing.entries.clone() {
                if let Some(listing) = list(&self.client, row.address).await {
                    (self.listing, self.fetched) = (listing, Instant::now());
                    break;
                }
            }
        }
        self.next += 1;
        self.listing.entries[self.next % self.listing.entries.len()].address
    }

    /// Sends a request; after a refusal with `ran=no`, retries at the entry that the refusal names.
    ///
    /// Fails without a complete answer after three attempts.
    pub async fn ask(&mut self) -> Result<(), String> {
        let mut entry = self.choose_entry().await;
        for _ in 0..3 {
            let answer = ask(&self.client, entry).await?;
            if answer.status.is_success() && answer.text.ends_with("data: [DONE]\n\n") {
                return Ok(());
            }
            let refused =
                answer.text.contains("\"draining\"") && answer.text.contains("\"ran\":\"no\"");
            let Some(alternative) =
                answer.alternative_entry.filter(|_| refused && answer.retry_after)
            else {
                return Err(format!("{entry}: {}: {}", answer.status, answer.text));
            };
            self.refusals += 1;
            entry = alternative;
        }
        Err("refused three times".to_owned())
    }
}
