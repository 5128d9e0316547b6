//! The file operations that the store uses, as a trait: a flat directory of files that are appended to,
//! read whole, renamed and removed.

use std::collections::HashMap;
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Read, Write};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};

/// A flat directory of files.
pub trait Disk {
    /// Returns the names of all files.
    ///
    /// # Errors
    /// Returns an error if the directory cannot be read.
    fn list(&mut self) -> io::Result<Vec<String>>;
    /// Returns a file's content, at most its first `limit` bytes.
    ///
    /// # Errors
    /// Returns an error if the file does not exist or cannot be read.
    fn read(&mut self, name: &str, limit: usize) -> io::Result<Vec<u8>>;
    /// Appends to a file, which is created if it does not exist. Durable after [`Disk::sync`].
    ///
    /// # Errors
    /// Returns an error if there is no space or no permission. Part of `bytes` may have been written.
    fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()>;
    /// Truncates a file to `length` bytes. Durable after [`Disk::sync`].
    ///
    /// # Errors
    /// Returns an error if the file cannot be written.
    fn truncate(&mut self, name: &str, length: u64) -> io::Result<()>;
    /// Makes a file's content durable, but not its name.
    ///
    /// # Errors
    /// Returns an error if the content is not durable. A later call that succeeds does not make it durable.
    fn sync(&mut self, name: &str) -> io::Result<()>;
    /// Renames a file and replaces a file of the new name. Durable after [`Disk::sync_names`].
    ///
    /// # Errors
    /// Returns an error if the file cannot be renamed.
    fn rename(&mut self, from: &str, to: &str) -> io::Result<()>;
    /// Removes a file. Durable after [`Disk::sync_names`].
    ///
    /// # Errors
    /// Returns an error if the file cannot be removed.
    fn remove(&mut self, name: &str) -> io::Result<()>;
    /// Makes the directory's file names durable.
    ///
    /// # Errors
    /// Returns an error if the names are not durable.
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

/// A real directory, locked by one writer at a time.
#[derive(Debug)]
pub struct RealDisk {
    dir: PathBuf,
    open_files: HashMap<String, File>,
    /// The locked file; `None` if opened read-only. The operating system releases the lock however the
    /// process ends.
    lock: Option<File>,
}

/// Name of the file that the writer locks.
const LOCK_FILE: &str = "lock";

impl RealDisk {
    /// Opens a directory for writing and creates it if it does not exist.
    ///
    /// # Errors
    /// Returns an error if the directory cannot be created or written, or if another process has locked it
    /// ([`io::ErrorKind::WouldBlock`]).
    pub fn open(dir: &Path) -> io::Result<RealDisk> {
        fs::create_dir_all(dir)?;
        let lock = Some(RealDisk::lock(dir)?);
        Ok(RealDisk { dir: dir.to_owned(), open_files: HashMap::new(), lock })
    }

    fn lock(dir: &Path) -> io::Result<File> {
        let lock = OpenOptions::new().create(true).truncate(false).write(true).open(dir.join(LOCK_FILE))?;
        match lock.try_lock() {
            Ok(()) => Ok(lock),
            Err(TryLockError::WouldBlock) => Err(io::ErrorKind::WouldBlock.into()),
            Err(TryLockError::Error(e)) => Err(e),
        }
    }

    /// Returns true if `name` still refers to the open `file`.
    fn is_current(&self, file: &File, name: &str) -> io::Result<bool> {
        match fs::metadata(self.dir.join(name)) {
            Ok(named) => file.metadata().map(|own| (own.dev(), own.ino()) == (named.dev(), named.ino())),
            Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(false),
            Err(e) => Err(e),
        }
    }

    /// Locks the directory again if it was deleted and has been recreated by someone else. It is not
    /// created here: it may have been deleted on purpose, or its file system may not be mounted.
    fn relock_if_replaced(&mut self) -> io::Result<()> {
        if let Some(lock) = &self.lock
            && !self.is_current(lock, LOCK_FILE)?
        {
            self.lock = Some(RealDisk::lock(&self.dir)?);
        }
        Ok(())
    }

    /// Opens a directory for reading, even while another process has locked it.
    pub fn open_read_only(dir: &Path) -> RealDisk {
        RealDisk { dir: dir.to_owned(), open_files: HashMap::new(), lock: None }
    }

    fn file(&mut self, name: &str) -> io::Result<&mut File> {
        if !self.open_files.contains_key(name) {
            self.relock_if_replaced()?;
            let file = OpenOptions::new().create(true).append(true).open(self.dir.join(name))?;
            self.open_files.insert(name.to_owned(), file);
        }
        self.open_files.get_mut(name).ok_or_else(|| io::ErrorKind::NotFound.into())
    }
}

impl Disk for RealDisk {
    fn list(&mut self) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(&self.dir)? {
            let entry = entry?;
            if entry.file_type()?.is_file() {
                names.extend(entry.file_name().into_string().ok().filter(|n| n != LOCK_FILE));
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
        // Data in a file that has been deleted or replaced is lost.
        let is_current = self.open_files.get(name).map_or(Ok(false), |file| self.is_current(file, name))?;
        if is_current {
            Ok(())
        } else {
            Err(io::Error::new(io::ErrorKind::NotFound, format!("{name} was deleted")))
        }
    }

    fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
        self.open_files.remove(from);
        self.open_files.remove(to);
        fs::rename(self.dir.join(from), self.dir.join(to))
    }

    fn remove(&mut self, name: &str) -> io::Result<()> {
        self.open_files.remove(name);
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
    fn writing_to_a_deleted_directory_fails_until_it_is_recreated() {
        let dir = std::env::temp_dir().join(format!("daleturn-deleted-{}", std::process::id()));
        let _ = fs::remove_dir_all(&dir);
        let (mut store, _) = Store::open(RealDisk::open(&dir).unwrap(), Limits::default()).unwrap();
        let entry = Entry { written_ms: 1, value: vec![1] };
        let put_and_sync =
            |store: &mut Store<RealDisk>| store.put("k", "x", entry.clone()).and_then(|()| store.sync());
        put_and_sync(&mut store).unwrap();
        fs::remove_dir_all(&dir).unwrap();
        for _ in 0..2 {
            let error = put_and_sync(&mut store).unwrap_err();
            assert!(
                matches!(&error, StoreError::Disk(e) if e.kind() == io::ErrorKind::NotFound),
                "{error}"
            );
        }
        fs::create_dir(&dir).unwrap();
        put_and_sync(&mut store).unwrap();
        // The recreated directory is locked again.
        assert_eq!(RealDisk::open(&dir).unwrap_err().kind(), io::ErrorKind::WouldBlock);
        drop(store);
        let (store, _) = Store::open(RealDisk::open(&dir).unwrap(), Limits::default()).unwrap();
        assert_eq!(store.get("k", "x"), Some(&entry));
        fs::remove_dir_all(&dir).unwrap();
    }
}
