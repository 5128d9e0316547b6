//! Deterministic subsetting: selects the backends of a long list that this node works with. The full list is
//! kept here in compact form, ordered as a ring. The policy sees a subset of bounded size through ordinary
//! list events, so the cost of a request, a tick or a change does not grow with the list.
//!
//! A list that fits the subset size is passed on unchanged. From a longer list each node takes the next
//! backends that are up, starting at its own position on a ring. Positions follow from the node's slot number
//! and are spread evenly, whichever nodes a zone contains, so each backend is used by about the same number
//! of nodes. A backend that leaves or joins changes only the subsets of those nodes. If traffic between zones
//! has a price, half of the subset comes from a ring of the node's own zone. `docs/design.md` gives the
//! reasons and the alternatives that were considered.

use crate::interface::{BackendId, Health, ListEntry, ListKind, Settings};
use crate::statistics::mix_bits;
use std::collections::{BTreeMap, BTreeSet, btree_map};
use std::net::SocketAddr;
use std::ops::Bound;
use std::sync::Arc;

/// Maximum number of lines kept; further lines are left out and counted.
pub const MAX_LINES: usize = 131_072;
/// Distance between the ring positions of consecutive slots, as a fraction of 2^64. Its multiples are spread
/// evenly also where only every second to twenty-fourth of them is used, as the nodes of one zone may be.
/// Multiples of the golden ratio are not: every twelfth of them leaves parts of the ring with half of the
/// nodes.
const RING_STEP: u64 = 0xc20c_22fb_e4a5_c001;

/// One line of discovery's list.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// The part of the line that the policy uses.
    pub entry: ListEntry,
    /// Address on which the backend listens; a removed backend may have none.
    pub address: Option<SocketAddr>,
    /// Name under which operators know the backend.
    pub uid: Arc<str>,
}

impl Target {
    /// Returns this backend's line as removed.
    fn removed(&self) -> Target {
        let entry = ListEntry { health: Health::Gone, ..self.entry };
        Target { entry, address: None, uid: self.uid.clone() }
    }

    /// True if this line describes an earlier start of the backend than `other` does.
    fn is_of_earlier_start(&self, other: &Target) -> bool {
        // A line without a start time, as a removed backend may have, does not count as older.
        self.entry.ready_at_ms > 0.0 && self.entry.ready_at_ms < other.entry.ready_at_ms
    }
}

/// Backends by their position on a ring.
#[derive(Debug, Default)]
struct Ring {
    lines: BTreeMap<u64, Target>,
    up: usize,
}

impl Ring {
    fn insert(&mut self, line: Target) {
        self.up += usize::from(line.entry.health == Health::Up);
        let before = self.lines.insert(mix_bits(line.entry.backend.0), line);
        self.up -= usize::from(before.is_some_and(|line| line.entry.health == Health::Up));
    }

    /// Removes a backend. Returns true if it was on the ring.
    fn remove(&mut self, id: BackendId) -> bool {
        let before = self.lines.remove(&mix_bits(id.0));
        self.up -= usize::from(before.as_ref().is_some_and(|line| line.entry.health == Health::Up));
        before.is_some()
    }

    /// Returns the next `count` backends that are up from `position` on, once around the ring.
    fn next_up(&self, position: u64, count: usize) -> impl Iterator<Item = &Target> {
        let around = self.lines.range(position..).chain(self.lines.range(..position)).map(|(_, line)| line);
        around.filter(|line| line.entry.health == Health::Up).take(count)
    }
}

/// Position of a line in a full list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinePosition {
    is_other: bool,
    on_ring: u64,
}

/// A full list.
#[derive(Debug, Default)]
pub struct Catalog {
    /// Zone whose backends have a ring of their own.
    home_zone: Option<u16>,
    home_ring: Ring,
    other_ring: Ring,
    /// Lines left out for lack of space since the last full list.
    left_out: usize,
}

impl Catalog {
    /// Builds the list from its lines; of two lines for one backend the later one holds. `home_zone` is the
    /// node's zone if traffic between zones has a price.
    pub fn from_lines(lines: impl IntoIterator<Item = Target>, home_zone: Option<u16>) -> Catalog {
        let mut catalog = Catalog { home_zone, ..Catalog::default() };
        lines.into_iter().for_each(|line| catalog.insert(line));
        catalog
    }

    /// Inserts or replaces one line; removes the backend if the line says so.
    pub fn insert(&mut self, line: Target) {
        let id = line.entry.backend;
        let is_full = self.len() >= MAX_LINES;
        let in_home_zone = self.home_zone == Some(line.entry.zone);
        let (ring, other) = if in_home_zone {
            (&mut self.home_ring, &mut self.other_ring)
        } else {
            (&mut self.other_ring, &mut self.home_ring)
        };
        // The backend may have been listed in another zone.
        let was_in_other_zone = other.remove(id);
        if line.entry.health == Health::Gone {
            ring.remove(id);
        } else if is_full && !was_in_other_zone && !ring.lines.contains_key(&mix_bits(id.0)) {
            self.left_out += 1;
        } else {
            ring.insert(line);
        }
    }

    /// Returns the number of lines.
    pub fn len(&self) -> usize {
        self.home_ring.lines.len() + self.other_ring.lines.len()
    }

    /// True if the list has no lines.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the number of backends that are up.
    pub fn up(&self) -> usize {
        self.home_ring.up + self.other_ring.up
    }

    /// Returns a backend's line.
    pub fn get(&self, id: BackendId) -> Option<&Target> {
        let position = mix_bits(id.0);
        self.home_ring.lines.get(&position).or_else(|| self.other_ring.lines.get(&position))
    }

    /// Returns all lines.
    pub fn lines(&self) -> impl Iterator<Item = &Target> {
        self.home_ring.lines.values().chain(self.other_ring.lines.values())
    }

    /// Returns up to `count` lines after a position in the order of all lines.
    fn lines_after(&self, position: Option<LinePosition>, count: usize) -> Vec<(LinePosition, &Target)> {
        let after = |is_other: bool| match position {
            Some(position) if position.is_other == is_other => Bound::Excluded(position.on_ring),
            Some(position) if position.is_other => Bound::Excluded(u64::MAX),
            _ => Bound::Unbounded,
        };
        let rings = [(false, &self.home_ring), (true, &self.other_ring)].into_iter();
        rings
            .flat_map(|(is_other, ring)| {
                let lines = ring.lines.range((after(is_other), Bound::Unbounded));
                lines.map(move |(on_ring, line)| (LinePosition { is_other, on_ring: *on_ring }, line))
            })
            .take(count)
            .collect()
    }

    /// Selects the backends that a node works with: all of them, or the next ones on the rings.
    fn select(&self, size: usize, slot: u32) -> BTreeMap<BackendId, &Target> {
        fn with_id(line: &Target) -> (BackendId, &Target) {
            (line.entry.backend, line)
        }
        if size == 0 || self.len() <= size {
            return self.lines().map(with_id).collect();
        }
        // Half come from the node's own zone if it has enough; the zone also makes up for what the other
        // zones lack.
        let count = size.min(self.up());
        let from_home = self.home_ring.up.min((size / 2).max(count.saturating_sub(self.other_ring.up)));
        let position = u64::from(slot).wrapping_mul(RING_STEP);
        let next = self
            .home_ring
            .next_up(position, from_home)
            .chain(self.other_ring.next_up(position, count - from_home));
        let mut chosen: BTreeMap<BackendId, &Target> = next.map(with_id).collect();
        if chosen.is_empty() {
            // No backend is up. The policy must still see that there is a list and which backends drain.
            chosen = self.lines().take(size).map(with_id).collect();
        }
        chosen
    }
}

/// Statistics of the list and the subset.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SubsetStats {
    /// Lines of the list.
    pub listed: usize,
    /// Listed backends that are up.
    pub up: usize,
    /// Backends that the policy knows.
    pub held: usize,
    /// Lines left out beyond [`MAX_LINES`] since the last full list.
    pub left_out: usize,
    /// Backends that have joined the subset since the start.
    pub joined: u64,
}

/// Returns the node's zone if traffic between zones has a price.
pub fn home_zone(settings: &Settings) -> Option<u16> {
    settings.zone.filter(|_| settings.prices.cross_zone > 0.0)
}

/// An update of the list, as the policy sees it.
#[derive(Debug)]
pub struct ListUpdate {
    /// Kind of the update.
    pub kind: ListKind,
    /// Lines of the update.
    pub lines: Vec<Target>,
    /// The full list that this update replaced. Dropping it takes long.
    pub previous: Option<Catalog>,
}

/// The list and the subset of it that this node works with.
#[derive(Debug)]
pub struct Subset {
    /// Number of backends in a subset; 0 means all backends of any list.
    size: usize,
    slot: u32,
    catalog: Catalog,
    /// The list is longer than a subset.
    is_truncated: bool,
    /// Lines that the policy knows, while the list is longer than a subset.
    selected: BTreeMap<BackendId, Target>,
    joined: u64,
}

impl Subset {
    /// Creates an empty list. `size` is the number of backends in a subset; 0 means all backends of any list.
    pub fn new(size: usize, settings: &Settings) -> Subset {
        Subset {
            size,
            slot: settings.slot,
            catalog: Catalog { home_zone: home_zone(settings), ..Catalog::default() },
            is_truncated: false,
            selected: BTreeMap::new(),
            joined: 0,
        }
    }

    /// Takes new settings. Returns true if the subset must be selected again, by applying an update without
    /// lines.
    pub fn update_settings(&mut self, settings: &Settings) -> bool {
        let before = (self.slot, self.catalog.home_zone);
        self.slot = settings.slot;
        self.set_home_zone(home_zone(settings));
        self.is_truncated && before != (self.slot, self.catalog.home_zone)
    }

    /// Orders the list for nodes of this zone.
    fn set_home_zone(&mut self, home_zone: Option<u16>) {
        if self.catalog.home_zone != home_zone {
            let Catalog { home_ring, other_ring, left_out, .. } = std::mem::take(&mut self.catalog);
            let lines = home_ring.lines.into_values().chain(other_ring.lines.into_values());
            self.catalog = Catalog { left_out, ..Catalog::from_lines(lines, home_zone) };
        }
    }

    /// Applies an update of the list and returns the update for the policy.
    pub fn apply(&mut self, kind: ListKind, lines: Vec<Target>) -> ListUpdate {
        match kind {
            ListKind::Failed => ListUpdate { kind, lines, previous: None },
            ListKind::Full | ListKind::Saved if self.fits(lines.len()) && !self.is_truncated => {
                self.catalog = Catalog::from_lines(lines.iter().cloned(), self.catalog.home_zone);
                ListUpdate { kind, lines, previous: None }
            }
            ListKind::Full | ListKind::Saved => {
                self.apply_full_list(kind, Catalog::from_lines(lines, self.catalog.home_zone))
            }
            ListKind::Changes if !self.is_truncated && self.fits(self.catalog.len() + lines.len()) => {
                lines.iter().cloned().for_each(|line| self.catalog.insert(line));
                ListUpdate { kind, lines, previous: None }
            }
            ListKind::Changes => {
                self.track_all();
                lines.into_iter().for_each(|line| self.catalog.insert(line));
                self.reselect(None)
            }
        }
    }

    /// Applies a full list that was built on another thread and returns the update for the policy.
    pub fn apply_full_list(&mut self, kind: ListKind, catalog: Catalog) -> ListUpdate {
        let home_zone = self.catalog.home_zone;
        if !self.is_truncated && self.fits(catalog.len()) {
            self.catalog = catalog;
            self.set_home_zone(home_zone);
            return ListUpdate { kind, lines: self.catalog.lines().cloned().collect(), previous: None };
        }
        self.track_all();
        let previous = std::mem::replace(&mut self.catalog, catalog);
        // The settings may have changed while the list was built.
        self.set_home_zone(home_zone);
        self.reselect(Some(previous))
    }

    /// Returns the lines by which backends leave, except those that describe an earlier start than the known
    /// one. With `omissions`, backends that are up here and not among the lines leave as well.
    pub fn departures<'a>(
        &self,
        lines: impl IntoIterator<Item = &'a Target>,
        omissions: bool,
    ) -> Vec<Target> {
        let mut named = BTreeSet::new();
        let mut departures = Vec::new();
        for line in lines {
            let id = line.entry.backend;
            if omissions {
                named.insert(id);
            }
            let is_outdated = self.catalog.get(id).is_some_and(|known| line.is_of_earlier_start(known));
            if line.entry.health != Health::Up && !is_outdated {
                departures.push(line.clone());
            }
        }
        if omissions {
            let up = self.catalog.lines().filter(|line| line.entry.health == Health::Up);
            departures.extend(up.filter(|line| !named.contains(&line.entry.backend)).map(Target::removed));
        }
        departures
    }

    /// True unless the backend is known to have left.
    pub fn may_be_up(&self, id: BackendId) -> bool {
        self.catalog.get(id).is_none_or(|line| line.entry.health == Health::Up)
    }

    /// Returns how many of `instances` nodes work with one backend on average; none if each node works with
    /// all of them.
    pub fn nodes_per_backend(&self, instances: u32) -> Option<u32> {
        let up = self.catalog.up();
        let share = self.size as f64 / up as f64;
        let nodes = f64::from(instances) * share;
        (self.is_truncated && up > self.size).then(|| (nodes.round() as u32).clamp(1, instances.max(1)))
    }

    /// True if the backend is listed, selected or not.
    pub fn is_listed(&self, id: BackendId) -> bool {
        self.catalog.get(id).is_some()
    }

    /// True if the list is longer than a subset.
    pub fn is_truncated(&self) -> bool {
        self.is_truncated
    }

    /// Returns up to `count` lines of the full list after a position, to read a long list in slices. A line
    /// that changes meanwhile may be missed.
    pub fn lines_after(
        &self,
        position: Option<LinePosition>,
        count: usize,
    ) -> Vec<(LinePosition, &Target)> {
        self.catalog.lines_after(position, count)
    }

    /// Returns a backend's line.
    pub fn line(&self, id: BackendId) -> Option<&Target> {
        self.catalog.get(id)
    }

    /// Returns the statistics of the list and the subset.
    pub fn stats(&self) -> SubsetStats {
        let (listed, up) = (self.catalog.len(), self.catalog.up());
        let held = if self.is_truncated { self.selected.len() } else { listed };
        SubsetStats { listed, up, held, left_out: self.catalog.left_out, joined: self.joined }
    }

    fn fits(&self, lines: usize) -> bool {
        self.size == 0 || lines <= self.size
    }

    /// Starts to track the lines that the policy knows.
    fn track_all(&mut self) {
        if !self.is_truncated {
            self.selected = self.catalog.lines().map(|line| (line.entry.backend, line.clone())).collect();
        }
    }

    /// Selects the subset from the current list and returns an update with the differences.
    fn reselect(&mut self, previous: Option<Catalog>) -> ListUpdate {
        self.is_truncated = !self.fits(self.catalog.len());
        let chosen = self.catalog.select(self.size, self.slot);
        let mut lines = Vec::new();
        let mut leaving = 0;
        self.selected.retain(|id, line| {
            let Some(current) = self.catalog.get(*id) else {
                lines.push(line.removed());
                return false;
            };
            // A draining backend may still serve requests of this node, and operators look for it. The number
            // of them is bounded.
            leaving += usize::from(current.entry.health != Health::Up);
            let stays =
                chosen.contains_key(id) || current.entry.health != Health::Up && leaving <= self.size;
            if !stays {
                lines.push(current.removed());
            } else if current != line {
                lines.push(current.clone());
                *line = current.clone();
            }
            stays
        });
        for (id, line) in chosen {
            if let btree_map::Entry::Vacant(vacant) = self.selected.entry(id) {
                lines.push(line.clone());
                vacant.insert(line.clone());
                self.joined += 1;
            }
        }
        if !self.is_truncated {
            self.selected.clear();
        }
        ListUpdate { kind: ListKind::Changes, lines, previous }
    }
}
