//! State that nodes share: reports about backends, the locations of keys, and tenants' shares. Each item
//! expires some seconds after it was received; without it the node decides alone.

use super::Balancer;
use crate::interface::{Action, BackendId, Observation, SharedUpdate};
use std::collections::HashMap;

/// Most nodes whose report on one backend is kept. More would add nothing.
const MAX_PEER_REPORTS: usize = 6;
/// Fewest nodes whose reports count without a failure of this node's own. A single report never does.
const MIN_REPORTS_WITHOUT_FAILURE: usize = 3;
/// Time over which nodes spread their next trial of a backend that serves another node again.
const RETRY_SPREAD_MS: f64 = 1000.0;

/// What this node knows through others.
#[derive(Debug, Default)]
pub(super) struct SharedState {
    /// True once the host has passed a shared update: observations are then wanted.
    pub(super) enabled: bool,
    /// Part of each tenant's requests that is within its share, by the tenant's number; `None` where unknown.
    pub(super) tenant_shares: Vec<Option<f64>>,
    /// Backend that knows a key, and the time until which that counts, by the key's short hash.
    key_locations: HashMap<u32, (BackendId, f64)>,
    /// Keys that were spilled to a backend that is none of their candidates, to be shared at the next tick.
    pub(super) spilled_keys: Vec<Observation>,
}

impl Balancer {
    /// Applies an update that another node shared.
    pub(super) fn on_shared_update(&mut self, now: f64, update: SharedUpdate, actions: &mut Vec<Action>) {
        self.shared_state.enabled = true;
        match update {
            SharedUpdate::TenantShares(parts) => self.shared_state.tenant_shares = parts,
            SharedUpdate::KeyLocation { key, backend, until_ms } => {
                self.shared_state.key_locations.retain(|_, location| location.1 > now);
                self.shared_state.key_locations.insert(key, (backend, until_ms));
            }
            SharedUpdate::Verdict { backend, node, failing, until_ms } => {
                let Some(i) = self.backend_index(backend) else { return };
                let spread = RETRY_SPREAD_MS * self.rng.f64();
                let record = &mut self.backends[i].failure_record;
                record.peer_reports.retain(|report| report.0 != node && report.1 > now);
                if !failing {
                    record.prat = record.prat.min(now + spread);
                } else if record.peer_reports.len() < MAX_PEER_REPORTS {
                    record.peer_reports.push((node, until_ms));
                    self.update_congestion(now, i, actions);
                }
            }
        }
    }

    /// Number of nodes whose report against a backend counts. Reports count if this node has seen a failure
    /// there too, or if there are enough of them, and only while more than half of the backends that are up
    /// are not congested.
    pub(super) fn credible_peer_reports(&self, now: f64, i: usize) -> f64 {
        let record = &self.backends[i].failure_record;
        let reports = record.peer_reports.iter().filter(|report| report.1 > now).count();
        let up = || self.backends.iter().filter(|b| b.up);
        let enough =
            reports >= if record.consecutive_failures > 0 { 1 } else { MIN_REPORTS_WITHOUT_FAILURE };
        let most_live = || 2 * up().filter(|b| !b.failure_record.congested).count() > up().count();
        if enough && most_live() { reports as f64 } else { 0.0 }
    }

    /// Shares with the other nodes that a backend fails or serves again, if that differs from what was
    /// shared last.
    pub(super) fn share_observation(&mut self, i: usize, failing: bool, actions: &mut Vec<Action>) {
        let b = &mut self.backends[i];
        if self.shared_state.enabled && b.failure_record.shared_failing != failing {
            b.failure_record.shared_failing = failing;
            actions.push(Action::ShareObservation(Observation::Backend { backend: b.id, failing }));
        }
    }

    /// Returns the warm backend that knows a key by what nodes share, unless `candidate` is warm itself.
    pub(super) fn known_key_location(
        &self,
        now: f64,
        key: Option<u64>,
        candidate: Option<usize>,
    ) -> Option<usize> {
        let is_warm = |i: &usize| now - self.backends[*i].cold_since >= self.settings.cold_ms;
        let location = self
            .shared_state
            .key_locations
            .get(&((key? >> 32) as u32))
            .filter(|location| location.1 > now)?;
        self.backend_index(location.0).filter(|i| is_warm(i) && !candidate.as_ref().is_some_and(is_warm))
    }
}
