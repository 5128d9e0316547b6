//! The list of backends: who is on it, when it is asked for again, and when what drains is let go of.

use super::concurrency_cap::{ConcurrencyCap, initial_cap};
use super::{Balancer, LIST_TIMER};
use crate::interface::{Action, BackendId, Health, ListEntry, ListKind};
use crate::request_table::Backend;

/// Time that discovery, one service for all nodes, is left for each node's call.
const LIST_CALL_SPACING_MS: f64 = 25.0;

impl Balancer {
    /// The calls of all nodes that start at once are spread over this long.
    pub(super) fn list_call_spread_ms(&self) -> f64 {
        (LIST_CALL_SPACING_MS * f64::from(self.settings.instances)).min(self.settings.must_ask_in_ms / 2.0)
    }

    pub(crate) fn backend_index(&self, id: BackendId) -> Option<usize> {
        self.backends.binary_search_by_key(&id, |b| b.id).ok()
    }

    pub(super) fn on_list(
        &mut self,
        now: f64,
        kind: ListKind,
        entries: &[ListEntry],
        actions: &mut Vec<Action>,
    ) {
        if kind == ListKind::Failed {
            // Asked again at a jittered pace that backs off, but often enough not to count as deaf: that time
            // is four times as long after a failed call. What waits in vain keeps the service busy too.
            self.list_failures = (self.list_failures + 1).min(5);
            let least = self.tick_interval_ms().max(self.list_call_spread_ms());
            let most = (self.settings.must_ask_in_ms / 2.0)
                .max(4.0 * least)
                .min(2.0 * self.settings.must_ask_in_ms)
                .max(1.0);
            let wait = (least * f64::from(1_u32 << self.list_failures)).min(most);
            actions.push(Action::Timer {
                token: LIST_TIMER,
                at_ms: now + wait * (0.5 + 0.5 * self.rng.f64()),
            });
            return;
        }
        self.list_failures = 0;
        if matches!(kind, ListKind::Full | ListKind::Saved) {
            for b in &mut self.backends {
                b.up = false;
            }
        }
        for e in entries {
            let known = e.ready_at_ms.is_finite() && e.ready_at_ms > 0.0;
            let ready_at = if known { e.ready_at_ms } else { f64::NEG_INFINITY };
            let index = self.backend_index(e.backend).unwrap_or_else(|| {
                let added = Backend {
                    id: e.backend,
                    cold_since: ready_at,
                    cold_tokens: self.rng.f64(),
                    cap: ConcurrencyCap {
                        limit: initial_cap(self.settings.nodes_per_backend()),
                        ..ConcurrencyCap::default()
                    },
                    ..Backend::default()
                };
                let i = self.backends.partition_point(|b| b.id < e.backend);
                self.backends.insert(i, added);
                i
            });
            let b = &mut self.backends[index];
            if ready_at > b.cold_since {
                // A new start: what the old process did says nothing of this one.
                if now - ready_at < self.settings.cold_ms {
                    b.cold_tokens = self.rng.f64();
                }
                b.cold_since = ready_at;
                b.failure_record.reset();
            }
            (b.zone, b.cell) = (e.zone, e.cell);
            b.units = if e.units.is_finite() && e.units > 0.0 { e.units } else { 1.0 };
            b.up = e.health == Health::Up;
        }
        for i in 0..self.backends.len() {
            if self.backends[i].up {
                self.backends[i].closing_until = 0.0;
            } else if self.backends[i].closing_until == 0.0 {
                self.close_idle_connections(now, i, actions);
            }
        }
        self.backends.retain(|b| b.up || b.in_flight > 0 || b.closing_until > now);
        self.rebuild_rendezvous_table(now);
    }

    /// Gives back the idle connections to a backend that drains, where a time is set for that: at the notice
    /// and at every outcome there, and at each tick for half the time allowed after either.
    pub(super) fn close_idle_connections(&mut self, now: f64, index: usize, actions: &mut Vec<Action>) {
        let b = &mut self.backends[index];
        if let Some(within) = self.settings.drain_close_ms.filter(|_| !b.up) {
            b.closing_until = now + within / 2.0;
            actions.push(Action::CloseIdleConnections(b.id));
        }
    }
}
