//! Start times of backends, which discovery reports in wall time, on this node's own clock.
//!
//! The node's clock starts from the wall clock of its machine and is monotonic from then on. That wall clock
//! may be wrong by seconds or by an hour, and the node is not told. Two facts hold anyway: no start lies in
//! the future, and a start that was not listed when discovery last responded is not much older than that
//! response. A start time that contradicts either fact is moved by as much as necessary. A start time in the
//! first list that is not in the future is taken as reported.

use crate::interface::BackendId;
use std::collections::BTreeMap;

/// Longest time between a backend's start and its first listing, in milliseconds: lists arrive late, and a
/// start is reported once the backend serves.
pub const LISTED_AFTER_MS: f64 = 5000.0;

/// Number of start times kept; beyond it only those of listed backends are.
const MAX_STARTS: usize = 4096;

/// A start time as discovery reported it, and on the node's clock.
#[derive(Clone, Copy, Debug)]
struct Start {
    reported_ms: f64,
    local_ms: f64,
}

/// The known start times.
#[derive(Debug, Default)]
pub struct StartTimes {
    starts: BTreeMap<BackendId, Start>,
    list_received_ms: Option<f64>,
}

impl StartTimes {
    /// Records that a backend is listed with this start time, in a response received at `now`. A start time
    /// of 0 means long ago.
    pub fn record(&mut self, now: f64, backend: BackendId, reported_ms: f64) {
        if reported_ms <= 0.0
            || self.starts.get(&backend).is_some_and(|start| start.reported_ms == reported_ms)
        {
            return;
        }
        let earliest =
            self.list_received_ms.map_or(f64::NEG_INFINITY, |received| received - LISTED_AFTER_MS);
        let local_ms = reported_ms.max(earliest).min(now);
        self.starts.insert(backend, Start { reported_ms, local_ms });
    }

    /// Records that all lines of a response have been recorded. A start that is listed for the first time in
    /// a later response was at most [`LISTED_AFTER_MS`] before `now`.
    pub fn list_received(&mut self, now: f64) {
        self.list_received_ms = Some(now);
    }

    /// Returns a start time on the node's clock, in milliseconds.
    pub fn local_start_ms(&mut self, now: f64, backend: BackendId, reported_ms: f64) -> f64 {
        match self.starts.get(&backend).filter(|start| start.reported_ms == reported_ms) {
            Some(start) => start.local_ms,
            None if reported_ms > now => {
                self.starts.insert(backend, Start { reported_ms, local_ms: now });
                now
            }
            None => reported_ms,
        }
    }

    /// Restores a start time that another process of this node has recorded.
    pub fn restore(&mut self, backend: BackendId, reported_ms: f64, local_ms: f64) {
        self.starts.insert(backend, Start { reported_ms, local_ms });
    }

    /// Returns the recorded start time of a backend on the node's clock, if it is of this reported start.
    pub fn recorded_start_ms(&self, backend: BackendId, reported_ms: f64) -> Option<f64> {
        let start = self.starts.get(&backend).filter(|start| start.reported_ms == reported_ms);
        start.map(|start| start.local_ms)
    }

    /// Forgets the start times of backends that are not listed if there are too many.
    pub fn trim(&mut self, is_listed: impl Fn(BackendId) -> bool) {
        if self.starts.len() > MAX_STARTS {
            self.starts.retain(|backend, _| is_listed(*backend));
        }
    }
}
