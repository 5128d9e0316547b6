//! Stand-ins for the cases of this review: config servers, discovery, clients, and the process of a node.
//! Standard library only. Every address is a loopback address.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt as _;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn waitpid(pid: i32, status: *mut i32, options: i32) -> i32;
    fn prctl(option: i32, value: u64, a: u64, b: u64, c: u64) -> i32;
}

/// Sends a signal to a process that the case has started.
pub fn send_signal(pid: u32, signal: i32) {
    unsafe { kill(pid as i32, signal) };
}

pub fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// True unless the environment says `TROUBLE=0`.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |v| v != "0")
}

/// `record.txt`: what was sent, answered and run, with milliseconds since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    /// Opens the file that the first argument names, the case's `record.txt`. The program ends with its script,
    /// however that ends.
    pub fn open() -> Record {
        unsafe { prctl(1, SIGKILL as u64, 0, 0, 0) };
        let path =
            std::env::args().nth(1).unwrap_or_else(|| could_not_run("no file for the record is named"));
        let file = File::create(&path).unwrap_or_else(|e| could_not_run(&format!("{path}: {e}")));
        let record = Record { file: Arc::new(Mutex::new(file)), start: Instant::now() };
        record.log(&format!("disruption: {}", if trouble() { "on" } else { "off (TROUBLE=0)" }));
        record
    }

    pub fn ms(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    pub fn at(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.start).as_secs_f64() * 1000.0
    }

    pub fn log(&self, text: &str) {
        let _ = writeln!(self.file.lock().unwrap(), "{:10.1} {text}", self.ms());
    }

    /// Writes the verdict and ends the process: 1 if the rule was broken, 0 if it held.
    pub fn verdict(&self, broken: &[String]) -> ! {
        for line in broken.iter().take(20) {
            self.log(&format!("BROKEN: {line}"));
        }
        let text = if broken.is_empty() {
            "the rule held".to_owned()
        } else {
            format!("the rule was broken {} times", broken.len())
        };
        self.log(&text);
        println!("{text}");
        kill_all();
        std::process::exit(i32::from(!broken.is_empty()))
    }

    /// Writes why the case proves nothing and ends the process with 2.
    pub fn no_result(&self, why: &str) -> ! {
        self.log(&format!("no result: {why}"));
        could_not_run(why)
    }
}

/// Processes that the case has started.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes that the case has started, and waits for their ends.
fn kill_all() {
    let started = STARTED.lock().unwrap();
    for pid in started.iter() {
        send_signal(*pid, SIGKILL);
    }
    for pid in started.iter() {
        // Fails for one whose end was taken note of before.
        unsafe { waitpid(*pid as i32, std::ptr::null_mut(), 0) };
    }
}

pub fn could_not_run(why: &str) -> ! {
    eprintln!("the case could not run: {why}");
    kill_all();
    std::process::exit(2)
}

/// One HTTP message as received.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// When its first byte had come.
    pub began: Option<Instant>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.as_str())
    }

    pub fn id(&self) -> String {
        self.header("x-trace-id").unwrap_or("-").to_owned()
    }

    pub fn status(&self) -> u16 {
        self.first_line.split_whitespace().nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// Reads the head; None at the end of the stream or for bytes that are no head.
    pub fn read_head(reader: &mut impl BufRead) -> Option<Message> {
        let mut message = Message::default();
        reader.fill_buf().ok().filter(|b| !b.is_empty())?;
        message.began = Some(Instant::now());
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let line = line.trim_end();
            if message.first_line.is_empty() {
                message.first_line = line.to_owned();
            } else if line.is_empty() {
                return Some(message);
            } else {
                let (name, value) = line.split_once(':')?;
                message.headers.push((name.to_owned(), value.trim().to_owned()));
            }
        }
    }

    /// Reads the body that follows the head.
    pub fn read_body(&mut self, reader: &mut impl BufRead) -> Option<()> {
        let chunked = self.header("transfer-encoding").is_some_and(|t| t.contains("chunked"));
        let length: Option<usize> = self.header("content-length").and_then(|l| l.parse().ok());
        if chunked {
            loop {
                let mut line = String::new();
                if reader.read_line(&mut line).ok()? == 0 {
                    return None;
                }
                let size = usize::from_str_radix(line.split(';').next()?.trim(), 16).ok()?;
                let start = self.body.len();
                self.body.resize(start + size, 0);
                reader.read_exact(&mut self.body[start..]).ok()?;
                line.clear();
                reader.read_line(&mut line).ok()?;
                if size == 0 {
                    return Some(());
                }
            }
        }
        match length {
            Some(length) => {
                self.body = vec![0; length];
                reader.read_exact(&mut self.body).ok()
            }
            None if self.first_line.starts_with("HTTP/") => {
                reader.read_to_end(&mut self.body).ok().map(drop)
            }
            None => Some(()),
        }
    }

    pub fn read(reader: &mut impl BufRead) -> Option<Message> {
        let mut message = Message::read_head(reader)?;
        message.read_body(reader)?;
        Some(message)
    }
}

/// A response with a length.
pub fn response(status: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    [head.into_bytes(), body.to_vec()].concat()
}

pub fn new_listener() -> (TcpListener, SocketAddr) {
    let listener =
        TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| could_not_run(&format!("no port: {e}")));
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// A UDP port that was free a moment ago.
pub fn free_udp_address() -> SocketAddr {
    std::net::UdpSocket::bind("127.0.0.1:0")
        .and_then(|s| s.local_addr())
        .unwrap_or_else(|e| could_not_run(&format!("no port: {e}")))
}

/// A port that was free a moment ago.
pub fn free_address() -> SocketAddr {
    new_listener().1
}

/// Serves each connection of a listener on a thread of its own.
pub fn serve(listener: TcpListener, serve: impl Fn(TcpStream, u64) + Send + Sync + 'static) {
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for (number, stream) in listener.incoming().enumerate() {
            let Ok(stream) = stream else { continue };
            let serve = serve.clone();
            let _ = stream.set_nodelay(true);
            thread::spawn(move || serve(stream, number as u64));
        }
    });
}

/// What a config server does with a request.
pub enum Act {
    /// Writes these bytes and keeps the connection.
    Write(Vec<u8>),
    /// Closes the connection.
    Close,
}

/// Starts a config server. `act` gets each complete request, the number of its connection and the stream.
pub fn config_server(
    act: impl Fn(&Message, u64, &mut TcpStream) -> Act + Send + Sync + 'static,
) -> SocketAddr {
    let (listener, address) = new_listener();
    config_server_on(listener, act);
    address
}

pub fn config_server_on(
    listener: TcpListener,
    act: impl Fn(&Message, u64, &mut TcpStream) -> Act + Send + Sync + 'static,
) {
    serve(listener, move |stream, number| serve_connection(stream, number, &act));
}

fn serve_connection(
    mut stream: TcpStream,
    number: u64,
    act: &impl Fn(&Message, u64, &mut TcpStream) -> Act,
) {
    let Ok(copy) = stream.try_clone() else { return };
    let mut reader = BufReader::new(copy);
    while let Some(request) = Message::read(&mut reader) {
        if request.header("x-trace-id").is_none() {
            let line = &request.first_line;
            let probe = line.starts_with("GET /alive") || line.starts_with("GET /metrics/load");
            let answer = if probe {
                response("200 OK", "", b"TEXT inflight=1")
            } else {
                response("404 Not Found", "", b"")
            };
            if stream.write_all(&answer).is_err() {
                return;
            }
            continue;
        }
        match act(&request, number, &mut stream) {
            Act::Write(bytes) => {
                if stream.write_all(&bytes).is_err() {
                    return;
                }
            }
            Act::Close => return,
        }
    }
}

/// One line of discovery's list.
#[derive(Clone)]
pub struct Target {
    pub uid: String,
    pub endpoint: SocketAddr,
    pub zone: String,
    pub state: &'static str,
    pub boot_ms: u64,
}

impl Target {
    pub fn up(uid: &str, endpoint: SocketAddr, zone: &str) -> Target {
        Target { uid: uid.to_owned(), endpoint, zone: zone.to_owned(), state: "up", boot_ms: 0 }
    }

    fn json(&self) -> String {
        format!(
            "{{\"uid\":\"{}\",\"endpoint\":\"{}\",\"az\":\"{}\",\"model\":\"plain-2c\",\"pod_group\":0,\"state\":\"{}\",\"capacity_hint\":1.0,\"boot_ms\":{}}}",
            self.uid, self.endpoint, self.zone, self.state, self.boot_ms
        )
    }
}

/// Discovery: the whole list, and watches that answer with the changes as soon as there are some.
#[derive(Clone)]
pub struct Discovery {
    pub address: SocketAddr,
    state: Arc<(Mutex<Listed>, Condvar)>,
}

#[derive(Default)]
struct Listed {
    rev: u64,
    /// Calls are answered with 503, and open watches end so.
    is_down: bool,
    /// Each target with the version of its last change.
    targets: BTreeMap<String, (u64, Target)>,
}

impl Discovery {
    pub fn start(targets: Vec<Target>) -> Discovery {
        let (listener, address) = new_listener();
        let listed = Listed {
            rev: 1,
            is_down: false,
            targets: targets.into_iter().map(|t| (t.uid.clone(), (1, t))).collect(),
        };
        let discovery = Discovery { address, state: Arc::new((Mutex::new(listed), Condvar::new())) };
        let own = discovery.clone();
        serve(listener, move |stream, _| own.serve(stream));
        discovery
    }

    fn serve(&self, mut stream: TcpStream) {
        let Ok(copy) = stream.try_clone() else { return };
        let mut reader = BufReader::new(copy);
        while let Some(call) = Message::read(&mut reader) {
            let number = |name: &str| -> Option<u64> {
                let (_, rest) = call.first_line.split_once(name)?;
                rest.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok()
            };
            let (after, wait) = (number("after="), number("wait_ms=").unwrap_or(0).min(60_000));
            let end = Instant::now() + ms(wait);
            let (lock, changed) = &*self.state;
            let mut listed = lock.lock().unwrap();
            while !listed.is_down && after.is_some_and(|after| listed.rev <= after) && Instant::now() < end
            {
                listed = changed.wait_timeout(listed, ms(20)).unwrap().0;
            }
            if listed.is_down {
                drop(listed);
                if stream.write_all(&response("503 Service Unavailable", "", b"")).is_err() {
                    return;
                }
                continue;
            }
            let lines: Vec<String> = (listed.targets.values())
                .filter(|(rev, target)| match after {
                    None => target.state != "removed",
                    Some(after) => *rev > after,
                })
                .map(|(_, target)| target.json())
                .collect();
            let body = format!(
                "{{\"rev\":{},\"all\":{},\"targets\":[{}]}}",
                listed.rev,
                after.is_none(),
                lines.join(",")
            );
            drop(listed);
            if stream
                .write_all(&response("200 OK", "Content-Type: application/json\r\n", body.as_bytes()))
                .is_err()
            {
                return;
            }
        }
    }

    /// Takes discovery down or brings it back.
    pub fn set_down(&self, is_down: bool) {
        self.state.0.lock().unwrap().is_down = is_down;
        self.state.1.notify_all();
    }

    /// Adds or changes a line.
    pub fn set(&self, target: Target) {
        let mut listed = self.state.0.lock().unwrap();
        listed.rev += 1;
        let rev = listed.rev;
        listed.targets.insert(target.uid.clone(), (rev, target));
        self.state.1.notify_all();
    }
}

/// One request class of the settings.
pub struct Class {
    pub name: &'static str,
    pub semantics: &'static str,
    pub group: &'static str,
    pub objective_ms: u64,
    pub hard_limit_ms: u64,
    pub key_ttl_ms: u64,
    pub value: f64,
}

/// The classes of the small deployment that the pages describe.
pub fn usual_classes() -> Vec<Class> {
    let class = |name, semantics, group, objective_ms, hard_limit_ms, key_ttl_ms, value| Class {
        name,
        semantics,
        group,
        objective_ms,
        hard_limit_ms,
        key_ttl_ms,
        value,
    };
    vec![
        class("catalogue", "idempotent", "all", 300, 600, 5000, 1.0),
        class("draft-save", "idempotent", "all", 300, 750, 5000, 1.0),
        class("order", "at_most_once", "all", 400, 1000, 5000, 8.0),
        class("quote", "deduplicated", "zone", 400, 2000, 1200, 3.0),
    ]
}

/// What a case may vary in a node's configuration; the rest is as the pages' example.
pub struct Settings {
    pub areas: Vec<&'static str>,
    pub zone: &'static str,
    pub classes: Vec<Class>,
    pub mode: &'static str,
    pub connect_timeout_ms: u64,
    pub attempts: u32,
    pub cold_ms: u64,
    pub cross_zone: f64,
    pub instances: u32,
    /// This node's number, and the addresses of all nodes' datagrams if they may send them.
    pub slot: usize,
    pub peers: Vec<SocketAddr>,
    /// The product's own options, TOML; none if empty.
    pub options: &'static str,
    /// File descriptors that the node may hold.
    pub sockets: u32,
    /// Memory that the node may use.
    pub memory_mb: u32,
    /// The list that the configuration gives as the node last had it, of version 1.
    pub known: Vec<Target>,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            areas: vec!["monza-a", "monza-b", "seregno-a", "seregno-b"],
            zone: "monza-a",
            classes: usual_classes(),
            mode: "on_request",
            connect_timeout_ms: 150,
            attempts: 3,
            cold_ms: 8900,
            cross_zone: 0.06,
            instances: 1,
            slot: 0,
            peers: Vec::new(),
            options: "",
            sockets: 1024,
            memory_mb: 192,
            known: Vec::new(),
        }
    }
}

impl Settings {
    pub fn json(&self) -> String {
        let quoted = |list: &[&str]| list.iter().map(|s| format!("\"{s}\"")).collect::<Vec<_>>().join(",");
        let classes: Vec<String> = (self.classes.iter())
            .map(|c| {
                format!(
                    "{{\"group\":\"{}\",\"hardLimitMs\":{}.0,\"keyTtlMs\":{}.0,\"lateValue\":0.3,\"name\":\"{}\",\"objectiveMs\":{}.0,\"semantics\":\"{}\",\"stream\":false,\"value\":{:.1}}}",
                    c.group, c.hard_limit_ms, c.key_ttl_ms, c.name, c.objective_ms, c.semantics, c.value
                )
            })
            .collect();
        format!(
            "{{\"areas\":[{areas}],\"blend\":{{\"whole\":0.45,\"worstClass\":0.3,\"worstTenant\":0.1,\"worstWindow\":0.15}},\
             \"classes\":[{classes}],\"clientHabits\":{{\"marksRetry\":false}},\"family\":\"proxy\",\"familyInfo\":{{\"warmKeys\":true}},\
             \"hostTypes\":[\"quick-2c\",\"plain-2c\"],\"instances\":{instances},\"layer\":0,\
             \"limits\":{{\"attemptsCap\":{attempts},\"connIdleMs\":15000.0,\"connectTimeoutMs\":{connect}.0,\"cpuUsPerRequest\":0.0,\"cpuUsPerS\":400000,\
             \"maxRetryAfterMs\":2000.0,\"maxStreams\":1,\"mayCancel\":true,\"openCap\":20000,\"peerMessages\":{peers},\"probing\":true,\"retryAfter\":false,\"secondCopies\":true}},\
             \"membershipMode\":\"{mode}\",\"overShareWorth\":0.1,\
             \"prices\":{{\"connection\":0.0,\"crossZone\":{cross},\"handshake\":0.0,\"lateFail\":0.027,\"membershipMode\":0.0,\"moves\":0.0,\"origin\":0.0,\"peer\":0.015,\"probe\":0.0068,\"waste\":0.04}},\
             \"reporting\":{{\"names\":[\"rif\"],\"via\":\"probe\"}},\
             \"rules\":{{\"answerSlackMs\":20.0,\"coldMs\":{cold}.0,\"drainGraceMs\":500.0,\"fallMs\":2000.0,\"fallMultiple\":3.0,\"mustAskInMs\":10000.0,\"startCapacity\":0.32}},\
             \"slotNo\":{slot},\"tenants\":[{{\"name\":\"finestre-lario\",\"quotaRps\":1300.0,\"share\":1.0}}],\"tickMs\":5.0,\"tiers\":[\"config-web\"],\
             \"weights\":\"none\",\"worthBy\":\"work\",\"zone\":\"{zone}\"}}",
            areas = quoted(&self.areas),
            peers = !self.peers.is_empty(),
            slot = self.slot,
            classes = classes.join(","),
            instances = self.instances,
            attempts = self.attempts,
            connect = self.connect_timeout_ms,
            mode = self.mode,
            cross = self.cross_zone,
            cold = self.cold_ms,
            zone = self.zone
        )
    }
}

/// The process of a node, started by the command of the deploy file.
pub struct Node {
    pub address: SocketAddr,
    pub operator: SocketAddr,
    pub pid: u32,
    child: Child,
    folder: PathBuf,
    log_file: PathBuf,
}

fn temporary_folder() -> PathBuf {
    static NEXT: AtomicU64 = AtomicU64::new(0);
    let n = NEXT.fetch_add(1, Ordering::Relaxed);
    let base = std::env::var("CASE_TMP").unwrap_or_else(|_| std::env::temp_dir().display().to_string());
    let folder = PathBuf::from(base).join(format!("node-{}-{n}", std::process::id()));
    std::fs::create_dir_all(folder.join("tmp"))
        .unwrap_or_else(|e| could_not_run(&format!("{}: {e}", folder.display())));
    folder
}

/// The command `run` of the deploy file.
fn run_command() -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml")
        .unwrap_or_else(|e| could_not_run(&format!("deploy/balancer.toml: {e}")));
    let line = text
        .lines()
        .find_map(|l| l.strip_prefix("run = "))
        .unwrap_or_else(|| could_not_run("no run in the deploy file"));
    line.trim().trim_matches('"').to_owned()
}

impl Node {
    /// Starts a node and waits until `GET /up` is answered with 200.
    pub fn start(settings: &Settings, discovery: SocketAddr) -> Node {
        let node = Node::launch(settings, discovery);
        let end = Instant::now() + ms(15_000);
        while !node.is_up() {
            if Instant::now() > end {
                could_not_run("the node is not ready after 15 s");
            }
            thread::sleep(ms(20));
        }
        node
    }

    pub fn launch(settings: &Settings, discovery: SocketAddr) -> Node {
        let folder = temporary_folder();
        let (address, operator) = (free_address(), free_address());
        let node_config = Node::config(address, operator, settings, discovery);
        std::fs::write(folder.join("config.json"), node_config).unwrap();
        if !settings.options.is_empty() {
            std::fs::write(folder.join("options.toml"), settings.options).unwrap();
        }
        Node::spawn(folder, address, operator)
    }

    /// Starts `run` again beside this process, with the same addresses but a new second address.
    pub fn launch_successor(&self) -> Node {
        Node::spawn(self.folder.clone(), self.address, free_address())
    }

    fn config(
        address: SocketAddr,
        operator: SocketAddr,
        settings: &Settings,
        discovery: SocketAddr,
    ) -> String {
        let peers: Vec<String> = settings.peers.iter().map(|p| format!("\"{p}\"")).collect();
        let peers = match settings.peers.get(settings.slot) {
            Some(own) => format!("\"peer_listen\":\"{own}\",\"peers\":[{}],", peers.join(",")),
            None => String::new(),
        };
        format!(
            "{{\"name\":\"n{}\",\"listen\":\"{address}\",\"operator\":\"{operator}\",\"discovery\":\"{discovery}\",\"seed\":\"{:016x}\",{peers}\
             \"limits\":{{\"cores\":1.0,\"memory_mb\":{},\"sockets\":{}}},\"known\":{{\"rev\":{},\"all\":true,\"targets\":[{}]}},\"settings\":{}}}",
            settings.slot,
            unix_ms().wrapping_mul(0x9e37_79b9_7f4a_7c15),
            settings.memory_mb,
            settings.sockets,
            u8::from(!settings.known.is_empty()),
            settings.known.iter().map(Target::json).collect::<Vec<_>>().join(","),
            settings.json()
        )
    }

    fn spawn(folder: PathBuf, address: SocketAddr, operator: SocketAddr) -> Node {
        static PROCESSES: AtomicU64 = AtomicU64::new(0);
        let log_file = folder.join(format!("node-{}.log", PROCESSES.fetch_add(1, Ordering::Relaxed)));
        let log = File::create(&log_file).unwrap();
        let mut command = Command::new("/bin/sh");
        for name in ["DALETURN_CONFIG", "LB_NAME", "LB_LISTEN", "LB_DISCOVERY"] {
            command.env_remove(name);
        }
        // The node ends with the case, however the case ends (PR_SET_PDEATHSIG is 1).
        unsafe {
            command.pre_exec(|| {
                prctl(1, SIGKILL as u64, 0, 0, 0);
                Ok(())
            })
        };
        if folder.join("options.toml").exists() {
            command.env("DALETURN_CONFIG", folder.join("options.toml"));
        }
        let child = command
            .args(["-c", &run_command()])
            .env("LB_CONFIG", folder.join("config.json"))
            .env("TMPDIR", folder.join("tmp"))
            .env("LB_OPERATOR", operator.to_string())
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|e| could_not_run(&format!("the node does not start: {e}")));
        let pid = child.id();
        STARTED.lock().unwrap().push(pid);
        Node { address, operator, pid, child, folder, log_file }
    }

    pub fn is_up(&self) -> bool {
        let answer = Client::connect(self.address).and_then(|mut c| {
            c.send(b"GET /up HTTP/1.1\r\nHost: n\r\n\r\n")?;
            c.receive(ms(1000))
        });
        answer.is_ok_and(|a| a.status() == 200)
    }

    /// Replaces the configuration file and sends SIGHUP.
    pub fn reload(&self, settings: &Settings, discovery: SocketAddr) {
        let text = Node::config(self.address, self.operator, settings, discovery);
        let draft = self.folder.join("config.draft");
        std::fs::write(&draft, text).unwrap();
        std::fs::rename(draft, self.folder.join("config.json")).unwrap();
        send_signal(self.pid, SIGHUP);
    }

    /// One operator's call; returns the line of the answer.
    pub fn call(&self, line: &str) -> io::Result<String> {
        let mut stream = TcpStream::connect(self.operator)?;
        stream.set_read_timeout(Some(ms(3000)))?;
        stream.write_all(format!("{line}\n").as_bytes())?;
        let mut answer = String::new();
        BufReader::new(stream).read_line(&mut answer)?;
        Ok(answer.trim_end().to_owned())
    }

    /// True while the process runs.
    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log_file).unwrap_or_default()
    }
}

/// A client's connection.
pub struct Client {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Client {
    pub fn connect(address: SocketAddr) -> io::Result<Client> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Client { stream, reader })
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads a whole answer.
    pub fn receive(&mut self, limit: Duration) -> io::Result<Message> {
        self.stream.set_read_timeout(Some(limit))?;
        Message::read(&mut self.reader).ok_or_else(|| io::Error::other("no whole answer"))
    }

    pub fn fetch(&mut self, request: &[u8], limit: Duration) -> io::Result<Message> {
        self.send(request)?;
        self.receive(limit)
    }
}

/// A fresh id for a request.
pub fn fresh_id() -> String {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    let n = NEXT.fetch_add(1, Ordering::Relaxed);
    format!("{:08x}{n:08x}", std::process::id())
}

/// A request as the protocol page has it. The class fixes the method and the key.
pub fn request(id: &str, class: &str, semantics: &str, expires_ms: u64, body: &[u8]) -> Vec<u8> {
    let mut head = String::new();
    let method = if semantics == "idempotent" { "GET" } else { "POST" };
    let _ = write!(
        head,
        "{method} /api HTTP/1.1\r\nHost: api.internal\r\nX-Trace-Id: {id}\r\nX-Qos: {class}\r\nX-Customer: finestre-lario\r\nX-Expires-In-Ms: {expires_ms}\r\n"
    );
    if semantics == "deduplicated" {
        let _ = write!(head, "Idempotency-Key: k-{id}\r\n");
    }
    if semantics != "idempotent" {
        let _ = write!(head, "Content-Length: {}\r\n", body.len());
    }
    head.push_str("\r\n");
    [head.into_bytes(), if semantics == "idempotent" { Vec::new() } else { body.to_vec() }].concat()
}

/// Ends the process with 2 after `limit`, so that no case runs on without end.
pub fn watchdog(limit: Duration) {
    thread::spawn(move || {
        thread::sleep(limit);
        could_not_run("the case took too long");
    });
}

/// A flag that threads share.
pub fn flag() -> Arc<AtomicBool> {
    Arc::new(AtomicBool::new(false))
}
