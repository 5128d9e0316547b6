//! Measures what one node costs by size. A real node process gets its list from a fake discovery service;
//! the backends of the list are either a port that refuses connections, or a few fake servers under many
//! names.
//!
//! Processor time is that of all threads of the node's process, as the kernel counts it in nanoseconds.
//! Each process runs under a shell script that kills it and removes its files whenever this program ends.

mod environment;
mod process;

use super::{MeasureError, MeasureOptions, Point, Series};
use environment::{Client, FakeDiscovery, FakeServers, LatencyProbe, ServerReply, closed_port};
use process::NodeProcess;
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::Path;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Longest duration of the measurement of all axes.
const MAX_DURATION: Duration = Duration::from_secs(40 * 60);
/// Longest time to wait for any action of a node.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// A reload that takes longer than this at a size is not repeated at that size.
const MAX_REPEATED_RELOAD_MS: f64 = 10_000.0;
/// A reload is skipped if it is expected to take longer than this, assuming that it grows with the square
/// of the size.
const MAX_RELOAD_MS: f64 = 45_000.0;
/// Number of fake servers that serve all names of a list.
const LIVE_SERVERS: usize = 8;
/// Number of distinct keys of keyed requests.
const KEYS: usize = 16;
/// Length of the windows in which the check for an idle node measures processor time.
const IDLE_CHECK_WINDOW: Duration = Duration::from_millis(5);
/// A node is idle if it uses fewer cores than this during a window.
const MAX_IDLE_CORES: f64 = 0.1;
/// The same limit while a [`LatencyProbe`] sends health checks to the node.
const MAX_IDLE_CORES_WITH_PROBE: f64 = 0.6;
/// Longest time for which requests of one kind are sent.
const MAX_REQUESTS_DURATION: Duration = Duration::from_secs(4);
/// Number of zones of a list, except on the axis of zones.
const ZONES: usize = 12;

/// Sizes, durations and counts of a measurement.
struct Workload {
    backends: Vec<usize>,
    tenants: Vec<usize>,
    classes: Vec<usize>,
    zones: Vec<usize>,
    change_rates: Vec<usize>,
    request_rates: Vec<usize>,
    /// Number of backends on the axes of zones, of change rates and of request rates.
    backends_on_axis: [usize; 3],
    /// Time for which an idle node, or a node under a constant rate, is measured.
    window: Duration,
    /// Number of single changes, of full lists, and of requests of each kind.
    counts: [usize; 3],
}

impl Workload {
    fn of(options: &MeasureOptions) -> Workload {
        if options.quick {
            return Workload {
                backends: vec![20, 60, 200, 600, 1000],
                tenants: vec![20, 60, 200, 600, 1000],
                classes: vec![5, 15, 50, 150, 250],
                zones: vec![1, 2, 4, 12, 32],
                change_rates: vec![5, 15, 50, 100, 150],
                request_rates: vec![10, 30, 100, 200, 300],
                backends_on_axis: [100, 100, 50],
                window: Duration::from_millis(300),
                counts: [5, 2, 20],
            };
        }
        Workload {
            backends: vec![100, 300, 1000, 3000, 10_000, 47_000],
            tenants: vec![100, 300, 1000, 3000, 10_000, 30_000, 110_000],
            classes: vec![10, 30, 100, 300, 1000, 3000, 22_000],
            zones: vec![1, 2, 4, 12, 32],
            change_rates: vec![3, 10, 30, 100, 300],
            request_rates: vec![30, 100, 300, 1000, 2000],
            backends_on_axis: [3000, 10_000, 1000],
            window: Duration::from_secs(3),
            counts: [30, 3, 400],
        }
    }
}

/// Measures the node on all axes.
///
/// # Errors
/// Returns [`MeasureError::Unexpected`] if the node does not behave as expected in time, and
/// [`MeasureError::Io`] if an operation of the operating system fails.
pub fn measure(options: &MeasureOptions) -> Result<Vec<Series>, MeasureError> {
    measure_with_baseline(options, None, &[])
}

/// Axes on which a node can be measured.
pub const AXES: [&str; 6] = ["backends", "tenants", "classes", "zones", "changes_per_s", "requests_per_s"];

/// Measures the node on the axes in `selected`, or on all axes if it is empty. The program `baseline`, if
/// given, is measured alternately with the node, as role `node-before`.
///
/// # Errors
/// Returns the errors of [`measure`], for either program.
pub fn measure_with_baseline(
    options: &MeasureOptions,
    baseline: Option<&Path>,
    selected: &[String],
) -> Result<Vec<Series>, MeasureError> {
    let workload = Workload::of(options);
    let end = Instant::now() + MAX_DURATION;
    let mut recorder = SeriesRecorder::default();
    let mut programs = vec![("node", options.node_program.as_path())];
    programs.extend(baseline.map(|path| ("node-before", path)));
    let axes: [(&[usize], Axis); 6] = [
        (&workload.backends, measure_backends),
        (&workload.tenants, measure_tenants),
        (&workload.classes, measure_classes),
        (&workload.zones, measure_zones),
        (&workload.change_rates, measure_change_rates),
        (&workload.request_rates, measure_request_rates),
    ];
    for ((sizes, measure_axis), name) in axes.into_iter().zip(AXES) {
        if !selected.is_empty() && !selected.iter().any(|n| n == name) {
            continue;
        }
        for repetition in 0..options.repetitions.max(1) {
            for size in sizes {
                // The two programs take turns in being measured first.
                programs.reverse();
                for (role, program) in &programs {
                    if Instant::now() > end {
                        return Err(MeasureError::Unexpected(format!(
                            "the measurement of the node took over {} s",
                            MAX_DURATION.as_secs()
                        )));
                    }
                    let seed = options.seed.wrapping_add(repetition as u64);
                    let mut run =
                        SizeRun { role, program, seed, workload: &workload, recorder: &mut recorder };
                    measure_axis(&mut run, *size)?;
                }
            }
        }
    }
    Ok(recorder.series())
}

/// Function that measures one size of an axis.
type Axis = fn(&mut SizeRun, usize) -> Result<(), MeasureError>;

/// Role, cost, unit and axis of a series.
type SeriesKey = (String, &'static str, &'static str, &'static str);

/// Collects the measured values of all series.
#[derive(Default)]
struct SeriesRecorder {
    /// Keys of the series, in the order in which they were first recorded.
    order: Vec<SeriesKey>,
    /// Values of each series, by size.
    values: BTreeMap<SeriesKey, BTreeMap<usize, Vec<f64>>>,
}

impl SeriesRecorder {
    fn series(self) -> Vec<Series> {
        let SeriesRecorder { order, mut values } = self;
        order
            .into_iter()
            .map(|key| {
                let points = values.remove(&key).unwrap_or_default();
                let points =
                    points.into_iter().map(|(size, values)| Point { size: size as f64, values }).collect();
                let (role, cost, unit, axis) = key;
                Series { role, cost: cost.to_owned(), unit: unit.to_owned(), axis: axis.to_owned(), points }
            })
            .collect()
    }
}

/// One measurement of one program at one size of an axis.
struct SizeRun<'a> {
    role: &'a str,
    program: &'a Path,
    seed: u64,
    workload: &'a Workload,
    recorder: &'a mut SeriesRecorder,
}

impl SizeRun<'_> {
    fn record(
        &mut self,
        axis: &'static str,
        size: usize,
        cost: &'static str,
        unit: &'static str,
        value: f64,
    ) {
        let key = (self.role.to_owned(), cost, unit, axis);
        if !self.recorder.values.contains_key(&key) {
            self.recorder.order.push(key.clone());
        }
        self.recorder.values.entry(key).or_default().entry(size).or_default().push(value);
    }

    fn list(&self, count: usize, zones: usize, addresses: &[SocketAddr]) -> BackendList {
        BackendList { seed: self.seed, count, zones, addresses: addresses.to_vec() }
    }

    fn start(
        &self,
        discovery: SocketAddr,
        edit_config: impl FnOnce(&mut Value),
        has_topology: bool,
    ) -> StartResult {
        NodeProcess::start(self.program, discovery, self.seed, edit_config, has_topology)
    }
}

/// The started process, and the time in milliseconds until it was ready.
type StartResult = Result<(NodeProcess, f64), MeasureError>;

/// A generated list of `count` backends, which are spread evenly over the zones and over the addresses.
struct BackendList {
    seed: u64,
    count: usize,
    zones: usize,
    addresses: Vec<SocketAddr>,
}

impl BackendList {
    /// Returns the entry of the n-th backend in the JSON form of discovery.
    fn entry(&self, n: usize, state: &str) -> String {
        let address = self.addresses[n % self.addresses.len()];
        format!(
            "{{\"uid\":\"cs-{:04x}-{n:06}\",\"endpoint\":\"{address}\",\"az\":\"zone-{}\",\"model\":\"m\",\
             \"pod_group\":{},\
             \"state\":\"{state}\",\"capacity_hint\":1.0,\"boot_ms\":0}}",
            self.seed & 0xffff,
            n % self.zones,
            n % 1700,
        )
    }

    /// Returns the entries of all backends except those in the first `lost_zones` zones, joined by commas.
    fn entries_outside_zones(&self, lost_zones: usize) -> String {
        let remaining = (0..self.count).filter(|n| n % self.zones >= lost_zones);
        remaining.map(|n| self.entry(n, "up")).collect::<Vec<String>>().join(",")
    }
}

/// Waits until a node uses fewer than `max_cores` cores in two successive windows. A node acknowledges a
/// list before it has processed all of it.
///
/// # Errors
/// Returns [`MeasureError::Unexpected`] if the node does not become idle within [`WAIT_TIMEOUT`].
fn wait_until_idle(node: &NodeProcess, max_cores: f64) -> Result<(), MeasureError> {
    let end = Instant::now() + WAIT_TIMEOUT;
    let mut idle_windows = 0;
    while idle_windows < 2 {
        if Instant::now() > end {
            return Err(MeasureError::Unexpected("the node does not become idle".to_owned()));
        }
        idle_windows = if used_cores(node, IDLE_CHECK_WINDOW)? < max_cores { idle_windows + 1 } else { 0 };
    }
    Ok(())
}

/// Waits for `window` and returns the processor time that the node used meanwhile, in cores.
fn used_cores(node: &NodeProcess, window: Duration) -> Result<f64, MeasureError> {
    let (cpu_before_ns, started) = (node.cpu_ns()?, Instant::now());
    sleep(window);
    Ok((node.cpu_ns()? - cpu_before_ns) as f64 / started.elapsed().as_nanos() as f64)
}

/// Returns the processor time that a node spends on `work`, in milliseconds, less the time that the idle
/// node uses meanwhile. `idle_cores` is the processor time of the idle node, in cores.
fn cpu_ms_of(
    node: &NodeProcess,
    idle_cores: f64,
    work: impl FnOnce() -> Result<(), MeasureError>,
) -> Result<f64, MeasureError> {
    wait_until_idle(node, MAX_IDLE_CORES)?;
    let (cpu_before_ns, started) = (node.cpu_ns()?, Instant::now());
    work()?;
    wait_until_idle(node, MAX_IDLE_CORES)?;
    let used = (node.cpu_ns()? - cpu_before_ns) as f64 - idle_cores * started.elapsed().as_nanos() as f64;
    Ok(used.max(0.0) / 1e6)
}

fn measure_backends(run: &mut SizeRun, size: usize) -> Result<(), MeasureError> {
    measure_closed_backends(run, size)?;
    measure_live_backends(run, size)
}

/// Starts a node with a list of backends that refuse connections, and measures its start, its memory, its
/// idle processor time, and requests that find no backend.
fn measure_closed_backends(run: &mut SizeRun, size: usize) -> Result<(), MeasureError> {
    const AXIS: &str = "backends";
    let closed = closed_port()?;
    let discovery =
        FakeDiscovery::start(&run.list(size, ZONES, &[closed.address]).entries_outside_zones(0))?;
    let (node, ready_ms) = run.start(discovery.address, |_| {}, false)?;
    run.record(AXIS, size, "ready", "ms", ready_ms);
    run.record(AXIS, size, "ready_cpu", "ms", node.cpu_ns()? as f64 / 1e6);
    run.record(AXIS, size, "list_bytes", "bytes", discovery.bytes_written() as f64);
    // Includes the node's first tick after the list.
    sleep(run.workload.window / 4);
    run.record(AXIS, size, "memory_peak", "MB", node.memory_mb("VmHWM:")?);
    run.record(AXIS, size, "memory_rest", "MB", node.memory_mb("VmRSS:")?);
    let idle_cores = used_cores(&node, run.workload.window)?;
    run.record(AXIS, size, "rest", "cores", idle_cores);
    let value = request_cpu_us(run, &node, idle_cores, &|n| format!("X-Object: o-{n}\r\n"), false)?;
    run.record(AXIS, size, "request_dead", "us", value);
    Ok(())
}

/// Starts a node with one backend, and measures full lists, single changes, and requests to live servers.
fn measure_live_backends(run: &mut SizeRun, size: usize) -> Result<(), MeasureError> {
    const AXIS: &str = "backends";
    let servers = FakeServers::start(LIVE_SERVERS)?;
    let list = run.list(size, ZONES, &servers.addresses);
    let one = run.list(1, ZONES, &servers.addresses).entries_outside_zones(0);
    let discovery = FakeDiscovery::start(&one)?;
    let (node, _) = run.start(discovery.address, |_| {}, false)?;
    let idle_cores_with_one = used_cores(&node, run.workload.window / 4)?;
    let send_list = |body: &str| discovery.send_list(body, WAIT_TIMEOUT);
    let all = list.entries_outside_zones(0);

    let first = cpu_ms_of(&node, idle_cores_with_one, || send_list(&all))?;
    run.record(AXIS, size, "list_first", "ms", first);
    send_list(&one)?;
    wait_until_idle(&node, MAX_IDLE_CORES)?;
    let latency_probe = LatencyProbe::start(node.listen)?;
    send_list(&all)?;
    wait_until_idle(&node, MAX_IDLE_CORES_WITH_PROBE)?;
    run.record(AXIS, size, "gap_list_first", "ms", latency_probe.max_gap_ms());

    let idle_cores = used_cores(&node, run.workload.window / 4)?;
    let [changes, lists, _] = run.workload.counts;
    let (mut same_ms, mut gaps_ms) = (Vec::new(), Vec::new());
    for _ in 0..lists {
        same_ms.push(cpu_ms_of(&node, idle_cores, || send_list(&all))?);
        let latency_probe = LatencyProbe::start(node.listen)?;
        send_list(&all)?;
        wait_until_idle(&node, MAX_IDLE_CORES_WITH_PROBE)?;
        gaps_ms.push(latency_probe.max_gap_ms());
    }
    run.record(AXIS, size, "list_same", "ms", super::fit::median(&same_ms));
    run.record(AXIS, size, "gap_list_same", "ms", super::fit::median(&gaps_ms));
    for (lost, cost_lost, cost_back) in
        [(ZONES / 3, "list_third_lost", "list_third_back"), (1, "list_twelfth_lost", "list_twelfth_back")]
    {
        let reduced = list.entries_outside_zones(lost);
        run.record(AXIS, size, cost_lost, "ms", cpu_ms_of(&node, idle_cores, || send_list(&reduced))?);
        run.record(AXIS, size, cost_back, "ms", cpu_ms_of(&node, idle_cores, || send_list(&all))?);
    }

    let before = discovery.bytes_written();
    let mut change_costs_ms = Vec::new();
    let mut draw = random_below(run.seed);
    for n in 0..changes {
        let entry = list.entry(draw(size), if n % 2 == 0 { "draining" } else { "up" });
        change_costs_ms
            .push(cpu_ms_of(&node, idle_cores, || discovery.send_changes(&[entry], WAIT_TIMEOUT))?);
    }
    run.record(AXIS, size, "change", "ms", super::fit::median(&change_costs_ms));
    run.record(
        AXIS,
        size,
        "change_bytes",
        "bytes",
        (discovery.bytes_written() - before) as f64 / changes as f64,
    );
    send_list(&all)?;

    let keyed = |n: usize| format!("X-Object: o-{}\r\n", n % KEYS);
    let value = request_cpu_us(run, &node, idle_cores, &keyed, true)?;
    run.record(AXIS, size, "request_keyed", "us", value);
    let value = request_cpu_us(run, &node, idle_cores, &|_| String::new(), true)?;
    run.record(AXIS, size, "request_unkeyed", "us", value);
    servers.set_reply(ServerReply::Full);
    let before = servers.request_count();
    let value = request_cpu_us(run, &node, idle_cores, &keyed, false)?;
    let attempts = (servers.request_count() - before) as f64;
    run.record(
        AXIS,
        size,
        "request_blocked_attempts",
        "count",
        attempts / (KEYS + run.workload.counts[2]) as f64,
    );
    run.record(AXIS, size, "request_blocked", "us", value);
    Ok(())
}

/// Returns a generator of random numbers below a bound, from a seed.
fn random_below(seed: u64) -> impl FnMut(usize) -> usize {
    let mut n = seed;
    move |below| {
        n = n.wrapping_add(1);
        (crate::plan::mix_bits(n) % below.max(1) as u64) as usize
    }
}

/// Returns the mean processor time of a request in microseconds, over successive requests on one
/// connection.
///
/// # Errors
/// Returns [`MeasureError::Unexpected`] if the node responds with statuses that do not fit `must_succeed`.
fn request_cpu_us(
    run: &SizeRun,
    node: &NodeProcess,
    idle_cores: f64,
    header_lines: &dyn Fn(usize) -> String,
    must_succeed: bool,
) -> Result<f64, MeasureError> {
    let request_count = run.workload.counts[2];
    let mut client = Client::open(node.listen)?;
    // The first requests open connections and judge the backends, which is not to be measured.
    for n in 0..KEYS {
        client.send_request(&header_lines(n), WAIT_TIMEOUT)?;
    }
    let mut done = 0;
    let mut statuses = BTreeMap::<u16, usize>::new();
    let ms = cpu_ms_of(node, idle_cores, || {
        let started = Instant::now();
        while done < request_count && started.elapsed() < MAX_REQUESTS_DURATION {
            *statuses.entry(client.send_request(&header_lines(KEYS + done), WAIT_TIMEOUT)?).or_insert(0) +=
                1;
            done += 1;
        }
        Ok(())
    })?;
    let served = statuses.get(&200).copied().unwrap_or(0);
    let has_other_status = statuses.keys().any(|s| ![200, 502, 503, 504].contains(s));
    // One in 100 requests that must succeed may be refused; no other request may succeed.
    let is_wrong = if must_succeed { served * 100 < done * 99 } else { served > 0 };
    if has_other_status || is_wrong {
        return Err(MeasureError::Unexpected(format!(
            "unexpected statuses of {done} requests: {statuses:?}"
        )));
    }
    Ok(ms * 1000.0 / done.max(1) as f64)
}

fn measure_tenants(run: &mut SizeRun, size: usize) -> Result<(), MeasureError> {
    let entry = |n: usize, quota: f64| json!({"name": format!("tenant-{n:06}"), "quotaRps": quota});
    let list = move |quota| (0..size).map(|n| entry(n, quota)).collect::<Vec<Value>>();
    let last = format!("X-Object: o\r\nX-Customer: tenant-{:06}\r\n", size - 1);
    measure_settings_axis(run, "tenants", size, "tenants", &list, &last)
}

/// Measures settings with one class for each route, the most expensive way to define classes.
fn measure_classes(run: &mut SizeRun, size: usize) -> Result<(), MeasureError> {
    let list = move |worth: f64| {
        let mut all = process::classes();
        let route_class = |n: usize| {
            json!({"name": format!("route-{n:06}"), "semantics": "idempotent", "objectiveMs": 400.0,
                   "hardLimitMs": 1000.0, "value": worth / 1e5})
        };
        all.extend((all.len()..size).map(route_class));
        all
    };
    let last = format!("X-Object: o\r\nX-Qos: route-{:06}\r\n", size - 1);
    measure_settings_axis(run, "classes", size, "classes", &list, &last)
}

/// Measures an axis that is the length of the list `key` in the settings: a start with that list, a reload
/// on SIGHUP with other values in it, and requests whose header lines `last` name the list's last element.
fn measure_settings_axis(
    run: &mut SizeRun,
    axis: &'static str,
    size: usize,
    key: &str,
    list: &dyn Fn(f64) -> Vec<Value>,
    last: &str,
) -> Result<(), MeasureError> {
    let servers = FakeServers::start(LIVE_SERVERS)?;
    let discovery =
        FakeDiscovery::start(&run.list(LIVE_SERVERS, 1, &servers.addresses).entries_outside_zones(0))?;
    let (mut node, ready_ms) =
        run.start(discovery.address, |config| config["settings"][key] = list(1e5).into(), false)?;
    run.record(axis, size, "ready", "ms", ready_ms);
    sleep(run.workload.window / 4);
    run.record(axis, size, "memory_rest", "MB", node.memory_mb("VmRSS:")?);
    let idle_cores = used_cores(&node, run.workload.window)?;
    run.record(axis, size, "rest", "cores", idle_cores);
    let value = request_cpu_us(run, &node, idle_cores, &|_| last.to_owned(), true)?;
    run.record(axis, size, "request_last", "us", value);
    let series = (run.role.to_owned(), "reload", "ms", axis);
    let previous = run.recorder.values.get(&series).and_then(|sizes| sizes.range(..=size).next_back());
    let expected_ms = previous.map_or(0.0, |(measured_size, values)| {
        super::fit::median(values) * (size as f64 / *measured_size as f64).powi(2)
    });
    let is_repetition = run.recorder.values.get(&series).is_some_and(|sizes| sizes.contains_key(&size));
    if expected_ms > if is_repetition { MAX_REPEATED_RELOAD_MS } else { MAX_RELOAD_MS } {
        return Ok(());
    }
    let latency_probe = LatencyProbe::start(node.listen)?;
    let started = Instant::now();
    node.reload_settings(|config| config["settings"][key] = list(2e5).into(), WAIT_TIMEOUT)?;
    run.record(axis, size, "reload", "ms", started.elapsed().as_secs_f64() * 1000.0);
    run.record(axis, size, "gap_reload", "ms", latency_probe.max_gap_ms());
    run.record(axis, size, "memory_peak", "MB", node.memory_mb("VmHWM:")?);
    Ok(())
}

/// Measures the axis of zones with a topology configured, under which the node also judges whole zones: the
/// most expensive configuration.
fn measure_zones(run: &mut SizeRun, size: usize) -> Result<(), MeasureError> {
    const AXIS: &str = "zones";
    let servers = FakeServers::start(LIVE_SERVERS)?;
    let list = run.list(run.workload.backends_on_axis[0], size, &servers.addresses);
    let all = list.entries_outside_zones(0);
    let discovery = FakeDiscovery::start(&all)?;
    let areas: Vec<String> = (0..size).map(|n| format!("zone-{n}")).collect();
    let (node, _) =
        run.start(discovery.address, |config| config["settings"]["areas"] = json!(areas), true)?;
    sleep(run.workload.window / 4);
    let idle_cores = used_cores(&node, run.workload.window)?;
    run.record(AXIS, size, "rest", "cores", idle_cores);
    let same = cpu_ms_of(&node, idle_cores, || discovery.send_list(&all, WAIT_TIMEOUT))?;
    run.record(AXIS, size, "list_same", "ms", same);
    let value = request_cpu_us(run, &node, idle_cores, &|_| String::new(), true)?;
    run.record(AXIS, size, "request_unkeyed", "us", value);
    Ok(())
}

/// Measures processor time and calls to discovery at a constant rate of single changes per second.
fn measure_change_rates(run: &mut SizeRun, rate: usize) -> Result<(), MeasureError> {
    let closed = closed_port()?;
    let list = run.list(run.workload.backends_on_axis[1], ZONES, &[closed.address]);
    let discovery = FakeDiscovery::start(&list.entries_outside_zones(0))?;
    let (node, _) = run.start(discovery.address, |_| {}, false)?;
    sleep(run.workload.window / 4);
    let mut draw = random_below(run.seed);
    let (cpu_before_ns, calls, started) = (node.cpu_ns()?, discovery.call_count(), Instant::now());
    let mut n = 0;
    while started.elapsed() < run.workload.window {
        discovery
            .publish_changes(&[list.entry(draw(list.count), if n % 2 == 0 { "draining" } else { "up" })]);
        n += 1;
        sleep(
            (started + Duration::from_secs_f64(n as f64 / rate as f64))
                .saturating_duration_since(Instant::now()),
        );
    }
    let cores = (node.cpu_ns()? - cpu_before_ns) as f64 / started.elapsed().as_nanos() as f64;
    run.record("changes_per_s", rate, "changes_cpu", "cores", cores);
    let per_second = (discovery.call_count() - calls) as f64 / started.elapsed().as_secs_f64();
    run.record("changes_per_s", rate, "changes_calls", "calls/s", per_second);
    Ok(())
}

/// Measures processor time at a constant rate of requests per second.
fn measure_request_rates(run: &mut SizeRun, rate: usize) -> Result<(), MeasureError> {
    let servers = FakeServers::start(LIVE_SERVERS)?;
    let discovery = FakeDiscovery::start(
        &run.list(run.workload.backends_on_axis[2], ZONES, &servers.addresses).entries_outside_zones(0),
    )?;
    let (node, _) = run.start(discovery.address, |_| {}, false)?;
    sleep(run.workload.window / 4);
    let mut client = Client::open(node.listen)?;
    let keyed = |n: usize| format!("X-Object: o-{}\r\n", n % KEYS);
    for n in 0..KEYS {
        client.send_request(&keyed(n), WAIT_TIMEOUT)?;
    }
    let (cpu_before_ns, started) = (node.cpu_ns()?, Instant::now());
    let mut n = 0;
    while started.elapsed() < run.workload.window {
        client.send_request(&keyed(n), WAIT_TIMEOUT)?;
        n += 1;
        sleep(
            (started + Duration::from_secs_f64(n as f64 / rate as f64))
                .saturating_duration_since(Instant::now()),
        );
    }
    let elapsed = started.elapsed();
    let cores = (node.cpu_ns()? - cpu_before_ns) as f64 / elapsed.as_nanos() as f64;
    // If one connection cannot reach the rate, the result is scaled to the requested rate.
    let reached_share = n as f64 / (elapsed.as_secs_f64() * rate as f64);
    run.record("requests_per_s", rate, "requests_cpu", "cores", cores / reached_share.min(1.0));
    Ok(())
}
