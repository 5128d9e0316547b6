//! Emulated discovery service on sockets: the full list and a watch for changes, with delays, a limited
//! rate of calls, and faults.

use super::World;
use super::links::{AcceptMode, FaultyListener, Link, LinkStream, StreamEnd, lock, loopback_ip};
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

/// Maximum time that a watch may wait.
const MAX_WATCH: Duration = Duration::from_secs(60);
/// Index of the loopback address on which discovery listens.
const ADDRESS_INDEX: u32 = 240;

/// An entry of the list.
#[derive(Clone, Debug)]
struct Entry {
    server: usize,
    state: &'static str,
    boot_ms: u64,
    version: u64,
}

/// The list of servers by name, with the version of its last change.
#[derive(Debug, Default)]
struct List {
    version: u64,
    entries: BTreeMap<String, Entry>,
}

/// The active faults of discovery.
#[derive(Clone, Copy, Debug)]
pub struct DiscoveryFaults {
    /// True if calls are answered with 503.
    pub down: bool,
    /// True if calls get no answer.
    pub silent: bool,
    /// Factor on the time that a call takes.
    pub slow: f64,
}

/// The discovery service, shared by all nodes.
pub struct Discovery {
    list: Mutex<List>,
    changed: Notify,
    faults: Mutex<DiscoveryFaults>,
    /// Serializes the processing of calls.
    turn: tokio::sync::Mutex<()>,
    links: Vec<Arc<Link>>,
    listeners: Mutex<Vec<FaultyListener>>,
}

impl Discovery {
    /// Creates the service with all servers listed as up since long ago.
    pub fn new(world: &World) -> Discovery {
        let entry = |server| Entry { server, state: "up", boot_ms: 0, version: 1 };
        let machines = world.plan.machines.iter().enumerate();
        let entries = machines.map(|(n, m)| (m.name.clone(), entry(n))).collect();
        Discovery {
            list: Mutex::new(List { version: 1, entries }),
            changed: Notify::new(),
            faults: Mutex::new(DiscoveryFaults { down: false, silent: false, slow: 1.0 }),
            turn: tokio::sync::Mutex::default(),
            links: world.plan.node_zones.iter().map(|_| Arc::default()).collect(),
            listeners: Mutex::default(),
        }
    }

    /// Opens one address for each node and closes earlier ones.
    pub fn open(self: &Arc<Self>, world: &Arc<World>) -> io::Result<()> {
        let mut listeners = Vec::new();
        for node in 0..self.links.len() {
            let (discovery, world) = (self.clone(), world.clone());
            listeners.push(FaultyListener::open(loopback_ip(ADDRESS_INDEX), move |stream| {
                let (discovery, world) = (discovery.clone(), world.clone());
                tokio::spawn(async move {
                    let Some(link) = discovery.links.get(node).cloned() else { return };
                    let io = TokioIo::new(LinkStream::new(stream, link, StreamEnd::Party));
                    let service = service_fn(|request| {
                        let (discovery, world) = (discovery.clone(), world.clone());
                        async move { discovery.respond(&world, node, request).await }
                    });
                    // Errors mean that the node closed the connection or a fault broke it.
                    let _ = http1::Builder::new().serve_connection(io, service).await;
                });
            })?);
        }
        let before = std::mem::replace(&mut *lock(&self.listeners), listeners);
        before.iter().for_each(|g| g.set(AcceptMode::Refuse));
        Ok(())
    }

    /// Returns the address at which a node calls discovery.
    pub fn address(&self, node: usize) -> Option<std::net::SocketAddr> {
        lock(&self.listeners).get(node).map(|g| g.address)
    }

    /// Returns the link to a node.
    pub fn link(&self, node: usize) -> Option<&Arc<Link>> {
        self.links.get(node)
    }

    /// Updates how new connections from a node are treated, depending on the link.
    pub fn update_accept_mode(&self, node: usize) {
        let passes = self.links.get(node).is_none_or(|l| l.link_state().outbound);
        if let Some(listener) = lock(&self.listeners).get(node) {
            listener.set(if passes { AcceptMode::Accept } else { AcceptMode::Silent });
        }
    }

    /// Changes the active faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut DiscoveryFaults)) {
        change(&mut lock(&self.faults));
        self.changed.notify_waiters();
    }

    /// Sets the state of a server in the list.
    pub fn set_entry(&self, name: &str, server: usize, state: &'static str, boot_ms: u64) {
        let mut list = lock(&self.list);
        list.version += 1;
        let version = list.version;
        list.entries.insert(name.to_owned(), Entry { server, state, boot_ms, version });
        drop(list);
        self.changed.notify_waiters();
    }

    /// Returns the full list as a node may have saved it, in the protocol's format.
    pub fn full_list(&self, world: &World, node: usize) -> Value {
        self.list_json(world, node, None)
    }

    /// Returns the entries changed after a version, or the full list.
    fn list_json(&self, world: &World, node: usize, after: Option<u64>) -> Value {
        let list = lock(&self.list);
        let zones = &world.plan.scenario.fleet.zones;
        let targets: Vec<Value> = (list.entries.iter())
            .filter(|(_, e)| after.map_or(e.state != "removed", |after| e.version > after))
            .filter_map(|(name, e)| {
                let endpoint = world.host(e.server)?.address(node)?;
                let zone = world.plan.machines.get(e.server)?.zone;
                let target = move |uid: String| {
                    json!({"uid": uid, "endpoint": endpoint.to_string(), "az": zones.get(zone), "model": "m",
                           "pod_group": zone, "state": e.state, "capacity_hint": 1.0, "boot_ms": e.boot_ms})
                };
                let more_names = (1..world.plan.scenario.fleet.names).map(move |n| format!("{name}.{n}"));
                Some(std::iter::once(name.clone()).chain(more_names).map(target))
            })
            .flatten()
            .collect();
        json!({"rev": list.version, "all": after.is_none(), "targets": targets})
    }

    /// Answers a call of a node.
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
        let end = tokio::time::Instant::now() + Duration::from_millis(wait).min(MAX_WATCH);
        if let Some(after) = after {
            loop {
                let changed = self.changed.notified();
                let faults = *lock(&self.faults);
                if faults.down || lock(&self.list).version > after {
                    break;
                }
                if tokio::time::timeout_at(end, changed).await.is_err() {
                    break;
                }
            }
        }
        if lock(&self.faults).silent {
            std::future::pending::<()>().await;
        }
        let limit = Duration::from_secs_f64(world.plan.scenario.discovery.timeout_ms / 1000.0);
        let Ok(turn) = tokio::time::timeout(limit, self.turn.lock()).await else {
            return Ok(empty_response(StatusCode::SERVICE_UNAVAILABLE));
        };
        let faults = *lock(&self.faults);
        let call_ms = world.plan.scenario.discovery.call_ms * faults.slow.max(0.0);
        tokio::time::sleep(Duration::from_secs_f64(call_ms / 1000.0)).await;
        drop(turn);
        if faults.down {
            return Ok(empty_response(StatusCode::SERVICE_UNAVAILABLE));
        }
        let list_json = self.list_json(world, node, after);
        let now = world.now();
        let states: Vec<(usize, bool)> = {
            let list = lock(&self.list);
            let changes = list.entries.values().filter(|e| after.is_none_or(|a| e.version > a));
            // A server that was replaced has an entry under its old name as well.
            changes.map(|e| (e.server, e.state == "up")).collect()
        };
        let mut checker = lock(&world.checker);
        // If a server is listed under an old and a new name, the entry that is up applies: the old name
        // says nothing about the machine in its place.
        for (server, up) in states.iter().filter(|(_, up)| !up).chain(states.iter().filter(|(_, up)| *up)) {
            checker.server_state_learned(now, node, *server, *up);
        }
        drop(checker);
        Ok(Response::new(Full::new(Bytes::from(list_json.to_string()))))
    }
}

fn empty_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
