//! Reports of a run: a JSON file, and a static page with plots.

use crate::checker::Figures;
use crate::plan::Plan;
use crate::real::Outcome;
use plotters::prelude::*;
use std::fmt::Write as _;
use std::io;
use std::path::Path;

type PlotResult = Result<String, Box<dyn std::error::Error>>;

/// Width and height of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (900, 260);

/// Writes `report.json` and `index.html` into a directory, which is created if it does not exist.
///
/// # Errors
/// Returns an error if the directory or a file cannot be written.
pub fn write(dir: &Path, plan: &Plan, outcome: &Outcome) -> io::Result<()> {
    std::fs::create_dir_all(dir)?;
    std::fs::write(dir.join("report.json"), serde_json::to_vec_pretty(outcome)?)?;
    std::fs::write(dir.join("index.html"), page(plan, outcome))
}

/// Draws a plot as SVG.
fn plot(
    draw: impl FnOnce(
        &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    ) -> Result<(), Box<dyn std::error::Error>>,
) -> PlotResult {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, PLOT_SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        draw(&area)?;
        area.present()?;
    }
    Ok(svg)
}

/// Plots the share of the worth served over time, with the faults as bands, and the tries refused and
/// failed.
fn plot_worth(f: &Figures) -> PlotResult {
    plot(|area| {
        let step = f.bin_ms / 1000.0;
        let end = f.asked_worth.len() as f64 * step;
        let mut chart = ChartBuilder::on(area)
            .margin(8)
            .caption("served of the worth asked for", ("sans-serif", 14))
            .x_label_area_size(24)
            .y_label_area_size(40)
            .build_cartesian_2d(0.0..end.max(step), 0.0..1.05)?;
        chart.configure_mesh().x_desc("s").draw()?;
        for (n, (_, from, to)) in f.troubles.iter().enumerate() {
            let (from, to) = (from / 1000.0, (to / 1000.0).max(from / 1000.0 + step));
            let colour = Palette99::pick(n).mix(0.15);
            chart.draw_series([Rectangle::new([(from, 0.0), (to, 1.05)], colour.filled())])?;
        }
        let share = |asked: &f64, served: &f64| if *asked > 0.0 { (served / asked).min(1.05) } else { 1.0 };
        let line = f.asked_worth.iter().zip(&f.served_worth).enumerate();
        chart.draw_series(LineSeries::new(
            line.map(|(n, (a, s))| ((n as f64 + 0.5) * step, share(a, s))),
            &BLUE,
        ))?;
        let most = f.refused_series.iter().chain(&f.failed_series).copied().max().unwrap_or(0).max(1);
        let scaled = |series: &[u32]| -> Vec<(f64, f64)> {
            let at = |(n, v): (usize, &u32)| ((n as f64 + 0.5) * step, f64::from(*v) / f64::from(most));
            series.iter().enumerate().map(at).collect()
        };
        chart.draw_series(LineSeries::new(scaled(&f.refused_series), &RED.mix(0.6)))?;
        chart.draw_series(LineSeries::new(scaled(&f.failed_series), &BLACK.mix(0.5)))?;
        Ok(())
    })
}

/// Plots the attempts at each server.
fn plot_attempts(f: &Figures) -> PlotResult {
    plot(|area| {
        let most = f.servers.iter().copied().max().unwrap_or(0).max(1) as f64;
        let mut chart = ChartBuilder::on(area)
            .margin(8)
            .caption("attempts at each server", ("sans-serif", 14))
            .x_label_area_size(24)
            .y_label_area_size(50)
            .build_cartesian_2d(0.0..f.servers.len().max(1) as f64, 0.0..most * 1.05)?;
        chart.configure_mesh().disable_x_mesh().draw()?;
        chart.draw_series(f.servers.iter().enumerate().map(|(n, v)| {
            let x = n as f64;
            Rectangle::new([(x + 0.1, 0.0), (x + 0.9, *v as f64)], BLUE.mix(0.6).filled())
        }))?;
        Ok(())
    })
}

/// Plots the answer time by percentile, on a logarithmic scale of percentiles.
fn plot_answer_times(f: &Figures) -> PlotResult {
    plot(|area| {
        let most = f.answer_curve.last().map_or(1.0, |p| p.1).max(0.1);
        // Number of nines of a quantile: 1 for 90 %, 2 for 99 %.
        let nines = |q: f64| -(1.0 - q).max(1e-6).log10();
        let end = f.answer_curve.last().map_or(3.0, |p| nines(p.0)).max(0.5);
        let mut chart = ChartBuilder::on(area)
            .margin(8)
            .caption(
                "answer in ms, by nines of the answers (1: 90 %, 2: 99 %, 3: 99.9 %)",
                ("sans-serif", 14),
            )
            .x_label_area_size(24)
            .y_label_area_size(50)
            .build_cartesian_2d(0.0..end, 0.0..most * 1.05)?;
        chart.configure_mesh().draw()?;
        chart.draw_series(LineSeries::new(f.answer_curve.iter().map(|(q, ms)| (nines(*q), *ms)), &BLUE))?;
        Ok(())
    })
}

/// Plots the attempts per second at each server over time.
fn plot_load(f: &Figures) -> PlotResult {
    plot(|area| {
        let most = f.server_series.iter().flatten().copied().max().unwrap_or(0).max(1);
        let end = f.server_series.iter().map(Vec::len).max().unwrap_or(0).max(1) as f64;
        let mut chart = ChartBuilder::on(area)
            .margin(8)
            .caption("attempts a second at each server", ("sans-serif", 14))
            .x_label_area_size(24)
            .y_label_area_size(50)
            .build_cartesian_2d(0.0..end, 0.0..f64::from(most) * 1.05)?;
        chart.configure_mesh().x_desc("s").draw()?;
        for (n, series) in f.server_series.iter().enumerate() {
            let line = series.iter().enumerate().map(|(s, v)| (s as f64 + 0.5, f64::from(*v)));
            chart.draw_series(LineSeries::new(line, &Palette99::pick(n)))?;
        }
        Ok(())
    })
}

/// A figure of an experiment: its mean and confidence interval at each value of the parameter.
pub struct Curve {
    /// Name of the figure.
    pub name: String,
    /// For each value: the mean, and half the width of its confidence interval, which may be infinite.
    pub points: Vec<(f64, f64)>,
}

/// Writes the page `index.html` of an experiment into a directory: a plot of each figure over the values.
///
/// # Errors
/// Returns an error if the directory or the page cannot be written.
pub fn experiment(dir: &Path, title: &str, values: &[String], curves: &[Curve]) -> io::Result<()> {
    std::fs::create_dir_all(dir)?;
    let mut out =
        format!("<!doctype html><meta charset=\"utf-8\"><title>{0}</title>\n<h1>{0}</h1>\n", escape(title));
    for curve in curves.iter().filter(|c| c.points.iter().any(|p| p.0.is_finite())) {
        let drawn = plot(|area| {
            let low = curve.points.iter().map(|(m, h)| m - if h.is_finite() { *h } else { 0.0 });
            let high = curve.points.iter().map(|(m, h)| m + if h.is_finite() { *h } else { 0.0 });
            let (low, high) = (low.fold(f64::INFINITY, f64::min), high.fold(f64::NEG_INFINITY, f64::max));
            let room = ((high - low) * 0.1).max(high.abs() * 0.01).max(1e-6);
            let mut chart = ChartBuilder::on(area)
                .margin(8)
                .caption(&curve.name, ("sans-serif", 14))
                .x_label_area_size(24)
                .y_label_area_size(60)
                .build_cartesian_2d(-0.5..values.len() as f64 - 0.5, low - room..high + room)?;
            let label = |x: &f64| {
                let near = (x - x.round()).abs() < 0.01 && *x > -0.5;
                values.get(x.round().max(0.0) as usize).filter(|_| near).cloned().unwrap_or_default()
            };
            chart.configure_mesh().x_labels(2 * values.len() + 1).x_label_formatter(&label).draw()?;
            let at = |(n, (m, _)): (usize, &(f64, f64))| (n as f64, *m);
            chart.draw_series(LineSeries::new(curve.points.iter().enumerate().map(at), &BLUE))?;
            let bars = curve.points.iter().enumerate().filter(|(_, (_, h))| h.is_finite());
            chart.draw_series(
                bars.map(|(n, (m, h))| PathElement::new([(n as f64, m - h), (n as f64, m + h)], BLUE)),
            )?;
            Ok(())
        });
        match drawn {
            Ok(svg) => out.push_str(&svg),
            Err(e) => out.push_str(&format!("<p>no plot: {}</p>", escape(&e.to_string()))),
        }
        out.push('\n');
    }
    std::fs::write(dir.join("index.html"), out)
}

/// Escapes text for HTML.
fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// Appends a table of names and values.
fn table(out: &mut String, rows: &[(String, String)]) {
    out.push_str("<table>\n");
    for (name, value) in rows {
        // Writing to a `String` cannot fail.
        let _ = writeln!(out, "<tr><td>{}</td><td>{}</td></tr>", escape(name), escape(value));
    }
    out.push_str("</table>\n");
}

/// Returns the HTML page of a run.
fn page(plan: &Plan, outcome: &Outcome) -> String {
    let f = &outcome.figures;
    let mut out = format!(
        "<!doctype html><meta charset=\"utf-8\"><title>{0}</title>\n<style>body{{font:14px sans-serif;max-width:60em;\
         margin:2em auto}}td{{padding:0 1em 0 0;vertical-align:top}}pre{{white-space:pre-wrap}}</style>\n<h1>{0}, seed \
         {1}</h1>\n<p>{2}</p>\n<pre>{3}</pre>\n",
        escape(&outcome.name),
        outcome.seed,
        escape(&plan.scenario.about),
        escape(&outcome.line())
    );
    for plot in [plot_worth(f), plot_answer_times(f), plot_load(f), plot_attempts(f)] {
        match plot {
            Ok(svg) => out.push_str(&svg),
            Err(e) => out.push_str(&format!("<p>no plot: {}</p>", escape(&e.to_string()))),
        }
        out.push('\n');
    }
    out.push_str(
        "<p>Blue: served. Red: refused, grey: failed, both relative to their maximum. Bands: faults.</p>\n",
    );
    let mut figures = vec![
        ("worth served".to_owned(), format!("{:.4}", f.worth)),
        ("less the price of crossings".to_owned(), format!("{:.4}", f.worth_less_crossings)),
        ("worst 5 s".to_owned(), format!("{:.4}", f.worst_5s)),
        ("worst class".to_owned(), format!("{:.4}", f.worst_class)),
        ("worst tenant".to_owned(), format!("{:.4}", f.worst_tenant)),
        ("asked, tries for each".to_owned(), format!("{}, {:.3}", f.asked, f.tries)),
        ("refused, failed, crossed".to_owned(), format!("{}, {}, {}", f.refused, f.failed, f.crossed)),
        ("attempts, crossings".to_owned(), format!("{:.3}, {:.3}", f.attempts, f.crossings)),
        ("probes, handshakes".to_owned(), format!("{}, {}", f.probes, f.handshakes)),
        ("datagrams, bytes".to_owned(), format!("{}, {}", f.datagrams, f.datagram_bytes)),
        ("answer ms p50, p90, p99, p99.9".to_owned(), format!("{:?}", f.answer_ms)),
        ("lab late ms p99".to_owned(), format!("{:.2}", f.lateness_ms)),
        ("node CPU us a try".to_owned(), format!("{:.0}", outcome.cpu_us)),
        ("node memory kB".to_owned(), format!("{:?}", outcome.memory_kb)),
    ];
    if let Some(r) = &f.returns {
        let value = format!("{} times, first answer ms p50, p99, worst {:?}", r.times, r.first_ms);
        figures.push(("nodes that returned".to_owned(), value));
        let value = format!("{:.4}, others meanwhile {:.4}", r.served, r.others);
        figures.push(("served of their first 2 s".to_owned(), value));
    }
    figures.extend(f.classes.iter().map(|(n, v)| (format!("class {n}"), format!("{v:.4}"))));
    figures.extend(f.tenants.iter().map(|(n, v)| (format!("tenant {n}"), format!("{v:.4}"))));
    let back =
        |ms: &Option<f64>| ms.map_or_else(|| "never".to_owned(), |ms| format!("{:.1} s", ms / 1000.0));
    figures.extend(f.recover_ms.iter().map(|(n, ms)| (format!("back after {n}"), back(ms))));
    table(&mut out, &figures);
    out.push_str("<h2>Attempts from zone to zone</h2>\n<table><tr><td></td>");
    let zones = &plan.scenario.fleet.zones;
    zones.iter().for_each(|z| out.push_str(&format!("<td>{}</td>", escape(z))));
    out.push_str("</tr>\n");
    for (zone, row) in zones.iter().zip(&f.flows) {
        let cells: String = row.iter().map(|n| format!("<td>{n}</td>")).collect();
        let _ = writeln!(out, "<tr><td>{}</td>{cells}</tr>", escape(zone));
    }
    out.push_str("</table>\n");
    if !f.breaches.is_empty() {
        out.push_str("<h2>Broken rules, the first of each</h2>\n<ul>\n");
        for b in &f.breaches {
            let _ =
                writeln!(out, "<li>{:?} at {:.3} s: {}</li>", b.rule, b.at_ms / 1000.0, escape(&b.what));
        }
        out.push_str("</ul>\n");
    }
    out
}
