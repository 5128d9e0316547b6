//! The cap on this node's requests in flight at a backend, learned from the strain that outcomes show.

use super::admission::TARGET_STRAIN;

/// Cap on the requests in flight at one backend. Below 1 it is a duty cycle: one request at a time, with
/// pauses between.
#[derive(Debug, Default)]
pub(crate) struct ConcurrencyCap {
    /// Requests that may be in flight.
    pub(crate) limit: f64,
    /// Time of the last cut: the first reduction, or the time at which the reductions since the last cut
    /// exceeded the whole limit; 0 before that. Strain of attempts sent earlier is ignored, because the cut
    /// answers it already.
    pub(crate) cut_at: f64,
    /// Sum of the reductions since `cut_at`.
    pub(crate) reduced: f64,
    /// End of the pause after a request, where the limit is below 1.
    pub(crate) blocked_until: f64,
}

impl ConcurrencyCap {
    /// Growth for an answer without strain. Reductions balance it at the target strain.
    const GROWTH_STEP: f64 = 0.1;

    /// True if the cap allows no further request at `now`.
    pub(crate) fn is_blocked(&self, now: f64, in_flight: u32) -> bool {
        f64::from(in_flight) + 1.0 > self.limit.max(1.0) || now < self.blocked_until
    }

    /// Updates the limit by the strain of one outcome: 0 for an answer well within the aim, 1 for a late
    /// one. `elapsed` is the attempt's time in milliseconds, `shrink` the part of the unused limit that
    /// strain removes, and `floor` the lowest limit.
    pub(super) fn record_outcome(
        &mut self,
        now: f64,
        elapsed: f64,
        in_flight: u32,
        strain: f64,
        shrink: f64,
        floor: f64,
    ) {
        let step = ConcurrencyCap::GROWTH_STEP * self.limit.min(1.0) * (1.0 - strain / TARGET_STRAIN);
        if step < 0.0 && now - elapsed >= self.cut_at {
            // The part of the limit that was unused when strain showed is unproven. Some of it goes at
            // once, the more the more the fleet is strained; one late answer in an unstrained fleet removes
            // next to nothing.
            let unused = (self.limit - f64::from(in_flight) - 1.0).max(0.0);
            self.limit = (self.limit + step - shrink * unused).max(floor.min(self.limit));
            self.reduced -= step;
            if self.reduced > self.limit || self.cut_at == 0.0 {
                (self.cut_at, self.reduced) = (now, 0.0);
            }
        } else if step > 0.0 && f64::from(in_flight) + 1.0 >= self.limit / 2.0 {
            // Grows faster until strain first shows, so that a low initial limit does not last.
            self.limit += if self.cut_at == 0.0 { step * 5.0 } else { step };
        }
        if self.limit < 1.0 {
            self.blocked_until = now + elapsed * (1.0 / self.limit - 1.0);
        }
    }
}

/// Initial cap of a backend without history: 8 over all nodes where they are few, 2 where there are more.
/// Many nodes share 32, at least 0.4 each, because 2 from each would overload the backend before any node
/// has learned.
pub(super) fn initial_cap(nodes_per_backend: u32) -> f64 {
    let nodes = f64::from(nodes_per_backend.max(1));
    (32.0 / nodes).clamp(0.4, 2.0).max(8.0 / nodes)
}
