//! The end of a node's process: whatever is under way at SIGTERM, what was taken has its answer before the end.
mod node;

use node::*;
use serde_json::json;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::thread;
use std::time::Duration;

const FAREWELL: Option<&str> = Some("close");

/// A node whose one class `page` has this deadline, and `bid` half of it.
fn node(discovery: SocketAddr, deadline_ms: u64) -> Node {
    Node::start(discovery, |c| {
        for (n, class) in c["settings"]["classes"].as_array_mut().unwrap().iter_mut().enumerate() {
            let deadline = if n == 0 { deadline_ms } else { deadline_ms / 2 };
            class["hardLimitMs"] = deadline.into();
            class["objectiveMs"] = (deadline / 2).into();
        }
    })
}

#[test]
fn what_hangs_or_waits_at_the_end_is_answered_before_it_for_short_and_long_deadlines() {
    // Beyond 3 s SIGKILL does not wait for deadlines.
    for deadline_ms in [400, 2000, 20_000] {
        let stuck = StalledBackend::new();
        let traffic = Traffic::default();
        let hangs = start_backend(&traffic, |_, _| Action::Silent);
        for address in [stuck.address, hangs] {
            let discovery = Discovery::start(all_up(&[address]));
            let mut node = node(discovery.address, deadline_ms);
            let mut clients: Vec<Client> = (0..4).map(|_| Client::connect(node.address)).collect();
            for client in &mut clients {
                assert!(client.send(&request("page", deadline_ms)));
            }
            if address == hangs {
                wait_for("an attempt is out", || traffic.request_count() > 0);
            } else {
                stuck.wait_for_handshake();
            }
            node.terminate();
            for client in &mut clients {
                let answer = client.read_response().expect("taken and not answered");
                assert!(matches!(answer.status(), 502 | 503), "{}", answer.first_line);
            }
            assert!(node.wait_for_exit().success());
        }
    }
}

#[test]
fn a_request_that_crosses_the_notice_is_answered_or_never_sent_on() {
    for state in ["resting", "new", "half read"] {
        let traffic = Traffic::default();
        let addresses = start_backends(1, &traffic, |_, _| ok(b"x"));
        let discovery = Discovery::start(all_up(&addresses));
        let mut node = node(discovery.address, 2000);
        let bytes = request("page", 2000);
        let half = if state == "half read" { 40 } else { 0 };
        let mut client = Client::connect(node.address);
        if state == "resting" {
            assert_eq!(client.fetch(&request("page", 2000)).status(), 200);
        }
        if half > 0 {
            assert!(client.send(&bytes[..half]));
            wait_for("half of it is read", || !has_unread_bytes(Some(node.address), None));
        }
        let before = traffic.request_count();
        node.suspend();
        let mut client = if state == "new" { Client::connect(node.address) } else { client };
        assert!(client.send(&bytes[half..]));
        node.terminate();
        node.resume();
        match client.read_response() {
            Some(answer) => {
                assert!(matches!(answer.status(), 200 | 503), "{state}: {}", answer.first_line);
                assert_eq!(answer.header("connection"), FAREWELL, "{state}");
            }
            None => {
                assert_eq!(state, "resting", "only between requests may a connection end without a word");
                assert_eq!(traffic.request_count(), before, "sent on, and its client was not told");
            }
        }
        assert!(node.wait_for_exit().success(), "{state}");
    }
}

#[test]
fn long_bodies_under_way_at_the_notice_come_to_their_end() {
    let traffic = Traffic::default();
    let go = Arc::new(AtomicBool::new(false));
    let told = go.clone();
    let body = vec![b'y'; 300_000];
    let sent = body.clone();
    let address = start_backend(&traffic, move |_, message| {
        if message.first_line.starts_with("GET") {
            let head = b"HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n".to_vec();
            let rest = sent[100_000..].to_vec();
            // The rest comes when the node has long stopped to take clients.
            return Action::Parts(vec![(0, [&head, &sent[..100_000]].concat()), (1800, rest)]);
        }
        wait_for("the notice", || told.load(SeqCst));
        ok(b"whole")
    });
    let discovery = Discovery::start(all_up(&[address]));
    let mut node = node(discovery.address, 3000);
    let mut down = Client::connect(node.address);
    assert!(down.send(&request("page", 3000)));
    assert!(down.wait_for_data());
    let mut up = Client::connect(node.address);
    let head = "POST /api HTTP/1.1\r\nHost: n\r\nX-Trace-Id: 9b\r\nX-Qos: bid\r\nX-Expires-In-Ms: 1500\r\n\
        Content-Length: 300000\r\n\r\n";
    assert!(up.send(head.as_bytes()) && up.send(&body[..150_000]));
    wait_for("part of it has gone on", || second_is_open(&traffic));
    node.terminate();
    nobody_is_taken(&node);
    go.store(true, SeqCst);
    assert!(up.send(&body[150_000..]));
    let answer = up.read_response().expect("an answer");
    assert_eq!((answer.status(), answer.body.as_slice()), (200, b"whole".as_slice()));
    let answer = down.read_response().expect("a whole answer");
    assert!(answer.status() == 200 && answer.body == body, "{} bytes", answer.body.len());
    assert!(node.wait_for_exit().success());
}

/// Waits until new connections are turned away: from here on the node ends as soon as it owes nothing.
fn nobody_is_taken(node: &Node) {
    wait_for("nobody is taken any more", || TcpStream::connect(node.address).is_err());
}

/// A second connection to the backends is open: the upload's.
fn second_is_open(traffic: &Traffic) -> bool {
    traffic.connections_opened.load(SeqCst) >= 2
}

#[test]
fn signals_may_come_twice_and_beside_each_other() {
    let traffic = Traffic::default();
    let go = Arc::new(AtomicBool::new(false));
    let told = go.clone();
    let addresses = start_backends(1, &traffic, move |_, _| {
        wait_for("the signals", || told.load(SeqCst));
        ok(b"x")
    });
    let discovery = Discovery::start(all_up(&addresses));
    let mut node = node(discovery.address, 4000);
    let mut client = Client::connect(node.address);
    assert!(client.send(&request("page", 4000)));
    wait_for("the attempt is out", || traffic.request_count() == 1);
    node.send_sighup();
    node.terminate();
    node.send_sighup();
    node.terminate();
    nobody_is_taken(&node);
    go.store(true, SeqCst);
    let answer = client.read_response().expect("an answer");
    assert_eq!((answer.status(), answer.header("connection")), (200, FAREWELL));
    assert!(node.wait_for_exit().success());
}

#[test]
fn a_node_that_is_not_ready_ends_at_the_notice() {
    let mut node = Node::launch(free_address(), |_| {}, "exec \"$0\"");
    wait_for("it listens", || node.up_status() == 503);
    node.terminate();
    assert!(node.wait_for_exit().success());
}

#[test]
fn a_node_starts_from_the_known_list_beside_a_discovery_that_is_silent() {
    let traffic = Traffic::default();
    let addresses = start_backends(1, &traffic, |_, _| ok(b"x"));
    // Connections come up, and nothing is ever said.
    let silent = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    for mode in ["pushed", "on_request"] {
        let node = Node::start(silent.local_addr().unwrap(), |c| {
            c["settings"]["membershipMode"] = mode.into();
            c["known"] = json!({"rev": 41, "all": true, "targets": all_up(&addresses)});
        });
        assert_eq!(fetch(node.address, &request("page", 900)).status(), 200, "{mode}");
    }
}

#[test]
fn what_comes_when_time_is_over_is_never_sent_on() {
    let traffic = Traffic::default();
    let addresses = start_backends(1, &traffic, |_, _| Action::Silent);
    let discovery = Discovery::start(all_up(&addresses));
    let mut node = Node::start(discovery.address, |c| {
        // A client may wait for longer than its class, and this request does: its end is the process's.
        for class in c["settings"]["classes"].as_array_mut().unwrap() {
            (class["hardLimitMs"], class["objectiveMs"]) = (600.into(), 60_000.into());
        }
    });
    // Half a request is read before the notice, the rest comes in the process's last moments: when what hangs is failed.
    let bytes = request("page", 600);
    let mut half = Client::connect(node.address);
    assert!(half.send(&bytes[..40]));
    wait_for("half of it is read", || !has_unread_bytes(Some(node.address), None));
    let mut hangs = Client::connect(node.address);
    assert!(hangs.send(&request("page", 60_000)));
    wait_for("it hangs", || traffic.request_count() == 1);
    node.terminate();
    let answer = hangs.read_response().expect("taken and not answered");
    assert_eq!(answer.status(), 502);
    half.send(&bytes[40..]);
    let answer = half.read_response();
    assert!(answer.as_ref().is_none_or(|a| a.status() == 503), "{answer:?}");
    assert!(node.wait_for_exit().success());
    thread::sleep(Duration::from_millis(20));
    assert_eq!(traffic.request_count(), 1, "sent on by a process that ends");
}

#[test]
fn nodes_of_a_large_fleet_that_start_at_once_serve_whatever_discovery_does() {
    let traffic = Traffic::default();
    let addresses = start_backends(2, &traffic, |_, _| ok(b"x"));
    let silent = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let slow = start_backend(&Traffic::default(), |_, _| {
        let body = json!({"rev": 41, "all": false, "targets": []}).to_string();
        Action::Parts(vec![(1500, http_response("200 OK", "", body.as_bytes()))])
    });
    for (what, discovery) in
        [("down", free_address()), ("silent", silent.local_addr().unwrap()), ("slow", slow)]
    {
        for mode in ["pushed", "on_request"] {
            let nodes: Vec<Node> = (0..12)
                .map(|n| {
                    Node::launch(
                        discovery,
                        |c| {
                            c["settings"]["membershipMode"] = mode.into();
                            c["settings"]["instances"] = 300.into();
                            c["settings"]["slotNo"] = (25 * n).into();
                            c["known"] = json!({"rev": 41, "all": true, "targets": all_up(&addresses)});
                        },
                        "exec \"$0\"",
                    )
                })
                .collect();
            for node in &nodes {
                wait_for(&format!("{what}, {mode}: ready"), || node.up_status() == 200);
                assert_eq!(fetch(node.address, &request("page", 900)).status(), 200, "{what}, {mode}");
            }
        }
    }
}

#[test]
fn a_node_of_a_large_fleet_that_knows_no_list_is_ready_once_discovery_is_back() {
    for mode in ["pushed", "on_request"] {
        let traffic = Traffic::default();
        let addresses = start_backends(1, &traffic, |_, _| ok(b"x"));
        let targets = all_up(&addresses);
        // It is not back for the first call.
        let discovery = start_backend(&Traffic::default(), move |n, _| match n {
            0 => Action::SendAndClose(Vec::new()),
            _ => {
                let body = json!({"rev": 1, "all": true, "targets": targets}).to_string();
                Action::Parts(vec![(20, http_response("200 OK", "", body.as_bytes()))])
            }
        });
        let node = Node::launch(
            discovery,
            |c| {
                c["settings"]["membershipMode"] = mode.into();
                c["settings"]["instances"] = 300.into();
            },
            "exec \"$0\"",
        );
        wait_for(&format!("{mode}: ready"), || node.up_status() == 200);
    }
}
