//! `daleturn`, the operators' command: what is said on the command line, and what is printed. What it does lives
//! in the libraries.

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
/// Exit codes: 0 done, 1 the answer is no or a file is wrong, 2 the command line is wrong.
#[derive(Debug, Parser)]
#[command(name = "daleturn", version, max_term_width = 100, arg_required_else_help = true)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Calls a node at its operators' address
    #[command(after_help = call::EXAMPLES)]
    Call(call::Args),
    /// Checks configuration files, and tells what they may hold
    #[command(subcommand)]
    Config(config::Command),
    /// Shows it working: a small fleet with a fault, for 20 s
    Demo {
        /// The node's program, in place of the one beside this command
        #[arg(long, value_name = "PATH")]
        node: Option<std::path::PathBuf>,
    },
    /// Plays days with real node processes and faults between them
    #[command(subcommand)]
    Lab(lab::Command),
    /// Serves as a plain balancer in a node's place; the lab starts it
    #[command(hide = true)]
    Baseline {
        /// Which
        name: String,
    },
    /// Carries out a staged release of servers, with a halt and a way back
    #[command(subcommand)]
    Release(release::Command),
    /// Keeps a machine's node running, and brings it from one version to another
    #[command(after_help = "Example:\n  daleturn supervise /etc/daleturn/supervisor.toml")]
    Supervise {
        /// The supervisor's file: versions, addresses, limits
        #[arg(value_name = "FILE")]
        file: std::path::PathBuf,
    },
    /// Looks at a node's state directory, also while the node has it
    #[command(subcommand)]
    State(state::Command),
    /// Prints a script that completes this command in a shell
    #[command(after_help = "Example:\n  daleturn completions bash > /etc/bash_completion.d/daleturn")]
    Completions {
        /// Which shell
        shell: Shell,
    },
}

fn main() -> ExitCode {
    let done = match Args::parse().command {
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
    match done {
        Ok(code) => code,
        // Whoever read the output has seen enough.
        Err(page::Failure::Closed) => ExitCode::SUCCESS,
        Err(page::Failure::Said(why)) => {
            eprintln!("daleturn: {why}");
            ExitCode::FAILURE
        }
    }
}
