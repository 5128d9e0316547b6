//! Parses backend lists in discovery's JSON format.

use crate::active_settings::CurrentSettings;
use crate::log::log_event;
use bytes::Bytes;
use daleturn::control::subset::{Catalog, Target, home_zone};
use daleturn::interface::{BackendId, Health, ListEntry};
use daleturn::wire::{Names, stable_hash};
use serde::Deserialize;
use serde_json::Value;
use serde_json::value::RawValue;
use std::error::Error;

/// Maximum size of a response that is parsed on the event loop. A longer one takes longer than a request
/// may wait, so it is parsed on a blocking thread, entry by entry.
const MAX_INLINE_BYTES: usize = 64 * 1024;
/// Maximum number of entries of a full list that is indexed on the event loop.
pub const MAX_INLINE_ENTRIES: usize = 1024;
/// Maximum number of unreadable entries of one list that are logged.
const MAX_LOGGED_SKIPPED: usize = 20;

/// Entries of a response.
pub enum ListContent {
    /// Entries in the order of the response.
    Entries(Vec<Target>),
    /// Long full list, indexed, and the digest of its entries.
    Catalog(Box<Catalog>, u64),
    /// The known long full list, unchanged.
    Unchanged,
}

impl ListContent {
    /// Sets the zone of a backend.
    pub fn set_zone(&mut self, id: BackendId, zone: u16) {
        match self {
            ListContent::Entries(lines) => {
                let lines = lines.iter_mut().filter(|line| line.entry.backend == id);
                lines.for_each(|line| line.entry.zone = zone);
            }
            ListContent::Catalog(catalog, _) => {
                if let Some(mut line) = catalog.get(id).cloned() {
                    line.entry.zone = zone;
                    catalog.insert(line);
                }
            }
            ListContent::Unchanged => {}
        }
    }
}

/// The last long full list that was applied, while nothing has changed since.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KnownList {
    /// Digest of its entries.
    pub digest: u64,
    /// Number of its entries.
    pub entries: usize,
    /// Generation of the settings that it was parsed with.
    pub generation: u32,
}

/// A response of discovery, or the list that a node starts with.
pub struct ParsedList {
    /// Version of the list.
    pub rev: u64,
    /// True for a full list, false for changes.
    pub all: bool,
    /// Number of entries that were read.
    pub entries: usize,
    /// Number of entries that were skipped as unreadable; the first of them are kept with the field that is
    /// wrong.
    pub skipped: usize,
    unreadable: Vec<(&'static str, String)>,
    /// The entries that were read.
    pub content: ListContent,
}

impl ParsedList {
    /// Returns the version that a watch may continue from; `None` for an empty list or one with skipped
    /// entries.
    pub fn complete_version(&self) -> Option<u64> {
        (self.all && self.skipped == 0 && self.entries > 0).then_some(self.rev)
    }

    /// Collects the entries that could be read, and counts the others.
    fn from_entries(
        rev: u64,
        all: bool,
        entries: impl Iterator<Item = Result<Target, (&'static str, String)>>,
    ) -> ParsedList {
        let (mut skipped, mut unreadable) = (0, Vec::new());
        let read = entries.filter_map(|entry| match entry {
            Ok(target) => Some(target),
            Err(unreadable_entry) => {
                skipped += 1;
                if unreadable.len() < MAX_LOGGED_SKIPPED {
                    unreadable.push(unreadable_entry);
                }
                None
            }
        });
        let targets: Vec<Target> = read.collect();
        ParsedList {
            rev,
            all,
            entries: targets.len(),
            skipped,
            unreadable,
            content: ListContent::Entries(targets),
        }
    }

    /// Logs the skipped entries. One bad entry must not hide the rest.
    pub fn log_skipped(&self) {
        for (field, line) in &self.unreadable {
            log_event!(WARN, "discovery", field, entry = line.as_str(), "discovery.entry_skipped");
        }
    }
}

/// Parses a list in discovery's JSON format.
pub fn parse_list(json: &Value, names: &Names) -> Option<ParsedList> {
    let rev = json.get("rev")?.as_u64()?;
    let all = json.get("all").and_then(Value::as_bool).unwrap_or(false);
    let entries = json.get("targets")?.as_array()?;
    let read = entries
        .iter()
        .map(|entry| parse_entry(entry, names).map_err(|field| (field, excerpt(&entry.to_string()))));
    Some(ParsedList::from_entries(rev, all, read))
}

/// Returns the first 200 characters of an entry, for the log.
fn excerpt(line: &str) -> String {
    format!("{line:.200}")
}

/// Parses a long list without building a JSON tree of the whole text. A full list is indexed, and a list
/// with the known digest is not parsed again.
fn parse_long_list(
    text: &[u8],
    names: &Names,
    home: Option<u16>,
    known: Option<KnownList>,
) -> Result<ParsedList, serde_json::Error> {
    #[derive(Deserialize)]
    struct Form<'a> {
        rev: u64,
        #[serde(default)]
        all: Value,
        #[serde(borrow)]
        targets: &'a RawValue,
    }
    let Form { rev, all, targets } = serde_json::from_slice(text)?;
    let all = all.as_bool().unwrap_or(false);
    let digest = stable_hash(targets.get());
    if let Some(known) = known.filter(|known| all && known.digest == digest) {
        let (entries, skipped, unreadable) = (known.entries, 0, Vec::new());
        return Ok(ParsedList { rev, all, entries, skipped, unreadable, content: ListContent::Unchanged });
    }
    let targets: Vec<&RawValue> = serde_json::from_str(targets.get())?;
    let read = targets.iter().map(|line| {
        let json: Value = serde_json::from_str(line.get()).map_err(|_| ("line", excerpt(line.get())))?;
        parse_entry(&json, names).map_err(|field| (field, excerpt(line.get())))
    });
    let mut list = ParsedList::from_entries(rev, all, read);
    if let (true, ListContent::Entries(content)) =
        (list.all && list.entries > MAX_INLINE_ENTRIES, &mut list.content)
    {
        list.content =
            ListContent::Catalog(Box::new(Catalog::from_lines(std::mem::take(content), home)), digest);
    }
    Ok(list)
}

/// Parses a response; a long one on a blocking thread.
pub async fn parse_response(
    text: Bytes,
    current_settings: &CurrentSettings,
    known: Option<KnownList>,
) -> Result<ParsedList, Box<dyn Error>> {
    let active = current_settings.get();
    if text.len() <= MAX_INLINE_BYTES {
        let json = serde_json::from_slice(&text)?;
        return Ok(parse_list(&json, &active.names).ok_or("not a list")?);
    }
    let (names, home) = (active.names.of_zones(), home_zone(&active.settings));
    let known = known.filter(|known| known.generation == active.generation);
    Ok(tokio::task::spawn_blocking(move || parse_long_list(&text, &names, home, known)).await??)
}

/// Parses one entry of a list.
///
/// # Errors
/// Returns the name of the field that is missing or invalid.
fn parse_entry(json: &Value, names: &Names) -> Result<Target, &'static str> {
    let text = |field: &str| json.get(field).and_then(Value::as_str);
    let uid = text("uid").filter(|u| !u.is_empty()).ok_or("uid")?;
    let health = match text("state") {
        Some("up") => Health::Up,
        Some("draining") => Health::Draining,
        Some("removed") => Health::Gone,
        _ => return Err("state"),
    };
    // A departure applies whatever else the entry holds, because nothing is sent to that backend any more.
    let leaves = health != Health::Up;
    let address = match text("endpoint").map(str::parse) {
        Some(Ok(address)) => Some(address),
        _ if leaves => None,
        _ => return Err("endpoint"),
    };
    let number = |field: &'static str, default: f64| match json.get(field) {
        None | Some(Value::Null) => Ok(default),
        Some(v) => v.as_f64().or(leaves.then_some(default)).ok_or(field),
    };
    let cell = number("pod_group", 0.0)?;
    if !leaves && !(0.0..=f64::from(u32::MAX)).contains(&cell) {
        return Err("pod_group");
    }
    let entry = ListEntry {
        backend: BackendId(stable_hash(uid)),
        zone: names.zone(text("az")),
        cell: cell as u32,
        health,
        units: number("capacity_hint", 1.0)?,
        // Wall-clock time, like the driver's clock.
        ready_at_ms: number("boot_ms", 0.0)?,
    };
    Ok(Target { entry, address, uid: uid.into() })
}
