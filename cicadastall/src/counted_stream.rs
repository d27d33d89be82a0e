//! TCP connections between instances with process-wide byte counters.

use std::{
    io,
    pin::Pin,
    sync::atomic::{AtomicU64, Ordering},
    task::{Context, Poll},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

static SENT_BYTES: AtomicU64 = AtomicU64::new(0);
static RECEIVED_BYTES: AtomicU64 = AtomicU64::new(0);

/// Bytes exchanged with other instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MessageBytes {
    /// Bytes sent.
    pub sent: u64,
    /// Bytes received.
    pub received: u64,
}

/// Returns the bytes that this process has exchanged with other instances since its start.
pub fn message_bytes() -> MessageBytes {
    let (sent, received) =
        (SENT_BYTES.load(Ordering::Relaxed), RECEIVED_BYTES.load(Ordering::Relaxed));
    MessageBytes { sent, received }
}

/// A TCP connection that adds its bytes to the process-wide counters.
#[derive(Debug)]
pub(crate) struct CountedStream(pub(crate) TcpStream);

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.0).poll_read(context, buffer);
        RECEIVED_BYTES.fetch_add((buffer.filled().len() - before) as u64, Ordering::Relaxed);
        polled
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.0).poll_write(context, bytes);
        if let Poll::Ready(Ok(written)) = polled {
            SENT_BYTES.fetch_add(written as u64, Ordering::Relaxed);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(context)
    }
}
