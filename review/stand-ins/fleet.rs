//! Processes of the project on loopback addresses, started with the commands of the deploy file.

use crate::{http, record::Record};
use std::{
    fs,
    io::Write,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Child, Command, Stdio},
    thread::sleep,
    time::{Duration, Instant},
};

/// Command of both roles in `deploy/system.toml`.
const PROGRAM: &str = "target/release/cicadastall-platform";

/// Regions, each with one availability zone `REGION-a`.
pub const REGIONS: [&str; 3] = ["north", "east", "south"];

/// Interval between two heartbeats of a worker, in milliseconds (`heartbeat_ms` of the sheets).
pub const HEARTBEAT_MS: u64 = 1_200;

#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Role {
    Control,
    Entry,
}

pub struct Machine {
    pub name: String,
    pub role: Role,
    pub region: usize,
    pub ip: Ipv4Addr,
    folder: PathBuf,
    child: Option<Child>,
}

pub struct Fleet {
    pub machines: Vec<Machine>,
    folder: PathBuf,
    /// Second octet of all addresses.
    net: u8,
    port: u16,
    seeds: Vec<SocketAddr>,
    record: Record,
}

impl Fleet {
    /// Chooses free ports and a temporary folder; starts nothing.
    pub fn new(record: Record) -> Self {
        let id = std::process::id();
        let folder = std::env::temp_dir().join(format!("cicadastall-review-{id}"));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let net = 60 + (id % 120) as u8;
        let port = (0..200)
            .map(|step| 21_000 + ((id as u16 % 900) + step) % 1_000 * 8)
            .find(|port| (0..8).all(|offset| is_free(net, port + offset)))
            .expect("eight free ports");
        Self { machines: Vec::new(), folder, net, port, seeds: Vec::new(), record }
    }

    pub fn address(&self, region: usize, last: u8, offset: u16) -> SocketAddr {
        (Ipv4Addr::new(127, self.net, region as u8 + 1, last), self.port + offset).into()
    }

    /// Adds a machine; control machines that are added before any starts become the seeds.
    pub fn add(&mut self, role: Role, region: usize, last: u8, seed: bool) -> usize {
        let kind = if role == Role::Control { "core" } else { "front" };
        let name = format!("{kind}-{}-a-{last}", REGIONS[region]);
        let ip = Ipv4Addr::new(127, self.net, region as u8 + 1, last);
        let folder = self.folder.join(&name);
        fs::create_dir_all(folder.join("data")).expect("the machine's folder");
        if seed {
            self.seeds.push((ip, self.port + 1).into());
        }
        self.machines.push(Machine { name, role, region, ip, folder, child: None });
        self.machines.len() - 1
    }

    /// The settings that the templates in `deploy/` give, for the fields that a process reads.
    fn settings(&self, machine: &Machine, bootstrap: bool) -> String {
        let listen = |offset: u16| format!("\"{}:{}\"", machine.ip, self.port + offset);
        let zones: Vec<_> =
            REGIONS.iter().map(|region| format!("\"{region}-a\":\"{region}\"")).collect();
        let seeds: Vec<_> = self.seeds.iter().map(|seed| format!("\"{seed}\"")).collect();
        let region = REGIONS[machine.region];
        let common = format!(
            "\"instance\":\"{}\",\"region\":\"{region}\",\"zone\":\"{region}-a\",\"zones\":{{{}}},\
             \"peer_listen\":{},\"status_listen\":{},\"seeds\":[{}],\"renewal_ms\":{HEARTBEAT_MS},\
             \"stop_s\":8",
            machine.name,
            zones.join(","),
            listen(0),
            listen(2),
            seeds.join(",")
        );
        match machine.role {
            Role::Control => format!(
                "{{{common},\"registry_listen\":{},\"data_folder\":\"{}\",\"founding\":{bootstrap}}}",
                listen(1),
                machine.folder.join("data").display()
            ),
            Role::Entry => format!(
                "{{{common},\"grant_listen\":{},\"caller_listen\":{},\"ready_listen\":{},\
                 \"directory_listen\":{},\"listing_ms\":1000,\"connections\":4100,\
                 \"upstream_source\":\"{}\",\
                 \"retries\":{{\"ratio\":0.2,\"extra\":58,\"window_s\":10}}}}",
                listen(3),
                listen(4),
                listen(5),
                listen(6),
                machine.ip
            ),
        }
    }

    pub fn start(&mut self, index: usize, bootstrap: bool) {
        let settings = self.settings(&self.machines[index], bootstrap);
        let machine = &mut self.machines[index];
        let path = machine.folder.join("settings.json");
        fs::write(&path, settings).expect("the settings file");
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(machine.folder.join("log"))
            .expect("the log file");
        let role = if machine.role == Role::Control { "control" } else { "entry" };
        let child = Command::new(PROGRAM)
            .arg(role)
            .env("CICADASTALL_BOOT", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().expect("the log file"))
            .stderr(log)
            .spawn();
        match child {
            Ok(child) => machine.child = Some(child),
            Err(error) => {
                self.record.line(&format!("{PROGRAM} does not start: {error}"));
                self.end();
                std::process::exit(2);
            }
        }
        self.record.line(&format!(
            "{} started{}",
            self.machines[index].name,
            if bootstrap { ", bootstrap = true" } else { "" }
        ));
    }

    /// Sends a signal, such as `-KILL`, `-STOP` or `-CONT`, to a process of this fleet.
    pub fn signal(&mut self, index: usize, signal: &str) {
        let machine = &mut self.machines[index];
        let Some(child) = &mut machine.child else { return };
        let sent = Command::new("kill").args([signal, &child.id().to_string()]).status();
        self.record.line(&format!("{}: kill {signal}", machine.name));
        if sent.is_err() {
            self.record.line("kill can't be run");
        }
        if signal == "-KILL" {
            let _ = child.wait();
            machine.child = None;
        }
    }

    /// Sends SIGTERM and waits for the end, with SIGKILL after `grace_s`.
    pub fn stop(&mut self, index: usize, grace: Duration) {
        self.signal(index, "-TERM");
        let end = Instant::now() + grace;
        let machine = &mut self.machines[index];
        let Some(mut child) = machine.child.take() else { return };
        while Instant::now() < end {
            if let Ok(Some(status)) = child.try_wait() {
                return self.record.line(&format!("{} ended: {status}", machine.name));
            }
            sleep(Duration::from_millis(20));
        }
        let _ = child.kill();
        let _ = child.wait();
        self.record.line(&format!("{} killed after grace_s", machine.name));
    }

    /// Empties the data folder of a machine whose process doesn't run.
    pub fn wipe(&mut self, index: usize) {
        let folder = self.machines[index].folder.join("data");
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).expect("an empty data folder");
        self.record.line(&format!("{}: data folder emptied", self.machines[index].name));
    }

    pub fn control(&self, index: usize) -> SocketAddr {
        (self.machines[index].ip, self.port + 1).into()
    }

    pub fn front(&self, index: usize) -> SocketAddr {
        (self.machines[index].ip, self.port + 4).into()
    }

    /// What the status page of a control machine says of its group; for the record only.
    pub fn describe_group(&self, index: usize) -> String {
        let machine = &self.machines[index];
        let status = (machine.ip, self.port + 2).into();
        let reply = http::call(status, "GET", "/v1/status", &[], b"", Duration::from_secs(1));
        let text = reply.map_or(String::new(), |reply| reply.text());
        let group = text.find("\"group\"").map_or("", |at| &text[at..]);
        format!("{}: {}", machine.name, group.chars().take(700).collect::<String>())
    }

    /// From now on, processes start with the addresses of the control machines that run, as in the
    /// operator's list.
    pub fn update_seeds(&mut self) {
        let running = self.machines.iter().filter(|machine| machine.role == Role::Control);
        let running = running.filter(|machine| machine.child.is_some());
        self.seeds = running.map(|machine| (machine.ip, self.port + 1).into()).take(3).collect();
    }

    pub fn wait_ready(&self, index: usize, limit: Duration) -> bool {
        let ready = (self.machines[index].ip, self.port + 5).into();
        let end = Instant::now() + limit;
        while Instant::now() < end {
            let reply = http::call(ready, "GET", "/-/readyz", &[], b"", Duration::from_secs(1));
            if reply.is_some_and(|reply| reply.status == 200) {
                return true;
            }
            sleep(Duration::from_millis(50));
        }
        false
    }

    /// Ends all processes and removes the temporary folder; with `KEEP_LOGS` set, the folder stays.
    pub fn end(&mut self) {
        for machine in &mut self.machines {
            if let Some(mut child) = machine.child.take() {
                let _ = child.kill();
                let _ = child.wait();
            }
        }
        if std::env::var_os("KEEP_LOGS").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            let _ = writeln!(std::io::stderr(), "logs in {}", Path::display(&self.folder));
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.end();
    }
}

fn is_free(net: u8, port: u16) -> bool {
    (1..=3).all(|region| {
        [1, 2, 11, 12, 21, 22]
            .iter()
            .all(|last| TcpListener::bind((Ipv4Addr::new(127, net, region, *last), port)).is_ok())
    })
}
