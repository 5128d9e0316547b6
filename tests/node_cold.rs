//! The slow-start budget of a cold backend holds for the whole fleet: for the sum of what all its processes send,
//! however unevenly clients are spread over them, and also with processes that have just started.
mod node;

use node::*;
use serde_json::json;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

/// Number of nodes in the fleet.
const NODES: usize = 20;
/// The time window `fallMs` of the settings.
const WINDOW: Duration = Duration::from_millis(1500);
/// What the settings allow a cold backend within the window up to 5 s after its start, as a multiple of what a warm
/// one gets.
const COLD_SHARE: f64 = 2.0 * (0.02 + 0.98 * 5.0 / 200.0);

/// Arrival times of the requests at each backend; the last backend is cold.
type ArrivalTimes = Arc<Vec<Mutex<Vec<Instant>>>>;

/// Returns the greatest number of requests that arrived within one window.
fn max_in_window(times: &Mutex<Vec<Instant>>) -> f64 {
    let times = times.lock().unwrap();
    let count_from = |window_start: &Instant| {
        times.iter().filter(|t| **t >= *window_start && **t < *window_start + WINDOW).count()
    };
    times.iter().map(count_from).max().unwrap_or(0) as f64
}

/// What else happens while a backend comes up cold.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Event {
    /// Three of the nodes have just been restarted.
    Restarts,
    /// The backend was listed before, warm, and returns during a burst of three times as many requests.
    Burst,
    /// Six of the nodes are being upgraded: each has two processes, the older of which completes its requests.
    Upgrades,
}

/// Checks that the fleet keeps one budget for a cold backend during an event.
fn check_one_budget(event: Event) {
    let times: ArrivalTimes = Arc::new((0..5).map(|_| Mutex::default()).collect());
    let addresses: Vec<_> = (0..5)
        .map(|n| {
            let times = times.clone();
            start_backend(&Traffic::default(), move |_, _| {
                times[n].lock().unwrap().push(Instant::now());
                ok(b"x")
            })
        })
        .collect();
    let all_targets = all_up(&addresses);
    let warm = all_targets[..4].to_vec();
    let listed_at_start = if event == Event::Burst { all_targets.clone() } else { warm.clone() };
    let discovery = Discovery::start(listed_at_start.clone());
    let state_dir = |slot: usize| scratch_dir(&format!("cold-{event:?}-{slot}")).display().to_string();
    let start = |slot: usize| {
        let change = |c: &mut serde_json::Value| {
            c["settings"]["instances"] = NODES.into();
            c["settings"]["slotNo"] = slot.into();
            let rules = &mut c["settings"]["rules"];
            (rules["coldMs"], rules["startCapacity"]) = (200_000.into(), 0.02.into());
            (rules["fallMultiple"], rules["fallMs"]) = (2.0.into(), (WINDOW.as_millis() as u64).into());
            c["known"] = json!({"rev": 1, "all": true, "targets": listed_at_start.clone()});
        };
        let node =
            Node::launch(discovery.address, change, &format!("TMPDIR='{}' exec \"$0\"", state_dir(slot)));
        wait_for("/up is 200", || node.up_status() == 200);
        node
    };
    let mut nodes: Vec<Node> = (0..NODES).map(start).collect();
    // Uneven traffic: the clients of two nodes pause for 8 ms between requests, those of the others for 80 ms. About
    // half of all requests therefore reach two nodes.
    let send_requests = |nodes: &[Node], duration: Duration, rate_factor: u64| {
        let end = Instant::now() + duration;
        let clients: Vec<_> = (nodes.iter().enumerate())
            .map(|(n, node)| {
                let address = node.address;
                thread::spawn(move || {
                    let mut client = Client::connect(address);
                    while Instant::now() < end {
                        client.fetch(&request("page", 4000));
                        thread::sleep(Duration::from_millis(if n < 2 { 8 } else { 80 } / rate_factor));
                    }
                })
            })
            .collect();
        clients.into_iter().for_each(|c| c.join().unwrap());
    };
    send_requests(&nodes, Duration::from_millis(1500), 1);
    let mut old_processes = Vec::new();
    match event {
        Event::Restarts => {
            for (slot, node) in nodes.iter_mut().enumerate().skip(NODES - 3) {
                *node = start(slot);
            }
        }
        Event::Burst => {
            discovery.set_targets(warm.clone());
            wait_for("all nodes know that the backend is gone", || {
                nodes.iter().all(|n| !n.call("stats").contains("\"s-4\""))
            });
        }
        Event::Upgrades => {
            for (slot, node) in nodes.iter_mut().enumerate().take(6) {
                let next = node.start_successor(&format!("TMPDIR='{}' exec \"$0\"", state_dir(slot)));
                wait_for("the next process is healthy", || {
                    next.try_call("health").is_some_and(|a| a.starts_with("OK"))
                });
                old_processes.push(std::mem::replace(node, next));
            }
        }
    }
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap().as_millis() as u64;
    let mut cold = target("s-4", addresses[4], "up");
    cold["boot_ms"] = now.into();
    discovery.set_targets(warm.iter().cloned().chain([cold]).collect());
    wait_for("all nodes know the cold backend", || {
        nodes.iter().all(|n| n.call("stats").contains("\"s-4\""))
    });
    times.iter().for_each(|t| t.lock().unwrap().clear());
    send_requests(&nodes, Duration::from_millis(2000), if event == Event::Burst { 3 } else { 1 });
    let busiest = times[..4].iter().map(max_in_window).fold(0.0, f64::max);
    let arrived = max_in_window(&times[4]);
    let allowed = COLD_SHARE * busiest;
    println!("{event:?}: {arrived} arrived, {allowed} allowed, warm {busiest}");
    assert!(busiest > 10.0, "too few requests arrived: {busiest}");
    assert!(
        arrived <= allowed + 2.0 * allowed.sqrt() + 2.0,
        "{arrived} arrived, {allowed} allowed, warm {busiest}"
    );
}

#[test]
fn twenty_processes_with_uneven_traffic_keep_one_budget_for_a_cold_backend() {
    check_one_budget(Event::Restarts);
}

#[test]
fn a_backend_back_cold_under_a_burst_gets_one_budget_of_twenty_processes() {
    check_one_budget(Event::Burst);
}

#[test]
fn nodes_that_are_upgraded_keep_one_budget_for_a_cold_backend() {
    check_one_budget(Event::Upgrades);
}
