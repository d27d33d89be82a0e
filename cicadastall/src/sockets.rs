//! TCP connections that fail when the remote side stops responding.

use socket2::{SockRef, TcpKeepalive};
use std::{
    io,
    net::{IpAddr, SocketAddr},
    time::Duration,
};
use tokio::net::{TcpSocket, TcpStream};

/// Time without an acknowledgement after which an outgoing connection fails. It covers several
/// times the longest round trip between regions, and a retransmission.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// The same for accepted connections: over three times as long, so that the connecting side detects
/// the failure first.
pub const ACCEPTED_SILENCE_TIMEOUT: Duration = Duration::from_secs(8);

/// Idle time before the first TCP keepalive probe, and time between two probes.
const KEEPALIVE_PERIOD: Duration = Duration::from_secs(1);

/// Unanswered keepalive probes after which a connection fails, on systems that do not let the user timeout
/// decide. Linux does: with it set, probes go on until it has passed, whatever their number.
const KEEPALIVE_PROBES: u32 = 2;

/// Connects to `address`, from `source` if it is of the same address family.
pub(crate) async fn open_stream(
    source: Option<IpAddr>,
    address: SocketAddr,
) -> io::Result<TcpStream> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    if let Some(source) = source.filter(|source| source.is_ipv4() == address.is_ipv4()) {
        socket.bind(SocketAddr::new(source, 0))?;
    }
    let stream = socket.connect(address).await?;
    configure_connected(&stream)?;
    Ok(stream)
}

/// Configures an outgoing connection to fail after [`SILENCE_TIMEOUT`] without an acknowledgement.
///
/// # Errors
///
/// Fails if the operating system rejects a socket option.
pub fn configure_connected(stream: &TcpStream) -> io::Result<()> {
    configure_stream(stream, SILENCE_TIMEOUT)
}

/// Configures an accepted connection to fail after [`ACCEPTED_SILENCE_TIMEOUT`], when the
/// connecting side has already closed it. Otherwise data written before and after an outage could
/// be read as one answer that lacks the part in between.
///
/// # Errors
///
/// Fails if the operating system rejects a socket option.
pub fn configure_accepted(stream: &TcpStream) -> io::Result<()> {
    configure_stream(stream, ACCEPTED_SILENCE_TIMEOUT)
}

fn configure_stream(stream: &TcpStream, timeout: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_PERIOD)
        .with_interval(KEEPALIVE_PERIOD)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(timeout))
}
