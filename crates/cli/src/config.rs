//! `daleturn config`: checks configuration files before a node reads them, and lists the options of the
//! product's own file.

use crate::page::{Failure, print, table};
use clap::Subcommand;
use daleturn::files::read_text;
use daleturn::options::{KEYS, Options};
use daleturn::platform::Config;
use serde_json::{Value, json};
use std::path::{Path, PathBuf};

/// Maximum size of the platform's configuration file, in bytes.
const MAX_PLATFORM_FILE_BYTES: u64 = 64 * 1024 * 1024;

#[derive(Debug, Subcommand)]
pub enum Command {
    /// Checks files: *.toml as the product's own, any other as the platform's JSON
    #[command(
        after_help = "Example:\n  daleturn config check /etc/daleturn.toml /run/balancer/config.json"
    )]
    Check {
        /// The files to check
        #[arg(required = true, value_name = "FILE")]
        files: Vec<PathBuf>,
        /// Print one line of JSON for each file
        #[arg(long)]
        json: bool,
    },
    /// Lists every option of the product's own file with its unit and default
    #[command(after_help = "With a file, shows the resulting values instead of the defaults.\n\n\
                            Examples:\n  daleturn config show\n  daleturn config show /etc/daleturn.toml")]
    Show {
        /// Show the values that result from this file
        #[arg(value_name = "FILE")]
        file: Option<PathBuf>,
        /// Print one JSON object
        #[arg(long)]
        json: bool,
    },
}

/// Runs a subcommand.
pub fn run(command: &Command) -> Result<(), Failure> {
    match command {
        Command::Check { files, json } => check(files, *json),
        Command::Show { file, json } => show(file.as_deref(), *json),
    }
}

/// Checks a file and returns which kind of configuration it holds.
fn check_one(file: &Path) -> Result<&'static str, String> {
    if file.extension().is_some_and(|e| e == "toml") {
        return Options::read(file).map(|_| "product").map_err(|e| e.to_string());
    }
    let text = read_text(file, MAX_PLATFORM_FILE_BYTES).map_err(|e| e.to_string())?;
    let content = serde_json::from_str(&text).map_err(|e| e.to_string())?;
    let config = Config::read(content).map_err(|e| e.to_string())?;
    config.settings.check().map_err(|e| format!("settings: {e}"))?;
    Ok("platform")
}

/// Checks files and prints a line for each.
fn check(files: &[PathBuf], as_json: bool) -> Result<(), Failure> {
    let mut invalid = 0;
    for file in files {
        let name = file.display().to_string();
        let result = check_one(file);
        invalid += usize::from(result.is_err());
        let line = match (&result, as_json) {
            (Ok(kind), false) => format!("{name}: {kind} configuration, fine\n"),
            (Err(why), false) => format!("{name}: {why}\n"),
            (Ok(kind), true) => format!("{}\n", json!({"file": name, "ok": true, "kind": kind})),
            (Err(why), true) => format!("{}\n", json!({"file": name, "ok": false, "reason": why})),
        };
        print(&line)?;
    }
    if invalid > 0 { Err(format!("{invalid} of {} files are invalid", files.len()).into()) } else { Ok(()) }
}

/// Prints every option with its value or default.
fn show(file: Option<&Path>, as_json: bool) -> Result<(), Failure> {
    let options = match file {
        None => Options::default(),
        Some(path) => Options::read(path).map_err(|e| format!("{}: {e}", path.display()))?,
    };
    let values = toml::Value::try_from(&options).map_err(|e| e.to_string())?;
    let value = |key: &str| key.split('.').try_fold(&values, |at, part| at.get(part)).cloned();
    let value_text = |key: &str| value(key).map_or_else(|| "-".to_owned(), |v| v.to_string());
    if as_json {
        let keys: Vec<Value> = KEYS
            .iter()
            .map(|k| json!({"key": k.key, "value": value(k.key), "unit": k.unit, "about": k.about}))
            .collect();
        return print(&format!("{}\n", json!({"keys": keys})));
    }
    let rows = KEYS.iter().map(|k| vec![k.key.into(), value_text(k.key), k.unit.into(), k.about.into()]);
    let value_heading = if file.is_some() { "value" } else { "default" };
    print(&table(&["key", value_heading, "unit", "what it is"], rows.collect()))
}
