//! Days in virtual time: one seed, one course; what is drawn is kept by the node's decisions; what is found is shrunk.

use daleturn_lab::checker::{Rule, Verdict};
use daleturn_lab::hunt::{draw, hunt, wrong};
use daleturn_lab::scenario::Scenario;
use daleturn_lab::sim::simulate;
use std::path::Path;

fn read(name: &str) -> Scenario {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios").join(name);
    Scenario::read(&file).expect("a scenario")
}

#[test]
fn a_seed_gives_one_course_of_events_and_another_seed_another() {
    for name in ["server-bad.toml", "share-verdicts.toml", "region-lost.toml", "nodes-killed.toml"] {
        let scenario = read(name);
        let course = |seed| simulate(&scenario, seed).unwrap().course;
        assert_eq!(course(3), course(3), "{name}");
        assert_ne!(course(3), course(4), "{name}");
    }
}

#[test]
fn days_of_the_project_are_kept_in_virtual_time_too() {
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
fn what_is_not_modelled_is_refused_by_name() {
    let why = simulate(&read("upgrade-node.toml"), 1).unwrap_err().to_string();
    assert!(why.contains("node-upgrade") && why.contains("real processes"), "{why}");
}

/// The fleet of the hunt: small days, so that many can be played.
const BASE: &str = "name = \"hunt\"\nseconds = 26\n[load]\nof_capacity = 0.35\n";

#[test]
fn drawn_schedules_break_no_rule() {
    let base = Scenario::parse(BASE).unwrap();
    let mut broken = Vec::new();
    for n in 0..60 {
        let day = draw(&base, 11, n);
        let outcome = simulate(&day, day.seed).unwrap();
        if !outcome.figures.broken.is_empty() {
            broken.push((n, wrong(&outcome)));
        }
    }
    assert!(broken.is_empty(), "{broken:?}");
}

#[test]
fn a_day_that_breaks_a_rule_is_shrunk_to_the_trouble_that_matters() {
    // Rules that no node can keep: a cold server falls over at next to nothing.
    let text = format!("{BASE}[rules]\nfall_multiple = 0.02\n");
    let base = Scenario::parse(&text).unwrap();
    let found = (0..40).find_map(|n| hunt(&base, 5, n).unwrap()).expect("one in forty has a restart");
    assert!(
        found.reason.contains(&format!("{:?}", Rule::PushedOver)) || found.reason.contains("back"),
        "{}",
        found.reason
    );
    for n in 0..found.scenario.trouble.len() {
        let mut less = found.scenario.clone();
        less.trouble.remove(n);
        let without = less.trouble.is_empty() || wrong(&simulate(&less, less.seed).unwrap()).is_none();
        assert!(without, "trouble {n} does not matter");
    }
    let text = toml::to_string(&found.scenario).unwrap();
    let again = Scenario::parse(&text).unwrap();
    assert!(wrong(&simulate(&again, again.seed).unwrap()).is_some(), "its file replays");
}
