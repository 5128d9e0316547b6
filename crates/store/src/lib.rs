//! Small state that survives crashes and power loss. It knows names and bytes, not what they mean.
//!
//! A directory holds one generation: a snapshot `G.snap` and a journal `G.log` of what changed since. Each is a header
//! and records with a length, a number and a checksum. A change is durable once [`Store::sync`] came back. A new
//! generation is whole on disk, name included, before the one before is removed; so at every moment there is one.
//!
//! - [`disk`] is the one narrow way to files, for real ones and for tests that lose power at any byte.
//! - [`scripted_faults`] does the same to the disk of a whole process.
//! - [`store`] is the generation, its journal and its checks.

pub mod disk;
pub mod faults;
pub mod scripted_faults;
pub mod store;

pub use disk::{Disk, RealDisk};
pub use store::{Entry, Limits, Report, Store, StoreError};
