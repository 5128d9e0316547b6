//! The page on capacity and the records behind it: each row names its source, from which need, verdict and
//! slope are written anew. What a page says otherwise is not what was measured.
//!
//! A row has seven cells: what, need, budget, verdict, slope, mechanism, source. A source is `none`, where the
//! need says why it is not measured, or a sum of terms. `FILE:ROLE/COST/AXIS@SIZE` is the median at that size
//! where it was played, else what the fit foretells; with `~last` it goes on with the power of the two greatest
//! sizes. `1.5 ms` is itself. Each may be followed by `* 3`, `/ 2` or `as UNIT`. In the text
//! `<!--= SOURCE -->12 ms<!--/-->` holds one figure.

use super::fit::{Fit, Shape, fit, median};
use super::report::Report;
use super::{Point, Series};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::Path;

/// The records, by the name of their file without its end.
pub const RECORDS: [&str; 4] = ["before", "node", "members", "discovery"];
/// What the need of a row is whose record is not there.
const NO_RECORD: &str = "not measured: no record of this build yet";
/// Goals are waited for no longer, by record, in seconds.
const REACH_S: [(&str, f64); 2] = [("members", 60.0), ("discovery", 20.0)];

/// Need over budget from which on it is missing: one, and what arithmetic may be off by.
const MORE: f64 = 1.0 + 1e-9;

/// All series by their record.
pub type Records = BTreeMap<String, Vec<Series>>;

/// Reads the records of a folder; one that is not there is left out.
///
/// # Errors
/// A file that cannot be read, named.
pub fn records(dir: &Path) -> Result<Records, String> {
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

/// What kind of figure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Time,
    Bytes,
    Rate,
    Cores,
    Count,
    Calls,
}

/// Name, kind and factor of each unit; of one kind the greater come first.
const UNITS: [(&str, Kind, f64); 20] = [
    ("s", Kind::Time, 1.0),
    ("ms", Kind::Time, 1e-3),
    ("us", Kind::Time, 1e-6),
    ("GB", Kind::Bytes, 1e9),
    ("MB", Kind::Bytes, 1e6),
    ("KB", Kind::Bytes, 1e3),
    ("bytes", Kind::Bytes, 1.0),
    ("GB/s", Kind::Rate, 1e9),
    ("MB/s", Kind::Rate, 1e6),
    ("KB/s", Kind::Rate, 1e3),
    ("bytes/s", Kind::Rate, 1.0),
    ("bytes_per_s", Kind::Rate, 1.0),
    ("cores", Kind::Cores, 1.0),
    ("% of a core", Kind::Cores, 0.01),
    ("count", Kind::Count, 1.0),
    ("machines", Kind::Count, 1.0),
    ("machine", Kind::Count, 1.0),
    ("count_per_s", Kind::Calls, 1.0),
    ("calls/s", Kind::Calls, 1.0),
    ("/s", Kind::Calls, 1.0),
];

fn unit(name: &str) -> Result<(Kind, f64), String> {
    let one = UNITS.iter().find(|(n, ..)| *n == name);
    one.map(|(_, kind, factor)| (*kind, *factor)).ok_or_else(|| format!("no unit {name:?}"))
}

/// What a source comes to.
#[derive(Clone, Debug)]
struct Figure {
    kind: Kind,
    value: f64,
    /// The goal was not reached, so it is more than that.
    more: bool,
    /// Some term is of a record.
    recorded: bool,
    /// It is stated and nothing was done with it.
    plain: bool,
    slopes: Vec<String>,
}

/// Three significant digits, thousands apart.
fn digits(value: f64) -> String {
    if value == 0.0 || !value.is_finite() {
        return "0".to_owned();
    }
    let places = 2 - value.abs().log10().floor() as i32;
    let scale = 10f64.powi(places);
    let rounded = (value * scale).round() / scale;
    let text = format!("{rounded:.*}", usize::try_from(places).unwrap_or(0));
    let (whole, part) = text.split_once('.').unwrap_or((&text, ""));
    let mut out = String::new();
    for (n, c) in whole.chars().enumerate() {
        if n > 0 && (whole.len() - n).is_multiple_of(3) {
            out.push(',');
        }
        out.push(c);
    }
    let part = part.trim_end_matches('0');
    if part.is_empty() { out } else { format!("{out}.{part}") }
}

impl Figure {
    fn text(&self) -> String {
        let figure = match self.kind {
            Kind::Cores => format!("{}% of a core", digits(self.value * 100.0)),
            Kind::Count => digits(self.value),
            Kind::Calls => format!("{} /s", digits(self.value)),
            kind => {
                let mut units = UNITS.iter().filter(|u| u.1 == kind && !u.0.contains('_'));
                let fits = units.clone().find(|u| self.value >= u.2);
                fits.or_else(|| units.next_back())
                    .map_or_else(String::new, |u| format!("{} {}", digits(self.value / u.2), u.0))
            }
        };
        match (self.more, self.recorded) {
            (true, _) => format!("not reached in {figure}"),
            (_, true) => figure,
            (_, false) if self.plain => format!("stated: {figure}"),
            (_, false) => format!("by sum: {figure}"),
        }
    }
}

/// `1.5 ms`, and whatever stands behind a comma.
fn amount(text: &str) -> Result<(Kind, f64), String> {
    let text = text.split(", ").next().unwrap_or(text).trim();
    let end = text.find(|c: char| !c.is_ascii_digit() && c != '.' && c != ',').unwrap_or(text.len());
    let (number, name) = text.split_at(end);
    let number: f64 = number.replace(',', "").parse().map_err(|_| format!("no figure in {text:?}"))?;
    let (kind, factor) = unit(name.trim())?;
    Ok((kind, number * factor))
}

/// Exponent, interval, sizes and bend.
fn growth(f: &Fit) -> String {
    let mut out = format!("{:.2}", f.exponent);
    if let Some((low, high)) = f.interval {
        let _ = write!(out, " ({low:.2} to {high:.2})");
    }
    let _ = write!(out, ", {} to {}", digits(f.sizes.0), digits(f.sizes.1));
    if let Some(bend) = f.bend {
        let _ = write!(out, ", {:.2} from {} on", bend.after, digits(bend.size));
    }
    out
}

/// The same, and how the figure at a size came of it.
fn slope(fitted: Option<&Fit>, size: f64, point: Option<&Point>, last: bool) -> String {
    let Some(f) = fitted else { return "no growth seen".to_owned() };
    let shape = match f.nearest {
        _ if last => "the last two sizes",
        Shape::Power => "power",
        Shape::Bent => "bent power",
        Shape::Line => "line",
    };
    let (least, most) = f.sizes;
    let how = match point {
        Some(point) if point.values.len() == 1 => "played once".to_owned(),
        Some(_) => "played".to_owned(),
        None if size > most => format!("extrapolated {} times by {shape}", digits(size / most)),
        None if size < least => format!("extrapolated down {} times by {shape}", digits(least / size)),
        None => format!("between sizes by {shape}"),
    };
    format!("{}, {how}", growth(f))
}

/// A term that is of a record; none where that is not there.
fn recorded(records: &Records, word: &str) -> Result<Option<Figure>, String> {
    let wrong = || format!("{word:?} is no source");
    let (word, last) = word.strip_suffix("~last").map_or((word, false), |w| (w, true));
    let (file, rest) = word.split_once(':').ok_or_else(wrong)?;
    let (path, size) = rest.split_once('@').ok_or_else(wrong)?;
    let size: f64 = size.parse().map_err(|_| wrong())?;
    let parts: Vec<&str> = path.split('/').collect();
    let [role, cost, axis] = parts[..] else { return Err(wrong()) };
    if !RECORDS.contains(&file) {
        return Err(format!("no record {file:?}"));
    }
    let Some(all) = records.get(file) else { return Ok(None) };
    let find = |cost: &str| all.iter().find(|s| s.role == role && s.cost == cost && s.axis == axis);
    let at = |s: &Series| s.points.iter().position(|p| p.size == size && !p.values.is_empty());
    let series = find(cost);
    let point = series.and_then(|s| at(s).and_then(|n| s.points.get(n)));
    let fitted = series.and_then(|s| fit(s, Some(size)));
    let missed = find(&format!("{cost}_not_reached"))
        .is_some_and(|s| at(s).and_then(|n| s.points.get(n)).is_some_and(|p| median(&p.values) > 0.0));
    if point.is_none() && missed {
        let reach = REACH_S.iter().find(|(name, _)| *name == file).map_or(0.0, |r| r.1);
        let once = format!("not reached at {}", digits(size));
        let slopes = vec![fitted.map_or_else(|| once.clone(), |f| format!("{}; {once}", growth(&f)))];
        return Ok(Some(Figure {
            kind: Kind::Time,
            value: reach,
            more: true,
            recorded: true,
            plain: false,
            slopes,
        }));
    }
    let series = series.ok_or_else(|| format!("{word:?}: no such series"))?;
    let value = match (point, last) {
        (Some(point), _) => median(&point.values),
        (None, true) => {
            let points: Vec<(f64, f64)> =
                series.points.iter().rev().take(2).map(|p| (p.size, median(&p.values))).collect();
            let [(x2, y2), (x1, y1)] = points[..] else { return Err(format!("{word:?}: too few sizes")) };
            y2 * (size / x2).powf((y2 / y1).ln() / (x2 / x1).ln())
        }
        (None, false) => {
            let target = fitted.as_ref().and_then(|f| f.target);
            target.ok_or_else(|| format!("{word:?}: neither played nor fitted"))?.value
        }
    };
    let (kind, factor) = unit(&series.unit)?;
    let slopes = vec![slope(fitted.as_ref(), size, point, last)];
    Ok(Some(Figure { kind, value: value * factor, more: false, recorded: true, plain: false, slopes }))
}

/// What a source comes to; none where a record of it is not there.
fn figure(records: &Records, source: &str) -> Result<Option<Figure>, String> {
    let source = source.trim().trim_matches('`');
    let mut total: Option<Figure> = None;
    for term in source.split(" + ") {
        let mut words = term.split_whitespace();
        let first = words.next().ok_or("an empty source")?;
        let mut one = if first.contains(':') {
            match recorded(records, first)? {
                Some(one) => one,
                None => return Ok(None),
            }
        } else {
            let name = words.next().ok_or_else(|| format!("{first:?} has no unit"))?;
            let (kind, value) = amount(&format!("{first} {name}"))?;
            Figure { kind, value, more: false, recorded: false, plain: true, slopes: Vec::new() }
        };
        while let Some(sign) = words.next() {
            let word = words.next().unwrap_or_default();
            one.plain = false;
            match (sign, word.parse::<f64>()) {
                ("*", Ok(by)) => one.value *= by,
                ("/", Ok(by)) if by > 0.0 => one.value /= by,
                // The value is in the base of its own kind: s, bytes, cores.
                ("as", Err(_)) => {
                    let (kind, factor) = unit(word)?;
                    (one.kind, one.value) = (kind, one.value * factor);
                }
                _ => return Err(format!("{term:?} is no term")),
            }
        }
        match &mut total {
            None => total = Some(one),
            Some(t) if t.kind == one.kind => {
                t.value += one.value;
                t.more |= one.more;
                t.recorded |= one.recorded;
                t.plain = false;
                t.slopes.extend(one.slopes);
            }
            Some(_) => return Err(format!("{source:?} adds what cannot be added")),
        }
    }
    total.map(Some).ok_or_else(|| "an empty source".to_owned())
}

/// A row's own name, and need over budget where both are known.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// The heading that it stands below.
    pub section: String,
    /// Its first cell.
    pub what: String,
    /// Need over budget.
    pub over: Option<f64>,
}

/// The page as the records have it, and its rows.
///
/// # Errors
/// Each row that says nothing: an empty cell, no source and no reason, a source that is not there.
pub fn written(page: &str, records: &Records) -> Result<(String, Vec<Row>), Vec<String>> {
    let (mut out, mut rows, mut wrong) = (String::new(), Vec::new(), Vec::new());
    let (mut section, mut sourced) = (String::new(), false);
    for line in page.lines() {
        if line.starts_with('#') {
            line.trim_start_matches('#').trim().clone_into(&mut section);
        }
        let cells: Vec<&str> = line.trim().trim_matches('|').split('|').map(str::trim).collect();
        let table = line.starts_with('|');
        if !table {
            sourced = false;
        } else if cells.last() == Some(&"source") {
            sourced = true;
        } else if sourced && !line.starts_with("|--") && !line.starts_with("| --") {
            match row(&section, &cells, records) {
                Ok((text, row)) => {
                    let _ = writeln!(out, "{text}");
                    rows.push(row);
                    continue;
                }
                Err(e) => wrong.push(format!("{section}: {}: {e}", cells.first().unwrap_or(&""))),
            }
        }
        match inline(line, records) {
            Ok(text) => drop(writeln!(out, "{text}")),
            Err(e) => wrong.push(format!("{section}: {e}")),
        }
    }
    if wrong.is_empty() { Ok((out, rows)) } else { Err(wrong) }
}

fn row(section: &str, cells: &[&str], records: &Records) -> Result<(String, Row), String> {
    let [what, need, budget, _, slope, mechanism, source] = cells else {
        return Err(format!("{} cells, not seven", cells.len()));
    };
    if let Some(n) = cells.iter().position(|c| c.is_empty()) {
        return Err(format!("cell {} is empty", n + 1));
    }
    let budgeted = if *budget == "none set" { None } else { Some(amount(budget)?) };
    let (mut over, mut verdict, mut slopes) = (None, "not measured".to_owned(), (*slope).to_owned());
    let need = match (*source, budgeted) {
        ("none", _) => {
            if need.strip_prefix("not measured: ").is_none_or(|why| why.len() < 8) {
                return Err("no source, and no reason why it is not measured".to_owned());
            }
            (*need).to_owned()
        }
        (source, budgeted) => match figure(records, source)? {
            None => {
                "none".clone_into(&mut slopes);
                NO_RECORD.to_owned()
            }
            Some(figure) => {
                let mut seen = figure.slopes.clone();
                seen.dedup();
                slopes = seen.join("; ");
                if slopes.is_empty() {
                    "constant".clone_into(&mut slopes);
                }
                verdict = "none set".to_owned();
                if let Some((kind, budget)) = budgeted {
                    if kind != figure.kind {
                        return Err(format!("need is of kind {:?}, budget of {kind:?}", figure.kind));
                    }
                    let times = figure.value / budget;
                    over = Some(times);
                    verdict = match times {
                        t if t > MORE && figure.more => format!("missing, more than {} times", digits(t)),
                        t if t > MORE => format!("missing, {} times", digits(t)),
                        t if t > 1.0 / 1.05 => "holds".to_owned(),
                        t if t <= 0.0 => "holds".to_owned(),
                        t => format!("holds by {}", digits(1.0 / t)),
                    };
                }
                figure.text()
            }
        },
    };
    let text = format!("| {what} | {need} | {budget} | {verdict} | {slopes} | {mechanism} | {source} |");
    Ok((text, Row { section: section.to_owned(), what: (*what).to_owned(), over }))
}

/// A line with its figures written anew.
fn inline(line: &str, records: &Records) -> Result<String, String> {
    let (mut out, mut rest) = (String::new(), line);
    while let Some((before, behind)) = rest.split_once("<!--= ") {
        let ends = || format!("a figure in {line:?} has no end");
        let (source, behind) = behind.split_once(" -->").ok_or_else(ends)?;
        let (_, behind) = behind.split_once("<!--/-->").ok_or_else(ends)?;
        let text = figure(records, source)?.map_or_else(|| NO_RECORD.to_owned(), |f| f.text());
        let _ = write!(out, "{before}<!--= {source} -->{text}<!--/-->");
        rest = behind;
    }
    Ok(out + rest)
}
