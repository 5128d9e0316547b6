//! What a seed decides of a day: machines, who is met by which trouble, and every client's arrival, ahead of time.

use crate::scenario::{FaultKind, Scenario};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1, Zipf};

/// A server as drawn.
#[derive(Clone, Debug, PartialEq)]
pub struct Machine {
    /// Its name in discovery's list.
    pub name: String,
    /// Number of its zone.
    pub zone: usize,
    /// Speed of a core.
    pub speed: f64,
    /// How late discovery learns of its changes, in milliseconds.
    pub notice_ms: f64,
}

/// One end of a link, or all that a trouble meets.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ends {
    /// Servers, by number.
    pub servers: Vec<usize>,
    /// Nodes, by number.
    pub nodes: Vec<usize>,
    /// Zones whose clients are meant.
    pub clients: Vec<usize>,
    /// Discovery.
    pub discovery: bool,
}

/// A trouble with its members drawn.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedFault {
    /// Its place in the scenario.
    pub number: usize,
    /// When it begins, in milliseconds of the day.
    pub at_ms: f64,
    /// When it ends; none where it has no length.
    pub until_ms: Option<f64>,
    /// What.
    pub kind: FaultKind,
    /// Whom it meets.
    pub on: Ends,
    /// The other end of a link.
    pub to: Ends,
    /// How much of it.
    pub size: f64,
    /// What is said.
    pub say: String,
}

/// A client's first try.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// Its number in the day.
    pub number: u64,
    /// When, in milliseconds of the day.
    pub at_ms: f64,
    /// Class, by number.
    pub class: usize,
    /// Tenant, by number.
    pub tenant: usize,
    /// Zone of its client, by number.
    pub zone: usize,
    /// Its key.
    pub key: u64,
    /// Work at a server that does not know the key, in milliseconds of a core of speed 1.
    pub work_ms: f64,
    /// What the client says of that.
    pub hint_ms: Option<f64>,
    /// It heeds Retry-After.
    pub honours: bool,
    /// It writes slowly.
    pub slow: bool,
    /// It asks for what no server takes.
    pub wrong: bool,
}

/// What passes a link.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Passing {
    /// From the node to the other end.
    pub there: bool,
    /// From the other end to the node.
    pub back: bool,
    /// One way, in milliseconds, beyond what the network takes anyway.
    pub delay_ms: f64,
}

impl Passing {
    /// All of it, at once.
    pub const FREE: Passing = Passing { there: true, back: true, delay_ms: 0.0 };
}

/// What passes between a node and a party, by all faults of links. Where a fault names no other end, all that it
/// does not name is meant.
pub fn passing(faults: &[&PlannedFault], node: usize, party: &dyn Fn(&Ends) -> bool) -> Passing {
    let mut all = Passing::FREE;
    for f in faults {
        let one_way = f.kind == FaultKind::LinkOneWay;
        if !matches!(f.kind, FaultKind::LinkCut | FaultKind::LinkOneWay | FaultKind::LinkDelay) {
            continue;
        }
        let other = f.to == Ends::default();
        let (node_on, party_on) = (f.on.nodes.contains(&node), party(&f.on));
        let node_to = if other { !node_on } else { f.to.nodes.contains(&node) };
        let party_to = if other { !party_on } else { party(&f.to) };
        let (from_node, to_node) = (node_on && party_to, party_on && node_to);
        if f.kind == FaultKind::LinkDelay {
            if from_node || to_node {
                all.delay_ms += f.size.max(0.0);
            }
        } else {
            all.there &= !(from_node || (to_node && !one_way));
            all.back &= !(to_node || (from_node && !one_way));
        }
    }
    all
}

/// A day, drawn.
#[derive(Clone, Debug)]
pub struct Plan {
    /// What it was drawn from.
    pub scenario: Scenario,
    /// By which seed.
    pub seed: u64,
    /// The servers.
    pub machines: Vec<Machine>,
    /// Zone of each node.
    pub node_zones: Vec<usize>,
    /// The troubles, in the order of their beginnings.
    pub faults: Vec<PlannedFault>,
    /// First tries a second, in usual times.
    pub rate: f64,
}

/// Spreads the bits of a number over all of it.
pub fn mix_bits(mut h: u64) -> u64 {
    h = (h ^ (h >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    h = (h ^ (h >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    h ^ (h >> 31)
}

/// Such a number as one from 0 up to 1.
pub fn unit(h: u64) -> f64 {
    (h >> 11) as f64 / (1_u64 << 53) as f64
}

/// A source of draws for one purpose, so that more draws of one thing move no other.
fn rng(seed: u64, purpose: u64) -> ChaCha8Rng {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(purpose);
    rng
}

fn between(rng: &mut ChaCha8Rng, range: [f64; 2]) -> f64 {
    range[0] + (range[1] - range[0]) * rng.random::<f64>()
}

impl Plan {
    /// Draws a day.
    pub fn draw(scenario: &Scenario, seed: u64) -> Plan {
        let f = &scenario.fleet;
        let mut draws = rng(seed, 1);
        let machines: Vec<Machine> = (0..f.servers)
            .map(|n| Machine {
                name: format!("s-{n}"),
                zone: n % f.zones.len(),
                speed: between(&mut draws, f.speed),
                notice_ms: 1000.0 * between(&mut draws, scenario.discovery.notice_s),
            })
            .collect();
        let node_zones = (0..f.nodes).map(|n| n % f.zones.len()).collect();
        let mean_work = mean_work(scenario);
        let capacity: f64 = machines.iter().map(|m| m.speed * f.cores * 1000.0 / mean_work).sum();
        let rate = if scenario.load.rate > 0.0 {
            scenario.load.rate
        } else {
            scenario.load.of_capacity * capacity
        };
        let mut plan =
            Plan { scenario: scenario.clone(), seed, machines, node_zones, faults: Vec::new(), rate };
        let mut draws = rng(seed, 2);
        for (number, t) in scenario.trouble.iter().enumerate() {
            let mut ends = |words: &[toml::Spanned<String>]| {
                let mut ends = Ends::default();
                words.iter().for_each(|w| plan.name(w.get_ref(), t.kind, &mut draws, &mut ends));
                ends
            };
            let (on, to) = (ends(&t.on), ends(&t.to));
            let at_ms = t.at_s * 1000.0;
            let until_ms = (t.for_s > 0.0).then_some(at_ms + t.for_s * 1000.0);
            let (size, say) = (t.size, t.say.clone());
            plan.faults.push(PlannedFault { number, at_ms, until_ms, kind: t.kind, on, to, size, say });
        }
        plan.faults.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
        plan
    }

    /// Adds what a word names: servers or nodes by what the trouble meets, everything of a zone for a link.
    fn name(&self, word: &str, kind: FaultKind, draws: &mut ChaCha8Rng, ends: &mut Ends) {
        let of_nodes = kind.of_nodes();
        let link = matches!(kind, FaultKind::LinkCut | FaultKind::LinkOneWay | FaultKind::LinkDelay);
        let (servers, nodes) = (self.machines.len(), self.node_zones.len());
        let zones = self.scenario.fleet.zones.len();
        match word {
            "all" if of_nodes => ends.nodes.extend(0..nodes),
            "all" if link => {
                ends.servers.extend(0..servers);
                ends.nodes.extend(0..nodes);
                ends.clients.extend(0..zones);
                ends.discovery = true;
            }
            "all" | "servers" => ends.servers.extend(0..servers),
            "nodes" => ends.nodes.extend(0..nodes),
            "clients" => ends.clients.extend(0..zones),
            "discovery" => ends.discovery = true,
            _ => {
                if let Some(zone) = word.strip_prefix("zone:") {
                    let Some(zone) = self.scenario.fleet.zones.iter().position(|z| z == zone) else {
                        return;
                    };
                    if !of_nodes {
                        ends.servers.extend((0..servers).filter(|s| self.machines[*s].zone == zone));
                    }
                    if of_nodes || link {
                        ends.nodes.extend((0..nodes).filter(|n| self.node_zones[*n] == zone));
                    }
                    ends.clients.push(zone);
                } else if let Some(part) = word.strip_prefix("part:").and_then(|p| p.parse::<f64>().ok()) {
                    let all = if of_nodes { nodes } else { servers };
                    let mut order: Vec<usize> = (0..all).collect();
                    order.shuffle(draws);
                    order.truncate(((all as f64 * part).round() as usize).max(1));
                    order.sort_unstable();
                    if of_nodes { &mut ends.nodes } else { &mut ends.servers }.extend(order);
                } else if let Some(n) = word.strip_prefix('s').and_then(|n| n.parse().ok()) {
                    ends.servers.push(n);
                } else if let Some(n) = word.strip_prefix('n').and_then(|n| n.parse().ok()) {
                    ends.nodes.push(n);
                }
            }
        }
    }

    /// The arrivals, one after the other; the same each time.
    pub fn arrivals(&self) -> Arrivals<'_> {
        let s = &self.scenario;
        let keys = Zipf::new(s.load.keys.max(1) as f64, s.load.zipf).ok();
        let zones = (0..s.fleet.zones.len()).map(|z| (1.0 - s.load.zone_skew).powi(z as i32)).collect();
        Arrivals {
            plan: self,
            rng: rng(self.seed, 3),
            keys,
            classes: s.class.iter().map(|c| c.share).collect(),
            tenants: s.tenant.iter().map(|t| t.share).collect(),
            zones,
            at_ms: 0.0,
            number: 0,
        }
    }

    /// How many times as often clients of a zone and tenant come at a moment.
    fn factor(&self, at_ms: f64, zone: usize, tenant: usize) -> f64 {
        let on = |f: &&PlannedFault| at_ms >= f.at_ms && f.until_ms.is_none_or(|u| at_ms < u);
        self.faults.iter().filter(on).fold(1.0, |all, f| match f.kind {
            FaultKind::Burst => all * f.size,
            FaultKind::ZoneBurst if f.on.clients.contains(&zone) => all * f.size,
            FaultKind::TenantFlood if self.scenario.tenant[tenant].name == f.say => all * f.size,
            _ => all,
        })
    }

    fn most(&self) -> f64 {
        let more = |f: &PlannedFault| {
            matches!(f.kind, FaultKind::Burst | FaultKind::ZoneBurst | FaultKind::TenantFlood)
        };
        self.faults.iter().filter(|f| more(f)).map(|f| f.size.max(1.0)).product()
    }

    /// Part of the clients that a trouble of theirs meets.
    fn part(&self, kind: FaultKind, at_ms: f64) -> f64 {
        let on =
            |f: &&PlannedFault| f.kind == kind && at_ms >= f.at_ms && f.until_ms.is_none_or(|u| at_ms < u);
        self.faults.iter().filter(on).map(|f| f.size).fold(0.0, f64::max)
    }

    /// How long the day is, in milliseconds, without what is still open at its end.
    pub fn length_ms(&self) -> f64 {
        self.scenario.seconds * 1000.0
    }
}

/// Mean work of a request, in milliseconds of a core of speed 1, where no server knows its key.
pub fn mean_work(s: &Scenario) -> f64 {
    let shares: f64 = s.class.iter().map(|c| c.share).sum();
    let work: f64 = s.class.iter().map(|c| c.share * (c.work_ms[0] + c.work_ms[1]) / 2.0).sum();
    (s.load.work * work / shares.max(1e-9)).max(1e-6)
}

/// The arrivals of a day.
pub struct Arrivals<'a> {
    plan: &'a Plan,
    rng: ChaCha8Rng,
    keys: Option<Zipf<f64>>,
    classes: Vec<f64>,
    tenants: Vec<f64>,
    zones: Vec<f64>,
    at_ms: f64,
    number: u64,
}

/// Which of the weights a draw between 0 and 1 meets.
fn weighed(weights: &[f64], draw: f64) -> usize {
    let mut left = draw * weights.iter().sum::<f64>();
    for (n, w) in weights.iter().enumerate() {
        left -= w;
        if left < 0.0 {
            return n;
        }
    }
    weights.len().saturating_sub(1)
}

impl Iterator for Arrivals<'_> {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        let s = &self.plan.scenario;
        let most = self.plan.most();
        loop {
            let gap: f64 = Exp1.sample(&mut self.rng);
            self.at_ms += gap * 1000.0 / (self.plan.rate * most).max(1e-9);
            if self.at_ms >= self.plan.length_ms() {
                return None;
            }
            let class = weighed(&self.classes, self.rng.random());
            let tenant = weighed(&self.tenants, self.rng.random());
            let zone = weighed(&self.zones, self.rng.random());
            let key = self.keys.map_or(0, |k| k.sample(&mut self.rng) as u64);
            let work_ms = s.load.work * between(&mut self.rng, s.class[class].work_ms);
            let hinted = self.rng.random::<f64>() < s.load.hints;
            let rough = 0.7 + 0.6 * self.rng.random::<f64>();
            let honours = self.rng.random::<f64>() < s.load.honour;
            let slow = self.rng.random::<f64>() < self.plan.part(FaultKind::SlowClients, self.at_ms);
            let kept = self.rng.random::<f64>() < self.plan.factor(self.at_ms, zone, tenant) / most;
            if !kept {
                continue;
            }
            // No draw where there are none: the days of before stay as they are.
            let wrong = self.plan.part(FaultKind::WrongRequests, self.at_ms);
            let wrong = wrong > 0.0 && self.rng.random::<f64>() < wrong;
            self.number += 1;
            let hint_ms = hinted.then_some(work_ms * rough);
            let at_ms = self.at_ms;
            let number = self.number;
            return Some(Arrival {
                number,
                at_ms,
                class,
                tenant,
                zone,
                key,
                work_ms,
                hint_ms,
                honours,
                slow,
                wrong,
            });
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn scenario(rest: &str) -> Scenario {
        Scenario::parse(&format!("name = \"x\"\nseconds = 20\n{rest}")).unwrap()
    }

    #[test]
    fn the_same_seed_draws_the_same_day_and_another_does_not() {
        let s = scenario("[load]\nrate = 200\nzone_skew = 0.4\n");
        let day = |seed| Plan::draw(&s, seed).arrivals().collect::<Vec<_>>();
        assert_eq!(day(7), day(7));
        assert_ne!(day(7), day(8));
        assert!((3600..4400).contains(&day(7).len()), "{}", day(7).len());
    }

    #[test]
    fn shares_and_bursts_are_as_the_scenario_says() {
        let s = scenario(
            "[load]\nrate = 400\nzone_skew = 0.5\n[[trouble]]\nkind = \"burst\"\nat_s = 10\nfor_s = 5\nsize = 2\n\
             [[trouble]]\nkind = \"tenant-flood\"\nat_s = 0\nfor_s = 5\nsize = 3\nsay = \"b\"\n\
             [[tenant]]\nname = \"a\"\nshare = 0.9\n[[tenant]]\nname = \"b\"\nshare = 0.1\n",
        );
        let all: Vec<Arrival> = Plan::draw(&s, 3).arrivals().collect();
        let count = |f: &dyn Fn(&Arrival) -> bool| all.iter().filter(|a| f(a)).count() as f64;
        let in_burst = count(&|a| (10e3..15e3).contains(&a.at_ms));
        assert!((0.9..1.1).contains(&(in_burst / 4000.0)), "{in_burst}");
        let flood = count(&|a| a.at_ms < 5e3 && a.tenant == 1) / 600.0;
        assert!((0.85..1.15).contains(&flood), "{flood}");
        let first = count(&|a| a.zone == 0) / all.len() as f64;
        assert!((0.5..0.57).contains(&first), "1 of 1 + 1/2 + 1/4 + 1/8: {first}");
        assert!(all.windows(2).all(|w| w[0].at_ms <= w[1].at_ms));
    }

    #[test]
    fn a_trouble_meets_whom_it_names() {
        let s = scenario(
            "[[trouble]]\nkind = \"server-down\"\non = [\"zone:monza-a\", \"s1\"]\n\
             [[trouble]]\nkind = \"node-kill\"\non = [\"part:0.5\"]\n\
             [[trouble]]\nkind = \"link-cut\"\non = [\"zone:monza-b\"]\nto = [\"discovery\"]\n",
        );
        let faults = Plan::draw(&s, 1).faults;
        assert_eq!(faults[0].on.servers, [0, 4, 8, 1]);
        assert_eq!((faults[1].on.nodes.len(), faults[1].on.servers.len()), (2, 0));
        assert_eq!((&faults[2].on.nodes[..], faults[2].to.discovery), (&[1][..], true));
    }
}
