//! The controller: the process that carries out a release. It calls the nodes, runs the plan's commands and
//! stores each state change before acting on it. All decisions are made by [`Rollout`]. The process may be
//! killed at any point; the next controller resumes the release.

use crate::gate::Sample;
use crate::plan::{Command, Member, MemberKind, Plan};
use crate::rollout::{Action, Event, MemberObservation, Mode, Ms, Order, Rollout, Version};
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

/// Interval between ticks of the rollout.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum interval between requests for a node's statistics.
const STATS_INTERVAL_MS: Ms = 500;
/// Minimum interval between requests for a node's statistics, divided by the number of nodes.
const STATS_INTERVAL_PER_NODE_MS: Ms = 20;
/// Interval between comparisons of the two groups.
const COMPARE_INTERVAL_MS: Ms = 1000;
/// Interval between renewals of the lease.
const LEASE_RENEWAL_MS: Ms = 3000;
/// Age from which another release's lease has expired and may be taken over.
const LEASE_EXPIRY_S: u64 = 20;
/// Time limit of a call to a node.
const CALL_TIMEOUT: Duration = Duration::from_millis(1500);
/// Time limit of an upgrade call: the supervisor starts the new process and stops the old one.
const UPGRADE_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum number of concurrent calls to nodes, so that the nodes are not all called at the same moment.
const MAX_CONCURRENT_CALLS: usize = 16;
/// Statistics older than this do not prove that a member has no requests in flight.
const MAX_STATS_AGE_MS: Ms = 3000;
/// Size at which a command's output file is truncated.
const MAX_OUTPUT_BYTES: u64 = 256 * 1024;
/// Kind of the release's entries in the store.
const ENTRY_KIND: &str = "release";

/// Error that prevents a release from starting or continuing.
#[derive(Debug, Error)]
pub enum RunError {
    /// The journal cannot be opened or written.
    #[error("{0}: {1}")]
    Store(String, StoreError),
    /// A file or directory cannot be accessed.
    #[error("{0}: {1}")]
    File(String, io::Error),
    /// Another controller process has locked this journal.
    #[error("{0}: in use by another controller")]
    JournalLocked(String),
    /// The plan differs from the one with which the release began.
    #[error(
        "the plan was changed since this release began: end it with the plan it began with, or with abandon"
    )]
    PlanChanged,
    /// A node's lease is held by another release.
    #[error("another release is under way: {0} says {1}")]
    OtherRelease(SocketAddr, String),
    /// Another controller has taken the lease of this release.
    #[error("another controller has taken over")]
    LeaseLost,
}

/// Options of a controller.
#[derive(Clone, Debug)]
pub struct Options {
    /// Parent of the directories that hold each release's journal, command output and orders.
    pub dir: PathBuf,
    /// Return when the release halts.
    pub until_halt: bool,
}

/// Returns the wall clock's time in milliseconds since 1970.
pub fn wall_ms() -> Ms {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    Ms::try_from(wall.as_millis()).unwrap_or(Ms::MAX)
}

/// Returns the directory of a release's files.
pub fn release_dir(dir: &Path, plan: &Plan) -> PathBuf {
    dir.join(&plan.name)
}

/// Writes an order for the controller, which may be running or start later.
///
/// # Errors
/// Returns an error if the order cannot be written.
pub fn submit_order(dir: &Path, plan: &Plan, order: Order) -> io::Result<()> {
    let orders = release_dir(dir, plan).join("orders");
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

/// Returns the status that the controller wrote last.
///
/// # Errors
/// Returns an error if there is no status file or it is not valid JSON.
pub fn read_status(dir: &Path, plan: &Plan) -> io::Result<Value> {
    let text = fs::read_to_string(release_dir(dir, plan).join("status.json"))?;
    serde_json::from_str(&text).map_err(io::Error::from)
}

/// A job for the threads that call nodes.
enum Job {
    /// Request the statistics of the node with this index.
    FetchStats(usize),
    /// Make a call to the node with this index.
    Call(usize, OperatorCall, CallPurpose),
}

/// The purpose of a call.
#[derive(Clone, Copy)]
enum CallPurpose {
    /// Cordon (true) or uncordon the member with this index.
    Cordon(usize, bool),
    /// Renew the lease.
    Lease,
}

/// A result that a worker thread reports to the controller.
enum WorkerReport {
    /// Statistics of a node, with the time of the request; `None` if it did not answer.
    Stats(usize, Ms, Option<Value>),
    /// A node's answer to a call.
    CallAnswered(usize, CallPurpose, Result<(), String>),
    /// The end of a member's command, with its error.
    CommandEnded(usize, Option<String>),
}

/// The last report of one node.
#[derive(Default)]
struct NodeReport {
    /// True while a request for statistics is unanswered.
    request_pending: bool,
    /// Time at which the last answered request was made; 0 if there was none.
    requested_ms: Ms,
    /// The node's view of each member, by member index.
    views: BTreeMap<usize, MemberView>,
}

/// One node's view of a member.
struct MemberView {
    up: bool,
    start: Ms,
    cordoned: bool,
    in_flight: Option<u64>,
    sample: Sample,
}

/// Extracts the view of each member from a node's statistics. Done once per report, since views are read
/// more often.
fn member_views(
    plan: &Plan,
    ids: &HashMap<String, usize>,
    node: usize,
    stats: &Value,
) -> BTreeMap<usize, MemberView> {
    if plan.what == MemberKind::Nodes {
        let (up, start) = (stats["mode"] == "serving", stats["started_ms"].as_u64().unwrap_or(0));
        let view =
            MemberView { up, start, cordoned: false, in_flight: Some(0), sample: node_sample(stats) };
        return BTreeMap::from([(node, view)]);
    }
    let view = |b: &Value| {
        let member = ids.get(b["id"].as_str()?)?;
        let view = MemberView {
            up: b["listed"] == "up",
            start: b["start_ms"].as_u64().unwrap_or(0),
            cordoned: b["state"] == "cordoned",
            in_flight: b["in_flight"].as_u64(),
            sample: backend_sample(b),
        };
        Some((*member, view))
    };
    stats["backends"].as_array().into_iter().flatten().filter_map(view).collect()
}

/// The running controller.
struct Controller {
    plan: Arc<Plan>,
    dir: PathBuf,
    rollout: Rollout,
    store: Store<RealDisk>,
    nodes: Vec<NodeReport>,
    ids: HashMap<String, usize>,
    jobs: Sender<Job>,
    reports: Receiver<WorkerReport>,
    report_sender: Sender<WorkerReport>,
    /// Number of this controller's lease; a greater number takes the lease over.
    lease_number: u64,
    lease_lost: bool,
    started_ms: Ms,
    /// Counters per node and member at the time the watch began.
    baseline: BTreeMap<(usize, usize), Sample>,
    /// The last error of the journal. No further action is performed after one.
    store_error: Option<StoreError>,
}

/// Reads the counters of a backend from a node's statistics.
fn backend_sample(backend: &Value) -> Sample {
    let n = |key: &str| backend[key].as_u64().unwrap_or(0);
    let f = |key: &str| backend[key].as_f64().unwrap_or(0.0);
    Sample { done: n("done"), failed: n("failed"), ms: f("ms_sum"), ms_squared: f("ms_squared_sum") }
}

/// Sums the requests that a node itself has served.
fn node_sample(stats: &Value) -> Sample {
    let mut all = Sample::default();
    for class in stats["classes"].as_object().into_iter().flat_map(|c| c.values()) {
        all.done += class["served"].as_u64().unwrap_or(0);
        all.failed += class["failed"].as_u64().unwrap_or(0);
    }
    for backend in stats["backends"].as_array().into_iter().flatten() {
        let one = backend_sample(backend);
        (all.ms, all.ms_squared) = (all.ms + one.ms, all.ms_squared + one.ms_squared);
    }
    all
}

/// Carries out a release until it ends, or until it halts if `options.until_halt` is set. Setting `stop`
/// ends the controller and leaves the release unfinished. `print_line` receives each line of progress.
///
/// # Errors
/// Returns an error if the release cannot start, its journal fails, or another controller has taken the
/// lease.
pub fn run(
    plan: Plan,
    options: &Options,
    stop: &AtomicBool,
    mut print_line: impl FnMut(&str),
) -> Result<Mode, RunError> {
    let dir = release_dir(&options.dir, &plan);
    let dir_name = dir.display().to_string();
    let disk = RealDisk::open(&dir.join("journal")).map_err(|e| match e.kind() {
        io::ErrorKind::WouldBlock => RunError::JournalLocked(dir_name.clone()),
        _ => RunError::File(dir_name.clone(), e),
    })?;
    let store_error = |e| RunError::Store(dir_name.clone(), e);
    let (mut journal, _) = Store::open(disk, Limits::default()).map_err(store_error)?;
    let plan = Arc::new(plan);
    let text = |e: &Entry| String::from_utf8_lossy(&e.value).into_owned();
    let stored: BTreeMap<String, String> =
        journal.of_kind(ENTRY_KIND).map(|(key, e)| (key.to_owned(), text(e))).collect();
    let digest = plan.digest().to_string();
    if stored.get("plan").is_some_and(|known| *known != digest) {
        return Err(RunError::PlanChanged);
    }
    let holder = plan.name.clone();
    let all_stats: Vec<Option<Value>> = fetch_all_stats(&plan.nodes);
    let mut lease_number = stored.get("lease").and_then(|l| l.parse().ok()).unwrap_or(0_u64);
    for (stats, address) in all_stats.iter().zip(&plan.nodes) {
        let Some(held) = stats.as_ref().map(|f| &f["lease"]) else { continue };
        let (held_by, age_s) =
            (held["holder"].as_str().unwrap_or_default(), held["age_s"].as_u64().unwrap_or(u64::MAX));
        if !held_by.is_empty() && held_by != NO_HOLDER && held_by != holder && age_s < LEASE_EXPIRY_S {
            return Err(RunError::OtherRelease(*address, held_by.to_owned()));
        }
        lease_number = lease_number.max(held["number"].as_u64().unwrap_or(0));
    }
    lease_number += 1;
    for (key, value) in [("plan", digest), ("lease", lease_number.to_string())] {
        journal
            .put(ENTRY_KIND, key, Entry { written_ms: wall_ms(), value: value.into_bytes() })
            .map_err(store_error)?;
    }
    journal.sync().map_err(store_error)?;
    // Take the lease at every reachable node before any other action.
    let answers =
        call_all(&plan.nodes, &OperatorCall::Lease { holder: holder.clone(), number: lease_number });
    for (answer, address) in answers.into_iter().zip(&plan.nodes) {
        if let Some(Err(why)) = answer {
            return Err(RunError::OtherRelease(*address, why));
        }
    }
    let (jobs, job_receiver) = channel();
    let (report_sender, reports) = channel();
    spawn_callers(&plan, job_receiver, &report_sender);
    let now = wall_ms();
    let mut controller = Controller {
        rollout: Rollout::new(now, plan.clone(), &stored),
        nodes: plan.nodes.iter().map(|_| NodeReport::default()).collect(),
        ids: plan.member.iter().enumerate().map(|(n, m)| (m.id.clone(), n)).collect(),
        plan,
        dir,
        store: journal,
        jobs,
        reports,
        report_sender,
        lease_number,
        lease_lost: false,
        started_ms: now,
        baseline: BTreeMap::new(),
        store_error: None,
    };
    controller.run(options, stop, &mut print_line)
}

/// Requests the statistics of all nodes, at most `MAX_CONCURRENT_CALLS` at once. Returns `None` for a node
/// that does not answer.
fn fetch_all_stats(nodes: &[SocketAddr]) -> Vec<Option<Value>> {
    let mut all = Vec::new();
    for chunk in nodes.chunks(MAX_CONCURRENT_CALLS) {
        let threads: Vec<_> = chunk
            .iter()
            .map(|node| {
                let node = *node;
                thread::spawn(move || fetch_stats(node))
            })
            .collect();
        all.extend(threads.into_iter().map(|t| t.join().ok().flatten()));
    }
    all
}

/// Makes a call to all nodes, at most `MAX_CONCURRENT_CALLS` at once. Returns `None` for a node that does
/// not answer.
fn call_all(nodes: &[SocketAddr], call: &OperatorCall) -> Vec<Option<Result<String, String>>> {
    let mut all = Vec::new();
    for chunk in nodes.chunks(MAX_CONCURRENT_CALLS) {
        let threads: Vec<_> = (chunk.iter().copied())
            .map(|node| {
                let call = call.clone();
                thread::spawn(move || call_node(node, &call, CALL_TIMEOUT).ok())
            })
            .collect();
        all.extend(threads.into_iter().map(|t| t.join().ok().flatten()));
    }
    all
}

/// Requests a node's statistics. Returns `None` if it does not answer.
fn fetch_stats(node: SocketAddr) -> Option<Value> {
    let answer = call_node(node, &OperatorCall::Stats, CALL_TIMEOUT).ok()?.ok()?;
    serde_json::from_str(&answer).ok()
}

/// Starts the threads that call nodes. The threads end when the controller drops its job channel.
fn spawn_callers(plan: &Plan, job_receiver: Receiver<Job>, report_sender: &Sender<WorkerReport>) {
    let job_receiver = Arc::new(Mutex::new(job_receiver));
    for _ in 0..MAX_CONCURRENT_CALLS.min(plan.nodes.len()) {
        let (job_receiver, report_sender, nodes) =
            (job_receiver.clone(), report_sender.clone(), plan.nodes.clone());
        thread::spawn(move || {
            loop {
                let job = match job_receiver.lock() {
                    Ok(job_receiver) => job_receiver.recv(),
                    Err(_) => return,
                };
                let report = match job {
                    Ok(Job::FetchStats(node)) => {
                        let requested_ms = wall_ms();
                        WorkerReport::Stats(
                            node,
                            requested_ms,
                            nodes.get(node).and_then(|n| fetch_stats(*n)),
                        )
                    }
                    Ok(Job::Call(node, call, purpose)) => {
                        let answer = match nodes.get(node).map(|n| call_node(*n, &call, CALL_TIMEOUT)) {
                            Some(Ok(Ok(_))) => Ok(()),
                            Some(Ok(Err(why))) => Err(why),
                            Some(Err(e)) => Err(e.to_string()),
                            None => Err("no such node".to_owned()),
                        };
                        WorkerReport::CallAnswered(node, purpose, answer)
                    }
                    Err(_) => return,
                };
                if report_sender.send(report).is_err() {
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
        print_line: &mut impl FnMut(&str),
    ) -> Result<Mode, RunError> {
        let (mut requested_ms, mut compared_ms, mut renewed_ms, mut written_ms) = (0, 0, 0, 0);
        if self.rollout.state.watched.is_some() {
            // The previous controller's baseline was not stored. Without one, the comparison uses the nodes'
            // complete counters.
            self.baseline.clear();
        }
        loop {
            let now = wall_ms();
            while let Ok(report) = self.reports.try_recv() {
                self.handle_report(now, report, print_line);
            }
            for order in self.take_orders() {
                print_line(&format!("order: {order:?}"));
                self.handle_event(now, Event::OrderGiven(order), print_line);
            }
            if now >= requested_ms + self.stats_interval_ms() {
                requested_ms = now;
                for node in 0..self.nodes.len() {
                    if !std::mem::replace(&mut self.nodes[node].request_pending, true) {
                        let _ = self.jobs.send(Job::FetchStats(node));
                    }
                }
                self.observe_members(now, print_line);
            }
            if now >= renewed_ms + LEASE_RENEWAL_MS {
                renewed_ms = now;
                for node in 0..self.nodes.len() {
                    let call =
                        OperatorCall::Lease { holder: self.plan.name.clone(), number: self.lease_number };
                    let _ = self.jobs.send(Job::Call(node, call, CallPurpose::Lease));
                }
            }
            if now >= compared_ms + COMPARE_INTERVAL_MS {
                compared_ms = now;
                let (new, rest) = self.traffic_since_watch();
                self.handle_event(now, Event::GroupsCompared(new, rest), print_line);
            }
            self.handle_event(now, Event::Tick, print_line);
            if let Some(e) = self.store_error.take() {
                return Err(RunError::Store(self.dir.display().to_string(), e));
            }
            if self.lease_lost {
                return Err(RunError::LeaseLost);
            }
            let mode = self.rollout.state.mode;
            let has_halted = mode == Mode::Halted && options.until_halt && self.no_member_in_transition();
            let is_finished = mode == Mode::Over || has_halted || stop.load(Ordering::SeqCst);
            if is_finished || now >= written_ms + 500 {
                written_ms = now;
                self.write_status(now);
            }
            if is_finished {
                if mode == Mode::Over {
                    self.release_lease();
                }
                return Ok(mode);
            }
            thread::sleep(TICK_INTERVAL);
        }
    }

    /// Releases the lease. At a node that is not reached, the lease expires.
    fn release_lease(&self) {
        call_all(
            &self.plan.nodes,
            &OperatorCall::Lease { holder: NO_HOLDER.to_owned(), number: self.lease_number },
        );
    }

    /// True if no member is between its cordon and its return to service.
    fn no_member_in_transition(&self) -> bool {
        use crate::rollout::Phase;
        self.rollout.members.iter().all(|m| matches!(m.phase, Phase::In | Phase::Warming | Phase::Stuck))
    }

    fn handle_report(&mut self, now: Ms, report: WorkerReport, print_line: &mut impl FnMut(&str)) {
        match report {
            WorkerReport::Stats(node, requested_ms, stats) => {
                let Some(n) = self.nodes.get_mut(node) else { return };
                n.request_pending = false;
                if let Some(stats) = stats {
                    (n.requested_ms, n.views) =
                        (requested_ms, member_views(&self.plan, &self.ids, node, &stats));
                }
            }
            WorkerReport::CallAnswered(_, CallPurpose::Lease, Err(why)) if why.contains("lease") => {
                self.lose_lease(now, print_line)
            }
            WorkerReport::CallAnswered(_, CallPurpose::Lease, _) => {}
            WorkerReport::CallAnswered(node, CallPurpose::Cordon(member, cordon), answer) => {
                let error = answer.err();
                if error.as_ref().is_some_and(|e| e.contains("lease")) {
                    return self.lose_lease(now, print_line);
                }
                self.handle_event(now, Event::CordonAnswered { member, node, cordon, error }, print_line);
            }
            WorkerReport::CommandEnded(member, error) => {
                self.handle_event(now, Event::CommandEnded(member, error), print_line)
            }
        }
    }

    /// Stops all actions after another controller has taken the lease.
    fn lose_lease(&mut self, now: Ms, print_line: &mut impl FnMut(&str)) {
        self.lease_lost = true;
        self.handle_event(now, Event::LeaseLost, print_line);
    }

    /// Passes an event to the rollout and performs the resulting actions.
    fn handle_event(&mut self, now: Ms, event: Event, print_line: &mut impl FnMut(&str)) {
        let mut actions = Vec::new();
        self.rollout.handle(now, event, &mut actions);
        // One sync covers all entries stored before the first action with an outside effect.
        let mut needs_sync = false;
        for action in actions {
            match action {
                Action::Store(key, text) => {
                    let entry = Entry { written_ms: now, value: text.into_bytes() };
                    needs_sync = true;
                    if let Err(e) = self.store.put(ENTRY_KIND, &key, entry) {
                        self.store_error = Some(e);
                    }
                }
                Action::Audit(line) => {
                    print_line(&line);
                    self.append_audit(now, &line);
                }
                action => {
                    if needs_sync && let Err(e) = self.store.sync() {
                        self.store_error = Some(e);
                    }
                    needs_sync = false;
                    // An action is skipped if the state change before it is not durable.
                    if self.store_error.is_none() {
                        self.perform(action);
                    }
                }
            }
        }
        if needs_sync && let Err(e) = self.store.sync() {
            self.store_error = Some(e);
        }
    }

    /// Performs an action with an effect outside the controller.
    fn perform(&mut self, action: Action) {
        match action {
            Action::SetCordon { member, node, cordon } => {
                let Some(planned) = self.plan.member.get(member) else { return };
                let call =
                    OperatorCall::Leased { cordon, id: planned.id.clone(), lease: self.lease_number };
                let _ = self.jobs.send(Job::Call(node, call, CallPurpose::Cordon(member, cordon)));
            }
            Action::RunCommand { member, to } => {
                let (plan, report_sender, dir) =
                    (self.plan.clone(), self.report_sender.clone(), self.dir.join("output"));
                if plan.what == MemberKind::Nodes {
                    thread::spawn(move || {
                        let version = if to == Version::New { &plan.to } else { &plan.from };
                        let call = OperatorCall::Upgrade(version.clone());
                        let why =
                            match plan.nodes.get(member).map(|n| call_node(*n, &call, UPGRADE_TIMEOUT)) {
                                Some(Ok(Ok(_))) => None,
                                Some(Ok(Err(why))) => Some(why),
                                Some(Err(e)) => Some(e.to_string()),
                                None => Some("it has no supervisor".to_owned()),
                            };
                        let _ = report_sender.send(WorkerReport::CommandEnded(member, why));
                    });
                    return;
                }
                thread::spawn(move || {
                    let why = plan
                        .member
                        .get(member)
                        .and_then(|planned| run_member_command(&plan, planned, to, &dir).err());
                    let _ = report_sender.send(WorkerReport::CommandEnded(member, why));
                });
            }
            Action::StartWatch => self.baseline = self.counters(),
            Action::Store(..) | Action::Audit(_) => {}
        }
    }

    /// Returns the current counters of each node and member.
    fn counters(&self) -> BTreeMap<(usize, usize), Sample> {
        let mut all = BTreeMap::new();
        for (n, node) in self.nodes.iter().enumerate() {
            all.extend(node.views.iter().map(|(member, view)| ((n, *member), view.sample)));
        }
        all
    }

    /// Returns the traffic since the watch began: of members on the new version, and of all other members.
    fn traffic_since_watch(&self) -> (Sample, Sample) {
        let (mut new, mut rest) = (Sample::default(), Sample::default());
        for (at, now) in self.counters() {
            let since = now.since(&self.baseline.get(&at).copied().unwrap_or_default());
            let group = match self.rollout.members.get(at.1).map(|m| m.version) {
                Some(Version::New) => &mut new,
                _ => &mut rest,
            };
            group.add(&since);
        }
        (new, rest)
    }

    /// Merges all nodes' views of each member and passes the result to the rollout.
    fn observe_members(&mut self, now: Ms, print_line: &mut impl FnMut(&str)) {
        let oldest = self.nodes.iter().map(|n| n.requested_ms).min().unwrap_or(0);
        let all_fresh = now.saturating_sub(oldest) < self.max_stats_age_ms();
        let unobserved =
            MemberObservation { up: false, start: 0, cordoned: false, in_flight: all_fresh.then_some(0) };
        let mut all = vec![(oldest, unobserved); self.plan.member.len()];
        for node in &self.nodes {
            for (member, view) in &node.views {
                let Some((at, observation)) = all.get_mut(*member) else { continue };
                observation.up |= view.up;
                observation.start = observation.start.max(view.start);
                observation.cordoned |= view.cordoned;
                observation.in_flight = observation.in_flight.and_then(|all| Some(all + view.in_flight?));
                if self.plan.what == MemberKind::Nodes {
                    // In a release of nodes, each node reports only on itself.
                    (*at, observation.in_flight) = (node.requested_ms, view.in_flight);
                }
            }
        }
        for (member, (at, observation)) in all.into_iter().enumerate().filter(|(_, (at, _))| *at > 0) {
            // The observation is as old as the oldest report in it.
            self.handle_event(at, Event::Observed(member, observation), print_line);
        }
    }

    /// Interval between requests for statistics. It grows with the number of nodes to bound the
    /// controller's load.
    fn stats_interval_ms(&self) -> Ms {
        STATS_INTERVAL_MS.max(STATS_INTERVAL_PER_NODE_MS * self.nodes.len() as Ms)
    }

    /// Age of a node's statistics from which they are outdated.
    fn max_stats_age_ms(&self) -> Ms {
        MAX_STATS_AGE_MS.max(3 * self.stats_interval_ms())
    }

    /// Reads and removes all orders, oldest first.
    fn take_orders(&self) -> Vec<Order> {
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

    /// Appends a line to the audit log.
    fn append_audit(&self, now: Ms, line: &str) {
        let file = OpenOptions::new().create(true).append(true).open(self.dir.join("audit.log"));
        // The audit log is informative: a full disk is reported by the journal's errors.
        let _ = file.and_then(|mut f| writeln!(f, "{now} lease {} {line}", self.lease_number));
    }

    /// Replaces the status file.
    fn write_status(&self, now: Ms) {
        let rollout = &self.rollout;
        let member = |(m, planned): (&crate::rollout::Member, &Member)| {
            json!({"id": planned.id, "zone": planned.zone, "phase": m.phase, "version": m.version, "why": m.why,
                   "since_s": now.saturating_sub(m.since) / 1000, "held": m.held})
        };
        let members: Vec<Value> = rollout.members.iter().zip(&self.plan.member).map(member).collect();
        let new = rollout.members.iter().filter(|m| m.version == Version::New).count();
        let spent_s = now.saturating_sub(self.started_ms) / 1000;
        let remaining_s = (new > 0 && !rollout.state.back)
            .then(|| spent_s * (rollout.members.len() - new) as u64 / new as u64);
        let silent = self
            .nodes
            .iter()
            .zip(&self.plan.nodes)
            .filter(|(n, _)| now.saturating_sub(n.requested_ms) > self.max_stats_age_ms());
        let (new_sample, rest) = self.traffic_since_watch();
        let status = json!({
            "name": self.plan.name, "from": self.plan.from, "to": self.plan.to, "mode": rollout.state.mode,
            "back": rollout.state.back, "why": rollout.state.why,
            "stage": self.plan.stage.get(rollout.state.stage).map(|s| s.name.clone()), "on_new": new,
            "of": rollout.members.len(), "spent_s": spent_s, "left_s": remaining_s, "lease": self.lease_number, "written_ms": now,
            "silent_nodes": silent.map(|(_, at)| at.to_string()).collect::<Vec<_>>(),
            "named": rollout.needs_attention(), "compared": {"new": new_sample, "rest": rest}, "members": members,
        });
        let draft = self.dir.join("status.draft");
        let _ = fs::write(&draft, status.to_string())
            .and_then(|()| fs::rename(&draft, self.dir.join("status.json")));
    }
}

/// Runs the plan's command for a member, then the verification command until it succeeds or `back_s` has
/// passed.
fn run_member_command(plan: &Plan, member: &Member, to: Version, dir: &Path) -> Result<(), String> {
    let (command, version) = match to {
        Version::New => (&plan.restart, &plan.to),
        Version::Old => (&plan.back, &plan.from),
    };
    run_command(command, member, version, dir)?;
    if plan.verify.run.is_empty() {
        return Ok(());
    }
    let deadline = Instant::now() + Duration::from_secs(plan.times.back_s);
    loop {
        match run_command(&plan.verify, member, version, dir) {
            Ok(()) => return Ok(()),
            Err(why) if Instant::now() > deadline => return Err(format!("it is not on {version}: {why}")),
            Err(_) => thread::sleep(Duration::from_secs(1)),
        }
    }
}

/// Runs a command without a shell, to its end or its time limit. The output is appended to a file named
/// after the member's id.
fn run_command(command: &Command, member: &Member, version: &str, dir: &Path) -> Result<(), String> {
    let words = command.arguments(member, version);
    let [program, args @ ..] = &words[..] else { return Ok(()) };
    let safe_id: String =
        member.id.chars().map(|c| if c.is_ascii_alphanumeric() || c == '-' { c } else { '_' }).collect();
    let file = dir.join(format!("{safe_id}.txt"));
    let output =
        fs::create_dir_all(dir).and_then(|()| OpenOptions::new().create(true).append(true).open(&file));
    let mut output = output.map_err(|e| format!("{}: {e}", file.display()))?;
    if output.metadata().is_ok_and(|m| m.len() > MAX_OUTPUT_BYTES) {
        let _ = output.set_len(0);
    }
    let _ = writeln!(output, "$ {}", words.join(" "));
    let copies = output.try_clone().and_then(|o| Ok((o.try_clone()?, o)));
    let (stdout, stderr) = copies.map_err(|e| e.to_string())?;
    let child = std::process::Command::new(program)
        .args(args)
        .stdin(Stdio::null())
        .stdout(stdout)
        .stderr(stderr)
        .spawn();
    let mut child = child.map_err(|e| format!("{program}: {e}"))?;
    let limit_s = command.limit_seconds();
    let deadline = Instant::now() + Duration::from_secs(limit_s);
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
            Ok(None) if Instant::now() > deadline => {
                let _ = child.kill().and_then(|()| child.wait().map(drop));
                return Err(format!("{program} did not end within {limit_s} s, see {}", file.display()));
            }
            Ok(None) => thread::sleep(Duration::from_millis(30)),
            Err(e) => return Err(format!("{program}: {e}")),
        }
    }
}

/// Lists the members with their zones as the given nodes report them, as a start for a plan.
pub fn list_members(nodes: &[SocketAddr]) -> Vec<Member> {
    let mut all = BTreeSet::new();
    for stats in fetch_all_stats(nodes).into_iter().flatten() {
        for b in stats["backends"].as_array().into_iter().flatten() {
            let text = |key: &str| b[key].as_str().unwrap_or_default().to_owned();
            all.insert((text("id"), text("zone")));
        }
    }
    all.into_iter().map(|(id, zone)| Member { id, zone }).collect()
}
