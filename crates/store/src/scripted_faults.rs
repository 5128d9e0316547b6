//! Disk faults for a whole process: a disk that injects the faults ordered by a file and logs its
//! operations. From the log [`simulate_power_loss`] derives what a machine may find on its disk after
//! losing power. Killing the process is not enough to test that: the page cache survives the process.
//!
//! The files are in a control directory apart from the disk. `orders.json` holds [`FaultOrders`] and is
//! read before each operation that changes the disk; `course` is the operation log, which grows up to
//! [`MAX_LOG_BYTES`]. For tests and drills only.

use crate::disk::Disk;
use crate::faults::FaultDisk;
use serde::{Deserialize, Serialize};
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Maximum size of the operation log, in bytes. Operations beyond it are not logged and count as never synced.
pub const MAX_LOG_BYTES: u64 = 256 << 20;
/// Maximum size of a logged operation, in bytes.
const MAX_OPERATION_BYTES: usize = 128 << 20;

/// Faults that the disk injects.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultOrders {
    /// Additional duration of each sync, in milliseconds.
    pub sync_ms: u64,
    /// Appending fails with "no space left".
    pub full: bool,
    /// Syncing fails, and the data to be synced is lost after a power loss.
    pub broken: bool,
    /// All writing fails.
    pub read_only: bool,
}

/// An operation, as recorded in the operation log.
#[derive(Clone, Debug, Serialize, Deserialize)]
enum Operation {
    Append { name: String, bytes: Vec<u8> },
    Truncate { name: String, length: u64 },
    Rename { from: String, to: String },
    Remove { name: String },
    Synced { name: String },
    SyncFailed { name: String },
    NamesSynced,
}

/// A disk that injects the faults of a control directory.
#[derive(Debug)]
pub struct ScriptedFaultDisk<D> {
    disk: D,
    orders_file: PathBuf,
    log: File,
    log_bytes: u64,
}

/// Name of the file that holds the ordered faults.
const ORDERS_FILE: &str = "orders.json";
/// Name of the operation log.
const LOG_FILE: &str = "course";

/// Writes the faults for the disk that is controlled by this directory.
///
/// # Errors
/// Returns an error if the file cannot be written.
pub fn write_orders(control_dir: &Path, orders: FaultOrders) -> io::Result<()> {
    fs::create_dir_all(control_dir)?;
    // The file is replaced atomically, since the process may read it at any moment.
    static NEXT: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(0);
    let number = NEXT.fetch_add(1, std::sync::atomic::Ordering::Relaxed);
    let draft = control_dir.join(format!("orders.{number}"));
    fs::write(&draft, serde_json::to_vec(&orders)?)?;
    fs::rename(draft, control_dir.join(ORDERS_FILE))
}

/// Appends an operation to the log, preceded by its length, and returns the number of bytes.
fn append_operation(log: &mut File, operation: &Operation) -> io::Result<u64> {
    let payload = postcard::to_stdvec(operation).map_err(io::Error::other)?;
    let mut bytes = u32::try_from(payload.len()).map_err(io::Error::other)?.to_le_bytes().to_vec();
    bytes.extend(payload);
    log.write_all(&bytes)?;
    Ok(bytes.len() as u64)
}

impl<D: Disk> ScriptedFaultDisk<D> {
    /// Wraps a disk. The control directory is created if it does not exist.
    ///
    /// # Errors
    /// Returns an error if the control directory cannot be created or written.
    pub fn new(disk: D, control_dir: &Path) -> io::Result<ScriptedFaultDisk<D>> {
        fs::create_dir_all(control_dir)?;
        let log = OpenOptions::new().create(true).append(true).open(control_dir.join(LOG_FILE))?;
        let log_bytes = log.metadata()?.len();
        Ok(ScriptedFaultDisk { disk, orders_file: control_dir.join(ORDERS_FILE), log, log_bytes })
    }

    /// Returns the current faults.
    fn orders(&self) -> FaultOrders {
        // No faults are injected if the file is missing or invalid.
        fs::read(&self.orders_file).ok().and_then(|b| serde_json::from_slice(&b).ok()).unwrap_or_default()
    }

    /// Appends an operation to the log unless the log is full.
    fn log_operation(&mut self, operation: &Operation) -> io::Result<()> {
        if self.log_bytes < MAX_LOG_BYTES {
            self.log_bytes += append_operation(&mut self.log, operation)?;
        }
        Ok(())
    }

    /// Returns the current faults, or an error if nothing can be written.
    fn orders_if_writable(&self) -> io::Result<FaultOrders> {
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
        if self.orders_if_writable()?.full {
            return Err(io::ErrorKind::StorageFull.into());
        }
        // Logged before the operation: a process that dies in between may or may not have done it.
        self.log_operation(&Operation::Append { name: name.to_owned(), bytes: bytes.to_vec() })?;
        self.disk.append(name, bytes)
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.orders_if_writable()?;
        self.log_operation(&Operation::Truncate { name: name.to_owned(), length })?;
        self.disk.truncate(name, length)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        let orders = self.orders_if_writable()?;
        std::thread::sleep(Duration::from_millis(orders.sync_ms));
        if orders.broken {
            self.log_operation(&Operation::SyncFailed { name: name.to_owned() })?;
            return Err(io::Error::other("EIO, as ordered"));
        }
        self.disk.sync(name)?;
        self.log_operation(&Operation::Synced { name: name.to_owned() })
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.orders_if_writable()?;
        self.log_operation(&Operation::Rename { from: from.to_owned(), to: to.to_owned() })?;
        self.disk.rename(from, to)
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.orders_if_writable()?;
        self.log_operation(&Operation::Remove { name: name.to_owned() })?;
        self.disk.remove(name)
    }

    fn sync_names(&mut self) -> io::Result<()> {
        let orders = self.orders_if_writable()?;
        std::thread::sleep(Duration::from_millis(orders.sync_ms));
        if orders.broken {
            return Err(io::Error::other("EIO, as ordered"));
        }
        self.disk.sync_names()?;
        self.log_operation(&Operation::NamesSynced)
    }
}

/// Returns the operations of a log. An incomplete one at its end is left out.
fn operations(bytes: &[u8]) -> impl Iterator<Item = Operation> + '_ {
    let mut remaining = bytes;
    std::iter::from_fn(move || {
        let (length, rest) = remaining.split_first_chunk::<4>()?;
        let length = u32::from_le_bytes(*length) as usize;
        let payload = rest.get(..length).filter(|_| length <= MAX_OPERATION_BYTES)?;
        remaining = &rest[length..];
        postcard::from_bytes(payload).ok()
    })
}

/// Carries out the logged operations on an in-memory disk.
fn replay(bytes: &[u8]) -> FaultDisk {
    let mut disk = FaultDisk::default();
    for operation in operations(bytes) {
        // An operation that failed on the real disk fails here as well and has no effect.
        let _ = match operation {
            Operation::Append { name, bytes } => disk.append(&name, &bytes),
            Operation::Truncate { name, length } => disk.truncate(&name, length),
            Operation::Rename { from, to } => disk.rename(&from, &to),
            Operation::Remove { name } => disk.remove(&name),
            Operation::Synced { name } => disk.sync(&name),
            Operation::SyncFailed { name } => {
                disk.faults.failing_syncs = 1;
                disk.sync(&name)
            }
            Operation::NamesSynced => disk.sync_names(),
        };
    }
    disk
}

/// Changes a directory to a state in which a machine may find it after a power loss, according to the
/// operation log. `draw(n)` chooses one of `n` possibilities. The process that wrote the log must have
/// ended. Files that the log does not mention are left unchanged. The log is replaced by one that describes
/// the new state.
///
/// # Errors
/// Returns an error if a file cannot be read or written.
pub fn simulate_power_loss(
    dir: &Path,
    control_dir: &Path,
    draw: impl FnMut(usize) -> usize,
) -> io::Result<()> {
    let path = control_dir.join(LOG_FILE);
    let mut bytes = Vec::new();
    match File::open(&path) {
        Ok(file) => drop(file.take(2 * MAX_LOG_BYTES).read_to_end(&mut bytes)?),
        Err(e) if e.kind() == io::ErrorKind::NotFound => return Ok(()),
        Err(e) => return Err(e),
    }
    let mut before = replay(&bytes);
    let mut after = before.after_power_loss(draw);
    let mentioned = before.list()?.into_iter().chain(operations(&bytes).flat_map(file_names));
    for name in mentioned.collect::<std::collections::BTreeSet<_>>() {
        match fs::remove_file(dir.join(&name)) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
            _ => {}
        }
    }
    let mut log = File::create(&path)?;
    for name in after.list()? {
        let content = after.read(&name, usize::MAX)?;
        fs::write(dir.join(&name), &content)?;
        append_operation(&mut log, &Operation::Append { name: name.clone(), bytes: content })?;
        append_operation(&mut log, &Operation::Synced { name })?;
    }
    append_operation(&mut log, &Operation::NamesSynced)?;
    Ok(())
}

/// Returns the names of the files that an operation concerns.
fn file_names(operation: Operation) -> Vec<String> {
    match operation {
        Operation::Append { name, .. }
        | Operation::Truncate { name, .. }
        | Operation::Remove { name }
        | Operation::Synced { name }
        | Operation::SyncFailed { name } => vec![name],
        Operation::Rename { from, to } => vec![from, to],
        Operation::NamesSynced => Vec::new(),
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
        (base.join("disk"), base.join("control_dir"))
    }

    fn open(dir: &Path, control_dir: &Path) -> Store<ScriptedFaultDisk<RealDisk>> {
        let disk = ScriptedFaultDisk::new(RealDisk::open(dir).unwrap(), control_dir).unwrap();
        Store::open(disk, Limits::default()).unwrap().0
    }

    fn entry(n: u64) -> Entry {
        Entry { written_ms: n, value: n.to_le_bytes().to_vec() }
    }

    #[test]
    fn synced_entries_survive_a_power_loss_and_unsynced_writes_may_be_lost() {
        let mut survived = 0;
        for seed in 0..40 {
            let mut rng = fastrand::Rng::with_seed(seed);
            let (dir, control_dir) = scratch("loss");
            for round in 0..3 {
                let mut store = open(&dir, &control_dir);
                // Entries synced in earlier rounds are still present.
                for old in 0..round {
                    assert_eq!(store.get("word", &format!("{old}")), Some(&entry(old)), "seed {seed}");
                }
                store.put("word", &format!("{round}"), entry(round)).unwrap();
                store.sync().unwrap();
                // A write without a sync, as left by a process that dies in between.
                store.disk().append("open", &[round as u8]).unwrap();
                drop(store);
                simulate_power_loss(&dir, &control_dir, |n| rng.usize(0..n)).unwrap();
            }
            survived += usize::from(fs::read(dir.join("open")).is_ok_and(|open| open == [0, 1, 2]));
        }
        assert!((1..40).contains(&survived), "unsynced writes survive in some runs: {survived} of 40");
    }

    #[test]
    fn faults_are_injected_while_they_are_ordered() {
        let (dir, control_dir) = scratch("orders");
        let mut store = open(&dir, &control_dir);
        let kind = |e: crate::StoreError| match e {
            crate::StoreError::Disk(e) => e.kind(),
            e => panic!("{e}"),
        };
        write_orders(&control_dir, FaultOrders { full: true, ..FaultOrders::default() }).unwrap();
        let mut put_and_sync = || store.put("k", "a", entry(1)).and_then(|()| store.sync());
        assert_eq!(kind(put_and_sync().unwrap_err()), io::ErrorKind::StorageFull);
        write_orders(&control_dir, FaultOrders { read_only: true, ..FaultOrders::default() }).unwrap();
        assert_eq!(kind(put_and_sync().unwrap_err()), io::ErrorKind::ReadOnlyFilesystem);
        write_orders(&control_dir, FaultOrders { broken: true, ..FaultOrders::default() }).unwrap();
        put_and_sync().unwrap_err();
        write_orders(&control_dir, FaultOrders::default()).unwrap();
        put_and_sync().unwrap();
        drop(store);
        simulate_power_loss(&dir, &control_dir, |_| 0).unwrap();
        assert_eq!(open(&dir, &control_dir).get("k", "a"), Some(&entry(1)));
    }
}
