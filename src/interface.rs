//! The input and output of a [`Balancer`](crate::Balancer): settings, events and actions. The only logic here is the
//! validation of settings.
//!
//! All times are milliseconds of one monotonic clock with an arbitrary origin, and are passed in with each event. A
//! host passes [`Event`]s in the order in which they happened and carries out the [`Action`]s in the order in which
//! they are returned.

use crate::counters::{AdmissionCounters, LoadSnapshot, RefusalCounts};
use std::fmt;
use thiserror::Error;

/// Identity of a backend: any number that is the same at every node, such as a hash of its name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BackendId(pub u64);

impl BackendId {
    /// Returns the upper half of the id, which distinguishes listed backends in short messages.
    pub fn short(self) -> u32 {
        (self.0 >> 32) as u32
    }
}

/// Identity of one client request (one try of a client).
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// How often a request of a class may take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Any number of times: repeats are safe.
    Safe,
    /// Once: backends of a group drop repeats with the same key for a time.
    Keyed(Group),
    /// Once: a repeat must never run.
    Unsafe,
}

/// Group of backends within which repeats of a keyed request are dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    /// All backends.
    All,
    /// The backends of one zone.
    Zone,
    /// The backends of one cell.
    Cell,
}

/// How the list of backends arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Discovery {
    /// Updates arrive without a request.
    Pushed,
    /// Updates arrive only after [`Action::Watch`].
    OnRequest,
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Aim: an answer within this time earns full worth.
    pub aim_ms: f64,
    /// Longest total wait of a client, over all its tries.
    pub deadline_ms: f64,
    /// Worth of a request.
    pub worth: f64,
    /// Part of the worth that an answer after the aim earns.
    pub late_worth: f64,
    /// How often a request may take effect.
    pub effect: Effect,
    /// Time in which repeats of a keyed request are dropped, from the first send that may have run.
    pub key_ttl_ms: f64,
    /// Multiple of the request's own work by which the aim is longer, up to the deadline; 0 for none.
    pub aim_stretch: f64,
}

/// A tenant and its quota.
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Requests per second within the tenant's share, over all nodes; 0 for no quota.
    pub quota_rps: f64,
}

/// Weights of the operators' goals.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Goal {
    /// Worth served over the whole run.
    pub whole: f64,
    /// Worth served in the worst window of ten seconds.
    pub worst_window: f64,
    /// Worth served of the worst-served class.
    pub worst_class: f64,
    /// Worth served of the worst-served tenant.
    pub worst_tenant: f64,
    /// Nines: the part not served in time, on a logarithmic scale.
    pub nines: f64,
    /// Number of nines that earns this weight in full.
    pub full_at_nines: f64,
}

/// Points that the operators deduct for each unit of a resource or a failure.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Prices {
    /// An attempt that crosses zones, per first try.
    pub cross_zone: f64,
    /// A new connection, per first try.
    pub handshake: f64,
    /// Connections held open.
    pub connection: f64,
    /// Worth of requests that failed after their aim.
    pub late_fail: f64,
    /// Backend work that gave no answer, per work offered.
    pub waste: f64,
    /// A probe, per first try.
    pub probe: f64,
    /// A message of 256 bytes between nodes, per first try.
    pub peer: f64,
}

/// Meaning of [`ListEntry::units`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Weights {
    /// No meaning: the value is always 1.
    None,
    /// The registered size.
    Nominal,
    /// Approximately the size.
    Rough,
    /// The size divided by 1 + requests held per core, as of some time ago.
    Live,
}

/// How backends report their load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reporting {
    /// Not at all.
    None,
    /// In every answer, and in answers to probes.
    Answers,
    /// Only in answers to probes.
    Probes,
}

/// A backend's report of its load. Reports are some time old, approximate and often incomplete.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Requests that the backend has accepted and not answered.
    pub in_hand: Option<f64>,
    /// Requests in the queue.
    pub queue: Option<f64>,
    /// Busy share of the cores, 0 to 1.
    pub busy: Option<f64>,
    /// Recent service time.
    pub latency_ms: Option<f64>,
    /// Requests served per second.
    pub rate: Option<f64>,
    /// Errors per second.
    pub errors: Option<f64>,
}

/// Settings of one node.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Request classes; a request names its class by the index.
    pub classes: Vec<Class>,
    /// Tenants; a request names its tenant by the index.
    pub tenants: Vec<Tenant>,
    /// Weights of the operators' goals.
    pub goal: Goal,
    /// Prices of resources and failures.
    pub prices: Prices,
    /// Number of nodes.
    pub instances: u32,
    /// Number of nodes that send to one backend, where the list is longer than a node's subset; `None`: all nodes.
    pub held_by: Option<u32>,
    /// This node's number among the nodes, from 0.
    pub slot: u32,
    /// This node's zone, if known; comparable with [`ListEntry::zone`].
    pub zone: Option<u16>,
    /// Meaning of [`ListEntry::units`].
    pub weights: Weights,
    /// How backends report their load.
    pub reporting: Reporting,
    /// How the list arrives.
    pub discovery: Discovery,
    /// Most attempts for one request.
    pub max_attempts: u32,
    /// True if attempts may be cancelled.
    pub may_cancel: bool,
    /// True if two attempts of one request may be in flight at once.
    pub second_copies: bool,
    /// Longest Retry-After that a client honours.
    pub max_retry_after_ms: f64,
    /// True if probes are allowed.
    pub probes: bool,
    /// True if messages between nodes are allowed.
    pub peer_messages: bool,
    /// Most requests that this node may hold open.
    pub open_cap: u32,
    /// Most attempts that one connection carries at once.
    pub max_streams: u32,
    /// Time after which idle connections are closed.
    pub conn_idle_ms: f64,
    /// Time limit for making a connection.
    pub connect_timeout_ms: f64,
    /// CPU time in microseconds that this node may use per second; 0 if no limit is known.
    pub cpu_us_per_s: f64,
    /// Part of its worth that a request over its tenant's share keeps.
    pub over_share_worth: f64,
    /// True if worth is counted by work rather than by request.
    pub worth_by_work: bool,
    /// True if a backend that recently served a key needs less work for the same key.
    pub warm_keys: bool,
    /// Time after its start at which a cold backend is warm at the latest.
    pub cold_ms: f64,
    /// Least part of its capacity that a backend has at its start.
    pub start_capacity: f64,
    /// Multiple of its present capacity at which a cold backend falls over, if it is sent more for `fall_ms`.
    pub fall_multiple: f64,
    /// Time of overload after which a cold backend falls over.
    pub fall_ms: f64,
    /// True if backends shed work late: then [`Outcome::Full`] is no proof that the attempt never ran.
    pub late_shedding: bool,
    /// Time within which sends to a backend end after the notice that it drains or is gone.
    pub drain_grace_ms: f64,
    /// Time within which idle connections to a draining backend are closed; `None`: no limit.
    pub drain_close_ms: Option<f64>,
    /// With discovery on request: time without a call after which a node counts as informed of every change.
    pub must_ask_in_ms: f64,
    /// Least time between the host's batches of events.
    pub tick_ms: f64,
}

/// Largest valid value of a setting; in milliseconds, eleven days.
const MAX_VALUE: f64 = 1e9;

/// Why settings are invalid.
#[derive(Clone, Debug, PartialEq, Error)]
pub enum SettingsError {
    /// There is no class.
    #[error("classes: at least one is needed")]
    NoClass,
    /// A value is not a number, or outside its range.
    #[error("{field}: {value:e} is outside its range")]
    Range {
        /// Name of the setting, as in the settings file.
        field: String,
        /// The invalid value.
        value: f64,
    },
}

impl Settings {
    /// Returns the number of nodes that send to one backend. Each node's part of a budget for a backend is the budget
    /// divided by this number.
    pub fn nodes_per_backend(&self) -> u32 {
        self.held_by.unwrap_or(self.instances).max(1)
    }

    /// Returns the longest aim of all classes, in milliseconds.
    pub fn max_aim_ms(&self) -> f64 {
        self.classes.iter().map(|c| c.aim_ms).fold(0.0, f64::max)
    }

    /// Returns the aim of a class in milliseconds; infinite for an unknown class.
    pub fn aim_ms(&self, class: usize) -> f64 {
        self.classes.get(class).map_or(f64::INFINITY, |c| c.aim_ms)
    }

    /// Returns how often a request of a class may take effect. An unknown class counts as unsafe.
    pub fn effect(&self, class: usize) -> Effect {
        self.classes.get(class).map_or(Effect::Unsafe, |c| c.effect)
    }

    /// Validates the settings.
    ///
    /// # Errors
    /// Returns [`SettingsError::NoClass`] if there is no class, and [`SettingsError::Range`] for the first value that
    /// is not a number or outside its range.
    pub fn check(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::NoClass);
        }
        let (p, g) = (&self.prices, &self.goal);
        let single = [
            ("rules.coldMs", self.cold_ms, 0.0),
            ("rules.fallMs", self.fall_ms, 0.0),
            ("rules.fallMultiple", self.fall_multiple, 0.0),
            ("rules.startCapacity", self.start_capacity, 0.0),
            ("rules.drainGraceMs", self.drain_grace_ms, 0.0),
            ("rules.drainCloseMs", self.drain_close_ms.unwrap_or(1.0), f64::MIN_POSITIVE),
            ("rules.mustAskInMs", self.must_ask_in_ms, 0.0),
            ("limits.maxRetryAfterMs", self.max_retry_after_ms, 0.0),
            ("limits.connIdleMs", self.conn_idle_ms, 0.0),
            ("limits.connectTimeoutMs", self.connect_timeout_ms, f64::MIN_POSITIVE),
            ("limits.cpuUsPerS", self.cpu_us_per_s, 0.0),
            ("limits.attemptsCap", f64::from(self.max_attempts), 1.0),
            ("overShareWorth", self.over_share_worth, 0.0),
            ("tickMs", self.tick_ms, 0.0),
            ("instances", f64::from(self.instances), 1.0),
            ("prices.crossZone", p.cross_zone, 0.0),
            ("prices.handshake", p.handshake, 0.0),
            ("prices.connection", p.connection, 0.0),
            ("prices.lateFail", p.late_fail, 0.0),
            ("prices.waste", p.waste, 0.0),
            ("prices.probe", p.probe, 0.0),
            ("prices.peer", p.peer, 0.0),
            ("blend.whole", g.whole, 0.0),
            ("blend.worstWindow", g.worst_window, 0.0),
            ("blend.worstClass", g.worst_class, 0.0),
            ("blend.worstTenant", g.worst_tenant, 0.0),
        ];
        let mut values: Vec<(String, f64, f64)> =
            single.map(|(field, value, least)| (field.to_owned(), value, least)).into();
        for (n, c) in self.classes.iter().enumerate() {
            let of_class = [
                ("hardLimitMs", c.deadline_ms, f64::MIN_POSITIVE),
                ("objectiveMs", c.aim_ms, f64::MIN_POSITIVE),
                ("value", c.worth, 0.0),
                ("lateValue", c.late_worth, 0.0),
                ("keyTtlMs", c.key_ttl_ms, 0.0),
            ];
            values.extend(
                of_class.map(|(field, value, least)| (format!("classes[{n}].{field}"), value, least)),
            );
        }
        let quota = |(n, t): (usize, &Tenant)| (format!("tenants[{n}].quotaRps"), t.quota_rps, 0.0);
        values.extend(self.tenants.iter().enumerate().map(quota));
        let invalid = values.into_iter().find(|(_, value, least)| !(*least..=MAX_VALUE).contains(value));
        invalid.map_or(Ok(()), |(field, value, _)| Err(SettingsError::Range { field, value }))
    }
}

/// Health of a backend in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// The backend takes requests.
    Up,
    /// The backend completes its work and takes no new requests.
    Draining,
    /// The backend is removed.
    Gone,
}

/// One line of the list of backends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ListEntry {
    /// The backend.
    pub backend: BackendId,
    /// Number of its zone.
    pub zone: u16,
    /// Number of its cell.
    pub cell: u32,
    /// Its health.
    pub health: Health,
    /// Its size relative to the others.
    pub units: f64,
    /// Time of its latest start; 0 for long ago.
    pub ready_at_ms: f64,
}

/// Content of a list event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Changed entries only.
    Changes,
    /// All entries: a backend that is absent is gone.
    Full,
    /// All entries as stored before a restart of the node, perhaps out of date.
    Saved,
    /// None: the call failed or the subscription broke, and the list stays as it is.
    Failed,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The backend answered.
    Done,
    /// The backend answered with an error; the attempt may have run.
    Error,
    /// The backend refused the attempt, which never ran unless [`Settings::late_shedding`] says that this is no proof.
    Full,
    /// No answer came in time; the attempt may have run.
    TimedOut,
    /// No connection was made in time; the attempt never ran.
    NotConnected,
    /// The connection broke; the attempt may have run.
    Reset,
    /// The attempt was cancelled; it may have run.
    Cancelled,
    /// The attempt was not sent.
    Skipped,
    /// The backend found the request itself invalid, as any other would. This says nothing about the backend.
    Rejected,
}

impl Outcome {
    /// Number of outcomes.
    pub const COUNT: usize = 9;
    /// All outcomes in the order of their declaration.
    pub const ALL: [Outcome; Outcome::COUNT] = [
        Outcome::Done,
        Outcome::Error,
        Outcome::Full,
        Outcome::TimedOut,
        Outcome::NotConnected,
        Outcome::Reset,
        Outcome::Cancelled,
        Outcome::Skipped,
        Outcome::Rejected,
    ];
}

/// A client's request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Request {
    /// Identity of the request; never reused.
    pub id: RequestId,
    /// Index into [`Settings::classes`]. An unknown class counts as unsafe.
    pub class: usize,
    /// Index into [`Settings::tenants`].
    pub tenant: Option<usize>,
    /// Stable hash of the subject of the request.
    pub key: Option<u64>,
    /// Time at which the client gives this try up.
    pub deadline_ms: f64,
    /// Estimate of the request's work, in milliseconds of one core.
    pub effort_ms: Option<f64>,
    /// True if the client says that this is not its first try.
    pub retry: bool,
}

/// End of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptEnded {
    /// The request.
    pub id: RequestId,
    /// Number of the attempt.
    pub attempt: u32,
    /// Backend of the attempt.
    pub backend: BackendId,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// True if the request is finished, by this attempt or before.
    pub last: bool,
    /// Time since the attempt was sent.
    pub elapsed_ms: f64,
    /// The backend's report of its load, as far as it gave one.
    pub load: Load,
}

/// What a balancer has learned and the next process of its node can restore.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Memory {
    /// Requests per second that a warm backend serves for this node.
    pub warm_rate: f64,
    /// What is learned of each backend.
    pub backends: Vec<BackendMemory>,
    /// Answer times of each class in milliseconds: the mean, its mean deviation, the 80th percentile, and that
    /// percentile without overload. All are 0 where there are few answers.
    pub classes: Vec<[f64; 4]>,
}

/// What is learned of one backend.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BackendMemory {
    /// The backend.
    pub backend: BackendId,
    /// Cap on this node's requests in flight there.
    pub limit: f64,
    /// Time of the last cut of the cap by strain; 0 for never.
    pub cut_at: f64,
    /// PRAT, the time at which the backend may be tried again; `None` if it is not congested.
    pub prat: Option<f64>,
}

/// A message for the log. Its text is one line.
#[derive(Clone, Debug, PartialEq)]
pub enum LogNote {
    /// A backend became congested.
    Congested {
        /// The backend.
        backend: BackendId,
        /// Failures in its failure window.
        failures: f64,
        /// Tries in its failure window.
        tries: f64,
        /// Time to its next trial.
        pause_ms: f64,
    },
    /// A backend answered a trial and is live again.
    Live {
        /// The backend.
        backend: BackendId,
        /// Trials that failed before.
        failed_trials: u32,
    },
    /// Requests were stopped since the last note of this kind.
    Stopped(Box<(AdmissionCounters, LoadSnapshot)>),
}

impl fmt::Display for LogNote {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LogNote::Congested { backend, failures, tries, pause_ms } => {
                let id = backend.0;
                write!(f, "congested {id:016x}: {failures} failures of {tries}, trial in {pause_ms:.0} ms")
            }
            LogNote::Live { backend, failed_trials } => {
                write!(f, "live {:016x}: trial answered after {failed_trials} failed", backend.0)
            }
            LogNote::Stopped(note) => write!(f, "{}; {}", note.0, note.1),
        }
    }
}

/// State of a balancer at one moment, for operators.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct BalancerSnapshot {
    /// Load of the fleet as this node sees it.
    pub load: LoadSnapshot,
    /// Refused requests since the start, by reason.
    pub refusals: RefusalCounts,
    /// Highest rate, in requests per second, that a warm backend was recently seen to serve for this node.
    pub warm_rate: f64,
    /// State of each backend.
    pub backends: Vec<BackendSnapshot>,
}

/// State of one backend at one moment, for operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BackendSnapshot {
    /// The backend.
    pub backend: BackendId,
    /// Number of its zone.
    pub zone: u16,
    /// True if the backend is listed as up.
    pub up: bool,
    /// PRAT, the time at which the backend may be tried again; `None` if it is not congested.
    pub trial_at_ms: Option<f64>,
    /// Cap on this node's requests in flight there.
    pub cap: f64,
    /// This node's requests in flight there.
    pub in_flight: u32,
    /// True if the backend has started recently.
    pub cold: bool,
    /// Pressure by its load reports, 0 to 1.
    pub pressure: f64,
}

/// An update that other nodes of the fleet share with this one.
#[derive(Clone, Debug, PartialEq)]
pub enum SharedUpdate {
    /// Part of each tenant's requests that is within its share over the whole fleet, by the tenant's index; `None`
    /// where that is not known well enough.
    TenantShares(Vec<Option<f64>>),
    /// Another node observed that a backend fails, or serves again.
    Verdict {
        /// The backend.
        backend: BackendId,
        /// Number of the node that observed it.
        node: u16,
        /// True if the backend fails.
        failing: bool,
        /// Time until which the verdict counts.
        until_ms: f64,
    },
    /// A backend that is none of a key's candidates has served the key.
    KeyLocation {
        /// Short hash of the key.
        key: u32,
        /// The backend.
        backend: BackendId,
        /// Time until which the location counts.
        until_ms: f64,
    },
}

/// An observation of this node that the other nodes should know.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Observation {
    /// A backend fails, or serves again.
    Backend {
        /// The backend.
        backend: BackendId,
        /// True if the backend fails.
        failing: bool,
    },
    /// A key was sent to a backend that is none of its candidates.
    Key {
        /// Short hash of the key.
        key: u32,
        /// The backend.
        backend: BackendId,
    },
}

/// What happened at a node.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The node started. This event comes once, before all others.
    Start,
    /// New settings, valid from now on. A request keeps its class by number, so the host must not reuse the number of a
    /// class that an open request has. Invalid settings are ignored.
    Settings(Box<Settings>),
    /// An update of the list.
    List {
        /// Content of the entries.
        kind: ListKind,
        /// The entries.
        entries: Vec<ListEntry>,
    },
    /// A request arrived.
    Request(Request),
    /// A streamed answer began.
    ResponseStarted {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
        /// Backend of the attempt.
        backend: BackendId,
        /// Time since the attempt was sent.
        elapsed_ms: f64,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEnded),
    /// What another process of the same node has learned, for a balancer that has received no more than its first list.
    Memory(Box<Memory>),
    /// The client left and needs no answer.
    ClientLeft(RequestId),
    /// A timer set by [`Action::Timer`] expired; holds its token.
    Timer(u64),
    /// A probe ended.
    ProbeEnded {
        /// The probed backend.
        backend: BackendId,
        /// How the probe ended.
        outcome: Outcome,
        /// Time since the probe was sent.
        elapsed_ms: f64,
        /// The backend's report of its load, as far as it gave one.
        load: Load,
    },
    /// An update that the nodes share. From the first one on, observations are wanted.
    Shared(SharedUpdate),
    /// Part of its usual weight that each zone has, by the zone's number. It is 1 for a zone without a value, and close
    /// to 0 for a zone that is out of use.
    ZoneWeights(Vec<f64>),
    /// A message from another node.
    PeerMessage {
        /// Number of the sender.
        from: u32,
        /// Content of the message.
        bytes: Vec<u8>,
    },
}

/// What the host must do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt. The attempts of a request are numbered from 0 in this order.
    Send {
        /// The request.
        id: RequestId,
        /// Backend to send to.
        backend: BackendId,
        /// Time-out of the attempt.
        timeout_ms: f64,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// The request.
        id: RequestId,
        /// Number of the attempt.
        attempt: u32,
    },
    /// Final answer: the request is refused, and another try does no harm.
    Refuse {
        /// The request.
        id: RequestId,
        /// Time after which the client should come back.
        retry_after_ms: f64,
    },
    /// Final answer: the request failed, and another try may do harm.
    Fail(RequestId),
    /// Set a timer that ends in [`Event::Timer`].
    Timer {
        /// Token that identifies the timer in the event.
        token: u64,
        /// Time at which the timer expires.
        at_ms: f64,
    },
    /// Probe a backend.
    Probe(BackendId),
    /// Close the idle connections to a backend.
    CloseIdleConnections(BackendId),
    /// Send a message of at most 256 bytes to another node, or to all other nodes.
    SendPeerMessage {
        /// Number of the receiver; `None` for all.
        to: Option<u32>,
        /// Content of the message.
        bytes: Vec<u8>,
    },
    /// Share an observation with the other nodes. Returned only after an [`Event::Shared`].
    ShareObservation(Observation),
    /// Subscribe to the list, or end the subscription.
    Watch(bool),
    /// Write a message to the log.
    Log(LogNote),
}
