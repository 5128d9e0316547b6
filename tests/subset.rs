//! Which backends of a long list a node works with: what fits is handed on as it came, what does not is a subset that
//! follows the list, loses no drain, and shares the backends evenly among the nodes.

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

fn with(line: Target, health: Health) -> Target {
    Target { entry: ListEntry { health, ..line.entry }, ..line }
}

fn node(slot: u32, home: Option<u16>) -> Settings {
    let mut settings = Settings { slot, zone: home, instances: 4200, ..settings() };
    settings.prices.cross_zone = if home.is_some() { 0.06 } else { 0.0 };
    settings
}

/// What the decisions know, by what they were told.
#[derive(Default)]
struct Told(BTreeMap<BackendId, ListEntry>);

impl Told {
    fn take(&mut self, news: &ListUpdate) {
        if matches!(news.kind, ListKind::Full | ListKind::Saved) {
            self.0.clear();
        }
        for line in &news.lines {
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

/// A node's subset, with what it was told so far.
fn drawn(size: usize, settings: &Settings, lines: impl IntoIterator<Item = Target>) -> (Subset, Told) {
    let (mut subset, mut told) = (Subset::new(size, settings), Told::default());
    told.take(&subset.apply(ListKind::Full, lines.into_iter().collect()));
    (subset, told)
}

/// The same list as another node has it drawn.
fn as_node(subset: &mut Subset, told: &mut Told, settings: &Settings) {
    if subset.update_settings(settings) {
        told.take(&subset.apply(ListKind::Changes, Vec::new()));
    }
}

fn word() -> impl Strategy<Value = (u8, Vec<(u64, u16, u8)>)> {
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

    /// Against a plain model of the list, over any course of whole lists and changes, with names that come twice, zones
    /// that change under a name, and lists that grow and shrink across the bound.
    #[test]
    fn what_the_decisions_know_is_always_a_true_part_of_the_list(
        slot in 0..50_u32, home in prop::option::of(0..4_u16), size in 0..30_usize,
        words in prop::collection::vec(word(), 1..12),
    ) {
        let settings = node(slot, home);
        let (mut subset, mut told) = (Subset::new(size, &settings), Told::default());
        let mut model: BTreeMap<BackendId, ListEntry> = BTreeMap::new();
        for (kind, raw) in words {
            let kind = [ListKind::Full, ListKind::Saved, ListKind::Changes][usize::from(kind.min(2))];
            let lines = lines_of(&raw);
            let (was_wide, before) = (subset.is_truncated(), if kind == ListKind::Changes { model.len() } else { 0 });
            if kind != ListKind::Changes {
                model.clear();
            }
            for line in &lines {
                match line.entry.health {
                    Health::Gone => drop(model.remove(&line.entry.backend)),
                    _ => drop(model.insert(line.entry.backend, line.entry)),
                }
            }
            let news = subset.apply(kind, lines.clone());
            if !was_wide && (size == 0 || before + lines.len() <= size) {
                prop_assert_eq!((news.kind, &news.lines), (kind, &lines), "handed on as it came");
            }
            told.take(&news);
            for (id, entry) in &told.0 {
                prop_assert_eq!(model.get(id), Some(entry), "nobody is known who drains or is gone otherwise");
            }
            let all_up = model.values().filter(|e| e.health == Health::Up).count();
            if size == 0 || model.len() <= size {
                prop_assert_eq!(&told.0, &model);
                prop_assert_eq!(subset.nodes_per_backend(100), None);
            } else {
                prop_assert_eq!(told.up().len(), all_up.min(size));
                prop_assert!(told.0.len() <= 3 * size);
            }
            prop_assert!(model.is_empty() || !told.0.is_empty(), "that there is a list is to be seen");
            prop_assert_eq!(subset.stats().listed, model.len());
        }
    }

    /// The subset follows from the list and the node's number alone, not from how the list came to be so.
    #[test]
    fn a_subset_does_not_depend_on_the_way_to_its_list(
        slot in 0..50_u32, home in prop::option::of(0..4_u16), words in prop::collection::vec(word(), 1..8),
    ) {
        let settings = node(slot, home);
        let (mut subset, mut told) = (Subset::new(12, &settings), Told::default());
        let mut model: BTreeMap<BackendId, Target> = BTreeMap::new();
        for (_, raw) in words {
            for line in lines_of(&raw) {
                if line.entry.health == Health::Gone {
                    model.remove(&line.entry.backend);
                } else {
                    model.insert(line.entry.backend, line);
                }
            }
            told.take(&subset.apply(ListKind::Changes, lines_of(&raw)));
        }
        let (_, fresh) = drawn(12, &settings, model.into_values());
        prop_assert_eq!(told.up(), fresh.up());
    }
}

/// Nodes that hold each backend, and the load that each gets for its weight where every node divides the same among its
/// subset.
fn spread(
    nodes: u32,
    backends: u64,
    size: usize,
    home: impl Fn(u32) -> Option<u16>,
    units: impl Fn(u64) -> f64,
) -> (Vec<usize>, Vec<f64>) {
    let weighed = |n| Target { entry: ListEntry { units: units(n), ..up(n).entry }, ..up(n) };
    let (mut subset, mut told) = drawn(size, &node(0, home(0)), (0..backends).map(weighed));
    let mut held: BTreeMap<BackendId, (usize, f64)> =
        (0..backends).map(|n| (up(n).entry.backend, (0, 0.0))).collect();
    let mut slots: Vec<u32> = (0..nodes).collect();
    // A list is put in order anew for each other zone.
    slots.sort_by_key(|slot| home(*slot));
    for slot in slots {
        as_node(&mut subset, &mut told, &node(slot, home(slot)));
        // Traffic that does not cross: all of it goes to the own zone.
        let own = |e: &ListEntry| home(slot).is_none_or(|zone| zone == e.zone);
        let near: f64 = told.0.values().filter(|e| own(e)).map(|e| e.units).sum();
        for entry in told.0.values() {
            let held = held.get_mut(&entry.backend).unwrap();
            held.0 += 1;
            held.1 += if own(entry) { 1.0 / near } else { 0.0 };
        }
    }
    (held.values().map(|h| h.0).collect(), held.values().map(|h| h.1).collect())
}

/// Least, most and the deviation, as parts of the mean.
fn shape(values: &[f64]) -> (f64, f64, f64) {
    let mean = values.iter().sum::<f64>() / values.len() as f64;
    let variance = values.iter().map(|v| (v - mean) * (v - mean)).sum::<f64>() / values.len() as f64;
    let bound = |f: fn(f64, f64) -> f64, start| values.iter().copied().fold(start, f) / mean;
    (bound(f64::min, f64::INFINITY), bound(f64::max, 0.0), variance.sqrt() / mean)
}

/// A quarter of the size that the operators expect in each way, so a subset is as large a part as there.
#[test]
fn each_backend_is_held_by_about_as_many_nodes_as_any_other_however_nodes_stand_in_zones() {
    type Home = fn(u32) -> Option<u16>;
    let homes: [(&str, Home); 3] = [
        ("no price", |_| None),
        ("zone by zone", |slot| Some((slot / 88).min(11) as u16)),
        ("in turn", |slot| Some((slot % 12) as u16)),
    ];
    // One in twenty is ten times as large as the others.
    let unequal: fn(u64) -> f64 = |n| if n.is_multiple_of(20) { 10.0 } else { 1.0 };
    let equal: fn(u64) -> f64 = |_| 1.0;
    let plays = homes.map(|(name, home)| (name, home, equal));
    for (name, home, units) in plays.into_iter().chain([("unequal weights", homes[0].1, unequal)]) {
        let (held, load) = spread(1050, 11_750, 320, home, units);
        let held: Vec<f64> = held.into_iter().map(|n| n as f64).collect();
        let (least, most, deviation) = shape(&held);
        println!(
            "{name}: nodes at a backend {least:.2} to {most:.2} of the mean, deviation {deviation:.3}"
        );
        assert!(
            least > 0.6 && most < 1.5 && deviation < 0.12,
            "{name}: held by {least} to {most}, {deviation}"
        );
        let (least, most, deviation) = shape(&load);
        println!("{name}: load {least:.2} to {most:.2} of the mean, deviation {deviation:.3}");
        assert!(
            least > 0.6 && most < 1.5 && deviation < 0.12,
            "{name}: load {least} to {most}, {deviation}"
        );
    }
}

#[test]
fn a_backend_that_goes_or_comes_changes_one_place_at_the_nodes_that_hold_it_and_nothing_elsewhere() {
    let (mut subset, mut told) = drawn(64, &node(0, Some(0)), (0..3000).map(up));
    for slot in 0..60 {
        as_node(&mut subset, &mut told, &node(slot, Some((slot / 5) as u16)));
        let before = told.up();
        let held = |n: &u64| before.contains(&up(*n).entry.backend);
        let (inside, outside) = ((0..3000).find(held).unwrap(), (0..3000).rfind(|n| !held(n)).unwrap());
        for (n, changed) in [(inside, 2), (outside, 0)] {
            told.take(&subset.apply(ListKind::Changes, vec![with(up(n), Health::Draining)]));
            let without = told.up();
            assert_eq!(before.symmetric_difference(&without).count(), changed, "{slot}");
            assert_eq!(without.len(), before.len());
            told.take(&subset.apply(ListKind::Changes, vec![up(n)]));
            assert_eq!(told.up(), before, "{slot}: back as it was");
        }
    }
}

#[test]
fn a_lost_zone_is_replaced_from_the_others_and_returns_to_the_same_subset() {
    let settings = node(17, Some(3));
    let (mut subset, mut told) = drawn(320, &settings, (0..12_000).map(up));
    let before = told.up();
    assert_eq!(told.zones()[&3], 160, "half of it is of the own zone");
    for zone in [3, 8] {
        let lost: Vec<Target> = (0..12_000).map(up).filter(|l| l.entry.zone == zone).collect();
        let third: Vec<Target> = lost.iter().step_by(3).cloned().collect();
        for part in [third, lost] {
            let down = part.iter().cloned().map(|l| with(l, Health::Gone)).collect();
            told.take(&subset.apply(ListKind::Changes, down));
            assert_eq!(told.up().len(), 320);
            assert!(told.up().iter().all(|id| part.iter().all(|l| l.entry.backend != *id)));
        }
        assert!(!told.zones().contains_key(&zone));
        // It returns cold: each line with a later start.
        let back = (0..12_000).map(up).filter(|l| l.entry.zone == zone);
        let back = back.map(|l| Target { entry: ListEntry { ready_at_ms: 5e9, ..l.entry }, ..l }).collect();
        told.take(&subset.apply(ListKind::Changes, back));
        assert_eq!(told.up(), before);
        assert!(
            told.0.values().all(|e| e.zone != zone || e.ready_at_ms == 5e9),
            "what is known is the new start"
        );
    }
}

#[test]
fn a_whole_list_that_drains_leaves_no_backend_up_and_what_is_held_stays_bounded() {
    let (mut subset, mut told) = drawn(64, &node(5, None), (0..2000).map(up));
    for n in 0..2000 {
        told.take(&subset.apply(ListKind::Changes, vec![with(up(n), Health::Draining)]));
        assert!(told.0.len() <= 128, "{n}: {}", told.0.len());
        assert_eq!(told.up().len(), 64.min(1999 - n as usize));
    }
    assert!(!told.0.is_empty(), "who drains is to be seen");
    told.take(&subset.apply(ListKind::Full, (0..2000).map(up).collect()));
    assert_eq!(told.up().len(), 64);
    assert_eq!(told.0.len(), 64, "a whole list counted anew leaves nothing of the one before");
}

#[test]
fn a_fleet_that_grows_and_shrinks_is_handed_on_whole_whenever_it_fits() {
    let settings = node(9, Some(1));
    let (mut subset, mut told) = drawn(320, &settings, (0..3).map(up));
    let mut holders = Vec::new();
    for count in [3_u64, 320, 321, 1000, 47_000, 94_000, 321, 320, 3] {
        let news = subset.apply_full_list(ListKind::Full, Catalog::from_lines((0..count).map(up), Some(1)));
        told.take(&news);
        assert_eq!(told.up().len(), 320.min(count as usize), "{count}");
        holders.push(subset.nodes_per_backend(4200));
    }
    let wanted = [None, None, Some(4187), Some(1344), Some(29), Some(14), Some(4187), None, None];
    assert_eq!(holders, wanted);
}

#[test]
fn a_list_past_every_limit_keeps_what_is_known_and_every_drain_of_it() {
    let most = MAX_LINES as u64;
    let (mut subset, mut told) = drawn(64, &node(2, None), (0..most + 50).map(up));
    let figures = subset.stats();
    assert_eq!((figures.listed, figures.left_out, figures.held), (MAX_LINES, 50, 64));
    let drains: Vec<Target> = told
        .0
        .values()
        .map(|e| Target { entry: ListEntry { health: Health::Draining, ..*e }, ..up(0) })
        .collect();
    let drained: BTreeSet<BackendId> = drains.iter().map(|l| l.entry.backend).collect();
    told.take(&subset.apply(ListKind::Changes, drains));
    assert!(told.up().is_disjoint(&drained));
    assert_eq!(told.up().len(), 64);
    // Where one goes there is room for one again.
    told.take(&subset.apply(ListKind::Changes, vec![with(up(0), Health::Gone), up(most + 7)]));
    assert_eq!(subset.stats().listed, MAX_LINES);
    assert!(subset.is_listed(up(most + 7).entry.backend));
}

#[test]
fn of_more_zones_than_places_each_gets_its_part_over_all_nodes() {
    // More zones than places: which of them a node has a place in must differ from node to node.
    let lines = || (0..3000_u64).map(|n| line(n, (n % 300) as u16, Health::Up));
    let (mut subset, mut told) = drawn(100, &node(0, None), lines());
    let mut seen: BTreeMap<u16, usize> = BTreeMap::new();
    for slot in 0..300 {
        as_node(&mut subset, &mut told, &node(slot, None));
        told.zones().into_iter().for_each(|(zone, n)| *seen.entry(zone).or_default() += n);
    }
    assert_eq!(seen.len(), 300);
    assert!(seen.values().all(|n| (80..=120).contains(n)), "{seen:?}");
}
