//! Emulated config servers on sockets: the model of [`crate::server`], with an address of its own for each
//! node.

use super::World;
use super::links::{AcceptMode, FaultyListener, Link, LinkStream, StreamEnd, lock, loopback_ip};
use crate::checker::Rule;
use crate::server::{Admission, Server, server_spec};
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

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// The active faults of a server.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerFaults {
    /// True if requests are never answered.
    pub silent: bool,
    /// Share of the requests that are answered with an error immediately.
    pub errors: f64,
    /// Share of the requests whose connection is reset after they ran.
    pub resets: f64,
    /// True if new connections are reset.
    pub full: bool,
    /// Age of the reported load, in milliseconds.
    pub report_late_ms: f64,
}

/// An emulated server.
pub struct ServerHost {
    number: usize,
    model: Mutex<Server>,
    wake: Notify,
    /// Senders that signal the completion of a request, by its id in the model.
    waiting: Mutex<HashMap<u64, oneshot::Sender<()>>>,
    next_id: AtomicU64,
    connections: AtomicUsize,
    faults: Mutex<ServerFaults>,
    /// Reported loads with their times, in milliseconds of the run.
    reports: Mutex<Vec<(f64, usize)>>,
    up: AtomicBool,
    /// Number of starts and ends of the process.
    starts: AtomicU64,
    links: Vec<Arc<Link>>,
    listeners: Mutex<Vec<FaultyListener>>,
}

/// An attempt in progress at a server. Dropping it records its end, whether it was answered or cancelled by
/// its node.
struct AttemptGuard<'a> {
    world: &'a World,
    id: u64,
    attempt: usize,
    never_ran: bool,
    served: bool,
}

impl Drop for AttemptGuard<'_> {
    fn drop(&mut self) {
        let now = self.world.now();
        let mut checker = lock(&self.world.checker);
        checker.attempt_ended(now, self.id, self.attempt, self.never_ran);
        if !self.served {
            checker.attempt_wasted();
        }
    }
}

/// Cancels a request in the model when the connection of its sender ends.
struct CancelGuard {
    host: Arc<ServerHost>,
    id: u64,
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        if lock(&self.host.waiting).remove(&self.id).is_some() {
            lock(&self.host.model).cancel(self.id);
            self.host.wake.notify_one();
        }
    }
}

impl ServerHost {
    /// Creates a server without addresses that is warm when the run begins.
    pub fn new(world: &World, number: usize) -> ServerHost {
        let spec = server_spec(&world.plan, number);
        ServerHost {
            number,
            model: Mutex::new(Server::new(spec, -1e12)),
            wake: Notify::new(),
            waiting: Mutex::default(),
            next_id: AtomicU64::new(0),
            connections: AtomicUsize::new(0),
            faults: Mutex::default(),
            reports: Mutex::default(),
            up: AtomicBool::new(true),
            starts: AtomicU64::new(0),
            links: world.plan.node_zones.iter().map(|_| Arc::default()).collect(),
            listeners: Mutex::default(),
        }
    }

    /// Opens one address for each node and starts processing.
    pub fn start(self: &Arc<Self>, world: &Arc<World>) -> io::Result<()> {
        for node in 0..self.links.len() {
            let (host, world) = (self.clone(), world.clone());
            let listener = FaultyListener::open(loopback_ip(self.number as u32), move |stream| {
                tokio::spawn(host.clone().handle_connection(world.clone(), node, stream));
            })?;
            lock(&self.listeners).push(listener);
        }
        tokio::spawn(self.clone().run_model(world.clone()));
        Ok(())
    }

    /// Returns the address at which a node reaches the server.
    pub fn address(&self, node: usize) -> Option<std::net::SocketAddr> {
        lock(&self.listeners).get(node).map(|g| g.address)
    }

    /// Returns true if the server's process is running.
    pub fn is_up(&self) -> bool {
        self.up.load(Ordering::SeqCst)
    }

    /// Returns a number that changes with every start and end of the process.
    pub fn starts(&self) -> u64 {
        self.starts.load(Ordering::SeqCst)
    }

    /// Returns the link to a node.
    pub fn link(&self, node: usize) -> Option<&Arc<Link>> {
        self.links.get(node)
    }

    /// Changes the active faults.
    pub fn set_faults(&self, change: impl FnOnce(&mut ServerFaults)) {
        change(&mut lock(&self.faults));
    }

    /// Changes the model.
    pub fn model(&self, change: impl FnOnce(&mut Server)) {
        change(&mut lock(&self.model));
        self.wake.notify_one();
    }

    /// Updates how new connections from a node are treated, depending on the link and the server.
    pub fn update_accept_mode(&self, node: usize, vanished: bool) {
        let passes = self.links.get(node).is_none_or(|l| l.link_state().outbound);
        let mode = match self.up.load(Ordering::SeqCst) {
            _ if !passes || vanished => AcceptMode::Silent,
            true => AcceptMode::Accept,
            false => AcceptMode::Refuse,
        };
        if let Some(listener) = lock(&self.listeners).get(node) {
            listener.set(mode);
        }
    }

    /// Ends the process. Its requests are lost; connections are reset or, if the machine has vanished, get
    /// no response.
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
            self.update_accept_mode(node, vanished);
        }
    }

    /// Starts the process, cold.
    pub fn start_cold(&self, now: f64) {
        lock(&self.model).restart(now);
        lock(&self.waiting).clear();
        self.up.store(true, Ordering::SeqCst);
        self.starts.fetch_add(1, Ordering::SeqCst);
        for (node, link) in self.links.iter().enumerate() {
            link.set(crate::plan::LinkState { outbound: true, inbound: true, ..link.link_state() });
            // Connections from before a machine vanished are reset when it returns.
            link.reset();
            self.update_accept_mode(node, false);
        }
    }

    /// Advances the model and signals completed requests.
    async fn run_model(self: Arc<Self>, world: Arc<World>) {
        loop {
            let mut done = Vec::new();
            let next = {
                let mut model = lock(&self.model);
                model.advance(world.now(), &mut done);
                model.next_event_ms()
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
                        () = world.sleep_until(at) => lock(&world.checker).record_lateness(world.now() - at),
                    }
                }
                None => self.wake.notified().await,
            }
        }
    }

    /// Serves a connection from a node.
    async fn handle_connection(self: Arc<Self>, world: Arc<World>, node: usize, stream: TcpStream) {
        let max_connections = world.plan.scenario.fleet.connections;
        if lock(&self.faults).full || self.connections.load(Ordering::SeqCst) >= max_connections {
            // Emulates a full connection table: the connection is established and reset immediately.
            let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            return;
        }
        self.connections.fetch_add(1, Ordering::SeqCst);
        lock(&world.checker).connection_opened(world.now());
        let handshake = world.plan.scenario.fleet.handshake_us / 1000.0;
        self.add_work(&world, handshake);
        let Some(link) = self.links.get(node).cloned() else { return };
        let service = service_fn(|request| {
            let (host, world) = (self.clone(), world.clone());
            async move { host.respond(&world, node, request).await }
        });
        let served = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(IDLE_TIMEOUT)
            .serve_connection(TokioIo::new(LinkStream::new(stream, link, StreamEnd::Party)), service);
        // An error means that the node closed the connection or a fault broke it.
        let _ = served.await;
        self.connections.fetch_sub(1, Ordering::SeqCst);
    }

    /// Adds work to the model whose completion nobody waits for.
    fn add_work(&self, world: &World, ms: f64) {
        if ms > 0.0 {
            let id = self.next_id.fetch_add(1, Ordering::Relaxed);
            let now = world.now();
            let mut model = lock(&self.model);
            // Requests completed by now are answered here; the worker is then woken for the next ones.
            let mut done = Vec::new();
            model.advance(now, &mut done);
            model.arrive(now, id, ms, None);
            drop(model);
            self.complete(done);
            self.wake.notify_one();
        }
    }

    /// Signals the completion of requests.
    fn complete(&self, done: Vec<u64>) {
        for id in done {
            if let Some(waiter) = lock(&self.waiting).remove(&id) {
                let _ = waiter.send(());
            }
        }
    }

    /// Returns the number of requests held, as the server reports it.
    fn report(&self, world: &World) -> usize {
        let now = world.now();
        let held = lock(&self.model).held();
        let period_ms = world.plan.scenario.fleet.report_ms;
        let late_ms = lock(&self.faults).report_late_ms;
        let mut reports = lock(&self.reports);
        if reports.last().is_none_or(|(at, _)| now - at >= period_ms) {
            reports.push((now, held));
        }
        let old = reports.iter().rposition(|(at, _)| now - at >= late_ms).unwrap_or(0);
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
            self.add_work(world, world.plan.scenario.fleet.probe_us / 1000.0);
            if lock(&self.faults).silent {
                std::future::pending::<()>().await;
            }
            world.network_delay(node, self.number, &self.links).await;
            world.network_delay(node, self.number, &self.links).await;
            return Ok(text_response(StatusCode::OK, format!("TEXT inflight={}", self.report(world))));
        }
        let id = text("x-trace-id").and_then(|t| u64::from_str_radix(&t, 16).ok());
        let repeat_key = text("idempotency-key");
        // A node that aborts the request body sends no complete request.
        if request.into_body().collect().await.is_err() {
            return Err(broken());
        }
        world.network_delay(node, self.number, &self.links).await;
        let sent_try = id.and_then(|id| world.sent_try(id).map(|a| (id, a)));
        let now = world.now();
        let known =
            lock(&world.checker).attempt_delivered(now, begun, id.unwrap_or_default(), node, self.number);
        let (Some(attempt), Some((id, arrival))) = (known, sent_try) else {
            return Ok(text_response(StatusCode::BAD_REQUEST, "nobody sent this".to_owned()));
        };
        let mut guard = AttemptGuard { world, id, attempt, never_ran: false, served: false };
        let faults = *lock(&self.faults);
        // The same request gets the same random outcome at the same server.
        let seeded_fraction = world.seeded_fraction(id ^ (self.number as u64) << 48);
        if faults.silent {
            std::future::pending::<()>().await;
        }
        if arrival.invalid {
            world.network_delay(node, self.number, &self.links).await;
            return Ok(text_response(StatusCode::BAD_REQUEST, "no such class".to_owned()));
        }
        if seeded_fraction < faults.errors {
            world.network_delay(node, self.number, &self.links).await;
            return Ok(text_response(StatusCode::INTERNAL_SERVER_ERROR, "error".to_owned()));
        }
        let zone = world.plan.machines[self.number].zone;
        let is_dropped = repeat_key.is_some_and(|key| world.is_repeat(zone, &key, arrival.class, now));
        let work_ms = if is_dropped { 0.1 } else { arrival.work_ms };
        let request_id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let (notify, done) = oneshot::channel();
        let mut completed = Vec::new();
        let admitted = {
            let mut model = lock(&self.model);
            model.advance(now, &mut completed);
            let admitted = model.arrive(now, request_id, work_ms, Some(arrival.key));
            if admitted == Admission::Accepted {
                lock(&self.waiting).insert(request_id, notify);
            }
            admitted
        };
        self.complete(completed);
        self.wake.notify_one();
        match admitted {
            Admission::Accepted => {}
            Admission::Rejected => {
                world.network_delay(node, self.number, &self.links).await;
                guard.never_ran = true;
                let mut full = text_response(StatusCode::SERVICE_UNAVAILABLE, "full".to_owned());
                full.headers_mut().insert("x-never-ran", HeaderValue::from_static("1"));
                return Ok(full);
            }
            Admission::FellOver => {
                let what = format!("server {} was cold and received too much work", self.number);
                lock(&world.checker).record_violation(Rule::PushedOver, now, what);
                self.down(false);
                return Err(broken());
            }
        }
        let cancel_guard = CancelGuard { host: self.clone(), id: request_id };
        if done.await.is_err() {
            // The process ended while the request was in progress.
            return Err(broken());
        }
        drop(cancel_guard);
        if seeded_fraction < faults.resets {
            return Err(broken());
        }
        world.network_delay(node, self.number, &self.links).await;
        guard.served = true;
        Ok(text_response(StatusCode::OK, format!("{id:016x} s-{}\n", self.number)))
    }
}

fn text_response(status: StatusCode, body: String) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body)));
    *response.status_mut() = status;
    response
}
