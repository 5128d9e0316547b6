//! Every decision of the balancer, a file for each. Events and actions are in `src/interface.rs`.
//!
//! [`Balancer`] owns what they know and hands each event to them. Two gates keep the rules: every send passes
//! `may_send`, every refusal `answer`.

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

const TICK_TIMER: u64 = 1;
const LIST_TIMER: u64 = 2;

/// The decisions of one node. Feed it events, carry out its actions.
///
/// See the crate's page for an example.
#[derive(Debug)]
pub struct Balancer {
    pub(crate) settings: Settings,
    rng: fastrand::Rng,
    pub(crate) backends: Vec<Backend>,
    rendezvous_table: Vec<RendezvousEntry>,
    open_requests: HashMap<RequestId, OpenRequest>,
    pub(crate) class_statistics: Vec<ClassStatistics>,
    key_counts: KeyCounts,
    locality: Locality,
    /// Part of its usual weight that each zone has.
    zone_weights: Vec<f64>,
    shared_state: SharedState,
    pub(crate) admission: Admission,
    pub(crate) counters: AdmissionCounters,
    /// Share of recent attempts, over all backends, that failed to connect or answer.
    fleet_failure_share: f64,
    /// Attempts that are out and not answered yet.
    pub(crate) in_flight: u32,
    /// Mean pressure that answers report, over all backends.
    pub(crate) pressure: f64,
    /// Mean pressure above which the fleet is too full.
    full_pressure: f64,
    /// The most requests a second that a warm backend was lately seen to serve for this node.
    pub(crate) warm_rate: DecayingPeak,
    last_tick: f64,
    list_failures: u32,
}

impl Balancer {
    /// A balancer that knows its settings and nothing else. The same seed and events give the same
    /// actions.
    ///
    /// # Errors
    /// Settings that cannot be run on: no class, or a figure outside its range.
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

    /// Takes one event at the time `now` and adds what is to be done to `out`.
    pub fn handle(&mut self, now: f64, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::Start => {
                self.last_tick = now;
                actions.push(Action::Timer { token: TICK_TIMER, at_ms: now + self.tick_interval_ms() });
                if self.settings.discovery == Discovery::OnRequest {
                    // The list that is known serves meanwhile.
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

    /// Housekeeping comes ten times within a fall window or so, never faster than twenty batches.
    fn tick_interval_ms(&self) -> f64 {
        (self.settings.fall_ms / 6.0).max(20.0 * self.settings.tick_ms).max(1.0)
    }

    fn on_tick(&mut self, now: f64, actions: &mut Vec<Action>) {
        let seconds = ((now - self.last_tick) / 1000.0).max(1e-3);
        actions.push(Action::Timer { token: TICK_TIMER, at_ms: now + self.tick_interval_ms() });
        let cold = |b: &Backend| now - b.cold_since < self.settings.cold_ms;
        // What a warm backend can serve for this node is the yardstick of the cold budget. What it serves
        // now may be less, where little is asked or where time-outs are all that a crowd leaves of it: the
        // most that was seen counts, and fades within a cold time.
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
        // Trials by probe, one at a time, for backends past their PRAT.
        if self.settings.probes {
            for b in self.backends.iter_mut().filter(|b| b.up && b.failure_record.is_trial_due(now)) {
                b.failure_record.trial_in_flight = true;
                actions.push(Action::Probe(b.id));
            }
        }
    }
}
