//! Writes the backend list of this process for the node's other processes, while there are any.
//!
//! A newer process needs all that this one was told, so it gets the list and every later change. An older one
//! has had a list of its own, so it gets the changes alone. The list is written in slices, between which
//! other tasks run; changes that come meanwhile follow it.

use crate::active_settings::CurrentSettings;
use crate::driver::Driver;
use crate::handover_log::{Frame, Header, Line, ListHeader, Update, Writer, preamble, write_frame};
use crate::log::log_event;
use crate::process_files::ProcessFiles;
use daleturn::control::list_origin::{Adoption, ListOrigin, ListSource, UpdateKind};
use daleturn::control::subset::{LinePosition, Target};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::fs::{self, OpenOptions};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::spawn_local;

/// Prefix of the file in which a process writes its list, and of that file while the list is not complete.
const LIST_PREFIX: &str = "list-";
const DRAFT_PREFIX: &str = "list_draft-";
/// Number of lines written at once; other tasks run between two such slices.
const LINES_PER_SLICE: usize = 128;
/// Size of the updates after which the list is written again.
const MAX_UPDATE_BYTES: usize = 4 * 1024 * 1024;
/// Maximum number of responses whose departures are kept apart until a full list confirms them. The list has
/// them anyway.
const MAX_UNCONFIRMED: usize = 64;
/// Pause before the list is written again after a failure.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Returns the path of the list of a process.
pub fn list_path(dir: &Path, pid: u32) -> PathBuf {
    dir.join(format!("{LIST_PREFIX}{pid}"))
}

/// Removes the list of a process that has ended, complete or not.
pub fn remove_list(dir: &Path, pid: u32) {
    // A file that stays does no harm: it is not read once its process has ended.
    let _ = fs::remove_file(list_path(dir, pid));
    let _ = fs::remove_file(dir.join(format!("{DRAFT_PREFIX}{pid}")));
}

/// Returns the IDs of the processes whose lists are in the directory.
pub fn writers_in(dir: &Path) -> Vec<u32> {
    let Ok(entries) = fs::read_dir(dir) else { return Vec::new() };
    let names = entries.flatten().filter_map(|entry| entry.file_name().into_string().ok());
    let pid = |name: &str| {
        name.strip_prefix(LIST_PREFIX).or_else(|| name.strip_prefix(DRAFT_PREFIX))?.parse().ok()
    };
    names.filter_map(|name| pid(&name)).collect()
}

/// For whom a process writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Audience {
    /// No other process is running.
    None,
    /// Older processes alone are running.
    Older,
    /// A newer process is running.
    Newer,
}

/// State of the file.
enum FileState {
    /// There is none.
    Closed,
    /// The list is being written. These frames follow it.
    Writing(Vec<u8>),
    /// The list is complete. Holds the size of the updates that follow it.
    Open(usize),
}

/// The list that this process holds.
struct HeldList {
    source: ListSource,
    /// Version from which a watch may continue.
    watch_from: Option<u64>,
    /// Departures that no full response has confirmed yet.
    unconfirmed: VecDeque<Update>,
}

/// Writes the list.
pub struct ListPublisher {
    process_files: Rc<ProcessFiles>,
    driver: Rc<Driver>,
    current_settings: Rc<CurrentSettings>,
    writer: Writer,
    configured_version: Option<u64>,
    /// Address of discovery.
    discovery: Cell<SocketAddr>,
    held: RefCell<HeldList>,
    audience: Cell<Audience>,
    state: RefCell<FileState>,
    /// Number of times that the file was begun.
    generation: Cell<u32>,
    /// Generation of the settings whose zone numbers the file uses.
    settings_generation: Cell<u32>,
    failed_at: Cell<Option<Instant>>,
    /// Number of changes of the list.
    changes: Cell<u64>,
}

impl ListPublisher {
    /// Creates a publisher that does not write yet. `source` is what the list of this process is based on, and
    /// `configured_version` the version of the configured list; `discovery` is the address of discovery.
    pub fn new(
        process_files: Rc<ProcessFiles>,
        driver: Rc<Driver>,
        current_settings: Rc<CurrentSettings>,
        writer: Writer,
        source: ListSource,
        configured_version: Option<u64>,
        discovery: SocketAddr,
    ) -> Rc<ListPublisher> {
        Rc::new(ListPublisher {
            process_files,
            driver,
            current_settings,
            writer,
            configured_version,
            discovery: Cell::new(discovery),
            held: RefCell::new(HeldList { source, watch_from: None, unconfirmed: VecDeque::new() }),
            audience: Cell::new(Audience::None),
            state: RefCell::new(FileState::Closed),
            generation: Cell::new(0),
            settings_generation: Cell::new(0),
            failed_at: Cell::new(None),
            changes: Cell::new(0),
        })
    }

    /// Returns what the list of this process is based on.
    pub fn source(&self) -> ListSource {
        self.held.borrow().source
    }

    /// Sets the address of discovery.
    pub fn set_discovery(&self, discovery: SocketAddr) {
        self.discovery.set(discovery);
    }

    /// Returns which part of another process's update is applied to the list of this process.
    pub fn adoption(&self, kind: UpdateKind, origin: &ListOrigin) -> Adoption {
        let adoption = self.source().adoption(kind, origin, self.discovery.get());
        if adoption == Adoption::Departures && self.has_told_departures(origin) {
            return Adoption::Nothing;
        }
        adoption
    }

    /// Returns the number of changes of the list.
    pub fn changes(&self) -> u64 {
        self.changes.get()
    }

    /// True if changes of the list are written.
    pub fn is_active(&self) -> bool {
        !matches!(*self.state.borrow(), FileState::Closed)
    }

    /// True if departures must be told apart from the rest of a full list, because nobody is given the list.
    pub fn needs_departures(&self) -> bool {
        self.is_active() && self.audience.get() == Audience::Older
    }

    /// Returns the lines of these backends as they are written.
    pub fn lines(&self, targets: &[Target]) -> Vec<Line> {
        self.driver.lines_of(targets, self.current_settings.get().names.zone_count())
    }

    /// Takes what the list is based on after a response that applies as a whole, and writes the update; the
    /// whole list if there is none.
    pub fn list_changed(
        self: &Rc<Self>,
        source: ListSource,
        watch_from: Option<u64>,
        update: Option<Update>,
    ) {
        self.changes.set(self.changes.get() + 1);
        self.held.replace(HeldList { source, watch_from, unconfirmed: VecDeque::new() });
        match update {
            Some(update) => self.append(&update),
            None if self.audience.get() == Audience::Newer && self.is_active() => self.begin(),
            None => {}
        }
    }

    /// Takes the version from which a watch may continue, and what a response without changes confirms.
    pub fn list_confirmed(&self, source: ListSource, watch_from: Option<u64>) {
        let mut held = self.held.borrow_mut();
        (held.source, held.watch_from) = (source, watch_from);
    }

    /// Sets the version from which a watch may continue.
    pub fn set_watch_from(&self, watch_from: Option<u64>) {
        self.held.borrow_mut().watch_from = watch_from;
    }

    /// Returns the kind of an update that contains the whole list.
    pub fn full_kind(&self) -> UpdateKind {
        UpdateKind::Full(self.configured_version)
    }

    /// Takes departures by a response of which nothing else holds, and writes them.
    pub fn backends_departed(self: &Rc<Self>, update: Update) {
        self.changes.set(self.changes.get() + 1);
        self.append(&update);
        let mut held = self.held.borrow_mut();
        held.watch_from = None;
        held.unconfirmed.push_back(update);
        if held.unconfirmed.len() > MAX_UNCONFIRMED {
            held.unconfirmed.pop_front();
        }
    }

    /// True if the departures by this response have been taken already.
    fn has_told_departures(&self, origin: &ListOrigin) -> bool {
        self.held.borrow().unconfirmed.iter().any(|update| update.origin == *origin)
    }

    /// True if a response is newer than all departures that no full response has confirmed.
    pub fn is_newer_than_departures(&self, origin: &ListOrigin) -> bool {
        let held = self.held.borrow();
        held.unconfirmed.iter().all(|departures| origin.is_newer_than(&departures.origin))
    }

    /// Begins, renews or removes the file. Called at short intervals.
    pub fn update(self: &Rc<Self>, audience: Audience) {
        let before = self.audience.replace(audience);
        if audience == Audience::None {
            if self.is_active() {
                self.close();
                self.remove();
            }
            return;
        }
        let settings_generation = self.current_settings.get().generation;
        let is_outdated = self.settings_generation.get() != settings_generation
            || (before, audience) == (Audience::Older, Audience::Newer);
        let may_retry = self.failed_at.get().is_none_or(|at| at.elapsed() >= RETRY_INTERVAL);
        if is_outdated || !self.is_active() && may_retry {
            self.begin();
        }
    }

    /// Begins the file.
    fn begin(self: &Rc<Self>) {
        let Some(dir) = self.process_files.directory().map(Path::to_owned) else { return };
        let generation = self.generation.get().wrapping_add(1);
        self.generation.set(generation);
        self.settings_generation.set(self.current_settings.get().generation);
        self.failed_at.set(None);
        self.state.replace(FileState::Writing(Vec::new()));
        let publisher = self.clone();
        spawn_local(async move {
            if let Err(e) = publisher.write_list(&dir, generation).await {
                publisher.fail(&e);
            }
        });
    }

    /// Writes the list, unless the file is begun again meanwhile.
    async fn write_list(&self, dir: &Path, generation: u32) -> io::Result<()> {
        let draft = dir.join(format!("{DRAFT_PREFIX}{}", self.writer.started.pid));
        let active = self.current_settings.get();
        let zones: Vec<String> = (0..active.names.zone_count())
            .filter_map(|zone| active.names.zone_name(u16::try_from(zone).ok()?))
            .map(str::to_owned)
            .collect();
        let zone_count = zones.len();
        let list = self.list_header();
        let written_ms = self.driver.clock.to_machine_ms(self.driver.clock.now_ms());
        let mut bytes = preamble(generation);
        let is_for_newer = self.audience.get() == Audience::Newer;
        let header = Header { writer: self.writer.clone(), written_ms, zones, is_for_newer, list };
        write_frame(&mut bytes, &Frame::Header(header));
        fs::write(&draft, &bytes)?;
        let mut position: Option<LinePosition> = None;
        while list.is_some() {
            let lines = self.driver.lines_to_hand_over(position, LINES_PER_SLICE, zone_count);
            let Some((last, _)) = lines.last() else { break };
            position = Some(*last);
            bytes.clear();
            write_frame(&mut bytes, &Frame::Lines(lines.into_iter().map(|(_, line)| line).collect()));
            append(&draft, &bytes)?;
            tokio::task::yield_now().await;
            if self.generation.get() != generation || !self.is_active() {
                return Ok(());
            }
        }
        bytes.clear();
        write_frame(&mut bytes, &Frame::ListEnd);
        if let FileState::Writing(updates) = &*self.state.borrow() {
            bytes.extend_from_slice(updates);
        }
        append(&draft, &bytes)?;
        fs::rename(&draft, list_path(dir, self.writer.started.pid))?;
        self.state.replace(FileState::Open(bytes.len()));
        Ok(())
    }

    /// Returns the header of the list that is written now, and queues the departures that belong to it.
    fn list_header(&self) -> Option<ListHeader> {
        let held = self.held.borrow();
        let mut updates = Vec::new();
        for departures in &held.unconfirmed {
            write_frame(&mut updates, &Frame::Update(departures.clone()));
        }
        self.state.replace(FileState::Writing(updates));
        let origin = held.source.origin().filter(|_| self.audience.get() == Audience::Newer)?;
        let (watch_from, configured_version) = (held.watch_from, self.configured_version);
        Some(ListHeader { origin: *origin, watch_from, configured_version })
    }

    /// Writes an update.
    fn append(self: &Rc<Self>, update: &Update) {
        if !self.is_active() {
            return;
        }
        let mut bytes = Vec::new();
        write_frame(&mut bytes, &Frame::Update(update.clone()));
        let size = match &mut *self.state.borrow_mut() {
            FileState::Closed => return,
            FileState::Writing(updates) => {
                updates.extend_from_slice(&bytes);
                return;
            }
            FileState::Open(size) => {
                *size += bytes.len();
                *size
            }
        };
        let Some(dir) = self.process_files.directory() else { return };
        if let Err(e) = append(&list_path(dir, self.writer.started.pid), &bytes) {
            self.fail(&e);
        } else if size > MAX_UPDATE_BYTES {
            self.begin();
        }
    }

    /// Stops writing.
    fn close(&self) {
        self.generation.set(self.generation.get().wrapping_add(1));
        self.state.replace(FileState::Closed);
    }

    /// Removes the file.
    fn remove(&self) {
        if let Some(dir) = self.process_files.directory() {
            remove_list(dir, self.writer.started.pid);
        }
    }

    /// Stops writing for a while after an error. What was written may end in the middle of a frame.
    fn fail(&self, error: &io::Error) {
        log_event!(WARN, "state", reason = error.to_string().as_str(), "state.failed");
        self.close();
        self.failed_at.set(Some(Instant::now()));
    }
}

/// Appends to a file.
fn append(path: &Path, bytes: &[u8]) -> io::Result<()> {
    OpenOptions::new().append(true).open(path)?.write_all(bytes)
}
