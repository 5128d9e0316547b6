//! Subsetting of a long list: a list that fits is passed on unchanged; a longer one gives a subset that
//! follows the list, loses no drain, and spreads the backends evenly over the nodes.

mod common;

use common::settings;
use daleturn::control::subset::{Catalog, ListUpdate, MAX_LINES, Subset, Target};
use daleturn::interface::{BackendId, Health, ListEntry, ListKind, Settings};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::{BTreeMap, BTreeSet};

const ZONES: u16 = 12;

fn line(n: u64, zone: u16, health: Health) -> Target {
    let backend = BackendId(n.wrapping_mul(0xd134_2543_de82_ef95) + 1);
    let entry = ListEntry { backend, zone, cell: 0, health, units: 1.0, ready_at_ms: 0.0 };
    Target { entry, address: Some(([127, 0, 0, 1], 80).into()), uid: format!("s-{n}").into() }
}

fn up(n: u64) -> Target {
    line(n, (n % u64::from(ZONES)) as u16, Health::Up)
}

fn with_health(line: Target, health: Health) -> Target {
    Target { entry: ListEntry { health, ..line.entry }, ..line }
}

fn node(slot: u32, home: Option<u16>) -> Settings {
    let mut settings = Settings { slot, zone: home, instances: 4200, ..settings() };
    settings.prices.cross_zone = if home.is_some() { 0.06 } else { 0.0 };
    settings
}

/// The backends that the policy knows, from the updates it received.
#[derive(Default)]
struct PolicyView(BTreeMap<BackendId, ListEntry>);

impl PolicyView {
    fn apply(&mut self, update: &ListUpdate) {
        if matches!(update.kind, ListKind::Full | ListKind::Saved) {
            self.0.clear();
        }
        for line in &update.lines {
            match line.entry.health {
                Health::Gone => drop(self.0.remove(&line.entry.backend)),
                _ => drop(self.0.insert(line.entry.backend, line.entry)),
            }
        }
    }

    fn up(&self) -> BTreeSet<BackendId> {
        self.0.values().filter(|e| e.health == Health::Up).map(|e| e.backend).collect()
    }

    fn zones(&self) -> BTreeMap<u16, usize> {
        let mut zones = BTreeMap::new();
        self.0
            .values()
            .filter(|e| e.health == Health::Up)
            .for_each(|e| *zones.entry(e.zone).or_default() += 1);
        zones
    }
}

/// Returns a node's subset of a list, and the policy's view of it.
fn selected(
    size: usize,
    settings: &Settings,
    lines: impl IntoIterator<Item = Target>,
) -> (Subset, PolicyView) {
    let (mut subset, mut view) = (Subset::new(size, settings), PolicyView::default());
    view.apply(&subset.apply(ListKind::Full, lines.into_iter().collect()));
    (subset, view)
}

/// Selects the subset of the same list for another node.
fn select_for(subset: &mut Subset, view: &mut PolicyView, settings: &Settings) {
    if subset.update_settings(settings) {
        view.apply(&subset.apply(ListKind::Changes, Vec::new()));
    }
}

fn update() -> impl Strategy<Value = (u8, Vec<(u64, u16, u8)>)> {
    (0..10_u8, prop::collection::vec((0..60_u64, 0..4_u16, 0..4_u8), 0..40))
}

fn lines_of(raw: &[(u64, u16, u8)]) -> Vec<Target> {
    let health = |h: u8| [Health::Up, Health::Up, Health::Draining, Health::Gone][usize::from(h)];
    raw.iter().map(|(n, zone, h)| line(*n, *zone, health(*h))).collect()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 300, failure_persistence: None, rng_seed: RngSeed::Fixed(25), ..ProptestConfig::default()
    })]

    /// Compares the policy's view with a plain model of the list, for any sequence of full lists and changes,
    /// with repeated names, backends that change their zone, and lists that grow and shrink across the size
    /// of a subset.
    #[test]
    fn the_policys_view_is_always_a_correct_part_of_the_list(
        slot in 0..50_u32, home in prop::option::of(0..4_u16), size in 0..30_usize,
        updates in prop::collection::vec(update(), 1..12),
    ) {
        let settings = node(slot, home);
        let (mut subset, mut view) = (Subset::new(size, &settings), PolicyView::default());
        let mut model: BTreeMap<BackendId, ListEntry> = BTreeMap::new();
        for (kind, raw) in updates {
            let kind = [ListKind::Full, ListKind::Saved, ListKind::Changes][usize::from(kind.min(2))];
            let lines = lines_of(&raw);
            let (was_truncated, before) =
                (subset.is_truncated(), if kind == ListKind::Changes { model.len() } else { 0 });
            if kind != ListKind::Changes {
                model.clear();
            }
            for line in &lines {
                match line.entry.health {
                    Health::Gone => drop(model.remove(&line.entry.backend)),
                    _ => drop(model.insert(line.entry.backend, line.entry)),
                }
            }
            let update = subset.apply(kind, lines.clone());
            if !was_truncated && (size == 0 || before + lines.len() <= size) {
                prop_assert_eq!((update.kind, &update.lines), (kind, &lines), "passed on unchanged");
            }
            view.apply(&update);
            for (id, entry) in &view.0 {
                prop_assert_eq!(model.get(id), Some(entry), "each known backend has its listed line");
            }
            let all_up = model.values().filter(|e| e.health == Health::Up).count();
            if size == 0 || model.len() <= size {
                prop_assert_eq!(&view.0, &model);
                prop_assert_eq!(subset.nodes_per_backend(100), None);
            } else {
                prop_assert_eq!(view.up().len(), all_up.min(size));
                prop_assert!(view.0.len() <= 3 * size);
            }
            prop_assert!(model.is_empty() || !view.0.is_empty(), "the policy sees that there is a list");
            prop_assert_eq!(subset.stats().listed, model.len());
        }
    }

    /// The subset depends only on the list and the node's slot, not on the updates that led to the list.
    #[test]
    fn a_subset_does_not_depend_on_the_updates_that_led_to_its_list(
        slot in 0..50_u32, home in prop::option::of(0..4_u16), updates in prop::collection::vec(update(), 1..8),
    ) {
        let settings = node(slot, home);
        let (mut subset, mut view) = (Subset::new(12, &settings), PolicyView::default());
        let mut model: BTreeMap<BackendId, Target> = BTreeMap::new();
        for (_, raw) in updates {
            for line in lines_of(&raw) {
                if line.entry.health == Health::Gone {
                    model.remove(&line.entry.backend);
                } else {
                    model.insert(line.entry.backend, line);
                }
            }
            view.apply(&subset.apply(ListKind::Changes, lines_of(&raw)));
        }
        let (_, fresh) = selected(12, &settings, model.into_values());
        prop_assert_eq!(view.up(), fresh.up());
    }
}

/// Returns the number of nodes that select each backend, and the load that each gets per weight if every node
/// divides the same load among its subset.
fn load_per_backend(
    nodes: u32,
    backends: u64,
    size: usize,
    home: impl Fn(u32) -> Option<u16>,
    units: impl Fn(u64) -> f64,
) -> (Vec<usize>, Vec<f64>) {
    let weighed = |n| Target { entry: ListEntry { units: units(n), ..up(n).entry }, ..up(n) };
    let (mut subset, mut view) = selected(size, &node(0, home(0)), (0..backends).map(weighed));
    let mut held: BTreeMap<BackendId, (usize, f64)> =
        (0..backends).map(|n| (up(n).entry.backend, (0, 0.0))).collect();
    let mut slots: Vec<u32> = (0..nodes).collect();
    // The list is sorted again for each other zone.
    slots.sort_by_key(|slot| home(*slot));
    for slot in slots {
        select_for(&mut subset, &mut view, &node(slot, home(slot)));
        // Traffic does not cross zones: all of it goes to the node's own zone.
        let gets_traffic = |e: &ListEntry| home(slot).is_none_or(|zone| zone == e.zone);
        let receiving_units: f64 = view.0.values().filter(|e| gets_traffic(e)).map(|e| e.units).sum();
        for entry in view.0.values() {
            let held = held.get_mut(&entry.backend).unwrap();
            held.0 += 1;
            held.1 += if gets_traffic(entry) { 1.0 / receiving_units } else { 0.0 };
        }
    }
    (held.values().map(|h| h.0).collect(), held.values().map(|h| h.1).collect())
}

/// Returns the minimum, the maximum and the standard deviation, divided by the mean.
fn min_max_deviation(values: &[f64]) -> (f64, f64, f64) {
    let mean = values.iter().sum::<f64>() / values.len() as f64;
    let variance = values.iter().map(|v| (v - mean) * (v - mean)).sum::<f64>() / values.len() as f64;
    let bound = |f: fn(f64, f64) -> f64, start| values.iter().copied().fold(start, f) / mean;
    (bound(f64::min, f64::INFINITY), bound(f64::max, 0.0), variance.sqrt() / mean)
}

/// Uses a quarter of the nodes, backends and subset size that operators expect, so a subset is the same share
/// of the list as theirs.
#[test]
fn each_backend_is_selected_by_about_as_many_nodes_as_any_other_however_nodes_are_placed_in_zones() {
    type Home = fn(u32) -> Option<u16>;
    let homes: [(&str, Home); 3] = [
        ("no price", |_| None),
        ("zone by zone", |slot| Some((slot / 88).min(11) as u16)),
        ("in turn", |slot| Some((slot % 12) as u16)),
    ];
    // One backend in twenty is ten times as large as the others.
    let unequal: fn(u64) -> f64 = |n| if n.is_multiple_of(20) { 10.0 } else { 1.0 };
    let equal: fn(u64) -> f64 = |_| 1.0;
    let equal_cases = homes.map(|(name, home)| (name, home, equal));
    for (name, home, units) in equal_cases.into_iter().chain([("unequal weights", homes[0].1, unequal)]) {
        let (held, load) = load_per_backend(1050, 11_750, 320, home, units);
        let held: Vec<f64> = held.into_iter().map(|n| n as f64).collect();
        let (min, max, deviation) = min_max_deviation(&held);
        println!("{name}: nodes at a backend {min:.2} to {max:.2} of the mean, deviation {deviation:.3}");
        assert!(
            min > 0.6 && max < 1.5 && deviation < 0.12,
            "{name}: nodes at a backend {min} to {max}, {deviation}"
        );
        let (min, max, deviation) = min_max_deviation(&load);
        println!("{name}: load {min:.2} to {max:.2} of the mean, deviation {deviation:.3}");
        assert!(min > 0.6 && max < 1.5 && deviation < 0.12, "{name}: load {min} to {max}, {deviation}");
    }
}

#[test]
fn a_backend_that_leaves_or_joins_changes_one_place_at_the_nodes_that_select_it_and_nothing_elsewhere() {
    let (mut subset, mut view) = selected(64, &node(0, Some(0)), (0..3000).map(up));
    for slot in 0..60 {
        select_for(&mut subset, &mut view, &node(slot, Some((slot / 5) as u16)));
        let before = view.up();
        let held = |n: &u64| before.contains(&up(*n).entry.backend);
        let (inside, outside) = ((0..3000).find(held).unwrap(), (0..3000).rfind(|n| !held(n)).unwrap());
        for (n, changed) in [(inside, 2), (outside, 0)] {
            view.apply(&subset.apply(ListKind::Changes, vec![with_health(up(n), Health::Draining)]));
            let without = view.up();
            assert_eq!(before.symmetric_difference(&without).count(), changed, "{slot}");
            assert_eq!(without.len(), before.len());
            view.apply(&subset.apply(ListKind::Changes, vec![up(n)]));
            assert_eq!(view.up(), before, "{slot}: back as it was");
        }
    }
}

#[test]
fn a_lost_zone_is_replaced_from_the_others_and_returns_to_the_same_subset() {
    let settings = node(17, Some(3));
    let (mut subset, mut view) = selected(320, &settings, (0..12_000).map(up));
    let before = view.up();
    assert_eq!(view.zones()[&3], 160, "half comes from the node's own zone");
    for zone in [3, 8] {
        let lost: Vec<Target> = (0..12_000).map(up).filter(|l| l.entry.zone == zone).collect();
        let third: Vec<Target> = lost.iter().step_by(3).cloned().collect();
        for part in [third, lost] {
            let down = part.iter().cloned().map(|l| with_health(l, Health::Gone)).collect();
            view.apply(&subset.apply(ListKind::Changes, down));
            assert_eq!(view.up().len(), 320);
            assert!(view.up().iter().all(|id| part.iter().all(|l| l.entry.backend != *id)));
        }
        assert!(!view.zones().contains_key(&zone));
        // The zone returns cold: each line has a later start time.
        let back = (0..12_000).map(up).filter(|l| l.entry.zone == zone);
        let back = back.map(|l| Target { entry: ListEntry { ready_at_ms: 5e9, ..l.entry }, ..l }).collect();
        view.apply(&subset.apply(ListKind::Changes, back));
        assert_eq!(view.up(), before);
        assert!(view.0.values().all(|e| e.zone != zone || e.ready_at_ms == 5e9), "the new start is known");
    }
}

#[test]
fn a_draining_list_leaves_no_backend_up_and_the_view_stays_bounded() {
    let (mut subset, mut view) = selected(64, &node(5, None), (0..2000).map(up));
    for n in 0..2000 {
        view.apply(&subset.apply(ListKind::Changes, vec![with_health(up(n), Health::Draining)]));
        assert!(view.0.len() <= 128, "{n}: {}", view.0.len());
        assert_eq!(view.up().len(), 64.min(1999 - n as usize));
    }
    assert!(!view.0.is_empty(), "draining backends are still known");
    view.apply(&subset.apply(ListKind::Full, (0..2000).map(up).collect()));
    assert_eq!(view.up().len(), 64);
    assert_eq!(view.0.len(), 64, "a new full list leaves nothing of the one before");
}

#[test]
fn a_list_that_grows_and_shrinks_is_passed_on_whole_whenever_it_fits() {
    let settings = node(9, Some(1));
    let (mut subset, mut view) = selected(320, &settings, (0..3).map(up));
    let mut holders = Vec::new();
    for count in [3_u64, 320, 321, 1000, 47_000, 94_000, 321, 320, 3] {
        let update =
            subset.apply_full_list(ListKind::Full, Catalog::from_lines((0..count).map(up), Some(1)));
        view.apply(&update);
        assert_eq!(view.up().len(), 320.min(count as usize), "{count}");
        holders.push(subset.nodes_per_backend(4200));
    }
    let wanted = [None, None, Some(4187), Some(1344), Some(29), Some(14), Some(4187), None, None];
    assert_eq!(holders, wanted);
}

#[test]
fn a_list_beyond_the_maximum_keeps_the_known_lines_and_their_drains() {
    let max = MAX_LINES as u64;
    let (mut subset, mut view) = selected(64, &node(2, None), (0..max + 50).map(up));
    let stats = subset.stats();
    assert_eq!((stats.listed, stats.left_out, stats.held), (MAX_LINES, 50, 64));
    let drains: Vec<Target> = view
        .0
        .values()
        .map(|e| Target { entry: ListEntry { health: Health::Draining, ..*e }, ..up(0) })
        .collect();
    let drained: BTreeSet<BackendId> = drains.iter().map(|l| l.entry.backend).collect();
    view.apply(&subset.apply(ListKind::Changes, drains));
    assert!(view.up().is_disjoint(&drained));
    assert_eq!(view.up().len(), 64);
    // A removed line makes space for another one.
    view.apply(&subset.apply(ListKind::Changes, vec![with_health(up(0), Health::Gone), up(max + 7)]));
    assert_eq!(subset.stats().listed, MAX_LINES);
    assert!(subset.is_listed(up(max + 7).entry.backend));
}

#[test]
fn with_more_zones_than_places_each_zone_gets_its_share_over_all_nodes() {
    // There are more zones than places in a subset: different nodes must select backends of different zones.
    let lines = || (0..3000_u64).map(|n| line(n, (n % 300) as u16, Health::Up));
    let (mut subset, mut view) = selected(100, &node(0, None), lines());
    let mut seen: BTreeMap<u16, usize> = BTreeMap::new();
    for slot in 0..300 {
        select_for(&mut subset, &mut view, &node(slot, None));
        view.zones().into_iter().for_each(|(zone, n)| *seen.entry(zone).or_default() += n);
    }
    assert_eq!(seen.len(), 300);
    assert!(seen.values().all(|n| (80..=120).contains(n)), "{seen:?}");
}
