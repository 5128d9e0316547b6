//! Datagrams between the nodes of a tier.

use crate::log::log_event;
use socket2::{Domain, Socket, Type};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::Notify;

/// Maximum size of a datagram in bytes, as the deployment permits.
const MAX_DATAGRAM_BYTES: usize = 256;

/// The other nodes of the tier.
pub struct Peers {
    /// `None` while another process of this node uses the address.
    socket: RefCell<Option<Rc<UdpSocket>>>,
    listen: SocketAddr,
    released: Notify,
    nodes: Vec<SocketAddr>,
    /// Address that reaches every node of the tier, if there is one.
    all: Option<SocketAddr>,
    own_number: Cell<u32>,
    sent: Cell<u64>,
    received: Cell<u64>,
}

/// Binds a UDP socket.
fn bind_socket(listen: SocketAddr) -> std::io::Result<UdpSocket> {
    let socket = Socket::new(Domain::for_address(listen), Type::DGRAM, None)?;
    // The next process of this node binds the same address before this one ends.
    socket.set_reuse_port(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&listen.into())?;
    UdpSocket::from_std(socket.into())
}

impl Peers {
    /// Listens at `listen`. `own_number` is this node's number among `nodes`.
    pub fn new(
        listen: SocketAddr,
        nodes: Vec<SocketAddr>,
        all: Option<SocketAddr>,
        own_number: u32,
    ) -> std::io::Result<Peers> {
        Ok(Peers {
            socket: RefCell::new(Some(Rc::new(bind_socket(listen)?))),
            listen,
            released: Notify::new(),
            nodes,
            all,
            own_number: Cell::new(own_number),
            sent: Cell::new(0),
            received: Cell::new(0),
        })
    }

    /// Changes this node's number.
    pub fn set_number(&self, own_number: u32) {
        self.own_number.set(own_number);
    }

    /// Binds the address again after it was released.
    pub fn bind(&self) -> std::io::Result<()> {
        if self.socket.borrow().is_none() {
            self.socket.replace(Some(Rc::new(bind_socket(self.listen)?)));
        }
        Ok(())
    }

    /// Returns the number of nodes in the tier, including this one.
    pub fn node_count(&self) -> usize {
        self.nodes.len()
    }

    /// Releases the address to another process of this node.
    pub fn release(&self) {
        self.socket.replace(None);
        self.released.notify_one();
    }

    /// Sends a datagram to one node, or to all others if `to` is `None`. A datagram that cannot be sent is
    /// lost, like any other may be.
    pub fn send(&self, to: Option<u32>, bytes: &[u8]) {
        if bytes.len() > MAX_DATAGRAM_BYTES {
            log_event!(ERROR, "peers", bytes = bytes.len(), "peers.too_long");
            return;
        }
        let node = |n: u32| self.nodes.get(n as usize).copied();
        let others = || {
            let others = self.nodes.iter().zip(0_u32..).filter(|(_, n)| *n != self.own_number.get());
            others.map(|(address, _)| *address).collect()
        };
        let targets: Vec<SocketAddr> = match to {
            Some(n) => node(n).into_iter().collect(),
            None => self.all.map_or_else(others, |all| vec![all]),
        };
        let Some(socket) = self.socket.borrow().clone() else { return };
        for target in targets {
            if socket.try_send_to(bytes, target).is_ok() {
                self.sent.set(self.sent.get() + 1);
            }
        }
    }

    /// Returns the number of datagrams sent and received.
    pub fn counts(&self) -> (u64, u64) {
        (self.sent.get(), self.received.get())
    }

    /// Passes received datagrams to `on_datagram` until the address is released.
    pub async fn listen(&self, on_datagram: impl Fn(u32, Vec<u8>)) {
        while let Some((from, bytes)) = self.receive().await {
            self.received.set(self.received.get() + 1);
            on_datagram(from, bytes);
        }
    }

    /// Returns the next datagram from a node of the tier. Datagrams from other senders and oversized ones
    /// are ignored.
    async fn receive(&self) -> Option<(u32, Vec<u8>)> {
        let mut buffer = [0_u8; MAX_DATAGRAM_BYTES + 1];
        loop {
            let socket = self.socket.borrow().clone()?;
            let received = tokio::select! {
                received = socket.recv_from(&mut buffer) => received,
                () = self.released.notified() => continue,
            };
            let Ok((length, sender)) = received else {
                // For example, the system reports an earlier send to a peer that is down.
                tokio::time::sleep(Duration::from_millis(1)).await;
                continue;
            };
            let from = self.nodes.iter().zip(0_u32..).find(|(address, _)| **address == sender);
            if let (Some((_, from)), Some(bytes)) = (from, buffer.get(..length))
                && length <= MAX_DATAGRAM_BYTES
            {
                return Some((from, bytes.to_vec()));
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Tests both directions on real sockets, without a whole node.
    #[tokio::test]
    async fn datagrams_go_both_ways_and_unknown_senders_are_ignored() -> std::io::Result<()> {
        let any: SocketAddr = ([127, 0, 0, 1], 0).into();
        let mut a = Peers::new(any, Vec::new(), None, 0)?;
        let mut b = Peers::new(any, Vec::new(), None, 1)?;
        let address = |p: &Peers| p.socket.borrow().as_ref().unwrap().local_addr().unwrap();
        let stranger = UdpSocket::bind(any).await?;
        let nodes = vec![address(&a), address(&b)];
        (a.nodes, b.nodes) = (nodes.clone(), nodes.clone());
        stranger.send_to(b"not of the tier", nodes[1]).await?;
        a.send(Some(1), &[7; MAX_DATAGRAM_BYTES + 1]);
        a.send(Some(9), b"nobody");
        a.send(None, b"to all others");
        b.send(Some(0), b"back");
        let received =
            tokio::time::timeout(Duration::from_secs(5), async { (b.receive().await, a.receive().await) });
        let (at_b, at_a) = received.await?;
        assert_eq!(at_b, Some((0, b"to all others".to_vec())));
        assert_eq!(at_a, Some((1, b"back".to_vec())));
        // After the release the next process receives everything sent to the address.
        let next = Peers::new(nodes[1], nodes.clone(), None, 1)?;
        b.release();
        assert_eq!(b.receive().await, None);
        a.send(Some(1), b"to the next");
        let received = tokio::time::timeout(Duration::from_secs(5), next.receive()).await?;
        assert_eq!(received, Some((0, b"to the next".to_vec())));
        Ok(())
    }
}
