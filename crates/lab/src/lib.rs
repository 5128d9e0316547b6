//! The lab: an emulated fleet in which real processes of the node live through failures, and a judge that believes
//! clients, servers and links alone.
//!
//! - [`scenario`] reads days as TOML, [`plan`] draws what a seed decides of them.
//! - [`server`] models a config server, [`checker`] keeps the operators' rules and figures; neither has I/O or a
//!   clock, so real and simulated days share them.
//! - [`sim`] plays a day in virtual time, hosting the real decisions; [`hunt`] draws schedules of faults for it.
//! - [`capacity`] measures what each role costs at size.
//! - [`real`] plays a day on loopback with real processes, [`report`] shows what came of it; [`load`] is load alone.

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
