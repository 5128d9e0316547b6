//! A day as a file: fleet, load, troubles on a time line, and what is expected of it. `docs/scenarios.md` tells
//! every key.

use daleturn::files::read_text;
use daleturn::tomlfile::{self, TomlError};
use serde::{Deserialize, Serialize};
use std::path::Path;
use toml::Spanned;

/// A longer file is no scenario.
const LONGEST: u64 = 1024 * 1024;
/// A planned restart is over no sooner.
pub const LEAST_RESTART_S: f64 = 1.5;

/// A day.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Scenario {
    /// Its name, in one word.
    pub name: String,
    /// What it shows.
    pub about: String,
    /// The seed that holds where none is given.
    pub seed: u64,
    /// How long clients come, in seconds.
    pub seconds: f64,
    /// Nodes and servers.
    pub fleet: Fleet,
    /// What clients ask, and how.
    pub load: Load,
    /// Classes of requests; those of the operators' pages where there are none.
    pub class: Vec<Class>,
    /// Tenants; one without a quota where there are none.
    pub tenant: Vec<Tenant>,
    /// The list of servers.
    pub discovery: Discovery,
    /// Delays.
    pub net: Net,
    /// What nodes may do, and the operators' rules.
    pub rules: Rules,
    /// The release of a new version of the servers, begun by the trouble `release`.
    pub release: Release,
    /// What goes wrong.
    pub trouble: Vec<Fault>,
    /// What the day must bring.
    pub expect: Expect,
    /// The product's own configuration, handed to each node as `DALETURN_CONFIG`.
    pub product: toml::Table,
}

/// `[fleet]`.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fleet {
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Nodes, dealt out over the zones.
    pub nodes: usize,
    /// Servers, dealt out over the zones.
    pub servers: usize,
    /// Names under which discovery lists each server: a long list on few servers. On real processes only.
    pub names: usize,
    /// Cores of a server.
    pub cores: f64,
    /// Speed of a core, drawn between these; 1 is the yardstick that work is told in.
    pub speed: [f64; 2],
    /// Requests in work at a server, for each core.
    pub slots_per_core: f64,
    /// Requests that may wait at a server, for each core.
    pub queue_per_core: f64,
    /// Part of its capacity that a server loses for each request held beyond `thrash_at` for each core.
    pub thrash: f64,
    /// Requests held for each core from which it thrashes.
    pub thrash_at: f64,
    /// Part of its capacity that a server starts with.
    pub cold_from: f64,
    /// Seconds until it is warm.
    pub cold_s: f64,
    /// Part of the work that a server saves that met the key lately.
    pub key_saving: f64,
    /// Seconds for which it remembers a key.
    pub key_s: f64,
    /// Keys that it remembers.
    pub keys: usize,
    /// A cancel stops what is in work, too, and not only what waits.
    pub cancel_stops: bool,
    /// Connections that a server takes.
    pub connections: usize,
    /// Work of a handshake at a server, in microseconds.
    pub handshake_us: f64,
    /// Work of a probe at a server, in microseconds.
    pub probe_us: f64,
    /// How often a server renews what it says of its load, in milliseconds.
    pub report_ms: f64,
    /// Limit on a node's descriptors.
    pub sockets: usize,
    /// Limit on a node's memory, in MB, as it is told.
    pub memory_mb: u64,
    /// Pins each node to a core, in turns.
    pub pin: bool,
    /// In virtual time, where nodes keep state: what a node finds at its start was written so long before its death.
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

/// `[load]`.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Load {
    /// First tries a second; where it is 0, `of_capacity` holds.
    pub rate: f64,
    /// Part of what all warm servers together can do, by mean work.
    pub of_capacity: f64,
    /// Multiplies the work of every class: below 1 a day has more requests of less work.
    pub work: f64,
    /// How unevenly zones ask: 0 alike, 1 nearly all from the first.
    pub zone_skew: f64,
    /// Distinct keys.
    pub keys: u64,
    /// Exponent of their Zipf law; 0 for alike.
    pub zipf: f64,
    /// Tries beyond the first.
    pub retries: u32,
    /// When a client comes back: `none`, `at-once`, `fixed` or `exp`.
    pub backoff: Backoff,
    /// Its wait, in milliseconds.
    pub backoff_ms: f64,
    /// Part of the clients that heed Retry-After.
    pub honour: f64,
    /// Part of its time that a client gives its first try.
    pub try_share: f64,
    /// Part of the requests that come with a hint of their cost.
    pub hints: f64,
    /// Above 0 clients come as a closed loop of so many, each asking anew once it was answered: to find the most that
    /// is served. `rate` then only draws what they ask for.
    pub closed: usize,
    /// Connections to each node that are opened at the beginning and carry nothing.
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

/// When a client comes back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Backoff {
    /// Never.
    None,
    /// Without a pause.
    AtOnce,
    /// After the same time each time.
    Fixed,
    /// After twice the time each time.
    Exp,
}

/// `[[class]]`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// Part of the requests.
    pub share: f64,
    /// Work drawn between these, in milliseconds of a core of speed 1.
    pub work_ms: [f64; 2],
    /// Answers within this earn full worth, in milliseconds.
    pub aim_ms: f64,
    /// The client's time, in milliseconds.
    pub deadline_ms: f64,
    /// Worth of a unit of its work.
    pub worth: f64,
    /// Part of the worth kept by an answer after the aim.
    pub late: f64,
    /// How often it may run: `safe`, `once` or `keyed`.
    pub repeat: Repeat,
    /// How long servers of a zone drop a repeat of a keyed one, in milliseconds.
    pub key_ttl_ms: f64,
}

/// How often a class may run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    /// Any number of times.
    #[default]
    Safe,
    /// Never twice.
    Once,
    /// Repeats are dropped in a zone for a time.
    Keyed,
}

/// The classes of the operators' pages.
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

/// `[[tenant]]`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Part of the requests.
    pub share: f64,
    /// Requests a second within its share; 0 for no quota.
    pub quota_rps: f64,
}

/// `[discovery]`.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Discovery {
    /// Nodes ask for the list, and pace that; else a watch costs nothing.
    pub asked: bool,
    /// How late it learns of a change, drawn between these, in seconds.
    pub notice_s: [f64; 2],
    /// Time that one call takes of it, in milliseconds; calls wait in turn.
    pub call_ms: f64,
    /// A call that waits longer fails, in milliseconds.
    pub timeout_ms: f64,
}

impl Default for Discovery {
    fn default() -> Discovery {
        Discovery { asked: true, notice_s: [0.5, 1.5], call_ms: 4.0, timeout_ms: 2000.0 }
    }
}

/// `[net]`.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Net {
    /// One way within a zone, in milliseconds.
    pub same_ms: f64,
    /// One way between zones, in milliseconds.
    pub cross_ms: f64,
    /// One way from a client to its node, in milliseconds.
    pub client_ms: f64,
    /// Datagrams between nodes take a time drawn between these, in milliseconds.
    pub peer_ms: [f64; 2],
    /// Part of the datagrams that are lost.
    pub peer_loss: f64,
    /// How late the front notices a dead node, in seconds.
    pub front_s: f64,
    /// Without relays servers are met directly, and no link can fail.
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

/// `[release]`.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Release {
    /// What is released: `servers`, or `nodes`, each of which then runs under a supervisor.
    pub what: ReleaseTarget,
    /// Of a release of nodes, what the next build is like.
    pub build: NextBuild,
    /// Servers on the new version after each stage.
    pub stages: Vec<usize>,
    /// Servers out at once.
    pub out: usize,
    /// And in one zone.
    pub out_per_zone: usize,
    /// Servers that must be in, in percent.
    pub in_percent: u32,
    /// Time to warm, in seconds.
    pub warm_s: u64,
    /// Time to watch after each stage, in seconds.
    pub watch_s: u64,
    /// Requests that the gate wants of each group.
    pub least: u64,
    /// What a breach leads to: `halt` or `back`.
    pub breach: String,
    /// Time that a restart takes, in seconds.
    pub restart_s: f64,
    /// Part of the requests that the new version answers with an error.
    pub errors: f64,
    /// How many times slower it is.
    pub slower: f64,
    /// It is bad only once so many servers have it.
    pub bad_from: usize,
    /// Servers that do not start with it.
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
    /// Servers.
    Servers,
    /// The program itself, node by node.
    Nodes,
}

/// What the next build of the node is like.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum NextBuild {
    /// As the one before, or the one that `--next` names.
    Good,
    /// It ends at once.
    Crash,
    /// It starts and never says yes.
    Mute,
    /// It says yes, and then gives every request far too little time.
    Bad,
}

/// `[rules]`.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rules {
    /// Attempts for a request.
    pub attempts: u32,
    /// Nodes may probe.
    pub probes: bool,
    /// Nodes may send each other messages.
    pub peers: bool,
    /// A second copy may run beside the first.
    pub second_copies: bool,
    /// Nothing new to a server later than this after word of its drain, in milliseconds.
    pub drain_ms: f64,
    /// Sent more than this multiple of what it can do ...
    pub fall_multiple: f64,
    /// ... for this long, a cold server falls over, in seconds.
    pub fall_s: f64,
    /// Price of a crossing for each request, of its worth.
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

/// `[[trouble]]`.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Fault {
    /// When it begins, in seconds.
    pub at_s: f64,
    /// How long it lasts, in seconds; 0 for once, or to the end.
    pub for_s: f64,
    /// What it is.
    pub kind: FaultKind,
    /// Whom it meets: `s3`, `n1`, `zone:monza-a`, `part:0.25`, `all`.
    pub on: Vec<Spanned<String>>,
    /// The other end of a link, where that matters: `servers`, `clients`, `discovery`, `nodes`, or as `on`.
    pub to: Vec<Spanned<String>>,
    /// How much of it; what that counts in is told with each kind.
    pub size: f64,
    /// What is said, for an operator's word or a new file.
    pub say: String,
}

/// What goes wrong.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Nothing: a mark on the time line.
    #[default]
    Mark,
    /// Servers: `size` times slower.
    ServerSlow,
    /// Servers: requests arrive and are never answered.
    ServerSilent,
    /// Servers: a part `size` of the requests is answered with an error at once.
    ServerErrors,
    /// Servers: a part `size` of the connections breaks under a request that has run.
    ServerResets,
    /// Servers: the process is gone, connections are refused; at the end it starts cold.
    ServerDown,
    /// Servers: the machine is gone, connections stay silent; at the end it starts cold.
    ServerVanish,
    /// Servers: stand still for `size` ms every second.
    ServerPauses,
    /// Servers: another program takes a part `size` of the cores.
    ServerNeighbour,
    /// Servers: take no further connection.
    ServerFull,
    /// Servers: their word on their load is `size` s old.
    ServerReportsLate,
    /// Servers: drain, as discovery lists them, and come back.
    ServerDrain,
    /// Servers: drain for a second, restart and return cold after `for_s`.
    ServerRestart,
    /// Servers: are replaced by a machine of another name at once.
    ServerReplace,
    /// Servers: say every answer twice.
    ServerTwice,
    /// Links between `on` and `to`: nothing passes, in no direction.
    LinkCut,
    /// Links: what `on` sends to `to` is lost, the other direction passes.
    LinkOneWay,
    /// Links: `size` ms more, one way.
    LinkDelay,
    /// Datagrams between nodes: a part `size` is lost.
    PeerLoss,
    /// Datagrams between nodes: a part `size` comes twice and late.
    PeerDouble,
    /// Nodes: SIGKILL; they start again after `for_s`.
    NodeKill,
    /// Nodes: SIGKILL, and their disks as a power loss leaves them; they start again after `for_s`.
    NodePowerLoss,
    /// Nodes: SIGKILL `size` times within `for_s` at drawn moments, one node after the other, started again at once.
    NodeCrashes,
    /// Nodes' disks: each sync takes `size` ms longer.
    DiskSlow,
    /// Nodes' disks: there is no room.
    DiskFull,
    /// Nodes' disks: syncs fail, and what they were to keep is lost.
    DiskBroken,
    /// Nodes' disks: nothing can be written.
    DiskReadOnly,
    /// Nodes: SIGSTOP for `for_s`.
    NodeFreeze,
    /// Nodes: SIGTERM; they start again once they have ended, after `for_s` at the earliest.
    NodeStop,
    /// Nodes: the next process starts beside the old one, and takes over.
    NodeUpgrade,
    /// Nodes: SIGHUP with the same file.
    NodeReload,
    /// Nodes: an operator says `say`.
    NodeCall,
    /// A release of the servers begins, as `[release]` says.
    Release,
    /// Its controller is killed; the next one starts after `for_s`.
    ReleaseKill,
    /// Its controller stands still for `for_s`.
    ReleaseFreeze,
    /// A person orders it to `say`: `halt`, `resume`, `back`, `abandon`.
    ReleaseOrder,
    /// A second release is begun, which must be turned down.
    ReleaseSecond,
    /// Discovery: refuses calls with 503.
    DiscoveryDown,
    /// Discovery: answers nothing.
    DiscoverySilent,
    /// Discovery: each call takes `size` times as long.
    DiscoverySlow,
    /// Discovery: answers at another address from here on; nodes are told by SIGHUP.
    DiscoveryMove,
    /// Clients: `size` times as many.
    Burst,
    /// Clients: those of `on`'s zone, `size` times as many.
    ZoneBurst,
    /// Clients: tenant `say` asks `size` times as often.
    TenantFlood,
    /// Clients: a part `size` sends its request byte by byte.
    SlowClients,
    /// Clients: a part `size` more asks for what no server takes, and is answered 400 by each.
    WrongRequests,
}

impl FaultKind {
    /// It meets nodes, not servers.
    pub fn of_nodes(self) -> bool {
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
        ) || self.of_disks()
    }

    /// It meets the disks of nodes.
    pub fn of_disks(self) -> bool {
        matches!(
            self,
            FaultKind::DiskSlow | FaultKind::DiskFull | FaultKind::DiskBroken | FaultKind::DiskReadOnly
        )
    }
}

/// `[expect]`: absent, nothing is expected beyond the rules.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Expect {
    /// Least part of the worth that is served.
    pub worth: Option<f64>,
    /// Least part in the worst 5 s.
    pub worst_5s: Option<f64>,
    /// Least part in the worst class.
    pub worst_class: Option<f64>,
    /// Least part in the worst tenant.
    pub worst_tenant: Option<f64>,
    /// Most attempts for a request that had any.
    pub attempts: Option<f64>,
    /// Most crossings of zones for a request that had an attempt.
    pub crossings: Option<f64>,
    /// Most seconds until service is back after each trouble's end.
    pub recover_s: Option<f64>,
    /// How the release ends: `done`, `back`, `halted`, `abandoned`.
    pub release: Option<String>,
    /// Servers on the new version at the end.
    pub on_new: Option<usize>,
    /// Most restarts of servers by the release.
    pub restarts: Option<usize>,
    /// Rules that may be broken on this day, with a reason: for baselines.
    pub allow: Vec<String>,
    /// Lateness of the lab itself, at the 99th percentile, from which the day does not count, in milliseconds.
    pub late_ms: Option<f64>,
}

impl Scenario {
    /// Reads a file.
    ///
    /// # Errors
    /// It cannot be read, or is no scenario; the line and the key are named.
    pub fn read(path: &Path) -> Result<Scenario, TomlError> {
        Scenario::parse(&read_text(path, LONGEST)?)
    }

    /// Reads a text.
    ///
    /// # Errors
    /// It is no scenario.
    pub fn parse(text: &str) -> Result<Scenario, TomlError> {
        let mut s: Scenario = tomlfile::parse(text)?;
        if s.class.is_empty() {
            s.class = default_classes();
        }
        if s.tenant.is_empty() {
            s.tenant = vec![Tenant { name: "all".to_owned(), share: 1.0, quota_rps: 0.0 }];
        }
        s.check(text)?;
        Ok(s)
    }

    fn check(&self, text: &str) -> Result<(), TomlError> {
        let line_of = |key: &str| {
            let word = key.rsplit('.').next().unwrap_or(key);
            let at = text.lines().position(|l| l.trim_start().starts_with(word));
            at.map_or(1, |n| n + 1)
        };
        let wrong = |key: &str, reason: &str| {
            Err(TomlError::Content { line: line_of(key), key: key.to_owned(), reason: reason.to_owned() })
        };
        if self.name.is_empty() || !self.name.chars().all(|c| c.is_ascii_alphanumeric() || c == '-') {
            return wrong("name", "must be a word of letters, digits and dashes");
        }
        let f = &self.fleet;
        let figures = [
            ("seconds", self.seconds, 1.0, 86_400.0),
            ("fleet.nodes", f.nodes as f64, 1.0, 100_000.0),
            ("fleet.servers", f.servers as f64, 1.0, 100_000.0),
            ("fleet.names", f.names as f64, 1.0, 10_000.0),
            ("fleet.cores", f.cores, 0.1, 1024.0),
            ("fleet.cold_from", f.cold_from, 0.01, 1.0),
            ("fleet.cold_s", f.cold_s, 0.0, 3600.0),
            ("fleet.store_old_s", f.store_old_s, 0.0, 1e6),
            ("fleet.key_saving", f.key_saving, 0.0, 0.99),
            ("fleet.slots_per_core", f.slots_per_core, 0.1, 1e4),
            ("fleet.queue_per_core", f.queue_per_core, 0.0, 1e6),
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
        for (key, value, least, most) in figures {
            if !(least..=most).contains(&value) {
                return wrong(key, &format!("{value} is not within {least} to {most}"));
            }
        }
        if f.zones.is_empty() || f.zones.iter().any(|z| f.zones.iter().filter(|o| *o == z).count() > 1) {
            return wrong("fleet.zones", "there must be one, and each once");
        }
        let pair = |p: [f64; 2], least: f64| p[0] >= least && p[1] >= p[0] && p[1].is_finite();
        if !pair(f.speed, 0.01) {
            return wrong("fleet.speed", "must be two figures, the lesser first");
        }
        for (n, c) in self.class.iter().enumerate() {
            let fine =
                pair(c.work_ms, 0.01) && c.aim_ms > 0.0 && c.deadline_ms >= c.aim_ms && c.share >= 0.0;
            if !fine || c.name.is_empty() {
                return wrong(
                    &format!("class[{n}].name"),
                    "needs a name, work_ms, aim_ms and a later deadline_ms",
                );
            }
        }
        for (n, t) in self.trouble.iter().enumerate() {
            let key = format!("trouble[{n}]");
            if !(t.at_s >= 0.0 && t.for_s >= 0.0 && t.size.is_finite()) {
                return wrong(&key, "at_s and for_s must not be below 0");
            }
            if t.kind == FaultKind::ServerRestart && t.for_s < LEAST_RESTART_S {
                return wrong(
                    &key,
                    "a server-restart drains for a second first: for_s must be 1.5 at least",
                );
            }
            for on in t.on.iter().chain(&t.to) {
                if let Err(reason) = self.members(on.get_ref()) {
                    let line = tomlfile::line(text, on.span().start);
                    return Err(TomlError::Content { line, key: format!("{key}.on"), reason });
                }
            }
        }
        Ok(())
    }

    /// What a word of `on` or `to` names, where that does not need a draw.
    fn members(&self, word: &str) -> Result<(), String> {
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
            return if fits { Ok(()) } else { Err(format!("{part:?} is no part between 0 and 1")) };
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

    fn why(text: &str) -> String {
        Scenario::parse(text).unwrap_err().to_string()
    }

    #[test]
    fn a_short_file_is_a_day_of_the_operators_fleet() {
        let s = Scenario::parse("name = \"x\"\nseconds = 5\n").unwrap();
        assert_eq!((s.fleet.nodes, s.fleet.servers, s.class.len()), (4, 12, 4));
        assert_eq!(s.class[2].repeat, Repeat::Once);
    }

    #[test]
    fn an_error_names_the_line_and_the_key() {
        assert!(why("seconds = 5\n").contains("name: must be"));
        assert!(why("name = \"x\"\nseconds = 0\n").starts_with("line 2: seconds: 0 is not within"));
        assert!(why("name = \"x\"\nseconds = 5\nfoo = 1\n").starts_with("line 3: foo: unknown field"));
        let trouble =
            |rest: &str| why(&format!("name = \"x\"\nseconds = 5\n[[trouble]]\nat_s = 1\n{rest}\n"));
        assert!(trouble("kind = \"server-bad\"").starts_with("line 5: trouble[0].kind: unknown variant"));
        let wrong = trouble("kind = \"server-down\"\non = [\"s0\", \"s12\"]");
        assert_eq!(wrong, "line 6: trouble[0].on: there is no s12: they are numbered from 0");
        assert!(trouble("on = [\"zone:b\"]").contains("there is no zone \"b\""));
        assert!(trouble("on = [\"part:2\"]").contains("no part between"));
        assert!(trouble("on = [\"x\"]").contains("neither all"));
        let hasty = trouble("kind = \"server-restart\"\nfor_s = 0.7\non = [\"s0\"]");
        assert!(hasty.contains("drains for a second first"), "{hasty}");
    }
}
