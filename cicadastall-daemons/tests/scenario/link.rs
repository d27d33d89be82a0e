//! Links between instances: each advertised address is a proxy whose bytes can be held back or
//! delayed.

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

/// Most bytes moved at a time.
const CHUNK_BYTES: usize = 64 * 1024;

/// Most chunks of one direction of a connection that are under way on a delayed link.
const CHUNKS_UNDER_WAY: usize = 1_024;

/// Bytes under way, and when they arrive.
type DelayedChunk = (Instant, Vec<u8>);

/// Which direction between two instances is cut; instances are numbered by their address.
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

    /// Delays all bytes that are sent from `from` to `to` from now on; a connection is opened
    /// without delay.
    pub fn delay(&self, from: IpAddr, to: IpAddr, delay: Duration) {
        self.delays.lock().expect("no panic holds the lock").insert((from, to), delay);
    }

    /// When bytes that are sent now in `direction` arrive.
    fn arrival(&self, direction: (IpAddr, IpAddr)) -> Instant {
        let delays = self.delays.lock().expect("no panic holds the lock");
        Instant::now() + delays.get(&direction).copied().unwrap_or_default()
    }

    /// Lets bytes pass again.
    pub fn heal(&self) {
        self.cuts.send_modify(CutSet::clear);
    }
}

/// The advertised address of one instance's listener.
#[derive(Debug)]
pub struct LinkProxy {
    pub address: SocketAddr,
    target: Arc<Mutex<Option<SocketAddr>>>,
    _tasks: JoinSet<()>,
}

impl LinkProxy {
    pub async fn start(own: IpAddr, links: LinkTable) -> io::Result<Self> {
        let (listener, socket) = bind_both(own).await?;
        let address = listener.local_addr()?;
        let target = Arc::new(Mutex::new(None));
        let mut tasks = JoinSet::new();
        tasks.spawn(pass_datagrams(socket, Arc::clone(&target), own, links.clone()));
        tasks.spawn(accept(listener, Arc::clone(&target), own, links));
        Ok(Self { address, target, _tasks: tasks })
    }

    /// Passes new connections on to `target`, or refuses them if there is none.
    pub fn set_target(&self, target: Option<SocketAddr>) {
        *self.target.lock().expect("no panic holds the lock") = target;
    }
}

/// Binds the same free port for connections and for datagrams.
async fn bind_both(own: IpAddr) -> io::Result<(TcpListener, UdpSocket)> {
    loop {
        let listener = TcpListener::bind(SocketAddr::new(own, 0)).await?;
        if let Ok(socket) = UdpSocket::bind(listener.local_addr()?).await {
            return Ok((listener, socket));
        }
    }
}

/// Passes datagrams on; those sent over a cut link are lost.
async fn pass_datagrams(
    socket: UdpSocket,
    target: Arc<Mutex<Option<SocketAddr>>>,
    own: IpAddr,
    links: LinkTable,
) {
    let socket = Arc::new(socket);
    let mut under_way = JoinSet::new();
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else { continue };
        let direction = (from.ip(), own);
        let target = *target.lock().expect("no panic holds the lock");
        let cut = links.cuts.borrow().contains(&direction);
        if let Some(target) = target.filter(|_| !cut) {
            let datagram = (links.arrival(direction), buffer[..length].to_vec());
            under_way.spawn(give_datagram(Arc::clone(&socket), target, datagram));
        }
        while under_way.try_join_next().is_some() {}
    }
}

async fn give_datagram(socket: Arc<UdpSocket>, target: SocketAddr, datagram: DelayedChunk) {
    let (arrival, bytes) = datagram;
    sleep_until(arrival).await;
    let _ = socket.send_to(&bytes, target).await;
}

async fn accept(
    listener: TcpListener,
    target: Arc<Mutex<Option<SocketAddr>>>,
    own: IpAddr,
    links: LinkTable,
) {
    let mut connections = JoinSet::new();
    loop {
        let Ok((near, peer)) = listener.accept().await else { continue };
        let target = *target.lock().expect("no panic holds the lock");
        if let Some(target) = target {
            connections.spawn(carry(near, peer.ip(), target, own, links.clone()));
        }
    }
}

async fn carry(near: TcpStream, peer: IpAddr, target: SocketAddr, own: IpAddr, links: LinkTable) {
    let Ok(far) = TcpStream::connect(target).await else { return };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    tokio::join!(
        copy(near_read, far_write, (peer, own), &links),
        copy(far_read, near_write, (own, peer), &links),
    );
}

async fn copy(
    from: OwnedReadHalf,
    to: OwnedWriteHalf,
    direction: (IpAddr, IpAddr),
    links: &LinkTable,
) {
    let (sender, receiver) = mpsc::channel(CHUNKS_UNDER_WAY);
    tokio::join!(
        take_chunks(from, sender, direction, links),
        give_chunks(to, receiver, direction, links.cuts.subscribe()),
    );
}

async fn take_chunks(
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

async fn give_chunks(
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
