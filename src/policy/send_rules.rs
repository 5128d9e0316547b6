//! The gate of every send, and what it goes by: the operators' four rules, whatever the picking wants.

use super::Balancer;
use crate::interface::{Class, Effect, Group, Outcome, RequestId, Settings};
use crate::request_table::{Backend, OpenRequest};

impl Balancer {
    /// The gate of every send: the four rules, whatever the picking wants.
    pub(super) fn may_send(&self, now: f64, open: &OpenRequest, index: usize) -> bool {
        let b = &self.backends[index];
        (open.attempts.len() as u32) < self.settings.max_attempts
            && (self.settings.second_copies || !open.has_attempt_in_flight())
            && (now - b.cold_since >= self.settings.cold_ms
                || b.cold_tokens + self.cold_tokens_gained(now, index) >= 1.0)
            && self.rules_hold(now, open, usize::MAX, b)
    }

    /// The last look, after every wait and right before an attempt's first byte: none where it goes, else
    /// how it ends unsent.
    pub fn check_before_send(&self, now: f64, id: RequestId, attempt: u32) -> Option<Outcome> {
        let Some(open) = self.open_requests.get(&id) else { return Some(Outcome::Skipped) };
        let n = attempt as usize;
        let backend =
            open.attempts.get(n).and_then(|a| self.backend_index(a.backend)).map(|i| &self.backends[i]);
        let Some(b) = backend.filter(|b| b.up) else { return Some(Outcome::NotConnected) };
        (!self.rules_hold(now, open, n, b)).then_some(Outcome::Skipped)
    }

    /// What may end while an attempt waits for its connection: its backend's stay, its client's, its time,
    /// and the window of a repeat.
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

/// A second try of this class may do no harm; a class nobody knows is held to be unsafe.
pub(super) fn may_repeat(class: Option<&Class>) -> bool {
    class.is_some_and(|c| c.effect != Effect::Unsafe)
}

/// Proof that an attempt never ran: the one place that sends, refusals and the retry budget go by. Where
/// backends shed work late, "full" is none.
pub(super) fn never_ran(s: &Settings, outcome: Outcome) -> bool {
    match outcome {
        Outcome::NotConnected | Outcome::Skipped => true,
        Outcome::Full => !s.late_shedding,
        _ => false,
    }
}
