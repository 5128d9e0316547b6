//! Updates of the list over real sockets. However a call to the discovery service ends, the changes that it missed
//! arrive, and an older list never overrides a newer one.
mod node;

use node::*;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::thread;

/// The values of `membershipMode`.
const MODES: [&str; 2] = ["pushed", "on_request"];

/// A response of the discovery service: the full list if `all`, changes otherwise.
fn list(rev: u64, all: bool, targets: &[Value]) -> Vec<u8> {
    http_response("200 OK", "", json!({"rev": rev, "all": all, "targets": targets}).to_string().as_bytes())
}

/// True if a call waits for changes after a version, false if it asks for the full list.
fn is_watch(message: &Message) -> bool {
    message.first_line.contains("after=")
}

/// Set once a test has seen its node up. The fake discovery service answers no watch before that.
#[derive(Clone, Default)]
struct SeenUp(Arc<AtomicBool>);

impl SeenUp {
    fn wait(&self) {
        wait_for("the test has seen the node up", || self.0.load(SeqCst));
    }
}

/// Starts a node in a membership mode, with a short time limit for calls to the discovery service.
fn start_node(discovery: SocketAddr, mode: &str, seen_up: &SeenUp) -> Node {
    let node = Node::start(discovery, |c| {
        c["settings"]["membershipMode"] = mode.into();
        c["settings"]["rules"]["mustAskInMs"] = 1000.into();
    });
    seen_up.0.store(true, SeqCst);
    node
}

/// Checks that a node learns of a drain whose notice it missed. `end` ends the first watch; the backend starts to
/// drain at that moment, and all later calls report it.
fn check_drain_during_watch(mode: &str, end: Action) {
    let traffic = Traffic::default();
    let address = start_backends(1, &traffic, |_, _| ok(b"x"))[0];
    let is_draining = AtomicBool::new(false);
    let seen_up = SeenUp::default();
    let up_seen = seen_up.clone();
    let discovery = start_backend(&Traffic::default(), move |_, message| {
        if is_draining.load(SeqCst) {
            return Action::Send(list(2, !is_watch(message), &[target("s-0", address, "draining")]));
        }
        if is_watch(message) {
            up_seen.wait();
            is_draining.store(true, SeqCst);
            return end.clone();
        }
        Action::Send(list(1, true, &[target("s-0", address, "up")]))
    });
    let node = start_node(discovery, mode, &seen_up);
    wait_for("the node knows of the drain", || node.up_status() == 503);
    assert_eq!(fetch(node.address, &request("page", 900)).status(), 503, "{mode}");
    assert_eq!(traffic.request_count(), 0, "{mode}: sent to a draining backend");
}

#[test]
fn a_drain_missed_by_a_watch_arrives_however_the_watch_ends() {
    let half_response = &list(2, false, &[target("s-0", loopback(1), "draining")])[..60];
    let watch_ends = [
        ("no response", Action::Silent),
        ("half a response and no end", Action::Parts(vec![(0, half_response.to_vec())])),
        (
            "a response head without a body",
            Action::Parts(vec![(0, b"HTTP/1.1 200 OK\r\nContent-Length: 300\r\n\r\n".to_vec())]),
        ),
        ("half a response and a close", Action::SendAndClose(half_response.to_vec())),
        ("close without a response", Action::SendAndClose(Vec::new())),
        ("503", Action::Send(http_response("503 Service Unavailable", "", b""))),
        ("not a list", Action::Send(http_response("200 OK", "", b"{\"rev\": 2}"))),
        ("a lower version", Action::Send(list(0, false, &[]))),
    ];
    let threads = watch_ends.into_iter().flat_map(|(what, end)| {
        MODES.map(|mode| {
            let end = end.clone();
            (what, mode, thread::spawn(move || check_drain_during_watch(mode, end)))
        })
    });
    let threads: Vec<_> = threads.collect();
    for (what, mode, thread) in threads {
        assert!(thread.join().is_ok(), "{what}, {mode}");
    }
}

#[test]
fn a_repeated_call_that_hangs_leaves_time_for_another() {
    for mode in MODES {
        let traffic = Traffic::default();
        let address = start_backends(1, &traffic, |_, _| ok(b"x"))[0];
        let watch_count = AtomicUsize::new(0);
        let seen_up = SeenUp::default();
        let up_seen = seen_up.clone();
        let discovery = start_backend(&Traffic::default(), move |_, message| {
            let entry = |state: &str| [target("s-0", address, state)];
            match watch_count.load(SeqCst) {
                0 if !is_watch(message) => Action::Send(list(1, true, &entry("up"))),
                // The first watch and the call after it are never answered.
                0 | 1 => {
                    up_seen.wait();
                    watch_count.fetch_add(1, SeqCst);
                    Action::Silent
                }
                _ => Action::Send(list(2, !is_watch(message), &entry("draining"))),
            }
        });
        let node = start_node(discovery, mode, &seen_up);
        wait_for("the node knows of the drain", || node.up_status() == 503);
    }
}

#[test]
fn a_list_may_be_indented_and_may_omit_removed_backends() {
    for mode in MODES {
        let traffic = Traffic::default();
        let addresses = start_backends(2, &traffic, |_, _| ok(b"x"));
        let all = all_up(&addresses);
        let seen_up = SeenUp::default();
        let up_seen = seen_up.clone();
        let discovery = start_backend(&Traffic::default(), move |n, _| {
            // Every call gets a full list: two backends at first, none later.
            if n > 0 {
                up_seen.wait();
            }
            let (rev, targets) = if n < 2 { (1, &all[..2]) } else { (2, &all[..0]) };
            let body = serde_json::to_string_pretty(&json!({"rev": rev, "all": true, "targets": targets}));
            Action::Send(http_response("200 OK", "", body.unwrap().as_bytes()))
        });
        let node = start_node(discovery, mode, &seen_up);
        wait_for("the node knows that all backends are gone", || node.up_status() == 503);
    }
}

#[test]
fn an_unreadable_entry_hides_no_drain() {
    for mode in MODES {
        for state in ["draining", "leaving"] {
            let traffic = Traffic::default();
            let address = start_backends(1, &traffic, |_, _| ok(b"x"))[0];
            let seen_up = SeenUp::default();
            let up_seen = seen_up.clone();
            let (has_sent_entry, full_list_calls) = (AtomicBool::new(false), Arc::new(AtomicUsize::new(0)));
            let full_list_calls_made = full_list_calls.clone();
            let discovery = start_backend(&Traffic::default(), move |_, message| {
                if !is_watch(message) {
                    let first = full_list_calls.fetch_add(1, SeqCst) == 0;
                    let state = if first { "up" } else { "draining" };
                    return Action::Send(list(
                        if first { 1 } else { 2 },
                        true,
                        &[target("s-0", address, state)],
                    ));
                }
                up_seen.wait();
                if has_sent_entry.swap(true, SeqCst) {
                    return Action::Parts(vec![(100, list(2, false, &[]))]);
                }
                // The endpoint and the group are unreadable; for `leaving` the state is unknown too.
                let mut line = target("s-0", address, state);
                line["endpoint"] = "nowhere".into();
                line["pod_group"] = "four".into();
                Action::Send(list(2, false, &[line]))
            });
            let node = start_node(discovery, mode, &seen_up);
            wait_for("the node knows of the drain", || node.up_status() == 503);
            if state == "draining" {
                assert_eq!(
                    node.count_log_lines("discovery.entry_skipped"),
                    0,
                    "{mode}: the state alone is enough to know of the drain"
                );
            } else {
                assert!(full_list_calls_made.load(SeqCst) > 1, "{mode}: the node asks for the full list");
            }
        }
    }
}

#[test]
fn a_late_answer_of_the_old_discovery_address_changes_nothing() {
    for mode in MODES {
        let traffic = Traffic::default();
        let address = start_backends(1, &traffic, |_, _| ok(b"x"))[0];
        let is_new_asked = Arc::new(AtomicBool::new(false));
        let new_was_asked = is_new_asked.clone();
        let call_traffic = Traffic::default();
        let old = start_backend(&call_traffic, move |_, message| {
            if !is_watch(message) {
                return Action::Send(list(7, true, &[target("s-0", address, "up")]));
            }
            // The old address answers after the new one was asked, and with a higher version.
            wait_for("the new address is asked", || new_was_asked.load(SeqCst));
            Action::Send(list(9, true, &[target("s-0", address, "up")]))
        });
        let new = start_backend(&Traffic::default(), move |_, message| {
            is_new_asked.store(true, SeqCst);
            let draining = [target("s-0", address, "draining")];
            if is_watch(message) {
                Action::Parts(vec![(100, list(1, false, &[]))])
            } else {
                Action::Send(list(1, true, &draining))
            }
        });
        // A watch on the old address would last longer than the test.
        let mut node = Node::start(old, |c| {
            c["settings"]["membershipMode"] = mode.into();
            c["settings"]["rules"]["mustAskInMs"] = 60_000.into();
        });
        wait_for("a watch is in flight", || call_traffic.request_count() > 1);
        node.set_discovery(Some(new));
        wait_for("the new list is in use", || node.up_status() == 503);
        wait_for("the old address has answered and its connections are closed", || {
            call_traffic.open_connections() == 0
        });
        assert_eq!(node.up_status(), 503, "{mode}");
    }
}

#[test]
fn a_new_address_that_fails_at_first_is_asked_again_at_once() {
    for mode in MODES {
        for first in [
            Action::Silent,
            Action::SendAndClose(Vec::new()),
            Action::Send(http_response("503 No", "", b"")),
        ] {
            let traffic = Traffic::default();
            let address = start_backends(1, &traffic, |_, _| ok(b"x"))[0];
            let old = Discovery::start(all_up(&[address]));
            let new = start_backend(&Traffic::default(), move |n, message| match n {
                0 => first.clone(),
                _ if is_watch(message) => Action::Silent,
                _ => Action::Send(list(1, true, &[target("s-0", address, "draining")])),
            });
            let mut node = Node::start(old.address, |c| {
                c["settings"]["membershipMode"] = mode.into();
                // In a fleet this large the balancer paces calls by 5 s and more.
                c["settings"]["instances"] = 300.into();
            });
            node.set_discovery(Some(new));
            wait_for("the node knows of the drain", || node.up_status() == 503);
            // The log has a thread of its own, so the line may be written after the drain took effect.
            wait_for("the failure is logged", || node.count_log_lines("discovery.failed") > 0);
            assert_eq!(
                node.count_log_lines("discovery.failed"),
                1,
                "{mode}: only the first of several failed calls is logged"
            );
        }
    }
}

#[test]
fn a_pushed_list_is_requested_in_parallel_with_a_hanging_call() {
    let traffic = Traffic::default();
    let address = start_backends(1, &traffic, |_, _| ok(b"x"))[0];
    let discovery_traffic = Traffic::default();
    let call_traffic = discovery_traffic.clone();
    let seen_up = SeenUp::default();
    let up_seen = seen_up.clone();
    let is_back = AtomicBool::new(false);
    // No call is answered while it is the only one. The service recovers once a second call is open in parallel with a
    // hanging one.
    let discovery = start_backend(&discovery_traffic, move |n, message| {
        if n > 0 {
            up_seen.wait();
            is_back.fetch_or(call_traffic.open_connections() > 1, SeqCst);
        }
        if !is_back.load(SeqCst) || n < 3 {
            return Action::Silent;
        }
        if is_watch(message) && n > 20 {
            return Action::Parts(vec![(100, list(2, false, &[]))]);
        }
        Action::Send(list(2, true, &[target("s-0", address, "draining")]))
    });
    let node = Node::start(discovery, |c| {
        c["known"] = json!({"rev": 1, "all": true, "targets": [target("s-0", address, "up")]});
    });
    seen_up.0.store(true, SeqCst);
    wait_for("the node knows of the drain", || node.up_status() == 503);
    assert_eq!(traffic.request_count(), 0, "sent to a draining backend");
    wait_for("the discovery service has recovered", || node.count_log_lines("discovery.recovered") > 0);
    assert_eq!(
        node.count_log_lines("a try beside it was answered first"),
        1,
        "the answer must come from a parallel call, not from a call after the first"
    );
}

#[test]
fn a_large_fleet_repeats_failed_calls_sooner_than_the_balancers_pacing() {
    let traffic = Traffic::default();
    let address = start_backends(1, &traffic, |_, _| ok(b"x"))[0];
    let seen_up = SeenUp::default();
    let up_seen = seen_up.clone();
    let discovery = start_backend(&Traffic::default(), move |n, message| {
        if n == 0 {
            return Action::Send(list(1, true, &[target("s-0", address, "up")]));
        }
        up_seen.wait();
        match n {
            // The watch and the call after it are closed. The balancer alone would wait for up to 5 s, then up to 20 s.
            1 | 2 => Action::SendAndClose(Vec::new()),
            _ if is_watch(message) && n > 3 => Action::Parts(vec![(100, list(2, false, &[]))]),
            _ => Action::Send(list(2, true, &[target("s-0", address, "draining")])),
        }
    });
    let node = Node::start(discovery, |c| {
        c["settings"]["membershipMode"] = "on_request".into();
        c["settings"]["instances"] = 300.into();
    });
    seen_up.0.store(true, SeqCst);
    wait_for("the node knows of the drain", || node.up_status() == 503);
    assert_eq!(
        node.count_log_lines("discovery.failed"),
        2,
        "each failed call after which the balancer paces the next one is logged"
    );
}
