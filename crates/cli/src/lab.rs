//! `daleturn lab` and `daleturn demo`: run scenarios on this machine and report the results.

use crate::page::{Failure, print, table};
use clap::Subcommand;
use daleturn_lab::baseline::{Pick, serve};
use daleturn_lab::checker::Figures;
use daleturn_lab::hunt::hunt;
use daleturn_lab::load::{Load, LoadResult};
use daleturn_lab::plan::Plan;
use daleturn_lab::real::{
    Options, Outcome, PlayError, READY_TIMEOUT, RunSnapshot, block_on, find_program, play,
};
use daleturn_lab::report;
use daleturn_lab::scenario::Scenario;
use daleturn_lab::sim::simulate;
use daleturn_lab::stats::{mean, paired};
use std::fmt::Write;
use std::io::IsTerminal;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tokio::sync::watch;

/// Scenario of `daleturn lab cost`.
const COST_SCENARIO: &str = include_str!("../../../scenarios/cost.toml");
/// Maximum lateness of the lab's own timers at the 99th percentile, in milliseconds, for response times to
/// be used.
const MAX_LATENESS_MS: f64 = 1.0;
/// Scenario of `daleturn demo`.
const DEMO_SCENARIO: &str = include_str!("../../../scenarios/demo.toml");

#[derive(Debug, Subcommand)]
pub enum Command {
    /// Runs a scenario with node processes and checks its rules
    #[command(
        after_help = "Exit codes: 0 rules kept, 1 a rule or an expectation is broken, 2 invalid scenario.\n\n\
                            Examples:\n  daleturn lab run scenarios/server-bad.toml\n  daleturn lab run \
                            scenarios/zone-lost.toml --seed 7 --report /tmp/zone-lost --logs /tmp/logs"
    )]
    Run {
        #[command(flatten)]
        run_args: ScenarioArgs,
        /// Write the results as JSON to this file
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
        /// Write an HTML report with plots to this directory
        #[arg(long, value_name = "DIR")]
        report: Option<PathBuf>,
        /// Keep the nodes' logs in this directory
        #[arg(long, value_name = "DIR")]
        logs: Option<PathBuf>,
        /// Run a plain load balancer in place of the node
        #[arg(long, value_name = "NAME")]
        baseline: Option<String>,
    },
    /// Runs the same scenario alternately with two builds and compares them in pairs, which cancels the
    /// machine's noise
    #[command(
        after_help = "Example:\n  daleturn lab compare scenarios/brianza-day.toml --a old/daleturn-node --b \
                            target/release/daleturn-node --pairs 5"
    )]
    Compare {
        /// The scenario
        #[arg(value_name = "FILE")]
        file: PathBuf,
        /// Program of the first node, or baseline:NAME
        #[arg(long, value_name = "PATH")]
        a: String,
        /// Program of the second node, or baseline:NAME
        #[arg(long, value_name = "PATH")]
        b: String,
        /// Number of pairs, each with its own seed
        #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u64).range(1..=1000))]
        pairs: u64,
        /// Override a key of the scenario for side a; may be repeated
        #[arg(long, value_name = "KEY=VALUE")]
        set_a: Vec<String>,
        /// Override a key of the scenario for side b; may be repeated
        #[arg(long, value_name = "KEY=VALUE")]
        set_b: Vec<String>,
    },
    /// Sends load to an address of this machine: open loop, times count from when each request was due
    #[command(
        after_help = "Example:\n  daleturn lab load 127.0.0.1:8080 --rate 500 --for 30s --path /api \\\n    --header \
                            'x-qos: catalogue'\n\nTimes count from when a request was due, so the requests behind a \
                            stalled server\ncount in full. Only addresses in 127.0.0.0/8 are allowed."
    )]
    Load {
        /// Address to send to
        #[arg(value_name = "ADDR")]
        address: std::net::SocketAddr,
        /// Requests per second
        #[arg(long, default_value_t = 100.0)]
        rate: f64,
        /// Duration
        #[arg(long = "for", value_name = "TIME", default_value = "10s",
              value_parser = |t: &str| daleturn::operator_call::OperatorCall::parse_time_s(t).map_err(|e| e.to_string()))]
        for_s: u32,
        /// Time limit of a request in milliseconds, from when it was due
        #[arg(long, value_name = "MS", default_value_t = 10_000)]
        limit: u64,
        /// Maximum number of connections
        #[arg(long, default_value_t = 256)]
        connections: usize,
        /// Path of the requests
        #[arg(long, default_value = "/")]
        path: String,
        /// Header field, NAME: VALUE; may be repeated
        #[arg(long, value_name = "FIELD")]
        header: Vec<String>,
        /// Seed of the request times
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Write the results as JSON to this file
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
    },
    /// Measures the cost of each role by size and fits slopes to it
    #[command(after_help = crate::capacity::EXAMPLES)]
    Capacity(crate::capacity::Args),
    /// Measures the node's cost compared with a plain pass-through, alternately, on one core each
    Cost {
        /// Program of the node; default: the one in this command's directory
        #[arg(long, value_name = "PATH")]
        node: Option<PathBuf>,
        /// Number of pairs
        #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u64).range(1..=100))]
        pairs: u64,
    },
    /// Runs a scenario in virtual time: each node's real decisions with simulated servers, clients and
    /// network
    #[command(
        after_help = "Example:\n  daleturn lab sim scenarios/zone-lost.toml --seed 7\n\nThe same seed gives \
                            the same course of events. Faults that need real processes are rejected."
    )]
    Sim {
        /// The scenario
        #[arg(value_name = "FILE")]
        file: PathBuf,
        /// Seed; default: the scenario's seed
        #[arg(long)]
        seed: Option<u64>,
        /// Number of seeds to run, in sequence
        #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=1000))]
        seeds: u64,
        /// Write the results of the last run as JSON to this file
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
    },
    /// Runs scenarios with node processes and in virtual time and shows the differences for each seed
    #[command(
        after_help = "Example:\n  daleturn lab agree scenarios/zone-lost.toml scenarios/server-bad.toml --seeds 10"
    )]
    Agree {
        /// The scenarios; those that cannot run in virtual time are skipped with a message
        #[arg(value_name = "FILE", required = true)]
        files: Vec<PathBuf>,
        /// Number of seeds for each scenario
        #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..=100))]
        seeds: u64,
        /// Program of the node
        #[arg(long, value_name = "PATH")]
        node: Option<PathBuf>,
    },
    /// Runs a scenario in virtual time with increasing numbers of nodes and shows how run time, memory and
    /// a node's work grow
    #[command(
        after_help = "Example:\n  daleturn lab grow scenarios/scale-1000.toml --nodes 10,30,100,300,1000 --report \
                            /tmp/growth\n\nServers and requests grow with the number of nodes. Each size runs in its \
                            own process."
    )]
    Grow {
        /// The scenario at its full size
        #[arg(value_name = "FILE")]
        file: PathBuf,
        /// Numbers of nodes
        #[arg(long, value_name = "N1,N2,...", value_delimiter = ',', default_value = "10,30,100,300")]
        nodes: Vec<usize>,
        /// Duration of the scenario in seconds; default: the scenario's duration
        #[arg(long, value_name = "S")]
        seconds: Option<f64>,
        /// Write an HTML report with plots to this directory
        #[arg(long, value_name = "DIR")]
        report: Option<PathBuf>,
    },
    /// Runs a scenario with random fault schedules in virtual time, and saves each schedule that breaks a
    /// rule or after which service does not recover, minimized
    #[command(
        after_help = "Example:\n  daleturn lab hunt scenarios/brianza-day.toml --for 10m --out found\n\nExit codes: 0 \
                            nothing found, 1 a failure found, 2 invalid scenario."
    )]
    Hunt {
        /// The scenario to which faults are added
        #[arg(value_name = "FILE")]
        file: PathBuf,
        /// Duration of the search
        #[arg(long = "for", value_name = "TIME", default_value = "1m",
              value_parser = |t: &str| daleturn::operator_call::OperatorCall::parse_time_s(t).map_err(|e| e.to_string()))]
        for_s: u32,
        /// Seed of the schedules
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Directory for the scenarios that fail
        #[arg(long, value_name = "DIR", default_value = "found")]
        out: PathBuf,
    },
    /// Sends a line to the lab's restart service and waits for its OK; used by the commands of a release
    #[command(hide = true)]
    Poke {
        /// Address of the restart service
        address: std::net::SocketAddr,
        /// Words of the line
        words: Vec<String>,
    },
    /// Runs a scenario with each of the given values of a key
    #[command(after_help = "Example:\n  daleturn lab sweep scenarios/brianza-day.toml --set \
                            load.of_capacity=0.5,0.7,0.9 --seeds 3")]
    Sweep {
        /// The scenario
        #[arg(value_name = "FILE")]
        file: PathBuf,
        /// The key and its values
        #[arg(long, value_name = "KEY=V1,V2,...")]
        set: String,
        /// Number of seeds for each value
        #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..=100))]
        seeds: u64,
        /// Program of the node
        #[arg(long, value_name = "PATH")]
        node: Option<PathBuf>,
        /// Write an HTML report with a plot for each metric to this directory
        #[arg(long, value_name = "DIR")]
        report: Option<PathBuf>,
    },
}

#[derive(Debug, clap::Args)]
pub struct ScenarioArgs {
    /// The scenario
    #[arg(value_name = "FILE")]
    file: PathBuf,
    /// Seed; default: the scenario's seed
    #[arg(long)]
    seed: Option<u64>,
    /// Program of the node; default: the one in this command's directory
    #[arg(long, value_name = "PATH")]
    node: Option<PathBuf>,
    /// Program of the version that an upgrade starts
    #[arg(long, value_name = "PATH")]
    next: Option<PathBuf>,
}

/// Returns the path of the node's program: the given one, or the one in this command's directory or the two
/// above it.
pub fn node_program(given: Option<&Path>) -> Result<PathBuf, String> {
    if let Some(path) = given {
        return if path.is_file() {
            Ok(path.to_owned())
        } else {
            Err(format!("{}: not a file", path.display()))
        };
    }
    let own_program = std::env::current_exe().map_err(|e| e.to_string())?;
    find_program(&own_program, "daleturn-node").ok_or_else(|| {
        "daleturn-node is not in this command's directory or the two above: name it with --node".to_owned()
    })
}

/// Returns a node's program and its arguments, given its path or `baseline:NAME`.
fn node_command(spec: &str) -> Result<(PathBuf, Vec<String>), String> {
    let Some(name) = spec.strip_prefix("baseline:") else {
        return Ok((node_program(Some(Path::new(spec)))?, Vec::new()));
    };
    if Pick::named(name).is_none() {
        let names: Vec<&str> = Pick::ALL.iter().map(|(name, _)| *name).collect();
        return Err(format!("there is no baseline {name:?}; there are {}", names.join(", ")));
    }
    let own_program = std::env::current_exe().map_err(|e| e.to_string())?;
    Ok((own_program, vec!["baseline".to_owned(), name.to_owned()]))
}

/// Serves as the given baseline until it is stopped.
pub fn baseline(name: &str) -> Result<ExitCode, Failure> {
    let pick = Pick::named(name).ok_or_else(|| format!("there is no baseline {name:?}"))?;
    serve(pick)?;
    Ok(ExitCode::SUCCESS)
}

/// Returns the options of a run with default values.
fn options(program: PathBuf, stop: &watch::Receiver<bool>) -> Options {
    Options {
        node: program,
        node_args: Vec::new(),
        next: None,
        logs: None,
        ready: READY_TIMEOUT,
        stop: stop.clone(),
    }
}

/// Runs `work` on its own runtime. Ctrl-C sets the flag that `work` receives, so it can stop all processes
/// before it ends.
fn run_until_interrupted<T>(work: impl AsyncFnOnce(watch::Receiver<bool>) -> T) -> Result<T, String> {
    let (stop, stopped) = watch::channel(false);
    block_on(async move {
        tokio::spawn(async move {
            if tokio::signal::ctrl_c().await.is_ok() {
                let _ = stop.send(true);
            }
            // The listener for Ctrl-C stays installed: a second Ctrl-C has no effect.
            std::future::pending::<()>().await;
        });
        work(stopped).await
    })
    .map_err(|e| e.to_string())
}

/// Formats a share (0 to 1) as a bar of `width` characters.
fn bar(share: f64, width: usize) -> String {
    let full = (share.clamp(0.0, 1.0) * width as f64).round() as usize;
    format!("{}{}", "#".repeat(full), ".".repeat(width - full))
}

/// Returns a callback that prints the progress of a run if standard error is a terminal.
fn progress_printer(seconds: f64) -> impl FnMut(&RunSnapshot) {
    let shown = std::io::stderr().is_terminal();
    move |m: &RunSnapshot| {
        if shown {
            let faults = if m.active_faults.is_empty() {
                String::new()
            } else {
                format!("  {}", m.active_faults.join("; "))
            };
            let line = format!("{:5.1} of {seconds:.0} s  served {:.3}{faults}", m.at_s, m.served);
            eprint!("\r\x1b[K{line:.110}");
        }
    }
}

/// Clears the line that `progress_printer` has printed.
fn clear_progress_line() {
    if std::io::stderr().is_terminal() {
        eprint!("\r\x1b[K");
    }
}

/// Reads a scenario. On an error, prints it and returns exit code 2.
fn read_scenario(file: &Path) -> Result<Scenario, ExitCode> {
    Scenario::read(file).map_err(|e| {
        eprintln!("daleturn: {}: {e}", file.display());
        ExitCode::from(2)
    })
}

/// Tests random fault schedules on all processors until the time is up, and saves those that fail.
fn run_hunt(file: &Path, for_s: u32, seed: u64, out: &Path) -> Result<ExitCode, Failure> {
    let base = match read_scenario(file) {
        Ok(scenario) => scenario,
        Err(code) => return Ok(code),
    };
    let deadline = std::time::Instant::now() + std::time::Duration::from_secs(for_s.into());
    let next = std::sync::atomic::AtomicU64::new(0);
    let thread_count = std::thread::available_parallelism().map_or(1, usize::from);
    let found = std::thread::scope(|scope| {
        let work = || {
            let mut found = Vec::new();
            while std::time::Instant::now() < deadline {
                let n = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                match hunt(&base, seed, n) {
                    Ok(schedule) => found.extend(schedule),
                    Err(e) => return Err(e.to_string()),
                }
            }
            Ok(found)
        };
        let threads: Vec<_> = (0..thread_count).map(|_| scope.spawn(work)).collect();
        let all = threads
            .into_iter()
            .map(|t| t.join().map_err(|_| "a thread of the search panicked".to_owned())?);
        all.collect::<Result<Vec<_>, String>>()
    });
    let found: Vec<_> = found?.into_iter().flatten().collect();
    for schedule in &found {
        std::fs::create_dir_all(out).map_err(|e| format!("{}: {e}", out.display()))?;
        let path = out.join(format!("{}.toml", schedule.scenario.name));
        let text = toml::to_string(&schedule.scenario).map_err(|e| e.to_string())?;
        std::fs::write(&path, text).map_err(|e| format!("{}: {e}", path.display()))?;
        let (before, after) = schedule.fault_counts;
        print(&format!("{}: {} ({before} troubles, {after} matter)\n", path.display(), schedule.reason))?;
    }
    let played = next.into_inner();
    print(&format!("hunt: {} seed {seed}: {played} schedules, {} found\n", base.name, found.len()))?;
    Ok(if found.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Runs a scenario in virtual time, once for each seed.
fn run_sim(file: &Path, seed: Option<u64>, seeds: u64, json: Option<&Path>) -> Result<ExitCode, Failure> {
    let scenario = match read_scenario(file) {
        Ok(scenario) => scenario,
        Err(code) => return Ok(code),
    };
    let mut kept = true;
    let mut worth_by_seed = Vec::new();
    for n in 0..seeds {
        let started = std::time::Instant::now();
        let outcome = match simulate(&scenario, seed.unwrap_or(scenario.seed) + n) {
            Ok(outcome) => outcome,
            Err(e) => {
                eprintln!("daleturn: {}: {e}", file.display());
                return Ok(ExitCode::from(2));
            }
        };
        let f = &outcome.figures;
        kept &= outcome.verdict == daleturn_lab::checker::Verdict::Kept;
        worth_by_seed.push(f.worth);
        if n + 1 == seeds {
            let took = started.elapsed().as_secs_f64();
            let mut rows = checker_metrics(f);
            rows.extend([("events", outcome.events as f64), ("seconds it took", took)]);
            let rows = rows.iter().map(|(n, v)| vec![(*n).to_owned(), format!("{v:.3}")]).collect();
            print(&table(&["figure", "value"], rows))?;
            for (name, ms) in &f.recover_ms {
                let back = ms.map_or_else(|| "never".to_owned(), |ms| format!("{:.1} s", ms / 1000.0));
                print(&format!("back after {name}: {back}\n"))?;
            }
            print(&format!("course {:016x}\n", outcome.course))?;
            if let Some(path) = json {
                let text = serde_json::to_string(&outcome).map_err(|e| e.to_string())?;
                std::fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()))?;
            }
        }
        print(&format!("{}\n", outcome.line()))?;
    }
    if seeds > 1 {
        let m = mean(&worth_by_seed);
        print(&format!("worth {:.4} +- {:.4} over {seeds} seeds\n", m.mean, m.half))?;
    }
    Ok(if kept { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Returns the metrics by which a real and a virtual run are compared.
fn compared_metrics(f: &Figures) -> Vec<(&'static str, f64)> {
    let back = f.recover_ms.iter().map(|(_, ms)| ms.unwrap_or(f64::NAN) / 1000.0);
    vec![
        ("worth", f.worth),
        ("worst 5 s", f.worst_5s),
        ("attempts", f.attempts),
        ("crossings", f.crossings),
        ("wasted", f.wasted as f64),
        ("recovery s", back.fold(0.0, f64::max)),
    ]
}

/// Compares runs of node processes with runs in virtual time, scenario by scenario.
fn agree(files: &[PathBuf], seeds: u64, program: &Path) -> Result<ExitCode, Failure> {
    let mut rows = Vec::new();
    for file in files {
        let scenario = match read_scenario(file) {
            Ok(scenario) => scenario,
            Err(code) => return Ok(code),
        };
        if let Err(e) = simulate(&Scenario { seconds: 1.0, ..scenario.clone() }, scenario.seed) {
            print(&format!("{}: left out: {e}\n", scenario.name))?;
            continue;
        }
        let (mut real, mut simulated, mut late_runs) = (Vec::new(), Vec::new(), 0);
        for seed in scenario.seed..scenario.seed + seeds {
            let played = run_until_interrupted(async |stop| {
                play(
                    &scenario,
                    seed,
                    &options(program.to_owned(), &stop),
                    progress_printer(scenario.seconds),
                )
                .await
            })?;
            clear_progress_line();
            let outcome = played.map_err(|e| format!("{}: {e}", scenario.name))?;
            if matches!(outcome.verdict, daleturn_lab::checker::Verdict::Late(_)) {
                // A run that was too late does not count; its virtual counterpart is left out as well.
                late_runs += 1;
                continue;
            }
            let sim_outcome = simulate(&scenario, seed).map_err(|e| format!("{}: {e}", scenario.name))?;
            real.push(compared_metrics(&outcome.figures));
            simulated.push(compared_metrics(&sim_outcome.figures));
        }
        let names: Vec<&str> = real.first().into_iter().flatten().map(|f| f.0).collect();
        for (n, name) in names.iter().enumerate() {
            let of =
                |runs: &[Vec<(&'static str, f64)>]| runs.iter().map(|run| run[n].1).collect::<Vec<f64>>();
            let (a, b) = (of(&real), of(&simulated));
            let difference = paired(&a, &b);
            rows.push(vec![
                if n == 0 { format!("{} ({} days)", scenario.name, real.len()) } else { String::new() },
                (*name).to_owned(),
                format!("{:.3}", mean(&a).mean),
                format!("{:.3}", mean(&b).mean),
                format!("{:+.4}", difference.mean),
                format!("{:.4}", difference.half),
            ]);
        }
        if late_runs > 0 {
            print(&format!(
                "{}: the lab was late on {late_runs} days, which are left out\n",
                scenario.name
            ))?;
        }
    }
    print(&table(&["day", "figure", "real", "virtual", "virtual - real", "+- 95%"], rows))?;
    Ok(ExitCode::SUCCESS)
}

/// Returns the peak memory of a process so far, in MB.
fn peak_mb(pid: u32) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).unwrap_or_default();
    line.trim().trim_end_matches("kB").trim().parse::<f64>().unwrap_or(f64::NAN) / 1024.0
}

/// Runs a scenario in virtual time at several sizes and fits the growth of its cost.
fn grow(
    file: &Path,
    sizes: &[usize],
    seconds: Option<f64>,
    report: Option<&Path>,
) -> Result<ExitCode, Failure> {
    let full = match read_scenario(file) {
        Ok(scenario) => scenario,
        Err(code) => return Ok(code),
    };
    let own_program = std::env::current_exe().map_err(|e| e.to_string())?;
    let dir = std::env::temp_dir().join(format!("daleturn-grow-{}", std::process::id()));
    std::fs::create_dir_all(&dir).map_err(|e| format!("{}: {e}", dir.display()))?;
    let headings = ["nodes", "took s", "peak MB", "events", "decisions us", "shared us", "zones us"];
    let mut rows = Vec::new();
    let mut points: Vec<Vec<(f64, f64)>> = vec![Vec::new(); headings.len()];
    for &nodes in sizes {
        let scale = nodes as f64 / full.fleet.nodes.max(1) as f64;
        let mut scenario = full.clone();
        scenario.fleet.nodes = nodes.max(1);
        scenario.fleet.servers =
            ((full.fleet.servers as f64 * scale).round() as usize).max(full.fleet.zones.len());
        scenario.load.rate = full.load.rate * scale;
        scenario.seconds = seconds.unwrap_or(full.seconds);
        let path = dir.join(format!("{nodes}.toml"));
        let text = toml::to_string(&scenario).map_err(|e| e.to_string())?;
        std::fs::write(&path, text).map_err(|e| format!("{}: {e}", path.display()))?;
        let out = dir.join(format!("{nodes}.json"));
        let started = std::time::Instant::now();
        // Each size runs in its own process, since a process's peak memory includes all earlier sizes.
        let mut child = std::process::Command::new(&own_program)
            .args(["lab", "sim"])
            .arg(&path)
            .arg("--json")
            .arg(&out)
            .stdout(std::process::Stdio::null())
            .spawn()
            .map_err(|e| e.to_string())?;
        let mut peak: f64 = 0.0;
        while child.try_wait().map_err(|e| e.to_string())?.is_none() {
            peak = peak.max(peak_mb(child.id()));
            std::thread::sleep(std::time::Duration::from_millis(20));
        }
        let took = started.elapsed().as_secs_f64();
        let text = std::fs::read_to_string(&out).map_err(|e| format!("{}: {e}", out.display()))?;
        let outcome: serde_json::Value = serde_json::from_str(&text).map_err(|e| e.to_string())?;
        // Wall-clock microseconds spent in each part of a node for one second of the scenario.
        let of = |n: usize| {
            outcome["spent_s"][n].as_f64().unwrap_or(0.0) * 1e6 / (nodes as f64 * scenario.seconds)
        };
        let figures =
            [nodes as f64, took, peak, outcome["events"].as_f64().unwrap_or(0.0), of(0), of(1), of(2)];
        rows.push(figures.iter().map(|f| format!("{f:.1}")).collect::<Vec<_>>());
        for (n, f) in figures.iter().enumerate().filter(|(_, f)| **f > 0.0) {
            points[n].push(((nodes as f64).ln(), f.ln()));
        }
    }
    let _ = std::fs::remove_dir_all(&dir);
    rows.push(
        std::iter::once("exponent".to_owned())
            .chain(points[1..].iter().map(|p| format!("{:.2}", daleturn_lab::stats::slope(p))))
            .collect(),
    );
    print(&table(&headings, rows))?;
    if let Some(dir) = report {
        let values: Vec<String> = sizes.iter().map(usize::to_string).collect();
        let curves: Vec<report::Curve> = (1..headings.len())
            .map(|n| report::Curve {
                name: format!("{} (exponent {:.2})", headings[n], daleturn_lab::stats::slope(&points[n])),
                points: points[n].iter().map(|p| (p.1.exp(), f64::INFINITY)).collect(),
            })
            .collect();
        let title = format!("{} by number of nodes", full.name);
        report::experiment(dir, &title, &values, &curves).map_err(|e| format!("{}: {e}", dir.display()))?;
    }
    Ok(ExitCode::SUCCESS)
}

/// Sends one line to the lab's restart service and prints the answer.
fn poke(address: std::net::SocketAddr, words: &[String]) -> Result<ExitCode, Failure> {
    use std::io::{Read, Write};
    let answer = std::net::TcpStream::connect(address).and_then(|mut s| {
        s.write_all(format!("{}\n", words.join(" ")).as_bytes())?;
        let mut text = String::new();
        s.read_to_string(&mut text)?;
        Ok(text)
    });
    let answer = answer.map_err(|e| format!("{address}: {e}"))?;
    print(&answer)?;
    Ok(if answer.starts_with("OK") { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Runs a subcommand.
pub fn run(command: &Command) -> Result<ExitCode, Failure> {
    match command {
        Command::Poke { address, words } => poke(*address, words),
        Command::Agree { files, seeds, node: given } => {
            agree(files, *seeds, &node_program(given.as_deref())?)
        }
        Command::Grow { file, nodes, seconds, report } => grow(file, nodes, *seconds, report.as_deref()),
        Command::Hunt { file, for_s, seed, out } => run_hunt(file, *for_s, *seed, out),
        Command::Sim { file, seed, seeds, json } => run_sim(file, *seed, *seeds, json.as_deref()),
        Command::Run { run_args, json, report: report_dir, logs, baseline } => {
            let scenario = match read_scenario(&run_args.file) {
                Ok(scenario) => scenario,
                Err(code) => return Ok(code),
            };
            let seed = run_args.seed.unwrap_or(scenario.seed);
            let (path, args) = match baseline {
                None => (node_program(run_args.node.as_deref())?, Vec::new()),
                Some(name) => node_command(&format!("baseline:{name}"))?,
            };
            let played = run_until_interrupted(async |stop| {
                let options = Options {
                    node_args: args,
                    next: run_args.next.clone(),
                    logs: logs.clone(),
                    ..options(path, &stop)
                };
                play(&scenario, seed, &options, progress_printer(scenario.seconds)).await
            })?;
            clear_progress_line();
            let outcome = match played {
                Ok(outcome) => outcome,
                Err(e @ PlayError::NotReady { .. }) => {
                    print(&format!("lab: {} seed {seed}: BROKEN {e}\n", scenario.name))?;
                    return Ok(ExitCode::FAILURE);
                }
                Err(e) => return Err(format!("{}: {e}", scenario.name).into()),
            };
            if let Some(path) = json {
                let text = serde_json::to_string_pretty(&outcome).map_err(|e| e.to_string())?;
                std::fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()))?;
            }
            if let Some(dir) = report_dir {
                let plan = Plan::draw(&scenario, seed);
                report::write(dir, &plan, &outcome).map_err(|e| format!("{}: {e}", dir.display()))?;
            }
            print(&format_summary(&outcome))?;
            print(&format!("{}\n", outcome.line()))?;
            let kept = matches!(outcome.verdict, daleturn_lab::checker::Verdict::Kept);
            Ok(if kept { ExitCode::SUCCESS } else { ExitCode::FAILURE })
        }
        Command::Compare { file, a, b, pairs, set_a, set_b } => {
            let side_scenario = |overrides: &[String]| -> Result<Scenario, ExitCode> {
                scenario_with_overrides(file, overrides).map_err(|why| {
                    eprintln!("daleturn: {why}");
                    ExitCode::from(2)
                })
            };
            let scenarios = match (side_scenario(set_a), side_scenario(set_b)) {
                (Ok(a), Ok(b)) => [a, b],
                (Err(code), _) | (_, Err(code)) => return Ok(code),
            };
            let runs = compare(&scenarios, [node_command(a)?, node_command(b)?], *pairs)?;
            let broken = |side: usize| runs[side].iter().filter(|o| !o.figures.broken.is_empty()).count();
            print(&format!("days with a broken rule: a {}, b {} of {pairs}\n", broken(0), broken(1)))?;
            Ok(ExitCode::SUCCESS)
        }
        Command::Load { address, rate, for_s, limit, connections, path, header, seed, json } => {
            let field = |f: &String| {
                let (name, value) = f.split_once(':').ok_or(format!("--header {f:?}: NAME: VALUE"))?;
                Ok::<_, String>((name.trim().to_owned(), value.trim().to_owned()))
            };
            let load = Load {
                address: *address,
                path: path.clone(),
                headers: header.iter().map(field).collect::<Result<_, _>>()?,
                rate: *rate,
                length: std::time::Duration::from_secs((*for_s).into()),
                limit: std::time::Duration::from_millis(*limit),
                connections: *connections,
                seed: *seed,
            };
            run_load(load, json.as_deref())
        }
        Command::Capacity(args) => crate::capacity::run(args),
        Command::Cost { node: given, pairs } => cost(node_program(given.as_deref())?, *pairs),
        Command::Sweep { file, set, seeds, node: given, report } => {
            let program = node_program(given.as_deref())?;
            sweep(file, set, *seeds, &program, report.as_deref())
        }
    }
}

/// Returns the metrics of a run with node processes, by name.
fn run_metrics(o: &Outcome) -> Vec<(&'static str, f64)> {
    let mut all = checker_metrics(&o.figures);
    all.extend([("node CPU us a try", o.cpu_us), ("lab late p99 ms", o.figures.lateness_ms)]);
    all
}

/// Returns the checker's metrics, by name.
fn checker_metrics(f: &Figures) -> Vec<(&'static str, f64)> {
    vec![
        ("worth", f.worth),
        ("worth less crossings", f.worth_less_crossings),
        ("worst 5 s", f.worst_5s),
        ("worst class", f.worst_class),
        ("worst tenant", f.worst_tenant),
        ("tries", f.tries),
        ("refused", f.refused as f64),
        ("failed", f.failed as f64),
        ("attempts", f.attempts),
        ("wasted", f.wasted as f64),
        ("known keys", f.known_keys),
        ("crossings", f.crossings),
        ("probes", f.probes as f64),
        ("handshakes", f.handshakes as f64),
        ("datagrams", f.datagrams as f64),
        ("discovery calls", f.calls as f64),
        ("most calls a second", f.most_a_second[0] as f64),
        ("most probes a second", f.most_a_second[1] as f64),
        ("most handshakes a second", f.most_a_second[2] as f64),
        ("most datagrams a second", f.most_a_second[3] as f64),
        ("zone load swing", f.zone_swing),
        ("answer p50 ms", f.answer_ms[0]),
        ("answer p99 ms", f.answer_ms[2]),
    ]
}

/// Formats the results of a run as a table and some lines of text.
fn format_summary(o: &Outcome) -> String {
    let rows: Vec<Vec<String>> = run_metrics(o)
        .into_iter()
        .map(|(name, value)| vec![name.to_owned(), format!("{value:.3}")])
        .collect();
    let mut out = table(&["figure", "value"], rows);
    if let Some(r) = &o.figures.release {
        let _ = writeln!(
            out,
            "release {}: {}, {} on the new version, {} restarts",
            r.stands, r.why, r.on_new, r.restarts
        );
    }
    if let Some(r) = &o.figures.returns {
        let [p50, p99, worst] = r.first_ms;
        // Writing to a `String` cannot fail.
        let _ = writeln!(
            out,
            "{} starts under load: first answer after {p50:.0}, {p99:.0}, {worst:.0} ms (p50, p99, worst), of which a \
             bare start is {:.0}; none from {}; served {:.4} of their first 2 s, the others {:.4}",
            r.times,
            o.start_ms.unwrap_or(f64::NAN),
            r.unanswered,
            r.served,
            r.others
        );
    }
    if o.disk_bytes > 0 {
        let _ = writeln!(out, "{} bytes written to disk", o.disk_bytes);
    }
    for (name, ms) in &o.figures.recover_ms {
        let back = ms.map_or_else(|| "never".to_owned(), |ms| format!("{:.1} s", ms / 1000.0));
        // Writing to a `String` cannot fail.
        let _ = writeln!(out, "back after {name}: {back}");
    }
    out
}

/// Reads a scenario with some of its keys overridden.
fn scenario_with_overrides(file: &Path, overrides: &[String]) -> Result<Scenario, String> {
    let with_file_name = |e: String| format!("{}: {e}", file.display());
    if overrides.is_empty() {
        return Scenario::read(file).map_err(|e| with_file_name(e.to_string()));
    }
    let text = daleturn::files::read_text(file, 1 << 20).map_err(|e| with_file_name(e.to_string()))?;
    let mut content: toml::Table = text.parse().map_err(|e| with_file_name(format!("{e}")))?;
    for item in overrides {
        let (key, value) = item.split_once('=').ok_or_else(|| format!("{item:?} is not KEY=VALUE"))?;
        set_key(&mut content, key, value)?;
    }
    Scenario::parse(&content.to_string()).map_err(|e| format!("with {}: {e}", overrides.join(" ")))
}

/// Sets a key, given by its path, to a TOML value. A value that is not valid TOML is used as a string.
fn set_key(content: &mut toml::Table, key: &str, value: &str) -> Result<(), String> {
    let parsed = format!("v = {value}").parse::<toml::Table>().ok().and_then(|mut t| t.remove("v"));
    let parsed = parsed.unwrap_or_else(|| toml::Value::String(value.to_owned()));
    let mut parts: Vec<&str> = key.split('.').collect();
    let last = parts.pop().filter(|l| !l.is_empty()).ok_or("there is no key")?;
    let mut at = content;
    for part in parts {
        let next = at.entry(part).or_insert_with(|| toml::Value::Table(toml::Table::new()));
        at = next.as_table_mut().ok_or_else(|| format!("{part} is not a table"))?;
    }
    at.insert(last.to_owned(), parsed);
    Ok(())
}

/// Sends load to an address and prints the response times.
fn run_load(load: Load, json: Option<&Path>) -> Result<ExitCode, Failure> {
    let terminal = std::io::stderr().is_terminal();
    let on_second = |second: u64, result: &LoadResult| {
        if terminal {
            eprint!("\r\x1b[K{second} s  due {}  p99 {:.1} ms", result.due, result.answer_ms[2]);
        }
    };
    let result =
        run_until_interrupted(async |stop| load.run(stop, on_second).await)?.map_err(|e| e.to_string())?;
    clear_progress_line();
    if let Some(path) = json {
        let text = serde_json::to_string_pretty(&result).map_err(|e| e.to_string())?;
        std::fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()))?;
    }
    let mut rows = vec![vec!["due".to_owned(), result.due.to_string()]];
    rows.extend(result.status.iter().map(|(s, n)| vec![format!("status {s}"), n.to_string()]));
    rows.extend(result.failed.iter().map(|(why, n)| vec![(*why).to_owned(), n.to_string()]));
    for (what, times) in [("from due", &result.answer_ms), ("from sent", &result.sent_ms)] {
        for (q, ms) in ["p50", "p90", "p99", "p99.9", "worst"].iter().zip(times) {
            rows.push(vec![format!("{what} {q} ms"), format!("{ms:.3}")]);
        }
    }
    rows.push(vec!["this load late p99 ms".to_owned(), format!("{:.3}", result.late_ms)]);
    print(&table(&["figure", "value"], rows))?;
    let answered: u64 = result.status.values().sum();
    Ok(if answered == result.due { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Measures the node's cost compared with a pass-through: CPU per request at a fixed rate, maximum
/// throughput, response time added at 70 % of the lower throughput, and memory of an idle connection.
fn cost(program_path: PathBuf, pairs: u64) -> Result<ExitCode, Failure> {
    let sides = [node_command("baseline:pass")?, (program_path, Vec::new())];
    let scenarios = |overrides: &[(&str, String)]| -> Result<[Scenario; 2], String> {
        let mut content: toml::Table = COST_SCENARIO.parse().map_err(|e| format!("cost: {e}"))?;
        for (key, value) in overrides {
            set_key(&mut content, key, value)?;
        }
        let scenario = Scenario::parse(&content.to_string()).map_err(|e| format!("cost: {e}"))?;
        Ok([scenario.clone(), scenario])
    };
    let mean_of = |runs: &[Outcome], metric: &dyn Fn(&Outcome) -> f64| {
        mean(&runs.iter().map(metric).collect::<Vec<f64>>()).mean
    };
    print("CPU of a try, 1,500 requests a second:\n")?;
    compare(&scenarios(&[])?, sides.clone(), pairs)?;
    print("\nThe most that is passed on, 64 clients in a closed loop:\n")?;
    let closed = [("load.closed", "64".to_owned()), ("load.rate", "40000".to_owned())];
    let runs = compare(&scenarios(&closed)?, sides.clone(), pairs)?;
    let per_second = |o: &Outcome| o.figures.asked as f64 / 10.0;
    let max_rates = [mean_of(&runs[0], &per_second), mean_of(&runs[1], &per_second)];
    print(&format!("a second: pass {:.0}, node {:.0}\n", max_rates[0], max_rates[1]))?;
    let mut load_share = 0.7;
    let runs = loop {
        let rate = load_share * max_rates[0].min(max_rates[1]);
        print(&format!(
            "\nAdded to an answer at {:.0} % of the lesser, {rate:.0} a second:\n",
            load_share * 100.0
        ))?;
        let runs = compare(&scenarios(&[("load.rate", format!("{rate:.0}"))])?, sides.clone(), pairs)?;
        let lateness_ms = runs.iter().flatten().map(|o| o.figures.lateness_ms).fold(0.0, f64::max);
        if lateness_ms <= MAX_LATENESS_MS || load_share < 0.1 {
            break runs;
        }
        // The lab's own lateness would be counted as the node's response time.
        print(&format!("the lab itself was late by {lateness_ms:.1} ms: again with half of that\n"))?;
        load_share /= 2.0;
    };
    for (n, name) in ["p50", "p90", "p99", "p99.9"].iter().enumerate() {
        let ms = |o: &Outcome| o.figures.answer_ms[n];
        let added = 1000.0 * (mean_of(&runs[1], &ms) - mean_of(&runs[0], &ms));
        print(&format!("{name}: {added:+.0} us\n"))?;
    }
    let memory = |o: &Outcome| o.memory_kb.first().copied().flatten().unwrap_or(0) as f64;
    let idle = |n: usize| -> Result<[f64; 2], Failure> {
        let overrides = [
            ("load.idle", n.to_string()),
            ("load.rate", "20".to_owned()),
            ("seconds", "4".to_owned()),
            ("fleet.sockets", "2048".to_owned()),
        ];
        let runs = compare(&scenarios(&overrides)?, sides.clone(), 1)?;
        Ok([mean_of(&runs[0], &memory), mean_of(&runs[1], &memory)])
    };
    print("\nMemory of open connections, 20 requests a second:\n")?;
    let (none, many) = (idle(0)?, idle(500)?);
    let each = |side: usize| (many[side] - none[side]) / 500.0;
    print(&format!("each: pass {:.1} kB, node {:.1} kB\n", each(0), each(1)))?;
    Ok(ExitCode::SUCCESS)
}

/// Runs both sides once for each seed and prints the differences of their metrics.
fn compare(
    scenarios: &[Scenario; 2],
    sides: [(PathBuf, Vec<String>); 2],
    pairs: u64,
) -> Result<[Vec<Outcome>; 2], Failure> {
    let mut runs: [Vec<Outcome>; 2] = [Vec::new(), Vec::new()];
    let played = run_until_interrupted(async |stop| {
        for pair in 0..pairs {
            let seed = scenarios[0].seed + pair;
            // The sides alternate in going first.
            let mut order = [0, 1];
            if pair % 2 == 1 {
                order.reverse();
            }
            for side in order {
                let (program, args) = sides[side].clone();
                let scenario = &scenarios[side];
                let options = Options { node_args: args, ..options(program, &stop) };
                let outcome = play(scenario, seed, &options, progress_printer(scenario.seconds)).await?;
                clear_progress_line();
                eprintln!("{}: {}", if side == 0 { "a" } else { "b" }, outcome.line());
                runs[side].push(outcome);
            }
        }
        Ok::<(), PlayError>(())
    })?;
    played.map_err(|e| e.to_string())?;
    let metric =
        |side: usize, n: usize| -> Vec<f64> { runs[side].iter().map(|o| run_metrics(o)[n].1).collect() };
    let names: Vec<&str> = run_metrics(&runs[0][0]).into_iter().map(|(name, _)| name).collect();
    let rows = names.iter().enumerate().map(|(n, name)| {
        let (a, b) = (metric(0, n), metric(1, n));
        let difference = paired(&a, &b);
        vec![
            (*name).to_owned(),
            format!("{:.3}", mean(&a).mean),
            format!("{:.3}", mean(&b).mean),
            format!("{:+.4}", difference.mean),
            format!("{:.4}", difference.half),
            if difference.is_significant() { "yes" } else { "no" }.to_owned(),
        ]
    });
    print(&table(&["figure", "a", "b", "b - a", "+- 95%", "shows"], rows.collect()))?;
    Ok(runs)
}

/// Runs a scenario for each value of a key and prints the metrics as a table.
fn sweep(
    file: &Path,
    set: &str,
    seeds: u64,
    program: &Path,
    report: Option<&Path>,
) -> Result<ExitCode, Failure> {
    let usage_error = |why: &str| {
        eprintln!("daleturn: {why}");
        Ok(ExitCode::from(2))
    };
    let Some((key, values)) = set.split_once('=') else { return usage_error("--set takes KEY=V1,V2,...") };
    let mut rows: Vec<Vec<String>> = Vec::new();
    let mut curves: Vec<report::Curve> = Vec::new();
    for value in values.split(',') {
        let scenario = match scenario_with_overrides(file, &[format!("{key}={value}")]) {
            Ok(scenario) => scenario,
            Err(e) => return usage_error(&e),
        };
        let played = run_until_interrupted(async |stop| {
            let mut runs = Vec::new();
            for n in 0..seeds {
                let options = options(program.to_owned(), &stop);
                let seed = scenario.seed + n;
                runs.push(play(&scenario, seed, &options, progress_printer(scenario.seconds)).await?);
                clear_progress_line();
            }
            Ok::<_, PlayError>(runs)
        })?;
        let runs = played.map_err(|e| e.to_string())?;
        let names = run_metrics(&runs[0]);
        let mut row = vec![value.to_owned()];
        if curves.is_empty() {
            let curve = |n: &(&str, f64)| report::Curve { name: n.0.to_owned(), points: Vec::new() };
            curves = names.iter().map(curve).collect();
        }
        row.extend((0..names.len()).map(|n| {
            let m = mean(&runs.iter().map(|o| run_metrics(o)[n].1).collect::<Vec<f64>>());
            curves[n].points.push((m.mean, m.half));
            if m.half.is_finite() {
                format!("{:.3} +- {:.3}", m.mean, m.half)
            } else {
                format!("{:.3}", m.mean)
            }
        }));
        let broken = runs.iter().filter(|o| !o.figures.broken.is_empty()).count();
        row.push(broken.to_string());
        if rows.is_empty() {
            rows.push(
                std::iter::once(key.to_owned()).chain(names.iter().map(|n| n.0.to_owned())).collect(),
            );
            if let Some(headings) = rows.first_mut() {
                headings.push("broken days".to_owned());
            }
        }
        rows.push(row);
    }
    if let Some(dir) = report {
        let values: Vec<String> = values.split(',').map(str::to_owned).collect();
        let title = format!("{} by {key}, {seeds} seeds each", file.display());
        report::experiment(dir, &title, &values, &curves).map_err(|e| format!("{}: {e}", dir.display()))?;
    }
    // One row for each metric and one column for each value, since there are more metrics than values.
    let headings: Vec<&str> = rows.iter().map(|r| r[0].as_str()).collect();
    let lines = (1..rows[0].len()).map(|n| rows.iter().map(|r| r[n].clone()).collect());
    print(&table(&headings, lines.collect()))?;
    Ok(ExitCode::SUCCESS)
}

/// Runs a scenario with four nodes and twelve servers for twenty seconds and shows it live.
pub fn demo(given: Option<&Path>) -> Result<ExitCode, Failure> {
    let program = node_program(given)?;
    let scenario = Scenario::parse(DEMO_SCENARIO).map_err(|e| format!("demo: {e}"))?;
    let terminal = std::io::stdout().is_terminal();
    let seconds = scenario.seconds;
    let draw = |m: &RunSnapshot| {
        if !terminal {
            return;
        }
        let mut out = String::from("\x1b[2J\x1b[H");
        // Writing to a `String` cannot fail.
        let _ = writeln!(out, "daleturn demo: {:.1} of {seconds:.0} s\n", m.at_s.max(0.0));
        let _ = writeln!(out, "served   {} {:.3}", bar(m.served, 40), m.served);
        let _ = writeln!(out, "refused  {}    failed {}", m.refused, m.failed);
        let nodes: Vec<&str> = m.nodes.iter().map(|up| if *up { "up" } else { "--" }).collect();
        let _ = writeln!(out, "nodes    {}", nodes.join(" "));
        let _ = writeln!(out, "wrong    {}\n", m.active_faults.join("; "));
        let max_sent = m.servers.iter().copied().max().unwrap_or(0).max(1) as f64;
        for (n, sent) in m.servers.iter().enumerate() {
            let _ = writeln!(out, "s-{n:<3} {} {sent}", bar(*sent as f64 / max_sent, 40));
        }
        // A closed output does not end the demo.
        let _ = print(&out);
    };
    if !terminal {
        print("daleturn demo: four nodes, twelve servers, one of which goes bad and comes back; 20 s\n")?;
    }
    let played = run_until_interrupted(async |stop| {
        let options = options(program, &stop);
        play(&scenario, scenario.seed, &options, draw).await
    })?;
    match played {
        Ok(outcome) => {
            print(&format!("\n{}\n{}\n", format_summary(&outcome), outcome.line()))?;
            Ok(ExitCode::SUCCESS)
        }
        Err(PlayError::Stopped) => {
            print("\nended\n")?;
            Ok(ExitCode::SUCCESS)
        }
        Err(e) => Err(e.to_string().into()),
    }
}
