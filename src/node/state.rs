//! What must outlive this process: small files in a directory of `$TMPDIR`, named after the clients' address.
//!
//! Each file is written whole and renamed into place. One that is absent, torn or strange counts as none.

use crate::log::log_event;
use daleturn::interface::{BackendId, BackendMemory, Memory};
use daleturn::wire::{Names, stable_hash};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::fs::{self, File, TryLockError};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{SystemTime, UNIX_EPOCH};

/// Names of files that say which backend is out.
const CORDON: &str = "cordon-";
/// Of files that a living process holds locked, and of what it says of itself.
const ALIVE: &str = "alive-";
const RECORD: &str = "process-";
/// Of files that are not whole yet.
const DRAFT: &str = "draft-";
/// What the process that serves has learned, for the next one.
const MEMORY: &str = "memory";
/// A longer file is none of ours.
const LONGEST: u64 = 4096;
const LONGEST_MEMORY: u64 = 1024 * 1024;

/// How far a process of this node is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Does not take clients yet.
    Starting,
    /// Takes clients.
    Serving,
    /// Takes none any more.
    Stopping,
}

impl Stage {
    const ALL: [(Stage, &str); 3] =
        [(Stage::Starting, "starting"), (Stage::Serving, "serving"), (Stage::Stopping, "stopping")];
}

/// What a process says of itself to others of the same node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Record {
    /// How far it is.
    pub stage: Stage,
    /// Descriptors that it may use.
    pub claim: usize,
    /// Its start, in milliseconds since 1970, and its number: of two processes the greater is the newer.
    pub age: (u64, u32),
}

impl Record {
    fn read(text: &str, pid: u32) -> Option<Record> {
        let json: Value = serde_json::from_str(text).ok()?;
        let stage = json.get("stage")?.as_str()?;
        let (stage, _) = Stage::ALL.into_iter().find(|(_, word)| *word == stage)?;
        let claim = usize::try_from(json.get("claim")?.as_u64()?).ok()?;
        Some(Record { stage, claim, age: (json.get("started_ms")?.as_u64()?, pid) })
    }

    fn write(self) -> String {
        let stage = Stage::ALL.into_iter().find(|(s, _)| *s == self.stage).map(|(_, word)| word);
        json!({"stage": stage, "claim": self.claim, "started_ms": self.age.0}).to_string()
    }
}

/// The directory, or none where there is no place for one.
pub struct State {
    dir: Option<PathBuf>,
    pid: u32,
    started_ms: u64,
    /// Held locked for as long as this process lives; the system unlocks it however that ends.
    _alive: Option<File>,
}

impl State {
    /// The directory of the node that clients reach at `listen`; made where it is missing.
    pub fn open(listen: SocketAddr) -> State {
        let Some(tmp) = std::env::var_os("TMPDIR").filter(|t| !t.is_empty()) else {
            log_event!(WARN, "state", "state.unset");
            return State::at(None, std::process::id());
        };
        State::open_in(Path::new(&tmp), listen, std::process::id())
    }

    fn at(dir: Option<PathBuf>, pid: u32) -> State {
        let started = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let started_ms = u64::try_from(started.as_millis()).unwrap_or(u64::MAX);
        State { dir, pid, started_ms, _alive: None }
    }

    fn open_in(tmp: &Path, listen: SocketAddr, pid: u32) -> State {
        let dir = tmp.join(format!("daleturn-{}-{}", listen.ip(), listen.port()));
        // A directory that is there already may still be read-only: only a write shows.
        match fs::create_dir_all(&dir).and_then(|()| lock(&dir, pid)) {
            Ok(alive) => State { _alive: Some(alive), ..State::at(Some(dir), pid) },
            Err(e) => {
                log_event!(WARN, "state", reason = e.to_string().as_str(), "state.unwritable");
                State::at(None, pid)
            }
        }
    }

    /// What this process would say of itself.
    pub fn record(&self, stage: Stage, claim: usize) -> Record {
        Record { stage, claim, age: (self.started_ms, self.pid) }
    }

    /// Tells the others of the same node. One that cannot is as one that nobody sees.
    pub fn tell(&self, record: Record) {
        if let Some(dir) = &self.dir
            && let Err(e) = write_whole(dir, &format!("{RECORD}{}", self.pid), record.write().as_bytes())
        {
            log_event!(WARN, "state", reason = e.to_string().as_str(), "state.failed");
        }
    }

    /// The other living processes of this node; what dead ones left is cleared away.
    pub fn others(&self) -> Vec<Record> {
        let Some(dir) = &self.dir else { return Vec::new() };
        let Ok(entries) = fs::read_dir(dir) else { return Vec::new() };
        let mut others = Vec::new();
        for entry in entries.flatten() {
            let name = entry.file_name();
            let pid = name.to_str().and_then(|n| n.strip_prefix(ALIVE)).and_then(|n| n.parse().ok());
            let Some(pid) = pid.filter(|p| *p != self.pid) else { continue };
            let Ok(alive) = File::open(entry.path()) else { continue };
            let record = dir.join(format!("{RECORD}{pid}"));
            match alive.try_lock_shared() {
                Err(TryLockError::WouldBlock) => {
                    let text = fs::read_to_string(record).unwrap_or_default();
                    others.extend(Record::read(&text, pid));
                }
                Err(TryLockError::Error(_)) => {}
                Ok(()) => {
                    // Whatever is left after this does no harm: nobody holds it.
                    let _ = fs::remove_file(record);
                    let _ = fs::remove_file(entry.path());
                }
            }
        }
        others
    }

    /// Whether anything can be stored.
    pub fn can_store(&self) -> bool {
        self.dir.is_some()
    }

    /// Leaves what was learned to the next process. Without it that one starts from nothing.
    pub fn leave(&self, memory: &Memory, names: &Names) {
        let Some(dir) = &self.dir else { return };
        if let Err(e) = write_whole(dir, MEMORY, memory_text(memory, names).as_bytes()) {
            log_event!(WARN, "state", reason = e.to_string().as_str(), "state.failed");
        }
    }

    /// What another process left, where it can be read whole; it is of use once.
    pub fn left(&self, names: &Names) -> Option<Memory> {
        let path = self.dir.as_ref()?.join(MEMORY);
        let short = fs::metadata(&path).is_ok_and(|m| m.is_file() && m.len() <= LONGEST_MEMORY);
        let text = short.then(|| fs::read_to_string(&path).ok()).flatten();
        let _ = fs::remove_file(&path);
        memory_from(&text?, names)
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

/// What was learned, as text.
pub fn memory_text(memory: &Memory, names: &Names) -> String {
    let backends: Vec<Value> =
        (memory.backends.iter()).map(|k| json!([k.backend.0, k.limit, k.cut_at, k.prat])).collect();
    let classes: BTreeMap<&str, [f64; 4]> = (memory.classes.iter().enumerate())
        .filter_map(|(n, times)| Some((names.class_name(n)?, *times)))
        .collect();
    json!({"warm_rate": memory.warm_rate, "backends": backends, "classes": classes}).to_string()
}

/// Reads that; none where it is torn or strange.
pub fn memory_from(text: &str, names: &Names) -> Option<Memory> {
    read_memory(&serde_json::from_str(text).ok()?, names)
}

fn read_memory(json: &Value, names: &Names) -> Option<Memory> {
    let figure = |v: &Value| v.as_f64().filter(|f| *f >= 0.0);
    let mut backends = Vec::new();
    for entry in json.get("backends")?.as_array()? {
        let [id, limit, cut_at, prat] = entry.as_array()?.as_slice() else { return None };
        let limit = figure(limit).filter(|l| *l > 0.0)?;
        let prat = if prat.is_null() { None } else { Some(figure(prat)?) };
        backends.push(BackendMemory {
            backend: BackendId(id.as_u64()?),
            limit,
            cut_at: figure(cut_at)?,
            prat,
        });
    }
    let mut classes = Vec::new();
    for (name, entry) in json.get("classes")?.as_object()? {
        let times: Vec<f64> = entry.as_array()?.iter().map(figure).collect::<Option<_>>()?;
        let times = <[f64; 4]>::try_from(times).ok()?;
        let number = names.class(name);
        if number != usize::MAX {
            classes.resize(classes.len().max(number + 1), [0.0; 4]);
            classes[number] = times;
        }
    }
    Some(Memory { warm_rate: figure(json.get("warm_rate")?)?, backends, classes })
}

fn id(uid: &str) -> BackendId {
    BackendId(stable_hash(uid))
}

fn cordon_file(uid: &str) -> String {
    format!("{CORDON}{:016x}", stable_hash(uid))
}

/// The file that is locked while this process lives: locked first, seen by others after.
fn lock(dir: &Path, pid: u32) -> io::Result<File> {
    let draft = dir.join(format!("{DRAFT}{pid}"));
    let file = File::create(&draft)?;
    file.lock()?;
    fs::rename(&draft, dir.join(format!("{ALIVE}{pid}")))?;
    Ok(file)
}

fn write_whole(dir: &Path, name: &str, content: &[u8]) -> io::Result<()> {
    let draft = dir.join(format!("{DRAFT}{}-{name}", std::process::id()));
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
        let first = State::open_in(&tmp, listen, 1);
        first.cordon("s-1").unwrap();
        first.cordon("s-1").unwrap();
        first.cordon("s-2").unwrap();
        let second = State::open_in(&tmp, listen, 2);
        assert_eq!(second.cordoned().into_values().collect::<Vec<_>>().len(), 2);
        second.uncordon("s-1").unwrap();
        second.uncordon("s-1").unwrap();
        assert_eq!(first.cordoned(), BTreeMap::from([(id("s-2"), "s-2".to_owned())]));
        let _ = fs::remove_dir_all(tmp);
    }

    #[test]
    fn torn_and_strange_files_are_none() {
        let tmp = scratch("torn");
        let state = State::open_in(&tmp, ([127, 0, 0, 1], 80).into(), 1);
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
    fn processes_see_each_other_for_as_long_as_they_live() {
        let tmp = scratch("others");
        let listen = ([127, 0, 0, 1], 80).into();
        let old = State::open_in(&tmp, listen, 1);
        old.tell(old.record(Stage::Serving, 100));
        let new = State::open_in(&tmp, listen, 2);
        assert_eq!(new.others(), [old.record(Stage::Serving, 100)]);
        assert!(old.others().is_empty(), "it has said nothing of itself yet");
        new.tell(new.record(Stage::Starting, 20));
        assert_eq!(old.others(), [new.record(Stage::Starting, 20)]);
        assert!(old.others()[0].age > new.others()[0].age);
        assert!(State::open_in(&tmp, ([127, 0, 0, 1], 81).into(), 3).others().is_empty(), "another node");
        drop(new);
        assert!(old.others().is_empty());
        let dir = old.dir.clone().unwrap();
        assert!(!dir.join("alive-2").exists() && !dir.join("process-2").exists());
        let _ = fs::remove_dir_all(tmp);
    }

    #[test]
    fn what_no_process_holds_or_nobody_can_read_is_no_process() {
        let tmp = scratch("leftover");
        let state = State::open_in(&tmp, ([127, 0, 0, 1], 80).into(), 1);
        let dir = state.dir.clone().unwrap();
        fs::write(dir.join("alive-7"), "").unwrap();
        fs::write(dir.join("process-7"), state.record(Stage::Serving, 9).write()).unwrap();
        fs::write(dir.join("alive-x"), "").unwrap();
        fs::write(dir.join("process-8"), state.record(Stage::Serving, 9).write()).unwrap();
        let held = lock(&dir, 9).unwrap();
        for torn in
            ["", "{", "{}", "{\"stage\":\"serving\"}", "{\"stage\":\"new\",\"claim\":1,\"started_ms\":1}"]
        {
            fs::write(dir.join("process-9"), torn).unwrap();
            assert!(state.others().is_empty(), "{torn}");
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
    fn what_was_learned_is_read_as_it_was_left_and_once() {
        let tmp = scratch("memory");
        let state = State::open_in(&tmp, ([127, 0, 0, 1], 80).into(), 1);
        let known = |n: u64, prat| BackendMemory { backend: BackendId(n), limit: 0.5, cut_at: 17.25, prat };
        let memory = Memory {
            warm_rate: 12.5,
            backends: vec![known(u64::MAX, None), known(3, Some(1e12))],
            classes: vec![[0.0; 4], [1.0, 2.0, 3.0, 4.5]],
        };
        state.leave(&memory, &names());
        assert_eq!(state.left(&names()), Some(memory));
        assert_eq!(state.left(&names()), None);
        let _ = fs::remove_dir_all(tmp);
    }

    #[test]
    fn a_torn_or_strange_memory_is_none() {
        let tmp = scratch("torn-memory");
        let state = State::open_in(&tmp, ([127, 0, 0, 1], 80).into(), 1);
        let path = state.dir.clone().unwrap().join(MEMORY);
        let whole = r#"{"warm_rate":1,"backends":[[1,1,0,null]],"classes":{"gone":[1,1,1,1]}}"#;
        fs::write(&path, whole).unwrap();
        assert!(state.left(&names()).is_some_and(|m| m.classes.is_empty() && m.backends.len() == 1));
        let strange = [
            "",
            "[]",
            &whole[..40],
            r#"{"warm_rate":-1,"backends":[],"classes":{}}"#,
            r#"{"warm_rate":1,"backends":[[1,0,0,null]],"classes":{}}"#,
            r#"{"warm_rate":1,"backends":[[1,"x",0,null]],"classes":{}}"#,
            r#"{"warm_rate":1,"backends":[[1]],"classes":{}}"#,
            r#"{"warm_rate":1,"backends":[],"classes":{"a":[1,2,3]}}"#,
        ];
        for text in strange {
            fs::write(&path, text).unwrap();
            assert_eq!(state.left(&names()), None, "{text}");
        }
        fs::write(&path, vec![b' '; 2 << 20]).unwrap();
        assert_eq!(state.left(&names()), None);
        let _ = fs::remove_dir_all(tmp);
    }

    #[test]
    fn without_a_place_nothing_lasts_and_nothing_fails() {
        let state = State::open_in(Path::new("/proc/no-such-place"), ([127, 0, 0, 1], 80).into(), 1);
        assert!(!state.can_store());
        state.cordon("s-1").unwrap();
        state.uncordon("s-1").unwrap();
        assert!(state.cordoned().is_empty());
    }
}
