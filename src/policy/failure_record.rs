//! The failure record of a backend: failures and tries in a window, the congested state with its PRAT, and
//! the trials that end it. It knows outcomes, not requests.

use super::Balancer;
use crate::interface::{Action, LogNote};
use crate::peer_message::PeerMessage;
use crate::statistics::FailureWindow;

/// Part of attempts that fail at a backend which serves hardly anybody.
const PEER_FAILURE_SHARE: f64 = 0.75;
/// Time between the trials of nodes that tripped together: about what a message takes.
const TRIAL_SPACING_MS: f64 = 20.0;

/// The failure record: failures and tries in a window of buckets, and the congested state with its PRAT.
#[derive(Debug, Default)]
pub(crate) struct FailureRecord {
    pub(super) window: FailureWindow,
    /// Failures since the last answer of any kind.
    pub(super) consecutive_failures: u32,
    pub(crate) congested: bool,
    pub(crate) prat: f64,
    /// Trials failed in a row.
    pub(super) failed_trials: u32,
    pub(super) trial_in_flight: bool,
    /// Nodes that say that it fails, and until when each is believed.
    pub(super) peer_reports: Vec<(u16, f64)>,
    /// The others were told that it fails.
    pub(super) shared_failing: bool,
}

impl FailureRecord {
    pub(super) fn record(&mut self, now: f64, window: f64, failed: bool) {
        self.window.record(now, window, failed);
        self.consecutive_failures = if failed { self.consecutive_failures.saturating_add(1) } else { 0 };
    }

    pub(super) fn is_trial_due(&self, now: f64) -> bool {
        self.congested && !self.trial_in_flight && now >= self.prat
    }

    pub(super) fn reset(&mut self) {
        self.window.clear();
        *self = FailureRecord {
            window: std::mem::take(&mut self.window),
            shared_failing: self.shared_failing,
            ..FailureRecord::default()
        };
    }
}

impl Balancer {
    /// N: half of the time a restart takes to warm, so that a failure is forgotten before its cause recurs.
    pub(super) fn failure_window_ms(&self) -> f64 {
        (self.settings.cold_ms / 2.0).max(2.0 * self.settings.max_aim_ms())
    }

    /// t: the longest aim at first, doubled by each failed trial, a quarter of the cold time at most.
    pub(super) fn trial_pause_ms(&mut self, failed_trials: u32) -> f64 {
        let most = (self.settings.cold_ms / 4.0).max(self.settings.max_aim_ms());
        let t = (self.settings.max_aim_ms() * f64::from(1_u32 << failed_trials.min(6))).min(most);
        // Nodes that tell each other trip together: whoever tries first spares the others their trial.
        let spread = if self.relies_on_peers() {
            TRIAL_SPACING_MS * f64::from(self.settings.nodes_per_backend())
        } else {
            0.0
        };
        t * (0.75 + 0.5 * self.rng.f64()) + spread * self.rng.f64()
    }

    /// Marks a backend congested if it has failed too often.
    pub(super) fn update_congestion(&mut self, now: f64, i: usize, actions: &mut Vec<Action>) {
        let reports = self.credible_peer_reports(now, i);
        let record = &self.backends[i].failure_record;
        let (own, tries) = record.window.totals();
        let (failures, tries) = (own + reports, tries + reports);
        // M grows with traffic and with what the whole fleet suffers: a shared failure says little of one.
        // Where nodes tell each other, it is for what serves hardly anybody: the crowded still serve some.
        let part = 0.25 + 3.0 * self.fleet_failure_share;
        let most = 1.0 + tries * if self.relies_on_peers() { part.max(PEER_FAILURE_SHARE) } else { part };
        // A backend that has just fallen silent has a window full of old answers: a run of failures
        // that chance would bring once in two hundred trips it too.
        let run = 1.0 + 0.005_f64.ln() / self.fleet_failure_share.clamp(0.02, 0.95).ln();
        if !record.congested && (failures > most || f64::from(record.consecutive_failures) + reports > run)
        {
            let t = self.trial_pause_ms(0);
            let b = &mut self.backends[i];
            b.failure_record.congested = true;
            b.failure_record.prat = now + t;
            actions.push(Action::Log(LogNote::Congested { backend: b.id, failures, tries, pause_ms: t }));
            if own > 0.0 {
                self.share_observation(i, true, actions);
            }
        }
    }

    pub(super) fn finish_trial(
        &mut self,
        now: f64,
        i: usize,
        result: PeerMessage,
        actions: &mut Vec<Action>,
    ) {
        self.broadcast(result, i, actions);
        self.backends[i].failure_record.trial_in_flight = false;
        self.apply_trial_result(now, i, result, actions);
    }

    pub(super) fn apply_trial_result(
        &mut self,
        now: f64,
        i: usize,
        result: PeerMessage,
        actions: &mut Vec<Action>,
    ) {
        let failed_trials = self.backends[i].failure_record.failed_trials;
        let t = self.trial_pause_ms(failed_trials + 1);
        let b = &mut self.backends[i];
        if matches!(result, PeerMessage::TrialFailed) {
            b.failure_record.failed_trials += 1;
            b.failure_record.prat = now + t;
            return;
        }
        // Back from a silence that outlasted a trial: it may have restarted, and the list is late to say so.
        if failed_trials > 0 {
            b.cold_since = now;
            b.cold_tokens = self.rng.f64();
        }
        b.failure_record.reset();
        actions.push(Action::Log(LogNote::Live { backend: b.id, failed_trials }));
        self.share_observation(i, false, actions);
    }
}
