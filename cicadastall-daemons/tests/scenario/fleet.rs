//! The fleet of processes of a scenario, with proxied links between them.

use super::{
    caller::{CallerOutcome, CallerRequest, ask_session, send, send_counted},
    changes::RevisionWatch,
    flood::FloodCallers,
    link::{LinkProxy, LinkTable},
    load::LoadCallers,
};
use crate::common::{
    CONTROL, ENTRY, Process, STANDIN, TestFolder, instance_settings, standin_arguments,
};
use cicadastall::http::{HttpClient, call_json, client};
use hyper::{Method, Request};
use serde_json::{Value, json};
use std::{
    collections::BTreeMap,
    fmt::Write,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::Duration,
};
use tokio::{
    sync::watch,
    task::JoinHandle,
    time::{Instant, sleep, timeout_at},
};

/// Timeout of the wait for an expected outcome.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(15);

/// Timeout of a graceful stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(20);

/// Time after which a leaving upstream must get no new request, in milliseconds.
const LEAVE_LIMIT_MS: u64 = 3_000;

/// Addresses per zone within a region, which limits the number of entries of a zone.
const ZONE_NUMBERS: usize = 16;

/// Delay between attempts while waiting for an outcome.
pub const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// One control instance or entry, with the proxies of its advertised addresses.
#[derive(Debug)]
struct Instance {
    region: String,
    ip: IpAddr,
    program: &'static str,
    settings: Value,
    caller: LinkProxy,
    peer: LinkProxy,
    process: Option<Process>,
}

impl Instance {
    fn zone(&self) -> &str {
        self.settings["zone"].as_str().expect("an instance has a zone")
    }
}

/// Number and names of the instances of a fleet.
#[derive(Debug)]
pub struct FleetShape {
    /// Names of the regions; each has one control instance, in its first zone.
    pub regions: Vec<String>,
    /// Suffixes of the zone names, the same in each region.
    pub zones: Vec<String>,
    /// Number of entries in each zone.
    pub entries: usize,
    /// Number of entries in each region that host replicas of the region's ledger.
    pub ledger_entries: usize,
}

/// Location of a stand-in and the pool that it serves.
#[derive(Debug, Clone)]
pub struct StandinZone {
    pub region: String,
    pub zone: String,
    pub pool: String,
}

/// One stand-in upstream.
#[derive(Debug)]
struct Standin {
    arguments: Vec<String>,
    process: Option<Process>,
    /// Address on which it listened before it was killed.
    killed: Option<SocketAddr>,
}

/// A request in the background and the number of body frames received so far.
#[derive(Debug)]
struct BackgroundCall {
    task: JoinHandle<CallerOutcome>,
    frames: watch::Receiver<u64>,
}

/// All processes of one scenario.
#[derive(Debug)]
pub struct Fleet {
    folder: TestFolder,
    links: LinkTable,
    instances: BTreeMap<String, Instance>,
    standins: BTreeMap<String, Standin>,
    calls: BTreeMap<String, BackgroundCall>,
    sessions: BTreeMap<String, String>,
    client: HttpClient,
    pub revision_watch: RevisionWatch,
    pub load: LoadCallers,
    pub flood: FloodCallers,
    pub voters: Value,
}

impl Fleet {
    /// Starts a fleet of the given shape with the fleet settings `tree`, as JSON.
    pub async fn start(shape: &FleetShape, tree: &str) -> Self {
        let FleetShape { regions, zones, entries, ledger_entries } = shape;
        let mut fleet = Self {
            folder: TestFolder::new("scenario"),
            links: LinkTable::default(),
            instances: BTreeMap::new(),
            standins: BTreeMap::new(),
            calls: BTreeMap::new(),
            sessions: BTreeMap::new(),
            client: client(64),
            revision_watch: RevisionWatch::default(),
            load: LoadCallers::default(),
            flood: FloodCallers::default(),
            voters: Value::Null,
        };
        let mut tree: Value = serde_json::from_str(tree).expect("the scenario's settings are JSON");
        for region in regions {
            let names: Vec<_> = zones.iter().map(|zone| format!("{region}-{zone}")).collect();
            tree["regions"][region]["zones"] = json!(names);
        }
        let founding = fleet.folder.write("fleet.json", &tree);
        for (index, region) in regions.iter().enumerate() {
            fleet.add_instance(&format!("{region}-control"), region, (index, 0), CONTROL).await;
            for number in 1..=*entries {
                fleet
                    .add_instance(&format!("{region}-{number}"), region, (index, number), ENTRY)
                    .await;
            }
            for (other, zone) in zones.iter().enumerate().skip(1) {
                let zone = format!("{region}-{zone}");
                for number in 1..=*entries {
                    let name = format!("{zone}-{number}");
                    fleet
                        .add_instance(&name, region, (index, other * ZONE_NUMBERS + number), ENTRY)
                        .await;
                    let instance = fleet.instances.get_mut(&name).expect("the added entry");
                    instance.settings["zone"] = json!(zone);
                }
            }
        }
        let controls: Vec<_> = fleet.addresses(|instance| instance.program == CONTROL);
        let seeds: Vec<_> = fleet.addresses(|_| true);
        let voters: Vec<_> = controls
            .iter()
            .map(|(name, address)| json!({ "instance": name, "address": address }))
            .collect();
        let folder = fleet.folder.path();
        let members = fleet.ledger_members(*ledger_entries);
        for (name, instance) in &mut fleet.instances {
            let home = |(other, _): &&(String, SocketAddr)| other.starts_with(&instance.region);
            let own_controls: Vec<_> = controls.iter().filter(home).collect();
            let settings = &mut instance.settings;
            settings["seeds"] = json!(seeds.iter().map(|(_, seed)| seed).collect::<Vec<_>>());
            settings["control"] =
                json!(own_controls.iter().map(|(_, address)| address).collect::<Vec<_>>());
            settings["ledger_voters"] = json!(members[&instance.region]);
            if instance.program == CONTROL {
                settings["founding_settings"] = json!(founding);
                settings["settings_voters"] = json!(voters);
                settings["data_folder"] = json!(folder.join(name));
            }
        }
        let names: Vec<_> = fleet.instances.keys().cloned().collect();
        for name in names {
            fleet.start_instance(&name);
        }
        fleet
    }

    async fn add_instance(
        &mut self,
        name: &str,
        region: &str,
        position: (usize, usize),
        program: &'static str,
    ) {
        let (region_index, number) = position;
        let ip = IpAddr::V4(Ipv4Addr::new(127, 0, region_index as u8 + 1, number as u8 + 1));
        let caller = LinkProxy::start(ip, self.links.clone()).await.expect("a proxy");
        let peer = LinkProxy::start(ip, self.links.clone()).await.expect("a proxy");
        let mut settings = instance_settings(name, region);
        let listen = SocketAddr::new(ip, 0);
        for field in ["caller_listen", "operator_listen", "peer_listen"] {
            settings[field] = json!(listen);
        }
        settings["caller_advertise"] = json!(caller.address);
        settings["peer_advertise"] = json!(peer.address);
        let region = region.to_owned();
        let instance = Instance { region, ip, program, settings, caller, peer, process: None };
        self.instances.insert(name.to_owned(), instance);
    }

    /// Members of each region's ledger: its control instance and its first entries.
    fn ledger_members(&self, entries: usize) -> BTreeMap<String, Vec<Value>> {
        let mut members: BTreeMap<String, Vec<Value>> = BTreeMap::new();
        let (controls, others): (Vec<_>, Vec<_>) =
            self.instances.iter().partition(|(_, instance)| instance.program == CONTROL);
        for (name, instance) in controls.into_iter().chain(others) {
            let voters = members.entry(instance.region.clone()).or_default();
            if voters.len() <= entries {
                voters.push(json!({ "instance": name, "address": instance.peer.address }));
            }
        }
        members
    }

    fn addresses(&self, wanted: impl Fn(&Instance) -> bool) -> Vec<(String, SocketAddr)> {
        let chosen = self.instances.iter().filter(|(_, instance)| wanted(instance));
        chosen.map(|(name, instance)| (name.clone(), instance.peer.address)).collect()
    }

    fn start_instance(&mut self, name: &str) {
        let instance = self.instances.get_mut(name).expect("a known instance");
        let path = self.folder.write(&format!("{name}.json"), &instance.settings);
        let arguments = ["--settings".to_owned(), path.display().to_string()];
        let process = Process::start(instance.program, &arguments);
        instance.peer.set_target(Some(process.address("peer")));
        if instance.program == ENTRY {
            instance.caller.set_target(Some(process.address("caller")));
        }
        instance.process = Some(process);
    }

    /// Starts a stand-in with the arguments of its role and waits until the entries of its zone list it.
    pub async fn start_upstream(&mut self, name: &str, place: &StandinZone, role: &[String]) {
        let entries = self.entries_of(&place.zone);
        let mut arguments = standin_arguments(name, &place.region, &place.pool, entries[0]);
        let option = arguments.iter().position(|argument| argument == "--zone");
        arguments[option.expect("a stand-in has a zone") + 1] = place.zone.clone();
        for entry in &entries[1..] {
            arguments.extend(["--entry".to_owned(), entry.to_string()]);
        }
        arguments.extend_from_slice(role);
        let process = Some(Process::start(STANDIN, &arguments));
        let upstream = Standin { arguments, process, killed: None };
        self.standins.insert(name.to_owned(), upstream);
        let in_zone = |instance: &&Instance| instance.zone() == place.zone;
        for instance in self.instances.values().filter(in_zone) {
            self.wait_listed(instance, name).await;
        }
    }

    async fn wait_listed(&self, instance: &Instance, upstream: &str) {
        let Some(process) = instance.process.as_ref().filter(|_| instance.program == ENTRY) else {
            return;
        };
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            let status = self.get(process.address("operator"), "/v1/status").await;
            let listed = status["upstreams"].as_array().into_iter().flatten();
            if listed.into_iter().any(|record| record["name"] == upstream) {
                return;
            }
            assert!(Instant::now() < deadline, "{upstream} not listed within {WAIT_TIMEOUT:?}");
            sleep(RETRY_INTERVAL).await;
        }
    }

    fn entries_of(&self, zone: &str) -> Vec<SocketAddr> {
        let in_zone = |instance: &&Instance| instance.zone() == zone && instance.program == ENTRY;
        let entries = self.instances.values().filter(in_zone);
        entries.map(|instance| instance.caller.address).collect()
    }

    /// Caller address of an entry, or address of a stand-in.
    pub fn address(&self, name: &str) -> SocketAddr {
        match self.instances.get(name) {
            Some(instance) => instance.caller.address,
            None => self.standins[name].process.as_ref().expect("running").address("upstream"),
        }
    }

    /// Folder for the scenario's files.
    pub fn folder(&self) -> &TestFolder {
        &self.folder
    }

    /// Operator address of a running instance.
    pub fn operator_address(&self, name: &str) -> SocketAddr {
        let process = self.instances[name].process.as_ref();
        process.expect("a running instance").address("operator")
    }

    /// Names of the running instances.
    pub fn running(&self) -> Vec<String> {
        let runs = self.instances.iter().filter(|(_, instance)| instance.process.is_some());
        runs.map(|(name, _)| name.clone()).collect()
    }

    /// Names of the running control instances.
    pub fn controls(&self) -> Vec<String> {
        let runs = |(_, instance): &(&String, &Instance)| {
            instance.program == CONTROL && instance.process.is_some()
        };
        self.instances.iter().filter(runs).map(|(name, _)| name.clone()).collect()
    }

    /// Regions with a running control instance.
    pub fn controlled_regions(&self) -> Vec<String> {
        self.controls().iter().map(|name| self.instances[name].region.clone()).collect()
    }

    /// Names of the running entries in `regions`.
    pub fn entries_in(&self, regions: &[String]) -> Vec<String> {
        let wanted = |(_, instance): &(&String, &Instance)| {
            let runs = instance.program == ENTRY && instance.process.is_some();
            runs && regions.contains(&instance.region)
        };
        self.instances.iter().filter(wanted).map(|(name, _)| name.clone()).collect()
    }

    /// Names and operator addresses of all running entries.
    pub fn entry_operators(&self) -> Vec<(String, SocketAddr)> {
        let regions: Vec<_> =
            self.instances.values().map(|instance| instance.region.clone()).collect();
        let names = self.entries_in(&regions);
        names.into_iter().map(|name| (name.clone(), self.operator_address(&name))).collect()
    }

    /// Opens a session of `workspace` and stores it as `name`; retries until the ledger is ready.
    pub async fn open_session(&mut self, name: &str, via: &str, workspace: &str) -> String {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            match ask_session(&self.client, self.address(via), workspace).await {
                Ok(session) => {
                    self.sessions.insert(name.to_owned(), session);
                    return "open".to_owned();
                }
                Err(error) if Instant::now() > deadline => return error,
                Err(_) => sleep(RETRY_INTERVAL).await,
            }
        }
    }

    /// The session stored as `name`.
    pub fn session(&self, name: &str) -> String {
        self.sessions.get(name).cloned().unwrap_or_else(|| panic!("no session {name}"))
    }

    /// Number of running stand-ins.
    pub fn count_running(&mut self) -> usize {
        let runs = |standin: &mut Standin| {
            let process = standin.process.as_mut();
            process.is_some_and(|process| process.child.try_wait().expect("a status").is_none())
        };
        self.standins.values_mut().map(runs).filter(|runs| *runs).count()
    }

    /// Posts an order to the operator port of an instance until it is accepted; returns the status.
    pub async fn order(&self, instance: &str, path: &str) -> String {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            let order = Request::post(format!("http://{}{path}", self.operator_address(instance)));
            let order = order.body(Default::default()).expect("a request");
            let status = self.client.request(order).await.expect("an answer").status();
            if status.is_success() || Instant::now() > deadline {
                return status.to_string();
            }
            sleep(RETRY_INTERVAL).await;
        }
    }

    /// Sends one request; with `until`, repeats it until the outcome matches.
    pub async fn call(
        &self,
        via: &str,
        request: &CallerRequest,
        until: Option<&str>,
    ) -> CallerOutcome {
        let address = self.address(via);
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            let outcome = send(&self.client, address, request).await;
            let reached = until.is_none_or(|until| outcome.matches(until));
            if reached || outcome.is_invalid() || Instant::now() > deadline {
                return outcome;
            }
            sleep(RETRY_INTERVAL).await;
        }
    }

    /// Sends one request in the background.
    pub fn begin(&mut self, via: &str, request: CallerRequest) {
        let client = self.client.clone();
        let address = self.address(via);
        let id = request.id.clone();
        let (counter, frames) = watch::channel(0);
        let task =
            tokio::spawn(async move { send_counted(&client, address, &request, &counter).await });
        self.calls.insert(id, BackgroundCall { task, frames });
    }

    /// Waits until the upstream `name` reports a running request, and then until another body frame
    /// of the answer to `id` arrives.
    pub async fn wait_streaming(&mut self, id: &str, name: &str) {
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while !self.is_busy(name).await {
            assert!(Instant::now() < deadline, "{name} runs no request");
            sleep(RETRY_INTERVAL).await;
        }
        let call = self.calls.get_mut(id).expect("a request in the background");
        call.frames.mark_unchanged();
        let part = timeout_at(deadline, call.frames.changed()).await;
        assert!(matches!(part, Ok(Ok(()))), "{id} received no further frame");
    }

    /// Whether an entry has a record of the upstream `name` with a running request.
    async fn is_busy(&self, name: &str) -> bool {
        for (_, operator) in self.entry_operators() {
            let status = self.get(operator, "/v1/status").await;
            let mut listed = status["upstreams"].as_array().into_iter().flatten();
            let runs = |record: &Value| record["load"]["running"].as_u64() > Some(0);
            if listed.any(|record| record["name"] == name && runs(record)) {
                return true;
            }
        }
        false
    }

    /// Waits for the outcome of a request in the background.
    pub async fn finish(&mut self, id: &str) -> CallerOutcome {
        let call = self.calls.remove(id).expect("a request in the background");
        call.task.await.expect("the caller does not panic")
    }

    fn process(&mut self, name: &str) -> &mut Option<Process> {
        match self.instances.get_mut(name) {
            Some(instance) => &mut instance.process,
            None => &mut self.standins.get_mut(name).expect("a known process").process,
        }
    }

    /// Kills a process.
    pub fn kill(&mut self, name: &str) {
        if let Some(standin) = self.standins.get_mut(name) {
            standin.killed = standin.process.as_ref().map(|process| process.address("upstream"));
        }
        *self.process(name) = None;
        if let Some(instance) = self.instances.get(name) {
            instance.caller.set_target(None);
            instance.peer.set_target(None);
        }
    }

    /// Waits until all other processes have closed their connections to a killed stand-in.
    pub async fn wait_disconnected(&self, name: &str) {
        let killed = self.standins[name].killed.expect("a killed stand-in");
        let deadline = Instant::now() + WAIT_TIMEOUT;
        while is_connected(killed) {
            assert!(Instant::now() < deadline, "connections to {name} stay open");
            sleep(RETRY_INTERVAL).await;
        }
    }

    /// Restarts a killed or stopped process with the same settings.
    pub fn restart(&mut self, name: &str) {
        if self.instances.contains_key(name) {
            return self.start_instance(name);
        }
        let standin = self.standins.get_mut(name).expect("a known process");
        standin.process = Some(Process::start(STANDIN, &standin.arguments));
    }

    /// Removes the data folder of an instance that is not running.
    pub fn lose_disk(&self, name: &str) {
        let folder = self.folder.path().join(name);
        std::fs::remove_dir_all(folder).expect("the instance has a data folder");
    }

    /// Sends a signal to a process.
    pub fn signal(&mut self, name: &str, signal: &str) {
        self.process(name).as_ref().expect("a running process").signal(signal);
    }

    /// Stops a process gracefully and describes how it ended.
    pub async fn stop(&mut self, name: &str) -> String {
        self.signal(name, "-TERM");
        self.end_stop(name).await
    }

    /// Waits until a stopping process exits, and describes how it ended.
    pub async fn end_stop(&mut self, name: &str) -> String {
        let mut process = self.process(name).take().expect("a running process");
        let waited = tokio::task::spawn_blocking(move || process.wait(STOP_TIMEOUT));
        let (status, summary) = waited.await.expect("the process ends");
        let mut text = format!("{name} stopped, {status}");
        if let Some(cut_off) = summary["cut_off"].as_u64() {
            write!(text, ", cut off {cut_off}").expect("writing to a string");
        }
        if self.standins.contains_key(name) {
            let last = summary["last_request_ms"].as_u64().unwrap_or_default();
            text.push_str(match last < LEAVE_LIMIT_MS {
                true => ", no new request after 3 s",
                false => ", NEW REQUESTS AFTER 3 s",
            });
        }
        text
    }

    /// Cuts the links from one instance, zone or region to another; with `both`, in both directions.
    pub fn cut(&self, from: &str, to: &str, both: bool) {
        for source in self.matching(from) {
            for target in self.matching(to) {
                self.links.cut(source, target);
                if both {
                    self.links.cut(target, source);
                }
            }
        }
    }

    /// Adds a one-way delay to all links between instances of different regions.
    pub fn delay_regions(&self, delay: Duration) {
        for source in self.instances.values() {
            for target in self.instances.values().filter(|other| other.region != source.region) {
                self.links.delay(source.ip, target.ip, delay);
            }
        }
    }

    fn matching(&self, name: &str) -> Vec<IpAddr> {
        let matches = |(instance, state): &(&String, &Instance)| {
            *instance == name || state.region == name || state.zone() == name
        };
        self.instances.iter().filter(matches).map(|(_, state)| state.ip).collect()
    }

    /// Restores all cut links.
    pub fn heal(&self) {
        self.links.heal();
    }

    /// Queries a stand-in or an operator port for JSON.
    pub async fn get(&self, address: SocketAddr, path: &str) -> Value {
        let bound = Duration::from_secs(5);
        let asked = call_json(&self.client, Method::GET, address, path, None::<&Value>, bound);
        asked.await.unwrap_or_else(|error| panic!("{path}: {error}"))
    }

    /// Number of executions of each key, summed over all running services.
    pub async fn executions(&self) -> BTreeMap<String, u64> {
        let mut counts = BTreeMap::new();
        for (name, standin) in &self.standins {
            let service = standin.arguments.iter().any(|argument| argument == "service");
            if !service || standin.process.is_none() {
                continue;
            }
            let listed = self.get(self.address(name), "/v1/executions").await;
            for (key, count) in listed.as_object().into_iter().flatten() {
                *counts.entry(key.clone()).or_default() += count.as_u64().unwrap_or_default();
            }
        }
        counts
    }
}

/// Whether any process has a connection to `address` that it has not closed itself.
fn is_connected(address: SocketAddr) -> bool {
    let IpAddr::V4(ip) = address.ip() else { return false };
    let remote = format!("{:08X}:{:04X}", u32::from_le_bytes(ip.octets()), address.port());
    let table = std::fs::read_to_string("/proc/net/tcp").expect("the table of connections");
    table.lines().any(|line| {
        let fields: Vec<_> = line.split_whitespace().collect();
        // ESTABLISHED (01), or CLOSE_WAIT (08): only the remote end has closed the connection.
        fields.get(2) == Some(&remote.as_str()) && ["01", "08"].contains(&fields[3])
    })
}
