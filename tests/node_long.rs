//! Long and slow bodies of requests and responses.
mod node;

use node::*;
use std::io::Write;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

/// Returns a body in which any shift or gap is noticed.
fn pattern(length: usize) -> Vec<u8> {
    (0..length).map(|n| (n.wrapping_mul(2_654_435_761) >> 13) as u8).collect()
}

/// Returns the head of a 200 response with a framing header.
fn response_head(framing: &str) -> Vec<u8> {
    format!("HTTP/1.1 200 OK\r\nContent-Type: x/y\r\n{framing}\r\n\r\n").into_bytes()
}

/// Encodes a body in chunks of `size` bytes, with chunk extensions and a trailer.
fn chunked(body: &[u8], size: usize) -> Vec<u8> {
    let mut bytes = Vec::new();
    for chunk in body.chunks(size) {
        bytes.extend_from_slice(format!("{:x};ext=\"1\"\r\n", chunk.len()).as_bytes());
        bytes.extend_from_slice(chunk);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"0\r\nX-Trailer: t\r\n\r\n");
    bytes
}

/// Returns the head of an upload of a class, with a framing header.
fn upload_head(class: &str, expires_ms: u64, framing: &str) -> Vec<u8> {
    let key = if class == "pay" { "Idempotency-Key: k\r\n" } else { "" };
    format!(
        "POST /api HTTP/1.1\r\nHost: n\r\nX-Trace-Id: 1\r\nX-Qos: {class}\r\n{key}\
         X-Expires-In-Ms: {expires_ms}\r\n{framing}\r\n\r\n"
    )
    .into_bytes()
}

#[test]
fn a_long_response_is_forwarded_in_every_framing() {
    let body = pattern(3_000_001);
    let with_length = [response_head(&format!("Content-Length: {}", body.len())), body.clone()].concat();
    let in_chunks = [response_head("Transfer-Encoding: chunked"), chunked(&body, 50_000)].concat();
    let until_close = [response_head("Connection: close"), body.clone()].concat();
    let after_interim =
        [b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n".to_vec(), with_length.clone()].concat();
    for action in [
        Action::Send(with_length),
        Action::Send(in_chunks),
        Action::SendAndCloseLater(until_close),
        Action::Send(after_interim),
    ] {
        let traffic = Traffic::default();
        let addresses = start_backends(1, &traffic, move |_, _| action.clone());
        let discovery = Discovery::start(all_up(&addresses));
        let node = Node::start(discovery.address, |_| {});
        let mut client = Client::connect(node.address);
        for _ in 0..2 {
            let response = client.fetch(&request("page", 4000));
            assert_eq!((response.status(), response.header("content-type")), (200, Some("x/y")));
            assert!(response.body == body, "{} bytes", response.body.len());
        }
    }
}

#[test]
fn a_response_that_has_started_is_neither_cut_at_the_deadline_nor_delayed() {
    let body = pattern(400_000);
    let parts: Vec<(u64, Vec<u8>)> = [(0, response_head("Content-Length: 400000"))]
        .into_iter()
        .chain(body.chunks(80_000).map(|part| (300, part.to_vec())))
        .collect();
    let slow_parts = [(0, response_head("Transfer-Encoding: chunked")), (0, b"5\r\nfirst\r\n".to_vec())];
    let slow_parts: Vec<_> = slow_parts.into_iter().chain([(1800, chunked(&body, 30_000))]).collect();
    let traffic = Traffic::default();
    let addresses = start_backends(1, &traffic, move |n, _| {
        Action::Parts(if n == 0 { parts.clone() } else { slow_parts.clone() })
    });
    let discovery = Discovery::start(all_up(&addresses));
    let node = Node::start(discovery.address, |_| {});
    let sent_at = Instant::now();
    let response = fetch(node.address, &request("bid", 600));
    assert!(sent_at.elapsed() > Duration::from_millis(1400));
    assert!(response.body == body, "{} bytes", response.body.len());
    // A response of unknown length with a pause in it: its first bytes are forwarded at once.
    let mut client = Client::connect(node.address);
    let sent_at = Instant::now();
    client.send(&request("page", 1200));
    assert!(client.wait_for_data());
    assert!(sent_at.elapsed() < Duration::from_millis(1200), "{:?}", sent_at.elapsed());
    let response = client.read_response().unwrap();
    assert!(response.body == [b"first".as_slice(), &body].concat(), "{} bytes", response.body.len());
    assert_eq!(traffic.request_count(), 2);
}

#[test]
fn a_truncated_response_cannot_be_taken_for_complete() {
    let body = pattern(300_000);
    let truncated = |framing: &str| [response_head(framing), body.clone()].concat();
    let actions = [
        Action::SendAndCloseLater(truncated("Content-Length: 400000")),
        Action::SendAndCloseLater(
            [response_head("Transfer-Encoding: chunked"), b"40000\r\n".to_vec(), body.clone()].concat(),
        ),
    ];
    for action in actions {
        let traffic = Traffic::default();
        let addresses = start_backends(2, &traffic, move |_, _| action.clone());
        let discovery = Discovery::start(all_up(&addresses));
        let node = Node::start(discovery.address, |_| {});
        let mut client = Client::connect(node.address);
        client.send(&request("page", 4000));
        assert!(client.read_response().is_none(), "the response must not look complete");
        assert_eq!(traffic.request_count(), 1, "a partly forwarded response must not be requested again");
        assert_eq!(node.up_status(), 200);
    }
}

#[test]
fn a_long_request_is_forwarded_as_it_arrives_and_timed_from_its_last_byte() {
    let body = pattern(1_000_000);
    let traffic = Traffic::default();
    let addresses = start_backends(1, &traffic, |_, _| ok(b"done"));
    let discovery = Discovery::start(all_up(&addresses));
    let node = Node::start(discovery.address, |_| {});
    for (n, framing) in ["Content-Length: 1000000", "Transfer-Encoding: chunked"].into_iter().enumerate() {
        let mut client = Client::connect(node.address);
        assert!(client.send(&upload_head("bid", 400, framing)));
        let bytes = if n == 0 { body.clone() } else { chunked(&body, 70_000) };
        for part in bytes.chunks(bytes.len() / 10) {
            assert!(client.send(part));
            thread::sleep(Duration::from_millis(100));
        }
        let response = client.read_response().expect("a response");
        assert_eq!((response.status(), response.body.as_slice()), (200, b"done".as_slice()));
        let requests = traffic.requests.lock().unwrap();
        assert_eq!(requests.len(), n + 1);
        assert!(requests[n].body == body, "{} bytes", requests[n].body.len());
    }
}

#[test]
fn a_client_may_send_head_and_body_slowly() {
    let traffic = Traffic::default();
    let addresses = start_backends(1, &traffic, |_, _| ok(b"done"));
    let discovery = Discovery::start(all_up(&addresses));
    let node = Node::start(discovery.address, |_| {});
    let bytes = [upload_head("bid", 900, "Expect: 100-continue\r\nContent-Length: 60000"), pattern(60_000)]
        .concat();
    let mut client = Client::connect(node.address);
    let (head, body) = bytes.split_at(bytes.len() - 60_000);
    for part in head.chunks(head.len() / 9) {
        assert!(client.send(part));
        thread::sleep(Duration::from_millis(200));
    }
    assert_eq!(client.read_interim_response().as_deref(), Some("HTTP/1.1 100 Continue"));
    for part in body.chunks(6_400) {
        assert!(client.send(part));
        thread::sleep(Duration::from_millis(100));
    }
    assert_eq!(client.read_response().map(|a| a.status()), Some(200));
    assert!(traffic.requests.lock().unwrap()[0].body == body);
}

#[test]
fn a_partly_forwarded_request_is_not_sent_twice() {
    // This backend is not listed and must receive nothing.
    let traffic = Traffic::default();
    let handler = move |_: usize, _: &Message| ok(b"never");
    let addresses = start_backends(1, &traffic, handler);
    // The listed backend closes the connection within the body. The node must read and drop the rest, then answer the
    // client.
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            // Reads the head and part of the body, then closes.
            let mut stream = stream.unwrap();
            let mut part_of_body = [0; 100_000];
            let _ = std::io::Read::read(&mut stream, &mut part_of_body);
            thread::sleep(Duration::from_millis(50));
        }
    });
    let discovery = Discovery::start(vec![target("s-0", address, "up")]);
    let node = Node::start(discovery.address, |_| {});
    let mut client = Client::connect(node.address);
    assert!(client.send(&upload_head("pay", 2000, "Content-Length: 3000000")));
    for part in pattern(3_000_000).chunks(100_000) {
        assert!(client.send(part), "the node reads the request to its end");
        thread::sleep(Duration::from_millis(5));
    }
    let response = client.read_response().expect("a response");
    assert!(matches!(response.status(), 502 | 503), "{}", response.first_line);
    drop((addresses, discovery));
    assert_eq!(traffic.request_count(), 0);
}

#[test]
fn a_client_that_disconnects_in_a_long_transfer_frees_the_backend() {
    let body = pattern(8_000_000);
    let bytes = [response_head("Content-Length: 8000000"), body].concat();
    let traffic = Traffic::default();
    let addresses = start_backends(1, &traffic, move |_, _| Action::Send(bytes.clone()));
    let discovery = Discovery::start(all_up(&addresses));
    let node = Node::start(discovery.address, |_| {});
    let mut client = Client::connect(node.address);
    client.send(&request("page", 4000));
    assert!(client.wait_for_data());
    drop(client);
    wait_for("the attempt's connection is closed", || traffic.open_connections() == 0);
    let mut client = Client::connect(node.address);
    client.send(&upload_head("bid", 900, "Content-Length: 3000000"));
    client.send(&pattern(500_000));
    wait_for("the upload has started", || traffic.connections_opened.load(Ordering::SeqCst) == 2);
    drop(client);
    wait_for("the attempt's connection is closed", || traffic.open_connections() == 0);
    assert_eq!(traffic.request_count(), 1, "the backend must not receive a complete second request");
    assert_eq!(node.up_status(), 200);
}

#[test]
fn a_client_that_stops_reading_or_sending_frees_the_backend() {
    let bytes = [response_head("Content-Length: 32000000"), pattern(32_000_000)].concat();
    let traffic = Traffic::default();
    let addresses = start_backends(1, &traffic, move |_, _| Action::Send(bytes.clone()));
    let discovery = Discovery::start(all_up(&addresses));
    let node = Node::start(discovery.address, |_| {});
    let mut reader = Client::connect(node.address);
    reader.send(&request("page", 4000));
    assert!(reader.wait_for_data());
    let mut sender = Client::connect(node.address);
    sender.send(&upload_head("bid", 900, "Content-Length: 3000000"));
    sender.send(&pattern(500_000));
    wait_for("both transfers have started", || traffic.connections_opened.load(Ordering::SeqCst) == 2);
    // Both client connections stay open and silent. The node may take longer than `MAX_WAIT` to give them up.
    let sent_at = Instant::now();
    while traffic.open_connections() > 0 {
        assert!(
            sent_at.elapsed() < 3 * MAX_WAIT,
            "{} backend connections are still held",
            traffic.open_connections()
        );
        thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(node.up_status(), 200);
}

#[test]
fn a_completely_sent_long_request_times_out_and_is_never_sent_again() {
    for (framing, body) in [
        ("Content-Length: 100000", pattern(100_000)),
        ("Transfer-Encoding: chunked", chunked(&pattern(100_000), 30_000)),
    ] {
        for action in [Action::Silent, Action::SendAndClose(Vec::new())] {
            let traffic = Traffic::default();
            let addresses = start_backends(3, &traffic, move |_, _| action.clone());
            let discovery = Discovery::start(all_up(&addresses));
            let node = Node::start(discovery.address, |_| {});
            let mut client = Client::connect(node.address);
            client.send(&upload_head("bid", 900, framing));
            client.send(&body);
            let sent_at = Instant::now();
            assert_eq!(
                client.read_response().map(|a| a.status()),
                Some(502),
                "the request may have run: {framing}"
            );
            assert!(sent_at.elapsed() < Duration::from_millis(1500), "{:?}", sent_at.elapsed());
            assert_eq!(traffic.request_count(), 1, "{framing}");
        }
    }
}

#[test]
fn a_long_request_with_a_slow_response_has_not_stalled() {
    let traffic = Traffic::default();
    let addresses = start_backends(1, &traffic, |_, _| {
        thread::sleep(Duration::from_millis(16_500));
        ok(b"done")
    });
    let discovery = Discovery::start(all_up(&addresses));
    let node = Node::start(discovery.address, |c| {
        for class in c["settings"]["classes"].as_array_mut().unwrap() {
            class["objectiveMs"] = 60_000.into();
            class["hardLimitMs"] = 60_000.into();
        }
    });
    let mut client = Client::connect(node.address);
    client.stream.set_read_timeout(Some(3 * MAX_WAIT)).unwrap();
    client.send(&upload_head("bid", 60_000, "Content-Length: 100000"));
    client.send(&pattern(100_000));
    assert_eq!(client.read_response().map(|a| a.status()), Some(200));
}

#[test]
fn long_bodies_beyond_the_memory_limit_are_transferred_within_it() {
    const LENGTH: usize = 4_000_000;
    let bytes = [response_head(&format!("Content-Length: {LENGTH}")), pattern(LENGTH)].concat();
    let traffic = Traffic::default();
    let addresses = start_backends(4, &traffic, move |_, message| {
        if message.body.is_empty() { Action::Send(bytes.clone()) } else { ok(b"done") }
    });
    let discovery = Discovery::start(all_up(&addresses));
    let node = Node::start(discovery.address, |c| c["limits"]["memory_mb"] = 32.into());
    let address = node.address;
    let clients: Vec<_> = (0..40)
        .map(|n| {
            thread::spawn(move || {
                let mut client = Client::connect(address);
                if n % 2 == 0 {
                    client.send(&request("page", 4000));
                    // A slow reader.
                    thread::sleep(Duration::from_millis(500));
                    let response = client.read_response().expect("a response");
                    (response.status(), response.status() != 200 || response.body == pattern(LENGTH))
                } else {
                    client.send(&upload_head("pay", 4000, &format!("Content-Length: {LENGTH}")));
                    let sent = client.stream.write_all(&pattern(LENGTH)).is_ok();
                    (client.read_response().expect("a response").status(), sent)
                }
            })
        })
        .collect();
    let outcomes: Vec<(u16, bool)> = clients.into_iter().map(|c| c.join().unwrap()).collect();
    assert!(
        outcomes.iter().all(|(status, is_complete)| matches!(status, 200 | 502 | 503) && *is_complete),
        "{outcomes:?}"
    );
    assert!(outcomes.iter().filter(|(status, _)| *status == 200).count() > 10, "{outcomes:?}");
    assert!(node.peak_memory_bytes() < 32 << 20, "{} bytes", node.peak_memory_bytes());
}
