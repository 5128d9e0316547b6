//! Faults of clients, and limits of the node itself: both get a proper response, and the node keeps running.
mod node;

use node::*;
use serde_json::{Value, json};
use std::time::Duration;

type ConfigChange = fn(&mut Value);

#[test]
fn malformed_input_is_answered_without_a_backend() {
    let traffic = Traffic::default();
    let addresses = start_backends(1, &traffic, |_, _| ok(b""));
    let discovery = Discovery::start(all_up(&addresses));
    let mut node = Node::start(discovery.address, |_| {});
    let head = "Host: n\r\nX-Trace-Id: 1\r\n";
    let large = format!("POST /api HTTP/1.1\r\n{head}X-Qos: bid\r\nContent-Length: 33554433\r\n\r\n");
    let chunk = "2000000\r\n".to_owned() + &"x".repeat(0x200_0000) + "\r\n1\r\nx\r\n0\r\n\r\n";
    let chunked =
        format!("POST /api HTTP/1.1\r\n{head}X-Qos: bid\r\nTransfer-Encoding: chunked\r\n\r\n{chunk}");
    let cases: Vec<(u16, String)> = vec![
        (400, "nonsense\r\n\r\n".to_owned()),
        (400, "\x00\x01\x02\r\n\r\n".to_owned()),
        (400, "GET /api HTTP/1.1\r\nHost: n\r\nContent-Length: many\r\n\r\n".to_owned()),
        (400, "GET /api HTTP/1.1\r\nHost: n\r\nX-Qos: page\r\n\r\n".to_owned()),
        (400, format!("POST /api HTTP/1.1\r\n{head}X-Qos: page\r\nContent-Length: 0\r\n\r\n")),
        (400, format!("GET /api HTTP/1.1\r\n{head}X-Qos: bid\r\n\r\n")),
        (
            400,
            format!(
                "POST /api HTTP/1.1\r\n{head}X-Qos: bid\r\nIdempotency-Key: k\r\nContent-Length: 0\r\n\r\n"
            ),
        ),
        (400, format!("POST /api HTTP/1.1\r\n{head}X-Qos: pay\r\nContent-Length: 0\r\n\r\n")),
        (400, format!("DELETE /api HTTP/1.1\r\n{head}X-Qos: other\r\n\r\n")),
        (404, format!("GET /apical HTTP/1.1\r\n{head}X-Qos: page\r\n\r\n")),
        (404, format!("POST / HTTP/1.1\r\n{head}X-Qos: bid\r\nContent-Length: 0\r\n\r\n")),
        // Two framings in either order, and two lengths. A proxy in front of the node could see a second request in
        // these.
        (
            400,
            format!(
                "POST /api HTTP/1.1\r\n{head}X-Qos: bid\r\nTransfer-Encoding: chunked\r\nContent-Length: 6\r\n\r\n0\r\n\r\nX"
            ),
        ),
        (
            400,
            format!(
                "POST /api HTTP/1.1\r\n{head}X-Qos: bid\r\nContent-Length: 6\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nX"
            ),
        ),
        (
            400,
            format!(
                "POST /api HTTP/1.1\r\n{head}X-Qos: bid\r\nContent-Length: 6\r\nContent-Length: 7\r\n\r\nbodies."
            ),
        ),
        (413, large),
        (413, chunked),
    ];
    for (status, bytes) in cases {
        let got = try_fetch(node.address, bytes.as_bytes()).map(|m| m.status());
        assert_eq!(got, Some(status), "{:?}", bytes.get(..100.min(bytes.len())));
    }
    // A request that follows one with two framings is not served.
    let two_framings = "POST /api HTTP/1.1\r\nX-Qos: bid\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n";
    let mut smuggler = Client::connect(node.address);
    smuggler.send(&[two_framings.as_bytes(), &request("page", 900)].concat());
    assert_eq!(smuggler.read_response().map(|a| a.status()), Some(400));
    assert!(smuggler.wait_for_close());
    // A client that closes at once, and one that closes within its request.
    drop(Client::connect(node.address));
    let mut half_request = Client::connect(node.address);
    half_request
        .send(b"POST /api HTTP/1.1\r\nX-Trace-Id: 1\r\nX-Qos: bid\r\nContent-Length: 10\r\n\r\nabc");
    drop(half_request);
    assert_eq!(traffic.request_count(), 0);
    // A request with an invalid `X-Expires-In-Ms` is served with the time limit of its class.
    let with_invalid_limit =
        format!("GET /api HTTP/1.1\r\n{head}X-Qos: page\r\nX-Expires-In-Ms: soon\r\n\r\n");
    assert_eq!(fetch(node.address, with_invalid_limit.as_bytes()).status(), 200);
    let limit_ms: u64 =
        traffic.requests.lock().unwrap()[0].header("x-expires-in-ms").unwrap().parse().unwrap();
    assert!(limit_ms <= 4000, "{limit_ms}");
    assert!(node.is_running());
}

#[test]
fn a_refused_request_is_read_to_its_end_so_that_the_response_arrives() {
    let traffic = Traffic::default();
    let addresses = start_backends(1, &traffic, |_, _| ok(b""));
    let discovery = Discovery::start(all_up(&addresses));
    let node = Node::start(discovery.address, |_| {});
    // Closing a socket with unread bytes resets the connection, which destroys a response in flight.
    let cases = [
        (413, "/api", "X-Trace-Id: 1\r\nX-Qos: bid\r\n", 34_000_000),
        (404, "/other", "", 60_000),
        (400, "/api", "X-Qos: bid\r\n", 60_000),
        (400, "/api", "X-Trace-Id: 1\r\nX-Qos: page\r\n", 60_000),
    ];
    for (status, path, headers, length) in cases {
        for _ in 0..if length > 1_000_000 { 2 } else { 20 } {
            let mut client = Client::connect(node.address);
            let head =
                format!("POST {path} HTTP/1.1\r\nHost: n\r\n{headers}Content-Length: {length}\r\n\r\n");
            assert!(client.send(head.as_bytes()));
            for part in vec![b'x'; length].chunks(length / 20) {
                assert!(client.send(part), "{status}: closed before the body was read");
                std::thread::sleep(Duration::from_micros(300));
            }
            assert_eq!(client.read_response().map(|m| m.status()), Some(status));
        }
    }
    assert_eq!(traffic.request_count(), 0);
}

#[test]
fn a_client_that_does_not_finish_its_request_is_closed_or_gets_an_error() {
    let traffic = Traffic::default();
    let addresses = start_backends(1, &traffic, |_, _| ok(b"x"));
    let discovery = Discovery::start(all_up(&addresses));
    let node = Node::start(discovery.address, |_| {});
    let head =
        "POST /api HTTP/1.1\r\nHost: n\r\nX-Trace-Id: 1\r\nX-Expires-In-Ms: 60000\r\nContent-Length: 9\r\n";
    let cases = [
        String::new(),
        "GET /api HT".to_owned(),
        format!("{head}X-Qos: bid\r\n\r\nhalf"),
        format!("{head}X-Qos: unheard-of\r\n\r\nhalf"),
        format!("{head}\r\nhalf"),
    ];
    // All clients at once, and one that has been served before and stops within its second request head.
    let mut clients: Vec<Client> = cases.iter().map(|_| Client::connect(node.address)).collect();
    for (client, bytes) in clients.iter_mut().zip(&cases) {
        assert!(client.send(bytes.as_bytes()));
    }
    let mut second = Client::connect(node.address);
    assert_eq!(second.fetch(&request("page", 900)).status(), 200);
    assert!(second.send(b"GET /api HT"));
    clients.push(second);
    for (n, mut client) in clients.into_iter().enumerate() {
        // None must mean the end of the stream, not the test's read time-out.
        let response = client.read_response().map(|m| m.status());
        assert!(response.is_none_or(|s| (400..500).contains(&s)), "{n}: {response:?}");
        assert!(client.wait_for_close(), "{n}: still open after {MAX_WAIT:?}");
    }
    assert_eq!(traffic.request_count(), 1);
}

#[test]
fn a_request_of_an_unknown_class_is_never_sent_twice() {
    let traffic = Traffic::default();
    let addresses = start_backends(2, &traffic, |_, _| Action::SendAndClose(Vec::new()));
    let discovery = Discovery::start(all_up(&addresses));
    let node = Node::start(discovery.address, |_| {});
    assert_eq!(fetch(node.address, &request("unheard-of", 900)).status(), 502);
    assert_eq!(traffic.request_count(), 1);
}

#[test]
fn at_the_descriptor_limit_idle_connections_are_closed_and_every_client_is_served() {
    let traffic = Traffic::default();
    let addresses = start_backends(4, &traffic, |_, _| ok(b"x"));
    let discovery = Discovery::start(all_up(&addresses));
    let node = Node::start(discovery.address, |c| c["limits"]["sockets"] = 64.into());
    // Three times as many connections as the limit, all kept open by their clients.
    let mut clients = Vec::new();
    for n in 0..200 {
        let mut client = Client::connect(node.address);
        assert_eq!(client.fetch(&request("bid", 900)).status(), 200, "client {n}");
        assert!(node.open_descriptors() <= 64, "{} descriptors", node.open_descriptors());
        clients.push(client);
    }
    assert_eq!(traffic.request_count(), 200);
}

#[test]
fn clients_that_never_finish_their_request_do_not_shut_others_out() {
    let traffic = Traffic::default();
    let addresses = start_backends(1, &traffic, |_, _| ok(b"x"));
    let discovery = Discovery::start(all_up(&addresses));
    let node = Node::start(discovery.address, |c| c["limits"]["sockets"] = 54.into());
    let mut unfinished: Vec<Client> = (0..100).map(|_| Client::connect(node.address)).collect();
    for client in &mut unfinished {
        client.send(b"GET /api HT");
    }
    assert_eq!(fetch(node.address, &request("page", 4000)).status(), 200);
    assert!(node.open_descriptors() <= 54, "{} descriptors", node.open_descriptors());
}

#[test]
fn the_nodes_own_lack_of_descriptors_is_not_blamed_on_backends() {
    let traffic = Traffic::default();
    let addresses = start_backends(2, &traffic, |_, _| {
        std::thread::sleep(Duration::from_millis(600));
        ok(b"x")
    });
    let discovery = Discovery::start(all_up(&addresses));
    let mut node = Node::start(discovery.address, |c| c["limits"]["sockets"] = 54.into());
    // With this many active clients the node has no descriptors left for their attempts.
    let mut clients: Vec<Client> = (0..40).map(|_| Client::connect(node.address)).collect();
    for client in &mut clients {
        client.send(&request("page", 3500));
    }
    let statuses: Vec<u16> =
        clients.iter_mut().map(|c| c.read_response().expect("a response").status()).collect();
    assert!(statuses.contains(&200), "{statuses:?}");
    assert!(statuses.iter().all(|s| matches!(s, 200 | 503)), "{statuses:?}");
    drop(clients);
    node.terminate();
    assert!(node.wait_for_exit().success());
    let log = node.log();
    assert!(!log.contains("congested") && !log.contains("scarce"), "{log}");
}

#[test]
fn a_system_limit_below_the_configured_one_causes_no_exit_and_no_busy_loop() {
    let traffic = Traffic::default();
    let addresses = start_backends(1, &traffic, |_, _| ok(b"x"));
    let discovery = Discovery::start(all_up(&addresses));
    let mut node = Node::launch(discovery.address, |_| {}, "ulimit -n 24; exec \"$0\"");
    wait_for("/up is 200", || node.up_status() == 200);
    // Clients within a request are not idle, so the node cannot close one in favour of another.
    let mut unfinished: Vec<Client> = (0..40).map(|_| Client::connect(node.address)).collect();
    for client in &mut unfinished {
        client.send(b"GET /api HT");
    }
    wait_for("the node is at the limit", || node.open_descriptors() >= 24);
    let before = node.cpu_ticks();
    std::thread::sleep(Duration::from_millis(500));
    let used = node.cpu_ticks() - before;
    assert!(used < 20, "{used} of 50 ticks used while no connection can be accepted");
    assert!(node.is_running());
    drop(unfinished);
    wait_for("the node serves again", || {
        try_fetch(node.address, &request("page", 900)).is_some_and(|m| m.status() == 200)
    });
}

#[test]
fn an_invalid_setting_is_named_and_fails_the_start() {
    let cases: [(&str, ConfigChange); 17] = [
        ("listen", |c| c["listen"] = "nowhere".into()),
        ("peers[1]", |c| c["peers"] = serde_json::json!(["127.0.0.1:1", 7])),
        ("limits.sockets", |c| c["limits"]["sockets"] = "many".into()),
        ("rules.coldMs", |c| c["settings"]["rules"]["coldMs"] = "long".into()),
        ("classes", |c| c["settings"]["classes"] = serde_json::json!([])),
        ("settings", |c| drop(c.as_object_mut().unwrap().remove("settings"))),
        ("seed", |c| drop(c.as_object_mut().unwrap().remove("seed"))),
        ("classes[1].hardLimitMs", |c| c["settings"]["classes"][1]["hardLimitMs"] = (-900).into()),
        ("classes[2].keyTtlMs", |c| c["settings"]["classes"][2]["keyTtlMs"] = 1e300.into()),
        ("rules.drainGraceMs", |c| c["settings"]["rules"]["drainGraceMs"] = 1e12.into()),
        ("rules.mustAskInMs", |c| c["settings"]["rules"]["mustAskInMs"] = (-1).into()),
        ("limits.connectTimeoutMs", |c| c["settings"]["limits"]["connectTimeoutMs"] = 0.into()),
        ("prices.crossZone", |c| c["settings"]["prices"]["crossZone"] = (-0.1).into()),
        ("blend.whole", |c| c["settings"]["blend"]["whole"] = 1e99.into()),
        ("semantics", |c| c["settings"]["classes"][0]["semantics"] = "sometimes".into()),
        ("membershipMode", |c| c["settings"]["membershipMode"] = "shouted".into()),
        ("reporting", |c| c["settings"]["reporting"] = serde_json::json!({"via": "rumour", "names": []})),
    ];
    for (field, change) in cases {
        let mut node = Node::launch(free_address(), change, "exec \"$0\"");
        assert!(!node.wait_for_exit().success(), "{field}");
        let log = node.log();
        assert!(log.contains(field), "{field} is not named: {log}");
        assert!(log.contains(&node.config_path()), "the file is not named: {log}");
    }
}

#[test]
fn idle_clients_at_the_descriptor_limit_do_not_block_calls_to_discovery() {
    for mode in ["pushed", "on_request"] {
        let traffic = Traffic::default();
        let addresses = start_backends(4, &traffic, |_, _| ok(b"x"));
        // Nothing listens at this address yet.
        let discovery_address = free_address();
        let node = Node::start(discovery_address, |c| {
            c["limits"]["sockets"] = 64.into();
            c["settings"]["membershipMode"] = mode.into();
            c["settings"]["instances"] = 300.into();
            // An older version than the discovery service will have.
            c["known"] = json!({"rev": 0, "all": true, "targets": all_up(&addresses)});
        });
        let mut clients = Vec::new();
        for n in 0..150 {
            let mut client = Client::connect(node.address);
            assert_eq!(client.fetch(&request("bid", 900)).status(), 200, "client {n}");
            clients.push(client);
        }
        // These clients never send a request.
        clients.extend((0..150).map(|_| Client::connect(node.address)));
        assert!(node.open_descriptors() <= 64, "{} descriptors", node.open_descriptors());
        let draining: Vec<_> =
            addresses.iter().enumerate().map(|(n, a)| target(&format!("s-{n}"), *a, "draining")).collect();
        Discovery::start_at(discovery_address, draining);
        wait_for("the node knows of the drain", || node.up_status() == 503);
        assert!(node.open_descriptors() <= 64, "{} descriptors", node.open_descriptors());
    }
}

/// Guards against requests that are sent on for a client that has left: the first check came up to 0.25 s later.
#[test]
fn nothing_is_sent_for_a_client_that_left_with_requests_unread() {
    let traffic = Traffic::default();
    let addresses = start_backends(4, &traffic, |_, _| {
        std::thread::sleep(Duration::from_millis(150));
        ok(b"x")
    });
    let discovery = Discovery::start(all_up(&addresses));
    let node = Node::start(discovery.address, |_| {});
    let requests: Vec<u8> = (0..5).flat_map(|_| request("bid", 900)).collect();
    let mut client = Client::connect(node.address);
    assert!(client.send(&requests));
    wait_for("the first request is sent on", || traffic.request_count() == 1);
    drop(client);
    let open_clients = || {
        let answer = node.call("stats");
        let stats: serde_json::Value = serde_json::from_str(answer.strip_prefix("OK ").unwrap()).unwrap();
        stats["descriptors"]["clients"].as_u64()
    };
    wait_for("the node has closed the connection", || open_clients() == Some(0));
    assert_eq!(traffic.request_count(), 1);
}
