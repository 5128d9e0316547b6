//! Scenario files: the fleet, its load, faults with their times, and the expected results.
//! `docs/scenarios.md` describes every key.

use daleturn::files::read_text;
use daleturn::tomlfile::{self, TomlError};
use serde::{Deserialize, Serialize};
use std::path::Path;
use toml::Spanned;

/// Maximum size of a scenario file, in bytes.
const MAX_FILE_BYTES: u64 = 1024 * 1024;
/// Minimum duration of a planned restart, in seconds: the server drains for the first second.
pub const MIN_RESTART_S: f64 = 1.5;

/// A scenario.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Scenario {
    /// Name: letters, digits and dashes.
    pub name: String,
    /// Purpose of the scenario.
    pub about: String,
    /// Seed used if none is given on the command line.
    pub seed: u64,
    /// Time for which clients arrive, in seconds.
    pub seconds: f64,
    /// Nodes and servers.
    pub fleet: Fleet,
    /// Client load.
    pub load: Load,
    /// Request classes; [`default_classes`] if empty.
    pub class: Vec<Class>,
    /// Tenants; one without a quota if empty.
    pub tenant: Vec<Tenant>,
    /// The discovery service.
    pub discovery: Discovery,
    /// Network delays and losses.
    pub net: Net,
    /// What nodes may do, and the limits of the operators' rules.
    pub rules: Rules,
    /// The release that a fault of kind `release` starts.
    pub release: Release,
    /// Faults to inject.
    pub trouble: Vec<Fault>,
    /// Expected results.
    pub expect: Expect,
    /// The node's own configuration file, passed to each node as `DALETURN_CONFIG`.
    pub product: toml::Table,
}

/// Table `[fleet]`.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fleet {
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Number of nodes, distributed over the zones in turn.
    pub nodes: usize,
    /// Number of servers, distributed over the zones in turn.
    pub servers: usize,
    /// Names under which discovery lists each server, for a long list with few servers. Only for runs with
    /// real processes.
    pub names: usize,
    /// Cores of a server.
    pub cores: f64,
    /// Range from which the speed of a server's cores is drawn; 1 is the reference speed in which work is
    /// measured.
    pub speed: [f64; 2],
    /// Requests that a server processes at the same time, per core.
    pub slots_per_core: f64,
    /// Requests that a server may queue, per core.
    pub queue_per_core: f64,
    /// Loss of capacity by overload: with n requests held beyond `thrash_at` per core, a server's capacity
    /// is divided by 1 + n * `thrash`.
    pub thrash: f64,
    /// Requests held per core above which a server loses capacity.
    pub thrash_at: f64,
    /// Share of its capacity that a server has when it starts.
    pub cold_from: f64,
    /// Time until a started server has its full capacity, in seconds.
    pub cold_s: f64,
    /// Share of a request's work that a server saves if it knows the key.
    pub key_saving: f64,
    /// Time for which a server remembers a key, in seconds.
    pub key_s: f64,
    /// Number of keys that a server remembers.
    pub keys: usize,
    /// True if cancelling a request also stops it when it is being processed, not only while it is queued.
    pub cancel_stops: bool,
    /// Maximum number of connections to a server.
    pub connections: usize,
    /// Work of accepting a connection at a server, in microseconds.
    pub handshake_us: f64,
    /// Work of answering a probe at a server, in microseconds.
    pub probe_us: f64,
    /// Interval at which a server updates the load that it reports, in milliseconds.
    pub report_ms: f64,
    /// Limit on a node's open file descriptors.
    pub sockets: usize,
    /// Memory limit that a node is configured with, in MB.
    pub memory_mb: u64,
    /// True if each node is pinned to a core, in turn.
    pub pin: bool,
    /// Minimum age of the saved state that a restarted node finds, in seconds. Only for runs in virtual
    /// time in which nodes keep state.
    pub store_old_s: f64,
}

impl Default for Fleet {
    fn default() -> Fleet {
        Fleet {
            zones: ["monza-a", "monza-b", "seregno-a", "seregno-b"].map(String::from).to_vec(),
            nodes: 4,
            servers: 12,
            names: 1,
            cores: 2.0,
            speed: [0.85, 1.7],
            slots_per_core: 4.0,
            queue_per_core: 20.0,
            thrash: 0.02,
            thrash_at: 12.0,
            cold_from: 0.35,
            cold_s: 6.0,
            key_saving: 0.5,
            key_s: 5.0,
            keys: 400,
            cancel_stops: true,
            connections: 1200,
            handshake_us: 300.0,
            probe_us: 150.0,
            report_ms: 500.0,
            sockets: 512,
            memory_mb: 192,
            pin: false,
            store_old_s: 0.0,
        }
    }
}

/// Table `[load]`.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Load {
    /// First tries per second; if 0, `of_capacity` applies.
    pub rate: f64,
    /// Load as a share of the capacity of all warm servers, by mean work.
    pub of_capacity: f64,
    /// Factor on the work of every class. Below 1, there are more requests with less work each.
    pub work: f64,
    /// Skew of the load over the zones: 0 for even load, 1 for nearly all of it from the first zone.
    pub zone_skew: f64,
    /// Number of distinct keys.
    pub keys: u64,
    /// Exponent of the keys' Zipf distribution; 0 for a uniform one.
    pub zipf: f64,
    /// Tries after the first one.
    pub retries: u32,
    /// When a client retries: `none`, `at-once`, `fixed` or `exp`.
    pub backoff: Backoff,
    /// Base delay before a retry, in milliseconds.
    pub backoff_ms: f64,
    /// Share of the clients that honour Retry-After.
    pub honour: f64,
    /// Share of its deadline that a client waits for any try but the last.
    pub try_share: f64,
    /// Share of the requests with a hint of their cost.
    pub hints: f64,
    /// Above 0, number of clients in a closed loop, each of which sends its next request when the last one
    /// is answered; used to find the maximum throughput. `rate` then only determines the requests that are
    /// drawn.
    pub closed: usize,
    /// Connections to each node that are opened at the start and stay idle.
    pub idle: usize,
}

impl Default for Load {
    fn default() -> Load {
        Load {
            rate: 0.0,
            of_capacity: 0.5,
            work: 1.0,
            zone_skew: 0.0,
            keys: 600,
            zipf: 0.8,
            retries: 1,
            backoff: Backoff::Fixed,
            backoff_ms: 100.0,
            honour: 0.9,
            try_share: 0.8,
            hints: 0.8,
            closed: 0,
            idle: 0,
        }
    }
}

/// When a client retries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Backoff {
    /// Never.
    None,
    /// Without a delay.
    AtOnce,
    /// After a constant delay.
    Fixed,
    /// After a delay that doubles with each retry.
    Exp,
}

/// An entry of `[[class]]`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Class {
    /// Name of the class.
    pub name: String,
    /// Weight of the class among all requests.
    pub share: f64,
    /// Range from which a request's work is drawn, in milliseconds of a core of speed 1.
    pub work_ms: [f64; 2],
    /// Latency objective: answers within this time earn the full worth, in milliseconds.
    pub aim_ms: f64,
    /// Time that the client waits at most, in milliseconds.
    pub deadline_ms: f64,
    /// Worth per unit of work.
    pub worth: f64,
    /// Share of the worth that an answer after the objective and before the deadline earns.
    pub late: f64,
    /// How often a request may run: `safe`, `once` or `keyed`.
    pub repeat: Repeat,
    /// Time for which the servers of a zone drop a repeated request of a keyed class, in milliseconds.
    pub key_ttl_ms: f64,
}

/// How often a request of a class may run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    /// Any number of times.
    #[default]
    Safe,
    /// At most once.
    Once,
    /// Any number of times in one zone within `key_ttl_ms`, because its servers drop the repeats.
    Keyed,
}

/// Returns the classes that the operators' pages define.
pub fn default_classes() -> Vec<Class> {
    let class = |name: &str, share, work_ms, aim_ms, deadline_ms, worth, late, repeat| Class {
        name: name.to_owned(),
        share,
        work_ms,
        aim_ms,
        deadline_ms,
        worth,
        late,
        repeat,
        key_ttl_ms: if repeat == Repeat::Keyed { 1200.0 } else { 0.0 },
    };
    vec![
        class("catalogue", 0.34, [34.0, 62.0], 300.0, 600.0, 1.0, 0.4, Repeat::Safe),
        class("draft-save", 0.26, [46.0, 84.0], 300.0, 750.0, 1.0, 0.4, Repeat::Safe),
        class("order", 0.22, [76.0, 140.0], 400.0, 1000.0, 8.0, 0.4, Repeat::Once),
        class("quote", 0.18, [54.0, 97.0], 400.0, 2000.0, 3.0, 0.4, Repeat::Keyed),
    ]
}

/// An entry of `[[tenant]]`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Tenant {
    /// Name of the tenant.
    pub name: String,
    /// Weight of the tenant among all requests.
    pub share: f64,
    /// Requests per second within the tenant's quota; 0 for no quota.
    pub quota_rps: f64,
}

/// Table `[discovery]`.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Discovery {
    /// True if nodes may call discovery only when their decision logic asks for the list; otherwise they
    /// watch it continuously, at no cost.
    pub asked: bool,
    /// Range from which the delay is drawn until discovery notices a change of a server, in seconds.
    pub notice_s: [f64; 2],
    /// Time that discovery spends on one call, in milliseconds; calls are processed one at a time.
    pub call_ms: f64,
    /// Maximum time that a call waits for its turn, in milliseconds; after that it fails.
    pub timeout_ms: f64,
}

impl Default for Discovery {
    fn default() -> Discovery {
        Discovery { asked: true, notice_s: [0.5, 1.5], call_ms: 4.0, timeout_ms: 2000.0 }
    }
}

/// Table `[net]`.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Net {
    /// One-way delay within a zone, in milliseconds.
    pub same_ms: f64,
    /// One-way delay between zones, in milliseconds.
    pub cross_ms: f64,
    /// One-way delay from a client to its node, in milliseconds.
    pub client_ms: f64,
    /// Range from which the delay of a datagram between nodes is drawn, in milliseconds.
    pub peer_ms: [f64; 2],
    /// Share of the datagrams between nodes that are lost.
    pub peer_loss: f64,
    /// Time until the front end notices that a node has failed, in seconds.
    pub front_s: f64,
    /// False to disable the emulated network between nodes and servers: with real processes there are no
    /// delays, and in virtual time cut links do not stop requests.
    pub relays: bool,
}

impl Default for Net {
    fn default() -> Net {
        Net {
            same_ms: 0.0,
            cross_ms: 0.6,
            client_ms: 0.0,
            peer_ms: [1.6, 20.0],
            peer_loss: 0.01,
            front_s: 1.5,
            relays: true,
        }
    }
}

/// Table `[release]`.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Release {
    /// What is released: `servers`, or `nodes`, each of which then runs under a supervisor.
    pub what: ReleaseTarget,
    /// For a release of nodes, the behaviour of the new build.
    pub build: NextBuild,
    /// Number of members on the new version after each stage.
    pub stages: Vec<usize>,
    /// Maximum number of members out of service at once.
    pub out: usize,
    /// Maximum number of members out of service at once in one zone.
    pub out_per_zone: usize,
    /// Share of the members that must be in service, in percent.
    pub in_percent: u32,
    /// Time for a restarted member to warm up, in seconds.
    pub warm_s: u64,
    /// Observation time after each stage, in seconds.
    pub watch_s: u64,
    /// Minimum number of requests per version group that the gate needs.
    pub least: u64,
    /// What the release does when its gate fails: `halt` or `back`.
    pub breach: String,
    /// Time that the restart of a server takes, in seconds.
    pub restart_s: f64,
    /// Share of the requests that the new version answers with an error.
    pub errors: f64,
    /// Factor by which the new version is slower.
    pub slower: f64,
    /// Number of servers on the new version from which on it shows these faults.
    pub bad_from: usize,
    /// Servers that fail to start with the new version.
    pub broken: Vec<String>,
}

impl Default for Release {
    fn default() -> Release {
        Release {
            what: ReleaseTarget::Servers,
            build: NextBuild::Good,
            stages: vec![1, 4, 12],
            out: 1,
            out_per_zone: 1,
            in_percent: 75,
            warm_s: 1,
            watch_s: 4,
            least: 100,
            breach: "halt".to_owned(),
            restart_s: 0.5,
            errors: 0.0,
            slower: 1.0,
            bad_from: 0,
            broken: Vec::new(),
        }
    }
}

/// What is released.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReleaseTarget {
    /// The servers.
    Servers,
    /// The nodes, one after the other.
    Nodes,
}

/// Behaviour of the new build in a release of nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum NextBuild {
    /// Works: the same build as before, or the one given with `--next`.
    Good,
    /// Exits immediately.
    Crash,
    /// Starts, but never reports that it is healthy.
    Mute,
    /// Reports that it is healthy, and then serves with time limits that are far too short.
    Bad,
}

/// Table `[rules]`.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rules {
    /// Maximum number of attempts per request.
    pub attempts: u32,
    /// True if nodes may probe servers.
    pub probes: bool,
    /// True if nodes may send each other messages.
    pub peers: bool,
    /// True if a second copy of a request may run while the first is in flight.
    pub second_copies: bool,
    /// Time after a node learned that a server drains within which it may still send to it, in
    /// milliseconds.
    pub drain_ms: f64,
    /// Work sent to a cold server, as a multiple of its capacity, above which it falls over ...
    pub fall_multiple: f64,
    /// ... if sent within this time, in seconds.
    pub fall_s: f64,
    /// Price of an attempt that crosses zones, as a share of a request's worth.
    pub cross_price: f64,
}

impl Default for Rules {
    fn default() -> Rules {
        Rules {
            attempts: 3,
            probes: true,
            peers: true,
            second_copies: false,
            drain_ms: 500.0,
            fall_multiple: 3.0,
            fall_s: 2.0,
            cross_price: 0.06,
        }
    }
}

/// An entry of `[[trouble]]`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// Start, in seconds.
    pub at_s: f64,
    /// Duration in seconds; if 0, a single event, or until the end of the run, depending on the kind.
    pub for_s: f64,
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Parties that the fault affects: `s3`, `n1`, `zone:monza-a`, `part:0.25` or `all`.
    pub on: Vec<Spanned<String>>,
    /// The other end of a faulty link: `servers`, `clients`, `discovery`, `nodes`, or as in `on`.
    pub to: Vec<Spanned<String>>,
    /// Magnitude, in the unit that the kind defines.
    pub size: f64,
    /// Text of an operator's call, an order to a release, or a tenant's name, depending on the kind.
    pub say: String,
}

/// Kinds of faults.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// No fault: a mark on the time line.
    #[default]
    Mark,
    /// Servers are slower by the factor `size`.
    ServerSlow,
    /// Servers accept requests and never answer.
    ServerSilent,
    /// Servers answer a share `size` of the requests with an error immediately.
    ServerErrors,
    /// Servers reset the connection of a share `size` of the requests after processing them.
    ServerResets,
    /// The servers' processes are down and connections are refused; at the end they start cold.
    ServerDown,
    /// The servers' machines are gone and connections get no response; at the end they start cold.
    ServerVanish,
    /// Servers pause for `size` ms in every second.
    ServerPauses,
    /// Another program takes a share `size` of the servers' cores.
    ServerNeighbour,
    /// Servers reset new connections.
    ServerFull,
    /// The load that servers report is `size` s old.
    ServerReportsLate,
    /// Servers drain, as listed by discovery, and return at the end.
    ServerDrain,
    /// Servers drain for a second, stop, and start cold after `for_s`.
    ServerRestart,
    /// Servers are replaced by machines with other names immediately.
    ServerReplace,
    /// Servers send every answer twice.
    ServerTwice,
    /// The links between `on` and `to` drop everything in both directions.
    LinkCut,
    /// The links drop what `on` sends to `to`; the other direction works.
    LinkOneWay,
    /// The links take `size` ms longer one way.
    LinkDelay,
    /// A share `size` of the datagrams between nodes is lost.
    PeerLoss,
    /// A share `size` of the datagrams between nodes arrives twice, and late.
    PeerDouble,
    /// Nodes get SIGKILL and start again after `for_s`.
    NodeKill,
    /// Nodes get SIGKILL, their disks are left as after a power loss, and they start again after `for_s`.
    NodePowerLoss,
    /// Nodes get SIGKILL one after the other, `size` times within `for_s` at random times, and start again
    /// immediately.
    NodeCrashes,
    /// Each sync of the nodes' disks takes `size` ms longer.
    DiskSlow,
    /// The nodes' disks are full.
    DiskFull,
    /// Syncs of the nodes' disks fail, and the data to be synced is lost.
    DiskBroken,
    /// The nodes' disks are read-only.
    DiskReadOnly,
    /// Nodes get SIGSTOP, and SIGCONT after `for_s`.
    NodeFreeze,
    /// Nodes get SIGTERM; they start again after they have ended and `for_s` has passed.
    NodeStop,
    /// A new process of each node starts next to the old one and takes over.
    NodeUpgrade,
    /// Nodes get SIGHUP with an unchanged configuration.
    NodeReload,
    /// An operator sends the call `say` to nodes.
    NodeCall,
    /// The release described by `[release]` starts.
    Release,
    /// The release's controller is killed; the next one starts after `for_s`.
    ReleaseKill,
    /// The release's controller is frozen for `for_s`.
    ReleaseFreeze,
    /// An operator gives the release the order `say`: `halt`, `resume`, `back` or `abandon`.
    ReleaseOrder,
    /// A second release is started, which must be rejected.
    ReleaseSecond,
    /// Discovery answers calls with 503.
    DiscoveryDown,
    /// Discovery does not answer.
    DiscoverySilent,
    /// Each call to discovery takes `size` times as long.
    DiscoverySlow,
    /// Discovery moves to another address; nodes learn it by SIGHUP.
    DiscoveryMove,
    /// All clients send `size` times as many requests.
    Burst,
    /// Clients of the zones in `on` send `size` times as many requests.
    ZoneBurst,
    /// Tenant `say` sends `size` times as many requests.
    TenantFlood,
    /// A share `size` of the clients sends its requests in small pieces.
    SlowClients,
    /// A share `size` of the clients sends requests that every server answers with 400.
    WrongRequests,
}

impl FaultKind {
    /// Returns true if the fault affects nodes rather than servers.
    pub fn affects_nodes(self) -> bool {
        matches!(
            self,
            FaultKind::NodeKill
                | FaultKind::NodePowerLoss
                | FaultKind::NodeCrashes
                | FaultKind::NodeFreeze
                | FaultKind::NodeStop
                | FaultKind::NodeUpgrade
                | FaultKind::NodeReload
                | FaultKind::NodeCall
        ) || self.affects_disks()
    }

    /// Returns true if the fault affects the disks of nodes.
    pub fn affects_disks(self) -> bool {
        matches!(
            self,
            FaultKind::DiskSlow | FaultKind::DiskFull | FaultKind::DiskBroken | FaultKind::DiskReadOnly
        )
    }
}

/// Table `[expect]`; without it, only the rules must be kept.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Expect {
    /// Minimum share of the worth that is served.
    pub worth: Option<f64>,
    /// Minimum share in the worst 5 s.
    pub worst_5s: Option<f64>,
    /// Minimum share in the worst class.
    pub worst_class: Option<f64>,
    /// Minimum share for the worst tenant.
    pub worst_tenant: Option<f64>,
    /// Maximum number of attempts per try that had at least one.
    pub attempts: Option<f64>,
    /// Maximum number of attempts that cross zones, per request.
    pub crossings: Option<f64>,
    /// Maximum time from the end of each fault until service recovers, in seconds.
    pub recover_s: Option<f64>,
    /// Final state of the release: `done`, `back`, `halted` or `abandoned`.
    pub release: Option<String>,
    /// Members on the new version at the end.
    pub on_new: Option<usize>,
    /// Maximum number of restarts by the release.
    pub restarts: Option<usize>,
    /// Names of rules that may be broken in this run, for baselines.
    pub allow: Vec<String>,
    /// Lateness of the lab itself, p99, at which the run does not count, in milliseconds.
    pub late_ms: Option<f64>,
}

impl Scenario {
    /// Reads a scenario file.
    ///
    /// # Errors
    /// Returns an error if the file cannot be read or is not a valid scenario; the error names the line and
    /// the key.
    pub fn read(path: &Path) -> Result<Scenario, TomlError> {
        Scenario::parse(&read_text(path, MAX_FILE_BYTES)?)
    }

    /// Parses the text of a scenario.
    ///
    /// # Errors
    /// Returns an error that names the line and the key if the text is not a valid scenario.
    pub fn parse(text: &str) -> Result<Scenario, TomlError> {
        let mut scenario: Scenario = tomlfile::parse(text)?;
        if scenario.class.is_empty() {
            scenario.class = default_classes();
        }
        if scenario.tenant.is_empty() {
            scenario.tenant = vec![Tenant { name: "all".to_owned(), share: 1.0, quota_rps: 0.0 }];
        }
        scenario.validate(text)?;
        Ok(scenario)
    }

    fn validate(&self, text: &str) -> Result<(), TomlError> {
        let line_of = |key: &str| {
            let last_part = key.rsplit('.').next().unwrap_or(key);
            let at = text.lines().position(|l| l.trim_start().starts_with(last_part));
            at.map_or(1, |n| n + 1)
        };
        let invalid = |key: &str, reason: &str| {
            Err(TomlError::Content { line: line_of(key), key: key.to_owned(), reason: reason.to_owned() })
        };
        if self.name.is_empty() || !self.name.chars().all(|c| c.is_ascii_alphanumeric() || c == '-') {
            return invalid("name", "must be a word of letters, digits and dashes");
        }
        let fleet = &self.fleet;
        let ranges = [
            ("seconds", self.seconds, 1.0, 86_400.0),
            ("fleet.nodes", fleet.nodes as f64, 1.0, 100_000.0),
            ("fleet.servers", fleet.servers as f64, 1.0, 100_000.0),
            ("fleet.names", fleet.names as f64, 1.0, 10_000.0),
            ("fleet.cores", fleet.cores, 0.1, 1024.0),
            ("fleet.cold_from", fleet.cold_from, 0.01, 1.0),
            ("fleet.cold_s", fleet.cold_s, 0.0, 3600.0),
            ("fleet.store_old_s", fleet.store_old_s, 0.0, 1e6),
            ("fleet.key_saving", fleet.key_saving, 0.0, 0.99),
            ("fleet.slots_per_core", fleet.slots_per_core, 0.1, 1e4),
            ("fleet.queue_per_core", fleet.queue_per_core, 0.0, 1e6),
            ("load.rate", self.load.rate, 0.0, 1e7),
            ("load.of_capacity", self.load.of_capacity, 0.0, 100.0),
            ("load.work", self.load.work, 0.001, 1000.0),
            ("load.zone_skew", self.load.zone_skew, 0.0, 1.0),
            ("load.zipf", self.load.zipf, 0.0, 5.0),
            ("load.try_share", self.load.try_share, 0.05, 1.0),
            ("load.honour", self.load.honour, 0.0, 1.0),
            ("net.peer_loss", self.net.peer_loss, 0.0, 1.0),
            ("discovery.call_ms", self.discovery.call_ms, 0.0, 60_000.0),
            ("rules.fall_s", self.rules.fall_s, 0.0, 3600.0),
            ("rules.attempts", f64::from(self.rules.attempts), 1.0, 100.0),
        ];
        for (key, value, least, most) in ranges {
            if !(least..=most).contains(&value) {
                return invalid(key, &format!("{value} is not within {least} to {most}"));
            }
        }
        if fleet.zones.is_empty()
            || fleet.zones.iter().any(|z| fleet.zones.iter().filter(|o| *o == z).count() > 1)
        {
            return invalid("fleet.zones", "must name at least one zone, and none twice");
        }
        let is_range = |p: [f64; 2], least: f64| p[0] >= least && p[1] >= p[0] && p[1].is_finite();
        if !is_range(fleet.speed, 0.01) {
            return invalid("fleet.speed", "must be two numbers, the smaller one first");
        }
        for (n, class) in self.class.iter().enumerate() {
            let is_valid = is_range(class.work_ms, 0.01)
                && class.aim_ms > 0.0
                && class.deadline_ms >= class.aim_ms
                && class.share >= 0.0;
            if !is_valid || class.name.is_empty() {
                return invalid(
                    &format!("class[{n}].name"),
                    "needs a name, work_ms, aim_ms and a later deadline_ms",
                );
            }
        }
        for (n, fault) in self.trouble.iter().enumerate() {
            let key = format!("trouble[{n}]");
            if !(fault.at_s >= 0.0 && fault.for_s >= 0.0 && fault.size.is_finite()) {
                return invalid(&key, "at_s and for_s must not be below 0");
            }
            if fault.kind == FaultKind::ServerRestart && fault.for_s < MIN_RESTART_S {
                return invalid(
                    &key,
                    "a server-restart drains for a second first: for_s must be at least 1.5",
                );
            }
            for word in fault.on.iter().chain(&fault.to) {
                if let Err(reason) = self.check_party(word.get_ref()) {
                    let line = tomlfile::line(text, word.span().start);
                    return Err(TomlError::Content { line, key: format!("{key}.on"), reason });
                }
            }
        }
        Ok(())
    }

    /// Checks that a word of `on` or `to` names parties of this fleet.
    fn check_party(&self, word: &str) -> Result<(), String> {
        let number = |prefix: char, most: usize| {
            word.strip_prefix(prefix).and_then(|n| n.parse::<usize>().ok()).map(|n| n < most)
        };
        match word {
            "all" | "servers" | "nodes" | "clients" | "discovery" => return Ok(()),
            _ => {}
        }
        if let Some(zone) = word.strip_prefix("zone:") {
            let known = self.fleet.zones.iter().any(|z| z == zone);
            return if known { Ok(()) } else { Err(format!("there is no zone {zone:?}")) };
        }
        if let Some(part) = word.strip_prefix("part:") {
            let fits = part.parse::<f64>().is_ok_and(|p| (0.0..=1.0).contains(&p));
            return if fits { Ok(()) } else { Err(format!("{part:?} is not a share between 0 and 1")) };
        }
        match number('s', self.fleet.servers).or(number('n', self.fleet.nodes)) {
            Some(true) => Ok(()),
            Some(false) => Err(format!("there is no {word}: they are numbered from 0")),
            None => Err(format!("{word:?} is neither all, zone:NAME, part:0.x, sN nor nN")),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn error(text: &str) -> String {
        Scenario::parse(text).unwrap_err().to_string()
    }

    #[test]
    fn a_minimal_file_describes_the_operators_fleet() {
        let s = Scenario::parse("name = \"x\"\nseconds = 5\n").unwrap();
        assert_eq!((s.fleet.nodes, s.fleet.servers, s.class.len()), (4, 12, 4));
        assert_eq!(s.class[2].repeat, Repeat::Once);
    }

    #[test]
    fn an_error_names_the_line_and_the_key() {
        assert!(error("seconds = 5\n").contains("name: must be"));
        assert!(error("name = \"x\"\nseconds = 0\n").starts_with("line 2: seconds: 0 is not within"));
        assert!(error("name = \"x\"\nseconds = 5\nfoo = 1\n").starts_with("line 3: foo: unknown field"));
        let trouble =
            |rest: &str| error(&format!("name = \"x\"\nseconds = 5\n[[trouble]]\nat_s = 1\n{rest}\n"));
        assert!(trouble("kind = \"server-bad\"").starts_with("line 5: trouble[0].kind: unknown variant"));
        let unknown_server = trouble("kind = \"server-down\"\non = [\"s0\", \"s12\"]");
        assert_eq!(unknown_server, "line 6: trouble[0].on: there is no s12: they are numbered from 0");
        assert!(trouble("on = [\"zone:b\"]").contains("there is no zone \"b\""));
        assert!(trouble("on = [\"part:2\"]").contains("not a share between"));
        assert!(trouble("on = [\"x\"]").contains("neither all"));
        let too_short = trouble("kind = \"server-restart\"\nfor_s = 0.7\non = [\"s0\"]");
        assert!(too_short.contains("drains for a second first"), "{too_short}");
    }
}
