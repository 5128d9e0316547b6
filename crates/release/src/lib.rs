//! Staged releases of servers and nodes.
//!
//! - [`plan`]: the release plan, a TOML file.
//! - [`rollout`]: the state machine that decides each step, without I/O and without a clock.
//! - [`gate`]: the comparison that decides if a stage passes.
//! - [`run`]: the controller process, which carries out the steps and may be killed at any point.
//! - [`supervise`]: the supervisor of a machine's node, which upgrades it.
//!
//! `docs/releases.md` describes releases for operators.

pub mod gate;
pub mod plan;
pub mod rollout;
pub mod run;
pub mod supervise;
