//! Races between the end of something and work that is still pending: drains and key lifetimes that end during a
//! handshake, clients that disconnect while they wait, connections closed while a request or a response is in flight.
mod node;

use node::*;
use socket2::{Domain, SockRef, Socket, Type};
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::thread;
use std::time::{Duration, Instant};

/// Sets time limits of 60 s, which no test reaches.
fn set_long_limits(config: &mut serde_json::Value) {
    config["settings"]["limits"]["connectTimeoutMs"] = 60_000.into();
    for class in config["settings"]["classes"].as_array_mut().unwrap() {
        class["objectiveMs"] = 60_000.into();
        class["hardLimitMs"] = 60_000.into();
    }
}

#[test]
fn a_key_lifetime_that_ends_during_the_handshake_stops_the_second_attempt() {
    let traffic = Traffic::default();
    let stalled = StalledBackend::new();
    let may_close = Arc::new(AtomicBool::new(false));
    let may_close_clone = may_close.clone();
    // The first backend reads the request, which counts as possibly processed, and closes once the node knows the
    // second one.
    let first = start_backend(&traffic, move |_, _| {
        wait_for("the node knows the other backend", || may_close_clone.load(SeqCst));
        Action::SendAndClose(Vec::new())
    });
    let discovery = Discovery::start(vec![target("s-0", first, "up")]);
    const KEY_LIFETIME: Duration = Duration::from_millis(1500);
    let node = Node::start(discovery.address, |c| {
        set_long_limits(c);
        c["settings"]["classes"][2]["keyTtlMs"] = (KEY_LIFETIME.as_millis() as u64).into();
    });
    let mut client = Client::connect(node.address);
    let sent_at = Instant::now();
    assert!(client.send(&request("pay", 60_000)));
    wait_for("the first attempt", || traffic.request_count() == 1);
    discovery.set_targets(vec![target("s-0", first, "up"), target("s-1", stalled.address, "up")]);
    wait_for("both are listed", || node.call("stats").contains("s-1"));
    may_close.store(true, SeqCst);
    stalled.wait_for_handshake();
    wait_for("the key lifetime is over", || sent_at.elapsed() > KEY_LIFETIME);
    let sent = stalled.accept_and_read();
    assert!(sent.is_empty(), "sent again after the key lifetime: {sent}");
    assert_eq!(client.read_response().unwrap().status(), 503);
    assert_eq!(traffic.request_count(), 1);
}

#[test]
fn a_long_request_is_not_sent_to_a_backend_that_drains_during_the_handshake() {
    let stalled = StalledBackend::new();
    let discovery = Discovery::start(vec![target("s-0", stalled.address, "up")]);
    let node = Node::start(discovery.address, set_long_limits);
    let mut client = Client::connect(node.address);
    // The node has part of the body, and the request is too long to be buffered whole.
    assert!(client.send(&Disconnect::ClosesWithinItsBody.sent_before()));
    stalled.wait_for_handshake();
    discovery.set_targets(vec![target("s-0", stalled.address, "draining")]);
    wait_for("the node knows of the drain", || node.up_status() == 503);
    let sent = stalled.accept_and_read();
    assert!(sent.is_empty(), "sent to a draining backend: {sent:.200}");
    assert_eq!(client.read_response().unwrap().status(), 503);
}

/// How a client disconnects while its request waits for a connection to a backend.
#[derive(Clone, Copy, Debug)]
enum Disconnect {
    Closes,
    Resets,
    /// Shuts down its sending side and keeps reading.
    EndsItsSending,
    ClosesBehindAnotherRequest,
    ResetsBehindAnotherRequest,
    ClosesWithinItsBody,
    ResetsWithinItsBody,
    /// Closes after it has sent 200 kB that the node does not read.
    ClosesBehindAFlood,
}

impl Disconnect {
    const ALL: [Disconnect; 8] = [
        Disconnect::Closes,
        Disconnect::Resets,
        Disconnect::EndsItsSending,
        Disconnect::ClosesBehindAnotherRequest,
        Disconnect::ResetsBehindAnotherRequest,
        Disconnect::ClosesWithinItsBody,
        Disconnect::ResetsWithinItsBody,
        Disconnect::ClosesBehindAFlood,
    ];

    /// Returns the bytes that the client sends before it disconnects.
    fn sent_before(self) -> Vec<u8> {
        let mut bytes = request("page", 60_000);
        match self {
            Disconnect::ClosesBehindAnotherRequest | Disconnect::ResetsBehindAnotherRequest => {
                bytes.extend(request("page", 60_000));
            }
            Disconnect::ClosesWithinItsBody | Disconnect::ResetsWithinItsBody => {
                let head = "POST /api HTTP/1.1\r\nHost: n\r\nX-Trace-Id: 9b\r\nX-Qos: bid\r\nX-Expires-In-Ms: 60000\r\n\
                    Content-Length: 900000\r\n\r\n";
                bytes = head.into();
                bytes.resize(head.len() + 150_000, b'x');
            }
            Disconnect::ClosesBehindAFlood => bytes.resize(200_000, b'x'),
            _ => {}
        }
        bytes
    }

    fn apply(self, stream: TcpStream) {
        match self {
            Disconnect::EndsItsSending => stream.shutdown(Shutdown::Write).unwrap(),
            Disconnect::Resets
            | Disconnect::ResetsBehindAnotherRequest
            | Disconnect::ResetsWithinItsBody => {
                SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
            }
            _ => {}
        }
        if matches!(self, Disconnect::EndsItsSending) {
            // The client can still receive until the node closes the connection.
            let mut rest = Vec::new();
            stream.set_read_timeout(Some(MAX_WAIT)).unwrap();
            let _ = (&stream).read_to_end(&mut rest);
            assert!(rest.is_empty(), "{}", String::from_utf8_lossy(&rest));
        }
    }
}

#[test]
fn a_request_in_a_handshake_is_dropped_when_its_client_disconnects() {
    for disconnect in Disconnect::ALL {
        let stalled = StalledBackend::new();
        let discovery = Discovery::start(vec![target("s-0", stalled.address, "up")]);
        let node = Node::start(discovery.address, set_long_limits);
        let before = node.open_descriptors();
        let mut client = TcpStream::connect(node.address).unwrap();
        // The kernel buffers a part of what the node does not read; the rest times out.
        client.set_write_timeout(Some(Duration::from_millis(300))).unwrap();
        let bytes = disconnect.sent_before();
        let mut sent = 0;
        while sent < bytes.len() {
            match client.write(&bytes[sent..]) {
                Ok(n) => sent += n,
                Err(_) => break,
            }
        }
        stalled.wait_for_handshake();
        disconnect.apply(client);
        wait_for(&format!("{disconnect:?}: the handshake is given up"), || {
            !has_tcp_socket(stalled.address, SYN_SENT)
        });
        wait_for(&format!("{disconnect:?}: the descriptors are closed"), || {
            node.open_descriptors() <= before
        });
        assert!(node.call("stats").contains("\"open\":0"), "{disconnect:?}: {}", node.call("stats"));
    }
}

#[test]
fn a_close_with_unread_bytes_does_not_destroy_the_response() {
    let traffic = Traffic::default();
    let body: Vec<u8> = (0..=255_u8).cycle().take(60_000).collect();
    let sent = body.clone();
    let addresses = start_backends(1, &traffic, move |_, _| ok(&sent));
    let discovery = Discovery::start(all_up(&addresses));
    let node = Node::start(discovery.address, |_| {});
    assert_eq!(fetch(node.address, &request("page", 4000)).status(), 200);
    let before = node.open_descriptors();
    // A client with a small receive buffer, which sends more than the node reads.
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(4096).unwrap();
    socket.connect(&node.address.into()).unwrap();
    let mut client = TcpStream::from(socket);
    client.set_write_timeout(Some(Duration::from_millis(300))).unwrap();
    client.set_read_timeout(Some(MAX_WAIT)).unwrap();
    let text = String::from_utf8(request("page", 4000)).unwrap();
    let mut bytes = text.replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n").into_bytes();
    bytes.resize(400_000, b'x');
    let _ = client.write_all(&bytes);
    wait_for("the node has closed the connection", || node.open_descriptors() <= before);
    let response = Message::read(&mut BufReader::new(client)).expect("a complete response");
    assert_eq!(response.status(), 200);
    assert!(response.body == body, "{} bytes of the body", response.body.len());
}

/// Checks that the client gets a valid response, or that its connection is closed and no backend received the request.
fn check_answered_or_never_sent(client: &mut Client, traffic: &Traffic, before: usize, what: &str) {
    match client.read_response() {
        Some(response) => {
            assert!(matches!(response.status(), 200 | 503), "{what}: {}", response.first_line)
        }
        None => {
            assert_eq!(traffic.request_count(), before, "{what}: forwarded, and the client got no response")
        }
    }
}

#[test]
fn a_request_that_crosses_the_close_of_an_idle_connection_is_answered_or_never_forwarded() {
    for what in ["quiesce", "eviction"] {
        let traffic = Traffic::default();
        let addresses = start_backends(1, &traffic, |_, _| ok(b"x"));
        let discovery = Discovery::start(all_up(&addresses));
        let node = Node::start(discovery.address, |c| c["limits"]["sockets"] = 60.into());
        let mut idle: Vec<Client> = (0..6).map(|_| Client::connect(node.address)).collect();
        for client in &mut idle {
            assert_eq!(client.fetch(&request("page", 4000)).status(), 200);
        }
        let before = traffic.request_count();
        node.suspend();
        assert!(idle[0].send(&request("bid", 4000)));
        // More connections than the node has descriptors for.
        let extra_clients: Vec<Client> = match what {
            "eviction" => (0..60).map(|_| Client::connect(node.address)).collect(),
            _ => Vec::new(),
        };
        let operator = node.operator;
        let quiesce_call = thread::spawn(move || match what {
            "quiesce" => try_call_operator(operator, b"quiesce\n"),
            _ => None,
        });
        node.resume();
        check_answered_or_never_sent(&mut idle[0], &traffic, before, what);
        quiesce_call.join().unwrap();
        // The other connections are closed or still served.
        for client in &mut idle[1..] {
            let before = traffic.request_count();
            client.send(&request("bid", 4000));
            check_answered_or_never_sent(client, &traffic, before, what);
        }
        assert!(node.open_descriptors() <= 60, "{what}: {}", node.open_descriptors());
        drop(extra_clients);
    }
}

#[test]
fn bad_clients_do_not_affect_good_ones() {
    let traffic = Traffic::default();
    // Enough backends for the valid requests of the bad clients as well.
    let addresses = start_backends(16, &traffic, |_, _| ok(b"x"));
    let discovery = Discovery::start(all_up(&addresses));
    let node = Node::start(discovery.address, |c| c["limits"]["sockets"] = 128.into());
    let (address, limit) = (node.address, 128);
    let before = node.open_descriptors();
    let flood: Vec<_> = (0..8)
        .map(|n| {
            thread::spawn(move || {
                for round in 0..40 {
                    let Ok(mut bad) = TcpStream::connect(address) else { continue };
                    bad.set_write_timeout(Some(Duration::from_millis(50))).unwrap();
                    // Garbage, half a request head, a request followed by garbage, an incomplete body.
                    let bytes = match (n + round) % 4 {
                        0 => vec![b'x'; 400_000],
                        1 => request("page", 900)[..30].to_vec(),
                        2 => [request("page", 900), vec![b'x'; 400_000]].concat(),
                        _ => b"POST /api HTTP/1.1\r\nContent-Length: 90000\r\n\r\nxxxx".to_vec(),
                    };
                    let _ = bad.write_all(&bytes);
                }
            })
        })
        .collect();
    let mut good = Client::connect(node.address);
    for n in 0..200 {
        let response = good.fetch(&request("bid", 4000));
        assert_eq!(response.status(), 200, "request {n}");
        assert!(node.open_descriptors() <= limit, "{} descriptors", node.open_descriptors());
    }
    flood.into_iter().for_each(|f| f.join().unwrap());
    wait_for("all bad clients are gone", || node.call("stats").contains("\"clients\":1"));
    // The good client's connection and the idle ones to backends remain.
    let idle_backend_connections = traffic.open_connections() as usize;
    wait_for("the descriptors of the bad clients are closed", || {
        node.open_descriptors() <= before + 1 + idle_backend_connections
    });
    assert!(node.peak_memory_bytes() < 64 << 20, "{} bytes", node.peak_memory_bytes());
}

#[test]
fn endless_handshakes_block_no_request_and_leak_no_descriptor() {
    let stalled = StalledBackend::new();
    let traffic = Traffic::default();
    let good = start_backend(&traffic, |_, _| ok(b"x"));
    let discovery = Discovery::start(vec![target("s-0", stalled.address, "up"), target("s-1", good, "up")]);
    let node = Node::start(discovery.address, |c| {
        c["limits"]["sockets"] = 80.into();
        c["settings"]["limits"]["connectTimeoutMs"] = 200.into();
    });
    let before = node.open_descriptors();
    let mut served = 0;
    for _ in 0..10 {
        let mut clients: Vec<Client> = (0..8).map(|_| Client::connect(node.address)).collect();
        for client in &mut clients {
            assert!(client.send(&request("bid", 4000)));
        }
        for client in &mut clients {
            // Without a connection nothing was processed: the request is sent elsewhere or refused.
            let response = client.read_response().expect("a response");
            assert!(matches!(response.status(), 200 | 503), "{}", response.first_line);
            served += usize::from(response.status() == 200);
        }
    }
    assert!(served > 40, "{served} of 80");
    wait_for("the descriptors are closed", || node.open_descriptors() <= before + 8);
}

#[test]
fn no_further_attempt_is_sent_for_a_client_that_disconnected() {
    // Number of requests served before, which earn the budget for a further attempt.
    const SERVED_BEFORE: usize = 30;
    for class in ["page", "pay"] {
        for disconnects in [false, true] {
            let traffic = Traffic::default();
            let may_close = Arc::new(AtomicBool::new(false));
            let may_close_clone = may_close.clone();
            let addresses = start_backends(3, &traffic, move |n, _| match n {
                SERVED_BEFORE => {
                    wait_for("the client has disconnected or stays", || may_close_clone.load(SeqCst));
                    Action::SendAndClose(Vec::new())
                }
                _ => ok(b"x"),
            });
            let discovery = Discovery::start(all_up(&addresses));
            // Attempts are not cancelled, so this one outlives its client.
            let node =
                Node::start(discovery.address, |c| c["settings"]["limits"]["mayCancel"] = false.into());
            let mut client = Client::connect(node.address);
            for _ in 0..SERVED_BEFORE {
                assert_eq!(client.fetch(&request(class, 4000)).status(), 200);
            }
            let before = node.open_descriptors();
            assert!(client.send(&request(class, 4000)));
            wait_for("the attempt is in flight", || traffic.request_count() == SERVED_BEFORE + 1);
            if disconnects {
                drop(client);
                wait_for("the node has noticed the disconnect", || node.open_descriptors() < before);
                may_close.store(true, SeqCst);
                wait_for("the attempt has ended", || node.call("stats").contains("\"open\":0"));
                assert_eq!(
                    traffic.request_count(),
                    SERVED_BEFORE + 1,
                    "{class}: sent again for a client that has disconnected"
                );
            } else {
                may_close.store(true, SeqCst);
                assert_eq!(client.read_response().expect("a response").status(), 200, "{class}");
                assert_eq!(
                    traffic.request_count(),
                    SERVED_BEFORE + 2,
                    "{class}: a client that stays gets a second attempt"
                );
            }
        }
    }
}
