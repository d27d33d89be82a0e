//! Asks owners of engines for places, and tells them what became of those.

use crate::{
    gateway::{
        choice::{ChoiceBasis, ChoiceInput, UpstreamChoice},
        choose::UpstreamChooser,
        context::EntryContext,
        desk::{DeskInput, GrantDesk, GrantNotes, GrantQuery, GrantReply, GrantTicket, TakenPlace},
        grants::GrantBook,
        owners::{EngineOwner, EntryProcess},
        relay::CallRelay,
        settings::NodeSettings,
        view::FleetView,
    },
    name::UpstreamName,
    peer::{PeerApiClient, PeerClients, PeerError},
    table::EntryRecord,
};
use arc_swap::ArcSwap;
use std::{
    fmt::Debug,
    future::Future,
    net::SocketAddr,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::time::{Instant, sleep};

/// Longest time for which an owner keeps a question while its engines read.
const HOLD_BOUND: Duration = Duration::from_millis(100);

/// Longest time until an owner has answered beyond that: a round trip within a region, and the wait for a
/// busy instance's processor.
const ANSWER_BOUND: Duration = Duration::from_millis(100);

/// Time between two tellings to the same owner.
const TELL_PERIOD: Duration = Duration::from_millis(100);

/// Longest time to tell an owner.
const TELL_BOUND: Duration = Duration::from_millis(500);

/// Engines that an entry is granted for one attempt and does not use, as it knows better.
const MOST_DECLINED: usize = 2;

/// What entries ask of the owner of engines.
pub(crate) trait GrantService: Debug + Send + Sync {
    /// Answers a question for a place.
    fn grant(
        self: Arc<Self>,
        query: GrantQuery,
    ) -> Pin<Box<dyn Future<Output = GrantReply> + Send>>;

    /// Takes what became of places.
    fn note(&self, notes: GrantNotes);
}

/// Places that an entry holds and grants.
#[derive(Debug)]
pub(crate) struct EngineGrants {
    book: Mutex<GrantBook>,
    desk: Mutex<GrantDesk>,
    /// The part of the view whose engines this entry owns.
    shard: ArcSwap<FleetView>,
    /// This process, once it is known to others.
    own: ArcSwap<Option<EntryProcess>>,
    clients: Arc<PeerClients>,
}

impl EngineGrants {
    pub(crate) fn new(node: &NodeSettings) -> Self {
        let (instance, region, zone) =
            (node.instance.clone(), node.region.clone(), node.zone.clone());
        let chooser = UpstreamChooser::new(instance, region, zone, rand::random());
        Self {
            book: Mutex::default(),
            desk: Mutex::new(GrantDesk::new(chooser)),
            shard: ArcSwap::default(),
            own: ArcSwap::default(),
            clients: Arc::new(PeerClients::new(Some(node.peer_listen.ip()))),
        }
    }

    pub(crate) fn book(&self) -> MutexGuard<'_, GrantBook> {
        self.book.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn desk(&self) -> MutexGuard<'_, GrantDesk> {
        self.desk.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes a new view of the fleet.
    pub(crate) fn set_view(&self, view: &FleetView, own: &EntryRecord) {
        let shard = view.shard_of(own);
        self.desk().forget(&shard, Instant::now());
        let engines: usize = shard.pools.values().map(Vec::len).sum();
        let before: usize = self.shard.load().pools.values().map(Vec::len).sum();
        if engines != before {
            log::info!(engines, before; "engines owned");
        }
        self.shard.store(Arc::new(shard));
        self.own.store(Arc::new(Some(EntryProcess::of(own))));
        let live = view.live.iter().filter_map(|entry| entry.grant_address);
        self.book().forget(&live.collect::<Vec<_>>());
    }

    fn own(&self) -> Option<EntryProcess> {
        (**self.own.load()).clone()
    }
}

impl EntryContext {
    /// Answers a question for a place in an engine that this entry owns.
    fn grant_here(&self, query: &GrantQuery) -> GrantReply {
        let routes = self.routes.load();
        let mut desk = self.grants.desk();
        desk.grant(
            query,
            &DeskInput {
                rule: routes.pool(&query.pool).map(|pool| &**pool),
                shard: &self.grants.shard.load(),
                load: &self.load.load(),
                young: self.is_discovering(),
                now: Instant::now(),
            },
        )
    }

    /// Answers such a question once there is something better to say than to wait, or after a while.
    async fn grant_soon(&self, mut query: GrantQuery) -> GrantReply {
        let until = Instant::now() + HOLD_BOUND;
        loop {
            let asked_at = Instant::now();
            let reply = self.grant_here(&query);
            let GrantReply::Wait(wait_ms) = reply else { return reply };
            let pause = Duration::from_millis(u64::from(wait_ms));
            if asked_at + pause > until {
                return reply;
            }
            sleep(pause).await;
            let waited_ms = asked_at.elapsed().as_millis() as u32;
            query.notes.clear();
            query.again = true;
            query.elapsed_ms = query.elapsed_ms.saturating_add(waited_ms);
            query.remaining_ms = query.remaining_ms.saturating_sub(waited_ms);
        }
    }

    /// Frees places that nobody will give back.
    pub(crate) fn expire_grants(&self) {
        let view = self.view.load();
        self.grants.desk().expire(&view.live, Instant::now());
    }

    /// Keeps telling owners what became of places, until its task is dropped.
    pub(crate) async fn tell_owners(self: Arc<Self>) {
        loop {
            sleep(TELL_PERIOD).await;
            let Some(own) = self.grants.own() else { continue };
            let waiting = {
                let view = self.view.load();
                let mut book = self.grants.book();
                book.settle(&view.owners, Instant::now());
                book.waiting()
            };
            for address in waiting {
                if Some(address) == self.node.grant_listen {
                    let notes = self.grants.book().take_notes(address);
                    self.note(GrantNotes { holder: own.clone(), notes });
                } else if !self.grants.book().is_silent(address, Instant::now()) {
                    tokio::spawn(Arc::clone(&self).tell_owner(address, own.clone()));
                }
            }
        }
    }

    async fn tell_owner(self: Arc<Self>, address: SocketAddr, holder: EntryProcess) {
        let notes = self.grants.book().take_notes(address);
        let told = GrantNotes { holder, notes: notes.clone() };
        let call =
            async move |client: PeerApiClient, context| client.note_places(context, told).await;
        if let Err(error) = self.grants.clients.call(address, TELL_BOUND, call).await {
            self.grants.book().put_back(address, notes);
            self.note_silent(address, &error);
        }
    }

    fn note_silent(&self, address: SocketAddr, error: &PeerError) {
        if self.grants.book().note_silent(address, Instant::now()) {
            log::warn!(owner = address.to_string(); "owner of engines does not answer: {error}");
        }
    }

    /// Asks `owner`, which may be this entry; none where it does not answer.
    async fn ask_owner(&self, owner: &EngineOwner, mut query: GrantQuery) -> Option<GrantReply> {
        if owner.process == query.holder {
            query.notes = self.grants.book().take_notes(owner.address);
            return Some(self.grant_soon(query).await);
        }
        if self.grants.book().is_silent(owner.address, Instant::now()) {
            return None;
        }
        let ticket = query.ticket;
        let notes = self.grants.book().take_notes(owner.address);
        query.notes = notes.clone();
        let call =
            async move |client: PeerApiClient, context| client.grant_place(context, query).await;
        let bound = HOLD_BOUND + ANSWER_BOUND;
        match self.grants.clients.call(owner.address, bound, call).await {
            Ok(reply) => {
                self.grants.book().note_answered(owner.address);
                Some(reply)
            }
            Err(error) => {
                let mut book = self.grants.book();
                book.put_back(owner.address, notes);
                book.give_up(ticket, owner);
                drop(book);
                self.note_silent(owner.address, &error);
                None
            }
        }
    }
}

impl GrantService for EntryContext {
    fn grant(
        self: Arc<Self>,
        query: GrantQuery,
    ) -> Pin<Box<dyn Future<Output = GrantReply> + Send>> {
        Box::pin(async move { self.grant_soon(query).await })
    }

    fn note(&self, notes: GrantNotes) {
        self.grants.desk().take_notes(&notes.holder, &notes.notes, Instant::now());
    }
}

/// Gives a place back if it is dropped before the place was taken, as a caller that leaves does.
struct PendingGrant<'a> {
    context: &'a EntryContext,
    ticket: GrantTicket,
    owner: &'a EngineOwner,
    settled: bool,
}

impl Drop for PendingGrant<'_> {
    fn drop(&mut self) {
        if !self.settled {
            self.context.grants.book().give_up(self.ticket, self.owner);
        }
    }
}

/// What an owner's answer means for the request.
enum OwnerAnswer {
    /// The next step is decided.
    Decided(UpstreamChoice),
    /// This owner has no place.
    Refused(UpstreamChoice),
    /// The owner did not answer, or is none.
    Silent,
    /// This entry knows better than to use the place.
    Declined(UpstreamName),
}

impl CallRelay {
    /// Asks the owners of the pool's engines for a place; none where there are none or they do not answer.
    pub(crate) async fn ask_owners(&mut self) -> Option<UpstreamChoice> {
        let context = Arc::clone(&self.context);
        let view = context.view.load_full();
        if !view.owners.is_shared(&self.call.pool)
            || !self.call.route.allows_region(&context.node.region)
        {
            return None;
        }
        let holder = context.grants.own()?;
        let shared = self.call.head.shared_parts().last();
        let key = shared.filter(|_| self.call.route.affinity).map(|part| part.id);
        let key = key.unwrap_or_else(rand::random);
        let mut refused = None;
        let mut declined = 0;
        for owner in view.owners.choose(&self.call.pool, key) {
            loop {
                match self.ask_owner(&context, &view, owner, &holder).await {
                    OwnerAnswer::Decided(choice) => return Some(choice),
                    OwnerAnswer::Refused(choice) => {
                        refused.get_or_insert(choice);
                        break;
                    }
                    OwnerAnswer::Silent => break,
                    OwnerAnswer::Declined(_) if declined >= MOST_DECLINED => return None,
                    OwnerAnswer::Declined(upstream) => {
                        self.tried.upstreams.push(upstream);
                        declined += 1;
                    }
                }
            }
        }
        refused
    }

    async fn ask_owner(
        &mut self,
        context: &EntryContext,
        view: &FleetView,
        owner: &EngineOwner,
        holder: &EntryProcess,
    ) -> OwnerAnswer {
        let query = self.make_query(holder.clone());
        let ticket = query.ticket;
        let mut pending = PendingGrant { context, ticket, owner, settled: false };
        let reply = context.ask_owner(owner, query).await;
        self.owners_asked = true;
        // An owner that did not answer may have granted all the same, and was told so.
        pending.settled = !matches!(reply, Some(GrantReply::Granted { .. }));
        match reply {
            Some(GrantReply::Granted { upstream, basis }) => {
                match self.take_place(view, &upstream, basis) {
                    Some(choice) => {
                        pending.settled = true;
                        OwnerAnswer::Decided(self.hold_place(choice, Some((ticket, owner))))
                    }
                    None => OwnerAnswer::Declined(upstream),
                }
            }
            Some(GrantReply::Region { region, entry, basis }) => {
                OwnerAnswer::Decided(UpstreamChoice::Region { region, entry, basis })
            }
            Some(GrantReply::Wait(wait_ms)) => {
                let pause = Duration::from_millis(u64::from(wait_ms));
                OwnerAnswer::Decided(UpstreamChoice::Wait(Instant::now() + pause))
            }
            Some(GrantReply::Refused { cause, retry_after_ms, left_out, basis }) => {
                let retry_after = Duration::from_millis(u64::from(retry_after_ms));
                OwnerAnswer::Refused(UpstreamChoice::Refuse { cause, retry_after, left_out, basis })
            }
            Some(GrantReply::NotOwner) | None => OwnerAnswer::Silent,
        }
    }

    /// Counts the request at the granted upstream, if this entry may send to it.
    fn take_place(
        &self,
        view: &FleetView,
        upstream: &UpstreamName,
        basis: ChoiceBasis,
    ) -> Option<UpstreamChoice> {
        let context = &self.context;
        let upstreams = view.pools.get(&self.call.pool)?;
        let known = upstreams.iter().find(|known| known.upstream.name == *upstream)?;
        let routes = context.routes.load();
        let input = ChoiceInput {
            call: &self.call,
            pool: routes.pool(&self.call.pool).map(|pool| &**pool),
            tried: &self.tried,
            view,
            load: &context.load.load(),
            young: false,
            zone: None,
            sole: false,
            now: Instant::now(),
        };
        context.chooser().take_granted(&input, known, basis)
    }

    fn make_query(&self, holder: EntryProcess) -> GrantQuery {
        let context = &self.context;
        let call = &self.call;
        let now = Instant::now();
        let head = &call.head;
        let mut tried_regions = self.tried.regions.clone();
        tried_regions.extend(context.chooser().cut_off(now).cloned());
        GrantQuery {
            holder,
            ticket: context.grants.book().take_ticket(),
            zone: context.node.zone.clone(),
            pool: call.pool.clone(),
            repeat: call.repeat(),
            rank: call.route.rank,
            target_ms: call.route.target_ms,
            elapsed_ms: (now - call.received_at).as_millis() as u32,
            remaining_ms: call.remaining(now).as_millis() as u32,
            affinity: call.route.affinity,
            hopped: call.hopped,
            again: self.owners_asked,
            prompt_tokens: head.prompt_tokens,
            expected_tokens: head.expected_tokens(),
            parts: head.parts.iter().map(|part| (part.id, part.tokens)).collect(),
            tried: self.tried.upstreams.clone(),
            tried_regions,
            homes: call.route.homes.clone(),
            notes: Vec::new(),
        }
    }

    /// Holds the place of a choice in a pool whose engines have owners.
    pub(crate) fn hold_place(
        &self,
        mut choice: UpstreamChoice,
        granted: Option<(GrantTicket, &EngineOwner)>,
    ) -> UpstreamChoice {
        let call = &self.call;
        if let UpstreamChoice::Upstream { known, basis, ticket, .. } = &mut choice
            && self.context.view.load().owners.is_shared(&call.pool)
        {
            let now = Instant::now();
            let mut book = self.context.grants.book();
            let (name, owner) = match granted {
                Some((ticket, owner)) => (ticket, Some(owner)),
                None => (book.take_ticket(), None),
            };
            let place = TakenPlace {
                pool: call.pool.clone(),
                upstream: known.upstream.name.clone(),
                started_ms: known.upstream.started_ms,
                rank: call.route.rank,
                prompt_tokens: call.head.prompt_tokens,
                expected_tokens: call.head.expected_tokens(),
                unread_tokens: basis.unread,
                predicted_ms: basis.predicted_ms,
                elapsed_ms: 0,
                remaining_ms: call.remaining(now).as_millis() as u32,
                began: false,
            };
            book.hold(name, place, owner, now);
            *ticket = Some(name);
        }
        choice
    }
}
