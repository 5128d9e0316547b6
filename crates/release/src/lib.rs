//! Staged releases: what is released in which stages ([`plan`]), what is done next and why ([`machine`], without I/O
//! or clock), when a stage is good ([`gate`]), and the process that carries it out and may die at any point ([`run`]).
//! `docs/releases.md` tells the whole.

pub mod gate;
pub mod machine;
pub mod plan;
pub mod run;
pub mod supervise;
