//! One of eight config servers begins to fail, all of them in one hall, while clients take long answers from it that
//! the config servers go on giving. Are the answers finished?

#[path = "../stand-ins-2/mod.rs"]
mod stand_ins;

use stand_ins::*;
use std::io::Write;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const LONG_BYTES: usize = 3_000_000;
const PIECES: usize = 300;
/// The long answers take this long in all.
const PIECE_EVERY_MS: u64 = 20;
const LONG_CLIENTS: usize = 48;

fn main() {
    watchdog(ms(100_000));
    let record = Record::open();
    let trouble = trouble();
    let failing = flag();
    let given: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut targets = Vec::new();
    // Sixteen config servers; the two of seregno-b are the ones that fail: one of eight.
    for (short, zone, count) in [("mb", "monza-b", 7), ("sa", "seregno-a", 7), ("sb", "seregno-b", 2)] {
        for n in 0..count {
            let name = format!("{short}-{n}");
            let (record, uid, failing, given) =
                (record.clone(), name.clone(), failing.clone(), given.clone());
            let is_bad = zone == "seregno-b";
            let address = config_server(move |request, _, stream| {
                let id = request.id();
                if is_bad && failing.load(Ordering::SeqCst) {
                    record.log(&format!("{uid}: answers {id} with 500"));
                    return Act::Write(response("500 Internal Server Error", "", b""));
                }
                if request.header("x-props") != Some("long=1") {
                    thread::sleep(ms(15));
                    record.log(&format!("{uid}: ran {id}"));
                    return Act::Write(response("200 OK", "", format!("for {id}").as_bytes()));
                }
                record.log(&format!("{uid}: gives the long answer to {id}"));
                let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {LONG_BYTES}\r\n\r\n");
                if stream.write_all(head.as_bytes()).is_err() {
                    return Act::Close;
                }
                for piece in 0..PIECES {
                    if stream.write_all(&[b'p'; LONG_BYTES / PIECES]).is_err() {
                        record.log(&format!(
                            "{uid}: the connection was ended under {id} after {piece} of {PIECES} pieces"
                        ));
                        return Act::Close;
                    }
                    thread::sleep(ms(PIECE_EVERY_MS));
                }
                record.log(&format!("{uid}: gave the whole answer to {id}"));
                given.lock().unwrap().push(id);
                Act::Write(Vec::new())
            });
            targets.push(Target::up(&name, address, zone));
        }
    }
    let discovery = Discovery::start(targets);
    let node = Node::start(
        &Settings { zone: "monza-a", options: "[topology]\non = true\n", ..Settings::default() },
        discovery.address,
    );
    let end = Instant::now() + ms(16_000);
    let load: Vec<_> = (0..10)
        .map(|n| {
            let (record, address) = (record.clone(), node.address);
            thread::spawn(move || {
                while Instant::now() < end {
                    let Ok(mut client) = Client::connect(address) else { continue };
                    for _ in 0..20 {
                        let id = fresh_id();
                        record.log(&format!("short client {n}: sends {id}"));
                        let bytes = request(&id, "catalogue", "idempotent", 600, b"");
                        let answer = client.fetch(&bytes, ms(3000));
                        record.log(&format!(
                            "short client {n}: {id} got {:?}",
                            answer.as_ref().map(Message::status)
                        ));
                        if answer.is_err() {
                            break;
                        }
                        thread::sleep(ms(10 + n));
                    }
                }
            })
        })
        .collect();
    thread::sleep(ms(2500));
    let broken: Arc<Mutex<Vec<String>>> = Arc::default();
    let long: Vec<_> = (0..LONG_CLIENTS)
        .map(|n| {
            let (record, broken, address) = (record.clone(), broken.clone(), node.address);
            thread::spawn(move || {
                let id = fresh_id();
                let text = String::from_utf8(request(&id, "catalogue", "idempotent", 600, b"")).unwrap();
                let text = text.replace("\r\n\r\n", "\r\nX-Props: long=1\r\n\r\n");
                let Ok(mut client) = Client::connect(address) else { return };
                let answer = client.fetch(text.as_bytes(), Duration::from_secs(12));
                record.log(&format!(
                    "client {n}: {id} got {:?}",
                    answer.as_ref().map(|a| (a.status(), a.body.len()))
                ));
                if answer.is_err() {
                    broken.lock().unwrap().push(format!("the long answer to {id} was cut off"));
                }
            })
        })
        .collect();
    thread::sleep(ms(1000));
    if trouble {
        record.log(
            "sb-0 and sb-1 answer new requests with 500 from now on, and go on giving the long answers",
        );
        failing.store(true, Ordering::SeqCst);
    }
    for t in long {
        let _ = t.join();
    }
    for t in load {
        let _ = t.join();
    }
    for line in node.log_text().lines().filter(|l| l.contains("zone.turned")) {
        record.log(&format!("node: {line}"));
    }
    let broken = broken.lock().unwrap().clone();
    record.verdict(&broken)
}
