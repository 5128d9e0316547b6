//! What each role costs at size: series of one cost over several sizes, from which slopes are drawn.
//!
//! Each part measures one role and hands back [`Series`]; it writes no file and prints nothing. A part is bounded in
//! time, processes and memory, and ends what it has started on every way out.

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
