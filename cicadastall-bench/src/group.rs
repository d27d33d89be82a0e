//! Commit throughput and latency of a replicated group on loopback, and the cost of an idle group.

#[path = "../../cicadastall/tests/groups/mod.rs"]
pub(crate) mod members;

use crate::overhead::{quantiles_json, thread_cpu};
use bpaf::Bpaf;
use cicadastall::{
    group::GroupHandle, instance::ControlThread, node::VoterSettings, replicated::ReplicatedGroup,
};
use eyre::WrapErr;
use hdrhistogram::Histogram;
use members::{Member, TestGroup, TextList, propose, wait_until};
use serde_json::{Value, json};
use std::{
    net::SocketAddr,
    path::PathBuf,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    runtime::Runtime,
    task::JoinSet,
    time::{Instant, sleep},
};

/// Size of one command in bytes.
const COMMAND_BYTES: usize = 200;

/// Prefix of the names of the replicas' threads.
const REPLICA_THREADS: &str = "replica-";

/// Prefix of the names of the journals' threads.
const JOURNAL_THREADS: &str = "journal";

/// Options of the measurement.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct GroupOptions {
    /// Replicas of a group; may be given several times (default: 1 and 3)
    #[bpaf(long("replicas"), argument("COUNT"))]
    replicas: Vec<usize>,
    /// Concurrent proposals; may be given several times (default: 1 and 64)
    #[bpaf(long("in-flight"), argument("COUNT"))]
    in_flight: Vec<usize>,
    /// Seconds for each step
    #[bpaf(long, argument("SECONDS"), fallback(5))]
    seconds: u64,
    /// Folder for the journals; its content is removed
    #[bpaf(long, argument("FOLDER"), fallback("target/group-bench".into()))]
    folder: PathBuf,
}

/// A running group with each replica on its own thread.
struct RunningGroup {
    members: Vec<Member>,
    sent_bytes: Arc<AtomicU64>,
    /// Removes the folders on drop, after the members have stopped.
    _group: Arc<TestGroup>,
    _threads: Vec<ControlThread>,
}

/// Runs the measurement and prints JSON.
pub(crate) fn run(options: &GroupOptions) -> eyre::Result<()> {
    let runtime = Runtime::new()?;
    let given_or = |given: &[usize], otherwise: [usize; 2]| match given {
        [] => otherwise.to_vec(),
        given => given.to_vec(),
    };
    let mut results = Vec::new();
    for size in given_or(&options.replicas, [1, 3]) {
        let group = runtime.block_on(start(size, options, false))?;
        let mut steps = Vec::new();
        for in_flight in given_or(&options.in_flight, [1, 64]) {
            steps.push(runtime.block_on(measure_load(&group, in_flight, options))?);
        }
        runtime.block_on(group.stop());
        let counted = runtime.block_on(start(size, options, true))?;
        let bytes = runtime.block_on(measure_traffic(&counted, options))?;
        runtime.block_on(counted.stop());
        results.push(json!({ "replicas": size, "load": steps, "counted": bytes }));
    }
    println!("{}", serde_json::to_string_pretty(&results)?);
    Ok(())
}

/// Starts a durable group; with `counted`, its messages pass through relays that count bytes.
async fn start(size: usize, options: &GroupOptions, counted: bool) -> eyre::Result<RunningGroup> {
    let mut group = TestGroup::new(size, Some(options.folder.clone())).await;
    let sent_bytes = Arc::new(AtomicU64::new(0));
    if counted {
        for voter in &mut group.voters {
            voter.address = start_relay(voter, Arc::clone(&sent_bytes)).await?;
        }
    }
    let group = Arc::new(group);
    let mut members = Vec::new();
    let mut threads = Vec::new();
    for index in 0..size {
        let thread = ControlThread::start(&format!("{REPLICA_THREADS}{index}"))?;
        let group = Arc::clone(&group);
        let started = thread.handle().spawn(async move { group.start(index).await });
        members.push(started.await?.wrap_err("a replica did not start")?);
        threads.push(thread);
    }
    propose(&members[0], "founded").await;
    let leader_known = || members.iter().all(|member| member.handle.status().leader.is_some());
    wait_until("all replicas know the leader", leader_known).await;
    Ok(RunningGroup { members, sent_bytes, _group: group, _threads: threads })
}

impl RunningGroup {
    fn leader(&self) -> &GroupHandle<TextList> {
        let is_leader = |member: &&Member| member.handle.status().leads;
        &self.members.iter().find(is_leader).unwrap_or(&self.members[0]).handle
    }

    async fn stop(self) {
        for member in self.members {
            member.stop().await;
        }
    }

    /// Mean processor time of a replica so far, in seconds.
    fn cpu(&self) -> eyre::Result<f64> {
        let is_replica =
            |name: &str| name.starts_with(REPLICA_THREADS) || name.starts_with(JOURNAL_THREADS);
        Ok(thread_cpu(is_replica)? / self.members.len() as f64)
    }

    /// Mean number of bytes sent by a replica so far; zero unless the group is counted.
    fn sent_bytes(&self) -> f64 {
        self.sent_bytes.load(Ordering::Relaxed) as f64 / self.members.len() as f64
    }
}

async fn measure_load(
    group: &RunningGroup,
    in_flight: usize,
    options: &GroupOptions,
) -> eyre::Result<Value> {
    let seconds = Duration::from_secs(options.seconds);
    let before = group.cpu()?;
    let started = Instant::now();
    let mut proposers = JoinSet::new();
    for _ in 0..in_flight {
        proposers.spawn(propose_until(group.leader().clone(), started + seconds));
    }
    let mut latencies_us = Histogram::<u64>::new(3)?;
    let mut unknown_outcomes = 0;
    while let Some(joined) = proposers.join_next().await {
        let result = joined??;
        latencies_us.add(result.latencies_us)?;
        unknown_outcomes += result.unknown_outcomes;
    }
    let elapsed = started.elapsed().as_secs_f64();
    let count = latencies_us.len() as f64;
    Ok(json!({
        "in_flight": in_flight,
        "commits_per_s": (count / elapsed).round(),
        "unsettled": unknown_outcomes,
        "latency_us": quantiles_json(&latencies_us),
        "cpu_us_per_commit_and_replica": (group.cpu()? - before) * 1e6 / count,
    }))
}

/// Results of one proposer.
struct ProposerResult {
    latencies_us: Histogram<u64>,
    /// Proposals without a known outcome.
    unknown_outcomes: u64,
}

async fn propose_until(
    leader: GroupHandle<TextList>,
    end: Instant,
) -> eyre::Result<ProposerResult> {
    let mut latencies_us = Histogram::<u64>::new(3)?;
    let mut unknown_outcomes = 0;
    let command = "x".repeat(COMMAND_BYTES);
    while Instant::now() < end {
        let started = Instant::now();
        match leader.propose(command.clone()).await {
            Ok(_) => latencies_us.record(started.elapsed().as_micros() as u64)?,
            Err(_) => unknown_outcomes += 1,
        }
    }
    Ok(ProposerResult { latencies_us, unknown_outcomes })
}

async fn measure_traffic(group: &RunningGroup, options: &GroupOptions) -> eyre::Result<Value> {
    let before = (group.sent_bytes(), group.cpu()?);
    sleep(Duration::from_secs(options.seconds)).await;
    let seconds = options.seconds as f64;
    let idle_bytes = (group.sent_bytes() - before.0) / seconds;
    let idle_cpu = (group.cpu()? - before.1) / seconds;
    let before = group.sent_bytes();
    let started = Instant::now();
    let end = started + Duration::from_secs(options.seconds);
    let count = propose_until(group.leader().clone(), end).await?.latencies_us.len() as f64;
    let load_bytes = group.sent_bytes() - before - idle_bytes * started.elapsed().as_secs_f64();
    Ok(json!({
        "idle_bytes_per_s_and_replica": idle_bytes.round(),
        "idle_cores_per_replica": idle_cpu,
        "bytes_per_commit_and_replica_above_idle": (load_bytes / count).round(),
    }))
}

/// Starts a relay that forwards connections to `voter` and counts the bytes; returns its address.
async fn start_relay(
    voter: &VoterSettings,
    sent_bytes: Arc<AtomicU64>,
) -> eyre::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let target = voter.address;
    tokio::spawn(async move {
        while let Ok((caller, _)) = listener.accept().await {
            let Ok(called) = TcpStream::connect(target).await else { continue };
            let (from_caller, to_caller) = caller.into_split();
            let (from_called, to_called) = called.into_split();
            tokio::spawn(copy_counting_bytes(from_caller, to_called, Arc::clone(&sent_bytes)));
            tokio::spawn(copy_counting_bytes(from_called, to_caller, Arc::clone(&sent_bytes)));
        }
    });
    Ok(address)
}

async fn copy_counting_bytes(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    sent_bytes: Arc<AtomicU64>,
) {
    let mut buffer = vec![0; 64 * 1024];
    while let Ok(length @ 1..) = from.read(&mut buffer).await {
        sent_bytes.fetch_add(length as u64, Ordering::Relaxed);
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
