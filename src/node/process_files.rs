//! Files shared by the processes of one node, in a directory of `$TMPDIR` that is named after the client
//! address.
//!
//! Each file is written completely and renamed into place. A file that is missing, truncated or malformed
//! is ignored.

use crate::clock::machine_now_ms;
use crate::log::log_event;
use daleturn::interface::{BackendId, BackendMemory, Memory};
use daleturn::wire::{Names, stable_hash};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::fs::{self, File, TryLockError};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

/// Prefix of files that each name a cordoned backend.
const CORDON_PREFIX: &str = "cordon-";
/// Prefixes of the file that a running process holds locked, and of the file in which it describes itself.
const ALIVE_PREFIX: &str = "alive-";
const RECORD_PREFIX: &str = "process-";
/// Prefix of files that are still being written.
const DRAFT_PREFIX: &str = "draft-";
/// File with the learned state of the serving process, for its successor.
const MEMORY_FILE: &str = "memory";
/// Maximum size of a cordon file and of the memory file, in bytes; longer files are ignored.
const MAX_CORDON_BYTES: u64 = 4096;
const MAX_MEMORY_BYTES: u64 = 1024 * 1024;

/// Stage of a process in its lifetime.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Does not accept clients yet.
    Starting,
    /// Accepts clients.
    Serving,
    /// No longer accepts clients.
    Stopping,
}

impl Stage {
    const ALL: [(Stage, &str); 3] =
        [(Stage::Starting, "starting"), (Stage::Serving, "serving"), (Stage::Stopping, "stopping")];
}

/// Start of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessStart {
    /// Process ID.
    pub pid: u32,
    /// Wall-clock time in milliseconds since 1970.
    pub wall_ms: u64,
    /// Time in milliseconds on the machine's monotonic clock; none in the records of older builds.
    pub monotonic_ms: Option<u64>,
}

impl ProcessStart {
    /// True if this process is newer than `other`. The wall clock may have been stepped between the two
    /// starts, so it decides only where the monotonic clock is not known.
    pub fn is_after(&self, other: &ProcessStart) -> bool {
        match (self.monotonic_ms, other.monotonic_ms) {
            (Some(own), Some(others)) => (own, self.pid) > (others, other.pid),
            _ => (self.wall_ms, self.pid) > (other.wall_ms, other.pid),
        }
    }
}

/// Description of a process for the other processes of the same node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessRecord {
    /// Stage of the process.
    pub stage: Stage,
    /// Number of descriptors that the process may use.
    pub claim: usize,
    /// Start of the process.
    pub started: ProcessStart,
    /// True if the process writes its backend list for the other processes.
    pub hands_over_list: bool,
}

impl ProcessRecord {
    fn parse(text: &str, pid: u32) -> Option<ProcessRecord> {
        let json: Value = serde_json::from_str(text).ok()?;
        let stage = json.get("stage")?.as_str()?;
        let (stage, _) = Stage::ALL.into_iter().find(|(_, word)| *word == stage)?;
        let claim = usize::try_from(json.get("claim")?.as_u64()?).ok()?;
        let wall_ms = json.get("started_ms")?.as_u64()?;
        let monotonic_ms = json.get("started_monotonic_ms").and_then(Value::as_u64);
        let started = ProcessStart { pid, wall_ms, monotonic_ms };
        // Builds that know no such files say nothing of them.
        let hands_over_list = json.get("hands_over_list").and_then(Value::as_bool).unwrap_or(false);
        Some(ProcessRecord { stage, claim, started, hands_over_list })
    }

    fn to_json(self) -> String {
        let stage = Stage::ALL.into_iter().find(|(s, _)| *s == self.stage).map(|(_, word)| word);
        json!({"stage": stage, "claim": self.claim, "started_ms": self.started.wall_ms,
               "started_monotonic_ms": self.started.monotonic_ms, "hands_over_list": self.hands_over_list})
        .to_string()
    }
}

/// Directory shared by the processes of a node; without a writable place for it nothing is stored.
pub struct ProcessFiles {
    dir: Option<PathBuf>,
    pid: u32,
    started: ProcessStart,
    /// Locked while this process runs; the operating system releases the lock however the process ends.
    _lock: Option<File>,
}

impl ProcessFiles {
    /// Opens the directory of the node with this client address, creating it if necessary.
    pub fn open(listen: SocketAddr) -> ProcessFiles {
        let Some(tmp) = std::env::var_os("TMPDIR").filter(|t| !t.is_empty()) else {
            log_event!(WARN, "state", "state.unset");
            return ProcessFiles::at(None, std::process::id());
        };
        ProcessFiles::open_in(Path::new(&tmp), listen, std::process::id())
    }

    fn at(dir: Option<PathBuf>, pid: u32) -> ProcessFiles {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let started = ProcessStart {
            pid,
            wall_ms: u64::try_from(wall.as_millis()).unwrap_or(u64::MAX),
            monotonic_ms: Some(machine_now_ms() as u64),
        };
        ProcessFiles { dir, pid, started, _lock: None }
    }

    fn open_in(tmp: &Path, listen: SocketAddr, pid: u32) -> ProcessFiles {
        let dir = tmp.join(format!("daleturn-{}-{}", listen.ip(), listen.port()));
        // An existing directory may be read-only, which only a write shows.
        match fs::create_dir_all(&dir).and_then(|()| lock(&dir, pid)) {
            Ok(alive) => ProcessFiles { _lock: Some(alive), ..ProcessFiles::at(Some(dir), pid) },
            Err(e) => {
                log_event!(WARN, "state", reason = e.to_string().as_str(), "state.unwritable");
                ProcessFiles::at(None, pid)
            }
        }
    }

    /// Returns the description of this process at a given stage.
    pub fn record(&self, stage: Stage, claim: usize) -> ProcessRecord {
        ProcessRecord { stage, claim, started: self.started, hands_over_list: true }
    }

    /// Returns the start of this process.
    pub fn started(&self) -> ProcessStart {
        self.started
    }

    /// Returns the directory, if it can be written.
    pub fn directory(&self) -> Option<&Path> {
        self.dir.as_deref()
    }

    /// Publishes the description of this process. If that fails, the other processes do not see this one.
    pub fn publish(&self, record: ProcessRecord) {
        if let Some(dir) = &self.dir
            && let Err(e) =
                write_whole(dir, &format!("{RECORD_PREFIX}{}", self.pid), record.to_json().as_bytes())
        {
            log_event!(WARN, "state", reason = e.to_string().as_str(), "state.failed");
        }
    }

    /// Returns the other running processes of this node and removes the files of ended ones.
    pub fn other_processes(&self) -> Vec<ProcessRecord> {
        let Some(dir) = &self.dir else { return Vec::new() };
        let Ok(entries) = fs::read_dir(dir) else { return Vec::new() };
        let mut others = Vec::new();
        for entry in entries.flatten() {
            let name = entry.file_name();
            let pid = name.to_str().and_then(|n| n.strip_prefix(ALIVE_PREFIX)).and_then(|n| n.parse().ok());
            let Some(pid) = pid.filter(|p| *p != self.pid) else { continue };
            let Ok(alive) = File::open(entry.path()) else { continue };
            let record = dir.join(format!("{RECORD_PREFIX}{pid}"));
            match alive.try_lock_shared() {
                Err(TryLockError::WouldBlock) => {
                    let text = fs::read_to_string(record).unwrap_or_default();
                    others.extend(ProcessRecord::parse(&text, pid));
                }
                Err(TryLockError::Error(_)) => {}
                Ok(()) => {
                    // A file that cannot be removed does no harm, since no process holds it locked.
                    let _ = fs::remove_file(record);
                    let _ = fs::remove_file(entry.path());
                }
            }
        }
        others
    }

    /// True if the directory can be written.
    pub fn can_store(&self) -> bool {
        self.dir.is_some()
    }

    /// Saves the learned state for the next process, which otherwise starts without any.
    pub fn save_memory(&self, memory: &Memory, names: &Names) {
        let Some(dir) = &self.dir else { return };
        if let Err(e) = write_whole(dir, MEMORY_FILE, memory_to_json(memory, names).as_bytes()) {
            log_event!(WARN, "state", reason = e.to_string().as_str(), "state.failed");
        }
    }

    /// Reads and removes the learned state of another process, if it is complete.
    pub fn take_memory(&self, names: &Names) -> Option<Memory> {
        let path = self.dir.as_ref()?.join(MEMORY_FILE);
        let short = fs::metadata(&path).is_ok_and(|m| m.is_file() && m.len() <= MAX_MEMORY_BYTES);
        let text = short.then(|| fs::read_to_string(&path).ok()).flatten();
        let _ = fs::remove_file(&path);
        memory_from_json(&text?, names)
    }

    /// Returns the stored cordons.
    pub fn cordons(&self) -> BTreeMap<BackendId, String> {
        let Some(dir) = &self.dir else { return BTreeMap::new() };
        let Ok(entries) = fs::read_dir(dir) else { return BTreeMap::new() };
        entries
            .flatten()
            .filter(|e| e.file_name().to_string_lossy().starts_with(CORDON_PREFIX))
            .filter(|e| e.metadata().is_ok_and(|m| m.is_file() && m.len() <= MAX_CORDON_BYTES))
            .filter_map(|e| {
                let uid = fs::read_to_string(e.path()).ok()?;
                // The file name contains a hash of the content, so a truncated file is ignored.
                (e.file_name().to_string_lossy() == cordon_file(&uid)).then(|| (id(&uid), uid))
            })
            .collect()
    }

    /// Returns when the cordon file of a backend was written, in milliseconds since 1970.
    pub fn cordoned_at_ms(&self, uid: &str) -> Option<f64> {
        let written = fs::metadata(self.dir.as_ref()?.join(cordon_file(uid))).and_then(|m| m.modified());
        let since_epoch = written.ok()?.duration_since(UNIX_EPOCH).ok()?;
        Some(since_epoch.as_secs_f64() * 1000.0)
    }

    /// Reads a small file of the directory.
    pub fn read(&self, name: &str) -> Option<String> {
        let path = self.dir.as_ref()?.join(name);
        let is_small = fs::metadata(&path).is_ok_and(|m| m.is_file() && m.len() <= MAX_CORDON_BYTES);
        is_small.then(|| fs::read_to_string(&path).ok()).flatten()
    }

    /// Reads all small files whose names have this prefix.
    pub fn read_all(&self, prefix: &str) -> Vec<String> {
        let Some(Ok(entries)) = self.dir.as_ref().map(fs::read_dir) else { return Vec::new() };
        let names = entries.flatten().filter_map(|entry| entry.file_name().into_string().ok());
        names.filter(|name| name.starts_with(prefix)).filter_map(|name| self.read(&name)).collect()
    }

    /// Writes a small file of the directory as a whole.
    ///
    /// # Errors
    /// Returns an error if it cannot be written.
    pub fn write(&self, name: &str, content: &[u8]) -> io::Result<()> {
        let Some(dir) = &self.dir else { return Ok(()) };
        write_whole(dir, name, content)
    }

    /// Removes a file of the directory, if it is there.
    pub fn remove(&self, name: &str) {
        if let Some(dir) = &self.dir {
            // A file that stays is read again by the next process, which does no harm.
            let _ = fs::remove_file(dir.join(name));
        }
    }

    /// Stores the cordon of a backend.
    pub fn cordon(&self, uid: &str) -> io::Result<()> {
        let Some(dir) = &self.dir else { return Ok(()) };
        write_whole(dir, &cordon_file(uid), uid.as_bytes())
    }

    /// Removes the cordon of a backend.
    pub fn uncordon(&self, uid: &str) -> io::Result<()> {
        let Some(dir) = &self.dir else { return Ok(()) };
        match fs::remove_file(dir.join(cordon_file(uid))) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => Err(e),
            _ => Ok(()),
        }
    }
}

/// Serializes the learned state as JSON.
pub fn memory_to_json(memory: &Memory, names: &Names) -> String {
    let backends: Vec<Value> =
        (memory.backends.iter()).map(|k| json!([k.backend.0, k.limit, k.cut_at, k.prat])).collect();
    let classes: BTreeMap<&str, [f64; 4]> = (memory.classes.iter().enumerate())
        .filter_map(|(n, times)| Some((names.class_name(n)?, *times)))
        .collect();
    json!({"warm_rate": memory.warm_rate, "backends": backends, "classes": classes}).to_string()
}

/// Parses learned state; `None` if it is truncated or malformed.
pub fn memory_from_json(text: &str, names: &Names) -> Option<Memory> {
    read_memory(&serde_json::from_str(text).ok()?, names)
}

/// Reads learned state from JSON.
fn read_memory(json: &Value, names: &Names) -> Option<Memory> {
    let non_negative = |v: &Value| v.as_f64().filter(|f| *f >= 0.0);
    let mut backends = Vec::new();
    for entry in json.get("backends")?.as_array()? {
        let [id, limit, cut_at, prat] = entry.as_array()?.as_slice() else { return None };
        let limit = non_negative(limit).filter(|l| *l > 0.0)?;
        let prat = if prat.is_null() { None } else { Some(non_negative(prat)?) };
        backends.push(BackendMemory {
            backend: BackendId(id.as_u64()?),
            limit,
            cut_at: non_negative(cut_at)?,
            prat,
        });
    }
    let mut classes = Vec::new();
    for (name, entry) in json.get("classes")?.as_object()? {
        let times: Vec<f64> = entry.as_array()?.iter().map(non_negative).collect::<Option<_>>()?;
        let times = <[f64; 4]>::try_from(times).ok()?;
        let number = names.class(name);
        if number != usize::MAX {
            classes.resize(classes.len().max(number + 1), [0.0; 4]);
            classes[number] = times;
        }
    }
    Some(Memory { warm_rate: non_negative(json.get("warm_rate")?)?, backends, classes })
}

fn id(uid: &str) -> BackendId {
    BackendId(stable_hash(uid))
}

/// Returns the name of a backend's cordon file.
fn cordon_file(uid: &str) -> String {
    format!("{CORDON_PREFIX}{:016x}", stable_hash(uid))
}

/// Creates the lock file of this process. It is locked before other processes can see it.
fn lock(dir: &Path, pid: u32) -> io::Result<File> {
    let draft = dir.join(format!("{DRAFT_PREFIX}{pid}"));
    let file = File::create(&draft)?;
    file.lock()?;
    fs::rename(&draft, dir.join(format!("{ALIVE_PREFIX}{pid}")))?;
    Ok(file)
}

/// Writes a file completely and renames it into place.
fn write_whole(dir: &Path, name: &str, content: &[u8]) -> io::Result<()> {
    let draft = dir.join(format!("{DRAFT_PREFIX}{}-{name}", std::process::id()));
    let written = fs::write(&draft, content).and_then(|()| fs::rename(&draft, dir.join(name)));
    if written.is_err() {
        // A partial file would only take up space.
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
    fn cordons_survive_a_process_until_revoked() {
        let tmp = scratch("cordon");
        let listen = ([127, 0, 0, 1], 80).into();
        let first = ProcessFiles::open_in(&tmp, listen, 1);
        first.cordon("s-1").unwrap();
        first.cordon("s-1").unwrap();
        first.cordon("s-2").unwrap();
        let second = ProcessFiles::open_in(&tmp, listen, 2);
        assert_eq!(second.cordons().into_values().collect::<Vec<_>>().len(), 2);
        second.uncordon("s-1").unwrap();
        second.uncordon("s-1").unwrap();
        assert_eq!(first.cordons(), BTreeMap::from([(id("s-2"), "s-2".to_owned())]));
        let _ = fs::remove_dir_all(tmp);
    }

    #[test]
    fn truncated_and_malformed_files_are_ignored() {
        let tmp = scratch("torn");
        let state = ProcessFiles::open_in(&tmp, ([127, 0, 0, 1], 80).into(), 1);
        state.cordon("s-1").unwrap();
        let dir = state.dir.clone().unwrap();
        fs::write(dir.join(cordon_file("s-long")), "s-lo").unwrap();
        fs::write(dir.join(cordon_file("s-empty")), "").unwrap();
        fs::write(dir.join(cordon_file("s-bytes")), [0xff, 0xfe]).unwrap();
        fs::write(dir.join(cordon_file("s-big")), vec![b'x'; 1 << 16]).unwrap();
        fs::create_dir(dir.join(cordon_file("s-dir"))).unwrap();
        assert_eq!(state.cordons().into_values().collect::<Vec<_>>(), ["s-1"]);
        let _ = fs::remove_dir_all(tmp);
    }

    #[test]
    fn running_processes_see_each_other() {
        let tmp = scratch("others");
        let listen = ([127, 0, 0, 1], 80).into();
        let old = ProcessFiles::open_in(&tmp, listen, 1);
        old.publish(old.record(Stage::Serving, 100));
        let new = ProcessFiles::open_in(&tmp, listen, 2);
        assert_eq!(new.other_processes(), [old.record(Stage::Serving, 100)]);
        assert!(old.other_processes().is_empty(), "it has not published its record yet");
        new.publish(new.record(Stage::Starting, 20));
        assert_eq!(old.other_processes(), [new.record(Stage::Starting, 20)]);
        assert!(old.other_processes()[0].started.is_after(&new.other_processes()[0].started));
        assert!(
            ProcessFiles::open_in(&tmp, ([127, 0, 0, 1], 81).into(), 3).other_processes().is_empty(),
            "another node"
        );
        drop(new);
        assert!(old.other_processes().is_empty());
        let dir = old.dir.clone().unwrap();
        assert!(!dir.join("alive-2").exists() && !dir.join("process-2").exists());
        let _ = fs::remove_dir_all(tmp);
    }

    #[test]
    fn a_step_of_the_wall_clock_does_not_change_the_order_of_processes() {
        let at = |pid, wall_ms, monotonic_ms| ProcessStart { pid, wall_ms, monotonic_ms };
        let (old, stepped_back) = (at(9, 7_200_000, Some(100)), at(8, 3_600_000, Some(200)));
        assert!(stepped_back.is_after(&old) && !old.is_after(&stepped_back));
        // A build that records no monotonic time.
        let (older_build, newer_build) = (at(9, 3_600_000, None), at(8, 3_600_001, Some(200)));
        assert!(newer_build.is_after(&older_build) && !older_build.is_after(&newer_build));
        let same_time = at(10, 0, Some(100));
        assert!(same_time.is_after(&old) && !old.is_after(&same_time) && !old.is_after(&old));
    }

    #[test]
    fn unlocked_or_unreadable_process_files_are_ignored() {
        let tmp = scratch("leftover");
        let state = ProcessFiles::open_in(&tmp, ([127, 0, 0, 1], 80).into(), 1);
        let dir = state.dir.clone().unwrap();
        fs::write(dir.join("alive-7"), "").unwrap();
        fs::write(dir.join("process-7"), state.record(Stage::Serving, 9).to_json()).unwrap();
        fs::write(dir.join("alive-x"), "").unwrap();
        fs::write(dir.join("process-8"), state.record(Stage::Serving, 9).to_json()).unwrap();
        let held = lock(&dir, 9).unwrap();
        for torn in
            ["", "{", "{}", "{\"stage\":\"serving\"}", "{\"stage\":\"new\",\"claim\":1,\"started_ms\":1}"]
        {
            fs::write(dir.join("process-9"), torn).unwrap();
            assert!(state.other_processes().is_empty(), "{torn}");
        }
        drop(held);
        let _ = fs::remove_dir_all(tmp);
    }

    fn names() -> Names {
        let text = r#"{"classes": [{"name": "a", "hardLimitMs": 1}, {"name": "b", "hardLimitMs": 1}],
                       "rules": {"coldMs": 1, "startCapacity": 1, "fallMultiple": 1, "fallMs": 1}}"#;
        daleturn::wire::settings(text).unwrap().1
    }

    #[test]
    fn saved_memory_is_read_back_once() {
        let tmp = scratch("memory");
        let state = ProcessFiles::open_in(&tmp, ([127, 0, 0, 1], 80).into(), 1);
        let known = |n: u64, prat| BackendMemory { backend: BackendId(n), limit: 0.5, cut_at: 17.25, prat };
        let memory = Memory {
            warm_rate: 12.5,
            backends: vec![known(u64::MAX, None), known(3, Some(1e12))],
            classes: vec![[0.0; 4], [1.0, 2.0, 3.0, 4.5]],
        };
        state.save_memory(&memory, &names());
        assert_eq!(state.take_memory(&names()), Some(memory));
        assert_eq!(state.take_memory(&names()), None);
        let _ = fs::remove_dir_all(tmp);
    }

    #[test]
    fn malformed_memory_is_ignored() {
        let tmp = scratch("torn-memory");
        let state = ProcessFiles::open_in(&tmp, ([127, 0, 0, 1], 80).into(), 1);
        let path = state.dir.clone().unwrap().join(MEMORY_FILE);
        let whole = r#"{"warm_rate":1,"backends":[[1,1,0,null]],"classes":{"gone":[1,1,1,1]}}"#;
        fs::write(&path, whole).unwrap();
        assert!(state.take_memory(&names()).is_some_and(|m| m.classes.is_empty() && m.backends.len() == 1));
        let malformed = [
            "",
            "[]",
            &whole[..40],
            r#"{"warm_rate":-1,"backends":[],"classes":{}}"#,
            r#"{"warm_rate":1,"backends":[[1,0,0,null]],"classes":{}}"#,
            r#"{"warm_rate":1,"backends":[[1,"x",0,null]],"classes":{}}"#,
            r#"{"warm_rate":1,"backends":[[1]],"classes":{}}"#,
            r#"{"warm_rate":1,"backends":[],"classes":{"a":[1,2,3]}}"#,
        ];
        for text in malformed {
            fs::write(&path, text).unwrap();
            assert_eq!(state.take_memory(&names()), None, "{text}");
        }
        fs::write(&path, vec![b' '; 2 << 20]).unwrap();
        assert_eq!(state.take_memory(&names()), None);
        let _ = fs::remove_dir_all(tmp);
    }

    #[test]
    fn without_a_directory_calls_succeed_and_store_nothing() {
        let state = ProcessFiles::open_in(Path::new("/proc/no-such-place"), ([127, 0, 0, 1], 80).into(), 1);
        assert!(!state.can_store());
        state.cordon("s-1").unwrap();
        state.uncordon("s-1").unwrap();
        assert!(state.cordons().is_empty());
    }
}
