//! Demonstration: a small fleet of three regions in one process, with stand-in upstreams.

use crate::{
    exit::CommandOutcome,
    print::{print_json, print_table},
};
use bpaf::Bpaf;
use bytes::Bytes;
use cicadastall::{
    control::ControlServer,
    entry::EntryServer,
    http::{HttpClient, client},
    instance::ControlThread,
    node::NodeSettings,
    settings::FleetSettings,
    wire::{
        CallAnswer, CallRequest, ChatChunk, ChatMessage, ChatRequest, KEY_HEADER, KIND_HEADER,
        REGION_HEADER, SESSION_HEADER, UPSTREAM_HEADER, WORKSPACE_HEADER,
    },
};
use cicadastall_standins::{
    announce::StandinConfig,
    engine::{EngineBehavior, EngineStandin},
    service::ServiceStandin,
};
use eyre::{WrapErr, bail, eyre};
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, body::Incoming};
use serde::Serialize;
use serde_json::{Value, json};
use std::{net::SocketAddr, path::PathBuf, time::Duration};
use tokio::time::{Instant, sleep, timeout};

/// Fleet settings of the demonstration, as JSON.
const TRUST_SETTINGS: &str = include_str!("../../examples/trust.json");

/// Time after which a refused request is no longer retried while the fleet starts.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Delay between attempts while the fleet starts.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Timeout of one attempt, including the whole answer.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(30);

/// Runs a small fleet in one process.
#[derive(Debug, Clone, Bpaf)]
pub struct DemoOptions {
    /// Print JSON
    #[bpaf(long, switch)]
    json: bool,
}

/// One request of the demonstration.
#[derive(Debug, Clone, Copy)]
struct DemoRequest {
    region: &'static str,
    workspace: &'static str,
    kind: &'static str,
    text: &'static str,
}

const REQUESTS: [DemoRequest; 4] = [
    DemoRequest {
        region: "aqaba",
        workspace: "aqaba-port",
        kind: "splice-review",
        text: "Log of a failed eye splice: strand 2 slipped at tuck 3 under 40 kN.",
    },
    DemoRequest {
        region: "amman",
        workspace: "amman-workshop",
        kind: "tuck-query",
        text: "How many tucks for 24 mm polyester?",
    },
    DemoRequest {
        region: "aqaba",
        workspace: "aqaba-port",
        kind: "certification-entry",
        text: "S-17 passed the eye splice test",
    },
    DemoRequest {
        region: "irbid",
        workspace: "irbid-workshop",
        kind: "register-lookup",
        text: "S-17",
    },
];

/// Answer to one request, with its times in milliseconds.
#[derive(Debug, Clone, Serialize)]
struct DemoAnswer {
    kind: String,
    workspace: String,
    answer: String,
    region: String,
    upstream: String,
    first_token_ms: f64,
    whole_ms: f64,
}

/// A running demonstration fleet.
struct DemoFleet {
    control: ControlServer,
    entries: Vec<(String, EntryServer)>,
    engines: Vec<EngineStandin>,
    services: Vec<ServiceStandin>,
    control_thread: ControlThread,
}

/// Runs `demo`.
pub async fn run(options: &DemoOptions) -> eyre::Result<CommandOutcome> {
    let settings: FleetSettings =
        serde_json::from_str(TRUST_SETTINGS).wrap_err("the embedded settings")?;
    let settings_path = write_settings_file()?;
    let started = start_fleet(&settings, &settings_path).await;
    let _ = std::fs::remove_file(&settings_path);
    let fleet = started?;
    let mut answers = Vec::new();
    for request in &REQUESTS {
        answers.push(run_request(&fleet, &settings, request).await?);
    }
    print_answers(&answers, options.json)?;
    stop_fleet(fleet).await?;
    Ok(CommandOutcome::Done)
}

fn write_settings_file() -> eyre::Result<PathBuf> {
    let name =
        format!("cicadastall-demo-{}-{:08x}.json", std::process::id(), rand::random::<u32>());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, TRUST_SETTINGS).wrap_err("cannot write the demonstration's settings")?;
    Ok(path)
}

async fn start_fleet(
    settings: &FleetSettings,
    settings_path: &std::path::Path,
) -> eyre::Result<DemoFleet> {
    let thread = ControlThread::start("control")?;
    let mut node = make_node_settings("demo-control", "aqaba", &[])?;
    node.founding_settings = Some(settings_path.to_owned());
    let control = ControlServer::start(node, thread.handle()).await?;
    let peer = control.addresses().peer;
    let mut fleet = DemoFleet {
        control,
        entries: Vec::new(),
        engines: Vec::new(),
        services: Vec::new(),
        control_thread: thread,
    };
    for region in settings.regions.keys() {
        let region = region.as_str();
        let node = make_node_settings(&format!("{region}-entry"), region, &[peer])?;
        let entry = EntryServer::start(node, fleet.control_thread.handle()).await?;
        let address = entry.addresses().caller.ok_or_else(|| eyre!("an entry without callers"))?;
        fleet.entries.push((region.to_owned(), entry));
        start_standins(&mut fleet, region, address).await?;
    }
    Ok(fleet)
}

fn make_node_settings(
    instance: &str,
    region: &str,
    control: &[SocketAddr],
) -> eyre::Result<NodeSettings> {
    let node = json!({
        "instance": instance,
        "region": region,
        "zone": format!("{region}-a"),
        "caller_listen": "127.0.0.1:0",
        "operator_listen": "127.0.0.1:0",
        "peer_listen": "127.0.0.1:0",
        "control": control,
        "seeds": control,
        "stop_grace_ms": 0,
    });
    Ok(serde_json::from_value(node)?)
}

async fn start_standins(
    fleet: &mut DemoFleet,
    region: &str,
    entry: SocketAddr,
) -> eyre::Result<()> {
    let config = |name: &str, pool: &str| StandinConfig {
        name: format!("{region}-{name}").as_str().into(),
        region: region.into(),
        zone: format!("{region}-a").as_str().into(),
        pool: pool.into(),
        entries: vec![entry],
    };
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let behavior = EngineBehavior { answer_tokens: 8, ..EngineBehavior::default() };
    let engine =
        EngineStandin::start(config("model", "verdicts"), listen, "splice-7b".into(), behavior);
    fleet.engines.push(engine.await?);
    let call_duration = Duration::from_millis(5);
    let service = ServiceStandin::start(config("register", "registers"), listen, call_duration);
    fleet.services.push(service.await?);
    Ok(())
}

async fn run_request(
    fleet: &DemoFleet,
    settings: &FleetSettings,
    request: &DemoRequest,
) -> eyre::Result<DemoAnswer> {
    let entry = fleet.entries.iter().find(|(region, _)| region == request.region);
    let (_, entry) = entry.ok_or_else(|| eyre!("no entry in {}", request.region))?;
    let address = entry.addresses().caller.ok_or_else(|| eyre!("an entry without callers"))?;
    let plan = settings
        .plan_kind(&request.workspace.into(), &request.kind.into())
        .map_err(|error| eyre!("{}: {error:?}", request.kind))?;
    let client = client(1);
    let started = Instant::now();
    loop {
        let sent = send_request(
            &client,
            address,
            request,
            plan.kind.model.is_some(),
            plan.kind.repeatable,
        );
        match timeout(ANSWER_TIMEOUT, sent).await? {
            Ok(answer) => return Ok(answer),
            Err(error) if started.elapsed() > START_TIMEOUT => return Err(error),
            Err(_) => sleep(RETRY_INTERVAL).await,
        }
    }
}

async fn send_request(
    client: &HttpClient,
    entry: SocketAddr,
    request: &DemoRequest,
    chat: bool,
    repeatable: bool,
) -> eyre::Result<DemoAnswer> {
    let (path, body) = encode_body(chat, request.text)?;
    let mut builder = Request::post(format!("http://{entry}{path}"))
        .header(WORKSPACE_HEADER, request.workspace)
        .header(KIND_HEADER, request.kind);
    if !repeatable {
        builder = builder.header(KEY_HEADER, "demo-1");
        if let Some(session) = open_session(client, entry, request).await {
            builder = builder.header(SESSION_HEADER, session);
        }
    }
    let sent = Instant::now();
    let answer = client.request(builder.body(Full::new(body))?).await?;
    if !answer.status().is_success() {
        let status = answer.status();
        let body = answer.into_body().collect().await?.to_bytes();
        bail!("{} refused with {status}: {}", request.kind, String::from_utf8_lossy(&body));
    }
    read_answer(request, chat, answer, sent).await
}

fn encode_body(chat: bool, text: &str) -> eyre::Result<(&'static str, Bytes)> {
    if !chat {
        let call = CallRequest { arguments: json!({ "entry": text }) };
        return Ok(("/v1/calls", serde_json::to_vec(&call)?.into()));
    }
    let chat = ChatRequest {
        model: None,
        messages: vec![ChatMessage { role: "user".into(), content: text.to_owned() }],
        max_tokens: 64,
        stream: true,
        priority: 0,
        resume_from: 0,
    };
    Ok(("/v1/chat/completions", serde_json::to_vec(&chat)?.into()))
}

/// Opens a session, which a request that is not repeatable needs; `None` if the entry issues none.
async fn open_session(
    client: &HttpClient,
    entry: SocketAddr,
    request: &DemoRequest,
) -> Option<String> {
    let built = Request::post(format!("http://{entry}/v1/sessions"))
        .header(WORKSPACE_HEADER, request.workspace)
        .header(KIND_HEADER, request.kind)
        .body(Full::default())
        .ok()?;
    let answer = client.request(built).await.ok()?;
    let body = answer.into_body().collect().await.ok()?.to_bytes();
    let reply: Value = serde_json::from_slice(&body).ok()?;
    reply["session"].as_str().map(str::to_owned)
}

async fn read_answer(
    request: &DemoRequest,
    chat: bool,
    answer: Response<Incoming>,
    sent: Instant,
) -> eyre::Result<DemoAnswer> {
    let header = |name: &str| {
        let value = answer.headers().get(name).and_then(|value| value.to_str().ok());
        value.unwrap_or("-").to_owned()
    };
    let (region, upstream) = (header(REGION_HEADER), header(UPSTREAM_HEADER));
    let mut body = answer.into_body();
    let mut text = Vec::new();
    let mut first_token = None;
    while let Some(frame) = body.frame().await {
        first_token.get_or_insert_with(|| sent.elapsed());
        if let Ok(data) = frame?.into_data() {
            text.extend_from_slice(&data);
        }
    }
    let whole = sent.elapsed();
    let text = String::from_utf8(text)?;
    Ok(DemoAnswer {
        kind: request.kind.to_owned(),
        workspace: request.workspace.to_owned(),
        answer: if chat { join_tokens(&text)? } else { decode_call_result(&text)? },
        region,
        upstream,
        first_token_ms: round_millis(first_token.unwrap_or(whole)),
        whole_ms: round_millis(whole),
    })
}

fn join_tokens(events: &str) -> eyre::Result<String> {
    let mut answer = String::new();
    for event in events.lines().filter_map(|line| line.strip_prefix("data: ")) {
        if event == cicadastall::wire::END_MARKER {
            return Ok(answer.trim().to_owned());
        }
        let chunk: ChatChunk = serde_json::from_str(event).wrap_err("a broken stream")?;
        answer.extend(chunk.choices.into_iter().map(|choice| choice.delta.content));
    }
    bail!("the answer has no end marker")
}

fn decode_call_result(text: &str) -> eyre::Result<String> {
    let answer: CallAnswer = serde_json::from_str(text)?;
    Ok(answer.result.to_string())
}

fn round_millis(duration: Duration) -> f64 {
    (duration.as_secs_f64() * 10_000.0).round() / 10.0
}

fn print_answers(answers: &[DemoAnswer], json: bool) -> eyre::Result<()> {
    if json {
        return Ok(print_json(&answers)?);
    }
    let rows: Vec<_> = answers
        .iter()
        .map(|answer| {
            [
                answer.kind.clone(),
                answer.workspace.clone(),
                answer.region.clone(),
                answer.upstream.clone(),
                answer.first_token_ms.to_string(),
                answer.whole_ms.to_string(),
                answer.answer.clone(),
            ]
        })
        .collect();
    let titles =
        ["KIND", "WORKSPACE", "REGION", "UPSTREAM", "FIRST TOKEN MS", "WHOLE MS", "ANSWER"];
    Ok(print_table(titles, &rows)?)
}

async fn stop_fleet(fleet: DemoFleet) -> eyre::Result<()> {
    for (region, entry) in fleet.entries {
        let summary = entry.stop().await;
        if summary.cut_off > 0 {
            bail!("{region}: {} requests were cut off", summary.cut_off);
        }
    }
    fleet.control.stop().await;
    drop(fleet.engines);
    drop(fleet.services);
    Ok(())
}
