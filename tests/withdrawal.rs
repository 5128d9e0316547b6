//! Withdrawal of attempts: nothing withdraws an attempt whose answer is being passed on.
mod common;
mod node;

use common::{Harness, class, settings};
use daleturn::interface::{Action, Effect, Event, RequestId, Settings};
use node::*;

/// Returns the requests whose attempts were cancelled since action number `from`.
fn cancelled_since(harness: &Harness, from: usize) -> Vec<RequestId> {
    let cancelled = |action: &Action| match action {
        Action::Cancel { id, .. } => Some(*id),
        _ => None,
    };
    harness.trace[from..].iter().filter_map(cancelled).collect()
}

/// Returns a harness in which the first request's long answer has begun and the second request has none.
fn harness_with_begun_answer() -> (Harness, RequestId, RequestId) {
    let classes = vec![class(400.0, 1000.0, Effect::Safe)];
    let mut harness = Harness::with_backends(Settings { classes, may_cancel: true, ..settings() }, 1, 4);
    let begun = harness.send_request(0, Some(1));
    harness.start_response(begun, 10.0, true).expect("an attempt");
    let waiting = harness.send_request(0, Some(1));
    assert!(harness.current_backend(waiting).is_some());
    (harness, begun, waiting)
}

/// Guards against long answers that are cut off when their zone is left (review case 10).
#[test]
fn an_excluded_zone_keeps_the_answers_that_have_begun() {
    let (mut harness, _, waiting) = harness_with_begun_answer();
    let before = harness.trace.len();
    harness.feed(Event::ZoneWeights(vec![0.0, 0.0]));
    assert_eq!(cancelled_since(&harness, before), [waiting]);
}

#[test]
fn a_client_that_leaves_withdraws_only_what_has_no_answer() {
    let (mut harness, begun, waiting) = harness_with_begun_answer();
    let before = harness.trace.len();
    harness.disconnect_client(begun);
    harness.disconnect_client(waiting);
    assert_eq!(cancelled_since(&harness, before), [waiting]);
}

/// Guards against long answers that are cut off when their zone is left (review case 10).
#[test]
fn an_operator_who_leaves_a_zone_cuts_no_answer_off() {
    let traffic = Traffic::default();
    let [near, far] = [0, 1].map(|_| start_backend(&traffic, |_, _| slow_response()));
    let mut targets = all_up(&[near, far]);
    targets[1]["az"] = "b".into();
    let discovery = Discovery::start(targets);
    let directory = scratch_dir("leave-zone");
    let options = directory.join("daleturn.toml");
    std::fs::write(&options, "[topology]\non = true\n").unwrap();
    let (node, _) = Node::launch_with_options(discovery.address, &options, true);
    wait_for("/up is 200", || node.up_status() == 200);
    let mut clients: Vec<Client> = (0..4).map(|_| Client::connect(node.address)).collect();
    for client in &mut clients {
        assert!(client.send(&request("page", 4000)) && client.wait_for_data());
    }
    assert!(traffic.request_count() >= clients.len());
    wait_for("the zone is known and left", || node.call("zone leave a --force").starts_with("OK"));
    for client in &mut clients {
        let response = client.read_response().expect("a whole answer");
        assert_eq!(response.body.len(), SLOW_RESPONSE_BYTES);
    }
    let _ = std::fs::remove_dir_all(directory);
}
