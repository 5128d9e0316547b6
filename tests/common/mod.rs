//! Test harness around one balancer. It keeps the clock, the list and the open requests, and checks the operators'
//! rules at every action of the balancer. It simulates no backends: each test decides how an attempt ends.
//!
//! The messages of its checks number the rules:
//! 1. Each request gets one result, at most `ANSWER_SLACK_MS` after its deadline.
//! 2. No attempt repeats one that may have run, and no refusal invites such a repeat, unless the class allows it. Two
//!    attempts of a request are in flight at once only where the settings allow second copies.
//! 3. A backend that drains or is gone gets no requests, and the idle connections to it are closed in time.
//!
//! The limits of the settings on attempts, cancelling, probes, messages and Retry-After are checked too.
#![allow(dead_code)]

use daleturn::Balancer;
use daleturn::control::subset::{Subset, Target};
use daleturn::interface::*;
use std::collections::{BTreeMap, BTreeSet};

/// Time after the client's deadline within which an answer still counts. The users' benchmark has the same.
const ANSWER_SLACK_MS: f64 = 20.0;

/// Returns a class with a worth of 1 for answers in time and 0 for late ones.
pub fn class(aim_ms: f64, deadline_ms: f64, effect: Effect) -> Class {
    Class { aim_ms, deadline_ms, worth: 1.0, late_worth: 0.0, effect, key_ttl_ms: 1000.0, aim_stretch: 0.0 }
}

/// Returns settings for tests, with one class for each effect. No deployment uses them.
pub fn settings() -> Settings {
    Settings {
        classes: vec![
            class(400.0, 1000.0, Effect::Safe),
            class(300.0, 800.0, Effect::Unsafe),
            class(300.0, 800.0, Effect::Keyed(Group::Zone)),
            class(300.0, 800.0, Effect::Keyed(Group::All)),
            class(300.0, 800.0, Effect::Keyed(Group::Cell)),
        ],
        tenants: vec![Tenant { quota_rps: 100.0 }],
        goal: Goal {
            whole: 0.5,
            worst_window: 0.2,
            worst_class: 0.2,
            worst_tenant: 0.1,
            nines: 0.0,
            full_at_nines: 3.0,
        },
        prices: Prices::default(),
        instances: 4,
        held_by: None,
        slot: 0,
        zone: None,
        weights: Weights::Nominal,
        reporting: Reporting::None,
        discovery: Discovery::Pushed,
        max_attempts: 3,
        may_cancel: true,
        second_copies: false,
        max_retry_after_ms: 2000.0,
        probes: true,
        peer_messages: false,
        open_cap: 1000,
        max_streams: 1,
        conn_idle_ms: 15_000.0,
        connect_timeout_ms: 250.0,
        cpu_us_per_s: 0.0,
        over_share_worth: 0.1,
        worth_by_work: false,
        warm_keys: false,
        cold_ms: 20_000.0,
        start_capacity: 0.2,
        fall_multiple: 3.0,
        fall_ms: 1500.0,
        late_shedding: false,
        drain_grace_ms: 500.0,
        drain_close_ms: None,
        must_ask_in_ms: 10_000.0,
        tick_ms: 5.0,
    }
}

/// True if the outcome proves that the attempt was never processed. The operators' rule is written here a second
/// time, so that the tests don't check the balancer against its own code.
fn is_proven_unprocessed(settings: &Settings, outcome: Option<Outcome>) -> bool {
    match outcome {
        Some(Outcome::NotConnected | Outcome::Skipped) => true,
        Some(Outcome::Full) => !settings.late_shedding,
        _ => false,
    }
}

/// True if the operators' rule on repeats allows attempt `n` at `backend`, given the other attempts of the request.
/// For a new attempt `n` is `usize::MAX`.
fn may_repeat(
    settings: &Settings,
    list: &BTreeMap<BackendId, ListEntry>,
    request: &RequestState,
    n: usize,
    backend: BackendId,
    now_ms: f64,
) -> bool {
    let others = request.attempts.iter().enumerate().filter(|(number, _)| *number != n);
    let Some(other) = others
        .map(|(_, attempt)| attempt)
        .find(|attempt| !is_proven_unprocessed(settings, attempt.outcome))
    else {
        return true;
    };
    let class = settings.classes.get(request.request.class);
    let (previous, next) = (&list[&other.backend], &list[&backend]);
    match class.map_or(Effect::Unsafe, |class| class.effect) {
        Effect::Safe => true,
        Effect::Unsafe => false,
        Effect::Keyed(group) => {
            let is_same_group = match group {
                Group::All => true,
                Group::Zone => previous.zone == next.zone,
                Group::Cell => previous.cell == next.cell,
            };
            is_same_group && now_ms <= other.sent_at_ms + class.map_or(0.0, |class| class.key_ttl_ms)
        }
    }
}

/// An attempt that the balancer has sent.
#[derive(Debug)]
pub struct SentAttempt {
    pub backend: BackendId,
    pub sent_at_ms: f64,
    pub times_out_at_ms: f64,
    /// None while the attempt is in flight.
    pub outcome: Option<Outcome>,
    /// True once the balancer was told that the response has started.
    pub response_started: bool,
}

/// A request with its attempts and its result.
#[derive(Debug)]
pub struct RequestState {
    pub request: Request,
    pub attempts: Vec<SentAttempt>,
    /// "done", "refused", "failed" or "left" (the client disconnected); None while the request is open.
    pub result: Option<&'static str>,
}

/// One balancer with the state that a node keeps around it.
pub struct Harness {
    pub settings: Settings,
    pub balancer: Balancer,
    pub now_ms: f64,
    /// The full list. Backends that left it stay here with `Health::Gone`.
    pub list: BTreeMap<BackendId, ListEntry>,
    pub requests: BTreeMap<RequestId, RequestState>,
    /// Time in milliseconds and token of each pending timer.
    pub timers: Vec<(f64, u64)>,
    /// Backends whose probes are in flight.
    pub pending_probes: Vec<BackendId>,
    pub logs: Vec<String>,
    pub observations: Vec<Observation>,
    /// Times at which the balancer asked for the list.
    pub watch_times_ms: Vec<f64>,
    /// Time at which the balancer last closed the idle connections to a backend.
    pub idle_closed_at_ms: BTreeMap<BackendId, f64>,
    /// Time at which a backend began to drain, or of the last outcome there if that is later.
    pub draining_since_ms: BTreeMap<BackendId, f64>,
    /// All actions so far.
    pub trace: Vec<Action>,
    /// If set, the balancer sees only this subset of the list: the selection, and the backends in it that are up. The
    /// rules are still checked against the full list.
    pub subset: Option<(Subset, BTreeSet<BackendId>)>,
    next_request_id: u64,
}

impl Harness {
    pub fn new(settings: Settings, seed: u64) -> Harness {
        let balancer = Balancer::new(settings.clone(), seed).expect("usable settings");
        let mut harness = Harness {
            settings,
            balancer,
            now_ms: 1000.0,
            list: BTreeMap::new(),
            requests: BTreeMap::new(),
            timers: Vec::new(),
            pending_probes: Vec::new(),
            logs: Vec::new(),
            observations: Vec::new(),
            watch_times_ms: Vec::new(),
            idle_closed_at_ms: BTreeMap::new(),
            draining_since_ms: BTreeMap::new(),
            trace: Vec::new(),
            subset: None,
            next_request_id: 0,
        };
        harness.feed(Event::Start);
        harness
    }

    /// Creates a harness whose list has `count` backends that are up.
    pub fn with_backends(settings: Settings, seed: u64, count: u64) -> Harness {
        let mut harness = Harness::new(settings, seed);
        let entries = (1..=count).map(up_entry).collect();
        harness.update_list(ListKind::Full, entries);
        harness
    }

    /// Passes an event to the balancer, then checks and records its actions.
    pub fn feed(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.balancer.handle(self.now_ms, event, &mut actions);
        for action in &actions {
            self.check(action);
        }
        self.trace.extend(actions);
    }

    /// Checks an action against the rules and applies it to the harness.
    fn check(&mut self, action: &Action) {
        match action {
            Action::Send { id, backend, timeout_ms } => {
                let request = self.requests.get_mut(id).expect("a known request");
                assert!(request.result.is_none(), "rule 1: sent after the request ended");
                assert!(
                    request.attempts.len() < self.settings.max_attempts as usize,
                    "more attempts than allowed"
                );
                let entry = self.list.get(backend).expect("a listed backend");
                assert_eq!(entry.health, Health::Up, "rule 3: sent to a backend that drains or is gone");
                let is_in_flight = request.attempts.iter().any(|attempt| attempt.outcome.is_none());
                assert!(self.settings.second_copies || !is_in_flight, "rule 2: two attempts at once");
                let may_send =
                    may_repeat(&self.settings, &self.list, request, usize::MAX, *backend, self.now_ms);
                assert!(may_send, "rule 2: sent again though the first attempt may have run");
                let times_out_at_ms =
                    if *timeout_ms > 0.0 { self.now_ms + timeout_ms } else { request.request.deadline_ms };
                let times_out_at_ms = times_out_at_ms.min(request.request.deadline_ms);
                request.attempts.push(SentAttempt {
                    backend: *backend,
                    sent_at_ms: self.now_ms,
                    times_out_at_ms,
                    outcome: None,
                    response_started: false,
                });
            }
            Action::Refuse { id, retry_after_ms } => {
                assert!(*retry_after_ms <= self.settings.max_retry_after_ms, "Retry-After above its limit");
                assert!(*retry_after_ms > 0.0, "refused without a Retry-After");
                let request = self.requests.get_mut(id).expect("a known request");
                assert!(request.result.is_none(), "rule 1: two results");
                let effect = self
                    .settings
                    .classes
                    .get(request.request.class)
                    .map_or(Effect::Unsafe, |class| class.effect);
                let none_processed = request
                    .attempts
                    .iter()
                    .all(|attempt| is_proven_unprocessed(&self.settings, attempt.outcome));
                let may_refuse =
                    none_processed || matches!(effect, Effect::Safe | Effect::Keyed(Group::All));
                assert!(may_refuse, "rule 2: refused though an attempt may have run");
                request.result = Some("refused");
            }
            Action::Fail(id) => {
                let request = self.requests.get_mut(id).expect("a known request");
                assert!(request.result.is_none(), "rule 1: two results");
                request.result = Some("failed");
            }
            Action::Cancel { id, attempt } => {
                assert!(self.settings.may_cancel, "cancelling is not allowed");
                let attempts = &self.requests[id].attempts;
                let cancelled = attempts.get(*attempt as usize).expect("an attempt that was sent");
                assert!(!cancelled.response_started, "cancelled an attempt whose response has started");
            }
            Action::Timer { token, at_ms } => self.timers.push((*at_ms, *token)),
            Action::Probe(backend) => {
                assert!(self.settings.probes, "probing is not allowed");
                self.pending_probes.push(*backend);
            }
            Action::CloseIdleConnections(backend) => {
                assert!(self.list.contains_key(backend), "connections closed to an unlisted backend");
                self.idle_closed_at_ms.insert(*backend, self.now_ms);
            }
            Action::SendPeerMessage { .. } => {
                assert!(self.settings.peer_messages, "messages are not allowed")
            }
            Action::ShareObservation(observation) => self.observations.push(*observation),
            Action::Log(note) => self.logs.push(note.to_string()),
            Action::Watch(_) => self.watch_times_ms.push(self.now_ms),
        }
    }

    /// Applies an update to the list and passes it, or the subset's share of it, to the balancer.
    pub fn update_list(&mut self, kind: ListKind, entries: Vec<ListEntry>) {
        if matches!(kind, ListKind::Full | ListKind::Saved) {
            for e in self.list.values_mut() {
                e.health = Health::Gone;
            }
        }
        for e in &entries {
            self.list.insert(e.backend, *e);
        }
        let now_ms = self.now_ms;
        self.draining_since_ms.retain(|b, _| self.list[b].health != Health::Up);
        for e in self.list.values().filter(|e| e.health != Health::Up) {
            self.draining_since_ms.entry(e.backend).or_insert(now_ms);
        }
        let (kind, entries) = self.subset_update(kind, entries);
        self.feed(Event::List { kind, entries });
        self.check_drained_connections();
    }

    /// Returns the update that the balancer receives: the whole one, or the part that concerns the subset.
    fn subset_update(&mut self, kind: ListKind, entries: Vec<ListEntry>) -> (ListKind, Vec<ListEntry>) {
        let Some((subset, members_up)) = &mut self.subset else { return (kind, entries) };
        let target = |entry| Target { entry, address: None, uid: "".into() };
        let update = subset.apply(kind, entries.into_iter().map(target).collect());
        if matches!(update.kind, ListKind::Full | ListKind::Saved) {
            members_up.clear();
        }
        let entries: Vec<ListEntry> = update.lines.into_iter().map(|line| line.entry).collect();
        for e in &entries {
            if e.health == Health::Up {
                members_up.insert(e.backend)
            } else {
                members_up.remove(&e.backend)
            };
        }
        (update.kind, entries)
    }

    /// Checks that the idle connections to each draining backend were closed within `drain_close_ms` of the start of
    /// the drain and of the last outcome there.
    fn check_drained_connections(&self) {
        let Some(limit_ms) = self.settings.drain_close_ms else { return };
        for (b, since) in
            self.draining_since_ms.iter().filter(|(_, since)| self.now_ms > **since + limit_ms)
        {
            let closed = self.idle_closed_at_ms.get(b).is_some_and(|closed_at| closed_at >= since);
            assert!(closed, "rule 3: connections to {b:?} are open {limit_ms} ms after {since}");
        }
    }

    /// Sends the balancer a request with the deadline of its class.
    pub fn send_request(&mut self, class: usize, key: Option<u64>) -> RequestId {
        let limit_ms = self.settings.classes.get(class).map_or(500.0, |class| class.deadline_ms);
        self.send_request_within(class, key, limit_ms)
    }

    /// Sends the balancer a request whose deadline is `limit_ms` from now.
    pub fn send_request_within(&mut self, class: usize, key: Option<u64>, limit_ms: f64) -> RequestId {
        self.next_request_id += 1;
        let id = RequestId(self.next_request_id);
        let request = Request {
            id,
            class,
            tenant: None,
            key,
            deadline_ms: self.now_ms + limit_ms,
            effort_ms: None,
            retry: false,
        };
        self.requests.insert(id, RequestState { request, attempts: Vec::new(), result: None });
        self.feed(Event::Request(request));
        id
    }

    /// Returns the backend of the request's attempt in flight.
    pub fn current_backend(&self, id: RequestId) -> Option<BackendId> {
        self.requests[&id].attempts.iter().find(|a| a.outcome.is_none()).map(|a| a.backend)
    }

    /// Returns the request's result, or None while it is open.
    pub fn result(&self, id: RequestId) -> Option<&'static str> {
        self.requests[&id].result
    }

    /// Ends the request's attempt in flight.
    pub fn end_attempt(&mut self, id: RequestId, outcome: Outcome) {
        self.end_attempt_with_load(id, outcome, Load::default());
    }

    /// Ends the request's attempt in flight with a load report.
    pub fn end_attempt_with_load(&mut self, id: RequestId, outcome: Outcome, load: Load) {
        let now_ms = self.now_ms;
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(n) = request.attempts.iter().position(|a| a.outcome.is_none()) else { return };
        request.attempts[n].outcome = Some(outcome);
        if outcome == Outcome::Done && request.result.is_none() {
            request.result = Some("done");
        }
        let last = request.result.is_some();
        let (backend, elapsed_ms) = (request.attempts[n].backend, now_ms - request.attempts[n].sent_at_ms);
        if let Some(since) = self.draining_since_ms.get_mut(&backend) {
            *since = now_ms;
        }
        self.feed(Event::AttemptEnded(AttemptEnded {
            id,
            attempt: n as u32,
            backend,
            outcome,
            last,
            elapsed_ms,
            load,
        }));
    }

    /// Ends the request's attempt in flight with a long response: its first bytes come after `first_ms`, its last ones
    /// `rest_ms` later. The balancer is told of the first bytes if `reports_start`.
    pub fn stream_response(&mut self, id: RequestId, first_ms: f64, rest_ms: f64, reports_start: bool) {
        let Some(n) = self.start_response(id, first_ms, reports_start) else { return };
        let backend = self.requests[&id].attempts[n].backend;
        self.advance(rest_ms);
        if let Some(request) = self.requests.get_mut(&id) {
            request.attempts[n].outcome = Some(Outcome::Done);
            request.result = Some("done");
        }
        let (outcome, load) = (Outcome::Done, Load::default());
        self.feed(Event::AttemptEnded(AttemptEnded {
            id,
            attempt: n as u32,
            backend,
            outcome,
            last: true,
            elapsed_ms: first_ms,
            load,
        }));
    }

    /// Starts a long response of the request's attempt in flight after `first_ms`. The balancer is told of it if
    /// `reports_start`. Returns the number of the attempt.
    pub fn start_response(&mut self, id: RequestId, first_ms: f64, reports_start: bool) -> Option<usize> {
        self.advance(first_ms);
        let request = self.requests.get_mut(&id)?;
        let n = request.attempts.iter().position(|a| a.outcome.is_none())?;
        let attempt = &mut request.attempts[n];
        // An attempt whose response has started does not time out.
        attempt.times_out_at_ms = f64::INFINITY;
        attempt.response_started = reports_start;
        let backend = attempt.backend;
        if reports_start {
            self.feed(Event::ResponseStarted { id, attempt: n as u32, backend, elapsed_ms: first_ms });
        }
        Some(n)
    }

    /// Disconnects the client of a request.
    pub fn disconnect_client(&mut self, id: RequestId) {
        if let Some(request) = self.requests.get_mut(&id) {
            request.result.get_or_insert("left");
        }
        self.feed(Event::ClientLeft(id));
    }

    /// Checks that the balancer's check before a send agrees with the rules for each attempt in flight, now and later.
    pub fn verify_checks_before_send(&self) {
        for (id, request) in &self.requests {
            for (n, attempt) in request.attempts.iter().enumerate().filter(|(_, a)| a.outcome.is_none()) {
                for at_ms in [0.0, 150.3, 1200.7].map(|later_ms| self.now_ms + later_ms) {
                    let is_in_subset = self
                        .subset
                        .as_ref()
                        .is_none_or(|(_, members_up)| members_up.contains(&attempt.backend));
                    let is_up = is_in_subset && self.list[&attempt.backend].health == Health::Up;
                    let may_send = is_up
                        && request.result.is_none()
                        && at_ms < request.request.deadline_ms
                        && may_repeat(&self.settings, &self.list, request, n, attempt.backend, at_ms);
                    let obstacle = self.balancer.check_before_send(at_ms, *id, n as u32);
                    assert_eq!(
                        obstacle.is_none(),
                        may_send,
                        "{id:?}, attempt {n}, at {at_ms}: {obstacle:?}"
                    );
                    // Both outcomes mean that the attempt was not sent. `NotConnected` counts as a failure of the
                    // backend, so it must come only where the backend is not up.
                    let unsent = if is_up { Outcome::Skipped } else { Outcome::NotConnected };
                    assert!(obstacle.is_none_or(|outcome| outcome == unsent), "{obstacle:?}, up {is_up}");
                }
            }
        }
    }

    /// Advances the clock to `until_ms`. Timers and time-outs that fall due on the way fire in order.
    pub fn advance_to(&mut self, until_ms: f64) {
        loop {
            let due_ms = self.timers.iter().map(|timer| timer.0).fold(f64::INFINITY, f64::min);
            let first_timeout = (self.requests.iter())
                .flat_map(|(id, request)| {
                    request
                        .attempts
                        .iter()
                        .filter(|a| a.outcome.is_none())
                        .map(|a| (a.times_out_at_ms, *id))
                })
                .min_by(|a, b| a.0.total_cmp(&b.0));
            let timeout_ms = first_timeout.map_or(f64::INFINITY, |timeout| timeout.0);
            let next_ms = due_ms.min(timeout_ms);
            if next_ms > until_ms {
                break;
            }
            self.now_ms = self.now_ms.max(next_ms);
            if timeout_ms <= due_ms {
                if let Some((_, id)) = first_timeout {
                    self.end_attempt(id, Outcome::TimedOut);
                }
            } else if let Some(n) = self.timers.iter().position(|timer| timer.0 == due_ms) {
                let (_, token) = self.timers.swap_remove(n);
                self.feed(Event::Timer(token));
            }
        }
        self.now_ms = self.now_ms.max(until_ms);
        self.check_drained_connections();
        for (id, request) in &self.requests {
            let is_late = self.now_ms > request.request.deadline_ms + ANSWER_SLACK_MS;
            assert!(!is_late || request.result.is_some(), "rule 1: {id:?} has no answer in time");
        }
    }

    /// Advances the clock by a number of milliseconds.
    pub fn advance(&mut self, ms: f64) {
        self.advance_to(self.now_ms + ms);
    }

    /// Sends `requests` requests one after the other, each answered after `response_ms`. They give the balancer the
    /// statistics that its decisions need.
    pub fn warm_up(&mut self, requests: u64, class: usize, response_ms: f64) {
        for n in 0..requests {
            let id = self.send_request(class, Some(n % 97));
            self.advance(response_ms);
            self.end_attempt(id, Outcome::Done);
        }
    }

    /// Ends all probes in flight.
    pub fn end_probes(&mut self, outcome: Outcome) {
        for backend in std::mem::take(&mut self.pending_probes) {
            self.feed(Event::ProbeEnded { backend, outcome, elapsed_ms: 1.0, load: Load::default() });
        }
    }
}

/// Returns the list entry of the `n`th backend, which is up and warm.
pub fn up_entry(n: u64) -> ListEntry {
    ListEntry {
        backend: BackendId(n.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
        zone: (n % 2) as u16,
        cell: (n % 3) as u32,
        health: Health::Up,
        units: 1.0,
        ready_at_ms: 0.0,
    }
}
