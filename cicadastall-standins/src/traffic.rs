//! Traffic counters of members: totals for each node, and bytes by packet part.

use cicadastall::bulletin::{MemberPacket, PacketBody, encode_packet};
use serde::Serialize;

/// Size of the IPv4 and UDP headers of a datagram, in bytes.
pub const DATAGRAM_HEADER_BYTES: u64 = 28;

/// Traffic of one node.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct NodeTraffic {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes sent, including IP and UDP headers.
    pub sent_bytes: u64,
    /// Datagrams received.
    pub received: u64,
    /// Bytes received, including IP and UDP headers.
    pub received_bytes: u64,
    /// Body bytes of the upstream announcements received, without HTTP headers.
    pub announced_bytes: u64,
}

/// Bytes sent, by packet part.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct TrafficParts {
    /// IP and UDP headers.
    pub headers: u64,
    /// Fields that name the sender.
    pub senders: u64,
    /// Bulletins, excluding their rows and renewals.
    pub bulletins: u64,
    /// Rows of bulletins.
    pub rows: u64,
    /// Renewals of bulletins.
    pub renewals: u64,
    /// Digests of zones.
    pub digests: u64,
    /// Direct probes, indirect probe requests and acknowledgements.
    pub probes: u64,
    /// Joins, introductions, pulls and `Gone` packets.
    pub joins: u64,
}

impl TrafficParts {
    /// Counts the bytes of `packet` by part, multiplied by the number of `receivers`.
    ///
    /// Sizes within the body are the differences of the encoded sizes with and without a part.
    pub fn for_packet(packet: &MemberPacket, receivers: u64) -> Self {
        let sender_bytes =
            encoded_bytes(MemberPacket { sender: packet.sender.clone(), body: PacketBody::Gone });
        let body_bytes = encoded_bytes(packet.clone()).saturating_sub(sender_bytes);
        let mut parts =
            Self { headers: DATAGRAM_HEADER_BYTES, senders: sender_bytes, ..Self::default() };
        match &packet.body {
            PacketBody::Bulletin(bulletin) => {
                let mut remainder = packet.clone();
                let mut bulletin = bulletin.clone();
                bulletin.renewals.clear();
                remainder.body = PacketBody::Bulletin(bulletin.clone());
                let bytes_without_renewals =
                    encoded_bytes(remainder.clone()).saturating_sub(sender_bytes);
                bulletin.rows.clear();
                remainder.body = PacketBody::Bulletin(bulletin);
                parts.bulletins = encoded_bytes(remainder).saturating_sub(sender_bytes);
                parts.rows = bytes_without_renewals - parts.bulletins;
                parts.renewals = body_bytes - bytes_without_renewals;
            }
            PacketBody::Digest(_) | PacketBody::Refresh(_) | PacketBody::AskDigest => {
                parts.digests = body_bytes
            }
            PacketBody::Probe(_) | PacketBody::ProbeFor(..) | PacketBody::Ack(..) => {
                parts.probes = body_bytes;
            }
            PacketBody::Pull(_)
            | PacketBody::Introduce(..)
            | PacketBody::Join(_)
            | PacketBody::Gone => parts.joins = body_bytes,
        }
        parts.map(|bytes| bytes * receivers)
    }

    /// Adds the counts of `other` to each part.
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

    /// Applies `transform` to each part.
    pub fn map(&self, transform: impl Fn(u64) -> u64) -> Self {
        Self {
            headers: transform(self.headers),
            senders: transform(self.senders),
            bulletins: transform(self.bulletins),
            rows: transform(self.rows),
            renewals: transform(self.renewals),
            digests: transform(self.digests),
            probes: transform(self.probes),
            joins: transform(self.joins),
        }
    }
}

fn encoded_bytes(packet: MemberPacket) -> u64 {
    encode_packet(&packet).map_or(0, |bytes| bytes.len() as u64)
}
