//! Runs a scenario in virtual time: the real decision logic, membership, shared state and zone logic of
//! every node, over models of the servers, discovery, the clients and the network. A seed determines the
//! course of events on every machine. The checker is the same as for real processes. A scenario that needs
//! something that is not modelled is rejected.

use crate::checker::{ANSWER_SLACK_MS, Answer, Checker, Figures, Rule, Verdict};
use crate::plan::{Arrival, Parties, Plan, PlannedFault, link_state, mix_bits, unit_interval};
use crate::scenario::{Backoff, FaultKind, Repeat, Scenario};
use crate::server::{Admission, Server, server_spec};
use crate::settings::settings;
use daleturn::Balancer;
use daleturn::control::gossip::{self, Gossip, MaxAges};
use daleturn::control::membership::NodeId;
use daleturn::control::zones::{ZoneOrder, Zones};
use daleturn::interface::{
    Action, AttemptEnded, BackendId, Event, Health, ListEntry, ListKind, Load, Memory, Observation,
    Outcome, Request, RequestId, Settings, SharedUpdate,
};
use daleturn::options::Options;
use daleturn::wire::stable_hash;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap, VecDeque};
use std::time::{Duration, Instant};
use thiserror::Error;

/// Time by which a node's own deadline precedes its client's, in milliseconds.
const DEADLINE_MARGIN_MS: f64 = 4.0;
/// Time after which a watch of the list that returned nothing is renewed, in milliseconds.
const WATCH_TIMEOUT_MS: f64 = 20_000.0;
/// Interval at which a node processes its shared state, in milliseconds.
const SHARE_TICK_MS: f64 = 20.0;
/// Interval at which a node saves what it has learned, in milliseconds, as in the node.
const SAVE_INTERVAL_MS: f64 = 3000.0;
/// Maximum age at which a restarted node uses what it saved, in milliseconds, as in the node.
const MAX_SAVED_AGE_MS: f64 = 600_000.0;
/// Interval at which a node updates its zones, in milliseconds.
const ZONES_TICK_MS: f64 = 100.0;
/// Number of shared-state ticks between updates of the tenants' totals for the decision logic.
const TENANT_TOTALS_TICKS: u64 = 5;
/// Time for which a server drains before a planned restart, in milliseconds.
const DRAIN_MS: f64 = 1000.0;
/// Minimum time left for which a client starts a try, in milliseconds.
const MIN_TRY_MS: f64 = 20.0;

/// Reasons why a scenario cannot be simulated.
#[derive(Debug, Error)]
pub enum SimError {
    /// A fault is not modelled: its index in the scenario and its kind.
    #[error("trouble {0}: {1} is played on real processes only")]
    UnsupportedFault(usize, String),
    /// Servers with more than one name are not modelled.
    #[error("fleet.names: {0} is played on real processes only")]
    Names(usize),
    /// The scenario yields settings that a node rejects.
    #[error("settings: {0}")]
    Settings(String),
    /// The node's own configuration is invalid.
    #[error("product: {0}")]
    Options(String),
}

/// The result of a simulated run.
#[derive(Clone, Debug, Serialize)]
pub struct Simulated {
    /// Name of the scenario.
    pub name: String,
    /// The seed.
    pub seed: u64,
    /// Whether the rules and expectations were met.
    pub verdict: Verdict,
    /// The checker's figures.
    pub figures: Figures,
    /// Number of events processed.
    pub events: u64,
    /// Hash of the course of events.
    pub course: u64,
    /// Wall-clock time spent in the code of all nodes, in seconds: decisions, shared state, zones. Differs
    /// from run to run.
    pub spent_s: [f64; 3],
}

impl Simulated {
    /// Returns the summary line that is printed last.
    pub fn line(&self) -> String {
        let head = format!("sim: {} seed {}:", self.name, self.seed);
        let worth = self.figures.worth;
        match &self.verdict {
            Verdict::Kept => format!("{head} KEPT worth {worth:.3}"),
            Verdict::Broken(why) => format!("{head} BROKEN {} (worth {worth:.3})", why.join("; ")),
            Verdict::Late(ms) => format!("{head} LATE by {ms:.1} ms (worth {worth:.3})"),
        }
    }
}

/// An event of the simulation. Events of a node carry the epoch of its process and are ignored after it ended.
#[derive(Debug)]
enum SimEvent {
    /// A client arrives.
    Arrive(Arrival),
    /// A client starts a try.
    Try { client: u64 },
    /// The time of a client's try is over.
    TryTimeout { node: usize, epoch: u32, id: RequestId },
    /// A timer of the decision logic fires.
    Timer { node: usize, epoch: u32, token: u64 },
    /// A node processes its shared state.
    ShareTick { node: usize, epoch: u32, tick: u64 },
    /// A node updates its zones.
    ZonesTick { node: usize, epoch: u32 },
    /// A node saves what it has learned.
    SaveLearned { node: usize, epoch: u32 },
    /// A gossip datagram reaches a node.
    Datagram { from: usize, to: usize, bytes: Vec<u8> },
    /// A message about backends reaches a node.
    Message { from: usize, to: usize, bytes: Vec<u8> },
    /// A request reaches its server.
    Deliver { node: usize, epoch: u32, id: RequestId, attempt: u32, server: usize, begun: f64 },
    /// An attempt ends at its node.
    AttemptEnd { node: usize, epoch: u32, id: RequestId, attempt: u32, outcome: Outcome },
    /// A server's model may have completed requests.
    ServerWork { server: usize, generation: u64 },
    /// A server learns that a request was cancelled.
    CancelAtServer { server: usize, request_id: u64 },
    /// A probe ends at its node.
    ProbeEnd { node: usize, epoch: u32, server: usize, outcome: Outcome, begun: f64 },
    /// Discovery notices a change of a server.
    NoticeChange { server: usize, state: Health, boot_ms: f64 },
    /// A call to discovery ends.
    ListCallEnd { node: usize, epoch: u32, failed: bool },
    /// A fault of the plan starts.
    FaultStart(usize),
    /// A fault of the plan ends.
    FaultEnd(usize),
    /// A server's process ends during a planned restart.
    RestartDown(usize),
}

/// An event in the queue, which is ordered by time and then by the order of scheduling.
struct ScheduledEvent {
    at: f64,
    order: u64,
    event: SimEvent,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &ScheduledEvent) -> bool {
        self.order == other.order
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &ScheduledEvent) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &ScheduledEvent) -> std::cmp::Ordering {
        self.at.total_cmp(&other.at).then(self.order.cmp(&other.order))
    }
}

/// A client with its tries.
struct Client {
    arrival: Arrival,
    number: u32,
    end_ms: f64,
}

/// An attempt of a node at a server.
#[derive(Clone, Debug)]
struct Attempt {
    server: usize,
    sent_ms: f64,
    ended: bool,
    /// The attempt's number in the checker, and the request's id at the server.
    checker_attempt: Option<usize>,
    request_id: Option<u64>,
}

/// A request that is open at a node.
struct OpenRequest {
    client: u64,
    trace: u64,
    class: usize,
    answered: bool,
    attempts: Vec<Attempt>,
}

/// A node.
struct SimNode {
    balancer: Balancer,
    gossip: Option<Gossip>,
    zones: Option<Zones>,
    zone_weights: BTreeMap<u16, f64>,
    open: HashMap<RequestId, OpenRequest>,
    /// Id of the next request.
    next_request: u64,
    /// Version of the list that the node has.
    version: u64,
    /// True while the node waits for changes of the list.
    watching: bool,
    /// Time of the last answer from each server, whose connection is open since then; negative infinity if
    /// there is none.
    last_answer_ms: Vec<f64>,
    cordoned: BTreeSet<usize>,
}

/// The state that a node keeps on disk: what it learned, oldest first, and the cordoned servers.
#[derive(Default)]
struct SavedState {
    saved_memories: VecDeque<(f64, Memory)>,
    cordoned: BTreeSet<usize>,
}

/// A server with its active faults.
struct SimServer {
    model: Server,
    up: bool,
    vanished: bool,
    silent: bool,
    errors: f64,
    resets: f64,
    generation: u64,
    next_request: u64,
    /// Node, epoch, request and attempt by the id of the request at the server.
    waiting: HashMap<u64, (usize, u32, RequestId, u32)>,
    /// State in discovery's list: health, start time in milliseconds, and version of the last change.
    listed: (Health, f64, u64),
}

/// The state of a simulation.
struct Sim {
    plan: Plan,
    options: Options,
    checker: Checker,
    rng: ChaCha8Rng,
    queue: BinaryHeap<Reverse<ScheduledEvent>>,
    order: u64,
    now: f64,
    nodes: Vec<Option<SimNode>>,
    /// Number of starts and ends of each node's process.
    epochs: Vec<u32>,
    /// By node; empty if nodes keep no state.
    stores: Vec<SavedState>,
    /// Wall-clock time spent in the code of all nodes: decisions, shared state, zones.
    spent: [Duration; 3],
    /// Time until which the front end still sends clients to each node that has ended.
    front_until_ms: Vec<f64>,
    machines: Vec<SimServer>,
    ids: HashMap<BackendId, usize>,
    servers_by_short_id: HashMap<u32, usize>,
    clients: HashMap<u64, Client>,
    /// Numbers of the active faults.
    active: BTreeSet<usize>,
    list_version: u64,
    /// Time at which discovery has processed all calls so far.
    discovery_busy_until: f64,
    /// Time at which each keyed request first reached a zone, by zone and id.
    repeats: HashMap<(usize, u64), f64>,
    next_node: usize,
    events: u64,
    course: u64,
}

/// Returns true if the simulation models a kind of fault.
fn is_modelled(kind: FaultKind) -> bool {
    !matches!(
        kind,
        FaultKind::ServerFull
            | FaultKind::ServerReportsLate
            | FaultKind::ServerReplace
            | FaultKind::ServerTwice
            | FaultKind::NodeFreeze
            | FaultKind::NodeStop
            | FaultKind::NodeUpgrade
            | FaultKind::NodeReload
            | FaultKind::DiscoveryMove
            | FaultKind::SlowClients
            | FaultKind::WrongRequests
            | FaultKind::NodeCrashes
            | FaultKind::DiskSlow
            | FaultKind::DiskFull
            | FaultKind::DiskBroken
            | FaultKind::DiskReadOnly
            | FaultKind::Release
            | FaultKind::ReleaseKill
            | FaultKind::ReleaseFreeze
            | FaultKind::ReleaseOrder
            | FaultKind::ReleaseSecond
    )
}

/// Runs a scenario in virtual time.
///
/// # Errors
/// Returns an error if the scenario needs something that is not modelled, or its settings are invalid.
pub fn simulate(scenario: &Scenario, seed: u64) -> Result<Simulated, SimError> {
    if scenario.fleet.names > 1 {
        return Err(SimError::Names(scenario.fleet.names));
    }
    let plan = Plan::draw(scenario, seed);
    for fault in &plan.faults {
        let unknown_call = fault.kind == FaultKind::NodeCall
            && !fault.say.split(' ').next().is_some_and(|w| matches!(w, "cordon" | "uncordon" | "zone"));
        if unknown_call || !is_modelled(fault.kind) {
            let name = serde_json::to_value(fault.kind).ok().and_then(|v| v.as_str().map(str::to_owned));
            return Err(SimError::UnsupportedFault(
                fault.number,
                name.unwrap_or_default() + " " + &fault.say,
            ));
        }
    }
    let options =
        Options::parse(&scenario.product.to_string()).map_err(|e| SimError::Options(e.to_string()))?;
    let mut sim = Sim::new(plan, options);
    sim.begin()?;
    sim.play()?;
    let figures = sim.checker.figures();
    Ok(Simulated {
        name: scenario.name.clone(),
        seed,
        verdict: figures.verdict(&scenario.expect),
        figures,
        events: sim.events,
        course: sim.course,
        spent_s: sim.spent.map(|d| d.as_secs_f64()),
    })
}

impl Sim {
    fn new(plan: Plan, options: Options) -> Sim {
        let machines: Vec<SimServer> = (0..plan.machines.len())
            .map(|n| SimServer {
                model: Server::new(server_spec(&plan, n), -1e12),
                up: true,
                vanished: false,
                silent: false,
                errors: 0.0,
                resets: 0.0,
                generation: 0,
                next_request: 0,
                waiting: HashMap::new(),
                listed: (Health::Up, 0.0, 1),
            })
            .collect();
        let id = |name: &str| BackendId(stable_hash(name));
        let ids: HashMap<BackendId, usize> =
            plan.machines.iter().enumerate().map(|(n, m)| (id(&m.name), n)).collect();
        let servers_by_short_id = ids.iter().map(|(id, n)| (id.short(), *n)).collect();
        let count = plan.node_zones.len();
        let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
        rng.set_stream(7);
        Sim {
            checker: Checker::new(&plan),
            options,
            rng,
            queue: BinaryHeap::new(),
            order: 0,
            now: 0.0,
            nodes: (0..count).map(|_| None).collect(),
            epochs: vec![0; count],
            stores: (0..count).map(|_| SavedState::default()).collect(),
            spent: [Duration::ZERO; 3],
            front_until_ms: vec![f64::NEG_INFINITY; count],
            machines,
            ids,
            servers_by_short_id,
            clients: HashMap::new(),
            active: BTreeSet::new(),
            list_version: 1,
            discovery_busy_until: 0.0,
            repeats: HashMap::new(),
            next_node: 0,
            events: 0,
            course: 0,
            plan,
        }
    }

    /// Schedules an event.
    fn push(&mut self, at: f64, event: SimEvent) {
        self.order += 1;
        self.queue.push(Reverse(ScheduledEvent { at: at.max(self.now), order: self.order, event }));
    }

    /// Starts the nodes and schedules the faults.
    fn begin(&mut self) -> Result<(), SimError> {
        // Nodes start before the first client arrives, as in runs with real processes, so that all of them
        // know the servers by then.
        for node in 0..self.nodes.len() {
            self.start(node)?;
        }
        for n in 0..self.plan.faults.len() {
            self.push(self.plan.faults[n].at_ms, SimEvent::FaultStart(n));
        }
        Ok(())
    }

    /// Returns the settings of a node, as it reads them.
    fn settings(&self, node: usize) -> Result<Settings, SimError> {
        let text = settings(&self.plan, node).to_string();
        daleturn::wire::settings(&text).map(|s| s.0).map_err(|e| SimError::Settings(e.to_string()))
    }

    /// Starts a node with the state that it has saved.
    fn start(&mut self, node: usize) -> Result<(), SimError> {
        let settings = self.settings(node)?;
        self.epochs[node] += 1;
        let epoch = self.epochs[node];
        let seed = self.plan.seed ^ mix_bits(node as u64 ^ u64::from(epoch) << 32);
        let balancer =
            Balancer::new(settings.clone(), seed).map_err(|e| SimError::Settings(e.to_string()))?;
        let (own_id, count) = (node as NodeId, self.nodes.len() as u16);
        let share = &self.options.share;
        let max_ages = MaxAges {
            limits_ms: share.limits_ms.into(),
            verdicts_ms: share.verdicts_ms.into(),
            affinity_ms: share.affinity_ms.into(),
        };
        let gossip = share.on.then(|| Gossip::new(self.now as u64, own_id, count, epoch, max_ages, seed));
        let zones = self.options.topology.on.then(|| Zones::new(self.now, settings.zone, settings.cold_ms));
        let sim_node = SimNode {
            balancer,
            gossip,
            zones,
            zone_weights: BTreeMap::new(),
            open: HashMap::new(),
            next_request: u64::from(epoch) << 40,
            version: 0,
            watching: false,
            last_answer_ms: vec![f64::NEG_INFINITY; self.machines.len()],
            cordoned: self.stores[node].cordoned.clone(),
        };
        self.nodes[node] = Some(sim_node);
        self.front_until_ms[node] = f64::NEG_INFINITY;
        self.handle_event(node, Event::Start);
        let entries = self.entries(node, 0, true);
        self.handle_event(node, Event::List { kind: ListKind::Saved, entries });
        if !self.options.state.dir.is_empty() {
            let (now, min_age_ms) = (self.now, self.plan.scenario.fleet.store_old_s * 1000.0);
            let saved = self.stores[node].saved_memories.iter().rfind(|(at, _)| now - at >= min_age_ms);
            let usable = saved.filter(|(at, _)| now - at <= MAX_SAVED_AGE_MS).map(|(_, m)| m.clone());
            if let Some(memory) = usable {
                self.handle_event(node, Event::Memory(Box::new(memory)));
            }
            self.stores[node].saved_memories.clear();
            let at = self.now + SAVE_INTERVAL_MS * (0.5 + self.rng.random::<f64>());
            self.push(at, SimEvent::SaveLearned { node, epoch });
        }
        if let Some(sim_node) = &mut self.nodes[node] {
            sim_node.version = 1;
        }
        if self.options.share.on {
            let at = self.now + self.rng.random::<f64>() * SHARE_TICK_MS;
            self.push(at, SimEvent::ShareTick { node, epoch, tick: 0 });
        }
        if self.options.topology.on {
            let at = self.now + self.rng.random::<f64>() * ZONES_TICK_MS;
            self.push(at, SimEvent::ZonesTick { node, epoch });
        }
        if !self.plan.scenario.discovery.asked {
            self.watch(node);
        }
        Ok(())
    }

    /// Returns the entries of the list that changed after a version, with the node's cordons applied.
    /// A full list omits the servers that are gone.
    fn entries(&self, node: usize, after: u64, full: bool) -> Vec<ListEntry> {
        let cordoned = |s: usize| self.nodes[node].as_ref().is_some_and(|h| h.cordoned.contains(&s));
        let changed = self.machines.iter().enumerate().filter(|(_, m)| m.listed.2 > after);
        let listed = changed.filter(|(_, m)| !full || m.listed.0 != Health::Gone);
        listed
            .map(|(s, m)| {
                let health =
                    if m.listed.0 == Health::Up && cordoned(s) { Health::Draining } else { m.listed.0 };
                let zone = self.plan.machines[s].zone;
                ListEntry {
                    backend: BackendId(stable_hash(&self.plan.machines[s].name)),
                    zone: zone as u16,
                    cell: zone as u32,
                    health,
                    units: 1.0,
                    ready_at_ms: m.listed.1,
                }
            })
            .collect()
    }

    /// Passes an event to the decision logic of a node and carries out its actions.
    fn handle_event(&mut self, node: usize, event: Event) {
        let mut out = Vec::new();
        let now = self.now;
        let Some(sim_node) = &mut self.nodes[node] else { return };
        let started = Instant::now();
        sim_node.balancer.handle(now, event, &mut out);
        self.spent[0] += started.elapsed();
        for action in out {
            self.carry_out(node, action);
        }
    }

    /// Carries out an action of a node's decision logic.
    fn carry_out(&mut self, node: usize, action: Action) {
        let epoch = self.epochs[node];
        match action {
            Action::Send { id, backend, timeout_ms } => self.send(node, id, backend, timeout_ms),
            Action::Cancel { id, attempt } => self.end_attempt_now(node, id, attempt, Outcome::Cancelled),
            Action::Refuse { id, retry_after_ms } => self.answer_request(
                node,
                id,
                Answer::Refused { has_retry_after: true },
                Some(retry_after_ms),
            ),
            Action::Fail(id) => self.answer_request(node, id, Answer::Failed, None),
            Action::Timer { token, at_ms } => self.push(at_ms, SimEvent::Timer { node, epoch, token }),
            Action::Probe(backend) => self.probe(node, backend),
            Action::SendPeerMessage { to, bytes } => {
                self.checker.datagram_sent(self.now, bytes.len());
                let all: Vec<usize> = match to {
                    Some(n) => vec![n as usize],
                    None => (0..self.nodes.len()).filter(|n| *n != node).collect(),
                };
                for to in all {
                    if let Some(at) = self.datagram_arrival(node, to) {
                        self.push(at, SimEvent::Message { from: node, to, bytes: bytes.clone() });
                    }
                }
            }
            Action::Watch(true) => self.watch(node),
            Action::ShareObservation(found) => self.publish_observation(node, found),
            Action::Watch(false) | Action::CloseIdleConnections(_) | Action::Log(_) => {}
        }
    }

    /// Returns the current one-way delay between a node and a server, in milliseconds, and whether requests
    /// and answers pass.
    fn network_path(&self, node: usize, server: usize) -> (f64, bool, bool) {
        let net = &self.plan.scenario.net;
        let same = self.plan.node_zones[node] == self.plan.machines[server].zone;
        let usual_ms = if same { net.same_ms } else { net.cross_ms };
        let faults = self.faults();
        let link = link_state(&faults, node, &|e: &Parties| e.servers.contains(&server));
        (usual_ms + link.delay_ms, link.outbound, link.inbound)
    }

    fn faults(&self) -> Vec<&PlannedFault> {
        self.plan.faults.iter().filter(|f| self.active.contains(&f.number)).collect()
    }

    /// Starts an attempt at a server.
    fn send(&mut self, node: usize, id: RequestId, backend: BackendId, timeout_ms: f64) {
        let (now, epoch) = (self.now, self.epochs[node]);
        let Some(server) = self.ids.get(&backend).copied() else { return };
        let (ms, request_passes, _) = self.network_path(node, server);
        let links_emulated = self.plan.scenario.net.relays;
        let Some(sim_node) = &mut self.nodes[node] else { return };
        // Servers close connections that have been idle for 15 s.
        let is_open = now - sim_node.last_answer_ms[server] < 15_000.0;
        let Some(open) = sim_node.open.get_mut(&id) else { return };
        let attempt = open.attempts.len() as u32;
        open.attempts.push(Attempt {
            server,
            sent_ms: now,
            ended: false,
            checker_attempt: None,
            request_id: None,
        });
        let machine = &self.machines[server];
        let end = |outcome| SimEvent::AttemptEnd { node, epoch, id, attempt, outcome };
        if !is_open {
            self.checker.connection_opened(now);
        }
        if machine.vanished || (!request_passes && links_emulated) {
            self.checker.attempt_undeliverable(open.trace);
            // On an open connection the request times out; a new connection cannot be established.
            let (after, outcome) = if is_open {
                (timeout_ms, Outcome::TimedOut)
            } else {
                (timeout_ms.min(150.0), Outcome::NotConnected)
            };
            self.push(now + after, end(outcome));
            return;
        }
        if !machine.up {
            self.push(now + 2.0 * ms, end(Outcome::NotConnected));
            return;
        }
        let setup = if is_open { 0.0 } else { 2.0 * ms };
        self.push(
            now + setup + ms,
            SimEvent::Deliver { node, epoch, id, attempt, server, begun: now + setup },
        );
        self.push(now + timeout_ms, end(Outcome::TimedOut));
    }

    /// Handles a request that reaches its server.
    fn deliver(&mut self, node: usize, epoch: u32, id: RequestId, attempt: u32, server: usize, begun: f64) {
        let now = self.now;
        let Some(open) =
            self.nodes[node].as_ref().filter(|_| self.epochs[node] == epoch).and_then(|h| h.open.get(&id))
        else {
            return;
        };
        let (trace, client) = (open.trace, open.client);
        if open.attempts.get(attempt as usize).is_none_or(|a| a.ended) || !self.machines[server].up {
            return;
        }
        let Some(arrival) = self.clients.get(&client).map(|c| c.arrival) else { return };
        let Some(checker_attempt) = self.checker.attempt_delivered(now, begun, trace, node, server) else {
            return;
        };
        let zone = self.plan.machines[server].zone;
        let (ms, _, answer_passes) = self.network_path(node, server);
        let random_draw =
            unit_interval(mix_bits(self.plan.seed.wrapping_add(mix_bits(trace ^ (server as u64) << 48))));
        let class = &self.plan.scenario.class[arrival.class];
        let mut work_ms = arrival.work_ms;
        if class.repeat == Repeat::Keyed {
            let first = *self.repeats.entry((zone, trace)).or_insert(now);
            if first != now && now - first < class.key_ttl_ms {
                work_ms = 0.1;
            }
        }
        let machine = &mut self.machines[server];
        let request_id = machine.next_request;
        machine.next_request += 1;
        let mut done = Vec::new();
        machine.model.advance(now, &mut done);
        let errors = random_draw < machine.errors;
        let admitted = if machine.silent || errors {
            None
        } else {
            Some(machine.model.arrive(now, request_id, work_ms, Some(arrival.key)))
        };
        if admitted == Some(Admission::Accepted) {
            machine.waiting.insert(request_id, (node, epoch, id, attempt));
        }
        let silent = machine.silent;
        if let Some(a) = self.attempt(node, id, attempt) {
            a.checker_attempt = Some(checker_attempt);
            a.request_id = (admitted == Some(Admission::Accepted)).then_some(request_id);
        }
        self.completed(server, done);
        let reply = |outcome| SimEvent::AttemptEnd { node, epoch, id, attempt, outcome };
        match admitted {
            None if silent => {}
            None => {
                self.checker.attempt_ended(now, trace, checker_attempt, false);
                self.checker.attempt_wasted();
                if answer_passes {
                    self.push(now + ms, reply(Outcome::Error));
                }
            }
            Some(Admission::Accepted) => self.schedule(server),
            Some(Admission::Rejected) => {
                self.checker.attempt_ended(now, trace, checker_attempt, true);
                self.checker.attempt_wasted();
                if answer_passes {
                    self.push(now + ms, reply(Outcome::Full));
                }
            }
            Some(Admission::FellOver) => {
                let what = format!("server {server} was cold and received too much work");
                self.checker.record_violation(Rule::PushedOver, now, what);
                self.checker.attempt_ended(now, trace, checker_attempt, false);
                self.down(server, false);
                self.push(now + ms, reply(Outcome::Reset));
            }
        }
    }

    fn attempt(&mut self, node: usize, id: RequestId, attempt: u32) -> Option<&mut Attempt> {
        self.nodes[node].as_mut()?.open.get_mut(&id)?.attempts.get_mut(attempt as usize)
    }

    /// Schedules the next event of a server's model.
    fn schedule(&mut self, server: usize) {
        let machine = &mut self.machines[server];
        machine.generation += 1;
        let generation = machine.generation;
        if let Some(at) = machine.model.next_event_ms() {
            self.push(at, SimEvent::ServerWork { server, generation });
        }
    }

    /// Sends the answers of completed requests.
    fn completed(&mut self, server: usize, done: Vec<u64>) {
        for request_id in done {
            let Some((node, epoch, id, attempt)) = self.machines[server].waiting.remove(&request_id) else {
                continue;
            };
            let (ms, _, answer_passes) = self.network_path(node, server);
            let now = self.now;
            let open = self.nodes[node]
                .as_ref()
                .filter(|_| self.epochs[node] == epoch)
                .and_then(|h| h.open.get(&id));
            let Some((trace, checker_attempt)) =
                open.and_then(|o| Some((o.trace, o.attempts.get(attempt as usize)?.checker_attempt?)))
            else {
                continue;
            };
            let random_draw = unit_interval(mix_bits(
                self.plan.seed.wrapping_add(mix_bits(trace ^ (server as u64) << 48)),
            ));
            let reset = random_draw < self.machines[server].resets;
            self.checker.attempt_ended(now, trace, checker_attempt, false);
            if reset || !answer_passes {
                self.checker.attempt_wasted();
            }
            if let Some(a) = self.attempt(node, id, attempt) {
                a.request_id = None;
            }
            if answer_passes {
                let outcome = if reset { Outcome::Reset } else { Outcome::Done };
                self.push(now + ms, SimEvent::AttemptEnd { node, epoch, id, attempt, outcome });
            }
        }
    }

    /// Ends an attempt at its node; the server learns of it after the network delay.
    fn end_attempt_now(&mut self, node: usize, id: RequestId, attempt: u32, outcome: Outcome) {
        let epoch = self.epochs[node];
        self.push(self.now, SimEvent::AttemptEnd { node, epoch, id, attempt, outcome });
    }

    /// Handles the end of an attempt at its node.
    fn attempt_ended(&mut self, node: usize, id: RequestId, attempt: u32, outcome: Outcome) {
        let now = self.now;
        let Some(sim_node) = &mut self.nodes[node] else { return };
        let Some(open) = sim_node.open.get_mut(&id) else { return };
        let (trace, class) = (open.trace, open.class);
        let Some(a) = open.attempts.get_mut(attempt as usize).filter(|a| !a.ended) else { return };
        a.ended = true;
        let (server, request_id, checker_attempt, elapsed_ms) =
            (a.server, a.request_id.take(), a.checker_attempt, now - a.sent_ms);
        if matches!(outcome, Outcome::Done | Outcome::Error | Outcome::Full) {
            sim_node.last_answer_ms[server] = now;
        } else {
            sim_node.last_answer_ms[server] = f64::NEG_INFINITY;
        }
        let zone = self.plan.machines[server].zone as u16;
        let aim_ms = self.plan.scenario.class[class].aim_ms;
        if let Some(zones) = &mut sim_node.zones {
            zones.record_outcome(
                zone,
                BackendId(stable_hash(&self.plan.machines[server].name)).short(),
                outcome,
                elapsed_ms > aim_ms,
            );
        }
        let last = open.answered || outcome == Outcome::Done;
        if let Some(request_id) = request_id {
            let (ms, request_passes, _) = self.network_path(node, server);
            if request_passes {
                self.push(now + ms, SimEvent::CancelAtServer { server, request_id });
            }
            if let Some(checker_attempt) = checker_attempt {
                self.checker.attempt_ended(now, trace, checker_attempt, false);
                self.checker.attempt_wasted();
            }
        } else if let (Some(checker_attempt), Outcome::TimedOut | Outcome::Cancelled) =
            (checker_attempt, outcome)
        {
            self.checker.attempt_ended(now, trace, checker_attempt, false);
            self.checker.attempt_wasted();
        }
        if outcome == Outcome::Done {
            self.answer_request(node, id, Answer::Served { genuine: true }, None);
        }
        let backend = BackendId(stable_hash(&self.plan.machines[server].name));
        let ended = AttemptEnded { id, attempt, backend, outcome, last, elapsed_ms, load: Load::default() };
        self.handle_event(node, Event::AttemptEnded(ended));
        self.remove_if_finished(node, id);
    }

    /// Removes a request that is answered and has no attempt in flight.
    fn remove_if_finished(&mut self, node: usize, id: RequestId) {
        if let Some(sim_node) = &mut self.nodes[node]
            && sim_node.open.get(&id).is_some_and(|o| o.answered && o.attempts.iter().all(|a| a.ended))
        {
            sim_node.open.remove(&id);
        }
    }

    /// Gives a request its final answer.
    fn answer_request(&mut self, node: usize, id: RequestId, answer: Answer, retry_after: Option<f64>) {
        let now = self.now;
        let Some(open) =
            self.nodes[node].as_mut().and_then(|h| h.open.get_mut(&id)).filter(|o| !o.answered)
        else {
            return;
        };
        open.answered = true;
        let (client, trace) = (open.client, open.trace);
        self.checker.try_answered(now, trace, answer);
        self.remove_if_finished(node, id);
        match answer {
            Answer::Served { .. } => {
                self.checker.client_served(now, client);
                self.clients.remove(&client);
            }
            _ => self.schedule_retry(client, retry_after),
        }
    }

    /// Schedules a client's next try, if it makes one.
    fn schedule_retry(&mut self, client: u64, retry_after: Option<f64>) {
        let load = &self.plan.scenario.load;
        let Some(c) = self.clients.get_mut(&client) else { return };
        let pause_ms = match (retry_after.filter(|_| c.arrival.honours_retry_after), load.backoff) {
            (_, Backoff::None) => None,
            (Some(ms), _) => Some(ms),
            (None, Backoff::AtOnce) => Some(0.0),
            (None, Backoff::Fixed) => Some(load.backoff_ms),
            (None, Backoff::Exp) => Some(load.backoff_ms * 2f64.powi(c.number as i32)),
        };
        c.number += 1;
        let at = pause_ms.map(|p| self.now + p.max(0.0));
        match at.filter(|at| c.number <= load.retries && *at <= c.end_ms - MIN_TRY_MS) {
            Some(at) => self.push(at, SimEvent::Try { client }),
            None => drop(self.clients.remove(&client)),
        }
    }

    /// Chooses a node for a client: one in its zone if any is ready, otherwise any.
    fn choose_node(&mut self, zone: usize) -> Option<usize> {
        let ready = |n: &usize| {
            let node = self.nodes[*n].as_ref();
            node.map_or(self.now < self.front_until_ms[*n], |h| {
                !h.zones.as_ref().is_some_and(Zones::is_isolated)
            })
        };
        let mut fit: Vec<usize> =
            (0..self.nodes.len()).filter(|n| ready(n) && self.plan.node_zones[*n] == zone).collect();
        if fit.is_empty() {
            fit = (0..self.nodes.len()).filter(ready).collect();
        }
        self.next_node += 1;
        fit.get(self.next_node % fit.len().max(1)).copied()
    }

    /// Starts a try of a client.
    fn start_try(&mut self, client: u64) {
        let now = self.now;
        let Some(c) = self.clients.get(&client) else { return };
        let (arrival, number, end_ms) = (c.arrival, c.number, c.end_ms);
        let scenario = &self.plan.scenario;
        let class = &scenario.class[arrival.class];
        let wait_share = if number < scenario.load.retries { scenario.load.try_share } else { 1.0 };
        let wait_ms = (end_ms - now).min(class.deadline_ms * wait_share).floor();
        if end_ms - now < MIN_TRY_MS {
            self.clients.remove(&client);
            return;
        }
        let Some(node) = self.choose_node(arrival.zone) else { return self.schedule_retry(client, None) };
        let trace = mix_bits(self.plan.seed ^ mix_bits((arrival.number << 8) | (u64::from(number) + 1)));
        let faults = self.faults();
        let link = link_state(&faults, node, &|e: &Parties| e.clients.contains(&arrival.zone));
        if self.nodes[node].is_none() || !link.outbound || !link.inbound {
            // The node has ended or the link is cut: the try fails immediately.
            return self.schedule_retry(client, None);
        }
        self.checker.try_sent(now, trace, &arrival, node, wait_ms);
        let epoch = self.epochs[node];
        let Some(sim_node) = &mut self.nodes[node] else { return };
        let id = RequestId(sim_node.next_request);
        sim_node.next_request += 1;
        let open =
            OpenRequest { client, trace, class: arrival.class, answered: false, attempts: Vec::new() };
        sim_node.open.insert(id, open);
        let request = Request {
            id,
            class: arrival.class,
            tenant: Some(arrival.tenant),
            key: Some(stable_hash(&format!("k{:06x}", arrival.key))),
            deadline_ms: now + wait_ms - DEADLINE_MARGIN_MS,
            effort_ms: arrival.hint_ms,
            retry: false,
        };
        self.push(now + wait_ms - 1.0, SimEvent::TryTimeout { node, epoch, id });
        self.handle_event(node, Event::Request(request));
    }

    /// Answers a request whose time is over, without consulting the decision logic.
    fn time_out(&mut self, node: usize, id: RequestId) {
        let open = self.nodes[node].as_ref().and_then(|h| h.open.get(&id));
        if open.is_some_and(|o| !o.answered) {
            self.answer_request(node, id, Answer::Failed, None);
            self.handle_event(node, Event::ClientLeft(id));
        }
    }

    /// Starts a probe of a server.
    fn probe(&mut self, node: usize, backend: BackendId) {
        let Some(server) = self.ids.get(&backend).copied() else { return };
        let (ms, request_passes, answer_passes) = self.network_path(node, server);
        let (now, epoch) = (self.now, self.epochs[node]);
        let m = &self.machines[server];
        let (after, outcome) = if m.vanished || !request_passes {
            (150.0, Outcome::NotConnected)
        } else if !m.up {
            (2.0 * ms, Outcome::NotConnected)
        } else if m.silent || !answer_passes {
            (300.0, Outcome::TimedOut)
        } else {
            self.checker.probe_received(self.now);
            (4.0 * ms + 1.0, Outcome::Done)
        };
        self.push(now + after, SimEvent::ProbeEnd { node, epoch, server, outcome, begun: now });
    }

    /// Returns the time at which a datagram arrives, or `None` if it is lost.
    fn datagram_arrival(&mut self, from: usize, to: usize) -> Option<f64> {
        let net = &self.plan.scenario.net;
        let (loss, range) = (net.peer_loss, net.peer_ms);
        let faults = self.faults();
        let max_size =
            |kind: FaultKind| faults.iter().filter(|f| f.kind == kind).map(|f| f.size).fold(0.0, f64::max);
        let cut = !link_state(&faults, from, &|e: &Parties| e.nodes.contains(&to)).outbound;
        let loss = loss + max_size(FaultKind::PeerLoss);
        let loss_draw: f64 = self.rng.random();
        let ms = range[0] + (range[1] - range[0]) * self.rng.random::<f64>();
        (!cut && loss_draw >= loss).then_some(self.now + ms)
    }

    /// Passes an event to the gossip of a node and carries out its actions.
    fn handle_gossip(&mut self, node: usize, event: gossip::Event) {
        let mut out = Vec::new();
        let now = self.now;
        let Some(gossip) = self.nodes[node].as_mut().and_then(|h| h.gossip.as_mut()) else { return };
        let started = Instant::now();
        gossip.handle(now as u64, event, &mut out);
        self.spent[1] += started.elapsed();
        let (verdict_age_ms, affinity_age_ms) =
            (f64::from(self.options.share.verdicts_ms), f64::from(self.options.share.affinity_ms));
        for action in out {
            match action {
                gossip::Action::Send(to, bytes) => {
                    self.checker.datagram_sent(now, bytes.len());
                    let to = usize::from(to);
                    if let Some(at) = self.datagram_arrival(node, to) {
                        self.push(at, SimEvent::Datagram { from: node, to, bytes });
                    }
                }
                gossip::Action::Verdict { server, start, node: observer, failing, age } => {
                    let Some(n) = self.servers_by_short_id.get(&server).copied() else { continue };
                    if short_start(self.machines[n].listed.1) == start {
                        let backend = BackendId(stable_hash(&self.plan.machines[n].name));
                        let until_ms = now + verdict_age_ms - age as f64;
                        self.handle_event(
                            node,
                            Event::Shared(SharedUpdate::Verdict {
                                backend,
                                node: observer,
                                failing,
                                until_ms,
                            }),
                        );
                    }
                }
                gossip::Action::KeyLocation { key, server, age } => {
                    let Some(n) = self.servers_by_short_id.get(&server).copied() else { continue };
                    let backend = BackendId(stable_hash(&self.plan.machines[n].name));
                    let until_ms = now + affinity_age_ms - age as f64;
                    self.handle_event(
                        node,
                        Event::Shared(SharedUpdate::KeyLocation { key, backend, until_ms }),
                    );
                }
                gossip::Action::OperatorOrder { subject, order, .. } => {
                    self.apply_operator_order(node, &subject, order.cordoned)
                }
            }
        }
    }

    /// Applies an operator's order at a node.
    fn apply_operator_order(&mut self, node: usize, subject: &str, cordoned: bool) {
        if let Some(zone) = subject.strip_prefix("zone:") {
            let number = self.plan.scenario.fleet.zones.iter().position(|z| z == zone);
            let (now, order) = (self.now, cordoned.then_some(ZoneOrder::Leave(None)));
            if let (Some(number), Some(zones)) =
                (number, self.nodes[node].as_mut().and_then(|h| h.zones.as_mut()))
            {
                zones.apply_order(now, number as u16, order);
            }
            return;
        }
        let Some(server) = self.plan.machines.iter().position(|m| m.name == subject) else { return };
        if !self.options.state.dir.is_empty() {
            // The node saves an order before it answers.
            let saved_cordons = &mut self.stores[node].cordoned;
            let _ = if cordoned { saved_cordons.insert(server) } else { saved_cordons.remove(&server) };
        }
        let Some(sim_node) = &mut self.nodes[node] else { return };
        if cordoned {
            sim_node.cordoned.insert(server);
        } else {
            sim_node.cordoned.remove(&server);
        }
        self.checker.operator_order(self.now, node, server, cordoned);
        let entries = self.entries(node, 0, true);
        self.handle_event(node, Event::List { kind: ListKind::Changes, entries });
    }

    /// Shares what the decision logic of a node observed.
    fn publish_observation(&mut self, node: usize, found: Observation) {
        match found {
            Observation::Backend { backend, failing } => {
                let start = self.ids.get(&backend).map_or(0, |n| short_start(self.machines[*n].listed.1));
                self.handle_gossip(
                    node,
                    gossip::Event::Verdict { server: backend.short(), start, failing },
                );
            }
            Observation::Key { key, backend } => {
                self.handle_gossip(node, gossip::Event::KeyLocation { key, server: backend.short() })
            }
        }
    }

    /// Processes the shared state of a node, and updates the tenants' totals at intervals.
    fn share_tick(&mut self, node: usize, tick: u64) {
        self.handle_gossip(node, gossip::Event::Tick);
        if tick.is_multiple_of(TENANT_TOTALS_TICKS) {
            let now = self.now as u64;
            let short = |n: usize| (stable_hash(&self.plan.scenario.tenant[n].name) >> 32) as u32;
            let Some(sim_node) = &self.nodes[node] else { return };
            let request_rates = sim_node.balancer.tenant_request_rates();
            let rates: Vec<(u32, f32)> =
                request_rates.iter().enumerate().map(|(n, r)| (short(n), *r as f32)).collect();
            let within = |n: usize| {
                let quota = self.plan.scenario.tenant[n].quota_rps;
                sim_node
                    .gossip
                    .as_ref()
                    .filter(|_| quota > 0.0)
                    .and_then(|f| f.share_within_quota(now, short(n), quota))
            };
            let shares: Vec<Option<f64>> = (0..request_rates.len()).map(within).collect();
            self.handle_gossip(node, gossip::Event::TenantRates(&rates));
            self.handle_event(node, Event::Shared(SharedUpdate::TenantShares(shares)));
        }
    }

    /// Updates the zones of a node and the weights of its decision logic.
    fn zones_tick(&mut self, node: usize) {
        let now = self.now;
        let mut up = BTreeMap::new();
        for (n, m) in self.machines.iter().enumerate() {
            let cordoned = self.nodes[node].as_ref().is_some_and(|h| h.cordoned.contains(&n));
            let is_available = m.listed.0 == Health::Up && !cordoned;
            *up.entry(self.plan.machines[n].zone as u16).or_insert(0_usize) += usize::from(is_available);
        }
        let names = self.plan.scenario.fleet.zones.clone();
        let short = |zone: &str| (stable_hash(&format!("zone:{zone}")) >> 32) as u32;
        let Some(sim_node) = &mut self.nodes[node] else { return };
        let mut awaiting_trial = BTreeMap::new();
        for b in sim_node.balancer.snapshot(now).backends.iter().filter(|b| b.up && b.trial_at_ms.is_some())
        {
            *awaiting_trial.entry(b.zone).or_insert(0_usize) += 1;
        }
        let Some(zones) = &mut sim_node.zones else { return };
        zones.set_servers(now, &up, &awaiting_trial);
        let mut has_live_peers = false;
        if let Some(gossip) = &sim_node.gossip {
            has_live_peers = gossip.members().counts()[0] > 1;
            let age = self.options.share.verdicts_ms.into();
            for (n, name) in names.iter().enumerate() {
                let failing_reports = gossip.shared().failing_verdicts_by_others(
                    now as u64,
                    short(name),
                    node as NodeId,
                    age,
                );
                zones.set_peer_reports(n as u16, failing_reports);
            }
        }
        let changes = zones.tick(now, has_live_peers);
        if changes.is_empty() {
            return;
        }
        let mut reports = Vec::new();
        for change in changes {
            sim_node.zone_weights.insert(change.zone, change.weight);
            reports.extend(change.report.map(|failing| (short(&names[usize::from(change.zone)]), failing)));
        }
        let weights = (0..names.len() as u16)
            .map(|z| sim_node.zone_weights.get(&z).copied().unwrap_or(1.0))
            .collect();
        for (server, failing) in reports {
            self.handle_gossip(node, gossip::Event::Verdict { server, start: 0, failing });
        }
        self.handle_event(node, Event::ZoneWeights(weights));
    }

    /// Lets a node wait for changes of the list.
    fn watch(&mut self, node: usize) {
        let (version, epoch) = (self.list_version, self.epochs[node]);
        let Some(sim_node) = self.nodes[node].as_mut() else { return };
        sim_node.watching = true;
        if sim_node.version < version || self.discovery_faults().0 {
            self.call_discovery(node);
        } else {
            self.push(self.now + WATCH_TIMEOUT_MS, SimEvent::ListCallEnd { node, epoch, failed: false });
        }
    }

    /// Returns whether discovery is down, whether it is silent, and by what factor it is slower.
    fn discovery_faults(&self) -> (bool, bool, f64) {
        let faults = self.faults();
        let is = |kind: FaultKind| faults.iter().any(|f| f.kind == kind);
        let slow = faults
            .iter()
            .filter(|f| f.kind == FaultKind::DiscoverySlow)
            .map(|f| f.size)
            .fold(1.0, f64::max);
        (is(FaultKind::DiscoveryDown), is(FaultKind::DiscoverySilent), slow)
    }

    /// Schedules the end of a node's call to discovery.
    fn call_discovery(&mut self, node: usize) {
        self.checker.discovery_called(self.now);
        let (down, silent, slow) = self.discovery_faults();
        let d = &self.plan.scenario.discovery;
        let (call_ms, timeout_ms) = (d.call_ms * slow, d.timeout_ms);
        let epoch = self.epochs[node];
        let faults = self.faults();
        let link = link_state(&faults, node, &|e: &Parties| e.discovery);
        if let Some(sim_node) = &mut self.nodes[node] {
            sim_node.watching = false;
        }
        let wait_ms = (self.discovery_busy_until - self.now).max(0.0);
        if silent || !link.outbound || !link.inbound || wait_ms > timeout_ms {
            let after_ms = if wait_ms > timeout_ms { timeout_ms } else { timeout_ms + 1000.0 };
            return self.push(self.now + after_ms, SimEvent::ListCallEnd { node, epoch, failed: true });
        }
        self.discovery_busy_until = self.now + wait_ms + call_ms;
        self.push(self.discovery_busy_until, SimEvent::ListCallEnd { node, epoch, failed: down });
    }

    /// Handles the end of a node's call to discovery.
    fn apply_list(&mut self, node: usize, failed: bool) {
        if failed {
            self.handle_event(node, Event::List { kind: ListKind::Failed, entries: Vec::new() });
            if !self.plan.scenario.discovery.asked {
                self.watch(node);
            }
            return;
        }
        let Some(known) = self.nodes[node].as_ref().map(|h| h.version) else { return };
        let entries = self.entries(node, known, false);
        for n in 0..self.machines.len() {
            let (health, _, version) = self.machines[n].listed;
            if version > known {
                self.checker.server_state_learned(self.now, node, n, health == Health::Up);
            }
        }
        if let Some(sim_node) = &mut self.nodes[node] {
            sim_node.version = self.list_version;
        }
        self.handle_event(node, Event::List { kind: ListKind::Changes, entries });
        self.watch(node);
    }

    /// Changes a server's state in discovery's list and answers the nodes that watch it.
    fn set_listed(&mut self, server: usize, state: Health, boot_ms: f64) {
        self.list_version += 1;
        self.machines[server].listed = (state, boot_ms, self.list_version);
        for node in 0..self.nodes.len() {
            if self.nodes[node].as_ref().is_some_and(|h| h.watching) {
                self.call_discovery(node);
            }
        }
    }

    /// Schedules the time at which discovery notices a change: its delay multiplied by `times`.
    fn notice_later(&mut self, server: usize, state: Health, boot_ms: f64, times: f64) {
        let after = self.plan.machines[server].notice_ms * times;
        self.push(self.now + after, SimEvent::NoticeChange { server, state, boot_ms });
    }

    /// Ends a server's process. Connections are reset or, if the machine has vanished, get no response.
    fn down(&mut self, server: usize, vanished: bool) {
        let now = self.now;
        let machine = &mut self.machines[server];
        (machine.up, machine.vanished) = (false, vanished);
        machine.generation += 1;
        let mut lost: Vec<_> = machine.waiting.drain().collect();
        lost.sort_by_key(|(request_id, _)| *request_id);
        for (_, (node, epoch, id, attempt)) in lost {
            if !vanished {
                self.push(now, SimEvent::AttemptEnd { node, epoch, id, attempt, outcome: Outcome::Reset });
            }
        }
    }

    /// Starts a server's process, cold.
    fn start_cold(&mut self, server: usize) {
        let now = self.now;
        let machine = &mut self.machines[server];
        machine.model.restart(now);
        (machine.up, machine.vanished) = (true, false);
        for sim_node in self.nodes.iter_mut().flatten() {
            sim_node.last_answer_ms[server] = f64::NEG_INFINITY;
        }
        self.notice_later(server, Health::Up, now.max(1.0), 1.0);
    }

    /// Applies the lasting effects of all active faults to the servers.
    fn apply(&mut self) {
        let faults: Vec<PlannedFault> = self.faults().into_iter().cloned().collect();
        for (n, m) in self.machines.iter_mut().enumerate() {
            let faults_here = || faults.iter().filter(|f| f.on.servers.contains(&n));
            let max_size = |kind: FaultKind| {
                faults_here().filter(|f| f.kind == kind).map(|f| f.size).fold(0.0, f64::max)
            };
            m.model.speed_factor = 1.0 / max_size(FaultKind::ServerSlow).max(1.0);
            m.model.neighbour_share = max_size(FaultKind::ServerNeighbour).clamp(0.0, 0.99);
            m.model.pause_ms = max_size(FaultKind::ServerPauses).clamp(0.0, 990.0);
            m.silent = faults_here().any(|f| f.kind == FaultKind::ServerSilent);
            m.errors = max_size(FaultKind::ServerErrors);
            m.resets = max_size(FaultKind::ServerResets);
        }
        for server in 0..self.machines.len() {
            self.schedule(server);
        }
    }

    /// Starts a fault and schedules its end.
    fn begin_fault(&mut self, n: usize) {
        let fault = self.plan.faults[n].clone();
        let run_length_ms = self.plan.length_ms();
        let lasts = !matches!(
            fault.kind,
            FaultKind::Mark | FaultKind::NodeKill | FaultKind::NodePowerLoss | FaultKind::NodeCall
        );
        let until_ms = fault.until_ms.unwrap_or(if lasts { run_length_ms } else { fault.at_ms });
        self.checker.record_fault(fault.kind, fault.number, fault.at_ms, until_ms.min(run_length_ms));
        self.active.insert(fault.number);
        self.push(until_ms, SimEvent::FaultEnd(n));
        self.apply();
        for &s in &fault.on.servers {
            match fault.kind {
                FaultKind::ServerDown => {
                    self.down(s, false);
                    self.notice_later(s, Health::Gone, 0.0, 1.0);
                }
                FaultKind::ServerVanish => {
                    self.down(s, true);
                    self.notice_later(s, Health::Gone, 0.0, 3.0);
                }
                FaultKind::ServerDrain => {
                    self.notice_later(s, Health::Draining, self.machines[s].listed.1, 0.0)
                }
                FaultKind::ServerRestart => {
                    self.notice_later(s, Health::Draining, self.machines[s].listed.1, 0.0);
                    self.push(self.now + DRAIN_MS, SimEvent::RestartDown(s));
                }
                _ => {}
            }
        }
        for &node in &fault.on.nodes {
            match fault.kind {
                FaultKind::NodeKill | FaultKind::NodePowerLoss => {
                    self.epochs[node] += 1;
                    if let Some(sim_node) = self.nodes[node].take() {
                        let mut clients: Vec<(u64, u64)> = sim_node
                            .open
                            .values()
                            .filter(|o| !o.answered)
                            .map(|o| (o.client, o.trace))
                            .collect();
                        clients.sort_unstable();
                        for (client, trace) in clients {
                            self.checker.try_answered(self.now, trace, Answer::Cut);
                            self.schedule_retry(client, None);
                        }
                    }
                    self.front_until_ms[node] = self.now + self.plan.scenario.net.front_s * 1000.0;
                }
                FaultKind::NodeCall => self.operator_call(node, &fault.say),
                _ => {}
            }
        }
    }

    /// Applies an operator's call to a node, and shares it if it is for the whole fleet.
    fn operator_call(&mut self, node: usize, say: &str) {
        let words: Vec<&str> = say.split_whitespace().collect();
        let (subject, cordoned, whole_fleet) = match words[..] {
            ["zone", word, zone, ..] => (format!("zone:{zone}"), word != "return", true),
            [word, "--fleet", id] => (id.to_owned(), word == "cordon", true),
            [word, id] => (id.to_owned(), word == "cordon", false),
            _ => return,
        };
        self.apply_operator_order(node, &subject, cordoned);
        if whole_fleet {
            self.handle_gossip(
                node,
                gossip::Event::OperatorOrder { subject: &subject, cordoned, for_s: 0 },
            );
        }
    }

    /// Saves what a node has learned, and drops entries that are too old for its next start to use.
    fn save_learned(&mut self, node: usize, epoch: u32) {
        if self.epochs[node] != epoch {
            return;
        }
        let Some(sim_node) = &self.nodes[node] else { return };
        let store = &mut self.stores[node];
        store.saved_memories.push_back((self.now, sim_node.balancer.memory()));
        store.cordoned.clone_from(&sim_node.cordoned);
        let newest_usable_ms = self.now - self.plan.scenario.fleet.store_old_s * 1000.0;
        while store.saved_memories.get(1).is_some_and(|(at, _)| *at <= newest_usable_ms) {
            store.saved_memories.pop_front();
        }
        let at = self.now + SAVE_INTERVAL_MS * (0.8 + 0.4 * self.rng.random::<f64>());
        self.push(at, SimEvent::SaveLearned { node, epoch });
    }

    /// Ends a fault.
    fn end_fault(&mut self, n: usize) -> Result<(), SimError> {
        let fault = self.plan.faults[n].clone();
        self.active.remove(&fault.number);
        self.apply();
        for &s in &fault.on.servers {
            match fault.kind {
                FaultKind::ServerDown | FaultKind::ServerVanish | FaultKind::ServerRestart => {
                    self.start_cold(s)
                }
                FaultKind::ServerDrain => self.notice_later(s, Health::Up, self.machines[s].listed.1, 0.0),
                _ => {}
            }
        }
        for &node in &fault.on.nodes {
            if matches!(fault.kind, FaultKind::NodeKill | FaultKind::NodePowerLoss) {
                self.checker.node_lost_knowledge(node);
                self.start(node)?;
            }
        }
        Ok(())
    }

    /// Processes events until the end of the run.
    fn play(&mut self) -> Result<(), SimError> {
        let plan = self.plan.clone();
        let mut arrivals = plan.arrivals();
        if let Some(first) = arrivals.next() {
            self.push(first.at_ms, SimEvent::Arrive(first));
        }
        let max_deadline_ms = plan.scenario.class.iter().map(|c| c.deadline_ms).fold(0.0, f64::max);
        let end_ms = plan.length_ms() + max_deadline_ms + ANSWER_SLACK_MS;
        while let Some(Reverse(scheduled)) = self.queue.pop() {
            if scheduled.at > end_ms {
                break;
            }
            self.now = scheduled.at;
            self.events += 1;
            self.course = mix_bits(self.course ^ scheduled.at.to_bits() ^ mix_bits(scheduled.order));
            match scheduled.event {
                SimEvent::Arrive(arrival) => {
                    self.checker.client_arrived(&arrival);
                    let end_ms = arrival.at_ms + plan.scenario.class[arrival.class].deadline_ms;
                    self.clients.insert(arrival.number, Client { arrival, number: 0, end_ms });
                    self.start_try(arrival.number);
                    if let Some(next) = arrivals.next() {
                        self.push(next.at_ms, SimEvent::Arrive(next));
                    }
                }
                SimEvent::Try { client } => self.start_try(client),
                SimEvent::TryTimeout { node, epoch, id } if self.epochs[node] == epoch => {
                    self.time_out(node, id)
                }
                SimEvent::Timer { node, epoch, token } if self.epochs[node] == epoch => {
                    self.handle_event(node, Event::Timer(token))
                }
                SimEvent::ShareTick { node, epoch, tick } if self.epochs[node] == epoch => {
                    self.share_tick(node, tick);
                    self.push(
                        self.now + SHARE_TICK_MS,
                        SimEvent::ShareTick { node, epoch, tick: tick + 1 },
                    );
                }
                SimEvent::SaveLearned { node, epoch } => self.save_learned(node, epoch),
                SimEvent::ZonesTick { node, epoch } if self.epochs[node] == epoch => {
                    let started = Instant::now();
                    self.zones_tick(node);
                    self.spent[2] += started.elapsed();
                    self.push(self.now + ZONES_TICK_MS, SimEvent::ZonesTick { node, epoch });
                }
                SimEvent::Datagram { from, to, bytes } => {
                    self.handle_gossip(to, gossip::Event::Datagram(from as NodeId, &bytes))
                }
                SimEvent::Message { from, to, bytes } => {
                    self.handle_event(to, Event::PeerMessage { from: from as u32, bytes });
                }
                SimEvent::Deliver { node, epoch, id, attempt, server, begun } => {
                    self.deliver(node, epoch, id, attempt, server, begun);
                }
                SimEvent::AttemptEnd { node, epoch, id, attempt, outcome }
                    if self.epochs[node] == epoch =>
                {
                    self.attempt_ended(node, id, attempt, outcome);
                }
                SimEvent::ServerWork { server, generation }
                    if self.machines[server].generation == generation =>
                {
                    let mut done = Vec::new();
                    self.machines[server].model.advance(self.now, &mut done);
                    self.completed(server, done);
                    self.schedule(server);
                }
                SimEvent::CancelAtServer { server, request_id }
                    if self.machines[server].waiting.remove(&request_id).is_some() =>
                {
                    let mut done = Vec::new();
                    let now = self.now;
                    self.machines[server].model.advance(now, &mut done);
                    self.machines[server].model.cancel(request_id);
                    self.completed(server, done);
                    self.schedule(server);
                }
                SimEvent::ProbeEnd { node, epoch, server, outcome, begun }
                    if self.epochs[node] == epoch =>
                {
                    let backend = BackendId(stable_hash(&plan.machines[server].name));
                    let zone = plan.machines[server].zone as u16;
                    if let Some(zones) = self.nodes[node].as_mut().and_then(|h| h.zones.as_mut()) {
                        zones.record_outcome(zone, backend.short(), outcome, false);
                    }
                    let elapsed_ms = self.now - begun;
                    self.handle_event(
                        node,
                        Event::ProbeEnded { backend, outcome, elapsed_ms, load: Load::default() },
                    );
                }
                // A server that has changed state again before discovery noticed is not reported.
                SimEvent::NoticeChange { server, state: Health::Gone, .. } if self.machines[server].up => {}
                SimEvent::NoticeChange { server, state: Health::Up, .. } if !self.machines[server].up => {}
                SimEvent::NoticeChange { server, state, boot_ms } => {
                    self.set_listed(server, state, boot_ms)
                }
                SimEvent::ListCallEnd { node, epoch, failed } if self.epochs[node] == epoch => {
                    self.apply_list(node, failed)
                }
                SimEvent::FaultStart(n) => self.begin_fault(n),
                SimEvent::FaultEnd(n) => self.end_fault(n)?,
                SimEvent::RestartDown(server) => {
                    self.down(server, false);
                    self.set_listed(server, Health::Gone, 0.0);
                }
                _ => {}
            }
        }
        let (keyed_requests, known_key_requests) = self
            .machines
            .iter()
            .fold((0, 0), |s, m| (s.0 + m.model.keyed_requests, s.1 + m.model.known_key_requests));
        self.checker.record_keys(keyed_requests, known_key_requests);
        Ok(())
    }
}

/// Returns the start time of a server in the form in which nodes share it, in milliseconds modulo 2^32.
fn short_start(ready_at_ms: f64) -> u32 {
    ready_at_ms.max(0.0) as u64 as u32
}
