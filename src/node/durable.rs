//! What survives this machine: operators' words, this node's incarnation, the last list and what was learned, in the
//! directory that `[state] dir` names. A thread of its own has the disk; nobody who is served waits for it.

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
/// Key of what there is one of.
const NODE: &str = "node";
/// Time for the state to be read at a start: beyond it the node serves without.
const START_TIME: Duration = Duration::from_secs(2);
/// An operator is answered within a second: what is not on disk by then is not stored.
const WORD_TIME: Duration = Duration::from_millis(700);
/// How often a process looks whether the one before it has given the directory up.
const RETRY: Duration = Duration::from_millis(200);
/// How long a list, and what was learned, is believed.
const LIST_AGE: Duration = Duration::from_secs(24 * 3600);
const LEARNED_AGE: Duration = Duration::from_secs(10 * 60);
/// A clock may be so far behind the one that wrote.
const CLOCK_SLACK_MS: u64 = 60_000;
/// So many starts within so long are a crash loop, in which what was learned is not believed.
const LOOP_STARTS: usize = 3;
const LOOP_MS: u64 = 60_000;
/// Jobs that may wait for the disk.
const JOBS: usize = 64;

fn wall_ms() -> u64 {
    let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(wall.as_millis()).unwrap_or(u64::MAX)
}

/// Who took a backend out, why and when.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Cordon {
    /// In milliseconds since 1970, by this machine's clock.
    pub since_ms: u64,
    /// A release's controller did, and may put it back; else an operator.
    pub release: bool,
    /// The operator's reason; may be empty.
    pub why: String,
}

/// How a controller's word begins on disk; a reason has no such byte.
const RELEASE: &[u8] = b"\0release";

impl Cordon {
    /// One that is said now.
    pub fn now(release: bool, why: &str) -> Cordon {
        Cordon { since_ms: wall_ms(), release, why: why.to_owned() }
    }

    /// What a controller's word makes of the one that has the backend out; none where it is in, also by a word to another
    /// node or process since. What an operator took out stays an operator's.
    pub fn of_release(before: Option<&Cordon>) -> Cordon {
        before.cloned().unwrap_or_else(|| Cordon::now(true, ""))
    }

    /// A build that knows no reasons takes whatever is here for an operator's word.
    fn value(&self) -> Vec<u8> {
        if self.release { RELEASE.to_vec() } else { self.why.clone().into_bytes() }
    }

    fn read(entry: &Entry) -> Cordon {
        let release = entry.value == RELEASE;
        let why = if release { String::new() } else { String::from_utf8_lossy(&entry.value).into_owned() };
        Cordon { since_ms: entry.written_ms, release, why }
    }
}

/// What a start finds and believes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Kept {
    /// Backends that are out by an operator's or a controller's word.
    pub cordons: BTreeMap<String, Cordon>,
    /// Clients are to be sent away.
    pub quiesced: bool,
    /// Zones that are left by an operator's word, and for how long still where that was said.
    pub zones: Vec<(String, Option<Duration>)>,
    /// The lease of a release, by holder and number.
    pub lease: Option<String>,
    /// The last list, in discovery's form.
    pub list: Option<String>,
    /// What was learned, as the node writes it.
    pub learned: Option<String>,
}

/// Whether an entry may be believed that was written then: not from a future that no clock explains, nor too old.
fn fresh(written_ms: u64, now_ms: u64, age: Duration) -> bool {
    let age = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
    written_ms <= now_ms.saturating_add(CLOCK_SLACK_MS) && now_ms.saturating_sub(written_ms) <= age
}

fn believed(entries: &BTreeMap<(String, String), Entry>, now_ms: u64, looping: bool) -> Kept {
    let get = |kind: &str, key: &str| entries.get(&(kind.to_owned(), key.to_owned()));
    let text = |kind: &str, age| {
        let entry = get(kind, NODE).filter(|e| fresh(e.written_ms, now_ms, age))?;
        String::from_utf8(entry.value.clone()).ok()
    };
    Kept {
        // A word holds until it is taken back, however old it is.
        cordons: entries
            .iter()
            .filter(|((kind, _), _)| kind == CORDON)
            .map(|((_, uid), e)| (uid.clone(), Cordon::read(e)))
            .collect(),
        quiesced: get(QUIESCE, NODE).is_some(),
        lease: get(LEASE, NODE).and_then(|e| String::from_utf8(e.value.clone()).ok()),
        zones: entries
            .iter()
            .filter(|((kind, _), _)| kind == ZONE)
            .filter_map(|((_, zone), e)| {
                let until = <[u8; 8]>::try_from(e.value.as_slice()).ok().map(u64::from_le_bytes);
                let left = until.map(|until| Duration::from_millis(until.saturating_sub(now_ms)));
                // One whose time is over is not left any more.
                left.is_none_or(|left| !left.is_zero()).then(|| (zone.clone(), left))
            })
            .collect(),
        list: text(LIST, LIST_AGE),
        learned: text(LEARNED, LEARNED_AGE).filter(|_| !looping),
    }
}

enum Job {
    /// An operator's word: on disk before it is answered.
    Word {
        kind: &'static str,
        key: String,
        value: Option<Vec<u8>>,
        done: oneshot::Sender<Result<(), String>>,
    },
    /// In the background.
    Learned(Vec<(&'static str, String)>),
    /// These are out, and no others.
    Cordons(Vec<String>),
}

/// What the thread says of itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Condition {
    /// It has the directory, and this is the incarnation that it gave the node.
    pub incarnation: Option<u64>,
    /// Writes that failed so far.
    pub failed: u64,
}

/// The disk as it is, or as it is rehearsed with.
type AnyDisk = Box<dyn Disk>;

fn disk(state: &State) -> Result<AnyDisk, StoreError> {
    let real = RealDisk::open(Path::new(&state.dir))?;
    Ok(match state.rehearse.as_str() {
        "" => Box::new(real),
        place => Box::new(ScriptedFaultDisk::new(real, Path::new(place))?),
    })
}

struct Thread<D> {
    store: Store<D>,
}

impl Thread<AnyDisk> {
    /// Opens the directory as its one writer; a new incarnation is on disk before anybody hears of it.
    fn open(state: &State, limits: Limits) -> Result<(Thread<AnyDisk>, Kept, u64), StoreError> {
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
        starts.retain(|at| fresh(*at, now, Duration::from_millis(LOOP_MS)));
        let looping = starts.len() >= LOOP_STARTS;
        starts.push(now);
        let entries: BTreeMap<_, _> = [CORDON, QUIESCE, ZONE, LEASE, LIST, LEARNED]
            .into_iter()
            .flat_map(|kind| {
                store.of_kind(kind).map(move |(key, e)| ((kind.to_owned(), key.to_owned()), e.clone()))
            })
            .collect();
        let kept = believed(&entries, now, looping);
        let entry = |value: Vec<u8>| Entry { written_ms: now, value };
        store.put(INCARNATION, NODE, entry(incarnation.to_le_bytes().to_vec()))?;
        store.put(STARTS, NODE, entry(starts.iter().flat_map(|at| at.to_le_bytes()).collect()))?;
        store.sync()?;
        let (generation, records, cut) = (report.generation, report.records, report.truncated_bytes);
        let words = kept.cordons.len();
        log_event!(INFO, "state", incarnation, generation, records, cut, words, looping, "state.opened");
        Ok((Thread { store }, kept, incarnation))
    }
}

impl<D: Disk> Thread<D> {
    fn change(&mut self, kind: &str, key: &str, value: Option<Vec<u8>>) -> Result<(), StoreError> {
        match value {
            Some(value) => self.store.put(kind, key, Entry { written_ms: wall_ms(), value }),
            None => self.store.remove(kind, key),
        }
    }

    fn work(&mut self, job: Job) -> Result<(), StoreError> {
        match job {
            Job::Word { kind, key, value, done } => {
                if done.is_closed() {
                    return Ok(());
                }
                let before = self.store.get(kind, &key).map(|e| e.value.clone());
                let written = self.change(kind, &key, value).and_then(|()| self.store.sync());
                let said = written.as_ref().copied().map_err(ToString::to_string);
                let late = done.send(said).is_err();
                if late {
                    log_event!(WARN, "state", kind, key = key.as_str(), "state.too_late");
                }
                if late || written.is_err() {
                    // Whoever asked was told that nothing changed: what was there before holds.
                    self.change(kind, &key, before)?;
                    self.store.sync()?;
                }
                written
            }
            Job::Learned(entries) => {
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

/// The thread's loop: takes the directory, at once or once the process before this one ends, and does its jobs.
fn run(
    state: &State,
    first: &SyncSender<Kept>,
    jobs: &Receiver<Job>,
    condition: &std::sync::Mutex<Condition>,
) {
    let limits = Limits::default();
    let set = |change: &dyn Fn(&mut Condition)| {
        change(&mut condition.lock().unwrap_or_else(std::sync::PoisonError::into_inner));
    };
    let mut told = false;
    let mut thread = loop {
        match Thread::open(state, limits) {
            Ok((thread, kept, incarnation)) => {
                set(&|c| c.incarnation = Some(incarnation));
                if !told {
                    let _ = first.try_send(kept);
                }
                break thread;
            }
            Err(StoreError::Disk(e)) if e.kind() == std::io::ErrorKind::WouldBlock => {
                // The other process of this node writes: what it has written can be read.
                if !told {
                    told = true;
                    let looked =
                        Store::inspect(&mut RealDisk::open_read_only(Path::new(&state.dir)), limits);
                    let kept = looked
                        .map(|(entries, ..)| believed(&entries, wall_ms(), false))
                        .unwrap_or_default();
                    let _ = first.try_send(kept);
                    log_event!(INFO, "state", "state.held");
                }
            }
            Err(e) => {
                log_event!(ERROR, "state", reason = e.to_string().as_str(), "state.unusable");
                let _ = first.try_send(Kept::default());
                return;
            }
        }
        // Until then words cannot be stored, and are told so.
        match jobs.recv_timeout(RETRY) {
            Ok(Job::Word { done, .. }) => {
                drop(
                    done.send(Err("another process of this node has the state; call that one".to_owned())),
                );
            }
            Ok(_) | Err(RecvTimeoutError::Timeout) => {}
            Err(RecvTimeoutError::Disconnected) => return,
        }
    };
    while let Ok(job) = jobs.recv() {
        if let Err(e) = thread.work(job) {
            set(&|c| c.failed += 1);
            log_event!(ERROR, "state", reason = e.to_string().as_str(), "state.failed");
        }
    }
}

/// The node's side of it.
pub struct Durable {
    jobs: RefCell<Option<SyncSender<Job>>>,
    condition: std::sync::Arc<std::sync::Mutex<Condition>>,
    told: Cell<Option<(Option<u64>, u64)>>,
    thread: RefCell<Option<std::thread::JoinHandle<()>>>,
}

impl Durable {
    /// Starts the thread and waits for what it finds, for so long as a start may.
    pub fn open(state: State) -> (Rc<Durable>, Kept) {
        let (jobs, work) = sync_channel(JOBS);
        let (first, found) = sync_channel(1);
        let condition = std::sync::Arc::new(std::sync::Mutex::new(Condition::default()));
        let own = condition.clone();
        let thread = std::thread::Builder::new()
            .name("state".to_owned())
            .spawn(move || run(&state, &first, &work, &own));
        let kept = match &thread {
            Ok(_) => found.recv_timeout(START_TIME),
            Err(_) => Err(RecvTimeoutError::Disconnected),
        };
        if kept.is_err() {
            log_event!(ERROR, "state", "state.slow_start");
        }
        let durable = Durable {
            jobs: RefCell::new(Some(jobs)),
            condition,
            told: Cell::new(None),
            thread: RefCell::new(thread.ok()),
        };
        (Rc::new(durable), kept.unwrap_or_default())
    }

    /// How the thread fares.
    pub fn condition(&self) -> Condition {
        *self.condition.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn give(&self, job: Job) -> Result<(), String> {
        let jobs = self.jobs.borrow();
        let jobs = jobs.as_ref().ok_or("the node is ending")?;
        jobs.try_send(job).map_err(|e| match e {
            TrySendError::Full(_) => "the disk does not keep up".to_owned(),
            TrySendError::Disconnected(_) => "the state cannot be used, as the log says".to_owned(),
        })
    }

    async fn word(&self, kind: &'static str, key: &str, value: Option<Vec<u8>>) -> Result<(), String> {
        let (done, stored) = oneshot::channel();
        self.give(Job::Word { kind, key: key.to_owned(), value, done })?;
        match tokio::time::timeout(WORD_TIME, stored).await {
            Ok(Ok(stored)) => stored,
            Ok(Err(_)) => Err("the state cannot be used, as the log says".to_owned()),
            // The thread finds that nobody waits any more, and puts back what was there.
            Err(_) => Err("the disk did not answer in time".to_owned()),
        }
    }

    /// Stores that a backend is out, or back.
    ///
    /// # Errors
    /// It is not on disk; nothing holds then.
    pub async fn cordon(&self, uid: &str, out: Option<&Cordon>) -> Result<(), String> {
        self.word(CORDON, uid, out.map(Cordon::value)).await
    }

    /// Stores that a zone is left, for how long where that is said, or that it may return.
    ///
    /// # Errors
    /// As above.
    pub async fn zone(&self, zone: &str, out: bool, left: Option<Duration>) -> Result<(), String> {
        let until = left.map(|left| {
            let ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
            wall_ms().saturating_add(ms).to_le_bytes().to_vec()
        });
        self.word(ZONE, zone, out.then(|| until.unwrap_or_default())).await
    }

    /// Stores who may release.
    ///
    /// # Errors
    /// As above.
    pub async fn lease(&self, holder: &str) -> Result<(), String> {
        self.word(LEASE, NODE, Some(holder.as_bytes().to_vec())).await
    }

    /// Stores that clients are sent away, or taken again.
    ///
    /// # Errors
    /// As above.
    pub async fn quiesce(&self, quiesced: bool) -> Result<(), String> {
        self.word(QUIESCE, NODE, quiesced.then(Vec::new)).await
    }

    /// These backends are out, and no others, as the processes of the node know it.
    pub fn cordons(&self, uids: Vec<String>) {
        // What cannot be stored now is, with the next change or the next start of this.
        let _ = self.give(Job::Cordons(uids));
    }

    /// Stores the list, where it is another one, and what was learned. Never waits.
    pub fn learned(&self, version: Option<u64>, turn: u64, list: impl FnOnce() -> String, learned: String) {
        let mut entries = vec![(LEARNED, learned)];
        if self.told.replace(Some((version, turn))).is_none_or(|(before, _)| before != version) {
            entries.push((LIST, list()));
        }
        let _ = self.give(Job::Learned(entries));
    }

    /// Ends the thread; what it was given is written first, for so long as an end may take.
    pub fn close(&self) {
        self.jobs.replace(None);
        let end = std::time::Instant::now() + WORD_TIME;
        let Some(thread) = self.thread.replace(None) else { return };
        while !thread.is_finished() && std::time::Instant::now() < end {
            std::thread::sleep(Duration::from_millis(2));
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
    fn a_word_that_was_answered_err_changes_nothing() {
        use daleturn_store::faults::{FaultDisk, Faults};
        let (store, _) = Store::open(FaultDisk::default(), Limits::default()).unwrap();
        let mut thread = Thread { store };
        let mut say = |uid: &str, out: bool, faults: Faults, waits: bool| {
            let (done, mut answer) = oneshot::channel();
            if !waits {
                answer.close();
            }
            thread.store.disk().faults = faults;
            let value = out.then(Vec::new);
            let _ = thread.work(Job::Word { kind: CORDON, key: uid.to_owned(), value, done });
            thread.store.of_kind(CORDON).map(|(uid, _)| uid.to_owned()).collect::<Vec<_>>()
        };
        let fine = Faults::default();
        assert_eq!(say("s-1", true, fine, true), ["s-1"]);
        // Said again by somebody who gave up: the first word stays.
        assert_eq!(say("s-1", true, fine, false), ["s-1"]);
        assert_eq!(say("s-1", false, fine, false), ["s-1"]);
        // Written, but not durable: told so, and not there with the next write either.
        assert_eq!(say("s-2", true, Faults { failing_syncs: 1, ..fine }, true), ["s-1"]);
    }

    #[test]
    fn a_word_holds_however_old_and_what_was_learned_only_while_it_is_fresh() {
        let now = 1_000_000_000_000_u64;
        let at = |age_ms: i64| believed(&entries(now.saturating_add_signed(-age_ms)), now, false);
        let word = |k: &Kept| k.cordons.keys().eq(["s-1"]) && k.quiesced;
        let fresh = at(1000);
        assert!(word(&fresh) && fresh.list.is_some() && fresh.learned.is_some());
        let hour = at(3_600_000);
        assert!(word(&hour) && hour.list.is_some() && hour.learned.is_none());
        let week = at(7 * 24 * 3_600_000);
        assert!(word(&week) && week.list.is_none() && week.learned.is_none());
        // A clock that went back by less than a minute explains it; more does not.
        let future = at(-30_000);
        assert!(word(&future) && future.learned.is_some());
        let far = at(-3_600_000);
        assert!(word(&far) && far.list.is_none() && far.learned.is_none());
        assert!(believed(&entries(now), now, true).learned.is_none(), "in a crash loop");
    }
}
