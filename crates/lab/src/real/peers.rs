//! Emulated network for datagrams between nodes: every pair communicates through sockets of the lab, which
//! delay, drop or duplicate the datagrams.

use super::World;
use super::links::{lock, loopback_ip};
use std::collections::HashSet;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::UdpSocket;

/// Maximum size of a datagram that the deployment allows, in bytes.
const MAX_DATAGRAM_BYTES: usize = 256;
/// Index of the loopback address on which the lab's sockets are.
const ADDRESS_INDEX: u32 = 241;

/// The active faults between nodes.
#[derive(Clone, Debug, Default)]
pub struct PeerFaults {
    /// Pairs of sender and receiver between which nothing passes.
    pub cut: HashSet<(usize, usize)>,
    /// Share of the datagrams lost in addition to the usual loss.
    pub loss: f64,
    /// Share of the datagrams that arrive twice, and late.
    pub duplicate: f64,
}

/// The sockets between all nodes.
pub struct Peers {
    /// `sockets[i][j]` represents node `j` to node `i`; `sockets[i][i]` is node `i`'s address for
    /// broadcasts.
    sockets: Vec<Vec<Arc<UdpSocket>>>,
    /// The address on which each node receives.
    listen: Vec<SocketAddr>,
    faults: Mutex<PeerFaults>,
}

impl Peers {
    /// Opens the sockets for nodes that receive on the addresses `listen`.
    ///
    /// # Errors
    /// Returns an error if an address cannot be bound.
    pub async fn open(listen: Vec<SocketAddr>) -> io::Result<Peers> {
        let mut sockets = Vec::new();
        for _ in &listen {
            let mut row = Vec::new();
            for _ in &listen {
                row.push(Arc::new(UdpSocket::bind((loopback_ip(ADDRESS_INDEX), 0)).await?));
            }
            sockets.push(row);
        }
        Ok(Peers { sockets, listen, faults: Mutex::default() })
    }

    /// Changes the active faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut PeerFaults)) {
        change(&mut lock(&self.faults));
    }

    /// Returns the addresses that node `i` is configured with: one for each node, and the broadcast
    /// address.
    pub fn addresses(&self, i: usize) -> Option<(Vec<String>, String)> {
        let own_address = *self.listen.get(i)?;
        let row = self.sockets.get(i)?;
        let address = |s: &UdpSocket| s.local_addr().map(|a| a.to_string()).ok();
        let each = |(j, s): (usize, &Arc<UdpSocket>)| {
            if i == j { Some(own_address.to_string()) } else { address(s) }
        };
        let nodes = row.iter().enumerate().map(each).collect::<Option<Vec<_>>>()?;
        Some((nodes, address(row.get(i)?)?))
    }

    /// Forwards datagrams until the end of the run.
    pub fn start(self: &Arc<Self>, world: &Arc<World>) {
        for (i, row) in self.sockets.iter().enumerate() {
            for (j, socket) in row.iter().enumerate() {
                let (peers, world, socket) = (self.clone(), world.clone(), socket.clone());
                tokio::spawn(async move {
                    let mut buffer = [0; 2048];
                    while let Ok((n, from)) = socket.recv_from(&mut buffer).await {
                        // Ignores datagrams that do not come from that node.
                        if peers.listen.get(i).is_none_or(|l| l.ip() != from.ip()) {
                            continue;
                        }
                        let bytes = buffer.get(..n).unwrap_or_default();
                        if n > MAX_DATAGRAM_BYTES {
                            let what = format!("node {i} sent a datagram of {n} bytes");
                            lock(&world.checker).record_violation(
                                crate::checker::Rule::Forged,
                                world.now(),
                                what,
                            );
                            continue;
                        }
                        lock(&world.checker).datagram_sent(world.now(), n);
                        if i == j {
                            (0..peers.listen.len())
                                .filter(|k| *k != i)
                                .for_each(|k| peers.forward(&world, i, k, bytes));
                        } else {
                            peers.forward(&world, i, j, bytes);
                        }
                    }
                });
            }
        }
    }

    /// Forwards a datagram from one node to another, as the network and the active faults allow.
    fn forward(self: &Arc<Self>, world: &Arc<World>, from: usize, to: usize, bytes: &[u8]) {
        let (cut, loss, duplicate) = {
            let faults = lock(&self.faults);
            (faults.cut.contains(&(from, to)), faults.loss, faults.duplicate)
        };
        let net = &world.plan.scenario.net;
        let loss_draw = world.next_fraction();
        if cut || loss_draw < net.peer_loss + loss {
            return;
        }
        let copies = if world.next_fraction() < duplicate { 2 } else { 1 };
        for _ in 0..copies {
            let range = net.peer_ms[1] - net.peer_ms[0];
            let ms = net.peer_ms[0] + range * world.next_fraction() * if copies > 1 { 5.0 } else { 1.0 };
            let (peers, bytes) = (self.clone(), bytes.to_vec());
            tokio::spawn(async move {
                tokio::time::sleep(Duration::from_secs_f64(ms / 1000.0)).await;
                // Sent from the address by which the receiver knows the sender.
                let (Some(socket), Some(at)) =
                    (peers.sockets.get(to).and_then(|r| r.get(from)), peers.listen.get(to))
                else {
                    return;
                };
                // The receiver may be down.
                let _ = socket.send_to(&bytes, at).await;
            });
        }
    }
}
