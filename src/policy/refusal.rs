//! Refusals: when a request is refused rather than failed, and when its client is told to come back.

use super::Balancer;
use crate::interface::{Action, Effect, Group, RequestId};

impl Balancer {
    /// Ends a request without an answer of a backend. It is refused where another try by the client does no
    /// harm, and failed otherwise. Every refusal passes here.
    pub(super) fn refuse_or_fail(&mut self, now: f64, id: RequestId, actions: &mut Vec<Action>) {
        let Some(open) = self.open_requests.get_mut(&id) else { return };
        if open.finished || open.has_attempt_in_flight() {
            return;
        }
        open.finished = true;
        let effect = self.settings.effect(open.request.class);
        let none_ran = open.may_have_run().is_none();
        let harmless = none_ran || matches!(effect, Effect::Safe | Effect::Keyed(Group::All));
        let aim = (open.aim_at - open.arrived_at).max(1.0);
        self.open_requests.remove(&id);
        if !harmless {
            actions.push(Action::Fail(id));
            return;
        }
        self.counters.count_refusal();
        let retry_after_ms = self.client_retry_after_ms(now, aim);
        actions.push(Action::Refuse { id, retry_after_ms });
    }

    /// Returns the CRAT (client retry-after time, the congestion paper's term) as a delay in milliseconds:
    /// the aim, at most half of the longest allowed delay, plus a random part of it. Where every backend is
    /// congested, the time to the earliest PRAT is added.
    pub(super) fn client_retry_after_ms(&mut self, now: f64, aim: f64) -> f64 {
        let up = || self.backends.iter().filter(|b| b.up);
        let any_live = up().any(|b| !b.failure_record.congested);
        let prat = up().map(|b| b.failure_record.prat).fold(f64::INFINITY, f64::min);
        let wait = if any_live || !prat.is_finite() { 0.0 } else { (prat - now).max(0.0) };
        let delay = aim.min(self.settings.max_retry_after_ms / 2.0);
        (wait + delay * (1.0 + self.rng.f64())).min(self.settings.max_retry_after_ms)
    }
}
