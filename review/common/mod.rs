//! Small stand-ins for the cases: config servers, discovery, clients and operators on loopback addresses, and
//! the start of the project's own programs. The standard library only.
#![allow(dead_code)]

use std::collections::HashMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::os::unix::process::CommandExt;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A case ends after this time, whatever it has seen.
const LIMIT: Duration = Duration::from_secs(112);

pub fn lock<T>(m: &Mutex<T>) -> MutexGuard<'_, T> {
    m.lock().unwrap_or_else(|e| e.into_inner())
}

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Unix time in milliseconds.
pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// True unless the case runs without its disruption.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

/// What was sent, answered and run, by the time since the start of the case.
pub struct Record {
    file: Mutex<File>,
    start: Instant,
}

impl Record {
    pub fn ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: &str) {
        let at = self.start.elapsed().as_secs_f64() * 1000.0;
        let _ = writeln!(lock(&self.file), "{at:10.1} {text}");
    }
}

/// The record of this case.
pub fn record() -> &'static Record {
    static RECORD: OnceLock<Record> = OnceLock::new();
    RECORD.get_or_init(|| {
        let path = std::env::var("CASE_RECORD").expect("CASE_RECORD");
        Record { file: Mutex::new(File::create(path).expect("record.txt")), start: Instant::now() }
    })
}

/// Writes a line to the record and to standard output.
pub fn say(text: &str) {
    record().line(text);
    println!("{text}");
}

/// Processes that the case has started and not seen end.
fn pids() -> &'static Mutex<Vec<u32>> {
    static PIDS: OnceLock<Mutex<Vec<u32>>> = OnceLock::new();
    PIDS.get_or_init(Mutex::default)
}

/// Sends a signal to a process that the case has started.
pub fn signal(pid: u32, name: &str) {
    record().line(&format!("signal {name} to process {pid}"));
    let _ = Command::new("/bin/sh").args(["-c", &format!("kill -{name} {pid}")]).status();
}

unsafe extern "C" {
    fn prctl(option: i32, value: u64) -> i32;
    fn getppid() -> i32;
}

/// Has the system kill this process when its parent ends, however that ends (PR_SET_PDEATHSIG 1, SIGKILL 9). Returns
/// false if the parent, `expected`, has ended already.
fn end_with_parent(expected: i32) -> bool {
    unsafe { prctl(1, 9) == 0 && getppid() == expected }
}

/// Ends all processes and the case with this exit code.
pub fn finish(code: i32) -> ! {
    for pid in lock(pids()).drain(..) {
        let _ = Command::new("/bin/sh").args(["-c", &format!("kill -KILL {pid}")]).stderr(Stdio::null()).status();
    }
    std::process::exit(code)
}

/// Ends the case as one that could not run.
pub fn cannot_run(why: &str) -> ! {
    say(&format!("the case could not run: {why}"));
    finish(2)
}

/// Starts the clock of the case, and ends it as one that could not run if it takes too long.
pub fn begin() {
    record();
    let script = std::env::var("CASE_SCRIPT").ok().and_then(|p| p.parse().ok()).expect("CASE_SCRIPT");
    if !end_with_parent(script) {
        cannot_run("the script has ended");
    }
    std::panic::set_hook(Box::new(|info| {
        eprintln!("{info}");
        cannot_run(&format!("a stand-in failed: {info}"));
    }));
    thread::spawn(|| {
        thread::sleep(LIMIT);
        cannot_run("it took too long");
    });
}

/// The temporary folder of this run.
pub fn scratch() -> PathBuf {
    PathBuf::from(std::env::var("CASE_TMP").expect("CASE_TMP"))
}

pub fn root() -> PathBuf {
    PathBuf::from(std::env::var("CASE_ROOT").expect("CASE_ROOT"))
}

/// Returns an address that nobody listens at.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(1);
    let n = NEXT.fetch_add(1, Ordering::Relaxed);
    let pid = std::process::id();
    let ip = Ipv4Addr::new(127, 64 + (pid % 64) as u8, (pid / 64 % 256) as u8, (n % 250 + 1) as u8);
    TcpListener::bind((ip, 0)).unwrap().local_addr().unwrap()
}

/// Waits until `done` says yes. Returns false if that takes longer than `limit`.
pub fn wait_for(limit: Duration, mut done: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + limit;
    while !done() {
        if Instant::now() > end {
            return false;
        }
        thread::sleep(ms(10));
    }
    true
}

/// An HTTP message as received.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    /// Reads one message. Returns none if the stream ends before it does.
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
            } else if let Some((name, value)) = line.split_once(':') {
                message.headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
            }
        }
        let length = message.header("content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
        message.body = vec![0; length];
        stream.read_exact(&mut message.body).ok()?;
        Some(message)
    }

    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or("")
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

pub fn http_response(status: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// An entry of discovery's list.
#[derive(Clone, Debug)]
pub struct Entry {
    pub uid: String,
    pub address: SocketAddr,
    pub zone: &'static str,
    pub state: &'static str,
    pub boot_ms: u64,
    changed: u64,
}

impl Entry {
    fn json(&self) -> String {
        format!(
            "{{\"uid\":\"{}\",\"endpoint\":\"{}\",\"az\":\"{}\",\"model\":\"m2\",\"pod_group\":0,\"state\":\"{}\",\
             \"capacity_hint\":1.0,\"boot_ms\":{}}}",
            self.uid, self.address, self.zone, self.state, self.boot_ms
        )
    }
}

#[derive(Default)]
struct List {
    rev: u64,
    entries: Vec<Entry>,
}

/// Discovery that is asked: the whole list, and a watch on changes.
#[derive(Clone)]
pub struct Discovery {
    list: Arc<(Mutex<List>, Condvar)>,
    pub address: SocketAddr,
}

impl Discovery {
    pub fn start(servers: &[(String, SocketAddr, &'static str)]) -> Discovery {
        let address = free_address();
        let listener = TcpListener::bind(address).unwrap();
        let entries = servers
            .iter()
            .map(|(uid, address, zone)| Entry {
                uid: uid.clone(),
                address: *address,
                zone,
                state: "up",
                boot_ms: 0,
                changed: 1,
            })
            .collect();
        let discovery = Discovery { list: Arc::new((Mutex::new(List { rev: 1, entries }), Condvar::new())), address };
        let own = discovery.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let own = own.clone();
                thread::spawn(move || own.serve(stream));
            }
        });
        discovery
    }

    /// Changes an entry of the list.
    pub fn set(&self, uid: &str, state: &'static str, boot_ms: u64) {
        let mut list = lock(&self.list.0);
        list.rev += 1;
        let rev = list.rev;
        if let Some(entry) = list.entries.iter_mut().find(|e| e.uid == uid) {
            (entry.state, entry.boot_ms, entry.changed) = (state, boot_ms, rev);
        }
        record().line(&format!("discovery lists {uid} as {state}, boot_ms {boot_ms}, rev {rev}"));
        self.list.1.notify_all();
    }

    /// Adds a config server to the list.
    pub fn add(&self, uid: &str, address: SocketAddr, zone: &'static str, boot_ms: u64) {
        let mut list = lock(&self.list.0);
        list.rev += 1;
        let changed = list.rev;
        list.entries.push(Entry { uid: uid.to_owned(), address, zone, state: "up", boot_ms, changed });
        record().line(&format!("discovery lists {uid} of {zone}, rev {changed}"));
        self.list.1.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        while let Some(request) = Message::read(&mut reader) {
            let target = request.target().to_owned();
            let query = target.split_once('?').map_or("", |t| t.1);
            let value = |name: &str| {
                query.split('&').filter_map(|p| p.split_once('=')).find(|p| p.0 == name).and_then(|p| p.1.parse().ok())
            };
            let (after, wait): (Option<u64>, u64) = (value("after"), value("wait_ms").unwrap_or(0));
            let mut list = lock(&self.list.0);
            let end = Instant::now() + ms(wait.min(60_000));
            while after.is_some_and(|after| list.rev <= after) && Instant::now() < end {
                let left = end.saturating_duration_since(Instant::now());
                list = self.list.1.wait_timeout(list, left).unwrap().0;
            }
            let all = after.is_none_or(|after| after > list.rev);
            let wanted = |e: &&Entry| match after {
                Some(after) if !all => e.changed > after,
                _ => e.state != "removed",
            };
            let entries: Vec<String> = list.entries.iter().filter(wanted).map(Entry::json).collect();
            let body = format!("{{\"rev\":{},\"all\":{all},\"targets\":[{}]}}", list.rev, entries.join(","));
            drop(list);
            if stream.write_all(&http_response("200 OK", body.as_bytes())).is_err() {
                return;
            }
        }
    }

    /// The list as a node may have had it, in discovery's form.
    pub fn known(&self) -> String {
        let list = lock(&self.list.0);
        let entries: Vec<String> = list.entries.iter().map(Entry::json).collect();
        format!("{{\"rev\":{},\"all\":true,\"targets\":[{}]}}", list.rev, entries.join(","))
    }
}

/// The command `run` of the deploy file.
pub fn run_command() -> String {
    let text = std::fs::read_to_string(root().join("deploy/balancer.toml")).expect("deploy file");
    let line = text.lines().find_map(|l| l.strip_prefix("run = \"")).expect("run");
    line.trim_end_matches('"').to_owned()
}

/// What distinguishes a node from the others.
#[derive(Clone)]
pub struct NodeConfig {
    pub name: String,
    pub slot: usize,
    pub listen: SocketAddr,
    pub operator: SocketAddr,
    pub discovery: SocketAddr,
    pub known: String,
    pub zone: &'static str,
    /// Addresses of all nodes for datagrams.
    pub peers: Vec<SocketAddr>,
    /// The product's own options, TOML.
    pub options: String,
}

/// The classes, limits and rules of `brianza-prod`, as the page on the wire shows them.
fn settings(c: &NodeConfig) -> String {
    let classes = [
        ("catalogue", "idempotent", "all", 5000, 300, 600, 1, 0.25),
        ("draft-save", "idempotent", "all", 5000, 300, 750, 1, 0.3),
        ("order", "at_most_once", "all", 5000, 400, 1000, 8, 0.5),
        ("quote", "deduplicated", "zone", 1200, 400, 2000, 3, 0.3),
    ];
    let classes: Vec<String> = classes
        .iter()
        .map(|(name, semantics, group, ttl, aim, deadline, worth, late)| {
            format!(
                "{{\"name\":\"{name}\",\"semantics\":\"{semantics}\",\"group\":\"{group}\",\"keyTtlMs\":{ttl}.0,\
                 \"objectiveMs\":{aim}.0,\"hardLimitMs\":{deadline}.0,\"value\":{worth}.0,\"lateValue\":{late},\
                 \"stream\":false}}"
            )
        })
        .collect();
    format!(
        "{{\"areas\":[\"monza-a\",\"monza-b\"],\"zone\":\"{}\",\"instances\":{},\"slotNo\":{},\"tickMs\":5.0,\
         \"blend\":{{\"whole\":0.45,\"worstClass\":0.3,\"worstTenant\":0.1,\"worstWindow\":0.15}},\
         \"classes\":[{}],\"membershipMode\":\"on_request\",\"overShareWorth\":0.1,\"weights\":\"none\",\
         \"worthBy\":\"work\",\"hostTypes\":[\"m2\"],\"tenants\":[],\"tiers\":[\"config-web\"],\"layer\":0,\
         \"family\":\"proxy\",\"familyInfo\":{{\"warmKeys\":true}},\"clientHabits\":{{\"marksRetry\":false}},\
         \"limits\":{{\"attemptsCap\":3,\"connIdleMs\":15000.0,\"connectTimeoutMs\":150.0,\"cpuUsPerRequest\":0.0,\
         \"cpuUsPerS\":400000,\"maxRetryAfterMs\":2000.0,\"maxStreams\":1,\"mayCancel\":true,\"openCap\":20000,\
         \"peerMessages\":true,\"probing\":true,\"retryAfter\":false,\"secondCopies\":true}},\
         \"prices\":{{\"crossZone\":0.06,\"waste\":0.04,\"probe\":0.0068,\"peer\":0.015,\"lateFail\":0.027}},\
         \"reporting\":{{\"names\":[\"rif\"],\"via\":\"probe\"}},\
         \"rules\":{{\"answerSlackMs\":20.0,\"coldMs\":8900.0,\"drainGraceMs\":500.0,\"fallMs\":2000.0,\
         \"fallMultiple\":3.0,\"mustAskInMs\":10000.0,\"startCapacity\":0.32}}}}",
        c.zone,
        c.peers.len().max(1),
        c.slot,
        classes.join(",")
    )
}

/// A started process of the project's.
pub struct Process {
    pub child: Child,
    pub what: String,
}

impl Process {
    /// Starts a command by `/bin/sh -c` from the project's root. Its output goes to a file in the temporary folder.
    pub fn start(what: &str, command: &str, env: &[(&str, String)]) -> Process {
        let log = File::options().create(true).append(true).open(scratch().join(format!("{what}.log"))).unwrap();
        let mut c = Command::new("/bin/sh");
        c.args(["-c", command]).current_dir(root()).stdin(Stdio::null());
        c.stdout(log.try_clone().unwrap()).stderr(log);
        for name in ["LB_NAME", "LB_LISTEN", "LB_DISCOVERY", "LB_OPERATOR", "LB_CONFIG", "DALETURN_CONFIG"] {
            c.env_remove(name);
        }
        for (name, value) in env {
            c.env(name, value);
        }
        // Started by the main thread, which lives as long as the case does.
        let own = std::process::id() as i32;
        let end_with_case =
            move || if end_with_parent(own) { Ok(()) } else { Err(std::io::Error::other("the case has ended")) };
        unsafe { c.pre_exec(end_with_case) };
        let child = c.spawn().expect("cannot start a process");
        lock(pids()).push(child.id());
        record().line(&format!("{what} started, process {}", child.id()));
        Process { child, what: what.to_owned() }
    }

    /// Starts a process of a node by the deploy file's `run`.
    pub fn node(what: &str, c: &NodeConfig) -> Process {
        let tmp = scratch().join(format!("tmp-{}", c.name));
        std::fs::create_dir_all(&tmp).unwrap();
        let peers: Vec<String> = c.peers.iter().map(|p| format!("\"{p}\"")).collect();
        let peer_listen = match c.peers.get(c.slot) {
            Some(own) => format!("\"peer_listen\":\"{own}\",\"peers\":[{}],", peers.join(",")),
            None => String::new(),
        };
        let json = format!(
            "{{\"name\":\"{}\",\"listen\":\"{}\",\"discovery\":\"{}\",\"seed\":\"{:016x}\",{peer_listen}\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},\"known\":{},\"settings\":{}}}",
            c.name,
            c.listen,
            c.discovery,
            wall_ms() ^ u64::from(std::process::id()) << 20,
            c.known,
            settings(c)
        );
        let path = scratch().join(format!("{what}.json"));
        std::fs::write(&path, json).unwrap();
        let mut env = vec![
            ("LB_CONFIG", path.display().to_string()),
            ("LB_OPERATOR", c.operator.to_string()),
            ("TMPDIR", tmp.display().to_string()),
        ];
        if !c.options.is_empty() {
            let path = scratch().join(format!("{what}.toml"));
            std::fs::write(&path, &c.options).unwrap();
            env.push(("DALETURN_CONFIG", path.display().to_string()));
        }
        Process::start(what, &run_command(), &env)
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, name: &str) {
        signal(self.pid(), name);
    }

    /// Returns how the process has ended, if it has.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        let status = self.child.try_wait().ok().flatten()?;
        let pid = self.pid();
        lock(pids()).retain(|p| *p != pid);
        Some(status)
    }

    pub fn wait_end(&mut self, limit: Duration) -> Option<ExitStatus> {
        let end = Instant::now() + limit;
        loop {
            if let Some(status) = self.ended() {
                record().line(&format!("{} ended: {status}", self.what));
                return Some(status);
            }
            if Instant::now() > end {
                return None;
            }
            thread::sleep(ms(5));
        }
    }
}

/// Calls an operators' address. Returns the answer's line; an error if there is none.
pub fn call(address: SocketAddr, line: &str) -> Result<String, String> {
    let exchange = || -> std::io::Result<String> {
        let mut stream = TcpStream::connect_timeout(&address, ms(1000))?;
        stream.set_read_timeout(Some(ms(2000)))?;
        stream.write_all(format!("{line}\n").as_bytes())?;
        stream.shutdown(Shutdown::Write)?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer)?;
        Ok(answer.trim_end().to_owned())
    };
    let answer = exchange().map_err(|e| e.to_string());
    if line != "health" && line != "stats" {
        record().line(&format!("operator at {address}: {line} -> {answer:?}"));
    }
    answer
}

/// Calls an operators' address and ends the case if the answer is no yes.
pub fn call_ok(address: SocketAddr, line: &str) {
    match call(address, line) {
        Ok(answer) if answer.starts_with("OK") => {}
        other => cannot_run(&format!("{line}: {other:?}")),
    }
}

/// Waits until a node says that it takes clients.
pub fn wait_healthy(address: SocketAddr) {
    if !wait_for(Duration::from_secs(10), || call(address, "health").is_ok_and(|a| a.starts_with("OK"))) {
        cannot_run(&format!("no yes to health at {address}"));
    }
    record().line(&format!("operator at {address}: health -> OK"));
}

/// A sequence of pseudo-random numbers, the same in each run.
pub struct Random(pub u64);

impl Random {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// A number from 0 to 1.
    pub fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1_u64 << 53) as f64
    }
}

/// A request of a client, by the protocol page.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    pub trace: String,
    pub class: &'static str,
    pub key: u64,
}

impl ClientRequest {
    /// The next request: classes by their shares, and one of 400 keys.
    pub fn draw(random: &mut Random) -> ClientRequest {
        static NEXT: AtomicU64 = AtomicU64::new(1);
        let n = NEXT.fetch_add(1, Ordering::Relaxed);
        let class = match random.unit() {
            u if u < 0.34 => "catalogue",
            u if u < 0.60 => "draft-save",
            u if u < 0.82 => "order",
            _ => "quote",
        };
        ClientRequest { trace: format!("{n:016x}"), class, key: random.next() % 400 }
    }

    pub fn deadline_ms(&self) -> u64 {
        match self.class {
            "catalogue" => 600,
            "draft-save" => 750,
            "order" => 1000,
            _ => 2000,
        }
    }

    pub fn bytes(&self) -> Vec<u8> {
        let (method, more) = match self.class {
            "order" => ("POST", "Content-Length: 2\r\n".to_owned()),
            "quote" => ("POST", format!("Idempotency-Key: q{}\r\nContent-Length: 2\r\n", self.trace)),
            _ => ("GET", String::new()),
        };
        let body = if method == "POST" { "{}" } else { "" };
        format!(
            "{method} /api HTTP/1.1\r\nHost: api.internal\r\nX-Trace-Id: {}\r\nX-Qos: {}\r\nX-Object: k{}\r\n\
             X-Expires-In-Ms: {}\r\n{more}\r\n{body}",
            self.trace,
            self.class,
            self.key,
            self.deadline_ms()
        )
        .into_bytes()
    }
}

/// A client that keeps its connection while the node does.
pub struct Client {
    node: SocketAddr,
    connection: Option<BufReader<TcpStream>>,
}

impl Client {
    pub fn new(node: SocketAddr) -> Client {
        Client { node, connection: None }
    }

    /// Sends a request and reads its answer; none if no whole one came.
    pub fn send(&mut self, request: &ClientRequest) -> Option<Message> {
        // A close between requests may cross a request: it is sent once more on a new connection.
        for fresh in [false, true] {
            if fresh || self.connection.is_none() {
                let stream = TcpStream::connect_timeout(&self.node, ms(1000)).ok()?;
                let _ = stream.set_nodelay(true);
                let _ = stream.set_read_timeout(Some(ms(request.deadline_ms() + 600)));
                self.connection = Some(BufReader::new(stream));
            }
            let connection = self.connection.as_mut()?;
            if connection.get_mut().write_all(&request.bytes()).is_ok()
                && let Some(answer) = Message::read(connection)
            {
                if answer.header("connection").is_some_and(|c| c.eq_ignore_ascii_case("close")) {
                    self.connection = None;
                }
                return Some(answer);
            }
            self.connection = None;
        }
        None
    }
}

pub fn exists(path: &Path) -> bool {
    path.exists()
}
