//! The failure record of a backend: failures and tries in a sliding window, the congested state with its
//! PRAT, and the trials that end that state. The record sees outcomes of attempts, not requests. PRAT
//! (proxy retry-after time) is the congestion paper's term for the time at which a node may try a congested
//! backend again.

use super::Balancer;
use crate::interface::{Action, LogNote};
use crate::peer_message::PeerMessage;
use crate::statistics::FailureWindow;

/// Share of failing attempts that makes a backend congested where nodes report failures to each other.
const PEER_FAILURE_SHARE: f64 = 0.75;
/// Time between the trials of nodes that marked a backend at once: about what a message takes.
const TRIAL_SPACING_MS: f64 = 20.0;

/// Failures and tries in a sliding window, and the congested state with its PRAT.
#[derive(Debug, Default)]
pub(crate) struct FailureRecord {
    pub(super) window: FailureWindow,
    /// Failures since the last answer of any kind.
    pub(super) consecutive_failures: u32,
    /// True if the backend gets no requests but trials.
    pub(crate) congested: bool,
    /// PRAT: time of the next trial, where the backend is congested.
    pub(crate) prat: f64,
    /// Failed trials in a row.
    pub(super) failed_trials: u32,
    pub(super) trial_in_flight: bool,
    /// Nodes that report the backend as failing, and the time until which each report counts.
    pub(super) peer_reports: Vec<(u16, f64)>,
    /// True if this node has shared that the backend fails.
    pub(super) shared_failing: bool,
}

impl FailureRecord {
    /// Records the end of one attempt, at `now` in a window of `window` milliseconds.
    pub(super) fn record(&mut self, now: f64, window: f64, failed: bool) {
        self.window.record(now, window, failed);
        self.consecutive_failures = if failed { self.consecutive_failures.saturating_add(1) } else { 0 };
    }

    /// True if the backend is congested, its PRAT is over, and no trial is in flight.
    pub(super) fn is_trial_due(&self, now: f64) -> bool {
        self.congested && !self.trial_in_flight && now >= self.prat
    }

    /// Clears the record, for a backend that restarted or answered a trial.
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
    /// Length of the failure window (N in the paper): half of the time in which a restarted backend becomes
    /// warm, so that a failure is forgotten before its cause recurs.
    pub(super) fn failure_window_ms(&self) -> f64 {
        (self.settings.cold_ms / 2.0).max(2.0 * self.settings.max_aim_ms())
    }

    /// Time to the next trial (t in the paper): the longest aim at first, doubled by each failed trial, and
    /// at most a quarter of `cold_ms`.
    pub(super) fn trial_pause_ms(&mut self, failed_trials: u32) -> f64 {
        let max_pause = (self.settings.cold_ms / 4.0).max(self.settings.max_aim_ms());
        let pause = (self.settings.max_aim_ms() * f64::from(1_u32 << failed_trials.min(6))).min(max_pause);
        // Nodes that report to each other mark a backend at the same time. Spreading their trials lets the
        // first result spare the others theirs.
        let spread = if self.relies_on_peers() {
            TRIAL_SPACING_MS * f64::from(self.settings.nodes_per_backend())
        } else {
            0.0
        };
        pause * (0.75 + 0.5 * self.rng.f64()) + spread * self.rng.f64()
    }

    /// Marks a backend congested if it has failed too often.
    pub(super) fn update_congestion(&mut self, now: f64, i: usize, actions: &mut Vec<Action>) {
        let reports = self.credible_peer_reports(now, i);
        let record = &self.backends[i].failure_record;
        let (own, tries) = record.window.totals();
        let (failures, tries) = (own + reports, tries + reports);
        // The allowed number of failures (M in the paper) grows with the tries and with the fleet's failure
        // share: a failure that the whole fleet shares says little about one backend. Where nodes report to
        // each other, only a backend that answers hardly any request is marked: an overloaded one still
        // answers some.
        let allowed_share = 0.25 + 3.0 * self.fleet_failure_share;
        let max_failures = 1.0
            + tries
                * if self.relies_on_peers() {
                    allowed_share.max(PEER_FAILURE_SHARE)
                } else {
                    allowed_share
                };
        // A backend that has just stopped answering still has a window full of answers. A run of failures
        // with a probability of 0.005 at the fleet's failure share marks it too.
        let max_run = 1.0 + 0.005_f64.ln() / self.fleet_failure_share.clamp(0.02, 0.95).ln();
        if !record.congested
            && (failures > max_failures || f64::from(record.consecutive_failures) + reports > max_run)
        {
            let pause = self.trial_pause_ms(0);
            let b = &mut self.backends[i];
            b.failure_record.congested = true;
            b.failure_record.prat = now + pause;
            actions.push(Action::Log(LogNote::Congested {
                backend: b.id,
                failures,
                tries,
                pause_ms: pause,
            }));
            if own > 0.0 {
                self.share_observation(i, true, actions);
            }
        }
    }

    /// Reports the result of this node's own trial to the other nodes, and applies it.
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

    /// Applies the result of a trial of this node or another one: a failed trial postpones the next one, a
    /// successful one ends the congested state.
    pub(super) fn apply_trial_result(
        &mut self,
        now: f64,
        i: usize,
        result: PeerMessage,
        actions: &mut Vec<Action>,
    ) {
        let failed_trials = self.backends[i].failure_record.failed_trials;
        let pause = self.trial_pause_ms(failed_trials + 1);
        let b = &mut self.backends[i];
        if matches!(result, PeerMessage::TrialFailed) {
            b.failure_record.failed_trials += 1;
            b.failure_record.prat = now + pause;
            return;
        }
        // A backend that did not answer at least one trial may have restarted before the list says so: it
        // counts as cold.
        if failed_trials > 0 {
            b.cold_since = now;
            b.cold_tokens = self.rng.f64();
        }
        b.failure_record.reset();
        actions.push(Action::Log(LogNote::Live { backend: b.id, failed_trials }));
        self.share_observation(i, false, actions);
    }
}
