//! The rules that every send must keep, whatever backend selection prefers: the operators' limits on
//! attempts, repeats, draining backends and cold backends.

use super::Balancer;
use crate::interface::{Class, Effect, Group, Outcome, RequestId, Settings};
use crate::request_table::{Backend, OpenRequest};

impl Balancer {
    /// Checks the rules for one more attempt of a request at a backend. Every send passes here.
    pub(super) fn may_send(&self, now: f64, open: &OpenRequest, index: usize) -> bool {
        let b = &self.backends[index];
        (open.attempts.len() as u32) < self.settings.max_attempts
            && (self.settings.second_copies || !open.has_attempt_in_flight())
            && (now - b.cold_since >= self.settings.cold_ms
                || b.cold_tokens + self.cold_tokens_gained(now, index) >= 1.0)
            && self.rules_hold(now, open, usize::MAX, b)
    }

    /// Checks the rules again right before an attempt's first byte is sent, after it waited for a connection.
    /// Returns `None` if the attempt may be sent, else the outcome with which it ends unsent.
    pub fn check_before_send(&self, now: f64, id: RequestId, attempt: u32) -> Option<Outcome> {
        let Some(open) = self.open_requests.get(&id) else { return Some(Outcome::Skipped) };
        let n = attempt as usize;
        let backend =
            open.attempts.get(n).and_then(|a| self.backend_index(a.backend)).map(|i| &self.backends[i]);
        let Some(b) = backend.filter(|b| b.up) else { return Some(Outcome::NotConnected) };
        (!self.rules_hold(now, open, n, b)).then_some(Outcome::Skipped)
    }

    /// True if none of what may change while an attempt waits for its connection forbids it: the backend is
    /// up, the request is not finished, its deadline is not over, and a repeat is still allowed. `attempt`
    /// is the attempt's number, `usize::MAX` for one that is not made yet.
    fn rules_hold(&self, now: f64, open: &OpenRequest, attempt: usize, b: &Backend) -> bool {
        let key_ttl_ms = self.settings.classes.get(open.request.class).map_or(0.0, |c| c.key_ttl_ms);
        let repeat_allowed =
            match (open.may_have_run_except(attempt), self.settings.effect(open.request.class)) {
                (None, _) | (Some(_), Effect::Safe) => true,
                (Some(_), Effect::Unsafe) => false,
                (Some(a), Effect::Keyed(group)) => {
                    let same = match group {
                        Group::All => true,
                        Group::Zone => a.zone == b.zone,
                        Group::Cell => a.cell == b.cell,
                    };
                    same && now < a.sent_at + key_ttl_ms
                }
            };
        !open.finished && now < open.request.deadline_ms && b.up && repeat_allowed
    }
}

/// True if a repeat of a request of this class can be harmless. An unknown class counts as unsafe.
pub(super) fn may_repeat(class: Option<&Class>) -> bool {
    class.is_some_and(|c| c.effect != Effect::Unsafe)
}

/// True if the outcome proves that the attempt never ran. Sends, refusals and the retry budget all rely on
/// this function. Where backends shed work late, `Full` is no proof.
pub(super) fn never_ran(s: &Settings, outcome: Outcome) -> bool {
    match outcome {
        Outcome::NotConnected | Outcome::Skipped => true,
        Outcome::Full => !s.late_shedding,
        _ => false,
    }
}
