//! The list of backends on real sockets: whatever becomes of a watch, the news that it missed arrives, and nothing that
//! was once told is taken back by what is older.
mod node;

use node::*;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::thread;

const MODES: [&str; 2] = ["pushed", "on_request"];

fn list(rev: u64, all: bool, targets: &[Value]) -> Vec<u8> {
    http_response("200 OK", "", json!({"rev": rev, "all": all, "targets": targets}).to_string().as_bytes())
}

fn watches(message: &Message) -> bool {
    message.first_line.contains("after=")
}

/// Set once a test has seen its node up: before that no watch is answered.
#[derive(Clone, Default)]
struct Seen(Arc<AtomicBool>);

impl Seen {
    fn wait(&self) {
        wait_for("the node was seen up", || self.0.load(SeqCst));
    }
}

/// A node whose lists arrive that way, with a short time for asking.
fn node(discovery: SocketAddr, mode: &str, seen: &Seen) -> Node {
    let node = Node::start(discovery, |c| {
        c["settings"]["membershipMode"] = mode.into();
        c["settings"]["rules"]["mustAskInMs"] = 1000.into();
    });
    seen.0.store(true, SeqCst);
    node
}

/// The first watch meets `end`; the backend drains in that moment, which whoever asks from then on is told.
fn drains_as_the_watch_ends(mode: &str, end: Action) {
    let traffic = Traffic::default();
    let address = start_backends(1, &traffic, |_, _| ok(b"x"))[0];
    let drains = AtomicBool::new(false);
    let seen = Seen::default();
    let up = seen.clone();
    let discovery = start_backend(&Traffic::default(), move |_, message| {
        if drains.load(SeqCst) {
            return Action::Send(list(2, !watches(message), &[target("s-0", address, "draining")]));
        }
        if watches(message) {
            up.wait();
            drains.store(true, SeqCst);
            return end.clone();
        }
        Action::Send(list(1, true, &[target("s-0", address, "up")]))
    });
    let node = node(discovery, mode, &seen);
    wait_for("the drain is known", || node.up_status() == 503);
    assert_eq!(fetch(node.address, &request("page", 900)).status(), 503, "{mode}");
    assert_eq!(traffic.request_count(), 0, "{mode}: sent to a backend that drains");
}

#[test]
fn however_a_watch_ends_the_drain_that_it_missed_arrives() {
    let half = &list(2, false, &[target("s-0", loopback(1), "draining")])[..60];
    let ends = [
        ("silent from its first byte", Action::Silent),
        ("half an answer and then silence", Action::Parts(vec![(0, half.to_vec())])),
        (
            "a head without a body",
            Action::Parts(vec![(0, b"HTTP/1.1 200 OK\r\nContent-Length: 300\r\n\r\n".to_vec())]),
        ),
        ("half an answer and the end", Action::SendAndClose(half.to_vec())),
        ("reset", Action::SendAndClose(Vec::new())),
        ("overbooked", Action::Send(http_response("503 Service Unavailable", "", b""))),
        ("not a list", Action::Send(http_response("200 OK", "", b"{\"rev\": 2}"))),
        ("a version that counts anew", Action::Send(list(0, false, &[]))),
    ];
    let threads = ends.into_iter().flat_map(|(what, end)| {
        MODES.map(|mode| {
            let end = end.clone();
            (what, mode, thread::spawn(move || drains_as_the_watch_ends(mode, end)))
        })
    });
    let threads: Vec<_> = threads.collect();
    for (what, mode, thread) in threads {
        assert!(thread.join().is_ok(), "{what}, {mode}");
    }
}

#[test]
fn a_repeat_that_hangs_leaves_time_for_another() {
    for mode in MODES {
        let traffic = Traffic::default();
        let address = start_backends(1, &traffic, |_, _| ok(b"x"))[0];
        let watched = AtomicUsize::new(0);
        let seen = Seen::default();
        let seen_up = seen.clone();
        let discovery = start_backend(&Traffic::default(), move |_, message| {
            let up = |state: &str| [target("s-0", address, state)];
            match watched.load(SeqCst) {
                0 if !watches(message) => Action::Send(list(1, true, &up("up"))),
                // The watch and the call after it are never answered.
                0 | 1 => {
                    seen_up.wait();
                    watched.fetch_add(1, SeqCst);
                    Action::Silent
                }
                _ => Action::Send(list(2, !watches(message), &up("draining"))),
            }
        });
        let node = node(discovery, mode, &seen);
        wait_for("the drain is known", || node.up_status() == 503);
    }
}

#[test]
fn a_list_may_come_indented_and_may_leave_out_who_is_gone() {
    for mode in MODES {
        let traffic = Traffic::default();
        let addresses = start_backends(2, &traffic, |_, _| ok(b"x"));
        let all = all_up(&addresses);
        let seen = Seen::default();
        let up = seen.clone();
        let discovery = start_backend(&Traffic::default(), move |n, _| {
            // Whole lists for every call: two backends, then none.
            if n > 0 {
                up.wait();
            }
            let (rev, targets) = if n < 2 { (1, &all[..2]) } else { (2, &all[..0]) };
            let body = serde_json::to_string_pretty(&json!({"rev": rev, "all": true, "targets": targets}));
            Action::Send(http_response("200 OK", "", body.unwrap().as_bytes()))
        });
        let node = node(discovery, mode, &seen);
        wait_for("all are gone", || node.up_status() == 503);
    }
}

#[test]
fn a_line_that_cannot_be_read_is_asked_for_again_and_hides_no_drain() {
    for mode in MODES {
        for state in ["draining", "leaving"] {
            let traffic = Traffic::default();
            let address = start_backends(1, &traffic, |_, _| ok(b"x"))[0];
            let seen = Seen::default();
            let up = seen.clone();
            let (told, wholes) = (AtomicBool::new(false), Arc::new(AtomicUsize::new(0)));
            let asked = wholes.clone();
            let discovery = start_backend(&Traffic::default(), move |_, message| {
                if !watches(message) {
                    let first = wholes.fetch_add(1, SeqCst) == 0;
                    let state = if first { "up" } else { "draining" };
                    return Action::Send(list(
                        if first { 1 } else { 2 },
                        true,
                        &[target("s-0", address, state)],
                    ));
                }
                up.wait();
                if told.swap(true, SeqCst) {
                    return Action::Parts(vec![(100, list(2, false, &[]))]);
                }
                // Its place cannot be read, nor, at times, what has become of it.
                let mut line = target("s-0", address, state);
                line["endpoint"] = "nowhere".into();
                line["pod_group"] = "four".into();
                Action::Send(list(2, false, &[line]))
            });
            let node = node(discovery, mode, &seen);
            wait_for("the drain is known", || node.up_status() == 503);
            if state == "draining" {
                assert_eq!(
                    node.count_log_lines("discovery.entry_skipped"),
                    0,
                    "{mode}: what says that it leaves is enough"
                );
            } else {
                assert!(asked.load(SeqCst) > 1, "{mode}: the whole list tells");
            }
        }
    }
}

#[test]
fn what_the_old_address_still_says_changes_nothing_any_more() {
    for mode in MODES {
        let traffic = Traffic::default();
        let address = start_backends(1, &traffic, |_, _| ok(b"x"))[0];
        let moved = Arc::new(AtomicBool::new(false));
        let turned = moved.clone();
        let opened = Traffic::default();
        let old = start_backend(&opened, move |_, message| {
            if !watches(message) {
                return Action::Send(list(7, true, &[target("s-0", address, "up")]));
            }
            // It answers once the new one has, and with a higher version.
            wait_for("the new address was asked", || turned.load(SeqCst));
            Action::Send(list(9, true, &[target("s-0", address, "up")]))
        });
        let new = start_backend(&Traffic::default(), move |_, message| {
            moved.store(true, SeqCst);
            let draining = [target("s-0", address, "draining")];
            if watches(message) {
                Action::Parts(vec![(100, list(1, false, &[]))])
            } else {
                Action::Send(list(1, true, &draining))
            }
        });
        // A watch on the old address would last longer than anybody waits here.
        let mut node = Node::start(old, |c| {
            c["settings"]["membershipMode"] = mode.into();
            c["settings"]["rules"]["mustAskInMs"] = 60_000.into();
        });
        wait_for("a watch is out", || opened.request_count() > 1);
        node.set_discovery(Some(new));
        wait_for("the new list holds", || node.up_status() == 503);
        wait_for("the old address has spoken and was closed", || opened.open_connections() == 0);
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
                _ if watches(message) => Action::Silent,
                _ => Action::Send(list(1, true, &[target("s-0", address, "draining")])),
            });
            let mut node = Node::start(old.address, |c| {
                c["settings"]["membershipMode"] = mode.into();
                // A fleet so large that its decisions pace calls by five seconds and more.
                c["settings"]["instances"] = 300.into();
            });
            node.set_discovery(Some(new));
            wait_for("the drain is known", || node.up_status() == 503);
            assert_eq!(
                node.count_log_lines("discovery.failed"),
                1,
                "{mode}: of several calls the first is told"
            );
        }
    }
}

#[test]
fn a_pushed_list_is_asked_for_beside_a_call_that_hangs() {
    let traffic = Traffic::default();
    let address = start_backends(1, &traffic, |_, _| ok(b"x"))[0];
    let calls = Traffic::default();
    let opened = calls.clone();
    let seen = Seen::default();
    let up = seen.clone();
    let back = AtomicBool::new(false);
    // It hangs for the whole of every call that was begun alone, however many there are, and is back for one that is
    // begun beside such a call.
    let discovery = start_backend(&calls, move |n, message| {
        if n > 0 {
            up.wait();
            back.fetch_or(opened.open_connections() > 1, SeqCst);
        }
        if !back.load(SeqCst) || n < 3 {
            return Action::Silent;
        }
        if watches(message) && n > 20 {
            return Action::Parts(vec![(100, list(2, false, &[]))]);
        }
        Action::Send(list(2, true, &[target("s-0", address, "draining")]))
    });
    let node = Node::start(discovery, |c| {
        c["known"] = json!({"rev": 1, "all": true, "targets": [target("s-0", address, "up")]});
    });
    seen.0.store(true, SeqCst);
    wait_for("the drain is known", || node.up_status() == 503);
    assert_eq!(traffic.request_count(), 0, "nothing was sent to it");
    wait_for("discovery is heard", || node.count_log_lines("discovery.recovered") > 0);
    assert_eq!(
        node.count_log_lines("a try beside it was answered first"),
        1,
        "by a try, not by a call after the first"
    );
}

#[test]
fn a_large_fleet_asks_again_though_its_decisions_would_wait_longer_than_news_may() {
    let traffic = Traffic::default();
    let address = start_backends(1, &traffic, |_, _| ok(b"x"))[0];
    let seen = Seen::default();
    let up = seen.clone();
    let discovery = start_backend(&Traffic::default(), move |n, message| {
        if n == 0 {
            return Action::Send(list(1, true, &[target("s-0", address, "up")]));
        }
        up.wait();
        match n {
            // The watch and the call after it are reset; the decisions would wait up to 5 s, then up to 20.
            1 | 2 => Action::SendAndClose(Vec::new()),
            _ if watches(message) && n > 3 => Action::Parts(vec![(100, list(2, false, &[]))]),
            _ => Action::Send(list(2, true, &[target("s-0", address, "draining")])),
        }
    });
    let node = Node::start(discovery, |c| {
        c["settings"]["membershipMode"] = "on_request".into();
        c["settings"]["instances"] = 300.into();
    });
    seen.0.store(true, SeqCst);
    wait_for("the drain is known", || node.up_status() == 503);
    assert_eq!(node.count_log_lines("discovery.failed"), 2, "each call that the decisions pace is told");
}
