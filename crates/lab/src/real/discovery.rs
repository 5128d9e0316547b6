//! Discovery on sockets: the whole list and a watch, late, of fixed capacity, and as sick as the day wants it.

use super::World;
use super::links::{Door, End, Gate, Gated, Link, lock, own_ip};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::Notify;

/// The longest that a watch may wait.
const LONGEST_WAIT: Duration = Duration::from_secs(60);
/// A restart's new address book is one whole round of these.
const ADDRESS: u32 = 240;

#[derive(Clone, Debug)]
struct Entry {
    server: usize,
    state: &'static str,
    boot_ms: u64,
    version: u64,
}

#[derive(Debug, Default)]
struct List {
    version: u64,
    entries: BTreeMap<String, Entry>,
}

/// What is wrong with it now.
#[derive(Clone, Copy, Debug)]
pub struct Sick {
    /// Calls get 503.
    pub down: bool,
    /// Calls get no answer.
    pub silent: bool,
    /// Each call takes so many times as long.
    pub slow: f64,
}

/// The one service of all nodes.
pub struct Discovery {
    list: Mutex<List>,
    news: Notify,
    sick: Mutex<Sick>,
    /// One call at a time.
    turn: tokio::sync::Mutex<()>,
    links: Vec<Arc<Link>>,
    gates: Mutex<Vec<Gate>>,
}

impl Discovery {
    /// It knows all servers, up for long.
    pub fn new(world: &World) -> Discovery {
        let entry = |server| Entry { server, state: "up", boot_ms: 0, version: 1 };
        let machines = world.plan.machines.iter().enumerate();
        let entries = machines.map(|(n, m)| (m.name.clone(), entry(n))).collect();
        Discovery {
            list: Mutex::new(List { version: 1, entries }),
            news: Notify::new(),
            sick: Mutex::new(Sick { down: false, silent: false, slow: 1.0 }),
            turn: tokio::sync::Mutex::default(),
            links: world.plan.node_zones.iter().map(|_| Arc::default()).collect(),
            gates: Mutex::default(),
        }
    }

    /// Opens its addresses, one for each node; those before are shut.
    pub fn open(self: &Arc<Self>, world: &Arc<World>) -> io::Result<()> {
        let mut gates = Vec::new();
        for node in 0..self.links.len() {
            let (own, world) = (self.clone(), world.clone());
            gates.push(Gate::open(own_ip(ADDRESS), move |stream| {
                let (own, world) = (own.clone(), world.clone());
                tokio::spawn(async move {
                    let Some(link) = own.links.get(node).cloned() else { return };
                    let io = TokioIo::new(Gated::new(stream, link, End::Party));
                    let service = service_fn(|request| {
                        let (own, world) = (own.clone(), world.clone());
                        async move { own.respond(&world, node, request).await }
                    });
                    // Errors are the node's leaving, or a trouble.
                    let _ = http1::Builder::new().serve_connection(io, service).await;
                });
            })?);
        }
        let before = std::mem::replace(&mut *lock(&self.gates), gates);
        before.iter().for_each(|g| g.set(Door::Shut));
        Ok(())
    }

    /// Where a node calls it.
    pub fn address(&self, node: usize) -> Option<std::net::SocketAddr> {
        lock(&self.gates).get(node).map(|g| g.address)
    }

    /// The link to a node.
    pub fn link(&self, node: usize) -> Option<&Arc<Link>> {
        self.links.get(node)
    }

    /// New connections from a node meet what the link is like.
    pub fn door(&self, node: usize) {
        let passes = self.links.get(node).is_none_or(|l| l.link_state().outbound);
        if let Some(gate) = lock(&self.gates).get(node) {
            gate.set(if passes { Door::Open } else { Door::Silent });
        }
    }

    /// Changes what is wrong with it.
    pub fn sick(&self, change: impl FnOnce(&mut Sick)) {
        change(&mut lock(&self.sick));
        self.news.notify_waiters();
    }

    /// A server's state is another from now on, as far as it is concerned.
    pub fn note(&self, name: &str, server: usize, state: &'static str, boot_ms: u64) {
        let mut list = lock(&self.list);
        list.version += 1;
        let version = list.version;
        list.entries.insert(name.to_owned(), Entry { server, state, boot_ms, version });
        drop(list);
        self.news.notify_waiters();
    }

    /// The list as a node may have had it, in the protocol's form.
    pub fn known(&self, world: &World, node: usize) -> Value {
        self.listing(world, node, None)
    }

    fn listing(&self, world: &World, node: usize, after: Option<u64>) -> Value {
        let list = lock(&self.list);
        let zones = &world.plan.scenario.fleet.zones;
        let targets: Vec<Value> = (list.entries.iter())
            .filter(|(_, e)| after.map_or(e.state != "removed", |after| e.version > after))
            .filter_map(|(name, e)| {
                let endpoint = world.host(e.server)?.address(node)?;
                let zone = world.plan.machines.get(e.server)?.zone;
                let line = move |uid: String| {
                    json!({"uid": uid, "endpoint": endpoint.to_string(), "az": zones.get(zone), "model": "m",
                           "pod_group": zone, "state": e.state, "capacity_hint": 1.0, "boot_ms": e.boot_ms})
                };
                let further = (1..world.plan.scenario.fleet.names).map(move |n| format!("{name}.{n}"));
                Some(std::iter::once(name.clone()).chain(further).map(line))
            })
            .flatten()
            .collect();
        json!({"rev": list.version, "all": after.is_none(), "targets": targets})
    }

    async fn respond(
        self: Arc<Self>,
        world: &Arc<World>,
        node: usize,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, io::Error> {
        let query = request.uri().query().unwrap_or_default().to_owned();
        let number = |name: &str| {
            query.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('=')?.parse::<u64>().ok())
        };
        lock(&world.checker).discovery_called(world.now());
        let (after, wait) = (number("after"), number("wait_ms").unwrap_or(0));
        let end = tokio::time::Instant::now() + Duration::from_millis(wait).min(LONGEST_WAIT);
        if let Some(after) = after {
            loop {
                let news = self.news.notified();
                let sick = *lock(&self.sick);
                if sick.down || lock(&self.list).version > after {
                    break;
                }
                if tokio::time::timeout_at(end, news).await.is_err() {
                    break;
                }
            }
        }
        if lock(&self.sick).silent {
            std::future::pending::<()>().await;
        }
        let limit = Duration::from_secs_f64(world.plan.scenario.discovery.timeout_ms / 1000.0);
        let Ok(turn) = tokio::time::timeout(limit, self.turn.lock()).await else {
            return Ok(status(StatusCode::SERVICE_UNAVAILABLE));
        };
        let sick = *lock(&self.sick);
        let call_ms = world.plan.scenario.discovery.call_ms * sick.slow.max(0.0);
        tokio::time::sleep(Duration::from_secs_f64(call_ms / 1000.0)).await;
        drop(turn);
        if sick.down {
            return Ok(status(StatusCode::SERVICE_UNAVAILABLE));
        }
        let listing = self.listing(world, node, after);
        let now = world.now();
        let told: Vec<(usize, bool)> = {
            let list = lock(&self.list);
            let news = list.entries.values().filter(|e| after.is_none_or(|a| e.version > a));
            // A replaced server's old name says nothing of the machine that has its place now.
            news.map(|e| (e.server, e.state == "up")).collect()
        };
        let mut checker = lock(&world.checker);
        // Where one server has an old name and a new one, the one that is up holds.
        for (server, up) in told.iter().filter(|(_, up)| !up).chain(told.iter().filter(|(_, up)| *up)) {
            checker.server_state_learned(now, node, *server, *up);
        }
        drop(checker);
        Ok(Response::new(Full::new(Bytes::from(listing.to_string()))))
    }
}

fn status(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
