//! An in-memory disk for tests that injects errors and simulates power loss. It keeps durable data apart
//! from data that is not synced yet, any part of which may survive a power loss.

use crate::disk::Disk;
use std::collections::BTreeMap;
use std::io;

/// A change of a file's content that is not durable yet.
#[derive(Clone, Debug)]
enum Change {
    Write { at: usize, bytes: Vec<u8> },
    Truncate(usize),
}

/// A file's content: what is durable, what is read, and the changes between the two.
#[derive(Clone, Debug, Default)]
struct File {
    durable: Vec<u8>,
    current: Vec<u8>,
    unsynced: Vec<Change>,
}

/// A change of file names that is not durable yet.
#[derive(Clone, Debug)]
enum NameChange {
    Created(String, usize),
    Renamed(String, String, usize),
    Removed(String),
}

/// Faults to inject.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Remaining space in bytes; `None` for no limit.
    pub free_bytes: Option<usize>,
    /// Number of file syncs that will fail. Data that was not durable at that time is lost after a power
    /// loss, although it can be read before.
    pub failing_syncs: u32,
    /// All writing fails.
    pub read_only: bool,
    /// All reading fails.
    pub unreadable: bool,
}

/// An in-memory disk.
#[derive(Clone, Debug, Default)]
pub struct FaultDisk {
    files: Vec<File>,
    /// Files by their current names.
    names: BTreeMap<String, usize>,
    /// Files by their durable names.
    durable_names: BTreeMap<String, usize>,
    /// Changes of names since the last sync of names.
    unsynced_names: Vec<NameChange>,
    /// Faults to inject.
    pub faults: Faults,
    /// Number of operations until power is lost; `None` for never.
    pub operations_until_power_loss: Option<u64>,
    /// Number of operations so far.
    pub operations: u64,
}

fn power_lost() -> io::Error {
    io::Error::other("power lost")
}

impl FaultDisk {
    /// Counts an operation. Fails once power is lost.
    fn begin_operation(&mut self) -> io::Result<()> {
        self.operations += 1;
        match &mut self.operations_until_power_loss {
            Some(0) => Err(power_lost()),
            Some(n) => {
                *n -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }

    /// Counts an operation that writes. Fails on a read-only disk as well.
    fn begin_write(&mut self) -> io::Result<()> {
        self.begin_operation()?;
        if self.faults.read_only { Err(io::ErrorKind::ReadOnlyFilesystem.into()) } else { Ok(()) }
    }

    fn index(&self, name: &str) -> io::Result<usize> {
        self.names.get(name).copied().ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    /// Returns the disk as it may be found after a power loss. For each change that was not durable,
    /// `draw(n)` chooses one of `n` possibilities: whether the change survives, and how much of it.
    pub fn after_power_loss(&self, mut draw: impl FnMut(usize) -> usize) -> FaultDisk {
        let mut names = self.durable_names.clone();
        // Any subset of the name changes may survive; each is atomic.
        for change in &self.unsynced_names {
            if draw(2) == 0 {
                continue;
            }
            match change {
                NameChange::Created(name, file) => drop(names.insert(name.clone(), *file)),
                NameChange::Renamed(from, to, file) => {
                    names.remove(from);
                    names.insert(to.clone(), *file);
                }
                NameChange::Removed(name) => drop(names.remove(name)),
            }
        }
        let files = self.files.iter().map(|file| {
            let mut content = file.durable.clone();
            for change in &file.unsynced {
                match change {
                    Change::Write { at, bytes } => {
                        // The write is lost, cut off at any byte, or complete. If an earlier write was
                        // lost, zeros take its place.
                        let kept = match draw(3) {
                            0 => 0,
                            1 => draw(bytes.len() + 1),
                            _ => bytes.len(),
                        };
                        if kept > 0 {
                            let end = at + kept;
                            if content.len() < end {
                                content.resize(end, 0);
                            }
                            content[*at..end].copy_from_slice(&bytes[..kept]);
                        }
                    }
                    Change::Truncate(length) => {
                        if draw(2) == 1 {
                            content.truncate(*length);
                        }
                    }
                }
            }
            File { durable: content.clone(), current: content, unsynced: Vec::new() }
        });
        FaultDisk { files: files.collect(), durable_names: names.clone(), names, ..FaultDisk::default() }
    }

    /// Flips bits of one byte of a file, as a faulty disk would.
    pub fn corrupt_byte(&mut self, name: &str, at: usize) {
        if let Ok(i) = self.index(name)
            && let Some(byte) = self.files[i].current.get_mut(at)
        {
            *byte ^= 0x55;
        }
    }

    /// Returns a file's length in bytes; 0 if it does not exist.
    pub fn length(&self, name: &str) -> usize {
        self.index(name).map_or(0, |i| self.files[i].current.len())
    }
}

impl Disk for FaultDisk {
    fn list(&mut self) -> io::Result<Vec<String>> {
        self.begin_operation()?;
        if self.faults.unreadable {
            Err(io::Error::other("EIO"))
        } else {
            Ok(self.names.keys().cloned().collect())
        }
    }

    fn read(&mut self, name: &str, limit: usize) -> io::Result<Vec<u8>> {
        self.begin_operation()?;
        if self.faults.unreadable {
            return Err(io::Error::other("EIO"));
        }
        let content = &self.files[self.index(name)?].current;
        Ok(content[..content.len().min(limit)].to_vec())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.begin_write()?;
        let i = match self.names.get(name) {
            Some(i) => *i,
            None => {
                self.files.push(File::default());
                let i = self.files.len() - 1;
                self.names.insert(name.to_owned(), i);
                self.unsynced_names.push(NameChange::Created(name.to_owned(), i));
                i
            }
        };
        let fits = self.faults.free_bytes.map_or(bytes.len(), |free_bytes| free_bytes.min(bytes.len()));
        if let Some(free_bytes) = &mut self.faults.free_bytes {
            *free_bytes -= fits;
        }
        let file = &mut self.files[i];
        let at = file.current.len();
        file.current.extend_from_slice(&bytes[..fits]);
        file.unsynced.push(Change::Write { at, bytes: bytes[..fits].to_vec() });
        if fits < bytes.len() { Err(io::ErrorKind::StorageFull.into()) } else { Ok(()) }
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.begin_write()?;
        let i = self.index(name)?;
        let length = usize::try_from(length).unwrap_or(usize::MAX);
        self.files[i].current.truncate(length);
        self.files[i].unsynced.push(Change::Truncate(length));
        Ok(())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.begin_write()?;
        let i = self.index(name)?;
        let file = &mut self.files[i];
        if self.faults.failing_syncs > 0 {
            self.faults.failing_syncs -= 1;
            // As on Linux, a failed sync drops the unsynced data: later syncs succeed without writing it.
            file.unsynced.clear();
            return Err(io::Error::other("EIO"));
        }
        for change in std::mem::take(&mut file.unsynced) {
            match change {
                Change::Write { at, bytes } => {
                    let end = at + bytes.len();
                    if file.durable.len() < end {
                        file.durable.resize(end, 0);
                    }
                    file.durable[at..end].copy_from_slice(&bytes);
                }
                Change::Truncate(length) => file.durable.truncate(length),
            }
        }
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.begin_write()?;
        let i = self.index(from)?;
        self.names.remove(from);
        self.names.insert(to.to_owned(), i);
        self.unsynced_names.push(NameChange::Renamed(from.to_owned(), to.to_owned(), i));
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.begin_write()?;
        self.index(name)?;
        self.names.remove(name);
        self.unsynced_names.push(NameChange::Removed(name.to_owned()));
        Ok(())
    }

    fn sync_names(&mut self) -> io::Result<()> {
        self.begin_write()?;
        self.durable_names = self.names.clone();
        self.unsynced_names.clear();
        Ok(())
    }
}
