//! Disk faults for whole processes: a disk that obeys orders from a file, and keeps a course of what was done to it.
//! From the course [`simulate_power_loss`] draws what a machine that lost its power may find: a process that is killed
//! leaves more on its disk than a power loss would.
//!
//! The place of a rehearsal is a directory apart from the disk. `orders.json` in it holds [`FaultOrders`] and is read before
//! each operation; `course` is written to. It is for tests and drills, and grows up to [`MOST_COURSE`] bytes.

use crate::disk::Disk;
use crate::faults::FaultDisk;
use serde::{Deserialize, Serialize};
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// A course longer than this in bytes is not continued: what comes after it counts as never synced.
pub const MOST_COURSE: u64 = 256 << 20;
/// No single operation is longer.
const MOST_RECORD: usize = 128 << 20;

/// What is wrong with the disk now.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultOrders {
    /// Each sync takes so much longer, in milliseconds.
    pub sync_ms: u64,
    /// There is no room: nothing is appended.
    pub full: bool,
    /// Syncs fail, and what they were to make durable is lost.
    pub broken: bool,
    /// Nothing can be written.
    pub read_only: bool,
}

/// An operation, as the course has it.
#[derive(Clone, Debug, Serialize, Deserialize)]
enum Step {
    Append { name: String, bytes: Vec<u8> },
    Truncate { name: String, length: u64 },
    Rename { from: String, to: String },
    Remove { name: String },
    Synced { name: String },
    SyncFailed { name: String },
    NamesSynced,
}

/// A disk under orders.
#[derive(Debug)]
pub struct ScriptedFaultDisk<D> {
    disk: D,
    orders: PathBuf,
    course: File,
    length: u64,
}

const ORDERS: &str = "orders.json";
const COURSE: &str = "course";

/// Gives orders to the disk that is rehearsed with at `place`.
///
/// # Errors
/// The file cannot be written.
pub fn write_orders(place: &Path, orders: FaultOrders) -> io::Result<()> {
    fs::create_dir_all(place)?;
    // In one step: the process reads at any moment.
    static NEXT: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(0);
    let number = NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    let draft = place.join(format!("orders.{number}"));
    fs::write(&draft, serde_json::to_vec(&orders)?)?;
    fs::rename(draft, place.join(ORDERS))
}

fn put(course: &mut File, step: &Step) -> io::Result<u64> {
    let payload = postcard::to_stdvec(step).map_err(io::Error::other)?;
    let mut bytes = u32::try_from(payload.len()).map_err(io::Error::other)?.to_le_bytes().to_vec();
    bytes.extend(payload);
    course.write_all(&bytes)?;
    Ok(bytes.len() as u64)
}

impl<D: Disk> ScriptedFaultDisk<D> {
    /// Puts a disk under the orders of a place, which is made where it is missing.
    ///
    /// # Errors
    /// The place cannot be made or written.
    pub fn new(disk: D, place: &Path) -> io::Result<ScriptedFaultDisk<D>> {
        fs::create_dir_all(place)?;
        let course = OpenOptions::new().create(true).append(true).open(place.join(COURSE))?;
        let length = course.metadata()?.len();
        Ok(ScriptedFaultDisk { disk, orders: place.join(ORDERS), course, length })
    }

    fn orders(&self) -> FaultOrders {
        // Where there are none, or none that can be read, nothing is wrong.
        fs::read(&self.orders).ok().and_then(|b| serde_json::from_slice(&b).ok()).unwrap_or_default()
    }

    fn note(&mut self, step: &Step) -> io::Result<()> {
        if self.length < MOST_COURSE {
            self.length += put(&mut self.course, step)?;
        }
        Ok(())
    }

    fn writable(&self) -> io::Result<FaultOrders> {
        let orders = self.orders();
        if orders.read_only { Err(io::ErrorKind::ReadOnlyFilesystem.into()) } else { Ok(orders) }
    }
}

impl<D: Disk> Disk for ScriptedFaultDisk<D> {
    fn list(&mut self) -> io::Result<Vec<String>> {
        self.disk.list()
    }

    fn read(&mut self, name: &str, limit: usize) -> io::Result<Vec<u8>> {
        self.disk.read(name, limit)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        if self.writable()?.full {
            return Err(io::ErrorKind::StorageFull.into());
        }
        // Before it is done: a process that dies in between may or may not have done it.
        self.note(&Step::Append { name: name.to_owned(), bytes: bytes.to_vec() })?;
        self.disk.append(name, bytes)
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.writable()?;
        self.note(&Step::Truncate { name: name.to_owned(), length })?;
        self.disk.truncate(name, length)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let orders = self.writable()?;
        std::thread::sleep(Duration::from_millis(orders.sync_ms));
        if orders.broken {
            self.note(&Step::SyncFailed { name: name.to_owned() })?;
            return Err(io::Error::other("EIO, as ordered"));
        }
        self.disk.sync(name)?;
        self.note(&Step::Synced { name: name.to_owned() })
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.writable()?;
        self.note(&Step::Rename { from: from.to_owned(), to: to.to_owned() })?;
        self.disk.rename(from, to)
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.writable()?;
        self.note(&Step::Remove { name: name.to_owned() })?;
        self.disk.remove(name)
    }

    fn sync_names(&mut self) -> io::Result<()> {
        let orders = self.writable()?;
        std::thread::sleep(Duration::from_millis(orders.sync_ms));
        if orders.broken {
            return Err(io::Error::other("EIO, as ordered"));
        }
        self.disk.sync_names()?;
        self.note(&Step::NamesSynced)
    }
}

/// The steps of a course; one that its process died in is left out.
fn steps(bytes: &[u8]) -> impl Iterator<Item = Step> + '_ {
    let mut left = bytes;
    std::iter::from_fn(move || {
        let (length, rest) = left.split_first_chunk::<4>()?;
        let length = u32::from_le_bytes(*length) as usize;
        let payload = rest.get(..length).filter(|_| length <= MOST_RECORD)?;
        left = &rest[length..];
        postcard::from_bytes(payload).ok()
    })
}

fn replayed(bytes: &[u8]) -> FaultDisk {
    let mut disk = FaultDisk::default();
    for step in steps(bytes) {
        // What the real disk turned down, this one turns down as well, and goes on.
        let _ = match step {
            Step::Append { name, bytes } => disk.append(&name, &bytes),
            Step::Truncate { name, length } => disk.truncate(&name, length),
            Step::Rename { from, to } => disk.rename(&from, &to),
            Step::Remove { name } => disk.remove(&name),
            Step::Synced { name } => disk.sync(&name),
            Step::SyncFailed { name } => {
                disk.faults.failing_syncs = 1;
                disk.sync(&name)
            }
            Step::NamesSynced => disk.sync_names(),
        };
    }
    disk
}

/// Leaves a directory as a machine that lost its power may find it, by the course of its rehearsal; `draw(n)` picks one
/// of n. The process that wrote must be gone. Files that the course does not know stay as they are, and the course
/// begins anew with what is left.
///
/// # Errors
/// A file cannot be read or written.
pub fn simulate_power_loss(dir: &Path, place: &Path, draw: impl FnMut(usize) -> usize) -> io::Result<()> {
    let path = place.join(COURSE);
    let mut bytes = Vec::new();
    match File::open(&path) {
        Ok(file) => drop(file.take(2 * MOST_COURSE).read_to_end(&mut bytes)?),
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(()),
        Err(e) => return Err(e),
    }
    let mut before = replayed(&bytes);
    let mut after = before.after_power_loss(draw);
    let known = before.list()?.into_iter().chain(steps(&bytes).flat_map(names));
    for name in known.collect::<std::collections::BTreeSet<_>>() {
        match fs::remove_file(dir.join(&name)) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
            _ => {}
        }
    }
    let mut course = File::create(&path)?;
    for name in after.list()? {
        let content = after.read(&name, usize::MAX)?;
        fs::write(dir.join(&name), &content)?;
        put(&mut course, &Step::Append { name: name.clone(), bytes: content })?;
        put(&mut course, &Step::Synced { name })?;
    }
    put(&mut course, &Step::NamesSynced)?;
    Ok(())
}

fn names(step: Step) -> Vec<String> {
    match step {
        Step::Append { name, .. }
        | Step::Truncate { name, .. }
        | Step::Remove { name }
        | Step::Synced { name }
        | Step::SyncFailed { name } => vec![name],
        Step::Rename { from, to } => vec![from, to],
        Step::NamesSynced => Vec::new(),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{Entry, Limits, RealDisk, Store};

    fn scratch(name: &str) -> (PathBuf, PathBuf) {
        let base = std::env::temp_dir().join(format!("daleturn-rehearse-{name}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&base);
        fs::create_dir_all(&base).unwrap();
        (base.join("disk"), base.join("place"))
    }

    fn open(dir: &Path, place: &Path) -> Store<ScriptedFaultDisk<RealDisk>> {
        let disk = ScriptedFaultDisk::new(RealDisk::open(dir).unwrap(), place).unwrap();
        Store::open(disk, Limits::default()).unwrap().0
    }

    fn entry(n: u64) -> Entry {
        Entry { written_ms: n, value: n.to_le_bytes().to_vec() }
    }

    #[test]
    fn what_was_synced_outlives_a_power_loss_and_what_was_not_may_go() {
        let mut came = 0;
        for seed in 0..40 {
            let mut rng = fastrand::Rng::with_seed(seed);
            let (dir, place) = scratch("loss");
            for round in 0..3 {
                let mut store = open(&dir, &place);
                // What was durable in the rounds before is there, whatever those lost.
                for old in 0..round {
                    assert_eq!(store.get("word", &format!("{old}")), Some(&entry(old)), "seed {seed}");
                }
                store.put("word", &format!("{round}"), entry(round)).unwrap();
                store.sync().unwrap();
                // As a process leaves it that dies between a write and its sync.
                store.disk().append("open", &[round as u8]).unwrap();
                drop(store);
                simulate_power_loss(&dir, &place, |n| rng.usize(0..n)).unwrap();
            }
            came += usize::from(fs::read(dir.join("open")).is_ok_and(|open| open == [0, 1, 2]));
        }
        assert!((1..40).contains(&came), "what was not synced comes and goes: {came} of 40 came");
    }

    #[test]
    fn orders_are_obeyed_while_they_stand() {
        let (dir, place) = scratch("orders");
        let mut store = open(&dir, &place);
        let kind = |e: crate::StoreError| match e {
            crate::StoreError::Disk(e) => e.kind(),
            e => panic!("{e}"),
        };
        write_orders(&place, FaultOrders { full: true, ..FaultOrders::default() }).unwrap();
        let mut kept = || store.put("k", "a", entry(1)).and_then(|()| store.sync());
        assert_eq!(kind(kept().unwrap_err()), io::ErrorKind::StorageFull);
        write_orders(&place, FaultOrders { read_only: true, ..FaultOrders::default() }).unwrap();
        assert_eq!(kind(kept().unwrap_err()), io::ErrorKind::ReadOnlyFilesystem);
        write_orders(&place, FaultOrders { broken: true, ..FaultOrders::default() }).unwrap();
        kept().unwrap_err();
        write_orders(&place, FaultOrders::default()).unwrap();
        kept().unwrap();
        drop(store);
        simulate_power_loss(&dir, &place, |_| 0).unwrap();
        assert_eq!(open(&dir, &place).get("k", "a"), Some(&entry(1)));
    }
}
