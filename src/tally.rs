//! Counts for whoever is on call: what was asked, what refused it, and how attempts ended. Decides nothing.

use crate::interface::Outcome;
use std::fmt;

/// Least time between two lines, in milliseconds.
const SPAN_MS: f64 = 2000.0;

/// What stopped a request before an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stop {
    /// Admission's level.
    Level,
    /// More in flight than this node has room for.
    Room,
    /// No backend is usable.
    NoBackend,
}

/// Why requests were refused, counted since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Refusals {
    /// By what stopped them, in the order of [`Stop`].
    pub stopped: [u64; 3],
    /// Given up on for other reasons: no time was left, or nothing for another attempt, or it is worth nothing.
    pub given_up: u64,
}

/// Counts since the last line.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Tally {
    since: f64,
    /// Requests that came.
    pub asked: u32,
    /// Requests and further attempts that were stopped, in the order of [`Stop`].
    pub stopped: [u32; 3],
    /// Ends of attempts, in the order of [`Outcome::ALL`].
    pub ended: [u32; Outcome::COUNT],
    /// What stopped the request that is looked at.
    last: Option<Stop>,
    refusals: Refusals,
}

impl Tally {
    /// A request came.
    pub(crate) fn ask(&mut self) {
        self.asked = self.asked.saturating_add(1);
        self.last = None;
    }

    /// A request, or its next attempt, was stopped.
    pub(crate) fn stop(&mut self, by: Stop) {
        let count = &mut self.stopped[by as usize];
        *count = count.saturating_add(1);
        self.last = Some(by);
    }

    /// It was refused, by what last stopped it.
    pub(crate) fn refuse(&mut self) {
        match self.last.take() {
            Some(by) => self.refusals.stopped[by as usize] += 1,
            None => self.refusals.given_up += 1,
        }
    }

    /// An attempt ended.
    pub(crate) fn end(&mut self, outcome: Outcome) {
        let count = &mut self.ended[outcome as usize];
        *count = count.saturating_add(1);
        self.last = None;
    }

    /// Why requests were refused.
    pub(crate) fn refusals(&self) -> Refusals {
        self.refusals
    }

    /// The counts, to be told at `now` and begun anew: none while nothing was stopped, nor soon after others.
    pub(crate) fn take(&mut self, now: f64) -> Option<Tally> {
        let due = now - self.since >= SPAN_MS && self.stopped != [0; 3];
        let fresh = Tally { since: now, refusals: self.refusals, ..Tally::default() };
        due.then(|| std::mem::replace(self, fresh))
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

/// How the fleet looks to a node that tells its counts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Look {
    /// Part of the offered work that admission lets in.
    pub level: f64,
    /// Share of strain in recent outcomes.
    pub strain: f64,
    /// Mean pressure that answers report.
    pub pressure: f64,
    /// How much more than the first estimate this node may have in flight.
    pub room: f64,
    /// Budget of spills.
    pub spill: f64,
    /// Backends that are congested.
    pub out: usize,
    /// Backends that are at their cap.
    pub capped: usize,
    /// Attempts that are out and not answered yet.
    pub in_flight: u32,
}

impl fmt::Display for Look {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Look { level, strain, pressure, room, spill, out, capped, in_flight } = self;
        write!(f, "level {level:.2} strain {strain:.2} pressure {pressure:.2} room {room:.2} ")?;
        write!(f, "spill {spill:.1}; backends out {out}, at cap {capped}, in flight {in_flight}")
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
    fn a_refusal_counts_for_what_stopped_it_and_outlives_the_line() {
        let mut tally = Tally::default();
        tally.ask();
        tally.stop(Stop::Level);
        tally.refuse();
        tally.ask();
        tally.end(Outcome::TimedOut);
        tally.refuse();
        assert!(tally.take(SPAN_MS).is_some());
        assert_eq!(tally.refusals(), Refusals { stopped: [1, 0, 0], given_up: 1 });
    }

    #[test]
    fn every_outcome_has_its_count() {
        for (n, outcome) in Outcome::ALL.into_iter().enumerate() {
            assert_eq!(outcome as usize, n);
        }
    }
}
