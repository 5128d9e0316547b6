//! Baselines to compare the node with: simple balancers that speak the same protocols. They follow
//! discovery and forward requests, without failure detection, retries or load shedding.

use bytes::Bytes;
use daleturn::platform::Config;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};

/// Delay after a failed call to discovery.
const RETRY_DELAY: Duration = Duration::from_millis(200);
/// Connect timeout.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// How a server is chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pick {
    /// Always the same server.
    Pass,
    /// A random server.
    Random,
    /// The servers in turn.
    RoundRobin,
    /// Of two random servers, the one with fewer requests of this process in flight.
    Least,
    /// None: clients know the load of all servers and connect to them directly. The process only answers
    /// health checks.
    Direct,
}

impl Pick {
    /// All choices with their names.
    pub const ALL: [(&'static str, Pick); 5] = [
        ("direct", Pick::Direct),
        ("pass", Pick::Pass),
        ("random", Pick::Random),
        ("round-robin", Pick::RoundRobin),
        ("least", Pick::Least),
    ];

    /// Returns the choice with a given name.
    pub fn named(name: &str) -> Option<Pick> {
        Pick::ALL.into_iter().find(|(n, _)| *n == name).map(|(_, pick)| pick)
    }
}

type Connection = SendRequest<Full<Bytes>>;

/// A baseline: the servers from discovery, idle connections, and the state of the choice.
struct Proxy {
    pick: Pick,
    servers: RefCell<BTreeMap<String, SocketAddr>>,
    idle: RefCell<HashMap<SocketAddr, Vec<Connection>>>,
    in_flight: RefCell<HashMap<SocketAddr, u32>>,
    turn: Cell<usize>,
    /// State of the random generator.
    random_state: Cell<u64>,
}

impl Proxy {
    /// Returns a random index below `of`.
    fn random_index(&self, of: usize) -> usize {
        // The xorshift generator is good enough for choosing a random server.
        let mut x = self.random_state.get();
        x ^= x << 13;
        x ^= x >> 7;
        x ^= x << 17;
        self.random_state.set(x);
        (x % of.max(1) as u64) as usize
    }

    /// Chooses a server for a request, if any is known.
    fn choose_server(&self) -> Option<SocketAddr> {
        let all: Vec<SocketAddr> = self.servers.borrow().values().copied().collect();
        let in_flight_to = |at: &SocketAddr| self.in_flight.borrow().get(at).copied().unwrap_or(0);
        match self.pick {
            Pick::Pass | Pick::Direct => all.first().copied(),
            Pick::Random => all.get(self.random_index(all.len())).copied(),
            Pick::RoundRobin => {
                let turn = self.turn.get();
                self.turn.set(turn.wrapping_add(1));
                all.get(turn % all.len().max(1)).copied()
            }
            Pick::Least => {
                let (a, b) =
                    (all.get(self.random_index(all.len()))?, all.get(self.random_index(all.len()))?);
                Some(if in_flight_to(b) < in_flight_to(a) { *b } else { *a })
            }
        }
    }

    /// Applies an answer of discovery and returns its version.
    fn apply_list(&self, answer: &Value) -> Option<u64> {
        let mut servers = self.servers.borrow_mut();
        if answer.get("all")?.as_bool()? {
            servers.clear();
        }
        for target in answer.get("targets")?.as_array()? {
            let uid = target.get("uid")?.as_str()?;
            let at = target.get("endpoint").and_then(Value::as_str).and_then(|e| e.parse().ok());
            match (target.get("state")?.as_str()?, at) {
                ("up", Some(at)) => drop(servers.insert(uid.to_owned(), at)),
                _ => drop(servers.remove(uid)),
            }
        }
        answer.get("rev")?.as_u64()
    }

    /// Opens a connection.
    async fn open(at: SocketAddr) -> Option<Connection> {
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(at)).await.ok()?.ok()?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
        spawn_local(async move {
            // The sender sees the end of the connection.
            let _ = connection.await;
        });
        Some(sender)
    }

    /// Follows discovery's list.
    async fn watch_discovery(&self, discovery: SocketAddr) {
        let mut version: Option<u64> = None;
        loop {
            let call = async {
                let mut conn = Proxy::open(discovery).await?;
                let path = version.map_or("/discovery/hosts".to_owned(), |v| {
                    format!("/discovery/hosts?after={v}&wait_ms=20000")
                });
                let request =
                    Request::get(path).header("host", discovery.to_string()).body(Full::default()).ok()?;
                let answer = conn.send_request(request).await.ok()?;
                if answer.status() != StatusCode::OK {
                    return None;
                }
                let body = answer.into_body().collect().await.ok()?.to_bytes();
                self.apply_list(&serde_json::from_slice(&body).ok()?)
            };
            match call.await {
                Some(now) => version = Some(now),
                None => tokio::time::sleep(RETRY_DELAY).await,
            }
        }
    }

    /// Forwards a request to a server, within the time that the client gives.
    async fn forward(&self, request: Request<Incoming>) -> Option<Response<Full<Bytes>>> {
        let at = self.choose_server()?;
        let wait = request.headers().get("x-expires-in-ms").and_then(|v| v.to_str().ok()?.parse().ok());
        let (head, body) = request.into_parts();
        let body = Full::new(body.collect().await.ok()?.to_bytes());
        *self.in_flight.borrow_mut().entry(at).or_default() += 1;
        let exchange = async {
            let idle = self.idle.borrow_mut().get_mut(&at).and_then(Vec::pop);
            let mut conn = match idle.filter(|c| c.is_ready()) {
                Some(conn) => conn,
                None => Proxy::open(at).await?,
            };
            let answer = conn.send_request(Request::from_parts(head, body)).await.ok()?;
            let (head, body) = answer.into_parts();
            let body = body.collect().await.ok()?.to_bytes();
            self.idle.borrow_mut().entry(at).or_default().push(conn);
            Some((head.status, body))
        };
        let limit = Duration::from_millis(wait.unwrap_or(1000));
        let answer = tokio::time::timeout(limit, exchange).await.ok().flatten();
        if let Some(n) = self.in_flight.borrow_mut().get_mut(&at) {
            *n = n.saturating_sub(1);
        }
        let (status, body) = answer.filter(|(status, _)| *status == StatusCode::OK)?;
        let mut response = Response::new(Full::new(body));
        *response.status_mut() = status;
        Some(response)
    }

    /// Answers health checks, and forwards other requests.
    async fn respond(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let plain = |status| {
            let mut response = Response::new(Full::default());
            *response.status_mut() = status;
            response
        };
        if request.uri().path() == "/up" {
            let ready = !self.servers.borrow().is_empty();
            return plain(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE });
        }
        self.forward(request).await.unwrap_or_else(|| plain(StatusCode::BAD_GATEWAY))
    }
}

/// Serves as a baseline with the node's configuration, until SIGTERM.
///
/// # Errors
/// Returns an error if the configuration cannot be read or the listening address cannot be bound.
pub fn serve(pick: Pick) -> Result<(), String> {
    let config = Config::load().map_err(|e| e.to_string())?;
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())?;
    let seed = config.seed | 1;
    let proxy = Rc::new(Proxy {
        pick,
        servers: RefCell::default(),
        idle: RefCell::default(),
        in_flight: RefCell::default(),
        turn: Cell::new(config.settings.slot as usize),
        random_state: Cell::new(seed),
    });
    // Until discovery answers, the list in the configuration is used.
    proxy.apply_list(&config.known);
    LocalSet::new().block_on(&runtime, async move {
        let listener = TcpListener::bind(config.listen).await.map_err(|e| e.to_string())?;
        let mut end = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())
            .map_err(|e| e.to_string())?;
        let watching = proxy.clone();
        spawn_local(async move { watching.watch_discovery(config.discovery).await });
        loop {
            let stream = tokio::select! {
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => stream,
                    Err(_) => continue,
                },
                _ = end.recv() => return Ok(()),
            };
            let _ = stream.set_nodelay(true);
            let proxy = proxy.clone();
            spawn_local(async move {
                let service = service_fn(|request| {
                    let proxy = proxy.clone();
                    async move { Ok::<_, Infallible>(proxy.respond(request).await) }
                });
                // Errors affect only this client's connection.
                let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            });
        }
    })
}
