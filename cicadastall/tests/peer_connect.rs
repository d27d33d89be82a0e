//! Connections between instances while the other side does not take them.

use cicadastall::{
    gateway::fleet_update::{ControlRecord, FleetCursor, FleetQuery, FleetReader},
    name::{RegionName, ZoneName},
    peer::{PeerApiClient, PeerClients},
};
use std::{net::SocketAddr, time::Duration};
use tokio::{
    net::{TcpSocket, TcpStream},
    time::{Instant, sleep, timeout},
};

/// Connections that fill the queue of a listener with a backlog of one.
const FILLERS: usize = 2;

fn query(address: SocketAddr) -> FleetQuery {
    let control = ControlRecord {
        peer_address: address,
        registry_address: address,
        region: RegionName::from("west"),
        zone: ZoneName::from("west-a"),
    };
    FleetQuery {
        reader: FleetReader::Control(control),
        cursor: FleetCursor::default(),
        document: 0,
        number_only: false,
        evacuated: 0,
        wait_ms: 0,
        confirm: false,
        work: Vec::new(),
        demand: Vec::new(),
        departed: Vec::new(),
    }
}

/// A full queue drops the first packet of a connection, as a machine that is switched off does; the
/// operating system repeats it after a second.
#[tokio::test]
async fn an_instance_that_was_off_is_reached_before_the_system_repeats_the_first_packet() {
    let socket = TcpSocket::new_v4().expect("socket");
    socket.bind("127.0.0.1:0".parse().expect("address")).expect("bind");
    let listener = socket.listen(1).expect("listen");
    let address = listener.local_addr().expect("address");
    let mut fillers = Vec::new();
    for _ in 0..FILLERS {
        let connected = timeout(Duration::from_millis(300), TcpStream::connect(address)).await;
        fillers.extend(connected.ok().and_then(Result::ok));
    }
    let started = Instant::now();
    let call = tokio::spawn(async move {
        let clients = PeerClients::new(None);
        let bound = Duration::from_secs(3);
        let ask = async move |client: PeerApiClient, context| {
            client.fleet_news(context, query(address)).await
        };
        clients.call(address, bound, ask).await
    });
    sleep(Duration::from_millis(100)).await;
    for _ in 0..fillers.len() {
        listener.accept().await.expect("a connection that filled the queue");
    }
    let (_stream, _) = listener.accept().await.expect("the connection of the call");
    let took = started.elapsed();
    assert!(took < Duration::from_millis(900), "connected after {took:?}");
    call.abort();
}
