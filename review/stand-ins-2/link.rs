//! A proxy on the link to one machine, which can cut another machine off as a partition does: bytes
//! stay where they are, and each side learns of it only when its own time for silence is over.

use std::{
    io::{Read, Write},
    net::{IpAddr, Shutdown, SocketAddr, TcpListener, TcpStream},
    os::fd::AsRawFd,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

/// One relayed connection.
struct Relayed {
    from: IpAddr,
    client: TcpStream,
    server: TcpStream,
}

/// Links of the fleet, with the addresses whose connections are cut.
#[derive(Default)]
pub struct Links {
    cut: Mutex<Vec<IpAddr>>,
    open: Mutex<Vec<Arc<Relayed>>>,
}

impl Links {
    /// Relays connections to `address` to `target`.
    pub fn relay(self: &Arc<Self>, address: SocketAddr, target: SocketAddr) {
        let listener = TcpListener::bind(address).expect("the proxy's address is free");
        let links = Arc::clone(self);
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let links = Arc::clone(&links);
                thread::spawn(move || links.open(client, target));
            }
        });
    }

    fn is_cut(&self, from: IpAddr) -> bool {
        self.cut.lock().unwrap().contains(&from)
    }

    fn open(self: Arc<Self>, client: TcpStream, target: SocketAddr) {
        let Ok(from) = client.peer_addr().map(|address| address.ip()) else { return };
        // A connection attempt gets no answer while the link is cut.
        while self.is_cut(from) {
            thread::sleep(Duration::from_millis(20));
        }
        let Ok(server) = TcpStream::connect(target) else { return reset(&client) };
        let _ = (client.set_nodelay(true), server.set_nodelay(true));
        let relayed = Arc::new(Relayed { from, client, server });
        self.open.lock().unwrap().push(Arc::clone(&relayed));
        let (links, other) = (Arc::clone(&self), Arc::clone(&relayed));
        thread::spawn(move || links.copy(&other, &other.server, &other.client));
        self.copy(&relayed, &relayed.client, &relayed.server);
    }

    fn copy(&self, relayed: &Relayed, mut from: &TcpStream, mut to: &TcpStream) {
        let mut buffer = [0; 16 * 1024];
        loop {
            let read = match from.read(&mut buffer) {
                Ok(0) | Err(_) => break,
                Ok(read) => read,
            };
            if self.is_cut(relayed.from) {
                // The bytes are held up, and lost with the connection.
                return;
            }
            if to.write_all(&buffer[..read]).is_err() {
                break;
            }
        }
        if !self.is_cut(relayed.from) {
            let _ = to.shutdown(Shutdown::Write);
        }
    }

    /// Cuts off the machine whose connections come from `addresses`.
    pub fn cut(&self, addresses: &[IpAddr]) {
        self.cut.lock().unwrap().extend(addresses);
    }

    /// Ends the open connections of the machine that is cut off, on its own side only.
    pub fn end_own_side(&self) -> usize {
        self.end(|relayed| &relayed.client)
    }

    /// Ends the cut. The machine's side is gone, so that the other side is reset by its first packet.
    pub fn heal(&self) {
        self.end(|relayed| &relayed.server);
        let cut = std::mem::take(&mut *self.cut.lock().unwrap());
        self.open.lock().unwrap().retain(|relayed| !cut.contains(&relayed.from));
    }

    fn end(&self, side: impl Fn(&Relayed) -> &TcpStream) -> usize {
        let cut = self.cut.lock().unwrap().clone();
        let open = self.open.lock().unwrap();
        let ended = open.iter().filter(|relayed| cut.contains(&relayed.from));
        ended.map(|relayed| reset(side(relayed))).count()
    }
}

/// Resets a connection, also while another thread reads from it: a connection to no address ends it.
fn reset(stream: &TcpStream) {
    unsafe extern "C" {
        fn connect(socket: i32, address: *const [u8; 16], size: u32) -> i32;
    }
    // SAFETY: the descriptor is open, and zeros are a valid address of the unspecified family.
    unsafe { connect(stream.as_raw_fd(), &[0; 16], 16) };
}
