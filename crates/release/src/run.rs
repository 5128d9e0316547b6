//! The controller: the process that carries a release out. It asks the nodes, runs the plan's commands, and stores each
//! step before what it leads to; it decides nothing itself. It may be killed at any point: the next one goes on.

use crate::gate::Sample;
use crate::machine::{Action, Event, Machine, Mode, Ms, Order, Seen, Version};
use crate::plan::{Command, Member, MemberKind, Plan};
use daleturn::operator_call::{NO_HOLDER, OperatorCall, call_node};
use daleturn_store::{Entry, Limits, RealDisk, Store, StoreError};
use serde_json::{Value, json};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use thiserror::Error;

/// How often the machine is asked what is due, nodes for their figures, and both groups are compared.
const TICK: Duration = Duration::from_millis(100);
const LOOK_MS: Ms = 500;
const LOOK_EACH_MS: Ms = 20;
const COMPARE_MS: Ms = 1000;
/// How often the lease is renewed, and how old another's must be to be taken over.
const RENEW_MS: Ms = 3000;
const LEASE_S: u64 = 20;
/// Time for a node's answer.
const CALL: Duration = Duration::from_millis(1500);
/// Time for a supervisor to bring the next process up and the old one to its end.
const UPGRADE: Duration = Duration::from_secs(20);
/// Calls that are out at once: all nodes are never asked in one moment.
const CALLERS: usize = 16;
/// Figures older than this say nothing of what is under way.
const FRESH_MS: Ms = 3000;
/// What is kept of a command's output.
const OUTPUT: u64 = 256 * 1024;
/// Kind of the entries in its journal.
const KIND: &str = "release";

/// Why a release cannot be carried out, or go on.
#[derive(Debug, Error)]
pub enum RunError {
    /// The journal.
    #[error("{0}: {1}")]
    Store(String, StoreError),
    /// A file.
    #[error("{0}: {1}")]
    File(String, io::Error),
    /// Another controller has this journal.
    #[error("{0}: another controller has it")]
    Taken(String),
    /// The plan is another one than that which was begun.
    #[error(
        "the plan was changed since this release began: end it with the plan it began with, or with abandon"
    )]
    Changed,
    /// Another release is under way.
    #[error("another release is under way: {0} says {1}")]
    Other(SocketAddr, String),
    /// Another controller has taken this release over.
    #[error("another controller has taken over")]
    Overtaken,
}

/// How a controller is run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Where its journal, outputs and orders are: a directory for each release.
    pub dir: PathBuf,
    /// End, too, when the release halts.
    pub until_halt: bool,
}

/// A wall clock's milliseconds.
pub fn wall_ms() -> Ms {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Ms::try_from(wall.as_millis()).unwrap_or(Ms::MAX)
}

/// Where a release's files are.
pub fn place(dir: &Path, plan: &Plan) -> PathBuf {
    dir.join(&plan.name)
}

/// Leaves an order for the controller, running or yet to start.
///
/// # Errors
/// It cannot be written.
pub fn order(dir: &Path, plan: &Plan, order: Order) -> io::Result<()> {
    let orders = place(dir, plan).join("orders");
    fs::create_dir_all(&orders)?;
    let word = match order {
        Order::Halt => "halt",
        Order::Resume => "resume",
        Order::Back => "back",
        Order::Abandon => "abandon",
    };
    let draft = orders.join(format!(".{}-{word}", wall_ms()));
    File::create(&draft)?.sync_all()?;
    fs::rename(&draft, orders.join(format!("{}-{word}", wall_ms())))
}

/// Where a release stands, by what its controller last wrote.
///
/// # Errors
/// There is none.
pub fn status(dir: &Path, plan: &Plan) -> io::Result<Value> {
    let text = fs::read_to_string(place(dir, plan).join("status.json"))?;
    serde_json::from_str(&text).map_err(io::Error::from)
}

enum Job {
    Look(usize),
    Say(usize, OperatorCall, Said),
}

/// What an answer is for.
#[derive(Clone, Copy)]
enum Said {
    Member(usize, bool),
    Lease,
}

enum Heard {
    Looked(usize, Ms, Option<Value>),
    Said(usize, Said, Result<(), String>),
    Ran(usize, Option<String>),
}

/// What is known of one node.
#[derive(Default)]
struct Node {
    asked: bool,
    at: Ms,
    /// What it says of each member.
    views: BTreeMap<usize, View>,
}

/// A member as one node has it.
struct View {
    up: bool,
    start: Ms,
    cordoned: bool,
    in_flight: Option<u64>,
    sample: Sample,
}

/// What a node's figures say of each member: read once, however often it is looked at.
fn views(plan: &Plan, ids: &HashMap<String, usize>, node: usize, figures: &Value) -> BTreeMap<usize, View> {
    if plan.what == MemberKind::Nodes {
        let (up, start) = (figures["mode"] == "serving", figures["started_ms"].as_u64().unwrap_or(0));
        let view = View { up, start, cordoned: false, in_flight: Some(0), sample: of_node(figures) };
        return BTreeMap::from([(node, view)]);
    }
    let view = |b: &Value| {
        let member = ids.get(b["id"].as_str()?)?;
        let view = View {
            up: b["listed"] == "up",
            start: b["start_ms"].as_u64().unwrap_or(0),
            cordoned: b["state"] == "cordoned",
            in_flight: b["in_flight"].as_u64(),
            sample: sample(b),
        };
        Some((*member, view))
    };
    figures["backends"].as_array().into_iter().flatten().filter_map(view).collect()
}

struct Controller {
    plan: Arc<Plan>,
    dir: PathBuf,
    machine: Machine,
    store: Store<RealDisk>,
    nodes: Vec<Node>,
    ids: HashMap<String, usize>,
    jobs: Sender<Job>,
    heard: Receiver<Heard>,
    hear: Sender<Heard>,
    lease: u64,
    overtaken: bool,
    begun: Ms,
    /// What each node had counted of each member when the watch began.
    base: BTreeMap<(usize, usize), Sample>,
    failed: Option<StoreError>,
}

fn sample(backend: &Value) -> Sample {
    let n = |key: &str| backend[key].as_u64().unwrap_or(0);
    let f = |key: &str| backend[key].as_f64().unwrap_or(0.0);
    Sample { done: n("done"), failed: n("failed"), ms: f("ms_sum"), ms_squared: f("ms_squared_sum") }
}

/// What a node itself has served.
fn of_node(figures: &Value) -> Sample {
    let mut all = Sample::default();
    for class in figures["classes"].as_object().into_iter().flat_map(|c| c.values()) {
        all.done += class["served"].as_u64().unwrap_or(0);
        all.failed += class["failed"].as_u64().unwrap_or(0);
    }
    for backend in figures["backends"].as_array().into_iter().flatten() {
        let one = sample(backend);
        (all.ms, all.ms_squared) = (all.ms + one.ms, all.ms_squared + one.ms_squared);
    }
    all
}

/// Carries a release out, to its end or, where that is wanted, to its halt. `stop` ends the controller and leaves the
/// release as it stands; `say` hears of each step.
///
/// # Errors
/// It cannot begin, its journal fails, or another controller has taken over.
pub fn run(
    plan: Plan,
    options: &Options,
    stop: &AtomicBool,
    mut say: impl FnMut(&str),
) -> Result<Mode, RunError> {
    let dir = place(&options.dir, &plan);
    let named = dir.display().to_string();
    let disk = RealDisk::open(&dir.join("journal")).map_err(|e| match e.kind() {
        io::ErrorKind::WouldBlock => RunError::Taken(named.clone()),
        _ => RunError::File(named.clone(), e),
    })?;
    let store = |e| RunError::Store(named.clone(), e);
    let (mut journal, _) = Store::open(disk, Limits::default()).map_err(store)?;
    let plan = Arc::new(plan);
    let text = |e: &Entry| String::from_utf8_lossy(&e.value).into_owned();
    let stored: BTreeMap<String, String> =
        journal.of_kind(KIND).map(|(key, e)| (key.to_owned(), text(e))).collect();
    let digest = plan.digest().to_string();
    if stored.get("plan").is_some_and(|known| *known != digest) {
        return Err(RunError::Changed);
    }
    let holder = plan.name.clone();
    let looks: Vec<Option<Value>> = look_at_all(&plan.nodes);
    let mut lease = stored.get("lease").and_then(|l| l.parse().ok()).unwrap_or(0_u64);
    for (figures, address) in looks.iter().zip(&plan.nodes) {
        let Some(held) = figures.as_ref().map(|f| &f["lease"]) else { continue };
        let (by, age) =
            (held["holder"].as_str().unwrap_or_default(), held["age_s"].as_u64().unwrap_or(u64::MAX));
        if !by.is_empty() && by != NO_HOLDER && by != holder && age < LEASE_S {
            return Err(RunError::Other(*address, by.to_owned()));
        }
        lease = lease.max(held["number"].as_u64().unwrap_or(0));
    }
    lease += 1;
    for (key, value) in [("plan", digest), ("lease", lease.to_string())] {
        journal
            .put(KIND, key, Entry { written_ms: wall_ms(), value: value.into_bytes() })
            .map_err(store)?;
    }
    journal.sync().map_err(store)?;
    // Held at every node that can be reached before anything is done.
    let taken = say_to_all(&plan.nodes, &OperatorCall::Lease { holder: holder.clone(), number: lease });
    for (answer, address) in taken.into_iter().zip(&plan.nodes) {
        if let Some(Err(why)) = answer {
            return Err(RunError::Other(*address, why));
        }
    }
    let (jobs, work) = channel();
    let (hear, heard) = channel();
    callers(&plan, work, &hear);
    let now = wall_ms();
    let mut controller = Controller {
        machine: Machine::new(now, plan.clone(), &stored),
        nodes: plan.nodes.iter().map(|_| Node::default()).collect(),
        ids: plan.member.iter().enumerate().map(|(n, m)| (m.id.clone(), n)).collect(),
        plan,
        dir,
        store: journal,
        jobs,
        heard,
        hear,
        lease,
        overtaken: false,
        begun: now,
        base: BTreeMap::new(),
        failed: None,
    };
    controller.run(options, stop, &mut say)
}

/// All nodes' figures, asked a few at a time; none of one that does not answer.
fn look_at_all(nodes: &[SocketAddr]) -> Vec<Option<Value>> {
    let mut all = Vec::new();
    for some in nodes.chunks(CALLERS) {
        let asked: Vec<_> = some
            .iter()
            .map(|node| {
                let node = *node;
                thread::spawn(move || figures(node))
            })
            .collect();
        all.extend(asked.into_iter().map(|t| t.join().ok().flatten()));
    }
    all
}

/// A call to all nodes, a few at a time; none of one that does not answer.
fn say_to_all(nodes: &[SocketAddr], call: &OperatorCall) -> Vec<Option<Result<String, String>>> {
    let mut all = Vec::new();
    for some in nodes.chunks(CALLERS) {
        let asked: Vec<_> = (some.iter().copied())
            .map(|node| {
                let call = call.clone();
                thread::spawn(move || call_node(node, &call, CALL).ok())
            })
            .collect();
        all.extend(asked.into_iter().map(|t| t.join().ok().flatten()));
    }
    all
}

fn figures(node: SocketAddr) -> Option<Value> {
    let said = call_node(node, &OperatorCall::Stats, CALL).ok()?.ok()?;
    serde_json::from_str(&said).ok()
}

/// Threads that call nodes; they end with the controller.
fn callers(plan: &Plan, work: Receiver<Job>, hear: &Sender<Heard>) {
    let work = Arc::new(Mutex::new(work));
    for _ in 0..CALLERS.min(plan.nodes.len()) {
        let (work, hear, nodes) = (work.clone(), hear.clone(), plan.nodes.clone());
        thread::spawn(move || {
            loop {
                let job = match work.lock() {
                    Ok(work) => work.recv(),
                    Err(_) => return,
                };
                let heard = match job {
                    Ok(Job::Look(node)) => {
                        let at = wall_ms();
                        Heard::Looked(node, at, nodes.get(node).and_then(|n| figures(*n)))
                    }
                    Ok(Job::Say(node, call, said)) => {
                        let answer = match nodes.get(node).map(|n| call_node(*n, &call, CALL)) {
                            Some(Ok(Ok(_))) => Ok(()),
                            Some(Ok(Err(why))) => Err(why),
                            Some(Err(e)) => Err(e.to_string()),
                            None => Err("no such node".to_owned()),
                        };
                        Heard::Said(node, said, answer)
                    }
                    Err(_) => return,
                };
                if hear.send(heard).is_err() {
                    return;
                }
            }
        });
    }
}

impl Controller {
    fn run(
        &mut self,
        options: &Options,
        stop: &AtomicBool,
        say: &mut impl FnMut(&str),
    ) -> Result<Mode, RunError> {
        let (mut looked, mut compared, mut renewed, mut written) = (0, 0, 0, 0);
        if self.machine.head.watched.is_some() {
            // What was counted before is gone with the controller that died: the watch counts from here.
            self.base.clear();
        }
        loop {
            let now = wall_ms();
            while let Ok(heard) = self.heard.try_recv() {
                self.take(now, heard, say);
            }
            for order in self.orders() {
                say(&format!("order: {order:?}"));
                self.act(now, Event::Ordered(order), say);
            }
            if now >= looked + self.look_ms() {
                looked = now;
                for node in 0..self.nodes.len() {
                    if !std::mem::replace(&mut self.nodes[node].asked, true) {
                        let _ = self.jobs.send(Job::Look(node));
                    }
                }
                self.show(now, say);
            }
            if now >= renewed + RENEW_MS {
                renewed = now;
                for node in 0..self.nodes.len() {
                    let call = OperatorCall::Lease { holder: self.plan.name.clone(), number: self.lease };
                    let _ = self.jobs.send(Job::Say(node, call, Said::Lease));
                }
            }
            if now >= compared + COMPARE_MS {
                compared = now;
                let (new, rest) = self.compare();
                self.act(now, Event::Compared(new, rest), say);
            }
            self.act(now, Event::Tick, say);
            if let Some(e) = self.failed.take() {
                return Err(RunError::Store(self.dir.display().to_string(), e));
            }
            if self.overtaken {
                return Err(RunError::Overtaken);
            }
            let mode = self.machine.head.mode;
            let halted = mode == Mode::Halted && options.until_halt && self.given_back();
            let ends = mode == Mode::Over || halted || stop.load(Ordering::SeqCst);
            if ends || now >= written + 500 {
                written = now;
                self.write_status(now);
            }
            if ends {
                if mode == Mode::Over {
                    self.give_up();
                }
                return Ok(mode);
            }
            thread::sleep(TICK);
        }
    }

    /// What is over needs no lease. Who does not hear it lets it grow old.
    fn give_up(&self) {
        say_to_all(
            &self.plan.nodes,
            &OperatorCall::Lease { holder: NO_HOLDER.to_owned(), number: self.lease },
        );
    }

    /// Nothing is half-done any more.
    fn given_back(&self) -> bool {
        use crate::machine::Phase;
        self.machine.members.iter().all(|m| matches!(m.phase, Phase::In | Phase::Warming | Phase::Stuck))
    }

    fn take(&mut self, now: Ms, heard: Heard, say: &mut impl FnMut(&str)) {
        match heard {
            Heard::Looked(node, at, figures) => {
                let Some(n) = self.nodes.get_mut(node) else { return };
                n.asked = false;
                if let Some(figures) = figures {
                    (n.at, n.views) = (at, views(&self.plan, &self.ids, node, &figures));
                }
            }
            Heard::Said(_, Said::Lease, Err(why)) if why.contains("lease") => self.overtake(now, say),
            Heard::Said(_, Said::Lease, _) => {}
            Heard::Said(node, Said::Member(member, out), answer) => {
                let why = answer.err();
                if why.as_ref().is_some_and(|w| w.contains("lease")) {
                    return self.overtake(now, say);
                }
                self.act(now, Event::Answered { member, node, out, why }, say);
            }
            Heard::Ran(member, why) => self.act(now, Event::Ran(member, why), say),
        }
    }

    fn overtake(&mut self, now: Ms, say: &mut impl FnMut(&str)) {
        self.overtaken = true;
        self.act(now, Event::Overtaken, say);
    }

    fn act(&mut self, now: Ms, event: Event, say: &mut impl FnMut(&str)) {
        let mut actions = Vec::new();
        self.machine.handle(now, event, &mut actions);
        // One sync for all that is stored before the first deed.
        let mut dirty = false;
        for action in actions {
            match action {
                Action::Store(key, text) => {
                    let entry = Entry { written_ms: now, value: text.into_bytes() };
                    dirty = true;
                    if let Err(e) = self.store.put(KIND, &key, entry) {
                        self.failed = Some(e);
                    }
                }
                Action::Audit(line) => {
                    say(&line);
                    self.audit(now, &line);
                }
                deed => {
                    if dirty && let Err(e) = self.store.sync() {
                        self.failed = Some(e);
                    }
                    dirty = false;
                    // Nothing is done that was not stored.
                    if self.failed.is_none() {
                        self.deed(deed);
                    }
                }
            }
        }
        if dirty && let Err(e) = self.store.sync() {
            self.failed = Some(e);
        }
    }

    fn deed(&mut self, deed: Action) {
        match deed {
            Action::Tell { member, node, out } => {
                let Some(named) = self.plan.member.get(member) else { return };
                let call = OperatorCall::Leased { cordon: out, id: named.id.clone(), lease: self.lease };
                let _ = self.jobs.send(Job::Say(node, call, Said::Member(member, out)));
            }
            Action::Run { member, to } => {
                let (plan, hear, dir) = (self.plan.clone(), self.hear.clone(), self.dir.join("output"));
                if plan.what == MemberKind::Nodes {
                    thread::spawn(move || {
                        let version = if to == Version::New { &plan.to } else { &plan.from };
                        let call = OperatorCall::Upgrade(version.clone());
                        let why = match plan.nodes.get(member).map(|n| call_node(*n, &call, UPGRADE)) {
                            Some(Ok(Ok(_))) => None,
                            Some(Ok(Err(why))) => Some(why),
                            Some(Err(e)) => Some(e.to_string()),
                            None => Some("it has no supervisor".to_owned()),
                        };
                        let _ = hear.send(Heard::Ran(member, why));
                    });
                    return;
                }
                thread::spawn(move || {
                    let why =
                        plan.member.get(member).and_then(|named| restart(&plan, named, to, &dir).err());
                    let _ = hear.send(Heard::Ran(member, why));
                });
            }
            Action::Watch => self.base = self.counted(),
            Action::Store(..) | Action::Audit(_) => {}
        }
    }

    /// What each node has counted of each member so far.
    fn counted(&self) -> BTreeMap<(usize, usize), Sample> {
        let mut all = BTreeMap::new();
        for (n, node) in self.nodes.iter().enumerate() {
            all.extend(node.views.iter().map(|(member, view)| ((n, *member), view.sample)));
        }
        all
    }

    /// What the members with the new version, and the others, have done since the watch began.
    fn compare(&self) -> (Sample, Sample) {
        let (mut new, mut rest) = (Sample::default(), Sample::default());
        for (at, now) in self.counted() {
            let since = now.since(&self.base.get(&at).copied().unwrap_or_default());
            let group = match self.machine.members.get(at.1).map(|m| m.version) {
                Some(Version::New) => &mut new,
                _ => &mut rest,
            };
            group.add(&since);
        }
        (new, rest)
    }

    /// Tells the machine how all nodes together see each member.
    fn show(&mut self, now: Ms, say: &mut impl FnMut(&str)) {
        let oldest = self.nodes.iter().map(|n| n.at).min().unwrap_or(0);
        let all_fresh = now.saturating_sub(oldest) < self.fresh_ms();
        let unseen = Seen { up: false, start: 0, cordoned: false, in_flight: all_fresh.then_some(0) };
        let mut all = vec![(oldest, unseen); self.plan.member.len()];
        for node in &self.nodes {
            for (member, view) in &node.views {
                let Some((at, seen)) = all.get_mut(*member) else { continue };
                seen.up |= view.up;
                seen.start = seen.start.max(view.start);
                seen.cordoned |= view.cordoned;
                seen.in_flight = seen.in_flight.and_then(|all| Some(all + view.in_flight?));
                if self.plan.what == MemberKind::Nodes {
                    // Each says itself how it is, and nobody else does.
                    (*at, seen.in_flight) = (node.at, view.in_flight);
                }
            }
        }
        for (member, (at, seen)) in all.into_iter().enumerate().filter(|(_, (at, _))| *at > 0) {
            // As of when the oldest of the answers was asked for.
            self.act(at, Event::Looked(member, seen), say);
        }
    }

    /// Nodes are asked for their figures so often: many of them more seldom, so that the controller keeps up.
    fn look_ms(&self) -> Ms {
        LOOK_MS.max(LOOK_EACH_MS * self.nodes.len() as Ms)
    }

    fn fresh_ms(&self) -> Ms {
        FRESH_MS.max(3 * self.look_ms())
    }

    fn orders(&self) -> Vec<Order> {
        let dir = self.dir.join("orders");
        let Ok(entries) = fs::read_dir(&dir) else { return Vec::new() };
        let mut names: Vec<String> = entries
            .flatten()
            .filter_map(|e| e.file_name().into_string().ok())
            .filter(|n| !n.starts_with('.'))
            .collect();
        names.sort();
        let taken = names.into_iter().filter(|name| fs::remove_file(dir.join(name)).is_ok());
        taken
            .filter_map(|name| match name.rsplit('-').next()? {
                "halt" => Some(Order::Halt),
                "resume" => Some(Order::Resume),
                "back" => Some(Order::Back),
                "abandon" => Some(Order::Abandon),
                _ => None,
            })
            .collect()
    }

    fn audit(&self, now: Ms, line: &str) {
        let file = OpenOptions::new().create(true).append(true).open(self.dir.join("audit.log"));
        // The journal holds what matters; a full disk shows there.
        let _ = file.and_then(|mut f| writeln!(f, "{now} lease {} {line}", self.lease));
    }

    fn write_status(&self, now: Ms) {
        let m = &self.machine;
        let member = |(m, named): (&crate::machine::Member, &Member)| {
            json!({"id": named.id, "zone": named.zone, "phase": m.phase, "version": m.version, "why": m.why,
                   "since_s": now.saturating_sub(m.since) / 1000, "held": m.held})
        };
        let members: Vec<Value> = m.members.iter().zip(&self.plan.member).map(member).collect();
        let new = m.members.iter().filter(|m| m.version == Version::New).count();
        let spent = now.saturating_sub(self.begun) / 1000;
        let left = (new > 0 && !m.head.back).then(|| spent * (m.members.len() - new) as u64 / new as u64);
        let waits = self
            .nodes
            .iter()
            .zip(&self.plan.nodes)
            .filter(|(n, _)| now.saturating_sub(n.at) > self.fresh_ms());
        let (new_sample, rest) = self.compare();
        let status = json!({
            "name": self.plan.name, "from": self.plan.from, "to": self.plan.to, "mode": m.head.mode,
            "back": m.head.back, "why": m.head.why,
            "stage": self.plan.stage.get(m.head.stage).map(|s| s.name.clone()), "on_new": new,
            "of": m.members.len(), "spent_s": spent, "left_s": left, "lease": self.lease, "written_ms": now,
            "silent_nodes": waits.map(|(_, at)| at.to_string()).collect::<Vec<_>>(),
            "named": m.named(), "compared": {"new": new_sample, "rest": rest}, "members": members,
        });
        let draft = self.dir.join("status.draft");
        let _ = fs::write(&draft, status.to_string())
            .and_then(|()| fs::rename(&draft, self.dir.join("status.json")));
    }
}

/// Runs a member's command, and what verifies it, without a shell.
fn restart(plan: &Plan, member: &Member, to: Version, dir: &Path) -> Result<(), String> {
    let (command, version) = match to {
        Version::New => (&plan.restart, &plan.to),
        Version::Old => (&plan.back, &plan.from),
    };
    execute(command, member, version, dir)?;
    if plan.verify.run.is_empty() {
        return Ok(());
    }
    let end = Instant::now() + Duration::from_secs(plan.times.back_s);
    loop {
        match execute(&plan.verify, member, version, dir) {
            Ok(()) => return Ok(()),
            Err(why) if Instant::now() > end => return Err(format!("it is not on {version}: {why}")),
            Err(_) => thread::sleep(Duration::from_secs(1)),
        }
    }
}

/// Runs a command to its end or its limit; its output is kept under the member's id.
fn execute(command: &Command, member: &Member, version: &str, dir: &Path) -> Result<(), String> {
    let words = command.arguments(member, version);
    let [program, args @ ..] = &words[..] else { return Ok(()) };
    let safe: String =
        member.id.chars().map(|c| if c.is_ascii_alphanumeric() || c == '-' { c } else { '_' }).collect();
    let file = dir.join(format!("{safe}.txt"));
    let output =
        fs::create_dir_all(dir).and_then(|()| OpenOptions::new().create(true).append(true).open(&file));
    let mut output = output.map_err(|e| format!("{}: {e}", file.display()))?;
    if output.metadata().is_ok_and(|m| m.len() > OUTPUT) {
        let _ = output.set_len(0);
    }
    let _ = writeln!(output, "$ {}", words.join(" "));
    let both = output.try_clone().and_then(|o| Ok((o.try_clone()?, o)));
    let (stdout, stderr) = both.map_err(|e| e.to_string())?;
    let child = std::process::Command::new(program)
        .args(args)
        .stdin(Stdio::null())
        .stdout(stdout)
        .stderr(stderr)
        .spawn();
    let mut child = child.map_err(|e| format!("{program}: {e}"))?;
    let limit = command.limit_seconds();
    let end = Instant::now() + Duration::from_secs(limit);
    loop {
        match child.try_wait() {
            Ok(Some(status)) => {
                let _ = writeln!(output, "= {status}");
                return if status.success() {
                    Ok(())
                } else {
                    Err(format!("{program}: {status}, see {}", file.display()))
                };
            }
            Ok(None) if Instant::now() > end => {
                let _ = child.kill().and_then(|()| child.wait().map(drop));
                return Err(format!("{program} did not end within {limit} s, see {}", file.display()));
            }
            Ok(None) => thread::sleep(Duration::from_millis(30)),
            Err(e) => return Err(format!("{program}: {e}")),
        }
    }
}

/// Members by zone that a set of nodes lists, to begin a plan with.
pub fn members(nodes: &[SocketAddr]) -> Vec<Member> {
    let mut all = BTreeSet::new();
    for figures in look_at_all(nodes).into_iter().flatten() {
        for b in figures["backends"].as_array().into_iter().flatten() {
            let text = |key: &str| b[key].as_str().unwrap_or_default().to_owned();
            all.insert((text("id"), text("zone")));
        }
    }
    all.into_iter().map(|(id, zone)| Member { id, zone }).collect()
}
