//! The list of backends: the first one from the configuration, then a watch on discovery.

use crate::body::Outgoing;
use crate::driver::{Driver, Input};
use crate::log::say;
use crate::rules::Current;
use crate::socket::Descriptors;
use crate::upstream::Conn;
use bytes::Bytes;
use daleturn::control::asking::{Ask, Asking, Call, Next, Told};
use daleturn::control::subset::{Catalog, Target, home};
use daleturn::interface::{BackendId, Discovery, Entry, Health, ListKind};
use daleturn::wire::{Names, stable_hash};
use http_body_util::LengthLimitError;
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use serde::Deserialize;
use serde_json::Value;
use serde_json::value::RawValue;
use std::cell::Cell;
use std::error::Error;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};

/// The whole list may be a great deal larger than a request.
const LIST_LIMIT: usize = 32 * 1024 * 1024;
/// A longer list is read beside the loop, line by line: it takes longer than a request may wait.
const LONG: usize = 64 * 1024;
/// A whole list of more lines is put together there as well.
const MANY: usize = 1024;
/// So many changes are taken at once; whoever is served has a turn in between.
const SLICE: usize = 256;
/// Lines that could not be read and are told, of one list.
const TOLD_SPOILT: usize = 20;

/// Of calls that go on failing, one in so many milliseconds is told.
const TELL_FAILED_MS: f64 = 1000.0;

/// The lines of an answer.
pub enum Lines {
    /// As they came.
    Few(Vec<Target>),
    /// A long whole list, put together, with its lines' digest.
    Whole(Box<Catalog>, u64),
    /// The long whole list that is known, line for line.
    Same,
}

/// The long whole list that was taken last, if nothing has changed since.
#[derive(Clone, Copy)]
struct Seen {
    digest: u64,
    entries: usize,
    /// The rules that it was read by.
    taken: u32,
}

/// An answer of discovery, or the list that a node starts with.
pub struct Listing {
    rev: u64,
    all: bool,
    entries: usize,
    /// How many lines could not be read, and the first of them with what is wrong.
    skipped: usize,
    spoilt: Vec<(&'static str, String)>,
    /// The others.
    pub lines: Lines,
}

impl Listing {
    /// Its version.
    pub fn version(&self) -> u64 {
        self.rev
    }

    /// The version that a watch may go on from: none of an empty list or of one that was not read whole.
    pub fn complete(&self) -> Option<u64> {
        (self.all && self.skipped == 0 && self.entries > 0).then_some(self.rev)
    }

    fn of(
        rev: u64,
        all: bool,
        lines: impl Iterator<Item = Result<Target, (&'static str, String)>>,
    ) -> Listing {
        let (mut skipped, mut spoilt) = (0, Vec::new());
        let read = lines.filter_map(|line| match line {
            Ok(target) => Some(target),
            Err(wrong) => {
                skipped += 1;
                if spoilt.len() < TOLD_SPOILT {
                    spoilt.push(wrong);
                }
                None
            }
        });
        let targets: Vec<Target> = read.collect();
        Listing { rev, all, entries: targets.len(), skipped, spoilt, lines: Lines::Few(targets) }
    }

    /// Logs lines that were skipped: one bad line must not hide the rest.
    pub fn tell_skipped(&self) {
        for (field, line) in &self.spoilt {
            say!(WARN, "discovery", field, entry = line.as_str(), "discovery.entry_skipped");
        }
    }
}

/// Reads a list in discovery's form.
pub fn listing(json: &Value, names: &Names) -> Option<Listing> {
    let rev = json.get("rev")?.as_u64()?;
    let all = json.get("all").and_then(Value::as_bool).unwrap_or(false);
    let lines = json.get("targets")?.as_array()?;
    let read =
        lines.iter().map(|line| target(line, names).map_err(|field| (field, excerpt(&line.to_string()))));
    Some(Listing::of(rev, all, read))
}

fn excerpt(line: &str) -> String {
    format!("{line:.200}")
}

/// The same of a long text: no tree of the whole is made, a whole list is put together, and one that is known is not
/// read again.
fn long_listing(
    text: &[u8],
    names: &Names,
    home: Option<u16>,
    seen: Option<Seen>,
) -> Result<Listing, serde_json::Error> {
    #[derive(Deserialize)]
    struct Form<'a> {
        rev: u64,
        #[serde(default)]
        all: Value,
        #[serde(borrow)]
        targets: &'a RawValue,
    }
    let Form { rev, all, targets } = serde_json::from_slice(text)?;
    let all = all.as_bool().unwrap_or(false);
    let digest = stable_hash(targets.get());
    if let Some(seen) = seen.filter(|seen| all && seen.digest == digest) {
        let (entries, skipped, spoilt) = (seen.entries, 0, Vec::new());
        return Ok(Listing { rev, all, entries, skipped, spoilt, lines: Lines::Same });
    }
    let targets: Vec<&RawValue> = serde_json::from_str(targets.get())?;
    let read = targets.iter().map(|line| {
        let json: Value = serde_json::from_str(line.get()).map_err(|_| ("line", excerpt(line.get())))?;
        target(&json, names).map_err(|field| (field, excerpt(line.get())))
    });
    let mut listing = Listing::of(rev, all, read);
    if let (true, Lines::Few(lines)) = (listing.all && listing.entries > MANY, &mut listing.lines) {
        listing.lines = Lines::Whole(Box::new(Catalog::of(std::mem::take(lines), home)), digest);
    }
    Ok(listing)
}

/// Reads an answer; a long one beside the loop.
async fn read(text: Bytes, rules: &Current, seen: Option<Seen>) -> Result<Listing, Box<dyn Error>> {
    let rules = rules.get();
    if text.len() <= LONG {
        let json = serde_json::from_slice(&text)?;
        return Ok(listing(&json, &rules.names).ok_or("not a list")?);
    }
    let (names, home) = (rules.names.of_zones(), home(&rules.settings));
    let seen = seen.filter(|seen| seen.taken == rules.taken);
    Ok(tokio::task::spawn_blocking(move || long_listing(&text, &names, home, seen)).await??)
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
        let mut seen: Option<Seen> = None;
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
                            text = exchange(at, &call, descriptors, &mut conn) => (text.map(Answer::Text), None),
                            (listing, other) = try_beside(at, &call, rules, descriptors, &tries, seen) => {
                                (Ok(Answer::Read(listing)), other)
                            }
                            () = tokio::time::sleep(span(call.limit_ms)) => {
                                (Err("deadline has elapsed".into()), None)
                            }
                        };
                        let overtaken = other.is_some();
                        conn = other.or(conn.take());
                        // What it takes to read a long answer is no lateness of discovery's.
                        let answer = match answer {
                            Ok(Answer::Text(text)) => read(text, rules, seen).await,
                            Ok(Answer::Read(listing)) => Ok(listing),
                            Err(e) => Err(e),
                        };
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
                    listing.tell_skipped();
                    let Listing { rev: version, all, entries, skipped, lines, .. } = listing;
                    if entries > 0 {
                        let after_ms = call.after_ms(now);
                        say!(INFO, "discovery", version, entries, all, after_ms, "discovery.listed");
                    }
                    // No change is news too where discovery is asked: the call did not fail.
                    if self.asking.answered(now, &call, Told { version, all, skipped }) {
                        driver.list_version(self.asking.version());
                        let taken = self.rules.get().taken;
                        seen = match lines {
                            Lines::Whole(_, digest) if skipped == 0 => {
                                Some(Seen { digest, entries, taken })
                            }
                            Lines::Same => seen,
                            // An answer without news leaves the list as it is.
                            Lines::Few(_) if entries == 0 && !all => seen,
                            _ => None,
                        };
                        let kind = if all { ListKind::Full } else { ListKind::Changes };
                        hand_on(&driver, kind, lines).await;
                    }
                }
                Err(e) if e.is::<TooLong>() => {
                    conn = None;
                    self.asking.overlong(now);
                    driver.list_too_long();
                    say!(ERROR, "discovery", limit = LIST_LIMIT, "discovery.list_too_long");
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

/// Hands on what an answer holds; many changes in slices.
pub async fn hand_on(driver: &Rc<Driver>, kind: ListKind, lines: Lines) {
    match lines {
        Lines::Whole(catalog, _) => driver.take(Input::Whole(kind, *catalog)),
        Lines::Same => driver.take(Input::List(ListKind::Changes, Vec::new())),
        Lines::Few(mut lines) => {
            while kind == ListKind::Changes && lines.len() > SLICE {
                let rest = lines.split_off(SLICE);
                driver.take(Input::List(kind, std::mem::replace(&mut lines, rest)));
                tokio::task::yield_now().await;
            }
            driver.take(Input::List(kind, lines));
        }
    }
}

/// An answer of more bytes than a list may have.
#[derive(Debug, thiserror::Error)]
#[error("longer than {LIST_LIMIT} bytes")]
struct TooLong;

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

/// What discovery answered, or what was read of it already.
enum Answer {
    Text(Bytes),
    Read(Listing),
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
    seen: Option<Seen>,
) -> (Listing, Option<Conn>) {
    let Some(try_ms) = call.try_ms else { return std::future::pending().await };
    // The call itself is the first try.
    tokio::time::sleep(span(try_ms)).await;
    loop {
        // One that fails sooner than its time is not repeated sooner.
        let over = tokio::time::sleep(span(try_ms));
        let mut conn = None;
        let answer = exchange(at, call, descriptors, &mut conn);
        if let Ok(Ok(text)) = tokio::time::timeout(span(try_ms), answer).await
            && let Ok(listing) = read(text, rules, seen).await
        {
            return (listing, conn);
        }
        failed.set(failed.get() + 1);
        over.await;
    }
}

async fn exchange(
    at: SocketAddr,
    call: &Call,
    descriptors: &Rc<Descriptors>,
    kept: &mut Option<Conn>,
) -> Result<Bytes, Box<dyn Error>> {
    let path = match call.ask {
        Ask::Whole => "/discovery/hosts".to_owned(),
        Ask::Changes { after, wait_ms } => format!("/discovery/hosts?after={after}&wait_ms={wait_ms}"),
    };
    let request = Request::get(path).header(HOST, at.to_string()).body(Outgoing::whole(Bytes::new()))?;
    let mut conn = match kept.take().filter(Conn::alive) {
        Some(conn) => conn,
        None => Conn::open(at, descriptors.take().await).await?,
    };
    let answer = conn.exchange(request, LIST_LIMIT).await.map_err(|e| -> Box<dyn Error> {
        if e.is::<LengthLimitError>() { TooLong.into() } else { e.to_string().into() }
    })?;
    if answer.status() != StatusCode::OK {
        return Err(format!("status {}", answer.status()).into());
    }
    *kept = Some(conn);
    Ok(answer.into_body())
}
