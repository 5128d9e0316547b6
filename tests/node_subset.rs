//! Lists that are longer than a node's subset, over real sockets. The node works with its subset, and drains, cordons
//! and starts work as with a short list.
mod node;

use node::*;
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// Number of listed backends.
const LISTED: usize = 3000;

fn stats(node: &Node) -> Value {
    serde_json::from_str(node.call("stats").strip_prefix("OK ").unwrap()).unwrap()
}

/// Returns the IDs of the backends in the subset that the node reports in `state`.
fn held_ids(node: &Node, state: &str) -> BTreeSet<String> {
    let stats = stats(node);
    let backends = stats["backends"].as_array().unwrap().iter();
    backends.filter(|b| b["state"] == state).map(|b| b["id"].as_str().unwrap().to_owned()).collect()
}

/// Returns a list of `LISTED` backends. `location` gives the address and the state for each ID.
fn list_of(location: impl Fn(&str) -> (SocketAddr, &'static str)) -> Vec<Value> {
    let line = |n| {
        let uid = format!("s-{n}");
        let (address, state) = location(&uid);
        target(&uid, address, state)
    };
    (0..LISTED).map(line).collect()
}

/// Starts a backend. Returns its traffic and its address.
fn start_server() -> (Traffic, SocketAddr) {
    let traffic = Traffic::default();
    let address = start_backends(1, &traffic, |_, _| ok(b"x"))[0];
    (traffic, address)
}

/// Returns the version of the list that the node uses.
fn list_version(node: &Node) -> u64 {
    stats(node)["list"]["version"].as_u64().unwrap_or(0)
}

/// Checks that the node serves a number of requests.
fn check_serves(node: &Node, requests: usize) {
    for _ in 0..requests {
        assert_eq!(fetch(node.address, &request("page", 3000)).status(), 200);
    }
}

#[test]
fn a_node_works_with_its_subset_and_sends_nothing_to_draining_backends() {
    let ((first, a), (second, b)) = (start_server(), start_server());
    let discovery = Discovery::start(list_of(|_| (a, "up")));
    let node = Node::start(discovery.address, |c| c["settings"]["instances"] = 40.into());
    let before = held_ids(&node, "up");
    assert_eq!(before.len(), 320);
    let list = stats(&node)["list"].clone();
    assert_eq!(
        (&list["backends"], &list["held"], &list["held_by"]),
        (&3000.into(), &320.into(), &4.into())
    );
    check_serves(&node, 50);
    assert_eq!(first.request_count(), 50);
    // The whole subset drains. The other backends are at the second address from now on.
    discovery.set_targets(list_of(|uid| if before.contains(uid) { (a, "draining") } else { (b, "up") }));
    wait_for("the node knows of the drain", || list_version(&node) == 2);
    let probes = |traffic: &Traffic| {
        traffic.requests.lock().unwrap().iter().filter(|m| !m.first_line.contains("/x")).count()
    };
    let (sent, probed) = (first.request_count(), probes(&first));
    check_serves(&node, 100);
    assert_eq!(
        (first.request_count(), probes(&first)),
        (sent, probed),
        "no request and no probe is sent there"
    );
    assert_eq!(second.request_count(), 100);
    let after = held_ids(&node, "up");
    assert_eq!(after.len(), 320);
    assert!(after.is_disjoint(&before));
    assert_eq!(held_ids(&node, "draining"), before, "`stats` shows the draining backends");
    // The same subset is selected when all are up again.
    discovery.set_targets(list_of(|_| (a, "up")));
    wait_for("the node has the list with all backends up", || list_version(&node) == 3);
    assert_eq!(held_ids(&node, "up"), before);
    check_serves(&node, 20);
    assert_eq!(second.request_count(), 100);
}

#[test]
fn a_cordon_holds_for_every_listed_backend_inside_or_outside_the_subset() {
    let ((first, a), (second, b)) = (start_server(), start_server());
    let discovery = Discovery::start(list_of(|_| (a, "up")));
    let node = Node::start(discovery.address, |_| {});
    let before = held_ids(&node, "up");
    let kept_up = before.first().unwrap().clone();
    let outside = (0..LISTED).map(|n| format!("s-{n}")).find(|uid| !before.contains(uid)).unwrap();
    assert!(node.call(&format!("cordon {outside}")).starts_with(&format!("OK {outside} is out")));
    assert!(node.call("cordon s-3000").starts_with("ERR"), "the backend is not listed");
    // The cordoned backend was outside the subset. It enters the subset and stays out of use.
    discovery.set_targets(list_of(|uid| {
        if before.contains(uid) && *uid != kept_up {
            (a, "draining")
        } else if uid == kept_up || uid == outside {
            (a, "up")
        } else {
            (b, "draining")
        }
    }));
    wait_for("the node has the list", || list_version(&node) == 2);
    assert_eq!(held_ids(&node, "up"), BTreeSet::from([kept_up]));
    assert_eq!(held_ids(&node, "cordoned"), BTreeSet::from([outside]));
    check_serves(&node, 20);
    assert_eq!((first.request_count() >= 20, second.request_count()), (true, 0));
}

#[test]
fn bad_entries_of_a_long_list_hide_no_others() {
    let (_traffic, a) = start_server();
    let mut lines = list_of(|_| (a, "up"));
    for n in [0, 1500, 2999] {
        lines[n]["endpoint"] = "nowhere".into();
    }
    let discovery = Discovery::start(lines);
    let node = Node::start(discovery.address, |_| {});
    assert_eq!(stats(&node)["list"]["backends"], 2997);
    wait_for("each bad entry is logged", || node.count_log_lines("discovery.entry_skipped") >= 3);
    check_serves(&node, 20);
}

#[test]
fn a_stored_subset_is_never_taken_for_the_full_list() {
    let (_traffic, a) = start_server();
    let dir = scratch_dir("kept-part");
    let (file, state) = (dir.join("daleturn.toml"), dir.join("state"));
    std::fs::write(&file, format!("[state]\ndir = {:?}\n[list]\nsubset = 50\n", state.to_str().unwrap()))
        .unwrap();
    let discovery = Discovery::start(list_of(|_| (a, "up")));
    let start = |discovery: SocketAddr| {
        let (node, _) = Node::launch_with_options(discovery, &file, true);
        wait_for("the node is healthy", || node.try_call("health").is_some_and(|a| a.starts_with("OK")));
        node
    };
    let mut first = start(discovery.address);
    assert_eq!(held_ids(&first, "up").len(), 50);
    // The 50 entries of the subset are larger than everything else in the state directory.
    let size = |dir| -> u64 {
        let files = std::fs::read_dir(dir).unwrap().flatten();
        files.filter_map(|f| f.metadata().ok()).map(|m| m.len()).sum()
    };
    wait_for("the list is stored", || size(&state) > 5000);
    first.kill();
    let later = Discovery::start(list_of(|_| (a, "up")));
    later.set_silent(true);
    let second = start(later.address);
    check_serves(&second, 5);
    assert!(!later.first_call().contains("after="), "{}", later.first_call());
    later.set_silent(false);
    wait_for("the node has the full list", || stats(&second)["list"]["backends"] == 3000);
}

#[test]
fn without_a_subset_limit_the_node_works_with_the_full_list() {
    let (_traffic, a) = start_server();
    let file = scratch_dir("no-subset").join("daleturn.toml");
    std::fs::write(&file, "[list]\nsubset = 0\n").unwrap();
    let discovery = Discovery::start(list_of(|_| (a, "up")));
    let (node, _) = Node::launch_with_options(discovery.address, &file, true);
    wait_for("/up is 200", || node.up_status() == 200);
    assert_eq!(held_ids(&node, "up").len(), LISTED);
    check_serves(&node, 20);
}

#[test]
fn a_list_over_the_size_limit_is_logged_and_loses_no_drain() {
    let ((first, a), (second, b)) = (start_server(), start_server());
    let list = |rev: u64, all: bool, targets: &[Value]| {
        json!({"rev": rev, "all": all, "targets": targets}).to_string().into_bytes()
    };
    let calls = Traffic::default();
    let discovery = start_backend(&calls, move |_, message| {
        let both = [target("s-1", a, "up"), target("s-2", b, "up")];
        if message.first_line.contains("after=1&") {
            // The changes hold a drain. The full list that follows is too long.
            return ok(&list(2, false, &[target("s-1", a, "draining")]));
        }
        if message.first_line.contains("after=2&") {
            return ok(&[list(3, true, &both), vec![b' '; 33 << 20]].concat());
        }
        ok(&list(1, true, &both))
    });
    let node = Node::launch(discovery, |_| {}, "exec \"$0\"");
    wait_for("the event is logged", || node.count_log_lines("discovery.list_too_long") > 0);
    wait_for("the event is counted", || stats(&node)["list"]["too_long"].as_u64() > Some(0));
    let sent = first.request_count();
    check_serves(&node, 20);
    assert_eq!(
        (first.request_count(), second.request_count() >= 20),
        (sent, true),
        "the last known list stays in use, with its drain"
    );
}

#[test]
fn a_repeated_full_list_is_applied_again_after_changes() {
    let ((_, a), (second, b)) = (start_server(), start_server());
    // `s-7` has the given state; all other backends drain if it is up, and are up otherwise.
    let list_with =
        move |state: &'static str| {
            list_of(move |uid| {
                if uid == "s-7" { (a, state) } else { (b, if state == "up" { "draining" } else { "up" }) }
            })
        };
    for (last_version, state) in [(2, "up"), (3, "draining"), (4, "up"), (5, "draining"), (6, "up")] {
        let discovery = start_backend(&Traffic::default(), move |_, message| {
            let list = |rev: u64, all: bool, targets: &[Value]| {
                ok(json!({"rev": rev, "all": all, "targets": targets}).to_string().as_bytes())
            };
            let after =
                message.first_line.split("after=").nth(1).and_then(|t| t.split('&').next()?.parse().ok());
            match after.unwrap_or(0_u64) {
                after if after >= last_version => Action::Silent,
                // Versions 1, 2, 4 and 6 have the same content, with a change in version 3 and another list in
                // version 5.
                2 => list(3, false, &[target("s-7", a, "draining")]),
                4 => list(5, true, &list_with("draining")),
                after => list(after + 1, true, &list_with("up")),
            }
        });
        let node = Node::launch(discovery, |_| {}, "exec \"$0\"");
        wait_for("/up is 200", || node.up_status() == 200);
        wait_for("the node has the list", || stats(&node)["list"]["version"] == last_version);
        assert!(held_ids(&node, state).contains("s-7"), "version {last_version}: {state}");
        if state == "up" {
            let sent = second.request_count();
            check_serves(&node, 5);
            assert_eq!(second.request_count(), sent, "version {last_version}");
        }
    }
}
