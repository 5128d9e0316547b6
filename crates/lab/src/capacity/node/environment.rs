//! The parties around a measured node: a discovery that tells what it is told to, servers that answer at
//! once, a client, and a watch on how long the node answers nobody. They use as little of the machine as
//! they can.

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

/// A longer head is none of a node's.
const LONGEST_HEAD: usize = 16 * 1024;
/// The longest that a call of discovery may wait.
const LONGEST_WAIT: Duration = Duration::from_secs(60);
/// Between two questions of a watch.
const BEAT: Duration = Duration::from_micros(100);

fn lock<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

fn failed(what: &'static str) -> impl FnOnce(io::Error) -> MeasureError {
    move |cause| MeasureError::Io { what: what.to_owned(), cause }
}

/// Threads for a party, and a way to end them all: they go when this is dropped.
struct Threads(Option<Runtime>);

impl Threads {
    fn new() -> Result<Threads, MeasureError> {
        let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(2).enable_all().build();
        Ok(Threads(Some(runtime.map_err(failed("threads"))?)))
    }

    /// Listens, and hands each connection to `converse`.
    fn listen<F: Future<Output = ()> + Send + 'static>(
        &self,
        converse: impl Fn(tokio::net::TcpStream) -> F + Send + 'static,
    ) -> Result<SocketAddr, MeasureError> {
        let Some(runtime) = &self.0 else {
            return Err(MeasureError::Unexpected("threads have ended".to_owned()));
        };
        let listener = runtime.block_on(tokio::net::TcpListener::bind((Ipv4Addr::LOCALHOST, 0)));
        let listener = listener.map_err(failed("a loopback port"))?;
        let address = listener.local_addr().map_err(failed("a loopback port"))?;
        runtime.spawn(async move {
            loop {
                match listener.accept().await {
                    Ok((stream, _)) => {
                        let _ = stream.set_nodelay(true);
                        tokio::spawn(converse(stream));
                    }
                    // Out of descriptors, for a moment.
                    Err(_) => tokio::time::sleep(BEAT).await,
                }
            }
        });
        Ok(address)
    }
}

impl Drop for Threads {
    fn drop(&mut self) {
        if let Some(runtime) = self.0.take() {
            runtime.shutdown_background();
        }
    }
}

/// The next head on a connection, without a body; none once the connection is over.
async fn head(stream: &mut tokio::net::TcpStream, kept: &mut Vec<u8>) -> Option<String> {
    loop {
        if let Some(end) = kept.windows(4).position(|w| w == b"\r\n\r\n") {
            let rest = kept.split_off(end + 4);
            let head = std::mem::replace(kept, rest);
            return String::from_utf8(head).ok();
        }
        if kept.len() > LONGEST_HEAD || stream.read_buf(kept).await.ok()? == 0 {
            return None;
        }
    }
}

fn reply(status: &str, fields: &str, body: &str) -> Arc<Vec<u8>> {
    let length = body.len();
    Arc::new(format!("HTTP/1.1 {status}\r\nContent-Length: {length}\r\n{fields}\r\n{body}").into_bytes())
}

#[derive(Default)]
struct Told {
    version: u64,
    /// The whole list as a reply, and the version up to which it alone tells.
    whole: Arc<Vec<u8>>,
    whole_at: u64,
    changes: Vec<(u64, String)>,
    /// The greatest version that a call goes on from: its list has been taken.
    taken: u64,
}

struct State {
    told: Mutex<Told>,
    taken: Condvar,
    news: Notify,
    written: AtomicU64,
    calls: AtomicU64,
}

/// A discovery of one node.
pub struct FakeDiscovery {
    /// Where it answers.
    pub address: SocketAddr,
    state: Arc<State>,
    _threads: Threads,
}

impl FakeDiscovery {
    /// One that knows these targets, in its form and joined by commas.
    pub fn start(targets: &str) -> Result<FakeDiscovery, MeasureError> {
        let told = Told { version: 1, whole: whole(1, targets), whole_at: 1, ..Told::default() };
        let state = Arc::new(State {
            told: Mutex::new(told),
            taken: Condvar::new(),
            news: Notify::new(),
            written: AtomicU64::new(0),
            calls: AtomicU64::new(0),
        });
        let threads = Threads::new()?;
        let own = state.clone();
        let address = threads.listen(move |stream| converse(own.clone(), stream))?;
        Ok(FakeDiscovery { address, state, _threads: threads })
    }

    /// Bytes written so far, heads included.
    pub fn written(&self) -> u64 {
        self.state.written.load(Ordering::SeqCst)
    }

    /// Calls so far.
    pub fn calls(&self) -> u64 {
        self.state.calls.load(Ordering::SeqCst)
    }

    /// Tells this whole list, and waits until the node goes on from it.
    pub fn tell_whole(&self, targets: &str, limit: Duration) -> Result<(), MeasureError> {
        // Made beforehand: the lock is not held for it.
        let version = lock(&self.state.told).version + 1;
        let reply = whole(version, targets);
        let mut told = lock(&self.state.told);
        (told.version, told.whole, told.whole_at) = (version, reply, version);
        told.changes.clear();
        drop(told);
        self.state.news.notify_waiters();
        self.wait_for(version, limit)
    }

    /// Tells these changes as one version, and waits until the node goes on from it.
    pub fn tell_changes(&self, entries: &[String], limit: Duration) -> Result<(), MeasureError> {
        let version = self.put_changes(entries);
        self.wait_for(version, limit)
    }

    /// Tells these changes as one version.
    pub fn put_changes(&self, entries: &[String]) -> u64 {
        let mut told = lock(&self.state.told);
        told.version += 1;
        let version = told.version;
        told.changes.extend(entries.iter().map(|e| (version, e.clone())));
        drop(told);
        self.state.news.notify_waiters();
        version
    }

    fn wait_for(&self, version: u64, limit: Duration) -> Result<(), MeasureError> {
        let told = lock(&self.state.told);
        let waited = self.state.taken.wait_timeout_while(told, limit, |t| t.taken < version);
        let (told, late) = waited.unwrap_or_else(PoisonError::into_inner);
        if late.timed_out() {
            let why = format!("the node goes on from version {}, and was told {version}", told.taken);
            return Err(MeasureError::Unexpected(why));
        }
        Ok(())
    }
}

fn whole(version: u64, targets: &str) -> Arc<Vec<u8>> {
    reply("200 OK", "", &format!("{{\"rev\":{version},\"all\":true,\"targets\":[{targets}]}}"))
}

async fn converse(state: Arc<State>, mut stream: tokio::net::TcpStream) {
    let mut kept = Vec::new();
    while let Some(head) = head(&mut stream, &mut kept).await {
        state.calls.fetch_add(1, Ordering::SeqCst);
        let number = |name: &str| {
            let (_, rest) = head.split_once(name)?;
            rest.split(|c: char| !c.is_ascii_digit()).next()?.parse::<u64>().ok()
        };
        let after = number("after=");
        let wait = Duration::from_millis(number("wait_ms=").unwrap_or(0)).min(LONGEST_WAIT);
        let end = tokio::time::Instant::now() + wait;
        if let Some(after) = after {
            let mut told = lock(&state.told);
            told.taken = told.taken.max(after);
            state.taken.notify_all();
        }
        let answer = loop {
            let news = state.news.notified();
            tokio::pin!(news);
            // From here on no news is missed.
            news.as_mut().enable();
            if let Some(answer) = state.answer(after, false) {
                break answer;
            }
            if tokio::time::timeout_at(end, news).await.is_err() {
                break state.answer(after, true).unwrap_or_default();
            }
        };
        state.written.fetch_add(answer.len() as u64, Ordering::SeqCst);
        if stream.write_all(&answer).await.is_err() {
            return;
        }
    }
}

impl State {
    /// What there is to tell after a version; `now`: also where that is nothing.
    fn answer(&self, after: Option<u64>, now: bool) -> Option<Arc<Vec<u8>>> {
        let told = lock(&self.told);
        let Some(after) = after.filter(|a| *a >= told.whole_at) else { return Some(told.whole.clone()) };
        let news: Vec<&str> =
            told.changes.iter().filter(|(v, _)| *v > after).map(|(_, entry)| entry.as_str()).collect();
        let body = format!(
            "{{\"rev\":{},\"all\":false,\"targets\":[{}]}}",
            told.version.max(after),
            news.join(",")
        );
        (now || !news.is_empty()).then(|| reply("200 OK", "", &body))
    }
}

/// What the live servers say.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerReply {
    /// Yes, at once.
    Success = 0,
    /// That they are full and the request has not run.
    Full = 1,
}

/// Live servers that answer at once.
pub struct FakeServers {
    /// Where.
    pub addresses: Vec<SocketAddr>,
    say: Arc<AtomicU8>,
    asked: Arc<AtomicU64>,
    _threads: Threads,
}

impl FakeServers {
    /// Starts some.
    pub fn start(count: usize) -> Result<FakeServers, MeasureError> {
        let say = Arc::new(AtomicU8::new(ServerReply::Success as u8));
        let asked = Arc::<AtomicU64>::default();
        let threads = Threads::new()?;
        let mut addresses = Vec::new();
        for _ in 0..count {
            let (say, asked) = (say.clone(), asked.clone());
            addresses.push(threads.listen(move |stream| serve(say.clone(), asked.clone(), stream))?);
        }
        Ok(FakeServers { addresses, say, asked, _threads: threads })
    }

    /// Requests so far.
    pub fn asked(&self) -> u64 {
        self.asked.load(Ordering::SeqCst)
    }

    /// What they say from now on.
    pub fn answer(&self, say: ServerReply) {
        self.say.store(say as u8, Ordering::SeqCst);
    }
}

async fn serve(say: Arc<AtomicU8>, asked: Arc<AtomicU64>, mut stream: tokio::net::TcpStream) {
    let mut kept = Vec::new();
    while head(&mut stream, &mut kept).await.is_some() {
        asked.fetch_add(1, Ordering::SeqCst);
        let full = say.load(Ordering::SeqCst) == ServerReply::Full as u8;
        let answer = if full {
            reply("503 Service Unavailable", "x-never-ran: 1\r\n", "")
        } else {
            reply("200 OK", "", "yes")
        };
        if stream.write_all(&answer).await.is_err() {
            return;
        }
    }
}

/// A port that refuses connections for as long as it is held: bound, and nobody listens.
pub struct ClosedPort {
    /// Where.
    pub address: SocketAddr,
    _socket: socket2::Socket,
}

/// Takes one.
pub fn closed_port() -> Result<ClosedPort, MeasureError> {
    let taken = || {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
        socket.bind(&SocketAddr::from((Ipv4Addr::LOCALHOST, 0)).into())?;
        let address = socket.local_addr()?.as_socket().ok_or(io::ErrorKind::AddrNotAvailable)?;
        Ok(ClosedPort { address, _socket: socket })
    };
    taken().map_err(failed("a port that nobody listens on"))
}

/// A client with one connection.
pub struct Client {
    stream: TcpStream,
    kept: Vec<u8>,
    number: u64,
}

impl Client {
    /// Connects.
    pub fn open(at: SocketAddr) -> Result<Client, MeasureError> {
        let stream = TcpStream::connect(at).map_err(failed("a connection to the node"))?;
        stream.set_nodelay(true).map_err(failed("a connection to the node"))?;
        Ok(Client { stream, kept: Vec::new(), number: 0 })
    }

    /// Whether the node takes clients: the status.
    pub fn up(&mut self, limit: Duration) -> Result<u16, MeasureError> {
        self.exchange("GET /up HTTP/1.1\r\nHost: n\r\n\r\n", limit)
    }

    /// Sends a request with further fields; of what class it is unless these say: `page`.
    pub fn ask(&mut self, fields: &str, limit: Duration) -> Result<u16, MeasureError> {
        self.number += 1;
        let class = if fields.contains("X-Qos:") { "" } else { "X-Qos: page\r\n" };
        let number = self.number;
        self.exchange(
            &format!("GET /api/r HTTP/1.1\r\nHost: n\r\nX-Trace-Id: {number:016x}\r\n{class}{fields}\r\n"),
            limit,
        )
    }

    fn exchange(&mut self, request: &str, limit: Duration) -> Result<u16, MeasureError> {
        self.try_exchange(request, limit).map_err(failed("an exchange with the node"))
    }

    fn try_exchange(&mut self, request: &str, limit: Duration) -> io::Result<u16> {
        self.stream.set_read_timeout(Some(limit))?;
        self.stream.write_all(request.as_bytes())?;
        loop {
            if let Some((status, length)) = whole_answer(&self.kept) {
                self.kept.drain(..length);
                return Ok(status);
            }
            let mut part = [0; 4096];
            let n = self.stream.read(&mut part)?;
            if n == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            self.kept.extend_from_slice(&part[..n]);
        }
    }
}

/// Status and length of the answer that these bytes begin with, once all of it is there.
fn whole_answer(bytes: &[u8]) -> Option<(u16, usize)> {
    let end = bytes.windows(4).position(|w| w == b"\r\n\r\n")? + 4;
    let head = std::str::from_utf8(&bytes[..end]).ok()?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let length = head.lines().find_map(|l| {
        let (name, value) = l.split_once(':')?;
        name.eq_ignore_ascii_case("content-length").then(|| value.trim().parse::<usize>().ok())?
    });
    let all = end + length.unwrap_or(0);
    (bytes.len() >= all).then_some((status, all))
}

/// Asks a node for a word every tenth of a millisecond or so, and keeps the longest time that one took.
pub struct LatencyProbe {
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<f64>>,
}

impl LatencyProbe {
    /// Begins, once the node has answered a first time.
    pub fn watch(node: SocketAddr) -> Result<LatencyProbe, MeasureError> {
        let mut client = Client::open(node)?;
        client.up(super::PATIENCE)?;
        let stop = Arc::new(AtomicBool::new(false));
        let stopped = stop.clone();
        let thread = std::thread::spawn(move || {
            let mut longest: f64 = 0.0;
            while !stopped.load(Ordering::SeqCst) {
                let begun = Instant::now();
                if client.up(super::PATIENCE).is_err() {
                    return f64::NAN;
                }
                longest = longest.max(begun.elapsed().as_secs_f64() * 1000.0);
                sleep(BEAT);
            }
            longest
        });
        Ok(LatencyProbe { stop, thread: Some(thread) })
    }

    /// Ends; the longest time in milliseconds, NaN where the node has answered no more.
    pub fn longest_ms(mut self) -> f64 {
        self.stop.store(true, Ordering::SeqCst);
        self.thread.take().and_then(|t| t.join().ok()).unwrap_or(f64::NAN)
    }
}

impl Drop for LatencyProbe {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
    }
}
