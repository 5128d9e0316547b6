//! One request and its response: what the node forwards, and how the outcome of an attempt is handled for each class.
mod node;

use node::*;
use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::time::{Duration, Instant};

#[test]
fn requests_and_responses_are_forwarded_byte_for_byte() {
    let traffic = Traffic::default();
    let body: Vec<u8> = (0..=255_u8).cycle().take(60_000).collect();
    let sent = body.clone();
    let addresses = start_backends(1, &traffic, move |_, _| ok(&sent));
    let discovery = Discovery::start(all_up(&addresses));
    let node = Node::start(discovery.address, |_| {});
    let request = b"POST /api?lot=7&x=%20y HTTP/1.1\r\nHost: api.internal\r\nX-Trace-Id: 9b1f03aa5c7e2d41\r\n\
        X-Qos: pay\r\nX-Expires-In-Ms: 2000\r\nIdempotency-Key: 5c0f\r\nContent-Length: 6\r\n\r\n\x00\xff\r\n\r\n";
    let mut client = Client::connect(node.address);
    for _ in 0..3 {
        let response = client.fetch(request);
        assert_eq!(response.status(), 200);
        assert!(response.body == body, "the body was changed");
    }
    let requests = traffic.requests.lock().unwrap();
    assert_eq!(requests[0].first_line, "POST /api?lot=7&x=%20y HTTP/1.1");
    assert_eq!(requests[0].body, b"\x00\xff\r\n\r\n");
    assert_eq!(requests[0].header("x-trace-id"), Some("9b1f03aa5c7e2d41"));
    assert_eq!(requests[0].header("idempotency-key"), Some("5c0f"));
    let limit_ms: u64 = requests[0].header("x-expires-in-ms").unwrap().parse().unwrap();
    assert!((1..2000).contains(&limit_ms), "the backend received a time limit of {limit_ms} ms");
    assert_eq!(traffic.open_connections(), 1, "the connection must be reused");
}

/// Sends one request whose first attempt ends by `first_action`; any further attempt would succeed. Returns the
/// client's status and the number of attempts that reached a backend.
fn send_once(class: &str, first_action: Action) -> (u16, usize) {
    let traffic = Traffic::default();
    let addresses =
        start_backends(3, &traffic, move |n, _| if n == 0 { first_action.clone() } else { ok(b"second") });
    let discovery = Discovery::start(all_up(&addresses));
    let node = Node::start(discovery.address, |_| {});
    let response = fetch(node.address, &request(class, 900));
    if response.status() == 200 {
        assert_eq!(response.body, b"second");
    }
    (response.status(), traffic.request_count())
}

/// Returns actions of a backend after which it may have processed the request, with a description of each.
fn actions_that_may_have_run() -> Vec<(&'static str, Action)> {
    vec![
        ("500", Action::Send(http_response("500 Internal Server Error", "", b""))),
        ("500 with X-Never-Ran", Action::Send(http_response("500 No", "X-Never-Ran: 1\r\n", b""))),
        ("503 without X-Never-Ran", Action::Send(http_response("503 Service Unavailable", "", b""))),
        ("404", Action::Send(http_response("404 Not Found", "X-Never-Ran: 1\r\n", b""))),
        ("closed before the response", Action::SendAndClose(Vec::new())),
        ("closed in the head", Action::SendAndClose(b"HTTP/1.1 200 O".to_vec())),
        (
            "closed in the body",
            Action::SendAndClose(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf".to_vec()),
        ),
        (
            "two framings",
            Action::SendAndClose(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n2\r\nab\r\n0\r\n\r\n".to_vec()),
        ),
        ("not HTTP", Action::SendAndClose(b"what?\r\n\r\n".to_vec())),
        ("an invalid status line", Action::Send(b"HTTP/1.1 abc OK\r\nContent-Length: 0\r\n\r\n".to_vec())),
        ("no length, then a reset", Action::SendAndReset(b"HTTP/1.1 200 OK\r\n\r\nhalf".to_vec())),
        ("reset in the head", Action::SendAndReset(b"HTTP/1.1 200 OK\r\nContent-Le".to_vec())),
        ("a length greater than the body", Action::SendAndReset(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort".to_vec())),
        ("two lengths", Action::Send(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nab".to_vec())),
        ("a length that is no number", Action::Send(b"HTTP/1.1 200 OK\r\nContent-Length: two\r\n\r\nab".to_vec())),
        ("a chunk size that is no number", Action::Send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nab".to_vec())),
        ("endless headers", Action::Send([&b"HTTP/1.1 200 OK\r\n"[..], &b"A: b\r\n".repeat(20_000)].concat())),
        ("an endless header", Action::Send([&b"HTTP/1.1 200 OK\r\nA: "[..], &[b'x'; 200_000]].concat())),
        ("an interim response and a close", Action::SendAndClose(b"HTTP/1.1 100 Continue\r\n\r\n".to_vec())),
        ("101 Switching Protocols", Action::SendAndClose(b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n".to_vec())),
    ]
}

#[test]
fn interim_responses_are_skipped_and_the_final_one_is_forwarded() {
    let mut bytes = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n".to_vec();
    bytes.extend(http_response("200 OK", "", b"second"));
    assert_eq!(send_once("bid", Action::Send(bytes)), (200, 1));
    // Endless interim responses use up the time of the request, but no memory.
    let traffic = Traffic::default();
    let interim = b"HTTP/1.1 100 Continue\r\n\r\n".repeat(4000);
    let addresses = start_backends(1, &traffic, move |_, _| {
        Action::PartsAndClose((0..10_000).map(|_| (1, interim.clone())).collect())
    });
    let discovery = Discovery::start(all_up(&addresses));
    let node = Node::start(discovery.address, |_| {});
    assert_eq!(fetch(node.address, &request("bid", 900)).status(), 502);
    wait_for("the connection is closed", || traffic.open_connections() == 0);
    assert!(node.peak_memory_bytes() < 32 << 20, "{} bytes", node.peak_memory_bytes());
}

#[test]
fn unrequested_bytes_of_a_backend_answer_no_request() {
    for unrequested in [
        &b"HTTP/1.1 2"[..],
        &http_response("200 OK", "", b"unasked"),
        &http_response("503 Late", "X-Never-Ran: 1\r\n", b""),
    ] {
        for is_immediate in [true, false] {
            let traffic = Traffic::default();
            let response = http_response("200 OK", "", b"first");
            let response_and_unrequested = [response.clone(), unrequested.to_vec()].concat();
            // The unrequested bytes follow the response at once, or 30 ms later.
            let parts = if is_immediate {
                vec![(0, response_and_unrequested)]
            } else {
                vec![(0, response), (30, unrequested.to_vec())]
            };
            let address =
                start_backend(
                    &traffic,
                    move |n, _| if n == 0 { Action::Parts(parts.clone()) } else { ok(b"second") },
                );
            let discovery = Discovery::start(all_up(&[address]));
            let node = Node::start(discovery.address, |_| {});
            let mut client = Client::connect(node.address);
            assert_eq!(client.fetch(&request("bid", 900)).body, b"first");
            if is_immediate {
                wait_for("the connection is closed", || traffic.open_connections() == 0);
            } else {
                // The node may have read the bytes already, and has then closed the connection.
                wait_for("the unrequested bytes have arrived", || {
                    has_unread_bytes(None, Some(address)) || traffic.open_connections() == 0
                });
            }
            let next = client.fetch(&request("bid", 900));
            assert_eq!((next.status(), next.body), (200, b"second".to_vec()));
            assert_eq!(traffic.connections_opened.load(SeqCst), 2, "the connection must not be reused");
        }
    }
}

#[test]
fn a_late_second_response_does_not_answer_the_next_request() {
    let listener = TcpListener::bind(loopback(0)).unwrap();
    let address = listener.local_addr().unwrap();
    let discovery = Discovery::start(all_up(&[address]));
    let node = Node::start(discovery.address, |c| {
        let bid = &mut c["settings"]["classes"][1];
        (bid["objectiveMs"], bid["hardLimitMs"]) = (60_000.into(), 60_000.into());
    });
    let mut clients: Vec<Client> = (0..2).map(|_| Client::connect(node.address)).collect();
    let mut connections: Vec<TcpStream> = Vec::new();
    // Open two connections to the backend, both idle for 50 ms.
    for client in &mut clients {
        assert!(client.send(&request("bid", 900)));
        connections.push(listener.accept().unwrap().0);
    }
    let read_request =
        |connection: &TcpStream| Message::read(&mut BufReader::new(connection)).expect("a request");
    for (client, connection) in clients.iter_mut().zip(&mut connections) {
        read_request(connection);
        connection.write_all(&http_response("200 OK", "", b"first")).unwrap();
        assert_eq!(client.read_response().unwrap().body, b"first");
    }
    std::thread::sleep(Duration::from_millis(50));
    let connection_with_request = |connections: &[TcpStream]| {
        let mut index = None;
        wait_for("a request", || {
            index =
                connections.iter().position(|c| has_unread_bytes(c.local_addr().ok(), c.peer_addr().ok()));
            index.is_some()
        });
        index.unwrap()
    };
    // If the node is not scheduled for 20 ms in between, the first connection has become idle again and the run
    // proves nothing. That does not happen five times in a row.
    for _ in 0..5 {
        assert!(clients[0].send(&request("bid", 60_000)));
        let first = connection_with_request(&connections);
        read_request(&connections[first]);
        // The response and the next request reach the node at the same moment; the unrequested response follows later.
        node.suspend();
        connections[first].write_all(&http_response("200 OK", "", b"second")).unwrap();
        assert!(clients[1].send(&request("bid", 60_000)));
        node.resume();
        assert_eq!(clients[0].read_response().unwrap().body, b"second");
        let next = connection_with_request(&connections);
        if next != first {
            connections[first].write_all(&http_response("200 OK", "", b"unasked")).unwrap();
        }
        read_request(&connections[next]);
        connections[next].write_all(&http_response("200 OK", "", b"third")).unwrap();
        assert_eq!(clients[1].read_response().unwrap().body, b"third");
        if next != first {
            return;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    panic!("the node reuses the most recently used connection at once");
}

#[test]
fn an_attempt_outlives_its_client_where_cancelling_is_off() {
    let traffic = Traffic::default();
    let may_answer = Arc::new(AtomicBool::new(false));
    let backend_may_answer = may_answer.clone();
    let addresses = start_backends(1, &traffic, move |_, _| {
        wait_for("the client has disconnected", || backend_may_answer.load(SeqCst));
        ok(b"x")
    });
    let discovery = Discovery::start(all_up(&addresses));
    let node = Node::start(discovery.address, |c| c["settings"]["limits"]["mayCancel"] = false.into());
    let mut client = Client::connect(node.address);
    wait_for("the client is accepted", || node.call("stats").contains("\"clients\":1"));
    assert!(client.send(&request("page", 4000)));
    wait_for("the attempt is in flight", || traffic.request_count() == 1);
    drop(client);
    wait_for("the node has noticed the disconnect", || node.call("stats").contains("\"clients\":0"));
    assert_eq!(traffic.open_connections(), 1, "the attempt is still in flight");
    may_answer.store(true, SeqCst);
    wait_for("the attempt has ended", || node.call("stats").contains("\"open\":0"));
    assert_eq!(fetch(node.address, &request("page", 4000)).status(), 200);
    assert_eq!(traffic.connections_opened.load(SeqCst), 1, "its connection must be reused");
}

#[test]
fn an_unsafe_request_that_may_have_run_is_failed_and_never_sent_twice() {
    for (what, action) in actions_that_may_have_run() {
        let (status, attempts) = send_once("bid", action);
        assert_eq!((status, attempts), (502, 1), "{what}");
    }
}

#[test]
fn a_safe_or_keyed_request_that_may_have_run_is_sent_again() {
    for (what, action) in actions_that_may_have_run() {
        for class in ["page", "pay"] {
            assert_eq!(send_once(class, action.clone()), (200, 2), "{what}, {class}");
        }
    }
}

#[test]
fn a_rejection_by_a_backend_is_forwarded_and_not_repeated() {
    for status in ["400 Bad Request", "413 Content Too Large", "422 Unprocessable Content"] {
        for class in ["page", "bid", "pay", "unheard-of"] {
            let code = status[..3].parse().unwrap();
            assert_eq!(
                send_once(class, Action::Send(http_response(status, "", b"no"))),
                (code, 1),
                "{status}, {class}"
            );
        }
    }
}

#[test]
fn proof_that_an_attempt_never_ran_allows_a_further_attempt_for_every_class() {
    for status in ["503 Service Unavailable", "504 Gateway Timeout"] {
        for class in ["page", "bid", "pay"] {
            let action = Action::Send(http_response(status, "X-Never-Ran: 1\r\n", b""));
            assert_eq!(send_once(class, action), (200, 2), "{status}, {class}");
        }
    }
}

#[test]
fn a_refused_connection_allows_a_further_attempt() {
    let traffic = Traffic::default();
    let mut addresses = start_backends(2, &traffic, |_, _| ok(b"live"));
    addresses.push(free_address());
    let discovery = Discovery::start(all_up(&addresses));
    let node = Node::start(discovery.address, |_| {});
    for n in 0..12 {
        assert_eq!(fetch(node.address, &request("bid", 900)).status(), 200, "request {n}");
    }
    assert_eq!(traffic.request_count(), 12);
}

#[test]
fn an_unsafe_request_at_a_silent_backend_fails_at_its_deadline_without_a_second_attempt() {
    let traffic = Traffic::default();
    let addresses = start_backends(2, &traffic, |_, _| Action::Silent);
    let discovery = Discovery::start(all_up(&addresses));
    let node = Node::start(discovery.address, |_| {});
    let sent_at = Instant::now();
    let response = fetch(node.address, &request("bid", 300));
    assert_eq!(response.status(), 502);
    // The deadline of 300 ms, plus the slack that the rule allows and a margin for a loaded machine.
    assert!(sent_at.elapsed() < Duration::from_millis(370), "the client has given up by then");
    assert_eq!(traffic.request_count(), 1);
    wait_for("the attempt's connection closes", || traffic.open_connections() == 0);
}

#[test]
fn a_late_response_is_discarded() {
    let traffic = Traffic::default();
    let addresses = start_backends(1, &traffic, |n, _| {
        std::thread::sleep(Duration::from_millis(if n == 0 { 400 } else { 0 }));
        ok(format!("answer {n}").as_bytes())
    });
    let discovery = Discovery::start(all_up(&addresses));
    let node = Node::start(discovery.address, |_| {});
    let mut client = Client::connect(node.address);
    assert_eq!(client.fetch(&request("bid", 200)).status(), 502);
    let next = client.fetch(&request("page", 2000));
    assert_eq!((next.status(), next.body), (200, b"answer 1".to_vec()));
}

#[test]
fn a_connection_closed_by_the_backend_is_not_reused() {
    // The backend closes the connection after each response without announcing it.
    let traffic = Traffic::default();
    let addresses =
        start_backends(1, &traffic, |_, _| Action::SendAndCloseLater(http_response("200 OK", "", b"bye")));
    let discovery = Discovery::start(all_up(&addresses));
    let node = Node::start(discovery.address, |_| {});
    let mut client = Client::connect(node.address);
    for n in 1..=5 {
        assert_eq!(client.fetch(&request("bid", 900)).status(), 200);
        wait_for("the backend closes", || traffic.connections_closed.load(SeqCst) == n);
        // The kernel has received the close by now; the node need not have noticed it.
        std::thread::sleep(Duration::from_millis(50));
    }
}

#[test]
fn without_a_usable_backend_requests_are_refused_at_once_with_retry_after() {
    let traffic = Traffic::default();
    let addresses = start_backends(1, &traffic, |_, _| ok(b""));
    let discovery = Discovery::start(all_up(&addresses));
    let node = Node::start(discovery.address, |_| {});
    discovery.set_targets(vec![target("s-0", addresses[0], "draining")]);
    wait_for("the node knows of the drain", || node.up_status() == 503);
    for class in ["page", "bid", "pay", "unheard-of"] {
        let sent_at = Instant::now();
        let response = fetch(node.address, &request(class, 900));
        assert_eq!(response.status(), 503, "{class}");
        let retry_after_s: f64 = response.header("retry-after").expect("Retry-After").parse().unwrap();
        assert!(retry_after_s > 0.0 && retry_after_s <= 2.0, "{retry_after_s} s");
        assert!(sent_at.elapsed() < Duration::from_millis(450), "refused late");
    }
    assert_eq!(traffic.request_count(), 0);
}

#[test]
fn an_attempt_is_cancelled_when_its_client_disconnects() {
    let traffic = Traffic::default();
    let addresses = start_backends(2, &traffic, |_, _| Action::Silent);
    let discovery = Discovery::start(all_up(&addresses));
    let node = Node::start(discovery.address, |_| {});
    let mut client = Client::connect(node.address);
    assert!(client.send(&request("page", 4000)));
    wait_for("the attempt is in flight", || traffic.request_count() == 1);
    drop(client);
    let disconnected_at = Instant::now();
    wait_for("the attempt's connection closes", || traffic.open_connections() == 0);
    assert!(
        disconnected_at.elapsed() < Duration::from_millis(900),
        "the attempt ended by its time-out only"
    );
    assert_eq!(traffic.request_count(), 1);
}
