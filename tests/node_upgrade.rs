//! Upgrade of a node: its next process starts while the old one serves, and takes over.
mod node;

use node::*;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// A directory for `$TMPDIR`, which is removed when the value is dropped.
struct TempDir(PathBuf);

impl TempDir {
    /// Returns the shell command that starts a node with this `$TMPDIR`.
    fn command(&self) -> String {
        format!("TMPDIR='{}' exec \"$0\"", self.0.display())
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// True if the `health` call of the node answers OK.
fn is_healthy(node: &Node) -> bool {
    try_call_operator(node.operator, b"health\n").is_some_and(|a| a.starts_with("OK"))
}

/// A serving node with four backends.
struct Fixture {
    tmp: TempDir,
    discovery: Discovery,
    traffic: Vec<Traffic>,
    old: Node,
}

/// Starts a node with four backends that answer after 20 ms.
fn start_fixture(name: &str) -> Fixture {
    let tmp = TempDir(scratch_dir(name));
    let traffic: Vec<Traffic> = (0..4).map(|_| Traffic::default()).collect();
    let handler = |_: usize, _: &Message| {
        thread::sleep(Duration::from_millis(20));
        ok(b"x")
    };
    let addresses: Vec<_> = traffic.iter().map(|r| start_backend(r, handler)).collect();
    let discovery = Discovery::start(all_up(&addresses));
    let old = Node::launch(discovery.address, |_| {}, &tmp.command());
    wait_for("/up is 200", || old.up_status() == 200);
    Fixture { tmp, discovery, traffic, old }
}

#[test]
fn the_next_process_takes_over_under_load_without_a_lost_request() {
    let Fixture { tmp, old, .. } = start_fixture("upgrade");
    let mut old = old;
    let address = old.address;
    let is_over = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicU32::new(0));
    let clients: Vec<_> = (0..8)
        .map(|n| {
            let (is_over, served) = (is_over.clone(), served.clone());
            thread::spawn(move || {
                let mut client = Client::connect(address);
                let mut closed_in_flight = 0;
                while !is_over.load(Ordering::SeqCst) {
                    if client.is_closed_by_peer() {
                        client = Client::connect(address);
                    }
                    let bytes = request(if n % 2 == 0 { "page" } else { "bid" }, 900);
                    let response = if client.send(&bytes) { client.read_response() } else { None };
                    let Some(response) = response else {
                        // The node closed the connection while the request was in flight. The protocol lets the client
                        // ask once more, and the process that it reaches then stays. How many clients this happens to
                        // depends on the machine.
                        closed_in_flight += 1;
                        assert!(
                            closed_in_flight <= 1,
                            "client {n} found its connection closed a second time"
                        );
                        client = Client::connect(address);
                        continue;
                    };
                    assert_eq!(response.status(), 200, "{}", response.first_line);
                    served.fetch_add(1, Ordering::SeqCst);
                    if response.header("connection") == Some("close") {
                        client = Client::connect(address);
                    }
                    thread::sleep(Duration::from_millis(n));
                }
            })
        })
        .collect();
    let front_proxy = {
        let is_over = is_over.clone();
        thread::spawn(move || {
            while !is_over.load(Ordering::SeqCst) {
                let response = try_fetch(address, b"GET /up HTTP/1.1\r\nHost: n\r\n\r\n");
                assert!(
                    response.is_none_or(|a| a.status() == 200),
                    "the proxy in front received a status other than 200"
                );
                thread::sleep(Duration::from_millis(5));
            }
        })
    };
    wait_for("traffic flows", || served.load(Ordering::SeqCst) > 50);
    let mut new = old.start_successor(&tmp.command());
    wait_for("the new process is healthy", || is_healthy(&new));
    old.terminate();
    let terminated_at = Instant::now();
    assert!(old.wait_for_exit().success());
    assert!(terminated_at.elapsed() < Duration::from_millis(3700), "SIGKILL would have ended the process");
    let so_far = served.load(Ordering::SeqCst);
    wait_for("the new process serves", || served.load(Ordering::SeqCst) > so_far + 50);
    is_over.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|c| c.join().unwrap());
    front_proxy.join().unwrap();
    assert!(new.is_running() && new.up_status() == 200);
}

/// Guards against long responses that are cut off by the end of the old process (review case 6).
#[test]
fn the_old_process_finishes_a_response_that_has_begun() {
    let tmp = TempDir(scratch_dir("finishes"));
    let traffic = Traffic::default();
    let address = start_backend(&traffic, |_, _| slow_response());
    let discovery = Discovery::start(all_up(&[address]));
    let short_deadlines = |c: &mut serde_json::Value| {
        for class in c["settings"]["classes"].as_array_mut().unwrap() {
            (class["hardLimitMs"], class["objectiveMs"]) = (400.into(), 400.into());
        }
    };
    let mut old = Node::launch(discovery.address, short_deadlines, &tmp.command());
    wait_for("/up is 200", || old.up_status() == 200);
    let mut download = Client::connect(old.address);
    assert!(download.send(&request("page", 400)));
    assert!(download.wait_for_data());
    let new = old.start_successor(&tmp.command());
    wait_for("the new process is healthy", || is_healthy(&new));
    old.terminate();
    let response = download.read_response().expect("a complete response");
    assert_eq!((response.status(), response.body.len()), (200, SLOW_RESPONSE_BYTES));
    assert!(old.wait_for_exit().success());
    assert_eq!(new.up_status(), 200);
}

#[test]
fn a_backend_cordoned_at_one_process_is_out_at_both() {
    let Fixture { tmp, traffic, old, .. } = start_fixture("both");
    let new = old.start_successor(&tmp.command());
    wait_for("the new process is healthy", || is_healthy(&new));
    assert!(old.call("cordon s-0").starts_with("OK"));
    assert!(new.call("cordon s-1").starts_with("OK"));
    let are_both_out = || {
        let before = traffic[0].request_count() + traffic[1].request_count();
        for _ in 0..40 {
            assert_eq!(fetch(old.address, &request("page", 900)).status(), 200);
        }
        traffic[0].request_count() + traffic[1].request_count() == before
    };
    wait_for("both backends are out at both processes", are_both_out);
    // Each backend is put back at the other process.
    assert!(new.call("uncordon s-0").starts_with("OK"));
    assert!(old.call("uncordon s-1").starts_with("OK"));
    let are_both_back = || {
        fetch(old.address, &request("page", 900));
        traffic.iter().all(|r| r.request_count() > 40)
    };
    wait_for("both backends are back", are_both_back);
}

#[test]
fn the_old_process_serves_on_when_the_next_one_dies() {
    let Fixture { tmp, discovery, old, .. } = start_fixture("dies");
    // A process that never receives a list, neither from discovery nor from the old process, never becomes healthy.
    discovery.set_silent(true);
    old.suspend();
    let mut new = old.start_successor(&tmp.command());
    wait_for("the new process answers operators' calls", || {
        try_call_operator(new.operator, b"health\n").is_some()
    });
    assert!(new.call("health").starts_with("ERR"));
    assert!(new.call("quiesce").starts_with("ERR"));
    new.kill();
    old.resume();
    assert!(old.call("health").starts_with("OK"));
    for _ in 0..20 {
        assert_eq!(fetch(old.address, &request("bid", 900)).status(), 200);
    }
    // Without a next process a stop works as usual: the proxy in front receives 503.
    let mut old = old;
    let mut kept_client = Client::connect(old.address);
    old.terminate();
    let up_request = b"GET /up HTTP/1.1\r\nHost: n\r\n\r\n";
    wait_for("the proxy in front receives 503", || {
        kept_client.send(up_request) && kept_client.read_response().is_none_or(|a| a.status() == 503)
            || kept_client.wait_for_close()
    });
    assert!(old.wait_for_exit().success());
}

#[test]
fn two_processes_together_keep_the_descriptor_limit() {
    let tmp = TempDir(scratch_dir("descriptors"));
    let traffic = Traffic::default();
    let addresses = start_backends(1, &traffic, |_, _| ok(b"x"));
    let discovery = Discovery::start(all_up(&addresses));
    let old = Node::launch(discovery.address, |c| c["limits"]["sockets"] = 200.into(), &tmp.command());
    wait_for("/up is 200", || old.up_status() == 200);
    let mut clients: Vec<Client> = (0..120).map(|_| Client::connect(old.address)).collect();
    for client in &mut clients {
        assert_eq!(client.fetch(&request("page", 900)).status(), 200);
    }
    let new = old.start_successor(&tmp.command());
    // Until then it is a shell that may still have the descriptors of this test, which its own exec closes.
    wait_for("the new process runs the node", || new.runs_program());
    let mut max_descriptors = 0;
    wait_for("the new process is healthy", || {
        max_descriptors = max_descriptors.max(old.open_descriptors() + new.open_descriptors());
        is_healthy(&new)
    });
    for _ in 0..200 {
        clients.push(Client::connect(old.address));
        max_descriptors = max_descriptors.max(old.open_descriptors() + new.open_descriptors());
    }
    assert!(max_descriptors <= 200, "{max_descriptors}");
}
