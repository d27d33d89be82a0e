//! The probe of an upstream that broke an answer: evidence of life, of a crash, or none.

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

/// Time for which a listener outlives its connections; a killed stand-in was seen to take 100 ms.
const DYING: Duration = Duration::from_millis(200);

/// Scheduling of a busy machine.
const SLACK: Duration = Duration::from_secs(2);

fn listen(reserved: &ReservedAddress, backlog: u32) -> TcpListener {
    let socket = TcpSocket::new_v4().expect("a socket");
    socket.set_reuseaddr(true).expect("an address that listeners share");
    socket.bind(reserved.address).expect("the reserved address");
    socket.listen(backlog).expect("a listener")
}

async fn probe(address: SocketAddr) -> ProbeVerdict {
    let verdict = timeout(PROBE_TIMEOUT + SLACK, probe_upstream(address, Duration::MAX)).await;
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
async fn any_http_answer_is_evidence_of_life() {
    let reserved = &ReservedAddress::group(1)[0];
    let answer = b"HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n";
    tokio::spawn(answer_with(listen(reserved, 16), answer));
    assert_eq!(probe(reserved.address).await, ProbeVerdict::Alive);
}

#[tokio::test]
async fn refused_connection_is_evidence_of_a_crash() {
    let reserved = &ReservedAddress::group(1)[0];
    assert_eq!(probe(reserved.address).await, ProbeVerdict::Crashed);
}

#[tokio::test]
async fn listener_that_outlives_its_connections_is_a_crash() {
    let reserved = &ReservedAddress::group(1)[0];
    let listener = listen(reserved, 16);
    tokio::spawn(timeout(DYING, answer_with(listener, b"")));
    assert_eq!(probe(reserved.address).await, ProbeVerdict::Crashed, "connections closed");

    let listener = listen(reserved, 16);
    tokio::spawn(async move {
        sleep(DYING).await;
        drop(listener);
    });
    assert_eq!(probe(reserved.address).await, ProbeVerdict::Crashed, "connections not accepted");
}

#[test]
fn connection_that_is_reset_is_asked_again_and_no_route_is_not_a_crash() {
    for fault in [ErrorKind::ConnectionReset, ErrorKind::ConnectionAborted] {
        assert_eq!(classify_connect_error(fault), ProbeStep::Retry, "{fault:?}");
    }
    let refused = classify_connect_error(ErrorKind::ConnectionRefused);
    assert_eq!(refused, ProbeStep::Done(ProbeVerdict::Crashed));
    for fault in
        [ErrorKind::HostUnreachable, ErrorKind::NetworkUnreachable, ErrorKind::AddrNotAvailable]
    {
        let verdict = ProbeStep::Done(ProbeVerdict::Unknown);
        assert_eq!(classify_connect_error(fault), verdict, "{fault:?}");
    }
}

#[tokio::test]
async fn neither_silence_nor_closed_connections_are_a_crash() {
    let reserved = ReservedAddress::group(3);
    let _silent = listen(&reserved[0], 16);
    assert_eq!(probe(reserved[0].address).await, ProbeVerdict::Unknown, "silent");
    tokio::spawn(answer_with(listen(&reserved[1], 16), b""));
    assert_eq!(probe(reserved[1].address).await, ProbeVerdict::Unknown, "closes each connection");
    tokio::spawn(answer_with(listen(&reserved[2], 16), b"SSH-2.0\r\n"));
    assert_eq!(probe(reserved[2].address).await, ProbeVerdict::Unknown, "speaks no HTTP");
}

#[tokio::test]
async fn address_that_drops_packets_is_not_a_crash() {
    let reserved = &ReservedAddress::group(1)[0];
    let _full = listen(reserved, 1);
    let mut waiting = Vec::new();
    while let Ok(Ok(stream)) =
        timeout(Duration::from_millis(100), TcpStream::connect(reserved.address)).await
    {
        waiting.push(stream);
    }
    assert_eq!(probe(reserved.address).await, ProbeVerdict::Unknown);
}

#[tokio::test]
async fn probe_does_not_outlast_the_request() {
    let reserved = &ReservedAddress::group(1)[0];
    let _silent = listen(reserved, 16);
    let started = Instant::now();
    assert_eq!(probe_upstream(reserved.address, Duration::ZERO).await, ProbeVerdict::Unknown);
    assert!(started.elapsed() < PROBE_TIMEOUT, "{:?}", started.elapsed());
}
