//! Nearness: how much a candidate beyond this node's zone weighs. It is little while the zone's own backends
//! carry what is asked there, and grows by the strain that they show beyond the others', until both are
//! strained alike.

use super::Balancer;
use super::admission::TARGET_STRAIN;
use crate::interface::{Action, Effect};
use crate::statistics::OutcomeBalance;

/// The least weight: enough to see now and then how the others fare.
const LEAST: f64 = 0.01;
/// By how much a request more strains a zone beyond what it bears itself, near what it can carry: strain
/// grows about with the cube of the load there.
const MARGINAL: f64 = 3.0;
/// How fast the weight grows and falls at most, in powers of e a second: traffic moves within the time in
/// which strain shows, and returns more slowly than it left.
const GROWTH: f64 = 2.0;
const FALL: f64 = 0.5;

/// Strain here and beyond, and the weight that it has led to.
#[derive(Debug)]
pub(super) struct Locality {
    pub(super) weight: f64,
    /// Of the own zone and of the others.
    strain: [OutcomeBalance; 2],
}

impl Default for Locality {
    fn default() -> Locality {
        Locality { weight: LEAST, strain: Default::default() }
    }
}

impl Locality {
    /// An outcome's strain, near or far.
    pub(super) fn note(&mut self, far: bool, strain: f64) {
        self.strain[usize::from(far)].note(1.0 - strain, strain, 1.0);
    }

    /// `price`: what a crossing costs, as a part of a request's worth.
    pub(super) fn tick(&mut self, seconds: f64, price: f64) {
        let [near, far] = &self.strain;
        // A crossing pays where it saves more strain than it costs; where the others are strained as much,
        // leaving helps nobody.
        let excess = near.bad_share() - far.bad_share() - price / MARGINAL;
        let pace = (excess / TARGET_STRAIN).clamp(-1.0, 1.0);
        let pace = pace * if pace > 0.0 { GROWTH } else { FALL };
        self.weight = (self.weight * (seconds.min(1.0) * pace).exp()).clamp(LEAST, 1.0);
        self.strain.iter_mut().for_each(|s| s.fade(seconds));
    }
}

/// A zone of less than this part of its weight is left: only what may be repeated tries it.
const LEFT: f64 = 0.02;

impl Balancer {
    /// Takes new weights of zones. What is under way in one that is left goes elsewhere, if it may run twice.
    pub(super) fn on_zones(&mut self, now: f64, weights: Vec<f64>, out: &mut Vec<Action>) {
        self.zones = weights;
        self.place(now);
        let first = out.len();
        for open in self.open.values().filter(|o| self.settings.may_cancel && !o.finished) {
            let safe = self.settings.effect(open.request.class) == Effect::Safe;
            out.extend(open.cancel(|a| safe && self.left(a.zone)));
        }
        // A map has no order that another process would find again.
        out[first..].sort_by_key(|a| if let Action::Cancel { id, .. } = a { id.0 } else { 0 });
    }

    pub(super) fn zone_weight(&self, zone: u16) -> f64 {
        self.zones.get(usize::from(zone)).copied().unwrap_or(1.0)
    }

    pub(super) fn left(&self, zone: u16) -> bool {
        self.zone_weight(zone) < LEFT
    }

    /// Whether a send to this zone crosses, where that has a price.
    pub(super) fn far(&self, zone: u16) -> bool {
        self.settings.prices.cross_zone > 0.0 && self.settings.zone.is_some_and(|own| own != zone)
    }
}
