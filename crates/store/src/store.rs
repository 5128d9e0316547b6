//! The store: entries by kind and key, in one generation of a snapshot and a journal.
//!
//! An embedded database is not used: the state is a few hundred small entries, all of which are read at
//! each start; the platform expects one small process; and what matters is which byte is durable at which
//! moment, which a test can enumerate for a journal of 300 lines.

use crate::disk::Disk;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io;
use thiserror::Error;

/// Format version that this build writes. A greater number comes from a later build.
pub const FORMAT: u16 = 1;
/// Oldest format version whose readers understand the files that this build writes. It lets an older build
/// read the files of a newer one after a rollback: a reader accepts a later format if this number in the
/// header is not above its own format version. A reader keeps entries of unknown kinds unchanged.
pub const MIN_READER_FORMAT: u16 = 1;
const MAGIC: [u8; 4] = *b"DLTN";
/// Size of a file header: magic number, format version, minimum reader version (0 means the format
/// version), generation, checksum.
const HEADER_BYTES: usize = 4 + 2 + 2 + 8 + 4;
/// Size of the frame before each record's payload: length, sequence number, checksum.
const FRAME_BYTES: usize = 4 + 8 + 4;

/// Size limits of a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum size of all entries together, in bytes.
    pub max_entry_bytes: usize,
    /// Size of the journal, in bytes, above which a new generation is written.
    pub max_journal_bytes: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { max_entry_bytes: 16 << 20, max_journal_bytes: 4 << 20 }
    }
}

/// A stored value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Time of the write in milliseconds since 1970, by the writer's clock.
    pub written_ms: u64,
    /// The value.
    pub value: Vec<u8>,
}

/// A change, as recorded in the journal. A snapshot consists of the changes that recreate its entries.
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
    /// Marks the end of a complete snapshot.
    End {
        entries: u64,
    },
}

/// Error of a store operation.
#[derive(Debug, Error)]
pub enum StoreError {
    /// A disk operation failed.
    #[error("{0}")]
    Disk(#[from] io::Error),
    /// The file was written by a later build in a format that this build cannot read.
    #[error("{file} has format {found}, this build reads up to {FORMAT}")]
    Newer {
        /// Name of the file.
        file: String,
        /// Format version of the file.
        found: u16,
    },
    /// The entry would exceed the size limit of all entries, which is given in bytes.
    #[error("full: {0} bytes of entries are allowed")]
    Full(usize),
    /// An entry cannot be encoded.
    #[error("an entry cannot be written: {0}")]
    Encode(String),
}

/// What was found when the store was opened.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Generation that was read; 0 if there was none.
    pub generation: u64,
    /// Number of records read from its journal.
    pub records: u64,
    /// Bytes of the journal after its last valid record, which were ignored: an incomplete record at the
    /// end, or everything after a damaged record. In the second case the journal is also listed in
    /// `quarantined`.
    pub truncated_bytes: u64,
    /// Damaged files: their names and the names to which they were renamed.
    pub quarantined: Vec<(String, String)>,
}

/// Entries by kind and key.
pub type Entries = BTreeMap<(String, String), Entry>;

/// An open store.
#[derive(Debug)]
pub struct Store<D> {
    disk: D,
    limits: Limits,
    entries: Entries,
    /// Total size of all entries in bytes.
    entry_bytes: usize,
    generation: u64,
    /// Sequence number of the next record.
    next_number: u64,
    /// Size of the journal in bytes.
    journal_bytes: usize,
    /// True after a failed write or sync of the journal, until a new generation is written.
    journal_failed: bool,
    /// Records since the last sync. They are appended in one write, so a power loss leaves a prefix of
    /// them. A valid record after an invalid one is therefore evidence of damage.
    pending: Vec<u8>,
}

/// Returns the name of a generation's file.
fn file_name(generation: u64, extension: &str) -> String {
    format!("{generation:016x}.{extension}")
}

/// Returns the generation of a file name with this extension.
fn generation_of(file: &str, extension: &str) -> Option<u64> {
    let hex = file.strip_suffix(extension)?.strip_suffix('.')?;
    if hex.len() == 16 { u64::from_str_radix(hex, 16).ok() } else { None }
}

/// Encodes a file header.
fn header(generation: u64) -> Vec<u8> {
    let mut bytes = MAGIC.to_vec();
    bytes.extend(FORMAT.to_le_bytes());
    bytes.extend(MIN_READER_FORMAT.to_le_bytes());
    bytes.extend(generation.to_le_bytes());
    bytes.extend(crc32fast::hash(&bytes).to_le_bytes());
    bytes
}

fn read_array<const N: usize>(bytes: &[u8], at: usize) -> Option<[u8; N]> {
    bytes.get(at..at + N)?.try_into().ok()
}

/// Returns true if a header is valid and belongs to this generation. A valid header whose format this build
/// cannot read is an error.
fn check_header(file: &str, bytes: &[u8], generation: u64) -> Result<bool, StoreError> {
    let parsed =
        || {
            let sum = u32::from_le_bytes(read_array(bytes, HEADER_BYTES - 4)?);
            let format = u16::from_le_bytes(read_array(bytes, 4)?);
            let min_reader = match u16::from_le_bytes(read_array(bytes, 6)?) {
                0 => format,
                min_reader => min_reader,
            };
            let header_generation = u64::from_le_bytes(read_array(bytes, 8)?);
            (bytes.get(..4)? == MAGIC && crc32fast::hash(bytes.get(..HEADER_BYTES - 4)?) == sum)
                .then_some((format, min_reader, header_generation))
        };
    match parsed() {
        Some((found, min_reader, _)) if min_reader > FORMAT => {
            Err(StoreError::Newer { file: file.to_owned(), found })
        }
        Some((.., header_generation)) => Ok(header_generation == generation),
        None => Ok(false),
    }
}

/// Encodes a record with its frame.
fn encode_record(number: u64, record: &Record) -> Result<Vec<u8>, StoreError> {
    let payload = postcard::to_stdvec(record).map_err(|e| StoreError::Encode(e.to_string()))?;
    let length = u32::try_from(payload.len()).map_err(|e| StoreError::Encode(e.to_string()))?;
    let mut bytes = Vec::with_capacity(FRAME_BYTES + payload.len());
    bytes.extend(length.to_le_bytes());
    bytes.extend(number.to_le_bytes());
    let mut sum = crc32fast::Hasher::new();
    sum.update(&bytes);
    sum.update(&payload);
    bytes.extend(sum.finalize().to_le_bytes());
    bytes.extend(payload);
    Ok(bytes)
}

/// Reads records with consecutive sequence numbers, starting at `first`, up to the first invalid one.
/// Returns the offset where the valid records end and the next sequence number.
fn read_records(bytes: &[u8], first: u64, mut on_record: impl FnMut(Record)) -> (usize, u64) {
    let (mut at, mut number) = (HEADER_BYTES, first);
    loop {
        let record = || {
            let payload = valid_payload(bytes, at, number..number + 1)?;
            Some((postcard::from_bytes(payload).ok()?, at + FRAME_BYTES + payload.len()))
        };
        let Some((record, end)) = record() else { return (at, number) };
        on_record(record);
        (at, number) = (end, number + 1);
    }
}

/// Returns the payload of the record at offset `at`, if it is valid and its sequence number is in
/// `numbers`.
fn valid_payload(bytes: &[u8], at: usize, numbers: std::ops::Range<u64>) -> Option<&[u8]> {
    let length = u32::from_le_bytes(read_array(bytes, at)?) as usize;
    if !numbers.contains(&u64::from_le_bytes(read_array(bytes, at + 4)?)) {
        return None;
    }
    let sum = u32::from_le_bytes(read_array(bytes, at + 12)?);
    let payload = bytes.get(at + FRAME_BYTES..at.checked_add(FRAME_BYTES)?.checked_add(length)?)?;
    let mut own = crc32fast::Hasher::new();
    own.update(bytes.get(at..at + 12)?);
    own.update(payload);
    (own.finalize() == sum).then_some(payload)
}

/// Returns true if a valid record with a later sequence number follows the apparent end of the journal. The
/// journal is then damaged in the middle and not just incomplete at its end.
fn has_later_record(bytes: &[u8], end: usize, number: u64) -> bool {
    // A record has at least 16 bytes, which bounds the sequence numbers that fit into the remaining bytes.
    let max_number = number + 1 + (bytes.len().saturating_sub(end) / FRAME_BYTES) as u64;
    (end..bytes.len()).any(|at| valid_payload(bytes, at, number + 1..max_number).is_some())
}

/// Applies a change to the entries.
fn apply(entries: &mut Entries, record: Record) {
    match record {
        Record::Put { kind, key, entry } => drop(entries.insert((kind, key), entry)),
        Record::Remove { kind, key } => drop(entries.remove(&(kind, key))),
        Record::End { .. } => {}
    }
}

/// Returns the size of an entry as counted against `Limits::max_entry_bytes`: its strings, its value and 32
/// bytes.
fn entry_size(kind: &str, key: &str, entry: &Entry) -> usize {
    kind.len() + key.len() + entry.value.len() + 32
}

impl<D: Disk> Store<D> {
    /// Opens a store: reads and checks every byte and writes a new generation. An incomplete record at the
    /// end of the journal is dropped; damaged files are renamed, never removed.
    ///
    /// # Errors
    /// Returns an error if the disk fails or holds a later format that this build cannot read. A later
    /// format is left unchanged.
    pub fn open(mut disk: D, limits: Limits) -> Result<(Store<D>, Report), StoreError> {
        let mut report = Report::default();
        let (entries, damaged, newest) = read_newest_generation(&mut disk, limits, &mut report)?;
        let entry_bytes = entries.iter().map(|((kind, key), e)| entry_size(kind, key, e)).sum();
        let mut store = Store {
            disk,
            limits,
            entries,
            entry_bytes,
            generation: newest,
            next_number: 0,
            journal_bytes: 0,
            journal_failed: false,
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

    /// Reads a store without changing it. Returns the entries, the names of damaged files and the report.
    ///
    /// # Errors
    /// Returns the errors of [`Store::open`].
    pub fn inspect(disk: &mut D, limits: Limits) -> Result<(Entries, Vec<String>, Report), StoreError> {
        let mut report = Report::default();
        let (entries, damaged, _) = read_newest_generation(disk, limits, &mut report)?;
        Ok((entries, damaged, report))
    }

    /// Returns an entry.
    pub fn get(&self, kind: &str, key: &str) -> Option<&Entry> {
        self.entries.get(&(kind.to_owned(), key.to_owned()))
    }

    /// Returns all entries of a kind, by key.
    pub fn of_kind<'a>(&'a self, kind: &'a str) -> impl Iterator<Item = (&'a str, &'a Entry)> {
        self.entries.iter().filter(move |((k, _), _)| k == kind).map(|((_, key), e)| (key.as_str(), e))
    }

    /// Writes an entry and replaces the previous one of that key. Durable after [`Store::sync`].
    ///
    /// # Errors
    /// Returns an error if the store is full, or if the journal is full and the new generation cannot be
    /// written. The entry is then unchanged.
    pub fn put(&mut self, kind: &str, key: &str, entry: Entry) -> Result<(), StoreError> {
        let before = self.get(kind, key).map_or(0, |e| entry_size(kind, key, e));
        let entry_bytes = self.entry_bytes - before + entry_size(kind, key, &entry);
        if entry_bytes > self.limits.max_entry_bytes {
            return Err(StoreError::Full(self.limits.max_entry_bytes));
        }
        self.write(Record::Put { kind: kind.to_owned(), key: key.to_owned(), entry })?;
        self.entry_bytes = entry_bytes;
        Ok(())
    }

    /// Removes an entry. Durable after [`Store::sync`].
    ///
    /// # Errors
    /// Returns an error if the journal is full and the new generation cannot be written. The entry is then
    /// unchanged.
    pub fn remove(&mut self, kind: &str, key: &str) -> Result<(), StoreError> {
        let Some(before) = self.get(kind, key).map(|e| entry_size(kind, key, e)) else { return Ok(()) };
        self.write(Record::Remove { kind: kind.to_owned(), key: key.to_owned() })?;
        self.entry_bytes -= before;
        Ok(())
    }

    /// Adds a record to the journal, or writes a new generation if the journal is full or has failed.
    fn write(&mut self, record: Record) -> Result<(), StoreError> {
        let bytes = encode_record(self.next_number, &record)?;
        if !self.journal_failed && self.journal_bytes + bytes.len() <= self.limits.max_journal_bytes {
            self.next_number += 1;
            self.journal_bytes += bytes.len();
            self.pending.extend(bytes);
            apply(&mut self.entries, record);
            return Ok(());
        }
        let before = self.entries.clone();
        apply(&mut self.entries, record);
        self.compact().inspect_err(|_| self.entries = before)
    }

    /// Makes all changes durable. After a failure the journal is not used again: the next change or the
    /// next call of this method writes a new generation. Changes that could not be made durable stay in
    /// memory and are part of that generation, unless the caller reverts them.
    ///
    /// # Errors
    /// Returns an error if the changes are not durable.
    pub fn sync(&mut self) -> Result<(), StoreError> {
        if self.journal_failed {
            return self.compact();
        }
        if self.pending.is_empty() {
            return Ok(());
        }
        let (pending, log) = (std::mem::take(&mut self.pending), file_name(self.generation, "log"));
        let written = self.disk.append(&log, &pending).and_then(|()| self.disk.sync(&log));
        // After a failure, part of the data may be in the file, so nothing may be appended after it.
        self.journal_failed = written.is_err();
        Ok(written?)
    }

    /// Writes a new generation and makes it durable, including its file names, before removing the previous
    /// one.
    ///
    /// # Errors
    /// Returns an error if the disk fails. The previous generation is then unchanged.
    pub fn compact(&mut self) -> Result<(), StoreError> {
        // Each attempt uses a new number, since a failed attempt may have left files under its number.
        let generation = self.generation + 1;
        self.generation = generation;
        self.journal_failed = true;
        let draft = file_name(generation, "draft");
        let mut bytes = header(generation);
        let mut number = 0;
        for ((kind, key), entry) in &self.entries {
            let record = Record::Put { kind: kind.clone(), key: key.clone(), entry: entry.clone() };
            bytes.extend(encode_record(number, &record)?);
            number += 1;
        }
        bytes.extend(encode_record(number, &Record::End { entries: number })?);
        let log = file_name(generation, "log");
        let written = (|| {
            self.disk.append(&draft, &bytes)?;
            self.disk.sync(&draft)?;
            self.disk.append(&log, &header(generation))?;
            self.disk.sync(&log)?;
            // The rename of the snapshot makes the generation valid, so it comes last. If the journal's
            // name is lost before that, the journal was still empty.
            self.disk.rename(&draft, &file_name(generation, "snap"))?;
            self.disk.sync_names()
        })();
        if let Err(e) = written {
            // A leftover file only takes up space; the next generation removes it.
            let _ = self.disk.remove(&draft);
            return Err(e.into());
        }
        (self.next_number, self.journal_bytes, self.journal_failed) = (number + 1, HEADER_BYTES, false);
        self.pending.clear();
        for file in self.disk.list()? {
            let is_old = ["snap", "log", "draft"]
                .iter()
                .any(|w| generation_of(&file, w).is_some_and(|g| g < generation));
            if is_old {
                // A file that cannot be removed now is removed with the next generation.
                let _ = self.disk.remove(&file);
            }
        }
        Ok(())
    }

    /// Returns the number of entries and their total size in bytes.
    pub fn size(&self) -> (usize, usize) {
        (self.entries.len(), self.entry_bytes)
    }

    /// Returns the disk.
    pub fn disk(&mut self) -> &mut D {
        &mut self.disk
    }

    /// Closes the store and returns the disk.
    pub fn into_disk(self) -> D {
        self.disk
    }
}

/// Returns the entries of the newest complete generation, the names of damaged files, and the greatest
/// generation number in use.
fn read_newest_generation<D: Disk>(
    disk: &mut D,
    limits: Limits,
    report: &mut Report,
) -> Result<(Entries, Vec<String>, u64), StoreError> {
    let max_file_bytes =
        HEADER_BYTES + 4 * limits.max_entry_bytes.max(limits.max_journal_bytes) + (1 << 20);
    let names = disk.list()?;
    let mut generations: Vec<u64> = names.iter().filter_map(|n| generation_of(n, "snap")).collect();
    generations.sort_unstable_by(|a, b| b.cmp(a));
    let any_generation_of = |n: &String| ["snap", "log", "draft"].iter().find_map(|w| generation_of(n, w));
    let newest = names.iter().filter_map(any_generation_of).max().unwrap_or(0);
    let mut damaged = Vec::new();
    for generation in generations {
        let snap = file_name(generation, "snap");
        let bytes = disk.read(&snap, max_file_bytes)?;
        let mut entries = Entries::new();
        let mut end_record = None;
        let is_own_header = check_header(&snap, &bytes, generation)?;
        let (end, next) = read_records(&bytes, 0, |record| {
            if let Record::End { entries } = record {
                end_record = Some(entries);
            }
            apply(&mut entries, record);
        });
        let is_complete = is_own_header
            && end == bytes.len()
            && end_record.is_some_and(|n| n + 1 == next && n == entries.len() as u64);
        if !is_complete {
            damaged.push(snap);
            continue;
        }
        let log = file_name(generation, "log");
        if names.contains(&log) {
            let bytes = disk.read(&log, max_file_bytes)?;
            if check_header(&log, &bytes, generation)? {
                let (end, after) = read_records(&bytes, next, |record| apply(&mut entries, record));
                report.records = after - next;
                report.truncated_bytes = (bytes.len() - end) as u64;
                if has_later_record(&bytes, end, after) {
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

/// Opens a store with arbitrary bytes as its snapshot and journal, writes an entry and opens it again. Used
/// by the fuzzer and by the replay of its corpus. The first two bytes give the snapshot's length.
///
/// # Panics
/// Panics if durable entries are not read back unchanged.
pub fn exercise(bytes: &[u8]) {
    let limits = Limits { max_entry_bytes: 1 << 16, max_journal_bytes: 1 << 12 };
    let (length, rest) = match bytes.split_first_chunk::<2>() {
        Some((length, rest)) => (usize::from(u16::from_le_bytes(*length)), rest),
        None => (0, bytes),
    };
    let (snap, log) = rest.split_at(length.min(rest.len()));
    let mut disk = crate::faults::FaultDisk::default();
    let written =
        disk.append(&file_name(1, "snap"), snap).and_then(|()| disk.append(&file_name(1, "log"), log));
    if written.is_err() {
        return;
    }
    let Ok((mut store, _)) = Store::open(disk, limits) else { return };
    let put = store.put("exercise", "x", Entry { written_ms: 1, value: vec![7] });
    let synced = put.is_ok() && store.sync().is_ok();
    let before = store.entries.clone();
    let again = Store::open(store.into_disk(), limits);
    if synced {
        let again = again.map(|(store, report)| (store.entries, report.quarantined.is_empty()));
        assert_eq!(again.ok(), Some((before, true)), "durable entries are read back");
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::faults::{FaultDisk, Faults};

    const SMALL: Limits = Limits { max_entry_bytes: 4096, max_journal_bytes: 300 };

    fn entry(n: u64) -> Entry {
        Entry { written_ms: n, value: n.to_le_bytes().to_vec() }
    }

    fn opened(disk: FaultDisk) -> (Store<FaultDisk>, Report) {
        Store::open(disk, SMALL).expect("the store opens")
    }

    #[test]
    fn later_format_is_read_if_its_header_allows_and_is_refused_otherwise() {
        let (mut store, _) = opened(FaultDisk::default());
        store.put("cordon", "s-1", entry(1)).unwrap();
        store.put("of a later build", "x", entry(2)).unwrap();
        store.sync().unwrap();
        let disk = store.into_disk();
        let later = |min_reader: u16| {
            let mut disk = disk.clone();
            for file in disk.list().unwrap() {
                let bytes = disk.read(&file, usize::MAX).unwrap();
                let mut header = bytes[..HEADER_BYTES - 4].to_vec();
                header[4..6].copy_from_slice(&(FORMAT + 1).to_le_bytes());
                header[6..8].copy_from_slice(&min_reader.to_le_bytes());
                header.extend(crc32fast::hash(&header).to_le_bytes());
                disk.truncate(&file, 0).unwrap();
                disk.append(&file, &[&header, &bytes[HEADER_BYTES..]].concat()).unwrap();
            }
            disk
        };
        let (store, report) = opened(later(FORMAT));
        assert!(report.quarantined.is_empty() && report.truncated_bytes == 0, "{report:?}");
        assert_eq!(store.get("cordon", "s-1"), Some(&entry(1)));
        assert_eq!(
            store.get("of a later build", "x"),
            Some(&entry(2)),
            "entries of unknown kinds are kept"
        );
        for min_reader in [0, FORMAT + 1] {
            let refused = Store::open(later(min_reader), SMALL).unwrap_err();
            assert!(matches!(refused, StoreError::Newer { found, .. } if found == FORMAT + 1), "{refused}");
        }
    }

    #[test]
    fn damaged_journal_is_quarantined_and_incomplete_one_is_truncated() {
        let (mut store, _) = opened(FaultDisk::default());
        for n in 0..4 {
            store.put("k", &format!("{n}"), entry(n)).unwrap();
        }
        store.sync().unwrap();
        let log = file_name(store.generation, "log");
        let whole = store.into_disk();
        let length = whole.length(&log);
        // Damage in the second record: the first one is used, and the file with the other two is kept.
        let mut damaged = whole.clone();
        damaged.corrupt_byte(&log, HEADER_BYTES + (length - HEADER_BYTES) / 4 + 20);
        let (store, report) = opened(damaged);
        assert_eq!(report.quarantined, [(log.clone(), format!("damaged-{log}"))]);
        assert_eq!(store.entries.len(), 1);
        assert_eq!(store.into_disk().length(&format!("damaged-{log}")), length);
        // An incomplete last record, as after a power loss.
        let mut torn = whole;
        torn.truncate(&log, length as u64 - 3).unwrap();
        let (store, report) = opened(torn);
        assert!(report.quarantined.is_empty() && report.truncated_bytes > 0, "{report:?}");
        assert_eq!(store.entries.len(), 3);
    }

    #[test]
    fn entries_are_present_after_reopening() {
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
    fn full_store_rejects_an_entry_and_stays_unchanged() {
        let (mut store, _) = opened(FaultDisk::default());
        let big = Entry { written_ms: 0, value: vec![7; 3000] };
        store.put("k", "a", big.clone()).unwrap();
        assert!(matches!(store.put("k", "b", big.clone()), Err(StoreError::Full(4096))));
        store.put("k", "a", big).unwrap();
        store.remove("k", "a").unwrap();
        assert_eq!(store.size(), (0, 0));
    }

    #[test]
    fn refused_later_format_is_left_unchanged() {
        let mut disk = FaultDisk::default();
        let mut bytes = header(5);
        (bytes[4], bytes[6]) = (9, 9);
        let sum = crc32fast::hash(&bytes[..HEADER_BYTES - 4]);
        bytes[HEADER_BYTES - 4..].copy_from_slice(&sum.to_le_bytes());
        disk.append(&file_name(5, "snap"), &bytes).unwrap();
        let before = disk.list().unwrap();
        let mut kept = disk.clone();
        assert!(matches!(Store::open(disk, SMALL), Err(StoreError::Newer { found: 9, .. })));
        assert_eq!(kept.list().unwrap(), before);
    }

    #[test]
    fn damage_of_any_byte_is_detected_and_the_file_is_quarantined() {
        let (mut store, _) = opened(FaultDisk::default());
        for n in 0..3 {
            store.put("k", &n.to_string(), entry(n)).unwrap();
        }
        store.compact().unwrap();
        store.put("k", "9", entry(9)).unwrap();
        store.sync().unwrap();
        let (snap, log) = (file_name(store.generation, "snap"), file_name(store.generation, "log"));
        let whole = store.entries.clone();
        let disk = store.into_disk();
        for at in 0..disk.length(&snap) {
            let mut damaged = disk.clone();
            damaged.corrupt_byte(&snap, at);
            let read = Store::open(damaged, SMALL);
            // The header checksum keeps a damaged format number from being read as a later format.
            let (store, report) = read.expect("the store opens");
            assert!(store.entries.is_empty() && report.quarantined.len() == 1, "byte {at}");
        }
        for at in 0..disk.length(&log) {
            let mut damaged = disk.clone();
            damaged.corrupt_byte(&log, at);
            let (store, _) = Store::open(damaged, SMALL).expect("the store opens");
            assert!(store.entries.iter().all(|(k, e)| whole.get(k) == Some(e)), "byte {at}");
            assert_eq!(store.entries.len(), 3, "byte {at}: the damaged record is dropped");
        }
    }

    #[test]
    fn full_disk_and_failed_sync_are_reported() {
        let (mut store, _) = opened(FaultDisk::default());
        store.put("k", "a", entry(1)).unwrap();
        store.sync().unwrap();
        store.disk().faults = Faults { free_bytes: Some(5), ..Faults::default() };
        assert!(store.put("k", "b", entry(2)).and_then(|()| store.sync()).is_err());
        assert!(
            store.remove("k", "b").is_err() && store.get("k", "b").is_some(),
            "the entry cannot be removed while the disk is full"
        );
        store.disk().faults = Faults::default();
        store.put("k", "b", entry(2)).unwrap();
        store.sync().unwrap();
        // A sync that fails once and then succeeds has still lost the written data.
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

    /// Makes random changes until power is lost at the given operation, or until all steps are done.
    /// Returns the disk, the states that may be found on it, and true if all steps were done. The states
    /// are the one that was durable last and every state since.
    fn until_power_loss(
        disk: FaultDisk,
        power: u64,
        seed: u64,
        steps: u64,
    ) -> (FaultDisk, Vec<Entries>, bool) {
        let mut disk = disk;
        disk.operations_until_power_loss = Some(power);
        let mut rng = fastrand::Rng::with_seed(seed);
        // `Store::open` gets a copy of the disk; the disk of the interrupted store is returned.
        let mut states = Vec::new();
        let (mut store, _) = match Store::open(disk.clone(), SMALL) {
            Ok(opened) => opened,
            // Power was lost while the store was opened, which consumed the copy: repeat the same
            // operations on a disk that is kept.
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
                // The failed change may or may not be on disk: both states are valid.
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

    /// Opens a store on a borrowed disk, so that the disk is available after the open has failed.
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

    fn assert_state_found(disk: &FaultDisk, states: &[Entries], what: &str) {
        let (mut store, report) =
            Store::open(disk.clone(), SMALL).expect("the store opens after any power loss");
        assert!(
            states.contains(&store.entries),
            "{what}: {:?} {report:?} not one of {states:?}",
            store.entries
        );
        assert!(report.quarantined.is_empty(), "{what}: a power loss leaves no damaged file: {report:?}");
        // The store accepts further changes.
        store.put("k", "again", entry(1)).unwrap();
        store.sync().unwrap();
    }

    #[test]
    fn short_runs_survive_a_power_loss_at_every_operation_with_every_surviving_state() {
        let mut points = 0_u64;
        for seed in 0..100 {
            for power in 0.. {
                let (disk, states, ended) = until_power_loss(FaultDisk::default(), power, seed, 4);
                let states = if states.is_empty() { vec![Entries::new()] } else { states };
                // Enumerates every combination of what survives, as the digits of a counter.
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
                    assert_state_found(
                        &left,
                        &states,
                        &format!("seed {seed} power {power} choices {choices:?}"),
                    );
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
    fn long_runs_survive_repeated_power_losses() {
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
                    assert_state_found(&left, &known, &format!("run {run} loss {loss}"));
                    drawn.push(left);
                }
                disk = drawn.swap_remove(rng.usize(0..drawn.len()));
            }
        }
    }
}
