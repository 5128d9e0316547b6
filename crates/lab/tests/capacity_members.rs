//! Shapes of what membership and discovery cost by size: counts and bytes, no times of this machine.

use daleturn_lab::capacity::{MeasureOptions, Series, discovery, members};
use std::path::PathBuf;

fn quick() -> MeasureOptions {
    MeasureOptions { quick: true, seed: 25, repetitions: 1, node_program: PathBuf::new() }
}

fn values(all: &[Series], role: &str, cost: &str, axis: &str) -> Vec<(f64, f64)> {
    let fits = |s: &&Series| (s.role.as_str(), s.cost.as_str(), s.axis.as_str()) == (role, cost, axis);
    let series = all.iter().find(fits).unwrap_or_else(|| panic!("no {role} {cost} by {axis}"));
    assert!(series.points.len() >= 2, "{series:?}");
    series.points.iter().map(|p| (p.size, p.values[0])).collect()
}

/// The exponent between the least size and the greatest.
fn exponent(points: &[(f64, f64)]) -> f64 {
    let (first, last) = (points[0], points[points.len() - 1]);
    (last.1 / first.1).ln() / (last.0 / first.0).ln()
}

#[test]
fn a_member_sends_as_much_in_any_fleet_and_a_hub_as_the_root_of_its_size() {
    let all = members::measure(&quick()).unwrap();
    let mean = values(&all, "member", "bytes", "members");
    assert!(exponent(&mean) < 0.1, "{mean:?}");
    assert!(mean.iter().all(|p| p.1 < 1000.0), "{mean:?}");
    let hub = values(&all, "hub", "bytes", "members");
    assert!((0.2..0.6).contains(&exponent(&hub)), "{hub:?}");
    let datagrams = values(&all, "member", "datagrams", "members");
    assert!(datagrams.iter().all(|p| p.1 < 4.5), "{datagrams:?}");
    for goal in ["dead_found", "cut_found", "cut_healed", "tenth_back", "zone_found", "region_back"] {
        let missed = values(&all, "member", &format!("{goal}_not_reached"), "members");
        assert!(missed.iter().all(|p| p.1 == 0.0), "{goal} {missed:?}");
    }
}

#[test]
fn a_change_goes_to_each_watch_once_and_each_storm_takes_the_list_once_a_node() {
    let all = discovery::measure(&quick()).unwrap();
    let changes = values(&all, "discovery", "change_calls", "watches");
    assert!(changes.iter().all(|p| p.1 >= p.0), "{changes:?}");
    let bytes = values(&all, "discovery", "change_bytes", "backends");
    assert!(exponent(&bytes).abs() < 0.1, "the list's size is nothing to a change: {bytes:?}");
    for (event, share) in [("moved", 1.0), ("back", 1.0), ("tenth", 0.1)] {
        let lists = values(&all, "discovery", &format!("{event}_whole_lists"), "watches");
        assert!(lists.iter().all(|p| p.1 >= p.0 * share), "{event} {lists:?}");
    }
    let list = values(&all, "discovery", "list_bytes", "backends");
    assert!((0.95..1.05).contains(&exponent(&list)), "{list:?}");
    for event in ["change", "moved", "back", "tenth"] {
        let missed = values(&all, "discovery", &format!("{event}_not_reached"), "watches");
        assert!(missed.iter().all(|p| p.1 == 0.0), "{event} {missed:?}");
    }
}
