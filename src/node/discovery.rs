//! The list of backends: the first one from the configuration, then a watch on discovery.

use crate::body::Outgoing;
use crate::driver::{Driver, Input, Target};
use crate::log::say;
use crate::rules::Current;
use crate::socket::Descriptors;
use crate::upstream::Conn;
use bytes::Bytes;
use daleturn::control::asking::{Ask, Asking, Call, Next, Told};
use daleturn::interface::{BackendId, Discovery, Entry, Health, ListKind};
use daleturn::wire::{Names, stable_hash};
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use serde_json::Value;
use std::cell::Cell;
use std::error::Error;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// The whole list may be a great deal larger than a request.
const LIST_LIMIT: usize = 8 * 1024 * 1024;
/// Of calls that go on failing, one in so many milliseconds is told.
const TELL_FAILED_MS: f64 = 1000.0;
/// An answer of discovery, or the list that a node starts with.
pub struct Listing {
    rev: u64,
    all: bool,
    /// Lines that could not be read.
    skipped: usize,
    /// The others.
    pub targets: Vec<Target>,
}

impl Listing {
    /// Its version.
    pub fn version(&self) -> u64 {
        self.rev
    }

    /// The version that a watch may go on from: none of an empty list or of one that was not read whole.
    pub fn complete(&self) -> Option<u64> {
        (self.all && self.skipped == 0 && !self.targets.is_empty()).then_some(self.rev)
    }
}

/// Reads a list in discovery's form. Bad lines are logged and skipped: one of them must not hide the rest.
pub fn listing(json: &Value, names: &Names) -> Option<Listing> {
    let rev = json.get("rev")?.as_u64()?;
    let all = json.get("all").and_then(Value::as_bool).unwrap_or(false);
    let lines = json.get("targets")?.as_array()?;
    let mut targets = Vec::with_capacity(lines.len());
    for line in lines {
        match target(line, names) {
            Ok(target) => targets.push(target),
            Err(field) => {
                let line = line.to_string();
                let entry = format!("{line:.200}");
                say!(WARN, "discovery", field, entry = entry.as_str(), "discovery.entry_skipped");
            }
        }
    }
    Some(Listing { rev, all, skipped: lines.len() - targets.len(), targets })
}

fn target(line: &Value, names: &Names) -> Result<Target, &'static str> {
    let text = |field: &str| line.get(field).and_then(Value::as_str);
    let uid = text("uid").filter(|u| !u.is_empty()).ok_or("uid")?;
    let health = match text("state") {
        Some("up") => Health::Up,
        Some("draining") => Health::Draining,
        Some("removed") => Health::Gone,
        _ => return Err("state"),
    };
    // Who leaves has nothing sent to it: whatever else its line holds, that holds at once.
    let leaves = health != Health::Up;
    let address = match text("endpoint").map(str::parse) {
        Some(Ok(address)) => Some(address),
        _ if leaves => None,
        _ => return Err("endpoint"),
    };
    let number = |field: &'static str, default: f64| match line.get(field) {
        None | Some(Value::Null) => Ok(default),
        Some(v) => v.as_f64().or(leaves.then_some(default)).ok_or(field),
    };
    let cell = number("pod_group", 0.0)?;
    if !leaves && !(0.0..=f64::from(u32::MAX)).contains(&cell) {
        return Err("pod_group");
    }
    let entry = Entry {
        backend: BackendId(stable_hash(uid)),
        zone: names.zone(text("az")),
        cell: cell as u32,
        health,
        units: number("capacity_hint", 1.0)?,
        // Wall time, which is what the driver's clock counts in.
        ready_at_ms: number("boot_ms", 0.0)?,
    };
    Ok(Target { entry, address, uid: uid.into() })
}

/// Waits until discovery moves; for ever where nobody can say so any more.
async fn moved(address: &mut watch::Receiver<(SocketAddr, Discovery)>) -> (SocketAddr, Discovery) {
    if address.changed().await.is_err() {
        std::future::pending::<()>().await;
    }
    *address.borrow_and_update()
}

/// Keeps the list fresh for as long as the node lives.
pub struct Watch {
    /// Where discovery is and how the list arrives; both may change.
    pub address: watch::Receiver<(SocketAddr, Discovery)>,
    /// What is asked when. The version that is known spares the one service of all nodes whole lists, above all where
    /// many nodes start at once.
    pub asking: Asking,
    /// Names of zones, and the time that the settings give for asking.
    pub rules: Rc<Current>,
    /// The count of sockets.
    pub descriptors: Rc<Descriptors>,
    /// The decisions' wish to watch, where discovery is asked.
    pub wishes: mpsc::UnboundedReceiver<bool>,
}

impl Watch {
    /// Runs until the driver is gone.
    pub async fn run(mut self, driver: Rc<Driver>) {
        let mut address = self.address.clone();
        let (mut at, _) = *address.borrow_and_update();
        let mut conn = None;
        let mut failures = Failures::default();
        loop {
            while let Ok(wish) = self.wishes.try_recv() {
                self.asking.wish(wish);
            }
            let settings = &self.rules.get().settings;
            self.asking.retune(settings.must_ask_in_ms, settings.drain_grace_ms);
            let next = self.asking.next(driver.clock.now_ms());
            let step = async {
                match next {
                    Next::Rest => Step::Wished(self.wishes.recv().await),
                    Next::Pause(ms) => tokio::select! {
                        // The decisions may wish for the next call sooner.
                        wish = self.wishes.recv() => Step::Wished(wish),
                        () = tokio::time::sleep(span(ms)) => Step::Rested,
                    },
                    Next::Call(call) => {
                        let tries = Cell::new(0);
                        let (rules, descriptors) = (&self.rules, &self.descriptors);
                        let (answer, other) = tokio::select! {
                            biased;
                            answer = exchange(at, &call, rules, descriptors, &mut conn) => (answer, None),
                            (listing, other) = try_beside(at, &call, rules, descriptors, &tries) => {
                                (Ok(listing), other)
                            }
                            () = tokio::time::sleep(span(call.limit_ms)) => {
                                (Err("deadline has elapsed".into()), None)
                            }
                        };
                        let overtaken = other.is_some();
                        conn = other.or(conn.take());
                        Step::Called(Called { call, tries: tries.get(), overtaken }, answer)
                    }
                }
            };
            let (Called { call, tries, overtaken }, answer) = tokio::select! {
                // What the old address still says is dropped with the call: the new one may count anew.
                biased;
                (new, how) = moved(&mut address) => {
                    (at, conn) = (new, None);
                    self.asking.moved(driver.clock.now_ms(), how);
                    continue;
                }
                step = step => match step {
                    Step::Wished(None) => return,
                    Step::Wished(Some(wish)) => {
                        self.asking.wish(wish);
                        continue;
                    }
                    Step::Rested => continue,
                    Step::Called(called, answer) => (called, answer),
                },
            };
            let now = driver.clock.now_ms();
            match answer {
                Ok(listing) => {
                    if overtaken {
                        failures.tell(now, &call, tries, false, "a try beside it was answered first");
                    }
                    if failures.calls > 0 {
                        let Failures { calls: failed, tries, .. } = failures;
                        say!(INFO, "discovery", failed, tries, "discovery.recovered");
                        failures = Failures::default();
                    }
                    let Listing { rev: version, all, skipped, targets } = listing;
                    if !targets.is_empty() {
                        let (entries, after_ms) = (targets.len(), call.after_ms(now));
                        say!(INFO, "discovery", version, entries, all, after_ms, "discovery.listed");
                    }
                    // No change is news too where discovery is asked: the call did not fail.
                    if self.asking.answered(now, &call, Told { version, all, skipped }) {
                        driver.list_version(self.asking.version());
                        driver.take(Input::List(
                            if all { ListKind::Full } else { ListKind::Changes },
                            targets,
                        ));
                    }
                }
                Err(e) => {
                    conn = None;
                    let paced = self.asking.failed(now, &call);
                    // Calls that the decisions pace are few: each failure is told.
                    failures.tell(now, &call, tries, paced, &e.to_string());
                    if paced {
                        driver.take(Input::List(ListKind::Failed, Vec::new()));
                    }
                }
            }
        }
    }
}

/// What came of one step.
enum Step {
    Wished(Option<bool>),
    Rested,
    /// A call, and what came of it.
    Called(Called, Result<Listing, Box<dyn Error>>),
}

struct Called {
    call: Call,
    /// Short tries beside it that failed.
    tries: u32,
    /// One of them was answered while it hung.
    overtaken: bool,
}

/// Calls that failed since something was heard.
#[derive(Default)]
struct Failures {
    calls: u64,
    /// Short tries beside them.
    tries: u64,
    told_at: Option<f64>,
}

impl Failures {
    /// One more; it is told if it is the first, if it always is, or if none was for a second.
    fn tell(&mut self, now: f64, call: &Call, tries: u32, always: bool, reason: &str) {
        self.calls += 1;
        self.tries += u64::from(tries);
        if always || self.told_at.is_none_or(|at| now - at >= TELL_FAILED_MS) {
            self.told_at = Some(now);
            let (after_ms, failed, tries) = (call.after_ms(now), self.calls, self.tries);
            say!(WARN, "discovery", after_ms, reason, failed, tries, "discovery.failed");
        }
    }
}

fn span(ms: f64) -> Duration {
    Duration::from_secs_f64(ms / 1000.0)
}

/// Short tries beside a call that may hang, each on a connection of its own; for ever where the call wants none.
async fn try_beside(
    at: SocketAddr,
    call: &Call,
    rules: &Current,
    descriptors: &Rc<Descriptors>,
    failed: &Cell<u32>,
) -> (Listing, Option<Conn>) {
    let Some(try_ms) = call.try_ms else { return std::future::pending().await };
    // The call itself is the first try.
    tokio::time::sleep(span(try_ms)).await;
    loop {
        // One that fails sooner than its time is not repeated sooner.
        let over = tokio::time::sleep(span(try_ms));
        let mut conn = None;
        let answer = exchange(at, call, rules, descriptors, &mut conn);
        if let Ok(Ok(listing)) = tokio::time::timeout(span(try_ms), answer).await {
            return (listing, conn);
        }
        failed.set(failed.get() + 1);
        over.await;
    }
}

async fn exchange(
    at: SocketAddr,
    call: &Call,
    rules: &Current,
    descriptors: &Rc<Descriptors>,
    kept: &mut Option<Conn>,
) -> Result<Listing, Box<dyn Error>> {
    let path = match call.ask {
        Ask::Whole => "/discovery/hosts".to_owned(),
        Ask::Changes { after, wait_ms } => format!("/discovery/hosts?after={after}&wait_ms={wait_ms}"),
    };
    let request = Request::get(path).header(HOST, at.to_string()).body(Outgoing::whole(Bytes::new()))?;
    let mut conn = match kept.take().filter(Conn::alive) {
        Some(conn) => conn,
        None => Conn::open(at, descriptors.take().await).await?,
    };
    let answer = conn.exchange(request, LIST_LIMIT).await.map_err(|e| e.to_string())?;
    if answer.status() != StatusCode::OK {
        return Err(format!("status {}", answer.status()).into());
    }
    let json = serde_json::from_slice(answer.body())?;
    let listing = listing(&json, &rules.get().names).ok_or("not a list")?;
    *kept = Some(conn);
    Ok(listing)
}
