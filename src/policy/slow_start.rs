//! Slow start: the budget of requests that all nodes together may send to a cold backend, one that started
//! recently, and this node's part of it. The rate that warm backends serve is its measure.

use super::Balancer;
use crate::interface::Settings;

/// Work of a request at a backend that has not served its key, relative to the work at a warm backend.
const COLD_KEY_WORK: f64 = 2.0;

impl Balancer {
    /// Tokens that a cold backend has gained since the last tick. A send that they allow need not wait for
    /// the tick.
    pub(super) fn cold_tokens_gained(&self, now: f64, index: usize) -> f64 {
        self.cold_rate_per_s(now, index) * (now - self.last_tick).max(0.0) / 1000.0
    }

    /// Requests per second that this node may send to a cold backend. All nodes together may send
    /// `fall_multiple` times its present capacity; the mean is set so low that mean plus three standard
    /// deviations stay below that, for a variance of twice the mean.
    pub(super) fn cold_rate_per_s(&self, now: f64, index: usize) -> f64 {
        let part = capacity_part(&self.settings, now - self.backends[index].cold_since);
        let seconds = self.settings.fall_ms / 1000.0;
        let all = f64::from(self.settings.nodes_per_backend());
        let budget =
            self.settings.fall_multiple * part * self.warm_rate.peak * all * seconds / COLD_KEY_WORK;
        let root = ((18.0 + 4.0 * budget).sqrt() - 18.0_f64.sqrt()) / 2.0;
        (root * root / seconds / all).min(part * self.warm_rate.peak)
    }
}

/// Part of its capacity that a backend has `age` milliseconds after its start, by the slowest ramp that the
/// settings allow.
pub(super) fn capacity_part(s: &Settings, age: f64) -> f64 {
    let start = s.start_capacity.clamp(0.01, 1.0);
    if age >= s.cold_ms { 1.0 } else { start + (1.0 - start) * (age / s.cold_ms).clamp(0.0, 1.0) }
}
