//! An operator takes a config server out at a node, and the node is upgraded. Does the config server stay out?

#[path = "../stand-ins-2/mod.rs"]
mod stand_ins;

use stand_ins::*;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

/// The drain grace of the settings, and 50 ms by which every time limit is longer on sockets.
const GRACE_MS: u64 = 550;

fn expect_yes(record: &Record, node: &Node, line: &str) {
    let answer = node.call(line).unwrap_or_else(|e| format!("no answer: {e}"));
    record.log(&format!("operator: {line} -> {answer}"));
    if !answer.starts_with("OK") {
        record.no_result("an operator's call was refused");
    }
}

fn main() {
    watchdog(ms(100_000));
    let record = Record::open();
    let trouble = trouble();
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
            thread::sleep(ms(10));
            Act::Write(response("200 OK", "", format!("for {id}").as_bytes()))
        });
        targets.push(Target::up(&format!("s-{n}"), address, "monza-a"));
    }
    let discovery = Discovery::start(targets);
    let peers = vec![free_udp_address(), free_udp_address()];
    let settings = |slot| Settings {
        instances: 2,
        slot,
        peers: peers.clone(),
        options: "[share]\non = true\n",
        ..Settings::default()
    };
    let node = Node::start(&settings(0), discovery.address);
    let other = Node::start(&settings(1), discovery.address);
    let stop = flag();
    let load: Vec<_> = (0..4)
        .map(|n| {
            let (record, address, stop) = (record.clone(), node.address, stop.clone());
            thread::spawn(move || {
                while !stop.load(std::sync::atomic::Ordering::SeqCst) {
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
                        thread::sleep(ms(20 + n));
                    }
                }
            })
        })
        .collect();
    thread::sleep(ms(2000));
    // Earlier in the day: s-0 is taken out of use in the whole fleet, and put back.
    expect_yes(&record, &other, "cordon --fleet s-0");
    thread::sleep(ms(2000));
    expect_yes(&record, &other, "uncordon --fleet s-0");
    thread::sleep(ms(3000));
    let before = got.lock().unwrap().len();
    record.log(&format!("s-0 has got {before} requests so far"));
    // Now the operator takes s-0 out at one node.
    expect_yes(&record, &node, "cordon s-0");
    let out_since = Instant::now();
    thread::sleep(ms(3000));
    let mut last = None;
    if trouble {
        record.log("upgrade: run is started again beside the old process");
        let new = node.launch_successor();
        let end = Instant::now() + ms(6000);
        while !new.call("health").is_ok_and(|a| a.starts_with("OK")) {
            if Instant::now() > end {
                record.no_result("the new process does not say yes within 6 s");
            }
            thread::sleep(ms(50));
        }
        record.log("upgrade: the new process says yes, SIGTERM to the old one");
        send_signal(node.pid, SIGTERM);
        last = Some(new);
    }
    thread::sleep(ms(9000));
    stop.store(true, std::sync::atomic::Ordering::SeqCst);
    for t in load {
        let _ = t.join();
    }
    if let Some(new) = &last {
        for line in
            new.log_text().lines().filter(|l| l.contains("operators_word") || l.contains("still_out"))
        {
            record.log(&format!("new process: {line}"));
        }
    }
    let got = got.lock().unwrap();
    if before == 0 {
        record.no_result("s-0 got no request before the call");
    }
    let late: Vec<String> = (got.iter())
        .filter(|(at, _)| at.saturating_duration_since(out_since) > ms(GRACE_MS))
        .map(|(at, id)| {
            format!(
                "s-0 got {id} {} ms after the yes to cordon",
                at.saturating_duration_since(out_since).as_millis()
            )
        })
        .collect();
    record.verdict(&late)
}
