//! Determines whether an upstream that broke off an answer is alive or has crashed.

use std::{
    io::{self, ErrorKind},
    net::SocketAddr,
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    time::{sleep, timeout},
};

/// Maximum duration of a probe; a killed process with many threads on a busy machine keeps its
/// listener open for about 100 ms after its connections are closed.
pub const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout for establishing a connection; a network that drops packets delays a retry by this time.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Delay between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// First bytes of every HTTP/1 response.
const RESPONSE_PREFIX: &[u8; 5] = b"HTTP/";

/// Result of a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeVerdict {
    /// The upstream answers HTTP requests on new connections.
    Alive,
    /// The upstream refuses connections, so its process has ended.
    Crashed,
    /// The upstream is unreachable, or accepts connections without answering.
    Unknown,
}

/// Result of one attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeStep {
    /// The result is definite, or another attempt is not worthwhile.
    Done(ProbeVerdict),
    /// The connection was closed before an answer, as happens while a process ends.
    Retry,
}

/// Probes the upstream at `address` until it is known to be alive or crashed, for at most
/// `time_limit` and never longer than [`PROBE_TIMEOUT`].
///
/// An unreachable upstream is not considered crashed, since the network may be at fault. An
/// upstream that still accepts connections is not considered crashed either, since a process that
/// ends may close the connections of its requests well before its listener.
pub async fn probe_upstream(address: SocketAddr, time_limit: Duration) -> ProbeVerdict {
    let probe = timeout(time_limit.min(PROBE_TIMEOUT), async {
        loop {
            match probe_once(address).await {
                ProbeStep::Done(verdict) => return verdict,
                ProbeStep::Retry => sleep(RETRY_DELAY).await,
            }
        }
    });
    probe.await.unwrap_or(ProbeVerdict::Unknown)
}

/// Classifies an error from establishing a connection to an upstream.
///
/// A listener that closes while a connection is being established resets it, and the next
/// connection is refused.
pub fn classify_connect_error(error: ErrorKind) -> ProbeStep {
    match error {
        ErrorKind::ConnectionRefused => ProbeStep::Done(ProbeVerdict::Crashed),
        ErrorKind::ConnectionReset | ErrorKind::ConnectionAborted => ProbeStep::Retry,
        _ => ProbeStep::Done(ProbeVerdict::Unknown),
    }
}

/// Delays before the connections of [`probe_listener`].
const LISTENER_DELAYS: [Duration; 2] = [Duration::from_millis(50), Duration::from_millis(250)];

/// Probes the upstream at `address` by connecting only, without a request that it would have to run.
///
/// An upstream that accepts the last connection is considered alive, also one that was restarted in
/// between.
pub async fn probe_listener(address: SocketAddr) -> ProbeVerdict {
    for delay in LISTENER_DELAYS {
        sleep(delay).await;
        match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
            Ok(Ok(_)) => {}
            Ok(Err(error)) => match classify_connect_error(error.kind()) {
                ProbeStep::Done(verdict) => return verdict,
                ProbeStep::Retry => {}
            },
            Err(_) => return ProbeVerdict::Unknown,
        }
    }
    ProbeVerdict::Alive
}

async fn probe_once(address: SocketAddr) -> ProbeStep {
    let mut stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => return classify_connect_error(error.kind()),
        Err(_) => return ProbeStep::Done(ProbeVerdict::Unknown),
    };
    match read_prefix(&mut stream, address).await {
        Ok(prefix) if prefix == *RESPONSE_PREFIX => ProbeStep::Done(ProbeVerdict::Alive),
        Ok(_) => ProbeStep::Done(ProbeVerdict::Unknown),
        Err(_) => ProbeStep::Retry,
    }
}

async fn read_prefix(stream: &mut TcpStream, address: SocketAddr) -> io::Result<[u8; 5]> {
    let request = format!("GET /health HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await?;
    let mut prefix = [0; RESPONSE_PREFIX.len()];
    stream.read_exact(&mut prefix).await?;
    Ok(prefix)
}
