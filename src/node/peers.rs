//! Datagrams between nodes.

use crate::log::log_event;
use socket2::{Domain, Socket, Type};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::sync::Notify;

/// A longer datagram breaks the deployment's rules.
const LONGEST: usize = 256;

/// The other nodes of the tier.
pub struct Peers {
    /// None once it is left to another process of this node.
    socket: RefCell<Option<Rc<UdpSocket>>>,
    listen: SocketAddr,
    left: Notify,
    nodes: Vec<SocketAddr>,
    all: Option<SocketAddr>,
    own: Cell<u32>,
    sent: Cell<u64>,
    received: Cell<u64>,
}

fn bound(listen: SocketAddr) -> std::io::Result<UdpSocket> {
    let socket = Socket::new(Domain::for_address(listen), Type::DGRAM, None)?;
    // The next process of this node binds it too, before this one ends.
    socket.set_reuse_port(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&listen.into())?;
    UdpSocket::from_std(socket.into())
}

impl Peers {
    /// Listens at `listen`; `own` is this node's number among `nodes`.
    pub fn new(
        listen: SocketAddr,
        nodes: Vec<SocketAddr>,
        all: Option<SocketAddr>,
        own: u32,
    ) -> std::io::Result<Peers> {
        Ok(Peers {
            socket: RefCell::new(Some(Rc::new(bound(listen)?))),
            listen,
            left: Notify::new(),
            nodes,
            all,
            own: Cell::new(own),
            sent: Cell::new(0),
            received: Cell::new(0),
        })
    }

    /// This node's number is another now.
    pub fn renumber(&self, own: u32) {
        self.own.set(own);
    }

    /// Takes the address again that was left.
    pub fn join(&self) -> std::io::Result<()> {
        if self.socket.borrow().is_none() {
            self.socket.replace(Some(Rc::new(bound(self.listen)?)));
        }
        Ok(())
    }

    /// How many nodes the tier has, this one included.
    pub fn nodes(&self) -> usize {
        self.nodes.len()
    }

    /// Leaves the address to another process of this node.
    pub fn leave(&self) {
        self.socket.replace(None);
        self.left.notify_one();
    }

    /// Sends to one node or to all others. A message that cannot go is lost, as any may be.
    pub fn send(&self, to: Option<u32>, bytes: &[u8]) {
        if bytes.len() > LONGEST {
            log_event!(ERROR, "peers", bytes = bytes.len(), "peers.too_long");
            return;
        }
        let node = |n: u32| self.nodes.get(n as usize).copied();
        let others = || {
            let others = self.nodes.iter().zip(0_u32..).filter(|(_, n)| *n != self.own.get());
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

    /// Datagrams sent and received so far.
    pub fn counts(&self) -> (u64, u64) {
        (self.sent.get(), self.received.get())
    }

    /// Hands on what arrives, until the address is left.
    pub async fn listen(&self, heard: impl Fn(u32, Vec<u8>)) {
        while let Some((from, bytes)) = self.receive().await {
            self.received.set(self.received.get() + 1);
            heard(from, bytes);
        }
    }

    /// The next message of a node of the tier; strangers and overlong datagrams are not heard.
    async fn receive(&self) -> Option<(u32, Vec<u8>)> {
        let mut buffer = [0_u8; LONGEST + 1];
        loop {
            let socket = self.socket.borrow().clone()?;
            let received = tokio::select! {
                received = socket.recv_from(&mut buffer) => received,
                () = self.left.notified() => continue,
            };
            let Ok((length, sender)) = received else {
                // Such as a peer that is down: the system says so of an earlier send.
                tokio::time::sleep(Duration::from_millis(1)).await;
                continue;
            };
            let from = self.nodes.iter().zip(0_u32..).find(|(address, _)| **address == sender);
            if let (Some((_, from)), Some(bytes)) = (from, buffer.get(..length))
                && length <= LONGEST
            {
                return Some((from, bytes.to_vec()));
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// The decisions send no messages yet, so the way out is tried here rather than on the whole node.
    #[tokio::test]
    async fn messages_go_both_ways_and_strangers_are_not_heard() -> std::io::Result<()> {
        let any: SocketAddr = ([127, 0, 0, 1], 0).into();
        let mut a = Peers::new(any, Vec::new(), None, 0)?;
        let mut b = Peers::new(any, Vec::new(), None, 1)?;
        let address = |p: &Peers| p.socket.borrow().as_ref().unwrap().local_addr().unwrap();
        let stranger = UdpSocket::bind(any).await?;
        let nodes = vec![address(&a), address(&b)];
        (a.nodes, b.nodes) = (nodes.clone(), nodes.clone());
        stranger.send_to(b"not of the tier", nodes[1]).await?;
        a.send(Some(1), &[7; LONGEST + 1]);
        a.send(Some(9), b"nobody");
        a.send(None, b"to all others");
        b.send(Some(0), b"back");
        let heard =
            tokio::time::timeout(Duration::from_secs(5), async { (b.receive().await, a.receive().await) });
        let (at_b, at_a) = heard.await?;
        assert_eq!(at_b, Some((0, b"to all others".to_vec())));
        assert_eq!(at_a, Some((1, b"back".to_vec())));
        // The next process has the address to itself once this one left it.
        let next = Peers::new(nodes[1], nodes.clone(), None, 1)?;
        b.leave();
        assert_eq!(b.receive().await, None);
        a.send(Some(1), b"to the next");
        let heard = tokio::time::timeout(Duration::from_secs(5), next.receive()).await?;
        assert_eq!(heard, Some((0, b"to the next".to_vec())));
        Ok(())
    }
}
