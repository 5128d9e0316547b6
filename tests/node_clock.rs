//! Steps of the wall clock under a running node, and nodes whose wall clock is wrong. Deadlines, time windows, waits
//! and grace periods must follow the monotonic clock. The discovery service reports the start of a backend in its own
//! wall-clock time, which may differ from the node's.
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

/// Returns the path of the preloaded library, which cargo builds beside this test.
fn fault_library() -> PathBuf {
    let test_binary = std::env::current_exe().unwrap();
    let folders = test_binary.ancestors().skip(1).take(2);
    let found = folders.map(|folder| folder.join("libdaleturn_faults.so")).find(|path| path.exists());
    found.expect("libdaleturn_faults.so beside the test")
}

/// Starts a node whose wall clock is set by the offset in the file `clock`.
fn start_node(discovery: SocketAddr, clock: &Path, change: impl FnOnce(&mut Value)) -> Node {
    let command = format!(
        "LD_PRELOAD='{}' {OFFSET_FILE}='{}' exec \"$0\"",
        fault_library().display(),
        clock.display()
    );
    let node = Node::launch(discovery, change, &command);
    wait_for("/up is 200", || node.up_status() == 200);
    node
}

/// Creates a clock file whose offset is `offset` ahead of the real time, or behind it if `behind`.
fn create_clock(name: &str, offset: Duration, behind: bool) -> PathBuf {
    let clock = scratch_dir(name).join("clock");
    set_offset(&clock, offset, behind).unwrap();
    clock
}

/// Thread that steps a clock every 15 ms, forward and back, by seconds and by an hour, until it is dropped.
struct ClockStepper {
    stop: Arc<AtomicBool>,
    thread: Option<thread::JoinHandle<()>>,
}

impl ClockStepper {
    fn start(clock: &Path) -> ClockStepper {
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
        ClockStepper { stop, thread: Some(thread) }
    }
}

impl Drop for ClockStepper {
    fn drop(&mut self) {
        self.stop.store(true, SeqCst);
        drop(self.thread.take().map(thread::JoinHandle::join));
    }
}

fn wall_ms() -> u64 {
    u64::try_from(SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis()).unwrap()
}

/// Returns the list entry of a backend that started `ms_ago` milliseconds ago.
fn entry_started_ago(uid: &str, address: SocketAddr, ms_ago: u64) -> Value {
    let mut target = target(uid, address, "up");
    target["boot_ms"] = (wall_ms() - ms_ago).into();
    target
}

/// True if the node takes the backend for cold; None if the node does not know the backend.
fn is_cold(node: &Node, uid: &str) -> Option<bool> {
    let stats: Value = serde_json::from_str(node.call("stats").trim_start_matches("OK ")).unwrap();
    stats["backends"].as_array()?.iter().find(|b| b["id"] == uid)?["cold"].as_bool()
}

#[test]
fn the_preloaded_library_steps_the_wall_clock_of_its_process() {
    let clock = create_clock("clock-library", HOUR, true);
    let traffic = Traffic::default();
    let address = start_backends(1, &traffic, |_, _| ok(b"x"))[0];
    let discovery = Discovery::start(all_up(&[address]));
    let mut node = start_node(discovery.address, &clock, |_| {});
    set_offset(&clock, 10 * HOUR, false).unwrap();
    node.set_discovery(Some(discovery.address));
    wait_for("the new configuration is taken", || node.count_log_lines("config.taken") > 0);
    node.terminate();
    node.wait_for_exit();
    let log = node.log();
    let date_and_hour = |line: &str| line[..13].to_owned();
    let time_of =
        |event: &str| date_and_hour(log.lines().find(|line| line.contains(event)).expect("logged"));
    assert_ne!(
        time_of("node.serving"),
        time_of("config.taken"),
        "the wall-clock time in the log must step by 11 hours"
    );
}

#[test]
fn wall_clock_steps_change_no_deadline_no_watch_and_no_exit() {
    for mode in ["pushed", "on_request"] {
        let clock = create_clock(&format!("clock-steps-{mode}"), Duration::ZERO, false);
        let stepper = ClockStepper::start(&clock);
        let traffic = Traffic::default();
        let address = start_backends(1, &traffic, |_, _| Action::Silent)[0];
        let discovery = Discovery::start(all_up(&[address]));
        let mut node = start_node(discovery.address, &clock, |c| {
            c["settings"]["membershipMode"] = mode.into();
            c["settings"]["rules"]["mustAskInMs"] = 1000.into();
        });
        let sent_at = Instant::now();
        assert_ne!(fetch(node.address, &request("bid", 600)).status(), 200, "{mode}");
        assert!(
            sent_at.elapsed() > Duration::from_millis(400),
            "{mode}: failed after {:?}",
            sent_at.elapsed()
        );
        let limit_ms =
            traffic.requests.lock().unwrap()[0].header("x-expires-in-ms").unwrap().parse::<u64>();
        assert!(
            (1..=600).contains(&limit_ms.clone().unwrap()),
            "{mode}: the backend received {limit_ms:?}"
        );
        // The open watch gets no answer; a later call reports the drain.
        discovery.set_silent(true);
        discovery.set_targets(vec![target("s-0", address, "draining")]);
        let calls = discovery.call_count();
        wait_for("the discovery service is asked again", || discovery.call_count() > calls);
        discovery.set_silent(false);
        wait_for("the node knows of the drain", || node.up_status() == 503);
        node.terminate();
        assert!(node.wait_for_exit().success(), "{mode}");
        drop(stepper);
    }
}

#[test]
fn a_backend_that_started_long_ago_is_warm_to_a_node_whose_wall_clock_is_behind() {
    let clock = create_clock("clock-behind", HOUR, true);
    let traffic = Traffic::default();
    let address = start_backends(1, &traffic, |_, _| ok(b"x"))[0];
    let discovery = Discovery::start(vec![entry_started_ago("s-0", address, 1_800_000)]);
    let node = start_node(discovery.address, &clock, |c| {
        c["settings"]["rules"]["coldMs"] = json!(1000.0);
    });
    wait_for("the backend is warm", || is_cold(&node, "s-0") == Some(false));
}

#[test]
fn a_backend_that_starts_now_is_cold_to_a_node_whose_wall_clock_is_ahead() {
    let clock = create_clock("clock-ahead", HOUR, false);
    let traffic = Traffic::default();
    let addresses = start_backends(2, &traffic, |_, _| ok(b"x"));
    let warm = entry_started_ago("s-0", addresses[0], 7_200_000);
    let discovery = Discovery::start(vec![warm.clone()]);
    let node = start_node(discovery.address, &clock, |c| {
        c["settings"]["rules"]["coldMs"] = json!(3_600_000.0);
    });
    wait_for("the node has the list", || node.count_log_lines("discovery.listed") > 0);
    discovery.set_targets(vec![warm, entry_started_ago("s-1", addresses[1], 0)]);
    wait_for("the new backend is listed", || is_cold(&node, "s-1").is_some());
    assert_eq!(is_cold(&node, "s-1"), Some(true));
    assert_eq!(is_cold(&node, "s-0"), Some(false), "a backend of the first list is warm");
}

/// Guards against the order of two processes, and the age of a backend, that follow a step of the wall clock between
/// the starts of the two: the old process took itself for the newer one, and told clients' proxies that it stops.
#[test]
fn a_step_between_the_processes_of_an_upgrade_changes_neither_their_order_nor_the_age_of_a_backend() {
    for behind in [true, false] {
        let clock = create_clock(&format!("clock-upgrade-{behind}"), Duration::ZERO, false);
        let traffic = Traffic::default();
        let addresses = start_backends(2, &traffic, |_, _| ok(b"x"));
        let warm = entry_started_ago("s-0", addresses[0], 7_200_000);
        let discovery = Discovery::start(vec![warm.clone()]);
        let command = format!(
            "TMPDIR='{}' LD_PRELOAD='{}' {OFFSET_FILE}='{}' exec \"$0\"",
            clock.parent().unwrap().display(),
            fault_library().display(),
            clock.display()
        );
        let mut old = Node::launch(
            discovery.address,
            |c| c["settings"]["rules"]["coldMs"] = json!(1_800_000.0),
            &command,
        );
        wait_for("the node has the list", || old.count_log_lines("discovery.listed") > 0);
        discovery.set_targets(vec![warm, entry_started_ago("s-1", addresses[1], 0)]);
        wait_for("the new backend is listed", || is_cold(&old, "s-1") == Some(true));
        discovery.set_down(true);
        set_offset(&clock, HOUR, behind).unwrap();
        let mut new = old.start_successor(&command);
        wait_for("the new process is healthy", || {
            new.try_call("health").is_some_and(|a| a.starts_with("OK"))
        });
        assert_eq!((is_cold(&new, "s-0"), is_cold(&new, "s-1")), (Some(false), Some(true)), "{behind}");
        old.terminate();
        assert!(old.wait_for_exit().success());
        assert!(old.log().contains("successor=true"), "{behind}: {}", old.log());
        assert_eq!(new.up_status(), 200);
        new.kill();
        assert!(new.log().contains("role=\"new of two\""), "{behind}: {}", new.log());
    }
}
