//! Links between instances: each advertised address is a proxy that can hold back or delay traffic.

use cicadastall::http;
use std::{
    collections::{BTreeMap, BTreeSet},
    io,
    net::{IpAddr, SocketAddr},
    sync::{Arc, Mutex},
    time::Duration,
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream, UdpSocket,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::{mpsc, watch},
    task::JoinSet,
    time::{Instant, sleep_until, timeout},
};

/// Maximum number of bytes per read.
const CHUNK_BYTES: usize = 64 * 1024;

/// Maximum number of chunks in flight in one direction of a connection.
const MAX_CHUNKS_IN_FLIGHT: usize = 1_024;

/// Bytes in flight and their arrival time.
type DelayedChunk = (Instant, Vec<u8>);

/// Cut directions, as pairs of source and target address.
pub type CutSet = BTreeSet<(IpAddr, IpAddr)>;

/// All links of one fleet.
#[derive(Debug, Clone)]
pub struct LinkTable {
    cuts: Arc<watch::Sender<CutSet>>,
    delays: Arc<Mutex<BTreeMap<(IpAddr, IpAddr), Duration>>>,
}

impl Default for LinkTable {
    fn default() -> Self {
        Self { cuts: Arc::new(watch::Sender::new(CutSet::new())), delays: Arc::default() }
    }
}

impl LinkTable {
    /// Holds back all bytes from `from` to `to`, on open and on new connections.
    pub fn cut(&self, from: IpAddr, to: IpAddr) {
        self.cuts.send_modify(|cuts| {
            cuts.insert((from, to));
        });
    }

    /// Delays all bytes sent from `from` to `to` from now on; connections open without delay.
    pub fn delay(&self, from: IpAddr, to: IpAddr, delay: Duration) {
        self.delays.lock().expect("no panic holds the lock").insert((from, to), delay);
    }

    /// Arrival time of bytes that are sent now in `direction`.
    fn arrival(&self, direction: (IpAddr, IpAddr)) -> Instant {
        let delays = self.delays.lock().expect("no panic holds the lock");
        Instant::now() + delays.get(&direction).copied().unwrap_or_default()
    }

    /// Restores all cut directions; delays stay.
    pub fn heal(&self) {
        self.cuts.send_modify(CutSet::clear);
    }
}

/// Proxy at the advertised address of one listener of an instance.
#[derive(Debug)]
pub struct LinkProxy {
    pub address: SocketAddr,
    target: Arc<Mutex<Option<SocketAddr>>>,
    _tasks: JoinSet<()>,
}

impl LinkProxy {
    pub async fn start(local_ip: IpAddr, links: LinkTable) -> io::Result<Self> {
        let (listener, socket) = bind_both(local_ip).await?;
        let address = listener.local_addr()?;
        let target = Arc::new(Mutex::new(None));
        let mut tasks = JoinSet::new();
        tasks.spawn(forward_datagrams(socket, Arc::clone(&target), local_ip, links.clone()));
        tasks.spawn(accept_connections(listener, Arc::clone(&target), local_ip, links));
        Ok(Self { address, target, _tasks: tasks })
    }

    /// Forwards new connections to `target`; without one, closes them.
    pub fn set_target(&self, target: Option<SocketAddr>) {
        *self.target.lock().expect("no panic holds the lock") = target;
    }
}

/// Binds the same free port for TCP and UDP.
async fn bind_both(local_ip: IpAddr) -> io::Result<(TcpListener, UdpSocket)> {
    loop {
        let listener = http::bind(SocketAddr::new(local_ip, 0)).await?;
        if let Ok(socket) = UdpSocket::bind(listener.local_addr()?).await {
            return Ok((listener, socket));
        }
    }
}

/// Forwards datagrams; drops those sent over a cut link.
async fn forward_datagrams(
    socket: UdpSocket,
    target: Arc<Mutex<Option<SocketAddr>>>,
    local_ip: IpAddr,
    links: LinkTable,
) {
    let socket = Arc::new(socket);
    let mut in_flight = JoinSet::new();
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else { continue };
        let direction = (from.ip(), local_ip);
        let target = *target.lock().expect("no panic holds the lock");
        let cut = links.cuts.borrow().contains(&direction);
        if let Some(target) = target.filter(|_| !cut) {
            let datagram = (links.arrival(direction), buffer[..length].to_vec());
            in_flight.spawn(deliver_datagram(Arc::clone(&socket), target, datagram));
        }
        while in_flight.try_join_next().is_some() {}
    }
}

async fn deliver_datagram(socket: Arc<UdpSocket>, target: SocketAddr, datagram: DelayedChunk) {
    let (arrival, bytes) = datagram;
    sleep_until(arrival).await;
    let _ = socket.send_to(&bytes, target).await;
}

async fn accept_connections(
    listener: TcpListener,
    target: Arc<Mutex<Option<SocketAddr>>>,
    local_ip: IpAddr,
    links: LinkTable,
) {
    let mut connections = JoinSet::new();
    loop {
        let Ok((inbound, peer)) = listener.accept().await else { continue };
        let target = *target.lock().expect("no panic holds the lock");
        if let Some(target) = target {
            connections.spawn(proxy_connection(
                inbound,
                peer.ip(),
                target,
                local_ip,
                links.clone(),
            ));
        }
    }
}

async fn proxy_connection(
    inbound: TcpStream,
    peer: IpAddr,
    target: SocketAddr,
    local_ip: IpAddr,
    links: LinkTable,
) {
    let Ok(outbound) = TcpStream::connect(target).await else { return };
    let _ = (inbound.set_nodelay(true), outbound.set_nodelay(true));
    let (inbound_read, inbound_write) = inbound.into_split();
    let (outbound_read, outbound_write) = outbound.into_split();
    tokio::join!(
        copy_direction(inbound_read, outbound_write, (peer, local_ip), &links),
        copy_direction(outbound_read, inbound_write, (local_ip, peer), &links),
    );
}

async fn copy_direction(
    from: OwnedReadHalf,
    to: OwnedWriteHalf,
    direction: (IpAddr, IpAddr),
    links: &LinkTable,
) {
    let (sender, receiver) = mpsc::channel(MAX_CHUNKS_IN_FLIGHT);
    tokio::join!(
        read_chunks(from, sender, direction, links),
        write_chunks(to, receiver, direction, links.cuts.subscribe()),
    );
}

async fn read_chunks(
    mut from: OwnedReadHalf,
    sender: mpsc::Sender<DelayedChunk>,
    direction: (IpAddr, IpAddr),
    links: &LinkTable,
) {
    let mut buffer = vec![0; CHUNK_BYTES];
    while let Ok(length @ 1..) = from.read(&mut buffer).await {
        let chunk = (links.arrival(direction), buffer[..length].to_vec());
        if sender.send(chunk).await.is_err() {
            return;
        }
    }
}

async fn write_chunks(
    mut to: OwnedWriteHalf,
    mut receiver: mpsc::Receiver<DelayedChunk>,
    direction: (IpAddr, IpAddr),
    mut cuts: watch::Receiver<CutSet>,
) {
    while let Some((arrival, chunk)) = receiver.recv().await {
        sleep_until(arrival).await;
        if cuts.wait_for(|cuts| !cuts.contains(&direction)).await.is_err() {
            return;
        }
        if to.write_all(&chunk).await.is_err() {
            return;
        }
    }
    if cuts.wait_for(|cuts| !cuts.contains(&direction)).await.is_ok() {
        let _ = timeout(Duration::from_secs(1), to.shutdown()).await;
    }
}
