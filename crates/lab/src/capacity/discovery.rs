//! Measures what one discovery service costs, by the number of its watches and of the backends that it
//! lists. Simulated nodes call a test service that speaks the platform's protocol, over loopback sockets.
//!
//! A simulated node runs the node's `daleturn::control::list_sync` with one connection. Of a response it
//! reads the version and whether the list is full, and discards the entries. The service runs on its own
//! thread, whose processor time is the cost of the service, including the kernel's work for sending. It
//! encodes a list once for each version and shares the bytes among all responses; that cost is in
//! `list_written` only. The wait for an event is limited to 20 s: an event that takes longer gives no point
//! in its series and is counted by `..._not_reached`. Sizes that need more file descriptors than the
//! process may open are left out.

use super::{MeasureError, MeasureOptions, Point, Series};
use bytes::Bytes;
use daleturn::control::list_sync::{ListCall, ListRequest, ListResponse, ListSync, NextStep};
use daleturn::interface::Discovery;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, mpsc};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::{LocalSet, spawn_local};

/// Loopback address of the service, different from the source address of the calls. With the same address,
/// a call to the closed port could use that port as its source port and connect to itself.
const SERVICE_IP: Ipv4Addr = Ipv4Addr::new(127, 0, 0, 2);
/// Longest time to wait for an event.
const MAX_WAIT: Duration = Duration::from_secs(20);
/// Time between the starts of two nodes.
const START_EVERY_MS: f64 = 1.0;
/// Number of threads that run the simulated nodes. Few threads leave the machine to the service.
const NODE_THREADS: usize = 2;
/// Longest time that the service holds a call open.
const MAX_LONG_POLL: Duration = Duration::from_secs(60);
/// Length of the queue of connections that are not accepted yet.
const BACKLOG: u32 = 4096;
/// Longest time between the calls of a node to discovery.
const MUST_ASK_IN_MS: f64 = 20_000.0;
/// Number of backends in the list of the planned fleet.
const MAX_BACKENDS: usize = 47_000;
const BACKENDS_ON_WATCHES_AXIS: usize = 1000;
const WATCHES_ON_BACKENDS_AXIS: usize = 100;

/// The list that the service sends, and commands to its thread.
#[derive(Clone)]
struct ServiceState {
    version: u64,
    /// Response body with all entries.
    full_list: Bytes,
    /// Response body with the change from the previous version.
    change_list: Bytes,
    /// Makes the service close its connections and refuse new ones.
    is_down: bool,
    should_stop: bool,
}

/// Calls, full lists and body bytes that the service has answered or sent.
#[derive(Default)]
struct ServiceCounters {
    calls: AtomicU64,
    full_lists: AtomicU64,
    bytes: AtomicU64,
}

/// The test service and its thread.
struct Service {
    address: SocketAddr,
    thread: Option<JoinHandle<()>>,
    /// Thread ID in the kernel, to read its processor time.
    thread_id: i32,
    state: watch::Sender<ServiceState>,
    counters: Arc<ServiceCounters>,
}

/// Returns the response bodies of a version: the full list, and the change of its first entry.
fn encode_list(backends: usize, version: u64) -> (Bytes, Bytes) {
    let mut full_list = format!("{{\"rev\":{version},\"all\":true,\"targets\":[");
    let mut change_list = format!("{{\"rev\":{version},\"all\":false,\"targets\":[");
    for n in 0..backends {
        let (state, comma) = (if n == 0 { "draining" } else { "up" }, if n == 0 { "" } else { "," });
        let (a, b, c) = (n / 65_536, n / 256 % 256, n % 256);
        let entry = format!(
            "{{\"uid\":\"s-{n:08x}\",\"endpoint\":\"10.{a}.{b}.{c}:8081\",\"az\":\"{}\",\"model\":\"m2\",\
             \"pod_group\":{},\"state\":\"{state}\",\"capacity_hint\":1.0,\"boot_ms\":0}}",
            n % 12,
            n % 1700,
        );
        // Writing to a string does not fail.
        let _ = write!(full_list, "{comma}{entry}");
        if n == 0 {
            change_list.push_str(&entry);
        }
    }
    (Bytes::from(full_list + "]}"), Bytes::from(change_list + "]}"))
}

/// Responds to a call. A call with the current version waits for the next one, at most for its `wait_ms`.
async fn respond(
    mut state: watch::Receiver<ServiceState>,
    counters: &ServiceCounters,
    request: Request<Incoming>,
) -> io::Result<Response<Full<Bytes>>> {
    let query = request.uri().query().unwrap_or_default();
    let number = |name: &str| {
        let pairs = query.split('&').filter_map(|p| p.split_once('='));
        pairs.filter(|p| p.0 == name).find_map(|p| p.1.parse::<u64>().ok())
    };
    let after = number("after");
    if let Some(after) = after {
        let wait = Duration::from_millis(number("wait_ms").unwrap_or(0)).min(MAX_LONG_POLL);
        let changed = state.wait_for(|s| s.version > after || s.is_down || s.should_stop);
        // After a change and after the timeout, the response has the current version.
        let _ = tokio::time::timeout(wait, changed).await;
    }
    let current = state.borrow();
    if current.is_down || current.should_stop {
        return Err(io::ErrorKind::ConnectionReset.into());
    }
    counters.calls.fetch_add(1, Relaxed);
    let body = match after {
        Some(after) if after == current.version => {
            Bytes::from(format!("{{\"rev\":{after},\"all\":false,\"targets\":[]}}"))
        }
        Some(after) if after + 1 == current.version => current.change_list.clone(),
        _ => {
            counters.full_lists.fetch_add(1, Relaxed);
            current.full_list.clone()
        }
    };
    counters.bytes.fetch_add(body.len() as u64, Relaxed);
    Ok(Response::new(Full::new(body)))
}

/// Runs the service until it is told to stop. While it is down, it neither listens nor keeps connections.
async fn serve(
    address: SocketAddr,
    mut state: watch::Receiver<ServiceState>,
    counters: Arc<ServiceCounters>,
) -> io::Result<()> {
    loop {
        if state.wait_for(|s| !s.is_down || s.should_stop).await.is_err() || state.borrow().should_stop {
            return Ok(());
        }
        let listener = listen(address)?;
        loop {
            let (stream, _) = tokio::select! {
                accepted = listener.accept() => accepted?,
                _ = state.wait_for(|s| s.is_down || s.should_stop) => break,
            };
            let (mut stop_state, call_state, counters) = (state.clone(), state.clone(), counters.clone());
            spawn_local(async move {
                let service = service_fn(|request| respond(call_state.clone(), &counters, request));
                let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
                tokio::select! {
                    // An error means that the node closed the connection.
                    _ = connection => {}
                    _ = stop_state.wait_for(|s| s.is_down || s.should_stop) => {}
                }
            });
        }
    }
}

/// Listens on the service's address. The address can be bound again after the service was down.
fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Runs a future on a single-threaded runtime in the current thread.
fn run_local<F: Future<Output = ()>>(work: impl FnOnce() -> F) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, work());
    Ok(())
}

impl Service {
    fn start(backends: usize) -> Result<Service, MeasureError> {
        let io_error = |what: &str| {
            let what = what.to_owned();
            move |cause| MeasureError::Io { what, cause }
        };
        // Finds a free port, which the service's thread then binds.
        let listener = std::net::TcpListener::bind((SERVICE_IP, 0))
            .map_err(io_error("reserving a port for discovery"))?;
        let address = listener.local_addr().map_err(io_error("reserving a port for discovery"))?;
        drop(listener);
        let (full_list, change_list) = encode_list(backends, 1);
        let (state, receiver) = watch::channel(ServiceState {
            version: 1,
            full_list,
            change_list,
            is_down: false,
            should_stop: false,
        });
        let counters = Arc::new(ServiceCounters::default());
        let (id_sender, id_receiver) = mpsc::channel();
        let thread_counters = counters.clone();
        let thread = std::thread::Builder::new()
            .spawn(move || {
                let _ = id_sender.send(rustix::thread::gettid().as_raw_nonzero().get());
                // An error ends the service, which the nodes notice as failed calls.
                let _ = run_local(|| async {
                    let _ = serve(address, receiver, thread_counters).await;
                });
            })
            .map_err(io_error("starting a thread for discovery"))?;
        let thread_id =
            id_receiver.recv().map_err(|_| MeasureError::Unexpected("discovery's thread ended".into()))?;
        Ok(Service { address, thread: Some(thread), thread_id, state, counters })
    }

    /// Returns the processor time of the service's thread so far, in milliseconds.
    fn cpu_ms(&self) -> Result<f64, MeasureError> {
        let what = format!("/proc/self/task/{}/schedstat", self.thread_id);
        let text = std::fs::read_to_string(&what)
            .map_err(|cause| MeasureError::Io { what: what.clone(), cause })?;
        let cpu_ns = text.split(' ').next().and_then(|n| n.parse::<f64>().ok());
        Ok(cpu_ns.ok_or_else(|| MeasureError::Unexpected(format!("{what}: {text}")))? / 1e6)
    }
}

impl Drop for Service {
    fn drop(&mut self) {
        self.state.send_modify(|s| s.should_stop = true);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Commands to all simulated nodes. A node carries out a command when its count increases.
#[derive(Clone, Copy, Default)]
struct NodeCommands {
    /// Reconnects every node, as after a change of discovery's address.
    move_count: u64,
    /// Restarts every tenth node.
    restart_count: u64,
    should_stop: bool,
}

/// Version of a simulated node's list, and number of full lists that it received.
#[derive(Default)]
struct NodeProgress {
    version: AtomicU64,
    full_lists: AtomicU64,
}

/// The simulated nodes and their threads.
struct SimulatedNodes {
    progress: Arc<Vec<NodeProgress>>,
    failed_calls: Arc<AtomicU64>,
    commands: watch::Sender<NodeCommands>,
    threads: Vec<JoinHandle<()>>,
}

impl SimulatedNodes {
    fn start(
        count: usize,
        address: SocketAddr,
        mode: Discovery,
        seed: u64,
    ) -> Result<SimulatedNodes, MeasureError> {
        let (commands, command_updates) = watch::channel(NodeCommands::default());
        let mut nodes = SimulatedNodes {
            progress: Arc::new((0..count).map(|_| NodeProgress::default()).collect()),
            failed_calls: Arc::default(),
            commands,
            threads: Vec::new(),
        };
        for first in 0..NODE_THREADS {
            let (progress, failed_calls, command_updates) =
                (nodes.progress.clone(), nodes.failed_calls.clone(), command_updates.clone());
            let thread = std::thread::Builder::new().spawn(move || {
                let _ = run_local(|| async {
                    let started = Instant::now();
                    let nodes = (first..count).step_by(NODE_THREADS).map(|n| {
                        let (progress, failed_calls, command_updates) =
                            (progress.clone(), failed_calls.clone(), command_updates.clone());
                        spawn_local(async move {
                            let Some(progress) = progress.get(n) else { return };
                            let node = Node { number: n, count, address, mode, seed, started };
                            node.run(progress, &failed_calls, command_updates).await;
                        })
                    });
                    for node in nodes.collect::<Vec<_>>() {
                        let _ = node.await;
                    }
                });
            });
            let what = "starting a thread for simulated nodes".to_owned();
            nodes.threads.push(thread.map_err(|cause| MeasureError::Io { what, cause })?);
        }
        Ok(nodes)
    }

    fn full_lists(&self) -> Vec<u64> {
        self.progress.iter().map(|p| p.full_lists.load(Relaxed)).collect()
    }
}

impl Drop for SimulatedNodes {
    fn drop(&mut self) {
        self.commands.send_modify(|c| c.should_stop = true);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

/// One simulated node.
struct Node {
    number: usize,
    count: usize,
    address: SocketAddr,
    mode: Discovery,
    seed: u64,
    started: Instant,
}

impl Node {
    /// Returns the list synchronization of a node that has just started.
    fn list_sync(&self) -> ListSync {
        let mut list_sync = ListSync::new(self.mode, MUST_ASK_IN_MS, None, self.seed ^ self.number as u64);
        list_sync.set_wanted(true);
        list_sync
    }

    /// Calls discovery and carries out commands until it is told to stop.
    async fn run(
        &self,
        progress: &NodeProgress,
        failed_calls: &AtomicU64,
        mut command_updates: watch::Receiver<NodeCommands>,
    ) {
        let now = || self.started.elapsed().as_secs_f64() * 1000.0;
        // The nodes start one after the other. The cost of simultaneous calls is measured by the event
        // `moved`.
        sleep_ms(self.number as f64 * START_EVERY_MS).await;
        let mut list_sync = self.list_sync();
        let mut connection = None;
        let mut last = *command_updates.borrow_and_update();
        let mut failures = 0_u32;
        let mut rng = fastrand::Rng::with_seed(!self.seed ^ self.number as u64);
        loop {
            let next = list_sync.next(now());
            let step = async {
                match next {
                    NextStep::Idle => {
                        // The exponential back-off after failures, as in a node's decision logic.
                        let min_ms = (25.0 * self.count as f64).min(MUST_ASK_IN_MS / 2.0);
                        let max_ms = (4.0 * min_ms).clamp(MUST_ASK_IN_MS / 2.0, 2.0 * MUST_ASK_IN_MS);
                        let pause_ms = (min_ms * f64::from(1_u32 << failures.min(5))).min(max_ms);
                        sleep_ms(pause_ms * (0.5 + 0.5 * rng.f64())).await;
                        None
                    }
                    NextStep::Pause(ms) => {
                        sleep_ms(ms).await;
                        None
                    }
                    NextStep::Call(call) => {
                        let limit = Duration::from_secs_f64(call.timeout_ms / 1000.0);
                        let response = tokio::time::timeout(
                            limit,
                            call_discovery(self.address, &call, &mut connection),
                        )
                        .await;
                        Some((call, response.unwrap_or_else(|timeout| Err(timeout.into()))))
                    }
                }
            };
            let completed_call = tokio::select! {
                biased;
                changed = command_updates.changed() => {
                    let commands = *command_updates.borrow_and_update();
                    if changed.is_err() || commands.should_stop {
                        return;
                    }
                    if commands.move_count != last.move_count {
                        connection = None;
                        list_sync.discovery_changed(now(), self.mode);
                    }
                    if commands.restart_count != last.restart_count && self.number.is_multiple_of(10) {
                        connection = None;
                        list_sync = self.list_sync();
                    }
                    last = commands;
                    continue;
                }
                completed_call = step => completed_call,
            };
            match completed_call {
                None => list_sync.set_wanted(true),
                Some((call, Ok(response))) => {
                    failures = 0;
                    if list_sync.answered(now(), &call, response) {
                        progress.version.store(response.version, Relaxed);
                        progress.full_lists.fetch_add(u64::from(response.full), Relaxed);
                    }
                }
                Some((call, Err(_))) => {
                    connection = None;
                    failed_calls.fetch_add(1, Relaxed);
                    if list_sync.failed(now(), &call) {
                        failures += 1;
                    }
                }
            }
        }
    }
}

async fn sleep_ms(ms: f64) {
    tokio::time::sleep(Duration::from_secs_f64(ms.max(0.0) / 1000.0)).await;
}

/// Calls discovery and returns the version of the response and whether it is a full list. `connection` is
/// reused and kept open; the entries of the list are read and discarded.
///
/// # Errors
/// Returns the error of the connection, or `InvalidData` for a response that cannot be parsed.
async fn call_discovery(
    address: SocketAddr,
    call: &ListCall,
    connection: &mut Option<TcpStream>,
) -> io::Result<ListResponse> {
    let invalid = || io::Error::from(io::ErrorKind::InvalidData);
    let mut stream = match connection.take() {
        Some(stream) => stream,
        None => TcpStream::connect(address).await?,
    };
    let query = match call.request {
        ListRequest::FullList => String::new(),
        ListRequest::Changes { after, wait_ms } => format!("?after={after}&wait_ms={wait_ms}"),
    };
    stream
        .write_all(format!("GET /discovery/hosts{query} HTTP/1.1\r\nhost: {address}\r\n\r\n").as_bytes())
        .await?;
    let mut first = Vec::new();
    // Reads the head, and of the body the first 48 bytes, which contain the version and the kind of the
    // list.
    let (head_length, body_length) = loop {
        if stream.read_buf(&mut first).await? == 0 || first.len() > 16 * 1024 {
            return Err(invalid());
        }
        if let Some(end) = first.windows(4).position(|w| w == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&first[..end]).to_ascii_lowercase();
            let length = head.lines().find_map(|l| l.strip_prefix("content-length:"));
            let length: usize = length.and_then(|l| l.trim().parse().ok()).ok_or_else(invalid)?;
            if first.len() - end - 4 >= length.min(48) {
                break (end + 4, length);
            }
        }
    };
    let body = String::from_utf8_lossy(first.get(head_length..).unwrap_or_default()).into_owned();
    let version = body
        .strip_prefix("{\"rev\":")
        .and_then(|b| b.split(',').next()?.parse().ok())
        .ok_or_else(invalid)?;
    let is_full = body.get(..48).is_some_and(|b| b.contains("\"all\":true"));
    let mut remaining = body_length.checked_sub(first.len() - head_length).ok_or_else(invalid)?;
    let mut chunk = vec![0; remaining.min(128 * 1024)];
    while remaining > 0 {
        let max_bytes = remaining.min(chunk.len());
        match stream.read(&mut chunk[..max_bytes]).await? {
            0 => return Err(invalid()),
            n => remaining -= n,
        }
    }
    *connection = Some(stream);
    Ok(ListResponse { version, full: is_full, skipped: 0 })
}

/// Collects the measured values: unit and points of each series, by axis and cost.
#[derive(Default)]
struct SeriesRecorder(BTreeMap<(&'static str, String), (&'static str, Vec<Point>)>);

impl SeriesRecorder {
    /// Adds a value to a series.
    fn record(
        &mut self,
        axis: &'static str,
        cost: impl Into<String>,
        unit: &'static str,
        size: usize,
        value: f64,
    ) {
        let points = &mut self.0.entry((axis, cost.into())).or_insert_with(|| (unit, Vec::new())).1;
        match points.iter_mut().find(|p| p.size == size as f64) {
            Some(point) => point.values.push(value),
            None => points.push(Point { size: size as f64, values: vec![value] }),
        }
    }

    fn series(self) -> Vec<Series> {
        let to_series = |((axis, cost), (unit, points)): ((&str, String), (&str, Vec<Point>))| Series {
            role: "discovery".into(),
            cost,
            unit: unit.into(),
            axis: axis.into(),
            points,
        };
        self.0.into_iter().map(to_series).collect()
    }
}

/// A running service and its simulated nodes.
struct Experiment {
    // Dropped in this order: nodes whose service ends first would repeat calls to its address.
    nodes: SimulatedNodes,
    service: Service,
    watches: usize,
    backends: usize,
}

/// Counters of service and nodes at one time.
struct Snapshot {
    time: Instant,
    cpu_ms: f64,
    calls: u64,
    full_lists: u64,
    bytes: u64,
    failed_calls: u64,
}

impl Experiment {
    /// Starts a service and its nodes, and waits until all nodes have a list. Returns `None` if they do not
    /// have one in time, which is counted in the series `..._not_reached`.
    fn start(
        recorder: &mut SeriesRecorder,
        axis: &'static str,
        watches: usize,
        backends: usize,
        mode: Discovery,
        seed: u64,
    ) -> Result<Option<Experiment>, MeasureError> {
        let service = Service::start(backends)?;
        let nodes = SimulatedNodes::start(watches, service.address, mode, seed)?;
        let experiment = Experiment { nodes, service, watches, backends };
        let limit = MAX_WAIT + Duration::from_secs_f64(watches as f64 * START_EVERY_MS / 1000.0);
        let all_started =
            experiment.wait_until(limit, |_, progress| progress.version.load(Relaxed) > 0).is_some();
        let mode_name = if mode == Discovery::Pushed { "pushed" } else { "asked" };
        let prefix = if backends == MAX_BACKENDS && axis == "watches" { "largest_" } else { "" };
        let size = if axis == "watches" { watches } else { backends };
        let not_reached = if all_started { 0.0 } else { 1.0 };
        recorder.record(axis, format!("{prefix}first_{mode_name}_not_reached"), "count", size, not_reached);
        // Gives the last nodes time to start their watches.
        std::thread::sleep(Duration::from_millis(300));
        Ok(all_started.then_some(experiment))
    }

    fn snapshot(&self) -> Result<Snapshot, MeasureError> {
        Ok(Snapshot {
            time: Instant::now(),
            cpu_ms: self.service.cpu_ms()?,
            calls: self.service.counters.calls.load(Relaxed),
            full_lists: self.service.counters.full_lists.load(Relaxed),
            bytes: self.service.counters.bytes.load(Relaxed),
            failed_calls: self.nodes.failed_calls.load(Relaxed),
        })
    }

    /// Waits until a condition has held for each node once. Returns the time until then in milliseconds, or
    /// `None` after `limit`.
    fn wait_until(&self, limit: Duration, condition: impl Fn(usize, &NodeProgress) -> bool) -> Option<f64> {
        let started = Instant::now();
        let mut remaining = (0..self.watches).collect::<Vec<_>>();
        loop {
            remaining
                .retain(|n| self.nodes.progress.get(*n).is_some_and(|progress| !condition(*n, progress)));
            let elapsed = started.elapsed();
            if remaining.is_empty() {
                return Some(elapsed.as_secs_f64() * 1000.0);
            }
            if elapsed > limit {
                return None;
            }
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    /// Records the cost of an event, from `snapshot` until now, on an axis. `elapsed_ms` is the time until
    /// the event reached all affected nodes, or `None` if it did not.
    fn record(
        &self,
        recorder: &mut SeriesRecorder,
        axis: &'static str,
        event: &str,
        snapshot: &Snapshot,
        elapsed_ms: Option<f64>,
    ) -> Result<(), MeasureError> {
        let size = if axis == "watches" { self.watches } else { self.backends };
        let now = self.snapshot()?;
        let mut record =
            |what: &str, unit, value| recorder.record(axis, format!("{event}_{what}"), unit, size, value);
        if let Some(ms) = elapsed_ms {
            record("last", "ms", ms);
        }
        record("not_reached", "count", if elapsed_ms.is_some() { 0.0 } else { 1.0 });
        record("processor", "ms", now.cpu_ms - snapshot.cpu_ms);
        record("calls", "count", (now.calls - snapshot.calls) as f64);
        record("whole_lists", "count", (now.full_lists - snapshot.full_lists) as f64);
        record("bytes", "bytes", (now.bytes - snapshot.bytes) as f64);
        record("failed_calls", "count", (now.failed_calls - snapshot.failed_calls) as f64);
        Ok(())
    }

    /// Measures the cost of watches without changes over `duration_ms`.
    fn measure_idle(
        &self,
        recorder: &mut SeriesRecorder,
        name: &str,
        duration_ms: u64,
    ) -> Result<(), MeasureError> {
        let snapshot = self.snapshot()?;
        std::thread::sleep(Duration::from_millis(duration_ms));
        let now = self.snapshot()?;
        let seconds = now.time.duration_since(snapshot.time).as_secs_f64();
        let cores = (now.cpu_ms - snapshot.cpu_ms) / 1000.0 / seconds;
        let mut record = |what: &str, unit, value| {
            recorder.record("watches", format!("{name}_{what}"), unit, self.watches, value);
        };
        record("processor", "cores", cores);
        record("calls", "count_per_s", (now.calls - snapshot.calls) as f64 / seconds);
        record("bytes", "bytes_per_s", (now.bytes - snapshot.bytes) as f64 / seconds);
        Ok(())
    }

    /// Measures the event `change`: one entry of the list changes.
    fn measure_change(
        &self,
        recorder: &mut SeriesRecorder,
        axis: &'static str,
    ) -> Result<(), MeasureError> {
        let version = self.service.state.borrow().version + 1;
        let (full_list, change_list) = encode_list(self.backends, version);
        let snapshot = self.snapshot()?;
        self.service
            .state
            .send_modify(|s| (s.version, s.full_list, s.change_list) = (version, full_list, change_list));
        let elapsed_ms = self.wait_until(MAX_WAIT, |_, progress| progress.version.load(Relaxed) >= version);
        self.record(recorder, axis, "change", &snapshot, elapsed_ms)
    }

    /// Measures an event that is caused by `start` and after which every node selected by `is_affected`
    /// requests the full list.
    fn measure_resync(
        &self,
        recorder: &mut SeriesRecorder,
        axis: &'static str,
        event: &str,
        is_affected: impl Fn(usize) -> bool,
        start: impl FnOnce(),
    ) -> Result<(), MeasureError> {
        let previous_lists = self.nodes.full_lists();
        let snapshot = self.snapshot()?;
        start();
        let has_new_list = |n: usize, progress: &NodeProgress| {
            previous_lists
                .get(n)
                .is_some_and(|previous_lists| progress.full_lists.load(Relaxed) > *previous_lists)
        };
        let elapsed_ms =
            self.wait_until(MAX_WAIT, |n, progress| !is_affected(n) || has_new_list(n, progress));
        self.record(recorder, axis, event, &snapshot, elapsed_ms)
    }

    /// Measures the event that all nodes connect to a new address of discovery, as after SIGHUP.
    fn measure_move(
        &self,
        recorder: &mut SeriesRecorder,
        axis: &'static str,
        event: &str,
    ) -> Result<(), MeasureError> {
        self.measure_resync(
            recorder,
            axis,
            event,
            |_| true,
            || self.nodes.commands.send_modify(|c| c.move_count += 1),
        )
    }

    /// Measures the event `tenth`: every tenth node restarts.
    fn measure_tenth_restart(
        &self,
        recorder: &mut SeriesRecorder,
        axis: &'static str,
    ) -> Result<(), MeasureError> {
        let is_tenth = |n: usize| n.is_multiple_of(10);
        self.measure_resync(recorder, axis, "tenth", is_tenth, || {
            self.nodes.commands.send_modify(|c| c.restart_count += 1)
        })
    }

    /// Measures an outage of the service: the calls per second meanwhile, and the event `back`, its end.
    /// The nodes' pauses between calls reach their maximum well before one second.
    fn measure_outage(
        &self,
        recorder: &mut SeriesRecorder,
        axis: &'static str,
        outage: Duration,
    ) -> Result<(), MeasureError> {
        let failed_before = self.nodes.failed_calls.load(Relaxed);
        self.service.state.send_modify(|s| s.is_down = true);
        std::thread::sleep(outage);
        let failed_per_s =
            (self.nodes.failed_calls.load(Relaxed) - failed_before) as f64 / outage.as_secs_f64();
        let size = if axis == "watches" { self.watches } else { self.backends };
        recorder.record(axis, "away_calls", "count_per_s", size, failed_per_s);
        self.measure_resync(
            recorder,
            axis,
            "back",
            |_| true,
            || self.service.state.send_modify(|s| s.is_down = false),
        )
    }
}

/// True if the process may open enough file descriptors: both ends of a connection for each watch, both
/// ends of its previous connection while all nodes reconnect, and 300 for the rest of the process.
fn has_descriptors_for(watches: usize) -> bool {
    let max_open =
        rustix::process::getrlimit(rustix::process::Resource::Nofile).current.unwrap_or(u64::MAX);
    watches as u64 * 4 + 300 <= max_open
}

/// Measures the discovery service by the number of watches, with 1,000 backends, and by the number of
/// backends, with 100 watches.
///
/// # Errors
///
/// Returns an error if sockets or threads cannot be created, or if the processor time cannot be read.
pub fn measure(options: &MeasureOptions) -> Result<Vec<Series>, MeasureError> {
    let mut recorder = SeriesRecorder::default();
    let (watches, backends): (&[usize], &[usize]) = if options.quick {
        (&[10, 30, 100, 300], &[100, 300, 1000, 3000])
    } else {
        (&[100, 300, 1000, 2000, 4200], &[100, 300, 1000, 5000, 15_000, MAX_BACKENDS])
    };
    let repetitions = if options.quick { 1 } else { options.repetitions.clamp(1, 3) };
    let (idle_ms, outage_ms) = if options.quick { (500, 200) } else { (5000, 2000) };
    let outage = Duration::from_millis(outage_ms);
    for &count in watches.iter().filter(|w| has_descriptors_for(**w)) {
        for repetition in 0..repetitions {
            let seed = options.seed ^ (count as u64) << 20 ^ repetition as u64;
            let backend_count = if options.quick { 100 } else { BACKENDS_ON_WATCHES_AXIS };
            if repetition == 0
                && let Some(experiment) = Experiment::start(
                    &mut recorder,
                    "watches",
                    count,
                    backend_count,
                    Discovery::OnRequest,
                    seed,
                )?
            {
                // Waits until the first long polls have ended.
                std::thread::sleep(Duration::from_millis(if options.quick { 0 } else { 10_000 }));
                experiment.measure_idle(&mut recorder, "rest_asked", 2 * idle_ms)?;
            }
            let Some(experiment) =
                Experiment::start(&mut recorder, "watches", count, backend_count, Discovery::Pushed, seed)?
            else {
                continue;
            };
            experiment.measure_idle(&mut recorder, "rest_pushed", idle_ms)?;
            experiment.measure_change(&mut recorder, "watches")?;
            experiment.measure_move(&mut recorder, "watches", "moved")?;
            experiment.measure_tenth_restart(&mut recorder, "watches")?;
            experiment.measure_outage(&mut recorder, "watches", outage)?;
        }
    }
    for &count in backends {
        for repetition in 0..repetitions {
            let seed = options.seed ^ (count as u64) << 20 ^ repetition as u64;
            let started = Instant::now();
            let (full_list, _) = encode_list(count, 1);
            recorder.record(
                "backends",
                "list_written",
                "ms",
                count,
                started.elapsed().as_secs_f64() * 1000.0,
            );
            recorder.record("backends", "list_bytes", "bytes", count, full_list.len() as f64);
            let watch_count = if options.quick { 10 } else { WATCHES_ON_BACKENDS_AXIS };
            let Some(experiment) =
                Experiment::start(&mut recorder, "backends", watch_count, count, Discovery::Pushed, seed)?
            else {
                continue;
            };
            experiment.measure_change(&mut recorder, "backends")?;
            experiment.measure_move(&mut recorder, "backends", "moved")?;
            experiment.measure_outage(&mut recorder, "backends", outage)?;
        }
    }
    if !options.quick {
        measure_largest_list(&mut recorder, options.seed)?;
    }
    Ok(recorder.series())
}

/// Sends the largest list to an increasing number of watches, to find the number at which calls time out
/// before the list is complete.
fn measure_largest_list(recorder: &mut SeriesRecorder, seed: u64) -> Result<(), MeasureError> {
    let sizes = [3, 10, 30, 100, 200, 300, 500, 1000, 1500, 2500, 4200];
    for watches in sizes.into_iter().filter(|w| has_descriptors_for(*w)) {
        if let Some(experiment) =
            Experiment::start(recorder, "watches", watches, MAX_BACKENDS, Discovery::Pushed, seed)?
        {
            experiment.measure_move(recorder, "watches", "largest")?;
        }
    }
    Ok(())
}
