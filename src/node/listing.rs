//! The form in which discovery tells the list of backends, read from JSON.

use crate::log::log_event;
use crate::rules::Current;
use bytes::Bytes;
use daleturn::control::subset::{Catalog, Target, home_zone};
use daleturn::interface::{BackendId, Health, ListEntry};
use daleturn::wire::{Names, stable_hash};
use serde::Deserialize;
use serde_json::Value;
use serde_json::value::RawValue;
use std::error::Error;

/// A longer list is read beside the loop, line by line: it takes longer than a request may wait.
const LONG: usize = 64 * 1024;
/// A whole list of more lines is put together there as well.
const MANY: usize = 1024;
/// Lines that could not be read and are told, of one list.
const TOLD_SPOILT: usize = 20;

/// The lines of an answer.
pub enum Lines {
    /// As they came.
    Few(Vec<Target>),
    /// A long whole list, put together, with its lines' digest.
    Whole(Box<Catalog>, u64),
    /// The long whole list that is known, line for line.
    Same,
}

/// The long whole list that was taken last, if nothing has changed since.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Seen {
    /// Tells its lines from others.
    pub digest: u64,
    /// How many it has.
    pub entries: usize,
    /// The rules that it was read by.
    pub taken: u32,
}

/// An answer of discovery, or the list that a node starts with.
pub struct Listing {
    /// Its version.
    pub rev: u64,
    /// It is a whole list.
    pub all: bool,
    /// How many lines could be read.
    pub entries: usize,
    /// How many could not, and the first of them with what is wrong.
    pub skipped: usize,
    spoilt: Vec<(&'static str, String)>,
    /// The others.
    pub lines: Lines,
}

impl Listing {
    /// The version that a watch may go on from: none of an empty list or of one that was not read whole.
    pub fn complete(&self) -> Option<u64> {
        (self.all && self.skipped == 0 && self.entries > 0).then_some(self.rev)
    }

    fn of(
        rev: u64,
        all: bool,
        lines: impl Iterator<Item = Result<Target, (&'static str, String)>>,
    ) -> Listing {
        let (mut skipped, mut spoilt) = (0, Vec::new());
        let read = lines.filter_map(|line| match line {
            Ok(target) => Some(target),
            Err(wrong) => {
                skipped += 1;
                if spoilt.len() < TOLD_SPOILT {
                    spoilt.push(wrong);
                }
                None
            }
        });
        let targets: Vec<Target> = read.collect();
        Listing { rev, all, entries: targets.len(), skipped, spoilt, lines: Lines::Few(targets) }
    }

    /// Logs lines that were skipped: one bad line must not hide the rest.
    pub fn tell_skipped(&self) {
        for (field, line) in &self.spoilt {
            log_event!(WARN, "discovery", field, entry = line.as_str(), "discovery.entry_skipped");
        }
    }
}

/// Reads a list in discovery's form.
pub fn listing(json: &Value, names: &Names) -> Option<Listing> {
    let rev = json.get("rev")?.as_u64()?;
    let all = json.get("all").and_then(Value::as_bool).unwrap_or(false);
    let lines = json.get("targets")?.as_array()?;
    let read =
        lines.iter().map(|line| target(line, names).map_err(|field| (field, excerpt(&line.to_string()))));
    Some(Listing::of(rev, all, read))
}

fn excerpt(line: &str) -> String {
    format!("{line:.200}")
}

/// The same of a long text: no tree of the whole is made, a whole list is put together, and one that is known is not
/// read again.
fn long_listing(
    text: &[u8],
    names: &Names,
    home: Option<u16>,
    seen: Option<Seen>,
) -> Result<Listing, serde_json::Error> {
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
    if let Some(seen) = seen.filter(|seen| all && seen.digest == digest) {
        let (entries, skipped, spoilt) = (seen.entries, 0, Vec::new());
        return Ok(Listing { rev, all, entries, skipped, spoilt, lines: Lines::Same });
    }
    let targets: Vec<&RawValue> = serde_json::from_str(targets.get())?;
    let read = targets.iter().map(|line| {
        let json: Value = serde_json::from_str(line.get()).map_err(|_| ("line", excerpt(line.get())))?;
        target(&json, names).map_err(|field| (field, excerpt(line.get())))
    });
    let mut listing = Listing::of(rev, all, read);
    if let (true, Lines::Few(lines)) = (listing.all && listing.entries > MANY, &mut listing.lines) {
        listing.lines = Lines::Whole(Box::new(Catalog::from_lines(std::mem::take(lines), home)), digest);
    }
    Ok(listing)
}

/// Reads an answer; a long one beside the loop.
pub async fn read(text: Bytes, rules: &Current, seen: Option<Seen>) -> Result<Listing, Box<dyn Error>> {
    let rules = rules.get();
    if text.len() <= LONG {
        let json = serde_json::from_slice(&text)?;
        return Ok(listing(&json, &rules.names).ok_or("not a list")?);
    }
    let (names, home) = (rules.names.of_zones(), home_zone(&rules.settings));
    let seen = seen.filter(|seen| seen.taken == rules.taken);
    Ok(tokio::task::spawn_blocking(move || long_listing(&text, &names, home, seen)).await??)
}

fn target(line: &Value, names: &Names) -> Result<Target, &'static str> {
    let text = |field: &str| line.get(field).and_then(Value::as_str);
    let uid = text("uid").filter(|u| !u.is_empty()).ok_or("uid")?;
    let health = match text("state") {
        Some("up") => Health::Up,
        Some("draining") => Health::Draining,
        Some("removed") => Health::Gone,
        _ => return Err("state"),
    };
    // Who leaves has nothing sent to it: whatever else its line holds, that holds at once.
    let leaves = health != Health::Up;
    let address = match text("endpoint").map(str::parse) {
        Some(Ok(address)) => Some(address),
        _ if leaves => None,
        _ => return Err("endpoint"),
    };
    let number = |field: &'static str, default: f64| match line.get(field) {
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
        // Wall time, which is what the driver's clock counts in.
        ready_at_ms: number("boot_ms", 0.0)?,
    };
    Ok(Target { entry, address, uid: uid.into() })
}
