//! Connects the node to the shared state of the fleet: performs the actions of `daleturn::control` and
//! decides nothing itself.

use crate::active_settings::CurrentSettings;
use crate::driver::{Driver, Input};
use crate::handover::Handover;
use crate::log::log_event;
use crate::peers::Peers;
use crate::zoning::{ZONE_PREFIX, Zoning};
use daleturn::control::datagram::MAX_NAME_BYTES;
use daleturn::control::gossip::{Action, Event, Gossip, MaxAges};
use daleturn::control::membership::{Ms, NodeId, Status};
use daleturn::control::operator_orders::{FleetOrder, OrderVersion};
use daleturn::control::shared_state::OperatorOrder;
use daleturn::interface::{Observation, SharedUpdate};
use daleturn::options::Share;
use daleturn::wire::stable_hash;
use hdrhistogram::Histogram;
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Interval at which the gossip state machine runs.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Number of ticks between two updates of the balancer with the tenants' totals.
const TICKS_PER_REPORT: u64 = 5;
/// First byte of gossip datagrams.
const DATAGRAM_MARKER: u8 = 0xd1;
/// Maximum age that the histograms distinguish, in milliseconds.
const MAX_AGE_MS: u64 = 120_000;

/// Histogram of the ages of shared information when it was used, since the start.
struct AgeHistogram(Histogram<u32>);

impl AgeHistogram {
    fn new() -> AgeHistogram {
        // Cannot fail: the bounds are valid constants.
        AgeHistogram(
            Histogram::new_with_bounds(1, MAX_AGE_MS, 2).unwrap_or_else(|_| unreachable!("bounds")),
        )
    }

    fn record(&mut self, ms: Ms) {
        self.0.saturating_record(ms.max(1));
    }

    fn json(&self) -> Value {
        let at = |q: f64| self.0.value_at_quantile(q);
        json!({"n": self.0.len(), "p50": at(0.5), "p99": at(0.99), "worst": at(1.0)})
    }
}

/// Ages by kind of information, and how often tenant limits were computed, with and without fleet totals.
struct UsageStats {
    limits: AgeHistogram,
    verdicts: AgeHistogram,
    affinity: AgeHistogram,
    computed: u64,
    without_totals: u64,
}

/// This node's part in the shared state.
pub struct Sharing {
    gossip: RefCell<Gossip>,
    usage: RefCell<UsageStats>,
    peers: Rc<Peers>,
    driver: Rc<Driver>,
    current_settings: Rc<CurrentSettings>,
    started: Instant,
    /// True while this process has bound the peer address; released, it belongs to the other process.
    is_bound: Cell<bool>,
    verdicts_ms: Cell<u32>,
    affinity_ms: Cell<u32>,
    zoning: RefCell<Weak<Zoning>>,
}

/// Returns the configured maximum ages in milliseconds.
fn max_ages(share: &Share) -> MaxAges {
    let ms = Ms::from;
    MaxAges {
        limits_ms: ms(share.limits_ms),
        verdicts_ms: ms(share.verdicts_ms),
        affinity_ms: ms(share.affinity_ms),
    }
}

/// Returns the 32-bit hash under which a name is shared.
fn short_hash(name: &str) -> u32 {
    (stable_hash(name) >> 32) as u32
}

impl Sharing {
    /// Creates the shared state of this node. It sends nothing until the node serves clients. Returns
    /// `None` if this node has no number among the configured peers or may not send them messages.
    pub fn new(
        share: &Share,
        peers: Rc<Peers>,
        driver: Rc<Driver>,
        current_settings: Rc<CurrentSettings>,
        seed: u64,
    ) -> Option<Rc<Sharing>> {
        let settings = current_settings.get().settings.clone();
        let own = NodeId::try_from(settings.slot).ok()?;
        let count = u16::try_from(peers.node_count()).ok()?;
        if own >= count || !settings.peer_messages {
            log_event!(ERROR, "share", own, count, allowed = settings.peer_messages, "share.unusable");
            return None;
        }
        // Seconds since 1970 increase with every start. If the clock was set back, the other nodes report
        // that.
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let incarnation = u32::try_from(wall.as_secs()).unwrap_or(1);
        let gossip = Gossip::new(0, own, count, incarnation, max_ages(share), seed);
        let usage = UsageStats {
            limits: AgeHistogram::new(),
            verdicts: AgeHistogram::new(),
            affinity: AgeHistogram::new(),
            computed: 0,
            without_totals: 0,
        };
        let sharing = Rc::new(Sharing {
            gossip: RefCell::new(gossip),
            usage: RefCell::new(usage),
            peers,
            driver: driver.clone(),
            current_settings,
            started: Instant::now(),
            is_bound: Cell::new(true),
            verdicts_ms: Cell::new(share.verdicts_ms),
            affinity_ms: Cell::new(share.affinity_ms),
            zoning: RefCell::new(Weak::new()),
        });
        let weak = Rc::downgrade(&sharing);
        driver.set_observation_sink(move |observation, start| {
            if let Some(sharing) = weak.upgrade() {
                sharing.report(observation, start);
            }
        });
        Some(sharing)
    }

    /// Applies new maximum ages.
    pub fn update_settings(&self, share: &Share) {
        self.gossip.borrow_mut().update_settings(max_ages(share));
        self.verdicts_ms.set(share.verdicts_ms);
        self.affinity_ms.set(share.affinity_ms);
    }

    fn now(&self) -> Ms {
        Ms::try_from(self.started.elapsed().as_millis()).unwrap_or(Ms::MAX)
    }

    /// True for a gossip datagram.
    pub fn is_gossip(bytes: &[u8]) -> bool {
        bytes.first() == Some(&DATAGRAM_MARKER)
    }

    /// Runs while the node does. Of two processes of a node only the serving one sends datagrams.
    pub async fn run(self: Rc<Self>, handover: Rc<Handover>) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        for n in 0_u64.. {
            ticks.tick().await;
            let is_serving = handover.is_serving() && !handover.has_successor();
            if is_serving != self.is_bound.get() {
                if is_serving {
                    if let Err(e) = self.peers.bind() {
                        log_event!(ERROR, "share", reason = e.to_string().as_str(), "share.no_address");
                        continue;
                    }
                    self.clone().listen();
                } else {
                    self.peers.release();
                }
                self.is_bound.set(is_serving);
            }
            if is_serving {
                self.handle_event(Event::Tick);
                if n % TICKS_PER_REPORT == 0 {
                    self.report_demand();
                }
            }
        }
    }

    /// Handles datagrams until the address is released.
    pub fn listen(self: Rc<Self>) {
        tokio::task::spawn_local(async move {
            let (own, peers) = (self.clone(), self.peers.clone());
            peers.listen(move |from, bytes| own.handle_datagram(from, bytes)).await;
        });
    }

    /// Handles a datagram: gossip here, any other message in the balancer.
    fn handle_datagram(&self, from: u32, bytes: Vec<u8>) {
        match NodeId::try_from(from) {
            Ok(from) if Sharing::is_gossip(&bytes) => self.handle_event(Event::Datagram(from, &bytes)),
            _ => self.driver.handle_peer_message(from, bytes),
        }
    }

    /// Shares an observation of the balancer.
    fn report(&self, observation: Observation, start: u32) {
        match observation {
            Observation::Backend { backend, failing } => {
                self.handle_event(Event::Verdict { server: backend.short(), start, failing })
            }
            Observation::Key { key, backend } => {
                self.handle_event(Event::KeyLocation { key, server: backend.short() })
            }
        }
    }

    /// Passes an event to the gossip state machine and performs the resulting actions.
    fn handle_event(&self, event: Event) {
        let mut actions = Vec::new();
        let now = self.now();
        self.gossip.borrow_mut().handle(now, event, &mut actions);
        let clock = self.driver.clock.now_ms();
        for action in actions {
            match action {
                Action::Send(to, bytes) => self.peers.send(Some(u32::from(to)), &bytes),
                Action::Verdict { server, start, node, failing, age } => {
                    self.usage.borrow_mut().verdicts.record(age);
                    let until_ms = clock + f64::from(self.verdicts_ms.get()) - age as f64;
                    if let Some(backend) = self.driver.find_listed(server, Some(start)) {
                        let update = SharedUpdate::Verdict { backend, node, failing, until_ms };
                        self.driver.handle(Input::Shared(update));
                    }
                }
                Action::KeyLocation { key, server, age } => {
                    self.usage.borrow_mut().affinity.record(age);
                    let until_ms = clock + f64::from(self.affinity_ms.get()) - age as f64;
                    if let Some(backend) = self.driver.find_listed(server, None) {
                        self.driver.handle(Input::Shared(SharedUpdate::KeyLocation {
                            key,
                            backend,
                            until_ms,
                        }));
                    }
                }
                Action::OperatorOrder { subject, order, age } => self.apply_order(&subject, order, age),
            }
        }
    }

    /// Applies an order on a zone or a backend that another node has shared.
    fn apply_order(&self, subject: &str, order: OperatorOrder, age: Ms) {
        let OperatorOrder { cordoned, for_s, .. } = order;
        let Some(zone) = subject.strip_prefix(ZONE_PREFIX) else {
            let given_ms = self.driver.clock.now_ms() - age as f64;
            let order = FleetOrder { cordoned, version: order.version(), given_ms };
            return self.driver.apply_fleet_order(subject, order);
        };
        let all = Duration::from_secs(for_s.into());
        let left = all.saturating_sub(Duration::from_millis(age));
        if let Some(zoning) =
            self.zoning.borrow().upgrade().filter(|_| !cordoned || for_s == 0 || !left.is_zero())
        {
            zoning.apply_shared_order(zone, cordoned, (cordoned && for_s > 0).then_some(left));
        }
    }

    /// Sets the receiver of orders on zones.
    pub fn set_zoning(&self, zoning: &Rc<Zoning>) {
        self.zoning.replace(Rc::downgrade(zoning));
    }

    /// Returns the number of other nodes that report a zone as lost.
    pub fn count_zone_reports(&self, zone: &str) -> usize {
        let gossip = self.gossip.borrow();
        let age = Ms::from(self.verdicts_ms.get());
        gossip.shared().failing_verdicts_by_others(
            self.now(),
            short_hash(zone),
            gossip.members().local_id(),
            age,
        )
    }

    /// Reports a zone as lost, or no longer lost.
    pub fn report_zone(&self, zone: &str, failing: bool) {
        self.handle_event(Event::Verdict { server: short_hash(zone), start: 0, failing });
    }

    /// Reports this node's tenant demand to the fleet, and passes each tenant's share of the fleet's total
    /// to the balancer.
    fn report_demand(&self) {
        let active = self.current_settings.get();
        let name = |t: usize| active.names.tenant_name(t).map(short_hash);
        let asked = self.driver.tenant_request_rates();
        let rates: Vec<(u32, f32)> =
            (0..asked.len()).filter_map(|t| Some((name(t)?, asked[t] as f32))).collect();
        self.handle_event(Event::TenantRates(&rates));
        let now = self.now();
        let (shares, age) = {
            let gossip = self.gossip.borrow();
            let within = |t: usize| {
                let quota = active.settings.tenants.get(t).map_or(0.0, |t| t.quota_rps);
                name(t)
                    .filter(|_| quota > 0.0)
                    .and_then(|short| gossip.share_within_quota(now, short, quota))
            };
            let shares: Vec<Option<f64>> = (0..active.settings.tenants.len()).map(within).collect();
            (shares, gossip.totals(now).map(|(_, age)| age))
        };
        if active.settings.tenants.iter().any(|t| t.quota_rps > 0.0) {
            let usage = &mut *self.usage.borrow_mut();
            usage.computed += 1;
            match age {
                Some(age) => usage.limits.record(age),
                None => usage.without_totals += 1,
            }
        }
        self.driver.handle(Input::Shared(SharedUpdate::TenantShares(shares)));
    }

    /// Shares an operator's order, already applied at this node, with the fleet.
    ///
    /// # Errors
    /// Returns the reason if the name does not fit into a datagram.
    pub fn share_order(&self, subject: &str, cordoned: bool, for_s: u32) -> Result<(), String> {
        if subject.len() > MAX_NAME_BYTES {
            return Err(format!("a name for the fleet has at most {MAX_NAME_BYTES} bytes"));
        }
        self.handle_event(Event::OperatorOrder { subject, cordoned, for_s });
        Ok(())
    }

    /// Returns the version of the latest fleet-wide order on a backend.
    pub fn order_version(&self, uid: &str) -> Option<OrderVersion> {
        self.gossip.borrow().shared().operator_order(uid).map(|order| order.value.version())
    }

    /// True if a fleet-wide order has cordoned the backend.
    pub fn is_cordoned(&self, uid: &str) -> bool {
        self.gossip.borrow().shared().operator_order(uid).is_some_and(|order| order.value.cordoned)
    }

    /// Announces that this node leaves and no other process of it continues.
    pub fn leave(&self) {
        self.handle_event(Event::Leave);
    }

    /// Returns the number of reachable members, including this node.
    pub fn reachable_members(&self) -> usize {
        let [alive, suspected, ..] = self.gossip.borrow().members().counts();
        alive + suspected
    }

    /// Returns the statistics of the shared state, for operators.
    pub fn stats_json(&self) -> Value {
        let gossip = self.gossip.borrow();
        let (members, counts, usage) = (gossip.members(), gossip.counts(), self.usage.borrow());
        let [alive, suspected, gone, left] = members.counts();
        let named = |wanted: Status| -> Vec<NodeId> {
            let all = 0..u16::try_from(members.count()).unwrap_or(u16::MAX);
            all.filter(|n| members.state(*n).is_some_and(|l| l.status == wanted)).take(32).collect()
        };
        let total = gossip.totals(self.now()).map(|(t, age)| json!({"counted": t.counted, "age_ms": age}));
        let [verdicts, key_locations, orders] = gossip.shared().counts();
        json!({
            "members": {"alive": alive, "suspected": suspected, "gone": gone, "left": left,
                        "who_suspected": named(Status::Suspect), "who_gone": named(Status::Dead)},
            "own": members.local_id(), "reports_to": gossip.parent(), "lateness": members.lateness(),
            "total": total, "held": {"verdicts": verdicts, "places": key_locations, "words": orders},
            "ages_ms": {"limits": usage.limits.json(), "verdicts": usage.verdicts.json(),
                        "affinity": usage.affinity.json()},
            "limits_alone": {"of": usage.computed, "times": usage.without_totals},
            "datagrams": {"sent": counts.sent, "received": counts.received, "spoilt": counts.rejected.corrupt,
                          "version": counts.rejected.version, "name": counts.rejected.wrong_sender,
                          "replayed": counts.rejected.replayed},
        })
    }
}
