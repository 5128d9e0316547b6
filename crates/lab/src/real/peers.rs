//! Datagrams between nodes: each pair has two addresses of the lab's, through which they are passed on late, lost,
//! doubled or not at all.

use super::World;
use super::links::{lock, own_ip};
use std::collections::HashSet;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::UdpSocket;

/// A longer datagram breaks the deployment's rules.
const LONGEST: usize = 256;
/// Where the lab's sockets are.
const ADDRESS: u32 = 241;

/// What is wrong between nodes now.
#[derive(Clone, Debug, Default)]
pub struct Wrong {
    /// From one to the other nothing passes.
    pub cut: HashSet<(usize, usize)>,
    /// Part that is lost beyond what always is.
    pub loss: f64,
    /// Part that comes twice and late.
    pub double: f64,
}

/// All sockets between nodes.
pub struct Peers {
    /// `sockets[i][j]` stands for node j towards node i; `sockets[i][i]` reaches all.
    sockets: Vec<Vec<Arc<UdpSocket>>>,
    /// Where each node listens.
    listen: Vec<SocketAddr>,
    wrong: Mutex<Wrong>,
}

impl Peers {
    /// Opens them, towards nodes that listen there.
    ///
    /// # Errors
    /// An address cannot be bound.
    pub async fn open(listen: Vec<SocketAddr>) -> io::Result<Peers> {
        let mut sockets = Vec::new();
        for _ in &listen {
            let mut row = Vec::new();
            for _ in &listen {
                row.push(Arc::new(UdpSocket::bind((own_ip(ADDRESS), 0)).await?));
            }
            sockets.push(row);
        }
        Ok(Peers { sockets, listen, wrong: Mutex::default() })
    }

    /// Changes what is wrong.
    pub fn wrong(&self, change: impl FnOnce(&mut Wrong)) {
        change(&mut lock(&self.wrong));
    }

    /// What node `i` is told: the address of each node, and the one that reaches all.
    pub fn addresses(&self, i: usize) -> Option<(Vec<String>, String)> {
        let own = *self.listen.get(i)?;
        let row = self.sockets.get(i)?;
        let at = |s: &UdpSocket| s.local_addr().map(|a| a.to_string()).ok();
        let each = |(j, s): (usize, &Arc<UdpSocket>)| if i == j { Some(own.to_string()) } else { at(s) };
        let nodes = row.iter().enumerate().map(each).collect::<Option<Vec<_>>>()?;
        Some((nodes, at(row.get(i)?)?))
    }

    /// Passes datagrams on for as long as the day lasts.
    pub fn start(self: &Arc<Self>, world: &Arc<World>) {
        for (i, row) in self.sockets.iter().enumerate() {
            for (j, socket) in row.iter().enumerate() {
                let (own, world, socket) = (self.clone(), world.clone(), socket.clone());
                tokio::spawn(async move {
                    let mut buffer = [0; 2048];
                    while let Ok((n, from)) = socket.recv_from(&mut buffer).await {
                        // What does not come from that node, a stranger says.
                        if own.listen.get(i).is_none_or(|l| l.ip() != from.ip()) {
                            continue;
                        }
                        let bytes = buffer.get(..n).unwrap_or_default();
                        if n > LONGEST {
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
                            (0..own.listen.len())
                                .filter(|k| *k != i)
                                .for_each(|k| own.pass(&world, i, k, bytes));
                        } else {
                            own.pass(&world, i, j, bytes);
                        }
                    }
                });
            }
        }
    }

    fn pass(self: &Arc<Self>, world: &Arc<World>, from: usize, to: usize, bytes: &[u8]) {
        let (cut, loss, double) = {
            let wrong = lock(&self.wrong);
            (wrong.cut.contains(&(from, to)), wrong.loss, wrong.double)
        };
        let net = &world.plan.scenario.net;
        let luck = world.draw();
        if cut || luck < net.peer_loss + loss {
            return;
        }
        let copies = if world.draw() < double { 2 } else { 1 };
        for _ in 0..copies {
            let range = net.peer_ms[1] - net.peer_ms[0];
            let ms = net.peer_ms[0] + range * world.draw() * if copies > 1 { 5.0 } else { 1.0 };
            let (own, bytes) = (self.clone(), bytes.to_vec());
            tokio::spawn(async move {
                tokio::time::sleep(Duration::from_secs_f64(ms / 1000.0)).await;
                // From the address by which the receiver knows the sender.
                let (Some(socket), Some(at)) =
                    (own.sockets.get(to).and_then(|r| r.get(from)), own.listen.get(to))
                else {
                    return;
                };
                // Nobody may be there.
                let _ = socket.send_to(&bytes, at).await;
            });
        }
    }
}
