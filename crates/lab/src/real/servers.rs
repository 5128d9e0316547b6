//! Config servers on sockets: the model of `server.rs`, met by each node at an address of its own.

use super::World;
use super::links::{Door, End, Gate, Gated, Link, lock, own_ip};
use crate::checker::Rule;
use crate::server::{Admit, Server, spec};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::collections::HashMap;
use std::io;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{Notify, oneshot};

/// A connection that carries nothing for so long is closed.
const IDLE: Duration = Duration::from_secs(15);

/// What is wrong with a server now.
#[derive(Clone, Copy, Debug, Default)]
pub struct Wrong {
    /// Requests are never answered.
    pub silent: bool,
    /// Part that is answered with an error at once.
    pub errors: f64,
    /// Part whose connection breaks once it has run.
    pub resets: f64,
    /// No further connections.
    pub full: bool,
    /// Its report is this old, in milliseconds.
    pub report_late_ms: f64,
}

/// One server.
pub struct Host {
    number: usize,
    model: Mutex<Server>,
    wake: Notify,
    waiting: Mutex<HashMap<u64, oneshot::Sender<()>>>,
    next: AtomicU64,
    connections: AtomicUsize,
    wrong: Mutex<Wrong>,
    /// What it said of its load, and when.
    reports: Mutex<Vec<(f64, usize)>>,
    up: AtomicBool,
    /// How often its process has started or ended.
    starts: AtomicU64,
    links: Vec<Arc<Link>>,
    gates: Mutex<Vec<Gate>>,
}

/// An attempt that is out at a server. It is over by being dropped: answered, or given up by its node.
struct Out<'a> {
    world: &'a World,
    id: u64,
    attempt: usize,
    never_ran: bool,
    served: bool,
}

impl Drop for Out<'_> {
    fn drop(&mut self) {
        let now = self.world.now();
        let mut checker = lock(&self.world.checker);
        checker.attempt_ended(now, self.id, self.attempt, self.never_ran);
        if !self.served {
            checker.attempt_wasted();
        }
    }
}

/// Removes a request from the model when whoever sent it has gone.
struct Held {
    host: Arc<Host>,
    id: u64,
}

impl Drop for Held {
    fn drop(&mut self) {
        if lock(&self.host.waiting).remove(&self.id).is_some() {
            lock(&self.host.model).cancel(self.id);
            self.host.wake.notify_one();
        }
    }
}

impl Host {
    /// A server that has no addresses yet, warm at the day's beginning.
    pub fn new(world: &World, number: usize) -> Host {
        let spec = spec(&world.plan, number);
        Host {
            number,
            model: Mutex::new(Server::new(spec, -1e12)),
            wake: Notify::new(),
            waiting: Mutex::default(),
            next: AtomicU64::new(0),
            connections: AtomicUsize::new(0),
            wrong: Mutex::default(),
            reports: Mutex::default(),
            up: AtomicBool::new(true),
            starts: AtomicU64::new(0),
            links: world.plan.node_zones.iter().map(|_| Arc::default()).collect(),
            gates: Mutex::default(),
        }
    }

    /// Opens its addresses, one for each node, and works.
    pub fn start(self: &Arc<Self>, world: &Arc<World>) -> io::Result<()> {
        for node in 0..self.links.len() {
            let (host, world) = (self.clone(), world.clone());
            let gate = Gate::open(own_ip(self.number as u32), move |stream| {
                tokio::spawn(host.clone().converse(world.clone(), node, stream));
            })?;
            lock(&self.gates).push(gate);
        }
        tokio::spawn(self.clone().work(world.clone()));
        Ok(())
    }

    /// Where a node meets it.
    pub fn address(&self, node: usize) -> Option<std::net::SocketAddr> {
        lock(&self.gates).get(node).map(|g| g.address)
    }

    /// Its process runs.
    pub fn up(&self) -> bool {
        self.up.load(Ordering::SeqCst)
    }

    /// Differs between any two of its lives.
    pub fn starts(&self) -> u64 {
        self.starts.load(Ordering::SeqCst)
    }

    /// The link to a node.
    pub fn link(&self, node: usize) -> Option<&Arc<Link>> {
        self.links.get(node)
    }

    /// Changes what is wrong with it.
    pub fn wrong(&self, change: impl FnOnce(&mut Wrong)) {
        change(&mut lock(&self.wrong));
    }

    /// Changes the machine.
    pub fn model(&self, change: impl FnOnce(&mut Server)) {
        change(&mut lock(&self.model));
        self.wake.notify_one();
    }

    /// What new connections from a node meet, by what the link and the server are like.
    pub fn door(&self, node: usize, vanished: bool) {
        let passes = self.links.get(node).is_none_or(|l| l.link_state().outbound);
        let door = match self.up.load(Ordering::SeqCst) {
            _ if !passes || vanished => Door::Silent,
            true => Door::Open,
            false => Door::Shut,
        };
        if let Some(gate) = lock(&self.gates).get(node) {
            gate.set(door);
        }
    }

    /// The process ends: what it had is gone, connections break or, where the machine has vanished, stay silent.
    pub fn down(&self, vanished: bool) {
        self.up.store(false, Ordering::SeqCst);
        self.starts.fetch_add(1, Ordering::SeqCst);
        lock(&self.waiting).clear();
        for (node, link) in self.links.iter().enumerate() {
            if vanished {
                link.set(crate::plan::LinkState { outbound: false, inbound: false, ..link.link_state() });
            } else {
                link.reset();
            }
            self.door(node, vanished);
        }
    }

    /// It starts, cold.
    pub fn start_cold(&self, now: f64) {
        lock(&self.model).restart(now);
        lock(&self.waiting).clear();
        self.up.store(true, Ordering::SeqCst);
        self.starts.fetch_add(1, Ordering::SeqCst);
        for (node, link) in self.links.iter().enumerate() {
            link.set(crate::plan::LinkState { outbound: true, inbound: true, ..link.link_state() });
            // What was open before the machine was away is reset once it is back.
            link.reset();
            self.door(node, false);
        }
    }

    async fn work(self: Arc<Self>, world: Arc<World>) {
        loop {
            let mut done = Vec::new();
            let next = {
                let mut model = lock(&self.model);
                model.advance(world.now(), &mut done);
                model.next()
            };
            for id in done {
                if let Some(waiter) = lock(&self.waiting).remove(&id) {
                    let _ = waiter.send(());
                }
            }
            match next {
                Some(at) => {
                    tokio::select! {
                        () = self.wake.notified() => {}
                        () = world.until(at) => lock(&world.checker).record_lateness(world.now() - at),
                    }
                }
                None => self.wake.notified().await,
            }
        }
    }

    async fn converse(self: Arc<Self>, world: Arc<World>, node: usize, stream: TcpStream) {
        let most = world.plan.scenario.fleet.connections;
        if lock(&self.wrong).full || self.connections.load(Ordering::SeqCst) >= most {
            // A full table: the connection comes up and breaks at once.
            let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            return;
        }
        self.connections.fetch_add(1, Ordering::SeqCst);
        lock(&world.checker).connection_opened(world.now());
        let handshake = world.plan.scenario.fleet.handshake_us / 1000.0;
        self.burden(&world, handshake);
        let Some(link) = self.links.get(node).cloned() else { return };
        let service = service_fn(|request| {
            let (host, world) = (self.clone(), world.clone());
            async move { host.respond(&world, node, request).await }
        });
        let served = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(IDLE)
            .serve_connection(TokioIo::new(Gated::new(stream, link, End::Party)), service);
        // An error is the node's leaving, or a trouble.
        let _ = served.await;
        self.connections.fetch_sub(1, Ordering::SeqCst);
    }

    /// Work that nobody waits for.
    fn burden(&self, world: &World, ms: f64) {
        if ms > 0.0 {
            let id = self.next.fetch_add(1, Ordering::Relaxed);
            let now = world.now();
            let mut model = lock(&self.model);
            // What is completed by now is told when the worker looks, which is at once.
            let mut done = Vec::new();
            model.advance(now, &mut done);
            model.arrive(now, id, ms, None);
            drop(model);
            self.complete(done);
            self.wake.notify_one();
        }
    }

    fn complete(&self, done: Vec<u64>) {
        for id in done {
            if let Some(waiter) = lock(&self.waiting).remove(&id) {
                let _ = waiter.send(());
            }
        }
    }

    fn report(&self, world: &World) -> usize {
        let now = world.now();
        let held = lock(&self.model).held();
        let period = world.plan.scenario.fleet.report_ms;
        let late = lock(&self.wrong).report_late_ms;
        let mut reports = lock(&self.reports);
        if reports.last().is_none_or(|(at, _)| now - at >= period) {
            reports.push((now, held));
        }
        let old = reports.iter().rposition(|(at, _)| now - at >= late).unwrap_or(0);
        reports.drain(..old);
        reports.first().map_or(held, |r| r.1)
    }

    async fn respond(
        self: Arc<Self>,
        world: &Arc<World>,
        node: usize,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, io::Error> {
        let begun = world.now();
        let broken = || io::Error::from(io::ErrorKind::ConnectionReset);
        let text =
            |name: &str| request.headers().get(name).and_then(|v| v.to_str().ok()).map(str::to_owned);
        if request.uri().path() == "/alive" || request.uri().path() == "/metrics/load" {
            lock(&world.checker).probe_received(world.now());
            self.burden(world, world.plan.scenario.fleet.probe_us / 1000.0);
            if lock(&self.wrong).silent {
                std::future::pending::<()>().await;
            }
            world.way(node, self.number, &self.links).await;
            world.way(node, self.number, &self.links).await;
            return Ok(answer(StatusCode::OK, format!("TEXT inflight={}", self.report(world))));
        }
        let id = text("x-trace-id").and_then(|t| u64::from_str_radix(&t, 16).ok());
        let repeat_key = text("idempotency-key");
        // A node that breaks off sends no request.
        if request.into_body().collect().await.is_err() {
            return Err(broken());
        }
        world.way(node, self.number, &self.links).await;
        let asked = id.and_then(|id| world.sent(id).map(|a| (id, a)));
        let now = world.now();
        let known =
            lock(&world.checker).attempt_delivered(now, begun, id.unwrap_or_default(), node, self.number);
        let (Some(attempt), Some((id, arrival))) = (known, asked) else {
            return Ok(answer(StatusCode::BAD_REQUEST, "nobody sent this".to_owned()));
        };
        let mut out = Out { world, id, attempt, never_ran: false, served: false };
        let wrong = *lock(&self.wrong);
        // The same request meets the same luck at the same server.
        let luck = world.luck(id ^ (self.number as u64) << 48);
        if wrong.silent {
            std::future::pending::<()>().await;
        }
        if arrival.invalid {
            world.way(node, self.number, &self.links).await;
            return Ok(answer(StatusCode::BAD_REQUEST, "no such class".to_owned()));
        }
        if luck < wrong.errors {
            world.way(node, self.number, &self.links).await;
            return Ok(answer(StatusCode::INTERNAL_SERVER_ERROR, "error".to_owned()));
        }
        let zone = world.plan.machines[self.number].zone;
        let dropped = repeat_key.is_some_and(|key| world.repeated(zone, &key, arrival.class, now));
        let work = if dropped { 0.1 } else { arrival.work_ms };
        let own = self.next.fetch_add(1, Ordering::Relaxed);
        let (tell, done) = oneshot::channel();
        let mut completed = Vec::new();
        let admitted = {
            let mut model = lock(&self.model);
            model.advance(now, &mut completed);
            let admitted = model.arrive(now, own, work, Some(arrival.key));
            if admitted == Admit::Taken {
                lock(&self.waiting).insert(own, tell);
            }
            admitted
        };
        self.complete(completed);
        self.wake.notify_one();
        match admitted {
            Admit::Taken => {}
            Admit::Full => {
                world.way(node, self.number, &self.links).await;
                out.never_ran = true;
                let mut full = answer(StatusCode::SERVICE_UNAVAILABLE, "full".to_owned());
                full.headers_mut().insert("x-never-ran", HeaderValue::from_static("1"));
                return Ok(full);
            }
            Admit::Fell => {
                let what = format!("server {} was cold and got more than it could bear", self.number);
                lock(&world.checker).record_violation(Rule::PushedOver, now, what);
                self.down(false);
                return Err(broken());
            }
        }
        let held = Held { host: self.clone(), id: own };
        if done.await.is_err() {
            // The process ended under it.
            return Err(broken());
        }
        drop(held);
        if luck < wrong.resets {
            return Err(broken());
        }
        world.way(node, self.number, &self.links).await;
        out.served = true;
        Ok(answer(StatusCode::OK, format!("{id:016x} s-{}\n", self.number)))
    }
}

fn answer(status: StatusCode, body: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
}
