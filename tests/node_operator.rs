//! The operators' address: calls, backends taken out and put back, clients sent away.
mod node;

use node::*;
use std::net::TcpStream;
use std::time::{Duration, Instant};

fn answers_ok(answer: &str) -> bool {
    answer.starts_with("OK") && answer.ends_with('\n') && answer.lines().count() == 1
}

fn says_no(answer: &str) -> bool {
    answer.starts_with("ERR ") && answer.ends_with('\n') && answer.lines().count() == 1
}

#[test]
fn a_call_is_a_line_and_what_is_none_changes_nothing() {
    let traffic = Traffic::default();
    let addresses = start_backends(1, &traffic, |_, _| ok(b"x"));
    let discovery = Discovery::start(all_up(&addresses));
    let node = Node::start(discovery.address, |_| {});
    assert!(answers_ok(&call_operator(node.operator, b"health\n")));
    assert!(answers_ok(&call_operator(node.operator, b"health\r\n")));
    assert!(answers_ok(&call_operator(node.operator, b"health\nquiesce\n")), "one line a connection");
    let wrong: [&[u8]; 11] = [
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
    for call in wrong {
        let shown = String::from_utf8_lossy(&call[..call.len().min(40)]).into_owned();
        assert!(says_no(&call_operator(node.operator, call)), "{shown:?}");
    }
    assert_eq!(node.up_status(), 200);
    assert_eq!(fetch(node.address, &request("bid", 900)).status(), 200);
}

#[test]
fn callers_that_say_nothing_keep_nobody_out_and_are_closed() {
    let traffic = Traffic::default();
    let addresses = start_backends(1, &traffic, |_, _| ok(b"x"));
    let discovery = Discovery::start(all_up(&addresses));
    let node = Node::start(discovery.address, |c| c["limits"]["sockets"] = 64.into());
    // The clients' own limit is met as well.
    let clients: Vec<Option<Client>> = (0..80).map(|_| Client::try_connect(node.address)).collect();
    let mut silent: Vec<TcpStream> =
        (0..60).map(|_| TcpStream::connect_timeout(&node.operator, MAX_WAIT).unwrap()).collect();
    for _ in 0..3 {
        let begun = Instant::now();
        assert!(answers_ok(&node.call("health")));
        assert!(begun.elapsed() < Duration::from_secs(1), "{:?}", begun.elapsed());
    }
    assert!(node.open_descriptors() <= 64, "{}", node.open_descriptors());
    for stream in &mut silent {
        stream.set_read_timeout(Some(MAX_WAIT)).unwrap();
        // Told so or closed, but not kept: a read that ran out of patience would say so.
        let end = std::io::Read::read_to_end(stream, &mut Vec::new());
        assert!(end.is_ok_and(|n| n < 100));
    }
    drop(clients);
}

#[test]
fn a_backend_taken_out_gets_nothing_until_it_is_put_back_whatever_is_listed() {
    let (out, stays) = (Traffic::default(), Traffic::default());
    let addresses = [start_backend(&out, |_, _| ok(b"x")), start_backend(&stays, |_, _| ok(b"x"))];
    let discovery = Discovery::start(all_up(&addresses));
    let node = Node::start(discovery.address, |_| {});
    let ask_some = || {
        for _ in 0..40 {
            assert_eq!(fetch(node.address, &request("page", 900)).status(), 200);
        }
    };
    ask_some();
    assert!(out.request_count() > 0);
    assert!(says_no(&node.call("cordon s-9")));
    assert!(says_no(&node.call("uncordon s-9")));
    assert!(answers_ok(&node.call("uncordon s-0")), "known and not out");
    assert!(answers_ok(&node.call("cordon s-0")));
    assert!(answers_ok(&node.call("cordon s-0")), "twice is fine");
    wait_for("its idle connections are closed", || out.open_connections() == 0);
    let before = out.request_count();
    ask_some();
    // Listed anew, gone, and listed again.
    let calls = discovery.call_count();
    discovery.set_targets(all_up(&addresses));
    wait_for("that is known", || discovery.call_count() > calls);
    ask_some();
    let calls = discovery.call_count();
    discovery.set_targets(vec![target("s-1", addresses[1], "up")]);
    wait_for("that is known", || discovery.call_count() > calls);
    assert!(answers_ok(&node.call("cordon s-0")), "it is out, so it is known");
    let calls = discovery.call_count();
    discovery.set_targets(all_up(&addresses));
    wait_for("that is known", || discovery.call_count() > calls);
    ask_some();
    assert_eq!(out.request_count(), before);
    assert!(answers_ok(&node.call("uncordon s-0")), "one call undoes both");
    ask_some();
    assert!(out.request_count() > before);
}

#[test]
fn a_backend_taken_out_stays_out_in_the_next_process() {
    let (out, stays) = (Traffic::default(), Traffic::default());
    let addresses = [start_backend(&out, |_, _| ok(b"x")), start_backend(&stays, |_, _| ok(b"x"))];
    let discovery = Discovery::start(all_up(&addresses));
    let tmp = scratch_dir("stays-out");
    let command = format!("TMPDIR='{}' exec \"$0\"", tmp.display());
    let mut listen = None;
    let mut first = Node::launch(discovery.address, |c| listen = Some(c["listen"].clone()), &command);
    wait_for("/up is 200", || first.up_status() == 200);
    assert!(answers_ok(&first.call("cordon s-0")));
    first.terminate();
    first.wait_for_exit();
    let mut second = Node::launch(discovery.address, |c| c["listen"] = listen.unwrap(), &command);
    second.address = first.address;
    wait_for("/up is 200", || second.up_status() == 200);
    for _ in 0..40 {
        assert_eq!(fetch(second.address, &request("page", 900)).status(), 200);
    }
    assert_eq!(out.request_count(), 0);
    assert!(answers_ok(&second.call("uncordon s-0")));
    for _ in 0..40 {
        assert_eq!(fetch(second.address, &request("page", 900)).status(), 200);
    }
    assert!(out.request_count() > 0);
    let _ = std::fs::remove_dir_all(tmp);
}

#[test]
fn a_place_that_cannot_be_written_keeps_no_node_from_starting() {
    let traffic = Traffic::default();
    let addresses = start_backends(1, &traffic, |_, _| ok(b"x"));
    let discovery = Discovery::start(all_up(&addresses));
    let node = Node::launch(discovery.address, |_| {}, "TMPDIR=/proc/none exec \"$0\"");
    wait_for("/up is 200", || node.up_status() == 200);
    let answer = node.call("cordon s-0");
    assert!(answers_ok(&answer) && answer.contains("until this process ends"), "{answer}");
    assert_eq!(node.up_status(), 503, "no backend is left");
}

#[test]
fn clients_are_sent_away_without_a_loss_and_may_come_again() {
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
    let whole = request("page", 900);
    assert!(arriving.send(&whole[..20]));
    let mut asked = Client::connect(node.address);
    assert!(asked.send(&request("bid", 900)));
    wait_for("the request is out", || traffic.request_count() == 2);

    assert!(answers_ok(&node.call("quiesce")));
    assert!(answers_ok(&node.call("quiesce")), "twice is fine");
    assert!(answers_ok(&node.call("health")));
    assert_eq!(node.up_status(), 503);
    assert!(idle.wait_for_close());
    assert!(arriving.send(&whole[20..]));
    for client in [&mut asked, &mut arriving] {
        let answer = client.read_response().unwrap();
        assert_eq!((answer.status(), answer.header("connection")), (200, Some("close")));
        assert!(client.wait_for_close());
    }
    let late = fetch(node.address, &request("page", 900));
    assert_eq!((late.status(), late.header("connection")), (200, Some("close")));

    assert!(answers_ok(&node.call("resume")));
    assert!(answers_ok(&node.call("resume")), "twice is fine");
    assert_eq!(node.up_status(), 200);
    let mut client = Client::connect(node.address);
    for _ in 0..2 {
        assert_eq!(client.fetch(&request("page", 900)).status(), 200);
    }
    node.call("quiesce");
    node.terminate();
    assert!(node.wait_for_exit().success(), "a stop while quiesced is a stop");
}

#[test]
fn without_an_operators_address_the_node_runs_as_before() {
    let traffic = Traffic::default();
    let addresses = start_backends(1, &traffic, |_, _| ok(b"x"));
    let discovery = Discovery::start(all_up(&addresses));
    let node = Node::start(discovery.address, |c| drop(c.as_object_mut().unwrap().remove("operator")));
    assert!(TcpStream::connect(node.operator).is_err());
    assert_eq!(fetch(node.address, &request("page", 900)).status(), 200);
}
