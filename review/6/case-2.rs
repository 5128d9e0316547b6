//! Config servers give some answers twice, the second some milliseconds late. Whose answer does a client get, and how
//! often does an order run?

#[path = "../stand-ins-2/mod.rs"]
mod stand_ins;

use stand_ins::*;
use std::collections::BTreeMap;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

const SECONDS: u64 = 30;
const CLIENTS: usize = 8;
/// One request in so many is turned away, with the word that it never ran.
const FULL_ONE_IN: u64 = 25;
/// One answer in so many is spoilt, of those that were served and of those that were turned away.
const SPOILT_ONE_IN: u64 = 50;
const SPOILT_FULL_ONE_IN: u64 = 2;
/// The work of one request.
const WORK_MS: u64 = 40;
/// How late the second answer comes.
const LATE_MS: u64 = 8;

fn main() {
    watchdog(ms(100_000));
    let record = Record::open();
    let trouble = trouble();
    let asked = Arc::new(AtomicU64::new(0));
    // The config servers that ran an order, by its id.
    let runs: Arc<Mutex<BTreeMap<String, Vec<usize>>>> = Arc::default();
    let zones = ["monza-a", "monza-b", "seregno-a"];
    let mut targets = Vec::new();
    for (n, zone) in zones.iter().enumerate() {
        let (asked, record, runs) = (asked.clone(), record.clone(), runs.clone());
        let address = config_server(move |request, connection, stream| {
            let id = request.id();
            let nth = asked.fetch_add(1, Ordering::SeqCst);
            let (answer, is_spoilt) = if nth % FULL_ONE_IN == 0 {
                record.log(&format!("server {n} connection {connection}: turns {id} away"));
                let is_spoilt = nth / FULL_ONE_IN % SPOILT_FULL_ONE_IN == 0;
                (response("503 Service Unavailable", "X-Never-Ran: 1\r\n", b""), is_spoilt)
            } else {
                runs.lock().unwrap().entry(id.clone()).or_default().push(n);
                thread::sleep(ms(WORK_MS));
                record.log(&format!("server {n} connection {connection}: ran {id}, answers"));
                let answer = response("200 OK", "", format!("order of request {id}").as_bytes());
                (answer, nth % SPOILT_ONE_IN == 1)
            };
            if trouble && is_spoilt {
                if stream.write_all(&answer).is_err() {
                    return Act::Close;
                }
                thread::sleep(ms(LATE_MS));
                record.log(&format!(
                    "server {n} connection {connection}: the answer to {id} a second time, {LATE_MS} ms late"
                ));
            }
            Act::Write(answer)
        });
        targets.push(Target::up(&format!("s-{n}"), address, zone));
    }
    let discovery = Discovery::start(targets);
    let node = Node::start(&Settings::default(), discovery.address);
    let end = Instant::now() + ms(SECONDS * 1000);
    let counts = Arc::new(Mutex::new((0_u64, 0_u64)));
    let broken = Arc::new(Mutex::new(Vec::new()));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let (record, counts, broken, address) =
                (record.clone(), counts.clone(), broken.clone(), node.address);
            thread::spawn(move || {
                let mut client = None;
                while Instant::now() < end {
                    let Some(open) = client.take().or_else(|| Client::connect(address).ok()) else {
                        continue;
                    };
                    let mut open: Client = open;
                    let id = fresh_id();
                    record.log(&format!("client {n}: sent {id}"));
                    let answer = open
                        .fetch(&request(&id, "order", "at_most_once", 1000, b"{\"window\":1}"), ms(3000));
                    let Ok(answer) = answer else {
                        record.log(&format!("client {n}: no whole answer to {id}"));
                        continue;
                    };
                    let body = String::from_utf8_lossy(&answer.body).into_owned();
                    record.log(&format!("client {n}: {id} got {} {:?}", answer.status(), body));
                    let mut counts = counts.lock().unwrap();
                    counts.0 += 1;
                    if answer.status() == 200 {
                        counts.1 += 1;
                        if body != format!("order of request {id}") {
                            broken
                                .lock()
                                .unwrap()
                                .push(format!("client {n} sent {id} and got 200 with {body:?}"));
                        }
                    }
                    drop(counts);
                    if answer.header("connection").is_none_or(|c| c != "close") {
                        client = Some(open);
                    }
                    thread::sleep(ms(30 + n as u64));
                }
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    let (answered, served) = *counts.lock().unwrap();
    record.log(&format!("answered {answered}, served {served}"));
    if served < 500 {
        record.no_result("hardly any request was served");
    }
    let mut broken = broken.lock().unwrap().clone();
    let foreign = broken.len();
    let runs = runs.lock().unwrap();
    let twice = runs.iter().filter(|(_, at)| at.len() > 1);
    broken.extend(twice.map(|(id, at)| format!("order {id} ran at the servers {at:?}")));
    let summary = format!("{foreign} foreign answers, {} orders that ran twice", broken.len() - foreign);
    record.log(&summary);
    println!("{summary}");
    broken.reverse();
    record.verdict(&broken)
}
