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
pub(crate) use concurrency_cap::Cap;
pub(crate) use failure_record::FailureRecord;
use locality::Locality;
use selection::Place;
use shared_state::Shared;
use std::collections::HashMap;

const TICK: u64 = 1;
const ASK: u64 = 2;

/// The decisions of one node. Feed it events, carry out its actions.
///
/// See the crate's page for an example.
#[derive(Debug)]
pub struct Balancer {
    pub(crate) settings: Settings,
    rng: fastrand::Rng,
    pub(crate) backends: Vec<Backend>,
    places: Vec<Place>,
    open: HashMap<RequestId, OpenRequest>,
    pub(crate) learned: Vec<ClassStatistics>,
    keys: KeyCounts,
    near: Locality,
    /// Part of its usual weight that each zone has.
    zones: Vec<f64>,
    shared: Shared,
    pub(crate) admission: Admission,
    pub(crate) counters: AdmissionCounters,
    /// Share of recent attempts, over all backends, that failed to connect or answer.
    fleet_failing: f64,
    /// Attempts that are out and not answered yet.
    pub(crate) in_flight: u32,
    /// Mean pressure that answers report, over all backends.
    pub(crate) pressure: f64,
    /// Mean pressure above which the fleet is too full.
    full_at: f64,
    /// The most requests a second that a warm backend was lately seen to serve for this node.
    pub(crate) warm: DecayingPeak,
    ticked: f64,
    ask_failures: u32,
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
            places: Vec::new(),
            open: HashMap::new(),
            learned: Vec::new(),
            keys: KeyCounts::new(),
            near: Locality::default(),
            zones: Vec::new(),
            shared: Shared::default(),
            admission: Admission { level: 1.0, room: 1.0, retry: 3.0, spill: 3.0, ..Admission::default() },
            counters: AdmissionCounters::default(),
            fleet_failing: 0.0,
            in_flight: 0,
            pressure: 0.0,
            full_at: admission::FILLING,
            warm: DecayingPeak::default(),
            ticked: 0.0,
            ask_failures: 0,
            settings: settings.clone(),
        };
        balancer.apply_settings(settings);
        Ok(balancer)
    }

    /// Takes one event at the time `now` and adds what is to be done to `out`.
    pub fn handle(&mut self, now: f64, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Start => {
                self.ticked = now;
                out.push(Action::Timer { token: TICK, at_ms: now + self.tick_span() });
                if self.settings.discovery == Discovery::OnRequest {
                    // The list that is known serves meanwhile.
                    let wait = self.ask_spread() * self.rng.f64();
                    out.push(Action::Timer { token: ASK, at_ms: now + wait });
                }
            }
            Event::List { kind, entries } => self.on_list(now, kind, &entries, out),
            Event::Request(r) => self.on_request(now, r, out),
            Event::AttemptEnded(e) => self.on_ended(now, &e, out),
            Event::Memory(memory) => self.restore_memory(&memory),
            Event::ClientLeft(id) => self.on_left(id, out),
            Event::Timer(TICK) => self.on_tick(now, out),
            Event::Timer(ASK) => out.push(Action::Watch(true)),
            Event::ProbeEnded { backend, outcome, .. } => {
                if let Some(i) = self.find(backend).filter(|&i| self.backends[i].record.trial_out) {
                    let live = outcome == Outcome::Done;
                    self.trial_over(
                        now,
                        i,
                        if live { PeerMessage::TrialSucceeded } else { PeerMessage::TrialFailed },
                        out,
                    );
                }
            }
            Event::ZoneWeights(weights) => self.on_zones(now, weights, out),
            Event::Shared(news) => self.on_fleet(now, news, out),
            Event::PeerMessage { bytes, .. } => self.on_news(now, &bytes, out),
            Event::ResponseStarted { id, attempt, elapsed_ms, .. } => {
                self.on_started(now, id, attempt, elapsed_ms)
            }
            Event::Settings(s) if s.check().is_ok() => self.apply_settings(*s),
            Event::Timer(_) | Event::Settings(_) => {}
        }
    }

    /// Housekeeping comes ten times within a fall window or so, never faster than twenty batches.
    fn tick_span(&self) -> f64 {
        (self.settings.fall_ms / 6.0).max(20.0 * self.settings.tick_ms).max(1.0)
    }

    fn on_tick(&mut self, now: f64, out: &mut Vec<Action>) {
        let seconds = ((now - self.ticked) / 1000.0).max(1e-3);
        out.push(Action::Timer { token: TICK, at_ms: now + self.tick_span() });
        let cold = |b: &Backend| now - b.cold_since < self.settings.cold_ms;
        // What a warm backend can serve for this node is the yardstick of the cold budget. What it serves
        // now may be less, where little is asked or where time-outs are all that a crowd leaves of it: the
        // most that was seen counts, and fades within a cold time.
        let warm = self.backends.iter().filter(|b| b.up && !b.record.congested && !cold(b)).count();
        self.warm.tick(seconds, warm, self.settings.cold_ms);
        for i in 0..self.backends.len() {
            let gain = self.cold_gain(now, i);
            let b = &mut self.backends[i];
            b.cold_tokens = (b.cold_tokens + gain).min(1.0);
        }
        self.ticked = now;
        self.keys.fade(seconds);
        self.near.tick(seconds, self.settings.prices.cross_zone);
        self.place(now);
        let up = self.backends.iter().filter(|b| b.up).count().max(1) as f64;
        let shut = |b: &&Backend| b.up && (b.record.congested || b.cap.blocks(now, b.in_flight));
        self.admission.blocked = self.backends.iter().filter(shut).count() as f64 / up;
        self.admission_tick(seconds);
        out.extend(self.shared.spilled.drain(..).map(Action::ShareObservation));
        self.log_counters(now, out);
        out.extend(
            self.backends
                .iter()
                .filter(|b| now < b.close_until)
                .map(|b| Action::CloseIdleConnections(b.id)),
        );
        // Trials by probe, one at a time, for backends past their PRAT.
        if self.settings.probes {
            for b in self.backends.iter_mut().filter(|b| b.up && b.record.trial_due(now)) {
                b.record.trial_out = true;
                out.push(Action::Probe(b.id));
            }
        }
    }
}
