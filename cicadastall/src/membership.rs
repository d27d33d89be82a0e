//! Actor that owns the membership state of one instance and exchanges datagrams with its peers.

use crate::{
    bulletin::{MemberPacket, decode_packet, encode_packet},
    clock::{millis, unix_ms},
    directory::{PublishPlan, put_listing},
    http::{self, HttpClient},
    listing::list_entries,
    members::{EntryFault, MemberTable},
    name::{UpstreamName, ZoneName},
    node::NodeSettings,
    outbox::{OutgoingPacket, POLL_PERIOD},
    settings_store::SettingsStore,
    table::{EntryRecord, EntryState, Incarnation, RoutingTable, UpstreamRecord, UpstreamRenewal},
    wire::{AnnounceReply, EntriesReply},
};
use arc_swap::ArcSwap;
use ractor::{Actor, ActorProcessingErr, ActorRef, RpcReplyPort};
use std::{
    collections::BTreeSet,
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};
use tokio::{
    net::UdpSocket,
    time::{Instant, sleep},
};

/// Time within which an upstream must renew its announcement.
const RENEWAL_DEADLINE: Duration = Duration::from_millis(500);

/// Maximum number of entries listed in the reply to an announcement.
const MAX_REPLY_ENTRIES: usize = 4;

/// Time after a change of the zone's entries during which replies to renewals list them. It
/// spans several renewal periods.
const ENTRIES_CHANGE_WINDOW: Duration = Duration::from_secs(5);

/// Time after the start during which an instance collects the members and upstreams of its zone
/// before it serves.
const DISCOVERY_PERIOD: Duration = Duration::from_millis(1_500);

/// Size of the receive buffer, the maximum size of a datagram.
const MAX_PACKET_BYTES: usize = 65_536;

/// Delay before receiving again after a receive error.
const RECEIVE_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Messages to the actor.
#[derive(Debug)]
pub enum MembershipMessage {
    /// An upstream announces itself.
    Announce(Box<UpstreamRecord>, RpcReplyPort<AnnounceReply>),
    /// An upstream renews its announcement.
    Renew(Box<UpstreamRenewal>, RpcReplyPort<AnnounceReply>),
    /// A datagram arrived from another instance at the address.
    Packet(Box<MemberPacket>, SocketAddr),
    /// Changes the readiness of this instance.
    SetState(EntryState),
    /// Notifies the zone that this process is terminating.
    Leave(RpcReplyPort<()>),
    /// An operator drains an upstream; the reply is whether the upstream is known.
    DrainUpstream(UpstreamName, RpcReplyPort<bool>),
    /// The entry at the address in another zone did not accept a request; excludes it for a time.
    ReportEntryFault(ZoneName, SocketAddr, EntryFault, RpcReplyPort<()>),
    /// Lists entries for a caller.
    ListEntries(RpcReplyPort<EntriesReply>),
    /// Publishing the zone's listing to the directory failed.
    PublishFailed,
    /// Periodic timer: sends the datagrams that are due.
    Tick,
}

/// Arguments with which the actor is started.
#[derive(Debug)]
pub struct MembershipArguments {
    /// Settings of the process.
    pub node: Arc<NodeSettings>,
    /// Address for callers; `None` for a control instance.
    pub caller_address: Option<SocketAddr>,
    /// Address for other instances.
    pub peer_address: SocketAddr,
    /// Socket for datagrams, bound to the peer address.
    pub socket: Arc<UdpSocket>,
    /// Shared routing table that the actor replaces after each change.
    pub table: Arc<ArcSwap<RoutingTable>>,
    /// Requests in flight at this instance.
    pub in_flight: Arc<AtomicU32>,
    /// Settings of the fleet.
    pub settings: Arc<SettingsStore>,
}

/// Owner of the membership state.
#[derive(Debug)]
pub struct MembershipActor;

/// State of the actor.
#[derive(Debug)]
pub struct MembershipState {
    arguments: MembershipArguments,
    members: MemberTable,
    started_at: Instant,
    plan: PublishPlan,
    client: HttpClient,
    listed_entries: BTreeSet<SocketAddr>,
    entries_changed_at: Instant,
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
        let own = EntryRecord {
            grant_address: None,
            instance: arguments.node.instance.clone(),
            incarnation: Incarnation(unix_ms()),
            region: arguments.node.region.clone(),
            zone: arguments.node.zone.clone(),
            caller_address: arguments.caller_address,
            peer_address: arguments.peer_address,
            state: EntryState::Starting,
            in_flight: 0,
        };
        let members = MemberTable::new(own, arguments.node.seeds.clone(), rand::random());
        myself.send_interval(POLL_PERIOD, || MembershipMessage::Tick);
        let client = http::client_from(arguments.node.source_ip(), 0);
        let plan = PublishPlan::default();
        let started_at = Instant::now();
        Ok(MembershipState {
            arguments,
            members,
            started_at,
            plan,
            client,
            listed_entries: BTreeSet::new(),
            entries_changed_at: started_at,
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<Self::Msg>,
        message: Self::Msg,
        state: &mut Self::State,
    ) -> Result<(), ActorProcessingErr> {
        let now = Instant::now();
        match message {
            MembershipMessage::Announce(record, reply) => {
                let drain = state.members.announce(*record, now);
                state.publish_table(now);
                let _ = reply.send(state.reply_announcement(drain, now));
            }
            MembershipMessage::Renew(renewal, reply) => {
                let drain = state.members.renew(*renewal, now);
                state.publish_table(now);
                let _ = reply.send(state.reply_renewal(drain, now));
            }
            MembershipMessage::Packet(packet, origin) => {
                state.members.accept(*packet, origin, now);
                let replies = state.members.poll_replies(now);
                state.send(replies);
            }
            MembershipMessage::SetState(entry_state) => {
                state.members.set_state(entry_state);
                state.tick(now);
            }
            MembershipMessage::Leave(reply) => {
                let departure = state.members.make_departure_packet();
                state.send(vec![departure]);
                let _ = reply.send(());
            }
            MembershipMessage::DrainUpstream(name, reply) => {
                let known = state.members.drain_upstream(&name);
                state.tick(now);
                let _ = reply.send(known);
            }
            MembershipMessage::ReportEntryFault(zone, address, fault, reply) => {
                state.members.record_entry_fault(&zone, address, fault, now);
                state.publish_table(now);
                let _ = reply.send(());
            }
            MembershipMessage::ListEntries(reply) => {
                let _ = reply.send(list_entries(&state.members, now));
            }
            MembershipMessage::PublishFailed => state.plan.mark_failed(),
            MembershipMessage::Tick => {
                state.tick(now);
                state.publish_listing(&myself, now);
            }
        }
        Ok(())
    }
}

impl MembershipState {
    fn publish_table(&self, now: Instant) {
        self.arguments.table.store(Arc::new(self.members.make_table(now)));
    }

    fn tick(&mut self, now: Instant) {
        let in_flight = self.arguments.in_flight.load(Ordering::Relaxed);
        self.members.set_in_flight(in_flight);
        let discovered = now.duration_since(self.started_at) >= DISCOVERY_PERIOD;
        let starting = self.members.own().state == EntryState::Starting;
        if starting && discovered && self.arguments.settings.is_ready() {
            self.members.set_state(EntryState::Serving);
        }
        let packets = self.members.poll(now);
        self.publish_table(now);
        self.send(packets);
    }

    /// Publishes the zone's listing to the directory if one is configured and the listing is due.
    fn publish_listing(&mut self, myself: &ActorRef<MembershipMessage>, now: Instant) {
        let Some(directory) = self.arguments.node.directory else { return };
        let listing = list_entries(&self.members, now);
        let Some(listing) = self.plan.due_listing(&self.members, &listing, now) else { return };
        let client = self.client.clone();
        let zone = self.members.own().zone.clone();
        let myself = myself.clone();
        tokio::spawn(async move {
            if !put_listing(&client, directory, zone.as_str(), &listing).await {
                let _ = myself.cast(MembershipMessage::PublishFailed);
            }
        });
    }

    /// Sends datagrams. One that the socket cannot accept now is dropped, since the protocol
    /// tolerates loss.
    fn send(&self, packets: Vec<OutgoingPacket>) {
        for OutgoingPacket { to, packet } in packets {
            let Ok(bytes) = encode_packet(&packet) else { continue };
            for address in to {
                if let Err(error) = self.arguments.socket.try_send_to(&bytes, address) {
                    log::debug!("failed to send a datagram to {address}: {error}");
                }
            }
        }
    }

    fn reply_announcement(&self, drain: bool, now: Instant) -> AnnounceReply {
        announce_reply(self.zone_entries(now), drain, false)
    }

    /// The reply to a renewal; `drain` is `None` if there is no announcement to renew.
    fn reply_renewal(&mut self, drain: Option<bool>, now: Instant) -> AnnounceReply {
        let mut entries = self.zone_entries(now);
        let listed_entries = entries.iter().copied().collect();
        if listed_entries != self.listed_entries {
            self.listed_entries = listed_entries;
            self.entries_changed_at = now;
        }
        if now.duration_since(self.entries_changed_at) >= ENTRIES_CHANGE_WINDOW {
            entries.clear();
        }
        announce_reply(entries, drain.unwrap_or_default(), drain.is_none())
    }

    /// Caller addresses of the zone's entries, in the order of the listing.
    fn zone_entries(&self, now: Instant) -> Vec<SocketAddr> {
        let zone = &self.members.own().zone;
        let listing = list_entries(&self.members, now).entries;
        listing.into_iter().filter(|row| row.zone == *zone).map(|row| row.address).collect()
    }
}

/// Builds the reply to an announcement or a renewal, which lists the first of `entries`.
fn announce_reply(mut entries: Vec<SocketAddr>, drain: bool, announce: bool) -> AnnounceReply {
    entries.truncate(MAX_REPLY_ENTRIES);
    AnnounceReply { renew_within_ms: millis(RENEWAL_DEADLINE), entries, drain, announce }
}

/// Forwards received datagrams to `membership` until the actor stops or the task is aborted.
pub(crate) async fn receive_packets(
    socket: Arc<UdpSocket>,
    membership: ActorRef<MembershipMessage>,
) {
    let mut buffer = vec![0; MAX_PACKET_BYTES];
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                log::debug!("failed to receive a datagram: {error}");
                sleep(RECEIVE_RETRY_DELAY).await;
                continue;
            }
        };
        match decode_packet(&buffer[..length]) {
            Ok(packet) => {
                let message = MembershipMessage::Packet(Box::new(packet), from);
                if membership.cast(message).is_err() {
                    return;
                }
            }
            Err(error) => log::debug!("failed to decode a datagram from {from}: {error}"),
        }
    }
}
