//! Runs in virtual time: they are deterministic, the node's decisions keep the rules, and the search for
//! failures reduces what it finds.

use daleturn_lab::checker::{Rule, Verdict};
use daleturn_lab::hunt::{draw, find_failure, hunt};
use daleturn_lab::scenario::Scenario;
use daleturn_lab::sim::simulate;
use std::path::Path;

/// Reads a scenario of the project.
fn read(name: &str) -> Scenario {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios").join(name);
    Scenario::read(&file).expect("a scenario")
}

#[test]
fn a_seed_determines_the_course_of_events() {
    for name in ["server-bad.toml", "share-verdicts.toml", "region-lost.toml", "nodes-killed.toml"] {
        let scenario = read(name);
        let course = |seed| simulate(&scenario, seed).unwrap().course;
        assert_eq!(course(3), course(3), "{name}");
        assert_ne!(course(3), course(4), "{name}");
    }
}

#[test]
fn scenarios_keep_the_rules_in_virtual_time() {
    for name in [
        "ci-calm.toml",
        "ci-server.toml",
        "zone-lost.toml",
        "zone-oneway.toml",
        "share-verdicts.toml",
        "zone-errors.toml",
    ] {
        let scenario = read(name);
        let outcome = simulate(&scenario, scenario.seed).unwrap_or_else(|e| panic!("{name}: {e}"));
        assert_eq!(outcome.verdict, Verdict::Kept, "{}", outcome.line());
    }
}

#[test]
fn a_fault_that_is_not_modelled_is_rejected_by_name() {
    let why = simulate(&read("upgrade-node.toml"), 1).unwrap_err().to_string();
    assert!(why.contains("node-upgrade") && why.contains("real processes"), "{why}");
}

/// The base scenario of the search: short runs, which allows many of them.
const BASE: &str = "name = \"hunt\"\nseconds = 26\n[load]\nof_capacity = 0.35\n";

#[test]
fn random_faults_break_no_rule() {
    let base = Scenario::parse(BASE).unwrap();
    let mut broken = Vec::new();
    for n in 0..60 {
        let scenario = draw(&base, 11, n);
        let outcome = simulate(&scenario, scenario.seed).unwrap();
        if !outcome.figures.broken.is_empty() {
            broken.push((n, find_failure(&outcome)));
        }
    }
    assert!(broken.is_empty(), "{broken:?}");
}

#[test]
fn a_failing_schedule_is_reduced_to_the_necessary_faults() {
    // No node can keep these rules: a cold server falls over at almost no load.
    let text = format!("{BASE}[rules]\nfall_multiple = 0.02\n");
    let base = Scenario::parse(&text).unwrap();
    let found = (0..40)
        .find_map(|n| hunt(&base, 5, n).unwrap())
        .expect("at least one of 40 schedules restarts a server");
    assert!(
        found.reason.contains(&format!("{:?}", Rule::PushedOver)) || found.reason.contains("back"),
        "{}",
        found.reason
    );
    for n in 0..found.scenario.trouble.len() {
        let mut candidate = found.scenario.clone();
        candidate.trouble.remove(n);
        let without = candidate.trouble.is_empty()
            || find_failure(&simulate(&candidate, candidate.seed).unwrap()).is_none();
        assert!(without, "fault {n} is not necessary");
    }
    let text = toml::to_string(&found.scenario).unwrap();
    let again = Scenario::parse(&text).unwrap();
    assert!(
        find_failure(&simulate(&again, again.seed).unwrap()).is_some(),
        "the scenario file reproduces the failure"
    );
}
