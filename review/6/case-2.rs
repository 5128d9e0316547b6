//! A node is told to end while clients take long answers. Are the answers finished?

#[path = "../stand-ins-2/mod.rs"]
mod stand_ins;

use stand_ins::*;
use std::io::Write;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const CLIENTS: usize = 8;
const LONG_BYTES: usize = 3_000_000;
/// The longest deadline of the settings.
const LONGEST_MS: u64 = 2000;
/// The config servers give the end of the long answers this long after SIGTERM: 0.1 s before the earliest SIGKILL.
const ENDS_MS: u64 = LONGEST_MS + 600;
/// SIGKILL follows no sooner than the longest deadline plus 0.7 s.
const SIGKILL_MS: u64 = LONGEST_MS + 1000;

fn main() {
    watchdog(ms(60_000));
    let record = Record::open();
    let trouble = trouble();
    let told: Arc<Mutex<Option<Instant>>> = Arc::default();
    let mut targets = Vec::new();
    for n in 0..3 {
        let (record, told) = (record.clone(), told.clone());
        let address = config_server(move |request, _, stream| {
            let id = request.id();
            record.log(&format!("s-{n}: begins the answer to {id}"));
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {LONG_BYTES}\r\n\r\n");
            if stream.write_all(head.as_bytes()).is_err() {
                return Act::Close;
            }
            let piece = vec![b'p'; 10_000];
            let mut written = 0;
            loop {
                let told = *told.lock().unwrap();
                if told.is_some_and(|told| told.elapsed() >= ms(ENDS_MS)) {
                    break;
                }
                if written + 2 * piece.len() < LONG_BYTES {
                    if stream.write_all(&piece).is_err() {
                        record.log(&format!(
                            "s-{n}: the connection was ended under {id} after {written} bytes"
                        ));
                        return Act::Close;
                    }
                    written += piece.len();
                }
                thread::sleep(ms(15));
            }
            record.log(&format!("s-{n}: gives the rest of the answer to {id}"));
            Act::Write(vec![b'p'; LONG_BYTES - written])
        });
        targets.push(Target::up(&format!("s-{n}"), address, "monza-a"));
    }
    let discovery = Discovery::start(targets);
    let mut node = Node::start(&Settings::default(), discovery.address);
    let broken: Arc<Mutex<Vec<String>>> = Arc::default();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let (record, broken, address, told) =
                (record.clone(), broken.clone(), node.address, told.clone());
            thread::spawn(move || {
                let id = fresh_id();
                record.log(&format!("client {n}: sends catalogue {id}"));
                let Ok(mut client) = Client::connect(address) else { return };
                let answer = client
                    .fetch(&request(&id, "catalogue", "idempotent", 600, b""), Duration::from_secs(12));
                let after = told.lock().unwrap().map_or(0, |told| told.elapsed().as_millis());
                record.log(&format!(
                    "client {n}: {id} got {:?}",
                    answer.as_ref().map(|a| (a.status(), a.body.len()))
                ));
                if answer.is_err() && (!trouble || after < u128::from(SIGKILL_MS)) {
                    broken
                        .lock()
                        .unwrap()
                        .push(format!("the long answer to {id} was cut off {after} ms after SIGTERM"));
                }
            })
        })
        .collect();
    thread::sleep(ms(1000));
    let at = Instant::now();
    if trouble {
        send_signal(node.pid, SIGTERM);
        record.log("SIGTERM");
    }
    *told.lock().unwrap() = Some(at);
    if trouble {
        let mut ended = false;
        while at.elapsed() < ms(SIGKILL_MS) {
            if !ended && !node.runs() {
                ended = true;
                record.log(&format!(
                    "the node has exited by itself {} ms after SIGTERM",
                    at.elapsed().as_millis()
                ));
            }
            thread::sleep(ms(5));
        }
        if !ended {
            send_signal(node.pid, SIGKILL);
            record.log("SIGKILL");
        }
    }
    for client in clients {
        let _ = client.join();
    }
    let broken = broken.lock().unwrap().clone();
    record.verdict(&broken)
}
