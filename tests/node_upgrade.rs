//! The next process of a node beside the one that serves.
mod node;

use node::*;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// A directory for `$TMPDIR` that goes when the test is over, and the command that starts a node with it.
struct Tmp(PathBuf);

impl Tmp {
    fn command(&self) -> String {
        format!("TMPDIR='{}' exec \"$0\"", self.0.display())
    }
}

impl Drop for Tmp {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn healthy(node: &Node) -> bool {
    try_call_operator(node.operator, b"health\n").is_some_and(|a| a.starts_with("OK"))
}

struct World {
    tmp: Tmp,
    discovery: Discovery,
    records: Vec<Traffic>,
    old: Node,
}

fn world(name: &str) -> World {
    let tmp = Tmp(scratch_dir(name));
    let records: Vec<Traffic> = (0..4).map(|_| Traffic::default()).collect();
    let act = |_: usize, _: &Message| {
        thread::sleep(Duration::from_millis(20));
        ok(b"x")
    };
    let addresses: Vec<_> = records.iter().map(|r| start_backend(r, act)).collect();
    let discovery = Discovery::start(all_up(&addresses));
    let old = Node::launch(discovery.address, |_| {}, &tmp.command());
    wait_for("/up is 200", || old.up_status() == 200);
    World { tmp, discovery, records, old }
}

#[test]
fn the_next_process_takes_over_under_load_and_nothing_is_lost() {
    let World { tmp, old, .. } = world("upgrade");
    let mut old = old;
    let address = old.address;
    let over = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicU32::new(0));
    let clients: Vec<_> = (0..8)
        .map(|n| {
            let (over, served) = (over.clone(), served.clone());
            thread::spawn(move || {
                let mut client = Client::connect(address);
                let mut crossed = 0;
                while !over.load(Ordering::SeqCst) {
                    if client.is_closed_by_peer() {
                        client = Client::connect(address);
                    }
                    let bytes = request(if n % 2 == 0 { "page" } else { "bid" }, 900);
                    let answer = if client.send(&bytes) { client.read_response() } else { None };
                    let Some(answer) = answer else {
                        // A close that crossed the request: the protocol lets the client ask once more, and
                        // whoever it meets then stays. How many do is the machine's affair.
                        crossed += 1;
                        assert!(crossed <= 1, "client {n} met a closed connection again");
                        client = Client::connect(address);
                        continue;
                    };
                    assert_eq!(answer.status(), 200, "{}", answer.first_line);
                    served.fetch_add(1, Ordering::SeqCst);
                    if answer.header("connection") == Some("close") {
                        client = Client::connect(address);
                    }
                    thread::sleep(Duration::from_millis(n));
                }
            })
        })
        .collect();
    let front = {
        let over = over.clone();
        thread::spawn(move || {
            while !over.load(Ordering::SeqCst) {
                let answer = try_fetch(address, b"GET /up HTTP/1.1\r\nHost: n\r\n\r\n");
                assert!(answer.is_none_or(|a| a.status() == 200), "the front was told no");
                thread::sleep(Duration::from_millis(5));
            }
        })
    };
    wait_for("traffic flows", || served.load(Ordering::SeqCst) > 50);
    let mut new = old.start_successor(&tmp.command());
    wait_for("the new process says yes", || healthy(&new));
    old.terminate();
    let begun = Instant::now();
    assert!(old.wait_for_exit().success());
    assert!(begun.elapsed() < Duration::from_millis(3700), "SIGKILL would have come");
    let so_far = served.load(Ordering::SeqCst);
    wait_for("the new process serves", || served.load(Ordering::SeqCst) > so_far + 50);
    over.store(true, Ordering::SeqCst);
    clients.into_iter().for_each(|c| c.join().unwrap());
    front.join().unwrap();
    assert!(new.is_running() && new.up_status() == 200);
}

#[test]
fn a_backend_taken_out_at_either_process_is_out_at_both() {
    let World { tmp, records, old, .. } = world("both");
    let new = old.start_successor(&tmp.command());
    wait_for("the new process says yes", || healthy(&new));
    assert!(old.call("cordon s-0").starts_with("OK"));
    assert!(new.call("cordon s-1").starts_with("OK"));
    let quiet = || {
        let before = records[0].request_count() + records[1].request_count();
        for _ in 0..40 {
            assert_eq!(fetch(old.address, &request("page", 900)).status(), 200);
        }
        records[0].request_count() + records[1].request_count() == before
    };
    wait_for("both are out at both", quiet);
    // Each is put back at the other one.
    assert!(new.call("uncordon s-0").starts_with("OK"));
    assert!(old.call("uncordon s-1").starts_with("OK"));
    let back = || {
        fetch(old.address, &request("page", 900));
        records.iter().all(|r| r.request_count() > 40)
    };
    wait_for("both are back", back);
}

#[test]
fn a_next_process_that_dies_leaves_the_old_one_serving_with_all_it_had() {
    let World { tmp, discovery, old, .. } = world("dies");
    // One that never has a list never says yes.
    discovery.set_silent(true);
    let mut new = old.start_successor(&tmp.command());
    wait_for("it answers operators", || try_call_operator(new.operator, b"health\n").is_some());
    assert!(new.call("health").starts_with("ERR"));
    assert!(new.call("quiesce").starts_with("ERR"));
    new.kill();
    assert!(old.call("health").starts_with("OK"));
    for _ in 0..20 {
        assert_eq!(fetch(old.address, &request("bid", 900)).status(), 200);
    }
    // With nobody beside it, a stop is what it was: the front is told no.
    let mut old = old;
    let mut kept = Client::connect(old.address);
    old.terminate();
    let up = b"GET /up HTTP/1.1\r\nHost: n\r\n\r\n";
    wait_for("the front is told no", || {
        kept.send(up) && kept.read_response().is_none_or(|a| a.status() == 503) || kept.wait_for_close()
    });
    assert!(old.wait_for_exit().success());
}

#[test]
fn two_processes_keep_within_the_nodes_descriptors() {
    let tmp = Tmp(scratch_dir("descriptors"));
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
    let mut most = 0;
    wait_for("the new process says yes", || {
        most = most.max(old.open_descriptors() + new.open_descriptors());
        healthy(&new)
    });
    for _ in 0..200 {
        clients.push(Client::connect(old.address));
        most = most.max(old.open_descriptors() + new.open_descriptors());
    }
    assert!(most <= 200, "{most}");
}
