//! New settings while the node serves: the whole file is taken, or none of it.
mod node;

use node::*;
use serde_json::{Value, json};
use std::thread;
use std::time::Duration;

fn class_named<'a>(config: &'a mut Value, name: &str) -> &'a mut Value {
    let classes = config["settings"]["classes"].as_array_mut().unwrap();
    classes.iter_mut().find(|c| c["name"] == name).unwrap()
}

#[test]
fn classes_appear_change_and_vanish_for_new_requests() {
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
        "it may run once, and a GET says otherwise"
    );
    assert_eq!(fetch(node.address, &request("offer", 900)).status(), 200);
    let both = |class: &str| {
        (fetch(node.address, &get(class)).status(), fetch(node.address, &request(class, 900)).status())
    };
    assert_eq!(both("offer").0, 400);
    assert_eq!(both("bid"), (200, 200), "a class that nobody knows any more");
    let mut back = node.config();
    class_named(&mut back, "page")["objectiveMs"] = 1000.into();
    node.replace_config(&back.to_string(), true);
    assert_eq!(fetch(node.address, &get("page")).status(), 200);
    assert_eq!(fetch(node.address, &get("bid")).status(), 400);
}

#[test]
fn requests_under_way_keep_their_class() {
    let traffic = Traffic::default();
    // The first attempt breaks off after a while, the second is answered.
    let addresses = start_backends(3, &traffic, |n, _| {
        if n < 2 {
            thread::sleep(Duration::from_millis(600));
            return Action::SendAndClose(Vec::new());
        }
        ok(b"x")
    });
    let discovery = Discovery::start(all_up(&addresses));
    let mut node = Node::start(discovery.address, |_| {});
    let mut safe = Client::connect(node.address);
    let mut unsafe_ = Client::connect(node.address);
    safe.send(&request("page", 4000));
    unsafe_.send(&request("bid", 4000));
    wait_for("both are out", || traffic.request_count() == 2);
    // The safe one turns strict, the strict one safe; then both are gone.
    let mut new = node.config();
    class_named(&mut new, "page")["semantics"] = "at_most_once".into();
    class_named(&mut new, "bid")["semantics"] = "idempotent".into();
    node.replace_config(&new.to_string(), true);
    new["settings"]["classes"].as_array_mut().unwrap().drain(..2);
    node.replace_config(&new.to_string(), true);
    assert_eq!(safe.read_response().map(|a| a.status()), Some(200), "it was safe to repeat");
    assert_eq!(unsafe_.read_response().map(|a| a.status()), Some(502), "it was not");
    assert_eq!(traffic.request_count(), 3);
}

#[test]
fn fewer_attempts_bind_new_requests_at_once() {
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
fn a_bad_file_is_turned_down_whole_and_the_node_serves_on() {
    let traffic = Traffic::default();
    let addresses = start_backends(1, &traffic, |_, _| ok(b"x"));
    let discovery = Discovery::start(all_up(&addresses));
    let mut node = Node::start(discovery.address, |_| {});
    let elsewhere = Discovery::start(all_up(&addresses));
    // All that could be taken of it is new.
    let mut good = node.config();
    good["discovery"] = elsewhere.address.to_string().into();
    class_named(&mut good, "page")["semantics"] = "at_most_once".into();
    let text = good.to_string();
    let with = |pointer: &str, value: Value| {
        let mut bad = good.clone();
        *bad.pointer_mut(pointer).unwrap() = value;
        bad.to_string()
    };
    let mut lacking = good.clone();
    lacking["settings"].as_object_mut().unwrap().remove("rules");
    let bad = [
        String::new(),
        text[..text.len() / 2].to_owned(),
        text[..text.len() - 1].to_owned(),
        "[]".to_owned(),
        lacking.to_string(),
        with("/settings/classes/0/hardLimitMs", json!(0)),
        with("/settings/classes/1/hardLimitMs", json!("900")),
        with("/settings/limits/attemptsCap", json!(null)),
        with("/settings/limits/attemptsCap", json!(-1)),
        with("/settings/rules/drainGraceMs", json!(1e300)),
        with("/settings/classes/2/keyTtlMs", json!(-5)),
        with("/settings/classes/0/semantics", json!("sometimes")),
        with("/settings/membershipMode", json!("shouted")),
        with("/discovery", json!("nowhere")),
        text.replacen("4000", "NaN", 1),
        text.replacen("4000", "1e999", 1),
    ];
    for (n, bad) in bad.iter().enumerate() {
        node.replace_config(bad, false);
        assert_eq!(fetch(node.address, &request("page", 900)).status(), 200, "file {n}");
    }
    assert_eq!(elsewhere.call_count(), 0);
    assert_eq!(node.count_log_lines("config.refused"), bad.len());
    assert_eq!(node.count_log_lines(&node.config_path()), bad.len(), "each says which file");
    node.replace_config(&text, true);
    assert_eq!(fetch(node.address, &request("page", 900)).status(), 400);
    wait_for("the new address is asked", || elsewhere.call_count() > 0);
}

#[test]
fn of_many_signals_the_last_file_holds() {
    let traffic = Traffic::default();
    let addresses = start_backends(1, &traffic, |_, _| ok(b"x"));
    let discovery = Discovery::start(all_up(&addresses));
    let mut node = Node::start(discovery.address, |_| {});
    let mut file = node.config();
    for n in 0..50 {
        class_named(&mut file, "page")["hardLimitMs"] = (1000 + n).into();
        node.write_config(&if n % 3 == 0 { "{".to_owned() } else { file.to_string() });
        node.send_sighup();
    }
    class_named(&mut file, "page")["semantics"] = "at_most_once".into();
    node.write_config(&file.to_string());
    node.send_sighup();
    wait_for("the last one holds", || fetch(node.address, &request("page", 900)).status() == 400);
    assert!(node.is_running());
}
