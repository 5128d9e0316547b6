//! The same days in virtual time: the real decisions, members, shared state and zones of every node, over modelled
//! servers, discovery, clients and network. One seed, one course of events, whatever the machine; the judge is the lab's
//! own. What a day asks for that is not modelled is refused, not left out.

use crate::checker::{ANSWER_SLACK_MS, Answer, Checker, Figures, Rule, Verdict};
use crate::plan::{Arrival, Parties, Plan, PlannedFault, link_state, mix_bits, unit_interval};
use crate::scenario::{Backoff, FaultKind, Repeat, Scenario};
use crate::server::{Admit, Server, spec};
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

/// A node's own answer comes so long before its client gives up.
const MARGIN_MS: f64 = 4.0;
/// A watch of the list that waits for longer is made anew.
const WATCH_MS: f64 = 20_000.0;
/// How often a node's shared state and its zones are looked at.
const SHARE_TICK_MS: f64 = 20.0;
/// How often a node writes down what it has learned, and how long that is believed, as the node has it.
const LEARN_MS: f64 = 3000.0;
const LEARNED_AGE_MS: f64 = 600_000.0;
const ZONES_TICK_MS: f64 = 100.0;
/// Tenants' totals are handed to the decisions every so many ticks of the shared state.
const TELL_EVERY: u64 = 5;
/// A planned restart drains for so long.
const DRAIN_MS: f64 = 1000.0;
/// A client does not begin a try with less time than this.
const LEAST_MS: f64 = 20.0;

/// Why a day cannot be simulated.
#[derive(Debug, Error)]
pub enum SimError {
    /// A trouble is not modelled.
    #[error("trouble {0}: {1} is played on real processes only")]
    UnsupportedFault(usize, String),
    /// Servers have more names than one.
    #[error("fleet.names: {0} is played on real processes only")]
    Names(usize),
    /// Its settings are none that a node could run on.
    #[error("settings: {0}")]
    Settings(String),
    /// The product's options are wrong.
    #[error("product: {0}")]
    Options(String),
}

/// What came of it.
#[derive(Clone, Debug, Serialize)]
pub struct Simulated {
    /// The scenario's name.
    pub name: String,
    /// The seed.
    pub seed: u64,
    /// Kept or not.
    pub verdict: Verdict,
    /// The judge's figures.
    pub figures: Figures,
    /// Events played.
    pub events: u64,
    /// Differs where the course of events does.
    pub course: u64,
    /// Real time that the parts of all nodes took, in seconds: decisions, shared state, zones. No part of the course.
    pub spent_s: [f64; 3],
}

impl Simulated {
    /// The last line of a play.
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

#[derive(Debug)]
enum What {
    Arrive(Arrival),
    Try {
        client: u64,
    },
    /// A client's time is over.
    Over {
        node: usize,
        epoch: u32,
        id: RequestId,
    },
    Timer {
        node: usize,
        epoch: u32,
        token: u64,
    },
    Share {
        node: usize,
        epoch: u32,
        turn: u64,
    },
    Zones {
        node: usize,
        epoch: u32,
    },
    /// A node writes down what it has learned.
    Learn {
        node: usize,
        epoch: u32,
    },
    Datagram {
        from: usize,
        to: usize,
        bytes: Vec<u8>,
    },
    Message {
        from: usize,
        to: usize,
        bytes: Vec<u8>,
    },
    /// A request reaches its server.
    Deliver {
        node: usize,
        epoch: u32,
        id: RequestId,
        attempt: u32,
        server: usize,
        begun: f64,
    },
    /// An attempt ends at its node.
    End {
        node: usize,
        epoch: u32,
        id: RequestId,
        attempt: u32,
        outcome: Outcome,
    },
    /// A server's model has something to complete.
    Work {
        server: usize,
        generation: u64,
    },
    /// A server hears that a request is given up.
    Drop {
        server: usize,
        own: u64,
    },
    Probed {
        node: usize,
        epoch: u32,
        server: usize,
        outcome: Outcome,
        begun: f64,
    },
    /// Discovery learns of a server's state.
    Note {
        server: usize,
        state: Health,
        boot_ms: f64,
    },
    /// A call to discovery is over.
    Listed {
        node: usize,
        epoch: u32,
        failed: bool,
    },
    Begin(usize),
    Finish(usize),
    /// A server's process ends within a planned restart.
    Down(usize),
}

struct Due {
    at: f64,
    order: u64,
    what: What,
}

impl PartialEq for Due {
    fn eq(&self, other: &Due) -> bool {
        self.order == other.order
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Due) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    fn cmp(&self, other: &Due) -> std::cmp::Ordering {
        self.at.total_cmp(&other.at).then(self.order.cmp(&other.order))
    }
}

/// A client with its tries.
struct Client {
    arrival: Arrival,
    number: u32,
    end: f64,
}

#[derive(Clone, Debug)]
struct Attempt {
    server: usize,
    sent: f64,
    over: bool,
    /// Its number at the judge, and its own id at the server.
    judged: Option<usize>,
    own: Option<u64>,
}

struct Open {
    client: u64,
    trace: u64,
    class: usize,
    answered: bool,
    attempts: Vec<Attempt>,
}

/// One node.
struct Host {
    balancer: Balancer,
    fleet: Option<Gossip>,
    zones: Option<Zones>,
    parts: BTreeMap<u16, f64>,
    open: HashMap<RequestId, Open>,
    next: u64,
    version: u64,
    watching: bool,
    /// When it last had an answer of each server: a connection to it is kept.
    kept: Vec<f64>,
    cordoned: BTreeSet<usize>,
}

/// What a node's store holds, as the thread that has the disk writes it: the oldest first.
#[derive(Default)]
struct Kept {
    learned: VecDeque<(f64, Memory)>,
    cordoned: BTreeSet<usize>,
}

struct Machine {
    model: Server,
    up: bool,
    vanished: bool,
    silent: bool,
    errors: f64,
    resets: f64,
    generation: u64,
    next: u64,
    waiting: HashMap<u64, (usize, u32, RequestId, u32)>,
    listed: (Health, f64, u64),
}

struct Sim {
    plan: Plan,
    options: Options,
    checker: Checker,
    rng: ChaCha8Rng,
    queue: BinaryHeap<Reverse<Due>>,
    order: u64,
    now: f64,
    nodes: Vec<Option<Host>>,
    epochs: Vec<u32>,
    /// By node; empty where no state is kept.
    stores: Vec<Kept>,
    /// Real time that the parts of all nodes took, for whoever asks how it grows: decisions, shared state, zones.
    spent: [Duration; 3],
    /// Until when the front still sends clients to a node that has gone.
    gone: Vec<f64>,
    machines: Vec<Machine>,
    ids: HashMap<BackendId, usize>,
    shorts: HashMap<u32, usize>,
    clients: HashMap<u64, Client>,
    active: BTreeSet<usize>,
    list_version: u64,
    discovery_busy: f64,
    repeats: HashMap<(usize, u64), f64>,
    turn: usize,
    events: u64,
    course: u64,
}

fn modelled(kind: FaultKind) -> bool {
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

/// Plays a day in virtual time.
///
/// # Errors
/// It asks for something that is not modelled.
pub fn simulate(scenario: &Scenario, seed: u64) -> Result<Simulated, SimError> {
    if scenario.fleet.names > 1 {
        return Err(SimError::Names(scenario.fleet.names));
    }
    let plan = Plan::draw(scenario, seed);
    for fault in &plan.faults {
        let said = fault.kind == FaultKind::NodeCall
            && !fault.say.split(' ').next().is_some_and(|w| matches!(w, "cordon" | "uncordon" | "zone"));
        if said || !modelled(fault.kind) {
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
        let machines: Vec<Machine> = (0..plan.machines.len())
            .map(|n| Machine {
                model: Server::new(spec(&plan, n), -1e12),
                up: true,
                vanished: false,
                silent: false,
                errors: 0.0,
                resets: 0.0,
                generation: 0,
                next: 0,
                waiting: HashMap::new(),
                listed: (Health::Up, 0.0, 1),
            })
            .collect();
        let id = |name: &str| BackendId(stable_hash(name));
        let ids: HashMap<BackendId, usize> =
            plan.machines.iter().enumerate().map(|(n, m)| (id(&m.name), n)).collect();
        let shorts = ids.iter().map(|(id, n)| (id.short(), *n)).collect();
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
            stores: (0..count).map(|_| Kept::default()).collect(),
            spent: [Duration::ZERO; 3],
            gone: vec![f64::NEG_INFINITY; count],
            machines,
            ids,
            shorts,
            clients: HashMap::new(),
            active: BTreeSet::new(),
            list_version: 1,
            discovery_busy: 0.0,
            repeats: HashMap::new(),
            turn: 0,
            events: 0,
            course: 0,
            plan,
        }
    }

    fn push(&mut self, at: f64, what: What) {
        self.order += 1;
        self.queue.push(Reverse(Due { at: at.max(self.now), order: self.order, what }));
    }

    fn begin(&mut self) -> Result<(), SimError> {
        // Nodes start a while before the day, as in the lab, so that none is new to anything.
        for node in 0..self.nodes.len() {
            self.start(node)?;
        }
        for n in 0..self.plan.faults.len() {
            self.push(self.plan.faults[n].at_ms, What::Begin(n));
        }
        Ok(())
    }

    fn settings(&self, node: usize) -> Result<Settings, SimError> {
        let text = settings(&self.plan, node).to_string();
        daleturn::wire::settings(&text).map(|s| s.0).map_err(|e| SimError::Settings(e.to_string()))
    }

    fn start(&mut self, node: usize) -> Result<(), SimError> {
        let settings = self.settings(node)?;
        self.epochs[node] += 1;
        let epoch = self.epochs[node];
        let seed = self.plan.seed ^ mix_bits(node as u64 ^ u64::from(epoch) << 32);
        let balancer =
            Balancer::new(settings.clone(), seed).map_err(|e| SimError::Settings(e.to_string()))?;
        let (own, count) = (node as NodeId, self.nodes.len() as u16);
        let share = &self.options.share;
        let bounds = MaxAges {
            limits_ms: share.limits_ms.into(),
            verdicts_ms: share.verdicts_ms.into(),
            affinity_ms: share.affinity_ms.into(),
        };
        let fleet = share.on.then(|| Gossip::new(self.now as u64, own, count, epoch, bounds, seed));
        let zones = self.options.topology.on.then(|| Zones::new(self.now, settings.zone, settings.cold_ms));
        let host = Host {
            balancer,
            fleet,
            zones,
            parts: BTreeMap::new(),
            open: HashMap::new(),
            next: u64::from(epoch) << 40,
            version: 0,
            watching: false,
            kept: vec![f64::NEG_INFINITY; self.machines.len()],
            cordoned: self.stores[node].cordoned.clone(),
        };
        self.nodes[node] = Some(host);
        self.gone[node] = f64::NEG_INFINITY;
        self.feed(node, Event::Start);
        let entries = self.entries(node, 0, true);
        self.feed(node, Event::List { kind: ListKind::Saved, entries });
        if !self.options.state.dir.is_empty() {
            let (now, old) = (self.now, self.plan.scenario.fleet.store_old_s * 1000.0);
            let believed = self.stores[node].learned.iter().rfind(|(at, _)| now - at >= old);
            let believed = believed.filter(|(at, _)| now - at <= LEARNED_AGE_MS).map(|(_, m)| m.clone());
            if let Some(memory) = believed {
                self.feed(node, Event::Memory(Box::new(memory)));
            }
            self.stores[node].learned.clear();
            let at = self.now + LEARN_MS * (0.5 + self.rng.random::<f64>());
            self.push(at, What::Learn { node, epoch });
        }
        if let Some(host) = &mut self.nodes[node] {
            host.version = 1;
        }
        if self.options.share.on {
            let at = self.now + self.rng.random::<f64>() * SHARE_TICK_MS;
            self.push(at, What::Share { node, epoch, turn: 0 });
        }
        if self.options.topology.on {
            let at = self.now + self.rng.random::<f64>() * ZONES_TICK_MS;
            self.push(at, What::Zones { node, epoch });
        }
        if !self.plan.scenario.discovery.asked {
            self.watch(node);
        }
        Ok(())
    }

    /// Lines of the list that are newer than a version, as a node's operators leave them.
    fn entries(&self, node: usize, after: u64, whole: bool) -> Vec<ListEntry> {
        let cordoned = |s: usize| self.nodes[node].as_ref().is_some_and(|h| h.cordoned.contains(&s));
        let lines = self.machines.iter().enumerate().filter(|(_, m)| m.listed.2 > after);
        let lines = lines.filter(|(_, m)| !whole || m.listed.0 != Health::Gone);
        lines
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

    fn feed(&mut self, node: usize, event: Event) {
        let mut out = Vec::new();
        let now = self.now;
        let Some(host) = &mut self.nodes[node] else { return };
        let begun = Instant::now();
        host.balancer.handle(now, event, &mut out);
        self.spent[0] += begun.elapsed();
        for action in out {
            self.carry_out(node, action);
        }
    }

    fn carry_out(&mut self, node: usize, action: Action) {
        let epoch = self.epochs[node];
        match action {
            Action::Send { id, backend, timeout_ms } => self.send(node, id, backend, timeout_ms),
            Action::Cancel { id, attempt } => self.give_up(node, id, attempt, Outcome::Cancelled),
            Action::Refuse { id, retry_after_ms } => {
                self.settle(node, id, Answer::Refused { has_retry_after: true }, Some(retry_after_ms))
            }
            Action::Fail(id) => self.settle(node, id, Answer::Failed, None),
            Action::Timer { token, at_ms } => self.push(at_ms, What::Timer { node, epoch, token }),
            Action::Probe(backend) => self.probe(node, backend),
            Action::SendPeerMessage { to, bytes } => {
                self.checker.datagram_sent(self.now, bytes.len());
                let all: Vec<usize> = match to {
                    Some(n) => vec![n as usize],
                    None => (0..self.nodes.len()).filter(|n| *n != node).collect(),
                };
                for to in all {
                    if let Some(at) = self.travels(node, to) {
                        self.push(at, What::Message { from: node, to, bytes: bytes.clone() });
                    }
                }
            }
            Action::Watch(true) => self.watch(node),
            Action::ShareObservation(found) => self.found(node, found),
            Action::Watch(false) | Action::CloseIdleConnections(_) | Action::Log(_) => {}
        }
    }

    /// The way between a node and a server now: one way's time, and whether requests and answers pass.
    fn way(&self, node: usize, server: usize) -> (f64, bool, bool) {
        let net = &self.plan.scenario.net;
        let same = self.plan.node_zones[node] == self.plan.machines[server].zone;
        let usual = if same { net.same_ms } else { net.cross_ms };
        let faults = self.faults();
        let p = link_state(&faults, node, &|e: &Parties| e.servers.contains(&server));
        (usual + p.delay_ms, p.outbound, p.inbound)
    }

    fn faults(&self) -> Vec<&PlannedFault> {
        self.plan.faults.iter().filter(|f| self.active.contains(&f.number)).collect()
    }

    fn send(&mut self, node: usize, id: RequestId, backend: BackendId, timeout_ms: f64) {
        let (now, epoch) = (self.now, self.epochs[node]);
        let Some(server) = self.ids.get(&backend).copied() else { return };
        let (ms, there, _) = self.way(node, server);
        let connect = self.plan.scenario.net.relays;
        let Some(host) = &mut self.nodes[node] else { return };
        let kept = now - host.kept[server] < 15_000.0;
        let Some(open) = host.open.get_mut(&id) else { return };
        let attempt = open.attempts.len() as u32;
        open.attempts.push(Attempt { server, sent: now, over: false, judged: None, own: None });
        let machine = &self.machines[server];
        let end = |outcome| What::End { node, epoch, id, attempt, outcome };
        if !kept {
            self.checker.connection_opened(now);
        }
        if machine.vanished || (!there && connect) {
            self.checker.attempt_undeliverable(open.trace);
            // On a connection that is open it waits in vain; a new one does not come up.
            let (after, outcome) = if kept {
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
        let setup = if kept { 0.0 } else { 2.0 * ms };
        self.push(now + setup + ms, What::Deliver { node, epoch, id, attempt, server, begun: now + setup });
        self.push(now + timeout_ms, end(Outcome::TimedOut));
    }

    fn deliver(&mut self, node: usize, epoch: u32, id: RequestId, attempt: u32, server: usize, begun: f64) {
        let now = self.now;
        let Some(open) =
            self.nodes[node].as_ref().filter(|_| self.epochs[node] == epoch).and_then(|h| h.open.get(&id))
        else {
            return;
        };
        let (trace, client) = (open.trace, open.client);
        if open.attempts.get(attempt as usize).is_none_or(|a| a.over) || !self.machines[server].up {
            return;
        }
        let Some(arrival) = self.clients.get(&client).map(|c| c.arrival) else { return };
        let Some(judged) = self.checker.attempt_delivered(now, begun, trace, node, server) else { return };
        let zone = self.plan.machines[server].zone;
        let (ms, _, back) = self.way(node, server);
        let luck =
            unit_interval(mix_bits(self.plan.seed.wrapping_add(mix_bits(trace ^ (server as u64) << 48))));
        let class = &self.plan.scenario.class[arrival.class];
        let mut work = arrival.work_ms;
        if class.repeat == Repeat::Keyed {
            let first = *self.repeats.entry((zone, trace)).or_insert(now);
            if first != now && now - first < class.key_ttl_ms {
                work = 0.1;
            }
        }
        let m = &mut self.machines[server];
        let own = m.next;
        m.next += 1;
        let mut done = Vec::new();
        m.model.advance(now, &mut done);
        let errors = luck < m.errors;
        let admitted =
            if m.silent || errors { None } else { Some(m.model.arrive(now, own, work, Some(arrival.key))) };
        if admitted == Some(Admit::Taken) {
            m.waiting.insert(own, (node, epoch, id, attempt));
        }
        let silent = m.silent;
        if let Some(a) = self.attempt(node, id, attempt) {
            a.judged = Some(judged);
            a.own = (admitted == Some(Admit::Taken)).then_some(own);
        }
        self.completed(server, done);
        let reply = |outcome| What::End { node, epoch, id, attempt, outcome };
        match admitted {
            None if silent => {}
            None => {
                self.checker.attempt_ended(now, trace, judged, false);
                self.checker.attempt_wasted();
                if back {
                    self.push(now + ms, reply(Outcome::Error));
                }
            }
            Some(Admit::Taken) => self.schedule(server),
            Some(Admit::Full) => {
                self.checker.attempt_ended(now, trace, judged, true);
                self.checker.attempt_wasted();
                if back {
                    self.push(now + ms, reply(Outcome::Full));
                }
            }
            Some(Admit::Fell) => {
                let what = format!("server {server} was cold and got more than it could bear");
                self.checker.record_violation(Rule::PushedOver, now, what);
                self.checker.attempt_ended(now, trace, judged, false);
                self.down(server, false);
                self.push(now + ms, reply(Outcome::Reset));
            }
        }
    }

    fn attempt(&mut self, node: usize, id: RequestId, attempt: u32) -> Option<&mut Attempt> {
        self.nodes[node].as_mut()?.open.get_mut(&id)?.attempts.get_mut(attempt as usize)
    }

    fn schedule(&mut self, server: usize) {
        let m = &mut self.machines[server];
        m.generation += 1;
        let generation = m.generation;
        if let Some(at) = m.model.next() {
            self.push(at, What::Work { server, generation });
        }
    }

    fn completed(&mut self, server: usize, done: Vec<u64>) {
        for own in done {
            let Some((node, epoch, id, attempt)) = self.machines[server].waiting.remove(&own) else {
                continue;
            };
            let (ms, _, back) = self.way(node, server);
            let now = self.now;
            let open = self.nodes[node]
                .as_ref()
                .filter(|_| self.epochs[node] == epoch)
                .and_then(|h| h.open.get(&id));
            let Some((trace, judged)) =
                open.and_then(|o| Some((o.trace, o.attempts.get(attempt as usize)?.judged?)))
            else {
                continue;
            };
            let luck = unit_interval(mix_bits(
                self.plan.seed.wrapping_add(mix_bits(trace ^ (server as u64) << 48)),
            ));
            let reset = luck < self.machines[server].resets;
            self.checker.attempt_ended(now, trace, judged, false);
            if reset || !back {
                self.checker.attempt_wasted();
            }
            if let Some(a) = self.attempt(node, id, attempt) {
                a.own = None;
            }
            if back {
                let outcome = if reset { Outcome::Reset } else { Outcome::Done };
                self.push(now + ms, What::End { node, epoch, id, attempt, outcome });
            }
        }
    }

    /// An attempt is over for its node; its server hears of it a way later.
    fn give_up(&mut self, node: usize, id: RequestId, attempt: u32, outcome: Outcome) {
        let epoch = self.epochs[node];
        self.push(self.now, What::End { node, epoch, id, attempt, outcome });
    }

    fn end(&mut self, node: usize, id: RequestId, attempt: u32, outcome: Outcome) {
        let now = self.now;
        let Some(host) = &mut self.nodes[node] else { return };
        let Some(open) = host.open.get_mut(&id) else { return };
        let (trace, class) = (open.trace, open.class);
        let Some(a) = open.attempts.get_mut(attempt as usize).filter(|a| !a.over) else { return };
        a.over = true;
        let (server, own, judged, elapsed_ms) = (a.server, a.own.take(), a.judged, now - a.sent);
        if matches!(outcome, Outcome::Done | Outcome::Error | Outcome::Full) {
            host.kept[server] = now;
        } else {
            host.kept[server] = f64::NEG_INFINITY;
        }
        let zone = self.plan.machines[server].zone as u16;
        let aim = self.plan.scenario.class[class].aim_ms;
        if let Some(zones) = &mut host.zones {
            zones.record_outcome(
                zone,
                BackendId(stable_hash(&self.plan.machines[server].name)).short(),
                outcome,
                elapsed_ms > aim,
            );
        }
        let last = open.answered || outcome == Outcome::Done;
        if let Some(own) = own {
            let (ms, there, _) = self.way(node, server);
            if there {
                self.push(now + ms, What::Drop { server, own });
            }
            if let Some(judged) = judged {
                self.checker.attempt_ended(now, trace, judged, false);
                self.checker.attempt_wasted();
            }
        } else if let (Some(judged), Outcome::TimedOut | Outcome::Cancelled) = (judged, outcome) {
            self.checker.attempt_ended(now, trace, judged, false);
            self.checker.attempt_wasted();
        }
        if outcome == Outcome::Done {
            self.settle(node, id, Answer::Served { genuine: true }, None);
        }
        let backend = BackendId(stable_hash(&self.plan.machines[server].name));
        let ended = AttemptEnded { id, attempt, backend, outcome, last, elapsed_ms, load: Load::default() };
        self.feed(node, Event::AttemptEnded(ended));
        self.forget(node, id);
    }

    fn forget(&mut self, node: usize, id: RequestId) {
        if let Some(host) = &mut self.nodes[node]
            && host.open.get(&id).is_some_and(|o| o.answered && o.attempts.iter().all(|a| a.over))
        {
            host.open.remove(&id);
        }
    }

    /// A request's final answer.
    fn settle(&mut self, node: usize, id: RequestId, answer: Answer, retry_after: Option<f64>) {
        let now = self.now;
        let Some(open) =
            self.nodes[node].as_mut().and_then(|h| h.open.get_mut(&id)).filter(|o| !o.answered)
        else {
            return;
        };
        open.answered = true;
        let (client, trace) = (open.client, open.trace);
        self.checker.try_answered(now, trace, answer);
        self.forget(node, id);
        match answer {
            Answer::Served { .. } => {
                self.checker.client_served(now, client);
                self.clients.remove(&client);
            }
            _ => self.again(client, retry_after),
        }
    }

    /// A client's next try, if it makes one.
    fn again(&mut self, client: u64, retry_after: Option<f64>) {
        let load = &self.plan.scenario.load;
        let Some(c) = self.clients.get_mut(&client) else { return };
        let pause = match (retry_after.filter(|_| c.arrival.honours_retry_after), load.backoff) {
            (_, Backoff::None) => None,
            (Some(ms), _) => Some(ms),
            (None, Backoff::AtOnce) => Some(0.0),
            (None, Backoff::Fixed) => Some(load.backoff_ms),
            (None, Backoff::Exp) => Some(load.backoff_ms * 2f64.powi(c.number as i32)),
        };
        c.number += 1;
        let at = pause.map(|p| self.now + p.max(0.0));
        match at.filter(|at| c.number <= load.retries && *at <= c.end - LEAST_MS) {
            Some(at) => self.push(at, What::Try { client }),
            None => drop(self.clients.remove(&client)),
        }
    }

    fn pick(&mut self, zone: usize) -> Option<usize> {
        let ready = |n: &usize| {
            let there = self.nodes[*n].as_ref();
            there.map_or(self.now < self.gone[*n], |h| !h.zones.as_ref().is_some_and(Zones::is_isolated))
        };
        let mut fit: Vec<usize> =
            (0..self.nodes.len()).filter(|n| ready(n) && self.plan.node_zones[*n] == zone).collect();
        if fit.is_empty() {
            fit = (0..self.nodes.len()).filter(ready).collect();
        }
        self.turn += 1;
        fit.get(self.turn % fit.len().max(1)).copied()
    }

    fn try_it(&mut self, client: u64) {
        let now = self.now;
        let Some(c) = self.clients.get(&client) else { return };
        let (arrival, number, end) = (c.arrival, c.number, c.end);
        let s = &self.plan.scenario;
        let class = &s.class[arrival.class];
        let share = if number < s.load.retries { s.load.try_share } else { 1.0 };
        let wait = (end - now).min(class.deadline_ms * share).floor();
        if end - now < LEAST_MS {
            self.clients.remove(&client);
            return;
        }
        let Some(node) = self.pick(arrival.zone) else { return self.again(client, None) };
        let trace = mix_bits(self.plan.seed ^ mix_bits((arrival.number << 8) | (u64::from(number) + 1)));
        let faults = self.faults();
        let p = link_state(&faults, node, &|e: &Parties| e.clients.contains(&arrival.zone));
        if self.nodes[node].is_none() || !p.outbound || !p.inbound {
            // It meets nobody until its time is over, or a reset at once where the node has ended.
            return self.again(client, None);
        }
        self.checker.try_sent(now, trace, &arrival, node, wait);
        let epoch = self.epochs[node];
        let Some(host) = &mut self.nodes[node] else { return };
        let id = RequestId(host.next);
        host.next += 1;
        let open = Open { client, trace, class: arrival.class, answered: false, attempts: Vec::new() };
        host.open.insert(id, open);
        let request = Request {
            id,
            class: arrival.class,
            tenant: Some(arrival.tenant),
            key: Some(stable_hash(&format!("k{:06x}", arrival.key))),
            deadline_ms: now + wait - MARGIN_MS,
            effort_ms: arrival.hint_ms,
            retry: false,
        };
        self.push(now + wait - 1.0, What::Over { node, epoch, id });
        self.feed(node, Event::Request(request));
    }

    /// A request's time is over: its node answers without the decisions.
    fn over(&mut self, node: usize, id: RequestId) {
        let open = self.nodes[node].as_ref().and_then(|h| h.open.get(&id));
        if open.is_some_and(|o| !o.answered) {
            self.settle(node, id, Answer::Failed, None);
            self.feed(node, Event::ClientLeft(id));
        }
    }

    fn probe(&mut self, node: usize, backend: BackendId) {
        let Some(server) = self.ids.get(&backend).copied() else { return };
        let (ms, there, back) = self.way(node, server);
        let (now, epoch) = (self.now, self.epochs[node]);
        let m = &self.machines[server];
        let (after, outcome) = if m.vanished || !there {
            (150.0, Outcome::NotConnected)
        } else if !m.up {
            (2.0 * ms, Outcome::NotConnected)
        } else if m.silent || !back {
            (300.0, Outcome::TimedOut)
        } else {
            self.checker.probe_received(self.now);
            (4.0 * ms + 1.0, Outcome::Done)
        };
        self.push(now + after, What::Probed { node, epoch, server, outcome, begun: now });
    }

    /// When a datagram arrives, if it does.
    fn travels(&mut self, from: usize, to: usize) -> Option<f64> {
        let net = &self.plan.scenario.net;
        let (loss, range) = (net.peer_loss, net.peer_ms);
        let faults = self.faults();
        let most =
            |kind: FaultKind| faults.iter().filter(|f| f.kind == kind).map(|f| f.size).fold(0.0, f64::max);
        let cut = !link_state(&faults, from, &|e: &Parties| e.nodes.contains(&to)).outbound;
        let loss = loss + most(FaultKind::PeerLoss);
        let luck: f64 = self.rng.random();
        let ms = range[0] + (range[1] - range[0]) * self.rng.random::<f64>();
        (!cut && luck >= loss).then_some(self.now + ms)
    }

    fn share(&mut self, node: usize, event: gossip::Event) {
        let mut out = Vec::new();
        let now = self.now;
        let Some(fleet) = self.nodes[node].as_mut().and_then(|h| h.fleet.as_mut()) else { return };
        let begun = Instant::now();
        fleet.handle(now as u64, event, &mut out);
        self.spent[1] += begun.elapsed();
        let (verdicts, affinity) =
            (f64::from(self.options.share.verdicts_ms), f64::from(self.options.share.affinity_ms));
        for action in out {
            match action {
                gossip::Action::Send(to, bytes) => {
                    self.checker.datagram_sent(now, bytes.len());
                    let to = usize::from(to);
                    if let Some(at) = self.travels(node, to) {
                        self.push(at, What::Datagram { from: node, to, bytes });
                    }
                }
                gossip::Action::Verdict { server, start, node: who, failing: bad, age } => {
                    let Some(n) = self.shorts.get(&server).copied() else { continue };
                    if start_of(self.machines[n].listed.1) == start {
                        let backend = BackendId(stable_hash(&self.plan.machines[n].name));
                        let until_ms = now + verdicts - age as f64;
                        self.feed(
                            node,
                            Event::Shared(SharedUpdate::Verdict {
                                backend,
                                node: who,
                                failing: bad,
                                until_ms,
                            }),
                        );
                    }
                }
                gossip::Action::KeyLocation { key, server, age } => {
                    let Some(n) = self.shorts.get(&server).copied() else { continue };
                    let backend = BackendId(stable_hash(&self.plan.machines[n].name));
                    let until_ms = now + affinity - age as f64;
                    self.feed(node, Event::Shared(SharedUpdate::KeyLocation { key, backend, until_ms }));
                }
                gossip::Action::OperatorOrder { subject: about, cordoned: out, .. } => {
                    self.word(node, &about, out)
                }
            }
        }
    }

    /// An operator's word reaches a node.
    fn word(&mut self, node: usize, about: &str, out: bool) {
        if let Some(zone) = about.strip_prefix("zone:") {
            let number = self.plan.scenario.fleet.zones.iter().position(|z| z == zone);
            let (now, order) = (self.now, out.then_some(ZoneOrder::Leave(None)));
            if let (Some(number), Some(zones)) =
                (number, self.nodes[node].as_mut().and_then(|h| h.zones.as_mut()))
            {
                zones.apply_order(now, number as u16, order);
            }
            return;
        }
        let Some(server) = self.plan.machines.iter().position(|m| m.name == about) else { return };
        if !self.options.state.dir.is_empty() {
            // On disk before it is answered.
            let kept = &mut self.stores[node].cordoned;
            let _ = if out { kept.insert(server) } else { kept.remove(&server) };
        }
        let Some(host) = &mut self.nodes[node] else { return };
        if out {
            host.cordoned.insert(server);
        } else {
            host.cordoned.remove(&server);
        }
        self.checker.operator_order(self.now, node, server, out);
        let entries = self.entries(node, 0, true);
        self.feed(node, Event::List { kind: ListKind::Changes, entries });
    }

    fn found(&mut self, node: usize, found: Observation) {
        match found {
            Observation::Backend { backend, failing: bad } => {
                let start = self.ids.get(&backend).map_or(0, |n| start_of(self.machines[*n].listed.1));
                self.share(node, gossip::Event::Verdict { server: backend.short(), start, failing: bad });
            }
            Observation::Key { key, backend } => {
                self.share(node, gossip::Event::KeyLocation { key, server: backend.short() })
            }
        }
    }

    fn share_tick(&mut self, node: usize, turn: u64) {
        self.share(node, gossip::Event::Tick);
        if turn.is_multiple_of(TELL_EVERY) {
            let now = self.now as u64;
            let short = |n: usize| (stable_hash(&self.plan.scenario.tenant[n].name) >> 32) as u32;
            let Some(host) = &self.nodes[node] else { return };
            let asked = host.balancer.tenant_request_rates();
            let rates: Vec<(u32, f32)> =
                asked.iter().enumerate().map(|(n, r)| (short(n), *r as f32)).collect();
            let within = |n: usize| {
                let quota = self.plan.scenario.tenant[n].quota_rps;
                host.fleet
                    .as_ref()
                    .filter(|_| quota > 0.0)
                    .and_then(|f| f.share_within_quota(now, short(n), quota))
            };
            let parts: Vec<Option<f64>> = (0..asked.len()).map(within).collect();
            self.share(node, gossip::Event::TenantRates(&rates));
            self.feed(node, Event::Shared(SharedUpdate::TenantShares(parts)));
        }
    }

    fn zones_tick(&mut self, node: usize) {
        let now = self.now;
        let mut up = BTreeMap::new();
        for (n, m) in self.machines.iter().enumerate() {
            let cordoned = self.nodes[node].as_ref().is_some_and(|h| h.cordoned.contains(&n));
            let there = m.listed.0 == Health::Up && !cordoned;
            *up.entry(self.plan.machines[n].zone as u16).or_insert(0_usize) += usize::from(there);
        }
        let names = self.plan.scenario.fleet.zones.clone();
        let short = |zone: &str| (stable_hash(&format!("zone:{zone}")) >> 32) as u32;
        let Some(host) = &mut self.nodes[node] else { return };
        let mut tripped = BTreeMap::new();
        for b in host.balancer.snapshot(now).backends.iter().filter(|b| b.up && b.trial_at_ms.is_some()) {
            *tripped.entry(b.zone).or_insert(0_usize) += 1;
        }
        let Some(zones) = &mut host.zones else { return };
        zones.set_servers(now, &up, &tripped);
        let mut others = false;
        if let Some(fleet) = &host.fleet {
            others = fleet.members().counts()[0] > 1;
            let age = self.options.share.verdicts_ms.into();
            for (n, name) in names.iter().enumerate() {
                let against =
                    fleet.shared().failing_verdicts_by_others(now as u64, short(name), node as NodeId, age);
                zones.set_peer_reports(n as u16, against);
            }
        }
        let changes = zones.tick(now, others);
        if changes.is_empty() {
            return;
        }
        let mut told = Vec::new();
        for change in changes {
            host.parts.insert(change.zone, change.weight);
            told.extend(change.report.map(|bad| (short(&names[usize::from(change.zone)]), bad)));
        }
        let weights = (0..names.len() as u16).map(|z| host.parts.get(&z).copied().unwrap_or(1.0)).collect();
        for (server, bad) in told {
            self.share(node, gossip::Event::Verdict { server, start: 0, failing: bad });
        }
        self.feed(node, Event::ZoneWeights(weights));
    }

    /// A node waits for news of the list.
    fn watch(&mut self, node: usize) {
        let (version, epoch) = (self.list_version, self.epochs[node]);
        let Some(host) = self.nodes[node].as_mut() else { return };
        host.watching = true;
        if host.version < version || self.discovery_sick().0 {
            self.call(node);
        } else {
            self.push(self.now + WATCH_MS, What::Listed { node, epoch, failed: false });
        }
    }

    /// Down, silent, and how many times slower.
    fn discovery_sick(&self) -> (bool, bool, f64) {
        let faults = self.faults();
        let is = |kind: FaultKind| faults.iter().any(|f| f.kind == kind);
        let slow = faults
            .iter()
            .filter(|f| f.kind == FaultKind::DiscoverySlow)
            .map(|f| f.size)
            .fold(1.0, f64::max);
        (is(FaultKind::DiscoveryDown), is(FaultKind::DiscoverySilent), slow)
    }

    /// A node's call has its turn at discovery, and an answer or none.
    fn call(&mut self, node: usize) {
        self.checker.discovery_called(self.now);
        let (down, silent, slow) = self.discovery_sick();
        let d = &self.plan.scenario.discovery;
        let (call_ms, timeout_ms) = (d.call_ms * slow, d.timeout_ms);
        let epoch = self.epochs[node];
        let faults = self.faults();
        let p = link_state(&faults, node, &|e: &Parties| e.discovery);
        if let Some(host) = &mut self.nodes[node] {
            host.watching = false;
        }
        let wait = (self.discovery_busy - self.now).max(0.0);
        if silent || !p.outbound || !p.inbound || wait > timeout_ms {
            let after = if wait > timeout_ms { timeout_ms } else { timeout_ms + 1000.0 };
            return self.push(self.now + after, What::Listed { node, epoch, failed: true });
        }
        self.discovery_busy = self.now + wait + call_ms;
        self.push(self.discovery_busy, What::Listed { node, epoch, failed: down });
    }

    fn listed(&mut self, node: usize, failed: bool) {
        if failed {
            self.feed(node, Event::List { kind: ListKind::Failed, entries: Vec::new() });
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
        if let Some(host) = &mut self.nodes[node] {
            host.version = self.list_version;
        }
        self.feed(node, Event::List { kind: ListKind::Changes, entries });
        self.watch(node);
    }

    fn note(&mut self, server: usize, state: Health, boot_ms: f64) {
        self.list_version += 1;
        self.machines[server].listed = (state, boot_ms, self.list_version);
        for node in 0..self.nodes.len() {
            if self.nodes[node].as_ref().is_some_and(|h| h.watching) {
                self.call(node);
            }
        }
    }

    fn later_note(&mut self, server: usize, state: Health, boot_ms: f64, times: f64) {
        let after = self.plan.machines[server].notice_ms * times;
        self.push(self.now + after, What::Note { server, state, boot_ms });
    }

    fn down(&mut self, server: usize, vanished: bool) {
        let now = self.now;
        let m = &mut self.machines[server];
        (m.up, m.vanished) = (false, vanished);
        m.generation += 1;
        let mut lost: Vec<_> = m.waiting.drain().collect();
        lost.sort_by_key(|(own, _)| *own);
        for (_, (node, epoch, id, attempt)) in lost {
            if !vanished {
                self.push(now, What::End { node, epoch, id, attempt, outcome: Outcome::Reset });
            }
        }
    }

    fn start_cold(&mut self, server: usize) {
        let now = self.now;
        let m = &mut self.machines[server];
        m.model.restart(now);
        (m.up, m.vanished) = (true, false);
        for host in self.nodes.iter_mut().flatten() {
            host.kept[server] = f64::NEG_INFINITY;
        }
        self.later_note(server, Health::Up, now.max(1.0), 1.0);
    }

    fn apply(&mut self) {
        let faults: Vec<PlannedFault> = self.faults().into_iter().cloned().collect();
        for (n, m) in self.machines.iter_mut().enumerate() {
            let here = || faults.iter().filter(|f| f.on.servers.contains(&n));
            let most =
                |kind: FaultKind| here().filter(|f| f.kind == kind).map(|f| f.size).fold(0.0, f64::max);
            m.model.pace = 1.0 / most(FaultKind::ServerSlow).max(1.0);
            m.model.taken = most(FaultKind::ServerNeighbour).clamp(0.0, 0.99);
            m.model.pause_ms = most(FaultKind::ServerPauses).clamp(0.0, 990.0);
            m.silent = here().any(|f| f.kind == FaultKind::ServerSilent);
            m.errors = most(FaultKind::ServerErrors);
            m.resets = most(FaultKind::ServerResets);
        }
        for server in 0..self.machines.len() {
            self.schedule(server);
        }
    }

    fn begin_fault(&mut self, n: usize) {
        let fault = self.plan.faults[n].clone();
        let day = self.plan.length_ms();
        let lasts = !matches!(
            fault.kind,
            FaultKind::Mark | FaultKind::NodeKill | FaultKind::NodePowerLoss | FaultKind::NodeCall
        );
        let until = fault.until_ms.unwrap_or(if lasts { day } else { fault.at_ms });
        self.checker.record_fault(fault.kind, fault.number, fault.at_ms, until.min(day));
        self.active.insert(fault.number);
        self.push(until, What::Finish(n));
        self.apply();
        for &s in &fault.on.servers {
            match fault.kind {
                FaultKind::ServerDown => {
                    self.down(s, false);
                    self.later_note(s, Health::Gone, 0.0, 1.0);
                }
                FaultKind::ServerVanish => {
                    self.down(s, true);
                    self.later_note(s, Health::Gone, 0.0, 3.0);
                }
                FaultKind::ServerDrain => {
                    self.later_note(s, Health::Draining, self.machines[s].listed.1, 0.0)
                }
                FaultKind::ServerRestart => {
                    self.later_note(s, Health::Draining, self.machines[s].listed.1, 0.0);
                    self.push(self.now + DRAIN_MS, What::Down(s));
                }
                _ => {}
            }
        }
        for &node in &fault.on.nodes {
            match fault.kind {
                FaultKind::NodeKill | FaultKind::NodePowerLoss => {
                    self.epochs[node] += 1;
                    if let Some(host) = self.nodes[node].take() {
                        let mut clients: Vec<(u64, u64)> = host
                            .open
                            .values()
                            .filter(|o| !o.answered)
                            .map(|o| (o.client, o.trace))
                            .collect();
                        clients.sort_unstable();
                        for (client, trace) in clients {
                            self.checker.try_answered(self.now, trace, Answer::Cut);
                            self.again(client, None);
                        }
                    }
                    self.gone[node] = self.now + self.plan.scenario.net.front_s * 1000.0;
                }
                FaultKind::NodeCall => self.called(node, &fault.say),
                _ => {}
            }
        }
    }

    fn called(&mut self, node: usize, say: &str) {
        let words: Vec<&str> = say.split_whitespace().collect();
        let (about, out, fleet) = match words[..] {
            ["zone", word, zone, ..] => (format!("zone:{zone}"), word != "return", true),
            [word, "--fleet", id] => (id.to_owned(), word == "cordon", true),
            [word, id] => (id.to_owned(), word == "cordon", false),
            _ => return,
        };
        self.word(node, &about, out);
        if fleet {
            self.share(node, gossip::Event::OperatorOrder { subject: &about, cordoned: out, for_s: 0 });
        }
    }

    /// Writes down what a node has learned, and drops what is older than its next start could find.
    fn learn(&mut self, node: usize, epoch: u32) {
        if self.epochs[node] != epoch {
            return;
        }
        let Some(host) = &self.nodes[node] else { return };
        let kept = &mut self.stores[node];
        kept.learned.push_back((self.now, host.balancer.memory()));
        kept.cordoned.clone_from(&host.cordoned);
        let old = self.now - self.plan.scenario.fleet.store_old_s * 1000.0;
        while kept.learned.get(1).is_some_and(|(at, _)| *at <= old) {
            kept.learned.pop_front();
        }
        let at = self.now + LEARN_MS * (0.8 + 0.4 * self.rng.random::<f64>());
        self.push(at, What::Learn { node, epoch });
    }

    fn finish_fault(&mut self, n: usize) -> Result<(), SimError> {
        let fault = self.plan.faults[n].clone();
        self.active.remove(&fault.number);
        self.apply();
        for &s in &fault.on.servers {
            match fault.kind {
                FaultKind::ServerDown | FaultKind::ServerVanish | FaultKind::ServerRestart => {
                    self.start_cold(s)
                }
                FaultKind::ServerDrain => self.later_note(s, Health::Up, self.machines[s].listed.1, 0.0),
                _ => {}
            }
        }
        for &node in &fault.on.nodes {
            if matches!(fault.kind, FaultKind::NodeKill | FaultKind::NodePowerLoss) {
                self.checker.node_restarted(node);
                self.start(node)?;
            }
        }
        Ok(())
    }

    fn play(&mut self) -> Result<(), SimError> {
        let plan = self.plan.clone();
        let mut arrivals = plan.arrivals();
        if let Some(first) = arrivals.next() {
            self.push(first.at_ms, What::Arrive(first));
        }
        let longest = plan.scenario.class.iter().map(|c| c.deadline_ms).fold(0.0, f64::max);
        let last = plan.length_ms() + longest + ANSWER_SLACK_MS;
        while let Some(Reverse(due)) = self.queue.pop() {
            if due.at > last {
                break;
            }
            self.now = due.at;
            self.events += 1;
            self.course = mix_bits(self.course ^ due.at.to_bits() ^ mix_bits(due.order));
            match due.what {
                What::Arrive(arrival) => {
                    self.checker.client_arrived(&arrival);
                    let end = arrival.at_ms + plan.scenario.class[arrival.class].deadline_ms;
                    self.clients.insert(arrival.number, Client { arrival, number: 0, end });
                    self.try_it(arrival.number);
                    if let Some(next) = arrivals.next() {
                        self.push(next.at_ms, What::Arrive(next));
                    }
                }
                What::Try { client } => self.try_it(client),
                What::Over { node, epoch, id } if self.epochs[node] == epoch => self.over(node, id),
                What::Timer { node, epoch, token } if self.epochs[node] == epoch => {
                    self.feed(node, Event::Timer(token))
                }
                What::Share { node, epoch, turn } if self.epochs[node] == epoch => {
                    self.share_tick(node, turn);
                    self.push(self.now + SHARE_TICK_MS, What::Share { node, epoch, turn: turn + 1 });
                }
                What::Learn { node, epoch } => self.learn(node, epoch),
                What::Zones { node, epoch } if self.epochs[node] == epoch => {
                    let begun = Instant::now();
                    self.zones_tick(node);
                    self.spent[2] += begun.elapsed();
                    self.push(self.now + ZONES_TICK_MS, What::Zones { node, epoch });
                }
                What::Datagram { from, to, bytes } => {
                    self.share(to, gossip::Event::Datagram(from as NodeId, &bytes))
                }
                What::Message { from, to, bytes } => {
                    self.feed(to, Event::PeerMessage { from: from as u32, bytes });
                }
                What::Deliver { node, epoch, id, attempt, server, begun } => {
                    self.deliver(node, epoch, id, attempt, server, begun);
                }
                What::End { node, epoch, id, attempt, outcome } if self.epochs[node] == epoch => {
                    self.end(node, id, attempt, outcome);
                }
                What::Work { server, generation } if self.machines[server].generation == generation => {
                    let mut done = Vec::new();
                    self.machines[server].model.advance(self.now, &mut done);
                    self.completed(server, done);
                    self.schedule(server);
                }
                What::Drop { server, own } if self.machines[server].waiting.remove(&own).is_some() => {
                    let mut done = Vec::new();
                    let now = self.now;
                    self.machines[server].model.advance(now, &mut done);
                    self.machines[server].model.cancel(own);
                    self.completed(server, done);
                    self.schedule(server);
                }
                What::Probed { node, epoch, server, outcome, begun } if self.epochs[node] == epoch => {
                    let backend = BackendId(stable_hash(&plan.machines[server].name));
                    let zone = plan.machines[server].zone as u16;
                    if let Some(zones) = self.nodes[node].as_mut().and_then(|h| h.zones.as_mut()) {
                        zones.record_outcome(zone, backend.short(), outcome, false);
                    }
                    let elapsed_ms = self.now - begun;
                    self.feed(
                        node,
                        Event::ProbeEnded { backend, outcome, elapsed_ms, load: Load::default() },
                    );
                }
                // Whoever was back before it was missed is not missed any more.
                What::Note { server, state: Health::Gone, .. } if self.machines[server].up => {}
                What::Note { server, state: Health::Up, .. } if !self.machines[server].up => {}
                What::Note { server, state, boot_ms } => self.note(server, state, boot_ms),
                What::Listed { node, epoch, failed } if self.epochs[node] == epoch => {
                    self.listed(node, failed)
                }
                What::Begin(n) => self.begin_fault(n),
                What::Finish(n) => self.finish_fault(n)?,
                What::Down(server) => {
                    self.down(server, false);
                    self.note(server, Health::Gone, 0.0);
                }
                _ => {}
            }
        }
        let (met, knew) = self.machines.iter().fold((0, 0), |s, m| (s.0 + m.model.met, s.1 + m.model.knew));
        self.checker.record_keys(met, knew);
        Ok(())
    }
}

fn start_of(ready_at_ms: f64) -> u32 {
    ready_at_ms.max(0.0) as u64 as u32
}
