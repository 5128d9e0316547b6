//! Health checks of zones: what the driver's backends show of them, and orders on them.

use super::Driver;
use daleturn::control::zones::{ZoneChange, ZoneOrder, ZoneStats, Zones};
use daleturn::interface::{BackendSnapshot, Health};
use std::collections::BTreeMap;

/// Factor by which a warm backend's assumed capacity exceeds the rate it was recently seen to serve.
const WARM_HEADROOM: f64 = 1.5;

impl Driver {
    /// Enables zone health checks.
    pub fn enable_zone_checks(&self, home_zone: Option<u16>, cold_ms: f64) {
        self.core.borrow_mut().zones = Some(Zones::new(self.clock.now_ms(), home_zone, cold_ms));
    }

    /// Updates the zone health checks and returns the zones that changed. `peer_reports` returns how
    /// many other nodes report a zone as lost; `others` is true if any other node is reachable.
    pub fn update_zones(&self, others: bool, peer_reports: impl Fn(u16) -> usize) -> Vec<ZoneChange> {
        let core = &mut *self.core.borrow_mut();
        let Some(zones) = &mut core.zones else { return Vec::new() };
        let mut up = BTreeMap::new();
        for target in core.listed.values() {
            let is_up =
                target.entry.health == Health::Up && !core.cordoned.contains_key(&target.entry.backend);
            *up.entry(target.entry.zone).or_insert(0_usize) += usize::from(is_up);
        }
        let now = self.clock.now_ms();
        let mut tripped = BTreeMap::new();
        for b in core.balancer.snapshot(now).backends.iter().filter(|b| b.up && b.trial_at_ms.is_some()) {
            *tripped.entry(b.zone).or_insert(0_usize) += 1;
        }
        zones.set_servers(now, &up, &tripped);
        up.keys().for_each(|zone| zones.set_peer_reports(*zone, peer_reports(*zone)));
        zones.tick(now, others)
    }

    /// Applies or revokes an operator's order on a zone. Returns false if the zone is unknown.
    pub fn order_zone(&self, zone: u16, order: Option<ZoneOrder>) -> bool {
        let now = self.clock.now_ms();
        self.core.borrow_mut().zones.as_mut().is_some_and(|z| z.apply_order(now, zone, order))
    }

    /// Returns the state of all zones, or `None` if zone health checks are disabled.
    pub fn zone_states(&self) -> Option<Vec<ZoneStats>> {
        self.core.borrow().zones.as_ref().map(Zones::stats)
    }

    /// True if this node, rather than the zones, appears to be cut off from the network.
    pub fn is_isolated(&self) -> bool {
        self.core.borrow().zones.as_ref().is_some_and(Zones::is_isolated)
    }

    /// Checks whether the remaining backends can serve the current load without a zone.
    ///
    /// # Errors
    /// Returns the figures as text if the known capacity of the remaining backends does not suffice.
    pub fn check_without_zone(&self, zone: u16) -> Result<(), String> {
        let core = self.core.borrow();
        let snapshot = core.balancer.snapshot(self.clock.now_ms());
        let left_out = |b: &BackendSnapshot| {
            let zones = core.zones.as_ref().map(Zones::stats).unwrap_or_default();
            b.zone == zone || zones.iter().any(|z| z.zone == b.zone && matches!(z.state, "out" | "held"))
        };
        let left =
            snapshot.backends.iter().filter(|b| b.up && b.trial_at_ms.is_none() && !left_out(b)).count();
        let asked = core.request_counts.1.iter().copied().max().unwrap_or(0);
        let per_backend = snapshot.warm_rate * WARM_HEADROOM;
        if left > 0 && f64::from(asked) <= per_backend * left as f64 {
            return Ok(());
        }
        Err(format!(
            "nothing changed: {left} backends would be left, known to serve {:.0} a second for this node, and {asked} are \
             asked; --force does it all the same",
            per_backend * left as f64
        ))
    }
}
