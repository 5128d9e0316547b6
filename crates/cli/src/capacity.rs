//! `daleturn lab capacity`: what each role costs at size, measured, fitted and written down.

use crate::lab::node;
use crate::page::{Failure, print, table};
use daleturn_lab::capacity::out::{HEADS, RESULT, report, rows, writable, write};
use daleturn_lab::capacity::{Measure, PARTS, Wish, measure, node::AXES};
use std::path::PathBuf;
use std::process::ExitCode;

pub const EXAMPLES: &str = "Writes capacity.json and a plot for each series into DIR. Exit codes: 0 \
                            measured, 1 a measurement failed, 2 the command line is wrong.\n\n\
                            Examples:\n  daleturn lab capacity --role node --out /tmp/capacity\n  \
                            daleturn lab capacity --quick --out /tmp/shapes\n  daleturn lab capacity --role \
                            node --axis backends --baseline old/daleturn-node \\\n    --out /tmp/beside";

#[derive(Debug, clap::Args)]
pub struct Args {
    /// A role to measure; may be given again. Without it all are
    #[arg(long = "role", value_name = "ROLE")]
    roles: Vec<String>,
    /// An axis of the node to measure; may be given again. Without it all are
    #[arg(long = "axis", value_name = "AXIS")]
    axes: Vec<String>,
    /// Few and small sizes, once each: for shapes alone
    #[arg(long)]
    quick: bool,
    /// Draws everything that is drawn
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// How often each size; 3, or 1 with --quick
    #[arg(long, value_name = "N", value_parser = clap::value_parser!(u32).range(1..=100))]
    repetitions: Option<u32>,
    /// The node's program, in place of the one beside this command
    #[arg(long, value_name = "PATH")]
    node: Option<PathBuf>,
    /// Another node's program, measured by turns with it as role `node-before`
    #[arg(long, value_name = "PATH")]
    baseline: Option<PathBuf>,
    /// The folder for what comes of it
    #[arg(long, value_name = "DIR")]
    out: PathBuf,
}

pub fn run(args: &Args) -> Result<ExitCode, Failure> {
    let wrong = |why: String| {
        eprintln!("daleturn: {why}");
        Ok(ExitCode::from(2))
    };
    let known: Vec<&str> = PARTS.iter().flat_map(|p| p.roles).copied().collect();
    if let Some(role) = args.roles.iter().find(|r| !known.contains(&r.as_str())) {
        return wrong(format!("--role {role}: no such role; there are {}", known.join(", ")));
    }
    if let Some(axis) = args.axes.iter().find(|a| !AXES.contains(&a.as_str())) {
        return wrong(format!("--axis {axis}: no such axis of the node; there are {}", AXES.join(", ")));
    }
    let program = match node(args.node.as_deref()) {
        Ok(program) => program,
        Err(e) => return wrong(format!("--node: {e}")),
    };
    let baseline = match args.baseline.as_deref().map(|b| node(Some(b))).transpose() {
        Ok(baseline) => baseline,
        Err(e) => return wrong(format!("--baseline: {e}")),
    };
    if let Err(e) = writable(&args.out) {
        return wrong(format!("--out {}: {e}", args.out.display()));
    }
    let repetitions = args.repetitions.unwrap_or(if args.quick { 1 } else { 3 });
    let m =
        Measure { quick: args.quick, seed: args.seed, repetitions: repetitions as usize, node: program };
    let told = |roles: &[&str]| eprintln!("daleturn: measures {}", roles.join(", "));
    let wish = Wish { roles: args.roles.clone(), axes: args.axes.clone(), before: baseline };
    let series = measure(&m, &wish, told).map_err(|e| e.to_string())?;
    let report = report(&m, series);
    write(&args.out, &report).map_err(|e| format!("--out {}: {e}", args.out.display()))?;
    print(&table(&HEADS, rows(&report)))?;
    print(&format!("written: {}\n", args.out.join(RESULT).display()))?;
    Ok(ExitCode::SUCCESS)
}
