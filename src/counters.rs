//! Counters for the log and for operators: requests, what stopped them, and how attempts ended.

use crate::interface::Outcome;
use std::fmt;

/// Least time between two log lines of the counters, in milliseconds.
const LOG_INTERVAL_MS: f64 = 2000.0;

/// What stopped a request before an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopReason {
    /// The admission level.
    Level,
    /// This node's allowance of requests in flight.
    Room,
    /// No backend was usable.
    NoBackend,
}

/// Refused requests by reason, counted since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RefusalCounts {
    /// Requests refused because something stopped them, in the order of [`StopReason`].
    pub stopped: [u64; 3],
    /// Requests refused for other reasons: too little time was left, there were no tokens for another attempt, or the
    /// request was worth nothing.
    pub given_up: u64,
}

/// Counters since the last log line.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AdmissionCounters {
    /// Time of the last log line.
    since: f64,
    /// Requests that arrived.
    pub requests: u32,
    /// Requests and further attempts that were stopped, in the order of [`StopReason`].
    pub stopped: [u32; 3],
    /// Ended attempts, in the order of [`Outcome::ALL`].
    pub ended: [u32; Outcome::COUNT],
    /// What stopped the request that is being handled.
    last_stop: Option<StopReason>,
    refusals: RefusalCounts,
}

impl AdmissionCounters {
    /// Counts a request that arrived.
    pub(crate) fn count_request(&mut self) {
        self.requests = self.requests.saturating_add(1);
        self.last_stop = None;
    }

    /// Counts a request, or its next attempt, that was stopped.
    pub(crate) fn count_stop(&mut self, reason: StopReason) {
        let count = &mut self.stopped[reason as usize];
        *count = count.saturating_add(1);
        self.last_stop = Some(reason);
    }

    /// Counts the refusal of the request that is being handled, by what stopped it last.
    pub(crate) fn count_refusal(&mut self) {
        match self.last_stop.take() {
            Some(reason) => self.refusals.stopped[reason as usize] += 1,
            None => self.refusals.given_up += 1,
        }
    }

    /// Counts an attempt that ended.
    pub(crate) fn count_attempt_end(&mut self, outcome: Outcome) {
        let count = &mut self.ended[outcome as usize];
        *count = count.saturating_add(1);
        self.last_stop = None;
    }

    /// Returns the refused requests since the start.
    pub(crate) fn refusals(&self) -> RefusalCounts {
        self.refusals
    }

    /// Returns the counters for a log line at `now` and resets them. Returns `None` if nothing was stopped, or soon
    /// after the last line.
    pub(crate) fn take(&mut self, now: f64) -> Option<AdmissionCounters> {
        let due = now - self.since >= LOG_INTERVAL_MS && self.stopped != [0; 3];
        let reset =
            AdmissionCounters { since: now, refusals: self.refusals, ..AdmissionCounters::default() };
        due.then(|| std::mem::replace(self, reset))
    }
}

impl fmt::Display for AdmissionCounters {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [level, room, backend] = self.stopped;
        write!(f, "asked {}, stopped by level {level}, room {room}, ", self.requests)?;
        write!(f, "no usable backend {backend}; attempts ended")?;
        for (count, outcome) in self.ended.iter().zip(Outcome::ALL).filter(|(count, _)| **count > 0) {
            write!(f, " {outcome:?} {count}")?;
        }
        Ok(())
    }
}

/// Load of the fleet as one node sees it, logged with its counters.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadSnapshot {
    /// Part of the offered work that is admitted, 0 to 1.
    pub level: f64,
    /// Strain: share of recent outcomes that were late or failed, 0 to 1.
    pub strain: f64,
    /// Pressure: mean load that backends report, 0 to 1.
    pub pressure: f64,
    /// Factor on the first estimate of the requests that this node may have in flight.
    pub in_flight_allowance: f64,
    /// Tokens for spills.
    pub spill_tokens: f64,
    /// Backends that are congested.
    pub congested: usize,
    /// Backends that are at their cap.
    pub capped: usize,
    /// Attempts in flight whose answer has not begun.
    pub in_flight: u32,
}

impl fmt::Display for LoadSnapshot {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let LoadSnapshot {
            level,
            strain,
            pressure,
            in_flight_allowance,
            spill_tokens,
            congested,
            capped,
            in_flight,
        } = self;
        write!(
            f,
            "level {level:.2} strain {strain:.2} pressure {pressure:.2} room {in_flight_allowance:.2} "
        )?;
        write!(
            f,
            "spill {spill_tokens:.1}; backends out {congested}, at cap {capped}, in flight {in_flight}"
        )
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_log_line_names_what_stopped_requests_and_resets_the_counters() {
        let mut counters = AdmissionCounters::default();
        counters.count_request();
        counters.count_attempt_end(Outcome::Reset);
        assert!(counters.take(LOG_INTERVAL_MS).is_none(), "nothing was stopped");
        counters.count_stop(StopReason::Room);
        assert!(counters.take(LOG_INTERVAL_MS - 1.0).is_none(), "too soon");
        let text = counters.take(LOG_INTERVAL_MS).map(|t| t.to_string());
        let expected = "asked 1, stopped by level 0, room 1, no usable backend 0; attempts ended Reset 1";
        assert_eq!(text.as_deref(), Some(expected));
        counters.count_stop(StopReason::Level);
        assert!(counters.take(LOG_INTERVAL_MS + 1.0).is_none(), "too soon after the last line");
    }

    #[test]
    fn refusals_are_counted_by_reason_and_are_not_reset_by_a_log_line() {
        let mut counters = AdmissionCounters::default();
        counters.count_request();
        counters.count_stop(StopReason::Level);
        counters.count_refusal();
        counters.count_request();
        counters.count_attempt_end(Outcome::TimedOut);
        counters.count_refusal();
        assert!(counters.take(LOG_INTERVAL_MS).is_some());
        assert_eq!(counters.refusals(), RefusalCounts { stopped: [1, 0, 0], given_up: 1 });
    }

    #[test]
    fn each_outcome_is_the_index_of_its_count() {
        for (n, outcome) in Outcome::ALL.into_iter().enumerate() {
            assert_eq!(outcome as usize, n);
        }
    }
}
