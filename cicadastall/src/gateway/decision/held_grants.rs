//! Sends to engines that an entry has in flight, and updates that it has yet to report to the owners of
//! the engines. Performs no I/O.

use crate::gateway::{
    decision::{
        grant_allocator::{GrantChange, GrantTicket, GrantUpdate, SendReport},
        tracker::SendEnd,
    },
    knowledge::owners::{EngineOwner, EntryProcess, OwnerMap},
};
use std::{collections::HashMap, net::SocketAddr, time::Duration};
use tokio::time::Instant;

/// Maximum number of updates that are queued for one owner. The owner releases grants whose updates were
/// dropped when their requests expire.
const MAX_PENDING_UPDATES: usize = 1_024;

/// First backoff for an owner that did not answer; it doubles with each failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);

/// Maximum number of doublings of [`INITIAL_BACKOFF`].
const MAX_BACKOFF_DOUBLINGS: u32 = 2;

#[derive(Debug)]
struct HeldGrant {
    send: SendReport,
    sent_at: Instant,
    /// Owner that granted the send or to which it was reported, and its address.
    owner: Option<(EntryProcess, SocketAddr)>,
}

#[derive(Debug, Clone, Copy)]
struct OwnerBackoff {
    until: Instant,
    failures: u32,
}

/// Sends in flight of one entry, with the updates and backoffs of owners by address.
#[derive(Debug, Default)]
pub struct HeldGrants {
    last_ticket: u64,
    held: HashMap<GrantTicket, HeldGrant>,
    pending: HashMap<SocketAddr, Vec<GrantUpdate>>,
    backoffs: HashMap<SocketAddr, OwnerBackoff>,
    /// Whether updates tell when the change took place.
    tells_times: bool,
}

impl HeldGrants {
    /// No grants; owners are told when each change took place if `tells_times`.
    pub fn with_times(tells_times: bool) -> Self {
        Self { tells_times, ..Self::default() }
    }

    /// Tells owners from now on when each change took place if `tells_times`.
    pub fn set_times(&mut self, tells_times: bool) {
        self.tells_times = tells_times;
    }

    /// Returns a new ticket.
    pub fn next_ticket(&mut self) -> GrantTicket {
        self.last_ticket += 1;
        GrantTicket(self.last_ticket)
    }

    /// Records a send; `owner` is the owner that granted it, if any.
    pub fn hold(
        &mut self,
        ticket: GrantTicket,
        send: SendReport,
        owner: Option<&EngineOwner>,
        now: Instant,
    ) {
        let owner = owner.map(|owner| (owner.process.clone(), owner.address));
        self.held.insert(ticket, HeldGrant { send, sent_at: now, owner });
    }

    /// Records that the answer to a send has begun.
    pub fn note_began(&mut self, ticket: GrantTicket) {
        let Some(held) = self.held.get_mut(&ticket) else { return };
        if held.send.began {
            return;
        }
        held.send.began = true;
        let at_ms = elapsed_ms(held.sent_at);
        if let Some((_, address)) = held.owner {
            self.queue_update(address, ticket, GrantChange::Began, Some(at_ms));
        }
    }

    /// Records that the engine of a send asked for no work for `bound`.
    pub fn note_paused(&mut self, ticket: GrantTicket, bound: Duration) {
        if let Some((_, address)) = self.held.get(&ticket).and_then(|held| held.owner.clone()) {
            let bound_ms = u32::try_from(bound.as_millis()).unwrap_or(u32::MAX);
            self.queue_update(address, ticket, GrantChange::Paused(bound_ms), None);
        }
    }

    /// Records the end of a send.
    pub fn end(&mut self, ticket: GrantTicket, end: SendEnd) {
        let Some(held) = self.held.remove(&ticket) else { return };
        if let Some((_, address)) = held.owner {
            let at_ms = elapsed_ms(held.sent_at);
            self.queue_update(address, ticket, GrantChange::Ended(end), Some(at_ms));
        }
    }

    /// Releases a grant that `owner` may have made although its answer was lost or not used.
    pub fn abandon(&mut self, ticket: GrantTicket, owner: &EngineOwner) {
        self.queue_update(owner.address, ticket, GrantChange::Ended(SendEnd::Cancelled), None);
    }

    /// Queues an update; `at_ms` is the time from the send to the change.
    fn queue_update(
        &mut self,
        address: SocketAddr,
        ticket: GrantTicket,
        change: GrantChange,
        at_ms: Option<u32>,
    ) {
        let at_ms = at_ms.filter(|_| self.tells_times);
        let updates = self.pending.entry(address).or_default();
        if updates.len() >= MAX_PENDING_UPDATES {
            log::warn!(owner = address.to_string(); "update queue of an owner is full; update dropped");
            return;
        }
        updates.push(GrantUpdate { ticket, change, at_ms });
    }

    /// Queues reports of the sends that the current owners of their engines did not grant.
    pub fn report_to_new_owners(&mut self, owners: &OwnerMap, now: Instant) {
        let mut reports = Vec::new();
        for (ticket, held) in &mut self.held {
            let owner = owners.owner(&held.send.pool, &held.send.upstream);
            let last = held.owner.as_ref().map(|(process, _)| process);
            let Some(owner) = owner.filter(|owner| Some(&owner.process) != last) else { continue };
            held.owner = Some((owner.process.clone(), owner.address));
            let elapsed_ms = (now - held.sent_at).as_millis() as u32;
            let send = SendReport { elapsed_ms, ..held.send.clone() };
            reports.push((owner.address, *ticket, send));
        }
        for (address, ticket, send) in reports {
            self.queue_update(address, ticket, GrantChange::Taken(Box::new(send)), None);
        }
    }

    /// Addresses of the owners for which updates are queued.
    pub fn owners_to_update(&self) -> Vec<SocketAddr> {
        let waiting = self.pending.iter().filter(|(_, updates)| !updates.is_empty());
        waiting.map(|(address, _)| *address).collect()
    }

    /// Takes the updates that are queued for the owner at `address`.
    pub fn take_updates(&mut self, address: SocketAddr) -> Vec<GrantUpdate> {
        self.pending.remove(&address).unwrap_or_default()
    }

    /// Puts updates that could not be delivered back in front of the queue.
    pub fn requeue_updates(&mut self, address: SocketAddr, mut updates: Vec<GrantUpdate>) {
        let later = self.take_updates(address);
        updates.extend(later);
        updates.truncate(MAX_PENDING_UPDATES);
        self.pending.insert(address, updates);
    }

    /// Drops the updates and backoffs of owners that are not in `addresses`.
    pub fn forget(&mut self, addresses: &[SocketAddr]) {
        self.pending.retain(|address, _| addresses.contains(address));
        self.backoffs.retain(|address, _| addresses.contains(address));
    }

    /// Whether the owner at `address` should not be asked because it recently failed to answer.
    pub fn is_backing_off(&self, address: SocketAddr, now: Instant) -> bool {
        self.backoffs.get(&address).is_some_and(|backoff| now < backoff.until)
    }

    /// Records that the owner at `address` did not answer in time; returns whether this is its first
    /// failure since it last answered.
    pub fn note_failure(&mut self, address: SocketAddr, now: Instant) -> bool {
        let backoff =
            self.backoffs.entry(address).or_insert(OwnerBackoff { until: now, failures: 0 });
        let first = backoff.failures == 0;
        backoff.until =
            now + INITIAL_BACKOFF * 2_u32.pow(backoff.failures.min(MAX_BACKOFF_DOUBLINGS));
        backoff.failures += 1;
        first
    }

    /// Records that the owner at `address` answered, which ends its backoff.
    pub fn note_success(&mut self, address: SocketAddr) {
        if !self.backoffs.is_empty() {
            self.backoffs.remove(&address);
        }
    }
}

/// Time since `sent_at`, in milliseconds.
fn elapsed_ms(sent_at: Instant) -> u32 {
    u32::try_from(sent_at.elapsed().as_millis()).unwrap_or(u32::MAX)
}
