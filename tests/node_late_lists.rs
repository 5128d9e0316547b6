//! Responses of the discovery service that are in flight while the node switches to another call.
//!
//! The failure: a node sent requests to a draining backend after its grace period. The sequence that caused it:
//!
//! 1. The node waits for changes. A backend starts to drain and the discovery service writes that to the open call; from
//!    then on the drain counts as notified.
//! 2. Before the response arrives a new configuration names another address, or the time limit of the call passes, and the
//!    node closes the call and discards the response.
//! 3. The next call hangs, or its response is slow. Until it arrives the node sends to the draining backend.
//!
//! It was reproduced in 104 runs of 14 s with four real nodes, a slow discovery service and four SIGHUPs for each
//! node. The nodes sent to eleven departed backends after the grace period: ten departures had been written to a call
//! that SIGHUP ended within 45 ms, one to a call whose time limit had passed. In each case the last wrong request was
//! sent at the moment at which a later response was read.
mod node;

use node::*;
use serde_json::{Value, json};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
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

/// A flag that threads set and wait for.
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

/// Starts a discovery service that answers calls for the full list until the first watch, which sets `watched`. That
/// watch is answered with `late_list` once `asked_again` is set. All later calls set `asked_again` and hang.
fn start_discovery_with_late_answer(
    addresses: &[SocketAddr],
    late_list: Vec<u8>,
    watched: &Flag,
    asked_again: &Flag,
) -> SocketAddr {
    let all = all_up(addresses);
    let (watched, asked_again) = (watched.clone(), asked_again.clone());
    start_backend(&Traffic::default(), move |_, message| {
        if !is_watch(message) && !watched.is_set() {
            return Action::Send(list(1, true, &all));
        }
        if watched.is_set() {
            asked_again.set();
            return Action::Silent;
        }
        watched.set();
        asked_again.wait("the node makes another call");
        Action::Send(late_list.clone())
    })
}

fn start_node(discovery: SocketAddr, mode: &str) -> Node {
    Node::start(discovery, |c| {
        c["settings"]["membershipMode"] = mode.into();
        // A short limit on the wait for changes, so that the watch times out soon.
        c["settings"]["rules"]["mustAskInMs"] = 1000.into();
    })
}

/// Returns the forms in which a response can say that the first backend leaves, with a description of each.
fn departure_forms(addresses: &[SocketAddr]) -> Vec<(&'static str, Vec<u8>)> {
    let stays = target("s-1", addresses[1], "up");
    vec![
        ("draining", list(2, false, &[target("s-0", addresses[0], "draining")])),
        ("removed", list(2, false, &[target("s-0", addresses[0], "removed")])),
        (
            "draining in a full list",
            list(2, true, &[target("s-0", addresses[0], "draining"), stays.clone()]),
        ),
        ("missing from a full list", list(2, true, &[stays])),
    ]
}

/// Waits until the node no longer uses the first backend, clears its traffic and checks that the second one serves.
fn wait_until_departed(node: &Node, traffic: &Traffic, what: &str) {
    wait_for(&format!("the node knows of the departure: {what}"), || {
        let stats = serde_json::from_str::<Value>(node.call("stats").trim_start_matches("OK ")).unwrap();
        let backends = stats["backends"].as_array().unwrap().clone();
        !backends.iter().any(|b| b["id"] == "s-0" && b["state"] == "up")
    });
    traffic.requests.lock().unwrap().clear();
    for _ in 0..20 {
        assert_eq!(
            fetch(node.address, &request("page", 900)).status(),
            200,
            "{what}: the other backend serves"
        );
    }
}

/// Starts two backends. Returns their addresses and the traffic of the first one.
fn start_two_backends() -> (Vec<SocketAddr>, Traffic) {
    let (leaving, staying) = (Traffic::default(), Traffic::default());
    let first = start_backend(&leaving, |_, _| ok(b"x"));
    let second = start_backend(&staying, |_, _| ok(b"x"));
    (vec![first, second], leaving)
}

#[test]
fn a_departure_written_before_the_discovery_address_changes_is_not_lost() {
    for mode in MODES {
        let (addresses, leaving) = start_two_backends();
        for (what, late_list) in departure_forms(&addresses) {
            let (watched, asked_again) = (Flag::default(), Flag::default());
            let old = start_discovery_with_late_answer(&addresses, late_list, &watched, &asked_again);
            let asked_again_clone = asked_again.clone();
            // The new address never answers.
            let new = start_backend(&Traffic::default(), move |_, _| {
                asked_again_clone.set();
                Action::Silent
            });
            let mut node = start_node(old, mode);
            watched.wait("a watch is in flight");
            node.set_discovery(Some(new));
            wait_until_departed(&node, &leaving, &format!("{mode}, {what}"));
            assert_eq!(leaving.request_count(), 0, "{mode}, {what}: sent to a departed backend");
        }
    }
}

#[test]
fn a_departure_that_arrives_after_its_call_timed_out_is_not_lost() {
    for mode in MODES {
        let (addresses, leaving) = start_two_backends();
        for (what, late_list) in departure_forms(&addresses) {
            let (watched, asked_again) = (Flag::default(), Flag::default());
            let discovery = start_discovery_with_late_answer(&addresses, late_list, &watched, &asked_again);
            let node = start_node(discovery, mode);
            wait_until_departed(&node, &leaving, &format!("{mode}, {what}"));
            assert_eq!(leaving.request_count(), 0, "{mode}, {what}: sent to a departed backend");
        }
    }
}

#[test]
fn a_slow_pushed_list_arrives_by_a_call_in_parallel_with_a_hanging_one() {
    let (addresses, leaving) = start_two_backends();
    let all = all_up(&addresses);
    let known = all.clone();
    let draining = [target("s-0", addresses[0], "draining"), target("s-1", addresses[1], "up")];
    let discovery_traffic = Traffic::default();
    let call_traffic = discovery_traffic.clone();
    // The first call is never answered. Each other one is answered only once the next has been made, so that every
    // answer takes longer than the interval between parallel calls.
    let discovery = start_backend(&discovery_traffic, move |n, _| {
        if n == 0 {
            return Action::Silent;
        }
        wait_for("the next call", || call_traffic.request_count() > n + 1);
        Action::Send(list(2, true, &draining))
    });
    let node = Node::start(discovery, |c| {
        c["known"] = json!({"rev": 1, "all": true, "targets": known});
    });
    wait_until_departed(&node, &leaving, "pushed, slow");
    assert_eq!(leaving.request_count(), 0, "sent to a departed backend");
    wait_for("the discovery service has recovered", || node.count_log_lines("discovery.recovered") > 0);
    assert_eq!(
        node.count_log_lines("a try beside it was answered first"),
        1,
        "the answer must come from a call in parallel with the first one"
    );
}

/// Starts a discovery service that sends `first` to calls for the full list. It answers a watch with `late_list` at the
/// moment at which the node shuts down its sending side.
fn start_discovery_that_answers_on_shutdown(
    first: Vec<u8>,
    late_list: Vec<u8>,
    watched: &Flag,
) -> SocketAddr {
    let listener = TcpListener::bind(loopback(0)).unwrap();
    let address = listener.local_addr().unwrap();
    let watched = watched.clone();
    thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let (first, late_list, watched) = (first.clone(), late_list.clone(), watched.clone());
            thread::spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                let mut stream = stream;
                while let Some(message) = Message::read(&mut reader) {
                    if !is_watch(&message) {
                        let _ = stream.write_all(&first);
                        continue;
                    }
                    watched.set();
                    if Message::read(&mut reader).is_none() {
                        let _ = stream.write_all(&late_list);
                        return;
                    }
                }
            });
        }
    });
    address
}

#[test]
fn a_departure_written_as_the_node_closes_a_replaced_call_is_not_lost() {
    for mode in MODES {
        let (addresses, leaving) = start_two_backends();
        let late_list = list(2, false, &[target("s-0", addresses[0], "draining")]);
        let watched = Flag::default();
        let old = start_discovery_that_answers_on_shutdown(
            list(1, true, &all_up(&addresses)),
            late_list,
            &watched,
        );
        let new = start_backend(&Traffic::default(), |_, _| Action::Silent);
        let mut node = start_node(old, mode);
        watched.wait("a watch is in flight");
        node.set_discovery(Some(new));
        wait_until_departed(&node, &leaving, mode);
        assert_eq!(leaving.request_count(), 0, "{mode}: sent to a departed backend");
    }
}
