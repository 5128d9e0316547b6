//! The list of backends, messages of other nodes, and exit at SIGTERM.
mod node;

use node::*;
use serde_json::json;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

#[test]
fn a_node_starts_from_the_known_list_while_discovery_is_down() {
    let traffic = Traffic::default();
    let addresses = start_backends(1, &traffic, |_, _| ok(b"x"));
    let known = json!({"rev": 41, "all": true, "targets": all_up(&addresses)});
    let node = Node::start(free_address(), |c| c["known"] = known);
    assert_eq!(fetch(node.address, &request("page", 900)).status(), 200);
}

#[test]
fn a_known_list_is_continued_from_its_version_unless_it_is_incomplete() {
    let traffic = Traffic::default();
    let addresses = start_backends(2, &traffic, |_, _| ok(b"x"));
    let targets = all_up(&addresses);
    let mut with_bad_entry = targets.clone();
    with_bad_entry[1]["endpoint"] = "nowhere".into();
    for mode in ["pushed", "on_request"] {
        let first_call = |all: bool, targets: &[serde_json::Value]| {
            let discovery = Discovery::start(all_up(&addresses));
            let known = json!({"rev": 1, "all": all, "targets": targets});
            let _node = Node::start(discovery.address, |c| {
                c["settings"]["membershipMode"] = mode.into();
                c["known"] = known;
            });
            discovery.first_call()
        };
        assert!(first_call(true, &targets).starts_with("GET /discovery/hosts?after=1&"), "{mode}");
        let full_list_call = "GET /discovery/hosts HTTP/1.1";
        assert_eq!(first_call(true, &with_bad_entry), full_list_call, "{mode}: an unreadable entry");
        assert_eq!(first_call(false, &targets), full_list_call, "{mode}: only changes");
        assert_eq!(first_call(true, &[]), full_list_call, "{mode}: an empty list");
    }
}

#[test]
fn a_bad_entry_does_not_hide_the_others() {
    let traffic = Traffic::default();
    let addresses = start_backends(1, &traffic, |_, _| ok(b"x"));
    let mut targets = all_up(&addresses);
    targets.insert(0, json!({"uid": "s-8", "endpoint": "nowhere", "state": "up"}));
    targets.insert(0, json!({"uid": 7, "endpoint": addresses[0].to_string(), "state": "up"}));
    targets.insert(0, json!("what?"));
    let discovery = Discovery::start(targets);
    let node = Node::start(discovery.address, |_| {});
    for _ in 0..5 {
        assert_eq!(fetch(node.address, &request("bid", 900)).status(), 200);
    }
}

#[test]
fn a_discovery_that_falls_silent_is_asked_again_and_its_changes_are_applied() {
    let traffic = Traffic::default();
    let addresses = start_backends(2, &traffic, |_, _| ok(b"x"));
    let discovery = Discovery::start(vec![target("s-0", addresses[0], "up")]);
    let node = Node::start(discovery.address, |_| {});
    wait_for("a watch is in flight", || discovery.call_count() >= 2);
    discovery.set_silent(true);
    let calls = discovery.call_count();
    wait_for("the silent call times out and is repeated", || discovery.call_count() > calls + 1);
    assert_eq!(fetch(node.address, &request("page", 900)).status(), 200, "the old list stays in use");
    discovery.set_targets(vec![target("s-0", addresses[0], "draining")]);
    discovery.set_silent(false);
    wait_for("the change has arrived", || node.up_status() == 503);
}

#[test]
fn a_drain_during_the_handshake_stops_the_send() {
    let stalled = StalledBackend::new();
    let address = stalled.address;
    let discovery = Discovery::start(all_up(&[address]));
    let node =
        Node::start(discovery.address, |c| c["settings"]["limits"]["connectTimeoutMs"] = 5000.into());
    let mut client = Client::connect(node.address);
    assert!(client.send(&request("page", 4000)));
    stalled.wait_for_handshake();
    discovery.set_targets(vec![target("s-0", address, "draining")]);
    wait_for("the node knows of the drain", || node.up_status() == 503);
    // The node closes the connection without sending anything.
    let sent = stalled.accept_and_read();
    assert!(sent.is_empty(), "sent to a draining backend: {sent:?}");
    assert_eq!(client.read_response().unwrap().status(), 503);
}

#[test]
fn a_drain_closes_idle_connections() {
    let traffic = Traffic::default();
    let addresses = start_backends(1, &traffic, |_, _| ok(b"x"));
    let discovery = Discovery::start(all_up(&addresses));
    let node = Node::start(discovery.address, |_| {});
    assert_eq!(fetch(node.address, &request("page", 900)).status(), 200);
    assert_eq!(traffic.open_connections(), 1);
    discovery.set_targets(vec![target("s-0", addresses[0], "draining")]);
    wait_for("the connection is closed", || traffic.open_connections() == 0);
}

#[test]
fn a_broken_connection_discards_the_other_idle_ones_of_its_backend() {
    // A machine that was unreachable for a while resets old connections only when something is sent on them.
    let traffic = Traffic::default();
    let is_back = Arc::new(AtomicBool::new(false));
    let backend_is_back = is_back.clone();
    let connections_opened = traffic.connections_opened.clone();
    let addresses = start_backends(1, &traffic, move |_, _| {
        if !backend_is_back.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(100));
            return ok(b"x");
        }
        // Connections from before the outage are closed; only new ones are served.
        if connections_opened.load(Ordering::SeqCst) == 2 {
            Action::SendAndClose(Vec::new())
        } else {
            ok(b"x")
        }
    });
    let discovery = Discovery::start(all_up(&addresses));
    let node = Node::start(discovery.address, |_| {});
    let mut clients: Vec<Client> = (0..2).map(|_| Client::connect(node.address)).collect();
    for client in &mut clients {
        assert!(client.send(&request("bid", 900)));
    }
    for client in &mut clients {
        assert_eq!(client.read_response().unwrap().status(), 200);
    }
    assert_eq!(traffic.open_connections(), 2, "two idle connections");
    is_back.store(true, Ordering::SeqCst);
    assert_eq!(clients[0].fetch(&request("bid", 900)).status(), 502, "the request may have run");
    assert_eq!(
        clients[0].fetch(&request("bid", 900)).status(),
        200,
        "the other stale connection must not be used"
    );
}

#[test]
fn on_request_a_failed_call_to_discovery_is_repeated() {
    let traffic = Traffic::default();
    let addresses = start_backends(1, &traffic, |_, _| ok(b"x"));
    let targets = all_up(&addresses);
    // Nothing listens at first. The balancer repeats the call until the discovery service answers.
    let address = free_address();
    let node =
        Node::launch(address, |c| c["settings"]["membershipMode"] = "on_request".into(), "exec \"$0\"");
    wait_for("the node answers", || node.up_status() == 503);
    let discovery = Discovery::start_at(address, targets);
    wait_for("the list has arrived", || node.up_status() == 200);
    discovery.set_targets(vec![target("s-0", addresses[0], "draining")]);
    wait_for("the node knows of the drain", || node.up_status() == 503);
}

#[test]
fn sighup_switches_the_node_to_another_discovery_address() {
    let traffic = Traffic::default();
    let addresses = start_backends(1, &traffic, |_, _| ok(b"x"));
    for mode in ["pushed", "on_request"] {
        let old = Discovery::start(all_up(&addresses));
        let mut node = Node::start(old.address, |c| c["settings"]["membershipMode"] = mode.into());
        wait_for("a watch is in flight", || old.call_count() >= 2);
        // An unreadable configuration and an unreachable address: the node keeps its list and serves.
        node.set_discovery(None);
        node.set_discovery(Some(free_address()));
        assert_eq!(fetch(node.address, &request("page", 900)).status(), 200, "{mode}");
        // The new service counts its versions from 1 again.
        let new = Discovery::start(all_up(&addresses));
        node.set_discovery(Some(new.address));
        wait_for("the new address is watched", || new.call_count() >= 2);
        new.set_targets(vec![target("s-0", addresses[0], "draining")]);
        wait_for("its change has arrived", || node.up_status() == 503);
        assert!(node.is_running(), "{mode}");
    }
}

#[test]
fn a_discovery_that_answers_watches_at_once_is_not_asked_in_a_busy_loop() {
    let traffic = Traffic::default();
    let addresses = start_backends(1, &traffic, |_, _| ok(b"x"));
    let discovery = Discovery::start(all_up(&addresses));
    discovery.set_immediate(true);
    let _node = Node::start(discovery.address, |_| {});
    let calls = discovery.call_count();
    thread::sleep(Duration::from_millis(1000));
    let calls = discovery.call_count() - calls;
    // The longest pause between watches is 200 ms.
    assert!((5..50).contains(&calls), "{calls} calls in a second");
}

#[test]
fn endless_new_connections_do_not_delay_exit_after_sigterm() {
    let traffic = Traffic::default();
    let addresses = start_backends(1, &traffic, |_, _| ok(b"x"));
    let discovery = Discovery::start(all_up(&addresses));
    let mut node = Node::start(discovery.address, |_| {});
    let address = node.address;
    let is_over = Arc::new(AtomicBool::new(false));
    let is_over_clone = is_over.clone();
    let stream = thread::spawn(move || {
        while !is_over_clone.load(Ordering::SeqCst) {
            drop(Client::try_connect(address));
            thread::sleep(Duration::from_millis(20));
        }
    });
    node.terminate();
    let terminated_at = Instant::now();
    let status = node.wait_for_exit();
    is_over.store(true, Ordering::SeqCst);
    stream.join().unwrap();
    assert!(
        status.success() && terminated_at.elapsed() < Duration::from_millis(3700),
        "{:?}",
        terminated_at.elapsed()
    );
}

#[test]
fn invalid_datagrams_do_no_harm() {
    let traffic = Traffic::default();
    let addresses = start_backends(1, &traffic, |_, _| ok(b"x"));
    let discovery = Discovery::start(all_up(&addresses));
    let peer = UdpSocket::bind(loopback(0)).unwrap();
    let own_address = free_address();
    let mut node = Node::start(discovery.address, |c| {
        c["peer_listen"] = own_address.to_string().into();
        c["peers"] = json!([own_address.to_string(), peer.local_addr().unwrap().to_string()]);
    });
    let stranger = UdpSocket::bind(loopback(0)).unwrap();
    for sender in [&peer, &stranger] {
        for length in [0, 1, 256, 257, 9000] {
            sender.send_to(&vec![0xff; length], own_address).unwrap();
        }
    }
    assert_eq!(fetch(node.address, &request("page", 900)).status(), 200);
    assert!(node.is_running());
}

#[test]
fn sigterm_under_traffic_loses_no_request() {
    let traffic = Traffic::default();
    let addresses = start_backends(4, &traffic, |_, _| {
        thread::sleep(Duration::from_millis(30));
        ok(b"x")
    });
    let discovery = Discovery::start(all_up(&addresses));
    let mut node = Node::start(discovery.address, |_| {});
    let address = node.address;
    let is_terminated = Arc::new(AtomicBool::new(false));
    let idle: Vec<Client> = (0..3).map(|_| Client::connect(address)).collect();
    let mut clients = Vec::new();
    for n in 0..6 {
        let is_terminated = is_terminated.clone();
        clients.push(thread::spawn(move || {
            let mut served = 0;
            let mut stop_at = None;
            let mut client = Client::connect(address);
            loop {
                if is_terminated.load(Ordering::SeqCst) && stop_at.is_none() {
                    stop_at = Some(Instant::now() + Duration::from_millis(400));
                }
                let is_over = stop_at.is_some_and(|end| Instant::now() >= end);
                let class = if n % 2 == 0 { "page" } else { "bid" };
                assert!(
                    client.send(&request(class, 900)),
                    "client {n}: the connection was closed without an announcement"
                );
                let response = client.read_response().expect("a response to an accepted request");
                assert!(matches!(response.status(), 200 | 503), "{}", response.first_line);
                served += 1;
                let announces_close = response.header("connection") == Some("close");
                if is_over {
                    return (served, announces_close);
                }
                if announces_close {
                    client = Client::try_connect(address).expect("the node still accepts connections");
                }
            }
        }));
    }
    wait_for("traffic flows", || traffic.request_count() > 20);
    node.terminate();
    let terminated_at = Instant::now();
    is_terminated.store(true, Ordering::SeqCst);
    for client in clients {
        let (served, announces_close) = client.join().unwrap();
        assert!(
            served > 1 && announces_close,
            "{served} responses, the last one announces a close: {announces_close}"
        );
    }
    let status = node.wait_for_exit();
    assert!(status.success(), "{status}");
    assert!(terminated_at.elapsed() < Duration::from_millis(3000), "SIGKILL would have ended the process");
    drop(idle);
}
