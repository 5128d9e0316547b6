//! New settings while the node serves. The node takes the whole configuration file or none of it.
mod node;

use node::*;
use serde_json::{Value, json};
use std::thread;
use std::time::Duration;

/// Returns the class of this name in a configuration.
fn class_named<'a>(config: &'a mut Value, name: &str) -> &'a mut Value {
    let classes = config["settings"]["classes"].as_array_mut().unwrap();
    classes.iter_mut().find(|c| c["name"] == name).unwrap()
}

#[test]
fn classes_are_added_changed_and_removed_for_new_requests() {
    let traffic = Traffic::default();
    let addresses = start_backends(1, &traffic, |_, _| ok(b"x"));
    let discovery = Discovery::start(all_up(&addresses));
    let mut node = Node::start(discovery.address, |_| {});
    let get = |class: &str| {
        format!("GET /api HTTP/1.1\r\nHost: n\r\nX-Trace-Id: 1\r\nX-Qos: {class}\r\n\r\n").into_bytes()
    };
    let mut new = node.config();
    class_named(&mut new, "page")["semantics"] = "at_most_once".into();
    class_named(&mut new, "bid")["name"] = "offer".into();
    node.replace_config(&new.to_string(), true);
    assert_eq!(
        fetch(node.address, &get("page")).status(),
        400,
        "a GET is invalid for a class that may run only once"
    );
    assert_eq!(fetch(node.address, &request("offer", 900)).status(), 200);
    let statuses = |class: &str| {
        (fetch(node.address, &get(class)).status(), fetch(node.address, &request(class, 900)).status())
    };
    assert_eq!(statuses("offer").0, 400);
    assert_eq!(statuses("bid"), (200, 200), "the class is unknown now");
    let mut restored = node.config();
    class_named(&mut restored, "page")["objectiveMs"] = 1000.into();
    node.replace_config(&restored.to_string(), true);
    assert_eq!(fetch(node.address, &get("page")).status(), 200);
    assert_eq!(fetch(node.address, &get("bid")).status(), 400);
}

#[test]
fn requests_in_flight_keep_their_class() {
    let traffic = Traffic::default();
    // The first attempt of each request breaks after 600 ms; a second one is answered.
    let addresses = start_backends(3, &traffic, |n, _| {
        if n < 2 {
            thread::sleep(Duration::from_millis(600));
            return Action::SendAndClose(Vec::new());
        }
        ok(b"x")
    });
    let discovery = Discovery::start(all_up(&addresses));
    let mut node = Node::start(discovery.address, |_| {});
    let mut safe_client = Client::connect(node.address);
    let mut unsafe_client = Client::connect(node.address);
    safe_client.send(&request("page", 4000));
    unsafe_client.send(&request("bid", 4000));
    wait_for("both attempts are in flight", || traffic.request_count() == 2);
    // The safe class becomes unsafe and the unsafe one safe; then both are removed.
    let mut new = node.config();
    class_named(&mut new, "page")["semantics"] = "at_most_once".into();
    class_named(&mut new, "bid")["semantics"] = "idempotent".into();
    node.replace_config(&new.to_string(), true);
    new["settings"]["classes"].as_array_mut().unwrap().drain(..2);
    node.replace_config(&new.to_string(), true);
    assert_eq!(
        safe_client.read_response().map(|a| a.status()),
        Some(200),
        "the request was safe to repeat"
    );
    assert_eq!(
        unsafe_client.read_response().map(|a| a.status()),
        Some(502),
        "the request was not safe to repeat"
    );
    assert_eq!(traffic.request_count(), 3);
}

#[test]
fn a_lower_limit_of_attempts_applies_to_new_requests_at_once() {
    let traffic = Traffic::default();
    let addresses = start_backends(4, &traffic, |_, _| Action::SendAndClose(Vec::new()));
    let discovery = Discovery::start(all_up(&addresses));
    let mut node = Node::start(discovery.address, |_| {});
    assert!(fetch(node.address, &request("page", 900)).status() >= 500);
    assert!(traffic.request_count() > 1, "{} attempts", traffic.request_count());
    let mut new = node.config();
    new["settings"]["limits"]["attemptsCap"] = 1.into();
    node.replace_config(&new.to_string(), true);
    let before = traffic.request_count();
    assert!(fetch(node.address, &request("page", 900)).status() >= 500);
    assert!(traffic.request_count() <= before + 1, "{} attempts", traffic.request_count() - before);
}

#[test]
fn an_invalid_file_is_refused_as_a_whole_and_the_node_serves_on() {
    let traffic = Traffic::default();
    let addresses = start_backends(1, &traffic, |_, _| ok(b"x"));
    let discovery = Discovery::start(all_up(&addresses));
    let mut node = Node::start(discovery.address, |_| {});
    let other_discovery = Discovery::start(all_up(&addresses));
    // Every part of the valid file differs from the current one, so a partly applied file would show.
    let mut good = node.config();
    good["discovery"] = other_discovery.address.to_string().into();
    class_named(&mut good, "page")["semantics"] = "at_most_once".into();
    let text = good.to_string();
    let with_value = |pointer: &str, value: Value| {
        let mut bad = good.clone();
        *bad.pointer_mut(pointer).unwrap() = value;
        bad.to_string()
    };
    let mut without_rules = good.clone();
    without_rules["settings"].as_object_mut().unwrap().remove("rules");
    let bad = [
        String::new(),
        text[..text.len() / 2].to_owned(),
        text[..text.len() - 1].to_owned(),
        "[]".to_owned(),
        without_rules.to_string(),
        with_value("/settings/classes/0/hardLimitMs", json!(0)),
        with_value("/settings/classes/1/hardLimitMs", json!("900")),
        with_value("/settings/limits/attemptsCap", json!(null)),
        with_value("/settings/limits/attemptsCap", json!(-1)),
        with_value("/settings/rules/drainGraceMs", json!(1e300)),
        with_value("/settings/classes/2/keyTtlMs", json!(-5)),
        with_value("/settings/classes/0/semantics", json!("sometimes")),
        with_value("/settings/membershipMode", json!("shouted")),
        with_value("/discovery", json!("nowhere")),
        text.replacen("4000", "NaN", 1),
        text.replacen("4000", "1e999", 1),
    ];
    for (n, bad) in bad.iter().enumerate() {
        node.replace_config(bad, false);
        assert_eq!(fetch(node.address, &request("page", 900)).status(), 200, "file {n}");
    }
    assert_eq!(other_discovery.call_count(), 0);
    assert_eq!(node.count_log_lines("config.refused"), bad.len());
    assert_eq!(node.count_log_lines(&node.config_path()), bad.len(), "each message names the file");
    node.replace_config(&text, true);
    assert_eq!(fetch(node.address, &request("page", 900)).status(), 400);
    wait_for("the new address is asked", || other_discovery.call_count() > 0);
}

#[test]
fn after_many_signals_the_last_file_is_in_use() {
    let traffic = Traffic::default();
    let addresses = start_backends(1, &traffic, |_, _| ok(b"x"));
    let discovery = Discovery::start(all_up(&addresses));
    let mut node = Node::start(discovery.address, |_| {});
    let mut config = node.config();
    for n in 0..50 {
        class_named(&mut config, "page")["hardLimitMs"] = (1000 + n).into();
        node.write_config(&if n % 3 == 0 { "{".to_owned() } else { config.to_string() });
        node.send_sighup();
    }
    class_named(&mut config, "page")["semantics"] = "at_most_once".into();
    node.write_config(&config.to_string());
    node.send_sighup();
    wait_for("the last file is in use", || fetch(node.address, &request("page", 900)).status() == 400);
    assert!(node.is_running());
}
