//! The capacity page agrees with its records: the need, verdict and slope of each row, and each marked
//! figure in the text, are computed from the records and compared with the page.

use daleturn_lab::capacity::page::{RECORDS, Records, read_records, render};
use daleturn_lab::capacity::{Point, Series};
use std::path::{Path, PathBuf};

/// Sections whose rows are in descending order of need over budget.
const RANKED_SECTIONS: [&str; 3] = ["The choice of one mechanism", "Serving depends on it", "The rest"];

fn docs() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs")
}

#[test]
fn the_page_says_what_the_records_say() {
    let path = docs().join("CAPACITY.md");
    let page = std::fs::read_to_string(&path).expect("readable");
    let recorded = read_records(&docs().join("capacity")).expect("readable");
    assert_eq!(recorded.len(), RECORDS.len(), "a record file does not exist");
    let (rendered, rows) =
        render(&page, &recorded).unwrap_or_else(|errors| panic!("{}", errors.join("\n")));
    // DALETURN_PAGE=write updates the page.
    if std::env::var_os("DALETURN_PAGE").is_some_and(|v| v == "write") {
        std::fs::write(&path, &rendered).expect("writable");
    }
    let differences: Vec<String> = (page.lines().zip(rendered.lines()))
        .filter(|(actual, expected)| actual != expected)
        .map(|(actual, expected)| format!("actual   {actual}\nexpected {expected}"))
        .collect();
    assert!(differences.is_empty() && page == rendered, "{}", differences.join("\n"));
    for name in ["Node", "member", "Hub", "Discovery", "Control machines", "controller", "command", "Store"]
    {
        assert!(rows.iter().any(|r| r.section.contains(name)), "no row of {name}");
    }
    // Every node row over its budget is listed in a ranked section: rows of the current build, whose names
    // end with ", now", in the second section, and those of the previous build in the first.
    let ratios = |section: &str| {
        rows.iter().filter(|r| r.section == section).map(|r| r.budget_ratio).collect::<Vec<_>>()
    };
    let (previous_build, current_build) = (ratios(RANKED_SECTIONS[0]), ratios(RANKED_SECTIONS[1]));
    for row in rows.iter().filter(|r| r.section.starts_with("Node serving")) {
        let listed = if row.what.ends_with(", now") { &current_build } else { &previous_build };
        assert!(
            row.budget_ratio.is_none_or(|ratio| ratio <= 1.0) || listed.contains(&row.budget_ratio),
            "{} is over its budget and is not listed",
            row.what
        );
    }
    for section in RANKED_SECTIONS {
        // Rows without a need or a budget have no rank.
        let ranked: Vec<(&str, f64)> = rows
            .iter()
            .filter(|r| r.section == section)
            .filter_map(|r| Some((&r.what[..], r.budget_ratio?)))
            .collect();
        assert!(ranked.len() > 1, "{section}");
        for pair in ranked.windows(2) {
            assert!(pair[0].1 >= pair[1].1, "{} is listed before {}", pair[0].0, pair[1].0);
        }
    }
}

/// Returns a page with one table row.
fn page_with_row(need: &str, budget: &str, source: &str) -> String {
    format!(
        "# Node\n| what | need | budget | verdict | slope | mechanism | source |\n|---|\n\
        | x | {need} | {budget} | ? | ? | `a.rs` | {source} |\n"
    )
}

/// Returns records with a cost that grows with the square of the size, and one whose event was reached only
/// at the small sizes.
fn sample_records() -> Records {
    let series = |role: &str, cost: &str, unit: &str, points: &[(f64, f64)]| Series {
        role: role.to_owned(),
        cost: cost.to_owned(),
        unit: unit.to_owned(),
        axis: "size".to_owned(),
        points: points.iter().map(|(size, v)| Point { size: *size, values: vec![*v; 3] }).collect(),
    };
    let square = [(10.0, 0.02), (100.0, 2.0), (1000.0, 200.0)];
    let stalled = series("node", "stalled", "ms", &square);
    let healed = series("member", "healed", "ms", &[(10.0, 500.0), (100.0, 5000.0)]);
    let missed =
        series("member", "healed_not_reached", "count", &[(10.0, 0.0), (100.0, 0.0), (900.0, 1.0)]);
    Records::from([("before".to_owned(), vec![stalled]), ("members".to_owned(), vec![healed, missed])])
}

#[test]
fn rows_show_only_figures_computed_from_their_sources() {
    let valid_source = "before:node/stalled/size@1000";
    for (source, budget, expected) in [
        (
            valid_source,
            "1.7 ms",
            "200 ms | 1.7 ms | missing, 118 times | 2.00 (2.00 to 2.00), 10 to 1,000, played |",
        ),
        (
            "before:node/stalled/size@10000",
            "42 s, a day's",
            "20 s | 42 s, a day's | holds by 2.1 | 2.00 (2.00 to 2.00), 10 to 1,000, extrapolated 10 times by",
        ),
        (
            "before:node/stalled/size@1000 * 0.1 as cores",
            "2% of a core",
            "2% of a core | 2% of a core | holds |",
        ),
        ("1 s + before:node/stalled/size@1000 * -1", "none set", "800 ms | none set | none set | 2.00 ("),
        ("33 bytes * 4199 + 1 KB", "none set", "by sum: 140 KB | none set | none set | constant |"),
        ("6 s", "18 s", "stated: 6 s | 18 s | holds by 3 | constant |"),
        (
            "members:member/healed/size@900",
            "18 s",
            "not reached in 60 s | 18 s | missing, more than 3.33 times | 1.00, 10 to 100; not reached at 900",
        ),
        (
            "node:node/stalled/size@1000",
            "1.7 ms",
            "not measured: no record of this build yet | 1.7 ms | not measured | none |",
        ),
    ] {
        let (rendered, rows) =
            render(&page_with_row("?", budget, source), &sample_records()).expect("valid");
        assert!(rendered.contains(&format!("| x | {expected}")), "{rendered}");
        assert_eq!((rows.len(), &rows[0].section[..]), (1, "Node"));
    }
    let text = "<!--= before:node/stalled/size@1000 -->7 s<!--/--> each\n";
    assert_eq!(render(text, &sample_records()).expect("valid").0, text.replace("7 s", "200 ms"));
    for (need, budget, source) in [
        ("6.5 s", "1.7 ms", "none"),
        ("not measured: ", "1.7 ms", "none"),
        ("6.5 s", "", valid_source),
        ("6.5 s", "1.7 MB", valid_source),
        ("6.5 s", "1.7 ms", ""),
        ("6.5 s", "1.7 ms", "before:node/gap/size@1000"),
        ("6.5 s", "1.7 ms", "after:node/stalled/size@1000"),
        ("6.5 s", "1.7 ms", "before:node/stalled/size@1000 + 3 MB"),
        ("6.5 s", "1.7 ms", "before:node/stalled/size@1000 * x"),
    ] {
        let errors =
            render(&page_with_row(need, budget, source), &sample_records()).expect_err("invalid row");
        assert!(errors[0].starts_with("Node: x: "), "{errors:?}");
    }
}
