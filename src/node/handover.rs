//! Handover between two processes of one node: detects the other process, divides the node's descriptors and
//! transfer slots between the two, and lets each know what discovery has told the other.

use crate::active_settings::CurrentSettings;
use crate::driver::Driver;
use crate::list_publisher::{Audience, ListPublisher};
use crate::list_receiver::ListReceiver;
use crate::log::log_event;
use crate::memory_budget::{MemoryShare, resident_bytes};
use crate::process_files::{ProcessFiles, ProcessRecord, Stage};
use crate::socket::Descriptors;
use crate::upstream::Upstream;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Interval of the checks for other processes, and of those of a process that waits to serve.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
const STARTING_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Time for the old process to free descriptors before the new one accepts clients regardless.
const DESCRIPTOR_WAIT: Duration = Duration::from_millis(1000);
/// Time to wait for the first response of discovery, which may be newer than the known list, while the old
/// process serves. The second is used if no list is known at all.
const DISCOVERY_WAIT: Duration = Duration::from_millis(500);
const FIRST_LIST_WAIT: Duration = Duration::from_millis(4500);
/// Time to wait for the list of an old process that writes one.
const HANDED_LIST_WAIT: Duration = Duration::from_millis(1000);

/// Role of this process among the processes of the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Role {
    Alone,
    /// A newer process is running.
    Older,
    /// Older processes are running, which claim this many descriptors.
    Newer(usize),
}

/// Descriptor limits of a node: a single process may use `alone` counted ones; every process has `fixed`
/// uncounted ones.
#[derive(Clone, Copy, Debug)]
struct DescriptorPool {
    alone: usize,
    fixed: usize,
}

impl DescriptorPool {
    /// Returns the number of counted descriptors that two processes may use together.
    fn shared(self) -> usize {
        self.alone.saturating_sub(self.fixed)
    }

    /// Returns the new limit of a process whose limit is `limit` and which uses `used` descriptors. The
    /// limit of the older process never rises, because the newer one may already use what was freed.
    fn limit(self, role: Role, stopping: bool, limit: usize, used: usize) -> usize {
        let shared = self.shared();
        let (spare, least) = if stopping { (8, 8) } else { (shared / 8, shared / 4) };
        match role {
            Role::Alone => self.alone,
            Role::Older => (used + spare).max(least).min(shared * 3 / 4).min(limit),
            Role::Newer(claimed_descriptors) => shared.saturating_sub(claimed_descriptors).max(shared / 4),
        }
    }
}

/// The two directions in which the processes of a node tell each other of the backend list.
pub struct ListExchange {
    /// Writes the list of this process.
    pub publisher: Rc<ListPublisher>,
    /// Reads the lists of the other processes.
    pub receiver: ListReceiver,
}

/// Handover state of this process.
pub struct Handover {
    process_files: Rc<ProcessFiles>,
    driver: Rc<Driver>,
    descriptors: Rc<Descriptors>,
    upstream: Rc<Upstream>,
    current_settings: Rc<CurrentSettings>,
    lists: ListExchange,
    pool: DescriptorPool,
    stage: Cell<Stage>,
    published: Cell<Option<ProcessRecord>>,
    others: RefCell<Vec<ProcessRecord>>,
}

impl Handover {
    /// Creates the state of a process that does not accept clients yet. Each process has `fixed` uncounted
    /// descriptors.
    pub fn new(
        process_files: Rc<ProcessFiles>,
        driver: Rc<Driver>,
        descriptors: Rc<Descriptors>,
        upstream: Rc<Upstream>,
        current_settings: Rc<CurrentSettings>,
        lists: ListExchange,
        fixed: usize,
    ) -> Rc<Handover> {
        let pool = DescriptorPool { alone: descriptors.limit(), fixed };
        let stage = Cell::new(Stage::Starting);
        let others = RefCell::default();
        let handover = Handover {
            process_files,
            driver,
            descriptors,
            upstream,
            current_settings,
            lists,
            pool,
            stage,
            published: Cell::new(None),
            others,
        };
        handover.update();
        Rc::new(handover)
    }

    /// Checks for other processes while the node runs.
    pub async fn run(self: Rc<Self>) {
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            self.update();
            if self.stage.get() != Stage::Starting {
                self.receive_lists().await;
            }
        }
    }

    /// Reads what is new in the lists of the other processes.
    async fn receive_lists(&self) {
        let others = self.others.borrow().clone();
        self.lists.receiver.read_all(&others).await;
    }

    /// Waits until this process may accept clients: at once without other processes, otherwise once it has
    /// the list of the old process, any list is known and enough descriptors are free.
    pub async fn wait_until_ready(&self) {
        if self.others.borrow().is_empty() {
            return;
        }
        let begun = Instant::now();
        loop {
            self.receive_lists().await;
            let waited = begun.elapsed();
            // The list of an old process that discovery has told is as good as an answer to this one.
            let has_responded =
                self.driver.has_discovery_responded() || self.lists.publisher.source().origin().is_some();
            let has_list = self.driver.has_list() && (has_responded || waited > DISCOVERY_WAIT);
            let has_descriptors =
                self.claimed_descriptors() <= self.pool.shared() * 3 / 4 || waited > DESCRIPTOR_WAIT;
            let has_handed_list =
                self.lists.receiver.has_received(&self.others.borrow()) || waited > HANDED_LIST_WAIT;
            if (has_list || waited > FIRST_LIST_WAIT) && has_handed_list && has_descriptors {
                return;
            }
            tokio::time::sleep(STARTING_CHECK_INTERVAL).await;
            self.update();
        }
    }

    /// Marks this process as serving and continues from the learned state of the other process.
    pub fn start_serving(&self) {
        self.stage.set(Stage::Serving);
        if !self.others.borrow().is_empty()
            && let Some(memory) = self.process_files.take_memory(&self.current_settings.get().names)
        {
            log_event!(INFO, "upgrade", backends = memory.backends.len(), "upgrade.remembers");
            self.driver.restore_memory(memory);
        }
        self.update();
    }

    /// True if a newer process of this node accepts clients.
    pub fn has_successor(&self) -> bool {
        let own = self.process_files.started();
        self.others.borrow().iter().any(|o| o.started.is_after(&own) && o.stage == Stage::Serving)
    }

    /// True if this process accepts clients.
    pub fn is_serving(&self) -> bool {
        self.stage.get() == Stage::Serving
    }

    /// Marks this process as stopping. Returns true if a newer process accepts clients.
    pub fn begin_stopping(&self) -> bool {
        self.stage.set(Stage::Stopping);
        self.update();
        self.has_successor()
    }

    /// Returns the number of descriptors that the other processes claim.
    fn claimed_descriptors(&self) -> usize {
        self.others.borrow().iter().map(|o| o.claim).sum()
    }

    /// Returns the role of this process among the running ones.
    fn role(&self) -> Role {
        let own = self.process_files.started();
        let others = self.others.borrow();
        if others.is_empty() {
            Role::Alone
        } else if others.iter().any(|o| o.started.is_after(&own)) {
            Role::Older
        } else {
            Role::Newer(self.claimed_descriptors())
        }
    }

    /// Returns for whom this process writes its list: those that read lists.
    fn audience(&self) -> Audience {
        let own = self.process_files.started();
        let others = self.others.borrow();
        let mut readers = others.iter().filter(|o| o.hands_over_list).peekable();
        if readers.peek().is_none() {
            Audience::None
        } else if readers.any(|o| o.started.is_after(&own)) {
            Audience::Newer
        } else {
            Audience::Older
        }
    }

    /// Returns the share of the node's memory that a process in this role has.
    fn memory_share(&self, role: Role) -> MemoryShare {
        match role {
            Role::Alone => MemoryShare::All,
            Role::Older => MemoryShare::Older,
            Role::Newer(_) => {
                let others = self.others.borrow();
                MemoryShare::Newer(
                    others.iter().filter_map(|other| resident_bytes(other.started.pid)).sum(),
                )
            }
        }
    }

    /// Looks for other processes, then updates the limits, the shared files and the published record.
    fn update(&self) {
        let others = self.process_files.other_processes();
        let before = self.others.replace(others).len();
        let now = self.others.borrow().len();
        let role = self.role();
        let (limit, used) = (self.descriptors.limit(), self.descriptors.used());
        let stopping = self.stage.get() == Stage::Stopping;
        let limit = self.pool.limit(role, stopping, limit, used);
        self.descriptors.set_limit(limit);
        self.upstream.transfer_slots.set_halved(role != Role::Alone);
        self.upstream.memory.set_share(self.memory_share(role));
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
        self.lists.publisher.update(self.audience());
        // An operator may have called the other process.
        if before + now > 0 && self.process_files.can_store() {
            self.driver.set_cordons(self.process_files.cordons());
        }
        let record = self.process_files.record(self.stage.get(), limit.max(used));
        if self.published.replace(Some(record)) != Some(record) {
            self.process_files.publish(record);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const POOL: DescriptorPool = DescriptorPool { alone: 350, fixed: 34 };

    #[test]
    fn two_processes_together_stay_within_the_descriptor_limit() {
        let mut old = POOL.alone;
        let mut used = 300;
        let mut new = 0;
        for step in 0..40 {
            old = POOL.limit(Role::Older, step > 20, old, used);
            // The newer process sees what the older one published last.
            let claim = old.max(used);
            new = POOL.limit(Role::Newer(claim), false, new, 0);
            assert!(used > old || old + new <= POOL.shared(), "step {step}: {old} and {new}");
            used = used.min(old).saturating_sub(10);
        }
        assert!(new > POOL.shared() * 9 / 10, "{new}");
    }

    #[test]
    fn older_process_raises_its_limit_only_when_alone() {
        let low = POOL.limit(Role::Older, false, POOL.alone, 10);
        assert_eq!(POOL.limit(Role::Older, false, low, 200), low);
        assert_eq!(POOL.limit(Role::Alone, false, low, 200), POOL.alone);
    }
}
