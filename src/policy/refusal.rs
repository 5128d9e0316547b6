//! The gate of every refusal, and when the client is told to come back.

use super::Balancer;
use crate::interface::{Action, Effect, Group, RequestId};

impl Balancer {
    /// The gate of every refusal: refused where that promise holds, failed where it does not.
    pub(super) fn answer(&mut self, now: f64, id: RequestId, out: &mut Vec<Action>) {
        let Some(open) = self.open.get_mut(&id) else { return };
        if open.finished || open.out() {
            return;
        }
        open.finished = true;
        let effect = self.settings.effect(open.request.class);
        let none_ran = open.may_have_run().is_none();
        let harmless = none_ran || matches!(effect, Effect::Safe | Effect::Keyed(Group::All));
        let aim = (open.aim_at - open.arrived).max(1.0);
        self.open.remove(&id);
        if !harmless {
            out.push(Action::Fail(id));
            return;
        }
        self.counters.refuse();
        let retry_after_ms = self.crat(now, aim);
        out.push(Action::Refuse { id, retry_after_ms });
    }

    /// CRAT: earliest PRAT - now + T + chance when every backend is congested, T + chance when caps block.
    pub(super) fn crat(&mut self, now: f64, aim: f64) -> f64 {
        let up = || self.backends.iter().filter(|b| b.up);
        let open = up().any(|b| !b.record.congested);
        let prat = up().map(|b| b.record.prat).fold(f64::INFINITY, f64::min);
        let wait = if open || !prat.is_finite() { 0.0 } else { (prat - now).max(0.0) };
        let t = aim.min(self.settings.max_retry_after_ms / 2.0);
        (wait + t * (1.0 + self.rng.f64())).min(self.settings.max_retry_after_ms)
    }
}
