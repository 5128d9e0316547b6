//! The operators' address: its calls, cordons of backends, and the quiescing of a node.
mod node;

use node::*;
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// True if the answer is one line that begins with OK.
fn is_ok(answer: &str) -> bool {
    answer.starts_with("OK") && answer.ends_with('\n') && answer.lines().count() == 1
}

/// True if the answer is one line that begins with ERR.
fn is_error(answer: &str) -> bool {
    answer.starts_with("ERR ") && answer.ends_with('\n') && answer.lines().count() == 1
}

#[test]
fn a_call_is_one_line_and_invalid_calls_change_nothing() {
    let traffic = Traffic::default();
    let addresses = start_backends(1, &traffic, |_, _| ok(b"x"));
    let discovery = Discovery::start(all_up(&addresses));
    let node = Node::start(discovery.address, |_| {});
    assert!(is_ok(&call_operator(node.operator, b"health\n")));
    assert!(is_ok(&call_operator(node.operator, b"health\r\n")));
    assert!(
        is_ok(&call_operator(node.operator, b"health\nquiesce\n")),
        "only the first line of a connection counts"
    );
    let invalid_calls: [&[u8]; 11] = [
        b"",
        b"\n",
        b"\r\n",
        b"healt\n",
        b"quiesce now\n",
        b"cordon\n",
        b"cordon s-0 s-0\n",
        b"cordon s-0",
        b"cordon s-\xff\n",
        b"GET /up HTTP/1.1\r\nHost: n\r\n\r\n",
        &[b'x'; 70_000],
    ];
    for call in invalid_calls {
        let shown = String::from_utf8_lossy(&call[..call.len().min(40)]).into_owned();
        assert!(is_error(&call_operator(node.operator, call)), "{shown:?}");
    }
    assert_eq!(node.up_status(), 200);
    assert_eq!(fetch(node.address, &request("bid", 900)).status(), 200);
}

#[test]
fn silent_callers_block_no_other_and_are_closed() {
    let traffic = Traffic::default();
    let addresses = start_backends(1, &traffic, |_, _| ok(b"x"));
    let discovery = Discovery::start(all_up(&addresses));
    let node = Node::start(discovery.address, |c| c["limits"]["sockets"] = 64.into());
    // The clients reach their own limit of connections as well.
    let clients: Vec<Option<Client>> = (0..80).map(|_| Client::try_connect(node.address)).collect();
    let mut silent: Vec<TcpStream> =
        (0..60).map(|_| TcpStream::connect_timeout(&node.operator, MAX_WAIT).unwrap()).collect();
    for _ in 0..3 {
        let called_at = Instant::now();
        assert!(is_ok(&node.call("health")));
        assert!(called_at.elapsed() < Duration::from_secs(1), "{:?}", called_at.elapsed());
    }
    assert!(node.open_descriptors() <= 64, "{}", node.open_descriptors());
    for stream in &mut silent {
        stream.set_read_timeout(Some(MAX_WAIT)).unwrap();
        // The node sends a short answer or closes the connection. A connection that stays open fails the read by its
        // time-out.
        let end = std::io::Read::read_to_end(stream, &mut Vec::new());
        assert!(end.is_ok_and(|n| n < 100));
    }
    drop(clients);
}

#[test]
fn a_cordoned_backend_gets_no_request_until_its_uncordon_whatever_is_listed() {
    let (cordoned, other) = (Traffic::default(), Traffic::default());
    let addresses = [start_backend(&cordoned, |_, _| ok(b"x")), start_backend(&other, |_, _| ok(b"x"))];
    let discovery = Discovery::start(all_up(&addresses));
    let node = Node::start(discovery.address, |_| {});
    let ask_some = || {
        for _ in 0..40 {
            assert_eq!(fetch(node.address, &request("page", 900)).status(), 200);
        }
    };
    ask_some();
    assert!(cordoned.request_count() > 0);
    assert!(is_error(&node.call("cordon s-9")));
    assert!(is_error(&node.call("uncordon s-9")));
    assert!(is_ok(&node.call("uncordon s-0")), "it is known and not cordoned");
    assert!(is_ok(&node.call("cordon s-0")));
    assert!(is_ok(&node.call("cordon s-0")), "a repeated call is valid");
    wait_for("its idle connections are closed", || cordoned.open_connections() == 0);
    let before = cordoned.request_count();
    ask_some();
    // The backend is listed under a new version, removed, and listed again.
    let calls = discovery.call_count();
    discovery.set_targets(all_up(&addresses));
    wait_for("the node has the new list", || discovery.call_count() > calls);
    ask_some();
    let calls = discovery.call_count();
    discovery.set_targets(vec![target("s-1", addresses[1], "up")]);
    wait_for("the node has the new list", || discovery.call_count() > calls);
    assert!(is_ok(&node.call("cordon s-0")), "it is cordoned, so it is known");
    let calls = discovery.call_count();
    discovery.set_targets(all_up(&addresses));
    wait_for("the node has the new list", || discovery.call_count() > calls);
    ask_some();
    assert_eq!(cordoned.request_count(), before);
    assert!(is_ok(&node.call("uncordon s-0")), "one uncordon undoes both cordons");
    ask_some();
    assert!(cordoned.request_count() > before);
}

#[test]
fn a_cordon_lasts_in_the_next_process() {
    let (cordoned, other) = (Traffic::default(), Traffic::default());
    let addresses = [start_backend(&cordoned, |_, _| ok(b"x")), start_backend(&other, |_, _| ok(b"x"))];
    let discovery = Discovery::start(all_up(&addresses));
    let tmp_dir = scratch_dir("stays-out");
    let command = format!("TMPDIR='{}' exec \"$0\"", tmp_dir.display());
    let mut listen = None;
    let mut first = Node::launch(discovery.address, |c| listen = Some(c["listen"].clone()), &command);
    wait_for("/up is 200", || first.up_status() == 200);
    assert!(is_ok(&first.call("cordon s-0")));
    first.terminate();
    first.wait_for_exit();
    let mut second = Node::launch(discovery.address, |c| c["listen"] = listen.unwrap(), &command);
    second.address = first.address;
    wait_for("/up is 200", || second.up_status() == 200);
    for _ in 0..40 {
        assert_eq!(fetch(second.address, &request("page", 900)).status(), 200);
    }
    assert_eq!(cordoned.request_count(), 0);
    assert!(is_ok(&second.call("uncordon s-0")));
    for _ in 0..40 {
        assert_eq!(fetch(second.address, &request("page", 900)).status(), 200);
    }
    assert!(cordoned.request_count() > 0);
    let _ = std::fs::remove_dir_all(tmp_dir);
}

#[test]
fn a_node_starts_though_its_directory_is_not_writable() {
    let traffic = Traffic::default();
    let addresses = start_backends(1, &traffic, |_, _| ok(b"x"));
    let discovery = Discovery::start(all_up(&addresses));
    let node = Node::launch(discovery.address, |_| {}, "TMPDIR=/proc/none exec \"$0\"");
    wait_for("/up is 200", || node.up_status() == 200);
    let answer = node.call("cordon s-0");
    assert!(is_ok(&answer) && answer.contains("until this process ends"), "{answer}");
    assert_eq!(node.up_status(), 503, "no backend is left");
}

#[test]
fn quiesce_loses_no_request_and_resume_accepts_clients_again() {
    let traffic = Traffic::default();
    let addresses = start_backends(1, &traffic, |_, _| {
        std::thread::sleep(Duration::from_millis(100));
        ok(b"x")
    });
    let discovery = Discovery::start(all_up(&addresses));
    let mut node = Node::start(discovery.address, |_| {});
    let mut idle = Client::connect(node.address);
    assert_eq!(idle.fetch(&request("page", 900)).status(), 200);
    let mut arriving = Client::connect(node.address);
    let request_bytes = request("page", 900);
    assert!(arriving.send(&request_bytes[..20]));
    let mut in_flight = Client::connect(node.address);
    assert!(in_flight.send(&request("bid", 900)));
    wait_for("the request is in flight", || traffic.request_count() == 2);

    assert!(is_ok(&node.call("quiesce")));
    assert!(is_ok(&node.call("quiesce")), "a repeated call is valid");
    assert!(is_ok(&node.call("health")));
    assert_eq!(node.up_status(), 503);
    assert!(idle.wait_for_close());
    assert!(arriving.send(&request_bytes[20..]));
    for client in [&mut in_flight, &mut arriving] {
        let answer = client.read_response().unwrap();
        assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
        assert!(client.wait_for_close());
    }
    let response = fetch(node.address, &request("page", 900));
    assert_eq!((response.status(), response.header("connection")), (200, Some("close")));

    assert!(is_ok(&node.call("resume")));
    assert!(is_ok(&node.call("resume")), "a repeated call is valid");
    assert_eq!(node.up_status(), 200);
    let mut client = Client::connect(node.address);
    for _ in 0..2 {
        assert_eq!(client.fetch(&request("page", 900)).status(), 200);
    }
    node.call("quiesce");
    node.terminate();
    assert!(node.wait_for_exit().success(), "the node exits normally while quiesced");
}

#[test]
fn without_an_operators_address_the_node_serves() {
    let traffic = Traffic::default();
    let addresses = start_backends(1, &traffic, |_, _| ok(b"x"));
    let discovery = Discovery::start(all_up(&addresses));
    let node = Node::start(discovery.address, |c| drop(c.as_object_mut().unwrap().remove("operator")));
    assert!(TcpStream::connect(node.operator).is_err());
    assert_eq!(fetch(node.address, &request("page", 900)).status(), 200);
}
