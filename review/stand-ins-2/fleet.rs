//! The project's programs as processes on loopback addresses, with the settings of a small deployment.

use crate::{http, record::Record};
use std::{
    fs::{self, File, OpenOptions},
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command},
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

pub const REGIONS: [&str; 3] = ["aqaba", "amman", "irbid"];

/// Memory of an entry's machine in the small deployments, in MB.
pub const ENTRY_MEMORY_MB: u64 = 260;

const CONTRACTS: &str = "base,drain,config,cost,retry,recover,engine,stream,places";

/// Processes that were started and not ended yet.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the script without a result, and all processes that it has started.
pub fn give_up(why: &str) -> ! {
    eprintln!("{why}");
    for id in STARTED.lock().unwrap().drain(..) {
        let _ = Command::new("kill").args(["-KILL", &id.to_string()]).status();
    }
    std::process::exit(2);
}

#[derive(Clone, Copy)]
pub struct Ports {
    pub peer: u16,
    pub grant: u16,
    pub front: u16,
    pub ready: u16,
    pub directory: u16,
    pub registry: u16,
    pub status: u16,
    pub worker: u16,
}

pub struct Machine {
    pub name: String,
    pub control: bool,
    pub region: &'static str,
    pub ip: Ipv4Addr,
    child: Mutex<Option<Child>>,
}

pub struct Fleet {
    pub machines: Vec<Machine>,
    pub ports: Ports,
    pub folder: PathBuf,
    pub record: Arc<Record>,
    group: (u8, u8),
}

impl Fleet {
    /// One control instance and `entries` entries in each region; none of them runs yet.
    pub fn new(entries: usize, record: Arc<Record>) -> Fleet {
        let pid = std::process::id();
        let group = (64 + (pid / 200 % 120) as u8, (pid % 200) as u8 + 1);
        let ip = |last: u8| Ipv4Addr::new(127, group.0, group.1, last);
        let mut base = 21_000 + (pid % 900) as u16 * 8;
        while !(0..8).all(|offset| TcpListener::bind((ip(1), base + offset)).is_ok()) {
            base += 8;
        }
        let ports = Ports {
            peer: base,
            grant: base + 1,
            front: base + 2,
            ready: base + 3,
            directory: base + 4,
            registry: base + 5,
            status: base + 6,
            worker: base + 7,
        };
        let folder = std::env::temp_dir().join(format!("review-2-{pid}"));
        let mut machines = Vec::new();
        for (index, region) in REGIONS.into_iter().enumerate() {
            for number in 0..=entries {
                let control = number == 0;
                let name = match control {
                    true => format!("core-{region}-a-1"),
                    false => format!("front-{region}-a-{number}"),
                };
                let last = (index * 16 + number + 1) as u8;
                let (ip, child) = (ip(last), Mutex::new(None));
                machines.push(Machine { name, control, region, ip, child });
            }
        }
        Fleet { machines, ports, folder, record, group }
    }

    /// Adds a core machine in the region of machine `index`, at a new address and with an empty disk.
    pub fn add_core(&mut self, index: usize) -> usize {
        let region = self.machines[index].region;
        let (name, ip) = (format!("core-{region}-a-2"), self.free_ip(60 + index as u8));
        let child = Mutex::new(None);
        self.machines.push(Machine { name, control: true, region, ip, child });
        self.machines.len() - 1
    }

    /// Sends SIGTERM to a machine's process, and SIGKILL after the grace period of 8 s.
    pub fn terminate(&self, index: usize) {
        let id = self.machines[index].child.lock().unwrap().as_ref().map(Child::id);
        if let Some(id) = id {
            let _ = Command::new("kill").args(["-TERM", &id.to_string()]).status();
        }
        let until = Instant::now() + Duration::from_secs(8);
        while Instant::now() < until {
            let mut child = self.machines[index].child.lock().unwrap();
            if !child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None))) {
                break;
            }
            drop(child);
            thread::sleep(Duration::from_millis(20));
        }
        self.kill(index);
        self.record.line(&format!("platform: {} has ended", self.machines[index].name));
    }

    /// Empties the disk of a machine whose process does not run.
    pub fn wipe(&self, index: usize) {
        let name = &self.machines[index].name;
        let _ = fs::remove_dir_all(self.folder.join(name).join("data"));
        self.record.line(&format!("platform: {name} has lost its disk"));
    }

    /// A loopback address that no machine has.
    pub fn free_ip(&self, last: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.group.0, self.group.1, last)
    }

    pub fn start_all(&self) {
        for index in 0..self.machines.len() {
            self.start(index, true);
        }
    }

    pub fn start(&self, index: usize, first: bool) {
        let machine = &self.machines[index];
        let Ports { peer, grant, front, ready, directory, registry, status, .. } = self.ports;
        let own = |port: u16| SocketAddr::from((machine.ip, port)).to_string();
        let seeds: Vec<String> = self
            .machines
            .iter()
            .filter(|machine| machine.control)
            .take(REGIONS.len())
            .map(|machine| format!("\"{}:{registry}\"", machine.ip))
            .collect();
        let zones: Vec<String> =
            REGIONS.iter().map(|region| format!("\"{region}-a\": \"{region}\"")).collect();
        let folder = self.folder.join(&machine.name);
        fs::create_dir_all(folder.join("data")).expect("a folder for the machine");
        let mut settings = format!(
            "{{ \"instance\": \"{}\", \"region\": \"{1}\", \"zone\": \"{1}-a\", \"zones\": {{{2}}}, \
             \"peer_listen\": \"{3}\", \"status_listen\": \"{4}\", \"seeds\": [{5}], \
             \"renewal_ms\": 1200, \"stop_s\": 8",
            machine.name,
            machine.region,
            zones.join(", "),
            own(peer),
            own(status),
            seeds.join(", ")
        );
        settings += &match machine.control {
            true => format!(
                ", \"registry_listen\": \"{}\", \"data_folder\": \"{}\", \"founding\": {first} }}",
                own(registry),
                folder.join("data").display()
            ),
            false => format!(
                ", \"grant_listen\": \"{}\", \"caller_listen\": \"{}\", \"ready_listen\": \"{}\", \
                 \"directory_listen\": \"{}\", \"listing_ms\": 1000, \"connections\": 4100, \
                 \"retries\": {{ \"ratio\": 0.2, \"extra\": 58, \"window_s\": 10 }} }}",
                own(grant),
                own(front),
                own(ready),
                own(directory)
            ),
        };
        let path = folder.join("settings.json");
        fs::write(&path, settings).expect("the settings are written");
        let log = OpenOptions::new().create(true).append(true).open(folder.join("log"));
        let log: File = log.expect("the log is opened");
        let errors = log.try_clone().expect("the log is opened");
        let mut command = Command::new("target/release/cicadastall-platform");
        command.arg(if machine.control { "control" } else { "entry" });
        command.env("CICADASTALL_BOOT", &path).stdout(log).stderr(errors);
        for empty in
            ["STRICT_REVOKE", "REVOKE_MS", "QUOTA_WINDOW_S", "QUOTA_OVERAGE", "QUOTA_SLACK"]
        {
            command.env(empty, "");
        }
        let (cores, memory) =
            if machine.control { ("0.3", 256) } else { ("0.25", ENTRY_MEMORY_MB) };
        command.env("CPU_SHARE", cores).env("MEMORY_MB", memory.to_string());
        command.env("LINK_MBPS", "1000.0").env("CONTRACTS", CONTRACTS);
        if machine.control {
            command.env("TOLERATED_LOSSES", "1");
        }
        let child = command
            .spawn()
            .unwrap_or_else(|error| give_up(&format!("the program does not start: {error}")));
        STARTED.lock().unwrap().push(child.id());
        self.record.line(&format!("platform: {} started, process {}", machine.name, child.id()));
        *machine.child.lock().unwrap() = Some(child);
    }

    pub fn kill(&self, index: usize) {
        if let Some(mut child) = self.machines[index].child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
            STARTED.lock().unwrap().retain(|id| *id != child.id());
        }
    }

    /// Resident memory of a machine's process, in MB.
    pub fn memory_mb(&self, index: usize) -> Option<u64> {
        let id = self.machines[index].child.lock().unwrap().as_ref()?.id();
        let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
        let kib: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
        Some(kib / 1_024)
    }

    pub fn entries(&self, region: &str) -> Vec<usize> {
        let all = 0..self.machines.len();
        all.filter(|index| !self.machines[*index].control && self.machines[*index].region == region)
            .collect()
    }

    pub fn front(&self, index: usize) -> SocketAddr {
        (self.machines[index].ip, self.ports.front).into()
    }

    /// Addresses of control, those of `region` first.
    pub fn controls(&self, region: &str) -> Vec<SocketAddr> {
        let mut controls: Vec<&Machine> =
            self.machines.iter().filter(|machine| machine.control).collect();
        controls.sort_by_key(|machine| machine.region != region);
        controls.iter().map(|machine| (machine.ip, self.ports.registry).into()).collect()
    }

    /// Puts a desired state in force; ends the script if it is not acknowledged.
    pub fn configure(&self, document: &str) {
        if !self.order("/-/config/replace", document, Duration::from_secs(20)) {
            give_up("the desired state is not acknowledged");
        }
    }

    /// Sends an order of the operator until it is acknowledged, for at most `limit`.
    pub fn order(&self, path: &str, body: &str, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            for control in self.controls("aqaba") {
                let answer = http::call(control, "POST", path, body, Duration::from_secs(1));
                if let Some((200, _)) = answer {
                    self.record.line(&format!("operator: {path} acknowledged by {control}"));
                    return true;
                }
                if let Some((status, text)) =
                    answer.filter(|(status, _)| (400..500).contains(status))
                {
                    self.record.line(&format!("operator: {path} refused, {status} {text}"));
                    return false;
                }
            }
            thread::sleep(Duration::from_millis(200));
        }
        self.record.line(&format!("operator: {path} not acknowledged"));
        false
    }

    /// Waits until all entries are ready; ends the run if they are not within 30 s.
    pub fn wait_ready(&self) {
        let until = Instant::now() + Duration::from_secs(30);
        for machine in self.machines.iter().filter(|machine| !machine.control) {
            let address = (machine.ip, self.ports.ready).into();
            loop {
                let limit = Duration::from_secs(1);
                if let Some((200, _)) = http::call(address, "GET", "/-/readyz", "", limit) {
                    break;
                }
                if Instant::now() > until {
                    give_up(&format!("{} did not become ready", machine.name));
                }
                thread::sleep(Duration::from_millis(100));
            }
        }
        self.record.line("platform: all entries are ready");
    }

    pub fn stop_all(&self) {
        (0..self.machines.len()).for_each(|index| self.kill(index));
        // With KEEP, the logs of the processes stay.
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.stop_all();
    }
}
