//! Stored state: operators' orders and what the node has learned survive SIGKILL, damaged files and files of a later
//! format.
mod node;

use node::*;
use serde_json::Value;
use std::path::{Path, PathBuf};

/// Writes an options file that names a state directory for one test. Returns the paths of the file and of the
/// directory.
fn write_options(name: &str) -> (PathBuf, PathBuf) {
    let dir = scratch_dir(name);
    let (file, state) = (dir.join("daleturn.toml"), dir.join("state"));
    std::fs::write(&file, format!("[state]\ndir = {:?}\n", state.to_str().unwrap())).unwrap();
    (file, state)
}

/// Starts a node with an options file and waits until it is healthy.
fn start_node(file: &Path, discovery: &Discovery) -> Node {
    let (node, _) = Node::launch_with_options(discovery.address, file, true);
    wait_for("the node is healthy", || node.try_call("health").is_some_and(|a| a.starts_with("OK")));
    node
}

fn stats(node: &Node) -> Value {
    serde_json::from_str(node.call("stats").strip_prefix("OK ").unwrap()).unwrap()
}

/// Returns the state of each backend.
fn states(node: &Node) -> Vec<String> {
    let backends = stats(node)["backends"].clone();
    backends.as_array().unwrap().iter().map(|b| b["state"].as_str().unwrap().to_owned()).collect()
}

/// Starts two backends and a discovery service that lists them.
fn start_backends_and_discovery() -> (Traffic, Discovery) {
    let traffic = Traffic::default();
    let addresses = start_backends(2, &traffic, |_, _| ok(b"x"));
    (traffic, Discovery::start(all_up(&addresses)))
}

#[test]
fn an_operators_order_survives_the_nodes_death_until_it_is_undone() {
    let (_traffic, discovery) = start_backends_and_discovery();
    let (file, _) = write_options("words");
    let mut first = start_node(&file, &discovery);
    assert_eq!(first.call("cordon s-1"), "OK s-1 is out\n");
    assert!(first.call("quiesce").starts_with("OK"));
    assert!(first.call("cordon s-9").starts_with("ERR"), "the backend is unknown");
    first.kill();
    let mut second = start_node(&file, &discovery);
    assert_eq!(states(&second), ["up", "cordoned"]);
    assert!(second.call("health").contains("quiesced"));
    assert_eq!(second.up_status(), 503);
    assert!(second.call("resume").starts_with("OK"));
    assert!(second.call("uncordon s-1").starts_with("OK"));
    second.kill();
    let third = start_node(&file, &discovery);
    assert_eq!(states(&third), ["up", "up"]);
    assert_eq!(third.up_status(), 200);
    assert_eq!(stats(&third)["state"]["incarnation"], 3);
}

#[test]
fn a_node_starts_from_its_stored_list_and_memory_while_discovery_is_down() {
    let (_traffic, discovery) = start_backends_and_discovery();
    let (file, _) = write_options("learned");
    let mut first = start_node(&file, &discovery);
    for _ in 0..30 {
        assert_eq!(fetch(first.address, &request("page", 3000)).status(), 200);
    }
    // The node stores what it has learned 1 to 1.5 s after its start and then every 3 to 4.5 s, so 6.5 s include two
    // writes.
    std::thread::sleep(std::time::Duration::from_millis(6500));
    first.kill();
    let unused_address = free_address();
    let (second, _) = Node::launch_with_options(unused_address, &file, true);
    wait_for("the node has the stored list", || {
        second.try_call("health").is_some_and(|a| a.starts_with("OK"))
    });
    assert_eq!(fetch(second.address, &request("page", 3000)).status(), 200);
    assert!(second.count_log_lines("state.remembers") == 1);
}

#[test]
fn damaged_files_are_set_aside_and_logged_and_the_node_serves() {
    let (_traffic, discovery) = start_backends_and_discovery();
    let (file, dir) = write_options("damage");
    let mut first = start_node(&file, &discovery);
    assert!(first.call("cordon s-1").starts_with("OK"));
    first.kill();
    let snapshot = |dir: &Path| -> PathBuf {
        let entries = std::fs::read_dir(dir).unwrap().flatten().map(|e| e.path());
        let is_intact = |p: &PathBuf| {
            p.extension().is_some_and(|e| e == "snap") && !p.to_string_lossy().contains("damaged")
        };
        entries.filter(is_intact).max().unwrap()
    };
    let path = snapshot(&dir);
    let mut bytes = std::fs::read(&path).unwrap();
    let middle = bytes.len() / 2;
    bytes[middle] ^= 0x10;
    std::fs::write(&path, &bytes).unwrap();
    let mut second = start_node(&file, &discovery);
    assert_eq!(fetch(second.address, &request("page", 3000)).status(), 200);
    wait_for("the damage is logged", || second.count_log_lines("state.damaged") == 1);
    let name = path.file_name().unwrap().to_str().unwrap();
    assert_eq!(std::fs::read(dir.join(format!("damaged-{name}"))).unwrap(), bytes);
    second.kill();
    // The file of a later format: the node serves and leaves the files unchanged.
    let path = snapshot(&dir);
    let mut header = std::fs::read(&path).unwrap()[..16].to_vec();
    (header[4], header[6]) = (99, 99);
    header.extend(crc32(&header).to_le_bytes());
    std::fs::write(&path, &header).unwrap();
    let third = start_node(&file, &discovery);
    assert_eq!(fetch(third.address, &request("page", 3000)).status(), 200);
    wait_for("the event is logged", || third.count_log_lines("format 99") == 1);
    assert!(third.call("cordon s-1").starts_with("ERR nothing changed"));
    assert_eq!(std::fs::read(&path).unwrap(), header);
}

/// The checksum of the files (CRC-32), written here a second time so that the test doesn't depend on the store's own
/// code.
fn crc32(bytes: &[u8]) -> u32 {
    !bytes.iter().fold(!0_u32, |crc, b| {
        (0..8).fold(crc ^ u32::from(*b), |c, _| if c & 1 == 1 { (c >> 1) ^ 0xedb8_8320 } else { c >> 1 })
    })
}

#[test]
fn a_node_in_a_restart_loop_keeps_orders_and_forgets_what_it_learned() {
    let (_traffic, discovery) = start_backends_and_discovery();
    let (file, _) = write_options("loop");
    for n in 0..4 {
        let mut node = start_node(&file, &discovery);
        if n == 0 {
            assert!(node.call("cordon s-1").starts_with("OK"));
            wait_for("the node has learned something", || stats(&node)["uptime_s"].as_u64() >= Some(2));
        }
        assert_eq!(states(&node), ["up", "cordoned"], "start {n}");
        if n == 3 {
            // The thread that reads the log may lag behind.
            wait_for("the event is logged", || node.count_log_lines("looping=true") > 0);
        }
        assert_eq!(node.count_log_lines("looping=true"), usize::from(n == 3), "start {n}");
        if n == 3 {
            assert_eq!(node.count_log_lines("state.remembers"), 0);
        }
        node.kill();
    }
}

#[test]
fn a_node_serves_though_its_state_directory_is_not_writable() {
    let (_traffic, discovery) = start_backends_and_discovery();
    let file = scratch_dir("nowhere").join("daleturn.toml");
    std::fs::write(&file, "[state]\ndir = \"/proc/nowhere\"\n").unwrap();
    let node = start_node(&file, &discovery);
    assert_eq!(fetch(node.address, &request("page", 3000)).status(), 200);
    assert!(node.call("cordon s-1").starts_with("ERR nothing changed, it cannot be stored"));
    assert_eq!(states(&node), ["up", "up"]);
}

/// Writes an options file for a node whose disk has scripted faults. Returns the paths of the file, of the state
/// directory and of the directory for the faults.
fn write_options_with_faults(name: &str) -> (PathBuf, PathBuf, PathBuf) {
    let (file, state) = write_options(name);
    let fault_dir = scratch_dir(name).join("drill");
    let text = format!(
        "[state]\ndir = {:?}\nrehearse = {:?}\n",
        state.to_str().unwrap(),
        fault_dir.to_str().unwrap()
    );
    std::fs::write(&file, text).unwrap();
    (file, state, fault_dir)
}

/// Replaces the scripted faults of the disk by a rename, so that the node never reads half a file.
fn set_disk_faults(fault_dir: &Path, faults: &str) {
    std::fs::create_dir_all(fault_dir).unwrap();
    std::fs::write(fault_dir.join("draft"), faults).unwrap();
    std::fs::rename(fault_dir.join("draft"), fault_dir.join("orders.json")).unwrap();
}

#[test]
fn a_slow_disk_delays_no_request_and_orders_are_refused_in_time() {
    let (_traffic, discovery) = start_backends_and_discovery();
    let (file, _, fault_dir) = write_options_with_faults("slow");
    let mut first = start_node(&file, &discovery);
    set_disk_faults(&fault_dir, "{\"sync_ms\": 5000}");
    let answer = first.call("cordon s-1");
    // Each of the disk's two syncs would take 5 s. The answer comes from the node's own time limit.
    assert_eq!(answer, "ERR nothing changed, it cannot be stored: the disk did not answer in time\n");
    assert_eq!(states(&first), ["up", "up"]);
    for _ in 0..20 {
        assert_eq!(fetch(first.address, &request("page", 3000)).status(), 200);
    }
    // Orders are stored one after the other. Of two at once the later is refused instead of waiting for the disk.
    let answers: Vec<String> = std::thread::scope(|scope| {
        let callers: Vec<_> = (0..2).map(|_| scope.spawn(|| first.call("cordon s-1"))).collect();
        callers.into_iter().map(|c| c.join().unwrap()).collect()
    });
    assert!(answers.iter().any(|s| s.contains("the word before it is still being stored")), "{answers:?}");
    assert!(answers.iter().all(|s| s.starts_with("ERR nothing changed")), "{answers:?}");
    set_disk_faults(&fault_dir, "{}");
    wait_for("the disk has completed the first syncs", || first.call("cordon s-0").starts_with("OK"));
    first.kill();
    // An order that was answered with ERR is not kept, though it reached the disk. One answered with OK is kept.
    let second = start_node(&file, &discovery);
    assert_eq!(states(&second), ["cordoned", "up"]);
}

#[test]
fn full_failing_and_read_only_disks_refuse_orders_until_they_are_repaired() {
    let (_traffic, discovery) = start_backends_and_discovery();
    let (file, _, fault_dir) = write_options_with_faults("failing");
    let node = start_node(&file, &discovery);
    for faults in ["{\"full\": true}", "{\"broken\": true}", "{\"read_only\": true}"] {
        set_disk_faults(&fault_dir, faults);
        let answer = node.call("cordon s-1");
        assert!(answer.starts_with("ERR nothing changed, it cannot be stored"), "{faults}: {answer}");
        assert_eq!(states(&node), ["up", "up"], "{faults}");
        assert_eq!(fetch(node.address, &request("page", 3000)).status(), 200, "{faults}");
        set_disk_faults(&fault_dir, "{}");
        assert_eq!(node.call("cordon s-1"), "OK s-1 is out\n", "after {faults}");
        assert!(node.call("uncordon s-1").starts_with("OK"), "after {faults}");
    }
}

#[test]
fn a_state_directory_deleted_under_a_node_loses_only_orders() {
    let (_traffic, discovery) = start_backends_and_discovery();
    let (file, state, _) = write_options_with_faults("deleted");
    let mut first = start_node(&file, &discovery);
    std::fs::remove_dir_all(&state).unwrap();
    // The journal is still open and accepts the order, but the next start would not find the file. Either answer is
    // right only if the next start agrees with it.
    let answer = first.call("cordon s-1");
    assert_eq!(fetch(first.address, &request("page", 3000)).status(), 200);
    first.kill();
    let second = start_node(&file, &discovery);
    assert_eq!(fetch(second.address, &request("page", 3000)).status(), 200);
    let is_kept = states(&second) == ["up", "cordoned"];
    assert_eq!(answer.starts_with("OK"), is_kept, "{answer}");
}

#[test]
fn author_reason_and_time_of_a_cordon_survive_the_node_and_bind_a_release() {
    let (_traffic, discovery) = start_backends_and_discovery();
    let (file, _) = write_options("reasons");
    let mut first = start_node(&file, &discovery);
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
    let second = start_node(&file, &discovery);
    let after = cordons(&second);
    for n in 0..2 {
        assert_eq!((&after[n]["by"], &after[n]["why"]), (&before[n]["by"], &before[n]["why"]));
        let since = |c: &Value| c[n]["since_ms"].as_u64().unwrap();
        assert!(since(&after).abs_diff(since(&before)) < 2000, "the time of the order, not of the start");
    }
    // The controller may undo its own cordon, but not the one that an operator placed before the node died.
    assert_eq!(second.call("uncordon s-1 --lease 1"), "OK s-1 stays out, as an operator said\n");
    assert!(second.call("uncordon s-0 --lease 1").starts_with("OK"));
    assert_eq!(states(&second), ["up", "cordoned"]);
}

#[test]
fn a_cordon_of_an_unknown_backend_is_not_recorded() {
    let (_traffic, discovery) = start_backends_and_discovery();
    let node = Node::start(discovery.address, |_| {});
    assert!(node.call("cordon s-9").starts_with("ERR"));
    assert_eq!(stats(&node)["cordons"], serde_json::json!([]));
}
