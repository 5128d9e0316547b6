//! Two processes of one node, while one takes over from the other: who lives, and which part of the node's
//! descriptors and places for long transfers each may use.

use crate::active_settings::CurrentSettings;
use crate::driver::Driver;
use crate::log::log_event;
use crate::process_files::{ProcessFiles, ProcessRecord, Stage};
use crate::socket::Descriptors;
use crate::upstream::Upstream;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How often a process looks at others; alone, half as often.
const LOOK: Duration = Duration::from_millis(50);
/// Time for the old process to make room before the new one takes clients all the same.
const ROOM_TIME: Duration = Duration::from_millis(1000);
/// Time for discovery's first word, which may be fresher than the list that is known: the old process serves
/// meanwhile. Longer where there is no list at all.
const NEWS_TIME: Duration = Duration::from_millis(500);
const LIST_TIME: Duration = Duration::from_millis(4500);

/// Where this process stands among those of the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    Alone,
    /// Another has started since.
    Older,
    /// Others were there, and may use so many descriptors.
    Newer(usize),
}

/// The descriptors of a node whose one process may count `alone` of them, and keeps `fixed` uncounted.
#[derive(Clone, Copy, Debug)]
struct Pool {
    alone: usize,
    fixed: usize,
}

impl Pool {
    /// What two processes may count together.
    fn shared(self) -> usize {
        self.alone.saturating_sub(self.fixed)
    }

    /// The limit of a process that had `limit` and uses `used`. The older one's only falls: what it gave up
    /// may be in the newer one's use already.
    fn limit(self, role: Role, stopping: bool, limit: usize, used: usize) -> usize {
        let shared = self.shared();
        let (spare, least) = if stopping { (8, 8) } else { (shared / 8, shared / 4) };
        match role {
            Role::Alone => self.alone,
            Role::Older => (used + spare).max(least).min(shared * 3 / 4).min(limit),
            Role::Newer(claimed) => shared.saturating_sub(claimed).max(shared / 4),
        }
    }
}

/// This process's part in a handover.
pub struct Handover {
    process_files: Rc<ProcessFiles>,
    driver: Rc<Driver>,
    descriptors: Rc<Descriptors>,
    upstream: Rc<Upstream>,
    current_settings: Rc<CurrentSettings>,
    pool: Pool,
    stage: Cell<Stage>,
    told: Cell<Option<ProcessRecord>>,
    others: RefCell<Vec<ProcessRecord>>,
}

impl Handover {
    /// A process that does not take clients yet. `fixed` descriptors are uncounted in each process.
    pub fn new(
        process_files: Rc<ProcessFiles>,
        driver: Rc<Driver>,
        descriptors: Rc<Descriptors>,
        upstream: Rc<Upstream>,
        current_settings: Rc<CurrentSettings>,
        fixed: usize,
    ) -> Rc<Handover> {
        let pool = Pool { alone: descriptors.limit(), fixed };
        let stage = Cell::new(Stage::Starting);
        let others = RefCell::default();
        let handover = Handover {
            process_files,
            driver,
            descriptors,
            upstream,
            current_settings,
            pool,
            stage,
            told: Cell::new(None),
            others,
        };
        handover.look();
        Rc::new(handover)
    }

    /// Looks for others for as long as the node lives.
    pub async fn run(self: Rc<Self>) {
        loop {
            let alone = self.others.borrow().is_empty();
            tokio::time::sleep(if alone { 2 * LOOK } else { LOOK }).await;
            self.look();
        }
    }

    /// Waits until this process may take clients: at once where no other does, else with a list, and with
    /// room made for it.
    pub async fn may_serve(&self) {
        if self.others.borrow().is_empty() {
            return;
        }
        let begun = Instant::now();
        loop {
            let waited = begun.elapsed();
            let list =
                self.driver.has_list() && (self.driver.has_discovery_responded() || waited > NEWS_TIME);
            let room = self.claimed() <= self.pool.shared() * 3 / 4 || waited > ROOM_TIME;
            if (list || waited > LIST_TIME) && room {
                return;
            }
            tokio::time::sleep(LOOK / 5).await;
            self.look();
        }
    }

    /// This process takes clients, and goes on from what the one beside it has learned.
    pub fn serves(&self) {
        self.stage.set(Stage::Serving);
        if !self.others.borrow().is_empty()
            && let Some(memory) = self.process_files.take_memory(&self.current_settings.get().names)
        {
            log_event!(INFO, "upgrade", backends = memory.backends.len(), "upgrade.remembers");
            self.driver.restore_memory(memory);
        }
        self.look();
    }

    /// A newer process of this node takes its clients.
    pub fn succeeded(&self) -> bool {
        let own = self.process_files.record(self.stage.get(), 0);
        self.others.borrow().iter().any(|o| o.started > own.started && o.stage == Stage::Serving)
    }

    /// This process takes clients.
    pub fn serving(&self) -> bool {
        self.stage.get() == Stage::Serving
    }

    /// This process takes none any more. True: a newer one does.
    pub fn stops(&self) -> bool {
        self.stage.set(Stage::Stopping);
        self.look();
        let own = self.process_files.record(Stage::Stopping, 0);
        self.others.borrow().iter().any(|o| o.started > own.started && o.stage == Stage::Serving)
    }

    fn claimed(&self) -> usize {
        self.others.borrow().iter().map(|o| o.claim).sum()
    }

    fn role(&self) -> Role {
        let own = self.process_files.record(self.stage.get(), 0);
        match self.others.borrow().iter().map(|o| o.started).max() {
            None => Role::Alone,
            Some(newest) if newest > own.started => Role::Older,
            Some(_) => Role::Newer(self.claimed()),
        }
    }

    fn look(&self) {
        let others = self.process_files.other_processes();
        let before = self.others.replace(others).len();
        let now = self.others.borrow().len();
        let role = self.role();
        let (limit, used) = (self.descriptors.limit(), self.descriptors.used());
        let stopping = self.stage.get() == Stage::Stopping;
        let limit = self.pool.limit(role, stopping, limit, used);
        self.descriptors.set_limit(limit);
        self.upstream.transfer_slots.set_halved(role != Role::Alone);
        if before != now {
            let role = match role {
                Role::Alone => "alone",
                Role::Older => "old of two",
                Role::Newer(_) => "new of two",
            };
            log_event!(INFO, "upgrade", role, descriptors = limit, used, "upgrade.role");
        }
        let starting = self.others.borrow().iter().any(|o| o.stage == Stage::Starting);
        if role == Role::Older && starting && self.stage.get() == Stage::Serving {
            self.process_files.save_memory(&self.driver.memory(), &self.current_settings.get().names);
        }
        // A call may have reached the other process.
        if before + now > 0 && self.process_files.can_store() {
            self.driver.set_cordons(self.process_files.cordons());
        }
        let record = self.process_files.record(self.stage.get(), limit.max(used));
        if self.told.replace(Some(record)) != Some(record) {
            self.process_files.publish(record);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const POOL: Pool = Pool { alone: 350, fixed: 34 };

    #[test]
    fn together_two_processes_stay_within_the_nodes_limit() {
        let mut old = POOL.alone;
        let mut used = 300;
        let mut new = 0;
        for step in 0..40 {
            old = POOL.limit(Role::Older, step > 20, old, used);
            // What the newer one sees is the older one's last word.
            let claim = old.max(used);
            new = POOL.limit(Role::Newer(claim), false, new, 0);
            assert!(used > old || old + new <= POOL.shared(), "step {step}: {old} and {new}");
            used = used.min(old).saturating_sub(10);
        }
        assert!(new > POOL.shared() * 9 / 10, "{new}");
    }

    #[test]
    fn what_the_older_one_gave_up_it_takes_back_only_when_alone() {
        let low = POOL.limit(Role::Older, false, POOL.alone, 10);
        assert_eq!(POOL.limit(Role::Older, false, low, 200), low);
        assert_eq!(POOL.limit(Role::Alone, false, low, 200), POOL.alone);
    }
}
