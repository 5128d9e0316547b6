//! What the fleet shares: what is heard of backends, where keys have gone, and what is found here that others
//! should know. All of it is past its time some seconds later; then the node decides as it does alone.

use super::Balancer;
use crate::interface::{Action, BackendId, Observation, SharedUpdate};
use std::collections::HashMap;

/// Nodes whose word against a backend is kept: more tell nothing new.
const HEARD: usize = 6;
/// So many are believed without a failure of one's own; one is never enough.
const PLENTY: usize = 3;
/// A backend that serves others again is tried here within this time, in milliseconds, not by all at once.
const RETRY_SPREAD: f64 = 1000.0;

/// What is known by way of others.
#[derive(Debug, Default)]
pub(super) struct Shared {
    /// Findings are wanted.
    pub(super) on: bool,
    /// What part of each tenant's requests is within its share.
    pub(super) within: Vec<Option<f64>>,
    placed: HashMap<u32, (BackendId, f64)>,
    /// Keys that went elsewhere than to their candidates, to be told.
    pub(super) spilled: Vec<Observation>,
}

impl Balancer {
    pub(super) fn on_fleet(&mut self, now: f64, news: SharedUpdate, out: &mut Vec<Action>) {
        self.shared.on = true;
        match news {
            SharedUpdate::TenantShares(parts) => self.shared.within = parts,
            SharedUpdate::KeyLocation { key, backend, until_ms } => {
                self.shared.placed.retain(|_, place| place.1 > now);
                self.shared.placed.insert(key, (backend, until_ms));
            }
            SharedUpdate::Verdict { backend, node: who, failing: bad, until_ms } => {
                let Some(i) = self.find(backend) else { return };
                let spread = RETRY_SPREAD * self.rng.f64();
                let record = &mut self.backends[i].record;
                record.heard.retain(|h| h.0 != who && h.1 > now);
                if !bad {
                    record.prat = record.prat.min(now + spread);
                } else if record.heard.len() < HEARD {
                    record.heard.push((who, until_ms));
                    self.judge(now, i, out);
                }
            }
        }
    }

    /// Nodes whose word against a backend counts: where this one's own failures bear them out, or they are
    /// plenty; but their word never takes away more than half of what is up.
    pub(super) fn heard(&self, now: f64, i: usize) -> f64 {
        let record = &self.backends[i].record;
        let heard = record.heard.iter().filter(|h| h.1 > now).count();
        let up = || self.backends.iter().filter(|b| b.up);
        let enough = heard >= if record.doubt > 0 { 1 } else { PLENTY };
        let left = || 2 * up().filter(|b| !b.record.congested).count() > up().count();
        if enough && left() { heard as f64 } else { 0.0 }
    }

    /// Tells the others what is found here of a backend, if that is another than was told before.
    pub(super) fn found(&mut self, i: usize, bad: bool, out: &mut Vec<Action>) {
        let b = &mut self.backends[i];
        if self.shared.on && b.record.told != bad {
            b.record.told = bad;
            out.push(Action::ShareObservation(Observation::Backend { backend: b.id, failing: bad }));
        }
    }

    /// Where a key is known to be, if a candidate, none or one that is cold, would have to learn it.
    pub(super) fn placed(&self, now: f64, key: Option<u64>, candidate: Option<usize>) -> Option<usize> {
        let warm = |i: &usize| now - self.backends[*i].cold_since >= self.settings.cold_ms;
        let place = self.shared.placed.get(&((key? >> 32) as u32)).filter(|place| place.1 > now)?;
        self.find(place.0).filter(|i| warm(i) && !candidate.as_ref().is_some_and(warm))
    }
}
