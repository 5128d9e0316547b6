//! The page on capacity says what its records say: each row's need, verdict and slope, and each figure of the text, is
//! computed anew from them.

use daleturn_lab::capacity::page::{Records, Row, records, written};
use std::path::{Path, PathBuf};

const RANKED: [&str; 2] = ["Serving depends on it", "The rest"];

fn docs() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs")
}

fn of_page(page: &str) -> Result<(String, Vec<Row>), Vec<String>> {
    written(page, &recorded())
}

fn recorded() -> Records {
    records(&docs().join("capacity")).expect("readable")
}

#[test]
fn the_page_says_what_the_records_say() {
    let path = docs().join("CAPACITY.md");
    let page = std::fs::read_to_string(&path).expect("readable");
    let (anew, rows) = of_page(&page).unwrap_or_else(|wrong| panic!("{}", wrong.join("\n")));
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

#[test]
fn a_row_cannot_say_what_no_record_says() {
    let right = "before:node/gap_list_first/backends@47000";
    let (anew, rows) = of_page(&page("6.5 s", "1.7 ms", right)).expect("known");
    assert!(anew.contains("| x | 6.49 s | 1.7 ms | missing, 3,820 times | 1.98 ("), "{anew}");
    assert!(rows[0].over.is_some_and(|o| (o - 6490.139842 / 1.7).abs() < 1e-6));
    let (anew, _) = of_page(&page("?", "none set", "33 bytes * 4199 + 1 KB")).expect("known");
    assert!(anew.contains("| by sum: 140 KB | none set | none set | constant |"), "{anew}");
    let (anew, _) = of_page(&page("?", "18 s", "members:member/cut_healed/members@900")).expect("known");
    assert!(anew.contains("| not reached in 60 s | 18 s | missing, more than 3.33 times |"), "{anew}");
    let text = "<!--= before:node/change/backends@47000 -->7 s<!--/--> each\n";
    assert_eq!(of_page(text).expect("known").0, text.replace("7 s", "3.05 ms"));
    for (need, budget, source) in [
        ("6.5 s", "1.7 ms", "none"),
        ("not measured: ", "1.7 ms", "none"),
        ("6.5 s", "", right),
        ("6.5 s", "1.7 MB", right),
        ("6.5 s", "1.7 ms", ""),
        ("6.5 s", "1.7 ms", "before:node/gap/backends@47000"),
        ("6.5 s", "1.7 ms", "after:node/gap_list_first/backends@47000"),
        ("6.5 s", "1.7 ms", "before:node/gap_list_first/backends@47000 + 3 MB"),
    ] {
        let wrong = of_page(&page(need, budget, source)).expect_err("nothing is known of it");
        assert!(wrong[0].starts_with("Node: x: "), "{wrong:?}");
    }
}
