//! The store itself: entries by kind and key, in one generation of a snapshot and a journal.
//!
//! Why no embedded database: the state is a few hundred small entries of which each start reads all, the platform
//! wants one small process, and what counts here is which byte is durable when, which a journal of 300 lines shows and
//! a test can enumerate.

use crate::disk::Disk;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io;
use thiserror::Error;

/// The format that is written; a greater one is another build's.
pub const FORMAT: u16 = 1;
/// The least format whose readers understand what is written: a build that goes back finds a file of a later format
/// that names its own here, and reads it. Entries of kinds that it does not know it keeps as they are.
pub const LEAST: u16 = 1;
const MAGIC: [u8; 4] = *b"DLTN";
/// Magic, format, least format (0 for the format itself), generation, checksum.
const HEADER: usize = 4 + 2 + 2 + 8 + 4;
/// Length, number and checksum before each record.
const FRAME: usize = 4 + 8 + 4;

/// Bounds of a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of all entries together.
    pub entries: usize,
    /// Bytes of the journal from which a new generation is begun.
    pub journal: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { entries: 16 << 20, journal: 4 << 20 }
    }
}

/// An entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// When it was written, in milliseconds since 1970 by the writer's clock.
    pub written_ms: u64,
    /// What.
    pub value: Vec<u8>,
}

/// One change, as the journal has it; a snapshot is the changes that lead to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum Record {
    Put {
        kind: String,
        key: String,
        entry: Entry,
    },
    Remove {
        kind: String,
        key: String,
    },
    /// A snapshot was whole.
    End {
        entries: u64,
    },
}

/// Why the store cannot be used.
#[derive(Debug, Error)]
pub enum StoreError {
    /// The disk says why.
    #[error("{0}")]
    Disk(#[from] io::Error),
    /// It was written by a later build.
    #[error("{file} has format {found}, this build reads up to {FORMAT}")]
    Newer {
        /// Which file.
        file: String,
        /// Its format.
        found: u16,
    },
    /// It would grow beyond its bound.
    #[error("full: {0} bytes of entries are allowed")]
    Full(usize),
    /// An entry cannot be encoded.
    #[error("an entry cannot be written: {0}")]
    Encode(String),
}

/// What a start found.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// The generation that was taken; 0 for none.
    pub generation: u64,
    /// Records of its journal.
    pub records: u64,
    /// Bytes that were cut off: a torn tail, or what follows damage, and then the journal is among `quarantined`.
    pub truncated_bytes: u64,
    /// Files that were damaged, with what they are called now.
    pub quarantined: Vec<(String, String)>,
}

/// Entries by kind and key.
pub type Entries = BTreeMap<(String, String), Entry>;

/// The store.
#[derive(Debug)]
pub struct Store<D> {
    disk: D,
    limits: Limits,
    entries: Entries,
    bytes: usize,
    generation: u64,
    /// Number of the next record.
    next: u64,
    journal: usize,
    /// The journal is not to be trusted any more: a sync or a write of it failed.
    broken: bool,
    /// Records since the last sync. They go to the disk in one piece, so that a power loss can leave a beginning of
    /// them and no more: a whole record behind one that is not is damage.
    pending: Vec<u8>,
}

fn name(generation: u64, what: &str) -> String {
    format!("{generation:016x}.{what}")
}

fn generation_of(file: &str, what: &str) -> Option<u64> {
    let hex = file.strip_suffix(what)?.strip_suffix('.')?;
    if hex.len() == 16 { u64::from_str_radix(hex, 16).ok() } else { None }
}

fn header(generation: u64) -> Vec<u8> {
    let mut bytes = MAGIC.to_vec();
    bytes.extend(FORMAT.to_le_bytes());
    bytes.extend(LEAST.to_le_bytes());
    bytes.extend(generation.to_le_bytes());
    bytes.extend(crc32fast::hash(&bytes).to_le_bytes());
    bytes
}

fn array<const N: usize>(bytes: &[u8], at: usize) -> Option<[u8; N]> {
    bytes.get(at..at + N)?.try_into().ok()
}

/// Whether a header is whole and of this generation; a whole one of a later format is told apart.
fn check_header(file: &str, bytes: &[u8], generation: u64) -> Result<bool, StoreError> {
    let whole = || {
        let sum = u32::from_le_bytes(array(bytes, HEADER - 4)?);
        let format = u16::from_le_bytes(array(bytes, 4)?);
        let least = match u16::from_le_bytes(array(bytes, 6)?) {
            0 => format,
            least => least,
        };
        let own = u64::from_le_bytes(array(bytes, 8)?);
        (bytes.get(..4)? == MAGIC && crc32fast::hash(bytes.get(..HEADER - 4)?) == sum)
            .then_some((format, least, own))
    };
    match whole() {
        Some((found, least, _)) if least > FORMAT => {
            Err(StoreError::Newer { file: file.to_owned(), found })
        }
        Some((.., own)) => Ok(own == generation),
        None => Ok(false),
    }
}

fn frame(number: u64, record: &Record) -> Result<Vec<u8>, StoreError> {
    let payload = postcard::to_stdvec(record).map_err(|e| StoreError::Encode(e.to_string()))?;
    let length = u32::try_from(payload.len()).map_err(|e| StoreError::Encode(e.to_string()))?;
    let mut bytes = Vec::with_capacity(FRAME + payload.len());
    bytes.extend(length.to_le_bytes());
    bytes.extend(number.to_le_bytes());
    let mut sum = crc32fast::Hasher::new();
    sum.update(&bytes);
    sum.update(&payload);
    bytes.extend(sum.finalize().to_le_bytes());
    bytes.extend(payload);
    Ok(bytes)
}

/// Reads records with rising numbers from `first` on, up to the first that is not whole; where that begins, and
/// whether it is the end.
fn records(bytes: &[u8], first: u64, mut take: impl FnMut(Record)) -> (usize, u64) {
    let (mut at, mut number) = (HEADER, first);
    loop {
        let record = || {
            let payload = framed(bytes, at, number..number + 1)?;
            Some((postcard::from_bytes(payload).ok()?, at + FRAME + payload.len()))
        };
        let Some((record, end)) = record() else { return (at, number) };
        take(record);
        (at, number) = (end, number + 1);
    }
}

/// A whole record that starts at `at`, of a number in `numbers`: its payload.
fn framed(bytes: &[u8], at: usize, numbers: std::ops::Range<u64>) -> Option<&[u8]> {
    let length = u32::from_le_bytes(array(bytes, at)?) as usize;
    if !numbers.contains(&u64::from_le_bytes(array(bytes, at + 4)?)) {
        return None;
    }
    let sum = u32::from_le_bytes(array(bytes, at + 12)?);
    let payload = bytes.get(at + FRAME..at.checked_add(FRAME)?.checked_add(length)?)?;
    let mut own = crc32fast::Hasher::new();
    own.update(bytes.get(at..at + 12)?);
    own.update(payload);
    (own.finalize() == sum).then_some(payload)
}

/// Whether a whole record of a later number follows where the journal seemed to end: then it is damaged within, and
/// not torn at its tail.
fn later(bytes: &[u8], end: usize, number: u64) -> bool {
    // A record has 16 bytes at least, so no number beyond this can be in what is left.
    let most = number + 1 + (bytes.len().saturating_sub(end) / FRAME) as u64;
    (end..bytes.len()).any(|at| framed(bytes, at, number + 1..most).is_some())
}

fn apply(entries: &mut Entries, record: Record) {
    match record {
        Record::Put { kind, key, entry } => drop(entries.insert((kind, key), entry)),
        Record::Remove { kind, key } => drop(entries.remove(&(kind, key))),
        Record::End { .. } => {}
    }
}

fn size(kind: &str, key: &str, entry: &Entry) -> usize {
    kind.len() + key.len() + entry.value.len() + 32
}

impl<D: Disk> Store<D> {
    /// Reads what is there, every byte of it checked, and begins a generation of its own: whole, and on disk. A torn
    /// tail of the journal is cut; damaged files are moved aside, never removed.
    ///
    /// # Errors
    /// The disk fails, or holds a later format; nothing is changed then.
    pub fn open(mut disk: D, limits: Limits) -> Result<(Store<D>, Report), StoreError> {
        let mut report = Report::default();
        let (entries, damaged, newest) = read(&mut disk, limits, &mut report)?;
        let bytes = entries.iter().map(|((kind, key), e)| size(kind, key, e)).sum();
        let mut store = Store {
            disk,
            limits,
            entries,
            bytes,
            generation: newest,
            next: 0,
            journal: 0,
            broken: false,
            pending: Vec::new(),
        };
        for file in damaged {
            let quarantined = format!("damaged-{file}");
            store.disk.rename(&file, &quarantined)?;
            report.quarantined.push((file, quarantined));
        }
        store.compact()?;
        Ok((store, report))
    }

    /// Reads what is there and changes nothing.
    ///
    /// # Errors
    /// As [`Store::open`].
    pub fn inspect(disk: &mut D, limits: Limits) -> Result<(Entries, Vec<String>, Report), StoreError> {
        let mut report = Report::default();
        let (entries, damaged, _) = read(disk, limits, &mut report)?;
        Ok((entries, damaged, report))
    }

    /// An entry.
    pub fn get(&self, kind: &str, key: &str) -> Option<&Entry> {
        self.entries.get(&(kind.to_owned(), key.to_owned()))
    }

    /// All entries of a kind, by key.
    pub fn of_kind<'a>(&'a self, kind: &'a str) -> impl Iterator<Item = (&'a str, &'a Entry)> {
        self.entries.iter().filter(move |((k, _), _)| k == kind).map(|((_, key), e)| (key.as_str(), e))
    }

    /// Puts an entry in place of what was under its key. Durable after [`Store::sync`].
    ///
    /// # Errors
    /// It is full, or the journal is and the disk fails; then the entry is as it was.
    pub fn put(&mut self, kind: &str, key: &str, entry: Entry) -> Result<(), StoreError> {
        let before = self.get(kind, key).map_or(0, |e| size(kind, key, e));
        let bytes = self.bytes - before + size(kind, key, &entry);
        if bytes > self.limits.entries {
            return Err(StoreError::Full(self.limits.entries));
        }
        self.write(Record::Put { kind: kind.to_owned(), key: key.to_owned(), entry })?;
        self.bytes = bytes;
        Ok(())
    }

    /// Removes an entry. Durable after [`Store::sync`].
    ///
    /// # Errors
    /// The journal is full and the disk fails; then the entry is as it was.
    pub fn remove(&mut self, kind: &str, key: &str) -> Result<(), StoreError> {
        let Some(before) = self.get(kind, key).map(|e| size(kind, key, e)) else { return Ok(()) };
        self.write(Record::Remove { kind: kind.to_owned(), key: key.to_owned() })?;
        self.bytes -= before;
        Ok(())
    }

    fn write(&mut self, record: Record) -> Result<(), StoreError> {
        let bytes = frame(self.next, &record)?;
        if !self.broken && self.journal + bytes.len() <= self.limits.journal {
            self.next += 1;
            self.journal += bytes.len();
            self.pending.extend(bytes);
            apply(&mut self.entries, record);
            return Ok(());
        }
        let before = self.entries.clone();
        apply(&mut self.entries, record);
        self.compact().inspect_err(|_| self.entries = before)
    }

    /// Makes all that was written durable. After a failure the journal is never believed again: the next change, or
    /// the next call, writes all of it anew. What could not be made durable stays in memory and is written with that,
    /// unless it is taken back.
    ///
    /// # Errors
    /// It is not durable.
    pub fn sync(&mut self) -> Result<(), StoreError> {
        if self.broken {
            return self.compact();
        }
        if self.pending.is_empty() {
            return Ok(());
        }
        let (pending, log) = (std::mem::take(&mut self.pending), name(self.generation, "log"));
        let written = self.disk.append(&log, &pending).and_then(|()| self.disk.sync(&log));
        // Part of it may be there: nothing may follow it.
        self.broken = written.is_err();
        Ok(written?)
    }

    /// Begins a new generation: whole and durable, name included, before the one before goes.
    ///
    /// # Errors
    /// The disk fails; the generation before is untouched.
    pub fn compact(&mut self) -> Result<(), StoreError> {
        // Whatever a failed attempt left has a name that is not used again.
        let generation = self.generation + 1;
        self.generation = generation;
        self.broken = true;
        let draft = name(generation, "draft");
        let mut bytes = header(generation);
        let mut number = 0;
        for ((kind, key), entry) in &self.entries {
            let record = Record::Put { kind: kind.clone(), key: key.clone(), entry: entry.clone() };
            bytes.extend(frame(number, &record)?);
            number += 1;
        }
        bytes.extend(frame(number, &Record::End { entries: number })?);
        let log = name(generation, "log");
        let written = (|| {
            self.disk.append(&draft, &bytes)?;
            self.disk.sync(&draft)?;
            self.disk.append(&log, &header(generation))?;
            self.disk.sync(&log)?;
            // The snapshot's name is what makes the generation: it comes last. A journal whose own name was lost
            // before that is empty.
            self.disk.rename(&draft, &name(generation, "snap"))?;
            self.disk.sync_names()
        })();
        if let Err(e) = written {
            // What it left is only room lost; the next start clears it.
            let _ = self.disk.remove(&draft);
            return Err(e.into());
        }
        (self.next, self.journal, self.broken) = (number + 1, HEADER, false);
        self.pending.clear();
        for file in self.disk.list()? {
            let old = ["snap", "log", "draft"]
                .iter()
                .any(|w| generation_of(&file, w).is_some_and(|g| g < generation));
            if old {
                // One that stays is cleared with the next generation.
                let _ = self.disk.remove(&file);
            }
        }
        Ok(())
    }

    /// Entries and bytes of them.
    pub fn size(&self) -> (usize, usize) {
        (self.entries.len(), self.bytes)
    }

    /// The disk.
    pub fn disk(&mut self) -> &mut D {
        &mut self.disk
    }

    /// Gives the disk back.
    pub fn into_disk(self) -> D {
        self.disk
    }
}

/// The entries of the newest whole generation, the files that are damaged, and the greatest generation in use.
fn read<D: Disk>(
    disk: &mut D,
    limits: Limits,
    report: &mut Report,
) -> Result<(Entries, Vec<String>, u64), StoreError> {
    let most = HEADER + 4 * limits.entries.max(limits.journal) + (1 << 20);
    let names = disk.list()?;
    let mut generations: Vec<u64> = names.iter().filter_map(|n| generation_of(n, "snap")).collect();
    generations.sort_unstable_by(|a, b| b.cmp(a));
    let of = |n: &String| ["snap", "log", "draft"].iter().find_map(|w| generation_of(n, w));
    let newest = names.iter().filter_map(of).max().unwrap_or(0);
    let mut damaged = Vec::new();
    for generation in generations {
        let snap = name(generation, "snap");
        let bytes = disk.read(&snap, most)?;
        let mut entries = Entries::new();
        let mut ended = None;
        let own = check_header(&snap, &bytes, generation)?;
        let (end, next) = records(&bytes, 0, |record| {
            if let Record::End { entries } = record {
                ended = Some(entries);
            }
            apply(&mut entries, record);
        });
        let whole =
            own && end == bytes.len() && ended.is_some_and(|n| n + 1 == next && n == entries.len() as u64);
        if !whole {
            damaged.push(snap);
            continue;
        }
        let log = name(generation, "log");
        if names.contains(&log) {
            let bytes = disk.read(&log, most)?;
            if check_header(&log, &bytes, generation)? {
                let (end, after) = records(&bytes, next, |record| apply(&mut entries, record));
                report.records = after - next;
                report.truncated_bytes = (bytes.len() - end) as u64;
                if later(&bytes, end, after) {
                    damaged.push(log);
                }
            } else {
                damaged.push(log);
            }
        }
        report.generation = generation;
        return Ok((entries, damaged, newest));
    }
    Ok((Entries::new(), damaged, newest))
}

/// Has the reader take any bytes as a snapshot and a journal, and the store go on from what it makes of them: for the
/// fuzzer, and for the replay of its corpus. The first two bytes tell how long the snapshot is.
///
/// # Panics
/// What was read cannot be written and read again as it was.
pub fn exercise(bytes: &[u8]) {
    let limits = Limits { entries: 1 << 16, journal: 1 << 12 };
    let (length, rest) = match bytes.split_first_chunk::<2>() {
        Some((length, rest)) => (usize::from(u16::from_le_bytes(*length)), rest),
        None => (0, bytes),
    };
    let (snap, log) = rest.split_at(length.min(rest.len()));
    let mut disk = crate::faults::FaultDisk::default();
    let laid = disk.append(&name(1, "snap"), snap).and_then(|()| disk.append(&name(1, "log"), log));
    if laid.is_err() {
        return;
    }
    let Ok((mut store, _)) = Store::open(disk, limits) else { return };
    let put = store.put("exercise", "x", Entry { written_ms: 1, value: vec![7] });
    let synced = put.is_ok() && store.sync().is_ok();
    let before = store.entries.clone();
    let again = Store::open(store.into_disk(), limits);
    if synced {
        let again = again.map(|(store, report)| (store.entries, report.quarantined.is_empty()));
        assert_eq!(again.ok(), Some((before, true)), "what was durable is read again");
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::faults::{FaultDisk, Faults};

    const SMALL: Limits = Limits { entries: 4096, journal: 300 };

    fn entry(n: u64) -> Entry {
        Entry { written_ms: n, value: n.to_le_bytes().to_vec() }
    }

    fn opened(disk: FaultDisk) -> (Store<FaultDisk>, Report) {
        Store::open(disk, SMALL).expect("it opens")
    }

    #[test]
    fn a_later_format_is_read_where_it_says_that_it_may_be_and_else_left_alone() {
        let (mut store, _) = opened(FaultDisk::default());
        store.put("cordon", "s-1", entry(1)).unwrap();
        store.put("of a later build", "x", entry(2)).unwrap();
        store.sync().unwrap();
        let disk = store.into_disk();
        let later = |least: u16| {
            let mut disk = disk.clone();
            for file in disk.list().unwrap() {
                let bytes = disk.read(&file, usize::MAX).unwrap();
                let mut header = bytes[..HEADER - 4].to_vec();
                header[4..6].copy_from_slice(&(FORMAT + 1).to_le_bytes());
                header[6..8].copy_from_slice(&least.to_le_bytes());
                header.extend(crc32fast::hash(&header).to_le_bytes());
                disk.truncate(&file, 0).unwrap();
                disk.append(&file, &[&header, &bytes[HEADER..]].concat()).unwrap();
            }
            disk
        };
        let (store, report) = opened(later(FORMAT));
        assert!(report.quarantined.is_empty() && report.truncated_bytes == 0, "{report:?}");
        assert_eq!(store.get("cordon", "s-1"), Some(&entry(1)));
        assert_eq!(store.get("of a later build", "x"), Some(&entry(2)), "kept for its next start");
        for least in [0, FORMAT + 1] {
            let refused = Store::open(later(least), SMALL).unwrap_err();
            assert!(matches!(refused, StoreError::Newer { found, .. } if found == FORMAT + 1), "{refused}");
        }
    }

    #[test]
    fn a_journal_that_is_damaged_within_is_moved_aside_and_a_torn_one_is_cut() {
        let (mut store, _) = opened(FaultDisk::default());
        for n in 0..4 {
            store.put("k", &format!("{n}"), entry(n)).unwrap();
        }
        store.sync().unwrap();
        let log = name(store.generation, "log");
        let whole = store.into_disk();
        let length = whole.length(&log);
        // Its second record: the first is believed, and the file with the two behind it is kept.
        let mut spoilt = whole.clone();
        spoilt.spoil(&log, HEADER + (length - HEADER) / 4 + 20);
        let (store, report) = opened(spoilt);
        assert_eq!(report.quarantined, [(log.clone(), format!("damaged-{log}"))]);
        assert_eq!(store.entries.len(), 1);
        assert_eq!(store.into_disk().length(&format!("damaged-{log}")), length);
        // The last one: that is what a power loss leaves.
        let mut torn = whole;
        torn.truncate(&log, length as u64 - 3).unwrap();
        let (store, report) = opened(torn);
        assert!(report.quarantined.is_empty() && report.truncated_bytes > 0, "{report:?}");
        assert_eq!(store.entries.len(), 3);
    }

    #[test]
    fn what_was_put_is_there_after_a_start() {
        let (mut store, report) = opened(FaultDisk::default());
        assert_eq!(report, Report::default());
        for n in 0..40 {
            store.put("k", &format!("{}", n % 7), entry(n)).unwrap();
        }
        store.remove("k", "3").unwrap();
        store.remove("k", "none").unwrap();
        store.sync().unwrap();
        let before = store.entries.clone();
        assert_eq!(before.len(), 6);
        let (store, report) = opened(store.into_disk());
        assert_eq!(store.entries, before);
        assert!(report.generation > 1 && report.quarantined.is_empty(), "{report:?}");
        let left = store.into_disk().list().unwrap();
        assert_eq!(left.len(), 2, "one generation: {left:?}");
    }

    #[test]
    fn a_store_that_is_full_says_so_and_stays_as_it_was() {
        let (mut store, _) = opened(FaultDisk::default());
        let big = Entry { written_ms: 0, value: vec![7; 3000] };
        store.put("k", "a", big.clone()).unwrap();
        assert!(matches!(store.put("k", "b", big.clone()), Err(StoreError::Full(4096))));
        store.put("k", "a", big).unwrap();
        store.remove("k", "a").unwrap();
        assert_eq!(store.size(), (0, 0));
    }

    #[test]
    fn a_later_format_is_refused_and_nothing_is_touched() {
        let mut disk = FaultDisk::default();
        let mut bytes = header(5);
        (bytes[4], bytes[6]) = (9, 9);
        let sum = crc32fast::hash(&bytes[..HEADER - 4]);
        bytes[HEADER - 4..].copy_from_slice(&sum.to_le_bytes());
        disk.append(&name(5, "snap"), &bytes).unwrap();
        let before = disk.list().unwrap();
        let mut kept = disk.clone();
        assert!(matches!(Store::open(disk, SMALL), Err(StoreError::Newer { found: 9, .. })));
        assert_eq!(kept.list().unwrap(), before);
    }

    #[test]
    fn a_spoilt_byte_is_seen_wherever_it_is_and_the_file_is_kept_aside() {
        let (mut store, _) = opened(FaultDisk::default());
        for n in 0..3 {
            store.put("k", &n.to_string(), entry(n)).unwrap();
        }
        store.compact().unwrap();
        store.put("k", "9", entry(9)).unwrap();
        store.sync().unwrap();
        let (snap, log) = (name(store.generation, "snap"), name(store.generation, "log"));
        let whole = store.entries.clone();
        let disk = store.into_disk();
        for at in 0..disk.length(&snap) {
            let mut spoilt = disk.clone();
            spoilt.spoil(&snap, at);
            let read = Store::open(spoilt, SMALL);
            // A spoilt format number may read as a later one, if its checksum did not tell.
            let (store, report) = read.expect("it starts");
            assert!(store.entries.is_empty() && report.quarantined.len() == 1, "byte {at}");
        }
        for at in 0..disk.length(&log) {
            let mut spoilt = disk.clone();
            spoilt.spoil(&log, at);
            let (store, _) = Store::open(spoilt, SMALL).expect("it starts");
            assert!(store.entries.iter().all(|(k, e)| whole.get(k) == Some(e)), "byte {at}");
            assert_eq!(store.entries.len(), 3, "byte {at}: the record is not whole");
        }
    }

    #[test]
    fn no_room_and_a_failed_sync_are_never_taken_for_success() {
        let (mut store, _) = opened(FaultDisk::default());
        store.put("k", "a", entry(1)).unwrap();
        store.sync().unwrap();
        store.disk().faults = Faults { free_bytes: Some(5), ..Faults::default() };
        assert!(store.put("k", "b", entry(2)).and_then(|()| store.sync()).is_err());
        assert!(
            store.remove("k", "b").is_err() && store.get("k", "b").is_some(),
            "still no room to take it back"
        );
        store.disk().faults = Faults::default();
        store.put("k", "b", entry(2)).unwrap();
        store.sync().unwrap();
        // A sync that fails once and then succeeds has lost what was written.
        store.put("k", "c", entry(3)).unwrap();
        store.disk().faults = Faults { failing_syncs: 1, ..Faults::default() };
        assert!(store.sync().is_err());
        store.sync().unwrap();
        let (after, _) = opened(store.into_disk().after_power_loss(|_| 0));
        assert_eq!(after.entries.keys().map(|k| k.1.as_str()).collect::<Vec<_>>(), ["a", "b", "c"]);
        let (mut store, _) = opened(after.into_disk());
        store.disk().faults.read_only = true;
        assert!(store.put("k", "d", entry(4)).and_then(|()| store.sync()).is_err());
        let mut disk = store.into_disk();
        disk.faults = Faults { unreadable: true, ..Faults::default() };
        assert!(matches!(Store::open(disk, SMALL), Err(StoreError::Disk(_))));
    }

    /// Plays changes until power is lost at the given operation. Hands back the disk, what was acknowledged as durable
    /// last, and every state since: one of these must be found, whole.
    fn until_power_loss(
        disk: FaultDisk,
        power: u64,
        seed: u64,
        steps: u64,
    ) -> (FaultDisk, Vec<Entries>, bool) {
        let mut disk = disk;
        disk.power = Some(power);
        let mut rng = fastrand::Rng::with_seed(seed);
        // A copy of the disk, as the power loss leaves it, is taken from the store that dies.
        let mut states = Vec::new();
        let (mut store, _) = match Store::open(disk.clone(), SMALL) {
            Ok(opened) => opened,
            // Lost while it started: the disk as far as that came is played again, step by step.
            Err(_) => return (replay_open(disk), states, false),
        };
        states.push(store.entries.clone());
        for n in 0..steps {
            let key = rng.u64(0..5).to_string();
            let done = match rng.u8(0..4) {
                0 => store.remove("k", &key),
                _ => store.put("k", &key, entry(n)),
            };
            if done.is_err() {
                // Whether it is there is open: both are whole states.
                let mut other = store.entries.clone();
                other.insert(("k".to_owned(), key.clone()), entry(n));
                states.push(other);
                let mut removed = store.entries.clone();
                removed.remove(&("k".to_owned(), key));
                states.push(removed);
                return (store.into_disk(), states, false);
            }
            states.push(store.entries.clone());
            if rng.u8(0..3) == 0 {
                match store.sync() {
                    Ok(()) => states = vec![store.entries.clone()],
                    Err(_) => return (store.into_disk(), states, false),
                }
            }
        }
        (store.into_disk(), states, true)
    }

    /// An open that dies keeps its disk to itself: it is done again on a shared one.
    fn replay_open(disk: FaultDisk) -> FaultDisk {
        struct Shared<'a>(&'a mut FaultDisk);
        impl Disk for Shared<'_> {
            fn list(&mut self) -> io::Result<Vec<String>> {
                self.0.list()
            }
            fn read(&mut self, name: &str, limit: usize) -> io::Result<Vec<u8>> {
                self.0.read(name, limit)
            }
            fn append(&mut self, name: &str, bytes: &[u8]) -> io::Result<()> {
                self.0.append(name, bytes)
            }
            fn truncate(&mut self, name: &str, length: u64) -> io::Result<()> {
                self.0.truncate(name, length)
            }
            fn sync(&mut self, name: &str) -> io::Result<()> {
                self.0.sync(name)
            }
            fn rename(&mut self, from: &str, to: &str) -> io::Result<()> {
                self.0.rename(from, to)
            }
            fn remove(&mut self, name: &str) -> io::Result<()> {
                self.0.remove(name)
            }
            fn sync_names(&mut self) -> io::Result<()> {
                self.0.sync_names()
            }
        }
        let mut disk = disk;
        let _ = Store::open(Shared(&mut disk), SMALL);
        disk
    }

    fn found(disk: &FaultDisk, states: &[Entries], what: &str) {
        let (mut store, report) = Store::open(disk.clone(), SMALL).expect("it starts whatever is there");
        assert!(
            states.contains(&store.entries),
            "{what}: {:?} {report:?} not one of {states:?}",
            store.entries
        );
        assert!(report.quarantined.is_empty(), "{what}: nothing is damaged by a power loss: {report:?}");
        // And it goes on.
        store.put("k", "again", entry(1)).unwrap();
        store.sync().unwrap();
    }

    #[test]
    fn short_runs_survive_a_power_loss_at_every_operation_whatever_is_left() {
        let mut points = 0_u64;
        for seed in 0..100 {
            for power in 0.. {
                let (disk, states, ended) = until_power_loss(FaultDisk::default(), power, seed, 4);
                let states = if states.is_empty() { vec![Entries::new()] } else { states };
                // Every choice of what is left, as digits of a number that counts up.
                let mut choices: Vec<(usize, usize)> = Vec::new();
                for _ in 0..1000 {
                    let mut n = 0;
                    let left = disk.after_power_loss(|of| {
                        if choices.len() <= n {
                            choices.push((0, of));
                        }
                        choices[n].1 = of;
                        n += 1;
                        choices[n - 1].0.min(of - 1)
                    });
                    choices.truncate(n);
                    found(&left, &states, &format!("seed {seed} power {power} choices {choices:?}"));
                    points += 1;
                    while choices.last().is_some_and(|(c, of)| c + 1 >= *of) {
                        choices.pop();
                    }
                    match choices.last_mut() {
                        Some((c, _)) => *c += 1,
                        None => break,
                    }
                }
                if ended {
                    break;
                }
            }
        }
        assert!(points > 20_000, "{points}");
    }

    #[test]
    fn long_runs_survive_power_losses_one_after_the_other() {
        let mut rng = fastrand::Rng::with_seed(11);
        for run in 0..400 {
            let mut disk = FaultDisk::default();
            let mut known = vec![Entries::new()];
            for loss in 0..8 {
                let power = rng.u64(0..120);
                let (dead, states, _) = until_power_loss(disk, power, rng.u64(..), 60);
                if !states.is_empty() {
                    known = states;
                }
                let mut drawn = Vec::new();
                for _ in 0..32 {
                    let left = dead.after_power_loss(|of| rng.usize(0..of));
                    found(&left, &known, &format!("run {run} loss {loss}"));
                    drawn.push(left);
                }
                disk = drawn.swap_remove(rng.usize(0..drawn.len()));
            }
        }
    }
}
