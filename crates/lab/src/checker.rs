//! The checker verifies the operators' rules and computes the figures of a run from what the emulated
//! clients, servers and links observed. It never relies on what a node reports about itself, does no I/O
//! and reads no clock, and drops the state of finished requests.

use crate::plan::{Arrival, Plan};
use crate::scenario::{Expect, FaultKind, Repeat};
use crate::stats::autocorrelation;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::{BTreeMap, HashMap, HashSet};

/// Width of the bins over which worth is summed, in milliseconds.
const BIN_MS: f64 = 200.0;
/// Number of bins in the worst 5 s stretch.
const WORST_STRETCH_BINS: usize = 25;
/// Number of bins in a stretch that counts as recovered.
const RECOVERY_BINS: usize = 10;
/// Share of the level before a fault at which service counts as recovered.
const RECOVERED_SHARE: f64 = 0.95;
/// Tolerance added to the time limits of the rules for delays of real sockets, in milliseconds.
pub const SOCKET_SLACK_MS: f64 = 50.0;
/// Time after a request's deadline within which its final answer may still arrive, in milliseconds.
pub const ANSWER_SLACK_MS: f64 = 500.0;
/// Time after its deadline for which the state of a request is kept, in milliseconds.
const RETENTION_MS: f64 = 10_000.0;
/// Factor on the worth of a tenant's requests beyond its quota.
const OVER_QUOTA_FACTOR: f64 = 0.1;
/// Requests that may find their connection closed by the node before anything arrived: an absolute number
/// and a share of all tries, of which the larger applies. A node may close a connection while a request is
/// on its way.
const MAX_CLOSED: (u64, f64) = (8, 0.005);
/// Share of all tries that may break [`Rule::Held`]: waiting for a connection that is never established
/// takes time.
const MAX_HELD_SHARE: f64 = 0.005;
/// Violations of one rule that are recorded with their details; further ones are only counted.
const MAX_DETAILED: usize = 5;

/// The operators' rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// An accepted request got no answer in time, or its connection closed without an answer.
    Lost,
    /// A request ran, or may have run, more often than its class allows.
    Twice,
    /// A second copy of a request was sent while another attempt was in flight and copies are not allowed.
    Copy,
    /// A request had more attempts than allowed.
    Attempts,
    /// A request was sent to a server too long after the node had learned that the server drains or is gone.
    Drain,
    /// A cold server received more work than it can serve and stopped working.
    PushedOver,
    /// A request was refused without a Retry-After header.
    NoRetryAfter,
    /// More than one try in 200 was refused after more than half of its time without having been sent to
    /// any server.
    Held,
    /// A server received a request that no client sent, or a client received an answer that no server gave.
    Forged,
    /// A node process exited on its own.
    Crash,
}

/// The outcome of a try, as seen by its client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    /// Status 200.
    Served {
        /// True if the body is the one that a server made for this request.
        genuine: bool,
    },
    /// Status 429 or 503.
    Refused {
        /// True if the answer has a Retry-After header.
        has_retry_after: bool,
    },
    /// Any other status.
    Failed,
    /// The node closed the connection without a complete answer.
    Lost,
    /// No answer arrived within the request's time plus [`ANSWER_SLACK_MS`].
    Silence,
    /// The answer was lost because the lab killed, froze or disconnected the node; this breaks no rule.
    Cut,
    /// The client gave up before an answer arrived.
    GaveUp,
    /// No node could be reached.
    Nowhere,
}

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// Time of the violation, in milliseconds of the run.
    pub at_ms: f64,
    /// What happened, with the request's id.
    pub what: String,
}

/// An attempt that reached a server.
#[derive(Clone, Copy, Debug)]
struct AttemptState {
    /// Time at which it started to arrive.
    begun_ms: f64,
    zone: usize,
    in_flight: bool,
    never_ran: bool,
    /// Time at which another attempt arrived while this one was in flight.
    overlapped_at: Option<f64>,
}

/// A try of a client with its attempts.
struct Try {
    arrival: u64,
    class: usize,
    node: usize,
    deadline_ms: f64,
    sent_at_ms: f64,
    attempts: Vec<AttemptState>,
    /// True if an attempt is known not to reach any server, for example because the link is cut.
    undeliverable: bool,
    answered: bool,
}

/// A client that has not been served yet.
struct FirstTry {
    class: usize,
    tenant: usize,
    arrived_ms: f64,
    worth: f64,
    within_quota: bool,
}

/// Sums over the requests that arrived within [`BIN_MS`].
#[derive(Clone, Copy, Debug, Default)]
struct Bin {
    asked: f64,
    served: f64,
    count: u32,
    refused: u32,
    failed: u32,
}

/// Worth asked for and served.
#[derive(Clone, Copy, Debug, Default)]
struct WorthSum {
    asked: f64,
    served: f64,
}

impl WorthSum {
    fn share(self) -> f64 {
        if self.asked > 0.0 { self.served / self.asked } else { 1.0 }
    }
}

/// The time during which a fault was active.
#[derive(Clone, Debug)]
struct FaultInterval {
    name: String,
    start_ms: f64,
    end_ms: f64,
}

/// Checks one run and accumulates its figures.
pub struct Checker {
    plan: Plan,
    first_tries: HashMap<u64, FirstTry>,
    tries: HashMap<u64, Try>,
    bins: Vec<Bin>,
    classes: Vec<WorthSum>,
    tenants: Vec<WorthSum>,
    /// The current second, and the first tries of each tenant in it.
    tenant_second: (u64, Vec<f64>),
    /// Time at which a node learned that a server drains or is gone, by node and server.
    unavailable_since: HashMap<(usize, usize), f64>,
    /// Node and server pairs of which the node was told by an operator to cordon the server.
    operator_cordons: HashSet<(usize, usize)>,
    faults: Vec<FaultInterval>,
    breaches: Vec<Violation>,
    counts: BTreeMap<Rule, u64>,
    answer_us: Histogram<u32>,
    lateness_us: Histogram<u32>,
    attempts: u64,
    tries_sent: u64,
    tries_with_attempts: u64,
    /// Attempts that crossed zones.
    crossings: u64,
    asked: u64,
    refused: u64,
    failed: u64,
    /// Requests whose connection closed before anything arrived.
    crossed: u64,
    wasted: u64,
    /// Requests with a key, and those of them whose key the server knew.
    keys: [u64; 2],
    release: Option<Release>,
    probes: u64,
    handshakes: u64,
    datagrams: u64,
    datagram_bytes: u64,
    calls: u64,
    /// The current second with the number of discovery calls, probes, handshakes and datagrams in it, and
    /// the maximum of each over all seconds.
    second_counts: (u64, [u64; 4]),
    max_second_counts: [u64; 4],
    flows: Vec<Vec<u64>>,
    servers: Vec<u64>,
    returns: Vec<NodeReturn>,
    /// Attempts in each second, by server, for the first [`SERIES_LENGTH_S`] and the first
    /// [`SERIES_SERVERS`].
    server_series: Vec<Vec<u32>>,
    /// Attempts in each second, by zone, over all servers.
    zone_counts: Vec<Vec<u32>>,
    last_cleanup_ms: f64,
}

/// A node that was restarted under load.
#[derive(Clone, Debug)]
struct NodeReturn {
    node: usize,
    restarted_ms: f64,
    /// Time from the restart to the first correct answer, in milliseconds.
    first_ms: Option<f64>,
    /// Tries sent in the first [`RETURN_WINDOW_MS`] after the restart, and how many of them were served: at
    /// this node, and at the other nodes.
    own: [u64; 2],
    others: [u64; 2],
}

/// Maximum length of the time series, in seconds.
const SERIES_LENGTH_S: f64 = 3600.0;
/// Maximum number of servers with a time series.
const SERIES_SERVERS: usize = 64;
/// Time for which a restarted node is compared with the others, in milliseconds.
const RETURN_WINDOW_MS: f64 = 2000.0;

/// Returns an empty histogram of times in microseconds, up to `max_us`.
fn histogram(max_us: u64) -> Histogram<u32> {
    // Cannot fail: the bounds are valid constants.
    Histogram::new_with_bounds(1, max_us, 3).unwrap_or_else(|_| unreachable!("bounds"))
}

impl Checker {
    /// Returns a checker for a run that has not begun.
    pub fn new(plan: &Plan) -> Checker {
        let zones = plan.scenario.fleet.zones.len();
        Checker {
            first_tries: HashMap::new(),
            tries: HashMap::new(),
            bins: vec![Bin::default(); (plan.length_ms() / BIN_MS).ceil() as usize],
            classes: vec![WorthSum::default(); plan.scenario.class.len()],
            tenants: vec![WorthSum::default(); plan.scenario.tenant.len()],
            tenant_second: (0, vec![0.0; plan.scenario.tenant.len()]),
            unavailable_since: HashMap::new(),
            operator_cordons: HashSet::new(),
            faults: Vec::new(),
            breaches: Vec::new(),
            counts: BTreeMap::new(),
            answer_us: histogram(600_000_000),
            lateness_us: histogram(60_000_000),
            attempts: 0,
            tries_sent: 0,
            tries_with_attempts: 0,
            crossings: 0,
            asked: 0,
            refused: 0,
            failed: 0,
            crossed: 0,
            wasted: 0,
            keys: [0; 2],
            release: None,
            probes: 0,
            handshakes: 0,
            datagrams: 0,
            datagram_bytes: 0,
            calls: 0,
            second_counts: (0, [0; 4]),
            max_second_counts: [0; 4],
            flows: vec![vec![0; zones]; zones],
            servers: vec![0; plan.machines.len()],
            returns: Vec::new(),
            server_series: vec![
                vec![0; (plan.length_ms() / 1000.0).ceil().min(SERIES_LENGTH_S) as usize];
                plan.machines.len().min(SERIES_SERVERS)
            ],
            zone_counts: vec![
                vec![0; (plan.length_ms() / 1000.0).ceil().min(SERIES_LENGTH_S) as usize];
                zones
            ],
            last_cleanup_ms: 0.0,
            plan: plan.clone(),
        }
    }

    /// Counts a violation of a rule, and records its details for the first few of each rule.
    pub fn record_violation(&mut self, rule: Rule, at_ms: f64, what: String) {
        let count = self.counts.entry(rule).or_default();
        *count += 1;
        if *count <= MAX_DETAILED as u64 {
            self.breaches.push(Violation { rule, at_ms, what });
        }
    }

    /// Returns the bin of a time of the run.
    fn bin(&mut self, at: f64) -> Option<&mut Bin> {
        self.bins.get_mut((at / BIN_MS).max(0.0) as usize)
    }

    /// Records that a client arrived with a request, before its first try.
    pub fn client_arrived(&mut self, arrival: &Arrival) {
        if arrival.invalid {
            // An invalid request must be answered, but has no worth.
            return;
        }
        let Some(class) = self.plan.scenario.class.get(arrival.class) else { return };
        let mut worth = class.worth * arrival.work_ms;
        let second = (arrival.at_ms / 1000.0) as u64;
        if self.tenant_second.0 != second {
            self.tenant_second.0 = second;
            self.tenant_second.1.fill(0.0);
        }
        let quota = self.plan.scenario.tenant.get(arrival.tenant).map_or(0.0, |t| t.quota_rps);
        let mut within_quota = true;
        if let Some(count) = self.tenant_second.1.get_mut(arrival.tenant) {
            *count += 1.0;
            if quota > 0.0 && *count > quota {
                within_quota = false;
                worth *= OVER_QUOTA_FACTOR;
            }
        }
        self.asked += 1;
        if let Some(bin) = self.bin(arrival.at_ms) {
            bin.asked += worth;
            bin.count += 1;
        }
        if within_quota {
            let sums = [self.classes.get_mut(arrival.class), self.tenants.get_mut(arrival.tenant)];
            sums.into_iter().flatten().for_each(|s| s.asked += worth);
        }
        let first = FirstTry {
            class: arrival.class,
            tenant: arrival.tenant,
            arrived_ms: arrival.at_ms,
            worth,
            within_quota,
        };
        self.first_tries.insert(arrival.number, first);
        self.drop_expired(arrival.at_ms);
    }

    /// Drops state that is past its deadline by [`RETENTION_MS`], which bounds the memory by the number of
    /// open requests.
    fn drop_expired(&mut self, now: f64) {
        if now - self.last_cleanup_ms < 1000.0 {
            return;
        }
        self.last_cleanup_ms = now;
        self.tries.retain(|_, t| now < t.deadline_ms + RETENTION_MS);
        let max_deadline_ms = self.plan.scenario.class.iter().map(|c| c.deadline_ms).fold(0.0, f64::max);
        self.first_tries.retain(|_, f| now < f.arrived_ms + 2.0 * max_deadline_ms + RETENTION_MS);
    }

    /// Records that a client finished sending a try to a node at `now` and waits `wait_ms` for the answer.
    pub fn try_sent(&mut self, now: f64, id: u64, arrival: &Arrival, node: usize, wait_ms: f64) {
        self.tries_sent += 1;
        let (class, deadline_ms) = (arrival.class, now + wait_ms);
        let state = Try {
            arrival: arrival.number,
            class,
            node,
            deadline_ms,
            sent_at_ms: now,
            attempts: Vec::new(),
            undeliverable: false,
            answered: false,
        };
        self.tries.insert(id, state);
    }

    /// Records that an attempt, which started to arrive at `begun`, was received completely by a server.
    /// Returns the number of the attempt within its try, or `None` if no client sent that request to that
    /// node.
    pub fn attempt_delivered(
        &mut self,
        now: f64,
        begun: f64,
        id: u64,
        node: usize,
        server: usize,
    ) -> Option<usize> {
        let zone = self.plan.machines.get(server)?.zone;
        let node_zone = self.plan.node_zones.get(node).copied().unwrap_or(zone);
        let rules = &self.plan.scenario.rules;
        let (max_attempts, copies_allowed, drain_ms) =
            (rules.attempts as usize, rules.second_copies, rules.drain_ms);
        let Some(state) = self.tries.get_mut(&id).filter(|state| state.node == node) else {
            self.record_violation(
                Rule::Forged,
                now,
                format!("server {server} got {id:016x}, which no client sent to node {node}"),
            );
            return None;
        };
        let class = &self.plan.scenario.class[state.class];
        let mut broken = Vec::new();
        if let Some(ran) = state.attempts.iter().find(|s| !s.never_ran) {
            let allowed = match class.repeat {
                Repeat::Safe => true,
                Repeat::Once => false,
                Repeat::Keyed => {
                    ran.zone == zone && begun <= ran.begun_ms + class.key_ttl_ms + SOCKET_SLACK_MS
                }
            };
            if !allowed {
                broken.push((
                    Rule::Twice,
                    format!("{} {id:016x} was sent again although it may have run", class.name),
                ));
            }
        }
        if !copies_allowed {
            // Only the end of the earlier attempt shows whether it had been given up: the cancellation may
            // still be on its way.
            state
                .attempts
                .iter_mut()
                .filter(|s| s.in_flight)
                .for_each(|s| s.overlapped_at = s.overlapped_at.or(Some(now)));
        }
        if state.attempts.len() >= max_attempts {
            broken.push((
                Rule::Attempts,
                format!("{} {id:016x} has attempt {}", class.name, state.attempts.len() + 1),
            ));
        }
        if let Some(learned_at) = self
            .unavailable_since
            .get(&(node, server))
            .filter(|learned_at| begun > **learned_at + drain_ms + SOCKET_SLACK_MS)
        {
            let after = begun - learned_at;
            broken.push((
                Rule::Drain,
                format!(
                    "{id:016x} reached server {server} {after:.0} ms after node {node} learned that it drains or is gone"
                ),
            ));
        }
        self.tries_with_attempts += u64::from(state.attempts.is_empty());
        state.attempts.push(AttemptState {
            begun_ms: begun,
            zone,
            in_flight: true,
            never_ran: false,
            overlapped_at: None,
        });
        let number = state.attempts.len() - 1;
        for (rule, what) in broken {
            self.record_violation(rule, now, what);
        }
        let second = (now / 1000.0).max(0.0) as usize;
        let counts = [self.server_series.get_mut(server), self.zone_counts.get_mut(zone)];
        for count in counts.into_iter().flatten().filter_map(|s| s.get_mut(second)) {
            *count += 1;
        }
        self.attempts += 1;
        self.crossings += u64::from(zone != node_zone);
        if let Some(n) = self.flows.get_mut(node_zone).and_then(|row| row.get_mut(zone)) {
            *n += 1;
        }
        if let Some(n) = self.servers.get_mut(server) {
            *n += 1;
        }
        Some(number)
    }

    /// Records the end of an attempt at its server. `never_ran` is true if the server turned it away with a
    /// proof that it did not run.
    pub fn attempt_ended(&mut self, now: f64, id: u64, number: usize, never_ran: bool) {
        let Some(state) = self.tries.get_mut(&id) else { return };
        let class = state.class;
        let Some(attempt) = state.attempts.get_mut(number) else { return };
        attempt.in_flight = false;
        attempt.never_ran = never_ran;
        if let Some(at) = attempt.overlapped_at.filter(|at| now > at + SOCKET_SLACK_MS) {
            let name = &self.plan.scenario.class[class].name;
            let what = format!("{name} {id:016x} had two attempts at once for {:.0} ms", now - at);
            self.record_violation(Rule::Copy, at, what);
        }
    }

    /// Records that a node was restarted, from which on it is compared with the other nodes.
    pub fn node_return_begun(&mut self, now: f64, node: usize) {
        self.returns.push(NodeReturn {
            node,
            restarted_ms: now,
            first_ms: None,
            own: [0; 2],
            others: [0; 2],
        });
    }

    /// Records the time from a node's restart to its first correct answer, in milliseconds.
    pub fn record_first_answer(&mut self, node: usize, ms: f64) {
        if let Some(r) = self.returns.iter_mut().rfind(|r| r.node == node) {
            r.first_ms.get_or_insert(ms);
        }
    }

    /// Records the final answer of a try, or that there was none.
    pub fn try_answered(&mut self, now: f64, id: u64, answer: Answer) {
        let Some(state) = self.tries.get_mut(&id).filter(|state| !state.answered) else { return };
        state.answered = true;
        let (sent_at_ms, at_node) = (state.sent_at_ms, state.node);
        if !matches!(answer, Answer::Cut | Answer::Nowhere) {
            // Older restarts have no unanswered tries left: a try takes a few seconds at most.
            for r in self
                .returns
                .iter_mut()
                .rev()
                .take_while(|r| now - r.restarted_ms < RETURN_WINDOW_MS + RETENTION_MS)
            {
                if (r.restarted_ms..r.restarted_ms + RETURN_WINDOW_MS).contains(&sent_at_ms) {
                    let counts = if r.node == at_node { &mut r.own } else { &mut r.others };
                    counts[0] += 1;
                    counts[1] += u64::from(answer == Answer::Served { genuine: true });
                }
            }
        }
        let (arrival, wait, not_sent) = (
            state.arrival,
            state.deadline_ms - state.sent_at_ms,
            state.attempts.is_empty() && !state.undeliverable,
        );
        let (elapsed_ms, node) = (now - state.sent_at_ms, state.node);
        let name = self.plan.scenario.class[state.class].name.clone();
        let at = self.first_tries.get(&arrival).map_or(now, |f| f.arrived_ms);
        match answer {
            Answer::Served { genuine: false } => {
                self.record_violation(
                    Rule::Forged,
                    now,
                    format!("{name} {id:016x} got an answer that no server made for it"),
                );
            }
            Answer::Served { genuine: true } => {
                self.answer_us.saturating_record((elapsed_ms * 1000.0).max(1.0) as u64)
            }
            Answer::Refused { has_retry_after } => {
                self.refused += 1;
                if let Some(bin) = self.bin(at) {
                    bin.refused += 1;
                }
                if !has_retry_after {
                    self.record_violation(
                        Rule::NoRetryAfter,
                        now,
                        format!("{name} {id:016x} was refused without Retry-After"),
                    );
                }
                if not_sent && elapsed_ms > wait / 2.0 + SOCKET_SLACK_MS {
                    let what = format!(
                        "{name} {id:016x} was sent to no server and refused after {elapsed_ms:.0} of {wait:.0} ms"
                    );
                    self.record_violation(Rule::Held, now, what);
                }
            }
            Answer::Failed => {
                self.failed += 1;
                if let Some(bin) = self.bin(at) {
                    bin.failed += 1;
                }
            }
            Answer::Lost | Answer::Silence => {
                let how = if answer == Answer::Lost { "its connection ended" } else { "no answer came" };
                let what =
                    format!("{name} {id:016x} at node {node}: {how} after {elapsed_ms:.0} of {wait:.0} ms");
                self.record_violation(Rule::Lost, now, what);
            }
            Answer::Cut | Answer::GaveUp | Answer::Nowhere => {}
        }
    }

    /// Records that a client received what it asked for, and credits the worth.
    pub fn client_served(&mut self, now: f64, arrival: u64) {
        let Some(first) = self.first_tries.remove(&arrival) else { return };
        let Some(class) = self.plan.scenario.class.get(first.class) else { return };
        let elapsed_ms = now - first.arrived_ms;
        let part = if elapsed_ms <= class.aim_ms {
            1.0
        } else if elapsed_ms <= class.deadline_ms {
            class.late
        } else {
            0.0
        };
        let earned = part * first.worth;
        if let Some(bin) = self.bin(first.arrived_ms) {
            bin.served += earned;
        }
        if first.within_quota {
            let sums = [self.classes.get_mut(first.class), self.tenants.get_mut(first.tenant)];
            sums.into_iter().flatten().for_each(|s| s.served += earned);
        }
    }

    /// Records that a node learned from discovery that a server drains or is gone (`up` false), or that it
    /// is available.
    pub fn server_state_learned(&mut self, now: f64, node: usize, server: usize, up: bool) {
        if up && !self.operator_cordons.contains(&(node, server)) {
            self.unavailable_since.remove(&(node, server));
        } else if !up {
            self.unavailable_since.entry((node, server)).or_insert(now);
        }
    }

    /// Records that a node answered `OK` to an operator who cordoned or uncordoned a server. A
    /// cordon survives a restart of the node if the node keeps state.
    pub fn operator_order(&mut self, now: f64, node: usize, server: usize, cordoned: bool) {
        if cordoned {
            self.operator_cordons.insert((node, server));
        } else {
            self.operator_cordons.remove(&(node, server));
        }
        self.server_state_learned(now, node, server, !cordoned);
    }

    /// Records that a node restarted: it knows nothing about the servers, except the operators' cordons if
    /// it keeps state.
    pub fn node_lost_knowledge(&mut self, node: usize) {
        let keeps_state = self.plan.scenario.product.contains_key("state");
        let operator_cordons = &self.operator_cordons;
        self.unavailable_since
            .retain(|at, _| at.0 != node || (keeps_state && operator_cordons.contains(at)));
    }

    /// Records a fault that is active from `start_ms` until `end_ms`, in milliseconds of the run.
    pub fn record_fault(&mut self, kind: FaultKind, number: usize, start_ms: f64, end_ms: f64) {
        let kind = format!("{kind:?}");
        self.faults.push(FaultInterval { name: format!("{number} {kind}"), start_ms, end_ms });
    }

    /// Counts a connection that closed after a request was sent on it and before anything arrived.
    pub fn connection_closed(&mut self) {
        self.crossed += 1;
    }

    /// Records that an attempt was sent but cannot reach its server. The node waits for it legitimately,
    /// which [`Rule::Held`] takes into account.
    pub fn attempt_undeliverable(&mut self, id: u64) {
        if let Some(t) = self.tries.get_mut(&id) {
            t.undeliverable = true;
        }
    }

    /// Counts an attempt that ended at a server without being served.
    pub fn attempt_wasted(&mut self) {
        self.wasted += 1;
    }

    /// Records how many requests with a key the servers got, and for how many of them they knew the key.
    pub fn record_keys(&mut self, met: u64, known: u64) {
        self.keys = [met, known];
    }

    /// Records the state of the release at the end of the run.
    pub fn record_release(&mut self, release: Option<Release>) {
        self.release = release;
    }

    /// Returns the tries refused and failed, and the attempts at each server, so far. Cheaper than
    /// [`Checker::figures`], for the live view.
    pub fn live_counts(&self) -> (u64, u64, Vec<u64>) {
        (self.refused, self.failed, self.servers.clone())
    }

    /// Counts an event in the current second and updates the maximum; `what` is an index of `second_counts`.
    fn count_in_second(&mut self, now: f64, what: usize) {
        let second = (now / 1000.0).max(0.0) as u64;
        if self.second_counts.0 != second {
            self.second_counts = (second, [0; 4]);
        }
        self.second_counts.1[what] += 1;
        self.max_second_counts[what] = self.max_second_counts[what].max(self.second_counts.1[what]);
    }

    /// Counts a call to discovery.
    pub fn discovery_called(&mut self, now: f64) {
        self.calls += 1;
        self.count_in_second(now, 0);
    }

    /// Counts a probe that reached a server.
    pub fn probe_received(&mut self, now: f64) {
        self.count_in_second(now, 1);
        self.probes += 1;
    }

    /// Counts a connection that was opened to a server.
    pub fn connection_opened(&mut self, now: f64) {
        self.count_in_second(now, 2);
        self.handshakes += 1;
    }

    /// Counts a datagram between nodes.
    pub fn datagram_sent(&mut self, now: f64, bytes: usize) {
        self.count_in_second(now, 3);
        self.datagrams += 1;
        self.datagram_bytes += bytes as u64;
    }

    /// Records by how much the lab itself was late with an event, in milliseconds.
    pub fn record_lateness(&mut self, ms: f64) {
        self.lateness_us.saturating_record((ms * 1000.0).max(1.0) as u64);
    }

    /// Returns the worth asked for and the worth served, by bin.
    fn series(&self) -> Vec<(f64, f64)> {
        self.bins.iter().map(|b| (b.asked, b.served)).collect()
    }

    /// Returns the share of the worth asked for that was served, or `None` if none was asked for.
    fn worth_share(bins: &[(f64, f64)]) -> Option<f64> {
        let (asked, served) = bins.iter().fold((0.0, 0.0), |s, b| (s.0 + b.0, s.1 + b.1));
        (asked > 0.0).then(|| served / asked)
    }

    /// Returns the time from the end of a fault until service recovered, in milliseconds, or `None` if it
    /// did not recover.
    fn recovery_ms(&self, series: &[(f64, f64)], fault: &FaultInterval) -> Option<f64> {
        let bin = |at: f64| ((at / BIN_MS).max(0.0) as usize).min(series.len());
        let before = &series[bin(fault.start_ms - 3000.0)..bin(fault.start_ms)];
        let level = Checker::worth_share(before).unwrap_or(1.0) * RECOVERED_SHARE;
        let from = bin(fault.end_ms);
        (from..series.len()).find_map(|n| {
            let stretch = series.get(n..n + RECOVERY_BINS)?;
            let recovered = Checker::worth_share(stretch).is_none_or(|s| s >= level);
            recovered.then(|| ((n as f64) * BIN_MS - fault.end_ms).max(0.0))
        })
    }

    /// Returns the figures of the run so far.
    pub fn figures(&self) -> Figures {
        let series = self.series();
        let worth = Checker::worth_share(&series).unwrap_or(1.0);
        let after_first = series.get((1000.0 / BIN_MS) as usize..).unwrap_or_default();
        let worst_5s =
            after_first.windows(WORST_STRETCH_BINS).filter_map(Checker::worth_share).fold(worth, f64::min);
        let named = |sums: &[WorthSum], names: Vec<String>| -> BTreeMap<String, f64> {
            names.into_iter().zip(sums.iter().map(|s| s.share())).collect()
        };
        let scenario = &self.plan.scenario;
        let classes = named(&self.classes, scenario.class.iter().map(|c| c.name.clone()).collect());
        let tenants = named(&self.tenants, scenario.tenant.iter().map(|t| t.name.clone()).collect());
        let least = |shares: &BTreeMap<String, f64>| shares.values().copied().fold(1.0, f64::min);
        let ratio = |n: u64, of: u64| if of == 0 { 0.0 } else { n as f64 / of as f64 };
        let ms = |h: &Histogram<u32>, q: f64| h.value_at_quantile(q) as f64 / 1000.0;
        let recover = self.faults.iter().map(|t| (t.name.clone(), self.recovery_ms(&series, t))).collect();
        let zone_series: Vec<Vec<f64>> = (self.zone_counts.iter())
            .map(|of| {
                let all = |s: usize| self.zone_counts.iter().map(|z| f64::from(z[s])).sum::<f64>();
                of.iter().enumerate().map(|(s, n)| f64::from(*n) / all(s).max(1.0)).collect()
            })
            .collect();
        let crossings = ratio(self.crossings, self.asked);
        let held = self.counts.get(&Rule::Held).copied().unwrap_or(0);
        let mut broken = self.counts.clone();
        if (held as f64) <= MAX_HELD_SHARE * self.tries_sent as f64 {
            broken.remove(&Rule::Held);
        }
        let max_closed = MAX_CLOSED.0.max((MAX_CLOSED.1 * self.tries_sent as f64) as u64);
        if self.crossed > max_closed {
            *broken.entry(Rule::Lost).or_default() += self.crossed;
        }
        Figures {
            returns: self.return_figures(),
            held,
            worth,
            worth_less_crossings: worth - scenario.rules.cross_price * crossings,
            worst_5s,
            worst_class: least(&classes),
            worst_tenant: least(&tenants),
            classes,
            tenants,
            asked: self.asked,
            tries: ratio(self.tries_sent, self.asked),
            refused: self.refused,
            failed: self.failed,
            crossed: self.crossed,
            attempts: ratio(self.attempts, self.tries_with_attempts),
            crossings,
            wasted: self.wasted,
            known_keys: ratio(self.keys[1], self.keys[0]),
            release: self.release.clone(),
            probes: self.probes,
            handshakes: self.handshakes,
            datagrams: self.datagrams,
            datagram_bytes: self.datagram_bytes,
            calls: self.calls,
            most_a_second: self.max_second_counts,
            answer_ms: [0.5, 0.9, 0.99, 0.999].map(|q| ms(&self.answer_us, q)),
            answer_curve: self
                .answer_us
                .iter_quantiles(4)
                .map(|v| (v.quantile_iterated_to().min(0.9999), v.value_iterated_to() as f64 / 1000.0))
                .collect(),
            server_series: self.server_series.clone(),
            zone_swing: zone_series
                .iter()
                .filter_map(|z| z.get(3..z.len().saturating_sub(1)))
                .flat_map(|z| (2..=15).map(|lag| autocorrelation(z, lag)))
                .fold(0.0, f64::max),
            zone_series,
            lateness_ms: ms(&self.lateness_us, 0.99),
            recover_ms: recover,
            servers: self.servers.clone(),
            flows: self.flows.clone(),
            breaches: self.breaches.clone(),
            broken,
            bin_ms: BIN_MS,
            asked_worth: series.iter().map(|b| b.0).collect(),
            served_worth: series.iter().map(|b| b.1).collect(),
            refused_series: self.bins.iter().map(|b| b.refused).collect(),
            failed_series: self.bins.iter().map(|b| b.failed).collect(),
            troubles: self.faults.iter().map(|t| (t.name.clone(), t.start_ms, t.end_ms)).collect(),
        }
    }

    /// Returns the figures about restarted nodes, or `None` if no node was restarted.
    fn return_figures(&self) -> Option<Returns> {
        let mut first: Vec<f64> = self.returns.iter().filter_map(|r| r.first_ms).collect();
        first.sort_by(f64::total_cmp);
        let at =
            |q: f64| first.get(((first.len() as f64 * q) as usize).min(first.len().max(1) - 1)).copied();
        let share = |of: &dyn Fn(&NodeReturn) -> [u64; 2]| {
            let [asked, served] =
                self.returns.iter().map(of).fold([0, 0], |s, r| [s[0] + r[0], s[1] + r[1]]);
            if asked == 0 { 1.0 } else { served as f64 / asked as f64 }
        };
        (!self.returns.is_empty()).then(|| Returns {
            times: self.returns.len(),
            unanswered: self.returns.len() - first.len(),
            first_ms: [0.5, 0.99, 1.0].map(|q| at(q).unwrap_or(f64::NAN)),
            served: share(&|r| r.own),
            others: share(&|r| r.others),
        })
    }

    /// Returns the share of the worth asked for in the last `ms` before `now` that was served, for the live
    /// view.
    pub fn recent_worth_share(&self, now: f64, ms: f64) -> f64 {
        let bin = |at: f64| ((at / BIN_MS).max(0.0) as usize).min(self.bins.len());
        let series: Vec<(f64, f64)> =
            self.bins[bin(now - ms)..bin(now)].iter().map(|b| (b.asked, b.served)).collect();
        Checker::worth_share(&series).unwrap_or(1.0)
    }
}

/// Figures about nodes that were restarted under load.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Returns {
    /// Number of restarts.
    pub times: usize,
    /// Restarts after which the node gave no correct answer before it ended or the run was over.
    pub unanswered: usize,
    /// Time from the start of the process to its first correct answer, in milliseconds: p50, p99, maximum.
    pub first_ms: [f64; 3],
    /// Share of the tries that a restarted node served in its first two seconds.
    pub served: f64,
    /// Share that the other nodes served in the same time.
    pub others: f64,
}

/// The state of a release.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Release {
    /// `done`, `back`, `halted`, `abandoned` or `running`.
    pub stands: String,
    /// The reason for that state.
    pub why: String,
    /// Members on the new version, as observed by the lab.
    pub on_new: usize,
    /// Restarts requested by the release's commands.
    pub restarts: usize,
}

/// The figures of a run.
#[derive(Clone, Debug, Serialize)]
pub struct Figures {
    /// Share of the worth asked for that was served.
    pub worth: f64,
    /// `worth` less the operators' price for attempts that crossed zones.
    pub worth_less_crossings: f64,
    /// Share of the worth served in the worst 5 s, the first second excluded.
    pub worst_5s: f64,
    /// Share of the worth served in the worst class, counting requests within their tenant's quota.
    pub worst_class: f64,
    /// Share of the worth served for the worst tenant, counting requests within its quota.
    pub worst_tenant: f64,
    /// Share of the worth served, by class.
    pub classes: BTreeMap<String, f64>,
    /// Share of the worth served, by tenant.
    pub tenants: BTreeMap<String, f64>,
    /// First tries.
    pub asked: u64,
    /// Tries per first try.
    pub tries: f64,
    /// Tries that were refused.
    pub refused: u64,
    /// Tries that failed.
    pub failed: u64,
    /// Tries that were refused after more than half of their time without having been sent to any server.
    pub held: u64,
    /// Requests whose connection closed before anything arrived.
    pub crossed: u64,
    /// Attempts per try that had at least one.
    pub attempts: f64,
    /// Attempts that crossed zones, per first try.
    pub crossings: f64,
    /// Attempts that ended at a server without being served.
    pub wasted: u64,
    /// Share of the requests with a key whose key the server knew.
    pub known_keys: f64,
    /// State of the release at the end of the run, if there was one.
    pub release: Option<Release>,
    /// Figures about restarted nodes; `None` if no node was restarted.
    pub returns: Option<Returns>,
    /// Probes that reached servers.
    pub probes: u64,
    /// Connections opened to servers.
    pub handshakes: u64,
    /// Datagrams between nodes.
    pub datagrams: u64,
    /// Size of these datagrams, in bytes.
    pub datagram_bytes: u64,
    /// Calls to discovery.
    pub calls: u64,
    /// Maximum per second over all nodes together: discovery calls, probes, handshakes, datagrams.
    pub most_a_second: [u64; 4],
    /// Time from a try's last byte to its answer, in milliseconds: p50, p90, p99, p99.9.
    pub answer_ms: [f64; 4],
    /// Cumulative distribution of the answer times: share of the answers, and the time in milliseconds
    /// within which they arrived.
    pub answer_curve: Vec<(f64, f64)>,
    /// Attempts in each second of the run, by server.
    pub server_series: Vec<Vec<u32>>,
    /// Share of each second's attempts that went to a zone, by zone.
    pub zone_series: Vec<Vec<f64>>,
    /// Largest autocorrelation of `zone_series` at lags of 2 to 15 s, over all zones, from the third second
    /// on: near 0 for noise, near 1 if load swings between zones.
    pub zone_swing: f64,
    /// Lateness of the lab's own events, p99, in milliseconds.
    pub lateness_ms: f64,
    /// Time from the end of each fault until service recovered, in milliseconds; `None` if it did not.
    pub recover_ms: Vec<(String, Option<f64>)>,
    /// Attempts at each server.
    pub servers: Vec<u64>,
    /// Attempts by zone of the node and zone of the server.
    pub flows: Vec<Vec<u64>>,
    /// Violations of rules, the first few of each rule.
    pub breaches: Vec<Violation>,
    /// Number of violations, by rule.
    pub broken: BTreeMap<Rule, u64>,
    /// Width of the bins of the series below, in milliseconds.
    pub bin_ms: f64,
    /// Worth asked for, by bin.
    pub asked_worth: Vec<f64>,
    /// Worth served, by bin.
    pub served_worth: Vec<f64>,
    /// Tries refused, by bin.
    pub refused_series: Vec<u32>,
    /// Tries failed, by bin.
    pub failed_series: Vec<u32>,
    /// Faults with their start and end, in milliseconds of the run.
    pub troubles: Vec<(String, f64, f64)>,
}

/// Lateness of the lab at which a run does not count, unless the scenario sets another limit, in
/// milliseconds.
const DEFAULT_LATE_LIMIT_MS: f64 = 2.0;

/// Whether a run met the rules and its expectations.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// All rules and expectations were met.
    Kept,
    /// Some were not; each entry names one.
    Broken(Vec<String>),
    /// The lab was too late for the run to count; its lateness in milliseconds.
    Late(f64),
}

impl Figures {
    /// Compares the figures with the scenario's expectations.
    pub fn verdict(&self, expect: &Expect) -> Verdict {
        let mut broken = Vec::new();
        for (rule, count) in &self.broken {
            let name = serde_json::to_value(rule).ok().and_then(|v| v.as_str().map(str::to_owned));
            let name = name.unwrap_or_default();
            if expect.allow.contains(&name) {
                continue;
            }
            let first = self.breaches.iter().find(|b| b.rule == *rule);
            let what = first
                .map_or_else(String::new, |b| format!(", first at {:.2} s: {}", b.at_ms / 1000.0, b.what));
            broken.push(format!("{name} {count} times{what}"));
        }
        let least = [
            ("worth", self.worth, expect.worth),
            ("worst 5 s", self.worst_5s, expect.worst_5s),
            ("worst class", self.worst_class, expect.worst_class),
            ("worst tenant", self.worst_tenant, expect.worst_tenant),
        ];
        for (name, value, wanted) in least {
            if let Some(wanted) = wanted.filter(|w| value < *w) {
                broken.push(format!("{name} {value:.3}, at least {wanted} was expected"));
            }
        }
        let most =
            [("attempts", self.attempts, expect.attempts), ("crossings", self.crossings, expect.crossings)];
        for (name, value, wanted) in most {
            if let Some(wanted) = wanted.filter(|w| value > *w) {
                broken.push(format!("{name} {value:.3}, at most {wanted} was expected"));
            }
        }
        let (stands, on_new, restarts) =
            self.release.as_ref().map_or(("none", 0, 0), |r| (&r.stands, r.on_new, r.restarts));
        let why = self.release.as_ref().map_or("", |r| &r.why);
        if let Some(wanted) = expect.release.as_ref().filter(|w| *w != stands) {
            broken.push(format!("the release is {stands} ({why}), {wanted} was expected"));
        }
        if let Some(wanted) = expect.on_new.filter(|w| *w != on_new) {
            broken.push(format!("{on_new} servers are on the new version, {wanted} were expected"));
        }
        if let Some(wanted) = expect.restarts.filter(|w| restarts > *w) {
            broken.push(format!("{restarts} restarts, at most {wanted} were expected"));
        }
        if let Some(wanted) = expect.recover_s {
            for (name, recovered) in &self.recover_ms {
                match recovered {
                    Some(ms) if *ms <= wanted * 1000.0 => {}
                    Some(ms) => {
                        broken.push(format!("back {:.1} s after {name}, {wanted} expected", ms / 1000.0))
                    }
                    None => broken.push(format!("not back after {name}")),
                }
            }
        }
        if !broken.is_empty() {
            return Verdict::Broken(broken);
        }
        if self.lateness_ms >= expect.late_ms.unwrap_or(DEFAULT_LATE_LIMIT_MS) {
            return Verdict::Late(self.lateness_ms);
        }
        Verdict::Kept
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::scenario::Scenario;

    fn new_checker(rest: &str) -> (Plan, Checker) {
        let s = Scenario::parse(&format!("name = \"x\"\nseconds = 20\n{rest}")).unwrap();
        let plan = Plan::draw(&s, 1);
        let checker = Checker::new(&plan);
        (plan, checker)
    }

    fn arrival(number: u64, at_ms: f64, class: usize) -> Arrival {
        Arrival {
            number,
            at_ms,
            class,
            tenant: 0,
            zone: 0,
            key: 1,
            work_ms: 10.0,
            hint_ms: None,
            honours_retry_after: true,
            slow: false,
            invalid: false,
        }
    }

    /// Returns the rules broken after a try at node 0 of a request of class 2 (order), 3 (quote) or 0
    /// (catalogue).
    fn broken(class: usize, then: impl FnOnce(&mut Checker)) -> Vec<Rule> {
        let (_, mut checker) = new_checker("");
        let a = arrival(1, 0.0, class);
        checker.client_arrived(&a);
        checker.try_sent(0.0, 7, &a, 0, 1000.0);
        then(&mut checker);
        checker.figures().broken.keys().copied().collect()
    }

    #[test]
    fn an_at_most_once_request_may_be_resent_only_if_it_never_ran() {
        let resend = |never_ran| {
            broken(2, |checker| {
                let n = checker.attempt_delivered(1.0, 1.0, 7, 0, 0).unwrap();
                checker.attempt_ended(2.0, 7, n, never_ran);
                checker.attempt_delivered(5.0, 5.0, 7, 0, 1);
            })
        };
        assert_eq!(resend(false), [Rule::Twice]);
        assert!(resend(true).is_empty());
    }

    #[test]
    fn a_keyed_request_may_be_resent_in_its_zone_while_the_key_lives() {
        let resend = |server, at| {
            broken(3, |checker| {
                let n = checker.attempt_delivered(1.0, 1.0, 7, 0, 0).unwrap();
                checker.attempt_ended(2.0, 7, n, false);
                checker.attempt_delivered(at, at, 7, 0, server);
            })
        };
        assert!(resend(4, 100.0).is_empty(), "servers 0 and 4 are in the same zone");
        assert_eq!(resend(1, 100.0), [Rule::Twice], "another zone");
        assert_eq!(resend(4, 1300.0), [Rule::Twice], "too late");
    }

    #[test]
    fn second_copies_and_too_many_attempts_are_detected() {
        let two_attempts = |first_over| {
            broken(0, |checker| {
                let first = checker.attempt_delivered(1.0, 1.0, 7, 0, 0).unwrap();
                checker.attempt_delivered(2.0, 2.0, 7, 0, 1);
                checker.attempt_ended(first_over, 7, first, false);
            })
        };
        assert_eq!(two_attempts(200.0), [Rule::Copy]);
        assert!(
            two_attempts(3.0).is_empty(),
            "the first attempt was cancelled, and its end was on its way"
        );
        let four_attempts = broken(0, |checker| {
            for at in 1..=4 {
                let n = checker.attempt_delivered(f64::from(at), f64::from(at), 7, 0, 0).unwrap();
                checker.attempt_ended(f64::from(at), 7, n, true);
            }
        });
        assert_eq!(four_attempts, [Rule::Attempts]);
    }

    #[test]
    fn unknown_requests_and_answers_are_forged() {
        assert_eq!(
            broken(0, |checker| assert!(checker.attempt_delivered(1.0, 1.0, 8, 0, 0).is_none())),
            [Rule::Forged]
        );
        assert_eq!(
            broken(0, |checker| assert!(checker.attempt_delivered(1.0, 1.0, 7, 1, 0).is_none())),
            [Rule::Forged],
            "another node's"
        );
        assert_eq!(
            broken(0, |checker| checker.try_answered(9.0, 7, Answer::Served { genuine: false })),
            [Rule::Forged]
        );
    }

    #[test]
    fn a_request_sent_500_ms_after_the_node_learned_of_a_drain_is_a_violation() {
        let sent = |begun: f64| {
            broken(0, |checker| {
                checker.server_state_learned(10.0, 0, 3, false);
                checker.server_state_learned(400.0, 0, 3, false);
                checker.attempt_delivered(begun + 1.0, begun, 7, 0, 3);
            })
        };
        assert!(sent(555.0).is_empty());
        assert_eq!(sent(565.0), [Rule::Drain], "the first notice counts, with the tolerance for sockets");
        let available_again = broken(0, |checker| {
            checker.server_state_learned(10.0, 0, 3, false);
            checker.server_state_learned(400.0, 0, 3, true);
            checker.attempt_delivered(900.0, 900.0, 7, 0, 3);
        });
        assert!(available_again.is_empty());
        let other = broken(0, |checker| {
            checker.server_state_learned(10.0, 1, 3, false);
            checker.attempt_delivered(900.0, 900.0, 7, 0, 3);
        });
        assert!(other.is_empty(), "this node was not told");
    }

    #[test]
    fn a_missing_answer_a_missing_retry_after_and_a_late_refusal_are_violations() {
        let answered = |at: f64, answer| broken(0, |checker| checker.try_answered(at, 7, answer));
        assert_eq!(answered(9.0, Answer::Lost), [Rule::Lost]);
        assert_eq!(answered(1500.0, Answer::Silence), [Rule::Lost]);
        assert!(answered(9.0, Answer::Cut).is_empty());
        assert!(answered(400.0, Answer::Refused { has_retry_after: true }).is_empty());
        assert_eq!(answered(9.0, Answer::Refused { has_retry_after: false }), [Rule::NoRetryAfter]);
        assert_eq!(
            answered(600.0, Answer::Refused { has_retry_after: true }),
            [Rule::Held],
            "one held try of one is too many"
        );
        let sent = broken(0, |checker| {
            let n = checker.attempt_delivered(1.0, 1.0, 7, 0, 0).unwrap();
            checker.attempt_ended(500.0, 7, n, false);
            checker.try_answered(600.0, 7, Answer::Refused { has_retry_after: true });
        });
        assert!(sent.is_empty(), "an attempt was sent in the meantime");
    }

    #[test]
    fn worth_depends_on_answer_time_class_and_quota() {
        let (_, mut checker) = new_checker("[[tenant]]\nname = \"a\"\nshare = 1\nquota_rps = 2\n");
        for n in 0..4 {
            checker.client_arrived(&arrival(n, 0.0, 0));
        }
        checker.client_served(100.0, 0);
        checker.client_served(400.0, 1);
        checker.client_served(700.0, 2);
        checker.client_served(100.0, 3);
        let f = checker.figures();
        // In time; late; over quota and too late; over quota and in time. Requests over quota count a
        // tenth.
        let wanted = (1.0 + 0.4 + 0.0 + 0.1) / 2.2;
        assert!((f.worth - wanted).abs() < 1e-9, "{}", f.worth);
        assert!((f.tenants["a"] - 0.7).abs() < 1e-9);
        assert!((f.worst_class - 0.7).abs() < 1e-9);
    }

    #[test]
    fn service_recovers_with_two_good_seconds_in_a_row() {
        let (_, mut checker) = new_checker("");
        let mut number = 0;
        for ms in (0..20_000).step_by(20) {
            number += 1;
            let at = f64::from(ms);
            checker.client_arrived(&arrival(number, at, 0));
            let bad = (5000.0..9000.0).contains(&at) || (10_000.0..10_400.0).contains(&at);
            if !bad {
                checker.client_served(at + 10.0, number);
            }
        }
        checker.record_fault(FaultKind::Mark, 0, 5000.0, 8000.0);
        let f = checker.figures();
        // From 9.0 to 10.0 s there is only one good second, and the bad stretch follows.
        assert_eq!(f.recover_ms[0].1, Some(2400.0));
        assert!(f.worst_5s < 0.3);
        let expect = Expect { recover_s: Some(2.0), late_ms: Some(1e9), ..Expect::default() };
        assert!(
            matches!(f.verdict(&expect), Verdict::Broken(why) if why[0].starts_with("back 2.4 s after"))
        );
        let expect = Expect { recover_s: Some(3.0), late_ms: Some(1e9), ..Expect::default() };
        assert_eq!(f.verdict(&expect), Verdict::Kept);
    }

    #[test]
    fn a_run_with_a_late_lab_does_not_count() {
        let (_, mut checker) = new_checker("");
        (0..100).for_each(|n| checker.record_lateness(if n < 90 { 0.1 } else { 5.0 }));
        assert!(matches!(checker.figures().verdict(&Expect::default()), Verdict::Late(_)));
        let allowed = Expect { late_ms: Some(100.0), ..Expect::default() };
        assert_eq!(checker.figures().verdict(&allowed), Verdict::Kept);
    }

    #[test]
    fn memory_is_bounded_by_open_requests() {
        let (_, mut checker) = new_checker("");
        for n in 0..100_000 {
            let a = arrival(n, n as f64, 0);
            checker.client_arrived(&a);
            checker.try_sent(a.at_ms, n, &a, 0, 600.0);
        }
        assert!(
            checker.tries.len() < 15_000 && checker.first_tries.len() < 20_000,
            "{} {}",
            checker.tries.len(),
            checker.first_tries.len()
        );
    }
}
