//! The platform's configuration: reads the JSON file and the environment into typed settings, at startup
//! and again while the node serves.

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

/// Maximum size of the configuration file in bytes.
const MAX_FILE_BYTES: u64 = 64 * 1024 * 1024;
/// Lists whose entries have names and may be added or removed at run time.
const NAMED_LISTS: [&str; 2] = ["classes", "tenants"];

/// Configuration of a node at startup.
pub struct Config {
    /// Name of this node.
    pub name: String,
    /// Address for clients.
    pub listen: SocketAddr,
    /// Address for operators.
    pub operator: Option<SocketAddr>,
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Seed of the balancer's random numbers.
    pub seed: u64,
    /// Maximum number of file descriptors of the process.
    pub sockets: usize,
    /// Memory limit of the process in bytes.
    pub memory: usize,
    /// Address for datagrams from other nodes.
    pub peer_listen: Option<SocketAddr>,
    /// Addresses of all nodes of the tier, by node number.
    pub peers: Vec<SocketAddr>,
    /// Address that reaches every node of the tier.
    pub peers_all: Option<SocketAddr>,
    /// Last known backend list, as discovery's JSON.
    pub known: Value,
    /// Settings of the balancer.
    pub settings: Settings,
    /// Names of classes, tenants and zones.
    pub names: Names,
    /// Digest for comparing the settings of two files.
    pub digest: u64,
    /// The file's contents without the backend list.
    pub file: Value,
}

/// Error of reading a configuration.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// `LB_CONFIG` is not set.
    #[error("LB_CONFIG is not set")]
    Unset,
    /// The file cannot be read or is invalid.
    #[error("LB_CONFIG: {path}: {reason}")]
    File {
        /// Path of the file.
        path: String,
        /// Reason.
        reason: String,
    },
    /// A field is missing or invalid.
    #[error("{field}: {reason}")]
    Field {
        /// Path of the field.
        field: String,
        /// Reason.
        reason: String,
    },
    /// The settings are invalid.
    #[error("settings: {0}")]
    Settings(#[from] WireError),
    /// The options file is invalid.
    #[error("{0}")]
    Options(String),
}

impl ConfigError {
    /// Adds the path of the configuration file to errors in its contents.
    fn with_file_name(self) -> ConfigError {
        match (self, std::env::var("LB_CONFIG")) {
            (e @ (ConfigError::Field { .. } | ConfigError::Settings(_)), Ok(path)) => {
                ConfigError::File { path, reason: e.to_string() }
            }
            (e, _) => e,
        }
    }
}

/// Returns the error of a field.
fn field_error(field: &str, reason: impl Into<String>) -> ConfigError {
    ConfigError::Field { field: field.to_owned(), reason: reason.into() }
}

/// Parses an address and port.
fn address(field: &str, text: &str) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| field_error(field, format!("{text:?} is not an address and port")))
}

/// Returns a text field from the environment variable, if given and set, or else from the file.
fn text(file: &Value, field: &str, variable: Option<&str>) -> Result<Option<String>, ConfigError> {
    if let Some(value) = variable.and_then(|v| std::env::var(v).ok()).filter(|v| !v.is_empty()) {
        return Ok(Some(value));
    }
    match file.get(field) {
        None | Some(Value::Null) => Ok(None),
        Some(Value::String(s)) => Ok(Some(s.clone())),
        Some(_) => Err(field_error(field, "not a text")),
    }
}

/// Returns an address from the environment variable, if given and set, or else from the file.
fn address_of(
    file: &Value,
    field: &str,
    variable: Option<&str>,
) -> Result<Option<SocketAddr>, ConfigError> {
    text(file, field, variable)?.map(|t| address(field, &t)).transpose()
}

/// Returns a value of the section `limits`, or the default if it is absent.
fn limit(file: &Value, name: &str, default: usize) -> Result<usize, ConfigError> {
    match file.get("limits").and_then(|l| l.get(name)) {
        None | Some(Value::Null) => Ok(default),
        Some(v) => v
            .as_u64()
            .and_then(|n| usize::try_from(n).ok())
            .ok_or_else(|| field_error(&format!("limits.{name}"), "not a whole number")),
    }
}

/// Reads the file that `LB_CONFIG` names.
fn read_file() -> Result<Value, ConfigError> {
    let path = std::env::var("LB_CONFIG").map_err(|_| ConfigError::Unset)?;
    let file_error = |reason: String| ConfigError::File { path: path.clone(), reason };
    let text =
        read_text(Path::new(&path), MAX_FILE_BYTES).map_err(|e: FileError| file_error(e.to_string()))?;
    serde_json::from_str(&text).map_err(|e| file_error(e.to_string()))
}

/// Checks a new file against the running one: it must have the same keys and, under `settings`, values of
/// the same types. Entries of named lists may be added or removed; a new entry needs the keys that all
/// running entries have.
fn check_kept_keys(path: &str, old: &Value, new: &Value) -> Result<(), ConfigError> {
    if new.is_null() && !old.is_null() {
        return Err(field_error(path, "missing"));
    }
    if path.starts_with("settings") && !old.is_null() && discriminant(old) != discriminant(new) {
        return Err(field_error(path, "of another type than in the running file"));
    }
    let at = |key: &str| if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") };
    let Value::Object(fields) = old else { return Ok(()) };
    for (key, old) in fields {
        let new = new.get(key).unwrap_or(&Value::Null);
        check_kept_keys(&at(key), old, new)?;
        if let (true, Some(old), Some(new)) =
            (NAMED_LISTS.contains(&key.as_str()), old.as_array(), new.as_array())
        {
            check_kept_entries(&at(key), old, new)?;
        }
    }
    Ok(())
}

/// Checks the entries of a named list; see [`check_kept_keys`].
fn check_kept_entries(path: &str, old: &[Value], new: &[Value]) -> Result<(), ConfigError> {
    // There may be a hundred thousand tenants, so each is looked up once in a map.
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
                return Err(field_error(path, format!("the name of entry {n} is given twice")));
            }
            Some(old) => check_kept_keys(&format!("{path}.{n}"), old, entry)?,
            None => {
                for (key, of_first) in common.iter() {
                    let own = entry.get(key.as_str()).unwrap_or(&Value::Null);
                    check_kept_keys(&format!("{path}.{n}.{key}"), of_first, own)?;
                }
            }
        }
    }
    Ok(())
}

/// A reloaded configuration that passed all checks.
pub struct Reload {
    /// The file's contents, against which the next file is checked.
    pub file: Value,
    /// New address of discovery.
    pub discovery: SocketAddr,
    /// New settings, with their own class and tenant numbers.
    pub settings: Settings,
    /// Names of classes, tenants and zones.
    pub names: Names,
    /// Digest for comparing the settings of two files.
    pub digest: u64,
    /// Options, applied together with the settings.
    pub options: Options,
}

impl Reload {
    /// Reads the file again and checks it against the running one. Either all of it can be applied or an
    /// error is returned.
    ///
    /// # Errors
    /// Returns an error if the file cannot be read, lacks a key of the running one, or has an invalid
    /// value.
    pub fn read(running: &Value) -> Result<Reload, ConfigError> {
        Reload::check(running, read_file()?, Options::load).map_err(ConfigError::with_file_name)
    }

    /// Checks the contents of a new file against the running one.
    ///
    /// # Errors
    /// Returns an error if the contents lack a key of the running ones or have an invalid value.
    pub fn check(
        running: &Value,
        file: Value,
        options: impl FnOnce() -> Result<Options, String>,
    ) -> Result<Reload, ConfigError> {
        check_kept_keys("", running, &file)?;
        // The environment does not change during the life of a process, so the file alone decides on a
        // reload.
        let discovery =
            address_of(&file, "discovery", None)?.ok_or_else(|| field_error("discovery", "missing"))?;
        let Config { settings, names, digest, file, .. } = Config::read(file)?;
        settings.check().map_err(|e| field_error("settings", e.to_string()))?;
        let options = options().map_err(ConfigError::Options)?;
        Ok(Reload { file, discovery, settings, names, digest, options })
    }
}

impl Config {
    /// Reads the file that `LB_CONFIG` names.
    ///
    /// # Errors
    /// Returns an error if the file cannot be read, lacks a required field, or has an invalid value.
    pub fn load() -> Result<Config, ConfigError> {
        let config = Config::read(read_file()?).map_err(ConfigError::with_file_name)?;
        config.settings.check().map_err(|e| field_error("settings", e.to_string()).with_file_name())?;
        Ok(config)
    }

    /// Parses the contents of a file and reads the environment.
    ///
    /// # Errors
    /// Returns an error if a required field is missing or a value is invalid.
    pub fn read(mut file: Value) -> Result<Config, ConfigError> {
        let json = &file;
        let missing = |field: &'static str| move || field_error(field, "missing");
        let listen = address_of(json, "listen", Some("LB_LISTEN"))?.ok_or_else(missing("listen"))?;
        let discovery =
            address_of(json, "discovery", Some("LB_DISCOVERY"))?.ok_or_else(missing("discovery"))?;
        let seed = match json.get("seed") {
            Some(Value::Number(n)) => {
                n.as_u64().ok_or_else(|| field_error("seed", "not a whole number"))?
            }
            Some(Value::String(s)) => u64::from_str_radix(s, 16).unwrap_or_else(|_| wire::stable_hash(s)),
            _ => return Err(field_error("seed", "missing or not a text")),
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
            Some(_) => return Err(field_error("peers", "not a list")),
        };
        let settings = json.get("settings").ok_or_else(missing("settings"))?;
        let content = settings.to_string();
        let digest = wire::stable_hash(&content);
        let (settings, names) = wire::settings(&content)?;
        let name = text(json, "name", Some("LB_NAME"))?.unwrap_or_default();
        let operator = address_of(json, "operator", Some("LB_OPERATOR"))?;
        let (peer_listen, peers_all) =
            (address_of(json, "peer_listen", None)?, address_of(json, "peers_all", None)?);
        // The list may be long and is not needed after parsing.
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
    fn a_valid_file_is_applied_completely() {
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
    fn a_file_with_missing_or_invalid_values_is_rejected() {
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
            "a duplicate name"
        );
        assert!(taken(|f| f["settings"]["classes"] = json!([])).is_err(), "no class at all");
        assert!(taken(|f| f["discovery"] = "nowhere".into()).is_err());
        for not_an_object in [json!(null), json!([]), json!("x"), json!(5)] {
            assert!(taken(|f| *f = not_an_object.clone()).is_err(), "{not_an_object}");
        }
    }
}
