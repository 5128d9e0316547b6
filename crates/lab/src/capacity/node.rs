//! What one node costs at size: a real process before a hollow discovery, whose backends are dead, or
//! many names of a few hollow servers.
//!
//! Processor time is the process's own, of all its threads, as the system counts it in nanoseconds. Each
//! process runs under a shell that ends it, and removes its files, when this program ends in whatever
//! way.

mod environment;
mod process;

use super::{MeasureError, MeasureOptions, Point, Series};
use environment::{Client, FakeDiscovery, FakeServers, LatencyProbe, ServerReply, closed_port};
use process::Process;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// A whole run takes no longer.
const LONGEST: Duration = Duration::from_secs(40 * 60);
/// Nor does anything that a node is waited for.
const PATIENCE: Duration = Duration::from_secs(60);
/// A reload that took longer than this is measured once.
const LONG_RELOAD_MS: f64 = 10_000.0;
/// One that will take longer, if it grows with the square of the size, is not measured at all.
const LONGEST_RELOAD_MS: f64 = 45_000.0;
/// Live servers behind all names of the list.
const LIVE: usize = 8;
/// Keys of keyed requests.
const KEYS: usize = 16;
/// Whether a node has come to rest is looked at so often.
const LOOK: Duration = Duration::from_millis(5);
/// At rest it uses less than this part of a core from one look to the next; while it is asked for words,
/// less than the second.
const AT_REST: f64 = 0.1;
const BUT_FOR_WORDS: f64 = 0.6;
/// Requests of one kind are not sent for longer.
const ENOUGH: Duration = Duration::from_secs(4);
/// Zones of the lists, but on the axis of zones.
const ZONES: usize = 12;

/// Sizes and lengths of one run.
struct Extent {
    backends: Vec<usize>,
    tenants: Vec<usize>,
    classes: Vec<usize>,
    zones: Vec<usize>,
    change_rates: Vec<usize>,
    request_rates: Vec<usize>,
    /// Backends on the axes of zones, of changes and of requests.
    few: [usize; 3],
    /// For how long a node at rest is looked at, and one that works at a rate.
    rest: Duration,
    /// Single changes, whole lists and requests of each kind.
    times: [usize; 3],
}

impl Extent {
    fn of(m: &MeasureOptions) -> Extent {
        if m.quick {
            return Extent {
                backends: vec![20, 60, 200, 600, 1000],
                tenants: vec![20, 60, 200, 600, 1000],
                classes: vec![5, 15, 50, 150, 250],
                zones: vec![1, 2, 4, 12, 32],
                change_rates: vec![5, 15, 50, 100, 150],
                request_rates: vec![10, 30, 100, 200, 300],
                few: [100, 100, 50],
                rest: Duration::from_millis(300),
                times: [5, 2, 20],
            };
        }
        Extent {
            backends: vec![100, 300, 1000, 3000, 10_000, 47_000],
            tenants: vec![100, 300, 1000, 3000, 10_000, 30_000, 110_000],
            classes: vec![10, 30, 100, 300, 1000, 3000, 22_000],
            zones: vec![1, 2, 4, 12, 32],
            change_rates: vec![3, 10, 30, 100, 300],
            request_rates: vec![30, 100, 300, 1000, 2000],
            few: [3000, 10_000, 1000],
            rest: Duration::from_secs(3),
            times: [30, 3, 400],
        }
    }
}

/// Measures the node.
///
/// # Errors
/// The node does not do what is waited for, or the system fails.
pub fn measure(m: &MeasureOptions) -> Result<Vec<Series>, MeasureError> {
    measure_with_baseline(m, None, &[])
}

/// The axes that can be measured.
pub const AXES: [&str; 6] = ["backends", "tenants", "classes", "zones", "changes_per_s", "requests_per_s"];

/// Measures the node on the named axes, or on all, and, by turns, another one, whose role is `node-before`.
///
/// # Errors
/// As above, of either.
pub fn measure_with_baseline(
    m: &MeasureOptions,
    before: Option<&Path>,
    named: &[String],
) -> Result<Vec<Series>, MeasureError> {
    let extent = Extent::of(m);
    let end = Instant::now() + LONGEST;
    let mut book = Book::default();
    let mut sides = vec![("node", m.node_program.as_path())];
    sides.extend(before.map(|path| ("node-before", path)));
    let axes: [(&[usize], Axis); 6] = [
        (&extent.backends, backends),
        (&extent.tenants, tenants),
        (&extent.classes, classes),
        (&extent.zones, zones),
        (&extent.change_rates, change_rates),
        (&extent.request_rates, request_rates),
    ];
    for ((sizes, axis), name) in axes.into_iter().zip(AXES) {
        if !named.is_empty() && !named.iter().any(|n| n == name) {
            continue;
        }
        for repetition in 0..m.repetitions.max(1) {
            for size in sizes {
                // Whoever goes first goes second the next time.
                sides.reverse();
                for (role, program) in &sides {
                    if Instant::now() > end {
                        return Err(MeasureError::Unexpected(format!(
                            "the node's part took over {} s",
                            LONGEST.as_secs()
                        )));
                    }
                    let seed = m.seed.wrapping_add(repetition as u64);
                    let mut run = Run { role, program, seed, extent: &extent, book: &mut book };
                    axis(&mut run, *size)?;
                }
            }
        }
    }
    Ok(book.series())
}

type Axis = fn(&mut Run, usize) -> Result<(), MeasureError>;

/// Names and units of a series, and its values by size.
type Named = (String, &'static str, &'static str, &'static str);

#[derive(Default)]
struct Book {
    /// In the order in which they were first measured.
    order: Vec<Named>,
    values: BTreeMap<Named, BTreeMap<usize, Vec<f64>>>,
}

impl Book {
    fn series(self) -> Vec<Series> {
        let Book { order, mut values } = self;
        order
            .into_iter()
            .map(|name| {
                let points = values.remove(&name).unwrap_or_default();
                let points =
                    points.into_iter().map(|(size, values)| Point { size: size as f64, values }).collect();
                let (role, cost, unit, axis) = name;
                Series { role, cost: cost.to_owned(), unit: unit.to_owned(), axis: axis.to_owned(), points }
            })
            .collect()
    }
}

/// One size of one axis, once.
struct Run<'a> {
    role: &'a str,
    program: &'a Path,
    seed: u64,
    extent: &'a Extent,
    book: &'a mut Book,
}

impl Run<'_> {
    fn note(
        &mut self,
        axis: &'static str,
        size: usize,
        cost: &'static str,
        unit: &'static str,
        value: f64,
    ) {
        let name = (self.role.to_owned(), cost, unit, axis);
        if !self.book.values.contains_key(&name) {
            self.book.order.push(name.clone());
        }
        self.book.values.entry(name).or_default().entry(size).or_default().push(value);
    }

    fn list(&self, count: usize, zones: usize, at: &[SocketAddr]) -> List {
        List { seed: self.seed, count, zones, at: at.to_vec() }
    }

    fn start(&self, discovery: SocketAddr, change: impl FnOnce(&mut Value), topology: bool) -> Started {
        Process::start(self.program, discovery, self.seed, change, topology)
    }
}

type Started = Result<(Process, f64), MeasureError>;

/// A list that is told: so many names, spread over zones and addresses.
struct List {
    seed: u64,
    count: usize,
    zones: usize,
    at: Vec<SocketAddr>,
}

impl List {
    fn entry(&self, n: usize, state: &str) -> String {
        let at = self.at[n % self.at.len()];
        format!(
            "{{\"uid\":\"cs-{:04x}-{n:06}\",\"endpoint\":\"{at}\",\"az\":\"zone-{}\",\"model\":\"m\",\
             \"pod_group\":{},\
             \"state\":\"{state}\",\"capacity_hint\":1.0,\"boot_ms\":0}}",
            self.seed & 0xffff,
            n % self.zones,
            n % 1700,
        )
    }

    /// All but those of the first `lost` zones.
    fn whole(&self, lost: usize) -> String {
        let there = (0..self.count).filter(|n| n % self.zones >= lost);
        there.map(|n| self.entry(n, "up")).collect::<Vec<String>>().join(",")
    }
}

/// Waits until a node is done with what it was told: it may go on from a list before all of that is taken
/// in. Two looks in a row have to find it at rest, or with no more to do than `part` of a core.
fn settle(node: &Process, part: f64) -> Result<(), MeasureError> {
    let end = Instant::now() + PATIENCE;
    let mut quiet = 0;
    while quiet < 2 {
        if Instant::now() > end {
            return Err(MeasureError::Unexpected("the node does not come to rest".to_owned()));
        }
        quiet = if at_rest(node, LOOK)? < part { quiet + 1 } else { 0 };
    }
    Ok(())
}

/// Processor time that a node uses at rest, in cores, over so long.
fn at_rest(node: &Process, window: Duration) -> Result<f64, MeasureError> {
    let (from, begun) = (node.cpu_ns()?, Instant::now());
    sleep(window);
    Ok((node.cpu_ns()? - from) as f64 / begun.elapsed().as_nanos() as f64)
}

/// Processor time of `work` in milliseconds, less what rest would have cost.
fn cpu_of(
    node: &Process,
    rest: f64,
    work: impl FnOnce() -> Result<(), MeasureError>,
) -> Result<f64, MeasureError> {
    settle(node, AT_REST)?;
    let (from, begun) = (node.cpu_ns()?, Instant::now());
    work()?;
    settle(node, AT_REST)?;
    let used = (node.cpu_ns()? - from) as f64 - rest * begun.elapsed().as_nanos() as f64;
    Ok(used.max(0.0) / 1e6)
}

fn backends(run: &mut Run, size: usize) -> Result<(), MeasureError> {
    dead_backends(run, size)?;
    live_backends(run, size)
}

/// From its start with a list of dead backends: time, memory, rest, and a request that finds none.
fn dead_backends(run: &mut Run, size: usize) -> Result<(), MeasureError> {
    const AXIS: &str = "backends";
    let dead = closed_port()?;
    let discovery = FakeDiscovery::start(&run.list(size, ZONES, &[dead.address]).whole(0))?;
    let (node, ready_ms) = run.start(discovery.address, |_| {}, false)?;
    run.note(AXIS, size, "ready", "ms", ready_ms);
    run.note(AXIS, size, "ready_cpu", "ms", node.cpu_ns()? as f64 / 1e6);
    run.note(AXIS, size, "list_bytes", "bytes", discovery.written() as f64);
    // The tick after the list has been, too.
    sleep(run.extent.rest / 4);
    run.note(AXIS, size, "memory_peak", "MB", node.memory_mb("VmHWM:")?);
    run.note(AXIS, size, "memory_rest", "MB", node.memory_mb("VmRSS:")?);
    let rest = at_rest(&node, run.extent.rest)?;
    run.note(AXIS, size, "rest", "cores", rest);
    let dead = request_cpu(run, &node, rest, &|n| format!("X-Object: o-{n}\r\n"), false)?;
    run.note(AXIS, size, "request_dead", "us", dead);
    Ok(())
}

/// From a list of one: whole lists, changes, and requests to live servers.
fn live_backends(run: &mut Run, size: usize) -> Result<(), MeasureError> {
    const AXIS: &str = "backends";
    let servers = FakeServers::start(LIVE)?;
    let list = run.list(size, ZONES, &servers.addresses);
    let one = run.list(1, ZONES, &servers.addresses).whole(0);
    let discovery = FakeDiscovery::start(&one)?;
    let (node, _) = run.start(discovery.address, |_| {}, false)?;
    let rest_of_one = at_rest(&node, run.extent.rest / 4)?;
    let whole = |body: &str| discovery.tell_whole(body, PATIENCE);
    let all = list.whole(0);

    let first = cpu_of(&node, rest_of_one, || whole(&all))?;
    run.note(AXIS, size, "list_first", "ms", first);
    whole(&one)?;
    settle(&node, AT_REST)?;
    let gaps = LatencyProbe::watch(node.listen)?;
    whole(&all)?;
    settle(&node, BUT_FOR_WORDS)?;
    run.note(AXIS, size, "gap_list_first", "ms", gaps.longest_ms());

    let rest = at_rest(&node, run.extent.rest / 4)?;
    let [changes, lists, _] = run.extent.times;
    let (mut same, mut gap) = (Vec::new(), Vec::new());
    for _ in 0..lists {
        same.push(cpu_of(&node, rest, || whole(&all))?);
        let gaps = LatencyProbe::watch(node.listen)?;
        whole(&all)?;
        settle(&node, BUT_FOR_WORDS)?;
        gap.push(gaps.longest_ms());
    }
    run.note(AXIS, size, "list_same", "ms", super::fit::median(&same));
    run.note(AXIS, size, "gap_list_same", "ms", super::fit::median(&gap));
    for (lost, gone, back) in
        [(ZONES / 3, "list_third_lost", "list_third_back"), (1, "list_twelfth_lost", "list_twelfth_back")]
    {
        let less = list.whole(lost);
        run.note(AXIS, size, gone, "ms", cpu_of(&node, rest, || whole(&less))?);
        run.note(AXIS, size, back, "ms", cpu_of(&node, rest, || whole(&all))?);
    }

    let before = discovery.written();
    let mut singles = Vec::new();
    let mut draw = fastrand_of(run.seed);
    for n in 0..changes {
        let entry = list.entry(draw(size), if n % 2 == 0 { "draining" } else { "up" });
        singles.push(cpu_of(&node, rest, || discovery.tell_changes(&[entry], PATIENCE))?);
    }
    run.note(AXIS, size, "change", "ms", super::fit::median(&singles));
    run.note(AXIS, size, "change_bytes", "bytes", (discovery.written() - before) as f64 / changes as f64);
    whole(&all)?;

    let keyed = |n: usize| format!("X-Object: o-{}\r\n", n % KEYS);
    let value = request_cpu(run, &node, rest, &keyed, true)?;
    run.note(AXIS, size, "request_keyed", "us", value);
    let value = request_cpu(run, &node, rest, &|_| String::new(), true)?;
    run.note(AXIS, size, "request_unkeyed", "us", value);
    servers.answer(ServerReply::Full);
    let before = servers.asked();
    let value = request_cpu(run, &node, rest, &keyed, false)?;
    let asked = (servers.asked() - before) as f64;
    run.note(AXIS, size, "request_blocked_attempts", "count", asked / (KEYS + run.extent.times[2]) as f64);
    run.note(AXIS, size, "request_blocked", "us", value);
    Ok(())
}

/// Draws below a bound, from a seed.
fn fastrand_of(seed: u64) -> impl FnMut(usize) -> usize {
    let mut n = seed;
    move |below| {
        n = n.wrapping_add(1);
        (crate::plan::mix_bits(n) % below.max(1) as u64) as usize
    }
}

/// Processor time of a request in microseconds, as the mean of many, one after the other.
fn request_cpu(
    run: &Run,
    node: &Process,
    rest: f64,
    fields: &dyn Fn(usize) -> String,
    serves: bool,
) -> Result<f64, MeasureError> {
    let times = run.extent.times[2];
    let mut client = Client::open(node.listen)?;
    // Connections and first verdicts are not what is measured.
    for n in 0..KEYS {
        client.ask(&fields(n), PATIENCE)?;
    }
    let mut done = 0;
    let mut statuses = BTreeMap::<u16, usize>::new();
    let ms = cpu_of(node, rest, || {
        let begun = Instant::now();
        while done < times && begun.elapsed() < ENOUGH {
            *statuses.entry(client.ask(&fields(KEYS + done), PATIENCE)?).or_insert(0) += 1;
            done += 1;
        }
        Ok(())
    })?;
    let served = statuses.get(&200).copied().unwrap_or(0);
    let other = statuses.keys().any(|s| ![200, 502, 503, 504].contains(s));
    // Of a kind that is to be served one in 100 may be refused; of the others none can be served.
    let wrong = if serves { served * 100 < done * 99 } else { served > 0 };
    if other || wrong {
        return Err(MeasureError::Unexpected(format!(
            "of {done} requests these were the answers: {statuses:?}"
        )));
    }
    Ok(ms * 1000.0 / done.max(1) as f64)
}

fn tenants(run: &mut Run, size: usize) -> Result<(), MeasureError> {
    let entry = |n: usize, quota: f64| json!({"name": format!("tenant-{n:06}"), "quotaRps": quota});
    let list = move |quota| (0..size).map(|n| entry(n, quota)).collect::<Vec<Value>>();
    let last = format!("X-Object: o\r\nX-Customer: tenant-{:06}\r\n", size - 1);
    settings_axis(run, "tenants", size, "tenants", &list, &last)
}

/// What routes map to where each is a class of its own: the dearest reading.
fn classes(run: &mut Run, size: usize) -> Result<(), MeasureError> {
    let list = move |worth: f64| {
        let mut all = process::classes();
        let own = |n: usize| {
            json!({"name": format!("route-{n:06}"), "semantics": "idempotent", "objectiveMs": 400.0,
                   "hardLimitMs": 1000.0, "value": worth / 1e5})
        };
        all.extend((all.len()..size).map(own));
        all
    };
    let last = format!("X-Object: o\r\nX-Qos: route-{:06}\r\n", size - 1);
    settings_axis(run, "classes", size, "classes", &list, &last)
}

/// An axis that lies in the settings: a start with them, another of their kind by SIGHUP, a request that
/// names the last.
fn settings_axis(
    run: &mut Run,
    axis: &'static str,
    size: usize,
    key: &str,
    list: &dyn Fn(f64) -> Vec<Value>,
    last: &str,
) -> Result<(), MeasureError> {
    let servers = FakeServers::start(LIVE)?;
    let discovery = FakeDiscovery::start(&run.list(LIVE, 1, &servers.addresses).whole(0))?;
    let (mut node, ready_ms) =
        run.start(discovery.address, |config| config["settings"][key] = list(1e5).into(), false)?;
    run.note(axis, size, "ready", "ms", ready_ms);
    sleep(run.extent.rest / 4);
    run.note(axis, size, "memory_rest", "MB", node.memory_mb("VmRSS:")?);
    let rest = at_rest(&node, run.extent.rest)?;
    run.note(axis, size, "rest", "cores", rest);
    let value = request_cpu(run, &node, rest, &|_| last.to_owned(), true)?;
    run.note(axis, size, "request_last", "us", value);
    let name = (run.role.to_owned(), "reload", "ms", axis);
    let known = run.book.values.get(&name).and_then(|sizes| sizes.range(..=size).next_back());
    let expected =
        known.map_or(0.0, |(at, values)| super::fit::median(values) * (size as f64 / *at as f64).powi(2));
    let again = run.book.values.get(&name).is_some_and(|sizes| sizes.contains_key(&size));
    if expected > if again { LONG_RELOAD_MS } else { LONGEST_RELOAD_MS } {
        return Ok(());
    }
    let gaps = LatencyProbe::watch(node.listen)?;
    let begun = Instant::now();
    node.reconfigure(|config| config["settings"][key] = list(2e5).into(), PATIENCE)?;
    run.note(axis, size, "reload", "ms", begun.elapsed().as_secs_f64() * 1000.0);
    run.note(axis, size, "gap_reload", "ms", gaps.longest_ms());
    run.note(axis, size, "memory_peak", "MB", node.memory_mb("VmHWM:")?);
    Ok(())
}

/// Zones are judged as a whole here, which costs most.
fn zones(run: &mut Run, size: usize) -> Result<(), MeasureError> {
    const AXIS: &str = "zones";
    let servers = FakeServers::start(LIVE)?;
    let list = run.list(run.extent.few[0], size, &servers.addresses);
    let all = list.whole(0);
    let discovery = FakeDiscovery::start(&all)?;
    let areas: Vec<String> = (0..size).map(|n| format!("zone-{n}")).collect();
    let (node, _) =
        run.start(discovery.address, |config| config["settings"]["areas"] = json!(areas), true)?;
    sleep(run.extent.rest / 4);
    let rest = at_rest(&node, run.extent.rest)?;
    run.note(AXIS, size, "rest", "cores", rest);
    let same = cpu_of(&node, rest, || discovery.tell_whole(&all, PATIENCE))?;
    run.note(AXIS, size, "list_same", "ms", same);
    let value = request_cpu(run, &node, rest, &|_| String::new(), true)?;
    run.note(AXIS, size, "request_unkeyed", "us", value);
    Ok(())
}

fn change_rates(run: &mut Run, rate: usize) -> Result<(), MeasureError> {
    let dead = closed_port()?;
    let list = run.list(run.extent.few[1], ZONES, &[dead.address]);
    let discovery = FakeDiscovery::start(&list.whole(0))?;
    let (node, _) = run.start(discovery.address, |_| {}, false)?;
    sleep(run.extent.rest / 4);
    let mut draw = fastrand_of(run.seed);
    let (from, calls, begun) = (node.cpu_ns()?, discovery.calls(), Instant::now());
    let mut n = 0;
    while begun.elapsed() < run.extent.rest {
        discovery.put_changes(&[list.entry(draw(list.count), if n % 2 == 0 { "draining" } else { "up" })]);
        n += 1;
        sleep(
            (begun + Duration::from_secs_f64(n as f64 / rate as f64))
                .saturating_duration_since(Instant::now()),
        );
    }
    let cores = (node.cpu_ns()? - from) as f64 / begun.elapsed().as_nanos() as f64;
    run.note("changes_per_s", rate, "changes_cpu", "cores", cores);
    let per_second = (discovery.calls() - calls) as f64 / begun.elapsed().as_secs_f64();
    run.note("changes_per_s", rate, "changes_calls", "calls/s", per_second);
    Ok(())
}

fn request_rates(run: &mut Run, rate: usize) -> Result<(), MeasureError> {
    let servers = FakeServers::start(LIVE)?;
    let discovery = FakeDiscovery::start(&run.list(run.extent.few[2], ZONES, &servers.addresses).whole(0))?;
    let (node, _) = run.start(discovery.address, |_| {}, false)?;
    sleep(run.extent.rest / 4);
    let mut client = Client::open(node.listen)?;
    let keyed = |n: usize| format!("X-Object: o-{}\r\n", n % KEYS);
    for n in 0..KEYS {
        client.ask(&keyed(n), PATIENCE)?;
    }
    let (from, begun) = (node.cpu_ns()?, Instant::now());
    let mut n = 0;
    while begun.elapsed() < run.extent.rest {
        client.ask(&keyed(n), PATIENCE)?;
        n += 1;
        sleep(
            (begun + Duration::from_secs_f64(n as f64 / rate as f64))
                .saturating_duration_since(Instant::now()),
        );
    }
    let elapsed = begun.elapsed();
    let cores = (node.cpu_ns()? - from) as f64 / elapsed.as_nanos() as f64;
    // Where one connection cannot keep up, the figure is scaled to what was due.
    let kept = n as f64 / (elapsed.as_secs_f64() * rate as f64);
    run.note("requests_per_s", rate, "requests_cpu", "cores", cores / kept.min(1.0));
    Ok(())
}
