//! Admission: how much of what is asked may go in, what is worth least going first.

use super::Balancer;
use crate::counters::StopReason;
use crate::interface::{Reporting, Request};
use crate::statistics::{ClassStatistics, DecayingRates, OutcomeBalance};

/// Strain that the learned cap and admission settle at.
pub(super) const TARGET_STRAIN: f64 = 0.2;
/// Mean reported pressure from which admission holds it for strain.
pub(super) const MIN_FULL_PRESSURE: f64 = 0.85;
/// Requests in flight at a backend, of all nodes together, that none is held to be too small for.
const MIN_BACKEND_IN_FLIGHT: f64 = 4.0;

/// Admission: how much of what is asked may go in, what is worth least going first.
#[derive(Debug, Default)]
pub(crate) struct Admission {
    /// Part of the offered work that is let in.
    pub(crate) level: f64,
    /// How much more than the first estimate this node may have in flight at all backends together.
    pub(crate) in_flight_allowance: f64,
    /// A request has found that full since the last tick.
    pub(super) allowance_reached: bool,
    pub(super) outcomes: OutcomeBalance,
    /// Share of backends that are congested or capped.
    pub(super) blocked_share: f64,
    /// Share of strain in recent outcomes.
    pub(crate) strain: f64,
    /// Offered work and worth by class, within and over share.
    pub(crate) offered: Vec<[f64; 2]>,
    /// Chance of being let in.
    pub(crate) admit_probability: Vec<[f64; 2]>,
    /// Part of the room that it may fill: less for what is worth least.
    pub(crate) allowance_part: Vec<[f64; 2]>,
    /// Requests a second of each tenant at this node.
    pub(crate) tenant_rates: DecayingRates,
    /// Tokens for further attempts and for spills.
    pub(super) retry_tokens: f64,
    pub(crate) spill_tokens: f64,
}

impl Balancer {
    pub(super) fn update_admission(&mut self, seconds: f64) {
        // After this node's own stall one tick spans seconds; it must not slam admission shut or open.
        let seconds = seconds.min(1.0);
        let keep = (-seconds / 2.0_f64).exp();
        let a = &mut self.admission;
        a.tenant_rates.tick(seconds);
        // Few outcomes are little evidence: without this, a node that admits next to nothing would hold
        // on to the strain that made it so.
        a.strain = a.outcomes.bad_share();
        // Reports show the fleet filling up before answers come late; some backends that are crowded for a
        // second or two slow down for long. Where a full fleet still answers well within the aim, that much
        // is learned to be no strain.
        if self.pressure > self.full_pressure && a.strain < TARGET_STRAIN {
            self.full_pressure += 0.03 * seconds;
        } else if a.strain > 2.0 * TARGET_STRAIN {
            self.full_pressure -= 0.03 * seconds;
        }
        self.full_pressure = self.full_pressure.clamp(MIN_FULL_PRESSURE, 1.0);
        let pressure_strain = (self.pressure - self.full_pressure) / (1.0 - MIN_FULL_PRESSURE);
        a.strain = a.strain.max(pressure_strain.clamp(0.0, 1.0));
        if a.strain > TARGET_STRAIN {
            a.level *= 1.0 - seconds * 2.0 * (a.strain - TARGET_STRAIN);
        } else {
            a.level += seconds * (0.05 + 0.5 * a.level) * (1.0 - a.strain / TARGET_STRAIN);
        }
        a.level = a.level.clamp(0.02, 1.0);
        if a.allowance_reached && a.strain < TARGET_STRAIN {
            a.in_flight_allowance *= 1.0 + 0.2 * seconds;
        }
        a.allowance_reached = false;
        a.outcomes.decay(seconds);
        let mut order: Vec<(f64, usize, usize)> = Vec::new();
        let served_share = |l: &ClassStatistics| if l.requests > 0.0 { l.served / l.requests } else { 1.0 };
        let worst = self.class_statistics.iter().map(served_share).fold(1.0, f64::min);
        let work = |l: &ClassStatistics| if self.settings.worth_by_work { 1.0 } else { l.mean_ms.max(1.0) };
        let total: f64 = self
            .class_statistics
            .iter()
            .zip(&self.settings.classes)
            .map(|(l, c)| l.requests * c.worth)
            .sum();
        for (i, (l, c)) in self.class_statistics.iter().zip(&self.settings.classes).enumerate() {
            let own = (l.requests * c.worth).max(1e-9);
            let closeness_to_worst = (1.0 - (served_share(l) - worst) / 0.05).max(0.0);
            let gain = (self.settings.goal.whole + self.settings.goal.worst_window) / total.max(1e-9)
                + self.settings.goal.worst_class * closeness_to_worst / own;
            for over in 0..2 {
                let part = if over == 1 { self.settings.over_share_worth } else { 1.0 };
                order.push((c.worth * gain * part / work(l), i, over));
            }
        }
        order.sort_by(|a, b| b.0.total_cmp(&a.0));
        let a = &mut self.admission;
        let mut left = a.level * a.offered.iter().map(|o| o[0] + o[1]).sum::<f64>();
        let last = order.len().max(2) as f64 - 1.0;
        for (n, (_, i, over)) in order.into_iter().enumerate() {
            a.allowance_part[i][over] = 1.0 - 0.3 * n as f64 / last;
            let offered = a.offered[i][over];
            a.admit_probability[i][over] =
                if offered <= left || offered <= 0.0 { 1.0 } else { left / offered };
            left = (left - offered).max(0.0);
            a.offered[i][over] *= keep;
        }
        self.class_statistics.iter_mut().for_each(|l| l.decay(seconds));
    }

    /// Whether a request goes in: by its class's chance, and where there is room. `over`: worth less than its
    /// class, since its tenant is over its share or it comes late.
    pub(super) fn admit(&mut self, request: &Request, cost: f64, worth: f64, over: bool) -> bool {
        let (class, over) = (request.class, usize::from(over));
        let Some(offered) = self.admission.offered.get_mut(class) else { return worth > 0.0 };
        offered[over] += cost;
        let probability = self.admission.admit_probability[class][over];
        let admitted = worth > 0.0 && (probability >= 1.0 || self.rng.f64() < probability);
        let nodes = f64::from(self.settings.nodes_per_backend());
        let allowance =
            self.admission.in_flight_allowance * MIN_BACKEND_IN_FLIGHT * self.rendezvous_table.len() as f64
                / nodes;
        // Where that is a few requests, chance alone exceeds it.
        let allowance =
            (allowance + 3.0 * allowance.sqrt()).max(1.0) * self.admission.allowance_part[class][over];
        let no_allowance =
            self.settings.reporting != Reporting::None && f64::from(self.in_flight) + 1.0 > allowance;
        self.admission.allowance_reached |= no_allowance;
        if no_allowance || !admitted {
            self.counters.count_stop(if admitted { StopReason::Room } else { StopReason::Level });
        }
        admitted && !no_allowance
    }

    /// Over its share: by chance, as often as the tenant's traffic exceeds this node's part of its quota.
    pub(super) fn is_over_share(&mut self, tenant: Option<usize>) -> bool {
        let Some((i, quota)) = tenant.and_then(|t| self.settings.tenants.get(t).map(|q| (t, q.quota_rps)))
        else {
            return false;
        };
        self.admission.tenant_rates.record(i);
        if let Some(part) = self.shared_state.tenant_shares.get(i).copied().flatten() {
            return self.rng.f64() > part;
        }
        let own = quota / f64::from(self.settings.instances.max(1));
        let rate = self.admission.tenant_rates.rate(i);
        own > 0.0 && rate > own && self.rng.f64() > own / rate
    }
}
