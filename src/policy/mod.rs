//! All decisions of the balancer, one file for each subject. Events and actions are defined in
//! `src/interface.rs`.
//!
//! [`Balancer`] owns the state and dispatches each event. The operators' rules are kept in two places:
//! every send passes `may_send`, and every refusal passes `refuse_or_fail`.

mod admission;
mod backend_list;
mod concurrency_cap;
mod failure_record;
mod locality;
mod peer_messages;
mod refusal;
mod request_lifecycle;
mod selection;
mod send_rules;
mod shared_state;
mod slow_start;

use crate::counters::AdmissionCounters;
use crate::interface::{Action, Discovery, Event, Outcome, RequestId, Settings, SettingsError};
use crate::peer_message::PeerMessage;
use crate::request_table::{Backend, OpenRequest};
use crate::statistics::{ClassStatistics, DecayingPeak, KeyCounts};
use admission::Admission;
pub(crate) use concurrency_cap::ConcurrencyCap;
pub(crate) use failure_record::FailureRecord;
use locality::Locality;
use selection::RendezvousEntry;
use shared_state::SharedState;
use std::collections::HashMap;

/// Token of the timer for periodic work.
const TICK_TIMER: u64 = 1;
/// Token of the timer for the next call to discovery.
const LIST_TIMER: u64 = 2;

/// The decisions of one node. The host passes events in and carries out the returned actions.
///
/// See the crate's documentation for an example.
#[derive(Debug)]
pub struct Balancer {
    pub(crate) settings: Settings,
    rng: fastrand::Rng,
    /// Known backends, ordered by id.
    pub(crate) backends: Vec<Backend>,
    /// Entries for rendezvous hashing, one for each backend that is up.
    rendezvous_table: Vec<RendezvousEntry>,
    open_requests: HashMap<RequestId, OpenRequest>,
    /// What is learned of each class, by the class's number.
    pub(crate) class_statistics: Vec<ClassStatistics>,
    key_counts: KeyCounts,
    locality: Locality,
    /// Part of its usual weight that each zone has, by the zone's number.
    zone_weights: Vec<f64>,
    shared_state: SharedState,
    pub(crate) admission: Admission,
    pub(crate) counters: AdmissionCounters,
    /// Share of recent attempts, over all backends, that failed to connect or to answer.
    fleet_failure_share: f64,
    /// Attempts in flight whose answer has not begun.
    pub(crate) in_flight: u32,
    /// Mean pressure that answers report, over all backends, 0 to 1.
    pub(crate) pressure: f64,
    /// Mean pressure above which admission counts the fleet as strained.
    full_pressure: f64,
    /// Highest rate, in requests per second, that a warm backend was recently seen to serve for this node.
    pub(crate) warm_rate: DecayingPeak,
    /// Time of the last tick.
    last_tick: f64,
    /// Failed calls to discovery in a row, counted up to 5.
    list_failures: u32,
}

impl Balancer {
    /// Creates a balancer without a list of backends. The same seed and the same events give the same
    /// actions.
    ///
    /// # Errors
    /// Returns [`SettingsError`] if the settings have no class, or a value outside its range.
    pub fn new(settings: Settings, seed: u64) -> Result<Balancer, SettingsError> {
        settings.check()?;
        let mut balancer = Balancer {
            rng: fastrand::Rng::with_seed(seed),
            backends: Vec::new(),
            rendezvous_table: Vec::new(),
            open_requests: HashMap::new(),
            class_statistics: Vec::new(),
            key_counts: KeyCounts::new(),
            locality: Locality::default(),
            zone_weights: Vec::new(),
            shared_state: SharedState::default(),
            admission: Admission {
                level: 1.0,
                in_flight_allowance: 1.0,
                retry_tokens: 3.0,
                spill_tokens: 3.0,
                ..Admission::default()
            },
            counters: AdmissionCounters::default(),
            fleet_failure_share: 0.0,
            in_flight: 0,
            pressure: 0.0,
            full_pressure: admission::MIN_FULL_PRESSURE,
            warm_rate: DecayingPeak::default(),
            last_tick: 0.0,
            list_failures: 0,
            settings: settings.clone(),
        };
        balancer.apply_settings(settings);
        Ok(balancer)
    }

    /// Handles one event at the time `now`, in milliseconds, and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: f64, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Start => {
                self.last_tick = now;
                actions.push(Action::Timer { token: TICK_TIMER, at_ms: now + self.tick_interval_ms() });
                if self.settings.discovery == Discovery::OnRequest {
                    // The node works with the list that it has until the call is answered.
                    let wait = self.list_call_spread_ms() * self.rng.f64();
                    actions.push(Action::Timer { token: LIST_TIMER, at_ms: now + wait });
                }
            }
            Event::List { kind, entries } => self.on_list(now, kind, &entries, actions),
            Event::Request(r) => self.on_request(now, r, actions),
            Event::AttemptEnded(e) => self.on_attempt_ended(now, &e, actions),
            Event::Memory(memory) => self.restore_memory(&memory),
            Event::ClientLeft(id) => self.on_client_left(id, actions),
            Event::Timer(TICK_TIMER) => self.on_tick(now, actions),
            Event::Timer(LIST_TIMER) => actions.push(Action::Watch(true)),
            Event::ProbeEnded { backend, outcome, .. } => {
                if let Some(i) =
                    self.backend_index(backend).filter(|&i| self.backends[i].failure_record.trial_in_flight)
                {
                    let succeeded = outcome == Outcome::Done;
                    self.finish_trial(
                        now,
                        i,
                        if succeeded { PeerMessage::TrialSucceeded } else { PeerMessage::TrialFailed },
                        actions,
                    );
                }
            }
            Event::ZoneWeights(weights) => self.on_zone_weights(now, weights, actions),
            Event::Shared(update) => self.on_shared_update(now, update, actions),
            Event::PeerMessage { bytes, .. } => self.on_peer_message(now, &bytes, actions),
            Event::ResponseStarted { id, attempt, elapsed_ms, .. } => {
                self.on_response_started(now, id, attempt, elapsed_ms)
            }
            Event::Settings(s) if s.check().is_ok() => self.apply_settings(*s),
            Event::Timer(_) | Event::Settings(_) => {}
        }
    }

    /// Time between ticks: a sixth of the time in which an overloaded cold backend falls over, and at least
    /// twenty times the time between the host's batches.
    fn tick_interval_ms(&self) -> f64 {
        (self.settings.fall_ms / 6.0).max(20.0 * self.settings.tick_ms).max(1.0)
    }

    /// Does the periodic work: statistics, budgets, admission, logging and trials by probe.
    fn on_tick(&mut self, now: f64, actions: &mut Vec<Action>) {
        let seconds = ((now - self.last_tick) / 1000.0).max(1e-3);
        actions.push(Action::Timer { token: TICK_TIMER, at_ms: now + self.tick_interval_ms() });
        let cold = |b: &Backend| now - b.cold_since < self.settings.cold_ms;
        // The budget of cold backends is measured by the rate that a warm backend serves for this node. The
        // present rate may be lower, where few requests arrive or where most of them time out under
        // overload. The highest rate seen counts, and decays within `cold_ms`.
        let warm = self.backends.iter().filter(|b| b.up && !b.failure_record.congested && !cold(b)).count();
        self.warm_rate.tick(seconds, warm, self.settings.cold_ms);
        for i in 0..self.backends.len() {
            let gained = self.cold_tokens_gained(now, i);
            let b = &mut self.backends[i];
            b.cold_tokens = (b.cold_tokens + gained).min(1.0);
        }
        self.last_tick = now;
        self.key_counts.decay(seconds);
        self.locality.tick(seconds, self.settings.prices.cross_zone);
        self.rebuild_rendezvous_table(now);
        let up = self.backends.iter().filter(|b| b.up).count().max(1) as f64;
        let blocked =
            |b: &&Backend| b.up && (b.failure_record.congested || b.cap.is_blocked(now, b.in_flight));
        self.admission.blocked_share = self.backends.iter().filter(blocked).count() as f64 / up;
        self.update_admission(seconds);
        actions.extend(self.shared_state.spilled_keys.drain(..).map(Action::ShareObservation));
        self.log_counters(now, actions);
        actions.extend(
            self.backends
                .iter()
                .filter(|b| now < b.closing_until)
                .map(|b| Action::CloseIdleConnections(b.id)),
        );
        // One trial at a time, by probe, for each congested backend whose PRAT is over.
        if self.settings.probes {
            for b in self.backends.iter_mut().filter(|b| b.up && b.failure_record.is_trial_due(now)) {
                b.failure_record.trial_in_flight = true;
                actions.push(Action::Probe(b.id));
            }
        }
    }
}
