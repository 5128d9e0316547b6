//! Backends as this node knows them, requests that are open and their attempts: who was sent what, and what has come
//! back. It decides nothing.

use crate::interface::{Action, BackendId, Request};
use crate::policy::{ConcurrencyCap, FailureRecord};
use crate::statistics::Pressure;

/// One backend as this node knows it.
#[derive(Debug, Default)]
pub(crate) struct Backend {
    pub(crate) id: BackendId,
    pub(crate) zone: u16,
    pub(crate) cell: u32,
    pub(crate) units: f64,
    /// Listed and up; sends elsewhere are against the drain rule.
    pub(crate) up: bool,
    /// Until when idle connections are closed again at each tick: one whose handshake was under way at the
    /// notice, or at the last outcome, turns idle later. 0 where nothing is to be closed.
    pub(crate) closing_until: f64,
    pub(crate) in_flight: u32,
    /// Start of its cold time, by the list or by its silence.
    pub(crate) cold_since: f64,
    /// Work that the cold budget allowed at the last tick, less what was sent since, in mean requests.
    pub(crate) cold_tokens: f64,
    pub(crate) failure_record: FailureRecord,
    pub(crate) cap: ConcurrencyCap,
    pub(crate) pressure: Pressure,
}

/// An attempt that was sent.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) backend: BackendId,
    pub(crate) zone: u16,
    pub(crate) cell: u32,
    pub(crate) sent_at: f64,
    pub(crate) timeout_ms: f64,
    pub(crate) in_flight: bool,
    /// Its answer is being passed on.
    pub(crate) response_started: bool,
    pub(crate) never_ran: bool,
    pub(crate) is_trial: bool,
}

impl Attempt {
    /// One that has just been sent, to nobody yet.
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

/// A request that is not over.
#[derive(Debug)]
pub(crate) struct OpenRequest {
    pub(crate) request: Request,
    pub(crate) arrived_at: f64,
    pub(crate) aim_at: f64,
    pub(crate) worth: f64,
    pub(crate) finished: bool,
    pub(crate) attempts: Vec<Attempt>,
}

impl OpenRequest {
    /// An attempt of it has not ended.
    pub(crate) fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(|a| a.in_flight)
    }

    /// Calls off the attempts that are out and that `which` is true of.
    pub(crate) fn cancel_attempts(&self, which: impl Fn(&Attempt) -> bool) -> impl Iterator<Item = Action> {
        let id = self.request.id;
        let attempts = self.attempts.iter().enumerate().filter(move |(_, a)| a.in_flight && which(a));
        attempts.map(move |(n, _)| Action::Cancel { id, attempt: n as u32 })
    }

    /// The first attempt that may have run.
    pub(crate) fn may_have_run(&self) -> Option<&Attempt> {
        self.may_have_run_except(usize::MAX)
    }

    /// The same of all attempts but one.
    pub(crate) fn may_have_run_except(&self, attempt: usize) -> Option<&Attempt> {
        let others = self.attempts.iter().enumerate().filter(|(n, _)| *n != attempt);
        others.map(|(_, a)| a).find(|a| !a.never_ran)
    }
}
