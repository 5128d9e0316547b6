//! Zone locality: the weight of backends outside this node's zone. The weight is low while the zone's own
//! backends carry the zone's traffic. It grows while they show more strain than the others, until both are
//! strained alike.

use super::Balancer;
use super::admission::TARGET_STRAIN;
use crate::interface::{Action, Effect};
use crate::statistics::OutcomeBalance;

/// Lowest weight of other zones: enough traffic to keep measuring their strain.
const MIN_REMOTE_WEIGHT: f64 = 0.01;
/// Strain that one more request causes for the other requests of a zone near its capacity, as a multiple of
/// the strain that it meets itself: strain grows with about the cube of the load there.
const MARGINAL_STRAIN: f64 = 3.0;
/// Largest growth of the weight, as an exponent per second. Traffic moves within the time in which strain
/// shows.
const GROWTH_PER_S: f64 = 2.0;
/// Largest decrease of the weight, as an exponent per second. Traffic returns more slowly than it left.
const DECREASE_PER_S: f64 = 0.5;

/// Strain in this node's zone and in the others, and the weight that follows from it.
#[derive(Debug)]
pub(super) struct Locality {
    /// Weight of backends in other zones, relative to those in this node's zone.
    pub(super) remote_weight: f64,
    /// Outcomes in this node's zone, and in the others.
    outcomes: [OutcomeBalance; 2],
}

impl Default for Locality {
    fn default() -> Locality {
        Locality { remote_weight: MIN_REMOTE_WEIGHT, outcomes: Default::default() }
    }
}

impl Locality {
    /// Records the strain of one outcome in this node's zone, or in another one where `remote`.
    pub(super) fn record(&mut self, remote: bool, strain: f64) {
        self.outcomes[usize::from(remote)].record(1.0 - strain, strain, 1.0);
    }

    /// Updates the weight after `seconds`. `price` is the price of a crossing, as a part of a request's
    /// worth.
    pub(super) fn tick(&mut self, seconds: f64, price: f64) {
        let [local, remote] = &self.outcomes;
        // A crossing pays where it saves more strain than it costs. Where the other zones are strained as
        // much, it saves none.
        let excess = local.bad_share() - remote.bad_share() - price / MARGINAL_STRAIN;
        let rate = (excess / TARGET_STRAIN).clamp(-1.0, 1.0);
        let rate = rate * if rate > 0.0 { GROWTH_PER_S } else { DECREASE_PER_S };
        self.remote_weight =
            (self.remote_weight * (seconds.min(1.0) * rate).exp()).clamp(MIN_REMOTE_WEIGHT, 1.0);
        self.outcomes.iter_mut().for_each(|s| s.decay(seconds));
    }
}

/// A zone with a lower weight is excluded: only requests that may be repeated are sent there, to try it.
const EXCLUDED_ZONE_WEIGHT: f64 = 0.02;

impl Balancer {
    /// Applies new weights of zones. Attempts in an excluded zone that have no answer yet are cancelled where
    /// a repeat is safe, so that the requests go elsewhere.
    pub(super) fn on_zone_weights(&mut self, now: f64, weights: Vec<f64>, actions: &mut Vec<Action>) {
        self.zone_weights = weights;
        self.rebuild_rendezvous_table(now);
        let first = actions.len();
        for open in self.open_requests.values().filter(|o| self.settings.may_cancel && !o.finished) {
            let safe = self.settings.effect(open.request.class) == Effect::Safe;
            actions.extend(open.cancel_attempts(|a| safe && self.is_zone_excluded(a.zone)));
        }
        // The iteration order of a hash map differs between processes; the actions must not.
        actions[first..].sort_by_key(|a| if let Action::Cancel { id, .. } = a { id.0 } else { 0 });
    }

    /// Returns the part of its usual weight that a zone has; 1 for a zone that has none set.
    pub(super) fn zone_weight(&self, zone: u16) -> f64 {
        self.zone_weights.get(usize::from(zone)).copied().unwrap_or(1.0)
    }

    /// True if only trial traffic is sent to the zone.
    pub(super) fn is_zone_excluded(&self, zone: u16) -> bool {
        self.zone_weight(zone) < EXCLUDED_ZONE_WEIGHT
    }

    /// True if a send to this zone crosses zones and crossing has a price.
    pub(super) fn is_priced_crossing(&self, zone: u16) -> bool {
        self.settings.prices.cross_zone > 0.0 && self.settings.zone.is_some_and(|own| own != zone)
    }
}
