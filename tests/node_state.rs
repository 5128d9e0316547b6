//! What survives the machine: operators' words and what was learned, over SIGKILL, damage and a later format.
mod node;

use node::*;
use serde_json::Value;
use std::path::{Path, PathBuf};

/// The product's file that names a state directory of this test's own.
fn place(name: &str) -> (PathBuf, PathBuf) {
    let dir = scratch_dir(name);
    let (file, state) = (dir.join("daleturn.toml"), dir.join("state"));
    std::fs::write(&file, format!("[state]\ndir = {:?}\n", state.to_str().unwrap())).unwrap();
    (file, state)
}

fn start(file: &Path, discovery: &Discovery) -> Node {
    let (node, _) = Node::launch_with_options(discovery.address, file, true);
    wait_for("it serves", || node.try_call("health").is_some_and(|a| a.starts_with("OK")));
    node
}

fn stats(node: &Node) -> Value {
    serde_json::from_str(node.call("stats").strip_prefix("OK ").unwrap()).unwrap()
}

fn states(node: &Node) -> Vec<String> {
    let backends = stats(node)["backends"].clone();
    backends.as_array().unwrap().iter().map(|b| b["state"].as_str().unwrap().to_owned()).collect()
}

fn fleet() -> (Traffic, Discovery) {
    let traffic = Traffic::default();
    let addresses = start_backends(2, &traffic, |_, _| ok(b"x"));
    (traffic, Discovery::start(all_up(&addresses)))
}

#[test]
fn an_operators_word_survives_the_nodes_death_until_it_is_taken_back() {
    let (_record, discovery) = fleet();
    let (file, _) = place("words");
    let mut first = start(&file, &discovery);
    assert_eq!(first.call("cordon s-1"), "OK s-1 is out\n");
    assert!(first.call("quiesce").starts_with("OK"));
    assert!(first.call("cordon s-9").starts_with("ERR"), "nobody knows it");
    first.kill();
    let mut second = start(&file, &discovery);
    assert_eq!(states(&second), ["up", "cordoned"]);
    assert!(second.call("health").contains("quiesced"));
    assert_eq!(second.up_status(), 503);
    assert!(second.call("resume").starts_with("OK"));
    assert!(second.call("uncordon s-1").starts_with("OK"));
    second.kill();
    let third = start(&file, &discovery);
    assert_eq!(states(&third), ["up", "up"]);
    assert_eq!(third.up_status(), 200);
    assert_eq!(stats(&third)["state"]["incarnation"], 3);
}

#[test]
fn the_list_and_what_was_learned_are_there_when_discovery_is_not() {
    let (_record, discovery) = fleet();
    let (file, _) = place("learned");
    let mut first = start(&file, &discovery);
    for _ in 0..30 {
        assert_eq!(fetch(first.address, &request("page", 3000)).status(), 200);
    }
    // The first look is at once, the next ones some seconds apart.
    std::thread::sleep(std::time::Duration::from_millis(6500));
    first.kill();
    let nobody = free_address();
    let (second, _) = Node::launch_with_options(nobody, &file, true);
    wait_for("it knows backends", || second.try_call("health").is_some_and(|a| a.starts_with("OK")));
    assert_eq!(fetch(second.address, &request("page", 3000)).status(), 200);
    assert!(second.count_log_lines("state.remembers") == 1);
}

#[test]
fn damage_is_moved_aside_and_told_and_never_keeps_a_node_from_serving() {
    let (_record, discovery) = fleet();
    let (file, dir) = place("damage");
    let mut first = start(&file, &discovery);
    assert!(first.call("cordon s-1").starts_with("OK"));
    first.kill();
    let snapshot = |dir: &Path| -> PathBuf {
        let entries = std::fs::read_dir(dir).unwrap().flatten().map(|e| e.path());
        let whole = |p: &PathBuf| {
            p.extension().is_some_and(|e| e == "snap") && !p.to_string_lossy().contains("damaged")
        };
        entries.filter(whole).max().unwrap()
    };
    let path = snapshot(&dir);
    let mut bytes = std::fs::read(&path).unwrap();
    let middle = bytes.len() / 2;
    bytes[middle] ^= 0x10;
    std::fs::write(&path, &bytes).unwrap();
    let mut second = start(&file, &discovery);
    assert_eq!(fetch(second.address, &request("page", 3000)).status(), 200);
    wait_for("the damage is told", || second.count_log_lines("state.damaged") == 1);
    let name = path.file_name().unwrap().to_str().unwrap();
    assert_eq!(std::fs::read(dir.join(format!("damaged-{name}"))).unwrap(), bytes);
    second.kill();
    // A later build's file: this one serves, and leaves all as it is.
    let path = snapshot(&dir);
    let mut header = std::fs::read(&path).unwrap()[..16].to_vec();
    (header[4], header[6]) = (99, 99);
    header.extend(crc(&header).to_le_bytes());
    std::fs::write(&path, &header).unwrap();
    let third = start(&file, &discovery);
    assert_eq!(fetch(third.address, &request("page", 3000)).status(), 200);
    wait_for("it is told", || third.count_log_lines("format 99") == 1);
    assert!(third.call("cordon s-1").starts_with("ERR nothing changed"));
    assert_eq!(std::fs::read(&path).unwrap(), header);
}

/// The checksum of the files, written here again so that the store is not its own judge.
fn crc(bytes: &[u8]) -> u32 {
    !bytes.iter().fold(!0_u32, |crc, b| {
        (0..8).fold(crc ^ u32::from(*b), |c, _| if c & 1 == 1 { (c >> 1) ^ 0xedb8_8320 } else { c >> 1 })
    })
}

#[test]
fn a_node_that_starts_again_and_again_keeps_the_words_and_forgets_what_it_learned() {
    let (_record, discovery) = fleet();
    let (file, _) = place("loop");
    for n in 0..4 {
        let mut node = start(&file, &discovery);
        if n == 0 {
            assert!(node.call("cordon s-1").starts_with("OK"));
            wait_for("something was learned", || stats(&node)["uptime_s"].as_u64() >= Some(2));
        }
        assert_eq!(states(&node), ["up", "cordoned"], "start {n}");
        if n == 3 {
            // The log has a reader of its own, which may be behind.
            wait_for("it is told", || node.count_log_lines("looping=true") > 0);
        }
        assert_eq!(node.count_log_lines("looping=true"), usize::from(n == 3), "start {n}");
        if n == 3 {
            assert_eq!(node.count_log_lines("state.remembers"), 0);
        }
        node.kill();
    }
}

#[test]
fn a_place_that_cannot_be_written_keeps_no_node_from_serving() {
    let (_record, discovery) = fleet();
    let file = scratch_dir("nowhere").join("daleturn.toml");
    std::fs::write(&file, "[state]\ndir = \"/proc/nowhere\"\n").unwrap();
    let node = start(&file, &discovery);
    assert_eq!(fetch(node.address, &request("page", 3000)).status(), 200);
    assert!(node.call("cordon s-1").starts_with("ERR nothing changed, it cannot be stored"));
    assert_eq!(states(&node), ["up", "up"]);
}

/// The product's file of a node whose disk takes orders, and the place that they are given at.
fn rehearsed(name: &str) -> (PathBuf, PathBuf, PathBuf) {
    let (file, state) = place(name);
    let drill = scratch_dir(name).join("drill");
    let text =
        format!("[state]\ndir = {:?}\nrehearse = {:?}\n", state.to_str().unwrap(), drill.to_str().unwrap());
    std::fs::write(&file, text).unwrap();
    (file, state, drill)
}

fn orders(drill: &Path, orders: &str) {
    std::fs::create_dir_all(drill).unwrap();
    std::fs::write(drill.join("draft"), orders).unwrap();
    std::fs::rename(drill.join("draft"), drill.join("orders.json")).unwrap();
}

#[test]
fn a_disk_that_takes_seconds_harms_nobody_who_is_served_and_its_words_are_turned_down_in_their_second() {
    let (_record, discovery) = fleet();
    let (file, _, drill) = rehearsed("slow");
    let mut first = start(&file, &discovery);
    orders(&drill, "{\"sync_ms\": 5000}");
    let said = first.call("cordon s-1");
    // The disk alone would take five seconds for each of its two syncs: this is the node's own patience.
    assert_eq!(said, "ERR nothing changed, it cannot be stored: the disk did not answer in time\n");
    assert_eq!(states(&first), ["up", "up"]);
    for _ in 0..20 {
        assert_eq!(fetch(first.address, &request("page", 3000)).status(), 200);
    }
    // Words are taken one after the other: of two at once, the later is not kept waiting for the first one's disk.
    let said: Vec<String> = std::thread::scope(|scope| {
        let callers: Vec<_> = (0..2).map(|_| scope.spawn(|| first.call("cordon s-1"))).collect();
        callers.into_iter().map(|c| c.join().unwrap()).collect()
    });
    assert!(said.iter().any(|s| s.contains("the word before it is still being stored")), "{said:?}");
    assert!(said.iter().all(|s| s.starts_with("ERR nothing changed")), "{said:?}");
    orders(&drill, "{}");
    wait_for("the disk is done with it", || first.call("cordon s-0").starts_with("OK"));
    first.kill();
    // What was answered ERR is not there, though the disk has met it; what was answered OK is.
    let second = start(&file, &discovery);
    assert_eq!(states(&second), ["cordoned", "up"]);
}

#[test]
fn full_failing_and_read_only_disks_turn_words_down_and_take_them_again_once_they_are_mended() {
    let (_record, discovery) = fleet();
    let (file, _, drill) = rehearsed("failing");
    let node = start(&file, &discovery);
    for wrong in ["{\"full\": true}", "{\"broken\": true}", "{\"read_only\": true}"] {
        orders(&drill, wrong);
        let said = node.call("cordon s-1");
        assert!(said.starts_with("ERR nothing changed, it cannot be stored"), "{wrong}: {said}");
        assert_eq!(states(&node), ["up", "up"], "{wrong}");
        assert_eq!(fetch(node.address, &request("page", 3000)).status(), 200, "{wrong}");
        orders(&drill, "{}");
        assert_eq!(node.call("cordon s-1"), "OK s-1 is out\n", "after {wrong}");
        assert!(node.call("uncordon s-1").starts_with("OK"), "after {wrong}");
    }
}

#[test]
fn a_directory_that_is_deleted_under_a_node_costs_its_words_and_nothing_else() {
    let (_record, discovery) = fleet();
    let (file, state, _) = rehearsed("deleted");
    let mut first = start(&file, &discovery);
    std::fs::remove_dir_all(&state).unwrap();
    // The journal is open still and takes the word, but a start would not find it: either answer is honest only
    // as far as the next start agrees with it.
    let said = first.call("cordon s-1");
    assert_eq!(fetch(first.address, &request("page", 3000)).status(), 200);
    first.kill();
    let second = start(&file, &discovery);
    assert_eq!(fetch(second.address, &request("page", 3000)).status(), 200);
    let kept = states(&second) == ["up", "cordoned"];
    assert_eq!(said.starts_with("OK"), kept, "{said}");
}

#[test]
fn who_took_a_backend_out_why_and_when_outlives_the_node_and_binds_a_release() {
    let (_record, discovery) = fleet();
    let (file, _) = place("reasons");
    let mut first = start(&file, &discovery);
    assert_eq!(first.call("lease r 1"), "OK the lease is taken\n");
    assert!(first.call("cordon s-0 --lease 1").starts_with("OK"));
    assert!(first.call("cordon s-1 --why fan is broken, ticket 7").starts_with("OK"));
    assert!(first.call("cordon s-1 --why").starts_with("ERR --why takes a reason"));
    let cordons = |node: &Node| stats(node)["cordons"].clone();
    let before = cordons(&first);
    assert_eq!(before[0]["by"], "release");
    assert_eq!(
        (&before[1]["by"], &before[1]["why"]),
        (&"operator".into(), &"fan is broken, ticket 7".into())
    );
    first.kill();
    let second = start(&file, &discovery);
    let after = cordons(&second);
    for n in 0..2 {
        assert_eq!((&after[n]["by"], &after[n]["why"]), (&before[n]["by"], &before[n]["why"]));
        let since = |c: &Value| c[n]["since_ms"].as_u64().unwrap();
        assert!(since(&after).abs_diff(since(&before)) < 2000, "it was said before, not at the start");
    }
    // The controller puts back what it took out, and not what an operator did before the node died.
    assert_eq!(second.call("uncordon s-1 --lease 1"), "OK s-1 stays out, as an operator said\n");
    assert!(second.call("uncordon s-0 --lease 1").starts_with("OK"));
    assert_eq!(states(&second), ["up", "cordoned"]);
}

#[test]
fn a_cordon_of_nobody_is_no_operators_word() {
    let (_record, discovery) = fleet();
    let node = Node::start(discovery.address, |_| {});
    assert!(node.call("cordon s-9").starts_with("ERR"));
    assert_eq!(stats(&node)["cordons"], serde_json::json!([]));
}
