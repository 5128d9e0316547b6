//! Which backends of a long list this node works with: deterministic subsetting. The whole list is kept here, small and
//! in the order of a ring; what the decisions hear of is a subset of bounded size, told by ordinary list
//! events, so that what a request, a tick or a change costs does not grow with the fleet. It knows no request.
//!
//! A list of at most so many lines is handed on as it came. Of a longer one each node takes the next backends that are
//! up on a ring, from a place of its own. The places follow from the node's number and lie evenly, whichever nodes
//! stand in a zone, so that each backend is held by about as many nodes as any other; a backend that goes or comes
//! changes the subsets of those nodes alone. Where crossing zones has a price, half of the subset is taken from a ring
//! of the own zone. `docs/design.md` tells why, and what else was weighed.

use crate::interface::{BackendId, Health, ListEntry, ListKind, Settings};
use crate::statistics::mix_bits;
use std::collections::{BTreeMap, BTreeSet, btree_map};
use std::net::SocketAddr;
use std::sync::Arc;

/// Lines that are kept at most; who is up beyond them is left out, and counted.
pub const MAX_LINES: usize = 131_072;
/// Step of the places of nodes on a ring, a part of a whole turn. Of some thousand numbers drawn this is the one whose
/// multiples lie most evenly where only each second to twenty-fourth of them is taken, as the nodes of one zone may
/// be; each twelfth multiple of the golden ratio leaves parts of the ring with half of their nodes.
const RING_STEP: u64 = 0xc20c_22fb_e4a5_c001;

/// One line of discovery's list.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// What the decisions need.
    pub entry: ListEntry,
    /// Where it listens; one that was removed need not say.
    pub address: Option<SocketAddr>,
    /// What operators call it.
    pub uid: Arc<str>,
}

impl Target {
    /// The same backend, removed.
    fn gone(&self) -> Target {
        let entry = ListEntry { health: Health::Gone, ..self.entry };
        Target { entry, address: None, uid: self.uid.clone() }
    }

    /// It speaks of an earlier start of its backend than `other`.
    fn of_earlier_start(&self, other: &Target) -> bool {
        // A line that tells no start, as one of a removed backend may, is no older for that.
        self.entry.ready_at_ms > 0.0 && self.entry.ready_at_ms < other.entry.ready_at_ms
    }
}

/// Backends by their place on a ring.
#[derive(Debug, Default)]
struct Ring {
    lines: BTreeMap<u64, Target>,
    up: usize,
}

impl Ring {
    fn put(&mut self, line: Target) {
        self.up += usize::from(line.entry.health == Health::Up);
        let before = self.lines.insert(mix_bits(line.entry.backend.0), line);
        self.up -= usize::from(before.is_some_and(|b| b.entry.health == Health::Up));
    }

    /// True: it was there.
    fn remove(&mut self, id: BackendId) -> bool {
        let before = self.lines.remove(&mix_bits(id.0));
        self.up -= usize::from(before.as_ref().is_some_and(|b| b.entry.health == Health::Up));
        before.is_some()
    }

    /// The next so many that are up, from a place on, once around.
    fn next(&self, at: u64, count: usize) -> impl Iterator<Item = &Target> {
        let around = self.lines.range(at..).chain(self.lines.range(..at)).map(|(_, line)| line);
        around.filter(|line| line.entry.health == Health::Up).take(count)
    }
}

/// A whole list.
#[derive(Debug, Default)]
pub struct Catalog {
    /// The zone whose backends have a ring of their own.
    home: Option<u16>,
    near: Ring,
    far: Ring,
    /// Lines that had no place since the last whole list.
    left_out: usize,
}

impl Catalog {
    /// The list of these lines, for a node of that zone, if crossing has a price there; of two lines of one backend
    /// the later holds.
    pub fn from_lines(lines: impl IntoIterator<Item = Target>, home: Option<u16>) -> Catalog {
        let mut catalog = Catalog { home, ..Catalog::default() };
        lines.into_iter().for_each(|line| catalog.insert(line));
        catalog
    }

    /// Takes one line.
    pub fn insert(&mut self, line: Target) {
        let id = line.entry.backend;
        let full = self.len() >= MAX_LINES;
        let near = self.home == Some(line.entry.zone);
        let (ring, other) =
            if near { (&mut self.near, &mut self.far) } else { (&mut self.far, &mut self.near) };
        // It may have been listed in another zone.
        let moved = other.remove(id);
        if line.entry.health == Health::Gone {
            ring.remove(id);
        } else if full && !moved && !ring.lines.contains_key(&mix_bits(id.0)) {
            self.left_out += 1;
        } else {
            ring.put(line);
        }
    }

    /// Its lines.
    pub fn len(&self) -> usize {
        self.near.lines.len() + self.far.lines.len()
    }

    /// It has none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Backends that are up.
    pub fn up(&self) -> usize {
        self.near.up + self.far.up
    }

    /// A backend's line.
    pub fn get(&self, id: BackendId) -> Option<&Target> {
        let at = mix_bits(id.0);
        self.near.lines.get(&at).or_else(|| self.far.lines.get(&at))
    }

    /// All of them.
    pub fn lines(&self) -> impl Iterator<Item = &Target> {
        self.near.lines.values().chain(self.far.lines.values())
    }

    /// The backends that a node works with: all, or those next on the rings.
    fn draw(&self, size: usize, slot: u32) -> BTreeMap<BackendId, &Target> {
        fn with_id(line: &Target) -> (BackendId, &Target) {
            (line.entry.backend, line)
        }
        if size == 0 || self.len() <= size {
            return self.lines().map(with_id).collect();
        }
        // Half from the own zone, where it has so many; what the others do not have is its part, too.
        let room = size.min(self.up());
        let near = self.near.up.min((size / 2).max(room.saturating_sub(self.far.up)));
        let at = u64::from(slot).wrapping_mul(RING_STEP);
        let next = self.near.next(at, near).chain(self.far.next(at, room - near));
        let mut chosen: BTreeMap<BackendId, &Target> = next.map(with_id).collect();
        if chosen.is_empty() {
            // Nobody is up. That there is a list, and who drains, is to be seen all the same.
            chosen = self.lines().take(size).map(with_id).collect();
        }
        chosen
    }
}

/// How the subset stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SubsetStats {
    /// Lines of the list, and those of them that are up.
    pub listed: usize,
    /// See above.
    pub up: usize,
    /// Backends that the decisions know of.
    pub held: usize,
    /// Lines beyond [`MAX_LINES`] since the last whole list.
    pub left_out: usize,
    /// Backends that came into the subset since the start.
    pub joined: u64,
}

/// A node's zone, where crossing has a price.
pub fn home_zone(settings: &Settings) -> Option<u16> {
    settings.zone.filter(|_| settings.prices.cross_zone > 0.0)
}

/// What the decisions are to be told.
#[derive(Debug)]
pub struct ListUpdate {
    /// What kind of news it is.
    pub kind: ListKind,
    /// The lines.
    pub lines: Vec<Target>,
    /// The list that was known before, where a whole one has taken its place: long to drop.
    pub previous: Option<Catalog>,
}

/// The list, and the part of it that this node works with.
#[derive(Debug)]
pub struct Subset {
    /// Backends in a subset; 0 for all of any list.
    size: usize,
    slot: u32,
    catalog: Catalog,
    /// The list is longer than a subset.
    is_truncated: bool,
    /// What the decisions were told, where it is.
    held: BTreeMap<BackendId, Target>,
    joined: u64,
}

impl Subset {
    /// No list is known yet. `size`: backends in a subset, 0 for all of any list.
    pub fn new(size: usize, settings: &Settings) -> Subset {
        Subset {
            size,
            slot: settings.slot,
            catalog: Catalog { home: home_zone(settings), ..Catalog::default() },
            is_truncated: false,
            held: BTreeMap::new(),
            joined: 0,
        }
    }

    /// Takes new settings. True: the subset has to be drawn anew, by news without lines.
    pub fn update_settings(&mut self, settings: &Settings) -> bool {
        let before = (self.slot, self.catalog.home);
        self.slot = settings.slot;
        self.settle(home_zone(settings));
        self.is_truncated && before != (self.slot, self.catalog.home)
    }

    /// Puts the list in the order of that zone's nodes.
    fn settle(&mut self, home: Option<u16>) {
        if self.catalog.home != home {
            let Catalog { near, far, left_out, .. } = std::mem::take(&mut self.catalog);
            let lines = near.lines.into_values().chain(far.lines.into_values());
            self.catalog = Catalog { left_out, ..Catalog::from_lines(lines, home) };
        }
    }

    /// Takes news of the list and says what the decisions are to hear of it.
    pub fn apply(&mut self, kind: ListKind, lines: Vec<Target>) -> ListUpdate {
        match kind {
            ListKind::Failed => ListUpdate { kind, lines, previous: None },
            ListKind::Full | ListKind::Saved if self.fits(lines.len()) && !self.is_truncated => {
                self.catalog = Catalog::from_lines(lines.iter().cloned(), self.catalog.home);
                ListUpdate { kind, lines, previous: None }
            }
            ListKind::Full | ListKind::Saved => {
                self.apply_full_list(kind, Catalog::from_lines(lines, self.catalog.home))
            }
            ListKind::Changes if !self.is_truncated && self.fits(self.catalog.len() + lines.len()) => {
                lines.iter().cloned().for_each(|line| self.catalog.insert(line));
                ListUpdate { kind, lines, previous: None }
            }
            ListKind::Changes => {
                self.hold_all();
                lines.into_iter().for_each(|line| self.catalog.insert(line));
                self.redraw(None)
            }
        }
    }

    /// The same of a whole list that was put together elsewhere, so that nobody waits for it.
    pub fn apply_full_list(&mut self, kind: ListKind, catalog: Catalog) -> ListUpdate {
        let home = self.catalog.home;
        if !self.is_truncated && self.fits(catalog.len()) {
            self.catalog = catalog;
            self.settle(home);
            return ListUpdate { kind, lines: self.catalog.lines().cloned().collect(), previous: None };
        }
        self.hold_all();
        let old = std::mem::replace(&mut self.catalog, catalog);
        // The settings may have changed while it was put together.
        self.settle(home);
        self.redraw(Some(old))
    }

    /// Of these lines those by which backends leave, unless they speak of an earlier start than the known one. With
    /// `omissions` whoever is up here and not among the lines leaves as well.
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
            let outdated = self.catalog.get(id).is_some_and(|known| line.of_earlier_start(known));
            if line.entry.health != Health::Up && !outdated {
                departures.push(line.clone());
            }
        }
        if omissions {
            let up = self.catalog.lines().filter(|line| line.entry.health == Health::Up);
            departures.extend(up.filter(|line| !named.contains(&line.entry.backend)).map(Target::gone));
        }
        departures
    }

    /// A backend is not known to have left.
    pub fn may_be_up(&self, id: BackendId) -> bool {
        self.catalog.get(id).is_none_or(|line| line.entry.health == Health::Up)
    }

    /// How many nodes hold a backend, of so many; none where that is all.
    pub fn nodes_per_backend(&self, instances: u32) -> Option<u32> {
        let up = self.catalog.up();
        let part = self.size as f64 / up as f64;
        let holders = f64::from(instances) * part;
        (self.is_truncated && up > self.size).then(|| (holders.round() as u32).clamp(1, instances.max(1)))
    }

    /// A backend is listed, held or not.
    pub fn is_listed(&self, id: BackendId) -> bool {
        self.catalog.get(id).is_some()
    }

    /// The list is longer than a subset.
    pub fn is_truncated(&self) -> bool {
        self.is_truncated
    }

    /// How it stands.
    pub fn stats(&self) -> SubsetStats {
        let (listed, up) = (self.catalog.len(), self.catalog.up());
        let held = if self.is_truncated { self.held.len() } else { listed };
        SubsetStats { listed, up, held, left_out: self.catalog.left_out, joined: self.joined }
    }

    fn fits(&self, lines: usize) -> bool {
        self.size == 0 || lines <= self.size
    }

    /// From here on what the decisions know is counted line by line.
    fn hold_all(&mut self) {
        if !self.is_truncated {
            self.held = self.catalog.lines().map(|line| (line.entry.backend, line.clone())).collect();
        }
    }

    /// Draws the subset from the list as it is now; the news is what differs from what is held.
    fn redraw(&mut self, old: Option<Catalog>) -> ListUpdate {
        self.is_truncated = !self.fits(self.catalog.len());
        let chosen = self.catalog.draw(self.size, self.slot);
        let mut lines = Vec::new();
        let mut leaving = 0;
        self.held.retain(|id, line| {
            let Some(now) = self.catalog.get(*id) else {
                lines.push(line.gone());
                return false;
            };
            // Who drains has work of ours perhaps, and operators look for it; but it must not pile up.
            leaving += usize::from(now.entry.health != Health::Up);
            let stays = chosen.contains_key(id) || now.entry.health != Health::Up && leaving <= self.size;
            if !stays {
                lines.push(now.gone());
            } else if now != line {
                lines.push(now.clone());
                *line = now.clone();
            }
            stays
        });
        for (id, line) in chosen {
            if let btree_map::Entry::Vacant(place) = self.held.entry(id) {
                lines.push(line.clone());
                place.insert(line.clone());
                self.joined += 1;
            }
        }
        if !self.is_truncated {
            self.held.clear();
        }
        ListUpdate { kind: ListKind::Changes, lines, previous: old }
    }
}
