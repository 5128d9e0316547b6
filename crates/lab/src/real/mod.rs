//! Runs a scenario on loopback: servers, discovery and clients are emulated in this process, nodes are
//! processes of their own, and faults are injected at their times.

pub mod addresses;
mod clients;
mod discovery;
mod links;
mod nodes;
mod peers;
mod releases;
mod servers;
mod timer;

use crate::checker::{Checker, Figures, Rule, Verdict};
use crate::plan::{Arrival, LinkState, Parties, Plan, PlannedFault, link_state, mix_bits, unit_interval};
use crate::scenario::{FaultKind, ReleaseTarget, Scenario};
use clients::Clients;
use daleturn_store::scripted_faults::FaultOrders;
use discovery::Discovery;
use links::{Link, lock};
use nodes::{Node, Nodes};
use peers::Peers;
use releases::Releases;
use serde::Serialize;
use servers::ServerHost;
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock, RwLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use thiserror::Error;
use timer::Timer;
use tokio::sync::watch;

/// Default time within which all nodes must become ready.
pub const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Time after the last arrival, in addition to the deadlines, for open requests to finish.
const FINAL_GRACE: Duration = Duration::from_millis(1200);
/// Interval at which nodes are checked for unexpected exits.
const EXIT_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which the live view is updated.
const VIEW_INTERVAL: Duration = Duration::from_millis(250);
/// Time for which servers know a request after it was sent, in milliseconds.
const TRY_RETENTION_MS: f64 = 30_000.0;
/// Time within which an operator's order for the whole fleet reaches every node that is reachable, in
/// milliseconds.
const FLEET_ORDER_MS: f64 = 1000.0;
/// Time for which a server drains before a planned restart.
const DRAIN_TIME: Duration = Duration::from_millis(1000);

/// How a scenario is run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Path of the node's program.
    pub node: PathBuf,
    /// Arguments for the node's program.
    pub node_args: Vec<String>,
    /// Path of the build that an upgrade installs; `None` for the same build.
    pub next: Option<PathBuf>,
    /// Directory for the nodes' logs, if they are kept.
    pub logs: Option<PathBuf>,
    /// Time within which all nodes must become ready.
    pub ready: Duration,
    /// Ends the run when it becomes true.
    pub stop: watch::Receiver<bool>,
}

/// Reasons why a scenario could not be run.
#[derive(Debug, Error)]
pub enum PlayError {
    /// A system call failed.
    #[error("{0}")]
    System(#[from] io::Error),
    /// A node did not become ready in time.
    #[error("node {node} did not get ready within {} s{}", within.as_secs_f64(), .why.as_ref().map_or(String::new(), |w| format!(": {w}")))]
    NotReady {
        /// Index of the node.
        node: usize,
        /// The time that it had.
        within: Duration,
        /// How its process ended, if it did.
        why: Option<String>,
    },
    /// The run was stopped through [`Options::stop`].
    #[error("stopped before the end of the run")]
    Stopped,
}

/// The result of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// Name of the scenario.
    pub name: String,
    /// The seed.
    pub seed: u64,
    /// Whether the rules and expectations were met.
    pub verdict: Verdict,
    /// The checker's figures.
    pub figures: Figures,
    /// CPU time of all nodes per try, in microseconds.
    pub cpu_us: f64,
    /// Resident memory of each node at the end, in kB.
    pub memory_kb: Vec<Option<u64>>,
    /// Time that starting the node's program takes by itself, in milliseconds, if nodes were restarted. The
    /// `first_ms` of restarted nodes includes it.
    pub start_ms: Option<f64>,
    /// Bytes that the nodes which keep state wrote to disk, without their logs.
    pub disk_bytes: u64,
}

impl Outcome {
    /// Returns the summary line that is printed last.
    pub fn line(&self) -> String {
        let head = format!("lab: {} seed {}:", self.name, self.seed);
        let worth = self.figures.worth;
        match &self.verdict {
            Verdict::Kept => format!("{head} KEPT worth {worth:.3}"),
            Verdict::Broken(why) => format!("{head} BROKEN {} (worth {worth:.3})", why.join("; ")),
            Verdict::Late(ms) => format!("{head} LATE by {ms:.1} ms, does not count (worth {worth:.3})"),
        }
    }
}

/// The state of a run at one time, for the live view.
#[derive(Clone, Debug)]
pub struct RunSnapshot {
    /// Time of the run, in seconds.
    pub at_s: f64,
    /// Share of the worth served in about the last two seconds.
    pub served: f64,
    /// Which nodes accept clients.
    pub nodes: Vec<bool>,
    /// Descriptions of the active faults.
    pub active_faults: Vec<String>,
    /// Tries refused so far.
    pub refused: u64,
    /// Tries failed so far.
    pub failed: u64,
    /// Attempts at each server so far.
    pub servers: Vec<u64>,
}

/// Tries by id, as servers know them, and the times at which they were sent, oldest first.
#[derive(Default)]
struct SentTries {
    known: HashMap<u64, Arrival>,
    order: VecDeque<(f64, u64)>,
}

/// All parties of a run.
pub struct World {
    /// The plan of the run.
    pub plan: Plan,
    /// The checker of the run.
    pub checker: Mutex<Checker>,
    /// Start of the run.
    begin: RwLock<Instant>,
    timer: Timer,
    hosts: Vec<Arc<ServerHost>>,
    discovery: OnceLock<Arc<Discovery>>,
    peers: OnceLock<Arc<Peers>>,
    releases: Releases,
    /// The nodes.
    pub nodes: Nodes,
    /// The clients.
    pub clients: Clients,
    /// Arguments for the node's program.
    pub node_args: Vec<String>,
    /// Path of the build that an upgrade installs.
    upgrade_program: Option<PathBuf>,
    /// True if clients connect to servers directly, for the baseline `direct`.
    direct: bool,
    sent: Mutex<SentTries>,
    /// Time at which each keyed request first reached a zone, by zone and key, in milliseconds of the run.
    repeats: Mutex<HashMap<(usize, String), f64>>,
    /// Number of random numbers drawn so far.
    draws: AtomicU64,
    is_ending: AtomicBool,
}

impl World {
    /// Returns the time of the run, in milliseconds; negative before it begins.
    pub fn now(&self) -> f64 {
        let begin = *self.begin.read().unwrap_or_else(std::sync::PoisonError::into_inner);
        let now = Instant::now();
        if now >= begin {
            (now - begin).as_secs_f64() * 1000.0
        } else {
            -(begin - now).as_secs_f64() * 1000.0
        }
    }

    /// Sleeps until a time of the run, in milliseconds.
    pub async fn sleep_until(&self, at_ms: f64) {
        let left_ms = at_ms - self.now();
        if left_ms > 0.0 {
            self.timer.sleep(Duration::from_secs_f64(left_ms / 1000.0)).await;
        }
    }

    /// Returns the next number of a random sequence in [0, 1).
    pub fn next_fraction(&self) -> f64 {
        let n = self.draws.fetch_add(1, Ordering::Relaxed);
        unit_interval(mix_bits(self.plan.seed ^ mix_bits(n)))
    }

    /// Returns a random number in [0, 1) that depends only on the seed and `key`.
    pub fn seeded_fraction(&self, key: u64) -> f64 {
        unit_interval(mix_bits(self.plan.seed.wrapping_add(mix_bits(key))))
    }

    /// Returns true once the run is over and its processes are being stopped.
    pub fn is_ending(&self) -> bool {
        self.is_ending.load(Ordering::SeqCst)
    }

    fn host(&self, server: usize) -> Option<&Arc<ServerHost>> {
        self.hosts.get(server)
    }

    /// Returns the running server with the fewest requests held relative to its speed.
    fn least_loaded(&self) -> Option<usize> {
        let load = |n: &usize| {
            let speed = self.plan.machines.get(*n).map_or(1.0, |m| m.speed);
            let mut held = f64::INFINITY;
            if let Some(host) = self.host(*n).filter(|h| h.is_up()) {
                host.model(|m| held = (m.held() as f64 + self.next_fraction()) / speed);
            }
            held
        };
        let loads = (0..self.hosts.len()).map(|n| (n, load(&n)));
        loads.filter(|l| l.1.is_finite()).min_by(|a, b| a.1.total_cmp(&b.1)).map(|l| l.0)
    }

    fn discovery(&self) -> Option<&Arc<Discovery>> {
        self.discovery.get()
    }

    fn peer_addresses(&self, node: usize) -> Option<(Vec<String>, String)> {
        self.peers.get().and_then(|p| p.addresses(node))
    }

    /// Returns true if disks fail or lose power in this run; nodes then run with scripted disk faults.
    fn has_disk_faults(&self) -> bool {
        self.plan.faults.iter().any(|f| f.kind == FaultKind::NodePowerLoss || f.kind.affects_disks())
    }

    /// Returns the id of a client's try.
    fn try_id(&self, arrival: &Arrival, number: u32) -> u64 {
        mix_bits(self.plan.seed ^ mix_bits((arrival.number << 8) | (u64::from(number) + 1)))
    }

    /// Registers a try that a client is about to send, by which servers recognize it.
    fn register_try(&self, id: u64, arrival: &Arrival) {
        let now = self.now();
        let SentTries { known, order } = &mut *lock(&self.sent);
        known.insert(id, *arrival);
        order.push_back((now, id));
        while order.front().is_some_and(|(at, _)| now - at > TRY_RETENTION_MS) {
            if let Some((_, id)) = order.pop_front() {
                known.remove(&id);
            }
        }
    }

    /// Returns the request of a try that was registered in the last [`TRY_RETENTION_MS`].
    fn sent_try(&self, id: u64) -> Option<Arrival> {
        lock(&self.sent).known.get(&id).copied()
    }

    /// Records that a keyed request reached a zone, and returns true if the servers there must drop it as a
    /// repeat.
    fn is_repeat(&self, zone: usize, key: &str, class: usize, now: f64) -> bool {
        let ttl_ms = self.plan.scenario.class.get(class).map_or(0.0, |c| c.key_ttl_ms);
        let mut repeats = lock(&self.repeats);
        if repeats.len() > 100_000 {
            repeats.retain(|_, at| now - *at < TRY_RETENTION_MS);
        }
        let first = *repeats.entry((zone, key.to_owned())).or_insert(now);
        first != now && now - first < ttl_ms
    }

    /// Waits for the one-way delay between a node and a server.
    async fn network_delay(&self, node: usize, server: usize, links: &[Arc<Link>]) {
        let net = &self.plan.scenario.net;
        let zone = self.plan.machines.get(server).map(|m| m.zone);
        let node_zone = self.plan.node_zones.get(node).copied();
        let usual_ms = if zone == node_zone { net.same_ms } else { net.cross_ms };
        let added_ms = links.get(node).map_or(0.0, |l| l.link_state().delay_ms);
        if net.relays && usual_ms + added_ms > 0.0 {
            self.timer.sleep(Duration::from_secs_f64((usual_ms + added_ms) / 1000.0)).await;
        }
    }

    /// Returns the boot time of a server that starts now: the current Unix time, in milliseconds.
    fn boot_ms() -> u64 {
        SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
    }
}

/// The temporary directory of a run, which is removed when this value is dropped.
struct Scratch(PathBuf);

impl Scratch {
    fn new() -> io::Result<Scratch> {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        let n = NEXT.fetch_add(1, Ordering::Relaxed);
        let dir = std::env::temp_dir().join(format!("daleturn-lab-{}-{n}", std::process::id()));
        std::fs::create_dir_all(&dir)?;
        Ok(Scratch(dir))
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        // A directory that remains does no harm.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Runs a scenario. `view` is called with the current state at intervals.
///
/// # Errors
/// Returns an error if the run cannot be set up, a node does not become ready, or the run is stopped.
pub async fn play(
    scenario: &Scenario,
    seed: u64,
    options: &Options,
    mut view: impl FnMut(&RunSnapshot),
) -> Result<Outcome, PlayError> {
    let plan = Plan::draw(scenario, seed);
    let scratch = Scratch::new()?;
    let nodes: io::Result<Nodes> = (0..plan.node_zones.len())
        .map(|n| Node::new(n, &options.node, &scratch.0, options.logs.as_deref()).map(Arc::new))
        .collect();
    let nodes = nodes?;
    let mut world = World {
        checker: Mutex::new(Checker::new(&plan)),
        begin: RwLock::new(Instant::now() + Duration::from_secs(3600)),
        timer: Timer::start()?,
        hosts: Vec::new(),
        discovery: OnceLock::new(),
        peers: OnceLock::new(),
        clients: Clients::new(scenario.fleet.zones.len(), nodes.len()),
        releases: Releases::new(scratch.0.join("releases"), daleturn_command()),
        nodes,
        node_args: options.node_args.clone(),
        upgrade_program: options.next.clone(),
        direct: options.node_args == ["baseline", "direct"],
        sent: Mutex::default(),
        repeats: Mutex::default(),
        draws: AtomicU64::new(0),
        is_ending: AtomicBool::new(false),
        plan,
    };
    world.hosts = (0..world.plan.machines.len()).map(|n| Arc::new(ServerHost::new(&world, n))).collect();
    let world = Arc::new(world);
    for host in &world.hosts {
        host.start(&world)?;
    }
    let discovery = Arc::new(Discovery::new(&world));
    discovery.open(&world)?;
    let _ = world.discovery.set(discovery);
    let peers = Arc::new(Peers::open(world.nodes.iter().map(|n| n.peer_listen).collect()).await?);
    peers.start(&world);
    let _ = world.peers.set(peers);
    for node in &world.nodes {
        node.start(&world)?;
        tokio::spawn(Clients::check_health(world.clone(), node.number));
    }
    let mut stop = options.stop.clone();
    let played = tokio::select! {
        played = run(&world, options, &mut view) => played,
        _ = stop.wait_for(|stop| *stop) => Err(PlayError::Stopped),
    };
    world.is_ending.store(true, Ordering::SeqCst);
    if played.is_err() {
        for node in &world.nodes {
            node.kill().await;
        }
    }
    played?;
    let nodes_on_new = world.nodes.iter().filter(|n| n.runs_new_version()).count();
    let memory_kb = world.nodes.iter().map(|n| n.memory_kb()).collect();
    let disk_bytes = world.nodes.iter().map(|n| n.written_bytes()).sum();
    let ends = world.nodes.iter().map(|node| {
        let node = node.clone();
        tokio::spawn(async move {
            node.freeze(false);
            let ended = node.stop().await;
            node.kill().await;
            ended
        })
    });
    for end in ends.collect::<Vec<_>>() {
        if let Ok(Err(why)) = end.await {
            let now = world.now();
            lock(&world.checker).record_violation(Rule::Crash, now, why);
        }
    }
    world.releases.kill().await;
    let release = world.releases.outcome().map(|(stands, why, on_new)| crate::checker::Release {
        stands,
        why,
        on_new: if scenario.release.what == ReleaseTarget::Nodes { nodes_on_new } else { on_new },
        restarts: world.releases.restarts().len(),
    });
    lock(&world.checker).record_release(release);
    let (mut keyed_requests, mut known_key_requests) = (0, 0);
    for host in &world.hosts {
        host.model(|m| {
            (keyed_requests, known_key_requests) =
                (keyed_requests + m.keyed_requests, known_key_requests + m.known_key_requests)
        });
    }
    lock(&world.checker).record_keys(keyed_requests, known_key_requests);
    let figures = lock(&world.checker).figures();
    let cpu: u64 = world.nodes.iter().map(|n| n.cpu_ns()).sum();
    let tries = figures.tries * figures.asked as f64;
    Ok(Outcome {
        name: scenario.name.clone(),
        seed,
        verdict: figures.verdict(&scenario.expect),
        cpu_us: cpu as f64 / 1000.0 / tries.max(1.0),
        start_ms: match (&figures.returns, world.nodes.first()) {
            (Some(_), Some(node)) => node.bare_start_ms().await,
            _ => None,
        },
        figures,
        memory_kb,
        disk_bytes,
    })
}

/// Waits until all nodes are ready, and runs the arrivals and faults to the end.
async fn run(
    world: &Arc<World>,
    options: &Options,
    view: &mut impl FnMut(&RunSnapshot),
) -> Result<(), PlayError> {
    let end = Instant::now() + options.ready;
    while let Some(node) = world.nodes.iter().find(|n| !world.clients.is_ready(n.number)) {
        let why = world.nodes.iter().find_map(|n| n.take_crashed());
        if why.is_some() || Instant::now() > end {
            return Err(PlayError::NotReady { node: node.number, within: options.ready, why });
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    *world.begin.write().unwrap_or_else(std::sync::PoisonError::into_inner) = Instant::now();
    let injector = Arc::new(FaultInjector {
        world: world.clone(),
        active: Mutex::default(),
        upgrade_program: options.next.clone(),
    });
    world.releases.open(&injector).await?;
    for fault in world.plan.faults.clone() {
        tokio::spawn(injector.clone().inject(fault));
    }
    for node in world.nodes.iter().filter(|_| world.plan.scenario.load.idle > 0) {
        tokio::spawn(Clients::hold_idle_connections(world.clone(), node.number));
    }
    let arrivals = {
        let world = world.clone();
        tokio::spawn(async move {
            let mut open = tokio::task::JoinSet::new();
            let plan = world.plan.clone();
            for client in 0..plan.scenario.load.closed {
                open.spawn(closed_loop_client(world.clone(), client));
            }
            if plan.scenario.load.closed > 0 {
                while open.join_next().await.is_some() {}
                return;
            }
            for arrival in plan.arrivals() {
                world.sleep_until(arrival.at_ms).await;
                let late_ms = world.now() - arrival.at_ms;
                lock(&world.checker).record_lateness(late_ms);
                open.spawn(Clients::run_client(world.clone(), arrival));
                while open.try_join_next().is_some() {}
            }
            while open.join_next().await.is_some() {}
        })
    };
    let max_deadline_ms = world.plan.scenario.class.iter().map(|c| c.deadline_ms).fold(0.0, f64::max);
    let end_ms = world.plan.length_ms() + 2.0 * max_deadline_ms + FINAL_GRACE.as_secs_f64() * 1000.0;
    let mut last_view = Instant::now();
    loop {
        for node in &world.nodes {
            if let Some(why) = node.take_crashed() {
                let now = world.now();
                lock(&world.checker).record_violation(Rule::Crash, now, why);
                // The rest of the run continues without the node, and the requests lost with it break no
                // further rule.
                node.excuse_losses(true);
            }
        }
        if last_view.elapsed() >= VIEW_INTERVAL {
            last_view = Instant::now();
            view(&run_snapshot(world, &injector));
        }
        if arrivals.is_finished() || world.now() > end_ms {
            view(&run_snapshot(world, &injector));
            return Ok(());
        }
        tokio::time::sleep(EXIT_CHECK_INTERVAL).await;
    }
}

/// Runs one client of a closed loop until the end of the run.
async fn closed_loop_client(world: Arc<World>, client: usize) {
    let plan = world.plan.clone();
    let clients = plan.scenario.load.closed;
    for arrival in plan.arrivals().skip(client).step_by(clients) {
        let now = world.now();
        if now >= plan.length_ms() || world.is_ending() {
            return;
        }
        Clients::run_client(world.clone(), Arrival { at_ms: now.max(0.0), ..arrival }).await;
    }
}

fn run_snapshot(world: &World, injector: &FaultInjector) -> RunSnapshot {
    let now = world.now();
    let active = lock(&injector.active).clone();
    let checker = lock(&world.checker);
    let (refused, failed, servers) = checker.live_counts();
    RunSnapshot {
        at_s: now / 1000.0,
        served: checker.recent_worth_share(now - 600.0, 2000.0),
        nodes: (0..world.nodes.len()).map(|n| world.clients.is_ready(n)).collect(),
        active_faults: world
            .plan
            .faults
            .iter()
            .filter(|f| active.contains(&f.number))
            .map(describe)
            .collect(),
        refused,
        failed,
        servers,
    }
}

/// Returns the kind of a fault and its first targets, for the live view.
fn describe(fault: &PlannedFault) -> String {
    let kind = serde_json::to_value(fault.kind).ok().and_then(|v| v.as_str().map(str::to_owned));
    let servers = fault.on.servers.iter().map(|s| format!("s{s}"));
    let nodes = fault.on.nodes.iter().map(|n| format!("n{n}"));
    let targets: Vec<String> = servers.chain(nodes).take(6).collect();
    format!("{} {}", kind.unwrap_or_default(), targets.join(","))
}

/// Injects the faults of a run.
struct FaultInjector {
    world: Arc<World>,
    /// Numbers of the active faults.
    active: Mutex<BTreeSet<usize>>,
    upgrade_program: Option<PathBuf>,
}

impl FaultInjector {
    /// Injects one fault at its start and removes it at its end.
    async fn inject(self: Arc<Self>, fault: PlannedFault) {
        self.world.sleep_until(fault.at_ms).await;
        lock(&self.active).insert(fault.number);
        let run_length_ms = self.world.plan.length_ms();
        let until_ms = fault_end_ms(&self.world, &fault);
        lock(&self.world.checker).record_fault(
            fault.kind,
            fault.number,
            fault.at_ms,
            until_ms.min(run_length_ms),
        );
        self.apply_active();
        self.begin(&fault).await;
        self.world.sleep_until(until_ms).await;
        lock(&self.active).remove(&fault.number);
        self.apply_active();
        self.end(&fault).await;
    }

    /// Applies the lasting effects of all active faults, which may overlap.
    fn apply_active(&self) {
        let world = &self.world;
        let active = lock(&self.active).clone();
        let faults: Vec<&PlannedFault> =
            world.plan.faults.iter().filter(|f| active.contains(&f.number)).collect();
        for (n, host) in world.hosts.iter().enumerate() {
            let faults_here = || faults.iter().filter(|f| f.on.servers.contains(&n));
            let is = |kind: FaultKind| faults_here().any(|f| f.kind == kind);
            let max_size = |kind: FaultKind| {
                faults_here().filter(|f| f.kind == kind).map(|f| f.size).fold(0.0, f64::max)
            };
            let release = &world.plan.scenario.release;
            let release_is_bad = world.releases.on_new(n)
                && (0..world.hosts.len()).filter(|s| world.releases.on_new(*s)).count() >= release.bad_from;
            let (slower, errors) =
                if release_is_bad { (release.slower, release.errors) } else { (1.0, 0.0) };
            host.model(|m| {
                m.speed_factor = 1.0 / max_size(FaultKind::ServerSlow).max(1.0).max(slower);
                m.neighbour_share = max_size(FaultKind::ServerNeighbour).clamp(0.0, 0.99);
                m.pause_ms = max_size(FaultKind::ServerPauses).clamp(0.0, 990.0);
            });
            host.set_faults(|f| {
                f.silent = is(FaultKind::ServerSilent);
                f.errors = max_size(FaultKind::ServerErrors).max(errors);
                f.resets = max_size(FaultKind::ServerResets);
                f.full = is(FaultKind::ServerFull);
                f.report_late_ms = max_size(FaultKind::ServerReportsLate) * 1000.0;
            });
            for node in 0..world.nodes.len() {
                if let Some(link) = host.link(node) {
                    link.set_duplicate(is(FaultKind::ServerTwice));
                    let party = |e: &Parties| e.servers.contains(&n);
                    let mut link_state = link_state(&faults, node, &party);
                    if is(FaultKind::ServerVanish) {
                        link_state = LinkState { outbound: false, inbound: false, ..link_state };
                    }
                    link.set(link_state);
                    host.update_accept_mode(node, is(FaultKind::ServerVanish));
                }
            }
        }
        if let Some(discovery) = world.discovery() {
            let is = |kind: FaultKind| faults.iter().any(|f| f.kind == kind);
            let slow = faults.iter().filter(|f| f.kind == FaultKind::DiscoverySlow).map(|f| f.size);
            let slow = slow.fold(1.0, f64::max);
            discovery.set_faults(|s| {
                s.down = is(FaultKind::DiscoveryDown);
                s.silent = is(FaultKind::DiscoverySilent);
                s.slow = slow;
            });
            for node in 0..world.nodes.len() {
                if let Some(link) = discovery.link(node) {
                    link.set(link_state(&faults, node, &|e: &Parties| e.discovery));
                    discovery.update_accept_mode(node);
                }
            }
        }
        for (zone, paths) in world.clients.paths.iter().enumerate() {
            for (node, path) in paths.iter().enumerate() {
                path.link.set(link_state(&faults, node, &|e: &Parties| e.clients.contains(&zone)));
            }
        }
        if world.has_disk_faults() {
            for (n, node) in world.nodes.iter().enumerate() {
                let faults_here = || faults.iter().filter(|f| f.on.nodes.contains(&n));
                let is = |kind: FaultKind| faults_here().any(|f| f.kind == kind);
                let slow = faults_here()
                    .filter(|f| f.kind == FaultKind::DiskSlow)
                    .map(|f| f.size)
                    .fold(0.0, f64::max);
                let orders = FaultOrders {
                    sync_ms: slow.max(0.0) as u64,
                    full: is(FaultKind::DiskFull),
                    broken: is(FaultKind::DiskBroken),
                    read_only: is(FaultKind::DiskReadOnly),
                };
                if let Err(e) = node.set_disk_faults(orders) {
                    let now = world.now();
                    lock(&world.checker).record_violation(
                        Rule::Crash,
                        now,
                        format!("orders to the disk of node {n}: {e}"),
                    );
                }
            }
        }
        if let Some(peers) = world.peers.get() {
            let mut cut = std::collections::HashSet::new();
            for i in 0..world.nodes.len() {
                for j in (0..world.nodes.len()).filter(|j| *j != i) {
                    if !link_state(&faults, i, &|e: &Parties| e.nodes.contains(&j)).outbound {
                        cut.insert((i, j));
                    }
                }
            }
            let max_size = |kind: FaultKind| {
                faults.iter().filter(|f| f.kind == kind).map(|f| f.size).fold(0.0, f64::max)
            };
            peers.set_faults(|w| {
                w.cut = cut;
                w.loss = max_size(FaultKind::PeerLoss);
                w.duplicate = max_size(FaultKind::PeerDouble);
            });
        }
    }

    /// Updates the entry of a server in discovery's list after the delay with which discovery notices the
    /// change, multiplied by `times`.
    fn update_discovery(&self, server: usize, name: String, state: &'static str, boot_ms: u64, times: f64) {
        let world = self.world.clone();
        let delay_ms = world.plan.machines.get(server).map_or(0.0, |m| m.notice_ms) * times;
        let starts = world.host(server).map(|h| h.starts());
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_secs_f64(delay_ms / 1000.0)).await;
            if delay_ms > 0.0 && world.host(server).map(|h| h.starts()) != starts {
                // The process has started or ended again in the meantime, which makes this update obsolete.
                return;
            }
            if let Some(discovery) = world.discovery() {
                discovery.set_entry(&name, server, state, boot_ms);
            }
        });
    }

    fn server_name(&self, server: usize) -> String {
        self.world.plan.machines.get(server).map(|m| m.name.clone()).unwrap_or_default()
    }

    /// Carries out what happens once at the start of a fault.
    async fn begin(&self, fault: &PlannedFault) {
        let world = &self.world;
        for &s in &fault.on.servers {
            let Some(host) = world.host(s) else { continue };
            match fault.kind {
                FaultKind::ServerDown => {
                    host.down(false);
                    self.update_discovery(s, self.server_name(s), "removed", 0, 1.0);
                }
                FaultKind::ServerVanish => {
                    host.down(true);
                    // A machine that stops responding is noticed later than a process that ended.
                    self.update_discovery(s, self.server_name(s), "removed", 0, 3.0);
                }
                FaultKind::ServerDrain => self.update_discovery(s, self.server_name(s), "draining", 0, 0.0),
                FaultKind::ServerRestart => {
                    self.update_discovery(s, self.server_name(s), "draining", 0, 0.0);
                    let (host, remove) = (host.clone(), self.removal_from_discovery(s));
                    tokio::spawn(async move {
                        tokio::time::sleep(DRAIN_TIME).await;
                        host.down(false);
                        remove();
                    });
                }
                FaultKind::ServerReplace => {
                    host.down(false);
                    self.update_discovery(s, self.server_name(s), "removed", 0, 0.0);
                    tokio::time::sleep(Duration::from_millis(50)).await;
                    host.start_cold(world.now());
                    let name = format!("{}-r{}", self.server_name(s), fault.number);
                    self.update_discovery(s, name, "up", World::boot_ms(), 1.0);
                }
                _ => {}
            }
        }
        for &n in &fault.on.nodes {
            let Some(node) = world.nodes.get(n).cloned() else { continue };
            let done = match fault.kind {
                FaultKind::NodeKill => {
                    node.excuse_losses(true);
                    node.kill().await;
                    Ok(())
                }
                FaultKind::NodePowerLoss => {
                    node.excuse_losses(true);
                    node.kill().await;
                    let mut draws = 0_u64;
                    let purpose = mix_bits(fault.number as u64 ^ ((n as u64) << 32));
                    let draw = |most: usize| {
                        draws += 1;
                        (world.seeded_fraction(purpose.wrapping_add(draws)) * most as f64) as usize
                    };
                    node.lose_power(draw)
                        .map_err(|e| format!("the disk of node {n} after its power loss: {e}"))
                }
                FaultKind::NodeFreeze => {
                    node.excuse_losses(true);
                    node.freeze(true);
                    Ok(())
                }
                FaultKind::NodeStop => node.stop().await,
                FaultKind::NodeUpgrade => {
                    if let Some(program) = &self.upgrade_program {
                        node.set_program(program);
                    }
                    node.upgrade(world).await
                }
                FaultKind::NodeReload => node.reload(world).map_err(|e| e.to_string()),
                FaultKind::NodeCall => self.call_operator(&node, &fault.say).await,
                _ => Ok(()),
            };
            if let Err(why) = done {
                let now = world.now();
                lock(&world.checker).record_violation(Rule::Crash, now, why);
            }
        }
        if fault.kind == FaultKind::NodeCrashes {
            tokio::spawn(crash_nodes(world.clone(), fault.clone(), fault_end_ms(world, fault)));
        }
        let release = match fault.kind {
            FaultKind::Release => world.releases.start(world).map_err(|e| e.to_string()),
            FaultKind::ReleaseKill => {
                world.releases.kill().await;
                Ok(())
            }
            FaultKind::ReleaseFreeze => {
                world.releases.freeze(true);
                Ok(())
            }
            FaultKind::ReleaseOrder => world.releases.send_order(&fault.say).await,
            FaultKind::ReleaseSecond => world.releases.start_second(world).await,
            _ => Ok(()),
        };
        if let Err(why) = release {
            let now = world.now();
            lock(&world.checker).record_violation(Rule::Crash, now, why);
        }
        if fault.kind == FaultKind::DiscoveryMove {
            let Some(discovery) = world.discovery() else { return };
            if discovery.open(world).is_ok() {
                for node in &world.nodes {
                    // A node that cannot be signalled keeps calling the old address, which shows in the
                    // figures.
                    let _ = node.reload(world);
                }
            }
        }
    }

    /// Returns a function that removes a server from discovery's list.
    fn removal_from_discovery(&self, server: usize) -> impl FnOnce() + Send + use<> {
        let (world, name) = (self.world.clone(), self.server_name(server));
        move || {
            if let Some(discovery) = world.discovery() {
                discovery.set_entry(&name, server, "removed", 0);
            }
        }
    }

    /// Sends an operator's call to a node. What it says about a server binds the node from its `OK` on.
    async fn call_operator(&self, node: &Node, words: &str) -> Result<(), String> {
        let Some(operator) = node.operator() else {
            return Err(format!("node {} is not running", node.number));
        };
        let answer = nodes::call(operator, words.to_owned()).await;
        let now = self.world.now();
        let mut parts = words.split_whitespace();
        let word = parts.next();
        let fleet = words.split_whitespace().nth(1) == Some("--fleet");
        let id = parts.next_back();
        if let (Ok(_), Some(word @ ("cordon" | "uncordon")), Some(id)) = (&answer, word, id)
            && let Some(server) = self.world.plan.machines.iter().position(|m| m.name == id)
        {
            let mut checker = lock(&self.world.checker);
            checker.operator_order(now, node.number, server, word == "cordon");
            for other in (0..self.world.nodes.len()).filter(|n| fleet && *n != node.number) {
                // An uncordon applies to other nodes immediately, because one that has already received it
                // may use the server. A cordon applies once it must have reached them.
                let at = if word == "cordon" { now + FLEET_ORDER_MS } else { now };
                checker.operator_order(at, other, server, word == "cordon");
            }
        }
        answer.map(drop).map_err(|e| format!("node {} to {words:?}: {e}", node.number))
    }

    /// Carries out what happens once at the end of a fault.
    async fn end(&self, fault: &PlannedFault) {
        let world = &self.world;
        match fault.kind {
            FaultKind::ReleaseKill => {
                if let Err(e) = world.releases.start(world) {
                    let now = world.now();
                    lock(&world.checker).record_violation(
                        Rule::Crash,
                        now,
                        format!("the next controller: {e}"),
                    );
                }
            }
            FaultKind::ReleaseFreeze => world.releases.freeze(false),
            _ => {}
        }
        for &s in &fault.on.servers {
            let Some(host) = world.host(s) else { continue };
            match fault.kind {
                FaultKind::ServerDown | FaultKind::ServerVanish | FaultKind::ServerRestart => {
                    host.start_cold(world.now());
                    self.update_discovery(s, self.server_name(s), "up", World::boot_ms(), 1.0);
                }
                FaultKind::ServerDrain => self.update_discovery(s, self.server_name(s), "up", 0, 0.0),
                _ => {}
            }
        }
        for &n in &fault.on.nodes {
            let Some(node) = world.nodes.get(n) else { continue };
            match fault.kind {
                FaultKind::NodeKill | FaultKind::NodePowerLoss | FaultKind::NodeStop => {
                    restart_node(world, node)
                }
                FaultKind::NodeFreeze => {
                    node.freeze(false);
                    node.resumed_ms.store(world.now().max(0.0).ceil() as u64, Ordering::SeqCst);
                    node.excuse_losses(false);
                }
                _ => {}
            }
        }
    }
}

/// Restarts a node and measures the time until it serves.
fn restart_node(world: &Arc<World>, node: &Arc<Node>) {
    let (n, now) = (node.number, world.now());
    {
        let mut checker = lock(&world.checker);
        checker.node_lost_knowledge(n);
        checker.node_return_begun(now, n);
    }
    let started = Instant::now();
    match node.start(world) {
        Ok(_) => drop(tokio::spawn(Clients::await_first_answer(world.clone(), n, started))),
        Err(e) => {
            lock(&world.checker).record_violation(Rule::Crash, now, format!("node {n} cannot start: {e}"))
        }
    }
    // The answers to requests that were open when the node ended may reach their clients only now.
    node.resumed_ms.store(now.max(0.0).ceil() as u64, Ordering::SeqCst);
    node.excuse_losses(false);
}

/// Returns the end of a fault, in milliseconds of the run.
fn fault_end_ms(world: &World, fault: &PlannedFault) -> f64 {
    let run_length_ms = world.plan.length_ms();
    fault.until_ms.unwrap_or(if lasts_until_end(fault.kind) { run_length_ms } else { fault.at_ms })
}

/// Kills the nodes one after the other, each at a random time within its share of the interval, and
/// restarts each immediately.
async fn crash_nodes(world: Arc<World>, fault: PlannedFault, until_ms: f64) {
    let times = fault.size.max(0.0) as usize;
    let step_ms = (until_ms - fault.at_ms) / times.max(1) as f64;
    for n in 0..times {
        let draw = world.seeded_fraction(mix_bits(fault.number as u64) ^ n as u64);
        world.sleep_until(fault.at_ms + step_ms * (n as f64 + draw)).await;
        if world.is_ending() || fault.on.nodes.is_empty() {
            return;
        }
        let Some(node) = world.nodes.get(fault.on.nodes[n % fault.on.nodes.len()]) else { continue };
        node.excuse_losses(true);
        node.kill().await;
        restart_node(&world, node);
    }
}

/// Returns true if a fault without a duration lasts until the end of the run.
fn lasts_until_end(kind: FaultKind) -> bool {
    !matches!(
        kind,
        FaultKind::Mark
            | FaultKind::ServerReplace
            | FaultKind::NodeKill
            | FaultKind::NodePowerLoss
            | FaultKind::NodeStop
            | FaultKind::NodeUpgrade
            | FaultKind::NodeReload
            | FaultKind::NodeCall
            | FaultKind::DiscoveryMove
            | FaultKind::Release
            | FaultKind::ReleaseKill
            | FaultKind::ReleaseOrder
            | FaultKind::ReleaseSecond
    )
}

/// Runs a future on a runtime of its own.
///
/// # Errors
/// Returns an error if the system cannot provide the runtime's threads.
pub fn block_on<F: Future>(work: F) -> io::Result<F::Output> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let done = runtime.block_on(work);
    // Tasks that still listen or wait are abandoned.
    runtime.shutdown_timeout(Duration::from_millis(100));
    Ok(done)
}

/// Returns the path of the `daleturn` command: this program, or one in the directories searched by
/// [`find_program`].
fn daleturn_command() -> Option<PathBuf> {
    let own = std::env::current_exe().ok()?;
    if own.file_name().is_some_and(|n| n == "daleturn") {
        Some(own)
    } else {
        find_program(&own, "daleturn")
    }
}

/// Returns the path of the program `name` in the directory of `own` or in one of the two directories above,
/// as the build arranges them.
pub fn find_program(own: &Path, name: &str) -> Option<PathBuf> {
    own.ancestors().skip(1).take(3).map(|dir| dir.join(name)).find(|p| p.is_file())
}
