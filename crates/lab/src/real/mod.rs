//! A day on loopback: servers, discovery and clients in this process, nodes as processes of their own, and troubles
//! by the clock.

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
use servers::Host;
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::io;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock, RwLock};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use thiserror::Error;
use timer::Timer;
use tokio::sync::watch;

/// Nodes must be ready within this, usually.
pub const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// After the last arrival, what is still open has its time and this.
const LAST: Duration = Duration::from_millis(1200);
/// How often it is looked whether a node has ended by itself.
const LOOK: Duration = Duration::from_millis(50);
/// How often a live view is renewed.
const VIEW: Duration = Duration::from_millis(250);
/// A request is known to servers for so long after it was sent, in milliseconds.
const KNOWN_MS: f64 = 30_000.0;
/// An operator's word for the whole fleet is with every node that can be reached within this, in milliseconds.
const FLEET_WORD_MS: f64 = 1000.0;
/// A planned restart drains for so long before the process ends.
const DRAIN: Duration = Duration::from_millis(1000);

/// How a day is played.
#[derive(Clone, Debug)]
pub struct Options {
    /// The node's program.
    pub node: PathBuf,
    /// Arguments to it.
    pub node_args: Vec<String>,
    /// Another build that an upgrade brings; the same where there is none.
    pub next: Option<PathBuf>,
    /// Where the nodes' logs go.
    pub logs: Option<PathBuf>,
    /// Time for all nodes to get ready.
    pub ready: Duration,
    /// What to end the day on.
    pub stop: watch::Receiver<bool>,
}

/// Why a day could not be played.
#[derive(Debug, Error)]
pub enum PlayError {
    /// The system says why.
    #[error("{0}")]
    System(#[from] io::Error),
    /// A node is not ready in time.
    #[error("node {node} did not get ready within {} s{}", within.as_secs_f64(), .why.as_ref().map_or(String::new(), |w| format!(": {w}")))]
    NotReady {
        /// Which.
        node: usize,
        /// The time that it had.
        within: Duration,
        /// What became of it.
        why: Option<String>,
    },
    /// Somebody ended it.
    #[error("ended before its end")]
    Stopped,
}

/// What came of a day.
#[derive(Clone, Debug, Serialize)]
pub struct Outcome {
    /// The scenario's name.
    pub name: String,
    /// The seed.
    pub seed: u64,
    /// Kept or not.
    pub verdict: Verdict,
    /// The judge's figures.
    pub figures: Figures,
    /// CPU of all nodes for each try, in microseconds.
    pub cpu_us: f64,
    /// Memory of each node at the end, in kB.
    pub memory_kb: Vec<Option<u64>>,
    /// What the start of a process costs by itself, in milliseconds, where nodes returned: `first_ms` has that in it.
    pub start_ms: Option<f64>,
    /// Bytes that nodes wrote to disk in all, their logs apart, where they keep state.
    pub disk_bytes: u64,
}

impl Outcome {
    /// The last line of a play.
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

/// A moment of a day, for a live view.
#[derive(Clone, Debug)]
pub struct RunSnapshot {
    /// Seconds of the day.
    pub at_s: f64,
    /// Part of the worth that was served in the last second or two.
    pub served: f64,
    /// Which nodes take clients.
    pub nodes: Vec<bool>,
    /// What is wrong now.
    pub active_faults: Vec<String>,
    /// Tries refused and failed so far.
    pub refused: u64,
    /// See above.
    pub failed: u64,
    /// Attempts at each server so far.
    pub servers: Vec<u64>,
}

/// Tries by id, as servers know them, and when each was sent, the oldest first.
#[derive(Default)]
struct Sent {
    known: HashMap<u64, Arrival>,
    order: VecDeque<(f64, u64)>,
}

/// All parties of a day.
pub struct World {
    /// The day.
    pub plan: Plan,
    /// Who judges it.
    pub checker: Mutex<Checker>,
    begin: RwLock<Instant>,
    timer: Timer,
    hosts: Vec<Arc<Host>>,
    discovery: OnceLock<Arc<Discovery>>,
    peers: OnceLock<Arc<Peers>>,
    releases: Releases,
    /// The nodes.
    pub nodes: Nodes,
    /// The clients.
    pub clients: Clients,
    /// Arguments of a node's program.
    pub node_args: Vec<String>,
    /// The build that an upgrade brings.
    next: Option<PathBuf>,
    /// Clients go to servers by themselves.
    direct: bool,
    sent: Mutex<Sent>,
    repeats: Mutex<HashMap<(usize, String), f64>>,
    draws: AtomicU64,
    ending: AtomicBool,
}

impl World {
    /// Milliseconds of the day; below 0 before it begins.
    pub fn now(&self) -> f64 {
        let begin = *self.begin.read().unwrap_or_else(std::sync::PoisonError::into_inner);
        let now = Instant::now();
        if now >= begin {
            (now - begin).as_secs_f64() * 1000.0
        } else {
            -(begin - now).as_secs_f64() * 1000.0
        }
    }

    /// Sleeps until a moment of the day.
    pub async fn until(&self, at_ms: f64) {
        let left = at_ms - self.now();
        if left > 0.0 {
            self.timer.sleep(Duration::from_secs_f64(left / 1000.0)).await;
        }
    }

    /// A draw between 0 and 1.
    pub fn draw(&self) -> f64 {
        let n = self.draws.fetch_add(1, Ordering::Relaxed);
        unit_interval(mix_bits(self.plan.seed ^ mix_bits(n)))
    }

    /// The luck of one thing, the same each time.
    pub fn luck(&self, of: u64) -> f64 {
        unit_interval(mix_bits(self.plan.seed.wrapping_add(mix_bits(of))))
    }

    /// The day is over but for its end.
    pub fn ending(&self) -> bool {
        self.ending.load(Ordering::SeqCst)
    }

    fn host(&self, server: usize) -> Option<&Arc<Host>> {
        self.hosts.get(server)
    }

    /// The server that holds least for what it can do, of those that are up.
    fn least_loaded(&self) -> Option<usize> {
        let load = |n: &usize| {
            let speed = self.plan.machines.get(*n).map_or(1.0, |m| m.speed);
            let mut held = f64::INFINITY;
            if let Some(host) = self.host(*n).filter(|h| h.up()) {
                host.model(|m| held = (m.held() as f64 + self.draw()) / speed);
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

    /// Whether disks of this day fail or lose power: then nodes are told to rehearse that.
    fn rehearses(&self) -> bool {
        self.plan.faults.iter().any(|f| f.kind == FaultKind::NodePowerLoss || f.kind.affects_disks())
    }

    /// The id of a client's try.
    fn try_id(&self, arrival: &Arrival, number: u32) -> u64 {
        mix_bits(self.plan.seed ^ mix_bits((arrival.number << 8) | (u64::from(number) + 1)))
    }

    /// A client sends a try: servers know it from here on.
    fn send(&self, id: u64, arrival: &Arrival) {
        let now = self.now();
        let Sent { known, order } = &mut *lock(&self.sent);
        known.insert(id, *arrival);
        order.push_back((now, id));
        while order.front().is_some_and(|(at, _)| now - at > KNOWN_MS) {
            if let Some((_, id)) = order.pop_front() {
                known.remove(&id);
            }
        }
    }

    fn sent(&self, id: u64) -> Option<Arrival> {
        lock(&self.sent).known.get(&id).copied()
    }

    /// A keyed request meets a zone: whether servers there drop it as a repeat.
    fn repeated(&self, zone: usize, key: &str, class: usize, now: f64) -> bool {
        let ttl = self.plan.scenario.class.get(class).map_or(0.0, |c| c.key_ttl_ms);
        let mut repeats = lock(&self.repeats);
        if repeats.len() > 100_000 {
            repeats.retain(|_, at| now - *at < KNOWN_MS);
        }
        let first = *repeats.entry((zone, key.to_owned())).or_insert(now);
        first != now && now - first < ttl
    }

    /// The way between a node and a server, one way.
    async fn way(&self, node: usize, server: usize, links: &[Arc<Link>]) {
        let net = &self.plan.scenario.net;
        let zone = self.plan.machines.get(server).map(|m| m.zone);
        let own = self.plan.node_zones.get(node).copied();
        let usual = if zone == own { net.same_ms } else { net.cross_ms };
        let more = links.get(node).map_or(0.0, |l| l.link_state().delay_ms);
        if net.relays && usual + more > 0.0 {
            self.timer.sleep(Duration::from_secs_f64((usual + more) / 1000.0)).await;
        }
    }

    fn boot_ms() -> u64 {
        SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
    }
}

/// The directory of a play; it is removed with it.
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
        // Whatever is left does no harm.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Plays a day; `view` is shown a moment of it now and then.
///
/// # Errors
/// It cannot be set up, a node does not get ready, or somebody ended it.
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
        releases: Releases::new(scratch.0.join("releases"), command()),
        nodes,
        node_args: options.node_args.clone(),
        next: options.next.clone(),
        direct: options.node_args == ["baseline", "direct"],
        sent: Mutex::default(),
        repeats: Mutex::default(),
        draws: AtomicU64::new(0),
        ending: AtomicBool::new(false),
        plan,
    };
    world.hosts = (0..world.plan.machines.len()).map(|n| Arc::new(Host::new(&world, n))).collect();
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
        tokio::spawn(Clients::watch(world.clone(), node.number));
    }
    let mut stop = options.stop.clone();
    let played = tokio::select! {
        played = run(&world, options, &mut view) => played,
        _ = stop.wait_for(|stop| *stop) => Err(PlayError::Stopped),
    };
    world.ending.store(true, Ordering::SeqCst);
    if played.is_err() {
        for node in &world.nodes {
            node.kill().await;
        }
    }
    played?;
    let nodes_on_new = world.nodes.iter().filter(|n| n.on_new()).count();
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
    let (mut met, mut knew) = (0, 0);
    for host in &world.hosts {
        host.model(|m| (met, knew) = (met + m.met, knew + m.knew));
    }
    lock(&world.checker).record_keys(met, knew);
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

async fn run(
    world: &Arc<World>,
    options: &Options,
    view: &mut impl FnMut(&RunSnapshot),
) -> Result<(), PlayError> {
    let end = Instant::now() + options.ready;
    while let Some(node) = world.nodes.iter().find(|n| !world.clients.ready(n.number)) {
        let why = world.nodes.iter().find_map(|n| n.crashed());
        if why.is_some() || Instant::now() > end {
            return Err(PlayError::NotReady { node: node.number, within: options.ready, why });
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    *world.begin.write().unwrap_or_else(std::sync::PoisonError::into_inner) = Instant::now();
    let troubles =
        Arc::new(Troubles { world: world.clone(), active: Mutex::default(), next: options.next.clone() });
    world.releases.open(&troubles).await?;
    for fault in world.plan.faults.clone() {
        tokio::spawn(troubles.clone().meet(fault));
    }
    for node in world.nodes.iter().filter(|_| world.plan.scenario.load.idle > 0) {
        tokio::spawn(Clients::idle(world.clone(), node.number));
    }
    let arrivals = {
        let world = world.clone();
        tokio::spawn(async move {
            let mut open = tokio::task::JoinSet::new();
            let plan = world.plan.clone();
            for client in 0..plan.scenario.load.closed {
                open.spawn(closed(world.clone(), client));
            }
            if plan.scenario.load.closed > 0 {
                while open.join_next().await.is_some() {}
                return;
            }
            for arrival in plan.arrivals() {
                world.until(arrival.at_ms).await;
                let late = world.now() - arrival.at_ms;
                lock(&world.checker).record_lateness(late);
                open.spawn(Clients::come(world.clone(), arrival));
                while open.try_join_next().is_some() {}
            }
            while open.join_next().await.is_some() {}
        })
    };
    let longest = world.plan.scenario.class.iter().map(|c| c.deadline_ms).fold(0.0, f64::max);
    let last = world.plan.length_ms() + 2.0 * longest + LAST.as_secs_f64() * 1000.0;
    let mut viewed = Instant::now();
    loop {
        for node in &world.nodes {
            if let Some(why) = node.crashed() {
                let now = world.now();
                lock(&world.checker).record_violation(Rule::Crash, now, why);
                // Clients must not wait for it, and the rest of the day goes on without.
                node.excuse(true);
            }
        }
        if viewed.elapsed() >= VIEW {
            viewed = Instant::now();
            view(&moment(world, &troubles));
        }
        if arrivals.is_finished() || world.now() > last {
            view(&moment(world, &troubles));
            return Ok(());
        }
        tokio::time::sleep(LOOK).await;
    }
}

/// One client of a closed loop, to the day's end.
async fn closed(world: Arc<World>, client: usize) {
    let plan = world.plan.clone();
    let clients = plan.scenario.load.closed;
    for arrival in plan.arrivals().skip(client).step_by(clients) {
        let now = world.now();
        if now >= plan.length_ms() || world.ending() {
            return;
        }
        Clients::come(world.clone(), Arrival { at_ms: now.max(0.0), ..arrival }).await;
    }
}

fn moment(world: &World, troubles: &Troubles) -> RunSnapshot {
    let now = world.now();
    let active = lock(&troubles.active).clone();
    let checker = lock(&world.checker);
    let (refused, failed, servers) = checker.live_counts();
    RunSnapshot {
        at_s: now / 1000.0,
        served: checker.recent_worth_share(now - 600.0, 2000.0),
        nodes: (0..world.nodes.len()).map(|n| world.clients.ready(n)).collect(),
        active_faults: world.plan.faults.iter().filter(|f| active.contains(&f.number)).map(name).collect(),
        refused,
        failed,
        servers,
    }
}

fn name(fault: &PlannedFault) -> String {
    let kind = serde_json::to_value(fault.kind).ok().and_then(|v| v.as_str().map(str::to_owned));
    let servers = fault.on.servers.iter().map(|s| format!("s{s}"));
    let nodes = fault.on.nodes.iter().map(|n| format!("n{n}"));
    let who: Vec<String> = servers.chain(nodes).take(6).collect();
    format!("{} {}", kind.unwrap_or_default(), who.join(","))
}

/// The troubles of a day.
struct Troubles {
    world: Arc<World>,
    active: Mutex<BTreeSet<usize>>,
    next: Option<PathBuf>,
}

impl Troubles {
    async fn meet(self: Arc<Self>, fault: PlannedFault) {
        self.world.until(fault.at_ms).await;
        lock(&self.active).insert(fault.number);
        let day = self.world.plan.length_ms();
        let until = until(&self.world, &fault);
        lock(&self.world.checker).record_fault(fault.kind, fault.number, fault.at_ms, until.min(day));
        self.apply();
        self.begin(&fault).await;
        self.world.until(until).await;
        lock(&self.active).remove(&fault.number);
        self.apply();
        self.end(&fault).await;
    }

    /// Puts what lasts into force, from all that is wrong now: troubles may overlap.
    fn apply(&self) {
        let world = &self.world;
        let active = lock(&self.active).clone();
        let faults: Vec<&PlannedFault> =
            world.plan.faults.iter().filter(|f| active.contains(&f.number)).collect();
        for (n, host) in world.hosts.iter().enumerate() {
            let here = || faults.iter().filter(|f| f.on.servers.contains(&n));
            let is = |kind: FaultKind| here().any(|f| f.kind == kind);
            let most =
                |kind: FaultKind| here().filter(|f| f.kind == kind).map(|f| f.size).fold(0.0, f64::max);
            let r = &world.plan.scenario.release;
            let bad = world.releases.on_new(n)
                && (0..world.hosts.len()).filter(|s| world.releases.on_new(*s)).count() >= r.bad_from;
            let (slower, errors) = if bad { (r.slower, r.errors) } else { (1.0, 0.0) };
            host.model(|m| {
                m.pace = 1.0 / most(FaultKind::ServerSlow).max(1.0).max(slower);
                m.taken = most(FaultKind::ServerNeighbour).clamp(0.0, 0.99);
                m.pause_ms = most(FaultKind::ServerPauses).clamp(0.0, 990.0);
            });
            host.wrong(|w| {
                w.silent = is(FaultKind::ServerSilent);
                w.errors = most(FaultKind::ServerErrors).max(errors);
                w.resets = most(FaultKind::ServerResets);
                w.full = is(FaultKind::ServerFull);
                w.report_late_ms = most(FaultKind::ServerReportsLate) * 1000.0;
            });
            for node in 0..world.nodes.len() {
                if let Some(link) = host.link(node) {
                    link.double(is(FaultKind::ServerTwice));
                    let party = |e: &Parties| e.servers.contains(&n);
                    let mut link_state = link_state(&faults, node, &party);
                    if is(FaultKind::ServerVanish) {
                        link_state = LinkState { outbound: false, inbound: false, ..link_state };
                    }
                    link.set(link_state);
                    host.door(node, is(FaultKind::ServerVanish));
                }
            }
        }
        if let Some(discovery) = world.discovery() {
            let is = |kind: FaultKind| faults.iter().any(|f| f.kind == kind);
            let slow = faults.iter().filter(|f| f.kind == FaultKind::DiscoverySlow).map(|f| f.size);
            let slow = slow.fold(1.0, f64::max);
            discovery.sick(|s| {
                s.down = is(FaultKind::DiscoveryDown);
                s.silent = is(FaultKind::DiscoverySilent);
                s.slow = slow;
            });
            for node in 0..world.nodes.len() {
                if let Some(link) = discovery.link(node) {
                    link.set(link_state(&faults, node, &|e: &Parties| e.discovery));
                    discovery.door(node);
                }
            }
        }
        for (zone, ways) in world.clients.ways.iter().enumerate() {
            for (node, way) in ways.iter().enumerate() {
                way.link.set(link_state(&faults, node, &|e: &Parties| e.clients.contains(&zone)));
            }
        }
        if world.rehearses() {
            for (n, node) in world.nodes.iter().enumerate() {
                let here = || faults.iter().filter(|f| f.on.nodes.contains(&n));
                let is = |kind: FaultKind| here().any(|f| f.kind == kind);
                let slow =
                    here().filter(|f| f.kind == FaultKind::DiskSlow).map(|f| f.size).fold(0.0, f64::max);
                let orders = FaultOrders {
                    sync_ms: slow.max(0.0) as u64,
                    full: is(FaultKind::DiskFull),
                    broken: is(FaultKind::DiskBroken),
                    read_only: is(FaultKind::DiskReadOnly),
                };
                if let Err(e) = node.disk(orders) {
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
            let most = |kind: FaultKind| {
                faults.iter().filter(|f| f.kind == kind).map(|f| f.size).fold(0.0, f64::max)
            };
            peers.wrong(|w| {
                w.cut = cut;
                w.loss = most(FaultKind::PeerLoss);
                w.double = most(FaultKind::PeerDouble);
            });
        }
    }

    /// Tells discovery once it has noticed.
    fn notice(&self, server: usize, name: String, state: &'static str, boot_ms: u64, times: f64) {
        let world = self.world.clone();
        let after = world.plan.machines.get(server).map_or(0.0, |m| m.notice_ms) * times;
        let starts = world.host(server).map(|h| h.starts());
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_secs_f64(after / 1000.0)).await;
            if after > 0.0 && world.host(server).map(|h| h.starts()) != starts {
                // Whoever was back before it was missed is not missed any more, nor is one that has gone again there.
                return;
            }
            if let Some(discovery) = world.discovery() {
                discovery.note(&name, server, state, boot_ms);
            }
        });
    }

    fn server_name(&self, server: usize) -> String {
        self.world.plan.machines.get(server).map(|m| m.name.clone()).unwrap_or_default()
    }

    async fn begin(&self, fault: &PlannedFault) {
        let world = &self.world;
        for &s in &fault.on.servers {
            let Some(host) = world.host(s) else { continue };
            match fault.kind {
                FaultKind::ServerDown => {
                    host.down(false);
                    self.notice(s, self.server_name(s), "removed", 0, 1.0);
                }
                FaultKind::ServerVanish => {
                    host.down(true);
                    // A machine that says nothing is noticed late.
                    self.notice(s, self.server_name(s), "removed", 0, 3.0);
                }
                FaultKind::ServerDrain => self.notice(s, self.server_name(s), "draining", 0, 0.0),
                FaultKind::ServerRestart => {
                    self.notice(s, self.server_name(s), "draining", 0, 0.0);
                    let (host, own) = (host.clone(), self.notice_later(s));
                    tokio::spawn(async move {
                        tokio::time::sleep(DRAIN).await;
                        host.down(false);
                        own();
                    });
                }
                FaultKind::ServerReplace => {
                    host.down(false);
                    self.notice(s, self.server_name(s), "removed", 0, 0.0);
                    tokio::time::sleep(Duration::from_millis(50)).await;
                    host.start_cold(world.now());
                    let name = format!("{}-r{}", self.server_name(s), fault.number);
                    self.notice(s, name, "up", World::boot_ms(), 1.0);
                }
                _ => {}
            }
        }
        for &n in &fault.on.nodes {
            let Some(node) = world.nodes.get(n).cloned() else { continue };
            let done = match fault.kind {
                FaultKind::NodeKill => {
                    node.excuse(true);
                    node.kill().await;
                    Ok(())
                }
                FaultKind::NodePowerLoss => {
                    node.excuse(true);
                    node.kill().await;
                    let mut draws = 0_u64;
                    let of = mix_bits(fault.number as u64 ^ ((n as u64) << 32));
                    let draw = |most: usize| {
                        draws += 1;
                        (world.luck(of.wrapping_add(draws)) * most as f64) as usize
                    };
                    node.lose_power(draw)
                        .map_err(|e| format!("the disk of node {n} after its power loss: {e}"))
                }
                FaultKind::NodeFreeze => {
                    node.excuse(true);
                    node.freeze(true);
                    Ok(())
                }
                FaultKind::NodeStop => node.stop().await,
                FaultKind::NodeUpgrade => {
                    if let Some(next) = &self.next {
                        node.program(next);
                    }
                    node.upgrade(world).await
                }
                FaultKind::NodeReload => node.reload(world).map_err(|e| e.to_string()),
                FaultKind::NodeCall => self.say(&node, &fault.say).await,
                _ => Ok(()),
            };
            if let Err(why) = done {
                let now = world.now();
                lock(&world.checker).record_violation(Rule::Crash, now, why);
            }
        }
        if fault.kind == FaultKind::NodeCrashes {
            tokio::spawn(crashes(world.clone(), fault.clone(), until(world, fault)));
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
            FaultKind::ReleaseOrder => world.releases.order(&fault.say).await,
            FaultKind::ReleaseSecond => world.releases.second(world).await,
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
                    // One that cannot be told keeps asking in vain, which the day will show.
                    let _ = node.reload(world);
                }
            }
        }
    }

    fn notice_later(&self, server: usize) -> impl FnOnce() + Send + use<> {
        let (world, name) = (self.world.clone(), self.server_name(server));
        move || {
            if let Some(discovery) = world.discovery() {
                discovery.note(&name, server, "removed", 0);
            }
        }
    }

    /// An operator's word to a node; what it says of a server binds from the yes on.
    async fn say(&self, node: &Node, words: &str) -> Result<(), String> {
        let Some(operator) = node.operator() else {
            return Err(format!("node {} is not there", node.number));
        };
        let answer = nodes::say(operator, words.to_owned()).await;
        let now = self.world.now();
        let mut said = words.split_whitespace();
        let word = said.next();
        let fleet = words.split_whitespace().nth(1) == Some("--fleet");
        let id = said.next_back();
        if let (Ok(_), Some(word @ ("cordon" | "uncordon")), Some(id)) = (&answer, word, id)
            && let Some(server) = self.world.plan.machines.iter().position(|m| m.name == id)
        {
            let mut checker = lock(&self.world.checker);
            checker.operator_order(now, node.number, server, word == "cordon");
            for other in (0..self.world.nodes.len()).filter(|n| fleet && *n != node.number) {
                // Back at once: who heard of it already does no wrong. Out once the word must have come.
                let at = if word == "cordon" { now + FLEET_WORD_MS } else { now };
                checker.operator_order(at, other, server, word == "cordon");
            }
        }
        answer.map(drop).map_err(|e| format!("node {} to {words:?}: {e}", node.number))
    }

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
                    self.notice(s, self.server_name(s), "up", World::boot_ms(), 1.0);
                }
                FaultKind::ServerDrain => self.notice(s, self.server_name(s), "up", 0, 0.0),
                _ => {}
            }
        }
        for &n in &fault.on.nodes {
            let Some(node) = world.nodes.get(n) else { continue };
            match fault.kind {
                FaultKind::NodeKill | FaultKind::NodePowerLoss | FaultKind::NodeStop => again(world, node),
                FaultKind::NodeFreeze => {
                    node.freeze(false);
                    node.woke_ms.store(world.now().max(0.0).ceil() as u64, Ordering::SeqCst);
                    node.excuse(false);
                }
                _ => {}
            }
        }
    }
}

/// Starts a node again and watches its return.
fn again(world: &Arc<World>, node: &Arc<Node>) {
    let (n, now) = (node.number, world.now());
    {
        let mut checker = lock(&world.checker);
        checker.node_restarted(n);
        checker.node_returned(now, n);
    }
    let started = Instant::now();
    match node.start(world) {
        Ok(_) => drop(tokio::spawn(Clients::first_answer(world.clone(), n, started))),
        Err(e) => {
            lock(&world.checker).record_violation(Rule::Crash, now, format!("node {n} cannot start: {e}"))
        }
    }
    // What was out when it died may be told to its client only now.
    node.woke_ms.store(now.max(0.0).ceil() as u64, Ordering::SeqCst);
    node.excuse(false);
}

/// When a trouble is over.
fn until(world: &World, fault: &PlannedFault) -> f64 {
    let day = world.plan.length_ms();
    fault.until_ms.unwrap_or(if lasts(fault.kind) { day } else { fault.at_ms })
}

/// Kills one node after the other, each at a drawn moment of its part of the time, and starts it again at once.
async fn crashes(world: Arc<World>, fault: PlannedFault, until: f64) {
    let times = fault.size.max(0.0) as usize;
    let step = (until - fault.at_ms) / times.max(1) as f64;
    for n in 0..times {
        let draw = world.luck(mix_bits(fault.number as u64) ^ n as u64);
        world.until(fault.at_ms + step * (n as f64 + draw)).await;
        if world.ending() || fault.on.nodes.is_empty() {
            return;
        }
        let Some(node) = world.nodes.get(fault.on.nodes[n % fault.on.nodes.len()]) else { continue };
        node.excuse(true);
        node.kill().await;
        again(&world, node);
    }
}

/// Whether a trouble without a length lasts to the day's end.
fn lasts(kind: FaultKind) -> bool {
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

/// Runs something of the lab on a runtime of its own.
///
/// # Errors
/// The system has no threads for it.
pub fn block_on<F: Future>(work: F) -> io::Result<F::Output> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let done = runtime.block_on(work);
    // What still listens or waits need not be waited for.
    runtime.shutdown_timeout(Duration::from_millis(100));
    Ok(done)
}

/// The operators' command: this program, or the one that lies beside it.
fn command() -> Option<PathBuf> {
    let own = std::env::current_exe().ok()?;
    if own.file_name().is_some_and(|n| n == "daleturn") {
        Some(own)
    } else {
        find_program(&own, "daleturn")
    }
}

/// The node's program that lies beside this one's, or a folder above, as the build leaves them.
pub fn find_program(own: &Path, name: &str) -> Option<PathBuf> {
    own.ancestors().skip(1).take(3).map(|dir| dir.join(name)).find(|p| p.is_file())
}
