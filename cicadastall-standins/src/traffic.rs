//! Counts of what members send, in all and by the part of a datagram that the bytes belong to.

use cicadastall::bulletin::{MemberPacket, PacketBody, encode_packet};
use serde::Serialize;

/// Bytes of the headers of UDP and IP in each datagram.
pub const DATAGRAM_HEADERS: u64 = 28;

/// Traffic of one node.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct NodeTraffic {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes of them, headers of UDP and IP included.
    pub sent_bytes: u64,
    /// Datagrams received.
    pub received: u64,
    /// Bytes of them, headers of UDP and IP included.
    pub received_bytes: u64,
    /// Bytes of upstreams' announcements received, without headers of HTTP.
    pub announced_bytes: u64,
}

/// Bytes sent, by the part of a datagram that they belong to.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct TrafficParts {
    /// Headers of UDP and IP.
    pub headers: u64,
    /// Fields that name the sender.
    pub senders: u64,
    /// Bulletins without rows and renewals.
    pub bulletins: u64,
    /// Rows of bulletins.
    pub rows: u64,
    /// Renewals of bulletins.
    pub renewals: u64,
    /// Digests of zones.
    pub digests: u64,
    /// Probes, questions to helpers and replies to them.
    pub probes: u64,
    /// Joins, introductions, pulls and farewells.
    pub joins: u64,
}

impl TrafficParts {
    /// The parts of `packet`, sent to `receivers` addresses.
    pub fn of_packet(packet: &MemberPacket, receivers: u64) -> Self {
        let sender = length(MemberPacket { sender: packet.sender.clone(), body: PacketBody::Gone });
        let body = length(packet.clone()).saturating_sub(sender);
        let mut parts = Self { headers: DATAGRAM_HEADERS, senders: sender, ..Self::default() };
        match &packet.body {
            PacketBody::Bulletin(bulletin) => {
                let mut rest = packet.clone();
                let mut bulletin = bulletin.clone();
                bulletin.renewals.clear();
                rest.body = PacketBody::Bulletin(bulletin.clone());
                let rows = length(rest.clone()).saturating_sub(sender);
                bulletin.rows.clear();
                rest.body = PacketBody::Bulletin(bulletin);
                parts.bulletins = length(rest).saturating_sub(sender);
                parts.rows = rows - parts.bulletins;
                parts.renewals = body - rows;
            }
            PacketBody::Digest(_) | PacketBody::Refresh(_) | PacketBody::AskDigest => {
                parts.digests = body
            }
            PacketBody::Probe(_) | PacketBody::ProbeFor(..) | PacketBody::Ack(..) => {
                parts.probes = body;
            }
            PacketBody::Pull(_)
            | PacketBody::Introduce(..)
            | PacketBody::Join(_)
            | PacketBody::Gone => parts.joins = body,
        }
        parts.map(|bytes| bytes * receivers)
    }

    /// Adds `other` part by part.
    pub fn add(&mut self, other: &Self) {
        self.headers += other.headers;
        self.senders += other.senders;
        self.bulletins += other.bulletins;
        self.rows += other.rows;
        self.renewals += other.renewals;
        self.digests += other.digests;
        self.probes += other.probes;
        self.joins += other.joins;
    }

    /// Each part changed by `change`.
    pub fn map(&self, change: impl Fn(u64) -> u64) -> Self {
        Self {
            headers: change(self.headers),
            senders: change(self.senders),
            bulletins: change(self.bulletins),
            rows: change(self.rows),
            renewals: change(self.renewals),
            digests: change(self.digests),
            probes: change(self.probes),
            joins: change(self.joins),
        }
    }
}

fn length(packet: MemberPacket) -> u64 {
    encode_packet(&packet).map_or(0, |bytes| bytes.len() as u64)
}
