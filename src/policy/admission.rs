//! Admission control: decides which part of the offered requests is admitted, shedding the least worth first.

use super::Balancer;
use crate::counters::StopReason;
use crate::interface::{Reporting, Request};
use crate::statistics::{ClassStatistics, DecayingRates, OutcomeBalance};

/// Strain at which the concurrency caps and the admission level settle (share of outcomes that were late or
/// failed).
pub(super) const TARGET_STRAIN: f64 = 0.2;
/// Lowest mean reported pressure that admission counts as strain.
pub(super) const MIN_FULL_PRESSURE: f64 = 0.85;
/// Requests in flight, of all nodes together, that even the smallest backend is assumed to handle.
const MIN_BACKEND_IN_FLIGHT: f64 = 4.0;

/// State of admission control.
#[derive(Debug, Default)]
pub(crate) struct Admission {
    /// Part of the offered work that is admitted, 0 to 1.
    pub(crate) level: f64,
    /// Factor on the first estimate of the requests that this node may have in flight at all backends
    /// together.
    pub(crate) in_flight_allowance: f64,
    /// True if a request was stopped by the allowance since the last tick.
    pub(super) allowance_reached: bool,
    /// Recent outcomes, weighted by worth.
    pub(super) outcomes: OutcomeBalance,
    /// Share of the backends that are congested or at their cap.
    pub(super) blocked_share: f64,
    /// Strain: share of recent outcomes that were late or failed, 0 to 1.
    pub(crate) strain: f64,
    /// Offered work by class: within the tenant's share, and over it or late.
    pub(crate) offered: Vec<[f64; 2]>,
    /// Probability of admission, by class as in `offered`.
    pub(crate) admit_probability: Vec<[f64; 2]>,
    /// Part of the in-flight allowance that a class may fill, as in `offered`: the less, the less it is
    /// worth.
    pub(crate) allowance_part: Vec<[f64; 2]>,
    /// Requests per second of each tenant at this node.
    pub(crate) tenant_rates: DecayingRates,
    /// Tokens for further attempts.
    pub(super) retry_tokens: f64,
    /// Tokens for spills: sends to a backend that is none of the key's candidates.
    pub(crate) spill_tokens: f64,
}

impl Balancer {
    /// Updates the strain, the admission level and each class's probability of admission, at every tick.
    pub(super) fn update_admission(&mut self, seconds: f64) {
        // A stall of this node makes one tick span several seconds. The limit keeps that tick from closing or
        // opening admission all at once.
        let seconds = seconds.min(1.0);
        let keep = (-seconds / 2.0_f64).exp();
        let a = &mut self.admission;
        a.tenant_rates.tick(seconds);
        // Few outcomes are weak evidence and count for less. Otherwise a node that admits next to nothing
        // would keep the strain that closed its admission.
        a.strain = a.outcomes.bad_share();
        // Load reports show that the fleet is filling up before answers become late, and some backends stay
        // slow long after one or two seconds of overload. High pressure therefore counts as strain. Where a
        // full fleet still answers well within the aim, the threshold rises.
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
        // Orders the classes by what the goal gains per unit of work.
        let mut order: Vec<(f64, usize, usize)> = Vec::new();
        let served_share = |stats: &ClassStatistics| {
            if stats.requests > 0.0 { stats.served / stats.requests } else { 1.0 }
        };
        let worst = self.class_statistics.iter().map(served_share).fold(1.0, f64::min);
        let work = |stats: &ClassStatistics| {
            if self.settings.worth_by_work { 1.0 } else { stats.mean_ms.max(1.0) }
        };
        let total: f64 = self
            .class_statistics
            .iter()
            .zip(&self.settings.classes)
            .map(|(stats, c)| stats.requests * c.worth)
            .sum();
        for (i, (stats, c)) in self.class_statistics.iter().zip(&self.settings.classes).enumerate() {
            let own = (stats.requests * c.worth).max(1e-9);
            let closeness_to_worst = (1.0 - (served_share(stats) - worst) / 0.05).max(0.0);
            let gain = (self.settings.goal.whole + self.settings.goal.worst_window) / total.max(1e-9)
                + self.settings.goal.worst_class * closeness_to_worst / own;
            for over in 0..2 {
                let part = if over == 1 { self.settings.over_share_worth } else { 1.0 };
                order.push((c.worth * gain * part / work(stats), i, over));
            }
        }
        order.sort_by(|a, b| b.0.total_cmp(&a.0));
        // Admits classes in that order until the admitted part of the offered work is used up.
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
        self.class_statistics.iter_mut().for_each(|stats| stats.decay(seconds));
    }

    /// Decides whether a request is admitted: by its class's probability, and only while this node's
    /// in-flight allowance is not used up. `over`: the request is worth less than its class, because its
    /// tenant is over its share or because it is late.
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
        // Three standard deviations are added, because random arrivals alone exceed a small allowance.
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

    /// Counts a tenant's request and decides by chance whether it is over the tenant's share, as often as
    /// the tenant's traffic exceeds this node's part of its quota. Where the part within the share is known
    /// for the whole fleet, that part decides instead.
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
