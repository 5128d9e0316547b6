//! The environment of a measured node: a fake discovery service, fake servers that respond immediately, a
//! client, and a probe of the longest time without a response from the node. All of them use little
//! processor time, to leave the machine to the node.

use super::super::MeasureError;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::{JoinHandle, sleep};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::runtime::Runtime;
use tokio::sync::Notify;

/// Longest accepted request head; a node's requests are shorter.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Longest time that discovery holds a call of the node open.
const MAX_LONG_POLL: Duration = Duration::from_secs(60);
/// Pause between two requests of a [`LatencyProbe`], and before a failed accept is repeated.
const POLL_INTERVAL: Duration = Duration::from_micros(100);

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn io_error(what: &'static str) -> impl FnOnce(io::Error) -> MeasureError {
    move |cause| MeasureError::Io { what: what.to_owned(), cause }
}

/// The threads of one fake service. Dropping it shuts them down.
struct ServerRuntime(Option<Runtime>);

impl ServerRuntime {
    fn new() -> Result<ServerRuntime, MeasureError> {
        let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
        Ok(ServerRuntime(Some(runtime.map_err(io_error("starting threads"))?)))
    }

    /// Listens on a loopback port, runs `handle` for each connection, and returns the address.
    fn listen<F: Future<Output = ()> + Send + 'static>(
        &self,
        handle: impl Fn(tokio::net::TcpStream) -> F + Send + 'static,
    ) -> Result<SocketAddr, MeasureError> {
        let Some(runtime) = &self.0 else {
            return Err(MeasureError::Unexpected("the threads have ended".to_owned()));
        };
        let listener = runtime.block_on(tokio::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0)));
        let listener = listener.map_err(io_error("listening on a loopback port"))?;
        let address = listener.local_addr().map_err(io_error("listening on a loopback port"))?;
        runtime.spawn(async move {
            loop {
                match listener.accept().await {
                    Ok((stream, _)) => {
                        let _ = stream.set_nodelay(true);
                        tokio::spawn(handle(stream));
                    }
                    // The process has no free file descriptor at the moment.
                    Err(_) => tokio::time::sleep(POLL_INTERVAL).await,
                }
            }
        });
        Ok(address)
    }
}

impl Drop for ServerRuntime {
    fn drop(&mut self) {
        if let Some(runtime) = self.0.take() {
            runtime.shutdown_background();
        }
    }
}

/// Reads the head of the next request, which has no body. Returns `None` once the connection is closed,
/// fails, or sends a head that is too long or not UTF-8.
async fn read_head(stream: &mut tokio::net::TcpStream, buffer: &mut Vec<u8>) -> Option<String> {
    loop {
        if let Some(end) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
            let rest = buffer.split_off(end + 4);
            let head = std::mem::replace(buffer, rest);
            return String::from_utf8(head).ok();
        }
        if buffer.len() > MAX_HEAD_BYTES || stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    }
}

fn http_response(status: &str, fields: &str, body: &str) -> Arc<Vec<u8>> {
    let length = body.len();
    Arc::new(format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\n{fields}\r\n{body}").into_bytes())
}

/// The list that the service sends.
#[derive(Default)]
struct ListState {
    version: u64,
    /// HTTP response with the full list of version `full_version`. Calls from older versions receive it.
    full_response: Arc<Vec<u8>>,
    full_version: u64,
    /// Entries changed since `full_version`, each with the version of its change.
    changes: Vec<(u64, String)>,
    /// Highest version in the `after` parameter of a call. The node has received the list of that version,
    /// and may still be processing it.
    acknowledged: u64,
}

/// State shared by the connections of a fake discovery service.
struct State {
    list: Mutex<ListState>,
    acknowledged: Condvar,
    changed: Notify,
    bytes_written: AtomicU64,
    calls: AtomicU64,
}

/// A fake discovery service for one node.
pub struct FakeDiscovery {
    /// Address at which the service listens.
    pub address: SocketAddr,
    state: Arc<State>,
    _runtime: ServerRuntime,
}

impl FakeDiscovery {
    /// Starts a service that lists `targets`, which are JSON objects joined by commas.
    pub fn start(targets: &str) -> Result<FakeDiscovery, MeasureError> {
        let list = ListState {
            version: 1,
            full_response: full_response(1, targets),
            full_version: 1,
            ..ListState::default()
        };
        let state = Arc::new(State {
            list: Mutex::new(list),
            acknowledged: Condvar::new(),
            changed: Notify::new(),
            bytes_written: AtomicU64::new(0),
            calls: AtomicU64::new(0),
        });
        let runtime = ServerRuntime::new()?;
        let shared = state.clone();
        let address = runtime.listen(move |stream| handle_discovery(shared.clone(), stream))?;
        Ok(FakeDiscovery { address, state, _runtime: runtime })
    }

    /// Returns the number of bytes written to the node so far, including response heads.
    pub fn bytes_written(&self) -> u64 {
        self.state.bytes_written.load(Ordering::SeqCst)
    }

    /// Returns the number of calls received so far.
    pub fn call_count(&self) -> u64 {
        self.state.calls.load(Ordering::SeqCst)
    }

    /// Replaces the list with `targets` as a new version, and waits until the node acknowledges that
    /// version.
    ///
    /// # Errors
    /// Returns [`MeasureError::Unexpected`] if the node does not acknowledge it within `limit`.
    pub fn send_list(&self, targets: &str, limit: Duration) -> Result<(), MeasureError> {
        // The response is built before the lock is taken, to hold the lock only briefly.
        let version = lock(&self.state.list).version + 1;
        let response = full_response(version, targets);
        let mut list = lock(&self.state.list);
        (list.version, list.full_response, list.full_version) = (version, response, version);
        list.changes.clear();
        drop(list);
        self.state.changed.notify_waiters();
        self.wait_until_acknowledged(version, limit)
    }

    /// Publishes changed entries as a new version, and waits until the node acknowledges that version.
    ///
    /// # Errors
    /// Returns [`MeasureError::Unexpected`] if the node does not acknowledge it within `limit`.
    pub fn send_changes(&self, entries: &[String], limit: Duration) -> Result<(), MeasureError> {
        let version = self.publish_changes(entries);
        self.wait_until_acknowledged(version, limit)
    }

    /// Publishes changed entries as a new version, and returns that version.
    pub fn publish_changes(&self, entries: &[String]) -> u64 {
        let mut list = lock(&self.state.list);
        list.version += 1;
        let version = list.version;
        list.changes.extend(entries.iter().map(|e| (version, e.clone())));
        drop(list);
        self.state.changed.notify_waiters();
        version
    }

    fn wait_until_acknowledged(&self, version: u64, limit: Duration) -> Result<(), MeasureError> {
        let list = lock(&self.state.list);
        let waited = self.state.acknowledged.wait_timeout_while(list, limit, |l| l.acknowledged < version);
        let (list, timeout) = waited.unwrap_or_else(PoisonError::into_inner);
        if timeout.timed_out() {
            let reason =
                format!("the node acknowledged list version {}, expected {version}", list.acknowledged);
            return Err(MeasureError::Unexpected(reason));
        }
        Ok(())
    }
}

/// Returns the HTTP response that contains a full list.
fn full_response(version: u64, targets: &str) -> Arc<Vec<u8>> {
    http_response("200 OK", "", &format!("{{\"rev\":{version},\"all\":true,\"targets\":[{targets}]}}"))
}

/// Answers the calls on one connection. A call whose version is current is held open until the list changes
/// or its `wait_ms` has passed.
async fn handle_discovery(state: Arc<State>, mut stream: tokio::net::TcpStream) {
    let mut buffer = Vec::new();
    while let Some(head) = read_head(&mut stream, &mut buffer).await {
        state.calls.fetch_add(1, Ordering::SeqCst);
        let number = |name: &str| {
            let (_, rest) = head.split_once(name)?;
            rest.split(|c: char| !c.is_ascii_digit()).next()?.parse::<u64>().ok()
        };
        let after = number("after=");
        let wait = Duration::from_millis(number("wait_ms=").unwrap_or(0)).min(MAX_LONG_POLL);
        let end = tokio::time::Instant::now() + wait;
        if let Some(after) = after {
            let mut list = lock(&state.list);
            list.acknowledged = list.acknowledged.max(after);
            state.acknowledged.notify_all();
        }
        let response = loop {
            let changed = state.changed.notified();
            tokio::pin!(changed);
            // Registers for changes before the list is read: a change in between is not missed.
            changed.as_mut().enable();
            if let Some(response) = state.list_response(after, false) {
                break response;
            }
            if tokio::time::timeout_at(end, changed).await.is_err() {
                break state.list_response(after, true).unwrap_or_default();
            }
        };
        state.bytes_written.fetch_add(response.len() as u64, Ordering::SeqCst);
        if stream.write_all(&response).await.is_err() {
            return;
        }
    }
}

impl State {
    /// Returns the changes after a version, or the full list if the version is absent or too old. Without
    /// changes it returns an empty list of changes if `may_be_empty`, else `None`.
    fn list_response(&self, after: Option<u64>, may_be_empty: bool) -> Option<Arc<Vec<u8>>> {
        let list = lock(&self.list);
        let Some(after) = after.filter(|a| *a >= list.full_version) else {
            return Some(list.full_response.clone());
        };
        let changed: Vec<&str> =
            list.changes.iter().filter(|(v, _)| *v > after).map(|(_, entry)| entry.as_str()).collect();
        let body = format!(
            "{{\"rev\":{},\"all\":false,\"targets\":[{}]}}",
            list.version.max(after),
            changed.join(",")
        );
        (may_be_empty || !changed.is_empty()).then(|| http_response("200 OK", "", &body))
    }
}

/// Response of the fake servers to every request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerReply {
    /// Status 200.
    Success = 0,
    /// Status 503 with the header that says that the request was not executed.
    Full = 1,
}

/// Fake servers that respond immediately.
pub struct FakeServers {
    /// Addresses at which the servers listen.
    pub addresses: Vec<SocketAddr>,
    reply: Arc<AtomicU8>,
    request_count: Arc<AtomicU64>,
    _runtime: ServerRuntime,
}

impl FakeServers {
    /// Starts `count` servers, which respond with [`ServerReply::Success`].
    pub fn start(count: usize) -> Result<FakeServers, MeasureError> {
        let reply = Arc::new(AtomicU8::new(ServerReply::Success as u8));
        let request_count = Arc::<AtomicU64>::default();
        let runtime = ServerRuntime::new()?;
        let mut addresses = Vec::new();
        for _ in 0..count {
            let (reply, request_count) = (reply.clone(), request_count.clone());
            addresses
                .push(runtime.listen(move |stream| serve(reply.clone(), request_count.clone(), stream))?);
        }
        Ok(FakeServers { addresses, reply, request_count, _runtime: runtime })
    }

    /// Returns the number of requests received so far, by all servers.
    pub fn request_count(&self) -> u64 {
        self.request_count.load(Ordering::SeqCst)
    }

    /// Sets the response to all further requests.
    pub fn set_reply(&self, reply: ServerReply) {
        self.reply.store(reply as u8, Ordering::SeqCst);
    }
}

/// Answers the requests on one connection.
async fn serve(reply: Arc<AtomicU8>, request_count: Arc<AtomicU64>, mut stream: tokio::net::TcpStream) {
    let mut buffer = Vec::new();
    while read_head(&mut stream, &mut buffer).await.is_some() {
        request_count.fetch_add(1, Ordering::SeqCst);
        let is_full = reply.load(Ordering::SeqCst) == ServerReply::Full as u8;
        let response = if is_full {
            http_response("503 Service Unavailable", "x-never-ran: 1\r\n", "")
        } else {
            http_response("200 OK", "", "yes")
        };
        if stream.write_all(&response).await.is_err() {
            return;
        }
    }
}

/// A port that refuses connections while this value exists: its socket is bound and does not listen.
pub struct ClosedPort {
    /// Address of the port.
    pub address: SocketAddr,
    _socket: socket2::Socket,
}

/// Binds a loopback port that refuses connections.
pub fn closed_port() -> Result<ClosedPort, MeasureError> {
    let bind = || {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
        socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into())?;
        let address = socket.local_addr()?.as_socket().ok_or(io::ErrorKind::AddrNotAvailable)?;
        Ok(ClosedPort { address, _socket: socket })
    };
    bind().map_err(io_error("binding a port that does not listen"))
}

/// An HTTP client with one connection to the node.
pub struct Client {
    stream: TcpStream,
    buffer: Vec<u8>,
    /// Number of requests sent, from which trace IDs are made.
    number: u64,
}

impl Client {
    /// Connects to the node.
    pub fn open(address: SocketAddr) -> Result<Client, MeasureError> {
        let stream = TcpStream::connect(address).map_err(io_error("connecting to the node"))?;
        stream.set_nodelay(true).map_err(io_error("connecting to the node"))?;
        Ok(Client { stream, buffer: Vec::new(), number: 0 })
    }

    /// Returns the status of the node's health check, which is 200 once the node accepts clients.
    pub fn health_status(&mut self, limit: Duration) -> Result<u16, MeasureError> {
        self.exchange("GET /up HTTP/1.1\r\nHost: n\r\n\r\n", limit)
    }

    /// Sends a request with additional header lines and returns the status of its response. The class is
    /// `page` unless `fields` sets another.
    pub fn send_request(&mut self, fields: &str, limit: Duration) -> Result<u16, MeasureError> {
        self.number += 1;
        let class = if fields.contains("X-Qos:") { "" } else { "X-Qos: page\r\n" };
        let number = self.number;
        self.exchange(
            &format!("GET /api/r HTTP/1.1\r\nHost: n\r\nX-Trace-Id: {number:016x}\r\n{class}{fields}\r\n"),
            limit,
        )
    }

    fn exchange(&mut self, request: &str, limit: Duration) -> Result<u16, MeasureError> {
        self.try_exchange(request, limit).map_err(io_error("a request to the node"))
    }

    fn try_exchange(&mut self, request: &str, limit: Duration) -> io::Result<u16> {
        self.stream.set_read_timeout(Some(limit))?;
        self.stream.write_all(request.as_bytes())?;
        loop {
            if let Some((status, length)) = parse_response(&self.buffer) {
                self.buffer.drain(..length);
                return Ok(status);
            }
            let mut chunk = [0; 4096];
            let n = self.stream.read(&mut chunk)?;
            if n == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            self.buffer.extend_from_slice(&chunk[..n]);
        }
    }
}

/// Returns the status and the length in bytes of the response at the start of `bytes`, or `None` if it is
/// incomplete or invalid.
fn parse_response(bytes: &[u8]) -> Option<(u16, usize)> {
    let end = bytes.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
    let read_head = std::str::from_utf8(&bytes[..end]).ok()?;
    let status = read_head.split(' ').nth(1)?.parse().ok()?;
    let length = read_head.lines().find_map(|l| {
        let (name, value) = l.split_once(':')?;
        name.eq_ignore_ascii_case("content-length").then(|| value.trim().parse::<usize>().ok())?
    });
    let total = end + length.unwrap_or(0);
    (bytes.len() >= total).then_some((status, total))
}

/// Sends health checks to a node, with a pause of [`POLL_INTERVAL`] after each, and records the longest
/// response time.
pub struct LatencyProbe {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<f64>>,
}

impl LatencyProbe {
    /// Starts the probe after a first health check has been answered.
    pub fn start(node: SocketAddr) -> Result<LatencyProbe, MeasureError> {
        let mut client = Client::open(node)?;
        client.health_status(super::WAIT_TIMEOUT)?;
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        let thread = std::thread::spawn(move || {
            let mut max_ms: f64 = 0.0;
            while !stopped.load(Ordering::SeqCst) {
                let started = Instant::now();
                if client.health_status(super::WAIT_TIMEOUT).is_err() {
                    return f64::NAN;
                }
                max_ms = max_ms.max(started.elapsed().as_secs_f64() * 1000.0);
                sleep(POLL_INTERVAL);
            }
            max_ms
        });
        Ok(LatencyProbe { stop, thread: Some(thread) })
    }

    /// Stops the probe and returns the longest response time in milliseconds, or NaN if the node stopped
    /// responding.
    pub fn max_gap_ms(mut self) -> f64 {
        self.stop.store(true, Ordering::SeqCst);
        self.thread.take().and_then(|t| t.join().ok()).unwrap_or(f64::NAN)
    }
}

impl Drop for LatencyProbe {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
    }
}
