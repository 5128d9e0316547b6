//! Many nodes' shared state over a network that loses, delays, doubles and cuts, in virtual time: who is in the
//! fleet, how old what they share is, and what it costs.

use daleturn::control::gossip::{Action, Event, Gossip, MaxAges, PERIOD_MS};
use daleturn::control::membership::{Ms, NodeId, Status};
use proptest::prelude::*;
use std::collections::{BinaryHeap, HashMap, HashSet};

const TICK_MS: Ms = 20;
const BOUNDS: MaxAges = MaxAges { limits_ms: 7500, verdicts_ms: 3000, affinity_ms: 5000 };

#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Due(std::cmp::Reverse<(Ms, u64)>, usize, Option<(NodeId, Vec<u8>)>);

/// What the network does to a datagram.
#[derive(Clone, Copy)]
struct Net {
    loss: f64,
    delay: (Ms, Ms),
    double: f64,
}

const CALM: Net = Net { loss: 0.0, delay: (2, 37), double: 0.0 };

struct World {
    now: Ms,
    net: Net,
    nodes: Vec<Option<Gossip>>,
    incarnations: Vec<u32>,
    /// Nodes on different sides hear nothing of each other.
    side: Vec<u8>,
    queue: BinaryHeap<Due>,
    order: u64,
    rng: fastrand::Rng,
    sent: u64,
    received: u64,
    /// What each node was told of servers: when, which, by whom, bad.
    verdicts: Vec<HashMap<(u32, NodeId, bool), Ms>>,
    words: Vec<HashMap<String, bool>>,
    /// What node 6 said to node 1.
    overheard: Vec<Vec<u8>>,
}

impl World {
    fn new(count: usize, seed: u64, net: Net) -> World {
        let mut world = World {
            now: 0,
            net,
            nodes: Vec::new(),
            incarnations: vec![1; count],
            side: vec![0; count],
            queue: BinaryHeap::new(),
            order: 0,
            rng: fastrand::Rng::with_seed(seed),
            sent: 0,
            received: 0,
            verdicts: vec![HashMap::new(); count],
            words: vec![HashMap::new(); count],
            overheard: Vec::new(),
        };
        for n in 0..count {
            world.nodes.push(None);
            world.start(n);
            let at = world.rng.u64(..TICK_MS);
            world.push(at, n, None);
        }
        world
    }

    fn start(&mut self, n: usize) {
        let (own, count) = (n as NodeId, self.nodes.len().max(self.incarnations.len()) as u16);
        let seed = self.rng.u64(..);
        let fleet = Gossip::new(self.now, own, count, self.incarnations[n], BOUNDS, seed);
        self.incarnations[n] += 1;
        self.nodes[n] = Some(fleet);
    }

    fn push(&mut self, at: Ms, n: usize, what: Option<(NodeId, Vec<u8>)>) {
        self.order += 1;
        self.queue.push(Due(std::cmp::Reverse((at, self.order)), n, what));
    }

    fn act(&mut self, n: usize, event: Event) {
        let mut out = Vec::new();
        let Some(fleet) = &mut self.nodes[n] else { return };
        fleet.handle(self.now, event, &mut out);
        for action in out {
            match action {
                Action::Send(to, bytes) => {
                    self.sent += 1;
                    let to = usize::from(to);
                    if (n, to) == (6, 1) && self.overheard.len() < 1000 {
                        self.overheard.push(bytes.clone());
                    }
                    if self.side[n] != self.side[to] || self.rng.f64() < self.net.loss {
                        continue;
                    }
                    for _ in 0..if self.rng.f64() < self.net.double { 2 } else { 1 } {
                        let at = self.now + self.rng.u64(self.net.delay.0..=self.net.delay.1);
                        self.push(at, to, Some((n as NodeId, bytes.clone())));
                    }
                }
                Action::Verdict { server, node, failing, .. } => {
                    self.verdicts[n].entry((server, node, failing)).or_insert(self.now);
                }
                Action::OperatorOrder { subject, cordoned, .. } => {
                    self.words[n].insert(subject, cordoned);
                }
                Action::KeyLocation { .. } => {}
            }
        }
    }

    fn run(&mut self, for_ms: Ms, mut each: impl FnMut(&mut World, usize)) {
        let end = self.now + for_ms;
        while let Some(Due(std::cmp::Reverse((at, _)), ..)) = self.queue.peek()
            && *at < end
        {
            let Some(Due(std::cmp::Reverse((at, _)), n, what)) = self.queue.pop() else { return };
            self.now = at;
            match what {
                Some((from, bytes)) => {
                    if self.nodes[n].is_some() {
                        self.received += 1;
                    }
                    self.act(n, Event::Datagram(from, &bytes));
                }
                None => {
                    self.act(n, Event::Tick);
                    each(self, n);
                    self.push(at + TICK_MS, n, None);
                }
            }
        }
        self.now = end;
    }

    fn quiet(&mut self, for_ms: Ms) {
        self.run(for_ms, |_, _| {});
    }

    fn status(&self, of: usize, at: usize) -> Status {
        self.nodes[at].as_ref().unwrap().members().state(of as NodeId).unwrap().status
    }

    fn agree(&self) -> bool {
        let classes = |f: &Gossip| f.members().presence_codes(0, f.members().count());
        let mut all = self.nodes.iter().flatten().map(classes);
        let first = all.next();
        all.all(|c| Some(&c) == first.as_ref())
    }

    /// What each node knows of who is there is true.
    fn true_to_life(&self) -> bool {
        let there = |n: usize| self.nodes[n].is_some();
        (0..self.nodes.len())
            .filter(|at| there(*at))
            .all(|at| (0..self.nodes.len()).all(|of| self.status(of, at).is_present() == there(of)))
    }
}

/// p50, p99 and the greatest.
fn spread(mut all: Vec<Ms>) -> (Ms, Ms, Ms) {
    all.sort_unstable();
    let at = |q: f64| all[((all.len() - 1) as f64 * q) as usize];
    (at(0.5), at(0.99), at(1.0))
}

/// Ages of what twelve nodes tell, each of a tenant of its own, at all others: the value tells when it was made.
fn limit_ages(world: &mut World, for_ms: Ms) -> Vec<Ms> {
    let count = world.nodes.len();
    let authors: Vec<usize> = (0..12).map(|k| k * count / 12 + (k * 7) % (count / 12).max(1)).collect();
    let mut ages = Vec::new();
    world.run(for_ms, |w, n| {
        if let Some(k) = authors.iter().position(|a| *a == n) {
            w.act(n, Event::TenantRates(&[(k as u32, (w.now as f32) / 1000.0)]));
        }
        if w.now < 8000 || !(w.now / TICK_MS + n as u64).is_multiple_of(7) {
            return;
        }
        let Some(fleet) = &w.nodes[n] else { return };
        for (k, author) in authors.iter().enumerate() {
            if *author != n && w.nodes[*author].is_some() {
                let known = fleet.totals(w.now).and_then(|(t, _)| t.rate(k as u32));
                let age = known.map_or(99_999, |v| w.now.saturating_sub((v * 1000.0).round() as Ms));
                ages.push(age);
            }
        }
    });
    ages
}

/// Delays of verdicts, given now and then by chance nodes, until each other node has them.
fn verdict_ages(world: &mut World, verdicts: u32, every_ms: Ms) -> Vec<Ms> {
    let mut made = Vec::new();
    for server in 0..verdicts {
        let who = world.rng.usize(..world.nodes.len());
        made.push((server + 1000, who, world.now));
        world.act(who, Event::Verdict { server: server + 1000, start: 1, failing: true });
        world.quiet(every_ms);
    }
    world.quiet(6000);
    let mut ages = Vec::new();
    for (server, who, at) in made {
        for n in (0..world.nodes.len()).filter(|n| *n != who) {
            let heard = world.verdicts[n].get(&(server, who as NodeId, true));
            ages.push(heard.map_or(99_999, |heard| heard - at));
        }
    }
    ages
}

#[test]
fn at_300_nodes_what_is_shared_is_as_young_and_as_cheap_as_stated() {
    for (loss, limits, verdicts) in [(0.05, 2000, 1000), (0.3, 4000, 2000)] {
        let mut world = World::new(300, 11, Net { loss, ..CALM });
        let ages = spread(limit_ages(&mut world, 30_000));
        let (sent, received) = (world.sent, world.received);
        let a_second = |n: u64| n as f64 / 30.0 / 300.0;
        println!(
            "loss {loss}: limits {ages:?}, sent {:.2}, received {:.2}",
            a_second(sent),
            a_second(received)
        );
        let heard = spread(verdict_ages(&mut world, 10, 3000));
        let more = (world.sent - sent) as f64 / 36.0 / 300.0;
        println!("loss {loss}: verdicts {heard:?}, sent {more:.2} with one every 3 s");
        assert!(world.true_to_life(), "nobody was taken for gone");
        assert!(ages.1 <= limits, "{ages:?}");
        assert!(heard.1 <= verdicts, "{heard:?}");
        if loss < 0.1 {
            assert!(a_second(sent) <= 2.0 && a_second(received) <= 2.0);
        }
    }
}

#[test]
fn after_a_cut_heals_all_agree_within_three_seconds() {
    for (count, seed) in [(300, 1), (300, 2), (12, 3), (12, 4), (4, 5), (4, 6)] {
        let mut world = World::new(count, seed, Net { loss: 0.01, ..CALM });
        world.quiet(6000);
        assert!(world.true_to_life());
        (0..count).for_each(|n| world.side[n] = u8::from(n % 4 >= 2));
        let cut = world.now;
        while !(0..count).all(|at| {
            (0..count).all(|of| world.status(of, at).is_present() == (world.side[of] == world.side[at]))
        }) {
            world.quiet(100);
            assert!(world.now < cut + 15_000, "{count}: the other side is still taken to be there");
        }
        let found = world.now - cut;
        world.quiet(20_000);
        world.side.fill(0);
        let healed = world.now;
        while !(world.agree() && world.true_to_life()) {
            world.quiet(50);
            assert!(world.now < healed + 10_000, "{count} {seed}: not healed");
        }
        println!("{count} nodes: found after {found} ms, healed after {} ms", world.now - healed);
        assert!(world.now - healed <= 3000, "{count} {seed}: {} ms", world.now - healed);
    }
}

#[test]
fn the_dead_are_found_and_who_returns_is_back() {
    let mut world = World::new(100, 5, Net { loss: 0.05, ..CALM });
    world.quiet(5000);
    // The root, a hub, and leaves.
    for n in [0, 3, 50, 51, 99] {
        world.nodes[n] = None;
    }
    let died = world.now;
    while !world.true_to_life() {
        world.quiet(100);
        assert!(world.now < died + 12_000, "not found");
    }
    println!("found after {} ms", world.now - died);
    world.incarnations[3] = 1;
    for n in [0, 3, 50] {
        world.start(n);
    }
    let back = world.now;
    while !world.true_to_life() {
        world.quiet(100);
        assert!(world.now < back + 5000, "not back");
    }
    println!("back after {} ms", world.now - back);
    // One that says that it ends is not waited for.
    world.act(50, Event::Leave);
    world.quiet(400);
    world.nodes[50] = None;
    world.quiet(500);
    assert!((1..99).filter(|n| world.nodes[*n].is_some()).all(|at| world.status(50, at) == Status::Left));
}

/// What one tenant is granted by all, of what it asks, in requests a second.
fn granted(world: &World, asked: &[f64], quota: f64) -> f64 {
    let share = |n: usize| {
        let fleet = world.nodes[n].as_ref()?;
        fleet.share_within_quota(world.now, 7, quota)
    };
    let alone = quota / asked.len() as f64;
    (0..asked.len()).map(|n| share(n).map_or(asked[n].min(alone), |part| part * asked[n])).sum()
}

#[test]
fn a_tenant_gets_its_share_from_wherever_it_asks_and_little_more_in_a_cut() {
    for flood in [1, 4] {
        let count = 40;
        let mut world = World::new(count, 9, Net { loss: 0.05, ..CALM });
        // From the nodes of one zone, or of all: three times its share.
        let asked: Vec<f64> =
            (0..count).map(|n| if n % 4 < flood { 300.0 / (10 * flood) as f64 } else { 0.5 }).collect();
        let quota = 100.0;
        let tell = |w: &mut World, n: usize| {
            let rate = asked[n] as f32;
            w.act(n, Event::TenantRates(&[(7, rate)]));
        };
        world.run(5000, tell);
        for _ in 0..40 {
            world.run(500, tell);
            let got = granted(&world, &asked, quota);
            assert!((90.0..=110.0).contains(&got), "flood from {flood} zones: {got}");
        }
        // Two zones on each side of a cut.
        (0..count).for_each(|n| world.side[n] = u8::from(n % 4 >= 2));
        for _ in 0..40 {
            world.run(500, tell);
            let got = granted(&world, &asked, quota);
            assert!(got <= quota * 1.1 + quota / 2.0, "in a cut, flood from {flood} zones: {got}");
        }
        world.side.fill(0);
        world.run(5000, tell);
        let got = granted(&world, &asked, quota);
        assert!((90.0..=110.0).contains(&got), "healed, flood from {flood} zones: {got}");
    }
}

#[test]
fn words_reach_all_also_who_was_away() {
    let mut world = World::new(30, 4, Net { loss: 0.1, ..CALM });
    world.quiet(4000);
    world.nodes[20] = None;
    world.act(7, Event::OperatorOrder { subject: "s-1", cordoned: true, for_s: 0 });
    world.quiet(3000);
    let knows = |w: &World, n: usize| w.words[n].get("s-1").copied();
    assert!((0..30).filter(|n| *n != 7 && *n != 20).all(|n| knows(&world, n) == Some(true)));
    world.start(20);
    world.quiet(6000);
    assert_eq!(knows(&world, 20), Some(true), "by comparison");
    world.act(20, Event::OperatorOrder { subject: "s-1", cordoned: false, for_s: 0 });
    world.quiet(3000);
    assert!((0..30).filter(|n| *n != 20).all(|n| knows(&world, n) == Some(false)));
}

#[test]
fn liars_strangers_and_noise_change_nothing_that_matters() {
    let mut world = World::new(20, 8, Net { loss: 0.02, double: 0.3, ..CALM });
    world.quiet(5000);
    let mut replayed = 0;
    for round in 0..200_u32 {
        // One that starts again each second with the same numbers, under its own name.
        if round % 10 == 0 {
            world.incarnations[13] = 1;
            world.start(13);
        }
        // Noise, and what was said long ago, in the name of others.
        let noise: Vec<u8> = (0..world.rng.usize(..256)).map(|_| world.rng.u8(..)).collect();
        world.act(4, Event::Datagram(9, &noise));
        // Node 6 reports to node 1: what it said before is said again, in its name and in another's.
        if let Some(bytes) = world.overheard.get(world.rng.usize(..world.overheard.len().max(1))).cloned() {
            replayed += 1;
            world.act(1, Event::Datagram(6, &bytes));
            world.act(1, Event::Datagram(11, &bytes));
        }
        world.quiet(100);
    }
    world.quiet(12_000);
    assert!(world.true_to_life(), "all are there, and known to be");
    let counts = world.nodes[4].as_ref().unwrap().counts();
    assert!(counts.rejected.corrupt >= 190, "{counts:?}");
    let counts = world.nodes[1].as_ref().unwrap().counts();
    assert!(replayed > 100, "{replayed}");
    assert!(counts.rejected.wrong_sender >= replayed && counts.rejected.replayed >= replayed, "{counts:?}");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]
    /// Whatever was lost, late, doubled, cut, crashed and started again: a while after the last of it, all know
    /// who is there and what was said.
    #[test]
    fn all_agree_a_while_after_the_last_fault(
        seed in any::<u64>(),
        count in 2_usize..14,
        loss in 0.0..0.4_f64,
        double in 0.0..0.3_f64,
        faults in prop::collection::vec((0_usize..14, 0_u8..4, 100_u64..4000), 1..8),
    ) {
        let mut world = World::new(count, seed, Net { loss, double, delay: (1, 60) });
        world.quiet(2000);
        for (n, kind, ms) in faults {
            let n = n % count;
            match kind {
                0 => world.nodes[n] = None,
                1 => world.start(n),
                2 => world.side[n] ^= 1,
                _ => world.act(n, Event::OperatorOrder { subject: "s-9", cordoned: ms % 2 == 0, for_s: 0 }),
            }
            world.quiet(ms);
        }
        world.side.fill(0);
        world.net = Net { loss: 0.02, double: 0.02, delay: (1, 40) };
        for n in 0..count {
            if world.nodes[n].is_none() && n % 2 == 0 {
                world.start(n);
            }
        }
        let end = world.now;
        while !(world.true_to_life() && world.agree()) && world.now < end + 30_000 {
            world.quiet(200);
        }
        prop_assert!(world.true_to_life() && world.agree(), "{} ms on", world.now - end);
        world.quiet(3 * PERIOD_MS);
        let digests: HashSet<u32> = world.nodes.iter().flatten().map(|f| f.shared().digest()).collect();
        prop_assert_eq!(digests.len(), 1);
    }
}
