//! The plan of a run, drawn from a scenario and a seed ahead of time: machines, targets of faults, and
//! every client's arrival.

use crate::scenario::{FaultKind, Scenario};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1, Zipf};

/// A server, as drawn.
#[derive(Clone, Debug, PartialEq)]
pub struct Machine {
    /// Its name in discovery's list.
    pub name: String,
    /// Index of its zone.
    pub zone: usize,
    /// Speed of a core; 1 is the reference speed in which work is measured.
    pub speed: f64,
    /// Delay until discovery notices a change of this server, in milliseconds.
    pub notice_ms: f64,
}

/// The parties that a fault affects, or one end of a faulty link.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Parties {
    /// Indices of servers.
    pub servers: Vec<usize>,
    /// Indices of nodes.
    pub nodes: Vec<usize>,
    /// Indices of zones whose clients are affected.
    pub clients: Vec<usize>,
    /// True if discovery is affected.
    pub discovery: bool,
}

/// A fault with its targets drawn.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedFault {
    /// Its index in the scenario.
    pub number: usize,
    /// Start, in milliseconds of the run.
    pub at_ms: f64,
    /// End, in milliseconds of the run; `None` if it has no duration.
    pub until_ms: Option<f64>,
    /// Kind of the fault.
    pub kind: FaultKind,
    /// The parties that it affects.
    pub on: Parties,
    /// The other end of a faulty link.
    pub to: Parties,
    /// Magnitude, in the unit that the kind defines.
    pub size: f64,
    /// Text of an operator's call, an order to a release, or a tenant's name, depending on the kind.
    pub say: String,
}

/// A client's request, at its first try.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Arrival {
    /// Its number within the run.
    pub number: u64,
    /// Arrival time, in milliseconds of the run.
    pub at_ms: f64,
    /// Index of its class.
    pub class: usize,
    /// Index of its tenant.
    pub tenant: usize,
    /// Index of its client's zone.
    pub zone: usize,
    /// Its key.
    pub key: u64,
    /// Work at a server that does not know the key, in milliseconds of a core of speed 1.
    pub work_ms: f64,
    /// The client's estimate of that work, in milliseconds; `None` if it sends no hint.
    pub hint_ms: Option<f64>,
    /// True if the client honours Retry-After.
    pub honours_retry_after: bool,
    /// True if the client sends slowly.
    pub slow: bool,
    /// True if the request is invalid for every server.
    pub invalid: bool,
}

/// What a link lets through.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LinkState {
    /// True if traffic from the node to the other end passes.
    pub outbound: bool,
    /// True if traffic from the other end to the node passes.
    pub inbound: bool,
    /// Additional one-way delay, in milliseconds.
    pub delay_ms: f64,
}

impl LinkState {
    /// Everything passes without additional delay.
    pub const OPEN: LinkState = LinkState { outbound: true, inbound: true, delay_ms: 0.0 };
}

/// Returns the state of the link between a node and a party under all active link faults. Where a fault
/// names no other end, the other end is everything that it does not name.
pub fn link_state(faults: &[&PlannedFault], node: usize, party: &dyn Fn(&Parties) -> bool) -> LinkState {
    let mut all = LinkState::OPEN;
    for f in faults {
        let one_way = f.kind == FaultKind::LinkOneWay;
        if !matches!(f.kind, FaultKind::LinkCut | FaultKind::LinkOneWay | FaultKind::LinkDelay) {
            continue;
        }
        let to_is_rest = f.to == Parties::default();
        let (on_has_node, on_has_party) = (f.on.nodes.contains(&node), party(&f.on));
        let to_has_node = if to_is_rest { !on_has_node } else { f.to.nodes.contains(&node) };
        let to_has_party = if to_is_rest { !on_has_party } else { party(&f.to) };
        let (from_node, to_node) = (on_has_node && to_has_party, on_has_party && to_has_node);
        if f.kind == FaultKind::LinkDelay {
            if from_node || to_node {
                all.delay_ms += f.size.max(0.0);
            }
        } else {
            all.outbound &= !(from_node || (to_node && !one_way));
            all.inbound &= !(to_node || (from_node && !one_way));
        }
    }
    all
}

/// The plan of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The scenario that it was drawn from.
    pub scenario: Scenario,
    /// The seed that it was drawn with.
    pub seed: u64,
    /// The servers.
    pub machines: Vec<Machine>,
    /// Index of each node's zone.
    pub node_zones: Vec<usize>,
    /// The faults, ordered by start.
    pub faults: Vec<PlannedFault>,
    /// First tries per second while no fault changes the load.
    pub rate: f64,
}

/// Mixes the bits of a number (the finalizer of SplitMix64).
pub fn mix_bits(mut h: u64) -> u64 {
    h = (h ^ (h >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    h = (h ^ (h >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    h ^ (h >> 31)
}

/// Maps 64 mixed bits to a number in [0, 1).
pub fn unit_interval(h: u64) -> f64 {
    (h >> 11) as f64 / (1_u64 << 53) as f64
}

/// Returns a random generator for one purpose. Each purpose has a stream of its own, which keeps the draws
/// of one independent of how many another makes.
fn generator(seed: u64, purpose: u64) -> ChaCha8Rng {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(purpose);
    rng
}

fn uniform(rng: &mut ChaCha8Rng, range: [f64; 2]) -> f64 {
    range[0] + (range[1] - range[0]) * rng.random::<f64>()
}

impl Plan {
    /// Draws the plan of a run.
    pub fn draw(scenario: &Scenario, seed: u64) -> Plan {
        let fleet = &scenario.fleet;
        let mut draws = generator(seed, 1);
        let machines: Vec<Machine> = (0..fleet.servers)
            .map(|n| Machine {
                name: format!("s-{n}"),
                zone: n % fleet.zones.len(),
                speed: uniform(&mut draws, fleet.speed),
                notice_ms: 1000.0 * uniform(&mut draws, scenario.discovery.notice_s),
            })
            .collect();
        let node_zones = (0..fleet.nodes).map(|n| n % fleet.zones.len()).collect();
        let mean_work_ms = mean_work_ms(scenario);
        let capacity_per_s: f64 =
            machines.iter().map(|m| m.speed * fleet.cores * 1000.0 / mean_work_ms).sum();
        let rate = if scenario.load.rate > 0.0 {
            scenario.load.rate
        } else {
            scenario.load.of_capacity * capacity_per_s
        };
        let mut plan =
            Plan { scenario: scenario.clone(), seed, machines, node_zones, faults: Vec::new(), rate };
        let mut draws = generator(seed, 2);
        for (number, fault) in scenario.trouble.iter().enumerate() {
            let mut parties = |words: &[toml::Spanned<String>]| {
                let mut parties = Parties::default();
                words
                    .iter()
                    .for_each(|w| plan.add_parties(w.get_ref(), fault.kind, &mut draws, &mut parties));
                parties
            };
            let (on, to) = (parties(&fault.on), parties(&fault.to));
            let at_ms = fault.at_s * 1000.0;
            let until_ms = (fault.for_s > 0.0).then_some(at_ms + fault.for_s * 1000.0);
            let (size, say) = (fault.size, fault.say.clone());
            plan.faults.push(PlannedFault { number, at_ms, until_ms, kind: fault.kind, on, to, size, say });
        }
        plan.faults.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
        plan
    }

    /// Adds the parties that a word of the scenario names: servers or nodes, depending on the kind of the
    /// fault, and for a link fault everything in a zone.
    fn add_parties(&self, word: &str, kind: FaultKind, draws: &mut ChaCha8Rng, parties: &mut Parties) {
        let affects_nodes = kind.affects_nodes();
        let is_link_fault =
            matches!(kind, FaultKind::LinkCut | FaultKind::LinkOneWay | FaultKind::LinkDelay);
        let (servers, nodes) = (self.machines.len(), self.node_zones.len());
        let zones = self.scenario.fleet.zones.len();
        match word {
            "all" if affects_nodes => parties.nodes.extend(0..nodes),
            "all" if is_link_fault => {
                parties.servers.extend(0..servers);
                parties.nodes.extend(0..nodes);
                parties.clients.extend(0..zones);
                parties.discovery = true;
            }
            "all" | "servers" => parties.servers.extend(0..servers),
            "nodes" => parties.nodes.extend(0..nodes),
            "clients" => parties.clients.extend(0..zones),
            "discovery" => parties.discovery = true,
            _ => {
                if let Some(zone) = word.strip_prefix("zone:") {
                    let Some(zone) = self.scenario.fleet.zones.iter().position(|z| z == zone) else {
                        return;
                    };
                    if !affects_nodes {
                        parties.servers.extend((0..servers).filter(|s| self.machines[*s].zone == zone));
                    }
                    if affects_nodes || is_link_fault {
                        parties.nodes.extend((0..nodes).filter(|n| self.node_zones[*n] == zone));
                    }
                    parties.clients.push(zone);
                } else if let Some(part) = word.strip_prefix("part:").and_then(|p| p.parse::<f64>().ok()) {
                    let all = if affects_nodes { nodes } else { servers };
                    let mut order: Vec<usize> = (0..all).collect();
                    order.shuffle(draws);
                    order.truncate(((all as f64 * part).round() as usize).max(1));
                    order.sort_unstable();
                    if affects_nodes { &mut parties.nodes } else { &mut parties.servers }.extend(order);
                } else if let Some(n) = word.strip_prefix('s').and_then(|n| n.parse().ok()) {
                    parties.servers.push(n);
                } else if let Some(n) = word.strip_prefix('n').and_then(|n| n.parse().ok()) {
                    parties.nodes.push(n);
                }
            }
        }
    }

    /// Returns the arrivals in order; every call yields the same sequence.
    pub fn arrivals(&self) -> Arrivals<'_> {
        let scenario = &self.scenario;
        let keys = Zipf::new(scenario.load.keys.max(1) as f64, scenario.load.zipf).ok();
        let zones = (0..scenario.fleet.zones.len())
            .map(|z| (1.0 - scenario.load.zone_skew).powi(z as i32))
            .collect();
        Arrivals {
            plan: self,
            rng: generator(self.seed, 3),
            keys,
            classes: scenario.class.iter().map(|c| c.share).collect(),
            tenants: scenario.tenant.iter().map(|t| t.share).collect(),
            zones,
            at_ms: 0.0,
            number: 0,
        }
    }

    /// Returns the factor on the arrival rate of a zone's and tenant's clients at a given time.
    fn rate_factor(&self, at_ms: f64, zone: usize, tenant: usize) -> f64 {
        let is_active = |f: &&PlannedFault| at_ms >= f.at_ms && f.until_ms.is_none_or(|u| at_ms < u);
        self.faults.iter().filter(is_active).fold(1.0, |all, f| match f.kind {
            FaultKind::Burst => all * f.size,
            FaultKind::ZoneBurst if f.on.clients.contains(&zone) => all * f.size,
            FaultKind::TenantFlood if self.scenario.tenant[tenant].name == f.say => all * f.size,
            _ => all,
        })
    }

    fn max_rate_factor(&self) -> f64 {
        let raises_rate = |f: &PlannedFault| {
            matches!(f.kind, FaultKind::Burst | FaultKind::ZoneBurst | FaultKind::TenantFlood)
        };
        self.faults.iter().filter(|f| raises_rate(f)).map(|f| f.size.max(1.0)).product()
    }

    /// Returns the share of the clients that an active fault of that kind affects.
    fn affected_share(&self, kind: FaultKind, at_ms: f64) -> f64 {
        let is_active =
            |f: &&PlannedFault| f.kind == kind && at_ms >= f.at_ms && f.until_ms.is_none_or(|u| at_ms < u);
        self.faults.iter().filter(is_active).map(|f| f.size).fold(0.0, f64::max)
    }

    /// Returns how long clients arrive, in milliseconds. Requests still open at the end take longer.
    pub fn length_ms(&self) -> f64 {
        self.scenario.seconds * 1000.0
    }
}

/// Returns the mean work of a request whose key no server knows, in milliseconds of a core of speed 1.
pub fn mean_work_ms(s: &Scenario) -> f64 {
    let shares: f64 = s.class.iter().map(|c| c.share).sum();
    let work: f64 = s.class.iter().map(|c| c.share * (c.work_ms[0] + c.work_ms[1]) / 2.0).sum();
    (s.load.work * work / shares.max(1e-9)).max(1e-6)
}

/// Iterator over the arrivals of a run.
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

/// Returns the index that a draw in [0, 1) selects among the weights.
fn weighted_index(weights: &[f64], draw: f64) -> usize {
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
        let scenario = &self.plan.scenario;
        let max_factor = self.plan.max_rate_factor();
        loop {
            let gap: f64 = Exp1.sample(&mut self.rng);
            self.at_ms += gap * 1000.0 / (self.plan.rate * max_factor).max(1e-9);
            if self.at_ms >= self.plan.length_ms() {
                return None;
            }
            let class = weighted_index(&self.classes, self.rng.random());
            let tenant = weighted_index(&self.tenants, self.rng.random());
            let zone = weighted_index(&self.zones, self.rng.random());
            let key = self.keys.map_or(0, |k| k.sample(&mut self.rng) as u64);
            let work_ms = scenario.load.work * uniform(&mut self.rng, scenario.class[class].work_ms);
            let hinted = self.rng.random::<f64>() < scenario.load.hints;
            let hint_factor = 0.7 + 0.6 * self.rng.random::<f64>();
            let honours_retry_after = self.rng.random::<f64>() < scenario.load.honour;
            let slow =
                self.rng.random::<f64>() < self.plan.affected_share(FaultKind::SlowClients, self.at_ms);
            // Arrivals are drawn at the maximum rate and thinned to the current one.
            let accepted =
                self.rng.random::<f64>() < self.plan.rate_factor(self.at_ms, zone, tenant) / max_factor;
            if !accepted {
                continue;
            }
            // Draws no random number if there is no such fault, which keeps the arrivals of scenarios
            // without it unchanged.
            let invalid_share = self.plan.affected_share(FaultKind::WrongRequests, self.at_ms);
            let invalid = invalid_share > 0.0 && self.rng.random::<f64>() < invalid_share;
            self.number += 1;
            let hint_ms = hinted.then_some(work_ms * hint_factor);
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
                honours_retry_after,
                slow,
                invalid,
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
    fn a_seed_determines_the_arrivals() {
        let s = scenario("[load]\nrate = 200\nzone_skew = 0.4\n");
        let arrivals = |seed| Plan::draw(&s, seed).arrivals().collect::<Vec<_>>();
        assert_eq!(arrivals(7), arrivals(7));
        assert_ne!(arrivals(7), arrivals(8));
        assert!((3600..4400).contains(&arrivals(7).len()), "{}", arrivals(7).len());
    }

    #[test]
    fn arrivals_follow_the_shares_and_bursts_of_the_scenario() {
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
    fn a_fault_affects_the_parties_that_it_names() {
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
