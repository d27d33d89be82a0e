//! What an entry knows of the fleet, merged from the news of all control instances.

use crate::{
    clock::from_millis,
    gateway::{
        document_state::EvacuatedZones,
        groups::PromptDemand,
        news::{
            ControlRecord, EntryNews, FleetNews, NewsCursor, RegionSummary, RegisteredUpstream,
            UpstreamNews, UpstreamPhase, WorkRow,
        },
        owners::{EntryProcess, OwnerMap},
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

/// Time for which rows of a control process are kept after it was replaced by another one, whose
/// registry starts empty.
const CARRIED_LIFETIME: Duration = Duration::from_secs(10);

/// Time without an answer after which a control instance that no other one names is forgotten.
const CONTROL_RETENTION: Duration = Duration::from_secs(20);

/// Silence of all control instances of the region after which those of others are asked too. They answer
/// within 0.4 s, and what they tell must reach entries within seconds.
const NEAR_SILENCE: Duration = Duration::from_millis(1_300);

/// Time after which a summary or work that was told no longer counts.
const LOAD_LIFETIME: Duration = Duration::from_secs(4);

/// Time after which a document that was asked for is asked for elsewhere; several times what the largest
/// one takes on a link of 10 Mbit/s.
const FETCH_BOUND: Duration = Duration::from_millis(1_500);

/// An upstream that may be given work, as far as control knows.
#[derive(Debug, Clone)]
pub struct KnownUpstream {
    /// Its newest renewal.
    pub upstream: Arc<RegisteredUpstream>,
    /// When that renewal arrived, by this instance's clock.
    pub heard_at: Instant,
    /// Whether its renewals have ceased.
    pub silent: bool,
    /// End of its cold spell.
    pub cold_until: Option<Instant>,
    /// Whether its zone was evacuated and no renewal has come since that ended.
    pub unconfirmed: bool,
}

/// The fleet at one moment.
#[derive(Debug, Default)]
pub struct FleetView {
    /// Upstreams of this region that serve, by pool, in an order that all entries share.
    pub pools: HashMap<PoolName, Vec<Arc<KnownUpstream>>>,
    /// Serving entries of this region, this one included, in the order of their names.
    pub entries: Vec<InstanceName>,
    /// Entries of all regions that are not taken to be lost, this one included.
    pub live: Vec<EntryRecord>,
    /// Most entries of the whole fleet that were known at the same time.
    pub fleet_entries: usize,
    /// Owners of the region's engines.
    pub owners: OwnerMap,
}

impl FleetView {
    /// The part of the view in which `own` alone gives work to upstreams, as their owner.
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
            fleet_entries: self.fleet_entries,
            owners: OwnerMap::default(),
        }
    }

    /// Upstreams of this region that serve, of all pools.
    pub fn upstreams(&self) -> impl Iterator<Item = &RegisteredUpstream> {
        self.pools.values().flatten().map(|known| &*known.upstream)
    }
}

/// Load that changes all the time.
#[derive(Debug, Default)]
pub struct LoadView {
    /// Work that other entries of the region have given to upstreams.
    pub work: HashMap<UpstreamName, (u32, u32)>,
    /// When that was told.
    pub work_at: Option<Instant>,
    /// Work that all entries of the region get, by pool.
    pub demand: HashMap<PoolName, PromptDemand>,
    /// Other regions, with the time of the newest summary.
    pub regions: BTreeMap<RegionName, (Arc<RegionSummary>, Instant)>,
}

#[derive(Debug, Clone)]
struct HeardUpstream {
    news: UpstreamNews,
    heard_at: Instant,
    carried_until: Option<Instant>,
}

/// News of one control instance.
#[derive(Debug)]
struct ControlView {
    cursor: NewsCursor,
    answered_at: Option<Instant>,
    /// Control instances that it heard of when it answered, itself included.
    heard: u32,
    /// Whether it is asked for news.
    followed: bool,
    /// Number of the newest document that it has.
    document: u64,
    named_at: Instant,
    upstreams: HashMap<UpstreamName, HeardUpstream>,
    entries: HashMap<InstanceName, EntryNews>,
}

/// Merges the news of control instances.
#[derive(Debug)]
pub struct ViewState {
    own: EntryRecord,
    seeds: BTreeSet<SocketAddr>,
    controls: BTreeMap<SocketAddr, ControlView>,
    records: BTreeMap<SocketAddr, ControlRecord>,
    evacuated: EvacuatedZones,
    restored: HashMap<ZoneName, u64>,
    most_entries: usize,
    /// Most control instances that any of them heard of at the same time.
    most_controls: u32,
    /// Control instance that was asked for its document, and when.
    fetch: Option<(SocketAddr, Instant)>,
    work: HashMap<UpstreamName, (u32, u32)>,
    work_at: Option<Instant>,
    demand: HashMap<PoolName, PromptDemand>,
    regions: BTreeMap<RegionName, (Arc<RegionSummary>, Instant)>,
}

impl ViewState {
    /// Knows nothing but the entry itself and the addresses of some control instances.
    pub fn new(own: EntryRecord, seeds: &[SocketAddr], now: Instant) -> Self {
        let mut state = Self {
            own,
            seeds: BTreeSet::new(),
            controls: BTreeMap::new(),
            records: BTreeMap::new(),
            evacuated: EvacuatedZones::default(),
            restored: HashMap::new(),
            most_entries: 1,
            most_controls: 1,
            fetch: None,
            work: HashMap::new(),
            work_at: None,
            demand: HashMap::new(),
            regions: BTreeMap::new(),
        };
        state.set_seeds(seeds, now);
        state
    }

    /// Replaces the addresses from the settings.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr], now: Instant) {
        self.seeds = seeds.iter().copied().collect();
        for seed in seeds {
            self.name_control(*seed, now);
        }
    }

    fn name_control(&mut self, address: SocketAddr, now: Instant) {
        let fresh = ControlView {
            cursor: NewsCursor::default(),
            answered_at: None,
            heard: 0,
            followed: false,
            document: 0,
            named_at: now,
            upstreams: HashMap::new(),
            entries: HashMap::new(),
        };
        self.controls.entry(address).or_insert(fresh).named_at = now;
    }

    /// Changes the readiness of the entry itself.
    pub fn set_state(&mut self, state: EntryState) {
        self.own.state = state;
    }

    /// The entry itself.
    pub fn own(&self) -> &EntryRecord {
        &self.own
    }

    /// Control instances to ask, by peer address: those of this region while they answer and hear of most
    /// others, all of them otherwise or if `all`.
    pub fn follow(&mut self, all: bool, now: Instant) -> BTreeSet<SocketAddr> {
        let all = all || !self.is_near_enough(now);
        let addresses = self.controls.keys().copied();
        let followed: BTreeSet<_> =
            addresses.filter(|address| all || self.is_near(*address)).collect();
        for (address, control) in &mut self.controls {
            let follows = followed.contains(address);
            if control.followed && !follows {
                // What it told grows old; those that are followed have it too.
                carry_rows(control, now);
                control.cursor = NewsCursor::default();
            }
            if follows && !control.followed {
                control.named_at = now;
            }
            control.followed = follows;
        }
        followed
    }

    /// Whether control instances of this region answer and hear of most others.
    fn is_near_enough(&self, now: Instant) -> bool {
        self.controls.iter().any(|(address, control)| {
            let near = self.records.get(address);
            near.is_some_and(|record| record.region == self.own.region)
                && control.answered_at.is_some_and(|at| now < at + NEAR_SILENCE)
                && control.heard * 2 > self.most_controls
        })
    }

    /// Whether the control instance at `address` is in this region; also where it is not known yet.
    pub fn is_near(&self, address: SocketAddr) -> bool {
        self.records.get(&address).is_none_or(|record| record.region == self.own.region)
    }

    /// Place up to which the news of the control instance at `address` is known.
    pub fn cursor(&self, address: SocketAddr) -> NewsCursor {
        self.controls.get(&address).map(|control| control.cursor).unwrap_or_default()
    }

    /// Whether to ask the control instance at `address` for its document, where the entry has the one
    /// numbered `held`. Only one is asked at a time, as a large document fills the entry's link; an entry
    /// without any, which serves nobody, asks all.
    pub fn begin_fetch(&mut self, address: SocketAddr, held: u64, now: Instant) -> bool {
        if held == 0 {
            return true;
        }
        let busy = self.fetch.is_some_and(|(from, at)| from != address && now < at + FETCH_BOUND);
        let fetches = !busy && self.offered(address) > held;
        if fetches {
            self.fetch = Some((address, now));
        }
        fetches
    }

    /// Lets another control instance be asked for its document.
    pub fn end_fetch(&mut self, address: SocketAddr) {
        self.fetch = self.fetch.filter(|(from, _)| *from != address);
    }

    /// Number of the newest document that the control instance at `address` has told.
    pub fn offered(&self, address: SocketAddr) -> u64 {
        self.controls.get(&address).map_or(0, |control| control.document)
    }

    /// Version of the evacuated zones that is known.
    pub fn evacuated(&self) -> &EvacuatedZones {
        &self.evacuated
    }

    /// Whether any control instance has answered within `bound`.
    pub fn has_contact(&self, bound: Duration, now: Instant) -> bool {
        let answered = self.controls.values().filter_map(|control| control.answered_at);
        answered.max().is_some_and(|at| now < at + bound)
    }

    /// Takes the news of the control instance at `address`; returns whether the view changes.
    pub fn accept(&mut self, address: SocketAddr, news: FleetNews, now: Instant) -> bool {
        let mut changed = !news.upstreams.is_empty() || !news.entries.is_empty();
        self.name_control(address, now);
        self.end_fetch(address);
        let Some(control) = self.controls.get_mut(&address) else { return false };
        control.answered_at = Some(now);
        control.heard = news.controls_heard;
        self.most_controls = self.most_controls.max(news.controls_heard);
        control.document = news.document_number;
        if control.cursor.process != news.cursor.process {
            carry_rows(control, now);
        }
        control.cursor = news.cursor;
        for news in news.upstreams {
            let heard_at = now.checked_sub(from_millis(news.age_ms)).unwrap_or(now);
            let name = news.upstream.name.clone();
            let heard = HeardUpstream { news, heard_at, carried_until: None };
            control.upstreams.insert(name, heard);
        }
        for news in news.entries {
            control.entries.insert(news.entry.instance.clone(), news);
        }
        for summary in news.summaries {
            self.regions.insert(summary.region.clone(), (Arc::new(summary), now));
        }
        if let Some(work) = news.work {
            let rows = work.into_iter();
            self.work = rows.map(|WorkRow(name, count, ms)| (name, (count, ms))).collect();
            self.work_at = Some(now);
        }
        if !news.demand.is_empty() {
            self.demand = news.demand.into_iter().collect();
        }
        for record in news.controls {
            self.name_control(record.peer_address, now);
            self.records.insert(record.peer_address, record);
        }
        if let Some(evacuated) = news.evacuated {
            changed |= self.take_evacuated(evacuated);
        }
        changed
    }

    fn take_evacuated(&mut self, evacuated: EvacuatedZones) -> bool {
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

    /// Forgets what is no longer of use; returns whether the view changes.
    pub fn expire(&mut self, now: Instant) -> bool {
        let seeds = &self.seeds;
        self.controls.retain(|address, control| {
            let last = control.answered_at.map_or(control.named_at, |at| at.max(control.named_at));
            !control.followed || seeds.contains(address) || now < last + CONTROL_RETENTION
        });
        let controls = &self.controls;
        self.records.retain(|address, _| controls.contains_key(address));
        let mut changed = false;
        for control in self.controls.values_mut() {
            let before = control.upstreams.len();
            let kept = |heard: &HeardUpstream| heard.carried_until.is_none_or(|until| now < until);
            control.upstreams.retain(|_, heard| kept(heard));
            changed |= control.upstreams.len() != before;
        }
        changed
    }

    /// The view of the fleet, in which the engines of `engine_pools` are shared out among entries if
    /// the region has at least `least_owners`.
    pub fn make_view(&mut self, engine_pools: &[PoolName], least_owners: usize) -> FleetView {
        let mut pools: HashMap<PoolName, Vec<Arc<KnownUpstream>>> = HashMap::new();
        for (name, heard) in self.merge_upstreams() {
            let upstream = &heard.news.upstream;
            let evacuated = self.evacuated.zones.contains(&upstream.zone);
            let departed = self.has_departed(&name, upstream.started_ms);
            if upstream.phase != UpstreamPhase::Serving || evacuated || departed {
                continue;
            }
            let restored = self.restored.get(&upstream.zone);
            let known = KnownUpstream {
                heard_at: heard.heard_at,
                silent: heard.news.silent,
                cold_until: (upstream.cold_ms > 0)
                    .then(|| heard.heard_at + from_millis(upstream.cold_ms)),
                unconfirmed: restored.is_some_and(|version| heard.news.evacuated < *version),
                upstream: Arc::clone(upstream),
            };
            pools.entry(upstream.pool.clone()).or_default().push(Arc::new(known));
        }
        for upstreams in pools.values_mut() {
            upstreams.sort_by_key(|known| hash_pair(known.upstream.name.as_str(), 0));
        }
        let mut live = self.merge_entries();
        live.insert(self.own.instance.clone(), self.own.clone());
        self.most_entries = self.most_entries.max(live.len());
        let near: Vec<_> = live.values().filter(|entry| entry.region == self.own.region).collect();
        let shared = pools.iter().filter(|(pool, _)| engine_pools.contains(pool));
        let shared = shared.map(|(pool, upstreams)| (pool, &**upstreams));
        let owners = OwnerMap::new(shared, &near, least_owners);
        let serving = near.into_iter().filter(|entry| entry.state == EntryState::Serving);
        let mut entries: BTreeSet<_> = serving.map(|entry| entry.instance.clone()).collect();
        entries.insert(self.own.instance.clone());
        FleetView {
            pools,
            entries: entries.into_iter().collect(),
            live: live.into_values().collect(),
            fleet_entries: self.most_entries,
            owners,
        }
    }

    /// The newest row of each upstream; of equal ones, one that says that it is silent.
    fn merge_upstreams(&self) -> BTreeMap<UpstreamName, &HeardUpstream> {
        let mut merged: BTreeMap<UpstreamName, &HeardUpstream> = BTreeMap::new();
        let rank = |heard: &HeardUpstream| {
            let upstream = &heard.news.upstream;
            let gone = upstream.phase == UpstreamPhase::Gone;
            let UpstreamNews { silent, evacuated, .. } = heard.news;
            (upstream.started_ms, gone, upstream.sequence, evacuated, silent)
        };
        for control in self.controls.values() {
            for (name, heard) in &control.upstreams {
                let known = merged.entry(name.clone()).or_insert(heard);
                if rank(heard) > rank(known) {
                    *known = heard;
                }
            }
        }
        merged
    }

    /// Whether any control instance was told that this start of an upstream leaves.
    fn has_departed(&self, name: &UpstreamName, started_ms: u64) -> bool {
        let rows = self.controls.values().filter_map(|control| control.upstreams.get(name));
        rows.map(|heard| &heard.news)
            .any(|news| news.departed && news.upstream.started_ms >= started_ms)
    }

    /// Entries that at least one control instance hears of.
    fn merge_entries(&self) -> BTreeMap<InstanceName, EntryRecord> {
        let mut live: BTreeMap<InstanceName, EntryRecord> = BTreeMap::new();
        let news = self.controls.values().flat_map(|control| control.entries.values());
        for EntryNews { entry, .. } in news.filter(|news| !news.silent) {
            let known = live.get(&entry.instance);
            if known.is_none_or(|known| known.incarnation <= entry.incarnation) {
                live.insert(entry.instance.clone(), entry.clone());
            }
        }
        live
    }

    /// The load of others.
    pub fn make_load(&self, now: Instant) -> LoadView {
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

fn carry_rows(control: &mut ControlView, now: Instant) {
    for heard in control.upstreams.values_mut() {
        heard.carried_until.get_or_insert(now + CARRIED_LIFETIME);
    }
    control.entries.clear();
}
