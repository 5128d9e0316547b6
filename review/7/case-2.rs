//! Clients that stop in the middle of a request, beside others whose bodies and answers are of 64 KiB: does the node
//! stay within its memory?

#[path = "../stand-ins-2/mod.rs"]
mod stand_ins;

use stand_ins::*;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

/// The limits that the node is told.
const MEMORY_MB: u32 = 48;
const SOCKETS: u32 = 384;
/// A third of the descriptors.
const CLIENTS: usize = SOCKETS as usize / 3;
/// With the others they leave some forty descriptors that the node has for clients and for itself.
const BAD_CLIENTS: usize = 178;
const SECONDS: u64 = 25;
const BODY_BYTES: usize = 64 * 1024;
const WORK_MS: u64 = 250;
/// Each client waits so long after an answer.
const PAUSE_MS: u64 = 20;

/// The resident memory of a process in KiB.
fn memory_kb(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    line.and_then(|l| l.trim().trim_end_matches(" kB").parse().ok()).unwrap_or(0)
}

/// Sends the head of an order and all of its body but the last bytes, then waits for the end.
fn stop_in_the_middle(address: std::net::SocketAddr) {
    let Ok(mut client) = Client::connect(address) else {
        thread::sleep(ms(50));
        return;
    };
    let order = request(&fresh_id(), "order", "at_most_once", 1000, &vec![b'b'; BODY_BYTES]);
    if client.send(&order[..order.len() - 36]).is_ok() {
        let _ = client.receive(ms(6000));
    }
}

fn main() {
    watchdog(ms(100_000));
    let record = Record::open();
    let mut targets = Vec::new();
    for n in 0..12 {
        let record = record.clone();
        let address = config_server(move |request, _, _| {
            thread::sleep(ms(WORK_MS));
            record.log(&format!("s-{n}: ran {}", request.id()));
            Act::Write(response("200 OK", "", &vec![b'a'; BODY_BYTES]))
        });
        targets.push(Target::up(&format!("s-{n}"), address, "monza-a"));
    }
    let discovery = Discovery::start(targets);
    let node = Node::start(
        &Settings { memory_mb: MEMORY_MB, sockets: SOCKETS, ..Settings::default() },
        discovery.address,
    );
    record.log(&format!("the node is ready with {} KiB", memory_kb(node.pid)));
    let end = Instant::now() + ms(SECONDS * 1000);
    let tally: Arc<Mutex<BTreeMap<u16, u64>>> = Arc::default();
    let small = || thread::Builder::new().stack_size(256 * 1024);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let (record, address, tally) = (record.clone(), node.address, tally.clone());
            let client = move || {
                thread::sleep(ms(n as u64 * PAUSE_MS / CLIENTS as u64));
                let mut open: Option<Client> = None;
                while Instant::now() < end {
                    let Some(mut client) = open.take().or_else(|| Client::connect(address).ok()) else {
                        thread::sleep(ms(100));
                        continue;
                    };
                    let id = fresh_id();
                    record.log(&format!("client {n}: sends {id}"));
                    let order = request(&id, "order", "at_most_once", 1000, &vec![b'o'; BODY_BYTES]);
                    let answer = client.fetch(&order, ms(3000));
                    record.log(&format!("client {n}: {id} got {:?}", answer.as_ref().map(Message::status)));
                    // 0 stands for no answer, on a connection that was closed before.
                    *tally
                        .lock()
                        .unwrap()
                        .entry(answer.as_ref().map_or(0, Message::status))
                        .or_default() += 1;
                    if answer.is_ok_and(|a| a.header("connection").is_none_or(|c| c != "close")) {
                        open = Some(client);
                    }
                    thread::sleep(ms(PAUSE_MS));
                }
            };
            small().spawn(client)
        })
        .collect();
    if trouble() {
        for _ in 0..BAD_CLIENTS {
            let address = node.address;
            let _ = small().spawn(move || {
                while Instant::now() < end {
                    stop_in_the_middle(address);
                }
            });
        }
        record.log(&format!("{BAD_CLIENTS} clients stop in the middle of a request, again and again"));
    }
    let mut broken = Vec::new();
    let (mut most, mut said) = (0, Instant::now());
    while Instant::now() < end && broken.is_empty() {
        let used = memory_kb(node.pid);
        most = most.max(used);
        if said.elapsed() >= ms(500) {
            said = Instant::now();
            record.log(&format!("{used} KiB; answers by status {:?}", tally.lock().unwrap()));
        }
        if used > u64::from(MEMORY_MB) * 1024 {
            record.log(&format!("the platform kills the node: {used} KiB of {MEMORY_MB} MB"));
            send_signal(node.pid, SIGKILL);
            broken.push(format!("the node used {used} KiB of {MEMORY_MB} MB and was killed"));
        }
        thread::sleep(ms(10));
    }
    if broken.is_empty() {
        for client in clients.into_iter().flatten() {
            let _ = client.join();
        }
    }
    let tally = tally.lock().unwrap();
    record.log(&format!("at most {most} KiB; answers by status {tally:?}"));
    if broken.is_empty() && tally.get(&200).is_none_or(|served| *served < 1000) {
        record.no_result("hardly any request was served");
    }
    record.verdict(&broken)
}
