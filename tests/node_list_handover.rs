//! What discovery has told one process of a node holds in the node's other process.
//!
//! The failure: a node was upgraded during an outage of discovery, and its new process sent requests to a
//! backend of which the old one had been told that it drains. The new process began with the list of the
//! configuration file, which may be old, and the old one kept to itself what it had been told since.
mod node;

use node::*;
use serde_json::{Value, json};
use std::path::PathBuf;
use std::thread;
use std::time::Duration;

/// The values of `membershipMode`.
const MODES: [&str; 2] = ["pushed", "on_request"];

/// A node with backends of its own, whose configured list says that the first four are up.
struct Fixture {
    tmp: PathBuf,
    discovery: Discovery,
    traffic: Vec<Traffic>,
    targets: Vec<Value>,
    old: Node,
}

impl Fixture {
    /// Starts a node with `count` backends, and waits until it watches.
    fn start(name: &str, mode: &str, count: usize) -> Fixture {
        let tmp = scratch_dir(&format!("list-{name}-{mode}"));
        let traffic: Vec<Traffic> = (0..count).map(|_| Traffic::default()).collect();
        let addresses: Vec<_> =
            traffic.iter().map(|traffic| start_backend(traffic, |_, _| ok(b"x"))).collect();
        let targets = all_up(&addresses);
        let discovery = Discovery::start(targets[..4].to_vec());
        let known = json!({"rev": 1, "all": true, "targets": &targets[..4]});
        let change = |config: &mut Value| {
            config["settings"]["membershipMode"] = mode.into();
            config["known"] = known;
        };
        let old = Node::launch(discovery.address, change, &command(&tmp));
        wait_for("/up is 200", || old.up_status() == 200);
        wait_for("the node watches", || discovery.call_count() > 0);
        Fixture { tmp, discovery, traffic, targets, old }
    }

    /// Returns the entry of a backend in another state.
    fn target(&self, n: usize, state: &str) -> Value {
        let mut target = self.targets[n].clone();
        target["state"] = state.into();
        target
    }

    fn start_successor(&self) -> Node {
        self.old.start_successor(&command(&self.tmp))
    }

    /// Starts the next process and waits until it is healthy.
    fn upgrade(&self) -> Node {
        let new = self.start_successor();
        wait_until_healthy(&new);
        new
    }

    /// Sends requests to a node. Returns the number that each backend has got.
    fn requests_by_backend(&self, node: &Node) -> Vec<usize> {
        self.traffic.iter().for_each(|traffic| traffic.requests.lock().unwrap().clear());
        for _ in 0..60 {
            assert_eq!(fetch(node.address, &request("page", 3000)).status(), 200);
        }
        let is_request = |message: &&Message| message.first_line.contains("/api");
        let count = |traffic: &Traffic| traffic.requests.lock().unwrap().iter().filter(is_request).count();
        self.traffic.iter().map(count).collect()
    }
}

impl Drop for Fixture {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.tmp);
    }
}

/// Returns the shell command that starts a node with this `$TMPDIR`.
fn command(tmp: &std::path::Path) -> String {
    format!("TMPDIR='{}' exec \"$0\"", tmp.display())
}

fn wait_until_healthy(node: &Node) {
    wait_for("the process is healthy", || node.try_call("health").is_some_and(|a| a.starts_with("OK")));
}

/// Returns what a node says of a backend, or null if it is not listed.
fn backend(node: &Node, uid: &str) -> Value {
    let stats: Value = serde_json::from_str(node.call("stats").trim_start_matches("OK ")).unwrap();
    let backends = stats["backends"].as_array().unwrap();
    backends.iter().find(|backend| backend["id"] == uid).cloned().unwrap_or_default()
}

/// Returns the state of a backend at a node.
fn state(node: &Node, uid: &str) -> String {
    backend(node, uid)["state"].as_str().unwrap_or("gone").to_owned()
}

fn stop(mut node: Node) {
    node.terminate();
    assert!(node.wait_for_exit().success());
}

/// Guards against changes of discovery that an upgrade during its outage forgets (review case 8).
#[test]
fn a_new_process_knows_what_the_old_one_was_told_before_an_outage() {
    for mode in MODES {
        for is_full in [true, false] {
            let fixture = Fixture::start(&format!("outage-{is_full}"), mode, 5);
            let mut restarted = fixture.target(3, "up");
            (restarted["boot_ms"], restarted["az"]) = (1_700_000_000_000_u64.into(), "b".into());
            let (drains, joins) = (fixture.target(0, "draining"), fixture.target(4, "up"));
            let mut changes = vec![drains, joins, restarted];
            if is_full {
                changes.push(fixture.target(2, "up"));
                fixture.discovery.set_targets(changes);
            } else {
                changes.push(fixture.target(1, "removed"));
                fixture.discovery.change_targets(changes);
            }
            wait_for("the old process knows the changes", || state(&fixture.old, "s-4") == "up");
            fixture.discovery.set_down(true);
            let new = fixture.upgrade();
            let log = |text: &str| new.count_log_lines(text);
            wait_for("the first list is logged", || log("node.serving") == 1);
            assert_eq!(log("list=\"predecessor\""), 1, "{mode} {is_full}");
            fixture.old.terminate();
            assert_eq!(state(&new, "s-0"), "draining");
            assert_eq!(state(&new, "s-1"), "gone");
            let restarted = backend(&new, "s-3");
            assert_eq!(
                (&restarted["start_ms"], &restarted["zone"]),
                (&1_700_000_000_000_u64.into(), &"b".into())
            );
            thread::sleep(Duration::from_millis(600));
            let requests = fixture.requests_by_backend(&new);
            assert_eq!(requests[..2], [0, 0], "{mode} {is_full}: {requests:?}");
            assert!(requests[2..].iter().all(|n| *n > 0), "{mode} {is_full}: {requests:?}");
            // Discovery's own answer holds again.
            fixture.discovery.set_targets(fixture.targets.clone());
            fixture.discovery.set_down(false);
            wait_for("the new process knows the next list", || state(&new, "s-0") == "up");
        }
    }
}

/// Guards against changes that reaches only the old process, after it has handed its list over.
#[test]
fn a_new_process_learns_what_the_old_one_is_told_until_its_end() {
    for mode in MODES {
        let mut fixture = Fixture::start("between", mode, 4);
        fixture.discovery.change_targets(vec![fixture.target(3, "draining")]);
        wait_for("the old process knows the changes", || state(&fixture.old, "s-3") == "draining");
        // The open watch of the old process is answered, and the new process gets no answer at all.
        fixture.discovery.set_closed(true);
        let new = fixture.upgrade();
        fixture.discovery.change_targets(vec![fixture.target(0, "draining")]);
        wait_for("the new process knows of the drain", || state(&new, "s-0") == "draining");
        fixture.discovery.change_targets(vec![fixture.target(0, "up"), fixture.target(1, "removed")]);
        wait_for("the new process knows of the return", || state(&new, "s-0") == "up");
        assert_eq!((state(&new, "s-1"), state(&new, "s-3")), ("gone".into(), "draining".into()));
        let mut list = fixture.targets[..3].to_vec();
        list[2] = fixture.target(2, "draining");
        fixture.discovery.set_targets(list);
        wait_for("the old process knows the list", || state(&fixture.old, "s-2") == "draining");
        fixture.old.kill();
        wait_for("the new process knows the list", || state(&new, "s-2") == "draining");
        assert_eq!((state(&new, "s-0"), state(&new, "s-1")), ("up".into(), "up".into()), "{mode}");
    }
}

/// Guards against changes that reaches only the new process, while the old one still serves.
#[test]
fn an_old_process_learns_what_the_new_one_is_told() {
    let fixture = Fixture::start("back", "pushed", 4);
    let other = Discovery::start(fixture.targets.clone());
    fixture.discovery.set_down(true);
    let mut config = fixture.old.config();
    config["discovery"] = other.address.to_string().into();
    fixture.old.write_config(&config.to_string());
    let new = fixture.upgrade();
    let mut list = fixture.targets.clone();
    list[0] = fixture.target(0, "draining");
    other.set_targets(list);
    wait_for("the new process knows of the drain", || state(&new, "s-0") == "draining");
    wait_for("the old process knows of the drain", || state(&fixture.old, "s-0") == "draining");
    other.change_targets(vec![fixture.target(1, "removed")]);
    wait_for("the old process knows of the departure", || state(&fixture.old, "s-1") != "up");
}

/// Guards against changes that the second of two upgrades in an outage forgets.
#[test]
fn changes_survive_upgrades_in_a_row() {
    for mode in MODES {
        let fixture = Fixture::start("row", mode, 4);
        fixture.discovery.change_targets(vec![fixture.target(0, "draining")]);
        wait_for("the first process knows of the drain", || state(&fixture.old, "s-0") == "draining");
        fixture.discovery.set_down(true);
        let mut process = fixture.upgrade();
        fixture.old.terminate();
        for _ in 0..2 {
            // A process takes its configuration file along when it is dropped.
            fixture.old.write_config(&fixture.old.config().to_string());
            let next = fixture.upgrade();
            assert_eq!(state(&next, "s-0"), "draining", "{mode}");
            stop(std::mem::replace(&mut process, next));
        }
        assert_eq!(fixture.requests_by_backend(&process)[0], 0, "{mode}");
        wait_for("no list of an ended process is left", || list_files(&fixture.tmp).is_empty());
    }
}

/// Returns the paths of the lists in the directory of the node's processes.
fn list_files(tmp: &std::path::Path) -> Vec<PathBuf> {
    let node = std::fs::read_dir(tmp).unwrap().next().unwrap().unwrap().path();
    let files = std::fs::read_dir(node).unwrap().map(|entry| entry.unwrap().path());
    files.filter(|path| path.file_name().unwrap().to_str().unwrap().starts_with("list")).collect()
}

/// Guards against an older list of the old process in place of a newer one.
#[test]
fn a_newer_list_is_not_replaced_by_that_of_the_old_process() {
    for mode in MODES {
        let fixture = Fixture::start("newer", mode, 4);
        fixture.discovery.set_down(true);
        let mut config = fixture.old.config();
        let mut known = fixture.targets.clone();
        known[0] = fixture.target(0, "draining");
        config["known"] = json!({"rev": 9, "all": true, "targets": known});
        fixture.old.write_config(&config.to_string());
        let new = fixture.upgrade();
        wait_for("the first list is logged", || new.count_log_lines("node.serving") == 1);
        assert_eq!(new.count_log_lines("list=\"configured\""), 1, "{mode}");
        assert_eq!((state(&new, "s-0"), state(&fixture.old, "s-0")), ("draining".into(), "up".into()));
    }
}

/// Guards against a list that is damaged, of another node or of an ended process.
#[test]
fn a_list_that_cannot_be_used_is_ignored_and_logged() {
    let fixture = Fixture::start("damaged", "pushed", 4);
    fixture.discovery.change_targets(vec![fixture.target(0, "draining")]);
    wait_for("the old process knows of the drain", || state(&fixture.old, "s-0") == "draining");
    fixture.discovery.set_down(true);
    let mut first = fixture.upgrade();
    // The old process no longer writes. What it has written stays.
    fixture.old.suspend();
    first.kill();
    let pid = fixture.old.pid();
    let file =
        list_files(&fixture.tmp).into_iter().find(|file| file.ends_with(format!("list-{pid}"))).unwrap();
    let whole = std::fs::read(&file).unwrap();
    let mut flipped = whole.clone();
    flipped[whole.len() / 2] ^= 0x10;
    let ended = file.with_file_name("list-1");
    let cases = [
        ("damaged", flipped),
        ("truncated", whole[..whole.len() / 2].to_vec()),
        ("not a list of this version", b"{\"rev\": 1, \"all\": true}".to_vec()),
        ("truncated", whole[..12].to_vec()),
        ("written by another node", whole.clone()),
    ];
    for (reason, bytes) in cases {
        std::fs::write(&file, bytes).unwrap();
        std::fs::write(&ended, &whole).unwrap();
        let mut config = fixture.old.config();
        if reason.contains("another") {
            config["name"] = "n1".into();
        }
        fixture.old.write_config(&config.to_string());
        let mut new = fixture.upgrade();
        assert_eq!(state(&new, "s-0"), "up", "it starts with the configured list");
        new.kill();
        let log = new.log();
        for (pid, reason) in [(1, "left by an earlier process"), (pid, reason)] {
            let words = ["upgrade.list_ignored".to_owned(), format!("pid={pid} "), reason.to_owned()];
            let is_logged = log.lines().any(|line| words.iter().all(|word| line.contains(word)));
            assert!(is_logged, "{words:?}: {log}");
        }
        assert!(log.contains("list=\"configured\""), "{log}");
        assert!(!ended.exists());
    }
}

/// Guards against drains of a long list that the subset of a new process does not have yet.
#[test]
fn a_long_list_is_handed_over_as_a_whole() {
    const LISTED: usize = 3000;
    let tmp = scratch_dir("list-long");
    let (first, second) = (Traffic::default(), Traffic::default());
    let addresses = [&first, &second].map(|traffic| start_backend(traffic, |_, _| ok(b"x")));
    let list = |state: &str| -> Vec<Value> {
        let line = |n: usize| {
            target(&format!("s-{n}"), addresses[n % 2], if n.is_multiple_of(2) { state } else { "up" })
        };
        (0..LISTED).map(line).collect()
    };
    let discovery = Discovery::start(list("up"));
    let known = json!({"rev": 1, "all": true, "targets": list("up")});
    let change = |config: &mut Value| {
        config["settings"]["instances"] = 40.into();
        config["known"] = known;
    };
    let old = Node::launch(discovery.address, change, &command(&tmp));
    wait_for("/up is 200", || old.up_status() == 200);
    discovery.set_targets(list("draining"));
    let version = |node: &Node| {
        let stats: Value = serde_json::from_str(node.call("stats").trim_start_matches("OK ")).unwrap();
        (stats["list"]["version"].clone(), stats["list"]["up"].clone(), stats["list"]["backends"].clone())
    };
    wait_for("the old process has the list", || version(&old).0 == 2);
    discovery.set_down(true);
    let new = old.start_successor(&command(&tmp));
    wait_until_healthy(&new);
    let (_, up, listed) = version(&new);
    assert_eq!((up, listed), ((LISTED / 2).into(), LISTED.into()));
    old.terminate();
    thread::sleep(Duration::from_millis(600));
    let before = first.request_count();
    for _ in 0..60 {
        assert_eq!(fetch(new.address, &request("page", 3000)).status(), 200);
    }
    assert_eq!(first.request_count(), before);
    assert!(second.request_count() >= 60);
    drop((old, new));
    let _ = std::fs::remove_dir_all(tmp);
}
