//! `daleturn lab capacity`: measures the cost of each role by size, fits the results and writes them to
//! files.

use crate::lab::node_program;
use crate::page::{Failure, print, table};
use daleturn_lab::capacity::report::{
    RESULT_FILE, TABLE_HEADINGS, build_report, check_writable, table_rows, write_report,
};
use daleturn_lab::capacity::{MEASUREMENTS, MeasureOptions, Selection, measure, node::AXES};
use std::path::PathBuf;
use std::process::ExitCode;

pub const EXAMPLES: &str = "Writes capacity.json and a plot of each series to DIR. Exit codes: 0 \
                            measured, 1 a measurement failed, 2 the command line is wrong.\n\n\
                            Examples:\n  daleturn lab capacity --role node --out /tmp/capacity\n  \
                            daleturn lab capacity --quick --out /tmp/shapes\n  daleturn lab capacity --role \
                            node --axis backends --baseline old/daleturn-node \\\n    --out /tmp/beside";

#[derive(Debug, clap::Args)]
pub struct Args {
    /// Role to measure; may be repeated. Default: all roles
    #[arg(long = "role", value_name = "ROLE")]
    roles: Vec<String>,
    /// Axis of the node to measure; may be repeated. Default: all axes
    #[arg(long = "axis", value_name = "AXIS")]
    axes: Vec<String>,
    /// Measure few small sizes, once each, to check the form of the results
    #[arg(long)]
    quick: bool,
    /// Seed of all random draws
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Measurements per size; default 3, or 1 with --quick
    #[arg(long, value_name = "N", value_parser = clap::value_parser!(u32).range(1..=100))]
    repetitions: Option<u32>,
    /// Program of the node; default: the one in this command's directory
    #[arg(long, value_name = "PATH")]
    node: Option<PathBuf>,
    /// Program of another node, measured alternately as role `node-before`
    #[arg(long, value_name = "PATH")]
    baseline: Option<PathBuf>,
    /// Directory for the results
    #[arg(long, value_name = "DIR")]
    out: PathBuf,
}

/// Measures the given roles, prints a table and writes the results. Invalid arguments give exit code 2.
pub fn run(args: &Args) -> Result<ExitCode, Failure> {
    let usage_error = |why: String| {
        eprintln!("daleturn: {why}");
        Ok(ExitCode::from(2))
    };
    let known: Vec<&str> = MEASUREMENTS.iter().flat_map(|p| p.roles).copied().collect();
    if let Some(role) = args.roles.iter().find(|r| !known.contains(&r.as_str())) {
        return usage_error(format!("--role {role}: no such role; there are {}", known.join(", ")));
    }
    if let Some(axis) = args.axes.iter().find(|a| !AXES.contains(&a.as_str())) {
        return usage_error(format!(
            "--axis {axis}: no such axis of the node; there are {}",
            AXES.join(", ")
        ));
    }
    let program = match node_program(args.node.as_deref()) {
        Ok(program) => program,
        Err(e) => return usage_error(format!("--node: {e}")),
    };
    let baseline = match args.baseline.as_deref().map(|b| node_program(Some(b))).transpose() {
        Ok(baseline) => baseline,
        Err(e) => return usage_error(format!("--baseline: {e}")),
    };
    if let Err(e) = check_writable(&args.out) {
        return usage_error(format!("--out {}: {e}", args.out.display()));
    }
    let repetitions = args.repetitions.unwrap_or(if args.quick { 1 } else { 3 });
    let options = MeasureOptions {
        quick: args.quick,
        seed: args.seed,
        repetitions: repetitions as usize,
        node_program: program,
    };
    let on_roles = |roles: &[&str]| eprintln!("daleturn: measuring {}", roles.join(", "));
    let selection = Selection { roles: args.roles.clone(), axes: args.axes.clone(), baseline };
    let series = measure(&options, &selection, on_roles).map_err(|e| e.to_string())?;
    let report = build_report(&options, series);
    write_report(&args.out, &report).map_err(|e| format!("--out {}: {e}", args.out.display()))?;
    print(&table(&TABLE_HEADINGS, table_rows(&report)))?;
    print(&format!("written: {}\n", args.out.join(RESULT_FILE).display()))?;
    Ok(ExitCode::SUCCESS)
}
