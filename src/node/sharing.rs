//! The node's part of the fleet's shared state: carries out what `daleturn::control` says, and decides nothing.

use crate::active_settings::CurrentSettings;
use crate::driver::{Driver, Input};
use crate::handover::Handover;
use crate::log::log_event;
use crate::peers::Peers;
use crate::zoning::{PREFIX, Zoning};
use daleturn::control::datagram::MAX_NAME_BYTES;
use daleturn::control::gossip::{Action, Event, Gossip, MaxAges};
use daleturn::control::membership::{Ms, NodeId, Status};
use daleturn::interface::{Observation, SharedUpdate};
use daleturn::options::Share;
use daleturn::wire::stable_hash;
use hdrhistogram::Histogram;
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// How often the machine is asked what is due.
const TICK: Duration = Duration::from_millis(20);
/// And every so many ticks the decisions hear of the totals.
const TELL_EVERY: u64 = 5;
/// First byte of its datagrams.
const FIRST: u8 = 0xd1;
/// The oldest age that is told apart, in milliseconds.
const OLDEST_MS: u64 = 120_000;

/// Ages at the moments of use, since the start.
struct Ages(Histogram<u32>);

impl Ages {
    fn new() -> Ages {
        // The bounds are constants that it takes.
        Ages(Histogram::new_with_bounds(1, OLDEST_MS, 2).unwrap_or_else(|_| unreachable!("bounds")))
    }

    fn note(&mut self, ms: Ms) {
        self.0.saturating_record(ms.max(1));
    }

    fn json(&self) -> Value {
        let at = |q: f64| self.0.value_at_quantile(q);
        json!({"n": self.0.len(), "p50": at(0.5), "p99": at(0.99), "worst": at(1.0)})
    }
}

/// Ages by kind, and how often limits were decided without the fleet.
struct Uses {
    limits: Ages,
    verdicts: Ages,
    affinity: Ages,
    looked: u64,
    alone: u64,
}

/// What this node shares.
pub struct Sharing {
    fleet: RefCell<Gossip>,
    uses: RefCell<Uses>,
    peers: Rc<Peers>,
    driver: Rc<Driver>,
    current_settings: Rc<CurrentSettings>,
    started: Instant,
    here: Cell<bool>,
    verdicts_ms: Cell<u32>,
    affinity_ms: Cell<u32>,
    zoning: RefCell<Weak<Zoning>>,
}

fn bounds(share: &Share) -> MaxAges {
    let ms = Ms::from;
    MaxAges {
        limits_ms: ms(share.limits_ms),
        verdicts_ms: ms(share.verdicts_ms),
        affinity_ms: ms(share.affinity_ms),
    }
}

fn short(name: &str) -> u32 {
    (stable_hash(name) >> 32) as u32
}

impl Sharing {
    /// A part that does not speak yet. None where the platform gives this node no place among its peers.
    pub fn new(
        share: &Share,
        peers: Rc<Peers>,
        driver: Rc<Driver>,
        current_settings: Rc<CurrentSettings>,
        seed: u64,
    ) -> Option<Rc<Sharing>> {
        let settings = current_settings.get().settings.clone();
        let own = NodeId::try_from(settings.slot).ok()?;
        let count = u16::try_from(peers.nodes()).ok()?;
        if own >= count || !settings.peer_messages {
            log_event!(ERROR, "share", own, count, allowed = settings.peer_messages, "share.unusable");
            return None;
        }
        // Seconds since 1970 rise with each start; where a clock went back, the others say so.
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let incarnation = u32::try_from(wall.as_secs()).unwrap_or(1);
        let fleet = Gossip::new(0, own, count, incarnation, bounds(share), seed);
        let uses =
            Uses { limits: Ages::new(), verdicts: Ages::new(), affinity: Ages::new(), looked: 0, alone: 0 };
        let sharing = Rc::new(Sharing {
            fleet: RefCell::new(fleet),
            uses: RefCell::new(uses),
            peers,
            driver: driver.clone(),
            current_settings,
            started: Instant::now(),
            here: Cell::new(true),
            verdicts_ms: Cell::new(share.verdicts_ms),
            affinity_ms: Cell::new(share.affinity_ms),
            zoning: RefCell::new(Weak::new()),
        });
        let own = Rc::downgrade(&sharing);
        driver.set_observation_sink(move |found, start| {
            if let Some(sharing) = own.upgrade() {
                sharing.found(found, start);
            }
        });
        Some(sharing)
    }

    /// Other bounds from here on.
    pub fn retune(&self, share: &Share) {
        self.fleet.borrow_mut().update_settings(bounds(share));
        self.verdicts_ms.set(share.verdicts_ms);
        self.affinity_ms.set(share.affinity_ms);
    }

    fn now(&self) -> Ms {
        Ms::try_from(self.started.elapsed().as_millis()).unwrap_or(Ms::MAX)
    }

    /// Its own datagrams begin so.
    pub fn is_own(bytes: &[u8]) -> bool {
        bytes.first() == Some(&FIRST)
    }

    /// Serves for as long as the node lives. Of two processes of a node the one that serves speaks.
    pub async fn run(self: Rc<Self>, handover: Rc<Handover>) {
        let mut turn = tokio::time::interval(TICK);
        turn.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        for n in 0_u64.. {
            turn.tick().await;
            let here = handover.is_serving() && !handover.has_successor();
            if here != self.here.get() {
                if here {
                    if let Err(e) = self.peers.join() {
                        log_event!(ERROR, "share", reason = e.to_string().as_str(), "share.no_address");
                        continue;
                    }
                    self.clone().listen();
                } else {
                    self.peers.leave();
                }
                self.here.set(here);
            }
            if here {
                self.act(Event::Tick);
                if n % TELL_EVERY == 0 {
                    self.tell();
                }
            }
        }
    }

    /// Takes in datagrams until the address is left.
    pub fn listen(self: Rc<Self>) {
        tokio::task::spawn_local(async move {
            let (own, peers) = (self.clone(), self.peers.clone());
            peers.listen(move |from, bytes| own.heard(from, bytes)).await;
        });
    }

    fn heard(&self, from: u32, bytes: Vec<u8>) {
        match NodeId::try_from(from) {
            Ok(from) if Sharing::is_own(&bytes) => self.act(Event::Datagram(from, &bytes)),
            _ => self.driver.handle_peer_message(from, bytes),
        }
    }

    fn found(&self, found: Observation, start: u32) {
        match found {
            Observation::Backend { backend, failing: bad } => {
                self.act(Event::Verdict { server: backend.short(), start, failing: bad })
            }
            Observation::Key { key, backend } => {
                self.act(Event::KeyLocation { key, server: backend.short() })
            }
        }
    }

    fn act(&self, event: Event) {
        let mut actions = Vec::new();
        let now = self.now();
        self.fleet.borrow_mut().handle(now, event, &mut actions);
        let clock = self.driver.clock.now_ms();
        for action in actions {
            match action {
                Action::Send(to, bytes) => self.peers.send(Some(u32::from(to)), &bytes),
                Action::Verdict { server, start, node: who, failing: bad, age } => {
                    self.uses.borrow_mut().verdicts.note(age);
                    let until_ms = clock + f64::from(self.verdicts_ms.get()) - age as f64;
                    if let Some(backend) = self.driver.find_listed(server, Some(start)) {
                        let news = SharedUpdate::Verdict { backend, node: who, failing: bad, until_ms };
                        self.driver.handle(Input::Shared(news));
                    }
                }
                Action::KeyLocation { key, server, age } => {
                    self.uses.borrow_mut().affinity.note(age);
                    let until_ms = clock + f64::from(self.affinity_ms.get()) - age as f64;
                    if let Some(backend) = self.driver.find_listed(server, None) {
                        self.driver.handle(Input::Shared(SharedUpdate::KeyLocation {
                            key,
                            backend,
                            until_ms,
                        }));
                    }
                }
                Action::OperatorOrder { subject: about, cordoned: out, for_s, age } => {
                    self.word(&about, out, for_s, age)
                }
            }
        }
    }

    fn word(&self, about: &str, out: bool, for_s: u32, age: Ms) {
        let Some(zone) = about.strip_prefix(PREFIX) else {
            return self.driver.apply_shared_cordon(about, out);
        };
        let all = Duration::from_secs(for_s.into());
        let left = all.saturating_sub(Duration::from_millis(age));
        if let Some(zoning) =
            self.zoning.borrow().upgrade().filter(|_| !out || for_s == 0 || !left.is_zero())
        {
            zoning.hear(zone, out, (out && for_s > 0).then_some(left));
        }
    }

    /// Words on zones go there.
    pub fn zoning(&self, zoning: &Rc<Zoning>) {
        self.zoning.replace(Rc::downgrade(zoning));
    }

    /// How many other nodes hold a zone for lost.
    pub fn against(&self, zone: &str) -> usize {
        let fleet = self.fleet.borrow();
        let age = Ms::from(self.verdicts_ms.get());
        fleet.shared().failing_verdicts_by_others(self.now(), short(zone), fleet.members().local_id(), age)
    }

    /// This node holds a zone for lost, or not any more.
    pub fn found_zone(&self, zone: &str, bad: bool) {
        self.act(Event::Verdict { server: short(zone), start: 0, failing: bad });
    }

    /// What is asked here for the fleet, and what the fleet's totals make of each tenant's share for the decisions.
    fn tell(&self) {
        let active = self.current_settings.get();
        let name = |t: usize| active.names.tenant_name(t).map(short);
        let asked = self.driver.tenant_request_rates();
        let rates: Vec<(u32, f32)> =
            (0..asked.len()).filter_map(|t| Some((name(t)?, asked[t] as f32))).collect();
        self.act(Event::TenantRates(&rates));
        let now = self.now();
        let (parts, age) = {
            let fleet = self.fleet.borrow();
            let within = |t: usize| {
                let quota = active.settings.tenants.get(t).map_or(0.0, |t| t.quota_rps);
                name(t)
                    .filter(|_| quota > 0.0)
                    .and_then(|short| fleet.share_within_quota(now, short, quota))
            };
            let parts: Vec<Option<f64>> = (0..active.settings.tenants.len()).map(within).collect();
            (parts, fleet.totals(now).map(|(_, age)| age))
        };
        if active.settings.tenants.iter().any(|t| t.quota_rps > 0.0) {
            let uses = &mut *self.uses.borrow_mut();
            uses.looked += 1;
            match age {
                Some(age) => uses.limits.note(age),
                None => uses.alone += 1,
            }
        }
        self.driver.handle(Input::Shared(SharedUpdate::TenantShares(parts)));
    }

    /// An operator's word for the whole fleet, which holds at this node already.
    ///
    /// # Errors
    /// It does not fit a datagram.
    pub fn say(&self, about: &str, out: bool, for_s: u32) -> Result<(), String> {
        if about.len() > MAX_NAME_BYTES {
            return Err(format!("a name for the fleet has at most {MAX_NAME_BYTES} bytes"));
        }
        self.act(Event::OperatorOrder { subject: about, cordoned: out, for_s });
        Ok(())
    }

    /// Whether an operator's word for the whole fleet has a backend out.
    pub fn is_out(&self, uid: &str) -> bool {
        self.fleet.borrow().shared().operator_order(uid).is_some_and(|order| order.value.cordoned)
    }

    /// This node ends, and no other process of it goes on.
    pub fn leave(&self) {
        self.act(Event::Leave);
    }

    /// Members that are there, this one included.
    pub fn alive(&self) -> usize {
        let [alive, suspected, ..] = self.fleet.borrow().members().counts();
        alive + suspected
    }

    /// Figures for operators.
    pub fn json(&self) -> Value {
        let fleet = self.fleet.borrow();
        let (members, counts, uses) = (fleet.members(), fleet.counts(), self.uses.borrow());
        let [alive, suspected, gone, left] = members.counts();
        let named = |wanted: Status| -> Vec<NodeId> {
            let all = 0..u16::try_from(members.count()).unwrap_or(u16::MAX);
            all.filter(|n| members.state(*n).is_some_and(|l| l.status == wanted)).take(32).collect()
        };
        let total = fleet.totals(self.now()).map(|(t, age)| json!({"counted": t.counted, "age_ms": age}));
        let [findings, places, words] = fleet.shared().counts();
        json!({
            "members": {"alive": alive, "suspected": suspected, "gone": gone, "left": left,
                        "who_suspected": named(Status::Suspect), "who_gone": named(Status::Dead)},
            "own": members.local_id(), "reports_to": fleet.parent(), "lateness": members.lateness(),
            "total": total, "held": {"verdicts": findings, "places": places, "words": words},
            "ages_ms": {"limits": uses.limits.json(), "verdicts": uses.verdicts.json(),
                        "affinity": uses.affinity.json()},
            "limits_alone": {"of": uses.looked, "times": uses.alone},
            "datagrams": {"sent": counts.sent, "received": counts.received, "spoilt": counts.rejected.corrupt,
                          "version": counts.rejected.version, "name": counts.rejected.wrong_sender,
                          "replayed": counts.rejected.replayed},
        })
    }
}
