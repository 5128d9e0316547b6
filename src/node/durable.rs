//! State that survives the machine, in the directory `[state] dir`: operators' orders, this node's
//! incarnation, the last backend list and the learned state. A separate thread accesses the disk, so
//! serving never waits for it.

use crate::log::log_event;
use daleturn::options::State;
use daleturn_store::scripted_faults::ScriptedFaultDisk;
use daleturn_store::{Disk, Entry, Limits, RealDisk, Store, StoreError};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::path::Path;
use std::rc::Rc;
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, TrySendError, sync_channel};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::oneshot;

/// Kinds of entries.
const CORDON: &str = "cordon";
const QUIESCE: &str = "quiesce";
const INCARNATION: &str = "incarnation";
const STARTS: &str = "starts";
const LIST: &str = "list";
const ZONE: &str = "zone";
const LEASE: &str = "lease";
const LEARNED: &str = "learned";
/// Key of entries that exist once.
const NODE: &str = "node";
/// Maximum time to read the state at startup; after it the node serves without.
const OPEN_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for storing an operator's order, which must be answered within a second. What is not on disk by
/// then is not stored.
const STORE_TIMEOUT: Duration = Duration::from_millis(700);
/// Interval at which a process checks whether the previous one has released the directory.
const LOCK_RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Maximum age at which a stored list, and the learned state, are used.
const MAX_LIST_AGE: Duration = Duration::from_secs(24 * 3600);
const MAX_LEARNED_AGE: Duration = Duration::from_secs(10 * 60);
/// Tolerance for entries from the future, after a backward step of the clock.
const CLOCK_SLACK_MS: u64 = 60_000;
/// This many starts within this time are a crash loop, during which the learned state is not used.
const CRASH_LOOP_STARTS: usize = 3;
const CRASH_LOOP_WINDOW_MS: u64 = 60_000;
/// Maximum number of queued jobs.
const MAX_QUEUED_JOBS: usize = 64;

/// Returns the wall-clock time in milliseconds since 1970.
fn wall_ms() -> u64 {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(wall.as_millis()).unwrap_or(u64::MAX)
}

/// Record of who cordoned a backend, why and when.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cordon {
    /// Time of the cordon, in milliseconds since 1970 by this machine's clock.
    pub since_ms: u64,
    /// True if a release controller set the cordon, and may revoke it; false for an operator.
    pub is_release: bool,
    /// The operator's reason; may be empty.
    pub reason: String,
}

/// Stored value of a release controller's cordon. Reasons contain no NUL byte.
const RELEASE_VALUE: &[u8] = b"\0release";

impl Cordon {
    /// Creates a cordon at the current time.
    pub fn now(is_release: bool, reason: &str) -> Cordon {
        Cordon { since_ms: wall_ms(), is_release, reason: reason.to_owned() }
    }

    /// Returns the cordon after a release controller's call. `before` is the cordon in effect; `None` if
    /// there is none, also because an order at another node or process has revoked it meanwhile. An
    /// operator's cordon stays an operator's.
    pub fn for_release(before: Option<&Cordon>) -> Cordon {
        before.cloned().unwrap_or_else(|| Cordon::now(true, ""))
    }

    /// Returns the stored value. Builds that know no reasons treat any value as an operator's cordon.
    fn to_value(&self) -> Vec<u8> {
        if self.is_release { RELEASE_VALUE.to_vec() } else { self.reason.clone().into_bytes() }
    }

    fn from_entry(entry: &Entry) -> Cordon {
        let is_release = entry.value == RELEASE_VALUE;
        let reason =
            if is_release { String::new() } else { String::from_utf8_lossy(&entry.value).into_owned() };
        Cordon { since_ms: entry.written_ms, is_release, reason }
    }
}

/// A backend list that has been stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredList {
    /// The list, as discovery's JSON.
    pub json: String,
    /// Time since it was stored.
    pub age: Duration,
}

/// State that a start reads and uses.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RestoredState {
    /// Backends cordoned by an operator or a release controller, by ID.
    pub cordons: BTreeMap<String, Cordon>,
    /// True if the node was quiesced.
    pub is_quiesced: bool,
    /// Zones that an operator ordered to leave, with the remaining time if one was given.
    pub zones: Vec<(String, Option<Duration>)>,
    /// Lease of a release: its holder and number.
    pub lease: Option<String>,
    /// The last list.
    pub list: Option<StoredList>,
    /// The learned state, as the node writes it.
    pub learned: Option<String>,
}

/// True if an entry written at this time is neither too old nor further in the future than clock steps
/// explain.
fn is_fresh(written_ms: u64, now_ms: u64, age: Duration) -> bool {
    let age = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
    written_ms <= now_ms.saturating_add(CLOCK_SLACK_MS) && now_ms.saturating_sub(written_ms) <= age
}

/// Selects the stored entries that are still valid.
fn restore(entries: &BTreeMap<(String, String), Entry>, now_ms: u64, looping: bool) -> RestoredState {
    let get = |kind: &str, key: &str| entries.get(&(kind.to_owned(), key.to_owned()));
    let text = |kind: &str, age| {
        let entry = get(kind, NODE).filter(|e| is_fresh(e.written_ms, now_ms, age))?;
        String::from_utf8(entry.value.clone()).ok()
    };
    RestoredState {
        // An order holds until it is revoked, however old it is.
        cordons: entries
            .iter()
            .filter(|((kind, _), _)| kind == CORDON)
            .map(|((_, uid), e)| (uid.clone(), Cordon::from_entry(e)))
            .collect(),
        is_quiesced: get(QUIESCE, NODE).is_some(),
        lease: get(LEASE, NODE).and_then(|e| String::from_utf8(e.value.clone()).ok()),
        zones: entries
            .iter()
            .filter(|((kind, _), _)| kind == ZONE)
            .filter_map(|((_, zone), e)| {
                let until = <[u8; 8]>::try_from(e.value.as_slice()).ok().map(u64::from_le_bytes);
                let left = until.map(|until| Duration::from_millis(until.saturating_sub(now_ms)));
                // An order whose time has expired no longer holds.
                left.is_none_or(|left| !left.is_zero()).then(|| (zone.clone(), left))
            })
            .collect(),
        list: text(LIST, MAX_LIST_AGE).map(|json| {
            let written_ms = get(LIST, NODE).map_or(now_ms, |entry| entry.written_ms);
            StoredList { json, age: Duration::from_millis(now_ms.saturating_sub(written_ms)) }
        }),
        learned: text(LEARNED, MAX_LEARNED_AGE).filter(|_| !looping),
    }
}

/// Job of the storage thread.
enum Job {
    /// An operator's order, which has to be on disk before it is answered.
    Order {
        kind: &'static str,
        key: String,
        value: Option<Vec<u8>>,
        done: oneshot::Sender<Result<(), String>>,
    },
    /// Entries to store in the background.
    Entries(Vec<(&'static str, String)>),
    /// The complete set of cordoned backends.
    Cordons(Vec<String>),
}

/// Status of the storage thread.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StoreStatus {
    /// Incarnation assigned to the node, once the thread has locked the directory.
    pub incarnation: Option<u64>,
    /// Number of failed writes so far.
    pub failed: u64,
}

/// The real disk, or one with scripted faults.
type AnyDisk = Box<dyn Disk>;

/// Opens the configured disk.
fn disk(state: &State) -> Result<AnyDisk, StoreError> {
    let real = RealDisk::open(Path::new(&state.dir))?;
    Ok(match state.rehearse.as_str() {
        "" => Box::new(real),
        place => Box::new(ScriptedFaultDisk::new(real, Path::new(place))?),
    })
}

/// State of the storage thread.
struct StoreThread<D> {
    store: Store<D>,
}

impl StoreThread<AnyDisk> {
    /// Opens the directory as its only writer. A new incarnation is on disk before it is used.
    fn open(
        state: &State,
        limits: Limits,
    ) -> Result<(StoreThread<AnyDisk>, RestoredState, u64), StoreError> {
        let (mut store, report) = Store::open(disk(state)?, limits)?;
        for (file, aside) in &report.quarantined {
            log_event!(ERROR, "state", file = file.as_str(), aside = aside.as_str(), "state.damaged");
        }
        let now = wall_ms();
        let number = |store: &Store<AnyDisk>| {
            let entry = store.get(INCARNATION, NODE)?;
            Some(u64::from_le_bytes(entry.value.as_slice().try_into().ok()?))
        };
        let incarnation = number(&store).unwrap_or(0) + 1;
        let mut starts: Vec<u64> = store.get(STARTS, NODE).map_or(Vec::new(), |e| {
            e.value.chunks_exact(8).filter_map(|c| Some(u64::from_le_bytes(c.try_into().ok()?))).collect()
        });
        starts.retain(|at| is_fresh(*at, now, Duration::from_millis(CRASH_LOOP_WINDOW_MS)));
        let looping = starts.len() >= CRASH_LOOP_STARTS;
        starts.push(now);
        let entries: BTreeMap<_, _> = [CORDON, QUIESCE, ZONE, LEASE, LIST, LEARNED]
            .into_iter()
            .flat_map(|kind| {
                store.of_kind(kind).map(move |(key, e)| ((kind.to_owned(), key.to_owned()), e.clone()))
            })
            .collect();
        let restored = restore(&entries, now, looping);
        let entry = |value: Vec<u8>| Entry { written_ms: now, value };
        store.put(INCARNATION, NODE, entry(incarnation.to_le_bytes().to_vec()))?;
        store.put(STARTS, NODE, entry(starts.iter().flat_map(|at| at.to_le_bytes()).collect()))?;
        store.sync()?;
        let (generation, records, cut) = (report.generation, report.records, report.truncated_bytes);
        let words = restored.cordons.len();
        log_event!(INFO, "state", incarnation, generation, records, cut, words, looping, "state.opened");
        Ok((StoreThread { store }, restored, incarnation))
    }
}

impl<D: Disk> StoreThread<D> {
    /// Sets or, without a value, removes an entry.
    fn change(&mut self, kind: &str, key: &str, value: Option<Vec<u8>>) -> Result<(), StoreError> {
        match value {
            Some(value) => self.store.put(kind, key, Entry { written_ms: wall_ms(), value }),
            None => self.store.remove(kind, key),
        }
    }

    /// Runs one job. A rejected or unanswered order is reverted.
    fn run_job(&mut self, job: Job) -> Result<(), StoreError> {
        match job {
            Job::Order { kind, key, value, done } => {
                if done.is_closed() {
                    return Ok(());
                }
                let before = self.store.get(kind, &key).map(|e| e.value.clone());
                let written = self.change(kind, &key, value).and_then(|()| self.store.sync());
                let result = written.as_ref().copied().map_err(ToString::to_string);
                let late = done.send(result).is_err();
                if late {
                    log_event!(WARN, "state", kind, key = key.as_str(), "state.too_late");
                }
                if late || written.is_err() {
                    // The caller was told that nothing changed, so restore the previous value.
                    self.change(kind, &key, before)?;
                    self.store.sync()?;
                }
                written
            }
            Job::Entries(entries) => {
                for (kind, text) in entries {
                    self.change(kind, NODE, Some(text.into_bytes()))?;
                }
                self.store.sync()
            }
            Job::Cordons(uids) => {
                let known: Vec<String> =
                    self.store.of_kind(CORDON).map(|(uid, _)| uid.to_owned()).collect();
                for uid in known.iter().filter(|uid| !uids.contains(uid)) {
                    self.change(CORDON, uid, None)?;
                }
                for uid in uids.iter().filter(|uid| !known.contains(uid)) {
                    self.change(CORDON, uid, Some(Vec::new()))?;
                }
                self.store.sync()
            }
        }
    }
}

/// Main loop of the thread: locks the directory, immediately or once the previous process has ended, and
/// then runs the jobs.
fn run(
    state: &State,
    first: &SyncSender<RestoredState>,
    jobs: &Receiver<Job>,
    status: &std::sync::Mutex<StoreStatus>,
) {
    let limits = Limits::default();
    let set = |change: &dyn Fn(&mut StoreStatus)| {
        change(&mut status.lock().unwrap_or_else(std::sync::PoisonError::into_inner));
    };
    let mut is_state_sent = false;
    let mut thread = loop {
        match StoreThread::open(state, limits) {
            Ok((thread, restored, incarnation)) => {
                set(&|c| c.incarnation = Some(incarnation));
                if !is_state_sent {
                    let _ = first.try_send(restored);
                }
                break thread;
            }
            Err(StoreError::Disk(e)) if e.kind() == std::io::ErrorKind::WouldBlock => {
                // The other process of this node is the writer; what it has written can be read.
                if !is_state_sent {
                    is_state_sent = true;
                    let inspected =
                        Store::inspect(&mut RealDisk::open_read_only(Path::new(&state.dir)), limits);
                    let restored = inspected
                        .map(|(entries, ..)| restore(&entries, wall_ms(), false))
                        .unwrap_or_default();
                    let _ = first.try_send(restored);
                    log_event!(INFO, "state", "state.held");
                }
            }
            Err(e) => {
                log_event!(ERROR, "state", reason = e.to_string().as_str(), "state.unusable");
                let _ = first.try_send(RestoredState::default());
                return;
            }
        }
        // Until the directory is locked, orders cannot be stored and are rejected.
        match jobs.recv_timeout(LOCK_RETRY_INTERVAL) {
            Ok(Job::Order { done, .. }) => {
                drop(
                    done.send(Err("another process of this node has the state; call that one".to_owned())),
                );
            }
            Ok(_) | Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
    };
    while let Ok(job) = jobs.recv() {
        if let Err(e) = thread.run_job(job) {
            set(&|c| c.failed += 1);
            log_event!(ERROR, "state", reason = e.to_string().as_str(), "state.failed");
        }
    }
}

/// Handle of the storage thread.
pub struct Durable {
    jobs: RefCell<Option<SyncSender<Job>>>,
    status: std::sync::Arc<std::sync::Mutex<StoreStatus>>,
    /// Number of changes of the list that was last passed to the thread.
    last_stored: Cell<Option<u64>>,
    thread: RefCell<Option<std::thread::JoinHandle<()>>>,
}

impl Durable {
    /// Starts the thread and waits a limited time for the stored state.
    pub fn open(state: State) -> (Rc<Durable>, RestoredState) {
        let (jobs, work) = sync_channel(MAX_QUEUED_JOBS);
        let (first, found) = sync_channel(1);
        let status = std::sync::Arc::new(std::sync::Mutex::new(StoreStatus::default()));
        let thread_status = status.clone();
        let thread = std::thread::Builder::new()
            .name("state".to_owned())
            .spawn(move || run(&state, &first, &work, &thread_status));
        let restored = match &thread {
            Ok(_) => found.recv_timeout(OPEN_TIMEOUT),
            Err(_) => Err(RecvTimeoutError::Disconnected),
        };
        if restored.is_err() {
            log_event!(ERROR, "state", "state.slow_start");
        }
        let durable = Durable {
            jobs: RefCell::new(Some(jobs)),
            status,
            last_stored: Cell::new(None),
            thread: RefCell::new(thread.ok()),
        };
        (Rc::new(durable), restored.unwrap_or_default())
    }

    /// Returns the status of the storage thread.
    pub fn status(&self) -> StoreStatus {
        *self.status.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Queues a job, or returns why that is not possible.
    fn enqueue(&self, job: Job) -> Result<(), String> {
        let jobs = self.jobs.borrow();
        let jobs = jobs.as_ref().ok_or("the node is ending")?;
        jobs.try_send(job).map_err(|e| match e {
            TrySendError::Full(_) => "the disk does not keep up".to_owned(),
            TrySendError::Disconnected(_) => "the state cannot be used, as the log says".to_owned(),
        })
    }

    /// Stores an operator's order and waits until it is on disk.
    async fn store_order(
        &self,
        kind: &'static str,
        key: &str,
        value: Option<Vec<u8>>,
    ) -> Result<(), String> {
        let (done, stored) = oneshot::channel();
        self.enqueue(Job::Order { kind, key: key.to_owned(), value, done })?;
        match tokio::time::timeout(STORE_TIMEOUT, stored).await {
            Ok(Ok(stored)) => stored,
            Ok(Err(_)) => Err("the state cannot be used, as the log says".to_owned()),
            // The thread notices that the caller is gone and restores the previous value.
            Err(_) => Err("the disk did not answer in time".to_owned()),
        }
    }

    /// Stores that a backend is cordoned, or no longer.
    ///
    /// # Errors
    /// Returns the reason if the change is not on disk; it does not hold then.
    pub async fn store_cordon(&self, uid: &str, cordon: Option<&Cordon>) -> Result<(), String> {
        self.store_order(CORDON, uid, cordon.map(Cordon::to_value)).await
    }

    /// Stores that a zone is ordered to leave, for a limited time if given, or may return.
    ///
    /// # Errors
    /// Returns the reason if the change is not on disk.
    pub async fn store_zone(
        &self,
        zone: &str,
        must_leave: bool,
        left: Option<Duration>,
    ) -> Result<(), String> {
        let until = left.map(|left| {
            let ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
            wall_ms().saturating_add(ms).to_le_bytes().to_vec()
        });
        self.store_order(ZONE, zone, must_leave.then(|| until.unwrap_or_default())).await
    }

    /// Stores the holder of the release lease.
    ///
    /// # Errors
    /// Returns the reason if the change is not on disk.
    pub async fn store_lease(&self, holder: &str) -> Result<(), String> {
        self.store_order(LEASE, NODE, Some(holder.as_bytes().to_vec())).await
    }

    /// Stores that the node is quiesced, or no longer.
    ///
    /// # Errors
    /// Returns the reason if the change is not on disk.
    pub async fn store_quiesced(&self, quiesced: bool) -> Result<(), String> {
        self.store_order(QUIESCE, NODE, quiesced.then(Vec::new)).await
    }

    /// Stores the complete set of cordoned backends, as the processes of the node know it.
    pub fn store_cordons(&self, uids: Vec<String>) {
        // If this fails, the next change or the next start stores it.
        let _ = self.enqueue(Job::Cordons(uids));
    }

    /// Stores the learned state, and the list if it has changed since the last call. `list_changes` is the
    /// number of its changes. Never waits.
    pub fn store_learned(&self, list_changes: u64, list: impl FnOnce() -> String, learned: String) {
        let mut entries = vec![(LEARNED, learned)];
        if self.last_stored.replace(Some(list_changes)) != Some(list_changes) {
            entries.push((LIST, list()));
        }
        let _ = self.enqueue(Job::Entries(entries));
    }

    /// Ends the thread after the queued jobs, within a limited time.
    pub async fn close(&self) {
        self.jobs.replace(None);
        let end = std::time::Instant::now() + STORE_TIMEOUT;
        let Some(thread) = self.thread.replace(None) else { return };
        while !thread.is_finished() && std::time::Instant::now() < end {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn entries(written_ms: u64) -> BTreeMap<(String, String), Entry> {
        let entry = |kind: &str, key: &str, value: &str| {
            ((kind.to_owned(), key.to_owned()), Entry { written_ms, value: value.as_bytes().to_vec() })
        };
        BTreeMap::from([
            entry(CORDON, "s-1", ""),
            entry(QUIESCE, NODE, ""),
            entry(LIST, NODE, "list"),
            entry(LEARNED, NODE, "learned"),
        ])
    }

    #[test]
    fn an_order_answered_with_an_error_changes_nothing() {
        use daleturn_store::faults::{FaultDisk, Faults};
        let (store, _) = Store::open(FaultDisk::default(), Limits::default()).unwrap();
        let mut thread = StoreThread { store };
        let mut order = |uid: &str, out: bool, faults: Faults, waits: bool| {
            let (done, mut answer) = oneshot::channel();
            if !waits {
                answer.close();
            }
            thread.store.disk().faults = faults;
            let value = out.then(Vec::new);
            let _ = thread.run_job(Job::Order { kind: CORDON, key: uid.to_owned(), value, done });
            thread.store.of_kind(CORDON).map(|(uid, _)| uid.to_owned()).collect::<Vec<_>>()
        };
        let fine = Faults::default();
        assert_eq!(order("s-1", true, fine, true), ["s-1"]);
        // Repeated by a caller that gave up: the first order stays.
        assert_eq!(order("s-1", true, fine, false), ["s-1"]);
        assert_eq!(order("s-1", false, fine, false), ["s-1"]);
        // Written but not durable: the caller gets an error, and later writes do not contain it.
        assert_eq!(order("s-2", true, Faults { failing_syncs: 1, ..fine }, true), ["s-1"]);
    }

    #[test]
    fn orders_never_expire_and_learned_state_does() {
        let now = 1_000_000_000_000_u64;
        let at = |age_ms: i64| restore(&entries(now.saturating_add_signed(-age_ms)), now, false);
        let orders_hold = |k: &RestoredState| k.cordons.keys().eq(["s-1"]) && k.is_quiesced;
        let recent = at(1000);
        assert!(orders_hold(&recent) && recent.list.is_some() && recent.learned.is_some());
        let hour = at(3_600_000);
        assert!(orders_hold(&hour) && hour.list.is_some() && hour.learned.is_none());
        let week = at(7 * 24 * 3_600_000);
        assert!(orders_hold(&week) && week.list.is_none() && week.learned.is_none());
        // A clock step of less than a minute is tolerated, a larger one is not.
        let future = at(-30_000);
        assert!(orders_hold(&future) && future.learned.is_some());
        let far = at(-3_600_000);
        assert!(orders_hold(&far) && far.list.is_none() && far.learned.is_none());
        assert!(restore(&entries(now), now, true).learned.is_none(), "in a crash loop");
    }
}
