//! Simulated network that carries datagrams between members in one process and injects faults.
//!
//! Simulated time advances only in [`MemberNetwork::run`] and its variants. Runs are deterministic
//! for a given seed.

use crate::traffic::{DATAGRAM_HEADER_BYTES, NodeTraffic, TrafficParts};
use bytes::Bytes;
use cicadastall::{
    bulletin::{decode_packet, encode_packet},
    members::MemberTable,
    name::{ModelName, PoolName, RegionName, UpstreamName, ZoneName},
    outbox::{OutgoingPacket, POLL_PERIOD},
    table::{
        EntryRecord, EntryState, Incarnation, LoadReport, UpstreamRates, UpstreamRecord,
        UpstreamState,
    },
};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use std::{
    collections::{BTreeMap, BTreeSet},
    mem,
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};
use tokio::time::Instant;

/// Resolution of the simulated clock.
const CLOCK_STEP: Duration = Duration::from_millis(5);

/// One-way delay between two nodes of one zone.
const INTRA_ZONE_DELAY: Duration = Duration::from_millis(1);

/// One-way delay between nodes of different zones.
const INTER_ZONE_DELAY: Duration = Duration::from_millis(30);

/// Interval between announcements of an upstream.
const RENEW_PERIOD: Duration = Duration::from_millis(500);

/// Message that is delivered to a node.
#[derive(Debug, Clone)]
enum Delivery {
    Datagram(Bytes, SocketAddr),
    Announcement { record: Box<UpstreamRecord>, renewed_sequence: Option<u64> },
}

#[derive(Debug)]
struct NetworkNode {
    members: MemberTable,
    poll_at: Instant,
    running: bool,
    frozen: Option<Vec<Delivery>>,
    traffic: NodeTraffic,
}

#[derive(Debug)]
struct NetworkUpstream {
    record: UpstreamRecord,
    entries: [usize; 2],
    /// Sequence number of the full announcement that renewals refer to; `None` if the next
    /// announcement must be a full one.
    announced_sequence: Option<u64>,
    announce_at: Instant,
    running: bool,
}

impl NetworkNode {
    /// Applies the renewal of `renewed_sequence`; applies the full announcement if there is none to
    /// renew or the node rejects the renewal.
    fn receive_announcement(
        &mut self,
        record: UpstreamRecord,
        renewed_sequence: Option<u64>,
        now: Instant,
    ) {
        if let Some(renewed_sequence) = renewed_sequence {
            let renewal = record.to_renewal(renewed_sequence);
            self.traffic.announced_bytes += json_bytes(&renewal);
            if self.members.renew(renewal, now).is_some() {
                return;
            }
        }
        self.traffic.announced_bytes += json_bytes(&record);
        self.members.announce(record, now);
    }
}

/// Faults that the network injects.
#[derive(Debug, Clone, Default)]
pub struct NetworkFaults {
    /// Probability that a datagram is lost, from 0 to 1.
    pub loss: f64,
    /// Probability that a datagram is delivered twice, from 0 to 1.
    pub duplicates: f64,
    /// Pairs (sender, receiver) of nodes whose datagrams are dropped, in that direction only.
    pub blocked: BTreeSet<(usize, usize)>,
}

/// Members of a fleet, their upstreams and the network between them.
#[derive(Debug)]
pub struct MemberNetwork {
    now: Instant,
    rng: ChaCha8Rng,
    nodes: Vec<NetworkNode>,
    upstreams: Vec<NetworkUpstream>,
    undelivered: BTreeMap<(Instant, u64), (usize, Delivery)>,
    enqueued: u64,
    parts: Option<TrafficParts>,
    /// Injected faults; may be changed between runs.
    pub faults: NetworkFaults,
}

impl MemberNetwork {
    /// Creates a network without nodes whose random numbers derive from `seed`.
    pub fn new(seed: u64) -> Self {
        Self {
            now: Instant::now(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            nodes: Vec::new(),
            upstreams: Vec::new(),
            undelivered: BTreeMap::new(),
            enqueued: 0,
            parts: None,
            faults: NetworkFaults::default(),
        }
    }

    /// Current simulated time.
    pub fn now(&self) -> Instant {
        self.now
    }

    /// Adds a node whose seeds are the nodes `seeds` and returns its index; zones are named
    /// `REGION-SUFFIX`.
    pub fn add_node(&mut self, zone: &str, seeds: &[usize]) -> usize {
        let index = self.nodes.len();
        let record = EntryRecord {
            grant_address: None,
            instance: format!("{zone}-{index}").as_str().into(),
            incarnation: Incarnation(1_000),
            region: region_of(zone),
            zone: zone.into(),
            caller_address: Some(node_address(index, 2)),
            peer_address: node_address(index, 1),
            state: EntryState::Serving,
            in_flight: 0,
        };
        let seeds = seeds.iter().map(|seed| node_address(*seed, 1)).collect();
        let offset = POLL_PERIOD.mul_f64(self.rng.random_range(0.0..1.0));
        self.nodes.push(NetworkNode {
            members: MemberTable::new(record, seeds, self.rng.random()),
            poll_at: self.now + offset,
            running: true,
            frozen: None,
            traffic: NodeTraffic::default(),
        });
        index
    }

    /// Restarts node `index` with empty state and the nodes `seeds` as its seeds.
    pub fn restart(&mut self, index: usize, seeds: &[usize]) {
        let started = self.nodes[index].members.own().incarnation.0 + 1_000;
        self.restart_at(index, seeds, started);
    }

    /// Restarts node `index` with the incarnation `started_ms`, its wall clock time in
    /// milliseconds.
    ///
    /// A time before the previous start simulates a wall clock that was set back.
    pub fn restart_at(&mut self, index: usize, seeds: &[usize], started_ms: u64) {
        let mut record = self.nodes[index].members.own().clone();
        record.incarnation = Incarnation(started_ms);
        record.state = EntryState::Serving;
        let seeds = seeds.iter().map(|seed| node_address(*seed, 1)).collect();
        let node = &mut self.nodes[index];
        node.members = MemberTable::new(record, seeds, self.rng.random());
        node.poll_at = self.now;
        node.running = true;
        node.frozen = None;
    }

    /// Adds an upstream that announces itself to two nodes of its zone and returns its index.
    pub fn add_upstream(&mut self, pool: &str, model: &str, entries: [usize; 2]) -> usize {
        let index = self.upstreams.len();
        let own = self.nodes[entries[0]].members.own();
        let record = UpstreamRecord {
            name: format!("u{index}").as_str().into(),
            incarnation: Incarnation(1_000),
            sequence: 0,
            region: own.region.clone(),
            zone: own.zone.clone(),
            address: node_address(index, 3),
            pool: PoolName::from(pool),
            models: [ModelName::from(model)].into_iter().collect(),
            state: UpstreamState::Serving,
            rates: UpstreamRates {
                prefill_tokens_per_s: 8_000.0,
                decode_tokens_per_s: 1_000.0,
                max_running: 32,
                kv_tokens: 200_000,
            },
            load: LoadReport::default(),
            checks_fencing: false,
        };
        let offset = RENEW_PERIOD.mul_f64(self.rng.random_range(0.0..1.0));
        let announce_at = self.now + offset;
        self.upstreams.push(NetworkUpstream {
            record,
            entries,
            announced_sequence: None,
            announce_at,
            running: true,
        });
        index
    }

    /// Member table of node `index`.
    pub fn members(&self, index: usize) -> &MemberTable {
        &self.nodes[index].members
    }

    /// Mutable member table of node `index`.
    pub fn members_mut(&mut self, index: usize) -> &mut MemberTable {
        &mut self.nodes[index].members
    }

    /// Name of upstream `index`.
    pub fn upstream_name(&self, index: usize) -> &UpstreamName {
        &self.upstreams[index].record.name
    }

    /// Traffic of node `index` since the last call of [`MemberNetwork::reset_traffic`].
    pub fn traffic(&self, index: usize) -> NodeTraffic {
        self.nodes[index].traffic
    }

    /// Resets the traffic counters of all nodes.
    pub fn reset_traffic(&mut self) {
        for node in &mut self.nodes {
            node.traffic = NodeTraffic::default();
        }
    }

    /// Runs for `duration` and returns the bytes that all nodes sent, by packet part.
    pub fn run_counting_traffic(&mut self, duration: Duration) -> TrafficParts {
        self.parts = Some(TrafficParts::default());
        self.run(duration);
        self.parts.take().unwrap_or_default()
    }

    /// Stops node `index` without notice to other members.
    pub fn crash(&mut self, index: usize) {
        self.nodes[index].running = false;
    }

    /// Suspends node `index` as SIGSTOP does: messages to it are queued.
    pub fn freeze(&mut self, index: usize) {
        self.nodes[index].frozen = Some(Vec::new());
    }

    /// Resumes the suspended node `index` and delivers all queued messages at once.
    pub fn resume(&mut self, index: usize) {
        let queued = self.nodes[index].frozen.take().unwrap_or_default();
        for delivery in queued {
            self.deliver(index, delivery);
        }
    }

    /// Stops upstream `index` without notice to any node.
    pub fn crash_upstream(&mut self, index: usize) {
        self.upstreams[index].running = false;
    }

    /// Changes the state of upstream `index`, which announces it in the next step.
    pub fn set_upstream_state(&mut self, index: usize, state: UpstreamState) {
        let upstream = &mut self.upstreams[index];
        upstream.record.state = state;
        upstream.announced_sequence = None;
        upstream.announce_at = self.now;
    }

    /// Blocks or unblocks datagrams in both directions between the nodes of `zone` and all others.
    pub fn set_zone_isolated(&mut self, zone: &str, isolated: bool) {
        let is_inside = |node: &NetworkNode| node.members.own().zone.as_str() == zone;
        let (inside, outside): (Vec<_>, Vec<_>) =
            (0..self.nodes.len()).partition(|index| is_inside(&self.nodes[*index]));
        for pair in inside.iter().flat_map(|a| outside.iter().map(move |b| (*a, *b))) {
            for direction in [pair, (pair.1, pair.0)] {
                match isolated {
                    true => drop(self.faults.blocked.insert(direction)),
                    false => drop(self.faults.blocked.remove(&direction)),
                }
            }
        }
    }

    /// Advances simulated time by `duration`, rounded up to whole clock steps.
    pub fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.step();
        }
    }

    /// Advances simulated time until `condition` holds and returns the elapsed time, or `None` if
    /// it does not hold within `limit`.
    pub fn run_until(
        &mut self,
        limit: Duration,
        mut condition: impl FnMut(&Self) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        while self.now.duration_since(start) <= limit {
            if condition(self) {
                return Some(self.now.duration_since(start));
            }
            self.step();
        }
        None
    }

    fn step(&mut self) {
        self.now += CLOCK_STEP;
        self.announce_due();
        while let Some(entry) = self.undelivered.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let (index, delivery) = entry.remove();
            self.deliver(index, delivery);
        }
        for index in 0..self.nodes.len() {
            let node = &mut self.nodes[index];
            if node.running && node.frozen.is_none() && node.poll_at <= self.now {
                node.poll_at = self.now + POLL_PERIOD;
                let packets = node.members.poll(self.now);
                self.send(index, packets);
            }
        }
    }

    fn announce_due(&mut self) {
        let now = self.now;
        let mut due = Vec::new();
        for upstream in self.upstreams.iter_mut().filter(|upstream| upstream.running) {
            if upstream.announce_at <= now {
                upstream.announce_at = now + RENEW_PERIOD;
                upstream.record.sequence += 1;
                vary_load(&mut upstream.record.load, &mut self.rng);
                let renewed_sequence = upstream.announced_sequence;
                upstream.announced_sequence.get_or_insert(upstream.record.sequence);
                due.push((upstream.entries, upstream.record.clone(), renewed_sequence));
            }
        }
        for (entries, record, renewed_sequence) in due {
            for entry in entries {
                let record = Box::new(record.clone());
                self.deliver(entry, Delivery::Announcement { record, renewed_sequence });
            }
        }
    }

    fn deliver(&mut self, index: usize, delivery: Delivery) {
        let node = &mut self.nodes[index];
        if !node.running {
            return;
        }
        if let Some(queued) = &mut node.frozen {
            queued.push(delivery);
            return;
        }
        match delivery {
            Delivery::Announcement { record, renewed_sequence } => {
                node.receive_announcement(*record, renewed_sequence, self.now);
            }
            Delivery::Datagram(bytes, origin) => {
                node.traffic.received += 1;
                node.traffic.received_bytes += bytes.len() as u64 + DATAGRAM_HEADER_BYTES;
                if let Ok(packet) = decode_packet(&bytes) {
                    node.members.accept(packet, origin, self.now);
                }
                let replies = node.members.poll_replies(self.now);
                self.send(index, replies);
            }
        }
    }

    fn send(&mut self, index: usize, packets: Vec<OutgoingPacket>) {
        for OutgoingPacket { to, packet } in packets {
            let Ok(bytes) = encode_packet(&packet) else { continue };
            if let Some(parts) = &mut self.parts {
                parts.add(&TrafficParts::for_packet(&packet, to.len() as u64));
            }
            for address in to {
                self.send_bytes(index, address, bytes.clone());
            }
        }
    }

    fn send_bytes(&mut self, index: usize, address: SocketAddr, bytes: Bytes) {
        let traffic = &mut self.nodes[index].traffic;
        traffic.sent += 1;
        traffic.sent_bytes += bytes.len() as u64 + DATAGRAM_HEADER_BYTES;
        let Some(target) = node_index(address).filter(|target| *target < self.nodes.len()) else {
            return;
        };
        let lost = self.rng.random_bool(self.faults.loss);
        if lost || self.faults.blocked.contains(&(index, target)) {
            return;
        }
        let copies = 1 + usize::from(self.rng.random_bool(self.faults.duplicates));
        let same_zone = self.zone(index) == self.zone(target);
        let delay = if same_zone { INTRA_ZONE_DELAY } else { INTER_ZONE_DELAY };
        for _ in 0..copies {
            self.enqueued += 1;
            let delivery = Delivery::Datagram(bytes.clone(), node_address(index, 1));
            self.undelivered.insert((self.now + delay, self.enqueued), (target, delivery));
        }
    }

    fn zone(&self, index: usize) -> &ZoneName {
        &self.nodes[index].members.own().zone
    }

    /// Drops all datagrams that are in transit.
    pub fn drop_undelivered(&mut self) {
        drop(mem::take(&mut self.undelivered));
    }
}

fn json_bytes(body: &impl Serialize) -> u64 {
    serde_json::to_vec(body).map_or(0, |body| body.len() as u64)
}

/// Changes a load report at random, by about as much as a few hundred milliseconds of requests do.
fn vary_load(load: &mut LoadReport, rng: &mut ChaCha8Rng) {
    load.running = load.running.saturating_add_signed(rng.random_range(-4..=4)).min(32);
    let prompt_change = rng.random_range(-2_000..=2_000);
    load.queued_prompt_tokens =
        load.queued_prompt_tokens.saturating_add_signed(prompt_change).min(20_000);
    let kv_change = rng.random_range(-9_000..=9_000);
    load.kv_used_tokens = load.kv_used_tokens.saturating_add_signed(kv_change).min(200_000);
}

fn region_of(zone: &str) -> RegionName {
    zone.rsplit_once('-').map_or(zone, |(region, _)| region).into()
}

/// Address of node or upstream `index`; `port` is 1 for the peer interface, 2 for callers and 3 for
/// an upstream.
fn node_address(index: usize, port: u16) -> SocketAddr {
    let [_, _, high, low] = (index as u32).to_be_bytes();
    (Ipv4Addr::new(10, 0, high, low), port).into()
}

fn node_index(address: SocketAddr) -> Option<usize> {
    let SocketAddr::V4(address) = address else { return None };
    let [_, _, high, low] = address.ip().octets();
    Some(usize::from(u16::from_be_bytes([high, low])))
}
