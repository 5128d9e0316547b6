//! Owns the balancer: turns inputs into events, one at a time, and performs the resulting actions.
//!
//! The driver keeps the state that the balancer does not hold: backend addresses, timers, and the open
//! requests and attempts. It makes no balancing decisions itself. [`backend_list`] keeps the list,
//! [`cordons`] what operators have taken out of use, and [`zone_checks`] the health checks of zones.

mod backend_list;
mod cordons;
mod zone_checks;

pub use cordons::OrderOrigin;

use crate::active_settings::ActiveSettings;
use crate::body::Upload;
use crate::clock::Clock;
use crate::log::{self, log_event};
use crate::order_records::OrderRecords;
use crate::peers::Peers;
use crate::process_files::ProcessFiles;
use crate::stats::{RequestResult, Stats};
use crate::upstream::{
    AttemptResult, AttemptSpec, BackendResponse, ForwardedRequest, HttpConnection, Upstream,
};
use daleturn::Balancer;
use daleturn::control::start_times::StartTimes;
use daleturn::control::subset::{Catalog, Subset, Target};
use daleturn::control::zones::Zones;
use daleturn::interface::{
    Action, AttemptEnded, BackendId, BackendSnapshot, Event, Health, ListEntry, ListKind, LogNote, Memory,
    Observation, Outcome, Reporting, Request, RequestId, Settings, SharedUpdate,
};
use daleturn::options::Options;
use hyper::StatusCode;
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;

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

/// Address of a backend that is or was up, with the state for which it was listed.
struct BackendAddress {
    address: SocketAddr,
    is_up: bool,
    ready_at_ms: f64,
    uid: Arc<str>,
}

/// Maximum length of a client's header value in the log.
const MAX_LOGGED_HEADER_BYTES: usize = 64;

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

    /// True once a response of discovery has been applied or, in on-request mode, a call has failed.
    pub fn has_discovery_responded(&self) -> bool {
        self.discovery_responded.get()
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

    /// Returns the state that the balancer has learned.
    pub fn memory(&self) -> Memory {
        self.core.borrow().balancer.memory()
    }

    /// Restores state that another process of this node has learned.
    pub fn restore_memory(self: &Rc<Self>, memory: Memory) {
        self.handle(Input::Memory(Box::new(memory)));
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
}
