//! Requests and responses that stand still: a backend that stops reading, a client that stops writing, a wait for a
//! transfer slot. Each ends in bounded time, and a request that has arrived whole gets its response.
mod node;

use node::*;
use socket2::{Domain, SockRef, Socket, Type};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::thread;
use std::time::{Duration, Instant};

/// Lateness after which a response counts as lost: half a second, and the 50 ms by which each limit is longer on
/// sockets.
const MAX_LATENESS: Duration = Duration::from_millis(550);
/// Time limit of the requests that are held up: far longer than it takes to find their length on a busy machine, since
/// a request that fails meanwhile counts against the backend.
const LIMIT_MS: u64 = 4_000;
/// Receive buffer of a `PausedBackend`, before the kernel doubles it.
const RECEIVE_BUFFER_BYTES: usize = 8_192;

/// Interval at which a paused backend looks for closed connections. Each look reads the table of all sockets.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// A backend that reads nothing while it is paused. Afterwards it reads each request whole and responds to it.
struct PausedBackend {
    address: SocketAddr,
    is_paused: Arc<AtomicBool>,
    traffic: Traffic,
}

impl PausedBackend {
    fn start() -> PausedBackend {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
        socket.bind(&loopback(0).into()).unwrap();
        socket.listen(64).unwrap();
        let address = socket.local_addr().unwrap().as_socket().unwrap();
        let backend = PausedBackend {
            address,
            is_paused: Arc::new(AtomicBool::new(true)),
            traffic: Traffic::default(),
        };
        let (is_paused, traffic) = (backend.is_paused.clone(), backend.traffic.clone());
        thread::spawn(move || {
            while let Ok((stream, _)) = socket.accept() {
                let (is_paused, traffic) = (is_paused.clone(), traffic.clone());
                traffic.connections_opened.fetch_add(1, SeqCst);
                thread::spawn(move || {
                    serve_when_resumed(stream.into(), &is_paused, &traffic);
                    traffic.connections_closed.fetch_add(1, SeqCst);
                });
            }
        });
        backend
    }

    fn resume(&self) {
        self.is_paused.store(false, SeqCst);
    }
}

/// Serves the requests on one connection once `is_paused` is false. Ends early if the node closes the connection.
fn serve_when_resumed(mut stream: TcpStream, is_paused: &AtomicBool, traffic: &Traffic) {
    while is_paused.load(SeqCst) {
        if has_peer_closed(&stream) {
            return;
        }
        thread::sleep(CLOSE_CHECK_INTERVAL);
    }
    let mut reader = BufReader::new(stream.try_clone().unwrap());
    while let Some(message) = Message::read(&mut reader) {
        traffic.requests.lock().unwrap().push(message);
        let _ = stream.write_all(&http_response("200 OK", "", b"done"));
    }
}

/// True if the node has closed this connection, also behind bytes that were not read.
fn has_peer_closed(stream: &TcpStream) -> bool {
    let peer = stream.peer_addr().unwrap();
    !has_tcp_connection(peer, stream.local_addr().unwrap())
}

/// Returns the head of an upload with a framing header.
fn upload_head(class: &str, expires_ms: u64, framing: &str) -> Vec<u8> {
    format!(
        "POST /api HTTP/1.1\r\nHost: n\r\nX-Trace-Id: 1\r\nX-Qos: {class}\r\nX-Expires-In-Ms: {expires_ms}\r\n\
         {framing}\r\n\r\n"
    )
    .into_bytes()
}

/// How the end of a body is told.
#[derive(Clone, Copy, Debug)]
enum Framing {
    Length,
    Chunks,
}

impl Framing {
    const ALL: [Framing; 2] = [Framing::Length, Framing::Chunks];

    /// Returns the header for a body of zeros, and the bytes that follow the head.
    fn encode(self, length: usize) -> (String, Vec<u8>) {
        match self {
            Framing::Length => (format!("Content-Length: {length}"), vec![0; length]),
            Framing::Chunks => {
                let mut chunks = format!("{length:x}\r\n").into_bytes();
                chunks.resize(chunks.len() + length, 0);
                chunks.extend_from_slice(b"\r\n0\r\n\r\n");
                ("Transfer-Encoding: chunked".to_owned(), chunks)
            }
        }
    }
}

/// A request that its backend's pause keeps in the node's receive buffer.
struct HeldUpload {
    client: Client,
    /// Length of the whole body.
    length: usize,
    /// End of what is sent of the body, not sent yet.
    tail: Vec<u8>,
    /// When all but the tail had reached the node's machine.
    arrived_at: Instant,
}

/// Where the bytes that a client sent have got to while the backend is paused.
#[derive(Clone, Copy, Debug)]
enum Reach {
    /// The node has read all of them.
    Read,
    /// All have been at the node's machine since this instant, and the node leaves some unread.
    Held(Instant),
    /// Some do not fit into the node's receive buffer.
    Client,
}

/// Returns how far the bytes get that a client has sent. The node counts as stopped when a look at the sockets that
/// begins after `SETTLED` still shows bytes on their way. The look itself may take longer than that: the table of
/// sockets also has the closed ones of earlier tests, tens of thousands.
fn reach_of(node: &Node, client: &Client) -> Reach {
    const SETTLED: Duration = Duration::from_millis(300);
    let (local, remote) = (client.stream.local_addr().unwrap(), client.stream.peer_addr().unwrap());
    let (sent_at, mut arrived_at) = (Instant::now(), None);
    let mut is_settled = false;
    while !is_settled {
        is_settled = sent_at.elapsed() >= SETTLED;
        if !has_unacknowledged_bytes(local, remote) {
            arrived_at = arrived_at.or(Some(Instant::now()));
            if !has_unread_bytes(Some(node.address), Some(local)) {
                return Reach::Read;
            }
        }
        thread::sleep(Duration::from_millis(5));
    }
    arrived_at.map_or(Reach::Client, Reach::Held)
}

/// Sends a request to a node whose backend is paused, all but the last `tail_bytes` bytes, so that its end stays unread.
/// How much the buffers on the way take is up to the kernel, so the length is found by bisection.
fn hold_upload(node: &Node, expires_ms: u64, framing: Framing, tail_bytes: usize) -> HeldUpload {
    const SHORTEST_BYTES: usize = 200_000;
    const LONGEST_BYTES: usize = 8_000_000;
    const MAX_TRIALS: usize = 60;
    /// Difference at which the bounds are widened: what the kernel takes varies from one connection to the next.
    const MIN_DIFFERENCE_BYTES: usize = 8_000;
    const WIDENING_BYTES: usize = 100_000;
    let (mut read_bytes, mut unsent_bytes) = (SHORTEST_BYTES, 2 * SHORTEST_BYTES);
    let mut is_bounded = false;
    let mut trials = Vec::new();
    for _ in 0..MAX_TRIALS {
        let sent_bytes = if is_bounded { (read_bytes + unsent_bytes) / 2 } else { unsent_bytes };
        let length = sent_bytes + tail_bytes;
        let (header, body) = framing.encode(length);
        let (start, tail) = body.split_at(body.len() - tail_bytes);
        let mut client = Client::connect(node.address);
        assert!(client.send(&upload_head("bid", expires_ms, &header)));
        // Some of it may not fit into any buffer.
        client.stream.set_write_timeout(Some(Duration::from_millis(300))).unwrap();
        // A client that is dropped resets its connection: its close would wait behind what it cannot send.
        SockRef::from(&client.stream).set_linger(Some(Duration::ZERO)).unwrap();
        let reach = if client.send(start) { reach_of(node, &client) } else { Reach::Client };
        trials.push((sent_bytes, reach));
        match reach {
            Reach::Held(arrived_at) => {
                client.stream.set_write_timeout(Some(MAX_WAIT)).unwrap();
                return HeldUpload { client, length, tail: tail.to_vec(), arrived_at };
            }
            Reach::Read if is_bounded => read_bytes = sent_bytes,
            Reach::Read => {
                read_bytes = sent_bytes;
                unsent_bytes = (2 * sent_bytes).min(LONGEST_BYTES);
            }
            Reach::Client => {
                is_bounded = true;
                unsent_bytes = sent_bytes;
            }
        }
        if is_bounded && read_bytes + MIN_DIFFERENCE_BYTES > unsent_bytes {
            read_bytes = read_bytes.saturating_sub(WIDENING_BYTES).max(SHORTEST_BYTES / 2);
            unsent_bytes += WIDENING_BYTES;
        }
    }
    panic!("no length was found at which a body's end stays unread: {trials:?} {}", node.call("stats"));
}

/// Starts a node with these limits for the class `bid`.
fn start_node(discovery: SocketAddr, aim_ms: u64, deadline_ms: u64) -> Node {
    Node::start(discovery, |c| {
        c["settings"]["classes"][1]["objectiveMs"] = aim_ms.into();
        c["settings"]["classes"][1]["hardLimitMs"] = deadline_ms.into();
    })
}

#[test]
fn a_whole_long_request_is_answered_in_time_if_its_backend_stops_reading() {
    // Guards against a time limit that begins only when the backend has taken the last byte: the request was closed
    // without a response after 15 s.
    for framing in Framing::ALL {
        let backend = PausedBackend::start();
        let discovery = Discovery::start(all_up(&[backend.address]));
        let node = start_node(discovery.address, LIMIT_MS, LIMIT_MS);
        let mut upload = hold_upload(&node, LIMIT_MS, framing, 0);
        let response =
            upload.client.read_response().expect("a response to a request that has arrived whole");
        assert!(matches!(response.status(), 502 | 503), "{framing:?}: {}", response.first_line);
        let after = upload.arrived_at.elapsed();
        assert!(after < Duration::from_millis(LIMIT_MS) + MAX_LATENESS, "{framing:?}: {after:?}");
        wait_for("the attempt's connection is closed", || backend.traffic.open_connections() == 0);
    }
}

#[test]
fn a_slow_client_keeps_its_time_while_its_backend_pauses() {
    // The pause is longer than the request's time limit, which has not begun: the client still writes.
    const PIECE_BYTES: usize = 1_000;
    const PIECE_INTERVAL: Duration = Duration::from_millis(100);
    for framing in Framing::ALL {
        let backend = PausedBackend::start();
        let discovery = Discovery::start(all_up(&[backend.address]));
        let node = start_node(discovery.address, LIMIT_MS, LIMIT_MS);
        let mut upload = hold_upload(&node, LIMIT_MS, framing, 45 * PIECE_BYTES);
        for piece in upload.tail.chunks(PIECE_BYTES) {
            assert!(upload.client.send(piece), "{framing:?}");
            thread::sleep(PIECE_INTERVAL);
        }
        assert!(upload.arrived_at.elapsed() > Duration::from_millis(LIMIT_MS));
        backend.resume();
        let response = upload.client.read_response().expect("a response");
        assert_eq!((response.status(), response.body.as_slice()), (200, b"done".as_slice()), "{framing:?}");
        let requests = backend.traffic.requests.lock().unwrap();
        assert!(requests.last().unwrap().body == vec![0; upload.length], "{framing:?}");
    }
}

#[test]
fn a_request_that_cannot_arrive_is_refused_if_its_backend_stops_reading() {
    // Guards against a close in silence: the client can write no more, since the backend takes nothing.
    const LENGTH: usize = 32_000_000;
    for may_cancel in [true, false] {
        let backend = PausedBackend::start();
        let discovery = Discovery::start(all_up(&[backend.address]));
        let node =
            Node::start(discovery.address, |c| c["settings"]["limits"]["mayCancel"] = may_cancel.into());
        let mut client = Client::connect(node.address);
        client.stream.set_read_timeout(Some(3 * MAX_WAIT)).unwrap();
        let mut stream = client.stream.try_clone().unwrap();
        let writer = thread::spawn(move || {
            stream.write_all(&upload_head("bid", 900, &format!("Content-Length: {LENGTH}"))).unwrap();
            stream.write_all(&vec![0; LENGTH])
        });
        let response = client.read_response().expect("a response");
        assert_eq!(response.status(), 503, "no backend has received the request whole");
        wait_for("the attempt's connection is closed", || backend.traffic.open_connections() == 0);
        drop((client, node));
        let _ = writer.join().unwrap();
    }
}

#[test]
fn a_client_that_stops_within_a_long_body_gets_an_error() {
    // Guards against a close in silence after 15 s.
    for framing in Framing::ALL {
        let (header, body) = framing.encode(3_000_000);
        let traffic = Traffic::default();
        let addresses = start_backends(1, &traffic, |_, _| ok(b"done"));
        let discovery = Discovery::start(all_up(&addresses));
        let node = Node::start(discovery.address, |_| {});
        let mut client = Client::connect(node.address);
        client.stream.set_read_timeout(Some(3 * MAX_WAIT)).unwrap();
        assert!(client.send(&upload_head("bid", 900, &header)));
        assert!(client.send(&body[..100_000]));
        let response = client.read_response().expect("an error");
        assert_eq!((response.status(), response.header("connection")), (408, Some("close")), "{framing:?}");
        wait_for("the attempt's connection is closed", || traffic.open_connections() == 0);
        assert_eq!(traffic.request_count(), 0, "{framing:?}");
    }
}

#[test]
fn the_rest_of_an_answered_request_is_read_and_its_connection_kept() {
    // Guards against a connection that is closed with the rest of a body unread, which can destroy the response.
    for framing in Framing::ALL {
        let backend = PausedBackend::start();
        let discovery = Discovery::start(all_up(&[backend.address]));
        let node = start_node(discovery.address, LIMIT_MS, LIMIT_MS);
        let mut upload = hold_upload(&node, LIMIT_MS, framing, 0);
        let response = upload.client.read_response().expect("a response");
        assert_eq!(response.header("connection"), None, "{framing:?}");
        backend.resume();
        assert!(upload.client.send(&request("page", 4000)), "{framing:?}");
        let next = upload.client.read_response().expect("a response to the next request");
        assert!(matches!(next.status(), 200 | 503), "{framing:?}: {}", next.first_line);
    }
}

#[test]
fn a_slow_client_can_write_a_failed_request_to_its_end() {
    // Guards against a connection that is closed 2.5 s after the response while its client still writes 64 kB a second.
    const PIECE_BYTES: usize = 6_400;
    const PIECE_INTERVAL: Duration = Duration::from_millis(100);
    let traffic = Traffic::default();
    let stopped = TcpListener::bind(loopback(0)).unwrap();
    let addresses = [stopped.local_addr().unwrap()];
    // This backend closes each connection at once, with the request unread.
    let closing = thread::spawn(move || drop(stopped.accept()));
    let discovery = Discovery::start(all_up(&addresses));
    let node = Node::start(discovery.address, |_| {});
    let mut client = Client::connect(node.address);
    let body = vec![0; 448_000];
    assert!(client.send(&upload_head("bid", 900, &format!("Content-Length: {}", body.len()))));
    for (n, piece) in body.chunks(PIECE_BYTES).enumerate() {
        assert!(client.send(piece), "the connection is closed after {} bytes", n * PIECE_BYTES);
        thread::sleep(PIECE_INTERVAL);
    }
    assert!(matches!(client.read_response().expect("a response").status(), 502 | 503));
    closing.join().unwrap();
    discovery.set_targets(all_up(&start_backends(1, &traffic, |_, _| ok(b"done"))));
    wait_for("the next request on the connection is served", || {
        client.fetch(&request("page", 4000)).status() == 200
    });
}

/// Starts a node without a free transfer slot, and returns it with the clients that hold its two slots: they do not
/// read their long responses.
fn start_node_without_free_slot(deadline_ms: u64) -> (Node, Vec<Client>) {
    let traffic = Traffic::default();
    let response = http_response("200 OK", "", &[0; 16_000_000]);
    let addresses = start_backends(1, &traffic, move |_, _| Action::Send(response.clone()));
    let discovery = Discovery::start(all_up(&addresses));
    let node = Node::start(discovery.address, |c| {
        // Memory for the least number of slots, which is two.
        c["limits"]["memory_mb"] = 1.into();
        for class in c["settings"]["classes"].as_array_mut().unwrap() {
            class["objectiveMs"] = deadline_ms.into();
            class["hardLimitMs"] = deadline_ms.into();
        }
    });
    let holders = (0..2).map(|_| {
        let mut client = Client::connect(node.address);
        assert!(client.send(&request("page", deadline_ms)) && client.wait_for_data());
        client
    });
    let holders = holders.collect();
    (node, holders)
}

#[test]
fn a_request_is_not_late_by_its_wait_for_a_transfer_slot() {
    // Guards against a wait of a second that takes no account of the request's own time.
    const WAIT: Duration = Duration::from_millis(200);
    let (node, _holders) = start_node_without_free_slot(900);
    for framing in Framing::ALL {
        let (header, body) = framing.encode(100_000);
        let mut client = Client::connect(node.address);
        assert!(client.send(&upload_head("bid", WAIT.as_millis() as u64, &header)));
        let sent_at = Instant::now();
        assert!(client.send(&body));
        assert_eq!(client.read_response().expect("a response").status(), 503, "{framing:?}");
        let after = sent_at.elapsed();
        assert!(after < WAIT + MAX_LATENESS, "{framing:?}: {after:?}");
    }
}

#[test]
fn a_request_that_waits_for_a_transfer_slot_is_answered_before_exit() {
    // Guards against a wait that outlasts the process: the request was read and its connection closed without a response.
    let (mut node, holders) = start_node_without_free_slot(300);
    let body = [0; 100_000];
    let mut client = Client::connect(node.address);
    assert!(
        client.send(&upload_head("bid", 60_000, "Content-Length: 100000")) && client.send(&body[..50_000])
    );
    wait_for("the first part is read", || {
        !has_unread_bytes(Some(node.address), Some(client.stream.local_addr().unwrap()))
    });
    node.terminate();
    assert!(client.send(&body[50_000..]));
    assert_eq!(client.read_response().expect("a response").status(), 503);
    // The process finishes the responses that hold the slots, unless their clients leave.
    drop(holders);
    assert!(node.wait_for_exit().success());
}

#[test]
fn a_request_that_arrived_while_the_process_was_held_up_is_answered() {
    // Guards against a check for slow clients that closes a connection before what came meanwhile is read. Which of the
    // two is first was left to chance, hence several connections.
    const CONNECTIONS: usize = 8;
    // Longer than the 2.5 s that a client has for its first head.
    const HOLD_UP: Duration = Duration::from_millis(2_700);
    let traffic = Traffic::default();
    let addresses = start_backends(8, &traffic, |_, _| ok(b"done"));
    let discovery = Discovery::start(all_up(&addresses));
    let node = Node::start(discovery.address, |_| {});
    let bytes: Vec<Vec<u8>> = (0..CONNECTIONS).map(|_| request("page", 4000)).collect();
    let mut clients: Vec<Client> = (0..CONNECTIONS).map(|_| Client::connect(node.address)).collect();
    for (client, bytes) in clients.iter_mut().zip(&bytes) {
        assert!(client.send(&bytes[..40]));
    }
    wait_for("part of each head is read", || !has_unread_bytes(Some(node.address), None));
    node.suspend();
    // On a machine that is held up itself, a client's time may be over already.
    clients.retain(|client| !client.is_closed_by_peer());
    assert!(!clients.is_empty());
    for (client, bytes) in clients.iter_mut().zip(&bytes) {
        assert!(client.send(&bytes[40..]));
    }
    thread::sleep(HOLD_UP);
    node.resume();
    for client in &mut clients {
        let response = client.read_response().expect("a response to a request that has arrived whole");
        assert!(matches!(response.status(), 200 | 503), "{}", response.first_line);
    }
}

#[test]
fn a_response_that_its_backend_gives_slowly_is_not_cut() {
    // Guards against a check for clients that have stopped reading which counts the backend's pauses: a response of less
    // than 16 KiB in 15 s was cut.
    const PAUSE_MS: u64 = 3_000;
    let parts: Vec<(u64, Vec<u8>)> =
        (0..7).map(|n| (PAUSE_MS, format!("1\r\n{n}\r\n").into_bytes())).collect();
    let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nstart\r\n".to_vec();
    let parts = [vec![(0, head)], parts, vec![(0, b"0\r\n\r\n".to_vec())]].concat();
    let traffic = Traffic::default();
    let addresses = start_backends(1, &traffic, move |_, _| Action::Parts(parts.clone()));
    let discovery = Discovery::start(all_up(&addresses));
    let node = Node::start(discovery.address, |_| {});
    let response = fetch(node.address, &request("page", 4000));
    assert_eq!((response.status(), response.body.as_slice()), (200, b"start0123456".as_slice()));
}

#[test]
fn a_held_up_long_request_is_answered_at_exit_and_at_an_upgrade() {
    // Guards against an exit that leaves a request in the receive buffer without a response. Its own time is far longer
    // than the process has.
    const LONG_LIMIT_MS: u64 = 60_000;
    for has_successor in [false, true] {
        let backend = PausedBackend::start();
        let discovery = Discovery::start(all_up(&[backend.address]));
        let mut node = start_node(discovery.address, LONG_LIMIT_MS, LONG_LIMIT_MS);
        let mut upload = hold_upload(&node, LONG_LIMIT_MS, Framing::Length, 0);
        let successor = has_successor.then(|| node.start_successor("exec \"$0\""));
        if let Some(successor) = &successor {
            wait_for("the new process serves", || {
                successor.try_call("health").is_some_and(|answer| answer.starts_with("OK"))
            });
        }
        node.terminate();
        let response = upload.client.read_response().expect("a response before the process exits");
        assert!(matches!(response.status(), 502 | 503), "{}", response.first_line);
        assert!(node.wait_for_exit().success());
    }
}
