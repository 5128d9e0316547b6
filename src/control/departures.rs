//! Backends that left by an answer of discovery which was read late: they stay out until an answer says otherwise that was
//! asked for later.
//!
//! Answers may be read in another order than they were written in: one that still lists a backend as up may follow the one by
//! which it leaves. A call that was made after a departure was read is answered after the departure was written; what answers
//! an earlier call says nothing against it. It knows no call but by its place in the order of all calls.

use super::subset::{Catalog, Target};
use crate::interface::{BackendId, Health};
use std::collections::BTreeMap;

/// How a backend left.
#[derive(Clone, Copy, Debug)]
struct Departure {
    /// The start of the backend that left; a later one has not.
    ready_at_ms: f64,
    /// The last call that had been made when that was read.
    last_call: u64,
}

/// The backends that left.
#[derive(Debug, Default)]
pub struct Departures {
    left: BTreeMap<BackendId, Departure>,
}

impl Departures {
    /// These backends leave; `last_call` is the last call that has been made.
    pub fn record(&mut self, lines: &[Target], last_call: u64) {
        for Target { entry, .. } in lines {
            self.left.insert(entry.backend, Departure { ready_at_ms: entry.ready_at_ms, last_call });
        }
    }

    /// Keeps out of an answer to the call of that place whoever has left since the call was made. True: there was one whom it
    /// lists as up.
    pub fn exclude_departed(&mut self, call: u64, lines: &mut [Target]) -> bool {
        let mut kept_out = false;
        for line in lines {
            if self.is_out(call, line) {
                line.entry.health = Health::Draining;
                kept_out = true;
            }
        }
        self.settle(call);
        kept_out
    }

    /// The same of a long whole list.
    pub fn exclude_departed_from(&mut self, call: u64, catalog: &mut Catalog) -> bool {
        let out: Vec<Target> = (self.left.keys())
            .filter_map(|id| catalog.get(*id))
            .filter(|line| self.is_out(call, line))
            .cloned()
            .collect();
        let kept_out = !out.is_empty();
        for mut line in out {
            line.entry.health = Health::Draining;
            catalog.insert(line);
        }
        self.settle(call);
        kept_out
    }

    fn is_out(&self, call: u64, line: &Target) -> bool {
        let departure = self.left.get(&line.entry.backend);
        line.entry.health == Health::Up
            && departure
                .is_some_and(|left| call <= left.last_call && line.entry.ready_at_ms <= left.ready_at_ms)
    }

    /// Nothing that answers an earlier call holds any more once a later one's answer was taken.
    fn settle(&mut self, call: u64) {
        self.left.retain(|_, left| call <= left.last_call);
    }
}
