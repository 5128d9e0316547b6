//! The instant in which something ends while something else is still owed: drains and repeat windows that end in a
//! handshake, clients that leave while they wait, closes that cross a request or an answer.
mod node;

use node::*;
use socket2::{Domain, SockRef, Socket, Type};
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::thread;
use std::time::{Duration, Instant};

/// Settings in which nothing ends by itself while a test lasts.
fn patient(config: &mut serde_json::Value) {
    config["settings"]["limits"]["connectTimeoutMs"] = 60_000.into();
    for class in config["settings"]["classes"].as_array_mut().unwrap() {
        class["objectiveMs"] = 60_000.into();
        class["hardLimitMs"] = 60_000.into();
    }
}

#[test]
fn a_repeat_window_that_ends_in_the_handshake_stops_the_send() {
    let traffic = Traffic::default();
    let stuck = StalledBackend::new();
    let go = Arc::new(AtomicBool::new(false));
    let may_end = go.clone();
    // It takes the request, which may have run, and breaks off once the other one is known.
    let first = start_backend(&traffic, move |_, _| {
        wait_for("the other backend is known", || may_end.load(SeqCst));
        Action::SendAndClose(Vec::new())
    });
    let discovery = Discovery::start(vec![target("s-0", first, "up")]);
    const WINDOW: Duration = Duration::from_millis(1500);
    let node = Node::start(discovery.address, |c| {
        patient(c);
        c["settings"]["classes"][2]["keyTtlMs"] = (WINDOW.as_millis() as u64).into();
    });
    let mut client = Client::connect(node.address);
    let begun = Instant::now();
    assert!(client.send(&request("pay", 60_000)));
    wait_for("the first attempt", || traffic.request_count() == 1);
    discovery.set_targets(vec![target("s-0", first, "up"), target("s-1", stuck.address, "up")]);
    wait_for("both are listed", || node.call("stats").contains("s-1"));
    go.store(true, SeqCst);
    stuck.wait_for_handshake();
    wait_for("the window is over", || begun.elapsed() > WINDOW);
    let sent = stuck.accept_and_read();
    assert!(sent.is_empty(), "sent again outside its window: {sent}");
    assert_eq!(client.read_response().unwrap().status(), 503);
    assert_eq!(traffic.request_count(), 1);
}

#[test]
fn a_long_request_is_not_begun_at_a_backend_that_drained_in_its_handshake() {
    let stuck = StalledBackend::new();
    let discovery = Discovery::start(vec![target("s-0", stuck.address, "up")]);
    let node = Node::start(discovery.address, patient);
    let mut client = Client::connect(node.address);
    // Part of its body is there, more than is held whole.
    assert!(client.send(&Leaves::ClosesWithinItsBody.sent_before()));
    stuck.wait_for_handshake();
    discovery.set_targets(vec![target("s-0", stuck.address, "draining")]);
    wait_for("the drain is known", || node.up_status() == 503);
    let sent = stuck.accept_and_read();
    assert!(sent.is_empty(), "begun at a backend that drains: {sent:.200}");
    assert_eq!(client.read_response().unwrap().status(), 503);
}

/// How a client goes whose request waits for a connection.
#[derive(Clone, Copy, Debug)]
enum Leaves {
    Closes,
    Resets,
    EndsItsSending,
    ClosesBehindAnotherRequest,
    ResetsBehindAnotherRequest,
    ClosesWithinItsBody,
    ResetsWithinItsBody,
    ClosesBehindAFlood,
}

impl Leaves {
    const ALL: [Leaves; 8] = [
        Leaves::Closes,
        Leaves::Resets,
        Leaves::EndsItsSending,
        Leaves::ClosesBehindAnotherRequest,
        Leaves::ResetsBehindAnotherRequest,
        Leaves::ClosesWithinItsBody,
        Leaves::ResetsWithinItsBody,
        Leaves::ClosesBehindAFlood,
    ];

    fn sent_before(self) -> Vec<u8> {
        let mut bytes = request("page", 60_000);
        match self {
            Leaves::ClosesBehindAnotherRequest | Leaves::ResetsBehindAnotherRequest => {
                bytes.extend(request("page", 60_000));
            }
            Leaves::ClosesWithinItsBody | Leaves::ResetsWithinItsBody => {
                let head = "POST /api HTTP/1.1\r\nHost: n\r\nX-Trace-Id: 9b\r\nX-Qos: bid\r\nX-Expires-In-Ms: 60000\r\n\
                    Content-Length: 900000\r\n\r\n";
                bytes = head.into();
                bytes.resize(head.len() + 150_000, b'x');
            }
            Leaves::ClosesBehindAFlood => bytes.resize(200_000, b'x'),
            _ => {}
        }
        bytes
    }

    fn leave(self, stream: TcpStream) {
        match self {
            Leaves::EndsItsSending => stream.shutdown(Shutdown::Write).unwrap(),
            Leaves::Resets | Leaves::ResetsBehindAnotherRequest | Leaves::ResetsWithinItsBody => {
                SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
            }
            _ => {}
        }
        if matches!(self, Leaves::EndsItsSending) {
            // It stays open the other way, for as long as the node does not end it.
            let mut rest = Vec::new();
            stream.set_read_timeout(Some(MAX_WAIT)).unwrap();
            let _ = (&stream).read_to_end(&mut rest);
            assert!(rest.is_empty(), "{}", String::from_utf8_lossy(&rest));
        }
    }
}

#[test]
fn a_client_that_leaves_while_its_request_waits_takes_it_along() {
    for way in Leaves::ALL {
        let stuck = StalledBackend::new();
        let discovery = Discovery::start(vec![target("s-0", stuck.address, "up")]);
        let node = Node::start(discovery.address, patient);
        let before = node.open_descriptors();
        let mut client = TcpStream::connect(node.address).unwrap();
        // What the node does not read the system takes, as far as it does.
        client.set_write_timeout(Some(Duration::from_millis(300))).unwrap();
        let bytes = way.sent_before();
        let mut sent = 0;
        while sent < bytes.len() {
            match client.write(&bytes[sent..]) {
                Ok(n) => sent += n,
                Err(_) => break,
            }
        }
        stuck.wait_for_handshake();
        way.leave(client);
        wait_for(&format!("{way:?}: its handshake is given up"), || {
            !has_tcp_socket(stuck.address, SYN_SENT)
        });
        wait_for(&format!("{way:?}: its descriptors are free"), || node.open_descriptors() <= before);
        assert!(node.call("stats").contains("\"open\":0"), "{way:?}: {}", node.call("stats"));
    }
}

#[test]
fn an_answer_is_not_destroyed_by_a_close_over_unread_bytes() {
    let traffic = Traffic::default();
    let body: Vec<u8> = (0..=255_u8).cycle().take(60_000).collect();
    let sent = body.clone();
    let addresses = start_backends(1, &traffic, move |_, _| ok(&sent));
    let discovery = Discovery::start(all_up(&addresses));
    let node = Node::start(discovery.address, |_| {});
    assert_eq!(fetch(node.address, &request("page", 4000)).status(), 200);
    let before = node.open_descriptors();
    // A client that takes little at a time, and has more to say than anybody reads.
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
    wait_for("the node has closed", || node.open_descriptors() <= before);
    let answer = Message::read(&mut BufReader::new(client)).expect("a whole answer");
    assert_eq!(answer.status(), 200);
    assert!(answer.body == body, "{} bytes of it", answer.body.len());
}

/// An answer in order, or the end of a connection between requests whose request no backend has seen.
fn answered_or_never_sent(client: &mut Client, traffic: &Traffic, before: usize, what: &str) {
    match client.read_response() {
        Some(answer) => assert!(matches!(answer.status(), 200 | 503), "{what}: {}", answer.first_line),
        None => assert_eq!(traffic.request_count(), before, "{what}: sent on, and its client was not told"),
    }
}

#[test]
fn a_request_that_crosses_the_close_of_a_resting_connection_is_answered_or_never_sent_on() {
    for what in ["quiesce", "eviction"] {
        let traffic = Traffic::default();
        let addresses = start_backends(1, &traffic, |_, _| ok(b"x"));
        let discovery = Discovery::start(all_up(&addresses));
        let node = Node::start(discovery.address, |c| c["limits"]["sockets"] = 60.into());
        let mut resting: Vec<Client> = (0..6).map(|_| Client::connect(node.address)).collect();
        for client in &mut resting {
            assert_eq!(client.fetch(&request("page", 4000)).status(), 200);
        }
        let before = traffic.request_count();
        node.suspend();
        assert!(resting[0].send(&request("bid", 4000)));
        // More than there are descriptors for.
        let crowd: Vec<Client> = match what {
            "eviction" => (0..60).map(|_| Client::connect(node.address)).collect(),
            _ => Vec::new(),
        };
        let operator = node.operator;
        let said = thread::spawn(move || match what {
            "quiesce" => try_call_operator(operator, b"quiesce\n"),
            _ => None,
        });
        node.resume();
        answered_or_never_sent(&mut resting[0], &traffic, before, what);
        said.join().unwrap();
        // The others are closed, or answered.
        for client in &mut resting[1..] {
            let before = traffic.request_count();
            client.send(&request("bid", 4000));
            answered_or_never_sent(client, &traffic, before, what);
        }
        assert!(node.open_descriptors() <= 60, "{what}: {}", node.open_descriptors());
        drop(crowd);
    }
}

#[test]
fn a_flood_of_bad_clients_costs_good_ones_nothing() {
    let traffic = Traffic::default();
    // Enough of them that what the bad ones ask properly crowds nobody out.
    let addresses = start_backends(16, &traffic, |_, _| ok(b"x"));
    let discovery = Discovery::start(all_up(&addresses));
    let node = Node::start(discovery.address, |c| c["limits"]["sockets"] = 128.into());
    let (address, most) = (node.address, 128);
    let before = node.open_descriptors();
    let flood: Vec<_> = (0..8)
        .map(|n| {
            thread::spawn(move || {
                for round in 0..40 {
                    let Ok(mut bad) = TcpStream::connect(address) else { continue };
                    bad.set_write_timeout(Some(Duration::from_millis(50))).unwrap();
                    // Much that is nothing, half a head, a request with much behind it, a body that is cut.
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
        let answer = good.fetch(&request("bid", 4000));
        assert_eq!(answer.status(), 200, "request {n}");
        assert!(node.open_descriptors() <= most, "{} descriptors", node.open_descriptors());
    }
    flood.into_iter().for_each(|f| f.join().unwrap());
    wait_for("they are all gone", || node.call("stats").contains("\"clients\":1"));
    // The good client's, and connections to backends that rest.
    let resting = traffic.open_connections() as usize;
    wait_for("what they held is free", || node.open_descriptors() <= before + 1 + resting);
    assert!(node.peak_memory_bytes() < 64 << 20, "{} bytes", node.peak_memory_bytes());
}

#[test]
fn handshakes_that_never_end_hold_no_request_and_no_descriptor_for_good() {
    let stuck = StalledBackend::new();
    let traffic = Traffic::default();
    let good = start_backend(&traffic, |_, _| ok(b"x"));
    let discovery = Discovery::start(vec![target("s-0", stuck.address, "up"), target("s-1", good, "up")]);
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
            // Nothing has run where no connection came up: it goes elsewhere, or its client may come again.
            let answer = client.read_response().expect("an answer");
            assert!(matches!(answer.status(), 200 | 503), "{}", answer.first_line);
            served += usize::from(answer.status() == 200);
        }
    }
    assert!(served > 40, "{served} of 80");
    wait_for("descriptors are free", || node.open_descriptors() <= before + 8);
}

#[test]
fn a_client_that_left_gets_no_further_attempt() {
    // Requests that were served before, which pay for a further attempt.
    const WARM: usize = 30;
    for class in ["page", "pay"] {
        for leaves in [false, true] {
            let traffic = Traffic::default();
            let gone = Arc::new(AtomicBool::new(false));
            let may_end = gone.clone();
            let addresses = start_backends(3, &traffic, move |n, _| match n {
                WARM => {
                    wait_for("the client has left or stays", || may_end.load(SeqCst));
                    Action::SendAndClose(Vec::new())
                }
                _ => ok(b"x"),
            });
            let discovery = Discovery::start(all_up(&addresses));
            // What has been sent is not called off, so it ends after its client.
            let node =
                Node::start(discovery.address, |c| c["settings"]["limits"]["mayCancel"] = false.into());
            let mut client = Client::connect(node.address);
            for _ in 0..WARM {
                assert_eq!(client.fetch(&request(class, 4000)).status(), 200);
            }
            let before = node.open_descriptors();
            assert!(client.send(&request(class, 4000)));
            wait_for("the attempt is out", || traffic.request_count() == WARM + 1);
            if leaves {
                drop(client);
                wait_for("the node has seen it leave", || node.open_descriptors() < before);
                gone.store(true, SeqCst);
                wait_for("the attempt is over", || node.call("stats").contains("\"open\":0"));
                assert_eq!(
                    traffic.request_count(),
                    WARM + 1,
                    "{class}: sent on for a client that has left"
                );
            } else {
                gone.store(true, SeqCst);
                assert_eq!(client.read_response().expect("an answer").status(), 200, "{class}");
                assert_eq!(traffic.request_count(), WARM + 2, "{class}: a client that stays gets another");
            }
        }
    }
}
