//! Connection attempts to an instance that does not accept connections yet.

use cicadastall::{
    gateway::knowledge::fleet_update::{ControlRecord, FleetCursor, FleetQuery, FleetReader},
    name::{RegionName, ZoneName},
    peer::{PeerApiClient, PeerClients},
};
use std::{net::SocketAddr, time::Duration};
use tokio::{
    net::{TcpSocket, TcpStream},
    time::{Instant, sleep, timeout},
};

/// Number of connections that fill the accept queue of a listener with a backlog of one.
const QUEUE_FILLERS: usize = 2;

fn fleet_query(address: SocketAddr) -> FleetQuery {
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
        suspects: Vec::new(),
        suspects_until_whole: Vec::new(),
        asks_history: false,
        departed: Vec::new(),
        conditions: Vec::new(),
        unreached: Default::default(),
        capacity: None,
        speeds: Vec::new(),
    }
}

/// A full accept queue drops SYN packets, as if the machine were powered off, and the operating
/// system retransmits a SYN only after a second. The client must retry earlier.
#[tokio::test]
async fn unavailable_instance_is_reached_before_the_syn_is_retransmitted() {
    let socket = TcpSocket::new_v4().expect("socket");
    socket.bind("127.0.0.1:0".parse().expect("address")).expect("bind");
    let listener = socket.listen(1).expect("listen");
    let address = listener.local_addr().expect("address");
    let mut fillers = Vec::new();
    for _ in 0..QUEUE_FILLERS {
        let connected = timeout(Duration::from_millis(300), TcpStream::connect(address)).await;
        fillers.extend(connected.ok().and_then(Result::ok));
    }
    let started = Instant::now();
    let call = tokio::spawn(async move {
        let clients = PeerClients::new(None);
        let time_limit = Duration::from_secs(3);
        let call_fleet_news = async move |client: PeerApiClient, context| {
            client.fleet_news(context, fleet_query(address)).await
        };
        clients.call(address, time_limit, call_fleet_news).await
    });
    sleep(Duration::from_millis(100)).await;
    for _ in 0..fillers.len() {
        listener.accept().await.expect("a connection that fills the queue");
    }
    let (_stream, _) = listener.accept().await.expect("the connection of the call");
    let took = started.elapsed();
    assert!(took < Duration::from_millis(900), "connected after {took:?}");
    call.abort();
}
