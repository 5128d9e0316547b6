//! Lists longer than a subset, on real sockets: the node works with its part, and drains, cordons and starts hold as with
//! a short list.
mod node;

use node::*;
use serde_json::{Value, json};
use std::collections::BTreeSet;
use std::net::SocketAddr;

const LISTED: usize = 3000;

fn stats(node: &Node) -> Value {
    serde_json::from_str(node.call("stats").strip_prefix("OK ").unwrap()).unwrap()
}

/// Whom the node holds, by the state that it tells.
fn held(node: &Node, state: &str) -> BTreeSet<String> {
    let stats = stats(node);
    let backends = stats["backends"].as_array().unwrap().iter();
    backends.filter(|b| b["state"] == state).map(|b| b["id"].as_str().unwrap().to_owned()).collect()
}

/// Many names, each served at the address that `at` has for it.
fn named(at: impl Fn(&str) -> (SocketAddr, &'static str)) -> Vec<Value> {
    let line = |n| {
        let uid = format!("s-{n}");
        let (address, state) = at(&uid);
        target(&uid, address, state)
    };
    (0..LISTED).map(line).collect()
}

fn server() -> (Traffic, SocketAddr) {
    let traffic = Traffic::default();
    let address = start_backends(1, &traffic, |_, _| ok(b"x"))[0];
    (traffic, address)
}

fn version(node: &Node) -> u64 {
    stats(node)["list"]["version"].as_u64().unwrap_or(0)
}

fn serves(node: &Node, requests: usize) {
    for _ in 0..requests {
        assert_eq!(fetch(node.address, &request("page", 3000)).status(), 200);
    }
}

#[test]
fn a_node_works_with_its_part_and_sends_nothing_to_whoever_drains() {
    let ((first, a), (second, b)) = (server(), server());
    let discovery = Discovery::start(named(|_| (a, "up")));
    let node = Node::start(discovery.address, |c| c["settings"]["instances"] = 40.into());
    let before = held(&node, "up");
    assert_eq!(before.len(), 320);
    let list = stats(&node)["list"].clone();
    assert_eq!(
        (&list["backends"], &list["held"], &list["held_by"]),
        (&3000.into(), &320.into(), &4.into())
    );
    serves(&node, 50);
    assert_eq!(first.request_count(), 50);
    // All that it holds drain; the others serve elsewhere from now on.
    discovery.set_targets(named(|uid| if before.contains(uid) { (a, "draining") } else { (b, "up") }));
    wait_for("the drain is known", || version(&node) == 2);
    let probes = |traffic: &Traffic| {
        traffic.requests.lock().unwrap().iter().filter(|m| !m.first_line.contains("/x")).count()
    };
    let (sent, probed) = (first.request_count(), probes(&first));
    serves(&node, 100);
    assert_eq!((first.request_count(), probes(&first)), (sent, probed), "nothing more goes there");
    assert_eq!(second.request_count(), 100);
    let after = held(&node, "up");
    assert_eq!(after.len(), 320);
    assert!(after.is_disjoint(&before));
    assert_eq!(held(&node, "draining"), before, "operators see who drains");
    // It comes back as it was.
    discovery.set_targets(named(|_| (a, "up")));
    wait_for("they are back", || version(&node) == 3);
    assert_eq!(held(&node, "up"), before);
    serves(&node, 20);
    assert_eq!(second.request_count(), 100);
}

#[test]
fn an_operators_word_holds_for_whoever_is_listed_held_or_not() {
    let ((first, a), (second, b)) = (server(), server());
    let discovery = Discovery::start(named(|_| (a, "up")));
    let node = Node::start(discovery.address, |_| {});
    let before = held(&node, "up");
    let one = before.first().unwrap().clone();
    let other = (0..LISTED).map(|n| format!("s-{n}")).find(|uid| !before.contains(uid)).unwrap();
    assert!(node.call(&format!("cordon {other}")).starts_with(&format!("OK {other} is out")));
    assert!(node.call("cordon s-3000").starts_with("ERR"), "nobody lists it");
    // The one that was not held comes into the subset, and stays out.
    discovery.set_targets(named(|uid| {
        if before.contains(uid) && *uid != one {
            (a, "draining")
        } else if uid == one || uid == other {
            (a, "up")
        } else {
            (b, "draining")
        }
    }));
    wait_for("the list is known", || version(&node) == 2);
    assert_eq!(held(&node, "up"), BTreeSet::from([one]));
    assert_eq!(held(&node, "cordoned"), BTreeSet::from([other]));
    serves(&node, 20);
    assert_eq!((first.request_count() >= 20, second.request_count()), (true, 0));
}

#[test]
fn bad_lines_of_a_long_list_hide_no_other() {
    let (_record, a) = server();
    let mut lines = named(|_| (a, "up"));
    for n in [0, 1500, 2999] {
        lines[n]["endpoint"] = "nowhere".into();
    }
    let discovery = Discovery::start(lines);
    let node = Node::start(discovery.address, |_| {});
    assert_eq!(stats(&node)["list"]["backends"], 2997);
    wait_for("each is told", || node.count_log_lines("discovery.entry_skipped") >= 3);
    serves(&node, 20);
}

#[test]
fn a_part_of_a_list_that_was_kept_is_never_taken_for_the_whole() {
    let (_record, a) = server();
    let dir = scratch_dir("kept-part");
    let (file, state) = (dir.join("daleturn.toml"), dir.join("state"));
    std::fs::write(&file, format!("[state]\ndir = {:?}\n[list]\nsubset = 50\n", state.to_str().unwrap()))
        .unwrap();
    let discovery = Discovery::start(named(|_| (a, "up")));
    let start = |discovery: SocketAddr| {
        let (node, _) = Node::launch_with_options(discovery, &file, true);
        wait_for("it serves", || node.try_call("health").is_some_and(|a| a.starts_with("OK")));
        node
    };
    let mut first = start(discovery.address);
    assert_eq!(held(&first, "up").len(), 50);
    // Fifty lines of the list are more than all else that is kept.
    let size = |dir| -> u64 {
        let files = std::fs::read_dir(dir).unwrap().flatten();
        files.filter_map(|f| f.metadata().ok()).map(|m| m.len()).sum()
    };
    wait_for("the list is stored", || size(&state) > 5000);
    first.kill();
    let later = Discovery::start(named(|_| (a, "up")));
    later.set_silent(true);
    let second = start(later.address);
    serves(&second, 5);
    assert!(!later.first_call().contains("after="), "{}", later.first_call());
    later.set_silent(false);
    wait_for("the whole list is known", || stats(&second)["list"]["backends"] == 3000);
}

#[test]
fn without_a_bound_the_whole_list_is_worked_with() {
    let (_record, a) = server();
    let file = scratch_dir("no-subset").join("daleturn.toml");
    std::fs::write(&file, "[list]\nsubset = 0\n").unwrap();
    let discovery = Discovery::start(named(|_| (a, "up")));
    let (node, _) = Node::launch_with_options(discovery.address, &file, true);
    wait_for("/up is 200", || node.up_status() == 200);
    assert_eq!(held(&node, "up").len(), LISTED);
    serves(&node, 20);
}

#[test]
fn a_list_past_every_limit_is_told_and_loses_no_drain() {
    let ((first, a), (second, b)) = (server(), server());
    let list = |rev: u64, all: bool, targets: &[Value]| {
        json!({"rev": rev, "all": all, "targets": targets}).to_string().into_bytes()
    };
    let calls = Traffic::default();
    let discovery = start_backend(&calls, move |_, message| {
        let both = [target("s-1", a, "up"), target("s-2", b, "up")];
        if message.first_line.contains("after=1&") {
            // What counts anew from here on is too long; a drain is among the changes.
            return ok(&list(2, false, &[target("s-1", a, "draining")]));
        }
        if message.first_line.contains("after=2&") {
            return ok(&[list(3, true, &both), vec![b' '; 33 << 20]].concat());
        }
        ok(&list(1, true, &both))
    });
    let node = Node::launch(discovery, |_| {}, "exec \"$0\"");
    wait_for("it is told", || node.count_log_lines("discovery.list_too_long") > 0);
    wait_for("it is counted", || stats(&node)["list"]["too_long"].as_u64() > Some(0));
    let sent = first.request_count();
    serves(&node, 20);
    assert_eq!(
        (first.request_count(), second.request_count() >= 20),
        (sent, true),
        "what is known holds, the drain among it"
    );
}

#[test]
fn a_whole_list_that_is_known_is_taken_as_such_unless_something_changed_since() {
    let ((_, a), (second, b)) = (server(), server());
    // All drain but one, which drains in turn.
    let whole = move |one: &'static str| {
        named(
            move |uid| {
                if uid == "s-7" { (a, one) } else { (b, if one == "up" { "draining" } else { "up" }) }
            },
        )
    };
    for (last, state) in [(2, "up"), (3, "draining"), (4, "up"), (5, "draining"), (6, "up")] {
        let discovery = start_backend(&Traffic::default(), move |_, message| {
            let list = |rev: u64, all: bool, targets: &[Value]| {
                ok(json!({"rev": rev, "all": all, "targets": targets}).to_string().as_bytes())
            };
            let after =
                message.first_line.split("after=").nth(1).and_then(|t| t.split('&').next()?.parse().ok());
            match after.unwrap_or(0_u64) {
                after if after >= last => Action::Silent,
                // The same thrice, with a change in between; then another, and the first one again.
                2 => list(3, false, &[target("s-7", a, "draining")]),
                4 => list(5, true, &whole("draining")),
                after => list(after + 1, true, &whole("up")),
            }
        });
        let node = Node::launch(discovery, |_| {}, "exec \"$0\"");
        wait_for("/up is 200", || node.up_status() == 200);
        wait_for("the list is known", || stats(&node)["list"]["version"] == last);
        assert!(held(&node, state).contains("s-7"), "version {last}: {state}");
        if state == "up" {
            let sent = second.request_count();
            serves(&node, 5);
            assert_eq!(second.request_count(), sent, "version {last}");
        }
    }
}
