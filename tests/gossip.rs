//! Gossip between many nodes in virtual time, over a network that loses, delays, duplicates and partitions:
//! the view of the membership, the age of shared state, and its cost in datagrams.

use daleturn::control::gossip::{Action, Event, Gossip, MaxAges, PERIOD_MS};
use daleturn::control::membership::{Ms, NodeId, Status};
use proptest::prelude::*;
use std::collections::{BinaryHeap, HashMap, HashSet};

const TICK_MS: Ms = 20;
const MAX_AGES: MaxAges = MaxAges { limits_ms: 7500, verdicts_ms: 3000, affinity_ms: 5000 };

/// An event of the simulation: its time and sequence number, the node, and the datagram that arrives there; a
/// tick of the node if there is no datagram.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Due(std::cmp::Reverse<(Ms, u64)>, usize, Option<(NodeId, Vec<u8>)>);

/// Conditions of the network.
#[derive(Clone, Copy)]
struct Network {
    loss: f64,
    delay: (Ms, Ms),
    duplication: f64,
}

const CALM: Network = Network { loss: 0.0, delay: (2, 37), duplication: 0.0 };

struct World {
    now: Ms,
    network: Network,
    nodes: Vec<Option<Gossip>>,
    incarnations: Vec<u32>,
    /// Nodes on different sides do not reach each other.
    side: Vec<u8>,
    queue: BinaryHeap<Due>,
    /// Sequence number of the last event; orders events of the same time.
    order: u64,
    rng: fastrand::Rng,
    sent: u64,
    received: u64,
    /// Time at which each node heard a verdict, by server, author and whether the server fails.
    verdicts: Vec<HashMap<(u32, NodeId, bool), Ms>>,
    orders: Vec<HashMap<String, bool>>,
    /// Datagrams from node 6 to node 1.
    recorded: Vec<Vec<u8>>,
}

impl World {
    fn new(count: usize, seed: u64, network: Network) -> World {
        let mut world = World {
            now: 0,
            network,
            nodes: Vec::new(),
            incarnations: vec![1; count],
            side: vec![0; count],
            queue: BinaryHeap::new(),
            order: 0,
            rng: fastrand::Rng::with_seed(seed),
            sent: 0,
            received: 0,
            verdicts: vec![HashMap::new(); count],
            orders: vec![HashMap::new(); count],
            recorded: Vec::new(),
        };
        for n in 0..count {
            world.nodes.push(None);
            world.start_node(n);
            let at = world.rng.u64(..TICK_MS);
            world.push(at, n, None);
        }
        world
    }

    fn start_node(&mut self, n: usize) {
        let (own, count) = (n as NodeId, self.nodes.len().max(self.incarnations.len()) as u16);
        let seed = self.rng.u64(..);
        let gossip = Gossip::new(self.now, own, count, self.incarnations[n], MAX_AGES, seed);
        self.incarnations[n] += 1;
        self.nodes[n] = Some(gossip);
    }

    fn push(&mut self, at: Ms, n: usize, datagram: Option<(NodeId, Vec<u8>)>) {
        self.order += 1;
        self.queue.push(Due(std::cmp::Reverse((at, self.order)), n, datagram));
    }

    fn handle_event(&mut self, n: usize, event: Event) {
        let mut out = Vec::new();
        let Some(gossip) = &mut self.nodes[n] else { return };
        gossip.handle(self.now, event, &mut out);
        for action in out {
            match action {
                Action::Send(to, bytes) => {
                    self.sent += 1;
                    let to = usize::from(to);
                    if (n, to) == (6, 1) && self.recorded.len() < 1000 {
                        self.recorded.push(bytes.clone());
                    }
                    if self.side[n] != self.side[to] || self.rng.f64() < self.network.loss {
                        continue;
                    }
                    for _ in 0..if self.rng.f64() < self.network.duplication { 2 } else { 1 } {
                        let at = self.now + self.rng.u64(self.network.delay.0..=self.network.delay.1);
                        self.push(at, to, Some((n as NodeId, bytes.clone())));
                    }
                }
                Action::Verdict { server, node, failing, .. } => {
                    self.verdicts[n].entry((server, node, failing)).or_insert(self.now);
                }
                Action::OperatorOrder { subject, order, .. } => {
                    self.orders[n].insert(subject, order.cordoned);
                }
                Action::KeyLocation { .. } => {}
            }
        }
    }

    fn run_with(&mut self, for_ms: Ms, mut each: impl FnMut(&mut World, usize)) {
        let end = self.now + for_ms;
        while let Some(Due(std::cmp::Reverse((at, _)), ..)) = self.queue.peek()
            && *at < end
        {
            let Some(Due(std::cmp::Reverse((at, _)), n, datagram)) = self.queue.pop() else { return };
            self.now = at;
            match datagram {
                Some((from, bytes)) => {
                    if self.nodes[n].is_some() {
                        self.received += 1;
                    }
                    self.handle_event(n, Event::Datagram(from, &bytes));
                }
                None => {
                    self.handle_event(n, Event::Tick);
                    each(self, n);
                    self.push(at + TICK_MS, n, None);
                }
            }
        }
        self.now = end;
    }

    fn run_for(&mut self, for_ms: Ms) {
        self.run_with(for_ms, |_, _| {});
    }

    fn status(&self, of: usize, at: usize) -> Status {
        self.nodes[at].as_ref().unwrap().members().state(of as NodeId).unwrap().status
    }

    fn views_agree(&self) -> bool {
        let presence_codes = |f: &Gossip| f.members().presence_codes(0, f.members().count());
        let mut all = self.nodes.iter().flatten().map(presence_codes);
        let first = all.next();
        all.all(|c| Some(&c) == first.as_ref())
    }

    /// True if every node's view of which nodes are present is correct.
    fn views_are_correct(&self) -> bool {
        let is_up = |n: usize| self.nodes[n].is_some();
        (0..self.nodes.len())
            .filter(|at| is_up(*at))
            .all(|at| (0..self.nodes.len()).all(|of| self.status(of, at).is_present() == is_up(of)))
    }
}

/// Returns the median, the 99th percentile and the maximum.
fn percentiles(mut all: Vec<Ms>) -> (Ms, Ms, Ms) {
    all.sort_unstable();
    let at = |q: f64| all[((all.len() - 1) as f64 * q) as usize];
    (at(0.5), at(0.99), at(1.0))
}

/// Measures the ages of tenant rates, reported by twelve nodes for one tenant each, at all other nodes. The
/// reported rate is the current time in seconds, so its age can be told wherever it arrives.
fn rate_ages(world: &mut World, for_ms: Ms) -> Vec<Ms> {
    let count = world.nodes.len();
    let authors: Vec<usize> = (0..12).map(|k| k * count / 12 + (k * 7) % (count / 12).max(1)).collect();
    let mut ages = Vec::new();
    world.run_with(for_ms, |w, n| {
        if let Some(k) = authors.iter().position(|a| *a == n) {
            w.handle_event(n, Event::TenantRates(&[(k as u32, (w.now as f32) / 1000.0)]));
        }
        if w.now < 8000 || !(w.now / TICK_MS + n as u64).is_multiple_of(7) {
            return;
        }
        let Some(gossip) = &w.nodes[n] else { return };
        for (k, author) in authors.iter().enumerate() {
            if *author != n && w.nodes[*author].is_some() {
                let known = gossip.totals(w.now).and_then(|(t, _)| t.rate(k as u32));
                let age = known.map_or(99_999, |v| w.now.saturating_sub((v * 1000.0).round() as Ms));
                ages.push(age);
            }
        }
    });
    ages
}

/// Measures how long verdicts of randomly chosen nodes take to reach every other node.
fn verdict_ages(world: &mut World, verdicts: u32, interval_ms: Ms) -> Vec<Ms> {
    let mut created = Vec::new();
    for server in 0..verdicts {
        let who = world.rng.usize(..world.nodes.len());
        created.push((server + 1000, who, world.now));
        world.handle_event(who, Event::Verdict { server: server + 1000, start: 1, failing: true });
        world.run_for(interval_ms);
    }
    world.run_for(6000);
    let mut ages = Vec::new();
    for (server, who, at) in created {
        for n in (0..world.nodes.len()).filter(|n| *n != who) {
            let heard = world.verdicts[n].get(&(server, who as NodeId, true));
            ages.push(heard.map_or(99_999, |heard| heard - at));
        }
    }
    ages
}

#[test]
fn at_300_nodes_shared_state_meets_its_bounds_on_age_and_cost() {
    for (loss, limits, verdicts) in [(0.05, 2000, 1000), (0.3, 4000, 2000)] {
        let mut world = World::new(300, 11, Network { loss, ..CALM });
        let ages = percentiles(rate_ages(&mut world, 30_000));
        let (sent, received) = (world.sent, world.received);
        let a_second = |n: u64| n as f64 / 30.0 / 300.0;
        println!(
            "loss {loss}: limits {ages:?}, sent {:.2}, received {:.2}",
            a_second(sent),
            a_second(received)
        );
        let heard = percentiles(verdict_ages(&mut world, 10, 3000));
        let more = (world.sent - sent) as f64 / 36.0 / 300.0;
        println!("loss {loss}: verdicts {heard:?}, sent {more:.2} with one every 3 s");
        assert!(world.views_are_correct(), "no node was taken for dead");
        assert!(ages.1 <= limits, "{ages:?}");
        assert!(heard.1 <= verdicts, "{heard:?}");
        if loss < 0.1 {
            assert!(a_second(sent) <= 2.0 && a_second(received) <= 2.0);
        }
    }
}

#[test]
fn all_views_agree_within_three_seconds_of_a_healed_partition() {
    for (count, seed) in [(300, 1), (300, 2), (12, 3), (12, 4), (4, 5), (4, 6)] {
        let mut world = World::new(count, seed, Network { loss: 0.01, ..CALM });
        world.run_for(6000);
        assert!(world.views_are_correct());
        (0..count).for_each(|n| world.side[n] = u8::from(n % 4 >= 2));
        let cut = world.now;
        while !(0..count).all(|at| {
            (0..count).all(|of| world.status(of, at).is_present() == (world.side[of] == world.side[at]))
        }) {
            world.run_for(100);
            assert!(world.now < cut + 15_000, "{count}: the other side still counts as present");
        }
        let found = world.now - cut;
        world.run_for(20_000);
        world.side.fill(0);
        let healed = world.now;
        while !(world.views_agree() && world.views_are_correct()) {
            world.run_for(50);
            assert!(world.now < healed + 10_000, "{count} {seed}: views do not agree");
        }
        println!("{count} nodes: found after {found} ms, healed after {} ms", world.now - healed);
        assert!(world.now - healed <= 3000, "{count} {seed}: {} ms", world.now - healed);
    }
}

#[test]
fn dead_nodes_are_found_and_restarted_nodes_are_back() {
    let mut world = World::new(100, 5, Network { loss: 0.05, ..CALM });
    world.run_for(5000);
    // The root, an inner node, and leaves.
    for n in [0, 3, 50, 51, 99] {
        world.nodes[n] = None;
    }
    let died = world.now;
    while !world.views_are_correct() {
        world.run_for(100);
        assert!(world.now < died + 12_000, "not found");
    }
    println!("found after {} ms", world.now - died);
    world.incarnations[3] = 1;
    for n in [0, 3, 50] {
        world.start_node(n);
    }
    let back = world.now;
    while !world.views_are_correct() {
        world.run_for(100);
        assert!(world.now < back + 5000, "not back");
    }
    println!("back after {} ms", world.now - back);
    // A node that announces its end counts as left at once.
    world.handle_event(50, Event::Leave);
    world.run_for(400);
    world.nodes[50] = None;
    world.run_for(500);
    assert!((1..99).filter(|n| world.nodes[*n].is_some()).all(|at| world.status(50, at) == Status::Left));
}

/// Returns the rate that all nodes together admit for one tenant, in requests a second.
fn admitted_rps(world: &World, asked: &[f64], quota: f64) -> f64 {
    let share = |n: usize| {
        let gossip = world.nodes[n].as_ref()?;
        gossip.share_within_quota(world.now, 7, quota)
    };
    let alone = quota / asked.len() as f64;
    (0..asked.len()).map(|n| share(n).map_or(asked[n].min(alone), |part| part * asked[n])).sum()
}

#[test]
fn a_tenant_gets_its_quota_wherever_it_sends_and_little_more_in_a_partition() {
    for flood in [1, 4] {
        let count = 40;
        let mut world = World::new(count, 9, Network { loss: 0.05, ..CALM });
        // Three times the quota, from the nodes of one zone or of all.
        let asked: Vec<f64> =
            (0..count).map(|n| if n % 4 < flood { 300.0 / (10 * flood) as f64 } else { 0.5 }).collect();
        let quota = 100.0;
        let report_rates = |w: &mut World, n: usize| {
            let rate = asked[n] as f32;
            w.handle_event(n, Event::TenantRates(&[(7, rate)]));
        };
        world.run_with(5000, report_rates);
        for _ in 0..40 {
            world.run_with(500, report_rates);
            let got = admitted_rps(&world, &asked, quota);
            assert!((90.0..=110.0).contains(&got), "flood from {flood} zones: {got}");
        }
        // Two zones are on each side of the partition.
        (0..count).for_each(|n| world.side[n] = u8::from(n % 4 >= 2));
        for _ in 0..40 {
            world.run_with(500, report_rates);
            let got = admitted_rps(&world, &asked, quota);
            assert!(got <= quota * 1.1 + quota / 2.0, "in a partition, flood from {flood} zones: {got}");
        }
        world.side.fill(0);
        world.run_with(5000, report_rates);
        let got = admitted_rps(&world, &asked, quota);
        assert!((90.0..=110.0).contains(&got), "healed, flood from {flood} zones: {got}");
    }
}

#[test]
fn operator_orders_reach_all_nodes_including_one_that_was_away() {
    let mut world = World::new(30, 4, Network { loss: 0.1, ..CALM });
    world.run_for(4000);
    world.nodes[20] = None;
    world.handle_event(7, Event::OperatorOrder { subject: "s-1", cordoned: true, for_s: 0 });
    world.run_for(3000);
    let knows = |w: &World, n: usize| w.orders[n].get("s-1").copied();
    assert!((0..30).filter(|n| *n != 7 && *n != 20).all(|n| knows(&world, n) == Some(true)));
    world.start_node(20);
    world.run_for(6000);
    assert_eq!(knows(&world, 20), Some(true), "by comparison");
    world.handle_event(20, Event::OperatorOrder { subject: "s-1", cordoned: false, for_s: 0 });
    world.run_for(3000);
    assert!((0..30).filter(|n| *n != 20).all(|n| knows(&world, n) == Some(false)));
}

/// Guards against an order that is numbered below older ones, since its node had not heard of them yet.
#[test]
fn a_later_order_of_a_node_that_has_just_come_back_holds_everywhere() {
    let mut world = World::new(30, 4, CALM);
    world.run_for(4000);
    for cordoned in [true, false, true] {
        world.handle_event(7, Event::OperatorOrder { subject: "s-1", cordoned, for_s: 0 });
        world.run_for(3000);
    }
    world.nodes[20] = None;
    world.run_for(3000);
    world.orders[20].clear();
    world.start_node(20);
    world.handle_event(20, Event::OperatorOrder { subject: "s-1", cordoned: false, for_s: 0 });
    world.run_for(8000);
    for n in (0..30).filter(|n| *n != 20) {
        assert_eq!(world.orders[n].get("s-1"), Some(&false), "node {n}");
    }
    assert_eq!(world.orders[20].get("s-1"), None, "the older order does not come back to its node");
}

#[test]
fn replayed_forged_and_random_datagrams_do_not_change_the_views() {
    let mut world = World::new(20, 8, Network { loss: 0.02, duplication: 0.3, ..CALM });
    world.run_for(5000);
    let mut replayed = 0;
    for round in 0..200_u32 {
        // Node 13 restarts each second with the same incarnation.
        if round % 10 == 0 {
            world.incarnations[13] = 1;
            world.start_node(13);
        }
        // Random bytes under another node's number.
        let noise: Vec<u8> = (0..world.rng.usize(..256)).map(|_| world.rng.u8(..)).collect();
        world.handle_event(4, Event::Datagram(9, &noise));
        // Node 6 reports to node 1: its earlier datagrams are replayed under its own number and under
        // another's.
        if let Some(bytes) = world.recorded.get(world.rng.usize(..world.recorded.len().max(1))).cloned() {
            replayed += 1;
            world.handle_event(1, Event::Datagram(6, &bytes));
            world.handle_event(1, Event::Datagram(11, &bytes));
        }
        world.run_for(100);
    }
    world.run_for(12_000);
    assert!(world.views_are_correct(), "all nodes are present, and known to be");
    let counts = world.nodes[4].as_ref().unwrap().counts();
    assert!(counts.rejected.corrupt >= 190, "{counts:?}");
    let counts = world.nodes[1].as_ref().unwrap().counts();
    assert!(replayed > 100, "{replayed}");
    assert!(counts.rejected.wrong_sender >= replayed && counts.rejected.replayed >= replayed, "{counts:?}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]
    /// After loss, delay, duplication, partitions, crashes and restarts, all nodes agree on the membership
    /// and on the operators' orders.
    #[test]
    fn all_nodes_agree_some_time_after_the_last_fault(
        seed in any::<u64>(),
        count in 2_usize..14,
        loss in 0.0..0.4_f64,
        duplication in 0.0..0.3_f64,
        faults in prop::collection::vec((0_usize..14, 0_u8..4, 100_u64..4000), 1..8),
    ) {
        let mut world = World::new(count, seed, Network { loss, duplication, delay: (1, 60) });
        world.run_for(2000);
        for (n, kind, ms) in faults {
            let n = n % count;
            match kind {
                0 => world.nodes[n] = None,
                1 => world.start_node(n),
                2 => world.side[n] ^= 1,
                _ => world.handle_event(n, Event::OperatorOrder { subject: "s-9", cordoned: ms % 2 == 0, for_s: 0 }),
            }
            world.run_for(ms);
        }
        world.side.fill(0);
        world.network = Network { loss: 0.02, duplication: 0.02, delay: (1, 40) };
        for n in 0..count {
            if world.nodes[n].is_none() && n % 2 == 0 {
                world.start_node(n);
            }
        }
        let end = world.now;
        while !(world.views_are_correct() && world.views_agree()) && world.now < end + 30_000 {
            world.run_for(200);
        }
        prop_assert!(world.views_are_correct() && world.views_agree(), "{} ms on", world.now - end);
        world.run_for(3 * PERIOD_MS);
        let digests: HashSet<u32> = world.nodes.iter().flatten().map(|f| f.shared().digest()).collect();
        prop_assert_eq!(digests.len(), 1);
    }
}
