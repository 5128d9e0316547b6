//! Costs of a real node process at small sizes: counts, bytes, memory and growth exponents, with wide
//! limits. No assertion depends on a duration, since those vary with the load of the machine.

use daleturn_lab::capacity::report::{RESULT_FILE, Report, build_report, write_report};
use daleturn_lab::capacity::{MeasureError, MeasureOptions, Selection, measure, node};
use daleturn_lab::real::find_program;
use std::path::{Path, PathBuf};

/// Returns the path of a program of the workspace.
fn program_path(name: &str) -> PathBuf {
    let test_program = std::env::current_exe().expect("path of the test program");
    find_program(&test_program, name)
        .unwrap_or_else(|| panic!("{name} is not built: cargo test builds it for the workspace"))
}

fn quick_options(node_program: PathBuf) -> MeasureOptions {
    MeasureOptions { quick: true, seed: 7, repetitions: 1, node_program }
}

#[test]
fn costs_of_a_node_grow_as_expected_and_are_written_to_files() {
    let options = quick_options(program_path("daleturn-node"));
    let selection = Selection { roles: vec!["node".to_owned()], ..Selection::default() };
    let report = build_report(&options, measure(&options, &selection, |_| {}).expect("measured"));
    let find = |cost: &str, axis: &str| {
        let fitted = report.series.iter().find(|s| s.series.cost == cost && s.series.axis == axis);
        let fitted = fitted.unwrap_or_else(|| panic!("{cost} by {axis} is not measured"));
        (fitted.series.clone(), fitted.fit.clone())
    };
    for fitted in &report.series {
        let (s, sizes) = (&fitted.series, fitted.series.points.iter().map(|p| p.size));
        let span = sizes.clone().fold(0.0, f64::max) / sizes.fold(f64::INFINITY, f64::min);
        assert!(s.points.len() >= 5 && span >= 30.0, "{} by {}: {:?}", s.cost, s.axis, s.points);
        assert!(s.points.iter().all(|p| p.values.len() == 1 && p.values[0] >= 0.0), "{s:?}");
    }
    let exponent = |cost: &str, axis: &str| find(cost, axis).1.expect("fitted").exponent;
    let max_value = |cost: &str, axis: &str| {
        find(cost, axis).0.points.iter().flat_map(|p| p.values.clone()).fold(0.0, f64::max)
    };
    // The bytes of a full list grow linearly with its length; the bytes of a change do not depend on it.
    assert!((exponent("list_bytes", "backends") - 1.0).abs() < 0.02);
    assert!(
        exponent("change_bytes", "backends").abs() < 0.01 && max_value("change_bytes", "backends") < 400.0
    );
    assert!(max_value("request_blocked_attempts", "backends") <= 3.0, "the settings allow three attempts");
    for (cost, axis, max_exponent) in [
        ("list_first", "backends", 1.9),
        ("list_same", "backends", 1.5),
        ("memory_rest", "backends", 1.05),
        ("memory_peak", "tenants", 1.05),
    ] {
        assert!(exponent(cost, axis) < max_exponent, "{:?}", find(cost, axis));
    }

    let dir = std::env::temp_dir().join(format!("daleturn-capacity-out-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("directory created");
    write_report(&dir, &report).expect("written");
    let text = std::fs::read_to_string(dir.join(RESULT_FILE)).expect("result file read");
    let read: Report = serde_json::from_str(&text).expect("result file parsed");
    assert_eq!((read.seed, read.quick, read.series.len()), (7, true, report.series.len()));
    let names: Vec<String> = std::fs::read_dir(&dir)
        .expect("directory read")
        .map(|f| f.expect("directory entry read").file_name().into_string().unwrap())
        .collect();
    assert!(names.iter().all(|n| n.ends_with(".svg") || n == RESULT_FILE), "{names:?}");
    let has_cost =
        |s: &daleturn_lab::capacity::Series| s.points.iter().any(|p| p.values.iter().any(|v| *v > 0.0));
    let plots = report.series.iter().filter(|s| has_cost(&s.series)).count();
    assert_eq!(names.len(), plots + 1, "a plot for each series with a value above zero: {names:?}");
    std::fs::remove_dir_all(&dir).expect("directory removed");
}

#[test]
fn error_names_a_program_that_ends_without_becoming_ready() {
    let error = node::measure(&quick_options(Path::new("/bin/false").to_owned())).expect_err("not a node");
    assert!(
        matches!(error, MeasureError::Unexpected(_)) && error.to_string().contains("/bin/false"),
        "{error}"
    );
}
