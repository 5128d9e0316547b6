//! What came of a day, as JSON and as one static page with plots.

use crate::judge::Figures;
use crate::plan::Plan;
use crate::real::Outcome;
use plotters::prelude::*;
use std::fmt::Write as _;
use std::io;
use std::path::Path;

type PlotResult = Result<String, Box<dyn std::error::Error>>;

const SIZE: (u32, u32) = (900, 260);

/// Writes `report.json` and `index.html` into a directory, which is made where it is missing.
///
/// # Errors
/// They cannot be written.
pub fn write(dir: &Path, plan: &Plan, outcome: &Outcome) -> io::Result<()> {
    std::fs::create_dir_all(dir)?;
    std::fs::write(dir.join("report.json"), serde_json::to_vec_pretty(outcome)?)?;
    std::fs::write(dir.join("index.html"), page(plan, outcome))
}

fn plot(
    draw: impl FnOnce(
        &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    ) -> Result<(), Box<dyn std::error::Error>>,
) -> PlotResult {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        draw(&area)?;
        area.present()?;
    }
    Ok(svg)
}

/// Part of the worth that was served over time, with the troubles as bands, and what was refused and failed.
fn served(f: &Figures) -> PlotResult {
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

/// Attempts at each server.
fn servers(f: &Figures) -> PlotResult {
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

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

fn rows(out: &mut String, rows: &[(String, String)]) {
    out.push_str("<table>\n");
    for (name, value) in rows {
        // Writing to a String cannot fail.
        let _ = writeln!(out, "<tr><td>{}</td><td>{}</td></tr>", escape(name), escape(value));
    }
    out.push_str("</table>\n");
}

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
    for plot in [served(f), servers(f)] {
        match plot {
            Ok(svg) => out.push_str(&svg),
            Err(e) => out.push_str(&format!("<p>no plot: {}</p>", escape(&e.to_string()))),
        }
        out.push('\n');
    }
    out.push_str("<p>Blue: served. Red: refused, grey: failed, both of their most. Bands: troubles.</p>\n");
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
    figures.extend(f.classes.iter().map(|(n, v)| (format!("class {n}"), format!("{v:.4}"))));
    figures.extend(f.tenants.iter().map(|(n, v)| (format!("tenant {n}"), format!("{v:.4}"))));
    let back =
        |ms: &Option<f64>| ms.map_or_else(|| "never".to_owned(), |ms| format!("{:.1} s", ms / 1000.0));
    figures.extend(f.recover_ms.iter().map(|(n, ms)| (format!("back after {n}"), back(ms))));
    rows(&mut out, &figures);
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
