//! Case 3: clients send long bodies through one node, and two config servers of four hang while they receive some of
//! them. A request whose last byte is at the node's machine has to get its final answer.

#[path = "../common/mod.rs"]
mod common;

use common::*;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Barrier, LazyLock, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const SERVERS: usize = 4;
const HANGING: usize = 2;
/// The clients' bodies: 28 of 4.8 to 6.15 MB, the longest that the pages allow being 32 MB.
const UPLOADS: usize = 28;
const SHORTEST_BYTES: usize = 4_800_000;
const STEP_BYTES: usize = 50_000;
/// Each client writes 64 KiB each 16 ms, 4 MB a second. The pages allow 64 kB a second and more.
const PIECE: usize = 64 * 1024;
const PIECE_EACH_MS: u64 = 16;
/// The config servers with the most bodies under way hang once each of these bodies has come so far.
const HANG_AT_BYTES: usize = 1_000_000;
/// How long a client waits for its answer, from its last byte on.
const EXPIRES_MS: u64 = 1000;
/// Later than so long after that time, an answer counts as lost, with the 50 ms that each limit is longer on sockets.
const LATE_MS: u64 = 500 + 50;

unsafe extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn ioctl(fd: i32, request: u64, value: *mut i32) -> i32;
}

/// Keeps the system's send buffer of a client short, so that what is written is soon at the node's machine.
fn shorten_send_buffer(stream: &TcpStream) {
    let bytes = 64 * 1024;
    // SOL_SOCKET 1, SO_SNDBUF 7.
    unsafe { setsockopt(stream.as_raw_fd(), 1, 7, &bytes, 4) };
}

/// Bytes that were written and have not been acknowledged by the node's machine (SIOCOUTQ).
fn unacknowledged(stream: &TcpStream) -> i32 {
    let mut bytes = -1;
    unsafe { ioctl(stream.as_raw_fd(), 0x5411, &mut bytes) };
    bytes
}

/// What a config server has under way, and whether it hangs.
#[derive(Default)]
struct Server {
    hangs: AtomicBool,
    /// Bytes received of each body that is under way.
    under_way: Mutex<Vec<Arc<AtomicUsize>>>,
}

impl Server {
    fn wait_while_hanging(&self) {
        while self.hangs.load(Ordering::SeqCst) {
            thread::sleep(ms(50));
        }
    }
}

fn start_server(name: String, address: SocketAddr, server: Arc<Server>) {
    let listener = TcpListener::bind(address).unwrap();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (name, server) = (name.clone(), server.clone());
            thread::spawn(move || serve(&name, &server, stream));
        }
    });
}

fn serve(name: &str, server: &Server, mut stream: TcpStream) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    loop {
        server.wait_while_hanging();
        let (mut length, mut trace) = (0, "probe".to_owned());
        for n in 0.. {
            let mut line = String::new();
            if reader.read_line(&mut line).ok()? == 0 {
                return None;
            }
            let line = line.trim_end().to_ascii_lowercase();
            if line.is_empty() && n > 0 {
                break;
            }
            match line.split_once(": ") {
                Some(("content-length", value)) => length = value.parse().ok()?,
                Some(("x-trace-id", value)) => trace = value.to_owned(),
                _ => {}
            }
        }
        let received = Arc::new(AtomicUsize::new(0));
        if length > PIECE {
            lock(&server.under_way).push(received.clone());
            record().line(&format!("{name} gets {trace}, {length} bytes"));
        }
        let mut piece = vec![0; 16 * 1024];
        while received.load(Ordering::SeqCst) < length {
            server.wait_while_hanging();
            let space = piece.len().min(length - received.load(Ordering::SeqCst));
            match reader.read(&mut piece[..space]).ok()? {
                0 => return None,
                n => received.fetch_add(n, Ordering::SeqCst),
            };
        }
        lock(&server.under_way).retain(|r| !Arc::ptr_eq(r, &received));
        server.wait_while_hanging();
        if trace != "probe" {
            record().line(&format!("{name} ran {trace}"));
        }
        stream.write_all(&http_response("200 OK", b"inflight=1")).ok()?;
    }
}

/// All long requests begin together, 2 ms apart.
static START: LazyLock<Barrier> = LazyLock::new(|| Barrier::new(UPLOADS + 1));

/// How an upload went on.
#[derive(Debug)]
enum Course {
    /// Its last byte did not get to the node's machine: the node has not taken the request.
    NotTaken,
    /// It had an answer in time, or within what the pages grant beyond.
    Answered,
    /// It had none.
    Lost,
}

fn upload(n: usize, node: SocketAddr) -> Course {
    let length = SHORTEST_BYTES + n * STEP_BYTES;
    let trace = format!("long{n:02}");
    let mut stream = TcpStream::connect(node).unwrap();
    let _ = stream.set_nodelay(true);
    shorten_send_buffer(&stream);
    // A short request first: the long one is not the first on its connection.
    let first = ClientRequest { trace: format!("short{n:02}"), class: "catalogue", key: n as u64 };
    let _ = stream.set_read_timeout(Some(ms(2000)));
    let _ = stream.write_all(&first.bytes());
    if Message::read(&mut BufReader::new(&stream)).is_none_or(|a| a.status() != 200) {
        cannot_run("a short request was not served");
    }
    START.wait();
    thread::sleep(ms(2 * n as u64));
    let head = format!(
        "POST /api HTTP/1.1\r\nHost: api.internal\r\nX-Trace-Id: {trace}\r\nX-Qos: order\r\nX-Object: k{n}\r\n\
         X-Expires-In-Ms: {EXPIRES_MS}\r\nContent-Length: {length}\r\n\r\n"
    );
    let _ = stream.write_all(head.as_bytes());
    record().line(&format!("{trace} order sent, {length} bytes follow"));
    let _ = stream.set_write_timeout(Some(Duration::from_secs(20)));
    let piece = vec![b'x'; PIECE];
    let start = Instant::now();
    for (k, from) in (0..length).step_by(PIECE).enumerate() {
        let due = start + ms(PIECE_EACH_MS * k as u64);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        if let Err(e) = stream.write_all(&piece[..PIECE.min(length - from)]) {
            record().line(&format!("{trace} cannot be written on from byte {from}: {e}"));
            return Course::NotTaken;
        }
    }
    let written = Instant::now();
    let queued = unacknowledged(&stream);
    record().line(&format!("{trace} last byte written, {queued} bytes not yet at the node's machine"));
    // The time of a request runs from its last byte. This waits longer than the pages ask for, by 0.5 s.
    let _ = stream.set_read_timeout(Some(ms(EXPIRES_MS + LATE_MS + 500)));
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    if let Some(answer) = Message::read(&mut reader) {
        let after = written.elapsed().as_millis();
        record().line(&format!("{trace} answered {} after {after} ms", answer.status()));
        return Course::Answered;
    }
    let (after, queued) = (written.elapsed().as_millis(), unacknowledged(&stream));
    let is_taken = queued == 0;
    record().line(&format!(
        "{}{trace} has no answer {after} ms after its last byte, {queued} bytes not yet at the node's machine",
        if is_taken { "BROKEN " } else { "" }
    ));
    let _ = stream.set_read_timeout(Some(Duration::from_secs(30)));
    let end = match reader.fill_buf() {
        Ok([]) => "the node closed the connection".to_owned(),
        Ok(bytes) => format!("{:?} came", String::from_utf8_lossy(&bytes[..bytes.len().min(40)])),
        Err(e) => e.to_string(),
    };
    record().line(&format!("{trace} after {} ms: {end}", written.elapsed().as_millis()));
    if is_taken { Course::Lost } else { Course::NotTaken }
}

fn main() {
    begin();
    let names: Vec<(String, SocketAddr, &'static str)> =
        (0..SERVERS).map(|n| (format!("s-{n}"), free_address(), "monza-a")).collect();
    let servers: Vec<Arc<Server>> = names.iter().map(|_| Arc::default()).collect();
    for ((name, address, _), server) in names.iter().zip(&servers) {
        start_server(name.clone(), *address, server.clone());
    }
    let discovery = Discovery::start(&names);
    let config = NodeConfig {
        name: "n0".into(),
        slot: 0,
        listen: free_address(),
        operator: free_address(),
        discovery: discovery.address,
        known: discovery.known(),
        zone: "monza-a",
        peers: Vec::new(),
        options: String::new(),
    };
    let mut node = Process::node("n0", &config);
    wait_healthy(config.operator);
    let mut client = Client::new(config.listen);
    let mut random = Random(7);
    for _ in 0..50 {
        client.send(&ClientRequest::draw(&mut random));
        thread::sleep(ms(20));
    }
    let uploads: Vec<_> = (0..UPLOADS)
        .map(|n| {
            thread::sleep(ms(20));
            let node = config.listen;
            thread::spawn(move || upload(n, node))
        })
        .collect();
    START.wait();
    if trouble() {
        // The config servers that have the most of them, once they have got a part of each.
        thread::sleep(ms(150));
        let mut order: Vec<usize> = (0..SERVERS).collect();
        order.sort_by_key(|n| std::cmp::Reverse(lock(&servers[*n].under_way).len()));
        let hanging = &order[..HANGING];
        let has_part = |n: &usize| lock(&servers[*n].under_way).iter().all(|r| r.load(Ordering::SeqCst) >= HANG_AT_BYTES);
        if !wait_for(Duration::from_secs(5), || hanging.iter().all(has_part)) {
            cannot_run("the bodies did not come");
        }
        for n in hanging {
            servers[*n].hangs.store(true, Ordering::SeqCst);
            say(&format!("{} hangs, {} bodies under way there", names[*n].0, lock(&servers[*n].under_way).len()));
        }
    }
    let (mut answered, mut lost, mut not_taken) = (0, 0, 0);
    for upload in uploads {
        match upload.join().unwrap() {
            Course::Answered => answered += 1,
            Course::NotTaken => not_taken += 1,
            Course::Lost => lost += 1,
        }
    }
    if let Some(status) = node.ended() {
        say(&format!("the node ended: {status}"));
    }
    say(&format!("{answered} answered, {lost} taken and never answered, {not_taken} not taken"));
    if answered == 0 {
        cannot_run("no long body was answered");
    }
    finish(i32::from(lost > 0))
}
