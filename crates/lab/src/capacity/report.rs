//! Results of a measurement run: one JSON file with every series and its fit, a plot of each series, and
//! table rows for a terminal.
//!
//! Each file is written to a temporary file in the same directory and renamed, the JSON file last: an
//! interrupted run leaves no incomplete result file.

use super::fit::{Fit, Shape, fit, median};
use super::{MeasureOptions, Series, planned_size};
use plotters::prelude::*;
use serde::{Deserialize, Serialize};
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

/// Name of the JSON file with the results.
pub const RESULT_FILE: &str = "capacity.json";
/// Width and height of a plot, in pixels.
const PLOT_SIZE_PX: (u32, u32) = (720, 360);

/// The results of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The machine and the build that were measured.
    pub machine: Machine,
    /// Seed of all random draws.
    pub seed: u64,
    /// True if only few, small sizes were measured: the values say nothing about a large fleet.
    pub quick: bool,
    /// Number of measurements of each size.
    pub repetitions: usize,
    /// The measured series and their fits.
    pub series: Vec<FittedSeries>,
}

/// The machine and the build that were measured.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Machine {
    /// Number of cores available to the run.
    pub cores: usize,
    /// Memory, in megabytes; `None` if it cannot be read.
    pub memory_mb: Option<u64>,
    /// Model name of the processor; `None` if it cannot be read.
    pub processor: Option<String>,
    /// Git revision of the directory that contains the node's program, with a trailing `+` if tracked files
    /// are modified; `None` outside a repository.
    pub revision: Option<String>,
}

/// A series and its fit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FittedSeries {
    /// The measured series.
    #[serde(flatten)]
    pub series: Series,
    /// Fit of the series; `None` if fewer than two sizes have a cost above zero.
    pub fit: Option<Fit>,
}

/// Fits the series of a run and returns its report.
pub fn build_report(options: &MeasureOptions, series: Vec<Series>) -> Report {
    let series = series
        .into_iter()
        .map(|s| FittedSeries { fit: fit(&s, planned_size(&s.axis)), series: s })
        .collect();
    Report {
        machine: machine(&options.node_program),
        seed: options.seed,
        quick: options.quick,
        repetitions: options.repetitions,
        series,
    }
}

fn machine(node: &Path) -> Machine {
    let field = |file: &str, name: &str| {
        let text = std::fs::read_to_string(file).ok()?;
        let line = text.lines().find_map(|l| l.strip_prefix(name)?.trim_start().strip_prefix(':'))?;
        Some(line.trim().to_owned())
    };
    let memory = field("/proc/meminfo", "MemTotal");
    Machine {
        cores: std::thread::available_parallelism().map_or(1, usize::from),
        memory_mb: memory.and_then(|m| Some(m.split(' ').next()?.parse::<u64>().ok()? / 1024)),
        processor: field("/proc/cpuinfo", "model name"),
        revision: revision(node),
    }
}

fn revision(node: &Path) -> Option<String> {
    let git = |args: &[&str]| {
        let mut command = Command::new("git");
        command.arg("-C").arg(node.parent()?).args(args);
        let out = command.stdin(Stdio::null()).stderr(Stdio::null()).output().ok()?;
        out.status.success().then(|| String::from_utf8_lossy(&out.stdout).trim().to_owned())
    };
    let revision = git(&["rev-parse", "--short=12", "HEAD"]).filter(|r| !r.is_empty())?;
    let clean = git(&["status", "--porcelain", "--untracked-files=no"])?.is_empty();
    Some(if clean { revision } else { format!("{revision}+") })
}

/// Creates the directory and checks that files can be written in it.
///
/// # Errors
/// Returns the error of creating the directory, or of writing or removing a file in it.
pub fn check_writable(dir: &Path) -> io::Result<()> {
    std::fs::create_dir_all(dir)?;
    let test_file = temporary_path(&dir.join("trial"));
    std::fs::write(&test_file, b"")?;
    std::fs::remove_file(test_file)
}

/// Writes the plots and then the JSON file to a directory.
///
/// # Errors
/// Returns an error if a file cannot be written or a plot cannot be drawn.
pub fn write_report(dir: &Path, report: &Report) -> io::Result<()> {
    for fitted in &report.series {
        let s = &fitted.series;
        if let Some(svg) = plot(fitted).map_err(|e| io::Error::other(e.to_string()))? {
            write_atomically(&dir.join(format!("{}-{}-{}.svg", s.role, s.cost, s.axis)), svg.as_bytes())?;
        }
    }
    let mut json = serde_json::to_vec_pretty(report)?;
    json.push(b'\n');
    write_atomically(&dir.join(RESULT_FILE), &json)
}

fn temporary_path(path: &Path) -> PathBuf {
    let name = path.file_name().unwrap_or_default().to_string_lossy();
    path.with_file_name(format!(".{name}.{}", std::process::id()))
}

fn write_atomically(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let temporary = temporary_path(path);
    let written = std::fs::write(&temporary, bytes).and_then(|()| std::fs::rename(&temporary, path));
    if written.is_err() {
        // A temporary file that cannot be removed is harmless: no reader looks for its name.
        let _ = std::fs::remove_file(&temporary);
    }
    written
}

/// Draws every value and a line through the medians on logarithmic axes, as SVG. Returns `None` if no value
/// is above zero.
fn plot(fitted: &FittedSeries) -> Result<Option<String>, Box<dyn std::error::Error>> {
    let s = &fitted.series;
    let values = s.points.iter().flat_map(|p| p.values.iter().map(|v| (p.size, *v)));
    let values: Vec<(f64, f64)> = values.filter(|(x, y)| *x > 0.0 && *y > 0.0).collect();
    let range = |coordinate: fn(&(f64, f64)) -> f64| {
        let min = values.iter().map(coordinate).fold(f64::INFINITY, f64::min);
        let max = values.iter().map(coordinate).fold(f64::NEG_INFINITY, f64::max);
        (min / 1.3)..(max * 1.3)
    };
    if values.is_empty() {
        return Ok(None);
    }
    let (xs, ys) = (range(|p| p.0), range(|p| p.1));
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, PLOT_SIZE_PX).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .margin(10)
            .caption(format!("{} {}, {} by {}", s.role, s.cost, s.unit, s.axis), ("sans-serif", 14))
            .x_label_area_size(28)
            .y_label_area_size(64)
            .build_cartesian_2d(xs.clone().log_scale(), ys.clone().log_scale())?;
        chart.configure_mesh().x_desc(&s.axis).y_desc(&s.unit).draw()?;
        chart.draw_series(values.iter().map(|p| Circle::new(*p, 3, BLUE.filled())))?;
        let medians =
            s.points.iter().map(|p| (p.size, median(&p.values))).filter(|p| p.0 > 0.0 && p.1 > 0.0);
        chart.draw_series(LineSeries::new(medians, BLUE.mix(0.4)))?;
        area.present()?;
    }
    Ok(Some(svg))
}

/// Column headings of [`table_rows`].
pub const TABLE_HEADINGS: [&str; 9] =
    ["role", "cost", "axis", "sizes", "medians", "exponent", "bend", "line", "at the size ahead"];

/// Returns one table row for each series.
pub fn table_rows(report: &Report) -> Vec<Vec<String>> {
    report.series.iter().map(row).collect()
}

fn row(fitted: &FittedSeries) -> Vec<String> {
    let s = &fitted.series;
    let sizes: Vec<String> = s.points.iter().map(|p| format_number(p.size)).collect();
    let medians: Vec<String> = s.points.iter().map(|p| format_number(median(&p.values))).collect();
    let mut row = vec![s.role.clone(), s.cost.clone(), s.axis.clone(), sizes.join(" ")];
    row.push(format!("{} {}", medians.join(" "), s.unit));
    let Some(f) = &fitted.fit else {
        row.extend(std::iter::repeat_n("-".to_owned(), 4));
        return row;
    };
    row.push(match f.interval {
        Some((low, high)) => format!("{:.2} ({low:.2} to {high:.2})", f.exponent),
        None => format!("{:.2}", f.exponent),
    });
    row.push(f.bend.map_or_else(
        || "none".to_owned(),
        |b| format!("{}: {:.2} to {:.2}", format_number(b.size), b.before, b.after),
    ));
    row.push(format!("{} + {}/unit", format_number(f.constant), format_number(f.per_unit)));
    row.push(f.target.map_or_else(String::new, |t| {
        let origin = match (t.played, f.nearest) {
            (true, _) => "played".to_owned(),
            (false, shape) if t.size < f.sizes.0 => {
                format!("{:.1} times below, {}", f.sizes.0 / t.size, shape_name(shape))
            }
            (false, shape) if t.beyond <= 1.0 => format!("within, {}", shape_name(shape)),
            (false, shape) => format!("{:.1} times beyond, {}", t.beyond, shape_name(shape)),
        };
        format!("{}: {} {} ({origin})", format_number(t.size), format_number(t.value), s.unit)
    }));
    row
}

fn shape_name(shape: Shape) -> &'static str {
    match shape {
        Shape::Power => "power",
        Shape::Bent => "bent",
        Shape::Line => "line",
    }
}

/// Formats a number with three significant digits; in scientific notation only if it would need more than
/// six decimal places.
fn format_number(value: f64) -> String {
    if value == 0.0 || !value.is_finite() {
        return format!("{value}");
    }
    let decimals = 2 - value.abs().log10().floor() as i32;
    if decimals > 6 {
        return format!("{value:.2e}");
    }
    let text = format!("{value:.*}", decimals.max(0) as usize);
    if text.contains('.') { text.trim_end_matches('0').trim_end_matches('.').to_owned() } else { text }
}
