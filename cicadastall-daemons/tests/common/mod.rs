//! Processes of a small fleet on loopback addresses.

#![allow(dead_code)] // each test file uses a part of this module

#[path = "../../../cicadastall/tests/reserved/mod.rs"]
pub mod reserved;

use serde_json::{Value, json};
use std::{
    fs::File,
    io::{BufRead, BufReader, Read},
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Child, Command, ExitStatus, Stdio},
    sync::atomic::{AtomicU32, Ordering},
    thread::sleep,
    time::{Duration, Instant},
};

static FOLDER_COUNTER: AtomicU32 = AtomicU32::new(0);

/// A temporary folder that is removed when dropped.
#[derive(Debug)]
pub struct TestFolder(PathBuf);

impl TestFolder {
    pub fn new(name: &str) -> Self {
        let number = FOLDER_COUNTER.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir()
            .join(format!("cicadastall-{name}-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("create the test's folder");
        Self(folder)
    }

    pub fn path(&self) -> &std::path::Path {
        &self.0
    }

    pub fn write(&self, name: &str, value: &Value) -> PathBuf {
        let path = self.0.join(name);
        std::fs::write(&path, value.to_string()).expect("write a settings file");
        path
    }
}

impl Drop for TestFolder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A running program and the addresses that it printed; killed when dropped.
#[derive(Debug)]
pub struct Process {
    pub child: Child,
    pub addresses: Value,
}

impl Process {
    pub fn start(program: &str, arguments: &[String]) -> Self {
        Self::spawn(Command::new(program).args(arguments))
    }

    /// Starts a program that writes its log at debug level to the file `log`.
    pub fn start_logged(program: &str, arguments: &[String], log: &Path) -> Self {
        let file = File::create(log).expect("create the log file");
        let mut command = Command::new(program);
        Self::spawn(command.args(arguments).env("RUST_LOG", "cicadastall=debug").stderr(file))
    }

    fn spawn(command: &mut Command) -> Self {
        let mut child = command.stdout(Stdio::piped()).spawn().expect("start a program");
        let output = child.stdout.as_mut().expect("standard output is piped");
        let mut text = String::new();
        BufReader::new(output).read_line(&mut text).expect("read the line of addresses");
        let addresses = serde_json::from_str(&text).expect("the line of addresses is JSON");
        Self { child, addresses }
    }

    /// Sends a signal, such as `-TERM`; after `-STOP`, waits until all threads are stopped.
    pub fn signal(&self, signal: &str) {
        let sent = Command::new("kill").args([signal, &self.child.id().to_string()]).status();
        assert!(sent.is_ok_and(|status| status.success()), "{signal} was not sent");
        while signal == "-STOP" && !self.is_frozen() {
            sleep(Duration::from_millis(1));
        }
    }

    /// Whether each thread of the program is stopped by a signal.
    fn is_frozen(&self) -> bool {
        let tasks = std::fs::read_dir(format!("/proc/{}/task", self.child.id()));
        tasks.expect("the program's threads").flatten().all(|task| {
            let stat = std::fs::read_to_string(task.path().join("stat"));
            stat.is_ok_and(|stat| stat.contains(") T "))
        })
    }

    /// Waits until the program exits; returns its status and the JSON summary that it printed, or null.
    pub fn wait(&mut self, bound: Duration) -> (ExitStatus, Value) {
        let deadline = Instant::now() + bound;
        let status = loop {
            if let Some(status) = self.child.try_wait().expect("wait for a process") {
                break status;
            }
            assert!(Instant::now() < deadline, "a process did not end within {bound:?}");
            sleep(Duration::from_millis(10));
        };
        let mut text = String::new();
        let output = self.child.stdout.as_mut().expect("standard output is piped");
        output.read_to_string(&mut text).expect("read the summary");
        (status, serde_json::from_str(text.trim()).unwrap_or_default())
    }

    pub fn address(&self, name: &str) -> SocketAddr {
        self.addresses[name].as_str().and_then(|text| text.parse().ok()).expect("an address")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub const ENTRY: &str = env!("CARGO_BIN_EXE_cicadastall-entry");
pub const CONTROL: &str = env!("CARGO_BIN_EXE_cicadastall-control");
pub const STANDIN: &str = env!("CARGO_BIN_EXE_cicadastall-standin");

/// Settings of an instance in `region` and in the zone `REGION-a`.
pub fn instance_settings(instance: &str, region: &str) -> Value {
    json!({
        "instance": instance,
        "region": region,
        "zone": format!("{region}-a"),
        "caller_listen": "127.0.0.1:0",
        "operator_listen": "127.0.0.1:0",
        "peer_listen": "127.0.0.1:0",
    })
}

/// Fleet settings with one zone and one request kind, with its times in milliseconds.
pub fn review_settings(first_token_ms: u64, deadline_ms: u64) -> Value {
    json!({
        "regions": { "aqaba": { "zones": ["aqaba-a"] } },
        "teams": { "trust": {
            "owner": "harbour office",
            "pools": { "verdicts": {
                "serves": { "model_engine": { "models": ["splice-7b"] } },
            } },
            "kinds": { "splice-review": {
                "pool": "verdicts", "model": "splice-7b", "rank": "urgent",
                "first_token_ms": first_token_ms, "deadline_ms": deadline_ms,
                "answered_in": "anywhere",
            } },
            "workspaces": { "aqaba-port": { "home": "aqaba", "resides_in": ["aqaba"] } },
        } },
    })
}

/// Arguments of a stand-in in `region`, without those of its role.
pub fn standin_arguments(name: &str, region: &str, pool: &str, entry: SocketAddr) -> Vec<String> {
    let zone = format!("{region}-a");
    let entry = entry.to_string();
    [
        "--name",
        name,
        "--region",
        region,
        "--zone",
        &zone,
        "--pool",
        pool,
        "--entry",
        &entry,
        "--listen",
        "127.0.0.1:0",
    ]
    .map(str::to_owned)
    .to_vec()
}
