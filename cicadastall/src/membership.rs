//! Actor that owns the membership state of one instance and exchanges it with others.

use crate::{
    members::MemberTable,
    name::ZoneName,
    node::NodeSettings,
    peer::{MemberExchange, PeerClients},
    table::{EntryRecord, EntryState, Incarnation, RoutingTable, UpstreamRecord},
    wire::{AnnounceReply, EntriesReply, EntryListing},
};
use arc_swap::ArcSwap;
use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};
use rand::seq::IndexedRandom;
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, SystemTime, UNIX_EPOCH},
};
use tokio::time::Instant;

/// Time between two exchanges with peers.
const EXCHANGE_PERIOD: Duration = Duration::from_millis(250);

/// Longest time to wait for a peer's reply.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(1);

/// Time within which an upstream announces itself again.
const RENEW_WITHIN: Duration = Duration::from_millis(500);

/// Time for which a caller may use a listing of entries.
const LISTING_LIFETIME: Duration = Duration::from_secs(5);

/// Messages to the actor.
#[derive(Debug)]
pub enum MembershipMessage {
    /// An upstream announces itself.
    Announce(Box<UpstreamRecord>, RpcReplyPort<AnnounceReply>),
    /// A peer sends what it knows and asks for what this instance knows.
    Exchange(MemberExchange, RpcReplyPort<MemberExchange>),
    /// A peer's reply.
    Merge(MemberExchange),
    /// Changes the readiness of this instance.
    SetState(EntryState),
    /// Lists entries for a caller.
    ListEntries(RpcReplyPort<EntriesReply>),
    /// Time to exchange state.
    Tick,
}

/// What the actor is started with.
#[derive(Debug)]
pub struct MembershipArguments {
    /// Settings of the process.
    pub node: Arc<NodeSettings>,
    /// Address for callers; none for a control instance.
    pub caller_address: Option<SocketAddr>,
    /// Address for other instances.
    pub peer_address: SocketAddr,
    /// Connections to other instances.
    pub clients: Arc<PeerClients>,
    /// Where the routing table is published.
    pub table: Arc<ArcSwap<RoutingTable>>,
    /// Requests in flight at this instance.
    pub in_flight: Arc<AtomicU32>,
}

/// Owner of the membership state.
#[derive(Debug)]
pub struct MembershipActor;

/// State of the actor.
#[derive(Debug)]
pub struct MembershipState {
    arguments: MembershipArguments,
    members: MemberTable,
}

impl Actor for MembershipActor {
    type Msg = MembershipMessage;
    type State = MembershipState;
    type Arguments = MembershipArguments;

    async fn pre_start(
        &self,
        myself: ActorRef<Self::Msg>,
        arguments: Self::Arguments,
    ) -> Result<Self::State, ActorProcessingErr> {
        let started = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let own = EntryRecord {
            instance: arguments.node.instance.clone(),
            incarnation: Incarnation(started.as_millis() as u64),
            region: arguments.node.region.clone(),
            zone: arguments.node.zone.clone(),
            caller_address: arguments.caller_address,
            peer_address: arguments.peer_address,
            state: EntryState::Serving,
            in_flight: 0,
        };
        myself.send_interval(EXCHANGE_PERIOD, || MembershipMessage::Tick);
        Ok(MembershipState { arguments, members: MemberTable::new(own) })
    }

    async fn handle(
        &self,
        myself: ActorRef<Self::Msg>,
        message: Self::Msg,
        state: &mut Self::State,
    ) -> Result<(), ActorProcessingErr> {
        match message {
            MembershipMessage::Announce(record, reply) => {
                let now = Instant::now();
                state.members.accept_upstream(Arc::from(record), Duration::ZERO, now);
                state.publish();
                let _ = reply.send(state.announce_reply());
            }
            MembershipMessage::Exchange(exchange, reply) => {
                let now = Instant::now();
                state.members.accept_exchange(exchange, now);
                let _ = reply.send(state.members.make_exchange(now));
                state.publish();
            }
            MembershipMessage::Merge(exchange) => {
                state.members.accept_exchange(exchange, Instant::now());
                state.publish();
            }
            MembershipMessage::SetState(entry_state) => state.members.set_state(entry_state),
            MembershipMessage::ListEntries(reply) => {
                let _ = reply.send(state.list_entries());
            }
            MembershipMessage::Tick => state.tick(&myself),
        }
        Ok(())
    }
}

impl MembershipState {
    fn publish(&self) {
        self.arguments.table.store(Arc::new(self.members.make_table()));
    }

    fn tick(&mut self, myself: &ActorRef<MembershipMessage>) {
        let now = Instant::now();
        let in_flight = self.arguments.in_flight.load(Ordering::Relaxed);
        self.members.set_in_flight(in_flight);
        self.members.expire(now);
        self.publish();
        for address in self.choose_peers() {
            let exchange = self.members.make_exchange(now);
            let clients = Arc::clone(&self.arguments.clients);
            let myself = myself.clone();
            tokio::spawn(async move {
                let call = clients.call(address, EXCHANGE_TIMEOUT, async |client, context| {
                    client.exchange(context, exchange).await
                });
                match call.await {
                    Ok(reply) => drop(myself.cast(MembershipMessage::Merge(reply))),
                    Err(error) => log::debug!("exchange with {address} failed: {error}"),
                }
            });
        }
    }

    fn choose_peers(&self) -> Vec<SocketAddr> {
        let known = self.members.peer_addresses();
        let own = self.arguments.peer_address;
        let unknown = |address: &&SocketAddr| !known.contains(address) && **address != own;
        let seeds = &self.arguments.node.seeds;
        let mut peers: Vec<_> = seeds.iter().filter(unknown).copied().collect();
        peers.extend(known.choose(&mut rand::rng()).copied());
        peers
    }

    fn announce_reply(&self) -> AnnounceReply {
        let zone = &self.arguments.node.zone;
        let rows = self.list_entries().entries.into_iter().filter(|row| row.zone == *zone);
        let entries = rows.map(|row| row.address);
        AnnounceReply {
            renew_within_ms: RENEW_WITHIN.as_millis() as u64,
            entries: entries.collect(),
        }
    }

    fn list_entries(&self) -> EntriesReply {
        let own = self.members.own();
        let rows = self.members.entries().chain([own]).filter_map(make_listing);
        let mut entries: Vec<_> = rows.collect();
        entries.sort_by(|a, b| rank_listing(a, b, &own.zone));
        EntriesReply { entries, lifetime_ms: LISTING_LIFETIME.as_millis() as u64 }
    }
}

fn make_listing(record: &EntryRecord) -> Option<EntryListing> {
    if record.state != EntryState::Serving {
        return None;
    }
    Some(EntryListing {
        instance: record.instance.clone(),
        zone: record.zone.clone(),
        address: record.caller_address?,
        weight: 1.0 / f64::from(record.in_flight + 1),
    })
}

fn rank_listing(a: &EntryListing, b: &EntryListing, zone: &ZoneName) -> std::cmp::Ordering {
    let distance = |row: &EntryListing| row.zone != *zone;
    distance(a).cmp(&distance(b)).then(b.weight.total_cmp(&a.weight))
}
