//! Backends as this node knows them, open requests and their attempts. The types hold state and decide nothing.

use crate::interface::{Action, BackendId, Request};
use crate::policy::{ConcurrencyCap, FailureRecord};
use crate::statistics::Pressure;

/// State of one backend at this node.
#[derive(Debug, Default)]
pub(crate) struct Backend {
    pub(crate) id: BackendId,
    pub(crate) zone: u16,
    pub(crate) cell: u32,
    /// Size relative to other backends.
    pub(crate) units: f64,
    /// True if the backend is listed and up. Sends to any other would break the drain rule.
    pub(crate) up: bool,
    /// End of the time in which idle connections are closed at each tick, 0 if none is to be closed. A connection
    /// that was being made at the notice, or was in use at the last outcome, becomes idle later.
    pub(crate) closing_until: f64,
    pub(crate) in_flight: u32,
    /// Start of the cold time: the start in the list, or the time of the answer that followed failed trials.
    pub(crate) cold_since: f64,
    /// Requests that the cold budget allowed at the last tick, less those sent since.
    pub(crate) cold_tokens: f64,
    pub(crate) failure_record: FailureRecord,
    pub(crate) cap: ConcurrencyCap,
    pub(crate) pressure: Pressure,
}

/// One attempt of a request at a backend.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) backend: BackendId,
    pub(crate) zone: u16,
    pub(crate) cell: u32,
    pub(crate) sent_at: f64,
    pub(crate) timeout_ms: f64,
    pub(crate) in_flight: bool,
    /// True if the answer has begun and is being passed on.
    pub(crate) response_started: bool,
    /// True if the outcome proves that the backend never ran the attempt.
    pub(crate) never_ran: bool,
    /// True if the attempt is the trial of a congested backend.
    pub(crate) is_trial: bool,
}

impl Attempt {
    /// Template of an attempt that has just been sent.
    pub(crate) const IN_FLIGHT: Attempt = Attempt {
        backend: BackendId(0),
        zone: 0,
        cell: 0,
        sent_at: 0.0,
        timeout_ms: 0.0,
        in_flight: true,
        response_started: false,
        never_ran: false,
        is_trial: false,
    };
}

/// A request that has no final answer, or still has an attempt in flight.
#[derive(Debug)]
pub(crate) struct OpenRequest {
    pub(crate) request: Request,
    pub(crate) arrived_at: f64,
    /// Time by which an answer earns full worth; infinite once the first bytes came in time.
    pub(crate) aim_at: f64,
    pub(crate) worth: f64,
    /// True if the request has its final answer or its client has left.
    pub(crate) finished: bool,
    /// Attempts in the order of their numbers.
    pub(crate) attempts: Vec<Attempt>,
}

impl OpenRequest {
    /// True if an attempt has not ended.
    pub(crate) fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|a| a.in_flight)
    }

    /// Returns the actions that cancel the attempts in flight for which `condition` is true. An attempt whose
    /// answer is being passed on is never cancelled: no other attempt can replace it.
    pub(crate) fn cancel_attempts(
        &self,
        condition: impl Fn(&Attempt) -> bool,
    ) -> impl Iterator<Item = Action> {
        let id = self.request.id;
        let is_waiting = |a: &Attempt| a.in_flight && !a.response_started;
        let attempts = self.attempts.iter().enumerate().filter(move |(_, a)| is_waiting(a) && condition(a));
        attempts.map(move |(n, _)| Action::Cancel { id, attempt: n as u32 })
    }

    /// Returns the first attempt that may have run.
    pub(crate) fn may_have_run(&self) -> Option<&Attempt> {
        self.may_have_run_except(usize::MAX)
    }

    /// Returns the first attempt that may have run, leaving out the one with the number `attempt`.
    pub(crate) fn may_have_run_except(&self, attempt: usize) -> Option<&Attempt> {
        let others = self.attempts.iter().enumerate().filter(|(n, _)| *n != attempt);
        others.map(|(_, a)| a).find(|a| !a.never_ran)
    }
}
