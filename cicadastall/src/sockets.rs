//! Connections to other processes that break when the other side falls silent.

use socket2::{SockRef, TcpKeepalive};
use std::{
    io,
    net::{IpAddr, SocketAddr},
    time::Duration,
};
use tokio::net::{TcpSocket, TcpStream};

/// Time without an acknowledgement after which a connection counts as broken; several times the
/// longest round trip between regions, and a retransmission.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// The same for accepted connections: over three times as long, so that the other side notices first.
pub const ACCEPTED_SILENCE_TIMEOUT: Duration = Duration::from_secs(8);

/// Rest after which an idle connection is probed, and time between two probes.
const KEEPALIVE_PERIOD: Duration = Duration::from_secs(1);

/// Unanswered probes after which a connection counts as broken.
const KEEPALIVE_PROBES: u32 = 2;

/// Connects to `address`, from `source` if it is of the same family.
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

/// Lets a connection that was opened here break when the other side falls silent.
pub fn configure_connected(stream: &TcpStream) -> io::Result<()> {
    configure_stream(stream, SILENCE_TIMEOUT)
}

/// Lets an accepted connection break when the other side has been silent for so long that it has given
/// the connection up itself: what is written before a silence and after it must not be read in one
/// answer that misses a part.
pub fn configure_accepted(stream: &TcpStream) -> io::Result<()> {
    configure_stream(stream, ACCEPTED_SILENCE_TIMEOUT)
}

fn configure_stream(stream: &TcpStream, silence: Duration) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_PERIOD)
        .with_interval(KEEPALIVE_PERIOD)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(silence))
}
