//! `daleturn lab` and `daleturn demo`: days played on this machine, and what came of them.

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

/// The day that `daleturn lab cost` plays.
const COST: &str = include_str!("../../../scenarios/cost.toml");
/// Times are not believed from a lab that is later than this at the 99th percentile, in milliseconds.
const MOST_LATE_MS: f64 = 1.0;
/// The day that `daleturn demo` plays.
const DEMO: &str = include_str!("../../../scenarios/demo.toml");

#[derive(Debug, Subcommand)]
pub enum Command {
    /// Plays a day with real node processes and judges it
    #[command(
        after_help = "Exit codes: 0 kept, 1 a rule or an expectation is broken, 2 not a scenario.\n\n\
                            Examples:\n  daleturn lab run scenarios/server-bad.toml\n  daleturn lab run \
                            scenarios/zone-lost.toml --seed 7 --report /tmp/zone-lost --logs /tmp/logs"
    )]
    Run {
        #[command(flatten)]
        day: Day,
        /// Write the outcome as JSON into this file
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
        /// Write a page with plots into this folder
        #[arg(long, value_name = "DIR")]
        report: Option<PathBuf>,
        /// Keep the nodes' logs in this folder
        #[arg(long, value_name = "DIR")]
        logs: Option<PathBuf>,
        /// Put a plain balancer in the node's place
        #[arg(long, value_name = "NAME")]
        baseline: Option<String>,
    },
    /// Plays the same days on two builds by turns: differences in pairs, so that the machine's noise cancels
    #[command(
        after_help = "Example:\n  daleturn lab compare scenarios/brianza-day.toml --a old/daleturn-node --b \
                            target/release/daleturn-node --pairs 5"
    )]
    Compare {
        /// The scenario
        #[arg(value_name = "FILE")]
        file: PathBuf,
        /// One node's program, or baseline:NAME
        #[arg(long, value_name = "PATH")]
        a: String,
        /// The other node's program
        #[arg(long, value_name = "PATH")]
        b: String,
        /// How many days, each with a seed of its own
        #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u64).range(1..=1000))]
        pairs: u64,
        /// A key of the scenario and its value, for the first side alone; may be given again
        #[arg(long, value_name = "KEY=VALUE")]
        set_a: Vec<String>,
        /// The same for the other side
        #[arg(long, value_name = "KEY=VALUE")]
        set_b: Vec<String>,
    },
    /// Sends load alone to an address of this machine: open loop, times from when each request was due
    #[command(
        after_help = "Example:\n  daleturn lab load 127.0.0.1:8080 --rate 500 --for 30s --path /api \\\n    --header \
                            'x-qos: catalogue'\n\nTimes count from the moment at which a request was due, so a server \
                            that stands still hides none\nof those behind it. Only 127.0.0.0/8 is asked."
    )]
    Load {
        /// Whom
        #[arg(value_name = "ADDR")]
        address: std::net::SocketAddr,
        /// Requests a second
        #[arg(long, default_value_t = 100.0)]
        rate: f64,
        /// How long
        #[arg(long = "for", value_name = "TIME", default_value = "10s",
              value_parser = |t: &str| daleturn::operator_call::OperatorCall::parse_time_s(t).map_err(|e| e.to_string()))]
        for_s: u32,
        /// A request's time, in milliseconds, from when it was due
        #[arg(long, value_name = "MS", default_value_t = 10_000)]
        limit: u64,
        /// Connections at most
        #[arg(long, default_value_t = 256)]
        connections: usize,
        /// Path of the request
        #[arg(long, default_value = "/")]
        path: String,
        /// A header field, NAME: VALUE; may be given again
        #[arg(long, value_name = "FIELD")]
        header: Vec<String>,
        /// Draws the moments
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Write the outcome as JSON into this file
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
    },
    /// Measures what each role costs at size, and draws slopes from it
    #[command(after_help = crate::capacity::EXAMPLES)]
    Capacity(crate::capacity::Args),
    /// Measures what the node costs beside a plain pass-through, in turns on one core each
    Cost {
        /// The node's program, in place of the one beside this command
        #[arg(long, value_name = "PATH")]
        node: Option<PathBuf>,
        /// How often each
        #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u64).range(1..=100))]
        pairs: u64,
    },
    /// Plays a day in virtual time: the real decisions of every node over modelled servers, clients and network
    #[command(
        after_help = "Example:\n  daleturn lab sim scenarios/zone-lost.toml --seed 7\n\nOne seed, one course of events. \
                            Troubles that need real processes are refused."
    )]
    Sim {
        /// The scenario
        #[arg(value_name = "FILE")]
        file: PathBuf,
        /// The seed, in place of the scenario's own
        #[arg(long)]
        seed: Option<u64>,
        /// How many seeds, one after another
        #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=1000))]
        seeds: u64,
        /// Write the last outcome as JSON into this file
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
    },
    /// Plays days on real processes and in virtual time, and shows where the two differ, seed by seed
    #[command(
        after_help = "Example:\n  daleturn lab agree scenarios/zone-lost.toml scenarios/server-bad.toml --seeds 10"
    )]
    Agree {
        /// The scenarios; those that cannot be played in virtual time are told and left out
        #[arg(value_name = "FILE", required = true)]
        files: Vec<PathBuf>,
        /// How many seeds for each
        #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..=100))]
        seeds: u64,
        /// The node's program
        #[arg(long, value_name = "PATH")]
        node: Option<PathBuf>,
    },
    /// Plays a scenario in virtual time with more and more nodes, and shows how time, memory and a node's work grow
    #[command(
        after_help = "Example:\n  daleturn lab grow scenarios/scale-1000.toml --nodes 10,30,100,300,1000 --report \
                            /tmp/growth\n\nServers and requests grow with the nodes; each size is a process of its own."
    )]
    Grow {
        /// The scenario, at its full size
        #[arg(value_name = "FILE")]
        file: PathBuf,
        /// Numbers of nodes
        #[arg(long, value_name = "N1,N2,...", value_delimiter = ',', default_value = "10,30,100,300")]
        nodes: Vec<usize>,
        /// Seconds of the day, in place of the scenario's own
        #[arg(long, value_name = "S")]
        seconds: Option<f64>,
        /// Write a page with plots into this folder
        #[arg(long, value_name = "DIR")]
        report: Option<PathBuf>,
    },
    /// Draws schedules of faults over a scenario, plays them in virtual time, and writes down what breaks, shrunk
    #[command(
        after_help = "Example:\n  daleturn lab hunt scenarios/brianza-day.toml --for 10m --out found\n\nExit codes: 0 \
                            nothing found, 1 something, 2 no scenario."
    )]
    Hunt {
        /// The scenario that the schedules are drawn over
        #[arg(value_name = "FILE")]
        file: PathBuf,
        /// How long
        #[arg(long = "for", value_name = "TIME", default_value = "1m",
              value_parser = |t: &str| daleturn::operator_call::OperatorCall::parse_time_s(t).map_err(|e| e.to_string()))]
        for_s: u32,
        /// Seed of the schedules
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Where to write the days that break
        #[arg(long, value_name = "DIR", default_value = "found")]
        out: PathBuf,
    },
    /// Hands one line to the lab's warden and takes its yes; a release's commands do that
    #[command(hide = true)]
    Poke {
        /// The warden
        address: std::net::SocketAddr,
        /// What to say
        words: Vec<String>,
    },
    /// Plays a day with a key of its scenario set to each of some values
    #[command(after_help = "Example:\n  daleturn lab sweep scenarios/brianza-day.toml --set \
                            load.of_capacity=0.5,0.7,0.9 --seeds 3")]
    Sweep {
        /// The scenario
        #[arg(value_name = "FILE")]
        file: PathBuf,
        /// The key and its values
        #[arg(long, value_name = "KEY=V1,V2,...")]
        set: String,
        /// How many seeds for each value
        #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..=100))]
        seeds: u64,
        /// The node's program
        #[arg(long, value_name = "PATH")]
        node: Option<PathBuf>,
        /// Write a page with a plot for each figure into this folder
        #[arg(long, value_name = "DIR")]
        report: Option<PathBuf>,
    },
}

#[derive(Debug, clap::Args)]
pub struct Day {
    /// The scenario
    #[arg(value_name = "FILE")]
    file: PathBuf,
    /// The seed, in place of the scenario's own
    #[arg(long)]
    seed: Option<u64>,
    /// The node's program, in place of the one beside this command
    #[arg(long, value_name = "PATH")]
    node: Option<PathBuf>,
    /// The program that an upgrade brings
    #[arg(long, value_name = "PATH")]
    next: Option<PathBuf>,
}

pub fn node(given: Option<&Path>) -> Result<PathBuf, String> {
    if let Some(path) = given {
        return if path.is_file() {
            Ok(path.to_owned())
        } else {
            Err(format!("{}: not a file", path.display()))
        };
    }
    let own = std::env::current_exe().map_err(|e| e.to_string())?;
    find_program(&own, "daleturn-node")
        .ok_or_else(|| "there is no daleturn-node beside this command: name it with --node".to_owned())
}

/// A node's program with its arguments, by its path or as `baseline:NAME`.
fn program(said: &str) -> Result<(PathBuf, Vec<String>), String> {
    let Some(name) = said.strip_prefix("baseline:") else {
        return Ok((node(Some(Path::new(said)))?, Vec::new()));
    };
    if Pick::named(name).is_none() {
        let names: Vec<&str> = Pick::ALL.iter().map(|(name, _)| *name).collect();
        return Err(format!("there is no baseline {name:?}; there are {}", names.join(", ")));
    }
    let own = std::env::current_exe().map_err(|e| e.to_string())?;
    Ok((own, vec!["baseline".to_owned(), name.to_owned()]))
}

/// Serves as a baseline.
pub fn baseline(name: &str) -> Result<ExitCode, Failure> {
    let pick = Pick::named(name).ok_or_else(|| format!("there is no baseline {name:?}"))?;
    serve(pick)?;
    Ok(ExitCode::SUCCESS)
}

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

/// Plays on a runtime of its own; Ctrl-C ends it and leaves no process behind.
fn with_stop<T>(work: impl AsyncFnOnce(watch::Receiver<bool>) -> T) -> Result<T, String> {
    let (stop, stopped) = watch::channel(false);
    block_on(async move {
        tokio::spawn(async move {
            if tokio::signal::ctrl_c().await.is_ok() {
                let _ = stop.send(true);
            }
            // A second one need not be waited for.
            std::future::pending::<()>().await;
        });
        work(stopped).await
    })
    .map_err(|e| e.to_string())
}

fn bar(share: f64, width: usize) -> String {
    let full = (share.clamp(0.0, 1.0) * width as f64).round() as usize;
    format!("{}{}", "#".repeat(full), ".".repeat(width - full))
}

fn progress(seconds: f64) -> impl FnMut(&RunSnapshot) {
    let shown = std::io::stderr().is_terminal();
    move |m: &RunSnapshot| {
        if shown {
            let wrong = if m.active_faults.is_empty() {
                String::new()
            } else {
                format!("  {}", m.active_faults.join("; "))
            };
            let line = format!("{:5.1} of {seconds:.0} s  served {:.3}{wrong}", m.at_s, m.served);
            eprint!("\r\x1b[K{line:.110}");
        }
    }
}

fn clear() {
    if std::io::stderr().is_terminal() {
        eprint!("\r\x1b[K");
    }
}

/// What goes wrong before anything is played is no scenario, exit code 2.
fn scenario(file: &Path) -> Result<Scenario, ExitCode> {
    Scenario::read(file).map_err(|e| {
        eprintln!("daleturn: {}: {e}", file.display());
        ExitCode::from(2)
    })
}

fn hunt_for(file: &Path, for_s: u32, seed: u64, out: &Path) -> Result<ExitCode, Failure> {
    let base = match scenario(file) {
        Ok(scenario) => scenario,
        Err(code) => return Ok(code),
    };
    let end = std::time::Instant::now() + std::time::Duration::from_secs(for_s.into());
    let next = std::sync::atomic::AtomicU64::new(0);
    let threads = std::thread::available_parallelism().map_or(1, usize::from);
    let found = std::thread::scope(|scope| {
        let work = || {
            let mut found = Vec::new();
            while std::time::Instant::now() < end {
                let n = next.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
                match hunt(&base, seed, n) {
                    Ok(one) => found.extend(one),
                    Err(e) => return Err(e.to_string()),
                }
            }
            Ok(found)
        };
        let hands: Vec<_> = (0..threads).map(|_| scope.spawn(work)).collect();
        let all =
            hands.into_iter().map(|h| h.join().map_err(|_| "a day could not be played".to_owned())?);
        all.collect::<Result<Vec<_>, String>>()
    });
    let found: Vec<_> = found?.into_iter().flatten().collect();
    for one in &found {
        std::fs::create_dir_all(out).map_err(|e| format!("{}: {e}", out.display()))?;
        let path = out.join(format!("{}.toml", one.scenario.name));
        let text = toml::to_string(&one.scenario).map_err(|e| e.to_string())?;
        std::fs::write(&path, text).map_err(|e| format!("{}: {e}", path.display()))?;
        let (before, after) = one.fault_counts;
        print(&format!("{}: {} ({before} troubles, {after} matter)\n", path.display(), one.reason))?;
    }
    let played = next.into_inner();
    print(&format!("hunt: {} seed {seed}: {played} schedules, {} found\n", base.name, found.len()))?;
    Ok(if found.is_empty() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn sim(file: &Path, seed: Option<u64>, seeds: u64, json: Option<&Path>) -> Result<ExitCode, Failure> {
    let scenario = match scenario(file) {
        Ok(scenario) => scenario,
        Err(code) => return Ok(code),
    };
    let mut kept = true;
    let mut worths = Vec::new();
    for n in 0..seeds {
        let begun = std::time::Instant::now();
        let outcome = match simulate(&scenario, seed.unwrap_or(scenario.seed) + n) {
            Ok(outcome) => outcome,
            Err(e) => {
                eprintln!("daleturn: {}: {e}", file.display());
                return Ok(ExitCode::from(2));
            }
        };
        let f = &outcome.figures;
        kept &= outcome.verdict == daleturn_lab::checker::Verdict::Kept;
        worths.push(f.worth);
        if n + 1 == seeds {
            let took = begun.elapsed().as_secs_f64();
            let mut rows = judged(f);
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
        let m = mean(&worths);
        print(&format!("worth {:.4} +- {:.4} over {seeds} seeds\n", m.mean, m.half))?;
    }
    Ok(if kept { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// What is compared between a real day and a virtual one.
fn compared(f: &Figures) -> Vec<(&'static str, f64)> {
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

fn agree(files: &[PathBuf], seeds: u64, program: &Path) -> Result<ExitCode, Failure> {
    let mut rows = Vec::new();
    for file in files {
        let day = match scenario(file) {
            Ok(day) => day,
            Err(code) => return Ok(code),
        };
        if let Err(e) = simulate(&Scenario { seconds: 1.0, ..day.clone() }, day.seed) {
            print(&format!("{}: left out: {e}\n", day.name))?;
            continue;
        }
        let (mut real, mut virtually, mut late) = (Vec::new(), Vec::new(), 0);
        for seed in day.seed..day.seed + seeds {
            let played = with_stop(async |stop| {
                play(&day, seed, &options(program.to_owned(), &stop), progress(day.seconds)).await
            })?;
            clear();
            let outcome = played.map_err(|e| format!("{}: {e}", day.name))?;
            if matches!(outcome.verdict, daleturn_lab::checker::Verdict::Late(_)) {
                // Such a day does not count, and so neither does its twin.
                late += 1;
                continue;
            }
            let twin = simulate(&day, seed).map_err(|e| format!("{}: {e}", day.name))?;
            real.push(compared(&outcome.figures));
            virtually.push(compared(&twin.figures));
        }
        let names: Vec<&str> = real.first().into_iter().flatten().map(|f| f.0).collect();
        for (n, name) in names.iter().enumerate() {
            let of = |days: &[Vec<(&'static str, f64)>]| days.iter().map(|d| d[n].1).collect::<Vec<f64>>();
            let (a, b) = (of(&real), of(&virtually));
            let difference = paired(&a, &b);
            rows.push(vec![
                if n == 0 { format!("{} ({} days)", day.name, real.len()) } else { String::new() },
                (*name).to_owned(),
                format!("{:.3}", mean(&a).mean),
                format!("{:.3}", mean(&b).mean),
                format!("{:+.4}", difference.mean),
                format!("{:.4}", difference.half),
            ]);
        }
        if late > 0 {
            print(&format!("{}: the lab was late on {late} days, which are left out\n", day.name))?;
        }
    }
    print(&table(&["day", "figure", "real", "virtual", "virtual - real", "+- 95%"], rows))?;
    Ok(ExitCode::SUCCESS)
}

/// The greatest memory that a process of this system has held so far, in MB.
fn peak_mb(pid: u32) -> f64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmHWM:")).unwrap_or_default();
    line.trim().trim_end_matches("kB").trim().parse::<f64>().unwrap_or(f64::NAN) / 1024.0
}

fn grow(
    file: &Path,
    sizes: &[usize],
    seconds: Option<f64>,
    report: Option<&Path>,
) -> Result<ExitCode, Failure> {
    let full = match scenario(file) {
        Ok(day) => day,
        Err(code) => return Ok(code),
    };
    let own = std::env::current_exe().map_err(|e| e.to_string())?;
    let dir = std::env::temp_dir().join(format!("daleturn-grow-{}", std::process::id()));
    std::fs::create_dir_all(&dir).map_err(|e| format!("{}: {e}", dir.display()))?;
    let heads = ["nodes", "took s", "peak MB", "events", "decisions us", "shared us", "zones us"];
    let mut rows = Vec::new();
    let mut points: Vec<Vec<(f64, f64)>> = vec![Vec::new(); heads.len()];
    for &nodes in sizes {
        let part = nodes as f64 / full.fleet.nodes.max(1) as f64;
        let mut day = full.clone();
        day.fleet.nodes = nodes.max(1);
        day.fleet.servers =
            ((full.fleet.servers as f64 * part).round() as usize).max(full.fleet.zones.len());
        day.load.rate = full.load.rate * part;
        day.seconds = seconds.unwrap_or(full.seconds);
        let path = dir.join(format!("{nodes}.toml"));
        let text = toml::to_string(&day).map_err(|e| e.to_string())?;
        std::fs::write(&path, text).map_err(|e| format!("{}: {e}", path.display()))?;
        let out = dir.join(format!("{nodes}.json"));
        let begun = std::time::Instant::now();
        // A process of its own: the most that this one has held says nothing of the next size.
        let mut child = std::process::Command::new(&own)
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
        let took = begun.elapsed().as_secs_f64();
        let text = std::fs::read_to_string(&out).map_err(|e| format!("{}: {e}", out.display()))?;
        let told: serde_json::Value = serde_json::from_str(&text).map_err(|e| e.to_string())?;
        // Microseconds of real time that each part of one node takes for a second of the day.
        let of = |n: usize| told["spent_s"][n].as_f64().unwrap_or(0.0) * 1e6 / (nodes as f64 * day.seconds);
        let figures =
            [nodes as f64, took, peak, told["events"].as_f64().unwrap_or(0.0), of(0), of(1), of(2)];
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
    print(&table(&heads, rows))?;
    if let Some(dir) = report {
        let values: Vec<String> = sizes.iter().map(usize::to_string).collect();
        let curves: Vec<report::Curve> = (1..heads.len())
            .map(|n| report::Curve {
                name: format!("{} (exponent {:.2})", heads[n], daleturn_lab::stats::slope(&points[n])),
                points: points[n].iter().map(|p| (p.1.exp(), f64::INFINITY)).collect(),
            })
            .collect();
        let title = format!("{} by number of nodes", full.name);
        report::experiment(dir, &title, &values, &curves).map_err(|e| format!("{}: {e}", dir.display()))?;
    }
    Ok(ExitCode::SUCCESS)
}

fn poke(address: std::net::SocketAddr, words: &[String]) -> Result<ExitCode, Failure> {
    use std::io::{Read, Write};
    let asked = std::net::TcpStream::connect(address).and_then(|mut s| {
        s.write_all(format!("{}\n", words.join(" ")).as_bytes())?;
        let mut said = String::new();
        s.read_to_string(&mut said)?;
        Ok(said)
    });
    let said = asked.map_err(|e| format!("{address}: {e}"))?;
    print(&said)?;
    Ok(if said.starts_with("OK") { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

pub fn run(command: &Command) -> Result<ExitCode, Failure> {
    match command {
        Command::Poke { address, words } => poke(*address, words),
        Command::Agree { files, seeds, node: given } => agree(files, *seeds, &node(given.as_deref())?),
        Command::Grow { file, nodes, seconds, report } => grow(file, nodes, *seconds, report.as_deref()),
        Command::Hunt { file, for_s, seed, out } => hunt_for(file, *for_s, *seed, out),
        Command::Sim { file, seed, seeds, json } => sim(file, *seed, *seeds, json.as_deref()),
        Command::Run { day, json, report: folder, logs, baseline } => {
            let scenario = match scenario(&day.file) {
                Ok(scenario) => scenario,
                Err(code) => return Ok(code),
            };
            let seed = day.seed.unwrap_or(scenario.seed);
            let (path, args) = match baseline {
                None => (node(day.node.as_deref())?, Vec::new()),
                Some(name) => program(&format!("baseline:{name}"))?,
            };
            let played = with_stop(async |stop| {
                let options = Options {
                    node_args: args,
                    next: day.next.clone(),
                    logs: logs.clone(),
                    ..options(path, &stop)
                };
                play(&scenario, seed, &options, progress(scenario.seconds)).await
            })?;
            clear();
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
            if let Some(dir) = folder {
                let plan = Plan::draw(&scenario, seed);
                report::write(dir, &plan, &outcome).map_err(|e| format!("{}: {e}", dir.display()))?;
            }
            print(&summary(&outcome))?;
            print(&format!("{}\n", outcome.line()))?;
            let kept = matches!(outcome.verdict, daleturn_lab::checker::Verdict::Kept);
            Ok(if kept { ExitCode::SUCCESS } else { ExitCode::FAILURE })
        }
        Command::Compare { file, a, b, pairs, set_a, set_b } => {
            let side = |sets: &[String]| -> Result<Scenario, ExitCode> {
                with_sets(file, sets).map_err(|why| {
                    eprintln!("daleturn: {why}");
                    ExitCode::from(2)
                })
            };
            let days = match (side(set_a), side(set_b)) {
                (Ok(a), Ok(b)) => [a, b],
                (Err(code), _) | (_, Err(code)) => return Ok(code),
            };
            let days = compare(&days, [program(a)?, program(b)?], *pairs)?;
            let broken = |side: usize| days[side].iter().filter(|o| !o.figures.broken.is_empty()).count();
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
            load_for(load, json.as_deref())
        }
        Command::Capacity(args) => crate::capacity::run(args),
        Command::Cost { node: given, pairs } => cost(node(given.as_deref())?, *pairs),
        Command::Sweep { file, set, seeds, node: given, report } => {
            let program = node(given.as_deref())?;
            sweep(file, set, *seeds, &program, report.as_deref())
        }
    }
}

/// The figures of a day on real processes, by name.
fn figures(o: &Outcome) -> Vec<(&'static str, f64)> {
    let mut all = judged(&o.figures);
    all.extend([("node CPU us a try", o.cpu_us), ("lab late p99 ms", o.figures.lateness_ms)]);
    all
}

/// What the judge counted, by name.
fn judged(f: &Figures) -> Vec<(&'static str, f64)> {
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

fn summary(o: &Outcome) -> String {
    let rows: Vec<Vec<String>> =
        figures(o).into_iter().map(|(name, value)| vec![name.to_owned(), format!("{value:.3}")]).collect();
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
        // Writing to a String cannot fail.
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
        // Writing to a String cannot fail.
        let _ = writeln!(out, "back after {name}: {back}");
    }
    out
}

/// A scenario's file with some keys set to other values.
fn with_sets(file: &Path, sets: &[String]) -> Result<Scenario, String> {
    let named = |e: String| format!("{}: {e}", file.display());
    if sets.is_empty() {
        return Scenario::read(file).map_err(|e| named(e.to_string()));
    }
    let text = daleturn::files::read_text(file, 1 << 20).map_err(|e| named(e.to_string()))?;
    let mut content: toml::Table = text.parse().map_err(|e| named(format!("{e}")))?;
    for set in sets {
        let (key, value) = set.split_once('=').ok_or_else(|| format!("{set:?} is not KEY=VALUE"))?;
        put(&mut content, key, value)?;
    }
    Scenario::parse(&content.to_string()).map_err(|e| format!("with {}: {e}", sets.join(" ")))
}

/// Sets a key, by its path, to a value as TOML has it; what is none is a text.
fn put(content: &mut toml::Table, key: &str, value: &str) -> Result<(), String> {
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

fn load_for(load: Load, json: Option<&Path>) -> Result<ExitCode, Failure> {
    let terminal = std::io::stderr().is_terminal();
    let view = |second: u64, told: &LoadResult| {
        if terminal {
            eprint!("\r\x1b[K{second} s  due {}  p99 {:.1} ms", told.due, told.answer_ms[2]);
        }
    };
    let told = with_stop(async |stop| load.run(stop, view).await)?.map_err(|e| e.to_string())?;
    clear();
    if let Some(path) = json {
        let text = serde_json::to_string_pretty(&told).map_err(|e| e.to_string())?;
        std::fs::write(path, text).map_err(|e| format!("{}: {e}", path.display()))?;
    }
    let mut rows = vec![vec!["due".to_owned(), told.due.to_string()]];
    rows.extend(told.status.iter().map(|(s, n)| vec![format!("status {s}"), n.to_string()]));
    rows.extend(told.failed.iter().map(|(why, n)| vec![(*why).to_owned(), n.to_string()]));
    for (what, times) in [("from due", &told.answer_ms), ("from sent", &told.sent_ms)] {
        for (q, ms) in ["p50", "p90", "p99", "p99.9", "worst"].iter().zip(times) {
            rows.push(vec![format!("{what} {q} ms"), format!("{ms:.3}")]);
        }
    }
    rows.push(vec!["this load late p99 ms".to_owned(), format!("{:.3}", told.late_ms)]);
    print(&table(&["figure", "value"], rows))?;
    let answered: u64 = told.status.values().sum();
    Ok(if answered == told.due { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// What the node costs beside a pass-through: CPU at one rate, the most that it passes on, what it adds to an answer at
/// 70 % of that, memory of a connection that is open and idle.
fn cost(program_path: PathBuf, pairs: u64) -> Result<ExitCode, Failure> {
    let sides = [program("baseline:pass")?, (program_path, Vec::new())];
    let day = |sets: &[(&str, String)]| -> Result<[Scenario; 2], String> {
        let mut content: toml::Table = COST.parse().map_err(|e| format!("cost: {e}"))?;
        for (key, value) in sets {
            put(&mut content, key, value)?;
        }
        let day = Scenario::parse(&content.to_string()).map_err(|e| format!("cost: {e}"))?;
        Ok([day.clone(), day])
    };
    let of = |days: &[Outcome], figure: &dyn Fn(&Outcome) -> f64| {
        mean(&days.iter().map(figure).collect::<Vec<f64>>()).mean
    };
    print("CPU of a try, 1,500 requests a second:\n")?;
    compare(&day(&[])?, sides.clone(), pairs)?;
    print("\nThe most that is passed on, 64 clients in a closed loop:\n")?;
    let closed = [("load.closed", "64".to_owned()), ("load.rate", "40000".to_owned())];
    let days = compare(&day(&closed)?, sides.clone(), pairs)?;
    let per_second = |o: &Outcome| o.figures.asked as f64 / 10.0;
    let most = [of(&days[0], &per_second), of(&days[1], &per_second)];
    print(&format!("a second: pass {:.0}, node {:.0}\n", most[0], most[1]))?;
    let mut part = 0.7;
    let days = loop {
        let rate = part * most[0].min(most[1]);
        print(&format!(
            "\nAdded to an answer at {:.0} % of the lesser, {rate:.0} a second:\n",
            part * 100.0
        ))?;
        let days = compare(&day(&[("load.rate", format!("{rate:.0}"))])?, sides.clone(), pairs)?;
        let late = days.iter().flatten().map(|o| o.figures.lateness_ms).fold(0.0, f64::max);
        if late <= MOST_LATE_MS || part < 0.1 {
            break days;
        }
        // What a lab that is late itself adds is not the node's.
        print(&format!("the lab itself was late by {late:.1} ms: again with half of that\n"))?;
        part /= 2.0;
    };
    for (n, name) in ["p50", "p90", "p99", "p99.9"].iter().enumerate() {
        let ms = |o: &Outcome| o.figures.answer_ms[n];
        let added = 1000.0 * (of(&days[1], &ms) - of(&days[0], &ms));
        print(&format!("{name}: {added:+.0} us\n"))?;
    }
    let memory = |o: &Outcome| o.memory_kb.first().copied().flatten().unwrap_or(0) as f64;
    let idle = |n: usize| -> Result<[f64; 2], Failure> {
        let few = [
            ("load.idle", n.to_string()),
            ("load.rate", "20".to_owned()),
            ("seconds", "4".to_owned()),
            ("fleet.sockets", "2048".to_owned()),
        ];
        let days = compare(&day(&few)?, sides.clone(), 1)?;
        Ok([of(&days[0], &memory), of(&days[1], &memory)])
    };
    print("\nMemory of open connections, 20 requests a second:\n")?;
    let (none, many) = (idle(0)?, idle(500)?);
    let each = |side: usize| (many[side] - none[side]) / 500.0;
    print(&format!("each: pass {:.1} kB, node {:.1} kB\n", each(0), each(1)))?;
    Ok(ExitCode::SUCCESS)
}

fn compare(
    scenarios: &[Scenario; 2],
    sides: [(PathBuf, Vec<String>); 2],
    pairs: u64,
) -> Result<[Vec<Outcome>; 2], Failure> {
    let mut days: [Vec<Outcome>; 2] = [Vec::new(), Vec::new()];
    let played = with_stop(async |stop| {
        for pair in 0..pairs {
            let seed = scenarios[0].seed + pair;
            // Whoever goes first goes second in the next pair.
            let mut turns = [0, 1];
            if pair % 2 == 1 {
                turns.reverse();
            }
            for side in turns {
                let (program, args) = sides[side].clone();
                let scenario = &scenarios[side];
                let options = Options { node_args: args, ..options(program, &stop) };
                let outcome = play(scenario, seed, &options, progress(scenario.seconds)).await?;
                clear();
                eprintln!("{}: {}", if side == 0 { "a" } else { "b" }, outcome.line());
                days[side].push(outcome);
            }
        }
        Ok::<(), PlayError>(())
    })?;
    played.map_err(|e| e.to_string())?;
    let of = |side: usize, n: usize| -> Vec<f64> { days[side].iter().map(|o| figures(o)[n].1).collect() };
    let names: Vec<&str> = figures(&days[0][0]).into_iter().map(|(name, _)| name).collect();
    let rows = names.iter().enumerate().map(|(n, name)| {
        let (a, b) = (of(0, n), of(1, n));
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
    Ok(days)
}

fn sweep(
    file: &Path,
    set: &str,
    seeds: u64,
    program: &Path,
    report: Option<&Path>,
) -> Result<ExitCode, Failure> {
    let wrong = |why: &str| {
        eprintln!("daleturn: {why}");
        Ok(ExitCode::from(2))
    };
    let Some((key, values)) = set.split_once('=') else { return wrong("--set takes KEY=V1,V2,...") };
    let mut rows: Vec<Vec<String>> = Vec::new();
    let mut curves: Vec<report::Curve> = Vec::new();
    for value in values.split(',') {
        let scenario = match with_sets(file, &[format!("{key}={value}")]) {
            Ok(scenario) => scenario,
            Err(e) => return wrong(&e),
        };
        let played = with_stop(async |stop| {
            let mut days = Vec::new();
            for n in 0..seeds {
                let options = options(program.to_owned(), &stop);
                let seed = scenario.seed + n;
                days.push(play(&scenario, seed, &options, progress(scenario.seconds)).await?);
                clear();
            }
            Ok::<_, PlayError>(days)
        })?;
        let days = played.map_err(|e| e.to_string())?;
        let names = figures(&days[0]);
        let mut row = vec![value.to_owned()];
        if curves.is_empty() {
            let curve = |n: &(&str, f64)| report::Curve { name: n.0.to_owned(), points: Vec::new() };
            curves = names.iter().map(curve).collect();
        }
        row.extend((0..names.len()).map(|n| {
            let m = mean(&days.iter().map(|o| figures(o)[n].1).collect::<Vec<f64>>());
            curves[n].points.push((m.mean, m.half));
            if m.half.is_finite() {
                format!("{:.3} +- {:.3}", m.mean, m.half)
            } else {
                format!("{:.3}", m.mean)
            }
        }));
        let broken = days.iter().filter(|o| !o.figures.broken.is_empty()).count();
        row.push(broken.to_string());
        if rows.is_empty() {
            rows.push(
                std::iter::once(key.to_owned()).chain(names.iter().map(|n| n.0.to_owned())).collect(),
            );
            if let Some(heads) = rows.first_mut() {
                heads.push("broken days".to_owned());
            }
        }
        rows.push(row);
    }
    if let Some(dir) = report {
        let values: Vec<String> = values.split(',').map(str::to_owned).collect();
        let title = format!("{} by {key}, {seeds} seeds each", file.display());
        report::experiment(dir, &title, &values, &curves).map_err(|e| format!("{}: {e}", dir.display()))?;
    }
    // A line for each figure, a column for each value: more figures than values.
    let heads: Vec<&str> = rows.iter().map(|r| r[0].as_str()).collect();
    let lines = (1..rows[0].len()).map(|n| rows.iter().map(|r| r[n].clone()).collect());
    print(&table(&heads, lines.collect()))?;
    Ok(ExitCode::SUCCESS)
}

/// Four nodes and twelve servers for twenty seconds, with a live view.
pub fn demo(given: Option<&Path>) -> Result<ExitCode, Failure> {
    let program = node(given)?;
    let scenario = Scenario::parse(DEMO).map_err(|e| format!("demo: {e}"))?;
    let terminal = std::io::stdout().is_terminal();
    let seconds = scenario.seconds;
    let view = |m: &RunSnapshot| {
        if !terminal {
            return;
        }
        let mut out = String::from("\x1b[2J\x1b[H");
        // Writing to a String cannot fail.
        let _ = writeln!(out, "daleturn demo: {:.1} of {seconds:.0} s\n", m.at_s.max(0.0));
        let _ = writeln!(out, "served   {} {:.3}", bar(m.served, 40), m.served);
        let _ = writeln!(out, "refused  {}    failed {}", m.refused, m.failed);
        let nodes: Vec<&str> = m.nodes.iter().map(|up| if *up { "up" } else { "--" }).collect();
        let _ = writeln!(out, "nodes    {}", nodes.join(" "));
        let _ = writeln!(out, "wrong    {}\n", m.active_faults.join("; "));
        let most = m.servers.iter().copied().max().unwrap_or(0).max(1) as f64;
        for (n, sent) in m.servers.iter().enumerate() {
            let _ = writeln!(out, "s-{n:<3} {} {sent}", bar(*sent as f64 / most, 40));
        }
        // A view that nobody sees is no reason to end.
        let _ = print(&out);
    };
    if !terminal {
        print("daleturn demo: four nodes, twelve servers, one of which goes bad and comes back; 20 s\n")?;
    }
    let played = with_stop(async |stop| {
        let options = options(program, &stop);
        play(&scenario, scenario.seed, &options, view).await
    })?;
    match played {
        Ok(outcome) => {
            print(&format!("\n{}\n{}\n", summary(&outcome), outcome.line()))?;
            Ok(ExitCode::SUCCESS)
        }
        Err(PlayError::Stopped) => {
            print("\nended\n")?;
            Ok(ExitCode::SUCCESS)
        }
        Err(e) => Err(e.to_string().into()),
    }
}
