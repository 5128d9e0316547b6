//! `daleturn release`: carries a release out, tells where it stands, and hands orders to it.

use crate::page::{Failure, print, table};
use clap::Subcommand;
use daleturn_release::plan::Plan;
use daleturn_release::rollout::{Mode, Order};
use daleturn_release::run::{self, Options};
use daleturn_release::supervise::Config;
use serde_json::Value;
use std::io::IsTerminal;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

#[derive(Debug, clap::Args)]
pub struct Which {
    /// The plan
    #[arg(value_name = "FILE")]
    plan: PathBuf,
    /// Where releases keep their journals, outputs and orders
    #[arg(long, value_name = "DIR", default_value = "releases")]
    state: PathBuf,
}

#[derive(Debug, Subcommand)]
pub enum Command {
    /// Checks a plan, and shows its stages
    Check {
        /// The plan
        #[arg(value_name = "FILE")]
        plan: PathBuf,
    },
    /// Carries a release out, or goes on with one that was begun
    #[command(
        after_help = "Exit codes: 0 all members have the version, 1 they do not, 2 no plan.\n\nExample:\n  daleturn \
                            release run config-2026-12.toml --state /var/lib/daleturn/releases"
    )]
    Run {
        #[command(flatten)]
        which: Which,
        /// End when the release halts, in place of waiting for an order
        #[arg(long)]
        until_halt: bool,
    },
    /// Where it stands: who is on which version, what it waits for and why
    Status {
        #[command(flatten)]
        which: Which,
        /// As JSON
        #[arg(long)]
        json: bool,
        /// Renew it each second, until it is over or Ctrl-C
        #[arg(long)]
        watch: bool,
    },
    /// Stops it within a second: what is begun is given back, or brought to its end
    Halt(Which),
    /// Lets it go on
    Resume(Which),
    /// Brings the old version back, in reverse order, as carefully
    Back(Which),
    /// Ends it as it stands
    Abandon(Which),
}

/// What cannot be read is no plan, exit code 2.
fn plan(path: &Path) -> Result<Plan, ExitCode> {
    Plan::read(path).map_err(|e| {
        eprintln!("daleturn: {}: {e}", path.display());
        ExitCode::from(2)
    })
}

pub fn run(command: &Command) -> Result<ExitCode, Failure> {
    let path = match command {
        Command::Check { plan } => plan,
        Command::Run { which, .. } | Command::Status { which, .. } => &which.plan,
        Command::Halt(which) | Command::Resume(which) | Command::Back(which) | Command::Abandon(which) => {
            &which.plan
        }
    };
    let plan = match plan(path) {
        Ok(plan) => plan,
        Err(code) => return Ok(code),
    };
    let give = |which: &Which, order: Order| {
        run::submit_order(&which.state, &plan, order)
            .map_err(|e| format!("{}: {e}", which.state.display()))?;
        print(&format!("{order:?}: handed to {}\n", plan.name))?;
        Ok(ExitCode::SUCCESS)
    };
    match command {
        Command::Check { .. } => {
            let rows = plan
                .stage
                .iter()
                .map(|s| vec![s.name.clone(), s.members.min(plan.member.len()).to_string()]);
            print(&table(&["stage", "members"], rows.collect()))?;
            print(&format!(
                "{} members, {} nodes, from {} to {}: OK\n",
                plan.member.len(),
                plan.nodes.len(),
                plan.from,
                plan.to
            ))?;
            Ok(ExitCode::SUCCESS)
        }
        Command::Run { which, until_halt } => carry_out(plan, which, *until_halt),
        Command::Status { which, json, watch } => loop {
            let status = run::read_status(&which.state, &plan);
            let status = status
                .map_err(|e| format!("{}: no release {} here: {e}", which.state.display(), plan.name))?;
            let shown = if *json { format!("{status}\n") } else { page(&status)? };
            let clear = *watch && !json && std::io::stdout().is_terminal();
            print(&if clear { format!("\x1b[2J\x1b[H{shown}") } else { shown })?;
            if !watch || status["mode"] == "over" {
                return Ok(ExitCode::SUCCESS);
            }
            std::thread::sleep(Duration::from_secs(1));
        },
        Command::Halt(which) => give(which, Order::Halt),
        Command::Resume(which) => give(which, Order::Resume),
        Command::Back(which) => give(which, Order::Back),
        Command::Abandon(which) => give(which, Order::Abandon),
    }
}

fn carry_out(plan: Plan, which: &Which, until_halt: bool) -> Result<ExitCode, Failure> {
    let stop = Arc::new(AtomicBool::new(false));
    let stopped = stop.clone();
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build();
    let runtime = runtime.map_err(|e| e.to_string())?;
    runtime.spawn(async move {
        if tokio::signal::ctrl_c().await.is_ok() {
            stopped.store(true, Ordering::SeqCst);
        }
    });
    let options = Options { dir: which.state.clone(), until_halt };
    let all = plan.member.len();
    let (state, copy) = (which.state.clone(), plan.clone());
    let mode = run::run(plan, &options, &stop, |line| {
        // A reader that has gone does not end a release.
        let _ = print(&format!("{line}\n"));
    });
    runtime.shutdown_background();
    let mode = mode.map_err(|e| e.to_string())?;
    let status = run::read_status(&state, &copy).unwrap_or(Value::Null);
    let on_new = status["on_new"].as_u64().unwrap_or(0);
    print(&format!(
        "release: {} {} {on_new} of {all} on {}: {}\n",
        copy.name,
        word(mode),
        copy.to,
        text(&status["why"])
    ))?;
    let done = mode == Mode::Over && on_new as usize == all;
    Ok(if done { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Supervises until SIGTERM.
pub fn supervise(file: &Path) -> Result<ExitCode, Failure> {
    let config = match Config::read(file) {
        Ok(config) => config,
        Err(e) => {
            eprintln!("daleturn: {}: {e}", file.display());
            return Ok(ExitCode::from(2));
        }
    };
    daleturn_release::supervise::run(&config, |line| eprintln!("{line}")).map_err(|e| e.to_string())?;
    Ok(ExitCode::SUCCESS)
}

fn word(mode: Mode) -> &'static str {
    match mode {
        Mode::Running => "STOPPED",
        Mode::Halted => "HALTED",
        Mode::Ending | Mode::Over => "OVER",
    }
}

fn text(value: &Value) -> String {
    match value {
        Value::String(s) => s.clone(),
        Value::Null => "-".to_owned(),
        other => other.to_string(),
    }
}

fn page(s: &Value) -> Result<String, Failure> {
    let way = if s["back"] == true { "back" } else { "there" };
    let mut out = format!(
        "{} from {} to {}: {} on the way {way}, stage {}, {} of {} on the new version, {} s so far, {} s to go\n",
        text(&s["name"]),
        text(&s["from"]),
        text(&s["to"]),
        text(&s["mode"]),
        text(&s["stage"]),
        text(&s["on_new"]),
        text(&s["of"]),
        text(&s["spent_s"]),
        text(&s["left_s"]),
    );
    out.push_str(&format!("why: {}\n", text(&s["why"])));
    for node in s["silent_nodes"].as_array().into_iter().flatten() {
        out.push_str(&format!("node {} does not answer\n", text(node)));
    }
    for named in s["named"].as_array().into_iter().flatten() {
        out.push_str(&format!("look at {}: {}\n", text(&named[0]), text(&named[1])));
    }
    let names = ["id", "zone", "version", "phase", "since_s", "why"];
    let rows = s["members"].as_array().into_iter().flatten();
    let rows = rows.map(|m| names.iter().map(|n| text(&m[*n])).collect()).collect();
    out.push_str(&table(&["member", "zone", "version", "phase", "for s", "why"], rows));
    Ok(out)
}
