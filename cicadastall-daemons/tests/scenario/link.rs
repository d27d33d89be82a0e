//! Links between instances: each advertised address is a proxy whose bytes can be held back.

use std::{
    collections::BTreeSet,
    io,
    net::{IpAddr, SocketAddr},
    sync::{Arc, Mutex},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpListener, TcpStream, UdpSocket,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::watch,
    task::JoinSet,
    time::timeout,
};

/// Most bytes moved at a time.
const CHUNK_BYTES: usize = 64 * 1024;

/// Which direction between two instances is cut; instances are numbered by their address.
pub type CutSet = BTreeSet<(IpAddr, IpAddr)>;

/// All links of one fleet.
#[derive(Debug, Clone)]
pub struct LinkTable {
    cuts: Arc<watch::Sender<CutSet>>,
}

impl Default for LinkTable {
    fn default() -> Self {
        Self { cuts: Arc::new(watch::Sender::new(CutSet::new())) }
    }
}

impl LinkTable {
    /// Holds back all bytes from `from` to `to`, on open and on new connections.
    pub fn cut(&self, from: IpAddr, to: IpAddr) {
        self.cuts.send_modify(|cuts| {
            cuts.insert((from, to));
        });
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
    let mut buffer = vec![0; CHUNK_BYTES];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else { continue };
        let target = *target.lock().expect("no panic holds the lock");
        let cut = links.cuts.borrow().contains(&(from.ip(), own));
        if let Some(target) = target.filter(|_| !cut) {
            let _ = socket.send_to(&buffer[..length], target).await;
        }
    }
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
    let cuts = links.cuts.subscribe();
    tokio::join!(
        copy(near_read, far_write, (peer, own), cuts.clone()),
        copy(far_read, near_write, (own, peer), cuts),
    );
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    direction: (IpAddr, IpAddr),
    mut cuts: watch::Receiver<CutSet>,
) {
    let mut buffer = vec![0; CHUNK_BYTES];
    while let Ok(length @ 1..) = from.read(&mut buffer).await {
        if cuts.wait_for(|cuts| !cuts.contains(&direction)).await.is_err() {
            return;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
    if cuts.wait_for(|cuts| !cuts.contains(&direction)).await.is_ok() {
        let _ = timeout(std::time::Duration::from_secs(1), to.shutdown()).await;
    }
}
