//! A control instance of the pass-through gateway: documents, registry and directory.

use crate::{
    gateway::{
        control_call::{CallFault, CallerPlace, ControlCall, ControlDialect, ControlReply},
        document_check::check_document,
        document_state::{DocumentCommand, StoredDocument},
        follow::{FollowTasks, NewsFollower},
        group_keeper::GroupKeeper,
        listing::list_near,
        news::{
            ControlRecord, DepartedUpstream, FleetNews, NewsCursor, NewsQuery, NewsReader,
            RegionSummary, RegisteredUpstream,
        },
        region_load::EntryLoad,
        registry::{FleetRegistry, RenewalOutcome},
        settings::GatewayNode,
    },
    group_transport::GroupRegistry,
    http::{self, AnswerBody, ListenerLimits, json_answer, read_body, text_answer},
    instance::serve_fleet,
    name::{RegionName, UpstreamName, ZoneName},
    peer::{PeerClients, PeerError},
    replicated::GroupError,
};
use hyper::{Request, Response, StatusCode, body::Incoming};
use std::{
    collections::{BTreeSet, HashMap},
    future::Future,
    io,
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};
use tokio::{
    sync::watch,
    task::JoinSet,
    time::{Instant, sleep, timeout, timeout_at},
};

/// Most bytes of a call; a document has some hundred bytes a route.
const CALL_BYTES: usize = 16 * 1024 * 1024;

/// Longest time to read a call.
const CALL_BOUND: Duration = Duration::from_secs(5);

/// Longest time to confirm a read by a majority; operators ask another instance after a second.
const READ_BOUND: Duration = Duration::from_millis(900);

/// Time between two looks at who has been silent.
const EXPIRE_PERIOD: Duration = Duration::from_millis(250);

/// Longest wait of another control instance for news.
const CONTROL_WAIT_MS: u32 = 900;

/// Time for which a stopping instance still answers, so that calls under way get their answer.
const STOP_GRACE: Duration = Duration::from_millis(500);

/// What other instances ask of a control instance.
pub(crate) trait NewsService: std::fmt::Debug + Send + Sync {
    /// Answers a question for news, at the latest when its wait is over.
    fn answer_news(
        self: Arc<Self>,
        query: NewsQuery,
    ) -> Pin<Box<dyn Future<Output = FleetNews> + Send>>;
}

/// State of one control instance.
#[derive(Debug)]
pub struct FleetControl {
    node: Arc<GatewayNode>,
    own: ControlRecord,
    registry: Mutex<FleetRegistry>,
    keeper: GroupKeeper,
    changed: watch::Sender<u64>,
    cursors: Mutex<HashMap<SocketAddr, NewsCursor>>,
    seeds: Mutex<Vec<SocketAddr>>,
    stopping: AtomicBool,
}

impl FleetControl {
    fn new(node: Arc<GatewayNode>, own: ControlRecord, keeper: GroupKeeper) -> Self {
        let changed = keeper.watch_sender();
        let registry =
            FleetRegistry::new(own.clone(), rand::random(), node.zones.clone(), node.renewal());
        Self {
            seeds: Mutex::new(node.seeds.clone()),
            node,
            own,
            registry: Mutex::new(registry),
            keeper,
            changed,
            cursors: Mutex::default(),
            stopping: AtomicBool::new(false),
        }
    }

    fn registry(&self) -> MutexGuard<'_, FleetRegistry> {
        self.registry.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn cursors(&self) -> MutexGuard<'_, HashMap<SocketAddr, NewsCursor>> {
        self.cursors.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Changes the registry, and wakes those who wait for news if that changed anything.
    fn change_registry<T>(&self, change: impl FnOnce(&mut FleetRegistry) -> T) -> T {
        let mut registry = self.registry();
        let before = registry.cursor();
        let result = change(&mut registry);
        let changed = registry.cursor() != before;
        drop(registry);
        if changed {
            self.changed.send_modify(|count| *count += 1);
        }
        result
    }

    /// Performs a call of an upstream, an operator or a caller.
    pub async fn perform(&self, call: ControlCall) -> ControlReply {
        match call {
            ControlCall::Renew(upstream) => self.renew(*upstream),
            ControlCall::Leave(name) => self.leave(&name),
            ControlCall::Replace(document) => self.replace(document).await,
            ControlCall::Read => self.read_document().await,
            ControlCall::Evacuate(zone) => self.change_zone(zone, DocumentCommand::Evacuate).await,
            ControlCall::Restore(zone) => self.change_zone(zone, DocumentCommand::Restore).await,
            ControlCall::List(place) => self.list_entries(&place),
        }
    }

    fn renew(&self, upstream: RegisteredUpstream) -> ControlReply {
        let now = Instant::now();
        let zone = upstream.zone.clone();
        self.change_registry(|registry| {
            let Some(region) = registry.region(&zone).cloned() else {
                return ControlReply::Fault(CallFault::Invalid(Vec::new()));
            };
            // A renewal that no entry would learn of is left to an instance that they hear.
            if !registry.reaches(&region) {
                return ControlReply::Unavailable("no entry of the upstream's region is in reach");
            }
            match registry.renew(upstream, now) {
                RenewalOutcome::Taken | RenewalOutcome::Outdated => {
                    ControlReply::Renewed(registry.nearest_registry(&zone))
                }
                RenewalOutcome::UnknownZone => ControlReply::Fault(CallFault::Invalid(Vec::new())),
            }
        })
    }

    fn leave(&self, name: &UpstreamName) -> ControlReply {
        let now = Instant::now();
        match self.change_registry(|registry| registry.leave(name, now)) {
            true => ControlReply::Left,
            false => ControlReply::Unavailable("the upstream is not registered here"),
        }
    }

    async fn replace(&self, stored: StoredDocument) -> ControlReply {
        let faults = check_document(&stored.document);
        if !faults.is_empty() {
            let first = faults[0].to_string();
            log::warn!(
                document = stored.number(), faults = faults.len(), first = first.as_str();
                "document refused"
            );
            return ControlReply::Fault(CallFault::Invalid(faults));
        }
        let held = self.keeper.state().number();
        if held > 0 && stored.number() <= held {
            return ControlReply::Replaced(held);
        }
        let number = stored.number();
        self.reply_change(number, self.keeper.change(DocumentCommand::Replace(stored)).await)
    }

    async fn change_zone(
        &self,
        zone: ZoneName,
        command: impl FnOnce(ZoneName) -> DocumentCommand,
    ) -> ControlReply {
        if !self.node.zones.contains_key(&zone) {
            return ControlReply::Fault(CallFault::NotFound);
        }
        match self.reply_change(0, self.keeper.change(command(zone)).await) {
            ControlReply::Replaced(_) => ControlReply::ZoneChanged,
            reply => reply,
        }
    }

    fn reply_change(&self, number: u64, changed: Result<u64, GroupError>) -> ControlReply {
        match changed {
            Ok(in_force) => ControlReply::Replaced(in_force),
            Err(error) => {
                log::warn!(document = number; "order not acknowledged: {error}");
                match error {
                    GroupError::OutcomeUnknown => ControlReply::Unknown,
                    _ => ControlReply::Unavailable("no majority of control can be reached"),
                }
            }
        }
    }

    async fn read_document(&self) -> ControlReply {
        match self.keeper.read(READ_BOUND).await {
            Ok(state) => match state.newest() {
                Some(stored) => ControlReply::Document(Arc::clone(&stored.source)),
                None => ControlReply::NoDocument,
            },
            Err(error) => {
                log::info!("document not read: {error}");
                ControlReply::Unavailable("no majority of control confirms the document")
            }
        }
    }

    fn list_entries(&self, place: &CallerPlace) -> ControlReply {
        let listed = list_near(self.registry().live_entries(), place, &self.node.zones);
        ControlReply::Entries(listed, Duration::from_millis(self.node.listing_ms))
    }

    fn make_news(&self, query: &NewsQuery, confirmed: bool) -> FleetNews {
        let now = Instant::now();
        let state = self.keeper.state();
        let registry = self.registry();
        let cursor = query.cursor;
        let newer_zones = state.evacuated().version > query.evacuated;
        let newer = |number: u64| !query.number_only && number > query.document;
        let newest = state.newest().filter(|stored| newer(stored.number()));
        let shared = |region: Option<&RegionName>, for_control: bool| FleetNews {
            controls_heard: registry.controls_heard(),
            cursor: registry.cursor(),
            confirmed,
            upstreams: registry.changed_upstreams(cursor, region, now),
            entries: registry.changed_entries(cursor, for_control, now),
            controls: registry.changed_controls(cursor),
            evacuated: newer_zones.then(|| state.evacuated().clone()),
            ..FleetNews::default()
        };
        let summarize = |reader: &RegionName| -> Vec<RegionSummary> {
            let zones = &state.evacuated().zones;
            let told = registry.reported_regions(reader);
            told.iter().map(|region| registry.summarize(region, zones, now)).collect()
        };
        match &query.reader {
            NewsReader::Control(control) => FleetNews {
                evacuated: None,
                summaries: summarize(&control.region),
                ..shared(None, true)
            },
            NewsReader::Entry(entry) => {
                let near = entry.region == self.own.region;
                let mut summaries = summarize(&entry.region);
                if near {
                    summaries.extend(registry.relayed_summaries(now));
                }
                let (work, demand) = if near {
                    let work = registry.sum_work(&entry.region, Some(&entry.instance), now);
                    (Some(work), registry.sum_demand(&entry.region, now))
                } else {
                    (None, Vec::new())
                };
                FleetNews {
                    document_number: state.number(),
                    document: newest.map(|stored| Arc::clone(&stored.document)),
                    summaries,
                    work,
                    demand,
                    ..shared(Some(&entry.region), false)
                }
            }
        }
    }

    fn has_news(&self, query: &NewsQuery) -> bool {
        let state = self.keeper.state();
        let reads_state = matches!(query.reader, NewsReader::Entry(_));
        let newer = state.number() > query.document || state.evacuated().version > query.evacuated;
        (reads_state && newer) || self.registry().has_news(query.cursor)
    }

    async fn wait_news(&self, query: &NewsQuery) {
        let until = Instant::now() + Duration::from_millis(u64::from(query.wait_ms));
        let mut changed = self.changed.subscribe();
        loop {
            changed.mark_unchanged();
            if self.has_news(query) || timeout_at(until, changed.changed()).await.is_err() {
                return;
            }
        }
    }

    async fn answer(&self, mut query: NewsQuery) -> FleetNews {
        let now = Instant::now();
        let work = std::mem::take(&mut query.work);
        let load = EntryLoad { work, demand: std::mem::take(&mut query.demand) };
        self.change_registry(|registry| {
            match &query.reader {
                NewsReader::Entry(entry) => registry.report_entry(entry.clone(), load, now),
                NewsReader::Control(control) => registry.report_control(control.clone(), now),
            }
            for DepartedUpstream(name, started_ms) in &query.departed {
                registry.note_departed(name, *started_ms);
            }
        });
        let confirmed = query.confirm && self.keeper.read(READ_BOUND).await.is_ok();
        if !query.confirm {
            self.wait_news(&query).await;
        }
        self.make_news(&query, confirmed)
    }

    /// Notes who has been silent, until its task is dropped.
    async fn expire(&self) {
        loop {
            sleep(EXPIRE_PERIOD).await;
            let version = self.keeper.state().evacuated().version;
            self.change_registry(|registry| {
                registry.note_evacuated(version);
                registry.expire(Instant::now());
            });
        }
    }

    /// Keeps asking the other control instances, until its task is dropped.
    async fn follow_others(self: &Arc<Self>, clients: Arc<PeerClients>) {
        let mut tasks = FollowTasks::default();
        loop {
            let known = self.registry().other_controls().map(|other| other.peer_address).collect();
            let mut addresses: BTreeSet<_> = known;
            addresses.extend(&*self.seeds.lock().unwrap_or_else(PoisonError::into_inner));
            addresses.remove(&self.own.peer_address);
            tasks.set(addresses, self, &clients);
            sleep(EXPIRE_PERIOD).await;
        }
    }

    /// State for operators.
    fn describe(&self) -> serde_json::Value {
        let state = self.keeper.state();
        serde_json::json!({
            "instance": self.node.instance,
            "document": state.number(),
            "evacuated": state.evacuated(),
            "group": self.keeper.describe(),
            "entries": self.registry().live_entries().collect::<Vec<_>>(),
            "controls": self.registry().other_controls().collect::<Vec<_>>(),
        })
    }
}

impl NewsService for FleetControl {
    fn answer_news(
        self: Arc<Self>,
        query: NewsQuery,
    ) -> Pin<Box<dyn Future<Output = FleetNews> + Send>> {
        Box::pin(async move { self.answer(query).await })
    }
}

impl NewsFollower for FleetControl {
    fn ask(&self, address: SocketAddr) -> NewsQuery {
        NewsQuery {
            reader: NewsReader::Control(self.own.clone()),
            cursor: self.cursors().get(&address).copied().unwrap_or_default(),
            document: 0,
            evacuated: 0,
            wait_ms: CONTROL_WAIT_MS,
            confirm: false,
            number_only: true,
            work: Vec::new(),
            demand: Vec::new(),
            departed: Vec::new(),
        }
    }

    fn take(&self, address: SocketAddr, news: FleetNews) {
        let now = Instant::now();
        self.cursors().insert(address, news.cursor);
        let FleetNews { upstreams, entries, controls, summaries, .. } = news;
        self.change_registry(|registry| {
            registry.hear_control(address, now);
            registry.store_summaries(summaries, now);
            // Only the answering instance speaks of itself; the others are asked on their own.
            for (place, control) in controls.into_iter().enumerate() {
                if place == 0 || !registry.knows_control(control.peer_address) {
                    registry.report_control(control, now);
                }
            }
            registry.merge(address, upstreams, entries, now);
        });
    }

    fn lose(&self, address: SocketAddr, error: &PeerError) {
        log::warn!(control = address.to_string(); "control instance does not answer: {error}");
    }
}

/// A running control instance.
#[derive(Debug)]
pub struct ControlServer {
    control: Arc<FleetControl>,
    close: watch::Sender<bool>,
    tasks: JoinSet<()>,
}

impl ControlServer {
    /// Starts a control instance whose callers speak `dialect`, on the current runtime.
    pub async fn start(node: GatewayNode, dialect: Arc<dyn ControlDialect>) -> io::Result<Self> {
        let node = Arc::new(node);
        let clients = Arc::new(PeerClients::new(Some(node.peer_listen.ip())));
        let groups = Arc::new(GroupRegistry::default());
        let registry_address = node.registry_listen.ok_or_else(|| missing("registry_listen"))?;
        let own = ControlRecord {
            peer_address: node.peer_address(),
            registry_address,
            region: node.region.clone(),
            zone: node.zone.clone(),
        };
        let (changed, _) = watch::channel(0);
        let keeper =
            GroupKeeper::new(Arc::clone(&node), Arc::clone(&clients), Arc::clone(&groups), changed);
        let control = Arc::new(FleetControl::new(Arc::clone(&node), own, keeper));
        let mut tasks = JoinSet::new();
        let peers = http::bind(node.peer_listen).await?;
        let service: Arc<dyn NewsService> = Arc::<FleetControl>::clone(&control);
        tasks.spawn(serve_fleet(peers, groups, service));
        let (close, closed) = watch::channel(false);
        for address in [Some(registry_address), node.directory_listen].into_iter().flatten() {
            let listener = http::bind(address).await?;
            let control = Arc::clone(&control);
            let dialect = Arc::clone(&dialect);
            let handler = move |_, request| {
                answer_control(Arc::clone(&control), Arc::clone(&dialect), request)
            };
            let limits = ListenerLimits::default();
            tasks.spawn(http::serve(listener, limits, closed.clone(), handler));
        }
        let status = http::bind(node.status_listen).await?;
        let described = Arc::clone(&control);
        let handler = move |_, request| answer_status(Arc::clone(&described), request);
        tasks.spawn(http::serve(status, ListenerLimits::default(), closed, handler));
        let runner = Arc::clone(&control);
        tasks.spawn(async move { runner.keeper.run().await });
        let runner = Arc::clone(&control);
        tasks.spawn(async move { runner.expire().await });
        let runner = Arc::clone(&control);
        tasks.spawn(async move { runner.follow_others(clients).await });
        log::info!(founding = node.founding, seeds = node.seeds.len(); "control started");
        Ok(Self { control, close, tasks })
    }

    /// The instance's state.
    pub fn control(&self) -> &Arc<FleetControl> {
        &self.control
    }

    /// Replaces the addresses of other control instances from the settings.
    pub fn set_seeds(&self, seeds: &[SocketAddr]) {
        log::info!(seeds = seeds.len(); "settings reloaded");
        let mut known = self.control.seeds.lock().unwrap_or_else(PoisonError::into_inner);
        *known = seeds.to_vec();
    }

    /// Hands leadership over and ends.
    pub async fn stop(mut self) {
        log::info!("control stopping");
        self.control.stopping.store(true, Ordering::Relaxed);
        let bound = self.control.node.stop_bound() / 2;
        if timeout(bound, self.control.keeper.hand_over()).await.is_err() {
            log::warn!("leadership not handed over");
        }
        sleep(STOP_GRACE).await;
        self.close.send_replace(true);
        sleep(STOP_GRACE).await;
        self.tasks.abort_all();
        log::info!("control stopped");
    }
}

fn missing(setting: &str) -> io::Error {
    io::Error::other(format!("setting {setting} is required for a control instance"))
}

async fn answer_control(
    control: Arc<FleetControl>,
    dialect: Arc<dyn ControlDialect>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let (head, body) = request.into_parts();
    let body = match read_body(body, CALL_BYTES, CALL_BOUND).await {
        Ok(body) => body,
        Err(error) => {
            log::info!("call to control not read: {error:?}");
            return text_answer(StatusCode::BAD_REQUEST, "the call was not read\n");
        }
    };
    let reply = match dialect.read_control(&head.method, &head.uri, &body) {
        Ok(call)
            if control.stopping.load(Ordering::Relaxed)
                && !matches!(call, ControlCall::List(_)) =>
        {
            ControlReply::Unavailable("the instance is stopping")
        }
        Ok(call) => control.perform(call).await,
        Err(fault) => {
            log::info!(path = head.uri.path(); "call to control refused: {fault:?}");
            ControlReply::Fault(fault)
        }
    };
    dialect.write_control(reply)
}

async fn answer_status(
    control: Arc<FleetControl>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    match request.uri().path() {
        "/healthz" => text_answer(StatusCode::OK, "ok\n"),
        "/v1/status" => json_answer(StatusCode::OK, &control.describe()),
        "/metrics" => text_answer(StatusCode::OK, control.render_metrics()),
        _ => text_answer(StatusCode::NOT_FOUND, "no such path\n"),
    }
}

impl FleetControl {
    /// Figures of the instance in the text format that scrapers read.
    fn render_metrics(&self) -> String {
        let state = self.keeper.state();
        let registry = self.registry();
        let entries = registry.live_entries().count();
        let controls = registry.other_controls().count();
        format!(
            "cicadastall_control_document {}\ncicadastall_control_evacuations {}\n\
             cicadastall_control_entries {entries}\ncicadastall_control_others {controls}\n",
            state.number(),
            state.evacuated().version,
        )
    }
}
