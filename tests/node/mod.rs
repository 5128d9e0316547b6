//! Helpers for tests of the node: they start the real binary, with fake backends, a fake discovery service and
//! clients on loopback addresses.
#![allow(dead_code)]

use serde_json::{Value, json};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::process::{Child, ChildStderr, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Time that a test waits for an expected event before it fails.
pub const MAX_WAIT: Duration = Duration::from_secs(10);

/// Waits until `done` returns true.
///
/// # Panics
///
/// If that takes longer than `MAX_WAIT`; `what` names the expected event.
pub fn wait_for(what: &str, mut done: impl FnMut() -> bool) {
    let end = Instant::now() + MAX_WAIT;
    while !done() {
        assert!(Instant::now() < end, "timed out waiting for: {what}");
        thread::sleep(Duration::from_millis(2));
    }
}

/// State of a socket that is connecting, as in `/proc/net/tcp`.
pub const SYN_SENT: &str = "02";

/// True if a socket that is connected or connecting to `remote` is in `state`.
pub fn has_tcp_socket(remote: SocketAddr, state: &str) -> bool {
    let sockets = std::fs::read_to_string("/proc/net/tcp").unwrap();
    sockets.contains(&format!(":{:04X} {state}", remote.port()))
}

/// True if a socket with these addresses holds received bytes that were not read yet. None stands for any address.
pub fn has_unread_bytes(local: Option<SocketAddr>, remote: Option<SocketAddr>) -> bool {
    let matches = |field: &str, address: Option<SocketAddr>| match address {
        Some(SocketAddr::V4(a)) => {
            field == format!("{:08X}:{:04X}", u32::from_le_bytes(a.ip().octets()), a.port())
        }
        _ => true,
    };
    let sockets = std::fs::read_to_string("/proc/net/tcp").unwrap();
    sockets.lines().map(|l| l.split_whitespace().collect::<Vec<_>>()).any(|fields| {
        fields.len() > 4
            && matches(fields[1], local)
            && matches(fields[2], remote)
            && !fields[4].ends_with(":00000000")
    })
}

/// Returns the lines of `/proc/net/tcp` for sockets with these addresses, split into fields.
fn tcp_sockets(local: SocketAddr, remote: SocketAddr) -> Vec<Vec<String>> {
    let field = |address: SocketAddr| match address {
        SocketAddr::V4(a) => format!("{:08X}:{:04X}", u32::from_le_bytes(a.ip().octets()), a.port()),
        SocketAddr::V6(a) => panic!("{a}: the tests use IPv4 alone"),
    };
    let (local, remote) = (field(local), field(remote));
    let sockets = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let lines = sockets.lines().map(|l| l.split_whitespace().map(str::to_owned).collect::<Vec<_>>());
    lines.filter(|fields| fields.len() > 4 && fields[1] == local && fields[2] == remote).collect()
}

/// True if a connection between these addresses is established.
pub fn has_tcp_connection(local: SocketAddr, remote: SocketAddr) -> bool {
    const ESTABLISHED: &str = "01";
    tcp_sockets(local, remote).iter().any(|fields| fields[3] == ESTABLISHED)
}

/// True if a socket with these addresses has sent bytes that the other side's kernel has not acknowledged.
pub fn has_unacknowledged_bytes(local: SocketAddr, remote: SocketAddr) -> bool {
    tcp_sockets(local, remote).iter().any(|fields| !fields[4].starts_with("00000000:"))
}

/// Returns an address that nothing listens on, in a part of the loopback network that only this process uses.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let n = NEXT.fetch_add(1, Ordering::Relaxed);
    let pid = std::process::id();
    let ip = Ipv4Addr::new(127, 64 + (pid % 64) as u8, (pid / 64 % 256) as u8, (n % 250 + 1) as u8);
    TcpListener::bind((ip, 0)).unwrap().local_addr().unwrap()
}

/// An HTTP request or response as received.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    /// Reads one message; None if the stream ends before the message does, or the message is malformed.
    pub fn read(stream: &mut impl BufRead) -> Option<Message> {
        let mut message = Message::default();
        loop {
            let mut line = String::new();
            if stream.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let line = line.trim_end();
            if message.first_line.is_empty() {
                message.first_line = line.to_owned();
            } else if line.is_empty() {
                break;
            } else {
                let (name, value) = line.split_once(':')?;
                message.headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
            }
        }
        let length = message.headers.get("content-length").and_then(|l| l.parse().ok());
        if message.header("transfer-encoding").is_some_and(|t| t.contains("chunked")) {
            message.body = Message::read_chunks(stream)?;
        } else if length.is_none() && message.first_line.starts_with("HTTP/") {
            // The end of the connection ends a response without a length.
            stream.read_to_end(&mut message.body).ok()?;
        } else {
            message.body = vec![0; length.unwrap_or(0)];
            stream.read_exact(&mut message.body).ok()?;
        }
        Some(message)
    }

    fn read_chunks(stream: &mut impl BufRead) -> Option<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let mut line = String::new();
            stream.read_line(&mut line).ok()?;
            let size = usize::from_str_radix(line.split(';').next()?.trim(), 16).ok()?;
            let start = body.len();
            body.resize(start + size, 0);
            stream.read_exact(&mut body[start..]).ok()?;
            line.clear();
            stream.read_line(&mut line).ok()?;
            if size == 0 {
                // Trailers end with an empty line.
                while !line.trim_end().is_empty() {
                    line.clear();
                    stream.read_line(&mut line).ok()?;
                }
                return Some(body);
            }
        }
    }

    /// Returns the value of a header, whose name is given in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    /// Returns the status code of a response, or 0 if it has none.
    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// What a fake backend does with a request.
#[derive(Clone, Debug)]
pub enum Action {
    /// Sends the bytes and keeps the connection open.
    Send(Vec<u8>),
    /// Sends the bytes and closes the connection.
    SendAndClose(Vec<u8>),
    /// Sends the bytes and resets the connection.
    SendAndReset(Vec<u8>),
    /// Sends the bytes and closes the connection 50 ms later, when the other side has read them.
    SendAndCloseLater(Vec<u8>),
    /// Keeps the connection open and sends nothing.
    Silent,
    /// Sends the parts, each after a pause in milliseconds, and keeps the connection open.
    Parts(Vec<(u64, Vec<u8>)>),
    /// Sends the parts, each after a pause in milliseconds, and closes the connection.
    PartsAndClose(Vec<(u64, Vec<u8>)>),
}

/// Sends parts, each after its pause in milliseconds. Returns false if the connection breaks.
fn write_parts(stream: &mut TcpStream, parts: &[(u64, Vec<u8>)]) -> bool {
    parts.iter().all(|(pause_ms, part)| {
        thread::sleep(Duration::from_millis(*pause_ms));
        stream.write_all(part).is_ok()
    })
}

/// Returns the bytes of a response. Each line of `headers` ends with CR LF.
pub fn http_response(status: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes =
        format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n{headers}\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// A 200 response with a body.
pub fn ok(body: &[u8]) -> Action {
    Action::Send(http_response("200 OK", "", body))
}

/// Length of the body of [`slow_response`].
pub const SLOW_RESPONSE_BYTES: usize = 300_000;

/// A long 200 response that begins at once and ends 2.5 s later.
pub fn slow_response() -> Action {
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {SLOW_RESPONSE_BYTES}\r\n\r\n").into_bytes();
    let first = vec![b'y'; SLOW_RESPONSE_BYTES / 3];
    let rest = vec![b'y'; SLOW_RESPONSE_BYTES - first.len()];
    Action::Parts(vec![(0, [head, first].concat()), (2500, rest)])
}

type Handler = Arc<dyn Fn(usize, &Message) -> Action + Send + Sync>;

/// Requests and connections that fake backends have received.
#[derive(Clone, Default)]
pub struct Traffic {
    pub requests: Arc<Mutex<Vec<Message>>>,
    pub connections_opened: Arc<AtomicU32>,
    pub connections_closed: Arc<AtomicU32>,
}

impl Traffic {
    pub fn request_count(&self) -> usize {
        self.requests.lock().unwrap().len()
    }

    pub fn open_connections(&self) -> u32 {
        self.connections_opened.load(Ordering::SeqCst) - self.connections_closed.load(Ordering::SeqCst)
    }
}

/// Starts a fake backend. `handler` decides what it does with each request; the first argument is the number of the
/// request among all that `traffic` counts, from 0.
pub fn start_backend(
    traffic: &Traffic,
    handler: impl Fn(usize, &Message) -> Action + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let address = listener.local_addr().unwrap();
    serve_backend(listener, traffic, Arc::new(handler));
    address
}

/// Starts `count` fake backends with the same handler.
pub fn start_backends(
    count: usize,
    traffic: &Traffic,
    handler: impl Fn(usize, &Message) -> Action + Send + Sync + 'static,
) -> Vec<SocketAddr> {
    let handler: Handler = Arc::new(handler);
    (0..count)
        .map(|_| {
            let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
            let address = listener.local_addr().unwrap();
            serve_backend(listener, traffic, handler.clone());
            address
        })
        .collect()
}

fn serve_backend(listener: TcpListener, traffic: &Traffic, handler: Handler) {
    let traffic = traffic.clone();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(stream) = stream else { return };
            let (traffic, handler) = (traffic.clone(), handler.clone());
            traffic.connections_opened.fetch_add(1, Ordering::SeqCst);
            thread::spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                let mut stream = stream;
                while let Some(message) = Message::read(&mut reader) {
                    let n = {
                        let mut requests = traffic.requests.lock().unwrap();
                        requests.push(message.clone());
                        requests.len() - 1
                    };
                    match handler(n, &message) {
                        Action::Send(bytes) => drop(stream.write_all(&bytes)),
                        Action::SendAndClose(bytes) => {
                            let _ = stream.write_all(&bytes);
                            break;
                        }
                        Action::SendAndReset(bytes) => {
                            let _ = stream.write_all(&bytes);
                            // The bytes must arrive before the reset, which would discard them.
                            thread::sleep(Duration::from_millis(50));
                            let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                            break;
                        }
                        Action::SendAndCloseLater(bytes) => {
                            let _ = stream.write_all(&bytes);
                            thread::sleep(Duration::from_millis(50));
                            break;
                        }
                        Action::Silent => {}
                        Action::Parts(parts) => {
                            if !write_parts(&mut stream, &parts) {
                                break;
                            }
                        }
                        Action::PartsAndClose(parts) => {
                            write_parts(&mut stream, &parts);
                            break;
                        }
                    }
                }
                drop((stream, reader));
                traffic.connections_closed.fetch_add(1, Ordering::SeqCst);
            });
        }
    });
}

/// Returns the entry of a backend in a list of the discovery service.
pub fn target(uid: &str, address: SocketAddr, state: &str) -> Value {
    json!({"uid": uid, "endpoint": address.to_string(), "az": "a", "model": "m", "pod_group": 0,
           "state": state, "capacity_hint": 1.0, "boot_ms": 0})
}

/// Returns entries for `addresses`, all up, with the IDs `s-0`, `s-1` and so on.
pub fn all_up(addresses: &[SocketAddr]) -> Vec<Value> {
    addresses.iter().enumerate().map(|(n, a)| target(&format!("s-{n}"), *a, "up")).collect()
}

#[derive(Default)]
struct ListState {
    rev: u64,
    targets: Vec<Value>,
    /// Entries that the last version has changed, if it is sent as changes.
    changes: Option<Vec<Value>>,
    is_silent: bool,
    is_immediate: bool,
    is_down: bool,
    is_closed: bool,
    calls: Vec<String>,
}

/// A fake discovery service that sends the full list unless it is told otherwise.
#[derive(Clone)]
pub struct Discovery {
    state: Arc<(Mutex<ListState>, Condvar)>,
    pub address: SocketAddr,
}

impl Discovery {
    pub fn start(targets: Vec<Value>) -> Discovery {
        Discovery::start_at(loopback(0), targets)
    }

    pub fn start_at(address: SocketAddr, targets: Vec<Value>) -> Discovery {
        let listener = TcpListener::bind(address).unwrap();
        let address = listener.local_addr().unwrap();
        let state = ListState { rev: 1, targets, ..ListState::default() };
        let discovery = Discovery { state: Arc::new((Mutex::new(state), Condvar::new())), address };
        let own = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let own = own.clone();
                if !own.state.0.lock().unwrap().is_closed {
                    thread::spawn(move || own.serve_connection(stream.unwrap()));
                }
            }
        });
        discovery
    }

    fn serve_connection(&self, mut stream: TcpStream) {
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some(message) = Message::read(&mut reader) {
            let number = |name: &str| {
                let (_, rest) = message.first_line.split_once(name)?;
                rest.split(|c: char| !c.is_ascii_digit()).next()?.parse::<u64>().ok()
            };
            let after = number("after=").unwrap_or(0);
            let end = Instant::now() + Duration::from_millis(number("wait_ms=").unwrap_or(0));
            let (lock, changed) = &*self.state;
            let mut state = lock.lock().unwrap();
            state.calls.push(message.first_line.clone());
            while state.is_silent
                || (!state.is_down && !state.is_immediate && state.rev <= after && Instant::now() < end)
            {
                state = changed.wait_timeout(state, Duration::from_millis(50)).unwrap().0;
            }
            let has_changed = state.rev > after;
            let changes = state.changes.clone().filter(|_| state.rev == after + 1);
            let all = has_changed && changes.is_none();
            let targets = if all { state.targets.clone() } else { changes.unwrap_or_default() };
            let body = json!({"rev": state.rev, "all": all, "targets": targets}).to_string();
            let status = if state.is_down { "503 Service Unavailable" } else { "200 OK" };
            drop(state);
            if stream.write_all(&http_response(status, "", body.as_bytes())).is_err() {
                return;
            }
        }
    }

    /// Replaces the list under a new version.
    pub fn set_targets(&self, targets: Vec<Value>) {
        let mut state = self.state.0.lock().unwrap();
        state.rev += 1;
        state.targets = targets;
        state.changes = None;
        self.state.1.notify_all();
    }

    /// Replaces entries, or adds them, under a new version, which is sent as changes.
    pub fn change_targets(&self, changes: Vec<Value>) {
        let mut state = self.state.0.lock().unwrap();
        state.rev += 1;
        state.targets.retain(|target| changes.iter().all(|change| change["uid"] != target["uid"]));
        state.targets.extend(changes.iter().filter(|change| change["state"] != "removed").cloned());
        state.changes = Some(changes);
        self.state.1.notify_all();
    }

    /// Answers all calls with 503, open watches included, while `is_down`.
    pub fn set_down(&self, is_down: bool) {
        self.state.0.lock().unwrap().is_down = is_down;
        self.state.1.notify_all();
    }

    /// Closes new connections at once while `is_closed`. Open ones are served.
    pub fn set_closed(&self, is_closed: bool) {
        self.state.0.lock().unwrap().is_closed = is_closed;
    }

    /// Leaves all calls unanswered while `is_silent`.
    pub fn set_silent(&self, is_silent: bool) {
        self.state.0.lock().unwrap().is_silent = is_silent;
        self.state.1.notify_all();
    }

    /// Answers watches at once, even if nothing has changed, while `is_immediate`.
    pub fn set_immediate(&self, is_immediate: bool) {
        self.state.0.lock().unwrap().is_immediate = is_immediate;
    }

    /// Returns the number of calls so far.
    pub fn call_count(&self) -> usize {
        self.state.0.lock().unwrap().calls.len()
    }

    /// Waits for the first call and returns its request line.
    pub fn first_call(&self) -> String {
        wait_for("a call", || self.call_count() > 0);
        self.state.0.lock().unwrap().calls[0].clone()
    }
}

/// Returns the settings of a node, as they stand in its configuration file.
pub fn settings() -> Value {
    json!({
        "areas": ["a", "b"], "zone": "a", "instances": 1, "slotNo": 0, "tickMs": 5.0,
        "membershipMode": "pushed",
        "classes": [
            {"name": "page", "semantics": "idempotent", "objectiveMs": 1500, "hardLimitMs": 4000, "value": 5},
            {"name": "bid", "semantics": "at_most_once", "objectiveMs": 500, "hardLimitMs": 900, "value": 10},
            {"name": "pay", "semantics": "deduplicated", "group": "all", "keyTtlMs": 5000,
             "objectiveMs": 1500, "hardLimitMs": 4000, "value": 10},
        ],
        "limits": {"attemptsCap": 4, "connIdleMs": 15000.0, "connectTimeoutMs": 300.0, "mayCancel": true,
                   "maxRetryAfterMs": 2000.0, "maxStreams": 1, "openCap": 20000, "peerMessages": true,
                   "probing": true, "secondCopies": true},
        "rules": {"coldMs": 22000.0, "startCapacity": 0.14, "fallMultiple": 3.0, "fallMs": 1500.0,
                  "drainGraceMs": 500.0, "mustAskInMs": 10000.0}
    })
}

/// A running node process, which is killed when the value is dropped.
pub struct Node {
    pub address: SocketAddr,
    pub operator: SocketAddr,
    child: Child,
    config_file: std::path::PathBuf,
    config: Value,
    log: Arc<Mutex<String>>,
    log_reader: Option<thread::JoinHandle<()>>,
}

/// Collects the log that a child process writes to its standard error.
fn read_log(child: &mut Child) -> (Arc<Mutex<String>>, Option<thread::JoinHandle<()>>) {
    let log = Arc::new(Mutex::new(String::new()));
    let (lines, shared_log) = (BufReader::new(child.stderr.take().unwrap()), log.clone());
    let log_reader = thread::spawn(move || {
        for line in lines.lines().map_while(Result::ok) {
            let mut log = shared_log.lock().unwrap();
            log.push_str(&line);
            log.push('\n');
        }
    });
    (log, Some(log_reader))
}

impl Node {
    /// Starts a node and waits until `/up` returns 200. `change` edits its configuration.
    pub fn start(discovery: SocketAddr, change: impl FnOnce(&mut Value)) -> Node {
        let node = Node::launch(discovery, change, "exec \"$0\"");
        wait_for("/up is 200", || node.up_status() == 200);
        node
    }

    /// Starts a node by a shell command in which `$0` is the program. `change` edits its configuration.
    pub fn launch(discovery: SocketAddr, change: impl FnOnce(&mut Value), command: &str) -> Node {
        Node::start_child(discovery, change, command, true).0
    }

    fn start_child(
        discovery: SocketAddr,
        change: impl FnOnce(&mut Value),
        command: &str,
        read_log_lines: bool,
    ) -> (Node, Option<ChildStderr>) {
        let (address, operator) = (free_address(), free_address());
        let mut config = json!({
            "name": "n0", "listen": address.to_string(), "operator": operator.to_string(), "discovery": discovery.to_string(),
            "seed": "8c1f30d27a5be964", "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "known": {"rev": 0, "all": true, "targets": []}, "settings": settings()
        });
        change(&mut config);
        let name = format!("daleturn-node-test-{}-{}.json", std::process::id(), address.ip());
        let config_file = std::env::temp_dir().join(name);
        std::fs::write(&config_file, config.to_string()).unwrap();
        let mut child = Command::new("/bin/sh")
            .args(["-c", command, env!("CARGO_BIN_EXE_daleturn-node")])
            .env("LB_CONFIG", &config_file)
            .env("LB_DISCOVERY", discovery.to_string())
            .env_remove("TMPDIR")
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let unread_log = if read_log_lines { None } else { child.stderr.take() };
        let (log, log_reader) = if read_log_lines { read_log(&mut child) } else { Default::default() };
        (Node { address, operator, child, config_file, config, log, log_reader }, unread_log)
    }

    /// Starts a node with an options file (`daleturn.toml`). Unless `read_log_lines` is set its log stays unread, and
    /// the pipe is returned.
    pub fn launch_with_options(
        discovery: SocketAddr,
        options: &std::path::Path,
        read_log_lines: bool,
    ) -> (Node, Option<ChildStderr>) {
        let command = format!("DALETURN_CONFIG='{}' exec \"$0\"", options.display());
        Node::start_child(discovery, |_| {}, &command, read_log_lines)
    }

    /// Starts the node's next process, as an upgrade does, with an operators' address of its own.
    pub fn start_successor(&self, command: &str) -> Node {
        let operator = free_address();
        let mut child = Command::new("/bin/sh")
            .args(["-c", command, env!("CARGO_BIN_EXE_daleturn-node")])
            .env("LB_CONFIG", &self.config_file)
            .env("LB_OPERATOR", operator.to_string())
            .env_remove("TMPDIR")
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let (config_file, config) = (self.config_file.clone(), self.config.clone());
        let (log, log_reader) = read_log(&mut child);
        Node { address: self.address, operator, child, config_file, config, log, log_reader }
    }

    /// Returns the process ID.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Ends the process by SIGKILL.
    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }

    /// Returns the answer to an operators' call, or None if the node cannot be reached.
    pub fn try_call(&self, call: &str) -> Option<String> {
        try_call_operator(self.operator, format!("{call}\n").as_bytes())
    }

    /// Returns the answer to an operators' call.
    pub fn call(&self, call: &str) -> String {
        call_operator(self.operator, format!("{call}\n").as_bytes())
    }

    /// Returns the status of `/up`, or 0 if there is no response.
    pub fn up_status(&self) -> u16 {
        try_fetch(self.address, b"GET /up HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n")
            .map_or(0, |m| m.status())
    }

    /// Returns the number of open descriptors of the process.
    pub fn open_descriptors(&self) -> usize {
        std::fs::read_dir(format!("/proc/{}/fd", self.child.id())).unwrap().count()
    }

    /// True once the process runs the node's program.
    pub fn runs_program(&self) -> bool {
        let program = std::fs::canonicalize(env!("CARGO_BIN_EXE_daleturn-node")).unwrap();
        std::fs::read_link(format!("/proc/{}/exe", self.child.id())).is_ok_and(|running| running == program)
    }

    /// Returns the peak resident memory of the process, in bytes.
    pub fn peak_memory_bytes(&self) -> usize {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id())).unwrap();
        let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).unwrap();
        line.trim().trim_end_matches(" kB").parse::<usize>().unwrap() * 1024
    }

    /// Returns the CPU time that the process has used, in clock ticks.
    pub fn cpu_ticks(&self) -> u64 {
        let stat = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id())).unwrap();
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap().split_whitespace().collect();
        fields[11].parse::<u64>().unwrap() + fields[12].parse::<u64>().unwrap()
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Writes a configuration with this discovery address, or an unreadable one for None, and sends SIGHUP.
    pub fn set_discovery(&mut self, discovery: Option<SocketAddr>) {
        let text = discovery.map(|address| {
            self.config["discovery"] = address.to_string().into();
            self.config.to_string()
        });
        std::fs::write(&self.config_file, text.unwrap_or_else(|| "{".to_owned())).unwrap();
        self.signal("-HUP");
    }

    fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([signal, &pid]).status().unwrap().success());
    }

    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }

    /// Waits until the process exits.
    pub fn wait_for_exit(&mut self) -> ExitStatus {
        let mut status = None;
        wait_for("the node ends", || {
            status = self.child.try_wait().unwrap();
            status.is_some()
        });
        status.unwrap()
    }

    /// Returns the whole log. The process must have exited.
    pub fn log(&mut self) -> String {
        drop(self.log_reader.take().map(thread::JoinHandle::join));
        self.log.lock().unwrap().clone()
    }

    /// Returns the number of log lines so far that contain `text`.
    pub fn count_log_lines(&self, text: &str) -> usize {
        self.log.lock().unwrap().lines().filter(|l| l.contains(text)).count()
    }

    /// Returns the configuration that the node was last given by `start`, `launch` or `set_discovery`.
    pub fn config(&self) -> Value {
        self.config.clone()
    }

    /// Writes the configuration file, sends SIGHUP and waits until the node logs that it took the file, or refused it.
    pub fn replace_config(&mut self, text: &str, is_taken: bool) {
        let line = if is_taken { "config.taken" } else { "config.refused" };
        let before = self.count_log_lines(line);
        std::fs::write(&self.config_file, text).unwrap();
        self.signal("-HUP");
        wait_for(line, || self.count_log_lines(line) > before);
    }

    /// Stops the process (SIGSTOP). The kernel still accepts connections and receives bytes for it.
    pub fn suspend(&self) {
        self.signal("-STOP");
        let stat = format!("/proc/{}/stat", self.child.id());
        wait_for("the process is stopped", || std::fs::read_to_string(&stat).unwrap().contains(") T "));
    }

    /// Lets a stopped process continue (SIGCONT).
    pub fn resume(&self) {
        self.signal("-CONT");
    }

    /// Sends SIGHUP.
    pub fn send_sighup(&self) {
        self.signal("-HUP");
    }

    /// Returns the path of the configuration file.
    pub fn config_path(&self) -> String {
        self.config_file.display().to_string()
    }

    /// Writes the configuration file without a signal.
    pub fn write_config(&self, text: &str) {
        std::fs::write(&self.config_file, text).unwrap();
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config_file);
    }
}

/// A connection of a client.
pub struct Client {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> Client {
        Client::try_connect(address).unwrap()
    }

    pub fn try_connect(address: SocketAddr) -> Option<Client> {
        let stream = TcpStream::connect_timeout(&address, MAX_WAIT).ok()?;
        stream.set_read_timeout(Some(MAX_WAIT)).unwrap();
        let reader = BufReader::new(stream.try_clone().unwrap());
        Some(Client { stream, reader })
    }

    /// Sends bytes. Returns false if the connection is broken.
    pub fn send(&mut self, bytes: &[u8]) -> bool {
        self.stream.write_all(bytes).is_ok()
    }

    /// Reads a response; None if the connection ends before the response is complete.
    pub fn read_response(&mut self) -> Option<Message> {
        Message::read(&mut self.reader)
    }

    /// Waits for the first bytes of a response, which remain to be read. Returns false if none come.
    pub fn wait_for_data(&mut self) -> bool {
        self.reader.fill_buf().is_ok_and(|bytes| !bytes.is_empty())
    }

    /// Reads an interim response, which has no body, and returns its first line.
    pub fn read_interim_response(&mut self) -> Option<String> {
        let (mut first, mut line) = (String::new(), String::from("-"));
        self.reader.read_line(&mut first).ok()?;
        while !line.trim_end().is_empty() {
            line.clear();
            self.reader.read_line(&mut line).ok()?;
        }
        Some(first.trim_end().to_owned())
    }

    /// True if the node has closed the connection already. A client that keeps connections checks this before it
    /// reuses one.
    pub fn is_closed_by_peer(&self) -> bool {
        self.stream.set_nonblocking(true).unwrap();
        let peeked = self.stream.peek(&mut [0]);
        self.stream.set_nonblocking(false).unwrap();
        match peeked {
            Ok(n) => n == 0,
            Err(e) => e.kind() != std::io::ErrorKind::WouldBlock,
        }
    }

    /// Waits until the node closes the connection. Returns false if it sends data or `MAX_WAIT` passes.
    pub fn wait_for_close(&mut self) -> bool {
        match self.reader.read(&mut [0]) {
            Ok(n) => n == 0,
            Err(e) => e.kind() == std::io::ErrorKind::ConnectionReset,
        }
    }

    /// Sends a request and returns the response.
    pub fn fetch(&mut self, bytes: &[u8]) -> Message {
        assert!(self.send(bytes));
        self.read_response().expect("a response")
    }
}

/// A backend whose accept queue is full: a new connection stays in its handshake until the queued one is accepted.
pub struct StalledBackend {
    socket: socket2::Socket,
    pub address: SocketAddr,
    filler: Client,
}

impl StalledBackend {
    pub fn new() -> StalledBackend {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.bind(&loopback(0).into()).unwrap();
        socket.listen(0).unwrap();
        let address = socket.local_addr().unwrap().as_socket().unwrap();
        StalledBackend { filler: Client::connect(address), socket, address }
    }

    pub fn wait_for_handshake(&self) {
        wait_for("a handshake is in progress", || has_tcp_socket(self.address, SYN_SENT));
    }

    /// Lets the handshake complete and returns all bytes that the node then sends on that connection. Returns an
    /// empty string if the node has given up the handshake by then, which happens when a loaded machine delays this
    /// call.
    pub fn accept_and_read(self) -> String {
        let (first, _) = self.socket.accept().unwrap();
        drop((first, self.filler));
        self.socket.set_read_timeout(Some(MAX_WAIT)).unwrap();
        let (mut second, _) = match self.socket.accept() {
            Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {
                assert!(
                    !has_tcp_socket(self.address, SYN_SENT),
                    "a handshake is in progress and does not end"
                );
                return String::new();
            }
            accepted => accepted.unwrap(),
        };
        second.set_read_timeout(Some(MAX_WAIT)).unwrap();
        let mut bytes = Vec::new();
        second.read_to_end(&mut bytes).expect("the node closes the connection");
        String::from_utf8_lossy(&bytes).into_owned()
    }
}

/// Sends bytes to an operators' address and returns the answer. The bytes need not be a valid call.
pub fn call_operator(address: SocketAddr, bytes: &[u8]) -> String {
    try_call_operator(address, bytes).unwrap()
}

/// Sends bytes to an operators' address and returns the answer, or None if nothing listens there or the connection
/// breaks.
pub fn try_call_operator(address: SocketAddr, bytes: &[u8]) -> Option<String> {
    let mut stream = TcpStream::connect_timeout(&address, MAX_WAIT).ok()?;
    stream.set_read_timeout(Some(MAX_WAIT)).unwrap();
    stream.write_all(bytes).ok()?;
    stream.shutdown(std::net::Shutdown::Write).ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).ok()?;
    Some(answer)
}

/// Creates an empty directory for one test.
pub fn scratch_dir(name: &str) -> std::path::PathBuf {
    let dir = std::env::temp_dir().join(format!("daleturn-node-test-{}-{name}", std::process::id()));
    let _ = std::fs::remove_dir_all(&dir);
    std::fs::create_dir_all(&dir).unwrap();
    dir
}

/// Sends a request on a new connection. Returns None if there is no complete response.
pub fn try_fetch(address: SocketAddr, bytes: &[u8]) -> Option<Message> {
    let mut client = Client::try_connect(address)?;
    client.send(bytes);
    client.read_response()
}

/// Sends a request on a new connection and returns the response.
pub fn fetch(address: SocketAddr, bytes: &[u8]) -> Message {
    try_fetch(address, bytes).expect("a response")
}

/// Returns the bytes of a request of a class whose client waits for `expires_ms`.
pub fn request(class: &str, expires_ms: u64) -> Vec<u8> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let n = NEXT.fetch_add(1, Ordering::Relaxed);
    let head = format!(
        "Host: api.internal\r\nX-Trace-Id: {n:016x}\r\nX-Qos: {class}\r\nX-Expires-In-Ms: {expires_ms}\r\nX-Object: o{n}\r\n"
    );
    match class {
        "page" => format!("GET /api HTTP/1.1\r\n{head}\r\n"),
        "pay" => {
            format!(
                "POST /api HTTP/1.1\r\n{head}Idempotency-Key: {n:032x}\r\nContent-Length: 4\r\n\r\nbody"
            )
        }
        _ => format!("POST /api HTTP/1.1\r\n{head}Content-Length: 4\r\n\r\nbody"),
    }
    .into_bytes()
}

pub fn loopback(port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port)
}
