//! Tests which upstreams a probe considers alive, crashed or unknown after an incomplete answer.

mod reserved;

use cicadastall::crash_probe::{
    PROBE_TIMEOUT, ProbeStep, ProbeVerdict, classify_connect_error, probe_upstream,
};
use reserved::ReservedAddress;
use std::{io::ErrorKind, net::SocketAddr, time::Duration};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream},
    time::{Instant, sleep, timeout},
};

/// Time for which a listener outlives its connections; a killed stand-in process took 100 ms.
const LISTENER_SHUTDOWN: Duration = Duration::from_millis(200);

/// Allowance for scheduling delays on a busy machine.
const SCHEDULING_SLACK: Duration = Duration::from_secs(2);

fn listen(reserved: &ReservedAddress, backlog: u32) -> TcpListener {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_reuseaddr(true).expect("an address that listeners share");
    socket.bind(reserved.address).expect("the reserved address");
    socket.listen(backlog).expect("a listener")
}

async fn probe(address: SocketAddr) -> ProbeVerdict {
    let verdict =
        timeout(PROBE_TIMEOUT + SCHEDULING_SLACK, probe_upstream(address, Duration::MAX)).await;
    verdict.expect("the probe is bounded")
}

async fn answer_with(listener: TcpListener, answer: &'static [u8]) {
    loop {
        let Ok((mut stream, _)) = listener.accept().await else { continue };
        let _ = stream.read(&mut [0; 1_024]).await;
        let _ = stream.write_all(answer).await;
    }
}

#[tokio::test]
async fn any_http_answer_means_alive() {
    let reserved = &ReservedAddress::group(1)[0];
    let answer = b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n";
    tokio::spawn(answer_with(listen(reserved, 16), answer));
    assert_eq!(probe(reserved.address).await, ProbeVerdict::Alive);
}

#[tokio::test]
async fn refused_connection_means_crashed() {
    let reserved = &ReservedAddress::group(1)[0];
    assert_eq!(probe(reserved.address).await, ProbeVerdict::Crashed);
}

#[tokio::test]
async fn listener_that_outlives_its_connections_means_crashed() {
    let reserved = &ReservedAddress::group(1)[0];
    let listener = listen(reserved, 16);
    tokio::spawn(timeout(LISTENER_SHUTDOWN, answer_with(listener, b"")));
    assert_eq!(probe(reserved.address).await, ProbeVerdict::Crashed, "connections closed");

    let listener = listen(reserved, 16);
    tokio::spawn(async move {
        sleep(LISTENER_SHUTDOWN).await;
        drop(listener);
    });
    assert_eq!(probe(reserved.address).await, ProbeVerdict::Crashed, "connections not accepted");
}

#[test]
fn reset_connection_is_retried_and_missing_route_is_not_a_crash() {
    for error in [ErrorKind::ConnectionReset, ErrorKind::ConnectionAborted] {
        assert_eq!(classify_connect_error(error), ProbeStep::Retry, "{error:?}");
    }
    let refused = classify_connect_error(ErrorKind::ConnectionRefused);
    assert_eq!(refused, ProbeStep::Done(ProbeVerdict::Crashed));
    for error in
        [ErrorKind::HostUnreachable, ErrorKind::NetworkUnreachable, ErrorKind::AddrNotAvailable]
    {
        let verdict = ProbeStep::Done(ProbeVerdict::Unknown);
        assert_eq!(classify_connect_error(error), verdict, "{error:?}");
    }
}

#[tokio::test]
async fn neither_silence_nor_closed_connections_mean_crashed() {
    let reserved = ReservedAddress::group(3);
    let _silent_listener = listen(&reserved[0], 16);
    assert_eq!(probe(reserved[0].address).await, ProbeVerdict::Unknown, "silent");
    tokio::spawn(answer_with(listen(&reserved[1], 16), b""));
    assert_eq!(probe(reserved[1].address).await, ProbeVerdict::Unknown, "closes every connection");
    tokio::spawn(answer_with(listen(&reserved[2], 16), b"SSH-2.0\r\n"));
    assert_eq!(
        probe(reserved[2].address).await,
        ProbeVerdict::Unknown,
        "does not answer with HTTP"
    );
}

#[tokio::test]
async fn dropped_packets_do_not_mean_crashed() {
    let reserved = &ReservedAddress::group(1)[0];
    let _full_listener = listen(reserved, 1);
    let mut connections = Vec::new();
    while let Ok(Ok(stream)) =
        timeout(Duration::from_millis(100), TcpStream::connect(reserved.address)).await
    {
        connections.push(stream);
    }
    assert_eq!(probe(reserved.address).await, ProbeVerdict::Unknown);
}

#[tokio::test]
async fn probe_does_not_outlast_the_request() {
    let reserved = &ReservedAddress::group(1)[0];
    let _silent_listener = listen(reserved, 16);
    let started = Instant::now();
    assert_eq!(probe_upstream(reserved.address, Duration::ZERO).await, ProbeVerdict::Unknown);
    assert!(started.elapsed() < PROBE_TIMEOUT, "{:?}", started.elapsed());
}
