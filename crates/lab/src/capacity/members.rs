//! Measures what membership and shared state cost a node, by the number of members. It simulates a fleet of
//! `daleturn::control::gossip` state machines in virtual time, over a network with the loss and delay of
//! links between regions.
//!
//! Every node reports requests of twelve tenants, the maximum, which makes the datagrams as long as
//! possible. Bytes are counted in both directions, with 28 header bytes for each datagram. Each sender
//! draws its own random numbers, and simultaneous events are handled in the order of receivers and senders:
//! a run is deterministic, except for processor time and memory, which are those of this machine. Virtual
//! times are limited to 60 s: an event that takes longer gives no point in its series and is counted by
//! `..._not_reached`.

use super::{MeasureError, MeasureOptions, Point, Series};
use daleturn::control::gossip::{Action, Event, Gossip, MaxAges};
use daleturn::control::membership::{Ms, NodeId};
use daleturn::control::shared_state::MAX_TENANTS;
use rustix::time::{ClockId, clock_gettime};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::ops::RangeInclusive;

/// Interval of ticks, the same as in a node.
const TICK_MS: Ms = 20;
const MAX_AGES: MaxAges = MaxAges { limits_ms: 7500, verdicts_ms: 3000, affinity_ms: 5000 };
/// Bytes of the IP and UDP headers of a datagram.
const IP_UDP_HEADER_BYTES: u64 = 28;
/// Share of datagrams that are lost.
const LOSS_SHARE: f64 = 0.05;
/// Shortest and longest delay of a datagram.
const DELAY_RANGE_MS: (Ms, Ms) = (2, 37);
const ZONES: usize = 12;
/// Number of members in a rack.
const RACK_MEMBERS: usize = 40;
/// Longest virtual time to wait for an event.
const MAX_WAIT_MS: Ms = 60_000;
/// Time until a fleet whose members start simultaneously has settled.
const SETTLE_MS: Ms = 6000;
/// Time between two checks whether an event has happened.
const CHECK_INTERVAL_MS: Ms = 100;
/// Time between restarts: 5,800 a day.
const RESTART_EVERY_MS: Ms = 86_400_000 / 5800;
/// Downtime of a process that is restarted.
const RESTART_DOWNTIME_MS: Ms = 3000;
/// Downtime of a machine that is replaced, long enough for the other members to declare it dead.
const REPLACEMENT_DOWNTIME_MS: Ms = 12_000;

/// The arrival of a datagram, or a tick. Events are ordered by time, receiver, sender and datagram number.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct ScheduledEvent {
    at: Ms,
    to: usize,
    /// Sender and number of the datagram; `None` for a tick.
    from: Option<(usize, u64)>,
    bytes: Vec<u8>,
}

/// A member of the simulated fleet and its counters.
struct SimulatedNode {
    /// `None` while the node is down.
    gossip: Option<Box<Gossip>>,
    incarnation: u32,
    /// Network partition of the node; datagrams between different partitions are lost.
    partition: u8,
    rng: fastrand::Rng,
    sent_count: u64,
    datagrams: u64,
    bytes: u64,
    /// Bytes in the current second.
    second_bytes: u64,
    /// Highest number of bytes in any previous second.
    worst_second_bytes: u64,
    processor_ns: u64,
}

/// Returns the processor time of the current thread in nanoseconds.
fn thread_cpu_ns() -> u64 {
    let now = clock_gettime(ClockId::ThreadCPUTime);
    u64::try_from(now.tv_sec).unwrap_or(0) * 1_000_000_000 + u64::try_from(now.tv_nsec).unwrap_or(0)
}

/// Returns the shortest processor time between two successive clock readings, which is subtracted from each
/// measurement.
fn clock_overhead_ns() -> u64 {
    (0..2000).map(|_| thread_cpu_ns()).map(|before| thread_cpu_ns() - before).min().unwrap_or(0)
}

impl SimulatedNode {
    /// Counts a datagram that the node sends or receives.
    fn count(&mut self, bytes: usize) {
        let bytes = bytes as u64 + IP_UDP_HEADER_BYTES;
        self.datagrams += 1;
        self.bytes += bytes;
        self.second_bytes += bytes;
    }
}

/// A fleet and its network in virtual time.
struct Simulation {
    now: Ms,
    /// Number of the second whose bytes `second_bytes` counts.
    current_second: Ms,
    nodes: Vec<SimulatedNode>,
    queue: BinaryHeap<Reverse<ScheduledEvent>>,
    rng: fastrand::Rng,
    /// Cost of reading the clock; `None` while processor time is not measured.
    clock_overhead_ns: Option<u64>,
}

impl Simulation {
    /// Starts `count` nodes and runs them until the fleet has settled.
    fn new(count: usize, seed: u64) -> Simulation {
        let rng = fastrand::Rng::with_seed(seed);
        let queue = BinaryHeap::new();
        let mut simulation = Simulation {
            now: 0,
            current_second: 0,
            nodes: Vec::new(),
            queue,
            rng,
            clock_overhead_ns: None,
        };
        for n in 0..count {
            let rng = fastrand::Rng::with_seed(simulation.rng.u64(..));
            simulation.nodes.push(SimulatedNode {
                gossip: None,
                incarnation: 1,
                partition: 0,
                rng,
                sent_count: 0,
                datagrams: 0,
                bytes: 0,
                second_bytes: 0,
                worst_second_bytes: 0,
                processor_ns: 0,
            });
            let at = simulation.rng.u64(..TICK_MS);
            simulation.queue.push(Reverse(ScheduledEvent { at, to: n, from: None, bytes: Vec::new() }));
        }
        (0..count).for_each(|n| simulation.start(n));
        simulation.run_for(SETTLE_MS);
        simulation
    }

    fn start(&mut self, n: usize) {
        let (now, count, seed) = (self.now, self.nodes.len(), self.rng.u64(..));
        let Some(node) = self.nodes.get_mut(n) else { return };
        let mut gossip = Gossip::new(now, n as NodeId, count as u16, node.incarnation, MAX_AGES, seed);
        let tenant_rates: Vec<(u32, f32)> = (1..=MAX_TENANTS as u32).map(|tenant| (tenant, 10.0)).collect();
        gossip.handle(now, Event::TenantRates(&tenant_rates), &mut Vec::new());
        node.incarnation += 1;
        node.gossip = Some(Box::new(gossip));
    }

    fn kill(&mut self, n: usize) {
        if let Some(node) = self.nodes.get_mut(n) {
            node.gossip = None;
        }
    }

    /// Assigns each node to a network partition. Nodes in different partitions cannot reach each other.
    fn set_partitions(&mut self, partition: impl Fn(usize) -> u8) {
        for (n, node) in self.nodes.iter_mut().enumerate() {
            node.partition = partition(n);
        }
    }

    /// Runs the simulation for a virtual time.
    fn run_for(&mut self, duration_ms: Ms) {
        let end = self.now + duration_ms;
        while self.queue.peek().is_some_and(|Reverse(due)| due.at < end) {
            let Some(Reverse(due)) = self.queue.pop() else { break };
            if due.at / 1000 > self.current_second {
                self.current_second = due.at / 1000;
                for node in &mut self.nodes {
                    node.worst_second_bytes =
                        node.worst_second_bytes.max(std::mem::take(&mut node.second_bytes));
                }
            }
            self.now = due.at;
            self.process(due);
        }
        self.now = end;
    }

    /// Handles one event, and schedules the next tick or the datagrams that the node sends.
    fn process(&mut self, due: ScheduledEvent) {
        let Some(node) = self.nodes.get_mut(due.to) else { return };
        let event = match due.from {
            None => {
                let at = due.at + TICK_MS;
                self.queue.push(Reverse(ScheduledEvent { at, to: due.to, from: None, bytes: Vec::new() }));
                Event::Tick
            }
            Some((from, _)) => Event::Datagram(from as NodeId, &due.bytes),
        };
        if due.from.is_some() && node.gossip.is_some() {
            node.count(due.bytes.len());
        }
        let Some(gossip) = &mut node.gossip else { return };
        let mut actions = Vec::new();
        let before = self.clock_overhead_ns.map(|_| thread_cpu_ns());
        gossip.handle(due.at, event, &mut actions);
        if let (Some(before), Some(clock_overhead)) = (before, self.clock_overhead_ns) {
            node.processor_ns += (thread_cpu_ns() - before).saturating_sub(clock_overhead);
        }
        for action in actions {
            let Action::Send(to, bytes) = action else { continue };
            let to = usize::from(to);
            let receiver_partition = self.nodes.get(to).map(|n| n.partition);
            let Some(node) = self.nodes.get_mut(due.to) else { return };
            node.count(bytes.len());
            node.sent_count += 1;
            let (is_lost, delay) =
                (node.rng.f64() < LOSS_SHARE, node.rng.u64(DELAY_RANGE_MS.0..=DELAY_RANGE_MS.1));
            if receiver_partition == Some(node.partition) && !is_lost {
                let from = Some((due.to, node.sent_count));
                self.queue.push(Reverse(ScheduledEvent { at: due.at + delay, to, from, bytes }));
            }
        }
    }

    fn reset_counters(&mut self) {
        for node in &mut self.nodes {
            (node.datagrams, node.bytes, node.second_bytes, node.worst_second_bytes, node.processor_ns) =
                (0, 0, 0, 0, 0);
        }
    }

    /// True if every running node considers exactly the running nodes of its own partition as present.
    fn membership_is_correct(&self) -> bool {
        let actual: Vec<(bool, u8)> =
            self.nodes.iter().map(|n| (n.gossip.is_some(), n.partition)).collect();
        self.nodes.iter().filter_map(|n| Some((n.gossip.as_ref()?.members(), n.partition))).all(
            |(members, partition)| {
                actual.iter().enumerate().all(|(id, (is_up, other))| {
                    members.is_present(id as NodeId) == (*is_up && *other == partition)
                })
            },
        )
    }

    /// True if the totals of every running node include all nodes.
    fn totals_count_all(&self) -> bool {
        let counted_nodes =
            |gossip: &Gossip| gossip.totals(self.now).map_or(0, |(t, _)| usize::from(t.counted));
        self.nodes
            .iter()
            .filter_map(|n| n.gossip.as_ref())
            .all(|gossip| counted_nodes(gossip) == self.nodes.len())
    }

    /// Runs until [`Simulation::membership_is_correct`] and returns the time until then, as
    /// [`Simulation::run_until`] does.
    fn run_until_membership_correct(&mut self) -> Option<f64> {
        self.run_until(Simulation::membership_is_correct)
    }

    /// Runs until a condition holds. Returns the virtual time until then in milliseconds, or `None` if the
    /// condition does not hold within [`MAX_WAIT_MS`].
    fn run_until(&mut self, condition: impl Fn(&Simulation) -> bool) -> Option<f64> {
        let started = self.now;
        while self.now < started + MAX_WAIT_MS {
            self.run_for(CHECK_INTERVAL_MS);
            if condition(self) {
                return Some((self.now - started) as f64);
            }
        }
        None
    }

    /// Returns the highest number of bytes that any node sent and received in one second.
    fn max_second_bytes(&self) -> f64 {
        self.nodes.iter().map(|n| n.worst_second_bytes.max(n.second_bytes)).max().unwrap_or(0) as f64
    }
}

/// Collects the measured values: unit and points of each series, by role and cost.
#[derive(Default)]
struct SeriesRecorder(BTreeMap<(&'static str, &'static str), (&'static str, Vec<Point>)>);

impl SeriesRecorder {
    /// Adds a value to a series; does nothing if `value` is `None`.
    fn record(
        &mut self,
        role: &'static str,
        cost: &'static str,
        unit: &'static str,
        size: usize,
        value: impl Into<Option<f64>>,
    ) {
        let Some(value) = value.into() else { return };
        let points = &mut self.0.entry((role, cost)).or_insert_with(|| (unit, Vec::new())).1;
        match points.iter_mut().find(|p| p.size == size as f64) {
            Some(point) => point.values.push(value),
            None => points.push(Point { size: size as f64, values: vec![value] }),
        }
    }

    /// Records the time until an event in the series `cost`, and whether the event was missed in
    /// `not_reached`.
    fn record_time(
        &mut self,
        cost: &'static str,
        not_reached: &'static str,
        size: usize,
        value: Option<f64>,
    ) {
        self.record("member", cost, "ms", size, value);
        self.record("member", not_reached, "count", size, if value.is_some() { 0.0 } else { 1.0 });
    }

    fn series(self) -> Vec<Series> {
        let to_series = |((role, cost), (unit, points)): ((&str, &str), (&str, Vec<Point>))| Series {
            role: role.into(),
            cost: cost.into(),
            unit: unit.into(),
            axis: "members".into(),
            points,
        };
        self.0.into_iter().map(to_series).collect()
    }
}

/// Returns the resident memory of this process in bytes.
fn resident_bytes() -> Result<f64, MeasureError> {
    let what = "reading /proc/self/statm";
    let text = std::fs::read_to_string("/proc/self/statm")
        .map_err(|cause| MeasureError::Io { what: what.into(), cause })?;
    let pages = text.split(' ').nth(1).and_then(|n| n.parse::<f64>().ok());
    Ok(pages.ok_or_else(|| MeasureError::Unexpected(format!("{what}: {text}")))?
        * rustix::param::page_size() as f64)
}

/// The experiments at one size.
#[derive(Clone, Copy)]
struct SizePlan {
    size: usize,
    repetitions: usize,
    /// Time for which the undisturbed fleet is measured.
    idle_ms: Ms,
    /// Whether to cut the network into two halves.
    has_cut: bool,
    /// Whether to kill a rack and a zone.
    has_loss: bool,
    /// Whether to restart members.
    has_restarts: bool,
    /// Time for which a region is cut off; 0 skips this experiment.
    away_ms: Ms,
}

fn size_plans(options: &MeasureOptions) -> Vec<SizePlan> {
    let plan = |size, repetitions, idle_ms, has_loss, away_ms| {
        let (has_cut, has_restarts) = (size <= 1500, has_loss && size <= 1500);
        SizePlan { size, repetitions, idle_ms, has_cut, has_loss, has_restarts, away_ms }
    };
    if options.quick {
        let sizes = [(10, 10_000), (30, 10_000), (100, 0), (300, 0)];
        return sizes.map(|(size, downtime_ms)| plan(size, 1, 5000, size < 100, downtime_ms)).to_vec();
    }
    let repetitions = options.repetitions.clamp(1, 3);
    vec![
        plan(10, repetitions, 20_000, true, 3_600_000),
        plan(30, repetitions, 20_000, true, 3_600_000),
        plan(100, repetitions, 20_000, true, 3_600_000),
        plan(300, repetitions, 20_000, true, 3_600_000),
        plan(500, 1, 10_000, true, 60_000),
        plan(700, 1, 10_000, true, 60_000),
        plan(900, 1, 10_000, true, 60_000),
        plan(1500, 1, 5000, true, 0),
        plan(4200, 1, 3000, true, 0),
    ]
}

/// Simulates fleets of increasing size.
///
/// # Errors
///
/// Returns an error if this process cannot read its own memory usage.
pub fn measure(options: &MeasureOptions) -> Result<Vec<Series>, MeasureError> {
    measure_sizes(options, 0..=usize::MAX)
}

/// Simulates only the fleets whose size is in a range. The largest take minutes; separate processes can
/// simulate them in parallel with the others.
///
/// # Errors
///
/// Returns the errors of [`measure`].
pub fn measure_sizes(
    options: &MeasureOptions,
    sizes: RangeInclusive<usize>,
) -> Result<Vec<Series>, MeasureError> {
    let mut recorder = SeriesRecorder::default();
    let (memory_before, clock_overhead) = (resident_bytes()?, clock_overhead_ns());
    for plan in size_plans(options).into_iter().filter(|s| sizes.contains(&s.size)) {
        for repetition in 0..plan.repetitions {
            let seed = options.seed ^ (plan.size as u64) << 20 ^ (repetition as u64) << 8;
            let mut simulation = Simulation::new(plan.size, seed);
            recorder.record(
                "member",
                "memory",
                "bytes",
                plan.size,
                (resident_bytes()? - memory_before).max(0.0) / plan.size as f64,
            );
            measure_idle(&mut simulation, &plan, clock_overhead, &mut recorder);
            measure_deaths(&mut simulation, &plan, &mut recorder);
            drop(simulation);
            if plan.has_cut && !(options.quick && plan.size > 100) {
                measure_cut(&plan, seed, &mut recorder);
            }
            if plan.has_restarts {
                measure_restarts(&plan, seed, &mut recorder);
            }
            if plan.has_loss {
                measure_losses(&plan, seed, &mut recorder);
            }
            if plan.away_ms > 0 {
                measure_region_cut(&plan, seed, &mut recorder);
            }
        }
    }
    Ok(recorder.series())
}

/// Measures datagrams, bytes and processor time of an undisturbed fleet: the mean of all members, and the
/// maximum, which is that of the busiest hub.
fn measure_idle(
    simulation: &mut Simulation,
    plan: &SizePlan,
    clock_overhead: u64,
    recorder: &mut SeriesRecorder,
) {
    simulation.reset_counters();
    simulation.clock_overhead_ns = Some(clock_overhead);
    simulation.run_for(plan.idle_ms);
    simulation.clock_overhead_ns = None;
    let seconds = plan.idle_ms as f64 / 1000.0;
    let mean = |counter: fn(&SimulatedNode) -> u64| {
        simulation.nodes.iter().map(counter).sum::<u64>() as f64 / seconds / plan.size as f64
    };
    let max = |counter: fn(&SimulatedNode) -> u64| {
        simulation.nodes.iter().map(counter).max().unwrap_or(0) as f64 / seconds
    };
    for (cost, unit, counter, scale) in [
        ("datagrams", "count_per_s", (|n| n.datagrams) as fn(&SimulatedNode) -> u64, 1.0),
        ("bytes", "bytes_per_s", |n| n.bytes, 1.0),
        ("processor", "cores", |n| n.processor_ns, 1e-9),
    ] {
        recorder.record("member", cost, unit, plan.size, mean(counter) * scale);
        recorder.record("hub", cost, unit, plan.size, max(counter) * scale);
    }
}

/// Kills the root, a hub and three leaves of the gossip tree simultaneously.
fn measure_deaths(simulation: &mut Simulation, plan: &SizePlan, recorder: &mut SeriesRecorder) {
    let n = plan.size;
    simulation.reset_counters();
    for victim in [0, 2, n / 2, n - 2, n - 1] {
        simulation.kill(victim);
    }
    let converged_ms = simulation.run_until_membership_correct();
    recorder.record_time("dead_found", "dead_found_not_reached", n, converged_ms);
    recorder.record("hub", "dead_worst_second", "bytes", n, simulation.max_second_bytes());
}

/// Cuts the network into two halves, heals it 20 s after all members know of the cut, and measures both.
fn measure_cut(plan: &SizePlan, seed: u64, recorder: &mut SeriesRecorder) {
    let n = plan.size;
    let mut simulation = Simulation::new(n, seed ^ 1);
    simulation.reset_counters();
    simulation.set_partitions(|n| u8::from(n % ZONES >= ZONES / 2));
    let converged_ms = simulation.run_until_membership_correct();
    recorder.record_time("cut_found", "cut_found_not_reached", n, converged_ms);
    recorder.record("hub", "cut_worst_second", "bytes", n, simulation.max_second_bytes());
    simulation.run_for(20_000);
    simulation.reset_counters();
    simulation.set_partitions(|_| 0);
    let converged_ms = simulation.run_until_membership_correct();
    recorder.record_time("cut_healed", "cut_healed_not_reached", n, converged_ms);
    recorder.record("hub", "cut_healed_worst_second", "bytes", n, simulation.max_second_bytes());
}

/// Restarts members at the daily rate for a minute, with alternately short and long downtimes; then
/// restarts a tenth of all members simultaneously.
fn measure_restarts(plan: &SizePlan, seed: u64, recorder: &mut SeriesRecorder) {
    let n = plan.size;
    let mut simulation = Simulation::new(n, seed ^ 2);
    simulation.reset_counters();
    let started = simulation.now;
    for repetition in 0..4 {
        let victim = simulation.rng.usize(..n);
        let downtime_ms = if repetition % 2 == 0 { RESTART_DOWNTIME_MS } else { REPLACEMENT_DOWNTIME_MS };
        simulation.kill(victim);
        simulation.run_for(downtime_ms);
        simulation.start(victim);
        simulation.run_for(RESTART_EVERY_MS - downtime_ms);
    }
    let seconds = (simulation.now - started) as f64 / 1000.0;
    let total_bytes: u64 = simulation.nodes.iter().map(|n| n.bytes).sum();
    recorder.record("member", "restarts_bytes", "bytes_per_s", n, total_bytes as f64 / seconds / n as f64);
    let max_bytes = simulation.nodes.iter().map(|n| n.bytes).max().unwrap_or(0);
    recorder.record("hub", "restarts_bytes", "bytes_per_s", n, max_bytes as f64 / seconds);
    simulation.run_until_membership_correct();
    simulation.reset_counters();
    let every_tenth: Vec<usize> = (0..n).filter(|id| id % 10 == 3).collect();
    every_tenth.iter().for_each(|victim| simulation.kill(*victim));
    simulation.run_for(RESTART_DOWNTIME_MS);
    every_tenth.iter().for_each(|victim| simulation.start(*victim));
    let converged_ms = simulation.run_until(|s| s.membership_is_correct() && s.totals_count_all());
    recorder.record_time("tenth_back", "tenth_back_not_reached", n, converged_ms);
    recorder.record("hub", "tenth_worst_second", "bytes", n, simulation.max_second_bytes());
}

/// Kills a rack, and in another fleet a zone.
fn measure_losses(plan: &SizePlan, seed: u64, recorder: &mut SeriesRecorder) {
    let n = plan.size;
    let zone: Vec<usize> = (0..n).filter(|id| id % ZONES == 5).collect();
    let rack = (zone.len() >= RACK_MEMBERS).then(|| zone.iter().copied().take(RACK_MEMBERS).collect());
    let zone: Option<Vec<usize>> = Some(zone);
    for (cost, not_reached, bytes, victims) in [
        ("rack_found", "rack_found_not_reached", "rack_worst_second", rack),
        ("zone_found", "zone_found_not_reached", "zone_worst_second", zone),
    ] {
        let Some(victims) = victims else { continue };
        let mut simulation = Simulation::new(n, seed ^ 3);
        simulation.reset_counters();
        victims.iter().for_each(|victim| simulation.kill(*victim));
        let converged_ms = simulation.run_until_membership_correct();
        recorder.record_time(cost, not_reached, n, converged_ms);
        recorder.record("hub", bytes, "bytes", n, simulation.max_second_bytes());
    }
}

/// Cuts off one of four regions for `away_ms`, reconnects it, and measures the time until all members know
/// each other again.
fn measure_region_cut(plan: &SizePlan, seed: u64, recorder: &mut SeriesRecorder) {
    let n = plan.size;
    let mut simulation = Simulation::new(n, seed ^ 4);
    simulation.set_partitions(|n| u8::from(n % ZONES < ZONES / 4));
    simulation.run_for(plan.away_ms);
    simulation.reset_counters();
    simulation.set_partitions(|_| 0);
    let converged_ms = simulation.run_until_membership_correct();
    recorder.record("member", "region_away", "ms", n, plan.away_ms as f64);
    recorder.record_time("region_back", "region_back_not_reached", n, converged_ms);
    recorder.record("hub", "region_back_worst_second", "bytes", n, simulation.max_second_bytes());
}
