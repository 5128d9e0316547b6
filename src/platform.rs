//! The platform's configuration, JSON, and the environment, read into typed settings; and the file read again
//! while the node serves.

use crate::files::{FileError, read_text};
use crate::interface::Settings;
use crate::options::Options;
use crate::wire::{self, Names, WireError};
use serde_json::Value;
use std::cell::LazyCell;
use std::collections::{HashMap, HashSet};
use std::mem::discriminant;
use std::net::SocketAddr;
use std::path::Path;
use thiserror::Error;

/// A longer file is no configuration.
const LONGEST: u64 = 64 * 1024 * 1024;
/// Lists whose entries have names, and may come and go.
const NAMED: [&str; 2] = ["classes", "tenants"];

/// All that a node is told at its start.
pub struct Config {
    /// This node's name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where operators call.
    pub operator: Option<SocketAddr>,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// Seed of the decisions.
    pub seed: u64,
    /// File descriptors that the process may hold.
    pub sockets: usize,
    /// Bytes of memory that the process may use.
    pub memory: usize,
    /// Where datagrams of other nodes arrive.
    pub peer_listen: Option<SocketAddr>,
    /// The nodes of the tier, by number.
    pub peers: Vec<SocketAddr>,
    /// Reaches every node of the tier.
    pub peers_all: Option<SocketAddr>,
    /// The list of backends as last had, in discovery's form.
    pub known: Value,
    /// What the decisions need.
    pub settings: Settings,
    /// Names of classes, tenants and zones.
    pub names: Names,
    /// Tells whether two files have the same settings.
    pub digest: u64,
    /// The file, less the list.
    pub file: Value,
}

/// Why no node can be started from this configuration.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// There is no configuration.
    #[error("LB_CONFIG is not set")]
    Unset,
    /// The file cannot be read.
    #[error("LB_CONFIG: {path}: {reason}")]
    File {
        /// The file.
        path: String,
        /// Why.
        reason: String,
    },
    /// A field is absent or wrong.
    #[error("{field}: {reason}")]
    Field {
        /// The field.
        field: String,
        /// Why.
        reason: String,
    },
    /// The settings are wrong.
    #[error("settings: {0}")]
    Settings(#[from] WireError),
    /// The product's own file cannot be taken.
    #[error("{0}")]
    Options(String),
}

impl ConfigError {
    /// The same, with the name of the platform's file where it is of that.
    fn of_file(self) -> ConfigError {
        match (self, std::env::var("LB_CONFIG")) {
            (e @ (ConfigError::Field { .. } | ConfigError::Settings(_)), Ok(path)) => {
                ConfigError::File { path, reason: e.to_string() }
            }
            (e, _) => e,
        }
    }
}

fn wrong(field: &str, reason: impl Into<String>) -> ConfigError {
    ConfigError::Field { field: field.to_owned(), reason: reason.into() }
}

fn address(field: &str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| wrong(field, format!("{text:?} is not an address and port")))
}

/// A text of the file, or of the environment where that names it too.
fn text(file: &Value, field: &str, variable: Option<&str>) -> Result<Option<String>, ConfigError> {
    if let Some(value) = variable.and_then(|v| std::env::var(v).ok()).filter(|v| !v.is_empty()) {
        return Ok(Some(value));
    }
    match file.get(field) {
        None | Some(Value::Null) => Ok(None),
        Some(Value::String(s)) => Ok(Some(s.clone())),
        Some(_) => Err(wrong(field, "not a text")),
    }
}

fn address_of(
    file: &Value,
    field: &str,
    variable: Option<&str>,
) -> Result<Option<SocketAddr>, ConfigError> {
    text(file, field, variable)?.map(|t| address(field, &t)).transpose()
}

fn limit(file: &Value, name: &str, default: usize) -> Result<usize, ConfigError> {
    match file.get("limits").and_then(|l| l.get(name)) {
        None | Some(Value::Null) => Ok(default),
        Some(v) => v
            .as_u64()
            .and_then(|n| usize::try_from(n).ok())
            .ok_or_else(|| wrong(&format!("limits.{name}"), "not a whole number")),
    }
}

fn file() -> Result<Value, ConfigError> {
    let path = std::env::var("LB_CONFIG").map_err(|_| ConfigError::Unset)?;
    let bad = |reason: String| ConfigError::File { path: path.clone(), reason };
    let text = read_text(Path::new(&path), LONGEST).map_err(|e: FileError| bad(e.to_string()))?;
    serde_json::from_str(&text).map_err(|e| bad(e.to_string()))
}

/// What of a new file has to be as in the running one: the keys that it had, and under `settings` their types.
/// Entries of named lists may come and go; a new one needs the keys that all running ones had.
fn kept(path: &str, old: &Value, new: &Value) -> Result<(), ConfigError> {
    if new.is_null() && !old.is_null() {
        return Err(wrong(path, "missing"));
    }
    if path.starts_with("settings") && !old.is_null() && discriminant(old) != discriminant(new) {
        return Err(wrong(path, "of another type than in the running file"));
    }
    let at = |key: &str| if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") };
    let Value::Object(fields) = old else { return Ok(()) };
    for (key, old) in fields {
        let new = new.get(key).unwrap_or(&Value::Null);
        kept(&at(key), old, new)?;
        if let (true, Some(old), Some(new)) =
            (NAMED.contains(&key.as_str()), old.as_array(), new.as_array())
        {
            entries_kept(&at(key), old, new)?;
        }
    }
    Ok(())
}

fn entries_kept(path: &str, old: &[Value], new: &[Value]) -> Result<(), ConfigError> {
    // A hundred thousand tenants may be here: each is looked for once.
    let label = |entry: &Value| entry.get("name").map(Value::to_string);
    let mut running = HashMap::with_capacity(old.len());
    for entry in old {
        running.entry(label(entry)).or_insert(entry);
    }
    let mut seen = HashSet::with_capacity(new.len());
    let first = old.first().and_then(Value::as_object);
    let common = LazyCell::new(|| {
        let needed = |key: &str| old.iter().all(|e| e.get(key).is_some_and(|v| !v.is_null()));
        first.into_iter().flatten().filter(|(key, _)| needed(key)).collect::<Vec<_>>()
    });
    for (n, entry) in new.iter().enumerate() {
        let name = label(entry);
        match running.get(&name) {
            _ if !seen.insert(name.clone()) => {
                return Err(wrong(path, format!("the name of entry {n} is given twice")));
            }
            Some(old) => kept(&format!("{path}.{n}"), old, entry)?,
            None => {
                for (key, of_first) in common.iter() {
                    let own = entry.get(key.as_str()).unwrap_or(&Value::Null);
                    kept(&format!("{path}.{n}.{key}"), of_first, own)?;
                }
            }
        }
    }
    Ok(())
}

/// A file that was taken.
pub struct Reload {
    /// The file, to hold the next one against.
    pub file: Value,
    /// Where discovery answers now.
    pub discovery: SocketAddr,
    /// The settings, numbered by themselves.
    pub settings: Settings,
    /// Their names.
    pub names: Names,
    /// Tells whether two files have the same settings.
    pub digest: u64,
    /// The product's own options, which are taken together with the rest.
    pub options: Options,
}

impl Reload {
    /// Reads the file again and holds it against the running one: all of it can be taken, or none is.
    ///
    /// # Errors
    /// It cannot be read, lacks a key that the running one has, or holds what cannot be.
    pub fn read(running: &Value) -> Result<Reload, ConfigError> {
        Reload::check(running, file()?, Options::load).map_err(ConfigError::of_file)
    }

    /// The same of a content.
    ///
    /// # Errors
    /// As above.
    pub fn check(
        running: &Value,
        file: Value,
        options: impl FnOnce() -> Result<Options, String>,
    ) -> Result<Reload, ConfigError> {
        kept("", running, &file)?;
        // The environment is as old as the process: it has no say in this.
        let discovery =
            address_of(&file, "discovery", None)?.ok_or_else(|| wrong("discovery", "missing"))?;
        let Config { settings, names, digest, file, .. } = Config::read(file)?;
        settings.check().map_err(|e| wrong("settings", e.to_string()))?;
        let options = options().map_err(ConfigError::Options)?;
        Ok(Reload { file, discovery, settings, names, digest, options })
    }
}

impl Config {
    /// Reads the file that `LB_CONFIG` names.
    ///
    /// # Errors
    /// It cannot be read, lacks what a start needs, or holds what cannot be.
    pub fn load() -> Result<Config, ConfigError> {
        let config = Config::read(file()?).map_err(ConfigError::of_file)?;
        config.settings.check().map_err(|e| wrong("settings", e.to_string()).of_file())?;
        Ok(config)
    }

    /// Reads a file's content and the environment.
    ///
    /// # Errors
    /// As above.
    pub fn read(mut file: Value) -> Result<Config, ConfigError> {
        let json = &file;
        let missing = |field: &'static str| move || wrong(field, "missing");
        let listen = address_of(json, "listen", Some("LB_LISTEN"))?.ok_or_else(missing("listen"))?;
        let discovery =
            address_of(json, "discovery", Some("LB_DISCOVERY"))?.ok_or_else(missing("discovery"))?;
        let seed = match json.get("seed") {
            Some(Value::Number(n)) => n.as_u64().ok_or_else(|| wrong("seed", "not a whole number"))?,
            Some(Value::String(s)) => u64::from_str_radix(s, 16).unwrap_or_else(|_| wire::stable_hash(s)),
            _ => return Err(wrong("seed", "missing or not a text")),
        };
        let sockets = limit(json, "sockets", 1024)?;
        let memory = limit(json, "memory_mb", 192)?.saturating_mul(1024 * 1024);
        let peers = match json.get("peers") {
            None | Some(Value::Null) => Vec::new(),
            Some(Value::Array(list)) => list
                .iter()
                .enumerate()
                .map(|(n, v)| address(&format!("peers[{n}]"), v.as_str().unwrap_or_default()))
                .collect::<Result<_, _>>()?,
            Some(_) => return Err(wrong("peers", "not a list")),
        };
        let settings = json.get("settings").ok_or_else(missing("settings"))?;
        let content = settings.to_string();
        let digest = wire::stable_hash(&content);
        let (settings, names) = wire::settings(&content)?;
        let name = text(json, "name", Some("LB_NAME"))?.unwrap_or_default();
        let operator = address_of(json, "operator", Some("LB_OPERATOR"))?;
        let (peer_listen, peers_all) =
            (address_of(json, "peer_listen", None)?, address_of(json, "peers_all", None)?);
        // It may be long, and is of no use once it was read.
        let empty = Value::Object(serde_json::Map::new());
        let known = file.get_mut("known").map(|known| std::mem::replace(known, empty)).unwrap_or_default();
        Ok(Config {
            name,
            listen,
            operator,
            discovery,
            seed,
            sockets,
            memory,
            peer_listen,
            peers,
            peers_all,
            known,
            settings,
            names,
            digest,
            file,
        })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use serde_json::json;

    fn running() -> Value {
        json!({
            "name": "n0", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "8c1f",
            "limits": {"sockets": 256}, "known": {"rev": 1, "all": true, "targets": []}, "peers": ["127.0.0.1:3"],
            "settings": {
                "instances": 2, "limits": {"attemptsCap": 3, "mayCancel": true},
                "classes": [
                    {"name": "page", "semantics": "idempotent", "hardLimitMs": 900, "group": "all"},
                    {"name": "pay", "semantics": "at_most_once", "hardLimitMs": 500},
                ],
                "tenants": [{"name": "acme", "quotaRps": 5}],
                "rules": {"coldMs": 9000, "startCapacity": 0.3, "fallMultiple": 3, "fallMs": 2000}
            }
        })
    }

    fn taken(change: impl FnOnce(&mut Value)) -> Result<Reload, String> {
        let mut file = running();
        change(&mut file);
        let running = Config::read(running()).map_err(|e| e.to_string())?.file;
        Reload::check(&running, file, || Ok(Options::default())).map_err(|e| e.to_string())
    }

    #[test]
    fn a_file_that_can_be_taken_is_taken_whole() {
        let new = taken(|f| {
            f["discovery"] = "127.0.0.1:9".into();
            f["known"] = json!({"rev": 7});
            f["settings"]["limits"]["attemptsCap"] = 1.into();
            f["settings"]["tenants"] = json!([]);
            f["settings"]["classes"] = json!([
                {"name": "pay", "semantics": "idempotent", "hardLimitMs": 0.5},
                {"name": "new", "semantics": "at_most_once", "hardLimitMs": 700, "value": 2},
            ]);
        });
        let new = new.unwrap();
        assert_eq!((new.discovery.port(), new.settings.max_attempts), (9, 1));
        assert_eq!((new.names.class("new"), new.names.class("page")), (1, usize::MAX));
    }

    #[test]
    fn a_file_that_lacks_a_key_or_a_number_is_turned_down() {
        let classes = |f: &mut Value, v: Value| f["settings"]["classes"][0]["hardLimitMs"] = v;
        let attempts = |f: &mut Value, v: Value| f["settings"]["limits"]["attemptsCap"] = v;
        for v in [json!(null), json!(0), json!(-1), json!("900"), json!([]), json!({})] {
            assert!(taken(|f| classes(f, v.clone())).is_err(), "deadline {v}");
            assert!(taken(|f| attempts(f, v.clone())).is_err(), "attempts {v}");
        }
        assert!(taken(|f| attempts(f, json!(1.5))).is_err());
        let paths = [
            ("", "listen"),
            ("", "seed"),
            ("", "peers"),
            ("", "settings"),
            ("", "discovery"),
            ("", "known"),
            ("/limits", "sockets"),
            ("/settings", "instances"),
            ("/settings", "classes"),
            ("/settings", "tenants"),
            ("/settings", "limits"),
            ("/settings/limits", "mayCancel"),
            ("/settings/rules", "fallMs"),
            ("/settings/classes/0", "group"),
            ("/settings/classes/1", "semantics"),
            ("/settings/classes/1", "name"),
            ("/settings/tenants/0", "quotaRps"),
        ];
        for (at, key) in paths {
            let lacking = taken(|f| drop(f.pointer_mut(at).unwrap().as_object_mut().unwrap().remove(key)));
            assert!(lacking.is_err(), "{at}/{key}");
        }
        let no_semantics = json!({"name": "new", "hardLimitMs": 5});
        assert!(
            taken(|f| f["settings"]["classes"][1] = no_semantics).is_err(),
            "no default for a new class"
        );
        assert!(
            taken(|f| f["settings"]["classes"][1]["name"] = "page".into()).is_err(),
            "a name given twice"
        );
        assert!(taken(|f| f["settings"]["classes"] = json!([])).is_err(), "no class at all");
        assert!(taken(|f| f["discovery"] = "nowhere".into()).is_err());
        for not_even in [json!(null), json!([]), json!("x"), json!(5)] {
            assert!(taken(|f| *f = not_even.clone()).is_err(), "{not_even}");
        }
    }
}
