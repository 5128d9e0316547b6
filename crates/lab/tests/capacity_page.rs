//! The page on capacity says what its records say: each row's need, verdict and slope, and each figure of the
//! text, is computed anew from them.

use daleturn_lab::capacity::page::{RECORDS, Records, records, written};
use daleturn_lab::capacity::{Point, Series};
use std::path::{Path, PathBuf};

const RANKED: [&str; 3] = ["The choice of one mechanism", "Serving depends on it", "The rest"];

fn docs() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs")
}

#[test]
fn the_page_says_what_the_records_say() {
    let path = docs().join("CAPACITY.md");
    let page = std::fs::read_to_string(&path).expect("readable");
    let recorded = records(&docs().join("capacity")).expect("readable");
    assert_eq!(recorded.len(), RECORDS.len(), "a record is not there");
    let (anew, rows) = written(&page, &recorded).unwrap_or_else(|wrong| panic!("{}", wrong.join("\n")));
    if std::env::var_os("DALETURN_PAGE").is_some_and(|v| v == "write") {
        std::fs::write(&path, &anew).expect("writable");
    }
    let differ: Vec<String> = (page.lines().zip(anew.lines()))
        .filter(|(is, shall)| is != shall)
        .map(|(is, shall)| format!("is    {is}\nshall {shall}"))
        .collect();
    assert!(differ.is_empty() && page == anew, "{}", differ.join("\n"));
    for name in ["Node", "member", "Hub", "Discovery", "Control machines", "controller", "command", "Store"]
    {
        assert!(rows.iter().any(|r| r.section.contains(name)), "no row of {name}");
    }
    // No row that is over its budget is left out: the build before is compared, of the present one it is missing.
    let of =
        |section: &str| rows.iter().filter(|r| r.section == section).map(|r| r.over).collect::<Vec<_>>();
    let (compared, missing) = (of(RANKED[0]), of(RANKED[1]));
    for row in rows.iter().filter(|r| r.section.starts_with("Node serving")) {
        let there = if row.what.ends_with(", now") { &missing } else { &compared };
        assert!(row.over.is_none_or(|o| o <= 1.0) || there.contains(&row.over), "{} is left out", row.what);
    }
    // The order of what is missing is that of need over budget.
    for section in RANKED {
        // What has no need or no budget stands without a rank.
        let ranked: Vec<(&str, f64)> = rows
            .iter()
            .filter(|r| r.section == section)
            .filter_map(|r| Some((&r.what[..], r.over?)))
            .collect();
        assert!(ranked.len() > 1, "{section}");
        for pair in ranked.windows(2) {
            assert!(pair[0].1 >= pair[1].1, "{} stands before {}", pair[0].0, pair[1].0);
        }
    }
}

/// One row of a page.
fn page(need: &str, budget: &str, source: &str) -> String {
    format!(
        "# Node\n| what | need | budget | verdict | slope | mechanism | source |\n|---|\n\
        | x | {need} | {budget} | ? | ? | `a.rs` | {source} |\n"
    )
}

/// Figures that are known: one that grows with the square, one that was reached at small sizes alone.
fn known() -> Records {
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
fn a_row_cannot_say_what_no_record_says() {
    let right = "before:node/stalled/size@1000";
    for (source, budget, shall) in [
        (
            right,
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
        let (anew, rows) = written(&page("?", budget, source), &known()).expect("known");
        assert!(anew.contains(&format!("| x | {shall}")), "{anew}");
        assert_eq!((rows.len(), &rows[0].section[..]), (1, "Node"));
    }
    let text = "<!--= before:node/stalled/size@1000 -->7 s<!--/--> each\n";
    assert_eq!(written(text, &known()).expect("known").0, text.replace("7 s", "200 ms"));
    for (need, budget, source) in [
        ("6.5 s", "1.7 ms", "none"),
        ("not measured: ", "1.7 ms", "none"),
        ("6.5 s", "", right),
        ("6.5 s", "1.7 MB", right),
        ("6.5 s", "1.7 ms", ""),
        ("6.5 s", "1.7 ms", "before:node/gap/size@1000"),
        ("6.5 s", "1.7 ms", "after:node/stalled/size@1000"),
        ("6.5 s", "1.7 ms", "before:node/stalled/size@1000 + 3 MB"),
        ("6.5 s", "1.7 ms", "before:node/stalled/size@1000 * x"),
    ] {
        let wrong = written(&page(need, budget, source), &known()).expect_err("nothing is known of it");
        assert!(wrong[0].starts_with("Node: x: "), "{wrong:?}");
    }
}
