//! Addresses that stay free until the program that was told them listens there.

#![allow(dead_code)] // each test file uses a part of this module

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::atomic::{AtomicU8, Ordering},
};
use tokio::net::TcpSocket;

static GROUPS: AtomicU8 = AtomicU8::new(0);

/// An address on loopback, held by a socket that is bound and never listens.
///
/// While it is held the system gives its port to no other socket, neither for listening nor for a
/// connection, but a listener that asks for just this port gets it, again and again. Where nobody
/// listens, connections are refused.
#[derive(Debug)]
pub struct ReservedAddress {
    pub address: SocketAddr,
    _socket: TcpSocket,
}

impl ReservedAddress {
    /// Reserves a free port of `ip`.
    pub fn on(ip: Ipv4Addr) -> Self {
        let socket = TcpSocket::new_v4().expect("a socket");
        socket.set_reuseaddr(true).expect("an address that listeners share");
        socket.bind(SocketAddr::from((ip, 0))).expect("a free port");
        Self { address: socket.local_addr().expect("an address"), _socket: socket }
    }

    /// Reserves `count` ports of a loopback address that no other group uses.
    pub fn group(count: usize) -> Vec<Self> {
        let ip = group_ip();
        (0..count).map(|_| Self::on(ip)).collect()
    }
}

/// A loopback address derived from this process and a counter, so that the datagram sockets of a
/// group, too, meet no others.
fn group_ip() -> Ipv4Addr {
    let number = GROUPS.fetch_add(1, Ordering::Relaxed);
    let [high, low] = (std::process::id() as u16).to_be_bytes();
    Ipv4Addr::new(127, 64 + number % 128, high, low)
}
