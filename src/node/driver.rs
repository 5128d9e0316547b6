//! Owns the balancer: turns inputs into events, one at a time, and performs the resulting actions.
//!
//! The driver keeps the state that the balancer does not hold: backend addresses, timers, and the open
//! requests and attempts. It makes no balancing decisions itself.

use crate::active_settings::ActiveSettings;
use crate::body::Upload;
use crate::durable::Cordon;
use crate::handover_log::{Line, RecordedStart};
use crate::initial_list::UNCONFIRMED_FIELD;
use crate::list_parser::ListContent;
use crate::log::{self, log_event};
use crate::machine_clock::machine_now_ms;
use crate::order_records::OrderRecords;
use crate::peers::Peers;
use crate::process_files::ProcessFiles;
use crate::stats::{RequestResult, Stats};
use crate::upstream::{
    AttemptResult, AttemptSpec, BackendResponse, ForwardedRequest, HttpConnection, Upstream,
};
use daleturn::Balancer;
use daleturn::control::operator_orders::{FleetOrder, KnownOrder, OrderVersion};
use daleturn::control::start_times::StartTimes;
use daleturn::control::subset::{Catalog, LinePosition, ListUpdate, Subset, SubsetStats, Target};
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

/// Clock of the balancer: milliseconds since 1970, read from the system clock once at startup and advanced
/// by the monotonic clock from there. Wall-clock times received from discovery can be compared with it, and
/// a given instant always converts to the same value.
#[derive(Clone, Copy)]
pub struct Clock {
    start: Instant,
    start_ms: f64,
    /// Start on the machine's monotonic clock, in milliseconds.
    machine_start_ms: f64,
}

impl Clock {
    /// Starts the clock at the current system time.
    pub fn new() -> Clock {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let machine_start_ms = machine_now_ms();
        Clock { start: Instant::now(), start_ms: wall.as_secs_f64() * 1000.0, machine_start_ms }
    }

    /// Converts a time of this clock to one on the machine's monotonic clock.
    pub fn to_machine_ms(self, at_ms: f64) -> f64 {
        at_ms - self.start_ms + self.machine_start_ms
    }

    /// Converts a time on the machine's monotonic clock to one of this clock.
    pub fn at_machine_ms(self, machine_ms: f64) -> f64 {
        machine_ms - self.machine_start_ms + self.start_ms
    }

    /// Returns the current time in milliseconds since 1970.
    pub fn now_ms(&self) -> f64 {
        self.at_ms(Instant::now())
    }

    /// Converts an instant after the start to milliseconds since 1970.
    pub fn at_ms(&self, at: Instant) -> f64 {
        self.start_ms + at.saturating_duration_since(self.start).as_secs_f64() * 1000.0
    }

    /// Converts milliseconds since 1970 to an instant.
    fn instant(&self, at_ms: f64) -> Instant {
        self.start + Duration::from_secs_f64(((at_ms - self.start_ms) / 1000.0).clamp(0.0, 1e9))
    }
}

/// Final answer to a client's request.
#[derive(Debug)]
pub enum Answer {
    /// Response of a backend.
    Served(BackendResponse),
    /// The request was not processed, so the client may safely retry.
    Refused {
        /// Recommended delay before the retry, in milliseconds.
        retry_after_ms: f64,
    },
    /// The request failed; it may have been processed.
    Failed,
    /// A backend rejected the request itself with this status.
    Rejected(StatusCode),
}

/// Sends the single answer to a request. Sending consumes the value, so no request is answered twice;
/// dropping it unsent fails the request.
pub struct ResponseSender(oneshot::Sender<Answer>);

impl ResponseSender {
    fn send(self, answer: Answer) {
        // The receiver is gone if the client has disconnected.
        let _ = self.0.send(answer);
    }
}

/// Receives the answer to a submitted request. Dropping it before the answer arrives reports that the
/// client left.
pub struct PendingResponse {
    driver: Rc<Driver>,
    id: RequestId,
    answer: oneshot::Receiver<Answer>,
    /// Set for a streamed request: its deadline is counted from the arrival of its last byte.
    upload: Option<Rc<Upload>>,
    from: Instant,
    wait: Duration,
}

impl PendingResponse {
    /// Waits for the answer. Returns [`Answer::Failed`] once the deadline has passed, even if attempts are
    /// still in flight.
    pub async fn wait(mut self) -> Answer {
        let expired = async {
            match &self.upload {
                Some(upload) => upload.arrival().passed(self.wait, self.from).await,
                None => tokio::time::sleep_until((self.from + self.wait).into()).await,
            }
        };
        tokio::select! {
            biased;
            answer = &mut self.answer => answer.unwrap_or(Answer::Failed),
            () = expired => Answer::Failed,
        }
    }
}

impl Drop for PendingResponse {
    fn drop(&mut self) {
        self.driver.handle(Input::ClientLeft(self.id));
    }
}

/// Everything that can happen to a node.
pub enum Input {
    /// The node has started.
    Start,
    /// New settings apply.
    Settings(Box<Settings>),
    /// State learned by the previous process of this node.
    Memory(Box<Memory>),
    /// Entries of a backend list.
    List(ListKind, Vec<Target>),
    /// A long full list of backends.
    FullList(ListKind, Catalog),
    /// The complete set of cordoned backends.
    Cordons(BTreeMap<BackendId, String>),
    /// A client's request arrived.
    RequestArrived(Request, Rc<ActiveSettings>, Rc<ForwardedRequest>, ResponseSender),
    /// The client disconnected or needs no answer any more.
    ClientLeft(RequestId),
    /// An attempt ended.
    AttemptEnded {
        /// The request.
        id: RequestId,
        /// Index of the attempt within the request.
        attempt: u32,
        /// Backend that the attempt was sent to.
        backend: BackendId,
        /// Result of the attempt.
        result: AttemptResult,
        /// Time since the attempt was sent, in milliseconds.
        elapsed_ms: f64,
    },
    /// The first bytes of a streamed response arrived, or the response to a streamed request did.
    ResponseStarted {
        /// The request.
        id: RequestId,
        /// Index of the attempt within the request.
        attempt: u32,
        /// Backend that the attempt was sent to.
        backend: BackendId,
        /// Response to forward; `None` if the complete response follows with the end of the attempt.
        response: Option<BackendResponse>,
        /// Response time that counts against the objective, in milliseconds.
        elapsed_ms: f64,
    },
    /// A probe ended: the backend, the result and the elapsed time in milliseconds.
    ProbeEnded(BackendId, AttemptResult, f64),
    /// The timer with this token is due.
    Timer(u64),
    /// An update from the shared state of the fleet.
    Shared(SharedUpdate),
    /// New weights of all zones, by zone number.
    ZoneWeights(Vec<f64>),
    /// A message from the node with this number.
    PeerMessage(u32, Vec<u8>),
}

/// Returns the length of the statistics window.
pub fn stats_window(options: &Options) -> Duration {
    Duration::from_secs(options.stats.window_s.into())
}

/// Returns the path of probes: a load report where backends provide one, otherwise a liveness check.
fn probe_path(settings: &Settings) -> &'static str {
    if settings.reporting == Reporting::None { "/alive" } else { "/metrics/load" }
}

/// Request without an answer, or with attempts that are still in flight.
struct OpenRequest {
    /// Settings by which the request's class number was assigned.
    active: Rc<ActiveSettings>,
    class: usize,
    response_sender: Option<ResponseSender>,
    forwarded: Rc<ForwardedRequest>,
    /// Cancellation handles of the attempts, by attempt index; `None` once an attempt has ended.
    attempts: Vec<Option<oneshot::Sender<()>>>,
    received_at: Instant,
    /// Backend, outcome and duration in milliseconds of each attempt that has ended.
    finished_attempts: Vec<(BackendId, Outcome, f64)>,
    rejected: Option<StatusCode>,
}

impl OpenRequest {
    fn is_finished(&self) -> bool {
        self.response_sender.is_none() && self.attempts.iter().all(Option::is_none)
    }

    /// Logs the attempts of a request that was not served, sampled, for lookup by trace ID.
    fn log_unserved(&self, answer: &Answer) {
        if !tracing::event_enabled!(target: "request", tracing::Level::INFO)
            || !log::admits(log::SAMPLED_TARGET)
        {
            return;
        }
        let text = |name: &str| {
            let value = self.forwarded.headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or("?");
            // The text is visible ASCII, so every byte is a character.
            &value[..value.len().min(MAX_LOGGED_HEADER_BYTES)]
        };
        let course: Vec<String> = (self.finished_attempts.iter())
            .map(|(backend, outcome, ms)| format!("{:016x} {outcome:?} {ms:.1}", backend.0))
            .collect();
        tracing::info!(
            target: "request",
            trace = text("x-trace-id"),
            class = text("x-qos"),
            ?answer,
            after_ms = (self.received_at.elapsed().as_secs_f64() * 1e4).round() / 10.0,
            course = course.join(", ").as_str(),
            out = self.attempts.iter().flatten().count(),
            "request.unserved"
        );
    }

    /// Returns the statistics result of this request if it is served now.
    fn served_result(&self) -> RequestResult {
        let total = self.received_at.elapsed();
        let late = total.as_secs_f64() * 1000.0 > self.active.settings.aim_ms(self.class);
        let away = self.finished_attempts.iter().map(|(_, _, ms)| ms).sum::<f64>().clamp(0.0, 1e9);
        let through = total.saturating_sub(Duration::from_secs_f64(away / 1000.0));
        RequestResult::Served { late, times: self.forwarded.upload.is_none().then_some((total, through)) }
    }
}

/// Writes a note of the balancer to the log.
fn log_note(core: &Core, note: &LogNote) {
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
        LogNote::Stopped(stop) => {
            let (counts, look) = (stop.0.to_string(), stop.1.to_string());
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

/// Returns the name of a health state as discovery spells it.
fn health_name(health: Health) -> &'static str {
    match health {
        Health::Up => "up",
        Health::Draining => "draining",
        Health::Gone => "removed",
    }
}

/// Returns the number of whole seconds since the first call, by the monotonic clock.
fn monotonic_second() -> u64 {
    static FIRST: std::sync::OnceLock<Instant> = std::sync::OnceLock::new();
    FIRST.get_or_init(Instant::now).elapsed().as_secs()
}

/// Returns a 32-bit value that distinguishes the starts of a backend in shared datagrams.
fn start_id(entry: &ListEntry) -> u32 {
    // Two starts differ in the low bits of their start times.
    entry.ready_at_ms.max(0.0) as u64 as u32
}

/// Error of a call that cordons or uncordons a backend.
#[derive(Debug, Error)]
pub enum CordonError {
    /// The backend is neither listed nor cordoned.
    #[error("no backend {0:?} is known")]
    Unknown(String),
    /// The change could not be stored, so it would not survive this process.
    #[error("nothing changed, it cannot be stored: {0}")]
    Unstored(#[from] std::io::Error),
}

/// Who gave an order on a backend, and what this node knew then.
#[derive(Clone, Copy, Debug)]
pub struct OrderOrigin {
    /// True for a release controller, false for an operator.
    pub is_release: bool,
    /// Latest order of the fleet on this backend that this node has heard of.
    pub version: Option<OrderVersion>,
}

/// Address of a backend that is or was up, with the state for which it was listed.
struct BackendAddress {
    address: SocketAddr,
    is_up: bool,
    ready_at_ms: f64,
    uid: Arc<str>,
}

/// Maximum length of a client's header value in the log.
const MAX_LOGGED_HEADER_BYTES: usize = 64;
/// Maximum number of backends named in one log event; the event also carries the total count.
const MAX_NAMES_PER_EVENT: usize = 8;

/// State that is borrowed while an input is handled.
struct Core {
    balancer: Balancer,
    stats: Stats,
    open_requests: HashMap<RequestId, OpenRequest>,
    addresses: HashMap<BackendId, BackendAddress>,
    /// The full backend list and the part of it that this node uses.
    subset: Subset,
    /// Start times of backends, on this node's clock.
    start_times: StartTimes,
    /// This node's part of the list as discovery reports it, including cordoned backends.
    listed: HashMap<BackendId, Target>,
    /// Backends cordoned by operators, listed or not.
    cordoned: BTreeMap<BackendId, String>,
    /// Zone health checks; `None` if they are disabled.
    zones: Option<Zones>,
    /// Current second, and the number of requests in the previous second and in this one.
    request_counts: (u64, [u32; 2]),
    /// Inputs that follow from the event being handled; they precede all queued inputs.
    follow_ups: VecDeque<Input>,
}

/// Factor by which a warm backend's assumed capacity exceeds the rate it was recently seen to serve.
const WARM_HEADROOM: f64 = 1.5;

/// Receives an observation and the start ID of its backend.
type ObservationSink = Box<dyn Fn(Observation, u32)>;

/// Runs the balancer: handles inputs and performs actions.
pub struct Driver {
    core: RefCell<Core>,
    pending_inputs: RefCell<VecDeque<Input>>,
    /// Clock of all events.
    pub clock: Clock,
    upstream: Rc<Upstream>,
    peers: Option<Rc<Peers>>,
    process_files: Rc<ProcessFiles>,
    order_records: OrderRecords,
    watch_requests: mpsc::UnboundedSender<bool>,
    probe_path: Cell<&'static str>,
    may_receive_messages: Cell<bool>,
    next_request_id: Cell<u64>,
    discovery_responded: Cell<bool>,
    list_version: Cell<Option<u64>>,
    /// Number of lists that exceeded the size limit.
    oversized_lists: Cell<u64>,
    /// Number of discovery responses to calls that had timed out or been replaced.
    late_responses: Cell<u64>,
    /// Receiver of the observations that the fleet shares.
    observation_sink: RefCell<Option<ObservationSink>>,
}

impl Driver {
    /// Creates a driver without a backend list. The balancer's requests to watch the list are sent on
    /// `watch_requests`.
    pub fn new(
        balancer: Balancer,
        active: &ActiveSettings,
        upstream: Rc<Upstream>,
        peers: Option<Rc<Peers>>,
        process_files: Rc<ProcessFiles>,
        watch_requests: mpsc::UnboundedSender<bool>,
        options: &Options,
    ) -> Rc<Driver> {
        Rc::new(Driver {
            core: RefCell::new(Core {
                balancer,
                stats: Stats::new(stats_window(options)),
                open_requests: HashMap::new(),
                addresses: HashMap::new(),
                subset: Subset::new(options.list.subset as usize, &active.settings),
                start_times: StartTimes::default(),
                listed: HashMap::new(),
                cordoned: process_files.cordons(),
                zones: None,
                request_counts: (0, [0; 2]),
                follow_ups: VecDeque::new(),
            }),
            pending_inputs: RefCell::default(),
            clock: Clock::new(),
            upstream,
            peers,
            order_records: OrderRecords::open(process_files.clone()),
            process_files,
            watch_requests,
            probe_path: Cell::new(probe_path(&active.settings)),
            may_receive_messages: Cell::new(active.settings.peer_messages),
            next_request_id: Cell::new(0),
            discovery_responded: Cell::new(false),
            list_version: Cell::new(None),
            oversized_lists: Cell::new(0),
            late_responses: Cell::new(0),
            observation_sink: RefCell::default(),
        })
    }

    /// Submits a request that arrived at `from`. The balancer has to finish it within `wait` less `margin`;
    /// after `wait` the returned [`PendingResponse`] fails it regardless of the balancer.
    pub fn submit(
        self: &Rc<Self>,
        mut request: Request,
        active: Rc<ActiveSettings>,
        forwarded: ForwardedRequest,
        from: Instant,
        wait: Duration,
        margin: Duration,
    ) -> PendingResponse {
        let id = RequestId(self.next_request_id.get());
        self.next_request_id.set(id.0 + 1);
        request.id = id;
        request.deadline_ms = self.clock.at_ms(from + wait.saturating_sub(margin));
        let (response_sender, answer) = oneshot::channel();
        let upload = forwarded.upload.clone();
        self.handle(Input::RequestArrived(
            request,
            active,
            Rc::new(forwarded),
            ResponseSender(response_sender),
        ));
        PendingResponse { driver: self.clone(), id, answer, upload, from, wait }
    }

    /// Returns the number of open requests.
    pub fn open_requests(&self) -> usize {
        self.core.borrow().open_requests.len()
    }

    /// Sets the version of the known list.
    pub fn set_list_version(&self, version: Option<u64>) {
        self.list_version.set(version);
    }

    /// Records that a discovery response has been applied completely.
    pub fn list_received(&self) {
        let core = &mut *self.core.borrow_mut();
        core.start_times.list_received(self.clock.now_ms());
        core.start_times.trim(|backend| core.subset.is_listed(backend));
    }

    /// Returns up to `count` lines of the list after a position, for another process of this node that gets
    /// the names of `zones` zones.
    pub fn lines_to_hand_over(
        &self,
        position: Option<LinePosition>,
        count: usize,
        zones: usize,
    ) -> Vec<(LinePosition, Line)> {
        let core = self.core.borrow();
        let lines = core.subset.lines_after(position, count).into_iter();
        lines.map(|(at, target)| (at, self.line_of(&core, target, zones))).collect()
    }

    /// Returns the lines of these backends for another process of this node.
    pub fn lines_of(&self, targets: &[Target], zones: usize) -> Vec<Line> {
        let core = self.core.borrow();
        targets.iter().map(|target| self.line_of(&core, target, zones)).collect()
    }

    fn line_of(&self, core: &Core, target: &Target, zones: usize) -> Line {
        let ListEntry { backend, ready_at_ms, .. } = target.entry;
        let local_start_ms = core.start_times.recorded_start_ms(backend, ready_at_ms);
        Line::new(target, zones, local_start_ms.map(|at_ms| self.clock.to_machine_ms(at_ms)))
    }

    /// Returns the statistics of the list and of this node's part of it.
    pub fn subset_stats(&self) -> SubsetStats {
        self.core.borrow().subset.stats()
    }

    /// Returns the zone in which a backend is listed.
    pub fn listed_zone(&self, id: BackendId) -> Option<u16> {
        self.core.borrow().subset.line(id).map(|line| line.entry.zone)
    }

    /// Restores start times that another process of this node has recorded. It received its last list at
    /// `received_ms` on the machine's monotonic clock.
    pub fn restore_starts(&self, starts: &[RecordedStart], received_ms: f64) {
        let core = &mut *self.core.borrow_mut();
        for start in starts {
            let local_ms = self.clock.at_machine_ms(start.started_ms);
            core.start_times.restore(start.backend, start.reported_ms, local_ms);
        }
        core.start_times.list_received(self.clock.at_machine_ms(received_ms));
    }

    /// Counts a list that exceeded the size limit.
    pub fn count_oversized_list(&self) {
        self.oversized_lists.set(self.oversized_lists.get() + 1);
    }

    /// Counts a discovery response to a call that had timed out or been replaced.
    pub fn count_late_response(&self) {
        self.late_responses.set(self.late_responses.get() + 1);
    }

    /// Returns the entries of a response that remove backends. With `omissions`, a full list also removes
    /// the backends that it does not contain.
    pub fn departures(&self, content: &ListContent, omissions: bool) -> Vec<Target> {
        let core = self.core.borrow();
        match content {
            ListContent::Entries(lines) => core.subset.departures(lines, omissions),
            ListContent::Catalog(catalog, _) => core.subset.departures(catalog.lines(), omissions),
            ListContent::Unchanged => Vec::new(),
        }
    }

    /// True if any of these backends is not yet known to have left.
    pub fn any_may_be_up(&self, departures: &[Target]) -> bool {
        let core = self.core.borrow();
        departures.iter().any(|line| core.subset.may_be_up(line.entry.backend))
    }

    /// Sets the length of the statistics window.
    pub fn set_stats_window(&self, window: Duration) {
        self.core.borrow_mut().stats.set_window(window);
    }

    /// Counts a request that was refused before it reached the balancer.
    pub fn count_early_refusal(&self, class: Option<&str>) {
        self.core.borrow_mut().stats.count_early_refusal(class);
    }

    /// Returns the statistics that the driver and the balancer hold, as JSON.
    pub fn stats_json(&self, active: &ActiveSettings) -> Value {
        let now = self.clock.now_ms();
        let core = &mut *self.core.borrow_mut();
        let snapshot = core.balancer.snapshot(now);
        let known: HashMap<BackendId, &BackendSnapshot> =
            snapshot.backends.iter().map(|b| (b.backend, b)).collect();
        let zone_name = |zone: u16| active.names.zone_name(zone).unwrap_or("?").to_owned();
        let mut zones: BTreeMap<String, [u64; 7]> = BTreeMap::new();
        // The balancer keeps little state for draining backends, so the listed and the cordoned ones are
        // merged here.
        let mut names: BTreeMap<&str, BackendId> =
            core.listed.iter().map(|(id, target)| (&*target.uid, *id)).collect();
        names.extend(core.cordoned.iter().map(|(id, uid)| (uid.as_str(), *id)));
        let mut backends = Vec::with_capacity(names.len());
        for (uid, id) in names {
            let (sent, done, failed) = core.stats.attempt_counts(id);
            let (ms, ms_squared) = core.stats.response_time_sums(id);
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
            let counts = [
                1,
                u64::from(up),
                u64::from(up && congested),
                u64::from(up && cold),
                u64::from(in_flight),
                sent,
                failed,
            ];
            sums.iter_mut().zip(counts).for_each(|(sum, n)| *sum += n);
            let hundredths = |v: f64| (v * 100.0).round() / 100.0;
            backends.push(json!({
                "id": uid, "zone": zone, "state": state, "verdict": if congested { "congested" } else { "live" },
                "trial_in_ms": trial_in_ms, "cap": b.map(|b| hundredths(b.cap)), "in_flight": in_flight,
                "cold": cold, "pressure": b.map(|b| hundredths(b.pressure)), "sent": sent, "done": done,
                "failed": failed, "ms_sum": hundredths(ms), "ms_squared_sum": hundredths(ms_squared),
                "listed": listed.map(|l| health_name(l.entry.health)),
                "start_ms": listed.map(|l| l.entry.ready_at_ms.max(0.0).round() as u64),
            }));
        }
        let own_zone = active.settings.zone.map(zone_name);
        let zones: Vec<Value> = (zones.into_iter())
            .map(|(zone, [listed, up, congested, cold, in_flight, sent, failed])| {
                json!({"own": own_zone.as_ref() == Some(&zone), "zone": zone, "backends": listed, "up": up,
                       "congested": congested, "cold": cold, "in_flight": in_flight, "sent": sent, "failed": failed})
            })
            .collect();
        let [level, room, no_backend] = snapshot.refusals.stopped;
        let load = snapshot.load;
        let mut json = core.stats.json();
        json["open"] = core.open_requests.len().into();
        json["refused"] = json!({"level": level, "room": room, "no_backend": no_backend,
            "given_up": snapshot.refusals.given_up, "node_full": core.stats.early_refusals()});
        json["admission"] = json!({"level": load.level, "strain": load.strain, "pressure": load.pressure});
        let subset = core.subset.stats();
        json["list"] = json!({"version": self.list_version.get(), "backends": subset.listed, "up": subset.up,
            "held": subset.held, "joined": subset.joined, "left_out": subset.left_out, "too_long": self.oversized_lists.get(),
            "late": self.late_responses.get(),
            "held_by": core.balancer.settings().nodes_per_backend()});
        json["backends"] = backends.into();
        json["zones"] = zones.into();
        json
    }

    /// Fails all open requests because the process is about to end.
    pub fn fail_all(self: &Rc<Self>) {
        let ids: Vec<RequestId> = self.core.borrow().open_requests.keys().copied().collect();
        for id in ids {
            self.handle(Input::ClientLeft(id));
        }
    }

    /// True if at least one backend is up.
    pub fn has_backend_up(&self) -> bool {
        self.core.borrow().addresses.values().any(|p| p.is_up)
    }

    /// True if a backend list is known.
    pub fn has_list(&self) -> bool {
        !self.core.borrow().listed.is_empty()
    }

    /// True once a response of discovery has been applied or, in on-request mode, a call has failed.
    pub fn has_discovery_responded(&self) -> bool {
        self.discovery_responded.get()
    }

    /// Replaces the set of cordoned backends with one that another process of this node may have stored.
    pub fn set_cordons(self: &Rc<Self>, cordoned: BTreeMap<BackendId, String>) {
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
            self.handle(Input::Cordons(cordoned));
        }
    }

    /// Sets the receiver of shared observations; each comes with the start ID of its backend. The receiver
    /// is called while an event is handled and must not call back into the driver.
    pub fn set_observation_sink(&self, sink: impl Fn(Observation, u32) + 'static) {
        self.observation_sink.replace(Some(Box::new(sink)));
    }

    /// Returns the requests per second that each tenant sends to this node, by tenant number.
    pub fn tenant_request_rates(&self) -> Vec<f64> {
        self.core.borrow().balancer.tenant_request_rates()
    }

    /// Returns the listed backend with this short ID and, if given, this start ID.
    pub fn find_listed(&self, short: u32, start: Option<u32>) -> Option<BackendId> {
        let core = self.core.borrow();
        let found = core
            .listed
            .iter()
            .find(|(id, t)| id.short() == short && start.is_none_or(|start| start == start_id(&t.entry)));
        found.map(|(id, _)| *id)
    }

    /// Applies an order for the whole fleet that another node received, whether or not the backend is listed,
    /// unless this node knows a later order.
    pub fn apply_fleet_order(self: &Rc<Self>, uid: &str, order: FleetOrder) {
        let (out, is_release) = (order.cordoned, false);
        if let Some(known) = self.latest_order(uid).filter(|known| !order.supersedes(known)) {
            log_event!(INFO, "share", backend = uid, out, held = known.cordoned, "share.order_outdated");
            return;
        }
        let FleetOrder { cordoned, given_ms, version } = order;
        self.order_records
            .record(uid, KnownOrder { cordoned, given_ms, version: Some(version), is_release });
        let stored = if out { self.process_files.cordon(uid) } else { self.process_files.uncordon(uid) };
        let stored = stored.err().map(|e| e.to_string());
        log_event!(INFO, "share", backend = uid, out, ?stored, "share.operators_word");
        self.set_cordoned(uid, out);
    }

    /// Returns the latest order on a backend that this node has carried out.
    pub fn latest_order(&self, uid: &str) -> Option<KnownOrder> {
        let id = BackendId(stable_hash(uid));
        let cordoned = self.core.borrow().cordoned.contains_key(&id);
        self.order_records.latest(uid, cordoned)
    }

    /// Records the version that an order of this node got in the fleet.
    pub fn record_order_version(&self, uid: &str, version: Option<OrderVersion>) {
        if let Some(order) = self.latest_order(uid) {
            self.order_records.record(uid, KnownOrder { version, ..order });
        }
    }

    /// Takes a backend out of use or puts it back.
    fn set_cordoned(self: &Rc<Self>, uid: &str, out: bool) {
        let mut cordoned = self.core.borrow().cordoned.clone();
        let id = BackendId(stable_hash(uid));
        if out {
            cordoned.insert(id, uid.to_owned());
        } else {
            cordoned.remove(&id);
        }
        self.handle(Input::Cordons(cordoned));
    }

    /// Enables zone health checks.
    pub fn enable_zone_checks(&self, home_zone: Option<u16>, cold_ms: f64) {
        self.core.borrow_mut().zones = Some(Zones::new(self.clock.now_ms(), home_zone, cold_ms));
    }

    /// Updates the zone health checks and returns the zones that changed. `peer_reports` returns how
    /// many other nodes report a zone as lost; `others` is true if any other node is reachable.
    pub fn update_zones(&self, others: bool, peer_reports: impl Fn(u16) -> usize) -> Vec<ZoneChange> {
        let core = &mut *self.core.borrow_mut();
        let Some(zones) = &mut core.zones else { return Vec::new() };
        let mut up = BTreeMap::new();
        for target in core.listed.values() {
            let is_up =
                target.entry.health == Health::Up && !core.cordoned.contains_key(&target.entry.backend);
            *up.entry(target.entry.zone).or_insert(0_usize) += usize::from(is_up);
        }
        let now = self.clock.now_ms();
        let mut tripped = BTreeMap::new();
        for b in core.balancer.snapshot(now).backends.iter().filter(|b| b.up && b.trial_at_ms.is_some()) {
            *tripped.entry(b.zone).or_insert(0_usize) += 1;
        }
        zones.set_servers(now, &up, &tripped);
        up.keys().for_each(|zone| zones.set_peer_reports(*zone, peer_reports(*zone)));
        zones.tick(now, others)
    }

    /// Applies or revokes an operator's order on a zone. Returns false if the zone is unknown.
    pub fn order_zone(&self, zone: u16, order: Option<ZoneOrder>) -> bool {
        let now = self.clock.now_ms();
        self.core.borrow_mut().zones.as_mut().is_some_and(|z| z.apply_order(now, zone, order))
    }

    /// Returns the state of all zones, or `None` if zone health checks are disabled.
    pub fn zone_states(&self) -> Option<Vec<daleturn::control::zones::ZoneStats>> {
        self.core.borrow().zones.as_ref().map(Zones::stats)
    }

    /// True if this node, rather than the zones, appears to be cut off from the network.
    pub fn is_isolated(&self) -> bool {
        self.core.borrow().zones.as_ref().is_some_and(Zones::is_isolated)
    }

    /// Checks whether the remaining backends can serve the current load without a zone.
    ///
    /// # Errors
    /// Returns the figures as text if the known capacity of the remaining backends does not suffice.
    pub fn check_without_zone(&self, zone: u16) -> Result<(), String> {
        let core = self.core.borrow();
        let snapshot = core.balancer.snapshot(self.clock.now_ms());
        let left_out = |b: &BackendSnapshot| {
            let zones = core.zones.as_ref().map(Zones::stats).unwrap_or_default();
            b.zone == zone || zones.iter().any(|z| z.zone == b.zone && matches!(z.state, "out" | "held"))
        };
        let left =
            snapshot.backends.iter().filter(|b| b.up && b.trial_at_ms.is_none() && !left_out(b)).count();
        let asked = core.request_counts.1.iter().copied().max().unwrap_or(0);
        let per_backend = snapshot.warm_rate * WARM_HEADROOM;
        if left > 0 && f64::from(asked) <= per_backend * left as f64 {
            return Ok(());
        }
        Err(format!(
            "nothing changed: {left} backends would be left, known to serve {:.0} a second for this node, and {asked} are \
             asked; --force does it all the same",
            per_backend * left as f64
        ))
    }

    /// Returns the state that the balancer has learned.
    pub fn memory(&self) -> Memory {
        self.core.borrow().balancer.memory()
    }

    /// Restores state that another process of this node has learned.
    pub fn restore_memory(self: &Rc<Self>, memory: Memory) {
        self.handle(Input::Memory(Box::new(memory)));
    }

    /// True if a cordon survives this process.
    pub fn can_store(&self) -> bool {
        self.process_files.can_store()
    }

    /// Adds cordons stored before this start.
    pub fn restore_cordons(self: &Rc<Self>, stored: &BTreeMap<String, Cordon>) {
        let mut cordoned = self.core.borrow().cordoned.clone();
        cordoned.extend(stored.keys().map(|uid| (BackendId(stable_hash(uid)), uid.clone())));
        self.handle(Input::Cordons(cordoned));
        for (uid, cordon) in stored {
            let is_recorded = self.latest_order(uid).is_some_and(|order| order.version.is_some());
            if !is_recorded {
                let (given_ms, is_release) = (cordon.since_ms as f64, cordon.is_release);
                let order = KnownOrder { cordoned: true, given_ms, version: None, is_release };
                self.order_records.record(uid, order);
            }
        }
    }

    /// Returns the IDs of all cordoned backends.
    pub fn cordoned_backends(&self) -> Vec<String> {
        self.core.borrow().cordoned.values().cloned().collect()
    }

    /// Checks that a backend is listed or cordoned.
    ///
    /// # Errors
    /// Returns [`CordonError::Unknown`] if it is neither.
    pub fn check_known(&self, uid: &str) -> Result<(), CordonError> {
        self.find_known(uid).map(drop)
    }

    /// Returns the known list, or this node's part of a long one, as discovery's JSON. `version` is that of
    /// the last response that it contains as a whole.
    pub fn list_json(&self, active: &ActiveSettings, version: Option<u64>) -> String {
        let core = self.core.borrow();
        let targets: Vec<Value> = (core.listed.values())
            .map(|t| {
                let (e, endpoint) = (&t.entry, t.address.map(|a| a.to_string()));
                json!({"uid": &*t.uid, "endpoint": endpoint, "az": active.names.zone_name(e.zone),
                       "pod_group": e.cell, "state": health_name(e.health), "capacity_hint": e.units,
                       "boot_ms": e.ready_at_ms})
            })
            .collect();
        // A partial list must not be used as the base of incremental changes.
        let is_unconfirmed = self.list_version.get().is_none();
        let all = !core.subset.is_truncated() && !is_unconfirmed;
        json!({"rev": version.unwrap_or(0), "all": all, UNCONFIRMED_FIELD: is_unconfirmed, "targets": targets})
            .to_string()
    }

    /// Cordons a backend: the balancer treats it as draining, whatever its listed state.
    pub fn cordon(self: &Rc<Self>, uid: &str, origin: OrderOrigin) -> Result<String, CordonError> {
        self.find_known(uid)?;
        self.record_order(uid, true, origin);
        self.process_files.cordon(uid)?;
        self.set_cordoned(uid, true);
        Ok(format!("{uid} is out"))
    }

    /// Uncordons a backend: its listed state applies again.
    pub fn uncordon(self: &Rc<Self>, uid: &str, origin: OrderOrigin) -> Result<String, CordonError> {
        let id = self.find_known(uid)?;
        self.record_order(uid, false, origin);
        self.process_files.uncordon(uid)?;
        let was_out = self.core.borrow().cordoned.contains_key(&id);
        self.set_cordoned(uid, false);
        Ok(format!("{uid} {}", if was_out { "is back" } else { "was not out" }))
    }

    /// Records an order that this node receives.
    fn record_order(&self, uid: &str, cordoned: bool, origin: OrderOrigin) {
        let OrderOrigin { is_release, version } = origin;
        let given_ms = self.clock.now_ms();
        self.order_records.record(uid, KnownOrder { cordoned, given_ms, version, is_release });
    }

    /// Returns the ID of a backend that is listed or cordoned.
    fn find_known(&self, uid: &str) -> Result<BackendId, CordonError> {
        let id = BackendId(stable_hash(uid));
        let core = self.core.borrow();
        let known = core.subset.is_listed(id) || core.cordoned.contains_key(&id);
        if known { Ok(id) } else { Err(CordonError::Unknown(uid.to_owned())) }
    }

    /// Applies new settings.
    pub fn apply_settings(self: &Rc<Self>, active: &ActiveSettings) {
        self.probe_path.set(probe_path(&active.settings));
        self.may_receive_messages.set(active.settings.peer_messages);
        self.handle(Input::Settings(Box::new(active.settings.clone())));
    }

    /// Handles an input. Inputs that arise while an event is being handled are queued until it is done.
    pub fn handle(self: &Rc<Self>, input: Input) {
        self.discovery_responded
            .set(self.discovery_responded.get() || matches!(&input, Input::List(kind, _) | Input::FullList(kind, _) if *kind != ListKind::Saved));
        self.pending_inputs.borrow_mut().push_back(input);
        let Ok(mut core) = self.core.try_borrow_mut() else { return };
        let mut actions = Vec::new();
        loop {
            let next = core.follow_ups.pop_front().or_else(|| self.pending_inputs.borrow_mut().pop_front());
            let Some(input) = next else { return };
            let now = self.clock.now_ms();
            let Some(event) = core.record_input(now, input, &self.upstream) else { continue };
            core.balancer.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.perform(&mut core, action);
            }
        }
    }

    /// Handles a message from another node if the settings allow peer messages.
    pub fn handle_peer_message(self: &Rc<Self>, from: u32, bytes: Vec<u8>) {
        if self.may_receive_messages.get() {
            self.handle(Input::PeerMessage(from, bytes));
        }
    }

    /// Queues an input that arises while an action is performed.
    fn enqueue(&self, input: Input) {
        self.pending_inputs.borrow_mut().push_back(input);
    }

    /// Performs an action of the balancer.
    fn perform(self: &Rc<Self>, core: &mut Core, action: Action) {
        match action {
            Action::Send { id, backend, timeout_ms } => self.send(core, id, backend, timeout_ms),
            Action::Cancel { id, attempt } => {
                let handle =
                    core.open_requests.get_mut(&id).and_then(|o| o.attempts.get_mut(attempt as usize));
                // Dropping the sender cancels the attempt, which closes its connection and reports its end.
                drop(handle.and_then(|a| a.as_mut()).map(|a| std::mem::replace(a, oneshot::channel().0)));
            }
            Action::Refuse { id, retry_after_ms } => {
                core.send_answer(id, Answer::Refused { retry_after_ms }, false)
            }
            Action::Fail(id) => {
                let rejected = core.open_requests.get(&id).and_then(|o| o.rejected);
                core.send_answer(id, rejected.map_or(Answer::Failed, Answer::Rejected), false);
            }
            Action::Timer { token, at_ms } => {
                let driver = self.clone();
                let due = self.clock.instant(at_ms);
                spawn_local(async move {
                    tokio::time::sleep_until(due.into()).await;
                    driver.handle(Input::Timer(token));
                });
            }
            Action::Probe(backend) => self.probe(core, backend),
            Action::CloseIdleConnections(backend) => self.upstream.close_idle(backend),
            Action::SendPeerMessage { to, bytes } => {
                if let Some(peers) = &self.peers {
                    peers.send(to, &bytes);
                }
            }
            Action::ShareObservation(observation) => {
                let (Observation::Backend { backend, .. } | Observation::Key { backend, .. }) = observation;
                let start = core.listed.get(&backend).map_or(0, |t| start_id(&t.entry));
                if let Some(sink) = &*self.observation_sink.borrow() {
                    sink(observation, start);
                }
            }
            // The receiver is gone while the node is stopping.
            Action::Watch(on) => drop(self.watch_requests.send(on)),
            Action::Log(note) => log_note(core, &note),
        }
    }

    /// Starts an attempt; the end of its task reports the result.
    fn send(self: &Rc<Self>, core: &mut Core, id: RequestId, backend: BackendId, timeout_ms: f64) {
        let Some(open) = core.open_requests.get_mut(&id) else { return };
        let attempt = u32::try_from(open.attempts.len()).unwrap_or(u32::MAX);
        let (cancel, mut cancelled) = oneshot::channel::<()>();
        let mut report = AttemptReport {
            driver: self.clone(),
            id,
            attempt,
            backend,
            started_at: Instant::now(),
            result: Some(Outcome::Reset.into()),
        };
        open.attempts.push(Some(cancel));
        let known = core.addresses.get(&backend);
        let (Some(_), Some(known)) = (&open.response_sender, known) else {
            let outcome = if known.is_some() { Outcome::Skipped } else { Outcome::NotConnected };
            report.result = Some(outcome.into());
            return;
        };
        if open.forwarded.upload.as_ref().is_some_and(|u| u.is_spent()) {
            // The body was consumed by a failed attempt and cannot be sent again.
            report.result = Some(Outcome::Skipped.into());
            return;
        }
        core.stats.count_sent(backend);
        let timeout = Duration::from_secs_f64(timeout_ms.clamp(0.0, 1e9) / 1000.0);
        let spec =
            AttemptSpec { backend, address: known.address, forwarded: open.forwarded.clone(), timeout };
        let driver = self.clone();
        spawn_local(async move {
            let before_send = || driver.check_attempt(&spec, id, attempt);
            let started = |response, took: Duration| {
                let elapsed_ms = took.as_secs_f64() * 1000.0;
                driver.handle(Input::ResponseStarted {
                    id,
                    attempt,
                    backend,
                    response: Some(response),
                    elapsed_ms,
                });
            };
            let (result, conn) = tokio::select! {
                biased;
                _ = &mut cancelled => (Outcome::Cancelled.into(), None),
                end = driver.upstream.attempt(&spec, before_send, started) => end,
            };
            if let (Some(took), Some(_)) = (result.took, &result.response) {
                let elapsed_ms = took.as_secs_f64() * 1000.0;
                driver.handle(Input::ResponseStarted { id, attempt, backend, response: None, elapsed_ms });
            }
            report.result = Some(result);
            drop(report);
            driver.keep_connection(spec.backend, spec.address, conn);
        });
    }

    /// Returns a connection to the pool unless its backend has meanwhile drained, left or moved.
    fn keep_connection(&self, backend: BackendId, address: SocketAddr, conn: Option<HttpConnection>) {
        if let Some(conn) = conn.filter(|_| self.check_address(backend, address).is_none()) {
            self.upstream.keep_connection(backend, conn);
        }
    }

    /// Final check before an attempt is sent. Returns the outcome if it must not be sent.
    fn check_attempt(&self, spec: &AttemptSpec, id: RequestId, attempt: u32) -> Option<Outcome> {
        self.check_address(spec.backend, spec.address)
            .or_else(|| self.core.borrow().balancer.check_before_send(self.clock.now_ms(), id, attempt))
    }

    /// Returns `NotConnected` unless the backend is up at this address.
    fn check_address(&self, backend: BackendId, address: SocketAddr) -> Option<Outcome> {
        let core = self.core.borrow();
        let is_current = core.addresses.get(&backend).is_some_and(|p| p.is_up && p.address == address);
        (!is_current).then_some(Outcome::NotConnected)
    }

    /// Starts a probe of a backend.
    fn probe(self: &Rc<Self>, core: &Core, backend: BackendId) {
        let Some(address) = core.addresses.get(&backend).map(|p| p.address) else {
            self.enqueue(Input::ProbeEnded(backend, Outcome::NotConnected.into(), 0.0));
            return;
        };
        let driver = self.clone();
        let started_at = Instant::now();
        spawn_local(async move {
            let before_send = || driver.check_address(backend, address);
            let (result, conn) =
                driver.upstream.probe(backend, address, driver.probe_path.get(), before_send).await;
            driver.handle(Input::ProbeEnded(backend, result, started_at.elapsed().as_secs_f64() * 1000.0));
            driver.keep_connection(backend, address, conn);
        });
    }
}

/// Reports the end of an attempt exactly once, when dropped. If its task ends unexpectedly the attempt
/// counts as `Reset`, because the backend may have processed it.
struct AttemptReport {
    driver: Rc<Driver>,
    id: RequestId,
    attempt: u32,
    backend: BackendId,
    started_at: Instant,
    result: Option<AttemptResult>,
}

impl Drop for AttemptReport {
    fn drop(&mut self) {
        let result = self.result.take().unwrap_or_else(|| Outcome::Reset.into());
        let (id, attempt, backend) = (self.id, self.attempt, self.backend);
        let elapsed_ms = result.took.unwrap_or_else(|| self.started_at.elapsed()).as_secs_f64() * 1000.0;
        self.driver.handle(Input::AttemptEnded { id, attempt, backend, result, elapsed_ms });
    }
}

impl Core {
    /// Records an input and converts it to an event; `None` if the balancer need not handle it.
    fn record_input(&mut self, now: f64, input: Input, upstream: &Upstream) -> Option<Event> {
        Some(match input {
            Input::Start => Event::Start,
            Input::Settings(mut settings) => {
                settings.held_by = self.subset.nodes_per_backend(settings.instances);
                if self.subset.update_settings(&settings) {
                    self.follow_ups.push_back(Input::List(ListKind::Changes, Vec::new()));
                }
                Event::Settings(settings)
            }
            Input::Memory(memory) => Event::Memory(memory),
            Input::List(kind, targets) => {
                for Target { entry, .. } in &targets {
                    self.start_times.record(now, entry.backend, entry.ready_at_ms);
                }
                let update = self.subset.apply(kind, targets);
                self.apply_list_update(now, update, upstream)
            }
            Input::FullList(kind, catalog) => {
                let update = self.subset.apply_full_list(kind, catalog);
                self.apply_list_update(now, update, upstream)
            }
            Input::Cordons(cordoned) => {
                let before = std::mem::replace(&mut self.cordoned, cordoned);
                let changed = self.listed.values().filter(|t| {
                    let id = &t.entry.backend;
                    before.contains_key(id) != self.cordoned.contains_key(id)
                });
                let changed: Vec<Target> = changed.cloned().collect();
                if changed.is_empty() {
                    return None;
                }
                self.list_event(now, ListKind::Changes, changed, upstream)
            }
            Input::RequestArrived(request, active, forwarded, response_sender) => {
                let (attempts, finished_attempts) = (Vec::new(), Vec::new());
                self.stats.count_request(active.names.class_name(request.class));
                let second = monotonic_second();
                if self.request_counts.0 != second {
                    let before =
                        if self.request_counts.0 + 1 == second { self.request_counts.1[1] } else { 0 };
                    self.request_counts = (second, [before, 0]);
                }
                self.request_counts.1[1] += 1;
                let open = OpenRequest {
                    active,
                    class: request.class,
                    response_sender: Some(response_sender),
                    forwarded,
                    attempts,
                    received_at: Instant::now(),
                    finished_attempts,
                    rejected: None,
                };
                self.open_requests.insert(request.id, open);
                Event::Request(request)
            }
            Input::ClientLeft(id) => {
                // A client that leaves after its answer changes nothing.
                self.open_requests.get(&id)?.response_sender.as_ref()?;
                self.send_answer(id, Answer::Failed, true);
                Event::ClientLeft(id)
            }
            Input::AttemptEnded { id, attempt, backend, result, elapsed_ms } => {
                let open = self.open_requests.get_mut(&id)?;
                open.attempts.get_mut(attempt as usize)?.take()?;
                open.finished_attempts.push((backend, result.outcome, elapsed_ms));
                open.rejected = result.rejected;
                self.stats.count_attempt_result(backend, result.outcome, elapsed_ms);
                let late = elapsed_ms > open.active.settings.aim_ms(open.class);
                if let (Some(zones), Some(target)) = (&mut self.zones, self.listed.get(&backend)) {
                    zones.record_outcome(target.entry.zone, backend.short(), result.outcome, late);
                }
                if let Some(response) = result.response
                    && let Some(response_sender) = open.response_sender.take()
                {
                    self.stats.count_result(open.active.names.class_name(open.class), open.served_result());
                    response_sender.send(Answer::Served(response));
                }
                let (last, outcome, load) = (open.response_sender.is_none(), result.outcome, result.load);
                if open.is_finished() {
                    self.open_requests.remove(&id);
                }
                Event::AttemptEnded(AttemptEnded { id, attempt, backend, outcome, last, elapsed_ms, load })
            }
            Input::ResponseStarted { id, attempt, backend, response, elapsed_ms } => {
                let open = self.open_requests.get_mut(&id)?;
                // A response that no client waits for is dropped here, which ends its attempt.
                if let Some(response) = response
                    && let Some(response_sender) = open.response_sender.take()
                {
                    open.finished_attempts.push((backend, Outcome::Done, elapsed_ms));
                    self.stats.count_result(open.active.names.class_name(open.class), open.served_result());
                    response_sender.send(Answer::Served(response));
                }
                Event::ResponseStarted { id, attempt, backend, elapsed_ms }
            }
            Input::ProbeEnded(backend, result, elapsed_ms) => {
                if let (Some(zones), Some(target)) = (&mut self.zones, self.listed.get(&backend)) {
                    zones.record_outcome(target.entry.zone, backend.short(), result.outcome, false);
                }
                Event::ProbeEnded { backend, outcome: result.outcome, elapsed_ms, load: result.load }
            }
            Input::Timer(token) => Event::Timer(token),
            Input::Shared(update) => Event::Shared(update),
            Input::ZoneWeights(weights) => Event::ZoneWeights(weights),
            Input::PeerMessage(from, bytes) => Event::PeerMessage { from, bytes },
        })
    }

    /// Sends the answer to a request and records the result. `client_left` is true if the client left,
    /// rather than the balancer having failed the request.
    fn send_answer(&mut self, id: RequestId, answer: Answer, client_left: bool) {
        let Some(open) = self.open_requests.get_mut(&id) else { return };
        if let Some(response_sender) = open.response_sender.take() {
            open.log_unserved(&answer);
            let result = match &answer {
                Answer::Refused { .. } => RequestResult::Refused,
                Answer::Rejected(_) => RequestResult::Rejected,
                Answer::Failed if client_left => RequestResult::Left,
                Answer::Failed | Answer::Served(_) => RequestResult::Failed,
            };
            self.stats.count_result(open.active.names.class_name(open.class), result);
            response_sender.send(answer);
        }
        if open.is_finished() {
            self.open_requests.remove(&id);
        }
    }

    /// Applies a list update to the part of the list that this node uses.
    fn apply_list_update(&mut self, now: f64, update: ListUpdate, upstream: &Upstream) -> Event {
        let ListUpdate { kind, lines, previous } = update;
        if let Some(previous) = previous {
            // Dropping a long list takes time, so it happens on a blocking thread.
            drop(tokio::task::spawn_blocking(move || drop(previous)));
        }
        self.update_listed(kind, &lines);
        self.update_nodes_per_backend();
        self.list_event(now, kind, lines, upstream)
    }

    /// Updates the number of nodes per backend, by which the balancer divides each backend's capacity. A
    /// change of at most an eighth is ignored, since new settings for every backend that comes or goes
    /// would be too frequent.
    fn update_nodes_per_backend(&mut self) {
        let settings = self.balancer.settings();
        let now = self.subset.nodes_per_backend(settings.instances);
        let same = match (now, settings.held_by) {
            (Some(now), Some(known)) => now.abs_diff(known) * 8 <= known,
            (now, known) => now == known,
        };
        if !same {
            let stats = self.subset.stats();
            let (listed, held, held_by) = (stats.listed, stats.held, now.unwrap_or(settings.instances));
            log_event!(INFO, "list", listed, held, held_by, "list.subset");
            self.follow_ups.push_back(Input::Settings(Box::new(settings.clone())));
        }
    }

    /// Updates the listed backends and drops the statistics of those that are no longer listed.
    fn update_listed(&mut self, kind: ListKind, targets: &[Target]) {
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
        self.stats.retain_listed(|id| listed.contains_key(&id));
    }

    /// Converts list entries to an event. Cordoned backends are passed on as draining.
    fn list_event(
        &mut self,
        now: f64,
        kind: ListKind,
        mut targets: Vec<Target>,
        upstream: &Upstream,
    ) -> Event {
        for Target { entry, .. } in &mut targets {
            if entry.health == Health::Up && self.cordoned.contains_key(&entry.backend) {
                entry.health = Health::Draining;
            }
        }
        self.update_addresses(kind, &targets, upstream);
        let entries = targets.into_iter().map(|target| {
            let entry = target.entry;
            ListEntry {
                ready_at_ms: self.start_times.local_start_ms(now, entry.backend, entry.ready_at_ms),
                ..entry
            }
        });
        Event::List { kind, entries: entries.collect() }
    }

    /// Updates the addresses of backends and closes idle connections that became useless.
    fn update_addresses(&mut self, kind: ListKind, targets: &[Target], upstream: &Upstream) {
        if matches!(kind, ListKind::Full | ListKind::Saved) {
            // Backends that a full list omits have left.
            for known in self.addresses.values_mut() {
                known.is_up = false;
            }
        }
        for Target { entry, address, uid } in targets {
            let is_up = entry.health == Health::Up;
            match (self.addresses.get_mut(&entry.backend), address) {
                (Some(known), address) => {
                    let address = address.unwrap_or(known.address);
                    if address != known.address || entry.ready_at_ms > known.ready_at_ms {
                        // Connections to the old process or address are useless.
                        upstream.close_idle(entry.backend);
                    }
                    *known =
                        BackendAddress { address, is_up, ready_at_ms: entry.ready_at_ms, uid: uid.clone() };
                }
                // No address is needed for a backend that is not up.
                (None, Some(address)) if is_up => {
                    let known = BackendAddress {
                        address: *address,
                        is_up,
                        ready_at_ms: entry.ready_at_ms,
                        uid: uid.clone(),
                    };
                    self.addresses.insert(entry.backend, known);
                }
                (None, _) => {}
            }
        }
        let mut departed = Vec::new();
        self.addresses.retain(|id, known| {
            if !known.is_up {
                upstream.close_idle(*id);
                departed.push(known.uid.clone());
            }
            known.is_up
        });
        if !departed.is_empty() {
            departed.sort();
            let backends =
                departed.iter().take(MAX_NAMES_PER_EVENT).map(|uid| &**uid).collect::<Vec<_>>().join(",");
            log_event!(
                INFO,
                "backend",
                count = departed.len(),
                backends = backends.as_str(),
                "backend.left"
            );
        }
    }
}
