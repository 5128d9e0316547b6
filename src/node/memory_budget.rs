//! Account of the memory that clients and backends make this process hold: connections and their buffers,
//! request heads and bodies, responses and streamed transfers.
//!
//! The budget is derived from the node's memory limit. What is on the account already can grow a little
//! beyond it ([`MemoryCharge::resize`]), because data that has arrived cannot be refused before it is parsed;
//! everything else is reserved first, and waits or is refused beyond the budget.

use crate::socket::ReclaimFn;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Instant;
use tokio::sync::oneshot;

/// Memory of a process without clients: program, settings, backend list, learned state and log.
const PROCESS_BYTES: usize = 10 * 1024 * 1024;
/// Part of the remaining memory that may be charged; the allocator loses the rest to fragmentation.
const USABLE_EIGHTHS: usize = 7;
/// Lower limit of the budget, for memory limits that are too small to work within.
const MIN_BUDGET_BYTES: usize = 2 * 1024 * 1024;
/// Memory of an open connection with small messages: socket, HTTP state and its smallest buffers.
pub const CONNECTION_BYTES: usize = 20 * 1024;
/// Part of the budget that connections without anything else may use.
const CONNECTION_EIGHTHS: usize = 4;

/// What memory is reserved for. Each purpose may use the budget up to a mark of its own: what has been accepted
/// can be finished while nothing new is, and large requests leave room for small ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Purpose {
    /// Response of a backend, for a request that holds memory already.
    Response,
    /// Head and body of a small request.
    SmallRequest,
    /// Streamed transfer.
    Transfer,
    /// Head or body of a request that is not small.
    LargeRequest,
}

impl Purpose {
    /// All purposes, the most urgent first.
    const ALL: [Purpose; 4] =
        [Purpose::Response, Purpose::SmallRequest, Purpose::Transfer, Purpose::LargeRequest];

    /// Returns the part of the budget that may be in use after a reservation, in eighths.
    fn eighths(self) -> usize {
        match self {
            Purpose::Response => 8,
            Purpose::SmallRequest => 7,
            Purpose::Transfer => 6,
            Purpose::LargeRequest => 5,
        }
    }
}

/// Part of the budget for which large requests may wait; beyond that they are refused at once.
const QUEUE_EIGHTHS: usize = 1;

/// A reservation that waits for memory.
struct Waiter {
    bytes: usize,
    granted: oneshot::Sender<MemoryCharge>,
}

/// The account and its limit.
pub struct MemoryBudget {
    /// Memory limit of the node, in bytes.
    limit: usize,
    total: Cell<usize>,
    used: Cell<usize>,
    /// Reservations that wait, by purpose and in the order of their arrival.
    waiters: [RefCell<VecDeque<Waiter>>; Purpose::ALL.len()],
    reclaim: RefCell<Vec<ReclaimFn>>,
    refused: Cell<u64>,
}

/// Part of the node's memory that this process may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryShare {
    /// No other process of the node is running.
    All,
    /// A newer process is running.
    Older,
    /// Older processes are running, which have this many bytes of resident memory.
    Newer(usize),
}

/// Returns the budget of a process that may have this much memory.
fn budget_bytes(memory: usize) -> usize {
    let usable = memory.saturating_sub(PROCESS_BYTES) / 8 * USABLE_EIGHTHS;
    usable.max(MIN_BUDGET_BYTES)
}

/// Returns the budget of a process with this share of the memory limit.
fn shared_budget_bytes(limit: usize, share: MemoryShare, before: usize, used: usize) -> usize {
    let half = budget_bytes(limit / 2);
    match share {
        MemoryShare::All => budget_bytes(limit),
        // The allocator keeps what the process had, and requests on its connections must be answered.
        MemoryShare::Older => half.max(2 * used).min(before),
        MemoryShare::Newer(others) => half.min(budget_bytes(limit.saturating_sub(others))),
    }
}

impl MemoryBudget {
    /// Creates the account of a process with this memory limit in bytes.
    pub fn new(limit: usize) -> Rc<MemoryBudget> {
        Rc::new(MemoryBudget {
            limit,
            total: Cell::new(budget_bytes(limit)),
            used: Cell::new(0),
            waiters: Default::default(),
            reclaim: RefCell::default(),
            refused: Cell::new(0),
        })
    }

    /// Sets the budget to this share of the node's memory.
    pub fn set_share(self: &Rc<Self>, share: MemoryShare) {
        self.total.set(shared_budget_bytes(self.limit, share, self.total.get(), self.used.get()));
        self.grant_waiting();
    }

    /// Adds a way to free memory. Ways are tried in the order in which they were added.
    pub fn on_pressure(&self, reclaim: ReclaimFn) {
        self.reclaim.borrow_mut().push(reclaim);
    }

    /// Returns the memory limit of the node, in bytes.
    pub fn limit(&self) -> usize {
        self.limit
    }

    /// Returns the budget in bytes.
    pub fn total(&self) -> usize {
        self.total.get()
    }

    /// Returns the number of bytes on the account.
    pub fn used(&self) -> usize {
        self.used.get()
    }

    /// Returns the number of reservations that were refused since the start.
    pub fn refused(&self) -> u64 {
        self.refused.get()
    }

    /// Counts a request or connection that was refused for want of memory.
    pub fn count_refusal(&self) {
        self.refused.set(self.refused.get() + 1);
    }

    /// Returns the number of connections for which the budget suffices.
    pub fn max_connections(&self) -> usize {
        self.total.get() / 8 * CONNECTION_EIGHTHS / CONNECTION_BYTES
    }

    /// True if half of the budget is in use, so that buffers should not grow.
    pub fn is_tight(&self) -> bool {
        self.used.get() >= self.total.get() / 2
    }

    /// True if no large request is accepted, so that buffers must not grow.
    pub fn is_exhausted(&self) -> bool {
        !self.fits(Purpose::LargeRequest, 0)
    }

    /// True while a reservation waits for memory.
    pub fn is_contended(&self) -> bool {
        self.waiters.iter().any(|w| !w.borrow().is_empty())
    }

    /// True if `bytes` more may be reserved.
    fn fits(&self, purpose: Purpose, bytes: usize) -> bool {
        let mark = self.total.get() / 8 * purpose.eighths();
        self.used.get() + bytes <= mark
    }

    /// Puts bytes on the account without a limit.
    pub fn charge(self: &Rc<Self>, bytes: usize) -> MemoryCharge {
        self.used.set(self.used.get() + bytes);
        MemoryCharge { budget: self.clone(), bytes: Cell::new(bytes) }
    }

    /// Reserves memory if it is free now and nobody waits for it.
    pub fn try_reserve(self: &Rc<Self>, purpose: Purpose, bytes: usize) -> Option<MemoryCharge> {
        let is_free = self.waiters[purpose as usize].borrow().is_empty() && self.fits(purpose, bytes);
        is_free.then(|| self.charge(bytes))
    }

    /// Reserves memory, waiting for it until `until` at most.
    pub async fn reserve(
        self: &Rc<Self>,
        purpose: Purpose,
        bytes: usize,
        until: Instant,
    ) -> Option<MemoryCharge> {
        if let Some(charge) = self.try_reserve(purpose, bytes) {
            return Some(charge);
        }
        if purpose == Purpose::LargeRequest && !self.has_queue_space(bytes) {
            return None;
        }
        while !self.fits(purpose, bytes) && self.reclaim.borrow().iter().any(|reclaim| reclaim()) {}
        let (granted, mut grant) = oneshot::channel();
        self.waiters[purpose as usize].borrow_mut().push_back(Waiter { bytes, granted });
        self.grant_waiting();
        match tokio::time::timeout_at(until.into(), &mut grant).await {
            Ok(charge) => charge.ok(),
            // It may have been granted in the same moment.
            Err(_) => grant.try_recv().ok(),
        }
    }

    /// True if a large request may wait for `bytes`.
    fn has_queue_space(&self, bytes: usize) -> bool {
        let mut waiters = self.waiters[Purpose::LargeRequest as usize].borrow_mut();
        waiters.retain(|waiter| !waiter.granted.is_closed());
        let queued: usize = waiters.iter().map(|waiter| waiter.bytes).sum();
        queued + bytes <= self.total.get() / 8 * QUEUE_EIGHTHS
    }

    /// Grants the reservations for which there is memory now.
    fn grant_waiting(self: &Rc<Self>) {
        for purpose in Purpose::ALL {
            while let Some(Waiter { bytes, granted }) = self.next_fitting(purpose) {
                // Dropped by the channel if the waiter has given up.
                let _ = granted.send(self.charge(bytes));
            }
        }
    }

    /// Takes the first waiter for a purpose out of its queue if its reservation fits.
    fn next_fitting(&self, purpose: Purpose) -> Option<Waiter> {
        let mut waiters = self.waiters[purpose as usize].borrow_mut();
        while waiters.front().is_some_and(|first| first.granted.is_closed()) {
            waiters.pop_front();
        }
        let fits = waiters.front().is_some_and(|first| self.fits(purpose, first.bytes));
        if fits { waiters.pop_front() } else { None }
    }
}

/// Returns the resident memory of a process in bytes; `None` if the system does not provide it.
pub fn resident_bytes(pid: u32) -> Option<usize> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
    let kibibytes: usize = line.trim().trim_end_matches("kB").trim().parse().ok()?;
    Some(kibibytes * 1024)
}

/// Bytes on the account, returned when dropped.
pub struct MemoryCharge {
    budget: Rc<MemoryBudget>,
    bytes: Cell<usize>,
}

impl MemoryCharge {
    /// Returns the account.
    pub fn budget(&self) -> &Rc<MemoryBudget> {
        &self.budget
    }

    /// Changes the charge to `bytes`, also beyond the budget.
    pub fn resize(&self, bytes: usize) {
        let before = self.bytes.replace(bytes);
        self.budget.used.set(self.budget.used.get() - before + bytes);
        if bytes < before {
            self.budget.grant_waiting();
        }
    }
}

impl std::fmt::Debug for MemoryCharge {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "MemoryCharge({})", self.bytes.get())
    }
}

impl Drop for MemoryCharge {
    fn drop(&mut self) {
        self.resize(0);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::time::Duration;

    const MB: usize = 1024 * 1024;

    #[test]
    fn two_processes_stay_within_the_memory_limit_together() {
        for limit in [32 * MB, 48 * MB, 192 * MB, 2048 * MB] {
            let all = budget_bytes(limit);
            assert!(all + PROCESS_BYTES <= limit);
            let older = shared_budget_bytes(limit, MemoryShare::Older, all, 0) + PROCESS_BYTES;
            let newer = shared_budget_bytes(limit, MemoryShare::Newer(older), all, 0) + PROCESS_BYTES;
            assert!(older + newer <= limit, "{older} and {newer} of {limit}");
            // What the older process had already is not left for the newer one.
            let others = limit - PROCESS_BYTES;
            let newer = shared_budget_bytes(limit, MemoryShare::Newer(others), all, 0);
            assert_eq!(newer, MIN_BUDGET_BYTES);
        }
        assert_eq!(budget_bytes(0), MIN_BUDGET_BYTES);
    }

    #[test]
    fn the_budget_of_an_older_process_never_rises() {
        let mut budget = budget_bytes(32 * MB);
        for used in [9 * MB, 2 * MB, 9 * MB] {
            let next = shared_budget_bytes(32 * MB, MemoryShare::Older, budget, used);
            assert!(next <= budget);
            budget = next;
        }
        assert_eq!(budget, budget_bytes(16 * MB));
    }

    #[tokio::test]
    async fn accepted_requests_get_memory_before_new_ones() {
        let budget = MemoryBudget::new(32 * MB);
        let soon = Instant::now();
        let body = budget.total() / 16;
        let mut bodies = Vec::new();
        while let Some(charge) = budget.try_reserve(Purpose::LargeRequest, body) {
            bodies.push(charge);
        }
        assert!(budget.reserve(Purpose::LargeRequest, body, soon).await.is_none());
        assert!(budget.try_reserve(Purpose::Response, body).is_some());
        // A response that waits goes before a body that waits longer.
        let full = budget.charge(budget.total());
        let until = Instant::now() + Duration::from_secs(60);
        let order = RefCell::new(Vec::new());
        let wait = async |purpose| {
            let charge = budget.reserve(purpose, body, until).await;
            order.borrow_mut().push(purpose);
            charge
        };
        let free = async {
            while budget.waiters.iter().filter(|w| !w.borrow().is_empty()).count() < 2 {
                tokio::task::yield_now().await;
            }
            drop((full, bodies));
        };
        let (first, second, ()) = tokio::join!(wait(Purpose::LargeRequest), wait(Purpose::Response), free);
        assert!(first.is_some() && second.is_some() && !budget.is_contended());
        assert_eq!(budget.used(), 2 * body);
        drop((first, second));
        assert_eq!(budget.used(), 0);
    }

    #[tokio::test]
    async fn a_waiter_that_gives_up_takes_nothing() {
        let budget = MemoryBudget::new(32 * MB);
        let full = budget.charge(budget.total());
        let soon = Instant::now() + Duration::from_millis(1);
        assert!(budget.reserve(Purpose::Response, 1, soon).await.is_none());
        drop(full);
        assert_eq!((budget.used(), budget.is_contended()), (0, false));
    }

    #[tokio::test]
    async fn idle_things_are_closed_before_a_reservation_waits() {
        let budget = MemoryBudget::new(32 * MB);
        let idle = RefCell::new(Some(budget.charge(budget.total())));
        budget.on_pressure(Box::new(move || idle.borrow_mut().take().is_some()));
        assert!(budget.reserve(Purpose::LargeRequest, MB, Instant::now()).await.is_some());
    }
}
