//! Loopback addresses reserved for processes that a test starts later.

#![allow(dead_code)] // each test file uses a part of this module

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::atomic::{AtomicU8, Ordering},
};
use tokio::net::TcpSocket;

static GROUP_COUNT: AtomicU8 = AtomicU8::new(0);

/// A loopback address, reserved by a socket that is bound and never listens.
///
/// While it exists, the operating system assigns the port to no other socket, neither for listening
/// nor for outgoing connections; a listener that binds the port explicitly succeeds, repeatedly.
/// Connections are refused while nothing listens.
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
        let ip = unique_loopback_ip();
        (0..count).map(|_| Self::on(ip)).collect()
    }
}

/// A loopback address derived from the process id and a counter, so that the UDP sockets of
/// concurrent groups do not collide either.
fn unique_loopback_ip() -> Ipv4Addr {
    let number = GROUP_COUNT.fetch_add(1, Ordering::Relaxed);
    let [high, low] = (std::process::id() as u16).to_be_bytes();
    Ipv4Addr::new(127, 64 + number % 128, high, low)
}
