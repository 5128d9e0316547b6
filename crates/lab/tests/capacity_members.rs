//! Growth of the costs of membership and discovery by size. The assertions use counts, bytes and virtual
//! times, and no times of this machine.

use daleturn_lab::capacity::{MeasureOptions, Series, discovery, members};
use std::path::PathBuf;

fn quick_options() -> MeasureOptions {
    MeasureOptions { quick: true, seed: 25, repetitions: 1, node_program: PathBuf::new() }
}

/// Returns size and first value of each point of a series.
fn values(all: &[Series], role: &str, cost: &str, axis: &str) -> Vec<(f64, f64)> {
    let matches = |s: &&Series| (s.role.as_str(), s.cost.as_str(), s.axis.as_str()) == (role, cost, axis);
    let series = all.iter().find(matches).unwrap_or_else(|| panic!("no {role} {cost} by {axis}"));
    assert!(series.points.len() >= 2, "{series:?}");
    series.points.iter().map(|p| (p.size, p.values[0])).collect()
}

/// Returns the exponent of growth between the smallest and the largest size.
fn exponent(points: &[(f64, f64)]) -> f64 {
    let (first, last) = (points[0], points[points.len() - 1]);
    (last.1 / first.1).ln() / (last.0 / first.0).ln()
}

#[test]
fn traffic_of_a_member_is_constant_and_of_a_hub_grows_with_the_square_root() {
    let all = members::measure(&quick_options()).unwrap();
    let mean = values(&all, "member", "bytes", "members");
    assert!(exponent(&mean) < 0.1, "{mean:?}");
    assert!(mean.iter().all(|p| p.1 < 1000.0), "{mean:?}");
    let hub = values(&all, "hub", "bytes", "members");
    assert!((0.2..0.6).contains(&exponent(&hub)), "{hub:?}");
    let datagrams = values(&all, "member", "datagrams", "members");
    assert!(datagrams.iter().all(|p| p.1 < 4.5), "{datagrams:?}");
    for event in ["dead_found", "cut_found", "cut_healed", "tenth_back", "zone_found", "region_back"] {
        let not_reached = values(&all, "member", &format!("{event}_not_reached"), "members");
        assert!(not_reached.iter().all(|p| p.1 == 0.0), "{event} {not_reached:?}");
    }
}

#[test]
fn a_change_reaches_every_watch_and_reconnecting_nodes_receive_full_lists() {
    let all = discovery::measure(&quick_options()).unwrap();
    let changes = values(&all, "discovery", "change_calls", "watches");
    assert!(changes.iter().all(|p| p.1 >= p.0), "{changes:?}");
    let bytes = values(&all, "discovery", "change_bytes", "backends");
    assert!(
        exponent(&bytes).abs() < 0.1,
        "bytes of a change must not depend on the list's length: {bytes:?}"
    );
    for (event, share) in [("moved", 1.0), ("back", 1.0), ("tenth", 0.1)] {
        let lists = values(&all, "discovery", &format!("{event}_whole_lists"), "watches");
        assert!(lists.iter().all(|p| p.1 >= p.0 * share), "{event} {lists:?}");
    }
    let list = values(&all, "discovery", "list_bytes", "backends");
    assert!((0.95..1.05).contains(&exponent(&list)), "{list:?}");
    for event in ["change", "moved", "back", "tenth"] {
        let not_reached = values(&all, "discovery", &format!("{event}_not_reached"), "watches");
        assert!(not_reached.iter().all(|p| p.1 == 0.0), "{event} {not_reached:?}");
    }
}
