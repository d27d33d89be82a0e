//! Overhead of an entry for each request and streamed token, compared with direct calls to the
//! upstream.

use crate::memory::resident_bytes;
use bpaf::Bpaf;
use bytes::Bytes;
use cicadastall::{
    control::ControlServer,
    dispatch::CHAT_PATH,
    entry::EntryServer,
    http::{HttpClient, client},
    node::NodeSettings,
    wire::{ChatMessage, ChatRequest, KIND_HEADER, WORKSPACE_HEADER},
};
use cicadastall_standins::{
    announce::StandinConfig,
    engine::{EngineBehavior, EngineStandin},
};
use eyre::{WrapErr, ensure};
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::{Request, Response, body::Incoming};
use serde_json::{Value, json};
use std::{
    fs,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::{
    runtime::Runtime,
    task::JoinSet,
    time::{Instant, sleep},
};

/// Processor ticks per second in `/proc`.
const TICKS_PER_S: f64 = 100.0;

/// Longest wait until the entry knows its upstream.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// Wait after streams were opened or closed before the next measurement.
const SETTLE_DURATION: Duration = Duration::from_secs(1);

/// Options of the measurement.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct OverheadOptions {
    /// Requests per second for the latency comparison
    #[bpaf(long, argument("COUNT"), fallback(500))]
    rate: u32,
    /// Seconds for each step
    #[bpaf(long, argument("SECONDS"), fallback(4))]
    seconds: u32,
    /// Open streams for the memory and token steps; may be given several times
    #[bpaf(long("streams"), argument("COUNT"))]
    streams: Vec<u32>,
}

/// Entry, control instance and simulated engine, each on its own runtime.
struct BenchFleet {
    entry: Runtime,
    entry_address: SocketAddr,
    engine_address: SocketAddr,
    _control: Runtime,
    _engine: Runtime,
    _servers: (EntryServer, ControlServer, EngineStandin),
}

/// Runs the measurement and prints JSON.
pub(crate) fn run(options: &OverheadOptions) -> eyre::Result<()> {
    let fleet = start_fleet()?;
    let load = Runtime::new()?;
    load.block_on(wait_ready(fleet.entry_address))?;
    let direct = load.block_on(measure_first_token(fleet.engine_address, options))?;
    let before = thread_cpu(|name| name == "entry")?;
    let via_entry = load.block_on(measure_first_token(fleet.entry_address, options))?;
    let requests = f64::from(options.rate * options.seconds);
    let request_cpu_us = (thread_cpu(|name| name == "entry")? - before) / requests * 1e6;
    let streams = match options.streams.as_slice() {
        [] => vec![1, 100, 2_000],
        given => given.to_vec(),
    };
    let mut rows = Vec::new();
    for count in streams {
        rows.push(load.block_on(measure_streams(&fleet, count, options))?);
    }
    let report = json!({
        "rate": options.rate,
        "direct_first_token_us": quantiles_json(&direct),
        "entry_first_token_us": quantiles_json(&via_entry),
        "added_p50_us": via_entry.value_at_quantile(0.5) as i64 - direct.value_at_quantile(0.5) as i64,
        "added_p99_us": via_entry.value_at_quantile(0.99) as i64 - direct.value_at_quantile(0.99) as i64,
        "cpu_us_per_request": request_cpu_us,
        "streams": rows,
    });
    println!("{}", serde_json::to_string_pretty(&report)?);
    drop(fleet.entry);
    Ok(())
}

fn start_fleet() -> eyre::Result<BenchFleet> {
    let entry = named_runtime("entry", 2)?;
    let control = named_runtime("entry-ctl", 1)?;
    let engine = named_runtime("engine", 2)?;
    let folder = std::env::temp_dir().join(format!("cicadastall-bench-{}", std::process::id()));
    fs::create_dir_all(&folder)?;
    let founding = folder.join("fleet.json");
    fs::write(&founding, fleet_settings().to_string())?;
    let mut node = node_settings("bench-control")?;
    node.founding_settings = Some(founding);
    let control_server = control.block_on(ControlServer::start(node, control.handle()))?;
    fs::remove_dir_all(&folder)?;
    let mut node = node_settings("bench-1")?;
    node.control = vec![control_server.addresses().peer];
    node.seeds = node.control.clone();
    node.limits.streams_per_caller = 10_000;
    node.limits.connections = 20_000;
    let server = entry.block_on(EntryServer::start(node, control.handle()))?;
    let entry_address = server
        .addresses()
        .caller
        .ok_or_else(|| eyre::eyre!("the entry has no address for callers"))?;
    let config = StandinConfig {
        name: "bench-m1".into(),
        region: "bench".into(),
        zone: "bench-a".into(),
        pool: "engines".into(),
        entries: vec![entry_address],
    };
    let behavior = EngineBehavior {
        first_token_delay: Duration::from_millis(1),
        token_interval: Duration::from_millis(46),
        answer_tokens: 1_000_000,
        max_running: 8_192,
        ..EngineBehavior::default()
    };
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let standin =
        engine.block_on(EngineStandin::start(config, listen, "bench-model".into(), behavior))?;
    Ok(BenchFleet {
        entry,
        entry_address,
        engine_address: standin.address(),
        _control: control,
        _engine: engine,
        _servers: (server, control_server, standin),
    })
}

fn named_runtime(name: &str, threads: usize) -> eyre::Result<Runtime> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(threads)
        .thread_name(name)
        .enable_all()
        .build();
    runtime.wrap_err("cannot start a runtime")
}

fn node_settings(instance: &str) -> eyre::Result<NodeSettings> {
    let value = json!({
        "instance": instance,
        "region": "bench",
        "zone": "bench-a",
        "caller_listen": "127.0.0.1:0",
        "operator_listen": "127.0.0.1:0",
        "peer_listen": "127.0.0.1:0",
    });
    Ok(serde_json::from_value(value)?)
}

fn fleet_settings() -> Value {
    json!({
        "regions": { "bench": { "zones": ["bench-a"] } },
        "teams": { "bench": {
            "owner": "bench",
            "pools": { "engines": { "serves": { "model_engine": { "models": ["bench-model"] } } } },
            "kinds": { "ask": {
                "pool": "engines", "model": "bench-model", "rank": "urgent",
                "first_token_ms": 1600, "deadline_ms": 600000, "answered_in": "home",
            } },
            "workspaces": { "bench": { "home": "bench", "resides_in": ["bench"] } },
        } },
    })
}

fn make_request(address: SocketAddr, tokens: u32) -> eyre::Result<Request<Full<Bytes>>> {
    let chat = ChatRequest {
        model: Some("bench-model".into()),
        messages: vec![ChatMessage { role: "user".into(), content: "x".repeat(200) }],
        max_tokens: tokens,
        stream: true,
        priority: 0,
        resume_from: 0,
    };
    let request = Request::post(format!("http://{address}{CHAT_PATH}"))
        .header(WORKSPACE_HEADER, "bench")
        .header(KIND_HEADER, "ask")
        .body(Full::new(Bytes::from(serde_json::to_vec(&chat)?)))?;
    Ok(request)
}

async fn wait_ready(entry: SocketAddr) -> eyre::Result<()> {
    let client = client(1);
    let deadline = Instant::now() + READY_TIMEOUT;
    while Instant::now() < deadline {
        if client.request(make_request(entry, 1)?).await?.status().is_success() {
            return Ok(());
        }
        sleep(Duration::from_millis(50)).await;
    }
    eyre::bail!("the entry was not ready within {READY_TIMEOUT:?}")
}

/// Sends requests for one token at a fixed rate; returns the times to the first token in
/// microseconds.
async fn measure_first_token(
    address: SocketAddr,
    options: &OverheadOptions,
) -> eyre::Result<Histogram<u64>> {
    let client = client(256);
    let mut requests = JoinSet::new();
    let started = Instant::now();
    for number in 0..options.rate * options.seconds {
        let scheduled_at =
            started + Duration::from_secs_f64(f64::from(number) / f64::from(options.rate));
        tokio::time::sleep_until(scheduled_at).await;
        requests.spawn(time_first_token(client.clone(), make_request(address, 1)?));
    }
    let mut times = Histogram::new(3)?;
    while let Some(time) = requests.join_next().await {
        times.record(time??.as_micros() as u64)?;
    }
    Ok(times)
}

/// Returns a successful response; fails with the status and body of any other.
async fn require_success(response: Response<Incoming>) -> eyre::Result<Response<Incoming>> {
    let status = response.status();
    if status.is_success() {
        return Ok(response);
    }
    let body = response.into_body().collect().await?.to_bytes();
    eyre::bail!("refused with {status}: {}", String::from_utf8_lossy(&body))
}

async fn time_first_token(
    client: HttpClient,
    request: Request<Full<Bytes>>,
) -> eyre::Result<Duration> {
    let sent = Instant::now();
    let mut response = require_success(client.request(request).await?).await?;
    ensure!(response.frame().await.is_some(), "the response ended before the first token");
    let elapsed = sent.elapsed();
    while response.frame().await.is_some() {}
    Ok(elapsed)
}

/// Measures the entry's processor time per token and memory per stream, with `count` open streams
/// through the entry and as many direct streams to the upstream.
///
/// Entry, upstream and client share this process, so the entry's memory is computed as the memory
/// of a stream through the entry less that of a direct stream.
async fn measure_streams(
    fleet: &BenchFleet,
    count: u32,
    options: &OverheadOptions,
) -> eyre::Result<Value> {
    let memory_before = resident_bytes()?;
    let via_entry = open_streams(fleet.entry_address, count).await?;
    let memory_through = resident_bytes()?.saturating_sub(memory_before);
    let direct = open_streams(fleet.engine_address, count).await?;
    let memory_direct =
        resident_bytes()?.saturating_sub(memory_before).saturating_sub(memory_through);
    direct.close().await;
    let cpu_before = thread_cpu(|name| name == "entry")?;
    let tokens_before = via_entry.count_tokens();
    sleep(Duration::from_secs(u64::from(options.seconds))).await;
    let tokens_received = via_entry.count_tokens() - tokens_before;
    let cpu = thread_cpu(|name| name == "entry")? - cpu_before;
    via_entry.close().await;
    let kib_per_stream = |bytes: u64| bytes as f64 / 1024.0 / f64::from(count);
    Ok(json!({
        "streams": count,
        "tokens": tokens_received,
        "cpu_us_per_token": cpu / tokens_received as f64 * 1e6,
        "kib_per_stream_all_roles": kib_per_stream(memory_through),
        "kib_per_stream_direct": kib_per_stream(memory_direct),
        "kib_per_stream_entry": kib_per_stream(memory_through) - kib_per_stream(memory_direct),
    }))
}

/// Open streams whose tokens are read and counted as they arrive.
struct OpenStreams {
    tokens: Arc<AtomicU64>,
    readers: JoinSet<()>,
}

impl OpenStreams {
    fn count_tokens(&self) -> u64 {
        self.tokens.load(Ordering::Relaxed)
    }

    async fn close(mut self) {
        self.readers.shutdown().await;
        sleep(SETTLE_DURATION).await;
    }
}

/// Opens `count` streams at `address` and waits until they have settled.
async fn open_streams(address: SocketAddr, count: u32) -> eyre::Result<OpenStreams> {
    let client = client(0);
    let mut streams = OpenStreams { tokens: Arc::default(), readers: JoinSet::new() };
    for _ in 0..count {
        let response =
            require_success(client.request(make_request(address, u32::MAX)?).await?).await?;
        let tokens = Arc::clone(&streams.tokens);
        streams.readers.spawn(async move {
            let mut body = response.into_body();
            while let Some(Ok(_)) = body.frame().await {
                tokens.fetch_add(1, Ordering::Relaxed);
            }
        });
    }
    sleep(SETTLE_DURATION).await;
    Ok(streams)
}

/// Processor time so far of the threads whose names satisfy `is_counted`, in seconds.
pub(crate) fn thread_cpu(is_counted: impl Fn(&str) -> bool) -> eyre::Result<f64> {
    let mut ticks = 0.0;
    for task in fs::read_dir("/proc/self/task")? {
        let folder = task?.path();
        let name = fs::read_to_string(folder.join("comm"))?;
        if !is_counted(name.trim()) {
            continue;
        }
        let stat = fs::read_to_string(folder.join("stat"))?;
        let fields = stat.rsplit(')').next().unwrap_or_default();
        let numbers: Vec<f64> =
            fields.split_whitespace().skip(11).take(2).filter_map(|n| n.parse().ok()).collect();
        ticks += numbers.iter().sum::<f64>();
    }
    Ok(ticks / TICKS_PER_S)
}

/// Median and 99th percentile as JSON.
pub(crate) fn quantiles_json(times: &Histogram<u64>) -> Value {
    json!({ "p50": times.value_at_quantile(0.5), "p99": times.value_at_quantile(0.99) })
}
