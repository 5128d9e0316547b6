//! All that the store does with files, as one trait: a flat directory of files that are appended to, read whole,
//! renamed and removed.

use std::collections::HashMap;
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

/// A directory of files.
pub trait Disk {
    /// The names in it.
    ///
    /// # Errors
    /// The directory cannot be read.
    fn list(&mut self) -> io::Result<Vec<String>>;
    /// A file's content, of which no more than `limit` bytes are read.
    ///
    /// # Errors
    /// It is not there, or cannot be read.
    fn read(&mut self, name: &str, limit: usize) -> io::Result<Vec<u8>>;
    /// Adds to the end of a file, which is made where it is missing. Not durable before [`Disk::sync`].
    ///
    /// # Errors
    /// There is no room, or no permission; part of it may be there.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Cuts a file to `length`. Not durable before [`Disk::sync`].
    ///
    /// # Errors
    /// It cannot be written.
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;
    /// Makes a file's content durable; not its name.
    ///
    /// # Errors
    /// It is not durable, and asking again would not make it so.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// Gives a file another name, whatever had that before. Not durable before [`Disk::sync_names`].
    ///
    /// # Errors
    /// It cannot be renamed.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file. Not durable before [`Disk::sync_names`].
    ///
    /// # Errors
    /// It cannot be removed.
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// Makes names durable.
    ///
    /// # Errors
    /// They are not.
    fn sync_names(&mut self) -> io::Result<()>;
}

/// A real directory, held by one writer at a time.
#[derive(Debug)]
pub struct RealDisk {
    dir: PathBuf,
    open: HashMap<String, File>,
    /// The system gives the lock back however the process ends.
    _lock: Option<File>,
}

/// The file that is locked.
const LOCK: &str = "lock";

impl RealDisk {
    /// Opens a directory for writing, made where it is missing.
    ///
    /// # Errors
    /// It cannot be made or written, or another process has it ([`io::ErrorKind::WouldBlock`]).
    pub fn open(dir: &Path) -> io::Result<RealDisk> {
        fs::create_dir_all(dir)?;
        let lock = OpenOptions::new().create(true).truncate(false).write(true).open(dir.join(LOCK))?;
        match lock.try_lock() {
            Ok(()) => Ok(RealDisk { dir: dir.to_owned(), open: HashMap::new(), _lock: Some(lock) }),
            Err(TryLockError::WouldBlock) => Err(io::ErrorKind::WouldBlock.into()),
            Err(TryLockError::Error(e)) => Err(e),
        }
    }

    /// Opens a directory to look at, also while a process has it.
    pub fn look(dir: &Path) -> RealDisk {
        RealDisk { dir: dir.to_owned(), open: HashMap::new(), _lock: None }
    }

    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        if !self.open.contains_key(name) {
            let file = OpenOptions::new().create(true).append(true).open(self.dir.join(name))?;
            self.open.insert(name.to_owned(), file);
        }
        self.open.get_mut(name).ok_or_else(|| io::ErrorKind::NotFound.into())
    }
}

impl Disk for RealDisk {
    fn list(&mut self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.dir)? {
            let entry = entry?;
            if entry.file_type()?.is_file() {
                names.extend(entry.file_name().into_string().ok().filter(|n| n != LOCK));
            }
        }
        Ok(names)
    }

    fn read(&mut self, name: &str, limit: usize) -> io::Result<Vec<u8>> {
        let mut bytes = Vec::new();
        File::open(self.dir.join(name))?.take(limit as u64).read_to_end(&mut bytes)?;
        Ok(bytes)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        self.file(name)?.write_all(bytes)
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        self.file(name)?.set_len(length)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        self.file(name)?.sync_all()
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.open.remove(from);
        self.open.remove(to);
        fs::rename(self.dir.join(from), self.dir.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.open.remove(name);
        fs::remove_file(self.dir.join(name))
    }

    fn sync_names(&mut self) -> io::Result<()> {
        File::open(&self.dir)?.sync_all()
    }
}
