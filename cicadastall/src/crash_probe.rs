//! Finds out whether an upstream that broke an answer is alive or has crashed.

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

/// Longest time for the whole probe; a process with many threads that is killed on a busy machine
/// keeps its listener open for some 100 ms after its connections.
pub const PROBE_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest time to establish a connection; a network that drops packets costs a retry this much.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Pause between two questions.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// First bytes of any HTTP/1 answer.
const RESPONSE_PREFIX: &[u8; 5] = b"HTTP/";

/// What a probe found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeVerdict {
    /// It answers HTTP requests on new connections.
    Alive,
    /// It refuses connections: its process is gone.
    Crashed,
    /// Neither: it can't be reached, or takes connections without answering.
    Unknown,
}

/// What one question found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProbeStep {
    /// Definite, or not worth asking again.
    Done(ProbeVerdict),
    /// The connection was closed before an answer, as by a process that ends.
    Retry,
}

/// Asks the upstream at `address` until there is evidence of life or of a crash, for `bound` at
/// most and never longer than [`PROBE_TIMEOUT`].
///
/// An upstream that can't be reached is not taken for crashed, since the network may be at fault.
/// Neither is one that still takes connections: a process that ends may close the connections of
/// its requests well before its listener.
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

/// What a failed connection says of the process that should have taken it.
///
/// A listener that closes while a connection is being made resets it; the next one is refused.
pub fn classify_connect_error(error: ErrorKind) -> ProbeStep {
    match error {
        ErrorKind::ConnectionRefused => ProbeStep::Done(ProbeVerdict::Crashed),
        ErrorKind::ConnectionReset | ErrorKind::ConnectionAborted => ProbeStep::Retry,
        _ => ProbeStep::Done(ProbeVerdict::Unknown),
    }
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
