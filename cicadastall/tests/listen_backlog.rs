//! Connections that arrive while a process is too busy to accept them.

use cicadastall::http;
use futures::future::join_all;
use std::time::Duration;
use tokio::{net::TcpStream, time::timeout};

/// Connections that callers of one flood open at the same time.
const CONNECTIONS: usize = 600;

/// Shorter than the time after which an unanswered connection request is sent again.
const CONNECT_TIME: Duration = Duration::from_millis(800);

#[tokio::test]
async fn a_burst_of_connections_is_dropped_and_retried_after_a_second() {
    let listener = http::bind(([127, 0, 0, 1], 0).into()).await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    let connects = (0..CONNECTIONS).map(|_| timeout(CONNECT_TIME, TcpStream::connect(address)));
    let connected = join_all(connects).await;
    let late = connected.iter().filter(|connect| !matches!(connect, Ok(Ok(_)))).count();
    assert_eq!(late, 0, "of {CONNECTIONS} connections");
}
