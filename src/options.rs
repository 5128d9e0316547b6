//! What the product adds to the platform's configuration: one TOML file, named by `DALETURN_CONFIG`. Without it
//! all that is new is off and the rest has the defaults that stand here.
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

/// The variable that names the file.
pub const VARIABLE: &str = "DALETURN_CONFIG";
/// A longer file is none of ours.
const LONGEST: u64 = 1024 * 1024;

/// All that the file may hold.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Options {
    /// What is logged, and how.
    pub log: Log,
    /// The figures of the call `stats`.
    pub stats: Stats,
    /// What survives the machine.
    pub state: State,
    /// What the nodes share.
    pub share: Share,
    /// Zones and regions.
    pub topology: Topology,
    /// Long lists of backends.
    pub list: List,
}

/// `[list]`.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct List {
    /// Of a list with more backends than this a node works with so many; 0 for all of any list.
    #[serde(deserialize_with = "within::<_, 0, 100_000>")]
    pub subset: u32,
}

impl Default for List {
    fn default() -> List {
        List { subset: 320 }
    }
}

/// `[topology]`.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Topology {
    /// Zones are judged as a whole, left and returned to.
    pub on: bool,
    /// Weight of zones of other regions beside those of the own one, in percent.
    #[serde(deserialize_with = "within::<_, 1, 100>")]
    pub other_region_percent: u32,
    /// Region of each zone; a zone that is not named is of no region, and far.
    pub regions: BTreeMap<String, String>,
}

impl Default for Topology {
    fn default() -> Topology {
        Topology { on: false, other_region_percent: 10, regions: BTreeMap::new() }
    }
}

/// `[share]`.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Share {
    /// Nodes share what they know; needs the platform's peers.
    pub on: bool,
    /// What tenants ask of the whole fleet is not believed when it is older, in milliseconds.
    #[serde(deserialize_with = "within::<_, 4000, 60_000>")]
    pub limits_ms: u32,
    /// The same of verdicts on servers.
    #[serde(deserialize_with = "within::<_, 500, 60_000>")]
    pub verdicts_ms: u32,
    /// The same of places of keys.
    #[serde(deserialize_with = "within::<_, 500, 60_000>")]
    pub affinity_ms: u32,
}

impl Default for Share {
    fn default() -> Share {
        Share { on: false, limits_ms: 7500, verdicts_ms: 3000, affinity_ms: 5000 }
    }
}

/// `[state]`.
#[derive(Clone, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct State {
    /// A directory that survives the machine, for this node alone; without it nothing does.
    pub dir: String,
    /// For drills: a directory from which the disk takes orders to fail, and where it tells what was done to it.
    pub rehearse: String,
}

/// `[log]`.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Log {
    /// How a line is written.
    pub format: Format,
    /// What is written at all.
    pub level: Level,
    /// The same for single targets: the word before the point of an event's name.
    pub targets: BTreeMap<String, Level>,
    /// Lines in one second, but for those of the target `request`.
    #[serde(deserialize_with = "within::<_, 1, 1000>")]
    pub lines_per_second: u32,
    /// Lines of the target `request` in one second: samples, which must not crowd out the rest.
    #[serde(deserialize_with = "within::<_, 0, 1000>")]
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

/// How a line of the log is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Format {
    /// Time, level, name and `field=value`.
    Text,
    /// One JSON object.
    Json,
}

/// From which level on an event is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Level {
    /// Nothing.
    Off,
    /// What keeps the node from its work.
    Error,
    /// What somebody should look at.
    Warn,
    /// What changes.
    Info,
    /// More.
    Debug,
    /// All.
    Trace,
}

/// `[stats]`.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Stats {
    /// Times are those of the last window or two of this many seconds.
    #[serde(deserialize_with = "within::<_, 1, 3600>")]
    pub window_s: u32,
}

impl Default for Stats {
    fn default() -> Stats {
        Stats { window_s: 30 }
    }
}

fn within<'de, D: Deserializer<'de>, const LEAST: u32, const MOST: u32>(from: D) -> Result<u32, D::Error> {
    let value = i64::deserialize(from)?;
    let fits = u32::try_from(value).ok().filter(|v| (LEAST..=MOST).contains(v));
    fits.ok_or_else(|| serde::de::Error::custom(format!("{value} is not within {LEAST} to {MOST}")))
}

impl Options {
    /// Reads the file that `DALETURN_CONFIG` names; the defaults where it names none.
    ///
    /// # Errors
    /// The file's, with its name.
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
    /// It cannot be read, is no TOML, has a key that nobody knows or one of another type or range.
    pub fn read(path: &Path) -> Result<Options, TomlError> {
        Options::parse(&read_text(path, LONGEST)?)
    }

    /// Reads a file's text.
    ///
    /// # Errors
    /// As above.
    pub fn parse(text: &str) -> Result<Options, TomlError> {
        tomlfile::parse(text)
    }
}

/// A key of the file, for people.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct Key {
    /// Its path.
    pub key: &'static str,
    /// What it counts in, or what it may be.
    pub unit: &'static str,
    /// What it is for.
    pub about: &'static str,
}

/// Every key that the file may hold.
pub const KEYS: [Key; 16] = [
    Key { key: "log.format", unit: "text | json", about: "how a line of the log is written" },
    Key {
        key: "log.level",
        unit: "off | error | warn | info | debug | trace",
        about: "from which level on events are written",
    },
    Key {
        key: "log.targets",
        unit: "table of levels",
        about: "the same for single targets, such as discovery = \"debug\"",
    },
    Key {
        key: "log.lines_per_second",
        unit: "lines, 1 to 1000",
        about: "most lines in a second, but for target request",
    },
    Key {
        key: "log.requests_per_second",
        unit: "lines, 0 to 1000",
        about: "most lines in a second of target request, which are samples",
    },
    Key {
        key: "stats.window_s",
        unit: "seconds, 1 to 3600",
        about: "times that stats shows are of the last one or two such windows",
    },
    Key {
        key: "state.dir",
        unit: "directory; taken at a start only",
        about: "keeps operators' words, the list and what was learned over crash and power loss",
    },
    Key {
        key: "state.rehearse",
        unit: "directory; taken at a start only; for drills, not for service",
        about: "the disk takes orders to fail from there, and tells there what was done to it",
    },
    Key {
        key: "share.on",
        unit: "true | false; taken at a start only",
        about: "nodes share limits of tenants, verdicts on servers, places of keys and operators' words",
    },
    Key {
        key: "share.limits_ms",
        unit: "milliseconds, 4000 to 60000",
        about: "older totals of tenants are not used: each node then grants its part alone",
    },
    Key {
        key: "share.verdicts_ms",
        unit: "milliseconds, 500 to 60000",
        about: "older verdicts on servers are not used",
    },
    Key {
        key: "topology.on",
        unit: "true | false; taken at a start only",
        about: "zones are judged as a whole: left when they are lost, returned to along a ramp",
    },
    Key {
        key: "topology.other_region_percent",
        unit: "percent, 1 to 100",
        about: "weight of other regions' zones beside the own one's",
    },
    Key {
        key: "topology.regions",
        unit: "table of names",
        about: "region of each zone, such as monza-a = \"monza\"",
    },
    Key {
        key: "list.subset",
        unit: "backends, 0 to 100000; 0 for all; taken at a start only",
        about: "of a longer list a node works with so many: its part, as its number has it",
    },
    Key {
        key: "share.affinity_ms",
        unit: "milliseconds, 500 to 60000",
        about: "older places of keys are not used",
    },
];

#[cfg(test)]
mod tests {
    use super::*;

    fn why(text: &str) -> String {
        Options::parse(text).unwrap_err().to_string()
    }

    #[test]
    fn an_empty_file_is_the_defaults() {
        for text in ["", "\n", "# nothing\n", "[log]\n", "[log]\n[log.targets]\n"] {
            assert_eq!(Options::parse(text).unwrap(), Options::default(), "{text:?}");
        }
    }

    #[test]
    fn an_error_names_the_line_and_the_key() {
        assert_eq!(
            why("[log]\nlevle = \"info\"\n"),
            "line 2: log.levle: unknown field `levle`, expected one of `format`, `level`, `targets`, \
             `lines_per_second`, `requests_per_second`"
        );
        assert!(why("[lgo]\n").starts_with("line 1: lgo: unknown field"), "{}", why("[lgo]\n"));
        assert!(
            why("[log]\nlevel = 5\n").starts_with("line 2: log.level: "),
            "{}",
            why("[log]\nlevel = 5\n")
        );
        assert!(
            why("\n[log.targets]\na = \"lod\"\n").starts_with("line 3: log.targets.a: unknown variant")
        );
        assert_eq!(why("[stats]\nwindow_s = 0"), "line 2: stats.window_s: 0 is not within 1 to 3600");
        assert_eq!(why("[stats]\nwindow_s = -9"), "line 2: stats.window_s: -9 is not within 1 to 3600");
        assert!(why("[log]\nlevel = \"info\"\nlevel = \"warn\"\n").starts_with("line 3: "), "a key twice");
        assert!(why("[log]\nlevel = \"in").starts_with("line 2: "), "cut short");
        assert!(why("x\0y").starts_with("line 1: "));
        for text in ["[log", "log", "log = 5", "[[log]]", "stats = []"] {
            let why = why(text);
            assert!(why.starts_with("line 1: ") && !why.contains('\n'), "{text}: {why}");
        }
    }

    #[test]
    fn every_key_is_told_to_people_and_no_other() {
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
        let mut told: Vec<&str> = KEYS.iter().map(|k| k.key).collect();
        told.sort_unstable();
        keys.sort_unstable();
        assert_eq!(told, keys);
    }
}
