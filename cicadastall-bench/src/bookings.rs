//! Cost of a non-repeatable call compared with a repeatable one, with a ledger of three replicas.

use crate::group::members::reserved::ReservedAddress;
use bpaf::Bpaf;
use bytes::Bytes;
use cicadastall::{
    control::ControlServer,
    dispatch::CALL_PATH,
    entry::EntryServer,
    http::{HttpClient, client},
    node::NodeSettings,
    sessions::SESSIONS_PATH,
    wire::{
        ACKNOWLEDGED_HEADER, CallRequest, ErrorBody, KEY_HEADER, KIND_HEADER, SESSION_HEADER,
        SessionReply, WORKSPACE_HEADER,
    },
};
use cicadastall_standins::{announce::StandinConfig, service::ServiceStandin};
use eyre::{OptionExt, bail};
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use serde_json::{Value, json};
use std::{collections::BTreeMap, fs, net::SocketAddr, path::PathBuf, time::Duration};
use tokio::{
    runtime::Runtime,
    task::JoinSet,
    time::{Instant, sleep},
};

/// Replicas of the ledger.
const REPLICAS: usize = 3;

/// Longest wait until the fleet answers calls.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Options of the measurement.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct BookingOptions {
    /// Concurrent callers, each with one call at a time; may be given several times
    #[bpaf(long("callers"), argument("COUNT"))]
    callers: Vec<usize>,
    /// Seconds for each step
    #[bpaf(long, argument("SECONDS"), fallback(5))]
    seconds: u64,
}

/// The servers of one region, each on its own runtime; the folder is removed on drop.
struct BenchFleet {
    entry: SocketAddr,
    _reserved: Vec<ReservedAddress>,
    folder: PathBuf,
    _servers: (Vec<ControlServer>, EntryServer, ServiceStandin),
    _runtimes: Vec<Runtime>,
}

impl Drop for BenchFleet {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Runs the measurement and prints one line of JSON for each step.
pub(crate) fn run(options: &BookingOptions) -> eyre::Result<()> {
    let fleet = start_fleet()?;
    let load = Runtime::new()?;
    load.block_on(wait_ready(fleet.entry))?;
    let callers = match options.callers.as_slice() {
        [] => vec![1, 16, 128],
        given => given.to_vec(),
    };
    for count in callers {
        for kind in ["lookup", "booking"] {
            let measured = measure(fleet.entry, kind, count, options.seconds);
            let (latencies, refused, elapsed) = load.block_on(measured)?;
            let line = json!({
                "kind": kind,
                "callers": count,
                "calls_per_second": (latencies.len() as f64 / elapsed.as_secs_f64()).round(),
                "refused": refused,
                "p50_us": latencies.value_at_quantile(0.5),
                "p99_us": latencies.value_at_quantile(0.99),
            });
            println!("{line}");
        }
    }
    Ok(())
}

fn start_fleet() -> eyre::Result<BenchFleet> {
    let folder = std::env::temp_dir().join(format!("cicadastall-bookings-{}", std::process::id()));
    fs::create_dir_all(&folder)?;
    let founding = folder.join("fleet.json");
    fs::write(&founding, fleet_settings().to_string())?;
    let reserved = ReservedAddress::group(REPLICAS);
    let addresses: Vec<_> = reserved.iter().map(|reserved| reserved.address).collect();
    let voters: Vec<Value> = (0..REPLICAS)
        .map(|number| json!({ "instance": format!("control-{number}"), "address": addresses[number] }))
        .collect();
    let mut runtimes = Vec::new();
    let mut controls = Vec::new();
    for (number, address) in addresses.iter().enumerate() {
        let mut node = node_settings(&format!("control-{number}"));
        node["peer_listen"] = json!(address);
        node["ledger_voters"] = json!(voters);
        node["founding_settings"] = json!(founding);
        node["data_folder"] = json!(folder.join(format!("data-{number}")));
        let node: NodeSettings = serde_json::from_value(node)?;
        let runtime = start_runtime(1)?;
        controls.push(runtime.block_on(ControlServer::start(node, runtime.handle()))?);
        runtimes.push(runtime);
    }
    let mut node = node_settings("bench-1");
    node["control"] = json!(addresses);
    node["seeds"] = json!(addresses);
    let node: NodeSettings = serde_json::from_value(node)?;
    let (control, traffic) = (start_runtime(1)?, start_runtime(2)?);
    let entry = traffic.block_on(EntryServer::start(node, control.handle()))?;
    let address = entry.addresses().caller.ok_or_eyre("no address for callers")?;
    let config = StandinConfig {
        name: "bench-b1".into(),
        region: "bench".into(),
        zone: "bench-a".into(),
        pool: "bookings".into(),
        entries: vec![address],
    };
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let service = traffic.block_on(ServiceStandin::start(config, listen, Duration::ZERO))?;
    runtimes.extend([control, traffic]);
    let servers = (controls, entry, service);
    Ok(BenchFleet {
        entry: address,
        folder,
        _reserved: reserved,
        _servers: servers,
        _runtimes: runtimes,
    })
}

fn start_runtime(threads: usize) -> eyre::Result<Runtime> {
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    Ok(builder.worker_threads(threads).enable_all().build()?)
}

fn node_settings(instance: &str) -> Value {
    json!({
        "instance": instance,
        "region": "bench",
        "zone": "bench-a",
        "caller_listen": "127.0.0.1:0",
        "operator_listen": "127.0.0.1:0",
        "peer_listen": "127.0.0.1:0",
    })
}

fn fleet_settings() -> Value {
    let kind = |repeatable: bool| {
        json!({
            "pool": "bookings", "rank": "urgent", "first_token_ms": 300, "deadline_ms": 5000,
            "answered_in": "home", "repeatable": repeatable,
        })
    };
    json!({
        "regions": { "bench": { "zones": ["bench-a"] } },
        "teams": { "bench": {
            "owner": "bench",
            "pools": { "bookings": { "serves": "plain_service" } },
            "kinds": { "lookup": kind(true), "booking": kind(false) },
            "workspaces": { "bench": { "home": "bench", "resides_in": ["bench"] } },
        } },
    })
}

async fn wait_ready(entry: SocketAddr) -> eyre::Result<()> {
    let client = client(1);
    let deadline = Instant::now() + READY_TIMEOUT;
    while Instant::now() < deadline {
        if let Ok(session) = open_session(&client, entry).await
            && call(&client, entry, "booking", &session, "ready", None).await?.is_none()
        {
            return Ok(());
        }
        sleep(Duration::from_millis(50)).await;
    }
    bail!("the fleet was not ready within {READY_TIMEOUT:?}")
}

async fn open_session(client: &HttpClient, entry: SocketAddr) -> eyre::Result<String> {
    let request = Request::post(format!("http://{entry}{SESSIONS_PATH}"))
        .header(WORKSPACE_HEADER, "bench")
        .body(Full::new(Bytes::new()))?;
    let body = client.request(request).await?.into_body().collect().await?.to_bytes();
    Ok(serde_json::from_slice::<SessionReply>(&body)?.session)
}

/// Sends one call; returns the refusal code, or none if the call succeeded.
async fn call(
    client: &HttpClient,
    entry: SocketAddr,
    kind: &str,
    session: &str,
    key: &str,
    acknowledged: Option<&str>,
) -> eyre::Result<Option<String>> {
    let body = CallRequest { arguments: json!({ "trucks": 3, "landing": "Rewa" }) };
    let mut request = Request::post(format!("http://{entry}{CALL_PATH}"))
        .header(WORKSPACE_HEADER, "bench")
        .header(KIND_HEADER, kind)
        .header(SESSION_HEADER, session)
        .header(KEY_HEADER, key);
    if let Some(acknowledged) = acknowledged {
        request = request.header(ACKNOWLEDGED_HEADER, acknowledged);
    }
    let response =
        client.request(request.body(Full::new(serde_json::to_vec(&body)?.into()))?).await?;
    let success = response.status().is_success();
    let body = response.into_body().collect().await?.to_bytes();
    if success {
        return Ok(None);
    }
    let error = serde_json::from_slice::<ErrorBody>(&body)?.error;
    Ok(Some(format!("{:?}", error.code)))
}

/// Runs `count` callers, each of which waits for its answer before its next call; returns latencies
/// in microseconds, refusals by code and the elapsed time.
async fn measure(
    entry: SocketAddr,
    kind: &'static str,
    count: usize,
    seconds: u64,
) -> eyre::Result<(Histogram<u64>, BTreeMap<String, u32>, Duration)> {
    let started = Instant::now();
    let end = started + Duration::from_secs(seconds);
    let mut callers = JoinSet::new();
    for number in 0..count {
        callers.spawn(async move {
            let client = client(1);
            let session = open_session(&client, entry).await?;
            let mut latencies = Histogram::<u64>::new(3)?;
            let mut refused = Vec::new();
            let mut previous: Option<String> = None;
            for call_number in 0.. {
                let sent = Instant::now();
                if sent >= end {
                    break;
                }
                let key = format!("{kind}-{count}-{number}-{call_number}");
                match call(&client, entry, kind, &session, &key, previous.as_deref()).await? {
                    Some(code) => refused.push(code),
                    None => {
                        latencies.record(sent.elapsed().as_micros() as u64)?;
                        previous = Some(key);
                    }
                }
            }
            eyre::Ok((latencies, refused))
        });
    }
    let mut all = Histogram::<u64>::new(3)?;
    let mut refusals = BTreeMap::new();
    while let Some(caller) = callers.join_next().await {
        let (latencies, refused) = caller??;
        all.add(latencies)?;
        refused.into_iter().for_each(|code| *refusals.entry(code).or_default() += 1);
    }
    Ok((all, refusals, started.elapsed()))
}
