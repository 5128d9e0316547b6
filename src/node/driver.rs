//! The only owner of the balancer: events in, actions out, one at a time and at once.
//!
//! It keeps what the decisions do not: where backends are, the timers, and which requests and attempts are
//! open. It decides nothing itself.

use crate::body::Upload;
use crate::listing::Lines;
use crate::log::{self, log_event};
use crate::peers::Peers;
use crate::rules::Rules;
use crate::state::State;
use crate::stats::{End, Stats};
use crate::upstream::{Call, Conn, Errand, Finish, Reply, Upstream};
use daleturn::Balancer;
use daleturn::control::start_times::StartTimes;
use daleturn::control::subset::{Catalog, ListUpdate, Subset, Target};
use daleturn::control::zones::{ZoneChange, ZoneOrder, Zones};
use daleturn::interface::{
    Action, AttemptEnded, BackendId, BackendSnapshot, Event, Health, ListEntry, ListKind, LogNote, Memory,
    Observation, Outcome, Reporting, Request, RequestId, Settings, SharedUpdate,
};
use daleturn::options::Options;
use daleturn::wire::stable_hash;
use hyper::StatusCode;
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use thiserror::Error;
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;

/// The decisions' clock: milliseconds since 1970 as the system had it at the start, and monotonic from
/// there. So what discovery tells in wall time can be compared with it, and always converts alike.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    start_ms: f64,
}

impl Clock {
    /// Starts now.
    pub fn new() -> Clock {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), start_ms: wall.as_secs_f64() * 1000.0 }
    }

    /// Now.
    pub fn now_ms(&self) -> f64 {
        self.at_ms(Instant::now())
    }

    /// A moment since the start, on this clock.
    pub fn at_ms(&self, at: Instant) -> f64 {
        self.start_ms + at.saturating_duration_since(self.start).as_secs_f64() * 1000.0
    }

    fn instant(&self, at_ms: f64) -> Instant {
        self.start + Duration::from_secs_f64(((at_ms - self.start_ms) / 1000.0).clamp(0.0, 1e9))
    }
}

/// A request's final answer.
#[derive(Debug)]
pub enum Answer {
    /// A backend's.
    Served(Reply),
    /// Trying again is harmless, best after this long.
    Refused {
        /// Milliseconds.
        retry_after_ms: f64,
    },
    /// No promise.
    Failed,
    /// A backend found the request itself wrong, in these words.
    Rejected(StatusCode),
}

/// The one answer that is owed. Settling uses it up, so there is no second; dropping it fails the request.
pub struct Owed(oneshot::Sender<Answer>);

impl Owed {
    fn settle(self, answer: Answer) {
        // A client that has gone wants none.
        let _ = self.0.send(answer);
    }
}

/// The client's side of what is owed. Dropped before the answer came, it tells that the client left.
pub struct Ticket {
    driver: Rc<Driver>,
    id: RequestId,
    answer: oneshot::Receiver<Answer>,
    /// A long request, whose time runs from its last byte.
    upload: Option<Rc<Upload>>,
    from: Instant,
    wait: Duration,
}

impl Ticket {
    /// Waits for the answer; past the deadline that is a failure, whatever is still out.
    pub async fn answer(mut self) -> Answer {
        let expired = async {
            let from = match &self.upload {
                Some(upload) => upload.finished().await,
                None => self.from,
            };
            tokio::time::sleep_until((from + self.wait).into()).await;
        };
        tokio::select! {
            biased;
            answer = &mut self.answer => answer.unwrap_or(Answer::Failed),
            () = expired => Answer::Failed,
        }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.driver.take(Input::Left(self.id));
    }
}

/// All that can happen to a node.
pub enum Input {
    /// The node is up.
    Start,
    /// New settings.
    Settings(Box<Settings>),
    /// What the process before this one has learned.
    Memory(Box<Memory>),
    /// News of the list.
    List(ListKind, Vec<Target>),
    /// A long whole list.
    Whole(ListKind, Catalog),
    /// These backends, and no others, are out by the operators' word.
    Cordoned(BTreeMap<BackendId, String>),
    /// A client's request.
    Arrived(Request, Rc<Rules>, Rc<Call>, Owed),
    /// The client is gone, or needs nothing any more.
    Left(RequestId),
    /// An attempt is over.
    Ended {
        /// The request.
        id: RequestId,
        /// Which attempt.
        attempt: u32,
        /// At which backend.
        backend: BackendId,
        /// How.
        finish: Finish,
        /// Time since the send.
        elapsed_ms: f64,
    },
    /// The first bytes of a long answer are there, or a long request was answered.
    Started {
        /// The request.
        id: RequestId,
        /// Which attempt.
        attempt: u32,
        /// At which backend.
        backend: BackendId,
        /// The answer to pass on; none where all of it comes with the end.
        reply: Option<Reply>,
        /// Time that counts.
        elapsed_ms: f64,
    },
    /// A probe is over.
    Probed(BackendId, Finish, f64),
    /// A timer is due.
    Timer(u64),
    /// News that the fleet shares.
    Fleet(SharedUpdate),
    /// New weights of zones.
    Zones(Vec<f64>),
    /// Another node's message.
    Message(u32, Vec<u8>),
}

/// How long times are kept in the figures.
pub fn window(options: &Options) -> Duration {
    Duration::from_secs(options.stats.window_s.into())
}

fn probe_path(settings: &Settings) -> &'static str {
    if settings.reporting == Reporting::None { "/alive" } else { "/metrics/load" }
}

struct Open {
    /// Holds the number of the request's class.
    rules: Rc<Rules>,
    class: usize,
    owed: Option<Owed>,
    call: Rc<Call>,
    /// What calls each attempt off; none where it is over.
    attempts: Vec<Option<oneshot::Sender<()>>>,
    taken: Instant,
    /// Where each attempt that is over went, how it ended, and in how many milliseconds.
    course: Vec<(BackendId, Outcome, f64)>,
    rejected: Option<StatusCode>,
}

impl Open {
    fn over(&self) -> bool {
        self.owed.is_none() && self.attempts.iter().all(Option::is_none)
    }

    /// Tells how a request that was not served went, for whoever follows its id.
    fn tell(&self, answer: &Answer) {
        if !tracing::event_enabled!(target: "request", tracing::Level::INFO) || !log::admits(log::SAMPLES) {
            return;
        }
        let text = |name: &str| self.call.headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or("?");
        let course: Vec<String> = (self.course.iter())
            .map(|(backend, outcome, ms)| format!("{:016x} {outcome:?} {ms:.1}", backend.0))
            .collect();
        tracing::info!(
            target: "request",
            trace = text("x-trace-id"),
            class = text("x-qos"),
            ?answer,
            after_ms = (self.taken.elapsed().as_secs_f64() * 1e4).round() / 10.0,
            course = course.join(", ").as_str(),
            out = self.attempts.iter().flatten().count(),
            "request.unserved"
        );
    }

    /// How a request counts that is served now.
    fn served(&self) -> End {
        let total = self.taken.elapsed();
        let late = total.as_secs_f64() * 1000.0 > self.rules.settings.aim_ms(self.class);
        let away = self.course.iter().map(|(_, _, ms)| ms).sum::<f64>().clamp(0.0, 1e9);
        let through = total.saturating_sub(Duration::from_secs_f64(away / 1000.0));
        End::Served { late, times: self.call.upload.is_none().then_some((total, through)) }
    }
}

/// Says what the decisions have to tell, in an event's form.
fn tell(core: &Core, note: &LogNote) {
    let name = |id: &BackendId| {
        let listed = core.listed.get(id).map(|l| l.uid.to_string());
        listed.unwrap_or_else(|| format!("{:016x}", id.0))
    };
    match note {
        LogNote::Congested { backend, failures, tries, pause_ms } => {
            let (backend, pause_ms) = (name(backend), pause_ms.round());
            log_event!(WARN, "backend", backend, failures, tries, pause_ms, "backend.congested");
        }
        LogNote::Live { backend, failed_trials } => {
            log_event!(INFO, "backend", backend = name(backend), failed_trials, "backend.live");
        }
        LogNote::Stopped(told) => {
            let (counts, look) = (told.0.to_string(), told.1.to_string());
            log_event!(
                INFO,
                "admission",
                counts = counts.as_str(),
                look = look.as_str(),
                "admission.stopped"
            );
        }
    }
}

/// Health in discovery's words.
fn health_word(health: Health) -> &'static str {
    match health {
        Health::Up => "up",
        Health::Draining => "draining",
        Health::Gone => "removed",
    }
}

/// The second of the system's monotonic clock.
fn rules_second() -> u64 {
    static FIRST: std::sync::OnceLock<Instant> = std::sync::OnceLock::new();
    FIRST.get_or_init(Instant::now).elapsed().as_secs()
}

/// Tells a backend's starts apart, in the few bytes that a datagram has for it.
fn start_of(entry: &ListEntry) -> u32 {
    // The low bits are what differs.
    entry.ready_at_ms.max(0.0) as u64 as u32
}

/// Why a call that takes a backend out or puts it back is turned down.
#[derive(Debug, Error)]
pub enum CordonError {
    /// Neither listed nor out.
    #[error("no backend {0:?} is known")]
    Unknown(String),
    /// It would not outlive this process.
    #[error("nothing changed, it cannot be stored: {0}")]
    Unstored(#[from] std::io::Error),
}

struct Place {
    address: SocketAddr,
    up: bool,
    ready_at_ms: f64,
    uid: Arc<str>,
}

/// Names of backends that are told in one line of the log; of more the count is.
const NAMED_IN_LOG: usize = 8;

struct Core {
    balancer: Balancer,
    stats: Stats,
    open: HashMap<RequestId, Open>,
    places: HashMap<BackendId, Place>,
    /// The whole list, and which part of it this node works with.
    subset: Subset,
    /// When backends started, on this node's clock.
    starts: StartTimes,
    /// What discovery lists of that part, whoever is out.
    listed: HashMap<BackendId, Target>,
    /// Who is out by the operators' word, whatever is listed.
    cordoned: BTreeMap<BackendId, String>,
    /// How zones fare as a whole, where that is judged.
    zones: Option<Zones>,
    /// Requests of this second and of the one before.
    asked: (u64, [u32; 2]),
    /// What follows from an event at once, before all others.
    due: VecDeque<Input>,
}

/// A warm backend is taken to serve so many times what it was lately seen to.
const HEADROOM: f64 = 1.5;

/// Takes a finding with its backend's start.
type Sharer = Box<dyn Fn(Observation, u32)>;

/// Events in, actions out.
pub struct Driver {
    core: RefCell<Core>,
    inbox: RefCell<VecDeque<Input>>,
    /// The clock of all events.
    pub clock: Clock,
    upstream: Rc<Upstream>,
    peers: Option<Rc<Peers>>,
    state: Rc<State>,
    watch: mpsc::UnboundedSender<bool>,
    probe_path: Cell<&'static str>,
    messages: Cell<bool>,
    next: Cell<u64>,
    heard: Cell<bool>,
    version: Cell<Option<u64>>,
    /// Lists that were too long to be read.
    too_long: Cell<u64>,
    /// Answers of discovery to calls that had been given up or replaced.
    late_lists: Cell<u64>,
    /// Where findings go that the fleet shares.
    share: RefCell<Option<Sharer>>,
}

impl Driver {
    /// A driver that has heard nothing yet; the decisions' wish to watch the list goes out on `watch`.
    pub fn new(
        balancer: Balancer,
        rules: &Rules,
        upstream: Rc<Upstream>,
        peers: Option<Rc<Peers>>,
        state: Rc<State>,
        watch: mpsc::UnboundedSender<bool>,
        options: &Options,
    ) -> Rc<Driver> {
        Rc::new(Driver {
            core: RefCell::new(Core {
                balancer,
                stats: Stats::new(window(options)),
                open: HashMap::new(),
                places: HashMap::new(),
                subset: Subset::new(options.list.subset as usize, &rules.settings),
                starts: StartTimes::default(),
                listed: HashMap::new(),
                cordoned: state.cordoned(),
                zones: None,
                asked: (0, [0; 2]),
                due: VecDeque::new(),
            }),
            inbox: RefCell::default(),
            clock: Clock::new(),
            upstream,
            peers,
            state,
            watch,
            probe_path: Cell::new(probe_path(&rules.settings)),
            messages: Cell::new(rules.settings.peer_messages),
            next: Cell::new(0),
            heard: Cell::new(false),
            version: Cell::new(None),
            too_long: Cell::new(0),
            late_lists: Cell::new(0),
            share: RefCell::default(),
        })
    }

    /// Takes in a request that arrived at `from` and hands out the ticket for its answer. The decisions must
    /// have ended it within `wait` less `margin`; after `wait` this node does so without them.
    pub fn submit(
        self: &Rc<Self>,
        mut request: Request,
        rules: Rc<Rules>,
        call: Call,
        from: Instant,
        wait: Duration,
        margin: Duration,
    ) -> Ticket {
        let id = RequestId(self.next.get());
        self.next.set(id.0 + 1);
        request.id = id;
        request.deadline_ms = self.clock.at_ms(from + wait.saturating_sub(margin));
        let (owed, answer) = oneshot::channel();
        let upload = call.upload.clone();
        self.take(Input::Arrived(request, rules, Rc::new(call), Owed(owed)));
        Ticket { driver: self.clone(), id, answer, upload, from, wait }
    }

    /// Requests that are not over.
    pub fn open(&self) -> usize {
        self.core.borrow().open.len()
    }

    /// The list that is known has this version.
    pub fn list_version(&self, version: Option<u64>) {
        self.version.set(version);
    }

    /// All of an answer of discovery was taken.
    pub fn list_heard(&self) {
        let core = &mut *self.core.borrow_mut();
        core.starts.list_received(self.clock.now_ms());
        core.starts.trim(|backend| core.subset.is_listed(backend));
    }

    /// A list was too long to be read.
    pub fn list_too_long(&self) {
        self.too_long.set(self.too_long.get() + 1);
    }

    /// A call to discovery was answered that had been given up or replaced.
    pub fn answered_late(&self) {
        self.late_lists.set(self.late_lists.get() + 1);
    }

    /// The lines of an answer by which backends leave; with `omissions` whoever a whole list leaves out leaves, too.
    pub fn departures(&self, lines: &Lines, omissions: bool) -> Vec<Target> {
        let core = self.core.borrow();
        match lines {
            Lines::Few(lines) => core.subset.departures(lines, omissions),
            Lines::Whole(catalog, _) => core.subset.departures(catalog.lines(), omissions),
            Lines::Same => Vec::new(),
        }
    }

    /// Some of these backends are not known to have left.
    pub fn are_news(&self, departures: &[Target]) -> bool {
        let core = self.core.borrow();
        departures.iter().any(|line| core.subset.may_be_up(line.entry.backend))
    }

    /// Times in the figures are kept for `window` from here on.
    pub fn retune_stats(&self, window: Duration) {
        self.core.borrow_mut().stats.retune(window);
    }

    /// A request of a class was refused before the decisions heard of it.
    pub fn turned_away(&self, class: Option<&str>) {
        self.core.borrow_mut().stats.turned_away(class);
    }

    /// What of the figures is known here.
    pub fn figures(&self, rules: &Rules) -> Value {
        let now = self.clock.now_ms();
        let core = &mut *self.core.borrow_mut();
        let figures = core.balancer.snapshot(now);
        let known: HashMap<BackendId, &BackendSnapshot> =
            figures.backends.iter().map(|b| (b.backend, b)).collect();
        let zone_name = |zone: u16| rules.names.zone_name(zone).unwrap_or("?").to_owned();
        let mut zones: BTreeMap<String, [u64; 7]> = BTreeMap::new();
        // Whoever is listed, or is out by the operators' word: of one that drains the decisions know little.
        let mut names: BTreeMap<&str, BackendId> =
            core.listed.iter().map(|(id, target)| (&*target.uid, *id)).collect();
        names.extend(core.cordoned.iter().map(|(id, uid)| (uid.as_str(), *id)));
        let mut backends = Vec::with_capacity(names.len());
        for (uid, id) in names {
            let (sent, done, failed) = core.stats.of_backend(id);
            let (ms, ms_squared) = core.stats.times_of(id);
            let (listed, b) = (core.listed.get(&id), known.get(&id));
            let state = match listed.map(|l| l.entry.health) {
                _ if core.cordoned.contains_key(&id) => "cordoned",
                Some(Health::Up) => "up",
                Some(Health::Draining) => "draining",
                Some(Health::Gone) | None => "gone",
            };
            let up = state == "up";
            let trial_in_ms = b.and_then(|b| b.trial_at_ms).map(|at| (at - now).max(0.0).round());
            let (congested, cold) = (trial_in_ms.is_some(), b.is_some_and(|b| b.cold));
            let in_flight = b.map_or(0, |b| b.in_flight);
            let zone = listed.map_or_else(|| "?".to_owned(), |l| zone_name(l.entry.zone));
            let sums = zones.entry(zone.clone()).or_default();
            let own = [
                1,
                u64::from(up),
                u64::from(up && congested),
                u64::from(up && cold),
                u64::from(in_flight),
                sent,
                failed,
            ];
            sums.iter_mut().zip(own).for_each(|(sum, n)| *sum += n);
            let hundredths = |v: f64| (v * 100.0).round() / 100.0;
            backends.push(json!({
                "id": uid, "zone": zone, "state": state, "verdict": if congested { "congested" } else { "live" },
                "trial_in_ms": trial_in_ms, "cap": b.map(|b| hundredths(b.cap)), "in_flight": in_flight,
                "cold": cold, "pressure": b.map(|b| hundredths(b.pressure)), "sent": sent, "done": done,
                "failed": failed, "ms_sum": hundredths(ms), "ms_squared_sum": hundredths(ms_squared),
                "listed": listed.map(|l| health_word(l.entry.health)),
                "start_ms": listed.map(|l| l.entry.ready_at_ms.max(0.0).round() as u64),
            }));
        }
        let own_zone = rules.settings.zone.map(zone_name);
        let zones: Vec<Value> = (zones.into_iter())
            .map(|(zone, [listed, up, congested, cold, in_flight, sent, failed])| {
                json!({"own": own_zone.as_ref() == Some(&zone), "zone": zone, "backends": listed, "up": up,
                       "congested": congested, "cold": cold, "in_flight": in_flight, "sent": sent, "failed": failed})
            })
            .collect();
        let [level, room, no_backend] = figures.refusals.stopped;
        let look = figures.load;
        let mut json = core.stats.json();
        json["open"] = core.open.len().into();
        json["refused"] = json!({"level": level, "room": room, "no_backend": no_backend,
            "given_up": figures.refusals.given_up, "node_full": core.stats.away()});
        json["admission"] = json!({"level": look.level, "strain": look.strain, "pressure": look.pressure});
        let subset = core.subset.stats();
        json["list"] = json!({"version": self.version.get(), "backends": subset.listed, "up": subset.up,
            "held": subset.held, "joined": subset.joined, "left_out": subset.left_out, "too_long": self.too_long.get(),
            "late": self.late_lists.get(),
            "held_by": core.balancer.settings().nodes_per_backend()});
        json["backends"] = backends.into();
        json["zones"] = zones.into();
        json
    }

    /// Fails all that is owed, for a node that has no more time.
    pub fn end_all(self: &Rc<Self>) {
        let ids: Vec<RequestId> = self.core.borrow().open.keys().copied().collect();
        for id in ids {
            self.take(Input::Left(id));
        }
    }

    /// A request could be served.
    pub fn ready(&self) -> bool {
        self.core.borrow().places.values().any(|p| p.up)
    }

    /// A list of backends is known.
    pub fn listed(&self) -> bool {
        !self.core.borrow().listed.is_empty()
    }

    /// Discovery has answered, if only to say that it cannot.
    pub fn heard(&self) -> bool {
        self.heard.get()
    }

    /// These backends are out, and no others, as another process of this node may have been told.
    pub fn cordoned(self: &Rc<Self>, cordoned: BTreeMap<BackendId, String>) {
        let changes: Vec<String> = {
            let known = &self.core.borrow().cordoned;
            let out = cordoned
                .iter()
                .filter(|(id, _)| !known.contains_key(id))
                .map(|(_, u)| format!("{u} is out"));
            let back = known
                .iter()
                .filter(|(id, _)| !cordoned.contains_key(id))
                .map(|(_, u)| format!("{u} is back"));
            out.chain(back).collect()
        };
        if !changes.is_empty() {
            log_event!(INFO, "upgrade", changes = changes.join(", ").as_str(), "upgrade.operators_word");
            self.take(Input::Cordoned(cordoned));
        }
    }

    /// Findings that the fleet shares go there, each with its backend's start. It is called while an event is
    /// handled, and must not come back here.
    pub fn share(&self, share: impl Fn(Observation, u32) + 'static) {
        self.share.replace(Some(Box::new(share)));
    }

    /// Requests a second that tenants ask of this node, by their number.
    pub fn asked(&self) -> Vec<f64> {
        self.core.borrow().balancer.tenant_request_rates()
    }

    /// The backend with that short id, if this start of it, or any, is listed.
    pub fn listed_as(&self, short: u32, start: Option<u32>) -> Option<BackendId> {
        let core = self.core.borrow();
        let found = core
            .listed
            .iter()
            .find(|(id, t)| id.short() == short && start.is_none_or(|start| start == start_of(&t.entry)));
        found.map(|(id, _)| *id)
    }

    /// An operator's word to another node of the fleet: it holds here too, listed or not.
    pub fn fleet_word(self: &Rc<Self>, uid: &str, out: bool) {
        let stored = if out { self.state.cordon(uid) } else { self.state.uncordon(uid) };
        let stored = stored.err().map(|e| e.to_string());
        let mut cordoned = self.core.borrow().cordoned.clone();
        let id = BackendId(stable_hash(uid));
        if out {
            cordoned.insert(id, uid.to_owned());
        } else {
            cordoned.remove(&id);
        }
        log_event!(INFO, "share", backend = uid, out, ?stored, "share.operators_word");
        self.take(Input::Cordoned(cordoned));
    }

    /// Zones are judged as a whole from here on.
    pub fn judge_zones(&self, own: Option<u16>, cold_ms: f64) {
        self.core.borrow_mut().zones = Some(Zones::new(self.clock.now_ms(), own, cold_ms));
    }

    /// Looks at the zones, where they are judged: `words` says how many other nodes hold a zone for lost, and
    /// `others` whether any can be heard. Hands back what changed.
    pub fn look_at_zones(&self, others: bool, words: impl Fn(u16) -> usize) -> Vec<ZoneChange> {
        let core = &mut *self.core.borrow_mut();
        let Some(zones) = &mut core.zones else { return Vec::new() };
        let mut up = BTreeMap::new();
        for target in core.listed.values() {
            let own =
                target.entry.health == Health::Up && !core.cordoned.contains_key(&target.entry.backend);
            *up.entry(target.entry.zone).or_insert(0_usize) += usize::from(own);
        }
        let now = self.clock.now_ms();
        let mut tripped = BTreeMap::new();
        for b in core.balancer.snapshot(now).backends.iter().filter(|b| b.up && b.trial_at_ms.is_some()) {
            *tripped.entry(b.zone).or_insert(0_usize) += 1;
        }
        zones.set_servers(now, &up, &tripped);
        up.keys().for_each(|zone| zones.set_peer_reports(*zone, words(*zone)));
        zones.tick(now, others)
    }

    /// An operator's order on a zone, or that it is taken back. False: no such zone.
    pub fn order_zone(&self, zone: u16, order: Option<ZoneOrder>) -> bool {
        let now = self.clock.now_ms();
        self.core.borrow_mut().zones.as_mut().is_some_and(|z| z.apply_order(now, zone, order))
    }

    /// Where the zones stand; none where they are not judged.
    pub fn zones(&self) -> Option<Vec<daleturn::control::zones::ZoneStats>> {
        self.core.borrow().zones.as_ref().map(Zones::stats)
    }

    /// This node alone is cut off, as far as it can tell.
    pub fn blind(&self) -> bool {
        self.core.borrow().zones.as_ref().is_some_and(Zones::is_isolated)
    }

    /// Whether what is asked fits what is left without a zone.
    ///
    /// # Errors
    /// It does not, as far as is known; with the figures.
    pub fn without_zone(&self, zone: u16) -> Result<(), String> {
        let core = self.core.borrow();
        let figures = core.balancer.snapshot(self.clock.now_ms());
        let left_out = |b: &BackendSnapshot| {
            let zones = core.zones.as_ref().map(Zones::stats).unwrap_or_default();
            b.zone == zone || zones.iter().any(|z| z.zone == b.zone && matches!(z.state, "out" | "held"))
        };
        let left =
            figures.backends.iter().filter(|b| b.up && b.trial_at_ms.is_none() && !left_out(b)).count();
        let asked = core.asked.1.iter().copied().max().unwrap_or(0);
        let each = figures.warm_rate * HEADROOM;
        if left > 0 && f64::from(asked) <= each * left as f64 {
            return Ok(());
        }
        Err(format!(
            "nothing changed: {left} backends would be left, known to serve {:.0} a second for this node, and {asked} are \
             asked; --force does it all the same",
            each * left as f64
        ))
    }

    /// What was learned here.
    pub fn memory(&self) -> Memory {
        self.core.borrow().balancer.memory()
    }

    /// Goes on from what another process has learned.
    pub fn remember(self: &Rc<Self>, memory: Memory) {
        self.take(Input::Memory(Box::new(memory)));
    }

    /// Whether a word outlives this process.
    pub fn lasts(&self) -> bool {
        self.state.lasts()
    }

    /// These are out, too, by words from before this start.
    pub fn still_out<'a>(self: &Rc<Self>, uids: impl Iterator<Item = &'a String>) {
        let mut cordoned = self.core.borrow().cordoned.clone();
        cordoned.extend(uids.map(|uid| (BackendId(stable_hash(uid)), uid.clone())));
        self.take(Input::Cordoned(cordoned));
    }

    /// Who is out by the operators' word.
    pub fn out(&self) -> Vec<String> {
        self.core.borrow().cordoned.values().cloned().collect()
    }

    /// Whether a backend is listed, or out.
    ///
    /// # Errors
    /// It is neither.
    pub fn check(&self, uid: &str) -> Result<(), CordonError> {
        self.known(uid).map(drop)
    }

    /// The list that is known, or this node's part of a long one, in discovery's form.
    pub fn list_text(&self, rules: &Rules) -> String {
        let core = self.core.borrow();
        let targets: Vec<Value> = (core.listed.values())
            .map(|t| {
                let (e, endpoint) = (&t.entry, t.address.map(|a| a.to_string()));
                json!({"uid": &*t.uid, "endpoint": endpoint, "az": rules.names.zone_name(e.zone),
                       "pod_group": e.cell, "state": health_word(e.health), "capacity_hint": e.units,
                       "boot_ms": e.ready_at_ms})
            })
            .collect();
        // A part of a list is none that changes could be asked of.
        let all = !core.subset.is_truncated();
        json!({"rev": self.version.get().unwrap_or(0), "all": all, "targets": targets}).to_string()
    }

    /// The version of the list that is known.
    pub fn version(&self) -> Option<u64> {
        self.version.get()
    }

    /// Takes a backend out: from here on it counts as draining, whatever is listed.
    pub fn cordon(self: &Rc<Self>, uid: &str) -> Result<String, CordonError> {
        let id = self.known(uid)?;
        self.state.cordon(uid)?;
        let mut cordoned = self.core.borrow().cordoned.clone();
        cordoned.insert(id, uid.to_owned());
        self.take(Input::Cordoned(cordoned));
        Ok(format!("{uid} is out"))
    }

    /// Puts a backend back: from here on it is what discovery lists it as.
    pub fn uncordon(self: &Rc<Self>, uid: &str) -> Result<String, CordonError> {
        let id = self.known(uid)?;
        self.state.uncordon(uid)?;
        let mut cordoned = self.core.borrow().cordoned.clone();
        let was_out = cordoned.remove(&id).is_some();
        self.take(Input::Cordoned(cordoned));
        Ok(format!("{uid} {}", if was_out { "is back" } else { "was not out" }))
    }

    fn known(&self, uid: &str) -> Result<BackendId, CordonError> {
        let id = BackendId(stable_hash(uid));
        let core = self.core.borrow();
        let known = core.subset.is_listed(id) || core.cordoned.contains_key(&id);
        if known { Ok(id) } else { Err(CordonError::Unknown(uid.to_owned())) }
    }

    /// Takes new settings, for all that follows.
    pub fn retune(self: &Rc<Self>, rules: &Rules) {
        self.probe_path.set(probe_path(&rules.settings));
        self.messages.set(rules.settings.peer_messages);
        self.take(Input::Settings(Box::new(rules.settings.clone())));
    }

    /// The one way in. What comes up while an event is handled waits for its end.
    pub fn take(self: &Rc<Self>, input: Input) {
        self.heard
            .set(self.heard.get() || matches!(&input, Input::List(kind, _) | Input::Whole(kind, _) if *kind != ListKind::Saved));
        self.inbox.borrow_mut().push_back(input);
        let Ok(mut core) = self.core.try_borrow_mut() else { return };
        let mut actions = Vec::new();
        loop {
            let next = core.due.pop_front().or_else(|| self.inbox.borrow_mut().pop_front());
            let Some(input) = next else { return };
            let now = self.clock.now_ms();
            let Some(event) = core.event(now, input, &self.upstream) else { continue };
            core.balancer.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(&mut core, action);
            }
        }
    }

    /// Another node's message, where they are allowed.
    pub fn message(self: &Rc<Self>, from: u32, bytes: Vec<u8>) {
        if self.messages.get() {
            self.take(Input::Message(from, bytes));
        }
    }

    fn later(&self, input: Input) {
        self.inbox.borrow_mut().push_back(input);
    }

    fn carry_out(self: &Rc<Self>, core: &mut Core, action: Action) {
        match action {
            Action::Send { id, backend, timeout_ms } => self.send(core, id, backend, timeout_ms),
            Action::Cancel { id, attempt } => {
                let off = core.open.get_mut(&id).and_then(|o| o.attempts.get_mut(attempt as usize));
                // Dropping the handle is the call: the attempt closes its connection and reports.
                drop(off.and_then(|a| a.as_mut()).map(|a| std::mem::replace(a, oneshot::channel().0)));
            }
            Action::Refuse { id, retry_after_ms } => {
                core.settle(id, Answer::Refused { retry_after_ms }, false)
            }
            Action::Fail(id) => {
                let rejected = core.open.get(&id).and_then(|o| o.rejected);
                core.settle(id, rejected.map_or(Answer::Failed, Answer::Rejected), false);
            }
            Action::Timer { token, at_ms } => {
                let driver = self.clone();
                let due = self.clock.instant(at_ms);
                spawn_local(async move {
                    tokio::time::sleep_until(due.into()).await;
                    driver.take(Input::Timer(token));
                });
            }
            Action::Probe(backend) => self.probe(core, backend),
            Action::CloseIdleConnections(backend) => self.upstream.release(backend),
            Action::SendPeerMessage { to, bytes } => {
                if let Some(peers) = &self.peers {
                    peers.send(to, &bytes);
                }
            }
            // Discovery may have ended with the node.
            Action::ShareObservation(found) => {
                let (Observation::Backend { backend, .. } | Observation::Key { backend, .. }) = found;
                let start = core.listed.get(&backend).map_or(0, |t| start_of(&t.entry));
                if let Some(share) = &*self.share.borrow() {
                    share(found, start);
                }
            }
            Action::Watch(on) => drop(self.watch.send(on)),
            Action::Log(note) => tell(core, &note),
        }
    }

    fn send(self: &Rc<Self>, core: &mut Core, id: RequestId, backend: BackendId, timeout_ms: f64) {
        let Some(open) = core.open.get_mut(&id) else { return };
        let attempt = u32::try_from(open.attempts.len()).unwrap_or(u32::MAX);
        let (off, mut called_off) = oneshot::channel::<()>();
        let mut report = Report {
            driver: self.clone(),
            id,
            attempt,
            backend,
            begun: Instant::now(),
            finish: Some(Outcome::Reset.into()),
        };
        open.attempts.push(Some(off));
        let place = core.places.get(&backend);
        let (Some(_), Some(place)) = (&open.owed, place) else {
            let outcome = if place.is_some() { Outcome::Skipped } else { Outcome::NotConnected };
            report.finish = Some(outcome.into());
            return;
        };
        if open.call.upload.as_ref().is_some_and(|u| u.spent()) {
            // It went to an attempt that failed, and cannot be sent again.
            report.finish = Some(Outcome::Skipped.into());
            return;
        }
        core.stats.sent(backend);
        let timeout = Duration::from_secs_f64(timeout_ms.clamp(0.0, 1e9) / 1000.0);
        let errand = Errand { backend, address: place.address, call: open.call.clone(), timeout };
        let driver = self.clone();
        spawn_local(async move {
            let bars = || driver.bars(&errand, id, attempt);
            let started = |reply, took: Duration| {
                let elapsed_ms = took.as_secs_f64() * 1000.0;
                driver.take(Input::Started { id, attempt, backend, reply: Some(reply), elapsed_ms });
            };
            let (finish, conn) = tokio::select! {
                biased;
                _ = &mut called_off => (Outcome::Cancelled.into(), None),
                end = driver.upstream.attempt(&errand, bars, started) => end,
            };
            if let (Some(took), Some(_)) = (finish.took, &finish.reply) {
                let elapsed_ms = took.as_secs_f64() * 1000.0;
                driver.take(Input::Started { id, attempt, backend, reply: None, elapsed_ms });
            }
            report.finish = Some(finish);
            drop(report);
            driver.keep(errand.backend, errand.address, conn);
        });
    }

    /// Keeps a connection unless its backend has drained, gone or moved meanwhile.
    fn keep(&self, backend: BackendId, address: SocketAddr, conn: Option<Conn>) {
        if let Some(conn) = conn.filter(|_| self.strays(backend, address).is_none()) {
            self.upstream.keep(backend, conn);
        }
    }

    /// The last look at an attempt: how it ends unsent, if it must not go.
    fn bars(&self, errand: &Errand, id: RequestId, attempt: u32) -> Option<Outcome> {
        self.strays(errand.backend, errand.address)
            .or_else(|| self.core.borrow().balancer.check_before_send(self.clock.now_ms(), id, attempt))
    }

    /// Whoever is connected there is not, or not any more, the backend that is meant.
    fn strays(&self, backend: BackendId, address: SocketAddr) -> Option<Outcome> {
        let core = self.core.borrow();
        let here = core.places.get(&backend).is_some_and(|p| p.up && p.address == address);
        (!here).then_some(Outcome::NotConnected)
    }

    fn probe(self: &Rc<Self>, core: &Core, backend: BackendId) {
        let Some(address) = core.places.get(&backend).map(|p| p.address) else {
            self.later(Input::Probed(backend, Outcome::NotConnected.into(), 0.0));
            return;
        };
        let driver = self.clone();
        let begun = Instant::now();
        spawn_local(async move {
            let bars = || driver.strays(backend, address);
            let (finish, conn) =
                driver.upstream.probe(backend, address, driver.probe_path.get(), bars).await;
            driver.take(Input::Probed(backend, finish, begun.elapsed().as_secs_f64() * 1000.0));
            driver.keep(backend, address, conn);
        });
    }
}

/// Reports the end of an attempt once, by being dropped: also when its task ends in a way nobody foresaw,
/// which may have run.
struct Report {
    driver: Rc<Driver>,
    id: RequestId,
    attempt: u32,
    backend: BackendId,
    begun: Instant,
    finish: Option<Finish>,
}

impl Drop for Report {
    fn drop(&mut self) {
        let finish = self.finish.take().unwrap_or_else(|| Outcome::Reset.into());
        let (id, attempt, backend) = (self.id, self.attempt, self.backend);
        let elapsed_ms = finish.took.unwrap_or_else(|| self.begun.elapsed()).as_secs_f64() * 1000.0;
        self.driver.take(Input::Ended { id, attempt, backend, finish, elapsed_ms });
    }
}

impl Core {
    /// Notes what happened and says it in the decisions' words; none where they need not hear of it.
    fn event(&mut self, now: f64, input: Input, upstream: &Upstream) -> Option<Event> {
        Some(match input {
            Input::Start => Event::Start,
            Input::Settings(mut settings) => {
                settings.held_by = self.subset.nodes_per_backend(settings.instances);
                if self.subset.update_settings(&settings) {
                    self.due.push_back(Input::List(ListKind::Changes, Vec::new()));
                }
                Event::Settings(settings)
            }
            Input::Memory(memory) => Event::Memory(memory),
            Input::List(kind, targets) => {
                for Target { entry, .. } in &targets {
                    self.starts.record(now, entry.backend, entry.ready_at_ms);
                }
                let news = self.subset.apply(kind, targets);
                self.news(now, news, upstream)
            }
            Input::Whole(kind, catalog) => {
                let news = self.subset.apply_full_list(kind, catalog);
                self.news(now, news, upstream)
            }
            Input::Cordoned(cordoned) => {
                let before = std::mem::replace(&mut self.cordoned, cordoned);
                let moved = self.listed.values().filter(|t| {
                    let id = &t.entry.backend;
                    before.contains_key(id) != self.cordoned.contains_key(id)
                });
                let moved: Vec<Target> = moved.cloned().collect();
                if moved.is_empty() {
                    return None;
                }
                self.list(now, ListKind::Changes, moved, upstream)
            }
            Input::Arrived(request, rules, call, owed) => {
                let (attempts, course) = (Vec::new(), Vec::new());
                self.stats.asked(rules.names.class_name(request.class));
                let second = rules_second();
                if self.asked.0 != second {
                    let before = if self.asked.0 + 1 == second { self.asked.1[1] } else { 0 };
                    self.asked = (second, [before, 0]);
                }
                self.asked.1[1] += 1;
                let open = Open {
                    rules,
                    class: request.class,
                    owed: Some(owed),
                    call,
                    attempts,
                    taken: Instant::now(),
                    course,
                    rejected: None,
                };
                self.open.insert(request.id, open);
                Event::Request(request)
            }
            Input::Left(id) => {
                // After the answer this is no news.
                self.open.get(&id)?.owed.as_ref()?;
                self.settle(id, Answer::Failed, true);
                Event::ClientLeft(id)
            }
            Input::Ended { id, attempt, backend, finish, elapsed_ms } => {
                let open = self.open.get_mut(&id)?;
                open.attempts.get_mut(attempt as usize)?.take()?;
                open.course.push((backend, finish.outcome, elapsed_ms));
                open.rejected = finish.rejected;
                self.stats.attempt_ended(backend, finish.outcome, elapsed_ms);
                let late = elapsed_ms > open.rules.settings.aim_ms(open.class);
                if let (Some(zones), Some(target)) = (&mut self.zones, self.listed.get(&backend)) {
                    zones.record_outcome(target.entry.zone, backend.short(), finish.outcome, late);
                }
                if let Some(reply) = finish.reply
                    && let Some(owed) = open.owed.take()
                {
                    self.stats.ended(open.rules.names.class_name(open.class), open.served());
                    owed.settle(Answer::Served(reply));
                }
                let (last, outcome, load) = (open.owed.is_none(), finish.outcome, finish.load);
                if open.over() {
                    self.open.remove(&id);
                }
                Event::AttemptEnded(AttemptEnded { id, attempt, backend, outcome, last, elapsed_ms, load })
            }
            Input::Started { id, attempt, backend, reply, elapsed_ms } => {
                let open = self.open.get_mut(&id)?;
                // An answer that nobody waits for any more is dropped here, and its attempt ends by that.
                if let Some(reply) = reply
                    && let Some(owed) = open.owed.take()
                {
                    open.course.push((backend, Outcome::Done, elapsed_ms));
                    self.stats.ended(open.rules.names.class_name(open.class), open.served());
                    owed.settle(Answer::Served(reply));
                }
                Event::ResponseStarted { id, attempt, backend, elapsed_ms }
            }
            Input::Probed(backend, finish, elapsed_ms) => {
                if let (Some(zones), Some(target)) = (&mut self.zones, self.listed.get(&backend)) {
                    zones.record_outcome(target.entry.zone, backend.short(), finish.outcome, false);
                }
                Event::ProbeEnded { backend, outcome: finish.outcome, elapsed_ms, load: finish.load }
            }
            Input::Timer(token) => Event::Timer(token),
            Input::Fleet(news) => Event::Shared(news),
            Input::Zones(weights) => Event::ZoneWeights(weights),
            Input::Message(from, bytes) => Event::PeerMessage { from, bytes },
        })
    }

    /// `left`: it ends with its client, not by the decisions.
    fn settle(&mut self, id: RequestId, answer: Answer, left: bool) {
        let Some(open) = self.open.get_mut(&id) else { return };
        if let Some(owed) = open.owed.take() {
            open.tell(&answer);
            let end = match &answer {
                Answer::Refused { .. } => End::Refused,
                Answer::Rejected(_) => End::Rejected,
                Answer::Failed if left => End::Left,
                Answer::Failed | Answer::Served(_) => End::Failed,
            };
            self.stats.ended(open.rules.names.class_name(open.class), end);
            owed.settle(answer);
        }
        if open.over() {
            self.open.remove(&id);
        }
    }

    /// Takes in news of the list, as far as this node works with it.
    fn news(&mut self, now: f64, news: ListUpdate, upstream: &Upstream) -> Event {
        let ListUpdate { kind, lines, previous: old } = news;
        if let Some(old) = old {
            // Long to drop, and nobody waits for it.
            drop(tokio::task::spawn_blocking(move || drop(old)));
        }
        self.note_listed(kind, &lines);
        self.share_out();
        self.list(now, kind, lines, upstream)
    }

    /// Sees to it that the decisions divide what a backend bears by the nodes that hold it. New settings for each
    /// backend that comes or goes would be many: an eighth more or fewer nodes is the same.
    fn share_out(&mut self) {
        let settings = self.balancer.settings();
        let now = self.subset.nodes_per_backend(settings.instances);
        let same = match (now, settings.held_by) {
            (Some(now), Some(told)) => now.abs_diff(told) * 8 <= told,
            (now, told) => now == told,
        };
        if !same {
            let figures = self.subset.stats();
            let (listed, held, held_by) = (figures.listed, figures.held, now.unwrap_or(settings.instances));
            log_event!(INFO, "list", listed, held, held_by, "list.subset");
            self.due.push_back(Input::Settings(Box::new(settings.clone())));
        }
    }

    fn note_listed(&mut self, kind: ListKind, targets: &[Target]) {
        if matches!(kind, ListKind::Full | ListKind::Saved) {
            self.listed.clear();
        }
        for target in targets {
            if target.entry.health == Health::Gone {
                self.listed.remove(&target.entry.backend);
            } else {
                self.listed.insert(target.entry.backend, target.clone());
            }
        }
        let listed = &self.listed;
        self.stats.keep(|id| listed.contains_key(&id));
    }

    /// Takes in a list as the operators' word leaves it: who is out counts as draining.
    fn list(&mut self, now: f64, kind: ListKind, mut targets: Vec<Target>, upstream: &Upstream) -> Event {
        for Target { entry, .. } in &mut targets {
            if entry.health == Health::Up && self.cordoned.contains_key(&entry.backend) {
                entry.health = Health::Draining;
            }
        }
        self.place(kind, &targets, upstream);
        let entries = targets.into_iter().map(|target| {
            let entry = target.entry;
            ListEntry {
                ready_at_ms: self.starts.local_start_ms(now, entry.backend, entry.ready_at_ms),
                ..entry
            }
        });
        Event::List { kind, entries: entries.collect() }
    }

    fn place(&mut self, kind: ListKind, targets: &[Target], upstream: &Upstream) {
        if matches!(kind, ListKind::Full | ListKind::Saved) {
            // Whoever the whole list leaves out is gone.
            for place in self.places.values_mut() {
                place.up = false;
            }
        }
        for Target { entry, address, uid } in targets {
            let up = entry.health == Health::Up;
            match (self.places.get_mut(&entry.backend), address) {
                (Some(place), address) => {
                    let address = address.unwrap_or(place.address);
                    if address != place.address || entry.ready_at_ms > place.ready_at_ms {
                        // What was connected to the old process or place is of no use.
                        upstream.release(entry.backend);
                    }
                    *place = Place { address, up, ready_at_ms: entry.ready_at_ms, uid: uid.clone() };
                }
                // Of one that is not up nothing has to be known.
                (None, Some(address)) if up => {
                    let place =
                        Place { address: *address, up, ready_at_ms: entry.ready_at_ms, uid: uid.clone() };
                    self.places.insert(entry.backend, place);
                }
                (None, _) => {}
            }
        }
        let mut left = Vec::new();
        self.places.retain(|id, place| {
            if !place.up {
                upstream.release(*id);
                left.push(place.uid.clone());
            }
            place.up
        });
        if !left.is_empty() {
            left.sort();
            let backends = left.iter().take(NAMED_IN_LOG).map(|uid| &**uid).collect::<Vec<_>>().join(",");
            log_event!(INFO, "backend", count = left.len(), backends = backends.as_str(), "backend.left");
        }
    }
}
