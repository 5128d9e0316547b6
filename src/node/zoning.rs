//! Zone health checks of the node: performs what `daleturn::control::zones` decides and applies operators'
//! orders on zones.

use crate::active_settings::CurrentSettings;
use crate::driver::{Driver, Input};
use crate::durable::Durable;
use crate::log::log_event;
use crate::sharing::Sharing;
use daleturn::control::zones::{MIN_ACTIVE_WEIGHT, ZoneOrder};
use daleturn::options::Topology;
use serde_json::{Value, json};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// Interval of the zone health checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Prefix of zone names in fleet-wide orders.
pub const ZONE_PREFIX: &str = "zone:";
/// Error of a call on zones while zone health checks are disabled.
const DISABLED: &str = "nothing changed: zones are not judged here ([topology] is off)";

/// Zone weights and orders of this node.
pub struct Zoning {
    driver: Rc<Driver>,
    current_settings: Rc<CurrentSettings>,
    sharing: Option<Rc<Sharing>>,
    durable: Option<Rc<Durable>>,
    topology: RefCell<Topology>,
    /// Weight and state of each zone according to its health and to orders.
    states: RefCell<BTreeMap<u16, (f64, &'static str)>>,
}

impl Zoning {
    /// Enables zone health checks.
    pub fn new(
        topology: &Topology,
        driver: Rc<Driver>,
        current_settings: Rc<CurrentSettings>,
        sharing: Option<Rc<Sharing>>,
        durable: Option<Rc<Durable>>,
    ) -> Rc<Zoning> {
        let settings = current_settings.get().settings.clone();
        driver.enable_zone_checks(settings.zone, settings.cold_ms);
        let (topology, states) = (RefCell::new(topology.clone()), RefCell::default());
        Rc::new(Zoning { driver, current_settings, sharing, durable, topology, states })
    }

    /// Applies a new topology.
    pub fn update_topology(&self, topology: &Topology) {
        self.topology.replace(topology.clone());
        self.update_weights();
    }

    /// Checks the zones while the node runs.
    pub async fn run(self: Rc<Self>, stored: Vec<(String, Option<Duration>)>) {
        let mut stored = stored;
        let mut ticks = tokio::time::interval(CHECK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        self.update_weights();
        loop {
            ticks.tick().await;
            self.check_zones();
            // Orders from before this start are applied once their zones are known.
            stored.retain(|(zone, left)| self.apply_order(zone, true, *left).is_err());
        }
    }

    /// Runs the zone health checks, and logs and shares the resulting changes.
    fn check_zones(&self) {
        let active = self.current_settings.get();
        let others = self.sharing.as_ref().is_some_and(|s| s.reachable_members() > 1);
        let peer_reports = |zone: u16| match (&self.sharing, active.names.zone_name(zone)) {
            (Some(sharing), Some(name)) => sharing.count_zone_reports(&format!("{ZONE_PREFIX}{name}")),
            _ => 0,
        };
        let changes = self.driver.update_zones(others, peer_reports);
        if changes.is_empty() {
            return;
        }
        for change in changes {
            let zone = active.names.zone_name(change.zone).unwrap_or("?").to_owned();
            let before = self.states.borrow_mut().insert(change.zone, (change.weight, change.state));
            // Only the start and the end of a ramp are logged, not its steps.
            if before.is_none_or(|(_, stand)| stand != change.state) {
                let (weight, stand, why) = (change.weight, change.state, change.reason.as_str());
                log_event!(WARN, "zone", zone = zone.as_str(), stand, weight, why, "zone.turned");
            }
            if let (Some(sharing), Some(is_failing)) = (&self.sharing, change.report) {
                sharing.report_zone(&format!("{ZONE_PREFIX}{zone}"), is_failing);
            }
        }
        self.update_weights();
    }

    /// Passes the zone weights to the balancer: the weight by health, reduced for zones of other regions.
    fn update_weights(&self) {
        let active = self.current_settings.get();
        let topology = self.topology.borrow();
        let region = |zone: u16| active.names.zone_name(zone).and_then(|name| topology.regions.get(name));
        let own = active.settings.zone.and_then(region);
        let states = self.states.borrow();
        let health_weight = |zone: u16| states.get(&zone).map_or(1.0, |p| p.0);
        let count = u16::try_from(active.names.zone_count()).unwrap_or(u16::MAX);
        let is_home = |zone: u16| own.is_none() || region(zone) == own;
        // If no zone of the home region is left, all regions count equally.
        let any_home = (0..count).any(|zone| is_home(zone) && health_weight(zone) >= 0.5);
        let other_region_factor = f64::from(topology.other_region_percent) / 100.0;
        let weight = |zone: u16| match health_weight(zone) {
            left if left < MIN_ACTIVE_WEIGHT => left,
            health_weight if is_home(zone) || !any_home => health_weight,
            health_weight => (health_weight * other_region_factor).max(MIN_ACTIVE_WEIGHT),
        };
        self.driver.handle(Input::ZoneWeights((0..count).map(weight).collect()));
    }

    /// Applies an order on a zone at this node.
    fn apply_order(&self, zone: &str, out: bool, left: Option<Duration>) -> Result<(), String> {
        let number = self
            .current_settings
            .get()
            .names
            .zone_number(zone)
            .ok_or_else(|| format!("no zone {zone:?} is known"))?;
        let until = left.map(|left| self.driver.clock.now_ms() + left.as_secs_f64() * 1000.0);
        let known = self.driver.order_zone(number, out.then_some(ZoneOrder::Leave(until)));
        if known { Ok(()) } else { Err(format!("no backend of zone {zone:?} is listed")) }
    }

    /// Applies an operator's order at this node and shares it with the fleet.
    ///
    /// # Errors
    /// Returns the reason if the zone is unknown, the order cannot be stored, or the remaining backends
    /// cannot serve the load.
    pub async fn execute_order(
        &self,
        zone: &str,
        out: bool,
        for_s: Option<u32>,
        force: bool,
    ) -> Result<String, String> {
        let number = self
            .current_settings
            .get()
            .names
            .zone_number(zone)
            .ok_or_else(|| format!("no zone {zone:?} is known"))?;
        if out && !force {
            self.driver.check_without_zone(number)?;
        }
        let left = for_s.map(|s| Duration::from_secs(s.into()));
        if let Some(durable) = &self.durable {
            let stored = durable.store_zone(zone, out, left).await;
            stored.map_err(|reason| format!("nothing changed, it cannot be stored: {reason}"))?;
        }
        self.apply_order(zone, out, left)?;
        let mut reply = match (out, for_s) {
            (true, Some(s)) => format!("{zone} is left for {s} s"),
            (true, None) => format!("{zone} is left until it may return"),
            (false, _) => format!("{zone} may return"),
        };
        if let Some(sharing) = &self.sharing {
            sharing.share_order(&format!("{ZONE_PREFIX}{zone}"), out, for_s.unwrap_or(0))?;
            reply.push_str(&format!(
                ", and {} others hear of it",
                sharing.reachable_members().saturating_sub(1)
            ));
        }
        Ok(reply)
    }

    /// Applies an order received from another node.
    pub fn apply_shared_order(&self, zone: &str, out: bool, left: Option<Duration>) {
        let result = self.apply_order(zone, out, left);
        let refused = result.err();
        log_event!(INFO, "zone", zone, out, ?refused, "zone.operators_word");
    }

    /// Returns the state of all zones as JSON.
    ///
    /// # Errors
    /// Returns an error if zone health checks are disabled.
    pub fn json(driver: &Driver, current_settings: &CurrentSettings) -> Result<Value, String> {
        let zones = driver.zone_states().ok_or(DISABLED)?;
        let (now, active) = (driver.clock.now_ms(), current_settings.get());
        let each = zones.iter().map(|z| {
            json!({"zone": active.names.zone_name(z.zone).unwrap_or("?"), "stand": z.state,
                   "weight": (z.weight * 1000.0).round() / 1000.0, "why": z.reason, "turns": z.direction_changes,
                   "since_s": ((now - z.since) / 1000.0).max(0.0).round(),
                   "failing": (z.failure_rate * 1000.0).round() / 1000.0})
        });
        Ok(each.collect())
    }
}

/// Returns the error of a call on zones while zone health checks are disabled.
pub fn disabled_error() -> String {
    DISABLED.to_owned()
}
