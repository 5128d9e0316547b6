//! `daleturn state`: inspects and repairs a node's state directory.

use crate::page::{Failure, print, table};
use clap::Subcommand;
use daleturn_store::{Limits, RealDisk, Store, store::Entries};
use serde_json::{Value, json};
use std::path::{Path, PathBuf};

#[derive(Debug, Subcommand)]
pub enum Command {
    /// Shows all entries
    Show {
        /// The state directory: `state.dir` in the node's configuration
        dir: PathBuf,
    },
    /// Checks every byte; exit code 1 if a file is damaged
    Verify {
        /// The state directory
        dir: PathBuf,
    },
    /// Renames damaged files and writes the intact entries anew; fails while a node uses the directory
    Repair {
        /// The state directory
        dir: PathBuf,
    },
    /// Prints all entries as one line of JSON
    Export {
        /// The state directory
        dir: PathBuf,
    },
}

/// Formats a value: a known number, a short text, or the value's length.
fn format_value(kind: &str, value: &[u8]) -> String {
    match (kind, <[u8; 8]>::try_from(value), std::str::from_utf8(value)) {
        ("incarnation", Ok(bytes), _) => u64::from_le_bytes(bytes).to_string(),
        (_, _, Ok(text)) if text.len() <= 60 => text.to_owned(),
        _ => format!("{} bytes", value.len()),
    }
}

/// Reads a state directory without changing it. Returns the entries and the names of damaged files.
fn inspect(dir: &Path) -> Result<(Entries, Vec<String>), Failure> {
    if !dir.is_dir() {
        return Err(format!("{}: not a directory", dir.display()).into());
    }
    let result = Store::inspect(&mut RealDisk::open_read_only(dir), Limits::default());
    let (entries, damaged, _) = result.map_err(|e| format!("{}: {e}", dir.display()))?;
    Ok((entries, damaged))
}

/// Runs a subcommand.
pub fn run(command: &Command) -> Result<(), Failure> {
    match command {
        Command::Show { dir } => {
            let (entries, damaged) = inspect(dir)?;
            let rows = entries.iter().map(|((kind, key), e)| {
                vec![kind.clone(), key.clone(), e.written_ms.to_string(), format_value(kind, &e.value)]
            });
            print(&table(&["kind", "key", "written ms", "value"], rows.collect()))?;
            damaged.iter().try_for_each(|file| print(&format!("damaged: {file}\n")))
        }
        Command::Verify { dir } => {
            let (entries, damaged) = inspect(dir)?;
            if damaged.is_empty() {
                return print(&format!("{}: {} entries, all whole\n", dir.display(), entries.len()));
            }
            Err(format!("{}: damaged: {}", dir.display(), damaged.join(", ")).into())
        }
        Command::Repair { dir } => {
            inspect(dir)?;
            let disk = RealDisk::open(dir).map_err(|e| match e.kind() {
                std::io::ErrorKind::WouldBlock => format!("{}: in use by a node", dir.display()),
                _ => format!("{}: {e}", dir.display()),
            })?;
            let opened = Store::open(disk, Limits::default());
            let (store, report) = opened.map_err(|e| format!("{}: {e}", dir.display()))?;
            for (file, new_name) in &report.quarantined {
                print(&format!("{file} is damaged, now {new_name}\n"))?;
            }
            print(&format!(
                "{} entries are kept, {} bytes of a torn tail cut\n",
                store.size().0,
                report.truncated_bytes
            ))
        }
        Command::Export { dir } => {
            let (entries, _) = inspect(dir)?;
            let all: Vec<Value> = (entries.iter())
                .map(|((kind, key), e)| {
                    let text = String::from_utf8(e.value.clone()).ok();
                    json!({"kind": kind, "key": key, "written_ms": e.written_ms, "text": text, "bytes": e.value})
                })
                .collect();
            print(&format!("{}\n", json!({"entries": all})))
        }
    }
}
