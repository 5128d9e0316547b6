//! Emulated clients by class and tenant, in an open loop and with retries, behind a front end that
//! distributes them over the nodes.

use super::World;
use super::links::{Link, LinkStream, StreamEnd, lock};
use crate::checker::{ANSWER_SLACK_MS, Answer};
use crate::plan::Arrival;
use crate::scenario::{Backoff, Repeat};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::header::RETRY_AFTER;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::collections::HashMap;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Interval of the front end's health checks.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time after the first failed health check at which the front end sends no more clients.
const UNHEALTHY_AFTER: Duration = Duration::from_millis(200);
/// Size of the pieces in which a slow client sends, in bytes.
const SLOW_CHUNK_BYTES: usize = 48;
/// Interval between these pieces.
const SLOW_CHUNK_INTERVAL: Duration = Duration::from_millis(20);
/// Approximate size of a request with head and body, in bytes.
const REQUEST_BYTES: usize = 400;
/// Minimum time left for which a client starts a try, in milliseconds.
const MIN_TRY_MS: f64 = 5.0;
/// Time for which a restarted node is polled for its first answer.
const FIRST_ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// A stream that may write slowly.
struct PacedStream {
    stream: LinkStream,
    slow: bool,
    pause: Option<Pin<Box<tokio::time::Sleep>>>,
}

impl AsyncRead for PacedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for PacedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        if !self.slow {
            return Pin::new(&mut self.stream).poll_write(cx, buf);
        }
        if let Some(pause) = &mut self.pause {
            ready!(pause.as_mut().poll(cx));
            self.pause = None;
        }
        let some = buf.get(..SLOW_CHUNK_BYTES).unwrap_or(buf);
        let written = ready!(Pin::new(&mut self.stream).poll_write(cx, some))?;
        self.pause = Some(Box::pin(tokio::time::sleep(SLOW_CHUNK_INTERVAL)));
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

type Connection = SendRequest<Full<Bytes>>;

/// The path from the front end and the clients of one zone to one node.
pub struct ClientPath {
    /// The link between them.
    pub link: Arc<Link>,
    idle: Mutex<Vec<Connection>>,
}

/// The front end and the connections of all clients.
pub struct Clients {
    /// Paths by zone and node.
    pub paths: Vec<Vec<ClientPath>>,
    ready: Vec<AtomicBool>,
    /// Counter for the choice among the ready nodes in turn.
    next_node: AtomicUsize,
    /// Idle connections from clients directly to servers, by the node that they bypass and the server.
    direct: Mutex<HashMap<(usize, usize), Vec<Connection>>>,
}

impl Clients {
    /// Creates the front end for a number of zones and nodes.
    pub fn new(zones: usize, nodes: usize) -> Clients {
        let path = |_| ClientPath { link: Arc::default(), idle: Mutex::default() };
        Clients {
            paths: (0..zones).map(|_| (0..nodes).map(path).collect()).collect(),
            ready: (0..nodes).map(|_| AtomicBool::new(false)).collect(),
            next_node: AtomicUsize::new(0),
            direct: Mutex::default(),
        }
    }

    /// Returns true if the front end sends clients to a node.
    pub fn is_ready(&self, node: usize) -> bool {
        self.ready.get(node).is_some_and(|r| r.load(Ordering::SeqCst))
    }

    /// Checks the health of a node until the end of the run.
    pub async fn check_health(world: Arc<World>, node: usize) {
        let clients = &world.clients;
        let front_s = world.plan.scenario.net.front_s;
        let zone = world.plan.node_zones.get(node).copied().unwrap_or(0);
        let Some(ready) = clients.ready.get(node) else { return };
        let mut unhealthy_since: Option<tokio::time::Instant> = None;
        let mut conn: Option<Connection> = None;
        loop {
            let check = async {
                let mut open = match conn.take().filter(Connection::is_ready) {
                    Some(conn) => conn,
                    None => clients.open(&world, zone, node, false).await?,
                };
                let request = Request::get("/up").header("host", "front").body(Full::default()).ok()?;
                let response = open.send_request(request).await.ok()?;
                let status = response.status();
                response.into_body().collect().await.ok()?;
                Some((open, status))
            };
            let answer = tokio::time::timeout(Duration::from_millis(500), check).await.ok().flatten();
            match answer {
                Some((open, status)) if status == StatusCode::OK => {
                    conn = Some(open);
                    unhealthy_since = None;
                    ready.store(true, Ordering::SeqCst);
                }
                Some((open, _)) => {
                    conn = Some(open);
                    let since = *unhealthy_since.get_or_insert_with(tokio::time::Instant::now);
                    if since.elapsed() >= UNHEALTHY_AFTER {
                        ready.store(false, Ordering::SeqCst);
                    }
                }
                None => {
                    let since = *unhealthy_since.get_or_insert_with(tokio::time::Instant::now);
                    if since.elapsed().as_secs_f64() >= front_s {
                        ready.store(false, Ordering::SeqCst);
                    }
                }
            }
            tokio::time::sleep(HEALTH_CHECK_INTERVAL).await;
        }
    }

    /// Chooses a node for a client: one in the client's zone if any is ready, otherwise any.
    fn choose_node(&self, world: &World, zone: usize) -> Option<usize> {
        let ready_nodes = |same_zone: bool| {
            let fits = |n: &usize| self.is_ready(*n) && (!same_zone || world.plan.node_zones[*n] == zone);
            (0..self.ready.len()).filter(fits).collect::<Vec<usize>>()
        };
        let mut nodes = ready_nodes(true);
        if nodes.is_empty() {
            nodes = ready_nodes(false);
        }
        let turn = self.next_node.fetch_add(1, Ordering::Relaxed);
        nodes.get(turn % nodes.len().max(1)).copied()
    }

    /// Opens a connection from a client to a node.
    async fn open(&self, world: &World, zone: usize, node: usize, slow: bool) -> Option<Connection> {
        let path = self.paths.get(zone)?.get(node)?;
        // A connection over a cut link is not established.
        while !path.link.link_state().inbound || !path.link.link_state().outbound {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let stream = TcpStream::connect(world.nodes.get(node)?.listen).await.ok()?;
        let stream = LinkStream::new(stream, path.link.clone(), StreamEnd::Client);
        let (sender, connection) =
            handshake(TokioIo::new(PacedStream { stream, slow, pause: None })).await.ok()?;
        tokio::spawn(async move {
            // The sender sees the end of the connection.
            let _ = connection.await;
        });
        Some(sender)
    }

    /// Opens a connection from a client directly to a server, without a node in between.
    async fn open_direct(world: &World, node: usize, server: usize) -> Option<Connection> {
        let stream = TcpStream::connect(world.host(server)?.address(node)?).await.ok()?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(async move {
            // The sender sees the end of the connection.
            let _ = connection.await;
        });
        Some(sender)
    }

    /// Takes an idle connection to a node, or to a server directly.
    fn take_idle(&self, zone: usize, node: usize, server: Option<usize>) -> Option<Connection> {
        if let Some(server) = server {
            let mut direct = lock(&self.direct);
            let idle = direct.get_mut(&(node, server))?;
            return std::iter::from_fn(|| idle.pop()).find(|c| c.is_ready() && !c.is_closed());
        }
        let mut idle = lock(&self.paths.get(zone)?.get(node)?.idle);
        while let Some(conn) = idle.pop() {
            if conn.is_ready() && !conn.is_closed() {
                return Some(conn);
            }
        }
        None
    }

    /// Keeps a connection for later use.
    fn return_idle(&self, zone: usize, node: usize, server: Option<usize>, conn: Connection) {
        if let Some(server) = server {
            lock(&self.direct).entry((node, server)).or_default().push(conn);
        } else if let Some(path) = self.paths.get(zone).and_then(|w| w.get(node))
            && !conn.is_closed()
        {
            lock(&path.idle).push(conn);
        }
    }

    /// Runs one client with all its tries.
    pub async fn run_client(world: Arc<World>, arrival: Arrival) {
        lock(&world.checker).client_arrived(&arrival);
        let scenario = &world.plan.scenario;
        let Some(class) = scenario.class.get(arrival.class) else { return };
        let end_ms = arrival.at_ms + class.deadline_ms;
        for number in 0..=scenario.load.retries {
            let left_ms = end_ms - world.now();
            if left_ms < MIN_TRY_MS {
                return;
            }
            let wait_share = if number < scenario.load.retries { scenario.load.try_share } else { 1.0 };
            let wait_ms = left_ms.min(class.deadline_ms * wait_share);
            let retry_after = match world.clients.choose_node(&world, arrival.zone) {
                None => None,
                Some(node) => {
                    let client_try = Try { world: &world, arrival: &arrival, number, node, wait_ms };
                    match client_try.run().await {
                        _ if arrival.invalid => return,
                        TryResult::Served => return,
                        TryResult::Refused(after) => after,
                        TryResult::Failed => None,
                    }
                }
            };
            let pause_ms =
                match (retry_after.filter(|_| arrival.honours_retry_after), scenario.load.backoff) {
                    (_, Backoff::None) => return,
                    (Some(ms), _) => ms,
                    (None, Backoff::AtOnce) => 0.0,
                    (None, Backoff::Fixed) => scenario.load.backoff_ms,
                    (None, Backoff::Exp) => scenario.load.backoff_ms * 2f64.powi(number as i32),
                };
            if world.now() + pause_ms > end_ms - MIN_TRY_MS {
                return;
            }
            tokio::time::sleep(Duration::from_secs_f64(pause_ms.max(0.0) / 1000.0)).await;
        }
    }
}

impl Clients {
    /// Opens connections to a node that stay idle after one health check, until the end of the run.
    pub async fn hold_idle_connections(world: Arc<World>, node: usize) {
        let zone = world.plan.node_zones.get(node).copied().unwrap_or(0);
        let mut open = Vec::new();
        for _ in 0..world.plan.scenario.load.idle {
            let Some(mut conn) = world.clients.open(&world, zone, node, false).await else { continue };
            if let Ok(request) = Request::get("/up").header("host", "front").body(Full::default())
                && let Ok(response) = conn.send_request(request).await
            {
                let _ = response.into_body().collect().await;
            }
            open.push(conn);
        }
        std::future::pending::<()>().await;
    }

    /// Polls a restarted node until it serves a request, and records the time that this took.
    pub async fn await_first_answer(world: Arc<World>, node: usize, started: std::time::Instant) {
        let Some(template) = world.plan.arrivals().find(|a| {
            !a.invalid && world.plan.scenario.class.get(a.class).is_some_and(|c| c.repeat == Repeat::Safe)
        }) else {
            return;
        };
        let zone = world.plan.node_zones.get(node).copied().unwrap_or(0);
        static NEXT_NUMBER: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(1 << 40);
        while started.elapsed() < FIRST_ANSWER_TIMEOUT && !world.is_ending() {
            let number = NEXT_NUMBER.fetch_add(1, Ordering::Relaxed);
            let arrival =
                Arrival { number, at_ms: world.now(), zone, work_ms: 1.0, slow: false, ..template };
            let listens = world.nodes.get(node).map(|n| n.listen);
            let up = match listens {
                Some(at) => TcpStream::connect(at).await.is_ok(),
                None => false,
            };
            if up {
                let client_try = Try { world: &world, arrival: &arrival, number: 0, node, wait_ms: 500.0 };
                if matches!(client_try.run().await, TryResult::Served) {
                    let took = started.elapsed().as_secs_f64() * 1000.0;
                    lock(&world.checker).record_first_answer(node, took);
                    return;
                }
            }
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }
}

/// The result of a try, for the client.
enum TryResult {
    Served,
    Refused(Option<f64>),
    Failed,
}

/// One try of a client.
struct Try<'a> {
    world: &'a Arc<World>,
    arrival: &'a Arrival,
    number: u32,
    node: usize,
    wait_ms: f64,
}

impl Try<'_> {
    /// Builds the HTTP request.
    fn request(&self, id: u64) -> Option<Request<Full<Bytes>>> {
        let (scenario, arrival) = (&self.world.plan.scenario, self.arrival);
        let class = scenario.class.get(arrival.class)?;
        let mut head = Request::builder()
            .uri("/api")
            .header("host", "api.internal")
            .header("x-trace-id", format!("{id:016x}"))
            .header(
                "x-qos",
                if arrival.invalid { format!("{}-old", class.name) } else { class.name.clone() },
            )
            .header("x-customer", &scenario.tenant.get(arrival.tenant)?.name)
            .header("x-object", format!("k{:06x}", arrival.key))
            .header("x-expires-in-ms", format!("{:.0}", self.wait_ms.floor()));
        if let Some(hint) = arrival.hint_ms {
            head = head.header("x-size-hint", format!("{:.0}", hint * 1000.0));
        }
        let body = match class.repeat {
            Repeat::Safe => Bytes::new(),
            Repeat::Once | Repeat::Keyed => Bytes::from_static(b"{\"window\":\"1200x1400\",\"glass\":3}"),
        };
        head = match class.repeat {
            Repeat::Safe => head.method("GET"),
            Repeat::Once => head.method("POST"),
            Repeat::Keyed => head.method("POST").header("idempotency-key", format!("{id:032x}")),
        };
        head.body(Full::new(body)).ok()
    }

    /// Sends the request, and reports the answer to the checker.
    async fn run(&self) -> TryResult {
        let (world, node) = (self.world, self.node);
        let id = world.try_id(self.arrival, self.number);
        let slow_ms = if self.arrival.slow {
            (REQUEST_BYTES / SLOW_CHUNK_BYTES) as f64 * SLOW_CHUNK_INTERVAL.as_secs_f64() * 1000.0
        } else {
            0.0
        };
        world.register_try(id, self.arrival);
        let sent_ms = world.now();
        let (answer, retry_after) = self.exchange(id, slow_ms).await;
        let losses_excused = world.nodes.get(node).is_some_and(|n| {
            // Without a node between client and server, no node can break a rule.
            world.direct
                || n.losses_excused.load(Ordering::SeqCst)
                || sent_ms <= n.resumed_ms.load(Ordering::SeqCst) as f64
        });
        let link_state = world.clients.paths[self.arrival.zone][node].link.link_state();
        let loss_expected =
            losses_excused || !link_state.outbound || !link_state.inbound || world.is_ending();
        let answer = match answer {
            Answer::Lost | Answer::Silence if loss_expected => Answer::Cut,
            answer => answer,
        };
        let now = world.now();
        let mut checker = lock(&world.checker);
        checker.try_answered(now, id, answer);
        match answer {
            Answer::Served { genuine: true } => {
                checker.client_served(now, self.arrival.number);
                TryResult::Served
            }
            Answer::Refused { .. } => TryResult::Refused(retry_after),
            _ => TryResult::Failed,
        }
    }

    /// Counts a connection that the node closed and that was not broken by the lab.
    fn count_closed(&self) {
        let node = self.world.nodes.get(self.node);
        if !self.world.is_ending() && !node.is_some_and(|n| n.losses_excused.load(Ordering::SeqCst)) {
            lock(&self.world.checker).connection_closed();
        }
    }

    /// Sends the request and waits for the answer. If an idle connection is closed while the request is
    /// sent, the request is sent again on a new one.
    async fn exchange(&self, id: u64, slow_ms: f64) -> (Answer, Option<f64>) {
        let (world, node, zone) = (self.world, self.node, self.arrival.zone);
        let limit = Duration::from_secs_f64((self.wait_ms + slow_ms + ANSWER_SLACK_MS) / 1000.0);
        let end = tokio::time::Instant::now() + limit;
        let server = if world.direct { world.least_loaded() } else { None };
        let mut idle_connection =
            if self.arrival.slow { None } else { world.clients.take_idle(zone, node, server) };
        loop {
            let fresh = idle_connection.is_none();
            let mut conn = match idle_connection.take() {
                Some(conn) => conn,
                None => {
                    let open = async {
                        match server {
                            Some(server) => Clients::open_direct(world, node, server).await,
                            None => world.clients.open(world, zone, node, self.arrival.slow).await,
                        }
                    };
                    match tokio::time::timeout_at(end, open).await {
                        Ok(Some(conn)) => conn,
                        _ => return (Answer::Nowhere, None),
                    }
                }
            };
            let Some(request) = self.request(id) else { return (Answer::Nowhere, None) };
            lock(&world.checker).try_sent(world.now() + slow_ms, id, self.arrival, node, self.wait_ms);
            let exchange = async {
                let response = conn.send_request(request).await?;
                let (head, body) = response.into_parts();
                let body = body.collect().await?.to_bytes();
                Ok::<_, hyper::Error>(Response::from_parts(head, body))
            };
            match tokio::time::timeout_at(end, exchange).await {
                Err(_) => return (Answer::Silence, None),
                Ok(Err(e)) if !fresh && (e.is_canceled() || e.is_incomplete_message() || e.is_closed()) => {
                    self.count_closed();
                }
                // A new connection that closes before anything arrives for its first request counts as
                // failed, not as lost: a few such cases are allowed.
                Ok(Err(e)) if e.is_canceled() || e.is_incomplete_message() => {
                    self.count_closed();
                    return (Answer::Failed, None);
                }
                Ok(Err(_)) => return (Answer::Lost, None),
                Ok(Ok(response)) => {
                    if !self.arrival.slow {
                        world.clients.return_idle(zone, node, server, conn);
                    }
                    return match parse_response(&response, id) {
                        // No node is involved that could send Retry-After.
                        (Answer::Refused { .. }, _) if world.direct => (Answer::Failed, None),
                        read => read,
                    };
                }
            }
        }
    }
}

/// Classifies a response. Returns the delay of Retry-After as well, in milliseconds.
fn parse_response(response: &Response<Bytes>, id: u64) -> (Answer, Option<f64>) {
    let retry_after = response.headers().get(RETRY_AFTER).and_then(|v| v.to_str().ok());
    let retry_after_ms = retry_after.and_then(|t| t.parse::<f64>().ok()).map(|s| s * 1000.0);
    let answer = match response.status() {
        StatusCode::OK => {
            Answer::Served { genuine: response.body().starts_with(format!("{id:016x} ").as_bytes()) }
        }
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            Answer::Refused { has_retry_after: retry_after_ms.is_some() }
        }
        _ => Answer::Failed,
    };
    (answer, retry_after_ms)
}
