//! Control instance of the pass-through gateway: route documents, registry and directory.

mod quota_lending;
mod status;
mod withdrawals;

use crate::{
    clock::BootInstant,
    gateway::{
        agreement::{
            document_state::{DocumentCommand, DocumentState, StoredDocument},
            group_supervisor::GroupSupervisor,
        },
        control::{quota_lending::LendingDesk, status::answer_status},
        decision::{
            listing::{CallerLocation, ListingInput, ListingShare, list_near_by_weight},
            quota_ledger::{LoanQuery, LoanReply},
        },
        document::document_check::{check_document, check_workspaces},
        edge::{
            control_bodies::{BodyAdmission, BodyRefusal},
            control_call::{CallFault, ControlCall, ControlDialect, ControlReply, NO_ENTRY_LISTED},
        },
        knowledge::{
            conditions::ConditionRecord,
            document_lease::ReadRecord,
            fleet_update::{
                ControlRecord, DepartedUpstream, FleetCursor, FleetQuery, FleetReader, FleetUpdate,
                RegionSummary, RegisteredUpstream, UpstreamPhase,
            },
            origin_table::OriginStore,
            poll_tasks::{FleetSubscriber, PollTasks},
            reach::UnreachedPools,
            region_load::EntryLoad,
            registry::{CONTROL_TIMEOUT, DISCOVERY_TIME, FleetRegistry, RenewalOutcome},
            software_history::ServedSoftware,
            stream_origins::{
                ORIGIN_LIFETIME, OriginBatch, OriginQuery, OriginReply, StreamOrigin,
            },
        },
        request::origin_sender::{SendMode, SendTasks},
        settings::GatewaySettings,
    },
    group_transport::GroupRegistry,
    http::{self, AnswerBody, ListenerLimits, text_answer},
    instance::serve_fleet,
    name::{RegionName, UpstreamName, ZoneName},
    peer::{PeerClients, PeerError},
    replicated::GroupError,
};
use hyper::{Request, Response, StatusCode, body::Incoming};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
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

/// Time limit for confirming a read by a majority; operators try another instance after one second.
pub(in crate::gateway) const CONFIRM_TIMEOUT: Duration = Duration::from_millis(900);

/// Longest interval of confirmed reads, from which the leases of entries follow.
const CONFIRM_INTERVAL: Duration = Duration::from_millis(400);

/// Confirmed reads are at most the bound on the revocation of keys divided by this apart.
const CONFIRM_DIVISOR: u32 = 10;

/// Interval at which timeouts are checked and the set of polled instances is updated.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(250);

/// Maximum wait of a poll between control instances, in milliseconds.
const CONTROL_POLL_WAIT_MS: u32 = 900;

/// Time for which a stopping instance still answers, so that calls in flight complete.
const STOP_GRACE: Duration = Duration::from_millis(500);

/// Maximum number of records of streams' origins: twice those of 2,200 streams per second.
pub const MAX_ORIGINS: usize = 2 * 2_200 * ORIGIN_LIFETIME.as_secs() as usize;

/// Delay from a record of an entry until it is sent to the other control instances.
const ORIGIN_SEND_DELAY: Duration = Duration::from_millis(100);

/// Time within which a majority of control instances must have been heard to name the only software
/// version of a pool; polls between control instances return at least once a second.
const SOLE_CONTACT_LIMIT: Duration = Duration::from_millis(1_500);

/// Service of a control instance for entries and other control instances.
pub(crate) trait FleetService: std::fmt::Debug + Send + Sync {
    /// Answers a query once there are changes, at the latest after its maximum wait.
    fn answer_query(
        self: Arc<Self>,
        query: FleetQuery,
    ) -> Pin<Box<dyn Future<Output = FleetUpdate> + Send>>;

    /// Merges origins of streams; returns the identifier of this process.
    fn record_origins(&self, batch: OriginBatch) -> u64;

    /// Looks up the origin of a stream.
    fn find_origin(&self, query: &OriginQuery) -> OriginReply;

    /// Lends quotas to an entry, or names the instance that does.
    fn lend_shares(&self, query: &LoanQuery) -> LoanReply;
}

/// State of one control instance.
#[derive(Debug)]
pub struct FleetControl {
    pub(in crate::gateway) node: Arc<GatewaySettings>,
    own: ControlRecord,
    registry: Mutex<FleetRegistry>,
    pub(in crate::gateway) supervisor: GroupSupervisor,
    pub(in crate::gateway) changed: watch::Sender<u64>,
    cursors: Mutex<HashMap<SocketAddr, FleetCursor>>,
    /// Number of the newest document of each other control instance.
    documents: Mutex<HashMap<SocketAddr, u64>>,
    seeds: Mutex<Vec<SocketAddr>>,
    pub(in crate::gateway) origins: Arc<OriginStore>,
    stopping: AtomicBool,
    bodies: BodyAdmission,
    /// The newest read of the document that a majority confirmed.
    confirmed_read: Mutex<Option<ReadRecord>>,
    pub(in crate::gateway) lending: LendingDesk,
    started_at: Instant,
}

impl FleetControl {
    fn new(node: Arc<GatewaySettings>, own: ControlRecord, supervisor: GroupSupervisor) -> Self {
        let changed = supervisor.watch_sender();
        let registry =
            FleetRegistry::new(own.clone(), rand::random(), node.zones.clone(), node.renewal());
        Self {
            seeds: Mutex::new(node.seeds.clone()),
            node,
            own,
            registry: Mutex::new(registry),
            supervisor,
            changed,
            cursors: Mutex::default(),
            documents: Mutex::default(),
            origins: Arc::new(OriginStore::new(MAX_ORIGINS)),
            stopping: AtomicBool::new(false),
            bodies: BodyAdmission::default(),
            confirmed_read: Mutex::default(),
            lending: LendingDesk::default(),
            started_at: Instant::now(),
        }
    }

    pub(in crate::gateway) fn registry(&self) -> MutexGuard<'_, FleetRegistry> {
        self.registry.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn cursors(&self) -> MutexGuard<'_, HashMap<SocketAddr, FleetCursor>> {
        self.cursors.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn documents(&self) -> MutexGuard<'_, HashMap<SocketAddr, u64>> {
        self.documents.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies `change` to the registry, and wakes waiting queries if it changed anything.
    pub(in crate::gateway) fn change_registry<T>(
        &self,
        change: impl FnOnce(&mut FleetRegistry) -> T,
    ) -> T {
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

    /// Performs a request of an upstream, an operator or a caller.
    pub async fn perform(&self, call: ControlCall) -> ControlReply {
        match call {
            ControlCall::Renew(upstream) => self.renew(*upstream).await,
            ControlCall::Deregister(name) => self.deregister(&name).await,
            ControlCall::Replace(document) => self.replace(document).await,
            ControlCall::Read => self.read_document().await,
            ControlCall::Evacuate(zone) => self.change_zone(zone, DocumentCommand::Evacuate).await,
            ControlCall::Restore(zone) => self.change_zone(zone, DocumentCommand::Restore).await,
            ControlCall::List(location) => self.list_entries(&location),
        }
    }

    async fn renew(&self, upstream: RegisteredUpstream) -> ControlReply {
        let renewed = Arc::new(upstream);
        let reply = self.register(&renewed);
        match reply {
            ControlReply::Renewed(_) if renewed.phase != UpstreamPhase::Serving => {
                self.confirm_withdrawal(renewed, reply).await
            }
            reply => reply,
        }
    }

    fn register(&self, upstream: &RegisteredUpstream) -> ControlReply {
        let now = Instant::now();
        self.change_registry(|registry| {
            let Some(region) = registry.region(&upstream.zone).cloned() else {
                return ControlReply::Fault(CallFault::Invalid(Vec::new()));
            };
            // Refused, so that the upstream renews at an instance whose changes reach entries.
            if !registry.reaches(&region) {
                return ControlReply::Unavailable("no entry of the upstream's region is in reach");
            }
            match registry.renew(upstream.clone(), now) {
                RenewalOutcome::Accepted | RenewalOutcome::Outdated => {
                    ControlReply::Renewed(registry.nearest_registry(&upstream.zone))
                }
                RenewalOutcome::UnknownZone | RenewalOutcome::UnknownPool => {
                    ControlReply::Fault(CallFault::Invalid(Vec::new()))
                }
                RenewalOutcome::Invalid(fault) => {
                    log::warn!(address:? = upstream.address; "renewal refused: {fault:?}");
                    ControlReply::Fault(CallFault::Invalid(vec![fault.describe()]))
                }
            }
        })
    }

    async fn deregister(&self, name: &UpstreamName) -> ControlReply {
        let now = Instant::now();
        match self.change_registry(|registry| registry.deregister(name, now)) {
            Some(gone) => self.confirm_withdrawal(gone, ControlReply::Deregistered).await,
            None => ControlReply::Unavailable("the upstream is not registered here"),
        }
    }

    async fn replace(&self, stored: StoredDocument) -> ControlReply {
        let mut faults = check_document(&stored.document);
        let regions = self.node.zones.values().collect();
        faults.extend(check_workspaces(&stored.document, &regions));
        if !faults.is_empty() {
            let first = faults[0].to_string();
            log::warn!(
                document = stored.number(), faults = faults.len(), first = first.as_str();
                "document refused"
            );
            return ControlReply::Fault(CallFault::Invalid(faults));
        }
        let held = self.supervisor.state().number();
        if held > 0 && stored.number() <= held {
            return ControlReply::Replaced(held);
        }
        if held == 0 {
            self.check_first_document().await;
        }
        let number = stored.number();
        self.change_reply(number, self.supervisor.change(DocumentCommand::Replace(stored)).await)
    }

    /// Completes the history of software versions if a majority confirms that there is no document,
    /// without which no entry begins a stream.
    async fn check_first_document(&self) {
        match self.supervisor.read(CONFIRM_TIMEOUT).await {
            Ok(state) if state.newest().is_none() => {
                self.registry().history().set_complete(Instant::now());
            }
            Ok(_) => {}
            Err(error) => log::info!("absence of a document not confirmed: {error}"),
        }
    }

    async fn change_zone(
        &self,
        zone: ZoneName,
        command: impl FnOnce(ZoneName) -> DocumentCommand,
    ) -> ControlReply {
        if !self.node.zones.contains_key(&zone) {
            return ControlReply::Fault(CallFault::NotFound);
        }
        match self.change_reply(0, self.supervisor.change(command(zone)).await) {
            ControlReply::Replaced(_) => ControlReply::ZoneChanged,
            reply => reply,
        }
    }

    fn change_reply(&self, number: u64, changed: Result<u64, GroupError>) -> ControlReply {
        match changed {
            Ok(in_force) => ControlReply::Replaced(in_force),
            Err(error) => {
                log::warn!(document = number; "change not confirmed: {error}");
                match error {
                    GroupError::OutcomeUnknown => ControlReply::Unknown,
                    _ => ControlReply::Unavailable("no majority of control can be reached"),
                }
            }
        }
    }

    async fn read_document(&self) -> ControlReply {
        match self.read_confirmed().await {
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

    fn list_entries(&self, location: &CallerLocation) -> ControlReply {
        let state = self.supervisor.state();
        // Without a document, the homes of the caller's requests are unknown.
        let Some(stored) = state.newest() else {
            return ControlReply::Unavailable(NO_ENTRY_LISTED);
        };
        let homes = location.host.as_deref().map(|host| stored.document.host_homes(host));
        let input = ListingInput {
            location,
            homes: &homes.unwrap_or_default(),
            zones: &self.node.zones,
            complete: self.started_at.elapsed() > DISCOVERY_TIME,
        };
        let registry = self.registry();
        let weights = registry.entry_weights();
        let share = ListingShare { weights: &weights, offset: rand::random() };
        let listed = list_near_by_weight(registry.live_entries(), &input, &share);
        drop(registry);
        if listed.addresses.is_empty() {
            return ControlReply::Unavailable(NO_ENTRY_LISTED);
        }
        ControlReply::Entries(listed.addresses, Duration::from_millis(self.node.listing_ms))
    }

    fn build_update(&self, query: &FleetQuery, confirmed: bool) -> FleetUpdate {
        let now = Instant::now();
        let state = self.supervisor.state();
        let expected = self.expected_controls();
        let mut registry = self.registry();
        let reports =
            query.asks_history && registry.hears_majority(expected, SOLE_CONTACT_LIMIT, now);
        let history = reports.then(|| registry.history().report(now)).flatten();
        let cursor = query.cursor;
        let newer_zones = state.evacuated().version > query.evacuated;
        let newer = |number: u64| !query.number_only && number > query.document;
        let newest = state.newest().filter(|stored| newer(stored.number()));
        let reported = self.documents().values().copied().max().unwrap_or_default();
        let (suspects_until_whole, suspects): (Vec<_>, Vec<_>) = registry
            .changed_suspects(cursor, now)
            .into_iter()
            .partition(|record| record.until_whole);
        let shared = |region: Option<&RegionName>, for_control: bool| FleetUpdate {
            controls_heard: registry.count_controls(),
            document_number: state.number(),
            cursor: registry.cursor(),
            confirmed,
            upstreams: registry.changed_upstreams(cursor, region, now),
            entries: registry.changed_entries(cursor, for_control, now),
            controls: registry.changed_controls(cursor),
            suspects: suspects.clone(),
            suspects_until_whole: suspects_until_whole.clone(),
            evacuated: newer_zones.then(|| state.evacuated().clone()),
            ..FleetUpdate::default()
        };
        let summarize = |reader: &RegionName| -> Vec<RegionSummary> {
            let zones = &state.evacuated().zones;
            let regions = registry.reported_regions(reader);
            regions.iter().map(|region| registry.summarize(region, zones, now)).collect()
        };
        match &query.reader {
            FleetReader::Control(control) => FleetUpdate {
                evacuated: None,
                summaries: summarize(&control.region),
                history,
                ..shared(None, true)
            },
            FleetReader::Entry(entry) => {
                let local = entry.region == self.own.region;
                let mut summaries = summarize(&entry.region);
                if local {
                    summaries.extend(registry.relayed_summaries(now));
                }
                let (work, demand) = if local {
                    let work = registry.sum_work(&entry.region, Some(&entry.instance), now);
                    (Some(work), registry.sum_demand(&entry.region, now))
                } else {
                    (None, Vec::new())
                };
                FleetUpdate {
                    reported_number: reported,
                    document: newest.map(|stored| Arc::clone(&stored.document)),
                    summaries,
                    work,
                    demand,
                    ..shared(Some(&entry.region), false)
                }
            }
        }
    }

    fn has_changes(&self, query: &FleetQuery) -> bool {
        let state = self.supervisor.state();
        let newer = match query.reader {
            FleetReader::Entry(_) => {
                state.number() > query.document || state.evacuated().version > query.evacuated
            }
            // Earlier versions name no document.
            FleetReader::Control(_) => query.document > 0 && state.number() > query.document,
        };
        newer || self.registry().has_changes(query.cursor)
    }

    async fn wait_for_changes(&self, query: &FleetQuery) {
        let until = Instant::now() + Duration::from_millis(u64::from(query.wait_ms));
        let mut changed = self.changed.subscribe();
        loop {
            changed.mark_unchanged();
            if self.has_changes(query) || timeout_at(until, changed.changed()).await.is_err() {
                return;
            }
        }
    }

    async fn process_query(&self, mut query: FleetQuery) -> FleetUpdate {
        let (arrived, now) = (BootInstant::now(), Instant::now());
        let work = std::mem::take(&mut query.work);
        let demand = std::mem::take(&mut query.demand);
        let load = EntryLoad {
            work,
            demand,
            unreached: std::mem::take(&mut query.unreached),
            capacity: query.capacity.take(),
            speeds: std::mem::take(&mut query.speeds),
        };
        let mut suspects = std::mem::take(&mut query.suspects);
        suspects.append(&mut query.suspects_until_whole);
        self.change_registry(|registry| {
            registry.merge_suspects(suspects, now);
            match &query.reader {
                FleetReader::Entry(entry) => registry.report_entry(entry.clone(), load, now),
                FleetReader::Control(control) => registry.report_control(control.clone(), now),
            }
            for DepartedUpstream(name, started_ms) in &query.departed {
                registry.mark_departed(name, *started_ms);
            }
            for ConditionRecord(name, condition) in &query.conditions {
                registry.merge_condition(name, *condition);
            }
        });
        let confirmed = query.confirm && self.read_confirmed().await.is_ok();
        if !query.confirm {
            self.wait_for_changes(&query).await;
        }
        // Read before the document, which is then at least as new as the read saw.
        let read = self.bounds_revocation().then(|| self.confirmed_read()).flatten();
        let entry = matches!(query.reader, FleetReader::Entry(_));
        let update = self.build_update(&query, confirmed);
        let read = read.filter(|_| entry).map(|read| read.describe(arrived, BootInstant::now()));
        FleetUpdate { confirmed_read: read, ..update }
    }

    /// Reads the document, confirmed by a majority, and records when the read began.
    async fn read_confirmed(&self) -> Result<DocumentState, GroupError> {
        let began = BootInstant::now();
        let state = self.supervisor.read(CONFIRM_TIMEOUT).await?;
        let record = ReadRecord { began, number: state.number() };
        let mut newest = self.lock_confirmed_read();
        *newest = newest.filter(|newest| newest.began > began).or(Some(record));
        Ok(state)
    }

    /// The newest confirmed read.
    pub(in crate::gateway) fn confirmed_read(&self) -> Option<ReadRecord> {
        *self.lock_confirmed_read()
    }

    fn lock_confirmed_read(&self) -> MutexGuard<'_, Option<ReadRecord>> {
        self.confirmed_read.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether entries need confirmed reads: the revocation of keys is bounded, and there are keys.
    fn bounds_revocation(&self) -> bool {
        let state = self.supervisor.state();
        let keyed = state.newest().is_some_and(|stored| !stored.document.workspaces.is_empty());
        keyed && self.node.revocation_ms.is_some()
    }

    /// Keeps reading the document while the revocation of keys is bounded, until its task is dropped.
    async fn keep_confirming(&self) {
        let mut confirmed = true;
        loop {
            sleep(self.node.revocation().map_or(CONFIRM_INTERVAL, confirm_interval)).await;
            if !self.bounds_revocation() {
                continue;
            }
            let result = self.read_confirmed().await;
            match (confirmed, &result) {
                (true, Err(error)) => log::warn!("the document is not confirmed: {error}"),
                (false, Ok(state)) => {
                    log::info!(document = state.number(); "the document is confirmed again");
                }
                _ => {}
            }
            confirmed = result.is_ok();
        }
    }

    /// Expires registry rows periodically, until its task is dropped.
    async fn expire(&self) {
        loop {
            sleep(EXPIRY_INTERVAL).await;
            let state = self.supervisor.state();
            let expected = self.expected_controls();
            let now = Instant::now();
            self.change_registry(|registry| {
                registry.set_evacuated_version(state.evacuated().version);
                if let Some(stored) = state.newest() {
                    registry.set_document(Arc::clone(&stored.document));
                }
                registry.expire(now);
                if !registry.hears_majority(expected, CONTROL_TIMEOUT, now) {
                    registry.history().interrupt(now);
                }
                self.cursors().retain(|address, _| registry.is_known_control(*address));
                self.documents().retain(|address, _| registry.is_known_control(*address));
            });
            self.origins.table().expire(now);
        }
    }

    /// Number above which a document of the control instance at `address` is news; 0 without any.
    fn known_document(&self, address: SocketAddr) -> u64 {
        let reported = self.documents().get(&address).copied().unwrap_or_default();
        reported.max(self.supervisor.state().number())
    }

    /// Keeps polling the other control instances, until its task is dropped.
    async fn poll_peers(self: &Arc<Self>, clients: Arc<PeerClients>) {
        let mut tasks = PollTasks::default();
        let mut senders = SendTasks::default();
        let origin_clients = Arc::new(PeerClients::new(Some(self.node.peer_listen.ip())));
        loop {
            let addresses = self.peer_addresses();
            senders.set(&self.select_receivers(&addresses), &self.origins, &origin_clients);
            tasks.set(addresses, self, &clients);
            sleep(EXPIRY_INTERVAL).await;
        }
    }

    /// Peer addresses of all other control instances, including those in the settings.
    fn peer_addresses(&self) -> BTreeSet<SocketAddr> {
        let known = self.registry().other_controls().map(|other| other.peer_address).collect();
        let mut addresses: BTreeSet<_> = known;
        addresses.extend(&*self.seeds.lock().unwrap_or_else(PoisonError::into_inner));
        addresses.remove(&self.own.peer_address);
        addresses
    }

    /// Number of control instances in the settings, including this one.
    fn expected_controls(&self) -> usize {
        let seeds = self.seeds.lock().unwrap_or_else(PoisonError::into_inner);
        let others: BTreeSet<_> =
            seeds.iter().filter(|seed| **seed != self.own.peer_address).collect();
        others.len() + 1
    }

    /// The other control instances, to which this one sends origins of streams. A restarted one gets
    /// those that came from control instances from the first of the others that it does not lack.
    fn select_receivers(&self, addresses: &BTreeSet<SocketAddr>) -> BTreeMap<SocketAddr, SendMode> {
        self.origins.table().retain_receivers(addresses);
        let registry = self.registry();
        let own = self.own.peer_address;
        let modes = addresses.iter().map(|receiver| {
            let live = registry.other_controls().map(|other| other.peer_address);
            let complete = live.filter(|other| other != receiver).all(|other| own < other);
            (*receiver, SendMode { delay: ORIGIN_SEND_DELAY, forwarded: true, complete })
        });
        modes.collect()
    }

    /// Names the only software version of the only pool in `query` if this instance's history is
    /// complete and a majority of control instances was heard.
    fn find_sole(&self, query: &OriginQuery) -> OriginReply {
        let now = Instant::now();
        let expected = self.expected_controls();
        let mut registry = self.registry();
        let [pool] = &query.pools[..] else { return OriginReply::Unknown };
        match registry.history().served(pool, now) {
            ServedSoftware::Sole(software)
                if registry.hears_majority(expected, SOLE_CONTACT_LIMIT, now) =>
            {
                OriginReply::Sole(StreamOrigin { pool: pool.clone(), software })
            }
            ServedSoftware::Several => OriginReply::Several,
            ServedSoftware::Sole(_) | ServedSoftware::Unknown => OriginReply::Unknown,
        }
    }
}

impl FleetService for FleetControl {
    fn answer_query(
        self: Arc<Self>,
        query: FleetQuery,
    ) -> Pin<Box<dyn Future<Output = FleetUpdate> + Send>> {
        Box::pin(async move { self.process_query(query).await })
    }

    fn record_origins(&self, batch: OriginBatch) -> u64 {
        self.origins.merge(batch);
        self.registry().cursor().process
    }

    fn find_origin(&self, query: &OriginQuery) -> OriginReply {
        let table = self.origins.table();
        match table.find(query.key, Instant::now()) {
            Some(Some(origin)) => OriginReply::Recorded(origin.clone()),
            Some(None) => OriginReply::Several,
            None => {
                drop(table);
                self.find_sole(query)
            }
        }
    }

    fn lend_shares(&self, query: &LoanQuery) -> LoanReply {
        self.lend(query)
    }
}

impl FleetSubscriber for FleetControl {
    fn next_query(&self, address: SocketAddr) -> FleetQuery {
        FleetQuery {
            reader: FleetReader::Control(self.own.clone()),
            cursor: *self.cursors().entry(address).or_default(),
            document: self.known_document(address),
            evacuated: 0,
            wait_ms: CONTROL_POLL_WAIT_MS,
            confirm: false,
            number_only: true,
            work: Vec::new(),
            demand: Vec::new(),
            departed: Vec::new(),
            conditions: Vec::new(),
            unreached: UnreachedPools::new(),
            capacity: None,
            speeds: Vec::new(),
            suspects: Vec::new(),
            suspects_until_whole: Vec::new(),
            asks_history: !self.registry().history().is_complete(Instant::now()),
        }
    }

    fn accept_update(&self, address: SocketAddr, update: FleetUpdate, _asked_at: BootInstant) {
        let now = Instant::now();
        // Without a cursor, the instance was lost after the query was sent; the next one reads all.
        let restarted = self.cursors().get_mut(&address).is_some_and(|cursor| {
            std::mem::replace(cursor, update.cursor).process != update.cursor.process
        });
        self.documents().insert(address, update.document_number);
        let FleetUpdate { upstreams, entries, controls, summaries, history, .. } = update;
        let suspects = [update.suspects, update.suspects_until_whole].concat();
        self.origins.note_process(address, update.cursor.process);
        self.change_registry(|registry| {
            registry.merge_suspects(suspects, now);
            registry.mark_control_seen(address, now);
            registry.store_summaries(summaries, now);
            if restarted {
                registry.note_restart(address, now);
            }
            // The first record is that of the sender. Known instances are polled directly, so their
            // records from third parties are ignored.
            for (index, control) in controls.into_iter().enumerate() {
                if index == 0 || !registry.is_known_control(control.peer_address) {
                    registry.report_control(control, now);
                }
            }
            registry.merge(address, upstreams, entries, now);
            if let Some(history) = &history {
                registry.history().merge(history, now);
            }
        });
    }

    fn report_error(&self, address: SocketAddr, error: &PeerError) {
        log::warn!(control = address.to_string(); "control instance does not answer: {error}");
    }
}

/// A running control instance.
#[derive(Debug)]
pub struct ControlServer {
    control: Arc<FleetControl>,
    close: watch::Sender<bool>,
    listeners: JoinSet<()>,
    tasks: JoinSet<()>,
}

impl ControlServer {
    /// Starts a control instance on the current runtime, whose requests are decoded by `dialect`.
    ///
    /// Fails if `registry_listen` is not set, or if an address can't be bound.
    pub async fn start(
        node: GatewaySettings,
        dialect: Arc<dyn ControlDialect>,
    ) -> io::Result<Self> {
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
        let supervisor = GroupSupervisor::new(
            Arc::clone(&node),
            Arc::<dyn ControlDialect>::clone(&dialect),
            Arc::clone(&clients),
            Arc::clone(&groups),
            changed,
        );
        let control = Arc::new(FleetControl::new(Arc::clone(&node), own, supervisor));
        let mut tasks = JoinSet::new();
        let peers = http::bind(node.peer_listen).await?;
        let service: Arc<dyn FleetService> = Arc::<FleetControl>::clone(&control);
        tasks.spawn(serve_fleet(peers, groups, service));
        let (close, closed) = watch::channel(false);
        let mut listeners = JoinSet::new();
        for address in [Some(registry_address), node.directory_listen].into_iter().flatten() {
            let listener = http::bind(address).await?;
            let control = Arc::clone(&control);
            let dialect = Arc::clone(&dialect);
            let handler = move |_, request| {
                answer_control(Arc::clone(&control), Arc::clone(&dialect), request)
            };
            let limits = ListenerLimits::default();
            listeners.spawn(http::serve(listener, limits, closed.clone(), handler));
        }
        let status = http::bind(node.status_listen).await?;
        let described = Arc::clone(&control);
        let handler = move |_, request| answer_status(Arc::clone(&described), request);
        tasks.spawn(http::serve(status, ListenerLimits::default(), closed, handler));
        let runner = Arc::clone(&control);
        tasks.spawn(async move { runner.supervisor.run().await });
        let runner = Arc::clone(&control);
        tasks.spawn(async move { runner.apply_withdrawals().await });
        let runner = Arc::clone(&control);
        tasks.spawn(async move { runner.expire().await });
        if control.node.revocation_ms.is_some() {
            let runner = Arc::clone(&control);
            tasks.spawn(async move { runner.keep_confirming().await });
        }
        let runner = Arc::clone(&control);
        tasks.spawn(async move { runner.keep_lending().await });
        let runner = Arc::clone(&control);
        tasks.spawn(async move { runner.poll_peers(clients).await });
        log::info!(founding = node.founding, seeds = node.seeds.len(); "control started");
        Ok(Self { control, close, listeners, tasks })
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

    /// Transfers group leadership to another instance, leaves the group if it has voters to spare,
    /// finishes the calls in flight and stops.
    pub async fn stop(mut self) {
        log::info!("control stopping");
        self.control.stopping.store(true, Ordering::Relaxed);
        let bound = self.control.node.stop_bound() / 2;
        if timeout(bound, self.control.supervisor.leave()).await.is_err() {
            log::warn!("the document group was not left in time");
        }
        sleep(STOP_GRACE).await;
        self.close.send_replace(true);
        let ended = async { while self.listeners.join_next().await.is_some() {} };
        if timeout(bound.saturating_sub(STOP_GRACE * 2), ended).await.is_err() {
            log::warn!("calls are cut off");
        }
        self.tasks.abort_all();
        log::info!("control stopped");
    }
}

/// Interval of confirmed reads for a bound on the revocation of keys.
fn confirm_interval(bound: Duration) -> Duration {
    CONFIRM_INTERVAL.min(bound / CONFIRM_DIVISOR)
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
    let is_document = dialect.carries_document(&head.method, &head.uri);
    let body = match control.bodies.receive(body, is_document).await {
        Ok(body) => body,
        Err(BodyRefusal::Busy) => {
            return dialect.write_control(ControlReply::Unavailable("busy with other calls"));
        }
        Err(BodyRefusal::Unread(error)) => {
            log::info!("body of control request not read: {error:?}");
            return text_answer(StatusCode::BAD_REQUEST, "the call was not read\n");
        }
    };
    let decoded = dialect.read_control(&head.method, &head.uri, &body.bytes);
    drop(body);
    let reply = match decoded {
        Ok(call)
            if control.stopping.load(Ordering::Relaxed)
                && !matches!(call, ControlCall::List(_)) =>
        {
            ControlReply::Unavailable("the instance is stopping")
        }
        Ok(call) => control.perform(call).await,
        Err(fault) => {
            log::info!(path = head.uri.path(); "control request refused: {fault:?}");
            ControlReply::Fault(fault)
        }
    };
    dialect.write_control(reply)
}
