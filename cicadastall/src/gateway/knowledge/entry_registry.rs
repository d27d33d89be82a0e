//! Entries in the registry of a control instance.
//!
//! An entry polls control instances of its region, which report to the others whether they are in
//! contact with it. It is considered lost once no control instance is.

use crate::{
    gateway::knowledge::{
        entry_capacity::{EntryCapacity, EntryWeights},
        fleet_update::{EntryUpdate, FleetCursor},
        reach::UnreachedPools,
        region_load::EntryLoad,
        registry::FleetRegistry,
    },
    name::InstanceName,
    table::{EntryRecord, EntryState, Incarnation},
};
use smallvec::SmallVec;
use std::{net::SocketAddr, time::Duration};
use tokio::time::Instant;

/// Time without a poll after which an entry is considered lost; entries poll at least once a second.
pub const ENTRY_TIMEOUT: Duration = Duration::from_millis(2_500);

/// A control instance in direct contact with an entry.
#[derive(Debug, Clone, Copy)]
struct EntryObserver {
    address: SocketAddr,
    /// End of its contact, if it has restarted since it reported it.
    retained_until: Option<Instant>,
}

#[derive(Debug, Clone)]
pub(in crate::gateway) struct EntryRow {
    pub(in crate::gateway) entry: EntryRecord,
    pub(in crate::gateway) seen_at: Option<Instant>,
    /// Control instances that are in direct contact with the entry.
    observers: SmallVec<[EntryObserver; 6]>,
    changed: u64,
    /// Whether this instance is in direct contact with the entry, as its readers were told.
    direct: bool,
    pub(in crate::gateway) silent: bool,
    pub(in crate::gateway) load: EntryLoad,
}

impl EntryRow {
    /// Whether a process of the same name with `incarnation` replaces the known one: if it is newer,
    /// or if the known one is lost, as a clock that was set back gives a later process a lower number.
    fn yields_to(&self, incarnation: Incarnation) -> bool {
        let known = self.entry.incarnation;
        known < incarnation || self.silent && known != incarnation
    }
}

impl FleetRegistry {
    pub(in crate::gateway) fn merge_entry(
        &mut self,
        from: SocketAddr,
        entry: EntryRecord,
        silent: bool,
        now: Instant,
    ) {
        let name = entry.instance.clone();
        let (incarnation, state) = (entry.incarnation, entry.state);
        if let Some(row) = self.entries.get_mut(&name)
            && row.entry.incarnation != incarnation
        {
            row.observers.retain(|observer| observer.address != from);
            self.update_liveness(&name, now);
        }
        let known = self.entries.get(&name);
        if known.is_none_or(|row| !silent && row.yields_to(incarnation)) {
            self.insert_entry(entry, None, now);
        }
        let Some(row) = self.entries.get_mut(&name) else { return };
        if row.entry.incarnation != incarnation {
            return;
        }
        row.observers.retain(|observer| observer.address != from);
        if !silent {
            row.observers.push(EntryObserver { address: from, retained_until: None });
        }
        self.update_state(&name, state);
        self.update_liveness(&name, now);
    }

    /// Stores the state of an entry if it is later than the known one.
    fn update_state(&mut self, name: &InstanceName, state: EntryState) {
        let changed = self.changes + 1;
        let Some(row) = self.entries.get_mut(name) else { return };
        if row.entry.state < state {
            log::info!(entry = name.as_str(), state:?; "entry state");
            row.entry.state = state;
            row.changed = changed;
            self.changes = changed;
        }
    }

    fn insert_entry(&mut self, entry: EntryRecord, seen_at: Option<Instant>, now: Instant) {
        let changed = self.next_change();
        log::info!(
            entry = entry.instance.as_str(), state:? = entry.state, direct = seen_at.is_some();
            "entry known"
        );
        let row = EntryRow {
            seen_at,
            observers: SmallVec::new(),
            changed,
            direct: seen_at.is_some(),
            silent: seen_at.is_none_or(|at| now >= at + ENTRY_TIMEOUT),
            load: EntryLoad::default(),
            entry,
        };
        self.entries.insert(row.entry.instance.clone(), row);
    }

    /// Applies the record and load that an entry sends with each poll.
    pub fn report_entry(&mut self, entry: EntryRecord, load: EntryLoad, now: Instant) {
        let name = entry.instance.clone();
        match self.entries.get(&name) {
            Some(row) if row.entry.incarnation == entry.incarnation => {
                self.update_state(&name, entry.state);
            }
            Some(row) if !row.yields_to(entry.incarnation) => return,
            _ => self.insert_entry(entry.clone(), Some(now), now),
        }
        self.update_unreached(&name, &load.unreached);
        self.update_capacity(&name, load.capacity);
        if let Some(row) = self.entries.get_mut(&name) {
            row.entry.in_flight = entry.in_flight;
            row.seen_at = Some(now);
            row.load = load;
        }
        self.update_speeds(&name, now);
        self.update_liveness(&name, now);
    }

    /// Handles a restart of the control instance at `address`: contact with entries that it reported
    /// before counts only for as long as live entries take to report again.
    pub fn note_restart(&mut self, address: SocketAddr, now: Instant) {
        let observers = self.entries.values_mut().flat_map(|row| &mut row.observers);
        for observer in observers.filter(|observer| observer.address == address) {
            observer.retained_until.get_or_insert(now + ENTRY_TIMEOUT);
        }
    }

    /// Updates whether the entry is considered lost.
    pub(in crate::gateway) fn update_liveness(&mut self, name: &InstanceName, now: Instant) {
        let changed = self.changes + 1;
        let Some(row) = self.entries.get_mut(name) else { return };
        row.observers.retain(|observer| observer.retained_until.is_none_or(|until| now < until));
        let direct = row.seen_at.is_some_and(|at| now < at + ENTRY_TIMEOUT);
        let silent = !direct && row.observers.is_empty();
        if silent != row.silent {
            log::info!(entry = name.as_str(), silent; "entry lost or back");
        }
        // Other control instances must also learn of lost contact while one of them still has it, or
        // two could keep a lost entry for each other's sake.
        if (silent, direct) != (row.silent, row.direct) {
            row.silent = silent;
            row.direct = direct;
            row.changed = changed;
            self.changes = changed;
        }
    }

    /// Forgets that the control instance at `address` was in contact with entries.
    pub(in crate::gateway) fn remove_observer(&mut self, address: SocketAddr) {
        for row in self.entries.values_mut() {
            row.observers.retain(|observer| observer.address != address);
        }
    }

    /// Entries that changed after `cursor`. For another control instance, `silent` means that this one
    /// is not in direct contact with the entry.
    pub fn changed_entries(
        &self,
        cursor: FleetCursor,
        for_control: bool,
        now: Instant,
    ) -> Vec<EntryUpdate> {
        let after = self.position(cursor);
        let rows = self.entries.values().filter(|row| row.changed > after);
        rows.map(|row| {
            let direct = row.seen_at.is_some_and(|at| now < at + ENTRY_TIMEOUT);
            let silent = if for_control { !direct } else { row.silent };
            let unreached = row.load.unreached.clone();
            let capacity = row.load.capacity;
            EntryUpdate { entry: row.entry.clone(), silent, unreached, capacity }
        })
        .collect()
    }

    /// Entries that are not considered lost.
    pub fn live_entries(&self) -> impl Iterator<Item = &EntryRecord> {
        self.live_rows().map(|row| &row.entry)
    }

    /// Rows of entries that are not considered lost.
    pub(in crate::gateway) fn live_rows(&self) -> impl Iterator<Item = &EntryRow> {
        self.entries.values().filter(|row| !row.silent)
    }

    /// Weights of the entries that are not considered lost, by their capacities.
    pub fn entry_weights(&self) -> EntryWeights {
        let rows = self.live_rows();
        EntryWeights::new(
            rows.filter_map(|row| Some((&row.entry.instance, row.load.capacity.as_ref()?))),
        )
    }

    /// Stores the capacity that an entry announces.
    pub(in crate::gateway) fn update_capacity(
        &mut self,
        name: &InstanceName,
        capacity: Option<EntryCapacity>,
    ) {
        let changed = self.changes + 1;
        let Some(row) = self.entries.get_mut(name) else { return };
        if row.load.capacity != capacity {
            if let Some(EntryCapacity { behind_percent, .. }) = capacity {
                log::info!(entry = name.as_str(), behind_percent; "capacity of an entry");
            }
            row.load.capacity = capacity;
            row.changed = changed;
            self.changes = changed;
        }
    }

    /// Stores the pools none of whose upstreams an entry reaches.
    pub(in crate::gateway) fn update_unreached(
        &mut self,
        name: &InstanceName,
        unreached: &UnreachedPools,
    ) {
        let changed = self.changes + 1;
        let Some(row) = self.entries.get_mut(name) else { return };
        if row.load.unreached != *unreached {
            log::info!(entry = name.as_str(), pools = unreached.len(); "pools that an entry does not reach");
            row.load.unreached = unreached.clone();
            row.changed = changed;
            self.changes = changed;
        }
    }
}
