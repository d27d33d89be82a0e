//! Requests grants from the owners of engines, reports to them how the requests ended, and serves grants
//! for the engines that this entry owns.

use crate::{
    gateway::{
        decision::{
            choice::{ChoiceBasis, ChoiceInput, UpstreamChoice},
            chooser::UpstreamChooser,
            grant_allocator::{
                GrantAllocator, GrantInput, GrantQuery, GrantReply, GrantTicket, GrantUpdates,
                SendReport,
            },
            held_grants::HeldGrants,
        },
        knowledge::{
            conditions::ConditionRecord,
            owners::{EngineOwner, EntryProcess},
            upstream_speed::SpeedRow,
            view::FleetView,
        },
        request::{context::EntryContext, relay::CallRelay},
        settings::GatewaySettings,
    },
    name::UpstreamName,
    peer::{PeerApiClient, PeerClients, PeerError},
    table::EntryRecord,
};
use arc_swap::ArcSwap;
use std::{
    collections::HashSet,
    fmt::Debug,
    future::Future,
    net::SocketAddr,
    pin::Pin,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};
use tokio::time::{Instant, sleep};

/// Longest time for which an owner holds a query while its engines are busy with prefill.
const MAX_HOLD: Duration = Duration::from_millis(100);

/// Further time within which an owner must answer: a round trip within a region, and the scheduling
/// delay of a busy instance.
const MAX_ROUND_TRIP: Duration = Duration::from_millis(100);

/// Time between two reports to the same owner.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Timeout of a report to an owner.
const REPORT_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum number of grants that an entry declines for one attempt because it knows that the engine is
/// paused or leaving.
const MAX_DECLINED_GRANTS: usize = 2;

/// Requests that the owner of engines serves to other entries.
pub(crate) trait GrantService: Debug + Send + Sync {
    /// Answers a query, possibly after a short wait.
    fn grant(
        self: Arc<Self>,
        query: GrantQuery,
    ) -> Pin<Box<dyn Future<Output = GrantReply> + Send>>;

    /// Applies updates of grants.
    fn apply(&self, updates: GrantUpdates);
}

/// Grants that an entry holds, and grants in the engines that it owns.
#[derive(Debug)]
pub(crate) struct EngineGrants {
    held: Mutex<HeldGrants>,
    allocator: Mutex<GrantAllocator>,
    /// View of the fleet, restricted to the engines that this entry owns.
    shard: ArcSwap<FleetView>,
    /// This process; `None` until the first view of the fleet.
    own: ArcSwap<Option<EntryProcess>>,
    clients: Arc<PeerClients>,
}

impl EngineGrants {
    pub(crate) fn new(node: &GatewaySettings) -> Self {
        let (instance, region, zone) =
            (node.instance.clone(), node.region.clone(), node.zone.clone());
        let chooser = UpstreamChooser::new(instance, region, zone, rand::random())
            .with_fair_order(node.measured_load);
        Self {
            held: Mutex::new(HeldGrants::with_times(node.measured_load)),
            allocator: Mutex::new(GrantAllocator::new(chooser)),
            shard: ArcSwap::default(),
            own: ArcSwap::default(),
            clients: Arc::new(PeerClients::new(Some(node.peer_listen.ip()))),
        }
    }

    pub(crate) fn held(&self) -> MutexGuard<'_, HeldGrants> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn allocator(&self) -> MutexGuard<'_, GrantAllocator> {
        self.allocator.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies a new view of the fleet.
    pub(crate) fn set_view(&self, view: &FleetView, own: &EntryRecord) {
        let shard = view.shard_of(own);
        self.allocator().apply_view(&shard, Instant::now());
        let engines: usize = shard.pools.values().map(Vec::len).sum();
        let before: usize = self.shard.load().pools.values().map(Vec::len).sum();
        if engines != before {
            log::info!(engines, before; "engines owned");
        }
        self.shard.store(Arc::new(shard));
        self.own.store(Arc::new(Some(EntryProcess::of(own))));
        let live = view.live.iter().filter_map(|entry| entry.grant_address);
        self.held().forget(&live.collect::<Vec<_>>());
    }

    /// Measures the load of engines from now on.
    pub(crate) fn measure_load(&self) {
        self.allocator().set_fair_order(true);
        self.held().set_times(true);
    }

    /// Merges conditions of upstreams that this entry observed.
    pub(crate) fn merge_conditions(&self, conditions: &[ConditionRecord]) {
        self.allocator().merge_conditions(conditions, Instant::now());
    }

    /// Speeds of the engines that this entry owns, as far as they are measured.
    pub(crate) fn speeds(&self, now: Instant) -> Vec<SpeedRow> {
        self.allocator().speeds(now).collect()
    }

    fn own(&self) -> Option<EntryProcess> {
        (**self.own.load()).clone()
    }
}

impl EntryContext {
    /// Answers a query from the current state of the engines that this entry owns.
    fn grant_now(&self, query: &GrantQuery) -> GrantReply {
        let routes = self.routes.load();
        let mut allocator = self.grants.allocator();
        allocator.grant(
            query,
            &GrantInput {
                rule: routes.pool(&query.pool).map(|pool| &**pool),
                shard: &self.grants.shard.load(),
                load: &self.load.load(),
                starting_up: self.is_discovering(),
                now: Instant::now(),
            },
        )
    }

    /// Answers a query as soon as the answer is not to wait, or after [`MAX_HOLD`] at the latest.
    async fn grant_or_hold(&self, mut query: GrantQuery) -> GrantReply {
        let until = Instant::now() + MAX_HOLD;
        loop {
            let asked_at = Instant::now();
            let reply = self.grant_now(&query);
            let GrantReply::Wait(wait_ms) = reply else { return reply };
            let pause = Duration::from_millis(u64::from(wait_ms));
            if asked_at + pause > until {
                return reply;
            }
            sleep(pause).await;
            let waited_ms = asked_at.elapsed().as_millis() as u32;
            query.updates.clear();
            query.again = true;
            query.elapsed_ms = query.elapsed_ms.saturating_add(waited_ms);
            query.remaining_ms = query.remaining_ms.saturating_sub(waited_ms);
        }
    }

    /// Releases the grants of lost holders and of requests that have expired.
    pub(crate) fn expire_grants(&self) {
        let view = self.view.load();
        self.grants.allocator().expire(&view.live, Instant::now());
    }

    /// Reports updates of grants to their owners periodically, until the task is dropped.
    pub(crate) async fn report_to_owners(self: Arc<Self>) {
        loop {
            sleep(REPORT_INTERVAL).await;
            let Some(own) = self.grants.own() else { continue };
            let owners_to_update = {
                let view = self.view.load();
                let mut held = self.grants.held();
                held.report_to_new_owners(&view.owners, Instant::now());
                held.owners_to_update()
            };
            for address in owners_to_update {
                if Some(address) == self.node.grant_listen {
                    let updates = self.grants.held().take_updates(address);
                    self.apply(GrantUpdates { holder: own.clone(), updates });
                } else if !self.grants.held().is_backing_off(address, Instant::now()) {
                    tokio::spawn(Arc::clone(&self).report_to_owner(address, own.clone()));
                }
            }
        }
    }

    async fn report_to_owner(self: Arc<Self>, address: SocketAddr, holder: EntryProcess) {
        let updates = self.grants.held().take_updates(address);
        let message = GrantUpdates { holder, updates: updates.clone() };
        let call =
            async move |client: PeerApiClient, context| client.note_places(context, message).await;
        if let Err(error) = self.grants.clients.call(address, REPORT_TIMEOUT, call).await {
            self.grants.held().requeue_updates(address, updates);
            self.note_owner_failure(address, &error);
        }
    }

    fn note_owner_failure(&self, address: SocketAddr, error: &PeerError) {
        if self.grants.held().note_failure(address, Instant::now()) {
            log::warn!(owner = address.to_string(); "owner of engines does not answer: {error}");
        }
    }

    /// Sends a query to `owner`, which may be this entry; `None` if it does not answer.
    async fn ask_owner(&self, owner: &EngineOwner, mut query: GrantQuery) -> Option<GrantReply> {
        if owner.process == query.holder {
            query.updates = self.grants.held().take_updates(owner.address);
            return Some(self.grant_or_hold(query).await);
        }
        if self.grants.held().is_backing_off(owner.address, Instant::now()) {
            return None;
        }
        let ticket = query.ticket;
        let updates = self.grants.held().take_updates(owner.address);
        query.updates = updates.clone();
        let call =
            async move |client: PeerApiClient, context| client.grant_place(context, query).await;
        let bound = MAX_HOLD + MAX_ROUND_TRIP;
        match self.grants.clients.call(owner.address, bound, call).await {
            Ok(reply) => {
                self.grants.held().note_success(owner.address);
                Some(reply)
            }
            Err(error) => {
                let mut held = self.grants.held();
                held.requeue_updates(owner.address, updates);
                held.abandon(ticket, owner);
                drop(held);
                self.note_owner_failure(owner.address, &error);
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
        Box::pin(async move { self.grant_or_hold(query).await })
    }

    fn apply(&self, updates: GrantUpdates) {
        self.grants.allocator().apply_updates(&updates.holder, &updates.updates, Instant::now());
    }
}

/// Releases a requested grant when dropped before the grant was used, for example because the caller
/// disconnected.
struct PendingGrant<'a> {
    context: &'a EntryContext,
    ticket: GrantTicket,
    owner: &'a EngineOwner,
    settled: bool,
}

impl Drop for PendingGrant<'_> {
    fn drop(&mut self) {
        if !self.settled {
            self.context.grants.held().abandon(self.ticket, self.owner);
        }
    }
}

/// Outcome of a query to one owner.
enum OwnerReply {
    /// The next step of the request.
    Decided(UpstreamChoice),
    /// The owner refused; another owner may be asked.
    Refused(UpstreamChoice),
    /// The owner did not answer, or owns no engines of the pool.
    Unavailable,
    /// The owner granted an upstream to which this entry may not send.
    Declined(UpstreamName),
}

impl CallRelay {
    /// Requests a grant from the owners of the pool's engines; `None` if there are no owners or none of
    /// them answers.
    pub(crate) async fn ask_owners(&mut self) -> Option<UpstreamChoice> {
        let context = Arc::clone(&self.context);
        let view = context.view.load_full();
        if !view.owners.has_owners(&self.call.pool)
            || !self.call.allows_region(&context.node.region)
        {
            return None;
        }
        let holder = context.grants.own()?;
        let shared = self.call.head.shared_parts().last();
        let key = shared.filter(|_| self.call.route.affinity).map(|part| part.id);
        let key = key.unwrap_or_else(rand::random);
        let mut refused = None;
        let mut declined = 0;
        let engines = view.pools.get(&self.call.pool).map_or(&[][..], Vec::as_slice);
        let owners = match self.origin.software() {
            None => view.owners.candidates(&self.call.pool, key),
            Some(software) => {
                let same = engines.iter().filter(|known| known.upstream.software == *software);
                let same: HashSet<_> = same.map(|known| &known.upstream.name).collect();
                view.owners.candidates_among(&self.call.pool, key, |name| same.contains(name))
            }
        };
        for owner in owners {
            loop {
                match self.ask_owner(&context, &view, owner, &holder).await {
                    OwnerReply::Decided(choice) => return Some(choice),
                    OwnerReply::Refused(choice) => {
                        refused.get_or_insert(choice);
                        break;
                    }
                    OwnerReply::Unavailable => break,
                    OwnerReply::Declined(_) if declined >= MAX_DECLINED_GRANTS => return None,
                    OwnerReply::Declined(upstream) => {
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
    ) -> OwnerReply {
        let query = self.make_query(holder.clone());
        let ticket = query.ticket;
        let mut pending = PendingGrant { context, ticket, owner, settled: false };
        let reply = context.ask_owner(owner, query).await;
        self.owners_asked = true;
        // If the owner did not answer, `ask_owner` has already abandoned the grant it may have made.
        pending.settled = !matches!(reply, Some(GrantReply::Granted { .. }));
        match reply {
            Some(GrantReply::Granted { upstream, basis, paced }) => {
                match self.accept_grant(view, &upstream, basis, paced) {
                    Some(choice) => {
                        pending.settled = true;
                        OwnerReply::Decided(self.hold_grant(choice, Some((ticket, owner))))
                    }
                    None => OwnerReply::Declined(upstream),
                }
            }
            Some(GrantReply::Region { region, entry, basis }) => {
                OwnerReply::Decided(UpstreamChoice::Region { region, entry, basis })
            }
            Some(GrantReply::Wait(wait_ms)) => {
                let pause = Duration::from_millis(u64::from(wait_ms));
                OwnerReply::Decided(UpstreamChoice::Wait(Instant::now() + pause))
            }
            Some(GrantReply::Refused { cause, retry_after_ms, left_out, basis }) => {
                let retry_after = Duration::from_millis(u64::from(retry_after_ms));
                OwnerReply::Refused(UpstreamChoice::Refuse { cause, retry_after, left_out, basis })
            }
            Some(GrantReply::NotOwner) | None => OwnerReply::Unavailable,
        }
    }

    /// Records a send to the granted upstream; `None` if this entry may not send to it.
    fn accept_grant(
        &self,
        view: &FleetView,
        upstream: &UpstreamName,
        basis: ChoiceBasis,
        paced: bool,
    ) -> Option<UpstreamChoice> {
        let context = &self.context;
        let upstreams = view.pools.get(&self.call.pool)?;
        let known = upstreams.iter().find(|known| known.upstream.name == *upstream)?;
        let routes = context.routes.load();
        let input = ChoiceInput {
            call: &self.call,
            pool: routes.pool(&self.call.pool).map(|pool| &**pool),
            software: self.origin.software(),
            tried: &self.tried,
            view,
            load: &context.load.load(),
            starting_up: false,
            zone: None,
            exclusive: false,
            now: Instant::now(),
        };
        context.chooser().accept_grant(&input, known, basis, paced)
    }

    fn make_query(&self, holder: EntryProcess) -> GrantQuery {
        let context = &self.context;
        let call = &self.call;
        let now = Instant::now();
        let head = &call.head;
        let workspace = call.workspace.as_ref().filter(|_| context.measures_load());
        let mut tried_regions = self.tried.regions.clone();
        tried_regions.extend(context.chooser().unreachable_regions(now).cloned());
        let view = context.view.load();
        let engines = view.pools.get(&call.pool).into_iter().flatten();
        let conditions = context.chooser().conditions().list_active(engines.map(|known| &**known));
        GrantQuery {
            holder,
            ticket: context.grants.held().next_ticket(),
            zone: context.node.zone.clone(),
            pool: call.pool.clone(),
            repeat: call.repeat(),
            rank: call.rank(),
            target_ms: call.route.target_ms,
            elapsed_ms: (now - call.received_at).as_millis() as u32,
            remaining_ms: call.remaining(now).as_millis() as u32,
            affinity: call.route.affinity,
            hopped: call.hopped,
            again: self.owners_asked,
            prompt_tokens: head.prompt_tokens,
            expected_tokens: head.expected_tokens(),
            parts: head.parts.iter().map(|part| (part.id, part.tokens)).collect(),
            software: self.origin.software().cloned(),
            tried: self.tried.upstreams.clone(),
            tried_regions,
            // Owners are asked only if this region may serve, so that the homes are not an empty list.
            homes: call.homes().unwrap_or_default(),
            workspace: workspace.map(|workspace| workspace.name.clone()),
            conditions,
            updates: Vec::new(),
        }
    }

    /// Records the send of `choice` as held if the engines of the pool have owners, so that they learn of
    /// it. `granted` is the ticket and its owner, if the choice was granted.
    pub(crate) fn hold_grant(
        &self,
        mut choice: UpstreamChoice,
        granted: Option<(GrantTicket, &EngineOwner)>,
    ) -> UpstreamChoice {
        let call = &self.call;
        if let UpstreamChoice::Upstream { known, basis, ticket, .. } = &mut choice
            && self.context.view.load().owners.has_owners(&call.pool)
        {
            let now = Instant::now();
            let mut held = self.context.grants.held();
            let (new_ticket, owner) = match granted {
                Some((ticket, owner)) => (ticket, Some(owner)),
                None => (held.next_ticket(), None),
            };
            let report = SendReport {
                pool: call.pool.clone(),
                upstream: known.upstream.name.clone(),
                started_ms: known.upstream.started_ms,
                rank: call.rank(),
                prompt_tokens: call.head.prompt_tokens,
                expected_tokens: call.head.expected_tokens(),
                unread_tokens: basis.unread,
                predicted_ms: basis.predicted_ms,
                elapsed_ms: 0,
                remaining_ms: call.remaining(now).as_millis() as u32,
                began: false,
            };
            held.hold(new_ticket, report, owner, now);
            *ticket = Some(new_ticket);
        }
        choice
    }
}
