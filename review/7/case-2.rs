//! A new configuration names a new hall. Where does the node repeat a quote that may have run?

#[path = "../stand-ins-2/mod.rs"]
mod stand_ins;

use stand_ins::*;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Instant;

const CLIENTS: usize = 8;
const LOAD_SECONDS: u64 = 25;
/// One quote in so many meets a reset after it has run.
const RESET_ONE_IN: u64 = 8;

struct Sent {
    server: String,
    zone: &'static str,
    at: Instant,
}

fn main() {
    watchdog(ms(110_000));
    let record = Record::open();
    let trouble = trouble();
    let old = vec!["monza-a", "monza-b", "seregno-a", "seregno-b"];
    let new = vec!["monza-a", "monza-b", "monza-c", "seregno-a", "seregno-b"];
    let runs: Arc<Mutex<BTreeMap<String, Vec<Sent>>>> = Arc::default();
    let count = Arc::new(AtomicU64::new(0));
    let server = |uid: &str, zone: &'static str| {
        let (record, runs, count, uid) = (record.clone(), runs.clone(), count.clone(), uid.to_owned());
        let name = uid.clone();
        let address = config_server(move |request, _, _| {
            let id = request.id();
            runs.lock().unwrap().entry(id.clone()).or_default().push(Sent {
                server: uid.clone(),
                zone,
                at: request.began.unwrap(),
            });
            thread::sleep(ms(15));
            if count.fetch_add(1, Ordering::SeqCst) % RESET_ONE_IN == 0 {
                record.log(&format!("{uid} in {zone}: ran {id}, then the connection is reset"));
                return Act::Reset;
            }
            record.log(&format!("{uid} in {zone}: ran {id}, answered"));
            Act::Write(response("200 OK", "", format!("for {id}").as_bytes()))
        });
        Target::up(&name, address, zone)
    };
    let mut targets = Vec::new();
    for (short, zone) in [("ma", "monza-a"), ("mb", "monza-b"), ("sa", "seregno-a"), ("sb", "seregno-b")] {
        for n in 1..=2 {
            targets.push(server(&format!("{short}-{n}"), zone));
        }
    }
    let leaving = targets[4].clone();
    let discovery = Discovery::start(targets);
    let settings = |areas: &[&'static str]| Settings {
        areas: areas.to_vec(),
        zone: "seregno-a",
        ..Settings::default()
    };
    let node = Node::start(&settings(if trouble { &old } else { &new }), discovery.address);
    thread::sleep(ms(1500));
    if trouble {
        node.reload(&settings(&new), discovery.address);
        record.log("SIGHUP: the new configuration names the hall monza-c between monza-b and seregno-a");
    }
    thread::sleep(ms(1500));
    // A usual replacement in seregno-a.
    discovery.set(Target { state: "removed", ..leaving });
    discovery.set(Target { boot_ms: unix_ms(), ..server("sa-3", "seregno-a") });
    record.log("sa-3 takes the place of sa-1 in seregno-a");
    thread::sleep(ms(9500));
    let end = Instant::now() + ms(LOAD_SECONDS * 1000);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|n| {
            let (record, address) = (record.clone(), node.address);
            thread::spawn(move || {
                let mut served = 0;
                let mut client = None;
                while Instant::now() < end {
                    let Some(mut open) = client.take().or_else(|| Client::connect(address).ok()) else {
                        continue;
                    };
                    let id = fresh_id();
                    let answer = open
                        .fetch(&request(&id, "quote", "deduplicated", 2000, b"{\"window\":1}"), ms(4000));
                    let status = answer.as_ref().map_or(0, Message::status);
                    record.log(&format!("client {n}: {id} got {status}"));
                    served += u64::from(status == 200);
                    if answer.is_ok() {
                        client = Some(open);
                    }
                    thread::sleep(ms(30 + n as u64));
                }
                served
            })
        })
        .collect();
    let served: u64 = clients.into_iter().map(|c| c.join().unwrap_or(0)).sum();
    let runs = runs.lock().unwrap();
    let mut broken = Vec::new();
    let mut repeated = 0;
    for (id, sent) in runs.iter() {
        repeated += usize::from(sent.len() > 1);
        for later in sent.iter().skip(1) {
            let first = &sent[0];
            if later.zone != first.zone {
                let after = later.at.saturating_duration_since(first.at).as_millis();
                broken.push(format!(
                    "{id} ran at {} in {} and {after} ms later at {} in {}",
                    first.server, first.zone, later.server, later.zone
                ));
            }
        }
    }
    record.log(&format!("quotes {}, served {served}, sent again {repeated}", runs.len()));
    if served < 200 {
        record.no_result("hardly any quote was served");
    }
    record.verdict(&broken)
}
