//! Clients: open loop, by class and tenant, with retries of their own, behind a front that deals them out.

use super::World;
use super::links::{End, Gated, Link, lock};
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

/// How often the front asks a node whether it takes clients.
const ASK_EVERY: Duration = Duration::from_millis(100);
/// New connections stop so long after a no.
const STOP_AFTER: Duration = Duration::from_millis(200);
/// What a client says that sends slowly, at once, and how often.
const DRIP: usize = 48;
const DRIP_EVERY: Duration = Duration::from_millis(20);
/// Head and body of a request come to about so many bytes.
const REQUEST_BYTES: usize = 400;
/// A try with less time than this is not made, in milliseconds.
const LEAST_MS: f64 = 5.0;
/// A node that has started is asked for its first answer for so long.
const FIRST_WITHIN: Duration = Duration::from_secs(10);

/// A stream that may be slow to write.
struct Paced {
    stream: Gated,
    slow: bool,
    pause: Option<Pin<Box<tokio::time::Sleep>>>,
}

impl AsyncRead for Paced {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Paced {
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
        let some = buf.get(..DRIP).unwrap_or(buf);
        let written = ready!(Pin::new(&mut self.stream).poll_write(cx, some))?;
        self.pause = Some(Box::pin(tokio::time::sleep(DRIP_EVERY)));
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

type Conn = SendRequest<Full<Bytes>>;

/// What the front and the clients of one zone have of one node.
pub struct Way {
    /// The link between them.
    pub link: Arc<Link>,
    idle: Mutex<Vec<Conn>>,
}

/// The front, and the connections of all clients.
pub struct Clients {
    /// By zone and node.
    pub ways: Vec<Vec<Way>>,
    ready: Vec<AtomicBool>,
    turn: AtomicUsize,
    /// Connections that clients keep to servers, where no node is between them: by the node that they pass by.
    direct: Mutex<HashMap<(usize, usize), Vec<Conn>>>,
}

impl Clients {
    /// Of so many zones and nodes.
    pub fn new(zones: usize, nodes: usize) -> Clients {
        let way = |_| Way { link: Arc::default(), idle: Mutex::default() };
        Clients {
            ways: (0..zones).map(|_| (0..nodes).map(way).collect()).collect(),
            ready: (0..nodes).map(|_| AtomicBool::new(false)).collect(),
            turn: AtomicUsize::new(0),
            direct: Mutex::default(),
        }
    }

    /// Whether the front sends clients to a node.
    pub fn ready(&self, node: usize) -> bool {
        self.ready.get(node).is_some_and(|r| r.load(Ordering::SeqCst))
    }

    /// Asks a node for as long as the day lasts.
    pub async fn watch(world: Arc<World>, node: usize) {
        let clients = &world.clients;
        let front_s = world.plan.scenario.net.front_s;
        let zone = world.plan.node_zones.get(node).copied().unwrap_or(0);
        let Some(ready) = clients.ready.get(node) else { return };
        let mut bad_since: Option<tokio::time::Instant> = None;
        let mut conn: Option<Conn> = None;
        loop {
            let ask = async {
                let mut open = match conn.take().filter(Conn::is_ready) {
                    Some(conn) => conn,
                    None => clients.open(&world, zone, node, false).await?,
                };
                let request = Request::get("/up").header("host", "front").body(Full::default()).ok()?;
                let response = open.send_request(request).await.ok()?;
                let status = response.status();
                response.into_body().collect().await.ok()?;
                Some((open, status))
            };
            let answer = tokio::time::timeout(Duration::from_millis(500), ask).await.ok().flatten();
            match answer {
                Some((open, status)) if status == StatusCode::OK => {
                    conn = Some(open);
                    bad_since = None;
                    ready.store(true, Ordering::SeqCst);
                }
                Some((open, _)) => {
                    conn = Some(open);
                    let since = *bad_since.get_or_insert_with(tokio::time::Instant::now);
                    if since.elapsed() >= STOP_AFTER {
                        ready.store(false, Ordering::SeqCst);
                    }
                }
                None => {
                    let since = *bad_since.get_or_insert_with(tokio::time::Instant::now);
                    if since.elapsed().as_secs_f64() >= front_s {
                        ready.store(false, Ordering::SeqCst);
                    }
                }
            }
            tokio::time::sleep(ASK_EVERY).await;
        }
    }

    /// A node for a client of a zone: one of the zone where there is one, else any.
    fn pick(&self, world: &World, zone: usize) -> Option<usize> {
        let of = |own: bool| {
            let fits = |n: &usize| self.ready(*n) && (!own || world.plan.node_zones[*n] == zone);
            (0..self.ready.len()).filter(fits).collect::<Vec<usize>>()
        };
        let mut nodes = of(true);
        if nodes.is_empty() {
            nodes = of(false);
        }
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        nodes.get(turn % nodes.len().max(1)).copied()
    }

    async fn open(&self, world: &World, zone: usize, node: usize, slow: bool) -> Option<Conn> {
        let way = self.ways.get(zone)?.get(node)?;
        // What does not pass does not come up.
        while !way.link.link_state().inbound || !way.link.link_state().outbound {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let stream = TcpStream::connect(world.nodes.get(node)?.listen).await.ok()?;
        let stream = Gated::new(stream, way.link.clone(), End::Client);
        let (sender, connection) =
            handshake(TokioIo::new(Paced { stream, slow, pause: None })).await.ok()?;
        tokio::spawn(async move {
            // Its end is seen by whoever sends.
            let _ = connection.await;
        });
        Some(sender)
    }

    /// The server that holds least for its speed, as only the lab knows: the client goes there by itself.
    async fn open_direct(world: &World, node: usize, server: usize) -> Option<Conn> {
        let stream = TcpStream::connect(world.host(server)?.address(node)?).await.ok()?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(async move {
            // Its end is seen by whoever sends.
            let _ = connection.await;
        });
        Some(sender)
    }

    fn kept(&self, zone: usize, node: usize, server: Option<usize>) -> Option<Conn> {
        if let Some(server) = server {
            let mut direct = lock(&self.direct);
            let idle = direct.get_mut(&(node, server))?;
            return std::iter::from_fn(|| idle.pop()).find(|c| c.is_ready() && !c.is_closed());
        }
        let mut idle = lock(&self.ways.get(zone)?.get(node)?.idle);
        while let Some(conn) = idle.pop() {
            if conn.is_ready() && !conn.is_closed() {
                return Some(conn);
            }
        }
        None
    }

    fn keep(&self, zone: usize, node: usize, server: Option<usize>, conn: Conn) {
        if let Some(server) = server {
            lock(&self.direct).entry((node, server)).or_default().push(conn);
        } else if let Some(way) = self.ways.get(zone).and_then(|w| w.get(node))
            && !conn.is_closed()
        {
            lock(&way.idle).push(conn);
        }
    }

    /// One client with its tries.
    pub async fn come(world: Arc<World>, arrival: Arrival) {
        lock(&world.checker).client_arrived(&arrival);
        let s = &world.plan.scenario;
        let Some(class) = s.class.get(arrival.class) else { return };
        let end = arrival.at_ms + class.deadline_ms;
        for number in 0..=s.load.retries {
            let left = end - world.now();
            if left < LEAST_MS {
                return;
            }
            let share = if number < s.load.retries { s.load.try_share } else { 1.0 };
            let wait = left.min(class.deadline_ms * share);
            let retry_after = match world.clients.pick(&world, arrival.zone) {
                None => None,
                Some(node) => {
                    let tried = Try { world: &world, arrival: &arrival, number, node, wait };
                    match tried.make().await {
                        _ if arrival.invalid => return,
                        Tried::Served => return,
                        Tried::Refused(after) => after,
                        Tried::Else => None,
                    }
                }
            };
            let pause = match (retry_after.filter(|_| arrival.honours_retry_after), s.load.backoff) {
                (_, Backoff::None) => return,
                (Some(ms), _) => ms,
                (None, Backoff::AtOnce) => 0.0,
                (None, Backoff::Fixed) => s.load.backoff_ms,
                (None, Backoff::Exp) => s.load.backoff_ms * 2f64.powi(number as i32),
            };
            if world.now() + pause > end - LEAST_MS {
                return;
            }
            tokio::time::sleep(Duration::from_secs_f64(pause.max(0.0) / 1000.0)).await;
        }
    }
}

impl Clients {
    /// Opens connections to a node that carry nothing beyond one question, for as long as the day lasts.
    pub async fn idle(world: Arc<World>, node: usize) {
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

    /// Asks a node that has just been started, again and again, until it has served: how long that took.
    pub async fn first_answer(world: Arc<World>, node: usize, started: std::time::Instant) {
        let Some(template) = world.plan.arrivals().find(|a| {
            !a.invalid && world.plan.scenario.class.get(a.class).is_some_and(|c| c.repeat == Repeat::Safe)
        }) else {
            return;
        };
        let zone = world.plan.node_zones.get(node).copied().unwrap_or(0);
        static ASKED: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(1 << 40);
        while started.elapsed() < FIRST_WITHIN && !world.ending() {
            let number = ASKED.fetch_add(1, Ordering::Relaxed);
            let arrival =
                Arrival { number, at_ms: world.now(), zone, work_ms: 1.0, slow: false, ..template };
            let listens = world.nodes.get(node).map(|n| n.listen);
            let up = match listens {
                Some(at) => TcpStream::connect(at).await.is_ok(),
                None => false,
            };
            if up {
                let tried = Try { world: &world, arrival: &arrival, number: 0, node, wait: 500.0 };
                if matches!(tried.make().await, Tried::Served) {
                    let took = started.elapsed().as_secs_f64() * 1000.0;
                    lock(&world.checker).record_first_answer(node, took);
                    return;
                }
            }
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    }
}

/// What a client makes of a try.
enum Tried {
    Served,
    Refused(Option<f64>),
    Else,
}

/// One request of a client.
struct Try<'a> {
    world: &'a Arc<World>,
    arrival: &'a Arrival,
    number: u32,
    node: usize,
    wait: f64,
}

impl Try<'_> {
    fn request(&self, id: u64) -> Option<Request<Full<Bytes>>> {
        let (s, a) = (&self.world.plan.scenario, self.arrival);
        let class = s.class.get(a.class)?;
        let mut head = Request::builder()
            .uri("/api")
            .header("host", "api.internal")
            .header("x-trace-id", format!("{id:016x}"))
            .header("x-qos", if a.invalid { format!("{}-old", class.name) } else { class.name.clone() })
            .header("x-customer", &s.tenant.get(a.tenant)?.name)
            .header("x-object", format!("k{:06x}", a.key))
            .header("x-expires-in-ms", format!("{:.0}", self.wait.floor()));
        if let Some(hint) = a.hint_ms {
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

    async fn make(&self) -> Tried {
        let (world, node) = (self.world, self.node);
        let id = world.try_id(self.arrival, self.number);
        let slow_ms = if self.arrival.slow {
            (REQUEST_BYTES / DRIP) as f64 * DRIP_EVERY.as_secs_f64() * 1000.0
        } else {
            0.0
        };
        world.send(id, self.arrival);
        let sent = world.now();
        let (answer, retry_after) = self.exchange(id, slow_ms).await;
        let excused = world.nodes.get(node).is_some_and(|n| {
            // Nobody stands between a client and a server that could owe it an answer.
            world.direct
                || n.excused.load(Ordering::SeqCst)
                || sent <= n.woke_ms.load(Ordering::SeqCst) as f64
        });
        let link_state = world.clients.ways[self.arrival.zone][node].link.link_state();
        let cut = excused || !link_state.outbound || !link_state.inbound || world.ending();
        let answer = match answer {
            Answer::Lost | Answer::Silence if cut => Answer::Cut,
            answer => answer,
        };
        let now = world.now();
        let mut checker = lock(&world.checker);
        checker.try_answered(now, id, answer);
        match answer {
            Answer::Served { genuine: true } => {
                checker.client_served(now, self.arrival.number);
                Tried::Served
            }
            Answer::Refused { .. } => Tried::Refused(retry_after),
            _ => Tried::Else,
        }
    }

    /// The node closed a connection under it, and was not made to by the lab.
    fn closed(&self) {
        let node = self.world.nodes.get(self.node);
        if !self.world.ending() && !node.is_some_and(|n| n.excused.load(Ordering::SeqCst)) {
            lock(&self.world.checker).connection_closed();
        }
    }

    /// Sends it and waits, on a kept connection if there is one; a kept one may be closed as it is sent, and then
    /// it goes once more on a new one.
    async fn exchange(&self, id: u64, slow_ms: f64) -> (Answer, Option<f64>) {
        let (world, node, zone) = (self.world, self.node, self.arrival.zone);
        let limit = Duration::from_secs_f64((self.wait + slow_ms + ANSWER_SLACK_MS) / 1000.0);
        let end = tokio::time::Instant::now() + limit;
        let server = if world.direct { world.least_loaded() } else { None };
        let mut kept = if self.arrival.slow { None } else { world.clients.kept(zone, node, server) };
        loop {
            let fresh = kept.is_none();
            let mut conn = match kept.take() {
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
            lock(&world.checker).try_sent(world.now() + slow_ms, id, self.arrival, node, self.wait);
            let exchange = async {
                let response = conn.send_request(request).await?;
                let (head, body) = response.into_parts();
                let body = body.collect().await?.to_bytes();
                Ok::<_, hyper::Error>(Response::from_parts(head, body))
            };
            match tokio::time::timeout_at(end, exchange).await {
                Err(_) => return (Answer::Silence, None),
                Ok(Err(e)) if !fresh && (e.is_canceled() || e.is_incomplete_message() || e.is_closed()) => {
                    self.closed();
                }
                // A new connection that is closed before anything came for its first request: failed, not lost,
                // while such are few.
                Ok(Err(e)) if e.is_canceled() || e.is_incomplete_message() => {
                    self.closed();
                    return (Answer::Failed, None);
                }
                Ok(Err(_)) => return (Answer::Lost, None),
                Ok(Ok(response)) => {
                    if !self.arrival.slow {
                        world.clients.keep(zone, node, server, conn);
                    }
                    return match read(&response, id) {
                        // No node is there that could say when to come back.
                        (Answer::Refused { .. }, _) if world.direct => (Answer::Failed, None),
                        read => read,
                    };
                }
            }
        }
    }
}

fn read(response: &Response<Bytes>, id: u64) -> (Answer, Option<f64>) {
    let after = response.headers().get(RETRY_AFTER).and_then(|v| v.to_str().ok());
    let after = after.and_then(|t| t.parse::<f64>().ok()).map(|s| s * 1000.0);
    let answer = match response.status() {
        StatusCode::OK => {
            Answer::Served { genuine: response.body().starts_with(format!("{id:016x} ").as_bytes()) }
        }
        StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
            Answer::Refused { has_retry_after: after.is_some() }
        }
        _ => Answer::Failed,
    };
    (answer, after)
}
