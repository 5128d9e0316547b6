//! Counts for whoever is on call: what was asked, what refused it, and how attempts ended. Decides nothing.

use crate::interface::Outcome;
use std::fmt;

/// Least time between two lines, in milliseconds.
const SPAN_MS: f64 = 2000.0;

/// What stopped a request before any attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Stop {
    /// Admission's level.
    Level,
    /// More in flight than this node has room for.
    Room,
    /// No backend is usable.
    NoBackend,
}

/// Counts since the last line.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Tally {
    since: f64,
    asked: u32,
    stopped: [u32; 3],
    ended: [u32; Outcome::COUNT],
}

impl Tally {
    /// A request came.
    pub(crate) fn ask(&mut self) {
        self.asked = self.asked.saturating_add(1);
    }

    /// A request, or its next attempt, was stopped.
    pub(crate) fn stop(&mut self, by: Stop) {
        let count = &mut self.stopped[by as usize];
        *count = count.saturating_add(1);
    }

    /// An attempt ended.
    pub(crate) fn end(&mut self, outcome: Outcome) {
        let count = &mut self.ended[outcome as usize];
        *count = count.saturating_add(1);
    }

    /// The counts, to be told at `now` and begun anew: none while nothing was stopped, nor soon after others.
    pub(crate) fn take(&mut self, now: f64) -> Option<Tally> {
        let due = now - self.since >= SPAN_MS && self.stopped != [0; 3];
        due.then(|| std::mem::replace(self, Tally { since: now, ..Tally::default() }))
    }
}

/// How the fleet looks to a node that tells its counts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Look {
    /// Admission's level, strain and room.
    pub(crate) level: f64,
    pub(crate) strain: f64,
    pub(crate) pressure: f64,
    pub(crate) room: f64,
    /// Budget of spills.
    pub(crate) spill: f64,
    /// Backends that are congested, and that are at their cap.
    pub(crate) out: usize,
    pub(crate) capped: usize,
    pub(crate) in_flight: u32,
}

impl Tally {
    /// The line for the log.
    pub(crate) fn line(&self, look: &Look) -> String {
        let Look { level, strain, pressure, room, spill, out, capped, in_flight } = look;
        format!(
            "{self}; level {level:.2} strain {strain:.2} pressure {pressure:.2} room {room:.2} spill {spill:.1}; \
             backends out {out}, at cap {capped}, in flight {in_flight}"
        )
    }
}

impl fmt::Display for Tally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [level, room, backend] = self.stopped;
        write!(f, "asked {}, stopped by level {level}, room {room}, ", self.asked)?;
        write!(f, "no usable backend {backend}; attempts ended")?;
        for (count, outcome) in self.ended.iter().zip(Outcome::ALL).filter(|(count, _)| **count > 0) {
            write!(f, " {outcome:?} {count}")?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_line_tells_what_stopped_requests_and_starts_the_counts_anew() {
        let mut tally = Tally::default();
        tally.ask();
        tally.end(Outcome::Reset);
        assert!(tally.take(SPAN_MS).is_none(), "nothing was stopped");
        tally.stop(Stop::Room);
        assert!(tally.take(SPAN_MS - 1.0).is_none(), "too soon");
        let text = tally.take(SPAN_MS).map(|t| t.to_string());
        let wanted = "asked 1, stopped by level 0, room 1, no usable backend 0; attempts ended Reset 1";
        assert_eq!(text.as_deref(), Some(wanted));
        tally.stop(Stop::Level);
        assert!(tally.take(SPAN_MS + 1.0).is_none(), "told a moment ago");
    }

    #[test]
    fn every_outcome_has_its_count() {
        for (n, outcome) in Outcome::ALL.into_iter().enumerate() {
            assert_eq!(outcome as usize, n);
        }
    }
}
