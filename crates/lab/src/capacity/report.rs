//! What a run hands on: one JSON file with every series and its fit, a plot for each, and rows for a
//! terminal.
//!
//! Each file is written under another name in the same folder and renamed, the JSON last: a run that is
//! cut off leaves nothing that looks like a result.

use super::fit::{Fit, Shape, fit, median};
use super::{MeasureOptions, Series, planned_size};
use plotters::prelude::*;
use serde::{Deserialize, Serialize};
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};

/// The name of the result.
pub const RESULT_FILE: &str = "capacity.json";
const SIZE: (u32, u32) = (720, 360);

/// All that came of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The machine and the build.
    pub machine: Machine,
    /// Seed of everything drawn.
    pub seed: u64,
    /// Small sizes, for shapes alone: no figure of it says anything of a large fleet.
    pub quick: bool,
    /// How often each size was measured.
    pub repetitions: usize,
    /// What was measured.
    pub series: Vec<FittedSeries>,
}

/// Where it was measured.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Machine {
    /// Cores that the run could use.
    pub cores: usize,
    /// Memory, in megabytes; none where the system does not tell.
    pub memory_mb: Option<u64>,
    /// The processor's name; none where the system does not tell.
    pub processor: Option<String>,
    /// Revision of the folder that the node's program lies in, with a `+` where files differ from it.
    pub revision: Option<String>,
}

/// A series and what it says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FittedSeries {
    /// The series.
    #[serde(flatten)]
    pub series: Series,
    /// Its fit; none with fewer than two sizes that cost anything.
    pub fit: Option<Fit>,
}

/// Puts together what came of a run.
pub fn build_report(m: &MeasureOptions, series: Vec<Series>) -> Report {
    let series = series
        .into_iter()
        .map(|s| FittedSeries { fit: fit(&s, planned_size(&s.axis)), series: s })
        .collect();
    Report {
        machine: machine(&m.node_program),
        seed: m.seed,
        quick: m.quick,
        repetitions: m.repetitions,
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

/// Makes the folder and sees whether files can be written there.
///
/// # Errors
/// They cannot.
pub fn check_writable(dir: &Path) -> io::Result<()> {
    std::fs::create_dir_all(dir)?;
    let trial = other_name(&dir.join("trial"));
    std::fs::write(&trial, b"")?;
    std::fs::remove_file(trial)
}

/// Writes the plots and then the result.
///
/// # Errors
/// A file cannot be written, or a plot cannot be drawn.
pub fn write_report(dir: &Path, report: &Report) -> io::Result<()> {
    for one in &report.series {
        let s = &one.series;
        if let Some(svg) = plot(one).map_err(|e| io::Error::other(e.to_string()))? {
            put(&dir.join(format!("{}-{}-{}.svg", s.role, s.cost, s.axis)), svg.as_bytes())?;
        }
    }
    let mut text = serde_json::to_vec_pretty(report)?;
    text.push(b'\n');
    put(&dir.join(RESULT_FILE), &text)
}

fn other_name(path: &Path) -> PathBuf {
    let name = path.file_name().unwrap_or_default().to_string_lossy();
    path.with_file_name(format!(".{name}.{}", std::process::id()))
}

fn put(path: &Path, bytes: &[u8]) -> io::Result<()> {
    let other = other_name(path);
    let done = std::fs::write(&other, bytes).and_then(|()| std::fs::rename(&other, path));
    if done.is_err() {
        // What cannot be removed either has a name that no reader looks for.
        let _ = std::fs::remove_file(&other);
    }
    done
}

/// Every value and the nearest shape, both axes in logarithms; none where nothing is over zero.
fn plot(one: &FittedSeries) -> Result<Option<String>, Box<dyn std::error::Error>> {
    let s = &one.series;
    let values = s.points.iter().flat_map(|p| p.values.iter().map(|v| (p.size, *v)));
    let values: Vec<(f64, f64)> = values.filter(|(x, y)| *x > 0.0 && *y > 0.0).collect();
    let range = |of: fn(&(f64, f64)) -> f64| {
        let least = values.iter().map(of).fold(f64::INFINITY, f64::min);
        let most = values.iter().map(of).fold(f64::NEG_INFINITY, f64::max);
        (least / 1.3)..(most * 1.3)
    };
    if values.is_empty() {
        return Ok(None);
    }
    let (xs, ys) = (range(|p| p.0), range(|p| p.1));
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
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

/// Heads of [`table_rows`].
pub const TABLE_HEADINGS: [&str; 9] =
    ["role", "cost", "axis", "sizes", "medians", "exponent", "bend", "line", "at the size ahead"];

/// A row for each series.
pub fn table_rows(report: &Report) -> Vec<Vec<String>> {
    report.series.iter().map(row).collect()
}

fn row(one: &FittedSeries) -> Vec<String> {
    let s = &one.series;
    let sizes: Vec<String> = s.points.iter().map(|p| figure(p.size)).collect();
    let medians: Vec<String> = s.points.iter().map(|p| figure(median(&p.values))).collect();
    let mut row = vec![s.role.clone(), s.cost.clone(), s.axis.clone(), sizes.join(" ")];
    row.push(format!("{} {}", medians.join(" "), s.unit));
    let Some(f) = &one.fit else {
        row.extend(std::iter::repeat_n("-".to_owned(), 4));
        return row;
    };
    row.push(match f.interval {
        Some((low, high)) => format!("{:.2} ({low:.2} to {high:.2})", f.exponent),
        None => format!("{:.2}", f.exponent),
    });
    row.push(f.bend.map_or_else(
        || "none".to_owned(),
        |b| format!("{}: {:.2} to {:.2}", figure(b.size), b.before, b.after),
    ));
    row.push(format!("{} + {}/unit", figure(f.constant), figure(f.per_unit)));
    row.push(f.target.map_or_else(String::new, |t| {
        let how = match (t.played, f.nearest) {
            (true, _) => "played".to_owned(),
            (false, shape) if t.size < f.sizes.0 => {
                format!("{:.1} times below, {}", f.sizes.0 / t.size, word(shape))
            }
            (false, shape) if t.beyond <= 1.0 => format!("within, {}", word(shape)),
            (false, shape) => format!("{:.1} times beyond, {}", t.beyond, word(shape)),
        };
        format!("{}: {} {} ({how})", figure(t.size), figure(t.value), s.unit)
    }));
    row
}

fn word(shape: Shape) -> &'static str {
    match shape {
        Shape::Power => "power",
        Shape::Bent => "bent",
        Shape::Line => "line",
    }
}

/// Three figures that count, without an exponent where it can be helped.
fn figure(value: f64) -> String {
    if value == 0.0 || !value.is_finite() {
        return format!("{value}");
    }
    let digits = 2 - value.abs().log10().floor() as i32;
    if digits > 6 {
        return format!("{value:.2e}");
    }
    let shown = format!("{value:.*}", digits.max(0) as usize);
    if shown.contains('.') { shown.trim_end_matches('0').trim_end_matches('.').to_owned() } else { shown }
}
