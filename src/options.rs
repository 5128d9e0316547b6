//! Options that the product adds to the platform's configuration: one TOML file, named by `DALETURN_CONFIG`.
//! Without the file, optional features are off and all other options have the defaults given here.
//!
//! ```
//! use daleturn::options::{Format, Options};
//!
//! let options = Options::parse("[log]\nformat = \"json\"\n")?;
//! assert_eq!(options.log.format, Format::Json);
//! assert_eq!(options.stats, Options::default().stats);
//!
//! // An error names the line and the key.
//! let wrong = Options::parse("[log]\n\nlines_per_second = 0\n").unwrap_err();
//! assert!(wrong.to_string().starts_with("line 3: log.lines_per_second: "), "{wrong}");
//! # Ok::<(), daleturn::tomlfile::TomlError>(())
//! ```

use crate::files::read_text;
use crate::tomlfile::{self, TomlError};
use serde::{Deserialize, Deserializer, Serialize};
use std::collections::BTreeMap;
use std::path::Path;

/// Environment variable that names the file.
pub const VARIABLE: &str = "DALETURN_CONFIG";
/// Maximum size of the file in bytes.
const MAX_FILE_BYTES: u64 = 1024 * 1024;

/// Contents of the file.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Options {
    /// Log format and filters.
    pub log: Log,
    /// Statistics of the call `stats`.
    pub stats: Stats,
    /// State that survives the machine.
    pub state: State,
    /// State shared between nodes.
    pub share: Share,
    /// Zones and regions.
    pub topology: Topology,
    /// Long backend lists.
    pub list: List,
}

/// Section `[list]`.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct List {
    /// Number of backends that a node uses of a longer list; 0 for all.
    #[serde(deserialize_with = "integer_within::<_, 0, 100_000>")]
    pub subset: u32,
}

impl Default for List {
    fn default() -> List {
        List { subset: 320 }
    }
}

/// Section `[topology]`.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Topology {
    /// Enables zone health checks: a lost zone is left as a whole and returned to later.
    pub on: bool,
    /// Weight of zones in other regions relative to the own region, in percent.
    #[serde(deserialize_with = "integer_within::<_, 1, 100>")]
    pub other_region_percent: u32,
    /// Region of each zone. A zone without an entry belongs to no region and counts as remote.
    pub regions: BTreeMap<String, String>,
}

impl Default for Topology {
    fn default() -> Topology {
        Topology { on: false, other_region_percent: 10, regions: BTreeMap::new() }
    }
}

/// Section `[share]`.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Share {
    /// Enables state shared between nodes; requires configured peers.
    pub on: bool,
    /// Maximum age of the fleet's tenant totals, in milliseconds; older ones are not used.
    #[serde(deserialize_with = "integer_within::<_, 4000, 60_000>")]
    pub limits_ms: u32,
    /// Maximum age of verdicts on servers, in milliseconds.
    #[serde(deserialize_with = "integer_within::<_, 500, 60_000>")]
    pub verdicts_ms: u32,
    /// Maximum age of key locations, in milliseconds.
    #[serde(deserialize_with = "integer_within::<_, 500, 60_000>")]
    pub affinity_ms: u32,
}

impl Default for Share {
    fn default() -> Share {
        Share { on: false, limits_ms: 7500, verdicts_ms: 3000, affinity_ms: 5000 }
    }
}

/// Section `[state]`.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct State {
    /// Directory of this node that survives the machine; if empty, nothing is kept.
    pub dir: String,
    /// For exercises: directory from which scripted disk faults are read, and where the resulting disk
    /// operations are recorded.
    pub rehearse: String,
}

/// Section `[log]`.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Log {
    /// Format of a line.
    pub format: Format,
    /// Minimum level of the events that are written.
    pub level: Level,
    /// Levels of single targets. The target is the part of an event's name before the dot.
    pub targets: BTreeMap<String, Level>,
    /// Maximum number of lines per second, without those of target `request`.
    #[serde(deserialize_with = "integer_within::<_, 1, 1000>")]
    pub lines_per_second: u32,
    /// Maximum number of lines per second of target `request`. These are samples and must not displace
    /// other lines.
    #[serde(deserialize_with = "integer_within::<_, 0, 1000>")]
    pub requests_per_second: u32,
}

impl Default for Log {
    fn default() -> Log {
        Log {
            format: Format::Text,
            level: Level::Info,
            targets: BTreeMap::new(),
            lines_per_second: 20,
            requests_per_second: 4,
        }
    }
}

/// Format of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// Time, level, event name and `field=value` pairs.
    Text,
    /// One JSON object.
    Json,
}

/// Minimum level of the events that are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// No events.
    Off,
    /// Conditions that keep the node from working.
    Error,
    /// Conditions that an operator should look at.
    Warn,
    /// State changes.
    Info,
    /// Details.
    Debug,
    /// All events.
    Trace,
}

/// Section `[stats]`.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Stats {
    /// Window length in seconds; latencies cover the last one or two windows.
    #[serde(deserialize_with = "integer_within::<_, 1, 3600>")]
    pub window_s: u32,
}

impl Default for Stats {
    fn default() -> Stats {
        Stats { window_s: 30 }
    }
}

/// Deserializes an integer from `MIN` to `MAX`.
fn integer_within<'de, D: Deserializer<'de>, const MIN: u32, const MAX: u32>(
    from: D,
) -> Result<u32, D::Error> {
    let value = i64::deserialize(from)?;
    let fits = u32::try_from(value).ok().filter(|v| (MIN..=MAX).contains(v));
    fits.ok_or_else(|| serde::de::Error::custom(format!("{value} is not within {MIN} to {MAX}")))
}

impl Options {
    /// Reads the file that `DALETURN_CONFIG` names, or returns the defaults if the variable is not set.
    ///
    /// # Errors
    /// Returns the error of [`Options::read`], with the name of the file.
    pub fn load() -> Result<Options, String> {
        match std::env::var_os(VARIABLE).filter(|p| !p.is_empty()) {
            None => Ok(Options::default()),
            Some(path) => Options::read(Path::new(&path))
                .map_err(|e| format!("{VARIABLE}: {}: {e}", Path::new(&path).display())),
        }
    }

    /// Reads a file.
    ///
    /// # Errors
    /// Returns an error if the file cannot be read, is not valid TOML, or has an unknown key or a value of
    /// the wrong type or range.
    pub fn read(path: &Path) -> Result<Options, TomlError> {
        Options::parse(&read_text(path, MAX_FILE_BYTES)?)
    }

    /// Parses the text of a file.
    ///
    /// # Errors
    /// Returns an error if the text is not valid TOML, or has an unknown key or a value of the wrong type
    /// or range.
    pub fn parse(text: &str) -> Result<Options, TomlError> {
        tomlfile::parse(text)
    }
}

/// Documentation of a key of the file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Key {
    /// Dotted path of the key.
    pub key: &'static str,
    /// Unit or permitted values.
    pub unit: &'static str,
    /// Purpose of the key.
    pub about: &'static str,
}

/// All keys of the file.
pub const KEYS: [Key; 16] = [
    Key { key: "log.format", unit: "text | json", about: "format of a log line" },
    Key {
        key: "log.level",
        unit: "off | error | warn | info | debug | trace",
        about: "minimum level of the events that are written",
    },
    Key {
        key: "log.targets",
        unit: "table of levels",
        about: "minimum levels of single targets, such as discovery = \"debug\"",
    },
    Key {
        key: "log.lines_per_second",
        unit: "lines, 1 to 1000",
        about: "maximum number of log lines per second, without those of target request",
    },
    Key {
        key: "log.requests_per_second",
        unit: "lines, 0 to 1000",
        about: "maximum number of lines per second of target request, which are samples",
    },
    Key {
        key: "stats.window_s",
        unit: "seconds, 1 to 3600",
        about: "window length; the latencies that stats shows cover the last one or two windows",
    },
    Key {
        key: "state.dir",
        unit: "directory; read at startup only",
        about: "keeps operators' orders, the backend list and the learned state across crashes and power loss",
    },
    Key {
        key: "state.rehearse",
        unit: "directory; read at startup only; for exercises, not for service",
        about: "scripted disk faults are read from there, and the disk operations are recorded there",
    },
    Key {
        key: "share.on",
        unit: "true | false; read at startup only",
        about: "nodes share tenant limits, verdicts on servers, key locations and operators' orders",
    },
    Key {
        key: "share.limits_ms",
        unit: "milliseconds, 4000 to 60000",
        about: "maximum age of the tenant totals; without them each node grants its own part of a quota",
    },
    Key {
        key: "share.verdicts_ms",
        unit: "milliseconds, 500 to 60000",
        about: "maximum age of verdicts on servers",
    },
    Key {
        key: "topology.on",
        unit: "true | false; read at startup only",
        about: "checks the health of whole zones: stops sending to a lost zone and returns to it gradually",
    },
    Key {
        key: "topology.other_region_percent",
        unit: "percent, 1 to 100",
        about: "weight of zones in other regions relative to the own region",
    },
    Key {
        key: "topology.regions",
        unit: "table of names",
        about: "region of each zone, such as monza-a = \"monza\"",
    },
    Key {
        key: "list.subset",
        unit: "backends, 0 to 100000; 0 for all; read at startup only",
        about: "number of backends that a node uses of a longer list; the node number determines which",
    },
    Key {
        key: "share.affinity_ms",
        unit: "milliseconds, 500 to 60000",
        about: "maximum age of key locations",
    },
];

#[cfg(test)]
mod tests {
    use super::*;

    fn error(text: &str) -> String {
        Options::parse(text).unwrap_err().to_string()
    }

    #[test]
    fn an_empty_file_gives_the_defaults() {
        for text in ["", "\n", "# nothing\n", "[log]\n", "[log]\n[log.targets]\n"] {
            assert_eq!(Options::parse(text).unwrap(), Options::default(), "{text:?}");
        }
    }

    #[test]
    fn an_error_names_the_line_and_the_key() {
        assert_eq!(
            error("[log]\nlevle = \"info\"\n"),
            "line 2: log.levle: unknown field `levle`, expected one of `format`, `level`, `targets`, \
             `lines_per_second`, `requests_per_second`"
        );
        assert!(error("[lgo]\n").starts_with("line 1: lgo: unknown field"), "{}", error("[lgo]\n"));
        assert!(
            error("[log]\nlevel = 5\n").starts_with("line 2: log.level: "),
            "{}",
            error("[log]\nlevel = 5\n")
        );
        assert!(
            error("\n[log.targets]\na = \"lod\"\n").starts_with("line 3: log.targets.a: unknown variant")
        );
        assert_eq!(error("[stats]\nwindow_s = 0"), "line 2: stats.window_s: 0 is not within 1 to 3600");
        assert_eq!(error("[stats]\nwindow_s = -9"), "line 2: stats.window_s: -9 is not within 1 to 3600");
        assert!(
            error("[log]\nlevel = \"info\"\nlevel = \"warn\"\n").starts_with("line 3: "),
            "duplicate key"
        );
        assert!(error("[log]\nlevel = \"in").starts_with("line 2: "), "truncated");
        assert!(error("x\0y").starts_with("line 1: "));
        for text in ["[log", "log", "log = 5", "[[log]]", "stats = []"] {
            let error = error(text);
            assert!(error.starts_with("line 1: ") && !error.contains('\n'), "{text}: {error}");
        }
    }

    #[test]
    fn documented_keys_are_exactly_the_keys_of_the_file() {
        fn walk(at: &str, value: &toml::Value, keys: &mut Vec<String>) {
            match value.as_table().filter(|_| !["log.targets", "topology.regions"].contains(&at)) {
                None => keys.push(at.to_owned()),
                Some(table) => {
                    for (key, value) in table {
                        walk(&if at.is_empty() { key.clone() } else { format!("{at}.{key}") }, value, keys);
                    }
                }
            }
        }
        let mut keys = Vec::new();
        walk("", &toml::Value::try_from(Options::default()).unwrap(), &mut keys);
        let mut documented: Vec<&str> = KEYS.iter().map(|k| k.key).collect();
        documented.sort_unstable();
        keys.sort_unstable();
        assert_eq!(documented, keys);
    }
}
