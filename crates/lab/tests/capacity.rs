//! Shapes of what a node costs, from a real process and small sizes: counts, bytes, memory and exponents
//! with much room. No verdict here depends on how long something took.

use daleturn_lab::capacity::report::{RESULT_FILE, Report, build_report, write_report};
use daleturn_lab::capacity::{MeasureError, MeasureOptions, Selection, measure, node};
use daleturn_lab::real::find_program;
use std::path::{Path, PathBuf};

fn built(name: &str) -> PathBuf {
    let own = std::env::current_exe().expect("known");
    find_program(&own, name)
        .unwrap_or_else(|| panic!("{name} is not built: cargo test builds it for the workspace"))
}

fn quick(node_program: PathBuf) -> MeasureOptions {
    MeasureOptions { quick: true, seed: 7, repetitions: 1, node_program }
}

#[test]
fn what_a_node_costs_has_the_shapes_that_are_known() {
    let m = quick(built("daleturn-node"));
    let wish = Selection { roles: vec!["node".to_owned()], ..Selection::default() };
    let told = build_report(&m, measure(&m, &wish, |_| {}).expect("measured"));
    let of = |cost: &str, axis: &str| {
        let one = told.series.iter().find(|s| s.series.cost == cost && s.series.axis == axis);
        let one = one.unwrap_or_else(|| panic!("{cost} by {axis} is not measured"));
        (one.series.clone(), one.fit.clone())
    };
    for one in &told.series {
        let (s, sizes) = (&one.series, one.series.points.iter().map(|p| p.size));
        let span = sizes.clone().fold(0.0, f64::max) / sizes.fold(f64::INFINITY, f64::min);
        assert!(s.points.len() >= 5 && span >= 30.0, "{} by {}: {:?}", s.cost, s.axis, s.points);
        assert!(s.points.iter().all(|p| p.values.len() == 1 && p.values[0] >= 0.0), "{s:?}");
    }
    let exponent = |cost: &str, axis: &str| of(cost, axis).1.expect("fitted").exponent;
    let most = |cost: &str, axis: &str| {
        of(cost, axis).0.points.iter().flat_map(|p| p.values.clone()).fold(0.0, f64::max)
    };
    // A whole list travels as often as it is owed, and a change as itself, whatever the list is long.
    assert!((exponent("list_bytes", "backends") - 1.0).abs() < 0.02);
    assert!(exponent("change_bytes", "backends").abs() < 0.01 && most("change_bytes", "backends") < 400.0);
    assert!(most("request_blocked_attempts", "backends") <= 3.0, "the settings allow three");
    for (cost, axis, at_most) in [
        ("list_first", "backends", 1.9),
        ("list_same", "backends", 1.5),
        ("memory_rest", "backends", 1.05),
        ("memory_peak", "tenants", 1.05),
    ] {
        assert!(exponent(cost, axis) < at_most, "{:?}", of(cost, axis));
    }

    let dir = std::env::temp_dir().join(format!("daleturn-capacity-out-{}", std::process::id()));
    std::fs::create_dir_all(&dir).expect("made");
    write_report(&dir, &told).expect("written");
    let text = std::fs::read_to_string(dir.join(RESULT_FILE)).expect("there");
    let read: Report = serde_json::from_str(&text).expect("a result");
    assert_eq!((read.seed, read.quick, read.series.len()), (7, true, told.series.len()));
    let names: Vec<String> = std::fs::read_dir(&dir)
        .expect("there")
        .map(|f| f.expect("there").file_name().into_string().unwrap())
        .collect();
    assert!(names.iter().all(|n| n.ends_with(".svg") || n == RESULT_FILE), "{names:?}");
    let costs =
        |s: &daleturn_lab::capacity::Series| s.points.iter().any(|p| p.values.iter().any(|v| *v > 0.0));
    let plots = told.series.iter().filter(|s| costs(&s.series)).count();
    assert_eq!(names.len(), plots + 1, "a plot for each series that costs anything: {names:?}");
    std::fs::remove_dir_all(&dir).expect("removed");
}

#[test]
fn a_program_that_never_serves_is_told_of() {
    let why = node::measure(&quick(Path::new("/bin/false").to_owned())).expect_err("no node");
    assert!(matches!(why, MeasureError::Unexpected(_)) && why.to_string().contains("/bin/false"), "{why}");
}
