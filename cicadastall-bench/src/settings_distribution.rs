//! Distribution of settings to many entries in one process: traffic, processor time and the time
//! until a change is in force everywhere.

use bpaf::Bpaf;
use cicadastall::{
    check::check_settings,
    counted_stream::{MessageBytes, message_bytes},
    http::bind,
    instance::serve_settings,
    node::NodeSettings,
    peer::PeerClients,
    replicated::{LocalGroup, ReplicatedGroup},
    settings::{FleetSettings, Revision, TeamSettings},
    settings_follower::SettingsFollower,
    settings_host::SettingsHost,
    settings_state::{ChangeReply, SettingsChange, SettingsCommand, SettingsState},
    settings_store::SettingsStore,
    subtree::SubtreeContent,
    table::{EntryRecord, EntryState, Incarnation, RoutingTable},
};
use eyre::{bail, eyre};
use futures::future::join_all;
use hdrhistogram::Histogram;
use serde::Serialize;
use serde_json::json;
use std::{
    fs,
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};
use tokio::{
    net::TcpListener,
    task::JoinSet,
    time::{Instant, sleep},
};

/// Teams in the settings tree.
const TEAMS: usize = 40;

/// Workspaces of one team.
const WORKSPACES_PER_TEAM: usize = 10;

/// Time for background traffic to settle before the measurement.
const SETTLE_DURATION: Duration = Duration::from_secs(3);

/// Time over which the idle cost is measured.
const IDLE_DURATION: Duration = Duration::from_secs(8);

/// Pause between two changes.
const CHANGE_PAUSE: Duration = Duration::from_millis(200);

/// Longest time for a change to be in force everywhere.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(30);

/// Ticks of the processor clock per second, as `/proc` gives them.
const TICKS_PER_S: f64 = 100.0;

/// Measures the distribution of settings.
#[derive(Debug, Clone, Bpaf)]
pub struct SettingsOptions {
    /// Number of entries; may be given several times
    #[bpaf(long("entries"), argument("COUNT"), many)]
    entries: Vec<usize>,
    /// Availability zones, spread over five regions
    #[bpaf(long, argument("COUNT"), fallback(15))]
    zones: usize,
    /// Changes for each number of entries
    #[bpaf(long, argument("COUNT"), fallback(20))]
    changes: usize,
}

/// Result for one number of entries; a node is an entry or the control instance.
#[derive(Debug, Clone, Serialize)]
struct DistributionReport {
    entries: usize,
    zones: usize,
    tree_bytes: usize,
    change_bytes: usize,
    in_force_p50_ms: f64,
    in_force_p99_ms: f64,
    everywhere_max_ms: f64,
    idle_bytes_per_s_per_node: f64,
    idle_cpu_percent_per_node: f64,
    bytes_per_change_per_node: f64,
    control_answers_per_s: f64,
    control_pushes_per_change: f64,
}

/// Runs the measurement and prints one line of JSON for each number of entries.
pub fn run(options: &SettingsOptions) -> eyre::Result<()> {
    let default = [9, 50, 100, 200, 400];
    let counts = if options.entries.is_empty() { &default[..] } else { &options.entries };
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    for entries in counts {
        let zones = options.zones.min(entries.div_ceil(3));
        let report = runtime.block_on(measure(*entries, zones, options.changes))?;
        println!("{}", serde_json::to_string(&report)?);
    }
    Ok(())
}

fn make_tree(zones: usize) -> eyre::Result<FleetSettings> {
    let region = |zone: usize| format!("region-{}", zone % 5);
    let mut regions = serde_json::Map::new();
    for zone in 0..zones {
        let entry = regions.entry(region(zone)).or_insert(json!({ "zones": [] }));
        if let Some(list) = entry["zones"].as_array_mut() {
            list.push(json!(format!("zone-{zone}")));
        }
    }
    let names: Vec<_> = regions.keys().cloned().collect();
    let teams: serde_json::Map<_, _> = (0..TEAMS)
        .map(|team| {
            let workspaces: serde_json::Map<_, _> = (0..WORKSPACES_PER_TEAM)
                .map(|number| {
                    let home = &names[number % names.len()];
                    let settings = json!({ "home": home, "resides_in": names });
                    (format!("workspace-{team}-{number}"), settings)
                })
                .collect();
            let settings = json!({
                "owner": "office",
                "pools": { format!("pool-{team}"): { "serves": { "model_engine": { "models": ["m"] } } } },
                "kinds": { "ask": {
                    "pool": format!("pool-{team}"), "model": "m", "rank": "urgent",
                    "first_token_ms": 1600, "deadline_ms": 30000, "answered_in": "anywhere",
                } },
                "workspaces": workspaces,
            });
            (format!("team-{team}"), settings)
        })
        .collect();
    let text = json!({ "regions": regions, "teams": teams }).to_string();
    check_settings(text.as_bytes())
        .map_err(|faults| eyre!("the generated settings tree is invalid: {faults:?}"))
}

/// Settings of one node and its bound listener.
struct BenchNode {
    node: NodeSettings,
    address: SocketAddr,
    listener: TcpListener,
}

async fn make_node(
    name: String,
    zone: usize,
    control: Option<SocketAddr>,
) -> eyre::Result<BenchNode> {
    let listener = bind(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
    let address = listener.local_addr()?;
    let control: Vec<_> = control.into_iter().collect();
    let node = json!({
        "instance": name,
        "region": format!("region-{}", zone % 5),
        "zone": format!("zone-{zone}"),
        "caller_listen": address,
        "operator_listen": address,
        "peer_listen": address,
        "control": control,
    });
    Ok(BenchNode { node: serde_json::from_value(node)?, address, listener })
}

fn make_record(node: &BenchNode) -> EntryRecord {
    EntryRecord {
        grant_address: None,
        instance: node.node.instance.clone(),
        incarnation: Incarnation(1),
        region: node.node.region.clone(),
        zone: node.node.zone.clone(),
        caller_address: Some(node.address),
        peer_address: node.address,
        state: EntryState::Serving,
        in_flight: 0,
    }
}

/// Starts a node that knows the other entries of its zone from the start.
fn start_node(
    tasks: &mut JoinSet<()>,
    node: BenchNode,
    zone: Vec<EntryRecord>,
) -> Arc<SettingsFollower> {
    let entries = zone.into_iter().map(|record| (record.instance.clone(), record)).collect();
    let table = RoutingTable { entries, ..RoutingTable::default() };
    let clients = Arc::new(PeerClients::new(node.node.source_ip()));
    let follower = Arc::new(SettingsFollower::new(
        Arc::new(node.node),
        node.address,
        Arc::new(SettingsStore::default()),
        clients,
        Arc::new(Arc::new(table).into()),
    ));
    tasks.spawn(serve_settings(node.listener, Arc::clone(&follower)));
    let running_follower = Arc::clone(&follower);
    tasks.spawn(async move { running_follower.run().await });
    follower
}

async fn measure(entries: usize, zones: usize, changes: usize) -> eyre::Result<DistributionReport> {
    let tree = make_tree(zones)?;
    let tree_bytes = serde_json::to_vec(&tree)?.len();
    let mut tasks = JoinSet::new();
    let control = make_node("control".into(), 0, None).await?;
    let control_address = control.address;
    let control_node = Arc::new(control.node.clone());
    let control = start_node(&mut tasks, control, Vec::new());
    let group = Arc::new(LocalGroup::new(SettingsState::default()));
    let host = Arc::new(SettingsHost::new(Arc::clone(&group), Arc::clone(&control), control_node));
    let runner = Arc::clone(&host);
    tasks.spawn(async move { runner.apply_committed_changes().await });
    let runner = Arc::clone(&host);
    tasks.spawn(async move { runner.confirm().await });
    let runner = Arc::clone(&host);
    tasks.spawn(async move { runner.push().await });
    host.found_group(tree.clone()).await?;

    let mut nodes = Vec::new();
    for number in 0..entries {
        let name = format!("entry-{number:03}");
        nodes.push(make_node(name, number % zones, Some(control_address)).await?);
    }
    let records: Vec<_> = nodes.iter().map(make_record).collect();
    let mut followers = Vec::new();
    for (number, node) in nodes.into_iter().enumerate() {
        let zone = records.iter().skip(number % zones).step_by(zones).cloned().collect();
        followers.push(start_node(&mut tasks, node, zone));
    }
    for follower in &followers {
        follower.store().wait_started().await;
    }
    sleep(SETTLE_DURATION).await;
    let idle = measure_idle(&control).await?;

    let before = message_bytes();
    let pushes_before = control.counts().pushes.load(Ordering::Relaxed);
    let changes_started = Instant::now();
    let mut times = Histogram::<u64>::new(3)?;
    let mut slowest_us = 0;
    let mut change_bytes = 0;
    for change in 0..changes {
        let team = format!("team-{}", change % TEAMS);
        let expected = 1 + if change >= TEAMS { change - TEAMS + 1 } else { 0 };
        let mut settings = tree.teams[team.as_str()].clone();
        settings.owner = format!("office {change}");
        change_bytes = serde_json::to_vec(&settings)?.len();
        let revision = propose(&group, change, &team, expected as u64, settings).await?;
        let waits = followers.iter().map(|follower| wait_in_force(follower, revision));
        for elapsed_us in join_all(waits).await {
            let elapsed_us = elapsed_us?;
            slowest_us = elapsed_us.max(slowest_us);
            times.record(elapsed_us)?;
        }
        sleep(CHANGE_PAUSE).await;
    }
    let elapsed = changes_started.elapsed().as_secs_f64();
    let change_traffic_bytes =
        exchanged_bytes(before, message_bytes()) - idle.bytes_per_s * elapsed;
    let pushes = control.counts().pushes.load(Ordering::Relaxed) - pushes_before;
    let nodes = (entries + 1) as f64;
    Ok(DistributionReport {
        entries,
        zones,
        tree_bytes,
        change_bytes,
        in_force_p50_ms: times.value_at_quantile(0.5) as f64 / 1_000.0,
        in_force_p99_ms: times.value_at_quantile(0.99) as f64 / 1_000.0,
        everywhere_max_ms: slowest_us as f64 / 1_000.0,
        idle_bytes_per_s_per_node: idle.bytes_per_s / nodes,
        idle_cpu_percent_per_node: 100.0 * idle.cpu_share / nodes,
        bytes_per_change_per_node: change_traffic_bytes / nodes / changes as f64,
        control_answers_per_s: idle.control_answers_per_s,
        control_pushes_per_change: pushes as f64 / changes as f64,
    })
}

async fn propose(
    group: &LocalGroup<SettingsState>,
    number: usize,
    team: &str,
    expected: u64,
    settings: TeamSettings,
) -> eyre::Result<Revision> {
    let change = SettingsChange {
        operation: format!("op-{number}").as_str().into(),
        operator: "bench".into(),
        at_ms: 0,
        expected: Revision(expected),
        content: SubtreeContent::Team(team.into(), settings),
    };
    match group.propose(SettingsCommand::Change(change)).await? {
        ChangeReply::Accepted { revision } => Ok(revision),
        refused => bail!("change {number} was refused: {refused:?}"),
    }
}

/// Time until `revision` is in force at one node, in microseconds; fails after the timeout.
async fn wait_in_force(follower: &SettingsFollower, revision: Revision) -> eyre::Result<u64> {
    let start = Instant::now();
    if follower.store().wait_for(revision, IN_FORCE_TIMEOUT).await {
        return Ok(u64::try_from(start.elapsed().as_micros())?);
    }
    bail!("a change was not in force within {IN_FORCE_TIMEOUT:?}")
}

/// Cost without changes, in total over all nodes; bytes are those sent and received.
struct IdleCost {
    bytes_per_s: f64,
    cpu_share: f64,
    control_answers_per_s: f64,
}

async fn measure_idle(control: &SettingsFollower) -> eyre::Result<IdleCost> {
    let (bytes, cpu) = (message_bytes(), process_cpu()?);
    let answers = control.counts().answers.load(Ordering::Relaxed);
    let start = Instant::now();
    sleep(IDLE_DURATION).await;
    let seconds = start.elapsed().as_secs_f64();
    let answer_count = control.counts().answers.load(Ordering::Relaxed) - answers;
    Ok(IdleCost {
        bytes_per_s: exchanged_bytes(bytes, message_bytes()) / seconds,
        cpu_share: (process_cpu()? - cpu) / seconds,
        control_answers_per_s: answer_count as f64 / seconds,
    })
}

fn exchanged_bytes(before: MessageBytes, after: MessageBytes) -> f64 {
    (after.sent - before.sent + after.received - before.received) as f64
}

/// Processor time of the process, in seconds.
fn process_cpu() -> eyre::Result<f64> {
    let stat = fs::read_to_string("/proc/self/stat")?;
    let fields = stat.rsplit(')').next().unwrap_or_default();
    let ticks = fields.split_whitespace().skip(11).take(2).filter_map(|n| n.parse::<f64>().ok());
    Ok(ticks.sum::<f64>() / TICKS_PER_S)
}
