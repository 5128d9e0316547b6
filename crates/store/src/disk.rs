//! All that the store does with files, as one trait: a flat directory of files that are appended to, read whole,
//! renamed and removed.

use std::collections::HashMap;
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Read, Write};
use std::os::unix::fs::MetadataExt;
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

impl<D: Disk + ?Sized> Disk for Box<D> {
    fn list(&mut self) -> io::Result<Vec<String>> {
        (**self).list()
    }

    fn read(&mut self, name: &str, limit: usize) -> io::Result<Vec<u8>> {
        (**self).read(name, limit)
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
        (**self).append(name, bytes)
    }

    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
        (**self).truncate(name, length)
    }

    fn sync(&mut self, name: &str) -> io::Result<()> {
        (**self).sync(name)
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        (**self).rename(from, to)
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        (**self).remove(name)
    }

    fn sync_names(&mut self) -> io::Result<()> {
        (**self).sync_names()
    }
}

/// A real directory, held by one writer at a time.
#[derive(Debug)]
pub struct RealDisk {
    dir: PathBuf,
    open: HashMap<String, File>,
    /// The system gives the lock back however the process ends.
    lock: Option<File>,
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
        let lock = Some(RealDisk::lock(dir)?);
        Ok(RealDisk { dir: dir.to_owned(), open: HashMap::new(), lock })
    }

    fn lock(dir: &Path) -> io::Result<File> {
        let lock = OpenOptions::new().create(true).truncate(false).write(true).open(dir.join(LOCK))?;
        match lock.try_lock() {
            Ok(()) => Ok(lock),
            Err(TryLockError::WouldBlock) => Err(io::ErrorKind::WouldBlock.into()),
            Err(TryLockError::Error(e)) => Err(e),
        }
    }

    /// Whether a file that is open is still the one of that name.
    fn is_there(&self, file: &File, name: &str) -> io::Result<bool> {
        match fs::metadata(self.dir.join(name)) {
            Ok(named) => file.metadata().map(|own| (own.dev(), own.ino()) == (named.dev(), named.ino())),
            Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(false),
            Err(e) => Err(e),
        }
    }

    /// Takes the directory again where it was deleted and somebody has made it anew; it is not made here, since what
    /// was deleted or is not mounted may be so for a reason.
    fn hold(&mut self) -> io::Result<()> {
        if let Some(lock) = &self.lock
            && !self.is_there(lock, LOCK)?
        {
            self.lock = Some(RealDisk::lock(&self.dir)?);
        }
        Ok(())
    }

    /// Opens a directory to look at, also while a process has it.
    pub fn open_read_only(dir: &Path) -> RealDisk {
        RealDisk { dir: dir.to_owned(), open: HashMap::new(), lock: None }
    }

    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        if !self.open.contains_key(name) {
            self.hold()?;
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
        self.file(name)?.sync_all()?;
        // What was written to a file that nobody finds any more is not kept.
        let there = self.open.get(name).map_or(Ok(false), |file| self.is_there(file, name))?;
        if there {
            Ok(())
        } else {
            Err(io::Error::new(io::ErrorKind::NotFound, format!("{name} was deleted")))
        }
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

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{Entry, Limits, Store, StoreError};

    #[test]
    fn what_is_written_to_a_deleted_directory_is_an_error_until_there_is_one_again() {
        let dir = std::env::temp_dir().join(format!("daleturn-deleted-{}", std::process::id()));
        let _ = fs::remove_dir_all(&dir);
        let (mut store, _) = Store::open(RealDisk::open(&dir).unwrap(), Limits::default()).unwrap();
        let entry = Entry { written_ms: 1, value: vec![1] };
        let kept =
            |store: &mut Store<RealDisk>| store.put("k", "x", entry.clone()).and_then(|()| store.sync());
        kept(&mut store).unwrap();
        fs::remove_dir_all(&dir).unwrap();
        for _ in 0..2 {
            let refused = kept(&mut store).unwrap_err();
            assert!(
                matches!(&refused, StoreError::Disk(e) if e.kind() == io::ErrorKind::NotFound),
                "{refused}"
            );
        }
        fs::create_dir(&dir).unwrap();
        kept(&mut store).unwrap();
        // It is held again, too.
        assert_eq!(RealDisk::open(&dir).unwrap_err().kind(), io::ErrorKind::WouldBlock);
        drop(store);
        let (store, _) = Store::open(RealDisk::open(&dir).unwrap(), Limits::default()).unwrap();
        assert_eq!(store.get("k", "x"), Some(&entry));
        fs::remove_dir_all(&dir).unwrap();
    }
}
