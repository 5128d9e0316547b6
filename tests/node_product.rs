//! The options file (`daleturn.toml`), the log and the `stats` call of the node.
mod node;

use node::*;
use serde_json::Value;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// Writes an options file in a directory of its own and returns its path.
fn write_options(name: &str, text: &str) -> PathBuf {
    let path = scratch_dir(name).join("daleturn.toml");
    std::fs::write(&path, text).unwrap();
    path
}

/// Returns the answer to the `stats` call.
fn stats(node: &Node) -> Value {
    let answer = node.call("stats");
    let json = answer.strip_prefix("OK ").unwrap_or_else(|| panic!("{answer:.200}"));
    assert_eq!(answer.lines().count(), 1, "the answer must be one line");
    serde_json::from_str(json).unwrap()
}

/// Starts a node with an options file and waits until it serves.
fn start_serving(options: &std::path::Path, discovery: &Discovery) -> Node {
    let (node, _) = Node::launch_with_options(discovery.address, options, true);
    wait_for("/up is 200", || node.up_status() == 200);
    node
}

#[test]
fn an_unread_log_blocks_nothing_and_dropped_lines_are_counted_and_logged() {
    let traffic = Traffic::default();
    let addresses = start_backends(1, &traffic, |_, _| ok(b"x"));
    let discovery = Discovery::start(all_up(&addresses));
    let file = write_options("pipe", "[log]\nlines_per_second = 1000\n");
    let (node, unread_log) = Node::launch_with_options(discovery.address, &file, false);
    wait_for("/up is 200", || node.up_status() == 200);
    // Each call writes a log line, until the pipe and the queue of the log are full.
    let unwritten = |node: &Node| stats(node)["log"]["unwritten"].as_u64().unwrap();
    wait_for("log lines are dropped", || {
        for _ in 0..100 {
            assert!(node.call("cordon s-0").starts_with("OK"));
            assert!(node.call("uncordon s-0").starts_with("OK"));
        }
        unwritten(&node) > 0
    });
    assert_eq!(node.call("health"), "OK serving\n");
    assert_eq!(fetch(node.address, &request("page", 3000)).status(), 200);
    let mut lines = BufReader::new(unread_log.unwrap()).lines().map_while(Result::ok);
    let dropped_event = lines.find(|l| l.contains("log.dropped")).expect("a log.dropped event");
    assert!(dropped_event.contains("WARN") && dropped_event.contains("unwritten="), "{dropped_event}");
}

#[test]
fn a_log_line_is_an_event_with_fields_in_text_or_json() {
    let traffic = Traffic::default();
    let addresses = start_backends(1, &traffic, |_, _| ok(b"x"));
    let discovery = Discovery::start(all_up(&addresses));
    let file = write_options("format", "[log]\nformat = \"json\"\n[log.targets]\noperator = \"error\"\n");
    let mut node = start_serving(&file, &discovery);
    assert!(node.call("cordon s-0").starts_with("OK"));
    std::fs::write(&file, "[log]\n").unwrap();
    let config = node.config().to_string();
    node.replace_config(&config, true);
    assert!(node.call("cordon s-0").starts_with("OK"));
    wait_for("the call is logged", || node.count_log_lines("operator.called") > 0);
    node.terminate();
    assert!(node.wait_for_exit().success());
    let log = node.log();
    let (json, text): (Vec<&str>, Vec<&str>) = log.lines().partition(|l| l.starts_with('{'));
    let events: Vec<Value> = json.iter().map(|l| serde_json::from_str(l).unwrap()).collect();
    let serving = events.iter().find(|e| e["message"] == "node.serving").unwrap();
    assert_eq!((serving["level"].as_str(), serving["name"].as_str()), (Some("INFO"), Some("n0")));
    // The target was off in the first file and is on in the second.
    assert!(!json.iter().any(|l| l.contains("operator.called")), "{log}");
    let called = text.iter().find(|l| l.contains(" operator.called ")).unwrap();
    assert!(called.contains("call=\"cordon s-0\"") && called.contains(" INFO "), "{called}");
}

#[test]
fn options_and_configuration_are_taken_together_or_not_at_all() {
    let traffic = Traffic::default();
    let addresses = start_backends(1, &traffic, |_, _| ok(b"x"));
    let discovery = Discovery::start(all_up(&addresses));
    let file = write_options("both", "[stats]\nwindow_s = 7\n");
    let mut node = start_serving(&file, &discovery);
    assert_eq!(stats(&node)["window_s"], 7);
    let mut config = node.config();
    config["settings"]["limits"]["attemptsCap"] = 1.into();
    let bad: [&[u8]; 6] = [
        b"[stats]\nwindow_s = 8\n[stats]\n",
        b"[stats]\nwindow_s = 8\nwindow_s = 8\n",
        b"[stats]\nwindow_s = \"8",
        b"[stats]\nwindow_s = 8\nnobody = 1\n",
        b"[stats]\nwindow_s = 8 # \xff\n",
        &[b' '; 2 << 20],
    ];
    for text in bad {
        std::fs::write(&file, text).unwrap();
        node.replace_config(&config.to_string(), false);
    }
    assert_eq!(node.count_log_lines("daleturn.toml: line"), 5, "each error names the file and the line");
    std::fs::remove_file(&file).unwrap();
    std::fs::create_dir(&file).unwrap();
    node.replace_config(&config.to_string(), false);
    std::fs::remove_dir(&file).unwrap();
    node.replace_config(&config.to_string(), false);
    let now = stats(&node);
    assert_eq!((&now["window_s"], &now["settings"]["taken"]), (&7.into(), &1.into()));
    // Valid options are not taken together with an invalid configuration file.
    std::fs::write(&file, "[stats]\nwindow_s = 9\n").unwrap();
    node.replace_config("{", false);
    assert_eq!(stats(&node)["window_s"], 7);
    // Several signals while a long file is read: the last file is taken.
    let before = now["settings"]["digest"].clone();
    let long = format!("{}{}", " ".repeat(8 << 20), config);
    node.write_config(&long);
    for _ in 0..20 {
        node.send_sighup();
    }
    wait_for("the options are taken", || stats(&node)["window_s"] == 9);
    assert_ne!(stats(&node)["settings"]["digest"], before);
}

#[test]
fn an_invalid_options_file_fails_the_start_with_a_reason() {
    for (text, reason) in
        [("[lgo]\n", "line 1: lgo: unknown field"), ("[log]\nlevel = 3\n", "line 2: log.level")]
    {
        let file = write_options("start", text);
        let (mut node, _) = Node::launch_with_options(free_address(), &file, true);
        assert_eq!(node.wait_for_exit().code(), Some(2));
        let log = node.log();
        assert!(log.contains("node.failed") && log.contains(reason), "{log}");
    }
}

#[test]
fn stats_count_the_outcomes_of_requests() {
    let traffic = Traffic::default();
    let addresses = start_backends(2, &traffic, |_, m| match m.header("x-object") {
        Some("wrong") => Action::Send(http_response("400 Bad Request", "", b"")),
        _ => ok(b"x"),
    });
    let discovery = Discovery::start(all_up(&addresses));
    let mut node = Node::start(discovery.address, |_| {});
    for _ in 0..20 {
        assert_eq!(fetch(node.address, &request("page", 3000)).status(), 200);
    }
    let rejected_request = String::from_utf8(request("bid", 900)).unwrap();
    let object = rejected_request.lines().find(|l| l.starts_with("X-Object")).unwrap();
    assert_eq!(
        fetch(node.address, rejected_request.replace(object, "X-Object: wrong").as_bytes()).status(),
        400
    );
    assert!(node.call("cordon s-0").starts_with("OK"));
    assert!(node.call("cordon s-1").starts_with("OK"));
    assert_eq!(fetch(node.address, &request("page", 3000)).status(), 503);
    let snapshot = stats(&node);
    let page = &snapshot["classes"]["page"];
    assert_eq!((&page["asked"], &page["served"], &page["refused"]), (&21.into(), &20.into(), &1.into()));
    assert_eq!(page["answer_ms"]["n"], 20);
    assert_eq!(snapshot["classes"]["bid"]["rejected"], 1);
    assert_eq!((&snapshot["attempts"]["done"], &snapshot["attempts"]["rejected"]), (&20.into(), &1.into()));
    assert_eq!(snapshot["refused"]["no_backend"], 1);
    let answer = snapshot["answer_ms"]["p50"].as_f64().unwrap();
    assert!(snapshot["through_ms"]["p50"].as_f64().unwrap() <= answer, "{snapshot}");
    let backends = snapshot["backends"].as_array().unwrap();
    assert_eq!(backends.len(), 2);
    assert!(backends.iter().all(|b| b["state"] == "cordoned" && b["verdict"] == "live"), "{snapshot}");
    assert_eq!(backends.iter().filter_map(|b| b["done"].as_u64()).sum::<u64>(), 20);
    assert_eq!((&snapshot["zones"][0]["zone"], &snapshot["zones"][0]["own"]), (&"a".into(), &true.into()));
    assert_eq!((&snapshot["list"]["version"], &snapshot["list"]["backends"]), (&1.into(), &2.into()));
    assert!(
        snapshot["memory"]["used_kb"].as_u64().unwrap() > 500
            && snapshot["descriptors"]["used"].as_u64().unwrap() > 0
    );
    // A renamed class starts new counters; those of the old name remain.
    let mut config = node.config();
    config["settings"]["classes"][0]["name"] = "leaf".into();
    node.replace_config(&config.to_string(), true);
    assert!(node.call("uncordon s-0").starts_with("OK"));
    wait_for("the new class is served", || {
        let leaf = String::from_utf8(request("page", 3000)).unwrap().replace("X-Qos: page", "X-Qos: leaf");
        fetch(node.address, leaf.as_bytes()).status() == 200
    });
    let snapshot = stats(&node);
    assert_eq!(snapshot["classes"]["page"]["served"], 20);
    assert_eq!(snapshot["classes"]["leaf"]["answer_ms"]["n"], snapshot["classes"]["leaf"]["served"]);
    assert_eq!(snapshot["settings"]["taken"], 2);
}

#[test]
fn stats_of_many_backends_are_answered_at_the_descriptor_limit() {
    let traffic = Traffic::default();
    let addresses = start_backends(1, &traffic, |_, _| ok(b"x"));
    let targets: Vec<Value> = (0..200).map(|n| target(&format!("s-{n:03}"), addresses[0], "up")).collect();
    let discovery = Discovery::start(targets);
    let node = Node::start(discovery.address, |c| c["limits"]["sockets"] = 64.into());
    let mut clients: Vec<Client> = (0..80).filter_map(|_| Client::try_connect(node.address)).collect();
    for client in &mut clients {
        client.send(b"GET /api HT");
    }
    // 100 calls a second for 2 s, as many as the monitoring of a fleet may make. Each answer must come within 1 s.
    let started_at = Instant::now();
    for n in 0..200_u32 {
        let asked_at = Instant::now();
        assert_eq!(stats(&node)["backends"].as_array().map(Vec::len), Some(200));
        assert!(asked_at.elapsed() < Duration::from_secs(1), "the time limit of operators' calls");
        std::thread::sleep(
            (started_at + n * Duration::from_millis(10)).saturating_duration_since(Instant::now()),
        );
    }
    assert_eq!(node.call("health"), "OK serving\n");
}
