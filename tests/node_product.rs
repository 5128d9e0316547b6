//! What the product adds to the node: its own file, its log, its figures.
mod node;

use node::*;
use serde_json::Value;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// A file of the product's own, in a directory of this test's own.
fn options(name: &str, text: &str) -> PathBuf {
    let path = scratch_dir(name).join("daleturn.toml");
    std::fs::write(&path, text).unwrap();
    path
}

fn stats(node: &Node) -> Value {
    let answer = node.call("stats");
    let json = answer.strip_prefix("OK ").unwrap_or_else(|| panic!("{answer:.200}"));
    assert_eq!(answer.lines().count(), 1, "one line");
    serde_json::from_str(json).unwrap()
}

fn serving(options: &std::path::Path, discovery: &Discovery) -> Node {
    let (node, _) = Node::launch_with_options(discovery.address, options, true);
    wait_for("/up is 200", || node.up_status() == 200);
    node
}

#[test]
fn a_log_that_nobody_reads_stalls_nothing_and_the_lines_that_are_lost_are_counted_and_told() {
    let traffic = Traffic::default();
    let addresses = start_backends(1, &traffic, |_, _| ok(b"x"));
    let discovery = Discovery::start(all_up(&addresses));
    let file = options("pipe", "[log]\nlines_per_second = 1000\n");
    let (node, unread) = Node::launch_with_options(discovery.address, &file, false);
    wait_for("/up is 200", || node.up_status() == 200);
    // Each of these writes a line; the pipe and the queue hold so many.
    let unwritten = |node: &Node| stats(node)["log"]["unwritten"].as_u64().unwrap();
    wait_for("lines are dropped", || {
        for _ in 0..100 {
            assert!(node.call("cordon s-0").starts_with("OK"));
            assert!(node.call("uncordon s-0").starts_with("OK"));
        }
        unwritten(&node) > 0
    });
    assert_eq!(node.call("health"), "OK serving\n");
    assert_eq!(fetch(node.address, &request("page", 3000)).status(), 200);
    let mut lines = BufReader::new(unread.unwrap()).lines().map_while(Result::ok);
    let told = lines.find(|l| l.contains("log.dropped")).expect("it is told");
    assert!(told.contains("WARN") && told.contains("unwritten="), "{told}");
}

#[test]
fn a_line_is_an_event_with_a_name_and_fields_as_text_or_as_json() {
    let traffic = Traffic::default();
    let addresses = start_backends(1, &traffic, |_, _| ok(b"x"));
    let discovery = Discovery::start(all_up(&addresses));
    let file = options("format", "[log]\nformat = \"json\"\n[log.targets]\noperator = \"error\"\n");
    let mut node = serving(&file, &discovery);
    assert!(node.call("cordon s-0").starts_with("OK"));
    std::fs::write(&file, "[log]\n").unwrap();
    let config = node.config().to_string();
    node.replace_config(&config, true);
    assert!(node.call("cordon s-0").starts_with("OK"));
    wait_for("the word is logged", || node.count_log_lines("operator.called") > 0);
    node.terminate();
    assert!(node.wait_for_exit().success());
    let log = node.log();
    let (json, text): (Vec<&str>, Vec<&str>) = log.lines().partition(|l| l.starts_with('{'));
    let events: Vec<Value> = json.iter().map(|l| serde_json::from_str(l).unwrap()).collect();
    let serving = events.iter().find(|e| e["message"] == "node.serving").unwrap();
    assert_eq!((serving["level"].as_str(), serving["name"].as_str()), (Some("INFO"), Some("n0")));
    // The target is off there, and on again once the file says so.
    assert!(!json.iter().any(|l| l.contains("operator.called")), "{log}");
    let called = text.iter().find(|l| l.contains(" operator.called ")).unwrap();
    assert!(called.contains("call=\"cordon s-0\"") && called.contains(" INFO "), "{called}");
}

#[test]
fn both_files_are_taken_together_or_neither_is() {
    let traffic = Traffic::default();
    let addresses = start_backends(1, &traffic, |_, _| ok(b"x"));
    let discovery = Discovery::start(all_up(&addresses));
    let file = options("both", "[stats]\nwindow_s = 7\n");
    let mut node = serving(&file, &discovery);
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
    // Good options beside a bad platform file are not taken either.
    std::fs::write(&file, "[stats]\nwindow_s = 9\n").unwrap();
    node.replace_config("{", false);
    assert_eq!(stats(&node)["window_s"], 7);
    // One signal after the other while a long file is read: the last word counts.
    let before = now["settings"]["digest"].clone();
    let long = format!("{}{}", " ".repeat(8 << 20), config);
    node.write_config(&long);
    for _ in 0..20 {
        node.send_sighup();
    }
    wait_for("taken", || stats(&node)["window_s"] == 9);
    assert_ne!(stats(&node)["settings"]["digest"], before);
}

#[test]
fn a_file_that_cannot_be_taken_ends_the_start_and_says_why() {
    for (text, why) in
        [("[lgo]\n", "line 1: lgo: unknown field"), ("[log]\nlevel = 3\n", "line 2: log.level")]
    {
        let file = options("start", text);
        let (mut node, _) = Node::launch_with_options(free_address(), &file, true);
        assert_eq!(node.wait_for_exit().code(), Some(2));
        let log = node.log();
        assert!(log.contains("node.failed") && log.contains(why), "{log}");
    }
}

#[test]
fn the_figures_tell_what_became_of_requests() {
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
    let wrong = String::from_utf8(request("bid", 900)).unwrap();
    let object = wrong.lines().find(|l| l.starts_with("X-Object")).unwrap();
    assert_eq!(fetch(node.address, wrong.replace(object, "X-Object: wrong").as_bytes()).status(), 400);
    assert!(node.call("cordon s-0").starts_with("OK"));
    assert!(node.call("cordon s-1").starts_with("OK"));
    assert_eq!(fetch(node.address, &request("page", 3000)).status(), 503);
    let s = stats(&node);
    let page = &s["classes"]["page"];
    assert_eq!((&page["asked"], &page["served"], &page["refused"]), (&21.into(), &20.into(), &1.into()));
    assert_eq!(page["answer_ms"]["n"], 20);
    assert_eq!(s["classes"]["bid"]["rejected"], 1);
    assert_eq!((&s["attempts"]["done"], &s["attempts"]["rejected"]), (&20.into(), &1.into()));
    assert_eq!(s["refused"]["no_backend"], 1);
    let answer = s["answer_ms"]["p50"].as_f64().unwrap();
    assert!(s["through_ms"]["p50"].as_f64().unwrap() <= answer, "{s}");
    let backends = s["backends"].as_array().unwrap();
    assert_eq!(backends.len(), 2);
    assert!(backends.iter().all(|b| b["state"] == "cordoned" && b["verdict"] == "live"), "{s}");
    assert_eq!(backends.iter().filter_map(|b| b["done"].as_u64()).sum::<u64>(), 20);
    assert_eq!((&s["zones"][0]["zone"], &s["zones"][0]["own"]), (&"a".into(), &true.into()));
    assert_eq!((&s["list"]["version"], &s["list"]["backends"]), (&1.into(), &2.into()));
    assert!(
        s["memory"]["used_kb"].as_u64().unwrap() > 500 && s["descriptors"]["used"].as_u64().unwrap() > 0
    );
    // A class that is renamed starts anew beside what the old name counted.
    let mut config = node.config();
    config["settings"]["classes"][0]["name"] = "leaf".into();
    node.replace_config(&config.to_string(), true);
    assert!(node.call("uncordon s-0").starts_with("OK"));
    wait_for("the new class is served", || {
        let leaf = String::from_utf8(request("page", 3000)).unwrap().replace("X-Qos: page", "X-Qos: leaf");
        fetch(node.address, leaf.as_bytes()).status() == 200
    });
    let s = stats(&node);
    assert_eq!(s["classes"]["page"]["served"], 20);
    assert_eq!(s["classes"]["leaf"]["answer_ms"]["n"], s["classes"]["leaf"]["served"]);
    assert_eq!(s["settings"]["taken"], 2);
}

#[test]
fn figures_of_a_large_fleet_are_answered_at_the_descriptor_limit() {
    let traffic = Traffic::default();
    let addresses = start_backends(1, &traffic, |_, _| ok(b"x"));
    let many: Vec<Value> = (0..200).map(|n| target(&format!("s-{n:03}"), addresses[0], "up")).collect();
    let discovery = Discovery::start(many);
    let node = Node::start(discovery.address, |c| c["limits"]["sockets"] = 64.into());
    let mut held: Vec<Client> = (0..80).filter_map(|_| Client::try_connect(node.address)).collect();
    for client in &mut held {
        client.send(b"GET /api HT");
    }
    // As many a second as a fleet's watchers may ask, for two seconds, with no answer owed later than one.
    let begun = Instant::now();
    for n in 0..200_u32 {
        let asked = Instant::now();
        assert_eq!(stats(&node)["backends"].as_array().map(Vec::len), Some(200));
        assert!(asked.elapsed() < Duration::from_secs(1), "the calls' time, by their contract");
        std::thread::sleep(
            (begun + n * Duration::from_millis(10)).saturating_duration_since(Instant::now()),
        );
    }
    assert_eq!(node.call("health"), "OK serving\n");
}
