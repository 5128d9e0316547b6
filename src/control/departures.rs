//! Backends that departed according to a late response of discovery. They stay excluded until the response to
//! a later call says otherwise.
//!
//! Responses may be read in another order than they were written in: a response that still lists a backend as
//! up may be read after the one that reports the departure. A call made after the departure was read is
//! answered after the departure was written, so its response decides; the response to an earlier call is no
//! evidence against the departure. Calls are identified only by their position in the order of all calls.

use super::subset::{Catalog, Target};
use crate::interface::{BackendId, Health};
use std::collections::BTreeMap;

/// One backend's departure.
#[derive(Clone, Copy, Debug)]
struct Departure {
    /// Start time of the instance that departed, in milliseconds; a later instance has not departed.
    ready_at_ms: f64,
    /// Latest call that had been made when the departure was read.
    last_call: u64,
}

/// The departed backends.
#[derive(Debug, Default)]
pub struct Departures {
    departed: BTreeMap<BackendId, Departure>,
}

impl Departures {
    /// Records that these backends departed. `last_call` is the latest call that has been made.
    pub fn record(&mut self, lines: &[Target], last_call: u64) {
        for Target { entry, .. } in lines {
            self.departed.insert(entry.backend, Departure { ready_at_ms: entry.ready_at_ms, last_call });
        }
    }

    /// Excludes departed backends from the response to `call`: marks a backend as draining if its departure
    /// was read after the call was made. Returns true if the response listed such a backend as up.
    pub fn exclude_departed(&mut self, call: u64, lines: &mut [Target]) -> bool {
        let mut excluded_any = false;
        for line in lines {
            if self.is_departed(call, line) {
                line.entry.health = Health::Draining;
                excluded_any = true;
            }
        }
        self.remove_outdated(call);
        excluded_any
    }

    /// Does the same in a long full list.
    pub fn exclude_departed_from(&mut self, call: u64, catalog: &mut Catalog) -> bool {
        let departed: Vec<Target> = (self.departed.keys())
            .filter_map(|id| catalog.get(*id))
            .filter(|line| self.is_departed(call, line))
            .cloned()
            .collect();
        let excluded_any = !departed.is_empty();
        for mut line in departed {
            line.entry.health = Health::Draining;
            catalog.insert(line);
        }
        self.remove_outdated(call);
        excluded_any
    }

    fn is_departed(&self, call: u64, line: &Target) -> bool {
        let departure = self.departed.get(&line.entry.backend);
        line.entry.health == Health::Up
            && departure.is_some_and(|departure| {
                call <= departure.last_call && line.entry.ready_at_ms <= departure.ready_at_ms
            })
    }

    /// Removes the departures that were read before `call` was made: once its response has been applied, the
    /// response to an earlier call is no longer applied in full.
    fn remove_outdated(&mut self, call: u64) {
        self.departed.retain(|_, departure| call <= departure.last_call);
    }
}
