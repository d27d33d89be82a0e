//! In-memory registry of a control instance: upstreams, entries and other control instances.
//!
//! Upstreams renew their registration at any control instance, which forwards changes to the other
//! control instances and to the entries of the upstream's region. After a restart, rows are restored by
//! the next renewals, except those of withdrawn upstreams, which the replicated state records.

use crate::{
    clock::from_millis,
    gateway::{
        document::routes::RouteDocument,
        knowledge::{
            conditions::UpstreamCondition,
            entry_registry::EntryRow,
            fleet_update::{
                ControlRecord, EntryUpdate, FleetCursor, RegionSummary, RegisteredUpstream,
                UpstreamPhase, UpstreamUpdate,
            },
            software_history::SoftwareHistory,
            upstream_check::{UpstreamFault, check_upstream},
            withdrawals::WithdrawalRecord,
        },
    },
    name::{InstanceName, PoolName, RegionName, UpstreamName, ZoneName},
    suspect::{SuspectRecord, SuspectTable},
    table::EntryRecord,
};
use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};
use tokio::time::Instant;

/// Time after its start during which an instance may not know all members of the fleet yet.
pub const DISCOVERY_TIME: Duration = Duration::from_secs(4);

/// Time without contact after which another control instance is considered lost.
pub const CONTROL_TIMEOUT: Duration = Duration::from_millis(3_500);

/// Number of renewals that an upstream may miss before it is considered silent.
const MAX_MISSED_RENEWALS: u32 = 3;

/// Time for which rows of lost and departed processes are kept, so that delayed renewals of them are
/// recognised as outdated.
const ROW_RETENTION: Duration = Duration::from_secs(60);

/// Minimum delay of the end of a warm-up that is forwarded to readers, in milliseconds.
const MIN_COLD_CHANGE_MS: u64 = 300;

/// Number of merges of suspects that readers can catch up with; readers further behind get all.
const MAX_SUSPECT_CHANGES: usize = 256;

/// Result of a renewal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RenewalOutcome {
    /// The renewal is the newest of its upstream.
    Accepted,
    /// A newer renewal is known, or the upstream is gone.
    Outdated,
    /// No document names the pool, but that of the upstream's row.
    UnknownPool,
    /// The zone is not part of the fleet.
    UnknownZone,
    /// No upstream has such a value.
    Invalid(UpstreamFault),
}

#[derive(Debug, Clone)]
pub(in crate::gateway) struct UpstreamRow {
    pub(in crate::gateway) upstream: Arc<RegisteredUpstream>,
    seen_at: Instant,
    /// Whether the upstream sent its newest renewal to this instance.
    direct: bool,
    pub(in crate::gateway) changed: u64,
    pub(in crate::gateway) silent: bool,
    /// Version of the evacuated zones that was current at the receiver when the renewal arrived.
    evacuated: u64,
    /// Whether the upstream told an entry that it is leaving.
    pub(in crate::gateway) departed: bool,
    /// The newest condition of its process that entries observed.
    pub(in crate::gateway) condition: Option<UpstreamCondition>,
    /// Speed that the entries of its region measured, in thousandths of the rated one.
    pub(in crate::gateway) speed: Option<u32>,
    /// Whether the next renewal is forwarded even if it changes nothing.
    forward_next: bool,
}

#[derive(Debug, Clone)]
struct ControlRow {
    record: ControlRecord,
    seen_at: Instant,
}

impl UpstreamRow {
    /// Number of requests that the upstream runs concurrently, at most those of one second if it accepts a
    /// limited rate.
    pub(in crate::gateway) fn usable_slots(&self) -> u32 {
        let limit = self.condition.and_then(|condition| condition.limit);
        limit.map_or(self.upstream.slots, |limit| self.upstream.slots.min(limit.per_s() as u32))
    }

    /// Whether entries may still use the upstream.
    fn is_served(&self) -> bool {
        !self.silent && self.upstream.phase != UpstreamPhase::Gone
    }
}

/// Registry of one control instance.
#[derive(Debug)]
pub struct FleetRegistry {
    pub(in crate::gateway) own: ControlRecord,
    process: u64,
    pub(in crate::gateway) changes: u64,
    renewal_timeout: Duration,
    pub(in crate::gateway) zones: BTreeMap<ZoneName, RegionName>,
    pub(in crate::gateway) upstreams: BTreeMap<UpstreamName, UpstreamRow>,
    pub(in crate::gateway) entries: BTreeMap<InstanceName, EntryRow>,
    controls: BTreeMap<SocketAddr, ControlRow>,
    controls_changed: u64,
    evacuated: u64,
    /// Upstreams whose withdrawal is recorded durably. Each is a row of this process for
    /// [`ROW_RETENTION`], in which late renewals are outdated.
    withdrawn: Arc<WithdrawalRecord>,
    /// The newest document, whose pools tell upstreams to use from others.
    document: Option<Arc<RouteDocument>>,
    /// Summaries of other regions, received from their control instances, with arrival times.
    pub(in crate::gateway) summaries: BTreeMap<RegionName, (RegionSummary, Instant)>,
    suspects: SuspectTable,
    /// Changes of this registry with the changes of the suspects that they consist of, oldest first.
    suspect_changes: VecDeque<(u64, u64)>,
    /// Newest change that `suspect_changes` does not hold any more.
    suspect_floor: u64,
    /// Largest number of control instances that were known at one time, including this one.
    peak_controls: usize,
    history: SoftwareHistory,
}

impl FleetRegistry {
    /// Creates an empty registry. `process` identifies this process in cursors, and `renewal` is the
    /// renewal interval of upstreams.
    pub fn new(
        own: ControlRecord,
        process: u64,
        zones: BTreeMap<ZoneName, RegionName>,
        renewal: Duration,
    ) -> Self {
        Self {
            own,
            process,
            changes: 1,
            renewal_timeout: renewal * (MAX_MISSED_RENEWALS + 1),
            zones,
            upstreams: BTreeMap::new(),
            entries: BTreeMap::new(),
            controls: BTreeMap::new(),
            controls_changed: 1,
            evacuated: 0,
            withdrawn: Arc::default(),
            document: None,
            summaries: BTreeMap::new(),
            suspects: SuspectTable::default(),
            suspect_changes: VecDeque::new(),
            suspect_floor: 0,
            peak_controls: 1,
            history: SoftwareHistory::new(Instant::now()),
        }
    }

    /// Position of the newest change.
    pub fn cursor(&self) -> FleetCursor {
        FleetCursor { process: self.process, change: self.changes }
    }

    /// Region of `zone`.
    pub fn region(&self, zone: &ZoneName) -> Option<&RegionName> {
        self.zones.get(zone)
    }

    pub(in crate::gateway) fn next_change(&mut self) -> u64 {
        self.changes += 1;
        self.changes
    }

    /// Applies a renewal that an upstream sent to this instance.
    pub fn renew(&mut self, upstream: RegisteredUpstream, now: Instant) -> RenewalOutcome {
        let update = UpstreamUpdate {
            upstream: Arc::new(upstream),
            age_ms: 0,
            silent: false,
            evacuated: self.evacuated,
            departed: false,
            condition: None,
            speed: None,
        };
        self.apply_upstream(update, true, now)
    }

    fn apply_upstream(
        &mut self,
        update: UpstreamUpdate,
        direct: bool,
        now: Instant,
    ) -> RenewalOutcome {
        let UpstreamUpdate { upstream, age_ms, evacuated, silent, .. } = update;
        let seen_at = now.checked_sub(from_millis(age_ms)).unwrap_or(now);
        if let Err(fault) = self.check_values(&upstream) {
            return RenewalOutcome::Invalid(fault);
        }
        if !self.zones.contains_key(&upstream.zone) {
            return RenewalOutcome::UnknownZone;
        }
        if let Some(row) = self.upstreams.get(&upstream.name)
            && !is_newer(&upstream, &row.upstream)
        {
            return RenewalOutcome::Outdated;
        }
        if let Some(row) = self.upstreams.get(&upstream.name)
            && self.is_named(&row.upstream.pool)
            && !self.is_named(&upstream.pool)
        {
            return RenewalOutcome::UnknownPool;
        }
        if upstream.phase != UpstreamPhase::Gone && !self.claim_address(&upstream) {
            return RenewalOutcome::Outdated;
        }
        let known = self.upstreams.get(&upstream.name);
        if let Some(row) = known.filter(|row| row.is_served()) {
            self.history.note(&row.upstream.pool, &row.upstream.software, now);
        }
        let present = upstream.phase != UpstreamPhase::Gone && !silent;
        let served_at = if present { now } else { seen_at };
        self.history.note(&upstream.pool, &upstream.software, served_at);
        let redundant = known.is_some_and(|row| {
            let stays = row.direct || !direct;
            !row.silent && !row.forward_next && stays && is_equivalent(&upstream, seen_at, row)
        });
        let unchanged = known.filter(|_| redundant).map(|row| row.changed);
        log_change(known.map(|row| &*row.upstream), &upstream, direct, now - seen_at);
        let departed =
            known.is_some_and(|row| row.departed && row.upstream.started_ms >= upstream.started_ms);
        let condition = known.and_then(|row| row.condition);
        let condition = condition.filter(|known| known.started_ms == upstream.started_ms);
        let speed = known.and_then(|row| row.speed);
        let changed = unchanged.unwrap_or_else(|| self.next_change());
        let name = upstream.name.clone();
        let row = UpstreamRow {
            upstream,
            seen_at,
            direct,
            changed,
            silent: false,
            evacuated,
            departed,
            condition,
            speed,
            forward_next: false,
        };
        self.upstreams.insert(name, row);
        RenewalOutcome::Accepted
    }

    /// Fails if `upstream` has a value that no upstream has, or the address of a known instance.
    fn check_values(&self, upstream: &RegisteredUpstream) -> Result<(), UpstreamFault> {
        check_upstream(upstream)?;
        let controls = [&self.own].into_iter().chain(self.other_controls());
        let controls = controls.flat_map(|own| [own.peer_address, own.registry_address]);
        let entries = self.live_entries().flat_map(|entry| {
            let EntryRecord { caller_address, peer_address, grant_address, .. } = entry;
            [*caller_address, Some(*peer_address), *grant_address].into_iter().flatten()
        });
        match controls.chain(entries).any(|address| address == upstream.address) {
            true => Err(UpstreamFault::OwnAddress),
            false => Ok(()),
        }
    }

    /// Whether the document names the pool; true without a document.
    fn is_named(&self, pool: &PoolName) -> bool {
        let document = self.document.as_ref();
        document.is_none_or(|document| document.pools.iter().any(|rule| rule.name == *pool))
    }

    /// Sets the newest document.
    pub fn set_document(&mut self, document: Arc<RouteDocument>) {
        self.document = Some(document);
    }

    /// Marks other upstreams at the address of `upstream` as gone; false, with no change, if one of them
    /// started later. Upstreams of pools that the document does not name neither take over nor hold an
    /// address: anyone may send their renewals.
    fn claim_address(&mut self, upstream: &RegisteredUpstream) -> bool {
        let others = self.upstreams.values().filter(|row| {
            row.upstream.address == upstream.address
                && row.upstream.name != upstream.name
                && row.upstream.phase != UpstreamPhase::Gone
        });
        let others: Vec<_> = others.map(|row| Arc::clone(&row.upstream)).collect();
        if others.is_empty() || !self.is_named(&upstream.pool) {
            return true;
        }
        let mut holders = others.iter().filter(|other| self.is_named(&other.pool));
        if holders.any(|other| other.started_ms > upstream.started_ms) {
            return false;
        }
        for other in others {
            log::info!(
                upstream = other.name.as_str(), by = upstream.name.as_str();
                "address taken over by another upstream"
            );
            self.mark_gone(&other.name);
        }
        true
    }

    fn mark_gone(&mut self, name: &UpstreamName) {
        let changed = self.next_change();
        if let Some(row) = self.upstreams.get_mut(name) {
            let gone = RegisteredUpstream { phase: UpstreamPhase::Gone, ..(*row.upstream).clone() };
            row.upstream = Arc::new(gone);
            row.changed = changed;
        }
    }

    /// Marks an upstream as deregistered and returns it; `None` if it is unknown.
    pub fn deregister(
        &mut self,
        name: &UpstreamName,
        now: Instant,
    ) -> Option<Arc<RegisteredUpstream>> {
        let row = self.upstreams.get_mut(name)?;
        row.seen_at = now;
        if row.upstream.phase != UpstreamPhase::Gone {
            log::info!(upstream = name.as_str(); "upstream deregistered");
            self.mark_gone(name);
        }
        self.upstreams.get(name).map(|row| Arc::clone(&row.upstream))
    }

    /// Replaces the recorded withdrawals, and applies those that the rows do not show yet. Readers
    /// receive them like renewals, since they may hold older rows of the same upstreams.
    pub fn set_withdrawn(&mut self, withdrawn: &Arc<WithdrawalRecord>, now: Instant) {
        if withdrawn.version() <= self.withdrawn.version() {
            return;
        }
        let known = std::mem::replace(&mut self.withdrawn, Arc::clone(withdrawn));
        for upstream in withdrawn.upstreams().filter(|upstream| !known.covers(upstream)) {
            let row = self.upstreams.get(&upstream.name);
            let is_applied = row.is_some_and(|row| {
                row.upstream.phase == upstream.phase || !supersedes(upstream, &row.upstream)
            });
            if !is_applied {
                self.insert_withdrawn(upstream, now);
            }
        }
    }

    fn insert_withdrawn(&mut self, upstream: &Arc<RegisteredUpstream>, now: Instant) {
        log::info!(
            upstream = upstream.name.as_str(), phase:? = upstream.phase;
            "recorded withdrawal applied"
        );
        let row = UpstreamRow {
            upstream: Arc::clone(upstream),
            seen_at: now,
            direct: true,
            changed: self.next_change(),
            silent: false,
            evacuated: self.evacuated,
            departed: false,
            condition: None,
            speed: None,
            forward_next: false,
        };
        self.upstreams.insert(upstream.name.clone(), row);
    }

    /// Merges the rows received from the control instance at `from`.
    pub fn merge(
        &mut self,
        from: SocketAddr,
        upstreams: Vec<UpstreamUpdate>,
        entries: Vec<EntryUpdate>,
        now: Instant,
    ) {
        for update in upstreams {
            let name = update.upstream.name.clone();
            let version = update.upstream.version();
            let UpstreamUpdate { silent, departed, condition, speed, .. } = update;
            self.apply_upstream(update, false, now);
            if silent {
                self.mark_silent(&name, version);
            }
            if departed {
                self.mark_departed(&name, version.0);
            }
            if let Some(condition) = condition {
                self.merge_condition(&name, condition);
            }
            // The entries of the own region report to this instance themselves.
            let row = self.upstreams.get(&name);
            let other =
                row.is_some_and(|row| self.region(&row.upstream.zone) != Some(&self.own.region));
            if let Some(speed) = speed.filter(|_| other) {
                self.set_speed(&name, speed);
            }
        }
        for EntryUpdate { entry, silent, unreached, capacity } in entries {
            let name = entry.instance.clone();
            self.merge_entry(from, entry, silent, now);
            // Only control instances in direct contact with the entry know its present state.
            if !silent {
                self.update_unreached(&name, &unreached);
                self.update_capacity(&name, capacity);
            }
        }
    }

    /// Marks the process of an upstream that started at `started_ms` as leaving, as it told an entry.
    /// Later renewals of the same process do not undo this.
    pub fn mark_departed(&mut self, name: &UpstreamName, started_ms: u64) {
        let changed = self.changes + 1;
        let Some(row) = self.upstreams.get_mut(name) else { return };
        if row.departed || row.upstream.started_ms != started_ms {
            return;
        }
        log::info!(upstream = name.as_str(), started_ms; "upstream told an entry that it leaves");
        row.departed = true;
        row.changed = changed;
        self.changes = changed;
    }

    /// Merges a condition of an upstream that an entry or another control instance reported. Ignored
    /// unless it is of the process that is registered.
    pub fn merge_condition(&mut self, name: &UpstreamName, condition: UpstreamCondition) {
        let changed = self.changes + 1;
        let Some(row) = self.upstreams.get_mut(name) else { return };
        let known = row.condition;
        if row.upstream.started_ms != condition.started_ms
            || known.is_some_and(|known| !condition.supersedes(&known))
        {
            return;
        }
        row.condition = Some(condition);
        row.changed = changed;
        self.changes = changed;
    }

    fn mark_silent(&mut self, name: &UpstreamName, version: (u64, u64)) {
        let changed = self.changes + 1;
        let Some(row) = self.upstreams.get_mut(name) else { return };
        if row.upstream.version() == version && !row.direct && !row.silent {
            row.silent = true;
            row.changed = changed;
            self.changes = changed;
        }
    }

    /// Adds or updates another control instance, and marks it as seen.
    pub fn report_control(&mut self, record: ControlRecord, now: Instant) {
        if record.peer_address == self.own.peer_address {
            return;
        }
        let address = record.peer_address;
        let row = ControlRow { record, seen_at: now };
        let known = self.controls.insert(address, row.clone());
        self.peak_controls = self.peak_controls.max(self.controls.len() + 1);
        if known.is_none_or(|known| known.record != row.record) {
            log::info!(control = address.to_string(); "control instance known");
            self.controls_changed = self.next_change();
        }
    }

    /// Marks a known control instance as seen.
    pub fn mark_control_seen(&mut self, address: SocketAddr, now: Instant) {
        if let Some(row) = self.controls.get_mut(&address) {
            row.seen_at = now;
        }
    }

    /// Whether the control instance at `address` is this one, or known and not considered lost.
    pub fn is_known_control(&self, address: SocketAddr) -> bool {
        address == self.own.peer_address || self.controls.contains_key(&address)
    }

    /// Other control instances that are not considered lost.
    pub fn other_controls(&self) -> impl Iterator<Item = &ControlRecord> {
        self.controls.values().map(|row| &row.record)
    }

    /// Sets the version of the evacuated zones. If it is newer, the next renewal of each upstream is
    /// forwarded even if it changes nothing, because the upstream may have become cold while its zone
    /// was evacuated.
    pub fn set_evacuated_version(&mut self, version: u64) {
        if version > self.evacuated {
            self.evacuated = version;
            self.upstreams.values_mut().for_each(|row| row.forward_next = true);
        }
    }

    /// Removes lost control instances, marks rows whose timeout has passed as silent, and removes rows
    /// past their retention time.
    pub fn expire(&mut self, now: Instant) {
        let lost: Vec<_> = self
            .controls
            .iter()
            .filter(|(_, row)| now >= row.seen_at + CONTROL_TIMEOUT)
            .map(|(address, _)| *address)
            .collect();
        for address in lost {
            log::warn!(control = address.to_string(); "control instance lost");
            self.controls.remove(&address);
            self.controls_changed = self.next_change();
            self.remove_observer(address);
        }
        let names: Vec<_> = self.entries.keys().cloned().collect();
        names.iter().for_each(|name| self.update_liveness(name, now));
        self.expire_upstreams(now);
        let kept = |at: Option<Instant>| at.is_some_and(|at| now < at + ROW_RETENTION);
        self.entries.retain(|_, row| !row.silent || kept(row.seen_at));
        self.upstreams.retain(|_, row| !row.direct || now < row.seen_at + ROW_RETENTION);
    }

    fn expire_upstreams(&mut self, now: Instant) {
        for row in self.upstreams.values().filter(|row| row.is_served()) {
            self.history.note(&row.upstream.pool, &row.upstream.software, now);
        }
        self.history.expire(now);
        let mut changes = self.changes;
        for row in self.upstreams.values_mut() {
            let silent = row.direct && now >= row.seen_at + self.renewal_timeout;
            if silent && !row.silent && row.upstream.phase != UpstreamPhase::Gone {
                let age_ms = (now - row.seen_at).as_millis() as u64;
                log::warn!(upstream = row.upstream.name.as_str(), age_ms; "upstream silent");
                changes += 1;
                row.silent = true;
                row.changed = changes;
            }
        }
        self.changes = changes;
    }

    /// Upstreams that changed after `cursor`, in `region` or, if that is `None`, in all regions.
    pub fn changed_upstreams(
        &self,
        cursor: FleetCursor,
        region: Option<&RegionName>,
        now: Instant,
    ) -> Vec<UpstreamUpdate> {
        let after = self.position(cursor);
        let rows = self.upstreams.values().filter(|row| {
            row.changed > after
                && region.is_none_or(|region| self.region(&row.upstream.zone) == Some(region))
        });
        rows.map(|row| UpstreamUpdate {
            upstream: Arc::clone(&row.upstream),
            age_ms: (now - row.seen_at).as_millis() as u32,
            silent: row.silent,
            evacuated: row.evacuated,
            departed: row.departed,
            condition: row.condition,
            speed: row.speed,
        })
        .collect()
    }

    /// Merges the suspects of an entry or of another control instance.
    pub fn merge_suspects(&mut self, records: Vec<SuspectRecord>, now: Instant) {
        if records.is_empty() {
            return;
        }
        let before = self.suspects.changes();
        if self.suspects.merge(records, now) {
            let changed = self.next_change();
            if self.suspect_changes.len() >= MAX_SUSPECT_CHANGES
                && let Some((dropped, _)) = self.suspect_changes.pop_front()
            {
                self.suspect_floor = dropped;
            }
            self.suspect_changes.push_back((changed, before));
        }
    }

    /// Suspects that changed after `cursor`.
    pub fn changed_suspects(&self, cursor: FleetCursor, now: Instant) -> Vec<SuspectRecord> {
        let after = self.position(cursor);
        if after < self.suspect_floor {
            return self.suspects.list(now);
        }
        let missed = self.suspect_changes.iter().find(|(changed, _)| *changed > after);
        missed.map_or_else(Vec::new, |(_, before)| self.suspects.list_changed(*before, now))
    }

    /// Number of control instances that are not considered lost, including this one.
    pub fn count_controls(&self) -> u32 {
        self.controls.len() as u32 + 1
    }

    /// All control instances, this one first; empty if none changed after `cursor`.
    pub fn changed_controls(&self, cursor: FleetCursor) -> Vec<ControlRecord> {
        if self.controls_changed <= self.position(cursor) {
            return Vec::new();
        }
        [&self.own].into_iter().chain(self.other_controls()).cloned().collect()
    }

    /// Whether there are changes after `cursor`.
    pub fn has_changes(&self, cursor: FleetCursor) -> bool {
        self.changes > self.position(cursor)
    }

    /// Software versions that served in each pool.
    pub fn history(&mut self) -> &mut SoftwareHistory {
        &mut self.history
    }

    /// Whether a majority of `expected` control instances, or of those known at one time if they are
    /// more, was heard within the last `limit`, including this one.
    pub fn hears_majority(&self, expected: usize, limit: Duration, now: Instant) -> bool {
        let heard = self.controls.values().filter(|row| now < row.seen_at + limit).count() + 1;
        heard * 2 > self.peak_controls.max(expected)
    }

    pub(in crate::gateway) fn position(&self, cursor: FleetCursor) -> u64 {
        if cursor.process == self.process { cursor.change } else { 0 }
    }

    /// Whether changes of upstreams in `region` can reach entries there: through another control
    /// instance, or directly. Also true if no entry is known at all.
    pub fn reaches(&self, region: &RegionName) -> bool {
        !self.controls.is_empty()
            || self.live_entries().any(|entry| entry.region == *region)
            || self.entries.is_empty()
    }

    /// Registry address at which upstreams of `zone` should renew: in the zone if possible, otherwise in
    /// its region.
    pub fn nearest_registry(&self, zone: &ZoneName) -> Option<SocketAddr> {
        let region = self.region(zone)?;
        let all = [&self.own].into_iter().chain(self.other_controls());
        let near = all.filter(|control| control.region == *region);
        let best = near.min_by_key(|control| (control.zone != *zone, control.peer_address))?;
        Some(best.registry_address)
    }
}

/// Whether a renewal is newer than what is known of its name. A gone process does not return.
pub(in crate::gateway) fn is_newer(
    upstream: &RegisteredUpstream,
    known: &RegisteredUpstream,
) -> bool {
    if upstream.started_ms != known.started_ms {
        return upstream.started_ms > known.started_ms;
    }
    let gone = |upstream: &RegisteredUpstream| upstream.phase == UpstreamPhase::Gone;
    match (gone(upstream), gone(known)) {
        (false, true) => false,
        (true, false) => true,
        _ => upstream.sequence > known.sequence,
    }
}

/// Whether a recorded withdrawal is at least as new as a registered process of the same name.
fn supersedes(withdrawn: &RegisteredUpstream, known: &RegisteredUpstream) -> bool {
    let gone = |upstream: &RegisteredUpstream| upstream.phase == UpstreamPhase::Gone;
    let rank =
        |upstream: &RegisteredUpstream| (upstream.started_ms, gone(upstream), upstream.sequence);
    rank(withdrawn) >= rank(known)
}

/// Whether a renewal contains nothing new for readers of the row.
fn is_equivalent(upstream: &RegisteredUpstream, seen_at: Instant, row: &UpstreamRow) -> bool {
    let known = &row.upstream;
    let same =
        RegisteredUpstream { sequence: known.sequence, cold_ms: known.cold_ms, ..upstream.clone() };
    let until = |at: Instant, cold_ms: u32| (cold_ms > 0).then(|| at + from_millis(cold_ms));
    let cold = match (until(seen_at, upstream.cold_ms), until(row.seen_at, known.cold_ms)) {
        (None, None) => true,
        (Some(new), Some(old)) => {
            let later = new.saturating_duration_since(old);
            (later.as_millis() as u64) < MIN_COLD_CHANGE_MS
        }
        _ => false,
    };
    same == **known && cold
}

fn log_change(
    known: Option<&RegisteredUpstream>,
    upstream: &RegisteredUpstream,
    direct: bool,
    age: Duration,
) {
    let phase = known.map(|known| (known.started_ms, known.phase));
    if phase != Some((upstream.started_ms, upstream.phase)) {
        log::info!(
            upstream = upstream.name.as_str(), phase:? = upstream.phase,
            sequence = upstream.sequence, started_ms = upstream.started_ms,
            cold_ms = upstream.cold_ms, direct, age_ms = age.as_millis() as u64;
            "upstream state"
        );
    }
}
