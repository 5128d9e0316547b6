//! A key-value store for small state that survives crashes and power loss. Kinds and keys are strings and
//! values are bytes; the store does not interpret them.
//!
//! A directory holds one generation: a snapshot `G.snap` and a journal `G.log` of the changes since. Each
//! file is a header followed by records with a length, a sequence number and a checksum. A change is
//! durable once [`Store::sync`] has returned without an error. A new generation is written completely and
//! made durable, including its file names, before the previous one is removed, so a complete generation
//! exists at every moment.
//!
//! - [`disk`]: the file operations that the store uses, as a trait, and a real directory that implements it.
//! - [`faults`]: an in-memory disk for tests that injects errors and loses power at any operation.
//! - [`scripted_faults`]: the same faults for the real disk of a whole process.
//! - [`store`]: generations, the journal and their checks.

pub mod disk;
pub mod faults;
pub mod scripted_faults;
pub mod store;

pub use disk::{Disk, RealDisk};
pub use store::{Entry, Limits, Report, Store, StoreError};
