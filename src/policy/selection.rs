//! Backend selection: two candidates by the request's key, the less loaded of them, and the spill to
//! another backend where both are blocked.

use super::{Balancer, send_rules, slow_start};
use crate::interface::{Observation, RequestId};
use crate::request_table::{Backend, OpenRequest};
use crate::statistics::mix_bits;

/// Pressure up to which the first candidate always keeps its keys.
const LOW_PRESSURE: f64 = 0.6;
/// Probability of taking the second candidate, for each unit of pressure that it has less than the first:
/// certain from a difference of 0.4 on.
const SWITCH_PER_PRESSURE: f64 = 2.5;
/// Further keys into which a key with a backend's mean share of the traffic is split.
const HOT_KEY_SPLIT: f64 = 4.0;

/// One backend in rendezvous hashing. The entry is small because every request reads all of them.
#[derive(Clone, Copy, Debug)]
pub(super) struct RendezvousEntry {
    /// Mixed bits of the backend's id.
    pub(super) salt: u64,
    /// 1 divided by the backend's weight.
    pub(super) inverse_weight: f64,
    /// Index into the backends.
    pub(super) index: usize,
}

impl Balancer {
    /// Rebuilds the table in which candidates are looked up, from the backends that are up and their weights.
    pub(super) fn rebuild_rendezvous_table(&mut self, now: f64) {
        let locality =
            |b: &Backend| if self.is_priced_crossing(b.zone) { self.locality.remote_weight } else { 1.0 };
        let factor = |b: &Backend| {
            slow_start::capacity_part(&self.settings, now - b.cold_since)
                * locality(b)
                * self.zone_weight(b.zone)
        };
        self.rendezvous_table = (self.backends.iter().enumerate())
            .filter(|(_, b)| b.up)
            .map(|(index, b)| RendezvousEntry {
                salt: mix_bits(b.id.0),
                inverse_weight: 1.0 / (b.units * factor(b)),
                index,
            })
            .collect();
    }

    /// Selects a backend for the next attempt of a request: one of the key's two candidates or, if both are
    /// blocked, the spill. The spill is the usable backend with the fewest requests in flight and, among
    /// equals, the highest rank for the key, so that spilled keys too keep to few backends.
    pub(super) fn select_backend(&mut self, now: f64, id: RequestId) -> Option<usize> {
        let draw = self.rng.f64();
        let open = self.open_requests.get(&id)?;
        // A key with more than one backend's part of the traffic is split at random into several keys: its
        // two candidates could not carry it, and nodes that each have next to nothing in flight do not
        // notice that.
        let given_key = open.request.key;
        let key = given_key.map_or_else(|| self.rng.u64(..), mix_bits);
        let sparse =
            (1.0 - 2.0 * f64::from(self.in_flight) / self.rendezvous_table.len().max(1) as f64).max(0.0);
        let parts =
            1.0 + sparse * HOT_KEY_SPLIT * self.key_counts.share(key) * self.rendezvous_table.len() as f64;
        let key = if parts < 2.0 { key } else { mix_bits(key ^ self.rng.u64(..parts as u64)) };
        let unit = |entry: &RendezvousEntry| {
            ((mix_bits(key ^ entry.salt) >> 11) as f64 / (1_u64 << 53) as f64).max(f64::MIN_POSITIVE)
        };
        let rank = |entry: &RendezvousEntry| -unit(entry).ln() * entry.inverse_weight;
        let mut best = [(f64::INFINITY, usize::MAX); 2];
        for entry in &self.rendezvous_table {
            // 1 - u is never more than -ln u: an entry that it rules out needs no logarithm.
            let possible = (1.0 - unit(entry)) * entry.inverse_weight < best[1].0;
            let r = if possible { rank(entry) } else { f64::INFINITY };
            if r < best[1].0 {
                best[1] = (r, entry.index);
                if r < best[0].0 {
                    best.swap(0, 1);
                }
            }
        }
        let usable = |i: usize| i != usize::MAX && self.is_usable(now, open, i);
        let [first, second] = [best[0].1, best[1].1];
        let candidate = match (usable(first), usable(second)) {
            (true, true) if self.prefers_second(now, first, second, draw) => Some(second),
            (true, _) => Some(first),
            (false, true) => Some(second),
            (false, false) => None,
        };
        if let Some(known) = self.known_key_location(now, given_key, candidate).filter(|i| usable(*i)) {
            return Some(known);
        }
        if candidate.is_some() {
            return candidate;
        }
        // A backend that has not served the key needs more work for a spilled request: spills take tokens
        // of a budget. A spill also counts as strain on the first candidate's zone, since no outcome shows
        // it.
        let remote = self.backends.get(first).is_none_or(|b| self.is_priced_crossing(b.zone));
        if self.settings.warm_keys && self.admission.spill_tokens < 1.0 {
            self.locality.record(remote, 1.0);
            return None;
        }
        let mut spill: Option<(u32, f64, usize)> = None;
        for entry in &self.rendezvous_table {
            let n = self.backends[entry.index].in_flight;
            let excluded = self.is_zone_excluded(self.backends[entry.index].zone);
            if excluded || spill.is_some_and(|s| n > s.0) || !usable(entry.index) {
                continue;
            }
            let r = rank(entry);
            if spill.is_none_or(|s| n < s.0 || r < s.1) {
                spill = Some((n, r, entry.index));
            }
        }
        self.locality.record(remote, 1.0);
        self.admission.spill_tokens = (self.admission.spill_tokens - 1.0).max(0.0);
        let spill = spill.map(|s| s.2);
        if let (true, Some(i), Some(key)) = (self.shared_state.enabled, spill, given_key) {
            self.shared_state
                .spilled_keys
                .push(Observation::Key { key: (key >> 32) as u32, backend: self.backends[i].id });
        }
        spill
    }

    /// True if the second candidate is to be taken: it has fewer of this node's requests in flight or,
    /// where both have as many (with many nodes, nearly always none), it reports less pressure. The
    /// probability grows with the difference in pressure, so that nodes that received the same report do
    /// not all switch at once.
    pub(super) fn prefers_second(&self, now: f64, first: usize, second: usize, draw: f64) -> bool {
        let (a, b) = (&self.backends[first], &self.backends[second]);
        if a.in_flight != b.in_flight {
            return b.in_flight < a.in_flight;
        }
        // A first candidate with spare capacity keeps its keys, however idle the second one is.
        let (first, second) =
            (a.pressure.estimate(now, self.pressure), b.pressure.estimate(now, self.pressure));
        first > LOW_PRESSURE && draw < (first - second) * SWITCH_PER_PRESSURE
    }

    /// True if the backend is not congested (or due for a trial by request), below its cap, within its cold
    /// budget, not tried before by this request, and allowed by the send rules.
    pub(super) fn is_usable(&self, now: f64, open: &OpenRequest, index: usize) -> bool {
        let b = &self.backends[index];
        let may_repeat = || send_rules::may_repeat(self.settings.classes.get(open.request.class));
        let trial = || !self.settings.probes && b.failure_record.is_trial_due(now) && may_repeat();
        (!b.failure_record.congested || trial())
            && (!self.is_zone_excluded(b.zone) || may_repeat())
            && !b.cap.is_blocked(now, b.in_flight)
            && !open.attempts.iter().any(|a| a.backend == b.id)
            && self.may_send(now, open, index)
    }
}
