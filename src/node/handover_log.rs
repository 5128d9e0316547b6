//! File in which a process of a node writes its backend list, and every change of it, for the node's other
//! processes.
//!
//! The file begins with a preamble and continues with frames: a header, the lines of the list in any number
//! of frames, the end of the list, and then one frame for each update. Updates are appended while the file is
//! read. A frame has a length and a checksum, so a reader recognizes a damaged file, and a frame that is not
//! written completely yet.

use crate::process_files::ProcessStart;
use daleturn::control::list_origin::{ListOrigin, UpdateKind};
use daleturn::control::subset::Target;
use daleturn::interface::{BackendId, Health, ListEntry};
use daleturn::wire::{Names, stable_hash};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use thiserror::Error;

/// First bytes of a file of this format.
const MAGIC: [u8; 8] = *b"dtlist01";
/// Length of the preamble: the magic bytes and the generation of the file.
pub const PREAMBLE_BYTES: usize = MAGIC.len() + 4;
/// Length of a frame's own fields: its length and its checksum.
const FRAME_FIELDS_BYTES: usize = 8;
/// Maximum length of a frame's content.
const MAX_FRAME_BYTES: usize = 32 * 1024 * 1024;

/// Process that writes a file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Writer {
    /// Name of the node.
    pub node: String,
    /// Address of the node for clients.
    pub listen: SocketAddr,
    /// Start of the process.
    pub started: ProcessStart,
}

/// The list at the time at which its writer began the file.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListHeader {
    /// Response of discovery that the list is based on.
    pub origin: ListOrigin,
    /// Version from which a watch may continue; none if the list is known to be incomplete.
    pub watch_from: Option<u64>,
    /// Version of the configured list that the writer started with.
    pub configured_version: Option<u64>,
}

/// First frame of a file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Header {
    /// The process that writes the file.
    pub writer: Writer,
    /// Time of the frame, in milliseconds on the machine's monotonic clock.
    pub written_ms: f64,
    /// Names of the zones, by the numbers that the lines have.
    pub zones: Vec<String>,
    /// True if the file is written for newer processes, which need the list.
    pub is_for_newer: bool,
    /// The list; none if the file has updates alone, or discovery has not told the writer of any list.
    pub list: Option<ListHeader>,
}

/// Health of a backend in a line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum LineHealth {
    Up,
    Draining,
    Removed,
}

/// One backend.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Line {
    uid: String,
    address: Option<SocketAddr>,
    /// Number of the zone; none if the writer does not know the zone.
    zone: Option<u16>,
    cell: u32,
    health: LineHealth,
    units: f64,
    ready_at_ms: f64,
    /// Start of the backend, in milliseconds on the machine's monotonic clock, if the writer recorded it.
    started_ms: Option<f64>,
}

impl Line {
    /// Creates the line of a backend. `started_ms` is its start on the machine's monotonic clock.
    pub fn new(target: &Target, zones: usize, started_ms: Option<f64>) -> Line {
        let ListEntry { zone, cell, health, units, ready_at_ms, .. } = target.entry;
        Line {
            uid: target.uid.to_string(),
            address: target.address,
            zone: Some(zone).filter(|zone| usize::from(*zone) < zones),
            cell,
            health: match health {
                Health::Up => LineHealth::Up,
                Health::Draining => LineHealth::Draining,
                Health::Gone => LineHealth::Removed,
            },
            units,
            ready_at_ms,
            started_ms,
        }
    }
}

/// A change of the list.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Update {
    /// What the lines are.
    pub kind: UpdateKind,
    /// The response that told of them.
    pub origin: ListOrigin,
    /// Version from which a watch may continue once the update is applied.
    pub watch_from: Option<u64>,
    /// The lines.
    pub lines: Vec<Line>,
}

/// Part of a file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// The first frame.
    Header(Header),
    /// Lines of the list.
    Lines(Vec<Line>),
    /// All lines of the list have been written.
    ListEnd,
    /// A change of the list.
    Update(Update),
}

/// Reason why a file is not used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum LogError {
    /// It is not a file of this format.
    #[error("not a list of this version")]
    Format,
    /// A frame is damaged.
    #[error("damaged at byte {0}")]
    Damaged(usize),
    /// The frames are not in order.
    #[error("frames are out of order at byte {0}")]
    Order(usize),
    /// The list is not complete.
    #[error("truncated")]
    Truncated,
    /// It was written by a process of another node.
    #[error("written by another node")]
    Foreign,
    /// It was not written by the process after which it is named, or in the future.
    #[error("left by an earlier process")]
    Stale,
}

/// Returns the preamble of a file.
pub fn preamble(generation: u32) -> Vec<u8> {
    [MAGIC.as_slice(), &generation.to_le_bytes()].concat()
}

/// Reads the generation from the preamble of a file.
///
/// # Errors
/// Returns [`LogError::Format`] if these bytes are not a preamble.
pub fn read_preamble(bytes: &[u8]) -> Result<u32, LogError> {
    let (magic, rest) = bytes.split_at_checked(MAGIC.len()).ok_or(LogError::Format)?;
    let generation = rest.first_chunk().ok_or(LogError::Format)?;
    if magic != MAGIC {
        return Err(LogError::Format);
    }
    Ok(u32::from_le_bytes(*generation))
}

/// Appends a frame to `bytes`.
pub fn write_frame(bytes: &mut Vec<u8>, frame: &Frame) {
    // Encoding into memory does not fail.
    let content = postcard::to_stdvec(frame).unwrap_or_default();
    let length = u32::try_from(content.len()).unwrap_or(u32::MAX);
    bytes.extend_from_slice(&length.to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&content).to_le_bytes());
    bytes.extend_from_slice(&content);
}

/// Reads the frame at the start of `bytes`, which are those of the file from `offset` on. Returns the frame
/// and its length, or `None` if it is not complete.
///
/// # Errors
/// Returns [`LogError::Damaged`] if the frame is not valid.
pub fn read_frame(bytes: &[u8], offset: usize) -> Result<Option<(Frame, usize)>, LogError> {
    let Some((length, rest)) = bytes.split_first_chunk::<4>() else { return Ok(None) };
    let Some((checksum, content)) = rest.split_first_chunk::<4>() else { return Ok(None) };
    let length = u32::from_le_bytes(*length) as usize;
    if length > MAX_FRAME_BYTES {
        return Err(LogError::Damaged(offset));
    }
    let Some(content) = content.get(..length) else { return Ok(None) };
    if crc32fast::hash(content) != u32::from_le_bytes(*checksum) {
        return Err(LogError::Damaged(offset));
    }
    let frame = postcard::from_bytes(content).map_err(|_| LogError::Damaged(offset))?;
    Ok(Some((frame, FRAME_FIELDS_BYTES + length)))
}

/// Start of a backend as discovery reported it, and on the machine's monotonic clock, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RecordedStart {
    /// The backend.
    pub backend: BackendId,
    /// The reported time.
    pub reported_ms: f64,
    /// The time on the machine's monotonic clock.
    pub started_ms: f64,
}

/// Converts lines to those of the list of this process.
pub struct LineReader {
    /// Numbers in this process of the writer's zones; none for a zone that is not known here.
    zones: Vec<Option<u16>>,
    /// The writer knows the same zones.
    has_same_zones: bool,
    /// Starts of the backends read so far.
    pub starts: Vec<RecordedStart>,
    /// Backends read so far whose zone may be known here under a name that the writer did not know.
    pub unknown_zones: Vec<BackendId>,
}

impl LineReader {
    /// Creates a reader for lines of a writer that knows these zones.
    pub fn new(zones: &[String], names: &Names) -> LineReader {
        let own = (0..names.zone_count()).filter_map(|n| names.zone_name(u16::try_from(n).ok()?));
        LineReader {
            zones: zones.iter().map(|zone| names.zone_number(zone)).collect(),
            has_same_zones: own.eq(zones.iter().map(String::as_str)),
            starts: Vec::new(),
            unknown_zones: Vec::new(),
        }
    }

    /// Converts a line.
    pub fn read(&mut self, line: Line) -> Target {
        let backend = BackendId(stable_hash(&line.uid));
        if let Some(started_ms) = line.started_ms.filter(|ms| ms.is_finite()) {
            self.starts.push(RecordedStart { backend, reported_ms: line.ready_at_ms, started_ms });
        }
        let zone = line.zone.and_then(|zone| self.zones.get(usize::from(zone)).copied().flatten());
        if line.zone.is_none() && !self.has_same_zones {
            self.unknown_zones.push(backend);
        }
        let entry = ListEntry {
            backend,
            zone: zone.unwrap_or(u16::MAX),
            cell: line.cell,
            health: match line.health {
                LineHealth::Up => Health::Up,
                LineHealth::Draining => Health::Draining,
                LineHealth::Removed => Health::Gone,
            },
            units: line.units,
            ready_at_ms: line.ready_at_ms,
        };
        Target { entry, address: line.address, uid: line.uid.into() }
    }
}
