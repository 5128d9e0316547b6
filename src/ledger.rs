//! Requests that are open and their attempts: who was sent what, and what has come back. It decides nothing.

use crate::interface::{BackendId, Request};

/// An attempt that was sent.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) backend: BackendId,
    pub(crate) zone: u16,
    pub(crate) cell: u32,
    pub(crate) sent: f64,
    pub(crate) timeout: f64,
    pub(crate) out: bool,
    /// Its answer is being passed on.
    pub(crate) begun: bool,
    pub(crate) never_ran: bool,
    pub(crate) trial: bool,
}

impl Attempt {
    /// One that has just been sent, to nobody yet.
    pub(crate) const OUT: Attempt = Attempt {
        backend: BackendId(0),
        zone: 0,
        cell: 0,
        sent: 0.0,
        timeout: 0.0,
        out: true,
        begun: false,
        never_ran: false,
        trial: false,
    };
}

/// A request that is not over.
#[derive(Debug)]
pub(crate) struct Open {
    pub(crate) request: Request,
    pub(crate) arrived: f64,
    pub(crate) aim_at: f64,
    pub(crate) worth: f64,
    pub(crate) finished: bool,
    pub(crate) attempts: Vec<Attempt>,
}

impl Open {
    /// An attempt of it has not ended.
    pub(crate) fn out(&self) -> bool {
        self.attempts.iter().any(|a| a.out)
    }

    /// The first attempt that may have run.
    pub(crate) fn may_have_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|a| !a.never_ran)
    }
}
