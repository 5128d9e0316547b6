//! What each role costs at size: series of one cost over several sizes, from which slopes are drawn.
//!
//! Each part measures one role and hands back [`Series`]; it writes no file and prints nothing. A part is
//! bounded in time, processes and memory, and ends what it has started on every way out.

pub mod fit;
pub mod node;
pub mod out;
pub mod page;

pub mod discovery;
pub mod members;

use serde::{Deserialize, Serialize};
use std::path::PathBuf;
use thiserror::Error;

/// How one run is to be measured.
#[derive(Clone, Debug)]
pub struct Measure {
    /// Few and small sizes, for shapes alone: under a minute for all roles together, debug build.
    pub quick: bool,
    /// Draws of everything that is drawn; the same seed measures the same thing.
    pub seed: u64,
    /// How often each size is measured.
    pub repetitions: usize,
    /// The node's program.
    pub node: PathBuf,
}

/// One cost over the sizes of one axis.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Series {
    /// Whose cost it is: `node`, `member`, `hub`, `discovery`, ...
    pub role: String,
    /// What is measured, as a name that stays: `ready`, `list_first`, `request_dead`, ...
    pub cost: String,
    /// Unit of the values: `ms`, `us`, `bytes`, `MB`, `cores`, `count`, ...
    pub unit: String,
    /// What the size counts: `backends`, `tenants`, `members`, `changes_per_s`, ...
    pub axis: String,
    /// The points, by size.
    pub points: Vec<Point>,
}

/// One size of a series.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// The size, in units of the axis.
    pub size: f64,
    /// A value for each repetition.
    pub values: Vec<f64>,
}

/// Why a measurement ended without a result.
#[derive(Debug, Error)]
pub enum MeasureError {
    /// Something of the system failed; the text says what was tried.
    #[error("{what}: {cause}")]
    Io {
        /// What was tried.
        what: String,
        /// Why it failed.
        cause: std::io::Error,
    },
    /// A party did not do what the measurement waits for.
    #[error("{0}")]
    Late(String),
}

/// What measures some roles.
pub struct Part {
    /// The roles whose series it hands back.
    pub roles: &'static [&'static str],
    /// Measures them.
    pub measure: fn(&Measure, &Wish) -> Result<Vec<Series>, MeasureError>,
}

/// What of all is wanted.
#[derive(Clone, Debug, Default)]
pub struct Wish {
    /// Roles; all where none is named.
    pub roles: Vec<String>,
    /// Axes of the node; all where none is named.
    pub axes: Vec<String>,
    /// The program of another node, which is measured by turns with the node as role `node-before`.
    pub before: Option<PathBuf>,
}

/// All parts, in the order in which they are measured.
pub const PARTS: &[Part] = &[
    Part {
        roles: &["node"],
        measure: |m, wish| node::measure_beside(m, wish.before.as_deref(), &wish.axes),
    },
    Part { roles: &["member", "hub"], measure: |m, _| members::measure(m) },
    Part { roles: &["discovery"], measure: |m, _| discovery::measure(m) },
];

/// The size ahead on an axis: what the fleet is planned to be, for one node where the axis is of a node.
pub fn ahead(axis: &str) -> Option<f64> {
    Some(match axis {
        "backends" => 47_000.0,
        "tenants" => 110_000.0,
        "classes" => 22_000.0,
        "members" | "nodes" => 4_200.0,
        "zones" => 12.0,
        // 770,000 over 4,200 nodes.
        "requests_per_s" => 183.0,
        // 7,800 changes of configuration and 5,800 restarts a day, each of which leaves and comes back.
        "changes_per_s" => 0.225,
        _ => return None,
    })
}

/// Measures what is wanted; series of other roles that a part measures in passing are left out. `told` is
/// told which part is measured.
///
/// # Errors
/// The first part's that fails.
pub fn measure(
    m: &Measure,
    wish: &Wish,
    mut told: impl FnMut(&'static [&'static str]),
) -> Result<Vec<Series>, MeasureError> {
    let named = |role: &str| wish.roles.is_empty() || wish.roles.iter().any(|r| r == role);
    let mut all = Vec::new();
    for part in PARTS.iter().filter(|p| p.roles.iter().any(|r| named(r))) {
        told(part.roles);
        let series = (part.measure)(m, wish)?;
        all.extend(series.into_iter().filter(|s| named(s.role.trim_end_matches("-before"))));
    }
    Ok(all)
}
