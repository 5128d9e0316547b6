//! A node is upgraded while discovery is down. Does it still know which config server drains?

#[path = "../stand-ins-2/mod.rs"]
mod stand_ins;

use stand_ins::*;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

/// How long discovery is down.
const OUTAGE_MS: u64 = 8000;
/// The longest deadline of the settings and 0.7 s.
const SIGKILL_MS: u64 = 2700;
/// News binds from 2 s after the yes; then the drain grace and 50 ms by which every time limit is longer on sockets.
const BINDS_MS: u64 = 2000 + 500 + 50;

fn main() {
    watchdog(ms(100_000));
    let record = Record::open();
    let got: Arc<Mutex<Vec<(Instant, String)>>> = Arc::default();
    let mut targets = Vec::new();
    for n in 0..4 {
        let (record, got) = (record.clone(), got.clone());
        let address = config_server(move |request, _, _| {
            let id = request.id();
            if n == 0 {
                got.lock().unwrap().push((request.began.unwrap(), id.clone()));
            }
            record.log(&format!("s-{n}: got and runs {id}"));
            thread::sleep(ms(15));
            Act::Write(response("200 OK", "", format!("for {id}").as_bytes()))
        });
        targets.push(Target::up(&format!("s-{n}"), address, "monza-a"));
    }
    let leaving = Target { state: "draining", ..targets[0].clone() };
    let discovery = Discovery::start(targets.clone());
    let settings = Settings { known: targets, ..Settings::default() };
    let mut node = Node::start(&settings, discovery.address);
    let stop = flag();
    let load: Vec<_> = (0..4)
        .map(|n| {
            let (record, address, stop) = (record.clone(), node.address, stop.clone());
            thread::spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    let Ok(mut client) = Client::connect(address) else { continue };
                    for _ in 0..10 {
                        let id = fresh_id();
                        record.log(&format!("client {n}: sends {id}"));
                        let bytes = request(&id, "order", "at_most_once", 1000, b"{}");
                        let Ok(answer) = client.fetch(&bytes, ms(3000)) else {
                            record.log(&format!("client {n}: {id} got no whole answer"));
                            break;
                        };
                        record.log(&format!("client {n}: {id} got {}", answer.status()));
                        if answer.header("connection").is_some_and(|c| c == "close") {
                            break;
                        }
                        thread::sleep(ms(25 + n));
                    }
                }
            })
        })
        .collect();
    thread::sleep(ms(2000));
    let before = got.lock().unwrap().len();
    discovery.set(leaving);
    let told = Instant::now();
    record.log(&format!("s-0 drains, and the node's watch is told; it has got {before} requests so far"));
    thread::sleep(ms(3000));
    if trouble() {
        discovery.set_down(true);
        record.log("discovery is down");
    }
    let down = Instant::now();
    thread::sleep(ms(1000));
    record.log("upgrade: run is started again beside the old process");
    let mut new = node.launch_successor();
    let end = Instant::now() + ms(6000);
    while !new.call("health").is_ok_and(|a| a.starts_with("OK")) {
        if Instant::now() > end {
            record.no_result("the new process does not say yes within 6 s");
        }
        thread::sleep(ms(20));
    }
    let yes = Instant::now();
    record.log("upgrade: the new process says yes, SIGTERM to the old one");
    send_signal(node.pid, SIGTERM);
    while node.runs() && yes.elapsed() < ms(SIGKILL_MS) {
        thread::sleep(ms(10));
    }
    if node.runs() {
        send_signal(node.pid, SIGKILL);
        record.log("upgrade: SIGKILL to the old process");
    }
    thread::sleep(ms(OUTAGE_MS).saturating_sub(down.elapsed()));
    discovery.set_down(false);
    record.log("discovery answers");
    thread::sleep(ms(4000));
    stop.store(true, Ordering::SeqCst);
    for thread in load {
        let _ = thread.join();
    }
    if !new.runs() {
        record.no_result("the new process has ended");
    }
    let got = got.lock().unwrap();
    if before == 0 {
        record.no_result("s-0 got no request before it drained");
    }
    let grace = |at: Instant| at > told + ms(550) && at < yes;
    let early = got.iter().filter(|(at, _)| grace(*at)).count();
    record.log(&format!("s-0 got {early} requests between the grace and the yes"));
    let late: Vec<String> = (got.iter())
        .filter(|(at, _)| *at > yes + ms(BINDS_MS))
        .map(|(at, id)| format!("s-0 got {id} {} ms after the yes", at.duration_since(yes).as_millis()))
        .collect();
    record.verdict(&late)
}
