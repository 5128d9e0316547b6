//! One request and its one answer: what is passed on, and what each end of an attempt leads to by class.
mod node;

use node::*;
use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::time::{Duration, Instant};

#[test]
fn an_answer_is_passed_on_byte_for_byte() {
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
        let answer = client.fetch(request);
        assert_eq!(answer.status(), 200);
        assert!(answer.body == body, "the body changed on its way");
    }
    let seen = traffic.requests.lock().unwrap();
    assert_eq!(seen[0].first_line, "POST /api?lot=7&x=%20y HTTP/1.1");
    assert_eq!(seen[0].body, b"\x00\xff\r\n\r\n");
    assert_eq!(seen[0].header("x-trace-id"), Some("9b1f03aa5c7e2d41"));
    assert_eq!(seen[0].header("idempotency-key"), Some("5c0f"));
    let wait: u64 = seen[0].header("x-expires-in-ms").unwrap().parse().unwrap();
    assert!((1..2000).contains(&wait), "the backend is told to wait {wait} ms");
    assert_eq!(traffic.open_connections(), 1, "one connection serves one request after the other");
}

/// Plays one request whose first attempt ends by `first`; any further one would be served.
/// Gives the client's status and how many attempts were written.
fn play(class: &str, first: Action) -> (u16, usize) {
    let traffic = Traffic::default();
    let addresses =
        start_backends(3, &traffic, move |n, _| if n == 0 { first.clone() } else { ok(b"second") });
    let discovery = Discovery::start(all_up(&addresses));
    let node = Node::start(discovery.address, |_| {});
    let answer = fetch(node.address, &request(class, 900));
    if answer.status() == 200 {
        assert_eq!(answer.body, b"second");
    }
    (answer.status(), traffic.request_count())
}

fn ends_that_may_have_run() -> Vec<(&'static str, Action)> {
    vec![
        ("500", Action::Send(http_response("500 Internal Server Error", "", b""))),
        ("500 that claims it never ran", Action::Send(http_response("500 No", "X-Never-Ran: 1\r\n", b""))),
        ("503 without proof", Action::Send(http_response("503 Service Unavailable", "", b""))),
        ("404", Action::Send(http_response("404 Not Found", "X-Never-Ran: 1\r\n", b""))),
        ("cut before the answer", Action::SendAndClose(Vec::new())),
        ("cut in the head", Action::SendAndClose(b"HTTP/1.1 200 O".to_vec())),
        (
            "cut in the body",
            Action::SendAndClose(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf".to_vec()),
        ),
        (
            "framed twice",
            Action::SendAndClose(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n2\r\nab\r\n0\r\n\r\n".to_vec()),
        ),
        ("no HTTP", Action::SendAndClose(b"what?\r\n\r\n".to_vec())),
        ("a wrong status line", Action::Send(b"HTTP/1.1 abc OK\r\nContent-Length: 0\r\n\r\n".to_vec())),
        ("no length, and reset", Action::SendAndReset(b"HTTP/1.1 200 OK\r\n\r\nhalf".to_vec())),
        ("reset in the head", Action::SendAndReset(b"HTTP/1.1 200 OK\r\nContent-Le".to_vec())),
        ("a length that lies", Action::SendAndReset(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort".to_vec())),
        ("two lengths", Action::Send(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nab".to_vec())),
        ("no number for a length", Action::Send(b"HTTP/1.1 200 OK\r\nContent-Length: two\r\n\r\nab".to_vec())),
        ("no number for a chunk", Action::Send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nab".to_vec())),
        ("headers without end", Action::Send([&b"HTTP/1.1 200 OK\r\n"[..], &b"A: b\r\n".repeat(20_000)].concat())),
        ("a header without end", Action::Send([&b"HTTP/1.1 200 OK\r\nA: "[..], &[b'x'; 200_000]].concat())),
        ("an interim answer and the end", Action::SendAndClose(b"HTTP/1.1 100 Continue\r\n\r\n".to_vec())),
        ("another protocol", Action::SendAndClose(b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n".to_vec())),
    ]
}

#[test]
fn interim_answers_are_no_answers_and_what_follows_them_is() {
    let mut bytes = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n".to_vec();
    bytes.extend(http_response("200 OK", "", b"second"));
    assert_eq!(play("bid", Action::Send(bytes)), (200, 1));
    // Without end they take the request's time, and no memory.
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
fn what_a_backend_says_unasked_is_nobodys_answer() {
    for unasked in [
        &b"HTTP/1.1 2"[..],
        &http_response("200 OK", "", b"unasked"),
        &http_response("503 Late", "X-Never-Ran: 1\r\n", b""),
    ] {
        for at_once in [true, false] {
            let traffic = Traffic::default();
            let answer = http_response("200 OK", "", b"first");
            let both = [answer.clone(), unasked.to_vec()].concat();
            // With the answer, or some milliseconds after it.
            let parts = if at_once { vec![(0, both)] } else { vec![(0, answer), (30, unasked.to_vec())] };
            let address =
                start_backend(
                    &traffic,
                    move |n, _| if n == 0 { Action::Parts(parts.clone()) } else { ok(b"second") },
                );
            let discovery = Discovery::start(all_up(&[address]));
            let node = Node::start(discovery.address, |_| {});
            let mut client = Client::connect(node.address);
            assert_eq!(client.fetch(&request("bid", 900)).body, b"first");
            if at_once {
                wait_for("it is closed", || traffic.open_connections() == 0);
            } else {
                // Or it was there, and the connection is closed for it.
                wait_for("it is there", || {
                    has_unread_bytes(None, Some(address)) || traffic.open_connections() == 0
                });
            }
            let next = client.fetch(&request("bid", 900));
            assert_eq!((next.status(), next.body), (200, b"second".to_vec()));
            assert_eq!(traffic.connections_opened.load(SeqCst), 2, "the connection is not used again");
        }
    }
}

#[test]
fn a_second_answer_that_is_late_is_not_taken_for_the_next_requests() {
    let listener = TcpListener::bind(loopback(0)).unwrap();
    let address = listener.local_addr().unwrap();
    let discovery = Discovery::start(all_up(&[address]));
    let node = Node::start(discovery.address, |c| {
        let bid = &mut c["settings"]["classes"][1];
        (bid["objectiveMs"], bid["hardLimitMs"]) = (60_000.into(), 60_000.into());
    });
    let mut clients: Vec<Client> = (0..2).map(|_| Client::connect(node.address)).collect();
    let mut conns: Vec<TcpStream> = Vec::new();
    // Two connections, both of which have rested.
    for client in &mut clients {
        assert!(client.send(&request("bid", 900)));
        conns.push(listener.accept().unwrap().0);
    }
    let take = |conn: &TcpStream| Message::read(&mut BufReader::new(conn)).expect("a request");
    for (client, conn) in clients.iter_mut().zip(&mut conns) {
        take(conn);
        conn.write_all(&http_response("200 OK", "", b"first")).unwrap();
        assert_eq!(client.read_response().unwrap().body, b"first");
    }
    std::thread::sleep(Duration::from_millis(50));
    let asked = |conns: &[TcpStream]| {
        let mut which = None;
        wait_for("a request", || {
            which = conns.iter().position(|c| has_unread_bytes(c.local_addr().ok(), c.peer_addr().ok()));
            which.is_some()
        });
        which.unwrap()
    };
    // A node that stands still of itself for 20 ms in between has let the connection rest: not five times in a row.
    for _ in 0..5 {
        assert!(clients[0].send(&request("bid", 60_000)));
        let first = asked(&conns);
        take(&conns[first]);
        // Its answer and the next request meet the node in one moment, and the second answer comes after that.
        node.suspend();
        conns[first].write_all(&http_response("200 OK", "", b"second")).unwrap();
        assert!(clients[1].send(&request("bid", 60_000)));
        node.resume();
        assert_eq!(clients[0].read_response().unwrap().body, b"second");
        let next = asked(&conns);
        if next != first {
            conns[first].write_all(&http_response("200 OK", "", b"unasked")).unwrap();
        }
        take(&conns[next]);
        conns[next].write_all(&http_response("200 OK", "", b"third")).unwrap();
        assert_eq!(clients[1].read_response().unwrap().body, b"third");
        if next != first {
            return;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    panic!("the connection that was used last is used first");
}

#[test]
fn an_attempt_whose_client_left_goes_on_where_it_must_not_be_called_off() {
    let traffic = Traffic::default();
    let go = Arc::new(AtomicBool::new(false));
    let may_answer = go.clone();
    let addresses = start_backends(1, &traffic, move |_, _| {
        wait_for("the client has left", || may_answer.load(SeqCst));
        ok(b"x")
    });
    let discovery = Discovery::start(all_up(&addresses));
    let node = Node::start(discovery.address, |c| c["settings"]["limits"]["mayCancel"] = false.into());
    let mut client = Client::connect(node.address);
    wait_for("the client is taken", || node.call("stats").contains("\"clients\":1"));
    assert!(client.send(&request("page", 4000)));
    wait_for("the attempt is out", || traffic.request_count() == 1);
    drop(client);
    wait_for("the node has noticed", || node.call("stats").contains("\"clients\":0"));
    assert_eq!(traffic.open_connections(), 1, "the attempt is out still");
    go.store(true, SeqCst);
    wait_for("it is over", || node.call("stats").contains("\"open\":0"));
    assert_eq!(fetch(node.address, &request("page", 4000)).status(), 200);
    assert_eq!(traffic.connections_opened.load(SeqCst), 1, "its connection is used again");
}

#[test]
fn an_unsafe_request_that_may_have_run_is_failed_and_never_sent_twice() {
    for (what, act) in ends_that_may_have_run() {
        let (status, attempts) = play("bid", act);
        assert_eq!((status, attempts), (502, 1), "{what}");
    }
}

#[test]
fn a_safe_or_keyed_request_that_may_have_run_is_sent_again() {
    for (what, act) in ends_that_may_have_run() {
        for class in ["page", "pay"] {
            assert_eq!(play(class, act.clone()), (200, 2), "{what}, {class}");
        }
    }
}

#[test]
fn a_request_that_a_backend_rejects_is_told_so_and_goes_nowhere_else() {
    for status in ["400 Bad Request", "413 Content Too Large", "422 Unprocessable Content"] {
        for class in ["page", "bid", "pay", "unheard-of"] {
            let code = status[..3].parse().unwrap();
            assert_eq!(
                play(class, Action::Send(http_response(status, "", b"no"))),
                (code, 1),
                "{status}, {class}"
            );
        }
    }
}

#[test]
fn what_proves_that_it_never_ran_lets_every_class_go_on() {
    for status in ["503 Service Unavailable", "504 Gateway Timeout"] {
        for class in ["page", "bid", "pay"] {
            let act = Action::Send(http_response(status, "X-Never-Ran: 1\r\n", b""));
            assert_eq!(play(class, act), (200, 2), "{status}, {class}");
        }
    }
}

#[test]
fn a_refused_connection_never_ran() {
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
fn a_silent_backend_costs_an_unsafe_request_its_time_and_no_second_attempt() {
    let traffic = Traffic::default();
    let addresses = start_backends(2, &traffic, |_, _| Action::Silent);
    let discovery = Discovery::start(all_up(&addresses));
    let node = Node::start(discovery.address, |_| {});
    let begun = Instant::now();
    let answer = fetch(node.address, &request("bid", 300));
    assert_eq!(answer.status(), 502);
    // The deadline, and the slack of the rule: a busy machine may be late.
    assert!(begun.elapsed() < Duration::from_millis(370), "the client has gone by then");
    assert_eq!(traffic.request_count(), 1);
    wait_for("the attempt's connection closes", || traffic.open_connections() == 0);
}

#[test]
fn a_late_answer_reaches_nobody() {
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
fn a_stale_connection_is_not_sent_on() {
    // The backend closes after each answer without saying so.
    let traffic = Traffic::default();
    let addresses =
        start_backends(1, &traffic, |_, _| Action::SendAndCloseLater(http_response("200 OK", "", b"bye")));
    let discovery = Discovery::start(all_up(&addresses));
    let node = Node::start(discovery.address, |_| {});
    let mut client = Client::connect(node.address);
    for n in 1..=5 {
        assert_eq!(client.fetch(&request("bid", 900)).status(), 200);
        wait_for("the backend closes", || traffic.connections_closed.load(SeqCst) == n);
        // The close is in the system's hands by now, not yet at the node.
        std::thread::sleep(Duration::from_millis(50));
    }
}

#[test]
fn nothing_usable_is_refused_at_once_with_a_time_to_come_back() {
    let traffic = Traffic::default();
    let addresses = start_backends(1, &traffic, |_, _| ok(b""));
    let discovery = Discovery::start(all_up(&addresses));
    let node = Node::start(discovery.address, |_| {});
    discovery.set_targets(vec![target("s-0", addresses[0], "draining")]);
    wait_for("the drain is known", || node.up_status() == 503);
    for class in ["page", "bid", "pay", "unheard-of"] {
        let begun = Instant::now();
        let answer = fetch(node.address, &request(class, 900));
        assert_eq!(answer.status(), 503, "{class}");
        let wait: f64 = answer.header("retry-after").expect("Retry-After").parse().unwrap();
        assert!(wait > 0.0 && wait <= 2.0, "{wait} s");
        assert!(begun.elapsed() < Duration::from_millis(450), "held back");
    }
    assert_eq!(traffic.request_count(), 0);
}

#[test]
fn a_client_that_leaves_takes_its_attempt_along() {
    let traffic = Traffic::default();
    let addresses = start_backends(2, &traffic, |_, _| Action::Silent);
    let discovery = Discovery::start(all_up(&addresses));
    let node = Node::start(discovery.address, |_| {});
    let mut client = Client::connect(node.address);
    assert!(client.send(&request("page", 4000)));
    wait_for("the attempt is out", || traffic.request_count() == 1);
    drop(client);
    let begun = Instant::now();
    wait_for("the attempt's connection closes", || traffic.open_connections() == 0);
    assert!(begun.elapsed() < Duration::from_millis(900), "only its time-out ended it");
    assert_eq!(traffic.request_count(), 1);
}
