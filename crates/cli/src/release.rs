//! `daleturn release`: runs a release, shows its status and gives it orders. `daleturn supervise` runs here
//! as well.

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
pub struct ReleaseArgs {
    /// The release plan
    #[arg(value_name = "FILE")]
    plan: PathBuf,
    /// Directory of the releases' journals, command output and orders
    #[arg(long, value_name = "DIR", default_value = "releases")]
    state: PathBuf,
}

#[derive(Debug, Subcommand)]
pub enum Command {
    /// Checks a plan and shows its stages
    Check {
        /// The release plan
        #[arg(value_name = "FILE")]
        plan: PathBuf,
    },
    /// Runs a release, or resumes one that has begun
    #[command(
        after_help = "Exit codes: 0 all members have the new version, 1 they do not, 2 invalid plan.\n\nExample:\n  daleturn \
                            release run config-2026-12.toml --state /var/lib/daleturn/releases"
    )]
    Run {
        #[command(flatten)]
        args: ReleaseArgs,
        /// End when the release halts, instead of waiting for an order
        #[arg(long)]
        until_halt: bool,
    },
    /// Shows the versions of all members, and what the release waits for and why
    Status {
        #[command(flatten)]
        args: ReleaseArgs,
        /// Print JSON
        #[arg(long)]
        json: bool,
        /// Repeat every second until the release is over or Ctrl-C
        #[arg(long)]
        watch: bool,
    },
    /// Halts the release within a second; restarts under way are completed, other cordons are taken back
    Halt(ReleaseArgs),
    /// Continues a halted release
    Resume(ReleaseArgs),
    /// Rolls back to the old version in reverse order, within the same limits
    Back(ReleaseArgs),
    /// Ends the release and leaves each member on its current version
    Abandon(ReleaseArgs),
}

/// Reads a plan. On an error, prints it and returns exit code 2.
fn read_plan(path: &Path) -> Result<Plan, ExitCode> {
    Plan::read(path).map_err(|e| {
        eprintln!("daleturn: {}: {e}", path.display());
        ExitCode::from(2)
    })
}

/// Runs a subcommand.
pub fn run(command: &Command) -> Result<ExitCode, Failure> {
    let path = match command {
        Command::Check { plan } => plan,
        Command::Run { args, .. } | Command::Status { args, .. } => &args.plan,
        Command::Halt(args) | Command::Resume(args) | Command::Back(args) | Command::Abandon(args) => {
            &args.plan
        }
    };
    let plan = match read_plan(path) {
        Ok(plan) => plan,
        Err(code) => return Ok(code),
    };
    let submit = |args: &ReleaseArgs, order: Order| {
        run::submit_order(&args.state, &plan, order)
            .map_err(|e| format!("{}: {e}", args.state.display()))?;
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
        Command::Run { args, until_halt } => run_release(plan, args, *until_halt),
        Command::Status { args, json, watch } => loop {
            let status = run::read_status(&args.state, &plan);
            let status = status
                .map_err(|e| format!("{}: no release {} here: {e}", args.state.display(), plan.name))?;
            let text = if *json { format!("{status}\n") } else { format_status(&status)? };
            let clear = *watch && !json && std::io::stdout().is_terminal();
            print(&if clear { format!("\x1b[2J\x1b[H{text}") } else { text })?;
            if !watch || status["mode"] == "over" {
                return Ok(ExitCode::SUCCESS);
            }
            std::thread::sleep(Duration::from_secs(1));
        },
        Command::Halt(args) => submit(args, Order::Halt),
        Command::Resume(args) => submit(args, Order::Resume),
        Command::Back(args) => submit(args, Order::Back),
        Command::Abandon(args) => submit(args, Order::Abandon),
    }
}

/// Runs the controller of a release until it returns, and prints the result.
fn run_release(plan: Plan, args: &ReleaseArgs, until_halt: bool) -> Result<ExitCode, Failure> {
    let stop = Arc::new(AtomicBool::new(false));
    let stopped = stop.clone();
    let runtime = tokio::runtime::Builder::new_multi_thread().worker_threads(1).enable_all().build();
    let runtime = runtime.map_err(|e| e.to_string())?;
    runtime.spawn(async move {
        if tokio::signal::ctrl_c().await.is_ok() {
            stopped.store(true, Ordering::SeqCst);
        }
    });
    let options = Options { dir: args.state.clone(), until_halt };
    let all = plan.member.len();
    let (state_dir, plan_copy) = (args.state.clone(), plan.clone());
    let mode = run::run(plan, &options, &stop, |line| {
        // A closed output does not end the release.
        let _ = print(&format!("{line}\n"));
    });
    runtime.shutdown_background();
    let mode = mode.map_err(|e| e.to_string())?;
    let status = run::read_status(&state_dir, &plan_copy).unwrap_or(Value::Null);
    let on_new = status["on_new"].as_u64().unwrap_or(0);
    print(&format!(
        "release: {} {} {on_new} of {all} on {}: {}\n",
        plan_copy.name,
        mode_word(mode),
        plan_copy.to,
        text(&status["why"])
    ))?;
    let is_complete = mode == Mode::Over && on_new as usize == all;
    Ok(if is_complete { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

/// Runs the supervisor until SIGTERM.
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

/// Returns the word for a mode in the last line of `daleturn release run`.
fn mode_word(mode: Mode) -> &'static str {
    match mode {
        Mode::Running => "STOPPED",
        Mode::Halted => "HALTED",
        Mode::Ending | Mode::Over => "OVER",
    }
}

/// Formats a JSON value. A missing value is a dash.
fn text(value: &Value) -> String {
    match value {
        Value::String(s) => s.clone(),
        Value::Null => "-".to_owned(),
        other => other.to_string(),
    }
}

/// Formats the status of a release as text and a table.
fn format_status(s: &Value) -> Result<String, Failure> {
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
