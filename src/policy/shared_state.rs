//! What the fleet shares: what is heard of backends, where keys have gone, and what is found here that others
//! should know. All of it is past its time some seconds later; then the node decides as it does alone.

use super::Balancer;
use crate::interface::{Action, BackendId, Observation, SharedUpdate};
use std::collections::HashMap;

/// Nodes whose word against a backend is kept: more tell nothing new.
const MAX_PEER_REPORTS: usize = 6;
/// So many are believed without a failure of one's own; one is never enough.
const MIN_REPORTS_WITHOUT_FAILURE: usize = 3;
/// A backend that serves others again is tried here within this time, in milliseconds, not by all at once.
const RETRY_SPREAD_MS: f64 = 1000.0;

/// What is known by way of others.
#[derive(Debug, Default)]
pub(super) struct SharedState {
    /// Findings are wanted.
    pub(super) enabled: bool,
    /// What part of each tenant's requests is within its share.
    pub(super) tenant_shares: Vec<Option<f64>>,
    key_locations: HashMap<u32, (BackendId, f64)>,
    /// Keys that went elsewhere than to their candidates, to be told.
    pub(super) spilled_keys: Vec<Observation>,
}

impl Balancer {
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

    /// Nodes whose word against a backend counts: where this one's own failures bear them out, or they are
    /// plenty; but their word never takes away more than half of what is up.
    pub(super) fn credible_peer_reports(&self, now: f64, i: usize) -> f64 {
        let record = &self.backends[i].failure_record;
        let reports = record.peer_reports.iter().filter(|report| report.1 > now).count();
        let up = || self.backends.iter().filter(|b| b.up);
        let enough =
            reports >= if record.consecutive_failures > 0 { 1 } else { MIN_REPORTS_WITHOUT_FAILURE };
        let most_live = || 2 * up().filter(|b| !b.failure_record.congested).count() > up().count();
        if enough && most_live() { reports as f64 } else { 0.0 }
    }

    /// Tells the others what is found here of a backend, if that is another than was told before.
    pub(super) fn share_observation(&mut self, i: usize, failing: bool, actions: &mut Vec<Action>) {
        let b = &mut self.backends[i];
        if self.shared_state.enabled && b.failure_record.shared_failing != failing {
            b.failure_record.shared_failing = failing;
            actions.push(Action::ShareObservation(Observation::Backend { backend: b.id, failing }));
        }
    }

    /// Where a key is known to be, if a candidate, none or one that is cold, would have to learn it.
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
