//! `daleturn state`: what a node keeps on disk, for people.

use crate::page::{Failure, print, table};
use clap::Subcommand;
use daleturn_store::{Limits, RealDisk, Store, store::Entries};
use serde_json::{Value, json};
use std::path::{Path, PathBuf};

#[derive(Debug, Subcommand)]
pub enum Command {
    /// Shows what is kept
    Show {
        /// The directory, as `state.dir` names it
        dir: PathBuf,
    },
    /// Checks every byte; exit code 1 if something is damaged
    Verify {
        /// The directory
        dir: PathBuf,
    },
    /// Moves damaged files aside and writes what is whole anew; not while a node has the directory
    Repair {
        /// The directory
        dir: PathBuf,
    },
    /// Prints all entries as one line of JSON
    Export {
        /// The directory
        dir: PathBuf,
    },
}

/// A value for eyes: a number, a text, or its length.
fn shown(kind: &str, value: &[u8]) -> String {
    match (kind, <[u8; 8]>::try_from(value), std::str::from_utf8(value)) {
        ("incarnation", Ok(bytes), _) => u64::from_le_bytes(bytes).to_string(),
        (_, _, Ok(text)) if text.len() <= 60 => text.to_owned(),
        _ => format!("{} bytes", value.len()),
    }
}

fn look(dir: &Path) -> Result<(Entries, Vec<String>), Failure> {
    if !dir.is_dir() {
        return Err(format!("{}: not a directory", dir.display()).into());
    }
    let looked = Store::inspect(&mut RealDisk::open_read_only(dir), Limits::default());
    let (entries, damaged, _) = looked.map_err(|e| format!("{}: {e}", dir.display()))?;
    Ok((entries, damaged))
}

pub fn run(command: &Command) -> Result<(), Failure> {
    match command {
        Command::Show { dir } => {
            let (entries, damaged) = look(dir)?;
            let rows = entries.iter().map(|((kind, key), e)| {
                vec![kind.clone(), key.clone(), e.written_ms.to_string(), shown(kind, &e.value)]
            });
            print(&table(&["kind", "key", "written ms", "value"], rows.collect()))?;
            damaged.iter().try_for_each(|file| print(&format!("damaged: {file}\n")))
        }
        Command::Verify { dir } => {
            let (entries, damaged) = look(dir)?;
            if damaged.is_empty() {
                return print(&format!("{}: {} entries, all whole\n", dir.display(), entries.len()));
            }
            Err(format!("{}: damaged: {}", dir.display(), damaged.join(", ")).into())
        }
        Command::Repair { dir } => {
            look(dir)?;
            let disk = RealDisk::open(dir).map_err(|e| match e.kind() {
                std::io::ErrorKind::WouldBlock => format!("{}: a node has it", dir.display()),
                _ => format!("{}: {e}", dir.display()),
            })?;
            let opened = Store::open(disk, Limits::default());
            let (store, report) = opened.map_err(|e| format!("{}: {e}", dir.display()))?;
            for (file, aside) in &report.quarantined {
                print(&format!("{file} is damaged, now {aside}\n"))?;
            }
            print(&format!(
                "{} entries are kept, {} bytes of a torn tail cut\n",
                store.size().0,
                report.truncated_bytes
            ))
        }
        Command::Export { dir } => {
            let (entries, _) = look(dir)?;
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
