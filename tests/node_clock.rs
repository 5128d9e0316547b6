//! Wall clocks that are stepped, under a running node and between two of its processes. Deadlines, windows, waits and graces are
//! spans of real time; a backend's start is told in discovery's wall time, which need not be the node's.
mod node;

use daleturn_faults::{OFFSET_FILE, set_offset};
use node::*;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const HOUR: Duration = Duration::from_secs(3600);

/// The preloaded library, which cargo builds beside this test.
fn library() -> PathBuf {
    let own = std::env::current_exe().unwrap();
    let folders = own.ancestors().skip(1).take(2);
    let found = folders.map(|folder| folder.join("libdaleturn_faults.so")).find(|path| path.exists());
    found.expect("the library for faults is built with the tests")
}

/// A node whose wall clock is led by that file.
fn node(discovery: SocketAddr, clock: &Path, change: impl FnOnce(&mut Value)) -> Node {
    let command =
        format!("LD_PRELOAD='{}' {OFFSET_FILE}='{}' exec \"$0\"", library().display(), clock.display());
    let node = Node::launch(discovery, change, &command);
    wait_for("/up is 200", || node.up_status() == 200);
    node
}

/// A file for the clock of one node, which shows that much more, or less, from the start.
fn clock(name: &str, offset: Duration, behind: bool) -> PathBuf {
    let clock = scratch_dir(name).join("clock");
    set_offset(&clock, offset, behind).unwrap();
    clock
}

/// Steps a clock all the time, forward and back, by seconds and by an hour.
struct Steps {
    stop: Arc<AtomicBool>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Steps {
    fn of(clock: &Path) -> Steps {
        let stop = Arc::new(AtomicBool::new(false));
        let (stopped, clock) = (stop.clone(), clock.to_owned());
        let offsets = [(7, false), (3600, true), (0, false), (3600, false), (2, true)];
        let thread = thread::spawn(move || {
            for (seconds, behind) in offsets.into_iter().cycle() {
                if stopped.load(SeqCst) {
                    return;
                }
                set_offset(&clock, Duration::from_secs(seconds), behind).unwrap();
                thread::sleep(Duration::from_millis(15));
            }
        });
        Steps { stop, thread: Some(thread) }
    }
}

impl Drop for Steps {
    fn drop(&mut self) {
        self.stop.store(true, SeqCst);
        drop(self.thread.take().map(thread::JoinHandle::join));
    }
}

fn wall_ms() -> u64 {
    u64::try_from(SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis()).unwrap()
}

/// A listed backend that started so many milliseconds ago.
fn started(uid: &str, address: SocketAddr, ms_ago: u64) -> Value {
    let mut target = target(uid, address, "up");
    target["boot_ms"] = (wall_ms() - ms_ago).into();
    target
}

/// Whether the node takes a backend for cold; none while it does not know it.
fn cold(node: &Node, uid: &str) -> Option<bool> {
    let stats: Value = serde_json::from_str(node.call("stats").trim_start_matches("OK ")).unwrap();
    stats["backends"].as_array()?.iter().find(|b| b["id"] == uid)?["cold"].as_bool()
}

#[test]
fn the_library_steps_the_wall_clock_of_its_process() {
    let clock = clock("clock-library", HOUR, true);
    let traffic = Traffic::default();
    let address = start_backends(1, &traffic, |_, _| ok(b"x"))[0];
    let discovery = Discovery::start(all_up(&[address]));
    let mut node = node(discovery.address, &clock, |_| {});
    set_offset(&clock, 10 * HOUR, false).unwrap();
    node.set_discovery(Some(discovery.address));
    wait_for("the new file is taken", || node.count_log_lines("config.taken") > 0);
    node.terminate();
    node.wait_for_exit();
    let log = node.log();
    let year = |line: &str| line[..13].to_owned();
    let at = |event: &str| year(log.lines().find(|line| line.contains(event)).expect("logged"));
    assert_ne!(at("node.serving"), at("config.taken"), "the log's wall time was stepped by eleven hours");
}

#[test]
fn steps_of_the_wall_clock_move_no_deadline_no_watch_and_no_end() {
    for mode in ["pushed", "on_request"] {
        let clock = clock(&format!("clock-steps-{mode}"), Duration::ZERO, false);
        let steps = Steps::of(&clock);
        let traffic = Traffic::default();
        let address = start_backends(1, &traffic, |_, _| Action::Silent)[0];
        let discovery = Discovery::start(all_up(&[address]));
        let mut node = node(discovery.address, &clock, |c| {
            c["settings"]["membershipMode"] = mode.into();
            c["settings"]["rules"]["mustAskInMs"] = 1000.into();
        });
        let from = Instant::now();
        assert_ne!(fetch(node.address, &request("bid", 600)).status(), 200, "{mode}");
        assert!(from.elapsed() > Duration::from_millis(400), "{mode}: failed after {:?}", from.elapsed());
        let told = traffic.requests.lock().unwrap()[0].header("x-expires-in-ms").unwrap().parse::<u64>();
        assert!((1..=600).contains(&told.clone().unwrap()), "{mode}: told {told:?}");
        // The watch that is open falls silent; a later call tells of the drain.
        discovery.set_silent(true);
        discovery.set_targets(vec![target("s-0", address, "draining")]);
        let asked = discovery.call_count();
        wait_for("discovery is asked anew", || discovery.call_count() > asked);
        discovery.set_silent(false);
        wait_for("the drain is known", || node.up_status() == 503);
        node.terminate();
        assert!(node.wait_for_exit().success(), "{mode}");
        drop(steps);
    }
}

#[test]
fn a_backend_that_started_long_ago_is_warm_to_a_node_whose_wall_clock_is_behind() {
    let clock = clock("clock-behind", HOUR, true);
    let traffic = Traffic::default();
    let address = start_backends(1, &traffic, |_, _| ok(b"x"))[0];
    let discovery = Discovery::start(vec![started("s-0", address, 1_800_000)]);
    let node = node(discovery.address, &clock, |c| {
        c["settings"]["rules"]["coldMs"] = json!(1000.0);
    });
    wait_for("it is warm", || cold(&node, "s-0") == Some(false));
}

#[test]
fn a_backend_that_starts_now_is_cold_to_a_node_whose_wall_clock_is_ahead() {
    let clock = clock("clock-ahead", HOUR, false);
    let traffic = Traffic::default();
    let addresses = start_backends(2, &traffic, |_, _| ok(b"x"));
    let warm = started("s-0", addresses[0], 7_200_000);
    let discovery = Discovery::start(vec![warm.clone()]);
    let node = node(discovery.address, &clock, |c| {
        c["settings"]["rules"]["coldMs"] = json!(3_600_000.0);
    });
    wait_for("the list was heard", || node.count_log_lines("discovery.listed") > 0);
    discovery.set_targets(vec![warm, started("s-1", addresses[1], 0)]);
    wait_for("it is listed", || cold(&node, "s-1").is_some());
    assert_eq!(cold(&node, "s-1"), Some(true));
    assert_eq!(cold(&node, "s-0"), Some(false), "which was there before, as far as anybody can tell");
}
