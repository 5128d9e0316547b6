//! The list of backends: applies updates, schedules the next call to discovery, and closes idle connections
//! to backends that drain.

use super::concurrency_cap::{ConcurrencyCap, initial_cap};
use super::{Balancer, LIST_TIMER};
use crate::interface::{Action, BackendId, Health, ListEntry, ListKind};
use crate::request_table::Backend;

/// Time that discovery, which serves all nodes, has for each node's call.
const LIST_CALL_SPACING_MS: f64 = 25.0;

impl Balancer {
    /// Time over which the calls of all nodes that start at once are spread.
    pub(super) fn list_call_spread_ms(&self) -> f64 {
        (LIST_CALL_SPACING_MS * f64::from(self.settings.instances)).min(self.settings.must_ask_in_ms / 2.0)
    }

    /// Returns the index of a backend, if it is known.
    pub(crate) fn backend_index(&self, id: BackendId) -> Option<usize> {
        self.backends.binary_search_by_key(&id, |b| b.id).ok()
    }

    /// Applies an update of the list, or schedules the next call after a failed one.
    pub(super) fn on_list(
        &mut self,
        now: f64,
        kind: ListKind,
        entries: &[ListEntry],
        actions: &mut Vec<Action>,
    ) {
        if kind == ListKind::Failed {
            // Exponential back-off with jitter. The wait stays within the time after which discovery counts
            // a silent node as informed, which is four times as long after a failed call. Even calls that
            // time out cost the service work.
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
                // The backend restarted: failures of the old process say nothing about the new one.
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

    /// Closes the idle connections to a backend that drains or is gone, where the settings give a time for
    /// that: at the notice, at each outcome there, and at each tick for half of that time after either.
    pub(super) fn close_idle_connections(&mut self, now: f64, index: usize, actions: &mut Vec<Action>) {
        let b = &mut self.backends[index];
        if let Some(within) = self.settings.drain_close_ms.filter(|_| !b.up) {
            b.closing_until = now + within / 2.0;
            actions.push(Action::CloseIdleConnections(b.id));
        }
    }
}
