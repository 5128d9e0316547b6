//! Computes the figures of the capacity page from the records of the measurements: each table row names its
//! source, from which its need, verdict and slope are computed. A test compares the page with the result.
//!
//! A row has seven cells: what, need, budget, verdict, slope, mechanism, source. The source is `none`, in
//! which case the need says why it is not measured, or a sum of terms separated by ` + `. The term
//! `FILE:ROLE/COST/AXIS@SIZE` is the median at that size if it was measured, else the estimate of the fit;
//! with the suffix `~last` the estimate extrapolates the power through the two largest sizes. A term such
//! as `1.5 ms` is a constant. Each term may be followed by `* 3`, `/ 2` or `as UNIT`. In running text,
//! `<!--= SOURCE -->12 ms<!--/-->` contains one figure.

use super::fit::{Fit, Shape, fit, median};
use super::report::Report;
use super::{Point, Series};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::Path;

/// Names of the record files, without the extension `.json`.
pub const RECORDS: [&str; 4] = ["before", "node", "members", "discovery"];
/// Need of a row whose record file does not exist.
const NO_RECORD_TEXT: &str = "not measured: no record of this build yet";
/// Longest time that a measurement waits for an event, in seconds, by record.
const MAX_WAIT_S: [(&str, f64); 2] = [("members", 60.0), ("discovery", 20.0)];

/// Largest ratio of need to budget that is within the budget: 1, plus a tolerance for rounding errors.
const MAX_RATIO_WITHIN_BUDGET: f64 = 1.0 + 1e-9;

/// The series of each record, by the record's name.
pub type Records = BTreeMap<String, Vec<Series>>;

/// Reads the records in a directory. Records whose file does not exist are left out.
///
/// # Errors
/// Returns the path and the error of the first file that cannot be read or parsed.
pub fn read_records(dir: &Path) -> Result<Records, String> {
    let mut all = Records::new();
    for name in RECORDS {
        let path = dir.join(format!("{name}.json"));
        let text = match std::fs::read_to_string(&path) {
            Ok(text) => text,
            Err(e) if e.kind() == std::io::ErrorKind::NotFound => continue,
            Err(e) => return Err(format!("{}: {e}", path.display())),
        };
        let report =
            serde_json::from_str(&text).map(|r: Report| r.series.into_iter().map(|s| s.series).collect());
        let series = report.or_else(|_| serde_json::from_str::<Vec<Series>>(&text));
        all.insert(name.to_owned(), series.map_err(|e| format!("{}: {e}", path.display()))?);
    }
    Ok(all)
}

/// Physical dimension of a figure. Error messages contain the names of the variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Dimension {
    Time,
    Bytes,
    Rate,
    Cores,
    Count,
    Calls,
}

/// Name, dimension and factor of each unit; the units of one dimension in descending order.
const UNITS: [(&str, Dimension, f64); 20] = [
    ("s", Dimension::Time, 1.0),
    ("ms", Dimension::Time, 1e-3),
    ("us", Dimension::Time, 1e-6),
    ("GB", Dimension::Bytes, 1e9),
    ("MB", Dimension::Bytes, 1e6),
    ("KB", Dimension::Bytes, 1e3),
    ("bytes", Dimension::Bytes, 1.0),
    ("GB/s", Dimension::Rate, 1e9),
    ("MB/s", Dimension::Rate, 1e6),
    ("KB/s", Dimension::Rate, 1e3),
    ("bytes/s", Dimension::Rate, 1.0),
    ("bytes_per_s", Dimension::Rate, 1.0),
    ("cores", Dimension::Cores, 1.0),
    ("% of a core", Dimension::Cores, 0.01),
    ("count", Dimension::Count, 1.0),
    ("machines", Dimension::Count, 1.0),
    ("machine", Dimension::Count, 1.0),
    ("count_per_s", Dimension::Calls, 1.0),
    ("calls/s", Dimension::Calls, 1.0),
    ("/s", Dimension::Calls, 1.0),
];

fn find_unit(name: &str) -> Result<(Dimension, f64), String> {
    let unit = UNITS.iter().find(|(n, ..)| *n == name);
    unit.map(|(_, dimension, factor)| (*dimension, *factor)).ok_or_else(|| format!("unknown unit {name:?}"))
}

/// Value of a source, in the base unit of its dimension: seconds, bytes, cores, ...
#[derive(Clone, Debug)]
struct Figure {
    dimension: Dimension,
    value: f64,
    /// True if the measured event did not happen within the time limit: the true value is larger.
    is_lower_bound: bool,
    /// True if at least one term is from a record.
    is_recorded: bool,
    /// True if the figure is a single constant without arithmetic.
    is_stated: bool,
    /// Slope texts of the recorded terms.
    slopes: Vec<String>,
}

/// Formats a number with three significant digits and commas between thousands.
fn format_number(value: f64) -> String {
    if value == 0.0 || !value.is_finite() {
        return "0".to_owned();
    }
    let decimals = 2 - value.abs().log10().floor() as i32;
    let scale = 10f64.powi(decimals);
    let rounded = (value * scale).round() / scale;
    let text = format!("{rounded:.*}", usize::try_from(decimals).unwrap_or(0));
    let (integer, fraction) = text.split_once('.').unwrap_or((&text, ""));
    let mut out = String::new();
    for (n, c) in integer.chars().enumerate() {
        if n > 0 && (integer.len() - n).is_multiple_of(3) {
            out.push(',');
        }
        out.push(c);
    }
    let fraction = fraction.trim_end_matches('0');
    if fraction.is_empty() { out } else { format!("{out}.{fraction}") }
}

impl Figure {
    fn text(&self) -> String {
        let figure = match self.dimension {
            Dimension::Cores => format!("{}% of a core", format_number(self.value * 100.0)),
            Dimension::Count => format_number(self.value),
            Dimension::Calls => format!("{} /s", format_number(self.value)),
            dimension => {
                let mut units = UNITS.iter().filter(|u| u.1 == dimension && !u.0.contains('_'));
                let largest_fitting = units.clone().find(|u| self.value >= u.2);
                largest_fitting
                    .or_else(|| units.next_back())
                    .map_or_else(String::new, |u| format!("{} {}", format_number(self.value / u.2), u.0))
            }
        };
        match (self.is_lower_bound, self.is_recorded) {
            (true, _) => format!("not reached in {figure}"),
            (_, true) => figure,
            (_, false) if self.is_stated => format!("stated: {figure}"),
            (_, false) => format!("by sum: {figure}"),
        }
    }
}

/// Parses a quantity such as `1.5 ms` and returns its dimension and its value in the base unit. Text after
/// `, ` is ignored.
fn parse_quantity(text: &str) -> Result<(Dimension, f64), String> {
    let text = text.split(", ").next().unwrap_or(text).trim();
    let end = text.find(|c: char| !c.is_ascii_digit() && c != '.' && c != ',').unwrap_or(text.len());
    let (number, name) = text.split_at(end);
    let number: f64 =
        number.replace(',', "").parse().map_err(|_| format!("no number at the start of {text:?}"))?;
    let (dimension, factor) = find_unit(name.trim())?;
    Ok((dimension, number * factor))
}

/// Formats the exponent, its confidence interval, the range of sizes and the bend of a fit.
fn growth_text(f: &Fit) -> String {
    let mut out = format!("{:.2}", f.exponent);
    if let Some((low, high)) = f.interval {
        let _ = write!(out, " ({low:.2} to {high:.2})");
    }
    let _ = write!(out, ", {} to {}", format_number(f.sizes.0), format_number(f.sizes.1));
    if let Some(bend) = f.bend {
        let _ = write!(out, ", {:.2} from {} on", bend.after, format_number(bend.size));
    }
    out
}

/// Formats a fit as [`growth_text`] does, and how the figure at `size` was obtained. `is_last` says that it
/// is extrapolated from the two largest sizes; `point` is the measurement at that size, if any.
fn slope_text(fitted: Option<&Fit>, size: f64, point: Option<&Point>, is_last: bool) -> String {
    let Some(f) = fitted else { return "no growth seen".to_owned() };
    let shape = match f.nearest {
        _ if is_last => "the last two sizes",
        Shape::Power => "power",
        Shape::Bent => "bent power",
        Shape::Line => "line",
    };
    let (min_size, max_size) = f.sizes;
    let origin = match point {
        Some(point) if point.values.len() == 1 => "played once".to_owned(),
        Some(_) => "played".to_owned(),
        None if size > max_size => {
            format!("extrapolated {} times by {shape}", format_number(size / max_size))
        }
        None if size < min_size => {
            format!("extrapolated down {} times by {shape}", format_number(min_size / size))
        }
        None => format!("between sizes by {shape}"),
    };
    format!("{}, {origin}", growth_text(f))
}

/// Evaluates a term `FILE:ROLE/COST/AXIS@SIZE`, with or without `~last`. Returns `None` if the record's
/// file does not exist.
///
/// # Errors
/// Returns an error if the term cannot be parsed, the record's name is unknown, or the record has no such
/// series or too few sizes.
fn recorded_term(records: &Records, term: &str) -> Result<Option<Figure>, String> {
    let invalid = || format!("{term:?} is not FILE:ROLE/COST/AXIS@SIZE");
    let (term, is_last) = term.strip_suffix("~last").map_or((term, false), |t| (t, true));
    let (file, rest) = term.split_once(':').ok_or_else(invalid)?;
    let (path, size) = rest.split_once('@').ok_or_else(invalid)?;
    let size: f64 = size.parse().map_err(|_| invalid())?;
    let parts: Vec<&str> = path.split('/').collect();
    let [role, cost, axis] = parts[..] else { return Err(invalid()) };
    if !RECORDS.contains(&file) {
        return Err(format!("unknown record {file:?}"));
    }
    let Some(all) = records.get(file) else { return Ok(None) };
    let find = |cost: &str| all.iter().find(|s| s.role == role && s.cost == cost && s.axis == axis);
    let point_index = |s: &Series| s.points.iter().position(|p| p.size == size && !p.values.is_empty());
    let series = find(cost);
    let point = series.and_then(|s| point_index(s).and_then(|n| s.points.get(n)));
    let fitted = series.and_then(|s| fit(s, Some(size)));
    let is_not_reached = find(&format!("{cost}_not_reached")).is_some_and(|s| {
        point_index(s).and_then(|n| s.points.get(n)).is_some_and(|p| median(&p.values) > 0.0)
    });
    if point.is_none() && is_not_reached {
        let max_wait_s = MAX_WAIT_S.iter().find(|(name, _)| *name == file).map_or(0.0, |r| r.1);
        let not_reached = format!("not reached at {}", format_number(size));
        let slopes = vec![
            fitted.map_or_else(|| not_reached.clone(), |f| format!("{}; {not_reached}", growth_text(&f))),
        ];
        return Ok(Some(Figure {
            dimension: Dimension::Time,
            value: max_wait_s,
            is_lower_bound: true,
            is_recorded: true,
            is_stated: false,
            slopes,
        }));
    }
    let series = series.ok_or_else(|| format!("{term:?}: no such series"))?;
    let value = match (point, is_last) {
        (Some(point), _) => median(&point.values),
        (None, true) => {
            let points: Vec<(f64, f64)> =
                series.points.iter().rev().take(2).map(|p| (p.size, median(&p.values))).collect();
            let [(x2, y2), (x1, y1)] = points[..] else { return Err(format!("{term:?}: too few sizes")) };
            y2 * (size / x2).powf((y2 / y1).ln() / (x2 / x1).ln())
        }
        (None, false) => {
            let target = fitted.as_ref().and_then(|f| f.target);
            target.ok_or_else(|| format!("{term:?}: neither measured nor fitted"))?.value
        }
    };
    let (dimension, factor) = find_unit(&series.unit)?;
    let slopes = vec![slope_text(fitted.as_ref(), size, point, is_last)];
    Ok(Some(Figure {
        dimension,
        value: value * factor,
        is_lower_bound: false,
        is_recorded: true,
        is_stated: false,
        slopes,
    }))
}

/// Evaluates a source. Returns `None` if the file of one of its records does not exist.
///
/// # Errors
/// Returns an error if a term cannot be parsed or evaluated, or if the terms differ in dimension.
fn figure(records: &Records, source: &str) -> Result<Option<Figure>, String> {
    let source = source.trim().trim_matches('`');
    let mut total: Option<Figure> = None;
    for term in source.split(" + ") {
        let mut words = term.split_whitespace();
        let first = words.next().ok_or("an empty source")?;
        let mut figure = if first.contains(':') {
            match recorded_term(records, first)? {
                Some(figure) => figure,
                None => return Ok(None),
            }
        } else {
            let name = words.next().ok_or_else(|| format!("{first:?} has no unit"))?;
            let (dimension, value) = parse_quantity(&format!("{first} {name}"))?;
            Figure {
                dimension,
                value,
                is_lower_bound: false,
                is_recorded: false,
                is_stated: true,
                slopes: Vec::new(),
            }
        };
        while let Some(operator) = words.next() {
            let operand = words.next().unwrap_or_default();
            figure.is_stated = false;
            match (operator, operand.parse::<f64>()) {
                ("*", Ok(factor)) => figure.value *= factor,
                ("/", Ok(divisor)) if divisor > 0.0 => figure.value /= divisor,
                // The value is in the base unit of its dimension: seconds, bytes, cores.
                ("as", Err(_)) => {
                    let (dimension, factor) = find_unit(operand)?;
                    (figure.dimension, figure.value) = (dimension, figure.value * factor);
                }
                _ => return Err(format!("{term:?} is not a valid term")),
            }
        }
        match &mut total {
            None => total = Some(figure),
            Some(t) if t.dimension == figure.dimension => {
                t.value += figure.value;
                t.is_lower_bound |= figure.is_lower_bound;
                t.is_recorded |= figure.is_recorded;
                t.is_stated = false;
                t.slopes.extend(figure.slopes);
            }
            Some(_) => return Err(format!("{source:?} adds figures of different dimensions")),
        }
    }
    total.map(Some).ok_or_else(|| "an empty source".to_owned())
}

/// A table row of the page.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// Text of the heading above the row's table.
    pub section: String,
    /// Text of the first cell, which names what the row is about.
    pub what: String,
    /// Need divided by budget; `None` if the row has no measured need or no budget.
    pub budget_ratio: Option<f64>,
}

/// Returns the page with all figures computed from the records, and its rows.
///
/// # Errors
/// Returns one message for each row or figure in error: an empty cell, neither a source nor a reason why
/// the need is not measured, or a source that cannot be evaluated.
pub fn render(page: &str, records: &Records) -> Result<(String, Vec<Row>), Vec<String>> {
    let (mut out, mut rows, mut errors) = (String::new(), Vec::new(), Vec::new());
    // `has_sources` is true inside a table whose last column is `source`.
    let (mut section, mut has_sources) = (String::new(), false);
    for line in page.lines() {
        if line.starts_with('#') {
            line.trim_start_matches('#').trim().clone_into(&mut section);
        }
        let cells: Vec<&str> = line.trim().trim_matches('|').split('|').map(str::trim).collect();
        let is_table_line = line.starts_with('|');
        if !is_table_line {
            has_sources = false;
        } else if cells.last() == Some(&"source") {
            has_sources = true;
        } else if has_sources && !line.starts_with("|--") && !line.starts_with("| --") {
            match row(&section, &cells, records) {
                Ok((text, row)) => {
                    let _ = writeln!(out, "{text}");
                    rows.push(row);
                    continue;
                }
                Err(e) => errors.push(format!("{section}: {}: {e}", cells.first().unwrap_or(&""))),
            }
        }
        match render_inline(line, records) {
            Ok(text) => drop(writeln!(out, "{text}")),
            Err(e) => errors.push(format!("{section}: {e}")),
        }
    }
    if errors.is_empty() { Ok((out, rows)) } else { Err(errors) }
}

/// Computes need, verdict and slope of a row, and returns the row as text and as a value.
fn row(section: &str, cells: &[&str], records: &Records) -> Result<(String, Row), String> {
    let [what, need, budget, _, slope, mechanism, source] = cells else {
        return Err(format!("{} cells instead of seven", cells.len()));
    };
    if let Some(n) = cells.iter().position(|c| c.is_empty()) {
        return Err(format!("cell {} is empty", n + 1));
    }
    let budgeted = if *budget == "none set" { None } else { Some(parse_quantity(budget)?) };
    let (mut budget_ratio, mut verdict, mut slopes) =
        (None, "not measured".to_owned(), (*slope).to_owned());
    let need = match (*source, budgeted) {
        ("none", _) => {
            if need.strip_prefix("not measured: ").is_none_or(|reason| reason.len() < 8) {
                return Err("neither a source nor a reason why it is not measured".to_owned());
            }
            (*need).to_owned()
        }
        (source, budgeted) => match figure(records, source)? {
            None => {
                "none".clone_into(&mut slopes);
                NO_RECORD_TEXT.to_owned()
            }
            Some(figure) => {
                let mut distinct = figure.slopes.clone();
                distinct.dedup();
                slopes = distinct.join("; ");
                if slopes.is_empty() {
                    "constant".clone_into(&mut slopes);
                }
                verdict = "none set".to_owned();
                if let Some((dimension, budget)) = budgeted {
                    if dimension != figure.dimension {
                        return Err(format!(
                            "dimension of need is {:?}, of budget {dimension:?}",
                            figure.dimension
                        ));
                    }
                    let ratio = figure.value / budget;
                    budget_ratio = Some(ratio);
                    verdict = match ratio {
                        t if t > MAX_RATIO_WITHIN_BUDGET && figure.is_lower_bound => {
                            format!("missing, more than {} times", format_number(t))
                        }
                        t if t > MAX_RATIO_WITHIN_BUDGET => format!("missing, {} times", format_number(t)),
                        t if t > 1.0 / 1.05 => "holds".to_owned(),
                        t if t <= 0.0 => "holds".to_owned(),
                        t => format!("holds by {}", format_number(1.0 / t)),
                    };
                }
                figure.text()
            }
        },
    };
    let text = format!("| {what} | {need} | {budget} | {verdict} | {slopes} | {mechanism} | {source} |");
    Ok((text, Row { section: section.to_owned(), what: (*what).to_owned(), budget_ratio }))
}

/// Returns a line of running text with its marked figures computed from the records.
fn render_inline(line: &str, records: &Records) -> Result<String, String> {
    let (mut out, mut rest) = (String::new(), line);
    while let Some((before, after)) = rest.split_once("<!--= ") {
        let unterminated = || format!("a figure in {line:?} has no end");
        let (source, after) = after.split_once(" -->").ok_or_else(unterminated)?;
        let (_, after) = after.split_once("<!--/-->").ok_or_else(unterminated)?;
        let text = figure(records, source)?.map_or_else(|| NO_RECORD_TEXT.to_owned(), |f| f.text());
        let _ = write!(out, "{before}<!--= {source} -->{text}<!--/-->");
        rest = after;
    }
    Ok(out + rest)
}
