//! A disk in memory that fails on demand and loses power: what was synced is kept apart from what was not, and of the
//! latter any part may be there afterwards.

use crate::disk::Disk;
use std::collections::BTreeMap;
use std::io;

/// A change to a file's content that is not durable yet.
#[derive(Clone, Debug)]
enum Change {
    Write { at: usize, bytes: Vec<u8> },
    Cut(usize),
}

#[derive(Clone, Debug, Default)]
struct File {
    durable: Vec<u8>,
    now: Vec<u8>,
    since: Vec<Change>,
}

/// A change of names that is not durable yet.
#[derive(Clone, Debug)]
enum Naming {
    Made(String, usize),
    Renamed(String, String, usize),
    Removed(String),
}

/// What fails next.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// There is room for so many bytes more.
    pub free_bytes: Option<usize>,
    /// Syncing a file fails this many times; what was not durable then is lost, though it can still be read.
    pub failing_syncs: u32,
    /// Nothing can be written.
    pub read_only: bool,
    /// Reading fails.
    pub unreadable: bool,
}

/// The disk.
#[derive(Clone, Debug, Default)]
pub struct FaultDisk {
    files: Vec<File>,
    names: BTreeMap<String, usize>,
    durable: BTreeMap<String, usize>,
    naming: Vec<Naming>,
    /// What fails.
    pub faults: Faults,
    /// Operations left until power is lost; none for never.
    pub power: Option<u64>,
    /// Operations so far.
    pub operations: u64,
}

fn lost() -> io::Error {
    io::Error::other("power lost")
}

impl FaultDisk {
    fn operate(&mut self) -> io::Result<()> {
        self.operations += 1;
        match &mut self.power {
            Some(0) => Err(lost()),
            Some(n) => {
                *n -= 1;
                Ok(())
            }
            None => Ok(()),
        }
    }

    fn written(&mut self) -> io::Result<()> {
        self.operate()?;
        if self.faults.read_only { Err(io::ErrorKind::ReadOnlyFilesystem.into()) } else { Ok(()) }
    }

    fn index(&self, name: &str) -> io::Result<usize> {
        self.names.get(name).copied().ok_or_else(|| io::ErrorKind::NotFound.into())
    }

    /// The disk as the next start may find it. `draw(n)` picks one of n possibilities, for each change that was not
    /// durable: whether it is there, and how much of it.
    pub fn after_power_loss(&self, mut draw: impl FnMut(usize) -> usize) -> FaultDisk {
        let mut names = self.durable.clone();
        // Names may come in any subset; each by itself is whole.
        for change in &self.naming {
            if draw(2) == 0 {
                continue;
            }
            match change {
                Naming::Made(name, file) => drop(names.insert(name.clone(), *file)),
                Naming::Renamed(from, to, file) => {
                    names.remove(from);
                    names.insert(to.clone(), *file);
                }
                Naming::Removed(name) => drop(names.remove(name)),
            }
        }
        let files = self.files.iter().map(|file| {
            let mut content = file.durable.clone();
            for change in &file.since {
                match change {
                    Change::Write { at, bytes } => {
                        // Not there, torn at any byte, or whole; before it there may be a hole.
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
                    Change::Cut(length) => {
                        if draw(2) == 1 {
                            content.truncate(*length);
                        }
                    }
                }
            }
            File { durable: content.clone(), now: content, since: Vec::new() }
        });
        FaultDisk { files: files.collect(), durable: names.clone(), names, ..FaultDisk::default() }
    }

    /// Changes a byte of a file, as a bad disk would.
    pub fn spoil(&mut self, name: &str, at: usize) {
        if let Ok(i) = self.index(name)
            && let Some(byte) = self.files[i].now.get_mut(at)
        {
            *byte ^= 0x55;
        }
    }

    /// A file's length.
    pub fn length(&self, name: &str) -> usize {
        self.index(name).map_or(0, |i| self.files[i].now.len())
    }
}

impl Disk for FaultDisk {
    fn list(&mut self) -> io::Result<Vec<String>> {
        self.operate()?;
        if self.faults.unreadable {
            Err(io::Error::other("EIO"))
        } else {
            Ok(self.names.keys().cloned().collect())
        }
    }

    fn read(&mut self, name: &str, limit: usize) -> io::Result<Vec<u8>> {
        self.operate()?;
        if self.faults.unreadable {
            return Err(io::Error::other("EIO"));
        }
        let content = &self.files[self.index(name)?].now;
        Ok(content[..content.len().min(limit)].to_vec())
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.written()?;
        let i = match self.names.get(name) {
            Some(i) => *i,
            None => {
                self.files.push(File::default());
                let i = self.files.len() - 1;
                self.names.insert(name.to_owned(), i);
                self.naming.push(Naming::Made(name.to_owned(), i));
                i
            }
        };
        let fits = self.faults.free_bytes.map_or(bytes.len(), |free_bytes| free_bytes.min(bytes.len()));
        if let Some(free_bytes) = &mut self.faults.free_bytes {
            *free_bytes -= fits;
        }
        let file = &mut self.files[i];
        let at = file.now.len();
        file.now.extend_from_slice(&bytes[..fits]);
        file.since.push(Change::Write { at, bytes: bytes[..fits].to_vec() });
        if fits < bytes.len() { Err(io::ErrorKind::StorageFull.into()) } else { Ok(()) }
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.written()?;
        let i = self.index(name)?;
        let length = usize::try_from(length).unwrap_or(usize::MAX);
        self.files[i].now.truncate(length);
        self.files[i].since.push(Change::Cut(length));
        Ok(())
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.written()?;
        let i = self.index(name)?;
        let file = &mut self.files[i];
        if self.faults.failing_syncs > 0 {
            self.faults.failing_syncs -= 1;
            // What was not durable is dropped by the system and will not become so, whatever later syncs say.
            file.since.clear();
            return Err(io::Error::other("EIO"));
        }
        for change in std::mem::take(&mut file.since) {
            match change {
                Change::Write { at, bytes } => {
                    let end = at + bytes.len();
                    if file.durable.len() < end {
                        file.durable.resize(end, 0);
                    }
                    file.durable[at..end].copy_from_slice(&bytes);
                }
                Change::Cut(length) => file.durable.truncate(length),
            }
        }
        Ok(())
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.written()?;
        let i = self.index(from)?;
        self.names.remove(from);
        self.names.insert(to.to_owned(), i);
        self.naming.push(Naming::Renamed(from.to_owned(), to.to_owned(), i));
        Ok(())
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.written()?;
        self.index(name)?;
        self.names.remove(name);
        self.naming.push(Naming::Removed(name.to_owned()));
        Ok(())
    }

    fn sync_names(&mut self) -> io::Result<()> {
        self.written()?;
        self.durable = self.names.clone();
        self.naming.clear();
        Ok(())
    }
}
