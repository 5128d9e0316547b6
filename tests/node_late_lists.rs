//! Answers of discovery that are on their way while the node turns to another call.
//!
//! What users saw: requests went to a draining backend after its grace, once, while configurations followed each other
//! within seconds and a slow discovery told a release of the backends.
//!
//! The order of events: the node waits for changes. A backend begins to drain, and discovery writes that to the waiting
//! call: from then on the drain counts as notified. Before the answer has arrived a new configuration names another
//! address (or the call's time is over), and the node closes the call. The next call hangs, or its answer is slow. For as
//! long as that lasts the node sends to the draining backend.
//!
//! The cause: what replaced a call to discovery threw its answer away, though that was written and under way.
//!
//! The evidence: 104 plays of 14 s with four real nodes, a slow discovery and four SIGHUPs for each node. Eleven departures
//! were written and yet sent to after the grace. Ten were written to a call that SIGHUP ended within 45 ms, one to a call whose
//! own time was over, and in each the last late request was sent in the moment in which a later answer was read.
mod node;

use node::*;
use serde_json::{Value, json};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::thread;

const MODES: [&str; 2] = ["pushed", "on_request"];

fn list(rev: u64, all: bool, targets: &[Value]) -> Vec<u8> {
    http_response("200 OK", "", json!({"rev": rev, "all": all, "targets": targets}).to_string().as_bytes())
}

fn watches(message: &Message) -> bool {
    message.first_line.contains("after=")
}

/// Set once something has happened.
#[derive(Clone, Default)]
struct Flag(Arc<AtomicBool>);

impl Flag {
    fn set(&self) {
        self.0.store(true, SeqCst);
    }

    fn is_set(&self) -> bool {
        self.0.load(SeqCst)
    }

    fn wait(&self, what: &str) {
        wait_for(what, || self.is_set());
    }
}

/// Two backends of which the first leaves, and a discovery that answers the first whole list and then one watch only: with
/// `last`, and only after `asked_anew` is set. All other calls hang.
fn answers_once_more(
    addresses: &[SocketAddr],
    last: Vec<u8>,
    watched: &Flag,
    asked_anew: &Flag,
) -> SocketAddr {
    let all = all_up(addresses);
    let (watched, asked_anew) = (watched.clone(), asked_anew.clone());
    start_backend(&Traffic::default(), move |_, message| {
        if !watches(message) && !watched.is_set() {
            return Action::Send(list(1, true, &all));
        }
        if watched.is_set() {
            asked_anew.set();
            return Action::Silent;
        }
        watched.set();
        asked_anew.wait("the node asks anew");
        Action::Send(last.clone())
    })
}

fn node(discovery: SocketAddr, mode: &str) -> Node {
    Node::start(discovery, |c| {
        c["settings"]["membershipMode"] = mode.into();
        // The longest wait for changes is short, so that its time-out is soon.
        c["settings"]["rules"]["mustAskInMs"] = 1000.into();
    })
}

/// The forms in which an answer can say that the first backend leaves.
fn departures(addresses: &[SocketAddr]) -> Vec<(&'static str, Vec<u8>)> {
    let stays = target("s-1", addresses[1], "up");
    vec![
        ("draining", list(2, false, &[target("s-0", addresses[0], "draining")])),
        ("removed", list(2, false, &[target("s-0", addresses[0], "removed")])),
        (
            "a whole list that says so",
            list(2, true, &[target("s-0", addresses[0], "draining"), stays.clone()]),
        ),
        ("a whole list that leaves it out", list(2, true, &[stays])),
    ]
}

/// The first backend is out, the second is not: it serves.
fn wait_until_out(node: &Node, traffic: &Traffic, what: &str) {
    wait_for(&format!("the departure is known: {what}"), || {
        let stats = serde_json::from_str::<Value>(node.call("stats").trim_start_matches("OK ")).unwrap();
        let backends = stats["backends"].as_array().unwrap().clone();
        !backends.iter().any(|b| b["id"] == "s-0" && b["state"] == "up")
    });
    traffic.requests.lock().unwrap().clear();
    for _ in 0..20 {
        assert_eq!(
            fetch(node.address, &request("page", 900)).status(),
            200,
            "{what}: the other one serves"
        );
    }
}

/// Two backends with a record of each.
fn two_backends() -> (Vec<SocketAddr>, Traffic) {
    let (leaving, staying) = (Traffic::default(), Traffic::default());
    let first = start_backend(&leaving, |_, _| ok(b"x"));
    let second = start_backend(&staying, |_, _| ok(b"x"));
    (vec![first, second], leaving)
}

#[test]
fn a_departure_that_was_written_before_discovery_moved_is_not_lost_with_its_call() {
    for mode in MODES {
        let (addresses, leaving) = two_backends();
        for (what, last) in departures(&addresses) {
            let (watched, asked_anew) = (Flag::default(), Flag::default());
            let old = answers_once_more(&addresses, last, &watched, &asked_anew);
            let asked = asked_anew.clone();
            // The new address hangs for good.
            let new = start_backend(&Traffic::default(), move |_, _| {
                asked.set();
                Action::Silent
            });
            let mut node = node(old, mode);
            watched.wait("a watch is open");
            node.set_discovery(Some(new));
            wait_until_out(&node, &leaving, &format!("{mode}, {what}"));
            assert_eq!(leaving.request_count(), 0, "{mode}, {what}: sent to a backend that leaves");
        }
    }
}

#[test]
fn a_departure_that_arrives_after_its_call_was_given_up_is_not_lost() {
    for mode in MODES {
        let (addresses, leaving) = two_backends();
        for (what, last) in departures(&addresses) {
            let (watched, asked_anew) = (Flag::default(), Flag::default());
            let discovery = answers_once_more(&addresses, last, &watched, &asked_anew);
            let node = node(discovery, mode);
            wait_until_out(&node, &leaving, &format!("{mode}, {what}"));
            assert_eq!(leaving.request_count(), 0, "{mode}, {what}: sent to a backend that leaves");
        }
    }
}

#[test]
fn a_pushed_list_that_is_slow_is_heard_by_a_try_beside_a_call_that_hangs() {
    let (addresses, leaving) = two_backends();
    let all = all_up(&addresses);
    let known = all.clone();
    let draining = [target("s-0", addresses[0], "draining"), target("s-1", addresses[1], "up")];
    let calls = Traffic::default();
    let made = calls.clone();
    // The first call hangs for good. Each other one is answered, but only once the next has been made: no answer is as quick
    // as one try.
    let discovery = start_backend(&calls, move |n, _| {
        if n == 0 {
            return Action::Silent;
        }
        wait_for("the next call", || made.request_count() > n + 1);
        Action::Send(list(2, true, &draining))
    });
    let node = Node::start(discovery, |c| {
        c["known"] = json!({"rev": 1, "all": true, "targets": known});
    });
    wait_until_out(&node, &leaving, "pushed, slow");
    assert_eq!(leaving.request_count(), 0, "sent to a backend that leaves");
    wait_for("discovery is heard", || node.count_log_lines("discovery.recovered") > 0);
    assert_eq!(
        node.count_log_lines("a try beside it was answered first"),
        1,
        "by a try beside the first call"
    );
}

/// A discovery that tells a whole list, and answers a watch in the moment in which the node ends its sending on it.
fn answers_at_the_end(first: Vec<u8>, last: Vec<u8>, watched: &Flag) -> SocketAddr {
    let listener = TcpListener::bind(loopback(0)).unwrap();
    let address = listener.local_addr().unwrap();
    let watched = watched.clone();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let (first, last, watched) = (first.clone(), last.clone(), watched.clone());
            thread::spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                let mut stream = stream;
                while let Some(message) = Message::read(&mut reader) {
                    if !watches(&message) {
                        let _ = stream.write_all(&first);
                        continue;
                    }
                    watched.set();
                    if Message::read(&mut reader).is_none() {
                        let _ = stream.write_all(&last);
                        return;
                    }
                }
            });
        }
    });
    address
}

#[test]
fn a_departure_that_is_written_as_the_node_ends_a_replaced_call_is_not_lost() {
    for mode in MODES {
        let (addresses, leaving) = two_backends();
        let last = list(2, false, &[target("s-0", addresses[0], "draining")]);
        let watched = Flag::default();
        let old = answers_at_the_end(list(1, true, &all_up(&addresses)), last, &watched);
        let new = start_backend(&Traffic::default(), |_, _| Action::Silent);
        let mut node = node(old, mode);
        watched.wait("a watch is open");
        node.set_discovery(Some(new));
        wait_until_out(&node, &leaving, mode);
        assert_eq!(leaving.request_count(), 0, "{mode}: sent to a backend that leaves");
    }
}
