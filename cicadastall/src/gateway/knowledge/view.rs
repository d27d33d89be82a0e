//! An entry's view of the fleet, merged from the updates of all control instances.

use crate::{
    clock::from_millis,
    gateway::knowledge::{
        conditions::UpstreamCondition,
        entry_capacity::{EntryCapacity, EntryWeights},
        fleet_update::{
            ControlRecord, EntryUpdate, EvacuatedZones, FleetCursor, FleetUpdate, RegionSummary,
            RegisteredUpstream, UpstreamPhase, UpstreamUpdate, WorkRow,
        },
        owners::{EntryProcess, OwnerMap},
        pool_partition::PromptDemand,
        reach::UnreachedPools,
        registry::is_newer,
        upstream_check::check_upstream,
        warmup::hash_pair,
    },
    name::{InstanceName, PoolName, RegionName, UpstreamName, ZoneName},
    table::{EntryRecord, EntryState},
};
use std::{
    collections::{BTreeMap, BTreeSet, HashMap},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};
use tokio::time::Instant;

/// Time for which rows of a control process are kept after it restarted, as the registry of the new
/// process starts empty, or after polling of it stopped.
const RETAINED_ROW_LIFETIME: Duration = Duration::from_secs(10);

/// Time for which entries known from a control process are kept after it restarted, or after polling
/// of it stopped; live entries report to another process within it.
const RETAINED_ENTRY_LIFETIME: Duration = Duration::from_secs(3);

/// Time without a response after which a control instance that no other one lists is removed.
const CONTROL_RETENTION: Duration = Duration::from_secs(20);

/// Time without a response from any control instance of the region after which those of other
/// regions are polled too. Local ones answer a poll within 0.4 s, and changes must reach entries
/// within seconds.
const LOCAL_CONTROL_TIMEOUT: Duration = Duration::from_millis(1_300);

/// Time for which a control instance of this region may lack a document that others have, before those of
/// other regions are polled too. A replica that restores its state takes seconds.
const OUTDATED_TIMEOUT: Duration = Duration::from_millis(300);

/// Time after which a received summary or work report is ignored.
const LOAD_LIFETIME: Duration = Duration::from_secs(4);

/// Time after which a document fetch is retried at another instance; several times the transfer time
/// of the largest document over a link of 10 Mbit/s.
const FETCH_TIMEOUT: Duration = Duration::from_millis(1_500);

/// An upstream that accepts requests, according to control.
#[derive(Debug, Clone)]
pub struct KnownUpstream {
    /// Its newest renewal.
    pub upstream: Arc<RegisteredUpstream>,
    /// Arrival time of that renewal, by this instance's clock.
    pub seen_at: Instant,
    /// Whether its renewals have timed out.
    pub silent: bool,
    /// End of its warm-up, if it reported one.
    pub cold_until: Option<Instant>,
    /// Whether its zone was evacuated and no renewal has arrived since the evacuation ended.
    pub unconfirmed: bool,
    /// The newest condition of its process that entries observed.
    pub condition: Option<UpstreamCondition>,
}

/// Snapshot of the fleet.
#[derive(Debug, Default)]
pub struct FleetView {
    /// Serving upstreams of this region, by pool, in an order that is the same on all entries.
    pub pools: HashMap<PoolName, Vec<Arc<KnownUpstream>>>,
    /// Serving entries of this region, including this one, sorted by name.
    pub entries: Vec<InstanceName>,
    /// Entries of all regions that are not considered lost, including this one.
    pub live: Vec<EntryRecord>,
    /// Pools none of whose upstreams an entry reaches, by entry of this region.
    pub unreached: HashMap<InstanceName, UnreachedPools>,
    /// Largest number of entries in the whole fleet that was known at one time.
    pub fleet_entries: usize,
    /// Assignment of the region's engines to the entries that own them.
    pub owners: OwnerMap,
    /// Weights of the live entries by their capacities.
    pub weights: EntryWeights,
    /// Measured speeds of upstreams relative to the rated one; only those that differ from it.
    pub speeds: HashMap<UpstreamName, f64>,
}

impl FleetView {
    /// Restricts the view to the upstreams that `own` owns, with `own` as the only entry.
    pub fn shard_of(&self, own: &EntryRecord) -> FleetView {
        let process = EntryProcess::of(own);
        let owns = |pool: &PoolName, known: &Arc<KnownUpstream>| {
            let owner = self.owners.owner(pool, &known.upstream.name);
            owner.is_some_and(|owner| owner.process == process)
        };
        let pools = self.pools.iter().filter_map(|(pool, upstreams)| {
            let upstreams: Vec<_> =
                upstreams.iter().filter(|known| owns(pool, known)).cloned().collect();
            (!upstreams.is_empty()).then(|| (pool.clone(), upstreams))
        });
        FleetView {
            pools: pools.collect(),
            entries: vec![own.instance.clone()],
            live: Vec::new(),
            unreached: HashMap::new(),
            fleet_entries: self.fleet_entries,
            owners: OwnerMap::default(),
            weights: EntryWeights::default(),
            speeds: self.speeds.clone(),
        }
    }

    /// Start of the listed process that has the name and pool of `upstream`.
    pub fn find_start(&self, upstream: &RegisteredUpstream) -> Option<u64> {
        let listed = self.pools.get(&upstream.pool)?;
        let found = listed.iter().find(|known| known.upstream.name == upstream.name)?;
        Some(found.upstream.started_ms)
    }

    /// Whether an entry of this region reaches no upstream of `pool`, as it reported.
    pub fn is_unreached_by(&self, entry: &InstanceName, pool: &PoolName) -> bool {
        self.unreached.get(entry).is_some_and(|pools| pools.contains(pool))
    }

    /// Serving upstreams of this region, in all pools.
    pub fn upstreams(&self) -> impl Iterator<Item = &RegisteredUpstream> {
        self.known().map(|known| &*known.upstream)
    }

    /// Serving upstreams of this region, in all pools, with what control lists of them.
    pub fn known(&self) -> impl Iterator<Item = &KnownUpstream> {
        self.pools.values().flatten().map(|known| &**known)
    }
}

/// Load of upstreams and regions, which changes with every update.
#[derive(Debug, Default)]
pub struct LoadView {
    /// Work that other entries of the region have sent to each upstream: unfinished requests, and
    /// milliseconds of unread prompts.
    pub work: HashMap<UpstreamName, (u32, u32)>,
    /// When `work` was received.
    pub work_at: Option<Instant>,
    /// Demand that all entries of the region receive, by pool.
    pub demand: HashMap<PoolName, PromptDemand>,
    /// Summaries of other regions, with their arrival times.
    pub regions: BTreeMap<RegionName, (Arc<RegionSummary>, Instant)>,
}

#[derive(Debug, Clone)]
struct ReceivedUpstream {
    update: UpstreamUpdate,
    seen_at: Instant,
    retained_until: Option<Instant>,
}

#[derive(Debug, Clone)]
struct ReceivedEntry {
    update: EntryUpdate,
    retained_until: Option<Instant>,
}

/// State received from one control instance.
#[derive(Debug)]
struct ControlSource {
    cursor: FleetCursor,
    answered_at: Option<Instant>,
    /// Whether it has not answered for [`RETAINED_ENTRY_LIFETIME`] while others have.
    stale: bool,
    /// Number of control instances that it reported as reachable, including itself.
    known_controls: u32,
    /// Whether it is polled.
    polled: bool,
    /// Number of the newest document that it reported.
    document: u64,
    /// Time since which it has reported that other control instances have a newer document.
    outdated_since: Option<Instant>,
    /// Change of this entry's suspects up to which the open query reports, and up to which it has
    /// received reports.
    reporting: u64,
    reported: u64,
    listed_at: Instant,
    upstreams: HashMap<UpstreamName, ReceivedUpstream>,
    entries: HashMap<InstanceName, ReceivedEntry>,
}

/// Merges the updates of control instances into views.
#[derive(Debug)]
pub struct ViewMerger {
    own: EntryRecord,
    seeds: BTreeSet<SocketAddr>,
    controls: BTreeMap<SocketAddr, ControlSource>,
    records: BTreeMap<SocketAddr, ControlRecord>,
    evacuated: EvacuatedZones,
    restored: HashMap<ZoneName, u64>,
    peak_entries: usize,
    /// Largest number of control instances that any of them reported as reachable.
    peak_controls: u32,
    /// Control instance from which a document is being fetched, and the start of the fetch.
    fetch: Option<(SocketAddr, Instant)>,
    work: HashMap<UpstreamName, (u32, u32)>,
    work_at: Option<Instant>,
    demand: HashMap<PoolName, PromptDemand>,
    regions: BTreeMap<RegionName, (Arc<RegionSummary>, Instant)>,
}

impl ViewMerger {
    /// Creates the state of the entry `own`, which knows only the addresses of control instances in
    /// `seeds`.
    pub fn new(own: EntryRecord, seeds: &[SocketAddr], now: Instant) -> Self {
        let mut state = Self {
            own,
            seeds: BTreeSet::new(),
            controls: BTreeMap::new(),
            records: BTreeMap::new(),
            evacuated: EvacuatedZones::default(),
            restored: HashMap::new(),
            peak_entries: 1,
            peak_controls: 1,
            fetch: None,
            work: HashMap::new(),
            work_at: None,
            demand: HashMap::new(),
            regions: BTreeMap::new(),
        };
        state.set_seeds(seeds, now);
        state
    }

    /// Replaces the addresses of control instances from the settings.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr], now: Instant) {
        self.seeds = seeds.iter().copied().collect();
        for seed in seeds {
            self.add_control(*seed, now);
        }
    }

    fn add_control(&mut self, address: SocketAddr, now: Instant) {
        let fresh = ControlSource {
            cursor: FleetCursor::default(),
            answered_at: None,
            stale: false,
            known_controls: 0,
            polled: false,
            document: 0,
            outdated_since: None,
            reporting: 0,
            reported: 0,
            listed_at: now,
            upstreams: HashMap::new(),
            entries: HashMap::new(),
        };
        self.controls.entry(address).or_insert(fresh).listed_at = now;
    }

    /// Sets the state of this entry, unless it has reached a later one.
    pub fn set_state(&mut self, state: EntryState) {
        self.own.state = self.own.state.max(state);
    }

    /// Record of this entry.
    pub fn own(&self) -> &EntryRecord {
        &self.own
    }

    /// Selects the control instances to poll, by peer address: those of this region while one of them
    /// answers, reaches a majority of control instances and is up to date; otherwise, or if `all`, every instance.
    pub fn select_controls(&mut self, all: bool, now: Instant) -> BTreeSet<SocketAddr> {
        let all = all || !self.has_local_control(now);
        let addresses = self.controls.keys().copied();
        let polled: BTreeSet<_> =
            addresses.filter(|address| all || self.is_local(*address)).collect();
        for (address, control) in &mut self.controls {
            let polls = polled.contains(address);
            if control.polled && !polls {
                // Its rows become stale, and the polled instances report the same ones.
                retain_rows(control, now);
                control.cursor = FleetCursor::default();
            }
            if polls && !control.polled {
                control.listed_at = now;
            }
            control.polled = polls;
        }
        polled
    }

    /// Peer addresses of all known control instances.
    pub fn controls(&self) -> impl Iterator<Item = SocketAddr> {
        self.controls.keys().copied()
    }

    /// Whether a control instance of this region answers, reaches a majority of control instances and
    /// has the newest document that they report, or will have it in a moment.
    fn has_local_control(&self, now: Instant) -> bool {
        self.controls.iter().any(|(address, control)| {
            let local = self.records.get(address);
            local.is_some_and(|record| record.region == self.own.region)
                && control.answered_at.is_some_and(|at| now < at + LOCAL_CONTROL_TIMEOUT)
                && control.known_controls * 2 > self.peak_controls
                && control.outdated_since.is_none_or(|since| now < since + OUTDATED_TIMEOUT)
        })
    }

    /// Whether the control instance at `address` is in this region; true if its region is unknown.
    pub fn is_local(&self, address: SocketAddr) -> bool {
        self.records.get(&address).is_none_or(|record| record.region == self.own.region)
    }

    /// Position up to which the changes of the control instance at `address` were received.
    pub fn cursor(&self, address: SocketAddr) -> FleetCursor {
        self.controls.get(&address).map(|control| control.cursor).unwrap_or_default()
    }

    /// Starts fetching the document from the control instance at `address` if it has a newer one than
    /// `held`, the number of this entry's document; returns whether to fetch it. Only one instance is
    /// asked at a time, because a large document saturates the entry's link. An entry without a
    /// document (`held` is 0) serves no caller and asks every instance.
    pub fn begin_fetch(&mut self, address: SocketAddr, held: u64, now: Instant) -> bool {
        if held == 0 {
            return true;
        }
        let busy = self.fetch.is_some_and(|(from, at)| from != address && now < at + FETCH_TIMEOUT);
        let fetches = !busy && self.advertised_document(address) > held;
        if fetches {
            self.fetch = Some((address, now));
        }
        fetches
    }

    /// Ends a document fetch from the control instance at `address`, so that another one may start.
    pub fn end_fetch(&mut self, address: SocketAddr) {
        self.fetch = self.fetch.filter(|(from, _)| *from != address);
    }

    /// Number of the newest document that the control instance at `address` reported; 0 if none.
    pub fn advertised_document(&self, address: SocketAddr) -> u64 {
        self.controls.get(&address).map_or(0, |control| control.document)
    }

    /// Change of this entry's suspects up to which the control instance at `address` has received
    /// reports.
    pub fn reported(&self, address: SocketAddr) -> u64 {
        self.controls.get(&address).map_or(0, |control| control.reported)
    }

    /// Records that the next query to `address` reports suspects up to change `change`.
    pub fn begin_report(&mut self, address: SocketAddr, change: u64) {
        if let Some(control) = self.controls.get_mut(&address) {
            control.reporting = change;
        }
    }

    /// Whether more than half of the known control instances answered within the last `limit`.
    pub fn hears_majority(&self, limit: Duration, now: Instant) -> bool {
        let is_heard =
            |control: &&ControlSource| control.answered_at.is_some_and(|at| now < at + limit);
        self.controls.values().filter(is_heard).count() * 2 > self.controls.len()
    }

    /// The newest known evacuated zones.
    pub fn evacuated(&self) -> &EvacuatedZones {
        &self.evacuated
    }

    /// Whether any control instance answered within the last `limit`.
    pub fn has_recent_answer(&self, limit: Duration, now: Instant) -> bool {
        let answered = self.controls.values().filter_map(|control| control.answered_at);
        answered.max().is_some_and(|at| now < at + limit)
    }

    /// Applies an update of the control instance at `address`; returns whether the view changes.
    pub fn apply_update(&mut self, address: SocketAddr, update: FleetUpdate, now: Instant) -> bool {
        let mut changed = !update.upstreams.is_empty() || !update.entries.is_empty();
        self.add_control(address, now);
        self.end_fetch(address);
        let Some(control) = self.controls.get_mut(&address) else { return false };
        control.answered_at = Some(now);
        let stale = std::mem::take(&mut control.stale);
        changed |= stale;
        control.known_controls = update.controls_heard;
        self.peak_controls = self.peak_controls.max(update.controls_heard);
        control.document = update.document_number;
        control.outdated_since = (update.reported_number > update.document_number)
            .then(|| control.outdated_since.unwrap_or(now));
        control.reported = control.reporting;
        if control.cursor.process != update.cursor.process {
            // A new process has received this report only.
            control.reported = 0;
            if stale {
                control.entries.clear();
            }
            retain_rows(control, now);
        }
        control.cursor = update.cursor;
        for update in update.upstreams {
            if check_upstream(&update.upstream).is_err() {
                continue;
            }
            let seen_at = now.checked_sub(from_millis(update.age_ms)).unwrap_or(now);
            let name = update.upstream.name.clone();
            // A restarted control instance may not have learnt yet of a withdrawal that its earlier
            // process reported.
            let earlier = control.upstreams.get(&name);
            let is_undone = earlier.filter(|row| row.retained_until.is_some()).is_some_and(|row| {
                let known = &row.update.upstream;
                known.phase != UpstreamPhase::Serving && !is_newer(&update.upstream, known)
            });
            if is_undone && update.upstream.phase == UpstreamPhase::Serving {
                continue;
            }
            let received = ReceivedUpstream { update, seen_at, retained_until: None };
            control.upstreams.insert(name, received);
        }
        for update in update.entries {
            let name = update.entry.instance.clone();
            control.entries.insert(name, ReceivedEntry { update, retained_until: None });
        }
        for summary in update.summaries {
            self.regions.insert(summary.region.clone(), (Arc::new(summary), now));
        }
        if let Some(work) = update.work {
            let rows = work.into_iter();
            self.work = rows.map(|WorkRow(name, count, ms)| (name, (count, ms))).collect();
            self.work_at = Some(now);
        }
        if !update.demand.is_empty() {
            self.demand = update.demand.into_iter().collect();
        }
        for record in update.controls {
            self.add_control(record.peer_address, now);
            self.records.insert(record.peer_address, record);
        }
        if let Some(evacuated) = update.evacuated {
            changed |= self.apply_evacuated(evacuated);
        }
        changed
    }

    fn apply_evacuated(&mut self, evacuated: EvacuatedZones) -> bool {
        if evacuated.version <= self.evacuated.version {
            return false;
        }
        for zone in self.evacuated.zones.difference(&evacuated.zones) {
            self.restored.insert(zone.clone(), evacuated.version);
        }
        log::info!(
            version = evacuated.version, zones:? = evacuated.zones;
            "evacuated zones changed"
        );
        self.evacuated = evacuated;
        true
    }

    /// Removes expired control instances and rows; returns whether the view changes.
    pub fn expire(&mut self, now: Instant) -> bool {
        let seeds = &self.seeds;
        self.controls.retain(|address, control| {
            let last =
                control.answered_at.map_or(control.listed_at, |at| at.max(control.listed_at));
            !control.polled || seeds.contains(address) || now < last + CONTROL_RETENTION
        });
        let controls = &self.controls;
        self.records.retain(|address, _| controls.contains_key(address));
        let answered = self.controls.values().filter_map(|control| control.answered_at);
        let newest = answered.max();
        let mut changed = false;
        for control in self.controls.values_mut() {
            let lapsed = control.answered_at.map(|at| at + RETAINED_ENTRY_LIFETIME);
            let stale = lapsed.is_some_and(|lapsed| Some(lapsed) < newest);
            changed |= stale != control.stale;
            control.stale = stale;
            let before = control.upstreams.len() + control.entries.len();
            let kept = |until: Option<Instant>| until.is_none_or(|until| now < until);
            control.upstreams.retain(|_, row| kept(row.retained_until));
            control.entries.retain(|_, row| kept(row.retained_until));
            changed |= control.upstreams.len() + control.entries.len() != before;
        }
        changed
    }

    /// Builds the view of the fleet. The engines of `engine_pools` are assigned to owners if the region
    /// has at least `least_owners` entries.
    pub fn build_view(&mut self, engine_pools: &[PoolName], least_owners: usize) -> FleetView {
        let mut pools: HashMap<PoolName, Vec<Arc<KnownUpstream>>> = HashMap::new();
        for (name, received) in self.merge_upstreams() {
            let upstream = &received.update.upstream;
            let evacuated = self.evacuated.zones.contains(&upstream.zone);
            let departed = self.has_departed(&name, upstream.started_ms);
            if upstream.phase != UpstreamPhase::Serving || evacuated || departed {
                continue;
            }
            let restored = self.restored.get(&upstream.zone);
            let known = KnownUpstream {
                seen_at: received.seen_at,
                silent: received.update.silent,
                cold_until: (upstream.cold_ms > 0)
                    .then(|| received.seen_at + from_millis(upstream.cold_ms)),
                unconfirmed: restored.is_some_and(|version| received.update.evacuated < *version),
                condition: self.find_condition(&name, upstream.started_ms),
                upstream: Arc::clone(upstream),
            };
            pools.entry(upstream.pool.clone()).or_default().push(Arc::new(known));
        }
        let speeds = self.merge_speeds();
        for upstreams in pools.values_mut() {
            upstreams.sort_by_key(|known| hash_pair(known.upstream.name.as_str(), 0));
        }
        let mut live = self.merge_entries();
        live.insert(self.own.instance.clone(), self.own.clone());
        self.peak_entries = self.peak_entries.max(live.len());
        let local: Vec<_> = live.values().filter(|entry| entry.region == self.own.region).collect();
        let shared = pools.iter().filter(|(pool, _)| engine_pools.contains(pool));
        let shared = shared.map(|(pool, upstreams)| (pool, &**upstreams));
        let weights = self.merge_weights(&live);
        let owners = OwnerMap::weighed(shared, &local, least_owners, &weights, &speeds);
        let serving = local.into_iter().filter(|entry| entry.state == EntryState::Serving);
        let mut entries: BTreeSet<_> = serving.map(|entry| entry.instance.clone()).collect();
        entries.insert(self.own.instance.clone());
        FleetView {
            pools,
            entries: entries.into_iter().collect(),
            live: live.into_values().collect(),
            unreached: self.merge_unreached(),
            fleet_entries: self.peak_entries,
            owners,
            weights,
            speeds,
        }
    }

    /// The newest row of each upstream; of equal rows, one that reports it silent.
    fn merge_upstreams(&self) -> BTreeMap<UpstreamName, &ReceivedUpstream> {
        let mut merged: BTreeMap<UpstreamName, &ReceivedUpstream> = BTreeMap::new();
        let rank = |received: &ReceivedUpstream| {
            let upstream = &received.update.upstream;
            let gone = upstream.phase == UpstreamPhase::Gone;
            let UpstreamUpdate { silent, evacuated, .. } = received.update;
            (upstream.started_ms, gone, upstream.sequence, evacuated, silent)
        };
        for control in self.controls.values() {
            for (name, received) in &control.upstreams {
                let known = merged.entry(name.clone()).or_insert(received);
                if rank(received) > rank(known) {
                    *known = received;
                }
            }
        }
        merged
    }

    /// Speeds of upstreams, as any control instance that answers reports them.
    fn merge_speeds(&self) -> HashMap<UpstreamName, f64> {
        let mut speeds: HashMap<UpstreamName, f64> = HashMap::new();
        let sources = self.controls.values().filter(|control| !control.stale);
        for (name, received) in sources.flat_map(|control| &control.upstreams) {
            if let Some(speed) = received.update.speed {
                speeds.insert(name.clone(), f64::from(speed) / 1_000.0);
            }
        }
        speeds
    }

    /// Whether any control instance reports that the process of upstream `name` that started at
    /// `started_ms`, or a later one, is leaving.
    fn has_departed(&self, name: &UpstreamName, started_ms: u64) -> bool {
        let rows = self.controls.values().filter_map(|control| control.upstreams.get(name));
        rows.map(|received| &received.update)
            .any(|update| update.departed && update.upstream.started_ms >= started_ms)
    }

    /// The newest condition of the process of upstream `name` that started at `started_ms`.
    fn find_condition(&self, name: &UpstreamName, started_ms: u64) -> Option<UpstreamCondition> {
        let rows = self.controls.values().filter_map(|control| control.upstreams.get(name));
        let conditions = rows.filter_map(|received| received.update.condition);
        let conditions = conditions.filter(|condition| condition.started_ms == started_ms);
        conditions.reduce(|best, other| if other.supersedes(&best) { other } else { best })
    }

    /// Entries that at least one control instance reports as live, except those that no longer answer.
    fn merge_entries(&self) -> BTreeMap<InstanceName, EntryRecord> {
        let mut live: BTreeMap<InstanceName, EntryRecord> = BTreeMap::new();
        let controls = self.controls.values().filter(|control| !control.stale);
        let updates = controls.flat_map(|control| control.entries.values()).map(|row| &row.update);
        let rank = |entry: &EntryRecord| (entry.incarnation, entry.state);
        for EntryUpdate { entry, .. } in updates.filter(|update| !update.silent) {
            let known = live.get(&entry.instance);
            if known.is_none_or(|known| rank(known) <= rank(entry)) {
                live.insert(entry.instance.clone(), entry.clone());
            }
        }
        live
    }

    /// Weights of the `live` entries, as any control instance that answers reports their capacities.
    fn merge_weights(&self, live: &BTreeMap<InstanceName, EntryRecord>) -> EntryWeights {
        let mut capacities: BTreeMap<&InstanceName, &EntryCapacity> = BTreeMap::new();
        let controls = self.controls.values().filter(|control| !control.stale);
        for EntryUpdate { entry, capacity, silent, .. } in
            controls.flat_map(|control| control.entries.values()).map(|row| &row.update)
        {
            if let Some(capacity) = capacity.as_ref().filter(|_| !silent)
                && live.contains_key(&entry.instance)
            {
                let least = capacities.entry(&entry.instance).or_insert(capacity);
                if least.behind_percent < capacity.behind_percent {
                    *least = capacity;
                }
            }
        }
        EntryWeights::new(capacities.into_iter())
    }

    /// Pools that entries of this region do not reach, according to any control instance that answers.
    fn merge_unreached(&self) -> HashMap<InstanceName, UnreachedPools> {
        let controls = self.controls.values().filter(|control| !control.stale);
        let updates = controls.flat_map(|control| control.entries.values()).map(|row| &row.update);
        let updates = updates.filter(|update| {
            update.entry.region == self.own.region && !update.unreached.is_empty()
        });
        updates.map(|update| (update.entry.instance.clone(), update.unreached.clone())).collect()
    }

    /// Builds the load view, without expired reports.
    pub fn build_load(&self, now: Instant) -> LoadView {
        let fresh = |at: &Instant| now < *at + LOAD_LIFETIME;
        let regions = self.regions.iter().filter(|(_, (_, at))| fresh(at));
        LoadView {
            work: self.work.clone(),
            work_at: self.work_at.filter(fresh),
            demand: self.demand.clone(),
            regions: regions.map(|(name, view)| (name.clone(), view.clone())).collect(),
        }
    }
}

fn retain_rows(control: &mut ControlSource, now: Instant) {
    for received in control.upstreams.values_mut() {
        received.retained_until.get_or_insert(now + RETAINED_ROW_LIFETIME);
    }
    for received in control.entries.values_mut() {
        received.retained_until.get_or_insert(now + RETAINED_ENTRY_LIFETIME);
    }
}
