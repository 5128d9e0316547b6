//! Measures what each role of the fleet costs at increasing sizes, as series of one cost over one size
//! axis.
//!
//! Each [`Measurement`] measures one or two roles and returns [`Series`]; it writes no files and prints
//! nothing. Its running time, number of processes and memory are bounded, and it stops whatever it started,
//! also when it fails.

pub mod fit;
pub mod node;
pub mod page;
pub mod report;

pub mod discovery;
pub mod members;

use serde::{Deserialize, Serialize};
use std::path::PathBuf;
use thiserror::Error;

/// Options of a measurement run.
#[derive(Clone, Debug)]
pub struct MeasureOptions {
    /// Measures few, small sizes, which show only the form of the results. All roles together take less
    /// than a minute in a debug build.
    pub quick: bool,
    /// Seed of all random draws; the same seed gives the same workload.
    pub seed: u64,
    /// Number of measurements of each size.
    pub repetitions: usize,
    /// Path of the node's program.
    pub node_program: PathBuf,
}

/// One cost of one role over the sizes of one axis.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Series {
    /// Role that bears the cost: `node`, `member`, `hub`, `discovery`, ...
    pub role: String,
    /// Name of the cost: `ready`, `list_first`, `request_dead`, ... Record files and the capacity page
    /// refer to it.
    pub cost: String,
    /// Unit of the values: `ms`, `us`, `bytes`, `MB`, `cores`, `count`, ...
    pub unit: String,
    /// Quantity that the sizes count: `backends`, `tenants`, `members`, `changes_per_s`, ...
    pub axis: String,
    /// One point for each size.
    pub points: Vec<Point>,
}

/// The measured values at one size of a series.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Point {
    /// Size, in units of the axis.
    pub size: f64,
    /// One value for each repetition.
    pub values: Vec<f64>,
}

/// Reason why a measurement ended without a result.
#[derive(Debug, Error)]
pub enum MeasureError {
    /// An operation of the operating system failed.
    #[error("{what}: {cause}")]
    Io {
        /// The operation that failed.
        what: String,
        /// The error that it returned.
        cause: std::io::Error,
    },
    /// The measured process, or another part of the setup, did not behave as expected within its time
    /// limit; the text describes the deviation.
    #[error("{0}")]
    Unexpected(String),
}

/// A measurement of one or more roles.
pub struct Measurement {
    /// Roles whose series `measure` returns.
    pub roles: &'static [&'static str],
    /// Function that runs the measurement.
    pub measure: fn(&MeasureOptions, &Selection) -> Result<Vec<Series>, MeasureError>,
}

/// Selection of the roles and axes to measure.
#[derive(Clone, Debug, Default)]
pub struct Selection {
    /// Roles to measure; all if empty.
    pub roles: Vec<String>,
    /// Axes of the node to measure; all if empty.
    pub axes: Vec<String>,
    /// Program of another node, measured alternately with the node as role `node-before`.
    pub baseline: Option<PathBuf>,
}

/// All measurements, in the order in which they run.
pub const MEASUREMENTS: &[Measurement] = &[
    Measurement {
        roles: &["node"],
        measure: |options, selection| {
            node::measure_with_baseline(options, selection.baseline.as_deref(), &selection.axes)
        },
    },
    Measurement { roles: &["member", "hub"], measure: |options, _| members::measure(options) },
    Measurement { roles: &["discovery"], measure: |options, _| discovery::measure(options) },
];

/// Returns the planned size of the fleet on an axis, or `None` if no size is planned for it. The request
/// rate is that of one node.
pub fn planned_size(axis: &str) -> Option<f64> {
    Some(match axis {
        "backends" => 47_000.0,
        "tenants" => 110_000.0,
        "classes" => 22_000.0,
        "members" | "nodes" => 4_200.0,
        "zones" => 12.0,
        // 770,000 requests per second over 4,200 nodes.
        "requests_per_s" => 183.0,
        // 7,800 configuration changes and 5,800 restarts a day; a restart removes the entry and adds it
        // again.
        "changes_per_s" => 0.225,
        _ => return None,
    })
}

/// Runs the measurements of the selected roles and returns the series of those roles only. Calls `on_start`
/// with the roles of each measurement before it runs.
///
/// # Errors
/// Returns the error of the first measurement that fails.
pub fn measure(
    options: &MeasureOptions,
    selection: &Selection,
    mut on_start: impl FnMut(&'static [&'static str]),
) -> Result<Vec<Series>, MeasureError> {
    let is_selected = |role: &str| selection.roles.is_empty() || selection.roles.iter().any(|r| r == role);
    let mut all = Vec::new();
    for measurement in MEASUREMENTS.iter().filter(|m| m.roles.iter().any(|r| is_selected(r))) {
        on_start(measurement.roles);
        let series = (measurement.measure)(options, selection)?;
        all.extend(series.into_iter().filter(|s| is_selected(s.role.trim_end_matches("-before"))));
    }
    Ok(all)
}
