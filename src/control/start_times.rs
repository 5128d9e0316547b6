//! Starts of backends, which discovery tells in wall time, on this node's own clock.
//!
//! The node's clock goes on from the wall clock of its machine at its own start and is monotonic from there. That wall clock may
//! be wrong, by seconds or by an hour, and nobody tells the node. Two things are known all the same: no start lies in the future,
//! and a start that was not listed when discovery was last heard is hardly older than that. A start that contradicts either is
//! moved as far as it takes. One that was listed from the first is taken as told.

use crate::interface::BackendId;
use std::collections::BTreeMap;

/// So much later than a backend starts it may be listed, in milliseconds: lists come late, and a start is told once the backend
/// serves.
pub const LISTED_AFTER_MS: f64 = 5000.0;

/// Starts that are remembered; beyond that only those of listed backends are.
const MOST_STARTS: usize = 4096;

/// A start as it was told, and on the node's clock.
#[derive(Clone, Copy, Debug)]
struct Start {
    told_ms: f64,
    own_ms: f64,
}

/// The starts that are known.
#[derive(Debug, Default)]
pub struct StartTimes {
    starts: BTreeMap<BackendId, Start>,
    heard_ms: Option<f64>,
}

impl StartTimes {
    /// A backend is listed with this start, by an answer that was heard at `now`; 0 is a start of long ago.
    pub fn record(&mut self, now: f64, backend: BackendId, told_ms: f64) {
        if told_ms <= 0.0 || self.starts.get(&backend).is_some_and(|start| start.told_ms == told_ms) {
            return;
        }
        let earliest = self.heard_ms.map_or(f64::NEG_INFINITY, |heard| heard - LISTED_AFTER_MS);
        let own_ms = told_ms.max(earliest).min(now);
        self.starts.insert(backend, Start { told_ms, own_ms });
    }

    /// All of an answer was noted. What is listed from here on and was not before began about now, at the earliest.
    pub fn list_received(&mut self, now: f64) {
        self.heard_ms = Some(now);
    }

    /// A start on the node's clock.
    pub fn local_start_ms(&mut self, now: f64, backend: BackendId, told_ms: f64) -> f64 {
        match self.starts.get(&backend).filter(|start| start.told_ms == told_ms) {
            Some(start) => start.own_ms,
            None if told_ms > now => {
                self.starts.insert(backend, Start { told_ms, own_ms: now });
                now
            }
            None => told_ms,
        }
    }

    /// Forgets those of backends that are not listed, if there are too many.
    pub fn trim(&mut self, listed: impl Fn(BackendId) -> bool) {
        if self.starts.len() > MOST_STARTS {
            self.starts.retain(|backend, _| listed(*backend));
        }
    }
}
