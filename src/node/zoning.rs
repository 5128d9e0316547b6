//! The node's part in judging zones as a whole: carries out what `daleturn::control::zones` says, and what operators
//! say of zones.

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

/// How often the zones are looked at.
const LOOK: Duration = Duration::from_millis(100);
/// What a word for the fleet begins with that is about a zone.
pub const PREFIX: &str = "zone:";
/// Why a call on zones is turned down.
const OFF: &str = "nothing changed: zones are not judged here ([topology] is off)";

/// What this node knows of zones.
pub struct Zoning {
    driver: Rc<Driver>,
    current_settings: Rc<CurrentSettings>,
    sharing: Option<Rc<Sharing>>,
    durable: Option<Rc<Durable>>,
    topology: RefCell<Topology>,
    /// Parts of their weights by verdicts and orders.
    parts: RefCell<BTreeMap<u16, (f64, &'static str)>>,
}

impl Zoning {
    /// Zones are judged from here on.
    pub fn new(
        topology: &Topology,
        driver: Rc<Driver>,
        current_settings: Rc<CurrentSettings>,
        sharing: Option<Rc<Sharing>>,
        durable: Option<Rc<Durable>>,
    ) -> Rc<Zoning> {
        let settings = current_settings.get().settings.clone();
        driver.enable_zone_checks(settings.zone, settings.cold_ms);
        let (topology, parts) = (RefCell::new(topology.clone()), RefCell::default());
        Rc::new(Zoning { driver, current_settings, sharing, durable, topology, parts })
    }

    /// Other regions from here on.
    pub fn retune(&self, topology: &Topology) {
        self.topology.replace(topology.clone());
        self.weigh();
    }

    /// Looks at the zones for as long as the node lives.
    pub async fn run(self: Rc<Self>, kept: Vec<(String, Option<Duration>)>) {
        let mut kept = kept;
        let mut turn = tokio::time::interval(LOOK);
        turn.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        self.weigh();
        loop {
            turn.tick().await;
            self.look();
            // Orders from before this start hold once their zones are known.
            kept.retain(|(zone, left)| self.order(zone, true, *left).is_err());
        }
    }

    fn look(&self) {
        let active = self.current_settings.get();
        let others = self.sharing.as_ref().is_some_and(|s| s.reachable_members() > 1);
        let words = |zone: u16| match (&self.sharing, active.names.zone_name(zone)) {
            (Some(sharing), Some(name)) => sharing.count_zone_reports(&format!("{PREFIX}{name}")),
            _ => 0,
        };
        let changes = self.driver.update_zones(others, words);
        if changes.is_empty() {
            return;
        }
        for change in changes {
            let zone = active.names.zone_name(change.zone).unwrap_or("?").to_owned();
            let before = self.parts.borrow_mut().insert(change.zone, (change.weight, change.state));
            // The steps of a ramp are no news; that it begins and ends is.
            if before.is_none_or(|(_, stand)| stand != change.state) {
                let (weight, stand, why) = (change.weight, change.state, change.reason.as_str());
                log_event!(WARN, "zone", zone = zone.as_str(), stand, weight, why, "zone.turned");
            }
            if let (Some(sharing), Some(bad)) = (&self.sharing, change.report) {
                sharing.report_zone(&format!("{PREFIX}{zone}"), bad);
            }
        }
        self.weigh();
    }

    /// Hands the decisions each zone's weight: what its health leaves of what its region is worth from here.
    fn weigh(&self) {
        let active = self.current_settings.get();
        let topology = self.topology.borrow();
        let region = |zone: u16| active.names.zone_name(zone).and_then(|name| topology.regions.get(name));
        let own = active.settings.zone.and_then(region);
        let parts = self.parts.borrow();
        let part = |zone: u16| parts.get(&zone).map_or(1.0, |p| p.0);
        let count = u16::try_from(active.names.zones()).unwrap_or(u16::MAX);
        let home = |zone: u16| own.is_none() || region(zone) == own;
        // With nothing left at home, the other regions are as good as any.
        let any_home = (0..count).any(|zone| home(zone) && part(zone) >= 0.5);
        let far = f64::from(topology.other_region_percent) / 100.0;
        let weight = |zone: u16| match part(zone) {
            left if left < MIN_ACTIVE_WEIGHT => left,
            part if home(zone) || !any_home => part,
            part => (part * far).max(MIN_ACTIVE_WEIGHT),
        };
        self.driver.handle(Input::ZoneWeights((0..count).map(weight).collect()));
    }

    fn order(&self, zone: &str, out: bool, left: Option<Duration>) -> Result<(), String> {
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

    /// An operator's word to this node.
    ///
    /// # Errors
    /// No such zone, not storable, or more than the rest can carry.
    pub async fn say(
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
        self.order(zone, out, left)?;
        let mut said = match (out, for_s) {
            (true, Some(s)) => format!("{zone} is left for {s} s"),
            (true, None) => format!("{zone} is left until it may return"),
            (false, _) => format!("{zone} may return"),
        };
        if let Some(sharing) = &self.sharing {
            sharing.share_order(&format!("{PREFIX}{zone}"), out, for_s.unwrap_or(0))?;
            said.push_str(&format!(
                ", and {} others hear of it",
                sharing.reachable_members().saturating_sub(1)
            ));
        }
        Ok(said)
    }

    /// A word of another node.
    pub fn hear(&self, zone: &str, out: bool, left: Option<Duration>) {
        let taken = self.order(zone, out, left);
        let refused = taken.err();
        log_event!(INFO, "zone", zone, out, ?refused, "zone.operators_word");
    }

    /// Where the zones stand.
    ///
    /// # Errors
    /// They are not judged.
    pub fn figures(driver: &Driver, current_settings: &CurrentSettings) -> Result<Value, String> {
        let zones = driver.zone_states().ok_or(OFF)?;
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

/// Why a call on zones is turned down where they are not judged.
pub fn off() -> String {
    OFF.to_owned()
}
