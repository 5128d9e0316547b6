//! Nearness: how much a candidate beyond this node's zone weighs. It is little while the zone's own backends
//! carry what is asked there, and grows by the strain that they show beyond the others', until both are
//! strained alike.

use super::Balancer;
use super::admission::TARGET_STRAIN;
use crate::interface::{Action, Effect};
use crate::statistics::OutcomeBalance;

/// The least weight: enough to see now and then how the others fare.
const MIN_REMOTE_WEIGHT: f64 = 0.01;
/// By how much a request more strains a zone beyond what it bears itself, near what it can carry: strain
/// grows about with the cube of the load there.
const MARGINAL_STRAIN: f64 = 3.0;
/// How fast the weight grows and falls at most, in powers of e a second: traffic moves within the time in
/// which strain shows, and returns more slowly than it left.
const GROWTH_PER_S: f64 = 2.0;
const DECREASE_PER_S: f64 = 0.5;

/// Strain here and beyond, and the weight that it has led to.
#[derive(Debug)]
pub(super) struct Locality {
    pub(super) remote_weight: f64,
    /// Of the own zone and of the others.
    outcomes: [OutcomeBalance; 2],
}

impl Default for Locality {
    fn default() -> Locality {
        Locality { remote_weight: MIN_REMOTE_WEIGHT, outcomes: Default::default() }
    }
}

impl Locality {
    /// An outcome's strain, near or far.
    pub(super) fn record(&mut self, remote: bool, strain: f64) {
        self.outcomes[usize::from(remote)].record(1.0 - strain, strain, 1.0);
    }

    /// `price`: what a crossing costs, as a part of a request's worth.
    pub(super) fn tick(&mut self, seconds: f64, price: f64) {
        let [local, remote] = &self.outcomes;
        // A crossing pays where it saves more strain than it costs; where the others are strained as much,
        // leaving helps nobody.
        let excess = local.bad_share() - remote.bad_share() - price / MARGINAL_STRAIN;
        let rate = (excess / TARGET_STRAIN).clamp(-1.0, 1.0);
        let rate = rate * if rate > 0.0 { GROWTH_PER_S } else { DECREASE_PER_S };
        self.remote_weight =
            (self.remote_weight * (seconds.min(1.0) * rate).exp()).clamp(MIN_REMOTE_WEIGHT, 1.0);
        self.outcomes.iter_mut().for_each(|s| s.decay(seconds));
    }
}

/// A zone of less than this part of its weight is left: only what may be repeated tries it.
const EXCLUDED_ZONE_WEIGHT: f64 = 0.02;

impl Balancer {
    /// Takes new weights of zones. What is under way in one that is left goes elsewhere, if it may run twice.
    pub(super) fn on_zone_weights(&mut self, now: f64, weights: Vec<f64>, actions: &mut Vec<Action>) {
        self.zone_weights = weights;
        self.rebuild_rendezvous_table(now);
        let first = actions.len();
        for open in self.open_requests.values().filter(|o| self.settings.may_cancel && !o.finished) {
            let safe = self.settings.effect(open.request.class) == Effect::Safe;
            actions.extend(open.cancel_attempts(|a| safe && self.is_zone_excluded(a.zone)));
        }
        // A map has no order that another process would find again.
        actions[first..].sort_by_key(|a| if let Action::Cancel { id, .. } = a { id.0 } else { 0 });
    }

    pub(super) fn zone_weight(&self, zone: u16) -> f64 {
        self.zone_weights.get(usize::from(zone)).copied().unwrap_or(1.0)
    }

    pub(super) fn is_zone_excluded(&self, zone: u16) -> bool {
        self.zone_weight(zone) < EXCLUDED_ZONE_WEIGHT
    }

    /// Whether a send to this zone crosses, where that has a price.
    pub(super) fn is_priced_crossing(&self, zone: u16) -> bool {
        self.settings.prices.cross_zone > 0.0 && self.settings.zone.is_some_and(|own| own != zone)
    }
}
