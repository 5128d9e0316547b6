//! Reads the backend lists that the node's other processes write, and passes them on to the watch of
//! discovery. A list is read as long as its process runs, and once more when the process has ended. A long one
//! is read in pieces, between which other tasks run.

use crate::active_settings::CurrentSettings;
use crate::clock::Clock;
use crate::handover_log::{
    Frame, Header, LineReader, LogError, PREAMBLE_BYTES, RecordedStart, Update, Writer, read_frame,
    read_preamble,
};
use crate::list_parser::{ListContent, MAX_INLINE_ENTRIES};
use crate::list_publisher::{ListPublisher, list_path, remove_list, writers_in};
use crate::log::log_event;
use crate::process_files::{ProcessFiles, ProcessRecord, ProcessStart};
use daleturn::control::list_origin::{Adoption, ListOrigin, UpdateKind};
use daleturn::control::subset::{Catalog, home_zone};
use daleturn::interface::BackendId;
use daleturn::wire::Names;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, Read, Seek, SeekFrom};
use std::path::Path;
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot};

/// Maximum size of a file that is read.
const MAX_FILE_BYTES: u64 = 64 * 1024 * 1024;
/// Number of bytes read at once, unless a frame is longer.
const PIECE_BYTES: usize = 32 * 1024;
/// Longest time by which a file may seem to be written in the future, in milliseconds.
const CLOCK_SLACK_MS: f64 = 1000.0;

/// A list, or a change of it, as another process of this node holds it.
pub struct HandedUpdate {
    /// What the content is.
    pub kind: UpdateKind,
    /// The response of discovery that told of it.
    pub origin: ListOrigin,
    /// Version from which a watch may continue.
    pub watch_from: Option<u64>,
    /// Process that handed it over.
    pub pid: u32,
    /// The lines.
    pub content: ListContent,
    /// Recorded starts of the backends.
    pub starts: Vec<RecordedStart>,
    /// Backends in zones that the other process did not know and this one may know.
    pub unknown_zones: Vec<BackendId>,
}

/// An update, and where to tell that it has been handled.
pub struct Delivery {
    /// The update.
    pub update: HandedUpdate,
    /// Dropped or sent once the update has been handled.
    pub handled: oneshot::Sender<()>,
}

/// What a reader expects next.
enum Expected {
    Header,
    /// Lines of the list, or its end. Holds the header and the list so far.
    Lines(Box<Header>, LineReader, Catalog),
    /// The same of a list that is not newer than that of this process. Holds the zones of the writer.
    KnownLines(Vec<String>),
    /// Updates, by a writer that knows these zones.
    Updates(Vec<String>),
}

/// Position in the file of another process.
struct FilePosition {
    generation: u32,
    offset: usize,
    /// The file is written for newer processes.
    is_for_newer: bool,
    expected: Expected,
}

impl FilePosition {
    fn start(generation: u32) -> FilePosition {
        FilePosition { generation, offset: PREAMBLE_BYTES, is_for_newer: false, expected: Expected::Header }
    }
}

/// Another process of this node.
struct Source {
    started: ProcessStart,
    /// The place up to which its file has been read; none before the file is there.
    position: Option<FilePosition>,
    /// Generation of a file that is not used.
    ignored: Option<u32>,
    /// Its list has been handled, or is not used.
    is_received: bool,
}

/// What the frames of a file are converted with.
struct Conversion<'a> {
    publisher: &'a ListPublisher,
    writer: Writer,
    now_ms: f64,
    names: Names,
    home_zone: Option<u16>,
}

impl Conversion<'_> {
    /// Checks that a file is written by the process that it is named after.
    fn check(&self, header: &Header) -> Result<(), LogError> {
        let (expected, found) = (&self.writer, &header.writer);
        if (&found.node, found.listen) != (&expected.node, expected.listen) {
            return Err(LogError::Foreign);
        }
        if found.started != expected.started || header.written_ms > self.now_ms + CLOCK_SLACK_MS {
            return Err(LogError::Stale);
        }
        Ok(())
    }

    /// Converts an update.
    fn convert(&self, update: Update, zones: &[String]) -> HandedUpdate {
        let Update { kind, origin, watch_from, lines } = update;
        let mut reader = LineReader::new(zones, &self.names);
        let targets = lines.into_iter().map(|line| reader.read(line)).collect();
        self.update(kind, origin, watch_from, reader, ListContent::Entries(targets))
    }

    fn update(
        &self,
        kind: UpdateKind,
        origin: ListOrigin,
        watch_from: Option<u64>,
        reader: LineReader,
        content: ListContent,
    ) -> HandedUpdate {
        let LineReader { starts, unknown_zones, .. } = reader;
        let pid = self.writer.started.pid;
        HandedUpdate { kind, origin, watch_from, pid, content, starts, unknown_zones }
    }

    /// True if this process knows as much as the list after this header contains.
    fn knows_list(&self, header: &Header) -> bool {
        header.list.is_none_or(|list| {
            let kind = UpdateKind::Full(list.configured_version);
            self.publisher.adoption(kind, &list.origin) == Adoption::Nothing
        })
    }

    /// Handles one frame. Returns the update that is complete with it.
    fn read_one(
        &self,
        position: &mut FilePosition,
        frame: Frame,
    ) -> Result<Option<HandedUpdate>, LogError> {
        let expected = std::mem::replace(&mut position.expected, Expected::Header);
        let (next, update) = match (expected, frame) {
            (Expected::Header, Frame::Header(header)) => {
                self.check(&header)?;
                position.is_for_newer = header.is_for_newer;
                if self.knows_list(&header) {
                    (Expected::KnownLines(header.zones), None)
                } else {
                    let reader = LineReader::new(&header.zones, &self.names);
                    let catalog = Catalog::from_lines([], self.home_zone);
                    (Expected::Lines(Box::new(header), reader, catalog), None)
                }
            }
            (Expected::KnownLines(zones), Frame::Lines(_)) => (Expected::KnownLines(zones), None),
            (Expected::KnownLines(zones), Frame::ListEnd) => (Expected::Updates(zones), None),
            (Expected::Lines(header, mut reader, mut catalog), Frame::Lines(lines)) => {
                lines.into_iter().for_each(|line| catalog.insert(reader.read(line)));
                (Expected::Lines(header, reader, catalog), None)
            }
            (Expected::Lines(header, reader, catalog), Frame::ListEnd) => {
                let Header { zones, list, .. } = *header;
                let content = if catalog.len() > MAX_INLINE_ENTRIES {
                    ListContent::Catalog(Box::new(catalog), 0)
                } else {
                    ListContent::Entries(catalog.lines().cloned().collect())
                };
                let update = list.map(|list| {
                    let kind = UpdateKind::Full(list.configured_version);
                    self.update(kind, list.origin, list.watch_from, reader, content)
                });
                (Expected::Updates(zones), update)
            }
            (Expected::Updates(zones), Frame::Update(update)) => {
                let update = self.convert(update, &zones);
                (Expected::Updates(zones), Some(update))
            }
            _ => return Err(LogError::Order(position.offset)),
        };
        position.expected = next;
        Ok(update)
    }
}

/// The file of another process, open at the place up to which it has been read.
struct OpenFile {
    file: File,
    generation: u32,
    length: u64,
}

impl OpenFile {
    fn open(path: &Path) -> io::Result<OpenFile> {
        let mut file = File::open(path)?;
        let mut preamble = [0; PREAMBLE_BYTES];
        file.read_exact(&mut preamble)?;
        let generation = read_preamble(&preamble).map_err(io::Error::other)?;
        let length = file.metadata()?.len();
        if length > MAX_FILE_BYTES {
            return Err(io::Error::other(format!("longer than {MAX_FILE_BYTES} bytes")));
        }
        Ok(OpenFile { file, generation, length })
    }

    /// Reads up to `count` bytes from `offset` on.
    fn read_at(&mut self, offset: usize, count: usize) -> io::Result<Vec<u8>> {
        self.file.seek(SeekFrom::Start(offset as u64))?;
        let mut bytes = Vec::with_capacity(count);
        Read::by_ref(&mut self.file).take(count as u64).read_to_end(&mut bytes)?;
        Ok(bytes)
    }
}

/// Reads the lists of the node's other processes.
pub struct ListReceiver {
    process_files: Rc<ProcessFiles>,
    publisher: Rc<ListPublisher>,
    current_settings: Rc<CurrentSettings>,
    clock: Clock,
    /// This process, as it describes itself in its own file.
    writer: Writer,
    sources: RefCell<BTreeMap<u32, Source>>,
    deliveries: mpsc::UnboundedSender<Delivery>,
}

impl ListReceiver {
    /// Creates a receiver. Lists that processes have left which do not run any more are removed.
    pub fn new(
        process_files: Rc<ProcessFiles>,
        publisher: Rc<ListPublisher>,
        current_settings: Rc<CurrentSettings>,
        clock: Clock,
        writer: Writer,
        deliveries: mpsc::UnboundedSender<Delivery>,
    ) -> ListReceiver {
        if let Some(dir) = process_files.directory() {
            let writers = writers_in(dir);
            let running: Vec<u32> = process_files.other_processes().iter().map(|p| p.started.pid).collect();
            for pid in writers.into_iter().filter(|pid| !running.contains(pid)) {
                let reason = LogError::Stale.to_string();
                log_event!(INFO, "upgrade", pid, reason = reason.as_str(), "upgrade.list_ignored");
                remove_list(dir, pid);
            }
        }
        let sources = RefCell::default();
        ListReceiver { process_files, publisher, current_settings, clock, writer, sources, deliveries }
    }

    /// True if the lists of these processes have been handled, as far as they write any.
    pub fn has_received(&self, others: &[ProcessRecord]) -> bool {
        let sources = self.sources.borrow();
        let own = self.process_files.started();
        let mut older = others.iter().filter(|other| other.hands_over_list && own.is_after(&other.started));
        older.all(|other| sources.get(&other.started.pid).is_some_and(|source| source.is_received))
    }

    /// Reads the files of the other processes that are running, and for a last time those of the ones that
    /// have ended.
    pub async fn read_all(&self, others: &[ProcessRecord]) {
        for other in others {
            let source =
                Source { started: other.started, position: None, ignored: None, is_received: false };
            self.sources.borrow_mut().entry(other.started.pid).or_insert(source);
            self.read(other.started.pid, false).await;
        }
        let is_running = |pid: &u32| others.iter().any(|other| other.started.pid == *pid);
        let ended: Vec<u32> =
            self.sources.borrow().keys().copied().filter(|pid| !is_running(pid)).collect();
        for pid in ended {
            self.read(pid, true).await;
            self.sources.borrow_mut().remove(&pid);
            if let Some(dir) = self.process_files.directory() {
                remove_list(dir, pid);
            }
        }
    }

    /// Reads what is new in the file of a process and delivers it. `has_ended`: the process has ended.
    async fn read(&self, pid: u32, has_ended: bool) {
        let Some(path) = self.process_files.directory().map(|dir| list_path(dir, pid)) else { return };
        let Some(mut source) = self.sources.borrow_mut().remove(&pid) else { return };
        match OpenFile::open(&path) {
            Ok(file) if source.ignored != Some(file.generation) => {
                self.read_file(&mut source, file, has_ended).await;
            }
            Ok(_) => {}
            Err(e) if e.kind() == io::ErrorKind::NotFound => {}
            Err(e) if source.ignored.is_none() => self.ignore(&mut source, 0, &e.to_string()),
            Err(_) => {}
        }
        self.sources.borrow_mut().insert(pid, source);
    }

    /// Reads a file from the place up to which it has been read, and delivers its updates.
    async fn read_file(&self, source: &mut Source, mut file: OpenFile, has_ended: bool) {
        let generation = file.generation;
        let position = source.position.take().filter(|position| position.generation == generation);
        let mut position = position.unwrap_or_else(|| FilePosition::start(generation));
        if let Err(reason) = self.read_pieces(&mut position, &mut file, source.started).await {
            self.ignore(source, generation, &reason);
        } else if !matches!(position.expected, Expected::Updates(_))
            || has_ended && (position.offset as u64) < file.length
        {
            // The file gets its name once the list is complete.
            self.ignore(source, generation, &LogError::Truncated.to_string());
        }
        // A process that does not know of this one yet writes for older ones alone.
        source.is_received |= position.is_for_newer;
        source.position = Some(position);
    }

    /// Reads the complete frames of a file, a piece at a time, and delivers their updates.
    async fn read_pieces(
        &self,
        position: &mut FilePosition,
        file: &mut OpenFile,
        started: ProcessStart,
    ) -> Result<(), String> {
        let mut count = PIECE_BYTES;
        while (position.offset as u64) < file.length {
            let bytes = file.read_at(position.offset, count).map_err(|e| e.to_string())?;
            let mut rest = bytes.as_slice();
            while let Some((frame, length)) =
                read_frame(rest, position.offset).map_err(|e| e.to_string())?
            {
                let update =
                    self.conversion(started).read_one(position, frame).map_err(|e| e.to_string())?;
                if let Some(update) = update {
                    self.deliver(update).await;
                }
                rest = &rest[length..];
                position.offset += length;
            }
            if rest.len() == bytes.len() {
                if bytes.len() < count {
                    // The last frame is not complete.
                    return Ok(());
                }
                count *= 2;
            }
            tokio::task::yield_now().await;
        }
        Ok(())
    }

    fn conversion(&self, started: ProcessStart) -> Conversion<'_> {
        let active = self.current_settings.get();
        Conversion {
            publisher: &self.publisher,
            writer: Writer { started, ..self.writer.clone() },
            now_ms: self.clock.to_machine_ms(self.clock.now_ms()),
            names: active.names.of_zones(),
            home_zone: home_zone(&active.settings),
        }
    }

    /// Passes an update on and waits until it has been handled.
    async fn deliver(&self, update: HandedUpdate) {
        let (handled, wait) = oneshot::channel();
        // The receivers are gone while the node is stopping.
        let _ = self.deliveries.send(Delivery { update, handled });
        let _ = wait.await;
    }

    /// Uses no more of a file.
    fn ignore(&self, source: &mut Source, generation: u32, reason: &str) {
        let pid = source.started.pid;
        log_event!(WARN, "upgrade", pid, reason, "upgrade.list_ignored");
        source.ignored = Some(generation);
        source.is_received = true;
    }
}
