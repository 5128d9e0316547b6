//! Exit of a node's process: at SIGTERM every accepted request gets its response before the process exits. Start of a
//! node while the discovery service is down, silent or slow.
mod node;

use node::*;
use serde_json::json;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::thread;
use std::time::Duration;

const CONNECTION_CLOSE: Option<&str> = Some("close");

/// Starts a node whose class `page` has this deadline, and the other classes half of it.
fn start_node(discovery: SocketAddr, deadline_ms: u64) -> Node {
    Node::start(discovery, |c| {
        for (n, class) in c["settings"]["classes"].as_array_mut().unwrap().iter_mut().enumerate() {
            let deadline = if n == 0 { deadline_ms } else { deadline_ms / 2 };
            class["hardLimitMs"] = deadline.into();
            class["objectiveMs"] = (deadline / 2).into();
        }
    })
}

#[test]
fn hanging_requests_are_answered_before_exit_for_short_and_long_deadlines() {
    // The last deadline is longer than the 3 s that the process has until SIGKILL.
    for deadline_ms in [400, 2000, 20_000] {
        let stalled = StalledBackend::new();
        let traffic = Traffic::default();
        let hanging = start_backend(&traffic, |_, _| Action::Silent);
        for address in [stalled.address, hanging] {
            let discovery = Discovery::start(all_up(&[address]));
            let mut node = start_node(discovery.address, deadline_ms);
            let mut clients: Vec<Client> = (0..4).map(|_| Client::connect(node.address)).collect();
            for client in &mut clients {
                assert!(client.send(&request("page", deadline_ms)));
            }
            if address == hanging {
                wait_for("an attempt is in flight", || traffic.request_count() > 0);
            } else {
                stalled.wait_for_handshake();
            }
            node.terminate();
            for client in &mut clients {
                let response = client.read_response().expect("a response to an accepted request");
                assert!(matches!(response.status(), 502 | 503), "{}", response.first_line);
            }
            assert!(node.wait_for_exit().success());
        }
    }
}

#[test]
fn a_request_that_crosses_sigterm_is_answered_or_never_forwarded() {
    for state in ["idle", "new", "half read"] {
        let traffic = Traffic::default();
        let addresses = start_backends(1, &traffic, |_, _| ok(b"x"));
        let discovery = Discovery::start(all_up(&addresses));
        let mut node = start_node(discovery.address, 2000);
        let bytes = request("page", 2000);
        let half = if state == "half read" { 40 } else { 0 };
        let mut client = Client::connect(node.address);
        if state == "idle" {
            assert_eq!(client.fetch(&request("page", 2000)).status(), 200);
        }
        if half > 0 {
            assert!(client.send(&bytes[..half]));
            wait_for("half of the request is read", || !has_unread_bytes(Some(node.address), None));
        }
        let before = traffic.request_count();
        node.suspend();
        let mut client = if state == "new" { Client::connect(node.address) } else { client };
        assert!(client.send(&bytes[half..]));
        node.terminate();
        node.resume();
        match client.read_response() {
            Some(response) => {
                assert!(matches!(response.status(), 200 | 503), "{state}: {}", response.first_line);
                assert_eq!(response.header("connection"), CONNECTION_CLOSE, "{state}");
            }
            None => {
                assert_eq!(state, "idle", "only an idle connection may be closed without a response");
                assert_eq!(traffic.request_count(), before, "forwarded, and the client got no response");
            }
        }
        assert!(node.wait_for_exit().success(), "{state}");
    }
}

#[test]
fn long_bodies_in_transfer_at_sigterm_complete() {
    let traffic = Traffic::default();
    let may_answer = Arc::new(AtomicBool::new(false));
    let may_answer_clone = may_answer.clone();
    let body = vec![b'y'; 300_000];
    let sent = body.clone();
    let address = start_backend(&traffic, move |_, message| {
        if message.first_line.starts_with("GET") {
            let head = b"HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n".to_vec();
            let rest = sent[100_000..].to_vec();
            // The rest follows when the node no longer accepts clients.
            return Action::Parts(vec![(0, [&head, &sent[..100_000]].concat()), (1800, rest)]);
        }
        wait_for("SIGTERM is sent", || may_answer_clone.load(SeqCst));
        ok(b"whole")
    });
    let discovery = Discovery::start(all_up(&[address]));
    let mut node = start_node(discovery.address, 3000);
    let mut download = Client::connect(node.address);
    assert!(download.send(&request("page", 3000)));
    assert!(download.wait_for_data());
    let mut upload = Client::connect(node.address);
    let head = "POST /api HTTP/1.1\r\nHost: n\r\nX-Trace-Id: 9b\r\nX-Qos: bid\r\nX-Expires-In-Ms: 1500\r\n\
        Content-Length: 300000\r\n\r\n";
    assert!(upload.send(head.as_bytes()) && upload.send(&body[..150_000]));
    wait_for("part of the upload is forwarded", || upload_has_started(&traffic));
    node.terminate();
    wait_until_not_accepting(&node);
    may_answer.store(true, SeqCst);
    assert!(upload.send(&body[150_000..]));
    let response = upload.read_response().expect("a response");
    assert_eq!((response.status(), response.body.as_slice()), (200, b"whole".as_slice()));
    let response = download.read_response().expect("a complete response");
    assert!(response.status() == 200 && response.body == body, "{} bytes", response.body.len());
    assert!(node.wait_for_exit().success());
}

/// Guards against long responses that are cut off by the end of the process (review case 6).
#[test]
fn a_response_that_has_begun_is_finished_after_the_last_deadline() {
    let traffic = Traffic::default();
    let address = start_backend(&traffic, |_, _| slow_response());
    let discovery = Discovery::start(all_up(&[address]));
    let mut node = start_node(discovery.address, 400);
    let mut download = Client::connect(node.address);
    assert!(download.send(&request("page", 400)));
    assert!(download.wait_for_data());
    let mut idle = Client::connect(node.address);
    assert_eq!(idle.fetch(b"GET /up HTTP/1.1\r\nHost: n\r\n\r\n").status(), 200);
    node.terminate();
    assert!(idle.wait_for_close(), "nothing is owed to an idle client");
    let response = download.read_response().expect("a complete response");
    assert_eq!((response.status(), response.body.len()), (200, SLOW_RESPONSE_BYTES));
    assert!(node.wait_for_exit().success());
}

/// Waits until the node accepts no new connections. From then on it exits as soon as every request has its response.
fn wait_until_not_accepting(node: &Node) {
    wait_for("the node accepts no connections", || TcpStream::connect(node.address).is_err());
}

/// True once the backends have accepted two connections; the second one carries the upload.
fn upload_has_started(traffic: &Traffic) -> bool {
    traffic.connections_opened.load(SeqCst) >= 2
}

#[test]
fn signals_may_be_repeated_and_mixed() {
    let traffic = Traffic::default();
    let may_answer = Arc::new(AtomicBool::new(false));
    let may_answer_clone = may_answer.clone();
    let addresses = start_backends(1, &traffic, move |_, _| {
        wait_for("the signals are sent", || may_answer_clone.load(SeqCst));
        ok(b"x")
    });
    let discovery = Discovery::start(all_up(&addresses));
    let mut node = start_node(discovery.address, 4000);
    let mut client = Client::connect(node.address);
    assert!(client.send(&request("page", 4000)));
    wait_for("the attempt is in flight", || traffic.request_count() == 1);
    node.send_sighup();
    node.terminate();
    node.send_sighup();
    node.terminate();
    wait_until_not_accepting(&node);
    may_answer.store(true, SeqCst);
    let response = client.read_response().expect("a response");
    assert_eq!((response.status(), response.header("connection")), (200, CONNECTION_CLOSE));
    assert!(node.wait_for_exit().success());
}

#[test]
fn a_node_that_is_not_ready_exits_at_sigterm() {
    let mut node = Node::launch(free_address(), |_| {}, "exec \"$0\"");
    wait_for("the node listens", || node.up_status() == 503);
    node.terminate();
    assert!(node.wait_for_exit().success());
}

#[test]
fn a_node_starts_from_the_known_list_while_discovery_is_silent() {
    let traffic = Traffic::default();
    let addresses = start_backends(1, &traffic, |_, _| ok(b"x"));
    // The service accepts connections and never responds.
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
fn a_request_completed_just_before_exit_is_never_forwarded() {
    let traffic = Traffic::default();
    let addresses = start_backends(1, &traffic, |_, _| Action::Silent);
    let discovery = Discovery::start(all_up(&addresses));
    let mut node = Node::start(discovery.address, |c| {
        // A client may wait for longer than its class says. This request does, so the end of the process ends it.
        for class in c["settings"]["classes"].as_array_mut().unwrap() {
            (class["hardLimitMs"], class["objectiveMs"]) = (600.into(), 60_000.into());
        }
    });
    // Half a request is read before SIGTERM. The rest comes just before the process exits, when the hanging request
    // fails.
    let bytes = request("page", 600);
    let mut half = Client::connect(node.address);
    assert!(half.send(&bytes[..40]));
    wait_for("half of the request is read", || !has_unread_bytes(Some(node.address), None));
    let mut hanging = Client::connect(node.address);
    assert!(hanging.send(&request("page", 60_000)));
    wait_for("the request hangs", || traffic.request_count() == 1);
    node.terminate();
    let response = hanging.read_response().expect("a response to an accepted request");
    assert_eq!(response.status(), 502);
    half.send(&bytes[40..]);
    let response = half.read_response();
    assert!(response.as_ref().is_none_or(|a| a.status() == 503), "{response:?}");
    assert!(node.wait_for_exit().success());
    thread::sleep(Duration::from_millis(20));
    assert_eq!(traffic.request_count(), 1, "forwarded by a process that exits");
}

#[test]
fn nodes_of_a_large_fleet_that_start_together_serve_while_discovery_fails() {
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
fn a_node_of_a_large_fleet_without_a_list_is_ready_once_discovery_recovers() {
    for mode in ["pushed", "on_request"] {
        let traffic = Traffic::default();
        let addresses = start_backends(1, &traffic, |_, _| ok(b"x"));
        let targets = all_up(&addresses);
        // The service fails the first call and answers the later ones.
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
