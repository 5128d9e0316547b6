//! Which backends of a long list this node works with: deterministic subsetting. The whole list is kept here, small and
//! in the order of a ring for each zone; what the decisions hear of is a subset of bounded size, told by ordinary list
//! events, so that what a request, a tick or a change costs does not grow with the fleet. It knows no request.
//!
//! A list of at most so many lines is handed on as it came. Of a longer one each node takes, zone by zone, the next
//! backends that are up on the ring from a place of its own. The places follow from the node's number and lie evenly,
//! whichever nodes stand in a zone, so that each backend is held by about as many nodes as any other; a backend that
//! goes or comes changes the subsets of those nodes alone. Where crossing zones has a price, half of the subset lies
//! in the own zone. `docs/design.md` tells why, and what else was weighed.

use crate::interface::{BackendId, Entry, Health, ListKind, Settings};
use crate::measure::mix;
use std::collections::{BTreeMap, HashMap, btree_map};
use std::net::SocketAddr;
use std::sync::Arc;

/// Lines that are kept at most; who is up beyond them is left out, and counted.
pub const MOST_LINES: usize = 131_072;
/// Steps of the places of nodes on a ring, and of the offsets at which zones' parts are rounded: multiples of numbers
/// whose parts below one lie evenly, also those of each third or twelfth of them.
const RING_STEP: u64 = 0x9e37_79b9_7f4a_7c15;
const ROUND_STEP: u64 = 0x6a09_e667_f3bc_c909;

/// One line of discovery's list.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// What the decisions need.
    pub entry: Entry,
    /// Where it listens; one that was removed need not say.
    pub address: Option<SocketAddr>,
    /// What operators call it.
    pub uid: Arc<str>,
}

/// Backends of one zone, by their place on its ring.
#[derive(Debug, Default)]
struct Ring {
    lines: BTreeMap<u64, Target>,
    up: usize,
}

/// A whole list.
#[derive(Debug, Default)]
pub struct Catalog {
    rings: BTreeMap<u16, Ring>,
    zone_of: HashMap<BackendId, u16>,
    /// Lines that had no place since the last whole list.
    left_out: usize,
}

impl Catalog {
    /// The list of these lines; of two lines of one backend the later holds.
    pub fn of(lines: impl IntoIterator<Item = Target>) -> Catalog {
        let mut catalog = Catalog::default();
        lines.into_iter().for_each(|line| catalog.note(line));
        catalog
    }

    /// Takes one line.
    fn note(&mut self, line: Target) {
        let id = line.entry.backend;
        let (zone, up) = (line.entry.zone, line.entry.health == Health::Up);
        match self.zone_of.get(&id) {
            Some(known) if *known != zone || line.entry.health == Health::Gone => self.forget(id),
            Some(_) => {}
            None if line.entry.health == Health::Gone => return,
            None if self.zone_of.len() >= MOST_LINES => {
                self.left_out += 1;
                return;
            }
            None => {}
        }
        if line.entry.health == Health::Gone {
            return;
        }
        let ring = self.rings.entry(zone).or_default();
        let before = ring.lines.insert(mix(id.0), line);
        ring.up += usize::from(up);
        ring.up -= usize::from(before.is_some_and(|b| b.entry.health == Health::Up));
        self.zone_of.insert(id, zone);
    }

    fn forget(&mut self, id: BackendId) {
        let Some(zone) = self.zone_of.remove(&id) else { return };
        let Some(ring) = self.rings.get_mut(&zone) else { return };
        let before = ring.lines.remove(&mix(id.0));
        ring.up -= usize::from(before.is_some_and(|b| b.entry.health == Health::Up));
        if ring.lines.is_empty() {
            self.rings.remove(&zone);
        }
    }

    /// Its lines.
    pub fn len(&self) -> usize {
        self.zone_of.len()
    }

    /// It has none.
    pub fn is_empty(&self) -> bool {
        self.zone_of.is_empty()
    }

    /// Backends that are up.
    pub fn up(&self) -> usize {
        self.rings.values().map(|r| r.up).sum()
    }

    /// A backend's line.
    pub fn get(&self, id: BackendId) -> Option<&Target> {
        self.rings.get(self.zone_of.get(&id)?)?.lines.get(&mix(id.0))
    }

    fn lines(&self) -> impl Iterator<Item = &Target> {
        self.rings.values().flat_map(|r| r.lines.values())
    }
}

impl Ring {
    /// Its lines from a place on, once around.
    fn from(&self, at: u64) -> impl Iterator<Item = &Target> {
        self.lines.range(at..).chain(self.lines.range(..at)).map(|(_, line)| line)
    }
}

impl Catalog {
    /// The backends that this node works with: all, or those next on each zone's ring.
    fn draw(&self, size: usize, slot: u32, home: Option<u16>) -> BTreeMap<BackendId, &Target> {
        fn with_id(line: &Target) -> (BackendId, &Target) {
            (line.entry.backend, line)
        }
        if size == 0 || self.len() <= size {
            return self.lines().map(with_id).collect();
        }
        let at = u64::from(slot).wrapping_mul(RING_STEP);
        let up = |line: &&Target| line.entry.health == Health::Up;
        let mut chosen: BTreeMap<BackendId, &Target> = (self.parts(size, slot, home).into_iter())
            .flat_map(|(ring, part)| ring.from(at).filter(up).take(part))
            .map(with_id)
            .collect();
        if chosen.is_empty() {
            // Nobody is up. That there is a list, and who drains, is to be seen all the same.
            chosen = self.lines().take(size).map(with_id).collect();
        }
        chosen
    }

    /// How many each zone gives: half are of the home zone, where it has so many, the others by what the zones have.
    fn parts(&self, size: usize, slot: u32, home: Option<u16>) -> Vec<(&Ring, usize)> {
        let up = self.up();
        let room = size.min(up);
        let home_up = home.and_then(|zone| self.rings.get(&zone)).map_or(0, |ring| ring.up);
        let others_up = up - home_up;
        // What the others do not have is the home zone's too.
        let home_part = home_up.min((size / 2).max(room.saturating_sub(others_up)));
        let room = room - home_part;
        // Cumulated and rounded with an offset of this node's own: over all nodes each zone gets its exact part.
        let offset = u64::from(slot).wrapping_mul(ROUND_STEP) as f64 / 2.0_f64.powi(64);
        let mut seen = 0;
        let mut place = |ring: &Ring| {
            let until =
                |seen: usize| (room as f64 * seen as f64 / others_up.max(1) as f64 + offset).floor();
            let before = until(seen);
            seen += ring.up;
            (until(seen) - before) as usize
        };
        (self.rings.iter())
            .map(|(zone, ring)| {
                let part = if Some(*zone) == home { home_part } else { place(ring) };
                (ring, part)
            })
            .collect()
    }
}

/// How the subset stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Figures {
    /// Lines of the list, and those of them that are up.
    pub listed: usize,
    /// See above.
    pub up: usize,
    /// Backends that the decisions know of.
    pub held: usize,
    /// Lines beyond [`MOST_LINES`] since the last whole list.
    pub left_out: usize,
    /// Backends that came into the subset since the start.
    pub joined: u64,
}

/// What the decisions are to be told.
#[derive(Debug)]
pub struct News {
    /// What kind of news it is.
    pub kind: ListKind,
    /// The lines.
    pub lines: Vec<Target>,
    /// The list that was known before, where a whole one has taken its place: long to drop.
    pub old: Option<Catalog>,
}

/// The list, and the part of it that this node works with.
#[derive(Debug)]
pub struct Subset {
    /// Backends in a subset; 0 for all of any list.
    size: usize,
    slot: u32,
    /// This node's zone, where crossing has a price.
    home: Option<u16>,
    catalog: Catalog,
    /// The list is longer than a subset.
    wide: bool,
    /// What the decisions were told, where it is.
    held: BTreeMap<BackendId, Target>,
    joined: u64,
}

impl Subset {
    /// No list is known yet. `size`: backends in a subset, 0 for all of any list.
    pub fn new(size: usize, settings: &Settings) -> Subset {
        let mut subset = Subset {
            size,
            slot: 0,
            home: None,
            catalog: Catalog::default(),
            wide: false,
            held: BTreeMap::new(),
            joined: 0,
        };
        subset.retune(settings);
        subset
    }

    /// Takes new settings. True: the subset has to be drawn anew, by news without lines.
    pub fn retune(&mut self, settings: &Settings) -> bool {
        let before = (self.slot, self.home);
        self.slot = settings.slot;
        self.home = settings.zone.filter(|_| settings.prices.cross_zone > 0.0);
        self.wide && before != (self.slot, self.home)
    }

    /// Takes news of the list and says what the decisions are to hear of it.
    pub fn take(&mut self, kind: ListKind, lines: Vec<Target>) -> News {
        match kind {
            ListKind::Failed => News { kind, lines, old: None },
            ListKind::Full | ListKind::Saved if self.fits(lines.len()) && !self.wide => {
                self.catalog = Catalog::of(lines.iter().cloned());
                News { kind, lines, old: None }
            }
            ListKind::Full | ListKind::Saved => self.take_whole(kind, Catalog::of(lines)),
            ListKind::Changes if !self.wide && self.fits(self.catalog.len() + lines.len()) => {
                lines.iter().cloned().for_each(|line| self.catalog.note(line));
                News { kind, lines, old: None }
            }
            ListKind::Changes => {
                self.hold_all();
                lines.into_iter().for_each(|line| self.catalog.note(line));
                self.redraw(None)
            }
        }
    }

    /// The same of a whole list that was put together elsewhere, so that nobody waits for it.
    pub fn take_whole(&mut self, kind: ListKind, catalog: Catalog) -> News {
        if !self.wide && self.fits(catalog.len()) {
            self.catalog = catalog;
            return News { kind, lines: self.catalog.lines().cloned().collect(), old: None };
        }
        self.hold_all();
        let old = std::mem::replace(&mut self.catalog, catalog);
        self.redraw(Some(old))
    }

    /// How many nodes hold a backend, of so many; none where that is all.
    pub fn held_by(&self, instances: u32) -> Option<u32> {
        let up = self.catalog.up();
        let part = self.size as f64 / up as f64;
        let holders = f64::from(instances) * part;
        (self.wide && up > self.size).then(|| (holders.round() as u32).clamp(1, instances.max(1)))
    }

    /// A backend is listed, held or not.
    pub fn knows(&self, id: BackendId) -> bool {
        self.catalog.get(id).is_some()
    }

    /// The list is longer than a subset.
    pub fn wide(&self) -> bool {
        self.wide
    }

    /// How it stands.
    pub fn figures(&self) -> Figures {
        let (listed, up) = (self.catalog.len(), self.catalog.up());
        let held = if self.wide { self.held.len() } else { listed };
        Figures { listed, up, held, left_out: self.catalog.left_out, joined: self.joined }
    }

    fn fits(&self, lines: usize) -> bool {
        self.size == 0 || lines <= self.size
    }

    /// From here on what the decisions know is counted line by line.
    fn hold_all(&mut self) {
        if !self.wide {
            self.held = self.catalog.lines().map(|line| (line.entry.backend, line.clone())).collect();
        }
    }

    /// Draws the subset from the list as it is now; the news is what differs from what is held.
    fn redraw(&mut self, old: Option<Catalog>) -> News {
        self.wide = !self.fits(self.catalog.len());
        let chosen = self.catalog.draw(self.size, self.slot, self.home);
        let mut lines = Vec::new();
        let mut leaving = 0;
        self.held.retain(|id, line| {
            let gone = |line: &Target| {
                let entry = Entry { health: Health::Gone, ..line.entry };
                Target { entry, address: None, uid: line.uid.clone() }
            };
            let Some(now) = self.catalog.get(*id) else {
                lines.push(gone(line));
                return false;
            };
            // Who drains has work of ours perhaps, and operators look for it; but it must not pile up.
            leaving += usize::from(now.entry.health != Health::Up);
            let stays = chosen.contains_key(id) || now.entry.health != Health::Up && leaving <= self.size;
            if !stays {
                lines.push(gone(now));
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
        if !self.wide {
            self.held.clear();
        }
        News { kind: ListKind::Changes, lines, old }
    }
}
