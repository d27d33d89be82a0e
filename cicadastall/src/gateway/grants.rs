//! Places in engines that an entry holds, and what it still has to tell their owners. Without input or
//! output.

use crate::gateway::{
    desk::{GrantChange, GrantNote, GrantTicket, TakenPlace},
    owners::{EngineOwner, EntryProcess, OwnerRing},
    track::SendEnd,
};
use std::{collections::HashMap, net::SocketAddr, time::Duration};
use tokio::time::Instant;

/// Changes that wait for one owner at most; it frees the places of those that are left out when their
/// time is over.
const MOST_NOTES: usize = 1_024;

/// Time for which an owner that did not answer is not asked, at first; it doubles each time.
const FIRST_SILENCE: Duration = Duration::from_millis(500);

/// Doublings of that time at most.
const SILENCE_DOUBLINGS: u32 = 2;

#[derive(Debug)]
struct HeldPlace {
    place: TakenPlace,
    sent_at: Instant,
    /// Owner that knows of the place, and its address.
    owner: Option<(EntryProcess, SocketAddr)>,
}

#[derive(Debug, Clone, Copy)]
struct SilentOwner {
    until: Instant,
    failures: u32,
}

/// Places that one entry holds.
#[derive(Debug, Default)]
pub struct GrantBook {
    next: u64,
    held: HashMap<GrantTicket, HeldPlace>,
    outbox: HashMap<SocketAddr, Vec<GrantNote>>,
    silent: HashMap<SocketAddr, SilentOwner>,
}

impl GrantBook {
    /// A name for a place.
    pub fn take_ticket(&mut self) -> GrantTicket {
        self.next += 1;
        GrantTicket(self.next)
    }

    /// Holds a place that `owner` granted, or that nobody did.
    pub fn hold(
        &mut self,
        ticket: GrantTicket,
        place: TakenPlace,
        owner: Option<&EngineOwner>,
        now: Instant,
    ) {
        let owner = owner.map(|owner| (owner.process.clone(), owner.address));
        self.held.insert(ticket, HeldPlace { place, sent_at: now, owner });
    }

    /// Notes that the answer at a place has begun.
    pub fn note_began(&mut self, ticket: GrantTicket) {
        let Some(held) = self.held.get_mut(&ticket) else { return };
        if held.place.began {
            return;
        }
        held.place.began = true;
        if let Some((_, address)) = held.owner {
            self.tell(address, ticket, GrantChange::Began);
        }
    }

    /// Notes that the engine at a place wants no work for `bound`.
    pub fn note_paused(&mut self, ticket: GrantTicket, bound: Duration) {
        if let Some((_, address)) = self.held.get(&ticket).and_then(|held| held.owner.clone()) {
            let bound_ms = u32::try_from(bound.as_millis()).unwrap_or(u32::MAX);
            self.tell(address, ticket, GrantChange::Paused(bound_ms));
        }
    }

    /// Gives a place back.
    pub fn end(&mut self, ticket: GrantTicket, end: SendEnd) {
        let held = self.held.remove(&ticket);
        if let Some((_, address)) = held.and_then(|held| held.owner) {
            self.tell(address, ticket, GrantChange::Ended(end));
        }
    }

    /// Gives a place back that `owner` may have granted although its answer did not arrive.
    pub fn give_up(&mut self, ticket: GrantTicket, owner: &EngineOwner) {
        self.tell(owner.address, ticket, GrantChange::Ended(SendEnd::Cancelled));
    }

    fn tell(&mut self, address: SocketAddr, ticket: GrantTicket, change: GrantChange) {
        let notes = self.outbox.entry(address).or_default();
        if notes.len() >= MOST_NOTES {
            log::warn!(owner = address.to_string(); "too many changes wait for an owner");
            return;
        }
        notes.push(GrantNote { ticket, change });
    }

    /// Tells the owners in `ring` of places that others granted.
    pub fn settle(&mut self, ring: &OwnerRing, now: Instant) {
        let mut taken = Vec::new();
        for (ticket, held) in &mut self.held {
            let owner = ring.owner(&held.place.pool, &held.place.upstream);
            let told = held.owner.as_ref().map(|(process, _)| process);
            let Some(owner) = owner.filter(|owner| Some(&owner.process) != told) else { continue };
            held.owner = Some((owner.process.clone(), owner.address));
            let elapsed_ms = (now - held.sent_at).as_millis() as u32;
            let place = TakenPlace { elapsed_ms, ..held.place.clone() };
            taken.push((owner.address, *ticket, place));
        }
        for (address, ticket, place) in taken {
            self.tell(address, ticket, GrantChange::Taken(Box::new(place)));
        }
    }

    /// Owners to which there is something to tell.
    pub fn waiting(&self) -> Vec<SocketAddr> {
        let waiting = self.outbox.iter().filter(|(_, notes)| !notes.is_empty());
        waiting.map(|(address, _)| *address).collect()
    }

    /// Takes what is to be told to the owner at `address`.
    pub fn take_notes(&mut self, address: SocketAddr) -> Vec<GrantNote> {
        self.outbox.remove(&address).unwrap_or_default()
    }

    /// Takes back what could not be told.
    pub fn put_back(&mut self, address: SocketAddr, mut notes: Vec<GrantNote>) {
        let later = self.take_notes(address);
        notes.extend(later);
        notes.truncate(MOST_NOTES);
        self.outbox.insert(address, notes);
    }

    /// Forgets owners that are not among `addresses` any more.
    pub fn forget(&mut self, addresses: &[SocketAddr]) {
        self.outbox.retain(|address, _| addresses.contains(address));
        self.silent.retain(|address, _| addresses.contains(address));
    }

    /// Whether the owner at `address` did not answer lately.
    pub fn is_silent(&self, address: SocketAddr, now: Instant) -> bool {
        self.silent.get(&address).is_some_and(|silent| now < silent.until)
    }

    /// Notes that the owner at `address` did not answer in time; returns whether it did before.
    pub fn note_silent(&mut self, address: SocketAddr, now: Instant) -> bool {
        let silent = self.silent.entry(address).or_insert(SilentOwner { until: now, failures: 0 });
        let first = silent.failures == 0;
        silent.until = now + FIRST_SILENCE * 2_u32.pow(silent.failures.min(SILENCE_DOUBLINGS));
        silent.failures += 1;
        first
    }

    /// Notes that the owner at `address` has answered.
    pub fn note_answered(&mut self, address: SocketAddr) {
        if !self.silent.is_empty() {
            self.silent.remove(&address);
        }
    }
}
