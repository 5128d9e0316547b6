//! The budget of a backend that has just started is kept by the fleet: by the sum of what all its processes send, however
//! unevenly clients are spread over them, and also by those that have just started.
mod node;

use node::*;
use serde_json::json;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime};

const NODES: usize = 20;
/// The settings' window ...
const FALL: Duration = Duration::from_millis(1500);
/// ... and what they allow in it up to 5 s after the start, as a multiple of what a warm one gets.
const SHARE: f64 = 2.0 * (0.02 + 0.98 * 5.0 / 200.0);

/// When each backend got a request; the last one is cold.
type Times = Arc<Vec<Mutex<Vec<Instant>>>>;

/// Most that came to it within a window.
fn most(times: &Mutex<Vec<Instant>>) -> f64 {
    let times = times.lock().unwrap();
    let within = |from: &Instant| times.iter().filter(|t| **t >= *from && **t < *from + FALL).count();
    times.iter().map(within).max().unwrap_or(0) as f64
}

/// What happens as a backend comes up cold.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Beside {
    /// Three of the nodes have just been started again.
    Starts,
    /// It was there before, warm, and is back under a burst of three times as many requests.
    Burst,
    /// Six of the nodes are upgraded: two processes each, of which the older ends its work.
    Upgrades,
}

fn one_budget(beside: Beside) {
    let times: Times = Arc::new((0..5).map(|_| Mutex::default()).collect());
    let addresses: Vec<_> = (0..5)
        .map(|n| {
            let times = times.clone();
            start_backend(&Traffic::default(), move |_, _| {
                times[n].lock().unwrap().push(Instant::now());
                ok(b"x")
            })
        })
        .collect();
    let all = all_up(&addresses);
    let warm = all[..4].to_vec();
    let first = if beside == Beside::Burst { all.clone() } else { warm.clone() };
    let discovery = Discovery::start(first.clone());
    let place = |slot: usize| scratch_dir(&format!("cold-{beside:?}-{slot}")).display().to_string();
    let start = |slot: usize| {
        let change = |c: &mut serde_json::Value| {
            c["settings"]["instances"] = NODES.into();
            c["settings"]["slotNo"] = slot.into();
            let rules = &mut c["settings"]["rules"];
            (rules["coldMs"], rules["startCapacity"]) = (200_000.into(), 0.02.into());
            (rules["fallMultiple"], rules["fallMs"]) = (2.0.into(), (FALL.as_millis() as u64).into());
            c["known"] = json!({"rev": 1, "all": true, "targets": first.clone()});
        };
        let node =
            Node::launch(discovery.address, change, &format!("TMPDIR='{}' exec \"$0\"", place(slot)));
        wait_for("/up is 200", || node.up_status() == 200);
        node
    };
    let mut nodes: Vec<Node> = (0..NODES).map(start).collect();
    // Half of the clients come to two of them, which send as fast as they are answered, the others seldom.
    let played = |nodes: &[Node], lasts: Duration, each: u64| {
        let end = Instant::now() + lasts;
        let clients: Vec<_> = (nodes.iter().enumerate())
            .map(|(n, node)| {
                let address = node.address;
                thread::spawn(move || {
                    let mut client = Client::connect(address);
                    while Instant::now() < end {
                        client.fetch(&request("page", 4000));
                        thread::sleep(Duration::from_millis(if n < 2 { 8 } else { 80 } / each));
                    }
                })
            })
            .collect();
        clients.into_iter().for_each(|c| c.join().unwrap());
    };
    played(&nodes, Duration::from_millis(1500), 1);
    let mut older = Vec::new();
    match beside {
        Beside::Starts => {
            for (slot, node) in nodes.iter_mut().enumerate().skip(NODES - 3) {
                *node = start(slot);
            }
        }
        Beside::Burst => {
            discovery.set_targets(warm.clone());
            wait_for("it is gone", || nodes.iter().all(|n| !n.call("stats").contains("\"s-4\"")));
        }
        Beside::Upgrades => {
            for (slot, node) in nodes.iter_mut().enumerate().take(6) {
                let next = node.start_successor(&format!("TMPDIR='{}' exec \"$0\"", place(slot)));
                wait_for("it serves", || next.try_call("health").is_some_and(|a| a.starts_with("OK")));
                older.push(std::mem::replace(node, next));
            }
        }
    }
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap().as_millis() as u64;
    let mut cold = target("s-4", addresses[4], "up");
    cold["boot_ms"] = now.into();
    discovery.set_targets(warm.iter().cloned().chain([cold]).collect());
    wait_for("it is known", || nodes.iter().all(|n| n.call("stats").contains("\"s-4\"")));
    times.iter().for_each(|t| t.lock().unwrap().clear());
    played(&nodes, Duration::from_millis(2000), if beside == Beside::Burst { 3 } else { 1 });
    let busiest = times[..4].iter().map(most).fold(0.0, f64::max);
    let came = most(&times[4]);
    let allowed = SHARE * busiest;
    println!("{beside:?}: {came} came, {allowed} allowed, warm {busiest}");
    assert!(busiest > 10.0, "hardly any request came: {busiest}");
    assert!(came <= allowed + 2.0 * allowed.sqrt() + 2.0, "{came} came, {allowed} allowed, warm {busiest}");
}

#[test]
fn twenty_processes_with_uneven_traffic_keep_one_budget_for_a_cold_backend() {
    one_budget(Beside::Starts);
}

#[test]
fn a_backend_back_cold_under_a_burst_gets_one_budget_of_twenty_processes() {
    one_budget(Beside::Burst);
}

#[test]
fn nodes_that_are_upgraded_keep_one_budget_for_a_cold_backend() {
    one_budget(Beside::Upgrades);
}
