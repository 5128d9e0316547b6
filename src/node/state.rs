//! What must outlive this process: small files in a directory of `$TMPDIR`, named after the clients' address.
//!
//! Each file is written whole and renamed into place. One that is absent, torn or strange counts as none.

use crate::log;
use birchspoke::interface::BackendId;
use birchspoke::wire::stable_hash;
use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Names of files that say which backend is out.
const CORDON: &str = "cordon-";
/// A longer file is none of ours.
const LONGEST: u64 = 4096;

/// The directory, or none where there is no place for one.
pub struct State {
    dir: Option<PathBuf>,
}

impl State {
    /// The directory of the node that clients reach at `listen`; made where it is missing.
    pub fn open(listen: SocketAddr) -> State {
        let Some(tmp) = std::env::var_os("TMPDIR").filter(|t| !t.is_empty()) else {
            log::line("TMPDIR is not set: nothing outlives this process");
            return State { dir: None };
        };
        State::open_in(Path::new(&tmp), listen)
    }

    fn open_in(tmp: &Path, listen: SocketAddr) -> State {
        let dir = tmp.join(format!("daleturn-{}-{}", listen.ip(), listen.port()));
        // A directory that is there already may still be read-only: only a write shows.
        let made = fs::create_dir_all(&dir).and_then(|()| write_whole(&dir, "writable", b""));
        match made {
            Ok(()) => State { dir: Some(dir) },
            Err(e) => {
                log::line(&format!("TMPDIR cannot be written, nothing outlives this process: {e}"));
                State { dir: None }
            }
        }
    }

    /// Whether anything can be stored.
    pub fn lasts(&self) -> bool {
        self.dir.is_some()
    }

    /// The backends that are out, by the files.
    pub fn cordoned(&self) -> BTreeMap<BackendId, String> {
        let Some(dir) = &self.dir else { return BTreeMap::new() };
        let Ok(entries) = fs::read_dir(dir) else { return BTreeMap::new() };
        entries
            .flatten()
            .filter(|e| e.file_name().to_string_lossy().starts_with(CORDON))
            .filter(|e| e.metadata().is_ok_and(|m| m.is_file() && m.len() <= LONGEST))
            .filter_map(|e| {
                let uid = fs::read_to_string(e.path()).ok()?;
                // The name vouches for the content: a torn file names nobody.
                (e.file_name().to_string_lossy() == cordon_file(&uid)).then(|| (id(&uid), uid))
            })
            .collect()
    }

    /// Stores that a backend is out.
    pub fn cordon(&self, uid: &str) -> io::Result<()> {
        let Some(dir) = &self.dir else { return Ok(()) };
        write_whole(dir, &cordon_file(uid), uid.as_bytes())
    }

    /// Stores that it is back.
    pub fn uncordon(&self, uid: &str) -> io::Result<()> {
        let Some(dir) = &self.dir else { return Ok(()) };
        match fs::remove_file(dir.join(cordon_file(uid))) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => Err(e),
            _ => Ok(()),
        }
    }
}

fn id(uid: &str) -> BackendId {
    BackendId(stable_hash(uid))
}

fn cordon_file(uid: &str) -> String {
    format!("{CORDON}{:016x}", stable_hash(uid))
}

fn write_whole(dir: &Path, name: &str, content: &[u8]) -> io::Result<()> {
    let draft = dir.join(format!("draft-{}-{name}", std::process::id()));
    let written = fs::write(&draft, content).and_then(|()| fs::rename(&draft, dir.join(name)));
    if written.is_err() {
        // What is left of it would only take space.
        let _ = fs::remove_file(&draft);
    }
    written
}

#[cfg(test)]
mod tests {
    use super::*;

    fn scratch(name: &str) -> PathBuf {
        let dir = std::env::temp_dir().join(format!("daleturn-state-{}-{name}", std::process::id()));
        let _ = fs::remove_dir_all(&dir);
        fs::create_dir_all(&dir).unwrap();
        dir
    }

    #[test]
    fn a_cordon_is_there_for_the_next_process_until_taken_back() {
        let tmp = scratch("cordon");
        let listen = ([127, 0, 0, 1], 80).into();
        let first = State::open_in(&tmp, listen);
        first.cordon("s-1").unwrap();
        first.cordon("s-1").unwrap();
        first.cordon("s-2").unwrap();
        let second = State::open_in(&tmp, listen);
        assert_eq!(second.cordoned().into_values().collect::<Vec<_>>().len(), 2);
        second.uncordon("s-1").unwrap();
        second.uncordon("s-1").unwrap();
        assert_eq!(first.cordoned(), BTreeMap::from([(id("s-2"), "s-2".to_owned())]));
        let _ = fs::remove_dir_all(tmp);
    }

    #[test]
    fn torn_and_strange_files_are_none() {
        let tmp = scratch("torn");
        let state = State::open_in(&tmp, ([127, 0, 0, 1], 80).into());
        state.cordon("s-1").unwrap();
        let dir = state.dir.clone().unwrap();
        fs::write(dir.join(cordon_file("s-long")), "s-lo").unwrap();
        fs::write(dir.join(cordon_file("s-empty")), "").unwrap();
        fs::write(dir.join(cordon_file("s-bytes")), [0xff, 0xfe]).unwrap();
        fs::write(dir.join(cordon_file("s-big")), vec![b'x'; 1 << 16]).unwrap();
        fs::create_dir(dir.join(cordon_file("s-dir"))).unwrap();
        assert_eq!(state.cordoned().into_values().collect::<Vec<_>>(), ["s-1"]);
        let _ = fs::remove_dir_all(tmp);
    }

    #[test]
    fn without_a_place_nothing_lasts_and_nothing_fails() {
        let state = State::open_in(Path::new("/proc/no-such-place"), ([127, 0, 0, 1], 80).into());
        assert!(!state.lasts());
        state.cordon("s-1").unwrap();
        state.uncordon("s-1").unwrap();
        assert!(state.cordoned().is_empty());
    }
}
