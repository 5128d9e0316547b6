//! The lab runs real node processes in an emulated fleet, injects faults, and checks the results by what
//! clients, servers and links observed.
//!
//! - [`scenario`] reads scenario files, and [`plan`] draws the random parts of a run from a seed.
//! - [`server`] models a config server, and [`checker`] checks the operators' rules and computes the
//!   figures. Neither does I/O or reads a clock; real and simulated runs share both.
//! - [`sim`] runs a scenario in virtual time with the real decision logic, and [`hunt`] searches for faults
//!   that break a rule or after which service does not recover.
//! - [`capacity`] measures what each role costs at increasing sizes.
//! - [`real`] runs a scenario with real processes on loopback, and [`report`] writes its results. [`load`]
//!   generates load alone.
//! - [`baseline`] has simple balancers to compare the node with, [`settings`] generates a node's settings,
//!   and [`stats`] the statistics.

pub mod baseline;
pub mod capacity;
pub mod checker;
pub mod hunt;
pub mod load;
pub mod plan;
pub mod real;
pub mod report;
pub mod scenario;
pub mod server;
pub mod settings;
pub mod sim;
pub mod stats;
