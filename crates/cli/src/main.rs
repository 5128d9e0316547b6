//! `daleturn`, the operators' command. This crate parses the command line and prints results; the work is
//! done by the libraries.

mod call;
mod capacity;
mod config;
mod lab;
mod page;
mod release;
mod state;

use clap::{CommandFactory, Parser, Subcommand};
use clap_complete::Shell;
use std::process::ExitCode;

/// Operates daleturn, an HTTP load balancer that runs large fleets through failures.
///
/// Exit codes: 0 success, 1 the call was answered with ERR or a file is invalid,
/// 2 the command line is invalid.
#[derive(Debug, Parser)]
#[command(name = "daleturn", version, max_term_width = 100, arg_required_else_help = true)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Calls a node or a supervisor at its operator address
    #[command(after_help = call::EXAMPLES)]
    Call(call::Args),
    /// Checks configuration files and lists the options
    #[command(subcommand)]
    Config(config::Command),
    /// Shows a small fleet with a fault for 20 s
    Demo {
        /// Program of the node; default: the one in this command's directory
        #[arg(long, value_name = "PATH")]
        node: Option<std::path::PathBuf>,
    },
    /// Runs test scenarios and measurements with node processes on this machine
    #[command(subcommand)]
    Lab(lab::Command),
    /// Serves as a plain load balancer in place of a node; started by the lab
    #[command(hide = true)]
    Baseline {
        /// Name of the baseline
        name: String,
    },
    /// Runs a staged release of servers or nodes, with halt and rollback
    #[command(subcommand)]
    Release(release::Command),
    /// Keeps a machine's node running and upgrades it
    #[command(after_help = "Example:\n  daleturn supervise /etc/daleturn/supervisor.toml")]
    Supervise {
        /// Configuration file of the supervisor
        #[arg(value_name = "FILE")]
        file: std::path::PathBuf,
    },
    /// Inspects a node's state directory, also while the node runs
    #[command(subcommand)]
    State(state::Command),
    /// Prints a shell completion script
    #[command(after_help = "Example:\n  daleturn completions bash > /etc/bash_completion.d/daleturn")]
    Completions {
        /// The shell
        shell: Shell,
    },
}

fn main() -> ExitCode {
    let result = match Args::parse().command {
        Command::Call(args) => call::run(&args).map(|()| ExitCode::SUCCESS),
        Command::Config(command) => config::run(&command).map(|()| ExitCode::SUCCESS),
        Command::Demo { node } => lab::demo(node.as_deref()),
        Command::Lab(command) => lab::run(&command),
        Command::Supervise { file } => release::supervise(&file),
        Command::Release(command) => release::run(&command),
        Command::State(command) => state::run(&command).map(|()| ExitCode::SUCCESS),
        Command::Baseline { name } => lab::baseline(&name),
        Command::Completions { shell } => {
            let mut script = Vec::new();
            clap_complete::generate(shell, &mut Args::command(), "daleturn", &mut script);
            page::print(&String::from_utf8_lossy(&script)).map(|()| ExitCode::SUCCESS)
        }
    };
    match result {
        Ok(code) => code,
        // The reader closed the pipe, as `head` does: not an error.
        Err(page::Failure::OutputClosed) => ExitCode::SUCCESS,
        Err(page::Failure::Message(message)) => {
            eprintln!("daleturn: {message}");
            ExitCode::FAILURE
        }
    }
}
