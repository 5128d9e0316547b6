//! A config server gives some answers twice, the second some milliseconds late. Whose answer does a client get?

#[path = "../stand-ins-2/mod.rs"]
mod stand_ins;

use stand_ins::*;
use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

const SECONDS: u64 = 30;
const CLIENTS: usize = 8;
/// One answer in so many is spoilt.
const SPOILT_ONE_IN: u64 = 50;
/// The work of one request.
const WORK_MS: u64 = 40;
/// How late the second answer comes.
const LATE_MS: u64 = 8;

fn main() {
    watchdog(ms(100_000));
    let record = Record::open();
    let trouble = trouble();
    let answers = Arc::new(AtomicU64::new(0));
    let zones = ["monza-a", "monza-b", "seregno-a"];
    let mut targets = Vec::new();
    for (n, zone) in zones.iter().enumerate() {
        let (answers, record) = (answers.clone(), record.clone());
        let address = config_server(move |request, connection, stream| {
            let id = request.id();
            thread::sleep(ms(WORK_MS));
            let answer = response("200 OK", "", format!("configuration for request {id}").as_bytes());
            let nth = answers.fetch_add(1, Ordering::SeqCst);
            record.log(&format!("server {n} connection {connection}: ran {id}, answered"));
            if trouble && nth % SPOILT_ONE_IN == SPOILT_ONE_IN - 1 {
                if stream.write_all(&answer).is_err() {
                    return Act::Close;
                }
                thread::sleep(ms(LATE_MS));
                record.log(&format!("server {n} connection {connection}: the answer to {id} a second time, {LATE_MS} ms late"));
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
                    let answer = open.fetch(&request(&id, "catalogue", "idempotent", 600, b""), ms(3000));
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
                        if body != format!("configuration for request {id}") {
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
    let broken = broken.lock().unwrap().clone();
    record.verdict(&broken)
}
